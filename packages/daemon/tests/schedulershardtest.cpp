#include <daemon/schedulershard.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

struct SchedulerShardTest : public testing::Test
{
    SchedulerShardTest()
    {
        settings.embedded.workers = 1;
        settings.embedded.upstreams = 0;
    }
    Journal makeOtherOwnerJournal()
    {
        JournalSettings journal;
        journal.name = "shard-1";
        journal.writer = "rival";
        return {platform.keyValue(), journal};
    }
    static JobSpec job(const std::string &name)
    {
        JobSpec spec;
        spec.name = name;
        spec.tenant = "coop";
        spec.command = "run 5";
        spec.resources = {100, 10, 0};
        return spec;
    }
    SystemClock clock;
    DaemonSettings settings;
    PlatformBundle platform{settings, clock};
    SchedulerShard shard{settings, platform, clock};
};

} // namespace

TEST_F(SchedulerShardTest, rejectsWithNotRunWhileNotOwner)
{
    EXPECT_THROW(shard.submit(job("a")), NotRun);
    EXPECT_THROW(shard.shard(), NotRun);
}

TEST_F(SchedulerShardTest, keepsJobsAcrossTakeoversAndSubmitsIdempotently)
{
    const std::uint64_t first = shard.acquire();
    const JobId id = shard.submit(job("a"));
    EXPECT_EQ(shard.submit(job("a")), id);
    shard.release();
    EXPECT_THROW(shard.describe("coop", "a"), NotRun);
    EXPECT_GT(shard.acquire(), first);
    EXPECT_EQ(shard.submit(job("a")), id);
    EXPECT_EQ(shard.describe("coop", "a").spec.id, id);
}

TEST_F(SchedulerShardTest, reportsTheFencedEpochAfterATakeoverByAnotherOwner)
{
    const std::uint64_t epoch = shard.acquire();
    EXPECT_EQ(shard.fencedEpoch(), 0U);
    Journal other = makeOtherOwnerJournal();
    other.takeOver();
    EXPECT_THROW(shard.submit(job("b")), Error);
    while (shard.isOwner()) {
        std::this_thread::
            yield(); // the scheduler thread reports the fencing shortly after it has failed the submission
    }
    EXPECT_EQ(shard.fencedEpoch(), epoch);
}

TEST_F(SchedulerShardTest, doesNotRetryATakeoverOfANewerJournalVersion)
{
    Journal newer = makeOtherOwnerJournal();
    newer.takeOver();
    const auto bytes = nlohmann::json::to_msgpack(nlohmann::json::array({99, 99, nlohmann::json::array()}));
    const std::vector<std::string> records{std::string(bytes.begin(), bytes.end())};
    newer.append(records);
    EXPECT_THROW(shard.acquire(), IncompatibleRecord);
    newer.takeOver(); // the failed acquire() has fenced the newer process, which takes over again
    EXPECT_THROW(shard.acquire(), Unavailable);
    EXPECT_NO_THROW(newer.append(records));
}
