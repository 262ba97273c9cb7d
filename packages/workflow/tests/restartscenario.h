/**
 * Histories in which workers, alone or all of a failure domain, start again under their ids, with clocks that begin at any
 * value.
 *
 * Beside it
 *   registry  the entry stays that of the former incarnation, or vanishes, and comes late
 *   calls     orders that are sent before the restart is seen are executed by the next incarnation
 *   workers   are cut off from all nodes, or start again, soon after
 *   nodes     a leader ends, see FaultScenario::changeLeader(), and the faults of histories with changes of leaders
 *   tasks     run for long; some are gangs
 *
 * Each fourth seed suspects tasks of the crashes; there, tasks may wait for their trials.
 */
#pragma once

#include "faultscenario.h"

namespace QuetzalRock::Workflow {

constexpr std::uint32_t NoCrashLimit = 1000;

inline HistorySettings restartHistory(std::uint64_t seed)
{
    HistorySettings it = leaderHistory(seed);
    it.workers = 8 + static_cast<int>(seed / 8 % 2) * 4; // two or three failure domains
    it.maxEventIntervalMs = 500 + static_cast<std::uint32_t>(seed % 5) * 700;
    return it;
}

class RestartScenario : public FaultScenario
{
public:
    /** With @p areLateOrdersExecuted, orders without an answer may be executed by the worker's next incarnation. */
    explicit RestartScenario(std::uint64_t seed, bool areLateOrdersExecuted = false)
        : RestartScenario(seed, restartHistory(seed), areLateOrdersExecuted)
    {
    }

protected:
    RestartScenario(std::uint64_t seed, const HistorySettings &settings, bool areLateOrdersExecuted)
        : FaultScenario(seed, settings)
        , m_areCrashesSuspected(seed % 4 == 3)
    {
        for (const auto &it : m_rig.nodes) {
            it->port.renewalsWait = seed / 4 % 4 != 0;
            it->port.connectsLate = seed / 2 % 2 == 0;
            it->port.lostStartsReachNextIncarnation = areLateOrdersExecuted;
            it->port.lostOrdersReachNextIncarnation = areLateOrdersExecuted;
        }
        if (!m_areCrashesSuspected) {
            CrashSettings &crashes = m_rig.scheduler.crashes;
            crashes.startupTime = {};
            crashes.maxPresences = NoCrashLimit;
            crashes.maxTrialCrashes = NoCrashLimit;
            crashes.maxStartCrashes = NoCrashLimit;
            rebootNodes();
        }
    }

    void applyEvent() override
    {
        randomBelow(8) == 0 ? applyLeaderEvent() : applyRestartEvent();
    }

    /** For their trials. */
    bool mayWait(const JobKey &key) const override
    {
        return m_areCrashesSuspected || m_rig.state(key) == WorkflowState::Failed;
    }

    void submitLongTasks(int i)
    {
        if (!node(i).node) {
            return;
        }
        const JobKey key = "job" + std::to_string(m_keys.size());
        m_keys.push_back(key);
        WorkflowSpec spec = Rig::makeJob(key, 3 + randomBelow(6));
        const Duration workTime = randomDuration(4000, 12'000);
        m_rig.fleet.workTimes[key] = workTime;
        spec.steps[0].estimateMs = workTime / 1ms;
        spec.steps[0].isGang = randomBelow(4) == 0;
        if (spec.steps[0].isGang) {
            m_rig.fleet.gangs.insert(key);
        }
        m_specs[key] = spec;
        m_rig.submit(i, spec, &m_outcomes[key]);
    }

    void applyRestartEvent()
    {
        switch (randomBelow(6)) {
        case 0:
        case 1:
            submitLongTasks(randomNode());
            break;
        case 2:
            submit(randomNode());
            break;
        case 3: {
            const std::string domain = m_rig.fleet.workers[randomWorker()].failureDomain;
            std::set<WorkerId> workers(m_workers.begin(), m_workers.end());
            std::erase_if(workers, [&](const WorkerId &it) { return m_rig.fleet.workers[it].failureDomain != domain; });
            restartWorkers(workers);
            break;
        }
        default:
            restartWorkers({randomWorker()});
        }
    }

    /** The workers crash, are back at about the same time, and may be cut off, or crash again, soon after. */
    void restartWorkers(const std::set<WorkerId> &workers)
    {
        const Duration downTime = randomDuration(50, 1500);
        for (const WorkerId &it : workers) {
            crashWorker(it, downTime + randomDuration(0, 200));
        }
        if (randomBelow(2) == 0) { // so that starts are sent before the restart is seen, and after it
            after(downTime + randomDuration(0, 1000), [this] { submitLongTasks(randomNode()); });
            after(downTime + randomDuration(500, 2500), [this] { submitLongTasks(randomNode()); });
        }
        const Duration next = downTime + randomDuration(200, 3000);
        if (randomBelow(3) > 0) {
            after(std::max(downTime, next + randomDuration(0, 2000) - 1000ms), [this] { changeLeader(); });
        }
        if (randomBelow(4) == 0) {
            after(next, [this, workers] { restartWorkers(workers); });
        } else if (randomBelow(4) > 0) {
            after(next, [this, workers] {
                cutOffFromAll(workers, randomDuration(randomBelow(2) == 0 ? 1000 : 6000, 10'000));
            });
        }
    }

    void cutOffFromAll(const std::set<WorkerId> &workers, Duration time)
    {
        for (int i = 0; i < m_settings.nodes; ++i) {
            loseWorkers(node(i).port, workers, time);
        }
    }

    /** Its registry entry stays that of the former incarnation, or vanishes, until the next one registers. */
    void crashWorker(const WorkerId &id, Duration downTime)
    {
        FakeWorker &worker = m_rig.fleet.workers[id];
        if (worker.isGone || !worker.isReachable) {
            return;
        }
        if (m_rig.backend.items.contains("workers/" + id)) {
            m_rig.backend.write("workers/" + id, FakeDecoder::bornAt(worker.startedAtMs));
        }
        if (randomBelow(4) == 0) {
            after(randomDuration(0, 2000), [this, id] { unregisterWorker(id); });
        }
        m_rig.fleet.crash(id);
        worker.returnsAt = {}; // the action below brings it back
        after(downTime, [this, id] { returnWorker(id); });
    }

    void returnWorker(const WorkerId &id)
    {
        FakeWorker &worker = m_rig.fleet.workers[id];
        if (worker.isGone) {
            return;
        }
        m_rig.fleet.restartWithClock(id, randomClockStartMs(m_rig.fleet.clockMs(worker)));
        worker.isReachable = true;
        after(randomDuration(0, randomBelow(4) == 0 ? 6000 : 1000), [this, id] { registerWorker(id); });
    }

    /** Near the former clock, anywhere before it, or anywhere after it. */
    std::int64_t randomClockStartMs(std::int64_t formerMs)
    {
        switch (randomBelow(4)) {
        case 0:
            return 0;
        case 1:
            return std::max<std::int64_t>(0, formerMs - 20'000 + randomBelow(40'000));
        case 2:
            return randomBelow(static_cast<std::uint32_t>(std::max<std::int64_t>(1, formerMs)));
        default:
            return formerMs + randomBelow(10'000'000);
        }
    }

private:
    bool m_areCrashesSuspected;
};

} // namespace QuetzalRock::Workflow
