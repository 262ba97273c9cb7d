/**
 * WorkflowScheduler: records crashes of workers, tries suspected tasks alone, and gives up tasks that crash their workers.
 * crashes.h has the decisions.
 *
 * All evidence is stored with the job's progress, so that it outlives this leader and moves with the job; that of a task
 * given to this shard is stored in its GivenTask. A trial is stored
 * before its start is sent: a successor that finds the worker restarted knows what it was trying. A run whose worker is
 * silent when its lease ends is remembered, as only the worker's return shows whether it has crashed.
 */
#include <workflow/scheduler.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxLoggedRuns = 6;
constexpr Duration TrialRetryDelay = 200ms; ///< after a worker that was chosen for a trial cannot be used
constexpr double LongRunningLoss = 10;      ///< of a long-running task that a crash ends, in tasks of limited run time
constexpr Duration WholeRunTrialTimeout
    = 10s; ///< CrashSettings::trialTimeout of a trial that waits for other tasks to end
constexpr Duration GuiltMemory = std::chrono::minutes(10); ///< of crashes that are likely explained
constexpr Duration SuspectLogInterval = 5s;
constexpr Duration UnresolvedMargin
    = 5s; ///< beyond verdictTimeout: runs of a worker that does not come back are forgotten

std::string formatRun(const RunName &run)
{
    return run.task.job + "." + std::to_string(run.task.occurrence) + "." + std::to_string(run.task.step) + "."
           + std::to_string(run.task.index) + "/" + std::to_string(run.attempt);
}

bool hasStartingRun(const WorkerState &worker)
{
    return std::any_of(
               worker.runs.begin(), worker.runs.end(), [](const TaskRef &it) { return !it.task().hasStartedUp; })
           || std::any_of(worker.unresolvedRuns.begin(), worker.unresolvedRuns.end(), [](const LostRun &it) {
                  return it.isStarting;
              });
}

/** Calls @p action with each task of @p job. */
template<typename Action>
void forEachTask(JobState &job, Action action)
{
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
            for (std::uint32_t i = 0; i < job.occurrences[k].steps[s].tasks.size(); ++i) {
                action(TaskRef{&job, k, s, i});
            }
        }
    }
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Crashes
// ---------------------------------------------------------------------------------------------------------------------

/** @p workerStartedAtMs is the start time of the incarnation that had the run. */
LostRun WorkflowScheduler::describeLostRun(const TaskRef &ref, std::int64_t workerStartedAtMs, TimePoint lostAt) const
{
    const TaskState &task = ref.task();
    LostRun it;
    it.run = {ref.name(), task.attempt};
    it.isStarting = !task.hasStartedUp;
    it.isTrial = task.trial && task.trial->isOrdered && task.trial->attempt == task.attempt;
    it.isLongRunning = ref.spec().isLongRunning;
    it.workerStartedAtMs = workerStartedAtMs;
    it.lostAt = lostAt;
    return it;
}

/** Records that the worker has restarted, or was replaced, without draining, and what it says of the @p lost runs. */
void WorkflowScheduler::recordCrash(WorkerIndex index, std::span<const LostRun> lost)
{
    const WorkerState &worker = *m_workers[index];
    const TimePoint at = worker.contactLostAt == TimePoint{} ? m_now : worker.contactLostAt;
    std::string starting;
    std::size_t n = 0;
    for (const LostRun &it : lost) {
        if (it.isStarting && n++ < MaxLoggedRuns) {
            starting += (starting.empty() ? "" : ",") + formatRun(it.run);
        }
    }
    const bool isCoincident = isNextToUnexplainedCrash(index, at);
    ++m_counters.workerCrashes;
    m_counters.workerCrashesAtStart += n > 0 ? 1 : 0;
    m_log.writeImportant("worker_crashed",
                         "worker",
                         worker.record.id,
                         "address",
                         worker.record.address,
                         "runs",
                         lost.size(),
                         "starting",
                         n,
                         "coincident",
                         isCoincident,
                         "first",
                         starting);
    m_recentCrashes.push_back({at, n > 0, worker.record.address});
    std::vector<std::optional<CrashEvidence>> evidence = assessCrash(lost, isCoincident);
    for (std::size_t i = 0; i < lost.size(); ++i) {
        const auto ref = findTask(lost[i].run.task);
        if (ref && evidence[i]) {
            evidence[i]->crash = {worker.record.id, lost[i].workerStartedAtMs};
            evidence[i]->recordedMs = m_clock.wallNow().count();
            addEvidence(*ref, *evidence[i]);
        }
    }
}

/** Whether another worker crashed or fell silent at about the same time, although nothing had just been started there. */
bool WorkflowScheduler::isNextToUnexplainedCrash(WorkerIndex index, TimePoint at) const
{
    const auto isNear = [this, at](TimePoint other) {
        return other - at <= m_settings.crashes.coincidenceTime && at - other <= m_settings.crashes.coincidenceTime;
    };
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState &other = *m_workers[i];
        const bool isSilent = i != index && other.isRegistered && other.unansweredRenewals > 0
                              && other.record.condition != WorkerCondition::Draining;
        if (isSilent && isNear(other.contactLostAt) && !hasStartingRun(other)) {
            return true;
        }
    }
    return std::any_of(m_recentCrashes.begin(), m_recentCrashes.end(), [&](const RecentCrash &it) {
        return !it.hasStartingRun && isNear(it.at);
    });
}

/** Adds what a crash says of a task. Each attempt counts once, even if its crash shows twice. */
void WorkflowScheduler::addEvidence(const TaskRef &ref, const CrashEvidence &evidence)
{
    TaskState &task = ref.task();
    const bool isKnown = std::any_of(task.crashes.begin(), task.crashes.end(), [&evidence](const CrashEvidence &it) {
        return it.attempt == evidence.attempt;
    });
    // A later run that has started up without a crash has cleared the task.
    const bool isCleared = task.hasStartedUp && task.attempt > evidence.attempt;
    if (isFinal(ref.job->state) || ref.job->isMoving || task.phase == TaskPhase::Done
        || task.phase == TaskPhase::Foreign || isKnown || isCleared) {
        return;
    }
    task.crashes.push_back(evidence);
    ref.job->hasCrashEvidence = true;
    applyExplanations(ref);
    explainCrashesOf(task);
    if (evidence.role != CrashRole::Present) {
        logTaskEvent("task_suspected",
                     ref,
                     "attempt",
                     evidence.attempt,
                     "role",
                     static_cast<int>(evidence.role),
                     "suspects",
                     evidence.suspects,
                     "crashes",
                     task.crashes.size());
    }
    markDirty(*ref.job);
    if (isGivenUp(m_settings.crashes, task.crashes)) {
        giveUpTask(ref);
    }
}

/** Releases what was started beside a task that has crashed a worker in its trial. */
void WorkflowScheduler::explainCrashesOf(const TaskState &guilty)
{
    const std::vector<CrashName> crashes = crashesExplainedBy(guilty.crashes);
    if (crashes.empty()) {
        return;
    }
    for (const CrashName &it : crashes) {
        m_explainedCrashes[it] = m_now;
    }
    for (const auto &[key, job] : m_activeJobs) {
        if (job->hasCrashEvidence) {
            forEachTask(*job, [this](const TaskRef &it) { applyExplanations(it); });
        }
    }
}

/** Releases the task from the suspicion of crashes that other tasks explain, also if its evidence shows only now. */
void WorkflowScheduler::applyExplanations(const TaskRef &ref)
{
    TaskState &task = ref.task();
    if (ref.job->isMoving || task.phase == TaskPhase::Done || task.phase == TaskPhase::Foreign) {
        return;
    }
    const std::vector<CrashEvidence> crashes = task.crashes;
    for (const CrashEvidence &it : crashes) {
        if (m_explainedCrashes.contains(it.crash) && explainCrash(m_settings.crashes, task.crashes, it.crash)) {
            logTaskEvent("crash_explained",
                         ref,
                         "worker",
                         it.crash.worker,
                         "suspected",
                         isSuspected(m_settings.crashes, task.crashes));
            markDirty(*ref.job);
            m_isPlacementDue = true;
        }
    }
}

/** Whether each crash that the task is suspected for is explained by another task. */
bool WorkflowScheduler::isExplainedByOthers(const TaskState &task) const
{
    return countCrashes(task.crashes, CrashRole::Trial) == 0
           && std::all_of(task.crashes.begin(), task.crashes.end(), [this](const CrashEvidence &it) {
                  return m_explainedCrashes.contains(it.crash);
              });
}

/** The task's run has started up: it does not crash the workers that start it. */
void WorkflowScheduler::onStartedUp(const TaskRef &ref)
{
    TaskState &task = ref.task();
    if (isTriedUntilItsEnd(task)) {
        return;
    }
    if (task.trial) {
        endTrial(ref);
    }
    if (std::erase_if(task.crashes, [](const CrashEvidence &it) { return it.role != CrashRole::Present; }) > 0) {
        logTaskEvent("task_cleared", ref, "attempt", task.attempt);
        markDirty(*ref.job);
    }
}

/** Whether the task was present at several crashes without having just been started at any of them. */
bool WorkflowScheduler::isTriedUntilItsEnd(const TaskState &task) const
{
    return countUnexplained(task.crashes, CrashRole::Present) >= m_settings.crashes.maxPresences
           && countUnexplained(task.crashes, CrashRole::Start) == 0;
}

/** Another shard's task returns to its job's shard, whose leader can store that the job has failed. */
void WorkflowScheduler::giveUpTask(const TaskRef &ref)
{
    TaskState &task = ref.task();
    const std::uint32_t alone = countCrashes(task.crashes, CrashRole::Trial);
    const std::string why = "task " + std::to_string(ref.index) + " of step " + std::to_string(ref.step) + " crashed "
                            + std::to_string(task.crashes.size()) + " workers that started it, " + std::to_string(alone)
                            + " of them while it was tried alone";
    ++m_counters.tasksGivenUp;
    m_log.writeImportant("task_given_up", "job", ref.job->key(), "step", ref.step, "task", ref.index, "why", why);
    if (ref.job->isGuest) {
        task.isGivenUp = true;
    } else {
        failJob(*ref.job, why);
    }
}

/** Stores which tasks had just been started on a worker that has fallen silent, in case this leader ends before it is back. */
void WorkflowScheduler::storeSilentStarts(const WorkerState &worker)
{
    for (const TaskRef &it : worker.runs) {
        TaskState &task = it.task();
        if (task.hasStartedUp || task.trial || isFinal(it.job->state) || worker.isLeaving()) {
            continue;
        }
        TaskTrial start;
        start.attempt = task.attempt;
        start.worker = worker.record.id;
        start.workerStartedAtMs = worker.record.startedAtMs;
        task.silentStart = start;
        it.job->hasCrashEvidence = true;
        markDirty(*it.job);
    }
}

/** Remembers the runs of a silent worker whose lease has expired: its return shows whether it has crashed. */
void WorkflowScheduler::keepUnresolvedRuns(WorkerState &worker)
{
    if (worker.record.condition == WorkerCondition::Draining) {
        return;
    }
    for (const TaskRef &it : worker.runs) {
        worker.unresolvedRuns.push_back(describeLostRun(it, worker.record.startedAtMs, m_now));
    }
}

/** Takes the unresolved runs of other incarnations of a worker, and drops those of the one that has reported. */
std::vector<LostRun> WorkflowScheduler::takeCrashedRuns(WorkerState &worker, std::int64_t startedAtMs)
{
    std::vector<LostRun> crashed;
    for (const LostRun &it : std::exchange(worker.unresolvedRuns, {})) {
        if (it.workerStartedAtMs != 0 && startedAtMs != 0 && it.workerStartedAtMs != startedAtMs) {
            crashed.push_back(it);
        } else {
            endVerdictWait(it.run);
        }
    }
    return crashed;
}

/** The outcome of the run is known: if it was a trial, the task need not wait for it any longer. */
void WorkflowScheduler::endVerdictWait(const RunName &run)
{
    const auto ref = findTask(run.task);
    if (ref && ref->task().silentStart && ref->task().silentStart->attempt == run.attempt) {
        ref->task().silentStart.reset();
        markDirty(*ref->job);
    }
    if (!ref || ref->task().phase != TaskPhase::Waiting || !ref->task().trial
        || ref->task().trial->attempt != run.attempt) {
        return;
    }
    endTrial(*ref);
    ref->task().retryAt = m_now;
    m_isPlacementDue = true;
}

void WorkflowScheduler::forgetOldCrashes(TimePoint now)
{
    while (!m_recentCrashes.empty() && now >= m_recentCrashes.front().at + m_settings.crashes.machineMemory) {
        m_recentCrashes.pop_front();
    }
    std::erase_if(m_explainedCrashes, [now](const auto &it) { return now >= it.second + GuiltMemory; });
    const Duration unresolvedTime = m_settings.crashes.verdictTimeout + UnresolvedMargin;
    for (const auto &worker : m_workers) {
        std::erase_if(worker->unresolvedRuns,
                      [now, unresolvedTime](const LostRun &it) { return now >= it.lostAt + unresolvedTime; });
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Trials
// ---------------------------------------------------------------------------------------------------------------------

/** While a task of the job has crashed a worker in its trial, the others wait: the job is likely to fail. */
bool WorkflowScheduler::isHeldBySuspect(const TaskRef &ref) const
{
    if (!ref.job->hasCrashEvidence || countCrashes(ref.task().crashes, CrashRole::Trial) > 0) {
        return false;
    }
    bool isHeld = false;
    forEachTask(*ref.job, [&isHeld](const TaskRef &it) {
        const TaskState &task = it.task();
        isHeld = isHeld || (task.phase != TaskPhase::Done && countCrashes(task.crashes, CrashRole::Trial) > 0);
    });
    return isHeld;
}

/**
 * Tries suspected tasks alone; for a gang, @p refs are all its members, each on a worker of its own where possible. Returns
 * false if there is no room for them.
 */
bool WorkflowScheduler::placeTrial(std::span<const TaskRef> refs, TimePoint now)
{
    JobState &job = *refs.front().job;
    const bool isPrepared = std::all_of(
        refs.begin(), refs.end(), [](const TaskRef &it) { return it.task().trial && !it.task().trial->isOrdered; });
    if (!isPrepared) {
        return prepareTrial(refs, now);
    }
    const TaskTrial trial = *refs.front().task().trial;
    if (job.storedVersion < trial.version) {
        return true;
    }
    std::size_t reserved = 0;
    bool isUsable = true;
    bool isQuiet = true;
    for (; reserved < refs.size() && isUsable; ++reserved) {
        const TaskRef &ref = refs[reserved];
        const auto found = m_workerIndex.find(ref.task().trial->worker);
        isUsable = found != m_workerIndex.end() && canTryOn(found->second, ref, now);
        if (!isUsable) {
            break;
        }
        isQuiet = isQuiet && isQuietForTrial(*m_workers[found->second], ref);
        reserveResources(ref, found->second);
    }
    for (std::size_t i = 0; i < reserved; ++i) {
        releaseResources(refs[i]);
        refs[i].task().phase = TaskPhase::Waiting;
    }
    const Duration timeout
        = isTriedUntilItsEnd(refs.front().task()) ? WholeRunTrialTimeout : m_settings.crashes.trialTimeout;
    if (!isUsable || now >= trial.preparedAt + timeout) {
        logTaskEvent("trial_abandoned", refs.front(), "worker", trial.worker, "usable", isUsable, "quiet", isQuiet);
        for (const TaskRef &it : refs) {
            endTrial(it);
            it.task().retryAt = now + TrialRetryDelay;
        }
        return true;
    }
    for (const TaskRef &it : refs) {
        if (isQuiet) {
            it.task().trial->isOrdered = true;
            logTaskEvent("trial_started", it, "attempt", trial.attempt, "worker", it.task().trial->worker);
            startTask(it, m_workerIndex.at(it.task().trial->worker), trial.attempt, now);
        }
    }
    return true;
}

/** Chooses workers, which start nothing else from now on, and stores the trial before the order is sent. */
bool WorkflowScheduler::prepareTrial(std::span<const TaskRef> refs, TimePoint now)
{
    JobState &job = *refs.front().job;
    double risk = 0;
    std::uint64_t attempt = 0;
    for (const TaskRef &it : refs) {
        if (it.task().trial) { // an earlier one, whose outcome did not show in time
            endTrial(it);
        }
        risk = std::max(risk, guiltEstimate(it.task().crashes));
        attempt = std::max(attempt, nextAttempt(it.task()));
    }
    if (!trialBudget(now).allows(risk)) {
        return true;
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
    markDirty(job);
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        WorkerState &worker = *m_workers[chosen[i]];
        worker.trialJob = job.key();
        worker.trialRisk = risk;
        TaskTrial trial;
        trial.attempt = attempt;
        trial.worker = worker.record.id;
        trial.workerStartedAtMs = worker.record.startedAtMs;
        trial.version = job.version;
        trial.preparedAt = now;
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

/** Whether a crash of the worker could be held against no other job. */
bool WorkflowScheduler::isQuietForTrial(const WorkerState &worker, const TaskRef &ref) const
{
    const bool isWholeRun = isTriedUntilItsEnd(ref.task());
    return std::all_of(worker.runs.begin(), worker.runs.end(), [&ref, isWholeRun](const TaskRef &it) {
        return it.job == ref.job || (it.task().hasStartedUp && (!isWholeRun || it.spec().isLongRunning));
    });
}

/** The worker whose crash would cost the least, not one that has crashed again and again by itself. */
WorkerIndex WorkflowScheduler::chooseTrialWorker(const TaskRef &ref, TimePoint now) const
{
    WorkerIndex best = NoWorker;
    std::pair<bool, double> leastCost;
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState &worker = *m_workers[i];
        if (!isEligible(worker, ref, now) || !scorePlacement(i, ref, canShareSpareCpu(*ref.job))) {
            continue;
        }
        const auto crashes = std::count_if(m_recentCrashes.begin(), m_recentCrashes.end(), [&worker](const auto &it) {
            return it.address == worker.record.address;
        });
        double loss = 0;
        for (const TaskRef &it : worker.runs) {
            loss += it.spec().isLongRunning ? LongRunningLoss : 1;
        }
        const std::pair<bool, double> cost{crashes > 1, loss};
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
    for (const auto &it : m_workers) {
        const bool isSilent = it->unansweredRenewals > 0 && now < it->contactLostAt + m_settings.grantedLease();
        if (it->trialJob) {
            budget.add(isSilent ? 1 : it->trialRisk);
        } else if (isSilent && !it->runs.empty() && hasStartingRun(*it)) {
            budget.add(1); // possibly the first crash of a task that nobody suspects yet
        }
    }
    return budget;
}

void WorkflowScheduler::endTrial(const TaskRef &ref)
{
    const TaskTrial trial = *std::exchange(ref.task().trial, std::nullopt);
    bool isUsedByOthers = false; // by other members of a gang
    forEachTask(*ref.job, [&](const TaskRef &it) {
        isUsedByOthers = isUsedByOthers || (it.task().trial && it.task().trial->worker == trial.worker);
    });
    const auto found = m_workerIndex.find(trial.worker);
    if (found != m_workerIndex.end() && !isUsedByOthers && m_workers[found->second]->trialJob == ref.job->key()) {
        m_workers[found->second]->trialJob.reset();
    }
    markDirty(*ref.job); // a stored trial would be held against the task if the worker crashes later
    m_isPlacementDue = true;
}

/** Counts the suspects, and logs a line once in a while as long as any waits for its trial. */
void WorkflowScheduler::reportSuspects(TimePoint now)
{
    SuspectCounts &counts = m_waitingTasks.suspects;
    const std::int64_t wallMs = m_clock.wallNow().count();
    for (const auto &[key, job] : m_activeJobs) {
        if (!job->hasCrashEvidence || job->isCancelled) {
            continue;
        }
        forEachTask(*job, [&](const TaskRef &ref) {
            const TaskState &it = ref.task();
            if (it.trial && (it.trial->isOrdered || it.phase != TaskPhase::Waiting)) {
                ++counts.tried;
            } else if (it.phase == TaskPhase::Waiting && isSuspected(m_settings.crashes, it.crashes)) {
                ++counts.waiting;
                counts.guilty += countCrashes(it.crashes, CrashRole::Trial) > 0 ? 1 : 0;
                counts.explained += isExplainedByOthers(it) ? 1 : 0;
                const std::int64_t sinceMs = it.crashes.back().recordedMs;
                const Duration waited = sinceMs == 0 ? jobAge(*job) : std::chrono::milliseconds(wallMs - sinceMs);
                counts.oldest = std::max(counts.oldest, waited);
            }
        });
    }
    if (counts.waiting == 0 || now < m_nextSuspectLogAt) {
        return;
    }
    m_nextSuspectLogAt = now + SuspectLogInterval;
    const TrialBudget budget = trialBudget(now);
    m_log.write("suspects_wait",
                "shard",
                m_shard,
                "epoch",
                m_term.epoch,
                "waiting",
                counts.waiting,
                "guilty",
                counts.guilty,
                "explained",
                counts.explained,
                "tried",
                counts.tried,
                "oldest_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(counts.oldest).count(),
                "risk",
                budget.risk(),
                "limit",
                budget.limit());
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

/** The stored progress has evidence, or trials of a former leader, which this leader has not seen end. */
void WorkflowScheduler::restoreSuspects(JobState &job)
{
    forEachTask(job, [this](const TaskRef &ref) { restoreSuspect(ref); });
}

void WorkflowScheduler::restoreSuspect(const TaskRef &ref)
{
    TaskState &task = ref.task();
    ref.job->hasCrashEvidence = ref.job->hasCrashEvidence || !task.crashes.empty() || task.trial;
    applyExplanations(ref);
    explainCrashesOf(task);
    if (task.trial && restoreUnresolvedRun(ref, *task.trial)) {
        task.trial->isOrdered = true;
        task.retryAt = m_clock.now() + m_settings.crashes.verdictTimeout;
    } else {
        task.trial.reset();
    }
    if (task.silentStart && !restoreUnresolvedRun(ref, *task.silentStart)) {
        task.silentStart.reset();
    }
}

/** False if the worker is not known in this shard. */
bool WorkflowScheduler::restoreUnresolvedRun(const TaskRef &ref, const TaskTrial &start)
{
    const auto found = m_workerIndex.find(start.worker);
    if (found == m_workerIndex.end()) {
        return false;
    }
    LostRun run;
    run.run = {ref.name(), start.attempt};
    run.isStarting = true;
    run.isTrial = ref.task().trial && ref.task().trial->attempt == start.attempt;
    run.isLongRunning = ref.spec().isLongRunning;
    run.workerStartedAtMs = start.workerStartedAtMs;
    run.lostAt = m_clock.now();
    m_workers[found->second]->unresolvedRuns.push_back(run);
    return true;
}

} // namespace QuetzalRock::Workflow
