/**
 * Why accepted work waits: what the leader finds out about the tasks that have waited longest.
 *
 * Index of this file
 *   WaitReason      what a task waits for, apart from the workers' own reasons, see Refusal
 *   WaitDiagnosis   why the tasks of one step wait
 *   QueueWait       the waiting tasks of a queue
 *   WaitingTasks    all of these; exported as metrics
 */
#pragma once

#include <workflow/jobmove.h>
#include <workflow/placement.h>

#include <base/clock.h>

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock::Workflow {

enum class WaitReason : std::uint8_t {
    None,
    NoAuthority,   ///< the leader may not send orders, as the store has not confirmed its lease for long
    NewInGrace,    ///< the job is new, and the store has not confirmed the leader's lease since
    Resting,       ///< the job starts nothing until its tasks have ended, and then moves to another shard
    Moving,        ///< the outcome of the job's move to another shard is unknown
    RetryDelay,    ///< a start was rejected a moment ago, or it is not yet known whether it has crashed its worker
    UnreadWorkers, ///< it may run on a worker that the new leader has not read yet
    GivenUp,       ///< it has crashed its workers and returns to the shard that gave it
    HeldBySuspect, ///< another task of the job has crashed a worker in its trial
    Trial,         ///< it is suspected of crashing workers, and has to be tried alone
    NoWorker,      ///< no worker of the pool gets starts
    NoRoom,        ///< each worker turns it away
    Gang,          ///< there is room for one member of the gang at least, but not for all
    Order,         ///< there is room, which appeared after the last placement or goes to jobs before it in the order
};

std::string_view waitReasonName(WaitReason reason); ///< e.g. "unread_workers"

/** Why the tasks of one step wait, as found for the one that has waited longest. */
struct WaitDiagnosis
{
    JobKey job;
    std::string queue;
    std::uint32_t step = 0;
    std::uint32_t task = 0;  ///< the one that has waited longest
    std::uint32_t tasks = 0; ///< number of tasks of the step that have waited for seconds
    Duration waited{};       ///< of that task; see WorkflowScheduler::waitOf()
    Duration age{};          ///< of the job, since its acceptance
    WaitReason reason = WaitReason::None;
    Refusal mainRefusal = Refusal::None;                  ///< NoWorker, NoRoom: that of most workers
    std::array<std::uint32_t, RefusalCount> turnedAway{}; ///< registered workers of the pool by Refusal; None: has room
    StayReason stays = StayReason::None;                  ///< why the job is not moved to another shard
    std::size_t rank = 0;                                 ///< number of jobs before it in the order of placement
    std::uint32_t overtaking = 0; ///< tasks of jobs accepted later that were started since the last check, on the same
                                  ///< kind of CPU (reserved or spare) of the pool

    /** The name of the reason, or if workers turn it away, of what most of them turn it away for. */
    std::string_view why() const;

    /** E.g. "no_free_cpu:12,reserved:1"; without workers that have room. */
    std::string turnedAwayText() const;
};

struct QueueWait
{
    Duration oldest{};       ///< wait of the task that has waited longest
    std::uint32_t tasks = 0; ///< that wait and are due, for however short a time
};

/** Tasks that are suspected of crashing their workers. */
struct SuspectCounts
{
    std::uint32_t waiting = 0; ///< for their trials
    std::uint32_t guilty = 0;  ///< of these, have crashed a worker in an earlier trial
    std::uint32_t explained
        = 0;                  ///< of these, are suspected only for crashes that another task is likely to have caused
    std::uint32_t tried = 0;  ///< run in a trial, or its outcome is not known yet
    std::uint32_t heldUp = 0; ///< of these, on workers that are silent
    Duration oldest{};        ///< longest time since the last crash that a waiting one is suspected for
};

/** As of the last check. */
struct WaitingTasks
{
    SuspectCounts suspects;
    std::uint32_t forUnreadWorkers
        = 0;                      ///< long-running tasks that have waited for seconds, as they may run on a worker
                                  ///< not read yet
    std::uint32_t forRoom = 0;    ///< those that wait for anything else
    Duration oldest{};            ///< wait of the task that has waited longest, long-running tasks apart
    Duration oldestLongRunning{}; ///< the same of long-running tasks
    std::map<std::string, QueueWait> queues; ///< by name; only queues with waiting tasks
    std::vector<WaitDiagnosis> diagnoses;    ///< of a few steps only, those that have waited longest

    /**
     * Wait of the oldest task that no worker of its shard takes, by main refusal. The refusal is that of the last diagnosis of
     * its step, so that the figure does not depend on which steps were diagnosed in the last check.
     */
    std::map<Refusal, Duration> turnedAway;
};

} // namespace QuetzalRock::Workflow
