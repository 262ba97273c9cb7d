/**
 * Fakes for tests of the scheduler.
 *
 * Index of this file
 *   ScriptedLog             a log in memory whose owner can die after an append
 *   FirstFitEngine          places pending tasks in order on the first worker with room; checks how it is called
 *   ShakyAgent              one owner's way to the workers: keeps starts, to deliver them again late; can cut the owner off
 */
#pragma once

#include <journal/memorylog.h>
#include <placement/engine.h>
#include <platform/platform.h>

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace QuetzalRock {

/** MemoryLog, and two faults more. */
class ScriptedLog final : public Log
{
public:
    explicit ScriptedLog(MemoryLogStore &store)
        : memory(store)
    {
    }

    MemoryLog memory;
    int refuseResolves = 0; ///< so many next resolve() leave the doubt
    bool dieAfter = false;  ///< the next append takes effect, and then the owner's process is gone: see Death

    struct Death
    {
    };

    Replay takeOver() override
    {
        return memory.takeOver();
    }

    void append(std::span<const std::string> records) override
    {
        memory.append(records);
        if (dieAfter) {
            throw Death();
        }
    }

    bool resolve() override
    {
        if (refuseResolves > 0) {
            --refuseResolves;
            throw OutcomeUnknown("still in doubt");
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
    std::set<TaskId> evict;         ///< stopped, with a checkpoint, by the next decide()
    std::map<TaskId, int> throttle; ///< by the next decide()
    bool ignoresRoom = false;
    bool ignoresState = false; ///< of VMs

    void setWorker(const Vm &vm) override
    {
        m_workers[vm.name].vm = vm;
    }

    void addJob(const JobSpec &spec, TimePoint) override
    {
        for (std::uint32_t i = 0; i < spec.taskCount; ++i) {
            EXPECT_TRUE(m_tasks.emplace(TaskId{spec.id, i}, Task{spec.resources, {}, true}).second) << "added twice";
        }
    }

    void removeTask(const TaskId &id) override
    {
        const auto it = m_tasks.find(id);
        if (it == m_tasks.end()) {
            return;
        }
        it->second.isWanted = false;
        if (it->second.worker.empty()) {
            m_tasks.erase(it);
        }
    }

    void restoreAttempt(const TaskId &id, const WorkerId &worker, TimePoint) override
    {
        EXPECT_TRUE(m_workers.contains(worker));
        hold(id, worker);
    }

    void abandonStart(const TaskId &id) override
    {
        release(id);
    }

    void endAttempt(const TaskId &id, AttemptState state, double, TimePoint) override
    {
        if (state == AttemptState::Finished) {
            m_tasks.at(id).isWanted = false;
        }
        release(id);
    }

    void observe(const WorkerReport &, TimePoint) override
    {
        ++observed;
    }

    Decisions decide(TimePoint) override
    {
        Decisions decisions;
        for (const TaskId &it : evict) {
            decisions.stops.push_back({it, StopMode::Checkpoint, {}, "evicted by the test"});
        }
        evict.clear();
        for (const auto &[id, permille] : throttle) {
            decisions.throttles.push_back({id, permille, "throttled by the test"});
        }
        throttle.clear();
        for (auto &[id, task] : m_tasks) {
            if (!task.worker.empty() || !task.isWanted) {
                continue;
            }
            for (auto &[name, worker] : m_workers) {
                const bool hasRoom = ignoresRoom || (worker.used + task.resources).fitsIn(worker.vm.capacity);
                if ((ignoresState || worker.vm.state == VmState::Live) && hasRoom) {
                    hold(id, name);
                    decisions.starts.push_back({id, name, "first fit"});
                    break;
                }
            }
        }
        return decisions;
    }

    std::string explain(const TaskId &) const override
    {
        return "no worker has room";
    }

    int observed = 0;

private:
    struct Task
    {
        Resources resources;
        WorkerId worker;
        bool isWanted = true;
    };
    struct Worker
    {
        Vm vm;
        Resources used;
    };

    void hold(const TaskId &id, const WorkerId &worker)
    {
        Task &task = m_tasks.at(id);
        EXPECT_TRUE(task.worker.empty()) << "held twice";
        task.worker = worker;
        m_workers.at(worker).used += task.resources;
    }

    void release(const TaskId &id)
    {
        Task &task = m_tasks.at(id);
        EXPECT_FALSE(task.worker.empty()) << "ended what does not run";
        m_workers.at(task.worker).used -= task.resources;
        task.worker.clear();
        if (!task.isWanted) {
            m_tasks.erase(id);
        }
    }

    std::map<TaskId, Task> m_tasks;
    std::map<WorkerId, Worker> m_workers;
};

class ShakyAgent final : public WorkerAgent, public VmList
{
public:
    ShakyAgent(WorkerAgent &agent, VmList &list)
        : m_agent(agent)
        , m_list(list)
    {
    }

    bool listDown = false;
    bool cutOff = false;     ///< this owner reaches no worker
    bool losesCalls = false; ///< calls but report() have no effect, and their answers are lost
    std::vector<std::pair<WorkerId, StartCommand>> sentStarts;

    /** Delivers every start that was ever sent once more. */
    void deliverStartsAgain()
    {
        for (const auto &[worker, command] : sentStarts) {
            try {
                m_agent.start(worker, command);
            } catch (const Error &) {
                continue; // a duplicate in the network has nobody to tell
            }
        }
    }

    void start(std::string_view worker, const StartCommand &command) override
    {
        sentStarts.emplace_back(worker, command);
        checkCall();
        m_agent.start(worker, command);
    }

    void renew(std::string_view worker, std::uint64_t epoch, std::span<const AttemptId> ids, Duration lease) override
    {
        checkCall();
        m_agent.renew(worker, epoch, ids, lease);
    }

    void stop(std::string_view worker, std::uint64_t epoch, const AttemptId &id, StopMode mode) override
    {
        checkCall();
        ++stops;
        m_agent.stop(worker, epoch, id, mode);
    }

    void throttle(std::string_view worker, std::uint64_t epoch, const AttemptId &id, int permille) override
    {
        checkCall();
        m_agent.throttle(worker, epoch, id, permille);
    }

    WorkerReport report(std::string_view worker) override
    {
        if (cutOff) {
            throw Unavailable("cut off");
        }
        return m_agent.report(worker);
    }

    void forget(std::string_view worker, std::span<const AttemptId> attempts) override
    {
        checkCall();
        m_agent.forget(worker, attempts);
    }

    std::vector<Vm> vms() override
    {
        if (listDown) {
            throw Unavailable("list is down");
        }
        return m_list.vms();
    }

    int stops = 0;

private:
    void checkCall() const
    {
        if (cutOff) {
            throw Unavailable("cut off");
        }
        if (losesCalls) {
            throw OutcomeUnknown("lost");
        }
    }

    WorkerAgent &m_agent;
    VmList &m_list;
};

} // namespace QuetzalRock
