/**
 * Simulation of a cluster for the placement benchmark. Tasks on one worker slow each other down; the policies see this
 * only through worker reports, which arrive late.
 *
 * Index of this file
 *   Scenario             size, load, faults
 *   Interference         the slowdown that each class of work causes for each other class
 *   Result               latency, throughput, evictions and waiting time of one run
 *   ClusterSimulation    runs one policy through one scenario
 *   BaselineEngine       policies to compare with: first fit, random, two choices
 *
 * The simulated interference deliberately differs from the model that PlacementEngine fits: slowdowns add up rather
 * than multiply, they grow with the request load of the service, and an overcommitted worker slows all of its tasks.
 */
#pragma once

#include <placement/placementengine.h>

#include <deque>
#include <map>
#include <memory>

namespace QuetzalRock::Bench {

struct Scenario
{
    int workers = 50;
    Resources capacity{32000, 125000, 0};
    double reportLag = 5;          ///< seconds from a measurement to its arrival at the engine
    double durationMinutes = 40;   ///< simulated time
    double batchLoad = 0.55;       ///< submitted batch work, as a fraction of all processors
    double serviceLoad = 0.25;     ///< processors reserved by services, as a fraction of all
    double sizeErrorFactor = 1.25; ///< true over declared size lies between 1 / this and this
    double failingWorkerShare = 0; ///< probability that a worker fails every task started on it
    bool hasBatchBursts = true;    ///< adds regular bursts of jobs of one random batch class
    std::uint64_t seed = 1;
};

constexpr int ServiceClasses = 4;
constexpr int BatchClasses = 6;

/** Slowdown per unit of the neighbour's share of the worker (1: the neighbour uses all of it). */
struct Interference
{
    double batchOnService[ServiceClasses][BatchClasses];   ///< slowdown of a service by a batch task
    double serviceOnService[ServiceClasses][BatchClasses]; ///< slowdown of a service by another service; columns
                                                           ///< from ServiceClasses on are unused
    double batchOnBatch[BatchClasses][BatchClasses];       ///< slowdown of a batch task by another batch task
};

struct Result
{
    double lateShare = 0;  ///< fraction of service seconds with latency above the target
    double tailRatio = 0;  ///< 99th percentile of latency divided by its target
    double throughput = 0; ///< mean number of processors that did batch work
    int starts = 0;
    int evictions = 0;
    double lostWork = 0; ///< processor seconds of batch work repeated after evictions
    int finished = 0;    ///< completed batch tasks
    double meanWait = 0; ///< mean seconds from the submission of a batch task to its first start
};

/** Runs one policy through one scenario. The policy gets only what is passed to the functions of DecisionEngine. */
class ClusterSimulation
{
public:
    ClusterSimulation(const Scenario &scenario, DecisionEngine &engine);

    static Interference makeInterference(std::uint64_t seed);
    static std::string serviceName(int index);
    static std::string batchName(int index);

    Result run();

private:
    struct RunningTask
    {
        TaskId task;
        std::uint32_t attempt = 0;
        int classIndex = 0;
        bool isService = false;
        bool isStopping = false;
        double workerShare = 0; ///< true processor use, as a fraction of the worker
        double workSeconds = 0; ///< seconds that the task takes when nothing slows it
        double doneSeconds = 0; ///< seconds of work completed
        double cpus = 0;        ///< processors used
        double startsAt = 0;    ///< simulated seconds
        double stopsAt = 0;     ///< simulated seconds; valid while stopping
        int cpuPermille = 1000; ///< fraction of its processors that the task may use; below 1000: throttled
    };
    struct Worker
    {
        Vm vm;
        bool failsEveryStart = false;
        std::vector<RunningTask> tasks;
        std::deque<std::pair<double, WorkerReport>> reports; ///< with the simulated second of arrival
    };
    struct SimulatedJob
    {
        JobSpec spec;
        int classIndex = 0;
        double sizeFactor = 1;  ///< true over declared size
        double seconds = 0;     ///< run time of each task when nothing slows it
        double submittedAt = 0; ///< simulated second of submission
    };

    void addServices();
    void addBatch(int classIndex);
    void submitArrivingJobs();
    void applyDecisions(const Decisions &decisions);
    void advanceTasks(Worker &worker); ///< by one step; reports ended attempts to the engine
    /** Latency of @p service divided by its target. */
    double latencyRatio(const Worker &worker, const RunningTask &service) const;
    /** Speed of @p task relative to running undisturbed. */
    double batchRate(const Worker &worker, const RunningTask &task) const;
    /** Processors in use over processors present, at least 1. */
    double overcommitFactor(const Worker &worker) const;
    /** Request load of a service as a fraction of its capacity, 0.3 to 0.7. */
    double requestLoadOf(int serviceClass) const;
    /** Measures the tasks of @p worker. The engine gets the report after Scenario::reportLag. */
    void queueReport(Worker &worker);
    TimePoint currentTime() const;

    Scenario m_scenario;
    DecisionEngine &m_engine;
    Interference m_interference;
    detail::Random m_random;   ///< choice of failing workers, and measurement noise
    detail::Random m_arrivals; ///< a separate generator, so that every policy gets the same jobs
    std::vector<Worker> m_workers;
    std::map<WorkerId, std::size_t> m_workerIndexes;
    std::map<JobId, SimulatedJob> m_jobs;
    std::map<TaskId, std::pair<std::uint32_t, double>> m_taskProgress; ///< number of attempts, done seconds
    std::vector<float> m_latencyRatios; ///< latency over target, one for each running service task and step
    Result m_result;
    double m_now = 0;                 ///< simulated seconds
    double m_pendingBatchSeconds = 0; ///< processor seconds due for submission; addBatch() subtracts what it submits
    double m_serviceSeconds = 0;      ///< run time of all service tasks together
    double m_lateSeconds = 0;         ///< the part of m_serviceSeconds with latency above the target
    double m_batchCpuSeconds = 0;     ///< processor seconds of batch work completed and not lost
    double m_totalWaitSeconds = 0;    ///< waiting time of all batch tasks until their first start
    int m_firstStarts = 0;            ///< number of batch tasks started at least once
    JobId m_lastJob = 0;
};

enum class BaselineKind {
    FirstFit,
    Random,
    TwoChoices
};

/**
 * Starts tasks in order of arrival on the first, on a random, or on the less reserved of two random workers with enough
 * free resources. Never throttles or evicts.
 */
class BaselineEngine final : public DecisionEngine
{
public:
    BaselineEngine(BaselineKind kind, std::uint64_t seed);

    void setWorker(const Vm &vm) override;
    void addJob(const JobSpec &spec, TimePoint now) override;
    void removeTask(const TaskId &task) override;
    void restoreAttempt(const TaskId &task, const WorkerId &worker, TimePoint started) override;
    void abandonStart(const TaskId &task) override;
    void endAttempt(const TaskId &task, AttemptState state, double progress, TimePoint now) override;
    void observe(const WorkerReport &report, TimePoint now) override;
    Decisions decide(TimePoint now) override;
    std::string explain(const TaskId &task) const override;

private:
    WorkerIndex choose(const JobSpec &spec);

    BaselineKind m_kind;
    detail::Random m_random;
    Ledger m_ledger;
    std::map<JobId, JobSpec> m_specs;
    std::map<std::pair<JobId, WorkerIndex>, std::uint32_t> m_instances;
    std::deque<TaskId> m_queue;
    std::map<TaskId, WorkerIndex> m_workerOfTask;
};

} // namespace QuetzalRock::Bench
