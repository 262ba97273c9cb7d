#include <requests/dispatcher.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr double TimeWeight = 0.05;     ///< of the newest upstream time in a class's moving averages
constexpr double ServiceWeight = 0.02;  ///< of the newest upstream time in the average over all classes
constexpr Duration UsualRiseTime = 60s; ///< the usual time follows a risen mean with this time constant
constexpr Duration ForgetAfter = 500ms; ///< without an answer, a class's times begin to return to the settings
constexpr double ForgetShare = 0.1;     ///< of the way back, each slow tick
constexpr Duration SlowTick = 100ms;
constexpr Duration ShedInterval = 5ms; ///< between looks at requests that wait in vain
constexpr Duration FailureRetryAfter = 200ms;
constexpr Duration FullRetryAfter = 500ms;
constexpr std::size_t MaxKeyBytes = 255;
constexpr double SuspectFactor = 4; ///< a try is silent rather than slow after so many times the class's mean
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

/** The upstream's own failure, passed on whole. */
CallerResponse asFailed(CallerResponse response)
{
    response.outcome = RequestOutcome::Failed;
    response.headers.push_back({std::string(OutcomeHeader), std::string(outcomeName(RequestOutcome::Failed))});
    return response;
}

CallerResponse alreadyRan()
{
    CallerResponse response;
    response.status = 409;
    response.headers = {{std::string(OutcomeHeader), "answered"}, {"Content-Type", "application/json"}};
    response.body = R"({"error":"already_ran","message":"the first answer was too long to keep","retry":false})";
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
    , m_budget(settings.retryTokensPerSuccess, settings.retryBurst)
    , m_tenants(static_cast<std::size_t>(settings.maxTenantLabels))
    , m_timing(settings.classes.size())
    , m_expected(settings.classes.size())
    , m_random(seed)
{
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        m_timing[i].mean = toMicros(settings.classes[i].expectedTime);
        m_expected[i] = settings.classes[i].expectedTime;
        m_meanService += m_timing[i].mean / static_cast<double>(settings.classes.size());
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Arrival
// ---------------------------------------------------------------------------------------------------------------------

const RequestClass &Dispatcher::classOf(const OpenRequest &it) const
{
    return m_settings.classes[it.classIndex];
}

bool Dispatcher::isIdempotent(const OpenRequest &it) const
{
    return classOf(it).idempotent;
}

Ticket Dispatcher::ticketOf(const OpenRequest &it) const
{
    return {it.id, it.classIndex, it.tenant, it.deadline, it.arrivedAt};
}

Throughput Dispatcher::throughput() const
{
    return {m_balancer.capacity(), m_balancer.freeSlots(), fromMicros(m_meanService)};
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
        done(rejectedResponse(404, "no class of requests matches this method and path"));
        return;
    }
    auto open = std::make_unique<OpenRequest>();
    OpenRequest &it = *open;
    it.id = ++m_lastId;
    it.classIndex = static_cast<std::size_t>(requestClass - m_settings.classes.data());
    it.tenant = m_tenants.find(requestClass->tenant.empty() ? request.tenant : requestClass->tenant);
    it.arrivedAt = now;
    const bool isShorter = request.timeout > Duration::zero() && request.timeout < requestClass->deadline;
    it.deadline = now + (isShorter ? request.timeout : requestClass->deadline);
    it.done = std::move(done);
    it.request = std::make_shared<const CallerRequest>(std::move(request));
    m_open.emplace(it.id, std::move(open));
    judge(it, now);
}

void Dispatcher::judge(OpenRequest &it, TimePoint now)
{
    const std::string &key = it.request->idempotencyKey;
    const bool needsClaim = !isIdempotent(it) && !key.empty();
    if (classOf(it).requireKey && key.empty()) {
        finish(it, rejectedResponse(400, "this class needs an Idempotency-Key"), now);
        return;
    }
    if (key.size() > MaxKeyBytes) {
        finish(it, rejectedResponse(400, "the Idempotency-Key is longer than 255 bytes"), now);
        return;
    }
    if (m_open.size() > static_cast<std::size_t>(m_settings.maxOpenRequests)) {
        finish(it, notRunResponse("too many requests are open", FullRetryAfter), now);
        return;
    }
    if (const auto refusal = m_admission.admit(ticketOf(it), m_expected[it.classIndex], throughput(), now)) {
        refuse(it, *refusal, now);
        return;
    }
    it.isAdmitted = true;
    m_timers.push({it.deadline, it.id});
    if (needsClaim) {
        askForClaim(it);
        return;
    }
    enqueue(it, now);
    dispatchQueued(now);
}

void Dispatcher::refuse(OpenRequest &it, const Refusal &refusal, TimePoint now)
{
    const bool ownLimit
        = refusal.reason == RefusalReason::TenantRate || refusal.reason == RefusalReason::TenantConcurrency;
    m_counters.shedLate += refusal.reason == RefusalReason::Deadline ? 1 : 0;
    m_counters.brownedOut += refusal.reason == RefusalReason::Brownout ? 1 : 0;
    if (it.mayHaveRun) {
        giveUp(it, refusalName(refusal.reason), now);
        return;
    }
    finish(it, notRunResponse(refusalName(refusal.reason), refusal.retryAfter, ownLimit ? 429 : 503), now);
}

// ---------------------------------------------------------------------------------------------------------------------
// Claims
// ---------------------------------------------------------------------------------------------------------------------

void Dispatcher::askForClaim(OpenRequest &it)
{
    it.state = State::Claiming;
    // Not the name in the tenant table: tenants beyond its bound share one there.
    const std::string &tenant = classOf(it).tenant.empty() ? it.request->tenant : classOf(it).tenant;
    it.claimKey = claimKey(tenant, it.request->idempotencyKey);
    m_timers.push({it.arrivedAt + m_settings.maxClaimWait, it.id});
    it.claimant = m_random();
    it.awaitsClaim = true;
    m_claims.claim(it.id, {it.claimKey, requestDigest(*it.request), it.claimant});
}

void Dispatcher::onClaim(RequestId id, ClaimReply reply, TimePoint now)
{
    OpenRequest *found = find(id);
    if (found == nullptr) {
        const auto abandoned = m_abandoned.find(id);
        if (abandoned != m_abandoned.end() && reply.verdict == ClaimVerdict::Granted) {
            m_claims.end(abandoned->second);
        }
        if (abandoned != m_abandoned.end() && reply.verdict != ClaimVerdict::Waiting) {
            m_abandoned.erase(abandoned);
        }
        return;
    }
    OpenRequest &it = *found;
    it.awaitsClaim = false;
    switch (reply.verdict) {
    case ClaimVerdict::Granted:
        it.holdsClaim = true;
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
    case ClaimVerdict::NotKept:
        finish(it, alreadyRan(), now);
        break;
    case ClaimVerdict::Unknown:
        finish(it, outcomeUnknownResponse("an earlier request with this key may have run"), now);
        break;
    case ClaimVerdict::Mismatch:
        finish(it, rejectedResponse(422, "this Idempotency-Key belongs to a different request"), now);
        break;
    case ClaimVerdict::Unavailable:
        finish(it, notRunResponse("the claim of the key cannot be made durable now", m_settings.claimRetryDelay), now);
        break;
    }
}

void Dispatcher::endClaim(OpenRequest &it, const CallerResponse &response)
{
    if (it.awaitsClaim) {
        m_abandoned[it.id] = {it.claimKey, it.claimant, ClaimEndKind::NotRun, {}};
    }
    if (!it.holdsClaim) {
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
// Queue and tries
// ---------------------------------------------------------------------------------------------------------------------

void Dispatcher::enqueue(OpenRequest &it, TimePoint now)
{
    it.state = State::Queued;
    Ticket ticket = ticketOf(it);
    ticket.enqueuedAt = now;
    if (const auto shed = m_admission.push(ticket, throughput())) {
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
        const auto ticket = m_admission.pop(now);
        OpenRequest &it = *find(ticket->id);
        if (contains(it.tried, *instance)) {
            const auto another = m_balancer.choose(it.tried, now);
            instance = another ? another : instance;
        }
        sendTo(it, *instance, false, now);
    }
}

void Dispatcher::sendTo(OpenRequest &it, InstanceId instance, bool isHedge, TimePoint now)
{
    static std::atomic<ExchangeId> lastExchange = 0; // over all dispatchers of the process
    Try next{++lastExchange, instance, now, isHedge};
    if (it.triesMade == 0) {
        it.firstSentAt = now;
    }
    it.state = State::InFlight;
    ++it.triesMade;
    it.tries.push_back(next);
    it.tried.push_back(instance);
    m_exchanges.emplace(next.id, it.id);
    m_balancer.begin(instance);
    if (isIdempotent(it) && it.tries.size() == 1) {
        const ClassTiming &timing = m_timing[it.classIndex];
        const double usual = timing.mean + m_settings.hedgeFactor * timing.deviation;
        it.hedgeAt = now + std::max(m_settings.minHedgeDelay, fromMicros(usual));
        m_timers.push({it.hedgeAt, it.id});
    }
    m_transport.send({next.id, m_balancer.address(instance), it.request, it.deadline - now, !isIdempotent(it)});
}

void Dispatcher::hedge(OpenRequest &it, TimePoint now)
{
    it.hedgeAt = TimePoint::max();
    const bool isWorthIt = it.tries.size() == 1 && it.triesMade < m_settings.maxAttempts && m_admission.queued() == 0;
    if (!isWorthIt) {
        return;
    }
    const auto instance = m_balancer.choose(it.tried, now);
    if (!instance) {
        return;
    }
    if (!m_budget.take()) {
        ++m_counters.budgetEmpty;
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
    const auto found = std::find_if(it.tries.begin(), it.tries.end(), [&](const Try &t) { return t.id == result.id; });
    const Try from = *found;
    it.tries.erase(found);
    it.mayHaveRun = it.mayHaveRun || result.mayHaveBeenSent;
    const bool isAnswer = result.status == ExchangeStatus::Answered;
    const bool isGood
        = (isAnswer && result.response.status < FirstServerError) || result.status == ExchangeStatus::TooLarge;
    m_balancer.end(from.instance, isGood ? EndKind::Good : EndKind::Bad, slownessOf(it, from, now), now);
    if (isAnswer && (isGood || !isIdempotent(it))) {
        onAnswer(it, from, std::move(result), now);
    } else if (result.status == ExchangeStatus::TooLarge) {
        giveUp(it, "the upstream's answer is too large", now);
    } else if (it.tries.empty()) {
        tryAgain(it, result, now);
    }
    dispatchQueued(now);
}

void Dispatcher::onAnswer(OpenRequest &it, const Try &from, ExchangeResult result, TimePoint now)
{
    m_counters.hedgesWon += from.isHedge ? 1 : 0;
    const bool isGood = result.response.status < FirstServerError;
    if (isGood) {
        m_budget.earn();
        learnTime(it.classIndex, now - from.startedAt, now);
    }
    CallerResponse response = std::move(result.response);
    finish(it, isGood ? std::move(response) : asFailed(std::move(response)), now);
}

bool Dispatcher::mayTryAgain(const OpenRequest &it, TimePoint now) const
{
    const bool isSafe = isIdempotent(it) || !it.mayHaveRun;
    return isSafe && it.triesMade < m_settings.maxAttempts && now + m_expected[it.classIndex] < it.deadline;
}

void Dispatcher::tryAgain(OpenRequest &it, const ExchangeResult &result, TimePoint now)
{
    if (mayTryAgain(it, now)) {
        if (m_budget.take()) {
            ++m_counters.retries;
            const auto instance = m_balancer.choose(it.tried, now);
            if (instance) {
                sendTo(it, *instance, false, now);
            } else {
                enqueue(it, now);
            }
            return;
        }
        ++m_counters.budgetEmpty;
    }
    if (result.status == ExchangeStatus::Answered) {
        finish(it, asFailed(result.response), now);
        return;
    }
    giveUp(it, "no instance answered", now);
}

void Dispatcher::giveUp(OpenRequest &it, std::string_view reason, TimePoint now)
{
    cancelTries(it, now);
    if (!it.mayHaveRun) {
        finish(it, notRunResponse(reason, FailureRetryAfter), now);
    } else if (isIdempotent(it)) {
        finish(it, failedResponse(reason), now);
    } else {
        finish(it, outcomeUnknownResponse(reason), now);
    }
}

void Dispatcher::onDeadline(OpenRequest &it, TimePoint now)
{
    switch (it.state) {
    case State::Claiming:
        finish(it, notRunResponse("the claim of the key was not made in time", m_settings.claimRetryDelay), now);
        return;
    case State::Waiting:
        finish(it, outcomeUnknownResponse("the first request with this key is still running"), now);
        return;
    case State::Queued:
        giveUp(it, refusalName(RefusalReason::Deadline), now);
        return;
    case State::InFlight:
        if (!it.tries.empty()) {
            learnTime(it.classIndex, now - it.tries.front().startedAt, now);
        }
        giveUp(it, "no answer came before the deadline", now);
        return;
    }
}

void Dispatcher::cancelTries(OpenRequest &it, TimePoint now)
{
    for (const Try &from : it.tries) {
        cancelTry(it, from, now);
    }
    it.tries.clear();
}

void Dispatcher::cancelTry(OpenRequest &it, const Try &from, TimePoint now)
{
    const bool othersAnswered = m_balancer.lastGoodAnswer(from.instance) > from.startedAt;
    const bool isSilent = toMicros(now - from.startedAt) > SuspectFactor * m_timing[it.classIndex].mean;
    m_exchanges.erase(from.id);
    const bool left = m_transport.cancel(from.id, isSilent && othersAnswered);
    it.mayHaveRun = it.mayHaveRun || left;
    const EndKind kind = isSilent && !othersAnswered ? EndKind::Bad : EndKind::Cancelled;
    m_balancer.end(from.instance, kind, slownessOf(it, from, now), now);
}

void Dispatcher::finish(OpenRequest &it, CallerResponse response, TimePoint now)
{
    cancelTries(it, now);
    if (it.state == State::Queued) {
        m_admission.remove(it.id, it.classIndex, it.tenant, it.deadline);
    }
    endClaim(it, response);
    if (it.isAdmitted) {
        m_admission.onDone(it.classIndex, it.tenant, now - it.arrivedAt, response.status < FirstServerError, now);
    }
    if (m_metrics != nullptr) {
        const bool wasSent = it.triesMade > 0;
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
        ++m_counters.unknown;
        break;
    case RequestOutcome::Rejected:
        ++m_counters.rejected;
        break;
    }
    const auto node = m_open.extract(it.id);
    node.mapped()->done(std::move(response));
}

// ---------------------------------------------------------------------------------------------------------------------
// Learning
// ---------------------------------------------------------------------------------------------------------------------

double Dispatcher::slownessOf(const OpenRequest &it, const Try &from, TimePoint now) const
{
    const ClassTiming &timing = m_timing[it.classIndex];
    const double usual = timing.usual > 0 ? timing.usual : timing.mean;
    return toMicros(now - from.startedAt) / std::max(1.0, usual);
}

void Dispatcher::learnTime(std::size_t classIndex, Duration time, TimePoint now)
{
    ClassTiming &it = m_timing[classIndex];
    const double micros = toMicros(time);
    const bool isFirst = it.usual == 0;
    const double error = micros - it.mean;
    it.mean = isFirst ? micros : it.mean + TimeWeight * error;
    it.deviation += TimeWeight * (std::abs(error) - it.deviation);
    if (isFirst || it.mean < it.usual) {
        it.usual = it.mean;
    } else {
        const double share = toMicros(now - it.learnedAt) / toMicros(UsualRiseTime);
        it.usual += std::min(1.0, share) * (it.mean - it.usual);
    }
    it.learnedAt = now;
    m_meanService += ServiceWeight * (micros - m_meanService);
    m_expected[classIndex] = fromMicros(it.mean);
}

/** Without this a class whose times had once exceeded its deadline would be refused for good, and never measured again. */
void Dispatcher::forgetOldTimes(TimePoint now)
{
    for (std::size_t i = 0; i < m_timing.size(); ++i) {
        ClassTiming &it = m_timing[i];
        const double settled = toMicros(m_settings.classes[i].expectedTime);
        if (it.learnedAt + ForgetAfter < now && it.mean > settled) {
            it.mean += ForgetShare * (settled - it.mean);
            it.deviation -= ForgetShare * it.deviation;
            m_meanService += ServiceWeight * (settled - m_meanService);
            m_expected[i] = fromMicros(it.mean);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Time
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
            onDeadline(*it, now);
        } else if (it->hedgeAt <= now) {
            hedge(*it, now);
        }
    }
}

void Dispatcher::shedLate(TimePoint now)
{
    if (m_admission.queued() == 0 || now - m_shedAt < ShedInterval) {
        return;
    }
    m_shedAt = now;
    m_shed.clear();
    m_admission.shedLate(m_expected, throughput(), now, m_shed);
    for (const Shed &it : m_shed) {
        refuse(*find(it.id), it.refusal, now);
    }
}

void Dispatcher::tick(TimePoint now)
{
    runTimers(now);
    shedLate(now);
    if (now - m_slowTickAt >= SlowTick) {
        m_slowTickAt = now;
        m_balancer.tick(now);
        forgetOldTimes(now);
    }
    m_admission.tick(throughput(), now);
    dispatchQueued(now);
    updateGauges();
}

TimePoint Dispatcher::nextTimer() const
{
    const TimePoint slow = m_slowTickAt + SlowTick;
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
            giveUp(it, "the system is shutting down", now);
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
    m_counters.ejected = static_cast<std::uint64_t>(m_balancer.ejected());
}

std::size_t Dispatcher::abandonedClaims() const
{
    return m_abandoned.size();
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
