/** Decisions without sockets: admission, load balancing, and the dispatcher over a fake transport. */
#include <requests/dispatcher.h>

#include <gtest/gtest.h>

#include <map>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Lookup = 0;
constexpr std::size_t Booking = 1;
constexpr std::size_t Manifest = 2;

RequestSettings threeClassSettings()
{
    RequestSettings settings;
    RequestClass lookup;
    lookup.name = "lookup";
    lookup.pathPrefix = "/lookup";
    lookup.idempotent = true;
    lookup.deadline = 300ms;
    lookup.priority = 300;
    RequestClass booking;
    booking.name = "booking";
    booking.pathPrefix = "/book";
    booking.deadline = 1s;
    booking.priority = 200;
    RequestClass manifest;
    manifest.name = "manifest";
    manifest.pathPrefix = "/manifest";
    manifest.idempotent = true;
    manifest.deadline = 60s;
    manifest.priority = 100;
    settings.classes = {lookup, booking, manifest};
    settings.failureDomain = "muuga";
    return settings;
}

std::vector<UpstreamInstance> makeInstances(int own, int other = 0)
{
    std::vector<UpstreamInstance> list;
    for (int i = 0; i < own + other; ++i) {
        const std::string name = "u" + std::to_string(i);
        list.push_back({name, name, i < own ? "muuga" : "paldiski", false});
    }
    return list;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Admission
// ---------------------------------------------------------------------------------------------------------------------

namespace {

struct AdmissionRig
{
    RequestSettings settings = threeClassSettings();
    Admission admission{settings};
    UpstreamCapacity upstreamCapacity{10, 0, 10ms}; // 1,000 requests/s
    TimePoint now{1h};
    RequestId lastId = 0;

    RequestInfo makeRequest(std::size_t classIndex, TenantIndex tenant, Duration deadline)
    {
        return {++lastId, classIndex, tenant, now + deadline, now};
    }

    std::optional<Refusal> admitAndQueue(std::size_t classIndex, TenantIndex tenant, Duration deadline)
    {
        const RequestInfo it = makeRequest(classIndex, tenant, deadline);
        const auto refusal = admission.admit(it, 10ms, upstreamCapacity, now);
        if (!refusal) {
            admission.push(it, upstreamCapacity);
        }
        return refusal;
    }
};

} // namespace

TEST(Admission, DequeuesByClassPriorityThenDeadline)
{
    AdmissionRig rig;
    rig.admission.push(rig.makeRequest(Manifest, 1, 1s), rig.upstreamCapacity);
    rig.admission.push(rig.makeRequest(Booking, 1, 900ms), rig.upstreamCapacity);
    rig.admission.push(rig.makeRequest(Booking, 1, 500ms), rig.upstreamCapacity);
    rig.admission.push(rig.makeRequest(Lookup, 1, 300ms), rig.upstreamCapacity);
    std::vector<RequestId> order;
    while (const auto it = rig.admission.pop(rig.now)) {
        order.push_back(it->id);
    }
    EXPECT_EQ(order, (std::vector<RequestId>{4, 3, 2, 1}));
}

TEST(Admission, TenantsAreServedEquallyRegardlessOfQueueLength)
{
    AdmissionRig rig;
    for (int i = 0; i < 90; ++i) {
        rig.admission.push(rig.makeRequest(Booking, 1, 1s), rig.upstreamCapacity);
    }
    for (int i = 0; i < 10; ++i) {
        rig.admission.push(rig.makeRequest(Booking, 2, 1s), rig.upstreamCapacity);
    }
    std::map<TenantIndex, int> served;
    for (int i = 0; i < 20; ++i) {
        ++served[rig.admission.pop(rig.now)->tenant];
    }
    EXPECT_EQ(served[1], 10);
    EXPECT_EQ(served[2], 10);
}

TEST(Admission, RefusesOnArrivalIfDeadlineCannotBeMet)
{
    AdmissionRig rig;
    int admitted = 0;
    while (!rig.admitAndQueue(Lookup, 1, 300ms)) {
        ++admitted;
    }
    EXPECT_GE(admitted, 110) << "the wait may take 0.4 of the deadline: 120 ms at 1,000 requests/s";
    EXPECT_LE(admitted, 130);
    const auto refusal = rig.admitAndQueue(Lookup, 1, 300ms);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, RefusalReason::Deadline);
    EXPECT_GT(refusal->retryAfter, 0s);
    EXPECT_FALSE(rig.admitAndQueue(Lookup, 2, 300ms)) << "a tenant does not wait for another tenant's whole queue";
    EXPECT_TRUE(rig.admitAndQueue(Lookup, 3, 5ms)) << "the deadline is shorter than the service time";
}

TEST(Admission, ShedsQueuedRequestsThatWillMissTheirDeadline)
{
    AdmissionRig rig;
    for (int i = 0; i < 100; ++i) {
        ASSERT_FALSE(rig.admitAndQueue(Lookup, 1, 300ms));
    }
    const std::vector<Duration> expected(3, 10ms);
    std::vector<ShedRequest> shed;
    rig.admission.shedLateRequests(expected, rig.upstreamCapacity, rig.now, shed);
    EXPECT_TRUE(shed.empty());
    rig.upstreamCapacity.slots = 5; // half of the instances have failed
    rig.admission.shedLateRequests(expected, rig.upstreamCapacity, rig.now, shed);
    EXPECT_GE(shed.size(), 20U);
    EXPECT_LE(shed.size(), 30U);
    rig.upstreamCapacity.slots = 0;
    rig.admission.shedLateRequests(expected, rig.upstreamCapacity, rig.now, shed);
    EXPECT_EQ(rig.admission.queued(), 0U);
}

TEST(Admission, WaitEstimateIncludesFutureArrivalsOfHigherClasses)
{
    AdmissionRig rig;
    for (int i = 0; i < 40; ++i) { // lookups that need 90% of the slots, each dequeued at once
        for (int n = 0; n < 90; ++n) {
            rig.admitAndQueue(Lookup, 1, 300ms);
            rig.admission.pop(rig.now);
            rig.admission.onDone(Lookup, 1, 10ms, true, rig.now);
        }
        rig.now += 100ms;
        rig.admission.tick(rig.upstreamCapacity, rig.now);
    }
    int admitted = 0;
    while (!rig.admitAndQueue(Booking, 1, 1s)) {
        ++admitted;
    }
    EXPECT_GE(admitted, 35) << "400 ms at the 100 requests/s that the lookups leave";
    EXPECT_LE(admitted, 45);
}

TEST(Admission, FullQueueShedsFromTheLongestTenantQueue)
{
    AdmissionRig rig;
    rig.settings.classes[Manifest].queueLimit = 10;
    for (int i = 0; i < 10; ++i) {
        EXPECT_FALSE(rig.admission.push(rig.makeRequest(Manifest, 1, 60s), rig.upstreamCapacity));
    }
    const auto shed = rig.admission.push(rig.makeRequest(Manifest, 2, 60s), rig.upstreamCapacity);
    ASSERT_TRUE(shed);
    EXPECT_EQ(shed->id, 10U) << "the last request of the tenant with the longest queue, not the new one";
    EXPECT_EQ(shed->refusal.reason, RefusalReason::QueueFull);
}

TEST(Admission, EnforcesTenantRate)
{
    AdmissionRig rig;
    rig.upstreamCapacity.freeSlots = 1000;
    rig.settings.classes[Booking].tenantRate = 10;
    rig.settings.classes[Booking].tenantBurst = 5;
    for (int i = 0; i < 5; ++i) {
        EXPECT_FALSE(rig.admitAndQueue(Booking, 1, 1s));
    }
    EXPECT_EQ(rig.admitAndQueue(Booking, 1, 1s)->reason, RefusalReason::TenantRate);
    EXPECT_FALSE(rig.admitAndQueue(Booking, 2, 1s));
    rig.now += 100ms;
    EXPECT_FALSE(rig.admitAndQueue(Booking, 1, 1s));
}

TEST(Admission, TenantConcurrencyLimitFollowsLatency)
{
    AdmissionRig rig;
    rig.upstreamCapacity.freeSlots = 10000;
    ASSERT_FALSE(rig.admitAndQueue(Lookup, 1, 300ms));
    const double before = rig.admission.tenantLimit(1);
    for (int i = 0; i < 200; ++i) {
        rig.now += 100ms;
        rig.admission.onDone(Lookup, 1, 290ms, true, rig.now);
        ASSERT_FALSE(rig.admitAndQueue(Lookup, 1, 300ms));
    }
    const double shrunk = rig.admission.tenantLimit(1);
    EXPECT_LT(shrunk, before / 10);
    EXPECT_GE(shrunk, rig.settings.tenantMinConcurrency);
    int open = 1;
    while (!rig.admitAndQueue(Lookup, 1, 300ms)) {
        ++open;
    }
    EXPECT_EQ(open, static_cast<int>(shrunk));
    for (int i = 0; i < 200; ++i) {
        rig.admission.onDone(Lookup, 1, 5ms, true, rig.now);
        rig.admitAndQueue(Lookup, 1, 300ms);
    }
    EXPECT_GT(rig.admission.tenantLimit(1), shrunk);
}

TEST(Admission, BrownsOutByClassAndRecovers)
{
    AdmissionRig rig;
    const auto runInterval = [&](Duration lookupDeadline) {
        for (int i = 0; i < 20; ++i) {
            rig.admitAndQueue(Lookup, 1, lookupDeadline);
        }
        rig.now += rig.settings.brownoutInterval;
        rig.admission.tick(rig.upstreamCapacity, rig.now);
        while (rig.admission.pop(rig.now - rig.settings.brownoutInterval)) { }
    };
    runInterval(1ms); // each is refused: a deadline of 1 ms cannot be met
    EXPECT_EQ(rig.admission.brownedOutClasses(), 1);
    EXPECT_EQ(rig.admitAndQueue(Manifest, 1, 60s)->reason, RefusalReason::Brownout);
    EXPECT_FALSE(rig.admitAndQueue(Booking, 1, 1s));
    runInterval(1ms);
    runInterval(1ms);
    EXPECT_EQ(rig.admission.brownedOutClasses(), 2) << "the highest class is never browned out";
    EXPECT_EQ(rig.admitAndQueue(Booking, 1, 1s)->reason, RefusalReason::Brownout);
    for (int i = 0; i < 25; ++i) {
        runInterval(300ms);
    }
    EXPECT_EQ(rig.admission.brownedOutClasses(), 0);
}

TEST(Admission, TenantNamesAreBounded)
{
    TenantTable tenants(2);
    EXPECT_EQ(tenants.findOrAdd("a"), 1U);
    EXPECT_EQ(tenants.findOrAdd("b"), 2U);
    EXPECT_EQ(tenants.findOrAdd("c"), 0U);
    EXPECT_EQ(tenants.name(0), "other");
    EXPECT_EQ(tenants.findOrAdd("a"), 1U);
}

// ---------------------------------------------------------------------------------------------------------------------
// Balancer
// ---------------------------------------------------------------------------------------------------------------------

namespace {

struct BalancerRig
{
    RequestSettings settings = threeClassSettings();
    Balancer balancer{settings, 7};
    TimePoint now{1h};

    /** Sends @p n requests one after another and returns the number for each instance. Negative slowness: failure. */
    std::map<std::string, int> sendRequests(int n, const std::function<double(const std::string &)> &slowness = {})
    {
        std::map<std::string, int> served;
        for (int i = 0; i < n; ++i) {
            now += 1ms;
            const auto id = balancer.choose({}, now);
            if (!id) {
                break;
            }
            const std::string name = balancer.address(*id);
            ++served[name];
            balancer.beginExchange(*id);
            const double slow = slowness ? slowness(name) : 1;
            balancer.endExchange(
                *id, slow < 0 ? ExchangeOutcome::Failure : ExchangeOutcome::Success, std::abs(slow), now);
        }
        return served;
    }
};

} // namespace

TEST(Balancer, LeavingAndFullInstancesAreNotChosen)
{
    BalancerRig rig;
    auto list = makeInstances(3);
    list[1].leaving = true;
    rig.balancer.setInstances(list, rig.now);
    EXPECT_EQ(rig.sendRequests(100).count("u1"), 0U);
    int chosen = 0;
    while (const auto id = rig.balancer.choose({}, rig.now)) {
        rig.balancer.beginExchange(*id);
        ++chosen;
    }
    EXPECT_EQ(chosen, 2 * rig.settings.slotsPerInstance);
}

TEST(Balancer, SlowInstanceGetsFewRequests)
{
    BalancerRig rig;
    rig.balancer.setInstances(makeInstances(10), rig.now);
    auto served = rig.sendRequests(2000, [](const std::string &name) { return name == "u3" ? 10.0 : 1.0; });
    EXPECT_LT(served["u3"], 50) << "an equal share would be 200";
    EXPECT_GT(served["u3"], 0) << "it is still tried again";
}

TEST(Balancer, EjectsFailingInstancesUpToTheMaximumShare)
{
    BalancerRig rig;
    rig.settings.slowStart = 1ms;
    rig.balancer.setInstances(makeInstances(10), rig.now);
    rig.sendRequests(200, [](const std::string &name) { return name == "u3" ? -1.0 : 1.0; });
    rig.sendRequests(2000, [](const std::string &) { return -1.0; });
    EXPECT_EQ(rig.balancer.ejectedCount(), 3) << "30% of 10";
    EXPECT_EQ(rig.sendRequests(10).empty(), false);
    rig.now += rig.settings.ejectTime * 40;
    rig.balancer.tick(rig.now);
    EXPECT_EQ(rig.balancer.ejectedCount(), 0);
}

TEST(Balancer, NewInstanceSlowStarts)
{
    BalancerRig rig;
    rig.balancer.setInstances(makeInstances(4), rig.now);
    rig.sendRequests(100);
    rig.balancer.setInstances(makeInstances(5), rig.now);
    int slotsAtStart = 0;
    std::vector<InstanceId> taken;
    while (const auto id = rig.balancer.choose({}, rig.now)) {
        rig.balancer.beginExchange(*id);
        taken.push_back(*id);
        slotsAtStart += rig.balancer.address(*id) == "u4" ? 1 : 0;
    }
    EXPECT_EQ(slotsAtStart, 1);
    rig.now += rig.settings.slowStart;
    int slotsAfterSlowStart = slotsAtStart;
    while (const auto id = rig.balancer.choose({}, rig.now)) {
        rig.balancer.beginExchange(*id);
        slotsAfterSlowStart += rig.balancer.address(*id) == "u4" ? 1 : 0;
    }
    EXPECT_EQ(slotsAfterSlowStart, rig.settings.slotsPerInstance);
}

TEST(Balancer, PrefersOwnFailureDomainThenUsesOthers)
{
    BalancerRig rig;
    rig.balancer.setInstances(makeInstances(2, 2), rig.now);
    const auto served = rig.sendRequests(200);
    EXPECT_EQ(served.count("u2") + served.count("u3"), 0U);
    std::map<std::string, int> taken;
    while (const auto id = rig.balancer.choose({}, rig.now)) {
        rig.balancer.beginExchange(*id);
        ++taken[rig.balancer.address(*id)];
    }
    EXPECT_EQ(taken["u0"] + taken["u1"], 2 * rig.settings.slotsPerInstance);
    EXPECT_EQ(taken["u2"] + taken["u3"], 2 * rig.settings.slotsPerInstance);
}

TEST(Balancer, SlowOwnFailureDomainIsAvoidedByCost)
{
    BalancerRig rig;
    rig.balancer.setInstances(makeInstances(3, 3), rig.now);
    const auto isOwn = [](const std::string &name) { return name < "u3"; };
    const auto served = rig.sendRequests(600, [&](const std::string &name) { return isOwn(name) ? 10.0 : 1.0; });
    int own = 0;
    for (const auto &[name, count] : served) {
        own += isOwn(name) ? count : 0;
    }
    EXPECT_LT(own, 200);
}

TEST(Balancer, SharesSlotsAndBorrowsWhileLatencyIsLow)
{
    BalancerRig rig;
    rig.settings.entryMembers = 4;
    rig.balancer.setInstances(makeInstances(1), rig.now);
    EXPECT_EQ(rig.balancer.usableSlots(), 2) << "8 slots among 4 entry VMs";
    rig.sendRequests(100);
    EXPECT_EQ(rig.balancer.usableSlots(), 8) << "borrows all slots";
    for (int i = 0; i < 100; ++i) {
        rig.now += 60ms;
        rig.sendRequests(1, [](const std::string &) { return 5.0; });
    }
    EXPECT_EQ(rig.balancer.usableSlots(), 2) << "returns the borrowed slots";
}

// ---------------------------------------------------------------------------------------------------------------------
// Dispatcher
// ---------------------------------------------------------------------------------------------------------------------

namespace {

class FakeTransport final : public UpstreamTransport
{
public:
    struct Sent
    {
        ExchangeId id = 0;
        std::string address;
        std::string target;
        Duration timeLeft{};
        bool verifiedConnectionOnly = false;
        bool cancelled = false;
        bool suspect = false;
    };

    void send(const Exchange &exchange) override
    {
        sent.push_back({exchange.id,
                        std::string(exchange.address),
                        exchange.request->target,
                        exchange.timeLeft,
                        exchange.verifiedConnectionOnly});
    }

    bool cancel(ExchangeId id, bool suspect) override
    {
        for (Sent &it : sent) {
            it.cancelled = it.cancelled || it.id == id;
            it.suspect = it.suspect || (it.id == id && suspect);
        }
        return true;
    }

    void poll(Duration, std::vector<ExchangeResult> &) override
    {
    }

    void wake() override
    {
    }

    std::vector<Sent> sent;
};

class FakeClaims final : public ClaimClient
{
public:
    void claim(RequestId id, const ClaimRequest &request) override
    {
        claimRequests.emplace_back(id, request);
    }

    void end(const ClaimEnd &end) override
    {
        ends.push_back(end);
    }

    std::vector<std::pair<RequestId, ClaimRequest>> claimRequests;
    std::vector<ClaimEnd> ends;
};

struct DispatchRig
{
    RequestSettings settings = threeClassSettings();
    FakeTransport transport;
    FakeClaims claims;
    std::unique_ptr<Dispatcher> dispatcher;
    ManualClock clock;
    std::vector<CallerResponse> answers;

    explicit DispatchRig(int count = 4, const std::function<void(RequestSettings &)> &change = {})
    {
        if (change) {
            change(settings);
        }
        dispatcher = std::make_unique<Dispatcher>(settings, transport, claims, nullptr, 7);
        dispatcher->setUpstreams(makeInstances(count), clock.now());
    }

    void submit(const std::string &target, const std::string &key = {})
    {
        CallerRequest request;
        request.method = "POST";
        request.target = target;
        request.tenant = "farm";
        request.idempotencyKey = key;
        dispatcher->submit(
            std::move(request), [this](CallerResponse it) { answers.push_back(std::move(it)); }, clock.now());
    }

    void advance(Duration duration)
    {
        clock.advance(duration);
        dispatcher->tick(clock.now());
    }

    /** Delivers the result of the @p n-th exchange. */
    void reply(std::size_t n, ExchangeStatus status, bool mayHaveBeenSent, int httpStatus = 200)
    {
        ExchangeResult result;
        result.id = transport.sent.at(n).id;
        result.status = status;
        result.mayHaveBeenSent = mayHaveBeenSent;
        result.response.status = httpStatus;
        result.response.body = transport.sent.at(n).target;
        dispatcher->onResult(std::move(result), clock.now());
    }
};

} // namespace

TEST(Dispatcher, BookingIsRetriedOnlyIfNoByteLeft)
{
    DispatchRig rig;
    rig.submit("/book/1");
    rig.reply(0, ExchangeStatus::NotConnected, false);
    ASSERT_EQ(rig.transport.sent.size(), 2U);
    EXPECT_NE(rig.transport.sent[0].address, rig.transport.sent[1].address);
    EXPECT_TRUE(rig.transport.sent[1].verifiedConnectionOnly);
    rig.reply(1, ExchangeStatus::Broken, true);
    ASSERT_EQ(rig.answers.size(), 1U);
    EXPECT_EQ(rig.answers[0].outcome, RequestOutcome::OutcomeUnknown);
    EXPECT_EQ(rig.transport.sent.size(), 2U);
}

TEST(Dispatcher, NotRunIfNoByteEverLeft)
{
    DispatchRig rig;
    rig.submit("/book/1");
    for (std::size_t i = 0; i < 3; ++i) {
        rig.reply(i, ExchangeStatus::NotConnected, false);
    }
    ASSERT_EQ(rig.answers.size(), 1U);
    EXPECT_EQ(rig.answers[0].outcome, RequestOutcome::NotRun);
    EXPECT_EQ(rig.transport.sent.size(), 3U);
}

TEST(Dispatcher, HedgesSlowLookupOnceAndTakesTheFirstAnswer)
{
    DispatchRig rig;
    rig.submit("/lookup/a");
    rig.advance(100ms);
    ASSERT_EQ(rig.transport.sent.size(), 2U);
    rig.advance(100ms);
    ASSERT_EQ(rig.transport.sent.size(), 2U);
    rig.reply(1, ExchangeStatus::Answered, true);
    ASSERT_EQ(rig.answers.size(), 1U);
    EXPECT_EQ(rig.answers[0].body, "/lookup/a");
    EXPECT_TRUE(rig.transport.sent[0].cancelled);
    rig.reply(0, ExchangeStatus::Answered, true); // late: its request has ended
    EXPECT_EQ(rig.answers.size(), 1U);
}

TEST(Dispatcher, NeverHedgesABooking)
{
    DispatchRig rig;
    rig.submit("/book/1");
    rig.advance(900ms);
    EXPECT_EQ(rig.transport.sent.size(), 1U);
    rig.advance(200ms);
    ASSERT_EQ(rig.answers.size(), 1U);
    EXPECT_EQ(rig.answers[0].outcome, RequestOutcome::OutcomeUnknown);
}

TEST(Dispatcher, RetriesAndHedgesShareOneBudget)
{
    DispatchRig rig(20, [](RequestSettings &settings) { settings.maxRetryTokens = 3; });
    for (int i = 0; i < 10; ++i) {
        rig.submit("/lookup/" + std::to_string(i));
    }
    for (std::size_t i = 0; i < 2; ++i) {
        rig.reply(i, ExchangeStatus::Broken, true);
    }
    rig.advance(100ms);
    EXPECT_EQ(rig.dispatcher->counters().retries, 2U);
    EXPECT_EQ(rig.dispatcher->counters().hedges, 1U);
    EXPECT_GT(rig.dispatcher->counters().retryBudgetExhausted, 0U);
}

TEST(Dispatcher, SilentConnectionIsSuspectOnceOthersAnswered)
{
    DispatchRig rig(1);
    rig.submit("/book/silent");
    rig.advance(500ms);
    rig.submit("/book/answered");
    rig.advance(1ms);
    rig.reply(1, ExchangeStatus::Answered, true);
    rig.advance(600ms);
    ASSERT_EQ(rig.answers.size(), 2U);
    EXPECT_TRUE(rig.transport.sent[0].suspect);
}

TEST(Dispatcher, RefusesImmediatelyIfDeadlineCannotBeMet)
{
    DispatchRig rig(1);
    for (int i = 0; i < 500; ++i) {
        rig.submit("/lookup/" + std::to_string(i));
    }
    ASSERT_FALSE(rig.answers.empty()) << "answered on arrival, without time passing";
    for (const CallerResponse &it : rig.answers) {
        EXPECT_EQ(it.outcome, RequestOutcome::NotRun);
        EXPECT_FALSE(findHeader(it.headers, "Retry-After").empty());
    }
    EXPECT_EQ(rig.transport.sent.size(), 8U);
}

TEST(Dispatcher, AdmitsAgainAfterServiceTimesAboveTheDeadline)
{
    DispatchRig rig(1);
    for (int i = 0; i < 60; ++i) {
        rig.submit("/lookup/slow");
        rig.advance(301ms);
    }
    const std::size_t before = rig.answers.size();
    rig.advance(60s);
    for (int i = 0; i < 100; ++i) {
        rig.advance(100ms);
    }
    rig.submit("/lookup/again");
    EXPECT_EQ(rig.answers.size(), before) << "admitted, not refused forever";
}

TEST(Dispatcher, KeyIsClaimedBeforeAnythingIsSent)
{
    DispatchRig rig;
    rig.submit("/book/1", "k1");
    EXPECT_TRUE(rig.transport.sent.empty());
    ASSERT_EQ(rig.claims.claimRequests.size(), 1U);
    EXPECT_EQ(rig.claims.claimRequests[0].second.key, claimKey("farm", "k1"));
    rig.dispatcher->onClaim(rig.claims.claimRequests[0].first, {ClaimVerdict::Granted, {}}, rig.clock.now());
    ASSERT_EQ(rig.transport.sent.size(), 1U);
    rig.reply(0, ExchangeStatus::Answered, true);
    ASSERT_EQ(rig.claims.ends.size(), 1U);
    EXPECT_EQ(rig.claims.ends[0].kind, ClaimEndKind::Answered);
}

TEST(Dispatcher, TenantsBeyondTheMaximumDoNotShareKeys)
{
    DispatchRig rig(4, [](RequestSettings &settings) { settings.maxTenantLabels = 0; });
    for (const char *tenant : {"farm", "agent"}) {
        CallerRequest request;
        request.method = "POST";
        request.target = "/book/1";
        request.tenant = tenant;
        request.idempotencyKey = "k1";
        rig.dispatcher->submit(
            std::move(request), [](const CallerResponse &) {}, rig.clock.now());
    }
    ASSERT_EQ(rig.claims.claimRequests.size(), 2U);
    EXPECT_NE(rig.claims.claimRequests[0].second.key, rig.claims.claimRequests[1].second.key);
}

TEST(Dispatcher, ClaimGrantedTooLateIsReleased)
{
    DispatchRig rig(4, [](RequestSettings &settings) { settings.maxClaimWait = 100ms; });
    rig.submit("/book/1", "k1");
    rig.advance(110ms); // long before the deadline
    ASSERT_EQ(rig.answers.size(), 1U);
    EXPECT_EQ(rig.dispatcher->abandonedClaims(), 1U);
    EXPECT_EQ(rig.answers[0].outcome, RequestOutcome::NotRun);
    rig.dispatcher->onClaim(rig.claims.claimRequests[0].first, {ClaimVerdict::Granted, {}}, rig.clock.now());
    EXPECT_TRUE(rig.transport.sent.empty());
    ASSERT_EQ(rig.claims.ends.size(), 1U);
    EXPECT_EQ(rig.claims.ends[0].kind, ClaimEndKind::NotRun);
    EXPECT_EQ(rig.dispatcher->abandonedClaims(), 0U);
    rig.submit("/book/2", "k2");
    rig.dispatcher->onClaim(rig.claims.claimRequests[1].first, {ClaimVerdict::Done, {}}, rig.clock.now());
    EXPECT_EQ(rig.dispatcher->abandonedClaims(), 0U);
}

TEST(Dispatcher, ClaimOfARefusedRequestIsReleased)
{
    DispatchRig rig(0 + 1);
    rig.submit("/book/1", "k1");
    rig.dispatcher->setUpstreams({}, rig.clock.now());
    rig.dispatcher->onClaim(rig.claims.claimRequests[0].first, {ClaimVerdict::Granted, {}}, rig.clock.now());
    rig.advance(10ms);
    ASSERT_EQ(rig.answers.size(), 1U);
    EXPECT_EQ(rig.answers[0].outcome, RequestOutcome::NotRun);
    EXPECT_EQ(rig.claims.ends.at(0).kind, ClaimEndKind::NotRun);
}

TEST(Dispatcher, RepeatThatWaitsTooLongIsUnknown)
{
    DispatchRig rig;
    rig.submit("/book/1", "k1");
    rig.dispatcher->onClaim(rig.claims.claimRequests[0].first, {ClaimVerdict::Waiting, {}}, rig.clock.now());
    rig.advance(1100ms);
    ASSERT_EQ(rig.answers.size(), 1U);
    EXPECT_EQ(rig.answers[0].outcome, RequestOutcome::OutcomeUnknown);
    EXPECT_TRUE(rig.claims.ends.empty());
}

TEST(Metrics, TenantsBeyondTheMaximumShareALabel)
{
    RequestSettings settings = threeClassSettings();
    settings.maxTenantLabels = 2;
    prometheus::Registry registry;
    RequestMetrics metrics(settings, registry);
    TenantTable tenants(2);
    for (const char *name : {"a", "b", "c", "d"}) {
        const TenantIndex index = tenants.findOrAdd(name);
        metrics.observe({Lookup, index, RequestOutcome::Answered, 1ms, 2ms, 3ms}, tenants.name(index));
    }
    std::map<std::string, std::uint64_t> counts;
    for (const auto &family : registry.Collect()) {
        if (family.name != "qr_request_seconds") {
            continue;
        }
        for (const auto &metric : family.metric) {
            for (const auto &label : metric.label) {
                if (label.name == "tenant") {
                    counts[label.value] = metric.histogram.sample_count;
                }
            }
        }
    }
    EXPECT_EQ(counts, (std::map<std::string, std::uint64_t>{{"a", 1}, {"b", 1}, {"other", 2}}));
}

TEST(Settings, CheckReportsAllErrors)
{
    RequestSettings settings = threeClassSettings();
    EXPECT_TRUE(check(settings).empty());
    settings.classes[0].pathPrefix = "lookup";
    settings.classes[1].name = "lookup";
    settings.classes[2].requireKey = true;
    settings.maxEjectedShare = 0.9;
    settings.maxClaims = 30000; // their snapshot would exceed maxClaimSnapshotBytes
    EXPECT_EQ(check(settings).size(), 5U);
    settings.classes[0].pathPrefix = "/";
    EXPECT_EQ(findClass(settings, "GET", "/manifest/1"), &settings.classes[2]) << "the longest matching prefix";
}
