#include <base/clock.h>
#include <base/errors.h>
#include <base/ring.h>
#include <base/types.h>

#include <gtest/gtest.h>

#include <thread>

using namespace QuetzalRock;
using namespace std::chrono_literals;

TEST(ManualClock, standsStillUntilAdvanced)
{
    ManualClock clock;
    const TimePoint start = clock.now();
    EXPECT_EQ(clock.now(), start);
    clock.advance(3s);
    EXPECT_EQ(clock.now() - start, 3s);
}

TEST(ManualClock, wakesSleepersOnlyAtTheirDeadline)
{
    ManualClock clock;
    std::atomic<bool> awake = false;
    std::thread sleeper([&] {
        clock.sleepFor(10s);
        awake = true;
    });
    while (clock.waiterCount() == 0) {
        std::this_thread::yield();
    }
    clock.advance(9s);
    EXPECT_FALSE(awake);
    while (clock.waiterCount() == 0) {
        std::this_thread::yield();
    }
    clock.advance(1s);
    sleeper.join();
    EXPECT_TRUE(awake);
}

TEST(BoundedRing, rejectsPushesWhenFullAndDrainsAfterClose)
{
    BoundedRing<int> ring(2);
    EXPECT_TRUE(ring.tryPush(1));
    EXPECT_TRUE(ring.tryPush(2));
    EXPECT_FALSE(ring.tryPush(3));
    ring.close();
    EXPECT_EQ(ring.pop(), 1);
    EXPECT_EQ(ring.pop(), 2);
    EXPECT_EQ(ring.pop(), std::nullopt);
    EXPECT_FALSE(ring.tryPush(4));
}

TEST(Resources, fitsOnlyWhenEveryComponentFits)
{
    const Resources available{1000, 512, 1};
    EXPECT_TRUE((Resources{1000, 512, 1}.fitsIn(available)));
    EXPECT_FALSE((Resources{1001, 1, 0}.fitsIn(available)));
    EXPECT_FALSE((Resources{1, 513, 0}.fitsIn(available)));
    EXPECT_FALSE((Resources{1, 1, 2}.fitsIn(available)));
}

TEST(Error, carriesCodeNameAndRetryDelay)
{
    EXPECT_EQ(errorName(NotRun("full", 2s).code()), "not_run");
    EXPECT_EQ(errorName(OutcomeUnknown("cut").code()), "outcome_unknown");
    EXPECT_EQ(NotRun("full", 2s).retryAfter(), 2s);
}
