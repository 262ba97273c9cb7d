/**
 * Compares the placement engine with simple baselines and with an oracle that knows the true interference, in simulated
 * time. "ablation" switches off one part of the engine at a time. With QR_BENCH_COUNTERS set in the environment, the
 * engine's counters are printed after each run.
 *
 *   benchplacement quality [coop|crew|large] [lag seconds] [seeds]
 *   benchplacement ablation [coop|crew] [lag seconds] [seeds]
 */
#include "placement.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>

namespace QuetzalRock::Bench {

namespace {

constexpr double StepSeconds = 0.5;             ///< simulated time between two decisions
constexpr double ReportIntervalSeconds = 2;     ///< between two reports of a worker
constexpr double StartDelaySeconds = 0.5;       ///< from the decision until the task runs
constexpr double StopDelaySeconds = 1;          ///< from the decision until the evicted task has stopped
constexpr double WorkLostByEvictionSeconds = 5; ///< work that an evicted task has to repeat
constexpr double LatencyNoiseSigma = 0.15;      ///< standard deviation of the log of a reported latency
constexpr double LatencyTargetMs = 100;
constexpr double UnloadedLatencyMs = 25;     ///< without neighbours and requests
constexpr double BurstIntervalSeconds = 240; ///< from one burst of batch jobs to the next
constexpr double BurstLoad = 0.15;           ///< a burst submits 60 s of work for this fraction of all processors
constexpr std::uint32_t NoInstanceLimit = ~0U;

/** Random value between 1 / @p factor and @p factor, its logarithm uniformly distributed. */
double logUniform(detail::Random &random, double factor)
{
    return std::pow(factor, 2 * random.unit() - 1);
}

/** Approximately standard normal: the sum of 12 uniform values, less its mean of 6. */
double standardNormal(detail::Random &random)
{
    double sum = -6;
    for (int it = 0; it < 12; ++it) {
        sum += random.unit();
    }
    return sum;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// ClusterSimulation
// ---------------------------------------------------------------------------------------------------------------------

ClusterSimulation::ClusterSimulation(const Scenario &scenario, DecisionEngine &engine)
    : m_scenario(scenario)
    , m_engine(engine)
    , m_interference(makeInterference(scenario.seed))
    , m_random(scenario.seed * 77 + 5)
    , m_arrivals(scenario.seed * 991 + 3)
{
    m_workers.resize(scenario.workers);
    for (int it = 0; it < scenario.workers; ++it) {
        Worker &worker = m_workers[it];
        worker.vm.name = "w" + std::to_string(it);
        worker.vm.rack = "r" + std::to_string(it / 8);
        worker.vm.capacity = scenario.capacity;
        worker.failsEveryStart = m_random.unit() < scenario.failingWorkerShare;
        m_workerIndexes[worker.vm.name] = it;
        m_engine.setWorker(worker.vm);
    }
}

Interference ClusterSimulation::makeInterference(std::uint64_t seed)
{
    detail::Random random(seed);
    Interference interference{};
    for (auto &row : interference.batchOnService) {
        for (double &it : row) {
            it = 0.1 + 4 * std::pow(random.unit(), 3); // the cube makes most pairs harmless and a few severe
        }
    }
    for (auto &row : interference.serviceOnService) {
        for (double &it : row) {
            it = 1.5 * random.unit();
        }
    }
    for (auto &row : interference.batchOnBatch) {
        for (double &it : row) {
            it = 0.5 * std::pow(random.unit(), 2);
        }
    }
    return interference;
}

std::string ClusterSimulation::serviceName(int index)
{
    return "service" + std::to_string(index);
}

std::string ClusterSimulation::batchName(int index)
{
    return "batch" + std::to_string(index);
}

TimePoint ClusterSimulation::currentTime() const
{
    return TimePoint(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(m_now * 1e6));
}

void ClusterSimulation::addServices()
{
    constexpr double LoadShares[ServiceClasses] = {0.4, 0.3, 0.2, 0.1};
    constexpr std::int64_t CoresPerInstance[ServiceClasses] = {2, 3, 4, 4};
    const double cores = m_scenario.workers * static_cast<double>(m_scenario.capacity.cpuMillis) / 1000;
    for (int it = 0; it < ServiceClasses; ++it) {
        const double instances
            = cores * m_scenario.serviceLoad * LoadShares[it] / static_cast<double>(CoresPerInstance[it]);
        SimulatedJob job;
        job.spec.id = ++m_lastJob;
        job.spec.name = serviceName(it);
        job.spec.className = job.spec.name;
        job.spec.tenant = "tenant" + std::to_string(it);
        job.spec.kind = WorkloadKind::Service;
        job.spec.taskCount = std::max(1U, static_cast<std::uint32_t>(instances));
        job.spec.resources = {CoresPerInstance[it] * 1000, 4000, 0};
        job.spec.latencyTargetMs = LatencyTargetMs;
        job.classIndex = it;
        m_jobs[job.spec.id] = job;
        m_engine.addJob(job.spec, currentTime());
    }
}

void ClusterSimulation::addBatch(int classIndex)
{
    SimulatedJob job;
    job.spec.id = ++m_lastJob;
    job.spec.name = batchName(classIndex);
    job.spec.className = job.spec.name;
    job.spec.tenant = "tenant" + std::to_string(m_arrivals.next() % 10);
    job.spec.taskCount = 1 + static_cast<std::uint32_t>(m_arrivals.next() % 16);
    job.spec.resources.cpuMillis = 1000 + static_cast<std::int64_t>(m_arrivals.next() % 5000);
    job.spec.resources.memoryMib = 1000 + static_cast<std::int64_t>(m_arrivals.next() % 8000);
    job.classIndex = classIndex;
    job.sizeFactor = logUniform(m_arrivals, m_scenario.sizeErrorFactor);
    job.seconds = 20 + 180 * m_arrivals.unit();
    job.submittedAt = m_now;
    m_pendingBatchSeconds
        -= job.seconds * static_cast<double>(job.spec.resources.cpuMillis) / 1000 * job.spec.taskCount;
    job.spec.runTime = Duration(static_cast<std::int64_t>(job.seconds * logUniform(m_arrivals, 5) * 1e6));
    m_jobs[job.spec.id] = job;
    m_engine.addJob(job.spec, currentTime());
}

void ClusterSimulation::submitArrivingJobs()
{
    const double cores = m_scenario.workers * static_cast<double>(m_scenario.capacity.cpuMillis) / 1000;
    m_pendingBatchSeconds += cores * m_scenario.batchLoad * StepSeconds;
    while (m_pendingBatchSeconds > 0) {
        addBatch(static_cast<int>(m_arrivals.next() % BatchClasses));
    }
    if (m_scenario.hasBatchBursts && std::fmod(m_now, BurstIntervalSeconds) < StepSeconds / 2 && m_now > 0) {
        const int burstClass = static_cast<int>(m_arrivals.next() % BatchClasses);
        const double before = m_pendingBatchSeconds;
        while (before - m_pendingBatchSeconds < cores * BurstLoad * 60) {
            addBatch(burstClass);
        }
    }
}

double ClusterSimulation::requestLoadOf(int serviceClass) const
{
    // The load changes every five minutes. The generator is seeded by scenario and time, so that every policy gets the
    // same load.
    detail::Random random(m_scenario.seed * 1000 + static_cast<std::uint64_t>(m_now / 300) * 10 + serviceClass);
    return 0.3 + 0.4 * random.unit();
}

double ClusterSimulation::overcommitFactor(const Worker &worker) const
{
    double used = 0;
    for (const RunningTask &it : worker.tasks) {
        used += it.workerShare * it.cpuPermille / 1000;
    }
    return std::max(1.0, used);
}

double ClusterSimulation::latencyRatio(const Worker &worker, const RunningTask &service) const
{
    const double load = requestLoadOf(service.classIndex);
    double slowdown = 1;
    for (const RunningTask &it : worker.tasks) {
        if (it.task == service.task || m_now < it.startsAt) {
            continue;
        }
        const auto &row = it.isService ? m_interference.serviceOnService[service.classIndex]
                                       : m_interference.batchOnService[service.classIndex];
        slowdown += row[it.classIndex] * it.workerShare * it.cpuPermille / 1000 * (0.5 + load);
    }
    const double overcommit = overcommitFactor(worker);
    return UnloadedLatencyMs / LatencyTargetMs / (1 - load) * slowdown * overcommit * overcommit;
}

double ClusterSimulation::batchRate(const Worker &worker, const RunningTask &task) const
{
    double slowdown = 1;
    for (const RunningTask &it : worker.tasks) {
        if (!it.isService && it.task != task.task) {
            slowdown += m_interference.batchOnBatch[task.classIndex][it.classIndex] * it.workerShare;
        }
    }
    return task.cpuPermille / 1000.0 / slowdown / overcommitFactor(worker);
}

void ClusterSimulation::applyDecisions(const Decisions &decisions)
{
    for (const StartDecision &it : decisions.starts) {
        const SimulatedJob &job = m_jobs.at(it.task.job);
        auto &[attempts, done] = m_taskProgress[it.task];
        Worker &worker = m_workers[m_workerIndexes.at(it.worker)];
        RunningTask task;
        task.task = it.task;
        task.attempt = ++attempts;
        task.classIndex = job.classIndex;
        task.isService = job.spec.kind == WorkloadKind::Service;
        // A service uses half of its reservation on average, as requestLoadOf() is 0.5 on average.
        task.cpus = static_cast<double>(job.spec.resources.cpuMillis) / 1000 * (task.isService ? 0.5 : job.sizeFactor);
        task.workerShare = task.cpus * 1000 / static_cast<double>(worker.vm.capacity.cpuMillis);
        task.workSeconds = job.seconds;
        task.doneSeconds = done;
        task.startsAt = m_now + StartDelaySeconds;
        worker.tasks.push_back(task);
        ++m_result.starts;
        if (attempts == 1 && !task.isService) {
            m_totalWaitSeconds += m_now - job.submittedAt;
            ++m_firstStarts;
        }
    }
    for (const StopDecision &it : decisions.stops) {
        for (Worker &worker : m_workers) {
            for (RunningTask &task : worker.tasks) {
                if (task.task == it.task && !task.isStopping) {
                    task.isStopping = true;
                    task.stopsAt = m_now + StopDelaySeconds;
                    ++m_result.evictions;
                }
            }
        }
    }
    for (const ThrottleDecision &it : decisions.throttles) {
        for (Worker &worker : m_workers) {
            for (RunningTask &task : worker.tasks) {
                task.cpuPermille = task.task == it.task ? it.permille : task.cpuPermille;
            }
        }
    }
}

void ClusterSimulation::advanceTasks(Worker &worker)
{
    for (std::size_t n = 0; n < worker.tasks.size();) {
        RunningTask &task = worker.tasks[n];
        AttemptState end = AttemptState::Running;
        if (m_now < task.startsAt) {
            ++n;
            continue;
        }
        if (worker.failsEveryStart) {
            end = AttemptState::Failed;
        } else if (task.isService) {
            const double ratio = latencyRatio(worker, task);
            m_latencyRatios.push_back(static_cast<float>(ratio));
            m_serviceSeconds += StepSeconds;
            m_lateSeconds += ratio > 1 ? StepSeconds : 0;
        } else {
            const double step = std::min(StepSeconds * batchRate(worker, task), task.workSeconds - task.doneSeconds);
            task.doneSeconds += step;
            m_batchCpuSeconds += step * static_cast<double>(m_jobs.at(task.task.job).spec.resources.cpuMillis) / 1000;
            end = task.doneSeconds >= task.workSeconds ? AttemptState::Finished : end;
        }
        if (end == AttemptState::Running && task.isStopping && m_now >= task.stopsAt) {
            const double lost = std::min(task.doneSeconds, WorkLostByEvictionSeconds);
            const double cores = static_cast<double>(m_jobs.at(task.task.job).spec.resources.cpuMillis) / 1000;
            task.doneSeconds -= lost;
            m_batchCpuSeconds -= lost * cores;
            m_result.lostWork += lost * cores;
            end = AttemptState::Stopped;
        }
        if (end == AttemptState::Running) {
            ++n;
            continue;
        }
        const RunningTask ended = task;
        worker.tasks[n] = worker.tasks.back();
        worker.tasks.pop_back();
        m_taskProgress[ended.task].second = ended.doneSeconds;
        m_result.finished += end == AttemptState::Finished ? 1 : 0;
        m_engine.endAttempt(ended.task, end, ended.doneSeconds / std::max(1.0, ended.workSeconds), currentTime());
    }
}

void ClusterSimulation::queueReport(Worker &worker)
{
    WorkerReport report;
    report.worker = worker.vm.name;
    report.measuredAt = WorkerTime(static_cast<std::int64_t>(m_now * 1000) + 5'000'000);
    report.workerClock = report.measuredAt + WorkerTime(static_cast<std::int64_t>(m_scenario.reportLag * 1000));
    for (const RunningTask &it : worker.tasks) {
        if (m_now < it.startsAt) {
            continue;
        }
        AttemptReport entry;
        entry.attempt = {it.task, it.attempt};
        entry.state = it.cpuPermille < 1000 ? AttemptState::Throttled : AttemptState::Running;
        const double load = it.isService ? requestLoadOf(it.classIndex) / 0.5 : 1;
        const double used = it.cpus * it.cpuPermille * load * std::exp(0.05 * standardNormal(m_random));
        entry.usage = {static_cast<std::int64_t>(used), m_jobs.at(it.task.job).spec.resources.memoryMib / 2, 0};
        entry.progress = it.isService ? 0 : it.doneSeconds / it.workSeconds;
        if (it.isService) {
            entry.latencyMs
                = LatencyTargetMs * latencyRatio(worker, it) * std::exp(LatencyNoiseSigma * standardNormal(m_random));
        } else {
            entry.checkpoint = "c";
        }
        report.attempts.push_back(entry);
    }
    worker.reports.emplace_back(m_now + m_scenario.reportLag, std::move(report));
}

Result ClusterSimulation::run()
{
    addServices();
    m_pendingBatchSeconds = m_scenario.workers * static_cast<double>(m_scenario.capacity.cpuMillis) / 1000 * 60;
    int step = 0;
    for (; m_now < m_scenario.durationMinutes * 60; m_now += StepSeconds) {
        submitArrivingJobs();
        for (Worker &it : m_workers) {
            advanceTasks(it);
        }
        const bool reports = step++ % static_cast<int>(ReportIntervalSeconds / StepSeconds) == 0;
        for (Worker &it : m_workers) {
            if (reports) {
                queueReport(it);
            }
            while (!it.reports.empty() && it.reports.front().first <= m_now) {
                m_engine.observe(it.reports.front().second, currentTime());
                it.reports.pop_front();
            }
        }
        applyDecisions(m_engine.decide(currentTime()));
    }
    const auto rank = static_cast<std::ptrdiff_t>(0.99 * static_cast<double>(m_latencyRatios.size()));
    std::nth_element(m_latencyRatios.begin(), m_latencyRatios.begin() + rank, m_latencyRatios.end());
    m_result.tailRatio = m_latencyRatios.empty() ? 0 : m_latencyRatios[rank];
    m_result.lateShare = m_lateSeconds / std::max(1.0, m_serviceSeconds);
    m_result.throughput = m_batchCpuSeconds / m_now;
    m_result.meanWait = m_totalWaitSeconds / std::max(1, m_firstStarts);
    return m_result;
}

// ---------------------------------------------------------------------------------------------------------------------
// BaselineEngine
// ---------------------------------------------------------------------------------------------------------------------

BaselineEngine::BaselineEngine(BaselineKind kind, std::uint64_t seed)
    : m_kind(kind)
    , m_random(seed)
{
}

void BaselineEngine::setWorker(const Vm &vm)
{
    m_ledger.setWorker(vm);
}

void BaselineEngine::addJob(const JobSpec &spec, TimePoint)
{
    m_specs[spec.id] = spec;
    for (std::uint32_t it = 0; it < spec.taskCount; ++it) {
        m_queue.push_back({spec.id, it});
    }
}

void BaselineEngine::removeTask(const TaskId &)
{
}

void BaselineEngine::restoreAttempt(const TaskId &, const WorkerId &, TimePoint)
{
}

void BaselineEngine::abandonStart(const TaskId &)
{
}

void BaselineEngine::endAttempt(const TaskId &task, AttemptState state, double, TimePoint)
{
    m_ledger.release(m_workerOfTask.at(task), m_specs.at(task.job).resources);
    --m_instances[{task.job, m_workerOfTask.at(task)}];
    m_workerOfTask.erase(task);
    if (state != AttemptState::Finished) {
        m_queue.push_back(task);
    }
}

void BaselineEngine::observe(const WorkerReport &, TimePoint)
{
}

std::string BaselineEngine::explain(const TaskId &) const
{
    return {};
}

WorkerIndex BaselineEngine::choose(const JobSpec &spec)
{
    // Services must survive the loss of a worker, so the baselines also spread their instances evenly over the workers.
    const bool isService = spec.kind == WorkloadKind::Service;
    const std::uint32_t maxInstances
        = isService ? (spec.taskCount + m_ledger.size() - 1) / m_ledger.size() : NoInstanceLimit;
    std::vector<WorkerIndex> fitting;
    m_ledger.forEachFitting(spec.resources, 0, [&](WorkerIndex it) {
        if (isService && m_instances[{spec.id, it}] >= maxInstances) {
            return true;
        }
        fitting.push_back(it);
        return m_kind != BaselineKind::FirstFit;
    });
    if (fitting.empty()) {
        return NoWorker;
    }
    const WorkerIndex first = fitting[m_random.next() % fitting.size()];
    if (m_kind != BaselineKind::TwoChoices) {
        return first;
    }
    const WorkerIndex second = fitting[m_random.next() % fitting.size()];
    const auto used = [this](WorkerIndex it) { return m_ledger.worker(it).reserved.cpuMillis; };
    return used(first) <= used(second) ? first : second;
}

Decisions BaselineEngine::decide(TimePoint)
{
    constexpr std::size_t MaxQueueScan = 200; // bounds the scan; tasks that fit nowhere do not block those behind
    Decisions out;
    std::size_t skipped = 0;
    while (skipped < std::min(MaxQueueScan, m_queue.size())) {
        const TaskId task = m_queue[skipped];
        const WorkerIndex worker = choose(m_specs.at(task.job));
        if (worker == NoWorker) {
            ++skipped;
            continue;
        }
        m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(skipped));
        m_ledger.reserve(worker, m_specs.at(task.job).resources);
        ++m_instances[{task.job, worker}];
        m_workerOfTask[task] = worker;
        out.starts.push_back({task, m_ledger.worker(worker).id, {}});
    }
    return out;
}

// ---------------------------------------------------------------------------------------------------------------------
// Comparison of policies
// ---------------------------------------------------------------------------------------------------------------------

namespace {

struct Deployment
{
    const char *name;
    int workers;
    Resources capacity;
    PlacementWeights weights;
};

const Deployment Deployments[] = {
    {"coop", 50, {32000, 125000, 0}, {0.2, 0.45, 0.35}},
    {"crew", 65, {16000, 62000, 0}, {0.6, 0.25, 0.15}},
    {"large", 1200, {32000, 125000, 0}, {0.4, 0.35, 0.25}},
};

const Deployment &findDeployment(const char *name)
{
    for (const Deployment &it : Deployments) {
        if (std::strcmp(it.name, name) == 0) {
            return it;
        }
    }
    std::fprintf(stderr, "unknown deployment '%s'; expected coop, crew or large\n", name);
    std::exit(2);
}

/**
 * The deployment's weighted sum of late service time, lost throughput and evictions; lower is better. Late time and
 * throughput are relative to first fit. The evictions term is 1 when one start in ten ends in an eviction.
 */
double relativeCost(const Deployment &deployment, const Result &result, const Result &firstFit)
{
    const double evictions = static_cast<double>(result.evictions) / std::max(1, result.starts) * 10;
    return deployment.weights.tailLatency * result.lateShare / firstFit.lateShare
           + deployment.weights.throughput * firstFit.throughput / result.throughput
           + deployment.weights.evictions * evictions;
}

struct Policy
{
    const char *name;
    std::function<Result(Scenario)> run;
};

Result runEngine(const Scenario &scenario, const PlacementSettings &settings, bool isOracle)
{
    PlacementEngine engine(settings);
    if (isOracle) {
        const Interference interference = ClusterSimulation::makeInterference(scenario.seed);
        constexpr double TypicalShare = 0.3; // worker share of all neighbours of one class, at which the
                                             // additive slowdown is converted to a logarithmic slope
        for (int s = 0; s < ServiceClasses; ++s) {
            for (int b = 0; b < BatchClasses; ++b) {
                const double slope = std::log(1 + interference.batchOnService[s][b] * TypicalShare) / TypicalShare;
                engine.pinSlowdown(ClusterSimulation::serviceName(s), ClusterSimulation::batchName(b), slope);
            }
            for (int other = 0; other < ServiceClasses; ++other) {
                engine.pinSlowdown(ClusterSimulation::serviceName(s),
                                   ClusterSimulation::serviceName(other),
                                   interference.serviceOnService[s][other]);
            }
        }
    }
    Scenario engineScenario = scenario;
    engineScenario.reportLag = isOracle ? 0 : scenario.reportLag;
    const Result result = ClusterSimulation(engineScenario, engine).run();
    if (std::getenv("QR_BENCH_COUNTERS") != nullptr) {
        const PlacementCounters it = engine.counters();
        std::printf("  throttles %d, lifted %d, evictions refused %d, samples %d, samples dropped %d, workers held %d, "
                    "quarantines %d, quarantined now %d, jobs at fault %d, tasks pending %d\n",
                    static_cast<int>(it.throttles),
                    static_cast<int>(it.throttlesLifted),
                    static_cast<int>(it.evictionsRefused),
                    static_cast<int>(it.samples),
                    static_cast<int>(it.samplesDropped),
                    static_cast<int>(it.heldWorkers),
                    static_cast<int>(it.quarantines),
                    static_cast<int>(it.quarantined),
                    static_cast<int>(it.jobsAtFault),
                    static_cast<int>(it.pendingTasks));
    }
    return result;
}

PlacementSettings settingsFor(const Deployment &deployment)
{
    PlacementSettings settings;
    settings.weights = deployment.weights;
    return settings;
}

Policy baselinePolicy(const char *name, BaselineKind kind)
{
    return {name, [kind](const Scenario &scenario) {
                BaselineEngine engine(kind, scenario.seed);
                return ClusterSimulation(scenario, engine).run();
            }};
}

Policy enginePolicy(const char *name, const PlacementSettings &settings, bool isOracle = false)
{
    return {name, [settings, isOracle](const Scenario &scenario) { return runEngine(scenario, settings, isOracle); }};
}

void addResult(Result &sum, const Result &it)
{
    sum.lateShare += it.lateShare;
    sum.tailRatio += it.tailRatio;
    sum.throughput += it.throughput;
    sum.starts += it.starts;
    sum.evictions += it.evictions;
    sum.lostWork += it.lostWork;
    sum.finished += it.finished;
    sum.meanWait += it.meanWait;
}

/**
 * Runs every policy over the same seeds. The first must be first fit, the last the oracle: a policy's gain is the
 * fraction of the cost difference between these two that it saves.
 */
void comparePolicies(const Deployment &deployment, Scenario scenario, int seeds, const std::vector<Policy> &policies)
{
    std::printf("%-12s %8s %8s %10s %8s %9s %8s %7s %7s\n",
                "policy",
                "late %",
                "p99/tgt",
                "throughput",
                "starts",
                "evictions",
                "lost",
                "wait s",
                "cost");
    std::vector<Result> sums(policies.size());
    for (int seed = 1; seed <= seeds; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        for (std::size_t it = 0; it < policies.size(); ++it) {
            addResult(sums[it], policies[it].run(scenario));
        }
    }
    const double baseline = relativeCost(deployment, sums.front(), sums.front());
    const double best = relativeCost(deployment, sums.back(), sums.front());
    for (std::size_t it = 0; it < policies.size(); ++it) {
        const Result &sum = sums[it];
        const double cost = relativeCost(deployment, sum, sums.front());
        std::printf("%-12s %8.3f %8.2f %10.1f %8d %9d %8.0f %7.1f %7.3f  gain %4.0f%%\n",
                    policies[it].name,
                    100 * sum.lateShare / seeds,
                    sum.tailRatio / seeds,
                    sum.throughput / seeds,
                    sum.starts,
                    sum.evictions,
                    sum.lostWork,
                    sum.meanWait / seeds,
                    cost,
                    100 * (baseline - cost) / (baseline - best));
    }
    std::fflush(stdout);
}

Scenario scenarioFor(const Deployment &deployment, double lag)
{
    Scenario scenario;
    scenario.workers = deployment.workers;
    scenario.capacity = deployment.capacity;
    scenario.reportLag = lag;
    scenario.durationMinutes = deployment.workers > 1000 ? 10 : 40;
    return scenario;
}

std::vector<Policy> allPolicies(const Deployment &deployment)
{
    return {baselinePolicy("first fit", BaselineKind::FirstFit),
            baselinePolicy("random", BaselineKind::Random),
            baselinePolicy("two choices", BaselineKind::TwoChoices),
            enginePolicy("engine", settingsFor(deployment)),
            enginePolicy("oracle", settingsFor(deployment), true)};
}

void printQuality(const Deployment &deployment, double lag, int seeds)
{
    Scenario scenario = scenarioFor(deployment, lag);
    std::printf("\n%s, report lag %.0f s, declared sizes wrong by up to 1.25x\n", deployment.name, lag);
    comparePolicies(deployment, scenario, seeds, allPolicies(deployment));
    std::printf("\n%s, report lag %.0f s, declared sizes wrong by up to 5x\n", deployment.name, lag);
    scenario.sizeErrorFactor = 5;
    comparePolicies(deployment, scenario, seeds, allPolicies(deployment));
    std::printf(
        "\n%s, report lag %.0f s, declared sizes wrong by up to 1.25x, a tenth of the workers fail every start\n",
        deployment.name,
        lag);
    scenario.sizeErrorFactor = 1.25;
    scenario.failingWorkerShare = 0.1;
    comparePolicies(deployment, scenario, seeds, allPolicies(deployment));
}

void printAblation(const Deployment &deployment, double lag, int seeds)
{
    PlacementSettings withoutGuards = settingsFor(deployment);
    withoutGuards.guards = false;
    PlacementSettings withoutLearning = settingsFor(deployment);
    withoutLearning.priorStrength = 1e9;
    PlacementSettings withoutExploration = settingsFor(deployment);
    withoutExploration.exploration = 0;
    PlacementSettings withoutWaiting = settingsFor(deployment);
    withoutWaiting.batchBenefit = 1;
    PlacementSettings withoutOvershoot = settingsFor(deployment);
    withoutOvershoot.overshoot = 0;
    PlacementSettings withoutCaution = settingsFor(deployment);
    withoutCaution.cautionAbove = 100;
    PlacementSettings withoutEvictionRisk = settingsFor(deployment);
    withoutEvictionRisk.evictionRisk = 0;
    const std::vector<Policy> policies{baselinePolicy("first fit", BaselineKind::FirstFit),
                                       enginePolicy("engine", settingsFor(deployment)),
                                       enginePolicy("no guards", withoutGuards),
                                       enginePolicy("no learning", withoutLearning),
                                       enginePolicy("no explore", withoutExploration),
                                       enginePolicy("no overshoot", withoutOvershoot),
                                       enginePolicy("no caution", withoutCaution),
                                       enginePolicy("no risk", withoutEvictionRisk),
                                       enginePolicy("never waits", withoutWaiting),
                                       enginePolicy("oracle", settingsFor(deployment), true)};
    Scenario scenario = scenarioFor(deployment, lag);
    std::printf("\n%s, report lag %.0f s, one part of the engine switched off at a time\n", deployment.name, lag);
    comparePolicies(deployment, scenario, seeds, policies);
    std::printf(
        "\n%s, report lag %.0f s, the same with declared sizes wrong by up to 5x and a tenth of the workers failing\n",
        deployment.name,
        lag);
    scenario.sizeErrorFactor = 5;
    scenario.failingWorkerShare = 0.1;
    comparePolicies(deployment, scenario, seeds, policies);
}

} // namespace

} // namespace QuetzalRock::Bench

int main(int argc, char **argv)
{
    using namespace QuetzalRock::Bench;
    const std::string mode = argc > 1 ? argv[1] : "quality";
    const auto &deployment = findDeployment(argc > 2 ? argv[2] : "crew");
    const double lag = argc > 3 ? std::atof(argv[3]) : 5;
    const int seeds = argc > 4 ? std::atoi(argv[4]) : 3;
    if (mode == "ablation") {
        printAblation(deployment, lag, seeds);
        return 0;
    }
    printQuality(deployment, lag, seeds);
    return 0;
}
