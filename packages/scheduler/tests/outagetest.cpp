// One test for each row of the table in docs/operating/outages.md.
#include "fixture.h"

#include <journal/journal.h>
#include <platform/embeddedkeyvalue.h>
#include <platform/faultykeyvalue.h>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

struct OutageTest : public SchedulerTest
{
    ShardStatus status()
    {
        return await(owner->scheduler.status());
    }
};

} // namespace

TEST_F(OutageTest, rejectsSubmissionsAndCancellationsWithNotRun)
{
    const JobId job = submit(serviceJob("booking"));
    owner->log.memory.down = true;
    std::future<JobId> refused = owner->scheduler.submit(batchJob("a"));
    std::future<void> cancel = owner->scheduler.cancel(job);
    runFor(200ms);
    try {
        refused.get();
        FAIL() << "accepted while the platform is unavailable";
    } catch (const NotRun &it) {
        EXPECT_GT(it.retryAfter(), 0s);
    }
    EXPECT_THROW(cancel.get(), NotRun);
    EXPECT_THROW(submit(batchJob("b")), NotRun);
    owner->log.memory.down = false;
    runFor(30s);
    EXPECT_THROW(await(owner->scheduler.find("coop", "a")), NotFound);
    EXPECT_THROW(await(owner->scheduler.find("coop", "b")), NotFound);
    EXPECT_EQ(jobPhase(job), JobPhase::Active);
    EXPECT_GT(submit(batchJob("a")), job);
}

TEST_F(OutageTest, keepsTasksRunningAndAnswersStatusRequests)
{
    const JobId job = submit(serviceJob("booking"));
    runFor(2s);
    owner->log.memory.down = true;
    EXPECT_THROW(submit(batchJob("a")), NotRun);
    runFor(10min);
    EXPECT_TRUE(status().platformUnavailable);
    EXPECT_EQ(taskStatus(job).phase, TaskPhase::Running);
    owner->log.memory.down = false;
    runFor(10s);
    EXPECT_EQ(taskStatus(job).attempt, 1U);
    EXPECT_EQ(workers.startCount({{job, 0}, 1}), 1);
}

TEST_F(OutageTest, throttlingContinues)
{
    const JobId job = submit(batchJob("a", "run 1000"));
    runFor(2s);
    owner->log.memory.down = true;
    owner->engine.tasksToThrottle = {{{job, 0}, 250}};
    EXPECT_THROW(submit(batchJob("b")), NotRun);
    runFor(1s);
    EXPECT_EQ(workers.report("w1").attempts.at(0).state, AttemptState::Throttled);
}

TEST_F(OutageTest, keepsEndsUntilTheyAreDurable)
{
    const JobId job = submit(batchJob("a", "run 10"));
    owner->log.memory.down = true;
    runFor(20s);
    EXPECT_EQ(status().unwrittenEnds, 1U);
    EXPECT_EQ(taskStatus(job).phase, TaskPhase::Ending);
    workers.setVmState("w1", VmState::Gone); // the worker can no longer report the end
    runFor(2min);
    owner->log.memory.down = false;
    runFor(10s);
    EXPECT_EQ(jobPhase(job), JobPhase::Succeeded);
    EXPECT_EQ(workers.startCount({{job, 0}, 1}), 1);
    EXPECT_EQ(owner->scheduler.state().endedAttempts.size(), 1U);
}

TEST_F(OutageTest, sendsStartsOnlyForDurableAssignments)
{
    std::future<JobId> answer = owner->scheduler.submit(batchJob("a", "run 100", 3));
    clock.advance(100ms);
    owner->scheduler.step(clock.now()); // the job is durable
    const JobId job = answer.get();
    owner->agent.losesCalls = true;
    clock.advance(100ms);
    owner->scheduler.step(clock.now()); // the assignments are durable, the starts are lost
    owner->log.memory.down = true;
    owner->agent.losesCalls = false;
    owner->engine.tasksToEvict = {{job, 0}};
    runFor(8s);
    EXPECT_EQ(workers.startCount({{job, 1}, 1}), 1);
    EXPECT_EQ(workers.startCount({{job, 2}, 1}), 1);
    EXPECT_EQ(workers.startCount({{job, 0}, 2}), 0) << "must not start a new attempt without a durable assignment";
}

TEST_F(OutageTest, taskOnLeavingVmIsCheckpointedAndResumesAfterOutage)
{
    const JobId job = submit(batchJob("a", "run 100"));
    runFor(10s);
    owner->log.memory.down = true;
    workers.setVmState("w1", VmState::Leaving);
    runFor(10s);
    EXPECT_EQ(taskStatus(job).phase, TaskPhase::Ending);
    workers.setVmState("w1", VmState::Gone);
    runFor(1min);
    EXPECT_EQ(workers.startCount({{job, 0}, 2}), 0);
    owner->log.memory.down = false;
    runFor(10s);
    EXPECT_EQ(workers.startCount({{job, 0}, 2}), 1);
    EXPECT_EQ(owner->agent.sentStarts.back().second.checkpoint.substr(0, 3), "0.1");
}

TEST_F(OutageTest, resolvesLostResponseBeforeCompletingRequest)
{
    owner->log.memory.loseWriteAnswers = 1;
    EXPECT_GT(submit(batchJob("written")), 0U);
    owner->log.memory.dropWrites = 1;
    EXPECT_THROW(submit(batchJob("lost")), NotRun);
    runFor(1s);
    EXPECT_THROW(await(owner->scheduler.find("coop", "lost")), NotFound);
}

TEST_F(OutageTest, reportsOutcomeUnknownAndAllowsRetry)
{
    owner->log.memory.loseWriteAnswers = 1;
    owner->log.resolvesToFail = 1000;
    std::future<JobId> answer = owner->scheduler.submit(batchJob("a"));
    runFor(2s);
    EXPECT_FALSE(isReady(answer));
    EXPECT_THROW(submit(batchJob("b")), NotRun) << "nothing is written until the outcome is known";
    runFor(10s);
    ASSERT_TRUE(isReady(answer));
    EXPECT_THROW(answer.get(), OutcomeUnknown);
    owner->log.resolvesToFail = 0;
    runFor(30s);
    const JobId job = await(owner->scheduler.find("coop", "a"));
    EXPECT_EQ(submit(batchJob("a")), job);
    EXPECT_EQ(jobPhase(job), JobPhase::Succeeded);
}

TEST_F(OutageTest, backlogIsWrittenWithinWriteRateLimit)
{
    for (int i = 3; i <= 30; ++i) {
        addWorker("w" + std::to_string(i));
    }
    settings.maxRecordsPerAppend = 10;
    owner = makeOwner();
    owner->scheduler.takeOver();
    const JobId job = submit(batchJob("a", "run 30", 60));
    runFor(5s);
    owner->log.memory.down = true;
    runFor(5min);
    EXPECT_EQ(status().unwrittenEnds, 60U);
    owner->log.memory.down = false;
    const std::size_t before = store.appends;
    while (store.appends == before) {
        runFor(10ms, 10ms);
    }
    const TimePoint began = clock.now();
    while (jobPhase(job) == JobPhase::Active) {
        runFor(10ms, 10ms);
    }
    EXPECT_GE(clock.now() - began, settings.appendEvery * 5);
    EXPECT_LE(store.appends - before, 7U)
        << "61 records: 60 ends of attempts and one of the job, at most 10 per append";
}

TEST_F(OutageTest, shardsRetryAtDifferentTimes)
{
    std::vector<std::unique_ptr<MemoryLogStore>> stores;
    std::vector<std::unique_ptr<Owner>> owners;
    std::map<std::size_t, TimePoint> firstWrites;
    for (settings.seed = 1; settings.seed <= 8; ++settings.seed) {
        stores.push_back(std::make_unique<MemoryLogStore>());
        owners.push_back(std::make_unique<Owner>(clock, *stores.back(), workers, settings));
        owners.back()->scheduler.takeOver();
        owners.back()->log.memory.down = true;
    }
    for (int i = 0; i < 2000; ++i) {
        for (std::size_t it = 0; it < owners.size(); ++it) {
            owners[it]->scheduler.setAllotment("coop", {1, 0, 0});
            owners[it]->scheduler.step(clock.now());
            owners[it]->log.memory.down = i < 1000;
            if (stores[it]->appends == 1) {
                firstWrites.try_emplace(it, clock.now());
            }
        }
        clock.advance(10ms);
    }
    std::set<TimePoint> returns;
    for (const auto &[it, time] : firstWrites) {
        returns.insert(time);
    }
    EXPECT_GE(returns.size(), 6U);
}

TEST_F(OutageTest, ownerWithoutVmListRenewsButPlacesNothing)
{
    const JobId job = submit(serviceJob("booking"));
    runFor(2s);
    const std::unique_ptr<Owner> next = makeOwner();
    next->agent.isVmListDown = true;
    next->scheduler.takeOver();
    std::future<JobId> answer = next->scheduler.submit(batchJob("a"));
    for (int i = 0; i < 120; ++i) {
        clock.advance(1s);
        next->scheduler.step(clock.now());
    }
    const JobId other = answer.get();
    EXPECT_EQ(workers.report("w1").attempts.at(0).state, AttemptState::Running);
    EXPECT_EQ(workers.startCount({{other, 0}, 1}), 0);
    next->agent.isVmListDown = false;
    for (int i = 0; i < 5; ++i) {
        clock.advance(1s);
        next->scheduler.step(clock.now());
    }
    EXPECT_EQ(workers.startCount({{other, 0}, 1}), 1);
    EXPECT_EQ(workers.startCount({{job, 0}, 1}), 1);
}

TEST_F(OutageTest, takeOverFailsWithoutPlatform)
{
    const std::unique_ptr<Owner> next = makeOwner();
    next->log.memory.down = true;
    EXPECT_THROW(next->scheduler.takeOver(), Unavailable);
    EXPECT_GT(submit(batchJob("a")), 0U) << "the current owner continues";
}

TEST_F(OutageTest, survivesWriteFaultsOfJournal)
{
    EmbeddedKeyValue service(clock);
    FaultyKeyValue faulty(service);
    JournalSettings ring;
    ring.name = "shard-7";
    ring.writer = "entry-1";
    ring.slots = 16;
    ring.chunkBytes = 100'000;
    Journal journal(faulty, ring);
    FirstFitEngine engine;
    ShardScheduler scheduler(settings, journal, engine, workers, workers, clock);
    scheduler.takeOver();
    std::vector<std::future<JobId>> answers;
    answers.reserve(100);
    for (int i = 0; i < 100; ++i) {
        answers.push_back(scheduler.submit(batchJob("j" + std::to_string(i), "run 1")));
        faulty.loseWriteAnswers = i % 7 == 0 ? 1 : 0;
        faulty.loseWrites = i % 11 == 0 ? 1 : 0;
        for (int j = 0; j < 10; ++j) {
            clock.advance(200ms);
            scheduler.step(clock.now());
        }
    }
    for (std::future<JobId> &it : answers) {
        const JobId job = it.get();
        EXPECT_EQ(workers.startCount({{job, 0}, 1}), 1);
    }
    ring.writer = "entry-2";
    Journal next(service, ring);
    FirstFitEngine nextEngine;
    ShardScheduler successor(settings, next, nextEngine, workers, workers, clock);
    successor.takeOver();
    EXPECT_EQ(successor.state().encode(), scheduler.state().encode());
    EXPECT_GT(scheduler.counters().snapshots, 1U);
}
