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

// ---------------------------------------------------------------------------------------------------------------------
// Hand-overs
// ---------------------------------------------------------------------------------------------------------------------

// ---------------------------------------------------------------------------------------------------------------------
// Pauses of a process
// ---------------------------------------------------------------------------------------------------------------------

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

// ---------------------------------------------------------------------------------------------------------------------
// Restarts
// ---------------------------------------------------------------------------------------------------------------------

// ---------------------------------------------------------------------------------------------------------------------
// Lost answers
// ---------------------------------------------------------------------------------------------------------------------

} // namespace QuetzalRock::Workflow
