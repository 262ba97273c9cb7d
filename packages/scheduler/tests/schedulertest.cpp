#include "fixture.h"

using namespace QuetzalRock;
using namespace std::chrono_literals;

TEST_F(SchedulerTest, runsBatchJobToCompletion)
{
    const JobId job = submit(batchJob("a"));
    runFor(2s);
    EXPECT_EQ(taskStatus(job).phase, TaskPhase::Running);
    runFor(30s);
    EXPECT_EQ(await(owner->scheduler.describe(job)).phase, JobPhase::Succeeded);
    EXPECT_EQ(workers.startCount({{job, 0}, 1}), 1);
    EXPECT_EQ(job >> 48, 7U);
}

TEST_F(SchedulerTest, finishedJobKeepsEachTasksLastAttempt)
{
    const JobId job = submit(batchJob("a", "run 20", 2));
    runFor(2s);
    const std::vector<WorkerId> ranOn{taskStatus(job, 0).worker, taskStatus(job, 1).worker};
    runFor(30s);
    replaceOwner(); // the history is part of the state that the next owner reads
    const JobStatus status = await(owner->scheduler.describe(job));
    ASSERT_EQ(status.phase, JobPhase::Succeeded);
    ASSERT_EQ(status.tasks.size(), 2U);
    for (std::uint32_t i = 0; i < 2; ++i) {
        const TaskStatus &task = status.tasks[i];
        EXPECT_EQ(task.task, (TaskId{job, i}));
        EXPECT_EQ(task.phase, TaskPhase::Done);
        EXPECT_EQ(task.attempt, 1U);
        ASSERT_TRUE(task.lastEnd);
        EXPECT_EQ(task.lastEnd->worker, ranOn[i]);
        EXPECT_EQ(task.lastEnd->state, AttemptState::Finished);
        EXPECT_GT(task.lastEnd->endedAt, task.lastEnd->assignedAt);
    }
}

TEST_F(SchedulerTest, cancelledJobShowsWhichAttemptsWereStopped)
{
    const JobId job = submit(batchJob("a", "run 600", 5)); // four fit
    runFor(2s);
    std::future<void> cancelled = owner->scheduler.cancel(job);
    runFor(30s);
    cancelled.get();
    const JobStatus status = await(owner->scheduler.describe(job));
    ASSERT_EQ(status.phase, JobPhase::Cancelled);
    ASSERT_EQ(status.tasks.size(), 5U);
    std::size_t stopped = 0;
    for (const TaskStatus &it : status.tasks) {
        EXPECT_EQ(it.phase, TaskPhase::Ended);
        stopped += it.lastEnd && it.lastEnd->state == AttemptState::Stopped ? 1 : 0;
        EXPECT_EQ(it.reason.empty(), it.lastEnd.has_value());
    }
    EXPECT_EQ(stopped, 4U);
}

TEST_F(SchedulerTest, finishedJobIsShownWithoutAttemptsThatTheHistoryDropped)
{
    settings.history.endedAttempts = 1;
    replaceOwner();
    const JobId job = submit(batchJob("a", "run 20", 2));
    runFor(30s);
    const JobStatus status = await(owner->scheduler.describe(job));
    ASSERT_EQ(status.tasks.size(), 2U);
    EXPECT_NE(status.tasks[0].lastEnd.has_value(), status.tasks[1].lastEnd.has_value());
    for (const TaskStatus &it : status.tasks) {
        EXPECT_EQ(it.phase, TaskPhase::Done);
        EXPECT_EQ(it.reason.empty(), it.lastEnd.has_value());
    }
}

TEST_F(SchedulerTest, renewsLeasesOfServicesAndWatches)
{
    const JobId service = submit(serviceJob("booking"));
    JobSpec watch = batchJob("tides", "watch");
    watch.kind = WorkloadKind::Watch;
    const JobId watching = submit(watch);
    runFor(5min, 500ms);
    EXPECT_EQ(taskStatus(service).phase, TaskPhase::Running);
    EXPECT_EQ(taskStatus(service).attempt, 1U);
    EXPECT_EQ(taskStatus(watching).attempt, 1U);
}

TEST_F(SchedulerTest, submissionIsIdempotentByTenantAndName)
{
    std::future<JobId> first = owner->scheduler.submit(batchJob("a"));
    std::future<JobId> second = owner->scheduler.submit(batchJob("a"));
    std::future<JobId> other = owner->scheduler.submit(batchJob("a", "run 99"));
    runFor(200ms);
    const JobId job = first.get();
    EXPECT_EQ(second.get(), job);
    EXPECT_THROW(other.get(), Conflict);
    EXPECT_EQ(submit(batchJob("a")), job);
    runFor(40s);
    EXPECT_EQ(submit(batchJob("a")), job) << "also after the job has ended";
    EXPECT_THROW(submit(batchJob("a", "run 99")), Conflict);
}

TEST_F(SchedulerTest, rejectsInvalidJobSpecs)
{
    JobSpec spec = batchJob("a");
    spec.taskCount = 0;
    EXPECT_THROW(submit(spec), InvalidArgument);
    spec = batchJob("a");
    spec.resources.cpuMillis = -1;
    EXPECT_THROW(submit(spec), InvalidArgument);
    EXPECT_THROW(submit(batchJob("")), InvalidArgument);
    EXPECT_TRUE(store.records.empty());
}

TEST_F(SchedulerTest, cancelsManyJobsInOneBatch)
{
    std::vector<JobId> jobs;
    jobs.reserve(50);
    for (int i = 0; i < 50; ++i) {
        jobs.push_back(submit(batchJob("j" + std::to_string(i), "serve")));
    }
    runFor(2s);
    const std::size_t before = store.appends;
    std::vector<std::future<void>> answers;
    answers.reserve(jobs.size());
    for (const JobId it : jobs) {
        answers.push_back(owner->scheduler.cancel(it));
    }
    runFor(100ms);
    EXPECT_EQ(store.appends, before + 1);
    for (std::future<void> &it : answers) {
        it.get();
    }
    runFor(5s);
    EXPECT_TRUE(owner->scheduler.state().jobs.empty());
    EXPECT_EQ(owner->scheduler.fleet().workers().at("w1").reserved, Resources());
}

TEST_F(SchedulerTest, rejectsRequestsWithNotRunWhileNotOwner)
{
    const std::unique_ptr<Owner> next = makeOwner();
    EXPECT_THROW(next->scheduler.submit(batchJob("a")).get(), NotRun);
    next->scheduler.takeOver();
    std::future<JobId> answer = owner->scheduler.submit(batchJob("b"));
    clock.advance(1s);
    EXPECT_EQ(owner->scheduler.step(clock.now()), StepOutcome::SteppedDown);
    EXPECT_THROW(answer.get(), NotRun);
    EXPECT_THROW(owner->scheduler.submit(batchJob("c")).get(), NotRun);
    EXPECT_TRUE(store.records.empty());
}

TEST_F(SchedulerTest, makesNoStartDecisionsBetweenWrites)
{
    settings.decideEvery = settings.appendEvery + 10ms; // most decisions are due while no write is allowed
    replaceOwner();
    submit(batchJob("a", "run 1", 40));
    submit(batchJob("b", "run 2", 40));
    runFor(2min, 7ms);
    EXPECT_EQ(owner->scheduler.counters().abandonedStarts, 0U);
    EXPECT_TRUE(owner->scheduler.state().jobs.empty());
}

TEST_F(SchedulerTest, ignoresWorkersOfOtherFailureDomains)
{
    workers.addVm({"p1", VmRole::Worker, VmState::Live, "baltic-north", "paldiski", "r1", "", {64000, 64000, 0}});
    const WorkerTime now = workers.report("p1").workerClock;
    const AttemptId theirs{{99, 0}, 1};
    workers.start("p1", {theirs, 3, now + 1s, WorkloadKind::Service, "x", {1000, 10, 0}, "serve", "", 60s});
    const JobId job = submit(batchJob("more than fits here", "run 20", 6));
    runFor(5s);
    EXPECT_EQ(workers.report("p1").attempts.size(), 1U) << "no start on a worker of another domain";
    EXPECT_EQ(workers.report("p1").attempts.at(0).state, AttemptState::Running)
        << "an attempt of another domain must not be stopped as an orphan";
    EXPECT_EQ(taskStatus(job, 5).phase, TaskPhase::Pending);
    EXPECT_EQ(await(owner->scheduler.status()).workers.size(), 2U);
}
