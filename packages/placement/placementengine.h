/**
 * Decides for one shard which tasks start on which workers, and which are throttled or stopped.
 *
 * Index of this file
 *   PlacementCounters   for metrics
 *   PlacementEngine     implements DecisionEngine; performs no I/O, has no thread and reads no clock
 *   detail              internal state for each worker; not for users
 *
 * Use (see engine.h for the order of calls)
 *   PlacementEngine engine(settings);
 *   engine.setTenants(quotas);                // call again whenever they change
 *   engine.pinSlowdown("lookup", "build", 0.7);   // only for pairs that operators have measured
 *
 * Implementation: enginevents.cpp (state and reports), enginestarts.cpp (order, admission, choice of worker),
 * engineguards.cpp (throttling, eviction, preemption), engineexplain.cpp (explanations for operators, counters).
 */
#pragma once

#include <placement/engine.h>
#include <placement/health.h>
#include <placement/interference.h>
#include <placement/jobs.h>
#include <placement/ledger.h>
#include <placement/settings.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <span>

namespace QuetzalRock {

/** Totals since the engine was created, except the last four, which are current values. */
struct PlacementCounters
{
    std::uint64_t starts = 0;
    std::uint64_t guardEvictions = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t throttles = 0;
    std::uint64_t throttlesLifted = 0;
    std::uint64_t evictionsRefused = 0; ///< because evictionsPerMinute was reached
    std::uint64_t quarantines = 0;
    std::uint64_t jobsAtFault = 0;    ///< jobs stopped because they fail on every worker tried
    std::uint64_t unrunnable = 0;     ///< jobs that can never run as declared
    std::uint64_t samples = 0;        ///< measurements passed to the interference model
    std::uint64_t samplesDropped = 0; ///< measurements older than maxReportAge or the residency history
    std::uint64_t candidates = 0;     ///< workers compared while choosing workers for starts
    std::uint32_t pendingTasks = 0;
    std::uint32_t activeTasks = 0;
    std::uint32_t quarantined = 0; ///< workers
    std::uint32_t heldWorkers = 0; ///< workers reserved for a blocked job
};

namespace detail {

constexpr JobSlot NoJob = ~0U;

/** A task of a service on a worker, with its predicted latency. */
struct ServiceView
{
    TaskRef ref;
    ClassIndex classIndex = 0;
    float logRatio = 0; ///< predicted log latency ratio with the present neighbours
    float penalty = 0;  ///< latePenalty() at logRatio
};

/** A start on a worker. Kept after the attempt has ended, as late reports still name it. */
struct RecentStart
{
    TaskId task;
    std::uint32_t minAttempt = 0;
    TimePoint started{};
};

struct WorkerView
{
    static constexpr std::size_t MaxRecentStarts = 32;

    std::vector<RecentStart> recentStarts; ///< ring buffer once it is full
    std::size_t nextRecentStart = 0;

    std::vector<TaskRef> tasks;
    std::vector<ServiceView> services;
    ResidencyHistory residency;
    WorkerClockOffset clockOffset;
    WorkerTime measuredAt{};     ///< of the newest report, by the worker's clock
    Resources evictableReserved; ///< reserved by evictable batch tasks
    double startTokens = 0;      ///< starts that the rate limit allows at startTokensAt
    TimePoint startTokensAt{};
    TimePoint lastActionAt{};   ///< last throttle change or eviction on this worker
    JobSlot holdingJob = NoJob; ///< the only job that may start here; NoJob: any
    std::uint32_t active = 0;
    std::uint32_t spreadStamp = 0; ///< spreadCount is valid if this equals the engine's m_spreadStamp
    std::uint32_t spreadCount = 0; ///< tasks of the job being placed that are on this worker
    bool isInLateList = false;     ///< listed in the engine's m_lateWorkers
};

/** Penalty of a service's latency: the probability that it is late, plus a term that grows above the target. */
inline float latePenalty(float logRatio, float spread, float overshoot)
{
    const float chance = 1 / (1 + std::exp(-logRatio / spread));
    return chance + overshoot * std::max(0.0F, logRatio);
}

/** Counts the actions of the last minute, to enforce a limit per minute. */
class LastMinuteCounter
{
public:
    void record(TimePoint now);
    int count(TimePoint now);

private:
    std::deque<TimePoint> m_times;
};

/** splitmix64 generator: small, fast, and with the same output on every platform. */
class Random
{
public:
    explicit Random(std::uint64_t seed);
    std::uint64_t next();
    double unit(); ///< in [0, 1)

private:
    std::uint64_t m_state;
};

} // namespace detail

class PlacementEngine final : public DecisionEngine
{
public:
    explicit PlacementEngine(const PlacementSettings &settings);

    // --- inputs ------------------------------------------------------------------------------------------------------
    void setSettings(const PlacementSettings &settings); ///< takes effect with the next decide(); the seed is kept
    void setTenants(std::span<const TenantShardQuota> quotas); ///< replaces all; checks unrunnable jobs again
    void pinSlowdown(std::string_view service, std::string_view neighbour, double logSlowdown);

    void setWorker(const Vm &vm) override;
    void addJob(const JobSpec &spec, TimePoint now) override; ///< ignores a job that is already known
    void removeTask(const TaskId &task) override;
    void restoreAttempt(const TaskId &task, const WorkerId &worker, TimePoint started) override;
    void abandonStart(const TaskId &task) override;
    void endAttempt(const TaskId &task, AttemptState state, double progress, TimePoint now) override;
    void observe(const WorkerReport &report, TimePoint now) override;

    // --- outputs -----------------------------------------------------------------------------------------------------
    Decisions decide(TimePoint now) override;
    std::string explain(const TaskId &task) const override;
    PlacementCounters counters() const;
    const Ledger &ledger() const;
    const InterferenceModel &model() const;
    WorkerHealth workerHealth(std::string_view worker) const;

private:
    struct DelayedTask
    {
        TimePoint when;
        TaskRef ref;
        JobId job; ///< detects that the job's slot was reused
        bool operator>(const DelayedTask &other) const;
    };
    enum class StartOutcome {
        Started,
        Blocked,      ///< searched for a worker, or refused by headroom or gang rules
        KnownRefusal, ///< blocked without a search, as a similar request was just refused
        OverQuota,
        NothingReady, ///< no task of the job is pending
        RateLimited   ///< the shard's start rate limit is reached
    };
    struct WorkerChoice
    {
        WorkerIndex worker = NoWorker;
        double cost = 0;
        WaitReason refusal = WaitReason::Capacity; ///< why no worker was chosen
    };
    /** A request refused earlier in this round; an equal or larger one is refused without a search. */
    struct RefusedRequest
    {
        Resources need;
        int band;
        WaitReason reason;
        ClassIndex classIndex;
    };
    struct EvictionCandidate
    {
        TaskRef ref;
        double loss;
    };

    // state and reports
    void rememberStart(detail::WorkerView &view, const detail::RecentStart &start);
    void updateClockBounds(detail::WorkerView &view, const WorkerReport &report);
    void assignToWorker(TaskRef ref, WorkerIndex worker, const Resources &reserved, TimePoint started);
    void releaseFromWorker(TaskRef ref, TimePoint now);
    void makePending(TaskRef ref, TimePoint now);
    void makeDelayed(TaskRef ref, TimePoint until);
    void finishTask(TaskRef ref, PlacementStage stage);
    void enqueue(JobSlot slot);
    void dequeue(JobSlot slot);
    void requeueDueTasks(TimePoint now);
    void recordFailure(TaskRef ref, WorkerIndex worker, TimePoint now);
    void stopFaultyJob(JobSlot slot);
    Duration backoffDelay(int failures);
    void setShare(TaskRef ref, float share, TimePoint now);
    void applyThrottle(TaskRef ref, int permille, TimePoint now);
    void
    processAttempt(const AttemptReport &entry, WorkerIndex worker, TimePoint measured, bool isFresh, TimePoint now);
    void setOveruse(Task &task, const Resources &overuse);
    void updateBatchTask(Task &task, const AttemptReport &entry, TimePoint measured);
    void updateServiceTask(TaskRef ref, const AttemptReport &entry, TimePoint measured, TimePoint now);
    void updateLearnedSize(TaskRef ref, const AttemptReport &entry, TimePoint measured, TimePoint now);
    void updateLatencyStreaks(Task &task, detail::WorkerView &view, double logRatio, TimePoint measured);
    float expectedShare(const Job &job, WorkerIndex worker) const;
    float logSlowdown(ClassIndex service, const Shares &shares, ClassIndex self, float selfShare) const;
    void refreshServicePredictions(WorkerIndex worker);
    bool isEvictable(const Job &job) const;

    // order, admission, choice of worker
    void dispatch(int band, TimePoint now, Decisions &out);
    bool nextJob(TenantSlot tenant, int band, QueueKey &after, JobSlot &out) const;
    StartOutcome tryStart(JobSlot slot, TimePoint now, Decisions &out);
    StartOutcome tryStartTask(JobSlot slot, TimePoint now, Decisions &out);
    StartOutcome tryStartGang(JobSlot slot, TimePoint now, Decisions &out);
    StartOutcome markBlocked(JobSlot slot, WaitReason reason);
    StartOutcome blockForCapacity(JobSlot slot, const Resources &need, TimePoint now, Decisions &out);
    bool dropStaleReady(Job &job);
    void startTask(TaskRef ref, const WorkerChoice &choice, const Resources &need, TimePoint now, Decisions &out);
    void prepareSpreadCounts(const Job &job);
    WorkerChoice chooseWorker(JobSlot slot, const Resources &need, TimePoint now);
    WorkerChoice chooseHeldWorker(JobSlot slot, const Resources &need, TimePoint now);
    WaitReason checkEligibility(WorkerIndex worker, JobSlot slot, TimePoint now);
    double placementCost(JobSlot slot, WorkerIndex worker, const Resources &need) const;
    double batchCost(const Job &job, WorkerIndex worker, const Resources &need) const;
    double serviceCost(const Job &job, WorkerIndex worker, const Resources &need) const;
    double interferenceCost(WorkerIndex worker, ClassIndex neighbour, float share, double &risk) const;
    double batchWorth(const Job &job) const;
    float penaltyAt(float logRatio) const;
    double interferenceCostOfChange(WorkerIndex worker, ClassIndex neighbour, float change) const;
    bool isCostAcceptable(JobSlot slot, WorkerIndex worker, double cost, TimePoint now) const;
    bool isKnownRefusal(const Job &job, const Resources &need, WaitReason &reason) const;
    void rememberRefusal(const Job &job, const Resources &need, WaitReason reason);
    bool hasCapacityForGang(JobSlot slot, const Resources &need, std::uint32_t tasks, TimePoint now);
    void holdWorkersForGang(JobSlot slot, const Resources &need, std::uint32_t tasks);
    std::uint32_t tasksFittingAfterDrain(WorkerIndex worker, const Resources &need) const;
    void countTasksPerWorker(const Job &job);
    Resources requestedResources(const Job &job) const;
    bool fitsHeadroom(const Job &job, const Resources &need) const;
    std::int64_t headroomLimit() const;
    bool canHaveAtOnce(const Job &job, const Resources &need) const;
    std::int64_t countIdleStarts(const Resources &need, std::int64_t enough) const;
    StartOutcome markOverQuota(JobSlot slot);
    void refillTokens(WorkerIndex worker, TimePoint now);
    void refillShardTokens(TimePoint now);
    void holdWorker(JobSlot slot, WorkerIndex worker);
    void updateHeldCpu(Job &job);
    void releaseHolds(JobSlot slot);
    void holdWorkerForBlocked(JobSlot slot, const Resources &need);
    WorkerIndex findWorkerToHold(const Resources &need) const;
    void dropUnusableHolds();
    void reportUnrunnable(TimePoint now, Decisions &out);
    std::string unrunnableReason(const Job &job) const;
    void recheckUnrunnable();

    // guards
    void runGuards(TimePoint now, Decisions &out);
    void liftThrottles(WorkerIndex worker, TimePoint now, Decisions &out);
    void protectServices(WorkerIndex worker, TimePoint now, Decisions &out);
    bool throttleNeighbours(WorkerIndex worker, TimePoint now, Decisions &out);
    void evictNeighbour(WorkerIndex worker, TimePoint now, Decisions &out);
    void decideThrottle(TaskRef ref, int permille, TimePoint now, std::string reason, Decisions &out);
    double slowdownContribution(WorkerIndex worker, TaskRef ref) const;
    bool isStillPredictedLate(WorkerIndex worker) const;
    double evictionLoss(TaskRef ref, TimePoint now) const;
    bool canEvict(bool urgent, TimePoint now);
    void evict(TaskRef ref, TaskId inFavourOf, std::string reason, TimePoint now, Decisions &out);
    bool preemptForUrgent(JobSlot slot, const Resources &need, TimePoint now, Decisions &out);
    std::vector<EvictionCandidate> cheapestEvictions(WorkerIndex worker, const Resources &need, TimePoint now) const;

    std::string describeWait(const Job &job, const Task &task) const;

    PlacementSettings m_settings;
    Ledger m_ledger;
    InterferenceModel m_model;
    HealthTracker m_health;
    JobTable m_jobs;
    TenantQuotaTable m_tenants;
    std::vector<detail::WorkerView> m_views; ///< indexed by WorkerIndex
    std::priority_queue<DelayedTask, std::vector<DelayedTask>, std::greater<>> m_delayed;
    std::vector<JobSlot> m_holdingJobs;            ///< jobs that hold at least one worker
    std::vector<JobId> m_unreportedFaultyJobs;     ///< found faulty and not yet reported in Decisions::unrunnable
    std::vector<JobSlot> m_uncheckedJobs;          ///< jobs not yet checked for whether they can run at all
    std::vector<JobSlot> m_unrunnableJobs;         ///< jobs found unrunnable
    std::vector<RefusedRequest> m_refusedRequests; ///< in the current round of decide()
    std::vector<std::uint32_t> m_tasksPerRack;     ///< tasks of the job being placed, by rack index
    std::vector<WorkerIndex> m_lateWorkers;        ///< workers with a late service
    std::vector<WorkerIndex> m_throttledWorkers;   ///< may contain duplicates between rounds
    detail::LastMinuteCounter m_recentEvictions;
    detail::LastMinuteCounter m_recentThrottles;
    detail::Random m_random;
    TimePoint m_now{};
    TimePoint m_lastWorkerAddedAt{};
    double m_shardTokens = 0;
    TimePoint m_shardTokensAt{};
    std::uint32_t m_spreadStamp = 0;
    std::uint64_t m_jobsAdded = 0; ///< source of Job::arrivalNumber
    std::uint32_t m_heldWorkers = 0;
    std::int64_t m_heldCpuMillis = 0; ///< sum of Job::heldCpuMillis
    bool m_hasNewWorker = false;      ///< since the last decide()
    PlacementCounters m_counters;
};

} // namespace QuetzalRock
