/**
 * Moves of whole jobs to another shard: which jobs may move, which ought to, and where to. Decisions without I/O;
 * jobmove.cpp also contains the scheduler's part, the write and what is known of jobs that have left.
 *
 * Index of this file
 *   hasOnlyIndependentLongRunningTasks()   whether nothing but a cancel ends the job
 *   StayReason                why a job that has found no room is not moved
 *   obstacleToMove()          what in the job's state prevents a move
 *   canMoveWhole()            whether the job's state allows a move
 *   noRoomSince()             since when a task of the job has found no worker
 *   hasLongFoundNoRoom()      whether the job's tasks have waited for a worker for long
 *   timeToRest()              how long the job has to start nothing until it can move
 *   chooseMoveDestination()   the shard to which a job moves
 *   addMovedWork()            counts a move in the statuses until the shards publish newer ones
 */
#pragma once

#include <workflow/progress.h>
#include <workflow/shards.h>

namespace QuetzalRock::Workflow {

enum class MoveReason : std::uint8_t {
    Evacuation, ///< the failure domain of the job's shard is evacuated
    NoRoom,     ///< the job has long found no worker, and another shard has clearly less work or shorter waits
};

/** Why a job is not moved; the first that holds. */
enum class StayReason : std::uint8_t {
    None,            ///< it moves with the next write
    Guest,           ///< it belongs to another shard, is final or cancelled
    Moving,          ///< the outcome of a move is unknown
    GivesTasks,      ///< its long-running tasks are given one by one, see transfer.cpp
    TasksAtWork,     ///< some are starting, running or stopping
    NothingWaits,    ///< no task waits
    TasksElsewhere,  ///< other shards have some
    TrialUnderWay,   ///< of a task that is suspected of crashing workers
    NotStored,       ///< its progress has changed since it was last stored
    UnknownRuns,     ///< some task may run on a worker that this leader has not read
    FoundRoomLately, ///< it has not waited for room for long enough
    SingleShard,     ///< there is no other shard
    NoDestination,   ///< no other shard has clearly less work or shorter waits, the labels and the pool
    RetryDelay,      ///< a move was tried a moment ago
};

std::string_view stayReasonName(StayReason reason); ///< e.g. "tasks_at_work"

/** Whether transfer.cpp can give the tasks of such a job one by one: nothing but a cancel ends it. */
bool hasOnlyIndependentLongRunningTasks(const WorkflowSpec &spec);

/**
 * Whether the job can move as it is: tasks wait, none is starting, running or stopping, and all that has happened is
 * stored. Jobs of independent long-running tasks do not move as a whole: transfer.cpp gives their tasks.
 */
bool canMoveWhole(const JobState &job);

/** What prevents a move of the job as it is; None: nothing in its own state does. */
StayReason obstacleToMove(const JobState &job);

/** Since when a task of the job has found no worker, of the one that has waited longest; TimePoint::max(): none waits so. */
TimePoint noRoomSince(const JobState &job);

/**
 * How long the job has to start nothing until its tasks at work are likely to have ended and it can move. None: that would
 * take too long, none is at work, or more of its tasks are at work than wait.
 */
std::optional<Duration> timeToRest(const JobState &job, TimePoint now);

/** Whether a step of the job has found no worker for @p delay, which doubles with each move of the job. */
bool hasLongFoundNoRoom(const JobState &job, TimePoint now, Duration delay);

/**
 * Chooses the destination of @p job from shard @p from, by chooseShard() among the shards of @p map that have capacity for
 * it and every label that it requires. For MoveReason::NoRoom, only shards with clearly less waiting work or clearly
 * shorter waits by their status, of which the other is not more. None if there is no such shard.
 */
std::optional<ShardId> chooseMoveDestination(
    const ShardMap &map, const ShardStatuses &statuses, const JobState &job, ShardId from, MoveReason reason);

/** Moves the waiting work of @p job from one status to the other, so that one shard is not chosen for all jobs. */
void addMovedWork(ShardStatuses &statuses, const ShardMap &map, const JobState &job, ShardId from, ShardId to);

} // namespace QuetzalRock::Workflow
