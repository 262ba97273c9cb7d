#include "fixture.h"

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace QuetzalRock::Testing;

namespace {

constexpr double Noise = 0.15; ///< amplitude of the noise in log latency

/** One worker with a service, and batch tasks of a quiet and a noisy class that start and end; reports arrive late. */
struct InterferenceSimulation
{
    PlacementEngine engine{unlimitedSettings()};
    detail::Random random{7};
    std::deque<std::pair<double, WorkerReport>> reportsInTransit; ///< arrival time, report
    std::map<TaskId, double> shares;
    std::deque<std::tuple<double, double, double>> shareHistory; ///< time, quiet share, noisy share

    double noise()
    {
        return Noise * (random.unit() + random.unit() + random.unit() - 1.5) * 2;
    }

    /** In seconds: @p clock, by which the worker's clock is ahead; @p lag of measurements; @p transit of reports. */
    void run(double clock, double lag, double transit)
    {
        engine.setWorker(makeWorker(0, 100));
        engine.addJob(makeJob(1, 1, 1, WorkloadKind::Service), at(0));
        engine.decide(at(0));
        JobId next = 2;
        std::map<JobId, double> ends;
        for (int second = 1; second < 1500; ++second) {
            const double now = 3600 + second;
            if (second % 7 == 0) {
                JobSpec spec = makeJob(next, 1, 10 + static_cast<std::int64_t>(random.next() % 20));
                spec.className = random.next() % 2 == 0 ? "noisy" : "quiet";
                ends[next] = second + 5 + static_cast<double>(random.next() % 20);
                jobSpecs[next] = spec;
                engine.addJob(spec, at(second));
                engine.restoreAttempt({next, 0}, "w0", at(second)); // bypasses the engine's own choice
                running.insert(next++);
            }
            for (auto it = ends.begin(); it != ends.end();) {
                if (it->second > second) {
                    ++it;
                    continue;
                }
                if (running.erase(it->first) > 0) {
                    engine.endAttempt({it->first, 0}, AttemptState::Finished, 1, at(second));
                }
                it = ends.erase(it);
            }
            engine.decide(at(second));
            recordShares(now);
            sendReport(now, clock, lag, transit);
            while (!reportsInTransit.empty() && reportsInTransit.front().first <= now) {
                engine.observe(reportsInTransit.front().second, at(second));
                reportsInTransit.pop_front();
            }
        }
    }

    void recordShares(double now)
    {
        double quiet = 0;
        double noisy = 0;
        for (const JobId it : running) {
            const JobSpec &spec = jobSpecs.at(it);
            (spec.className == "noisy" ? noisy : quiet) += static_cast<double>(spec.resources.cpuMillis) / 100000;
        }
        shareHistory.emplace_back(now, quiet, noisy);
    }

    void sendReport(double now, double clock, double lag, double transit)
    {
        while (shareHistory.size() > 1 && std::get<0>(shareHistory[1]) <= now - lag) {
            shareHistory.pop_front();
        }
        const auto &[when, quiet, noisy] = shareHistory.front();
        WorkerReport report = makeReport("w0", now + clock, now + clock - lag);
        const double latency = 40 * std::exp(0.1 * quiet + 2.0 * noisy + noise());
        report.attempts.push_back(makeEntry({1, 0}, 800, latency));
        for (const JobId it : running) {
            report.attempts.push_back(makeEntry({it, 0}, jobSpecs.at(it).resources.cpuMillis));
        }
        reportsInTransit.emplace_back(now + transit, report);
    }

    double learnedSlowdown(std::string_view neighbour)
    {
        InterferenceModel model = engine.model();
        return model.slowdown(model.classOf("lookup"), model.classOf(neighbour));
    }

    std::map<JobId, JobSpec> jobSpecs;
    std::set<JobId> running;
};

} // namespace

TEST(Interference, DistinguishesNoisyFromQuietNeighbours)
{
    InterferenceSimulation simulation;
    simulation.run(0, 0, 0);
    EXPECT_NEAR(simulation.learnedSlowdown("noisy"), 2.0, 0.3);
    EXPECT_NEAR(simulation.learnedSlowdown("quiet"), 0.1, 0.3);
}

TEST(Interference, MatchesLateReportsToNeighboursAtMeasurementTime)
{
    InterferenceSimulation simulation;
    simulation.run(5000, 5, 0);
    EXPECT_NEAR(simulation.learnedSlowdown("noisy"), 2.0, 0.4);
    EXPECT_NEAR(simulation.learnedSlowdown("quiet"), 0.1, 0.4);
}

TEST(Interference, InfersConstantReportDelayFromReportedStarts)
{
    InterferenceSimulation simulation;
    simulation.run(-3000, 2, 30);
    EXPECT_NEAR(simulation.learnedSlowdown("noisy"), 2.0, 0.4);
    EXPECT_NEAR(simulation.learnedSlowdown("quiet"), 0.1, 0.4);
}

TEST(Interference, UsesPriorWithoutReportsAndNeverUpdatesAPinnedPair)
{
    PlacementSettings settings;
    InterferenceModel model(settings);
    const ClassIndex service = model.classOf("lookup");
    EXPECT_NEAR(model.slowdown(service, model.classOf("build")), settings.priorSlowdown, 1e-6);
    model.pin("lookup", "build", 0.7);
    ServiceSample sample;
    sample.service = service;
    sample.logRatio = 3;
    sample.neighbours.add(model.classOf("build"), 1);
    for (int it = 0; it < 100; ++it) {
        model.observe(sample);
    }
    model.refresh(at(1));
    EXPECT_NEAR(model.slowdown(service, model.classOf("build")), 0.7, 1e-6);
}

TEST(Interference, OldSamplesDecayExponentially)
{
    PlacementSettings settings;
    InterferenceModel model(settings);
    ServiceSample sample;
    sample.service = model.classOf("lookup");
    const ClassIndex build = model.classOf("build");
    const auto observeSlowdown = [&](double slowdown, double from, double until) {
        for (double second = from; second < until; second += 1) {
            sample.neighbours = {};
            sample.neighbours.add(build, static_cast<float>(static_cast<int>(second) % 2));
            sample.logRatio = slowdown * sample.neighbours[build];
            sample.measured = at(second);
            model.observe(sample);
            model.refresh(at(second));
        }
    };
    observeSlowdown(1.0, 0, 600);
    EXPECT_NEAR(model.slowdown(sample.service, build), 1.0, 0.05);
    observeSlowdown(0.2, 600, 660);
    EXPECT_GT(model.slowdown(sample.service, build), 0.6);
    observeSlowdown(0.2, 660, 600 + 4 * 1200);
    EXPECT_NEAR(model.slowdown(sample.service, build), 0.2, 0.1);
}

TEST(Interference, KeepsPlacingBeyondTheClassLimit)
{
    PlacementEngine engine(unlimitedSettings());
    engine.setWorker(makeWorker(0, 100, 100000));
    for (JobId id = 1; id <= 60; ++id) {
        JobSpec spec = makeJob(id, 1, 1, id % 2 == 0 ? WorkloadKind::Service : WorkloadKind::Batch);
        spec.className = "class" + std::to_string(id);
        spec.latencyTargetMs = 0;
        engine.addJob(spec, at(0));
    }
    EXPECT_EQ(engine.decide(at(0)).starts.size(), 60U);
}
