/** Workers that restart under their ids, and whose next incarnations execute orders that were meant for the former ones. */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

WorkflowSpec makeLongRunning(Rig &rig, const JobKey &key, std::uint32_t tasks)
{
    WorkflowSpec spec = Rig::makeJob(key, tasks);
    spec.steps[0].isLongRunning = true;
    rig.fleet.longRunningJobs.insert(key);
    return spec;
}

void runUntilStarts(Rig &rig, std::uint64_t starts)
{
    for (int i = 0; i < 500 && rig.fleet.starts < starts; ++i) {
        rig.run(StepTime);
    }
    ASSERT_EQ(rig.fleet.starts, starts);
}

/** A worker restarts unnoticed and executes a start that was meant for its former incarnation. */
void startAtTheNextIncarnation(Rig &rig, bool isEntryMissing, std::int64_t clockMs)
{
    rig.nodes[0]->port.renewalsWait = true;
    rig.run(2500ms);
    rig.fleet.restartWithClock("w0", clockMs);
    rig.submit(0, makeLongRunning(rig, "a", 1));
    runUntilStarts(rig, 1);
    if (isEntryMissing) {
        ++rig.backend.revision;
        rig.backend.remove("workers/w0");
    }
    rig.addWorker("w1");
}

} // namespace

// Guards against TWICE: the next incarnation executes a start, and is cut off before its restart is noticed. By its own clock the
// start's time limit lies far ahead, so that its lease lasts up to 10 s, not the 2.5 s that the start was valid for.
TEST(Incarnations, leaseOfAStartIsReckonedByTheClockThatExecutedIt)
{
    for (const bool isEntryMissing : {false, true}) {
        for (const std::int64_t clockMs : {0, 1000}) {
            Rig rig(1, 1);
            startAtTheNextIncarnation(rig, isEntryMissing, clockMs);
            rig.run(2 * StepTime); // the answer to the start
            rig.fleet.workers["w0"].isReachable = false;
            rig.run(9s);
            EXPECT_EQ(rig.fleet.starts, 1U) << "its lease lasts";
            rig.run(4s);
            EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 1U);
            EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
        }
    }
}

// Guards against TWICE: an unnoticed next incarnation gets no longer lease by renewals with the former one's clock. The answer to
// the start shows the restart, and the worker is read while a renewal still waits at the former incarnation.
TEST(Incarnations, answerToAStartShowsARestart)
{
    Rig rig(1, 1);
    startAtTheNextIncarnation(rig, false, 0);
    rig.run(100ms);
    EXPECT_GT(rig.fleet.workers["w0"].fence & 0xffffU, 0U) << "a token for the next incarnation";
    EXPECT_EQ(rig.fleet.workers["w0"].running.size(), 1U);
    rig.run(1s);
    rig.backend.write("workers/w0", "restarted");
    rig.run(500ms);
    rig.submit(0, makeLongRunning(rig, "b", 40));
    rig.run(1s);
    EXPECT_GT(rig.fleet.workers["w0"].running.size(), 1U) << "it gets starts again";
    EXPECT_EQ(rig.fleet.starts, 32U) << "none was started again";
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against TWICE and LOST: a next incarnation whose clock is ahead holds a shorter lease than the leader takes it for, and
// one that has not restarted is outwaited as soon as its lease has ended.
TEST(Incarnations, clockThatIsAheadOrNotNewIsOutwaitedByTheGrantedLease)
{
    for (const bool isRestarted : {false, true}) {
        Rig rig(1, 1);
        rig.nodes[0]->port.renewalsWait = true;
        rig.run(2500ms);
        if (isRestarted) {
            rig.fleet.restartWithClock("w0", rig.fleet.clockMs(rig.fleet.workers["w0"]) + 2000);
        }
        rig.submit(0, makeLongRunning(rig, "a", 1));
        runUntilStarts(rig, 1);
        rig.addWorker("w1");
        rig.run(2 * StepTime);
        rig.fleet.workers["w0"].isReachable = false;
        rig.run(5500ms);
        EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 1U);
        EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
    }
}

namespace {

/** w0 gets a start that no answer comes to, and that is executed after @p delay. There is another worker, with less capacity. */
void sendLateStart(Rig &rig, Duration delay, int lostStarts)
{
    FakePort &port = rig.nodes[0]->port;
    rig.fleet.workers["w0"].capacity.cpuMillis = 20'000;
    rig.backend.write("workers/w0", "larger");
    rig.run(2500ms);
    port.lostStartReplies = lostStarts;
    port.lostStartDelay = delay;
    rig.submit(0, makeLongRunning(rig, "a", 1));
    while (port.lostStartReplies == lostStarts) {
        rig.run(StepTime);
    }
}

/** w0 crashes, is back 600 ms later, and is called again only when its next incarnation has executed the late start. */
void restartBeforeLateStart(Rig &rig)
{
    FakeWorker &worker = rig.fleet.workers["w0"];
    worker.isReachable = false;
    worker.running.clear();
    rig.run(600ms);
    rig.fleet.restartWithClock("w0", 0);
    for (int i = 0; i < 2000 && worker.running.empty(); ++i) {
        rig.run(StepTime);
    }
    ASSERT_EQ(worker.running.size(), 1U);
    rig.run(50ms);
    worker.isReachable = true;
    rig.backend.write("workers/w0", "restarted");
}

} // namespace

// Guards against TWICE: a start got no answer, the worker confirmed its stop, and the task started elsewhere; then the worker
// restarted, and its next incarnation, which knew neither the stop nor our token, executed that start.
TEST(Incarnations, startWithoutAnAnswerIsNotRepeatedElsewhere)
{
    for (const int lostStarts : {1, 2}) {
        Rig rig(1, 2);
        sendLateStart(rig, 3s, lostStarts);
        rig.run(1700ms);
        EXPECT_EQ(rig.fleet.workers["w0"].running.size(), 1U) << "repeated there";
        restartBeforeLateStart(rig);
        rig.run(15s);
        EXPECT_EQ(rig.fleet.runningTasks(), 1U);
        EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
    }
}

// Guards against TWICE: the same when every repetition gets no answer either and the start is stopped after all.
TEST(Incarnations, stopOfAStartWithoutAnAnswerEndsItForOneIncarnationOnly)
{
    Rig rig(1, 2);
    sendLateStart(rig, 12s, 1000);
    rig.nodes[0]->port.lostStartDelay = -1s; // the others are never executed
    rig.run(7s);
    rig.nodes[0]->port.lostStartReplies = 0;
    rig.run(1s);
    EXPECT_EQ(rig.fleet.starts, 0U) << "stopped, and not started elsewhere";
    restartBeforeLateStart(rig);
    rig.run(15s);
    EXPECT_EQ(rig.fleet.runningTasks(), 1U);
    EXPECT_EQ(rig.fleet.starts, 1U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against LOST: a worker that answers no start, but everything else, keeps its task for unansweredStartTime and maxOrderDelay.
TEST(Incarnations, waitForAStartInDoubtIsBoundedAndNamed)
{
    Rig rig(1, 2);
    sendLateStart(rig, -1s, 1000);
    rig.run(7s);
    rig.nodes[0]->port.lostStartReplies = 0;
    rig.run(8s);
    EXPECT_EQ(rig.fleet.starts, 0U);
    const auto &waits = rig.nodes[0]->node->schedulers().front()->waitingTasks();
    EXPECT_TRUE(waits.turnedAway.contains(Refusal::StartInDoubt));
    rig.run(6500ms);
    EXPECT_EQ(rig.fleet.runningTasks(), 1U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against a flood of orders: a worker that breaks each connection at once got a start per round trip.
TEST(Incarnations, brokenConnectionsAreNotRetriedAtOnce)
{
    Rig rig(1, 2);
    rig.run(1s);
    FakePort &port = rig.nodes[0]->port;
    port.lostStartReplies = 1000;
    port.lostStartDelay = -1s;
    port.lostStartTime = StepTime;
    rig.submit(0, makeLongRunning(rig, "a", 1));
    rig.run(5s);
    EXPECT_LE(1000 - port.lostStartReplies, 5s / rig.scheduler.callRetryDelay);
}

// Guards against TWICE: a start got no answer, its repetition did, and the worker crashed and stayed away for longer than its lease.
// The task started elsewhere, and the worker's next incarnation executed that start before it was read.
TEST(Incarnations, startInDoubtOutlastsTheLeaseOfASilentWorker)
{
    for (const bool isEntryMissing : {false, true}) {
        Rig rig(1, 2);
        sendLateStart(rig, 8s, 1);
        rig.run(1700ms);
        EXPECT_EQ(rig.fleet.workers["w0"].running.size(), 1U) << "repeated there";
        if (isEntryMissing) {
            ++rig.backend.revision;
            rig.backend.remove("workers/w0");
        }
        restartBeforeLateStart(rig);
        rig.run(15s);
        EXPECT_EQ(rig.fleet.runningTasks(), 1U);
        EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
    }
}

// Guards against TWICE: the next incarnation executes the start while no node reaches it, and runs it for the longest lease.
TEST(Incarnations, startInDoubtIsOutwaitedAtAWorkerThatIsNotRead)
{
    Rig rig(1, 2);
    sendLateStart(rig, 14s, 1);
    rig.run(1700ms);
    FakeWorker &worker = rig.fleet.workers["w0"];
    worker.isReachable = false;
    rig.fleet.restartWithClock("w0", 0);
    rig.run(14s);
    EXPECT_EQ(worker.running.size(), 1U) << "executed late";
    rig.run(12s);
    EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 1U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against LOST: nothing keeps the task from other workers once the next incarnation is known to reject the start.
TEST(Incarnations, startInDoubtEndsWithTheNextIncarnation)
{
    Rig rig(1, 2);
    sendLateStart(rig, -1s, 1000);
    rig.run(7s);
    rig.nodes[0]->port.lostStartReplies = 0;
    rig.fleet.restartWithClock("w0", 0);
    rig.backend.write("workers/w0", "changed");
    rig.run(1s);
    EXPECT_EQ(rig.fleet.runningTasks(), 1U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against LOST: nothing keeps the task from other workers once another worker replies at the address of the one that got the start.
TEST(Incarnations, startInDoubtEndsWhenItsWorkerIsReplaced)
{
    Rig rig(1, 2);
    sendLateStart(rig, 9s, 1000);
    rig.run(3s);
    rig.nodes[0]->port.lostStartReplies = 0;
    rig.fleet.removeWorker("w0", true);
    rig.run(3s);
    EXPECT_EQ(rig.fleet.workers["w1"].running.size(), 1U);
    rig.run(10s);
    EXPECT_EQ(rig.fleet.runningTasks(), 1U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against TWICE and LOST: neither the loss nor the drain of its worker ends the doubt about a start, as a next incarnation may
// execute it, but the time in which an order can be executed does.
TEST(Incarnations, startInDoubtAtAWorkerThatLeavesEndsInTime)
{
    for (const bool isLost : {true, false}) {
        Rig rig(1, 2);
        sendLateStart(rig, -1s, 1000);
        const TimePoint firstSentAt = rig.clock.now();
        rig.run(7s);
        rig.nodes[0]->port.lostStartReplies = 0;
        FakeWorker &worker = rig.fleet.workers["w0"];
        worker.isReachable = !isLost;
        worker.condition = isLost ? WorkerCondition::Ready : WorkerCondition::Draining;
        rig.backend.write("workers/w0", "changed");
        if (isLost) {
            ++rig.backend.revision;
            rig.backend.remove("workers/w0");
        }
        rig.run(firstSentAt + rig.scheduler.maxOrderDelay - rig.clock.now());
        EXPECT_EQ(rig.fleet.starts, 0U) << "may still be executed by a next incarnation";
        rig.run(rig.scheduler.unansweredStartTime + 1s);
        EXPECT_EQ(rig.fleet.runningTasks(), 1U) << "lost: " << isLost;
        EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
    }
}

} // namespace QuetzalRock::Workflow
