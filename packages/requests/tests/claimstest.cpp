/** Claims: the table on its own, and LocalClaims over a log that fails. */
#include "pathrig.h"

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace QuetzalRock::Test;

namespace {

CallerResponse answerOf(const std::string &body)
{
    CallerResponse answer;
    answer.status = 201;
    answer.headers = {{"Location", "/hold/1"}};
    answer.body = body;
    return answer;
}

/** A table, and the log of what it made durable. */
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
    EXPECT_EQ(rig.claim("k", 1), ClaimVerdict::Granted) << "the same try asks again after a lost reply";
    rig.end("k", 2, ClaimEndKind::NotRun);
    EXPECT_EQ(rig.claim("k", 3), ClaimVerdict::Waiting) << "only the claimant can end a claim";
    rig.end("k", 1, ClaimEndKind::Answered, answerOf("hold 7"));
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

TEST(ClaimTable, AfterTakeoverRunningIsUnknownAndDoneIsKept)
{
    TableRig rig;
    rig.claim("running", 1);
    rig.claim("done", 2);
    rig.end("done", 2, ClaimEndKind::Answered, answerOf("hold 7"));
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

TEST(ClaimTable, EndedClaimsExpireAfterTheWindowAndRunningOnesDoNot)
{
    TableRig rig;
    rig.claim("running", 1);
    rig.claim("done", 2);
    rig.end("done", 2, ClaimEndKind::Answered, answerOf("old"));
    rig.now += rig.settings.claimRetention - 1s;
    EXPECT_EQ(rig.claim("done", 3), ClaimVerdict::Done);
    rig.now += 1s;
    EXPECT_EQ(rig.claim("done", 3), ClaimVerdict::Granted);
    EXPECT_EQ(rig.claim("running", 4), ClaimVerdict::Waiting);
    rig.takeOver();
    EXPECT_EQ(rig.claim("done", 5), ClaimVerdict::Unknown)
        << "the second claim of an expired key is not the first one's";
}

TEST(ClaimTable, BoundsOfCountAnswerAndSnapshot)
{
    TableRig rig;
    rig.settings.maxClaims = 100;
    rig.settings.maxClaimSnapshotBytes = 8000;
    for (std::uint64_t i = 0; i < 100; ++i) {
        const std::string key = "k" + std::to_string(i);
        ASSERT_EQ(rig.claim(key, i), ClaimVerdict::Granted);
        rig.now += 1ms;
        rig.end(key, i, ClaimEndKind::Answered, answerOf(std::string(i == 0 ? 5000 : 500, 'x')));
    }
    EXPECT_EQ(rig.claim("one more", 1), ClaimVerdict::Unavailable);
    EXPECT_EQ(rig.claim("k0", 1000), ClaimVerdict::NotKept) << "longer than maxKeptAnswerBytes";
    const std::string snapshot = rig.table.snapshot();
    EXPECT_LE(snapshot.size(), rig.settings.maxClaimSnapshotBytes);
    rig.records.clear();
    rig.takeOver(snapshot);
    EXPECT_EQ(rig.claim("k99", 1000), ClaimVerdict::Done);
    EXPECT_EQ(rig.claim("k1", 1000), ClaimVerdict::NotKept) << "the oldest answers give way, their claims do not";
}

TEST(ClaimTable, SnapshotOfAsManyClaimsAsAllowedFits)
{
    TableRig rig;
    constexpr std::uint64_t Wide = 0xf000'0000'0000'0000; // numbers of full width
    for (std::uint64_t i = 0; i < rig.settings.maxClaims; ++i) {
        const std::string key = "k" + std::to_string(i);
        ASSERT_EQ(rig.claim(key, Wide + i, Wide + i), ClaimVerdict::Granted);
        rig.end(key, Wide + i, ClaimEndKind::Answered, answerOf("hold"));
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

    /** The last reply to a claim, once it is not Waiting. */
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

    ClaimVerdict claimOnceBack(const std::string &key, std::uint64_t claimant)
    {
        ClaimVerdict verdict = ClaimVerdict::Unavailable;
        eventually([&] { return (verdict = claim(key, claimant)) != ClaimVerdict::Unavailable; });
        return verdict;
    }
};

} // namespace

TEST(LocalClaims, GrantIsDurableBeforeItIsGiven)
{
    LocalRig rig;
    EXPECT_EQ(rig.claim("k", 1), ClaimVerdict::Granted);
    RequestSettings settings;
    ClaimTable other(settings);
    other.restore("", rig.store->records, TimePoint(1h));
    EXPECT_EQ(other.claim({"k", 1, 2}, TimePoint(1h)).reply.verdict, ClaimVerdict::Unknown);
}

TEST(LocalClaims, LogAwayRefusesAtOnceAndKeepsEnds)
{
    LocalRig rig;
    ASSERT_EQ(rig.claim("first", 1), ClaimVerdict::Granted);
    rig.log.down = true;
    EXPECT_EQ(rig.claim("second", 2), ClaimVerdict::Unavailable);
    rig.claims.end({"first", 1, ClaimEndKind::Answered, answerOf("hold")});
    EXPECT_EQ(rig.claim("first", 3), ClaimVerdict::Done) << "known here, though not yet durable";
    rig.log.down = false;
    EXPECT_EQ(rig.claimOnceBack("second", 4), ClaimVerdict::Granted);
    FakeLog log(rig.store);
    LocalClaims claims(rig.settings, rig.clock, log);
    claims.start();
    ASSERT_TRUE(eventually([&] { return claims.isOwner(); }));
    std::promise<ClaimVerdict> verdict;
    claims.claim({"first", 1, 5}, [&](const ClaimReply &reply) { verdict.set_value(reply.verdict); });
    EXPECT_EQ(verdict.get_future().get(), ClaimVerdict::Done) << "the end was written once the log was back";
}

TEST(LocalClaims, LostAnswerOfTheLogNeverGrantsAndFreesTheKey)
{
    for (const bool written : {true, false}) {
        LocalRig rig;
        (written ? rig.log.loseAnswers : rig.log.loseWrites) = 1;
        EXPECT_EQ(rig.claim("k", 1), ClaimVerdict::Unavailable);
        EXPECT_EQ(rig.claimOnceBack("k", 2), ClaimVerdict::Granted);
    }
}

TEST(LocalClaims, FencedOwnerGrantsNothing)
{
    LocalRig rig;
    ASSERT_EQ(rig.claim("running", 1), ClaimVerdict::Granted);
    FakeLog log(rig.store);
    LocalClaims next(rig.settings, rig.clock, log);
    next.start();
    ASSERT_TRUE(eventually([&] { return next.isOwner(); }));
    EXPECT_EQ(rig.claim("new", 2), ClaimVerdict::Unavailable);
    EXPECT_FALSE(rig.claims.isOwner());
    std::promise<ClaimVerdict> verdict;
    next.claim({"running", 1, 3}, [&](const ClaimReply &reply) { verdict.set_value(reply.verdict); });
    EXPECT_EQ(verdict.get_future().get(), ClaimVerdict::Unknown);
}

TEST(LocalClaims, RepeatsWaitForTheFirstRun)
{
    LocalRig rig;
    ASSERT_EQ(rig.claim("k", 1), ClaimVerdict::Granted);
    std::promise<void> waits;
    std::promise<ClaimReply> last;
    rig.claims.claim({"k", 1, 2}, [&](const ClaimReply &reply) {
        reply.verdict == ClaimVerdict::Waiting ? waits.set_value() : last.set_value(reply);
    });
    waits.get_future().get();
    rig.claims.end({"k", 1, ClaimEndKind::Answered, answerOf("hold 7")});
    EXPECT_EQ(last.get_future().get().answer.body, "hold 7");
}

TEST(LocalClaims, SnapshotReplacesRecords)
{
    LocalRig rig;
    ASSERT_EQ(rig.claim("a", 1), ClaimVerdict::Granted);
    rig.log.wantsSnapshot = true;
    ASSERT_EQ(rig.claim("b", 2), ClaimVerdict::Granted);
    ASSERT_TRUE(eventually([&] { return !rig.log.snapshotDue(); }));
    RequestSettings settings;
    ClaimTable other(settings);
    other.restore(rig.store->snapshot, rig.store->records, TimePoint(1h));
    EXPECT_EQ(other.size(), 2U);
}

TEST(LocalClaims, OneBatchForManyClaims)
{
    LocalRig rig;
    std::atomic<int> granted = 0;
    {
        std::lock_guard guard(
            rig.store->mutex); // the log's thread waits here, and what arrives meanwhile goes together
        rig.claims.claim({"k", 1, 1}, [&](const ClaimReply &) { ++granted; });
        for (std::uint64_t i = 0; i < 10; ++i) {
            rig.claims.claim({"k" + std::to_string(i), 1, 100 + i}, [&](const ClaimReply &) { ++granted; });
        }
    }
    ASSERT_TRUE(eventually([&] { return granted == 11; }));
    EXPECT_LE(rig.store->appends, 3);
}

TEST(LocalClaims, WritesNoFasterThanItsBudget)
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
    EXPECT_EQ(claims.counters().batches, 2U) << "both in one write";
}

TEST(ShardedClaims, KeyAloneDecidesTheOwner)
{
    LocalRig first;
    LocalRig second;
    const auto ownerOf = [&](std::uint32_t shard) {
        LocalClaims &it = shard == 0 ? first.claims : second.claims;
        return std::shared_ptr<ClaimOwner>(std::shared_ptr<void>(), &it);
    };
    ShardedClaims here(2, ownerOf);
    ShardedClaims there(2, ownerOf);
    for (int i = 0; i < 20; ++i) {
        const std::string key = "k" + std::to_string(i);
        std::promise<ClaimVerdict> one;
        std::atomic<bool> waits = false;
        here.claim({key, 1, 1}, [&](const ClaimReply &reply) { one.set_value(reply.verdict); });
        EXPECT_EQ(one.get_future().get(), ClaimVerdict::Granted);
        std::promise<void> told;
        there.claim({key, 1, 2}, [&](const ClaimReply &reply) {
            waits = waits || reply.verdict == ClaimVerdict::Waiting;
            if (reply.verdict == ClaimVerdict::Done) {
                told.set_value();
            }
        });
        here.end({key, 1, ClaimEndKind::Answered, {}});
        told.get_future().get();
        EXPECT_TRUE(waits);
    }
    ShardedClaims cutOff(2, [](std::uint32_t) { return std::shared_ptr<ClaimOwner>(); });
    cutOff.claim({"k", 1, 1}, [](const ClaimReply &reply) { EXPECT_EQ(reply.verdict, ClaimVerdict::Unavailable); });
}
