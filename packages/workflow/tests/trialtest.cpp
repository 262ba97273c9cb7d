/**
 * Trials of suspected tasks: how long the innocent ones wait.
 *
 * Index of this file
 *   SuspectBurst     jobs that start beside tasks which crash their workers
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
        for (int i = 0; i < deadlyTasks * (JobsPerDeadlyTask + 1); ++i) {
            const bool isDeadly = i % (JobsPerDeadlyTask + 1) == 0;
            const JobKey key = (isDeadly ? "deadly" : "other") + std::to_string(i);
            if (isDeadly) {
                rig.fleet.deadlyTasks.insert({key, 0, 0, 0});
                deadly.push_back(key);
            } else {
                others.push_back(key);
            }
            rig.submit(rig.leader(), Rig::makeJob(key, 1));
        }
        rig.run(400ms);
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

    std::size_t unfinishedOthers() const
    {
        return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [this](const JobKey &it) {
            return rig.state(it) != WorkflowState::Completed;
        }));
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
    return {guilt, NowMs - waitedMs};
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
}

// A suspect that takes the whole limit never had its turn while others, each of which takes a part, kept coming.
TEST(TrialDecisions, nobodyIsTriedBeforeAnOverdueSuspect)
{
    const CrashSettings settings;
    TrialBudget budget(settings, 20);
    const std::vector<WaitingSuspect> waiting{
        makeSuspect(0.25, 9000), makeSuspect(1, 11'000), makeSuspect(0.5, 12'000)};
    EXPECT_EQ(chooseTrials(settings, waiting, NowMs, budget), (std::vector<std::size_t>{2}));
    budget.add(0.25); // a trial is under way
    const std::span<const WaitingSuspect> others(waiting.data(), 2);
    EXPECT_TRUE(chooseTrials(settings, others, NowMs, budget).empty());
}

// Evidence of older versions says neither which crash it is of nor when that was.
TEST(TrialDecisions, suspectsOfUnknownAgeAreOverdue)
{
    const CrashSettings settings;
    const std::vector<WaitingSuspect> waiting{makeSuspect(0.5, 100), {1, 0}};
    EXPECT_EQ(chooseTrials(settings, waiting, NowMs, TrialBudget(settings, 20)), (std::vector<std::size_t>{1}));
}

TEST(TrialDecisions, guiltGrowsAsOthersAreCleared)
{
    const CrashName crash{"w1", 7};
    const std::vector<CrashEvidence> crashes{{1, CrashRole::Start, 4, crash}};
    EXPECT_DOUBLE_EQ(guiltEstimate(crashes), 0.25);
    EXPECT_DOUBLE_EQ(guiltEstimate(crashes, {{crash, 2}}), 0.5);
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
    for (std::int64_t i = 1; i <= 3; ++i) {
        crashes.push_back({static_cast<std::uint64_t>(i), CrashRole::Start, 2, {"w", i}});
        EXPECT_TRUE(isSuspected(settings, crashes));
        EXPECT_EQ(explainCrash(settings, crashes, {"w", i}), i <= 2);
        EXPECT_EQ(isSuspected(settings, crashes), i > 2);
    }
    crashes.push_back({4, CrashRole::Trial, 1, {"w", 4}});
    EXPECT_FALSE(explainCrash(settings, crashes, {"w", 3})) << "it is likely guilty itself";
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

} // namespace QuetzalRock::Workflow
