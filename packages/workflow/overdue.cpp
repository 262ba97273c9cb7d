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

void OverdueShare::beginPass(std::int64_t limitMillis, std::int64_t heldMillis, bool isUsefulWorkWaiting)
{
    m_limitMillis = limitMillis;
    m_heldMillis = heldMillis;
    m_isUsefulWorkWaiting = isUsefulWorkWaiting;
}

void OverdueShare::addStart(std::int64_t cpuMillis)
{
    m_heldMillis += cpuMillis;
}

bool OverdueShare::isBelowLimit() const
{
    return m_heldMillis < m_limitMillis;
}

bool OverdueShare::mayExceedIdleCpu(DeadlineOutlook outlook) const
{
    return !m_isUsefulWorkWaiting && outlook != DeadlineOutlook::InTime;
}

} // namespace QuetzalRock::Workflow
