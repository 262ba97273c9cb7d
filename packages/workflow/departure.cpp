/**
 * WorkflowScheduler: moves long-running tasks out of evacuated failure domains, and from draining workers to other shards
 * if their own has no room. Short tasks end where they run, and jobs that wait are moved as a whole (jobmove.cpp).
 *
 * A running task is stopped only if a place for it is known, in this shard or in another one, so that it serves its users
 * where it is as long as there is none. A few tasks are on their way at a time: each is down for the time of a stop, a
 * transfer and a start.
 */
#include <workflow/scheduler.h>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration DepartureInterval = 200ms; ///< between two checks; a transfer takes about as long
constexpr Duration StatusMaxAge = 1s;         ///< of the other shards' statuses, by which places are found
constexpr Duration OldestStatus = 2s;         ///< by which a place is known: others have taken it since
constexpr std::size_t MaxDepartures = 4;      ///< tasks of a shard that are on their way out of evacuated domains
constexpr std::size_t MaxDrainDepartures = 8; ///< on their way from draining workers: these do not wait for them
constexpr Duration DepartureTime = 2s;        ///< from the end of its run until a task is started in another shard
constexpr double MaxDestinationUse = 0.85; ///< of the other shard's CPU by long-running tasks: fuller ones lack CPU for
                                           ///< other work, and leave room in pieces too small for a task

} // namespace

/** Whether the shard has no worker left that may be used, as its failure domain is evacuated. */
bool WorkflowScheduler::isShardEvacuated() const
{
    return m_evacuations != nullptr && m_shardMap != nullptr && m_shard < m_shardMap->shards.size()
           && m_evacuations->isRequested(m_shardMap->shards[m_shard].failureDomain);
}

/** Whether the task waits and was stopped for a place in another shard, or because its worker was about to shut down. */
bool WorkflowScheduler::isLeavingShard(const TaskRef &ref) const
{
    return std::find(m_departures.begin(), m_departures.end(), ref) != m_departures.end();
}

void WorkflowScheduler::beginDepartures(TimePoint now)
{
    if (now < m_nextDepartureAt || m_authority != Authority::Full) {
        return;
    }
    m_nextDepartureAt = now + DepartureInterval;
    forgetEndedDepartures();
    leaveDrainingWorkers(now);
    leaveEvacuatedDomains(now);
}

/** Those that run again, were given to another shard, or whose job has ended. */
void WorkflowScheduler::forgetEndedDepartures()
{
    std::erase_if(m_departures, [this](const TaskRef &it) {
        const bool isKnown = std::any_of(
            m_activeJobs.begin(), m_activeJobs.end(), [&it](const auto &entry) { return entry.second == it.job; });
        if (!isKnown) { // it may have been moved to another shard as a whole: the reference is not valid any more
            return true;
        }
        const TaskPhase phase = it.task().phase;
        const bool isUndecided = phase == TaskPhase::Foreign && m_transfer.has_value();
        return phase != TaskPhase::Stopping && phase != TaskPhase::Waiting && !isUndecided;
    });
}

/** Those that are on their way. Others wait for a place that nobody may have, and must not hold up any more tasks. */
std::vector<TaskRef> WorkflowScheduler::recentDepartures(TimePoint now) const
{
    std::vector<TaskRef> tasks;
    std::copy_if(m_departures.begin(), m_departures.end(), std::back_inserter(tasks), [now](const TaskRef &it) {
        return it.task().phase != TaskPhase::Waiting || now < it.task().retryAt + DepartureTime;
    });
    return tasks;
}

void WorkflowScheduler::beginDeparture(const TaskRef &ref, std::string_view why)
{
    if (!isLeavingShard(ref)) {
        m_departures.push_back(ref);
    }
    stopTask(ref, why);
}

// ---------------------------------------------------------------------------------------------------------------------
// Draining workers
// ---------------------------------------------------------------------------------------------------------------------

/**
 * Stops tasks for which another shard has room while their worker still runs. Those that find room in this shard are
 * stopped by evacuateDrainingWorker(), and so are those that are left when their worker is about to shut down.
 */
void WorkflowScheduler::leaveDrainingWorkers(TimePoint now)
{
    if (!m_hasOtherShards) {
        return;
    }
    const std::vector<TaskRef> candidates = longRunningTasksOnDrainingWorkers(now);
    if (candidates.empty()) {
        return;
    }
    refreshStatuses(now);
    if (hasLongWaitForOtherShards(now)) {
        return; // these take what room there is first
    }
    for (const TaskRef &it : candidates) {
        if (recentDepartures(now).size() >= MaxDrainDepartures) {
            return;
        }
        std::map<ShardId, CpuByImage> assigned;
        if (canBeEvicted(it) && !canRunElsewhere(it, it.task().worker, now)
            && findPlaceInOtherShard(it, now, assigned)) {
            beginDeparture(it, "the worker is draining and another shard has room");
        }
    }
}

/** Whether tasks that run nowhere have waited for a place in another shard for longer than a departure takes. */
bool WorkflowScheduler::hasLongWaitForOtherShards(TimePoint now) const
{
    const std::vector<TaskRef> waiting = stepsWithoutRoom(now);
    return std::any_of(waiting.begin(), waiting.end(), [now](const TaskRef &it) {
        return now >= longestWaitSince(*it.job, it.task()) + DepartureTime;
    });
}

/** Those that run: of the worker that leaves first, first; of the same worker the smallest first. */
std::vector<TaskRef> WorkflowScheduler::longRunningTasksOnDrainingWorkers(TimePoint now) const
{
    std::vector<TaskRef> tasks;
    for (const auto &worker : m_workers) {
        const bool isDraining = worker->isRegistered && worker->record.condition == WorkerCondition::Draining;
        if (!isDraining || worker->unansweredRenewals > 0 || now + m_settings.drainMargin >= worker->leavesAt()) {
            continue;
        }
        std::copy_if(worker->runs.begin(), worker->runs.end(), std::back_inserter(tasks), [](const TaskRef &it) {
            return it.spec().isLongRunning && it.task().phase == TaskPhase::Running && !it.task().trial;
        });
    }
    const auto order = [this](const TaskRef &it) {
        return std::tuple(m_workers[it.task().worker]->leavesAt(), it.task().worker, it.spec().need.cpuMillis);
    };
    std::stable_sort(
        tasks.begin(), tasks.end(), [&order](const TaskRef &a, const TaskRef &b) { return order(a) < order(b); });
    return tasks;
}

// ---------------------------------------------------------------------------------------------------------------------
// Evacuated failure domains
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::leaveEvacuatedDomains(TimePoint now)
{
    if (m_evacuations == nullptr) {
        return;
    }
    const std::vector<TaskRef> candidates = longRunningTasksInEvacuatedDomains();
    if (candidates.empty()) {
        return;
    }
    refreshStatuses(now);
    for (const TaskRef &it : candidates) {
        if (recentDepartures(now).size() >= MaxDepartures) {
            return;
        }
        if (canBeEvicted(it) && hasPlaceElsewhere(it, now)) {
            beginDeparture(it, "its failure domain is evacuated");
        }
    }
}

/** Those that run, the smallest first: they find a place most easily. */
std::vector<TaskRef> WorkflowScheduler::longRunningTasksInEvacuatedDomains() const
{
    std::vector<TaskRef> tasks;
    for (const auto &worker : m_workers) {
        if (worker->runs.empty() || !m_evacuations->isRequested(worker->record.failureDomain)) {
            continue;
        }
        for (const TaskRef &it : worker->runs) {
            if (it.spec().isLongRunning && it.task().phase == TaskPhase::Running) {
                tasks.push_back(it);
            }
        }
    }
    std::stable_sort(tasks.begin(), tasks.end(), [](const TaskRef &a, const TaskRef &b) {
        return a.spec().need.cpuMillis < b.spec().need.cpuMillis;
    });
    return tasks;
}

// ---------------------------------------------------------------------------------------------------------------------
// Places
// ---------------------------------------------------------------------------------------------------------------------

bool WorkflowScheduler::hasPlaceElsewhere(const TaskRef &ref, TimePoint now)
{
    if (canRunElsewhere(ref, ref.task().worker, now)) {
        return true;
    }
    std::map<ShardId, CpuByImage> assigned;
    const auto destination = findPlaceInOtherShard(ref, now, assigned);
    if (!destination) {
        return false;
    }
    std::int64_t use = m_statuses[destination->shard].longRunningCpuMillis + ref.spec().need.cpuMillis;
    for (const auto &[image, millis] : assigned[destination->shard]) {
        use += millis;
    }
    const auto &capacity = m_shardMap->shards[destination->shard].poolCpuMillis;
    const auto found = capacity.find(ref.job->accepted.pool);
    return found != capacity.end()
           && static_cast<double>(use) <= MaxDestinationUse * static_cast<double>(found->second);
}

/** Sets @p assigned to what each shard may get beyond its status: what was given, and all that is on its way. */
std::optional<TaskDestination>
WorkflowScheduler::findPlaceInOtherShard(const TaskRef &ref, TimePoint now, std::map<ShardId, CpuByImage> &assigned)
{
    if (!m_hasOtherShards || !canGiveTasksOf(*ref.job) || now >= m_statusesReadAt + OldestStatus) {
        return std::nullopt;
    }
    assigned = recentlyGivenCpu();
    for (const TaskRef &it : recentDepartures(now)) {
        for (const auto &[shard, status] : m_statuses) {
            // Which shard each will get is not known yet: counted at every one.
            assigned[shard][it.spec().image] += it.spec().need.cpuMillis;
        }
    }
    const AcceptedJob &job = ref.job->accepted;
    // Once it is stopped its wait is the shortest of all.
    const ShardStatuses offers = offersFor(job.pool, now);
    return chooseShardForTasks(*m_shardMap, offers, assigned, job.pool, job.spec, ref.step, 1, m_shard);
}

void WorkflowScheduler::refreshStatuses(TimePoint now)
{
    if (!m_hasOtherShards || m_isReadingStatuses || now < m_statusesReadAt + StatusMaxAge) {
        return;
    }
    m_isReadingStatuses = true;
    m_store.range(StatusPrefix, {}, ifAlive([this](const StoreReply &reply) {
                      m_isReadingStatuses = false;
                      if (reply.status == StoreStatus::Ok) {
                          onStatusesRead(reply);
                          m_isPlacementDue = true; // for tasks that yield to longer waits
                      }
                  }));
}

} // namespace QuetzalRock::Workflow
