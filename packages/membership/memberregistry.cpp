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
    if (now < m_nextAttempt) {
        if (wait > Duration::zero()) {
            m_clock.sleepFor(std::min(wait, m_nextAttempt - now));
        }
        return;
    }
    try {
        if (now >= m_nextRenewal) {
            renewRegistration(now);
        }
        if (now >= m_nextList) {
            listRegistrations(now);
        }
        watchChanges(std::min(wait, timeUntilNextCall(now)));
        recordSuccess();
    } catch (const Error &) {
        recordFailure(m_clock.now());
    }
}

/** Renews the lease. Registers again if the lease has expired or the member's own data have changed. */
void MemberRegistry::renewRegistration(TimePoint now)
{
    const MemberInfo self = m_membership.self();
    if (m_lease != 0) {
        ++m_counters.writes;
        if (!m_service.renewLease(m_lease)) {
            m_lease = 0;
        }
    }
    if (m_lease == 0 || !(self == m_registeredInfo)) {
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
    // An existing value is an earlier registration of this process or of a former process with the same name, and is
    // replaced.
    ++m_counters.reads;
    const std::optional<KeyValue> found = m_service.get(key);
    ++m_counters.writes;
    const CasResult result = m_service.compareAndSwap(key, found ? found->revision : 0, encodeMember(self), m_lease);
    if (!result.swapped) {
        // The lease has expired meanwhile, or another process uses the same name. The next step() grants a new lease.
        m_lease = 0;
        throw Unavailable("registration " + key + " was changed concurrently");
    }
    m_registeredInfo = self;
}

void MemberRegistry::listRegistrations(TimePoint now)
{
    ++m_counters.reads;
    const std::vector<KeyValue> all = m_service.list(AllMembersPrefix);
    m_registrations.clear();
    for (const KeyValue &it : all) {
        m_watchedRevision = std::max(m_watchedRevision, it.revision);
        applyRegistration(it);
    }
    std::set<std::string> names;
    for (const auto &[key, member] : m_registrations) {
        names.insert(member.name);
    }
    m_membership.setRegistered(names);
    if (!m_registrations.contains(domainPrefix() + m_membership.self().name)) {
        m_lease = 0; // own registration was removed or has expired: register again at once
        m_nextRenewal = now;
    }
    if (m_vms) {
        m_membership.setVms(m_vms->vms());
    }
    m_nextList = now + m_settings.listInterval;
}

void MemberRegistry::watchChanges(Duration wait)
{
    ++m_counters.reads;
    const WatchResult result = m_service.watch(domainPrefix(), m_watchedRevision, wait);
    m_watchedRevision = std::max(m_watchedRevision, result.revision);
    for (const KeyValue &it : result.changed) {
        applyRegistration(it);
    }
    for (const std::string &key : result.removed) {
        const auto it = m_registrations.find(key);
        if (it != m_registrations.end()) {
            m_membership.updateMember(it->second, false);
            m_registrations.erase(it);
        }
    }
}

void MemberRegistry::applyRegistration(const KeyValue &it)
{
    try {
        const MemberInfo member = decodeMember(it.value);
        const std::string expected = std::string(AllMembersPrefix) + member.failureDomain + "/" + member.name;
        if (it.key != expected) {
            ++m_counters.ignored; // the value's failure domain or name contradicts the key
            return;
        }
        m_membership.updateMember(member, true);
        m_registrations[it.key] = member;
    } catch (const InvalidArgument &) {
        ++m_counters.ignored;
    }
}

void MemberRegistry::recordSuccess()
{
    m_unreachableSince.reset();
    m_backoff = {};
    m_membership.setPlatformOutage(Duration::zero());
}

void MemberRegistry::recordFailure(TimePoint now)
{
    ++m_counters.failures;
    m_unreachableSince = m_unreachableSince.value_or(now);
    m_membership.setPlatformOutage(std::max(now - *m_unreachableSince, Duration(std::chrono::milliseconds(1))));
    m_backoff = std::clamp(m_backoff * 2, m_settings.retryAfter, m_settings.retryAfterMax);
    // The jitter differs between members, so that they do not all call at once when the service is back.
    const Duration jitter(rendezvousScore("retry", m_membership.self().name) % (m_backoff.count() / 2));
    m_nextAttempt = now + m_backoff + jitter;
}

Duration MemberRegistry::timeUntilNextCall(TimePoint now) const
{
    const TimePoint next = std::min(m_nextRenewal, m_nextList);
    return std::clamp(next - now, Duration::zero(), m_settings.maxWatchWait);
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
        ++m_counters.failures; // the registration expires with its lease
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
