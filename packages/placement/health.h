/**
 * Who is at fault when attempts fail: a worker that fails everything, or a job that fails everywhere.
 *
 * Index of this file
 *   WorkerHealth    healthy, quarantined, on probation
 *   HealthTracker   failures and successes in, changes of state out
 */
#pragma once

#include <placement/ledger.h>
#include <placement/settings.h>

#include <vector>

namespace QuetzalRock {

enum class WorkerHealth : std::uint8_t {
    Healthy,
    Quarantined, ///< gets nothing until its next probe
    Probation,   ///< gets one batch task at a time, until one succeeds
};

class HealthTracker
{
public:
    explicit HealthTracker(const PlacementSettings &settings);

    void addWorker(WorkerIndex worker);

    /** True where the worker is quarantined by this failure. @p jobSuspect: the job has failed elsewhere already. */
    bool noteFailure(WorkerIndex worker, JobId job, bool jobSuspect, TimePoint now);
    void noteSuccess(WorkerIndex worker);

    /** Workers whose quarantine is over now and that are on probation from here on. */
    std::vector<WorkerIndex> takeDueProbes(TimePoint now);

    WorkerHealth health(WorkerIndex worker) const;
    bool isKnownHealthy(WorkerIndex worker) const; ///< other work succeeded there, and only one job's failed since
    TimePoint probeAt(WorkerIndex worker) const;   ///< of a quarantined worker
    std::uint32_t quarantined() const;

private:
    struct Record
    {
        WorkerHealth health = WorkerHealth::Healthy;
        int failures = 0;    ///< in a row
        bool proven = false; ///< has had a success since it was last quarantined
        int rounds = 0;      ///< quarantines without a success between
        TimePoint probeAt{};
        std::vector<JobId> jobs; ///< distinct, of the failures in a row; at most quarantineJobs
    };

    void quarantine(Record &record, TimePoint now);

    PlacementSettings m_settings;
    std::vector<Record> m_records;
    std::vector<WorkerIndex> m_quarantined;
};

} // namespace QuetzalRock
