#include <workflow/joborder.h>

#include <algorithm>
#include <optional>

namespace QuetzalRock::Workflow {

namespace {

/** Duration of the longest chain of dependent steps; steps for which @p counts returns false take no time. */
template<typename Counts>
std::int64_t criticalPath(const WorkflowSpec &spec, Counts counts)
{
    std::vector<std::int64_t> endMs(spec.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
        std::int64_t begin = 0;
        for (const std::uint32_t it : spec.steps[s].after) {
            begin = std::max(begin, endMs[it]);
        }
        endMs[s] = begin + (counts(s) ? spec.steps[s].estimateMs : 0);
        longest = std::max(longest, endMs[s]);
    }
    return longest;
}

/** The begin of the longest wait among the long-running tasks that have exceeded the placement timeout; none: no such. */
std::optional<TimePoint> longestOverdueWaitSince(const JobState &job, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const OccurrenceState &occurrence : job.occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const StepSpec &step = job.accepted.spec.steps[s];
            const auto &tasks = occurrence.steps[s].tasks;
            for (const TaskState &it : tasks) {
                if (hasExceededPlacementTimeout(job, step, it, now)) {
                    const TimePoint since = longestWaitSince(job, it);
                    earliest = std::min(earliest.value_or(since), since);
                }
            }
        }
    }
    return earliest;
}

} // namespace

std::int64_t criticalPathMs(const WorkflowSpec &spec)
{
    return criticalPath(spec, [](std::size_t) { return true; });
}

std::int64_t remainingCriticalPathMs(const JobState &job, const OccurrenceState &occurrence)
{
    return criticalPath(job.accepted.spec, [&occurrence](std::size_t s) {
        return occurrence.steps[s].doneCount < occurrence.steps[s].tasks.size();
    });
}

double latencyObjectiveMs(const AcceptedJob &accepted)
{
    return accepted.stretch * static_cast<double>(criticalPathMs(accepted.spec))
           + static_cast<double>(accepted.slackMs);
}

TimePoint longestWaitSince(const JobState &job, const TaskState &task)
{
    return task.waitingSince == TimePoint{} ? job.acceptedAt : task.waitingSince;
}

bool hasExceededPlacementTimeout(const JobState &job, const StepSpec &step, const TaskState &task, TimePoint now)
{
    return step.isLongRunning && task.phase == TaskPhase::Waiting
           && now >= longestWaitSince(job, task) + LongRunningPlacementTimeout;
}

JobRank rankOf(const JobState &job, std::int64_t wallMs, TimePoint now)
{
    const AcceptedJob &accepted = job.accepted;
    JobRank rank;
    rank.priority = accepted.priority;
    rank.acceptedMs = accepted.acceptedMs;
    rank.key = job.key();
    rank.isNew = job.state == WorkflowState::Queued;
    const bool isTimed = accepted.spec.repeatCount > 0;
    const bool isLongRunning = hasLongRunningStep(accepted.spec);
    rank.isLongRunning = isLongRunning;
    const auto overdueSince = isLongRunning ? longestOverdueWaitSince(job, now) : std::nullopt;
    rank.isWithinPlacementTimeout = !overdueSince;
    rank.waitingSince = overdueSince.value_or(TimePoint{});
    if (isLongRunning || isTimed) {
        return rank; // no objective: occurrences count from their own due times, and a long-running task has no end
    }
    const double objective = latencyObjectiveMs(accepted);
    const auto endsAfter
        = static_cast<double>(wallMs - accepted.acceptedMs + remainingCriticalPathMs(job, job.occurrences.front()));
    rank.outlook = endsAfter <= objective                   ? DeadlineOutlook::InTime
                   : endsAfter <= TooLateFactor * objective ? DeadlineOutlook::Late
                                                            : DeadlineOutlook::TooLate;
    rank.isNew = rank.isNew && rank.outlook != DeadlineOutlook::TooLate; // useless in any case: the oldest goes first
    return rank;
}

} // namespace QuetzalRock::Workflow
