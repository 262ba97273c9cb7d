/**
 * Bounds how long accepted jobs wait behind newer ones. Designed for sustained overload: newer jobs that can still end in
 * time take all room as it is freed, so that an order by deadline and cost alone never comes to the jobs whose results
 * are useless by now. These are overdue. They are placed first, the oldest of all priorities before the others, until
 * they hold a share of the CPU; what is left of them waits for the room that the others leave.
 *
 * Whether a job is overdue depends only on what is stored of it, so the wait does not begin anew with a new leader.
 *
 * Index of this file
 *   OverdueSettings   the share
 *   overdueSinceMs()  since when a job is overdue
 *   isLongOverdue()   whether it may start with a throttle of 0
 *   CpuByUse, OverdueShare   what overdue jobs may take during one placement pass
 */
#pragma once

#include <workflow/joborder.h>

#include <optional>

namespace QuetzalRock::Workflow {

struct OverdueSettings
{
    double share = 0.1; ///< of the CPU that long-running tasks leave

    /** A run that takes longer than that many times its estimate does not count any more, so that it cannot hold the share. */
    int maxCountedEstimates = 3;
};

/**
 * The wall time, in Unix ms, since which @p job is overdue at @p wallMs: TooLateFactor times its latency objective after
 * its acceptance or, if it is timed, after the oldest due time of which tasks are left. None: it is not, or it has
 * long-running tasks.
 */
std::optional<std::int64_t> overdueSinceMs(const JobState &job, std::int64_t wallMs);

/** Whether @p job has been overdue for another latency objective at @p wallMs. */
bool isLongOverdue(const JobState &job, std::int64_t wallMs);

/** CPU, in millis, by how tasks use it. */
struct CpuByUse
{
    std::int64_t reserved = 0;
    std::int64_t spare = 0; ///< requested by best-effort tasks

    std::int64_t &of(const StepSpec &step);
};

/** Of one pool. Reserved and spare CPU are told apart, as there may be little of one and much of the other. */
class OverdueShare
{
public:
    /**
     * Begins a placement pass. @p limit: CPU that overdue jobs may hold before others. @p held: CPU that their tasks requested.
     * @p isUsefulWorkWaiting: whether best-effort jobs that can still end in time have found no room.
     */
    void beginPass(const CpuByUse &limit, const CpuByUse &held, bool isUsefulWorkWaiting);

    void addStart(const StepSpec &step); ///< of a task of an overdue job

    bool isBelowLimit(const StepSpec &step) const; ///< whether overdue tasks like those of @p step go first

    /**
     * Whether a job of which nothing runs may start a task beyond the idle CPU. The forecast of idle CPU paces best-effort
     * work so that it ends in time; a job that cannot do so any more must not wait for it without end.
     */
    bool mayExceedIdleCpu(DeadlineOutlook outlook) const;

private:
    CpuByUse m_limit;
    CpuByUse m_held;
    bool m_isUsefulWorkWaiting = false;
};

} // namespace QuetzalRock::Workflow
