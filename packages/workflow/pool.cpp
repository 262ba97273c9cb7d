#include <workflow/pool.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

void WorkerClock::update(std::int64_t clockMs, TimePoint receivedAt)
{
    if (m_isKnown && clockMs < m_clockMs) {
        return; // a newer reply has been recorded already
    }
    m_clockMs = clockMs;
    m_receivedAt = receivedAt;
    m_isKnown = true;
}

void WorkerClock::reset()
{
    m_isKnown = false;
    m_clockMs = 0;
}

bool WorkerClock::isKnown() const
{
    return m_isKnown;
}

std::int64_t WorkerClock::workerTimeAfter(Duration delay, TimePoint now) const
{
    const auto elapsed = static_cast<double>(milliseconds(now - m_receivedAt)) * MinWorkerClockRate;
    return m_clockMs + static_cast<std::int64_t>(elapsed) + milliseconds(delay);
}

TimePoint WorkerClock::latestLocalTimeAfter(Duration delay, TimePoint now) const
{
    // The worker read its clock no later than m_receivedAt, so the result is an upper bound.
    const double total = static_cast<double>(((now - m_receivedAt) + delay).count()) / MinWorkerClockRate;
    return m_receivedAt + Duration(static_cast<Duration::rep>(total));
}

bool WorkerState::hasStartingRun() const
{
    return std::any_of(runs.begin(), runs.end(), [](const TaskRef &it) { return it.task().isStartUncertain(); })
           || std::any_of(
               unresolvedRuns.begin(), unresolvedRuns.end(), [](const LostRun &it) { return it.isStarting; });
}

} // namespace QuetzalRock::Workflow
