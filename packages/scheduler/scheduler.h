/**
 * The scheduler of one shard: a group of racks in one failure domain.
 *
 * Index of this file
 *   SchedulerSettings      pace of writes, patience, bounds
 *   TaskStatus ... ShardStatus   what operators are told
 *   TransferOffer          work or quota on its way to another failure domain
 *   SchedulerCounters      for metrics
 *   ShardScheduler         submissions from any thread; one owner thread that drives it
 *
 * How an owner thread drives it
 *     ShardScheduler scheduler(settings, log, engine, agent, vmList, clock);   // alive for the whole process
 *     while (running) {
 *         waitUntilThisProcessIsTheCandidate();
 *         try {
 *             scheduler.takeOver();                       // fences off the owner before, replays the log
 *         } catch (const Unavailable &) { waitAndRetry(); continue; }
 *         StepOutcome outcome = StepOutcome::Idle;
 *         while (running && (outcome = scheduler.step(clock.now())) != StepOutcome::SteppedDown) {
 *             const bool isBusy = outcome == StepOutcome::Progressed;   // what was submitted is to be placed now
 *             scheduler.waitForWork(clock.now() + (isBusy ? settings.appendEvery : settings.stepEvery));
 *         }
 *     }
 *     scheduler.stepDown();                              // answers whoever still waits
 * The engine must be empty at takeOver(): use a new scheduler with a new engine after SteppedDown. takeOver() throws
 * IncompatibleRecord where a newer version has written the log: let the process end, and touch nothing.
 * submit(), cancel(), status() and the like may be called from any thread at any time; their futures are settled by the
 * owner thread. While this process is not the owner they are refused as not run, at once. A future that is never settled
 * means that nobody drives the scheduler.
 *
 * What the futures throw
 *   InvalidArgument, NotFound, Conflict   nothing changed
 *   NotRun                                nothing changed; come back after Error::retryAfter()
 *   OutcomeUnknown                        the platform did not say in time whether it was written. Submit it again under the
 *                                         same (tenant, name): the answer is the same job where it was.
 *
 * Order within a step: what is to be done is written to the log in one batch, and only then done.
 */
#pragma once

#include <base/ring.h>
#include <journal/log.h>
#include <placement/engine.h>
#include <scheduler/fleet.h>
#include <scheduler/shardstate.h>

#include <atomic>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <random>
#include <set>

namespace QuetzalRock {

// ---------------------------------------------------------------------------------------------------------------------
// Settings
// ---------------------------------------------------------------------------------------------------------------------

struct SchedulerSettings
{
    std::uint16_t shard = 1;                             ///< upper 16 bits of the job ids; unique among all shards
    std::string failureDomain;                           ///< of this shard
    Duration stepEvery = std::chrono::milliseconds(100); ///< the owner thread's longest wait
    Duration appendEvery
        = std::chrono::milliseconds(50); ///< shortest time between two writes: the shard's write budget
    Duration decideEvery = std::chrono::milliseconds(250); ///< of the placement, where nothing has changed
    Duration outageRetryMin
        = std::chrono::milliseconds(500);              ///< after a write was not taken; doubles, jittered by half
    Duration outageRetryMax = std::chrono::seconds(5); ///< bounds how late the platform's return is noticed
    Duration unresolvedWriteTimeout = std::chrono::seconds(5); ///< while a write is in doubt; OutcomeUnknown after that
    std::size_t queueCapacity = 1024;       ///< submissions and questions waiting for the owner thread
    std::size_t maxRecordsPerAppend = 2000; ///< bounds the time of a step; the log's own byte limit holds as well
    std::uint32_t maxTasksPerJob = 10'000;
    std::uint32_t maxFailuresPerTask
        = 20;               ///< of batch; a backstop behind the placement's own judgement of jobs and workers
    std::uint64_t seed = 1; ///< of the jitter
    FleetSettings fleet;
    HistoryLimits history;
};

// ---------------------------------------------------------------------------------------------------------------------
// Status
// ---------------------------------------------------------------------------------------------------------------------

enum class TaskPhase : std::uint8_t {
    Pending = 0,     ///< waits for a place; see the reason
    Starting = 1,    ///< assigned; the worker has not shown it yet
    Running = 2,     ///< in the worker's last report
    Stopping = 3,    ///< a stop is under way
    Unreachable = 4, ///< its worker does not answer: it may be running, so nothing is started in its place
    Ending = 5,      ///< over, and not yet written to the log
    Done = 6,
};

std::string_view phaseName(TaskPhase phase);

struct TaskStatus
{
    TaskId task;
    std::uint32_t attempt = 0; ///< 0: none yet
    TaskPhase phase = TaskPhase::Pending;
    WorkerId worker; ///< empty while pending
    double progress = 0;
    std::uint32_t failures = 0;
    std::string reason; ///< why it is there, or why it waits
};

struct JobStatus
{
    JobSpec spec;
    JobPhase phase = JobPhase::Active;
    std::string reason;
    WallTime submittedAt{};
    WallTime endedAt{};
    std::vector<TaskStatus> tasks; ///< empty once the job is in the history
};

struct WorkerStatus
{
    WorkerId worker;
    VmState vmState = VmState::Live;
    bool listed = false;
    bool readBack = false;
    bool reachable = true;
    Duration silentFor{}; ///< while not reachable
    std::size_t attempts = 0;
    Resources reserved;
    Resources capacity;
};

struct SchedulerCounters
{
    std::uint64_t appends = 0;
    std::uint64_t records = 0;
    std::uint64_t recordBytes = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t snapshotBytes = 0; ///< of the last one
    std::uint64_t appendsNotTaken = 0;
    std::uint64_t appendsInDoubt = 0;
    std::uint64_t submitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t assigned = 0;
    std::uint64_t abandonedStarts = 0;    ///< decided, and not possible or not durable
    std::uint64_t overcommitsRefused = 0; ///< decided beyond a worker's room; above zero is a fault of the placement
    std::uint64_t ended = 0;
    std::uint64_t evictions = 0;
    FleetCounters fleet;
};

struct ShardStatus
{
    std::uint16_t shard = 0;
    std::uint64_t epoch = 0; ///< 0: this process is not the owner
    std::string operatorName;
    bool platformAway = false; ///< the last write was not taken, or is in doubt
    Duration platformAwayFor{};
    std::size_t activeJobs = 0;
    std::size_t pendingTasks = 0;
    std::size_t heldTasks = 0;     ///< with an attempt that holds capacity
    std::size_t unwrittenEnds = 0; ///< kept in memory until the platform is back
    std::size_t openTransfers = 0;
    std::vector<WorkerStatus> workers;
    std::vector<JobId> jobs; ///< active ones
    SchedulerCounters counters;
};

// ---------------------------------------------------------------------------------------------------------------------
// Transfers
// ---------------------------------------------------------------------------------------------------------------------

/** What the origin sends, again and again, until the receiver has said that it holds it. */
struct TransferOffer
{
    TransferId id;
    std::string fromDomain;
    std::string toDomain;
    JobSpec spec; ///< id 0: an allotment
    std::vector<TaskCarry> tasks;
    std::string tenant;
    Resources amount;
    std::uint64_t settledBelow = 0; ///< of the origin's shard
};

enum class StepOutcome {
    Idle,        ///< nothing was written
    Progressed,  ///< a batch was written: there may be more to do at once
    SteppedDown, ///< another owner has taken over; every open future is settled
};

// ---------------------------------------------------------------------------------------------------------------------
// Requests: from any thread to the owner thread
// ---------------------------------------------------------------------------------------------------------------------

namespace detail {

template<typename T>
using Answer = std::shared_ptr<std::promise<T>>;

struct SubmitRequest
{
    JobSpec spec;
    Answer<JobId> answer;
};
struct CancelRequest
{
    JobId job = 0;
    Answer<void> answer;
};
struct GiveJobRequest
{
    JobId job = 0;
    std::string toDomain;
    Answer<TransferId> answer;
};
struct GiveAllotmentRequest
{
    std::string tenant;
    Resources amount;
    std::string toDomain;
    Answer<TransferId> answer;
};
struct AcceptRequest
{
    TransferOffer offer;
    Answer<void> answer;
};
struct SettleRequest
{
    TransferId id;
    Answer<void> answer;
};
struct AllotmentRequest
{
    std::string tenant;
    Resources amount;
    Answer<void> answer;
};
struct OperatorRequest
{
    std::string operatorName;
    Answer<void> answer;
};
/** Reads only: answered in an outage too. */
struct Question
{
    std::function<void(const std::exception_ptr &)> ask; ///< with an error: the question cannot be answered
};

using Request = std::variant<SubmitRequest,
                             CancelRequest,
                             GiveJobRequest,
                             GiveAllotmentRequest,
                             AcceptRequest,
                             SettleRequest,
                             AllotmentRequest,
                             OperatorRequest,
                             Question>;

/** A start whose assignment is in a batch. */
struct PlannedStart
{
    AttemptId attempt;
    WorkerId worker;
};

/** One append: records, and what follows once they are durable. */
struct PlannedBatch
{
    std::vector<std::string> bytes;
    std::vector<Record> records;
    std::size_t size = 0; ///< sum of bytes
    std::vector<PlannedStart> starts;
    std::vector<std::function<void(const std::exception_ptr &)>> answers; ///< null: durable
    std::map<std::pair<std::string, std::string>, JobSpec> names;         ///< submitted in this batch
    std::set<JobId> endedJobs;                                            ///< by this batch
    std::map<JobId, std::set<std::uint32_t>> finishedTasks;               ///< by this batch
    std::map<std::string, Resources> givenAllotments;                     ///< by this batch
    std::map<WorkerId, Resources> plannedRoom;                            ///< of the starts
    std::set<TransferId> transfers;                                       ///< accepted by this batch
    std::size_t endCount = 0;  ///< ends of attempts, from the front of those waiting
    std::size_t stopCount = 0; ///< requests to stop, from the front of those waiting
    bool isFull = false;       ///< something did not fit and waits for the next one
};

} // namespace detail

// ---------------------------------------------------------------------------------------------------------------------
// ShardScheduler
// ---------------------------------------------------------------------------------------------------------------------

class ShardScheduler
{
public:
    ShardScheduler(const SchedulerSettings &settings,
                   Log &log,
                   DecisionEngine &engine,
                   WorkerAgent &agent,
                   VmList &list,
                   Clock &clock);
    ~ShardScheduler(); ///< as stepDown()
    ShardScheduler(const ShardScheduler &) = delete;
    ShardScheduler &operator=(const ShardScheduler &) = delete;

    // -- Any thread ----------------------------------------------------------------------------------------------------

    /** The job's id once it is durable; the same id for the same spec under the same (tenant, name). */
    std::future<JobId> submit(JobSpec spec);

    /** Settled once it is durable that no further attempt starts; running ones are stopped after that. */
    std::future<void> cancel(JobId job);

    std::future<ShardStatus> status();
    std::future<JobStatus> describe(JobId job); ///< NotFound for one that the history has dropped
    std::future<JobId> find(std::string tenant, std::string name);
    std::future<std::string> exportHistory(); ///< newline-delimited JSON

    /** Gives a job without running attempts to another failure domain. */
    std::future<TransferId> giveJob(JobId job, std::string toDomain);

    /** Gives a part of a tenant's allotment away; Conflict where the allotment is smaller. */
    std::future<TransferId> giveAllotment(std::string tenant, const Resources &amount, std::string toDomain);

    std::future<std::vector<TransferOffer>> openOffers(); ///< to be sent until settled
    std::future<void>
    acceptOffer(TransferOffer offer); ///< settled once it is durable: tell the origin; repeats are harmless
    std::future<void> settleTransfer(TransferId id); ///< at the origin: the receiver holds it
    std::future<void> setAllotment(std::string tenant, const Resources &amount);
    std::future<std::map<std::string, Resources>> allotments();
    std::future<void> changeOperator(std::string operatorName); ///< a recorded handover

    // -- Owner thread --------------------------------------------------------------------------------------------------

    /** Becomes the owner: throws Unavailable (try again) or IncompatibleRecord (give up). */
    void takeOver();

    /** Does all that is due at @p now. */
    StepOutcome step(TimePoint now);

    /** Returns at @p until, or sooner where a request has come in. */
    void waitForWork(TimePoint until);

    /** Stops acting and settles every open future; also what step() does when fenced off. */
    void stepDown();

    const ShardState &state() const; ///< durable facts
    const Fleet &fleet() const;
    const SchedulerCounters &counters() const;

private:
    template<typename T, typename RequestType>
    std::future<T> push(RequestType request);
    template<typename T, typename Ask>
    std::future<T> askOwner(Ask ask);
    void enqueue(detail::Request request);
    void refuseQueue();
    Duration retryAfter(TimePoint now);
    Duration jitter(Duration most);
    bool canWrite(TimePoint now) const;

    // Requests (requests.cpp)
    void takeRequests(TimePoint now);
    void judgeWaiting();
    void refuseWaiting(TimePoint now);
    void judge(const detail::SubmitRequest &it);
    void judge(const detail::CancelRequest &it);
    void judge(const detail::GiveJobRequest &it);
    void judge(const detail::GiveAllotmentRequest &it);
    void judge(const detail::AcceptRequest &it);
    void judge(const detail::SettleRequest &it);
    void judge(const detail::AllotmentRequest &it);
    void judge(const detail::OperatorRequest &it);
    void judge(const detail::Question &it);
    void checkSpec(const JobSpec &spec) const;

    // Batches (commit.cpp)
    bool tryAdd(const Record &record);
    bool tryAddAll(std::span<const Record> records);
    void addEnds();
    bool addEnd(const AttemptEnded &end);
    void addStops();
    void addStarts(std::span<const StartDecision> starts, TimePoint now);
    bool planStarts(std::span<const StartDecision> starts, TimePoint now);
    bool tryAddStarts(std::span<const Record> records);
    bool canStart(const StartDecision &start, TimePoint now);
    bool commit(TimePoint now);
    void applyBatch(const detail::PlannedBatch &batch, TimePoint now);
    void applyRecord(const Record &record, TimePoint now);
    void applyEnd(const AttemptEnded &end, TimePoint now);
    void applyJobEnd(JobId job, const Record &record, StopMode mode);
    void sendStarts(const std::vector<detail::PlannedStart> &starts);
    void failBatch(const detail::PlannedBatch &batch, const std::exception_ptr &error);
    void settleDoubt(TimePoint now);
    void answerDoubtUnknown();
    void noteOutage(TimePoint now);
    void snapshotIfDue(TimePoint now);

    // Decisions (scheduler.cpp)
    void loadEngine(TimePoint now);
    void restoreJob(const JobState &job, TimePoint now);
    void tellEngine(TimePoint now);
    void decide(TimePoint now, bool mayStart);
    void requestStop(const TaskId &task, StopMode mode, const TaskId &inFavourOf, const std::string &reason);
    void moveFromLeavingVms(TimePoint now);
    void dropFromEngine(const JobState &job);

    // Status (status.cpp)
    ShardStatus buildStatus() const;
    JobStatus buildJobStatus(JobId job) const;
    TaskStatus buildTaskStatus(const JobState &job, std::uint32_t index) const;
    std::vector<TransferOffer> buildOffers() const;

    SchedulerSettings m_settings;
    Log &m_log;
    DecisionEngine &m_engine;
    Clock &m_clock;

    // Joins the callers' threads to the owner thread.
    BoundedRing<detail::Request> m_requests;
    std::mutex m_wakeMutex;
    std::condition_variable m_wake;
    bool m_isWoken = false;                ///< guarded by m_wakeMutex
    std::atomic<bool> m_isRefusing = true; ///< not the owner: requests are answered where they are made

    // The owner thread's own.
    Fleet m_fleet;
    ShardState m_state;
    bool m_isOwner = false;
    bool m_isEngineLoaded = false;
    std::uint64_t m_lastJobNumber = 0; ///< handed out, durable or not
    std::uint64_t m_lastTransferNumber = 0;
    std::deque<detail::Request> m_waiting; ///< judged in the next batch
    std::deque<AttemptEnded> m_ends;       ///< not durable yet; at most one for each attempt that holds capacity
    std::deque<StopRequested> m_stops;     ///< sent or about to be, not durable yet; bounded as m_ends is
    std::map<JobId, std::string> m_unrunnable;
    detail::PlannedBatch m_batch;
    std::optional<detail::PlannedBatch> m_doubt; ///< written or not: resolve() will say
    TimePoint m_doubtSince;
    TimePoint m_nextResolve;
    bool m_isAway = false;
    TimePoint m_awaySince;
    Duration m_outageRetry{};
    TimePoint m_nextAppend;
    TimePoint m_nextDecision;
    bool m_isDirty = true; ///< something has changed since the last decision
    std::minstd_rand m_random;
    SchedulerCounters m_counters;
};

} // namespace QuetzalRock
