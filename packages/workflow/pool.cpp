#include <workflow/pool.h>

namespace QuetzalRock::Workflow {

namespace {

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

void WorkerClock::note(std::int64_t clockMs, TimePoint receivedAt)
{
    if (m_isKnown && clockMs < m_clockMs) {
        return; // overtaken by a later answer
    }
    m_clockMs = clockMs;
    m_receivedAt = receivedAt;
    m_isKnown = true;
}

void WorkerClock::forget()
{
    m_isKnown = false;
    m_clockMs = 0;
}

bool WorkerClock::isKnown() const
{
    return m_isKnown;
}

std::int64_t WorkerClock::timeIn(Duration ahead, TimePoint now) const
{
    const auto elapsed = static_cast<double>(milliseconds(now - m_receivedAt)) * SlowestWorkerClock;
    return m_clockMs + static_cast<std::int64_t>(elapsed) + milliseconds(ahead);
}

TimePoint WorkerClock::reachedBy(Duration ahead, TimePoint now) const
{
    // The worker read its clock no later than m_receivedAt, so counting from there is on the safe side.
    const double total = static_cast<double>(((now - m_receivedAt) + ahead).count()) / SlowestWorkerClock;
    return m_receivedAt + Duration(static_cast<Duration::rep>(total));
}

} // namespace QuetzalRock::Workflow
