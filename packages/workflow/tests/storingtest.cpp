/**
 * In which order records are stored, and how long each waits.
 *
 * Index of this file
 *   StoreQueue    which records go into the next write
 *   SlowStore     a store whose answers take time, behind which records wait
 *   Storing       trials, verdicts and the rest behind a backlog, and beside transfers and moves
 *   StoredStates  checks what the store holds against what workers and earlier writes say
 *   Status        the shard's status, of which a write is executed late
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
    explicit SlowStore(std::size_t jobs, int nodes = 1, int workers = 66)
        : rig(nodes, workers)
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
            it->store.answerTime = 90ms;
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
};

bool writes(const StoreChange &change, std::string_view part)
{
    return std::any_of(change.puts.begin(), change.puts.end(), [part](const StorePut &it) {
        return it.key.find(part) != std::string::npos;
    });
}

/** Loses each write for which @p isLost is true, at each node. */
void lose(Rig &rig, const std::function<bool(const StoreChange &)> &isLost)
{
    for (const auto &it : rig.nodes) {
        it->store.isLost = isLost;
    }
}

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
        RecordProperty("msOf" + std::to_string(n) + "Jobs", static_cast<int>(toMilliseconds(time)));
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

// Under full authority a trial that no write stores kept its worker from all other starts for good.
TEST(Storing, workersAreNotKeptForTrialsThatNoWriteStores)
{
    SlowStore it(0, 1, 8);
    it.rig.fleet.workTime = 2s;
    it.submitDeadly("deadly");
    it.timeUntil([&it] { return it.rig.fleet.crashesUnder[(TaskName{"deadly", 0, 0, 0})] == 1; }, 5s);
    for (int i = 0; i < 800; ++i) {
        it.rig.submit(0, Rig::makeJob("other" + std::to_string(i), 1));
    }
    it.rig.run(it.rig.fleet.crashBehaviour.downTime - 100ms);
    lose(it.rig, [](const StoreChange &change) { return writes(change, ProgressPrefix); });
    it.rig.run(2s);
    const std::map<WorkerId, FakeWorker> before = it.rig.fleet.workers;
    it.rig.run(5s);
    ASSERT_EQ(it.rig.leader(), 0);
    for (const auto &[id, worker] : it.rig.fleet.workers) {
        EXPECT_TRUE(worker.isGone || !before.contains(id) || worker.startCount > before.at(id).startCount) << id;
    }
}

// The order that lets trials go first must not put off the ends of other jobs, which workers keep until they are stored.
TEST(Storing, endsAreStoredInTimeWhileTrialsKeepComing)
{
    constexpr Duration EndLimit = 3s;
    SlowStore it(200);
    it.slowDown();
    std::map<JobKey, TimePoint> endedAt;
    for (int i = 0; i < 150; ++i) {
        if (i % 10 == 0) {
            it.submitDeadly("deadly" + std::to_string(i));
        }
        for (int k = 0; k < 10; ++k) {
            it.others.push_back("other" + std::to_string(it.others.size()));
            it.rig.submit(0, Rig::makeJob(it.others.back(), 1));
        }
        it.rig.run(200ms);
        for (const JobKey &key : it.others) {
            const bool isEnded = it.rig.fleet.completedTasks.contains({key, 0, 0, 0});
            if (isEnded && it.rig.state(key) != WorkflowState::Completed) {
                const TimePoint since = endedAt.emplace(key, it.rig.clock.now()).first->second;
                EXPECT_LE(it.rig.clock.now() - since, EndLimit) << key;
            }
        }
    }
    EXPECT_GT(it.rig.nodes[0]->node->schedulers().front()->counters().tasksGivenUp, 0U) << "trials went on";
}

// A leader that ended soon after a verdict left nothing of it, and the task crashed more workers under its successor.
TEST(Storing, verdictOutlivesItsLeaderWhateverTheBacklog)
{
    for (const std::size_t n : BacklogSizes) {
        SlowStore it(0, 3);
        it.slowDown();
        it.submitDeadly("deadly");
        const auto verdicts = [&it] {
            const int leader = it.rig.leader();
            const auto schedulers = it.rig.nodes[static_cast<std::size_t>(std::max(0, leader))]->node->schedulers();
            return schedulers.empty() ? 0 : schedulers.front()->counters().tasksGivenUp;
        };
        const TaskName task{"deadly", 0, 0, 0};
        it.timeUntil([&it, &task] { return it.rig.fleet.crashesUnder[task] == 3; }, 30s);
        it.rig.run(it.rig.fleet.crashBehaviour.downTime - 500ms);
        for (std::size_t i = 0; i < n; ++i) {
            it.rig.submit(it.rig.leader(), Rig::makeJob("late" + std::to_string(i), 1));
        }
        it.timeUntil([&verdicts] { return verdicts() > 0; }, 5s);
        ASSERT_GT(verdicts(), 0U);
        it.rig.run(300ms); // two writes
        it.rig.kill(it.rig.leader());
        it.rig.run(200ms);
        EXPECT_EQ(it.rig.state("deadly"), WorkflowState::Failed) << n << " jobs";
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Beside transfers and moves
// ---------------------------------------------------------------------------------------------------------------------

namespace {

/** Shards of two workers each. A service fills one of them so far that it leaves room for small tasks only. */
class ServiceRig : public Rig
{
public:
    ServiceRig()
        : Rig(3, 8, 2)
    {
        run(3s);
        WorkflowSpec spec = makeJob("service", 8);
        spec.steps[0].isLongRunning = true;
        spec.steps[0].need.cpuMillis = 3500;
        fleet.longRunningJobs.insert("service");
        submit(0, spec);
        run(2s);
    }

    /** Half of its tasks find no room in their shard any more. */
    void drainHalf()
    {
        const auto holder = std::find_if(
            fleet.workers.begin(), fleet.workers.end(), [](const auto &it) { return !it.second.running.empty(); });
        holder->second.condition = WorkerCondition::Draining;
        holder->second.leavesInMs = 1000;
        backend.write("workers/" + holder->first, "draining");
    }

    std::vector<JobKey> submitSmall(int n)
    {
        std::vector<JobKey> keys;
        for (int i = 0; i < n; ++i) {
            keys.push_back("small" + std::to_string(m_submitted++));
            WorkflowSpec spec = makeJob(keys.back(), 1);
            spec.steps[0].need.cpuMillis = 100;
            submit(i % 3, spec);
        }
        return keys;
    }

    void expectCompleted(std::span<const JobKey> keys) const
    {
        for (const JobKey &it : keys) {
            EXPECT_EQ(state(it), WorkflowState::Completed) << it;
        }
    }

private:
    int m_submitted = 0;
};

} // namespace

// Nothing else was stored while the outcome of a transfer was unknown.
TEST(Storing, progressIsStoredWhileTheOutcomeOfATransferIsUnknown)
{
    ServiceRig rig;
    int lost = 0;
    lose(rig, [&lost](const StoreChange &change) {
        const bool isTransfer = writes(change, "/t/");
        lost += isTransfer ? 1 : 0;
        return isTransfer;
    });
    rig.drainHalf();
    rig.run(5s);
    ASSERT_GT(lost, 0);
    const std::vector<JobKey> keys = rig.submitSmall(60);
    rig.run(5s);
    rig.expectCompleted(keys);
    lose(rig, {});
    rig.run(5s);
    EXPECT_EQ(rig.fleet.runningTasks(), 8U) << "the transfer is made in the end";
}

// A transfer that waits for a pause between writes would wait for good beside several writes in flight.
TEST(Storing, transferIsNotPutOffByABacklog)
{
    ServiceRig rig;
    for (const auto &it : rig.nodes) {
        it->store.answerTime = 90ms;
    }
    rig.drainHalf();
    std::vector<JobKey> keys;
    for (int i = 0; i < 60; ++i) {
        const std::vector<JobKey> some = rig.submitSmall(20);
        keys.insert(keys.end(), some.begin(), some.end());
        rig.run(100ms);
    }
    const auto running = std::count_if(rig.fleet.workers.begin(), rig.fleet.workers.end(), [](const auto &it) {
        return std::any_of(it.second.running.begin(), it.second.running.end(), [](const FakeRun &run) {
            return run.run.task.job == "service";
        });
    });
    EXPECT_GT(running, 1) << "within 6 s";
    rig.run(10s);
    rig.expectCompleted(keys);
}

// The same for a move of a whole job.
TEST(Storing, progressIsStoredWhileTheOutcomeOfAMoveIsUnknown)
{
    Rig rig(0, 12, 4);
    rig.evacuation = {2s, 8s};
    for (int i = 0; i < 3; ++i) {
        rig.nodes.push_back(std::make_unique<RigNode>(rig.backend, rig.fleet, rig.clock));
        rig.boot(i);
    }
    rig.run(4s);
    int lost = 0;
    lose(rig, [&lost](const StoreChange &change) {
        const bool isMove = !change.removals.empty() && writes(change, RegistrationPrefix);
        lost += isMove ? 1 : 0;
        return isMove;
    });
    int submitted = 0;
    for (int i = 0; i < 6; ++i) {
        for (int k = 0; k < 10; ++k) {
            rig.submit(k % 3, Rig::makeJob("job" + std::to_string(submitted++), 1, 2));
        }
        rig.run(100ms);
    }
    rig.backend.write("operator/evacuate/d0", "{}");
    rig.run(3s);
    ASSERT_GT(lost, 0);
    for (const TaskName &it : rig.fleet.completedTasks) {
        const auto stored = rig.backend.items.find(std::string(ProgressPrefix) + it.job);
        ASSERT_NE(stored, rig.backend.items.end()) << it.job;
        EXPECT_TRUE(decodeIsDone(stored->second.value, it)) << it.job << " step " << it.step;
    }
    lose(rig, {});
    rig.run(10s);
    for (int i = 0; i < submitted; ++i) {
        EXPECT_EQ(rig.state("job" + std::to_string(i)), WorkflowState::Completed) << i;
    }
}

namespace {

/** Puts @p n suspected tasks of another shard's service into the inbox. */
void giveSuspects(Rig &rig, const JobKey &key, std::uint32_t n)
{
    GivenTask given;
    given.accepted.spec = Rig::makeJob(key, n);
    given.accepted.spec.steps[0].isLongRunning = true;
    given.accepted.spec.steps[0].need.cpuMillis = 100;
    given.accepted.queue = "queue";
    given.accepted.pool = "pool";
    given.accepted.acceptedMs = rig.clock.wallNow().count();
    rig.fleet.longRunningJobs.insert(key);
    for (std::uint32_t i = 0; i < n; ++i) {
        given.index = i;
        given.crashes = {{1, CrashRole::Start, n, {key, 1}}};
        rig.backend.write(givenTaskKey(makeShardKeys(0), key, 0, i), encodeGivenTask(given));
    }
}

} // namespace

// Of a service with more tasks than a write has room for, only the first ones were stored, and all were taken for stored.
TEST(Storing, trialsOfAllGivenTasksAreStoredBeforeTheyStart)
{
    constexpr std::uint32_t Tasks = 40;
    Rig rig(1, 40);
    rig.run(1s);
    giveSuspects(rig, "guest", Tasks);
    std::set<TaskName> seen;
    for (const TimePoint until = rig.clock.now() + 60s; seen.size() < Tasks && rig.clock.now() < until;) {
        rig.run(StepTime);
        for (const auto &[id, worker] : rig.fleet.workers) {
            for (const FakeRun &it : worker.running) {
                if (seen.insert(it.run.task).second) {
                    const std::string record = givenTaskKey(makeShardKeys(0), "guest", 0, it.run.task.index);
                    const auto trial = decodeGivenTask(rig.backend.items.at(record).value).trial;
                    EXPECT_TRUE(trial && trial->attempt == it.run.attempt) << it.run.task.index;
                }
            }
        }
    }
    EXPECT_EQ(seen.size(), Tasks);
}

// The records of the first job by its key were tried again and again, and those of others were never stored.
TEST(Storing, givenTaskThatAlwaysConflictsKeepsNoOthersWaiting)
{
    Rig rig(1, 40);
    rig.run(1s);
    giveSuspects(rig, "a", 1);
    giveSuspects(rig, "b", 1);
    rig.run(StepTime);
    ++rig.backend.revision;
    rig.backend.remove(givenTaskKey(makeShardKeys(0), "a", 0, 0));
    rig.run(5s);
    EXPECT_TRUE(rig.fleet.startedJobs.contains("b"));
}

// ---------------------------------------------------------------------------------------------------------------------
// Lost and late answers
// ---------------------------------------------------------------------------------------------------------------------

namespace {

constexpr std::uint64_t DefaultSeeds = 30;

/** What the store holds of each job, as later writes must not take it back. */
class StoredStates
{
public:
    explicit StoredStates(Rig &rig)
        : m_rig(rig)
    {
        for (const auto &it : rig.nodes) {
            it->store.onChange = [this](const StoreChange &change) { check(change); };
        }
    }

    /** Nothing is acknowledged to workers that is not stored. */
    void checkAcknowledged()
    {
        for (const TaskName &it : m_rig.fleet.acknowledgedTasks) {
            if (!m_seen.contains(it)) {
                const auto stored = m_rig.backend.items.find(std::string(ProgressPrefix) + it.job);
                ASSERT_NE(stored, m_rig.backend.items.end()) << it.job;
                EXPECT_TRUE(decodeIsDone(stored->second.value, it)) << it.job;
                m_seen.insert(it);
            }
        }
    }

private:
    /** No stored end is taken back, neither of a task nor of the job. */
    void check(const StoreChange &change)
    {
        for (const StorePut &put : change.puts) {
            if (!put.key.starts_with(ProgressPrefix)) {
                continue;
            }
            const JobKey key = put.key.substr(ProgressPrefix.size());
            for (const TaskName &it : m_done[key]) {
                EXPECT_TRUE(decodeIsDone(put.value, it)) << key << " task " << it.index << " was done";
            }
            EXPECT_TRUE(!m_final.contains(key) || isFinal(decodeState(put.value))) << key << " had ended";
            for (const TaskName &it : m_rig.fleet.completedTasks) {
                if (it.job == key && decodeIsDone(put.value, it)) {
                    m_done[key].insert(it);
                }
            }
            if (isFinal(decodeState(put.value))) {
                m_final.insert(key);
            }
        }
    }

    Rig &m_rig;
    std::map<JobKey, std::set<TaskName>> m_done;
    std::set<JobKey> m_final;
    std::set<TaskName> m_seen;
};

/** Changes are executed in any order, some after their calls have timed out, and some never; leaders end meanwhile. */
void runLateAnswers(std::uint64_t seed, std::size_t &mostWrites)
{
    std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
    const auto below = [&random](int n) { return std::uniform_int_distribution(0, n - 1)(random); };
    Rig rig(3, 16);
    StoredStates states(rig);
    rig.run(1s);
    for (const auto &it : rig.nodes) {
        it->store.answerTime = std::chrono::milliseconds(10 + below(80));
        it->store.changeDelay = [&below] {
            const int kind = below(20);
            return kind == 0 ? std::chrono::milliseconds(400 + below(4000)) : std::chrono::milliseconds(below(150));
        };
        it->store.isLost = [&below](const StoreChange &) { return below(30) == 0; };
    }
    int submitted = 0;
    int killed = -1;
    for (int i = 0; i < 100; ++i) {
        for (int k = below(12); k > 0; --k) {
            const int node = below(3);
            if (rig.nodes[static_cast<std::size_t>(node)]->node) {
                rig.submit(node,
                           Rig::makeJob("j" + std::to_string(submitted++), static_cast<std::uint32_t>(1 + below(4))));
            }
        }
        if (killed >= 0 && below(8) == 0) {
            rig.boot(std::exchange(killed, -1));
        } else if (killed < 0 && below(25) == 0 && rig.leader() >= 0) {
            killed = rig.leader();
            rig.kill(killed);
        }
        for (const auto &it : rig.nodes) {
            it->store.lostChangeReplies = below(4) == 0 ? 1 : 0; // executed, and not answered
        }
        for (int k = 0; k < 10; ++k) {
            rig.run(StepTime);
            states.checkAcknowledged();
        }
        if (const int leader = rig.leader(); leader >= 0) {
            for (const WorkflowScheduler *it : rig.nodes[static_cast<std::size_t>(leader)]->node->schedulers()) {
                mostWrites = std::max(mostWrites, it->writesInFlight());
            }
        }
    }
    if (killed >= 0) {
        rig.boot(killed);
    }
    for (const auto &it : rig.nodes) {
        it->store.changeDelay = {};
        it->store.isLost = {};
        it->store.lostChangeReplies = 0;
    }
    rig.run(30s);
    states.checkAcknowledged();
    for (const JobKey &it : rig.fleet.startedJobs) {
        EXPECT_EQ(rig.state(it), WorkflowState::Completed) << it;
    }
    EXPECT_TRUE(rig.fleet.violations.empty()) << rig.fleet.violations.front();
}

} // namespace

// With several writes in flight, an older state that is executed late, or an answer that is lost, must not count for more.
TEST(StoredStates, lostAndLateAnswersTakeNothingBack)
{
    const std::uint64_t from = readEnvironment("WORKFLOW_SEED", 1);
    const std::uint64_t n = readEnvironment("WORKFLOW_RUNS", DefaultSeeds);
    std::size_t mostWrites = 0;
    for (std::uint64_t seed = from; seed < from + n && !::testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        runLateAnswers(seed, mostWrites);
    }
    EXPECT_GT(mostWrites, 1U) << "several writes were in flight";
}

// ---------------------------------------------------------------------------------------------------------------------
// Status
// ---------------------------------------------------------------------------------------------------------------------

namespace {

/** A shard with jobs that no worker may run; its status is read back from the store. */
class StatusInStore
{
public:
    StatusInStore()
    {
        rig.run(1s);
    }

    void submit(int jobs)
    {
        for (int i = 0; i < jobs; ++i) {
            keys.push_back("job" + std::to_string(keys.size()));
            WorkflowSpec spec = Rig::makeJob(keys.back(), 1);
            spec.steps[0].requiredLabel = "nowhere";
            rig.submit(rig.leader(), spec);
        }
    }

    /** The next write that holds @p key gets no answer, and is executed after @p delay. */
    void delayNextWriteOf(const std::string &key, Duration delay)
    {
        FakeStore &store = rig.nodes[static_cast<std::size_t>(rig.leader())]->store;
        store.lostChangeDelay = delay;
        store.isDelayed = [this, key](const StoreChange &change) {
            const bool holdsKey = std::any_of(
                change.puts.begin(), change.puts.end(), [&key](const StorePut &it) { return it.key == key; });
            const bool isDelayed = holdsKey && !hasDelayed;
            hasDelayed = hasDelayed || isDelayed;
            return isDelayed;
        };
    }

    std::uint32_t pending() const
    {
        const auto found = rig.backend.items.find(makeShardKeys(0).status);
        const auto pending = found == rig.backend.items.end() ? ShardStatus{} : decodeStatus(found->second.value);
        const auto queue = pending.pending.find("queue");
        return queue == pending.pending.end() ? 0 : queue->second;
    }

    Rig rig{2, 2};
    std::vector<JobKey> keys;
    bool hasDelayed = false;
};

} // namespace

// Guards against MIXED: a status without an answer was executed after later ones, and every node showed its numbers from then on.
TEST(Status, lateWriteDoesNotReplaceALaterOne)
{
    StatusInStore shard;
    shard.delayNextWriteOf(makeShardKeys(0).status, 4s);
    shard.submit(1);
    shard.rig.run(1s);
    ASSERT_TRUE(shard.hasDelayed);
    shard.submit(11);
    shard.rig.run(2s);
    EXPECT_EQ(shard.pending(), 12U);
    shard.rig.run(4s);
    EXPECT_EQ(shard.pending(), 12U);
}

// Guards against MIXED: the status that a late write brings back is the one of an empty shard, or differs from it.
TEST(Status, lateWriteIsReplacedAlsoByThatOfAnEmptyShard)
{
    for (const Duration delay : {600ms, 4000ms}) {
        StatusInStore shard;
        shard.delayNextWriteOf(makeShardKeys(0).status, delay);
        shard.submit(1);
        shard.rig.run(300ms);
        ASSERT_TRUE(shard.hasDelayed);
        shard.rig.cancel(shard.rig.leader(), shard.keys.front());
        shard.rig.run(6s);
        EXPECT_EQ(shard.pending(), 0U);
    }
}

// Guards against MIXED: a new leader without jobs leaves the status of the former one, whose last jobs ended unnoticed.
TEST(Status, newLeaderReplacesThatOfTheFormerOne)
{
    StatusInStore shard;
    shard.submit(3);
    shard.rig.run(2s);
    EXPECT_EQ(shard.pending(), 3U);
    const int former = shard.rig.leader();
    for (const JobKey &it : shard.keys) {
        shard.rig.cancel(1 - former, it);
    }
    shard.rig.run(20ms);
    shard.rig.kill(former);
    shard.rig.run(15s);
    EXPECT_EQ(shard.pending(), 0U);
}

// Guards against MIXED and LOST: progress that is written beside a status in doubt is stored at once.
TEST(Status, statusInDoubtDelaysNoProgress)
{
    StatusInStore shard;
    shard.delayNextWriteOf(makeShardKeys(0).status, 1200ms);
    shard.submit(1);
    shard.rig.run(1s);
    ASSERT_TRUE(shard.hasDelayed);
    for (int i = 0; i < 20; ++i) {
        const JobKey key = "short" + std::to_string(i);
        shard.rig.submit(shard.rig.leader(), Rig::makeJob(key, 1));
        shard.rig.run(600ms);
        EXPECT_EQ(shard.rig.state(key), WorkflowState::Completed) << key;
    }
    EXPECT_EQ(shard.pending(), 1U);
}

} // namespace QuetzalRock::Workflow
