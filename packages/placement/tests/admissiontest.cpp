#include "fixture.h"

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace QuetzalRock::Testing;

namespace {

PlacementEngine makeEngine(int workers, PlacementSettings settings = unlimitedSettings())
{
    PlacementEngine engine(settings);
    for (int it = 0; it < workers; ++it) {
        engine.setWorker(makeWorker(it));
    }
    return engine;
}

/** Starts job 1, reports for 20 s that each task uses @p millis, stops it, and returns how many tasks start again. */
std::size_t startsAfterUse(PlacementEngine &engine, std::int64_t millis)
{
    Placements placements;
    recordStarts(engine.decide(at(0)), placements);
    for (int second = 5; second < 25; ++second) {
        for (const auto &[task, worker] : placements) {
            WorkerReport report = makeReport(worker, second, second);
            report.attempts.push_back(makeEntry(task, millis));
            engine.observe(report, at(second));
        }
    }
    for (const auto &[task, worker] : placements) {
        engine.endAttempt(task, AttemptState::Stopped, 0, at(30));
    }
    return engine.decide(at(31)).starts.size();
}

} // namespace

TEST(Admission, CapacityIsFreedOnlyWhenTheAttemptEnds)
{
    PlacementEngine engine = makeEngine(1);
    engine.addJob(makeJob(1, 1, 8), at(0));
    engine.addJob(makeJob(2, 1, 8), at(0));
    ASSERT_EQ(engine.decide(at(0)).starts.size(), 1U);
    engine.removeTask({1, 0});
    EXPECT_TRUE(engine.decide(at(1)).starts.empty());
    Vm leaving = makeWorker(0);
    engine.setWorker(leaving);
    EXPECT_TRUE(engine.decide(at(600)).starts.empty());
    engine.endAttempt({1, 0}, AttemptState::Stopped, 0, at(601));
    const Decisions after = engine.decide(at(601));
    ASSERT_EQ(after.starts.size(), 1U);
    EXPECT_EQ(after.starts[0].task, (TaskId{2, 0}));
}

TEST(Admission, AbandonedStartReturnsToPending)
{
    PlacementEngine engine = makeEngine(1);
    engine.addJob(makeJob(1, 1, 8), at(0));
    ASSERT_EQ(engine.decide(at(0)).starts.size(), 1U);
    engine.abandonStart({1, 0});
    EXPECT_EQ(engine.decide(at(1)).starts.size(), 1U);
}

TEST(Admission, RestoredAttemptKeepsItsReservationAndIsNotRestarted)
{
    PlacementEngine engine = makeEngine(1);
    engine.addJob(makeJob(1, 1, 8), at(0));
    engine.restoreAttempt({1, 0}, "w0", at(0));
    engine.addJob(makeJob(2, 1, 1), at(0));
    EXPECT_TRUE(engine.decide(at(1)).starts.empty());
}

TEST(Admission, NoStartOnALeavingWorker)
{
    PlacementEngine engine = makeEngine(1);
    Vm vm = makeWorker(0);
    vm.state = VmState::Leaving;
    engine.setWorker(vm);
    engine.addJob(makeJob(1, 1, 1), at(0));
    EXPECT_TRUE(engine.decide(at(0)).starts.empty());
}

TEST(Admission, ServicesSpreadOverWorkersAndRacks)
{
    PlacementEngine engine = makeEngine(32); // 4 racks of 8
    engine.addJob(makeJob(1, 8, 1, WorkloadKind::Service), at(0));
    std::map<std::string, int> racks;
    std::set<WorkerId> workers;
    for (const StartDecision &it : engine.decide(at(0)).starts) {
        workers.insert(it.worker);
        ++racks[engine.ledger().worker(engine.ledger().find(it.worker)).rack];
    }
    EXPECT_EQ(workers.size(), 8U);
    ASSERT_EQ(racks.size(), 4U);
    for (const auto &[rack, n] : racks) {
        EXPECT_EQ(n, 2) << rack;
    }
}

TEST(Admission, UnrunnableJobIsReportedOnceAndBlocksNoOtherJob)
{
    PlacementEngine engine = makeEngine(2);
    engine.addJob(makeJob(1, 1, 9), at(0));
    engine.addJob(makeJob(2, 1, 8), at(0));
    EXPECT_EQ(engine.decide(at(0)).starts.size(), 1U);
    const Decisions later = engine.decide(at(20));
    ASSERT_EQ(later.unrunnable.size(), 1U);
    EXPECT_EQ(later.unrunnable[0].job, 1U);
    EXPECT_NE(later.unrunnable[0].reason.find("9000"), std::string::npos);
    EXPECT_NE(engine.explain({1, 0}).find("no worker has that"), std::string::npos);
    EXPECT_TRUE(engine.decide(at(21)).unrunnable.empty());
    engine.setWorker(makeWorker(7, 16));
    EXPECT_EQ(engine.decide(at(22)).starts.size(), 1U);
}

TEST(Admission, TenantsShareCapacityByWeight)
{
    PlacementEngine engine = makeEngine(15); // 120 processors
    engine.setTenants(std::vector<TenantShardQuota>{{"a", 2}, {"b", 1}});
    for (JobId id = 1; id <= 2; ++id) {
        JobSpec spec = makeJob(id, 200, 1);
        spec.tenant = id == 1 ? "a" : "b";
        engine.addJob(spec, at(0));
    }
    std::map<JobId, int> started;
    for (const StartDecision &it : engine.decide(at(0)).starts) {
        ++started[it.task.job];
    }
    EXPECT_EQ(started[1], 80);
    EXPECT_EQ(started[2], 40);
}

TEST(Admission, TenantNeverExceedsItsQuota)
{
    PlacementEngine engine = makeEngine(4);
    engine.setTenants(std::vector<TenantShardQuota>{{"crew", 1, {5000, Unlimited, 0}}});
    engine.addJob(makeJob(1, 20, 2), at(0));
    EXPECT_EQ(engine.decide(at(0)).starts.size(), 2U);
    EXPECT_NE(engine.explain({1, 19}).find("quota"), std::string::npos);
}

TEST(Admission, SmallTasksDoNotConsumeQuotaNeededByAnEarlierLargeTask)
{
    PlacementEngine engine = makeEngine(2);
    engine.setTenants(std::vector<TenantShardQuota>{{"crew", 1, {8000, Unlimited, 0}}});
    engine.addJob(makeJob(1, 4, 2), at(0));
    ASSERT_EQ(engine.decide(at(0)).starts.size(), 4U);
    engine.addJob(makeJob(2, 1, 6), at(1));
    engine.addJob(makeJob(3, 100, 2), at(2));
    for (std::uint32_t it = 0; it < 3; ++it) {
        EXPECT_TRUE(engine.decide(at(3 + it)).starts.empty());
        engine.endAttempt({1, it}, AttemptState::Finished, 1, at(3 + it));
    }
    const Decisions after = engine.decide(at(20));
    ASSERT_EQ(after.starts.size(), 1U);
    EXPECT_EQ(after.starts[0].task.job, 2U);
}

TEST(Admission, GangStartsAllTasksOrNone)
{
    PlacementEngine engine = makeEngine(2);
    engine.addJob(makeJob(1, 1, 8), at(0));
    ASSERT_EQ(engine.decide(at(0)).starts.size(), 1U);
    JobSpec gang = makeJob(2, 2, 8);
    gang.gang = true;
    engine.addJob(gang, at(1));
    EXPECT_TRUE(engine.decide(at(1)).starts.empty());
    engine.endAttempt({1, 0}, AttemptState::Finished, 1, at(2));
    EXPECT_EQ(engine.decide(at(2)).starts.size(), 2U);
}

TEST(Admission, GangWhoseLearnedSizeCannotBeHadAtOnceStartsWithItsDeclaredSize)
{
    // Declared are six processors in all. Learned are about 25, of which one task's fit on each of the four workers; 46,
    // of 32 that there are; and ten, of a quota of eight.
    const std::vector<std::pair<std::int64_t, std::int64_t>> cases{{4000, Unlimited}, {7000, Unlimited}, {1600, 8000}};
    for (const auto &[usedMillis, quotaMillis] : cases) {
        PlacementEngine engine = makeEngine(4);
        engine.setTenants(std::vector<TenantShardQuota>{{"crew", 1, {quotaMillis, Unlimited, Unlimited}}});
        JobSpec gang = makeJob(1, 6, 1);
        gang.gang = true;
        engine.addJob(gang, at(0));
        EXPECT_EQ(startsAfterUse(engine, usedMillis), 6U) << usedMillis << ": " << engine.explain({1, 0});
    }
}

TEST(Admission, GangReservesItsLearnedSizeIfThatCanBeHadAtOnce)
{
    PlacementEngine engine = makeEngine(4);
    JobSpec gang = makeJob(1, 4, 1);
    gang.gang = true;
    engine.addJob(gang, at(0));
    ASSERT_EQ(startsAfterUse(engine, 4000), 4U);
    EXPECT_GT(engine.ledger().openReserved().cpuMillis, 4 * 4000);
}

TEST(Admission, SmallTasksDoNotDelayABlockedEarlierJob)
{
    PlacementEngine engine = makeEngine(1);
    engine.addJob(makeJob(1, 8, 1), at(0));
    ASSERT_EQ(engine.decide(at(0)).starts.size(), 8U);
    engine.addJob(makeJob(2, 1, 8), at(1));
    engine.addJob(makeJob(3, 100, 1), at(2));
    for (std::uint32_t it = 0; it < 8; ++it) {
        engine.decide(at(3 + it));
        engine.endAttempt({1, it}, AttemptState::Finished, 1, at(3 + it));
    }
    const Decisions after = engine.decide(at(20));
    ASSERT_EQ(after.starts.size(), 1U);
    EXPECT_EQ(after.starts[0].task.job, 2U);
}

TEST(Admission, SmallTasksDoNotConsumeHeadroomNeededByABlockedEarlierJob)
{
    PlacementSettings settings = unlimitedSettings();
    settings.headroomPermille = 250; // batch work may use 12 of 16 processors
    PlacementEngine engine = makeEngine(2, settings);
    engine.addJob(makeJob(1, 12, 1), at(0));
    ASSERT_EQ(engine.decide(at(0)).starts.size(), 12U);
    engine.addJob(makeJob(2, 1, 8), at(1));
    engine.addJob(makeJob(3, 100, 1), at(2));
    Placements placements;
    for (std::uint32_t it = 0; it < 12; ++it) {
        recordStarts(engine.decide(at(3 + it)), placements); // job 3 may use the other worker
        engine.endAttempt({1, it}, AttemptState::Finished, 1, at(3 + it));
    }
    recordStarts(engine.decide(at(20)), placements);
    EXPECT_TRUE(placements.contains({2, 0}));
    EXPECT_EQ(placements.size(), 5U); // and 4 tasks of job 3: 12 processors in all
}

TEST(Admission, JobsBehindABlockedJobUseOtherWorkers)
{
    PlacementEngine engine = makeEngine(4);
    engine.addJob(makeJob(1, 4, 5), at(0));
    ASSERT_EQ(engine.decide(at(0)).starts.size(), 4U);
    engine.addJob(makeJob(2, 1, 8), at(1));
    engine.addJob(makeJob(3, 100, 1), at(2));
    EXPECT_EQ(engine.decide(at(3)).starts.size(), 9U); // 3 on each of the workers that are not held
}

TEST(Admission, UrgentTaskPreemptsTheTaskWithLeastLostWork)
{
    PlacementEngine engine = makeEngine(2);
    engine.addJob(makeJob(1, 1, 8), at(0));
    ASSERT_EQ(engine.decide(at(0)).starts.size(), 1U);
    engine.addJob(makeJob(2, 1, 8), at(100));
    const Decisions second = engine.decide(at(100));
    ASSERT_EQ(second.starts.size(), 1U);
    JobSpec urgent = makeJob(3, 1, 4);
    urgent.urgent = true;
    engine.addJob(urgent, at(120));
    EXPECT_TRUE(engine.decide(at(120)).stops.empty());
    const Decisions preempted = engine.decide(at(120.5));
    ASSERT_EQ(preempted.stops.size(), 1U);
    EXPECT_EQ(preempted.stops[0].task, (TaskId{2, 0})); // loses 20 s of work instead of 120 s
    EXPECT_EQ(preempted.stops[0].inFavourOf, (TaskId{3, 0}));
    EXPECT_TRUE(engine.decide(at(121)).stops.empty());
    engine.endAttempt({2, 0}, AttemptState::Stopped, 0.1, at(121.5));
    const Decisions started = engine.decide(at(121.5));
    ASSERT_EQ(started.starts.size(), 1U);
    EXPECT_EQ(started.starts[0].task.job, 3U);
}

TEST(Admission, UrgentTasksStartWithinTargetOnAFullShard)
{
    constexpr double TargetSeconds = 3.7;   // required start time of urgent work
    constexpr double CheckpointSeconds = 2; // until a stopped task has written its checkpoint
    PlacementSettings settings;             // default rate limits, headroom and eviction limits
    PlacementEngine engine = makeEngine(20, settings);
    engine.addJob(makeJob(1, 1000, 2), at(0));
    Placements placements;
    for (double second = 0; second < 60; second += 1) {
        recordStarts(engine.decide(at(second)), placements);
    }
    ASSERT_GE(placements.size(), 78U); // the shard is full except for the headroom
    JobSpec urgent = makeJob(2, 10, 4);
    urgent.urgent = true;
    engine.addJob(urgent, at(100));
    std::map<TaskId, double> stops;
    std::size_t started = 0;
    for (double second = 100; second <= 100 + TargetSeconds; second += 0.1) {
        for (auto it = stops.begin(); it != stops.end();) {
            if (it->second > second) {
                ++it;
                continue;
            }
            engine.endAttempt(it->first, AttemptState::Stopped, 0.1, at(second));
            it = stops.erase(it);
        }
        const Decisions decisions = engine.decide(at(second));
        for (const StopDecision &it : decisions.stops) {
            stops[it.task] = second + CheckpointSeconds;
        }
        started += std::count_if(
            decisions.starts.begin(), decisions.starts.end(), [](const StartDecision &it) { return it.task.job == 2; });
    }
    EXPECT_EQ(started, 10U);
}

TEST(Admission, StartsAreRateLimited)
{
    PlacementSettings settings = unlimitedSettings();
    settings.workerStartsPerSecond = 2;
    settings.workerStartBurst = 3;
    PlacementEngine engine = makeEngine(1, settings);
    engine.addJob(makeJob(1, 8, 1), at(0));
    EXPECT_EQ(engine.decide(at(0)).starts.size(), 3U);
    EXPECT_TRUE(engine.decide(at(0.4)).starts.empty());
    EXPECT_EQ(engine.decide(at(1)).starts.size(), 2U);
}

TEST(Admission, MassCancellationLeavesNoPendingTasks)
{
    PlacementEngine engine = makeEngine(1);
    for (JobId id = 1; id <= 50; ++id) {
        engine.addJob(makeJob(id, 100, 8), at(0));
    }
    ASSERT_EQ(engine.decide(at(0)).starts.size(), 1U);
    for (JobId id = 1; id <= 50; ++id) {
        for (std::uint32_t it = 0; it < 100; ++it) {
            engine.removeTask({id, it});
        }
    }
    EXPECT_EQ(engine.counters().pendingTasks, 0U);
    EXPECT_EQ(engine.counters().activeTasks, 1U);
    engine.addJob(makeJob(60, 1, 8), at(1));
    EXPECT_TRUE(engine.decide(at(1)).starts.empty());
    engine.endAttempt({1, 0}, AttemptState::Stopped, 0, at(2));
    EXPECT_EQ(engine.decide(at(2)).starts.size(), 1U);
}
