/**
 * Structured log lines: one for each decision that touches a request, or that changes what the process believes.
 *
 * Index of this file
 *   EventLog   bounded by a token bucket; suppressed lines are counted and reported by the next line that passes
 *
 * Use
 *   log.write("job_accepted", "job", key, "revision", revision, "queue", name);
 * gives
 *   t=1764800000123 event=job_accepted job=5c0e7a21d94b36f8 revision=412 queue=lookup
 *
 * Values must not contain line breaks; those with spaces are quoted. Lines go through glog to standard output.
 */
#pragma once

#include <base/clock.h>

#include <sstream>
#include <string>
#include <string_view>

namespace QuetzalRock {

class EventLog
{
public:
    /** @p linesPerSecond bounds the volume over time, @p burst what may come at once. */
    EventLog(Clock &clock, double linesPerSecond, double burst);

    template<typename... Fields>
    void write(std::string_view event, const Fields &...fields)
    {
        if (!admit()) {
            return;
        }
        std::ostringstream line;
        begin(line, event);
        addAll(line, fields...);
        emit(line.str());
    }

    std::uint64_t suppressed() const; ///< lines left out since the start

private:
    bool admit();
    void begin(std::ostringstream &line, std::string_view event);
    static void emit(const std::string &line);
    static void addText(std::ostringstream &line, std::string_view text);

    static void addAll(std::ostringstream &)
    {
    }

    template<typename Value, typename... Rest>
    static void addAll(std::ostringstream &line, std::string_view name, const Value &value, const Rest &...rest)
    {
        line << ' ' << name << '=';
        if constexpr (std::is_convertible_v<Value, std::string_view>) {
            addText(line, value);
        } else {
            line << value;
        }
        addAll(line, rest...);
    }

    Clock &m_clock;
    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_refilledAt;
    std::uint64_t m_suppressed = 0;
    std::uint64_t m_reported = 0; ///< of m_suppressed
};

} // namespace QuetzalRock
