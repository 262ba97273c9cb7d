#include <scheduler/scheduler.h>

#include <algorithm>

namespace QuetzalRock {

std::string_view phaseName(TaskPhase phase)
{
    switch (phase) {
    case TaskPhase::Pending:
        return "pending";
    case TaskPhase::Starting:
        return "starting";
    case TaskPhase::Running:
        return "running";
    case TaskPhase::Stopping:
        return "stopping";
    case TaskPhase::Unreachable:
        return "unreachable";
    case TaskPhase::Ending:
        return "ending";
    case TaskPhase::Done:
        return "done";
    case TaskPhase::Ended:
        return "ended";
    }
    return "unknown";
}

ShardStatus ShardScheduler::buildStatus() const
{
    const TimePoint now = m_clock.now();
    ShardStatus status;
    status.shard = m_settings.shard;
    status.epoch = m_log.epoch();
    status.operatorName = m_state.operatorName;
    status.platformUnavailable = m_isPlatformUnavailable || m_inDoubtBatch;
    status.platformUnavailableFor = m_isPlatformUnavailable ? now - m_platformUnavailableSince : Duration::zero();
    status.unwrittenEnds = m_pendingEnds.size();
    status.openTransfers = m_state.pendingTransfers.size();
    status.counters = m_counters;
    status.counters.fleet = m_fleet.counters();
    for (const auto &[id, job] : m_state.jobs) {
        if (job.phase == JobPhase::Active) {
            ++status.activeJobs;
            status.jobs.push_back(id);
        }
        for (const TaskState &it : job.tasks) {
            status.heldTasks += it.active ? 1 : 0;
            status.pendingTasks += !it.active && !it.done && job.phase == JobPhase::Active ? 1 : 0;
        }
    }
    for (const auto &[name, it] : m_fleet.workers()) {
        WorkerStatus worker;
        worker.worker = name;
        worker.vmState = it.vm.state;
        worker.listed = it.listed;
        worker.readBack = it.readBack;
        worker.reachable = it.reachable;
        worker.unreachableFor = it.reachable ? Duration::zero() : now - it.unreachableSince;
        worker.attempts = it.attempts.size();
        worker.reserved = it.reserved;
        worker.capacity = it.vm.capacity;
        status.workers.push_back(std::move(worker));
    }
    return status;
}

JobStatus ShardScheduler::buildJobStatus(JobId id) const
{
    JobStatus status;
    if (const JobState *job = m_state.findJob(id)) {
        status.spec = job->spec;
        status.phase = job->phase;
        status.reason = job->reason;
        status.submittedAt = job->submittedAt;
        status.endedAt = job->endedAt;
        const auto unrunnable = m_unrunnableReasons.find(id);
        if (unrunnable != m_unrunnableReasons.end() && status.reason.empty()) {
            status.reason = unrunnable->second;
        }
        for (std::uint32_t i = 0; i < job->tasks.size(); ++i) {
            status.tasks.push_back(buildTaskStatus(*job, i));
        }
        addLastEnds(status);
        return status;
    }
    const auto isRequestedJob = [id](const EndedJob &it) { return it.spec.id == id; };
    const auto it = std::find_if(m_state.endedJobs.rbegin(), m_state.endedJobs.rend(), isRequestedJob);
    if (it == m_state.endedJobs.rend()) {
        throw NotFound("no job " + std::to_string(id));
    }
    return buildEndedJobStatus(*it);
}

JobStatus ShardScheduler::buildEndedJobStatus(const EndedJob &job) const
{
    JobStatus status;
    status.spec = job.spec;
    status.phase = job.phase;
    status.reason = job.reason;
    status.submittedAt = job.submittedAt;
    status.endedAt = job.endedAt;
    status.tasks.resize(job.spec.taskCount);
    addLastEnds(status);
    for (std::uint32_t i = 0; i < job.spec.taskCount; ++i) {
        TaskStatus &task = status.tasks[i];
        const bool hasFinished = task.lastEnd && task.lastEnd->state == AttemptState::Finished;
        task.task = {job.spec.id, i};
        task.phase = job.phase == JobPhase::Succeeded || hasFinished ? TaskPhase::Done : TaskPhase::Ended;
        if (task.lastEnd) {
            task.attempt = task.lastEnd->attempt.number;
            task.progress = task.lastEnd->progress;
        } else {
            task.reason = "no attempt in the history";
        }
    }
    return status;
}

/** Sets the latest end of each task, from the attempts that the history keeps, which are ordered by their ends. */
void ShardScheduler::addLastEnds(JobStatus &status) const
{
    for (const EndedAttempt &it : m_state.endedAttempts) {
        const TaskId &task = it.attempt.task;
        if (task.job == status.spec.id && task.index < status.tasks.size()) {
            status.tasks[task.index].lastEnd = it;
        }
    }
}

TaskStatus ShardScheduler::buildTaskStatus(const JobState &job, std::uint32_t index) const
{
    const TaskState &task = job.tasks[index];
    TaskStatus status;
    status.task = {job.spec.id, index};
    status.attempt = task.lastAttempt;
    status.failures = task.failures;
    status.progress = task.progress;
    status.reason = task.reason;
    if (task.done) {
        status.phase = TaskPhase::Done;
        return status;
    }
    if (!task.active) {
        status.reason
            = m_isEngineLoaded ? m_engine.explain(status.task) : "the platform's VM list has not been read yet";
        return status;
    }
    status.worker = task.worker;
    const auto worker = m_fleet.workers().find(task.worker);
    const AttemptView *view = m_fleet.findAttempt(task.worker, {status.task, task.lastAttempt});
    if (worker == m_fleet.workers().end() || view == nullptr) {
        return status;
    }
    status.progress = std::max(status.progress, view->progress);
    if (view->ended) {
        status.phase = TaskPhase::Ending;
        status.reason = "ended; waits until the platform accepts the write";
    } else if (!worker->second.reachable || worker->second.isGone()) {
        status.phase = TaskPhase::Unreachable;
        status.reason = worker->second.isGone()
                            ? "the VM is gone; waits for the attempt's lease to expire"
                            : "the worker does not answer, and the platform does not list its VM as gone: the task may "
                              "still be running, so it is not started elsewhere";
    } else if (view->stopRequested) {
        status.phase = TaskPhase::Stopping;
    } else {
        status.phase = view->reportedRunning ? TaskPhase::Running : TaskPhase::Starting;
    }
    return status;
}

std::vector<TransferOffer> ShardScheduler::buildOffers() const
{
    std::vector<TransferOffer> offers;
    for (const auto &[id, it] : m_state.pendingTransfers) {
        offers.push_back({id,
                          m_settings.failureDomain,
                          it.toDomain,
                          it.spec,
                          it.tasks,
                          it.tenant,
                          it.amount,
                          m_state.acknowledgedBelow()});
    }
    return offers;
}

} // namespace QuetzalRock
