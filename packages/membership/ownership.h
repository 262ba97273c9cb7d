/**
 * Which member of a failure domain owns which shard (a group of racks).
 *
 * Index of this file
 *   ShardHost           what the daemon does to take, release and drop a shard
 *   OwnershipSettings   delays that keep ownership from flapping
 *   Ownership           when to try; one for each process
 *
 * Use
 *   Ownership ownership(settings, membership, host, clock);
 *   ownership thread:  for (;;) { ownership.step(); clock.sleepFor(StepInterval); }
 *   thread of a log:   catch (const Fenced &) { ownership.onFenced(shard, epoch); }
 *   SIGTERM:           ownership.beginShutdown();  // releases every shard, then go on with heartbeats for a moment
 *
 * This decides only when to try. Who may write is decided by the journal: ShardHost::acquire() is Log::takeOver(), after
 * which the former owner's next append fails. So two members with different views cost an epoch, never a double owner.
 * Candidates are the members of the own failure domain only.
 */
#pragma once

#include <membership/membership.h>

#include <optional>

namespace QuetzalRock {

/** What owning a shard means to the process. Called from Ownership::step() and beginShutdown(), without locks. */
class ShardHost
{
public:
    virtual ~ShardHost() = default;

    /** Takes the shard's journal over and starts its scheduler; returns the epoch. May throw any Error. */
    virtual std::uint64_t acquire(const std::string &shard) = 0;

    virtual void release(const std::string &shard) = 0; ///< graceful: finish, append the release record, stop; no throw
    virtual void drop(const std::string &shard) = 0;    ///< another owns it: stop at once, write nothing; no throw
};

struct OwnershipSettings
{
    std::vector<std::string> shards; ///< of the own failure domain; the same on each of its members

    Duration settleDelay = std::chrono::seconds(3);          ///< after a start or a pause: hear the others first
    Duration pauseAfter = std::chrono::seconds(3);           ///< a gap between steps that counts as a pause
    Duration takeoverDelay = std::chrono::milliseconds(300); ///< a shard must have been without an owner for so long
    Duration rankStagger = std::chrono::seconds(1);          ///< more for each member that comes before this one
    Duration retryAfter = std::chrono::seconds(1);           ///< after a failed takeover; doubles up to 16 times that
    /**
     * An owner cut off from the platform for so long is replaced by a member that has reached it for so long. Above the
     * registry's retryAfterMax and a half, or the first to see an outage end takes what the others own.
     */
    Duration cutOwnerAfter = std::chrono::seconds(20);

    Duration fencedBackoff = std::chrono::seconds(30); ///< before trying again where no owner is heard; doubles
    Duration fencedBackoffMax = std::chrono::minutes(10);

    Duration rebalanceAfter = std::chrono::seconds(60);  ///< the preferred member must have been eligible for so long
    Duration rebalanceSpacing = std::chrono::seconds(5); ///< between two handovers by this member
};

struct OwnershipCounters
{
    std::uint64_t acquired = 0;
    std::uint64_t acquireFailures = 0;
    std::uint64_t fenced = 0;     ///< told by the journal
    std::uint64_t outclaimed = 0; ///< told by a heartbeat with a higher epoch
    std::uint64_t released = 0;   ///< on shutdown
    std::uint64_t rebalanced = 0; ///< handed to the preferred member
    std::uint64_t pauses = 0;
};

/** step() and beginShutdown() from one thread; the rest from any. */
class Ownership
{
public:
    Ownership(const OwnershipSettings &settings, Membership &membership, ShardHost &host, Clock &clock);

    void step();
    void onFenced(const std::string &shard, std::uint64_t epoch); ///< stand down; drop() follows in the next step()
    void beginShutdown();

    std::vector<ShardClaim> claims() const;                             ///< what this process owns, as far as it knows
    std::optional<std::string> ownerOf(const std::string &shard) const; ///< the live owner's name, where one is known
    OwnershipCounters counters() const;

private:
    struct Shard
    {
        std::string name;
        std::uint64_t epoch = 0; ///< 0: not owned
        bool fenced = false;     ///< drop it in the next step
        std::optional<TimePoint> vacantSince;
        TimePoint notBefore;
        Duration fencedBackoff{};
        Duration retry{};
        std::string preferred;
        TimePoint preferredSince;
        std::string knownOwner;
    };

    void notePause(TimePoint now);
    void stepShard(Shard &shard, std::span<const MemberView> members, TimePoint now);
    void stepOwned(Shard &shard, std::span<const MemberView> members, TimePoint now);
    void stepVacant(Shard &shard, std::span<const MemberView> members, TimePoint now);
    void tryAcquire(Shard &shard, TimePoint now);
    void standDown(Shard &shard, TimePoint now);
    void rebalance(Shard &shard, std::span<const MemberView> members, TimePoint now);
    void publish();
    const MemberView *claimant(const Shard &shard, std::span<const MemberView> members) const;
    bool isHonoured(const MemberView &member) const;
    Duration holdFor(const Shard &shard, std::span<const MemberView> members) const;
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
    TimePoint m_settledAt;
    TimePoint m_platformSince; ///< the platform has been in reach since
    TimePoint m_nextRebalance;

    mutable std::mutex m_mutex; ///< guards the shards' epoch, fenced and knownOwner, and the counters
    std::vector<Shard> m_shards;
    OwnershipCounters m_counters;
};

} // namespace QuetzalRock
