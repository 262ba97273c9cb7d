/**
 * Time.
 *
 * Index of this file
 *   Duration, TimePoint, WallTime   units
 *   Clock                           what every module takes instead of reading the time itself
 *   SystemClock                     the machine's clock
 *   ManualClock                     a clock that stands still until a test advances it
 */
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <vector>

namespace QuetzalRock {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>; ///< monotonic, of this process only
using WallTime = std::chrono::milliseconds; ///< since the Unix epoch; for people and history, never for decisions

/** A source of time. Thread-safe. */
class Clock
{
public:
    virtual ~Clock() = default;

    virtual TimePoint now() const = 0;
    virtual WallTime wallNow() const = 0;

    /** Waits on @p cv until it is notified or @p deadline has come. Spurious wake-ups happen: check your condition. */
    virtual void waitUntil(std::unique_lock<std::mutex> &lock, std::condition_variable &cv, TimePoint deadline) = 0;

    /** Blocks the calling thread for @p duration of this clock. */
    void sleepFor(Duration duration);
};

/** The machine's monotonic clock, which counts time spent suspended, and its wall clock. */
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    void waitUntil(std::unique_lock<std::mutex> &lock, std::condition_variable &cv, TimePoint deadline) override;
};

/**
 * A clock for tests: time passes only in advance().
 * advance() locks the mutex of every waiter, so never call it while holding one.
 */
class ManualClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    void waitUntil(std::unique_lock<std::mutex> &lock, std::condition_variable &cv, TimePoint deadline) override;

    /** Moves time forward and wakes every thread that waits on this clock. */
    void advance(Duration duration);

    /** How many threads wait on this clock now. */
    std::size_t waiterCount() const;

private:
    struct Waiter
    {
        std::mutex *mutex;
        std::condition_variable *cv;
    };

    mutable std::mutex m_mutex;             ///< guards the two below; taken after a waiter's mutex, never before it
    TimePoint m_now{std::chrono::hours(1)}; ///< not zero, so that "an hour ago" can be said
    std::vector<Waiter> m_waiters;
};

} // namespace QuetzalRock
