/**
 * WorkflowScheduler: records crashes of workers, and gives up tasks that crash their workers. crashes.h has the decisions,
 * trials.cpp tries the suspected tasks.
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
constexpr Duration ExplanationMemory = std::chrono::minutes(10); ///< of m_explainedCrashes
constexpr Duration SuspectLogInterval = 5s;
constexpr Duration UnresolvedMargin
    = 5s; ///< beyond verdictTimeout: runs of a worker that does not come back are forgotten

std::string formatRun(const RunName &run)
{
    return run.task.job + "." + std::to_string(run.task.occurrence) + "." + std::to_string(run.task.step) + "."
           + std::to_string(run.task.index) + "/" + std::to_string(run.attempt);
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
    it.isTrial = task.trial && task.trial->isOrdered && task.trial->attempt == task.attempt;
    it.hasStartedBefore = !it.isTrial && !task.hasStartedUp && task.isKnownToStartUp();
    it.isStarting = !task.hasStartedUp && !it.hasStartedBefore;
    it.isSharedTrial = task.sharedTrial != 0 && task.sharedTrial == task.attempt;
    it.isLongRunning = ref.spec().isLongRunning;
    it.workerStartedAtMs = workerStartedAtMs;
    it.lostAt = lostAt;
    return it;
}

/**
 * Records that the worker has restarted, or was replaced, without draining, and what it says of the @p lost runs.
 * @p isTimeKnown: this leader had reached the worker before the crash.
 */
void WorkflowScheduler::recordCrash(WorkerIndex index, std::span<const LostRun> lost, bool isTimeKnown)
{
    const WorkerState &worker = *m_workers[index];
    const TimePoint at = worker.contactLostAt != TimePoint{} ? worker.contactLostAt
                         : worker.silentSince != TimePoint{} ? worker.silentSince
                                                             : m_now;
    std::string starting;
    std::size_t n = 0;
    for (const LostRun &it : lost) {
        if (it.isStarting && n++ < MaxLoggedRuns) {
            starting += (starting.empty() ? "" : ",") + formatRun(it.run);
        }
    }
    const CrashName crash{worker.record.id, lost.empty() ? 0 : lost.front().workerStartedAtMs};
    const bool isOfTrial = std::any_of(lost.begin(), lost.end(), [](const LostRun &it) { return it.isTrial; });
    bool isCoincident = isNextToUnexplainedCrash(index, at, isTimeKnown);
    m_recentCrashes.push_back(
        {at, n > 0, isTimeKnown, worker.record.address, worker.record.failureDomain, crash, isOfTrial, false});
    reviewCrashes(at);
    const bool isOfDomain = m_recentCrashes.back().isOfDomain;
    isCoincident = isCoincident || isOfDomain;
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
                         "domain_down",
                         isOfDomain,
                         "first",
                         starting);
    const bool isUnderUntried
        = std::any_of(lost.begin(), lost.end(), [](const LostRun &it) { return it.isStarting && !it.isTrial; });
    if (isUnderUntried && !isCoincident) {
        separateStarts(worker.record.pool, at + m_settings.crashes.separationTime - m_now, "crash");
    }
    // That the whole failure domain crashed shows whenever it was.
    std::vector<std::optional<CrashEvidence>> evidence = assessCrash(lost, isCoincident, isTimeKnown || isOfDomain);
    for (std::size_t i = 0; i < lost.size(); ++i) {
        const auto ref = findTask(lost[i].run.task);
        if (ref && evidence[i]) {
            evidence[i]->crash = {worker.record.id, lost[i].workerStartedAtMs};
            evidence[i]->recordedMs = m_clock.wallNow().count();
            evidence[i]->areStartsToBlame = isTimeKnown && areStartsToBlame();
            addEvidence(*ref, *evidence[i]);
        }
    }
}

/**
 * Whether another worker crashed or fell silent at about the same time, although nothing had just been started there. Crashes
 * at unknown times may be near each other.
 */
bool WorkflowScheduler::isNextToUnexplainedCrash(WorkerIndex index, TimePoint at, bool isTimeKnown) const
{
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState &other = *m_workers[i];
        const bool isSilent = i != index && other.isRegistered && other.unansweredRenewals > 0
                              && other.record.condition != WorkerCondition::Draining;
        const bool isOtherKnown = other.reportCount > 0;
        if (isSilent && isOtherKnown == isTimeKnown && isNear(other.contactLostAt, at) && !other.hasStartingRun()) {
            return true;
        }
    }
    return std::any_of(m_recentCrashes.begin(), m_recentCrashes.end(), [&](const RecentCrash &it) {
        return !it.hasStartingRun && it.isTimeKnown == isTimeKnown && isNear(it.at, at);
    });
}

bool WorkflowScheduler::isNear(TimePoint a, TimePoint b) const
{
    return a - b <= m_settings.crashes.coincidenceTime && b - a <= m_settings.crashes.coincidenceTime;
}

/**
 * Whether the failure domain went down as a whole at about the time @p at. A worker and its successor at its address count
 * once. Where suspects are tried, crashes are to be expected: such workers say nothing of the others.
 */
bool WorkflowScheduler::isDomainDown(const std::string &failureDomain, TimePoint at, bool isTimeKnown) const
{
    std::map<std::string, std::string> domains; // by address
    std::set<std::string> down;                 // addresses
    for (const auto &it : m_workers) {
        const bool isSilent = it->contactLostAt != TimePoint{} && isNear(it->contactLostAt, at)
                              && (it->reportCount > 0) == isTimeKnown
                              && it->record.condition != WorkerCondition::Draining;
        if (isSilent) {
            down.insert(it->record.address);
        }
        if (!it->trialJob && (isSilent || !it->isLeaving())) {
            domains[it->record.address] = it->record.failureDomain;
        }
    }
    for (const RecentCrash &it : m_recentCrashes) {
        if (it.isTimeKnown == isTimeKnown && isNear(it.at, at)) {
            down.insert(it.address);
            domains[it.address] = it.failureDomain;
        }
    }
    for (const RecentCrash &it : m_recentCrashes) {
        if (it.isOfTrial && isNear(it.at, at)) {
            domains.erase(it.address);
        }
    }
    std::map<std::string, DomainToll> tolls;
    for (const auto &[address, domain] : domains) {
        ++tolls[domain].workers;
        tolls[domain].down += down.contains(address) ? 1 : 0;
    }
    return findDomainsDown(m_settings.crashes, tolls).contains(failureDomain);
}

/** A worker crashed or fell silent at the time @p at: other crashes may turn out to be those of their whole domain. */
void WorkflowScheduler::reviewCrashes(TimePoint at)
{
    for (RecentCrash &it : m_recentCrashes) {
        if (!it.isOfDomain && isNear(it.at, at) && isDomainDown(it.failureDomain, it.at, it.isTimeKnown)) {
            it.isOfDomain = true;
            excuseRunsOf(it);
        }
    }
}

/** What had just been started at the crash is no longer held for it. */
void WorkflowScheduler::excuseRunsOf(const RecentCrash &crash)
{
    m_explainedCrashes.erase(crash.crash);
    for (const auto &[key, job] : m_activeJobs) {
        if (!crash.crash.isKnown() || !job->hasCrashEvidence || job->isMoving) {
            continue;
        }
        forEachTask(*job, [&](const TaskRef &ref) {
            if (excuseCrash(ref.task().crashes, crash.crash)) {
                logTaskEvent("crash_excused", ref, "worker", crash.crash.worker, "domain", crash.failureDomain);
                markDirty(*ref.job, StoreClass::Evidence);
                m_isPlacementDue = true;
            }
        });
    }
}

/**
 * Whether workers hardly ever crash but at the start of a task. Other crashes at about the same time count as one, as those of
 * a whole failure domain do.
 */
bool WorkflowScheduler::areStartsToBlame() const
{
    std::size_t atStart = 0;
    std::vector<TimePoint> others;
    for (const RecentCrash &it : m_recentCrashes) {
        const bool isAtStart = it.hasStartingRun && !it.isOfDomain;
        atStart += isAtStart ? 1 : 0;
        if (!isAtStart) {
            others.push_back(it.at);
        }
    }
    std::sort(others.begin(), others.end()); // they are noted as they are confirmed, which takes different times
    std::size_t events = 0;
    for (std::size_t i = 0; i < others.size(); ++i) {
        events += i == 0 || others[i] - others[i - 1] > m_settings.crashes.coincidenceTime ? 1 : 0;
    }
    return atStart >= events * m_settings.crashes.startCrashesPerOther;
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
                     task.crashes.size(),
                     "started_before",
                     task.hasEverStartedUp);
    }
    markDirty(*ref.job, StoreClass::Evidence);
    if (isGivenUp(m_settings.crashes, task.crashes)) {
        m_mayBeConvicted = true;
        giveUpConvicted(m_now);
    }
}

/**
 * Gives up the tasks that their evidence convicts, once it would have shown that the whole failure domain crashed. Until then
 * they are not started.
 */
void WorkflowScheduler::giveUpConvicted(TimePoint now)
{
    if (!std::exchange(m_mayBeConvicted, false)) {
        return;
    }
    std::vector<TaskRef> convicted;
    for (const auto &[key, job] : m_activeJobs) {
        if (!job->hasCrashEvidence) {
            continue;
        }
        forEachTask(*job, [&](const TaskRef &ref) {
            const TaskState &it = ref.task();
            if (it.phase != TaskPhase::Done && it.phase != TaskPhase::Foreign && !it.isGivenUp
                && isGivenUp(m_settings.crashes, it.crashes)) {
                convicted.push_back(ref);
            }
        });
    }
    for (const TaskRef &it : convicted) {
        if (isFinal(it.job->state)) {
            continue; // for another one of its tasks
        }
        if (!it.job->isMoving && isVerdictDue(it.task(), now)) {
            giveUpTask(it);
        } else {
            m_mayBeConvicted = true;
        }
    }
}

/** Whether no crash that the task is held for can turn out any more to be one of its whole failure domain. */
bool WorkflowScheduler::isVerdictDue(const TaskState &task, TimePoint now) const
{
    const Duration wait = m_settings.crashes.coincidenceTime;
    const std::chrono::milliseconds wall = m_clock.wallNow();
    return std::all_of(task.crashes.begin(), task.crashes.end(), [&](const CrashEvidence &it) {
        const auto recent = std::find_if(m_recentCrashes.begin(),
                                         m_recentCrashes.end(),
                                         [&it](const RecentCrash &crash) { return crash.crash == it.crash; });
        // A former leader's: this one has to know first which other workers have crashed.
        return recent != m_recentCrashes.end()
                   ? now >= recent->at + wait
                   : isTakeoverComplete() && wall >= std::chrono::milliseconds(it.recordedMs) + wait;
    });
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
            markDirty(*ref.job, StoreClass::Evidence);
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
    task.hasEverStartedUp = true;
    m_isPlacementDue = m_isPlacementDue || areStartsSeparated(ref.job->accepted.pool);
    const bool isUntilItsEnd = isTriedUntilItsEnd(task);
    if (isUntilItsEnd && task.sharedTrial != task.attempt) {
        return;
    }
    if (task.trial) {
        endTrial(ref);
    }
    if (isUntilItsEnd) {
        return; // that it starts up says nothing
    }
    if (std::erase_if(task.crashes, [](const CrashEvidence &it) { return it.role != CrashRole::Present; }) > 0) {
        logTaskEvent("task_cleared", ref, "attempt", task.attempt);
        markDirty(*ref.job, StoreClass::Evidence);
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
    for (const CrashEvidence &it : task.crashes) {
        if (it.role != CrashRole::Present) {
            m_explainedCrashes[it.crash] = m_now; // not by the machines
        }
    }
    m_log.writeImportant("task_given_up", "job", ref.job->key(), "step", ref.step, "task", ref.index, "why", why);
    if (ref.job->isGuest) {
        task.isGivenUp = true;
    } else {
        failJob(*ref.job, why);
        markDirty(*ref.job, StoreClass::Trial);
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
        markDirty(*it.job, StoreClass::Evidence);
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
        markDirty(*ref->job, StoreClass::Evidence);
    }
    if (!ref || (ref->task().phase != TaskPhase::Waiting && ref->task().phase != TaskPhase::Done) || !ref->task().trial
        || ref->task().trial->attempt != run.attempt) {
        return;
    }
    endTrial(*ref);
    ref->task().retryAt = m_now;
    m_isPlacementDue = true;
}

void WorkflowScheduler::forgetOldCrashes(TimePoint now)
{
    endSeparations(now);
    while (!m_recentCrashes.empty() && now >= m_recentCrashes.front().at + m_settings.crashes.machineMemory) {
        m_recentCrashes.pop_front();
    }
    std::erase_if(m_explainedCrashes, [now](const auto &it) { return now >= it.second + ExplanationMemory; });
    const Duration unresolvedTime = m_settings.crashes.verdictTimeout + UnresolvedMargin;
    for (const auto &worker : m_workers) {
        std::erase_if(worker->unresolvedRuns,
                      [now, unresolvedTime](const LostRun &it) { return now >= it.lostAt + unresolvedTime; });
    }
}

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
            if (it.trial && (it.trial->isOrdered || it.trial->isInherited || it.phase != TaskPhase::Waiting)) {
                ++counts.tried;
                counts.heldUp += it.trial && isOutcomeHeldUp(*it.trial) ? 1 : 0;
            } else if (it.phase == TaskPhase::Waiting && isSuspected(m_settings.crashes, it.crashes)) {
                ++counts.waiting;
                counts.guilty += countCrashes(it.crashes, CrashRole::Trial) > 0 ? 1 : 0;
                counts.explained += isExplainedByOthers(it) ? 1 : 0;
                const std::int64_t sinceMs = suspectedSinceMs(it.crashes);
                const Duration waited = sinceMs == 0 ? jobAge(*ref.job) : std::chrono::milliseconds(wallMs - sinceMs);
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
                "held_up",
                counts.heldUp,
                "oldest_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(counts.oldest).count(),
                "risk",
                budget.risk(),
                "limit",
                budget.limit());
}

// ---------------------------------------------------------------------------------------------------------------------
// Takeover
// ---------------------------------------------------------------------------------------------------------------------

/** The stored progress has evidence, or trials of a former leader, which this leader has not seen end. */
void WorkflowScheduler::restoreSuspects(JobState &job)
{
    forEachTask(job, [this](const TaskRef &ref) { restoreSuspect(ref); });
}

void WorkflowScheduler::restoreSuspect(const TaskRef &ref)
{
    TaskState &task = ref.task();
    ref.job->hasCrashEvidence = ref.job->hasCrashEvidence || !task.crashes.empty() || task.trial;
    for (CrashEvidence &it : task.crashes) { // recorded by a leader whose wall clock may have been ahead
        it.recordedMs = std::min(it.recordedMs, m_clock.wallNow().count());
        if (it.role == CrashRole::Start) {
            const auto age = std::chrono::milliseconds(m_clock.wallNow().count() - it.recordedMs);
            separateStarts(ref.job->accepted.pool, m_settings.crashes.separationTime - age, "stored evidence");
        }
    }
    m_mayBeConvicted = m_mayBeConvicted || isGivenUp(m_settings.crashes, task.crashes);
    applyExplanations(ref);
    explainCrashesOf(task);
    if (task.trial && restoreUnresolvedRun(ref, *task.trial)) {
        task.trial->isInherited = true;
        task.retryAt = m_clock.now()
                       + remainingVerdictTime(
                           m_settings.crashes, *task.trial, m_settings.grantedLease(), m_clock.wallNow().count());
    } else {
        task.trial.reset();
    }
    if (task.silentStart && !restoreUnresolvedRun(ref, *task.silentStart)) {
        task.silentStart.reset();
    }
    if (task.silentStart) {
        separateStarts(ref.job->accepted.pool, m_settings.grantedLease(), "stored start");
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
    // Otherwise it may not have begun, and another start have crashed the worker.
    run.isTrial = ref.task().trial && ref.task().trial->attempt == start.attempt && ref.task().trial->isOrdered;
    run.hasStartedBefore = !run.isTrial && ref.task().isKnownToStartUp();
    run.isStarting = !run.hasStartedBefore;
    run.isLongRunning = ref.spec().isLongRunning;
    run.workerStartedAtMs = start.workerStartedAtMs;
    run.lostAt = m_clock.now();
    m_workers[found->second]->unresolvedRuns.push_back(run);
    return true;
}

} // namespace QuetzalRock::Workflow
