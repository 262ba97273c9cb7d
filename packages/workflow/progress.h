/**
 * State of a workflow: the stored records and the scheduler's state in memory.
 *
 * Index of this file
 *   AcceptedJob, MovedJob            written by the node that accepts the job, and by each move to another shard
 *   Registration, GivenTask          which shards concern a job; a task given to another shard (transfer.cpp)
 *   TaskPhase, TaskState, JobState   in memory; part of it is stored as the job's progress
 *   EpochRecord, FormerLeader        who led, and who may still send orders
 *   KnownWorker                      a worker that a successor has to read
 *   encode..., decode...             to and from MessagePack; decode throws InvalidArgument for unreadable records
 *
 * Stored keys (N: number of a shard, see shards.h)
 *   job/KEY              Registration: the job's shard, or none yet; created once, so a key identifies one job. Or that
 *                        the job was cancelled before it was stored
 *   in/spread/KEY        AcceptedJob without a shard (shardassigner.h)
 *   in/N/j/KEY           AcceptedJob; created on acceptance, or when the job is assigned or moved to the shard; never
 *                        changed, and removed when the job moves on (jobmove.cpp)
 *   in/N/c/KEY           exists if the caller has cancelled the job; CancelWithoutJob: before the job was stored
 *   in/N/t/STEP.TASK/KEY GivenTask; exists while the task belongs to shard N by a transfer
 *   out/KEY              progress: state, finished tasks, failed attempts, checkpoints, tasks given to other shards,
 *                        crashes of workers, trials of suspects, why the job failed
 *   ctl/board/leader/N   leader key, under a lease (election.h)
 *   ctl/board/shards     ShardMap
 *   ctl/board/node/NAME  PeerRecord: a node that takes forwarded requests, under a lease (peers.h)
 *   ctl/epoch/N          EpochRecord: the last epoch, its leader, and which former leaders may still send orders
 *   ctl/boot/NODE        the node's current boot ID; a leader with another boot ID of this node no longer runs
 *   ctl/workers/N        KnownWorker list: every worker to which the current leader may have sent an order
 *   ctl/board/withheld/N WithheldLease list (withheldleases.h)
 *   ctl/board/handover/N HandoverRequest: a node asks for the shard (handover.h)
 *   ctl/status/N         ShardStatus
 *   ctl/pressure/N       saved PressureModel (pressure.h)
 */
#pragma once

#include <workflow/crashes.h>
#include <workflow/model.h>
#include <workflow/placement.h>
#include <workflow/pressure.h>
#include <workflow/shards.h>

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace QuetzalRock::Workflow {

constexpr std::string_view RegistrationPrefix = "job/";
constexpr std::string_view ProgressPrefix = "out/";
constexpr std::string_view BootPrefix = "ctl/boot/";

using WorkerIndex = std::uint32_t;
constexpr WorkerIndex NoWorker = ~0U;

/** What the record of a job that has moved to another shard says of the time before. */
struct MovedJob
{
    std::string progress;          ///< see encodeProgress()
    std::uint64_t attemptBase = 0; ///< attempts of earlier shards are not higher than that
    std::uint32_t moves = 0;       ///< number of moves so far
};

/** A job as submitted, with the settings that its queue had at that time. */
struct AcceptedJob
{
    WorkflowSpec spec;
    std::string queue; ///< name
    std::string host;  ///< of the queue, as all members up to slackMs; see Queue
    std::string pathPrefix;
    std::string pool;
    int priority = 0;
    std::uint32_t maxFailures = 0;
    double stretch = 1;
    std::int64_t slackMs = 0;
    std::int64_t acceptedMs = 0;   ///< wall time, Unix ms
    std::optional<MovedJob> moved; ///< in stored records only; none if the job has not moved
};

// ---------------------------------------------------------------------------------------------------------------------
// In memory
// ---------------------------------------------------------------------------------------------------------------------

enum class TaskPhase : std::uint8_t {
    Waiting = 0,  ///< not placed
    Starting = 1, ///< start ordered; not yet reported as running
    Running = 2,
    Stopping = 3, ///< stop ordered; keeps its reservation until the worker reports the end
    Done = 4,
    Foreign = 5, ///< belongs to another shard, or is being given to one
};

struct TaskState
{
    TaskPhase phase = TaskPhase::Waiting;
    bool isRunUnheard = false;       ///< no former leader can learn how the current run ends, see canFormerLeaderHear()
    bool isAccountedFor = false;     ///< some run of it was unheard, so no former leader can start it
    bool isAcknowledged = false;     ///< Starting: the worker has accepted the order
    bool isStopAcknowledged = false; ///< Stopping: the worker has accepted the order; if the run is not listed after
                                     ///< that, it never started
    WorkerIndex worker = NoWorker;
    WorkerIndex avoidedWorker = NoWorker; ///< where the last run failed, hung or was throttled until it stalled
    std::uint64_t attempt = 0;            ///< of the current or last run
    std::int64_t validUntilMs = 0;        ///< Starting: worker's clock; the worker rejects the order after that
    TimePoint orderedAt{};                ///< when the last start or stop order was sent
    TimePoint answeredAt{};               ///< when it was answered
    TimePoint startedAt{}; ///< when the run was ordered, or when a report first listed it if unknown before
    TimePoint retryAt{};   ///< Waiting: earliest time of the next placement

    // Starts without an answer, see starts.cpp
    bool isStartUnanswered = false;     ///< Starting: the last order got no answer
    std::uint32_t openStarts = 0;       ///< orders that have no answer so far, or got none, since startTriedSince
    WorkerIndex doubtWorker = NoWorker; ///< the worker of these orders
    std::uint64_t doubtFence = 0;       ///< fencing token of the last one
    TimePoint doubtUntil{};             ///< the worker, or its next incarnation, may execute them until then
    TimePoint startTriedSince{};        ///< first order to that worker that was not followed by a run; zero: none

    TimePoint waitingSince{};  ///< Waiting, Starting: end of its last run; zero: not known, see longestWaitSince()
    bool hasBegun = false;     ///< the worker has accepted the start of the current or last run, or listed it
    bool hasStartedUp = false; ///< a report has listed the run CrashSettings::startupTime after its start
    bool hasEverStartedUp
        = false;                 ///< some run of it has, as far as this leader knows; stored with evidence and the like
    std::int64_t gauge = 0;      ///< see RunningEntry::gauge
    TimePoint overTargetSince{}; ///< serving tasks: start of tail latency above target; zero: not above
    TimePoint stalledSince{};    ///< start of a throttle of PressureSettings::stalledPercent or less; zero: none
    TimePoint idleSince{};       ///< start of using no CPU; zero: uses some, or unknown
    std::uint64_t lastReportNumber = 0; ///< number of the worker's last report that listed the run
    std::uint8_t percent = 100;         ///< throttle last ordered: share of its CPU that the run may use
    /** Throttle to be ordered as soon as the run is known to be there; none: nothing is to be ordered. */
    std::optional<std::uint8_t> pendingPercent;
    std::string checkpoint;
    std::vector<std::uint64_t> failedAttempts;

    // Crashes of workers, see crashes.h
    std::vector<CrashEvidence> crashes; ///< at most one for each attempt
    std::optional<TaskTrial> trial; ///< being tried alone; Waiting: the start is prepared, or its outcome is unknown
    /** An attempt that had just been started on a worker that is silent since; stored, as its leader may not see the end. */
    std::optional<TaskTrial> silentStart;
    std::uint64_t sharedTrial = 0;   ///< attempt that was to be tried until its end, but others ran beside it; 0: none
    bool isWithoutTrialRoom = false; ///< no worker was found for its trial; in a gang, set for the first member
    TimePoint nextTrialSearchAt{};   ///< earliest next search for one
    bool isGivenUp = false;          ///< another shard's task that has crashed its workers: to be returned

    // Transfers between shards
    bool isGivenAway = false;         ///< the job's progress says that it was given to another shard
    bool hasRecord = false;           ///< belongs to this shard by a GivenTask
    bool isSuspectInRecord = false;   ///< its GivenTask, as last stored, may say something of crashes
    std::uint64_t recordVersion = 0;  ///< of the job when its GivenTask was last stored by this leader
    std::uint32_t moves = 0;          ///< number of transfers so far
    TimePoint takenAt{};              ///< when another shard last gave it to this one; zero: none has, or not known
    std::uint64_t recordRevision = 0; ///< of the last GivenTask seen
    std::uint64_t attemptBase = 0;    ///< attempts of earlier shards are not higher than that

    /** A run of it has started up, and no worker has crashed at a start of it since. */
    bool isKnownToStartUp() const
    {
        return hasEverStartedUp && !hasCrashAtStart(crashes);
    }
    /** Neither the current run, nor one before it, has shown that the task starts up without a crash. */
    bool isStartUncertain() const
    {
        return !hasStartedUp && !isKnownToStartUp();
    }
};

struct StepState
{
    std::vector<TaskState> tasks;
    std::uint32_t doneCount = 0;
    bool isCompletionOurs = false;    ///< no former leader can know that all its tasks are done; see finishTask()
    std::uint16_t image = 0;          ///< ClassIndex of the step's image in the pressure model
    StepLoad load;                    ///< steps of serving tasks: their own load
    TimePoint readySince{};           ///< about when its predecessors were done and it was due; zero: not noticed yet
    TimePoint nextWaitReportAt{};     ///< earliest next report on its waiting tasks
    TimePoint noRoomSince{};          ///< since then a task has found no worker; zero: none waits so
    TimePoint heldByStartsSince{};    ///< since then a task has room only where other jobs start; zero: none waits so
    TimePoint nextEvictionSearchAt{}; ///< earliest next search for a task to evict
    TimePoint nextTransferAt{};       ///< earliest next attempt to give tasks to another shard
    /** Main refusal when its wait was last diagnosed; None: none of its tasks has waited for long, or not for a worker. */
    Refusal turnedAwayFor = Refusal::None;
};

struct OccurrenceState
{
    std::vector<StepState> steps;
    std::uint32_t doneSteps = 0;
};

/** Whether a job can still meet its latency objective; InTime for jobs without one. */
enum class DeadlineOutlook : std::uint8_t {
    InTime = 0,  ///< can meet its latency objective
    Late = 1,    ///< misses its objective, but its result is still useful
    TooLate = 2, ///< exceeds TooLateFactor times its objective
};

/** Size of a job by its work, among the recent jobs of its queue; see QueueWork. */
enum class SizeClass : std::uint8_t {
    Rest = 0,
    Large = 1,   ///< the fifth below the largest
    Largest = 2, ///< the largest tenth
};
constexpr std::size_t SizeClassCount = 3;

struct JobState
{
    AcceptedJob accepted;
    std::uint64_t createdRevision = 0;
    TimePoint learnedAt{};  ///< when this leader first saw the job
    TimePoint acceptedAt{}; ///< by this leader's clock, as far as the wall clocks of two nodes agree
    WorkflowState state = WorkflowState::Queued;
    bool isCancelled = false; ///< no more starts; running tasks are stopped
    SizeClass sizeClass = SizeClass::Rest;
    DeadlineOutlook outlook = DeadlineOutlook::InTime; ///< as of the last sorting of jobs
    bool countsAsServed = false;                       ///< among the jobs of its size class, see ScarcityOrder
    bool isGuest = false;            ///< another shard's job, some of whose tasks were given to this one
    std::uint32_t heldTasks = 0;     ///< tasks that are starting, running or stopping
    std::uint64_t version = 0;       ///< incremented at each change of what is to be stored
    std::uint64_t storedVersion = 0; ///< last version that is durable
    std::uint32_t failedWrites = 0;  ///< number of writes of it without effect, or without an answer
    bool isMoving = false;           ///< a move to another shard has an unknown outcome: nothing of it may change
    std::uint32_t moves = 0;         ///< number of moves to another shard so far
    TimePoint nextMoveAt{};          ///< earliest next move
    TimePoint nextRestAt{};          ///< earliest next time at which it comes to rest
    TimePoint restsUntil{};          ///< starts nothing until then, so that it can move; zero: it does not rest
    bool hasCrashEvidence = false;   ///< some task has, or had, crashed a worker or was present at a crash
    std::string failure;             ///< Failed: why; empty if an older version stored it
    std::vector<OccurrenceState> occurrences;

    const JobKey &key() const
    {
        return accepted.spec.key;
    }
};

std::string_view stateName(WorkflowState state); ///< e.g. "completed"

/** Resets @p job to one waiting task state per task of its spec. */
void resetTasks(JobState &job);

// ---------------------------------------------------------------------------------------------------------------------
// Stored form
// ---------------------------------------------------------------------------------------------------------------------

std::string encodeAccepted(const AcceptedJob &job);
AcceptedJob decodeAccepted(std::string_view bytes);

/** The content of job/KEY. */
struct Registration
{
    std::optional<ShardId> shard; ///< of the job; none while it is unassigned
    std::set<ShardId> guestOf; ///< shards to which some of its tasks were given; a cancel is written to these as well
    /** Cancelled before it was stored: no submission under this key is accepted until a leader removes the registration. */
    bool isCancelledEarly = false;
};

constexpr ShardId EarlyCancelShard = 0;                     ///< its leader removes registrations of early cancels
constexpr std::string_view CancelWithoutJob = "no job yet"; ///< value of in/N/c/KEY of an early cancel

std::string encodeRegistration(const Registration &registration);
Registration decodeRegistration(std::string_view bytes);

/** A task that was given to another shard, as that shard's inbox holds it. Ends with the job, or with the next transfer. */
struct GivenTask
{
    AcceptedJob accepted;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint64_t attemptBase = 0;
    std::string checkpoint;
    std::uint32_t moves = 0;
    std::vector<CrashEvidence> crashes;
    std::optional<TaskTrial> trial;       ///< see TaskState
    std::optional<TaskTrial> silentStart; ///< see TaskState
    std::int64_t waitingSinceMs = 0;      ///< end of its last run, Unix ms; 0: not known
};

/** The key of a GivenTask. */
std::string givenTaskKey(const ShardKeys &shard, const JobKey &key, std::uint32_t step, std::uint32_t index);

std::string encodeGivenTask(const GivenTask &task);
GivenTask decodeGivenTask(std::string_view bytes);

std::string encodeProgress(const JobState &job);

/** Sets the state, finished and given tasks, failed attempts and checkpoints of @p job; call resetTasks() before. */
void decodeProgress(std::string_view bytes, JobState &job);

/** Decodes only the job's state from its progress. */
WorkflowState decodeState(std::string_view bytes);

/** Decodes only why the job has failed; empty if it has not. */
std::string decodeFailure(std::string_view bytes);

/** Whether the job's progress says that the task is done or its job has ended. */
bool decodeIsDone(std::string_view bytes, const TaskName &task);

/** A process that led a shard and may still send orders. */
struct FormerLeader
{
    std::uint64_t epoch = 0; ///< of its last term
    std::string node;
    std::string bootId;        ///< of the node while it led
    bool needsAnswers = false; ///< see WorkflowSettings::graceAnswerAge; older versions sent orders without answers

    bool operator==(const FormerLeader &) const = default;
};

/** The content of ctl/epoch/N: the last leader, and those before it. */
struct EpochRecord
{
    std::uint64_t epoch = 0;
    std::string node;
    std::string bootId;                ///< of the node while it led
    bool hasResigned = false;          ///< sends no more orders
    std::vector<FormerLeader> earlier; ///< leaders before it that may still send orders; at most one per node
    bool needsAnswers = false;         ///< see FormerLeader
};

/**
 * The leaders up to @p last that may still send orders when a process of @p node takes over. A process that has resigned
 * or led again since sends none of its earlier term, nor does an earlier process of the same node.
 */
std::vector<FormerLeader> remainingLeaders(const EpochRecord &last, std::string_view node);

std::string encodeEpoch(const EpochRecord &record);
EpochRecord decodeEpoch(std::string_view bytes);

/** An entry of ctl/workers/N: a worker to which the leader may have sent orders. */
struct KnownWorker
{
    WorkerId id;
    std::int64_t startedAtMs = 0; ///< start time; identifies the worker's incarnation
    std::string address;
    std::string pool;
    std::uint64_t listedSince
        = 0; ///< epoch of the leader that added it to the list; 0: an older version has written it
    /**
     * Start time of the incarnation of which it is certain that leaders have extended its lease by its own clock only. 0: there
     * is none, or an older version has written the list. Any other incarnation may have executed orders for the one before,
     * and workers cut a lease that another clock measures to their maximum.
     */
    std::int64_t settledStartedAtMs = 0;
};

std::string encodeWorkers(const std::vector<KnownWorker> &workers);
std::vector<KnownWorker> decodeWorkers(std::string_view bytes);

} // namespace QuetzalRock::Workflow
