#include <placement/health.h>

#include <algorithm>

namespace QuetzalRock {

HealthTracker::HealthTracker(const PlacementSettings &settings)
    : m_settings(settings)
{
}

void HealthTracker::addWorker(WorkerIndex worker)
{
    if (worker >= m_records.size()) {
        m_records.resize(worker + 1);
    }
}

bool HealthTracker::noteFailure(WorkerIndex worker, JobId job, bool jobSuspect, TimePoint now)
{
    Record &record = m_records[worker];
    if (record.health == WorkerHealth::Quarantined || jobSuspect) {
        return false; // of an attempt that was started before, or of a job that fails everywhere
    }
    ++record.failures;
    const bool seen = std::find(record.jobs.begin(), record.jobs.end(), job) != record.jobs.end();
    if (!seen && static_cast<int>(record.jobs.size()) < m_settings.quarantineJobs) {
        record.jobs.push_back(job);
    }
    const bool manyJobs = static_cast<int>(record.jobs.size()) >= m_settings.quarantineJobs;
    const bool failsAll = manyJobs && record.failures >= m_settings.quarantineFailures;
    if (record.health != WorkerHealth::Probation && !failsAll) {
        return false;
    }
    quarantine(record, now);
    m_quarantined.push_back(worker);
    return true;
}

void HealthTracker::quarantine(Record &record, TimePoint now)
{
    constexpr int MaxDoublings = 16;
    const Duration wait = m_settings.quarantineBase * (1 << std::min(record.rounds, MaxDoublings));
    record.health = WorkerHealth::Quarantined;
    record.proven = false;
    record.probeAt = now + std::min(wait, m_settings.quarantineMax);
    ++record.rounds;
}

void HealthTracker::noteSuccess(WorkerIndex worker)
{
    Record &record = m_records[worker];
    if (record.health == WorkerHealth::Quarantined) {
        return; // of an attempt that was started before; the probe decides
    }
    record.health = WorkerHealth::Healthy;
    record.proven = true;
    record.failures = 0;
    record.rounds = 0;
    record.jobs.clear();
}

std::vector<WorkerIndex> HealthTracker::takeDueProbes(TimePoint now)
{
    std::vector<WorkerIndex> due;
    std::erase_if(m_quarantined, [&](WorkerIndex it) {
        if (m_records[it].probeAt > now) {
            return false;
        }
        m_records[it].health = WorkerHealth::Probation;
        due.push_back(it);
        return true;
    });
    return due;
}

WorkerHealth HealthTracker::health(WorkerIndex worker) const
{
    return m_records[worker].health;
}

bool HealthTracker::isKnownHealthy(WorkerIndex worker) const
{
    const Record &record = m_records[worker];
    return record.health == WorkerHealth::Healthy && record.proven && record.jobs.size() <= 1;
}

TimePoint HealthTracker::probeAt(WorkerIndex worker) const
{
    return m_records[worker].probeAt;
}

std::uint32_t HealthTracker::quarantined() const
{
    return static_cast<std::uint32_t>(m_quarantined.size());
}

} // namespace QuetzalRock
