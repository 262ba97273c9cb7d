/** WorkflowScheduler: places gangs, whose members start together or not at all. */
#include <workflow/scheduler.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

/** Starts all members or none: reserves resources for each, releases them again, and starts all if all fitted. */
void WorkflowScheduler::placeGang(JobState &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now)
{
    if (!mayPlaceInThisPass(job, job.accepted.spec.steps[step])) {
        return;
    }
    auto &tasks = job.occurrences[occurrence].steps[step].tasks;
    std::uint64_t attempt = 0;
    std::string checkpoint;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const TaskState &it = tasks[i];
        if (it.phase != TaskPhase::Waiting || holdOf({&job, occurrence, step, i}, now) != WaitReason::None) {
            return;
        }
        attempt = std::max(attempt, nextAttempt(it));
        checkpoint = it.checkpoint.empty() ? checkpoint : it.checkpoint;
    }
    TimePoint &noRoomSince = job.occurrences[occurrence].steps[step].noRoomSince;
    if (std::any_of(tasks.begin(), tasks.end(), [this](const TaskState &it) { return needsTrial(it); })) {
        noRoomSince = !tasks.front().isWithoutTrialRoom ? TimePoint{} : noRoomSince == TimePoint{} ? now : noRoomSince;
        return;
    }
    std::vector<WorkerIndex> chosen;
    const bool canShare = canShareSpareCpu(job); // the same for all: a gang runs as a whole or not at all
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const TaskRef ref{&job, occurrence, step, i};
        const WorkerIndex worker = chooseWorker(ref, canShare, now);
        if (worker == NoWorker) {
            break;
        }
        reserveResources(ref, worker);
        noteStartingJob(*m_workers[worker], ref); // the others go there too, if they may
        chosen.push_back(worker);
    }
    for (std::uint32_t i = 0; i < chosen.size(); ++i) {
        releaseResources({&job, occurrence, step, i});
        tasks[i].phase = TaskPhase::Waiting;
        listStartingJobs(*m_workers[chosen[i]]);
    }
    const bool isHeldByStarts = chosen.size() < tasks.size() && m_hasRoomBesideStarts;
    if (isHeldByStarts
        || chosen.size() == tasks.size()) { // room may come and go: neither wait ends as the other begins
        noteHeldByStarts(job.occurrences[occurrence].steps[step], isHeldByStarts, now);
    }
    if (chosen.size() < tasks.size()) {
        noRoomSince = isHeldByStarts || noRoomSince != TimePoint{} ? noRoomSince : now;
        return;
    }
    noRoomSince = {};
    for (std::uint32_t i = 0; i < chosen.size(); ++i) {
        tasks[i].checkpoint = checkpoint; // a member's checkpoint is valid for the gang; all members must use the same
        startTask({&job, occurrence, step, i}, chosen[i], attempt, now);
    }
    m_log.write("gang_started", "job", job.key(), "step", step, "tasks", tasks.size(), "attempt", attempt);
}

} // namespace QuetzalRock::Workflow
