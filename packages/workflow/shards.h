/**
 * Divides a large fleet among several schedulers. A shard is a group of racks of one failure domain, with its own jobs
 * and its own leader, so that no node has to schedule the whole fleet. A small fleet is one shard.
 *
 * Index of this file
 *   ShardKeys                 store keys of a shard's records
 *   ShardSettings             limits on the size of a shard
 *   ShardInfo, ShardMap       shards and their racks; written by the leader of the first shard, read by all nodes
 *   ShardStatus               load of a shard; written by its leader about once a second
 *   planShards()              assigns new racks to shards
 *   chooseShard()             chooses the shard of a new job
 *   chooseLongRunningShard()  chooses the shard of a job with long-running tasks
 *   shardsFor()               the shards that can run a job
 *   chooseShardForTasks()     chooses the shard to which waiting long-running tasks are given
 *
 * A rack never changes its shard. So a worker only ever sees the epochs of one shard, and a task only ever runs on
 * workers of the shard to which it belongs: fencing and the guarantee that no task runs twice hold within each shard
 * independently of the others. A task changes its shard only by a transfer (transfer.cpp) or with its job (jobmove.cpp).
 */
#pragma once

#include <workflow/model.h>

#include <base/clock.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock::Workflow {

using ShardId = std::uint32_t; ///< from 0; the first shard always exists

constexpr std::string_view ClusterStatePrefix
    = "ctl/board/"; ///< watched by every node: leader keys, requests for handovers and the shard map
constexpr std::string_view ShardMapKey = "ctl/board/shards";
constexpr std::string_view UnassignedPrefix = "in/spread/";        ///< jobs without a shard, see shardassigner.h
constexpr std::string_view LeaderPrefix = "ctl/board/leader/";     ///< followed by the shard's number
constexpr std::string_view WithheldPrefix = "ctl/board/withheld/"; ///< followed by the shard's number
constexpr std::string_view PressurePrefix = "ctl/pressure/";       ///< followed by the shard's number
constexpr std::string_view StatusPrefix = "ctl/status/";           ///< followed by the shard's number

struct ShardKeys
{
    std::string inbox;    ///< common prefix of jobs and cancels
    std::string jobs;     ///< prefix: AcceptedJob by job key
    std::string cancels;  ///< prefix: one item per cancelled job key
    std::string taken;    ///< prefix: GivenTask, one item per task that another shard has given to this one
    std::string leader;   ///< leader key; see election.h
    std::string epoch;    ///< EpochRecord
    std::string workers;  ///< every worker to which the current leader may have sent an order
    std::string withheld; ///< workers whose leases no leader extends, see withheldleases.h
    std::string status;   ///< ShardStatus
    std::string pressure; ///< saved PressureModel
};

ShardKeys makeShardKeys(ShardId shard);

/** Parses the shard's number that follows @p prefix in @p key; none if @p key has another form. */
std::optional<ShardId> shardOfKey(std::string_view key, std::string_view prefix);

struct ShardSettings
{
    std::uint32_t maxSingleShardWorkers = 80; ///< larger fleets are divided; a leader with 0.1 core can manage about 80
    std::uint32_t workersPerShard
        = 60; ///< of a divided fleet. A node with 0.5 core can lead two such shards. Smaller shards fragment
              ///< free capacity: more of it is left in pieces too small for a long-running task
    Duration quietPeriod = std::chrono::seconds(1); ///< without new workers, before racks are assigned
};

struct ShardInfo
{
    std::string failureDomain;                         ///< of all its racks; empty: they may be in several
    std::map<std::string, std::int64_t> poolCpuMillis; ///< CPU capacity by pool: the shard's weight for new jobs
    std::set<std::string> labels;                      ///< of its workers, without rack names

    bool operator==(const ShardInfo &) const = default;
};

struct ShardMap
{
    std::vector<ShardInfo> shards; ///< by ShardId; empty: not planned yet
    std::map<std::string, ShardId> shardOfRack;

    bool operator==(const ShardMap &) const = default;
};

using CpuByImage = std::map<std::string, std::int64_t>; ///< CPU millis by image

struct ShardStatus
{
    std::map<std::string, std::uint32_t> pending; ///< jobs by queue of which no task has started
    std::int64_t longRunningCpuMillis = 0;        ///< CPU declared by all long-running tasks, placed or waiting
    std::int64_t backlogMs = 0;      ///< time that the shard's total CPU needs for the work that is not yet placed
    std::uint64_t inboxRevision = 0; ///< store revision up to which the shard's jobs are included above
    CpuByImage longRunningByImage;   ///< longRunningCpuMillis by image
    std::int64_t bestEffortBacklogMs
        = 0; ///< the same for best-effort work, which waits for spare CPU; also counts what
             ///< throttles hold back

    /** Number of workers by CPU millis that are not held by long-running tasks: the pieces in which room is left. */
    std::map<std::int64_t, std::uint32_t> workersByFreeCpu;

    /**
     * By pool and needed CPU millis: since when (Unix ms) long-running tasks wait that no worker of the shard has room for,
     * short tasks left aside.
     */
    std::map<std::string, std::map<std::int64_t, std::int64_t>> longRunningWaits;

    /**
     * The only shard that may give tasks to the pieces of room, until the next status; none: any may. Each leader reads the same
     * pieces at the same time, so without it several would give to one piece.
     */
    std::optional<std::uint32_t> offeredTo;

    /**
     * How long tasks have found no room, of the one that has waited longest: of tasks that reserve their CPU, and of best-effort
     * tasks. Long-running tasks apart. Unlike backlogMs, it shows that workers with free CPU turn tasks away.
     */
    std::int64_t waitMs = 0;
    std::int64_t bestEffortWaitMs = 0;

    /**
     * By best-effort image, in percent: how well the shard's serving tasks bear such neighbours. 100: not affected at
     * all, 50: their utilisation doubles beside a neighbour that uses a whole worker.
     */
    std::map<std::string, int> tolerance;

    // Only if scarcity is enabled, see forecast.h
    /** Core-milliseconds of best-effort work that waits and is still useful, by priority and workBucket() of its job. */
    std::map<int, std::map<int, std::int64_t>> bestEffortQueued;
    std::int64_t bestEffortRate = 0;     ///< core-milliseconds per second that the shard completes of it; 0: not known
    CpuByImage bestEffortBacklogByImage; ///< bestEffortBacklogMs by image, in ms
    std::int64_t writtenAtMs = 0;        ///< wall time of the leader, Unix ms; 0: none of these members is published

    bool operator==(const ShardStatus &) const = default;
};

using ShardStatuses = std::map<ShardId, ShardStatus>; ///< as last read; a missing shard counts as idle

/**
 * Returns @p map with new racks of @p workers assigned to shards, and with weights and labels computed from @p workers.
 */
ShardMap planShards(const ShardMap &map, std::span<const WorkerRecord> workers, const ShardSettings &settings);

/**
 * Chooses the shard of a new job. Jobs arrive at all nodes at once, and each node's view of the shards' load is about a
 * second old, so taking the least loaded shard would send a burst to a single one. Instead, hashes of the job's key give a
 * few candidates, in proportion to the shards' free CPU, and the one with the smallest backlog wins (power of d choices). A shard that holds the job's
 * data (preferred rack) is taken unless its backlog is much larger. Returns the first shard if no shard has a weight.
 *
 * Best-effort tasks are throttled beside serving tasks that they slow down. So a job with such tasks goes to the shards
 * in proportion to their tolerance of its images, and its expected time there is divided by the tolerance. Where the
 * statuses show the backlog by image, all shards are compared: what binds is the room on workers that bear the image, and
 * so few jobs are of one image that they do not all meet in one shard.
 */
ShardId
chooseShard(const ShardMap &map, const ShardStatuses &statuses, std::string_view pool, const WorkflowSpec &spec);

/**
 * Chooses the shard of a job with long-running tasks, among those that can run @p spec. Prefers a small utilisation by
 * long-running tasks, and shards whose long-running tasks are of the same image: a best-effort image disturbs some
 * serving images and spares others, so it finds quiet workers only where serving tasks are not mixed. Avoids shards whose
 * room is left in pieces too small for the job's tasks. Counts the tasks of
 * the shard's status, those of jobs assigned since (@p assigned) and those of @p spec.
 */
ShardId chooseLongRunningShard(const ShardMap &map,
                               const ShardStatuses &statuses,
                               const std::map<ShardId, CpuByImage> &assigned,
                               std::string_view pool,
                               const WorkflowSpec &spec);

struct TaskDestination
{
    ShardId shard = 0;
    std::uint32_t tasks = 0; ///< number of tasks to give it
};

/**
 * Chooses the shard to which up to @p tasks waiting tasks of a long-running step are given: of those that can run the
 * job and have pieces of room for the step's tasks, the one with the least cost (as for a new job). Takes at most half of
 * the pieces, as other shards may choose the same one. @p assigned counts tasks that a status may not include yet.
 */
std::optional<TaskDestination> chooseShardForTasks(const ShardMap &map,
                                                   const ShardStatuses &statuses,
                                                   const std::map<ShardId, CpuByImage> &assigned,
                                                   std::string_view pool,
                                                   const WorkflowSpec &spec,
                                                   std::uint32_t step,
                                                   std::uint32_t tasks,
                                                   ShardId from);

/** The shards that can run @p spec. */
std::vector<ShardId> shardsFor(const ShardMap &map, std::string_view pool, const WorkflowSpec &spec);

bool hasLongRunningStep(const WorkflowSpec &spec);
void addLongRunningCpu(CpuByImage &sums, const WorkflowSpec &spec);

std::string encodeShardMap(const ShardMap &map);
ShardMap decodeShardMap(std::string_view bytes); ///< throws InvalidArgument

std::string encodeStatus(const ShardStatus &status);
ShardStatus decodeStatus(std::string_view bytes); ///< throws InvalidArgument

} // namespace QuetzalRock::Workflow
