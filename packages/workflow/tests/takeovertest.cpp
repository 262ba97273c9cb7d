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

/** The worker that runs something, of which there must be one, and the others. */
std::pair<WorkerId, std::set<WorkerId>> splitWorkersByUse(const Rig &rig)
{
    std::pair<WorkerId, std::set<WorkerId>> workers;
    for (const auto &[id, worker] : rig.fleet.workers) {
        if (worker.running.empty()) {
            workers.second.insert(id);
        } else {
            workers.first = id;
        }
    }
    return workers;
}

/** The leader is gone for good: its node does not come back, and its term is not reported as ended. */
int loseLeader(Rig &rig)
{
    const int lost = rig.leader();
    rig.kill(lost);
    for (int i = 0; i < 500 && rig.leader() < 0; ++i) {
        rig.run(StepTime);
    }
    return lost;
}

/** Cuts the leader off from the store and from all workers but @p reached, which nobody else reaches. */
RigNode &cutLeaderOffWith(Rig &rig, const WorkerId &reached)
{
    const int leader = rig.leader();
    for (int i = 0; i < static_cast<int>(rig.nodes.size()); ++i) {
        if (i != leader) {
            rig.nodes[static_cast<std::size_t>(i)]->port.unreachableWorkers = {reached};
        }
    }
    RigNode &cutOff = *rig.nodes[static_cast<std::size_t>(leader)];
    cutOff.store.isSilent = true;
    for (const auto &[id, worker] : rig.fleet.workers) {
        if (id != reached) {
            cutOff.port.unreachableWorkers.insert(id);
        }
    }
    return cutOff;
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
    EXPECT_EQ(waiting().forUnreadWorkers, 5U) << "the two, and three on the worker that cannot be read";
}

// Guards against LOST: a long-running task that a new leader took off a draining worker waited until workers that the
// former leader had used were outwaited, although the new leader itself had read the task's only run.
TEST(Takeover, taskStoppedByTheNewLeaderNeedNotWaitForUnreadWorkers)
{
    Rig rig(2, 3);
    rig.run(1s);
    submitLongRunning(rig, "a", 6, 5000);
    ASSERT_EQ(rig.fleet.workers["w0"].running.size(), 3U);
    ASSERT_EQ(rig.fleet.workers["w1"].running.size(), 3U);
    rig.cancel(rig.leader(), "a");
    rig.run(500ms);
    submitLongRunning(rig, "b", 2, 5000);
    WorkerId used;
    for (const auto &[id, worker] : rig.fleet.workers) {
        used = worker.running.empty() ? used : id;
    }
    takeOverWithout(rig, {used == "w2" ? "w1" : "w2"});
    startDraining(rig, used, 2000);
    rig.run(3s);
    EXPECT_EQ(rig.fleet.workers[used].running.size(), 0U);
    EXPECT_EQ(runningTasksOf(rig, "b"), 2U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against jobs that stand still after a takeover: their running tasks ended, and the next step waited for workers
// that could not have started it.
TEST(Takeover, nextStepNeedNotWaitForUnreadWorkers)
{
    Rig rig(2, 3);
    rig.fleet.workTime = 6s;
    rig.run(1s);
    rig.submit(rig.leader(), Rig::makeJob("a", 2, 2));
    rig.run(1s);
    ASSERT_TRUE(rig.fleet.workers["w2"].running.empty());
    takeOverWithout(rig, {"w2"});
    rig.run(3s); // the tasks of the first step end 6 s after their start
    EXPECT_EQ(rig.fleet.starts, 4U);
    EXPECT_EQ(rig.fleet.runningTasks(), 2U);
    rig.run(8s);
    EXPECT_EQ(rig.state("a"), WorkflowState::Completed);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

/**
 * The leader loses the store while its renewals wait at the workers, and its successor reads all of them but @p unread. As
 * soon as the successor has read @p ending, @p end is called.
 */
void endRunsDuringTakeover(Rig &rig, const WorkerId &ending, const WorkerId &unread, const std::function<void()> &end)
{
    const int former = rig.leader();
    rig.nodes[static_cast<std::size_t>(former)]->store.isSilent = true;
    rig.nodes[static_cast<std::size_t>(1 - former)]->port.unreachableWorkers = {unread};
    const std::uint64_t fence = rig.fleet.workers[ending].fence;
    for (int i = 0; i < 500 && rig.fleet.workers[ending].fence == fence; ++i) {
        rig.run(StepTime);
    }
    ASSERT_NE(rig.fleet.workers[ending].fence, fence);
    rig.run(2 * StepTime); // the successor gets the report that lists the run
    end();
    rig.run(20s);
    EXPECT_EQ(rig.leader(), 1 - former);
}

// Guards against TWICE: a former leader whose renewal waited at a worker that its successor had read was answered with the end
// of a step. Both started the next step, the former leader on a worker that its successor had not read.
TEST(Takeover, endHeardByAFormerLeaderStartsNoStepTwice)
{
    Rig rig(2, 3);
    rig.fleet.workTime = 60s;
    for (const auto &it : rig.nodes) {
        it->port.renewalsWait = true;
    }
    rig.run(1s);
    WorkflowSpec spec = Rig::makeJob("a", 1, 2);
    spec.steps[1].taskCount = 6;
    spec.steps[1].need.cpuMillis = 5000;
    rig.submit(rig.leader(), spec);
    rig.run(500ms);
    const auto [used, unused] = splitWorkersByUse(rig);
    FakeWorker &worker = rig.fleet.workers[used];
    ASSERT_EQ(worker.running.size(), 1U);
    endRunsDuringTakeover(
        rig, used, *unused.begin(), [&] { rig.fleet.end(worker, worker.running.front().run, RunEnd::Done); });
    EXPECT_EQ(rig.fleet.runningTasks(), 6U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against TWICE: as above, but the former leader was told that a run had failed, and both started the task again.
TEST(Takeover, failureHeardByAFormerLeaderStartsNoTaskTwice)
{
    Rig rig(2, 3);
    for (const auto &it : rig.nodes) {
        it->port.renewalsWait = true;
    }
    rig.run(1s);
    submitLongRunning(rig, "a", 1, 5000);
    const auto [used, unused] = splitWorkersByUse(rig);
    FakeWorker &worker = rig.fleet.workers[used];
    ASSERT_EQ(worker.running.size(), 1U);
    rig.fleet.workers[*unused.rbegin()].isReachable = false; // the successor can only start it where it failed
    rig.run(3s);
    endRunsDuringTakeover(
        rig, used, *unused.begin(), [&] { rig.fleet.end(worker, worker.running.front().run, RunEnd::Failed); });
    EXPECT_EQ(runningTasksOf(rig, "a"), 1U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against LOST: each leader of a series, none of which led for long, waited from its own election for workers that were
// lost, so that their long-running tasks did not run for as long as the series lasted.
TEST(Takeover, lostWorkerIsNotWaitedForAnewByEachLeader)
{
    Rig rig(4, 4);
    rig.run(1s);
    submitLongRunning(rig, "a", 4, 5000);
    const auto [used, unused] = splitWorkersByUse(rig);
    rig.fleet.workers[used].isReachable = false;
    rig.fleet.workers[used].running.clear();
    Duration waited{};
    for (int i = 0; i < 5; ++i) { // each of them leads for 3.5 s
        const int leader = rig.leader();
        ASSERT_GE(leader, 0);
        rig.nodes[static_cast<std::size_t>(leader)]->node->beginDrain();
        rig.run(500ms);
        rig.kill(leader);
        rig.boot(leader);
        for (int step = 0; step < 300; ++step) {
            rig.run(StepTime);
            waited += runningTasksOf(rig, "a") < 4 ? StepTime : Duration{};
        }
    }
    EXPECT_LT(waited, 8500ms) << "6 s for a lost lease, and the time in which its silence is noticed";
    EXPECT_EQ(runningTasksOf(rig, "a"), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against TWICE: a worker that was cut off from several leaders, and then replied, ran on under an extended lease while
// a later leader counted from the time of its silence.
TEST(Takeover, workerThatRepliesAgainIsWaitedForAnew)
{
    Rig rig(4, 4);
    rig.run(1s);
    submitLongRunning(rig, "a", 4, 5000);
    const auto [used, unused] = splitWorkersByUse(rig);
    FakeWorker &worker = rig.fleet.workers[used];
    worker.isReachable = false;
    rig.run(2500ms);
    EXPECT_EQ(rig.backend.items.count("ctl/board/withheld/0"), 1U);
    worker.isReachable = true; // before its lease has expired
    rig.run(1s);
    EXPECT_TRUE(decodeWithheldLeases(rig.backend.items.at("ctl/board/withheld/0").value).empty());
    const TimePoint lease = worker.leaseUntil;
    EXPECT_GT(lease, rig.clock.now() + 4s) << "it is extended again";
    worker.isReachable = false;
    for (int i = 0; i < 4; ++i) {
        rig.nodes[static_cast<std::size_t>(rig.leader())]->node->beginDrain();
        rig.run(2500ms);
    }
    EXPECT_EQ(runningTasksOf(rig, "a"), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against lost work: a worker that was silent for two seconds during an outage of the store got no lease until its end.
TEST(Takeover, silenceDuringAnOutageOfTheStoreEndsNoRun)
{
    Rig rig(2, 3);
    rig.run(1s);
    submitLongRunning(rig, "a", 4, 5000);
    const auto [used, unused] = splitWorkersByUse(rig);
    for (const auto &it : rig.nodes) {
        it->store.isSilent = true;
    }
    rig.run(1600ms); // the leader's own lease has run out
    rig.fleet.workers[used].isReachable = false;
    rig.run(2s);
    rig.fleet.workers[used].isReachable = true;
    rig.run(4500ms);
    EXPECT_EQ(rig.fleet.runningTasks(), 4U);
    EXPECT_EQ(rig.fleet.starts, 4U) << "no run has ended";
}

// Guards against LOST: leases that stay withheld from a worker that replies while the store does not.
TEST(Takeover, workerThatRepliesDuringAnOutageOfTheStoreIsUsedAfterIt)
{
    Rig rig(2, 3);
    rig.run(1s);
    submitLongRunning(rig, "a", 4, 5000);
    const auto [used, unused] = splitWorkersByUse(rig);
    rig.fleet.workers[used].isReachable = false;
    rig.run(2500ms);
    for (const auto &it : rig.nodes) {
        it->store.isSilent = true;
    }
    rig.fleet.workers[used].isReachable = true;
    rig.run(6s);
    for (const auto &it : rig.nodes) {
        it->store.isSilent = false;
    }
    rig.run(8s);
    EXPECT_EQ(runningTasksOf(rig, "a"), 4U);
    EXPECT_TRUE(decodeWithheldLeases(rig.backend.items.at("ctl/board/withheld/0").value).empty());
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against LOST: a worker that had left for good stayed in the list of workers that a successor has to read, so
// that the successor outwaited it before it started any task of a known job.
TEST(Takeover, workerThatHasLeftIsNotWaitedFor)
{
    Rig rig(2, 3);
    rig.run(1s);
    submitLongRunning(rig, "fills", 9, 5000);
    ASSERT_EQ(rig.fleet.runningTasks(), 9U);
    submitLongRunning(rig, "waits", 1, 5000);
    startDraining(rig, "w2", 2000);
    rig.run(2s);
    ASSERT_EQ(rig.fleet.workers["w2"].running.size(), 0U);
    leave(rig, "w2");
    rig.run(500ms);
    takeOverWithout(rig, {});
    rig.cancel(rig.leader(), "fills");
    rig.run(1s);
    EXPECT_EQ(runningTasksOf(rig, "waits"), 1U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against LOST: runs read from a worker that then left were held for the longest lease that workers accept, not
// for the one that leaders give.
TEST(Takeover, runOnAWorkerThatLeftIsHeldForTheLeaseThatLeadersGive)
{
    Rig rig(2, 3);
    rig.run(1s);
    submitLongRunning(rig, "a", 2, 5000);
    WorkerId used;
    for (const auto &[id, worker] : rig.fleet.workers) {
        used = worker.running.empty() ? used : id;
    }
    ASSERT_EQ(rig.fleet.workers[used].running.size(), 2U);
    const int former = rig.leader();
    rig.kill(former);
    // The worker leaves as soon as the successor has read it, before it can renew the lease.
    const std::uint64_t fence = rig.fleet.workers[used].fence;
    for (int i = 0; i < 500 && rig.fleet.workers[used].fence == fence; ++i) {
        rig.run(StepTime);
    }
    ASSERT_NE(rig.fleet.workers[used].fence, fence);
    leave(rig, used);
    rig.run(6500ms);
    EXPECT_EQ(runningTasksOf(rig, "a"), 2U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against LOST: a node that lost its leadership in a store outage and was elected again waited for the grace
// period of its own former term, which had ended with it.
TEST(Takeover, leaderDoesNotWaitForItsOwnFormerTerm)
{
    Rig rig(1, 3);
    rig.run(1s);
    submitLongRunning(rig, "a", 4, 5000);
    ASSERT_EQ(rig.fleet.runningTasks(), 4U);
    for (auto &[id, worker] : rig.fleet.workers) {
        worker.isReachable = worker.running.size() != 1; // three tasks fill one worker; the fourth runs on another
    }
    ++rig.backend.revision;
    rig.backend.remove("ctl/board/leader/0");
    rig.run(8s); // the lease of the worker that cannot be read expires after 5.1 s
    EXPECT_EQ(rig.leader(), 0);
    rig.run(1s);
    EXPECT_EQ(rig.fleet.runningTasks(), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against TWICE: a leader in its grace period, whose successor had read a run, concluded from a restart of the
// worker that the run was gone, and started the task on a worker that only it could reach.
TEST(Takeover, leaderInGraceKeepsRunsOfARestartedWorker)
{
    Rig rig(2, 3);
    rig.run(1s);
    submitLongRunning(rig, "a", 1, 5000);
    const auto [used, unused] = splitWorkersByUse(rig);
    const int former = rig.leader();
    RigNode &cutOff = *rig.nodes[static_cast<std::size_t>(former)];
    RigNode &successor = *rig.nodes[static_cast<std::size_t>(1 - former)];
    successor.port.unreachableWorkers = {*unused.begin()};
    cutOff.port.unreachableWorkers = {*unused.rbegin()};
    cutOff.store.isSilent = true;
    rig.fleet.workers[used].isReachable = false; // restarts while the successor is being elected
    rig.run(2500ms);
    ASSERT_EQ(rig.leader(), 1 - former);
    rig.fleet.restartWorker(used);
    successor.port.unreachableWorkers.insert(used);
    rig.fleet.workers[used].isReachable = true;
    rig.run(1s);
    EXPECT_EQ(runningTasksOf(rig, "a"), 0U) << "the former leader must not start it: its successor may have done so";
    rig.run(20s);
    EXPECT_EQ(runningTasksOf(rig, "a"), 1U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against TWICE: a leader that lost the store during its takeover waited for the leases of unread workers to expire
// and started their tasks again, while its successor had read these workers and extended the leases.
TEST(Takeover, leaderInGraceDoesNotOutwaitUnreadWorkers)
{
    Rig rig(3, 3);
    rig.run(1s);
    submitLongRunning(rig, "a", 1, 5000);
    const auto [used, unused] = splitWorkersByUse(rig);
    const int resigned = rig.leader();
    for (const auto &it : rig.nodes) {
        it->port.unreachableWorkers = {used};
    }
    rig.nodes[static_cast<std::size_t>(resigned)]->node->beginDrain();
    for (int i = 0; i < 100 && rig.leader() < 0; ++i) {
        rig.run(StepTime);
    }
    const int cutOff = rig.leader();
    ASSERT_GE(cutOff, 0);
    const int successor = 3 - resigned - cutOff;
    rig.run(200ms); // it loads the jobs and reads the unused workers
    rig.nodes[static_cast<std::size_t>(cutOff)]->store.isSilent = true;
    rig.nodes[static_cast<std::size_t>(successor)]->port.unreachableWorkers = unused;
    rig.run(8s);
    EXPECT_EQ(rig.leader(), successor);
    EXPECT_EQ(runningTasksOf(rig, "a"), 1U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against LOST: a leader that was frozen, and that learned on waking that its term was over, was waited for as if it
// could still send orders.
TEST(Takeover, leaderThatLearnsOfItsSuccessorIsNotWaitedForAnyLonger)
{
    Rig rig(2, 3);
    rig.run(1s);
    submitLongRunning(rig, "a", 4, 5000);
    RigNode &former = *rig.nodes[static_cast<std::size_t>(rig.leader())];
    former.isFrozen = true;
    for (auto &[id, worker] : rig.fleet.workers) {
        worker.isReachable = worker.running.size() != 1; // three tasks fill one worker; the fourth runs on another
    }
    rig.run(2s);
    ASSERT_GE(rig.leader(), 0);
    former.isFrozen = false;
    rig.run(8s); // the lease that it gave expires 5.1 s after its end
    EXPECT_EQ(rig.fleet.runningTasks(), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against LOST: nodes that were written down as leaders by campaigns whose replies they never got were waited for.
TEST(Takeover, campaignWithoutAReplyIsNotWaitedFor)
{
    Rig rig(2, 3);
    rig.run(1s);
    submitLongRunning(rig, "a", 4, 5000);
    const int first = rig.leader();
    FakeStore &store = rig.nodes[static_cast<std::size_t>(1 - first)]->store;
    store.onChange = [&store](const StoreChange &) { store.isSilent = true; }; // the campaign's write is its last call
    store.lostChangeReplies = 1;
    rig.kill(first);
    for (auto &[id, worker] : rig.fleet.workers) {
        worker.isReachable = worker.running.size() != 1; // three tasks fill one worker; the fourth runs on another
    }
    rig.run(1500ms);
    ASSERT_TRUE(store.isSilent);
    rig.boot(first);
    rig.run(2s);
    ASSERT_EQ(rig.leader(), first);
    store.onChange = nullptr;
    store.isSilent = false;
    rig.run(8s); // no lease is granted after that; one may have been given 5.1 s before
    EXPECT_EQ(rig.fleet.runningTasks(), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against TWICE: a worker that was missing from the registry while the list of workers was written, by a leader in
// its grace period, got tasks later although a successor would not have read it.
TEST(Takeover, onlyListedWorkersGetStarts)
{
    Rig rig(1, 2);
    rig.run(1s);
    submitLongRunning(rig, "a", 1, 5000);
    const WorkerId unused = rig.fleet.workers["w0"].running.empty() ? "w0" : "w1";
    FakeStore &store = rig.nodes[0]->store;
    store.isLosingRenewalReplies = true;
    rig.run(2500ms);
    ASSERT_EQ(rig.leader(), -1) << "grace authority";
    ++rig.backend.revision;
    rig.backend.remove("workers/" + unused);
    rig.run(500ms);
    rig.addWorker("w9", "r0", "d0");
    rig.run(1s);
    rig.backend.write("workers/" + unused, "back");
    rig.run(1s);
    store.isLosingRenewalReplies = false;
    rig.run(1s);
    submitLongRunning(rig, "b", 8, 5000);
    rig.run(1s);
    std::set<WorkerId> listed;
    for (const KnownWorker &it : decodeWorkers(rig.backend.items.at("ctl/workers/0").value)) {
        listed.insert(it.id);
    }
    EXPECT_EQ(rig.fleet.runningTasks(), 9U);
    EXPECT_EQ(listed, (std::set<WorkerId>{"w0", "w1", "w9"}));
}

// Guards against needless waits: once a leader has read every worker, later ones need not wait for those before it.
TEST(Takeover, leadersBeforeACompleteTakeoverAreNotWaitedFor)
{
    Rig rig(3, 3);
    rig.run(1s);
    submitLongRunning(rig, "a", 4, 5000);
    const int first = rig.leader();
    rig.kill(first);
    rig.run(3s);
    const int second = rig.leader();
    ASSERT_GE(second, 0);
    for (auto &[id, worker] : rig.fleet.workers) {
        worker.isReachable = worker.running.size() != 1; // three tasks fill one worker; the fourth runs on another
    }
    rig.nodes[static_cast<std::size_t>(second)]->node->beginDrain();
    rig.run(9s); // the lease that the second leader gave expires after 5.1 s
    EXPECT_EQ(rig.fleet.runningTasks(), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against waiting for leaders that are gone, and against not waiting for others.
TEST(Takeover, remainingLeadersAreThoseThatMayStillSendOrders)
{
    EpochRecord record{4, "n1", "boot2", false, {{1, "n1", "boot1"}, {2, "n2", "boot3"}, {3, "n3", "boot4"}}};
    const EpochRecord decoded = decodeEpoch(encodeEpoch(record));
    EXPECT_EQ(decoded.earlier, record.earlier);
    const std::vector<FormerLeader> expected{{2, "n2", "boot3"}, {4, "n1", "boot2"}};
    EXPECT_EQ(remainingLeaders(decoded, "n3"), expected) << "n3 itself takes over; n1 has a newer process";
    record.hasResigned = true;
    const std::vector<FormerLeader> others{{2, "n2", "boot3"}, {3, "n3", "boot4"}};
    EXPECT_EQ(remainingLeaders(record, "n4"), others);
}

// Guards against TWICE: a leader followed one that had resigned, but the one before that was still in its grace period
// and renewed the lease of a worker that its successors could not reach.
TEST(Takeover, leadersBeforeTheFormerOneAreWaitedForToo)
{
    Rig rig(3, 3);
    rig.fleet.workTime = 60s;
    rig.run(1s);
    submitLongRunning(rig, "a", 2, 5000);
    WorkerId used;
    for (const auto &[id, worker] : rig.fleet.workers) {
        used = worker.running.empty() ? used : id;
    }
    const int first = rig.leader();
    for (int i = 0; i < 3; ++i) {
        if (i != first) {
            rig.nodes[static_cast<std::size_t>(i)]->port.unreachableWorkers = {used};
        }
    }
    RigNode &cutOff = *rig.nodes[static_cast<std::size_t>(first)];
    cutOff.store.isSilent = true;
    for (const auto &[id, worker] : rig.fleet.workers) {
        if (id != used) {
            cutOff.port.unreachableWorkers.insert(id);
        }
    }
    int second = -1;
    for (int i = 0; i < 500 && (second < 0 || second == first); ++i) {
        rig.run(StepTime);
        second = rig.leader();
    }
    ASSERT_GE(second, 0);
    ASSERT_NE(second, first);
    rig.nodes[static_cast<std::size_t>(second)]->node->beginDrain();
    rig.run(30s);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
    EXPECT_EQ(runningTasksOf(rig, "a"), 2U) << "the leases that the first leader gave have expired";
}

// Guards against LOST: tasks on a worker that was lost together with the leader's VM waited for the whole grace period of a
// leader that was gone for good, and then for a lease.
TEST(Takeover, leaderThatIsGoneForGoodIsNotWaitedForOnceMostWorkersRejectIt)
{
    Rig rig(3, 4);
    rig.run(1s);
    submitLongRunning(rig, "a", 4, 5000);
    const auto [used, unused] = splitWorkersByUse(rig);
    rig.fleet.workers[used].isReachable = false;
    rig.fleet.workers[used].running.clear();
    loseLeader(rig);
    rig.run(8s); // 1.5 s until the election, 2.3 s until the former leader's grace period is over, a lease of 5.1 s
    EXPECT_EQ(runningTasksOf(rig, "a"), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against LOST: beside leaders that were gone for good, each leader of a series waited anew for workers that were lost.
TEST(Takeover, leadersThatAreGoneForGoodAreNotWaitedForAnewByEachLeader)
{
    for (const Duration lead : {1500ms, 2500ms, 3500ms, 4500ms}) {
        Rig rig(6, 4);
        rig.run(1s);
        submitLongRunning(rig, "a", 4, 5000);
        const auto [used, unused] = splitWorkersByUse(rig);
        rig.fleet.workers[used].isReachable = false;
        rig.fleet.workers[used].running.clear();
        const std::set<int> lost{loseLeader(rig), loseLeader(rig)};
        ASSERT_EQ(lost.size(), 2U);
        const TimePoint since = rig.clock.now();
        while (runningTasksOf(rig, "a") < 4 && rig.clock.now() < since + 30s) {
            const int leader = rig.leader();
            ASSERT_GE(leader, 0);
            rig.run(lead);
            rig.nodes[static_cast<std::size_t>(leader)]->node->beginDrain();
            rig.run(500ms);
            rig.kill(leader);
            rig.boot(leader);
            rig.run(500ms);
        }
        const Duration most
            = lead < 2300ms ? 16s : 9s + lead; // without a leader for 2.3 s, its grace period is waited for
        EXPECT_LT(rig.clock.now() - since, most) << toMilliseconds(lead);
        EXPECT_TRUE(rig.fleet.violations.empty());
    }
}

// Guards against LOST: a node that was up all the time counted a former leader's grace period from its own election, however
// long ago that leader's term had ended. No worker answers, so that only the time tells that it is over.
TEST(Takeover, gracePeriodCountsFromTheEndOfTheTermNotFromTheElection)
{
    Rig rig(4, 2);
    rig.run(1s);
    submitLongRunning(rig, "a", 1, 5000);
    for (auto &[id, worker] : rig.fleet.workers) {
        worker.isReachable = false;
        worker.running.clear();
    }
    loseLeader(rig);
    for (int i = 0; i < 2; ++i) {
        rig.run(4s);
        rig.nodes[static_cast<std::size_t>(rig.leader())]->node->beginDrain();
        rig.run(200ms);
    }
    rig.run(1500ms);
    rig.addWorker("w9", "r9", "d9");
    rig.run(6s); // 9.7 s from the first election have passed; the last leader was elected 7.5 s ago
    EXPECT_EQ(runningTasksOf(rig, "a"), 1U);
}

// Guards against TWICE: a leader that is cut off from the store, and reaches only a worker that its successor does not, must
// not extend the lease there for longer than the successor assumes.
TEST(Takeover, leaderInGraceWithoutHalfOfTheWorkersSendsNoOrders)
{
    Rig rig(2, 4);
    rig.run(1s);
    submitLongRunning(rig, "a", 4, 5000);
    const auto [used, unused] = splitWorkersByUse(rig);
    const TimePoint cutAt = rig.clock.now();
    cutLeaderOffWith(rig, used);
    rig.run(9500ms);
    EXPECT_LT(rig.fleet.workers[used].leaseUntil, cutAt + 8500ms);
    EXPECT_EQ(runningTasksOf(rig, "a"), 4U) << "the successor has started it elsewhere";
    rig.run(10s);
    EXPECT_EQ(runningTasksOf(rig, "a"), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against TWICE: as above, but the cut-off leader is frozen in the meantime and wakes within its grace period.
TEST(Takeover, leaderThatWakesInItsGraceWithoutWorkersSendsNoOrders)
{
    for (const Duration frozen : {1s, 2s, 3s, 4s, 6s, 8s}) {
        Rig rig(2, 4);
        rig.run(1s);
        submitLongRunning(rig, "a", 4, 5000);
        const auto [used, unused] = splitWorkersByUse(rig);
        RigNode &cutOff = cutLeaderOffWith(rig, used);
        rig.run(300ms);
        cutOff.isFrozen = true;
        rig.run(frozen);
        cutOff.isFrozen = false;
        rig.run(20s);
        EXPECT_EQ(runningTasksOf(rig, "a"), 4U);
        EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
    }
}

// Guards against TWICE: workers that restart forget the successor's fencing token, and must not count for a former leader.
TEST(Takeover, restartedWorkersDoNotKeepALeaderInGrace)
{
    Rig rig(2, 4);
    rig.run(1s);
    submitLongRunning(rig, "a", 4, 5000);
    const auto [used, unused] = splitWorkersByUse(rig);
    RigNode &cutOff = cutLeaderOffWith(rig, used);
    rig.run(2500ms); // the successor has read the others
    for (const WorkerId &it : unused) {
        rig.fleet.restartWorker(it);
        rig.backend.write("workers/" + it, "restarted");
    }
    cutOff.port.unreachableWorkers.clear();
    rig.nodes[static_cast<std::size_t>(rig.leader())]->port.unreachableWorkers = {used};
    rig.run(20s);
    EXPECT_EQ(runningTasksOf(rig, "a"), 4U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against TWICE: workers that a later leader has added to the list say nothing of the one before, which may still be
// answered by all of its own.
TEST(Takeover, workersThatAFormerLeaderDidNotKnowDoNotRejectIt)
{
    Rig rig(3, 2);
    rig.run(1s);
    submitLongRunning(rig, "a", 2, 5000);
    const auto [used, unused] = splitWorkersByUse(rig);
    const int first = rig.leader();
    RigNode &cutOff = *rig.nodes[static_cast<std::size_t>(first)];
    cutOff.store.isSilent = true;
    for (const auto &it : rig.nodes) {
        if (it.get() != &cutOff) {
            it->port.unreachableWorkers = {"w0", "w1"};
        }
    }
    rig.run(1800ms);
    const int second = rig.leader();
    ASSERT_GE(second, 0);
    for (int i = 10; i < 16; ++i) {
        rig.addWorker("w" + std::to_string(i), "r9", "d9");
    }
    rig.run(1s);
    rig.nodes[static_cast<std::size_t>(second)]->node->beginDrain();
    rig.run(25s);
    EXPECT_EQ(runningTasksOf(rig, "a"), 2U);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against lost work: in an outage of the store, a leader goes on for all of its grace period, with some workers lost.
TEST(Takeover, leaderGoesOnWithoutTheStoreWhileHalfOfTheWorkersAnswer)
{
    Rig rig(2, 4);
    for (const auto &it : rig.nodes) {
        it->port.renewalsWait = true;
    }
    rig.run(1s);
    submitLongRunning(rig, "a", 6, 5000);
    ASSERT_EQ(rig.fleet.runningTasks(), 6U);
    for (const auto &it : rig.nodes) {
        it->store.isSilent = true;
    }
    rig.run(3s);
    for (auto &[id, worker] : rig.fleet.workers) {
        worker.isReachable = !worker.running.empty(); // two of four
    }
    rig.run(9s);
    EXPECT_EQ(rig.fleet.runningTasks(), 6U);
    EXPECT_EQ(rig.fleet.starts, 6U) << "no run has ended";
}

} // namespace QuetzalRock::Workflow
