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

bool HealthTracker::recordFailure(WorkerIndex worker, JobId job, bool isJobSuspect, TimePoint now)
{
    WorkerRecord &record = m_records[worker];
    if (record.health == WorkerHealth::Quarantined || isJobSuspect) {
        return false; // The attempt was started before the quarantine, or the job fails on many workers.
    }
    ++record.failures;
    const bool isListed = std::find(record.failedJobs.begin(), record.failedJobs.end(), job) != record.failedJobs.end();
    if (!isListed && static_cast<int>(record.failedJobs.size()) < m_settings.quarantineJobs) {
        record.failedJobs.push_back(job);
    }
    const bool manyJobs = static_cast<int>(record.failedJobs.size()) >= m_settings.quarantineJobs;
    const bool failsAllJobs = manyJobs && record.failures >= m_settings.quarantineFailures;
    if (record.health != WorkerHealth::Probation && !failsAllJobs) {
        return false;
    }
    quarantine(record, now);
    m_quarantined.push_back(worker);
    return true;
}

void HealthTracker::quarantine(WorkerRecord &record, TimePoint now)
{
    constexpr int MaxDoublings = 16;
    const Duration wait = m_settings.quarantineBase * (1 << std::min(record.consecutiveQuarantines, MaxDoublings));
    record.health = WorkerHealth::Quarantined;
    record.hasSucceeded = false;
    record.probeAt = now + std::min(wait, m_settings.quarantineMax);
    ++record.consecutiveQuarantines;
}

void HealthTracker::recordSuccess(WorkerIndex worker)
{
    WorkerRecord &record = m_records[worker];
    if (record.health == WorkerHealth::Quarantined) {
        return; // The attempt was started before the quarantine; only a probe ends the quarantine.
    }
    record.health = WorkerHealth::Healthy;
    record.hasSucceeded = true;
    record.failures = 0;
    record.consecutiveQuarantines = 0;
    record.failedJobs.clear();
}

std::vector<WorkerIndex> HealthTracker::beginDueProbes(TimePoint now)
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
    const WorkerRecord &record = m_records[worker];
    return record.health == WorkerHealth::Healthy && record.hasSucceeded && record.failedJobs.size() <= 1;
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
