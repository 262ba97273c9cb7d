/**
 * A loopback proxy of a minion that can delay one order: the next one after arm() gets no answer, and reaches whatever
 * listens on the minion's port after release(). All other calls pass at once.
 */
#pragma once

#include "common.h"

#include <mutex>

namespace Review {

class OrderProxy
{
public:
    OrderProxy(int port, int minionPort)
        : m_port(port)
        , m_minion("127.0.0.1:" + std::to_string(minionPort))
    {
    }

    void start()
    {
        std::thread([this] { serve(m_port, [this](const Message &it) { return pass(it); }); }).detach();
    }

    /** Delays the next call of @p target with a higher fencing token than @p fence. */
    void arm(const std::string &target, std::uint64_t fence = 0)
    {
        const std::lock_guard lock(m_mutex);
        m_target = target;
        m_fence = fence;
        m_isArmed = true;
        m_delayed.reset();
    }

    void disarm()
    {
        const std::lock_guard lock(m_mutex);
        m_isArmed = false;
    }

    /** The delayed order; none yet: empty. */
    std::optional<Message> delayed()
    {
        const std::lock_guard lock(m_mutex);
        return m_delayed;
    }

    /** Delivers the delayed order as soon as the port accepts connections; returns its answer. */
    Message release(std::int64_t timeoutMs)
    {
        const Message order = *delayed();
        const std::int64_t until = steadyMs() + timeoutMs;
        Message answer;
        while (answer.status == 0 && steadyMs() < until) {
            answer = send(order, 300);
            if (answer.status == 0) {
                sleepMs(2);
            }
        }
        return answer;
    }

private:
    Message send(const Message &it, std::int64_t timeoutMs) const
    {
        const auto expected = it.headers.find("x-quetzalrock-expect-instance");
        const std::string headers
            = expected == it.headers.end() ? "" : "X-Quetzalrock-Expect-Instance: " + expected->second + "\r\n";
        return request(m_minion, it.method, it.target, it.body, timeoutMs, headers);
    }

    bool isDelayed(const Message &it)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isArmed || it.target != m_target
            || parseBody(it.body).value("fenceToken", std::uint64_t{0}) <= m_fence) {
            return false;
        }
        m_isArmed = false;
        m_delayed = it;
        return true;
    }

    Answer pass(const Message &it)
    {
        if (isDelayed(it)) {
            return {0};
        }
        const Message answer = send(it, 10'000);
        return answer.status == 0 ? Answer{-1} : Answer{answer.status, parseBody(answer.body)};
    }

    int m_port;
    std::string m_minion;
    std::mutex m_mutex;
    bool m_isArmed = false;
    std::string m_target;
    std::uint64_t m_fence = 0;
    std::optional<Message> m_delayed;
};

} // namespace Review
