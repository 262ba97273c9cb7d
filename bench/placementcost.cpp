/**
 * Placement: the cost of decisions, of reports and of memory at the size of a shard up to the whole target.
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

constexpr double TargetMs = 100;

JobSpec costJob(JobId id, bool service)
{
    JobSpec spec;
    spec.id = id;
    spec.name = "job";
    spec.className = (service ? "service" : "batch") + std::to_string(id % 6);
    spec.tenant = "tenant" + std::to_string(id % 270);
    spec.kind = service ? WorkloadKind::Service : WorkloadKind::Batch;
    spec.latencyTargetMs = service ? TargetMs : 0;
    spec.taskCount = 10;
    spec.resources = {1000, 2000, 0};
    return spec;
}

double secondsOf(const std::function<void()> &work)
{
    const SystemClock clock;
    const TimePoint begin = clock.now();
    work();
    return std::chrono::duration<double>(clock.now() - begin).count();
}

/** One shard full of work, and its worker reports. */
class FullShard
{
public:
    explicit FullShard(int workers)
        : m_engine(unpaced())
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
        place(7300 * workers / 1200, true);
        report();
        const int batch = 20000 * workers / 1200;
        for (int it = 0; it < batch; it += 1000) {
            place(std::min(1000, batch - it), false);
            report();
        }
    }

    void place(int tasks, bool service)
    {
        for (int it = 0; it < tasks; it += 10) {
            JobSpec spec = costJob(++m_lastJob, service);
            spec.taskCount = static_cast<std::uint32_t>(std::min(10, tasks - it));
            m_engine.addJob(spec, m_now);
        }
        m_now += std::chrono::milliseconds(100);
        for (const StartDecision &it : m_engine.decide(m_now).starts) {
            AttemptReport entry;
            entry.attempt = {it.task, 1};
            entry.state = AttemptState::Running;
            entry.usage = {service ? 500 : 1000, 1000, 0};
            entry.latencyMs = service ? 30 : 0;
            m_reports[it.worker].attempts.push_back(entry);
            if (!service) {
                m_running.push_back(it.task);
            }
        }
    }

    void end(int tasks)
    {
        for (int it = 0; it < tasks && !m_running.empty(); ++it) {
            m_engine.endAttempt(m_running.front(), AttemptState::Finished, 1, m_now);
            m_running.pop_front();
        }
    }

    /** Every worker reports once. */
    void report()
    {
        m_now += std::chrono::seconds(2);
        for (auto &[name, it] : m_reports) {
            it.worker = name;
            it.workerClock = std::chrono::duration_cast<WorkerTime>(m_now.time_since_epoch());
            it.measuredAt = it.workerClock;
            m_engine.observe(it, m_now);
        }
    }

    void idle()
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
    static PlacementSettings unpaced()
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

void costAt(int workers)
{
    constexpr int Rounds = 100;
    constexpr int PerRound = 120; // 1,200 starts a second, ten decisions a second
    FullShard shard(workers);
    const PlacementCounters before = shard.counters();
    const double busy = secondsOf([&shard] {
        for (int it = 0; it < Rounds; ++it) {
            shard.end(PerRound);
            shard.place(PerRound, false);
        }
    });
    const PlacementCounters after = shard.counters();
    const double idle = secondsOf([&shard] {
        for (int it = 0; it < Rounds; ++it) {
            shard.idle();
        }
    });
    const double reports = secondsOf([&shard] {
        for (int it = 0; it < 10; ++it) {
            shard.report();
        }
    });
    shard.place(25 * workers, false); // more than fits
    const double blocked = secondsOf([&shard] {
        for (int it = 0; it < Rounds; ++it) {
            shard.idle();
        }
    });
    const auto starts = static_cast<double>(after.starts - before.starts);
    std::printf("%7d %7u %10.0f %9.1f %9.1f %10.1f %12.2f %10zu\n",
                workers,
                after.activeTasks,
                starts / busy,
                static_cast<double>(after.candidates - before.candidates) / starts,
                idle / Rounds * 1e6,
                blocked / Rounds * 1e6,
                reports / 10 / workers * 1e6,
                shard.bytesPerWorker());
}

/** Bytes of one more task: what a second job's tasks add. */
void memoryPerTask()
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
        engine.addJob(costJob(it, false), now);
    }
    const std::size_t pending = mallinfo2().uordblks;
    {
        const Decisions decisions = engine.decide(now);
        std::printf("started %zu\n", decisions.starts.size());
    }
    const std::size_t running = mallinfo2().uordblks;
    std::printf("bytes a task, jobs of ten: pending %zu, running %zu\n",
                (pending - before) / Tasks,
                (running - before) / Tasks);
}

void cost()
{
    std::printf("%7s %7s %10s %9s %9s %10s %12s %10s\n",
                "workers",
                "tasks",
                "starts/s",
                "compared",
                "idle us",
                "blocked us",
                "us a report",
                "B/worker");
    for (const int workers : {50, 65, 300, 600, 1200}) {
        costAt(workers);
    }
    memoryPerTask();
}

} // namespace

} // namespace QuetzalRock::Bench

int main()
{
    QuetzalRock::Bench::cost();
    return 0;
}
