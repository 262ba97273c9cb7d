/** WorkflowScheduler: reports long-running tasks that wait, and for what. */
#include <workflow/scheduler.h>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration WaitCheckInterval = 1s;
constexpr Duration ReportedWait = 2s;       ///< shorter waits are not reported
constexpr Duration WaitReportInterval = 5s; ///< between two lines on the same step and reason

std::string_view waitReasonName(WaitReason reason)
{
    return reason == WaitReason::UnreadWorkers ? "unread workers" : "no room";
}

} // namespace

const WaitingTasks &WorkflowScheduler::waitingTasks() const
{
    return m_waitingTasks;
}

void WorkflowScheduler::reportWaitingTasks(TimePoint now)
{
    if (now < m_nextWaitCheckAt) {
        return;
    }
    m_nextWaitCheckAt = now + WaitCheckInterval;
    m_waitingTasks = {};
    for (const auto &[key, job] : m_activeJobs) {
        for (std::uint32_t s = 0; s < job->accepted.spec.steps.size(); ++s) {
            if (job->accepted.spec.steps[s].isLongRunning) {
                reportWaitingStep(*job, s, now);
            }
        }
    }
}

/** Counts the tasks of a long-running step that have waited for ReportedWait, and logs them once per report interval. */
void WorkflowScheduler::reportWaitingStep(JobState &job, std::uint32_t step, TimePoint now)
{
    StepState &state = job.occurrences.front().steps[step];
    WaitReason reason = WaitReason::NoRoom; // of the first waiting task
    std::uint32_t waiting = 0;
    std::uint32_t first = 0;
    Duration longest{};
    for (std::uint32_t i = 0; i < state.tasks.size(); ++i) {
        const Duration waited = now - std::max(job.learnedAt, state.tasks[i].retryAt);
        if (state.tasks[i].phase == TaskPhase::Waiting && waited >= ReportedWait) {
            if (waiting == 0) {
                first = i;
                reason = mayBeRunningElsewhere({&job, 0, step, i}) ? WaitReason::UnreadWorkers : WaitReason::NoRoom;
            }
            longest = std::max(longest, waited);
            ++waiting;
        }
    }
    (reason == WaitReason::UnreadWorkers ? m_waitingTasks.forUnreadWorkers : m_waitingTasks.forRoom) += waiting;
    if (waiting == 0 || (reason == state.reportedReason && now < state.nextWaitReportAt)) {
        return;
    }
    state.reportedReason = reason;
    state.nextWaitReportAt = now + WaitReportInterval;
    logTaskEvent("long_running_tasks_wait",
                 {&job, 0, step, first},
                 "tasks",
                 waiting,
                 "waited_ms",
                 std::chrono::duration_cast<std::chrono::milliseconds>(longest).count(),
                 "why",
                 waitReasonName(reason),
                 "unread",
                 m_unreadWorkerCount);
}

} // namespace QuetzalRock::Workflow
