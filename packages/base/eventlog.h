/**
 * Structured log lines, one for each decision about a request and for each change of state in the process.
 *
 * Index of this file
 *   EventLog   rate-limited by a token bucket; the next written line reports how many lines were suppressed
 *
 * Use
 *   log.write("job_accepted", "job", key, "revision", revision, "queue", name);
 * writes
 *   t=1764800000123 event=job_accepted job=5c0e7a21d94b36f8 revision=412 queue=lookup
 *
 * Values must not contain line breaks. Values that are empty or contain spaces, "=" or quotes are enclosed in
 * quotes, without escapes. Lines are written through glog at level INFO; the daemon sends them to standard error.
 */
#pragma once

#include <base/clock.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <string_view>

namespace QuetzalRock {

class EventLog
{
public:
    /** Allows @p linesPerSecond lines on average and @p burst lines at once. */
    EventLog(Clock &clock, double linesPerSecond, double burst);

    template<typename... Fields>
    void write(std::string_view event, const Fields &...fields)
    {
        if (!takeToken()) {
            return;
        }
        emitLine(event, fields...);
    }

    /** For rare lines that explain an outcome to a caller: also written while the limit suppresses others. */
    template<typename... Fields>
    void writeImportant(std::string_view event, const Fields &...fields)
    {
        takeToken(m_reserve, ImportantPerSecond, std::min(m_burst, ImportantBurst), m_reserveRefilledAt)
            ? emitLine(event, fields...)
            : write(event, fields...);
    }

    std::uint64_t suppressed() const; ///< lines suppressed since construction

private:
    static constexpr double ImportantPerSecond = 10;
    static constexpr double ImportantBurst = 100;

    template<typename... Fields>
    void emitLine(std::string_view event, const Fields &...fields)
    {
        std::ostringstream line;
        writePrefix(line, event);
        appendFields(line, fields...);
        emit(line.str());
    }

    bool takeToken();
    bool takeToken(double &tokens, double rate, double burst, TimePoint &refilledAt);
    void writePrefix(std::ostringstream &line, std::string_view event);
    static void emit(const std::string &line);
    static void appendText(std::ostringstream &line, std::string_view text);

    static void appendFields(std::ostringstream &)
    {
    }

    template<typename Value, typename... Rest>
    static void appendFields(std::ostringstream &line, std::string_view name, const Value &value, const Rest &...rest)
    {
        line << ' ' << name << '=';
        if constexpr (std::is_convertible_v<Value, std::string_view>) {
            appendText(line, value);
        } else {
            line << value;
        }
        appendFields(line, rest...);
    }

    Clock &m_clock;
    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_refilledAt;
    double m_reserve = ImportantBurst; ///< tokens of writeImportant()
    TimePoint m_reserveRefilledAt;
    std::uint64_t m_suppressed = 0;
    std::uint64_t m_reportedSuppressed = 0; ///< part of m_suppressed already reported in a log line
};

} // namespace QuetzalRock
