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
    notePause(now);
    if (m_leaving) {
        return;
    }
    if (m_membership.platformOutage() != Duration::zero()) {
        m_platformSince = now;
    }
    for (Shard &it : m_shards) {
        // Looked at anew for each shard: the takeover of the one before may have taken long.
        stepShard(it, m_membership.members(), m_clock.now());
    }
}

/** After a pause this member's view is old: it listens before it takes anything. */
void Ownership::notePause(TimePoint now)
{
    const bool first = !m_lastStep;
    if (first || now - *m_lastStep > m_settings.pauseAfter) {
        m_settledAt = now + m_settings.settleDelay;
        m_platformSince = now;
        std::lock_guard guard(m_mutex);
        m_counters.pauses += first ? 0 : 1;
        for (Shard &it : m_shards) {
            it.vacantSince.reset();
        }
    }
    m_lastStep = now;
}

void Ownership::stepShard(Shard &shard, std::span<const MemberView> members, TimePoint now)
{
    if (isFenced(shard)) {
        standDown(shard, now);
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
    const bool outclaimed = std::any_of(members.begin(), members.end(), [&](const MemberView &it) {
        return it.live && claimedEpoch(it, shard.name) > shard.epoch;
    });
    if (outclaimed) {
        {
            std::lock_guard guard(m_mutex);
            ++m_counters.outclaimed;
        }
        standDown(shard, now);
        return;
    }
    rebalance(shard, members, now);
}

void Ownership::standDown(Shard &shard, TimePoint now)
{
    m_host.drop(shard.name);
    // Two members that cannot hear each other would take the shard from each other for ever.
    shard.fencedBackoff = std::clamp(shard.fencedBackoff * 2, m_settings.fencedBackoff, m_settings.fencedBackoffMax);
    shard.notBefore = now + shard.fencedBackoff;
    shard.vacantSince.reset();
    {
        std::lock_guard guard(m_mutex);
        shard.fenced = false;
        shard.epoch = 0;
    }
    publish();
}

/** Hands the shard to the member that hashing prefers, once that one has been steady for long. */
void Ownership::rebalance(Shard &shard, std::span<const MemberView> members, TimePoint now)
{
    const std::string preferred = preferredMember(shard, members);
    if (preferred != shard.preferred) {
        shard.preferred = preferred;
        shard.preferredSince = now;
    }
    const bool due = preferred != m_self && now - shard.preferredSince >= m_settings.rebalanceAfter;
    if (!due || now < m_nextRebalance || m_membership.platformOutage() != Duration::zero()) {
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
    publish();
}

// ---------------------------------------------------------------------------------------------------------------------
// Vacant
// ---------------------------------------------------------------------------------------------------------------------

void Ownership::stepVacant(Shard &shard, std::span<const MemberView> members, TimePoint now)
{
    const MemberView *owner = claimant(shard, members);
    {
        std::lock_guard guard(m_mutex);
        shard.knownOwner = owner ? owner->info.name : std::string();
    }
    if (owner) {
        shard.vacantSince.reset();
        shard.notBefore = {}; // the owner is heard, so its silence will be believed
        shard.fencedBackoff = {};
        shard.retry = {};
        return;
    }
    if (now < m_settledAt || m_membership.platformOutage() != Duration::zero()) {
        shard.vacantSince.reset();
        return;
    }
    shard.vacantSince = shard.vacantSince.value_or(now);
    const auto rank = static_cast<int>(rankOfSelf(shard, members));
    const TimePoint due = *shard.vacantSince + m_settings.takeoverDelay + rank * m_settings.rankStagger;
    if (now >= due + holdFor(shard, members) && now >= shard.notBefore) {
        tryAcquire(shard, now);
    }
}

void Ownership::tryAcquire(Shard &shard, TimePoint now)
{
    std::uint64_t epoch = 0;
    try {
        epoch = m_host.acquire(shard.name);
    } catch (const Error &) {
        shard.retry = std::clamp(shard.retry * 2, m_settings.retryAfter, m_settings.retryAfter * MaxRetryFactor);
        shard.notBefore = now + shard.retry;
        std::lock_guard guard(m_mutex);
        ++m_counters.acquireFailures;
        return;
    }
    assert(epoch != 0);
    shard.retry = {};
    shard.vacantSince.reset();
    shard.preferred.clear();
    {
        std::lock_guard guard(m_mutex);
        shard.epoch = epoch;
        ++m_counters.acquired;
    }
    publish();
}

/** The live member that claims @p shard, if its claim counts; the highest epoch of several. */
const MemberView *Ownership::claimant(const Shard &shard, std::span<const MemberView> members) const
{
    const MemberView *best = nullptr;
    for (const MemberView &it : members) {
        const std::uint64_t epoch = isHonoured(it) ? claimedEpoch(it, shard.name) : 0;
        if (epoch != 0 && (!best || epoch > claimedEpoch(*best, shard.name))) {
            best = &it;
        }
    }
    return best;
}

/** A live owner that can no longer reach its journal is replaced, but only by a member that can. */
bool Ownership::isHonoured(const MemberView &member) const
{
    const bool cut = member.platformOutage > m_settings.cutOwnerAfter;
    const bool able = m_clock.now() - m_platformSince > m_settings.cutOwnerAfter;
    return member.live && !(cut && able);
}

/**
 * A silent owner that has fallen silent and returned before is waited for, as long as the platform still holds its
 * registration; a steady one is replaced at once.
 */
Duration Ownership::holdFor(const Shard &shard, std::span<const MemberView> members) const
{
    Duration hold{};
    for (const MemberView &it : members) {
        if (!it.live && it.registered && claimedEpoch(it, shard.name) != 0) {
            hold = std::max(hold, it.returnPenalty);
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
    const std::uint64_t mine = rendezvousScore(shard.name, m_self);
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const MemberView &it) {
        const bool able = it.eligible && it.platformOutage == Duration::zero();
        return able && rendezvousScore(shard.name, it.info.name) > mine;
    }));
}

std::string Ownership::preferredMember(const Shard &shard, std::span<const MemberView> members) const
{
    std::string best = m_self;
    for (const MemberView &it : members) {
        const bool able = it.eligible && it.platformOutage == Duration::zero();
        if (able && rendezvousScore(shard.name, it.info.name) > rendezvousScore(shard.name, best)) {
            best = it.info.name;
        }
    }
    return best;
}

// ---------------------------------------------------------------------------------------------------------------------
// From outside
// ---------------------------------------------------------------------------------------------------------------------

void Ownership::onFenced(const std::string &shard, std::uint64_t epoch)
{
    std::lock_guard guard(m_mutex);
    for (Shard &it : m_shards) {
        // A late word about an earlier epoch must not end the present one.
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
    publish();
}

void Ownership::publish()
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
