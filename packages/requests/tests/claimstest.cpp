/** Claims: the table alone, LocalClaims over a log with faults, and ShardedClaims. */
#include "pathrig.h"

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace QuetzalRock::Test;

namespace {

CallerResponse makeAnswer(const std::string &body)
{
    CallerResponse answer;
    answer.status = 201;
    answer.headers = {{"Location", "/hold/1"}};
    answer.body = body;
    return answer;
}

/** A table and the log records of its changes. */
struct TableRig
{
    RequestSettings settings;
    ClaimTable table{settings};
    std::vector<std::string> records;
    TimePoint now{1h};

    ClaimVerdict claim(const std::string &key, std::uint64_t claimant, std::uint64_t digest = 1)
    {
        const auto decision = table.claim({key, digest, claimant}, now);
        if (!decision.record.empty()) {
            records.push_back(decision.record);
        }
        lastAnswer = decision.reply.answer;
        return decision.reply.verdict;
    }

    void end(const std::string &key, std::uint64_t claimant, ClaimEndKind kind, const CallerResponse &answer = {})
    {
        const std::string record = table.end({key, claimant, kind, answer}, now);
        if (!record.empty()) {
            records.push_back(record);
        }
    }

    void takeOver(const std::string &snapshot = {})
    {
        table.restore(snapshot, records, now);
    }

    CallerResponse lastAnswer;
};

} // namespace

TEST(ClaimTable, SecondClaimantWaitsThenGetsFirstAnswer)
{
    TableRig rig;
    EXPECT_EQ(rig.claim("k", 1), ClaimVerdict::Granted);
    EXPECT_EQ(rig.claim("k", 2), ClaimVerdict::Waiting);
    EXPECT_EQ(rig.claim("k", 1), ClaimVerdict::Granted) << "the same claimant repeats its call after a lost reply";
    rig.end("k", 2, ClaimEndKind::NotRun);
    EXPECT_EQ(rig.claim("k", 3), ClaimVerdict::Waiting) << "only the claimant can end a claim";
    rig.end("k", 1, ClaimEndKind::Answered, makeAnswer("hold 7"));
    EXPECT_EQ(rig.claim("k", 2), ClaimVerdict::Done);
    EXPECT_EQ(rig.lastAnswer.body, "hold 7");
    EXPECT_EQ(rig.claim("k", 4, 99), ClaimVerdict::Mismatch);
}

TEST(ClaimTable, ReleasedKeyCanRunAgain)
{
    TableRig rig;
    rig.claim("k", 1);
    rig.end("k", 1, ClaimEndKind::NotRun);
    EXPECT_EQ(rig.claim("k", 2), ClaimVerdict::Granted);
    rig.takeOver();
    EXPECT_EQ(rig.claim("k", 3), ClaimVerdict::Unknown);
}

TEST(ClaimTable, TakeoverTurnsRunningIntoUnknownAndKeepsDone)
{
    TableRig rig;
    rig.claim("running", 1);
    rig.claim("done", 2);
    rig.end("done", 2, ClaimEndKind::Answered, makeAnswer("hold 7"));
    rig.claim("lost", 3);
    rig.end("lost", 3, ClaimEndKind::Unknown);
    for (const bool fromSnapshot : {false, true}) {
        const std::string snapshot = fromSnapshot ? rig.table.snapshot() : std::string();
        rig.records = fromSnapshot ? std::vector<std::string>() : rig.records;
        rig.takeOver(snapshot);
        EXPECT_EQ(rig.claim("running", 9), ClaimVerdict::Unknown);
        EXPECT_EQ(rig.claim("lost", 9), ClaimVerdict::Unknown);
        ASSERT_EQ(rig.claim("done", 9), ClaimVerdict::Done);
        EXPECT_EQ(rig.lastAnswer.status, 201);
        EXPECT_EQ(rig.lastAnswer.headers.at(0).value, "/hold/1");
    }
}

TEST(ClaimTable, EndedClaimsExpireAfterRetentionAndRunningOnesDoNot)
{
    TableRig rig;
    rig.claim("running", 1);
    rig.claim("done", 2);
    rig.end("done", 2, ClaimEndKind::Answered, makeAnswer("old"));
    rig.now += rig.settings.claimRetention - 1s;
    EXPECT_EQ(rig.claim("done", 3), ClaimVerdict::Done);
    rig.now += 1s;
    EXPECT_EQ(rig.claim("done", 3), ClaimVerdict::Granted);
    EXPECT_EQ(rig.claim("running", 4), ClaimVerdict::Waiting);
    rig.takeOver();
    EXPECT_EQ(rig.claim("done", 5), ClaimVerdict::Unknown) << "the second claim of the key replaces the expired one";
}

TEST(ClaimTable, ClaimsAnswersAndSnapshotAreBounded)
{
    TableRig rig;
    rig.settings.maxClaims = 100;
    rig.settings.maxClaimSnapshotBytes = 8000;
    for (std::uint64_t i = 0; i < 100; ++i) {
        const std::string key = "k" + std::to_string(i);
        ASSERT_EQ(rig.claim(key, i), ClaimVerdict::Granted);
        rig.now += 1ms;
        rig.end(key, i, ClaimEndKind::Answered, makeAnswer(std::string(i == 0 ? 5000 : 500, 'x')));
    }
    EXPECT_EQ(rig.claim("one more", 1), ClaimVerdict::Unavailable);
    EXPECT_EQ(rig.claim("k0", 1000), ClaimVerdict::AnswerNotStored) << "longer than maxStoredAnswerBytes";
    const std::string snapshot = rig.table.snapshot();
    EXPECT_LE(snapshot.size(), rig.settings.maxClaimSnapshotBytes);
    rig.records.clear();
    rig.takeOver(snapshot);
    EXPECT_EQ(rig.claim("k99", 1000), ClaimVerdict::Done);
    EXPECT_EQ(rig.claim("k1", 1000), ClaimVerdict::AnswerNotStored)
        << "the oldest answers are left out, their claims are not";
}

TEST(ClaimTable, SnapshotOfMaxClaimsFits)
{
    TableRig rig;
    constexpr std::uint64_t Wide = 0xf000'0000'0000'0000; // encoded with full width
    for (std::uint64_t i = 0; i < rig.settings.maxClaims; ++i) {
        const std::string key = "k" + std::to_string(i);
        ASSERT_EQ(rig.claim(key, Wide + i, Wide + i), ClaimVerdict::Granted);
        rig.end(key, Wide + i, ClaimEndKind::Answered, makeAnswer("hold"));
    }
    EXPECT_LE(rig.table.snapshot().size(), rig.settings.maxClaimSnapshotBytes);
}

// ---------------------------------------------------------------------------------------------------------------------
// LocalClaims
// ---------------------------------------------------------------------------------------------------------------------

namespace {

struct LocalRig
{
    RequestSettings settings;
    SystemClock clock;
    std::shared_ptr<FakeLog::Store> store = std::make_shared<FakeLog::Store>();
    FakeLog log{store};
    LocalClaims claims{settings, clock, log};

    LocalRig()
    {
        settings.claimRetryDelay = 1ms;
        claims.start();
        eventually([this] { return claims.isOwner(); });
    }

    /** Waits for the final reply to a claim, the first that is not Waiting. */
    ClaimVerdict claim(const std::string &key, std::uint64_t claimant)
    {
        std::promise<ClaimVerdict> verdict;
        claims.claim({key, 1, claimant}, [&](const ClaimReply &reply) {
            if (reply.verdict != ClaimVerdict::Waiting) {
                verdict.set_value(reply.verdict);
            }
        });
        return verdict.get_future().get();
    }

    ClaimVerdict claimUntilAvailable(const std::string &key, std::uint64_t claimant)
    {
        ClaimVerdict verdict = ClaimVerdict::Unavailable;
        eventually([&] { return (verdict = claim(key, claimant)) != ClaimVerdict::Unavailable; });
        return verdict;
    }
};

} // namespace

TEST(LocalClaims, ClaimIsDurableBeforeItIsGranted)
{
    LocalRig rig;
    EXPECT_EQ(rig.claim("k", 1), ClaimVerdict::Granted);
    RequestSettings settings;
    ClaimTable restored(settings);
    restored.restore("", rig.store->records, TimePoint(1h));
    EXPECT_EQ(restored.claim({"k", 1, 2}, TimePoint(1h)).reply.verdict, ClaimVerdict::Unknown);
}

TEST(LocalClaims, UnavailableLogRefusesClaimsAndRetainsEnds)
{
    LocalRig rig;
    ASSERT_EQ(rig.claim("first", 1), ClaimVerdict::Granted);
    rig.log.down = true;
    EXPECT_EQ(rig.claim("second", 2), ClaimVerdict::Unavailable);
    rig.claims.end({"first", 1, ClaimEndKind::Answered, makeAnswer("hold")});
    EXPECT_EQ(rig.claim("first", 3), ClaimVerdict::Done) << "known to this owner although not yet durable";
    rig.log.down = false;
    EXPECT_EQ(rig.claimUntilAvailable("second", 4), ClaimVerdict::Granted);
    FakeLog log(rig.store);
    LocalClaims claims(rig.settings, rig.clock, log);
    claims.start();
    ASSERT_TRUE(eventually([&] { return claims.isOwner(); }));
    std::promise<ClaimVerdict> verdict;
    claims.claim({"first", 1, 5}, [&](const ClaimReply &reply) { verdict.set_value(reply.verdict); });
    EXPECT_EQ(verdict.get_future().get(), ClaimVerdict::Done) << "the end was written once the log was back";
}

TEST(LocalClaims, AppendInDoubtIsNotGrantedAndReleasesTheKey)
{
    for (const bool written : {true, false}) {
        LocalRig rig;
        (written ? rig.log.loseAnswers : rig.log.loseWrites) = 1;
        EXPECT_EQ(rig.claim("k", 1), ClaimVerdict::Unavailable);
        EXPECT_EQ(rig.claimUntilAvailable("k", 2), ClaimVerdict::Granted);
    }
}

TEST(LocalClaims, FencedOwnerGrantsNothing)
{
    LocalRig rig;
    ASSERT_EQ(rig.claim("running", 1), ClaimVerdict::Granted);
    FakeLog log(rig.store);
    LocalClaims newOwner(rig.settings, rig.clock, log);
    newOwner.start();
    ASSERT_TRUE(eventually([&] { return newOwner.isOwner(); }));
    EXPECT_EQ(rig.claim("new", 2), ClaimVerdict::Unavailable);
    EXPECT_FALSE(rig.claims.isOwner());
    std::promise<ClaimVerdict> verdict;
    newOwner.claim({"running", 1, 3}, [&](const ClaimReply &reply) { verdict.set_value(reply.verdict); });
    EXPECT_EQ(verdict.get_future().get(), ClaimVerdict::Unknown);
}

TEST(LocalClaims, RepeatsWaitForTheFirstRun)
{
    LocalRig rig;
    ASSERT_EQ(rig.claim("k", 1), ClaimVerdict::Granted);
    std::promise<void> waitingReceived;
    std::promise<ClaimReply> last;
    rig.claims.claim({"k", 1, 2}, [&](const ClaimReply &reply) {
        reply.verdict == ClaimVerdict::Waiting ? waitingReceived.set_value() : last.set_value(reply);
    });
    waitingReceived.get_future().get();
    rig.claims.end({"k", 1, ClaimEndKind::Answered, makeAnswer("hold 7")});
    EXPECT_EQ(last.get_future().get().answer.body, "hold 7");
}

TEST(LocalClaims, SnapshotReplacesRecords)
{
    LocalRig rig;
    ASSERT_EQ(rig.claim("a", 1), ClaimVerdict::Granted);
    rig.log.isSnapshotDue = true;
    ASSERT_EQ(rig.claim("b", 2), ClaimVerdict::Granted);
    ASSERT_TRUE(eventually([&] { return !rig.log.snapshotDue(); }));
    RequestSettings settings;
    ClaimTable restored(settings);
    restored.restore(rig.store->snapshot, rig.store->records, TimePoint(1h));
    EXPECT_EQ(restored.size(), 2U);
}

TEST(LocalClaims, ManyClaimsShareOneBatch)
{
    LocalRig rig;
    std::atomic<int> granted = 0;
    {
        std::lock_guard guard(rig.store->mutex); // blocks the log's thread, so that the claims below share a batch
        rig.claims.claim({"k", 1, 1}, [&](const ClaimReply &) { ++granted; });
        for (std::uint64_t i = 0; i < 10; ++i) {
            rig.claims.claim({"k" + std::to_string(i), 1, 100 + i}, [&](const ClaimReply &) { ++granted; });
        }
    }
    ASSERT_TRUE(eventually([&] { return granted == 11; }));
    EXPECT_LE(rig.store->appends, 3);
}

TEST(LocalClaims, RespectsMinClaimAppendInterval)
{
    RequestSettings settings;
    settings.minClaimAppendInterval = 100ms;
    ManualClock clock;
    const auto store = std::make_shared<FakeLog::Store>();
    FakeLog log(store);
    LocalClaims claims(settings, clock, log);
    claims.start();
    ASSERT_TRUE(eventually([&] { return claims.isOwner(); }));
    std::atomic<int> granted = 0;
    const auto claim = [&](const std::string &key, std::uint64_t n) {
        claims.claim({key, 1, n}, [&](const ClaimReply &) { ++granted; });
        return eventually([&] { return claims.counters().claims == n; });
    };
    ASSERT_TRUE(claim("idle: at once", 1));
    ASSERT_TRUE(eventually([&] { return granted == 1; }));
    ASSERT_TRUE(claim("waits", 2));
    ASSERT_TRUE(claim("waits too", 3));
    EXPECT_EQ(claims.counters().batches, 1U);
    clock.advance(100ms);
    ASSERT_TRUE(eventually([&] { return granted == 3; }));
    EXPECT_EQ(claims.counters().batches, 2U) << "both in one append";
}

TEST(ShardedClaims, KeyAloneDeterminesTheOwner)
{
    LocalRig first;
    LocalRig second;
    const auto findOwner = [&](std::uint32_t shard) {
        LocalClaims &it = shard == 0 ? first.claims : second.claims;
        return std::shared_ptr<ClaimOwner>(std::shared_ptr<void>(), &it);
    };
    ShardedClaims firstEntryVm(2, findOwner);
    ShardedClaims secondEntryVm(2, findOwner);
    for (int i = 0; i < 20; ++i) {
        const std::string key = "k" + std::to_string(i);
        std::promise<ClaimVerdict> one;
        std::atomic<bool> waitingReceived = false;
        firstEntryVm.claim({key, 1, 1}, [&](const ClaimReply &reply) { one.set_value(reply.verdict); });
        EXPECT_EQ(one.get_future().get(), ClaimVerdict::Granted);
        std::promise<void> doneReceived;
        secondEntryVm.claim({key, 1, 2}, [&](const ClaimReply &reply) {
            waitingReceived = waitingReceived || reply.verdict == ClaimVerdict::Waiting;
            if (reply.verdict == ClaimVerdict::Done) {
                doneReceived.set_value();
            }
        });
        firstEntryVm.end({key, 1, ClaimEndKind::Answered, {}});
        doneReceived.get_future().get();
        EXPECT_TRUE(waitingReceived);
    }
    ShardedClaims withoutOwner(2, [](std::uint32_t) { return std::shared_ptr<ClaimOwner>(); });
    withoutOwner.claim({"k", 1, 1},
                       [](const ClaimReply &reply) { EXPECT_EQ(reply.verdict, ClaimVerdict::Unavailable); });
}
