/**
 * Who is there: the members (entry VMs) of one failure domain, and a few of its neighbours in the others.
 *
 * Index of this file
 *   MembershipSettings   intervals and limits
 *   MemberView           what is known of one member now
 *   Membership           heartbeats between members; the view
 *   RegistrySettings     the registration in the platform's service
 *   MemberRegistry       registers under a lease, watches the others' registrations
 *
 * Use: three duties, three threads
 *   Membership membership(settings, transport, clock);
 *   membership.bind(router);                                    // answers "member.heartbeat"
 *   heartbeat thread:  for (;;) { membership.step(); clock.sleepFor(StepInterval); }
 *   registry thread:   for (;;) { registry.step(); }            // waits in the platform's watch
 *   ownership thread:  see ownership.h
 *
 * Members hear of each other from the platform's service (registrations), from the seeds of their own settings and from
 * each other; they are live while they are heard. The service's absence removes nobody: a failure domain that is cut off
 * goes on with the members it knows. What a member claims is a hint; the journal's takeover decides who may write.
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

constexpr Duration StepInterval = std::chrono::milliseconds(100); ///< how often to call Membership::step()

// ---------------------------------------------------------------------------------------------------------------------
// Membership
// ---------------------------------------------------------------------------------------------------------------------

struct MembershipSettings
{
    MemberInfo self;                ///< incarnation: Clock::wallNow() at the start of the process
    std::vector<std::string> seeds; ///< addresses to try first, for a start while the platform's service is away

    Duration heartbeatInterval = std::chrono::seconds(1); ///< of each pair of members
    Duration callTimeout = std::chrono::milliseconds(300);
    Duration suspectAfter = std::chrono::seconds(3);  ///< of silence; at least twice heartbeatInterval + callTimeout
    Duration probeInterval = std::chrono::seconds(2); ///< between calls to a silent member
    Duration forgetAfter = std::chrono::minutes(10);  ///< of silence, once its registration has lapsed

    Duration rejoinAfter
        = std::chrono::seconds(10); ///< a member that came back takes shards only after so long; doubles
    Duration rejoinAfterMax = std::chrono::minutes(5); ///< with each return, up to this

    Duration exchangeInterval = std::chrono::seconds(2); ///< between calls to some member of another failure domain
    std::size_t maxNeighbours = 512;                     ///< members of other failure domains that are remembered
};

/** What is known of one other member of the own failure domain. */
struct MemberView
{
    MemberInfo info;
    bool live = false;        ///< heard directly, or by a member that is heard directly, within suspectAfter
    bool eligible = false;    ///< live, not leaving, and back for long enough to be given shards
    bool registered = false;  ///< its lease stood when the platform's service was last heard
    Duration returnPenalty{}; ///< grows with each return after silence, up to rejoinAfterMax; zero for a steady member
    Duration platformOutage{};
    std::vector<ShardClaim> claims;
    std::string note;
};

struct MembershipCounters
{
    std::uint64_t heartbeatsSent = 0;
    std::uint64_t heartbeatsFailed = 0;
    std::uint64_t heartbeatsReceived = 0;
    std::uint64_t exchanges = 0;  ///< calls to other failure domains
    std::uint64_t suspicions = 0; ///< live members that fell silent
    std::uint64_t returns = 0;    ///< silent members that were heard again
    std::uint64_t malformed = 0;
};

/** Thread-safe. Does no I/O but the heartbeats of step(). */
class Membership
{
public:
    /** Told of each note that arrives with a heartbeat, of the own failure domain or another. Called without locks. */
    using NoteListener = std::function<void(const MemberInfo &from, const std::string &note)>;

    Membership(const MembershipSettings &settings, PeerTransport &transport, Clock &clock);

    void bind(PeerRouter &router);
    void setNoteListener(NoteListener listener); ///< before the first step()

    void step(); ///< sends what is due; blocks for at most a few callTimeouts

    // What goes out with the next heartbeats
    void setClaims(std::vector<ShardClaim> claims); ///< a change goes to every live member in the next step()
    void setNote(std::string note);
    void setPlatformOutage(Duration away);
    void setLeaving();

    // What others say
    void learn(const MemberInfo &member, bool registered);  ///< from a registration, own failure domain or another
    void setRegistered(const std::set<std::string> &names); ///< all registrations now, of every failure domain
    void setVms(std::span<const Vm> vms); ///< the platform's lagging list: Leaving ones get no shard, Gone ones no wait

    // The view
    MemberInfo self() const;
    Duration platformOutage() const;
    std::vector<MemberView> members() const;    ///< of the own failure domain without oneself, ordered by name
    std::vector<MemberInfo> neighbours() const; ///< of the other failure domains
    std::string
    electedMember(std::string_view duty) const; ///< the live member that has @p duty; every member has one view
    MembershipCounters counters() const;

private:
    struct Peer
    {
        MemberInfo info;
        TimePoint heard; ///< directly; the clock's zero: never
        TimePoint heardVia;
        TimePoint liveSince;
        TimePoint nextProbe;
        TimePoint learnt;
        Duration rejoin{}; ///< how long it must have been back to be eligible
        bool live = false;
        bool everLive = false;
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
        TimePoint heard; ///< or learnt
        bool registered = false;
    };
    struct Target
    {
        std::string name;
        std::string address;
    };

    std::string onHeartbeat(const PeerCall &call);
    Heartbeat compose(bool ownDomain) const;
    void absorb(const Heartbeat &heartbeat);
    void absorbPeer(const Heartbeat &heartbeat, TimePoint now);
    void absorbHeard(const HeardMember &heard, TimePoint now);
    void absorbNeighbour(const MemberInfo &member, TimePoint now);
    Peer *upsert(const MemberInfo &member, TimePoint now);
    void refresh(Peer &peer, TimePoint now);
    bool isEligible(const Peer &peer, TimePoint now) const;
    std::vector<Target> dueTargets(TimePoint now);
    std::vector<Target> dueSeeds(TimePoint now);
    bool isDue(const Peer &peer, TimePoint now) const;
    void addExchange(std::vector<Target> &targets, TimePoint now);
    void send(const Target &target);
    void forgetOld(TimePoint now);

    MembershipSettings m_settings;
    PeerTransport &m_transport;
    Clock &m_clock;
    NoteListener m_noteListener;

    mutable std::mutex m_mutex; ///< guards what follows; never held during a call
    std::vector<ShardClaim> m_claims;
    std::string m_note;
    Duration m_platformOutage{};
    std::map<std::string, Peer> m_peers;
    std::map<std::string, Neighbour> m_neighbours;
    bool m_announce = false; ///< tell every live member in the next step
    std::string m_lastExchange;
    TimePoint m_nextExchange;
    TimePoint m_nextSeeds;
    MembershipCounters m_counters;
};

/** Rendezvous hashing: the higher, the sooner @p member is given @p what. */
std::uint64_t rendezvousScore(std::string_view what, std::string_view member);

// ---------------------------------------------------------------------------------------------------------------------
// MemberRegistry
// ---------------------------------------------------------------------------------------------------------------------

struct RegistrySettings
{
    Duration leaseTtl = std::chrono::seconds(30);          ///< renewed every third of it
    Duration directoryInterval = std::chrono::seconds(60); ///< between listings of all registrations
    Duration maxWatch = std::chrono::seconds(30);          ///< one watch waits at most so long
    Duration retryAfter = std::chrono::seconds(1);         ///< after a failed call; doubles up to retryAfterMax
    Duration retryAfterMax = std::chrono::seconds(8);
};

struct RegistryCounters
{
    std::uint64_t reads = 0;  ///< lists and watches, a waiting watch as one
    std::uint64_t writes = 0; ///< grants, renewals, registrations
    std::uint64_t failures = 0;
    std::uint64_t ignored = 0; ///< registrations that are malformed or name another failure domain than their key
};

/** One thread drives it. */
class MemberRegistry
{
public:
    /** @p vms may be null. */
    MemberRegistry(
        const RegistrySettings &settings, KeyValueService &service, VmList *vms, Membership &membership, Clock &clock);

    /**
     * Does what is due (register, renew, list), then waits in a watch for up to @p wait, or until the next call is due.
     * Pauses after a failed call where @p wait allows it. Never throws for the service's absence.
     */
    void step(Duration wait);

    void unregister(); ///< on graceful shutdown, from the same thread: removes the registration; best effort
    RegistryCounters counters() const; ///< from any thread

private:
    void renew(TimePoint now);
    void registerSelf();
    void listAll(TimePoint now);
    void watchOnce(Duration wait);
    void absorbKey(const KeyValue &it);
    void noteSuccess();
    void noteFailure(TimePoint now);
    Duration untilNextCall(TimePoint now) const;
    std::string domainPrefix() const;

    RegistrySettings m_settings;
    KeyValueService &m_service;
    VmList *m_vms;
    Membership &m_membership;
    Clock &m_clock;
    LeaseId m_lease = 0;
    Revision m_watched = 0;
    TimePoint m_nextRenewal;
    TimePoint m_nextList;
    TimePoint m_nextTry;
    Duration m_backoff{};
    std::optional<TimePoint> m_awaySince;
    MemberInfo m_registered;
    std::map<std::string, MemberInfo> m_known; ///< key -> registration
    struct
    {
        std::atomic<std::uint64_t> reads = 0;
        std::atomic<std::uint64_t> writes = 0;
        std::atomic<std::uint64_t> failures = 0;
        std::atomic<std::uint64_t> ignored = 0;
    } m_counters;
};

} // namespace QuetzalRock
