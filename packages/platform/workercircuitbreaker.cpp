#include <platform/workercircuitbreaker.h>

namespace QuetzalRock {

WorkerCircuitBreaker::WorkerCircuitBreaker(WorkerAgent &agent)
    : m_agent(agent)
{
}

void WorkerCircuitBreaker::start(std::string_view worker, const StartCommand &command)
{
    callIfResponsive(worker, [&] { m_agent.start(worker, command); });
}

void WorkerCircuitBreaker::renew(std::string_view worker,
                                 std::uint64_t epoch,
                                 std::span<const AttemptId> attempts,
                                 Duration lease)
{
    callIfResponsive(worker, [&] { m_agent.renew(worker, epoch, attempts, lease); });
}

void WorkerCircuitBreaker::stop(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, StopMode mode)
{
    callIfResponsive(worker, [&] { m_agent.stop(worker, epoch, attempt, mode); });
}

void WorkerCircuitBreaker::throttle(std::string_view worker,
                                    std::uint64_t epoch,
                                    const AttemptId &attempt,
                                    int permille)
{
    callIfResponsive(worker, [&] { m_agent.throttle(worker, epoch, attempt, permille); });
}

WorkerReport WorkerCircuitBreaker::report(std::string_view worker)
{
    return callIfResponsive(worker, [&] { return m_agent.report(worker); });
}

void WorkerCircuitBreaker::forget(std::string_view worker, std::span<const AttemptId> attempts)
{
    callIfResponsive(worker, [&] { m_agent.forget(worker, attempts); });
}

void WorkerCircuitBreaker::probe()
{
    for (const std::string &it : beginProbeRound()) {
        try {
            m_agent.report(it);
            setUnresponsive(it, false);
        } catch (const Unavailable &) {
            continue; // stays unresponsive; probed again in the next round
        }
    }
}

std::vector<std::string> WorkerCircuitBreaker::beginProbeRound()
{
    std::lock_guard guard(m_mutex);
    std::vector<std::string> due;
    for (auto it = m_unresponsive.begin(); it != m_unresponsive.end();) {
        if (++it->second > MaxProbesWithoutCalls) {
            it = m_unresponsive.erase(it);
            continue;
        }
        due.push_back(it->first);
        ++it;
    }
    return due;
}

std::size_t WorkerCircuitBreaker::unresponsiveCount() const
{
    std::lock_guard guard(m_mutex);
    return m_unresponsive.size();
}

/** Makes the call unless the worker is unresponsive. A call that fails or gets no response marks it unresponsive. */
template<typename Call>
std::invoke_result_t<Call> WorkerCircuitBreaker::callIfResponsive(std::string_view worker, Call call)
{
    throwIfUnresponsive(worker);
    try {
        return call();
    } catch (const Unavailable &) {
        setUnresponsive(worker, true);
        throw;
    } catch (const OutcomeUnknown &) {
        setUnresponsive(worker, true);
        throw;
    }
}

void WorkerCircuitBreaker::setUnresponsive(std::string_view worker, bool isUnresponsive)
{
    std::lock_guard guard(m_mutex);
    if (isUnresponsive) {
        m_unresponsive.emplace(worker, 0);
        return;
    }
    const auto it = m_unresponsive.find(worker);
    if (it != m_unresponsive.end()) {
        m_unresponsive.erase(it);
    }
}

void WorkerCircuitBreaker::throwIfUnresponsive(std::string_view worker)
{
    std::lock_guard guard(m_mutex);
    const auto it = m_unresponsive.find(worker);
    if (it != m_unresponsive.end()) {
        it->second = 0;
        throw Unavailable("worker " + std::string(worker) + " is unresponsive; the call was not sent");
    }
}

} // namespace QuetzalRock
