/**
 * Which node leads which shard, as the store shows it, and which shard a node should ask the leader of another to hand over.
 * Leaders are chosen by campaigns, so one node may lead most shards after an outage; handovers give each node its share again.
 *
 * A node asks for one shard at a time, by an entry under HandoverPrefix that names the leader key's revision and what
 * leading the shard would cost it. The leader compares that with its own cost, see Node::leadershipCost(), and hands over
 * only if it gains HandoverSettings::minGain. So the sum of all costs falls with each handover, and handovers end.
 *
 * Index of this file
 *   HandoverSettings   times and limits
 *   HandoverRequest    content of a request
 *   LeaderBoard        leaders and requests by shard; chooses the shard to ask for
 */
#pragma once

#include <workflow/ports.h>
#include <workflow/shards.h>

#include <functional>
#include <optional>

namespace QuetzalRock::Workflow {

constexpr Duration PerLedShardDelay
    = std::chrono::milliseconds(200); ///< of campaigns, for each shard that the node leads or campaigns for

constexpr std::string_view HandoverPrefix = "ctl/board/handover/"; ///< followed by the shard's number

struct HandoverSettings
{
    Duration minLeadTime = std::chrono::seconds(10); ///< no shard is asked for that has changed its leader since
    Duration calmTime = std::chrono::seconds(5); ///< full authority and complete takeovers of all shards of the giver
    Duration interval = std::chrono::seconds(5); ///< least time between two handovers by a node
    Duration requestInterval = std::chrono::seconds(2);  ///< mean time between two checks whether to ask
    Duration requestValidity = std::chrono::seconds(20); ///< several handovers by one node, at their interval
    Duration maxPause = std::chrono::milliseconds(600);  ///< without starts, until answers to orders have come
    Duration minRequestPause = std::chrono::minutes(1); ///< after a shard was given back; doubles with each further one
    Duration maxRequestPause = std::chrono::minutes(16);
    Duration minGain = std::chrono::milliseconds(100); ///< of campaign delay
};

struct HandoverRequest
{
    std::string node;                 ///< that asks
    std::uint64_t leaderRevision = 0; ///< of the leader key; the request ends with that term
    Duration cost{};                  ///< of leading the shard beside those that the node leads already
};

std::string encodeHandoverRequest(const HandoverRequest &request);
HandoverRequest decodeHandoverRequest(std::string_view text); ///< throws InvalidArgument

class LeaderBoard
{
public:
    LeaderBoard(std::string node, const HandoverSettings &settings);

    /** A leader key or a request has changed or has been deleted. */
    void onLeaderItem(ShardId shard, const StoreItem &item, TimePoint now);
    void onRequestItem(ShardId shard, const StoreItem &item, TimePoint now); ///< unreadable ones count as deleted

    /** The request for @p shard that is addressed to the term of @p leaderRevision; none if it is older than its validity. */
    std::optional<HandoverRequest> request(ShardId shard, std::uint64_t leaderRevision, TimePoint now) const;
    std::uint64_t requestRevision(ShardId shard) const; ///< of the stored entry; 0: none

    bool isAskedFor(ShardId shard, TimePoint now) const;  ///< by this node
    bool hasAskedFor(ShardId shard, TimePoint now) const; ///< the same, whoever leads it since
    bool hasAsked(TimePoint now) const;                   ///< this node has asked for a shard and waits for it

    /**
     * The shard to ask for: the one by which the most is gained, where each shard of a leader beside it, apart from those
     * already asked for, counts as PerLedShardDelay. @p costOf tells what it costs this node. None if too little is gained.
     */
    std::optional<std::pair<ShardId, HandoverRequest>> choose(const std::function<Duration(ShardId)> &costOf,
                                                              TimePoint now) const;

private:
    struct Entry
    {
        std::string leader; ///< empty: none
        std::uint64_t leaderRevision = 0;
        TimePoint ledSince{};
        std::optional<HandoverRequest> request;
        std::uint64_t requestRevision = 0;
        TimePoint requestedAt{};
    };

    bool isRequested(const Entry &entry, TimePoint now) const;
    std::map<std::string, std::size_t> ledShards(TimePoint now) const; ///< by leader, without those asked for

    std::string m_node;
    HandoverSettings m_settings;
    std::map<ShardId, Entry> m_entries;
};

} // namespace QuetzalRock::Workflow
