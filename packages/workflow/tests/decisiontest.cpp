/** Decisions that need no network, each under the load that it answers: turns of jobs, choice of workers, neighbours. */
#include <workflow/placement.h>
#include <workflow/pressure.h>
#include <workflow/turns.h>

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

/** Right after the job was learned of. */
JobTurn turnAt(const JobState &job, std::int64_t wallMs)
{
    return turnOf(job, wallMs, job.learnedAt);
}

Candidate makeWorker(std::int64_t freeMillis, std::int64_t servingMillis = 0, std::int64_t spareMillis = 0)
{
    Candidate it;
    it.capacityMillis = 32'000;
    it.free = {freeMillis, 64'000, 0};
    it.reservedMillis = 32'000 - freeMillis;
    it.servingMillis = servingMillis;
    it.spareMillis = spareMillis;
    return it;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Turns: more work than can be done in time
// ---------------------------------------------------------------------------------------------------------------------

TEST(Turns, jobsThatCanBeInTimeGoBeforeThoseThatCannot)
{
    const JobState old = makeJob("old", 30'000, 2000); // objective 5 s: worth nothing any more
    const JobState late = makeJob("late", 6000, 2000); // late, and still worth something
    const JobState fresh = makeJob("fresh", 100, 2000);
    EXPECT_LT(turnAt(fresh, Now), turnAt(late, Now));
    EXPECT_LT(turnAt(late, Now), turnAt(old, Now));
}

TEST(Turns, whatIsDoneCountsForAJob)
{
    JobState job = makeJob("a", 5000, 2000, 2); // objective 9 s, 4 s of work: can be in time by a hair
    EXPECT_EQ(turnAt(job, Now).hope, JobHope::InTime);
    EXPECT_EQ(turnAt(job, Now + 1000).hope, JobHope::Late);
    job.occurrences[0].steps[0].doneCount = 2;
    EXPECT_EQ(turnAt(job, Now + 1000).hope, JobHope::InTime) << "half of the chain is done";
}

TEST(Turns, priorityGoesFirstAndShortWorkBeforeLastingWork)
{
    JobState urgent = makeJob("z", 30'000, 2000);
    JobState patient = makeJob("a", 100, 2000);
    patient.accepted.priority = 2;
    EXPECT_LT(turnAt(urgent, Now), turnAt(patient, Now));
    JobState lasting = makeJob("b", 40'000, 2000);
    lasting.accepted.spec.steps[0].isLasting = true;
    EXPECT_LT(turnAt(urgent, Now), turnAt(lasting, Now));
}

TEST(Turns, aLastingTaskThatHasWaitedTooLongGoesBeforeShortWork)
{
    const JobState urgent = makeJob("a", 0, 2000);
    JobState lasting = makeJob("b", 0, 2000);
    lasting.accepted.spec.steps[0].isLasting = true;
    const TimePoint later = lasting.learnedAt + LastingPatience;
    EXPECT_LT(turnOf(lasting, Now, later), turnOf(urgent, Now, later));
    for (TaskState &it : lasting.occurrences[0].steps[0].tasks) {
        it.phase = TaskPhase::Running;
    }
    EXPECT_LT(turnOf(urgent, Now, later), turnOf(lasting, Now, later));
    lasting.occurrences[0].steps[0].tasks[1].phase = TaskPhase::Waiting; // its run has just ended
    lasting.occurrences[0].steps[0].tasks[1].retryAt = later;
    EXPECT_LT(turnOf(urgent, Now, later), turnOf(lasting, Now, later));
    EXPECT_LT(turnOf(lasting, Now, later + LastingPatience), turnOf(urgent, Now, later + LastingPatience));
}

TEST(Turns, stepsSideBySideMakeNoLongerChain)
{
    JobState job = makeJob("a", 0, 2000, 3);
    EXPECT_EQ(longestChainMs(job.accepted.spec), 6000);
    job.accepted.spec.steps[2].after = {0};
    EXPECT_EQ(longestChainMs(job.accepted.spec), 4000);
}

// ---------------------------------------------------------------------------------------------------------------------
// Placement: lasting work holds a third of the room or more, short work comes all the time
// ---------------------------------------------------------------------------------------------------------------------

TEST(Placement, lastingTasksArePackedByImageAndOthersSpread)
{
    const PlacementWeights weights;
    StepSpec lasting;
    lasting.need = {6000, 1000, 0};
    lasting.isLasting = true;
    Candidate alike = makeWorker(10'000, 20'000);
    alike.hasSameImage = true;
    EXPECT_GT(scoreOf(weights, lasting, alike), scoreOf(weights, lasting, makeWorker(32'000)));
    EXPECT_GT(scoreOf(weights, lasting, makeWorker(32'000)), scoreOf(weights, lasting, makeWorker(10'000, 20'000)));
    StepSpec plain;
    plain.need = {2000, 1000, 0};
    EXPECT_GT(scoreOf(weights, plain, makeWorker(32'000)), scoreOf(weights, plain, makeWorker(10'000, 20'000)));
}

TEST(Placement, spareProcessorsAreNotReservedButWanted)
{
    const PlacementWeights weights;
    StepSpec filling;
    filling.need = {3500, 6000, 0};
    filling.usesSpareCpu = true;
    Candidate full = makeWorker(0, 30'000); // all reserved, by tasks that leave 40% of it idle
    EXPECT_TRUE(scoreOf(weights, filling, full));
    full.spareMillis = 12'000;
    EXPECT_FALSE(scoreOf(weights, filling, full)) << "others use what is left";
    full.mayShareSpare = true;
    EXPECT_TRUE(scoreOf(weights, filling, full)) << "it has waited long enough to share";
    full.free.memoryMib = 5000;
    EXPECT_FALSE(scoreOf(weights, filling, full)) << "memory is always reserved";
}

// ---------------------------------------------------------------------------------------------------------------------
// Pressure: of each pair of images a small effect or a strong one; loads that swing within ten seconds
// ---------------------------------------------------------------------------------------------------------------------

namespace {

constexpr double MildEffect = 1.2;
constexpr double StrongEffect = 8.5;
constexpr double BaseMs = 4;
constexpr std::int64_t TargetMs = 18;

double swingingLoad(Duration at)
{
    return 0.42 * (1 + 0.5 * std::sin(std::chrono::duration<double>(at).count() * 2 * M_PI / 10));
}

/** A step of three tasks for a minute: the first alone, the others beside a mild and a strong neighbour by turns. */
void teach(PressureModel &model, ClassIndex service, ClassIndex mild, ClassIndex strong, StepLoad &load)
{
    std::mt19937 random(7);
    std::uniform_real_distribution<double> noise(0.85, 1.15);
    for (Duration at = 0s; at < 60s; at += 500ms) {
        for (int task = 0; task < 3; ++task) {
            const bool hasNeighbour = task > 0 && std::uniform_int_distribution<int>(0, 1)(random) == 1;
            const ClassIndex neighbour = task == 1 ? mild : strong;
            const double share = hasNeighbour ? 0.1 : 0;
            const double effect = (neighbour == mild ? MildEffect : StrongEffect) * share;
            const double utilisation = std::min(0.98, swingingLoad(at) * (1 + effect));
            Shares shares{};
            shares[neighbour] = static_cast<float>(share);
            const auto tail = static_cast<std::int64_t>(std::round(BaseMs / (1 - utilisation) * noise(random)));
            model.observe(service, tail, shares, TimePoint(1h + at), load);
        }
        model.refresh(TimePoint(1h + at));
    }
}

} // namespace

TEST(Pressure, tellsStrongNeighboursFromMildOnes)
{
    PressureModel model;
    const ClassIndex service = model.classOf("service");
    const ClassIndex mild = model.classOf("mild");
    const ClassIndex strong = model.classOf("strong");
    StepLoad load;
    teach(model, service, mild, strong, load);
    const double halfway = (MildEffect + StrongEffect) / 2;
    EXPECT_LT(model.effect(service, mild), halfway);
    EXPECT_GT(model.effect(service, strong), halfway);
}

TEST(Pressure, whatWasLearnedOutlivesTheLeader)
{
    PressureModel model;
    const ClassIndex service = model.classOf("service");
    const ClassIndex mild = model.classOf("mild");
    const ClassIndex strong = model.classOf("strong");
    StepLoad load;
    teach(model, service, mild, strong, load);
    PressureModel successor;
    successor.classOf("another image first"); // indices differ, names do not
    successor.load(model.save());
    const ClassIndex there = successor.classOf("service");
    EXPECT_NEAR(successor.effect(there, successor.classOf("mild")), model.effect(service, mild), 0.1);
    EXPECT_NEAR(successor.effect(there, successor.classOf("strong")), model.effect(service, strong), 0.1);
    EXPECT_NEAR(successor.utilisationForTail(there, TargetMs), model.utilisationForTail(service, TargetMs), 0.01);
    EXPECT_THROW(successor.load("no model"), InvalidArgument);
}

TEST(Pressure, whatOtherShardsLearnedCountsAndIsNotPassedOnAsOnesOwn)
{
    PressureModel teacher;
    const ClassIndex service = teacher.classOf("service");
    const ClassIndex mild = teacher.classOf("mild");
    const ClassIndex strong = teacher.classOf("strong");
    StepLoad load;
    teach(teacher, service, mild, strong, load);
    PressureModel other;
    const ClassIndex there = other.classOf("service");
    const std::vector<std::string> lent{teacher.save()};
    other.importPeers(lent);
    other.refresh(TimePoint(2h));
    EXPECT_NEAR(other.effect(there, other.classOf("mild")), teacher.effect(service, mild), 0.2);
    EXPECT_NEAR(other.effect(there, other.classOf("strong")), teacher.effect(service, strong), 0.2);
    PressureModel third;
    const std::vector<std::string> secondHand{other.save()};
    third.importPeers(secondHand);
    third.refresh(TimePoint(2h));
    EXPECT_DOUBLE_EQ(third.effect(third.classOf("service"), third.classOf("strong")), PressureModel().effect(0, 0))
        << "nobody has told it at first hand";
}

TEST(Pressure, aSharedLoadFollowsItsSwing)
{
    StepLoad load;
    for (Duration at = 0s; at < 20s; at += 250ms) {
        load.addSample(swingingLoad(at), 0.05, TimePoint(1h + at));
        if (at > 3s) {
            EXPECT_NEAR(load.estimateAt(TimePoint(1h + at + 500ms)), swingingLoad(at + 500ms), 0.12) << at.count();
        }
    }
    EXPECT_FALSE(load.isKnown(TimePoint(1h + 60s)));
}

TEST(Pressure, theStrongestNeighbourIsThrottledFirst)
{
    PressureModel model;
    const ClassIndex service = model.classOf("service");
    const ClassIndex mild = model.classOf("mild");
    const ClassIndex strong = model.classOf("strong");
    StepLoad load;
    teach(model, service, mild, strong, load);
    const std::vector<SpareCpuTask> neighbours{{mild, 0.1, 100}, {strong, 0.1, 100}};
    std::vector<int> percents{100, 100};
    planThrottle(model, service, model.totalEffect(service, neighbours), neighbours, percents);
    EXPECT_EQ(percents, (std::vector<int>{100, 100})) << "all of it is allowed";
    planThrottle(model, service, 0.4, neighbours, percents);
    EXPECT_EQ(percents[0], 100);
    EXPECT_LT(percents[1], 100);
    planThrottle(model, service, 0, neighbours, percents);
    EXPECT_EQ(percents, (std::vector<int>{0, 0}));
}

// ---------------------------------------------------------------------------------------------------------------------
// Stored forms
// ---------------------------------------------------------------------------------------------------------------------

TEST(Progress, whatIsStoredIsReadBack)
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
