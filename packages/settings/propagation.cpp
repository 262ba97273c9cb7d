#include <settings/propagation.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

constexpr std::string_view WatchDuty = "settings-watch";
constexpr const char *OfferMethod = "settings.offer";
constexpr const char *PullMethod = "settings.pull";
constexpr const char *StatusMethod = "settings.status";

std::shared_ptr<const SettingsVersion> makeVersion(SettingsDocument document)
{
    auto version = std::make_shared<SettingsVersion>();
    version->digest = digestOf(document.version, document.tree);
    version->document = std::move(document);
    return version;
}

/** History entries after @p version as JSON. Returns nullopt if the history does not hold all of them with changes. */
std::optional<std::string> entriesAfter(const SettingsDocument &document, std::uint64_t version)
{
    std::vector<HistoryEntry> entries;
    for (const HistoryEntry &it : document.history) {
        if (it.version > version) {
            if (it.changes.empty()) {
                return std::nullopt;
            }
            entries.push_back(it);
        }
    }
    const bool complete = !entries.empty() && entries.front().version == version + 1;
    return complete ? std::optional(encodeHistory(entries)) : std::nullopt;
}

/** Calls @p parse with the JSON of a peer's message. Throws InvalidArgument if it is malformed. */
template<typename Parse>
auto parseJson(std::string_view text, Parse parse)
{
    try {
        return parse(Json::parse(text));
    } catch (const Json::exception &ec) {
        throw InvalidArgument("settings message", ec.what());
    }
}

/** Version information that a member sends with each heartbeat. */
struct HeartbeatNote
{
    std::uint64_t version = 0;
    std::string digest;
    bool isReady = false;
};

constexpr std::size_t DigestChars = 16;

/** Parses "version:digest:ready", where ready is 0 or 1. */
std::optional<HeartbeatNote> parseNote(std::string_view text)
{
    HeartbeatNote note;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), note.version);
    const std::string_view rest = text.substr(static_cast<std::size_t>(end - text.data()));
    if (ec != std::errc() || rest.size() != DigestChars + 3 || rest[0] != ':' || rest[DigestChars + 1] != ':') {
        return std::nullopt;
    }
    note.digest = rest.substr(1, DigestChars);
    note.isReady = rest.back() == '1';
    return note;
}

} // namespace

SettingsPropagation::SettingsPropagation(const PropagationSettings &settings,
                                         KeyValueService &service,
                                         Membership &membership,
                                         PeerTransport &transport,
                                         Clock &clock)
    : m_settings(settings)
    , m_service(service)
    , m_membership(membership)
    , m_transport(transport)
    , m_clock(clock)
    , m_startTime(clock.now())
    , m_current(makeVersion({}))
{
    m_membership.setNote(encodeNote());
    m_membership.setNoteListener([this](const MemberInfo &from, const std::string &note) { onNote(from, note); });
}

void SettingsPropagation::bind(PeerRouter &router)
{
    router.on(OfferMethod, [this](const PeerCall &call) { return onOffer(call); });
    router.on(PullMethod, [this](const PeerCall &call) { return onPull(call); });
    router.on(StatusMethod, [this](const PeerCall &call) { return onStatus(call); });
}

// ---------------------------------------------------------------------------------------------------------------------
// Watch of the key-value store
// ---------------------------------------------------------------------------------------------------------------------

void SettingsPropagation::stepWatch(Duration wait)
{
    const TimePoint now = m_clock.now();
    const bool elected = m_membership.electedMember(WatchDuty) == m_membership.self().name;
    const bool idle = now < m_nextServiceAttempt || (!elected && now < m_nextReadTime);
    if (idle) {
        if (wait > Duration::zero()) {
            m_clock.sleepFor(std::min(wait, m_settings.retryAfter));
        }
        updateReadiness();
        return;
    }
    try {
        if (now >= m_nextReadTime) {
            readStoredDocument(now);
        } else {
            watchStoredDocument(wait);
        }
    } catch (const Error &) {
        m_nextServiceAttempt = m_clock.now() + m_settings.retryAfter;
        countFailure();
    }
    updateReadiness();
}

void SettingsPropagation::readStoredDocument(TimePoint now)
{
    {
        std::lock_guard guard(m_mutex);
        ++m_counters.reads;
    }
    const std::optional<KeyValue> found = m_service.get(SettingsKeyName);
    const Duration spread(rendezvousScore("poll", m_membership.self().name) % m_settings.pollInterval.count());
    m_nextReadTime = now + m_settings.pollInterval / 2 + spread;
    reconcileWithStored(found.value_or(KeyValue{}));
    std::lock_guard guard(m_mutex);
    m_hasReadService = true;
}

void SettingsPropagation::watchStoredDocument(Duration wait)
{
    {
        std::lock_guard guard(m_mutex);
        ++m_counters.reads;
    }
    const WatchResult result = m_service.watch(SettingsPrefix, m_watchedRevision, wait);
    m_watchedRevision = std::max(m_watchedRevision, result.revision);
    for (const KeyValue &it : result.changed) {
        if (it.key == SettingsKeyName) {
            reconcileWithStored(it);
        }
    }
    if (!result.removed.empty()) {
        reconcileWithStored({});
    }
}

/** Adopts the stored document. If its version is below the active one, the elected member restores the lost data. */
void SettingsPropagation::reconcileWithStored(const KeyValue &stored)
{
    m_watchedRevision = std::max(m_watchedRevision, stored.revision);
    const SettingsDocument document = stored.revision == 0 ? SettingsDocument{} : decodeDocument(stored.value);
    const std::shared_ptr<const SettingsVersion> active = current();
    if (document.version >= active->document.version) {
        adopt(document, true);
        return;
    }
    if (m_membership.electedMember(WatchDuty) != m_membership.self().name) {
        return;
    }
    const CasResult result
        = m_service.compareAndSwap(SettingsKeyName, stored.revision, encodeDocument(active->document), 0);
    std::lock_guard guard(m_mutex);
    m_counters.restores += result.swapped ? 1 : 0;
}

// ---------------------------------------------------------------------------------------------------------------------
// Adopting a version
// ---------------------------------------------------------------------------------------------------------------------

bool SettingsPropagation::publish(const SettingsDocument &document)
{
    return adopt(document, true);
}

bool SettingsPropagation::adopt(const SettingsDocument &document, bool relay)
{
    auto version = makeVersion(document);
    {
        std::lock_guard guard(m_mutex);
        if (document.version < m_current->document.version) {
            ++m_counters.lowerVersionsIgnored;
            return false;
        }
        if (document.version == m_current->document.version) {
            m_counters.divergentVersions += version->digest != m_current->digest ? 1 : 0;
            return false;
        }
        m_current = std::move(version);
        ++m_counters.adopted;
        m_offerDue = m_offerDue || relay;
    }
    m_workAvailable.notify_all();
    updateReadiness();
    return true;
}

/** Applies history entries to the active document. Returns false if they do not follow on it or the digest differs. */
bool SettingsPropagation::applyEntries(std::string_view entriesJson, const std::string &digest)
{
    const std::shared_ptr<const SettingsVersion> active = current();
    SettingsDocument document = active->document;
    for (const HistoryEntry &it : decodeHistory(entriesJson)) {
        if (it.version <= document.version) {
            continue; // already received, through a duplicate call or in another way
        }
        if (it.version != document.version + 1 || !applyHistoryEntry(document, it).empty()) {
            return false;
        }
    }
    if (digestOf(document.version, document.tree) != digest) {
        return false;
    }
    adopt(document, false);
    return true;
}

void SettingsPropagation::updateReadiness()
{
    const std::vector<MemberView> members = m_membership.members();
    const bool isSettled = m_clock.now() - m_startTime >= m_settings.settleDelay;
    std::string note;
    {
        std::lock_guard guard(m_mutex);
        bool isHighest = true;
        bool hasHeardAll = true;
        bool isAnyReady = false;
        for (const MemberView &it : members) {
            const auto peer = m_peers.find(it.info.name);
            if (!it.live) {
                continue;
            }
            hasHeardAll = hasHeardAll && peer != m_peers.end();
            isAnyReady = isAnyReady || (peer != m_peers.end() && peer->second.isReady);
            isHighest = isHighest && (peer == m_peers.end() || peer->second.version <= m_current->document.version);
        }
        // If the store cannot be read, the versions of all live members are sufficient, provided that one of them is
        // ready: it has known the failure domain's highest version before.
        const bool hasReliableSource = m_hasReadService || (isSettled && hasHeardAll && isAnyReady);
        m_ready = m_ready || (hasReliableSource && isHighest);
        note = encodeNote();
    }
    m_membership.setNote(std::move(note));
}

// ---------------------------------------------------------------------------------------------------------------------
// Heartbeats
// ---------------------------------------------------------------------------------------------------------------------

std::string SettingsPropagation::encodeNote() const
{
    return std::to_string(m_current->document.version) + ":" + m_current->digest + (m_ready ? ":1" : ":0");
}

void SettingsPropagation::onNote(const MemberInfo &from, const std::string &text)
{
    const std::optional<HeartbeatNote> note = parseNote(text);
    if (!note) {
        return;
    }
    bool higher = false;
    {
        std::lock_guard guard(m_mutex);
        PeerState &peer = m_peers[from.name];
        peer.info = from;
        peer.version = note->version;
        peer.isReady = note->isReady;
        higher = note->version > m_current->document.version;
        const bool same = note->version == m_current->document.version;
        m_counters.divergentVersions += same && note->digest != m_current->digest ? 1 : 0;
        m_pullDue = m_pullDue || higher;
    }
    if (higher) {
        m_workAvailable.notify_all();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Offers and pulls
// ---------------------------------------------------------------------------------------------------------------------

void SettingsPropagation::stepRelay(Duration wait)
{
    {
        std::unique_lock lock(m_mutex);
        const TimePoint deadline = m_clock.now() + wait;
        while (!m_offerDue && !m_pullDue && m_clock.now() < deadline) {
            m_clock.waitUntil(lock, m_workAvailable, deadline);
        }
    }
    for (const PeerVersion &it : takeDuePulls(m_clock.now())) {
        pullFrom(it);
    }
    for (const PeerVersion &it : takeDueOffers()) {
        sendOffer(it);
    }
    removeUnknownPeers();
    updateReadiness();
}

/** Without this, m_peers would grow with every VM that is replaced under a new name. */
void SettingsPropagation::removeUnknownPeers()
{
    std::set<std::string> knownNames;
    for (const MemberView &it : m_membership.members()) {
        knownNames.insert(it.info.name);
    }
    for (const MemberInfo &it : m_membership.neighbours()) {
        knownNames.insert(it.name);
    }
    std::lock_guard guard(m_mutex);
    std::erase_if(m_peers, [&](const auto &it) { return !knownNames.contains(it.first); });
}

/** Live members of the own failure domain that are not known to have the active version. Resets m_offerDue. */
std::vector<SettingsPropagation::PeerVersion> SettingsPropagation::takeDueOffers()
{
    const std::vector<MemberView> members = m_membership.members();
    std::vector<PeerVersion> targets;
    std::lock_guard guard(m_mutex);
    if (!std::exchange(m_offerDue, false)) {
        return targets;
    }
    for (const MemberView &it : members) {
        const auto peer = m_peers.find(it.info.name);
        const std::uint64_t version = peer == m_peers.end() ? 0 : peer->second.version;
        if (it.live && version < m_current->document.version) {
            targets.push_back({it.info.name, it.info.address, version});
        }
    }
    return targets;
}

void SettingsPropagation::sendOffer(const PeerVersion &target)
{
    const std::shared_ptr<const SettingsVersion> active = current();
    Json json = {{"version", active->document.version}, {"digest", active->digest}, {"from", m_membership.self().name}};
    if (const auto entries = entriesAfter(active->document, target.version)) {
        json["entries"] = *entries;
    }
    {
        std::lock_guard guard(m_mutex);
        ++m_counters.offersSent;
    }
    try {
        const std::string answer = m_transport.call(target.address, OfferMethod, json.dump(), m_settings.callTimeout);
        const auto peerVersion
            = parseJson(answer, [](const Json &it) { return it.at("version").get<std::uint64_t>(); });
        std::lock_guard guard(m_mutex);
        PeerState &peer = m_peers[target.name];
        peer.version = std::max(peer.version, peerVersion);
    } catch (const Error &) {
        countFailure(); // the peer learns of the version from a heartbeat and pulls it
    }
}

std::string SettingsPropagation::onOffer(const PeerCall &call)
{
    parseJson(call.body, [&](const Json &json) {
        const auto version = json.at("version").get<std::uint64_t>();
        const auto digest = json.at("digest").get<std::string>();
        const bool newer = version > current()->document.version;
        const bool applied
            = newer && json.contains("entries") && applyEntries(json["entries"].get<std::string>(), digest);
        if (newer && !applied) {
            recordHigherVersion(json.at("from").get<std::string>(), version);
        }
        return 0;
    });
    return Json{{"version", current()->document.version}}.dump();
}

/** Records that the member @p name has @p version, and schedules a pull by the relay thread. */
void SettingsPropagation::recordHigherVersion(const std::string &name, std::uint64_t version)
{
    {
        std::lock_guard guard(m_mutex);
        PeerState &peer = m_peers[name];
        peer.version = std::max(peer.version, version);
        m_pullDue = true;
    }
    m_workAvailable.notify_all();
}

std::vector<SettingsPropagation::PeerVersion> SettingsPropagation::takeDuePulls(TimePoint now)
{
    std::vector<PeerVersion> sources;
    std::lock_guard guard(m_mutex);
    if (!std::exchange(m_pullDue, false)) {
        return sources;
    }
    for (auto &[name, peer] : m_peers) {
        const bool isNewer = peer.version > m_current->document.version && !peer.info.address.empty();
        if (isNewer && now >= peer.nextPull) {
            peer.nextPull = now + m_settings.pullInterval;
            sources.push_back({name, peer.info.address, peer.version});
        }
    }
    // Highest version first: the remaining pulls are then usually unnecessary.
    std::stable_sort(sources.begin(), sources.end(), [](const PeerVersion &a, const PeerVersion &b) {
        return a.version > b.version;
    });
    return sources;
}

void SettingsPropagation::pullFrom(const PeerVersion &source)
{
    const std::uint64_t haveVersion = current()->document.version;
    if (source.version <= haveVersion) {
        return; // received by an earlier pull of this step
    }
    {
        std::lock_guard guard(m_mutex);
        ++m_counters.pulls;
    }
    try {
        // If the changes do not apply, the active document is not the one they were made for: pull the full document.
        if (!fetchAndApply(source, haveVersion, false)) {
            fetchAndApply(source, haveVersion, true);
        }
    } catch (const Error &) {
        countFailure();
    }
    // Offers a pulled version, which may come from another failure domain, to the members of this one.
    std::lock_guard guard(m_mutex);
    m_offerDue = m_offerDue || m_current->document.version > haveVersion;
}

/** Pulls the changes after @p haveVersion or the full document from @p source. Returns false if they do not apply. */
bool SettingsPropagation::fetchAndApply(const PeerVersion &source, std::uint64_t haveVersion, bool fullDocument)
{
    const std::string request = Json{{"have", haveVersion}, {"whole", fullDocument}}.dump();
    const std::string answer = m_transport.call(source.address, PullMethod, request, m_settings.callTimeout);
    return parseJson(answer, [&](const Json &json) {
        if (json.contains("document")) {
            adopt(decodeDocument(json["document"].get<std::string>()), true);
            return true;
        }
        return applyEntries(json.at("entries").get<std::string>(), json.at("digest").get<std::string>());
    });
}

std::string SettingsPropagation::onPull(const PeerCall &call)
{
    const auto haveVersion
        = parseJson(call.body, [](const Json &json) { return json.at("have").get<std::uint64_t>(); });
    const bool fullDocument = parseJson(call.body, [](const Json &json) { return json.at("whole").get<bool>(); });
    const std::shared_ptr<const SettingsVersion> active = current();
    Json json = {{"digest", active->digest}};
    const auto entries = fullDocument ? std::nullopt : entriesAfter(active->document, haveVersion);
    if (entries) {
        json["entries"] = *entries;
        return json.dump();
    }
    {
        std::lock_guard guard(m_mutex);
        ++m_counters.fullDocumentPulls;
    }
    json["document"] = encodeDocumentUncompressed(active->document);
    return json.dump();
}

// ---------------------------------------------------------------------------------------------------------------------
// State and rollout status
// ---------------------------------------------------------------------------------------------------------------------

std::shared_ptr<const SettingsVersion> SettingsPropagation::current() const
{
    std::lock_guard guard(m_mutex);
    return m_current;
}

bool SettingsPropagation::isReady() const
{
    std::lock_guard guard(m_mutex);
    return m_ready;
}

PropagationCounters SettingsPropagation::counters() const
{
    std::lock_guard guard(m_mutex);
    return m_counters;
}

void SettingsPropagation::countFailure()
{
    std::lock_guard guard(m_mutex);
    ++m_counters.failures;
}

DomainRollout SettingsPropagation::ownDomainRollout(std::uint64_t version)
{
    const MemberInfo self = m_membership.self();
    const std::vector<MemberView> members = m_membership.members();
    DomainRollout rollout{self.region, self.failureDomain, RolloutState::Complete, 0, 1};
    std::lock_guard guard(m_mutex);
    rollout.lowestVersion = m_current->document.version;
    for (const MemberView &it : members) {
        if (!it.live) {
            continue;
        }
        ++rollout.members;
        const auto peer = m_peers.find(it.info.name);
        rollout.lowestVersion = std::min(rollout.lowestVersion, peer == m_peers.end() ? 0 : peer->second.version);
    }
    rollout.state = rollout.lowestVersion >= version ? RolloutState::Complete : RolloutState::Incomplete;
    return rollout;
}

std::string SettingsPropagation::onStatus(const PeerCall &call)
{
    const auto version = parseJson(call.body, [](const Json &json) { return json.at("version").get<std::uint64_t>(); });
    const DomainRollout rollout = ownDomainRollout(version);
    return Json{{"lowest", rollout.lowestVersion}, {"members", rollout.members}}.dump();
}

DomainRollout SettingsPropagation::queryDomainRollout(const std::vector<MemberInfo> &members, std::uint64_t version)
{
    DomainRollout rollout{members.front().region, members.front().failureDomain, RolloutState::Unreachable, 0, 0};
    const std::string request = Json{{"version", version}}.dump();
    for (std::size_t i = 0; i < members.size() && static_cast<int>(i) < m_settings.maxStatusAttempts; ++i) {
        try {
            const std::string answer
                = m_transport.call(members[i].address, StatusMethod, request, m_settings.callTimeout);
            parseJson(answer, [&](const Json &json) {
                json.at("lowest").get_to(rollout.lowestVersion);
                json.at("members").get_to(rollout.members);
                return 0;
            });
            rollout.state = rollout.lowestVersion >= version ? RolloutState::Complete : RolloutState::Incomplete;
            return rollout;
        } catch (const Error &) {
            countFailure();
        }
    }
    return rollout;
}

std::vector<DomainRollout> SettingsPropagation::rolloutStatus(std::uint64_t version)
{
    const MemberInfo self = m_membership.self();
    std::map<std::pair<std::string, std::string>, std::vector<MemberInfo>> domains;
    for (const MemberInfo &it : m_membership.neighbours()) {
        domains[{it.region, it.failureDomain}].push_back(it);
    }
    // Adds failure domains that the settings name but of which no member is known. They are reported as unreachable.
    for (const auto &[path, node] : current()->document.tree) {
        if (!path.failureDomain.empty() && path.failureDomain != self.failureDomain) {
            domains.try_emplace({path.region, path.failureDomain});
        }
    }
    std::vector<DomainRollout> rollouts{ownDomainRollout(version)};
    for (const auto &[name, members] : domains) {
        if (members.empty()) {
            rollouts.push_back({name.first, name.second, RolloutState::Unreachable, 0, 0});
            continue;
        }
        rollouts.push_back(queryDomainRollout(members, version));
    }
    return rollouts;
}

} // namespace QuetzalRock
