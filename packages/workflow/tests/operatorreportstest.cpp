/**
 * Faults that operators of similar systems have reported, brought about here: silent workers, hand-overs between processes,
 * pauses of a process, malformed data, restarts, lost answers.
 */
#include "rig.h"

#include <workflow/records.h>

#include <stdexcept>

namespace QuetzalRock::Workflow {

namespace {

constexpr auto Done = WorkflowState::Completed;
constexpr Duration StartBound = 5s; ///< of evacuations

void removeEntry(Rig &rig, const WorkerId &id)
{
    ++rig.backend.revision;
    rig.backend.remove("workers/" + id);
}

WorkflowSpec makeLongRunningJob(Rig &rig, const JobKey &key, std::uint32_t tasks)
{
    WorkflowSpec spec = Rig::makeJob(key, tasks);
    spec.steps[0].isLongRunning = true;
    rig.fleet.longRunningJobs.insert(key);
    return spec;
}

AcceptedJob makeAccepted(const JobKey &key)
{
    AcceptedJob job;
    job.spec = Rig::makeJob(key, 1, 2);
    job.queue = "queue";
    job.pool = "pool";
    return job;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Silent workers
// ---------------------------------------------------------------------------------------------------------------------

// Guards against a task that is stopped as hung after two reports without CPU use, although nothing is known of the silence
// between them.
TEST(OperatorReports, silenceBetweenTwoReportsDoesNotCountAsIdle)
{
    Rig rig(1, 1);
    rig.fleet.workTime = 20s;
    rig.run(2s);
    rig.submit(0, Rig::makeJob("a", 2));
    rig.run(1s);
    ASSERT_EQ(rig.fleet.runningTasks(), 2U);
    rig.fleet.gauges["a"] = 0;
    rig.run(200ms);
    rig.nodes[0]->port.unreachableWorkers = {"w0"};
    rig.run(2500ms);
    rig.nodes[0]->port.unreachableWorkers.clear();
    rig.run(900ms);
    rig.fleet.gauges["a"] = 1000;
    rig.run(5s);
    EXPECT_EQ(rig.fleet.starts, 2U) << "no task was started again";
    EXPECT_EQ(rig.fleet.runningTasks(), 2U);
}

// Guards against running work that is given up because the worker is late to renew its entry in the registry.
TEST(OperatorReports, missingRegistryEntryDoesNotEndRunningWork)
{
    Rig rig(2, 2);
    rig.fleet.workTime = 20s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.submit(0, makeLongRunningJob(rig, "b", 2));
    rig.run(1s);
    ASSERT_EQ(rig.fleet.runningTasks(), 6U);
    for (const WorkerId id : {"w0", "w1"}) {
        removeEntry(rig, id);
    }
    rig.run(8s); // longer than the leases of runs
    EXPECT_EQ(rig.fleet.runningTasks(), 6U);
    for (const WorkerId id : {"w0", "w1"}) {
        rig.backend.write("workers/" + id, "back");
    }
    rig.run(2s);
    EXPECT_EQ(rig.fleet.starts, 6U) << "no task was started again";
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against running work that is started elsewhere while its worker is silent for less than its lease.
TEST(OperatorReports, silenceShorterThanTheLeaseMovesNoTask)
{
    for (const Duration silence : {500ms, 1500ms, 3000ms, 4000ms}) {
        Rig rig(1, 2);
        rig.fleet.workTime = 20s;
        rig.run(1s);
        rig.submit(0, Rig::makeJob("a", 4));
        rig.run(1s);
        rig.nodes[0]->port.unreachableWorkers = {"w0", "w1"};
        rig.run(silence);
        rig.nodes[0]->port.unreachableWorkers.clear();
        rig.run(8s);
        EXPECT_EQ(rig.fleet.starts, 4U) << toMilliseconds(silence);
        EXPECT_TRUE(rig.fleet.violations.empty());
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Hand-overs
// ---------------------------------------------------------------------------------------------------------------------

// Guards against orders that go out twice while the processes are replaced one after the other.
TEST(OperatorReports, replacingEveryProcessStartsEachTaskOnce)
{
    Rig rig(3, 4);
    rig.run(1s);
    std::uint64_t tasks = 0;
    int jobs = 0;
    for (int i = 0; i < 3; ++i) {
        for (int n = 0; n < 20; ++n) {
            rig.submit((i + 1) % 3, Rig::makeJob("j" + std::to_string(jobs++), 2, 2));
            tasks += 4;
            rig.run(50ms);
            if (n == 8) {
                rig.nodes[static_cast<std::size_t>(i)]->node->beginDrain();
            }
        }
        rig.kill(i);
        rig.boot(i);
    }
    rig.run(8s);
    for (int i = 0; i < jobs; ++i) {
        EXPECT_EQ(rig.state("j" + std::to_string(i)), Done) << i;
    }
    EXPECT_EQ(rig.fleet.starts, tasks);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against a leader that sends another start after a worker has shown it that a later leader exists.
TEST(OperatorReports, leaderThatIsFencedSendsNoFurtherStart)
{
    Rig rig(1, 2);
    rig.fleet.workTime = 60s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 2));
    rig.run(500ms);
    rig.fleet.workers["w0"].fence = std::uint64_t{1} << 40U; // a later leader has read w0
    rig.run(1200ms);                                         // the next renewal is rejected
    const std::uint64_t before = rig.fleet.starts;
    rig.nodes[0]->store.isSilent = true; // no new term
    rig.submit(0, Rig::makeJob("b", 2));
    rig.run(3s);
    EXPECT_EQ(rig.fleet.starts, before);
}

// ---------------------------------------------------------------------------------------------------------------------
// Pauses of a process
// ---------------------------------------------------------------------------------------------------------------------

// Guards against a start that is decided before a pause and takes effect after it.
TEST(OperatorReports, startDecidedBeforeAPauseIsVoidAfterIt)
{
    Rig rig(2, 2);
    rig.run(2s);
    int pauses = 0;
    std::uint64_t startsBefore = 0;
    const int leader = rig.leader();
    rig.nodes[static_cast<std::size_t>(leader)]->port.beforeStart = [&] {
        if (++pauses == 1) {
            rig.clock.advance(3s); // between the decision and the order, which was valid for 2.5 s
        }
    };
    rig.submit(leader, Rig::makeJob("a", 1));
    while (pauses == 0) {
        startsBefore = rig.fleet.starts;
        rig.run(StepTime);
    }
    EXPECT_EQ(rig.fleet.starts, startsBefore) << "the worker rejects the order";
    rig.run(20s);
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_EQ(rig.fleet.starts, 1U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against TWICE: a leader processed a reply after a pause by the authority that it had before it. It took a run for lost
// that its successor had read, and started the task once more on a worker that the successor could not reach.
TEST(OperatorReports, replyProcessedAfterAPauseDoesNotRestOnExpiredAuthority)
{
    Rig rig(2, 2);
    rig.fleet.workTime = 3s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 1));
    rig.run(500ms);
    ASSERT_EQ(rig.fleet.runningTasks(), 1U);
    const WorkerId used = rig.fleet.workers["w0"].running.empty() ? "w1" : "w0";
    const WorkerId unused = used == "w0" ? "w1" : "w0";
    const int former = rig.leader();
    RigNode &paused = *rig.nodes[static_cast<std::size_t>(former)];
    rig.nodes[static_cast<std::size_t>(1 - former)]->port.unreachableWorkers = {unused};
    paused.port.renewSendDelay[used] = 3500ms;
    rig.run(100ms);
    paused.port.renewReplyDelay[unused] = 3s; // delivered on waking
    rig.run(100ms);
    paused.store.isSilent = true;
    paused.isFrozen = true;
    rig.run(3s); // the successor reads the run, and its end
    ASSERT_EQ(rig.leader(), 1 - former);
    ASSERT_EQ(rig.state("a"), Done);
    rig.fleet.removeWorker(used, true);
    rig.run(1s);
    paused.isFrozen = false;
    paused.port.renewReplyDelay.clear();
    rig.run(2s);
    EXPECT_EQ(rig.fleet.starts, 1U);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against a leader that acts by the requests that it knew before a pause: the evacuation arrives during the pause.
TEST(OperatorReports, evacuationThatArrivesDuringAPauseBindsAfterIt)
{
    for (const Duration pause : {500ms, 1200ms, 2500ms, 4000ms, 7000ms}) {
        Rig rig(0, 8);
        rig.evacuation = {StartBound, 6s};
        for (int i = 0; i < 2; ++i) {
            rig.nodes.push_back(std::make_unique<RigNode>(rig.backend, rig.fleet, rig.clock));
            rig.boot(i);
        }
        rig.run(4s);
        RigNode &leader = *rig.nodes[static_cast<std::size_t>(rig.leader())];
        std::optional<std::size_t> startsAtBound;
        const auto startsInDomain = [&rig] {
            std::size_t n = 0;
            for (const auto &[id, worker] : rig.fleet.workers) {
                n += worker.failureDomain == "d0" ? worker.startCount : 0;
            }
            return n;
        };
        int jobs = 0;
        for (Duration t{}; t < 15s; t += 100ms) {
            if (t == 1s) {
                leader.isFrozen = true;
                rig.backend.write("operator/evacuate/d0", "{}");
            }
            leader.isFrozen = leader.isFrozen && t < 1s + pause;
            if (t >= 1s + StartBound && !startsAtBound) {
                startsAtBound = startsInDomain();
            }
            rig.submit(&leader == rig.nodes[0].get() ? 1 : 0, Rig::makeJob("j" + std::to_string(jobs++), 2));
            rig.run(100ms);
        }
        EXPECT_EQ(startsInDomain(), startsAtBound) << toMilliseconds(pause);
        EXPECT_TRUE(rig.fleet.violations.empty());
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Malformed data and unexpected errors
// ---------------------------------------------------------------------------------------------------------------------

// Guards against an unexpected error in one decision that ends the process, or that leaves the shard without a leader.
TEST(OperatorReports, unexpectedErrorEndsTheTermOfTheLeaderOnly)
{
    Rig rig(2, 2);
    rig.run(1s);
    int errors = 0;
    for (const auto &it : rig.nodes) {
        it->port.beforeStart = [&errors] {
            if (++errors <= 2) {
                throw std::length_error("unexpected");
            }
        };
    }
    rig.submit(0, Rig::makeJob("a", 4, 2));
    EXPECT_NO_THROW(rig.run(12s));
    EXPECT_GT(errors, 2);
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against one unreadable status that hides the counts of all other shards from callers.
TEST(OperatorReports, unreadableStatusHidesNoOther)
{
    Rig rig(1, 2);
    rig.run(1s);
    WorkflowSpec spec = Rig::makeJob("a", 1);
    spec.steps[0].need.cpuMillis = 100'000; // fits nowhere
    rig.submit(0, spec);
    rig.run(2s);
    rig.backend.write("ctl/status/7", "not a record");
    rig.backend.write("ctl/status/8", packRecord({StoredVersion, 1, "x", nullptr}));
    rig.run(2s);
    std::optional<IntakeReply> reply;
    rig.nodes[0]->node->intake().countPending("queue", [&reply](const IntakeReply &it) { reply = it; });
    rig.run(1s);
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->outcome, IntakeOutcome::Ok);
    EXPECT_EQ(reply->pending, 1U);
}

// Guards against an unreadable list of workers that ends each process that is elected. Former leaders may have used any
// worker, so that tasks wait as for a worker that cannot be reached.
TEST(OperatorReports, unreadableListOfWorkersIsOutwaited)
{
    Rig rig(2, 2);
    rig.fleet.workTime = 60s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 4));
    rig.run(1s);
    ASSERT_EQ(rig.fleet.runningTasks(), 4U);
    rig.backend.write("ctl/workers/0", "not a record");
    const int former = rig.leader();
    rig.nodes[static_cast<std::size_t>(1 - former)]->port.unreachableWorkers = {"w0"};
    const std::uint64_t before = rig.fleet.starts;
    rig.kill(former);
    EXPECT_NO_THROW(rig.run(5s));
    EXPECT_EQ(rig.fleet.starts, before) << "w0 may still run its tasks";
    EXPECT_NO_THROW(rig.run(20s));
    EXPECT_EQ(rig.fleet.runningTasks(), 4U);
    EXPECT_EQ(decodeWorkers(rig.backend.items.at("ctl/workers/0").value).empty(), false);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

// Guards against records of another writer that end the process or exhaust its memory: they are logged and skipped.
TEST(OperatorReports, impossibleJobsAreSkipped)
{
    Rig rig(2, 2);
    rig.run(1s);
    const ShardKeys keys = makeShardKeys(0);
    rig.backend.write(keys.jobs + "x1", "not a record");
    rig.backend.write(keys.jobs + "x2", std::string(200'000, '\x91')); // nested arrays
    AcceptedJob job = makeAccepted("x3");
    job.spec.steps[1].after = {7};
    rig.backend.write(keys.jobs + "x3", encodeAccepted(job));
    job = makeAccepted("x4");
    job.spec.steps[0].taskCount = 4'000'000'000;
    rig.backend.write(keys.jobs + "x4", encodeAccepted(job));
    job = makeAccepted("x5");
    job.spec.repeatCount = 4'000'000'000;
    rig.backend.write(keys.jobs + "x5", encodeAccepted(job));
    job = makeAccepted("x6");
    job.spec.steps[0].need.cpuMillis = -1'000'000;
    rig.backend.write(keys.jobs + "x6", encodeAccepted(job));
    rig.backend.write(keys.jobs + "x7", encodeAccepted(makeAccepted("\xff\xfe"))); // no JSON can hold this key
    GivenTask given;
    given.accepted = makeAccepted("x8");
    rig.backend.write(keys.taken + "0.0/other", encodeGivenTask(given));
    rig.submit(0, Rig::makeJob("a", 2));
    EXPECT_NO_THROW(rig.run(3s));
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_EQ(rig.fleet.startedJobs, std::set<JobKey>{"a"});
    rig.kill(rig.leader());
    rig.backend.write(std::string(ProgressPrefix) + "x9", packRecord({StoredVersion, 77, 1}));
    rig.backend.write(keys.jobs + "x9", encodeAccepted(makeAccepted("x9")));
    EXPECT_NO_THROW(rig.run(5s));
    rig.submit(rig.leader(), Rig::makeJob("b", 2));
    EXPECT_NO_THROW(rig.run(3s));
    EXPECT_EQ(rig.state("b"), Done) << "the next leader skips them as well";
    EXPECT_EQ(rig.fleet.startedJobs, (std::set<JobKey>{"a", "b"}));
}

// Guards against unreadable records of shards: a job that waits for its shard, a map with fewer shards than before.
TEST(OperatorReports, unreadableRecordsOfShardsAreSkipped)
{
    Rig rig(2, 8, 2);
    rig.run(6s);
    const ShardMap before = rig.shardMap();
    ASSERT_GT(before.shards.size(), 2U);
    rig.backend.write(std::string(UnassignedPrefix) + "x1", "not a record");
    rig.backend.write(std::string(UnassignedPrefix) + "x2", std::string(200'000, '\x91'));
    for (const std::string key : {"x1", "x2"}) {
        rig.backend.write(std::string(RegistrationPrefix) + key, encodeRegistration({}));
    }
    ShardMap map;
    map.shards.push_back(before.shards[0]);
    map.shards.push_back(before.shards[1]);
    rig.backend.write(std::string(ShardMapKey), encodeShardMap(map));
    EXPECT_NO_THROW(rig.run(2s));
    rig.submit(0, makeLongRunningJob(rig, "a", 2));
    EXPECT_NO_THROW(rig.run(5s));
    EXPECT_EQ(rig.fleet.runningTasks(), 2U);
}

// Guards against a report of runs that cannot exist.
TEST(OperatorReports, reportedRunsThatCannotExistAreStopped)
{
    Rig rig(1, 1);
    rig.fleet.workTime = 20s;
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 1));
    rig.run(500ms);
    FakeWorker &worker = rig.fleet.workers["w0"];
    ASSERT_EQ(worker.running.size(), 1U);
    for (const TaskName &task : {TaskName{"a", 9, 0, 0}, TaskName{"a", 0, 4'000'000'000, 0}, TaskName{"a", 0, 0, 7}}) {
        worker.running.push_back({{task, 1}, rig.clock.now(), {}});
        worker.ended.push_back({++worker.lastSequence, {task, 2}, RunEnd::Done, {}});
    }
    EXPECT_NO_THROW(rig.run(3s));
    EXPECT_EQ(worker.running.size(), 1U);
    EXPECT_TRUE(worker.ended.empty());
}

// ---------------------------------------------------------------------------------------------------------------------
// Restarts
// ---------------------------------------------------------------------------------------------------------------------

// Guards against a worker that has left and is used again after all processes have been restarted.
TEST(OperatorReports, workerThatHasLeftIsNotUsedAfterARestart)
{
    Rig rig(2, 2);
    rig.run(1s);
    rig.submit(0, Rig::makeJob("a", 8));
    rig.run(2s);
    ASSERT_GT(rig.fleet.workers["w0"].startCount, 0U);
    removeEntry(rig, "w0"); // it still answers
    const std::size_t before = rig.fleet.workers["w0"].startCount;
    for (const bool isFirst : {true, false}) {
        for (int i = 0; i < 2; ++i) {
            rig.kill(i);
        }
        rig.run(isFirst ? 100ms : 3s);
        for (int i = 0; i < 2; ++i) {
            rig.boot(i);
        }
        rig.run(5s);
        rig.submit(0, Rig::makeJob(isFirst ? "b" : "c", 20));
        rig.run(5s);
    }
    EXPECT_EQ(rig.state("c"), Done);
    EXPECT_EQ(rig.fleet.workers["w0"].startCount, before);
}

// Guards against a job that was cancelled and is started again after all processes have been restarted.
TEST(OperatorReports, cancelledJobStaysCancelledAfterARestart)
{
    Rig rig(2, 2);
    rig.run(1s);
    rig.submit(0, makeLongRunningJob(rig, "a", 2));
    rig.run(1s);
    rig.cancel(1, "a");
    rig.run(50ms);
    for (int i = 0; i < 2; ++i) {
        rig.kill(i);
    }
    for (int i = 0; i < 2; ++i) {
        rig.boot(i);
    }
    rig.run(10s);
    EXPECT_EQ(rig.state("a"), WorkflowState::Cancelled);
    EXPECT_EQ(rig.fleet.runningTasks(), 0U);
    EXPECT_EQ(rig.fleet.starts, 2U);
}

// ---------------------------------------------------------------------------------------------------------------------
// Lost answers
// ---------------------------------------------------------------------------------------------------------------------

// Guards against tasks that run again because the report of their ends, or the answer to the write that stores them, was lost.
TEST(OperatorReports, lostReportsAndWritesOfEndsStartNoTaskAgain)
{
    for (const int lost : {1, 2, 3}) {
        Rig rig(2, 2);
        rig.run(1s);
        rig.submit(0, Rig::makeJob("a", 6, 2));
        rig.run(200ms);
        RigNode &leader = *rig.nodes[static_cast<std::size_t>(rig.leader())];
        leader.port.lostOrderReplies = lost; // executed
        leader.store.lostChangeReplies = lost;
        rig.run(10s);
        EXPECT_EQ(rig.state("a"), Done);
        EXPECT_EQ(rig.fleet.starts, 12U) << lost;
        EXPECT_TRUE(rig.fleet.violations.empty());
    }
}

// Guards against a caller who is told that its cancel was not executed, while the write takes effect later.
TEST(OperatorReports, lostAnswerToACancelIsNotReportedAsRejection)
{
    Rig rig(2, 2);
    rig.run(1s);
    rig.submit(0, makeLongRunningJob(rig, "a", 2));
    rig.run(1s);
    FakeStore &store = rig.nodes[1]->store;
    std::optional<IntakeOutcome> outcome;
    rig.nodes[1]->node->intake().cancel(
        "a", rig.clock.now() + 3s, [&outcome](const IntakeReply &it) { outcome = it.outcome; });
    store.lostChangeReplies = 1;
    rig.run(100ms);
    store.isRefusing = true;
    rig.run(4s);
    EXPECT_EQ(outcome, IntakeOutcome::Unknown);
    EXPECT_EQ(rig.fleet.runningTasks(), 0U);
}

} // namespace QuetzalRock::Workflow
