/**
 * WorkflowScheduler: tries suspected tasks alone. crashes.h has the decisions, suspects.cpp the evidence.
 *
 * A trial is chosen, stored, and started once its worker is quiet; until its outcome shows, it counts against the limit of
 * workers that trials may keep down. placeTrials() decides about all suspects of the shard at once, before the other jobs
 * are placed: their order is that of chooseTrials(), not that of their jobs.
 */
#include <workflow/scheduler.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration TrialRetryDelay = 200ms; ///< after a worker that was chosen for a trial cannot be used
constexpr Duration TrialSearchInterval
    = 200ms; ///< of a suspect that found no worker for its trial; others go first then
constexpr Duration AwaitedCheckInterval = 250ms; ///< between searches for workers that trials keep from others
constexpr double LongRunningLoss = 10; ///< of a long-running task that a crash ends, in tasks of limited run time
constexpr Duration WholeRunTrialTimeout
    = 10s; ///< CrashSettings::trialTimeout of a trial that waits for other tasks to end
constexpr std::uint32_t MaxFailedWrites
    = 2; ///< a trial that so many writes have not stored leaves its worker to others

bool isPrepared(const TaskState &task)
{
    return task.trial && !task.trial->isOrdered && !task.trial->isInherited;
}

/** Whether a worker may be reserved for the trial: of gangs, and of what takes spare CPU only, a single one is not enough. */
bool needsRoomKept(const TaskRef &ref, std::int64_t overdueSinceMs)
{
    return ref.task().isWithoutTrialRoom && !ref.spec().isGang && !ref.spec().usesSpareCpu
           && suspectedSinceMs(ref.task().crashes) <= overdueSinceMs;
}

} // namespace

bool WorkflowScheduler::needsTrial(const TaskState &task) const
{
    return task.trial || isSuspected(m_settings.crashes, task.crashes);
}

/** Continues the trials that are prepared, and prepares those whose turn it is. */
void WorkflowScheduler::placeTrials(TimePoint now)
{
    releaseTrialWorkers();
    std::vector<TrialCandidate> candidates;
    for (JobState *job : m_jobOrder) {
        if (job->hasCrashEvidence) {
            endHeldTrials(*job, now);
            if (mayPlace(*job)) {
                listTrialCandidates(*job, now, candidates);
            }
        }
    }
    const bool areAnyTried = !candidates.empty() || std::any_of(m_workers.begin(), m_workers.end(), [](const auto &it) {
        return it->trialJob.has_value();
    });
    if (now >= m_nextAwaitedCheckAt || !areAnyTried) {
        m_nextAwaitedCheckAt = now + AwaitedCheckInterval;
        listAwaitedWorkers(areAnyTried, now);
    }
    shareAwaitedWorkers();
    for (const TrialCandidate &it : candidates) {
        if (it.isPrepared) {
            continueTrial(it.refs, now);
        } else {
            endOutwaitedTrials(it.refs);
        }
    }
    if (m_authority != Authority::Full || m_failedWrites >= MaxFailedWrites) {
        return; // the store does not answer: workers chosen now would start nothing at all
    }
    std::vector<TaskRef> waiting;
    for (const TrialCandidate &it : candidates) {
        if (!it.isPrepared) {
            waiting.push_back(it.refs.front());
        }
    }
    std::erase_if(candidates, [now](const TrialCandidate &it) {
        return it.isPrepared || now < it.refs.front().task().nextTrialSearchAt;
    });
    // A suspect that finds no worker leaves its place to the next one.
    while (!candidates.empty() && !prepareTrials(candidates, now)) { }
    // Otherwise smaller tasks would take each freed piece: of those that are overdue, the one that has waited longest.
    const std::int64_t overdueSinceMs = m_clock.wallNow().count() - toMilliseconds(m_settings.crashes.maxTrialDelay);
    std::erase_if(waiting, [&](const TaskRef &it) { return !needsRoomKept(it, overdueSinceMs); });
    std::stable_sort(waiting.begin(), waiting.end(), [](const TaskRef &a, const TaskRef &b) {
        return suspectedSinceMs(a.task().crashes) < suspectedSinceMs(b.task().crashes);
    });
    for (std::size_t i = 0; i < waiting.size() && !reserveWorkersFor(waiting[i], now); ++i) { }
}

/** Ends prepared trials whose start may not be sent: they would keep their workers from other starts. */
void WorkflowScheduler::endHeldTrials(JobState &job, TimePoint now)
{
    forEachTask(job, [&](const TaskRef &ref) {
        const TaskState &task = ref.task();
        if (isPrepared(task)
            && (!mayPlace(job) || task.phase != TaskPhase::Waiting || holdOf(ref, now) != WaitReason::None)) {
            endTrial(ref);
        }
    });
}

/** Ends earlier trials whose outcome did not show in time, so that they no longer count against the limit. */
void WorkflowScheduler::endOutwaitedTrials(std::span<const TaskRef> refs)
{
    for (const TaskRef &it : refs) {
        if (it.task().trial) {
            endTrial(it);
        }
    }
}

/** Prepares the trials of those whose turn it is. If any finds no worker, removes these from @p candidates and returns false. */
bool WorkflowScheduler::prepareTrials(std::vector<TrialCandidate> &candidates, TimePoint now)
{
    const std::int64_t wallMs = m_clock.wallNow().count();
    const SuspectsByCrash suspects = suspectsByCrash();
    std::vector<WaitingSuspect> waiting;
    for (const TrialCandidate &it : candidates) {
        waiting.push_back(describeSuspect(it.refs, suspects));
        it.refs.front().task().isWithoutTrialRoom = false;
    }
    bool haveAllRoom = true;
    for (const std::size_t i :
         chooseTrials(m_settings.crashes, waiting, wallMs, trialBudget(now), triedByCrash(suspects))) {
        const TaskRef &first = candidates[i].refs.front();
        if (!prepareTrial(candidates[i].refs, waiting[i].guilt, now)) {
            first.task().isWithoutTrialRoom = true;
            first.task().nextTrialSearchAt = now + TrialSearchInterval;
            haveAllRoom = false;
        }
    }
    std::erase_if(candidates, [](const TrialCandidate &it) {
        const TaskState &task = it.refs.front().task();
        return isPrepared(task) || task.isWithoutTrialRoom;
    });
    return haveAllRoom;
}

WaitingSuspect WorkflowScheduler::describeSuspect(std::span<const TaskRef> refs, const SuspectsByCrash &suspects) const
{
    WaitingSuspect suspect;
    for (const TaskRef &ref : refs) {
        const auto &crashes = ref.task().crashes;
        suspect.guilt = std::min(LikelyGuilty, suspect.guilt + guiltEstimate(crashes, suspects));
        suspect.sinceMs = std::max(suspect.sinceMs, suspectedSinceMs(crashes));
        const std::vector<CrashName> names = suspectedCrashes(crashes);
        suspect.crashes.insert(suspect.crashes.end(), names.begin(), names.end());
        suspect.isTriedUntilItsEnd = suspect.isTriedUntilItsEnd || isTriedUntilItsEnd(ref.task());
    }
    return suspect;
}

/** Adds the job's tasks that wait for a trial, or for the start of one; the members of a gang are tried together. */
void WorkflowScheduler::listTrialCandidates(JobState &job, TimePoint now, std::vector<TrialCandidate> &candidates) const
{
    const WorkflowSpec &spec = job.accepted.spec;
    const std::int64_t wallMs = m_clock.wallNow().count();
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        if (spec.repeatCount > 0 && wallMs < spec.firstStartMs + static_cast<std::int64_t>(k) * spec.intervalMs) {
            return; // later occurrences are not due either
        }
        for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
            const StepState &step = job.occurrences[k].steps[s];
            if (step.doneCount == step.tasks.size() || !arePredecessorsDone(job, k, s)) {
                continue;
            }
            std::vector<TaskRef> refs;
            bool isAnyNeeded = false;
            for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
                const TaskRef ref{&job, k, s, i};
                const TaskState &task = step.tasks[i];
                const bool canStart = task.phase == TaskPhase::Waiting && holdOf(ref, now) == WaitReason::None
                                      && !isGivenUp(m_settings.crashes, task.crashes);
                if (spec.steps[s].isGang && canStart) {
                    isAnyNeeded = isAnyNeeded || needsTrial(task);
                    refs.push_back(ref);
                } else if (canStart && needsTrial(task)) {
                    candidates.push_back({{ref}, isPrepared(task)});
                }
            }
            if (isAnyNeeded && refs.size() == step.tasks.size()) {
                const bool areAllPrepared
                    = std::all_of(refs.begin(), refs.end(), [](const TaskRef &it) { return isPrepared(it.task()); });
                candidates.push_back({refs, areAllPrepared});
            }
        }
    }
}

/** Number of tasks that are still suspected for each crash: fewer than at the crash, once others were cleared. */
SuspectsByCrash WorkflowScheduler::suspectsByCrash() const
{
    SuspectsByCrash suspects;
    for (const auto &[key, job] : m_activeJobs) {
        if (job->hasCrashEvidence) {
            forEachTask(*job, [&suspects](const TaskRef &ref) {
                for (const CrashName &it : suspectedCrashes(ref.task().crashes)) {
                    ++suspects[it];
                }
            });
        }
    }
    return suspects;
}

/**
 * Whether the worker of the trial is silent, so that its outcome shows late, if at all. Nobody else waits for that outcome: if the
 * task has crashed the worker, the others of its crash are innocent.
 */
bool WorkflowScheduler::isOutcomeHeldUp(const TaskTrial &trial) const
{
    const auto found = m_workerIndex.find(trial.worker);
    return found == m_workerIndex.end() || m_workers[found->second]->unansweredRenewals > 0;
}

/** A run that has started up is tried for what it may do later, which says nothing of the others. */
TriedByCrash WorkflowScheduler::triedByCrash(const SuspectsByCrash &suspects) const
{
    TriedByCrash tried;
    for (const auto &[key, job] : m_activeJobs) {
        if (job->hasCrashEvidence) {
            forEachTask(*job, [&](const TaskRef &ref) {
                const TaskState &task = ref.task();
                if (task.trial && !isOutcomeHeldUp(*task.trial)
                    && !(task.phase == TaskPhase::Running && task.hasStartedUp)) {
                    for (const CrashName &it : suspectedCrashes(task.crashes)) {
                        tried[it] += guiltEstimate(task.crashes, suspects);
                    }
                }
            });
        }
    }
    return tried;
}

/**
 * Starts a prepared trial once it is stored and its workers are quiet, whatever its age, or abandons it: it then holds
 * neither its workers nor a part of the limit. The time in which workers become quiet counts from when it is stored. A
 * trial waits for its write as long as the store answers writes, since its record goes first in each.
 */
void WorkflowScheduler::continueTrial(std::span<const TaskRef> refs, TimePoint now)
{
    JobState &job = *refs.front().job;
    TaskTrial &trial = *refs.front().task().trial;
    const bool isStored = job.storedVersion >= trial.version;
    if (!isStored && m_authority == Authority::Full && job.failedWrites - trial.failedWrites < MaxFailedWrites) {
        return;
    }
    if (isStored && trial.storedAt == TimePoint{}) {
        trial.storedAt = now;
    }
    std::size_t reserved = 0;
    bool isUsable = true;
    bool isQuiet = true;
    bool isAwaited = false;
    for (; reserved < refs.size() && isUsable; ++reserved) {
        const TaskRef &ref = refs[reserved];
        const auto found = m_workerIndex.find(ref.task().trial->worker);
        isUsable = found != m_workerIndex.end() && canTryOn(found->second, ref, now);
        if (!isUsable) {
            break;
        }
        isQuiet = isQuiet && isQuietForTrial(*m_workers[found->second], ref);
        isAwaited = isAwaited || m_awaitedWorkers.contains(found->second);
        reserveResources(ref, found->second);
    }
    for (std::size_t i = 0; i < reserved; ++i) {
        releaseResources(refs[i]);
        refs[i].task().phase = TaskPhase::Waiting;
    }
    const Duration timeout
        = isTriedUntilItsEnd(refs.front().task()) ? WholeRunTrialTimeout : m_settings.crashes.trialTimeout;
    const bool isLate = !isQuiet && (isAwaited || now >= trial.storedAt + timeout);
    if (!isStored || !isUsable || isLate) {
        logTaskEvent("trial_abandoned",
                     refs.front(),
                     "worker",
                     trial.worker,
                     "stored",
                     isStored,
                     "usable",
                     isUsable,
                     "quiet",
                     isQuiet,
                     "age_ms",
                     toMilliseconds(now - trial.preparedAt));
        for (const TaskRef &it : refs) {
            endTrial(it);
            it.task().retryAt = now + TrialRetryDelay;
        }
        return;
    }
    if (isQuiet) {
        startTrial(refs, now);
    }
}

/** Sends the starts of a trial that is stored. */
void WorkflowScheduler::startTrial(std::span<const TaskRef> refs, TimePoint now)
{
    std::string checkpoint; // of a gang: valid for all members, which must use the same
    for (const TaskRef &it : refs) {
        checkpoint = it.task().checkpoint.empty() ? checkpoint : it.task().checkpoint;
    }
    for (const TaskRef &it : refs) {
        TaskTrial &trial = *it.task().trial;
        it.task().checkpoint = checkpoint;
        const WorkerIndex worker = m_workerIndex.at(trial.worker);
        if (isTriedUntilItsEnd(it.task()) && isBesideOthers(*m_workers[worker], it)) {
            it.task().sharedTrial = trial.attempt;
        }
        noteTrialOrdered(it);
        logTaskEvent("trial_started",
                     it,
                     "attempt",
                     trial.attempt,
                     "worker",
                     trial.worker,
                     "age_ms",
                     toMilliseconds(now - trial.preparedAt));
        startTask(it, worker, trial.attempt, now);
    }
}

/**
 * Chooses a worker for each of @p refs, which starts nothing else from now on, and stores the trial before the order is sent.
 * False if there is no room for them.
 */
bool WorkflowScheduler::prepareTrial(std::span<const TaskRef> refs, double risk, TimePoint now)
{
    JobState &job = *refs.front().job;
    std::uint64_t attempt = 0;
    for (const TaskRef &it : refs) {
        attempt = std::max(attempt, nextAttempt(it.task()));
    }
    std::vector<WorkerIndex> chosen;
    for (const TaskRef &it : refs) {
        const WorkerIndex worker = chooseTrialWorker(it, now);
        if (worker == NoWorker) {
            break;
        }
        reserveResources(it, worker);
        m_workers[worker]->trialJob = job.key();
        chosen.push_back(worker);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        releaseResources(refs[i]);
        refs[i].task().phase = TaskPhase::Waiting;
        m_workers[chosen[i]]->trialJob.reset();
    }
    if (chosen.size() < refs.size()) {
        return false;
    }
    markDirty(job, StoreClass::Trial);
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        WorkerState &worker = *m_workers[chosen[i]];
        worker.trialJob = job.key();
        worker.trialRisk = i == 0 ? risk : 0; // of a gang as a whole
        TaskTrial trial;
        trial.attempt = attempt;
        trial.worker = worker.record.id;
        trial.workerStartedAtMs = worker.record.startedAtMs;
        trial.preparedMs = m_clock.wallNow().count();
        trial.version = job.version;
        trial.preparedAt = now;
        trial.failedWrites = job.failedWrites;
        refs[i].task().trial = trial;
    }
    m_isPlacementDue = true;
    return true;
}

bool WorkflowScheduler::canTryOn(WorkerIndex index, const TaskRef &ref, TimePoint now) const
{
    const WorkerState &worker = *m_workers[index];
    return worker.record.startedAtMs == ref.task().trial->workerStartedAtMs && isEligible(worker, ref, now)
           && scorePlacement(index, ref, canShareSpareCpu(*ref.job));
}

/** Whether a crash of the worker could be held against no other job; once the trial is overdue, at the start of the task only. */
bool WorkflowScheduler::isQuietForTrial(const WorkerState &worker, const TaskRef &ref) const
{
    const bool needsWorkerAlone = isTriedUntilItsEnd(ref.task()) && !isTrialOverdue(ref.task());
    return std::all_of(worker.runs.begin(), worker.runs.end(), [&ref, needsWorkerAlone](const TaskRef &it) {
        return it.job == ref.job || (it.task().hasStartedUp && (!needsWorkerAlone || it.spec().isLongRunning));
    });
}

bool WorkflowScheduler::isTrialOverdue(const TaskState &task) const
{
    return m_clock.wallNow() - std::chrono::milliseconds(suspectedSinceMs(task.crashes))
           >= m_settings.crashes.maxTrialDelay;
}

/** Whether a worker crash could be held against the run itself and against others that run there for a limited time. */
bool WorkflowScheduler::isBesideOthers(const WorkerState &worker, const TaskRef &ref)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&ref](const TaskRef &it) {
        return it.job != ref.job && !it.spec().isLongRunning;
    });
}

/** The worker whose crash would cost the least, not one that has crashed again and again by itself, or rejects starts. */
WorkerIndex WorkflowScheduler::chooseTrialWorker(const TaskRef &ref, TimePoint now) const
{
    WorkerIndex best = NoWorker;
    std::pair<bool, double> leastCost;
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState &worker = *m_workers[i];
        if (m_workersLeftByTrials.contains(i) || !isEligible(worker, ref, now)
            || !scorePlacement(i, ref, canShareSpareCpu(*ref.job))) {
            continue;
        }
        const auto crashes
            = std::count_if(m_recentCrashes.begin(), m_recentCrashes.end(), [this, &worker](const auto &it) {
                  return it.address == worker.record.address && !m_explainedCrashes.contains(it.crash);
              });
        double loss = 0;
        for (const TaskRef &it : worker.runs) {
            loss += it.spec().isLongRunning ? LongRunningLoss : 1;
        }
        const bool hasRejected
            = worker.noStartsUntil != TimePoint{} && now < worker.noStartsUntil + m_settings.crashes.machineMemory;
        const std::pair<bool, double> cost{crashes > 1 || hasRejected || worker.isQuarantined(now), loss};
        if (best == NoWorker || cost < leastCost) {
            best = i;
            leastCost = cost;
        }
    }
    return best;
}

TrialBudget WorkflowScheduler::trialBudget(TimePoint now) const
{
    std::size_t workers = 0;
    for (const auto &it : m_workers) {
        workers += it->isLeaving() ? 0 : 1;
    }
    TrialBudget budget(m_settings.crashes, workers);
    std::size_t down = 0; // by the first crash of a task that nobody suspects yet, possibly
    std::size_t idle = 0;
    for (const auto &it : m_workers) {
        // A worker that is silent for longer is lost, which no trial that begins now could prevent.
        const bool isLost = it->unansweredRenewals > 0 && now >= it->contactLostAt + m_settings.grantedLease();
        const bool isSilent = it->unansweredRenewals > 0 && !isLost;
        if (it->trialJob && !isLost) {
            budget.addTrial(isSilent ? 1 : it->trialRisk, it->trialRisk >= LikelyGuilty);
        } else if (isSilent && !it->runs.empty() && it->hasStartingRun()) {
            ++down;
        }
        const bool isInterrupted
            = std::any_of(it->runs.begin(), it->runs.end(), [](const TaskRef &ref) { return !ref.task().trial; });
        idle += !isInterrupted && (it->trialJob || isUsable(*it, now)) ? 1 : 0;
    }
    budget.addIdle(idle, spareWorkers(now));
    budget.addDown(down);
    return budget;
}

/** Number of usable workers without which what runs would need half of the CPU of the others. */
double WorkflowScheduler::spareWorkers(TimePoint now) const
{
    std::size_t usable = 0;
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    for (const auto &it : m_workers) {
        if (isUsable(*it, now)) {
            ++usable;
            capacity += it->record.capacity.cpuMillis;
            used += it->reserved.cpuMillis + it->bestEffortCpuMillis;
        }
    }
    const double share = static_cast<double>(used) / static_cast<double>(std::max<std::int64_t>(1, capacity));
    return static_cast<double>(usable) * std::max(0.0, 1 - 2 * share);
}

/** Stored so that a successor holds the worker's crash against the task of a trial only if that may have begun. */
void WorkflowScheduler::noteTrialOrdered(const TaskRef &ref)
{
    TaskTrial &trial = *ref.task().trial;
    if (!std::exchange(trial.isOrdered, true)) {
        markDirty(*ref.job, StoreClass::Trial);
    }
}

/** A stored trial would be held against the task if the worker crashed later: until its end is stored, nothing starts there. */
void WorkflowScheduler::endTrial(const TaskRef &ref)
{
    const TaskTrial trial = *std::exchange(ref.task().trial, std::nullopt);
    markDirty(*ref.job, StoreClass::Trial);
    m_isPlacementDue = true;
    bool isUsedByOthers = false; // by other members of a gang
    forEachTask(*ref.job, [&](const TaskRef &it) {
        isUsedByOthers = isUsedByOthers || (it.task().trial && it.task().trial->worker == trial.worker);
    });
    const auto found = m_workerIndex.find(trial.worker);
    if (found == m_workerIndex.end() || isUsedByOthers) {
        return;
    }
    WorkerState &worker = *m_workers[found->second];
    const bool isItsTrial = worker.trialJob == ref.job->key();
    const bool isSameIncarnation = worker.record.startedAtMs == trial.workerStartedAtMs;
    // The record of a given task may never be stored, if it conflicts each time.
    const bool isHeld = trial.isOrdered && isSameIncarnation && !ref.job->isGuest;
    if (isHeld && (isItsTrial || !worker.trialJob)) {
        worker.trialJob = ref.job->key();
        worker.trialEndVersion = ref.job->version;
        worker.trialRisk = 0;
    } else if (isItsTrial) {
        worker.trialJob.reset();
        worker.trialEndVersion = 0;
    }
}

/** Others may start on the worker of a trial once its end is stored. */
void WorkflowScheduler::releaseTrialWorkers()
{
    for (const auto &worker : m_workers) {
        if (worker->trialJob && worker->trialEndVersion != 0) {
            const JobState *job = findJob(*worker->trialJob);
            if (job == nullptr || job->storedVersion >= worker->trialEndVersion) {
                worker->trialJob.reset();
                worker->trialEndVersion = 0;
            }
        }
    }
}

/** Ends the trials of a job that has ended. */
void WorkflowScheduler::endTrials(JobState &job)
{
    if (!job.hasCrashEvidence) {
        return;
    }
    forEachTask(job, [this](const TaskRef &it) {
        if (it.task().trial) {
            endTrial(it);
        }
    });
}

} // namespace QuetzalRock::Workflow
