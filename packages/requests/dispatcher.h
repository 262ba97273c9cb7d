/**
 * One request from admission to its answer: claims, queue, tries, hedges, deadlines. A state machine for one thread, with
 * no I/O, thread or clock of its own: the same events at the same times give the same decisions.
 *
 * Index of this file
 *   ClaimClient            how it asks for claims
 *   DispatchCounters     what it counts
 *   Dispatcher           events in; exchanges, claims and answers out
 *
 * Use
 *   dispatcher.submit(request, done, now);
 *   dispatcher.onResult(result, now);            // of the transport
 *   dispatcher.onClaim(requestId, reply, now);   // of the claims
 *   dispatcher.tick(now);                        // at nextTimer() at the latest
 */
#pragma once

#include <requests/admission.h>
#include <requests/balancer.h>
#include <requests/claims.h>
#include <requests/metrics.h>
#include <requests/retrybudget.h>
#include <requests/transport.h>

#include <atomic>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>

namespace QuetzalRock {

/** Claims as the dispatcher asks for them; replies come back by Dispatcher::onClaim(). */
class ClaimClient
{
public:
    virtual ~ClaimClient() = default;

    virtual void claim(RequestId id, const ClaimRequest &request) = 0;
    virtual void end(const ClaimEnd &end) = 0;
};

/** Read from any thread. */
struct DispatchCounters
{
    std::atomic<std::uint64_t> submitted = 0;
    std::atomic<std::uint64_t> answered = 0;
    std::atomic<std::uint64_t> notRun = 0;
    std::atomic<std::uint64_t> failed = 0;
    std::atomic<std::uint64_t> unknown = 0;
    std::atomic<std::uint64_t> rejected = 0;
    std::atomic<std::uint64_t> shedLate = 0;   ///< refused because the deadline could not be met
    std::atomic<std::uint64_t> brownedOut = 0; ///< refused by class while load was high
    std::atomic<std::uint64_t> retries = 0;
    std::atomic<std::uint64_t> hedges = 0;
    std::atomic<std::uint64_t> hedgesWon = 0;
    std::atomic<std::uint64_t> budgetEmpty = 0; ///< retries and hedges that were not made for want of tokens
    std::atomic<std::uint64_t> open = 0;        ///< now
    std::atomic<std::uint64_t> queued = 0;      ///< now
    std::atomic<std::uint64_t> inFlight = 0;    ///< exchanges, now
    std::atomic<std::uint64_t> ejected = 0;     ///< instances, now
};

class Dispatcher
{
public:
    using Done = std::function<void(CallerResponse)>;

    /** @p metrics may be null. */
    Dispatcher(const RequestSettings &settings,
               UpstreamTransport &transport,
               ClaimClient &claims,
               RequestMetrics *metrics,
               std::uint64_t seed);

    void submit(CallerRequest request, Done done, TimePoint now);
    void onResult(ExchangeResult result, TimePoint now);
    void onClaim(RequestId id, ClaimReply reply, TimePoint now);
    void tick(TimePoint now);
    TimePoint nextTimer() const;
    void abandonAll(TimePoint now); ///< answers whatever is open: not_run, failed or outcome_unknown, as is true

    void setUpstreams(std::span<const UpstreamInstance> instances, TimePoint now);

    std::size_t openRequests() const;
    std::size_t abandonedClaims() const; ///< asked for by requests that are over, and not yet replied to
    const DispatchCounters &counters() const;
    const Balancer &balancer() const;
    const Admission &admission() const;

private:
    enum class State : std::uint8_t {
        Claiming, ///< waits for the claim's owner
        Waiting,  ///< a repeat that waits for the first run
        Queued,
        InFlight,
    };
    struct Try
    {
        ExchangeId id = 0;
        InstanceId instance = 0;
        TimePoint startedAt;
        bool isHedge = false;
    };
    struct OpenRequest
    {
        RequestId id = 0;
        std::shared_ptr<const CallerRequest> request;
        Done done;
        std::size_t classIndex = 0;
        TenantIndex tenant = 0;
        State state = State::Queued;
        TimePoint arrivedAt;
        TimePoint deadline;
        TimePoint firstSentAt;
        TimePoint hedgeAt = TimePoint::max();
        bool mayHaveRun = false;  ///< a byte may have left in a try that is over
        bool awaitsClaim = false; ///< the claim's owner has not replied yet
        bool holdsClaim = false;
        bool isAdmitted = false; ///< counted by Admission until onDone()
        int triesMade = 0;
        std::string claimKey;
        std::uint64_t claimant = 0;
        std::vector<Try> tries;        ///< in flight now
        std::vector<InstanceId> tried; ///< not to be chosen again
    };
    /** What an upstream needs for a request of a class. */
    struct ClassTiming
    {
        double mean = 0; ///< microseconds, moving average
        double deviation = 0;
        double usual = 0; ///< follows the mean down at once and up slowly: the mean without congestion
        TimePoint learnedAt;
    };
    struct Timer
    {
        TimePoint at;
        RequestId id = 0;
        bool operator>(const Timer &other) const
        {
            return at > other.at;
        }
    };

    const RequestClass &classOf(const OpenRequest &it) const;
    bool isIdempotent(const OpenRequest &it) const;
    Ticket ticketOf(const OpenRequest &it) const;
    Throughput throughput() const;

    void judge(OpenRequest &it, TimePoint now);
    void askForClaim(OpenRequest &it);
    void enqueue(OpenRequest &it, TimePoint now);
    void dispatchQueued(TimePoint now);
    void sendTo(OpenRequest &it, InstanceId instance, bool isHedge, TimePoint now);
    void hedge(OpenRequest &it, TimePoint now);
    void tryAgain(OpenRequest &it, const ExchangeResult &result, TimePoint now);
    bool mayTryAgain(const OpenRequest &it, TimePoint now) const;
    void onAnswer(OpenRequest &it, const Try &from, ExchangeResult result, TimePoint now);
    void giveUp(OpenRequest &it, std::string_view reason, TimePoint now);
    void onDeadline(OpenRequest &it, TimePoint now);
    void refuse(OpenRequest &it, const Refusal &refusal, TimePoint now);
    void cancelTries(OpenRequest &it, TimePoint now);
    void cancelTry(OpenRequest &it, const Try &from, TimePoint now);
    void endClaim(OpenRequest &it, const CallerResponse &response);
    void finish(OpenRequest &it, CallerResponse response, TimePoint now);
    double slownessOf(const OpenRequest &it, const Try &from, TimePoint now) const;
    void learnTime(std::size_t classIndex, Duration time, TimePoint now);
    void forgetOldTimes(TimePoint now);
    void shedLate(TimePoint now);
    void runTimers(TimePoint now);
    void updateGauges();
    OpenRequest *find(RequestId id);

    const RequestSettings &m_settings;
    UpstreamTransport &m_transport;
    ClaimClient &m_claims;
    RequestMetrics *m_metrics;
    Balancer m_balancer;
    Admission m_admission;
    RetryBudget m_budget;
    TenantTable m_tenants;
    std::vector<ClassTiming> m_timing; ///< by class
    std::vector<Duration> m_expected;  ///< by class
    double m_meanService = 0;          ///< microseconds, over all classes
    std::unordered_map<RequestId, std::unique_ptr<OpenRequest>> m_open;
    std::unordered_map<ExchangeId, RequestId> m_exchanges;
    std::unordered_map<RequestId, ClaimEnd>
        m_abandoned; ///< claims asked for by requests that are over: released if granted
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::vector<Shed> m_shed;
    std::mt19937_64 m_random;
    RequestId m_lastId = 0;
    TimePoint m_slowTickAt;
    TimePoint m_shedAt;
    DispatchCounters m_counters;
};

} // namespace QuetzalRock
