/**
 * The jobs of one shard with their tasks, and the queues and quotas of their tenants.
 *
 * Index of this file
 *   TaskRef, Task, Job   jobs, their tasks, and the state of each task
 *   Tenant               quota, usage and job queues of a tenant
 *   JobTable             jobs by id; slots are reused
 *   TenantQuotaTable     tenants by name; weighted dominant shares and quota checks
 */
#pragma once

#include <placement/interference.h>
#include <placement/ledger.h>
#include <placement/settings.h>

#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

namespace QuetzalRock {

using JobSlot = std::uint32_t;
using TenantSlot = std::uint32_t;

/** Refers to a task by table position: cheaper to copy and to look up than TaskId. */
struct TaskRef
{
    JobSlot job = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskRef &) const = default;
};

enum class PlacementStage : std::uint8_t {
    Pending,  ///< ready to start
    Delayed,  ///< becomes Pending at Task::stageTime, after a failed or barred attempt
    Active,   ///< holds capacity on a worker: start not confirmed, running, or stop not finished
    Finished, ///< ended successfully; never started again
    Removed,  ///< cancelled; holds no capacity
};

struct Task
{
    PlacementStage stage = PlacementStage::Pending;
    bool isWanted = true;             ///< false: cancelled, though it may still be running
    bool isStopping = false;          ///< a stop has been decided but its end is not known yet
    bool isHealthyRunCounted = false; ///< healthyRunTime reached and counted as a success of the worker
    std::uint8_t lateStreak = 0;      ///< services: consecutive measurements above lateRatio
    std::uint8_t recoveredStreak = 0; ///< services: consecutive measurements below recoveredRatio
    std::uint16_t failures = 0;
    std::uint16_t permille = 1000; ///< fraction of its processors that it keeps; below 1000: throttled
    std::uint32_t attempt = 0;     ///< highest attempt number reported
    std::uint32_t minAttempt = 0;  ///< reports on attempts below this number are stale
    WorkerIndex worker = NoWorker;
    std::uint32_t indexOnWorker = 0; ///< position in WorkerView::tasks
    float share = 0;       ///< fraction of the worker's processors that it uses when not throttled; for interference
    float progress = 0;    ///< batch: 0 to 1
    float baseline = 0;    ///< services: smoothed log latency ratio without the effect of neighbours
    float logRatio = 0;    ///< services: predicted log latency ratio, baseline plus the effect of present neighbours
    TimePoint stageTime{}; ///< Pending: since when; Delayed: until when; Active: when it was started
    TimePoint checkpointedAt{}; ///< work done before this time is saved in a checkpoint
    TimePoint lastEvictedAt{};  ///< zero: never
    TimePoint measuredAt{};     ///< services: time of the last measurement used; zero: none
    Resources reserved;         ///< Active: capacity reserved on the worker
    Resources overuse;          ///< Active: measured usage above the reservation
};

/** Why a job's ready tasks were not started in the last round; for explain(). */
enum class WaitReason : std::uint8_t {
    None,
    Capacity,     ///< no usable worker has enough free capacity
    Interference, ///< the slowdown of services would cost more than the task is worth now
    Quota,        ///< the tenant's quota is used up
    Headroom,     ///< the remaining capacity is reserved for urgent work
    RateLimit,    ///< the start rate limit of the shard or of all fitting workers is reached
    Gang,         ///< not enough capacity to start all tasks of the gang at once
    Backoff,      ///< some tasks of the gang wait for their retry delay
};

struct Job
{
    JobSpec spec;
    ClassIndex classIndex = 0;
    TenantSlot tenant = 0;
    int band = 0;               ///< priority band: 0 urgent, 1 services and watches, 2 batch
    std::int64_t queueTime = 0; ///< queue order in the band: submission time in microseconds, moved earlier by priority
    std::uint64_t arrivalNumber = 0; ///< breaks ties of queueTime in order of arrival
    bool isQueued = false;           ///< in its tenant's queue
    bool isExcluded = false;         ///< kept out of the queue: not checked yet, unrunnable, or faulty
    bool hasSucceeded = false;       ///< an attempt finished, or ran for healthyRunTime
    WaitReason waitReason = WaitReason::None;
    std::string exclusionReason; ///< why it is unrunnable or faulty; empty until that has been found
    std::vector<Task> tasks;
    std::vector<std::uint32_t> ready;       ///< stack of task indices; entries whose task is not Pending are stale
    std::uint32_t unfinished = 0;           ///< tasks that are neither Finished nor Removed
    std::uint32_t active = 0;               ///< tasks that are Active
    std::vector<WorkerIndex> failedWorkers; ///< distinct workers on which an attempt failed
    bool avoidsFailedWorkers = false;       ///< as decided when its start was last tried: the others are enough
    std::vector<WorkerIndex> heldWorkers;   ///< workers that accept no other job until this one starts
    std::int64_t heldCpuMillis = 0;         ///< free processors on heldWorkers that count as used in the headroom check
    TimePoint addedAt{};
    float cpuRatio = 1;    ///< learned ratio of used to declared processors
    float memoryRatio = 1; ///< learned ratio of used to declared memory
};

using QueueKey = std::tuple<std::int64_t, std::uint64_t, JobSlot>; ///< Job::queueTime, Job::arrivalNumber, slot
constexpr int BandCount = 3;

struct Tenant
{
    TenantShardQuota quota;
    Resources usage; ///< reserved by its Active tasks
    std::array<std::set<QueueKey>, BandCount> queues;
};

class JobTable
{
public:
    JobSlot add(const JobSpec &spec);
    void remove(JobSlot slot);
    Job &operator[](JobSlot slot);
    const Job &operator[](JobSlot slot) const;
    Task &task(TaskRef ref);
    const Task &task(TaskRef ref) const;
    TaskId idOf(TaskRef ref) const;

    /** False if the job or task is not known. */
    bool find(const TaskId &id, TaskRef &out) const;
    bool contains(JobId id) const;
    std::size_t size() const;

private:
    std::deque<Job> m_jobs; ///< a deque keeps references valid when it grows
    std::vector<JobSlot> m_freeSlots;
    std::unordered_map<JobId, JobSlot> m_byId;
};

class TenantQuotaTable
{
public:
    TenantSlot indexOf(const std::string &tenant);
    Tenant &operator[](TenantSlot index);
    const Tenant &operator[](TenantSlot index) const;
    std::uint32_t size() const;

    void setQuotas(std::span<const TenantShardQuota> quotas); ///< replaces all; other tenants get weight 1 and no limit

    /** The tenant's largest fraction of @p total over all resources, divided by its weight. */
    double dominantShare(TenantSlot index, const Resources &total) const;

    /** The components of @p need that would exceed the tenant's quota if reserved now; the others are 0. */
    Resources quotaShortfall(TenantSlot index, const Resources &need) const;

    /** True if reserving @p need keeps the tenant within its quota. */
    bool fitsQuota(TenantSlot index, const Resources &need) const;

private:
    std::vector<Tenant> m_tenants;
    std::map<std::string, TenantSlot, std::less<>> m_byName;
};

} // namespace QuetzalRock
