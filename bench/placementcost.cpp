/**
 * Prints the processor time of placement decisions and worker reports, and the memory per worker and task. Runs shards
 * of 50 workers up to the 1,200 workers of the whole target.
 *
 *   benchplacementcost
 */
#include <placement/placementengine.h>

#include <cstdio>
#include <deque>
#include <functional>
#include <malloc.h>
#include <map>

namespace QuetzalRock::Bench {

namespace {

constexpr double LatencyTargetMs = 100;

JobSpec makeJob(JobId id, bool isService)
{
    JobSpec spec;
    spec.id = id;
    spec.name = "job";
    spec.className = (isService ? "service" : "batch") + std::to_string(id % 6);
    spec.tenant = "tenant" + std::to_string(id % 270);
    spec.kind = isService ? WorkloadKind::Service : WorkloadKind::Batch;
    spec.latencyTargetMs = isService ? LatencyTargetMs : 0;
    spec.taskCount = 10;
    spec.resources = {1000, 2000, 0};
    return spec;
}

double measureSeconds(const std::function<void()> &work)
{
    const SystemClock clock;
    const TimePoint begin = clock.now();
    work();
    return std::chrono::duration<double>(clock.now() - begin).count();
}

/** A shard whose workers are filled with services and batch tasks, and the worker reports to send. */
class FullShard
{
public:
    explicit FullShard(int workers)
        : m_engine(withoutStartLimits())
    {
        const std::size_t before = mallinfo2().uordblks;
        for (int it = 0; it < workers; ++it) {
            Vm vm;
            vm.name = "w" + std::to_string(it);
            vm.rack = "r" + std::to_string(it / 8);
            vm.capacity = {32000, 125000, 0};
            m_engine.setWorker(vm);
        }
        m_bytesPerWorker = (mallinfo2().uordblks - before) / workers;
        placeTasks(7300 * workers / 1200, true);
        reportAllWorkers();
        const int batch = 20000 * workers / 1200;
        for (int it = 0; it < batch; it += 1000) {
            placeTasks(std::min(1000, batch - it), false);
            reportAllWorkers();
        }
    }

    /** Adds jobs with @p tasks in total, decides once, and adds what was started to the worker reports. */
    void placeTasks(int tasks, bool isService)
    {
        for (int it = 0; it < tasks; it += 10) {
            JobSpec spec = makeJob(++m_lastJob, isService);
            spec.taskCount = static_cast<std::uint32_t>(std::min(10, tasks - it));
            m_engine.addJob(spec, m_now);
        }
        m_now += std::chrono::milliseconds(100);
        for (const StartDecision &it : m_engine.decide(m_now).starts) {
            AttemptReport entry;
            entry.attempt = {it.task, 1};
            entry.state = AttemptState::Running;
            entry.usage = {isService ? 500 : 1000, 1000, 0};
            entry.latencyMs = isService ? 30 : 0;
            m_reports[it.worker].attempts.push_back(entry);
            if (!isService) {
                m_running.push_back(it.task);
            }
        }
    }

    /** Finishes the @p tasks batch tasks that have run longest. */
    void finishTasks(int tasks)
    {
        for (int it = 0; it < tasks && !m_running.empty(); ++it) {
            m_engine.endAttempt(m_running.front(), AttemptState::Finished, 1, m_now);
            m_running.pop_front();
        }
    }

    /** Passes one report of each worker to the engine. */
    void reportAllWorkers()
    {
        m_now += std::chrono::seconds(2);
        for (auto &[name, it] : m_reports) {
            it.worker = name;
            it.workerClock = std::chrono::duration_cast<WorkerTime>(m_now.time_since_epoch());
            it.measuredAt = it.workerClock;
            m_engine.observe(it, m_now);
        }
    }

    /** Makes one decision without new jobs or ended tasks. */
    void decideOnce()
    {
        m_now += std::chrono::milliseconds(100);
        m_engine.decide(m_now);
    }

    PlacementCounters counters() const
    {
        return m_engine.counters();
    }

    std::size_t bytesPerWorker() const
    {
        return m_bytesPerWorker;
    }

private:
    /** Settings without effective limits on the rate of starts. */
    static PlacementSettings withoutStartLimits()
    {
        PlacementSettings settings;
        settings.shardStartsPerSecond = settings.shardStartBurst = 1e9;
        settings.workerStartsPerSecond = settings.workerStartBurst = 1e9;
        return settings;
    }

    PlacementEngine m_engine;
    std::map<WorkerId, WorkerReport> m_reports;
    std::deque<TaskId> m_running;
    TimePoint m_now{std::chrono::hours(1)};
    JobId m_lastJob = 0;
    std::size_t m_bytesPerWorker = 0;
};

void printCostAt(int workers)
{
    constexpr int Rounds = 100;
    constexpr int StartsPerRound = 120; // 1,200 starts/s at 10 decisions/s
    FullShard shard(workers);
    const PlacementCounters before = shard.counters();
    const double busySeconds = measureSeconds([&shard] {
        for (int it = 0; it < Rounds; ++it) {
            shard.finishTasks(StartsPerRound);
            shard.placeTasks(StartsPerRound, false);
        }
    });
    const PlacementCounters after = shard.counters();
    const double idleSeconds = measureSeconds([&shard] {
        for (int it = 0; it < Rounds; ++it) {
            shard.decideOnce();
        }
    });
    const double reportSeconds = measureSeconds([&shard] {
        for (int it = 0; it < 10; ++it) {
            shard.reportAllWorkers();
        }
    });
    shard.placeTasks(25 * workers, false); // more than the workers have room for, so that tasks stay pending
    const double blockedSeconds = measureSeconds([&shard] {
        for (int it = 0; it < Rounds; ++it) {
            shard.decideOnce();
        }
    });
    const auto starts = static_cast<double>(after.starts - before.starts);
    std::printf("%7d %7u %10.0f %9.1f %9.1f %10.1f %12.2f %10zu\n",
                workers,
                after.activeTasks,
                starts / busySeconds,
                static_cast<double>(after.candidates - before.candidates) / starts,
                idleSeconds / Rounds * 1e6,
                blockedSeconds / Rounds * 1e6,
                reportSeconds / 10 / workers * 1e6,
                shard.bytesPerWorker());
}

/** Prints the heap bytes per task, pending and then running, for jobs of ten tasks on 1,200 workers. */
void printMemoryPerTask()
{
    constexpr int Tasks = 20000;
    PlacementSettings settings;
    settings.shardStartsPerSecond = settings.shardStartBurst = 1e9;
    settings.workerStartsPerSecond = settings.workerStartBurst = 1e9;
    PlacementEngine engine(settings);
    for (int it = 0; it < 1200; ++it) {
        Vm vm;
        vm.name = "w" + std::to_string(it);
        vm.capacity = {32000, 125000, 0};
        engine.setWorker(vm);
    }
    const std::size_t before = mallinfo2().uordblks;
    TimePoint now{std::chrono::hours(1)};
    for (JobId it = 1; it <= Tasks / 10; ++it) {
        engine.addJob(makeJob(it, false), now);
    }
    const std::size_t pendingBytes = mallinfo2().uordblks;
    {
        const Decisions decisions = engine.decide(now);
        std::printf("started %zu\n", decisions.starts.size());
    }
    const std::size_t runningBytes = mallinfo2().uordblks;
    std::printf("bytes per task, jobs of ten tasks: pending %zu, running %zu\n",
                (pendingBytes - before) / Tasks,
                (runningBytes - before) / Tasks);
}

void printCosts()
{
    std::printf("%7s %7s %10s %9s %9s %10s %12s %10s\n",
                "workers",
                "tasks",
                "starts/s",
                "compared",
                "idle us",
                "blocked us",
                "us/report",
                "B/worker");
    for (const int workers : {50, 65, 300, 600, 1200}) {
        printCostAt(workers);
    }
    printMemoryPerTask();
}

} // namespace

} // namespace QuetzalRock::Bench

int main()
{
    QuetzalRock::Bench::printCosts();
    return 0;
}
