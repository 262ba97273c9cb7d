/**
 * Which member of a failure domain owns which shard (a group of racks).
 *
 * Index of this file
 *   ShardHost           implemented by the daemon: acquires, releases and drops a shard
 *   OwnershipSettings   delays and back-offs that prevent ownership from flapping
 *   Ownership           decides when to acquire or release shards; one instance for each process
 *
 * Use
 *   Ownership ownership(settings, membership, host, clock);
 *   ownership thread:  for (;;) { ownership.step(); clock.sleepFor(StepInterval); }
 *   thread of a log:   catch (const Fenced &) { ownership.onFenced(shard, epoch); }
 *   SIGTERM:           ownership.beginShutdown();  // releases every shard; keep sending heartbeats for a moment
 *
 * Ownership decides only when to attempt a takeover. The journal decides who may write: ShardHost::acquire() calls
 * Log::takeOver(), after which the former owner's next append fails. Members with different views may therefore cause a
 * needless takeover, but never two owners that both write. Only members of the own failure domain can own its shards.
 */
#pragma once

#include <membership/membership.h>

#include <optional>

namespace QuetzalRock {

/** Starts and stops the scheduler of a shard. Called from Ownership::step() and beginShutdown(); no lock is held. */
class ShardHost
{
public:
    virtual ~ShardHost() = default;

    /** Takes over the shard's journal, starts its scheduler and returns the epoch (not 0). May throw any Error. */
    virtual std::uint64_t acquire(const std::string &shard) = 0;

    /** Graceful stop: finishes pending work, appends the release record, stops the scheduler. Must not throw. */
    virtual void release(const std::string &shard) = 0;

    /** Stops the scheduler at once without writing, because another member owns the shard. Must not throw. */
    virtual void drop(const std::string &shard) = 0;
};

struct OwnershipSettings
{
    std::vector<std::string> shards; ///< of the own failure domain; identical on each of its members

    Duration settleDelay = std::chrono::seconds(3);          ///< no takeover until heartbeats had time to arrive
    Duration pauseThreshold = std::chrono::seconds(3);       ///< a longer gap between two steps counts as a pause
    Duration takeoverDelay = std::chrono::milliseconds(300); ///< a shard must have had no owner for this time
    Duration rankStagger = std::chrono::seconds(1);          ///< added for each candidate that ranks above this member
    Duration retryAfter = std::chrono::seconds(1);           ///< after a failed takeover; doubles up to 16 times this

    /**
     * An owner that has not reached the platform's service for this time is replaced by a member that has reached it
     * for at least as long. Must exceed 1.5 * RegistrySettings::retryAfterMax: members notice the end of an outage with
     * up to that delay, and with a shorter timeout the first one to notice would take over the shards of the others.
     */
    Duration isolatedOwnerTimeout = std::chrono::seconds(20);

    Duration fencedBackoff = std::chrono::seconds(30);    ///< after being fenced, while no owner is heard; doubles
    Duration fencedBackoffMax = std::chrono::minutes(10); ///< upper bound of the doubled back-off

    Duration rebalanceAfter = std::chrono::seconds(60);  ///< the same member must have been preferred for this time
    Duration rebalanceSpacing = std::chrono::seconds(5); ///< minimum time between two handovers by this member
};

struct OwnershipCounters
{
    std::uint64_t acquired = 0;
    std::uint64_t acquireFailures = 0;
    std::uint64_t fenced = 0;     ///< shards lost as reported by the journal
    std::uint64_t superseded = 0; ///< shards lost as reported by a heartbeat that claims a higher epoch
    std::uint64_t released = 0;   ///< shards released or dropped on shutdown
    std::uint64_t rebalanced = 0; ///< shards released in favour of the preferred member
    std::uint64_t pauses = 0;     ///< gaps between steps longer than pauseThreshold
};

/** Call step() and beginShutdown() from one thread; the other functions are thread-safe. */
class Ownership
{
public:
    Ownership(const OwnershipSettings &settings, Membership &membership, ShardHost &host, Clock &clock);

    void step();
    void onFenced(const std::string &shard, std::uint64_t epoch); ///< the next step() drops the shard
    void beginShutdown();                                         ///< releases every shard; later steps acquire none

    std::vector<ShardClaim> claims() const;                             ///< shards that this process believes to own
    std::optional<std::string> ownerOf(const std::string &shard) const; ///< name of the live owner, if one is known
    OwnershipCounters counters() const;

private:
    struct Shard
    {
        std::string name;
        std::uint64_t epoch = 0;              ///< 0: not owned
        bool fenced = false;                  ///< the next step drops it
        std::optional<TimePoint> vacantSince; ///< start of the time without a known owner
        TimePoint nextAttempt;                ///< earliest time of the next takeover
        Duration fencedBackoff{};             ///< last back-off after losing the shard
        Duration retryDelay{};                ///< last delay after a failed takeover
        std::string preferred;                ///< member that ranks first, as of the last step
        TimePoint preferredSince;             ///< when the preferred member changed last
        std::string knownOwner;               ///< name of the other live owner; empty: none known
    };

    void detectPause(TimePoint now);
    void stepShard(Shard &shard, std::span<const MemberView> members, TimePoint now);
    void stepOwned(Shard &shard, std::span<const MemberView> members, TimePoint now);
    void stepVacant(Shard &shard, std::span<const MemberView> members, TimePoint now);
    void tryAcquire(Shard &shard, TimePoint now);
    void dropShard(Shard &shard, TimePoint now);
    void rebalance(Shard &shard, std::span<const MemberView> members, TimePoint now);
    void publishClaims();
    const MemberView *findClaimant(const Shard &shard, std::span<const MemberView> members) const;
    bool isClaimValid(const MemberView &member) const;
    Duration takeoverHold(const Shard &shard, std::span<const MemberView> members) const;
    bool isFenced(const Shard &shard) const;
    std::size_t rankOfSelf(const Shard &shard, std::span<const MemberView> members) const;
    std::string preferredMember(const Shard &shard, std::span<const MemberView> members) const;

    OwnershipSettings m_settings;
    Membership &m_membership;
    ShardHost &m_host;
    Clock &m_clock;
    std::string m_self;
    bool m_leaving = false;
    std::optional<TimePoint> m_lastStep;
    TimePoint m_settledAt;              ///< no takeover before this time
    TimePoint m_platformReachableSince; ///< end of the last known platform outage
    TimePoint m_nextRebalance;

    mutable std::mutex m_mutex; ///< guards the counters and, in each shard, epoch, fenced and knownOwner
    std::vector<Shard> m_shards;
    OwnershipCounters m_counters;
};

} // namespace QuetzalRock
