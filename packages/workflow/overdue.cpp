#include <workflow/overdue.h>

namespace QuetzalRock::Workflow {

namespace {

/** When the oldest occurrence of @p job that is not complete was due; none if none is due at @p wallMs. */
std::optional<std::int64_t> oldestDueMs(const JobState &job, std::int64_t wallMs)
{
    const WorkflowSpec &spec = job.accepted.spec;
    if (spec.repeatCount == 0) {
        return job.accepted.acceptedMs;
    }
    for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
        const std::int64_t dueMs = spec.firstStartMs + static_cast<std::int64_t>(k) * spec.intervalMs;
        if (dueMs > wallMs) {
            break;
        }
        if (job.occurrences[k].doneSteps < job.occurrences[k].steps.size()) {
            return dueMs;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::int64_t> overdueSinceMs(const JobState &job, std::int64_t wallMs)
{
    if (hasLongRunningStep(job.accepted.spec)) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> dueMs = oldestDueMs(job, wallMs);
    if (!dueMs) {
        return std::nullopt;
    }
    const auto since = *dueMs + static_cast<std::int64_t>(TooLateFactor * latencyObjectiveMs(job.accepted));
    return since < wallMs ? std::optional(since) : std::nullopt;
}

bool isLongOverdue(const JobState &job, std::int64_t wallMs)
{
    const std::optional<std::int64_t> since = overdueSinceMs(job, wallMs);
    return since && static_cast<double>(wallMs - *since) >= latencyObjectiveMs(job.accepted);
}

std::int64_t &CpuByUse::of(const StepSpec &step)
{
    return step.usesSpareCpu ? spare : reserved;
}

void OverdueShare::beginPass(const CpuByUse &limit, const CpuByUse &held, bool isUsefulWorkWaiting)
{
    m_limit = limit;
    m_held = held;
    m_isUsefulWorkWaiting = isUsefulWorkWaiting;
}

void OverdueShare::addStart(const StepSpec &step)
{
    m_held.of(step) += step.need.cpuMillis;
}

bool OverdueShare::isBelowLimit(const StepSpec &step) const
{
    return step.usesSpareCpu ? m_held.spare < m_limit.spare : m_held.reserved < m_limit.reserved;
}

bool OverdueShare::mayExceedIdleCpu(DeadlineOutlook outlook) const
{
    return !m_isUsefulWorkWaiting && outlook != DeadlineOutlook::InTime;
}

} // namespace QuetzalRock::Workflow
