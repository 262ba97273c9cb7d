/** Reports on waiting tasks: the reason for each kind of load, how many lines there are, and what survives an election. */
#include "rig.h"

#include <workflow/metrics.h>

#include <sstream>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::uint32_t TasksPerWorker = 16; ///< of Rig::makeJob() that fit on a worker

/** A job whose tasks run until it is cancelled, and that is not long-running for the scheduler. */
WorkflowSpec makeEndlessJob(Rig &rig, const JobKey &key, std::uint32_t tasks)
{
    rig.fleet.longRunningJobs.insert(key);
    return Rig::makeJob(key, tasks);
}

WorkflowSpec makeLongRunningJob(Rig &rig, const JobKey &key, std::uint32_t tasks)
{
    WorkflowSpec spec = makeEndlessJob(rig, key, tasks);
    spec.steps[0].isLongRunning = true;
    return spec;
}

/** Fills all CPU of @p workers workers until "fills" is cancelled. */
void fillWorkers(Rig &rig, std::uint32_t workers)
{
    rig.submit(0, makeEndlessJob(rig, "fills", workers * TasksPerWorker));
    rig.run(1s);
    ASSERT_EQ(rig.fleet.runningTasks(), workers * TasksPerWorker);
}

const WaitingTasks &waitingTasks(const Rig &rig, int node = 0)
{
    return rig.nodes[static_cast<std::size_t>(node)]->node->schedulers().front()->waitingTasks();
}

/** Runs until the leader, @p node, reports on @p job, for @p limit at most; then the reason is None. */
WaitDiagnosis awaitDiagnosis(Rig &rig, const JobKey &job, Duration limit = 8s, int node = 0)
{
    for (const TimePoint until = rig.clock.now() + limit; rig.clock.now() < until;) {
        rig.run(StepTime);
        for (const WaitDiagnosis &it : waitingTasks(rig, node).diagnoses) {
            if (it.job == job) {
                return it;
            }
        }
    }
    return {};
}

/** The reported reason for a job that waits from now on. */
std::string whyWaits(Rig &rig, const WorkflowSpec &spec)
{
    rig.submit(0, spec);
    return std::string(awaitDiagnosis(rig, spec.key).why());
}

void startDraining(Rig &rig, const WorkerId &worker)
{
    rig.fleet.workers[worker].condition = WorkerCondition::Draining;
    rig.fleet.workers[worker].leavesInMs = 60'000;
    rig.backend.write("workers/" + worker, "draining");
}

/** Value of a sample in the text format; -1: there is none. */
double metric(const NodeMetrics &metrics, const std::string &name)
{
    std::istringstream text(metrics.text());
    for (std::string line; std::getline(text, line);) {
        if (line.starts_with(name + " ")) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return -1;
}

/** Lets the nodes that boot meanwhile write their log, and captures it. */
class CapturedLog
{
public:
    CapturedLog()
    {
        setenv("WORKFLOW_LOG", "1", 1);
        testing::internal::CaptureStderr();
    }
    ~CapturedLog()
    {
        unsetenv("WORKFLOW_LOG");
        if (!m_isTaken) {
            testing::internal::GetCapturedStderr();
        }
    }
    CapturedLog(const CapturedLog &) = delete;
    CapturedLog &operator=(const CapturedLog &) = delete;

    std::vector<std::string> takeLines(const std::string &event)
    {
        m_isTaken = true;
        std::istringstream text(testing::internal::GetCapturedStderr());
        std::vector<std::string> lines;
        for (std::string line; std::getline(text, line);) {
            if (line.find("event=" + event + " ") != std::string::npos) {
                lines.push_back(line);
            }
        }
        return lines;
    }

private:
    bool m_isTaken = false;
};

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Reasons
// ---------------------------------------------------------------------------------------------------------------------

// Guards against jobs that wait for 100 s while nothing says which resource they lack, and on how many workers.
TEST(Waiting, fullWorkersAreCountedByResource)
{
    Rig rig(1, 3);
    rig.run(1s);
    fillWorkers(rig, 3);
    rig.submit(0, Rig::makeJob("waits", 2));
    const WaitDiagnosis cpu = awaitDiagnosis(rig, "waits");
    EXPECT_EQ(cpu.why(), "no_free_cpu");
    EXPECT_EQ(cpu.turnedAwayText(), "no_free_cpu:3");
    EXPECT_EQ(cpu.tasks, 2U);
    EXPECT_GE(cpu.waited, 2s);
    EXPECT_LT(cpu.waited, 4s);
    EXPECT_EQ(cpu.queue, "queue");
    rig.cancel(0, "fills");
    rig.run(3s);
    WorkflowSpec large = Rig::makeJob("large", 1);
    large.steps[0].need.memoryMib = 100'000;
    EXPECT_EQ(whyWaits(rig, large), "no_free_memory");
}

// Guards against best-effort tasks without a reason: they need no free CPU but idle CPU, and neighbours that bear them.
TEST(Waiting, bestEffortTasksLackIdleCpuOrWouldSlowDownServices)
{
    Rig rig(1, 1);
    rig.scheduler.spareCpuShareDelay = 1h;
    rig.kill(0);
    rig.boot(0);
    rig.run(1s);
    WorkflowSpec spec = Rig::makeJob("best-effort", 1);
    spec.steps[0].usesSpareCpu = true;
    spec.steps[0].image = "fills";
    spec.steps[0].need.cpuMillis = 17'000;
    EXPECT_EQ(whyWaits(rig, spec), "no_idle_cpu");
    rig.cancel(0, "best-effort");

    WorkflowSpec serving = makeLongRunningJob(rig, "serving", 1);
    serving.steps[0].image = "serves";
    serving.steps[0].latencyTargetMs = 50;
    rig.fleet.gauges["serving"] = 500;
    rig.submit(0, serving);
    rig.run(3s);
    spec.key = "beside";
    spec.steps[0].need.cpuMillis = 1000;
    EXPECT_EQ(whyWaits(rig, spec), "serving_tasks");
}

// Guards against a line that says "no room" of workers with room that the task may not use.
TEST(Waiting, restrictedTasksNameTheRestriction)
{
    Rig rig(1, 2);
    rig.run(1s);
    WorkflowSpec labelled = Rig::makeJob("labelled", 1);
    labelled.steps[0].requiredLabel = "gpu";
    EXPECT_EQ(whyWaits(rig, labelled), "lacks_label");
    WorkflowSpec apart = makeEndlessJob(rig, "apart", 3);
    apart.steps[0].maxPerWorker = 1;
    EXPECT_EQ(whyWaits(rig, apart), "max_per_worker");
}

// Guards against an unexplained wait beside a worker that a large task has reserved.
TEST(Waiting, reservedWorkerIsNamed)
{
    Rig rig(1, 1);
    rig.run(1s);
    rig.submit(0, makeEndlessJob(rig, "half", TasksPerWorker / 2));
    rig.run(500ms);
    WorkflowSpec large = makeLongRunningJob(rig, "large", 1);
    large.steps[0].need.cpuMillis = 12'000;
    rig.submit(0, large);
    rig.run(2s);
    EXPECT_EQ(whyWaits(rig, Rig::makeJob("small", 1)), "reserved");
}

// Guards against workers that seem to have room, although they get no starts.
TEST(Waiting, workersWithoutStartsAreCountedByReason)
{
    Rig rig(1, 3);
    rig.run(1s);
    startDraining(rig, "w0");
    rig.nodes[0]->port.unreachableWorkers = {"w1"};
    rig.run(3s);
    fillWorkers(rig, 1);
    rig.submit(0, Rig::makeJob("waits", 1));
    const WaitDiagnosis it = awaitDiagnosis(rig, "waits");
    EXPECT_EQ(it.why(), "no_free_cpu") << "of those that get starts";
    EXPECT_EQ(it.turnedAwayText(), "leaving:1,silent:1,no_free_cpu:1");
}

// Guards against a quarantined worker that seems to have room.
TEST(Waiting, quarantinedWorkerIsNamed)
{
    Rig rig(1, 1);
    rig.scheduler.quarantineTime = 20s;
    rig.scheduler.maxQuarantineTime = 20s;
    rig.kill(0);
    rig.boot(0);
    rig.run(3s);
    rig.submit(0, makeEndlessJob(rig, "runs", 1));
    rig.run(500ms);
    rig.fleet.failingJobs = {"fails"};
    rig.submit(0, Rig::makeJob("fails", 2));
    rig.run(500ms);
    EXPECT_EQ(whyWaits(rig, Rig::makeJob("waits", 1)), "quarantined");
}

// Guards against a shard whose workers are all unusable that reports a lack of room.
TEST(Waiting, withoutUsableWorkersTheirOwnReasonIsReported)
{
    Rig rig(1, 4);
    rig.run(1s);
    startDraining(rig, "w3");
    rig.nodes[0]->port.unreachableWorkers = {"w0", "w1", "w2"};
    rig.run(3s);
    rig.submit(0, Rig::makeJob("waits", 1));
    const WaitDiagnosis it = awaitDiagnosis(rig, "waits");
    EXPECT_EQ(it.reason, WaitReason::NoWorker);
    EXPECT_EQ(it.why(), "silent");
    EXPECT_EQ(it.turnedAwayText(), "leaving:1,silent:3");
}

// Guards against counts that grow with each worker that was ever replaced.
TEST(Waiting, workersThatHaveLeftAreNotCounted)
{
    Rig rig(1, 2);
    rig.run(1s);
    for (const WorkerId id : {"w0", "w1"}) {
        rig.fleet.workers[id].isReachable = false;
        ++rig.backend.revision;
        rig.backend.remove("workers/" + id);
    }
    rig.run(1s);
    rig.submit(0, Rig::makeJob("waits", 1));
    const WaitDiagnosis it = awaitDiagnosis(rig, "waits");
    EXPECT_EQ(it.why(), "no_worker");
    EXPECT_EQ(it.turnedAwayText(), "");
}

// Guards against an evacuation that looks like a lack of room.
TEST(Waiting, evacuatedDomainIsNamed)
{
    Rig rig(1, 2);
    rig.evacuation.startBound = 5s;
    rig.kill(0);
    rig.boot(0);
    rig.run(3s);
    rig.backend.write("operator/evacuate/d0", "{}");
    rig.run(1s);
    EXPECT_EQ(whyWaits(rig, Rig::makeJob("waits", 1)), "evacuated");
}

// Guards against gangs that wait beside free workers, none of which turns away a single member.
TEST(Waiting, gangThatFitsOnlyInPartIsNamed)
{
    Rig rig(1, 1);
    rig.run(1s);
    WorkflowSpec gang = Rig::makeJob("gang", TasksPerWorker + 1);
    gang.steps[0].isGang = true;
    EXPECT_EQ(whyWaits(rig, gang), "gang");
}

// Guards against waits beside free workers: "no room" would be wrong, and nothing would point to the order of placement.
TEST(Waiting, taskThatHasRoomWaitsForTheOrder)
{
    Rig rig(1, 2);
    rig.scheduler.placementInterval = 20s;
    rig.kill(0);
    rig.boot(0);
    rig.run(3s);
    rig.submit(0, Rig::makeJob("first", 1));
    rig.run(500ms);
    rig.submit(0, Rig::makeJob("waits", 1));
    const WaitDiagnosis it = awaitDiagnosis(rig, "waits");
    EXPECT_EQ(it.why(), "order");
    EXPECT_EQ(it.turnedAway.front(), 2U);
}

// Guards against LOST: an old job was passed over by newer ones for as long as these came, and nothing told this from a
// lack of room.
TEST(Waiting, startsOfLaterJobsAndTheRankAreReported)
{
    Rig rig(1, 1);
    rig.decoder.catalog.queues.front().slackMs = 60'000; // all jobs can still end in time: those in progress go first
    rig.run(1s);
    rig.submit(0, makeEndlessJob(rig, "fills", TasksPerWorker - 1)); // one core stays free
    rig.run(500ms);
    WorkflowSpec waits = Rig::makeJob("waits", 1);
    waits.steps[0].need.cpuMillis = 2000;
    rig.submit(0, waits);
    rig.run(100ms);
    rig.submit(0, Rig::makeJob("later", 20));
    const WaitDiagnosis it = awaitDiagnosis(rig, "waits");
    EXPECT_EQ(it.why(), "no_free_cpu");
    EXPECT_EQ(it.rank, 2U) << "two jobs have started already";
    EXPECT_GT(it.overtaking, 0U);
}

// Guards against a wait after a takeover that looks like a lack of room.
TEST(Waiting, unreadWorkersAreNamed)
{
    Rig rig(2, 2);
    rig.run(1s);
    const int former = rig.leader();
    const int successor = 1 - former;
    rig.submit(former, makeEndlessJob(rig, "waits", 2 * TasksPerWorker));
    rig.run(500ms);
    rig.nodes[static_cast<std::size_t>(successor)]->port.unreachableWorkers = {"w0"};
    rig.kill(former);
    rig.run(2500ms);
    ASSERT_EQ(rig.leader(), successor);
    EXPECT_EQ(awaitDiagnosis(rig, "waits", 3s, successor).why(), "unread_workers");
}

// Guards against waits during an outage of the store that look like a lack of room.
TEST(Waiting, leaderWithoutAuthorityIsNamed)
{
    Rig rig(1, 1);
    rig.run(1s);
    fillWorkers(rig, 1);
    rig.submit(0, Rig::makeJob("waits", 1));
    rig.run(500ms);
    rig.nodes[0]->store.isSilent = true;
    rig.run(20s);
    ASSERT_EQ(rig.nodes[0]->node->authority(0, rig.clock.now()), Authority::None);
    ASSERT_FALSE(rig.nodes[0]->node->schedulers().empty());
    EXPECT_EQ(awaitDiagnosis(rig, "waits", 31s).why(), "no_authority");
}

// Guards against unexplained waits of a job that is suspected of crashing its workers.
TEST(Waiting, suspectedTasksAndTheirSiblingsAreNamed)
{
    Rig rig(1, 1);
    const auto onReturn = rig.fleet.onReturn;
    rig.fleet.onReturn = [&rig, &onReturn](const WorkerId &former, const WorkerId &id) {
        rig.fleet.workers[id].condition = WorkerCondition::Draining; // so that the next trial has to wait
        rig.fleet.workers[id].leavesInMs = 600'000;
        onReturn(former, id);
    };
    rig.scheduler.crashes.machineMemory = 600s;
    rig.kill(0);
    rig.boot(0);
    rig.addWorker("crashes by itself"); // so that one crash in a trial does not convict
    rig.run(4s);
    rig.fleet.crashBehaviour.keepsId = true;
    rig.fleet.crash("crashes by itself");
    rig.run(6s);
    rig.fleet.crashBehaviour.keepsId = false;
    rig.fleet.deadlyTasks.insert({"deadly", 0, 0, 0});
    WorkflowSpec spec = Rig::makeJob("deadly", 1, 2);
    spec.steps[1].after.clear();
    spec.steps[1].need.cpuMillis = 100'000;
    rig.submit(0, spec);
    const auto whyStepWaits = [&rig](std::uint32_t step) {
        for (int i = 0; i < 40; ++i) {
            rig.run(1s);
            for (const WaitDiagnosis &it : waitingTasks(rig).diagnoses) {
                if (it.step == step) {
                    return std::string(it.why());
                }
            }
        }
        return std::string();
    };
    rig.run(15s);
    EXPECT_EQ(whyStepWaits(0), "trial");
    rig.addWorker("fresh");
    rig.run(15s);
    EXPECT_EQ(whyStepWaits(1), "held_by_suspect");
}

// Guards against reports on steps that are not due yet, or that run.
TEST(Waiting, runningAndLaterStepsAreNotReported)
{
    Rig rig(1, 1);
    rig.run(1s);
    WorkflowSpec spec = makeEndlessJob(rig, "runs", 2);
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].after = {0};
    rig.submit(0, spec);
    EXPECT_EQ(awaitDiagnosis(rig, "runs").reason, WaitReason::None);
    EXPECT_TRUE(waitingTasks(rig).queues.empty());
}

// ---------------------------------------------------------------------------------------------------------------------
// Elections, volume, metrics
// ---------------------------------------------------------------------------------------------------------------------

// Guards against LOST: the wait of a job began anew with each leader, so that none saw it wait for long.
TEST(Waiting, ageAndWaitSurviveElections)
{
    Rig rig(2, 1);
    rig.run(1s);
    const int former = rig.leader();
    rig.submit(former, makeEndlessJob(rig, "fills", TasksPerWorker));
    rig.run(500ms);
    rig.submit(former, Rig::makeJob("waits", 1));
    rig.run(10s);
    rig.kill(former);
    rig.run(3s);
    const int successor = rig.leader();
    ASSERT_EQ(successor, 1 - former);
    const WaitDiagnosis it = awaitDiagnosis(rig, "waits", 31s, successor);
    EXPECT_GE(it.age, 13s);
    EXPECT_GE(it.waited, 13s) << "none of its tasks has ever run";
    EXPECT_GE(waitingTasks(rig, successor).queues.at("queue").oldest, 13s);
}

// Guards against an alarm for a service that has run for long when it waits for the first moment after an election.
TEST(Waiting, tasksThatRanUnderAFormerLeaderDoNotWaitSinceTheirAcceptance)
{
    Rig rig(2, 2);
    rig.run(1s);
    const int former = rig.leader();
    const int successor = 1 - former;
    rig.submit(former, makeLongRunningJob(rig, "service", TasksPerWorker));
    rig.run(10s);
    rig.nodes[static_cast<std::size_t>(successor)]->port.unreachableWorkers = {"w0", "w1"};
    rig.kill(former);
    rig.run(2500ms);
    ASSERT_EQ(rig.leader(), successor);
    const WaitDiagnosis it = awaitDiagnosis(rig, "service", 4s, successor);
    EXPECT_GE(it.age, 12s);
    EXPECT_LT(it.waited, 5s);
}

// Guards against a backlog that floods the log, or in which the same few jobs are reported again and again.
TEST(Waiting, linesOfALargeBacklogAreFewAndReachAllJobsInTurn)
{
    constexpr int Jobs = 400;
    CapturedLog log;
    Rig rig(1, 1);
    rig.run(1s);
    rig.submit(0, makeEndlessJob(rig, "fills", TasksPerWorker));
    rig.run(500ms);
    for (int i = 0; i < Jobs; ++i) {
        rig.submit(0, Rig::makeJob("job" + std::to_string(i), 3));
    }
    rig.run(30s);
    const std::vector<std::string> lines = log.takeLines("tasks_wait");
    EXPECT_LE(lines.size(), 4U * 31);
    std::set<std::string> jobs;
    for (const std::string &it : lines) {
        jobs.insert(it.substr(it.find(" job="), it.find(" step=") - it.find(" job=")));
    }
    EXPECT_GE(jobs.size(), 60U);
    ASSERT_FALSE(lines.empty());
    for (const std::string field : {" step=0",
                                    " task=0",
                                    " tasks=3",
                                    " waited_ms=",
                                    " age_ms=",
                                    " queue=queue",
                                    " epoch=1",
                                    " why=no_free_cpu",
                                    " rank=",
                                    " overtaking=0",
                                    " with_room=0",
                                    " turned_away=no_free_cpu:1",
                                    " unread=0"}) {
        EXPECT_NE(lines.front().find(field), std::string::npos) << field << " in " << lines.front();
    }
    EXPECT_EQ(waitingTasks(rig).queues.at("queue").tasks, 3U * Jobs) << "counted, though few are diagnosed";
}

// Guards against a backlog of short work that keeps a service that waits out of the log.
TEST(Waiting, longRunningStepsAreReportedBesideALargeBacklog)
{
    Rig rig(1, 1);
    rig.run(1s);
    fillWorkers(rig, 1);
    for (int i = 0; i < 200; ++i) {
        rig.submit(0, Rig::makeJob("job" + std::to_string(i), 1));
    }
    rig.run(5s);
    rig.submit(0, makeLongRunningJob(rig, "service", 1));
    EXPECT_EQ(awaitDiagnosis(rig, "service", 4s).why(), "no_free_cpu");
}

// Guards against an alarm that stays on, as the gauge of a queue keeps the age of a task that runs or was cancelled.
TEST(Waiting, gaugesFollowTheOldestWaitAndReturnToZero)
{
    const std::string oldest = "quetzalrock_oldest_wait_seconds{queue=\"queue\"}";
    const std::string tasks = "quetzalrock_waiting_tasks{queue=\"queue\"}";
    const std::string times = "quetzalrock_oldest_wait_at_times_seconds_";
    const std::string diagnosed = "quetzalrock_diagnosed_waiting_tasks{why=\"no_free_cpu\"}";
    const std::string turnedAway = "quetzalrock_turned_away_wait_seconds{why=\"no_free_cpu\"}";
    Rig rig(1, 1);
    NodeMetrics metrics;
    const auto update = [&rig, &metrics] {
        rig.run(1s);
        metrics.update(*rig.nodes[0]->node, rig.clock.now(), 0);
    };
    rig.run(1s);
    fillWorkers(rig, 1);
    update();
    EXPECT_EQ(metric(metrics, oldest), -1);
    rig.submit(0, Rig::makeJob("waits", 2));
    double mostDiagnosed = 0;
    for (int i = 0; i < 8; ++i) {
        update();
        mostDiagnosed = std::max(mostDiagnosed, metric(metrics, diagnosed));
    }
    EXPECT_NEAR(metric(metrics, oldest), 8, 1);
    EXPECT_EQ(metric(metrics, tasks), 2);
    EXPECT_EQ(mostDiagnosed, 2);
    EXPECT_NEAR(metric(metrics, turnedAway), 8, 1) << "also in checks that do not diagnose the step";
    rig.cancel(0, "fills");
    update();
    update();
    update();
    EXPECT_EQ(metric(metrics, oldest), 0);
    EXPECT_EQ(metric(metrics, tasks), 0);
    EXPECT_EQ(metric(metrics, diagnosed), 0);
    EXPECT_EQ(metric(metrics, turnedAway), 0);
    EXPECT_GE(metric(metrics, times + "count{queue=\"queue\"}"), 10);
    EXPECT_GE(metric(metrics, times + "bucket{queue=\"queue\",le=\"1\"}"), 2);
}

} // namespace QuetzalRock::Workflow
