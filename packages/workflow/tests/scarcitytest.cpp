/** Unit tests of the decisions under scarcity, on a model of one resource. Each test names the load that it answers. */
#include <workflow/scarcity.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <random>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::int64_t StepMs = 100; ///< of the model
constexpr std::uint32_t Slots = 400;
constexpr std::int64_t ArrivalMs = 120'000; ///< jobs arrive for so long
constexpr std::int64_t WarmUpMs = 30'000;   ///< jobs that arrive earlier are not counted
constexpr std::int64_t DrainMs = 20'000;    ///< longer than any objective
constexpr double MeanTasks = 20;            ///< of one step
constexpr double MeanTaskMs = 2200;

enum class Order : std::uint8_t {
    FirstComeFirstServed,
    EarliestDeadline,
    LeastCost,
};

struct Arrival
{
    std::int64_t atMs = 0;
    std::uint32_t tasks = 1; ///< of each of two steps
    std::int64_t taskMs = 0;
};

/** Poisson arrivals that need @p load times the model's slots; the work of most jobs is small, that of a few is large. */
std::vector<Arrival> steadyArrivals(double load, std::uint32_t seed)
{
    std::mt19937 random(seed);
    const double jobsPerMs = load * Slots / (2 * MeanTasks * MeanTaskMs);
    std::exponential_distribution<double> gap(jobsPerMs);
    std::exponential_distribution<double> tasks(1 / MeanTasks);
    std::uniform_real_distribution<double> taskMs(0.5 * MeanTaskMs, 1.5 * MeanTaskMs);
    std::vector<Arrival> list;
    for (double at = gap(random); at < ArrivalMs; at += gap(random)) {
        const auto n = static_cast<std::uint32_t>(std::clamp(std::ceil(tasks(random)), 1.0, 100.0));
        list.push_back({std::llround(at), n, std::llround(taskMs(random))});
    }
    return list;
}

struct ModelJob
{
    JobState state;
    std::int64_t endedMs = 0;

    bool isInTime() const
    {
        return endedMs > 0
               && static_cast<double>(endedMs - state.accepted.acceptedMs) <= latencyObjectiveMs(state.accepted);
    }
    double work() const
    {
        return static_cast<double>(jobWork(state.accepted.spec));
    }
};

/** Slots of one resource that run the waiting tasks of jobs in a given order; a task that runs is not stopped. */
class OneResource
{
public:
    explicit OneResource(Order order)
        : m_order(order)
    {
        m_settings.enabled = true;
    }

    void run(const std::vector<Arrival> &arrivals)
    {
        std::size_t next = 0;
        for (std::int64_t now = 0; now < ArrivalMs + DrainMs; now += StepMs) {
            while (next < arrivals.size() && arrivals[next].atMs <= now) {
                add(arrivals[next++]);
            }
            endTasks(now);
            startTasks(now);
        }
    }

    const std::deque<ModelJob> &jobs() const
    {
        return m_jobs;
    }

private:
    void add(const Arrival &arrival)
    {
        ModelJob &job = m_jobs.emplace_back();
        AcceptedJob &accepted = job.state.accepted;
        accepted.spec.key = std::to_string(m_jobs.size());
        accepted.acceptedMs = arrival.atMs;
        accepted.stretch = 2;
        accepted.slackMs = 1200;
        for (std::uint32_t s = 0; s < 2; ++s) {
            StepSpec step;
            step.taskCount = arrival.tasks;
            step.need.cpuMillis = 3500;
            step.estimateMs = arrival.taskMs;
            step.after.assign(s, 0);
            accepted.spec.steps.push_back(step);
        }
        resetTasks(job.state);
        m_scarcity.addJob(job.state);
        m_active.push_back(&job);
    }

    void endTasks(std::int64_t now)
    {
        while (!m_ends.empty() && m_ends.begin()->first <= now) {
            const auto [job, step] = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            OccurrenceState &occurrence = job->state.occurrences.front();
            if (++occurrence.steps[step].doneCount == occurrence.steps[step].tasks.size()
                && ++occurrence.doneSteps == 2) {
                job->endedMs = now;
                m_scarcity.addEnd(job->state, now);
                std::erase(m_active, job);
            }
        }
    }

    void startTasks(std::int64_t now)
    {
        std::vector<std::pair<JobRank, ModelJob *>> ranks;
        for (ModelJob *job : m_active) {
            ranks.emplace_back(rank(*job, now), job);
        }
        std::sort(ranks.begin(), ranks.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
        for (const auto &[rank, job] : ranks) {
            startTasksOf(*job, now);
        }
    }

    JobRank rank(const ModelJob &job, std::int64_t now) const
    {
        JobRank it;
        it.acceptedMs = job.state.accepted.acceptedMs;
        it.key = job.state.key();
        if (m_order == Order::EarliestDeadline) {
            it.acceptedMs += std::llround(latencyObjectiveMs(job.state.accepted));
        } else if (m_order == Order::LeastCost) {
            it = rankOf(job.state, now, {});
            m_scarcity.refineRank(m_settings, job.state, now, it);
        }
        return it;
    }

    void startTasksOf(ModelJob &job, std::int64_t now)
    {
        OccurrenceState &occurrence = job.state.occurrences.front();
        const std::uint32_t step = occurrence.doneSteps;
        for (TaskState &it : occurrence.steps[step].tasks) {
            if (it.phase != TaskPhase::Waiting || m_ends.size() >= Slots) {
                continue;
            }
            if (job.state.state == WorkflowState::Queued) {
                job.state.state = WorkflowState::Running;
                m_scarcity.addFirstStart(job.state, now);
            }
            it.phase = TaskPhase::Running;
            m_ends.emplace(now + job.state.accepted.spec.steps[step].estimateMs, std::pair(&job, step));
        }
    }

    Order m_order;
    ScarcitySettings m_settings;
    ScarcityOrder m_scarcity;
    std::deque<ModelJob> m_jobs;
    std::vector<ModelJob *> m_active;
    std::multimap<std::int64_t, std::pair<ModelJob *, std::uint32_t>> m_ends; ///< of running tasks
};

/** What was served of the jobs that arrived after the warm-up. */
struct Served
{
    double jobsPerSecond = 0;  ///< in time
    double worthPerSecond = 0; ///< of jobs in time
    double largest = 0;        ///< share of the largest tenth that ended in time
    double large = 0;          ///< share of the fifth below it
    double rest = 0;           ///< share of the others
};

double inTimeShare(const std::vector<const ModelJob *> &jobs, double from, double to)
{
    const auto begin = jobs.begin() + std::lround(from * static_cast<double>(jobs.size()));
    const auto end = jobs.begin() + std::lround(to * static_cast<double>(jobs.size()));
    const auto n = std::count_if(begin, end, [](const ModelJob *it) { return it->isInTime(); });
    return static_cast<double>(n) / static_cast<double>(end - begin);
}

Served summarize(const std::deque<ModelJob> &all)
{
    std::vector<const ModelJob *> jobs;
    double work = 0;
    for (const ModelJob &it : all) {
        if (it.state.accepted.acceptedMs >= WarmUpMs) {
            jobs.push_back(&it);
            work += it.work();
        }
    }
    std::stable_sort(
        jobs.begin(), jobs.end(), [](const ModelJob *a, const ModelJob *b) { return a->work() > b->work(); });
    Served served;
    for (const ModelJob *it : jobs) {
        served.jobsPerSecond += it->isInTime() ? 1 : 0;
        served.worthPerSecond += it->isInTime() ? jobWorth(it->work(), work / static_cast<double>(jobs.size())) : 0;
    }
    const double seconds = static_cast<double>(ArrivalMs - WarmUpMs) / 1000;
    served.jobsPerSecond /= seconds;
    served.worthPerSecond /= seconds;
    served.largest = inTimeShare(jobs, 0, 0.1);
    served.large = inTimeShare(jobs, 0.1, 0.3);
    served.rest = inTimeShare(jobs, 0.3, 1);
    return served;
}

Served serve(Order order, const std::vector<Arrival> &arrivals)
{
    OneResource resource(order);
    resource.run(arrivals);
    return summarize(resource.jobs());
}

void print(const char *name, double load, const Served &it)
{
    std::printf("%-24s load %.1f: in time %.2f jobs/s, worth %.2f/s; largest tenth %.2f, fifth below %.2f, rest %.2f\n",
                name,
                load,
                it.jobsPerSecond,
                it.worthPerSecond,
                it.largest,
                it.large,
                it.rest);
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Order on one resource
// ---------------------------------------------------------------------------------------------------------------------

// Load: steady overload. Guards against an order that lets the queue grow until every job is late.
TEST(Scarcity, overloadDoesNotReduceWhatIsServedInTime)
{
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        std::map<double, Served> leastCost;
        for (const double load : {0.8, 1.0, 1.5, 2.5}) {
            const auto arrivals = steadyArrivals(load, seed);
            const Served first = serve(Order::FirstComeFirstServed, arrivals);
            const Served deadline = serve(Order::EarliestDeadline, arrivals);
            const Served least = leastCost[load] = serve(Order::LeastCost, arrivals);
            print("first come first served", load, first);
            print("earliest deadline", load, deadline);
            print("least cost", load, least);
            if (load > 1) {
                EXPECT_GE(least.worthPerSecond, first.worthPerSecond) << load << ", seed " << seed;
                EXPECT_GE(least.worthPerSecond, deadline.worthPerSecond) << load << ", seed " << seed;
            }
        }
        for (const double load : {1.5, 2.5}) {
            EXPECT_GE(leastCost[load].jobsPerSecond, leastCost[1.0].jobsPerSecond) << load << ", seed " << seed;
            EXPECT_GE(leastCost[load].worthPerSecond, leastCost[1.0].worthPerSecond) << load << ", seed " << seed;
        }
    }
}

// Load: steady overload. Guards against starvation of large jobs, whose delay costs the least per core-millisecond.
TEST(Scarcity, largeJobsAreServedAtLeastHalfAsOftenAsTheRest)
{
    for (const std::uint32_t seed : {1U, 2U, 3U, 4U, 5U}) {
        for (const double load : {1.0, 1.5, 2.5}) {
            const Served it = serve(Order::LeastCost, steadyArrivals(load, seed));
            EXPECT_GE(it.largest, 0.5 * it.rest) << load << ", seed " << seed;
            EXPECT_GE(it.large, 0.5 * it.rest) << load << ", seed " << seed;
        }
    }
}

// Load: a burst of large jobs of one class beside steady small work. Guards against a floor for large jobs that lets
// their burst displace the rest.
TEST(Scarcity, burstOfLargeJobsLeavesRoomForTheRest)
{
    std::vector<Arrival> arrivals = steadyArrivals(0.6, 1);
    for (int i = 0; i < 60; ++i) {
        arrivals.push_back({60'000 + i * 10, 60, 2200});
    }
    std::stable_sort(
        arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) { return a.atMs < b.atMs; });
    const Served least = serve(Order::LeastCost, arrivals);
    const Served first = serve(Order::FirstComeFirstServed, arrivals);
    print("first come first served", 0.6, first);
    print("least cost", 0.6, least);
    EXPECT_GE(least.rest, first.rest);
    EXPECT_GE(least.worthPerSecond, first.worthPerSecond);
    EXPECT_GE(least.largest, 0.5 * least.rest);
    EXPECT_GE(least.large, first.large);
}

// Load: many small jobs beside few large ones. Guards against starvation of the large ones where jobs have only two sizes.
TEST(Scarcity, fewLargeJobsBesideManySmallOnesAreServed)
{
    std::vector<Arrival> arrivals;
    std::mt19937 random(1);
    std::exponential_distribution<double> gap(2.0 * Slots
                                              / (2 * 12 * MeanTaskMs)); // twice the load; 12 tasks on average
    for (double at = gap(random); at < ArrivalMs; at += gap(random)) {
        arrivals.push_back({std::llround(at), random() % 10 == 0 ? 75U : 5U, 2200});
    }
    const Served it = serve(Order::LeastCost, arrivals);
    print("least cost", 2.0, it);
    EXPECT_GE(it.largest, 0.5 * it.rest);
}

// ---------------------------------------------------------------------------------------------------------------------
// Single decisions
// ---------------------------------------------------------------------------------------------------------------------

namespace {

/** A job of two steps in sequence, of 1 s each: objective 5 s. */
JobState makeJob(const JobKey &key, std::int64_t acceptedMs, std::uint32_t tasks)
{
    JobState job;
    job.accepted.spec.key = key;
    job.accepted.queue = "queue";
    job.accepted.acceptedMs = acceptedMs;
    job.accepted.stretch = 2;
    job.accepted.slackMs = 1000;
    for (std::uint32_t s = 0; s < 2; ++s) {
        StepSpec step;
        step.taskCount = tasks;
        step.need.cpuMillis = 1000;
        step.estimateMs = 1000;
        step.usesSpareCpu = true;
        step.after.assign(s, 0);
        job.accepted.spec.steps.push_back(step);
    }
    resetTasks(job);
    return job;
}

JobRank refinedRank(const ScarcityOrder &order, const JobState &job, std::int64_t wallMs)
{
    JobRank rank = rankOf(job, wallMs, {});
    order.refineRank({}, job, wallMs, rank);
    return rank;
}

} // namespace

TEST(Scarcity, worthGrowsWithWorkUpToALimit)
{
    EXPECT_DOUBLE_EQ(jobWorth(100, 100), 1);
    EXPECT_DOUBLE_EQ(jobWorth(0, 100), 0.3);
    EXPECT_DOUBLE_EQ(jobWorth(200, 100), 1.7);
    EXPECT_DOUBLE_EQ(jobWorth(10'000, 100), 4);
    EXPECT_DOUBLE_EQ(jobWorth(100, 0), 1) << "the mean is not known yet";
}

TEST(Scarcity, orderIsByPriorityThenOutlookThenProgressThenCost)
{
    ScarcityOrder order;
    JobState small = makeJob("small", 0, 1);
    JobState large = makeJob("large", 0, 10);
    order.addJob(small);
    order.addJob(large);
    EXPECT_LT(refinedRank(order, small, 0), refinedRank(order, large, 0)) << "costs more per core-millisecond";
    large.state = WorkflowState::Running;
    EXPECT_LT(refinedRank(order, large, 0), refinedRank(order, small, 0)) << "in progress";
    EXPECT_LT(refinedRank(order, small, 0), refinedRank(order, large, 4000)) << "late";
    EXPECT_LT(refinedRank(order, large, 4000), refinedRank(order, small, 15'000)) << "worthless";
    large.accepted.priority = 1;
    EXPECT_LT(refinedRank(order, small, 15'000), refinedRank(order, large, 0)) << "less urgent queue";
}

// Guards against jobs that start just in time, end late and so waste the room of others.
TEST(Scarcity, newJobWithoutMarginCountsAsLate)
{
    const ScarcityOrder order;
    JobState job = makeJob("a", 0, 1);
    EXPECT_EQ(refinedRank(order, job, 2000).outlook, DeadlineOutlook::InTime);
    EXPECT_EQ(refinedRank(order, job, 2100).outlook, DeadlineOutlook::Late);
    job.state = WorkflowState::Running;
    EXPECT_EQ(refinedRank(order, job, 3000).outlook, DeadlineOutlook::InTime);
    JobState tight = makeJob("b", 0, 1);
    tight.accepted.stretch = 1;
    tight.accepted.slackMs = 100;
    EXPECT_EQ(refinedRank(order, tight, 0).outlook, DeadlineOutlook::InTime) << "little slack from the start";
}

TEST(Scarcity, waitingRaisesARankToALimit)
{
    const ScarcityOrder order;
    JobState job = makeJob("a", 0, 10);
    EXPECT_LT(refinedRank(order, job, 1000), refinedRank(order, job, 0));
    const JobState smaller = makeJob("b", 2000, 1);
    EXPECT_LT(refinedRank(order, smaller, 2000), refinedRank(order, job, 2000)) << "e times the cost at most";
}

// Guards against tasks that slow all others down for a result that is worthless, or that would be useful anyway.
TEST(Scarcity, spareCpuIsSharedOnlyByAJobThatWouldBecomeWorthless)
{
    JobState job = makeJob("a", 0, 1); // worthless after 15 s; 2 s of critical path
    EXPECT_FALSE(mayShareSpareCpu(job, 5000));
    EXPECT_FALSE(mayShareSpareCpu(job, 10'999));
    EXPECT_TRUE(mayShareSpareCpu(job, 11'000));
    EXPECT_TRUE(mayShareSpareCpu(job, 14'999));
    EXPECT_FALSE(mayShareSpareCpu(job, 15'000));
    job.accepted.spec.steps[0].isLongRunning = true;
    EXPECT_FALSE(mayShareSpareCpu(job, 11'000));
}

TEST(Scarcity, jobsWithoutObjectiveKeepTheirPlace)
{
    ScarcityOrder order;
    JobState timed = makeJob("timed", 0, 1);
    timed.accepted.spec.repeatCount = 3;
    JobState other = makeJob("other", 60'000, 1);
    order.addJob(timed);
    order.addJob(other);
    EXPECT_EQ(timed.sizeClass, SizeClass::Rest);
    EXPECT_LT(refinedRank(order, timed, 60'000), refinedRank(order, other, 60'000));
}

} // namespace QuetzalRock::Workflow
