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
    detail::WorkerView &view = m_views[worker];
    double excess = 0;
    for (const detail::ServiceView &it : view.services) {
        const Task &task = m_jobs.task(it.ref);
        if (task.hot >= m_settings.hotReports) {
            excess = std::max(excess, it.logRatio - std::log(m_settings.guardHigh) + Margin);
        }
    }
    // The measurement is old: whoever slowed the service then may have left since.
    if (excess <= 0) {
        return;
    }
    if (!throttleSome(worker, excess, now, out)) {
        evictSome(worker, excess, now, out);
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

bool PlacementEngine::throttleSome(WorkerIndex worker, double excess, TimePoint now, Decisions &out)
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
    bool acted = false;
    for (const auto &[adds, ref] : candidates) {
        if (excess <= 0 || m_throttles.spent(now) >= m_settings.throttlesPerMinute) {
            break;
        }
        excess += adds * (1000 - m_settings.throttlePermille) / 1000;
        m_throttles.spend(now);
        ++m_counters.throttles;
        setThrottle(ref, m_settings.throttlePermille, now, "a service beside it is past its target", out);
        acted = true;
    }
    return acted;
}

void PlacementEngine::evictSome(WorkerIndex worker, double excess, TimePoint now, Decisions &out)
{
    struct Candidate
    {
        double price; ///< loss for each unit of relief
        double adds;
        TaskRef ref;
    };
    std::vector<Candidate> candidates;
    double total = 0;
    for (const TaskRef it : m_views[worker].tasks) {
        const double adds = contribution(worker, it);
        if (isEvictable(m_jobs[it.job]) && !m_jobs.task(it).stopping && adds >= SmallestContribution) {
            candidates.push_back({lossOf(it, now) / adds, adds, it});
            total += adds;
        }
    }
    // Stopping all of it must bring services back in time, or it only loses work.
    const auto spread = static_cast<float>(m_settings.lateSpread);
    const auto relief = static_cast<float>(std::min(total, excess));
    double gain = 0;
    for (const detail::ServiceView &it : m_views[worker].services) {
        if (m_jobs.task(it.ref).hot >= m_settings.hotReports) {
            gain += it.late - detail::latePenalty(it.logRatio - relief, spread);
        }
    }
    if (gain * m_settings.weights.tailLatency < m_settings.evictionGain * m_settings.weights.evictions) {
        return;
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tie(a.price, a.ref) < std::tie(b.price, b.ref);
    });
    for (const Candidate &it : candidates) {
        if (excess <= 0 || !mayEvict(false, now)) {
            break;
        }
        excess -= it.adds;
        ++m_counters.guardEvictions;
        evict(it.ref, {}, "a service beside it stays past its target though it is throttled", now, out);
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

/** Lifts one throttle of @p worker where its services have been well for long enough. */
void PlacementEngine::cool(WorkerIndex worker, TimePoint now, Decisions &out)
{
    const detail::WorkerView &view = m_views[worker];
    const bool well = std::all_of(view.services.begin(), view.services.end(), [this](const detail::ServiceView &it) {
        return m_jobs.task(it.ref).cool >= m_settings.coolReports;
    });
    const double limit = std::log(m_settings.guardHigh) - Margin;
    TaskRef best;
    double least = -1;
    bool any = false;
    for (const TaskRef it : view.tasks) {
        const Task &task = m_jobs.task(it);
        if (task.permille == 1000) {
            continue;
        }
        any = true;
        double most = 0;
        bool fits = true;
        for (const detail::ServiceView &service : view.services) {
            const double slowdown = m_model.slowdown(service.classIndex, m_jobs[it.job].classIndex);
            const double adds = slowdown * task.share * (1000 - task.permille) / 1000;
            most = std::max(most, adds);
            fits = fits && service.logRatio + adds < limit;
        }
        if (!task.stopping && fits && (least < 0 || most < least)) {
            least = most;
            best = it;
        }
    }
    if (!any) {
        return;
    }
    m_throttledWorkers.push_back(worker);
    if (well && least >= 0 && now >= view.actedAt + m_settings.settle) {
        ++m_counters.throttlesLifted;
        setThrottle(best, 1000, now, "the services beside it are well", out);
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
