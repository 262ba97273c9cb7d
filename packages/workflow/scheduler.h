/**
 * The leader of a shard: takes over from a former leader, places tasks, renews worker leases, processes the workers'
 * reports and stores the progress of jobs.
 *
 * Index of this file
 *   WorkflowSettings     times and limits
 *   WorkflowCounters     exported as metrics
 *   WorkflowScheduler    exists for one term of leadership; driven by tick() on one thread
 *
 * Stored state
 *   Stored: accepted jobs and cancels (by the node that receives them), completed tasks, failed attempts, checkpoints
 *   and the list of workers in use. Not stored: which worker runs a task. Workers report that; a new leader reads it
 *   from them.
 *
 * How a task never runs twice
 *   - Each order carries a fencing token derived from the epoch. A new leader first renews the lease of each worker
 *     with its own token. From then on the worker rejects orders of former leaders, and its reports list all
 *     their runs.
 *   - A task that a former leader may have started is not placed until every worker that this leader used has reported,
 *     or can no longer run its tasks: its lease has expired, or another worker replies at its address. That a former
 *     leader cannot start it any more is certain once a run of it is known that ends unheard: the worker rejects the
 *     former leader's orders, and has answered each renewal of it that waited when the new token came.
 *   - An unreachable worker keeps its tasks until its lease has expired, allowing for a slow worker clock.
 *   - An unanswered start is repeated at the same worker under the same attempt number. Its task is not placed again until
 *     the worker has confirmed a stop, which bars the attempt, or the validity of the start has passed on the worker's clock;
 *     and on no other worker while the next incarnation, which knows neither, may execute the start. See starts.cpp.
 *   - Attempt numbers increase within an epoch, and each epoch starts with higher ones.
 *   - A worker keeps reporting an ended run until the leader has stored the end.
 */
#pragma once

#include <workflow/crashes.h>
#include <workflow/election.h>
#include <workflow/evacuation.h>
#include <workflow/forecast.h>
#include <workflow/jobmove.h>
#include <workflow/joborder.h>
#include <workflow/metrics.h>
#include <workflow/mirror.h>
#include <workflow/overdue.h>
#include <workflow/placement.h>
#include <workflow/pool.h>
#include <workflow/pressure.h>
#include <workflow/scarcity.h>
#include <workflow/storequeue.h>
#include <workflow/waiting.h>
#include <workflow/withheldleases.h>

#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <unordered_set>

namespace QuetzalRock::Workflow {

struct WorkflowSettings
{
    // Workers
    Duration renewInterval = std::chrono::milliseconds(1000); ///< longest time between two renewals of a worker
    /** Lease time; longer than an election and a takeover. The same on all nodes, see grantedLease(). */
    Duration workerLease = std::chrono::seconds(5);
    Duration maxWorkerLease = std::chrono::seconds(10);       ///< workers cut any longer lease to this
    Duration orderValidity = std::chrono::milliseconds(2500); ///< a worker rejects a start that arrives later than this
    Duration leaseExtensionInterval = std::chrono::milliseconds(1000); ///< between two renewals that extend a lease
    Duration maxOrderDelay
        = std::chrono::seconds(15); ///< an order without an answer has been executed by then, if at all

    /** A start without an answer is repeated at its worker for so long; then its task waits for maxOrderDelay at the most. */
    Duration unansweredStartTime = std::chrono::seconds(5);

    // Takeover
    /** How long after our election a former leader may still accept jobs: its own lease plus a margin. */
    Duration formerLeaderIntakeTime = std::chrono::milliseconds(1700);
    /** How long after the end of its lease a former leader may still send orders: as above, plus ElectionSettings::grace. */
    Duration formerLeaderOrderTime = std::chrono::milliseconds(9700);
    /**
     * A leader's grace period ends once less than half of the workers in use have answered an order that it sent within this
     * time. Then a former leader that most of them reject sends no orders any more. The same on all nodes.
     */
    Duration graceAnswerAge = std::chrono::milliseconds(2200);

    // Store
    Duration storeInterval
        = std::chrono::milliseconds(50); ///< least time between writes of one kind; batches ends of runs
    Duration awaitedStoreInterval = std::chrono::milliseconds(20); ///< the same while something waits for a record
    /** Writes of progress in flight. Beside another one, a write begins only if it is full, or something waits for a record of it. */
    std::size_t maxProgressWrites = 4;
    std::size_t awaitedProgressWrites = 1;                    ///< of these, kept for records that something waits for
    Duration statusInterval = std::chrono::milliseconds(700); ///< between writes of ShardStatus; counts reported to
                                                              ///< callers may be up to two seconds old
    Duration pressureStoreInterval = std::chrono::seconds(4); ///< between writes of the pressure model
    /** With several shards, between writes, and between reads of the other shards' models: bursts last only seconds. */
    Duration pressureShareInterval = std::chrono::seconds(1);
    Duration storeRetryDelay = std::chrono::milliseconds(200); ///< after a failed write

    // Placement
    Duration placementInterval = std::chrono::milliseconds(5); ///< batches the changes that trigger a placement
    Duration contactTimeout = std::chrono::milliseconds(2200); ///< a worker without a reply for so long gets no starts
    /** A worker that does not enforce its capacity gets no starts once its registry entry may be older than that. */
    Duration maxCapacityAge = std::chrono::seconds(2);
    Duration callRetryDelay = std::chrono::milliseconds(250); ///< after an unanswered call to a worker; also for stops
    Duration quarantineTime = std::chrono::seconds(2);        ///< first quarantine of a worker whose runs keep failing
    Duration maxQuarantineTime = std::chrono::seconds(8);     ///< bounds the doubling of consecutive quarantines
    std::uint32_t quarantineAfterFailures = 2;                ///< consecutive failed runs, over all jobs
    Duration hangTimeout = std::chrono::milliseconds(1500);   ///< a task that uses no CPU for so long counts as hung
    /**
     * A best-effort task that waits longer may share the idle CPU with others beyond bestEffortOvercommit. Not applied
     * if scarcity is enabled.
     */
    Duration spareCpuShareDelay = std::chrono::milliseconds(1500);
    Duration finalJobRetention = std::chrono::minutes(10); ///< how long callers can query a job after its end

    /** Checkpointed tasks are stopped this long before a draining worker shuts down. */
    Duration drainMargin = std::chrono::milliseconds(1500);
    CrashSettings crashes;
    PlacementWeights placement;
    PressureSettings pressure;
    ScarcitySettings scarcity;
    OverdueSettings overdue;

    // Transfers to other shards
    Duration transferDelay = std::chrono::seconds(2); ///< a long-running task without room is given away after that;
                                                      ///< after twice that by a shard in which it has not run yet
    Duration transferInterval = std::chrono::milliseconds(50); ///< least time between two transfers
    Duration jobMoveDelay = std::chrono::seconds(2); ///< a job without room moves to a shard with less work after that;
                                                     ///< doubles with each of its moves, at most three times

    /** The lease that each leader grants, hence the longest that a former one can have granted. */
    Duration grantedLease() const
    {
        return std::min(workerLease, maxWorkerLease);
    }
};

struct WorkflowCounters
{
    std::uint64_t starts = 0;
    std::uint64_t startsRejected = 0;
    std::uint64_t startsUnanswered = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t lost = 0;                 ///< runs lost because their worker restarted, vanished or lost its lease
    std::uint64_t workerCrashes = 0;        ///< restarts without a drain, by which runs were lost or not
    std::uint64_t workerCrashesAtStart = 0; ///< of these, crashes of workers on which a run had just started
    std::uint64_t tasksGivenUp = 0;         ///< crashed the workers that started them
    std::uint64_t stops = 0;
    std::uint64_t writes = 0;
    std::uint64_t throttles = 0;
    std::uint64_t pacedStarts = 0;     ///< of overdue tasks that every worker turned away
    std::uint64_t tasksGiven = 0;      ///< to other shards
    std::uint64_t tasksTaken = 0;      ///< from other shards
    std::uint64_t jobsMoved = 0;       ///< as a whole, to other shards
    std::uint64_t jobsTaken = 0;       ///< as a whole, from other shards
    std::uint64_t untrackedImages = 0; ///< images beyond the limit of the pressure model
};

class WorkflowScheduler
{
public:
    WorkflowScheduler(const WorkflowSettings &settings,
                      RecordStore &store,
                      WorkerPort &workers,
                      Clock &clock,
                      EventLog &log,
                      ShardId shard,
                      const Leadership &term);
    WorkflowScheduler(const WorkflowScheduler &) = delete;
    WorkflowScheduler &operator=(const WorkflowScheduler &) = delete;

    void setObserver(WorkflowObserver *observer); ///< null: none; must outlive the scheduler

    /**
     * Performs all work that is due at @p now. @p authority limits what it may do, see Authority. Replies that are
     * processed before the next tick rest on full authority only until @p fullAuthorityUntil.
     */
    void tick(TimePoint now, Authority authority, TimePoint fullAuthorityUntil);

    /**
     * True once a worker or the store has shown that a later leader was elected, and after an unexpected error: the term
     * then ends, as this state may be incomplete, and a new one reads the state from the store and the workers.
     */
    bool isDeposed() const;

    /**
     * If there are other shards, their pressure models are used as well, and long-running tasks without room here may be
     * given to them. @p map is kept up to date by the caller and outlives the scheduler.
     */
    void setShardMap(const ShardMap &map);

    /** Nothing is started where @p requests does not allow it; kept up to date by the caller and outlives the scheduler. */
    void setEvacuations(const EvacuationRequests &requests);

    /** Which pools enforce their workers' capacity; kept up to date by the caller and outlives the scheduler. */
    void setCatalog(const Catalog &catalog);

    /** No worker's entry was changed before @p time without a call of setWorker() or removeWorker(). */
    void setRegistryConfirmedAt(TimePoint time);

    /** What this node knows of the shard's withheld leases; kept up to date by the caller and outlives the scheduler. */
    void setWithheldLeases(const WithheldLeases &leases);

    /** True once no order of a former leader can take effect any more. */
    bool isTakeoverComplete() const;
    bool isWaitingForWorkers() const; ///< some have not been read a second after the election

    /** True if a successor could place all tasks at once: each worker in use answers, and no task is leaving the shard. */
    bool canHandOver() const;

    /** Neither starts nor moves anything while @p isPaused, so that the outcomes of all orders become known. */
    void pauseStarts(bool isPaused);
    bool hasUnknownOutcomes() const; ///< of starts, transfers or moves

    /** Adds or updates a worker; called when its registry entry is new or has changed. */
    void setWorker(const WorkerRecord &record);

    /** Called when a worker's registry entry was removed or cannot be parsed. Its runs are kept until they end. */
    void removeWorker(const WorkerId &id);

    ShardId shard() const;
    const WorkflowCounters &counters() const;
    const WaitingTasks &waitingTasks() const;                            ///< checked about once a second
    std::map<std::string, std::uint32_t> runsInEvacuatedDomains() const; ///< number of runs by queue
    std::size_t activeJobs() const;
    StoreBacklogs storeBacklogs() const; ///< jobs whose progress waits to be stored, apart from those in a write
    std::size_t writesInFlight() const;  ///< of progress

private:
    using JobPtr = std::unique_ptr<JobState>;

    /** Estimated work that is not running, in CPU millis x milliseconds. */
    struct QueuedWork
    {
        std::int64_t reserved = 0;   ///< of tasks that reserve their CPU
        std::int64_t bestEffort = 0; ///< of tasks that use spare CPU
    };

    /** Tasks of a step are to be given away once the job is in no other write. */
    struct PreparedTransfer
    {
        JobKey key;
        std::uint32_t step = 0;
        StoreItem registration;
    };

    /** A start that is throttled from its beginning. */
    struct PacedStart
    {
        WorkerIndex worker = NoWorker;
        int percent = 100;
    };

    /** A start order whose answer is awaited. */
    struct SentStart
    {
        TaskRef ref;
        JobKey key;
        WorkerIndex worker = NoWorker;
        std::uint64_t attempt = 0;
        std::int64_t validUntilMs = 0; ///< worker's clock
        TimePoint sentAt{};
        TimePoint doubtUntil{}; ///< of earlier starts without an answer; zero: there are none
    };

    /** A write that gives tasks of one job to another shard. No other write takes the job until its outcome is known. */
    struct Transfer
    {
        ShardId to = 0;
        std::vector<TaskRef> tasks;
        std::vector<std::uint64_t> recordRevisions; ///< of the tasks at the start of the transfer
        std::string_view basis;                     ///< see basisOfLeaving()
        StoreChange change;
        std::string progress;      ///< of the job, as written; empty: the tasks belonged here by records
        std::uint64_t version = 0; ///< of the job in that progress
        bool isInFlight = false;
        bool mayBeStored = false; ///< an earlier copy got no answer
        TimePoint retryAt{};
    };

    /** Given tasks that the other shard's status may not include yet. */
    struct GivenCpu
    {
        ShardId shard = 0;
        std::string image;
        std::int64_t cpuMillis = 0;
        std::uint64_t revision = 0; ///< of the write
    };

    struct RecentCrash
    {
        TimePoint at;
        bool hasStartingRun = false; ///< a run had just been started there
        bool isTimeKnown = false;    ///< otherwise it was before this leader first reached the worker
        std::string address;         ///< of the worker
        std::string failureDomain;   ///< of the worker
        CrashName crash;
        bool isOfTrial = false;  ///< a suspect was being tried there
        bool isOfDomain = false; ///< the whole failure domain crashed, see findDomainsDown()
    };

    /** A step some of whose tasks wait. */
    struct WaitingStep
    {
        TaskRef longest;            ///< the task that has waited longest
        Duration waited{};          ///< of that task
        std::uint32_t tasks = 0;    ///< that wait
        std::uint32_t reported = 0; ///< of these, have waited long enough to be reported
    };

    /** A start since the last check of waiting tasks. */
    struct RecentStart
    {
        std::int64_t acceptedMs = 0; ///< of the job
        std::string pool;
        bool usesSpareCpu = false;
    };

    /** A suspect that waits for its trial or the start of it, or the members of a gang with one. */
    struct TrialCandidate
    {
        std::vector<TaskRef> refs;
        bool isPrepared = false; ///< workers are chosen, and start nothing else
    };

    struct MovingJob
    {
        JobKey key;
        ShardId to = 0;
        std::string_view basis; ///< see basisOfLeaving()
    };

    /** The progress of a job in a write. */
    struct WrittenJob
    {
        StoreRecord record;
        std::uint64_t version = 0; ///< of the job in that progress
        std::string progress;
    };

    /** A GivenTask in a write. */
    struct GivenTaskRecord
    {
        TaskRef ref;
        std::uint64_t version = 0; ///< of the job in that record
        bool isSuspect = false;    ///< it says something of crashes
    };

    /** A write that moves jobs to other shards. No other write takes them until its outcome is known. */
    struct JobMove
    {
        MoveReason reason = MoveReason::Evacuation;
        std::vector<MovingJob> jobs;
        StoreChange change;
        bool isInFlight = false;
        bool mayBeStored = false; ///< an earlier copy got no answer
        TimePoint retryAt{};
    };

    void tickGuarded(TimePoint now, Authority authority);
    void fail(std::string_view where, const std::exception &error);
    void expireAuthority();

    // Takeover (takeover.cpp)
    void loadWorkers();
    void onWorkersLoaded(const StoreReply &reply);
    std::vector<KnownWorker> readWorkers(const StoreItem &item);
    void loadPressure();
    void loadSharedPressure(TimePoint now);
    void onSharedPressureLoaded(const StoreReply &reply);
    std::optional<SavedPressure> readPressure(const StoreItem &item);
    void loadProgress(const std::string &afterKey);
    void onProgressPage(const StoreReply &reply);
    void retryLoad(std::string_view what);
    void onInboxItem(const StoreItem &item);
    JobPtr makeJob(AcceptedJob accepted, std::uint64_t createdRevision);
    void addJob(const StoreItem &item);
    void takeMovedJob(JobState &job, const MovedJob &moved, const StoreItem &item);
    void onCancel(const JobKey &key);
    bool mayBeRunningElsewhere(const TaskRef &ref) const;
    bool isNewerJob(const JobState &job) const;
    std::string_view basisOfLeaving(const JobState &job) const;
    void resolveUnreadWorkers(TimePoint now);
    void updateTakeoverStage(TimePoint now);
    void logUnreadWorkers(TimePoint now);
    void checkFormerLeaders(TimePoint now);
    void onEpochRecordRead(const StoreReply &reply);
    void onFormerLeaderBootRead(const FormerLeader &leader, const StoreReply &reply);
    void removeFormerLeader(const FormerLeader &leader, std::string_view why);
    void resolveFormerLeaders(TimePoint now);
    bool isRejectedByMost(const FormerLeader &leader, TimePoint since) const;
    Authority limitGrace(Authority authority, TimePoint now);
    bool isAnsweredByHalf(TimePoint now) const;
    TimePoint endOf(const FormerLeader &leader) const;
    TimePoint lastOrderOf(const FormerLeader &leader) const;
    TimePoint lastFormerOrder() const;
    TimePoint formerLeaseExpiry(const WorkerState &worker) const;
    Duration longestLease() const;

    // Leases of silent workers (withheldleases.cpp)
    void loadWithheldLeases();
    void onWithheldLeasesLoaded(const StoreReply &reply);
    void updateWithheldLeases(TimePoint now);
    static bool isWithheldLeaseCurrent(const WorkerState &worker);
    void storeWithheldLeases(TimePoint now);
    void onWithheldLeasesStored(const StoreReply &reply, std::span<const WorkerIndex> released);

    // Workers (contact.cpp)
    WorkerState &findOrAddWorker(const WorkerId &id);
    void renewWorkerLeases(TimePoint now);
    void renewWorkerLease(WorkerIndex index, TimePoint now);
    void dropFromStoredWorkers(WorkerState &worker);
    void onRenewed(WorkerIndex index,
                   std::uint64_t fence,
                   const RenewReply &reply,
                   TimePoint sentAt,
                   std::optional<std::int64_t> leaseUntilMs);
    void noteStartAnswer(WorkerIndex index, std::int64_t validUntilMs, bool isOfThisFence, const OrderReply &reply);
    bool mayExtensionsReachNext(const WorkerState &worker) const;
    TimePoint cutLeaseEnd(TimePoint time) const;
    void noteLeaseByOtherClock(WorkerState &worker, Duration lease);
    void settleUnusedWorker(WorkerState &worker) const;
    void settleLease(WorkerState &worker, TimePoint now);
    void noteExtensionAnswer(WorkerState &worker, OrderStatus status, TimePoint sentAt) const;
    void onRenewFailed(WorkerIndex index, OrderStatus status, TimePoint now);
    void processReport(WorkerIndex index, const WorkerReport &report, TimePoint sentAt);
    void noteFormerCalls(WorkerState &worker, std::int64_t clockMs) const;
    bool canFormerLeaderHear(const WorkerState &worker, TimePoint since) const;
    void processRunningEntry(WorkerIndex index, const RunningEntry &entry, TimePoint sentAt);
    void processEndedEntry(WorkerIndex index, const EndedEntry &entry);
    void recordFailure(WorkerIndex index, const TaskRef &ref, const EndedEntry &entry);
    void applyRunEnd(WorkerIndex index, const TaskRef &ref, const EndedEntry &entry);
    void resolveUnlistedRuns(WorkerIndex index, std::int64_t clockMs, bool isComplete, TimePoint sentAt);
    void requeueLostRuns(WorkerIndex index, std::string_view why);
    void beginIncarnation(WorkerIndex index, const WorkerRecord &record);
    void recordReplacement(WorkerIndex index);
    void evacuateDrainingWorker(WorkerIndex index, TimePoint now);
    bool mustLeaveDrainingWorker(const TaskRef &ref, WorkerIndex index, TimePoint now);
    void updateHealth(WorkerState &worker, bool hasSucceeded, TimePoint now);
    void acknowledgeDurableEnds(WorkerState &worker);
    WorkerTarget target(const WorkerState &worker) const;
    std::optional<TaskRef> findTask(const TaskName &name);

    // Crashes of workers, and evidence against tasks (suspects.cpp)
    LostRun describeLostRun(const TaskRef &ref, std::int64_t workerStartedAtMs, TimePoint lostAt) const;
    void recordCrash(WorkerIndex index, std::span<const LostRun> lost, bool isTimeKnown);
    bool isNextToUnexplainedCrash(WorkerIndex index, TimePoint at, bool isTimeKnown) const;
    bool isNear(TimePoint a, TimePoint b) const;
    bool isDomainDown(const std::string &failureDomain, TimePoint at, bool isTimeKnown) const;
    void reviewCrashes(TimePoint at);
    void excuseRunsOf(const RecentCrash &crash);
    void giveUpConvicted(TimePoint now);
    bool isVerdictDue(const TaskState &task, TimePoint now) const;
    bool areStartsToBlame() const;
    void addEvidence(const TaskRef &ref, const CrashEvidence &evidence);
    void explainCrashesOf(const TaskState &guilty);
    void applyExplanations(const TaskRef &ref);
    bool isExplainedByOthers(const TaskState &task) const;
    void onStartedUp(const TaskRef &ref);
    bool isTriedUntilItsEnd(const TaskState &task) const;
    void giveUpTask(const TaskRef &ref);
    void storeSilentStarts(const WorkerState &worker);
    void keepUnresolvedRuns(WorkerState &worker);
    std::vector<LostRun> takeCrashedRuns(WorkerState &worker, std::int64_t startedAtMs);
    void endVerdictWait(const RunName &run);
    void forgetOldCrashes(TimePoint now);
    bool isHeldBySuspect(const TaskRef &ref) const;
    void reportSuspects(TimePoint now);
    void restoreSuspects(JobState &job);
    void restoreSuspect(const TaskRef &ref);
    bool restoreUnresolvedRun(const TaskRef &ref, const TaskTrial &start);

    // Keeping the starts of different jobs apart while tasks crash their workers (separation.cpp)
    void separateStarts(const std::string &pool, Duration time, std::string_view why);
    void separateStartsAfterSilence(WorkerIndex index);
    void endSeparations(TimePoint now);
    bool areStartsSeparated(const std::string &pool) const;
    void listStartingJobs(WorkerState &worker);
    void noteStartingJob(WorkerState &worker, const TaskRef &ref);
    bool mustStartApart(const TaskRef &ref, TimePoint now) const;
    bool isStartingJobOnly(const WorkerState &worker, const JobState &job) const;
    void noteHeldByStarts(StepState &step, bool isHeld, TimePoint now) const;
    Duration renewalWait(const WorkerState &worker, TimePoint now) const;

    // Trials of suspected tasks (trials.cpp)
    bool needsTrial(const TaskState &task) const;
    void placeTrials(TimePoint now);
    void listTrialCandidates(JobState &job, TimePoint now, std::vector<TrialCandidate> &candidates) const;
    void endHeldTrials(JobState &job, TimePoint now);
    void endOutwaitedTrials(std::span<const TaskRef> refs);
    bool prepareTrials(std::vector<TrialCandidate> &candidates, TimePoint now);
    WaitingSuspect describeSuspect(std::span<const TaskRef> refs, const SuspectsByCrash &suspects) const;
    SuspectsByCrash suspectsByCrash() const;
    bool isOutcomeHeldUp(const TaskTrial &trial) const;
    TriedByCrash triedByCrash(const SuspectsByCrash &suspects) const;
    void continueTrial(std::span<const TaskRef> refs, TimePoint now);
    void startTrial(std::span<const TaskRef> refs, TimePoint now);
    bool prepareTrial(std::span<const TaskRef> refs, double risk, TimePoint now);
    bool canTryOn(WorkerIndex index, const TaskRef &ref, TimePoint now) const;
    bool isQuietForTrial(const WorkerState &worker, const TaskRef &ref) const;
    bool isTrialOverdue(const TaskState &task) const;
    static bool isBesideOthers(const WorkerState &worker, const TaskRef &ref);
    WorkerIndex chooseTrialWorker(const TaskRef &ref, TimePoint now) const;
    TrialBudget trialBudget(TimePoint now) const;
    double spareWorkers(TimePoint now) const;
    void noteTrialOrdered(const TaskRef &ref);
    void endTrial(const TaskRef &ref);
    void releaseTrialWorkers();
    void endTrials(JobState &job);

    // Workers that trials keep from tasks which can run on no other one (trialholds.cpp)
    void listAwaitedWorkers(bool areAnyTried, TimePoint now);
    void addAwaitedWorkers(const TaskRef &first, TimePoint now);
    void addAwaitedWorkersOf(const TaskRef &ref, bool isStartNext, TimePoint now);
    bool canStartWithoutTrial(WorkerIndex index, const TaskRef &ref, TimePoint now);
    void shareAwaitedWorkers();

    // Placement (dispatch.cpp)
    void placeJobs(TimePoint now);
    void sortJobs(TimePoint now);
    void listOverdueJobs(std::int64_t wallMs);
    void placeOverdueJobs(TimePoint now);
    void beginOverdueShares(TimePoint now);
    bool mayPlaceInThisPass(const JobState &job, const StepSpec &step) const;
    bool mayPlace(const JobState &job) const;
    void chooseCpuSharingJob(std::int64_t wallMs);
    bool canShareSpareCpu(const JobState &job) const;
    void placeJob(JobState &job, TimePoint now);
    void placeStep(JobState &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now);
    void sortTasks(const JobState &job, std::uint32_t occurrence, std::uint32_t step);
    void placeGang(JobState &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now);
    WaitReason holdOf(const JobState &job) const;
    WaitReason holdOf(const TaskRef &ref, TimePoint now) const;
    bool arePredecessorsDone(const JobState &job, std::uint32_t occurrence, std::uint32_t step) const;
    void listUsableWorkers(TimePoint now);
    WorkerIndex chooseWorker(const TaskRef &ref, bool canShareSpareCpu, TimePoint now);
    std::optional<double> scorePlacement(WorkerIndex index, const TaskRef &ref, bool canShareSpareCpu) const;
    std::optional<Candidate> describeCandidate(WorkerIndex index, const TaskRef &ref, bool canShareSpareCpu) const;
    Candidate
    describeCandidate(WorkerIndex index, const TaskRef &ref, bool canShareSpareCpu, double interference) const;
    Refusal placementRefusal(WorkerIndex index, const TaskRef &ref, TimePoint now) const;
    bool isEligible(const WorkerState &worker, const TaskRef &ref, TimePoint now) const;
    bool isUsable(const WorkerState &worker, TimePoint now) const;
    bool isSuitable(const WorkerState &worker, const TaskRef &ref, TimePoint now) const;
    Refusal unusableReason(const WorkerState &worker, TimePoint now) const;
    Refusal unsuitableReason(const WorkerState &worker, const TaskRef &ref, TimePoint now) const;
    bool isCapacityKnown(const WorkerState &worker, TimePoint now) const;
    bool mayStartIn(const std::string &failureDomain, TimePoint now) const;
    void startTask(const TaskRef &ref, WorkerIndex worker, std::uint64_t attempt, TimePoint now, int percent = 100);
    void stopTask(const TaskRef &ref, std::string_view why);
    void sendStopOrder(const TaskRef &ref);
    void reserveResources(const TaskRef &ref, WorkerIndex worker);
    void releaseResources(const TaskRef &ref); ///< removes the task from its worker
    void requeueTask(const TaskRef &ref, Duration delay);
    void releaseAndRequeue(const TaskRef &ref); ///< releaseResources(); requeues the task unless it is done
    std::uint64_t nextAttempt(const TaskState &task) const;
    void finishTask(const TaskRef &ref, bool isCurrentRun);
    void failJob(JobState &job, std::string_view why);
    void finishJob(JobState &job, WorkflowState state);
    Duration jobAge(const JobState &job) const; ///< since its acceptance; compares the wall clocks of two nodes
    void stopAllTasks(JobState &job, std::string_view why);

    // Start orders, their answers, and starts without an answer (starts.cpp)
    void sendStart(const TaskRef &ref);
    void onStartReply(const SentStart &sent, const OrderReply &reply);
    void onRepeatRejected(const TaskRef &ref, OrderStatus status);
    void continueUnansweredStart(const TaskRef &ref);
    void endDoubt(const SentStart &sent, OrderStatus status) const;
    bool isStartInDoubt(const TaskState &task, TimePoint now) const;
    bool mayRunUnread(const TaskState &task, const WorkerState &worker) const;
    bool mayStartAt(const TaskState &task, const WorkerState &worker, TimePoint now) const;

    // Resources for long-running tasks that have waited too long (room.cpp)
    bool reserveWorkersFor(const TaskRef &ref, TimePoint now);
    std::uint32_t tasksThatNeedRoom(const TaskRef &ref, TimePoint now) const;
    std::uint32_t tasksThatMayFit(const WorkerState &worker, const TaskRef &ref, TimePoint now) const;
    WorkerState *chooseWorkerToReserve(const TaskRef &ref, TimePoint now) const;
    bool mayReserveMore(TimePoint now) const;
    void evictToMakeRoom(const TaskRef &ref, TimePoint now);
    bool canRunElsewhere(const TaskRef &ref, WorkerIndex from, TimePoint now);
    void findUnpromisedResources(TimePoint now);
    bool promiseResources(const TaskRef &ref, TimePoint now);
    void noteLongRunningWait(const TaskRef &ref, TimePoint now);
    static bool mayYield(const TaskRef &ref, TimePoint now);
    std::int64_t wallMsOf(TimePoint time) const;
    bool yields(const TaskRef &ref, std::int64_t cpuMillis, TimePoint now) const;
    bool isLeftToLongerWait(const WorkerState &worker, const TaskRef &ref, TimePoint now) const;
    static bool isLongerWait(std::int64_t sinceMs, std::int64_t ownSinceMs);
    bool canBeEvicted(const TaskRef &ref) const; ///< within the step's maxUnavailable

    // Long-running tasks leave evacuated failure domains, and draining workers of full shards (departure.cpp)
    void beginDepartures(TimePoint now);
    void forgetEndedDepartures();
    void beginDeparture(const TaskRef &ref, std::string_view why);
    void leaveDrainingWorkers(TimePoint now);
    void leaveEvacuatedDomains(TimePoint now);
    bool hasLongWaitForOtherShards(TimePoint now) const;
    std::vector<TaskRef> longRunningTasksOnDrainingWorkers(TimePoint now) const;
    std::vector<TaskRef> longRunningTasksInEvacuatedDomains() const;
    bool hasPlaceElsewhere(const TaskRef &ref, TimePoint now);
    std::optional<TaskDestination>
    findPlaceInOtherShard(const TaskRef &ref, TimePoint now, std::map<ShardId, CpuByImage> &assigned);
    std::vector<TaskRef> recentDepartures(TimePoint now) const;
    bool isLeavingShard(const TaskRef &ref) const;
    void refreshStatuses(TimePoint now);
    bool isShardEvacuated() const;

    // Reports on tasks that wait (waiting.cpp)
    void reportWaitingTasks(TimePoint now);
    void findWaitingSteps(JobState &job, TimePoint now, std::vector<WaitingStep> &due);
    void countWaitingTasks(WaitingStep &step, TimePoint now) const;
    void addTurnedAway(const StepState &step, Duration waited);
    Duration waitOf(const TaskRef &ref, TimePoint now) const;
    static std::span<const WaitingStep> chooseReported(std::vector<WaitingStep> &due);
    WaitDiagnosis diagnose(const WaitingStep &step, TimePoint now) const;
    WaitReason waitReasonOf(const TaskRef &ref, std::uint32_t usable, std::uint32_t fitting, TimePoint now) const;
    void logDiagnosis(const TaskRef &ref, const WaitDiagnosis &diagnosis);
    void logShardWaits(TimePoint now);

    // Transfers of long-running tasks to other shards (transfer.cpp)
    void giveWaitingTasks(TimePoint now);
    static bool canGiveTasksOf(const JobState &job);
    std::vector<TaskRef> tasksWithoutRoom(JobState &job, std::uint32_t step, TimePoint now) const;
    Duration transferDelay(const TaskState &task) const;
    std::vector<TaskRef> stepsWithoutRoom(TimePoint now) const;
    std::optional<TaskDestination> findDestination(const TaskRef &ref, std::size_t tasks);
    ShardStatuses offersFor(const std::string &pool, TimePoint waitingSince) const;
    void chooseOfferedShard(TimePoint now);
    void reportNoDestination(std::span<const TaskRef> waiting, TimePoint now);
    void readStatuses();
    void onStatusesRead(const StoreReply &reply);
    void readRegistration(const JobKey &key, std::uint32_t step);
    void chooseDestination(const PreparedTransfer &prepared, TimePoint now);
    void beginTransfer(JobState &job, std::vector<TaskRef> tasks, ShardId to, const StoreItem &registration);
    void sendTransfer();
    void onTransferReply(const StoreReply &reply);
    bool wasExecuted(const StoreReply &conflict);
    void endTransfer(bool isExecuted, std::uint64_t revision);
    void returnTask(const TaskRef &ref, const StoreItem &registration);
    void endGuestTasks(TimePoint now);
    void cancelAtGuests(const JobKey &key, const StoreItem &registration);
    std::map<ShardId, CpuByImage> recentlyGivenCpu();
    void takeTask(const StoreItem &item);

    // Moves of whole jobs to other shards (jobmove.cpp)
    void moveJobs(TimePoint now);
    bool mayMoveJobs() const;
    bool isKnownToRunNowhere(JobState &job) const;
    StayReason stayReason(JobState &job, TimePoint now) const;
    void readStatusesForMove();
    std::vector<JobState *> jobsToMove(MoveReason reason, TimePoint now) const;
    bool isResting(const JobState &job) const;
    void beginRests(std::span<JobState *const> jobs, TimePoint now);
    void beginJobMove(std::span<JobState *const> jobs, MoveReason reason, TimePoint now);
    void addToMove(JobMove &move, JobState &job, ShardId to);
    std::uint64_t highestAttempt(const JobState &job) const;
    void sendJobMove();
    void onJobMoveReply(const StoreReply &reply);
    void endJobMove(const StoreReply &reply);
    void onMoveConflict(JobState &job, const StoreReply &conflict);
    void forgetMovedJob(const JobKey &key);
    void checkEndsOfMovedJobs(TimePoint now);
    void onEndChecked(const TaskName &task, const StoreReply &reply);

    // Protecting serving tasks from best-effort tasks (pressureguard.cpp)
    void observePressure(WorkerIndex index);
    void updateThrottles(WorkerIndex index);
    bool hasWorkerFor(const TaskRef &ref);
    void throttleTask(const TaskRef &ref, int percent);
    void orderPendingThrottle(const TaskRef &ref);
    void endThrottles(const WorkerState &worker);
    PacedStart choosePacedStart(const TaskRef &ref, TimePoint now);
    std::optional<int> toleratedPercent(WorkerState &worker, const TaskRef &ref, TimePoint now) const;
    void logThrottleChanges(const WorkerState &worker, std::span<const TaskRef> runs, std::span<const int> percents);
    std::vector<TaskRef> bestEffortRuns(const WorkerState &worker) const;
    std::vector<BestEffortTask> describeBestEffortRuns(const WorkerState &worker, std::span<const TaskRef> runs) const;
    const WorkerOutlook &outlookOf(WorkerState &worker) const;
    void addToOutlook(WorkerOutlook &outlook, const TaskRef &ref, std::span<const BestEffortTask> bestEffort) const;
    double expectedUseMillis(WorkerState &worker, Duration span) const;
    std::optional<double> interferenceOf(WorkerState &worker, const TaskRef &ref) const;
    std::optional<double> bestEffortInterference(WorkerState &worker, const TaskRef &ref) const;
    std::map<std::string, int> bestEffortTolerance() const; ///< see ShardStatus::tolerance

    // Persistence (storing.cpp)
    void markDirty(JobState &job, StoreClass storeClass = StoreClass::Progress);
    void storeProgress(TimePoint now);
    void reportStoreWait(const StoreRecord &record, TimePoint now);
    void storeProgressOfJobs(TimePoint now);
    bool mayStoreProgress(TimePoint now) const;
    bool addStatus(StoreChange &change, TimePoint now);
    void storeStatusInDoubt(TimePoint now);
    void onStatusRead(const StoreReply &reply);
    void onStatusStored(const StoreReply &reply);
    std::vector<WrittenJob> addProgress(StoreChange &change, TimePoint now);
    void noteAnswer(const StoreReply &reply);
    void onStored(std::span<const WrittenJob> written, bool hasStatus, const StoreReply &reply);
    void onNotStored(const WrittenJob &written, const StoreReply &reply);
    bool isInWrite(const JobKey &key) const;
    void reserveForWrite(const JobKey &key);
    void cancelReservation(const JobKey &key);
    void storeGivenTasks(TimePoint now);
    std::vector<GivenTaskRecord> listGivenTaskRecords(JobState &job) const;
    void
    onGivenTasksStored(const StoreRecord &record, std::span<const GivenTaskRecord> records, const StoreReply &reply);
    void storeWorkers(TimePoint now);
    void onWorkersStored(const std::set<WorkerId> &ids, const StoreReply &reply);
    bool isSettled(const JobKey &key);
    void removeExpiredJobs(TimePoint now);
    void onExpiredJobsRemoved(std::span<const JobKey> keys, bool areRemoved);
    std::vector<std::string> recordsOf(const JobKey &key);
    void forgetRecords(const JobKey &key, const std::vector<std::string> &records);
    void addQueuedWork(const JobState &job, QueuedWork &sums) const;
    ShardStatus shardStatus() const;
    void addWaits(ShardStatus &status, TimePoint now) const;
    void addScarcityStatus(ShardStatus &status, TimePoint now); ///< what forecasts need, see forecast.h
    void addUsefulQueuedWork(const JobState &job, std::int64_t wallMs, ShardStatus &status, TimePoint now) const;
    std::int64_t bestEffortCapacity() const;
    JobState *findJob(const JobKey &key);
    template<typename Handler>
    auto ifAlive(Handler handler); ///< wraps a callback; drops replies that arrive after the scheduler is gone
    template<typename... Fields>
    void logTaskEvent(std::string_view event,
                      const TaskRef &ref,
                      const Fields &...fields); ///< adds the fields job, step and task

    WorkflowSettings m_settings;
    RecordStore &m_store;
    WorkerPort &m_port;
    Clock &m_clock;
    EventLog &m_log;
    ShardId m_shard;
    ShardKeys m_keys;
    Leadership m_term;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< lets callbacks detect that the scheduler is gone

    // Takeover
    enum class LoadStage : std::uint8_t {
        Workers,
        Progress,
        Inbox,
        Done
    };
    enum class TakeoverStage : std::uint8_t {
        Reading,
        Waiting, ///< for workers that have not been read after TakeoverLogDelay
        Complete
    };
    LoadStage m_loadStage = LoadStage::Workers;
    bool m_isLoading = false;
    TimePoint m_nextLoadAt{}; ///< earliest retry of a failed load
    TimePoint m_electedAt;
    std::map<JobKey, std::string> m_loadedProgress;    ///< by job; cleared once the jobs are loaded
    std::map<JobKey, std::uint64_t> m_storedRevisions; ///< of out/KEY
    std::set<JobKey> m_earlyCancels;                   ///< cancels received before their job
    PrefixMirror m_inbox;
    std::vector<FormerLeader> m_formerLeaders; ///< those that may still send orders
    TimePoint m_formerLeadersGoneAt{};         ///< if there are none: since this time at the latest
    TimePoint m_nextFormerLeaderCheckAt{};
    std::size_t m_outwaitedWorkerCount = 0; ///< workers that were resolved without having reported
    TakeoverStage m_takeoverStage = TakeoverStage::Reading;
    std::uint64_t m_maxFormerRevision = 0; ///< former leaders may know jobs created up to it; 0: not determined yet

    // Workers
    std::vector<std::unique_ptr<WorkerState>> m_workers; ///< by WorkerIndex; never shrinks during a term
    std::unordered_map<WorkerId, WorkerIndex> m_workerIndex;
    std::size_t m_unreadWorkerCount = 0; ///< workers with mayRunFormerOrders
    bool m_workersDirty = false;
    bool m_isStoringWorkers = false;
    std::unordered_set<WorkerId> m_storedWorkers; ///< in ctl/workers as last written; only these get starts
    std::uint64_t m_workersRevision = 0;
    std::map<WorkerId, std::uint64_t> m_listedSince; ///< KnownWorker::listedSince of those in ctl/workers
    std::vector<std::set<WorkerId>>
        m_possibleLists; ///< contents that ctl/workers may have: writes may have got no answer
    std::map<WorkerId, std::uint64_t> m_formerWorkers; ///< KnownWorker::listedSince as loaded from ctl/workers
    bool m_areFormerWorkersUnknown = false;            ///< ctl/workers could not be read
    std::map<std::uint64_t, TimePoint>
        m_rejectedSince;        ///< by epoch of a former leader: most of its workers reject it since
    bool m_isGraceOver = false; ///< until authority is full again

    const WithheldLeases *m_withheldLeases = nullptr; ///< null: this node knows of none
    std::uint64_t m_withheldRevision = 0;             ///< of the stored list
    std::uint64_t m_withheldCount = 0;                ///< entries made in this term
    bool m_isWithheldDirty = false;
    bool m_isStoringWithheld = false;
    TimePoint m_nextWithheldAt{}; ///< earliest next write of the list

    std::deque<RecentCrash> m_recentCrashes; ///< for CrashSettings::machineMemory, in the order in which they showed
    std::map<CrashName, TimePoint>
        m_explainedCrashes; ///< by a task that has crashed another worker alone, or was given up; when that showed
    bool m_mayBeConvicted = false; ///< some task may have to be given up
    TimePoint m_nextSuspectLogAt{};
    std::map<std::string, TimePoint> m_separatedUntil; ///< by pool; see separation.cpp

    PressureModel m_pressure;
    std::set<std::string> m_unreadablePressure; ///< keys of stored models that were logged as unreadable
    std::set<std::string> m_untrackedImages;    ///< images that were logged as exceeding the model's limit
    bool m_hasOtherShards = false;
    TimePoint m_nextSharedPressureAt{}; ///< earliest next read of the other shards' models

    // Jobs
    std::unordered_map<JobKey, JobPtr> m_jobs;
    std::unordered_map<JobKey, JobState *> m_activeJobs; ///< not final
    std::vector<JobState *> m_jobOrder;                  ///< the active jobs in placement order, see JobRank
    std::vector<JobState *> m_overdueJobs;               ///< of m_jobOrder, the oldest first
    std::set<std::string> m_poolsWithUsefulWork;         ///< as of the last sorting, see OverdueShare::beginPass()
    std::map<std::string, OverdueShare> m_overdueShares; ///< by pool, of the last placement pass
    bool m_isOverdueRoomReserved = false;   ///< in this pass; for one overdue job only, the oldest that finds no room
    bool m_isPlacingOverdueJobs = false;    ///< tasks are placed only within m_overdueShares
    std::vector<std::uint32_t> m_taskOrder; ///< of a step's tasks, see sortTasks()
    ScarcityOrder m_scarcityOrder;
    CompletionRate m_bestEffortRate;
    std::vector<WorkerIndex> m_usableWorkers;    ///< see listUsableWorkers()
    std::set<WorkerIndex> m_awaitedWorkers;      ///< see listAwaitedWorkers()
    std::set<WorkerIndex> m_workersLeftByTrials; ///< the same: tasks that are no suspects have their turn there first
    TimePoint m_nextAwaitedCheckAt{};            ///< earliest next change of these
    UnplacedDemands m_unplaced;                  ///< in the current or last placement pass
    UnplacedDemands m_unpaced;                   ///< the same for choosePacedStart()
    UnplacedDemands m_heldByStarts;              ///< the same for tasks that have room only where other jobs start
    bool m_hasRoomBesideStarts = false;          ///< chooseWorker() found room, but only where other jobs start
    const JobState *m_cpuSharingJob = nullptr;   ///< under scarcity, the one job that may exceed the idle CPU
    TimePoint m_nextSortAt{};                    ///< m_jobOrder is sorted again then
    std::deque<std::pair<TimePoint, JobKey>> m_finalJobs; ///< with the times of their ends
    TimePoint m_nextPlacementAt{};
    TimePoint m_nextEvictionAt{};        ///< earliest next eviction by evictToMakeRoom()
    std::vector<Resources> m_unpromised; ///< by WorkerIndex, see findUnpromisedResources()
    TimePoint m_unpromisedAt{};          ///< when m_unpromised was computed; zero: runs have changed since
    std::map<std::string, std::map<std::int64_t, std::int64_t>>
        m_longRunningWaits;             ///< computed with m_unpromised, see ShardStatus
    std::optional<ShardId> m_offeredTo; ///< see ShardStatus::offeredTo
    TimePoint m_offeredSince{};
    bool m_isPlacementDue = false;     ///< something changed that may allow a placement
    TimePoint m_now{};                 ///< of the current tick or callback
    TimePoint m_lastFullAuthorityAt{}; ///< last tick with full authority
    Authority m_authority = Authority::None;
    TimePoint m_fullAuthorityUntil{}; ///< as of the last tick
    bool m_isDeposed = false;
    bool m_isPaused = false; ///< see pauseStarts()

    const Catalog *m_catalog = nullptr; ///< null: every pool is taken to enforce capacity
    TimePoint m_registryConfirmedAt{};

    // Evacuations
    const EvacuationRequests *m_evacuations = nullptr; ///< null: none are known
    std::vector<TaskRef> m_departures; ///< stopped to leave an evacuated domain or a full shard; they run nowhere yet
    TimePoint m_nextDepartureAt{};     ///< earliest next check
    bool m_isReadingStatuses = false;  ///< for departures

    // Transfers
    const ShardMap *m_shardMap = nullptr;
    ShardStatuses m_statuses; ///< of all shards, read while tasks find no room
    TimePoint m_statusesReadAt{};
    TimePoint m_nextTransferAt{};
    TimePoint m_nextNoDestinationLogAt{};
    bool m_isPreparingTransfer = false; ///< reads of the statuses or of a registration are in flight
    std::optional<PreparedTransfer> m_preparedTransfer;
    std::optional<Transfer> m_transfer; ///< while its write is in flight or has an unknown outcome
    std::vector<GivenCpu> m_givenCpu;
    std::set<JobKey> m_jobsWithGuests; ///< failed jobs some of whose tasks other shards may still have
    bool m_isEndingGuests = false;
    TimePoint m_nextGuestEndAt{};

    // Moves of whole jobs
    std::optional<JobMove> m_jobMove; ///< while its write is in flight or has an unknown outcome
    bool m_isReadingStatusesForMove = false;
    TimePoint m_nextJobMoveAt{};
    std::map<JobKey, StoreItem> m_returnedJobs; ///< records of jobs that came back before the outcome of their move
    std::set<TaskName> m_endsSettledElsewhere;  ///< held ends that may be acknowledged
    TimePoint m_nextEndCheckAt{};

    // Persistence
    StoreQueue m_storeQueue;          ///< jobs whose progress is to be stored
    StoreQueue m_guestQueue;          ///< other shards' jobs whose GivenTask records are to be stored
    std::size_t m_progressWrites = 0; ///< in flight
    std::uint32_t m_failedWrites
        = 0; ///< of progress and of GivenTask records, since the last one that the store answered
    bool m_isStoringGivenTasks = false;
    bool m_isRemovingJobs = false;
    TimePoint m_lastStoreAt{};                                   ///< start of the last write of progress
    TimePoint m_storeRetryAt{};                                  ///< earliest next write of progress after a failed one
    TimePoint m_nextGivenTasksAt{};                              ///< earliest next write of GivenTask records
    TimePoint m_nextWorkersAt{};                                 ///< earliest next write of the list of workers
    TimePoint m_nextRemovalAt{};                                 ///< earliest next removal of expired jobs
    std::array<Duration, StoreClassCount> m_longestStoreWaits{}; ///< by class, since the last log line on them
    TimePoint m_nextStoreWaitLogAt{};
    std::optional<ShardStatus> m_storedStatus;     ///< as last written, without its revision; none: not known
    std::optional<std::uint64_t> m_statusRevision; ///< of ShardStatus in the store; none: not known
    bool m_isStoringStatus
        = false; ///< a call that reads or writes ShardStatus is in flight; the pressure model goes with it
    bool m_isStatusInDoubt = false;    ///< a write of it got no answer and may be executed; none has succeeded since
    TimePoint m_nextStatusCallAt{};    ///< earliest next one after a call that failed
    TimePoint m_nextStatusAt{};        ///< earliest next write of ShardStatus
    TimePoint m_nextPressureStoreAt{}; ///< earliest next write of the pressure model
    WorkflowCounters m_counters;
    WaitingTasks m_waitingTasks;
    std::vector<RecentStart> m_recentStarts; ///< since the last check of waiting tasks
    TimePoint m_nextWaitCheckAt{};
    TimePoint m_nextShardWaitLogAt{};
    WorkflowObserver *m_observer = nullptr;
};

template<typename... Fields>
void WorkflowScheduler::logTaskEvent(std::string_view event, const TaskRef &ref, const Fields &...fields)
{
    m_log.write(event, "job", ref.job->key(), "step", ref.step, "task", ref.index, "shard", m_shard, fields...);
}

template<typename Handler>
auto WorkflowScheduler::ifAlive(Handler handler)
{
    return [this, alive = std::weak_ptr(m_alive), handler = std::move(handler)](const auto &reply) {
        if (alive.expired()) {
            return;
        }
        expireAuthority();
        try {
            handler(reply);
        } catch (const std::exception &error) {
            fail("reply", error);
        }
    };
}

} // namespace QuetzalRock::Workflow
