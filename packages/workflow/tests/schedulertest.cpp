/** Nodes, store and workers in one process: from submitting jobs to their stored ends, under injected faults. */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

constexpr auto Done = WorkflowState::Completed;

/** Submits short jobs for @p time that overload the two workers of @p rig: they request 80 cores of 32. */
void submitOverload(Rig &rig, int &jobs, Duration time)
{
    for (Duration passed{}; passed < time; passed += 100ms) {
        rig.submit(0, Rig::makeJob("short" + std::to_string(jobs++), 8));
        rig.run(100ms);
    }
}

/** Starts the job "serving": one serving task with a latency target of 50 ms and a tail latency far below it. */
void startServingJob(Rig &rig)
{
    WorkflowSpec serving = Rig::makeJob("serving", 1);
    serving.steps[0].isLongRunning = true;
    serving.steps[0].image = "serves";
    serving.steps[0].latencyTargetMs = 50;
    rig.fleet.longRunningJobs.insert("serving");
    rig.fleet.gauges["serving"] = 10;
    rig.submit(0, serving);
    rig.run(3s);
}

WorkflowSpec makeBestEffortJob()
{
    WorkflowSpec bestEffort = Rig::makeJob("filling", 1);
    bestEffort.steps[0].usesSpareCpu = true;
    bestEffort.steps[0].image = "fills";
    return bestEffort;
}

} // namespace

TEST(Workflow, runsStepsInOrderAndStoresCompletion)
{
    Rig rig;
    rig.run(1s);
    rig.submit(1, Rig::makeJob("a", 3, 2));
    rig.run(400ms);
    EXPECT_EQ(rig.fleet.runningTasks(), 3U) << "the second step waits for the first";
    rig.run(2s);
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_EQ(rig.fleet.starts, 6U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

TEST(Workflow, sameKeySubmittedAtTwoNodesIsOneJob)
{
    Rig rig;
    rig.run(1s);
    std::optional<IntakeOutcome> first;
    std::optional<IntakeOutcome> second;
    rig.submit(0, Rig::makeJob("a", 2), &first);
    rig.submit(1, Rig::makeJob("a", 2), &second);
    rig.run(2s);
    EXPECT_EQ(first, IntakeOutcome::Ok);
    EXPECT_EQ(second, IntakeOutcome::Ok);
    EXPECT_EQ(rig.fleet.starts, 2U);
}

TEST(Workflow, lostStoreReplyIsNotReportedAsRejection)
{
    Rig rig;
    rig.run(1s);
    std::optional<IntakeOutcome> outcome;
    rig.nodes[1]->store.lostChangeReplies = 1;
    rig.submit(1, Rig::makeJob("a", 1), &outcome);
    rig.run(100ms);
    rig.nodes[1]->store.isRefusing = true; // rejects the retry; the first attempt may still have been executed
    rig.run(3s);
    EXPECT_EQ(outcome, IntakeOutcome::Unknown);
    EXPECT_EQ(rig.state("a"), Done);
}

TEST(Workflow, rejectedJobNeverRuns)
{
    Rig rig;
    rig.run(1s);
    std::optional<IntakeOutcome> outcome;
    rig.nodes[1]->store.isRefusing = true;
    rig.submit(1, Rig::makeJob("a", 1), &outcome);
    rig.run(3s);
    EXPECT_EQ(outcome, IntakeOutcome::NotAccepted);
    EXPECT_EQ(rig.fleet.starts, 0U);
}

// Guards against UNASKED: a job ran for good whose cancel had been answered with "no such job", as its submission was under
// way at a node cut off from the store and was executed later.
TEST(Workflow, jobCancelledBeforeItsSubmissionIsExecutedNeverRuns)
{
    Rig rig;
    rig.run(1s);
    FakeStore &cutOff = rig.nodes[1]->store;
    cutOff.lostChangeReplies = 100;
    cutOff.lostChangeDelay = 4s;
    std::optional<IntakeOutcome> submitted;
    rig.submit(1, Rig::makeJob("a", 1), &submitted);
    rig.run(3s);
    ASSERT_EQ(submitted, IntakeOutcome::Unknown);
    std::optional<IntakeOutcome> cancelled;
    rig.cancel(0, "a", &cancelled);
    rig.run(500ms);
    EXPECT_EQ(cancelled, IntakeOutcome::NoSuchJob);
    cutOff.lostChangeReplies = 0;
    rig.run(10s);
    EXPECT_EQ(rig.fleet.starts, 0U);
    std::optional<IntakeOutcome> state;
    rig.nodes[0]->node->intake().queryState("a", [&state](const IntakeReply &it) { state = it.outcome; });
    rig.submit(0, Rig::makeJob("a", 1), &submitted);
    rig.run(1s);
    EXPECT_EQ(state, IntakeOutcome::NoSuchJob) << "nobody has been told that there is such a job";
    EXPECT_EQ(submitted, IntakeOutcome::Cancelled);
    EXPECT_EQ(rig.fleet.starts, 0U);
}

// Guards against a cancel that is lost between its read and its write, and against one that a lost answer turns into a failure.
TEST(Workflow, cancelThatMeetsASubmissionCancelsTheJob)
{
    Rig rig;
    rig.run(1s);
    rig.fleet.longRunningJobs = {"a"};
    WorkflowSpec spec = Rig::makeJob("a", 1);
    spec.steps[0].isLongRunning = true;
    std::optional<IntakeOutcome> submitted;
    std::optional<IntakeOutcome> cancelled;
    std::optional<IntakeOutcome> unknown;
    rig.cancel(0, "a", &cancelled); // has read that there is no such job
    rig.submit(1, spec, &submitted);
    rig.run(2s);
    EXPECT_EQ(submitted, IntakeOutcome::Ok);
    EXPECT_EQ(cancelled, IntakeOutcome::Ok);
    EXPECT_EQ(rig.fleet.runningTasks(), 0U);
    rig.nodes[0]->store.lostChangeReplies = 1;
    rig.cancel(0, "b", &unknown);
    rig.run(2s);
    EXPECT_EQ(unknown, IntakeOutcome::NoSuchJob);
}

// Guards against a store that fills up with cancels of jobs that do not exist.
TEST(Workflow, cancelOfAnUnknownJobIsForgottenInTime)
{
    Rig rig;
    rig.scheduler.finalJobRetention = 5s;
    for (int i = 0; i < 2; ++i) {
        rig.kill(i);
        rig.boot(i);
    }
    rig.run(3s);
    std::optional<IntakeOutcome> outcome;
    rig.cancel(0, "a", &outcome);
    rig.run(1s);
    EXPECT_EQ(outcome, IntakeOutcome::NoSuchJob);
    EXPECT_TRUE(rig.backend.items.contains("job/a"));
    rig.run(6s);
    EXPECT_FALSE(rig.backend.items.contains("job/a"));
    EXPECT_FALSE(rig.backend.items.contains("in/0/c/a"));
    rig.submit(0, Rig::makeJob("a", 1), &outcome);
    rig.run(2s);
    EXPECT_EQ(outcome, IntakeOutcome::Ok);
    EXPECT_EQ(rig.state("a"), Done);
}

// A new leader has not renewed any lease itself yet. It must not treat the leases of adopted runs as expired.
TEST(Workflow, newLeaderAdoptsRunningTasks)
{
    Rig rig;
    rig.fleet.workTime = 8s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 6));
    rig.run(1s);
    ASSERT_EQ(rig.fleet.runningTasks(), 6U);
    rig.kill(rig.leader());
    rig.run(10s);
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_EQ(rig.fleet.starts, 6U) << "no task was started again";
    EXPECT_TRUE(rig.fleet.violations.empty());
}

TEST(Workflow, leaderResumingAfterAPauseIsFenced)
{
    Rig rig(3);
    rig.fleet.workTime = 700ms;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 6, 3));
    rig.run(300ms);
    RigNode &frozen = *rig.nodes[static_cast<std::size_t>(rig.leader())];
    frozen.isFrozen = true;
    rig.run(4s);
    frozen.isFrozen = false;
    rig.run(5s);
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_TRUE(rig.fleet.violations.empty());
    EXPECT_TRUE(frozen.node->schedulers().empty()) << "it has given up leadership";
}

// As long as a worker has not reported to the new leader, it may run any task of the former leader.
TEST(Workflow, newLeaderWaitsForTheLeaseOfAnUnreachableWorker)
{
    Rig rig(2, 2);
    rig.fleet.workTime = 60s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.run(1s);
    const int former = rig.leader();
    rig.nodes[static_cast<std::size_t>(1 - former)]->port.unreachableWorkers = {"w0"};
    const std::size_t before = rig.fleet.runningTasks();
    rig.kill(former);
    rig.run(4s);
    EXPECT_EQ(rig.fleet.starts, before) << "w0's tasks are not started a second time";
    rig.run(20s);
    EXPECT_EQ(rig.fleet.runningTasks(), 4U) << "w0's lease has expired, so its tasks run elsewhere";
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// A leader that is cut off from the store and from w0 goes on under grace authority, while its successor renews w0's
// lease. The former leader must not treat that lease as expired and start w0's tasks elsewhere.
TEST(Workflow, leaderInGraceDoesNotExpireLeases)
{
    Rig rig(2, 2);
    rig.fleet.workTime = 60s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.run(1s);
    const int former = rig.leader();
    RigNode &cutOff = *rig.nodes[static_cast<std::size_t>(former)];
    cutOff.store.isSilent = true;
    cutOff.port.unreachableWorkers = {"w0"};
    rig.nodes[static_cast<std::size_t>(1 - former)]->port.unreachableWorkers = {"w1"};
    rig.run(9s);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// A busy leader may process a report so late that the lease has expired meanwhile. The ends in the report must
// still count; otherwise the leader starts completed tasks again.
TEST(Workflow, pendingRenewalIsProcessedBeforeLeaseExpiry)
{
    Rig rig(1, 2);
    rig.fleet.workTime = 2500ms;
    rig.run(2s);
    rig.submit(0, Rig::makeJob("a", 4));
    while (rig.fleet.runningTasks() < 4) {
        rig.run(StepTime);
    }
    rig.run(rig.fleet.workTime - StepTime);
    rig.nodes[0]->port.renewReplyDelay["w0"] = 7s; // starting with the report that lists the ends
    rig.run(15s);
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_EQ(rig.fleet.starts, 4U) << "no task was started again";
}

// A restarted worker numbers its ends from 1 again. A renewal meant for the previous incarnation must not acknowledge
// ends of the new one that the leader has not processed.
TEST(Workflow, restartedWorkerKeepsUnseenEnds)
{
    Rig rig(1, 1);
    rig.run(2s);
    rig.submit(0, Rig::makeJob("first", 4));
    rig.run(2s);
    ASSERT_EQ(rig.state("first"), Done);
    RigNode &node = *rig.nodes[0];
    node.port.lostStartReplies = 1;
    node.port.lostStartDelay = 200ms; // arrives after the restart
    rig.submit(0, Rig::makeJob("second", 1));
    while (node.port.lostStartReplies > 0) {
        rig.run(StepTime);
    }
    node.port.unreachableWorkers = {"w0"};
    rig.run(100ms);
    rig.fleet.restartWorker("w0");
    rig.fleet.workers["w0"].leaseUntil = {};
    rig.run(500ms);
    node.port.unreachableWorkers.clear();
    rig.run(10s);
    EXPECT_EQ(rig.state("second"), Done);
    EXPECT_EQ(rig.fleet.starts, 5U) << "the second job's task ran once, after the restart";
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against LOST: a worker restarted and left before it had reported again. Its runs were held for good, as the
// clock by which their lease is measured was not known any more.
TEST(Workflow, runsOfAWorkerThatRestartedAndLeftAreNotHeldForGood)
{
    Rig rig(1, 2);
    rig.fleet.workTime = 60s;
    rig.run(2s);
    rig.submit(0, Rig::makeJob("a", 1));
    rig.run(500ms);
    WorkerId used;
    for (const auto &[id, worker] : rig.fleet.workers) {
        used = worker.running.empty() ? used : id;
    }
    ASSERT_EQ(rig.fleet.runningTasks(), 1U);
    rig.nodes[0]->port.unreachableWorkers = {used};
    rig.fleet.restartWorker(used);
    rig.backend.write("workers/" + used, "restarted");
    rig.run(1s);
    rig.fleet.removeWorker(used, false);
    ++rig.backend.revision;
    rig.backend.remove("workers/" + used);
    rig.run(15s); // the longest lease that its last process may have got, and the time for an order to arrive there
    EXPECT_EQ(rig.fleet.runningTasks(), 1U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// A new leader reads a worker whose registry entry is missing. The worker then restarts before its entry is back; the
// restart must still be detected, or ends of the new incarnation are dropped as already processed.
TEST(Workflow, workerRestartIsDetectedWhileItsEntryIsMissing)
{
    Rig rig(2, 2);
    rig.fleet.workers["w1"].isReachable = false; // so that all tasks go to w0
    rig.run(2s);
    rig.submit(0, Rig::makeJob("first", 4));
    while (rig.fleet.runningTasks() < 4) {
        rig.run(StepTime);
    }
    rig.backend.remove("workers/w0");
    rig.kill(rig.leader()); // its successor processes the ends up to sequence number four
    rig.run(10s);
    ASSERT_EQ(rig.state("first"), Done);
    rig.fleet.restartWorker("w0");
    rig.run(100ms);
    rig.backend.write("workers/w0", "back");
    rig.run(1s);
    const int alive = rig.leader();
    rig.submit(alive, Rig::makeJob("second", 1));
    rig.run(10s);
    EXPECT_EQ(rig.state("second"), Done);
    EXPECT_EQ(rig.fleet.starts, 5U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Whatever the pressure model predicts, once a serving task has exceeded its latency target for long, the best-effort
// tasks on its worker are throttled to 0 and no further ones are placed there.
TEST(Workflow, noBestEffortTaskIsPlacedBesideAServingTaskOverItsTarget)
{
    Rig rig(1, 1);
    rig.fleet.workTime = 60s;
    rig.run(2s);
    startServingJob(rig);
    WorkflowSpec bestEffort = makeBestEffortJob();
    rig.submit(0, bestEffort);
    rig.run(1s);
    ASSERT_EQ(rig.fleet.runningTasks(), 2U);
    rig.fleet.gauges["serving"] = 2000; // saturated: the model cannot tell how far
    rig.run(2s);
    EXPECT_EQ(rig.nodes[0]->port.throttles.back(), 0);
    bestEffort.key = "another";
    rig.submit(0, bestEffort);
    rig.run(4s);
    EXPECT_EQ(rig.fleet.runningTasks(), 2U);
    rig.fleet.gauges["serving"] = 10;
    rig.run(4s);
    EXPECT_EQ(rig.fleet.runningTasks(), 3U) << "it is placed once the serving task is below its target again";
}

// Load: the model underestimates how much an image slows down a serving task, so the tail goes over its target while the
// model still sees room. Guards against best-effort tasks that are placed, or throttled less, beside such a task.
TEST(Workflow, aReportOverTheTargetOutweighsTheModel)
{
    Rig rig(1, 1);
    rig.fleet.workTime = 60s;
    rig.run(2s);
    startServingJob(rig);
    WorkflowSpec bestEffort = makeBestEffortJob();
    bestEffort.steps[0].need.cpuMillis = 100; // too little to matter by the pressure model
    rig.submit(0, bestEffort);
    rig.run(1s);
    ASSERT_EQ(rig.fleet.runningTasks(), 2U);
    rig.fleet.gauges["serving"] = 60; // the target is 50
    rig.run(600ms);
    bestEffort.key = "another";
    rig.submit(0, bestEffort);
    rig.run(400ms); // less than PressureSettings::maxTimeOverTarget: nothing is throttled to 0 yet
    EXPECT_EQ(rig.fleet.runningTasks(), 2U);
    rig.run(1s);
    auto &throttles = rig.nodes[0]->port.throttles;
    ASSERT_FALSE(throttles.empty());
    EXPECT_EQ(throttles.back(), 0);
    rig.run(4s);
    EXPECT_EQ(throttles.back(), 0) << "stays at 0 as long as the tail is over its target";
    rig.fleet.gauges["serving"] = 10;
    rig.run(4s);
    EXPECT_EQ(throttles.back(), 100);
    EXPECT_EQ(rig.fleet.runningTasks(), 3U);
}

// The worker reserved for the first task reaches the step's maxPerWorker with it. The reservation for the second task
// has to move to another worker.
TEST(Workflow, reservationMovesOnWhenAWorkerReachesMaxPerWorker)
{
    Rig rig(1, 2);
    rig.fleet.workTime = 600ms;
    rig.run(2s);
    int jobs = 0;
    submitOverload(rig, jobs, 2s);
    WorkflowSpec longRunning = Rig::makeJob("lasting", 2);
    longRunning.steps[0].need.cpuMillis = 12'000;
    longRunning.steps[0].isLongRunning = true;
    longRunning.steps[0].maxPerWorker = 1;
    rig.fleet.longRunningJobs.insert("lasting");
    rig.submit(0, longRunning);
    submitOverload(rig, jobs, 8s);
    for (const auto &[id, worker] : rig.fleet.workers) {
        EXPECT_EQ(std::count_if(worker.running.begin(),
                                worker.running.end(),
                                [](const FakeRun &it) { return it.run.task.job == "lasting"; }),
                  1)
            << id;
    }
}

// Reported tail latencies are noisy: a task whose reports alternate around its target may exceed it all the time. The
// reports just below the target must not reset the time over target.
TEST(Workflow, tailOscillatingAroundItsTargetCountsAsOver)
{
    Rig rig(1, 1);
    rig.fleet.workTime = 60s;
    rig.run(2s);
    startServingJob(rig);
    WorkflowSpec bestEffort = makeBestEffortJob();
    bestEffort.steps[0].need.cpuMillis = 100; // too little to matter by the pressure model
    rig.submit(0, bestEffort);
    rig.run(1s);
    ASSERT_EQ(rig.fleet.runningTasks(), 2U);
    for (int i = 0; i < 8; ++i) {
        rig.fleet.gauges["serving"] = i % 2 == 0 ? 52 : 48;
        rig.run(400ms);
    }
    const auto &throttles = rig.nodes[0]->port.throttles;
    EXPECT_NE(std::find(throttles.begin(), throttles.end(), 0), throttles.end()) << "throttled to 0 within 3 s";
}

// A continuous stream of short tasks exceeds the capacity and takes resources as soon as they are freed, so that a
// large long-running task would never find enough at once. A worker has to be reserved for it.
TEST(Workflow, largeLongRunningTaskIsNotStarvedByShortTasks)
{
    Rig rig(1, 2);
    rig.fleet.workTime = 600ms;
    rig.run(2s);
    int jobs = 0;
    submitOverload(rig, jobs, 2s);
    WorkflowSpec longRunning = Rig::makeJob("lasting", 1);
    longRunning.steps[0].need.cpuMillis = 12'000;
    longRunning.steps[0].isLongRunning = true;
    rig.fleet.longRunningJobs.insert("lasting");
    rig.submit(0, longRunning);
    submitOverload(rig, jobs, 5s);
    EXPECT_EQ(rig.state("lasting"), WorkflowState::Running);
}

// The free resources suffice for a large long-running task in total, but not on any single worker. A smaller
// long-running task has to be evicted and placed elsewhere.
TEST(Workflow, smallLongRunningTaskIsEvictedForALargerOne)
{
    Rig rig(1, 2);
    rig.run(2s);
    const auto submit = [&rig](const JobKey &key, std::int64_t cpuMillis) {
        WorkflowSpec spec = Rig::makeJob(key, 1);
        spec.steps[0].need.cpuMillis = cpuMillis;
        spec.steps[0].isLongRunning = true;
        rig.fleet.longRunningJobs.insert(key);
        rig.submit(0, spec);
        rig.run(200ms);
    };
    for (const char *worker : {"first", "second"}) { // fills one worker, then the other
        submit(std::string(worker) + "-goes", 6000);
        submit(std::string(worker) + "-stays", 6000);
        submit(std::string(worker) + "-small", 4000);
    }
    rig.cancel(0, "first-goes");
    rig.cancel(0, "second-goes");
    rig.run(500ms);
    submit("large", 8000);
    rig.run(6s);
    EXPECT_EQ(rig.state("large"), WorkflowState::Running);
    EXPECT_EQ(rig.fleet.runningTasks(), 5U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// The former leader's node has restarted, so that leader sends no more orders. The new leader waits only for the worker
// leases that it may have granted, not for its grace period as well.
TEST(Workflow, restartedFormerLeaderIsNotWaitedFor)
{
    Rig rig(2, 2);
    rig.fleet.workTime = 60s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.run(1s);
    const int former = rig.leader();
    rig.fleet.workers["w0"].isReachable = false;
    rig.kill(former);
    rig.boot(former);
    rig.run(9s);
    EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

TEST(Workflow, resigningLeaderHandsOverAtOnce)
{
    Rig rig(2, 2);
    rig.fleet.workTime = 3s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.run(500ms);
    const int former = rig.leader();
    rig.nodes[static_cast<std::size_t>(former)]->node->beginDrain();
    rig.run(300ms);
    EXPECT_EQ(rig.leader(), 1 - former);
    rig.run(5s);
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_EQ(rig.fleet.starts, 4U);
}

TEST(Workflow, unreachableWorkerKeepsItsTasksUntilItsLeaseExpires)
{
    Rig rig(1, 2);
    rig.fleet.workTime = 60s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.run(1s);
    rig.nodes[0]->port.unreachableWorkers = {"w0"};
    rig.run(3s);
    EXPECT_EQ(rig.fleet.starts, 4U);
    rig.run(4s);
    EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

TEST(Workflow, unansweredStartIsStoppedBeforeRetryElsewhere)
{
    for (const Duration late : {Duration(-1s), Duration(100ms), Duration(700ms), Duration(2s), Duration(5s)}) {
        Rig rig(1, 3);
        rig.run(1s);
        rig.nodes[0]->port.lostStartReplies = 2;
        rig.nodes[0]->port.lostStartDelay = late;
        rig.submit(0, Rig::makeJob("a", 4));
        rig.run(8s);
        EXPECT_EQ(rig.state("a"), Done);
        EXPECT_TRUE(rig.fleet.violations.empty()) << late.count() << ": " << rig.fleet.violations.front();
    }
}

// A worker keeps an end until it is stored: if the leader dies during a store outage, its successor reads it again.
TEST(Workflow, endsSurviveAStoreOutageAndLeaderFailure)
{
    Rig rig(2);
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.run(200ms);
    for (const auto &it : rig.nodes) {
        it->store.isRefusing = true;
    }
    rig.run(2s);
    EXPECT_NE(rig.state("a"), Done);
    rig.kill(0);
    rig.nodes[1]->store.isRefusing = false;
    rig.run(4s);
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_EQ(rig.fleet.starts, 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// During a store outage that affects all nodes, jobs that are already known continue through all their steps.
TEST(Workflow, knownJobsContinueDuringAStoreOutage)
{
    Rig rig(2);
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 2, 4));
    rig.run(200ms);
    for (const auto &it : rig.nodes) {
        it->store.isRefusing = true;
    }
    rig.run(4s);
    EXPECT_EQ(rig.fleet.starts, 8U) << "four steps of two tasks";
    EXPECT_TRUE(rig.fleet.violations.empty());
}

TEST(Workflow, lateWriteDoesNotOverwriteALaterOne)
{
    Rig rig(1);
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 1));
    rig.run(50ms);
    rig.nodes[0]->store.lostChangeReplies = 1;
    rig.nodes[0]->store.lostChangeDelay = 2s;
    rig.run(5s);
    EXPECT_EQ(rig.state("a"), Done);
}

TEST(Workflow, cancelledJobIsStoppedAndStartsNoMoreTasks)
{
    Rig rig;
    rig.fleet.longRunningJobs = {"a"};
    rig.run(1s);
    WorkflowSpec spec = Rig::makeJob("a", 3);
    spec.steps[0].isLongRunning = true;
    rig.submit(0, spec);
    rig.run(1s);
    ASSERT_EQ(rig.fleet.runningTasks(), 3U);
    rig.cancel(1, "a");
    rig.run(1s);
    EXPECT_EQ(rig.fleet.runningTasks(), 0U);
    EXPECT_EQ(rig.state("a"), WorkflowState::Cancelled);
    rig.run(3s);
    EXPECT_EQ(rig.fleet.starts, 3U);
}

TEST(Workflow, jobFailsAfterTooManyTaskFailures)
{
    Rig rig;
    rig.fleet.failingJobs = {"a"};
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 1));
    rig.submit(0, Rig::makeJob("b", 2));
    rig.run(6s);
    EXPECT_EQ(rig.state("a"), WorkflowState::Failed);
    EXPECT_EQ(rig.state("b"), Done);
}

TEST(Workflow, failuresAreCountedAcrossLeaders)
{
    Rig rig(2, 3);
    rig.fleet.failingJobs = {"a"};
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 1));
    rig.run(150ms);
    rig.kill(rig.leader());
    rig.run(8s);
    EXPECT_EQ(rig.state("a"), WorkflowState::Failed);
    EXPECT_LE(rig.fleet.starts, 3U);
}

TEST(Workflow, failingWorkerIsQuarantined)
{
    Rig rig(1, 4);
    rig.fleet.workers["w2"].failsAll = true;
    rig.run(1s);
    for (int i = 0; i < 10; ++i) {
        rig.submit(0, Rig::makeJob("job" + std::to_string(i), 4));
        rig.run(200ms);
    }
    rig.run(4s);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(rig.state("job" + std::to_string(i)), Done) << i;
    }
}

TEST(Workflow, drainingWorkerGetsNoWorkAndLongRunningTasksLeaveIt)
{
    Rig rig(1, 2);
    rig.fleet.longRunningJobs = {"a"};
    rig.run(1s);
    WorkflowSpec spec = Rig::makeJob("a", 4);
    spec.steps[0].isLongRunning = true;
    rig.submit(0, spec);
    rig.run(1s);
    rig.fleet.workers["w0"].condition = WorkerCondition::Draining;
    rig.backend.write("workers/w0", "2");
    rig.run(2s);
    EXPECT_EQ(rig.fleet.workers["w0"].running.size(), 0U);
    EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

namespace {

void submitLongRunning(Rig &rig, const JobKey &key, std::uint32_t tasks, std::int64_t cpuMillis)
{
    WorkflowSpec spec = Rig::makeJob(key, tasks);
    spec.steps[0].need.cpuMillis = cpuMillis;
    spec.steps[0].isLongRunning = true;
    rig.fleet.longRunningJobs.insert(key);
    rig.submit(rig.leader(), spec);
    rig.run(300ms);
}

/** Kills the leader; its successor cannot reach @p worker, so it may start no task of the known jobs. */
RigNode &takeOverWithout(Rig &rig, const WorkerId &worker)
{
    const int former = rig.leader();
    RigNode &successor = *rig.nodes[static_cast<std::size_t>(1 - former)];
    successor.port.unreachableWorkers = {worker};
    rig.kill(former);
    rig.run(5s); // by then it is certain which jobs the former leader cannot have known
    EXPECT_EQ(rig.leader(), 1 - former);
    return successor;
}

} // namespace

// After an unclear takeover no task of a known job may be started until each worker has been read or outwaited. A task
// that is stopped meanwhile would serve nobody for many seconds.
TEST(Workflow, newLeaderLeavesTasksOnADrainingWorkerUntilTheyMayStartElsewhere)
{
    Rig rig(2, 3);
    rig.run(1s);
    submitLongRunning(rig, "a", 6, 5000);
    ASSERT_EQ(rig.fleet.workers["w0"].running.size(), 3U);
    ASSERT_EQ(rig.fleet.workers["w1"].running.size(), 3U);
    RigNode &leader = takeOverWithout(rig, "w2");
    rig.fleet.workers["w1"].condition = WorkerCondition::Draining;
    rig.fleet.workers["w1"].leavesInMs = 30'000;
    rig.backend.write("workers/w1", "2");
    rig.run(3s);
    EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 3U);
    leader.port.unreachableWorkers.clear();
    rig.run(5s);
    EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 0U) << "every worker has been read";
    EXPECT_EQ(rig.fleet.runningTasks(), 6U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

TEST(Workflow, restartedWorkerIsReadAgain)
{
    Rig rig(1, 2);
    rig.fleet.workTime = 5s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.run(1s);
    rig.fleet.restartWorker("w0");
    rig.run(12s);
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

TEST(Workflow, compactedStoreHistoryHidesNoJob)
{
    Rig rig;
    rig.run(1s);
    for (const auto &it : rig.nodes) {
        it->store.isSilent = true;
    }
    rig.run(200ms);
    rig.backend.write(makeShardKeys(0).jobs + "x", "not a record"); // from another writer: logged and skipped
    rig.backend.dropHistory();
    for (const auto &it : rig.nodes) {
        it->store.isSilent = false;
    }
    rig.run(2s);
    rig.submit(1, Rig::makeJob("a", 2));
    rig.run(3s);
    EXPECT_EQ(rig.state("a"), Done);
}

// A newer configuration is in force within a second; an older one is ignored, however it arrives.
TEST(Workflow, olderCatalogIsIgnored)
{
    Rig rig(1, 1);
    rig.run(1s);
    rig.decoder.catalog.version = 5;
    rig.decoder.catalog.queues[0].name = "renamed";
    rig.backend.write("operator/config", "5");
    rig.run(1s);
    EXPECT_EQ(rig.nodes[0]->node->catalog().version, 5);
    rig.decoder.catalog.version = 4;
    rig.decoder.catalog.queues.clear();
    rig.backend.write("operator/config", "4");
    rig.run(1s);
    EXPECT_EQ(rig.nodes[0]->node->catalog().version, 5);
    EXPECT_NE(rig.nodes[0]->node->findQueue("", "/q/key"), nullptr);
    EXPECT_EQ(rig.nodes[0]->node->findQueue("", "/other/key"), nullptr);
}

TEST(Workflow, gangStartsTogetherOrNotAtAll)
{
    Rig rig(1, 2);
    rig.run(1s);
    WorkflowSpec spec = Rig::makeJob("a", 40);
    spec.steps[0].isGang = true;
    rig.submit(0, spec); // requests 40 cores of 32
    WorkflowSpec small = Rig::makeJob("b", 20);
    small.steps[0].isGang = true;
    rig.submit(0, small);
    rig.run(3s);
    EXPECT_EQ(rig.fleet.starts, 20U);
    EXPECT_EQ(rig.state("b"), Done);
}

TEST(Workflow, occurrencesStartWhenTheyAreDue)
{
    Rig rig(1, 2);
    rig.run(1s);
    WorkflowSpec spec = Rig::makeJob("a", 1);
    spec.repeatCount = 3;
    spec.intervalMs = 1000;
    spec.firstStartMs = rig.clock.wallNow().count() + 1000;
    rig.submit(0, spec);
    rig.run(900ms);
    EXPECT_EQ(rig.fleet.starts, 0U);
    rig.run(1100ms);
    EXPECT_EQ(rig.fleet.starts, 1U);
    rig.run(4s);
    EXPECT_EQ(rig.fleet.starts, 3U);
    EXPECT_EQ(rig.state("a"), Done);
}

namespace {

/** The worker starts again under its id; its clock begins anew. */
void restartWithNewClock(Rig &rig, const WorkerId &id)
{
    rig.fleet.restartWithClock(id);
}

WorkflowSpec makeLongRunning(Rig &rig, const JobKey &key, std::uint32_t tasks)
{
    WorkflowSpec spec = Rig::makeJob(key, tasks);
    spec.steps[0].isLongRunning = true;
    rig.fleet.longRunningJobs.insert(key);
    return spec;
}

void loseWorker(Rig &rig, const WorkerId &id)
{
    rig.fleet.workers[id].running.clear();
    rig.fleet.workers[id].isReachable = false;
}

} // namespace

// Guards against LOST: a worker that had restarted was taken to hold the longest lease that workers accept, though it had long
// reported, and no order from before the restart could reach it any more.
TEST(Workflow, leaseOfARestartedWorkerIsTheOneThatItWasGiven)
{
    for (const int restarts : {1, 2, 3}) {
        Rig rig(1, 1);
        rig.nodes[0]->port.renewalsWait = true;
        rig.run(2s);
        for (int i = 0; i < restarts; ++i) {
            rig.fleet.workers["w0"].isReachable = false;
            rig.run(700ms);
            restartWithNewClock(rig, "w0");
            rig.fleet.workers["w0"].isReachable = true;
            rig.backend.write("workers/w0", "restarted");
            rig.run(2s);
        }
        rig.submit(0, makeLongRunning(rig, "a", 4));
        rig.run(1s);
        ASSERT_EQ(rig.fleet.workers["w0"].running.size(), 4U);
        rig.addWorker("w1");
        rig.run(500ms);
        loseWorker(rig, "w0");
        rig.run(6500ms);
        EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 4U) << restarts << " restarts";
        EXPECT_TRUE(rig.fleet.violations.empty());
    }
}

// Guards against TWICE: a start from before the restart, without an answer, is executed by the next incarnation, which measures
// its lease by another clock.
TEST(Workflow, lateStartAtTheNextIncarnationIsOutwaited)
{
    Rig rig(1, 1);
    FakePort &port = rig.nodes[0]->port;
    rig.run(2s);
    port.lostStartReplies = 1;
    port.lostStartDelay = 200ms; // arrives after the restart
    rig.submit(0, makeLongRunning(rig, "a", 1));
    while (port.lostStartReplies > 0) {
        rig.run(StepTime);
    }
    restartWithNewClock(rig, "w0");
    rig.backend.write("workers/w0", "restarted");
    rig.run(1s);
    ASSERT_EQ(rig.fleet.workers["w0"].running.size(), 1U);
    rig.submit(0, makeLongRunning(rig, "b", 1));
    rig.run(500ms);
    ASSERT_EQ(rig.fleet.workers["w0"].running.size(), 2U);
    rig.addWorker("w1");
    rig.run(500ms);
    rig.fleet.workers["w0"].isReachable = false;
    rig.run(20s);
    EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 2U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against TWICE: as above, for a renewal without an answer, and for one that the next incarnation has answered.
TEST(Workflow, lateRenewalAtTheNextIncarnationIsOutwaited)
{
    for (const bool isAnswered : {false, true}) {
        Rig rig(1, 1);
        FakePort &port = rig.nodes[0]->port;
        port.lostOrdersReachNextIncarnation = true;
        rig.scheduler.leaseExtensionInterval = {}; // each renewal extends the lease
        rig.kill(0);
        rig.boot(0);
        rig.run(3s);
        if (isAnswered) {
            restartWithNewClock(rig, "w0"); // the next renewal is executed before the restart is noticed
        } else {
            port.lostOrderReplies = 1;
            port.lostOrderDelay = 200ms;
            while (port.lostOrderReplies > 0) {
                rig.run(StepTime);
            }
            restartWithNewClock(rig, "w0");
        }
        rig.run(300ms);
        rig.backend.write("workers/w0", "restarted");
        rig.run(700ms);
        ASSERT_GT(rig.fleet.workers["w0"].leaseUntil, rig.clock.now() + 8s) << "by its own clock";
        rig.submit(0, makeLongRunning(rig, "a", 2));
        rig.run(500ms);
        ASSERT_EQ(rig.fleet.workers["w0"].running.size(), 2U);
        rig.addWorker("w1");
        rig.run(500ms);
        rig.fleet.workers["w0"].isReachable = false;
        rig.run(20s);
        EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 2U);
        EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
    }
}

// Guards against TWICE: orders of a former leader may reach a worker's next incarnation as well.
TEST(Workflow, lateOrderOfAFormerLeaderAtTheNextIncarnationIsOutwaited)
{
    Rig rig(2, 1);
    rig.run(2s);
    const int former = rig.leader();
    FakePort &port = rig.nodes[static_cast<std::size_t>(former)]->port;
    port.lostOrdersReachNextIncarnation = true;
    port.lostOrderReplies = 3;
    port.lostOrderDelay = 2500ms;
    rig.run(2s);
    rig.kill(former);
    for (int i = 0; i < 500 && rig.leader() < 0; ++i) {
        rig.run(StepTime);
    }
    const int leader = rig.leader();
    rig.run(100ms);
    restartWithNewClock(rig, "w0");
    rig.backend.write("workers/w0", "restarted");
    rig.run(3s);
    rig.submit(leader, makeLongRunning(rig, "a", 2));
    rig.run(500ms);
    ASSERT_EQ(rig.fleet.workers["w0"].running.size(), 2U);
    rig.addWorker("w1");
    rig.run(500ms);
    rig.fleet.workers["w0"].isReachable = false;
    rig.run(20s);
    EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 2U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

} // namespace QuetzalRock::Workflow
