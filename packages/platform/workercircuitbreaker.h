/**
 * Keeps silent workers from holding up the caller of a WorkerAgent, who calls worker after worker on one thread.
 *
 * Index of this file
 *   WorkerCircuitBreaker   a WorkerAgent in front of another
 *
 * Use
 *   WorkerCircuitBreaker guarded(agent);
 *   guarded.report("w1");                  // may wait for a whole timeout, once; "w1" is silent from then on
 *   guarded.report("w1");                  // throws Unavailable at once: nothing was sent
 *   probe thread:  for (;;) { guarded.probe(); clock.sleepFor(...); }   // lets answering workers in again
 *
 * A call that is refused here was not sent, so Unavailable is true. Fifty silent workers cost their caller one timeout each
 * instead of one in each round, in which the leases of the other workers would run out.
 */
#pragma once

#include <platform/platform.h>

#include <map>
#include <mutex>
#include <type_traits>

namespace QuetzalRock {

constexpr int MaxIdleRounds = 60;

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
     * Asks each silent worker for a report, one after another. A worker that answers is silent no more; one that nobody
     * has called for MaxIdleRounds rounds is forgotten, as its VM is most likely gone.
     */
    void probe();

    std::size_t silentCount() const;

private:
    template<typename Call>
    std::invoke_result_t<Call> guard(std::string_view worker, Call call);
    void setSilent(std::string_view worker, bool isSilent);
    void throwIfSilent(std::string_view worker);
    std::vector<std::string> dueProbes();

    WorkerAgent &m_agent;
    mutable std::mutex m_mutex;                       ///< guards m_silent; never held during a call
    std::map<std::string, int, std::less<>> m_silent; ///< rounds of probes since anybody last called it
};

} // namespace QuetzalRock
