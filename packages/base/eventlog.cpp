#include <base/eventlog.h>

#include <glog/logging.h>

#include <algorithm>

namespace QuetzalRock {

EventLog::EventLog(Clock &clock, double linesPerSecond, double burst)
    : m_clock(clock)
    , m_rate(linesPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
    , m_refilledAt(clock.now())
    , m_reserveRefilledAt(clock.now())
{
}

std::uint64_t EventLog::suppressed() const
{
    return m_suppressed;
}

bool EventLog::takeToken()
{
    const bool isAllowed = takeToken(m_tokens, m_rate, m_burst, m_refilledAt);
    m_suppressed += isAllowed ? 0 : 1;
    return isAllowed;
}

bool EventLog::takeToken(double &tokens, double rate, double burst, TimePoint &refilledAt)
{
    const TimePoint now = m_clock.now();
    const double seconds = std::chrono::duration<double>(now - refilledAt).count();
    tokens = std::min(burst, tokens + seconds * rate);
    refilledAt = now;
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

void EventLog::writePrefix(std::ostringstream &line, std::string_view event)
{
    line << "t=" << m_clock.wallNow().count() << " event=" << event;
    if (m_reportedSuppressed != m_suppressed) {
        line << " suppressed_lines=" << m_suppressed - m_reportedSuppressed;
        m_reportedSuppressed = m_suppressed;
    }
}

void EventLog::appendText(std::ostringstream &line, std::string_view text)
{
    if (text.empty() || text.find_first_of(" =\"") != std::string_view::npos) {
        line << '"' << text << '"';
    } else {
        line << text;
    }
}

void EventLog::emit(const std::string &line)
{
    LOG(INFO) << line;
}

} // namespace QuetzalRock
