#include <workflow/turns.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

/** The longest chain through the steps for which @p counts says true. */
template<typename Counts>
std::int64_t chain(const WorkflowSpec &spec, Counts counts)
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

bool hasStarvingTask(const JobState &job, TimePoint now)
{
    for (const OccurrenceState &occurrence : job.occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const StepSpec &step = job.accepted.spec.steps[s];
            const auto &tasks = occurrence.steps[s].tasks;
            if (std::any_of(
                    tasks.begin(), tasks.end(), [&](const TaskState &it) { return isStarving(job, step, it, now); })) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

std::int64_t longestChainMs(const WorkflowSpec &spec)
{
    return chain(spec, [](std::size_t) { return true; });
}

std::int64_t remainingChainMs(const JobState &job, const OccurrenceState &occurrence)
{
    return chain(job.accepted.spec, [&occurrence](std::size_t s) {
        return occurrence.steps[s].doneCount < occurrence.steps[s].tasks.size();
    });
}

bool isStarving(const JobState &job, const StepSpec &step, const TaskState &task, TimePoint now)
{
    return step.isLasting && task.phase == TaskPhase::Waiting
           && now >= std::max(job.learnedAt, task.retryAt) + LastingPatience;
}

JobTurn turnOf(const JobState &job, std::int64_t wallMs, TimePoint now)
{
    const AcceptedJob &accepted = job.accepted;
    JobTurn turn;
    turn.priority = accepted.priority;
    turn.acceptedMs = accepted.acceptedMs;
    turn.key = job.key();
    turn.isNew = job.state == WorkflowState::Queued;
    const bool isTimed = accepted.spec.repeatCount > 0;
    const bool isLasting = hasLongRunningStep(accepted.spec);
    turn.isLasting = isLasting;
    turn.isPatient = !isLasting || !hasStarvingTask(job, now);
    if (isLasting || isTimed) {
        return turn; // each occurrence counts from its own due time, and a lasting task as long as it is at work
    }
    const double objective
        = accepted.stretch * static_cast<double>(longestChainMs(accepted.spec)) + static_cast<double>(accepted.slackMs);
    const auto endsAfter
        = static_cast<double>(wallMs - accepted.acceptedMs + remainingChainMs(job, job.occurrences.front()));
    turn.hope = endsAfter <= objective                ? JobHope::InTime
                : endsAfter <= LateFactor * objective ? JobHope::Late
                                                      : JobHope::TooLate;
    return turn;
}

} // namespace QuetzalRock::Workflow
