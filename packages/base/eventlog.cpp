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
{
}

std::uint64_t EventLog::suppressed() const
{
    return m_suppressed;
}

bool EventLog::takeToken()
{
    const TimePoint now = m_clock.now();
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_burst, m_tokens + seconds * m_rate);
    m_refilledAt = now;
    if (m_tokens < 1) {
        ++m_suppressed;
        return false;
    }
    m_tokens -= 1;
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
