/**
 * How an accepted version of the settings comes into force in every process.
 *
 * Index of this file
 *   SettingsVersion        one version; lives as long as somebody uses it
 *   PropagationSettings    intervals
 *   DomainRollout            in how far a version is in force in one failure domain
 *   SettingsPropagation    watch, relay, pull; one for each process
 *
 * Use: two duties, two threads
 *   SettingsPropagation settings(propagationSettings, service, membership, transport, clock);
 *   settings.bind(router);                                         // answers "settings.*"
 *   watch thread:  for (;;) { settings.stepWatch(maxWait); }       // one member of a failure domain really watches
 *   relay thread:  for (;;) { settings.stepRelay(maxWait); }
 *   anywhere:      auto now = settings.current();                  // keep it for the length of one request
 *   health page:   ready once settings.isReady()
 *   after a write: settings.publish(document);                       // then rolloutStatus(version) until all are in force
 *
 * Four ways, from fast to sure: the elected member's watch, its offers to the others of its failure domain, digests in all
 * heartbeats (also between failure domains, so one that is cut off from the platform only still learns), a slow read.
 * A process never takes a lower version than it has. Where the service itself has fallen back (lost data), the elected
 * member writes the version in force back to it.
 */
#pragma once

#include <membership/membership.h>
#include <settings/settingsstore.h>

#include <condition_variable>
#include <memory>
#include <set>

namespace QuetzalRock {

struct SettingsVersion
{
    SettingsDocument document;
    std::string digest;
};

struct PropagationSettings
{
    Duration callTimeout = std::chrono::milliseconds(500);
    Duration pullInterval = std::chrono::seconds(1); ///< between pulls from the same member
    Duration pollInterval = std::chrono::minutes(5); ///< between reads by a member that does not watch; spread by name
    Duration retryAfter = std::chrono::seconds(1);   ///< after the service failed
    Duration settleDelay = std::chrono::seconds(3);  ///< a start without the service: time to hear every member
    int statusTries = 3;                             ///< members of a failure domain that rolloutStatus() asks in turn
};

enum class RolloutState : std::uint8_t {
    Complete = 0,
    Incomplete = 1,  ///< reached, and some member of it has a lower version
    Unreachable = 2, ///< no member of it answered
};

struct DomainRollout
{
    std::string region;
    std::string failureDomain;
    RolloutState state = RolloutState::Unreachable;
    std::uint64_t lowestVersion = 0; ///< lowest version of its live members, where reached
    int members = 0;                 ///< live members, where reached
};

struct PropagationCounters
{
    std::uint64_t reads = 0;   ///< gets and watches at the service, a waiting watch as one
    std::uint64_t adopted = 0; ///< versions taken
    std::uint64_t lowerIgnored = 0;
    std::uint64_t divergent = 0; ///< same version, other contents: must stay 0
    std::uint64_t offersSent = 0;
    std::uint64_t pulls = 0;
    std::uint64_t pullsOfWhole = 0; ///< answered with the whole document
    std::uint64_t failures = 0;     ///< calls that failed, to peers and to the service
    std::uint64_t restored = 0;     ///< times that this process wrote the version in force back to the service
};

/** Thread-safe; stepWatch() from one thread, stepRelay() from another. */
class SettingsPropagation
{
public:
    SettingsPropagation(const PropagationSettings &settings,
                        KeyValueService &service,
                        Membership &membership,
                        PeerTransport &transport,
                        Clock &clock);

    void bind(PeerRouter &router);

    void stepWatch(Duration wait);
    void stepRelay(Duration wait);

    /** Takes @p document if it is newer, and has it relayed. True where it was newer. */
    bool publish(const SettingsDocument &document);

    std::shared_ptr<const SettingsVersion> current() const; ///< never null; version 0 before anything is known
    bool isReady() const; ///< the failure domain's highest version is known and in force here; stays true
    std::vector<DomainRollout> rolloutStatus(std::uint64_t version); ///< asks the other failure domains; own one first
    PropagationCounters counters() const;

private:
    struct PeerState
    {
        MemberInfo info;
        std::uint64_t version = 0;
        bool ready = false;
        TimePoint nextPull;
    };
    struct Offer
    {
        std::string name;
        std::string address;
        std::uint64_t version;
    };

    void readNow(TimePoint now);
    void watchNow(Duration wait);
    void absorbStored(const KeyValue &stored);
    bool adopt(const SettingsDocument &document, bool relay);
    void onNote(const MemberInfo &from, const std::string &note);
    std::string onOffer(const PeerCall &call);
    std::string onPull(const PeerCall &call);
    std::string onStatus(const PeerCall &call);
    bool applyEntries(std::string_view entriesJson, const std::string &digest);
    void noteHigher(const std::string &name, std::uint64_t version);
    void forgetPeers();
    std::vector<Offer> dueOffers();
    void sendOffer(const Offer &offer);
    std::vector<Offer> duePulls(TimePoint now);
    void pullFrom(const Offer &source);
    bool takePulled(const Offer &source, std::uint64_t have, bool whole);
    DomainRollout ownForce(std::uint64_t version);
    DomainRollout askForce(const std::vector<MemberInfo> &members, std::uint64_t version);
    void refreshReady();
    std::string noteText() const;
    void countFailure();

    PropagationSettings m_settings;
    KeyValueService &m_service;
    Membership &m_membership;
    PeerTransport &m_transport;
    Clock &m_clock;
    TimePoint m_started;
    TimePoint m_nextRead; ///< of the watch thread, as the two below
    TimePoint m_nextTry;
    Revision m_watched = 0;

    mutable std::mutex m_mutex; ///< guards what follows; never held during a call
    std::condition_variable m_work;
    std::shared_ptr<const SettingsVersion> m_current;
    std::map<std::string, PeerState> m_peers; ///< members of all failure domains that sent a note
    bool m_offerDue = false;
    bool m_pullDue = false;
    bool m_serviceRead = false; ///< the service has been read since the start
    bool m_ready = false;
    PropagationCounters m_counters;
};

} // namespace QuetzalRock
