/**
 * The jobs of one shard, their tasks, and the order in which tenants and jobs get their turn.
 *
 * Index of this file
 *   TaskRef, Task, Job   what is wanted and where it runs
 *   Tenant                 usage, allotment, queues
 *   JobTable             jobs by id, slots reused
 *   TenantLedger            tenants, weighted dominant shares
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

/** A task within the engine: cheap to copy and to follow. */
struct TaskRef
{
    JobSlot job = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskRef &) const = default;
};

enum class PlacementStage : std::uint8_t {
    Pending,  ///< ready to start
    Delayed,  ///< pending, after Task::since
    Active,   ///< holds a worker's room: start in doubt, running, or stop not finished
    Finished, ///< ended successfully
    Removed,  ///< no longer wanted, and holds nothing
};

struct Task
{
    PlacementStage phase = PlacementStage::Pending;
    bool wanted = true;
    bool stopping = false; ///< a stop was decided
    bool proven = false;   ///< ran long enough to speak for its worker
    std::uint8_t hot = 0;  ///< services: measurements in a row above guardHigh
    std::uint8_t cool = 0; ///< services: measurements in a row below guardLow
    std::uint16_t failures = 0;
    std::uint16_t permille = 1000; ///< of its processors
    std::uint32_t attempt = 0;     ///< highest attempt number reported
    std::uint32_t minAttempt = 0;  ///< reports of earlier attempts are stale
    WorkerIndex worker = NoWorker;
    std::uint32_t slot = 0; ///< in the worker's list
    float share = 0;        ///< of the worker's processors, as it counts for interference, unthrottled
    float progress = 0;     ///< batch: 0 to 1
    float level = 0;        ///< services: smoothed log of latency over target, without the neighbours' part
    float logRatio = 0;     ///< services: level and the neighbours' part as of now
    TimePoint since{};      ///< Delayed: until; Pending: from; Active: started
    TimePoint safeAt{};     ///< work done before this is in a checkpoint
    TimePoint evictedAt{};  ///< last; zero: never
    TimePoint measuredAt{}; ///< services: of the last measurement taken in
    Resources reserved;     ///< Active: what it holds
    Resources overuse;      ///< Active: measured beyond that
};

/** Why a job waits, for explain(). */
enum class WaitReason : std::uint8_t {
    None,
    Room,         ///< no open worker has room
    Interference, ///< it would harm services more than it is worth now
    Quota,
    Headroom,
    Pacing,
    Gang,
    Backoff,
};

struct Job
{
    JobSpec spec;
    ClassIndex classIndex = 0;
    TenantSlot tenant = 0;
    int band = 0;             ///< 0 urgent, 1 services and watches, 2 batch
    std::int64_t key = 0;     ///< order within the tenant's band
    std::uint64_t number = 0; ///< order of arrival; breaks ties
    bool queued = false;
    bool parked = false; ///< out of the queues: not yet checked, unrunnable, or at fault itself
    bool succeeded = false;
    WaitReason waits = WaitReason::None;
    std::string parkedReason; ///< empty until it has been named
    std::vector<Task> tasks;
    std::vector<std::uint32_t> ready; ///< a stack; entries whose task is not Pending are stale
    std::uint32_t unfinished = 0;     ///< tasks neither Finished nor Removed
    std::uint32_t active = 0;
    std::vector<WorkerIndex> failedOn; ///< distinct healthy workers
    std::vector<WorkerIndex> holds;    ///< workers that take nothing else
    std::int64_t claim = 0; ///< room on its holds, in millis of processor, that counts as taken for the headroom
    TimePoint added{};
    float cpuRatio = 1;    ///< learned: used over declared processors
    float memoryRatio = 1; ///< learned: used over declared memory
};

using QueueKey = std::tuple<std::int64_t, std::uint64_t, JobSlot>;
constexpr int BandCount = 3;

struct Tenant
{
    TenantAllotment quota;
    Resources usage; ///< of its Active tasks
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

    /** False where the job or task is not known. */
    bool find(const TaskId &id, TaskRef &out) const;
    bool contains(JobId id) const;
    std::size_t size() const;

private:
    std::deque<Job> m_jobs; ///< a deque, so that references stay good
    std::vector<JobSlot> m_free;
    std::unordered_map<JobId, JobSlot> m_byId;
};

class TenantLedger
{
public:
    TenantSlot indexOf(const std::string &tenant);
    Tenant &operator[](TenantSlot index);
    const Tenant &operator[](TenantSlot index) const;
    std::uint32_t size() const;

    void setQuotas(std::span<const TenantAllotment> quotas); ///< replaces all; tenants not named fall back to no limit

    /** The largest part of @p total that the tenant holds of any resource, over its weight. */
    double dominantShare(TenantSlot index, const Resources &total) const;

    /** Which components of @p need the tenant's allotment lacks now; the others are 0. */
    Resources lacking(TenantSlot index, const Resources &need) const;

    /** True where @p need more keeps the tenant within its allotment. */
    bool allows(TenantSlot index, const Resources &need) const;

private:
    std::vector<Tenant> m_tenants;
    std::map<std::string, TenantSlot, std::less<>> m_byName;
};

} // namespace QuetzalRock
