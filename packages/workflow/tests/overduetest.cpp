/** Tests of the bound on how long accepted jobs wait behind newer ones. Each test names the load that it answers. */
#include "rig.h"

#include <workflow/overdue.h>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::int64_t SlackMs = 1000;

/** Of @p tasks tasks of 4 cores and 300 ms: objective 1.3 s, overdue after 3.9 s. */
WorkflowSpec makeSpec(const JobKey &key, std::uint32_t tasks, bool usesSpareCpu)
{
    WorkflowSpec spec = Rig::makeJob(key, tasks);
    spec.steps.front().need.cpuMillis = 4000;
    spec.steps.front().usesSpareCpu = usesSpareCpu;
    return spec;
}

JobState makeJobState(std::int64_t acceptedMs)
{
    JobState job;
    job.accepted.spec = makeSpec("job", 1, true);
    job.accepted.slackMs = SlackMs;
    job.accepted.acceptedMs = acceptedMs;
    resetTasks(job);
    return job;
}

/** Two nodes and one worker of 16 cores. */
class OverloadedRig : public Rig
{
public:
    OverloadedRig()
        : Rig(0, 1)
    {
        scheduler.scarcity.enabled = true;
        decoder.catalog.queues.front().slackMs = SlackMs;
        Queue urgent = decoder.catalog.queues.front();
        urgent.name = "urgent";
        urgent.priority = 0;
        decoder.catalog.queues.front().priority = 2;
        decoder.catalog.queues.push_back(urgent);
        for (int i = 0; i < 2; ++i) {
            nodes.push_back(std::make_unique<RigNode>(backend, fleet, clock));
            boot(i);
        }
        run(3s);
    }

    /** Submits small jobs to @p queue, which need more than the worker can do, for @p time. */
    void overload(std::size_t queue, bool usesSpareCpu, Duration time)
    {
        for (const TimePoint until = clock.now() + time; clock.now() < until;) {
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (nodes[i]->node) {
                    nodes[i]->node->submit(decoder.catalog.queues[queue],
                                           makeSpec("newer" + std::to_string(m_newerJobs++), 1, usesSpareCpu),
                                           clock.now() + 3s,
                                           [](const IntakeReply &) {});
                }
            }
            run(50ms);
        }
    }

    /** A job of 12 tasks that is accepted while the worker is full, and too late once it is back. */
    void submitBeforeOutage(const JobKey &key)
    {
        overload(0, true, 1s);
        submit(leader(), makeSpec(key, 12, true));
        FakeWorker &worker = fleet.workers.begin()->second;
        worker.isReachable = false;
        overload(0, true, 8s);
        worker.isReachable = true;
    }

private:
    int m_newerJobs = 0;
};

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Decisions
// ---------------------------------------------------------------------------------------------------------------------

TEST(Overdue, countsFromTheObjectiveAndTheAcceptance)
{
    const JobState job = makeJobState(10'000);
    EXPECT_FALSE(overdueSinceMs(job, 13'900));
    EXPECT_EQ(overdueSinceMs(job, 13'901), 13'900);
    EXPECT_EQ(overdueSinceMs(job, 100'000), 13'900);
}

TEST(Overdue, longRunningTasksHaveNoObjective)
{
    JobState job = makeJobState(0);
    job.accepted.spec.steps.front().isLongRunning = true;
    EXPECT_FALSE(overdueSinceMs(job, 100'000));
}

TEST(Overdue, timedJobCountsFromTheOldestDueTimeThatIsLeft)
{
    JobState job = makeJobState(0);
    job.accepted.spec.repeatCount = 3;
    job.accepted.spec.firstStartMs = 50'000;
    job.accepted.spec.intervalMs = 10'000;
    resetTasks(job);
    EXPECT_FALSE(overdueSinceMs(job, 49'000));
    EXPECT_EQ(overdueSinceMs(job, 61'000), 53'900);
    job.occurrences[0].doneSteps = 1;
    EXPECT_FALSE(overdueSinceMs(job, 61'000));
    EXPECT_EQ(overdueSinceMs(job, 65'000), 63'900);
}

// Guards against overdue work that takes more than its share from jobs that can still end in time, or that takes the little
// reserved CPU there is because much spare CPU is left.
TEST(Overdue, shareEndsWithWhatIsHeldAndStarted)
{
    const StepSpec reserving = makeSpec("a", 1, false).steps.front();
    const StepSpec bestEffort = makeSpec("b", 1, true).steps.front();
    OverdueShare share;
    share.beginPass({4000, 8000}, {}, true);
    EXPECT_TRUE(share.isBelowLimit(reserving));
    share.addStart(reserving);
    EXPECT_FALSE(share.isBelowLimit(reserving));
    EXPECT_TRUE(share.isBelowLimit(bestEffort));
    share.addStart(bestEffort);
    EXPECT_TRUE(share.isBelowLimit(bestEffort));
    share.addStart(bestEffort);
    EXPECT_FALSE(share.isBelowLimit(bestEffort));
    share.beginPass({4000, 8000}, {3999, 8000}, true);
    EXPECT_TRUE(share.isBelowLimit(reserving));
    EXPECT_FALSE(share.isBelowLimit(bestEffort));
}

// Guards against slow tasks all over while jobs that can still end in time wait for room.
TEST(Overdue, idleCpuIsExceededOnlyWhileNoUsefulWorkWaits)
{
    OverdueShare share;
    share.beginPass({}, {}, true);
    EXPECT_FALSE(share.mayExceedIdleCpu(DeadlineOutlook::TooLate));
    share.beginPass({}, {}, false);
    EXPECT_TRUE(share.mayExceedIdleCpu(DeadlineOutlook::TooLate));
    EXPECT_TRUE(share.mayExceedIdleCpu(DeadlineOutlook::Late));
    EXPECT_FALSE(share.mayExceedIdleCpu(DeadlineOutlook::InTime));
}

// ---------------------------------------------------------------------------------------------------------------------
// Loads
// ---------------------------------------------------------------------------------------------------------------------

// Load: an outage of the worker makes a job too late, and newer jobs that can still end in time take all room since. Guards
// against a job that is accepted and waits without end.
TEST(Overdue, jobEndsWhileNewerJobsTakeAllRoom)
{
    OverloadedRig rig;
    rig.submitBeforeOutage("old");
    rig.overload(0, true, 25s);
    EXPECT_EQ(rig.state("old"), WorkflowState::Completed);
}

// Load: as before, with a new leader each 5 s. Guards against a wait that begins anew with each leader.
TEST(Overdue, jobEndsWhileLeadersChange)
{
    OverloadedRig rig;
    rig.submitBeforeOutage("old");
    for (int i = 0; i < 5; ++i) {
        const int leader = rig.leader();
        if (leader >= 0) {
            rig.kill(leader);
            rig.overload(0, true, 1s);
            rig.boot(leader);
        }
        rig.overload(0, true, 4s);
    }
    EXPECT_EQ(rig.state("old"), WorkflowState::Completed);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Load: sustained overload of a more urgent queue. Guards against a job of a less urgent one that waits without end.
TEST(Overdue, jobOfALessUrgentQueueEndsWhileUrgentOnesTakeAllRoom)
{
    OverloadedRig rig;
    rig.overload(1, false, 1s);
    rig.submit(0, makeSpec("patient", 2, false));
    rig.overload(1, false, 25s);
    EXPECT_EQ(rig.state("patient"), WorkflowState::Completed);
}

// Load: jobs that are too late, on workers whose idle CPU is taken for long, and no newer ones. Guards against accepted
// jobs of which nothing runs while the workers have memory and unreserved CPU.
TEST(Overdue, eachJobGetsATaskOnceNoUsefulWorkWaits)
{
    OverloadedRig rig;
    rig.fleet.longRunningJobs = {"0", "1", "2", "3"};
    for (int i = 0; i < 10; ++i) {
        rig.submit(0, makeSpec(std::to_string(i), 3, true));
    }
    rig.run(6s);
    EXPECT_EQ(rig.fleet.startedJobs.size(), 10U);
}

// Load: the oldest overdue job is a gang that never fits, and newer jobs take all room. Guards against a partial gang, reserved and
// released in each pass, that uses up the share for good.
TEST(Overdue, gangThatNeverFitsLeavesTheShareToOthers)
{
    OverloadedRig rig;
    WorkflowSpec gang = makeSpec("gang", 6, true); // 24 cores of 16
    gang.steps.front().isGang = true;
    rig.submit(rig.leader(), gang);
    rig.run(500ms);
    rig.submitBeforeOutage("old");
    rig.overload(0, true, 40s);
    EXPECT_EQ(rig.state("old"), WorkflowState::Completed);
}

// Load: a run that began in time and hangs, or lasts far longer than declared. Guards against its holding the share for good.
TEST(Overdue, lastingRunOfAnotherJobDoesNotHoldTheShare)
{
    OverloadedRig rig;
    rig.fleet.longRunningJobs = {"lasting"};
    rig.submit(rig.leader(), makeSpec("lasting", 1, false));
    rig.run(1s);
    ASSERT_TRUE(rig.fleet.startedJobs.contains("lasting"));
    rig.overload(1, false, 1s);
    rig.submit(0, makeSpec("patient", 2, false));
    rig.overload(1, false, 40s);
    EXPECT_EQ(rig.state("patient"), WorkflowState::Completed);
}

// Load: smaller, more urgent tasks take each freed piece of a worker. Guards against an overdue task that needs most of a worker
// and waits without end.
TEST(Overdue, largeTaskEndsWhileSmallerOnesTakeEachFreedPiece)
{
    OverloadedRig rig;
    rig.overload(1, false, 1s);
    WorkflowSpec large = makeSpec("large", 1, false);
    large.steps.front().need.cpuMillis = 12'000;
    rig.submit(0, large);
    rig.overload(1, false, 40s);
    EXPECT_EQ(rig.state("large"), WorkflowState::Completed);
}

// Load: as before. Guards against an overdue gang whose room is never free at once.
TEST(Overdue, gangEndsWhileNewerJobsTakeEachFreedPiece)
{
    OverloadedRig rig;
    rig.overload(1, false, 1s);
    WorkflowSpec gang = makeSpec("gang", 3, false);
    gang.steps.front().isGang = true;
    rig.submit(0, gang);
    rig.overload(1, false, 40s);
    EXPECT_EQ(rig.state("gang"), WorkflowState::Completed);
}

// Load: a job without an objective has a best-effort step that fits nowhere. Guards against its counting as useful work for good, so
// that no late job may exceed the idle CPU any more.
TEST(Overdue, jobThatFitsNowhereDoesNotKeepOthersWaiting)
{
    OverloadedRig rig;
    rig.fleet.longRunningJobs = {"0", "1", "2", "3", "mixed"};
    WorkflowSpec mixed = makeSpec("mixed", 1, true);
    mixed.steps.front().requiredLabel = "nowhere";
    StepSpec serving = mixed.steps.front();
    serving.requiredLabel.clear();
    serving.usesSpareCpu = false;
    serving.isLongRunning = true;
    serving.need.cpuMillis = 100;
    mixed.steps.push_back(serving);
    rig.submit(0, mixed);
    rig.run(1s);
    for (int i = 0; i < 10; ++i) {
        rig.submit(0, makeSpec(std::to_string(i), 3, true));
    }
    rig.run(30s);
    EXPECT_EQ(rig.fleet.startedJobs.size(), 11U);
}

// Load: newer jobs take all room. Guards against a short step of a job with long-running ones, which has no objective and so is
// never overdue, that waits without end.
TEST(Overdue, shortStepBesideALongRunningOneEndsWhileNewerJobsTakeAllRoom)
{
    OverloadedRig rig;
    rig.overload(0, true, 1s);
    WorkflowSpec mixed = makeSpec("mixed", 1, true);
    StepSpec serving = mixed.steps.front();
    serving.usesSpareCpu = false;
    serving.isLongRunning = true;
    serving.need.cpuMillis = 100;
    serving.after = {0};
    mixed.steps.push_back(serving);
    rig.submit(0, mixed);
    rig.overload(0, true, 40s);
    EXPECT_TRUE(rig.fleet.startedJobs.contains("mixed"));
}

// Load: a best-effort gang that is too late, and no idle CPU. Guards against its first member, reserved for it, that counts as one
// of its running tasks for the second.
TEST(Overdue, gangGetsItsTasksOnceNoUsefulWorkWaits)
{
    OverloadedRig rig;
    rig.fleet.longRunningJobs = {"0", "1", "2", "3", "4"};
    for (int i = 0; i < 5; ++i) {
        rig.submit(0, makeSpec(std::to_string(i), 1, true));
    }
    WorkflowSpec gang = makeSpec("gang", 2, true);
    gang.steps.front().isGang = true;
    rig.submit(0, gang);
    rig.overload(0, true, 6s); // the one job that may exceed the idle CPU is another one
    rig.run(30s);
    EXPECT_TRUE(rig.fleet.startedJobs.contains("4"));
    EXPECT_TRUE(rig.fleet.startedJobs.contains("gang"));
}

} // namespace QuetzalRock::Workflow
