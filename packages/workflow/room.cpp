/** WorkflowScheduler: room for lasting tasks that starve, kept on one worker or made by moving a smaller one. */
#include <workflow/scheduler.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration KeepRoomFor = 500ms; ///< renewed with each attempt at placing, see PlaceAgain
constexpr Duration MakeRoomEvery = 1s;  ///< the last move takes effect first
constexpr Duration AtWorkAfter = 5s;    ///< of a lasting task's start; those that started later count as away

/** What lasting tasks hold there: it does not fall free by itself. */
Resources lastingUse(const WorkerState &worker)
{
    Resources use;
    for (const TaskRef &it : worker.runs) {
        if (it.spec().isLasting) {
            use += it.spec().need;
        }
    }
    return use;
}

/** How much of a worker has to fall free before @p need fits, as a part of its capacity. */
double lackOf(std::int64_t need, std::int64_t free, std::int64_t capacity)
{
    return static_cast<double>(need - free) / static_cast<double>(std::max<std::int64_t>(1, capacity));
}

} // namespace

/** Keeps a worker from other jobs until @p ref fits: the one that lacks least, and would have room without short tasks. */
void WorkflowScheduler::keepRoom(const TaskRef &ref, TimePoint now)
{
    const Resources need = ref.spec().need;
    WorkerState *best = nullptr;
    double leastLack = 0;
    for (const auto &it : m_workers) {
        if (!mayTake(*it, ref, now) || !need.fitsIn(it->record.capacity - lastingUse(*it))) {
            continue;
        }
        if (it->keptFor == ref.job && now < it->keptUntil) {
            best = it.get(); // one worker at a time for each job
            break;
        }
        const Resources free = it->freeRoom();
        const double lack = std::max(lackOf(need.cpuMillis, free.cpuMillis, it->record.capacity.cpuMillis),
                                     lackOf(need.memoryMib, free.memoryMib, it->record.capacity.memoryMib));
        if (best == nullptr || lack < leastLack) {
            best = it.get();
            leastLack = lack;
        }
    }
    if (best == nullptr) {
        makeRoom(ref, now);
        return;
    }
    if (best->keptFor != ref.job) {
        logRun("room_kept", ref, "worker", best->record.id, "lack", leastLack);
    }
    best->keptFor = ref.job;
    best->keptUntil = now + KeepRoomFor;
}

/**
 * Answers this load: lasting tasks hold nearly all room, and what is left lies in pieces too small for @p ref. Moves one
 * smaller lasting task, where that leaves a piece that is large enough.
 */
void WorkflowScheduler::makeRoom(const TaskRef &ref, TimePoint now)
{
    if (now < m_makeRoomAt) {
        return;
    }
    m_makeRoomAt = now + MakeRoomEvery;
    const Resources need = ref.spec().need;
    TaskRef smallest;
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState &worker = *m_workers[i];
        if (!mayTake(worker, ref, now)) {
            continue;
        }
        const Resources left = worker.record.capacity - lastingUse(worker);
        for (const TaskRef &it : worker.runs) {
            const bool isSmaller = smallest.job == nullptr || it.spec().need.cpuMillis < smallest.spec().need.cpuMillis;
            const bool mayMove = it.spec().isLasting && it.job != ref.job && it.task().phase == TaskPhase::Running;
            if (isSmaller && mayMove && it.spec().need.cpuMillis < need.cpuMillis && need.fitsIn(left + it.spec().need)
                && mayBeStopped(it) && canGoElsewhere(it, i, now)) {
                smallest = it;
            }
        }
    }
    if (smallest.job == nullptr) {
        return;
    }
    WorkerState &worker = *m_workers[smallest.task().worker];
    worker.keptFor = ref.job;
    worker.keptUntil = now + KeepRoomFor;
    logRun("room_made", ref, "worker", worker.record.id, "moved", smallest.job->key());
    stop(smallest, "it makes room for a larger task");
}

bool WorkflowScheduler::canGoElsewhere(const TaskRef &ref, WorkerIndex from, TimePoint now) const
{
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState &worker = *m_workers[i];
        if (i != from && mayTake(worker, ref, now)
            && ref.spec().need.fitsIn(worker.record.capacity - lastingUse(worker))) {
            return true;
        }
    }
    return false;
}

bool WorkflowScheduler::mayBeStopped(const TaskRef &ref) const
{
    const std::uint32_t most = ref.spec().maxUnavailable;
    if (most == 0) {
        return true;
    }
    const auto &tasks = ref.job->occurrences[ref.occurrence].steps[ref.step].tasks;
    const auto away = std::count_if(tasks.begin(), tasks.end(), [this](const TaskState &it) {
        return it.phase != TaskPhase::Running || m_now < it.startedAt + AtWorkAfter;
    });
    return away < static_cast<std::ptrdiff_t>(most);
}

} // namespace QuetzalRock::Workflow
