#include <base/clock.h>

#include <algorithm>
#include <ctime>

namespace QuetzalRock {

void Clock::sleepFor(Duration duration)
{
    std::mutex mutex;
    std::condition_variable cv;
    std::unique_lock lock(mutex);
    const TimePoint deadline = now() + duration;
    while (now() < deadline) {
        waitUntil(lock, cv, deadline);
    }
}

TimePoint SystemClock::now() const
{
    timespec time{};
    // Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME also counts while the VM is suspended, during which leases keep expiring.
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                          + std::chrono::nanoseconds(time.tv_nsec)));
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::duration_cast<WallTime>(std::chrono::system_clock::now().time_since_epoch());
}

void SystemClock::waitUntil(std::unique_lock<std::mutex> &lock, std::condition_variable &cv, TimePoint deadline)
{
    cv.wait_for(lock, deadline - now());
}

TimePoint ManualClock::now() const
{
    std::lock_guard guard(m_mutex);
    return m_now;
}

WallTime ManualClock::wallNow() const
{
    return std::chrono::duration_cast<WallTime>(now().time_since_epoch());
}

void ManualClock::waitUntil(std::unique_lock<std::mutex> &lock, std::condition_variable &cv, TimePoint deadline)
{
    {
        std::lock_guard guard(m_mutex);
        if (m_now >= deadline) {
            return;
        }
        m_waiters.push_back({lock.mutex(), &cv});
    }
    cv.wait(lock);
    std::lock_guard guard(m_mutex);
    const auto it = std::find_if(m_waiters.begin(), m_waiters.end(), [&](const Waiter &w) { return w.cv == &cv; });
    m_waiters.erase(it);
}

void ManualClock::advance(Duration duration)
{
    std::vector<Waiter> waiters;
    {
        std::lock_guard guard(m_mutex);
        m_now += duration;
        waiters = m_waiters;
    }
    for (const Waiter &it : waiters) {
        std::lock_guard guard(*it.mutex);
        it.cv->notify_all();
    }
}

std::size_t ManualClock::waiterCount() const
{
    std::lock_guard guard(m_mutex);
    return m_waiters.size();
}

} // namespace QuetzalRock
