/** Takeovers from a leader whose orders have reached a worker's next incarnation: how long its runs are waited for. */
#include "rig.h"

#include <workflow/records.h>

#include <array>

namespace QuetzalRock::Workflow {

namespace {

enum class TermEnd {
    Killed,
    Resigned,
    CutOff,
    Paused
};
constexpr std::array AllTermEnds{TermEnd::Killed, TermEnd::Resigned, TermEnd::CutOff, TermEnd::Paused};

void submitLongRunning(Rig &rig, const JobKey &key, std::uint32_t tasks)
{
    WorkflowSpec spec = Rig::makeJob(key, tasks);
    spec.steps[0].isLongRunning = true;
    rig.fleet.longRunningJobs.insert(key);
    rig.submit(rig.leader(), spec);
}

/** A leader and its successors; the worker w0, whose clock is far ahead of that of its next incarnation, and as much as this. */
class RestartRig : public Rig
{
public:
    explicit RestartRig(int nodeCount = 2)
        : Rig(0, 1)
    {
        fleet.workers["w0"].clockOffsetMs = 3'600'000;
        scheduler.leaseExtensionInterval = {}; // each renewal that does not wait extends the lease
        for (int i = 0; i < nodeCount; ++i) {
            nodes.push_back(std::make_unique<RigNode>(backend, fleet, clock));
            nodes.back()->port.renewalsWait = true;
            boot(i);
        }
        run(2s);
    }

    FakePort &leaderPort()
    {
        return nodes[static_cast<std::size_t>(leader())]->port;
    }

    /** The worker restarts and executes a start for its former incarnation, of which the leader knows nothing yet. */
    void executeLateStart(const JobKey &job = "a")
    {
        sendLateStart(job, 2 * StepTime);
        restartWithClock("w0", fleet.clockMs(fleet.workers["w0"]) / 2);
        run(2 * StepTime);
        checkLateLease();
    }

    /** As above; the worker is silent from the start order on, for @p silence, and restarts then. */
    void executeLateStartAfterSilence(Duration silence)
    {
        sendLateStart("a", silence);
        fleet.workers["w0"].isReachable = false;
        run(silence - 3 * StepTime);
        restartWithClock("w0");
        backend.write("workers/w0", "restarted");
        run(3 * StepTime);
        checkLateLease();
    }

    /** As above, by a renewal that the next incarnation answers; the task starts once the leader has read that. */
    void executeLateRenewal()
    {
        restartWithClock("w0");
        run(300ms);
        backend.write("workers/w0", "restarted");
        submitLongRunning(*this, "a", 1);
        run(300ms);
        checkLateLease();
    }

private:
    void sendLateStart(const JobKey &job, Duration delay)
    {
        leaderPort().lostStartReplies = 1;
        leaderPort().lostStartDelay = delay;
        submitLongRunning(*this, job, 1);
        for (int i = 0; i < 100 && leaderPort().lostStartReplies > 0; ++i) {
            run(StepTime);
        }
    }

    void checkLateLease()
    {
        ASSERT_EQ(fleet.workers["w0"].running.size(), 1U);
        ASSERT_GT(fleet.workers["w0"].leaseUntil, clock.now() + 9s) << "by its own clock";
    }
};

/** Ends the leader's term; nobody but it reaches @p lost from then on. Returns when its successor has been elected. */
RigNode &endTerm(Rig &rig, TermEnd how, const WorkerId &lost)
{
    const int former = rig.leader();
    RigNode &successor = *rig.nodes[static_cast<std::size_t>(1 - former)];
    successor.port.unreachableWorkers = {lost};
    if (how == TermEnd::CutOff) {
        rig.nodes[static_cast<std::size_t>(former)]->store.isSilent = true;
    } else if (how == TermEnd::Paused) {
        rig.nodes[static_cast<std::size_t>(former)]->isFrozen = true;
    } else {
        if (how == TermEnd::Resigned) {
            rig.nodes[static_cast<std::size_t>(former)]->node->beginDrain();
            rig.run(500ms);
        }
        rig.fleet.workers[lost].isReachable = false;
        rig.kill(former);
        rig.boot(former); // so that it is known to be gone
    }
    for (int i = 0; i < 1000 && rig.leader() != 1 - former; ++i) {
        rig.run(StepTime);
    }
    EXPECT_EQ(rig.leader(), 1 - former);
    rig.nodes[static_cast<std::size_t>(former)]->isFrozen = false;
    return successor;
}

/** Runs until @p id runs something, for @p most at the longest. */
Duration timeUntilUsed(Rig &rig, const WorkerId &id, Duration most)
{
    const TimePoint since = rig.clock.now();
    while (rig.fleet.workers[id].running.empty() && rig.clock.now() < since + most) {
        rig.run(StepTime);
    }
    return rig.clock.now() - since;
}

/** The tasks of w0 start on w1 once the longest lease has passed since @p how has ended the term, and not before its own. */
void expectStartElsewhereAfterTheLease(RestartRig &rig, TermEnd how, Duration most = 10500ms)
{
    most += how == TermEnd::CutOff || how == TermEnd::Paused ? rig.scheduler.formerLeaderOrderTime : Duration{};
    EXPECT_LE(timeUntilUsed(rig, "w1", 30s), most);
    EXPECT_GE(rig.clock.now(), rig.fleet.workers["w0"].leaseUntil);
    rig.run(500ms);
    EXPECT_FALSE(rig.fleet.workers["w1"].running.empty());
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

} // namespace

// Guards against TWICE: a start for the former incarnation gave the next one the longest lease, the leader ended before it had
// noticed the restart, and its successor waited for the lease that leaders grant.
TEST(RestartedWorker, lateStartThatNoLeaderKnowsOfIsOutwaited)
{
    for (const TermEnd how : AllTermEnds) {
        SCOPED_TRACE(static_cast<int>(how));
        RestartRig rig;
        rig.addWorker("w1");
        rig.leaderPort().fullWorkers = {"w1"};
        rig.run(500ms);
        rig.executeLateStart();
        rig.backend.write("workers/w0", "restarted");
        endTerm(rig, how, "w0");
        expectStartElsewhereAfterTheLease(rig, how);
    }
}

// Guards against TWICE: as above, and the leader had read the next incarnation and started tasks there.
TEST(RestartedWorker, lateStartThatTheFormerLeaderKnewOfIsOutwaited)
{
    for (const TermEnd how : AllTermEnds) {
        SCOPED_TRACE(static_cast<int>(how));
        RestartRig rig;
        rig.executeLateStart();
        rig.backend.write("workers/w0", "restarted");
        rig.run(1s);
        rig.addWorker("w1");
        rig.run(500ms);
        endTerm(rig, how, "w0");
        expectStartElsewhereAfterTheLease(rig, how);
    }
}

// Guards against TWICE: as above, by a renewal that the next incarnation has answered.
TEST(RestartedWorker, renewalAnsweredByTheNextIncarnationIsOutwaited)
{
    for (const TermEnd how : AllTermEnds) {
        SCOPED_TRACE(static_cast<int>(how));
        RestartRig rig;
        rig.executeLateRenewal();
        rig.addWorker("w1");
        rig.run(200ms);
        endTerm(rig, how, "w0");
        expectStartElsewhereAfterTheLease(rig, how);
    }
}

// Guards against TWICE: as above, and the registry shows the restart only after the successor's election.
TEST(RestartedWorker, restartThatTheSuccessorSeesLateIsOutwaited)
{
    for (const TermEnd how : AllTermEnds) {
        SCOPED_TRACE(static_cast<int>(how));
        RestartRig rig;
        rig.addWorker("w1");
        rig.leaderPort().fullWorkers = {"w1"};
        rig.run(500ms);
        const WorkerRecord before = rig.decoder.parseWorker("w0", {});
        rig.decoder.staleEntries["w0"] = before;
        rig.executeLateStart();
        endTerm(rig, how, "w0");
        rig.run(1500ms);
        rig.decoder.staleEntries.clear();
        rig.backend.write("workers/w0", "restarted");
        expectStartElsewhereAfterTheLease(rig, how, 12800ms); // from the restart on, with the validity of the order
    }
}

// Guards against TWICE: the successor read the worker, which was cut off before the lease from before the restart had expired.
TEST(RestartedWorker, lateLeaseIsOutwaitedByASuccessorThatHasReadIt)
{
    for (const bool isLateStart : {true, false}) {
        RestartRig rig;
        if (isLateStart) {
            rig.executeLateStart();
            rig.backend.write("workers/w0", "restarted");
        } else {
            rig.executeLateRenewal();
        }
        const int former = rig.leader();
        rig.kill(former);
        while (rig.leader() < 0) {
            rig.run(StepTime);
        }
        rig.run(500ms);
        rig.addWorker("w1");
        rig.run(300ms);
        rig.fleet.workers["w0"].isReachable = false;
        expectStartElsewhereAfterTheLease(rig, TermEnd::Killed);
    }
}

// Guards against TWICE: two leaders in a row end before the lease from before the restart has expired.
TEST(RestartedWorker, lateLeaseIsOutwaitedByTheSecondSuccessorToo)
{
    for (const bool isReadByTheFirst : {true, false}) {
        RestartRig rig;
        rig.executeLateStart();
        rig.backend.write("workers/w0", "restarted");
        rig.run(500ms);
        rig.addWorker("w1");
        rig.run(300ms);
        if (isReadByTheFirst) {
            const int former = rig.leader();
            rig.kill(former);
            rig.boot(former);
            while (rig.leader() < 0) {
                rig.run(StepTime);
            }
        } else {
            endTerm(rig, TermEnd::Killed, "w0");
        }
        rig.run(1s);
        endTerm(rig, TermEnd::Killed, "w0");
        expectStartElsewhereAfterTheLease(rig, TermEnd::Killed);
    }
}

// Guards against TWICE: the worker restarts again, and the second restart is the only one of which the leader knows no order.
TEST(RestartedWorker, twoRestartsInARowAreOutwaited)
{
    RestartRig rig;
    rig.executeLateStart();
    rig.backend.write("workers/w0", "restarted");
    rig.run(700ms);
    rig.cancel(rig.leader(), "a");
    rig.run(500ms);
    rig.addWorker("w1");
    rig.leaderPort().fullWorkers = {"w1"};
    rig.run(300ms);
    rig.executeLateStart("b");
    rig.backend.write("workers/w0", "restarted");
    endTerm(rig, TermEnd::Killed, "w0");
    expectStartElsewhereAfterTheLease(rig, TermEnd::Killed);
}

// Guards against TWICE: the worker was silent before it restarted, and the lease was taken to have begun before that silence.
TEST(RestartedWorker, lateLeaseIsNotCountedFromASilenceBefore)
{
    for (const bool hasLeaderSeenIt : {false, true}) {
        RestartRig rig;
        rig.executeLateStartAfterSilence(4s);
        ASSERT_EQ(decodeWithheldLeases(rig.backend.items.at("ctl/board/withheld/0").value).size(), 1U);
        rig.run(hasLeaderSeenIt ? 500ms : 0ms);
        endTerm(rig, TermEnd::Killed, "w0");
        rig.addWorker("w1");
        expectStartElsewhereAfterTheLease(rig, TermEnd::Killed);
    }
}

// Guards against LOST: each leader of a series waited from its own election for a worker that had restarted and was lost.
TEST(RestartedWorker, lostOneIsNotWaitedForAnewByEachLeader)
{
    RestartRig rig(8); // a node that has restarted counts from its start
    rig.executeLateStartAfterSilence(4s);
    rig.addWorker("w1");
    const TimePoint since = rig.clock.now();
    while (rig.fleet.workers["w1"].running.empty() && rig.clock.now() < since + 40s) { // each leads for about 2 s
        const int former = rig.leader();
        rig.kill(former);
        while (rig.leader() < 0) {
            rig.run(StepTime);
        }
        rig.boot(former); // so that it is known to be gone
        timeUntilUsed(rig, "w1", 2s);
    }
    EXPECT_LT(rig.clock.now(), since + 16s);
    EXPECT_GE(rig.clock.now(), rig.fleet.workers["w0"].leaseUntil);
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

// Guards against TWICE: a list of an older version says nothing of restarts, and its workers were taken to hold known leases.
TEST(RestartedWorker, listOfAnOlderVersionSettlesNone)
{
    RestartRig rig;
    rig.executeLateRenewal();
    rig.addWorker("w1");
    rig.run(200ms);
    nlohmann::json list = nlohmann::json::array({StoredVersion});
    for (const auto &[id, worker] : rig.fleet.workers) {
        list.push_back(nlohmann::json::array({id, worker.startedAtMs, id, "pool", 1}));
    }
    rig.backend.items.at("ctl/workers/0").value = packRecord(list);
    endTerm(rig, TermEnd::Killed, "w0");
    expectStartElsewhereAfterTheLease(rig, TermEnd::Killed);
}

// Guards against TWICE: only the first successor knew of the restart, as the worker's entry is gone, and had stored nothing of it.
TEST(RestartedWorker, restartThatOnlyTheLastLeaderHasSeenIsOutwaited)
{
    for (const bool isRead : {true, false}) {
        RestartRig rig;
        rig.addWorker("w1");
        rig.leaderPort().fullWorkers = {"w1"};
        rig.run(500ms);
        rig.nodes[static_cast<std::size_t>(rig.leader())]->store.isLost
            = [](const StoreChange &it) { return it.puts.front().key == "ctl/workers/0"; };
        rig.executeLateStart();
        rig.leaderPort().fullWorkers.clear();
        rig.backend.write("workers/w0", "restarted");
        const int former = rig.leader();
        rig.fleet.workers["w0"].isReachable = isRead;
        rig.kill(former);
        while (rig.leader() < 0) {
            rig.run(StepTime);
        }
        rig.boot(former);
        rig.nodes[static_cast<std::size_t>(former)]->store.isLost = {};
        rig.run(200ms);
        ++rig.backend.revision;
        rig.backend.remove("workers/w0");
        endTerm(rig, TermEnd::Resigned, "w0");
        expectStartElsewhereAfterTheLease(rig, TermEnd::Resigned);
    }
}

// Guards against LOST: a longer wait for workers that no order from before a restart can have reached.
TEST(RestartedWorker, isWaitedForNoLongerOnceItsLeaseIsKnown)
{
    for (const int restarts : {0, 1, 2}) {
        RestartRig rig;
        for (int i = 0; i < restarts; ++i) {
            rig.restartWithClock("w0");
            rig.backend.write("workers/w0", "restarted");
            rig.run(500ms);
        }
        submitLongRunning(rig, "a", 2);
        rig.run(restarts > 0 ? 11s : 1s);
        ASSERT_EQ(rig.fleet.workers["w0"].running.size(), 2U);
        rig.addWorker("w1");
        rig.run(500ms);
        endTerm(rig, TermEnd::Killed, "w0");
        EXPECT_LT(timeUntilUsed(rig, "w1", 30s), 6500ms) << restarts << " restarts";
        EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
    }
}

} // namespace QuetzalRock::Workflow
