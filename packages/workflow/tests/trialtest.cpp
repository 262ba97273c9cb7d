/**
 * Trials of suspected tasks: how long the innocent ones wait.
 *
 * Index of this file
 *   SuspectBurst     jobs that start beside tasks which crash their workers
 *   InnocentSuspect  a suspect of an ordinary crash
 *   StoredSuspects   suspects that a new leader finds in the store
 *   TrialDecisions   which suspects are tried next, and which crashes are explained
 *   Trials           bounds on the wait of suspects
 */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

constexpr int Workers = 66;
constexpr int JobsPerDeadlyTask = 4;

/** Some jobs of one task each crash the worker that starts it; others start beside them, in no order. */
class SuspectBurst
{
public:
    explicit SuspectBurst(int deadlyTasks)
        : rig(3, Workers)
    {
        rig.fleet.crashBehaviour.delay = 50ms;
        rig.run(1s);
        for (int i = 0; i < deadlyTasks; ++i) {
            submitDeadly();
            for (int k = 0; k < JobsPerDeadlyTask; ++k) {
                others.push_back("other" + std::to_string(others.size()));
                rig.submit(rig.leader(), Rig::makeJob(others.back(), 1));
            }
        }
        rig.run(400ms);
    }

    void submitDeadly()
    {
        deadly.push_back("deadly" + std::to_string(deadly.size()));
        rig.fleet.deadlyTasks.insert({deadly.back(), 0, 0, 0});
        rig.submit(rig.leader(), Rig::makeJob(deadly.back(), 1));
    }

    /** Kills the leader, and boots its node again once another one leads. */
    void changeLeader()
    {
        const int leader = rig.leader();
        if (leader >= 0) {
            rig.kill(leader);
            rig.run(2500ms);
            rig.boot(leader);
        }
    }

    /** The store answers nobody for @p time. */
    void silenceStore(Duration time)
    {
        for (const auto &it : rig.nodes) {
            it->store.isSilent = true;
        }
        rig.run(time);
        for (const auto &it : rig.nodes) {
            it->store.isSilent = false;
        }
    }

    std::size_t unfinishedOf(std::span<const JobKey> jobs) const
    {
        return static_cast<std::size_t>(std::count_if(
            jobs.begin(), jobs.end(), [this](const JobKey &it) { return rig.state(it) != WorkflowState::Completed; }));
    }

    std::set<RunName> runsOf(const JobKey &job) const
    {
        std::set<RunName> runs;
        for (const auto &[id, worker] : rig.fleet.workers) {
            for (const FakeRun &it : worker.running) {
                if (it.run.task.job == job) {
                    runs.insert(it.run);
                }
            }
        }
        return runs;
    }

    std::size_t unfinishedOthers() const
    {
        return unfinishedOf(others);
    }

    /** In which one crash of each deadly task can show if trials keep down as many workers as they may, and a margin. */
    Duration timeOfTrials() const
    {
        const Duration crash = rig.fleet.crashBehaviour.downTime + 1s;
        const double atATime = CrashSettings{}.maxShareAtRisk * Workers;
        const auto trials
            = static_cast<double>(deadly.size()) / atATime * std::chrono::duration<double, Duration::period>(crash);
        return 10s + std::chrono::duration_cast<Duration>(trials);
    }

    void expectVerdicts()
    {
        EXPECT_EQ(unfinishedOthers(), 0U);
        for (const JobKey &it : deadly) {
            EXPECT_EQ(rig.state(it), WorkflowState::Failed) << it;
            EXPECT_LE(rig.fleet.startsAfterThree[(TaskName{it, 0, 0, 0})], 2) << it;
        }
        EXPECT_TRUE(rig.fleet.violations.empty());
    }

    Rig rig;
    std::vector<JobKey> deadly;
    std::vector<JobKey> others;
};

constexpr std::array<int, 3> BurstSizes{1, 10, 30};

/** An innocent task that had just been started on a worker that crashes by itself. */
class InnocentSuspect
{
public:
    InnocentSuspect()
        : rig(3, 8)
    {
        rig.decoder.catalog.version = 2;
        rig.decoder.catalog.pools = {{"pool", true, true}};
        rig.backend.write("operator/config", "2");
        rig.run(1s);
        rig.submit(rig.leader(), Rig::makeJob(key, 1));
        runUntil([this] { return !holder().empty(); });
        crashed = holder();
        rig.fleet.crash(crashed);
    }

    template<typename Condition>
    void runUntil(Condition isMet)
    {
        const TimePoint until = rig.clock.now() + 10s;
        while (!isMet() && rig.clock.now() < until) {
            rig.run(StepTime);
        }
        ASSERT_TRUE(isMet());
    }

    /** A worker that runs something; empty: none does. */
    WorkerId holder() const
    {
        const auto it = std::find_if(rig.fleet.workers.begin(), rig.fleet.workers.end(), [](const auto &worker) {
            return !worker.second.running.empty();
        });
        return it == rig.fleet.workers.end() ? WorkerId{} : it->first;
    }

    /** The suspect as stored. */
    TaskState stored() const
    {
        JobState job;
        job.accepted.spec = Rig::makeJob(key, 1);
        resetTasks(job);
        if (const auto it = rig.backend.items.find(std::string(ProgressPrefix) + key); it != rig.backend.items.end()) {
            decodeProgress(it->second.value, job);
        }
        return job.occurrences[0].steps[0].tasks[0];
    }

    bool isCompleted() const
    {
        return rig.state(key) == WorkflowState::Completed;
    }

    /** Kills the leader now and after every @p term, and boots its node again, for @p time or until the suspect is done. */
    void runUnderShortTerms(Duration term, Duration time)
    {
        const TimePoint until = rig.clock.now() + time;
        TimePoint killAt = rig.clock.now();
        int killed = -1;
        while (!isCompleted() && rig.clock.now() < until) {
            const int leader = rig.leader();
            if (leader >= 0 && killed < 0 && rig.clock.now() >= killAt) {
                rig.kill(leader);
                killed = leader;
                killAt = rig.clock.now() + term;
            }
            if (killed >= 0 && rig.clock.now() >= killAt - term + 2500ms) {
                rig.boot(std::exchange(killed, -1));
            }
            rig.run(StepTime);
        }
    }

    const JobKey key = "innocent";
    Rig rig;
    WorkerId crashed;
};

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Decisions
// ---------------------------------------------------------------------------------------------------------------------

namespace {

constexpr std::int64_t NowMs = 1'000'000;

WaitingSuspect makeSuspect(double guilt, std::int64_t waitedMs)
{
    return {guilt, NowMs - waitedMs, {}};
}

} // namespace

TEST(TrialDecisions, leastLikelyGuiltyGoFirstAsFarAsTheLimitAllows)
{
    const CrashSettings settings;
    const std::vector<WaitingSuspect> waiting{
        makeSuspect(1, 5000), makeSuspect(0.5, 1000), makeSuspect(0.25, 100), makeSuspect(0.25, 200)};
    EXPECT_EQ(chooseTrials(settings, waiting, NowMs, TrialBudget(settings, 20)), (std::vector<std::size_t>{3, 2, 1}));
    EXPECT_EQ(chooseTrials(settings, waiting, NowMs, TrialBudget(settings, 40)),
              (std::vector<std::size_t>{3, 2, 1, 0}));
    EXPECT_EQ(chooseTrials(settings, waiting, NowMs, TrialBudget(settings, 30)), (std::vector<std::size_t>{3, 2, 1}));
}

// A suspect that takes the whole limit never had its turn while others, each of which takes a part, kept coming.
TEST(TrialDecisions, nobodyIsTriedBeforeAnOverdueSuspect)
{
    const CrashSettings settings;
    TrialBudget budget(settings, 20);
    const std::vector<WaitingSuspect> waiting{
        makeSuspect(0.25, 9000), makeSuspect(1, 11'000), makeSuspect(0.5, 12'000)};
    EXPECT_EQ(chooseTrials(settings, waiting, NowMs, budget), (std::vector<std::size_t>{2}));
    budget.addTrial(0.25, false); // under way
    const std::span<const WaitingSuspect> others(waiting.data(), 2);
    EXPECT_TRUE(chooseTrials(settings, others, NowMs, budget).empty());
}

// Tasks that crash a worker each time they are tried took all places once they had waited for long, and innocent ones none.
TEST(TrialDecisions, guiltyAndOtherSuspectsDoNotWaitForEachOther)
{
    const CrashSettings settings;
    const std::vector<WaitingSuspect> waiting{makeSuspect(1, 40'000),
                                              makeSuspect(1, 39'000),
                                              makeSuspect(1, 38'000),
                                              makeSuspect(0.5, 20'000),
                                              makeSuspect(0.5, 21'000),
                                              makeSuspect(0.5, 22'000),
                                              makeSuspect(0.5, 23'000),
                                              makeSuspect(0.5, 24'000)};
    TrialBudget budget(settings, 60);
    EXPECT_EQ(chooseTrials(settings, waiting, NowMs, budget), (std::vector<std::size_t>{7, 6, 5, 4, 0}));
    budget.addTrial(1, true);
    EXPECT_EQ(chooseTrials(settings, waiting, NowMs, budget), (std::vector<std::size_t>{7, 6, 5, 4}));
    const std::span<const WaitingSuspect> guilty(waiting.data(), 3);
    EXPECT_EQ(chooseTrials(settings, guilty, NowMs, budget), (std::vector<std::size_t>{0, 1}));
}

// Both suspects of a crash were tried at once, which takes a worker down in any case.
TEST(TrialDecisions, suspectsOfOneCrashAreTriedInTurn)
{
    const CrashSettings settings;
    const CrashName crash{"w1", 7};
    std::vector<WaitingSuspect> waiting{{0.5, NowMs - 100, {crash}}, {0.5, NowMs - 100, {crash}}};
    EXPECT_EQ(chooseTrials(settings, waiting, NowMs, TrialBudget(settings, 60)).size(), 1U);
    EXPECT_TRUE(chooseTrials(settings, waiting, NowMs, TrialBudget(settings, 60), {{crash, 0.5}}).empty());
    const std::vector<WaitingSuspect> eight(8, {0.125, NowMs - 100, {crash}});
    EXPECT_EQ(chooseTrials(settings, eight, NowMs, TrialBudget(settings, 60)).size(), 4U);
    waiting[0].guilt = LikelyGuilty; // a crash in a trial has shown that since
    EXPECT_FALSE(chooseTrials(settings, waiting, NowMs, TrialBudget(settings, 60)).empty());
}

// Verdicts came two workers at a time in a shard most of which was idle.
TEST(TrialDecisions, idleWorkersThatTheShardCanSpareLeaveRoomForMoreTrials)
{
    const CrashSettings settings;
    const auto limitOf = [&settings](std::size_t idle, double spare) {
        TrialBudget budget(settings, 60);
        budget.addIdle(idle, spare);
        return budget.limit();
    };
    EXPECT_DOUBLE_EQ(limitOf(0, 60), 3) << "a crash would interrupt something";
    EXPECT_DOUBLE_EQ(limitOf(60, 0), 6) << "what runs needs half of the room";
    EXPECT_DOUBLE_EQ(limitOf(2, 60), 5);
    EXPECT_DOUBLE_EQ(limitOf(60, 20), 8);
    EXPECT_DOUBLE_EQ(limitOf(60, 60), 18);
}

// While tasks that nobody suspected crashed worker after worker, no suspect was tried.
TEST(TrialDecisions, workersThatAreDownLeavePlacesForTrials)
{
    const CrashSettings settings;
    const std::vector<WaitingSuspect> waiting{makeSuspect(1, 11'000), makeSuspect(0.5, 11'000)};
    for (const std::size_t workers : {20U, 60U, 200U}) {
        TrialBudget budget(settings, workers);
        budget.addDown(50);
        EXPECT_FALSE(chooseTrials(settings, waiting, NowMs, budget).empty()) << workers;
        EXPECT_EQ(chooseTrials(settings, waiting, NowMs, budget).size(), workers < 40 ? 1U : 2U);
    }
}

// Evidence of older versions says neither which crash it is of nor when that was.
TEST(TrialDecisions, suspectsOfUnknownAgeAreOverdue)
{
    const CrashSettings settings;
    const std::vector<WaitingSuspect> waiting{makeSuspect(0.5, 100), {1, 0, {}}};
    EXPECT_EQ(chooseTrials(settings, waiting, NowMs, TrialBudget(settings, 20)), (std::vector<std::size_t>{1}));
}

TEST(TrialDecisions, guiltGrowsAsOthersAreCleared)
{
    const CrashName crash{"w1", 7};
    const std::vector<CrashEvidence> crashes{{1, CrashRole::Start, 4, crash}};
    EXPECT_DOUBLE_EQ(guiltEstimate(crashes), 0.25);
    EXPECT_DOUBLE_EQ(guiltEstimate(crashes, {{crash, 2}}), 0.5);
}

// Tasks of one job that had just been started on one worker were all taken for guilty, and tried last.
TEST(TrialDecisions, tasksOfOneJobShareTheSuspicion)
{
    const CrashName crash{"w1", 7};
    const std::vector<CrashEvidence> crashes{{1, CrashRole::Start, 1, crash}}; // one job
    EXPECT_DOUBLE_EQ(guiltEstimate(crashes, {{crash, 4}}), 0.25);
}

TEST(TrialDecisions, crashInATrialExplainsTheCrashesAtStartsOfTheSameTask)
{
    const CrashName first{"w1", 7};
    const CrashName second{"w2", 8};
    std::vector<CrashEvidence> guilty{{1, CrashRole::Start, 3, first}, {2, CrashRole::Present, 5, second}};
    EXPECT_TRUE(crashesExplainedBy(guilty).empty());
    guilty.push_back({3, CrashRole::Trial, 1, {"w3", 9}});
    EXPECT_EQ(crashesExplainedBy(guilty), (std::vector<CrashName>{first})) << "it had run for long at the second";
}

// A deadly task that starts beside others again and again must not be released each time.
TEST(TrialDecisions, aFewCrashesOfATaskCanBeExplained)
{
    const CrashSettings settings;
    std::vector<CrashEvidence> crashes;
    for (std::int64_t i = 1; i <= 2; ++i) {
        crashes.push_back({static_cast<std::uint64_t>(i), CrashRole::Start, 2, {"w", i}});
        EXPECT_TRUE(isSuspected(settings, crashes));
        EXPECT_EQ(explainCrash(settings, crashes, {"w", i}), i == 1);
        EXPECT_EQ(isSuspected(settings, crashes), i > 1);
    }
    crashes.push_back({3, CrashRole::Trial, 1, {"w", 3}});
    EXPECT_FALSE(explainCrash(settings, crashes, {"w", 2})) << "it is likely guilty itself";
    crashes.push_back({4, CrashRole::CoincidentStart, 1, {"w", 4}});
    EXPECT_FALSE(isGivenUp(settings, crashes));
    crashes.push_back({5, CrashRole::CoincidentStart, 1, {"w", 5}});
    EXPECT_TRUE(isGivenUp(settings, crashes)) << "explained crashes count towards the limit of crashes at a start";
}

TEST(TrialDecisions, crashesWithoutANameAreNotExplained)
{
    std::vector<CrashEvidence> crashes{{1, CrashRole::Start, 2}};
    EXPECT_FALSE(explainCrash(CrashSettings{}, crashes, CrashName{}));
}

// ---------------------------------------------------------------------------------------------------------------------
// With a scheduler
// ---------------------------------------------------------------------------------------------------------------------

// Innocent suspects waited for trials of their own, behind two crashes of each deadly task.
TEST(Trials, innocentSuspectsDoNotWaitForEachConviction)
{
    for (const int n : BurstSizes) {
        SuspectBurst burst(n);
        burst.rig.run(burst.timeOfTrials());
        EXPECT_EQ(burst.unfinishedOthers(), 0U) << n << " deadly tasks";
        burst.rig.run(5s * n);
        burst.expectVerdicts();
    }
}

// Deadly tasks kept coming, and their first crashes left no place for the trial of anything.
TEST(Trials, innocentSuspectsDoNotWaitForTheEndOfABurst)
{
    SuspectBurst burst(0);
    std::vector<JobKey> wide;
    for (int i = 0; i < 30; ++i) {
        burst.submitDeadly();
        wide.push_back("wide" + std::to_string(i));
        burst.rig.submit(burst.rig.leader(), Rig::makeJob(wide.back(), 2 * Workers)); // some beside the deadly task
        burst.rig.run(1s);
    }
    EXPECT_EQ(burst.unfinishedOf(std::span(wide).first(12)), 0U) << "submitted 18 s before the end of the burst";
}

// Each of many deadly tasks took one of two places twice, however idle the shard was; the last verdict came after minutes.
TEST(Trials, verdictsOfAnIdleShardDoNotWaitForEachOther)
{
    for (const int n : BurstSizes) {
        SuspectBurst burst(n);
        const Duration crash = burst.rig.fleet.crashBehaviour.downTime + 1s;
        const int places = static_cast<int>(CrashSettings{}.maxShareOfSpare * Workers / 2);
        burst.rig.run(10s + crash * (2 + n / places));
        for (const JobKey &it : burst.deadly) {
            EXPECT_EQ(burst.rig.state(it), WorkflowState::Failed) << it << " of " << n;
        }
        burst.expectVerdicts();
    }
}

// Machines that deadly tasks had crashed were taken for bad ones: the next trials went to workers with running tasks.
TEST(Trials, runsOfOthersOutliveTheTrialsOfDeadlyTasks)
{
    SuspectBurst burst(10);
    burst.rig.run(4s);
    WorkflowSpec lasting = Rig::makeJob("lasting", Workers / 2);
    lasting.steps[0].isLongRunning = true;
    lasting.steps[0].maxPerWorker = 1;
    burst.rig.fleet.longRunningJobs.insert("lasting");
    burst.rig.submit(burst.rig.leader(), lasting);
    burst.rig.run(2s);
    const std::set<RunName> runs = burst.runsOf("lasting");
    EXPECT_EQ(runs.size(), Workers / 2U);
    burst.rig.run(60s);
    burst.expectVerdicts();
    EXPECT_EQ(burst.runsOf("lasting"), runs);
}

// The same with the store away and changes of leaders between the crashes and the trials.
TEST(Trials, innocentSuspectsDoNotWaitForEachConvictionAcrossOutagesAndElections)
{
    for (const int n : BurstSizes) {
        SuspectBurst burst(n);
        burst.rig.run(4s);
        burst.changeLeader();
        burst.silenceStore(8s);
        burst.rig.run(3s);
        burst.changeLeader();
        burst.rig.run(burst.timeOfTrials() - 7s); // in which trials were possible before
        EXPECT_EQ(burst.unfinishedOthers(), 0U) << n << " deadly tasks";
        burst.rig.run(5s * n);
        burst.expectVerdicts();
    }
}

namespace {

/** A node that finds stored suspects when it starts to lead. */
class StoredSuspects
{
public:
    explicit StoredSuspects(int workers)
        : rig(1, workers)
    {
        setReachable(false); // so that nothing starts yet
        rig.run(1s);
    }

    /** Stores the job as a former leader left it; @p change sets its tasks. */
    template<typename Change>
    void add(const WorkflowSpec &spec, Change change)
    {
        rig.submit(0, spec);
        rig.run(200ms);
        JobState job;
        job.accepted.spec = spec;
        job.state = WorkflowState::Running;
        resetTasks(job);
        change(job.occurrences[0].steps[0].tasks);
        m_progress[spec.key] = encodeProgress(job);
    }

    void lead()
    {
        rig.kill(0);
        for (const auto &[key, progress] : m_progress) {
            rig.backend.write("out/" + key, progress);
        }
        setReachable(true);
        rig.boot(0);
    }

    Rig rig;

private:
    void setReachable(bool isReachable)
    {
        for (auto &[id, worker] : rig.fleet.workers) {
            worker.isReachable = isReachable;
        }
    }

    std::map<JobKey, std::string> m_progress;
};

} // namespace

// A trial whose worker never came back counted against the limit for good, and kept its task and all others waiting.
TEST(Trials, suspectIsTriedAgainWhenItsWorkerIsLostForGood)
{
    for (const int workers : {10, 66}) {
        StoredSuspects it(workers);
        it.add(Rig::makeJob("a", 1), [&it](std::vector<TaskState> &tasks) {
            tasks[0].crashes = {{1, CrashRole::Start, 1, {"w5", 1}}};
            tasks[0].trial = TaskTrial{2, "w0", it.rig.fleet.workers["w0"].startedAtMs};
        });
        it.lead();
        it.rig.fleet.removeWorker("w0", false);
        it.rig.run(40s);
        EXPECT_EQ(it.rig.state("a"), WorkflowState::Completed) << workers;
    }
}

// Suspects that no worker has room for took the turn of all others, pass after pass.
TEST(Trials, suspectsWithoutRoomDoNotKeepOthersWaiting)
{
    for (const int workers : {4, 66}) {
        StoredSuspects it(workers);
        for (int i = 0; i < 30; ++i) {
            WorkflowSpec spec = Rig::makeJob("large" + std::to_string(i), 1);
            spec.steps[0].need.cpuMillis = 100'000;
            it.add(spec, [i](std::vector<TaskState> &tasks) {
                tasks[0].crashes = {{1, CrashRole::Start, 1, {"large", i + 1}}};
            });
        }
        it.add(Rig::makeJob("small", 1), [](std::vector<TaskState> &tasks) {
            tasks[0].crashes = {{1, CrashRole::Start, 1, {"small", 1}, 1}};
        });
        it.lead();
        it.rig.run(12s);
        EXPECT_EQ(it.rig.state("small"), WorkflowState::Completed) << workers;
    }
}

// A trial went to an empty worker that rejected each start, again and again.
TEST(Trials, workersThatRejectStartsDoNotKeepASuspectWaiting)
{
    StoredSuspects it(10);
    it.add(Rig::makeJob("a", 1), [](std::vector<TaskState> &tasks) {
        tasks[0].crashes = {{1, CrashRole::Start, 1, {"w10", 1}}};
    });
    for (int i = 0; i < 9; ++i) {
        it.rig.nodes[0]->port.fullWorkers.insert("w" + std::to_string(i));
    }
    it.lead();
    it.rig.run(20s);
    EXPECT_EQ(it.rig.state("a"), WorkflowState::Completed);
}

// Smaller tasks took each freed piece of a worker, and nothing was reserved for a suspect that needs most of one.
TEST(Trials, suspectIsTriedWhileSmallerTasksTakeEachFreedPiece)
{
    for (const bool doLeadersChange : {false, true}) {
        StoredSuspects it(3);
        WorkflowSpec large = Rig::makeJob("large", 1);
        large.steps[0].need.cpuMillis = 16'000;
        it.add(large, [](std::vector<TaskState> &tasks) {
            tasks[0].crashes = {{1, CrashRole::Start, 1, {"w10", 1}}};
            tasks[0].trial = TaskTrial{2, "w2"}; // until its outcome is known, others take all room
        });
        it.rig.nodes[0]->port.unreachableWorkers = {"w2"};
        it.rig.nodes[0]->port.renewalsWait = true;
        it.lead();
        int submitted = 0;
        const auto overload = [&](Duration time) {
            for (const TimePoint until = it.rig.clock.now() + time; it.rig.clock.now() < until;) {
                WorkflowSpec small = Rig::makeJob("small" + std::to_string(submitted++), 1);
                small.steps[0].need.cpuMillis = 4000;
                it.rig.submit(0, small);
                it.rig.run(30ms);
            }
        };
        overload(25s);
        if (doLeadersChange) {
            it.rig.kill(0);
            it.rig.boot(0);
        }
        overload(25s);
        EXPECT_EQ(it.rig.state("large"), WorkflowState::Completed) << doLeadersChange;
    }
}

// The members of a gang were tried with the checkpoint that each had.
TEST(Trials, membersOfAGangAreTriedWithTheSameCheckpoint)
{
    StoredSuspects it(4);
    WorkflowSpec gang = Rig::makeJob("gang", 2);
    gang.steps[0].isGang = true;
    it.rig.fleet.workTime = 60s;
    it.add(gang, [](std::vector<TaskState> &tasks) {
        tasks[0].crashes = {{1, CrashRole::Start, 1, {"w5", 1}}};
        tasks[1].checkpoint = "saved";
    });
    it.lead();
    it.rig.run(15s);
    std::vector<std::string> checkpoints;
    for (const auto &[id, worker] : it.rig.fleet.workers) {
        for (const FakeRun &run : worker.running) {
            checkpoints.push_back(run.checkpoint);
        }
    }
    EXPECT_EQ(checkpoints, (std::vector<std::string>{"saved", "saved"}));
}

// A stored trial may have ended well, or never have begun, when its leader ended. Its worker's crash convicted the task.
TEST(Trials, crashAfterAnEndedLeadershipIsNoProof)
{
    StoredSuspects it(4);
    it.add(Rig::makeJob("innocent", 1), [&it](std::vector<TaskState> &tasks) {
        tasks[0].crashes = {{1, CrashRole::Start, 2}, {2, CrashRole::Trial, 1}};
        tasks[0].trial = TaskTrial{3, "w0", it.rig.fleet.workers["w0"].startedAtMs};
    });
    it.rig.fleet.restartWorker("w0");
    it.rig.backend.write("workers/w0", "back");
    it.lead();
    it.rig.run(30s);
    EXPECT_EQ(it.rig.state("innocent"), WorkflowState::Completed);
}

// A trial that is known to have begun would otherwise take a worker more with each leader that ends.
TEST(Trials, crashOfATrialThatHadBegunCountsUnderTheNextLeader)
{
    StoredSuspects it(4);
    it.add(Rig::makeJob("guilty", 1), [&it](std::vector<TaskState> &tasks) {
        tasks[0].crashes = {{1, CrashRole::Start, 2}, {2, CrashRole::Trial, 1}};
        tasks[0].trial = TaskTrial{3, "w0", it.rig.fleet.workers["w0"].startedAtMs};
        tasks[0].trial->isOrdered = true;
    });
    it.rig.fleet.restartWorker("w0");
    it.rig.backend.write("workers/w0", "back");
    it.lead();
    it.rig.run(30s);
    EXPECT_EQ(it.rig.state("guilty"), WorkflowState::Failed);
}

// The worker of a trial that had ended well took other starts, and their crash was one of the trial for the next leader.
TEST(Trials, othersStartOnTheWorkerOfATrialOnceItsEndIsStored)
{
    InnocentSuspect it;
    it.rig.fleet.workTime = 1s;
    it.rig.submit(it.rig.leader(), Rig::makeJob("other", 1300, 1));
    const auto runsOn = [&it](const WorkerId &id) {
        const auto &running = it.rig.fleet.workers[id].running;
        return std::any_of(
            running.begin(), running.end(), [&it](const FakeRun &run) { return run.run.task.job == it.key; });
    };
    it.runUntil([&] { return it.stored().trial && runsOn(it.stored().trial->worker); });
    const WorkerId tried = it.stored().trial->worker;
    it.rig.run(200ms); // in which the record follows the order
    const auto setSilent = [&it](bool isSilent) {
        for (const auto &node : it.rig.nodes) {
            node->store.isSilent = isSilent;
        }
    };
    setSilent(true);
    const auto before = it.rig.fleet.workers[tried].startCount;
    it.rig.run(4s);
    ASSERT_TRUE(it.stored().trial);
    EXPECT_FALSE(runsOn(tried));
    EXPECT_EQ(it.rig.fleet.workers[tried].startCount, before);
    setSilent(false);
    it.rig.run(3s);
    EXPECT_GT(it.rig.fleet.workers[tried].startCount, before);
    EXPECT_TRUE(it.isCompleted());
}

// Each successor waited anew for the outcome of a trial whose worker was gone: under short terms, for ever.
TEST(Trials, waitForAnOutcomeDoesNotBeginAnewUnderEachLeader)
{
    const Duration wait = WorkflowSettings{}.workerLease + CrashSettings{}.verdictTimeout;
    for (const bool isOrdered : {true, false}) {
        for (const Duration term : {9s, 10s, 11s}) {
            InnocentSuspect it;
            it.runUntil([&it] { return it.stored().trial.has_value(); });
            if (isOrdered) {
                it.runUntil([&it] { return !it.holder().empty(); });
            }
            it.rig.fleet.removeWorker(it.stored().trial->worker, false);
            it.runUnderShortTerms(term, wait + term + 1s);
            EXPECT_TRUE(it.isCompleted()) << std::chrono::duration_cast<std::chrono::seconds>(term).count() << " s";
        }
    }
}

// A worker that no leader reaches runs the trial until its lease has expired, also if the wait for the outcome is over.
TEST(Trials, trialOnAnUnreachableWorkerDoesNotRunTwice)
{
    for (const Duration term : {3s, 6s, 9s, 12s}) {
        InnocentSuspect it;
        it.rig.fleet.workTime = 60s;
        it.runUntil([&it] { return it.stored().trial.has_value() && !it.holder().empty(); });
        for (const auto &node : it.rig.nodes) {
            node->port.unreachableWorkers = {it.holder()};
        }
        it.runUnderShortTerms(term, 40s);
        it.rig.fleet.workTime = 300ms;
        it.rig.run(30s);
        EXPECT_TRUE(it.isCompleted());
        EXPECT_TRUE(it.rig.fleet.violations.empty()) << it.rig.fleet.violations.front();
    }
}

// Clocks of nodes differ, and step: no wait is longer than verdictTimeout, and records of older versions say nothing.
TEST(Trials, waitForAnOutcomeIsBoundedWhateverTheClocksSay)
{
    const CrashSettings settings;
    TaskTrial trial;
    EXPECT_EQ(remainingVerdictTime(settings, trial, 5s, 1'000'000), settings.verdictTimeout);
    trial.preparedMs = 1'000'000;
    EXPECT_EQ(remainingVerdictTime(settings, trial, 5s, 1'002'000), settings.verdictTimeout);
    EXPECT_EQ(remainingVerdictTime(settings, trial, 5s, 1'012'000), Duration(3s));
    EXPECT_EQ(remainingVerdictTime(settings, trial, 5s, 1'015'000), Duration::zero());
    EXPECT_EQ(remainingVerdictTime(settings, trial, 5s, 9'000'000), Duration::zero());
    EXPECT_EQ(remainingVerdictTime(settings, trial, 5s, 1), settings.verdictTimeout);
}

// The worker of a trial that could not be stored started nothing else until the store answered again.
TEST(Trials, workersAreNotKeptForTrialsThatCannotBeStored)
{
    InnocentSuspect it;
    it.rig.fleet.workTime = 1s;
    it.rig.submit(it.rig.leader(), Rig::makeJob("other", 1300, 1));
    it.runUntil([&it] { return !it.stored().crashes.empty(); });
    const auto setSilent = [&it](bool isSilent) {
        for (const auto &node : it.rig.nodes) {
            node->store.isSilent = isSilent;
        }
    };
    setSilent(true);
    const std::map<WorkerId, FakeWorker> before = it.rig.fleet.workers;
    it.rig.run(6s);
    for (const auto &[id, worker] : it.rig.fleet.workers) {
        EXPECT_TRUE(id == it.crashed || !before.contains(id) || worker.startCount > before.at(id).startCount) << id;
    }
    setSilent(false);
    it.rig.run(5s);
    EXPECT_TRUE(it.isCompleted());
}

namespace {

/**
 * Long-running tasks of @p jobs jobs start together on one worker, which crashes and is back soon. The worker of the first trial
 * that is ordered then is lost for good. Returns the tasks that it ran, which have met two lost workers.
 */
std::set<JobKey> loseWorkerOfATrial(Rig &rig, int jobs)
{
    rig.fleet.crashBehaviour.keepsId = true;
    rig.fleet.crashBehaviour.downTime = 700ms;
    rig.run(1s);
    for (int i = 0; i < jobs; ++i) {
        WorkflowSpec spec = Rig::makeJob("watch" + std::to_string(i), 1);
        spec.steps[0].isLongRunning = true;
        rig.fleet.longRunningJobs.insert(spec.key);
        rig.submit(rig.leader(), spec);
    }
    rig.run(300ms);
    const auto workerThatRuns = [&rig](const WorkerId &except) {
        WorkerId id;
        for (const auto &[worker, state] : rig.fleet.workers) {
            id = worker != except && !state.running.empty() ? worker : id;
        }
        return id;
    };
    const WorkerId first = workerThatRuns({});
    EXPECT_EQ(rig.fleet.workers[first].running.size(), static_cast<std::size_t>(jobs));
    rig.fleet.crash(first);
    WorkerId second;
    for (int i = 0; i < 500 && second.empty(); ++i) {
        rig.run(StepTime);
        second = workerThatRuns(first);
    }
    EXPECT_FALSE(second.empty());
    rig.run(250ms);
    FakeWorker &lost = rig.fleet.workers[second];
    std::set<JobKey> tried;
    for (const FakeRun &it : lost.running) {
        tried.insert(it.run.task.job);
    }
    lost.running.clear();
    lost.isReachable = false;
    return tried;
}

std::size_t runningOthers(const Rig &rig, const std::set<JobKey> &except)
{
    std::size_t n = 0;
    for (const auto &[id, worker] : rig.fleet.workers) {
        for (const FakeRun &it : worker.running) {
            n += except.contains(it.run.task.job) ? 0 : 1;
        }
    }
    return n;
}

} // namespace

// Guards against LOST: the suspects of a crash waited 15 s for the outcome of the trial of one of them, whose worker was lost.
TEST(Trials, othersDoNotWaitForATrialWhoseWorkerIsLost)
{
    for (const int workers : {4, 10, 66}) {
        for (const int jobs : {2, 4, 8}) {
            Rig rig(2, workers);
            const std::set<JobKey> tried = loseWorkerOfATrial(rig, jobs);
            rig.run(7500ms);
            EXPECT_EQ(runningOthers(rig, tried), static_cast<std::size_t>(jobs) - tried.size())
                << workers << " workers, " << jobs << " jobs";
            EXPECT_TRUE(rig.fleet.violations.empty());
        }
    }
}

// The same across an election, and a short outage of the store.
TEST(Trials, othersDoNotWaitForALostTrialOfAFormerLeader)
{
    for (const bool isOutage : {false, true}) {
        Rig rig(2, 10);
        const std::set<JobKey> tried = loseWorkerOfATrial(rig, 4);
        rig.run(1s);
        if (isOutage) {
            for (const auto &node : rig.nodes) {
                node->store.isSilent = true;
            }
            rig.run(2s);
            for (const auto &node : rig.nodes) {
                node->store.isSilent = false;
            }
        } else {
            rig.kill(rig.leader());
        }
        rig.run(12s);
        EXPECT_EQ(runningOthers(rig, tried), 4 - tried.size()) << isOutage;
        EXPECT_TRUE(rig.fleet.violations.empty());
    }
}

} // namespace QuetzalRock::Workflow
