/**
 * A small fake of workers for the placement benchmark: true slowdowns that the policies do not see, late reports.
 *
 * Index of this file
 *   Scenario       size, load, faults
 *   Truth          what really slows what
 *   Result         what the users measure
 *   Fleet          runs one policy through one scenario
 *   PlainEngine    the baselines: first fit, random, two choices
 *
 * The truth is not of the form that the engine learns: slowdowns add up rather than multiply, grow with the load of the
 * service, and an overcommitted worker slows everything.
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
    double reportLag = 5; ///< seconds
    double minutes = 40;
    double batchLoad = 0.55;   ///< of all processors
    double serviceLoad = 0.25; ///< of all processors, reserved
    double sizeError = 1.25;   ///< true over declared size, up to this or its inverse
    double blackHoles = 0;     ///< part of the workers that fail every start
    bool waves = true;         ///< of the noisiest class
    std::uint64_t seed = 1;
};

constexpr int ServiceClasses = 4;
constexpr int BatchClasses = 6;

struct Truth
{
    double slowdown[ServiceClasses][BatchClasses]; ///< of a service by a neighbour that fills the worker
    double crowd[ServiceClasses][BatchClasses];    ///< the same by another service; the first ServiceClasses count
    double drag[BatchClasses][BatchClasses];       ///< of a batch task by another
};

struct Result
{
    double lateShare = 0;  ///< of service seconds past the target
    double tailRatio = 0;  ///< 99th percentile of latency over target
    double throughput = 0; ///< batch work done, in processors
    int starts = 0;
    int evictions = 0;
    double lostWork = 0; ///< processor seconds
    int finished = 0;
    double wait = 0; ///< mean seconds from submission to the first start
};

/** Runs one policy through one scenario: it sees what DecisionEngine takes, and nothing else. */
class Fleet
{
public:
    Fleet(const Scenario &scenario, DecisionEngine &engine);

    static Truth makeTruth(std::uint64_t seed);
    static std::string serviceName(int index);
    static std::string batchName(int index);

    Result run();

private:
    struct Running
    {
        TaskId task;
        std::uint32_t attempt = 0;
        int classIndex = 0;
        bool service = false;
        bool stopping = false;
        double share = 0; ///< true use, of the worker
        double work = 0;  ///< processor seconds in all
        double done = 0;
        double size = 0; ///< processors used
        double begins = 0;
        double stopsAt = 0;
        int permille = 1000;
    };
    struct Worker
    {
        Vm vm;
        bool blackHole = false;
        std::vector<Running> tasks;
        std::deque<std::pair<double, WorkerReport>> reports; ///< time of arrival
    };
    struct JobTruth
    {
        JobSpec spec;
        int classIndex = 0;
        double factor = 1;
        double seconds = 0; ///< of each task, alone
        double added = 0;
    };

    void addServices();
    void addBatch(int classIndex);
    void arrive();
    void act(const Decisions &decisions);
    void advance(Worker &worker);
    double latencyRatio(const Worker &worker, const Running &service) const;
    double batchRate(const Worker &worker, const Running &task) const;
    double crowding(const Worker &worker) const;
    double loadOf(int serviceClass) const;
    void measure(Worker &worker);
    TimePoint stamp() const;

    Scenario m_scenario;
    DecisionEngine &m_engine;
    Truth m_truth;
    detail::Random m_random;   ///< noise of measurements
    detail::Random m_arrivals; ///< the same jobs for every policy
    std::vector<Worker> m_workers;
    std::map<WorkerId, std::size_t> m_byName;
    std::map<JobId, JobTruth> m_jobs;
    std::map<TaskId, std::pair<std::uint32_t, double>> m_state; ///< attempts so far, work done
    std::vector<float> m_ratios;
    Result m_result;
    double m_now = 0;
    double m_debt = 0; ///< processor seconds of batch work that have yet to arrive
    double m_serviceSeconds = 0;
    double m_lateSeconds = 0;
    double m_done = 0;
    double m_waited = 0;
    int m_firstStarts = 0;
    JobId m_lastJob = 0;
};

enum class PlainKind {
    FirstFit,
    Random,
    TwoChoices
};

/** First come, first served onto the first, a random, or the emptier of two random workers that fit. No guards. */
class PlainEngine final : public DecisionEngine
{
public:
    PlainEngine(PlainKind kind, std::uint64_t seed);

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

    PlainKind m_kind;
    detail::Random m_random;
    Ledger m_ledger;
    std::map<JobId, JobSpec> m_specs;
    std::map<std::pair<JobId, WorkerIndex>, std::uint32_t> m_instances;
    std::deque<TaskId> m_queue;
    std::map<TaskId, WorkerIndex> m_where;
};

} // namespace QuetzalRock::Bench
