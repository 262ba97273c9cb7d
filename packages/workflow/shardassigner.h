/**
 * Gives each job with lasting tasks its shard. Answers this load: most lasting jobs come within a second or two, at all
 * nodes, and hold their room for the rest of the day; chosen by each node for itself, they would fill some shards and leave
 * others empty. So the leader of the first shard chooses for all of them, one after the other.
 *
 * A job that waits lies under SpreadPrefix and its registration names no shard. One conditional write gives it one: the
 * registration is the condition, so a job goes to one shard, once, whoever tries.
 */
#pragma once

#include <workflow/election.h>
#include <workflow/mirror.h>
#include <workflow/shards.h>

namespace QuetzalRock::Workflow {

class ShardAssigner
{
public:
    /** One for each term of the first shard's leader; @p map and @p statuses are followed by the node and outlive it. */
    ShardAssigner(RecordStore &store,
                  Clock &clock,
                  EventLog &log,
                  const ShardMap &map,
                  const ShardStatuses &statuses,
                  const Leadership &term);

    void tick(TimePoint now);
    bool isBusy() const; ///< jobs wait

private:
    struct Waiting
    {
        std::string value; ///< AcceptedJob
        TimePoint tryAt{};
        bool isTrying = false;
    };
    /** A job that was given a shard whose status may not show it yet. */
    struct Recent
    {
        ShardId shard = 0;
        std::int64_t millis = 0;
        std::uint64_t revision = 0; ///< of the write; 0: not answered
    };

    void onItem(const StoreItem &item);
    void find(const JobKey &key);
    void onFound(const JobKey &key, const StoreReply &reply);
    void give(const JobKey &key, std::uint64_t registrationRevision);
    void onGiven(const JobKey &key, ShardId shard, const StoreReply &reply);
    void retryLater(const JobKey &key);
    std::map<ShardId, std::int64_t> recentMillis();

    RecordStore &m_store;
    Clock &m_clock;
    EventLog &m_log;
    const ShardMap &m_map;
    const ShardStatuses &m_statuses;
    Leadership m_term;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< callbacks outlive the spreader
    PrefixMirror m_inbox;
    std::map<JobKey, Waiting> m_waiting;
    std::map<JobKey, Recent> m_recent;
};

} // namespace QuetzalRock::Workflow
