/**
 * Finds faulty workers from failed attempts, and keeps failures of faulty jobs from being blamed on their workers.
 *
 * Index of this file
 *   WorkerHealth    healthy, quarantined, or on probation
 *   HealthTracker   takes failures and successes, returns changes of state
 */
#pragma once

#include <placement/ledger.h>
#include <placement/settings.h>

#include <vector>

namespace QuetzalRock {

enum class WorkerHealth : std::uint8_t {
    Healthy,
    Quarantined, ///< gets no starts until its next probe is due
    Probation,   ///< gets one batch task at a time as a probe, until one succeeds or fails
};

class HealthTracker
{
public:
    explicit HealthTracker(const PlacementSettings &settings);

    void addWorker(WorkerIndex worker);

    /**
     * True if this failure quarantines the worker. Failures of a suspect job, which failed on other workers too, are
     * ignored.
     */
    bool recordFailure(WorkerIndex worker, JobId job, bool isJobSuspect, TimePoint now);
    void recordSuccess(WorkerIndex worker);

    /** Puts the workers whose quarantine is over on probation, and returns them. */
    std::vector<WorkerIndex> beginDueProbes(TimePoint now);

    WorkerHealth health(WorkerIndex worker) const;
    bool isKnownHealthy(WorkerIndex worker) const; ///< had a success, and at most one job failed there since
    TimePoint probeAt(WorkerIndex worker) const;   ///< end of the quarantine; meaningful only for quarantined workers
    std::uint32_t quarantined() const;

private:
    struct WorkerRecord
    {
        WorkerHealth health = WorkerHealth::Healthy;
        int failures = 0;               ///< since the last success
        bool hasSucceeded = false;      ///< had a success since its last quarantine
        int consecutiveQuarantines = 0; ///< quarantines since the last success
        TimePoint probeAt{};
        std::vector<JobId> failedJobs; ///< distinct jobs that failed since the last success; at most quarantineJobs
    };

    void quarantine(WorkerRecord &record, TimePoint now);

    PlacementSettings m_settings;
    std::vector<WorkerRecord> m_records;
    std::vector<WorkerIndex> m_quarantined;
};

} // namespace QuetzalRock
