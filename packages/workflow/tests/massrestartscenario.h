/**
 * Histories with several shards in which all nodes are killed at once, so that nothing survives that only a process knows.
 *
 * Beside it
 *   nodes     stand still for a while after they have started
 *   store     writes before the kill are executed late, up to after the successors have loaded; it is away, or answers slowly
 *   workers   all of a failure domain start again under their ids, vanish from the registry, or are cut off, before or after
 *   shards    jobs move and tasks are given to other shards, as domains are cut off, full, or evacuated (each third seed)
 *   jobs      are cancelled
 *
 * Checks, beside those of FaultScenario
 *   after each change of the store   a job has one record, and a task belongs to one shard
 */
#pragma once

#include "restartscenario.h"

namespace QuetzalRock::Workflow {

inline HistorySettings massRestartHistory(std::uint64_t seed)
{
    HistorySettings it = leaderHistory(seed);
    it.nodes = 3 + static_cast<int>(seed % 3);
    it.workers = 12; // six shards in three failure domains
    it.eventsPerBurst = 40;
    it.maxEventIntervalMs = 500 + static_cast<std::uint32_t>(seed % 4) * 500;
    it.hasSeveralShards = true;
    it.hasEvacuations = seed % 3 == 0;
    return it;
}

constexpr std::int64_t MaxLongRunningCpuMillis = 80'000; ///< less than half of the workers' CPU

class MassRestartScenario final : public RestartScenario
{
public:
    explicit MassRestartScenario(std::uint64_t seed)
        : RestartScenario(seed, massRestartHistory(seed), false)
    {
    }

private:
    void applyEvent() override
    {
        switch (randomBelow(12)) {
        case 0:
        case 1:
            submitLongTasks(randomNode());
            break;
        case 2:
        case 3:
            submitLongRunning(randomNode());
            break;
        case 4:
            cancelJob(randomNode());
            break;
        case 5:
            randomBelow(2) == 0 ? killAll() : killAllAtNextDeparture();
            break;
        case 6:
            cutOffFromAll(workersOfDomain(), randomDuration(500, 12'000));
            break;
        case 7:
            unregisterDomain();
            break;
        case 8:
            applyRestartEvent();
            break;
        case 9:
            randomBelow(2) == 0 ? delayWrites() : slowStore();
            break;
        case 10:
            submitMany();
            break;
        default:
            applyLeaderEvent();
        }
    }

    void submitLongRunning(int i)
    {
        if (!node(i).node || longRunningCpuMillis() > MaxLongRunningCpuMillis) {
            return;
        }
        const JobKey key = "job" + std::to_string(m_keys.size());
        m_keys.push_back(key);
        WorkflowSpec spec = Rig::makeJob(key, 1 + randomBelow(6));
        spec.steps[0].isLongRunning = true;
        spec.steps[0].need.cpuMillis *= 1 + randomBelow(8);
        m_rig.fleet.longRunningJobs.insert(key);
        m_taskCounts[key] = spec.steps[0].taskCount;
        m_specs[key] = spec;
        m_rig.submit(i, spec, &m_outcomes[key]);
    }

    /** Declared by the tasks of all jobs that have not been cancelled. */
    std::int64_t longRunningCpuMillis() const
    {
        std::int64_t sum = 0;
        for (const auto &[key, n] : m_taskCounts) {
            sum += m_cancelled.contains(key) ? 0 : n * m_specs.at(key).steps[0].need.cpuMillis;
        }
        return sum;
    }

    /** More than the free room of a shard, so that some have to leave it. */
    void submitMany()
    {
        for (std::uint32_t n = 4 + randomBelow(6); n > 0; --n) {
            randomBelow(2) == 0 ? submitLongRunning(randomNode()) : submitLongTasks(randomNode());
        }
    }

    std::set<WorkerId> workersOfDomain()
    {
        const std::string domain = m_rig.fleet.workers[randomWorker()].failureDomain;
        std::set<WorkerId> workers(m_workers.begin(), m_workers.end());
        std::erase_if(workers, [&](const WorkerId &it) { return m_rig.fleet.workers[it].failureDomain != domain; });
        return workers;
    }

    /** All nodes, within half a second at the most, with writes on their way; they are back before or after their keys end. */
    void killAll()
    {
        if (randomBelow(2) == 0) {
            delayWrites();
        }
        const std::uint32_t spreadMs = randomBelow(2) == 0 ? 1 : 500;
        const Duration lead = randomDuration(0, 400);
        const std::uint32_t downMs = randomBelow(2) == 0 ? 300 : 4000;
        for (int i = 0; i < m_settings.nodes; ++i) {
            after(lead + randomDuration(0, spreadMs + 1), [this, i] {
                if (node(i).node) {
                    m_rig.kill(i);
                }
            });
            const Duration frozenTime = randomBelow(4) == 0 ? randomDuration(100, 3000) : Duration::zero();
            after(lead + std::chrono::milliseconds(spreadMs) + randomDuration(50, downMs), [this, i, frozenTime] {
                if (!node(i).node) {
                    m_rig.boot(i);
                    after(frozenTime / 2, [this, i, frozenTime] { freeze(node(i), frozenTime); });
                }
            });
        }
        if (randomBelow(3) == 0) {
            after(lead + randomDuration(0, 5000), [this] { randomBelow(2) == 0 ? loseStore() : slowStore(); });
        }
        if (randomBelow(2) == 0) {
            after(lead + randomDuration(0, 6000),
                  [this, workers = workersOfDomain()] { cutOffFromAll(workers, randomDuration(1000, 12'000)); });
        }
    }

    /** All nodes, after the next write by which a job or a task leaves its shard; that write is executed later. */
    void killAllAtNextDeparture()
    {
        for (const auto &it : m_rig.nodes) {
            FakeStore &store = it->store;
            store.lostChangeDelay = randomDuration(0, 4000);
            store.isDelayed = [this](const StoreChange &change) {
                if (isDeparture(change) && !std::exchange(m_isKillDue, true)) {
                    after(randomDuration(0, 300), [this] { killAll(); });
                }
                return isDeparture(change);
            };
        }
        after(randomDuration(3000, 9000), [this] {
            m_isKillDue = false;
            for (const auto &it : m_rig.nodes) {
                it->store.isDelayed = {};
            }
        });
    }

    static bool isDeparture(const StoreChange &change)
    {
        const bool isTransfer = std::any_of(change.puts.begin(), change.puts.end(), [](const StorePut &it) {
            return it.key.starts_with("in/") && it.key.find("/t/") != std::string::npos;
        });
        const bool isMove = !change.puts.empty()
                            && std::any_of(change.removals.begin(), change.removals.end(), [](const std::string &it) {
                                   return it.starts_with("in/") && it.find("/j/") != std::string::npos;
                               });
        return isTransfer || isMove;
    }

    /** Changes of some nodes are executed up to 3 s later, and not answered. */
    void delayWrites()
    {
        for (int i = 0; i < m_settings.nodes; ++i) {
            if (randomBelow(2) == 0) {
                node(i).store.lostChangeReplies = 1 + static_cast<int>(randomBelow(6));
                node(i).store.lostChangeDelay = randomDuration(0, 3000);
            }
        }
    }

    void slowStore()
    {
        const Duration time = randomDuration(500, 6000);
        for (int i = 0; i < m_settings.nodes; ++i) {
            FakeStore &store = node(i).store;
            store.answerTime = randomDuration(20, 450);
            after(time, [&store] { store.answerTime = StepTime; });
        }
    }

    void unregisterDomain()
    {
        const std::set<WorkerId> workers = workersOfDomain();
        for (const WorkerId &it : workers) {
            unregisterWorker(it);
            after(randomDuration(200, 6000), [this, it] { registerWorker(it); });
        }
    }

    void checkChange(const StoreChange &) override
    {
        std::map<std::string, std::string> owners; // by "KEY" or "KEY.STEP.INDEX"
        for (auto it = m_rig.backend.items.lower_bound("in/"); it != m_rig.backend.items.end(); ++it) {
            const std::string &key = it->first;
            if (!key.starts_with("in/")) {
                break;
            }
            const std::size_t kind = key.find('/', 3) + 1;
            if (key[kind] == 'c') {
                continue;
            }
            const auto [other, isNew] = owners.emplace(key.substr(kind), key);
            if (!isNew) {
                m_rig.fleet.violations.push_back("belongs to two shards: " + key + " and " + other->second);
            }
        }
    }

    bool m_isKillDue = false; ///< since a write of killAllAtNextDeparture()
};

} // namespace QuetzalRock::Workflow
