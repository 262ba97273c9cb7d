/** State of the engine and what reports change in it. */
#include <placement/placementengine.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace QuetzalRock {

namespace {

constexpr std::uint8_t MaxStreak = 200;
constexpr int ManyTimes = 4;            ///< faultyJobWorkers, where no worker is known to be healthy
constexpr float ShareChange = 0.1F;     ///< relative change of a measured share that is worth taking in
constexpr float SizeSmoothing = 0.2F;   ///< of a job's learned size, per report
constexpr float SmallestRatio = 0.05F;  ///< of a learned size, so that no task counts as nothing
constexpr double SmallestUsage = 0.001; ///< of a report worth taking the log of

std::int64_t positive(std::int64_t value)
{
    return std::max<std::int64_t>(0, value);
}

float toShare(std::int64_t cpuMillis, const Resources &capacity)
{
    return static_cast<float>(cpuMillis) / static_cast<float>(std::max<std::int64_t>(1, capacity.cpuMillis));
}

} // namespace

namespace detail {

void MinuteBudget::spend(TimePoint now)
{
    m_times.push_back(now);
}

int MinuteBudget::spent(TimePoint now)
{
    // Strictly older than a minute: two actions exactly a minute apart still count as one minute's.
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

void PlacementEngine::setTenants(std::span<const TenantAllotment> quotas)
{
    m_tenants.setQuotas(quotas);
    unparkAll();
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
    m_views[worker].tokens = m_settings.workerStartBurst;
    m_health.addWorker(worker);
    m_fleetGrew = true;
    unparkAll();
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
    job.added = now;
    job.number = m_arrivals++;
    job.key = (now.time_since_epoch() - spec.priority * m_settings.priorityStep).count();
    job.unfinished = spec.taskCount;
    job.ready.reserve(spec.taskCount);
    for (std::uint32_t it = spec.taskCount; it-- > 0;) {
        job.tasks[it].since = now;
        job.ready.push_back(it);
    }
    m_counters.pendingTasks += spec.taskCount;
    job.parked = true; // until decide() has checked that it can run at all
    m_unchecked.push_back(slot);
}

void PlacementEngine::removeTask(const TaskId &id)
{
    TaskRef ref;
    if (!m_jobs.find(id, ref)) {
        return;
    }
    Task &task = m_jobs.task(ref);
    task.wanted = false;
    if (task.phase == PlacementStage::Pending || task.phase == PlacementStage::Delayed) {
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
    if (task.phase == PlacementStage::Pending || task.phase == PlacementStage::Delayed) {
        attach(ref, index, m_jobs[ref.job].spec.resources, started);
    }
}

void PlacementEngine::abandonStart(const TaskId &id)
{
    TaskRef ref;
    if (!m_jobs.find(id, ref) || m_jobs.task(ref).phase != PlacementStage::Active) {
        return;
    }
    detach(ref, m_now);
    if (!m_jobs.task(ref).wanted) {
        finishTask(ref, PlacementStage::Removed);
        return;
    }
    makePending(ref, m_now);
}

void PlacementEngine::endAttempt(const TaskId &id, AttemptState state, double progress, TimePoint now)
{
    m_now = std::max(m_now, now);
    TaskRef ref;
    if (!m_jobs.find(id, ref) || m_jobs.task(ref).phase != PlacementStage::Active) {
        return;
    }
    const WorkerIndex worker = m_jobs.task(ref).worker;
    const TimePoint started = m_jobs.task(ref).since;
    detach(ref, now);
    Task &task = m_jobs.task(ref);
    task.progress = static_cast<float>(progress);
    if (state == AttemptState::Finished || now - started >= m_settings.healthyRun) {
        m_health.noteSuccess(worker);
    }
    if (state == AttemptState::Failed) {
        noteFailure(ref, worker, now);
    }
    if (state == AttemptState::Finished) {
        m_jobs[ref.job].succeeded = true;
    }
    if (state == AttemptState::Finished || !task.wanted) {
        finishTask(ref, state == AttemptState::Finished ? PlacementStage::Finished : PlacementStage::Removed);
        return;
    }
    if (state == AttemptState::Failed) {
        makeDelayed(ref, now + backoff(task.failures));
    } else if (state == AttemptState::Barred) {
        makeDelayed(ref, now + m_settings.barredRetry);
    } else {
        makePending(ref, now);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Tasks change phase
// ---------------------------------------------------------------------------------------------------------------------

bool PlacementEngine::isEvictable(const Job &job) const
{
    return job.spec.kind == WorkloadKind::Batch && !job.spec.urgent;
}

float PlacementEngine::shareOf(const Job &job, WorkerIndex worker) const
{
    return toShare(job.spec.resources.cpuMillis, m_ledger.worker(worker).capacity) * job.cpuRatio;
}

void PlacementEngine::attach(TaskRef ref, WorkerIndex worker, const Resources &reserved, TimePoint started)
{
    Job &job = m_jobs[ref.job];
    Task &task = job.tasks[ref.index];
    detail::WorkerView &view = m_views[worker];
    m_ledger.restore(worker, reserved);
    m_tenants[job.tenant].usage += reserved;
    task.phase = PlacementStage::Active;
    task.worker = worker;
    task.reserved = reserved;
    task.since = started;
    task.safeAt = started;
    task.measuredAt = {};
    task.stopping = false;
    task.proven = false;
    task.hot = 0;
    task.cool = 0;
    task.permille = 1000;
    task.minAttempt = task.attempt + 1;
    rememberStart(view, {m_jobs.idOf(ref), task.minAttempt, started});
    task.slot = static_cast<std::uint32_t>(view.tasks.size());
    view.tasks.push_back(ref);
    if (isEvictable(job)) {
        view.evictable += reserved;
    }
    if (job.spec.kind == WorkloadKind::Service && job.spec.latencyTargetMs > 0) {
        ServiceSample alone;
        alone.service = job.classIndex;
        task.level = m_model.predict(alone);
        view.services.push_back({ref, job.classIndex, 0, 0});
    }
    ++job.active;
    ++m_counters.activeTasks;
    --m_counters.pendingTasks;
    task.share = 0;
    setShare(ref, shareOf(job, worker), started);
}

void PlacementEngine::detach(TaskRef ref, TimePoint now)
{
    Job &job = m_jobs[ref.job];
    Task &task = job.tasks[ref.index];
    detail::WorkerView &view = m_views[task.worker];
    setShare(ref, 0, now);
    setOveruse(task, {});
    m_ledger.release(task.worker, task.reserved);
    m_tenants[job.tenant].usage -= task.reserved;
    if (isEvictable(job)) {
        view.evictable -= task.reserved;
    }
    std::erase_if(view.services, [ref](const detail::ServiceView &it) { return it.ref == ref; });
    const TaskRef last = view.tasks.back();
    view.tasks[task.slot] = last;
    m_jobs.task(last).slot = task.slot;
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
    job.tasks[ref.index].phase = PlacementStage::Pending;
    job.tasks[ref.index].since = now;
    job.ready.push_back(ref.index);
    enqueue(ref.job);
}

void PlacementEngine::makeDelayed(TaskRef ref, TimePoint until)
{
    Job &job = m_jobs[ref.job];
    job.tasks[ref.index].phase = PlacementStage::Delayed;
    job.tasks[ref.index].since = until;
    m_delayed.push({until, ref, job.spec.id});
}

bool PlacementEngine::Delayed::operator>(const Delayed &other) const
{
    return std::tie(when, ref) > std::tie(other.when, other.ref);
}

void PlacementEngine::wakeDelayed(TimePoint now)
{
    while (!m_delayed.empty() && m_delayed.top().when <= now) {
        const Delayed due = m_delayed.top();
        m_delayed.pop();
        TaskRef ref;
        const bool known = m_jobs.find({due.job, due.ref.index}, ref);
        if (known && m_jobs.task(ref).phase == PlacementStage::Delayed && m_jobs.task(ref).since <= now) {
            makePending(ref, now);
        }
    }
}

/** The caller has taken the task out of the count of pending or active ones, but for detach(), which counts it in. */
void PlacementEngine::finishTask(TaskRef ref, PlacementStage phase)
{
    Job &job = m_jobs[ref.job];
    Task &task = job.tasks[ref.index];
    if (task.phase == PlacementStage::Active) {
        --m_counters.pendingTasks;
    }
    task.phase = phase;
    --job.unfinished;
    if (job.unfinished > 0) {
        return;
    }
    dequeue(ref.job);
    dropHolds(ref.job);
    std::erase(m_unchecked, ref.job);
    std::erase(m_parked, ref.job);
    m_jobs.remove(ref.job);
}

void PlacementEngine::enqueue(JobSlot slot)
{
    Job &job = m_jobs[slot];
    if (job.queued || job.parked) {
        return;
    }
    job.queued = true;
    m_tenants[job.tenant].queues[job.band].insert({job.key, job.number, slot});
}

void PlacementEngine::dequeue(JobSlot slot)
{
    Job &job = m_jobs[slot];
    if (job.queued) {
        job.queued = false;
        m_tenants[job.tenant].queues[job.band].erase({job.key, job.number, slot});
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Failures
// ---------------------------------------------------------------------------------------------------------------------

void PlacementEngine::noteFailure(TaskRef ref, WorkerIndex worker, TimePoint now)
{
    Job &job = m_jobs[ref.job];
    Task &task = job.tasks[ref.index];
    task.failures = static_cast<std::uint16_t>(std::min(task.failures + 1, 1000));
    if (std::find(job.failedOn.begin(), job.failedOn.end(), worker) == job.failedOn.end()) {
        job.failedOn.push_back(worker);
    }
    const bool suspect = !job.succeeded && static_cast<int>(job.failedOn.size()) >= m_settings.faultyJobWorkers;
    if (m_health.noteFailure(worker, job.spec.id, suspect, now)) {
        m_ledger.setBarred(worker, true);
        ++m_counters.quarantines;
    }
    const auto healthy = std::count_if(
        job.failedOn.begin(), job.failedOn.end(), [this](WorkerIndex it) { return m_health.isKnownHealthy(it); });
    // Where nothing has succeeded yet, only a failure on a great many workers can tell the job's fault from theirs.
    const std::size_t many = std::min<std::size_t>(m_ledger.openWorkers(), m_settings.faultyJobWorkers * ManyTimes);
    const bool everywhere = job.active == 0 && job.failedOn.size() >= many;
    const bool enough = static_cast<int>(job.failedOn.size()) >= m_settings.faultyJobWorkers;
    if (!job.succeeded && enough && (healthy >= m_settings.faultyJobWorkers || everywhere)) {
        stopFaultyJob(ref.job);
    }
}

void PlacementEngine::stopFaultyJob(JobSlot slot)
{
    Job &job = m_jobs[slot];
    if (job.parked) {
        return;
    }
    job.parkedReason = "failed on " + std::to_string(job.failedOn.size())
                       + " healthy workers and succeeded on none: mend the job and submit it again";
    dequeue(slot);
    dropHolds(slot);
    job.parked = true;
    m_faulty.push_back(job.spec.id);
    ++m_counters.jobsAtFault;
}

Duration PlacementEngine::backoff(int failures)
{
    constexpr int MaxDoublings = 20;
    const int doublings = std::clamp(failures - 1, 0, MaxDoublings);
    const Duration wait = std::min<Duration>(m_settings.retryBase * (1LL << doublings), m_settings.retryMax);
    const double swing = m_settings.retryJitterPermille / 1000.0 * (2 * m_random.unit() - 1);
    return Duration(static_cast<std::int64_t>(static_cast<double>(wait.count()) * (1 + swing)));
}

// ---------------------------------------------------------------------------------------------------------------------
// Interference seen from one worker
// ---------------------------------------------------------------------------------------------------------------------

/** Sets what @p ref takes of its worker (before any throttle) and carries it into history and predictions. */
void PlacementEngine::setShare(TaskRef ref, float share, TimePoint now)
{
    const Job &job = m_jobs[ref.job];
    Task &task = m_jobs.task(ref);
    detail::WorkerView &view = m_views[task.worker];
    const float throttled = static_cast<float>(task.permille) / 1000;
    view.history.add(job.classIndex, (share - task.share) * throttled, now);
    task.share = share;
    refreshServices(task.worker);
}

void PlacementEngine::setPermille(TaskRef ref, int permille, TimePoint now)
{
    Task &task = m_jobs.task(ref);
    const float change = static_cast<float>(permille - task.permille) / 1000;
    m_views[task.worker].history.add(m_jobs[ref.job].classIndex, task.share * change, now);
    task.permille = static_cast<std::uint16_t>(permille);
    refreshServices(task.worker);
}

float PlacementEngine::logSlowdown(ClassIndex service, const Shares &shares, ClassIndex self, float selfShare) const
{
    float sum = 0;
    for (ClassIndex it = 0; it < MaxClasses; ++it) {
        const float share = it == self ? std::max(0.0F, shares[it] - selfShare) : shares[it];
        if (share > 0) {
            sum += share * m_model.slowdown(service, it);
        }
    }
    return sum;
}

float PlacementEngine::penalty(float logRatio) const
{
    return detail::latePenalty(
        logRatio, static_cast<float>(m_settings.lateSpread), static_cast<float>(m_settings.overshoot));
}

void PlacementEngine::refreshServices(WorkerIndex worker)
{
    detail::WorkerView &view = m_views[worker];
    for (detail::ServiceView &it : view.services) {
        Task &task = m_jobs.task(it.ref);
        it.logRatio = task.level + logSlowdown(it.classIndex, view.history.now(), it.classIndex, task.share);
        it.late = penalty(it.logRatio);
        task.logRatio = it.logRatio;
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Reports
// ---------------------------------------------------------------------------------------------------------------------

void PlacementEngine::rememberStart(detail::WorkerView &view, const detail::RecentStart &start)
{
    if (view.recent.size() < detail::WorkerView::MaxRecent) {
        view.recent.push_back(start);
        return;
    }
    view.recent[view.nextRecent] = start;
    view.nextRecent = (view.nextRecent + 1) % detail::WorkerView::MaxRecent;
}

/** The newest start that the report names tells most about when it was written. */
void PlacementEngine::boundClock(detail::WorkerView &view, const WorkerReport &report)
{
    view.clock.noteArrival(report.workerClock, m_now);
    const std::size_t n = view.recent.size();
    for (std::size_t back = 1; back <= n; ++back) {
        const detail::RecentStart &start = view.recent[(view.nextRecent + n - back) % n];
        const bool named = std::any_of(report.attempts.begin(), report.attempts.end(), [&start](const auto &it) {
            return it.attempt.task == start.task && it.attempt.number >= start.minAttempt;
        });
        if (named) {
            view.clock.noteStart(report.workerClock, start.started);
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
    boundClock(view, report);
    const bool fresh = report.measuredAt > view.measuredAt;
    view.measuredAt = std::max(view.measuredAt, report.measuredAt);
    const TimePoint measured = std::min(now, view.clock.toLocal(report.measuredAt));
    for (const AttemptReport &it : report.attempts) {
        takeIn(it, worker, measured, fresh, now);
    }
}

void PlacementEngine::takeIn(
    const AttemptReport &entry, WorkerIndex worker, TimePoint measured, bool fresh, TimePoint now)
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
    if (isEnded(entry.state) || !fresh) {
        return;
    }
    if (!task.proven && now - task.since >= m_settings.healthyRun) {
        task.proven = true;
        m_health.noteSuccess(worker);
        job.succeeded = true;
    }
    const Resources beyond = entry.usage - task.reserved;
    setOveruse(task, {positive(beyond.cpuMillis), positive(beyond.memoryMib), 0});
    learnSize(ref, entry, measured, now);
    if (job.spec.kind == WorkloadKind::Batch) {
        takeInBatch(task, entry, measured);
    } else if (job.spec.latencyTargetMs > 0 && entry.latencyMs > 0 && measured >= task.since) {
        takeInService(ref, entry, measured, now);
    }
}

void PlacementEngine::setOveruse(Task &task, const Resources &overuse)
{
    m_ledger.changeOveruse(task.worker, task.overuse, overuse);
    task.overuse = overuse;
}

void PlacementEngine::takeInBatch(Task &task, const AttemptReport &entry, TimePoint measured)
{
    task.progress = std::max(task.progress, static_cast<float>(entry.progress));
    if (!entry.checkpoint.empty()) {
        task.safeAt = std::max(task.safeAt, measured);
    }
}

void PlacementEngine::takeInService(TaskRef ref, const AttemptReport &entry, TimePoint measured, TimePoint now)
{
    const Job &job = m_jobs[ref.job];
    Task &task = m_jobs.task(ref);
    detail::WorkerView &view = m_views[task.worker];
    ServiceSample sample;
    if (now - measured > m_settings.history || !view.history.at(measured, sample.neighbours)) {
        ++m_counters.samplesDropped;
        return;
    }
    float &own = sample.neighbours[job.classIndex];
    own = std::max(0.0F, own - task.share);
    sample.service = job.classIndex;
    sample.measured = measured;
    sample.logRatio = std::log(entry.latencyMs / job.spec.latencyTargetMs);
    const double load = static_cast<double>(entry.usage.cpuMillis) / static_cast<double>(task.reserved.cpuMillis + 1);
    sample.logLoad = load > SmallestUsage ? std::log(load) : 0;
    m_model.observe(sample);
    ++m_counters.samples;

    const double slowed = logSlowdown(job.classIndex, sample.neighbours, job.classIndex, 0);
    const double level = sample.logRatio - slowed;
    const bool first = task.measuredAt == TimePoint{};
    const std::chrono::duration<double> step = measured - task.measuredAt;
    const double weight = first ? 1 : 1 - std::exp(-std::max(0.0, step / m_settings.baselineSmoothing));
    task.level += static_cast<float>(weight * (level - task.level));
    task.measuredAt = measured;
    countHeat(task, view, sample.logRatio, measured);
    refreshServices(task.worker);
}

void PlacementEngine::countHeat(Task &task, detail::WorkerView &view, double logRatio, TimePoint measured)
{
    if (measured < view.actedAt + m_settings.settle) {
        return; // cannot show the last action yet
    }
    const bool hot = logRatio > std::log(m_settings.guardHigh);
    const bool cool = logRatio < std::log(m_settings.guardLow);
    task.hot = hot ? std::min<std::uint8_t>(task.hot + 1, MaxStreak) : 0;
    task.cool = cool ? std::min<std::uint8_t>(task.cool + 1, MaxStreak) : 0;
    if (task.hot >= m_settings.hotReports && !view.hot) {
        view.hot = true;
        m_hotWorkers.push_back(task.worker);
    }
}

void PlacementEngine::learnSize(TaskRef ref, const AttemptReport &entry, TimePoint measured, TimePoint now)
{
    Job &job = m_jobs[ref.job];
    Task &task = m_jobs.task(ref);
    const bool settled = measured >= m_views[task.worker].actedAt + m_settings.settle;
    if (entry.usage.cpuMillis <= 0 || !settled) {
        return; // not measured yet, or with a throttle that we no longer know
    }
    if (entry.state == AttemptState::Throttled && task.permille == 1000) {
        setPermille(ref, m_settings.throttlePermille, now); // by an owner before this one
        m_throttledWorkers.push_back(task.worker);
    }
    const Resources &declared = job.spec.resources;
    const float throttled = static_cast<float>(task.permille) / 1000;
    const float used = static_cast<float>(entry.usage.cpuMillis) / throttled;
    const float cpuRatio = used / static_cast<float>(std::max<std::int64_t>(1, declared.cpuMillis));
    const float memoryRatio
        = static_cast<float>(entry.usage.memoryMib) / static_cast<float>(std::max<std::int64_t>(1, declared.memoryMib));
    job.cpuRatio += SizeSmoothing * (std::max(SmallestRatio, cpuRatio) - job.cpuRatio);
    job.memoryRatio = std::max(memoryRatio, job.memoryRatio + SizeSmoothing * (memoryRatio - job.memoryRatio));
    const float share = toShare(static_cast<std::int64_t>(used), m_ledger.worker(task.worker).capacity);
    const bool batch = job.spec.kind == WorkloadKind::Batch;
    if (batch && std::abs(share - task.share) > ShareChange * task.share) {
        setShare(ref, share, now);
    }
}

} // namespace QuetzalRock
