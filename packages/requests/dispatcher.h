/**
 * Takes each request from admission to its answer: claim, queue, attempts, hedges, deadline. A single-threaded state
 * machine without I/O, threads or a clock of its own: the same events at the same times give the same decisions.
 *
 * Index of this file
 *   ClaimClient          requests claims for the dispatcher
 *   DispatchCounters     counters and gauges
 *   Dispatcher           takes events; starts exchanges, requests claims and answers callers
 *
 * Use
 *   dispatcher.submit(request, done, now);
 *   dispatcher.onResult(result, now);            // from the transport
 *   dispatcher.onClaim(requestId, reply, now);   // reply to a claim
 *   dispatcher.tick(now);                        // no later than nextTimer()
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

/** Sends claims on behalf of the dispatcher. Replies are passed to Dispatcher::onClaim(). */
class ClaimClient
{
public:
    virtual ~ClaimClient() = default;

    virtual void claim(RequestId id, const ClaimRequest &request) = 0;
    virtual void end(const ClaimEnd &end) = 0;
};

/** May be read from any thread. */
struct DispatchCounters
{
    std::atomic<std::uint64_t> submitted = 0;
    std::atomic<std::uint64_t> answered = 0;
    std::atomic<std::uint64_t> notRun = 0;
    std::atomic<std::uint64_t> failed = 0;
    std::atomic<std::uint64_t> outcomeUnknown = 0;
    std::atomic<std::uint64_t> rejected = 0;
    std::atomic<std::uint64_t> shedLate = 0;   ///< RefusalReason::Deadline
    std::atomic<std::uint64_t> brownedOut = 0; ///< RefusalReason::Brownout
    std::atomic<std::uint64_t> retries = 0;
    std::atomic<std::uint64_t> hedges = 0;
    std::atomic<std::uint64_t> hedgesWon = 0;
    std::atomic<std::uint64_t> retryBudgetExhausted = 0; ///< retries and hedges not sent
    std::atomic<std::uint64_t> open = 0;                 ///< requests, now
    std::atomic<std::uint64_t> queued = 0;               ///< requests, now
    std::atomic<std::uint64_t> inFlight = 0;             ///< exchanges, now
    std::atomic<std::uint64_t> ejected = 0;              ///< instances, now
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
    void tick(TimePoint now);       ///< runs due timers, sheds late requests, dispatches queued ones
    TimePoint nextTimer() const;    ///< when tick() is due
    void abandonAll(TimePoint now); ///< ends all open requests with not_run, failed or outcome_unknown

    void setUpstreams(std::span<const UpstreamInstance> instances, TimePoint now);

    std::size_t openRequests() const;
    std::size_t abandonedClaims() const; ///< without a reply yet, of requests that have ended
    const DispatchCounters &counters() const;
    const Balancer &balancer() const;
    const Admission &admission() const;

private:
    enum class State : std::uint8_t {
        Claiming, ///< the claim's owner has not replied
        Waiting,  ///< the request is a repeat and waits until the first run has ended
        Queued,
        InFlight,
    };
    struct Attempt
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
        bool mayHaveRun = false;      ///< a byte may have left in an attempt that has ended
        bool isAwaitingClaim = false; ///< the claim's owner has not replied
        bool hasClaim = false;
        bool isAdmitted = false; ///< Admission counts it as open until onDone()
        int attemptsMade = 0;
        std::string claimKey;
        std::uint64_t claimant = 0;
        std::vector<Attempt> attempts;          ///< in flight now
        std::vector<InstanceId> triedInstances; ///< excluded from later attempts if possible
    };
    /** Measured upstream service time of a class, in microseconds. */
    struct ServiceTimeStats
    {
        double mean = 0;      ///< moving average
        double deviation = 0; ///< mean absolute deviation, moving average
        double baseline = 0;  ///< mean without congestion: follows the mean down at once and up slowly
        TimePoint updatedAt;
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
    RequestInfo makeRequestInfo(const OpenRequest &it) const;
    UpstreamCapacity upstreamCapacity() const;

    void admitOrRefuse(OpenRequest &it, TimePoint now);
    void requestClaim(OpenRequest &it);
    void enqueue(OpenRequest &it, TimePoint now);
    void dispatchQueued(TimePoint now);
    void sendTo(OpenRequest &it, InstanceId instance, bool isHedge, TimePoint now);
    void sendHedge(OpenRequest &it, TimePoint now);
    void retry(OpenRequest &it, const ExchangeResult &result, TimePoint now);
    bool canRetry(const OpenRequest &it, TimePoint now) const;
    void onAnswer(OpenRequest &it, const Attempt &attempt, ExchangeResult result, TimePoint now);
    void finishWithoutAnswer(OpenRequest &it, std::string_view reason, TimePoint now);
    void onTimeout(OpenRequest &it, TimePoint now);
    void refuse(OpenRequest &it, const Refusal &refusal, TimePoint now);
    void cancelAttempts(OpenRequest &it, TimePoint now);
    void cancelAttempt(OpenRequest &it, const Attempt &attempt, TimePoint now);
    void endClaim(OpenRequest &it, const CallerResponse &response);
    void finish(OpenRequest &it, CallerResponse response, TimePoint now);
    double slownessOf(const OpenRequest &it, const Attempt &attempt, TimePoint now) const;
    void recordServiceTime(std::size_t classIndex, Duration time, TimePoint now);
    void decayStaleServiceTimes(TimePoint now);
    void shedLateRequests(TimePoint now);
    void runTimers(TimePoint now);
    void updateGauges();
    OpenRequest *find(RequestId id);

    const RequestSettings &m_settings;
    UpstreamTransport &m_transport;
    ClaimClient &m_claims;
    RequestMetrics *m_metrics;
    Balancer m_balancer;
    Admission m_admission;
    RetryBudget m_retryBudget;
    TenantTable m_tenants;
    std::vector<ServiceTimeStats> m_serviceTimes; ///< by class index
    std::vector<Duration> m_expectedTimes;        ///< by class index
    double m_meanServiceTime = 0;                 ///< microseconds, over all classes
    std::unordered_map<RequestId, std::unique_ptr<OpenRequest>> m_open;
    std::unordered_map<ExchangeId, RequestId> m_exchanges;
    std::unordered_map<RequestId, ClaimEnd> m_abandonedClaims; ///< of ended requests; released if granted
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::vector<ShedRequest> m_shedRequests;
    std::mt19937_64 m_random;
    RequestId m_lastId = 0;
    TimePoint m_slowTickAt;
    TimePoint m_shedAt;
    DispatchCounters m_counters;
};

} // namespace QuetzalRock
