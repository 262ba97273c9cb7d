/**
 * Clocks and time units.
 *
 * Index of this file
 *   Duration, TimePoint, WallTime   time units; toMilliseconds()
 *   Clock                           interface through which all modules read the time
 *   SystemClock                     the clocks of the operating system
 *   ManualClock                     a clock for tests that only changes when advanced
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
using WallTime = std::chrono::milliseconds; ///< since the Unix epoch; for display and history only, never for decisions

inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** A source of time. Thread-safe. */
class Clock
{
public:
    virtual ~Clock() = default;

    virtual TimePoint now() const = 0;
    virtual WallTime wallNow() const = 0;

    /** Waits on @p cv until it is notified or @p deadline is reached. May wake up spuriously: recheck the condition. */
    virtual void waitUntil(std::unique_lock<std::mutex> &lock, std::condition_variable &cv, TimePoint deadline) = 0;

    /** Blocks the calling thread until this clock has advanced by @p duration. */
    void sleepFor(Duration duration);
};

/** The monotonic clock of the operating system (including time while the VM is suspended) and its wall clock. */
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    void waitUntil(std::unique_lock<std::mutex> &lock, std::condition_variable &cv, TimePoint deadline) override;
};

/**
 * A clock for tests; time passes only in advance().
 * advance() locks the mutex of each waiter: calling it while holding one of these mutexes is a deadlock.
 */
class ManualClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    void waitUntil(std::unique_lock<std::mutex> &lock, std::condition_variable &cv, TimePoint deadline) override;

    /** Advances the time and wakes all threads that wait on this clock. */
    void advance(Duration duration);

    /** Returns the number of threads that currently wait on this clock. */
    std::size_t waiterCount() const;

private:
    struct Waiter
    {
        std::mutex *mutex;
        std::condition_variable *cv;
    };

    mutable std::mutex m_mutex; ///< guards m_now and m_waiters; lock order: a waiter's mutex first, then this one
    TimePoint m_now{std::chrono::hours(1)}; ///< one hour, so that tests can use earlier time points
    std::vector<Waiter> m_waiters;
};

} // namespace QuetzalRock
