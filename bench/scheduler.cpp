/**
 * Prints the cost of the scheduler of one shard: takeover, scheduler steps, journal records per start, lease renewals
 * and worker reports, the backlog after an outage of the key-value store, and the waiting time of urgent jobs. The load
 * runs in simulated time, on a clock that advances only between steps; processor times are real.
 *
 * Usage: benchscheduler
 */
#include "usage.h"

#include <journal/journal.h>
#include <placement/placementengine.h>
#include <platform/embeddedkeyvalue.h>
#include <platform/embeddedworkers.h>
#include <platform/faultykeyvalue.h>
#include <scheduler/codec.h>
#include <scheduler/scheduler.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

constexpr int DomainWorkers = 50;        // in each of 24 failure domains; the target is 1,200 workers in all
constexpr int DomainTasks = 27'300 / 24; // running tasks of one failure domain
constexpr int TargetTasks = 27'300;      // running tasks of the whole target
constexpr std::uint32_t TasksPerJob = 20;
constexpr Duration Tick = 100ms;

JobSpec makeJob(int number, const std::string &command, std::uint32_t tasks)
{
    JobSpec spec;
    spec.tenant = "tenant-" + std::to_string(number % 270);
    spec.name = "manifest-build-" + std::to_string(number);
    spec.className = "manifest";
    spec.taskCount = tasks;
    spec.resources = {1000, 3000, 0};
    spec.command = command;
    return spec;
}

JournalSettings journalSettings(const std::string &writer)
{
    JournalSettings settings;
    settings.name = "shard-1";
    settings.writer = writer;
    settings.chunkBytes = 400'000;
    return settings;
}

/** The key-value store and the workers of one failure domain. Must outlive the shard owners that use it. */
struct FailureDomain
{
    explicit FailureDomain(int workerCount)
    {
        settings.failureDomain = "muuga";
        for (int i = 0; i < workerCount; ++i) {
            const std::string rack = "rack-" + std::to_string(i / 8);
            const Resources capacity{32'000, 125'000, 0};
            workers.addVm(
                {"worker-" + std::to_string(i), VmRole::Worker, VmState::Live, "r", "muuga", rack, "", capacity});
        }
    }

    ManualClock clock;
    EmbeddedKeyValue service{clock};
    EmbeddedWorkers workers{clock, 5s};
    SchedulerSettings settings;
};

/** The journal, engine and scheduler of a process that owns the shard. */
struct ShardOwner
{
    ShardOwner(FailureDomain &domain, const std::string &writer)
        : domain(domain)
        , journal(faulty, journalSettings(writer))
        , scheduler(domain.settings, journal, engine, domain.workers, domain.workers, domain.clock)
    {
    }

    /** Advances simulated time by @p duration, with a scheduler step every Tick. */
    void run(Duration duration)
    {
        for (Duration passed{}; passed < duration; passed += Tick) {
            domain.clock.advance(Tick);
            scheduler.step(domain.clock.now());
            ++steps;
        }
    }

    FailureDomain &domain;
    FaultyKeyValue faulty{domain.service};
    Journal journal;
    PlacementEngine engine{PlacementSettings{}};
    ShardScheduler scheduler;
    int steps = 0;
};

/** Number of tasks with an active attempt. */
std::size_t countActiveTasks(const ShardState &state)
{
    std::size_t n = 0;
    for (const auto &[id, it] : state.jobs) {
        for (const TaskState &task : it.tasks) {
            n += task.active ? 1 : 0;
        }
    }
    return n;
}

/** Submits jobs that never end, with @p tasks tasks in total (rounded up to whole jobs), and lets them start. */
void runEndlessJobs(ShardOwner &owner, int tasks)
{
    for (int i = 0; i * static_cast<int>(TasksPerJob) < tasks; ++i) {
        owner.scheduler.submit(makeJob(i, "serve", TasksPerJob));
        owner.run(Tick);
    }
    owner.run(2min);
}

/**
 * Measures a takeover from the moment at which the lease has expired: replay by the new owner, reading the workers'
 * reports, and the first placement.
 */
void measureTakeover(FailureDomain &domain)
{
    ShardOwner newOwner(domain, "entry-2");
    double cpuBefore = cpuSeconds();
    newOwner.scheduler.takeOver();
    const double replaySeconds = cpuSeconds() - cpuBefore;
    const std::size_t activeTasks = countActiveTasks(newOwner.scheduler.state());
    std::future<JobId> submission = newOwner.scheduler.submit(makeJob(1'000'000, "run 60", 1));
    cpuBefore = cpuSeconds();
    int steps = 0;
    while (countActiveTasks(newOwner.scheduler.state()) == activeTasks && steps < 600) {
        domain.clock.advance(Tick);
        newOwner.scheduler.step(domain.clock.now());
        ++steps;
    }
    std::printf(
        "takeover, %zu tasks on %d workers: replay %.2f ms; first placement after %d steps of %lld ms, %.2f ms cpu\n",
        activeTasks,
        DomainWorkers,
        replaySeconds * 1e3,
        steps,
        static_cast<long long>(Tick / 1ms),
        (cpuSeconds() - cpuBefore) * 1e3);
}

/** Size of a worker report in the encoding of the records. */
std::size_t reportBytes(const WorkerReport &report)
{
    msgpack::sbuffer buffer;
    detail::FieldWriter writer(buffer);
    for (const AttemptReport &it : report.attempts) {
        writer(it.attempt, it.state, it.usage, it.progress, it.latencyMs, it.checkpoint, it.error);
    }
    return buffer.size();
}

/** Measures a failure domain of the target size in which no task starts or ends. */
void measureSteadyState()
{
    FailureDomain domain(DomainWorkers);
    ShardOwner owner(domain, "entry-1");
    owner.scheduler.takeOver();
    runEndlessJobs(owner, DomainTasks);
    const SchedulerCounters &counters = owner.scheduler.counters();
    const double perStart = static_cast<double>(counters.recordBytes) / static_cast<double>(counters.assigned);
    std::printf("records: %llu bytes in %llu records for %llu starts and %llu submissions: %.0f bytes/start\n",
                static_cast<unsigned long long>(counters.recordBytes),
                static_cast<unsigned long long>(counters.records),
                static_cast<unsigned long long>(counters.assigned),
                static_cast<unsigned long long>(counters.submitted),
                perStart);
    constexpr int Seconds = 600;
    const FleetCounters before = owner.scheduler.fleet().counters();
    const double cpuBefore = cpuSeconds();
    owner.steps = 0;
    owner.run(std::chrono::seconds(Seconds));
    const double cpu = cpuSeconds() - cpuBefore;
    const FleetCounters &after = owner.scheduler.fleet().counters();
    std::size_t bytes = 0;
    for (int i = 0; i < DomainWorkers; ++i) {
        bytes += reportBytes(domain.workers.report("worker-" + std::to_string(i)));
    }
    const double reports = static_cast<double>(after.reports - before.reports) / Seconds;
    std::printf(
        "steady state, %zu tasks on %d workers: %.1f us cpu per step, %.3f%% of a core (simulated workers included)\n",
        countActiveTasks(owner.scheduler.state()),
        DomainWorkers,
        cpu / owner.steps * 1e6,
        cpu / Seconds * 100);
    std::printf("  lease renewals %.0f bytes/s in %.1f calls/s; worker reports %.0f bytes/s in %.1f calls/s\n",
                static_cast<double>(after.renewalBytes - before.renewalBytes) / Seconds,
                static_cast<double>(after.renewals - before.renewals) / Seconds,
                reports * static_cast<double>(bytes) / DomainWorkers,
                reports);
    measureTakeover(domain);
}

/** Measures the encoding and decoding of a snapshot with @p tasks running tasks. */
void measureSnapshot(int tasks)
{
    ShardState state;
    for (int i = 0; i * static_cast<int>(TasksPerJob) < tasks; ++i) {
        JobSpec spec = makeJob(i, "serve", TasksPerJob);
        spec.id = static_cast<JobId>(i) + 1;
        state.apply(JobSubmitted{spec, WallTime(1)});
        for (std::uint32_t it = 0; it < TasksPerJob; ++it) {
            const AttemptId attempt{{spec.id, it}, 1};
            const std::string worker = "worker-" + std::to_string(it);
            state.apply(AttemptAssigned{attempt, worker, spec.resources, WallTime(2), "most room left after it"});
        }
    }
    double cpuBefore = cpuSeconds();
    const std::string snapshot = state.encode();
    const double encodeSeconds = cpuSeconds() - cpuBefore;
    const double heapBefore = heapBytes();
    cpuBefore = cpuSeconds();
    const ShardState read = ShardState::decode(snapshot, {});
    const double decodeSeconds = cpuSeconds() - cpuBefore;
    std::printf(
        "snapshot, %d tasks: %zu bytes (%.0f per task), encode %.2f ms, decode %.2f ms, heap %.0f bytes per task\n",
        tasks,
        snapshot.size(),
        static_cast<double>(snapshot.size()) / tasks,
        encodeSeconds * 1e3,
        decodeSeconds * 1e3,
        (heapBytes() - heapBefore) / tasks);
}

/** Measures how long the task ends of a 10 min outage of the key-value store take to be written after it. */
void measureOutage()
{
    FailureDomain domain(DomainWorkers);
    ShardOwner owner(domain, "entry-1");
    owner.scheduler.takeOver();
    for (int i = 0; i < 57; ++i) {
        owner.scheduler.submit(makeJob(i, "run " + std::to_string(120 + i * 5), TasksPerJob));
        owner.run(Tick);
    }
    owner.run(1min);
    owner.faulty.down = true;
    owner.run(10min);
    const std::size_t backlog = countActiveTasks(owner.scheduler.state());
    const SchedulerCounters before = owner.scheduler.counters();
    owner.faulty.down = false;
    int steps = 0;
    while (countActiveTasks(owner.scheduler.state()) > 0 && steps < 6000) {
        owner.run(Tick);
        ++steps;
    }
    std::printf("outage of 10 min: %zu task ends not written; all written %.1f s after the outage, in %llu appends\n",
                backlog,
                steps * std::chrono::duration<double>(Tick).count(),
                static_cast<unsigned long long>(owner.scheduler.counters().appends - before.appends));
}

/** Measures the time from the submission of an urgent job to its start, where batch tasks fill every worker. */
void measureUrgentStarts()
{
    FailureDomain domain(DomainWorkers);
    ShardOwner owner(domain, "entry-1");
    owner.scheduler.takeOver();
    runEndlessJobs(owner, 32 * DomainWorkers);
    const std::size_t activeTasks = countActiveTasks(owner.scheduler.state());
    Duration longestWait{};
    int started = 0;
    for (int i = 0; i < 60; ++i) {
        JobSpec spec = makeJob(2'000'000 + i, "serve", 1);
        spec.urgent = true;
        const TimePoint submittedAt = domain.clock.now();
        std::future<JobId> submission = owner.scheduler.submit(spec);
        owner.run(Tick);
        const TaskId task{submission.get(), 0};
        while (domain.workers.maxConcurrentAttempts(task) == 0 && domain.clock.now() - submittedAt < 1min) {
            owner.run(Tick);
        }
        started += domain.workers.maxConcurrentAttempts(task);
        longestWait = std::max(longestWait, domain.clock.now() - submittedAt);
        owner.run(2s);
    }
    std::printf("urgent jobs, %zu tasks running before: %d of 60 started, the slowest after %.1f s\n",
                activeTasks,
                started,
                std::chrono::duration<double>(longestWait).count());
}

} // namespace

int main()
{
    measureSteadyState();
    for (const int tasks : {DomainTasks, 5 * DomainTasks, TargetTasks}) {
        measureSnapshot(tasks);
    }
    measureOutage();
    measureUrgentStarts();
    return 0;
}
