#include <platform/embeddedkeyvalue.h>
#include <platform/embeddedworkers.h>
#include <platform/faultykeyvalue.h>
#include <platform/workercircuitbreaker.h>

#include <gtest/gtest.h>

#include <thread>

using namespace QuetzalRock;
using namespace std::chrono_literals;

TEST(EmbeddedKeyValue, swapsOnlyAtTheExpectedRevision)
{
    ManualClock clock;
    EmbeddedKeyValue store(clock);
    const CasResult first = store.compareAndSwap("a", 0, "1", 0);
    EXPECT_TRUE(first.swapped);
    EXPECT_FALSE(store.compareAndSwap("a", 0, "2", 0).swapped);
    EXPECT_TRUE(store.compareAndSwap("a", first.revision, "2", 0).swapped);
    EXPECT_EQ(store.get("a")->value, "2");
}

TEST(EmbeddedKeyValue, removesKeysWhenTheirLeaseExpires)
{
    ManualClock clock;
    EmbeddedKeyValue store(clock);
    const LeaseId lease = store.grantLease(5s);
    store.compareAndSwap("member/a", 0, "x", lease);
    const WatchResult before = store.watch("member/", 0, 0s);
    EXPECT_EQ(before.changed.size(), 1U);
    clock.advance(6s);
    EXPECT_FALSE(store.renewLease(lease));
    EXPECT_EQ(store.watch("member/", before.revision, 0s).removed, std::vector<std::string>{"member/a"});
}

TEST(FaultyKeyValue, losesTheResponseOfAnAppliedWrite)
{
    ManualClock clock;
    EmbeddedKeyValue store(clock);
    FaultyKeyValue faulty(store);
    faulty.loseWriteAnswers = 1;
    EXPECT_THROW(faulty.compareAndSwap("a", 0, "1", 0), OutcomeUnknown);
    EXPECT_EQ(faulty.get("a")->value, "1");
    faulty.down = true;
    EXPECT_THROW(faulty.get("a"), Unavailable);
}

TEST(FaultyKeyValue, blocksCallsWhileStalled)
{
    ManualClock clock;
    EmbeddedKeyValue store(clock);
    FaultyKeyValue faulty(store);
    faulty.setStalled(true);
    std::thread caller([&] { faulty.compareAndSwap("a", 0, "1", 0); });
    while (faulty.stalledCalls() == 0) {
        std::this_thread::yield();
    }
    EXPECT_EQ(store.get("a"), std::nullopt);
    faulty.setStalled(false);
    caller.join();
    EXPECT_EQ(store.get("a")->value, "1");
}

struct EmbeddedWorkersTest : public testing::Test
{
    void SetUp() override
    {
        workers.addVm({"w1", VmRole::Worker, VmState::Live, "r", "fd", "rack1", "", {32000, 125000, 0}});
    }
    StartCommand command(std::uint32_t number, const std::string &text, const std::string &checkpoint = {}) const
    {
        const auto now = std::chrono::duration_cast<WorkerTime>(clock.now().time_since_epoch());
        return {{{1, 0}, number}, 1, now + 1s, WorkloadKind::Batch, "manifest", {1000, 100, 0}, text, checkpoint, 10s};
    }
    ManualClock clock;
    EmbeddedWorkers workers{clock, 5s};
};

TEST_F(EmbeddedWorkersTest, resumesFromTheCheckpointOfTheStoppedAttempt)
{
    workers.start("w1", command(1, "run 8"));
    clock.advance(4s);
    workers.stop("w1", 1, {{1, 0}, 1}, StopMode::Checkpoint);
    const AttemptReport stopped = workers.report("w1").attempts.at(0);
    EXPECT_EQ(stopped.state, AttemptState::Stopped);
    workers.start("w1", command(2, "run 8", stopped.checkpoint));
    clock.advance(4s);
    EXPECT_EQ(workers.report("w1").attempts.at(1).state, AttemptState::Finished);
    EXPECT_EQ(workers.maxConcurrentAttempts({1, 0}), 1);
}

TEST_F(EmbeddedWorkersTest, barsAnAttemptThatWasStoppedBeforeItsStartArrived)
{
    workers.stop("w1", 1, {{1, 0}, 1}, StopMode::Kill);
    workers.start("w1", command(1, "run 8"));
    EXPECT_EQ(workers.report("w1").attempts.at(0).state, AttemptState::Barred);
    EXPECT_EQ(workers.startCount({{1, 0}, 1}), 0);
}

TEST_F(EmbeddedWorkersTest, stopsUnrenewedAttemptsAndIgnoresStaleEpochs)
{
    const StartCommand late = command(2, "run 50");
    workers.start("w1", command(1, "serve"));
    clock.advance(11s);
    EXPECT_EQ(workers.report("w1").attempts.at(0).state, AttemptState::Stopped);
    workers.renew("w1", 7, {}, 10s);
    workers.start("w1", late);
    EXPECT_EQ(workers.report("w1").attempts.size(), 1U);
}

TEST_F(EmbeddedWorkersTest, breakerSendsNothingToUnresponsiveWorkers)
{
    WorkerCircuitBreaker breaker(workers);
    breaker.start("w1", command(1, "serve"));
    workers.setFaults("w1", {true, false, false});
    EXPECT_THROW(breaker.report("w1"), Unavailable);
    EXPECT_EQ(breaker.unresponsiveCount(), 1U);
    breaker.probe();
    EXPECT_EQ(breaker.unresponsiveCount(), 1U);

    workers.setFaults("w1", {});
    EXPECT_THROW(breaker.stop("w1", 1, {{1, 0}, 1}, StopMode::Kill), Unavailable);
    EXPECT_EQ(workers.report("w1").attempts.at(0).state, AttemptState::Running)
        << "the rejected stop() must not be sent";
    breaker.probe();
    EXPECT_EQ(breaker.unresponsiveCount(), 0U);
    breaker.stop("w1", 1, {{1, 0}, 1}, StopMode::Kill);
    EXPECT_EQ(workers.report("w1").attempts.at(0).state, AttemptState::Stopped);
}

TEST_F(EmbeddedWorkersTest, breakerForgetsWorkersThatAreNoLongerCalled)
{
    WorkerCircuitBreaker breaker(workers);
    workers.setFaults("w1", {true, false, false});
    EXPECT_THROW(breaker.report("w1"), Unavailable);
    for (int n = 0; n < MaxProbesWithoutCalls; ++n) {
        breaker.probe();
    }
    EXPECT_THROW(breaker.report("w1"), Unavailable); // a call resets the count of probe rounds
    for (int n = 0; n < MaxProbesWithoutCalls; ++n) {
        breaker.probe();
    }
    EXPECT_EQ(breaker.unresponsiveCount(), 1U);
    breaker.probe();
    EXPECT_EQ(breaker.unresponsiveCount(), 0U);
}

TEST_F(EmbeddedWorkersTest, breakerOpensAfterALostResponse)
{
    WorkerCircuitBreaker breaker(workers);
    workers.setFaults("w1", {false, true, false});
    EXPECT_THROW(breaker.start("w1", command(1, "serve")), OutcomeUnknown);
    EXPECT_THROW(breaker.start("w1", command(2, "serve")), Unavailable);
    EXPECT_EQ(workers.startCount({{1, 0}, 2}), 0);
}

TEST_F(EmbeddedWorkersTest, vmListShowsStateChangesAfterItsLag)
{
    workers.setListLag(10s);
    workers.setVmState("w1", VmState::Gone);
    EXPECT_THROW(workers.report("w1"), Unavailable);
    EXPECT_EQ(workers.vms().at(0).state, VmState::Live);
    clock.advance(10s);
    EXPECT_EQ(workers.vms().at(0).state, VmState::Gone);
}
