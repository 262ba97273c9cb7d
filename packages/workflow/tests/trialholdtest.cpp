/** Trials that last until their run ends: how long they keep their worker from tasks that can run on no other one. */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

constexpr Duration LongestWait = 3s; ///< of a task whose turn has come, with a worker that has room for it
constexpr Duration LateCrash = 3500ms;
constexpr Duration LongWork = 100s;

/** A pool of one worker, which comes back under its id after a crash, beside workers of another pool. */
class OneWorkerPool
{
public:
    OneWorkerPool()
        : rig(3, 10)
    {
        for (auto &[id, worker] : rig.fleet.workers) {
            worker.pool = id == only ? "pool" : "other";
            rig.backend.write("workers/" + id, "changed");
        }
        rig.fleet.crashBehaviour.keepsId = true;
        rig.fleet.crashBehaviour.downTime = 2s;
        rig.run(1s);
    }

    void submitLong(const JobKey &key)
    {
        rig.fleet.workTimes[key] = LongWork;
        rig.submit(rig.leader(), Rig::makeJob(key, 1));
    }

    /** Waits until @p key has been at work for long, and crashes the worker. */
    void crashUnder(const JobKey &key)
    {
        runUntilAtWork(key);
        rig.run(LateCrash);
        ASSERT_TRUE(isAtWork(key));
        rig.fleet.crash(only);
    }

    /** Submits a job that was at work for long at two crashes, so that its third run, now under way, is tried until its end. */
    void startLongTrial(const JobKey &key)
    {
        submitLong(key);
        crashUnder(key);
        crashUnder(key);
        runUntilAtWork(key);
        rig.run(LateCrash);
    }

    void runUntilAtWork(const JobKey &key)
    {
        const TimePoint until = rig.clock.now() + 20s;
        while (!isAtWork(key) && rig.clock.now() < until) {
            rig.run(StepTime);
        }
        ASSERT_TRUE(isAtWork(key));
    }

    bool isAtWork(const JobKey &key) const
    {
        const auto &runs = rig.fleet.workers.at(only).running;
        return std::any_of(runs.begin(), runs.end(), [&key](const FakeRun &it) { return it.run.task.job == key; });
    }

    /** Submits a short job, and expects it to start in time. */
    void expectStarted(const JobKey &key)
    {
        rig.submit(rig.leader(), Rig::makeJob(key, 1));
        rig.run(LongestWait);
        EXPECT_TRUE(rig.fleet.startedJobs.contains(key)) << key;
    }

    const WorkerId only = "w0";
    Rig rig;
};

} // namespace

// Guards against LOST: a task that had run for long at two crashes was tried until its end, and its worker started nothing else.
TEST(TrialHolds, othersStartBesideATaskThatIsTriedUntilItsEnd)
{
    OneWorkerPool pool;
    pool.startLongTrial("long");
    pool.expectStarted("second");
    pool.expectStarted("third");
    EXPECT_TRUE(pool.isAtWork("long"));
    EXPECT_TRUE(pool.rig.fleet.violations.empty());
}

// Guards against LOST: a suspect that is to be tried until its end waits for a worker without other jobs' tasks, and keeps it from
// others meanwhile.
TEST(TrialHolds, othersStartWhileASuspectWaitsForAQuietWorker)
{
    OneWorkerPool pool;
    pool.submitLong("long");
    pool.submitLong("beside");
    pool.crashUnder("beside");
    pool.runUntilAtWork("beside");
    pool.crashUnder("long");
    pool.rig.run(8s);
    for (int i = 0; i < 8; ++i) {
        pool.expectStarted("other" + std::to_string(i));
    }
    EXPECT_TRUE(pool.isAtWork("long") && pool.isAtWork("beside"));
    EXPECT_TRUE(pool.rig.fleet.violations.empty());
}

// Guards against LOST: a suspect of one crash waits for its trial until the end of another one that lasts.
TEST(TrialHolds, suspectIsTriedBesideATaskThatIsTriedUntilItsEnd)
{
    OneWorkerPool pool;
    pool.startLongTrial("long");
    pool.submitLong("suspect");
    pool.runUntilAtWork("suspect");
    pool.rig.fleet.crash(pool.only);
    pool.rig.run(2s + 2 * LongestWait);
    EXPECT_TRUE(pool.isAtWork("suspect"));
    pool.rig.run(CrashSettings{}.maxTrialDelay);
    EXPECT_TRUE(pool.isAtWork("long"));
    EXPECT_TRUE(pool.rig.fleet.violations.empty());
}

// Guards against BUDGET: a task that crashes its worker late is given up although others start beside it.
TEST(TrialHolds, taskThatCrashesLateBesideOthersIsGivenUp)
{
    for (const Duration interval : {900ms, 200ms}) {
        OneWorkerPool pool;
        pool.rig.fleet.crashBehaviour.delay = 4s;
        const TaskName deadly{"deadly", 0, 0, 0};
        pool.rig.fleet.deadlyTasks.insert(deadly);
        pool.submitLong(deadly.job);
        std::vector<JobKey> others;
        const TimePoint until = pool.rig.clock.now() + 200s;
        while (pool.rig.state(deadly.job) != WorkflowState::Failed && pool.rig.clock.now() < until) {
            others.push_back("other" + std::to_string(others.size()));
            pool.rig.submit(pool.rig.leader(), Rig::makeJob(others.back(), 1));
            pool.rig.run(interval);
        }
        EXPECT_EQ(pool.rig.state(deadly.job), WorkflowState::Failed);
        const CrashSettings settings;
        EXPECT_LE(pool.rig.fleet.crashesUnder[deadly],
                  static_cast<int>(settings.maxPresences + settings.maxStartCrashes));
        pool.rig.run(20s);
        for (const JobKey &it : others) {
            EXPECT_EQ(pool.rig.state(it), WorkflowState::Completed) << it;
        }
        EXPECT_TRUE(pool.rig.fleet.violations.empty());
    }
}

// Guards against BUDGET: of a task that is tried until its end and what starts beside it, the starts are held for a crash.
TEST(TrialHolds, deadlyTaskThatStartsBesideATriedOneIsGivenUp)
{
    OneWorkerPool pool;
    pool.startLongTrial("long");
    pool.rig.fleet.crashBehaviour.delay = 50ms;
    pool.rig.fleet.deadlyTasks.insert({"deadly", 0, 0, 0});
    pool.rig.submit(pool.rig.leader(), Rig::makeJob("deadly", 1));
    pool.rig.run(60s);
    EXPECT_EQ(pool.rig.state("deadly"), WorkflowState::Failed);
    EXPECT_EQ(pool.rig.state("long"), WorkflowState::Running);
    EXPECT_TRUE(pool.isAtWork("long"));
    EXPECT_TRUE(pool.rig.fleet.violations.empty());
}

} // namespace QuetzalRock::Workflow
