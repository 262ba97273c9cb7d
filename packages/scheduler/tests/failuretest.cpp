#include "fixture.h"

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

struct FailureTest : public SchedulerTest
{
    AttemptId attempt(JobId job, std::uint32_t number) const
    {
        return {{job, 0}, number};
    }
};

} // namespace

TEST_F(FailureTest, barsAssignedAttemptsThatWereNeverStarted)
{
    const JobId job = submit(batchJob("a", "run 20", 1));
    owner->log.crashAfterAppend = true;
    std::future<JobId> answer = owner->scheduler.submit(batchJob("b"));
    clock.advance(100ms);
    EXPECT_THROW(owner->scheduler.step(clock.now()), FaultyLog::ProcessCrash); // job "b" is durable
    replaceOwner();
    owner->log.crashAfterAppend = true;
    clock.advance(100ms);
    EXPECT_THROW(owner->scheduler.step(clock.now()), FaultyLog::ProcessCrash); // "b" is assigned, not started
    replaceOwner();
    runFor(5s);
    const JobId lost = await(owner->scheduler.find("coop", "b"));
    EXPECT_EQ(workers.startCount(attempt(lost, 1)), 0);
    EXPECT_EQ(workers.startCount(attempt(lost, 2)), 1);
    EXPECT_EQ(workers.startCount(attempt(job, 1)), 1);
    EXPECT_EQ(owner->scheduler.fleet().counters().barredStarts, 1U);
}

TEST_F(FailureTest, commandsOfResumedStaleOwnerHaveNoEffect)
{
    const JobId job = submit(serviceJob("booking"));
    runFor(2s);
    replaceOwner();
    runFor(1min);
    std::future<JobId> late = pausedOwner->scheduler.submit(batchJob("late"));
    pausedOwner->agent.redeliverStarts();
    EXPECT_EQ(pausedOwner->scheduler.step(clock.now()), StepOutcome::SteppedDown);
    EXPECT_THROW(late.get(), NotRun);
    runFor(1min);
    EXPECT_EQ(taskStatus(job).attempt, 1U);
    EXPECT_EQ(workers.startCount(attempt(job, 1)), 1);
    EXPECT_THROW(await(owner->scheduler.find("coop", "late")), NotFound);
}

TEST_F(FailureTest, staleOwnerDoesNotMakeWorkersForgetAttemptsOfItsSuccessor)
{
    replaceOwner();
    const JobId job = submit(batchJob("a", "run 1"));
    std::swap(owner, pausedOwner); // the successor also pauses, before it reads the report with the end
    for (int i = 0; i < 5; ++i) {
        runFor(20s, 20s);
    }
    std::swap(owner, pausedOwner);
    runFor(10s);
    EXPECT_EQ(jobPhase(job), JobPhase::Succeeded);
    EXPECT_EQ(taskStatus(submit(batchJob("b"))).attempt, 1U);
    EXPECT_EQ(workers.startCount(attempt(job, 2)), 0);
}

TEST_F(FailureTest, placesNothingOnWorkerThatHasNotReported)
{
    submit(batchJob("a", "serve"));
    workers.setFaults("w1", {true, false, false});
    replaceOwner();
    const JobId job = submit(batchJob("b"));
    runFor(1s);
    EXPECT_EQ(taskStatus(job).worker, "w2");
}

TEST_F(FailureTest, duplicateAndDelayedStartsHaveNoEffect)
{
    const JobId job = submit(batchJob("a", "run 1"));
    for (int i = 0; i < 60; ++i) {
        runFor(500ms);
        owner->agent.redeliverStarts();
    }
    EXPECT_EQ(jobPhase(job), JobPhase::Succeeded);
    EXPECT_EQ(workers.startCount(attempt(job, 1)), 1);
    EXPECT_TRUE(workers.report("w1").attempts.size() <= 1)
        << "only an attempt that a delayed start can still reach is listed";
}

TEST_F(FailureTest, lostWorkerResponsesCauseNoSecondStart)
{
    workers.setFaults("w1", {false, true, false});
    workers.setFaults("w2", {false, true, false});
    const JobId job = submit(batchJob("a", "run 40"));
    runFor(1min);
    EXPECT_EQ(jobPhase(job), JobPhase::Succeeded);
    EXPECT_EQ(workers.startCount(attempt(job, 1)), 1);
}

TEST_F(FailureTest, lostStartIsBarredAndReassigned)
{
    owner->agent.losesCalls = true;
    const JobId job = submit(batchJob("a"));
    runFor(15s);
    owner->agent.losesCalls = false;
    runFor(5s);
    EXPECT_EQ(workers.startCount(attempt(job, 1)), 0);
    EXPECT_EQ(workers.startCount(attempt(job, 2)), 1);
    EXPECT_EQ(workers.maxConcurrentAttempts({job, 0}), 1);
}

TEST_F(FailureTest, taskOnUnreachableWorkerIsNotRestarted)
{
    const JobId job = submit(batchJob("a", "run 100000"));
    runFor(2s);
    workers.setFaults("w1", {true, false, false});
    runFor(1h, 1s);
    const TaskStatus waiting = taskStatus(job);
    EXPECT_EQ(waiting.phase, TaskPhase::Unreachable);
    EXPECT_EQ(waiting.attempt, 1U);
    EXPECT_NE(waiting.reason.find("does not answer"), std::string::npos);
    EXPECT_EQ(owner->scheduler.fleet().workers().at("w1").reserved.cpuMillis, 8000);
    workers.setFaults("w1", {});
    runFor(15s);
    EXPECT_EQ(taskStatus(job).attempt, 2U);
    EXPECT_EQ(workers.maxConcurrentAttempts({job, 0}), 1);
}

TEST_F(FailureTest, taskOnGoneVmRestartsAfterLeaseExpiry)
{
    const JobId job = submit(batchJob("a"));
    runFor(2s);
    workers.setVmState("w1", VmState::Gone);
    runFor(20s);
    EXPECT_EQ(taskStatus(job).attempt, 1U);
    EXPECT_EQ(taskStatus(job).phase, TaskPhase::Unreachable);
    runFor(20s);
    EXPECT_EQ(taskStatus(job).attempt, 2U);
    EXPECT_EQ(taskStatus(job).worker, "w2");
    EXPECT_EQ(owner->scheduler.state().endedAttempts.back().cause, EndCause::VmGone);
}

TEST_F(FailureTest, vmMissingFromListCountsAsGoneAfterTimeout)
{
    const JobId job = submit(batchJob("a", "serve"));
    runFor(2s);
    EmbeddedWorkers others(clock, 5s);
    others.addVm({"w2", VmRole::Worker, VmState::Live, "baltic-north", "muuga", "r1", "", {16000, 64000, 0}});
    const auto next = std::make_unique<Owner>(clock, store, others, settings);
    next->scheduler.takeOver();
    for (int i = 0; i < 700; ++i) {
        clock.advance(1s);
        next->scheduler.step(clock.now());
        const std::uint32_t number = next->scheduler.state().findTask({job, 0})->lastAttempt;
        EXPECT_EQ(number, i < 600 ? 1U : number);
    }
    EXPECT_EQ(next->scheduler.state().findTask({job, 0})->worker, "w2");
}

TEST_F(FailureTest, leavingVmGetsNoStartsAndItsBatchTasksMove)
{
    const JobId job = submit(batchJob("a", "run 20"));
    runFor(10s);
    workers.setVmState("w1", VmState::Leaving);
    runFor(2s);
    EXPECT_EQ(taskStatus(job).worker, "w2");
    EXPECT_EQ(owner->scheduler.state().findTask({job, 0})->checkpoint.substr(0, 3), "0.5");
    const JobId next = submit(batchJob("b"));
    EXPECT_EQ(taskStatus(next).worker, "w2");
    runFor(12s);
    EXPECT_EQ(jobPhase(job), JobPhase::Succeeded);
}

TEST_F(FailureTest, serviceOnLeavingVmMovesAfterDrainDelay)
{
    const JobId service = submit(serviceJob("booking"));
    runFor(2s);
    workers.setVmState("w1", VmState::Leaving);
    runFor(5s);
    EXPECT_EQ(taskStatus(service).worker, "w1");
    runFor(8s);
    EXPECT_EQ(taskStatus(service).worker, "w2");
    EXPECT_EQ(workers.maxConcurrentAttempts({service, 0}), 1);
}

TEST_F(FailureTest, evictedTaskResumesOnceFromCheckpoint)
{
    const JobId job = submit(batchJob("a", "run 40"));
    runFor(10s);
    owner->engine.tasksToEvict = {{job, 0}};
    runFor(2s);
    EXPECT_EQ(taskStatus(job).attempt, 2U);
    EXPECT_EQ(owner->agent.sentStarts.back().second.checkpoint.substr(0, 3), "0.2");
    replaceOwner();
    runFor(40s);
    EXPECT_EQ(jobPhase(job), JobPhase::Succeeded);
    EXPECT_EQ(workers.startCount(attempt(job, 2)), 1);
    EXPECT_EQ(workers.startCount(attempt(job, 3)), 0);
}

TEST_F(FailureTest, stopsOrphanAttempts)
{
    const AttemptId orphan{{99, 0}, 1};
    const WorkerTime late(std::chrono::hours(100));
    workers.start("w1", {orphan, 0, late, WorkloadKind::Batch, "x", {1000, 1, 0}, "serve", "", 1h});
    runFor(6s);
    for (const AttemptReport &it : workers.report("w1").attempts) {
        EXPECT_EQ(it.state, AttemptState::Stopped);
    }
    EXPECT_EQ(owner->scheduler.fleet().counters().orphanAttempts, 1U);
}

TEST_F(FailureTest, rejectsPlacementBeyondWorkerCapacity)
{
    owner->engine.ignoresCapacity = true;
    submit(batchJob("a", "serve", 5));
    runFor(5s);
    EXPECT_EQ(owner->scheduler.fleet().workers().at("w1").reserved.cpuMillis, 16000);
    EXPECT_EQ(workers.report("w1").attempts.size(), 2U);
    EXPECT_GT(owner->scheduler.counters().overcommitsRefused, 0U);
}

TEST_F(FailureTest, rejectsPlacementOnWorkerThatIsNotReady)
{
    owner->engine.ignoresVmState = true;
    workers.setVmState("w1", VmState::Leaving);
    runFor(2s);
    const JobId job = submit(batchJob("a", "serve"));
    runFor(5s);
    EXPECT_EQ(workers.startCount(attempt(job, 1)), 0) << "w1 is leaving, although the engine chose it";
    workers.setFaults("w1", {true, false, false});
    runFor(10s);
    workers.setVmState("w1", VmState::Live);
    runFor(20s);
    EXPECT_EQ(owner->scheduler.state().findTask({job, 0})->lastAttempt, 0U);
}

TEST_F(FailureTest, failsJobAfterMaxFailuresPerTask)
{
    const JobId job = submit(batchJob("a", "fail"));
    runFor(2min);
    EXPECT_EQ(jobPhase(job), JobPhase::Failed);
    EXPECT_EQ(workers.startCount(attempt(job, settings.maxFailuresPerTask)), 1);
    EXPECT_EQ(workers.startCount(attempt(job, settings.maxFailuresPerTask + 1)), 0);
}

TEST_F(FailureTest, newOwnerStopsAttemptsOfCancelledJobs)
{
    const JobId job = submit(batchJob("a", "serve"));
    runFor(2s);
    std::future<void> answer = owner->scheduler.cancel(job);
    owner->log.crashAfterAppend = true;
    clock.advance(100ms);
    EXPECT_THROW(owner->scheduler.step(clock.now()), FaultyLog::ProcessCrash);
    replaceOwner();
    runFor(5s);
    EXPECT_EQ(jobPhase(job), JobPhase::Cancelled);
    EXPECT_TRUE(owner->scheduler.state().jobs.empty());
}

TEST_F(FailureTest, newOwnerRestoresStateFromSnapshotAndRecords)
{
    owner->log.memory.snapshotEvery = 7;
    for (int i = 0; i < 12; ++i) {
        submit(batchJob("j" + std::to_string(i), i % 3 == 0 ? "serve" : "run 2"));
        runFor(3s);
    }
    EXPECT_GT(owner->scheduler.counters().snapshots, 1U);
    const std::string before = owner->scheduler.state().encode();
    replaceOwner();
    EXPECT_EQ(owner->scheduler.state().encode(), before);
}

TEST_F(FailureTest, olderProcessDoesNotChangeNewerLog)
{
    store.records.push_back("\x93\x63\x01\x90"); // type 99
    const std::unique_ptr<Owner> older = makeOwner();
    EXPECT_THROW(older->scheduler.takeOver(), IncompatibleRecord);
    EXPECT_EQ(older->scheduler.step(clock.now()), StepOutcome::SteppedDown);
    EXPECT_THROW(older->scheduler.submit(batchJob("a")).get(), NotRun);
    EXPECT_EQ(store.records.size(), 1U);
}
