/** WorkflowScheduler: placement of tasks, start and stop orders, and state changes of tasks and jobs. */
#include <workflow/scheduler.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t AttemptsPerEpoch = 1000; ///< attempt numbers of a task reserved for each epoch
constexpr Duration PlacementRetryInterval
    = 100ms;                             ///< without changes: a task may become due, or a worker eligible, with time
constexpr Duration SortInterval = 100ms; ///< ranks change with time; a new job is sorted in at once

bool hasLabel(const WorkerState &worker, const std::string &label)
{
    const auto &labels = worker.record.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::uint32_t countRunsOfStep(const WorkerState &worker, const TaskRef &ref)
{
    std::uint32_t n = 0;
    for (const TaskRef &it : worker.runs) {
        n += it.job == ref.job && it.occurrence == ref.occurrence && it.step == ref.step ? 1 : 0;
    }
    return n;
}

bool isOverdue(const JobState &job)
{
    return job.outlook == DeadlineOutlook::TooLate;
}

/** Whether a long-running task of the same image runs there; both are sensitive to the same neighbours. */
bool hasLongRunningImage(const WorkerState &worker, const TaskRef &ref)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&ref](const TaskRef &it) {
        return it.spec().isLongRunning && it.spec().image == ref.spec().image;
    });
}

/** Whether a task of the same job runs there; the loads of tasks of one job rise and fall together. */
bool hasTaskOfJob(const WorkerState &worker, const TaskRef &ref)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&ref](const TaskRef &it) { return it.job == ref.job; });
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Placement
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::placeJobs(TimePoint now)
{
    m_nextPlacementAt = now + (m_isPlacementDue ? m_settings.placementInterval : PlacementRetryInterval);
    m_isPlacementDue = false;
    sortJobs(now);
    listUsableWorkers(now);
    m_unplaced.clear();
    m_unpaced.clear();
    m_heldByStarts.clear();
    placeTrials(now);
    placeOverdueJobs(now);
    for (JobState *job : m_jobOrder) {
        if (mayPlace(*job)) {
            placeJob(*job, now);
        }
    }
}

bool WorkflowScheduler::mayPlace(const JobState &job) const
{
    return !job.isCancelled && holdOf(job) == WaitReason::None;
}

/** Places overdue jobs, the oldest first, until they hold their share. */
void WorkflowScheduler::placeOverdueJobs(TimePoint now)
{
    beginOverdueShares(now);
    m_isPlacingOverdueJobs = true;
    m_isOverdueRoomReserved = false;
    for (JobState *job : m_overdueJobs) {
        if (mayPlace(*job)) {
            placeJob(*job, now);
        }
    }
    m_isPlacingOverdueJobs = false;
}

/** False: the step has its turn later in the same pass, after the overdue jobs. */
bool WorkflowScheduler::mayPlaceInThisPass(const JobState &job, const StepSpec &step) const
{
    const auto share = m_overdueShares.find(job.accepted.pool);
    return !m_isPlacingOverdueJobs || (share != m_overdueShares.end() && share->second.isBelowLimit(step));
}

void WorkflowScheduler::beginOverdueShares(TimePoint now)
{
    struct PoolCpu
    {
        CpuByUse left; ///< by long-running tasks
        CpuByUse held; ///< by overdue jobs
    };
    std::map<std::string, PoolCpu> pools;
    for (const auto &worker : m_workers) {
        if (m_overdueJobs.empty() || !isUsable(*worker, now)) {
            continue;
        }
        const std::int64_t capacity = worker->record.capacity.cpuMillis;
        const double used
            = m_settings.placement.longRunningUtilisation * static_cast<double>(worker->longRunningCpuMillis);
        PoolCpu &pool = pools[worker->record.pool];
        pool.left.reserved += std::max<std::int64_t>(0, capacity - worker->longRunningCpuMillis);
        pool.left.spare += capacity - static_cast<std::int64_t>(used);
    }
    for (JobState *job : m_overdueJobs) {
        PoolCpu &pool = pools[job->accepted.pool];
        for (std::uint32_t k = 0; k < job->occurrences.size() && job->heldTasks > 0; ++k) {
            for (std::size_t s = 0; s < job->occurrences[k].steps.size(); ++s) {
                const StepSpec &step = job->accepted.spec.steps[s];
                const Duration counted
                    = m_settings.overdue.maxCountedEstimates * std::chrono::milliseconds(step.estimateMs);
                const auto &tasks = job->occurrences[k].steps[s].tasks;
                const auto n = std::count_if(tasks.begin(), tasks.end(), [&](const TaskState &it) {
                    return it.worker != NoWorker && now < it.startedAt + counted;
                });
                pool.held.of(step) += n * step.need.cpuMillis;
            }
        }
    }
    m_overdueShares.clear();
    for (const auto &[name, pool] : pools) {
        const auto shareOf = [this](std::int64_t millis) {
            return static_cast<std::int64_t>(m_settings.overdue.share * static_cast<double>(millis));
        };
        m_overdueShares[name].beginPass(
            {shareOf(pool.left.reserved), shareOf(pool.left.spare)}, pool.held, m_poolsWithUsefulWork.contains(name));
    }
}

void WorkflowScheduler::sortJobs(TimePoint now)
{
    if (now < m_nextSortAt && m_jobOrder.size() == m_activeJobs.size()) {
        return;
    }
    m_nextSortAt = now + SortInterval;
    const std::int64_t wallMs = m_clock.wallNow().count();
    std::vector<std::pair<JobRank, JobState *>> ranks;
    ranks.reserve(m_activeJobs.size());
    for (const auto &[key, job] : m_activeJobs) {
        ranks.emplace_back(rankOf(*job, wallMs, now), job);
        job->outlook = ranks.back().first.outlook;
        if (m_settings.scarcity.enabled) {
            m_scarcityOrder.refineRank(m_settings.scarcity, *job, wallMs, ranks.back().first);
        }
    }
    std::sort(ranks.begin(), ranks.end());
    m_jobOrder.clear();
    for (const auto &[rank, job] : ranks) {
        m_jobOrder.push_back(job);
    }
    listOverdueJobs(wallMs);
    if (m_settings.scarcity.enabled) {
        chooseCpuSharingJob(wallMs);
    }
}

/** Lists the jobs whose results are useless by now, whatever their priority. */
void WorkflowScheduler::listOverdueJobs(std::int64_t wallMs)
{
    std::vector<std::pair<std::int64_t, JobState *>> jobs;
    m_poolsWithUsefulWork.clear();
    for (JobState *job : m_jobOrder) {
        if (job->isCancelled) {
            continue;
        }
        if (const std::optional<std::int64_t> since = overdueSinceMs(*job, wallMs)) {
            job->outlook = DeadlineOutlook::TooLate;
            jobs.emplace_back(*since, job);
        }
        // A job with long-running steps has no objective, and may wait for good.
        const bool isUseful = job->outlook == DeadlineOutlook::InTime && !hasLongRunningStep(job->accepted.spec);
        if (isUseful && hasBestEffortTaskWithoutRoom(*job)) {
            m_poolsWithUsefulWork.insert(job->accepted.pool);
        }
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    m_overdueJobs.clear();
    for (const auto &[since, job] : jobs) {
        m_overdueJobs.push_back(job);
    }
}

/**
 * Under scarcity one job at a time may exceed the idle CPU, so that it does not end too late. Under sustained overload
 * most late jobs come to that point; if all of them shared, all tasks would be slow.
 */
void WorkflowScheduler::chooseCpuSharingJob(std::int64_t wallMs)
{
    if (m_cpuSharingJob != nullptr && m_cpuSharingJob->heldTasks > 0) {
        return; // it exceeds the idle CPU until its tasks end, even if it ends too late after all
    }
    const auto found = std::find_if(m_jobOrder.begin(), m_jobOrder.end(), [wallMs](const JobState *it) {
        return !it->isCancelled && hasBestEffortTaskWithoutRoom(*it) && mayShareSpareCpu(*it, wallMs);
    });
    m_cpuSharingJob = found == m_jobOrder.end() ? nullptr : *found;
}

bool WorkflowScheduler::canShareSpareCpu(const JobState &job) const
{
    if (!m_settings.scarcity.enabled) {
        return jobAge(job) > m_settings.spareCpuShareDelay;
    }
    if (job.heldTasks == 0 && job.outlook != DeadlineOutlook::InTime) {
        const auto share = m_overdueShares.find(job.accepted.pool);
        if (share != m_overdueShares.end() && share->second.mayExceedIdleCpu(job.outlook)) {
            return true;
        }
    }
    return &job == m_cpuSharingJob && mayShareSpareCpu(job, m_clock.wallNow().count());
}

void WorkflowScheduler::placeJob(JobState &job, TimePoint now)
{
    const WorkflowSpec &spec = job.accepted.spec;
    const std::int64_t wallMs = m_clock.wallNow().count();
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        if (spec.repeatCount > 0 && wallMs < spec.firstStartMs + static_cast<std::int64_t>(k) * spec.intervalMs) {
            return; // later occurrences are not due either
        }
        OccurrenceState &occurrence = job.occurrences[k];
        for (std::uint32_t s = 0; s < occurrence.steps.size() && occurrence.doneSteps < occurrence.steps.size(); ++s) {
            const bool isFinished = occurrence.steps[s].doneCount == occurrence.steps[s].tasks.size();
            if (isFinished || !arePredecessorsDone(job, k, s)) {
                continue;
            }
            spec.steps[s].isGang ? placeGang(job, k, s, now) : placeStep(job, k, s, now);
        }
    }
}

/** Why no task of the job may be placed, whatever room there is. */
WaitReason WorkflowScheduler::holdOf(const JobState &job) const
{
    const bool isNewInGrace = m_authority != Authority::Full && job.learnedAt > m_lastFullAuthorityAt;
    if (isNewInGrace && !job.isMoving) {
        return WaitReason::NewInGrace;
    }
    return job.isMoving ? WaitReason::Moving : isResting(job) ? WaitReason::Resting : WaitReason::None;
}

/** Why the waiting task may not be placed, whatever room there is. Members of gangs start and fail together. */
WaitReason WorkflowScheduler::holdOf(const TaskRef &ref, TimePoint now) const
{
    if (now < ref.task().retryAt) {
        return WaitReason::RetryDelay;
    }
    if (mayBeRunningElsewhere(ref)) {
        return WaitReason::UnreadWorkers;
    }
    if (ref.spec().isGang) {
        return WaitReason::None;
    }
    return ref.task().isGivenUp   ? WaitReason::GivenUp
           : isHeldBySuspect(ref) ? WaitReason::HeldBySuspect
                                  : WaitReason::None;
}

bool WorkflowScheduler::arePredecessorsDone(const JobState &job, std::uint32_t occurrence, std::uint32_t step) const
{
    const auto &steps = job.occurrences[occurrence].steps;
    for (const std::uint32_t it : job.accepted.spec.steps[step].after) {
        if (steps[it].doneCount < steps[it].tasks.size()) {
            return false;
        }
    }
    return true;
}

void WorkflowScheduler::placeStep(JobState &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now)
{
    const auto n = static_cast<std::uint32_t>(job.occurrences[occurrence].steps[step].tasks.size());
    std::uint32_t placed = 0;
    bool isWithoutRoom = false;
    bool isHeldByStarts = false; // some have room, but only where other jobs start
    bool isCutShort = false;     // the other tasks have their turn later in the same pass
    sortTasks(job, occurrence, step);
    for (const std::uint32_t i : m_taskOrder) {
        if (!mayPlaceInThisPass(job, job.accepted.spec.steps[step])) {
            isCutShort = true;
            break;
        }
        const TaskRef ref{&job, occurrence, step, i};
        TaskState &task = ref.task();
        if (task.phase != TaskPhase::Waiting || holdOf(ref, now) != WaitReason::None) {
            continue;
        }
        if (needsTrial(task)) {
            isWithoutRoom = isWithoutRoom || task.isWithoutTrialRoom;
            continue;
        }
        if (mayYield(ref, now)) {
            refreshStatuses(now);
        }
        const bool canShare = canShareSpareCpu(job);
        const bool isHopeless
            = !hasLongRunningStep(job.accepted.spec) && m_unplaced.covers(ref.spec(), job.accepted.pool, canShare);
        if (!isHopeless && mustStartApart(ref, now)) {
            const bool isHeld
                = isHeldByStarts
                  || (job.heldTasks == 0 && m_heldByStarts.covers(ref.spec(), job.accepted.pool, canShare));
            isHeldByStarts = isHeld;
            if (isHeld) {
                continue; // tasks that are known to start up may have room
            }
        }
        PacedStart start{isHopeless ? NoWorker : chooseWorker(ref, canShare, now)};
        if (start.worker == NoWorker && !isHopeless && m_hasRoomBesideStarts) {
            m_heldByStarts.add(ref.spec(), job.accepted.pool, canShare);
            isHeldByStarts = true;
            continue;
        }
        if (start.worker == NoWorker && isStartInDoubt(task, now)) {
            continue; // the other tasks of the step may start elsewhere
        }
        if (start.worker == NoWorker) {
            if (!isHopeless) {
                m_unplaced.add(ref.spec(), job.accepted.pool, canShare);
            }
            start = choosePacedStart(ref, now);
        }
        if (start.worker == NoWorker) {
            isWithoutRoom = true;
            if (hasExceededPlacementTimeout(job, ref.spec(), task, now)) {
                reserveWorkersFor(ref, now);
            } else if (m_isPlacingOverdueJobs && !m_isOverdueRoomReserved && !ref.spec().usesSpareCpu) {
                m_isOverdueRoomReserved = reserveWorkersFor(ref, now); // else smaller tasks take each freed piece
            }
            break; // the other tasks of the step need the same resources
        }
        startTask(ref, start.worker, nextAttempt(task), now, start.percent);
        ++placed;
    }
    TimePoint &noRoomSince = job.occurrences[occurrence].steps[step].noRoomSince;
    // Room may come and go: neither wait ends as the other begins.
    if (!isCutShort && (isWithoutRoom || !isHeldByStarts)) {
        noRoomSince = !isWithoutRoom ? TimePoint{} : noRoomSince == TimePoint{} ? now : noRoomSince;
    }
    if (!isCutShort && (isHeldByStarts || !isWithoutRoom)) {
        noteHeldByStarts(job.occurrences[occurrence].steps[step], isHeldByStarts, now);
    }
    if (placed > 0) {
        m_log.write("tasks_started",
                    "job",
                    job.key(),
                    "shard",
                    m_shard,
                    "step",
                    step,
                    "tasks",
                    placed,
                    "of",
                    n,
                    "queue",
                    job.accepted.queue,
                    "age_ms",
                    m_clock.wallNow().count() - job.accepted.acceptedMs);
    }
}

/** Lists the tasks of a step in placement order: of a long-running step, the longest wait first. */
void WorkflowScheduler::sortTasks(const JobState &job, std::uint32_t occurrence, std::uint32_t step)
{
    const auto &tasks = job.occurrences[occurrence].steps[step].tasks;
    m_taskOrder.resize(tasks.size());
    std::iota(m_taskOrder.begin(), m_taskOrder.end(), 0U);
    if (job.accepted.spec.steps[step].isLongRunning) {
        std::sort(m_taskOrder.begin(), m_taskOrder.end(), [&](std::uint32_t a, std::uint32_t b) {
            return std::pair(longestWaitSince(job, tasks[a]), a) < std::pair(longestWaitSince(job, tasks[b]), b);
        });
    }
}

/** Whether @p worker may run the task, apart from free resources, interference and what is starting up there now. */
bool WorkflowScheduler::isEligible(const WorkerState &worker, const TaskRef &ref, TimePoint now) const
{
    const Refusal refusal = isUsable(worker, now) ? unsuitableReason(worker, ref, now) : Refusal::Leaving;
    return refusal == Refusal::None || refusal == Refusal::OthersStarting;
}

/** Whether @p worker may get starts at all. */
bool WorkflowScheduler::isUsable(const WorkerState &worker, TimePoint now) const
{
    return unusableReason(worker, now) == Refusal::None;
}

/** Why @p worker may get no starts at all. */
Refusal WorkflowScheduler::unusableReason(const WorkerState &worker, TimePoint now) const
{
    if (!worker.isRegistered || worker.record.condition != WorkerCondition::Ready) {
        return Refusal::Leaving;
    }
    if (worker.unansweredRenewals > 0 || now >= worker.lastReplyAt + m_settings.contactTimeout) {
        return Refusal::Silent;
    }
    if (!worker.isConfirmed || worker.withheldNumber != 0) {
        return Refusal::Unconfirmed;
    }
    if (!worker.unknownRuns.empty()) {
        return Refusal::UnknownRuns;
    }
    if (now < worker.noStartsUntil) {
        return Refusal::BackingOff;
    }
    if (worker.isEntryOutdated || !isCapacityKnown(worker, now)) {
        return Refusal::OutdatedEntry;
    }
    if (!m_storedWorkers.contains(worker.record.id)) {
        return Refusal::Unconfirmed;
    }
    if (!mayStartIn(worker.record.failureDomain, now)) {
        return m_evacuations->isRequested(worker.record.failureDomain) ? Refusal::Evacuated : Refusal::NotConfirmable;
    }
    return Refusal::None;
}

/** Whether a usable worker may run this task. */
bool WorkflowScheduler::isSuitable(const WorkerState &worker, const TaskRef &ref, TimePoint now) const
{
    return unsuitableReason(worker, ref, now) == Refusal::None;
}

/** Why a usable worker may not run this task. */
Refusal WorkflowScheduler::unsuitableReason(const WorkerState &worker, const TaskRef &ref, TimePoint now) const
{
    const StepSpec &step = ref.spec();
    if (worker.record.pool != ref.job->accepted.pool) {
        return Refusal::OtherPool;
    }
    if (worker.isQuarantined(now) && !worker.runs.empty()) {
        return Refusal::Quarantined;
    }
    if (worker.isReservedForOther(*ref.job, now)) {
        return Refusal::Reserved;
    }
    if (!mayStartAt(ref.task(), worker, now)) {
        return Refusal::StartInDoubt;
    }
    const bool isPartOfTrial
        = worker.trialJob == ref.job->key() && worker.trialEndVersion == 0 && (step.isGang || ref.task().trial);
    if (worker.trialJob && !isPartOfTrial) {
        return Refusal::TrialOfOther;
    }
    if (!step.requiredLabel.empty() && !hasLabel(worker, step.requiredLabel)) {
        return Refusal::LacksLabel;
    }
    const bool isBelowMax = step.maxPerWorker == 0 || countRunsOfStep(worker, ref) < step.maxPerWorker;
    if (!isBelowMax) {
        return Refusal::MaxPerWorker;
    }
    if (isLeftToLongerWait(worker, ref, now)) {
        return Refusal::LongerWaits;
    }
    const bool doOthersStart = worker.startingJob != nullptr && !isStartingJobOnly(worker, *ref.job);
    return doOthersStart && mustStartApart(ref, now) ? Refusal::OthersStarting : Refusal::None;
}

/** A worker that rejects what exceeds its capacity may shrink unnoticed; any other one gets starts by a recent entry only. */
bool WorkflowScheduler::isCapacityKnown(const WorkerState &worker, TimePoint now) const
{
    const bool isEnforced = m_catalog != nullptr
                            && std::any_of(m_catalog->pools.begin(), m_catalog->pools.end(), [&worker](const Pool &it) {
                                   return it.name == worker.record.pool && it.enforcesCapacity;
                               });
    return isEnforced || m_catalog == nullptr || now <= m_registryConfirmedAt + m_settings.maxCapacityAge;
}

/** The only guard of evacuations: each start goes through isEligible(). */
bool WorkflowScheduler::mayStartIn(const std::string &failureDomain, TimePoint now) const
{
    return m_evacuations == nullptr || m_evacuations->mayStart(failureDomain, now, m_authority);
}

/** Lists the usable workers for the calls of chooseWorker() that follow at the same time. */
void WorkflowScheduler::listUsableWorkers(TimePoint now)
{
    m_usableWorkers.clear();
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        if (isUsable(*m_workers[i], now)) {
            m_usableWorkers.push_back(i);
        }
        listStartingJobs(*m_workers[i]);
    }
}

WorkerIndex WorkflowScheduler::chooseWorker(const TaskRef &ref, bool canShareSpareCpu, TimePoint now)
{
    WorkerIndex best = NoWorker;
    std::pair<bool, double> bestRank; // while starts are separated, workers where the job is starting go first
    m_hasRoomBesideStarts = false;
    for (const WorkerIndex i : m_usableWorkers) {
        const WorkerState &worker = *m_workers[i];
        const Refusal refusal = unsuitableReason(worker, ref, now);
        const bool doOthersStart = refusal == Refusal::OthersStarting;
        if ((refusal != Refusal::None && !doOthersStart) || (doOthersStart && m_hasRoomBesideStarts)) {
            continue;
        }
        const std::optional<double> score = scorePlacement(i, ref, canShareSpareCpu);
        m_hasRoomBesideStarts = m_hasRoomBesideStarts || (score && doOthersStart);
        const bool isPreferred = isStartingJobOnly(worker, *ref.job) && !ref.task().isKnownToStartUp()
                                 && ref.task().avoidedWorker != i && worker.consecutiveFailures == 0;
        if (score && !doOthersStart && (best == NoWorker || std::pair(isPreferred, *score) > bestRank)) {
            best = i;
            bestRank = {isPreferred, *score};
        }
    }
    m_hasRoomBesideStarts = m_hasRoomBesideStarts && best == NoWorker;
    return best;
}

/** Score of the task on a worker, see scoreWorker(); none if it does not fit or would slow down serving tasks there. */
std::optional<double>
WorkflowScheduler::scorePlacement(WorkerIndex index, const TaskRef &ref, bool canShareSpareCpu) const
{
    const std::optional<Candidate> candidate = describeCandidate(index, ref, canShareSpareCpu);
    return candidate ? scoreWorker(m_settings.placement, ref.spec(), *candidate) : std::nullopt;
}

/** Why the task cannot be placed on a worker now, by the same conditions as a placement. */
Refusal WorkflowScheduler::placementRefusal(WorkerIndex index, const TaskRef &ref, TimePoint now) const
{
    const WorkerState &worker = *m_workers[index];
    const Refusal unusable = unusableReason(worker, now);
    const Refusal refusal = unusable != Refusal::None ? unusable : unsuitableReason(worker, ref, now);
    if (refusal != Refusal::None && refusal != Refusal::OthersStarting) {
        return refusal;
    }
    const std::optional<Candidate> candidate = describeCandidate(index, ref, canShareSpareCpu(*ref.job));
    const Refusal room = candidate ? refusalOf(m_settings.placement, ref.spec(), *candidate) : Refusal::ServingTasks;
    return room == Refusal::None ? refusal : room;
}

/** A usable worker as a candidate for the task; none if a serving task there would suffer. */
std::optional<Candidate>
WorkflowScheduler::describeCandidate(WorkerIndex index, const TaskRef &ref, bool canShareSpareCpu) const
{
    const std::optional<double> interference = interferenceOf(*m_workers[index], ref);
    return interference ? std::optional(describeCandidate(index, ref, canShareSpareCpu, *interference)) : std::nullopt;
}

Candidate WorkflowScheduler::describeCandidate(WorkerIndex index,
                                               const TaskRef &ref,
                                               bool canShareSpareCpu,
                                               double interference) const
{
    const StepSpec &step = ref.spec();
    const TaskState &task = ref.task();
    WorkerState &worker = *m_workers[index];
    Candidate candidate;
    candidate.free = worker.freeResources();
    candidate.capacityMillis = worker.record.capacity.cpuMillis;
    candidate.reservedMillis = worker.reserved.cpuMillis;
    candidate.longRunningMillis = worker.longRunningCpuMillis;
    candidate.bestEffortMillis = worker.bestEffortCpuMillis;
    if (step.usesSpareCpu && m_settings.pressure.usesPeriodicForecast) {
        candidate.longRunningUseMillis = expectedUseMillis(worker, std::chrono::milliseconds(step.estimateMs));
    }
    candidate.hasSameImage = step.isLongRunning && hasLongRunningImage(worker, ref);
    candidate.hasSameJob = step.isLongRunning && hasTaskOfJob(worker, ref);
    candidate.interference = interference;
    candidate.isOnPreferredRack = step.preferredRack.empty() || hasLabel(worker, step.preferredRack);
    candidate.hasRecentFailure = task.avoidedWorker == index || worker.consecutiveFailures > 0;
    candidate.canShareSpareCpu = canShareSpareCpu;
    return candidate;
}

// ---------------------------------------------------------------------------------------------------------------------
// Starts
// ---------------------------------------------------------------------------------------------------------------------

std::uint64_t WorkflowScheduler::nextAttempt(const TaskState &task) const
{
    return std::max(task.attempt, task.attemptBase + (m_term.epoch - 1) * AttemptsPerEpoch) + 1;
}

void WorkflowScheduler::reserveResources(const TaskRef &ref, WorkerIndex index)
{
    WorkerState &worker = *m_workers[index];
    TaskState &task = ref.task();
    const StepSpec &step = ref.spec();
    task.phase = TaskPhase::Starting;
    task.worker = index;
    worker.runs.push_back(ref);
    worker.outlook.at = {};
    m_unpromisedAt = {};
    Resources need = step.need;
    if (step.usesSpareCpu) {
        worker.bestEffortCpuMillis += need.cpuMillis;
        need.cpuMillis = 0;
    }
    worker.reserved += need;
    worker.longRunningCpuMillis += step.isLongRunning ? need.cpuMillis : 0;
    ++ref.job->heldTasks;
}

void WorkflowScheduler::releaseResources(const TaskRef &ref)
{
    TaskState &task = ref.task();
    WorkerState &worker = *m_workers[task.worker];
    const StepSpec &step = ref.spec();
    Resources need = step.need;
    if (step.usesSpareCpu) {
        worker.bestEffortCpuMillis -= need.cpuMillis;
        need.cpuMillis = 0;
    }
    worker.reserved -= need;
    worker.longRunningCpuMillis -= step.isLongRunning ? need.cpuMillis : 0;
    std::erase(worker.runs, ref);
    worker.outlook.at = {};
    m_unpromisedAt = {};
    task.worker = NoWorker;
    --ref.job->heldTasks;
    m_isPlacementDue = true;
}

void WorkflowScheduler::releaseAndRequeue(const TaskRef &ref)
{
    releaseResources(ref);
    if (ref.task().phase != TaskPhase::Done) {
        requeueTask(ref, Duration::zero());
    }
}

void WorkflowScheduler::requeueTask(const TaskRef &ref, Duration delay)
{
    TaskState &task = ref.task();
    if (task.trial && task.trial->isOrdered) {
        endTrial(ref);
    }
    task.phase = TaskPhase::Waiting;
    if (std::exchange(task.hasBegun, false)) {
        task.waitingSince = m_now;
        task.startTriedSince = {};
    }
    task.retryAt = m_now + delay;
    m_isPlacementDue = true;
}

void WorkflowScheduler::startTask(
    const TaskRef &ref, WorkerIndex index, std::uint64_t attempt, TimePoint now, int percent)
{
    reserveResources(ref, index);
    WorkerState &worker = *m_workers[index];
    TaskState &task = ref.task();
    const StepSpec &step = ref.spec();
    task.attempt = attempt;
    task.isRunUnheard = !canFormerLeaderHear(worker, now);
    task.isAccountedFor = task.isAccountedFor || task.isRunUnheard;
    task.isAcknowledged = false;
    task.hasBegun = false;
    task.isStopAcknowledged = false;
    task.startedAt = now;
    task.hasStartedUp = false;
    const bool isInDoubt = isStartInDoubt(task, now);
    task.openStarts = isInDoubt ? task.openStarts : 0;
    task.startTriedSince = isInDoubt && task.startTriedSince != TimePoint{} ? task.startTriedSince : now;
    noteStartingJob(worker, ref);
    task.idleSince = {};
    task.percent = 100;
    task.pendingPercent = percent < 100 ? std::optional(static_cast<std::uint8_t>(percent)) : std::nullopt;
    task.gauge = 0;
    task.overTargetSince = {};
    task.stalledSince = {};
    if (ref.job->state == WorkflowState::Queued) {
        ref.job->state = WorkflowState::Running;
        m_scarcityOrder.addFirstStart(*ref.job, m_clock.wallNow().count());
        if (m_observer != nullptr) {
            m_observer->onFirstStart(ref.job->accepted.queue, jobAge(*ref.job));
        }
        markDirty(*ref.job);
    }
    ++m_counters.starts;
    if (isOverdue(*ref.job)) {
        m_overdueShares[ref.job->accepted.pool].addStart(step);
    }
    m_recentStarts.push_back({ref.job->accepted.acceptedMs, ref.job->accepted.pool, step.usesSpareCpu});
    sendStart(ref);
}

// ---------------------------------------------------------------------------------------------------------------------
// Stops, and ends of tasks and jobs
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::stopTask(const TaskRef &ref, std::string_view why)
{
    TaskState &task = ref.task();
    if (task.phase != TaskPhase::Starting && task.phase != TaskPhase::Running) {
        return;
    }
    ++m_counters.stops;
    logTaskEvent("run_stop", ref, "worker", m_workers[task.worker]->record.id, "why", why);
    task.phase = TaskPhase::Stopping;
    m_workers[task.worker]->outlook.at = {};
    m_unpromisedAt = {};
    task.isStopAcknowledged = false;
    sendStopOrder(ref);
}

void WorkflowScheduler::sendStopOrder(const TaskRef &ref)
{
    TaskState &task = ref.task();
    const WorkerState &worker = *m_workers[task.worker];
    task.orderedAt = m_clock.now();
    const RunName run{ref.name(), task.attempt};
    m_port.stop(target(worker),
                run,
                ifAlive([this, ref, key = ref.job->key(), attempt = task.attempt, fence = worker.fence](
                            const OrderReply &reply) {
                    if (findJob(key) != ref.job) {
                        return;
                    }
                    TaskState &it = ref.task();
                    if (it.phase != TaskPhase::Stopping || it.attempt != attempt) {
                        return;
                    }
                    if (reply.status == OrderStatus::Accepted || reply.status == OrderStatus::Superseded) {
                        it.isStopAcknowledged = true;
                        it.answeredAt = m_clock.now();
                    } else if (reply.status == OrderStatus::Fenced && it.worker != NoWorker
                               && m_workers[it.worker]->fence == fence) {
                        m_isDeposed = true;
                    }
                }));
}

void WorkflowScheduler::finishTask(const TaskRef &ref, bool isCurrentRun)
{
    OccurrenceState &occurrence = ref.job->occurrences[ref.occurrence];
    StepState &step = occurrence.steps[ref.step];
    auto &tasks = step.tasks;
    // A former leader has not learned of the end of an unheard run, so it cannot have started what depends on the step. In
    // a gang the end of any member that is not unheard would tell it.
    const auto isUnheard = [](const TaskState &it) { return it.isRunUnheard; };
    const bool isOurs = ref.spec().isGang ? std::all_of(tasks.begin(), tasks.end(), isUnheard) : isUnheard(ref.task());
    step.isCompletionOurs = step.isCompletionOurs || (isCurrentRun && isOurs);
    // The end of one gang member completes all. The others keep their resources until their own ends are reported.
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        if (i == ref.index || ref.spec().isGang) {
            const bool isNewlyDone = tasks[i].phase != TaskPhase::Done;
            step.doneCount += isNewlyDone ? 1 : 0;
            if (isNewlyDone && ref.spec().usesSpareCpu) {
                m_bestEffortRate.add(stepWork(ref.spec(), 1), m_clock.now());
            }
            tasks[i].phase = TaskPhase::Done;
        }
    }
    if (step.doneCount < tasks.size()) {
        return;
    }
    if (++occurrence.doneSteps < occurrence.steps.size()) {
        return;
    }
    const auto isDone = [](const OccurrenceState &it) { return it.doneSteps == it.steps.size(); };
    if (std::all_of(ref.job->occurrences.begin(), ref.job->occurrences.end(), isDone)) {
        finishJob(*ref.job, WorkflowState::Completed);
    }
}

void WorkflowScheduler::failJob(JobState &job, std::string_view why)
{
    if (hasOnlyIndependentLongRunningTasks(job.accepted.spec)) {
        m_jobsWithGuests.insert(job.key());
    }
    job.failure = why;
    finishJob(job, WorkflowState::Failed);
    stopAllTasks(job, why);
}

void WorkflowScheduler::stopAllTasks(JobState &job, std::string_view why)
{
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
            for (std::uint32_t i = 0; i < job.occurrences[k].steps[s].tasks.size(); ++i) {
                stopTask({&job, k, s, i}, why);
            }
        }
    }
}

Duration WorkflowScheduler::jobAge(const JobState &job) const
{
    return m_clock.wallNow() - std::chrono::milliseconds(job.accepted.acceptedMs);
}

void WorkflowScheduler::finishJob(JobState &job, WorkflowState state)
{
    endTrials(job);
    if (m_observer != nullptr && !job.isGuest) {
        m_observer->onFinal(job.accepted.queue, state, jobAge(job));
    }
    const auto ageMs = m_clock.wallNow().count() - job.accepted.acceptedMs;
    if (state == WorkflowState::Failed) {
        m_log.writeImportant("job_failed", "job", job.key(), "why", job.failure);
    }
    m_log.write(
        "job_final", "job", job.key(), "state", static_cast<int>(state), "queue", job.accepted.queue, "age_ms", ageMs);
    job.state = state;
    m_scarcityOrder.addEnd(job, m_clock.wallNow().count());
    m_cpuSharingJob = m_cpuSharingJob == &job ? nullptr : m_cpuSharingJob;
    m_activeJobs.erase(job.key());
    std::erase(m_jobOrder, &job);
    std::erase(m_overdueJobs, &job);
    m_finalJobs.emplace_back(m_clock.now(), job.key());
    markDirty(job);
}

} // namespace QuetzalRock::Workflow
