/**
 * Starts of different jobs are kept apart while tasks crash the workers that start them.
 *
 * Index of this file
 *   DeadlyArrivals   jobs that arrive all along, some of which have a task that crashes its worker
 *   Separation       how many are suspected, how long the others wait, and what is not held up
 */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

constexpr int Workers = 48;
constexpr int BurstSize = 100; ///< jobs, ten of them with a deadly task
constexpr Duration OutageTime
    = 10s; ///< longest time in which a change of leaders or an outage of the store starts nothing
/** A suspect of the first crashes has its turn within CrashSettings::maxTrialDelay once these are confirmed. */
constexpr Duration WaitBound = CrashSettings{}.maxTrialDelay + 5s;

/** Jobs arrive all along; every @p period-th one has a task that crashes the worker that starts it. Workers report each second. */
class DeadlyArrivals
{
public:
    explicit DeadlyArrivals(int workers = Workers)
        : rig(3, workers)
    {
        rig.fleet.crashBehaviour.delay = 50ms;
        for (const auto &it : rig.nodes) {
            it->port.renewalsWait = true;
        }
        rig.run(1500ms);
    }

    void submit(const JobKey &key, std::uint32_t tasks, bool isDeadly)
    {
        for (std::uint32_t i = 0; isDeadly && i < tasks; ++i) {
            rig.fleet.deadlyTasks.insert({key, 0, 0, i});
        }
        (isDeadly ? deadly : others).push_back(key);
        submittedAt[key] = rig.clock.now();
        rig.submit(std::max(0, rig.leader()), Rig::makeJob(key, tasks));
    }

    /** Runs for @p time, and notes when each job has completed, and what the leader knows of suspects. */
    void run(Duration time)
    {
        const TimePoint until = rig.clock.now() + time;
        while (rig.clock.now() < until) {
            rig.run(20ms);
            for (auto it = submittedAt.begin(); it != submittedAt.end();) {
                const bool isDone = rig.state(it->first) == WorkflowState::Completed;
                if (isDone) {
                    waits[it->first] = rig.clock.now() - it->second;
                }
                it = isDone ? submittedAt.erase(it) : std::next(it);
            }
            noteSuspects();
        }
    }

    /** @p jobs at a moment, every @p period-th one with a deadly task. */
    void burst(int jobs, int period)
    {
        for (int i = 0; i < jobs; ++i) {
            const bool isDeadly = i % period == period / 2;
            submit((isDeadly ? "deadly" : "other") + std::to_string(m_jobs++), 1, isDeadly);
        }
    }

    /** Kills the leader, and boots its node again once another one leads. */
    void changeLeader()
    {
        const int leader = rig.leader();
        if (leader >= 0) {
            rig.kill(leader);
            run(2500ms);
            rig.boot(leader);
        }
    }

    void silenceStore(Duration time)
    {
        for (const auto &it : rig.nodes) {
            it->store.isSilent = true;
        }
        run(time);
        for (const auto &it : rig.nodes) {
            it->store.isSilent = false;
        }
    }

    /** Jobs without a deadly task that have been held for a crash at their start. */
    std::size_t suspectedOthers() const
    {
        return static_cast<std::size_t>(
            std::count_if(others.begin(), others.end(), [this](const JobKey &it) { return suspected.contains(it); }));
    }

    Duration longestWait() const
    {
        Duration longest{};
        for (const JobKey &it : others) {
            const auto found = waits.find(it);
            const auto left = submittedAt.find(it);
            longest = std::max(longest,
                               found != waits.end()        ? found->second
                               : left != submittedAt.end() ? rig.clock.now() - left->second
                                                           : Duration{});
        }
        return longest;
    }

    Rig rig;
    std::vector<JobKey> deadly;
    std::vector<JobKey> others;
    std::map<JobKey, TimePoint> submittedAt; ///< of jobs that have not completed
    std::map<JobKey, Duration> waits;        ///< until their completion, of the others
    std::set<JobKey> suspected;

private:
    void noteSuspects()
    {
        for (const auto &[key, at] : submittedAt) {
            const auto item = rig.backend.items.find(std::string(ProgressPrefix) + key);
            if (suspected.contains(key) || item == rig.backend.items.end()) {
                continue;
            }
            JobState job;
            job.accepted.spec = Rig::makeJob(key, 64);
            resetTasks(job);
            decodeProgress(item->second.value, job);
            for (const TaskState &it : job.occurrences[0].steps[0].tasks) {
                if (isSuspected(CrashSettings{}, it.crashes)) {
                    suspected.insert(key);
                }
            }
        }
    }

    int m_jobs = 0;
};

void report(const DeadlyArrivals &it, int n)
{
    std::cout << n << " deadly: " << it.suspectedOthers() << " of " << it.others.size()
              << " others suspected, longest wait " << std::chrono::duration<double>(it.longestWait()).count() << " s, "
              << it.rig.fleet.mostWorkersDown << " workers down at most, " << it.submittedAt.size() << " unfinished\n";
}

} // namespace

// Each crash held all jobs that had just been started on that worker, and each of them waited for a trial of its own.
TEST(Separation, crashesNameTheirJobOnceAWorkerHasFallenSilent)
{
    DeadlyArrivals it;
    it.burst(50, 10);
    it.run(2s); // the first silence has shown; the crashes are confirmed later
    it.others.clear();
    for (int i = 0; i < 5; ++i) {
        it.burst(50, 10);
        it.run(2s);
    }
    it.run(10s);
    EXPECT_EQ(it.suspectedOthers(), 0U);
    EXPECT_LT(it.longestWait(), WaitBound);
}

// While each worker started one job at a time, its next report was awaited for a second, and all else waited behind that.
TEST(Separation, startsShowSoonEnoughForManyJobsASecond)
{
    DeadlyArrivals it;
    it.submit("deadly", 1, true);
    it.run(2s);
    ASSERT_EQ(it.rig.fleet.mostWorkersDown, 1U);
    it.rig.fleet.workTime = 60s; // each start shows by a report, not by its end
    const std::size_t before = it.rig.fleet.startedJobs.size();
    for (int i = 0; i < 300; ++i) {
        it.submit("other" + std::to_string(i), 1, false);
    }
    it.run(3s);
    constexpr double StartsASecond = (Workers - 1) / 0.65;
    EXPECT_GE(it.rig.fleet.startedJobs.size() - before, static_cast<std::size_t>(3 * StartsASecond));
    it.run(CrashSettings{}.maxSeparationDelay);
    EXPECT_EQ(it.rig.fleet.startedJobs.size() - before, 300U);
}

// A gang needs many workers at a moment at which no other job starts there: its wait for that must have a bound.
TEST(Separation, gangsDoNotWaitForOthersForLong)
{
    DeadlyArrivals it(8);
    it.submit("deadly", 1, true);
    it.run(1s);
    WorkflowSpec gang = Rig::makeJob("gang", 7);
    gang.steps[0].isGang = true;
    gang.steps[0].maxPerWorker = 1;
    it.others.push_back("gang");
    it.submittedAt["gang"] = it.rig.clock.now();
    it.rig.submit(it.rig.leader(), gang);
    for (int i = 0; i < 100; ++i) { // more than these workers start separately
        it.submit("other" + std::to_string(i), 1, false);
        it.run(80ms);
    }
    ASSERT_TRUE(it.waits.contains("gang"));
    EXPECT_LT(it.waits["gang"], CrashSettings{}.maxSeparationDelay + 2s);
}

// Tasks of one job start together, and tasks that have started up before start beside any: neither waits for the others.
TEST(Separation, widerJobsAndLastingTasksAreNotHeldUp)
{
    DeadlyArrivals it(4);
    WorkflowSpec lasting = Rig::makeJob("lasting", 6);
    lasting.steps[0].isLongRunning = true;
    it.rig.fleet.longRunningJobs.insert("lasting");
    it.rig.submit(it.rig.leader(), lasting);
    it.run(3s);
    ASSERT_EQ(it.rig.fleet.runningTasks(), 6U);
    it.submit("deadly", 1, true);
    it.run(1s);
    it.rig.fleet.workTime = 60s;
    it.submit("wide", 16, false);
    it.submit("other0", 1, false);
    it.submit("other1", 1, false);
    it.run(200ms);
    std::set<WorkerId> holders;
    for (const auto &[id, worker] : it.rig.fleet.workers) {
        for (const FakeRun &run : worker.running) {
            if (run.run.task.job == "wide") {
                holders.insert(id);
            }
        }
    }
    EXPECT_FALSE(holders.empty());
    EXPECT_LE(holders.size(), 2U) << "few workers per job";
    EXPECT_TRUE(it.rig.fleet.startedJobs.contains("other0"));
    for (auto &[id, worker] : it.rig.fleet.workers) { // the lasting tasks have to start again somewhere
        if (!worker.running.empty() && worker.running.front().run.task.job == "lasting" && !holders.contains(id)) {
            worker.condition = WorkerCondition::Draining;
            it.rig.backend.write("workers/" + id, "draining");
            break;
        }
    }
    it.run(4s);
    std::size_t running = 0;
    for (const auto &[id, worker] : it.rig.fleet.workers) {
        running += static_cast<std::size_t>(
            std::count_if(worker.running.begin(), worker.running.end(), [](const FakeRun &run) {
                return run.run.task.job == "lasting";
            }));
    }
    EXPECT_EQ(running, 6U);
}

// Without a crash at a start nothing may change: neither the placement nor how often workers are called.
TEST(Separation, ordinaryCrashesSeparateNothing)
{
    DeadlyArrivals it(8);
    it.rig.fleet.workTime = 60s;
    it.submit("lasting", 8, false);
    it.run(2s);
    it.rig.fleet.crash("w0"); // what runs there has started up
    it.run(2s);
    for (int i = 0; i < 20; ++i) {
        it.submit("other" + std::to_string(i), 1, false);
    }
    it.run(300ms);
    EXPECT_EQ(it.rig.fleet.startedJobs.size(), 21U);
}

// The trial of each deadly task, seconds after its first crash, kept the starts of all others apart anew.
TEST(Separation, crashesInTrialsSeparateNothing)
{
    DeadlyArrivals it(8);
    it.submit("deadly", 1, true);
    it.run(CrashSettings{}.separationTime + 2s);
    ASSERT_EQ(it.rig.state("deadly"), WorkflowState::Failed);
    it.rig.fleet.startedJobs.clear();
    for (int i = 0; i < 20; ++i) {
        it.submit("other" + std::to_string(i), 1, false);
    }
    it.run(300ms);
    EXPECT_EQ(it.rig.fleet.startedJobs.size(), 20U);
}

// The bound on the wait of the others must not grow with the number of deadly tasks.
TEST(Separation, othersDoNotWaitLongerBesideMoreDeadlyTasks)
{
    for (const int n : {10, 60, 200}) {
        DeadlyArrivals it;
        for (int i = 0; i < n; i += 10) {
            it.burst(BurstSize, BurstSize / 10);
            it.run(4s);
        }
        it.run(10s);
        report(it, n);
        EXPECT_LT(it.longestWait(), WaitBound) << n;
        EXPECT_LE(it.suspectedOthers(), BurstSize) << "none but those that start before the first silence shows";
    }
}

// The same with the store away and changes of leaders in between.
TEST(Separation, othersDoNotWaitLongerAcrossOutagesAndElections)
{
    for (const int n : {10, 60}) {
        DeadlyArrivals it;
        for (int i = 0; i < n; i += 10) {
            it.burst(BurstSize, BurstSize / 10);
            it.run(2s);
            if (i % 30 == 0) {
                it.changeLeader();
            } else if (i % 30 == 10) {
                it.silenceStore(4s);
            }
            it.run(4s);
        }
        it.run(10s);
        report(it, n);
        EXPECT_LT(it.longestWait(), WaitBound + OutageTime) << n;
    }
}

} // namespace QuetzalRock::Workflow
