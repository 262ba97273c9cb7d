/**
 * Random histories: nodes that die, freeze, lose the store or some workers; workers that start anew; answers that are lost
 * and orders that arrive late. After each: no task ran twice or after its end, no accepted job is lost, no refused one ran.
 *
 * WORKFLOW_SEED and WORKFLOW_RUNS in the environment choose others than those of CI.
 */
#include "rig.h"

#include <cstdlib>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::uint64_t FirstSeed = 1;
constexpr int RunsInCi = 150;
constexpr int StepsPerRun = 60;
constexpr int Nodes = 3;
constexpr int Workers = 4;
constexpr std::uint32_t WorkersPerShard = 2; ///< in every other history; one shard in the rest
constexpr Duration HealTime = 60s;           ///< longer than every lease and grace together

std::uint64_t fromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

class History
{
public:
    explicit History(std::uint64_t seed)
        : m_random(static_cast<std::mt19937::result_type>(seed))
        , m_rig(Nodes, Workers, seed % 2 == 0 ? 0 : WorkersPerShard)
    {
    }

    void play()
    {
        m_rig.run(1s);
        for (int i = 0; i < StepsPerRun; ++i) {
            act();
            m_rig.run(Duration(below(400) * 1000));
        }
        heal();
        m_rig.run(5s); // late writes have come by then
        for (const JobKey &it : m_rig.fleet.longRunningJobs) {
            m_cancelled.insert(it);
            m_rig.cancel(0, it);
        }
        m_rig.run(HealTime);
        check();
    }

private:
    std::uint32_t below(std::uint32_t n)
    {
        return m_random() % n;
    }

    int anyNode()
    {
        return static_cast<int>(below(Nodes));
    }

    RigNode &node(int i)
    {
        return *m_rig.nodes[static_cast<std::size_t>(i)];
    }

    std::string anyWorker()
    {
        return "w" + std::to_string(below(Workers));
    }

    void act()
    {
        const int i = anyNode();
        RigNode &it = node(i);
        switch (below(17)) {
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
            it.store.loseAnswers = static_cast<int>(below(4));
            it.store.applyLostLate = Duration(below(3000) * 1000);
            break;
        case 9:
            it.port.cutFrom.insert(anyWorker());
            break;
        case 10:
            it.port.cutFrom.clear();
            break;
        case 11:
            it.port.loseStarts = static_cast<int>(below(4));
            it.port.applyLostAfter = Duration((static_cast<std::int64_t>(below(6000)) - 500) * 1000);
            break;
        case 12:
            if (below(3) == 0) {
                const std::string id = anyWorker();
                m_rig.fleet.restartWorker(id);
                m_rig.backend.write("workers/" + id, "reborn");
            }
            break;
        case 13:
            m_rig.backend.dropHistory();
            break;
        case 14:
            if (it.node && !m_keys.empty()) {
                const JobKey key = m_keys[below(static_cast<std::uint32_t>(m_keys.size()))];
                m_cancelled.insert(key);
                m_rig.cancel(i, key);
            }
            break;
        case 15: { // its entry lapses, or is back
            const std::string id = anyWorker();
            if (m_rig.backend.items.contains("workers/" + id)) {
                ++m_rig.backend.revision;
                m_rig.backend.remove("workers/" + id);
            } else {
                m_rig.backend.write("workers/" + id, "back");
            }
            break;
        }
        default:
            m_rig.fleet.workers[anyWorker()].failsAll = below(4) == 0;
        }
    }

    void submit(int i)
    {
        if (!node(i).node) {
            return;
        }
        const JobKey key = "job" + std::to_string(m_keys.size());
        m_keys.push_back(key);
        WorkflowSpec spec = Rig::makeJob(key, 1 + below(4), 1 + below(3));
        if (below(5) == 0) {
            spec.steps.resize(1);
            spec.steps[0].isLasting = true;
            m_rig.fleet.longRunningJobs.insert(key);
        }
        m_rig.submit(i, spec, &m_outcomes[key]);
    }

    void heal()
    {
        for (int i = 0; i < Nodes; ++i) {
            RigNode &it = node(i);
            it.isFrozen = false;
            it.store.isRefusing = false;
            it.store.isSilent = false;
            it.store.loseAnswers = 0;
            it.port.loseStarts = 0;
            it.port.cutFrom.clear();
            if (!it.node) {
                m_rig.boot(i);
            }
        }
        for (auto &[id, worker] : m_rig.fleet.workers) {
            m_rig.backend.write("workers/" + id, "back");
            worker.failsAll = false;
        }
    }

    void check()
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
                EXPECT_FALSE(isStored) << key << " was refused";
            }
            if (isStored) {
                const auto state = m_rig.state(key);
                EXPECT_TRUE(state && isFinal(*state)) << key << " is still open";
                EXPECT_TRUE(state != WorkflowState::Cancelled || m_cancelled.contains(key)) << key;
            }
        }
        EXPECT_EQ(m_rig.fleet.runningTasks(), 0U);
    }

    std::mt19937 m_random;
    Rig m_rig;
    std::vector<JobKey> m_keys;
    std::set<JobKey> m_cancelled;
    std::map<JobKey, std::optional<IntakeOutcome>> m_outcomes;
};

} // namespace

TEST(WorkflowHistory, keepsItsPromises)
{
    const std::uint64_t first = fromEnvironment("WORKFLOW_SEED", FirstSeed);
    const std::uint64_t n = fromEnvironment("WORKFLOW_RUNS", RunsInCi);
    for (std::uint64_t seed = first; seed < first + n; ++seed) {
        History(seed).play();
        if (::testing::Test::HasFailure()) {
            FAIL() << "seed " << seed << ": run again with WORKFLOW_SEED=" << seed << " WORKFLOW_RUNS=1";
        }
    }
}

} // namespace QuetzalRock::Workflow
