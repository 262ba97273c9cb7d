/** Tests of the forecast of periodic loads. */
#include <workflow/pressure.h>

#include <gtest/gtest.h>

#include <cmath>
#include <numbers>
#include <random>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr double SampleError = 0.06;
constexpr Duration SampleInterval = 70ms; ///< of all tasks of a step together

double oscillation(Duration at, double periodSeconds, double amplitude)
{
    const double seconds = std::chrono::duration<double>(at).count();
    return 0.42 + amplitude * std::sin(2 * std::numbers::pi * seconds / periodSeconds);
}

/** Feeds noisy samples of an oscillation from time 0 until @p until. */
void feed(PeriodicLoad &load, double periodSeconds, double amplitude, Duration until, unsigned seed)
{
    std::mt19937 random(seed);
    std::normal_distribution<double> noise(0, SampleError);
    for (Duration at{}; at < until; at += SampleInterval) {
        load.addSample(oscillation(at, periodSeconds, amplitude) + noise(random), SampleError, TimePoint(1h + at));
    }
}

LoadOutlook outlookOf(const PeriodicLoad &load, TimePoint from, Duration length)
{
    return {[&load, from](Duration ahead) { return load.estimateAt(from + ahead); }, length};
}

} // namespace

// Load: the users of a service come and go with a period of 7 to 15 s. Guards against best-effort tasks that are placed at
// the trough for longer than it lasts, and throttled only once the target is missed.
TEST(PeriodicLoad, seesTheTurnOfALoadAhead)
{
    for (const double period : {7.0, 10.0, 12.0, 15.0}) {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            PeriodicLoad load;
            const Duration known = 20s;
            feed(load, period, 0.21, known, seed);
            ASSERT_TRUE(load.isKnown(TimePoint(1h + known))) << period;
            for (Duration ahead = 0s; ahead <= 3s; ahead += 500ms) {
                EXPECT_NEAR(
                    load.estimateAt(TimePoint(1h + known + ahead)), oscillation(known + ahead, period, 0.21), 0.08)
                    << "period " << period << " seed " << seed << " ahead " << toMilliseconds(ahead);
            }
        }
    }
}

TEST(PeriodicLoad, peakCoversTheWholeSpan)
{
    PeriodicLoad load;
    feed(load, 10, 0.21, 20s, 1);
    const TimePoint trough(1h + 17500ms); // 0.42 - 0.21
    EXPECT_LT(load.estimateAt(trough), 0.3);
    const LoadOutlook outlook = outlookOf(load, trough, 5s);
    EXPECT_GT(outlook.peakWithin(5s), 0.55);
    EXPECT_NEAR(outlookOf(load, TimePoint(1h + 20s), 10s).meanWithin(10s), 0.42, 0.06);
    EXPECT_GE(outlook.peakWithin(2s), outlook.meanWithin(2s));
}

TEST(LoadOutlook, roundsSpansUpAndCutsThemToItsLength)
{
    const LoadOutlook rising([](Duration ahead) { return std::chrono::duration<double>(ahead).count(); }, 6s);
    EXPECT_DOUBLE_EQ(rising.peakWithin(0s), 0);
    EXPECT_DOUBLE_EQ(rising.peakWithin(2s), 2);
    EXPECT_DOUBLE_EQ(rising.peakWithin(2001ms), 3);
    EXPECT_DOUBLE_EQ(rising.peakWithin(60s), 6);
    EXPECT_DOUBLE_EQ(rising.meanWithin(2s), 1);
    EXPECT_DOUBLE_EQ(rising.meanWithin(60s), 3);
    EXPECT_DOUBLE_EQ(LoadOutlook().peakWithin(1s), 0);
}

// Guards against a period that is read into noise: a steady load is left to the other estimate.
TEST(PeriodicLoad, steadyLoadIsNotPeriodic)
{
    int known = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        PeriodicLoad load;
        feed(load, 10, 0, 20s, seed);
        if (load.isKnown(TimePoint(1h + 20s))) {
            ++known;
            EXPECT_NEAR(load.estimateAt(TimePoint(1h + 22s)), 0.42, 0.06);
        }
    }
    EXPECT_LE(known, 20);
}

TEST(PeriodicLoad, isUnknownWithoutSamplesOverMostOfAPeriodOrWithOldOnes)
{
    PeriodicLoad load;
    EXPECT_FALSE(load.isKnown(TimePoint(1h)));
    feed(load, 10, 0.21, 1s, 1);
    EXPECT_FALSE(load.isKnown(TimePoint(1h + 1s)));
    EXPECT_EQ(load.period(), Duration::zero());
    PeriodicLoad other;
    feed(other, 10, 0.21, 20s, 1);
    EXPECT_TRUE(other.isKnown(TimePoint(1h + 21s)));
    EXPECT_FALSE(other.isKnown(TimePoint(1h + 60s)));
}

// Guards against a forecast that stays with a pattern of load that has ended.
TEST(PeriodicLoad, followsAChangeOfTheLoad)
{
    PeriodicLoad load;
    std::mt19937 random(5);
    std::normal_distribution<double> noise(0, SampleError);
    const auto at
        = [](Duration time) { return time < 20s ? oscillation(time, 10, 0.21) : oscillation(time, 10, 0.21) + 0.25; };
    for (Duration time{}; time < 45s; time += SampleInterval) {
        load.addSample(at(time) + noise(random), SampleError, TimePoint(1h + time));
    }
    EXPECT_NEAR(load.estimateAt(TimePoint(1h + 46s)), at(46s), 0.12);
}

} // namespace QuetzalRock::Workflow
