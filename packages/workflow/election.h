/**
 * Who decides for a shard: one leader at a time, known by a leased key in the platform's store.
 *
 * Index of this file
 *   Authority          what a leader may do now
 *   Leadership         what fences its writes and orders
 *   ElectionSettings   times
 *   Election           campaigns, renews, notices that it was deposed
 *
 * Safety does not rest on the lease: writes to the store carry the revision of the leader's key as a condition, and orders
 * carry a fencing token made from the epoch. The lease only tells the others when to try. A leader that cannot reach the
 * store goes on for ElectionSettings::grace with what it knows (Authority::Grace); its successor takes for granted that it
 * does (see WorkflowScheduler on unread workers).
 */
#pragma once

#include <workflow/ports.h>

#include <workflow/progress.h>

#include <base/eventlog.h>

#include <memory>
#include <random>

namespace QuetzalRock::Workflow {

enum class Authority : std::uint8_t {
    None = 0,  ///< sends no orders
    Grace = 1, ///< the store is away: goes on with jobs that are known, takes on no new ones
    Full = 2,
};

struct Leadership
{
    std::uint64_t epoch = 0;       ///< from 1; never shared
    std::uint64_t keyRevision = 0; ///< of the leader's key: the condition of every write
    EpochRecord previous;          ///< who led before; epoch 0: nobody
};

struct ElectionSettings
{
    Duration leaseDuration = std::chrono::milliseconds(1500); ///< how long the others wait for a leader that has died
    Duration renewEvery = std::chrono::milliseconds(400);     ///< three tries within a lease
    Duration retryEvery = std::chrono::milliseconds(150);     ///< of a renewal that failed
    Duration grace = std::chrono::seconds(8);                 ///< about as long as the store is usually away
    Duration campaignSpread = std::chrono::milliseconds(60);  ///< random delay, so that not all campaign at once
};

class Election
{
public:
    /** @p boot tells this life of the node from others; it is unique. */
    Election(RecordStore &store,
             Clock &clock,
             EventLog &log,
             ShardId shard,
             std::string node,
             std::string boot,
             const ElectionSettings &settings);

    void tick(TimePoint now);

    /** The leader's key has changed, or has gone; whoever follows the board reports it. */
    void onKey(const StoreItem &item);

    /** This node campaigns so much later than others that suit better. */
    void setHandicap(Duration handicap);

    /** The term under way; epoch 0 where this process does not lead. A new epoch is a new term. */
    const Leadership &leadership() const;
    Authority authority(TimePoint now) const;

    /** A worker or the store has shown that another leads, or has led since: the term is over. */
    void depose();

    /** Ends the term and takes part in no other. */
    void resign();

    TimePoint nextAt() const; ///< when tick() has something to do next, answers aside

private:
    enum class Stage {
        Idle,        ///< nothing under way
        Looking,     ///< reads the leader's key
        Following,   ///< waits until the leader's key goes
        Campaigning, ///< epoch read, lease grant or write under way
    };

    template<typename Handler>
    StoreDone guard(Handler handler);
    void look();
    void onLook(const StoreReply &reply);
    void onMissing();
    void onGone(const StoreItem &item);
    void campaign();
    void onEpoch(const StoreReply &reply);
    void onGrant(const StoreReply &reply);
    void onWrite(const StoreReply &reply);
    void renew(TimePoint now);
    void onRenewed(const StoreReply &reply, TimePoint sentAt);
    void takeKey(const StoreItem &item);
    void loseTerm(std::string_view why);
    void doubt(); ///< looks at the key before anything else
    void lookAtOnce();
    void retryLater();

    RecordStore &m_store;
    Clock &m_clock;
    EventLog &m_log;
    ShardId m_shard;
    ShardKeys m_keys;
    std::string m_node;
    std::string m_boot;
    ElectionSettings m_settings;
    std::minstd_rand m_random;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);

    Stage m_stage = Stage::Idle;
    TimePoint m_nextAt{};             ///< of the next step while Idle
    std::uint64_t m_goneRevision = 0; ///< the last time that the key was seen to go
    Duration m_handicap{};
    bool m_hasWaited = false; ///< the handicap has passed since the key was seen to be gone
    bool m_hasResigned = false;
    std::string m_leaderName;
    std::string m_ownValue;                    ///< written by the last campaign; unique to it
    EpochRecord m_former;                      ///< as read by the last campaign
    std::uint64_t m_campaignEpoch = 0;         ///< 0: no campaign yet
    std::uint64_t m_campaignEpochRevision = 0; ///< of ctl/epoch as read by it
    std::uint64_t m_lease = 0;
    TimePoint m_leaseSentAt{};

    Leadership m_term;
    TimePoint m_validUntil{}; ///< by this process's clock, from before the renewal was sent
    bool m_isRenewing = false;
    bool m_isDoubted = false; ///< the key must be read again before authority is firm
    TimePoint m_renewAt{};
};

} // namespace QuetzalRock::Workflow
