/** Tests on the rig of what nodes and leaders do under scarcity. */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

/** One node and one worker of 16 cores. */
class ScarceRig : public Rig
{
public:
    explicit ScarceRig(bool isScarcityEnabled, std::int64_t slackMs)
        : Rig(0, 1)
    {
        scheduler.scarcity.enabled = isScarcityEnabled;
        decoder.catalog.queues.front().slackMs = slackMs;
        nodes.push_back(std::make_unique<RigNode>(backend, fleet, clock));
        boot(0);
        run(3s);
    }
};

/** One best-effort task that uses most of a worker. */
WorkflowSpec makeBestEffortJob(const JobKey &key)
{
    WorkflowSpec spec = Rig::makeJob(key, 1);
    spec.steps.front().need.cpuMillis = 12'000;
    spec.steps.front().usesSpareCpu = true;
    return spec;
}

} // namespace

TEST(SparingCpu, withoutScarcityATaskSharesIdleCpuAfterADelay)
{
    ScarceRig rig(false, 20'000);
    rig.fleet.longRunningJobs = {"first"};
    rig.submit(0, makeBestEffortJob("first"));
    rig.run(500ms);
    rig.submit(0, makeBestEffortJob("second"));
    rig.run(1s);
    EXPECT_FALSE(rig.fleet.startedJobs.contains("second"));
    rig.run(1s);
    EXPECT_TRUE(rig.fleet.startedJobs.contains("second"));
}

// Load: steady overload of best-effort work. Guards against tasks that all run at once, each of them slowly.
TEST(SparingCpu, underScarcityATaskWaitsForIdleCpu)
{
    ScarceRig rig(true, 20'000);
    rig.fleet.longRunningJobs = {"first"};
    rig.submit(0, makeBestEffortJob("first"));
    rig.run(500ms);
    rig.submit(0, makeBestEffortJob("second"));
    rig.run(10s);
    EXPECT_FALSE(rig.fleet.startedJobs.contains("second"));
    rig.cancel(0, "first");
    rig.run(1s);
    EXPECT_TRUE(rig.fleet.startedJobs.contains("second"));
}

// Load: a resource that stays busy. Guards against an accepted job that starves until its result is worthless.
TEST(SparingCpu, oneJobThatWouldEndTooLateSharesIdleCpu)
{
    ScarceRig rig(true, 2000); // worthless after 6.9 s, at half speed a task takes 0.6 s
    rig.fleet.longRunningJobs = {"first", "second", "third"};
    rig.submit(0, makeBestEffortJob("first"));
    rig.run(500ms);
    rig.submit(0, makeBestEffortJob("second"));
    rig.submit(0, makeBestEffortJob("third"));
    rig.run(6s);
    EXPECT_FALSE(rig.fleet.startedJobs.contains("second") || rig.fleet.startedJobs.contains("third"));
    rig.run(800ms);
    EXPECT_NE(rig.fleet.startedJobs.contains("second"), rig.fleet.startedJobs.contains("third"));
}

// Load: steady overload, in which late jobs come to that point one after the other. Guards against their sharing at once.
TEST(SparingCpu, noOtherJobSharesIdleCpuUntilItEnds)
{
    ScarceRig rig(true, 2000);
    for (int i = 0; i < 40; ++i) {
        const JobKey key = std::to_string(i);
        rig.fleet.longRunningJobs.insert(key);
        rig.submit(0, makeBestEffortJob(key));
        rig.run(200ms);
    }
    rig.run(8s);
    EXPECT_EQ(rig.fleet.startedJobs.size(), 2U) << "one on idle CPU, one beyond it";
}

} // namespace QuetzalRock::Workflow
