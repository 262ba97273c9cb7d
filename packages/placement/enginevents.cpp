/** State changes of jobs, tasks and workers, and the processing of worker reports. */
#include <placement/placementengine.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace QuetzalRock {

namespace {

constexpr std::uint8_t MaxStreak = 200;  ///< keeps counters of consecutive reports from overflowing
constexpr int UnprovenWorkersFactor = 4; ///< on faultyJobWorkers if too few workers are known to be healthy
constexpr float MinShareChange = 0.1F;   ///< relative change of a measured share below which it is ignored
constexpr float SizeSmoothing = 0.2F;    ///< weight of one report in a job's learned size
constexpr float MinLearnedRatio = 0.05F; ///< lower bound of a measured size ratio, so that an idle task still counts
constexpr double MinLoad = 0.001;        ///< lower load counts as unknown, as its log would be extreme

std::int64_t clampToZero(std::int64_t value)
{
    return std::max<std::int64_t>(0, value);
}

float toShare(std::int64_t cpuMillis, const Resources &capacity)
{
    return static_cast<float>(cpuMillis) / static_cast<float>(std::max<std::int64_t>(1, capacity.cpuMillis));
}

} // namespace

namespace detail {

void LastMinuteCounter::record(TimePoint now)
{
    m_times.push_back(now);
}

int LastMinuteCounter::count(TimePoint now)
{
    // Drops only what is strictly older than a minute: two actions exactly a minute apart count together.
    while (!m_times.empty() && m_times.front() < now - std::chrono::minutes(1)) {
        m_times.pop_front();
    }
    return static_cast<int>(m_times.size());
}

Random::Random(std::uint64_t seed)
    : m_state(seed)
{
}

std::uint64_t Random::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

double Random::unit()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

} // namespace detail

PlacementEngine::PlacementEngine(const PlacementSettings &settings)
    : m_settings(settings)
    , m_model(m_settings)
    , m_health(m_settings)
    , m_random(settings.seed)
    , m_shardTokens(settings.shardStartBurst)
{
}

// ---------------------------------------------------------------------------------------------------------------------
// Inputs
// ---------------------------------------------------------------------------------------------------------------------

void PlacementEngine::setSettings(const PlacementSettings &settings)
{
    const std::uint64_t seed = m_settings.seed;
    m_settings = settings;
    m_settings.seed = seed;
}

void PlacementEngine::setTenants(std::span<const TenantShardQuota> quotas)
{
    m_tenants.setQuotas(quotas);
    recheckUnrunnable();
}

void PlacementEngine::pinSlowdown(std::string_view service, std::string_view neighbour, double logSlowdown)
{
    m_model.pin(service, neighbour, logSlowdown);
}

void PlacementEngine::setWorker(const Vm &vm)
{
    const bool known = m_ledger.find(vm.name) != NoWorker;
    const WorkerIndex worker = m_ledger.setWorker(vm);
    if (known) {
        return;
    }
    m_views.resize(m_ledger.size());
    m_views[worker].startTokens = m_settings.workerStartBurst;
    m_health.addWorker(worker);
    m_hasNewWorker = true;
    recheckUnrunnable();
}

void PlacementEngine::addJob(const JobSpec &spec, TimePoint now)
{
    m_now = std::max(m_now, now);
    if (m_jobs.contains(spec.id) || spec.taskCount == 0) {
        return;
    }
    const JobSlot slot = m_jobs.add(spec);
    Job &job = m_jobs[slot];
    job.classIndex = m_model.classOf(spec.className.empty() ? spec.name : spec.className);
    job.tenant = m_tenants.indexOf(spec.tenant);
    job.band = spec.urgent ? 0 : spec.kind == WorkloadKind::Batch ? 2 : 1;
    job.addedAt = now;
    job.arrivalNumber = m_jobsAdded++;
    job.queueTime = (now.time_since_epoch() - spec.priority * m_settings.priorityStep).count();
    job.unfinished = spec.taskCount;
    job.ready.reserve(spec.taskCount);
    for (std::uint32_t it = spec.taskCount; it-- > 0;) {
        job.tasks[it].stageTime = now;
        job.ready.push_back(it);
    }
    m_counters.pendingTasks += spec.taskCount;
    job.isExcluded = true; // until decide() has checked whether it can run at all
    m_uncheckedJobs.push_back(slot);
}

void PlacementEngine::removeTask(const TaskId &id)
{
    TaskRef ref;
    if (!m_jobs.find(id, ref)) {
        return;
    }
    Task &task = m_jobs.task(ref);
    task.isWanted = false;
    if (task.stage == PlacementStage::Pending || task.stage == PlacementStage::Delayed) {
        --m_counters.pendingTasks;
        finishTask(ref, PlacementStage::Removed);
    }
}

void PlacementEngine::restoreAttempt(const TaskId &id, const WorkerId &worker, TimePoint started)
{
    TaskRef ref;
    const WorkerIndex index = m_ledger.find(worker);
    if (!m_jobs.find(id, ref) || index == NoWorker) {
        return;
    }
    const Task &task = m_jobs.task(ref);
    if (task.stage == PlacementStage::Pending || task.stage == PlacementStage::Delayed) {
        assignToWorker(ref, index, m_jobs[ref.job].spec.resources, started);
    }
}

void PlacementEngine::abandonStart(const TaskId &id)
{
    TaskRef ref;
    if (!m_jobs.find(id, ref) || m_jobs.task(ref).stage != PlacementStage::Active) {
        return;
    }
    releaseFromWorker(ref, m_now);
    if (!m_jobs.task(ref).isWanted) {
        finishTask(ref, PlacementStage::Removed);
        return;
    }
    makePending(ref, m_now);
}

void PlacementEngine::endAttempt(const TaskId &id, AttemptState state, double progress, TimePoint now)
{
    m_now = std::max(m_now, now);
    TaskRef ref;
    if (!m_jobs.find(id, ref) || m_jobs.task(ref).stage != PlacementStage::Active) {
        return;
    }
    const WorkerIndex worker = m_jobs.task(ref).worker;
    const TimePoint started = m_jobs.task(ref).stageTime;
    releaseFromWorker(ref, now);
    Task &task = m_jobs.task(ref);
    task.progress = static_cast<float>(progress);
    if (state == AttemptState::Finished || now - started >= m_settings.healthyRunTime) {
        m_health.recordSuccess(worker);
    }
    if (state == AttemptState::Failed) {
        recordFailure(ref, worker, now);
    }
    if (state == AttemptState::Finished) {
        m_jobs[ref.job].hasSucceeded = true;
    }
    if (state == AttemptState::Finished || !task.isWanted) {
        finishTask(ref, state == AttemptState::Finished ? PlacementStage::Finished : PlacementStage::Removed);
        return;
    }
    if (state == AttemptState::Failed) {
        makeDelayed(ref, now + backoffDelay(task.failures));
    } else if (state == AttemptState::Barred) {
        makeDelayed(ref, now + m_settings.barredRetryDelay);
    } else {
        makePending(ref, now);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Task stages
// ---------------------------------------------------------------------------------------------------------------------

bool PlacementEngine::isEvictable(const Job &job) const
{
    return job.spec.kind == WorkloadKind::Batch && !job.spec.urgent;
}

float PlacementEngine::expectedShare(const Job &job, WorkerIndex worker) const
{
    return toShare(job.spec.resources.cpuMillis, m_ledger.worker(worker).capacity) * job.cpuRatio;
}

void PlacementEngine::assignToWorker(TaskRef ref, WorkerIndex worker, const Resources &reserved, TimePoint started)
{
    Job &job = m_jobs[ref.job];
    Task &task = job.tasks[ref.index];
    detail::WorkerView &view = m_views[worker];
    m_ledger.restore(worker, reserved);
    m_tenants[job.tenant].usage += reserved;
    task.stage = PlacementStage::Active;
    task.worker = worker;
    task.reserved = reserved;
    task.stageTime = started;
    task.checkpointedAt = started;
    task.measuredAt = {};
    task.isStopping = false;
    task.isHealthyRunCounted = false;
    task.lateStreak = 0;
    task.recoveredStreak = 0;
    task.permille = 1000;
    task.minAttempt = task.attempt + 1;
    rememberStart(view, {m_jobs.idOf(ref), task.minAttempt, started});
    task.indexOnWorker = static_cast<std::uint32_t>(view.tasks.size());
    view.tasks.push_back(ref);
    if (isEvictable(job)) {
        view.evictableReserved += reserved;
    }
    if (job.spec.kind == WorkloadKind::Service && job.spec.latencyTargetMs > 0) {
        ServiceSample alone;
        alone.service = job.classIndex;
        task.baseline = m_model.predict(alone);
        view.services.push_back({ref, job.classIndex, 0, 0});
    }
    ++job.active;
    ++m_counters.activeTasks;
    --m_counters.pendingTasks;
    task.share = 0;
    setShare(ref, expectedShare(job, worker), started);
}

void PlacementEngine::releaseFromWorker(TaskRef ref, TimePoint now)
{
    Job &job = m_jobs[ref.job];
    Task &task = job.tasks[ref.index];
    detail::WorkerView &view = m_views[task.worker];
    setShare(ref, 0, now);
    setOveruse(task, {});
    m_ledger.release(task.worker, task.reserved);
    m_tenants[job.tenant].usage -= task.reserved;
    if (isEvictable(job)) {
        view.evictableReserved -= task.reserved;
    }
    std::erase_if(view.services, [ref](const detail::ServiceView &it) { return it.ref == ref; });
    const TaskRef last = view.tasks.back();
    view.tasks[task.indexOnWorker] = last;
    m_jobs.task(last).indexOnWorker = task.indexOnWorker;
    view.tasks.pop_back();
    task.worker = NoWorker;
    task.reserved = {};
    --job.active;
    --m_counters.activeTasks;
    ++m_counters.pendingTasks;
}

void PlacementEngine::makePending(TaskRef ref, TimePoint now)
{
    Job &job = m_jobs[ref.job];
    job.tasks[ref.index].stage = PlacementStage::Pending;
    job.tasks[ref.index].stageTime = now;
    job.ready.push_back(ref.index);
    enqueue(ref.job);
}

void PlacementEngine::makeDelayed(TaskRef ref, TimePoint until)
{
    Job &job = m_jobs[ref.job];
    job.tasks[ref.index].stage = PlacementStage::Delayed;
    job.tasks[ref.index].stageTime = until;
    m_delayed.push({until, ref, job.spec.id});
}

bool PlacementEngine::DelayedTask::operator>(const DelayedTask &other) const
{
    return std::tie(when, ref) > std::tie(other.when, other.ref);
}

void PlacementEngine::requeueDueTasks(TimePoint now)
{
    while (!m_delayed.empty() && m_delayed.top().when <= now) {
        const DelayedTask due = m_delayed.top();
        m_delayed.pop();
        TaskRef ref;
        const bool known = m_jobs.find({due.job, due.ref.index}, ref);
        if (known && m_jobs.task(ref).stage == PlacementStage::Delayed && m_jobs.task(ref).stageTime <= now) {
            makePending(ref, now);
        }
    }
}

/**
 * Ends a task for good, and removes its job if this was the last unfinished task. For a pending or delayed task the
 * caller has already decremented pendingTasks. After releaseFromWorker(), which counts the task as pending but leaves
 * its stage at Active, pendingTasks is decremented here.
 */
void PlacementEngine::finishTask(TaskRef ref, PlacementStage stage)
{
    Job &job = m_jobs[ref.job];
    Task &task = job.tasks[ref.index];
    if (task.stage == PlacementStage::Active) {
        --m_counters.pendingTasks;
    }
    task.stage = stage;
    --job.unfinished;
    if (job.unfinished > 0) {
        return;
    }
    dequeue(ref.job);
    releaseHolds(ref.job);
    std::erase(m_uncheckedJobs, ref.job);
    std::erase(m_unrunnableJobs, ref.job);
    m_jobs.remove(ref.job);
}

void PlacementEngine::enqueue(JobSlot slot)
{
    Job &job = m_jobs[slot];
    if (job.isQueued || job.isExcluded) {
        return;
    }
    job.isQueued = true;
    m_tenants[job.tenant].queues[job.band].insert({job.queueTime, job.arrivalNumber, slot});
}

void PlacementEngine::dequeue(JobSlot slot)
{
    Job &job = m_jobs[slot];
    if (job.isQueued) {
        job.isQueued = false;
        m_tenants[job.tenant].queues[job.band].erase({job.queueTime, job.arrivalNumber, slot});
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Failures
// ---------------------------------------------------------------------------------------------------------------------

void PlacementEngine::recordFailure(TaskRef ref, WorkerIndex worker, TimePoint now)
{
    Job &job = m_jobs[ref.job];
    Task &task = job.tasks[ref.index];
    task.failures = static_cast<std::uint16_t>(std::min(task.failures + 1, 1000));
    if (std::find(job.failedWorkers.begin(), job.failedWorkers.end(), worker) == job.failedWorkers.end()) {
        job.failedWorkers.push_back(worker);
    }
    const bool isSuspect
        = !job.hasSucceeded && static_cast<int>(job.failedWorkers.size()) >= m_settings.faultyJobWorkers;
    if (m_health.recordFailure(worker, job.spec.id, isSuspect, now)) {
        m_ledger.setQuarantined(worker, true);
        ++m_counters.quarantines;
    }
    const auto healthyWorkers = std::count_if(job.failedWorkers.begin(),
                                              job.failedWorkers.end(),
                                              [this](WorkerIndex it) { return m_health.isKnownHealthy(it); });
    // While too few workers are known to be healthy, only failures on many workers show that the job itself is faulty.
    const std::size_t requiredWorkers
        = std::min<std::size_t>(m_ledger.openWorkers(), m_settings.faultyJobWorkers * UnprovenWorkersFactor);
    const bool hasFailedWidely = job.active == 0 && job.failedWorkers.size() >= requiredWorkers;
    const bool hasFailedEnough = static_cast<int>(job.failedWorkers.size()) >= m_settings.faultyJobWorkers;
    if (!job.hasSucceeded && hasFailedEnough && (healthyWorkers >= m_settings.faultyJobWorkers || hasFailedWidely)) {
        stopFaultyJob(ref.job);
    }
}

void PlacementEngine::stopFaultyJob(JobSlot slot)
{
    Job &job = m_jobs[slot];
    if (job.isExcluded) {
        return;
    }
    job.exclusionReason = "failed on " + std::to_string(job.failedWorkers.size())
                          + " workers and succeeded on none; fix the job and submit it again";
    dequeue(slot);
    releaseHolds(slot);
    job.isExcluded = true;
    m_unreportedFaultyJobs.push_back(job.spec.id);
    ++m_counters.jobsAtFault;
}

Duration PlacementEngine::backoffDelay(int failures)
{
    constexpr int MaxDoublings = 20;
    const int doublings = std::clamp(failures - 1, 0, MaxDoublings);
    const Duration wait = std::min<Duration>(m_settings.retryBase * (1LL << doublings), m_settings.retryMax);
    const double jitter = m_settings.retryJitterPermille / 1000.0 * (2 * m_random.unit() - 1);
    return Duration(static_cast<std::int64_t>(static_cast<double>(wait.count()) * (1 + jitter)));
}

// ---------------------------------------------------------------------------------------------------------------------
// Interference on one worker
// ---------------------------------------------------------------------------------------------------------------------

/** Sets the unthrottled share of @p ref on its worker, and updates the residency history and the predictions. */
void PlacementEngine::setShare(TaskRef ref, float share, TimePoint now)
{
    const Job &job = m_jobs[ref.job];
    Task &task = m_jobs.task(ref);
    detail::WorkerView &view = m_views[task.worker];
    const float throttled = static_cast<float>(task.permille) / 1000;
    view.residency.add(job.classIndex, (share - task.share) * throttled, now);
    task.share = share;
    refreshServicePredictions(task.worker);
}

void PlacementEngine::applyThrottle(TaskRef ref, int permille, TimePoint now)
{
    Task &task = m_jobs.task(ref);
    const float change = static_cast<float>(permille - task.permille) / 1000;
    m_views[task.worker].residency.add(m_jobs[ref.job].classIndex, task.share * change, now);
    task.permille = static_cast<std::uint16_t>(permille);
    refreshServicePredictions(task.worker);
}

float PlacementEngine::logSlowdown(ClassIndex service, const Shares &shares, ClassIndex self, float selfShare) const
{
    float sum = 0;
    for (ClassIndex it = 0; it < shares.size(); ++it) {
        const float share = it == self ? std::max(0.0F, shares[it] - selfShare) : shares[it];
        if (share > 0) {
            sum += share * m_model.slowdown(service, it);
        }
    }
    return sum;
}

float PlacementEngine::penaltyAt(float logRatio) const
{
    return detail::latePenalty(
        logRatio, static_cast<float>(m_settings.latencyNoise), static_cast<float>(m_settings.overshoot));
}

void PlacementEngine::refreshServicePredictions(WorkerIndex worker)
{
    detail::WorkerView &view = m_views[worker];
    for (detail::ServiceView &it : view.services) {
        Task &task = m_jobs.task(it.ref);
        it.logRatio = task.baseline + logSlowdown(it.classIndex, view.residency.current(), it.classIndex, task.share);
        it.penalty = penaltyAt(it.logRatio);
        task.logRatio = it.logRatio;
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Reports
// ---------------------------------------------------------------------------------------------------------------------

void PlacementEngine::rememberStart(detail::WorkerView &view, const detail::RecentStart &start)
{
    if (view.recentStarts.size() < detail::WorkerView::MaxRecentStarts) {
        view.recentStarts.push_back(start);
        return;
    }
    view.recentStarts[view.nextRecentStart] = start;
    view.nextRecentStart = (view.nextRecentStart + 1) % detail::WorkerView::MaxRecentStarts;
}

/** Uses the newest start that the report names, as it gives the tightest bound on when the report was written. */
void PlacementEngine::updateClockBounds(detail::WorkerView &view, const WorkerReport &report)
{
    view.clockOffset.recordArrival(report.workerClock, m_now);
    const std::size_t n = view.recentStarts.size();
    for (std::size_t back = 1; back <= n; ++back) {
        const detail::RecentStart &start = view.recentStarts[(view.nextRecentStart + n - back) % n];
        const bool isNamed = std::any_of(report.attempts.begin(), report.attempts.end(), [&start](const auto &it) {
            return it.attempt.task == start.task && it.attempt.number >= start.minAttempt;
        });
        if (isNamed) {
            view.clockOffset.recordStart(report.workerClock, start.started);
            return;
        }
    }
}

void PlacementEngine::observe(const WorkerReport &report, TimePoint now)
{
    m_now = std::max(m_now, now);
    const WorkerIndex worker = m_ledger.find(report.worker);
    if (worker == NoWorker) {
        return;
    }
    detail::WorkerView &view = m_views[worker];
    updateClockBounds(view, report);
    const bool isFresh = report.measuredAt > view.measuredAt;
    view.measuredAt = std::max(view.measuredAt, report.measuredAt);
    const TimePoint measured = std::min(now, view.clockOffset.toLocalTime(report.measuredAt));
    for (const AttemptReport &it : report.attempts) {
        processAttempt(it, worker, measured, isFresh, now);
    }
}

void PlacementEngine::processAttempt(
    const AttemptReport &entry, WorkerIndex worker, TimePoint measured, bool isFresh, TimePoint now)
{
    TaskRef ref;
    if (!m_jobs.find(entry.attempt.task, ref)) {
        return;
    }
    Job &job = m_jobs[ref.job];
    Task &task = job.tasks[ref.index];
    if (task.worker != worker || entry.attempt.number < task.minAttempt) {
        return;
    }
    task.attempt = std::max(task.attempt, entry.attempt.number);
    if (isEnded(entry.state) || !isFresh) {
        return;
    }
    if (!task.isHealthyRunCounted && now - task.stageTime >= m_settings.healthyRunTime) {
        task.isHealthyRunCounted = true;
        m_health.recordSuccess(worker);
        job.hasSucceeded = true;
    }
    const Resources excess = entry.usage - task.reserved;
    setOveruse(task, {clampToZero(excess.cpuMillis), clampToZero(excess.memoryMib), 0});
    updateLearnedSize(ref, entry, measured, now);
    if (job.spec.kind == WorkloadKind::Batch) {
        updateBatchTask(task, entry, measured);
    } else if (job.spec.latencyTargetMs > 0 && entry.latencyMs > 0 && measured >= task.stageTime) {
        updateServiceTask(ref, entry, measured, now);
    }
}

void PlacementEngine::setOveruse(Task &task, const Resources &overuse)
{
    m_ledger.updateOveruse(task.worker, task.overuse, overuse);
    task.overuse = overuse;
}

void PlacementEngine::updateBatchTask(Task &task, const AttemptReport &entry, TimePoint measured)
{
    task.progress = std::max(task.progress, static_cast<float>(entry.progress));
    if (!entry.checkpoint.empty()) {
        task.checkpointedAt = std::max(task.checkpointedAt, measured);
    }
}

void PlacementEngine::updateServiceTask(TaskRef ref, const AttemptReport &entry, TimePoint measured, TimePoint now)
{
    const Job &job = m_jobs[ref.job];
    Task &task = m_jobs.task(ref);
    detail::WorkerView &view = m_views[task.worker];
    ServiceSample sample;
    if (now - measured > m_settings.maxReportAge || !view.residency.sharesAt(measured, sample.neighbours)) {
        ++m_counters.samplesDropped;
        return;
    }
    sample.neighbours.add(job.classIndex, -task.share); // the service is not its own neighbour
    sample.service = job.classIndex;
    sample.measured = measured;
    sample.logRatio = std::log(entry.latencyMs / job.spec.latencyTargetMs);
    const double load = static_cast<double>(entry.usage.cpuMillis) / static_cast<double>(task.reserved.cpuMillis + 1);
    sample.logLoad = load > MinLoad ? std::log(load) : 0;
    m_model.observe(sample);
    ++m_counters.samples;

    const double neighbourSlowdown = logSlowdown(job.classIndex, sample.neighbours, job.classIndex, 0);
    const double baseline = sample.logRatio - neighbourSlowdown;
    const bool first = task.measuredAt == TimePoint{};
    const std::chrono::duration<double> step = measured - task.measuredAt;
    const double weight = first ? 1 : 1 - std::exp(-std::max(0.0, step / m_settings.baselineSmoothing));
    task.baseline += static_cast<float>(weight * (baseline - task.baseline));
    task.measuredAt = measured;
    updateLatencyStreaks(task, view, sample.logRatio, measured);
    refreshServicePredictions(task.worker);
}

void PlacementEngine::updateLatencyStreaks(Task &task, detail::WorkerView &view, double logRatio, TimePoint measured)
{
    if (measured < view.lastActionAt + m_settings.settleTime) {
        return; // measured too early to show the last action
    }
    const bool isLate = logRatio > std::log(m_settings.lateRatio);
    const bool isRecovered = logRatio < std::log(m_settings.recoveredRatio);
    task.lateStreak = isLate ? std::min<std::uint8_t>(task.lateStreak + 1, MaxStreak) : 0;
    task.recoveredStreak = isRecovered ? std::min<std::uint8_t>(task.recoveredStreak + 1, MaxStreak) : 0;
    if (task.lateStreak >= m_settings.lateReports && !view.isInLateList) {
        view.isInLateList = true;
        m_lateWorkers.push_back(task.worker);
    }
}

void PlacementEngine::updateLearnedSize(TaskRef ref, const AttemptReport &entry, TimePoint measured, TimePoint now)
{
    Job &job = m_jobs[ref.job];
    Task &task = m_jobs.task(ref);
    const bool isSettled = measured >= m_views[task.worker].lastActionAt + m_settings.settleTime;
    if (entry.usage.cpuMillis <= 0 || !isSettled) {
        return; // not measured yet, or measured under an earlier throttle
    }
    if (entry.state == AttemptState::Throttled && task.permille == 1000) {
        applyThrottle(ref, m_settings.throttlePermille, now); // throttled by a previous owner of the shard
        m_throttledWorkers.push_back(task.worker);
    }
    const Resources &declared = job.spec.resources;
    const float throttled = static_cast<float>(task.permille) / 1000;
    const float used = static_cast<float>(entry.usage.cpuMillis) / throttled;
    const float cpuRatio = used / static_cast<float>(std::max<std::int64_t>(1, declared.cpuMillis));
    const float memoryRatio
        = static_cast<float>(entry.usage.memoryMib) / static_cast<float>(std::max<std::int64_t>(1, declared.memoryMib));
    job.cpuRatio += SizeSmoothing * (std::max(MinLearnedRatio, cpuRatio) - job.cpuRatio);
    job.memoryRatio = std::max(memoryRatio, job.memoryRatio + SizeSmoothing * (memoryRatio - job.memoryRatio));
    const float share = toShare(static_cast<std::int64_t>(used), m_ledger.worker(task.worker).capacity);
    const bool isBatch = job.spec.kind == WorkloadKind::Batch;
    if (isBatch && std::abs(share - task.share) > MinShareChange * task.share) {
        setShare(ref, share, now);
    }
}

} // namespace QuetzalRock
