/** Guards, which throttle and then evict batch tasks beside late services, and preemption for urgent tasks. */
#include <placement/placementengine.h>

#include <cmath>

namespace QuetzalRock {

namespace {

constexpr double TargetMargin = 0.05;      ///< in log latency ratio: actions aim this far below lateRatio
constexpr double MinContribution = 0.01;   ///< log slowdown that a task must cause to be throttled or evicted
constexpr double RestartLossSeconds = 10;  ///< run time lost by any eviction, even right after a checkpoint
constexpr double RecentEvictionFactor = 4; ///< factor on the eviction loss of a task during evictionCooldown
constexpr int MaxPreemptCandidates = 64;   ///< workers compared for one preemption; bounds the decision time

} // namespace

void PlacementEngine::runGuards(TimePoint now, Decisions &out)
{
    if (!m_settings.guards) {
        return;
    }
    std::vector<WorkerIndex> late;
    late.swap(m_lateWorkers);
    for (const WorkerIndex it : late) {
        m_views[it].isInLateList = false;
        protectServices(it, now, out);
    }
    std::vector<WorkerIndex> throttled;
    throttled.swap(m_throttledWorkers);
    std::sort(throttled.begin(), throttled.end());
    throttled.erase(std::unique(throttled.begin(), throttled.end()), throttled.end());
    for (const WorkerIndex it : throttled) {
        liftThrottles(it, now, out);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Late services
// ---------------------------------------------------------------------------------------------------------------------

void PlacementEngine::protectServices(WorkerIndex worker, TimePoint now, Decisions &out)
{
    // Reports lag: the neighbours that slowed the service may have ended since the measurement. Acts only if the
    // service is still predicted to be late.
    if (isStillPredictedLate(worker) && !throttleNeighbours(worker, now, out)) {
        evictNeighbour(worker, now, out);
    }
}

/** Largest increase of log latency that the task causes in any late service on the worker, throttled as it is now. */
double PlacementEngine::slowdownContribution(WorkerIndex worker, TaskRef ref) const
{
    const Task &task = m_jobs.task(ref);
    const ClassIndex neighbour = m_jobs[ref.job].classIndex;
    double most = 0;
    for (const detail::ServiceView &it : m_views[worker].services) {
        if (m_jobs.task(it.ref).lateStreak >= m_settings.lateReports) {
            const double slowdown = m_model.slowdown(it.classIndex, neighbour);
            most = std::max(most, slowdown * task.share * task.permille / 1000);
        }
    }
    return most;
}

bool PlacementEngine::isStillPredictedLate(WorkerIndex worker) const
{
    const std::vector<detail::ServiceView> &services = m_views[worker].services;
    return std::any_of(services.begin(), services.end(), [this](const detail::ServiceView &it) {
        return m_jobs.task(it.ref).lateStreak >= m_settings.lateReports
               && it.logRatio > std::log(m_settings.lateRatio) - TargetMargin;
    });
}

/** Weighted change of the services' penalties if @p neighbour used @p change more of @p worker; negative is a gain. */
double PlacementEngine::interferenceCostOfChange(WorkerIndex worker, ClassIndex neighbour, float change) const
{
    double harm = 0;
    for (const detail::ServiceView &it : m_views[worker].services) {
        harm += penaltyAt(it.logRatio + m_model.slowdown(it.classIndex, neighbour) * change) - it.penalty;
    }
    return m_settings.weights.tailLatency * harm;
}

bool PlacementEngine::throttleNeighbours(WorkerIndex worker, TimePoint now, Decisions &out)
{
    std::vector<std::pair<double, TaskRef>> candidates;
    for (const TaskRef it : m_views[worker].tasks) {
        const Task &task = m_jobs.task(it);
        const double contribution = slowdownContribution(worker, it);
        if (isEvictable(m_jobs[it.job]) && !task.isStopping && task.permille == 1000
            && contribution >= MinContribution) {
            candidates.emplace_back(-contribution, it);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    const double throttledFraction = (1000 - m_settings.throttlePermille) / 1000.0;
    bool hasActed = false;
    for (const auto &[contribution, ref] : candidates) {
        if (!isStillPredictedLate(worker) || m_recentThrottles.count(now) >= m_settings.throttlesPerMinute) {
            break;
        }
        const Job &job = m_jobs[ref.job];
        const auto change = static_cast<float>(-job.tasks[ref.index].share * throttledFraction);
        if (-interferenceCostOfChange(worker, job.classIndex, change) < batchWorth(job) * throttledFraction) {
            continue; // the gain of the services is below the loss of batch throughput
        }
        m_recentThrottles.record(now);
        ++m_counters.throttles;
        decideThrottle(
            ref, m_settings.throttlePermille, now, "a service on the same worker is above its latency target", out);
        hasActed = true;
    }
    return hasActed;
}

/**
 * Evicts the task with the smallest loss relative to its latency gain. Evicts one task at a time: reports must show the
 * effect before the next eviction.
 */
void PlacementEngine::evictNeighbour(WorkerIndex worker, TimePoint now, Decisions &out)
{
    TaskRef best;
    double bestLossPerGain = -1;
    for (const TaskRef it : m_views[worker].tasks) {
        const Job &job = m_jobs[it.job];
        const Task &task = job.tasks[it.index];
        if (!isEvictable(job) || task.isStopping || slowdownContribution(worker, it) < MinContribution) {
            continue;
        }
        const float currentShare = task.share * static_cast<float>(task.permille) / 1000;
        const double gain = -interferenceCostOfChange(worker, job.classIndex, -currentShare);
        const double lossPerGain = evictionLoss(it, now) / gain;
        if (gain >= m_settings.minEvictionGain * m_settings.weights.evictions
            && (bestLossPerGain < 0 || lossPerGain < bestLossPerGain)) {
            bestLossPerGain = lossPerGain;
            best = it;
        }
    }
    if (bestLossPerGain >= 0 && canEvict(false, now)) {
        ++m_counters.guardEvictions;
        evict(best, {}, "a service on the same worker remains above its latency target", now, out);
    }
}

void PlacementEngine::decideThrottle(TaskRef ref, int permille, TimePoint now, std::string reason, Decisions &out)
{
    const WorkerIndex worker = m_jobs.task(ref).worker;
    detail::WorkerView &view = m_views[worker];
    applyThrottle(ref, permille, now);
    view.lastActionAt = now;
    for (const detail::ServiceView &it : view.services) {
        m_jobs.task(it.ref).recoveredStreak = 0;
    }
    if (permille < 1000) {
        m_throttledWorkers.push_back(worker);
    }
    out.throttles.push_back({m_jobs.idOf(ref), permille, std::move(reason)});
}

/** Lifts throttles that cost more than they gain, once all services on @p worker have recovered for long enough. */
void PlacementEngine::liftThrottles(WorkerIndex worker, TimePoint now, Decisions &out)
{
    const detail::WorkerView &view = m_views[worker];
    bool isRecovered = now >= view.lastActionAt + m_settings.settleTime;
    for (const detail::ServiceView &it : view.services) {
        isRecovered = isRecovered && m_jobs.task(it.ref).recoveredStreak >= m_settings.recoveredReports;
    }
    bool hasThrottled = false;
    for (const TaskRef it : view.tasks) {
        const Job &job = m_jobs[it.job];
        const Task &task = job.tasks[it.index];
        if (task.permille == 1000) {
            continue;
        }
        hasThrottled = true;
        const float throttledFraction = static_cast<float>(1000 - task.permille) / 1000;
        const double harm = interferenceCostOfChange(worker, job.classIndex, task.share * throttledFraction);
        if (isRecovered && !task.isStopping
            && harm < m_settings.guardHysteresis * batchWorth(job) * throttledFraction) {
            ++m_counters.throttlesLifted;
            decideThrottle(it, 1000, now, "the services on the same worker are below their latency targets", out);
        }
    }
    if (hasThrottled) {
        m_throttledWorkers.push_back(worker);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Evictions
// ---------------------------------------------------------------------------------------------------------------------

/** Processor seconds of work lost if the task is stopped now; for a gang, of all its tasks. */
double PlacementEngine::evictionLoss(TaskRef ref, TimePoint now) const
{
    const Job &job = m_jobs[ref.job];
    const Task &task = job.tasks[ref.index];
    const std::chrono::duration<double> sinceCheckpoint
        = now - std::min(now, std::max(task.checkpointedAt, task.stageTime));
    double loss = (sinceCheckpoint.count() + RestartLossSeconds) * static_cast<double>(task.reserved.cpuMillis) / 1000;
    if (task.lastEvictedAt != TimePoint{} && now - task.lastEvictedAt < m_settings.evictionCooldown) {
        loss *= RecentEvictionFactor;
    }
    return job.spec.gang ? loss * job.spec.taskCount : loss;
}

bool PlacementEngine::canEvict(bool urgent, TimePoint now)
{
    const int limit = m_settings.evictionsPerMinute - (urgent ? 0 : m_settings.urgentEvictionsPerMinute);
    if (m_recentEvictions.count(now) < limit) {
        return true;
    }
    ++m_counters.evictionsRefused;
    return false;
}

void PlacementEngine::evict(TaskRef ref, TaskId inFavourOf, std::string reason, TimePoint now, Decisions &out)
{
    Task &task = m_jobs.task(ref);
    m_recentEvictions.record(now);
    task.isStopping = true;
    task.lastEvictedAt = now;
    m_views[task.worker].lastActionAt = now;
    out.stops.push_back({m_jobs.idOf(ref), StopMode::Checkpoint, inFavourOf, std::move(reason)});
}

// ---------------------------------------------------------------------------------------------------------------------
// Preemption for urgent tasks
// ---------------------------------------------------------------------------------------------------------------------

/**
 * The evictions with the smallest loss after which @p need fits on @p worker. Empty if all evictable tasks are not
 * enough, or if stops under way already free enough.
 */
std::vector<PlacementEngine::EvictionCandidate>
PlacementEngine::cheapestEvictions(WorkerIndex worker, const Resources &need, TimePoint now) const
{
    const WorkerSlot &slot = m_ledger.worker(worker);
    Resources available = slot.capacity - slot.reserved - slot.overuse;
    std::vector<EvictionCandidate> stops;
    for (const TaskRef it : m_views[worker].tasks) {
        const Task &task = m_jobs.task(it);
        if (task.isStopping) {
            available += task.reserved;
        } else if (isEvictable(m_jobs[it.job])) {
            stops.push_back({it, evictionLoss(it, now)});
        }
    }
    std::sort(stops.begin(), stops.end(), [](const EvictionCandidate &a, const EvictionCandidate &b) {
        return std::tie(a.loss, a.ref) < std::tie(b.loss, b.ref);
    });
    std::size_t n = 0;
    while (n < stops.size() && !need.fitsIn(available)) {
        available += m_jobs.task(stops[n++].ref).reserved;
    }
    stops.resize(need.fitsIn(available) ? n : 0);
    return stops;
}

/** Frees capacity for one task of the urgent job by the evictions of least total loss, and holds the worker for it. */
bool PlacementEngine::preemptForUrgent(JobSlot slot, const Resources &need, TimePoint now, Decisions &out)
{
    if (!canEvict(true, now)) {
        return false;
    }
    WorkerIndex best = NoWorker;
    std::vector<EvictionCandidate> bestStops;
    double leastLoss = 0;
    int compared = 0;
    const auto from = static_cast<WorkerIndex>(m_random.next() % std::max(1U, m_ledger.size()));
    for (std::uint32_t n = 0; n < m_ledger.size() && compared < MaxPreemptCandidates; ++n) {
        const WorkerIndex it = (from + n) % m_ledger.size();
        const WorkerSlot &worker = m_ledger.worker(it);
        const bool isOpen = worker.state == VmState::Live && !worker.isQuarantined;
        if (!isOpen || m_views[it].holdingJob != detail::NoJob || m_health.health(it) != WorkerHealth::Healthy
            || tasksFittingAfterDrain(it, need) == 0) {
            continue;
        }
        std::vector<EvictionCandidate> stops = cheapestEvictions(it, need, now);
        const bool isWithinLimit
            = m_recentEvictions.count(now) + static_cast<int>(stops.size()) <= m_settings.evictionsPerMinute;
        double loss = 0;
        for (const EvictionCandidate &stop : stops) {
            loss += stop.loss;
        }
        ++compared;
        if (!stops.empty() && isWithinLimit && (best == NoWorker || loss < leastLoss)) {
            best = it;
            leastLoss = loss;
            bestStops = std::move(stops);
        }
    }
    if (best == NoWorker) {
        return false;
    }
    const Job &job = m_jobs[slot];
    for (const EvictionCandidate &it : bestStops) {
        ++m_counters.preemptions;
        evict(it.ref, m_jobs.idOf({slot, job.ready.back()}), "preempted by urgent work", now, out);
    }
    holdWorker(slot, best);
    return true;
}

} // namespace QuetzalRock
