/**
 * The order in which jobs are placed. Under overload, first come, first served would make every job miss its latency
 * objective; this order places first the jobs that can still meet theirs.
 *
 * Index of this file
 *   JobRank                          sort key of jobs; the smallest is placed first
 *   rankOf()                         the rank of a job at a given time
 *   longestWaitSince()               since when a long-running task may have had no run
 *   hasExceededPlacementTimeout()    whether a long-running task has waited too long for a worker
 *   criticalPathMs(), remainingCriticalPathMs()   critical path by declared estimates
 *   latencyObjectiveMs()             when a job should have ended
 */
#pragma once

#include <workflow/progress.h>

#include <compare>

namespace QuetzalRock::Workflow {

struct JobRank
{
    int priority = 0;                     ///< of the queue; 0 is the most urgent
    bool isWithinPlacementTimeout = true; ///< false: one of its long-running tasks has waited too long ...
    TimePoint waitingSince{};             ///< ... since then: the longest wait goes first; otherwise zero
    bool isLongRunning = false;           ///< holds its resources for long: short work of the same priority goes first
    DeadlineOutlook outlook = DeadlineOutlook::InTime;
    bool isNew = true; ///< no task has started: jobs in progress go first, so that their work is not wasted

    // Set by ScarcityOrder; otherwise the same for all jobs, so that the oldest goes first
    bool isServedEnough = true; ///< false: of a size class whose jobs are served less than its queue promises
    std::int64_t sequence = 0;  ///< the smallest goes first; new jobs: by cost of delay, others: by deadline

    std::int64_t acceptedMs = 0;
    JobKey key;

    auto operator<=>(const JobRank &) const = default;
};

constexpr double TooLateFactor = 3; ///< the result of a job is worthless beyond this multiple of its latency objective

/** A long-running task that waits longer goes before short work: its service lacks capacity meanwhile. */
constexpr Duration LongRunningPlacementTimeout = std::chrono::seconds(1);

JobRank rankOf(const JobState &job, std::int64_t wallMs, TimePoint now);

/**
 * Since when @p task may have had no run: the end of its last one. If this leader knows of none, the acceptance of its
 * job, so that the wait does not begin anew with each leader, nor with a rejected start.
 */
TimePoint longestWaitSince(const JobState &job, const TaskState &task);

/**
 * Whether @p task is long-running and has waited for a worker longer than LongRunningPlacementTimeout. This happens
 * when short tasks take resources as soon as they are freed, so that no worker ever has enough of them at once.
 */
bool hasExceededPlacementTimeout(const JobState &job, const StepSpec &step, const TaskState &task, TimePoint now);

/** Duration of the longest chain of dependent steps, by declared estimates. */
std::int64_t criticalPathMs(const WorkflowSpec &spec);

/** The same without the steps of @p occurrence that are complete. */
std::int64_t remainingCriticalPathMs(const JobState &job, const OccurrenceState &occurrence);

/** Latency objective of a job without long-running steps and repetitions, counted from its acceptance. */
double latencyObjectiveMs(const AcceptedJob &accepted);

} // namespace QuetzalRock::Workflow
