/**
 * Tasks that crash the workers that start them, among others: which tasks are given up, and which must not be.
 *
 * Index of this file
 *   Crashes          a scheduler with deadly tasks and with ordinary crashes
 */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

constexpr auto Done = WorkflowState::Completed;
constexpr auto Failed = WorkflowState::Failed;
constexpr int MostStartsAfterThree = 2; ///< starts of a task after three workers have crashed under it
constexpr int Workers = 16;

/** Makes task @p index of @p step of the job crash each worker that starts it. */
TaskName makeDeadly(Rig &rig, const JobKey &key, std::uint32_t step = 0, std::uint32_t index = 0)
{
    const TaskName name{key, 0, step, index};
    rig.fleet.deadlyTasks.insert(name);
    return name;
}

/** Submits jobs of four tasks for @p time, five a second, and returns their keys. */
std::vector<JobKey> submitOthers(Rig &rig, Duration time, const std::string &prefix = "other")
{
    std::vector<JobKey> keys;
    for (Duration passed{}; passed < time; passed += 200ms) {
        keys.push_back(prefix + std::to_string(keys.size()));
        const int node = rig.leader();
        rig.submit(node < 0 ? 0 : node, Rig::makeJob(keys.back(), 4));
        rig.run(200ms);
    }
    return keys;
}

void expectCompleted(const Rig &rig, const std::vector<JobKey> &keys)
{
    for (const JobKey &it : keys) {
        EXPECT_EQ(rig.state(it), Done) << it;
    }
}

void expectGivenUp(const Rig &rig, const TaskName &task)
{
    EXPECT_EQ(rig.state(task.job), Failed);
    const auto starts = rig.fleet.startsAfterThree.find(task);
    EXPECT_LE(starts == rig.fleet.startsAfterThree.end() ? 0 : starts->second, MostStartsAfterThree);
}

/** Kills the leader and boots its node again; another node may lead by then. */
void killLeader(Rig &rig)
{
    const int leader = rig.leader();
    if (leader >= 0) {
        rig.kill(leader);
        rig.run(2500ms);
        rig.boot(leader);
    }
}

} // namespace

// A task that crashed each worker that started it was started again without limit, each time on another worker.
TEST(Crashes, deadlyTaskIsGivenUpAndNoOther)
{
    Rig rig(2, Workers);
    rig.run(1s);
    std::vector<JobKey> others = submitOthers(rig, 1s);
    const TaskName deadly = makeDeadly(rig, "deadly");
    rig.submit(rig.leader(), Rig::makeJob("deadly", 3));
    const std::vector<JobKey> later = submitOthers(rig, 10s, "later");
    others.insert(others.end(), later.begin(), later.end());
    rig.run(30s);
    expectGivenUp(rig, deadly);
    expectCompleted(rig, others);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

TEST(Crashes, deadlyTaskOfALaterStepIsGivenUp)
{
    Rig rig(2, Workers);
    rig.run(1s);
    const TaskName deadly = makeDeadly(rig, "deadly", 1, 2);
    rig.submit(rig.leader(), Rig::makeJob("deadly", 4, 2));
    const std::vector<JobKey> others = submitOthers(rig, 10s);
    rig.run(30s);
    expectGivenUp(rig, deadly);
    expectCompleted(rig, others);
}

// The worker is back under its id before its silence shows: only the start time in its report tells of the crash.
TEST(Crashes, workerThatIsBackAtOnceHasCrashed)
{
    Rig rig(2, Workers);
    rig.fleet.crashBehaviour = {10ms, 20ms, true};
    rig.run(1s);
    const TaskName deadly = makeDeadly(rig, "deadly");
    rig.submit(rig.leader(), Rig::makeJob("deadly", 3));
    const std::vector<JobKey> others = submitOthers(rig, 10s);
    rig.run(30s);
    expectGivenUp(rig, deadly);
    expectCompleted(rig, others);
}

// The worker is back after its lease, when its tasks have been started elsewhere.
TEST(Crashes, crashThatShowsAfterTheLeaseCounts)
{
    for (const bool keepsId : {true, false}) {
        Rig rig(2, Workers);
        rig.fleet.crashBehaviour = {10ms, 8s, keepsId};
        rig.run(1s);
        const TaskName deadly = makeDeadly(rig, "deadly");
        rig.submit(rig.leader(), Rig::makeJob("deadly", 3));
        const std::vector<JobKey> others = submitOthers(rig, 10s);
        rig.run(90s);
        expectGivenUp(rig, deadly);
        expectCompleted(rig, others);
    }
}

// Leaders die again and again, also between a start and the crash that it causes.
TEST(Crashes, countOutlivesLeaders)
{
    for (const Duration pause : {600ms, 1500ms, 4100ms}) {
        Rig rig(3, Workers);
        rig.run(1s);
        const TaskName deadly = makeDeadly(rig, "deadly");
        rig.submit(rig.leader(), Rig::makeJob("deadly", 3));
        const std::vector<JobKey> others = submitOthers(rig, 2s);
        for (int i = 0; i < 8; ++i) {
            rig.run(pause);
            killLeader(rig);
        }
        rig.run(60s);
        expectGivenUp(rig, deadly);
        expectCompleted(rig, others);
        EXPECT_TRUE(rig.fleet.violations.empty());
    }
}

} // namespace QuetzalRock::Workflow
