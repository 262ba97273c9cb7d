/**
 * Data model of workflows: jobs that consist of steps, whose tasks run on a pool of workers under leases.
 *
 * Index of this file
 *   StepSpec, WorkflowSpec          a job as its caller submits it
 *   Queue, Pool, Catalog            the operator's configuration
 *   TaskName, RunName               identities of tasks and of their runs
 *   WorkerCondition, WorkerRecord   a worker's entry in the registry
 *   RunningEntry ... WorkerReport   a worker's reply to a lease renewal
 *   WorkflowState                   a job's state as reported to callers
 *
 * Terms
 *   occurrence        one execution of a job's steps; a repeated job has several
 *   long-running task runs until its job is cancelled, and is restarted whenever it ends
 *   serving task      a long-running task with a latency target
 *   best-effort task  reserves memory but no CPU; runs on the CPU time that other tasks leave unused
 *   gang              a step whose tasks must all run at the same time
 *   run               one attempt at running a task on one worker
 *
 * Plain data, no behaviour beyond comparisons. progress.h defines the stored form.
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

using JobKey = std::string; ///< chosen by the caller; unique across all queues

// ---------------------------------------------------------------------------------------------------------------------
// Submitted by callers
// ---------------------------------------------------------------------------------------------------------------------

struct StepSpec
{
    std::uint32_t taskCount = 1;      ///< identical tasks of the step
    Resources need;                   ///< declared resources of each task
    std::int64_t estimateMs = 0;      ///< declared run time of a task; 0: unknown
    std::vector<std::uint32_t> after; ///< indices of earlier steps that must complete before this one starts
    std::string requiredLabel;        ///< only workers with this label may run the tasks; empty: any worker
    std::string preferredRack;        ///< tasks run slower on other racks; empty: no preference
    std::uint32_t maxPerWorker = 0;   ///< most tasks of one occurrence of the step on one worker; 0: no limit
    bool isGang = false;              ///< the tasks make progress only while all of them run
    bool prefersSingleRack = false;   ///< the tasks run slower when spread over several racks
    bool isCheckpointed = false;      ///< a stopped task resumes from its last checkpoint
    bool mayRunCopies = false;        ///< idempotent: speculative copies may run in parallel
    bool isLongRunning = false;       ///< runs until the job is cancelled; restarted whenever it ends
    bool usesSpareCpu = false;        ///< best effort: reserves no CPU, gets only what other tasks leave unused
    std::string image;                ///< tasks of the same image are assumed to behave alike
    std::int64_t latencyTargetMs = 0; ///< long-running: target for the tail latency of the service itself; 0: none
    std::uint32_t maxUnavailable = 0; ///< long-running: most tasks down at once because of evictions; 0: no limit
};

struct WorkflowSpec
{
    JobKey key;
    std::string payload; ///< opaque; passed to each task
    std::vector<StepSpec> steps;
    std::uint32_t repeatCount = 0; ///< number of occurrences; 0: one, due immediately
    std::int64_t firstStartMs = 0; ///< due time of the first occurrence, Unix ms
    std::int64_t intervalMs = 0;   ///< between the due times of two occurrences
};

// ---------------------------------------------------------------------------------------------------------------------
// Configured by the operator
// ---------------------------------------------------------------------------------------------------------------------

/** Timing of an advice service, which decides which workers may run a step and issues tickets for them. */
struct AdvicePolicy
{
    double decideMs = 0;    ///< base time of one decision
    double perWorkerMs = 0; ///< additional time for each worker in the request
    double validMs = 0;     ///< lifetime of a ticket
};

/** A queue: which requests submit jobs to it, and the policy that applies to those jobs. */
struct Queue
{
    std::string name;
    std::string host;              ///< value of the Host header
    std::string pathPrefix;        ///< of the request path; the longest matching prefix wins
    std::string pool;              ///< name of the pool whose workers run its tasks
    int priority = 0;              ///< 0 is the most urgent
    std::uint32_t maxFailures = 0; ///< a job fails after this many failed runs of one task; 0: no limit
    double stretch = 1;            ///< latency objective = stretch x critical path (criticalPathMs()) + slackMs
    std::int64_t slackMs = 0;      ///< constant part of the latency objective
    std::optional<AdvicePolicy> advice;
    bool isUnreadable
        = false; ///< its policy could not be parsed: it takes no new jobs, nor does a shorter prefix get them
};

struct Pool
{
    std::string name;
    bool enforcesCapacity = false; ///< its workers reject tasks that exceed their free capacity
    bool isStandby = false;        ///< its workers are powered off
};

/** An entry of the configuration that could not be parsed. It does not keep the others out of force. */
struct UnreadableEntry
{
    std::string entry; ///< which list, and the name or the position in it
    std::string field; ///< the invalid one; empty: the entry as a whole
    std::string error;
};

/** A complete version of the operator's configuration. */
struct Catalog
{
    std::int64_t version = 0; ///< 0: no configuration received yet
    std::vector<Queue> queues;
    std::vector<Pool> pools; ///< without an entry, a pool is taken not to enforce its workers' capacity
    std::vector<UnreadableEntry> unreadable;
};

// ---------------------------------------------------------------------------------------------------------------------
// Identities of tasks and runs
// ---------------------------------------------------------------------------------------------------------------------

struct TaskName
{
    JobKey job;
    std::uint32_t occurrence = 0; ///< from 0
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskName &) const = default;
};

/** One attempt at running a task. Attempt numbers increase and are never reused. */
struct RunName
{
    TaskName task;
    std::uint64_t attempt = 0;

    auto operator<=>(const RunName &) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// Reported by workers
// ---------------------------------------------------------------------------------------------------------------------

enum class WorkerCondition : std::uint8_t {
    Ready = 0,
    Draining = 1, ///< accepts no new work and shuts down soon
};

/** A worker's entry in the registry. */
struct WorkerRecord
{
    WorkerId id;
    std::int64_t startedAtMs = 0; ///< wall time of its start; distinguishes incarnations of the same id
    std::string address;          ///< ip:port
    std::string pool;
    std::string failureDomain;
    std::string rack;
    WorkerCondition condition = WorkerCondition::Ready;
    Resources capacity;
    std::vector<std::string> labels; ///< its kind and its rack
    std::int64_t leavesInMs = 0;     ///< draining: least remaining time before it shuts down
};

struct RunningEntry
{
    RunName run;
    std::string checkpoint;
    std::int64_t percent = 0; ///< completed share of its work; 100 for a long-running task that is up
    std::int64_t gauge = 0;   ///< serving task: tail latency in ms; other tasks: CPU in use, in millis. Measured over
                              ///< the preceding half second
};

enum class RunEnd : std::uint8_t {
    Done = 0,
    Failed = 1,
    Stopped = 2,
    LeaseExpired = 3,
    GangMemberEnded = 4, ///< stopped because another member of the gang ended
    GangIncomplete = 5,  ///< the other members of the gang did not start in time
};

struct EndedEntry
{
    std::uint64_t sequence = 0; ///< counts from 1 in each incarnation of the worker
    RunName run;
    RunEnd how = RunEnd::Done;
    std::string checkpoint;
};

/** A worker's reply to a lease renewal: all its current runs, and all ended runs not yet acknowledged by the leader. */
struct WorkerReport
{
    std::int64_t clockMs = 0; ///< the worker's steady clock
    std::int64_t startedAtMs = 0;
    std::vector<RunningEntry> running;
    std::vector<EndedEntry> ended;
};

// ---------------------------------------------------------------------------------------------------------------------
// Reported to callers
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
