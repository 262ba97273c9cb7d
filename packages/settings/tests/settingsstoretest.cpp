#include <platform/embeddedkeyvalue.h>
#include <platform/faultykeyvalue.h>
#include <settings/settingsstore.h>

#include <gtest/gtest.h>

namespace QuetzalRock {

namespace {

const SettingsPath Root{};

/** Calls a hook between a store's read and its write, to simulate concurrent writes. */
class RacingKeyValue final : public KeyValueService
{
public:
    explicit RacingKeyValue(KeyValueService &service)
        : m_service(service)
    {
    }

    std::function<void()> beforeSwap; ///< called before the next compareAndSwap() only

    std::optional<KeyValue> get(std::string_view key) override
    {
        return m_service.get(key);
    }
    std::vector<KeyValue> list(std::string_view prefix) override
    {
        return m_service.list(prefix);
    }
    CasResult compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease) override
    {
        if (beforeSwap) {
            std::exchange(beforeSwap, nullptr)();
        }
        return m_service.compareAndSwap(key, expected, value, lease);
    }
    CasResult remove(std::string_view key, Revision expected) override
    {
        return m_service.remove(key, expected);
    }
    LeaseId grantLease(Duration ttl) override
    {
        return m_service.grantLease(ttl);
    }
    bool renewLease(LeaseId lease) override
    {
        return m_service.renewLease(lease);
    }
    void revokeLease(LeaseId lease) override
    {
        m_service.revokeLease(lease);
    }
    WatchResult watch(std::string_view prefix, Revision after, Duration timeout) override
    {
        return m_service.watch(prefix, after, timeout);
    }

private:
    KeyValueService &m_service;
};

class SettingsStoreTest : public testing::Test
{
public:
    SettingsStoreTest()
        : platform(clock)
        , service(platform)
        , racing(service)
        , store(racing, clock)
    {
    }

    static SettingsEdit edit(std::uint64_t base, const std::string &weight, const std::string &id)
    {
        return {base, {{Root, "tenant.weight", std::nullopt, weight}}, "ana", id};
    }

    std::string weight()
    {
        return effectiveValue(store.read().tree, Root, "tenant.weight").value;
    }

    ManualClock clock;
    EmbeddedKeyValue platform;
    FaultyKeyValue service;
    RacingKeyValue racing;
    SettingsStore store;
};

TEST_F(SettingsStoreTest, eachEditCreatesOneVersionWithHistory)
{
    EXPECT_EQ(store.read().version, 0u);
    store.write(edit(0, "20", "w1"));
    const SettingsDocument now = store.write(edit(1, "0030", "w2"));
    EXPECT_EQ(now.version, 2u);
    EXPECT_EQ(now, store.read());
    ASSERT_EQ(now.history.size(), 2u);
    EXPECT_EQ(now.history[1].who, "ana");
    EXPECT_EQ(now.history[1].when, clock.wallNow());
    EXPECT_EQ(toString(now.history[1].changes.at(0)), "[root] tenant.weight: 20 -> 30");
}

TEST_F(SettingsStoreTest, staleEditIsRejectedWithInterveningChanges)
{
    store.write(edit(0, "20", "w1"));
    store.write(edit(1, "21", "w2"));
    try {
        store.write(edit(1, "22", "w3"));
        FAIL();
    } catch (const SettingsConflict &ec) {
        EXPECT_EQ(ec.version(), 2u);
        ASSERT_EQ(ec.changesSinceBase().size(), 1u);
        EXPECT_EQ(toString(ec.changesSinceBase()[0]), "[root] tenant.weight: 20 -> 21");
    }
    EXPECT_EQ(weight(), "21");
}

TEST_F(SettingsStoreTest, concurrentWriteBeforeSwapIsConflict)
{
    racing.beforeSwap = [this] {
        SettingsStore other(platform, clock);
        other.write(edit(0, "99", "theirs"));
    };
    EXPECT_THROW(store.write(edit(0, "20", "mine")), SettingsConflict);
    EXPECT_EQ(weight(), "99");
    EXPECT_EQ(store.read().version, 1u);
}

TEST_F(SettingsStoreTest, lostWriteAnswerIsResolvedByRetry)
{
    service.loseWriteAnswers = 1;
    EXPECT_EQ(store.write(edit(0, "20", "w1")).version, 1u);
    EXPECT_EQ(store.counters().resolved, 1u);
    EXPECT_EQ(store.read().version, 1u);
    service.loseWrites = 2;
    EXPECT_EQ(store.write(edit(1, "21", "w2")).version, 2u);
    EXPECT_EQ(weight(), "21");
}

TEST_F(SettingsStoreTest, lostAnswerIsResolvedThroughHistoryAfterAnotherWrite)
{
    // The write takes effect, its answer is lost, and another operator writes before the retry.
    service.loseWriteAnswers = 1;
    racing.beforeSwap = [this] {
        racing.beforeSwap = [this] {
            SettingsStore other(platform, clock);
            other.write(edit(1, "99", "theirs"));
        };
    };
    EXPECT_NO_THROW(store.write(edit(0, "20", "mine")));
    const SettingsDocument now = store.read();
    EXPECT_EQ(now.version, 2u);
    EXPECT_EQ(now.history.at(0).writeId, "mine");
}

TEST_F(SettingsStoreTest, lostWriteFollowedByAnotherWriteIsConflict)
{
    service.loseWrites = 1;
    racing.beforeSwap = [this] {
        racing.beforeSwap = [this] {
            SettingsStore other(platform, clock);
            other.write(edit(0, "99", "theirs"));
        };
    };
    EXPECT_THROW(store.write(edit(0, "20", "mine")), SettingsConflict);
    EXPECT_EQ(weight(), "99");
}

TEST_F(SettingsStoreTest, outageAfterLostAnswerIsOutcomeUnknownUntilRetried)
{
    service.loseWriteAnswers = 1;
    racing.beforeSwap = [this] { racing.beforeSwap = [this] { service.down = true; }; };
    EXPECT_THROW(store.write(edit(0, "20", "w1")), OutcomeUnknown);
    service.down = false;
    EXPECT_EQ(store.write(edit(0, "20", "w1")).version, 1u); // the write id is in the history, so nothing is written
    EXPECT_EQ(store.read().version, 1u);
}

TEST_F(SettingsStoreTest, outageBeforeWriteIsUnavailable)
{
    service.down = true;
    EXPECT_THROW(store.write(edit(0, "20", "w1")), Unavailable);
    service.down = false;
    service.refuseWrites = 1;
    EXPECT_THROW(store.write(edit(0, "20", "w1")), Unavailable);
    EXPECT_EQ(store.read().version, 0u);
}

TEST_F(SettingsStoreTest, allIssuesAreReportedAndNothingIsWritten)
{
    SettingsEdit bad = edit(0, "0", "w1");
    bad.changes.push_back({Root, "no.such", std::nullopt, "1"});
    try {
        store.write(bad);
        FAIL();
    } catch (const SettingsError &ec) {
        EXPECT_EQ(ec.issues().size(), 2u);
    }
    EXPECT_THROW(store.write({0, {{Root, "service.deadline", std::nullopt, "50ms"}}, "ana", "w2"}), SettingsError);
    EXPECT_THROW(store.write({0, {}, "", "w3"}), InvalidArgument);
    EXPECT_EQ(store.read().version, 0u);
}

TEST_F(SettingsStoreTest, editIsRejectedWhenServiceLostNewerVersion)
{
    store.write(edit(0, "20", "w1"));
    EXPECT_THROW(store.write(edit(1, "21", "w2"), 5), Conflict);
    EXPECT_EQ(store.read().version, 1u);
}

TEST_F(SettingsStoreTest, historyIsBounded)
{
    SettingsDocument now;
    for (std::size_t i = 0; i < MaxHistoryEntries + 10; ++i) {
        now = store.write(edit(i, std::to_string(1 + i % 2), "w" + std::to_string(i)));
    }
    EXPECT_EQ(now.history.size(), MaxHistoryEntries);
    EXPECT_EQ(now.history.back().version, MaxHistoryEntries + 10);
    EXPECT_THROW(store.write(edit(3, "5", "late")),
                 SettingsConflict); // version 3 is no longer in the history
}

} // namespace

} // namespace QuetzalRock
