/** Tests on the rig of what nodes and leaders do under scarcity. */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

/** One node and one worker of 16 cores. */
class ScarceRig : public Rig
{
public:
    explicit ScarceRig(bool isScarcityEnabled, std::int64_t slackMs)
        : Rig(0, 1)
    {
        scheduler.scarcity.enabled = isScarcityEnabled;
        decoder.catalog.queues.front().slackMs = slackMs;
        nodes.push_back(std::make_unique<RigNode>(backend, fleet, clock));
        boot(0);
        run(3s);
    }
};

/** One best-effort task that uses most of a worker. */
WorkflowSpec makeBestEffortJob(const JobKey &key)
{
    WorkflowSpec spec = Rig::makeJob(key, 1);
    spec.steps.front().need.cpuMillis = 12'000;
    spec.steps.front().usesSpareCpu = true;
    return spec;
}

} // namespace

TEST(SparingCpu, withoutScarcityATaskSharesIdleCpuAfterADelay)
{
    ScarceRig rig(false, 20'000);
    rig.fleet.longRunningJobs = {"first"};
    rig.submit(0, makeBestEffortJob("first"));
    rig.run(500ms);
    rig.submit(0, makeBestEffortJob("second"));
    rig.run(1s);
    EXPECT_FALSE(rig.fleet.startedJobs.contains("second"));
    rig.run(1s);
    EXPECT_TRUE(rig.fleet.startedJobs.contains("second"));
}

// Load: steady overload of best-effort work. Guards against tasks that all run at once, each of them slowly.
TEST(SparingCpu, underScarcityATaskWaitsForIdleCpu)
{
    ScarceRig rig(true, 20'000);
    rig.fleet.longRunningJobs = {"first"};
    rig.submit(0, makeBestEffortJob("first"));
    rig.run(500ms);
    rig.submit(0, makeBestEffortJob("second"));
    rig.run(10s);
    EXPECT_FALSE(rig.fleet.startedJobs.contains("second"));
    rig.cancel(0, "first");
    rig.run(1s);
    EXPECT_TRUE(rig.fleet.startedJobs.contains("second"));
}

// Load: a resource that stays busy while newer jobs wait for it. Guards against an accepted job that starves until its
// result is worthless.
TEST(SparingCpu, oneJobThatWouldEndTooLateSharesIdleCpu)
{
    ScarceRig rig(true, 2000); // worthless after 6.9 s, at half speed a task takes 0.6 s
    rig.fleet.longRunningJobs = {"first", "second", "third"};
    rig.submit(0, makeBestEffortJob("first"));
    rig.run(500ms);
    rig.submit(0, makeBestEffortJob("second"));
    rig.submit(0, makeBestEffortJob("third"));
    for (int i = 0; i < 6; ++i) {
        rig.run(1s);
        rig.submit(0, makeBestEffortJob("newer" + std::to_string(i)));
    }
    EXPECT_EQ(rig.fleet.startedJobs, std::set<JobKey>{"first"});
    rig.run(800ms);
    EXPECT_EQ(rig.fleet.startedJobs.size(), 2U);
    EXPECT_NE(rig.fleet.startedJobs.contains("second"), rig.fleet.startedJobs.contains("third"));
}

// Load: steady overload, in which late jobs come to that point one after the other, and newer ones wait all along. Guards
// against their sharing at once.
TEST(SparingCpu, noOtherJobSharesIdleCpuUntilItEnds)
{
    ScarceRig rig(true, 2000);
    for (int i = 0; i < 80; ++i) {
        const JobKey key = std::to_string(i);
        rig.fleet.longRunningJobs.insert(key);
        rig.submit(0, makeBestEffortJob(key));
        rig.run(200ms);
    }
    EXPECT_EQ(rig.fleet.startedJobs.size(), 2U) << "one on idle CPU, one beyond it";
}

// Load: large jobs before a small one. Guards against a leader that does not place by the order of scarcity.h.
TEST(LeastCostOrder, smallJobStartsBeforeAnOlderLargeOne)
{
    for (const bool isScarcityEnabled : {false, true}) {
        ScarceRig rig(isScarcityEnabled, 20'000);
        rig.scheduler.spareCpuShareDelay = 1h;
        rig.kill(0);
        rig.boot(0);
        rig.run(15s);
        rig.fleet.longRunningJobs = {"first", "large", "small"};
        rig.submit(0, makeBestEffortJob("first"));
        rig.run(500ms);
        WorkflowSpec large = makeBestEffortJob("large");
        large.steps.front().taskCount = 10;
        rig.submit(0, large);
        rig.run(200ms);
        rig.submit(0, makeBestEffortJob("small"));
        rig.run(500ms);
        rig.cancel(0, "first");
        rig.run(1s);
        EXPECT_EQ(rig.fleet.startedJobs.contains("small"), isScarcityEnabled);
        EXPECT_EQ(rig.fleet.startedJobs.contains("large"), !isScarcityEnabled);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Forecast
// ---------------------------------------------------------------------------------------------------------------------

namespace {

constexpr std::int64_t WallMs = 1'000'000;

/** Status of a shard that completes a core-second each second, with @p queuedSeconds of waiting work. */
ShardStatus makeStatus(std::int64_t queuedSeconds, int priority = 1)
{
    ShardStatus it;
    it.bestEffortRate = 1000;
    it.bestEffortQueued[priority][1] = queuedSeconds * 1000;
    it.writtenAtMs = WallMs;
    return it;
}

ShardMap makeMap(std::size_t shards)
{
    ShardMap map;
    for (std::size_t i = 0; i < shards; ++i) {
        map.shards.push_back({"d" + std::to_string(i), {{"pool", 16'000}}, {}});
    }
    return map;
}

/** Jobs of it are worthless after 9 s; makeBestEffortJob() takes 0.3 s. */
Queue makeQueue(int priority = 1)
{
    Queue it;
    it.name = "queue";
    it.pool = "pool";
    it.priority = priority;
    it.slackMs = 2700;
    return it;
}

Admission decide(const ShardStatuses &statuses, const Queue &queue = makeQueue(), const JobKey &key = "a")
{
    return decideAdmission(makeMap(2), statuses, queue, makeBestEffortJob(key), 0, WallMs);
}

} // namespace

TEST(Forecast, countsMoreUrgentWorkAndAPartOfItsOwnPriority)
{
    EXPECT_EQ(forecastWait(makeStatus(8, 0), 1, 3600), Duration(8s));
    EXPECT_EQ(forecastWait(makeStatus(8, 1), 1, 3600), Duration(2s));
    EXPECT_EQ(forecastWait(makeStatus(8, 2), 1, 3600), Duration(0s));
    ShardStatus larger = makeStatus(0);
    larger.bestEffortQueued[1][workBucket(100'000)] = 8000;
    EXPECT_EQ(forecastWait(larger, 1, 3600), Duration(0s)) << "larger jobs go behind";
    larger.bestEffortRate = 0;
    EXPECT_FALSE(forecastWait(larger, 1, 3600)) << "the rate is not known";
}

// Load: steady overload by more urgent work.
TEST(Forecast, jobThatWouldEndTooLateIsRejected)
{
    const Admission served = decide({{0, makeStatus(8, 0)}, {1, makeStatus(8, 0)}});
    EXPECT_TRUE(served.isAdmitted);
    EXPECT_EQ(served.basis, Admission::Basis::Forecast);
    const Admission rejected = decide({{0, makeStatus(30, 0)}, {1, makeStatus(30, 0)}});
    EXPECT_FALSE(rejected.isAdmitted);
    EXPECT_EQ(rejected.wait, Duration(30s));
    EXPECT_TRUE(decide({{0, makeStatus(30, 0)}, {1, makeStatus(30, 0)}}, makeQueue(0)).isAdmitted) << "as urgent";
}

// Load: uneven failure domains. Guards against rejections while another domain has room, and of one domain's callers.
TEST(Forecast, jobGoesToTheShardThatHasRoom)
{
    const Admission it = decide({{0, makeStatus(30, 0)}, {1, makeStatus(2, 0)}});
    EXPECT_TRUE(it.isAdmitted);
    EXPECT_EQ(it.shard, 1U);
    EXPECT_EQ(decide({{0, makeStatus(5, 0)}, {1, makeStatus(2, 0)}}).shard, 0U) << "it can be served where it would go";
}

// Guards against rejections on the ground of information that is missing or outdated.
TEST(Forecast, whatIsNotKnownCountsInFavourOfTheJob)
{
    EXPECT_EQ(decide({}).basis, Admission::Basis::NoForecast);
    EXPECT_TRUE(decide({}).isAdmitted);
    ShardStatus old = makeStatus(30, 0);
    old.writtenAtMs -= 6000;
    EXPECT_TRUE(decide({{0, old}, {1, makeStatus(30, 0)}}).isAdmitted);
    EXPECT_TRUE(decide({{0, makeStatus(30, 0)}, {1, old}}).isAdmitted);
    EXPECT_EQ(decide({{0, makeStatus(30, 0)}, {1, old}}).shard, 0U);
    EXPECT_TRUE(decide({{0, makeStatus(30, 0)}}).isAdmitted);
}

TEST(Forecast, jobsWithoutAnEndAreNeverRejected)
{
    const ShardStatuses full{{0, makeStatus(30, 0)}, {1, makeStatus(30, 0)}};
    WorkflowSpec timed = makeBestEffortJob("timed");
    timed.repeatCount = 2;
    WorkflowSpec longRunning = makeBestEffortJob("long-running");
    longRunning.steps.front().isLongRunning = true;
    WorkflowSpec reserving = makeBestEffortJob("reserving");
    reserving.steps.front().usesSpareCpu = false;
    for (const WorkflowSpec &spec : {timed, longRunning, reserving}) {
        const Admission it = decideAdmission(makeMap(2), full, makeQueue(), spec, 0, WallMs);
        EXPECT_TRUE(it.isAdmitted) << spec.key;
        EXPECT_EQ(it.basis, Admission::Basis::NotApplicable) << spec.key;
    }
}

// Load: a burst that is rejected. Guards against its callers all coming back at once, or too early.
TEST(Forecast, retryAfterGrowsWithTheWaitAndIsSpread)
{
    const auto retry = [](std::int64_t seconds, const JobKey &key) {
        return decide({{0, makeStatus(seconds, 0)}, {1, makeStatus(seconds, 0)}}, makeQueue(), key).retryAfter;
    };
    EXPECT_GT(retry(30, "a"), retry(12, "a"));
    EXPECT_LE(retry(100'000, "a"), Duration(60s));
    Duration least = 1h;
    Duration most = 0s;
    for (int i = 0; i < 100; ++i) {
        const Duration it = retry(20, std::to_string(i));
        least = std::min(least, it);
        most = std::max(most, it);
    }
    EXPECT_GE(least, Duration(11s)) << "it would end 11.3 s too late";
    EXPECT_GT(most - least, Duration(8s));
}

TEST(Forecast, rateIsKnownOnlyWhileWorkHasWaited)
{
    CompletionRate rate;
    const TimePoint start(1h);
    for (int i = 0; i < 300; ++i) {
        const TimePoint now = start + i * 100ms;
        rate.setWaiting(i >= 100, now);
        rate.add(50, now);
        EXPECT_EQ(rate.perSecond(now), i < 200 ? 0 : 500) << i;
    }
    rate.setWaiting(false, start + 30s);
    EXPECT_EQ(rate.perSecond(start + 30s), 0);
}

TEST(Forecast, statusesOfOlderVersionsAreRead)
{
    ShardStatus status = makeStatus(8, 0);
    status.longRunningByImage["image"] = 5;
    EXPECT_EQ(decodeStatus(encodeStatus(status)), status);
    status.writtenAtMs = 0; // as written without scarcity, and by older versions
    const ShardStatus older = decodeStatus(encodeStatus(status));
    EXPECT_TRUE(older.bestEffortQueued.empty());
    EXPECT_EQ(older.bestEffortRate, 0);
    EXPECT_EQ(older.longRunningByImage, status.longRunningByImage);
    EXPECT_TRUE(decide({{0, older}, {1, older}}).isAdmitted);
}

// ---------------------------------------------------------------------------------------------------------------------
// Rejections on the rig
// ---------------------------------------------------------------------------------------------------------------------

namespace {

/** Many times the work that one worker can do: 33 jobs a second, each of which takes most of it for 0.3 s. */
class OverloadedRig : public ScarceRig
{
public:
    explicit OverloadedRig(bool isScarcityEnabled = true)
        : ScarceRig(isScarcityEnabled, 2000)
    {
    }

    void submitFor(Duration time)
    {
        for (const TimePoint until = clock.now() + time; clock.now() < until; run(30ms)) {
            submitJob(makeBestEffortJob(std::to_string(m_submitted++)));
        }
    }

    void submitJob(const WorkflowSpec &spec)
    {
        const TimePoint sentAt = clock.now();
        nodes.front()->node->submit(decoder.catalog.queues.front(),
                                    spec,
                                    clock.now() + 3s,
                                    [this, key = spec.key, sentAt](const IntakeReply &it) {
                                        replies[key] = it;
                                        longestAnswer = std::max(longestAnswer, clock.now() - sentAt);
                                    });
    }

    std::vector<JobKey> rejected() const
    {
        std::vector<JobKey> keys;
        for (const auto &[key, reply] : replies) {
            if (reply.outcome == IntakeOutcome::NoRoom) {
                keys.push_back(key);
            }
        }
        return keys;
    }

    std::map<JobKey, IntakeReply> replies;
    Duration longestAnswer{};

private:
    int m_submitted = 0;
};

} // namespace

// Load: steady overload. Guards against "not run" about a job that runs, and against callers that wait for a rejection.
TEST(Admission, rejectedJobsNeverRunAndAreAnsweredAtOnce)
{
    OverloadedRig rig;
    rig.submitFor(20s);
    const std::vector<JobKey> rejected = rig.rejected();
    ASSERT_FALSE(rejected.empty());
    rig.run(60s);
    for (const JobKey &key : rejected) {
        EXPECT_FALSE(rig.fleet.startedJobs.contains(key)) << key;
        EXPECT_FALSE(rig.backend.items.contains(std::string(RegistrationPrefix) + key)) << key;
        EXPECT_GE(rig.replies[key].retryAfter, Duration(1s));
    }
    EXPECT_LE(rig.longestAnswer, 2 * StepTime) << "one store call";
    EXPECT_EQ(rig.nodes.front()->node->admission().queues().at("queue").rejected, rejected.size());
    EXPECT_EQ(rig.nodes.front()->node->intakeCounters().noRoom, rejected.size());
}

// Guards against "not run" about a job that an earlier request has stored.
TEST(Admission, repeatedSubmissionOfAnAcceptedJobIsNotRejected)
{
    OverloadedRig rig;
    rig.submitFor(20s);
    ASSERT_EQ(rig.replies["0"].outcome, IntakeOutcome::Ok);
    rig.replies.clear();
    for (int i = 0; i < 200 && rig.rejected().empty(); ++i) {
        rig.submitFor(30ms);
    }
    ASSERT_FALSE(rig.rejected().empty());
    rig.submitJob(makeBestEffortJob("0"));
    rig.submitJob(makeBestEffortJob("new"));
    rig.run(100ms);
    EXPECT_EQ(rig.replies["0"].outcome, IntakeOutcome::Ok);
    EXPECT_EQ(rig.replies["new"].outcome, IntakeOutcome::NoRoom);
}

// Guards against a rejection that rests on a read without an answer.
TEST(Admission, withoutTheStoreAJobIsAnsweredAsWithoutScarcity)
{
    OverloadedRig rig;
    rig.submitFor(10s);
    for (int i = 0; i < 200 && rig.rejected().empty(); ++i) {
        rig.submitFor(30ms);
    }
    ASSERT_FALSE(rig.rejected().empty());
    rig.nodes.front()->store.isRefusing = true;
    rig.submitJob(makeBestEffortJob("refused"));
    rig.run(100ms);
    EXPECT_EQ(rig.replies["refused"].outcome, IntakeOutcome::NotAccepted);
    rig.nodes.front()->store.isRefusing = false;
    rig.nodes.front()->store.isSilent = true;
    rig.submitJob(makeBestEffortJob("unanswered"));
    rig.run(3500ms);
    EXPECT_EQ(rig.replies["unanswered"].outcome, IntakeOutcome::Unknown);
}

TEST(Admission, afterTheOverloadJobsAreAcceptedAgain)
{
    OverloadedRig rig;
    rig.submitFor(20s);
    ASSERT_FALSE(rig.rejected().empty());
    rig.run(10s);
    rig.submitJob(makeBestEffortJob("later"));
    rig.run(100ms);
    EXPECT_EQ(rig.replies["later"].outcome, IntakeOutcome::Ok);
}

TEST(Admission, nothingIsRejectedWithoutScarcity)
{
    OverloadedRig rig(false);
    rig.submitFor(20s);
    EXPECT_TRUE(rig.rejected().empty());
    for (const auto &[key, item] : rig.backend.items) {
        EXPECT_TRUE(!key.starts_with(StatusPrefix) || decodeStatus(item.value).writtenAtMs == 0);
    }
}

} // namespace QuetzalRock::Workflow
