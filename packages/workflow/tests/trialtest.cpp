/**
 * Trials of suspected tasks: how long the innocent ones wait.
 *
 * Index of this file
 *   SuspectBurst   jobs that start beside tasks which crash their workers
 *   Trials         bounds on the wait of suspects
 */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

constexpr int Workers = 66;
constexpr int JobsPerDeadlyTask = 4;

/** Some jobs of one task each crash the worker that starts it; others start beside them, in no order. */
class SuspectBurst
{
public:
    explicit SuspectBurst(int deadlyTasks)
        : rig(3, Workers)
    {
        rig.fleet.crashBehaviour.delay = 50ms;
        rig.run(1s);
        for (int i = 0; i < deadlyTasks * (JobsPerDeadlyTask + 1); ++i) {
            const bool isDeadly = i % (JobsPerDeadlyTask + 1) == 0;
            const JobKey key = (isDeadly ? "deadly" : "other") + std::to_string(i);
            if (isDeadly) {
                rig.fleet.deadlyTasks.insert({key, 0, 0, 0});
                deadly.push_back(key);
            } else {
                others.push_back(key);
            }
            rig.submit(rig.leader(), Rig::makeJob(key, 1));
        }
        rig.run(400ms);
    }

    /** Kills the leader, and boots its node again once another one leads. */
    void changeLeader()
    {
        const int leader = rig.leader();
        if (leader >= 0) {
            rig.kill(leader);
            rig.run(2500ms);
            rig.boot(leader);
        }
    }

    /** The store answers nobody for @p time. */
    void silenceStore(Duration time)
    {
        for (const auto &it : rig.nodes) {
            it->store.isSilent = true;
        }
        rig.run(time);
        for (const auto &it : rig.nodes) {
            it->store.isSilent = false;
        }
    }

    std::size_t unfinishedOthers() const
    {
        return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [this](const JobKey &it) {
            return rig.state(it) != WorkflowState::Completed;
        }));
    }

    /** In which one crash of each deadly task can show if trials keep down as many workers as they may, and a margin. */
    Duration timeOfTrials() const
    {
        const Duration crash = rig.fleet.crashBehaviour.downTime + 1s;
        const double atATime = CrashSettings{}.maxShareAtRisk * Workers;
        const auto trials
            = static_cast<double>(deadly.size()) / atATime * std::chrono::duration<double, Duration::period>(crash);
        return 10s + std::chrono::duration_cast<Duration>(trials);
    }

    void expectVerdicts()
    {
        EXPECT_EQ(unfinishedOthers(), 0U);
        for (const JobKey &it : deadly) {
            EXPECT_EQ(rig.state(it), WorkflowState::Failed) << it;
            EXPECT_LE(rig.fleet.startsAfterThree[(TaskName{it, 0, 0, 0})], 2) << it;
        }
        EXPECT_TRUE(rig.fleet.violations.empty());
    }

    Rig rig;
    std::vector<JobKey> deadly;
    std::vector<JobKey> others;
};

constexpr std::array<int, 3> BurstSizes{1, 10, 30};

} // namespace

// Innocent suspects waited for trials of their own, behind two crashes of each deadly task.
TEST(Trials, innocentSuspectsDoNotWaitForEachConviction)
{
    for (const int n : BurstSizes) {
        SuspectBurst burst(n);
        burst.rig.run(burst.timeOfTrials());
        EXPECT_EQ(burst.unfinishedOthers(), 0U) << n << " deadly tasks";
        burst.rig.run(5s * n);
        burst.expectVerdicts();
    }
}

// The same with the store away and changes of leaders between the crashes and the trials.
TEST(Trials, innocentSuspectsDoNotWaitForEachConvictionAcrossOutagesAndElections)
{
    for (const int n : BurstSizes) {
        SuspectBurst burst(n);
        burst.rig.run(4s);
        burst.changeLeader();
        burst.silenceStore(8s);
        burst.rig.run(3s);
        burst.changeLeader();
        burst.rig.run(burst.timeOfTrials() - 7s); // in which trials were possible before
        EXPECT_EQ(burst.unfinishedOthers(), 0U) << n << " deadly tasks";
        burst.rig.run(5s * n);
        burst.expectVerdicts();
    }
}

} // namespace QuetzalRock::Workflow
