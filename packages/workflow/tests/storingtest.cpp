/**
 * In which order records are stored, and how long each waits.
 *
 * Index of this file
 *   StoreQueue    which records go into the next write
 *   SlowStore     a store whose answers take time, behind which records wait
 *   Storing       trials, verdicts and the rest behind a backlog
 */
#include "rig.h"

#include <workflow/storequeue.h>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::size_t Places = 14; ///< of a write
constexpr std::array<std::size_t, 3> BacklogSizes{10, 200, 2000};
const TimePoint Start{1s};

void addRecords(StoreQueue &queue, StoreClass storeClass, std::size_t n, const std::string &prefix, TimePoint since)
{
    for (std::size_t i = 0; i < n; ++i) {
        queue.add(prefix + std::to_string(i), storeClass, since);
    }
}

void releaseAll(StoreQueue &queue, std::span<const StoreRecord> records)
{
    for (const StoreRecord &it : records) {
        queue.release(it.key);
    }
}

bool containsKey(std::span<const StoreRecord> records, const JobKey &key)
{
    return std::any_of(records.begin(), records.end(), [&key](const StoreRecord &it) { return it.key == key; });
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Decisions
// ---------------------------------------------------------------------------------------------------------------------

// Records of trials waited for all progress before them, and each trial was abandoned at the moment at which it could start.
TEST(StoreQueue, trialGoesIntoTheNextWriteWhateverWaits)
{
    for (const std::size_t n : BacklogSizes) {
        StoreQueue queue;
        addRecords(queue, StoreClass::Progress, n, "progress", Start);
        addRecords(queue, StoreClass::Final, n, "final", Start);
        addRecords(queue, StoreClass::Evidence, n, "evidence", Start);
        queue.add("trial", StoreClass::Trial, Start + 1s);
        const std::vector<StoreRecord> records = queue.take(Places);
        EXPECT_EQ(records.size(), Places);
        EXPECT_EQ(records.front().key, "trial");
    }
}

// An order by urgency alone would leave progress unstored, and ends unacknowledged, while more urgent records keep coming.
TEST(StoreQueue, eachClassIsStoredWithinABoundOfItsOwn)
{
    constexpr std::size_t Waiting = 50;
    for (std::size_t c = 1; c < StoreClassCount; ++c) {
        StoreQueue queue;
        addRecords(queue, static_cast<StoreClass>(c), Waiting, "waiting", Start);
        std::size_t writes = 0;
        for (std::size_t stored = 0; stored < Waiting; ++writes) {
            ASSERT_LT(writes, Waiting / PlacesPerLowerClass) << storeClassName(static_cast<StoreClass>(c));
            for (std::size_t other = 0; other < StoreClassCount; ++other) {
                if (other != c) {
                    const std::string prefix = "new" + std::to_string(writes) + "." + std::to_string(other) + ".";
                    addRecords(queue, static_cast<StoreClass>(other), Places, prefix, Start + writes * 50ms);
                }
            }
            const std::vector<StoreRecord> records = queue.take(Places);
            EXPECT_EQ(records.size(), Places);
            stored += static_cast<std::size_t>(std::count_if(
                records.begin(), records.end(), [](const StoreRecord &it) { return it.key.starts_with("waiting"); }));
            releaseAll(queue, records);
        }
    }
}

TEST(StoreQueue, placesThatNoOtherClassNeedsAreNotLeftEmpty)
{
    StoreQueue queue;
    addRecords(queue, StoreClass::Trial, 20, "trial", Start);
    addRecords(queue, StoreClass::Progress, 1, "progress", Start);
    EXPECT_EQ(queue.take(Places).size(), Places);
    EXPECT_EQ(queue.readyCount(), 7U);
    EXPECT_FALSE(containsKey(queue.take(Places), "progress")) << "it was in the first write";
}

// A record that changes again and again would wait anew each time.
TEST(StoreQueue, classRisesAndTheWaitGoesOn)
{
    StoreQueue queue;
    addRecords(queue, StoreClass::Evidence, 30, "evidence", Start + 1s);
    queue.add("job", StoreClass::Progress, Start);
    queue.add("job", StoreClass::Evidence, Start + 2s);
    queue.add("job", StoreClass::Progress, Start + 3s);
    const std::vector<StoreRecord> records = queue.take(Places);
    EXPECT_EQ(records.front().key, "job");
    EXPECT_EQ(records.front().since, Start);
    EXPECT_EQ(records.front().storeClass, StoreClass::Evidence);
    queue.giveBack(records.front());
    EXPECT_EQ(queue.take(Places).front().key, "job") << "a write that failed does not begin the wait anew";
}

// Two writes of one record could be executed in either order.
TEST(StoreQueue, recordIsInOneWriteAtATime)
{
    StoreQueue queue;
    queue.add("job", StoreClass::Progress, Start);
    EXPECT_EQ(queue.take(Places).size(), 1U);
    queue.add("job", StoreClass::Trial, Start + 1s);
    EXPECT_TRUE(queue.take(Places).empty());
    EXPECT_FALSE(queue.isAwaitedReady());
    queue.release("job");
    EXPECT_TRUE(queue.isAwaitedReady());
    queue.reserve("job"); // for a transfer
    EXPECT_TRUE(queue.take(Places).empty());
    queue.add("job", StoreClass::Progress, Start + 2s);
    EXPECT_TRUE(queue.take(Places).empty());
    EXPECT_EQ(queue.backlogs()[0].records, 1U);
    EXPECT_EQ(queue.backlogs()[0].since, Start + 1s);
    queue.cancelReservation("job");
    EXPECT_EQ(queue.take(Places).size(), 1U);
    EXPECT_EQ(queue.size(), 0U);
}

// ---------------------------------------------------------------------------------------------------------------------
// With a scheduler
// ---------------------------------------------------------------------------------------------------------------------

namespace {

/** A store that takes its time to answer, and @p jobs that all change at about the same time. */
class SlowStore
{
public:
    explicit SlowStore(std::size_t jobs, int nodes = 1, Duration answerTime = 90ms)
        : rig(nodes, 66)
        , m_answerTime(answerTime)
    {
        rig.fleet.crashBehaviour.delay = 50ms;
        rig.run(1s);
        for (std::size_t i = 0; i < jobs; ++i) {
            others.push_back("other" + std::to_string(i));
            rig.submit(rig.leader(), Rig::makeJob(others.back(), 1));
        }
    }

    void submitDeadly(const JobKey &key)
    {
        rig.fleet.deadlyTasks.insert({key, 0, 0, 0});
        rig.submit(rig.leader(), Rig::makeJob(key, 1));
    }

    void slowDown()
    {
        for (const auto &it : rig.nodes) {
            it->store.answerTime = m_answerTime;
        }
    }

    /** The time until @p isMet, at most @p limit. */
    template<typename Condition>
    Duration timeUntil(Condition isMet, Duration limit)
    {
        const TimePoint from = rig.clock.now();
        while (!isMet() && rig.clock.now() < from + limit) {
            rig.run(StepTime);
        }
        return rig.clock.now() - from;
    }

    std::uint64_t stored(const JobKey &key) const
    {
        const auto it = rig.backend.items.find(std::string(ProgressPrefix) + key);
        return it == rig.backend.items.end() ? 0 : it->second.revision;
    }

    std::size_t unfinished() const
    {
        return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [this](const JobKey &it) {
            return rig.state(it) != WorkflowState::Completed;
        }));
    }

    Rig rig;
    std::vector<JobKey> others;

private:
    Duration m_answerTime;
};

/** Three crashes: the first one, and two in trials. Each is noticed, judged and stored, and the trial ordered, within 2 s. */
Duration timeOfVerdict(const Rig &rig)
{
    return 3 * (rig.fleet.crashBehaviour.delay + rig.fleet.crashBehaviour.downTime + 2s);
}

} // namespace

// With hundreds of records before it, each trial was abandoned at the moment at which it could start, and no verdict came.
TEST(Storing, verdictComesInTimeWhateverTheBacklog)
{
    for (const std::size_t n : BacklogSizes) {
        SlowStore it(n);
        it.slowDown();
        it.submitDeadly("deadly");
        const Duration limit = timeOfVerdict(it.rig);
        const Duration time
            = it.timeUntil([&it] { return it.rig.state("deadly") == WorkflowState::Failed; }, 4 * limit);
        EXPECT_LE(time, limit) << n << " jobs";
        EXPECT_TRUE(it.rig.fleet.violations.empty());
    }
}

// The timeout of a trial counted from its preparation, and was looked at when it was stored: none started then.
TEST(Storing, trialThatIsStoredLateStarts)
{
    SlowStore it(0);
    it.submitDeadly("deadly");
    it.timeUntil([&it] { return it.rig.fleet.crashesUnder[(TaskName{"deadly", 0, 0, 0})] == 1; }, 5s);
    it.rig.fleet.deadlyTasks.clear();
    it.rig.nodes[0]->store.callTimeout = 20s;
    it.rig.nodes[0]->store.changeDelay = [] { return CrashSettings{}.trialTimeout + 1s; };
    it.timeUntil([&it] { return it.rig.fleet.completedTasks.contains({"deadly", 0, 0, 0}); }, 30s);
    EXPECT_TRUE(it.rig.fleet.completedTasks.contains({"deadly", 0, 0, 0}));
}

} // namespace QuetzalRock::Workflow
