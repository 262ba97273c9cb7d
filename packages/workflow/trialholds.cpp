/**
 * WorkflowScheduler: bounds the time for which trials keep a worker from tasks that can run on no other one. trials.cpp tries the
 * suspected tasks, crashes.h has the decisions.
 */
#include <workflow/scheduler.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock::Workflow {

/**
 * Lists the workers on which a task could start that has waited for maxTrialHold, and that can run on no other one. Other workers
 * count if they have room for it once their short tasks have ended. None unless suspects are tried, or wait for it. Expects the list of usable workers as of @p now.
 */
void WorkflowScheduler::listAwaitedWorkers(bool areAnyTried, TimePoint now)
{
    m_awaitedWorkers.clear();
    m_workersLeftByTrials.clear();
    for (JobState *job : m_jobOrder) {
        if (!areAnyTried || !mayPlace(*job)) {
            continue;
        }
        for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
            for (std::uint32_t s = 0; s < job->occurrences[k].steps.size(); ++s) {
                const TimePoint since = job->occurrences[k].steps[s].noRoomSince;
                if (since != TimePoint{} && now >= since + m_settings.crashes.maxTrialHold) {
                    addAwaitedWorkers({job, k, s, 0}, now);
                }
            }
        }
    }
}

/** Adds those that the step of @p first waits for: its tasks need the same resources, but suspects among them wait for a trial. */
void WorkflowScheduler::addAwaitedWorkers(const TaskRef &first, TimePoint now)
{
    bool isTrialNext = false;
    bool isStartNext = false;
    for (TaskRef it = first; it.index < first.spec().taskCount && !isStartNext; ++it.index) {
        const TaskState &task = it.task();
        if (task.phase != TaskPhase::Waiting || task.trial || holdOf(it, now) != WaitReason::None) {
            continue;
        }
        isStartNext = !needsTrial(task);
        if (isStartNext || (task.isWithoutTrialRoom && !std::exchange(isTrialNext, true))) {
            addAwaitedWorkersOf(it, isStartNext, now);
        }
    }
}

void WorkflowScheduler::addAwaitedWorkersOf(const TaskRef &ref, bool isStartNext, TimePoint now)
{
    const std::uint32_t needed = ref.spec().isGang ? ref.spec().taskCount : 1;
    std::vector<WorkerIndex> tried;  // only a trial keeps the task from them
    std::vector<WorkerIndex> others; // without a trial
    std::uint32_t places = 0;        // there
    for (const WorkerIndex i : m_usableWorkers) {
        if (m_workers[i]->trialJob) {
            if (canStartWithoutTrial(i, ref, now)) {
                tried.push_back(i);
            }
        } else if (const std::uint32_t n = tasksThatMayFit(*m_workers[i], ref, now); n > 0) {
            others.push_back(i);
            places += n;
            if (others.size() > 1 && places >= needed) {
                return;
            }
        }
    }
    if (places < needed) {
        m_awaitedWorkers.insert(tried.begin(), tried.end());
    }
    if (places < needed && isStartNext) {
        m_workersLeftByTrials.insert(tried.begin(), tried.end());
    } else if (isStartNext && canStartWithoutTrial(others.front(), ref, now)) {
        m_workersLeftByTrials.insert(others.front());
    }
}

/** Whether the task could start on the usable worker now if no other one was tried there. */
bool WorkflowScheduler::canStartWithoutTrial(WorkerIndex index, const TaskRef &ref, TimePoint now)
{
    WorkerState &worker = *m_workers[index];
    const std::optional<JobKey> trialJob = std::exchange(worker.trialJob, std::nullopt);
    const bool canStart = isSuitable(worker, ref, now) && scorePlacement(index, ref, canShareSpareCpu(*ref.job));
    worker.trialJob = trialJob;
    return canStart;
}

/** Ends the trials on awaited workers that were to last until the ends of their runs, so that others start beside these. */
void WorkflowScheduler::shareAwaitedWorkers()
{
    for (const WorkerIndex i : m_awaitedWorkers) {
        for (const TaskRef &it : m_workers[i]->runs) {
            TaskState &task = it.task();
            if (task.trial && task.phase == TaskPhase::Running && task.hasStartedUp) {
                task.sharedTrial = task.attempt;
                logTaskEvent("trial_shared", it, "attempt", task.attempt, "worker", m_workers[i]->record.id);
                endTrial(it);
            }
        }
    }
}

} // namespace QuetzalRock::Workflow
