#include <membership/membership.h>

#include <algorithm>

namespace QuetzalRock {

namespace {

constexpr std::string_view AllMembersPrefix = "members/";
constexpr int RenewalsPerTtl = 3;

} // namespace

MemberRegistry::MemberRegistry(
    const RegistrySettings &settings, KeyValueService &service, VmList *vms, Membership &membership, Clock &clock)
    : m_settings(settings)
    , m_service(service)
    , m_vms(vms)
    , m_membership(membership)
    , m_clock(clock)
{
}

void MemberRegistry::step(Duration wait)
{
    const TimePoint now = m_clock.now();
    if (now < m_nextTry) {
        if (wait > Duration::zero()) {
            m_clock.sleepFor(std::min(wait, m_nextTry - now));
        }
        return;
    }
    try {
        if (now >= m_nextRenewal) {
            renew(now);
        }
        if (now >= m_nextList) {
            listAll(now);
        }
        watchOnce(std::min(wait, untilNextCall(now)));
        noteSuccess();
    } catch (const Error &) {
        noteFailure(m_clock.now());
    }
}

/** Keeps the lease, and makes a new one where it has lapsed. */
void MemberRegistry::renew(TimePoint now)
{
    const MemberInfo self = m_membership.self();
    if (m_lease != 0) {
        ++m_counters.writes;
        if (!m_service.renewLease(m_lease)) {
            m_lease = 0;
        }
    }
    if (m_lease == 0 || !(self == m_registered)) {
        registerSelf();
    }
    m_nextRenewal = now + m_settings.leaseTtl / RenewalsPerTtl;
}

void MemberRegistry::registerSelf()
{
    const MemberInfo self = m_membership.self();
    const std::string key = domainPrefix() + self.name;
    if (m_lease == 0) {
        ++m_counters.writes;
        m_lease = m_service.grantLease(m_settings.leaseTtl);
    }
    // Whatever stands there is an earlier registration under this name: one's own, or that of a process before.
    ++m_counters.reads;
    const std::optional<KeyValue> found = m_service.get(key);
    ++m_counters.writes;
    const CasResult result = m_service.compareAndSwap(key, found ? found->revision : 0, encodeMember(self), m_lease);
    if (!result.swapped) {
        // The lease went in the meantime, or another process has this name: start again at the next step.
        m_lease = 0;
        throw Unavailable("registration " + key + " was changed by somebody else");
    }
    m_registered = self;
}

void MemberRegistry::listAll(TimePoint now)
{
    ++m_counters.reads;
    const std::vector<KeyValue> all = m_service.list(AllMembersPrefix);
    m_known.clear();
    for (const KeyValue &it : all) {
        m_watched = std::max(m_watched, it.revision);
        absorbKey(it);
    }
    std::set<std::string> names;
    for (const auto &[key, member] : m_known) {
        names.insert(member.name);
    }
    m_membership.setRegistered(names);
    if (!m_known.contains(domainPrefix() + m_membership.self().name)) {
        m_lease = 0; // somebody removed it, or it lapsed: register again at once
        m_nextRenewal = now;
    }
    if (m_vms) {
        m_membership.setVms(m_vms->vms());
    }
    m_nextList = now + m_settings.directoryInterval;
}

void MemberRegistry::watchOnce(Duration wait)
{
    ++m_counters.reads;
    const WatchResult result = m_service.watch(domainPrefix(), m_watched, wait);
    m_watched = std::max(m_watched, result.revision);
    for (const KeyValue &it : result.changed) {
        absorbKey(it);
    }
    for (const std::string &key : result.removed) {
        const auto it = m_known.find(key);
        if (it != m_known.end()) {
            m_membership.learn(it->second, false);
            m_known.erase(it);
        }
    }
}

void MemberRegistry::absorbKey(const KeyValue &it)
{
    try {
        const MemberInfo member = decodeMember(it.value);
        const std::string expected = std::string(AllMembersPrefix) + member.failureDomain + "/" + member.name;
        if (it.key != expected) {
            ++m_counters.ignored; // one that names another failure domain than its key is nobody's
            return;
        }
        m_membership.learn(member, true);
        m_known[it.key] = member;
    } catch (const InvalidArgument &) {
        ++m_counters.ignored;
    }
}

void MemberRegistry::noteSuccess()
{
    m_awaySince.reset();
    m_backoff = {};
    m_membership.setPlatformOutage(Duration::zero());
}

void MemberRegistry::noteFailure(TimePoint now)
{
    ++m_counters.failures;
    m_awaySince = m_awaySince.value_or(now);
    m_membership.setPlatformOutage(std::max(now - *m_awaySince, Duration(std::chrono::milliseconds(1))));
    m_backoff = std::clamp(m_backoff * 2, m_settings.retryAfter, m_settings.retryAfterMax);
    // When the service comes back, not all members come back to it at once.
    const Duration jitter(rendezvousScore("retry", m_membership.self().name) % (m_backoff.count() / 2));
    m_nextTry = now + m_backoff + jitter;
}

Duration MemberRegistry::untilNextCall(TimePoint now) const
{
    const TimePoint next = std::min(m_nextRenewal, m_nextList);
    return std::clamp(next - now, Duration::zero(), m_settings.maxWatch);
}

void MemberRegistry::unregister()
{
    if (m_lease == 0) {
        return;
    }
    try {
        ++m_counters.writes;
        m_service.revokeLease(m_lease);
    } catch (const Error &) {
        ++m_counters.failures; // it lapses by itself
    }
    m_lease = 0;
}

RegistryCounters MemberRegistry::counters() const
{
    return {m_counters.reads, m_counters.writes, m_counters.failures, m_counters.ignored};
}

std::string MemberRegistry::domainPrefix() const
{
    return std::string(AllMembersPrefix) + m_membership.self().failureDomain + "/";
}

} // namespace QuetzalRock
