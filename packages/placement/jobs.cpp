#include <placement/jobs.h>

#include <algorithm>
#include <cassert>

namespace QuetzalRock {

// ---------------------------------------------------------------------------------------------------------------------
// JobTable
// ---------------------------------------------------------------------------------------------------------------------

JobSlot JobTable::add(const JobSpec &spec)
{
    assert(!contains(spec.id));
    JobSlot slot = static_cast<JobSlot>(m_jobs.size());
    if (m_freeSlots.empty()) {
        m_jobs.emplace_back();
    } else {
        slot = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    Job &job = m_jobs[slot];
    job.spec = spec;
    job.tasks.resize(spec.taskCount);
    m_byId.emplace(spec.id, slot);
    return slot;
}

void JobTable::remove(JobSlot slot)
{
    m_byId.erase(m_jobs[slot].spec.id);
    m_jobs[slot] = Job();
    m_freeSlots.push_back(slot);
}

Job &JobTable::operator[](JobSlot slot)
{
    return m_jobs[slot];
}

const Job &JobTable::operator[](JobSlot slot) const
{
    return m_jobs[slot];
}

Task &JobTable::task(TaskRef ref)
{
    return m_jobs[ref.job].tasks[ref.index];
}

const Task &JobTable::task(TaskRef ref) const
{
    return m_jobs[ref.job].tasks[ref.index];
}

TaskId JobTable::idOf(TaskRef ref) const
{
    return {m_jobs[ref.job].spec.id, ref.index};
}

bool JobTable::find(const TaskId &id, TaskRef &out) const
{
    const auto it = m_byId.find(id.job);
    if (it == m_byId.end() || id.index >= m_jobs[it->second].tasks.size()) {
        return false;
    }
    out = {it->second, id.index};
    return true;
}

bool JobTable::contains(JobId id) const
{
    return m_byId.contains(id);
}

std::size_t JobTable::size() const
{
    return m_byId.size();
}

// ---------------------------------------------------------------------------------------------------------------------
// TenantQuotaTable
// ---------------------------------------------------------------------------------------------------------------------

TenantSlot TenantQuotaTable::indexOf(const std::string &tenant)
{
    const auto [it, added] = m_byName.try_emplace(tenant, size());
    if (added) {
        m_tenants.emplace_back().quota.tenant = tenant;
    }
    return it->second;
}

Tenant &TenantQuotaTable::operator[](TenantSlot index)
{
    return m_tenants[index];
}

const Tenant &TenantQuotaTable::operator[](TenantSlot index) const
{
    return m_tenants[index];
}

std::uint32_t TenantQuotaTable::size() const
{
    return static_cast<std::uint32_t>(m_tenants.size());
}

void TenantQuotaTable::setQuotas(std::span<const TenantShardQuota> quotas)
{
    for (Tenant &it : m_tenants) {
        it.quota = TenantShardQuota{it.quota.tenant};
    }
    for (const TenantShardQuota &it : quotas) {
        assert(it.weight > 0);
        m_tenants[indexOf(it.tenant)].quota = it;
    }
}

double TenantQuotaTable::dominantShare(TenantSlot index, const Resources &total) const
{
    const Tenant &tenant = m_tenants[index];
    const auto part = [](std::int64_t used, std::int64_t all) {
        return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0.0;
    };
    const double dominant = std::max({part(tenant.usage.cpuMillis, total.cpuMillis),
                                      part(tenant.usage.memoryMib, total.memoryMib),
                                      part(tenant.usage.accelerators, total.accelerators)});
    return dominant / tenant.quota.weight;
}

Resources TenantQuotaTable::quotaShortfall(TenantSlot index, const Resources &need) const
{
    const Tenant &tenant = m_tenants[index];
    const Resources after = tenant.usage + need;
    const Resources &limit = tenant.quota.limit;
    return {after.cpuMillis > limit.cpuMillis ? need.cpuMillis : 0,
            after.memoryMib > limit.memoryMib ? need.memoryMib : 0,
            after.accelerators > limit.accelerators ? need.accelerators : 0};
}

bool TenantQuotaTable::fitsQuota(TenantSlot index, const Resources &need) const
{
    const Tenant &tenant = m_tenants[index];
    return (tenant.usage + need).fitsIn(tenant.quota.limit);
}

} // namespace QuetzalRock
