/**
 * Leader election of a shard: the leader holds a leased key in the platform's store.
 *
 * Index of this file
 *   Authority          what a node may do as leader at the moment
 *   Leadership         a term: its epoch and the key revision that fence the leader's orders and writes
 *   ElectionSettings   timings
 *   Election           campaigns, renews the lease, detects that another node leads
 *
 * A leader whose term has ended, and that did not resign, says so in the epoch record as soon as it reaches the store. Its
 * successors then need not assume any longer that it still sends orders.
 *
 * Safety does not depend on the lease: writes to the store have the revision of the leader key as a condition, and
 * orders carry a fencing token derived from the epoch. The lease only tells the other nodes when to campaign. A leader
 * that cannot reach the store keeps managing the jobs it knows for ElectionSettings::gracePeriod (Authority::Grace).
 * Its successor must assume that it does (see WorkflowScheduler on unread workers).
 */
#pragma once

#include <workflow/ports.h>

#include <workflow/progress.h>

#include <base/eventlog.h>

#include <map>
#include <memory>
#include <random>

namespace QuetzalRock::Workflow {

enum class Authority : std::uint8_t {
    None = 0,  ///< not leading, or the grace period is over: sends no orders
    Grace = 1, ///< lease not confirmed by the store: continues with known jobs, takes on no new ones
    Full = 2,  ///< lease valid
};

struct Leadership
{
    std::uint64_t epoch = 0;          ///< from 1; unique to this term; 0: no term
    std::uint64_t keyRevision = 0;    ///< of the leader key; condition of every write
    std::vector<FormerLeader> former; ///< leaders of earlier terms that may still send orders
    std::map<std::uint64_t, TimePoint>
        seenAt; ///< by epoch: when this node first saw terms, including this one. The store has confirmed no earlier term since

    /** When this node first saw a later term than that of epoch @p former. */
    TimePoint endSeenAt(std::uint64_t former) const;
};

struct ElectionSettings
{
    Duration leaseDuration = std::chrono::milliseconds(1500); ///< delay until other nodes notice a leader's crash
    Duration renewInterval = std::chrono::milliseconds(400);  ///< allows three attempts within a lease
    Duration retryInterval = std::chrono::milliseconds(150);  ///< after a failed renewal
    Duration gracePeriod = std::chrono::seconds(8);           ///< typical length of a store outage
    Duration maxCampaignJitter
        = std::chrono::milliseconds(60); ///< random delay that keeps nodes from campaigning at once
};

class Election
{
public:
    /** @p bootId identifies this incarnation of the node; it must be unique. */
    Election(RecordStore &store,
             Clock &clock,
             EventLog &log,
             ShardId shard,
             std::string node,
             std::string bootId,
             const ElectionSettings &settings);

    void tick(TimePoint now);

    /** To be called when the leader key has changed or has been deleted. */
    void onLeaderKeyChanged(const StoreItem &item);

    /** Delays campaigns, so that better suited nodes win. May be changed while a campaign waits. */
    void setCampaignDelay(Duration delay);

    bool isCampaigning() const; ///< has waited for the campaign delay, and the outcome is not known yet

    /** The current term; epoch 0 if this node does not lead. Each term has a new epoch. */
    const Leadership &leadership() const;
    Authority authority(TimePoint now) const;
    TimePoint fullAuthorityUntil() const; ///< unless the lease is renewed

    /** Ends the term. To be called when a worker or the store shows that another node leads or has led since. */
    void depose();

    /** To be called when no former leader's order can take effect any more: later leaders need not wait for those. */
    void settle();

    /** Gives up leadership and never campaigns again. */
    void resign();

    /** Gives up the current term as resign() does, but may campaign again. */
    void handOver();

    TimePoint nextActionAt() const; ///< next time at which tick() has work, apart from handling store replies

private:
    enum class Stage {
        Idle,        ///< waits for m_nextActionAt
        ReadingKey,  ///< reads the leader key
        Following,   ///< waits until the leader key is deleted
        Campaigning, ///< epoch read, lease grant or leader key write in flight
    };

    template<typename Handler>
    StoreDone guard(Handler handler); ///< drops replies that arrive after this object is destroyed
    void readLeaderKey();
    void onLeaderKeyRead(const StoreReply &reply);
    void onNoLeaderKey();
    void onLeaderKeyDeleted(const StoreItem &item);
    void campaign();
    void onEpochRead(const StoreReply &reply);
    void onLeaseGranted(const StoreReply &reply);
    void onLeaderKeyWritten(const StoreReply &reply);
    EpochRecord epochRecord(bool hasResigned) const; ///< of the current term
    void storeSettled();
    void markEnded(std::uint64_t epoch);
    void endUnansweredCampaign();
    void storeResignation();
    void reportEndedTerm();
    void onEndedTermRead(const StoreReply &reply);
    void renew(TimePoint now);
    void onRenewed(const StoreReply &reply, TimePoint sentAt);
    void applyLeaderKey(const StoreItem &item);
    void noteTerm(std::uint64_t epoch);
    void noteTermOf(const StoreItem &leaderKey);
    void beginTerm(std::uint64_t keyRevision);
    void endTerm(std::string_view reason);
    void requireKeyCheck(); ///< withholds full authority until the leader key has been read again
    void scheduleKeyRead();
    void scheduleRetry();

    RecordStore &m_store;
    Clock &m_clock;
    EventLog &m_log;
    ShardId m_shard;
    ShardKeys m_keys;
    std::string m_node;
    std::string m_bootId;
    ElectionSettings m_settings;
    std::minstd_rand m_random;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);

    Stage m_stage = Stage::Idle;
    TimePoint m_nextActionAt{};          ///< time of the next key read; used while Idle
    std::uint64_t m_deletedRevision = 0; ///< revision of the last deletion of the leader key that was reported
    Duration m_campaignDelay{};
    bool m_hasWaited = false;  ///< m_campaignDelay has already been applied since the leader key was deleted
    TimePoint m_vacantSince{}; ///< when the wait for m_campaignDelay began; used if m_hasWaited
    bool m_hasResigned = false;
    std::string m_leaderName;
    std::string m_ownValue;                    ///< written by the last campaign; unique to it
    std::vector<FormerLeader> m_former;        ///< read by the last campaign; empty once settled
    std::uint64_t m_campaignEpoch = 0;         ///< 0: no campaign yet
    std::uint64_t m_campaignEpochRevision = 0; ///< revision of the epoch key read by the last campaign
    std::uint64_t m_lease = 0;
    TimePoint m_leaseSentAt{}; ///< when the grant of m_lease was requested

    std::map<std::uint64_t, TimePoint> m_termsSeen; ///< see Leadership::seenAt; the last MaxTermsSeen
    Leadership m_term;
    TimePoint m_validUntil{}; ///< local clock; counted from when the renewal was sent, so never later than the store's
    bool m_isRenewing = false;
    bool m_isSettledStored = true; ///< the stored epoch record lists m_former
    TimePoint m_storeSettledAt{};  ///< earliest next attempt to store it

    bool m_isCampaignUnanswered = false; ///< the outcome of the last campaign is unknown
    std::uint64_t m_lastEndedEpoch = 0;  ///< terms up to this one have ended and are not taken up again
    std::uint64_t m_unreportedEpoch = 0; ///< of a term of this process whose end is not stored yet; 0: none
    TimePoint m_reportEndedTermAt{};     ///< earliest next attempt to store it
    bool m_needsKeyCheck = false;        ///< the leader key must be read again before authority is full
    TimePoint m_renewAt{};
};

} // namespace QuetzalRock::Workflow
