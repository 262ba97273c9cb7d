/** Promises of the engine under random orders of events. */
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

/** Plays the scheduler and the workers, by an account of its own that shares nothing with the engine's. */
class Play
{
public:
    explicit Play(std::uint64_t seed)
        : m_random(seed)
        , m_engine(settings())
    {
        for (int it = 0; it < WorkerCount; ++it) {
            m_vms.push_back(makeWorker(it, Cores));
            m_engine.setWorker(m_vms.back());
        }
        m_engine.setTenants(std::vector<TenantAllotment>{{"a", 2}, {"b", 1, {20000, Unlimited, 0}}});
    }

    static PlacementSettings settings()
    {
        PlacementSettings settings;
        settings.evictionsPerMinute = 3;
        settings.urgentEvictionsPerMinute = 1;
        settings.faultyJobWorkers = 1000; // so that every job may finish
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
            endOne();
            break;
        case 3:
            removeOne();
            break;
        case 4:
            changeWorker();
            break;
        default:
            report(static_cast<int>(m_random.next() % WorkerCount));
            break;
        }
        decide();
    }

    /** Lets everything end well; false where a task that is wanted has not run after a long time. */
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
                finish(task, AttemptState::Finished);
            }
        }
        return m_wanted.empty() && m_active.empty();
    }

    std::string log() const
    {
        return m_log.str();
    }

    std::string broken; ///< the first promise that was broken

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

    void finish(const TaskId &task, AttemptState state)
    {
        m_active.erase(task);
        if (state == AttemptState::Finished) {
            m_wanted.erase(task);
        }
        m_engine.endAttempt(task, state, 0.5, m_now);
    }

    void endOne()
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
        finish(task, Ends[m_random.next() % 4]);
    }

    void removeOne()
    {
        if (!m_wanted.empty()) {
            auto it = m_wanted.begin();
            std::advance(it, m_random.next() % m_wanted.size());
            m_engine.removeTask(it->first);
            m_wanted.erase(it);
        }
    }

    void changeWorker()
    {
        Vm &vm = m_vms[m_random.next() % WorkerCount];
        vm.state = vm.state == VmState::Live ? VmState::Leaving : VmState::Live;
        m_engine.setWorker(vm);
    }

    void report(int number)
    {
        const double now = std::chrono::duration<double>(m_now.time_since_epoch()).count();
        WorkerReport report = makeReport(m_vms[number].name, now, now - static_cast<double>(m_random.next() % 10));
        for (const auto &[task, worker] : m_active) {
            if (worker == report.worker) {
                const double latency = std::exp(3 + 3 * m_random.unit()); // 20 to 400 ms against 100
                report.attempts.push_back(makeEntry(task, static_cast<std::int64_t>(m_random.next() % 8000), latency));
                report.attempts.back().attempt.number = 1000; // never stale
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
        require(m_stops.size() <= 3, "evictions in a minute");
        checkLedger();
    }

    void checkStart(const StartDecision &start)
    {
        require(!m_active.contains(start.task), "a task started twice");
        require(m_wanted.contains(start.task), "a start of what is not wanted");
        for (const Vm &it : m_vms) {
            require(it.name != start.worker || it.state == VmState::Live, "a start on a worker that leaves");
        }
        require(m_engine.workerHealth(start.worker) != WorkerHealth::Quarantined, "a start on a quarantined worker");
    }

    void checkLedger()
    {
        std::map<WorkerId, Resources> taken;
        std::int64_t ofTenantB = 0;
        for (const auto &[task, worker] : m_active) {
            const JobSpec &spec = m_specs.at(task.job);
            taken[worker] += spec.resources;
            ofTenantB += spec.tenant == "b" ? spec.resources.cpuMillis : 0;
        }
        for (const auto &[worker, it] : taken) {
            require(it.fitsIn(makeWorker(0, Cores).capacity), "more reserved than the worker has");
        }
        require(ofTenantB <= 20000, "a tenant beyond its allotment");
    }

    void require(bool holds, const char *promise)
    {
        if (!holds && broken.empty()) {
            broken = promise;
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

RC_GTEST_PROP(Promises, HoldInAnyOrderOfEvents, (std::uint64_t seed))
{
    Play play(seed);
    for (int it = 0; it < 400; ++it) {
        play.step();
    }
    RC_LOG() << play.broken;
    RC_ASSERT(play.broken.empty());
}

RC_GTEST_PROP(Promises, NothingStarves, (std::uint64_t seed))
{
    Play play(seed);
    for (int it = 0; it < 150; ++it) {
        play.step();
    }
    RC_ASSERT(play.drain());
    RC_ASSERT(play.broken.empty());
}

RC_GTEST_PROP(Promises, SameSeedAndEventsGiveTheSameDecisions, (std::uint64_t seed))
{
    Play first(seed);
    Play second(seed);
    for (int it = 0; it < 200; ++it) {
        first.step();
        second.step();
    }
    RC_ASSERT(first.log() == second.log());
}
