/**
 * Forecast of when a new best-effort job would end, and the decision to reject it if that is too late. Decisions without
 * I/O; leaders publish what they need in ShardStatus, each node decides for the jobs that it is sent.
 *
 * Rejecting a job that could have been served is worse than accepting one that ends late, so whatever is not known
 * counts in favour of the job.
 *
 * Index of this file
 *   CompletionRate       the leader's measurement of how fast best-effort work is completed
 *   workBucket()         size classes of jobs in ShardStatus::bestEffortQueued
 *   forecastWait()       how long a new job would wait in a shard
 *   Admission, decideAdmission()   whether a new job is accepted, and by which shard
 *   AdmissionControl     a node's decisions, with counters and log lines
 */
#pragma once

#include <workflow/scarcity.h>
#include <workflow/shards.h>

#include <base/eventlog.h>

#include <deque>

namespace QuetzalRock::Workflow {

/** Work that was completed lately, in core-milliseconds. */
class CompletionRate
{
public:
    void add(std::int64_t work, TimePoint now);

    /**
     * To be called about once a second: whether best-effort work finds no room. Only while it does, the rate shows what the
     * shard can do and not just what it was asked to do.
     */
    void setWaiting(bool isWorkWaiting, TimePoint now);

    /** Core-milliseconds per second; 0 unless work has waited during the whole time of measurement. */
    std::int64_t perSecond(TimePoint now) const;

private:
    struct Completed
    {
        TimePoint at;
        std::int64_t work = 0;
    };

    std::deque<Completed> m_completed;
    std::int64_t m_sum = 0;     ///< of m_completed
    TimePoint m_waitingSince{}; ///< zero: no work waits
};

int workBucket(std::int64_t work); ///< of a job with @p work core-milliseconds: jobs of a bucket differ by 2 at most

/**
 * How long a new best-effort job would wait, as the shard's status shows; none if the status does not show it.
 * Counts the queued work of more urgent priorities, and a part of that of its own priority.
 */
std::optional<Duration> forecastWait(const ShardStatus &status, int priority, std::int64_t work);

struct Admission
{
    enum class Basis : std::uint8_t {
        NotApplicable, ///< scarcity is not enabled, or jobs of this kind are never rejected
        NoForecast,    ///< no recent statuses
        Forecast,
    };
    Basis basis = Basis::NotApplicable;
    bool isAdmitted = true;
    ShardId shard = 0;     ///< that should get the job
    Duration wait{};       ///< forecast for that shard
    Duration retryAfter{}; ///< if it is not admitted
};

/**
 * Decides on a new job, which would go to @p shard. If it would end too late there, it goes to the shard with the least
 * wait, and it is rejected if it would end too late in each. @p statuses are as of @p wallMs, Unix ms.
 */
Admission decideAdmission(const ShardMap &map,
                          const ShardStatuses &statuses,
                          const Queue &queue,
                          const WorkflowSpec &spec,
                          ShardId shard,
                          std::int64_t wallMs);

/** The decisions of one node. */
class AdmissionControl
{
public:
    AdmissionControl(const ScarcitySettings &settings, Clock &clock, EventLog &log);

    bool isEnabled() const;

    /** As decideAdmission(); admits all jobs if scarcity is not enabled. */
    Admission decide(const ShardMap &map,
                     const ShardStatuses &statuses,
                     const Queue &queue,
                     const WorkflowSpec &spec,
                     ShardId shard);

    /** A job of @p queue was rejected on the ground of @p admission. */
    void addRejection(const std::string &queue, const JobKey &key, const Admission &admission);

    struct QueueState
    {
        std::uint64_t rejected = 0;
        Duration wait{};            ///< last forecast
        std::uint64_t loggedAt = 0; ///< rejected at the last log line
        bool isRejecting = false;   ///< as last logged
        TimePoint lastRejectionAt{};
    };
    const std::map<std::string, QueueState> &queues() const; ///< by name

private:
    void logEndOfRejections(const std::string &queue, QueueState &state);

    ScarcitySettings m_settings;
    Clock &m_clock;
    EventLog &m_log;
    std::map<std::string, QueueState> m_queues;
    bool m_hasLoggedNoForecast = false;
};

} // namespace QuetzalRock::Workflow
