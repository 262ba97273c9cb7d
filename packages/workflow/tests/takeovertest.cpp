/** Takeovers while some workers cannot be read: what has to wait for them, for how long, and what need not. */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

WorkflowSpec makeLongRunningJob(Rig &rig, const JobKey &key, std::uint32_t tasks, std::int64_t cpuMillis)
{
    WorkflowSpec spec = Rig::makeJob(key, tasks);
    spec.steps[0].need.cpuMillis = cpuMillis;
    spec.steps[0].isLongRunning = true;
    rig.fleet.longRunningJobs.insert(key);
    return spec;
}

void submitLongRunning(Rig &rig, const JobKey &key, std::uint32_t tasks, std::int64_t cpuMillis)
{
    rig.submit(rig.leader(), makeLongRunningJob(rig, key, tasks, cpuMillis));
    rig.run(300ms);
}

/** Kills the leader, which does not resign. Its successor cannot reach @p unreachable. */
RigNode &takeOverWithout(Rig &rig, const std::set<WorkerId> &unreachable)
{
    const int former = rig.leader();
    RigNode &successor = *rig.nodes[static_cast<std::size_t>(1 - former)];
    successor.port.unreachableWorkers = unreachable;
    rig.kill(former);
    rig.run(3s);
    EXPECT_EQ(rig.leader(), 1 - former);
    return successor;
}

void startDraining(Rig &rig, const WorkerId &worker, std::int64_t leavesInMs)
{
    rig.fleet.workers[worker].condition = WorkerCondition::Draining;
    rig.fleet.workers[worker].leavesInMs = leavesInMs;
    rig.backend.write("workers/" + worker, "draining");
}

/** The worker exits: its runs end unreported, and its registry entry is removed. */
void leave(Rig &rig, const WorkerId &worker)
{
    rig.fleet.workers[worker].running.clear();
    rig.fleet.workers[worker].isReachable = false;
    ++rig.backend.revision;
    rig.backend.remove("workers/" + worker);
}

std::size_t runningTasksOf(const Rig &rig, const JobKey &job)
{
    std::size_t n = 0;
    for (const auto &[id, worker] : rig.fleet.workers) {
        n += static_cast<std::size_t>(std::count_if(worker.running.begin(),
                                                    worker.running.end(),
                                                    [&job](const FakeRun &it) { return it.run.task.job == job; }));
    }
    return n;
}

} // namespace

// Guards against waits that neither logs nor metrics explain.
TEST(Takeover, waitingLongRunningTasksAreCountedByWhatTheyWaitFor)
{
    Rig rig(2, 3);
    rig.run(1s);
    submitLongRunning(rig, "fills", 9, 5000);
    submitLongRunning(rig, "waits", 2, 5000);
    rig.run(4s);
    const auto waiting = [&rig] {
        return rig.nodes[static_cast<std::size_t>(rig.leader())]->node->schedulers().front()->waitingTasks();
    };
    EXPECT_EQ(waiting().forRoom, 2U);
    EXPECT_EQ(waiting().forUnreadWorkers, 0U);
    takeOverWithout(rig, {"w2"});
    rig.run(4s);
    EXPECT_EQ(waiting().forRoom, 0U);
    EXPECT_GE(waiting().forUnreadWorkers, 2U);
}

} // namespace QuetzalRock::Workflow
