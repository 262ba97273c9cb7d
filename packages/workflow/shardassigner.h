/**
 * Assigns jobs with long-running tasks to shards. Most of these jobs are submitted within a second or two, at all
 * nodes, and hold their capacity for the rest of the day. If each node chose shards on its own, some shards would fill
 * up while others stayed empty, so the leader of the first shard assigns all of them, one after the other.
 *
 * An unassigned job is stored under UnassignedPrefix, and its registration names no shard. It is assigned by one write
 * with the registration's revision as a condition, so it gets exactly one shard even if several nodes try.
 */
#pragma once

#include <workflow/election.h>
#include <workflow/mirror.h>
#include <workflow/shards.h>

namespace QuetzalRock::Workflow {

class ShardAssigner
{
public:
    /**
     * One per term of the first shard's leader. @p map and @p statuses are kept up to date by the caller and outlive
     * it.
     */
    ShardAssigner(RecordStore &store,
                  Clock &clock,
                  EventLog &log,
                  const ShardMap &map,
                  const ShardStatuses &statuses,
                  const Leadership &term);

    void tick(TimePoint now);
    bool hasWaitingJobs() const;

private:
    struct WaitingJob
    {
        std::string value; ///< AcceptedJob
        TimePoint retryAt{};
        bool isInFlight = false;
    };
    /** An assigned job that its shard's status may not include yet. */
    struct RecentAssignment
    {
        ShardId shard = 0;
        CpuByImage cpuMillis;
        std::uint64_t revision = 0; ///< of the write; 0: in flight
    };

    void onItem(const StoreItem &item);
    void readRegistration(const JobKey &key);
    void onRegistrationRead(const JobKey &key, const StoreReply &reply);
    void assign(const JobKey &key, std::uint64_t registrationRevision);
    void onAssigned(const JobKey &key, ShardId shard, const StoreReply &reply);
    void scheduleRetry(const JobKey &key);
    std::map<ShardId, CpuByImage> recentCpuMillis();

    RecordStore &m_store;
    Clock &m_clock;
    EventLog &m_log;
    const ShardMap &m_map;
    const ShardStatuses &m_statuses;
    Leadership m_term;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< lets callbacks detect that this object is destroyed
    PrefixMirror m_unassigned;
    std::map<JobKey, WaitingJob> m_waiting;
    std::map<JobKey, RecentAssignment> m_recent;
};

} // namespace QuetzalRock::Workflow
