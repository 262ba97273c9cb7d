/**
 * Placement: quality against plain baselines and an oracle.
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

constexpr double Step = 0.5;          ///< seconds
constexpr double ReportEvery = 2;     ///< seconds
constexpr double StartDelay = 0.5;    ///< seconds from decision to running
constexpr double CheckpointTime = 1;  ///< seconds that a stop takes
constexpr double RestartWork = 5;     ///< seconds of a task's work that an eviction loses
constexpr double LatencyNoise = 0.15; ///< of the log, in reports
constexpr double TargetMs = 100;
constexpr double BaseMs = 25;     ///< alone, without load
constexpr double WaveEvery = 240; ///< seconds
constexpr double WaveLoad = 0.15; ///< of all processors
constexpr std::uint32_t Unspread = ~0U;

double logUniform(detail::Random &random, double factor)
{
    return std::pow(factor, 2 * random.unit() - 1);
}

double normal(detail::Random &random)
{
    double sum = -6;
    for (int it = 0; it < 12; ++it) {
        sum += random.unit();
    }
    return sum;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Fleet
// ---------------------------------------------------------------------------------------------------------------------

Fleet::Fleet(const Scenario &scenario, DecisionEngine &engine)
    : m_scenario(scenario)
    , m_engine(engine)
    , m_truth(makeTruth(scenario.seed))
    , m_random(scenario.seed * 77 + 5)
    , m_arrivals(scenario.seed * 991 + 3)
{
    m_workers.resize(scenario.workers);
    for (int it = 0; it < scenario.workers; ++it) {
        Worker &worker = m_workers[it];
        worker.vm.name = "w" + std::to_string(it);
        worker.vm.rack = "r" + std::to_string(it / 8);
        worker.vm.capacity = scenario.capacity;
        worker.blackHole = m_random.unit() < scenario.blackHoles;
        m_byName[worker.vm.name] = it;
        m_engine.setWorker(worker.vm);
    }
}

Truth Fleet::makeTruth(std::uint64_t seed)
{
    detail::Random random(seed);
    Truth truth{};
    for (auto &row : truth.slowdown) {
        for (double &it : row) {
            it = 0.1 + 4 * std::pow(random.unit(), 3); // most pairs hardly matter, a few are bad
        }
    }
    for (auto &row : truth.crowd) {
        for (double &it : row) {
            it = 1.5 * random.unit();
        }
    }
    for (auto &row : truth.drag) {
        for (double &it : row) {
            it = 0.5 * std::pow(random.unit(), 2);
        }
    }
    return truth;
}

std::string Fleet::serviceName(int index)
{
    return "service" + std::to_string(index);
}

std::string Fleet::batchName(int index)
{
    return "batch" + std::to_string(index);
}

TimePoint Fleet::stamp() const
{
    return TimePoint(std::chrono::hours(1)) + Duration(static_cast<std::int64_t>(m_now * 1e6));
}

void Fleet::addServices()
{
    constexpr double Parts[ServiceClasses] = {0.4, 0.3, 0.2, 0.1};
    constexpr std::int64_t Cores[ServiceClasses] = {2, 3, 4, 4};
    const double cores = m_scenario.workers * static_cast<double>(m_scenario.capacity.cpuMillis) / 1000;
    for (int it = 0; it < ServiceClasses; ++it) {
        const double instances = cores * m_scenario.serviceLoad * Parts[it] / static_cast<double>(Cores[it]);
        JobTruth truth;
        truth.spec.id = ++m_lastJob;
        truth.spec.name = serviceName(it);
        truth.spec.className = truth.spec.name;
        truth.spec.tenant = "tenant" + std::to_string(it);
        truth.spec.kind = WorkloadKind::Service;
        truth.spec.taskCount = std::max(1U, static_cast<std::uint32_t>(instances));
        truth.spec.resources = {Cores[it] * 1000, 4000, 0};
        truth.spec.latencyTargetMs = TargetMs;
        truth.classIndex = it;
        m_jobs[truth.spec.id] = truth;
        m_engine.addJob(truth.spec, stamp());
    }
}

void Fleet::addBatch(int classIndex)
{
    JobTruth truth;
    truth.spec.id = ++m_lastJob;
    truth.spec.name = batchName(classIndex);
    truth.spec.className = truth.spec.name;
    truth.spec.tenant = "tenant" + std::to_string(m_arrivals.next() % 10);
    truth.spec.taskCount = 1 + static_cast<std::uint32_t>(m_arrivals.next() % 16);
    truth.spec.resources.cpuMillis = 1000 + static_cast<std::int64_t>(m_arrivals.next() % 5000);
    truth.spec.resources.memoryMib = 1000 + static_cast<std::int64_t>(m_arrivals.next() % 8000);
    truth.classIndex = classIndex;
    truth.factor = logUniform(m_arrivals, m_scenario.sizeError);
    truth.seconds = 20 + 180 * m_arrivals.unit();
    truth.added = m_now;
    m_debt -= truth.seconds * static_cast<double>(truth.spec.resources.cpuMillis) / 1000 * truth.spec.taskCount;
    truth.spec.runTime = Duration(static_cast<std::int64_t>(truth.seconds * logUniform(m_arrivals, 5) * 1e6));
    m_jobs[truth.spec.id] = truth;
    m_engine.addJob(truth.spec, stamp());
}

void Fleet::arrive()
{
    const double cores = m_scenario.workers * static_cast<double>(m_scenario.capacity.cpuMillis) / 1000;
    m_debt += cores * m_scenario.batchLoad * Step;
    while (m_debt > 0) {
        addBatch(static_cast<int>(m_arrivals.next() % BatchClasses));
    }
    if (m_scenario.waves && std::fmod(m_now, WaveEvery) < Step / 2 && m_now > 0) {
        const int noisy = static_cast<int>(m_arrivals.next() % BatchClasses);
        const double before = m_debt;
        while (before - m_debt < cores * WaveLoad * 60) {
            addBatch(noisy);
        }
    }
}

double Fleet::loadOf(int serviceClass) const
{
    // Steps every five minutes, the same for every policy.
    detail::Random random(m_scenario.seed * 1000 + static_cast<std::uint64_t>(m_now / 300) * 10 + serviceClass);
    return 0.3 + 0.4 * random.unit();
}

double Fleet::crowding(const Worker &worker) const
{
    double used = 0;
    for (const Running &it : worker.tasks) {
        used += it.share * it.permille / 1000;
    }
    return std::max(1.0, used);
}

double Fleet::latencyRatio(const Worker &worker, const Running &service) const
{
    const double load = loadOf(service.classIndex);
    double slowed = 1;
    for (const Running &it : worker.tasks) {
        if (it.task == service.task || m_now < it.begins) {
            continue;
        }
        const auto &row = it.service ? m_truth.crowd[service.classIndex] : m_truth.slowdown[service.classIndex];
        slowed += row[it.classIndex] * it.share * it.permille / 1000 * (0.5 + load);
    }
    const double crowd = crowding(worker);
    return BaseMs / TargetMs / (1 - load) * slowed * crowd * crowd;
}

double Fleet::batchRate(const Worker &worker, const Running &task) const
{
    double slowed = 1;
    for (const Running &it : worker.tasks) {
        if (!it.service && it.task != task.task) {
            slowed += m_truth.drag[task.classIndex][it.classIndex] * it.share;
        }
    }
    return task.permille / 1000.0 / slowed / crowding(worker);
}

void Fleet::act(const Decisions &decisions)
{
    for (const StartDecision &it : decisions.starts) {
        const JobTruth &truth = m_jobs.at(it.task.job);
        auto &[attempts, done] = m_state[it.task];
        Worker &worker = m_workers[m_byName.at(it.worker)];
        Running task;
        task.task = it.task;
        task.attempt = ++attempts;
        task.classIndex = truth.classIndex;
        task.service = truth.spec.kind == WorkloadKind::Service;
        task.size = static_cast<double>(truth.spec.resources.cpuMillis) / 1000 * (task.service ? 0.5 : truth.factor);
        task.share = task.size * 1000 / static_cast<double>(worker.vm.capacity.cpuMillis);
        task.work = truth.seconds;
        task.done = done;
        task.begins = m_now + StartDelay;
        worker.tasks.push_back(task);
        ++m_result.starts;
        if (attempts == 1 && !task.service) {
            m_waited += m_now - truth.added;
            ++m_firstStarts;
        }
    }
    for (const StopDecision &it : decisions.stops) {
        for (Worker &worker : m_workers) {
            for (Running &task : worker.tasks) {
                if (task.task == it.task && !task.stopping) {
                    task.stopping = true;
                    task.stopsAt = m_now + CheckpointTime;
                    ++m_result.evictions;
                }
            }
        }
    }
    for (const ThrottleDecision &it : decisions.throttles) {
        for (Worker &worker : m_workers) {
            for (Running &task : worker.tasks) {
                task.permille = task.task == it.task ? it.permille : task.permille;
            }
        }
    }
}

void Fleet::advance(Worker &worker)
{
    for (std::size_t n = 0; n < worker.tasks.size();) {
        Running &task = worker.tasks[n];
        AttemptState end = AttemptState::Running;
        if (m_now < task.begins) {
            ++n;
            continue;
        }
        if (worker.blackHole) {
            end = AttemptState::Failed;
        } else if (task.service) {
            const double ratio = latencyRatio(worker, task);
            m_ratios.push_back(static_cast<float>(ratio));
            m_serviceSeconds += Step;
            m_lateSeconds += ratio > 1 ? Step : 0;
        } else {
            const double step = std::min(Step * batchRate(worker, task), task.work - task.done);
            task.done += step;
            m_done += step * static_cast<double>(m_jobs.at(task.task.job).spec.resources.cpuMillis) / 1000;
            end = task.done >= task.work ? AttemptState::Finished : end;
        }
        if (end == AttemptState::Running && task.stopping && m_now >= task.stopsAt) {
            const double lost = std::min(task.done, RestartWork);
            const double cores = static_cast<double>(m_jobs.at(task.task.job).spec.resources.cpuMillis) / 1000;
            task.done -= lost;
            m_done -= lost * cores;
            m_result.lostWork += lost * cores;
            end = AttemptState::Stopped;
        }
        if (end == AttemptState::Running) {
            ++n;
            continue;
        }
        const Running ended = task;
        worker.tasks[n] = worker.tasks.back();
        worker.tasks.pop_back();
        m_state[ended.task].second = ended.done;
        m_result.finished += end == AttemptState::Finished ? 1 : 0;
        m_engine.endAttempt(ended.task, end, ended.done / std::max(1.0, ended.work), stamp());
    }
}

void Fleet::measure(Worker &worker)
{
    WorkerReport report;
    report.worker = worker.vm.name;
    report.measuredAt = WorkerTime(static_cast<std::int64_t>(m_now * 1000) + 5'000'000);
    report.workerClock = report.measuredAt + WorkerTime(static_cast<std::int64_t>(m_scenario.reportLag * 1000));
    for (const Running &it : worker.tasks) {
        if (m_now < it.begins) {
            continue;
        }
        AttemptReport entry;
        entry.attempt = {it.task, it.attempt};
        entry.state = it.permille < 1000 ? AttemptState::Throttled : AttemptState::Running;
        const double load = it.service ? loadOf(it.classIndex) / 0.5 : 1;
        const double used = it.size * it.permille * load * std::exp(0.05 * normal(m_random));
        entry.usage = {static_cast<std::int64_t>(used), m_jobs.at(it.task.job).spec.resources.memoryMib / 2, 0};
        entry.progress = it.service ? 0 : it.done / it.work;
        if (it.service) {
            entry.latencyMs = TargetMs * latencyRatio(worker, it) * std::exp(LatencyNoise * normal(m_random));
        } else {
            entry.checkpoint = "c";
        }
        report.attempts.push_back(entry);
    }
    worker.reports.emplace_back(m_now + m_scenario.reportLag, std::move(report));
}

Result Fleet::run()
{
    addServices();
    m_debt = m_scenario.workers * static_cast<double>(m_scenario.capacity.cpuMillis) / 1000 * 60;
    int step = 0;
    for (; m_now < m_scenario.minutes * 60; m_now += Step) {
        arrive();
        for (Worker &it : m_workers) {
            advance(it);
        }
        const bool reports = step++ % static_cast<int>(ReportEvery / Step) == 0;
        for (Worker &it : m_workers) {
            if (reports) {
                measure(it);
            }
            while (!it.reports.empty() && it.reports.front().first <= m_now) {
                m_engine.observe(it.reports.front().second, stamp());
                it.reports.pop_front();
            }
        }
        act(m_engine.decide(stamp()));
    }
    const auto rank = static_cast<std::ptrdiff_t>(0.99 * static_cast<double>(m_ratios.size()));
    std::nth_element(m_ratios.begin(), m_ratios.begin() + rank, m_ratios.end());
    m_result.tailRatio = m_ratios.empty() ? 0 : m_ratios[rank];
    m_result.lateShare = m_lateSeconds / std::max(1.0, m_serviceSeconds);
    m_result.throughput = m_done / m_now;
    m_result.wait = m_waited / std::max(1, m_firstStarts);
    return m_result;
}

// ---------------------------------------------------------------------------------------------------------------------
// PlainEngine
// ---------------------------------------------------------------------------------------------------------------------

PlainEngine::PlainEngine(PlainKind kind, std::uint64_t seed)
    : m_kind(kind)
    , m_random(seed)
{
}

void PlainEngine::setWorker(const Vm &vm)
{
    m_ledger.setWorker(vm);
}

void PlainEngine::addJob(const JobSpec &spec, TimePoint)
{
    m_specs[spec.id] = spec;
    for (std::uint32_t it = 0; it < spec.taskCount; ++it) {
        m_queue.push_back({spec.id, it});
    }
}

void PlainEngine::removeTask(const TaskId &)
{
}

void PlainEngine::restoreAttempt(const TaskId &, const WorkerId &, TimePoint)
{
}

void PlainEngine::abandonStart(const TaskId &)
{
}

void PlainEngine::endAttempt(const TaskId &task, AttemptState state, double, TimePoint)
{
    m_ledger.release(m_where.at(task), m_specs.at(task.job).resources);
    --m_instances[{task.job, m_where.at(task)}];
    m_where.erase(task);
    if (state != AttemptState::Finished) {
        m_queue.push_back(task);
    }
}

void PlainEngine::observe(const WorkerReport &, TimePoint)
{
}

std::string PlainEngine::explain(const TaskId &) const
{
    return {};
}

WorkerIndex PlainEngine::choose(const JobSpec &spec)
{
    // Services must survive the loss of a worker, so plain baselines spread them too.
    const bool service = spec.kind == WorkloadKind::Service;
    const std::uint32_t most = service ? (spec.taskCount + m_ledger.size() - 1) / m_ledger.size() : Unspread;
    std::vector<WorkerIndex> fitting;
    m_ledger.forEachFitting(spec.resources, 0, [&](WorkerIndex it) {
        if (service && m_instances[{spec.id, it}] >= most) {
            return true;
        }
        fitting.push_back(it);
        return m_kind != PlainKind::FirstFit;
    });
    if (fitting.empty()) {
        return NoWorker;
    }
    const WorkerIndex first = fitting[m_random.next() % fitting.size()];
    if (m_kind != PlainKind::TwoChoices) {
        return first;
    }
    const WorkerIndex second = fitting[m_random.next() % fitting.size()];
    const auto used = [this](WorkerIndex it) { return m_ledger.worker(it).reserved.cpuMillis; };
    return used(first) <= used(second) ? first : second;
}

Decisions PlainEngine::decide(TimePoint)
{
    constexpr std::size_t Depth = 200; // looks past what does not fit, as any plain scheduler would
    Decisions out;
    std::size_t passed = 0;
    while (passed < std::min(Depth, m_queue.size())) {
        const TaskId task = m_queue[passed];
        const WorkerIndex worker = choose(m_specs.at(task.job));
        if (worker == NoWorker) {
            ++passed;
            continue;
        }
        m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(passed));
        m_ledger.reserve(worker, m_specs.at(task.job).resources);
        ++m_instances[{task.job, worker}];
        m_where[task] = worker;
        out.starts.push_back({task, m_ledger.worker(worker).id, {}});
    }
    return out;
}

// ---------------------------------------------------------------------------------------------------------------------
// Comparisons
// ---------------------------------------------------------------------------------------------------------------------

namespace {

struct User
{
    const char *name;
    int workers;
    Resources capacity;
    PlacementWeights weights;
};

const User Users[] = {
    {"coop", 50, {32000, 125000, 0}, {0.2, 0.45, 0.35}},
    {"crew", 65, {16000, 62000, 0}, {0.6, 0.25, 0.15}},
    {"large", 1200, {32000, 125000, 0}, {0.4, 0.35, 0.25}},
};

const User &userNamed(const char *name)
{
    for (const User &it : Users) {
        if (std::strcmp(it.name, name) == 0) {
            return it;
        }
    }
    std::fprintf(stderr, "no user %s\n", name);
    std::exit(2);
}

/** The user's own measure, relative to first fit; lower is better. Evictions count 1 when a tenth of starts end so. */
double costOf(const User &user, const Result &result, const Result &plain)
{
    const double evictions = static_cast<double>(result.evictions) / std::max(1, result.starts) * 10;
    return user.weights.tailLatency * result.lateShare / plain.lateShare
           + user.weights.throughput * plain.throughput / result.throughput + user.weights.evictions * evictions;
}

struct Contender
{
    const char *name;
    std::function<Result(Scenario)> run;
};

Result runEngine(const Scenario &scenario, const PlacementSettings &settings, bool oracle)
{
    PlacementEngine engine(settings);
    if (oracle) {
        const Truth truth = Fleet::makeTruth(scenario.seed);
        constexpr double TypicalShare = 0.3; // of one class's neighbours together, where the slope is taken
        for (int s = 0; s < ServiceClasses; ++s) {
            for (int b = 0; b < BatchClasses; ++b) {
                const double slope = std::log(1 + truth.slowdown[s][b] * TypicalShare) / TypicalShare;
                engine.pinSlowdown(Fleet::serviceName(s), Fleet::batchName(b), slope);
            }
            for (int other = 0; other < ServiceClasses; ++other) {
                engine.pinSlowdown(Fleet::serviceName(s), Fleet::serviceName(other), truth.crowd[s][other]);
            }
        }
    }
    Scenario seen = scenario;
    seen.reportLag = oracle ? 0 : scenario.reportLag;
    const Result result = Fleet(seen, engine).run();
    if (std::getenv("QR_BENCH_COUNTERS") != nullptr) {
        const PlacementCounters it = engine.counters();
        std::printf("  throttles %d lifted %d evictions refused %d samples %d dropped %d held %d quarantines %d now %d "
                    "jobs at fault %d pending %d\n",
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

PlacementSettings settingsFor(const User &user)
{
    PlacementSettings settings;
    settings.weights = user.weights;
    return settings;
}

Contender plainContender(const char *name, PlainKind kind)
{
    return {name, [kind](const Scenario &scenario) {
                PlainEngine engine(kind, scenario.seed);
                return Fleet(scenario, engine).run();
            }};
}

Contender engineContender(const char *name, const PlacementSettings &settings, bool oracle = false)
{
    return {name, [settings, oracle](const Scenario &scenario) { return runEngine(scenario, settings, oracle); }};
}

void add(Result &sum, const Result &it)
{
    sum.lateShare += it.lateShare;
    sum.tailRatio += it.tailRatio;
    sum.throughput += it.throughput;
    sum.starts += it.starts;
    sum.evictions += it.evictions;
    sum.lostWork += it.lostWork;
    sum.finished += it.finished;
    sum.wait += it.wait;
}

/** Runs every contender over the same seeds; the first is the baseline, the last the oracle. */
void compare(const User &user, Scenario scenario, int seeds, const std::vector<Contender> &contenders)
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
    std::vector<Result> sums(contenders.size());
    for (int seed = 1; seed <= seeds; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        for (std::size_t it = 0; it < contenders.size(); ++it) {
            add(sums[it], contenders[it].run(scenario));
        }
    }
    const double baseline = costOf(user, sums.front(), sums.front());
    const double best = costOf(user, sums.back(), sums.front());
    for (std::size_t it = 0; it < contenders.size(); ++it) {
        const Result &sum = sums[it];
        const double cost = costOf(user, sum, sums.front());
        std::printf("%-12s %8.3f %8.2f %10.1f %8d %9d %8.0f %7.1f %7.3f  gain %4.0f%%\n",
                    contenders[it].name,
                    100 * sum.lateShare / seeds,
                    sum.tailRatio / seeds,
                    sum.throughput / seeds,
                    sum.starts,
                    sum.evictions,
                    sum.lostWork,
                    sum.wait / seeds,
                    cost,
                    100 * (baseline - cost) / (baseline - best));
    }
    std::fflush(stdout);
}

Scenario scenarioFor(const User &user, double lag)
{
    Scenario scenario;
    scenario.workers = user.workers;
    scenario.capacity = user.capacity;
    scenario.reportLag = lag;
    scenario.minutes = user.workers > 1000 ? 10 : 40;
    return scenario;
}

std::vector<Contender> allContenders(const User &user)
{
    return {plainContender("first fit", PlainKind::FirstFit),
            plainContender("random", PlainKind::Random),
            plainContender("two choices", PlainKind::TwoChoices),
            engineContender("engine", settingsFor(user)),
            engineContender("oracle", settingsFor(user), true)};
}

void quality(const User &user, double lag, int seeds)
{
    Scenario scenario = scenarioFor(user, lag);
    std::printf("\n%s, lag %.0f s, sizes right within 1.25x\n", user.name, lag);
    compare(user, scenario, seeds, allContenders(user));
    std::printf("\n%s, lag %.0f s, sizes wrong by up to 5x\n", user.name, lag);
    scenario.sizeError = 5;
    compare(user, scenario, seeds, allContenders(user));
    std::printf("\n%s, lag %.0f s, sizes right, a tenth of the workers fail every start\n", user.name, lag);
    scenario.sizeError = 1.25;
    scenario.blackHoles = 0.1;
    compare(user, scenario, seeds, allContenders(user));
}

void ablation(const User &user, double lag, int seeds)
{
    PlacementSettings unguarded = settingsFor(user);
    unguarded.guards = false;
    PlacementSettings unlearned = settingsFor(user);
    unlearned.priorStrength = 1e9;
    PlacementSettings unexplored = settingsFor(user);
    unexplored.exploration = 0;
    PlacementSettings eager = settingsFor(user);
    eager.batchBenefit = 1;
    PlacementSettings mild = settingsFor(user);
    mild.overshoot = 0;
    PlacementSettings bold = settingsFor(user);
    bold.cautionAbove = 100;
    PlacementSettings riskless = settingsFor(user);
    riskless.evictionRisk = 0;
    const std::vector<Contender> contenders{plainContender("first fit", PlainKind::FirstFit),
                                            engineContender("engine", settingsFor(user)),
                                            engineContender("no guards", unguarded),
                                            engineContender("no learning", unlearned),
                                            engineContender("no explore", unexplored),
                                            engineContender("no overshoot", mild),
                                            engineContender("no caution", bold),
                                            engineContender("no risk", riskless),
                                            engineContender("never waits", eager),
                                            engineContender("oracle", settingsFor(user), true)};
    Scenario scenario = scenarioFor(user, lag);
    std::printf("\n%s, lag %.0f s, one part taken out at a time\n", user.name, lag);
    compare(user, scenario, seeds, contenders);
    std::printf(
        "\n%s, lag %.0f s, the same with sizes wrong by up to 5x and a tenth of the workers failing\n", user.name, lag);
    scenario.sizeError = 5;
    scenario.blackHoles = 0.1;
    compare(user, scenario, seeds, contenders);
}

} // namespace

} // namespace QuetzalRock::Bench

int main(int argc, char **argv)
{
    using namespace QuetzalRock::Bench;
    const std::string mode = argc > 1 ? argv[1] : "quality";
    const auto &user = userNamed(argc > 2 ? argv[2] : "crew");
    const double lag = argc > 3 ? std::atof(argv[3]) : 5;
    const int seeds = argc > 4 ? std::atoi(argv[4]) : 3;
    if (mode == "ablation") {
        ablation(user, lag, seeds);
        return 0;
    }
    quality(user, lag, seeds);
    return 0;
}
