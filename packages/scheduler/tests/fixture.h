/** Test fixture: one shard with embedded workers and a clock that the test advances. */
#pragma once

#include "fakes.h"

#include <platform/embeddedworkers.h>
#include <scheduler/scheduler.h>

namespace QuetzalRock {

template<typename T>
inline bool isReady(const std::future<T> &future)
{
    return future.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

inline JobSpec batchJob(const std::string &name, const std::string &command = "run 20", std::uint32_t taskCount = 1)
{
    JobSpec spec;
    spec.tenant = "coop";
    spec.name = name;
    spec.className = "manifest";
    spec.taskCount = taskCount;
    spec.resources = {8000, 1000, 0};
    spec.command = command;
    return spec;
}

inline JobSpec serviceJob(const std::string &name)
{
    JobSpec spec = batchJob(name, "serve");
    spec.kind = WorkloadKind::Service;
    return spec;
}

/** One process that can own the shard. The store and the workers are shared between owners and outlive them. */
struct Owner
{
    Owner(ManualClock &clock, MemoryLogStore &store, EmbeddedWorkers &workers, const SchedulerSettings &settings)
        : log(store)
        , agent(workers, workers)
        , scheduler(settings, log, engine, agent, agent, clock)
    {
    }

    FaultyLog log;
    FaultyAgent agent;
    FirstFitEngine engine;
    ShardScheduler scheduler;
};

struct SchedulerTest : public testing::Test
{
    void SetUp() override
    {
        settings.shard = 7;
        settings.failureDomain = "muuga";
        addWorker("w1");
        addWorker("w2");
        owner = makeOwner();
        owner->scheduler.takeOver();
    }

    void addWorker(const std::string &name)
    {
        workers.addVm({name, VmRole::Worker, VmState::Live, "baltic-north", "muuga", "r1", "", {16000, 64000, 0}});
    }

    std::unique_ptr<Owner> makeOwner()
    {
        return std::make_unique<Owner>(clock, store, workers, settings);
    }

    void runFor(Duration duration, Duration every = std::chrono::milliseconds(100))
    {
        for (Duration passed{}; passed < duration; passed += every) {
            clock.advance(every);
            owner->scheduler.step(clock.now());
        }
    }

    JobId submit(const JobSpec &spec)
    {
        std::future<JobId> answer = owner->scheduler.submit(spec);
        runFor(std::chrono::milliseconds(200));
        return answer.get();
    }

    /** Makes a new owner take over. The previous one is kept in pausedOwner, where a test can resume it. */
    void replaceOwner()
    {
        pausedOwner = std::move(owner);
        owner = makeOwner();
        owner->scheduler.takeOver();
    }

    template<typename T>
    T await(std::future<T> answer)
    {
        owner->scheduler.step(clock.now());
        return answer.get();
    }

    JobPhase jobPhase(JobId job)
    {
        return await(owner->scheduler.describe(job)).phase;
    }

    TaskStatus taskStatus(JobId job, std::uint32_t index = 0)
    {
        return await(owner->scheduler.describe(job)).tasks.at(index);
    }

    ManualClock clock;
    EmbeddedWorkers workers{clock, std::chrono::seconds(5)};
    MemoryLogStore store;
    SchedulerSettings settings;
    std::unique_ptr<Owner> owner;
    std::unique_ptr<Owner> pausedOwner;
};

} // namespace QuetzalRock
