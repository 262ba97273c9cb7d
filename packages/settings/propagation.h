/**
 * Distributes each accepted version of the settings to every process, where it becomes the active one.
 *
 * Index of this file
 *   SettingsVersion        one version with its digest, shared by all users
 *   PropagationSettings    intervals and timeouts
 *   RolloutState           whether all members of a failure domain have a version
 *   DomainRollout          rollout of a version in one failure domain
 *   PropagationCounters    counters, exported as metrics
 *   SettingsPropagation    watches the key-value store, offers and pulls versions; one for each process
 *
 * Use: two threads
 *   SettingsPropagation settings(propagationSettings, service, membership, transport, clock);
 *   settings.bind(router);                                         // handles "settings.*" calls
 *   watch thread:  for (;;) { settings.stepWatch(maxWait); }       // one elected member per failure domain watches
 *   relay thread:  for (;;) { settings.stepRelay(maxWait); }
 *   anywhere:      auto now = settings.current();                  // keep it for the duration of one request
 *   health check:  settings.isReady()
 *   after a write: settings.publish(document);                     // then poll rolloutStatus(version)
 *
 * A version reaches a process in four ways, from the fastest to the most reliable:
 *   watch       the elected member of each failure domain watches the key-value store
 *   offer       a member with a new version sends it to the other members of its failure domain
 *   heartbeat   every heartbeat carries version and digest, also between failure domains; a member that sees a higher
 *               version pulls it, which also reaches failure domains that have lost only the platform
 *   poll        every member reads the key-value store once per PropagationSettings::pollInterval
 *
 * A process never replaces its version with a lower one. If the key-value store holds a lower version because it lost
 * data, the elected member writes the active version back to it.
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
    Duration pullInterval = std::chrono::seconds(1); ///< minimum time between pulls from the same member
    Duration pollInterval = std::chrono::minutes(5); ///< mean time between reads; 0.5 to 1.5 times this, by member name
    Duration retryAfter = std::chrono::seconds(1);   ///< delay after the key-value store failed
    Duration settleDelay = std::chrono::seconds(3);  ///< start without the store: time to hear from every member
    int maxStatusAttempts = 3;                       ///< members per failure domain that rolloutStatus() tries
};

enum class RolloutState : std::uint8_t {
    Complete = 0,    ///< every live member has the version or a higher one
    Incomplete = 1,  ///< a member answered, but some live member has a lower version
    Unreachable = 2, ///< no member answered
};

struct DomainRollout
{
    std::string region;
    std::string failureDomain;
    RolloutState state = RolloutState::Unreachable;
    std::uint64_t lowestVersion = 0; ///< among the live members; 0 if unreachable
    int members = 0;                 ///< number of live members; 0 if unreachable
};

struct PropagationCounters
{
    std::uint64_t reads = 0;   ///< get and watch calls to the key-value store
    std::uint64_t adopted = 0; ///< versions that became active
    std::uint64_t lowerVersionsIgnored = 0;
    std::uint64_t divergentVersions = 0; ///< same version with other contents: must stay 0
    std::uint64_t offersSent = 0;
    std::uint64_t pulls = 0;
    std::uint64_t fullDocumentPulls = 0; ///< pulls answered with the full document
    std::uint64_t failures = 0;          ///< failed calls to peers and to the key-value store
    std::uint64_t restores = 0;          ///< writes of the active version to a store that lost data
};

/** Thread-safe, but stepWatch() must always be called by one thread and stepRelay() by another. */
class SettingsPropagation
{
public:
    SettingsPropagation(const PropagationSettings &settings,
                        KeyValueService &service,
                        Membership &membership,
                        PeerTransport &transport,
                        Clock &clock);

    void bind(PeerRouter &router); ///< registers the handlers of the "settings.*" calls

    void stepWatch(Duration wait); ///< reads or watches the store once; waits at most @p wait for a change
    void stepRelay(Duration wait); ///< waits at most @p wait for due offers and pulls, then sends them

    /** Makes @p document active and offers it to the failure domain if it is newer. Returns whether it was newer. */
    bool publish(const SettingsDocument &document);

    std::shared_ptr<const SettingsVersion> current() const; ///< never null; version 0 before any is known

    /** Whether this process has reached the highest version known in its failure domain. Stays true afterwards. */
    bool isReady() const;

    /** The rollout of @p version in each failure domain, the own one first. Calls members of the other ones. */
    std::vector<DomainRollout> rolloutStatus(std::uint64_t version);

    PropagationCounters counters() const;

private:
    struct PeerState
    {
        MemberInfo info;
        std::uint64_t version = 0;
        bool isReady = false;
        TimePoint nextPull;
    };
    struct PeerVersion
    {
        std::string name;
        std::string address;
        std::uint64_t version;
    };

    void readStoredDocument(TimePoint now);
    void watchStoredDocument(Duration wait);
    void reconcileWithStored(const KeyValue &stored);
    bool adopt(const SettingsDocument &document, bool relay);
    void onNote(const MemberInfo &from, const std::string &note);
    std::string onOffer(const PeerCall &call);
    std::string onPull(const PeerCall &call);
    std::string onStatus(const PeerCall &call);
    bool applyEntries(std::string_view entriesJson, const std::string &digest);
    void recordHigherVersion(const std::string &name, std::uint64_t version);
    void removeUnknownPeers();
    std::vector<PeerVersion> takeDueOffers();
    void sendOffer(const PeerVersion &target);
    std::vector<PeerVersion> takeDuePulls(TimePoint now);
    void pullFrom(const PeerVersion &source);
    bool fetchAndApply(const PeerVersion &source, std::uint64_t haveVersion, bool fullDocument);
    DomainRollout ownDomainRollout(std::uint64_t version);
    DomainRollout queryDomainRollout(const std::vector<MemberInfo> &members, std::uint64_t version);
    void updateReadiness();
    std::string encodeNote() const;
    void countFailure();

    PropagationSettings m_settings;
    KeyValueService &m_service;
    Membership &m_membership;
    PeerTransport &m_transport;
    Clock &m_clock;
    TimePoint m_startTime;
    TimePoint m_nextReadTime; ///< this and the next two members are used by the watch thread only
    TimePoint m_nextServiceAttempt;
    Revision m_watchedRevision = 0;

    mutable std::mutex m_mutex; ///< guards the members below; never held during a call to a peer or to the store
    std::condition_variable m_workAvailable;
    std::shared_ptr<const SettingsVersion> m_current;
    std::map<std::string, PeerState> m_peers; ///< members of all failure domains that sent a heartbeat note or an offer
    bool m_offerDue = false;
    bool m_pullDue = false;
    bool m_hasReadService = false; ///< the key-value store has been read since the start
    bool m_ready = false;
    PropagationCounters m_counters;
};

} // namespace QuetzalRock
