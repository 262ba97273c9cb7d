#include <membership/ownership.h>

#include <algorithm>
#include <cassert>

namespace QuetzalRock {

namespace {

constexpr int MaxRetryFactor = 16;

std::uint64_t claimedEpoch(const MemberView &member, const std::string &shard)
{
    for (const ShardClaim &it : member.claims) {
        if (it.shard == shard) {
            return it.epoch;
        }
    }
    return 0;
}

} // namespace

Ownership::Ownership(const OwnershipSettings &settings, Membership &membership, ShardHost &host, Clock &clock)
    : m_settings(settings)
    , m_membership(membership)
    , m_host(host)
    , m_clock(clock)
    , m_self(membership.self().name)
{
    for (const std::string &it : settings.shards) {
        assert(!it.empty());
        m_shards.push_back({});
        m_shards.back().name = it;
    }
}

void Ownership::step()
{
    const TimePoint now = m_clock.now();
    detectPause(now);
    if (m_leaving) {
        return;
    }
    if (m_membership.platformOutage() != Duration::zero()) {
        m_platformReachableSince = now;
    }
    for (Shard &it : m_shards) {
        // Reads members and time again for each shard, because the takeover of the previous shard may have taken long.
        stepShard(it, m_membership.members(), m_clock.now());
    }
}

/** After a pause the view of the other members is stale: blocks takeovers until settleDelay has passed. */
void Ownership::detectPause(TimePoint now)
{
    const bool isFirst = !m_lastStep;
    if (isFirst || now - *m_lastStep > m_settings.pauseThreshold) {
        m_settledAt = now + m_settings.settleDelay;
        m_platformReachableSince = now;
        std::lock_guard guard(m_mutex);
        m_counters.pauses += isFirst ? 0 : 1;
        for (Shard &it : m_shards) {
            it.vacantSince.reset();
        }
    }
    m_lastStep = now;
}

void Ownership::stepShard(Shard &shard, std::span<const MemberView> members, TimePoint now)
{
    if (isFenced(shard)) {
        dropShard(shard, now);
    }
    if (shard.epoch != 0) {
        stepOwned(shard, members, now);
    } else {
        stepVacant(shard, members, now);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Owned
// ---------------------------------------------------------------------------------------------------------------------

void Ownership::stepOwned(Shard &shard, std::span<const MemberView> members, TimePoint now)
{
    const bool isSuperseded = std::any_of(members.begin(), members.end(), [&](const MemberView &it) {
        return it.live && claimedEpoch(it, shard.name) > shard.epoch;
    });
    if (isSuperseded) {
        {
            std::lock_guard guard(m_mutex);
            ++m_counters.superseded;
        }
        dropShard(shard, now);
        return;
    }
    rebalance(shard, members, now);
}

void Ownership::dropShard(Shard &shard, TimePoint now)
{
    m_host.drop(shard.name);
    // The growing back-off slows down members that cannot hear each other and take the shard in turn.
    shard.fencedBackoff = std::clamp(shard.fencedBackoff * 2, m_settings.fencedBackoff, m_settings.fencedBackoffMax);
    shard.nextAttempt = now + shard.fencedBackoff;
    shard.vacantSince.reset();
    {
        std::lock_guard guard(m_mutex);
        shard.fenced = false;
        shard.epoch = 0;
    }
    publishClaims();
}

/** Releases the shard in favour of the member that ranks first, once that has been the same one for rebalanceAfter. */
void Ownership::rebalance(Shard &shard, std::span<const MemberView> members, TimePoint now)
{
    const std::string preferred = preferredMember(shard, members);
    if (preferred != shard.preferred) {
        shard.preferred = preferred;
        shard.preferredSince = now;
    }
    const bool isDue = preferred != m_self && now - shard.preferredSince >= m_settings.rebalanceAfter;
    if (!isDue || now < m_nextRebalance || m_membership.platformOutage() != Duration::zero()) {
        return;
    }
    m_nextRebalance = now + m_settings.rebalanceSpacing;
    m_host.release(shard.name);
    {
        std::lock_guard guard(m_mutex);
        shard.epoch = 0;
        ++m_counters.rebalanced;
    }
    shard.vacantSince.reset();
    publishClaims();
}

// ---------------------------------------------------------------------------------------------------------------------
// Vacant
// ---------------------------------------------------------------------------------------------------------------------

void Ownership::stepVacant(Shard &shard, std::span<const MemberView> members, TimePoint now)
{
    const MemberView *owner = findClaimant(shard, members);
    {
        std::lock_guard guard(m_mutex);
        shard.knownOwner = owner ? owner->info.name : std::string();
    }
    if (owner) {
        shard.vacantSince.reset();
        shard.nextAttempt = {}; // the owner can be heard, so a later silence is reliable and needs no back-off
        shard.fencedBackoff = {};
        shard.retryDelay = {};
        return;
    }
    if (now < m_settledAt || m_membership.platformOutage() != Duration::zero()) {
        shard.vacantSince.reset();
        return;
    }
    shard.vacantSince = shard.vacantSince.value_or(now);
    const auto rank = static_cast<int>(rankOfSelf(shard, members));
    const TimePoint due = *shard.vacantSince + m_settings.takeoverDelay + rank * m_settings.rankStagger;
    if (now >= due + takeoverHold(shard, members) && now >= shard.nextAttempt) {
        tryAcquire(shard, now);
    }
}

void Ownership::tryAcquire(Shard &shard, TimePoint now)
{
    std::uint64_t epoch = 0;
    try {
        epoch = m_host.acquire(shard.name);
    } catch (const Error &) {
        shard.retryDelay
            = std::clamp(shard.retryDelay * 2, m_settings.retryAfter, m_settings.retryAfter * MaxRetryFactor);
        shard.nextAttempt = now + shard.retryDelay;
        std::lock_guard guard(m_mutex);
        ++m_counters.acquireFailures;
        return;
    }
    assert(epoch != 0);
    shard.retryDelay = {};
    shard.vacantSince.reset();
    shard.preferred.clear();
    {
        std::lock_guard guard(m_mutex);
        shard.epoch = epoch;
        ++m_counters.acquired;
    }
    publishClaims();
}

/** The member with a valid claim to @p shard, the one with the highest epoch if there are several; nullptr if none. */
const MemberView *Ownership::findClaimant(const Shard &shard, std::span<const MemberView> members) const
{
    const MemberView *best = nullptr;
    for (const MemberView &it : members) {
        const std::uint64_t epoch = isClaimValid(it) ? claimedEpoch(it, shard.name) : 0;
        if (epoch != 0 && (!best || epoch > claimedEpoch(*best, shard.name))) {
            best = &it;
        }
    }
    return best;
}

/**
 * False for a member that is not live. Also false for one that cannot reach the platform's service, and so its journal,
 * if this member can reach it: then this member may replace it.
 */
bool Ownership::isClaimValid(const MemberView &member) const
{
    const bool isIsolated = member.platformOutage > m_settings.isolatedOwnerTimeout;
    const bool canReplace = m_clock.now() - m_platformReachableSince > m_settings.isolatedOwnerTimeout;
    return member.live && !(isIsolated && canReplace);
}

/**
 * Extra delay before taking over from a silent owner: its rejoin delay, as long as it is still registered. Waits for an
 * owner that has been silent and returned before; zero for a stable owner.
 */
Duration Ownership::takeoverHold(const Shard &shard, std::span<const MemberView> members) const
{
    Duration hold{};
    for (const MemberView &it : members) {
        if (!it.live && it.registered && claimedEpoch(it, shard.name) != 0) {
            hold = std::max(hold, it.rejoinDelay);
        }
    }
    return hold;
}

bool Ownership::isFenced(const Shard &shard) const
{
    std::lock_guard guard(m_mutex);
    return shard.fenced;
}

std::size_t Ownership::rankOfSelf(const Shard &shard, std::span<const MemberView> members) const
{
    const std::uint64_t ownScore = rendezvousScore(shard.name, m_self);
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const MemberView &it) {
        const bool isCandidate = it.eligible && it.platformOutage == Duration::zero();
        return isCandidate && rendezvousScore(shard.name, it.info.name) > ownScore;
    }));
}

std::string Ownership::preferredMember(const Shard &shard, std::span<const MemberView> members) const
{
    std::string best = m_self;
    for (const MemberView &it : members) {
        const bool isCandidate = it.eligible && it.platformOutage == Duration::zero();
        if (isCandidate && rendezvousScore(shard.name, it.info.name) > rendezvousScore(shard.name, best)) {
            best = it.info.name;
        }
    }
    return best;
}

// ---------------------------------------------------------------------------------------------------------------------
// Public functions called from other threads, and shutdown
// ---------------------------------------------------------------------------------------------------------------------

void Ownership::onFenced(const std::string &shard, std::uint64_t epoch)
{
    std::lock_guard guard(m_mutex);
    for (Shard &it : m_shards) {
        // Ignores a late report about another epoch than the current one.
        if (it.name == shard && it.epoch == epoch && !it.fenced) {
            it.fenced = true;
            ++m_counters.fenced;
        }
    }
}

void Ownership::beginShutdown()
{
    m_leaving = true;
    m_membership.setLeaving();
    for (Shard &it : m_shards) {
        if (it.epoch == 0) {
            continue;
        }
        if (isFenced(it)) {
            m_host.drop(it.name);
        } else {
            m_host.release(it.name);
        }
        std::lock_guard guard(m_mutex);
        it.epoch = 0;
        ++m_counters.released;
    }
    publishClaims();
}

void Ownership::publishClaims()
{
    m_membership.setClaims(claims());
}

std::vector<ShardClaim> Ownership::claims() const
{
    std::lock_guard guard(m_mutex);
    std::vector<ShardClaim> claims;
    for (const Shard &it : m_shards) {
        if (it.epoch != 0 && !it.fenced) {
            claims.push_back({it.name, it.epoch});
        }
    }
    return claims;
}

std::optional<std::string> Ownership::ownerOf(const std::string &shard) const
{
    std::lock_guard guard(m_mutex);
    for (const Shard &it : m_shards) {
        if (it.name != shard) {
            continue;
        }
        if (it.epoch != 0 && !it.fenced) {
            return m_self;
        }
        return it.knownOwner.empty() ? std::nullopt : std::optional(it.knownOwner);
    }
    return std::nullopt;
}

OwnershipCounters Ownership::counters() const
{
    std::lock_guard guard(m_mutex);
    return m_counters;
}

} // namespace QuetzalRock
