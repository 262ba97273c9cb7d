/** Unit tests of job ranking, worker scoring, the pressure model and the stored form of progress. */
#include <workflow/joborder.h>
#include <workflow/placement.h>
#include <workflow/pressure.h>

#include <base/errors.h>

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t Now = 1'000'000;

JobState makeJob(const JobKey &key, std::int64_t ageMs, std::int64_t stepMs, int steps = 1)
{
    JobState job;
    job.accepted.spec.key = key;
    job.accepted.acceptedMs = Now - ageMs;
    job.accepted.stretch = 2;
    job.accepted.slackMs = 1000;
    for (int i = 0; i < steps; ++i) {
        StepSpec step;
        step.taskCount = 2;
        step.estimateMs = stepMs;
        if (i > 0) {
            step.after = {static_cast<std::uint32_t>(i - 1)};
        }
        job.accepted.spec.steps.push_back(step);
    }
    resetTasks(job);
    return job;
}

/** The rank right after the job was received, so that no task has waited yet. */
JobRank rankAt(const JobState &job, std::int64_t wallMs)
{
    return rankOf(job, wallMs, job.learnedAt);
}

Candidate makeWorker(std::int64_t freeMillis, std::int64_t longRunningMillis = 0, std::int64_t bestEffortMillis = 0)
{
    Candidate it;
    it.capacityMillis = 32'000;
    it.free = {freeMillis, 64'000, 0};
    it.reservedMillis = 32'000 - freeMillis;
    it.longRunningMillis = longRunningMillis;
    it.bestEffortMillis = bestEffortMillis;
    return it;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Job ranking under overload
// ---------------------------------------------------------------------------------------------------------------------

TEST(JobRanking, jobsThatCanMeetTheirObjectiveGoFirst)
{
    const JobState old = makeJob("old", 30'000, 2000); // objective 5 s: too late to be useful
    const JobState late = makeJob("late", 6000, 2000); // late, but still useful
    const JobState fresh = makeJob("fresh", 100, 2000);
    EXPECT_LT(rankAt(fresh, Now), rankAt(late, Now));
    EXPECT_LT(rankAt(late, Now), rankAt(old, Now));
}

TEST(JobRanking, completedStepsImproveTheOutlook)
{
    JobState job = makeJob("a", 5000, 2000, 2); // objective 9 s, 4 s of work left: ends exactly in time
    EXPECT_EQ(rankAt(job, Now).outlook, DeadlineOutlook::InTime);
    EXPECT_EQ(rankAt(job, Now + 1000).outlook, DeadlineOutlook::Late);
    job.occurrences[0].steps[0].doneCount = 2;
    EXPECT_EQ(rankAt(job, Now + 1000).outlook, DeadlineOutlook::InTime) << "half of the critical path is done";
}

TEST(JobRanking, priorityGoesFirstThenShortWorkBeforeLongRunningWork)
{
    JobState urgent = makeJob("z", 30'000, 2000);
    JobState lowPriority = makeJob("a", 100, 2000);
    lowPriority.accepted.priority = 2;
    EXPECT_LT(rankAt(urgent, Now), rankAt(lowPriority, Now));
    JobState longRunning = makeJob("b", 40'000, 2000);
    longRunning.accepted.spec.steps[0].isLongRunning = true;
    EXPECT_LT(rankAt(urgent, Now), rankAt(longRunning, Now));
}

TEST(JobRanking, longRunningTaskPastItsPlacementTimeoutGoesFirst)
{
    const JobState urgent = makeJob("a", 0, 2000);
    JobState longRunning = makeJob("b", 0, 2000);
    longRunning.accepted.spec.steps[0].isLongRunning = true;
    const TimePoint later = longRunning.learnedAt + LongRunningPlacementTimeout;
    EXPECT_LT(rankOf(longRunning, Now, later), rankOf(urgent, Now, later));
    for (TaskState &it : longRunning.occurrences[0].steps[0].tasks) {
        it.phase = TaskPhase::Running;
    }
    EXPECT_LT(rankOf(urgent, Now, later), rankOf(longRunning, Now, later));
    longRunning.occurrences[0].steps[0].tasks[1].phase = TaskPhase::Waiting; // its run has just ended
    longRunning.occurrences[0].steps[0].tasks[1].retryAt = later;
    longRunning.occurrences[0].steps[0].tasks[1].waitingSince = later;
    EXPECT_LT(rankOf(urgent, Now, later), rankOf(longRunning, Now, later));
    EXPECT_LT(rankOf(longRunning, Now, later + LongRunningPlacementTimeout),
              rankOf(urgent, Now, later + LongRunningPlacementTimeout));
}

TEST(JobRanking, parallelStepsDoNotLengthenTheCriticalPath)
{
    JobState job = makeJob("a", 0, 2000, 3);
    EXPECT_EQ(criticalPathMs(job.accepted.spec), 6000);
    job.accepted.spec.steps[2].after = {0};
    EXPECT_EQ(criticalPathMs(job.accepted.spec), 4000);
}

// ---------------------------------------------------------------------------------------------------------------------
// Placement
// ---------------------------------------------------------------------------------------------------------------------

// Load: a backlog of hundreds of steps of few images, while no worker has room for some of them. Guards against a leader
// that spends its processor time on looking for the same room again.
TEST(UnplacedDemands, coverWhatDemandsNoLess)
{
    StepSpec failed;
    failed.need = {2000, 1000, 0};
    failed.usesSpareCpu = true;
    failed.image = "batch";
    failed.estimateMs = 2000;
    UnplacedDemands unplaced;
    EXPECT_FALSE(unplaced.covers(failed, "pool", false));
    unplaced.add(failed, "pool", false);
    EXPECT_TRUE(unplaced.covers(failed, "pool", false));
    EXPECT_FALSE(unplaced.covers(failed, "other", false));
    EXPECT_FALSE(unplaced.covers(failed, "pool", true)) << "may exceed the idle CPU";
    const auto covers = [&unplaced](auto change, const StepSpec &step) {
        StepSpec it = step;
        change(it);
        return unplaced.covers(it, "pool", false);
    };
    EXPECT_TRUE(covers([](StepSpec &it) { it.need.cpuMillis = 2500; }, failed));
    EXPECT_TRUE(covers([](StepSpec &it) { it.requiredLabel = "gpu"; }, failed));
    EXPECT_FALSE(covers([](StepSpec &it) { it.need.cpuMillis = 1500; }, failed));
    EXPECT_FALSE(covers([](StepSpec &it) { it.need.memoryMib = 500; }, failed));
    EXPECT_FALSE(covers([](StepSpec &it) { it.estimateMs = 1000; }, failed));
    EXPECT_FALSE(covers([](StepSpec &it) { it.image = "other"; }, failed));
    EXPECT_FALSE(covers([](StepSpec &it) { it.usesSpareCpu = false; }, failed));
    EXPECT_FALSE(covers([](StepSpec &it) { it.isLongRunning = true; }, failed));
    unplaced.clear();
    EXPECT_FALSE(unplaced.covers(failed, "pool", false));
}

TEST(UnplacedDemands, restrictedStepsSayNothingOfOthers)
{
    StepSpec failed;
    failed.need = {2000, 1000, 0};
    for (const bool hasLabel : {true, false}) {
        StepSpec restricted = failed;
        restricted.requiredLabel = hasLabel ? "gpu" : "";
        restricted.maxPerWorker = hasLabel ? 0 : 1;
        UnplacedDemands unplaced;
        unplaced.add(restricted, "pool", false);
        EXPECT_FALSE(unplaced.covers(failed, "pool", false));
    }
}

TEST(Placement, longRunningTasksArePackedByImageAndOthersSpread)
{
    const PlacementWeights weights;
    StepSpec longRunning;
    longRunning.need = {6000, 1000, 0};
    longRunning.isLongRunning = true;
    Candidate sameImage = makeWorker(10'000, 20'000);
    sameImage.hasSameImage = true;
    EXPECT_GT(scoreWorker(weights, longRunning, sameImage), scoreWorker(weights, longRunning, makeWorker(32'000)));
    EXPECT_GT(scoreWorker(weights, longRunning, makeWorker(32'000)),
              scoreWorker(weights, longRunning, makeWorker(10'000, 20'000)));
    StepSpec plain;
    plain.need = {2000, 1000, 0};
    EXPECT_GT(scoreWorker(weights, plain, makeWorker(32'000)), scoreWorker(weights, plain, makeWorker(10'000, 20'000)));
}

TEST(Placement, bestEffortTasksReserveMemoryButNoCpu)
{
    const PlacementWeights weights;
    StepSpec bestEffort;
    bestEffort.need = {3500, 6000, 0};
    bestEffort.usesSpareCpu = true;
    Candidate full = makeWorker(0, 30'000); // all CPU reserved, by long-running tasks that leave 40% of it idle
    EXPECT_TRUE(scoreWorker(weights, bestEffort, full));
    full.bestEffortMillis = 12'000;
    EXPECT_FALSE(scoreWorker(weights, bestEffort, full)) << "other best-effort tasks use the idle CPU";
    full.canShareSpareCpu = true;
    EXPECT_TRUE(scoreWorker(weights, bestEffort, full)) << "it has waited long enough to share the idle CPU";
    full.free.memoryMib = 5000;
    EXPECT_FALSE(scoreWorker(weights, bestEffort, full)) << "memory is always reserved";
}

// ---------------------------------------------------------------------------------------------------------------------
// Pressure model: each pair of images has a mild or a strong effect; loads oscillate with a period of ten seconds
// ---------------------------------------------------------------------------------------------------------------------

namespace {

constexpr double MildEffect = 1.2;
constexpr double StrongEffect = 8.5;
constexpr double BaseMs = 4;
constexpr std::int64_t TargetMs = 18;

double oscillatingLoad(Duration at)
{
    return 0.42 * (1 + 0.5 * std::sin(std::chrono::duration<double>(at).count() * 2 * M_PI / 10));
}

/**
 * Feeds the model one minute of a step of three tasks: one without neighbours, one with an intermittent mild neighbour,
 * one with an intermittent strong neighbour.
 */
void trainModel(PressureModel &model, ClassIndex service, ClassIndex mild, ClassIndex strong, StepLoad &load)
{
    std::mt19937 random(7);
    std::uniform_real_distribution<double> noise(0.85, 1.15);
    for (Duration at = 0s; at < 60s; at += 500ms) {
        for (int task = 0; task < 3; ++task) {
            const bool hasNeighbour = task > 0 && std::uniform_int_distribution<int>(0, 1)(random) == 1;
            const ClassIndex neighbour = task == 1 ? mild : strong;
            const double share = hasNeighbour ? 0.1 : 0;
            const double effect = (neighbour == mild ? MildEffect : StrongEffect) * share;
            const double utilisation = std::min(0.98, oscillatingLoad(at) * (1 + effect));
            Shares shares{};
            shares.add(neighbour, static_cast<float>(share));
            const auto tail = static_cast<std::int64_t>(std::round(BaseMs / (1 - utilisation) * noise(random)));
            model.observe(service, tail, shares, TimePoint(1h + at), load);
        }
        model.refresh(TimePoint(1h + at));
    }
}

} // namespace

TEST(Pressure, distinguishesStrongFromMildNeighbours)
{
    PressureModel model;
    const ClassIndex service = model.classOf("service");
    const ClassIndex mild = model.classOf("mild");
    const ClassIndex strong = model.classOf("strong");
    StepLoad load;
    trainModel(model, service, mild, strong, load);
    const double halfway = (MildEffect + StrongEffect) / 2;
    EXPECT_LT(model.effect(service, mild), halfway);
    EXPECT_GT(model.effect(service, strong), halfway);
}

TEST(Pressure, savedModelIsRestoredByTheSuccessor)
{
    PressureModel model;
    const ClassIndex service = model.classOf("service");
    const ClassIndex mild = model.classOf("mild");
    const ClassIndex strong = model.classOf("strong");
    StepLoad load;
    trainModel(model, service, mild, strong, load);
    PressureModel successor;
    successor.classOf("another image first"); // shifts the class indices; classes are matched by name
    successor.load(decodePressure(encodePressure(model.save())));
    const ClassIndex importedService = successor.classOf("service");
    EXPECT_NEAR(successor.effect(importedService, successor.classOf("mild")), model.effect(service, mild), 0.1);
    EXPECT_NEAR(successor.effect(importedService, successor.classOf("strong")), model.effect(service, strong), 0.1);
    EXPECT_NEAR(
        successor.utilisationForTail(importedService, TargetMs), model.utilisationForTail(service, TargetMs), 0.01);
    EXPECT_THROW(decodePressure("no model"), InvalidArgument);
}

TEST(Pressure, estimatesOfOtherShardsAreUsedButNotReexported)
{
    PressureModel source;
    const ClassIndex service = source.classOf("service");
    const ClassIndex mild = source.classOf("mild");
    const ClassIndex strong = source.classOf("strong");
    StepLoad load;
    trainModel(source, service, mild, strong, load);
    PressureModel other;
    const ClassIndex importedService = other.classOf("service");
    const std::vector<SavedPressure> exported{source.save()};
    other.importPeers(exported);
    other.refresh(TimePoint(2h));
    EXPECT_NEAR(other.effect(importedService, other.classOf("mild")), source.effect(service, mild), 0.2);
    EXPECT_NEAR(other.effect(importedService, other.classOf("strong")), source.effect(service, strong), 0.2);
    PressureModel third;
    const std::vector<SavedPressure> reexported{other.save()};
    third.importPeers(reexported);
    third.refresh(TimePoint(2h));
    EXPECT_DOUBLE_EQ(third.effect(third.classOf("service"), third.classOf("strong")), PressureModel().effect(0, 0))
        << "borrowed estimates are not exported";
}

namespace {

constexpr int ManyServices = 16;
constexpr int ManyNeighbours = 30;

bool isStrongPair(int service, int neighbour)
{
    return (service * 7 + neighbour * 5) % 3 != 0;
}

ClassIndex serviceClass(PressureModel &model, int number)
{
    return model.classOf("service" + std::to_string(number));
}

ClassIndex neighbourClass(PressureModel &model, int number)
{
    return model.classOf("batch" + std::to_string(number));
}

/** Half a second of reports of eight tasks of each service, each but one beside two random neighbours. */
void reportManyImages(PressureModel &model, std::vector<StepLoad> &loads, Duration at, std::mt19937 &random)
{
    std::uniform_real_distribution<double> noise(0.85, 1.15);
    for (int service = 0; service < ManyServices; ++service) {
        for (int task = 0; task < 8; ++task) {
            Shares shares;
            double effects = 0;
            for (int n = 0; task > 0 && n < 2; ++n) {
                const int neighbour = static_cast<int>(random() % ManyNeighbours);
                shares.add(neighbourClass(model, neighbour), 0.1F);
                effects += 0.1 * (isStrongPair(service, neighbour) ? StrongEffect : MildEffect);
            }
            const double utilisation = std::min(0.98, oscillatingLoad(at) * (1 + effects));
            const auto tail = static_cast<std::int64_t>(std::round(BaseMs / (1 - utilisation) * noise(random)));
            model.observe(serviceClass(model, service), tail, shares, TimePoint(1h + at), loads[service]);
        }
    }
    model.refresh(TimePoint(1h + at));
}

/** Share of all combinations of a service's strong and mild neighbours in which the strong one has the larger effect. */
double rankedRightly(PressureModel &model)
{
    int right = 0;
    int total = 0;
    for (int service = 0; service < ManyServices; ++service) {
        for (int a = 0; a < ManyNeighbours; ++a) {
            for (int b = 0; b < ManyNeighbours; ++b) {
                if (isStrongPair(service, a) && !isStrongPair(service, b)) {
                    const ClassIndex index = serviceClass(model, service);
                    right += model.effect(index, neighbourClass(model, a))
                             > model.effect(index, neighbourClass(model, b));
                    ++total;
                }
            }
        }
    }
    return static_cast<double>(right) / total;
}

} // namespace

// Load: dozens of serving images, each of which meets dozens of best-effort images.
TEST(Pressure, tellsHundredsOfPairsApart)
{
    PressureModel model;
    std::vector<StepLoad> loads(ManyServices);
    std::mt19937 random(11);
    for (Duration at = 0s; at < 30s; at += 500ms) {
        reportManyImages(model, loads, at, random);
    }
    EXPECT_GE(rankedRightly(model), 0.95);
}

// Load: a service whose load swings, reported in whole milliseconds and with an error of an eighth.
TEST(Pressure, noiseOfReportsDoesNotBiasTheLoadEstimate)
{
    constexpr int Steps = 10;
    constexpr int TasksPerStep = 24;
    PressureModel model;
    const ClassIndex service = model.classOf("service");
    std::vector<StepLoad> loads(Steps);
    std::mt19937 random(5);
    std::uniform_real_distribution<double> noise(0.88, 1.12);
    double bias = 0;
    int n = 0;
    for (Duration at = 0s; at < 30s; at += 500ms) {
        for (int step = 0; step < Steps; ++step) {
            const double load = oscillatingLoad(at + step * 1s);
            for (int task = 0; task < TasksPerStep; ++task) {
                const auto tail = static_cast<std::int64_t>(std::round(BaseMs / (1 - load) * noise(random)));
                model.observe(service, tail, {}, TimePoint(1h + at), loads[step]);
            }
            if (at >= 10s) {
                bias += model.expectedLoad(service, loads[step], TimePoint(1h + at)) - load;
                ++n;
            }
        }
    }
    EXPECT_NEAR(bias / n, 0, PressureSettings().placementMargin / 2);
    const double limit = model.utilisationForTail(service, TargetMs);
    EXPECT_NEAR(limit, 1 - BaseMs / TargetMs, 0.02);
    model.observe(service, 1, {}, TimePoint(1h + 31s), loads[0]);
    EXPECT_NEAR(model.utilisationForTail(service, TargetMs), limit, 0.01) << "one report says little";
}

TEST(Pressure, imagesBeyondTheLimitAreUntrackedAndDisturbNoOther)
{
    PressureModel model;
    const ClassIndex service = model.classOf("service");
    const ClassIndex known = model.classOf("known");
    for (int i = 0; i < MaxClasses; ++i) {
        model.classOf("image" + std::to_string(i));
    }
    const ClassIndex untracked = model.classOf("one too many");
    EXPECT_EQ(untracked, UntrackedClass);
    EXPECT_EQ(model.classOf("another"), UntrackedClass);
    EXPECT_EQ(model.classOf("known"), known);
    const double prior = model.effect(service, untracked);
    StepLoad load;
    Shares shares;
    shares.add(untracked, 0.5F);
    for (Duration at = 0s; at < 20s; at += 500ms) {
        model.observe(service, 10, at.count() % 2 == 0 ? shares : Shares(), TimePoint(1h + at), load);
        model.observe(untracked, 1, shares, TimePoint(1h + at), load);
        model.refresh(TimePoint(1h + at));
    }
    EXPECT_DOUBLE_EQ(model.effect(service, untracked), prior);
    const SavedPressure saved = model.save();
    ASSERT_EQ(saved.services.size(), 1U);
    EXPECT_EQ(saved.services[0].image, "service");
    EXPECT_TRUE(saved.services[0].pairs.empty());
}

TEST(Pressure, estimatesOfManyShardsAddUp)
{
    // Each shard alone has seen too little to leave the prior; together they have not.
    std::vector<SavedPressure> saved(20);
    for (SavedPressure &it : saved) {
        it.services.push_back({"service", 4, 0.5, {{"mild", MildEffect, 0.02}}});
    }
    PressureModel model;
    model.importPeers(saved);
    model.refresh(TimePoint(1h));
    EXPECT_NEAR(model.effect(model.classOf("service"), model.classOf("mild")), MildEffect, 0.3);
    EXPECT_EQ(model.knownNeighbours(), std::vector<ClassIndex>{model.classOf("mild")});
}

TEST(Pressure, unusableSavedModelsAreRefused)
{
    const SavedPressure good{{{"service", 4, 0.5, {{"batch", 2, 0.1}}}}};
    EXPECT_EQ(decodePressure(encodePressure(good)).services[0].pairs[0].neighbour, "batch");
    std::vector<SavedPressure> bad(5, good);
    bad[0].services[0].lowTailMs = 0;
    bad[1].services[0].peakLoad = 7;
    bad[2].services[0].pairs[0].effect = 1e9;
    bad[3].services[0].pairs[0].evidence = 0;
    bad[4].services[0].pairs[0].effect = std::nan("");
    for (const SavedPressure &it : bad) {
        EXPECT_THROW(decodePressure(encodePressure(it)), InvalidArgument);
    }
    std::string older = encodePressure(good);
    older[1] = 1; // version 1 wrote the estimates of several images under the name of one
    EXPECT_THROW(decodePressure(older), InvalidArgument);
}

TEST(Pressure, sharedLoadTracksAnOscillatingLoad)
{
    StepLoad load;
    for (Duration at = 0s; at < 20s; at += 250ms) {
        load.addSample(oscillatingLoad(at), 0.05, TimePoint(1h + at));
        if (at > 3s) {
            EXPECT_NEAR(load.estimateAt(TimePoint(1h + at + 500ms)), oscillatingLoad(at + 500ms), 0.12) << at.count();
        }
    }
    EXPECT_FALSE(load.isKnown(TimePoint(1h + 60s)));
}

TEST(Pressure, strongestNeighbourIsThrottledFirst)
{
    PressureModel model;
    const ClassIndex service = model.classOf("service");
    const ClassIndex mild = model.classOf("mild");
    const ClassIndex strong = model.classOf("strong");
    StepLoad load;
    trainModel(model, service, mild, strong, load);
    const std::vector<BestEffortTask> neighbours{{mild, 0.1, 100}, {strong, 0.1, 100}};
    std::vector<int> percents{100, 100};
    planThrottle(model, service, model.totalEffect(service, neighbours), neighbours, percents);
    EXPECT_EQ(percents, (std::vector<int>{100, 100})) << "the whole effect is allowed";
    planThrottle(model, service, 0.4, neighbours, percents);
    EXPECT_EQ(percents[0], 100);
    EXPECT_LT(percents[1], 100);
    planThrottle(model, service, 0, neighbours, percents);
    EXPECT_EQ(percents, (std::vector<int>{0, 0}));
}

// ---------------------------------------------------------------------------------------------------------------------
// Stored form
// ---------------------------------------------------------------------------------------------------------------------

TEST(Progress, storedProgressIsReadBack)
{
    JobState job = makeJob("a", 0, 2000, 2);
    job.accepted.spec.payload = "text";
    job.accepted.pool = "pool";
    job.accepted.spec.steps[1].requiredLabel = "gpu";
    JobState copy;
    copy.accepted = decodeAccepted(encodeAccepted(job.accepted));
    EXPECT_EQ(copy.accepted.spec.payload, "text");
    EXPECT_EQ(copy.accepted.spec.steps[1].requiredLabel, "gpu");
    EXPECT_EQ(copy.accepted.spec.steps[1].after, std::vector<std::uint32_t>{0});
    job.state = WorkflowState::Running;
    job.occurrences[0].steps[0].tasks[1].phase = TaskPhase::Done;
    job.occurrences[0].steps[0].tasks[0].failedAttempts = {1, 3};
    job.occurrences[0].steps[0].tasks[0].checkpoint = "c";
    resetTasks(copy);
    decodeProgress(encodeProgress(job), copy);
    EXPECT_EQ(copy.state, WorkflowState::Running);
    EXPECT_EQ(copy.occurrences[0].steps[0].doneCount, 1U);
    EXPECT_EQ(copy.occurrences[0].steps[0].tasks[0].failedAttempts, (std::vector<std::uint64_t>{1, 3}));
    EXPECT_EQ(copy.occurrences[0].steps[0].tasks[0].checkpoint, "c");
    EXPECT_EQ(decodeState(encodeProgress(job)), WorkflowState::Running);
    for (const std::string_view bad : {"", "x", "\x93\x02\x00\x90"}) {
        EXPECT_THROW(decodeState(bad), InvalidArgument);
        EXPECT_THROW(decodeAccepted(bad), InvalidArgument);
    }
}

} // namespace QuetzalRock::Workflow
