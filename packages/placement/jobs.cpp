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
    if (m_free.empty()) {
        m_jobs.emplace_back();
    } else {
        slot = m_free.back();
        m_free.pop_back();
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
    m_free.push_back(slot);
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
// TeamTable
// ---------------------------------------------------------------------------------------------------------------------

TeamIndex TeamTable::indexOf(const std::string &team)
{
    const auto [it, added] = m_byName.try_emplace(team, size());
    if (added) {
        m_teams.emplace_back().quota.team = team;
    }
    return it->second;
}

Team &TeamTable::operator[](TeamIndex index)
{
    return m_teams[index];
}

const Team &TeamTable::operator[](TeamIndex index) const
{
    return m_teams[index];
}

std::uint32_t TeamTable::size() const
{
    return static_cast<std::uint32_t>(m_teams.size());
}

void TeamTable::setQuotas(std::span<const TeamQuota> quotas)
{
    for (Team &it : m_teams) {
        it.quota = TeamQuota{it.quota.team};
    }
    for (const TeamQuota &it : quotas) {
        assert(it.weight > 0);
        m_teams[indexOf(it.team)].quota = it;
    }
}

double TeamTable::dominantShare(TeamIndex index, const Resources &total) const
{
    const Team &team = m_teams[index];
    const auto part = [](std::int64_t used, std::int64_t all) {
        return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0.0;
    };
    const double dominant = std::max({part(team.usage.cpuMillis, total.cpuMillis),
                                      part(team.usage.memoryMib, total.memoryMib),
                                      part(team.usage.accelerators, total.accelerators)});
    return dominant / team.quota.weight;
}

Resources TeamTable::lacking(TeamIndex index, const Resources &need) const
{
    const Team &team = m_teams[index];
    const Resources after = team.usage + need;
    const Resources &limit = team.quota.limit;
    return {after.cpuMillis > limit.cpuMillis ? need.cpuMillis : 0,
            after.memoryMib > limit.memoryMib ? need.memoryMib : 0,
            after.accelerators > limit.accelerators ? need.accelerators : 0};
}

bool TeamTable::allows(TeamIndex index, const Resources &need) const
{
    const Team &team = m_teams[index];
    return (team.usage + need).fitsIn(team.quota.limit);
}

} // namespace QuetzalRock
