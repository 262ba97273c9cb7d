/**
 * Randomised fault injection: nodes crash, freeze, or lose the store or some workers; workers restart; replies are lost
 * and orders arrive late. Checks after each scenario that no task ran twice at the same time or after its acknowledged
 * end, that every accepted job has ended, that no rejected job was stored, and that each long-running task belongs to one
 * shard. With several shards, some long-running tasks are so large that they find room in another shard only.
 *
 * The environment variables WORKFLOW_SEED (first seed) and WORKFLOW_RUNS (number of scenarios) override the defaults.
 */
#include "rig.h"

#include <cstdlib>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::uint64_t DefaultFirstSeed = 1;
constexpr int DefaultScenarios = 150;
constexpr int EventsPerScenario = 60;
constexpr int Nodes = 3;
constexpr int Workers = 4;
constexpr std::uint32_t WorkersPerShard = 2;   ///< with odd seeds; even seeds use one shard
constexpr std::int64_t LargeTaskMillis = 9000; ///< of a long-running task: a worker has room for one
constexpr Duration RecoveryTime = 60s;         ///< longer than all leases and grace periods together

std::uint64_t readEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

class FaultScenario
{
public:
    explicit FaultScenario(std::uint64_t seed)
        : m_random(static_cast<std::mt19937::result_type>(seed))
        , m_rig(Nodes, Workers, seed % 2 == 0 ? 0 : WorkersPerShard)
    {
    }

    void run()
    {
        for (const auto &it : m_rig.nodes) {
            it->store.onChange = [this](const StoreChange &change) { countTransfers(change); };
        }
        m_rig.run(1s);
        for (int i = 0; i < EventsPerScenario; ++i) {
            applyRandomEvent();
            m_rig.run(Duration(randomBelow(400) * 1000));
        }
        clearFaults();
        m_rig.run(5s); // until all delayed writes have been executed
        checkShardsOfTasks();
        for (const JobKey &it : m_rig.fleet.longRunningJobs) {
            m_cancelled.insert(it);
            m_rig.cancel(0, it);
        }
        m_rig.run(RecoveryTime);
        checkGuarantees();
    }

    /** Number of transfers of a task between shards. */
    int transfers() const
    {
        return m_transfers;
    }

private:
    void countTransfers(const StoreChange &change)
    {
        for (const StorePut &it : change.puts) {
            m_transfers += it.key.starts_with("in/") && it.key.find("/t/") != std::string::npos ? 1 : 0;
        }
    }

    void checkShardsOfTasks()
    {
        for (const JobKey &key : m_rig.fleet.longRunningJobs) {
            const auto state = m_rig.state(key);
            if (state && isFinal(*state)) {
                continue; // the progress of a job that has ended names no tasks
            }
            const auto registration = m_rig.backend.items.find(std::string(RegistrationPrefix) + key);
            if (registration == m_rig.backend.items.end() || !decodeRegistration(registration->second.value).shard) {
                continue;
            }
            for (std::uint32_t i = 0; i < m_taskCounts[key]; ++i) {
                EXPECT_EQ(m_rig.shardsOfTask(key, 0, i).size(), 1U) << key << ", task " << i;
            }
        }
    }

    std::uint32_t randomBelow(std::uint32_t n)
    {
        return m_random() % n;
    }

    int randomNode()
    {
        return static_cast<int>(randomBelow(Nodes));
    }

    RigNode &node(int i)
    {
        return *m_rig.nodes[static_cast<std::size_t>(i)];
    }

    std::string randomWorker()
    {
        return "w" + std::to_string(randomBelow(Workers));
    }

    void applyRandomEvent()
    {
        const int i = randomNode();
        RigNode &it = node(i);
        switch (randomBelow(17)) {
        case 0:
        case 1:
        case 2:
        case 3:
            submit(i);
            break;
        case 4:
            it.node ? m_rig.kill(i) : m_rig.boot(i);
            break;
        case 5:
            it.isFrozen = !it.isFrozen;
            break;
        case 6:
            it.store.isRefusing = !it.store.isRefusing;
            break;
        case 7:
            it.store.isSilent = !it.store.isSilent;
            break;
        case 8:
            it.store.lostChangeReplies = static_cast<int>(randomBelow(4));
            it.store.lostChangeDelay = Duration(randomBelow(3000) * 1000);
            break;
        case 9:
            it.port.unreachableWorkers.insert(randomWorker());
            break;
        case 10:
            it.port.unreachableWorkers.clear();
            break;
        case 11:
            it.port.lostStartReplies = static_cast<int>(randomBelow(4));
            it.port.lostStartDelay = Duration((static_cast<std::int64_t>(randomBelow(6000)) - 500) * 1000);
            break;
        case 12:
            if (randomBelow(3) == 0) {
                const std::string id = randomWorker();
                m_rig.fleet.restartWorker(id);
                m_rig.backend.write("workers/" + id, "reborn");
            }
            break;
        case 13:
            m_rig.backend.dropHistory();
            break;
        case 14:
            if (it.node && !m_keys.empty()) {
                const JobKey key = m_keys[randomBelow(static_cast<std::uint32_t>(m_keys.size()))];
                m_cancelled.insert(key);
                m_rig.cancel(i, key);
            }
            break;
        case 15: { // the worker's registry entry expires or reappears
            const std::string id = randomWorker();
            if (m_rig.backend.items.contains("workers/" + id)) {
                ++m_rig.backend.revision;
                m_rig.backend.remove("workers/" + id);
            } else {
                m_rig.backend.write("workers/" + id, "back");
            }
            break;
        }
        default:
            m_rig.fleet.workers[randomWorker()].failsAll = randomBelow(4) == 0;
        }
    }

    void submit(int i)
    {
        if (!node(i).node) {
            return;
        }
        const JobKey key = "job" + std::to_string(m_keys.size());
        m_keys.push_back(key);
        WorkflowSpec spec = Rig::makeJob(key, 1 + randomBelow(4), 1 + randomBelow(3));
        if (randomBelow(5) == 0) {
            spec.steps.resize(1);
            spec.steps[0].isLongRunning = true;
            spec.steps[0].need.cpuMillis = randomBelow(2) == 0 ? LargeTaskMillis : spec.steps[0].need.cpuMillis;
            m_rig.fleet.longRunningJobs.insert(key);
            m_taskCounts[key] = spec.steps[0].taskCount;
        }
        m_rig.submit(i, spec, &m_outcomes[key]);
    }

    void clearFaults()
    {
        for (int i = 0; i < Nodes; ++i) {
            RigNode &it = node(i);
            it.isFrozen = false;
            it.store.isRefusing = false;
            it.store.isSilent = false;
            it.store.lostChangeReplies = 0;
            it.port.lostStartReplies = 0;
            it.port.unreachableWorkers.clear();
            if (!it.node) {
                m_rig.boot(i);
            }
        }
        for (auto &[id, worker] : m_rig.fleet.workers) {
            m_rig.backend.write("workers/" + id, "back");
            worker.failsAll = false;
        }
    }

    void checkGuarantees()
    {
        for (const std::string &it : m_rig.fleet.violations) {
            ADD_FAILURE() << it;
        }
        for (const JobKey &key : m_keys) {
            const bool isStored = m_rig.backend.items.contains(std::string(RegistrationPrefix) + key);
            if (m_outcomes[key] == IntakeOutcome::Ok) {
                EXPECT_TRUE(isStored) << key << " was accepted";
            }
            if (m_outcomes[key] == IntakeOutcome::NotAccepted) {
                EXPECT_FALSE(isStored) << key << " was not accepted";
            }
            if (isStored) {
                const auto state = m_rig.state(key);
                EXPECT_TRUE(state && isFinal(*state)) << key << " has not ended";
                EXPECT_TRUE(state != WorkflowState::Cancelled || m_cancelled.contains(key)) << key;
            }
        }
        EXPECT_EQ(m_rig.fleet.runningTasks(), 0U);
    }

    std::mt19937 m_random;
    Rig m_rig;
    std::vector<JobKey> m_keys;
    std::set<JobKey> m_cancelled;
    std::map<JobKey, std::uint32_t> m_taskCounts; ///< of long-running jobs
    int m_transfers = 0;
    std::map<JobKey, std::optional<IntakeOutcome>> m_outcomes;
};

} // namespace

TEST(WorkflowFaults, guaranteesHoldUnderRandomFaults)
{
    const std::uint64_t first = readEnvironment("WORKFLOW_SEED", DefaultFirstSeed);
    const std::uint64_t n = readEnvironment("WORKFLOW_RUNS", DefaultScenarios);
    int transfers = 0;
    for (std::uint64_t seed = first; seed < first + n; ++seed) {
        FaultScenario scenario(seed);
        scenario.run();
        transfers += scenario.transfers();
        if (::testing::Test::HasFailure()) {
            FAIL() << "seed " << seed << ": run again with WORKFLOW_SEED=" << seed << " WORKFLOW_RUNS=1";
        }
    }
    RecordProperty("transfers", transfers);
    EXPECT_TRUE(transfers > 0 || n < DefaultScenarios) << "no task was given to another shard";
}

} // namespace QuetzalRock::Workflow
