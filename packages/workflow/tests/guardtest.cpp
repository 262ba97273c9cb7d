/** Tests of the bound on how long overdue best-effort jobs wait because serving tasks would suffer beside them. */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

constexpr std::int64_t SlackMs = 1000;
constexpr std::int64_t NearTargetMs = 45; ///< nothing is tolerated beside such a tail; the target is 50 ms
constexpr std::int64_t OverTargetMs = 60;

/** Two workers of 16 cores. On each of them one serving task fills more than half of the reserved CPU. */
class GuardedRig : public Rig
{
public:
    explicit GuardedRig(int nodeCount = 1)
        : Rig(0, 2)
    {
        scheduler.scarcity.enabled = true;
        decoder.catalog.queues.front().slackMs = SlackMs;
        for (int i = 0; i < nodeCount; ++i) {
            nodes.push_back(std::make_unique<RigNode>(backend, fleet, clock));
            boot(i);
        }
        run(3s);
        for (const char *key : {"serving0", "serving1"}) {
            WorkflowSpec serving = makeJob(key, 1);
            serving.steps[0].need.cpuMillis = 9000;
            serving.steps[0].isLongRunning = true;
            serving.steps[0].image = key;
            serving.steps[0].latencyTargetMs = 50;
            fleet.longRunningJobs.insert(key);
            fleet.gauges[key] = 10;
            submit(leader(), serving);
        }
        run(6s); // the model learns the tail at a low load
    }

    /** A job of 8 cores with an objective of 1.3 s: overdue after 3.9 s, and for another objective after 5.2 s. */
    void submitFilling()
    {
        WorkflowSpec filling = makeJob("filling", 1);
        filling.steps[0].need.cpuMillis = 8000;
        filling.steps[0].usesSpareCpu = true;
        filling.steps[0].image = "fills";
        submit(leader(), filling);
    }

    void setTails(std::int64_t first, std::int64_t second)
    {
        fleet.gauges["serving0"] = first;
        fleet.gauges["serving1"] = second;
        run(1s);
    }

    bool hasStarted() const
    {
        return fleet.startedJobs.contains("filling");
    }

    bool runsBeside(const JobKey &key, const JobKey &other) const
    {
        return std::any_of(fleet.workers.begin(), fleet.workers.end(), [&](const auto &it) {
            const auto hasRunOf = [&it](const JobKey &job) {
                return std::any_of(it.second.running.begin(), it.second.running.end(), [&job](const FakeRun &run) {
                    return run.run.task.job == job;
                });
            };
            return hasRunOf(key) && hasRunOf(other);
        });
    }
};

} // namespace

// Load: the serving tasks of all workers are close to their targets for good. Guards against an accepted job that every worker
// turns away, and that waits without end.
TEST(Guard, jobStartsWhileServingTasksTurnItAwayEverywhere)
{
    GuardedRig rig;
    rig.setTails(NearTargetMs, NearTargetMs);
    rig.submitFilling();
    rig.run(5s);
    EXPECT_FALSE(rig.hasStarted()) << "serving tasks go first within the bound";
    rig.fleet.workTime = 60s;
    rig.run(1s);
    EXPECT_TRUE(rig.hasStarted());
    const FakePort &port = rig.nodes[0]->port;
    ASSERT_FALSE(port.throttles.empty());
    EXPECT_EQ(port.throttles.back(), 0);
    EXPECT_TRUE(port.areThrottledRunsThere);
    rig.setTails(10, 10);
    rig.run(2s);
    EXPECT_EQ(port.throttles.back(), 100) << "lifted once the serving tasks tolerate it";
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Load: as before, with leaders that change. Guards against a bound that begins anew with each leader.
TEST(Guard, boundHoldsWhileLeadersChange)
{
    GuardedRig rig(2);
    rig.setTails(NearTargetMs, NearTargetMs);
    rig.submitFilling();
    for (int i = 0; i < 3 && !rig.hasStarted(); ++i) {
        const TimePoint until = rig.clock.now() + 10s;
        rig.run(1s);
        const int leader = rig.leader();
        ASSERT_GE(leader, 0);
        rig.kill(leader);
        rig.boot(leader);
        while (rig.leader() < 0 && rig.clock.now() < until) {
            rig.run(10ms);
        }
        rig.run(2s); // less than it takes to become overdue
    }
    EXPECT_TRUE(rig.hasStarted());
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against a start at full rate where a lower one is tolerated, and against one that waits for the second bound there.
TEST(Guard, startsAtTheRateThatServingTasksTolerate)
{
    GuardedRig rig;
    rig.fleet.workTime = 60s;
    rig.setTails(NearTargetMs, 15);
    rig.submitFilling();
    rig.run(3500ms);
    EXPECT_FALSE(rig.hasStarted());
    rig.run(1s);
    EXPECT_TRUE(rig.runsBeside("filling", "serving1"));
    const FakePort &port = rig.nodes[0]->port;
    ASSERT_FALSE(port.throttles.empty());
    EXPECT_GE(port.throttles.front(), 20);
    EXPECT_LT(port.throttles.front(), 100);
    EXPECT_TRUE(port.areThrottledRunsThere);
}

// Guards against a bound on the wait that overrides the protection of a serving task that is over its target.
TEST(Guard, nothingStartsBesideAServingTaskOverItsTarget)
{
    GuardedRig rig;
    rig.fleet.workTime = 60s;
    rig.setTails(OverTargetMs, OverTargetMs);
    rig.submitFilling();
    rig.run(20s);
    EXPECT_FALSE(rig.hasStarted());
    rig.setTails(OverTargetMs, NearTargetMs);
    rig.run(2s);
    EXPECT_TRUE(rig.runsBeside("filling", "serving1"));
}

// Guards against a run at full rate beside serving tasks because the throttle that its start requires was lost.
TEST(Guard, lostThrottleOfAStartIsRepeated)
{
    GuardedRig rig;
    rig.fleet.workTime = 60s;
    rig.setTails(NearTargetMs, NearTargetMs);
    rig.nodes[0]->port.lostThrottles = 2;
    rig.submitFilling();
    rig.run(10s);
    EXPECT_TRUE(rig.hasStarted());
    EXPECT_EQ(rig.nodes[0]->port.throttles, std::vector<int>({0, 0, 0}));
}

// Guards against a run that stays throttled for good once the serving tasks beside it have gone.
TEST(Guard, throttleEndsWithTheLastServingTask)
{
    GuardedRig rig;
    rig.fleet.workTime = 60s;
    rig.setTails(NearTargetMs, NearTargetMs);
    rig.submitFilling();
    rig.run(6s);
    const FakePort &port = rig.nodes[0]->port;
    ASSERT_FALSE(port.throttles.empty());
    ASSERT_EQ(port.throttles.back(), 0);
    rig.cancel(0, "serving0");
    rig.cancel(0, "serving1");
    rig.run(3s);
    EXPECT_EQ(port.throttles.back(), 100);
}

} // namespace QuetzalRock::Workflow
