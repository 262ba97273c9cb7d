/** Invariants of the engine under random sequences of events. */
#include "fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <sstream>

using namespace QuetzalRock;
using namespace QuetzalRock::Testing;

namespace {

constexpr int WorkerCount = 6;
constexpr std::int64_t Cores = 8;

/** Simulates the scheduler and the workers. Keeps its own record of tasks, independent of the engine. */
class SchedulerSimulation
{
public:
    explicit SchedulerSimulation(std::uint64_t seed)
        : m_random(seed)
        , m_engine(settings())
    {
        for (int it = 0; it < WorkerCount; ++it) {
            m_vms.push_back(makeWorker(it, Cores));
            m_engine.setWorker(m_vms.back());
        }
        m_engine.setTenants(std::vector<TenantShardQuota>{{"a", 2}, {"b", 1, {20000, Unlimited, 0}}});
    }

    static PlacementSettings settings()
    {
        PlacementSettings settings;
        settings.evictionsPerMinute = 3;
        settings.urgentEvictionsPerMinute = 1;
        settings.faultyJobWorkers = 1000; // no job is stopped as faulty, so every job can finish
        return settings;
    }

    void step()
    {
        m_now += Duration(std::chrono::milliseconds(100 + m_random.next() % 1500));
        switch (m_random.next() % 8) {
        case 0:
            addJob();
            break;
        case 1:
        case 2:
            endRandomTask();
            break;
        case 3:
            removeRandomTask();
            break;
        case 4:
            toggleRandomWorker();
            break;
        default:
            reportWorker(static_cast<int>(m_random.next() % WorkerCount));
            break;
        }
        decide();
    }

    /** Lets all attempts succeed from now on; false if a task that was not removed is unfinished after many rounds. */
    bool drain()
    {
        for (Vm &it : m_vms) {
            it.state = VmState::Live;
            m_engine.setWorker(it);
        }
        for (int round = 0; round < 4000 && !(m_wanted.empty() && m_active.empty()); ++round) {
            m_now += std::chrono::seconds(5);
            decide();
            const auto active = m_active;
            for (const auto &[task, worker] : active) {
                endTask(task, AttemptState::Finished);
            }
        }
        return m_wanted.empty() && m_active.empty();
    }

    std::string log() const
    {
        return m_log.str();
    }

    std::string violation; ///< the first violated invariant; empty: none

private:
    void addJob()
    {
        JobSpec spec
            = makeJob(++m_lastJob, 1 + m_random.next() % 6, 1 + static_cast<std::int64_t>(m_random.next() % 8));
        spec.tenant = m_random.next() % 2 == 0 ? "a" : "b";
        spec.kind = static_cast<WorkloadKind>(m_random.next() % 3);
        spec.latencyTargetMs = spec.kind == WorkloadKind::Service ? 100 : 0;
        spec.className = std::to_string(m_random.next() % 4);
        spec.priority = static_cast<int>(m_random.next() % 3);
        spec.urgent = m_random.next() % 5 == 0;
        spec.gang = m_random.next() % 5 == 0 && spec.taskCount * spec.resources.cpuMillis <= 16000;
        for (std::uint32_t it = 0; it < spec.taskCount; ++it) {
            m_wanted[{spec.id, it}] = spec.resources;
        }
        m_specs[spec.id] = spec;
        m_engine.addJob(spec, m_now);
    }

    void endTask(const TaskId &task, AttemptState state)
    {
        m_active.erase(task);
        if (state == AttemptState::Finished) {
            m_wanted.erase(task);
        }
        m_engine.endAttempt(task, state, 0.5, m_now);
    }

    void endRandomTask()
    {
        if (m_active.empty()) {
            return;
        }
        auto it = m_active.begin();
        std::advance(it, m_random.next() % m_active.size());
        const TaskId task = it->first;
        if (m_random.next() % 8 == 0) {
            m_active.erase(it);
            m_engine.abandonStart(task);
            return;
        }
        constexpr AttemptState Ends[]
            = {AttemptState::Finished, AttemptState::Failed, AttemptState::Stopped, AttemptState::Barred};
        endTask(task, Ends[m_random.next() % 4]);
    }

    void removeRandomTask()
    {
        if (!m_wanted.empty()) {
            auto it = m_wanted.begin();
            std::advance(it, m_random.next() % m_wanted.size());
            m_engine.removeTask(it->first);
            m_wanted.erase(it);
        }
    }

    void toggleRandomWorker()
    {
        Vm &vm = m_vms[m_random.next() % WorkerCount];
        vm.state = vm.state == VmState::Live ? VmState::Leaving : VmState::Live;
        m_engine.setWorker(vm);
    }

    void reportWorker(int number)
    {
        const double now = std::chrono::duration<double>(m_now.time_since_epoch()).count();
        WorkerReport report = makeReport(m_vms[number].name, now, now - static_cast<double>(m_random.next() % 10));
        for (const auto &[task, worker] : m_active) {
            if (worker == report.worker) {
                const double latency = std::exp(3 + 3 * m_random.unit()); // 20 to 400 ms with a target of 100 ms
                report.attempts.push_back(makeEntry(task, static_cast<std::int64_t>(m_random.next() % 8000), latency));
                report.attempts.back().attempt.number = 1000; // above every minAttempt, so never stale
            }
        }
        m_engine.observe(report, m_now);
    }

    void decide()
    {
        const Decisions decisions = m_engine.decide(m_now);
        for (const StartDecision &it : decisions.starts) {
            checkStart(it);
            m_active[it.task] = it.worker;
            m_log << toString(it.task) << ">" << it.worker << " " << it.reason << "\n";
        }
        for (const StopDecision &it : decisions.stops) {
            m_stops.push_back(m_now);
            m_log << toString(it.task) << "!\n";
        }
        for (const ThrottleDecision &it : decisions.throttles) {
            m_log << toString(it.task) << "~" << it.permille << "\n";
        }
        while (!m_stops.empty() && m_stops.front() < m_now - std::chrono::minutes(1)) {
            m_stops.pop_front();
        }
        checkInvariant(m_stops.size() <= 3, "more evictions in a minute than allowed");
        checkLedger();
    }

    void checkStart(const StartDecision &start)
    {
        checkInvariant(!m_active.contains(start.task), "a task started while it is active");
        checkInvariant(m_wanted.contains(start.task), "a start of a removed or finished task");
        for (const Vm &it : m_vms) {
            checkInvariant(it.name != start.worker || it.state == VmState::Live, "a start on a leaving worker");
        }
        checkInvariant(m_engine.workerHealth(start.worker) != WorkerHealth::Quarantined,
                       "a start on a quarantined worker");
    }

    void checkLedger()
    {
        std::map<WorkerId, Resources> taken;
        std::int64_t usageOfTenantB = 0;
        for (const auto &[task, worker] : m_active) {
            const JobSpec &spec = m_specs.at(task.job);
            taken[worker] += spec.resources;
            usageOfTenantB += spec.tenant == "b" ? spec.resources.cpuMillis : 0;
        }
        for (const auto &[worker, it] : taken) {
            checkInvariant(it.fitsIn(makeWorker(0, Cores).capacity), "reservations exceed the worker's capacity");
        }
        checkInvariant(usageOfTenantB <= 20000, "a tenant exceeds its quota");
    }

    void checkInvariant(bool holds, const char *invariant)
    {
        if (!holds && violation.empty()) {
            violation = invariant;
        }
    }

    detail::Random m_random;
    PlacementEngine m_engine;
    TimePoint m_now = at(0);
    std::vector<Vm> m_vms;
    std::map<JobId, JobSpec> m_specs;
    std::map<TaskId, Resources> m_wanted;
    std::map<TaskId, WorkerId> m_active;
    std::deque<TimePoint> m_stops;
    std::ostringstream m_log;
    JobId m_lastJob = 0;
};

} // namespace

RC_GTEST_PROP(PlacementInvariants, HoldInAnyOrderOfEvents, (std::uint64_t seed))
{
    SchedulerSimulation simulation(seed);
    for (int it = 0; it < 400; ++it) {
        simulation.step();
    }
    RC_LOG() << simulation.violation;
    RC_ASSERT(simulation.violation.empty());
}

RC_GTEST_PROP(PlacementInvariants, EveryTaskEventuallyRuns, (std::uint64_t seed))
{
    SchedulerSimulation simulation(seed);
    for (int it = 0; it < 150; ++it) {
        simulation.step();
    }
    RC_ASSERT(simulation.drain());
    RC_ASSERT(simulation.violation.empty());
}

RC_GTEST_PROP(PlacementInvariants, SameSeedAndEventsGiveTheSameDecisions, (std::uint64_t seed))
{
    SchedulerSimulation first(seed);
    SchedulerSimulation second(seed);
    for (int it = 0; it < 200; ++it) {
        first.step();
        second.step();
    }
    RC_ASSERT(first.log() == second.log());
}
