#include <journal/groupcommit.h>
#include <journal/journal.h>
#include <journal/memorylog.h>
#include <platform/embeddedkeyvalue.h>
#include <platform/faultykeyvalue.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

using Records = std::vector<std::string>;

JournalSettings settingsFor(const std::string &writer)
{
    JournalSettings settings;
    settings.name = "muuga";
    settings.writer = writer;
    settings.slots = 16;
    settings.chunkBytes = 8;
    return settings;
}

struct JournalTest : public testing::Test
{
    void append(Journal &journal, const std::string &record)
    {
        journal.append(Records{record});
    }
    void fillTo(Journal &journal, std::uint32_t used)
    {
        while (journal.usedSlots() < used) {
            append(journal, "filler");
        }
    }
    ManualClock clock;
    EmbeddedKeyValue store{clock};
    FaultyKeyValue serviceOfA{store};
    FaultyKeyValue serviceOfB{store};
    Journal a{serviceOfA, settingsFor("a")};
    Journal b{serviceOfB, settingsFor("b")};
};

} // namespace

TEST_F(JournalTest, replaysWhatWasAppendedInOrder)
{
    EXPECT_EQ(a.takeOver().epoch, 1U);
    a.append(Records{"1", "2"});
    append(a, "3");
    const Replay replay = b.takeOver();
    EXPECT_EQ(replay.epoch, 2U);
    EXPECT_EQ(replay.records, (Records{"1", "2", "3"}));
    EXPECT_TRUE(replay.snapshot.empty());
}

TEST_F(JournalTest, fencesThePreviousOwner)
{
    a.takeOver();
    b.takeOver();
    EXPECT_THROW(append(a, "late"), Fenced);
    EXPECT_EQ(a.epoch(), 0U);
    EXPECT_THROW(append(a, "later"), Fenced);
    append(b, "1");
    EXPECT_EQ(a.takeOver().records, Records{"1"});
}

TEST_F(JournalTest, refusesAnAppendWithoutOwnership)
{
    EXPECT_THROW(append(a, "1"), Fenced);
    EXPECT_EQ(store.counters().writes, 0U);
}

TEST_F(JournalTest, resolvesLostAnswerByReadingBack)
{
    a.takeOver();
    serviceOfA.loseWriteAnswers = 1;
    EXPECT_THROW(append(a, "1"), OutcomeUnknown);
    EXPECT_THROW(append(a, "2"), OutcomeUnknown) << "no append is possible while a batch is in doubt";
    const std::uint64_t writes = store.counters().writes;
    EXPECT_TRUE(a.resolve());
    EXPECT_EQ(store.counters().writes, writes) << "resolve() must read back without writing again";
    append(a, "2");
    EXPECT_EQ(b.takeOver().records, (Records{"1", "2"}));
}

TEST_F(JournalTest, resolveRepeatsLostWrite)
{
    a.takeOver();
    serviceOfA.loseWrites = 2;
    EXPECT_THROW(append(a, "1"), OutcomeUnknown);
    serviceOfA.down = true;
    EXPECT_THROW(a.resolve(), OutcomeUnknown);
    serviceOfA.down = false;
    EXPECT_TRUE(a.resolve());
    EXPECT_EQ(a.counters().resolved, 1U);
    EXPECT_EQ(b.takeOver().records, Records{"1"});
}

TEST_F(JournalTest, resolveThrowsFencedWhenRivalTookTheSlot)
{
    a.takeOver();
    serviceOfA.loseWrites = 1;
    EXPECT_THROW(append(a, "1"), OutcomeUnknown);
    EXPECT_TRUE(b.takeOver().records.empty());
    EXPECT_THROW(a.resolve(), Fenced);
}

TEST_F(JournalTest, resolveReportsWrittenBatchDespiteLaterTakeover)
{
    a.takeOver();
    serviceOfA.loseWriteAnswers = 1;
    EXPECT_THROW(append(a, "1"), OutcomeUnknown);
    EXPECT_EQ(b.takeOver().records, Records{"1"});
    EXPECT_TRUE(a.resolve());
    EXPECT_THROW(append(a, "2"), Fenced);
}

TEST_F(JournalTest, resolveThrowsFencedInDoubtOnceTheSlotIsReused)
{
    a.takeOver();
    serviceOfA.loseWriteAnswers = 1;
    EXPECT_THROW(append(a, "1"), OutcomeUnknown);
    b.takeOver();
    b.snapshot("s");
    for (int n = 0; n < 2; ++n) {
        fillTo(b, 10);
        b.snapshot("s");
    }
    EXPECT_THROW(a.resolve(), FencedInDoubt);
    EXPECT_EQ(a.epoch(), 0U);
}

TEST_F(JournalTest, writesNothingWhenTheServiceRefuses)
{
    a.takeOver();
    serviceOfA.refuseWrites = 1;
    EXPECT_THROW(append(a, "1"), Unavailable);
    append(a, "2");
    EXPECT_EQ(b.takeOver().records, Records{"2"});
}

TEST_F(JournalTest, replacesTheRingBySnapshotOfSeveralChunks)
{
    const std::string state = "a state of more than three chunks";
    a.takeOver();
    fillTo(a, 10);
    EXPECT_TRUE(a.snapshotDue());
    a.snapshot(state);
    EXPECT_FALSE(a.snapshotDue());
    append(a, "after");
    const Replay replay = b.takeOver();
    EXPECT_EQ(replay.snapshot, state);
    EXPECT_EQ(replay.records, Records{"after"});
}

TEST_F(JournalTest, keyCountStaysBoundedOverManySnapshots)
{
    a.takeOver();
    for (int n = 0; n < 50; ++n) {
        fillTo(a, 10);
        a.snapshot("state " + std::to_string(n));
    }
    EXPECT_LE(store.list("").size(), 16U + 2 * 2);
    EXPECT_EQ(b.takeOver().snapshot, "state 49");
}

TEST_F(JournalTest, reservesSlotsForTakeoversAndTheSnapshot)
{
    a.takeOver();
    EXPECT_THROW(fillTo(a, 16), LogFull);
    b.takeOver();
    EXPECT_TRUE(b.snapshotDue());
    EXPECT_THROW(append(b, "x"), LogFull);
    a.takeOver();
    EXPECT_THROW(b.takeOver(), LogFull) << "the last slot is reserved for the snapshot";
    a.snapshot("s");
    append(a, "1");
    EXPECT_EQ(b.takeOver().records, Records{"1"});
}

TEST_F(JournalTest, keepsOldSnapshotUntilNewOneIsCommitted)
{
    a.takeOver();
    a.snapshot("the first state");
    append(a, "1");
    serviceOfA.refuseWrites = 1;
    EXPECT_THROW(a.snapshot("the second state"), Unavailable);
    const Replay replay = b.takeOver();
    EXPECT_EQ(replay.snapshot, "the first state");
    EXPECT_EQ(replay.records, Records{"1"});
}

TEST_F(JournalTest, fencedOwnerCannotOverwriteLiveSnapshot)
{
    a.takeOver();
    b.takeOver();
    b.snapshot("the state of b");
    EXPECT_THROW(a.snapshot("the state of a"), Fenced);
    EXPECT_EQ(a.takeOver().snapshot, "the state of b");
}

TEST_F(JournalTest, overwritesChunksOfPreviousOwner)
{
    a.takeOver();
    a.snapshot("aaaaaaaaaaaa");
    a.snapshot("aaaaaaaaaaaaaaaa");
    b.takeOver();
    b.snapshot("the state of b");
    b.snapshot("the next state of b");
    EXPECT_EQ(a.takeOver().snapshot, "the next state of b");
}

TEST_F(JournalTest, resolvesSnapshotWithLostAnswers)
{
    a.takeOver();
    append(a, "1");
    serviceOfA.loseWriteAnswers = 3; // two chunks and the batch that refers to them
    EXPECT_THROW(a.snapshot("0123456789"), OutcomeUnknown);
    EXPECT_TRUE(a.resolve());
    EXPECT_EQ(a.counters().snapshots, 1U);
    EXPECT_EQ(b.takeOver().snapshot, "0123456789");
}

TEST_F(JournalTest, refusesARingWithAGap)
{
    a.takeOver();
    append(a, "1");
    append(a, "2");
    store.remove("journal/muuga/0002", store.get("journal/muuga/0002")->revision);
    const std::uint64_t writes = store.counters().writes;
    EXPECT_THROW(b.takeOver(), LogCorrupt);
    EXPECT_EQ(store.counters().writes, writes);
}

TEST_F(JournalTest, refusesBatchOfEpochWithoutTakeover)
{
    a.takeOver();
    const std::string foreign = detail::encodeRecords({detail::BatchKind::Records, 16, 2, 7, "c", 1}, Records{"x"});
    store.compareAndSwap("journal/muuga/0002", 0, foreign, 0);
    EXPECT_THROW(b.takeOver(), LogCorrupt);
}

TEST_F(JournalTest, refusesATornSnapshot)
{
    a.takeOver();
    a.snapshot("0123456789");
    const auto chunk = store.get("snapshot/muuga/a/1");
    ASSERT_TRUE(chunk);
    store.compareAndSwap(chunk->key, chunk->revision, detail::encodeChunk(1, 99, 1, "89"), 0);
    EXPECT_THROW(b.takeOver(), LogCorrupt);
}

TEST_F(JournalTest, keepsTheRingSizeOfTheExistingJournal)
{
    a.takeOver();
    fillTo(a, 5);
    JournalSettings wider = settingsFor("c");
    wider.slots = 64;
    Journal c(store, wider);
    EXPECT_EQ(c.takeOver().records.size(), 4U);
    c.snapshot("s");
    EXPECT_THROW(fillTo(c, 32), LogFull);
}

TEST_F(JournalTest, worksWithDefaultSettings)
{
    JournalSettings defaults;
    defaults.name = "muuga";
    defaults.writer = "a";
    Journal journal(store, defaults);
    journal.takeOver();
    const std::string batch(journal.maxBatchBytes(), 'x');
    append(journal, batch);
    EXPECT_THROW(append(journal, batch + "x"), InvalidArgument);
    const std::string state(3 * defaults.chunkBytes, 's');
    journal.snapshot(state);
    EXPECT_EQ(journal.read().snapshot, state);
}

TEST_F(JournalTest, validatesSettings)
{
    JournalSettings settings = settingsFor("a");
    settings.name = "muuga/1";
    EXPECT_THROW(Journal(store, settings), InvalidArgument);
    settings = settingsFor("a");
    settings.slots = 4;
    EXPECT_THROW(Journal(store, settings), InvalidArgument);
}

// ---------------------------------------------------------------------------------------------------------------------
// Formats
// ---------------------------------------------------------------------------------------------------------------------

namespace {

detail::BatchHeader headerOf(detail::BatchKind kind)
{
    return {kind, 16, 1, 1, "a", 1};
}

/** Bytes written by format version 1: a takeover and a batch of two records. They must stay readable. */
const std::string FirstFormatTakeover("\x98\x01\x01\x10\x01\x01\xa1z\x01\xc0", 10);
const std::string FirstFormatRecords("\x98\x01\x00\x10\x02\x01\xa1z\x02\x92\xc4\x02hi\xc4\x00", 16);

} // namespace

TEST_F(JournalTest, readsTheFirstFormat)
{
    store.compareAndSwap("journal/muuga/0001", 0, FirstFormatTakeover, 0);
    store.compareAndSwap("journal/muuga/0002", 0, FirstFormatRecords, 0);
    EXPECT_EQ(a.takeOver().records, (Records{"hi", ""}));
}

TEST_F(JournalTest, refusesANewerFormatAndWritesNothing)
{
    a.takeOver();
    std::string newer = FirstFormatRecords;
    newer[1] = static_cast<char>(JournalFormat + 1);
    store.compareAndSwap("journal/muuga/0002", 0, newer, 0);
    const std::uint64_t writes = store.counters().writes;
    EXPECT_THROW(b.takeOver(), FormatTooNew);
    EXPECT_EQ(store.counters().writes, writes);
    EXPECT_THROW(append(a, "1"), Fenced);
}

TEST_F(JournalTest, ignoresUnknownTrailingFields)
{
    std::string longer = FirstFormatTakeover + '\x05';
    longer[0] = '\x99';
    store.compareAndSwap("journal/muuga/0001", 0, longer, 0);
    EXPECT_EQ(a.takeOver().epoch, 2U);
}

TEST(JournalFormat, refusesBytesThatAreNotABatch)
{
    for (const std::string &it : {std::string(), std::string("\xc0"), std::string("\x91\x01"), std::string("junk")}) {
        EXPECT_THROW(detail::decodeBatch(it), LogCorrupt);
    }
    for (std::size_t n = 0; n < FirstFormatRecords.size(); ++n) {
        EXPECT_THROW(detail::decodeBatch(FirstFormatRecords.substr(0, n)), LogCorrupt);
    }
}

RC_GTEST_PROP(JournalFormatProperty, refusesDamageWithATypedError, ())
{
    std::string bytes
        = *rc::gen::element(FirstFormatTakeover,
                            FirstFormatRecords,
                            detail::encodeSnapshotRef(headerOf(detail::BatchKind::Snapshot), {1, 2, 3, 4, 5}),
                            detail::encodeChunk(1, 2, 0, "data"));
    const auto changes = *rc::gen::container<std::vector<std::pair<std::uint8_t, char>>>(
        rc::gen::arbitrary<std::pair<std::uint8_t, char>>());
    for (const auto &[at, byte] : changes) {
        bytes[at % bytes.size()] = byte;
    }
    const auto decoded = [&bytes](auto decode) {
        try {
            decode(bytes);
        } catch (const LogCorrupt &) {
        } catch (const FormatTooNew &) {
        }
    };
    decoded(detail::decodeBatch);
    decoded(detail::decodeChunk);
}

TEST(JournalFormat, refusesNumbersOutOfTheirRange)
{
    const detail::BatchHeader header = headerOf(detail::BatchKind::Snapshot);
    EXPECT_NO_THROW(detail::decodeBatch(detail::encodeSnapshotRef(header, {1, 1, 1, 1, 1})));
    EXPECT_THROW(detail::decodeBatch(detail::encodeSnapshotRef(header, {2, 1, 1, 1, 1})), LogCorrupt);
    detail::BatchHeader huge = headerOf(detail::BatchKind::Takeover);
    huge.slots = MaxJournalSlots + 1;
    EXPECT_THROW(detail::decodeBatch(detail::encodeTakeover(huge)), LogCorrupt);
}

TEST(JournalFormat, refusesLengthsBeyondTheValue)
{
    EXPECT_THROW(detail::decodeBatch("\xdd\xff\xff\xff\xff"), LogCorrupt);
    EXPECT_THROW(detail::decodeBatch(FirstFormatRecords + "x"), LogCorrupt);
}

// ---------------------------------------------------------------------------------------------------------------------
// MemoryLog
// ---------------------------------------------------------------------------------------------------------------------

TEST(MemoryLog, matchesJournalSemantics)
{
    MemoryLogStore store;
    MemoryLog a(store);
    MemoryLog b(store);
    a.takeOver();
    a.append(Records{"1"});
    a.loseWriteAnswers = 1;
    EXPECT_THROW(a.append(Records{"2"}), OutcomeUnknown);
    EXPECT_THROW(a.append(Records{"3"}), OutcomeUnknown);
    EXPECT_TRUE(a.resolve());
    a.dropWrites = 1;
    EXPECT_THROW(a.append(Records{"3"}), OutcomeUnknown);
    EXPECT_FALSE(a.resolve());
    EXPECT_EQ(b.takeOver().records, (Records{"1", "2"}));
    EXPECT_THROW(a.append(Records{"4"}), Fenced);
    b.snapshot("s");
    EXPECT_EQ(a.takeOver().snapshot, "s");
}

// ---------------------------------------------------------------------------------------------------------------------
// GroupCommit
// ---------------------------------------------------------------------------------------------------------------------

struct GroupCommitTest : public testing::Test
{
    /** Takes all writes of the budget, including the reserve. */
    void drain()
    {
        while (budget.tryTake(true)) { }
    }
    ManualClock clock;
    WriteBudget budget{clock, {10, 10, 2}};
    GroupCommit commit{clock, budget};
};

TEST_F(GroupCommitTest, isNotDueWhenIdle)
{
    EXPECT_FALSE(commit.dueAt());
    EXPECT_FALSE(commit.tryBegin());
    EXPECT_EQ(budget.fillRatio(), 1);
}

TEST_F(GroupCommitTest, waitsMinGatherWithFullBudget)
{
    commit.add(100, false);
    EXPECT_FALSE(commit.tryBegin());
    clock.advance(20ms);
    EXPECT_TRUE(commit.tryBegin());
    EXPECT_FALSE(commit.dueAt());
}

TEST_F(GroupCommitTest, waitsLongerWhenBudgetIsExhausted)
{
    drain();
    commit.add(100, false);
    clock.advance(199ms);
    EXPECT_FALSE(commit.tryBegin());
    clock.advance(101ms); // 0.3 s refill three writes, two of which are the reserve
    EXPECT_TRUE(commit.tryBegin());
}

TEST_F(GroupCommitTest, letsUrgentRecordsUseTheReserve)
{
    while (budget.tryTake(false)) { }
    commit.add(100, false);
    EXPECT_EQ(commit.dueAt(), clock.now() + 200ms);
    commit.add(100, true);
    EXPECT_EQ(commit.dueAt(), clock.now() + 20ms);
    clock.advance(20ms);
    EXPECT_TRUE(commit.tryBegin());
}

TEST_F(GroupCommitTest, sendsAFullBatchAtOnce)
{
    commit.add(128 * 1024, false);
    EXPECT_TRUE(commit.tryBegin());
}

TEST_F(GroupCommitTest, staysWithinBudgetUnderSustainedLoad)
{
    WriteBudget shared(clock, {10, 10, 2});
    GroupCommit first(clock, shared);
    GroupCommit second(clock, shared);
    int writes = 0;
    for (int n = 0; n < 60'000; ++n) {
        first.add(100, n % 7 == 0);
        second.add(100, false);
        writes += first.tryBegin() ? 1 : 0;
        writes += second.tryBegin() ? 1 : 0;
        clock.advance(1ms);
    }
    EXPECT_LE(writes, 10 + 10 * 60);
    EXPECT_GE(writes, 10 * 60 - 10);
}

TEST_F(GroupCommitTest, recoversFromForcedWrites)
{
    budget.forceTake(20);
    EXPECT_FALSE(budget.tryTake(true));
    EXPECT_EQ(budget.availableAt(true), clock.now() + 1100ms);
    clock.advance(1100ms);
    EXPECT_TRUE(budget.tryTake(true));
}

TEST_F(GroupCommitTest, requeuedRecordsAreDueAtOnce)
{
    commit.requeue(100, false);
    EXPECT_TRUE(commit.tryBegin());
}
