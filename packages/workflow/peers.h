/**
 * Forwarding of requests between nodes: which nodes there are, which of them gets a request, and what follows from its
 * answer. Without network; platform/requestforwarder.h makes the calls.
 *
 * A node that cannot decide a request, because the store does not confirm its configuration or refuses its calls,
 * forwards it to a peer. Each node lists itself in the store, under a lease, as ctl/board/node/NAME. A node without
 * contact to the store keeps the list as it was when it last had contact.
 *
 * Index of this file
 *   PeerSettings                 limits and timings
 *   PeerRecord                   content of a node's entry
 *   NodeListing                  writes this node's entry and renews its lease
 *   PeerAnswer, ForwardStep      result of a call to a peer, and what to do next
 *   PeerDirectory                the other nodes; chooses one and bounds what is in flight
 */
#pragma once

#include <workflow/ports.h>

#include <base/eventlog.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace QuetzalRock::Workflow {

constexpr std::string_view NodePrefix = "ctl/board/node/"; ///< followed by the node's name

struct PeerSettings
{
    bool isEnabled = false; ///< this node lists itself, forwards requests, and accepts forwarded ones
    std::string address;    ///< ip:port at which this node takes requests, forwarded ones included

    // Listing
    Duration leaseDuration = std::chrono::seconds(10); ///< exceeds most outages of the store (2 to 9 s), so that an
                                                       ///< outage does not empty the list
    Duration renewInterval = std::chrono::seconds(3);  ///< allows three attempts within a lease
    Duration retryInterval = std::chrono::seconds(1);  ///< after a failed call

    // Choice of a peer
    std::uint32_t maxInFlight = 32;       ///< forwarded requests without an answer; a request body has up to 1 MB, and
                                          ///< the smallest node has 160 MB
    std::uint32_t maxInFlightPerPeer = 8; ///< the smallest peer has 0.07 of a core
    Duration minBackOff = std::chrono::milliseconds(200); ///< after a failed or refused call; doubles up to maxBackOff
    Duration maxBackOff = std::chrono::seconds(5);

    // One request
    int maxAttempts = 2;                                   ///< calls to different peers
    Duration hopMargin = std::chrono::milliseconds(100);   ///< kept from the peer's time so that its answer still
                                                           ///< reaches the caller
    Duration minTimeLeft = std::chrono::milliseconds(400); ///< of the caller's time, to forward at all: hopMargin,
                                                           ///< IntakeSettings::replyMargin and one store call
};

struct PeerRecord
{
    std::string address; ///< ip:port
    std::string failureDomain;
    std::string bootId; ///< differs at each start of the node
};

std::string encodePeer(const PeerRecord &record, std::uint64_t lease);
PeerRecord decodePeer(std::string_view text); ///< throws InvalidArgument

/** Keeps this node's entry in the store. It is written once, and again only if its lease is lost. */
class NodeListing
{
public:
    NodeListing(RecordStore &store,
                Clock &clock,
                EventLog &log,
                std::string node,
                PeerRecord record,
                const PeerSettings &settings);

    void tick(TimePoint now);

    /** To be called when this node's entry has changed or has been deleted. */
    void onOwnItem(const StoreItem &item);

    void end(); ///< removes the entry; to be called when the node begins to drain

    bool isListed() const;

private:
    template<typename Handler>
    void call(TimePoint now, Handler onReply, const std::function<void(StoreDone)> &send);
    void grantLease(TimePoint now);
    void writeEntry(TimePoint now);
    void renewLease(TimePoint now);
    void revokeLease(TimePoint now);
    void onLeaseLost(std::string_view reason);

    RecordStore &m_store;
    Clock &m_clock;
    EventLog &m_log;
    std::string m_key;
    PeerRecord m_record;
    PeerSettings m_settings;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< callbacks outlive this object
    std::string m_value;                                     ///< of the entry under m_lease
    std::uint64_t m_lease = 0;                               ///< 0: none
    std::uint64_t m_revision = 0;                            ///< of the entry as last written
    bool m_isStored = false;
    bool m_hasEnded = false;
    bool m_isCallInFlight = false;
    TimePoint m_nextCallAt{}; ///< earliest time of the next call
};

/** Result of one call to a peer. */
enum class PeerAnswer : std::uint8_t {
    Decided = 0,    ///< the peer has decided the request, favourably or not
    Refused = 1,    ///< the peer could not decide it: it has not run
    NotSent = 2,    ///< the request certainly has not reached the peer
    Unanswered = 3, ///< the request may have run, or may still run
};

enum class ForwardStep : std::uint8_t {
    PassOn = 0,  ///< the peer's answer goes to the caller
    TryNext = 1, ///< another peer gets the request
    Reject = 2,  ///< the caller is told that the request has not run
    Unknown = 3, ///< the caller is told that the outcome is unknown
};

/** What follows from @p answer to the call number @p attempts (from 1) with @p timeLeft of the caller's time. */
ForwardStep nextForwardStep(PeerAnswer answer, int attempts, Duration timeLeft, const PeerSettings &settings);

struct ForwardCounters
{
    std::uint64_t served = 0;     ///< answered by a peer that decided the request
    std::uint64_t refused = 0;    ///< answered by a peer that could not decide it
    std::uint64_t notSent = 0;    ///< no peer could be reached
    std::uint64_t unanswered = 0; ///< outcome unknown
    std::uint64_t noPeer = 0;     ///< not forwarded: no peer available, too little time, or too many in flight
    std::uint64_t received = 0;   ///< from other nodes
};

struct ChosenPeer
{
    std::string name;
    std::string address;
};

class PeerDirectory
{
public:
    PeerDirectory(
        Clock &clock, EventLog &log, std::string node, std::string failureDomain, const PeerSettings &settings);

    const PeerSettings &settings() const;

    /** A node's entry has changed or has been deleted. Unreadable entries are logged and count as deleted. */
    void onItem(const StoreItem &item);

    /**
     * Chooses a peer that is not in @p tried: of this node's failure domain if possible, with the fewest calls in
     * flight, then the one chosen longest ago. A further attempt goes to a peer whose last call succeeded, in a failure
     * domain that is not tried yet, if there is one: the store often turns away a whole domain. None if all are backed
     * off or have enough calls in flight. Each chosen peer must be given back with release().
     */
    std::optional<ChosenPeer> choose(const std::set<std::string> &tried);

    void release(const ChosenPeer &peer, PeerAnswer answer);

    std::size_t peers() const; ///< known, backed off ones included
    std::uint32_t inFlight() const;

    ForwardCounters counters;

private:
    struct Peer
    {
        PeerRecord record;
        std::uint32_t inFlight = 0;
        std::uint64_t chosenAt = 0; ///< number of the last choice; 0: never
        std::size_t tieBreak = 0;   ///< differs between nodes, so that they do not all begin with the same peer
        Duration backOff{};         ///< zero: the last call succeeded
        TimePoint usableAt{};       ///< backed off until then
    };

    bool isUsable(const Peer &peer, TimePoint now) const;
    std::set<std::string> domainsOf(const std::set<std::string> &names) const;

    Clock &m_clock;
    EventLog &m_log;
    std::string m_node;
    std::string m_failureDomain;
    PeerSettings m_settings;
    std::map<std::string, Peer> m_peers; ///< by name
    std::uint32_t m_inFlight = 0;        ///< also to peers that have been removed since
    std::uint64_t m_choices = 0;
    bool m_isWithoutPeers = false; ///< all peers were backed off, or there was none; as last logged
};

} // namespace QuetzalRock::Workflow
