/**
 * What is stored of a workflow, and what the scheduler keeps of it in memory.
 *
 * Index of this file
 *   AcceptedJob                 written once, by the node that accepts the job
 *   TaskState, StepState ...    in memory; a part of it is stored as the job's progress
 *   encode..., decode...        MessagePack; decode throws InvalidArgument for what it cannot read
 *
 * Stored keys (N: number of a shard, see shards.h)
 *   job/KEY            the job's shard, or that it has none yet; created once, so one key is one job
 *   in/spread/KEY      AcceptedJob that has no shard yet (shardassigner.h)
 *   in/N/j/KEY         AcceptedJob; created with it, or when it gets its shard; never changed
 *   in/N/c/KEY         exists: the caller has cancelled the job
 *   out/KEY            progress: state, ends of tasks, failed attempts, checkpoints
 *   ctl/board/leader/N who decides, under a lease (election.h)
 *   ctl/board/shards   ShardMap
 *   ctl/epoch/N        the last fencing epoch given out, who has it, and whether that leader has resigned
 *   ctl/boot/NODE      the node's present life: whoever led in an earlier one leads no more
 *   ctl/workers/N      every worker that the present leader may have sent an order to
 *   ctl/status/N       ShardStatus
 *   ctl/pressure/N     what has been learned of neighbours (pressure.h)
 */
#pragma once

#include <workflow/model.h>
#include <workflow/pressure.h>
#include <workflow/shards.h>

#include <map>
#include <memory>

namespace QuetzalRock::Workflow {

constexpr std::string_view RegistrationPrefix = "job/";
constexpr std::string_view ProgressPrefix = "out/";
constexpr std::string_view BootPrefix = "ctl/boot/";

using WorkerIndex = std::uint32_t;
constexpr WorkerIndex NoWorker = ~0U;

/** A job as its caller handed it in, with the queue as it was then. */
struct AcceptedJob
{
    WorkflowSpec spec;
    std::string queue;      ///< name
    std::string host;       ///< of the queue
    std::string pathPrefix; ///< of the queue
    std::string pool;
    int priority = 0;
    std::uint32_t maxFailures = 0;
    double stretch = 1;
    std::int64_t slackMs = 0;
    std::int64_t acceptedMs = 0; ///< wall time
};

// ---------------------------------------------------------------------------------------------------------------------
// In memory
// ---------------------------------------------------------------------------------------------------------------------

enum class TaskPhase : std::uint8_t {
    Waiting = 0,  ///< not placed
    Starting = 1, ///< ordered; not yet seen running
    Running = 2,
    Stopping = 3, ///< a stop was ordered; holds its room until the end is listed
    Done = 4,
};

struct TaskState
{
    TaskPhase phase = TaskPhase::Waiting;
    bool isAcknowledged = false;     ///< Starting: the worker has said yes
    bool isStopAcknowledged = false; ///< Stopping: the worker has said yes; where it is not listed then, it never began
    WorkerIndex worker = NoWorker;
    WorkerIndex avoidedWorker = NoWorker; ///< where the last run failed or hung
    std::uint64_t attempt = 0;            ///< of the present or last run
    std::int64_t validUntilMs = 0;        ///< Starting: worker's clock, after which the order is void
    TimePoint orderedAt{};                ///< when the last order was sent
    TimePoint answeredAt{};               ///< when it was answered
    TimePoint startedAt{};                ///< when the run was ordered, or found
    TimePoint retryAt{};                  ///< Waiting: not before
    std::int64_t gauge = 0;               ///< as RunningEntry::gauge
    TimePoint overTargetSince{};          ///< serving: its tail counts as above the target since; zero: it does not
    TimePoint stalledSince{};             ///< throttled to nearly nothing since; zero: it is not
    TimePoint idleSince{};                ///< has used no processor since; zero: it does, or is not known
    std::uint64_t lastReportNumber = 0;   ///< last report of its worker that listed it
    std::uint8_t percent = 100;           ///< share last ordered
    std::string checkpoint;
    std::vector<std::uint64_t> failedAttempts;
};

struct StepState
{
    std::vector<TaskState> tasks;
    std::uint32_t doneCount = 0;
    std::uint16_t image = 0; ///< class of the step's image in the pressure model
    StepLoad load;           ///< of serving tasks
};

struct OccurrenceState
{
    std::vector<StepState> steps;
    std::uint32_t doneSteps = 0;
};

struct JobState
{
    AcceptedJob accepted;
    std::uint64_t createdRevision = 0;
    TimePoint learnedAt{};
    WorkflowState state = WorkflowState::Queued;
    bool isCancelled = false;    ///< no more starts; what runs is stopped
    std::uint32_t heldTasks = 0; ///< starting, running or stopping
    std::uint64_t version = 0;   ///< grows with each change of what is stored
    std::uint64_t storedVersion = 0;
    std::vector<OccurrenceState> occurrences;

    const JobKey &key() const
    {
        return accepted.spec.key;
    }
};

std::string_view stateName(WorkflowState state); ///< such as "completed"

/** Sizes the tables of @p job by its spec. */
void resetTasks(JobState &job);

// ---------------------------------------------------------------------------------------------------------------------
// Stored form
// ---------------------------------------------------------------------------------------------------------------------

std::string encodeAccepted(const AcceptedJob &job);
AcceptedJob decodeAccepted(std::string_view bytes);

/** The content of job/KEY: the job's shard; none while it waits to be given one. */
std::string encodeRegistration(std::optional<ShardId> shard);
std::optional<ShardId> decodeRegistration(std::string_view bytes);

std::string encodeProgress(const JobState &job);

/** Fills state, ends, failures and checkpoints; resetTasks() comes first. */
void decodeProgress(std::string_view bytes, JobState &job);

/** Only the state: what a status question needs. */
WorkflowState decodeState(std::string_view bytes);

/** The content of ctl/epoch. */
struct EpochRecord
{
    std::uint64_t epoch = 0;
    std::string node;
    std::string bootId;       ///< life of that node
    bool hasResigned = false; ///< sends no more orders
};

std::string encodeEpoch(const EpochRecord &record);
EpochRecord decodeEpoch(std::string_view bytes);

/** One line of ctl/workers. */
struct KnownWorker
{
    WorkerId id;
    std::int64_t bornMs = 0;
    std::string address;
    std::string pool;
};

std::string encodeWorkers(const std::vector<KnownWorker> &workers);
std::vector<KnownWorker> decodeWorkers(std::string_view bytes);

} // namespace QuetzalRock::Workflow
