/**
 * Circuit breaker for calls to workers: fails calls to unresponsive workers immediately instead of after a timeout.
 *
 * Index of this file
 *   WorkerCircuitBreaker   decorates a WorkerAgent; keeps one circuit for each worker
 *
 * Use
 *   WorkerCircuitBreaker breaker(agent);
 *   breaker.report("w1");                  // fails after the timeout; "w1" is unresponsive from then on
 *   breaker.report("w1");                  // throws Unavailable immediately; nothing is sent
 *   probe thread:  for (;;) { breaker.probe(); clock.sleepFor(...); }   // allows calls again once "w1" responds
 *
 * The scheduler calls one worker after another on one thread. Without the breaker, 50 unresponsive workers would delay
 * each round by 50 timeouts, in which the leases on the other workers would expire; with it, they do so only once.
 */
#pragma once

#include <platform/platform.h>

#include <map>
#include <mutex>
#include <type_traits>

namespace QuetzalRock {

constexpr int MaxProbesWithoutCalls = 60; ///< a worker not called for more probe rounds is forgotten

/** Thread-safe. */
class WorkerCircuitBreaker final : public WorkerAgent
{
public:
    explicit WorkerCircuitBreaker(WorkerAgent &agent);

    void start(std::string_view worker, const StartCommand &command) override;
    void
    renew(std::string_view worker, std::uint64_t epoch, std::span<const AttemptId> attempts, Duration lease) override;
    void stop(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, StopMode mode) override;
    void throttle(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, int permille) override;
    WorkerReport report(std::string_view worker) override;
    void forget(std::string_view worker, std::span<const AttemptId> attempts) override;

    /**
     * Requests a report from each unresponsive worker, one after another, and allows calls again to those that respond.
     * Forgets workers without a call for more than MaxProbesWithoutCalls rounds, as their VM is most likely gone.
     */
    void probe();

    std::size_t unresponsiveCount() const;

private:
    template<typename Call>
    std::invoke_result_t<Call> callIfResponsive(std::string_view worker, Call call);
    void setUnresponsive(std::string_view worker, bool isUnresponsive);
    void throwIfUnresponsive(std::string_view worker);
    std::vector<std::string> beginProbeRound();

    WorkerAgent &m_agent;
    mutable std::mutex m_mutex;                             ///< guards m_unresponsive; never held during a call
    std::map<std::string, int, std::less<>> m_unresponsive; ///< worker -> probe rounds since its last call
};

} // namespace QuetzalRock
