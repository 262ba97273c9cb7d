/**
 * Fakes for tests of the scheduler.
 *
 * Index of this file
 *   FaultyLog        log in memory; can fail resolve() and simulate a crash of the process after an append
 *   FirstFitEngine   places pending tasks in order on the first worker with capacity; checks the order of calls to it
 *   FaultyAgent      one owner's connection to the workers; can fail, lose calls, and redeliver start commands
 */
#pragma once

#include <journal/memorylog.h>
#include <placement/engine.h>
#include <platform/platform.h>

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace QuetzalRock {

/** MemoryLog with two more faults. */
class FaultyLog final : public Log
{
public:
    explicit FaultyLog(MemoryLogStore &store)
        : memory(store)
    {
    }

    MemoryLog memory;
    int resolvesToFail = 0;        ///< number of next resolve() calls that throw OutcomeUnknown
    bool crashAfterAppend = false; ///< the next append takes effect, then throws ProcessCrash

    struct ProcessCrash
    {
    };

    Replay takeOver() override
    {
        return memory.takeOver();
    }

    void append(std::span<const std::string> records) override
    {
        memory.append(records);
        if (crashAfterAppend) {
            throw ProcessCrash();
        }
    }

    bool resolve() override
    {
        if (resolvesToFail > 0) {
            --resolvesToFail;
            throw OutcomeUnknown("outcome still unknown");
        }
        return memory.resolve();
    }

    void snapshot(std::string_view state) override
    {
        memory.snapshot(state);
    }

    bool snapshotDue() const override
    {
        return memory.snapshotDue();
    }

    std::size_t maxBatchBytes() const override
    {
        return memory.maxBatchBytes();
    }

    std::uint64_t epoch() const override
    {
        return memory.epoch();
    }
};

class FirstFitEngine final : public DecisionEngine
{
public:
    std::set<TaskId> tasksToEvict;         ///< the next decide() stops these with a checkpoint
    std::map<TaskId, int> tasksToThrottle; ///< the next decide() throttles these; value in permille
    bool ignoresCapacity = false;
    bool ignoresVmState = false; ///< also places tasks on workers that are not live

    void setWorker(const Vm &vm) override
    {
        m_workers[vm.name].vm = vm;
    }

    void addJob(const JobSpec &spec, TimePoint) override
    {
        for (std::uint32_t i = 0; i < spec.taskCount; ++i) {
            EXPECT_TRUE(m_tasks.emplace(TaskId{spec.id, i}, Task{spec.resources, {}, true}).second)
                << "job added twice";
        }
    }

    void removeTask(const TaskId &id) override
    {
        const auto it = m_tasks.find(id);
        if (it == m_tasks.end()) {
            return;
        }
        it->second.canStart = false;
        if (it->second.worker.empty()) {
            m_tasks.erase(it);
        }
    }

    void restoreAttempt(const TaskId &id, const WorkerId &worker, TimePoint) override
    {
        EXPECT_TRUE(m_workers.contains(worker));
        reserveCapacity(id, worker);
    }

    void abandonStart(const TaskId &id) override
    {
        releaseCapacity(id);
    }

    void endAttempt(const TaskId &id, AttemptState state, double, TimePoint) override
    {
        if (state == AttemptState::Finished) {
            m_tasks.at(id).canStart = false;
        }
        releaseCapacity(id);
    }

    void observe(const WorkerReport &, TimePoint) override
    {
        ++observed;
    }

    Decisions decide(TimePoint) override
    {
        Decisions decisions;
        for (const TaskId &it : tasksToEvict) {
            decisions.stops.push_back({it, StopMode::Checkpoint, {}, "evicted by the test"});
        }
        tasksToEvict.clear();
        for (const auto &[id, permille] : tasksToThrottle) {
            decisions.throttles.push_back({id, permille, "throttled by the test"});
        }
        tasksToThrottle.clear();
        for (auto &[id, task] : m_tasks) {
            if (!task.worker.empty() || !task.canStart) {
                continue;
            }
            for (auto &[name, worker] : m_workers) {
                const bool hasCapacity = ignoresCapacity || (worker.used + task.resources).fitsIn(worker.vm.capacity);
                if ((ignoresVmState || worker.vm.state == VmState::Live) && hasCapacity) {
                    reserveCapacity(id, name);
                    decisions.starts.push_back({id, name, "first fit"});
                    break;
                }
            }
        }
        return decisions;
    }

    std::string explain(const TaskId &) const override
    {
        return "no worker has capacity";
    }

    int observed = 0;

private:
    struct Task
    {
        Resources resources;
        WorkerId worker;
        bool canStart = true;
    };
    struct Worker
    {
        Vm vm;
        Resources used;
    };

    void reserveCapacity(const TaskId &id, const WorkerId &worker)
    {
        Task &task = m_tasks.at(id);
        EXPECT_TRUE(task.worker.empty()) << "task already has a worker";
        task.worker = worker;
        m_workers.at(worker).used += task.resources;
    }

    void releaseCapacity(const TaskId &id)
    {
        Task &task = m_tasks.at(id);
        EXPECT_FALSE(task.worker.empty()) << "task has no worker";
        m_workers.at(task.worker).used -= task.resources;
        task.worker.clear();
        if (!task.canStart) {
            m_tasks.erase(id);
        }
    }

    std::map<TaskId, Task> m_tasks;
    std::map<WorkerId, Worker> m_workers;
};

class FaultyAgent final : public WorkerAgent, public VmList
{
public:
    FaultyAgent(WorkerAgent &agent, VmList &list)
        : m_agent(agent)
        , m_list(list)
    {
    }

    bool isVmListDown = false;
    bool isDisconnected = false; ///< all calls to workers fail with Unavailable
    bool losesCalls = false;     ///< calls except report() have no effect and throw OutcomeUnknown
    std::vector<std::pair<WorkerId, StartCommand>> sentStarts;

    /** Delivers every start command that was ever sent once more. */
    void redeliverStarts()
    {
        for (const auto &[worker, command] : sentStarts) {
            try {
                m_agent.start(worker, command);
            } catch (const Error &) {
                continue; // a duplicate delivered by the network has no caller
            }
        }
    }

    void start(std::string_view worker, const StartCommand &command) override
    {
        sentStarts.emplace_back(worker, command);
        throwIfFaulty();
        m_agent.start(worker, command);
    }

    void renew(std::string_view worker, std::uint64_t epoch, std::span<const AttemptId> ids, Duration lease) override
    {
        throwIfFaulty();
        m_agent.renew(worker, epoch, ids, lease);
    }

    void stop(std::string_view worker, std::uint64_t epoch, const AttemptId &id, StopMode mode) override
    {
        throwIfFaulty();
        ++stops;
        m_agent.stop(worker, epoch, id, mode);
    }

    void throttle(std::string_view worker, std::uint64_t epoch, const AttemptId &id, int permille) override
    {
        throwIfFaulty();
        m_agent.throttle(worker, epoch, id, permille);
    }

    WorkerReport report(std::string_view worker) override
    {
        if (isDisconnected) {
            throw Unavailable("disconnected");
        }
        return m_agent.report(worker);
    }

    void forget(std::string_view worker, std::span<const AttemptId> attempts) override
    {
        throwIfFaulty();
        m_agent.forget(worker, attempts);
    }

    std::vector<Vm> vms() override
    {
        if (isVmListDown) {
            throw Unavailable("VM list unavailable");
        }
        return m_list.vms();
    }

    int stops = 0;

private:
    void throwIfFaulty() const
    {
        if (isDisconnected) {
            throw Unavailable("disconnected");
        }
        if (losesCalls) {
            throw OutcomeUnknown("response lost");
        }
    }

    WorkerAgent &m_agent;
    VmList &m_list;
};

} // namespace QuetzalRock
