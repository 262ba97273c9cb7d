/** The whole path in one process: jobs in, tasks on workers, ends stored; with the faults that it is built for. */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

constexpr auto Done = WorkflowState::Completed;

/** Small short tasks for @p time, more than the two workers of @p rig can take: 80 cores wanted, of 32. */
void press(Rig &rig, int &jobs, Duration time)
{
    for (Duration passed{}; passed < time; passed += 100ms) {
        rig.submit(0, Rig::makeJob("short" + std::to_string(jobs++), 8));
        rig.run(100ms);
    }
}

/** Starts the job "serving": one task with a target of 50 ms, far below it. */
void serve(Rig &rig)
{
    WorkflowSpec serving = Rig::makeJob("serving", 1);
    serving.steps[0].isLasting = true;
    serving.steps[0].image = "serves";
    serving.steps[0].latencyTargetMs = 50;
    rig.fleet.longRunningJobs.insert("serving");
    rig.fleet.gauges["serving"] = 10;
    rig.submit(0, serving);
    rig.run(3s);
}

WorkflowSpec makeFilling()
{
    WorkflowSpec filling = Rig::makeJob("filling", 1);
    filling.steps[0].usesSpareCpu = true;
    filling.steps[0].image = "fills";
    return filling;
}

} // namespace

TEST(Workflow, runsStepsInOrderAndStoresTheEnd)
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

TEST(Workflow, theSameKeyAtTwoNodesIsOneJob)
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

TEST(Workflow, aLostAnswerIsNeverTakenForARefusal)
{
    Rig rig;
    rig.run(1s);
    std::optional<IntakeOutcome> outcome;
    rig.nodes[1]->store.loseAnswers = 1;
    rig.submit(1, Rig::makeJob("a", 1), &outcome);
    rig.run(100ms);
    rig.nodes[1]->store.isRefusing = true; // the repeat is refused, and that says nothing of the first try
    rig.run(3s);
    EXPECT_EQ(outcome, IntakeOutcome::Unknown);
    EXPECT_EQ(rig.state("a"), Done);
}

TEST(Workflow, aRefusedJobNeverRuns)
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

// A new leader has prolonged no lease yet: what it reads back must not count as lapsed.
TEST(Workflow, aNewLeaderKeepsWhatItReadsBack)
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
    EXPECT_EQ(rig.fleet.starts, 6U) << "nothing was started again";
    EXPECT_TRUE(rig.fleet.violations.empty());
}

TEST(Workflow, aLeaderThatWakesFromAFreezeHasNoEffect)
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
    EXPECT_TRUE(frozen.node->schedulers().empty()) << "it has stood down";
}

// While a worker cannot be read, it may run any task of the former leader.
TEST(Workflow, aNewLeaderWaitsForAWorkerThatItCannotRead)
{
    Rig rig(2, 2);
    rig.fleet.workTime = 60s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.run(1s);
    const int former = rig.leader();
    rig.nodes[static_cast<std::size_t>(1 - former)]->port.cutFrom = {"w0"};
    const std::size_t before = rig.fleet.runningTasks();
    rig.kill(former);
    rig.run(4s);
    EXPECT_EQ(rig.fleet.starts, before) << "w0's tasks are not started a second time";
    rig.run(20s);
    EXPECT_EQ(rig.fleet.runningTasks(), 4U) << "its lease has run out, so they run elsewhere";
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// A leader cut off from the store does not reach w0, and its successor does: what the one takes for run out, the other renews.
TEST(Workflow, aLeaderInDoubtTakesNoLeaseForRunOut)
{
    Rig rig(2, 2);
    rig.fleet.workTime = 60s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.run(1s);
    const int former = rig.leader();
    RigNode &cutOff = *rig.nodes[static_cast<std::size_t>(former)];
    cutOff.store.isSilent = true;
    cutOff.port.cutFrom = {"w0"};
    rig.nodes[static_cast<std::size_t>(1 - former)]->port.cutFrom = {"w1"};
    rig.run(9s);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// A busy leader reads a report late, after the lease that it belongs to: the ends that it lists count all the same.
TEST(Workflow, aRenewalUnderWayIsHeardBeforeALeaseCountsAsRunOut)
{
    Rig rig(1, 2);
    rig.fleet.workTime = 2500ms;
    rig.run(2s);
    rig.submit(0, Rig::makeJob("a", 4));
    while (rig.fleet.runningTasks() < 4) {
        rig.run(StepTime);
    }
    rig.run(rig.fleet.workTime - StepTime);
    rig.nodes[0]->port.readLate["w0"] = 7s; // from the report on that lists the ends
    rig.run(15s);
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_EQ(rig.fleet.starts, 4U) << "nothing was started again";
}

// The new life counts its ends from 1 again. A renewal meant for the former life must not make it forget them unseen.
TEST(Workflow, aWorkerThatStartedAnewForgetsNoEndUnseen)
{
    Rig rig(1, 1);
    rig.run(2s);
    rig.submit(0, Rig::makeJob("first", 4));
    rig.run(2s);
    ASSERT_EQ(rig.state("first"), Done);
    RigNode &node = *rig.nodes[0];
    node.port.loseStarts = 1;
    node.port.applyLostAfter = 200ms; // reaches the new life
    rig.submit(0, Rig::makeJob("second", 1));
    while (node.port.loseStarts > 0) {
        rig.run(StepTime);
    }
    node.port.cutFrom = {"w0"};
    rig.run(100ms);
    rig.fleet.restartWorker("w0");
    rig.fleet.workers["w0"].leaseUntil = {};
    rig.run(500ms);
    node.port.cutFrom.clear();
    rig.run(10s);
    EXPECT_EQ(rig.state("second"), Done);
    EXPECT_EQ(rig.fleet.starts, 5U) << "the second job's task ran in the new life, and its end was listed";
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// A new leader reads a worker whose entry is away; the worker starts anew, and then its entry is back.
TEST(Workflow, aNewLifeIsNoticedAlsoWhereTheEntryCameLater)
{
    Rig rig(2, 2);
    rig.fleet.workers["w1"].isReachable = false; // all tasks go to w0
    rig.run(2s);
    rig.submit(0, Rig::makeJob("first", 4));
    while (rig.fleet.runningTasks() < 4) {
        rig.run(StepTime);
    }
    rig.backend.remove("workers/w0");
    rig.kill(rig.leader()); // its successor reads the ends, and counts up to four
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

// Whatever the model says: where a serving task has been over its target for long, those beside it stand still, and none comes.
TEST(Workflow, noNeighbourComesWhereAServingTaskIsOverItsTarget)
{
    Rig rig(1, 1);
    rig.fleet.workTime = 60s;
    rig.run(2s);
    serve(rig);
    WorkflowSpec filling = makeFilling();
    rig.submit(0, filling);
    rig.run(1s);
    ASSERT_EQ(rig.fleet.runningTasks(), 2U);
    rig.fleet.gauges["serving"] = 2000; // saturated: the model cannot tell by how much
    rig.run(2s);
    EXPECT_EQ(rig.nodes[0]->port.throttles.back(), 0);
    filling.key = "another";
    rig.submit(0, filling);
    rig.run(4s);
    EXPECT_EQ(rig.fleet.runningTasks(), 2U);
    rig.fleet.gauges["serving"] = 10;
    rig.run(4s);
    EXPECT_EQ(rig.fleet.runningTasks(), 3U) << "it comes once the serving task is well";
}

// The worker kept for the first task has all of the step that it may have; the second needs another one.
TEST(Workflow, roomIsKeptOnAnotherWorkerWhereTheFirstMayTakeNoMore)
{
    Rig rig(1, 2);
    rig.fleet.workTime = 600ms;
    rig.run(2s);
    int jobs = 0;
    press(rig, jobs, 2s);
    WorkflowSpec lasting = Rig::makeJob("lasting", 2);
    lasting.steps[0].need.cpuMillis = 12'000;
    lasting.steps[0].isLasting = true;
    lasting.steps[0].maxPerWorker = 1;
    rig.fleet.longRunningJobs.insert("lasting");
    rig.submit(0, lasting);
    press(rig, jobs, 8s);
    for (const auto &[id, worker] : rig.fleet.workers) {
        EXPECT_EQ(std::count_if(worker.running.begin(),
                                worker.running.end(),
                                [](const FakeRun &it) { return it.run.task.job == "lasting"; }),
                  1)
            << id;
    }
}

// Reports are rough: a tail that hovers about its target is over it in every other one, and may be over it all the time.
TEST(Workflow, aTailThatHoversAboutItsTargetCountsAsOver)
{
    Rig rig(1, 1);
    rig.fleet.workTime = 60s;
    rig.run(2s);
    serve(rig);
    WorkflowSpec filling = makeFilling();
    filling.steps[0].need.cpuMillis = 100; // by the model too little to matter
    rig.submit(0, filling);
    rig.run(1s);
    ASSERT_EQ(rig.fleet.runningTasks(), 2U);
    for (int i = 0; i < 8; ++i) {
        rig.fleet.gauges["serving"] = i % 2 == 0 ? 52 : 48;
        rig.run(400ms);
    }
    const auto &throttles = rig.nodes[0]->port.throttles;
    EXPECT_NE(std::find(throttles.begin(), throttles.end(), 0), throttles.end()) << "held within three seconds";
}

// Small tasks come all the time and take each piece of room as it falls free; together they want more than there is.
TEST(Workflow, aLargeLastingTaskGetsRoomAmongSmallShortOnes)
{
    Rig rig(1, 2);
    rig.fleet.workTime = 600ms;
    rig.run(2s);
    int jobs = 0;
    press(rig, jobs, 2s);
    WorkflowSpec lasting = Rig::makeJob("lasting", 1);
    lasting.steps[0].need.cpuMillis = 12'000;
    lasting.steps[0].isLasting = true;
    rig.fleet.longRunningJobs.insert("lasting");
    rig.submit(0, lasting);
    press(rig, jobs, 5s);
    EXPECT_EQ(rig.state("lasting"), WorkflowState::Running);
}

// Room enough in all, and in no one piece: a smaller lasting task moves to make room for a larger one.
TEST(Workflow, aSmallLastingTaskMovesWhereALargeOneFindsNoRoom)
{
    Rig rig(1, 2);
    rig.run(2s);
    const auto submit = [&rig](const JobKey &key, std::int64_t cpuMillis) {
        WorkflowSpec spec = Rig::makeJob(key, 1);
        spec.steps[0].need.cpuMillis = cpuMillis;
        spec.steps[0].isLasting = true;
        rig.fleet.longRunningJobs.insert(key);
        rig.submit(0, spec);
        rig.run(200ms);
    };
    for (const char *worker : {"first", "second"}) { // fills one, then the other
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

// The former leader's node has started anew, so only the lease that it may have given is waited for, not its grace.
TEST(Workflow, aFormerLeaderThatStartedAnewIsNotWaitedFor)
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

TEST(Workflow, aLeaderThatResignsHandsOverAtOnce)
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

TEST(Workflow, anUnreachableWorkerKeepsItsTasksUntilItsLeaseHasRunOut)
{
    Rig rig(1, 2);
    rig.fleet.workTime = 60s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.run(1s);
    rig.nodes[0]->port.cutFrom = {"w0"};
    rig.run(3s);
    EXPECT_EQ(rig.fleet.starts, 4U);
    rig.run(4s);
    EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

TEST(Workflow, aStartWithoutAnAnswerIsBarredBeforeItIsTriedElsewhere)
{
    for (const Duration late : {Duration(-1s), Duration(100ms), Duration(700ms), Duration(2s), Duration(5s)}) {
        Rig rig(1, 3);
        rig.run(1s);
        rig.nodes[0]->port.loseStarts = 2;
        rig.nodes[0]->port.applyLostAfter = late;
        rig.submit(0, Rig::makeJob("a", 4));
        rig.run(8s);
        EXPECT_EQ(rig.state("a"), Done);
        EXPECT_TRUE(rig.fleet.violations.empty()) << late.count() << ": " << rig.fleet.violations.front();
    }
}

// An end is forgotten by the worker only once it is stored: a leader that dies in an outage takes nothing with it.
TEST(Workflow, endsOutliveAnOutageAndTheLeader)
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

// The store is away from everybody: known jobs go on, step after step.
TEST(Workflow, knownJobsGoOnWhileTheStoreIsAway)
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

TEST(Workflow, aLostAnswerOfAWriteDoesNotUndoALaterOne)
{
    Rig rig(1);
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 1));
    rig.run(50ms);
    rig.nodes[0]->store.loseAnswers = 1;
    rig.nodes[0]->store.applyLostLate = 2s;
    rig.run(5s);
    EXPECT_EQ(rig.state("a"), Done);
}

TEST(Workflow, aCancelledJobIsStoppedAndStartsNoMore)
{
    Rig rig;
    rig.fleet.longRunningJobs = {"a"};
    rig.run(1s);
    WorkflowSpec spec = Rig::makeJob("a", 3);
    spec.steps[0].isLasting = true;
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

TEST(Workflow, aTaskThatFailsTooOftenEndsItsJob)
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

TEST(Workflow, aWorkerThatFailsEverythingLosesItsWork)
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

TEST(Workflow, aDrainingWorkerGetsNoWorkAndLastingTasksLeaveIt)
{
    Rig rig(1, 2);
    rig.fleet.longRunningJobs = {"a"};
    rig.run(1s);
    WorkflowSpec spec = Rig::makeJob("a", 4);
    spec.steps[0].isLasting = true;
    rig.submit(0, spec);
    rig.run(1s);
    rig.fleet.workers["w0"].condition = WorkerCondition::Draining;
    rig.backend.write("workers/w0", "2");
    rig.run(2s);
    EXPECT_EQ(rig.fleet.workers["w0"].running.size(), 0U);
    EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

TEST(Workflow, aRebornWorkerIsReadAnew)
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

TEST(Workflow, lostHistoryOfTheStoreHidesNoJob)
{
    Rig rig;
    rig.run(1s);
    for (const auto &it : rig.nodes) {
        it->store.isSilent = true;
    }
    rig.run(200ms);
    rig.backend.write(makeShardKeys(0).jobs + "x", "not a record"); // from another writer: named in the log, and left
    rig.backend.dropHistory();
    for (const auto &it : rig.nodes) {
        it->store.isSilent = false;
    }
    rig.run(2s);
    rig.submit(1, Rig::makeJob("a", 2));
    rig.run(3s);
    EXPECT_EQ(rig.state("a"), Done);
}

// An older configuration, by whatever way it comes, changes nothing; a newer one is in force within a second.
TEST(Workflow, catalogNeverGoesBack)
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

TEST(Workflow, aGangStartsTogetherOrNotAtAll)
{
    Rig rig(1, 2);
    rig.run(1s);
    WorkflowSpec spec = Rig::makeJob("a", 40);
    spec.steps[0].isGang = true;
    rig.submit(0, spec); // 40 processors are wanted, and 32 are there
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

} // namespace QuetzalRock::Workflow
