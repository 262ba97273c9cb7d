#include <membership/membership.h>

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace QuetzalRock {

namespace {

constexpr std::string_view HeartbeatMethod = "member.heartbeat";
constexpr int ResetRejoinFactor = 10;       ///< a member live for so many rejoin times has its penalty forgotten
constexpr std::size_t MaxSilentTargets = 2; ///< silent members called in one step; each may cost a whole timeout

bool isNewer(const MemberInfo &a, const MemberInfo &b)
{
    return a.incarnation > b.incarnation;
}

} // namespace

std::uint64_t rendezvousScore(std::string_view what, std::string_view member)
{
    const std::uint64_t seed = XXH3_64bits(what.data(), what.size());
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
            refresh(peer, now);
        }
        forgetOld(now);
        targets = dueTargets(now);
        addExchange(targets, now);
    }
    for (const Target &it : targets) {
        send(it);
    }
}

std::vector<Membership::Target> Membership::dueTargets(TimePoint now)
{
    std::vector<Target> targets = dueSeeds(now);
    const bool announce = std::exchange(m_announce, false);
    std::size_t silent = 0;
    for (auto &[name, peer] : m_peers) {
        const bool silentNow = now - peer.heard > m_settings.suspectAfter;
        const bool due = isDue(peer, now) || (announce && !silentNow);
        if (!due || (silentNow && silent == MaxSilentTargets)) {
            continue;
        }
        silent += silentNow ? 1 : 0;
        peer.nextProbe = now + (silentNow ? m_settings.probeInterval : m_settings.heartbeatInterval);
        targets.push_back({name, peer.info.address});
    }
    return targets;
}

/** Seeds are called while nobody has ever been heard, for a start without the platform's service. */
std::vector<Membership::Target> Membership::dueSeeds(TimePoint now)
{
    std::vector<Target> targets;
    const bool alone = std::none_of(m_peers.begin(), m_peers.end(), [](const auto &it) { return it.second.everLive; });
    if (!alone || now < m_nextSeeds) {
        return targets;
    }
    m_nextSeeds = now + m_settings.probeInterval;
    for (const std::string &it : m_settings.seeds) {
        if (it != m_settings.self.address) {
            targets.push_back({{}, it});
        }
    }
    return targets;
}

/**
 * One call tells both ends, so each pair needs one call an interval. The member with the lower name makes it; the other
 * only steps in when it has heard nothing for half an interval longer.
 */
bool Membership::isDue(const Peer &peer, TimePoint now) const
{
    if (now < peer.nextProbe) {
        return false;
    }
    if (now - peer.heard > m_settings.suspectAfter) {
        return true;
    }
    const bool mine = m_settings.self.name < peer.info.name;
    const Duration patience = mine ? m_settings.heartbeatInterval : m_settings.heartbeatInterval * 3 / 2;
    return now - peer.heard >= patience;
}

void Membership::addExchange(std::vector<Target> &targets, TimePoint now)
{
    if (now < m_nextExchange || m_neighbours.empty()) {
        return;
    }
    m_nextExchange = now + m_settings.exchangeInterval;
    // In turn, starting at a place that differs from member to member; those that did not answer wait longer.
    if (m_lastExchange.empty()) {
        auto start = m_neighbours.begin();
        std::advance(start, rendezvousScore("exchange", m_settings.self.name) % m_neighbours.size());
        m_lastExchange = start->first;
    }
    auto it = m_neighbours.upper_bound(m_lastExchange);
    for (std::size_t i = 0; i < m_neighbours.size(); ++i, ++it) {
        if (it == m_neighbours.end()) {
            it = m_neighbours.begin();
        }
        if (now >= it->second.nextProbe) {
            m_lastExchange = it->first;
            it->second.nextProbe = now + m_settings.suspectAfter * 4; // until it is heard
            targets.push_back({it->first, it->second.info.address});
            ++m_counters.exchanges;
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
        message = encodeHeartbeat(compose(!m_neighbours.contains(target.name)));
    }
    try {
        absorb(decodeHeartbeat(m_transport.call(target.address, HeartbeatMethod, message, m_settings.callTimeout)));
    } catch (const Error &) {
        std::lock_guard guard(m_mutex);
        ++m_counters.heartbeatsFailed;
    }
}

Heartbeat Membership::compose(bool ownDomain) const
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
        const Duration age = now - peer.heard;
        if (age <= m_settings.suspectAfter) {
            heartbeat.heard.push_back({name, peer.info.incarnation, age, peer.platformOutage, peer.claims});
        }
    }
    return heartbeat;
}

// ---------------------------------------------------------------------------------------------------------------------
// Hearing
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
    absorb(heartbeat);
    std::lock_guard guard(m_mutex);
    ++m_counters.heartbeatsReceived;
    return encodeHeartbeat(compose(heartbeat.from.failureDomain == m_settings.self.failureDomain));
}

void Membership::absorb(const Heartbeat &heartbeat)
{
    if (heartbeat.from.name == m_settings.self.name) {
        return;
    }
    {
        std::lock_guard guard(m_mutex);
        const TimePoint now = m_clock.now();
        if (heartbeat.from.failureDomain == m_settings.self.failureDomain) {
            absorbPeer(heartbeat, now);
        } else {
            absorbNeighbour(heartbeat.from, now);
        }
    }
    if (m_noteListener) {
        m_noteListener(heartbeat.from, heartbeat.note);
    }
}

void Membership::absorbPeer(const Heartbeat &heartbeat, TimePoint now)
{
    Peer *peer = upsert(heartbeat.from, now);
    if (!peer) {
        return; // from before a restart
    }
    peer->info = heartbeat.from;
    peer->heard = now;
    peer->vmGone = false;
    peer->platformOutage = heartbeat.platformOutage;
    peer->claims = heartbeat.claims;
    peer->note = heartbeat.note;
    refresh(*peer, now);
    for (const HeardMember &it : heartbeat.heard) {
        absorbHeard(it, now);
    }
}

/** Another member hears one that this member may not hear itself. */
void Membership::absorbHeard(const HeardMember &heard, TimePoint now)
{
    const auto it = m_peers.find(heard.name);
    if (it == m_peers.end() || heard.incarnation != it->second.info.incarnation) {
        return;
    }
    Peer &peer = it->second;
    const TimePoint at = now - heard.age;
    if (at <= std::max(peer.heard, peer.heardVia)) {
        return;
    }
    peer.heardVia = at;
    peer.platformOutage = heard.platformOutage;
    peer.claims = heard.claims;
    refresh(peer, now);
}

void Membership::absorbNeighbour(const MemberInfo &member, TimePoint now)
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
        it->second.heard = now;
        it->second.nextProbe = now;
    }
}

/** The entry of @p member, made or renewed; nullptr where @p member is an older incarnation than the one known. */
Membership::Peer *Membership::upsert(const MemberInfo &member, TimePoint now)
{
    auto it = m_peers.find(member.name);
    if (it == m_peers.end()) {
        Peer peer;
        peer.info = member;
        peer.learnt = now;
        peer.rejoin = Duration::zero();
        return &m_peers.emplace(member.name, peer).first->second;
    }
    Peer &peer = it->second;
    if (isNewer(peer.info, member)) {
        return nullptr;
    }
    if (isNewer(member, peer.info)) {
        // A restart: what the former process claimed died with it, and it counts as a return.
        peer.info = member;
        peer.claims.clear();
        peer.heard = {};
        peer.heardVia = {};
        peer.live = false;
        peer.nextProbe = {};
    }
    return &peer;
}

/** Notices that a member has fallen silent or come back. */
void Membership::refresh(Peer &peer, TimePoint now)
{
    const bool heard = now - std::max(peer.heard, peer.heardVia) <= m_settings.suspectAfter;
    if (peer.live && !heard) {
        ++m_counters.suspicions;
    }
    if (!peer.live && heard) {
        peer.liveSince = now;
        if (peer.everLive) {
            ++m_counters.returns;
            peer.rejoin = std::clamp(peer.rejoin * 2, m_settings.rejoinAfter, m_settings.rejoinAfterMax);
        }
        peer.everLive = true;
    }
    peer.live = heard;
    if (heard && now - peer.liveSince > std::max(peer.rejoin, m_settings.rejoinAfter) * ResetRejoinFactor) {
        peer.rejoin = Duration::zero();
    }
}

void Membership::forgetOld(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &it) {
        const Peer &peer = it.second;
        const TimePoint last = std::max({peer.heard, peer.heardVia, peer.learnt});
        const Duration patience = peer.vmGone ? m_settings.suspectAfter : m_settings.forgetAfter;
        return !peer.registered && now - last > patience;
    });
    // One of each failure domain is kept, however long it is cut off: else nobody would miss that failure domain.
    std::map<std::string, int> left;
    for (const auto &[name, it] : m_neighbours) {
        ++left[it.info.failureDomain];
    }
    std::erase_if(m_neighbours, [&](const auto &it) {
        const bool old = !it.second.registered && now - it.second.heard > m_settings.forgetAfter;
        return old && left[it.second.info.failureDomain]-- > 1;
    });
}

// ---------------------------------------------------------------------------------------------------------------------
// Setters
// ---------------------------------------------------------------------------------------------------------------------

void Membership::setClaims(std::vector<ShardClaim> claims)
{
    std::lock_guard guard(m_mutex);
    m_announce = m_announce || claims != m_claims;
    m_claims = std::move(claims);
}

void Membership::setNote(std::string note)
{
    std::lock_guard guard(m_mutex);
    m_note = std::move(note);
}

void Membership::setPlatformOutage(Duration away)
{
    std::lock_guard guard(m_mutex);
    m_platformOutage = away;
}

void Membership::setLeaving()
{
    std::lock_guard guard(m_mutex);
    m_settings.self.leaving = true;
    m_announce = true;
}

void Membership::learn(const MemberInfo &member, bool registered)
{
    std::lock_guard guard(m_mutex);
    if (member.name == m_settings.self.name) {
        return;
    }
    if (member.failureDomain != m_settings.self.failureDomain) {
        absorbNeighbour(member, m_clock.now());
        const auto it = m_neighbours.find(member.name);
        if (it != m_neighbours.end()) {
            it->second.registered = registered;
        }
        return;
    }
    if (Peer *peer = upsert(member, m_clock.now())) {
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
// The view
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
    return peer.live && !peer.info.leaving && !peer.vmLeaving && now - peer.liveSince >= peer.rejoin;
}

std::vector<MemberView> Membership::members() const
{
    std::lock_guard guard(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<MemberView> views;
    for (const auto &[name, peer] : m_peers) {
        const bool live = now - std::max(peer.heard, peer.heardVia) <= m_settings.suspectAfter;
        MemberView view;
        view.info = peer.info;
        view.live = live;
        view.eligible = live && isEligible(peer, now);
        view.registered = peer.registered && !peer.vmGone;
        view.returnPenalty = peer.rejoin;
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

std::string Membership::electedMember(std::string_view duty) const
{
    std::lock_guard guard(m_mutex);
    std::string best = m_settings.self.name;
    // A member that cannot reach the platform leaves such duties to one that can.
    auto rank = [&](const std::string &name, Duration away) {
        return std::make_pair(away == Duration::zero(), rendezvousScore(duty, name));
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
