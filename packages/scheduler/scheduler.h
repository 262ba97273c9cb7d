/**
 * The scheduler of one shard. A shard is a group of racks in one failure domain.
 *
 * Index of this file
 *   SchedulerSettings            write rate, timeouts, limits
 *   TaskStatus ... ShardStatus   status for operators
 *   SchedulerCounters            for metrics
 *   TransferOffer                a job or allotment on its way to another failure domain
 *   StepOutcome                  result of ShardScheduler::step()
 *   ShardScheduler               accepts requests from any thread; a single owner thread runs it
 *
 * Usage by the owner thread
 *     ShardScheduler scheduler(settings, log, engine, agent, vmList, clock);   // one for each time as the owner
 *     try {
 *         scheduler.takeOver();                       // fences off the previous owner, replays the log
 *     } catch (const Unavailable &) { ... retry later ... }
 *     StepOutcome outcome = StepOutcome::Idle;
 *     while (running && (outcome = scheduler.step(clock.now())) != StepOutcome::SteppedDown) {
 *         const bool isBusy = outcome == StepOutcome::Progressed;   // e.g. jobs just submitted can be placed now
 *         scheduler.waitForWork(clock.now() + (isBusy ? settings.appendEvery : settings.stepEvery));
 *     }
 *     scheduler.stepDown();                           // completes all open futures
 *
 * The engine must be empty at takeOver(): after SteppedDown, use a new scheduler with a new engine. takeOver() throws
 * IncompatibleRecord if a newer version of the program has written the log; the process must then not retry.
 *
 * submit(), cancel(), status() and the other functions that return a future can be called from any thread at any time.
 * The owner thread completes the futures; a future never completes if no thread calls step(). While this process is not
 * the owner, requests fail immediately with NotRun.
 *
 * Exceptions of the futures
 *   InvalidArgument, NotFound, Conflict   nothing changed
 *   NotRun                                nothing changed; retry after Error::retryAfter()
 *   OutcomeUnknown                        the platform did not confirm in time whether the request was written.
 *                                         Retrying submit() with the same (tenant, name) is safe: if the job was
 *                                         written, it returns the same id.
 *
 * Each step appends its decisions to the log as one batch, and acts on them after the append. No start is sent before
 * its assignment is durable. While the platform is unavailable, stops and throttles are still sent, but no new starts.
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
#include <optional>
#include <random>
#include <set>

namespace QuetzalRock {

// ---------------------------------------------------------------------------------------------------------------------
// Settings
// ---------------------------------------------------------------------------------------------------------------------

struct SchedulerSettings
{
    std::uint16_t shard = 1;                               ///< upper 16 bits of the job ids; unique among all shards
    std::string failureDomain;                             ///< of this shard
    Duration stepEvery = std::chrono::milliseconds(100);   ///< longest wait of the owner thread between steps
    Duration appendEvery = std::chrono::milliseconds(50);  ///< shortest interval between writes: limits the write rate
    Duration decideEvery = std::chrono::milliseconds(250); ///< interval of placement decisions if nothing changes
    Duration writeRetryMin = std::chrono::milliseconds(500); ///< back-off after a failed write; doubles, half is jitter
    Duration writeRetryMax = std::chrono::seconds(5);        ///< also the longest time until a recovery is noticed
    Duration unresolvedWriteTimeout
        = std::chrono::seconds(5);          ///< then callers of an unresolved write get OutcomeUnknown
    std::size_t queueCapacity = 1024;       ///< requests waiting for the owner thread; further ones fail with NotRun
    std::size_t maxRecordsPerAppend = 2000; ///< limits the duration of a step; Log::maxBatchBytes() also applies
    std::uint32_t maxTasksPerJob = 10'000;
    std::uint32_t maxFailuresPerTask = 20; ///< batch only; last resort behind the placement's own failure handling
    std::uint64_t seed = 1;                ///< of the jitter
    FleetSettings fleet;
    HistoryLimits history;
};

// ---------------------------------------------------------------------------------------------------------------------
// Status
// ---------------------------------------------------------------------------------------------------------------------

enum class TaskPhase : std::uint8_t {
    Pending = 0,     ///< waits for placement; TaskStatus::reason has details
    Starting = 1,    ///< assigned, but not reported as running yet
    Running = 2,     ///< reported as running by its worker
    Stopping = 3,    ///< a stop is requested; the end is not known yet
    Unreachable = 4, ///< the worker does not respond: the task may be running, so no replacement is started
    Ending = 5,      ///< ended, but the end is not durable yet
    Done = 6,        ///< finished successfully
    Ended = 7,       ///< not finished, but its job has ended; no further attempt starts
};

std::string_view phaseName(TaskPhase phase);

struct TaskStatus
{
    TaskId task;
    std::uint32_t attempt = 0; ///< 0: none yet
    TaskPhase phase = TaskPhase::Pending;
    WorkerId worker; ///< empty while pending, done or ended; that of an ended attempt: lastEnd
    double progress = 0;
    std::uint32_t failures = 0;
    std::string reason;                  ///< human-readable cause of the placement, the stop or the wait
    std::optional<EndedAttempt> lastEnd; ///< the latest attempt that has ended; empty: none in the history
};

struct JobStatus
{
    JobSpec spec;
    JobPhase phase = JobPhase::Active;
    std::string reason;
    WallTime submittedAt{};
    WallTime endedAt{};
    std::vector<TaskStatus> tasks; ///< of a job in the history as well, from the attempts that the history keeps
};

struct WorkerStatus
{
    WorkerId worker;
    VmState vmState = VmState::Live;
    bool listed = false;
    bool readBack = false; ///< see WorkerView::readBack
    bool reachable = true;
    Duration unreachableFor{}; ///< time since it became unreachable; zero while reachable
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
    std::uint64_t snapshotBytes = 0;  ///< size of the latest snapshot
    std::uint64_t failedAppends = 0;  ///< nothing was written
    std::uint64_t appendsInDoubt = 0; ///< response lost: outcome unknown at first
    std::uint64_t submitted = 0;
    std::uint64_t refused = 0; ///< requests failed with NotRun because they could not be written
    std::uint64_t assigned = 0;
    std::uint64_t abandonedStarts = 0;    ///< decided by the placement but not possible or not written
    std::uint64_t overcommitsRefused = 0; ///< decided beyond a worker's capacity; nonzero means a bug in the placement
    std::uint64_t ended = 0;              ///< attempts
    std::uint64_t evictions = 0;          ///< stops by decision of the placement or because a VM is leaving
    FleetCounters fleet;
};

struct ShardStatus
{
    std::uint16_t shard = 0;
    std::uint64_t epoch = 0; ///< 0 if this process is not the owner
    std::string operatorName;
    bool platformUnavailable = false; ///< the last write failed or its outcome is unknown
    Duration platformUnavailableFor{};
    std::size_t activeJobs = 0;
    std::size_t pendingTasks = 0;
    std::size_t heldTasks = 0;     ///< tasks with an attempt that holds capacity
    std::size_t unwrittenEnds = 0; ///< ends of attempts kept in memory until they can be written
    std::size_t openTransfers = 0; ///< started here, not acknowledged by the receiver
    std::vector<WorkerStatus> workers;
    std::vector<JobId> jobs; ///< active jobs
    SchedulerCounters counters;
};

// ---------------------------------------------------------------------------------------------------------------------
// Transfers
// ---------------------------------------------------------------------------------------------------------------------

/** The origin sends this repeatedly until the receiver has acknowledged that it owns the job or allotment. */
struct TransferOffer
{
    TransferId id;
    std::string fromDomain;
    std::string toDomain;
    JobSpec spec; ///< id 0: the transfer moves an allotment
    std::vector<TransferredTask> tasks;
    std::string tenant;
    Resources amount;
    std::uint64_t acknowledgedBelow = 0; ///< the origin has completed all lower transfer numbers
};

enum class StepOutcome {
    Idle,        ///< nothing was written
    Progressed,  ///< a batch was written, so the next step may have work immediately
    SteppedDown, ///< another owner has taken over; all open futures are completed
};

// ---------------------------------------------------------------------------------------------------------------------
// Requests from any thread to the owner thread; batches of records
// ---------------------------------------------------------------------------------------------------------------------

namespace detail {

template<typename T>
using SharedPromise = std::shared_ptr<std::promise<T>>;

struct SubmitRequest
{
    JobSpec spec;
    SharedPromise<JobId> promise;
};
struct CancelRequest
{
    JobId job = 0;
    SharedPromise<void> promise;
};
struct TransferJobRequest
{
    JobId job = 0;
    std::string toDomain;
    SharedPromise<TransferId> promise;
};
struct TransferAllotmentRequest
{
    std::string tenant;
    Resources amount;
    std::string toDomain;
    SharedPromise<TransferId> promise;
};
struct AcceptOfferRequest
{
    TransferOffer offer;
    SharedPromise<void> promise;
};
struct AcknowledgeTransferRequest
{
    TransferId id;
    SharedPromise<void> promise;
};
struct SetAllotmentRequest
{
    std::string tenant;
    Resources amount;
    SharedPromise<void> promise;
};
struct ChangeOperatorRequest
{
    std::string operatorName;
    SharedPromise<void> promise;
};
/** Needs no write, so it is also processed while the platform is unavailable. */
struct ReadRequest
{
    std::function<void(const std::exception_ptr &)> respond; ///< completes the future; with an error if not null
};

using Request = std::variant<SubmitRequest,
                             CancelRequest,
                             TransferJobRequest,
                             TransferAllotmentRequest,
                             AcceptOfferRequest,
                             AcknowledgeTransferRequest,
                             SetAllotmentRequest,
                             ChangeOperatorRequest,
                             ReadRequest>;

/** A start to send once the batch with its assignment is durable. */
struct PlannedStart
{
    AttemptId attempt;
    WorkerId worker;
};

/** The records of one append, and the actions that follow once they are durable. */
struct PlannedBatch
{
    std::vector<std::string> encodedRecords;
    std::vector<Record> records;
    std::size_t encodedSize = 0; ///< in bytes
    std::vector<PlannedStart> starts;
    std::vector<std::function<void(const std::exception_ptr &)>> completions; ///< called with null on success
    std::map<std::pair<std::string, std::string>, JobSpec> submittedJobs;     ///< by (tenant, name)
    std::set<JobId> endedJobs;                                                ///< also cancelled and transferred ones
    std::map<JobId, std::set<std::uint32_t>> finishedTasks;                   ///< task indexes
    std::map<std::string, Resources> transferredAllotments;                   ///< by tenant
    std::map<WorkerId, Resources> plannedResources;                           ///< sum over starts
    std::set<TransferId> acceptedTransferIds;
    std::size_t endCount = 0;  ///< number of ends included, from the front of m_pendingEnds
    std::size_t stopCount = 0; ///< number of stops included, from the front of m_pendingStops
    bool isFull = false;       ///< a record did not fit and waits for the next batch
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
    ~ShardScheduler(); ///< calls stepDown()
    ShardScheduler(const ShardScheduler &) = delete;
    ShardScheduler &operator=(const ShardScheduler &) = delete;

    // -- Any thread ---------------------------------------------------------------------------------------------------

    /** Returns the job's id once the job is durable. Idempotent by (tenant, name); Conflict if the spec differs. */
    std::future<JobId> submit(JobSpec spec);

    /** Completes once the cancellation is durable. No further attempt starts then, and running ones are stopped. */
    std::future<void> cancel(JobId job);

    std::future<ShardStatus> status();
    std::future<JobStatus> describe(JobId job); ///< NotFound if dropped from the history
    std::future<JobId> find(std::string tenant, std::string name);
    std::future<std::string> exportHistory(); ///< newline-delimited JSON

    /** Transfers a job to another failure domain. Conflict if it has ended or an attempt may be running. */
    std::future<TransferId> transferJob(JobId job, std::string toDomain);

    /** Transfers part of a tenant's allotment to another failure domain. Conflict if the allotment is too small. */
    std::future<TransferId> transferAllotment(std::string tenant, const Resources &amount, std::string toDomain);

    /** Returns the offers of unacknowledged transfers. Send them to their receivers repeatedly. */
    std::future<std::vector<TransferOffer>> pendingOffers();

    /** Accepts an offer at the receiver. Idempotent. On completion the job or allotment is durable; tell the origin. */
    std::future<void> acceptOffer(TransferOffer offer);

    /** Completes a transfer at the origin, once the receiver has accepted it. Idempotent. */
    std::future<void> acknowledgeTransfer(TransferId id);

    std::future<void> setAllotment(std::string tenant, const Resources &amount);
    std::future<std::map<std::string, Resources>> allotments();
    std::future<void> changeOperator(std::string operatorName); ///< recorded in the log

    // -- Owner thread -------------------------------------------------------------------------------------------------

    /** Becomes the owner. Throws Unavailable (retry later) or IncompatibleRecord (do not retry). */
    void takeOver();

    /** Does all work that is due at @p now. */
    StepOutcome step(TimePoint now);

    /** Waits until @p until or until a request is queued. */
    void waitForWork(TimePoint until);

    /** Stops all activity and completes all open futures. step() calls this when another owner has taken over. */
    void stepDown();

    const ShardState &state() const; ///< durable records only
    const Fleet &fleet() const;
    const SchedulerCounters &counters() const;

private:
    template<typename T, typename RequestType>
    std::future<T> enqueueRequest(RequestType request);
    template<typename T, typename Read>
    std::future<T> enqueueRead(Read read);
    void enqueue(detail::Request request);
    void rejectQueuedRequests();
    Duration retryAfter(TimePoint now);
    Duration jitter(Duration limit);
    bool canWrite(TimePoint now) const;

    // Requests (requests.cpp)
    void dequeueRequests(TimePoint now);
    void processPendingRequests();
    void rejectPendingRequests(TimePoint now);
    void process(const detail::SubmitRequest &it);
    void process(const detail::CancelRequest &it);
    void process(const detail::TransferJobRequest &it);
    void process(const detail::TransferAllotmentRequest &it);
    void process(const detail::AcceptOfferRequest &it);
    void process(const detail::AcknowledgeTransferRequest &it);
    void process(const detail::SetAllotmentRequest &it);
    void process(const detail::ChangeOperatorRequest &it);
    void process(const detail::ReadRequest &it);
    void validateSpec(const JobSpec &spec) const;

    // Batches (commit.cpp)
    bool tryAddRecord(const Record &record);
    bool tryAddRecords(std::span<const Record> records);
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
    void resolveInDoubtBatch(TimePoint now);
    void reportInDoubtBatchAsUnknown();
    void backOffWrites(TimePoint now);
    void snapshotIfDue(TimePoint now);

    // Decisions (scheduler.cpp)
    void loadEngine(TimePoint now);
    void restoreJob(const JobState &job, TimePoint now);
    void updateEngine(TimePoint now);
    void decide(TimePoint now, bool areStartsAllowed);
    void requestStop(const TaskId &task, StopMode mode, const TaskId &preemptor, const std::string &reason);
    void evictFromLeavingVms(TimePoint now);
    void removeFromEngine(const JobState &job);

    // Status (status.cpp)
    ShardStatus buildStatus() const;
    JobStatus buildJobStatus(JobId job) const;
    JobStatus buildEndedJobStatus(const EndedJob &job) const;
    TaskStatus buildTaskStatus(const JobState &job, std::uint32_t index) const;
    void addLastEnds(JobStatus &status) const;
    std::vector<TransferOffer> buildOffers() const;

    SchedulerSettings m_settings;
    Log &m_log;
    DecisionEngine &m_engine;
    Clock &m_clock;

    // Shared between the callers' threads and the owner thread.
    BoundedRing<detail::Request> m_requests;
    std::mutex m_wakeMutex;
    std::condition_variable m_wake;
    bool m_isWakeRequested = false;         ///< guarded by m_wakeMutex
    std::atomic<bool> m_isRejecting = true; ///< not the owner: enqueue() rejects requests

    // Used by the owner thread only.
    Fleet m_fleet;
    ShardState m_state;
    bool m_isOwner = false;
    bool m_isEngineLoaded = false;
    std::uint64_t m_lastJobNumber = 0;             ///< also counts jobs that are not durable yet
    std::uint64_t m_lastTransferNumber = 0;        ///< also counts transfers that are not durable yet
    std::deque<detail::Request> m_pendingRequests; ///< writes, processed for the next batch
    std::deque<AttemptEnded> m_pendingEnds;   ///< not durable yet; at most one for each attempt that holds capacity
    std::deque<StopRequested> m_pendingStops; ///< not durable yet, though possibly sent; same bound
    std::map<JobId, std::string> m_unrunnableReasons; ///< why a job can never start as specified
    detail::PlannedBatch m_batch;
    std::optional<detail::PlannedBatch> m_inDoubtBatch; ///< outcome unknown until Log::resolve(); empty: a snapshot
    TimePoint m_inDoubtSince;
    TimePoint m_nextResolve;
    bool m_isPlatformUnavailable = false;
    TimePoint m_platformUnavailableSince;
    Duration m_writeRetryDelay{};
    TimePoint m_nextAppend;
    TimePoint m_nextDecision;
    bool m_isDecisionNeeded = true; ///< state has changed since the last decision
    std::minstd_rand m_random;
    SchedulerCounters m_counters;
};

} // namespace QuetzalRock
