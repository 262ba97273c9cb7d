/**
 * WorkflowScheduler: finds resources for long-running tasks that have waited too long, and for the oldest overdue job. Reserves a worker until enough
 * resources are freed there, or evicts a smaller long-running task.
 */
#include <workflow/scheduler.h>

#include <algorithm>
#include <limits>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration WorkerReservationTime = 500ms; ///< extended by each placement attempt, see PlacementRetryInterval
constexpr std::size_t MaxEvictedDepartures = 4;   ///< tasks on their way to other shards; then none is evicted for them
constexpr Duration EvictionInterval = 1s;         ///< lets the previous eviction take effect first
constexpr int ExpectedEstimates = 3;              ///< a run is expected to end within so many times its estimate
constexpr Duration WarmUpTime = 5s;               ///< a long-running task counts as unavailable until then
constexpr Duration WaitTolerance = 500ms;         ///< waits that began within it go by no order: clocks differ
constexpr Duration MaxYieldTime = 6s;             ///< a new service begins within it, whoever waits
constexpr Duration StatusReadTime = 500ms;        ///< a new task waits so long for the other shards' statuses
constexpr Duration MaxStatusAge = 2s;             ///< older ones say nothing of waits
constexpr std::size_t MaxReservedShare = 4;       ///< jobs get a second worker while at most 1 in so many is reserved

/** Resources held by long-running tasks that are not being stopped: they are not freed without an eviction. */
Resources longRunningResources(const WorkerState &worker)
{
    Resources use;
    for (const TaskRef &it : worker.runs) {
        if (it.spec().isLongRunning && it.task().phase != TaskPhase::Stopping) {
            use += it.spec().need;
        }
    }
    return use;
}

/** The same, and what is held by runs that have taken far longer than declared: nobody knows when these end. */
Resources lastingResources(const WorkerState &worker, TimePoint now)
{
    Resources use = longRunningResources(worker);
    for (const TaskRef &it : worker.runs) {
        const Duration expected = ExpectedEstimates * std::chrono::milliseconds(it.spec().estimateMs);
        if (!it.spec().isLongRunning && it.task().phase != TaskPhase::Stopping
            && now > it.task().startedAt + expected) {
            Resources need = it.spec().need;
            need.cpuMillis = it.spec().usesSpareCpu ? 0 : need.cpuMillis;
            use += need;
        }
    }
    return use;
}

/** How much must be freed before @p need fits, relative to the worker's capacity. */
double resourceShortfall(std::int64_t need, std::int64_t free, std::int64_t capacity)
{
    return static_cast<double>(need - free) / static_cast<double>(std::max<std::int64_t>(1, capacity));
}

double shortfallOf(const WorkerState &worker, const Resources &need)
{
    const Resources free = worker.freeResources();
    const Resources &capacity = worker.record.capacity;
    return std::max(resourceShortfall(need.cpuMillis, free.cpuMillis, capacity.cpuMillis),
                    resourceShortfall(need.memoryMib, free.memoryMib, capacity.memoryMib));
}

} // namespace

/**
 * Reserves workers for the job of @p ref until its task fits: those with the least shortfall of the ones that have enough resources
 * once their short tasks have ended. As many as the step's waiting tasks need, but more than one only while few are reserved.
 * False: there is none.
 */
bool WorkflowScheduler::reserveWorkersFor(const TaskRef &ref, TimePoint now)
{
    std::uint32_t missing = tasksThatNeedRoom(ref, now);
    bool isReserved = false;
    for (const auto &it : m_workers) {
        if (missing > 0 && it->reservedFor == ref.job && now < it->reservedUntil) {
            const std::uint32_t tasks = tasksThatMayFit(*it, ref, now);
            it->reservedUntil = tasks > 0 ? now + WorkerReservationTime : it->reservedUntil;
            missing -= std::min(missing, tasks);
            isReserved = isReserved || tasks > 0;
        }
    }
    while (missing > 0 && (!isReserved || mayReserveMore(now))) {
        WorkerState *best = chooseWorkerToReserve(ref, now);
        if (best == nullptr) {
            break;
        }
        missing -= std::min(missing, tasksThatMayFit(*best, ref, now));
        best->reservedFor = ref.job;
        best->reservedUntil = now + WorkerReservationTime;
        isReserved = true;
        logTaskEvent("room_kept", ref, "worker", best->record.id, "lack", shortfallOf(*best, ref.spec().need));
    }
    if (!isReserved && ref.spec().isLongRunning) {
        evictToMakeRoom(ref, now);
    }
    return isReserved;
}

/** Of an overdue job one at a time, of a long-running step all that have waited too long. */
std::uint32_t WorkflowScheduler::tasksThatNeedRoom(const TaskRef &ref, TimePoint now) const
{
    if (!ref.spec().isLongRunning) {
        return 1;
    }
    const auto &tasks = ref.job->occurrences[ref.occurrence].steps[ref.step].tasks;
    return static_cast<std::uint32_t>(std::count_if(tasks.begin(), tasks.end(), [&](const TaskState &it) {
        return !it.trial && hasExceededPlacementTimeout(*ref.job, ref.spec(), it, now);
    }));
}

/** Number of tasks like @p ref for which the worker has room once its short tasks have ended. */
std::uint32_t WorkflowScheduler::tasksThatMayFit(const WorkerState &worker, const TaskRef &ref, TimePoint now) const
{
    const StepSpec &step = ref.spec();
    Resources left
        = worker.record.capacity - (step.isLongRunning ? longRunningResources(worker) : lastingResources(worker, now));
    if (!isEligible(worker, ref, now)) {
        return 0;
    }
    const std::uint32_t most = step.maxPerWorker == 0 ? step.taskCount : 1; // at least one more, as it is eligible
    std::uint32_t tasks = 0;
    while (tasks < most && step.need.fitsIn(left)) {
        left -= step.need;
        ++tasks;
    }
    return tasks;
}

/** The one with the least shortfall; null: none. */
WorkerState *WorkflowScheduler::chooseWorkerToReserve(const TaskRef &ref, TimePoint now) const
{
    WorkerState *best = nullptr;
    for (const auto &it : m_workers) {
        const bool isReserved = it->reservedFor != nullptr && now < it->reservedUntil;
        if (isReserved || tasksThatMayFit(*it, ref, now) == 0) {
            continue;
        }
        if (best == nullptr || shortfallOf(*it, ref.spec().need) < shortfallOf(*best, ref.spec().need)) {
            best = it.get();
        }
    }
    return best;
}

bool WorkflowScheduler::mayReserveMore(TimePoint now) const
{
    const auto reserved = std::count_if(m_workers.begin(), m_workers.end(), [now](const auto &it) {
        return it->reservedFor != nullptr && now < it->reservedUntil;
    });
    return MaxReservedShare * static_cast<std::size_t>(reserved) < m_usableWorkers.size();
}

/**
 * Evicts one smaller long-running task if its worker then has enough resources for @p ref, and the evicted one has a place on
 * another worker, or else in another shard. Needed when long-running tasks hold nearly all resources, and the rest is
 * fragmented over workers. What is evicted is smaller each time, so no chain of evictions goes on without end.
 */
void WorkflowScheduler::evictToMakeRoom(const TaskRef &ref, TimePoint now)
{
    // After a takeover the wait before it may have been short: tasks that have just ended find room first.
    TimePoint &nextSearchAt = ref.job->occurrences[ref.occurrence].steps[ref.step].nextEvictionSearchAt;
    if (now < std::max({m_nextEvictionAt, nextSearchAt, ref.job->learnedAt + LongRunningPlacementTimeout})) {
        return;
    }
    nextSearchAt = now + EvictionInterval;
    refreshStatuses(now);
    if (yields(ref, std::numeric_limits<std::int64_t>::max(), now)) {
        return; // the room would be left to the longer wait
    }
    const Resources need = ref.spec().need;
    TaskRef smallest;          // of those that have a place in this shard
    TaskRef smallestElsewhere; // of those that have one only in another shard
    const bool mayDepart = recentDepartures(now).size() < MaxEvictedDepartures;
    const auto hasPlaceInOtherShard = [this, now](const TaskRef &it) {
        std::map<ShardId, CpuByImage> assigned;
        return findPlaceInOtherShard(it, now, assigned).has_value();
    };
    const auto isSmaller = [](const TaskRef &a, const TaskRef &b) {
        return b.job == nullptr || a.spec().need.cpuMillis < b.spec().need.cpuMillis;
    };
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState &worker = *m_workers[i];
        if (!isEligible(worker, ref, now)) {
            continue;
        }
        const Resources available = worker.record.capacity - longRunningResources(worker);
        for (const TaskRef &it : worker.runs) {
            const bool canMove = it.spec().isLongRunning && it.job != ref.job && it.task().phase == TaskPhase::Running;
            if (!canMove || it.spec().need.cpuMillis >= need.cpuMillis || !need.fitsIn(available + it.spec().need)
                || !canBeEvicted(it)) {
                continue;
            }
            if (isSmaller(it, smallest) && canRunElsewhere(it, i, now)) {
                smallest = it;
            } else if (mayDepart && smallest.job == nullptr && isSmaller(it, smallestElsewhere)
                       && hasPlaceInOtherShard(it)) {
                smallestElsewhere = it;
            }
        }
    }
    const bool leavesShard = smallest.job == nullptr;
    smallest = leavesShard ? smallestElsewhere : smallest;
    if (smallest.job == nullptr) {
        return;
    }
    m_nextEvictionAt = now + EvictionInterval;
    WorkerState &worker = *m_workers[smallest.task().worker];
    worker.reservedFor = ref.job;
    worker.reservedUntil = now + WorkerReservationTime;
    logTaskEvent(
        "room_made", ref, "worker", worker.record.id, "moved", smallest.job->key(), "leaves_shard", leavesShard);
    constexpr std::string_view Why = "evicted to make room for a larger task";
    if (leavesShard) {
        beginDeparture(smallest, Why);
    } else {
        stopTask(smallest, Why);
    }
}

/**
 * Whether another worker has enough resources for the task that no task which waits already, or is being stopped, is
 * going to get.
 */
bool WorkflowScheduler::canRunElsewhere(const TaskRef &ref, WorkerIndex from, TimePoint now)
{
    if (m_unpromisedAt != now || m_unpromised.size() != m_workers.size()) {
        findUnpromisedResources(now);
    }
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        if (i != from && ref.spec().need.fitsIn(m_unpromised[i]) && isEligible(*m_workers[i], ref, now)) {
            return true;
        }
    }
    return false;
}

/** Sets m_unpromised: what long-running tasks leave on each worker, less what those without a run are going to take. */
void WorkflowScheduler::findUnpromisedResources(TimePoint now)
{
    m_unpromisedAt = now;
    m_unpromised.clear();
    m_longRunningWaits.clear();
    for (const auto &it : m_workers) {
        m_unpromised.push_back(it->record.capacity - longRunningResources(*it));
    }
    for (JobState *job : m_jobOrder) {
        const auto &steps = job->accepted.spec.steps;
        for (std::uint32_t s = 0; s < steps.size() && !job->isCancelled; ++s) {
            const auto n = static_cast<std::uint32_t>(job->occurrences.front().steps[s].tasks.size());
            for (std::uint32_t i = 0; i < n && steps[s].isLongRunning; ++i) {
                const TaskRef ref{job, 0, s, i};
                const TaskPhase phase = ref.task().phase;
                const bool isPromised
                    = ((phase == TaskPhase::Waiting && !ref.task().isGivenUp) || phase == TaskPhase::Stopping)
                      && promiseResources(ref, now);
                if (!isPromised && phase == TaskPhase::Waiting) {
                    noteLongRunningWait(ref, now);
                }
            }
        }
    }
}

/** Takes the need of a task without a run from the worker reserved for it, or from the one where it fits most tightly. */
bool WorkflowScheduler::promiseResources(const TaskRef &ref, TimePoint now)
{
    const Resources need = ref.spec().need;
    Resources *tightest = nullptr;
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        Resources &left = m_unpromised[i];
        const bool isReserved = m_workers[i]->reservedFor == ref.job && now < m_workers[i]->reservedUntil;
        const bool isBetter = tightest == nullptr || isReserved || left.cpuMillis < tightest->cpuMillis;
        if (isBetter && need.fitsIn(left) && isEligible(*m_workers[i], ref, now)) {
            tightest = &left;
            if (isReserved) {
                break;
            }
        }
    }
    if (tightest != nullptr) {
        *tightest -= need;
    }
    return tightest != nullptr;
}

// ---------------------------------------------------------------------------------------------------------------------
// Longer waits in other shards
// ---------------------------------------------------------------------------------------------------------------------

std::int64_t WorkflowScheduler::wallMsOf(TimePoint time) const
{
    return m_clock.wallNow().count() - toMilliseconds(m_clock.now() - time);
}

/** Whether room may be left to others: the task has never run, and its job was accepted a short time ago. */
bool WorkflowScheduler::mayYield(const TaskRef &ref, TimePoint now)
{
    const TaskState &task = ref.task();
    const bool isNew
        = task.phase == TaskPhase::Waiting && task.waitingSince == TimePoint{} && task.takenAt == TimePoint{};
    return ref.spec().isLongRunning && !ref.spec().isGang && isNew && now < ref.job->acceptedAt + MaxYieldTime;
}

/** Whether a task of another shard has waited for longer than @p ref and needs at most @p cpuMillis. */
bool WorkflowScheduler::yields(const TaskRef &ref, std::int64_t cpuMillis, TimePoint now) const
{
    if (!m_hasOtherShards || !mayYield(ref, now)) {
        return false;
    }
    if (now >= m_statusesReadAt + MaxStatusAge) {
        return now < ref.job->acceptedAt + StatusReadTime; // being read
    }
    return std::any_of(m_statuses.begin(), m_statuses.end(), [&](const auto &entry) {
        const auto &[shard, status] = entry;
        const auto waits = status.longRunningWaits.find(ref.job->accepted.pool);
        return shard != m_shard && waits != status.longRunningWaits.end()
               && std::any_of(waits->second.begin(), waits->second.end(), [&](const auto &it) {
                      return it.first <= cpuMillis && isLongerWait(it.second, ref.job->accepted.acceptedMs);
                  });
    });
}

/** Whether a wait since @p sinceMs goes before one since @p ownSinceMs. */
bool WorkflowScheduler::isLongerWait(std::int64_t sinceMs, std::int64_t ownSinceMs)
{
    return sinceMs + toMilliseconds(WaitTolerance) < ownSinceMs;
}

bool WorkflowScheduler::isLeftToLongerWait(const WorkerState &worker, const TaskRef &ref, TimePoint now) const
{
    return mayYield(ref, now) && yields(ref, (worker.record.capacity - longRunningResources(worker)).cpuMillis, now);
}

bool WorkflowScheduler::canBeEvicted(const TaskRef &ref) const
{
    if (mayBeRunningElsewhere(ref) || isStartInDoubt(ref.task(), m_now)) {
        return false; // could not be started again yet, or not elsewhere
    }
    const std::uint32_t limit = ref.spec().maxUnavailable;
    if (limit == 0) {
        return true;
    }
    const auto &tasks = ref.job->occurrences[ref.occurrence].steps[ref.step].tasks;
    const auto unavailable = std::count_if(tasks.begin(), tasks.end(), [this](const TaskState &it) {
        return it.phase != TaskPhase::Running || m_now < it.startedAt + WarmUpTime;
    });
    return unavailable < static_cast<std::ptrdiff_t>(limit);
}

} // namespace QuetzalRock::Workflow
