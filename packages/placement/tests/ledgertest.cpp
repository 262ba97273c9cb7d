#include "fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace QuetzalRock;
using namespace QuetzalRock::Testing;

TEST(Ledger, SearchVisitsExactlyTheWorkersThatFit)
{
    Ledger ledger;
    for (int it = 0; it < 100; ++it) {
        ledger.setWorker(makeWorker(it, 1 + it % 8));
    }
    std::vector<WorkerIndex> found;
    ledger.forEachFitting({7000, 1, 0}, 37, [&](WorkerIndex it) {
        found.push_back(it);
        return true;
    });
    std::sort(found.begin(), found.end());
    std::vector<WorkerIndex> expected;
    for (WorkerIndex it = 0; it < 100; ++it) {
        if (1 + it % 8 >= 7) {
            expected.push_back(it);
        }
    }
    EXPECT_EQ(found, expected);
}

TEST(Ledger, LeavingAndQuarantinedWorkersHaveNoFreeCapacity)
{
    Ledger ledger;
    Vm vm = makeWorker(0);
    const WorkerIndex worker = ledger.setWorker(vm);
    EXPECT_TRUE(ledger.fits(worker, {1000, 1, 0}));
    ledger.setQuarantined(worker, true);
    EXPECT_FALSE(ledger.fits(worker, {1000, 1, 0}));
    ledger.setQuarantined(worker, false);
    vm.state = VmState::Leaving;
    ledger.setWorker(vm);
    EXPECT_FALSE(ledger.fits(worker, {0, 0, 0}));
    EXPECT_EQ(ledger.openWorkers(), 0U);
    EXPECT_EQ(ledger.openCapacity(), Resources{});
}

TEST(Ledger, ReservationsSurviveAWorkerUpdate)
{
    Ledger ledger;
    const WorkerIndex worker = ledger.setWorker(makeWorker(0, 8));
    ledger.reserve(worker, {8000, 1, 0});
    ledger.setWorker(makeWorker(0, 8));
    EXPECT_FALSE(ledger.fits(worker, {1, 1, 0}));
    ledger.release(worker, {8000, 1, 0});
    EXPECT_TRUE(ledger.fits(worker, {8000, 1, 0}));
}

TEST(Ledger, MeasuredOveruseReducesFreeCapacity)
{
    Ledger ledger;
    const WorkerIndex worker = ledger.setWorker(makeWorker(0, 8, 1000));
    ledger.reserve(worker, {1000, 100, 0});
    ledger.updateOveruse(worker, {}, {0, 700, 0});
    EXPECT_FALSE(ledger.fits(worker, {1000, 300, 0}));
    EXPECT_TRUE(ledger.fits(worker, {1000, 200, 0}));
}

RC_GTEST_PROP(Ledger, SearchMatchesLinearScan, ())
{
    Ledger ledger;
    const int n = *rc::gen::inRange(1, 60);
    for (int it = 0; it < n; ++it) {
        ledger.setWorker(makeWorker(it, 8));
    }
    std::vector<std::int64_t> taken(n, 0);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, n), rc::gen::inRange(-8, 9)));
    for (const auto &[worker, cores] : steps) {
        const std::int64_t millis = std::int64_t{cores} * 1000;
        if (millis > 0 && ledger.fits(worker, {millis, 0, 0})) {
            ledger.reserve(worker, {millis, 0, 0});
            taken[worker] += millis;
        } else if (millis < 0 && taken[worker] >= -millis) {
            ledger.release(worker, {-millis, 0, 0});
            taken[worker] += millis;
        }
    }
    const std::int64_t need = *rc::gen::inRange(1, 9) * 1000;
    int found = 0;
    ledger.forEachFitting({need, 0, 0}, *rc::gen::inRange(0, n), [&](WorkerIndex) {
        ++found;
        return true;
    });
    const auto expected = std::count_if(taken.begin(), taken.end(), [need](auto it) { return it + need <= 8000; });
    RC_ASSERT(found == expected);
}
