/** Guards: throttle, then checkpoint and evict; and room for urgent work. */
#include <placement/placementengine.h>

#include <cmath>

namespace QuetzalRock {

namespace {

constexpr double Margin = 0.05;               ///< log; below guardHigh that an action aims for
constexpr double SmallestContribution = 0.01; ///< log of a slowdown that a single task must have to be acted upon
constexpr double RestartSeconds = 10;         ///< of a task's work that any eviction costs
constexpr double CooldownFactor = 4;          ///< by which a task evicted lately is dearer
constexpr int PreemptCandidates = 64;

} // namespace

void PlacementEngine::runGuards(TimePoint now, Decisions &out)
{
    if (!m_settings.guards) {
        return;
    }
    std::vector<WorkerIndex> hot;
    hot.swap(m_hotWorkers);
    for (const WorkerIndex it : hot) {
        m_views[it].hot = false;
        relieve(it, now, out);
    }
    std::vector<WorkerIndex> throttled;
    throttled.swap(m_throttledWorkers);
    std::sort(throttled.begin(), throttled.end());
    throttled.erase(std::unique(throttled.begin(), throttled.end()), throttled.end());
    for (const WorkerIndex it : throttled) {
        cool(it, now, out);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// A service is in need
// ---------------------------------------------------------------------------------------------------------------------

void PlacementEngine::relieve(WorkerIndex worker, TimePoint now, Decisions &out)
{
    // The measurement is old: whoever slowed the service then may have left since.
    if (isStillHot(worker) && !throttleSome(worker, now, out)) {
        evictOne(worker, now, out);
    }
}

/** What the task adds to the log of latency of the worst-hit service in need, as it runs now. */
double PlacementEngine::contribution(WorkerIndex worker, TaskRef ref) const
{
    const Task &task = m_jobs.task(ref);
    const ClassIndex neighbour = m_jobs[ref.job].classIndex;
    double most = 0;
    for (const detail::ServiceView &it : m_views[worker].services) {
        if (m_jobs.task(it.ref).hot >= m_settings.hotReports) {
            const double slowdown = m_model.slowdown(it.classIndex, neighbour);
            most = std::max(most, slowdown * task.share * task.permille / 1000);
        }
    }
    return most;
}

bool PlacementEngine::isStillHot(WorkerIndex worker) const
{
    const std::vector<detail::ServiceView> &services = m_views[worker].services;
    return std::any_of(services.begin(), services.end(), [this](const detail::ServiceView &it) {
        return m_jobs.task(it.ref).hot >= m_settings.hotReports
               && it.logRatio > std::log(m_settings.guardHigh) - Margin;
    });
}

/** What the services on @p worker lose where @p neighbour takes @p change more of it; negative where they gain. */
double PlacementEngine::harmOfChange(WorkerIndex worker, ClassIndex neighbour, float change) const
{
    double harm = 0;
    for (const detail::ServiceView &it : m_views[worker].services) {
        harm += penalty(it.logRatio + m_model.slowdown(it.classIndex, neighbour) * change) - it.late;
    }
    return m_settings.weights.tailLatency * harm;
}

bool PlacementEngine::throttleSome(WorkerIndex worker, TimePoint now, Decisions &out)
{
    std::vector<std::pair<double, TaskRef>> candidates;
    for (const TaskRef it : m_views[worker].tasks) {
        const Task &task = m_jobs.task(it);
        const double adds = contribution(worker, it);
        if (isEvictable(m_jobs[it.job]) && !task.stopping && task.permille == 1000 && adds >= SmallestContribution) {
            candidates.emplace_back(-adds, it);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    const double cut = (1000 - m_settings.throttlePermille) / 1000.0;
    bool acted = false;
    for (const auto &[adds, ref] : candidates) {
        if (!isStillHot(worker) || m_throttles.spent(now) >= m_settings.throttlesPerMinute) {
            break;
        }
        const Job &job = m_jobs[ref.job];
        const auto change = static_cast<float>(-job.tasks[ref.index].share * cut);
        if (-harmOfChange(worker, job.classIndex, change) < worthOf(job) * cut) {
            continue; // the services gain less than the batch work loses
        }
        m_throttles.spend(now);
        ++m_counters.throttles;
        setThrottle(ref, m_settings.throttlePermille, now, "a service beside it is past its target", out);
        acted = true;
    }
    return acted;
}

/** Stops the task that loses least for what it brings back. One at a time: the next waits until this one has shown. */
void PlacementEngine::evictOne(WorkerIndex worker, TimePoint now, Decisions &out)
{
    TaskRef best;
    double bestPrice = -1;
    for (const TaskRef it : m_views[worker].tasks) {
        const Job &job = m_jobs[it.job];
        const Task &task = job.tasks[it.index];
        if (!isEvictable(job) || task.stopping || contribution(worker, it) < SmallestContribution) {
            continue;
        }
        const float running = task.share * static_cast<float>(task.permille) / 1000;
        const double gain = -harmOfChange(worker, job.classIndex, -running);
        const double price = lossOf(it, now) / gain;
        if (gain >= m_settings.evictionGain * m_settings.weights.evictions && (bestPrice < 0 || price < bestPrice)) {
            bestPrice = price;
            best = it;
        }
    }
    if (bestPrice >= 0 && mayEvict(false, now)) {
        ++m_counters.guardEvictions;
        evict(best, {}, "a service beside it stays past its target", now, out);
    }
}

void PlacementEngine::setThrottle(TaskRef ref, int permille, TimePoint now, std::string reason, Decisions &out)
{
    const WorkerIndex worker = m_jobs.task(ref).worker;
    detail::WorkerView &view = m_views[worker];
    setPermille(ref, permille, now);
    view.actedAt = now;
    for (const detail::ServiceView &it : view.services) {
        m_jobs.task(it.ref).cool = 0;
    }
    if (permille < 1000) {
        m_throttledWorkers.push_back(worker);
    }
    out.throttles.push_back({m_jobs.idOf(ref), permille, std::move(reason)});
}

/** Lifts throttles of @p worker that cost more than they save, once its services have been well for long enough. */
void PlacementEngine::cool(WorkerIndex worker, TimePoint now, Decisions &out)
{
    const detail::WorkerView &view = m_views[worker];
    bool well = now >= view.actedAt + m_settings.settle;
    for (const detail::ServiceView &it : view.services) {
        well = well && m_jobs.task(it.ref).cool >= m_settings.coolReports;
    }
    bool any = false;
    for (const TaskRef it : view.tasks) {
        const Job &job = m_jobs[it.job];
        const Task &task = job.tasks[it.index];
        if (task.permille == 1000) {
            continue;
        }
        any = true;
        const float cut = static_cast<float>(1000 - task.permille) / 1000;
        const double harm = harmOfChange(worker, job.classIndex, task.share * cut);
        if (well && !task.stopping && harm < m_settings.guardHysteresis * worthOf(job) * cut) {
            ++m_counters.throttlesLifted;
            setThrottle(it, 1000, now, "the services beside it are well", out);
        }
    }
    if (any) {
        m_throttledWorkers.push_back(worker);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Evictions
// ---------------------------------------------------------------------------------------------------------------------

/** Processor seconds that stopping the task now throws away. */
double PlacementEngine::lossOf(TaskRef ref, TimePoint now) const
{
    const Job &job = m_jobs[ref.job];
    const Task &task = job.tasks[ref.index];
    const std::chrono::duration<double> unsafe = now - std::min(now, std::max(task.safeAt, task.since));
    double loss = (unsafe.count() + RestartSeconds) * static_cast<double>(task.reserved.cpuMillis) / 1000;
    if (task.evictedAt != TimePoint{} && now - task.evictedAt < m_settings.evictionCooldown) {
        loss *= CooldownFactor;
    }
    return job.spec.gang ? loss * job.spec.taskCount : loss;
}

bool PlacementEngine::mayEvict(bool urgent, TimePoint now)
{
    const int limit = m_settings.evictionsPerMinute - (urgent ? 0 : m_settings.urgentEvictionsPerMinute);
    if (m_evictions.spent(now) < limit) {
        return true;
    }
    ++m_counters.evictionsRefused;
    return false;
}

void PlacementEngine::evict(TaskRef ref, TaskId inFavourOf, std::string reason, TimePoint now, Decisions &out)
{
    Task &task = m_jobs.task(ref);
    m_evictions.spend(now);
    task.stopping = true;
    task.evictedAt = now;
    m_views[task.worker].actedAt = now;
    out.stops.push_back({m_jobs.idOf(ref), StopMode::Checkpoint, inFavourOf, std::move(reason)});
}

// ---------------------------------------------------------------------------------------------------------------------
// Room for urgent work
// ---------------------------------------------------------------------------------------------------------------------

/** The evictable tasks of least loss that make room for @p need; empty where there are not enough. */
std::vector<PlacementEngine::StopChoice>
PlacementEngine::cheapestStops(WorkerIndex worker, const Resources &need, TimePoint now) const
{
    const WorkerSlot &slot = m_ledger.worker(worker);
    Resources room = slot.capacity - slot.reserved - slot.overuse;
    std::vector<StopChoice> stops;
    for (const TaskRef it : m_views[worker].tasks) {
        const Task &task = m_jobs.task(it);
        if (task.stopping) {
            room += task.reserved;
        } else if (isEvictable(m_jobs[it.job])) {
            stops.push_back({it, lossOf(it, now)});
        }
    }
    std::sort(stops.begin(), stops.end(), [](const StopChoice &a, const StopChoice &b) {
        return std::tie(a.loss, a.ref) < std::tie(b.loss, b.ref);
    });
    std::size_t n = 0;
    while (n < stops.size() && !need.fitsIn(room)) {
        room += m_jobs.task(stops[n++].ref).reserved;
    }
    stops.resize(need.fitsIn(room) ? n : 0);
    return stops;
}

/** Stops what loses least for one task of the urgent job, and holds the worker for it. */
bool PlacementEngine::preemptFor(JobSlot slot, const Resources &need, TimePoint now, Decisions &out)
{
    if (!mayEvict(true, now)) {
        return false;
    }
    WorkerIndex best = NoWorker;
    std::vector<StopChoice> bestStops;
    double least = 0;
    int compared = 0;
    const auto from = static_cast<WorkerIndex>(m_random.next() % std::max(1U, m_ledger.size()));
    for (std::uint32_t n = 0; n < m_ledger.size() && compared < PreemptCandidates; ++n) {
        const WorkerIndex it = (from + n) % m_ledger.size();
        const WorkerSlot &worker = m_ledger.worker(it);
        const bool open = worker.state == VmState::Live && !worker.barred;
        if (!open || m_views[it].heldBy != detail::NoJob || m_health.health(it) != WorkerHealth::Healthy
            || drainedTasks(it, need) == 0) {
            continue;
        }
        std::vector<StopChoice> stops = cheapestStops(it, need, now);
        const bool affordable
            = m_evictions.spent(now) + static_cast<int>(stops.size()) <= m_settings.evictionsPerMinute;
        double loss = 0;
        for (const StopChoice &stop : stops) {
            loss += stop.loss;
        }
        ++compared;
        if (!stops.empty() && affordable && (best == NoWorker || loss < least)) {
            best = it;
            least = loss;
            bestStops = std::move(stops);
        }
    }
    if (best == NoWorker) {
        return false;
    }
    const Job &job = m_jobs[slot];
    for (const StopChoice &it : bestStops) {
        ++m_counters.preemptions;
        evict(it.ref, m_jobs.idOf({slot, job.ready.back()}), "makes room for urgent work", now, out);
    }
    hold(slot, best);
    return true;
}

} // namespace QuetzalRock
