/** Helpers of the placement tests: workers, jobs, settings, reports, and a record of started tasks. */
#pragma once

#include <placement/placementengine.h>

#include <map>
#include <set>

namespace QuetzalRock::Testing {

inline TimePoint at(double seconds)
{
    return TimePoint(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(seconds * 1e6));
}

inline Vm makeWorker(int number, std::int64_t cores = 8, std::int64_t memoryMib = 32000, std::int64_t accelerators = 0)
{
    Vm vm;
    vm.name = "w" + std::to_string(number);
    vm.rack = "r" + std::to_string(number / 8);
    vm.capacity = {cores * 1000, memoryMib, accelerators};
    return vm;
}

inline JobSpec makeJob(JobId id, std::uint32_t tasks, std::int64_t cores, WorkloadKind kind = WorkloadKind::Batch)
{
    JobSpec spec;
    spec.id = id;
    spec.name = "job" + std::to_string(id);
    spec.tenant = "crew";
    spec.kind = kind;
    spec.className = kind == WorkloadKind::Service ? "lookup" : "build";
    spec.taskCount = tasks;
    spec.resources = {cores * 1000, 1000, 0};
    spec.latencyTargetMs = kind == WorkloadKind::Service ? 100 : 0;
    return spec;
}

/** Settings whose start rate limits and headroom never block a start. */
inline PlacementSettings unlimitedSettings()
{
    PlacementSettings settings;
    settings.workerStartsPerSecond = 1000;
    settings.workerStartBurst = 1000;
    settings.shardStartsPerSecond = 100000;
    settings.shardStartBurst = 100000;
    settings.headroomPermille = 0;
    return settings;
}

/** The worker of each started task. */
using Placements = std::map<TaskId, WorkerId>;

inline void recordStarts(const Decisions &decisions, Placements &placements)
{
    for (const StartDecision &it : decisions.starts) {
        placements[it.task] = it.worker;
    }
}

/** A worker's report without attempts; times are in seconds of the worker's clock. */
inline WorkerReport makeReport(const WorkerId &worker, double writtenAt, double measuredAt)
{
    WorkerReport report;
    report.worker = worker;
    report.workerClock = WorkerTime(static_cast<std::int64_t>(writtenAt * 1000));
    report.measuredAt = WorkerTime(static_cast<std::int64_t>(measuredAt * 1000));
    return report;
}

inline AttemptReport makeEntry(const TaskId &task, std::int64_t cpuMillis, double latencyMs = 0, double progress = 0)
{
    AttemptReport entry;
    entry.attempt = {task, 1};
    entry.state = AttemptState::Running;
    entry.usage = {cpuMillis, 500, 0};
    entry.latencyMs = latencyMs;
    entry.progress = progress;
    return entry;
}

} // namespace QuetzalRock::Testing
