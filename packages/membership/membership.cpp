#include <membership/membership.h>

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace QuetzalRock {

namespace {

constexpr std::string_view HeartbeatMethod = "member.heartbeat";
constexpr int ResetRejoinFactor = 10; ///< live for this many rejoin delays without a break: resets the rejoin delay
constexpr std::size_t MaxSilentTargets = 2; ///< silent members called in one step; each may block for callTimeout

bool isNewer(const MemberInfo &a, const MemberInfo &b)
{
    return a.incarnation > b.incarnation;
}

} // namespace

std::uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

Membership::Membership(const MembershipSettings &settings, PeerTransport &transport, Clock &clock)
    : m_settings(settings)
    , m_transport(transport)
    , m_clock(clock)
{
    assert(!settings.self.name.empty() && !settings.self.failureDomain.empty());
    assert(settings.suspectAfter >= 2 * settings.heartbeatInterval);
}

void Membership::bind(PeerRouter &router)
{
    router.on(std::string(HeartbeatMethod), [this](const PeerCall &call) { return onHeartbeat(call); });
}

void Membership::setNoteListener(NoteListener listener)
{
    m_noteListener = std::move(listener);
}

// ---------------------------------------------------------------------------------------------------------------------
// Sending
// ---------------------------------------------------------------------------------------------------------------------

void Membership::step()
{
    const TimePoint now = m_clock.now();
    std::vector<Target> targets;
    {
        std::lock_guard guard(m_mutex);
        for (auto &[name, peer] : m_peers) {
            updateLiveness(peer, now);
        }
        removeExpired(now);
        targets = dueTargets(now);
        addNeighbourTarget(targets, now);
    }
    for (const Target &it : targets) {
        send(it);
    }
}

std::vector<Membership::Target> Membership::dueTargets(TimePoint now)
{
    std::vector<Target> targets = dueSeeds(now);
    const bool broadcast = std::exchange(m_isBroadcastPending, false);
    std::size_t silent = 0;
    for (auto &[name, peer] : m_peers) {
        const bool isSilent = now - peer.lastHeard > m_settings.suspectAfter;
        const bool isDueNow = isDue(peer, now) || (broadcast && !isSilent);
        if (!isDueNow || (isSilent && silent == MaxSilentTargets)) {
            continue;
        }
        silent += isSilent ? 1 : 0;
        peer.nextProbe = now + (isSilent ? m_settings.probeInterval : m_settings.heartbeatInterval);
        targets.push_back({name, peer.info.address});
    }
    return targets;
}

/** Calls the seeds until a first member has been heard, so that a start works during a platform outage. */
std::vector<Membership::Target> Membership::dueSeeds(TimePoint now)
{
    std::vector<Target> targets;
    const bool noneHeardYet
        = std::none_of(m_peers.begin(), m_peers.end(), [](const auto &it) { return it.second.hasBeenLive; });
    if (!noneHeardYet || now < m_nextSeedCall) {
        return targets;
    }
    m_nextSeedCall = now + m_settings.probeInterval;
    for (const std::string &it : m_settings.seeds) {
        if (it != m_settings.self.address) {
            targets.push_back({{}, it});
        }
    }
    return targets;
}

/**
 * A call and its reply carry the state of both members, so each pair needs only one call per interval. The member with
 * the lower name makes it; the other one calls only if it has heard nothing for one and a half intervals.
 */
bool Membership::isDue(const Peer &peer, TimePoint now) const
{
    if (now < peer.nextProbe) {
        return false;
    }
    if (now - peer.lastHeard > m_settings.suspectAfter) {
        return true;
    }
    const bool isInitiator = m_settings.self.name < peer.info.name;
    const Duration interval = isInitiator ? m_settings.heartbeatInterval : m_settings.heartbeatInterval * 3 / 2;
    return now - peer.lastHeard >= interval;
}

void Membership::addNeighbourTarget(std::vector<Target> &targets, TimePoint now)
{
    if (now < m_nextNeighbourCall || m_neighbours.empty()) {
        return;
    }
    m_nextNeighbourCall = now + m_settings.neighbourInterval;
    // Round robin. The start differs between members to spread their calls; neighbours that do not answer are retried
    // less often.
    if (m_lastNeighbour.empty()) {
        auto start = m_neighbours.begin();
        std::advance(start, rendezvousScore("exchange", m_settings.self.name) % m_neighbours.size());
        m_lastNeighbour = start->first;
    }
    auto it = m_neighbours.upper_bound(m_lastNeighbour);
    for (std::size_t i = 0; i < m_neighbours.size(); ++i, ++it) {
        if (it == m_neighbours.end()) {
            it = m_neighbours.begin();
        }
        if (now >= it->second.nextProbe) {
            m_lastNeighbour = it->first;
            it->second.nextProbe = now + m_settings.suspectAfter * 4; // reset to now when it is heard
            targets.push_back({it->first, it->second.info.address});
            ++m_counters.neighbourCalls;
            return;
        }
    }
}

void Membership::send(const Target &target)
{
    std::string message;
    {
        std::lock_guard guard(m_mutex);
        ++m_counters.heartbeatsSent;
        message = encodeHeartbeat(makeHeartbeat(!m_neighbours.contains(target.name)));
    }
    try {
        applyHeartbeat(
            decodeHeartbeat(m_transport.call(target.address, HeartbeatMethod, message, m_settings.callTimeout)));
    } catch (const Error &) {
        std::lock_guard guard(m_mutex);
        ++m_counters.heartbeatsFailed;
    }
}

Heartbeat Membership::makeHeartbeat(bool ownDomain) const
{
    Heartbeat heartbeat;
    heartbeat.from = m_settings.self;
    heartbeat.platformOutage = m_platformOutage;
    heartbeat.note = m_note;
    if (!ownDomain) {
        return heartbeat;
    }
    heartbeat.claims = m_claims;
    const TimePoint now = m_clock.now();
    for (const auto &[name, peer] : m_peers) {
        const Duration age = now - peer.lastHeard;
        if (age <= m_settings.suspectAfter) {
            heartbeat.heard.push_back({name, peer.info.incarnation, age, peer.platformOutage, peer.claims});
        }
    }
    return heartbeat;
}

// ---------------------------------------------------------------------------------------------------------------------
// Receiving
// ---------------------------------------------------------------------------------------------------------------------

std::string Membership::onHeartbeat(const PeerCall &call)
{
    Heartbeat heartbeat;
    try {
        heartbeat = decodeHeartbeat(call.body);
    } catch (const InvalidArgument &) {
        std::lock_guard guard(m_mutex);
        ++m_counters.malformed;
        throw;
    }
    applyHeartbeat(heartbeat);
    std::lock_guard guard(m_mutex);
    ++m_counters.heartbeatsReceived;
    return encodeHeartbeat(makeHeartbeat(heartbeat.from.failureDomain == m_settings.self.failureDomain));
}

void Membership::applyHeartbeat(const Heartbeat &heartbeat)
{
    if (heartbeat.from.name == m_settings.self.name) {
        return;
    }
    {
        std::lock_guard guard(m_mutex);
        const TimePoint now = m_clock.now();
        if (heartbeat.from.failureDomain == m_settings.self.failureDomain) {
            applyPeerHeartbeat(heartbeat, now);
        } else {
            updateNeighbour(heartbeat.from, now);
        }
    }
    if (m_noteListener) {
        m_noteListener(heartbeat.from, heartbeat.note);
    }
}

void Membership::applyPeerHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    Peer *peer = findOrAddPeer(heartbeat.from, now);
    if (!peer) {
        return; // sent by an earlier incarnation, before a restart
    }
    peer->info = heartbeat.from;
    peer->lastHeard = now;
    peer->vmGone = false;
    peer->platformOutage = heartbeat.platformOutage;
    peer->claims = heartbeat.claims;
    peer->note = heartbeat.note;
    updateLiveness(*peer, now);
    for (const HeardMember &it : heartbeat.heard) {
        applyIndirectReport(it, now);
    }
}

/** Applies the report of a peer about a third member, which this member may not be able to reach itself. */
void Membership::applyIndirectReport(const HeardMember &heard, TimePoint now)
{
    const auto it = m_peers.find(heard.name);
    if (it == m_peers.end() || heard.incarnation != it->second.info.incarnation) {
        return;
    }
    Peer &peer = it->second;
    const TimePoint at = now - heard.age;
    if (at <= std::max(peer.lastHeard, peer.lastHeardIndirectly)) {
        return;
    }
    peer.lastHeardIndirectly = at;
    peer.platformOutage = heard.platformOutage;
    peer.claims = heard.claims;
    updateLiveness(peer, now);
}

void Membership::updateNeighbour(const MemberInfo &member, TimePoint now)
{
    auto it = m_neighbours.find(member.name);
    if (it == m_neighbours.end()) {
        if (m_neighbours.size() >= m_settings.maxNeighbours) {
            return;
        }
        it = m_neighbours.emplace(member.name, Neighbour{}).first;
    }
    if (!isNewer(it->second.info, member)) {
        it->second.info = member;
        it->second.lastHeard = now;
        it->second.nextProbe = now;
    }
}

/** The entry of @p member, added or reset where needed; nullptr if a newer incarnation of @p member is known. */
Membership::Peer *Membership::findOrAddPeer(const MemberInfo &member, TimePoint now)
{
    auto it = m_peers.find(member.name);
    if (it == m_peers.end()) {
        Peer peer;
        peer.info = member;
        peer.addedAt = now;
        peer.rejoinDelay = Duration::zero();
        return &m_peers.emplace(member.name, peer).first->second;
    }
    Peer &peer = it->second;
    if (isNewer(peer.info, member)) {
        return nullptr;
    }
    if (isNewer(member, peer.info)) {
        // The member has restarted: the claims of the former process are void, and the restart counts as a return after
        // silence.
        peer.info = member;
        peer.claims.clear();
        peer.lastHeard = {};
        peer.lastHeardIndirectly = {};
        peer.live = false;
        peer.nextProbe = {};
    }
    return &peer;
}

/** Detects that a member has become silent or has returned, and updates its rejoin delay. */
void Membership::updateLiveness(Peer &peer, TimePoint now)
{
    const bool isHeard = now - std::max(peer.lastHeard, peer.lastHeardIndirectly) <= m_settings.suspectAfter;
    if (peer.live && !isHeard) {
        ++m_counters.suspicions;
    }
    if (!peer.live && isHeard) {
        peer.liveSince = now;
        if (peer.hasBeenLive) {
            ++m_counters.recoveries;
            peer.rejoinDelay = std::clamp(peer.rejoinDelay * 2, m_settings.rejoinAfter, m_settings.rejoinAfterMax);
        }
        peer.hasBeenLive = true;
    }
    peer.live = isHeard;
    if (isHeard && now - peer.liveSince > std::max(peer.rejoinDelay, m_settings.rejoinAfter) * ResetRejoinFactor) {
        peer.rejoinDelay = Duration::zero();
    }
}

void Membership::removeExpired(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &it) {
        const Peer &peer = it.second;
        const TimePoint last = std::max({peer.lastHeard, peer.lastHeardIndirectly, peer.addedAt});
        const Duration retention = peer.vmGone ? m_settings.suspectAfter : m_settings.forgetAfter;
        return !peer.registered && now - last > retention;
    });
    // Keeps at least one neighbour of each failure domain, however long it has been silent. Otherwise a failure domain
    // that is cut off would vanish from the list of domains, and its absence would go unnoticed.
    std::map<std::string, int> remaining;
    for (const auto &[name, it] : m_neighbours) {
        ++remaining[it.info.failureDomain];
    }
    std::erase_if(m_neighbours, [&](const auto &it) {
        const bool isExpired = !it.second.registered && now - it.second.lastHeard > m_settings.forgetAfter;
        return isExpired && remaining[it.second.info.failureDomain]-- > 1;
    });
}

// ---------------------------------------------------------------------------------------------------------------------
// Setters
// ---------------------------------------------------------------------------------------------------------------------

void Membership::setClaims(std::vector<ShardClaim> claims)
{
    std::lock_guard guard(m_mutex);
    m_isBroadcastPending = m_isBroadcastPending || claims != m_claims;
    m_claims = std::move(claims);
}

void Membership::setNote(std::string note)
{
    std::lock_guard guard(m_mutex);
    m_note = std::move(note);
}

void Membership::setPlatformOutage(Duration outage)
{
    std::lock_guard guard(m_mutex);
    m_platformOutage = outage;
}

void Membership::setLeaving()
{
    std::lock_guard guard(m_mutex);
    m_settings.self.leaving = true;
    m_isBroadcastPending = true;
}

void Membership::updateMember(const MemberInfo &member, bool registered)
{
    std::lock_guard guard(m_mutex);
    if (member.name == m_settings.self.name) {
        return;
    }
    if (member.failureDomain != m_settings.self.failureDomain) {
        updateNeighbour(member, m_clock.now());
        const auto it = m_neighbours.find(member.name);
        if (it != m_neighbours.end()) {
            it->second.registered = registered;
        }
        return;
    }
    if (Peer *peer = findOrAddPeer(member, m_clock.now())) {
        peer->registered = registered;
    }
}

void Membership::setRegistered(const std::set<std::string> &names)
{
    std::lock_guard guard(m_mutex);
    for (auto &[name, peer] : m_peers) {
        peer.registered = names.contains(name);
    }
    for (auto &[name, neighbour] : m_neighbours) {
        neighbour.registered = names.contains(name);
    }
}

void Membership::setVms(std::span<const Vm> vms)
{
    std::lock_guard guard(m_mutex);
    for (const Vm &it : vms) {
        const auto peer = m_peers.find(it.name);
        if (peer != m_peers.end()) {
            peer->second.vmGone = it.state == VmState::Gone;
            peer->second.vmLeaving = it.state == VmState::Leaving;
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Current state
// ---------------------------------------------------------------------------------------------------------------------

MemberInfo Membership::self() const
{
    std::lock_guard guard(m_mutex);
    return m_settings.self;
}

Duration Membership::platformOutage() const
{
    std::lock_guard guard(m_mutex);
    return m_platformOutage;
}

bool Membership::isEligible(const Peer &peer, TimePoint now) const
{
    return peer.live && !peer.info.leaving && !peer.vmLeaving && now - peer.liveSince >= peer.rejoinDelay;
}

std::vector<MemberView> Membership::members() const
{
    std::lock_guard guard(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<MemberView> views;
    for (const auto &[name, peer] : m_peers) {
        const bool live = now - std::max(peer.lastHeard, peer.lastHeardIndirectly) <= m_settings.suspectAfter;
        MemberView view;
        view.info = peer.info;
        view.live = live;
        view.eligible = live && isEligible(peer, now);
        view.registered = peer.registered && !peer.vmGone;
        view.rejoinDelay = peer.rejoinDelay;
        view.platformOutage = peer.platformOutage;
        view.claims = peer.claims;
        view.note = peer.note;
        views.push_back(std::move(view));
    }
    return views;
}

std::vector<MemberInfo> Membership::neighbours() const
{
    std::lock_guard guard(m_mutex);
    std::vector<MemberInfo> members;
    for (const auto &[name, it] : m_neighbours) {
        members.push_back(it.info);
    }
    return members;
}

std::string Membership::electedMember(std::string_view role) const
{
    std::lock_guard guard(m_mutex);
    std::string best = m_settings.self.name;
    // Members that can reach the platform rank above those that cannot.
    auto rank = [&](const std::string &name, Duration outage) {
        return std::make_pair(outage == Duration::zero(), rendezvousScore(role, name));
    };
    auto bestRank = rank(best, m_platformOutage);
    for (const auto &[name, peer] : m_peers) {
        if (peer.live && !peer.info.leaving && rank(name, peer.platformOutage) > bestRank) {
            best = name;
            bestRank = rank(name, peer.platformOutage);
        }
    }
    return best;
}

MembershipCounters Membership::counters() const
{
    std::lock_guard guard(m_mutex);
    return m_counters;
}

} // namespace QuetzalRock
