/** Queue order, admission and the choice of a worker. */
#include <placement/placementengine.h>

#include <cassert>
#include <limits>

namespace QuetzalRock {

namespace {

constexpr int UrgentBand = 0;
constexpr int BatchBand = 2;
constexpr double MinLearnedGrowth = 1.05; ///< learned over declared size above which a start requests more

double fraction(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

Resources multiplied(const Resources &one, std::int64_t n)
{
    return {one.cpuMillis * n, one.memoryMib * n, one.accelerators * n};
}

std::int64_t countFitting(const Resources &need, const Resources &available)
{
    std::int64_t n = std::numeric_limits<std::int32_t>::max();
    if (need.cpuMillis > 0) {
        n = std::min(n, available.cpuMillis / need.cpuMillis);
    }
    if (need.memoryMib > 0) {
        n = std::min(n, available.memoryMib / need.memoryMib);
    }
    if (need.accelerators > 0) {
        n = std::min(n, available.accelerators / need.accelerators);
    }
    return std::max<std::int64_t>(0, n);
}

bool usesAny(const Resources &need, const Resources &shortfall)
{
    return (shortfall.cpuMillis > 0 && need.cpuMillis > 0) || (shortfall.memoryMib > 0 && need.memoryMib > 0)
           || (shortfall.accelerators > 0 && need.accelerators > 0);
}

std::string describe(const Resources &it)
{
    return std::to_string(it.cpuMillis) + " CPU millis, " + std::to_string(it.memoryMib) + " MiB, "
           + std::to_string(it.accelerators) + " accelerators";
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// One round of decisions
// ---------------------------------------------------------------------------------------------------------------------

Decisions PlacementEngine::decide(TimePoint now)
{
    m_now = std::max(m_now, now);
    Decisions out;
    if (m_hasNewWorker) {
        m_lastWorkerAddedAt = now;
        m_hasNewWorker = false;
    }
    requeueDueTasks(now);
    for (const WorkerIndex it : m_health.beginDueProbes(now)) {
        m_ledger.setQuarantined(it, false);
    }
    if (m_model.refresh(now)) {
        for (WorkerIndex it = 0; it < m_ledger.size(); ++it) {
            refreshServicePredictions(it);
        }
    }
    reportUnrunnable(now, out);
    dropUnusableHolds();
    runGuards(now, out);
    refillShardTokens(now);
    m_refusedRequests.clear();
    for (int band = 0; band < BandCount; ++band) {
        dispatch(band, now, out);
    }
    return out;
}

void PlacementEngine::dispatch(int band, TimePoint now, Decisions &out)
{
    struct Turn
    {
        double share;
        TenantSlot tenant;
        int searches; ///< searches for a worker that led to no start
        int skipped;  ///< jobs that were not started and took no search
        QueueKey after;
        Resources shortfall; ///< quota missing for an earlier job, which later jobs must not use up

        bool operator>(const Turn &other) const
        {
            return std::tie(share, tenant) > std::tie(other.share, other.tenant);
        }
    };
    const QueueKey first{std::numeric_limits<std::int64_t>::min(), 0, 0};
    const Resources total = m_ledger.openCapacity();
    std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
    for (TenantSlot it = 0; it < m_tenants.size(); ++it) {
        if (!m_tenants[it].queues[band].empty()) {
            turns.push({m_tenants.dominantShare(it, total), it, 0, 0, first, {}});
        }
    }
    while (!turns.empty()) {
        Turn turn = turns.top();
        turns.pop();
        QueueKey key = turn.after;
        JobSlot slot = 0;
        if (!nextJob(turn.tenant, band, key, slot)) {
            continue;
        }
        const bool usesShortQuota = usesAny(m_jobs[slot].spec.resources, turn.shortfall);
        const StartOutcome outcome = usesShortQuota ? markOverQuota(slot) : tryStart(slot, now, out);
        if (outcome == StartOutcome::RateLimited) {
            return;
        }
        if (outcome == StartOutcome::OverQuota && !usesShortQuota) {
            const Job &job = m_jobs[slot];
            const std::int64_t n = job.spec.gang ? static_cast<std::int64_t>(job.ready.size()) : 1;
            turn.shortfall += m_tenants.quotaShortfall(turn.tenant, multiplied(requestedResources(job), n));
        }
        if (outcome == StartOutcome::Started) {
            turn.share = m_tenants.dominantShare(turn.tenant, total);
        } else {
            turn.after = key;
            ++(outcome == StartOutcome::Blocked ? turn.searches : turn.skipped);
        }
        if (turn.searches <= m_settings.backfillDepth && turn.skipped <= m_settings.skipDepth) {
            turns.push(turn);
        }
    }
}

bool PlacementEngine::nextJob(TenantSlot tenant, int band, QueueKey &after, JobSlot &out) const
{
    const std::set<QueueKey> &queue = m_tenants[tenant].queues[band];
    const auto it = queue.upper_bound(after);
    if (it == queue.end()) {
        return false;
    }
    after = *it;
    out = std::get<JobSlot>(*it);
    return true;
}

// ---------------------------------------------------------------------------------------------------------------------
// One job
// ---------------------------------------------------------------------------------------------------------------------

PlacementEngine::StartOutcome PlacementEngine::tryStart(JobSlot slot, TimePoint now, Decisions &out)
{
    Job &job = m_jobs[slot];
    if (!dropStaleReady(job)) {
        dequeue(slot);
        releaseHolds(slot);
        return StartOutcome::NothingReady;
    }
    if (m_shardTokens < 1) {
        job.waitReason = WaitReason::RateLimit;
        return StartOutcome::RateLimited;
    }
    return job.spec.gang && job.spec.taskCount > 1 ? tryStartGang(slot, now, out) : tryStartTask(slot, now, out);
}

/** Drops stale entries from the top of Job::ready; false if no task is ready. */
bool PlacementEngine::dropStaleReady(Job &job)
{
    while (!job.ready.empty() && job.tasks[job.ready.back()].stage != PlacementStage::Pending) {
        job.ready.pop_back();
    }
    return !job.ready.empty();
}

PlacementEngine::StartOutcome PlacementEngine::markBlocked(JobSlot slot, WaitReason reason)
{
    m_jobs[slot].waitReason = reason;
    return StartOutcome::Blocked;
}

PlacementEngine::StartOutcome PlacementEngine::markOverQuota(JobSlot slot)
{
    m_jobs[slot].waitReason = WaitReason::Quota;
    return StartOutcome::OverQuota;
}

PlacementEngine::StartOutcome PlacementEngine::tryStartTask(JobSlot slot, TimePoint now, Decisions &out)
{
    Job &job = m_jobs[slot];
    const Resources need = requestedResources(job);
    if (!m_tenants.fitsQuota(job.tenant, need)) {
        return markOverQuota(slot);
    }
    if (!fitsHeadroom(job, need)) {
        holdWorkerForBlocked(slot, need);
        return markBlocked(slot, WaitReason::Headroom);
    }
    prepareSpreadCounts(job);
    WorkerChoice choice = chooseHeldWorker(slot, need, now);
    WaitReason knownReason = WaitReason::None;
    if (choice.worker == NoWorker && isKnownRefusal(job, need, knownReason)) {
        choice.refusal = knownReason;
    } else if (choice.worker == NoWorker) {
        choice = chooseWorker(slot, need, now);
    }
    if (choice.worker == NoWorker) {
        if (knownReason != WaitReason::None) {
            markBlocked(slot, knownReason);
            return StartOutcome::KnownRefusal;
        }
        rememberRefusal(job, need, choice.refusal);
        return choice.refusal == WaitReason::Capacity ? blockForCapacity(slot, need, now, out)
                                                      : markBlocked(slot, choice.refusal);
    }
    startTask({slot, job.ready.back()}, choice, need, now, out);
    return StartOutcome::Started;
}

PlacementEngine::StartOutcome
PlacementEngine::blockForCapacity(JobSlot slot, const Resources &need, TimePoint now, Decisions &out)
{
    Job &job = m_jobs[slot];
    if (job.band != UrgentBand) {
        holdWorkerForBlocked(slot, need);
        return markBlocked(slot, WaitReason::Capacity);
    }
    const TimePoint since = job.tasks[job.ready.back()].stageTime;
    while (now - since >= m_settings.preemptAfter && job.heldWorkers.size() < job.ready.size()) {
        if (!preemptForUrgent(slot, need, now, out)) {
            break;
        }
    }
    return markBlocked(slot, WaitReason::Capacity);
}

PlacementEngine::StartOutcome PlacementEngine::tryStartGang(JobSlot slot, TimePoint now, Decisions &out)
{
    Job &job = m_jobs[slot];
    std::erase_if(job.ready, [&job](std::uint32_t it) { return job.tasks[it].stage != PlacementStage::Pending; });
    const auto n = static_cast<std::uint32_t>(job.ready.size());
    if (n < job.unfinished - job.active) {
        return markBlocked(slot, WaitReason::Backoff);
    }
    const Resources need = requestedResources(job);
    if (!m_tenants.fitsQuota(job.tenant, multiplied(need, n))) {
        return markOverQuota(slot);
    }
    if (!fitsHeadroom(job, multiplied(need, n))) {
        holdWorkersForGang(slot, need, n);
        return markBlocked(slot, WaitReason::Headroom);
    }
    if (m_shardTokens < std::min<double>(n, m_settings.shardStartBurst)) {
        return markBlocked(slot, WaitReason::RateLimit);
    }
    prepareSpreadCounts(job);
    if (!hasCapacityForGang(slot, need, n, now)) {
        holdWorkersForGang(slot, need, n);
        return markBlocked(slot, WaitReason::Gang);
    }
    Decisions trial;
    while (!job.ready.empty()) {
        WorkerChoice choice = chooseHeldWorker(slot, need, now);
        if (choice.worker == NoWorker) {
            choice = chooseWorker(slot, need, now);
        }
        if (choice.worker == NoWorker) {
            for (const StartDecision &it : trial.starts) {
                const TaskRef ref{slot, it.task.index};
                m_views[job.tasks[ref.index].worker].startTokens += 1;
                m_shardTokens += 1;
                releaseFromWorker(ref, now);
                makePending(ref, job.tasks[ref.index].stageTime);
            }
            m_counters.starts -= trial.starts.size();
            return markBlocked(slot, choice.refusal == WaitReason::Capacity ? WaitReason::Gang : choice.refusal);
        }
        startTask({slot, job.ready.back()}, choice, need, now, trial);
    }
    out.starts.insert(out.starts.end(), trial.starts.begin(), trial.starts.end());
    releaseHolds(slot);
    return StartOutcome::Started;
}

void PlacementEngine::startTask(
    TaskRef ref, const WorkerChoice &choice, const Resources &need, TimePoint now, Decisions &out)
{
    Job &job = m_jobs[ref.job];
    assert(m_ledger.fits(choice.worker, need));
    detail::WorkerView &view = m_views[choice.worker];
    job.ready.pop_back();
    job.waitReason = WaitReason::None;
    assignToWorker(ref, choice.worker, need, now);
    view.startTokens -= 1;
    m_shardTokens -= 1;
    if (view.spreadStamp != m_spreadStamp) {
        view.spreadStamp = m_spreadStamp;
        view.spreadCount = 0;
    }
    ++view.spreadCount;
    ++m_counters.starts;
    if (view.holdingJob == ref.job) {
        view.holdingJob = detail::NoJob;
        --m_heldWorkers;
        std::erase(job.heldWorkers, choice.worker);
        updateHeldCpu(job);
        if (job.heldWorkers.empty()) {
            releaseHolds(ref.job);
        }
    }
    std::string reason = "lowest cost of the workers compared: " + std::to_string(choice.cost);
    out.starts.push_back({m_jobs.idOf(ref), m_ledger.worker(choice.worker).id, std::move(reason)});
    if (job.ready.empty()) {
        dequeue(ref.job);
        releaseHolds(ref.job);
    }
}

Resources PlacementEngine::requestedResources(const Job &job) const
{
    const Resources &declared = job.spec.resources;
    Resources grown = declared;
    if (job.cpuRatio > MinLearnedGrowth && isEvictable(job)) {
        const double factor = job.cpuRatio * m_settings.overuseMargin;
        grown.cpuMillis = static_cast<std::int64_t>(static_cast<double>(declared.cpuMillis) * factor);
    }
    if (job.memoryRatio > MinLearnedGrowth) {
        const double factor = job.memoryRatio * m_settings.overuseMargin;
        grown.memoryMib = static_cast<std::int64_t>(static_cast<double>(declared.memoryMib) * factor);
    }
    const bool isUsable = grown == declared
                          || (m_ledger.fitsSomeEmptyWorker(grown) && grown.fitsIn(m_tenants[job.tenant].quota.limit)
                              && (!job.spec.gang || canHaveAtOnce(job, grown)));
    return isUsable ? grown : declared;
}

/** True if the unfinished tasks of a gang, of the size @p need each, can start together once nothing else runs. */
bool PlacementEngine::canHaveAtOnce(const Job &job, const Resources &need) const
{
    const std::int64_t n = std::max<std::int64_t>(1, job.unfinished - job.active);
    const Resources total = multiplied(need, n);
    return total.fitsIn(m_tenants[job.tenant].quota.limit)
           && (job.band != BatchBand || total.cpuMillis <= headroomLimit()) && countIdleStarts(need, n) >= n;
}

/** Number of tasks of @p need that open, healthy workers would start at once if they were idle; stops at @p enough. */
std::int64_t PlacementEngine::countIdleStarts(const Resources &need, std::int64_t enough) const
{
    const auto burst = static_cast<std::int64_t>(m_settings.workerStartBurst);
    std::int64_t n = 0;
    for (WorkerIndex it = 0; it < m_ledger.size() && n < enough; ++it) {
        const WorkerSlot &worker = m_ledger.worker(it);
        const bool isOpen = worker.state == VmState::Live && !worker.isQuarantined;
        n += isOpen && m_health.health(it) == WorkerHealth::Healthy
                 ? std::min(burst, countFitting(need, worker.capacity))
                 : 0;
    }
    return n;
}

bool PlacementEngine::fitsHeadroom(const Job &job, const Resources &need) const
{
    if (job.band != BatchBand) {
        return true;
    }
    const std::int64_t otherHeldCpu = m_heldCpuMillis - job.heldCpuMillis;
    return m_ledger.openReserved().cpuMillis + otherHeldCpu + need.cpuMillis <= headroomLimit();
}

/** Processors that batch work may reserve on the open workers. */
std::int64_t PlacementEngine::headroomLimit() const
{
    return m_ledger.openCapacity().cpuMillis / 1000 * (1000 - m_settings.headroomPermille);
}

// ---------------------------------------------------------------------------------------------------------------------
// Start rate limits (token buckets)
// ---------------------------------------------------------------------------------------------------------------------

void PlacementEngine::refillTokens(WorkerIndex worker, TimePoint now)
{
    detail::WorkerView &view = m_views[worker];
    if (now <= view.startTokensAt) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - view.startTokensAt;
    view.startTokens += elapsed.count() * m_settings.workerStartsPerSecond;
    view.startTokens = std::min(view.startTokens, m_settings.workerStartBurst);
    view.startTokensAt = now;
}

void PlacementEngine::refillShardTokens(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - std::min(now, m_shardTokensAt);
    m_shardTokens += elapsed.count() * m_settings.shardStartsPerSecond;
    m_shardTokens = std::min(m_shardTokens, m_settings.shardStartBurst);
    m_shardTokensAt = now;
}

// ---------------------------------------------------------------------------------------------------------------------
// Choice of a worker
// ---------------------------------------------------------------------------------------------------------------------

/** Counts the job's active tasks by worker and rack, so that tasks of services and watches are spread. */
void PlacementEngine::prepareSpreadCounts(const Job &job)
{
    ++m_spreadStamp;
    if (job.spec.kind != WorkloadKind::Batch) {
        countTasksPerWorker(job);
    }
}

void PlacementEngine::countTasksPerWorker(const Job &job)
{
    m_tasksPerRack.assign(m_ledger.rackCount(), 0);
    for (const Task &it : job.tasks) {
        if (it.stage != PlacementStage::Active) {
            continue;
        }
        detail::WorkerView &view = m_views[it.worker];
        if (view.spreadStamp != m_spreadStamp) {
            view.spreadStamp = m_spreadStamp;
            view.spreadCount = 0;
        }
        ++view.spreadCount;
        ++m_tasksPerRack[m_ledger.worker(it.worker).rackIndex];
    }
}

/** None if holds, past failures, health and rate limit allow the job on the worker. Ignores capacity and cost. */
WaitReason PlacementEngine::checkEligibility(WorkerIndex worker, JobSlot slot, TimePoint now)
{
    const detail::WorkerView &view = m_views[worker];
    const Job &job = m_jobs[slot];
    if (view.holdingJob != detail::NoJob && view.holdingJob != slot) {
        return WaitReason::Capacity;
    }
    if (!job.failedWorkers.empty() && job.failedWorkers.size() < m_ledger.openWorkers()
        && std::find(job.failedWorkers.begin(), job.failedWorkers.end(), worker) != job.failedWorkers.end()) {
        return WaitReason::Capacity;
    }
    if (m_health.health(worker) == WorkerHealth::Probation) {
        const bool isSuitableProbe = isEvictable(job) && !job.spec.gang && view.tasks.empty();
        if (!isSuitableProbe) {
            return WaitReason::Capacity;
        }
    }
    refillTokens(worker, now);
    return view.startTokens >= 1 ? WaitReason::None : WaitReason::RateLimit;
}

PlacementEngine::WorkerChoice PlacementEngine::chooseHeldWorker(JobSlot slot, const Resources &need, TimePoint now)
{
    WorkerChoice best;
    for (const WorkerIndex it : m_jobs[slot].heldWorkers) {
        if (!m_ledger.fits(it, need) || checkEligibility(it, slot, now) != WaitReason::None) {
            continue;
        }
        const double cost = placementCost(slot, it, need);
        if (best.worker == NoWorker || cost < best.cost) {
            best = {it, cost, WaitReason::None};
        }
    }
    return best;
}

PlacementEngine::WorkerChoice PlacementEngine::chooseWorker(JobSlot slot, const Resources &need, TimePoint now)
{
    WorkerChoice best;
    int compared = 0;
    const auto from = static_cast<WorkerIndex>(m_random.next() % std::max(1U, m_ledger.size()));
    m_ledger.forEachFitting(need, from, [&](WorkerIndex it) {
        const WaitReason refusal = checkEligibility(it, slot, now);
        if (refusal != WaitReason::None) {
            best.refusal
                = refusal == WaitReason::RateLimit && best.refusal == WaitReason::Capacity ? refusal : best.refusal;
            return true;
        }
        const double cost = placementCost(slot, it, need);
        if (!isCostAcceptable(slot, it, cost, now)) {
            best.refusal = WaitReason::Interference;
        } else if (best.worker == NoWorker || cost < best.cost) {
            best.worker = it;
            best.cost = cost;
        }
        return ++compared < m_settings.candidateLimit;
    });
    m_counters.candidates += static_cast<std::uint64_t>(compared);
    return best;
}

bool PlacementEngine::isCostAcceptable(JobSlot slot, WorkerIndex worker, double cost, TimePoint now) const
{
    const Job &job = m_jobs[slot];
    if (!isEvictable(job) || m_views[worker].services.empty()) {
        return true;
    }
    const std::chrono::duration<double> waited = now - job.tasks[job.ready.back()].stageTime;
    return cost <= batchWorth(job) * (1 + std::max(0.0, waited / m_settings.agingPeriod));
}

double PlacementEngine::placementCost(JobSlot slot, WorkerIndex worker, const Resources &need) const
{
    const Job &job = m_jobs[slot];
    return job.spec.kind == WorkloadKind::Batch ? batchCost(job, worker, need) : serviceCost(job, worker, need);
}

double PlacementEngine::batchCost(const Job &job, WorkerIndex worker, const Resources &need) const
{
    const WorkerSlot &slot = m_ledger.worker(worker);
    double risk = 0;
    const double harm = interferenceCost(worker, job.classIndex, expectedShare(job, worker), risk);
    const std::int64_t freeMillis = slot.capacity.cpuMillis - slot.reserved.cpuMillis - need.cpuMillis;
    const double freeFraction = fraction(freeMillis, slot.capacity.cpuMillis);
    return m_settings.weights.tailLatency * harm + m_settings.weights.evictions * m_settings.evictionRisk * risk
           + m_settings.weights.throughput * m_settings.packingCost * freeFraction;
}

double PlacementEngine::serviceCost(const Job &job, WorkerIndex worker, const Resources &need) const
{
    const WorkerSlot &slot = m_ledger.worker(worker);
    const detail::WorkerView &view = m_views[worker];
    double risk = 0;
    double cost = interferenceCost(worker, job.classIndex, expectedShare(job, worker), risk);
    ServiceSample sample;
    sample.service = job.classIndex;
    sample.neighbours = view.residency.current();
    cost += penaltyAt(m_model.predict(sample));
    cost *= m_settings.weights.tailLatency;
    const std::uint32_t tasksHere = view.spreadStamp == m_spreadStamp ? view.spreadCount : 0;
    cost += m_settings.workerSpreadCost * tasksHere;
    cost += m_settings.rackSpreadCost * (m_tasksPerRack.empty() ? 0 : m_tasksPerRack[slot.rackIndex]);
    const std::int64_t used = slot.reserved.cpuMillis + need.cpuMillis;
    return cost + m_settings.loadSpreadCost * fraction(used, slot.capacity.cpuMillis);
}

/** Increase of the services' penalties by one more neighbour on @p worker. @p risk: the same during a load surge. */
double PlacementEngine::interferenceCost(WorkerIndex worker, ClassIndex neighbour, float share, double &risk) const
{
    const auto logSurge = static_cast<float>(std::log(m_settings.surgeFactor));
    const auto logExploreBelow = static_cast<float>(std::log(m_settings.exploreBelow));
    const auto logCautionAbove = static_cast<float>(std::log(m_settings.cautionAbove));
    double harm = 0;
    for (const detail::ServiceView &it : m_views[worker].services) {
        float slowdown = m_model.slowdown(it.classIndex, neighbour);
        const float uncertainty = m_model.uncertainty(it.classIndex, neighbour);
        if (it.logRatio < logExploreBelow) {
            slowdown = std::max(0.0F, slowdown - static_cast<float>(m_settings.exploration) * uncertainty);
        } else if (it.logRatio > logCautionAbove) {
            slowdown += uncertainty;
        }
        const float after = it.logRatio + slowdown * share;
        harm += penaltyAt(after) - it.penalty;
        risk += penaltyAt(after + logSurge) - penaltyAt(it.logRatio + logSurge);
    }
    return harm;
}

/** Value of running a task of @p job, in the unit of cost. */
double PlacementEngine::batchWorth(const Job &job) const
{
    const double processors = static_cast<double>(job.spec.resources.cpuMillis) / 1000;
    return m_settings.weights.throughput * m_settings.batchBenefit * processors;
}

bool PlacementEngine::isKnownRefusal(const Job &job, const Resources &need, WaitReason &reason) const
{
    for (const RefusedRequest &it : m_refusedRequests) {
        const bool sameClass = it.reason != WaitReason::Interference || it.classIndex == job.classIndex;
        if (it.band == job.band && sameClass && it.need.fitsIn(need)) {
            reason = it.reason;
            return true;
        }
    }
    return false;
}

void PlacementEngine::rememberRefusal(const Job &job, const Resources &need, WaitReason reason)
{
    constexpr std::size_t MaxRefusals = 16;
    const bool isJobSpecific
        = job.spec.kind != WorkloadKind::Batch || !job.failedWorkers.empty() || !job.heldWorkers.empty();
    WaitReason knownReason = WaitReason::None;
    if (!isJobSpecific && m_refusedRequests.size() < MaxRefusals && !isKnownRefusal(job, need, knownReason)) {
        m_refusedRequests.push_back({need, job.band, reason, job.classIndex});
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Holds: workers reserved for a blocked job, so that jobs behind it in the queue cannot delay it
// ---------------------------------------------------------------------------------------------------------------------

void PlacementEngine::holdWorker(JobSlot slot, WorkerIndex worker)
{
    assert(m_views[worker].holdingJob == detail::NoJob);
    m_views[worker].holdingJob = slot;
    ++m_heldWorkers;
    Job &job = m_jobs[slot];
    if (job.heldWorkers.empty()) {
        m_holdingJobs.push_back(slot);
    }
    job.heldWorkers.push_back(worker);
    updateHeldCpu(job);
}

/**
 * Counts the free processors of the held workers as used in the headroom check. They grow as tasks on these workers
 * end, and jobs behind in the queue must not use up the batch limit in the meantime.
 */
void PlacementEngine::updateHeldCpu(Job &job)
{
    m_heldCpuMillis -= job.heldCpuMillis;
    job.heldCpuMillis = 0;
    const std::int64_t tasksAtOnce = job.spec.gang ? job.spec.taskCount : 1;
    const std::int64_t maxMillis = requestedResources(job).cpuMillis * tasksAtOnce;
    for (const WorkerIndex it : job.heldWorkers) {
        const WorkerSlot &worker = m_ledger.worker(it);
        job.heldCpuMillis
            += std::clamp<std::int64_t>(worker.capacity.cpuMillis - worker.reserved.cpuMillis, 0, maxMillis);
    }
    m_heldCpuMillis += job.heldCpuMillis;
}

void PlacementEngine::releaseHolds(JobSlot slot)
{
    Job &job = m_jobs[slot];
    for (const WorkerIndex it : job.heldWorkers) {
        m_views[it].holdingJob = detail::NoJob;
        --m_heldWorkers;
    }
    job.heldWorkers.clear();
    updateHeldCpu(job);
    std::erase(m_holdingJobs, slot);
}

/** Releases holds on workers that are no longer open, and all holds of jobs without a ready task. */
void PlacementEngine::dropUnusableHolds()
{
    const std::vector<JobSlot> holders = m_holdingJobs;
    for (const JobSlot slot : holders) {
        Job &job = m_jobs[slot];
        std::erase_if(job.heldWorkers, [this](WorkerIndex it) {
            const WorkerSlot &worker = m_ledger.worker(it);
            if (worker.state == VmState::Live && !worker.isQuarantined) {
                return false;
            }
            m_views[it].holdingJob = detail::NoJob;
            --m_heldWorkers;
            return true;
        });
        if (job.heldWorkers.empty() || !dropStaleReady(job)) {
            releaseHolds(slot);
        }
        updateHeldCpu(job);
    }
}

/** Number of tasks of @p need that fit on the worker once its evictable tasks have ended. */
std::uint32_t PlacementEngine::tasksFittingAfterDrain(WorkerIndex worker, const Resources &need) const
{
    const WorkerSlot &slot = m_ledger.worker(worker);
    const Resources drained = slot.capacity - slot.reserved - slot.overuse + m_views[worker].evictableReserved;
    return static_cast<std::uint32_t>(countFitting(need, drained));
}

/** The worker that misses least capacity for @p need, of those where it fits once the evictable tasks have ended. */
WorkerIndex PlacementEngine::findWorkerToHold(const Resources &need) const
{
    WorkerIndex best = NoWorker;
    double leastShortfall = std::numeric_limits<double>::max();
    for (WorkerIndex it = 0; it < m_ledger.size(); ++it) {
        const WorkerSlot &slot = m_ledger.worker(it);
        const bool isOpen = slot.state == VmState::Live && !slot.isQuarantined;
        if (!isOpen || m_views[it].holdingJob != detail::NoJob || tasksFittingAfterDrain(it, need) == 0
            || m_health.health(it) != WorkerHealth::Healthy) {
            continue;
        }
        const Resources missing = need - (slot.capacity - slot.reserved - slot.overuse);
        const double shortfall = std::max(0.0, fraction(missing.cpuMillis, slot.capacity.cpuMillis))
                                 + std::max(0.0, fraction(missing.memoryMib, slot.capacity.memoryMib))
                                 + std::max(0.0, fraction(missing.accelerators, slot.capacity.accelerators));
        if (shortfall < leastShortfall) {
            leastShortfall = shortfall;
            best = it;
        }
    }
    return best;
}

void PlacementEngine::holdWorkerForBlocked(JobSlot slot, const Resources &need)
{
    const std::uint32_t limit = std::max(1U, m_ledger.openWorkers() * m_settings.maxHeldWorkersPermille / 1000);
    const bool isLimitReached
        = static_cast<int>(m_holdingJobs.size()) >= m_settings.maxHoldingJobs || m_heldWorkers >= limit;
    if (isLimitReached || !m_jobs[slot].heldWorkers.empty()) {
        return;
    }
    const WorkerIndex worker = findWorkerToHold(need);
    if (worker != NoWorker) {
        holdWorker(slot, worker);
    }
}

bool PlacementEngine::hasCapacityForGang(JobSlot slot, const Resources &need, std::uint32_t tasks, TimePoint now)
{
    std::int64_t found = 0;
    m_ledger.forEachFitting(need, 0, [&](WorkerIndex it) {
        if (checkEligibility(it, slot, now) == WaitReason::None) {
            const WorkerSlot &worker = m_ledger.worker(it);
            const std::int64_t byCapacity = countFitting(need, worker.capacity - worker.reserved - worker.overuse);
            found += std::min(byCapacity, static_cast<std::int64_t>(m_views[it].startTokens));
        }
        return found < tasks;
    });
    return found >= tasks;
}

void PlacementEngine::holdWorkersForGang(JobSlot slot, const Resources &need, std::uint32_t tasks)
{
    const std::uint32_t limit = std::max(1U, m_ledger.openWorkers() * m_settings.maxHeldWorkersPermille / 1000);
    const bool isHolding = !m_jobs[slot].heldWorkers.empty();
    if (!isHolding && static_cast<int>(m_holdingJobs.size()) >= m_settings.maxHoldingJobs) {
        return;
    }
    std::uint32_t coveredTasks = 0;
    for (const WorkerIndex it : m_jobs[slot].heldWorkers) {
        coveredTasks += tasksFittingAfterDrain(it, need);
    }
    while (coveredTasks < tasks && m_heldWorkers < limit) {
        const WorkerIndex worker = findWorkerToHold(need);
        if (worker == NoWorker) {
            return;
        }
        holdWorker(slot, worker);
        coveredTasks += tasksFittingAfterDrain(worker, need);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Jobs that can never run
// ---------------------------------------------------------------------------------------------------------------------

/** Why the job can never run as declared; empty if it fits on idle workers and in its tenant's quota. */
std::string PlacementEngine::unrunnableReason(const Job &job) const
{
    const Resources &need = job.spec.resources;
    const std::uint32_t tasksAtOnce = job.spec.gang ? job.spec.taskCount : 1;
    if (!m_ledger.fitsSomeEmptyWorker(need)) {
        Resources largest;
        for (WorkerIndex it = 0; it < m_ledger.size(); ++it) {
            const Resources &capacity = m_ledger.worker(it).capacity;
            largest = capacity.cpuMillis > largest.cpuMillis ? capacity : largest;
        }
        return "a task needs " + describe(need) + "; no worker has that capacity, the largest has " + describe(largest);
    }
    if (!multiplied(need, tasksAtOnce).fitsIn(m_tenants[job.tenant].quota.limit)) {
        return "it needs " + describe(multiplied(need, tasksAtOnce)) + " at once; the quota of tenant "
               + job.spec.tenant + " is " + describe(m_tenants[job.tenant].quota.limit);
    }
    std::int64_t fittingTasks = 0;
    for (WorkerIndex it = 0; it < m_ledger.size() && fittingTasks < tasksAtOnce; ++it) {
        fittingTasks += countFitting(need, m_ledger.worker(it).capacity);
    }
    if (fittingTasks < tasksAtOnce) {
        return "it starts " + std::to_string(tasksAtOnce) + " tasks together; the idle workers have capacity for "
               + std::to_string(fittingTasks);
    }
    return {};
}

void PlacementEngine::reportUnrunnable(TimePoint now, Decisions &out)
{
    for (const JobId it : m_unreportedFaultyJobs) {
        TaskRef ref;
        if (m_jobs.find({it, 0}, ref)) {
            out.unrunnable.push_back({it, m_jobs[ref.job].exclusionReason});
        }
    }
    m_unreportedFaultyJobs.clear();
    if (m_ledger.size() == 0) {
        return;
    }
    std::erase_if(m_uncheckedJobs, [&](JobSlot slot) {
        Job &job = m_jobs[slot];
        std::string reason = unrunnableReason(job);
        if (reason.empty()) {
            job.isExcluded = false;
            enqueue(slot);
            return true;
        }
        // The list of workers lags: after a takeover it may be incomplete, and a job may seem to fit nowhere.
        if (now - std::max(m_lastWorkerAddedAt, job.addedAt) < m_settings.unrunnableAfter) {
            return false;
        }
        m_unrunnableJobs.push_back(slot);
        if (job.exclusionReason.empty()) {
            ++m_counters.unrunnable;
            out.unrunnable.push_back({job.spec.id, reason});
        }
        job.exclusionReason = std::move(reason);
        return true;
    });
}

void PlacementEngine::recheckUnrunnable()
{
    m_uncheckedJobs.insert(m_uncheckedJobs.end(), m_unrunnableJobs.begin(), m_unrunnableJobs.end());
    m_unrunnableJobs.clear();
}

} // namespace QuetzalRock
