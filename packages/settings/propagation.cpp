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

/** The entries after @p version as JSON; nothing where the history does not hold them all in full. */
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

/** Runs @p parse on a peer's JSON; any fault in it becomes InvalidArgument. */
template<typename Parse>
auto parseJson(std::string_view text, Parse parse)
{
    try {
        return parse(Json::parse(text));
    } catch (const Json::exception &ec) {
        throw InvalidArgument("settings message", ec.what());
    }
}

struct Note
{
    std::uint64_t version = 0;
    std::string digest;
    bool ready = false;
};

constexpr std::size_t DigestChars = 16;

/** "version:digest:ready". */
std::optional<Note> parseNote(std::string_view text)
{
    Note note;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), note.version);
    const std::string_view rest = text.substr(static_cast<std::size_t>(end - text.data()));
    if (ec != std::errc() || rest.size() != DigestChars + 3 || rest[0] != ':' || rest[DigestChars + 1] != ':') {
        return std::nullopt;
    }
    note.digest = rest.substr(1, DigestChars);
    note.ready = rest.back() == '1';
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
    , m_started(clock.now())
    , m_current(makeVersion({}))
{
    m_membership.setNote(noteText());
    m_membership.setNoteListener([this](const MemberInfo &from, const std::string &note) { onNote(from, note); });
}

void SettingsPropagation::bind(PeerRouter &router)
{
    router.on(OfferMethod, [this](const PeerCall &call) { return onOffer(call); });
    router.on(PullMethod, [this](const PeerCall &call) { return onPull(call); });
    router.on(StatusMethod, [this](const PeerCall &call) { return onStatus(call); });
}

// ---------------------------------------------------------------------------------------------------------------------
// Watching
// ---------------------------------------------------------------------------------------------------------------------

void SettingsPropagation::stepWatch(Duration wait)
{
    const TimePoint now = m_clock.now();
    const bool elected = m_membership.electedMember(WatchDuty) == m_membership.self().name;
    const bool idle = now < m_nextTry || (!elected && now < m_nextRead);
    if (idle) {
        if (wait > Duration::zero()) {
            m_clock.sleepFor(std::min(wait, m_settings.retryAfter));
        }
        refreshReady();
        return;
    }
    try {
        if (now >= m_nextRead) {
            readNow(now);
        } else {
            watchNow(wait);
        }
    } catch (const Error &) {
        m_nextTry = m_clock.now() + m_settings.retryAfter;
        countFailure();
    }
    refreshReady();
}

void SettingsPropagation::readNow(TimePoint now)
{
    {
        std::lock_guard guard(m_mutex);
        ++m_counters.reads;
    }
    const std::optional<KeyValue> found = m_service.get(SettingsKeyName);
    const Duration spread(rendezvousScore("poll", m_membership.self().name) % m_settings.pollInterval.count());
    m_nextRead = now + m_settings.pollInterval / 2 + spread;
    absorbStored(found.value_or(KeyValue{}));
    std::lock_guard guard(m_mutex);
    m_serviceRead = true;
}

void SettingsPropagation::watchNow(Duration wait)
{
    {
        std::lock_guard guard(m_mutex);
        ++m_counters.reads;
    }
    const WatchResult result = m_service.watch(SettingsPrefix, m_watched, wait);
    m_watched = std::max(m_watched, result.revision);
    for (const KeyValue &it : result.changed) {
        if (it.key == SettingsKeyName) {
            absorbStored(it);
        }
    }
    if (!result.removed.empty()) {
        absorbStored({});
    }
}

/** Takes what the service holds; where it holds less than is in force, it has lost data and gets that back. */
void SettingsPropagation::absorbStored(const KeyValue &stored)
{
    m_watched = std::max(m_watched, stored.revision);
    const SettingsDocument document = stored.revision == 0 ? SettingsDocument{} : decodeDocument(stored.value);
    const std::shared_ptr<const SettingsVersion> now = current();
    if (document.version >= now->document.version) {
        adopt(document, true);
        return;
    }
    if (m_membership.electedMember(WatchDuty) != m_membership.self().name) {
        return;
    }
    const CasResult result
        = m_service.compareAndSwap(SettingsKeyName, stored.revision, encodeDocument(now->document), 0);
    std::lock_guard guard(m_mutex);
    m_counters.restored += result.swapped ? 1 : 0;
}

// ---------------------------------------------------------------------------------------------------------------------
// Taking a version
// ---------------------------------------------------------------------------------------------------------------------

bool SettingsPropagation::offer(const SettingsDocument &document)
{
    return adopt(document, true);
}

bool SettingsPropagation::adopt(const SettingsDocument &document, bool relay)
{
    auto version = makeVersion(document);
    {
        std::lock_guard guard(m_mutex);
        if (document.version < m_current->document.version) {
            ++m_counters.lowerIgnored;
            return false;
        }
        if (document.version == m_current->document.version) {
            m_counters.divergent += version->digest != m_current->digest ? 1 : 0;
            return false;
        }
        m_current = std::move(version);
        ++m_counters.adopted;
        m_offerDue = m_offerDue || relay;
    }
    m_work.notify_all();
    refreshReady();
    return true;
}

/** Applies history entries on top of what is in force; false where they do not fit or give another tree. */
bool SettingsPropagation::applyEntries(std::string_view entriesJson, const std::string &digest)
{
    const std::shared_ptr<const SettingsVersion> now = current();
    SettingsDocument document = now->document;
    for (const HistoryEntry &it : decodeHistory(entriesJson)) {
        if (it.version <= document.version) {
            continue; // a repeat, or part of it came by another way
        }
        if (it.version != document.version + 1 || !advanceDocument(document, it).empty()) {
            return false;
        }
    }
    if (digestOf(document.version, document.tree) != digest) {
        return false;
    }
    adopt(document, false);
    return true;
}

void SettingsPropagation::refreshReady()
{
    const std::vector<MemberView> members = m_membership.members();
    const bool settled = m_clock.now() - m_started >= m_settings.settleDelay;
    std::string note;
    {
        std::lock_guard guard(m_mutex);
        bool highest = true;
        bool allHeard = true;
        bool someReady = false;
        for (const MemberView &it : members) {
            const auto peer = m_peers.find(it.info.name);
            if (!it.live) {
                continue;
            }
            allHeard = allHeard && peer != m_peers.end();
            someReady = someReady || (peer != m_peers.end() && peer->second.ready);
            highest = highest && (peer == m_peers.end() || peer->second.version <= m_current->document.version);
        }
        // Without the service, a member that was ready vouches for what the failure domain has seen.
        const bool known = m_serviceRead || (settled && allHeard && someReady);
        m_ready = m_ready || (known && highest);
        note = noteText();
    }
    m_membership.setNote(std::move(note));
}

// ---------------------------------------------------------------------------------------------------------------------
// Heartbeats
// ---------------------------------------------------------------------------------------------------------------------

std::string SettingsPropagation::noteText() const
{
    return std::to_string(m_current->document.version) + ":" + m_current->digest + (m_ready ? ":1" : ":0");
}

void SettingsPropagation::onNote(const MemberInfo &from, const std::string &text)
{
    const std::optional<Note> note = parseNote(text);
    if (!note) {
        return;
    }
    bool higher = false;
    {
        std::lock_guard guard(m_mutex);
        PeerState &peer = m_peers[from.name];
        peer.info = from;
        peer.version = note->version;
        peer.ready = note->ready;
        higher = note->version > m_current->document.version;
        const bool same = note->version == m_current->document.version;
        m_counters.divergent += same && note->digest != m_current->digest ? 1 : 0;
        m_pullDue = m_pullDue || higher;
    }
    if (higher) {
        m_work.notify_all();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Relaying
// ---------------------------------------------------------------------------------------------------------------------

void SettingsPropagation::stepRelay(Duration wait)
{
    {
        std::unique_lock lock(m_mutex);
        const TimePoint deadline = m_clock.now() + wait;
        while (!m_offerDue && !m_pullDue && m_clock.now() < deadline) {
            m_clock.waitUntil(lock, m_work, deadline);
        }
    }
    for (const Offer &it : duePulls(m_clock.now())) {
        pullFrom(it);
    }
    for (const Offer &it : dueOffers()) {
        sendOffer(it);
    }
    forgetPeers();
    refreshReady();
}

/** VMs are replaced under new names all the time. */
void SettingsPropagation::forgetPeers()
{
    std::set<std::string> known;
    for (const MemberView &it : m_membership.members()) {
        known.insert(it.info.name);
    }
    for (const MemberInfo &it : m_membership.neighbours()) {
        known.insert(it.name);
    }
    std::lock_guard guard(m_mutex);
    std::erase_if(m_peers, [&](const auto &it) { return !known.contains(it.first); });
}

/** The live members of the own failure domain that are behind, as far as is known. */
std::vector<SettingsPropagation::Offer> SettingsPropagation::dueOffers()
{
    const std::vector<MemberView> members = m_membership.members();
    std::vector<Offer> offers;
    std::lock_guard guard(m_mutex);
    if (!std::exchange(m_offerDue, false)) {
        return offers;
    }
    for (const MemberView &it : members) {
        const auto peer = m_peers.find(it.info.name);
        const std::uint64_t version = peer == m_peers.end() ? 0 : peer->second.version;
        if (it.live && version < m_current->document.version) {
            offers.push_back({it.info.name, it.info.address, version});
        }
    }
    return offers;
}

void SettingsPropagation::sendOffer(const Offer &offer)
{
    const std::shared_ptr<const SettingsVersion> now = current();
    Json json = {{"version", now->document.version}, {"digest", now->digest}, {"from", m_membership.self().name}};
    if (const auto entries = entriesAfter(now->document, offer.version)) {
        json["entries"] = *entries;
    }
    {
        std::lock_guard guard(m_mutex);
        ++m_counters.offersSent;
    }
    try {
        const std::string answer = m_transport.call(offer.address, OfferMethod, json.dump(), m_settings.callTimeout);
        const auto has = parseJson(answer, [](const Json &it) { return it.at("version").get<std::uint64_t>(); });
        std::lock_guard guard(m_mutex);
        PeerState &peer = m_peers[offer.name];
        peer.version = std::max(peer.version, has);
    } catch (const Error &) {
        countFailure(); // it hears the version in a heartbeat, and pulls
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
            noteHigher(json.at("from").get<std::string>(), version);
        }
        return 0;
    });
    return Json{{"version", current()->document.version}}.dump();
}

/** Has the version of @p name pulled by the relay thread. */
void SettingsPropagation::noteHigher(const std::string &name, std::uint64_t version)
{
    {
        std::lock_guard guard(m_mutex);
        PeerState &peer = m_peers[name];
        peer.version = std::max(peer.version, version);
        m_pullDue = true;
    }
    m_work.notify_all();
}

std::vector<SettingsPropagation::Offer> SettingsPropagation::duePulls(TimePoint now)
{
    std::vector<Offer> sources;
    std::lock_guard guard(m_mutex);
    if (!std::exchange(m_pullDue, false)) {
        return sources;
    }
    for (auto &[name, peer] : m_peers) {
        const bool useful = peer.version > m_current->document.version && !peer.info.address.empty();
        if (useful && now >= peer.nextPull) {
            peer.nextPull = now + m_settings.pullInterval;
            sources.push_back({name, peer.info.address, peer.version});
        }
    }
    // The highest first: one pull is then enough.
    std::stable_sort(
        sources.begin(), sources.end(), [](const Offer &a, const Offer &b) { return a.version > b.version; });
    return sources;
}

void SettingsPropagation::pullFrom(const Offer &source)
{
    const std::uint64_t have = current()->document.version;
    if (source.version <= have) {
        return; // an earlier pull of this step brought it
    }
    {
        std::lock_guard guard(m_mutex);
        ++m_counters.pulls;
    }
    try {
        // Changes that do not fit mean that our version is not the one that they were made on: then take the whole.
        if (!takePulled(source, have, false)) {
            takePulled(source, have, true);
        }
    } catch (const Error &) {
        countFailure();
    }
    // What came from another failure domain is relayed in this one.
    std::lock_guard guard(m_mutex);
    m_offerDue = m_offerDue || m_current->document.version > have;
}

/** Asks @p source for what came after @p have, or for the whole document; false where the answer did not fit. */
bool SettingsPropagation::takePulled(const Offer &source, std::uint64_t have, bool whole)
{
    const std::string request = Json{{"have", have}, {"whole", whole}}.dump();
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
    const auto have = parseJson(call.body, [](const Json &json) { return json.at("have").get<std::uint64_t>(); });
    const bool whole = parseJson(call.body, [](const Json &json) { return json.at("whole").get<bool>(); });
    const std::shared_ptr<const SettingsVersion> now = current();
    Json json = {{"digest", now->digest}};
    const auto entries = whole ? std::nullopt : entriesAfter(now->document, have);
    if (entries) {
        json["entries"] = *entries;
        return json.dump();
    }
    {
        std::lock_guard guard(m_mutex);
        ++m_counters.pullsOfWhole;
    }
    json["document"] = encodeDocumentPlain(now->document);
    return json.dump();
}

// ---------------------------------------------------------------------------------------------------------------------
// Answers
// ---------------------------------------------------------------------------------------------------------------------

std::shared_ptr<const SettingsVersion> SettingsPropagation::current() const
{
    std::lock_guard guard(m_mutex);
    return m_current;
}

bool SettingsPropagation::ready() const
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

DomainForce SettingsPropagation::ownForce(std::uint64_t version)
{
    const MemberInfo self = m_membership.self();
    const std::vector<MemberView> members = m_membership.members();
    DomainForce force{self.region, self.failureDomain, ForceState::InForce, 0, 1};
    std::lock_guard guard(m_mutex);
    force.lowest = m_current->document.version;
    for (const MemberView &it : members) {
        if (!it.live) {
            continue;
        }
        ++force.members;
        const auto peer = m_peers.find(it.info.name);
        force.lowest = std::min(force.lowest, peer == m_peers.end() ? 0 : peer->second.version);
    }
    force.state = force.lowest >= version ? ForceState::InForce : ForceState::Behind;
    return force;
}

std::string SettingsPropagation::onStatus(const PeerCall &call)
{
    const auto version = parseJson(call.body, [](const Json &json) { return json.at("version").get<std::uint64_t>(); });
    const DomainForce force = ownForce(version);
    return Json{{"lowest", force.lowest}, {"members", force.members}}.dump();
}

DomainForce SettingsPropagation::askForce(const std::vector<MemberInfo> &members, std::uint64_t version)
{
    DomainForce force{members.front().region, members.front().failureDomain, ForceState::NotReached, 0, 0};
    const std::string request = Json{{"version", version}}.dump();
    for (std::size_t i = 0; i < members.size() && static_cast<int>(i) < m_settings.statusTries; ++i) {
        try {
            const std::string answer
                = m_transport.call(members[i].address, StatusMethod, request, m_settings.callTimeout);
            parseJson(answer, [&](const Json &json) {
                json.at("lowest").get_to(force.lowest);
                json.at("members").get_to(force.members);
                return 0;
            });
            force.state = force.lowest >= version ? ForceState::InForce : ForceState::Behind;
            return force;
        } catch (const Error &) {
            countFailure();
        }
    }
    return force;
}

std::vector<DomainForce> SettingsPropagation::inForce(std::uint64_t version)
{
    const MemberInfo self = m_membership.self();
    std::map<std::pair<std::string, std::string>, std::vector<MemberInfo>> domains;
    for (const MemberInfo &it : m_membership.neighbours()) {
        domains[{it.region, it.failureDomain}].push_back(it);
    }
    // Failure domains that the settings name, but of which no member is known.
    for (const auto &[path, node] : current()->document.tree) {
        if (!path.failureDomain.empty() && path.failureDomain != self.failureDomain) {
            domains.try_emplace({path.region, path.failureDomain});
        }
    }
    std::vector<DomainForce> forces{ownForce(version)};
    for (const auto &[name, members] : domains) {
        if (members.empty()) {
            forces.push_back({name.first, name.second, ForceState::NotReached, 0, 0});
            continue;
        }
        forces.push_back(askForce(members, version));
    }
    return forces;
}

} // namespace QuetzalRock
