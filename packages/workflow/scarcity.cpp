#include <workflow/scarcity.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace QuetzalRock::Workflow {

namespace {

// The price of a job, as agreed with callers: see jobWorth()
constexpr double FixedWorth = 0.3;
constexpr double WorthPerMeanWork = 0.7;
constexpr double MaxWorth = 4;

constexpr double CostResolution = 1e9; ///< a job of a million core-milliseconds still has a cost of several hundred

// Time that a job should have left when it starts, as parts of its critical path and of its slack at acceptance.
constexpr double StartMargin = 0.5;
constexpr double MaxMarginOfSlack = 0.5; ///< otherwise jobs with little slack would count as late from the start

constexpr double SharedCpuSlowdown = 2; ///< assumed, of best-effort tasks that exceed the idle CPU

constexpr std::size_t RecentJobs = 128;       ///< of which the distribution of work is known
constexpr std::size_t MinClassifiedJobs = 10; ///< with fewer, the largest tenth is not a whole job
constexpr double LargestShare = 0.1;          ///< of a queue's jobs
constexpr double LargeShare = 0.2;            ///< of a queue's jobs, below the largest

/** Weight that counts of jobs and starts keep with each new job: the last 200 jobs or so decide. */
constexpr double CountRetention = 0.998;

/** The value below which @p share of @p values lie. Reorders them. */
std::int64_t quantile(std::vector<std::int64_t> &values, double share)
{
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

double ageMs(const JobState &job, std::int64_t wallMs)
{
    return static_cast<double>(wallMs - job.accepted.acceptedMs);
}

/** Falls from 1 without slack to 1/e with the whole objective left: the bound up to which waiting raises a job's rank. */
double urgency(const JobState &job, std::int64_t wallMs)
{
    const double objective = std::max(1.0, latencyObjectiveMs(job.accepted));
    const auto remaining = static_cast<double>(remainingCriticalPathMs(job, job.occurrences.front()));
    const double slack = objective - ageMs(job, wallMs) - remaining;
    return std::exp(-std::clamp(slack / objective, 0.0, 1.0));
}

/** Per core-millisecond of remaining work, in multiples of the queue's price. */
double costOfDelay(const JobState &job, double meanWork, std::int64_t wallMs)
{
    const double worth = jobWorth(static_cast<double>(jobWork(job.accepted.spec)), meanWork);
    return worth * urgency(job, wallMs) / std::max(1.0, static_cast<double>(remainingWork(job)));
}

/**
 * Whether a new job that starts now still has time until its objective for what delays it later: its tasks do not all
 * start at once. Jobs without that time start in time, end late and take room from jobs that would not.
 */
bool hasStartMargin(const JobState &job, std::int64_t wallMs)
{
    const double objective = latencyObjectiveMs(job.accepted);
    const auto criticalPath = static_cast<double>(criticalPathMs(job.accepted.spec));
    const double margin = std::min(StartMargin * criticalPath, MaxMarginOfSlack * (objective - criticalPath));
    return ageMs(job, wallMs) + criticalPath + margin <= objective;
}

bool hasObjective(const WorkflowSpec &spec)
{
    return spec.repeatCount == 0 && !hasLongRunningStep(spec);
}

} // namespace

std::int64_t stepWork(const StepSpec &step, std::uint32_t tasks)
{
    return step.isLongRunning ? 0 : tasks * step.need.cpuMillis * step.estimateMs / 1000;
}

std::int64_t jobWork(const WorkflowSpec &spec)
{
    std::int64_t sum = 0;
    for (const StepSpec &it : spec.steps) {
        sum += stepWork(it, it.taskCount);
    }
    return sum;
}

std::int64_t remainingWork(const JobState &job)
{
    std::int64_t sum = 0;
    const auto &steps = job.occurrences.front().steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
        const auto left = static_cast<std::uint32_t>(steps[s].tasks.size()) - steps[s].doneCount;
        sum += stepWork(job.accepted.spec.steps[s], left);
    }
    return sum;
}

double jobWorth(double work, double meanWork)
{
    const double relative = meanWork > 0 ? work / meanWork : 1;
    return std::min(MaxWorth, FixedWorth + WorthPerMeanWork * relative);
}

bool mayShareSpareCpu(const JobState &job, std::int64_t wallMs)
{
    if (!hasObjective(job.accepted.spec)) {
        return false;
    }
    const double lastUsefulMs = TooLateFactor * latencyObjectiveMs(job.accepted);
    const auto remaining = static_cast<double>(remainingCriticalPathMs(job, job.occurrences.front()));
    const double age = ageMs(job, wallMs);
    return age < lastUsefulMs && age + SharedCpuSlowdown * remaining >= lastUsefulMs;
}

bool hasBestEffortTaskWithoutRoom(const JobState &job)
{
    const auto &steps = job.occurrences.front().steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
        if (job.accepted.spec.steps[s].usesSpareCpu && steps[s].noRoomSince != TimePoint{}) {
            return true;
        }
    }
    return false;
}

// ---------------------------------------------------------------------------------------------------------------------
// Size classes
// ---------------------------------------------------------------------------------------------------------------------

SizeClass QueueWork::addJob(std::int64_t work)
{
    if (m_recentWork.size() < RecentJobs) {
        m_recentWork.push_back(work);
    } else {
        m_totalWork -= m_recentWork[m_next];
        m_recentWork[m_next] = work;
        m_next = (m_next + 1) % RecentJobs;
    }
    m_totalWork += work;
    SizeClass sizeClass = SizeClass::Rest;
    if (m_recentWork.size() >= MinClassifiedJobs) {
        std::vector<std::int64_t> sorted = m_recentWork;
        const bool isAboveLeast = work > *std::min_element(sorted.begin(), sorted.end());
        sizeClass = isAboveLeast && work >= quantile(sorted, 1 - LargestShare)                ? SizeClass::Largest
                    : isAboveLeast && work >= quantile(sorted, 1 - LargestShare - LargeShare) ? SizeClass::Large
                                                                                              : SizeClass::Rest;
    }
    for (ClassCount &it : m_classes) {
        it.seen *= CountRetention;
        it.served *= CountRetention;
    }
    m_classes[static_cast<std::size_t>(sizeClass)].seen += 1;
    return sizeClass;
}

void QueueWork::addServed(SizeClass sizeClass)
{
    m_classes[static_cast<std::size_t>(sizeClass)].served += 1;
}

void QueueWork::removeServed(SizeClass sizeClass)
{
    double &served = m_classes[static_cast<std::size_t>(sizeClass)].served;
    served = std::max(0.0, served - 1);
}

double QueueWork::meanWork() const
{
    return m_recentWork.empty() ? 0 : static_cast<double>(m_totalWork) / static_cast<double>(m_recentWork.size());
}

bool QueueWork::isBehind(SizeClass sizeClass, double share) const
{
    const ClassCount &own = m_classes[static_cast<std::size_t>(sizeClass)];
    const ClassCount &rest = m_classes[static_cast<std::size_t>(SizeClass::Rest)];
    return sizeClass != SizeClass::Rest && own.served * rest.seen < share * rest.served * own.seen;
}

// ---------------------------------------------------------------------------------------------------------------------
// Order
// ---------------------------------------------------------------------------------------------------------------------

void ScarcityOrder::addJob(JobState &job)
{
    if (!job.isGuest && hasObjective(job.accepted.spec)) {
        job.sizeClass = m_queues[job.accepted.queue].addJob(jobWork(job.accepted.spec));
    }
}

void ScarcityOrder::addFirstStart(JobState &job, std::int64_t wallMs)
{
    if (job.isGuest || !hasObjective(job.accepted.spec)) {
        return;
    }
    const auto remaining = static_cast<double>(remainingCriticalPathMs(job, job.occurrences.front()));
    if (ageMs(job, wallMs) + remaining <= latencyObjectiveMs(job.accepted)) {
        m_queues[job.accepted.queue].addServed(job.sizeClass);
        job.countsAsServed = true;
    }
}

void ScarcityOrder::addEnd(const JobState &job, std::int64_t wallMs)
{
    if (job.countsAsServed && ageMs(job, wallMs) > latencyObjectiveMs(job.accepted)) {
        m_queues[job.accepted.queue].removeServed(job.sizeClass);
    }
}

void ScarcityOrder::refineRank(const ScarcitySettings &settings,
                               const JobState &job,
                               std::int64_t wallMs,
                               JobRank &rank) const
{
    if (!hasObjective(job.accepted.spec)) {
        rank.sequence = std::numeric_limits<std::int64_t>::min(); // its occurrences have their own times
        return;
    }
    if (rank.outlook == DeadlineOutlook::TooLate) {
        return; // by age alone
    }
    const auto queue = m_queues.find(job.accepted.queue);
    const double meanWork = queue == m_queues.end() ? 0 : queue->second.meanWork();
    if (rank.isNew) {
        const bool mayEndLate = rank.outlook == DeadlineOutlook::InTime && !hasStartMargin(job, wallMs);
        rank.outlook = mayEndLate ? DeadlineOutlook::Late : rank.outlook;
        rank.sequence = -std::llround(CostResolution * costOfDelay(job, meanWork, wallMs));
    } else {
        rank.sequence = job.accepted.acceptedMs + std::llround(latencyObjectiveMs(job.accepted));
    }
    rank.isServedEnough = queue == m_queues.end() || !queue->second.isBehind(job.sizeClass, settings.largeJobShare);
}

} // namespace QuetzalRock::Workflow
