#include <requests/dispatcher.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr double ServiceTimeSampleWeight = 0.05;     ///< weight of the newest service time in its class's averages
constexpr double MeanServiceTimeSampleWeight = 0.02; ///< weight of it in the average over all classes
constexpr Duration BaselineRiseTime = 60s;           ///< time constant with which the baseline follows a rising mean
constexpr Duration StaleAfter = 500ms;  ///< without an answer, a class's mean begins to return to the configured time
constexpr double StaleDecayShare = 0.1; ///< share of the difference removed in each slow tick
constexpr Duration SlowTickInterval = 100ms;
constexpr Duration ShedInterval = 5ms; ///< between searches for late requests in the queue
constexpr Duration FailureRetryAfter = 200ms;
constexpr Duration OverloadRetryAfter = 500ms;
constexpr std::size_t MaxIdempotencyKeyBytes = 255;
constexpr double SilentAfterMeans = 4; ///< an attempt is silent, not just slow, after this x its class's mean
constexpr int FirstServerError = 500;

double toMicros(Duration duration)
{
    return static_cast<double>(duration.count());
}

Duration fromMicros(double micros)
{
    return Duration(static_cast<std::int64_t>(micros));
}

bool contains(std::span<const InstanceId> ids, InstanceId id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/** Marks an upstream's error response as failed; the response is passed on whole. */
CallerResponse markFailed(CallerResponse response)
{
    response.outcome = RequestOutcome::Failed;
    response.headers.push_back({std::string(OutcomeHeader), std::string(outcomeName(RequestOutcome::Failed))});
    return response;
}

CallerResponse makeAlreadyRanResponse()
{
    CallerResponse response;
    response.status = 409;
    response.headers = {{std::string(OutcomeHeader), "answered"}, {"Content-Type", "application/json"}};
    response.body = R"({"error":"already_ran","message":"the first answer was too long to be stored","retry":false})";
    return response;
}

} // namespace

Dispatcher::Dispatcher(const RequestSettings &settings,
                       UpstreamTransport &transport,
                       ClaimClient &claims,
                       RequestMetrics *metrics,
                       std::uint64_t seed)
    : m_settings(settings)
    , m_transport(transport)
    , m_claims(claims)
    , m_metrics(metrics)
    , m_balancer(settings, seed)
    , m_admission(settings)
    , m_retryBudget(settings.retryTokensPerSuccess, settings.maxRetryTokens)
    , m_tenants(static_cast<std::size_t>(settings.maxTenantLabels))
    , m_serviceTimes(settings.classes.size())
    , m_expectedTimes(settings.classes.size())
    , m_random(seed)
{
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        m_serviceTimes[i].mean = toMicros(settings.classes[i].expectedTime);
        m_expectedTimes[i] = settings.classes[i].expectedTime;
        m_meanServiceTime += m_serviceTimes[i].mean / static_cast<double>(settings.classes.size());
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Arrival of requests
// ---------------------------------------------------------------------------------------------------------------------

const RequestClass &Dispatcher::classOf(const OpenRequest &it) const
{
    return m_settings.classes[it.classIndex];
}

bool Dispatcher::isIdempotent(const OpenRequest &it) const
{
    return classOf(it).idempotent;
}

RequestInfo Dispatcher::makeRequestInfo(const OpenRequest &it) const
{
    return {it.id, it.classIndex, it.tenant, it.deadline, it.arrivedAt};
}

UpstreamCapacity Dispatcher::upstreamCapacity() const
{
    return {m_balancer.usableSlots(), m_balancer.freeSlots(), fromMicros(m_meanServiceTime)};
}

Dispatcher::OpenRequest *Dispatcher::find(RequestId id)
{
    const auto it = m_open.find(id);
    return it == m_open.end() ? nullptr : it->second.get();
}

void Dispatcher::submit(CallerRequest request, Done done, TimePoint now)
{
    ++m_counters.submitted;
    const RequestClass *requestClass = findClass(m_settings, request.method, request.target);
    if (requestClass == nullptr) {
        ++m_counters.rejected;
        done(rejectedResponse(404, "no request class matches this method and path"));
        return;
    }
    auto open = std::make_unique<OpenRequest>();
    OpenRequest &it = *open;
    it.id = ++m_lastId;
    it.classIndex = static_cast<std::size_t>(requestClass - m_settings.classes.data());
    it.tenant = m_tenants.findOrAdd(requestClass->tenant.empty() ? request.tenant : requestClass->tenant);
    it.arrivedAt = now;
    const bool isShorter = request.timeout > Duration::zero() && request.timeout < requestClass->deadline;
    it.deadline = now + (isShorter ? request.timeout : requestClass->deadline);
    it.done = std::move(done);
    it.request = std::make_shared<const CallerRequest>(std::move(request));
    m_open.emplace(it.id, std::move(open));
    admitOrRefuse(it, now);
}

void Dispatcher::admitOrRefuse(OpenRequest &it, TimePoint now)
{
    const std::string &key = it.request->idempotencyKey;
    const bool needsClaim = !isIdempotent(it) && !key.empty();
    if (classOf(it).requireKey && key.empty()) {
        finish(it, rejectedResponse(400, "this request class requires an Idempotency-Key"), now);
        return;
    }
    if (key.size() > MaxIdempotencyKeyBytes) {
        finish(it, rejectedResponse(400, "the Idempotency-Key is longer than 255 bytes"), now);
        return;
    }
    if (m_open.size() > static_cast<std::size_t>(m_settings.maxOpenRequests)) {
        finish(it, notRunResponse("too many requests are open", OverloadRetryAfter), now);
        return;
    }
    if (const auto refusal
        = m_admission.admit(makeRequestInfo(it), m_expectedTimes[it.classIndex], upstreamCapacity(), now)) {
        refuse(it, *refusal, now);
        return;
    }
    it.isAdmitted = true;
    m_timers.push({it.deadline, it.id});
    if (needsClaim) {
        requestClaim(it);
        return;
    }
    enqueue(it, now);
    dispatchQueued(now);
}

void Dispatcher::refuse(OpenRequest &it, const Refusal &refusal, TimePoint now)
{
    const bool isTenantLimit
        = refusal.reason == RefusalReason::TenantRate || refusal.reason == RefusalReason::TenantConcurrency;
    m_counters.shedLate += refusal.reason == RefusalReason::Deadline ? 1 : 0;
    m_counters.brownedOut += refusal.reason == RefusalReason::Brownout ? 1 : 0;
    if (it.mayHaveRun) {
        finishWithoutAnswer(it, refusalMessage(refusal.reason), now);
        return;
    }
    finish(it, notRunResponse(refusalMessage(refusal.reason), refusal.retryAfter, isTenantLimit ? 429 : 503), now);
}

// ---------------------------------------------------------------------------------------------------------------------
// Claims
// ---------------------------------------------------------------------------------------------------------------------

void Dispatcher::requestClaim(OpenRequest &it)
{
    it.state = State::Claiming;
    // Does not use the name in the tenant table, which tenants beyond its maximum share.
    const std::string &tenant = classOf(it).tenant.empty() ? it.request->tenant : classOf(it).tenant;
    it.claimKey = claimKey(tenant, it.request->idempotencyKey);
    m_timers.push({it.arrivedAt + m_settings.maxClaimWait, it.id});
    it.claimant = m_random();
    it.isAwaitingClaim = true;
    m_claims.claim(it.id, {it.claimKey, requestDigest(*it.request), it.claimant});
}

void Dispatcher::onClaim(RequestId id, ClaimReply reply, TimePoint now)
{
    OpenRequest *found = find(id);
    if (found == nullptr) {
        const auto abandoned = m_abandonedClaims.find(id);
        if (abandoned != m_abandonedClaims.end() && reply.verdict == ClaimVerdict::Granted) {
            m_claims.end(abandoned->second);
        }
        if (abandoned != m_abandonedClaims.end() && reply.verdict != ClaimVerdict::Waiting) {
            m_abandonedClaims.erase(abandoned);
        }
        return;
    }
    OpenRequest &it = *found;
    it.isAwaitingClaim = false;
    switch (reply.verdict) {
    case ClaimVerdict::Granted:
        it.hasClaim = true;
        enqueue(it, now);
        dispatchQueued(now);
        break;
    case ClaimVerdict::Waiting:
        it.state = State::Waiting;
        break;
    case ClaimVerdict::Done:
        reply.answer.headers.push_back({"Idempotency-Replayed", "true"});
        finish(it, std::move(reply.answer), now);
        break;
    case ClaimVerdict::AnswerNotStored:
        finish(it, makeAlreadyRanResponse(), now);
        break;
    case ClaimVerdict::Unknown:
        finish(it, outcomeUnknownResponse("an earlier request with this Idempotency-Key may have run"), now);
        break;
    case ClaimVerdict::Mismatch:
        finish(it, rejectedResponse(422, "this Idempotency-Key was used for a different request"), now);
        break;
    case ClaimVerdict::Unavailable:
        finish(
            it,
            notRunResponse("the claim of the Idempotency-Key cannot be made durable now", m_settings.claimRetryDelay),
            now);
        break;
    }
}

void Dispatcher::endClaim(OpenRequest &it, const CallerResponse &response)
{
    if (it.isAwaitingClaim) {
        m_abandonedClaims[it.id] = {it.claimKey, it.claimant, ClaimEndKind::NotRun, {}};
    }
    if (!it.hasClaim) {
        return;
    }
    ClaimEnd end{it.claimKey, it.claimant, ClaimEndKind::Unknown, {}};
    if (response.outcome == RequestOutcome::NotRun) {
        end.kind = ClaimEndKind::NotRun;
    } else if (response.outcome != RequestOutcome::OutcomeUnknown) {
        end.kind = ClaimEndKind::Answered;
        end.answer = response;
    }
    m_claims.end(end);
}

// ---------------------------------------------------------------------------------------------------------------------
// Queue and attempts
// ---------------------------------------------------------------------------------------------------------------------

void Dispatcher::enqueue(OpenRequest &it, TimePoint now)
{
    it.state = State::Queued;
    RequestInfo info = makeRequestInfo(it);
    info.enqueuedAt = now;
    if (const auto shed = m_admission.push(info, upstreamCapacity())) {
        refuse(*find(shed->id), shed->refusal, now);
    }
}

void Dispatcher::dispatchQueued(TimePoint now)
{
    while (m_admission.queued() > 0) {
        auto instance = m_balancer.choose({}, now);
        if (!instance) {
            return;
        }
        const auto info = m_admission.pop(now);
        OpenRequest &it = *find(info->id);
        if (contains(it.triedInstances, *instance)) {
            const auto another = m_balancer.choose(it.triedInstances, now);
            instance = another ? another : instance;
        }
        sendTo(it, *instance, false, now);
    }
}

void Dispatcher::sendTo(OpenRequest &it, InstanceId instance, bool isHedge, TimePoint now)
{
    static std::atomic<ExchangeId> lastExchange = 0; // unique over all dispatchers of the process
    Attempt next{++lastExchange, instance, now, isHedge};
    if (it.attemptsMade == 0) {
        it.firstSentAt = now;
    }
    it.state = State::InFlight;
    ++it.attemptsMade;
    it.attempts.push_back(next);
    it.triedInstances.push_back(instance);
    m_exchanges.emplace(next.id, it.id);
    m_balancer.beginExchange(instance);
    if (isIdempotent(it) && it.attempts.size() == 1) {
        const ServiceTimeStats &serviceTime = m_serviceTimes[it.classIndex];
        const double hedgeDelay = serviceTime.mean + m_settings.hedgeDeviations * serviceTime.deviation;
        it.hedgeAt = now + std::max(m_settings.minHedgeDelay, fromMicros(hedgeDelay));
        m_timers.push({it.hedgeAt, it.id});
    }
    m_transport.send({next.id, m_balancer.address(instance), it.request, it.deadline - now, !isIdempotent(it)});
}

void Dispatcher::sendHedge(OpenRequest &it, TimePoint now)
{
    it.hedgeAt = TimePoint::max();
    const bool canHedge
        = it.attempts.size() == 1 && it.attemptsMade < m_settings.maxAttempts && m_admission.queued() == 0;
    if (!canHedge) {
        return;
    }
    const auto instance = m_balancer.choose(it.triedInstances, now);
    if (!instance) {
        return;
    }
    if (!m_retryBudget.tryWithdraw()) {
        ++m_counters.retryBudgetExhausted;
        return;
    }
    ++m_counters.hedges;
    sendTo(it, *instance, true, now);
}

// ---------------------------------------------------------------------------------------------------------------------
// Results
// ---------------------------------------------------------------------------------------------------------------------

void Dispatcher::onResult(ExchangeResult result, TimePoint now)
{
    const auto exchange = m_exchanges.find(result.id);
    if (exchange == m_exchanges.end()) {
        return;
    }
    OpenRequest &it = *find(exchange->second);
    m_exchanges.erase(exchange);
    const auto found
        = std::find_if(it.attempts.begin(), it.attempts.end(), [&](const Attempt &t) { return t.id == result.id; });
    const Attempt attempt = *found;
    it.attempts.erase(found);
    it.mayHaveRun = it.mayHaveRun || result.mayHaveBeenSent;
    const bool isAnswer = result.status == ExchangeStatus::Answered;
    const bool isGood
        = (isAnswer && result.response.status < FirstServerError) || result.status == ExchangeStatus::TooLarge;
    m_balancer.endExchange(attempt.instance,
                           isGood ? ExchangeOutcome::Success : ExchangeOutcome::Failure,
                           slownessOf(it, attempt, now),
                           now);
    if (isAnswer && (isGood || !isIdempotent(it))) {
        onAnswer(it, attempt, std::move(result), now);
    } else if (result.status == ExchangeStatus::TooLarge) {
        finishWithoutAnswer(it, "the upstream's answer is too large", now);
    } else if (it.attempts.empty()) {
        retry(it, result, now);
    }
    dispatchQueued(now);
}

void Dispatcher::onAnswer(OpenRequest &it, const Attempt &attempt, ExchangeResult result, TimePoint now)
{
    m_counters.hedgesWon += attempt.isHedge ? 1 : 0;
    const bool isGood = result.response.status < FirstServerError;
    if (isGood) {
        m_retryBudget.deposit();
        recordServiceTime(it.classIndex, now - attempt.startedAt, now);
    }
    CallerResponse response = std::move(result.response);
    finish(it, isGood ? std::move(response) : markFailed(std::move(response)), now);
}

bool Dispatcher::canRetry(const OpenRequest &it, TimePoint now) const
{
    const bool isSafe = isIdempotent(it) || !it.mayHaveRun;
    return isSafe && it.attemptsMade < m_settings.maxAttempts && now + m_expectedTimes[it.classIndex] < it.deadline;
}

void Dispatcher::retry(OpenRequest &it, const ExchangeResult &result, TimePoint now)
{
    if (canRetry(it, now)) {
        if (m_retryBudget.tryWithdraw()) {
            ++m_counters.retries;
            const auto instance = m_balancer.choose(it.triedInstances, now);
            if (instance) {
                sendTo(it, *instance, false, now);
            } else {
                enqueue(it, now);
            }
            return;
        }
        ++m_counters.retryBudgetExhausted;
    }
    if (result.status == ExchangeStatus::Answered) {
        finish(it, markFailed(result.response), now);
        return;
    }
    finishWithoutAnswer(it, "no upstream instance answered", now);
}

void Dispatcher::finishWithoutAnswer(OpenRequest &it, std::string_view reason, TimePoint now)
{
    cancelAttempts(it, now);
    if (!it.mayHaveRun) {
        finish(it, notRunResponse(reason, FailureRetryAfter), now);
    } else if (isIdempotent(it)) {
        finish(it, failedResponse(reason), now);
    } else {
        finish(it, outcomeUnknownResponse(reason), now);
    }
}

void Dispatcher::onTimeout(OpenRequest &it, TimePoint now)
{
    switch (it.state) {
    case State::Claiming:
        finish(
            it,
            notRunResponse("the claim of the Idempotency-Key was not made durable in time", m_settings.claimRetryDelay),
            now);
        return;
    case State::Waiting:
        finish(it, outcomeUnknownResponse("the first request with this Idempotency-Key is still running"), now);
        return;
    case State::Queued:
        finishWithoutAnswer(it, refusalMessage(RefusalReason::Deadline), now);
        return;
    case State::InFlight:
        if (!it.attempts.empty()) {
            recordServiceTime(it.classIndex, now - it.attempts.front().startedAt, now);
        }
        finishWithoutAnswer(it, "no answer came before the deadline", now);
        return;
    }
}

void Dispatcher::cancelAttempts(OpenRequest &it, TimePoint now)
{
    for (const Attempt &attempt : it.attempts) {
        cancelAttempt(it, attempt, now);
    }
    it.attempts.clear();
}

void Dispatcher::cancelAttempt(OpenRequest &it, const Attempt &attempt, TimePoint now)
{
    const bool hasAnsweredOthers = m_balancer.lastSuccess(attempt.instance) > attempt.startedAt;
    const bool isSilent = toMicros(now - attempt.startedAt) > SilentAfterMeans * m_serviceTimes[it.classIndex].mean;
    m_exchanges.erase(attempt.id);
    const bool mayHaveBeenSent = m_transport.cancel(attempt.id, isSilent && hasAnsweredOthers);
    it.mayHaveRun = it.mayHaveRun || mayHaveBeenSent;
    const ExchangeOutcome outcome
        = isSilent && !hasAnsweredOthers ? ExchangeOutcome::Failure : ExchangeOutcome::Cancelled;
    m_balancer.endExchange(attempt.instance, outcome, slownessOf(it, attempt, now), now);
}

void Dispatcher::finish(OpenRequest &it, CallerResponse response, TimePoint now)
{
    cancelAttempts(it, now);
    if (it.state == State::Queued) {
        m_admission.remove(it.id, it.classIndex, it.tenant, it.deadline);
    }
    endClaim(it, response);
    if (it.isAdmitted) {
        m_admission.onDone(it.classIndex, it.tenant, now - it.arrivedAt, response.status < FirstServerError, now);
    }
    if (m_metrics != nullptr) {
        const bool wasSent = it.attemptsMade > 0;
        RequestTiming timing{it.classIndex, it.tenant, response.outcome, {}, {}, now - it.arrivedAt};
        timing.queue = wasSent ? std::optional(it.firstSentAt - it.arrivedAt) : std::nullopt;
        const bool hasAnswer = wasSent && response.outcome == RequestOutcome::Answered;
        timing.upstream = hasAnswer ? std::optional(now - it.firstSentAt) : std::nullopt;
        m_metrics->observe(timing, m_tenants.name(it.tenant));
    }
    switch (response.outcome) {
    case RequestOutcome::Answered:
        ++m_counters.answered;
        break;
    case RequestOutcome::NotRun:
        ++m_counters.notRun;
        break;
    case RequestOutcome::Failed:
        ++m_counters.failed;
        break;
    case RequestOutcome::OutcomeUnknown:
        ++m_counters.outcomeUnknown;
        break;
    case RequestOutcome::Rejected:
        ++m_counters.rejected;
        break;
    }
    const auto node = m_open.extract(it.id);
    node.mapped()->done(std::move(response));
}

// ---------------------------------------------------------------------------------------------------------------------
// Service times
// ---------------------------------------------------------------------------------------------------------------------

double Dispatcher::slownessOf(const OpenRequest &it, const Attempt &attempt, TimePoint now) const
{
    const ServiceTimeStats &serviceTime = m_serviceTimes[it.classIndex];
    const double baseline = serviceTime.baseline > 0 ? serviceTime.baseline : serviceTime.mean;
    return toMicros(now - attempt.startedAt) / std::max(1.0, baseline);
}

void Dispatcher::recordServiceTime(std::size_t classIndex, Duration time, TimePoint now)
{
    ServiceTimeStats &it = m_serviceTimes[classIndex];
    const double micros = toMicros(time);
    const bool isFirst = it.baseline == 0;
    const double error = micros - it.mean;
    it.mean = isFirst ? micros : it.mean + ServiceTimeSampleWeight * error;
    it.deviation += ServiceTimeSampleWeight * (std::abs(error) - it.deviation);
    if (isFirst || it.mean < it.baseline) {
        it.baseline = it.mean;
    } else {
        const double share = toMicros(now - it.updatedAt) / toMicros(BaselineRiseTime);
        it.baseline += std::min(1.0, share) * (it.mean - it.baseline);
    }
    it.updatedAt = now;
    m_meanServiceTime += MeanServiceTimeSampleWeight * (micros - m_meanServiceTime);
    m_expectedTimes[classIndex] = fromMicros(it.mean);
}

/** Otherwise a class whose mean once exceeded its deadline would always be refused and so never be measured again. */
void Dispatcher::decayStaleServiceTimes(TimePoint now)
{
    for (std::size_t i = 0; i < m_serviceTimes.size(); ++i) {
        ServiceTimeStats &it = m_serviceTimes[i];
        const double configured = toMicros(m_settings.classes[i].expectedTime);
        if (it.updatedAt + StaleAfter < now && it.mean > configured) {
            it.mean += StaleDecayShare * (configured - it.mean);
            it.deviation -= StaleDecayShare * it.deviation;
            m_meanServiceTime += MeanServiceTimeSampleWeight * (configured - m_meanServiceTime);
            m_expectedTimes[i] = fromMicros(it.mean);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Timers
// ---------------------------------------------------------------------------------------------------------------------

void Dispatcher::runTimers(TimePoint now)
{
    while (!m_timers.empty() && m_timers.top().at <= now) {
        const Timer timer = m_timers.top();
        m_timers.pop();
        OpenRequest *it = find(timer.id);
        if (it == nullptr) {
            continue;
        }
        const bool waitsForClaim = it->state == State::Claiming;
        if (it->deadline <= now || (waitsForClaim && it->arrivedAt + m_settings.maxClaimWait <= now)) {
            onTimeout(*it, now);
        } else if (it->hedgeAt <= now) {
            sendHedge(*it, now);
        }
    }
}

void Dispatcher::shedLateRequests(TimePoint now)
{
    if (m_admission.queued() == 0 || now - m_shedAt < ShedInterval) {
        return;
    }
    m_shedAt = now;
    m_shedRequests.clear();
    m_admission.shedLateRequests(m_expectedTimes, upstreamCapacity(), now, m_shedRequests);
    for (const ShedRequest &it : m_shedRequests) {
        refuse(*find(it.id), it.refusal, now);
    }
}

void Dispatcher::tick(TimePoint now)
{
    runTimers(now);
    shedLateRequests(now);
    if (now - m_slowTickAt >= SlowTickInterval) {
        m_slowTickAt = now;
        m_balancer.tick(now);
        decayStaleServiceTimes(now);
    }
    m_admission.tick(upstreamCapacity(), now);
    dispatchQueued(now);
    updateGauges();
}

TimePoint Dispatcher::nextTimer() const
{
    const TimePoint slow = m_slowTickAt + SlowTickInterval;
    TimePoint next = m_timers.empty() ? slow : std::min(slow, m_timers.top().at);
    if (m_admission.queued() > 0) {
        next = std::min(next, m_shedAt + ShedInterval);
    }
    return next;
}

void Dispatcher::abandonAll(TimePoint now)
{
    while (!m_open.empty()) {
        OpenRequest &it = *m_open.begin()->second;
        if (it.state == State::Waiting) {
            finish(it, outcomeUnknownResponse("the system is shutting down"), now);
        } else {
            finishWithoutAnswer(it, "the system is shutting down", now);
        }
    }
}

void Dispatcher::setUpstreams(std::span<const UpstreamInstance> instances, TimePoint now)
{
    m_balancer.setInstances(instances, now);
    dispatchQueued(now);
}

void Dispatcher::updateGauges()
{
    m_counters.open = m_open.size();
    m_counters.queued = m_admission.queued();
    m_counters.inFlight = m_exchanges.size();
    m_counters.ejected = static_cast<std::uint64_t>(m_balancer.ejectedCount());
}

std::size_t Dispatcher::abandonedClaims() const
{
    return m_abandonedClaims.size();
}

std::size_t Dispatcher::openRequests() const
{
    return m_open.size();
}

const DispatchCounters &Dispatcher::counters() const
{
    return m_counters;
}

const Balancer &Dispatcher::balancer() const
{
    return m_balancer;
}

const Admission &Dispatcher::admission() const
{
    return m_admission;
}

} // namespace QuetzalRock
