/**
 * What the scheduler of a shard costs: takeover, steps, records of a start, renewals and reports, the backlog after an
 * outage, the wait of urgent work. Time of the load is simulated by a clock that stands still; processor time is not.
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

constexpr int DomainWorkers = 50;        // of the target's 1,200, in one of 24 failure domains
constexpr int DomainTasks = 27'300 / 24; // running there
constexpr int AllTasks = 27'300;
constexpr std::uint32_t TasksPerJob = 20;
constexpr Duration Tick = 100ms;

JobSpec job(int number, const std::string &command, std::uint32_t tasks)
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

JournalSettings ring(const std::string &writer)
{
    JournalSettings settings;
    settings.name = "shard-1";
    settings.writer = writer;
    settings.chunkBytes = 400'000;
    return settings;
}

/** The platform and the workers of one failure domain; they outlive the owners. */
struct Domain
{
    explicit Domain(int workerCount)
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

/** One process that owns the shard. */
struct Owner
{
    Owner(Domain &domain, const std::string &writer)
        : domain(domain)
        , journal(faulty, ring(writer))
        , scheduler(domain.settings, journal, engine, domain.workers, domain.workers, domain.clock)
    {
    }

    void run(Duration duration)
    {
        for (Duration passed{}; passed < duration; passed += Tick) {
            domain.clock.advance(Tick);
            scheduler.step(domain.clock.now());
            ++steps;
        }
    }

    Domain &domain;
    FaultyKeyValue faulty{domain.service};
    Journal journal;
    PlacementEngine engine{PlacementSettings{}};
    ShardScheduler scheduler;
    int steps = 0;
};

std::size_t countHeld(const ShardState &state)
{
    std::size_t n = 0;
    for (const auto &[id, it] : state.jobs) {
        for (const TaskState &task : it.tasks) {
            n += task.active ? 1 : 0;
        }
    }
    return n;
}

void fill(Owner &owner, int tasks)
{
    for (int i = 0; i * static_cast<int>(TasksPerJob) < tasks; ++i) {
        owner.scheduler.submit(job(i, "serve", TasksPerJob));
        owner.run(Tick);
    }
    owner.run(2min);
}

/** From the lapse of the lease: the successor's replay, read-back of the workers, and a first placement. */
void measureTakeover(Domain &domain)
{
    Owner next(domain, "entry-2");
    double began = cpuSeconds();
    next.scheduler.takeOver();
    const double replay = cpuSeconds() - began;
    const std::size_t held = countHeld(next.scheduler.state());
    std::future<JobId> answer = next.scheduler.submit(job(1'000'000, "run 60", 1));
    began = cpuSeconds();
    int steps = 0;
    while (countHeld(next.scheduler.state()) == held && steps < 600) {
        domain.clock.advance(Tick);
        next.scheduler.step(domain.clock.now());
        ++steps;
    }
    std::printf(
        "takeover, %zu tasks on %d workers: replay %.2f ms; to the first placement %d steps of %lld ms, %.2f ms cpu\n",
        held,
        DomainWorkers,
        replay * 1e3,
        steps,
        static_cast<long long>(Tick / 1ms),
        (cpuSeconds() - began) * 1e3);
}

std::size_t reportBytes(const WorkerReport &report)
{
    msgpack::sbuffer buffer;
    detail::FieldWriter writer(buffer);
    for (const AttemptReport &it : report.attempts) {
        writer(it.attempt, it.state, it.usage, it.progress, it.latencyMs, it.checkpoint, it.error);
    }
    return buffer.size();
}

/** A domain at its target size, where nothing begins or ends. */
void measureSteady()
{
    Domain domain(DomainWorkers);
    Owner owner(domain, "entry-1");
    owner.scheduler.takeOver();
    fill(owner, DomainTasks);
    const SchedulerCounters &counters = owner.scheduler.counters();
    const double perStart = static_cast<double>(counters.recordBytes) / static_cast<double>(counters.assigned);
    std::printf("records: %llu bytes in %llu records for %llu starts and %llu submissions: %.0f bytes a start\n",
                static_cast<unsigned long long>(counters.recordBytes),
                static_cast<unsigned long long>(counters.records),
                static_cast<unsigned long long>(counters.assigned),
                static_cast<unsigned long long>(counters.submitted),
                perStart);
    constexpr int Seconds = 600;
    const FleetCounters before = owner.scheduler.fleet().counters();
    const double began = cpuSeconds();
    owner.steps = 0;
    owner.run(std::chrono::seconds(Seconds));
    const double cpu = cpuSeconds() - began;
    const FleetCounters &after = owner.scheduler.fleet().counters();
    std::size_t bytes = 0;
    for (int i = 0; i < DomainWorkers; ++i) {
        bytes += reportBytes(domain.workers.report("worker-" + std::to_string(i)));
    }
    const double reports = static_cast<double>(after.reports - before.reports) / Seconds;
    std::printf("steady, %zu tasks on %d workers: %.1f us cpu a step, %.3f%% of a core (workers' fake included)\n",
                countHeld(owner.scheduler.state()),
                DomainWorkers,
                cpu / owner.steps * 1e6,
                cpu / Seconds * 100);
    std::printf("  renewals %.0f bytes/s in %.1f calls/s; reports %.0f bytes/s in %.1f calls/s\n",
                static_cast<double>(after.renewalBytes - before.renewalBytes) / Seconds,
                static_cast<double>(after.renewals - before.renewals) / Seconds,
                reports * static_cast<double>(bytes) / DomainWorkers,
                reports);
    measureTakeover(domain);
}

void measureReplay(int tasks)
{
    ShardState state;
    for (int i = 0; i * static_cast<int>(TasksPerJob) < tasks; ++i) {
        JobSpec spec = job(i, "serve", TasksPerJob);
        spec.id = static_cast<JobId>(i) + 1;
        state.apply(JobSubmitted{spec, WallTime(1)});
        for (std::uint32_t it = 0; it < TasksPerJob; ++it) {
            const AttemptId attempt{{spec.id, it}, 1};
            const std::string worker = "worker-" + std::to_string(it);
            state.apply(AttemptAssigned{attempt, worker, spec.resources, WallTime(2), "most room left after it"});
        }
    }
    double began = cpuSeconds();
    const std::string snapshot = state.encode();
    const double encoding = cpuSeconds() - began;
    const double heap = heapBytes();
    began = cpuSeconds();
    const ShardState read = ShardState::decode(snapshot, {});
    const double decoding = cpuSeconds() - began;
    std::printf(
        "replay, %d tasks: snapshot %zu bytes (%.0f a task), encode %.2f ms, decode %.2f ms, state %.0f bytes a task\n",
        tasks,
        snapshot.size(),
        static_cast<double>(snapshot.size()) / tasks,
        encoding * 1e3,
        decoding * 1e3,
        (heapBytes() - heap) / tasks);
}

void measureOutage()
{
    Domain domain(DomainWorkers);
    Owner owner(domain, "entry-1");
    owner.scheduler.takeOver();
    for (int i = 0; i < 57; ++i) {
        owner.scheduler.submit(job(i, "run " + std::to_string(120 + i * 5), TasksPerJob));
        owner.run(Tick);
    }
    owner.run(1min);
    owner.faulty.down = true;
    owner.run(10min);
    const std::size_t backlog = countHeld(owner.scheduler.state());
    const SchedulerCounters before = owner.scheduler.counters();
    owner.faulty.down = false;
    int steps = 0;
    while (countHeld(owner.scheduler.state()) > 0 && steps < 6000) {
        owner.run(Tick);
        ++steps;
    }
    std::printf("outage of 10 min: %zu ends unwritten; all written %.1f s after the return, in %llu appends\n",
                backlog,
                steps * std::chrono::duration<double>(Tick).count(),
                static_cast<unsigned long long>(owner.scheduler.counters().appends - before.appends));
}

/** From submission to the start on the worker, where batch work fills every worker. */
void measureUrgent()
{
    Domain domain(DomainWorkers);
    Owner owner(domain, "entry-1");
    owner.scheduler.takeOver();
    fill(owner, 32 * DomainWorkers);
    const std::size_t held = countHeld(owner.scheduler.state());
    Duration worst{};
    int begun = 0;
    for (int i = 0; i < 60; ++i) {
        JobSpec spec = job(2'000'000 + i, "serve", 1);
        spec.urgent = true;
        const TimePoint submitted = domain.clock.now();
        std::future<JobId> answer = owner.scheduler.submit(spec);
        owner.run(Tick);
        const TaskId task{answer.get(), 0};
        while (domain.workers.maxConcurrentAttempts(task) == 0 && domain.clock.now() - submitted < 1min) {
            owner.run(Tick);
        }
        begun += domain.workers.maxConcurrentAttempts(task);
        worst = std::max(worst, domain.clock.now() - submitted);
        owner.run(2s);
    }
    std::printf("urgent, %zu tasks held before: %d of 60 begun, the slowest after %.1f s\n",
                held,
                begun,
                std::chrono::duration<double>(worst).count());
}

} // namespace

int main()
{
    measureSteady();
    for (const int tasks : {DomainTasks, 5 * DomainTasks, AllTasks}) {
        measureReplay(tasks);
    }
    measureOutage();
    measureUrgent();
    return 0;
}
