/**
 * How a large fleet is divided among several schedulers. A shard is a group of racks of one failure domain with jobs of its
 * own; each has its own leader, so that no node decides for the whole fleet. A small fleet is one shard.
 *
 * Index of this file
 *   ShardKeys       where a shard's records lie in the store
 *   ShardSettings   how large a shard gets
 *   ShardMap        which rack belongs to which shard; written by the leader of the first shard, read by all nodes
 *   ShardStatus     how busy a shard is; written by its leader about once a second
 *   planShards()    assigns racks that are new
 *   chooseShard()   the shard that a new job goes to
 *   spreadShard()   the shard that a lasting job goes to
 *
 * A rack never changes its shard: a worker only ever hears of the epochs of one shard, and a task only ever runs on workers
 * of its job's shard. So each shard keeps the promises by itself, as if it were alone.
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

constexpr std::string_view BoardPrefix = "ctl/board/"; ///< what every node follows: leaders and the map
constexpr std::string_view ShardMapKey = "ctl/board/shards";
constexpr std::string_view SpreadPrefix = "in/spread/"; ///< jobs that still wait for their shard, see shardassigner.h
constexpr std::string_view LeaderPrefix = "ctl/board/leader/"; ///< and the shard's number
constexpr std::string_view PressurePrefix = "ctl/pressure/";   ///< and the shard's number
constexpr std::string_view StatusPrefix = "ctl/status/";       ///< and the shard's number

struct ShardKeys
{
    std::string inbox;    ///< prefix of the two below
    std::string jobs;     ///< prefix: AcceptedJob by key
    std::string cancels;  ///< prefix: cancelled jobs by key
    std::string leader;   ///< who decides, under a lease
    std::string epoch;    ///< EpochRecord
    std::string workers;  ///< every worker that the present leader may have sent an order to
    std::string status;   ///< ShardStatus
    std::string pressure; ///< what has been learned of neighbours
};

ShardKeys makeShardKeys(ShardId shard);

/** The shard whose number follows @p prefix in @p key; none where no number does. */
std::optional<ShardId> shardOfKey(std::string_view key, std::string_view prefix);

struct ShardSettings
{
    std::uint32_t maxSingleShardWorkers = 80; ///< workers; one leader on a tenth of a core carries about so many
    std::uint32_t workersPerShard
        = 60; ///< beyond that: a node of half a core leads two; smaller ones leave more pieces
              ///< of room that are too small for a lasting task
    Duration settle = std::chrono::seconds(1); ///< racks are assigned so long after the last new worker
};

struct ShardRow
{
    std::string failureDomain;                      ///< of all its racks; empty: of several
    std::map<std::string, std::int64_t> poolMillis; ///< processors by pool, in millis: its weight for new jobs
    std::set<std::string> labels;                   ///< of its workers, racks aside

    bool operator==(const ShardRow &) const = default;
};

struct ShardMap
{
    std::vector<ShardRow> shards; ///< by ShardId; empty: not planned yet
    std::map<std::string, ShardId> shardOfRack;

    bool operator==(const ShardMap &) const = default;
};

struct ShardStatus
{
    std::map<std::string, std::uint32_t> pending; ///< by queue: jobs for which no task has started
    std::int64_t longRunningCpuMillis = 0;        ///< processors of all lasting tasks, at work or waiting
    std::int64_t backlogMs = 0;                   ///< work that waits for room, against all its processors
    std::uint64_t inboxRevision = 0;              ///< jobs given to the shard up to this count in the above

    bool operator==(const ShardStatus &) const = default;
};

using ShardStatuses = std::map<ShardId, ShardStatus>; ///< as last read; a shard that is missing counts as idle

/** Keeps what @p map says, gives racks of @p workers that it does not know to shards, and weighs the shards anew. */
ShardMap planShards(const ShardMap &map, std::span<const WorkerRecord> workers, const ShardSettings &settings);

/**
 * Answers this load: jobs come at all nodes at once, and each node knows how busy the shards were a second ago. Of two shards
 * by the hash of @p key the less busy one; the one that holds the job's data unless it is far busier. The first shard where
 * nothing is known.
 */
ShardId
chooseShard(const ShardMap &map, const ShardStatuses &statuses, std::string_view pool, const WorkflowSpec &spec);

/** Of the shards that can run @p spec the one where lasting tasks, @p spread and @p spec hold the smallest part of the room. */
ShardId spreadShard(const ShardMap &map,
                    const ShardStatuses &statuses,
                    const std::map<ShardId, std::int64_t> &spreadMillis,
                    std::string_view pool,
                    const WorkflowSpec &spec);

bool hasLongRunningStep(const WorkflowSpec &spec);
std::int64_t longRunningCpuMillisOf(const WorkflowSpec &spec); ///< processors of its lasting tasks

std::string encodeShardMap(const ShardMap &map);
ShardMap decodeShardMap(std::string_view bytes); ///< throws InvalidArgument

std::string encodeStatus(const ShardStatus &status);
ShardStatus decodeStatus(std::string_view bytes); ///< throws InvalidArgument

} // namespace QuetzalRock::Workflow
