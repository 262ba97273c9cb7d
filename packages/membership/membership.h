/**
 * Membership and failure detection: tracks the members (entry VMs) of one failure domain, and a limited number of
 * neighbours (members of other failure domains).
 *
 * Index of this file
 *   MembershipSettings   intervals and limits
 *   MemberView           current state of one member
 *   Membership           sends and receives heartbeats, keeps the state of all members
 *   rendezvousScore      hashing that ranks members for a shard or a role
 *   RegistrySettings     lease duration, intervals and retry delays
 *   MemberRegistry       registers this member under a lease, watches the other registrations
 *
 * Use, with one thread for each of heartbeats, registry and ownership
 *   Membership membership(settings, transport, clock);
 *   membership.bind(router);                                    // answers "member.heartbeat"
 *   heartbeat thread:  for (;;) { membership.step(); clock.sleepFor(StepInterval); }
 *   registry thread:   for (;;) { registry.step(wait); }        // blocks in a watch on the platform's service
 *   ownership thread:  see ownership.h
 *
 * Members discover each other through registrations in the platform's service, through the seeds in their settings and
 * through heartbeats. A member is live while heartbeats from it arrive, directly or reported by another member. An
 * outage of the platform's service removes no member, so that a failure domain that is cut off keeps working with the
 * members it knows. Shard claims are only hints: the takeover of the journal decides which member may write.
 */
#pragma once

#include <membership/heartbeat.h>
#include <peer/peer.h>
#include <platform/platform.h>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace QuetzalRock {

constexpr Duration StepInterval = std::chrono::milliseconds(100); ///< interval between calls of Membership::step()

// ---------------------------------------------------------------------------------------------------------------------
// Membership
// ---------------------------------------------------------------------------------------------------------------------

struct MembershipSettings
{
    MemberInfo self;                ///< incarnation: Clock::wallNow() at the start of the process
    std::vector<std::string> seeds; ///< addresses to contact at a start during an outage of the platform's service

    Duration heartbeatInterval = std::chrono::seconds(1); ///< for each pair of members
    Duration callTimeout = std::chrono::milliseconds(300);
    Duration suspectAfter = std::chrono::seconds(3);  ///< silence; at least 2 * (heartbeatInterval + callTimeout)
    Duration probeInterval = std::chrono::seconds(2); ///< between calls to a silent member
    Duration forgetAfter = std::chrono::minutes(10);  ///< silence before removal, if no longer registered

    /** A member that returns after silence becomes eligible for shards after this delay, doubled with each return. */
    Duration rejoinAfter = std::chrono::seconds(10);
    Duration rejoinAfterMax = std::chrono::minutes(5); ///< upper bound of the doubled delay

    Duration neighbourInterval = std::chrono::seconds(2); ///< between heartbeats to members of other failure domains
    std::size_t maxNeighbours = 512;                      ///< number of members of other failure domains that are kept
};

/** Current state of another member of the same failure domain. */
struct MemberView
{
    MemberInfo info;
    bool live = false;       ///< heard within suspectAfter, directly or through a member that was heard directly
    bool eligible = false;   ///< may be given shards: live, not leaving, and live for at least rejoinDelay
    bool registered = false; ///< had a registration at the last successful read of the platform's service
    Duration rejoinDelay{};  ///< doubles with each return after silence, up to rejoinAfterMax; zero for a stable member
    Duration platformOutage{}; ///< as reported by the member; zero while it reaches the platform's service
    std::vector<ShardClaim> claims;
    std::string note;
};

struct MembershipCounters
{
    std::uint64_t heartbeatsSent = 0;
    std::uint64_t heartbeatsFailed = 0;
    std::uint64_t heartbeatsReceived = 0;
    std::uint64_t neighbourCalls = 0; ///< heartbeats sent to other failure domains
    std::uint64_t suspicions = 0;     ///< live members that became silent for longer than suspectAfter
    std::uint64_t recoveries = 0;     ///< silent members that were heard again
    std::uint64_t malformed = 0;      ///< received heartbeats that could not be decoded
};

/** Thread-safe. Performs no I/O except for the heartbeats that step() sends. */
class Membership
{
public:
    /** Called with the note of each heartbeat or reply received, from any failure domain. No lock is held. */
    using NoteListener = std::function<void(const MemberInfo &from, const std::string &note)>;

    Membership(const MembershipSettings &settings, PeerTransport &transport, Clock &clock);

    void bind(PeerRouter &router);
    void setNoteListener(NoteListener listener); ///< call before the first step()

    void step(); ///< sends the heartbeats that are due; blocks for one callTimeout per member that does not answer

    // Content of the next heartbeats
    void setClaims(std::vector<ShardClaim> claims); ///< the next step() sends a change to every live member
    void setNote(std::string note);
    void setPlatformOutage(Duration outage); ///< zero while the platform's service is reachable
    void setLeaving();                       ///< the next step() sends this to every live member

    // Input from the platform's service
    void updateMember(const MemberInfo &member, bool registered); ///< adds or updates a member of any failure domain
    void setRegistered(const std::set<std::string> &names); ///< all current registrations, of every failure domain

    /**
     * Applies the platform's list of VMs, which may lag behind. A member on a Leaving VM is not eligible for shards;
     * one on a Gone VM counts as unregistered, so that a takeover of its shards is not delayed.
     */
    void setVms(std::span<const Vm> vms);

    // Current state
    MemberInfo self() const;
    Duration platformOutage() const;            ///< as last set
    std::vector<MemberView> members() const;    ///< own failure domain, without this member, ordered by name
    std::vector<MemberInfo> neighbours() const; ///< other failure domains

    /**
     * The live member of the own failure domain that performs @p role. Members with the same view elect the same one;
     * it may be this member. Members that reach the platform's service are preferred.
     */
    std::string electedMember(std::string_view role) const;
    MembershipCounters counters() const;

private:
    struct Peer
    {
        MemberInfo info;
        TimePoint lastHeard;           ///< directly; the clock's zero: never
        TimePoint lastHeardIndirectly; ///< reported by another member
        TimePoint liveSince;
        TimePoint nextProbe;
        TimePoint addedAt;
        Duration rejoinDelay{}; ///< how long it must have been live to be eligible
        bool live = false;
        bool hasBeenLive = false;
        bool registered = false;
        bool vmGone = false;
        bool vmLeaving = false;
        Duration platformOutage{};
        std::vector<ShardClaim> claims;
        std::string note;
    };
    struct Neighbour
    {
        MemberInfo info;
        TimePoint nextProbe;
        TimePoint lastHeard; ///< last heartbeat or registration received
        bool registered = false;
    };
    struct Target
    {
        std::string name; ///< empty for a seed, whose name is not known yet
        std::string address;
    };

    std::string onHeartbeat(const PeerCall &call);
    Heartbeat makeHeartbeat(bool ownDomain) const;
    void applyHeartbeat(const Heartbeat &heartbeat);
    void applyPeerHeartbeat(const Heartbeat &heartbeat, TimePoint now);
    void applyIndirectReport(const HeardMember &heard, TimePoint now);
    void updateNeighbour(const MemberInfo &member, TimePoint now);
    Peer *findOrAddPeer(const MemberInfo &member, TimePoint now);
    void updateLiveness(Peer &peer, TimePoint now);
    bool isEligible(const Peer &peer, TimePoint now) const;
    std::vector<Target> dueTargets(TimePoint now);
    std::vector<Target> dueSeeds(TimePoint now);
    bool isDue(const Peer &peer, TimePoint now) const;
    void addNeighbourTarget(std::vector<Target> &targets, TimePoint now);
    void send(const Target &target);
    void removeExpired(TimePoint now);

    MembershipSettings m_settings;
    PeerTransport &m_transport;
    Clock &m_clock;
    NoteListener m_noteListener;

    mutable std::mutex m_mutex; ///< guards the members below; never held during a call to another member
    std::vector<ShardClaim> m_claims;
    std::string m_note;
    Duration m_platformOutage{};
    std::map<std::string, Peer> m_peers;
    std::map<std::string, Neighbour> m_neighbours;
    bool m_isBroadcastPending = false; ///< the next step() sends a heartbeat to every live member
    std::string m_lastNeighbour;
    TimePoint m_nextNeighbourCall;
    TimePoint m_nextSeedCall;
    MembershipCounters m_counters;
};

/** Rendezvous (highest random weight) hashing: @p key is assigned to the member with the highest score. */
std::uint64_t rendezvousScore(std::string_view key, std::string_view member);

// ---------------------------------------------------------------------------------------------------------------------
// MemberRegistry
// ---------------------------------------------------------------------------------------------------------------------

struct RegistrySettings
{
    Duration leaseTtl = std::chrono::seconds(30);     ///< renewed after a third of it
    Duration listInterval = std::chrono::seconds(60); ///< between complete listings of all registrations
    Duration maxWatchWait = std::chrono::seconds(30); ///< limit of the wait in one watch
    Duration retryAfter = std::chrono::seconds(1);    ///< after a failed call; doubles up to retryAfterMax
    Duration retryAfterMax = std::chrono::seconds(8);
};

struct RegistryCounters
{
    std::uint64_t reads = 0;    ///< get, list and watch calls
    std::uint64_t writes = 0;   ///< lease grants, renewals and revocations, registrations
    std::uint64_t failures = 0; ///< failed calls
    std::uint64_t ignored
        = 0; ///< registrations that are malformed or whose failure domain or name contradicts their key
};

/**
 * Keeps this member registered in the platform's service and passes the registrations of the others to Membership.
 * Not thread-safe, except for counters(): call the other functions from one thread.
 */
class MemberRegistry
{
public:
    /** @p vms may be null: then no list of VMs is read. */
    MemberRegistry(
        const RegistrySettings &settings, KeyValueService &service, VmList *vms, Membership &membership, Clock &clock);

    /**
     * Makes the calls that are due (register, renew the lease, list), then blocks in a watch for up to @p wait or until
     * the next call is due. After a failed call it sleeps for up to @p wait until the retry delay has passed. Errors of
     * the service are counted and reported to Membership as an outage, not thrown.
     */
    void step(Duration wait);

    void unregister();                 ///< graceful shutdown: removes the registration if the service is reachable
    RegistryCounters counters() const; ///< may be called from any thread

private:
    void renewRegistration(TimePoint now);
    void registerSelf();
    void listRegistrations(TimePoint now);
    void watchChanges(Duration wait);
    void applyRegistration(const KeyValue &it);
    void recordSuccess();
    void recordFailure(TimePoint now);
    Duration timeUntilNextCall(TimePoint now) const;
    std::string domainPrefix() const;

    RegistrySettings m_settings;
    KeyValueService &m_service;
    VmList *m_vms;
    Membership &m_membership;
    Clock &m_clock;
    LeaseId m_lease = 0;
    Revision m_watchedRevision = 0; ///< the next watch reports changes after this one
    TimePoint m_nextRenewal;
    TimePoint m_nextList;
    TimePoint m_nextAttempt;
    Duration m_backoff{};
    std::optional<TimePoint> m_unreachableSince;       ///< unset while the platform's service answers
    MemberInfo m_registeredInfo;                       ///< content of this member's registration as last written
    std::map<std::string, MemberInfo> m_registrations; ///< by key; other members' and this one's
    struct
    {
        std::atomic<std::uint64_t> reads = 0;
        std::atomic<std::uint64_t> writes = 0;
        std::atomic<std::uint64_t> failures = 0;
        std::atomic<std::uint64_t> ignored = 0;
    } m_counters;
};

} // namespace QuetzalRock
