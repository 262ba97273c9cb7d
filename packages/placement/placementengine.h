/**
 * The decisions of one shard: what starts where, what is slowed down, what is stopped.
 *
 * Index of this file
 *   PlacementCounters   for metrics
 *   PlacementEngine     implements DecisionEngine; no I/O, no thread, no clock of its own
 *   detail              what the engine keeps for each worker; not for users
 *
 * Use (see engine.h for the order of calls)
 *   PlacementEngine engine(settings);
 *   engine.setTenants(quotas);                // again whenever they change
 *   engine.pinSlowdown("lookup", "build", 0.7);   // only where operators know a pair better than reports do
 *
 * The files: enginevents.cpp (state and reports), enginestarts.cpp (order, admission, choice of worker),
 * engineguards.cpp (throttle, evict, preempt), engineexplain.cpp (words for people).
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

/** Since the engine was made, but for the last four, which are as of now. */
struct PlacementCounters
{
    std::uint64_t starts = 0;
    std::uint64_t guardEvictions = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t throttles = 0;
    std::uint64_t throttlesLifted = 0;
    std::uint64_t evictionsRefused = 0; ///< for lack of budget
    std::uint64_t quarantines = 0;
    std::uint64_t jobsAtFault = 0;
    std::uint64_t unrunnable = 0;
    std::uint64_t samples = 0;        ///< measurements that the model took in
    std::uint64_t samplesDropped = 0; ///< measurements older than the history
    std::uint64_t candidates = 0;     ///< workers compared for starts
    std::uint32_t pendingTasks = 0;
    std::uint32_t activeTasks = 0;
    std::uint32_t quarantined = 0;
    std::uint32_t heldWorkers = 0;
};

namespace detail {

constexpr JobSlot NoJob = ~0U;

/** A service's instance as the choice of a worker sees it. */
struct ServiceView
{
    TaskRef ref;
    ClassIndex classIndex = 0;
    float logRatio = 0; ///< log of latency over target as predicted for now
    float late = 0;     ///< penalty at logRatio
};

/** A start on a worker, remembered after its end: late reports still name it. */
struct RecentStart
{
    TaskId task;
    std::uint32_t minAttempt = 0;
    TimePoint started{};
};

struct WorkerView
{
    static constexpr std::size_t MaxRecent = 32;

    std::vector<RecentStart> recent; ///< a ring once it is full
    std::size_t nextRecent = 0;

    std::vector<TaskRef> tasks;
    std::vector<ServiceView> services;
    ResidencyHistory history;
    WorkerClockOffset clock;
    WorkerTime measuredAt{}; ///< of the newest report
    Resources evictable;     ///< reserved by batch tasks that may be evicted
    double tokens = 0;       ///< starts that pacing allows now
    TimePoint tokensAt{};
    TimePoint actedAt{}; ///< last throttle or eviction here
    JobSlot heldBy = NoJob;
    std::uint32_t active = 0;
    std::uint32_t mark = 0;      ///< equals the engine's stamp where the current job is here ...
    std::uint32_t markCount = 0; ///< ... with so many tasks
    bool hot = false;
};

/** What a service's latency costs: the chance that it is late, and beyond its target how late. */
inline float latePenalty(float logRatio, float spread, float overshoot)
{
    const float chance = 1 / (1 + std::exp(-logRatio / spread));
    return chance + overshoot * std::max(0.0F, logRatio);
}

/** The times of the last minute's actions, against a budget. */
class MinuteBudget
{
public:
    void spend(TimePoint now);
    int spent(TimePoint now);

private:
    std::deque<TimePoint> m_times;
};

/** splitmix64: small, fast, and the same everywhere. */
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
    void setSettings(const PlacementSettings &settings); ///< takes effect with the next decide(); the seed stays
    void setTenants(
        std::span<const TenantAllotment> quotas); ///< replaces all; jobs that a quota had ruled out are tried again
    void pinSlowdown(std::string_view service, std::string_view neighbour, double logSlowdown);

    void setWorker(const Vm &vm) override;
    void addJob(const JobSpec &spec, TimePoint now) override; ///< a job that is known already is left as it is
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
    struct Delayed
    {
        TimePoint when;
        TaskRef ref;
        JobId job; ///< tells a reused slot
        bool operator>(const Delayed &other) const;
    };
    enum class Outcome {
        Started,
        Blocked,
        PassedOver,
        OverQuota,
        Skipped,
        ShardPaced
    };
    struct Choice
    {
        WorkerIndex worker = NoWorker;
        double cost = 0;
        WaitReason refused = WaitReason::Room; ///< why there is none
    };
    struct FailedShape
    {
        Resources need;
        int band;
        WaitReason reason;
        ClassIndex classIndex;
    };
    struct StopChoice
    {
        TaskRef ref;
        double loss;
    };

    // state and reports
    void rememberStart(detail::WorkerView &view, const detail::RecentStart &start);
    void boundClock(detail::WorkerView &view, const WorkerReport &report);
    void attach(TaskRef ref, WorkerIndex worker, const Resources &reserved, TimePoint started);
    void detach(TaskRef ref, TimePoint now);
    void makePending(TaskRef ref, TimePoint now);
    void makeDelayed(TaskRef ref, TimePoint until);
    void finishTask(TaskRef ref, PlacementStage phase);
    void enqueue(JobSlot slot);
    void dequeue(JobSlot slot);
    void wakeDelayed(TimePoint now);
    void noteFailure(TaskRef ref, WorkerIndex worker, TimePoint now);
    void stopFaultyJob(JobSlot slot);
    Duration backoff(int failures);
    void setShare(TaskRef ref, float share, TimePoint now);
    void setPermille(TaskRef ref, int permille, TimePoint now);
    void takeIn(const AttemptReport &entry, WorkerIndex worker, TimePoint measured, bool fresh, TimePoint now);
    void setOveruse(Task &task, const Resources &overuse);
    void takeInBatch(Task &task, const AttemptReport &entry, TimePoint measured);
    void takeInService(TaskRef ref, const AttemptReport &entry, TimePoint measured, TimePoint now);
    void learnSize(TaskRef ref, const AttemptReport &entry, TimePoint measured, TimePoint now);
    void countHeat(Task &task, detail::WorkerView &view, double logRatio, TimePoint measured);
    float shareOf(const Job &job, WorkerIndex worker) const;
    float logSlowdown(ClassIndex service, const Shares &shares, ClassIndex self, float selfShare) const;
    void refreshServices(WorkerIndex worker);
    bool isEvictable(const Job &job) const;

    // order, admission, choice of worker
    void dispatch(int band, TimePoint now, Decisions &out);
    bool nextJob(TenantSlot tenant, int band, QueueKey &after, JobSlot &out) const;
    Outcome tryStart(JobSlot slot, TimePoint now, Decisions &out);
    Outcome tryStartOne(JobSlot slot, TimePoint now, Decisions &out);
    Outcome tryStartGang(JobSlot slot, TimePoint now, Decisions &out);
    Outcome block(JobSlot slot, WaitReason reason);
    Outcome blockForRoom(JobSlot slot, const Resources &need, TimePoint now, Decisions &out);
    bool popStale(Job &job);
    void start(TaskRef ref, const Choice &choice, const Resources &need, TimePoint now, Decisions &out);
    void prepareChoice(const Job &job);
    Choice chooseWorker(JobSlot slot, const Resources &need, TimePoint now);
    Choice chooseHeld(JobSlot slot, const Resources &need, TimePoint now);
    WaitReason mayUse(WorkerIndex worker, JobSlot slot, TimePoint now);
    double costOf(JobSlot slot, WorkerIndex worker, const Resources &need) const;
    double batchCost(const Job &job, WorkerIndex worker, const Resources &need) const;
    double serviceCost(const Job &job, WorkerIndex worker, const Resources &need) const;
    double harmTo(WorkerIndex worker, ClassIndex neighbour, float share, double &risk) const;
    double worthOf(const Job &job) const;
    float penalty(float logRatio) const;
    double harmOfChange(WorkerIndex worker, ClassIndex neighbour, float change) const;
    bool accepts(JobSlot slot, WorkerIndex worker, double cost, TimePoint now) const;
    bool isKnownToFail(const Job &job, const Resources &need, WaitReason &reason) const;
    void rememberFailure(const Job &job, const Resources &need, WaitReason reason);
    bool hasRoomForGang(JobSlot slot, const Resources &need, std::uint32_t tasks, TimePoint now);
    void holdForGang(JobSlot slot, const Resources &need, std::uint32_t tasks);
    std::uint32_t drainedTasks(WorkerIndex worker, const Resources &need) const;
    void markWorkersOf(const Job &job);
    Resources needOf(const Job &job) const;
    bool headroomAllows(const Job &job, const Resources &need) const;
    Outcome overQuota(JobSlot slot);
    void refillTokens(WorkerIndex worker, TimePoint now);
    void refillShardTokens(TimePoint now);
    void hold(JobSlot slot, WorkerIndex worker);
    void setClaim(Job &job);
    void dropHolds(JobSlot slot);
    void holdForBlocked(JobSlot slot, const Resources &need);
    WorkerIndex soonestFor(const Resources &need) const;
    void pruneHolds();
    void nameUnrunnable(TimePoint now, Decisions &out);
    std::string whyUnrunnable(const Job &job) const;
    void unparkAll();

    // guards
    void runGuards(TimePoint now, Decisions &out);
    void cool(WorkerIndex worker, TimePoint now, Decisions &out);
    void relieve(WorkerIndex worker, TimePoint now, Decisions &out);
    bool throttleSome(WorkerIndex worker, TimePoint now, Decisions &out);
    void evictOne(WorkerIndex worker, TimePoint now, Decisions &out);
    void setThrottle(TaskRef ref, int permille, TimePoint now, std::string reason, Decisions &out);
    double contribution(WorkerIndex worker, TaskRef ref) const;
    bool isStillHot(WorkerIndex worker) const;
    double lossOf(TaskRef ref, TimePoint now) const;
    bool mayEvict(bool urgent, TimePoint now);
    void evict(TaskRef ref, TaskId inFavourOf, std::string reason, TimePoint now, Decisions &out);
    bool preemptFor(JobSlot slot, const Resources &need, TimePoint now, Decisions &out);
    std::vector<StopChoice> cheapestStops(WorkerIndex worker, const Resources &need, TimePoint now) const;

    std::string describeWait(const Job &job, const Task &task) const;

    PlacementSettings m_settings;
    Ledger m_ledger;
    InterferenceModel m_model;
    HealthTracker m_health;
    JobTable m_jobs;
    TenantLedger m_tenants;
    std::vector<detail::WorkerView> m_views; ///< by WorkerIndex
    std::priority_queue<Delayed, std::vector<Delayed>, std::greater<>> m_delayed;
    std::vector<JobSlot> m_holders;          ///< jobs that hold workers
    std::vector<JobId> m_faulty;             ///< at fault themselves, not yet named
    std::vector<JobSlot> m_unchecked;        ///< jobs not yet known to fit an empty worker
    std::vector<JobSlot> m_parked;           ///< named unrunnable
    std::vector<FailedShape> m_failedShapes; ///< of this round
    std::vector<std::uint32_t> m_rackCounts; ///< of the current job's tasks
    std::vector<WorkerIndex> m_hotWorkers;   ///< with a service in need
    std::vector<WorkerIndex> m_throttledWorkers;
    detail::MinuteBudget m_evictions;
    detail::MinuteBudget m_throttles;
    detail::Random m_random;
    TimePoint m_now{};
    TimePoint m_fleetGrewAt{};
    double m_shardTokens = 0;
    TimePoint m_shardTokensAt{};
    std::uint32_t m_stamp = 0;
    std::uint64_t m_arrivals = 0;
    std::uint32_t m_heldWorkers = 0;
    std::int64_t m_claims = 0; ///< sum of Job::claim
    bool m_fleetGrew = false;
    PlacementCounters m_counters;
};

} // namespace QuetzalRock
