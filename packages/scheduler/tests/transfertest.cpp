#include "fixture.h"

#include <random>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

/** Adds a second failure domain, and a transport between both that loses and repeats messages. */
struct TransferTest : public SchedulerTest
{
    void SetUp() override
    {
        SchedulerTest::SetUp();
        otherWorkers.addVm(
            {"p1", VmRole::Worker, VmState::Live, "baltic-north", "paldiski", "r1", "", {64000, 64000, 0}});
        otherSettings = settings;
        otherSettings.shard = 8;
        otherSettings.failureDomain = "paldiski";
        makeOther();
    }

    void makeOther()
    {
        other = std::make_unique<Owner>(clock, otherStore, otherWorkers, otherSettings);
        other->scheduler.takeOver();
    }

    void stepBoth()
    {
        clock.advance(100ms);
        owner->scheduler.step(clock.now());
        other->scheduler.step(clock.now());
    }

    /** One round of messages. Each is randomly lost or delivered again in a later round. */
    void exchange()
    {
        for (TransferOffer &it : await(owner->scheduler.pendingOffers())) {
            inFlight.push_back(std::move(it));
        }
        std::vector<TransferOffer> again;
        for (TransferOffer &it : inFlight) {
            if (isLost()) {
                continue;
            }
            const std::future<void> answer = other->scheduler.acceptOffer(it);
            stepBoth();
            if (isReady(answer) && !isLost()) {
                owner->scheduler.acknowledgeTransfer(it.id);
            }
            if (isLost()) {
                again.push_back(std::move(it));
            }
        }
        inFlight = std::move(again);
        stepBoth();
    }

    bool isLost()
    {
        return random() % 2 == 0;
    }

    EmbeddedWorkers otherWorkers{clock, 5s};
    MemoryLogStore otherStore;
    SchedulerSettings otherSettings;
    std::unique_ptr<Owner> other;
    std::vector<TransferOffer> inFlight;
    std::minstd_rand random{20261203};
};

} // namespace

TEST_F(TransferTest, jobArrivesOnceDespiteLostAndRepeatedMessages)
{
    workers.setVmState("w1", VmState::Leaving);
    workers.setVmState("w2", VmState::Leaving);
    runFor(2s);
    std::vector<JobId> jobs;
    for (int i = 0; i < 20; ++i) {
        jobs.push_back(submit(batchJob("j" + std::to_string(i), "run 1")));
        owner->scheduler.transferJob(jobs.back(), "paldiski");
        exchange();
        if (i == 10) {
            replaceOwner();
            makeOther();
        }
    }
    for (int i = 0; i < 60; ++i) {
        exchange();
    }
    EXPECT_TRUE(owner->scheduler.state().pendingTransfers.empty());
    owner->scheduler.transferJob(submit(batchJob("last")), "paldiski");
    for (int i = 0; i < 20; ++i) {
        exchange();
    }
    EXPECT_EQ(other->scheduler.state().acceptedTransfers.at(7).numbers.size(), 1U)
        << "acknowledged numbers are dropped";
    for (const JobId it : jobs) {
        EXPECT_EQ(otherWorkers.startCount({{it, 0}, 1}), 1);
        EXPECT_EQ(otherWorkers.startCount({{it, 0}, 2}), 0);
        EXPECT_EQ(jobPhase(it), JobPhase::Transferred);
    }
    EXPECT_EQ(submit(batchJob("j3", "run 1")), jobs[3]) << "resubmission is idempotent after the transfer";
}

TEST_F(TransferTest, attemptNumbersAndCheckpointsContinueInOtherDomain)
{
    const JobId job = submit(batchJob("a", "run 20"));
    runFor(10s);
    std::future<TransferId> early = owner->scheduler.transferJob(job, "paldiski");
    runFor(100ms);
    EXPECT_THROW(early.get(), Conflict) << "an attempt may be running";
    workers.setVmState("w2", VmState::Leaving);
    workers.setVmState("w1", VmState::Leaving);
    runFor(3s);
    std::future<TransferId> transfer = owner->scheduler.transferJob(job, "paldiski");
    runFor(100ms);
    EXPECT_EQ(transfer.get(), (TransferId{7, 1}));
    for (int i = 0; i < 20; ++i) {
        exchange();
    }
    EXPECT_EQ(other->scheduler.state().findTask({job, 0})->lastAttempt, 2U);
    EXPECT_EQ(otherWorkers.startCount({{job, 0}, 2}), 1);
    EXPECT_EQ(other->agent.sentStarts.back().second.checkpoint.substr(0, 3), "0.5");
}

TEST_F(TransferTest, allotmentIsNeverCountedInTwoDomains)
{
    owner->scheduler.setAllotment("coop", {100'000, 0, 0});
    for (int i = 0; i < 30; ++i) {
        owner->scheduler.transferAllotment("coop", {5000, 0, 0}, "paldiski");
        exchange();
        const std::int64_t here = await(owner->scheduler.allotments())["coop"].cpuMillis;
        const auto there = other->scheduler.state().allotments.find("coop");
        EXPECT_GE(here, 0);
        EXPECT_LE(here + (there == other->scheduler.state().allotments.end() ? 0 : there->second.cpuMillis), 100'000);
    }
    for (int i = 0; i < 60; ++i) {
        exchange();
    }
    EXPECT_EQ(await(owner->scheduler.allotments())["coop"].cpuMillis, 0);
    EXPECT_EQ(other->scheduler.state().allotments.at("coop").cpuMillis, 100'000);
}

TEST_F(TransferTest, rejectsOfferForAnotherDomain)
{
    TransferOffer offer;
    offer.id = {9, 1};
    offer.toDomain = "sillamae";
    std::future<void> answer = owner->scheduler.acceptOffer(offer);
    std::future<TransferId> toItself = owner->scheduler.transferJob(1, "muuga");
    runFor(200ms);
    EXPECT_THROW(answer.get(), InvalidArgument);
    EXPECT_THROW(toItself.get(), InvalidArgument);
}
