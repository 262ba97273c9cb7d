/**
 * Decisions while there is too little room: which of the waiting jobs goes first. Plain data and decisions without I/O.
 *
 * What a delay of a job costs its caller is judged by the job's worth: a part is the same for each job of a queue, the
 * rest grows with its work. Jobs that can still meet their objective go first. Among these, jobs in progress are finished
 * by deadline, and new ones start by their cost of delay per core-millisecond of work: there each core saves callers
 * the most. This alone would starve large jobs, so the large jobs of a queue go first whenever they have been served at
 * less than a given share of the rate of the rest.
 *
 * Index of this file
 *   ScarcitySettings     whether the decisions below are used
 *   jobWork(), remainingWork(), stepWork()   core-milliseconds by declared estimates
 *   jobWorth()           what a job is worth, relative to the mean of its queue
 *   mayShareSpareCpu()   whether a job may exceed the idle CPU so as not to end too late
 *   QueueWork            how much work the jobs of one queue have, and how well each size class is served
 *   ScarcityOrder        the leader's order of waiting jobs
 */
#pragma once

#include <workflow/joborder.h>

#include <array>
#include <map>
#include <string>
#include <vector>

namespace QuetzalRock::Workflow {

struct ScarcitySettings
{
    bool enabled = false; ///< [workflow] scarcity = least_cost, the default; none: false

    /**
     * The size classes of large jobs are served at least at this share of the rate at which the rest is. Callers are
     * promised one half; the difference covers the noise of small numbers.
     */
    double largeJobShare = 0.75;
};

std::int64_t jobWork(const WorkflowSpec &spec); ///< of one occurrence, without long-running steps
std::int64_t remainingWork(const JobState &job);
std::int64_t stepWork(const StepSpec &step, std::uint32_t tasks);

/** Price of a job that ends in time, in multiples of its queue's price. @p meanWork is that of the queue's jobs. */
double jobWorth(double work, double meanWork);

/**
 * Whether the best-effort tasks of @p job may exceed the idle CPU: it can only just end within TooLateFactor times its
 * objective, at half speed. Afterwards its result is worthless, and sharing would slow others for nothing.
 */
bool mayShareSpareCpu(const JobState &job, std::int64_t wallMs);

bool hasBestEffortTaskWithoutRoom(const JobState &job); ///< as of the last placement

/** The work of the jobs of one queue, as this leader has seen them, and how well each size class is served. */
class QueueWork
{
public:
    SizeClass addJob(std::int64_t work);    ///< returns the job's size class
    void addServed(SizeClass sizeClass);    ///< it started in time, and is expected to end so
    void removeServed(SizeClass sizeClass); ///< it ended late after all

    double meanWork() const; ///< 0: no job seen

    /** Whether the jobs of @p sizeClass are served at less than @p share of the rate of the rest. */
    bool isBehind(SizeClass sizeClass, double share) const;

private:
    struct ClassCount
    {
        double seen = 0;   ///< jobs; older ones count less
        double served = 0; ///< of these
    };

    std::vector<std::int64_t> m_recentWork; ///< of the last jobs, unordered
    std::size_t m_next = 0;                 ///< position in m_recentWork that the next job replaces once it is full
    std::int64_t m_totalWork = 0;           ///< of m_recentWork
    std::array<ClassCount, SizeClassCount> m_classes{};
};

/** Order of the waiting jobs of one leader. */
class ScarcityOrder
{
public:
    void addJob(JobState &job);                             ///< once for each job; sets JobState::sizeClass
    void addFirstStart(JobState &job, std::int64_t wallMs); ///< sets JobState::countsAsServed
    void addEnd(const JobState &job, std::int64_t wallMs);

    /** Sets the members of @p rank, which rankOf() has filled, that only matter under scarcity. */
    void refineRank(const ScarcitySettings &settings, const JobState &job, std::int64_t wallMs, JobRank &rank) const;

private:
    std::map<std::string, QueueWork> m_queues; ///< by name
};

} // namespace QuetzalRock::Workflow
