#include <platform/workercircuitbreaker.h>

namespace QuetzalRock {

WorkerCircuitBreaker::WorkerCircuitBreaker(WorkerAgent &agent)
    : m_agent(agent)
{
}

void WorkerCircuitBreaker::start(std::string_view worker, const StartCommand &command)
{
    guard(worker, [&] { m_agent.start(worker, command); });
}

void WorkerCircuitBreaker::renew(std::string_view worker,
                                 std::uint64_t epoch,
                                 std::span<const AttemptId> attempts,
                                 Duration lease)
{
    guard(worker, [&] { m_agent.renew(worker, epoch, attempts, lease); });
}

void WorkerCircuitBreaker::stop(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, StopMode mode)
{
    guard(worker, [&] { m_agent.stop(worker, epoch, attempt, mode); });
}

void WorkerCircuitBreaker::throttle(std::string_view worker,
                                    std::uint64_t epoch,
                                    const AttemptId &attempt,
                                    int permille)
{
    guard(worker, [&] { m_agent.throttle(worker, epoch, attempt, permille); });
}

WorkerReport WorkerCircuitBreaker::report(std::string_view worker)
{
    return guard(worker, [&] { return m_agent.report(worker); });
}

void WorkerCircuitBreaker::forget(std::string_view worker, std::span<const AttemptId> attempts)
{
    guard(worker, [&] { m_agent.forget(worker, attempts); });
}

void WorkerCircuitBreaker::probe()
{
    for (const std::string &it : dueProbes()) {
        try {
            m_agent.report(it);
            setSilent(it, false);
        } catch (const Unavailable &) {
            continue; // asked again in the next round
        }
    }
}

std::vector<std::string> WorkerCircuitBreaker::dueProbes()
{
    std::lock_guard guard(m_mutex);
    std::vector<std::string> due;
    for (auto it = m_silent.begin(); it != m_silent.end();) {
        if (++it->second > MaxIdleRounds) {
            it = m_silent.erase(it);
            continue;
        }
        due.push_back(it->first);
        ++it;
    }
    return due;
}

std::size_t WorkerCircuitBreaker::silentCount() const
{
    std::lock_guard guard(m_mutex);
    return m_silent.size();
}

/** Makes a call unless the worker is silent; a worker whose answer does not come is silent from then on. */
template<typename Call>
std::invoke_result_t<Call> WorkerCircuitBreaker::guard(std::string_view worker, Call call)
{
    throwIfSilent(worker);
    try {
        return call();
    } catch (const Unavailable &) {
        setSilent(worker, true);
        throw;
    } catch (const OutcomeUnknown &) {
        setSilent(worker, true);
        throw;
    }
}

void WorkerCircuitBreaker::setSilent(std::string_view worker, bool isSilent)
{
    std::lock_guard guard(m_mutex);
    if (isSilent) {
        m_silent.emplace(worker, 0);
        return;
    }
    const auto it = m_silent.find(worker);
    if (it != m_silent.end()) {
        m_silent.erase(it);
    }
}

void WorkerCircuitBreaker::throwIfSilent(std::string_view worker)
{
    std::lock_guard guard(m_mutex);
    const auto it = m_silent.find(worker);
    if (it != m_silent.end()) {
        it->second = 0;
        throw Unavailable("worker " + std::string(worker) + " did not answer lately; nothing was sent");
    }
}

} // namespace QuetzalRock
