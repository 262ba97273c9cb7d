#include "fixture.h"

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace QuetzalRock::Testing;

namespace {

/** Settings that weigh a late service like many evictions. */
PlacementSettings latencyFirstSettings()
{
    PlacementSettings settings = unlimitedSettings();
    settings.weights = {0.9, 0.05, 0.05};
    return settings;
}

/** One worker of 10 processors with a service, and build tasks of 4 processors whose slowdown of it is pinned. */
struct GuardScenario
{
    explicit GuardScenario(const PlacementSettings &settings = latencyFirstSettings(), int builds = 1)
        : engine(settings)
    {
        engine.setWorker(makeWorker(0, 10));
        engine.addJob(makeJob(2, static_cast<std::uint32_t>(builds), 4), at(0));
        started = engine.decide(at(0)).starts.size();
        engine.addJob(makeJob(1, 1, 1, WorkloadKind::Service), at(0));
        started += engine.decide(at(0)).starts.size();
        engine.pinSlowdown("lookup", "build", 2.0);
    }

    /** Delivers a report at @p second with measurements taken @p lag seconds earlier, and returns the decisions. */
    Decisions report(double second, double latencyMs, double lag = 0, AttemptState state = AttemptState::Running)
    {
        WorkerReport report = makeReport("w0", 3600 + second, 3600 + second - lag);
        report.attempts.push_back(makeEntry({1, 0}, 800, latencyMs));
        report.attempts.push_back(makeEntry({2, 0}, state == AttemptState::Throttled ? 1600 : 4000));
        report.attempts.back().state = state;
        engine.observe(report, at(second));
        return engine.decide(at(second));
    }

    PlacementEngine engine;
    std::size_t started = 0;
};

} // namespace

TEST(Guards, ThrottlesBeforeEvicting)
{
    GuardScenario scenario;
    ASSERT_EQ(scenario.started, 2U);
    EXPECT_TRUE(scenario.report(1, 300).throttles.empty()); // one late report is not enough
    const Decisions first = scenario.report(2, 300);
    ASSERT_EQ(first.throttles.size(), 1U);
    EXPECT_TRUE(first.stops.empty());
    Decisions last;
    int evictedAt = 0;
    for (int second = 3; second < 12 && evictedAt == 0; ++second) {
        last = scenario.report(second, 140, 0, AttemptState::Throttled);
        evictedAt = last.stops.empty() ? 0 : second;
    }
    ASSERT_EQ(last.stops.size(), 1U);
    EXPECT_EQ(last.stops[0].task, (TaskId{2, 0}));
    EXPECT_EQ(last.stops[0].mode, StopMode::Checkpoint);
    EXPECT_GE(evictedAt, 5); // not before settleTime after the throttle
}

TEST(Guards, NoSecondActionBeforeReportsReflectTheFirst)
{
    GuardScenario scenario;
    scenario.report(1, 300);
    ASSERT_EQ(scenario.report(2, 300).throttles.size(), 1U);
    for (int second = 3; second < 25; ++second) {
        const Decisions decisions = scenario.report(second, 300, 30);
        EXPECT_TRUE(decisions.stops.empty()) << second; // all reports were measured before the throttle
    }
}

TEST(Guards, NoEvictionWithoutExpectedBenefit)
{
    GuardScenario scenario;
    scenario.engine.pinSlowdown("lookup", "build", 0.0);
    for (int second = 1; second < 60; ++second) {
        const Decisions decisions = scenario.report(second, 900);
        EXPECT_TRUE(decisions.stops.empty());
        EXPECT_TRUE(decisions.throttles.empty());
    }
}

TEST(Guards, NoEvictionWhenItsWeightExceedsTheLatencyGain)
{
    PlacementSettings settings = unlimitedSettings();
    settings.weights = {0.2, 0.45, 0.35};
    GuardScenario scenario(settings);
    for (int second = 1; second < 60; ++second) {
        EXPECT_TRUE(scenario.report(second, second < 3 ? 300 : 140).stops.empty());
    }
}

TEST(Guards, LiftsTheThrottleOnceTheServiceRecovers)
{
    GuardScenario scenario;
    scenario.report(1, 150);
    ASSERT_EQ(scenario.report(2, 150).throttles.size(), 1U);
    int lifted = 0;
    for (int second = 3; second < 60 && lifted == 0; ++second) {
        for (const ThrottleDecision &it : scenario.report(second, 20, 0, AttemptState::Throttled).throttles) {
            EXPECT_EQ(it.permille, 1000);
            lifted = second;
        }
    }
    EXPECT_GE(lifted, 9); // settleTime and five recovered reports
}

TEST(Guards, EvictionsPerMinuteStayWithinBudget)
{
    PlacementSettings settings = latencyFirstSettings();
    settings.evictionsPerMinute = 3;
    settings.urgentEvictionsPerMinute = 1;
    PlacementEngine engine(settings);
    for (int it = 0; it < 10; ++it) {
        engine.setWorker(makeWorker(it, 10));
    }
    engine.addJob(makeJob(2, 10, 4), at(0));
    Placements placements;
    recordStarts(engine.decide(at(0)), placements);
    engine.addJob(makeJob(1, 10, 1, WorkloadKind::Service), at(0));
    recordStarts(engine.decide(at(0)), placements);
    engine.pinSlowdown("lookup", "build", 2.0);
    std::set<TaskId> throttled;
    std::size_t stops = 0;
    for (int second = 1; second < 60; ++second) {
        std::map<WorkerId, WorkerReport> reports;
        for (const auto &[task, worker] : placements) {
            WorkerReport &report = reports.try_emplace(worker, makeReport(worker, second, second)).first->second;
            const bool slow = throttled.contains(task);
            report.attempts.push_back(makeEntry(task, task.job == 1 ? 800 : slow ? 1600 : 4000, 140));
            report.attempts.back().state = slow ? AttemptState::Throttled : AttemptState::Running;
        }
        for (const auto &[worker, report] : reports) {
            engine.observe(report, at(second));
        }
        const Decisions decisions = engine.decide(at(second));
        for (const ThrottleDecision &it : decisions.throttles) {
            throttled.insert(it.task);
        }
        stops += decisions.stops.size();
    }
    EXPECT_EQ(stops, 2U); // the third eviction is reserved for urgent work
    JobSpec urgent = makeJob(3, 10, 9);
    urgent.urgent = true;
    engine.addJob(urgent, at(59));
    stops += engine.decide(at(59.5)).stops.size();
    EXPECT_EQ(stops, 3U);
}

TEST(Guards, BatchTaskWaitsInsteadOfSlowingAServiceNearItsTarget)
{
    PlacementEngine engine(unlimitedSettings());
    engine.pinSlowdown("lookup", "build", 2.0);
    engine.setWorker(makeWorker(0, 10));
    engine.addJob(makeJob(1, 1, 1, WorkloadKind::Service), at(0));
    engine.decide(at(0));
    for (int second = 1; second < 30; ++second) {
        WorkerReport report = makeReport("w0", second, second);
        report.attempts.push_back(makeEntry({1, 0}, 800, 90));
        engine.observe(report, at(second));
    }
    engine.addJob(makeJob(2, 1, 4), at(30));
    EXPECT_TRUE(engine.decide(at(30)).starts.empty());
    EXPECT_NE(engine.explain({2, 0}).find("slow services"), std::string::npos);
    EXPECT_EQ(engine.decide(at(30 + 36000)).starts.size(), 1U); // its worth has grown while it waited
}

TEST(Health, FailingWorkerIsQuarantinedProbedAndReinstated)
{
    PlacementEngine engine(unlimitedSettings());
    engine.setWorker(makeWorker(0));
    engine.setWorker(makeWorker(1));
    double second = 0;
    for (JobId id = 1; engine.workerHealth("w0") == WorkerHealth::Healthy && id < 50; ++id) {
        engine.addJob(makeJob(id, 2, 5), at(second));
        for (const StartDecision &it : engine.decide(at(second)).starts) {
            const bool isFaulty = it.worker == "w0";
            engine.endAttempt(it.task, isFaulty ? AttemptState::Failed : AttemptState::Finished, 0, at(second));
        }
        second += 1;
    }
    ASSERT_EQ(engine.workerHealth("w0"), WorkerHealth::Quarantined);
    EXPECT_EQ(engine.workerHealth("w1"), WorkerHealth::Healthy);
    EXPECT_EQ(engine.counters().jobsAtFault, 0U);
    engine.addJob(makeJob(100, 6, 2), at(second));
    std::vector<TaskId> elsewhere;
    for (const StartDecision &it : engine.decide(at(second)).starts) {
        EXPECT_EQ(it.worker, "w1");
        elsewhere.push_back(it.task);
    }
    second += 31;
    std::vector<StartDecision> probes = engine.decide(at(second)).starts;
    ASSERT_EQ(probes.size(), 1U); // one probe at a time
    EXPECT_EQ(probes[0].worker, "w0");
    engine.endAttempt(probes[0].task, AttemptState::Finished, 1, at(second));
    EXPECT_EQ(engine.workerHealth("w0"), WorkerHealth::Healthy);
}

TEST(Health, JobThatFailsOnEveryWorkerIsReportedFaulty)
{
    PlacementEngine engine(unlimitedSettings());
    for (int it = 0; it < 6; ++it) {
        engine.setWorker(makeWorker(it));
    }
    engine.addJob(makeJob(1, 4, 8), at(0));
    std::vector<UnrunnableJob> named;
    for (double second = 0; second < 600 && named.empty(); second += 1) {
        const Decisions decisions = engine.decide(at(second));
        named = decisions.unrunnable;
        for (const StartDecision &it : decisions.starts) {
            engine.endAttempt(it.task, AttemptState::Failed, 0, at(second));
        }
    }
    ASSERT_EQ(named.size(), 1U);
    EXPECT_EQ(named[0].job, 1U);
    for (int it = 0; it < 6; ++it) {
        EXPECT_EQ(engine.workerHealth("w" + std::to_string(it)), WorkerHealth::Healthy);
    }
}

TEST(Health, JobIsNotReportedFaultyBecauseOfFaultyWorkers)
{
    PlacementEngine engine(unlimitedSettings());
    for (int it = 0; it < 40; ++it) {
        engine.setWorker(makeWorker(it));
    }
    engine.addJob(makeJob(1, 40, 4, WorkloadKind::Service), at(0));
    int failed = 0;
    for (double second = 0; second < 120; second += 1) {
        const Decisions decisions = engine.decide(at(second));
        EXPECT_TRUE(decisions.unrunnable.empty());
        for (const StartDecision &it : decisions.starts) {
            if (engine.ledger().find(it.worker) < 8) { // a fifth of the workers fail every attempt
                engine.endAttempt(it.task, AttemptState::Failed, 0, at(second));
                ++failed;
            }
        }
    }
    EXPECT_GE(failed, 8);
    EXPECT_EQ(engine.counters().activeTasks, 40U);
}

TEST(Health, JobThatFailsOnProvenWorkersIsStoppedAfterFewAttempts)
{
    PlacementEngine engine(unlimitedSettings());
    for (int it = 0; it < 40; ++it) {
        engine.setWorker(makeWorker(it));
    }
    engine.addJob(makeJob(1, 40, 4), at(0));
    for (const StartDecision &it : engine.decide(at(0)).starts) {
        engine.endAttempt(it.task, AttemptState::Finished, 1, at(1));
    }
    engine.addJob(makeJob(2, 1, 4), at(2));
    int failed = 0;
    for (double second = 2; second < 200; second += 1) {
        for (const StartDecision &it : engine.decide(at(second)).starts) {
            engine.endAttempt(it.task, AttemptState::Failed, 0, at(second));
            ++failed;
        }
    }
    EXPECT_EQ(engine.counters().jobsAtFault, 1U);
    EXPECT_LE(failed, 12);
}

TEST(LearnedSizes, MeasuredOveruseRaisesLaterReservations)
{
    PlacementEngine engine(unlimitedSettings());
    engine.setWorker(makeWorker(0, 10, 10000));
    engine.addJob(makeJob(1, 20, 1), at(0));
    ASSERT_EQ(engine.decide(at(0)).starts.size(), 10U);
    WorkerReport report = makeReport("w0", 10, 10);
    report.attempts.push_back(makeEntry({1, 0}, 1000));
    report.attempts.back().usage.memoryMib = 5000;
    engine.observe(report, at(10));
    for (std::uint32_t it = 0; it < 10; ++it) {
        engine.endAttempt({1, it}, AttemptState::Finished, 1, at(11));
    }
    report.attempts.clear();
    report.workerClock = report.measuredAt = WorkerTime(12000);
    engine.observe(report, at(12));
    EXPECT_EQ(engine.decide(at(12)).starts.size(), 1U); // learned size of 5500 MiB: one task fits instead of ten
}
