/**
 * WorkflowScheduler: moves long-running tasks out of evacuated failure domains. Short tasks end where they run, and jobs
 * that wait are moved as a whole (jobmove.cpp).
 *
 * A running task is stopped only if a place for it is known, in this shard or in another one, so that it serves its users
 * where it is as long as there is none. A few tasks are on their way at a time: each is down for the time of a stop, a
 * transfer and a start.
 */
#include <workflow/scheduler.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration DepartureInterval = 200ms; ///< between two checks; a transfer takes about as long
constexpr Duration StatusMaxAge = 1s;         ///< of the other shards' statuses, by which places are found
constexpr std::size_t MaxDepartures = 4;      ///< tasks of a shard that are on their way at a time
constexpr double MaxDestinationUse = 0.85; ///< of the other shard's CPU by long-running tasks: fuller ones lack CPU for
                                           ///< other work, and leave room in pieces too small for a task

} // namespace

/** Whether the shard has no worker left that may be used, as its failure domain is evacuated. */
bool WorkflowScheduler::isShardEvacuated() const
{
    return m_evacuations != nullptr && m_shardMap != nullptr && m_shard < m_shardMap->shards.size()
           && m_evacuations->isRequested(m_shardMap->shards[m_shard].failureDomain);
}

void WorkflowScheduler::leaveEvacuatedDomains(TimePoint now)
{
    if (m_evacuations == nullptr || now < m_nextDepartureAt || m_authority != Authority::Full) {
        return;
    }
    m_nextDepartureAt = now + DepartureInterval;
    const std::vector<TaskRef> candidates = longRunningTasksInEvacuatedDomains();
    if (candidates.empty()) {
        return;
    }
    std::map<std::string, std::int64_t> leavingCpu; // by image
    std::size_t leaving = 0;
    for (const TaskRef &it : m_departures) {
        leavingCpu[it.spec().image] += it.spec().need.cpuMillis;
        ++leaving;
    }
    refreshStatusesForDepartures(now);
    for (const TaskRef &it : candidates) {
        if (leaving >= MaxDepartures) {
            return;
        }
        if (canBeEvicted(it) && hasPlaceElsewhere(it, leavingCpu, now)) {
            leavingCpu[it.spec().image] += it.spec().need.cpuMillis;
            ++leaving;
            m_departures.push_back(it);
            stopTask(it, "its failure domain is evacuated");
        }
    }
}

/** Those that run, the smallest first: they find a place most easily. Also forgets departures that have ended. */
std::vector<TaskRef> WorkflowScheduler::longRunningTasksInEvacuatedDomains()
{
    std::erase_if(m_departures, [this](const TaskRef &it) {
        const bool isKnown = std::any_of(
            m_activeJobs.begin(), m_activeJobs.end(), [&it](const auto &entry) { return entry.second == it.job; });
        return !isKnown || (it.task().phase != TaskPhase::Stopping && it.task().phase != TaskPhase::Waiting);
    });
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

bool WorkflowScheduler::hasPlaceElsewhere(const TaskRef &ref,
                                          const std::map<std::string, std::int64_t> &leavingCpu,
                                          TimePoint now)
{
    if (canRunElsewhere(ref, ref.task().worker, now)) {
        return true;
    }
    if (!m_hasOtherShards || !canGiveTasksOf(*ref.job) || m_statuses.empty()) {
        return false;
    }
    std::map<ShardId, CpuByImage> assigned = recentlyGivenCpu();
    for (const auto &[image, millis] : leavingCpu) {
        for (const auto &[shard, status] : m_statuses) {
            assigned[shard][image] += millis; // which shard each will get is not known yet: counted at every one
        }
    }
    const AcceptedJob &job = ref.job->accepted;
    const auto destination
        = chooseShardForTasks(*m_shardMap, m_statuses, assigned, job.pool, job.spec, ref.step, 1, m_shard);
    if (!destination) {
        return false;
    }
    std::int64_t use = m_statuses[destination->shard].longRunningCpuMillis + ref.spec().need.cpuMillis;
    for (const auto &[image, millis] : assigned[destination->shard]) {
        use += millis;
    }
    const auto &capacity = m_shardMap->shards[destination->shard].poolCpuMillis;
    const auto found = capacity.find(job.pool);
    return found != capacity.end()
           && static_cast<double>(use) <= MaxDestinationUse * static_cast<double>(found->second);
}

void WorkflowScheduler::refreshStatusesForDepartures(TimePoint now)
{
    if (!m_hasOtherShards || m_isReadingStatuses || now < m_statusesReadAt + StatusMaxAge) {
        return;
    }
    m_isReadingStatuses = true;
    m_store.range(StatusPrefix, {}, ifAlive([this](const StoreReply &reply) {
                      m_isReadingStatuses = false;
                      if (reply.status == StoreStatus::Ok) {
                          onStatusesRead(reply);
                      }
                  }));
}

} // namespace QuetzalRock::Workflow
