/**
 * The words of workflows: jobs that consist of steps, run on a pool of workers under leases.
 *
 * Index of this file
 *   StepSpec, WorkflowSpec          what a caller asks for
 *   Queue, Pool, Catalog            what the operator has configured
 *   TaskName, RunName               names of what runs
 *   WorkerCondition, WorkerRecord   what a worker says of itself in the registry
 *   RunningEntry ... WorkerReport   what a worker answers when its lease is renewed
 *   WorkflowState                   what callers are told of a job
 *
 * Plain data, no behaviour beyond names and comparisons. The codec of what is stored stands in progress.h.
 */
#pragma once

#include <base/types.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock::Workflow {

using JobKey = std::string; ///< chosen by the caller; unique over all queues

// ---------------------------------------------------------------------------------------------------------------------
// What callers ask for
// ---------------------------------------------------------------------------------------------------------------------

struct StepSpec
{
    std::uint32_t taskCount = 1;      ///< equal tasks
    Resources need;                   ///< of each task, as declared
    std::int64_t estimateMs = 0;      ///< rough run time of a task; 0: unknown
    std::vector<std::uint32_t> after; ///< earlier steps, all of whose tasks must be done first
    std::string requiredLabel;        ///< the worker must carry it; empty: any worker
    std::string preferredRack;        ///< tasks are slower elsewhere; empty: no preference
    std::uint32_t maxPerWorker = 0;   ///< tasks of this step (and occurrence) on one worker; 0: no limit
    bool isGang = false;              ///< the tasks only make progress when all of them are present
    bool wantsOneRack = false;        ///< the tasks are slower when spread over racks
    bool isCheckpointed = false;      ///< a stopped task can be resumed
    bool mayRunCopies = false;        ///< idempotent: copies may run in parallel
    bool isLasting = false;           ///< runs until the job is cancelled, and is restarted however it ends
    bool usesSpareCpu = false;        ///< its processors are not reserved: it gets what other tasks leave
    std::string image;                ///< tasks of one image behave alike
    std::int64_t latencyTargetMs = 0; ///< lasting tasks: wanted tail of their own users' response times; 0: none
    std::uint32_t maxUnavailable = 0; ///< lasting tasks: so many may be down at once by our doing; 0: no such limit
};

struct WorkflowSpec
{
    JobKey key;
    std::string payload; ///< opaque; handed to each task
    std::vector<StepSpec> steps;
    std::uint32_t repeatCount = 0; ///< occurrences; 0: one, at once
    std::int64_t firstStartMs = 0; ///< wall time (Unix ms) of the first occurrence
    std::int64_t intervalMs = 0;   ///< between the due times of occurrences
};

// ---------------------------------------------------------------------------------------------------------------------
// What the operator has configured
// ---------------------------------------------------------------------------------------------------------------------

/** Policy of an advice service that decides which workers may run a step. */
struct AdvicePolicy
{
    std::int64_t decideMs = 0;    ///< its base time of one answer
    std::int64_t perWorkerMs = 0; ///< on top, for each worker asked about
    std::int64_t validMs = 0;     ///< how long a ticket holds
};

/** One queue of jobs: where callers hand them in, and how they are treated. */
struct Queue
{
    std::string name;
    std::string host;              ///< value of the Host header
    std::string pathPrefix;        ///< the longest match wins
    std::string pool;              ///< whose workers run its tasks
    int priority = 0;              ///< 0 goes first
    std::uint32_t maxFailures = 0; ///< failed runs of a task that end the job; 0: no limit
    double stretch = 1;            ///< latency objective: this times the longest chain of work ...
    std::int64_t slackMs = 0;      ///< ... plus this
    std::optional<AdvicePolicy> advice;
};

struct Pool
{
    std::string name;
    bool enforcesRoom = false; ///< its workers reject what does not fit
    bool isStandby = false;    ///< its machines are powered off
};

/** One version of the operator's configuration, whole. */
struct Catalog
{
    std::int64_t version = 0; ///< 0: none yet
    std::vector<Queue> queues;
    std::vector<Pool> pools;
};

// ---------------------------------------------------------------------------------------------------------------------
// Names of what runs
// ---------------------------------------------------------------------------------------------------------------------

struct TaskName
{
    JobKey job;
    std::uint32_t occurrence = 0; ///< from 0
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskName &) const = default;
};

/** One try at running a task; numbers rise and are never used twice. */
struct RunName
{
    TaskName task;
    std::uint64_t attempt = 0;

    auto operator<=>(const RunName &) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// What workers say
// ---------------------------------------------------------------------------------------------------------------------

enum class WorkerCondition : std::uint8_t {
    Ready = 0,
    Draining = 1, ///< takes no new work and leaves soon
};

/** A worker's entry in the registry. */
struct WorkerRecord
{
    WorkerId id;
    std::int64_t bornMs = 0; ///< wall time of its start; tells lives of one id apart
    std::string address;     ///< ip:port
    std::string pool;
    std::string failureDomain;
    std::string rack;
    WorkerCondition condition = WorkerCondition::Ready;
    Resources capacity;
    std::vector<std::string> labels; ///< kind and rack
    std::int64_t leavesInMs = 0;     ///< draining: it stays at least so long
};

struct RunningEntry
{
    RunName run;
    std::string checkpoint;
    std::int64_t percent = 0; ///< share of its work that is done; 100 for a lasting task that is at work
    std::int64_t gauge = 0;   ///< serving: tail latency in ms; else processors in use, in millis. Half a second old
};

enum class RunEnd : std::uint8_t {
    Done = 0,
    Failed = 1,
    Stopped = 2,
    LeaseLapsed = 3,
    GangBroken = 4, ///< another member ended
    GangAlone = 5,  ///< the other members did not come in time
};

struct EndedEntry
{
    std::uint64_t sequence = 0; ///< from 1 in each life of the worker
    RunName run;
    RunEnd how = RunEnd::Done;
    std::string checkpoint;
};

/** The answer to a renewal: all that the worker runs, and all ends that it has not been allowed to forget. */
struct WorkerReport
{
    std::int64_t clockMs = 0; ///< the worker's own clock
    std::int64_t bornMs = 0;
    std::vector<RunningEntry> running;
    std::vector<EndedEntry> ended;
};

// ---------------------------------------------------------------------------------------------------------------------
// What callers are told
// ---------------------------------------------------------------------------------------------------------------------

enum class WorkflowState : std::uint8_t {
    Queued = 0,
    Running = 1,
    Completed = 2,
    Failed = 3,
    Cancelled = 4,
};

constexpr bool isFinal(WorkflowState state)
{
    return state >= WorkflowState::Completed;
}

} // namespace QuetzalRock::Workflow
