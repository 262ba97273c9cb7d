/** Decisions without sockets: admission, instance choice, and the dispatcher over a transport that tests drive. */
#include <requests/dispatcher.h>

#include <gtest/gtest.h>

#include <map>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Lookup = 0;
constexpr std::size_t Booking = 1;
constexpr std::size_t Manifest = 2;

RequestSettings threeClasses()
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

std::vector<UpstreamInstance> instances(int own, int other = 0)
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
    RequestSettings settings = threeClasses();
    Admission admission{settings};
    Throughput throughput{10, 0, 10ms}; // 1,000 requests a second
    TimePoint now{1h};
    RequestId lastId = 0;

    Ticket ticket(std::size_t classIndex, TenantIndex tenant, Duration deadline)
    {
        return {++lastId, classIndex, tenant, now + deadline, now};
    }

    std::optional<Refusal> arrive(std::size_t classIndex, TenantIndex tenant, Duration deadline)
    {
        const Ticket it = ticket(classIndex, tenant, deadline);
        const auto refusal = admission.admit(it, 10ms, throughput, now);
        if (!refusal) {
            admission.push(it, throughput);
        }
        return refusal;
    }
};

} // namespace

TEST(Admission, ClassPriorityThenDeadline)
{
    AdmissionRig rig;
    rig.admission.push(rig.ticket(Manifest, 1, 1s), rig.throughput);
    rig.admission.push(rig.ticket(Booking, 1, 900ms), rig.throughput);
    rig.admission.push(rig.ticket(Booking, 1, 500ms), rig.throughput);
    rig.admission.push(rig.ticket(Lookup, 1, 300ms), rig.throughput);
    std::vector<RequestId> order;
    while (const auto it = rig.admission.pop(rig.now)) {
        order.push_back(it->id);
    }
    EXPECT_EQ(order, (std::vector<RequestId>{4, 3, 2, 1}));
}

TEST(Admission, TenantsTakeTurnsWhateverTheyQueue)
{
    AdmissionRig rig;
    for (int i = 0; i < 90; ++i) {
        rig.admission.push(rig.ticket(Booking, 1, 1s), rig.throughput);
    }
    for (int i = 0; i < 10; ++i) {
        rig.admission.push(rig.ticket(Booking, 2, 1s), rig.throughput);
    }
    std::map<TenantIndex, int> served;
    for (int i = 0; i < 20; ++i) {
        ++served[rig.admission.pop(rig.now)->tenant];
    }
    EXPECT_EQ(served[1], 10);
    EXPECT_EQ(served[2], 10);
}

TEST(Admission, RefusesAtArrivalWhatCannotBeMet)
{
    AdmissionRig rig;
    int admitted = 0;
    while (!rig.arrive(Lookup, 1, 300ms)) {
        ++admitted;
    }
    EXPECT_GE(admitted, 110) << "0.4 of the deadline may be spent waiting: 120 ms at 1,000/s";
    EXPECT_LE(admitted, 130);
    const auto refusal = rig.arrive(Lookup, 1, 300ms);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, RefusalReason::Deadline);
    EXPECT_GT(refusal->retryAfter, 0s);
    EXPECT_FALSE(rig.arrive(Lookup, 2, 300ms)) << "another tenant's queue is not this one's wait";
    EXPECT_TRUE(rig.arrive(Lookup, 3, 5ms)) << "shorter than the upstream needs";
}

TEST(Admission, ShedsFromTheQueueAsSoonAsItIsKnown)
{
    AdmissionRig rig;
    for (int i = 0; i < 100; ++i) {
        ASSERT_FALSE(rig.arrive(Lookup, 1, 300ms));
    }
    const std::vector<Duration> expected(3, 10ms);
    std::vector<Shed> shed;
    rig.admission.shedLate(expected, rig.throughput, rig.now, shed);
    EXPECT_TRUE(shed.empty());
    rig.throughput.capacity = 5; // half of the instances have gone
    rig.admission.shedLate(expected, rig.throughput, rig.now, shed);
    EXPECT_GE(shed.size(), 20U);
    EXPECT_LE(shed.size(), 30U);
    rig.throughput.capacity = 0;
    rig.admission.shedLate(expected, rig.throughput, rig.now, shed);
    EXPECT_EQ(rig.admission.queued(), 0U);
}

TEST(Admission, ForecastCountsHigherClassesYetToArrive)
{
    AdmissionRig rig;
    for (int i = 0; i < 40; ++i) { // lookups that need 90% of the slots, each served at once
        for (int n = 0; n < 90; ++n) {
            rig.arrive(Lookup, 1, 300ms);
            rig.admission.pop(rig.now);
            rig.admission.onDone(Lookup, 1, 10ms, true, rig.now);
        }
        rig.now += 100ms;
        rig.admission.tick(rig.throughput, rig.now);
    }
    int admitted = 0;
    while (!rig.arrive(Booking, 1, 1s)) {
        ++admitted;
    }
    EXPECT_GE(admitted, 35) << "400 ms at the 100/s that the lookups leave";
    EXPECT_LE(admitted, 45);
}

TEST(Admission, FullQueueTakesFromTheLongest)
{
    AdmissionRig rig;
    rig.settings.classes[Manifest].queueLimit = 10;
    for (int i = 0; i < 10; ++i) {
        EXPECT_FALSE(rig.admission.push(rig.ticket(Manifest, 1, 60s), rig.throughput));
    }
    const auto shed = rig.admission.push(rig.ticket(Manifest, 2, 60s), rig.throughput);
    ASSERT_TRUE(shed);
    EXPECT_EQ(shed->id, 10U) << "the last of the tenant that fills it, not the newcomer";
    EXPECT_EQ(shed->refusal.reason, RefusalReason::QueueFull);
}

TEST(Admission, TenantRate)
{
    AdmissionRig rig;
    rig.throughput.freeSlots = 1000;
    rig.settings.classes[Booking].tenantRate = 10;
    rig.settings.classes[Booking].tenantBurst = 5;
    for (int i = 0; i < 5; ++i) {
        EXPECT_FALSE(rig.arrive(Booking, 1, 1s));
    }
    EXPECT_EQ(rig.arrive(Booking, 1, 1s)->reason, RefusalReason::TenantRate);
    EXPECT_FALSE(rig.arrive(Booking, 2, 1s));
    rig.now += 100ms;
    EXPECT_FALSE(rig.arrive(Booking, 1, 1s));
}

TEST(Admission, TenantConcurrencyFollowsLatency)
{
    AdmissionRig rig;
    rig.throughput.freeSlots = 10000;
    ASSERT_FALSE(rig.arrive(Lookup, 1, 300ms));
    const double before = rig.admission.tenantLimit(1);
    for (int i = 0; i < 200; ++i) {
        rig.now += 100ms;
        rig.admission.onDone(Lookup, 1, 290ms, true, rig.now);
        ASSERT_FALSE(rig.arrive(Lookup, 1, 300ms));
    }
    const double shrunk = rig.admission.tenantLimit(1);
    EXPECT_LT(shrunk, before / 10);
    EXPECT_GE(shrunk, rig.settings.tenantMinConcurrency);
    int open = 1;
    while (!rig.arrive(Lookup, 1, 300ms)) {
        ++open;
    }
    EXPECT_EQ(open, static_cast<int>(shrunk));
    for (int i = 0; i < 200; ++i) {
        rig.admission.onDone(Lookup, 1, 5ms, true, rig.now);
        rig.arrive(Lookup, 1, 300ms);
    }
    EXPECT_GT(rig.admission.tenantLimit(1), shrunk);
}

TEST(Admission, BrownOutByClassAndBack)
{
    AdmissionRig rig;
    const auto interval = [&](Duration lookupDeadline) {
        for (int i = 0; i < 20; ++i) {
            rig.arrive(Lookup, 1, lookupDeadline);
        }
        rig.now += rig.settings.pressureInterval;
        rig.admission.tick(rig.throughput, rig.now);
        while (rig.admission.pop(rig.now - rig.settings.pressureInterval)) { }
    };
    interval(1ms); // each is refused: 1 ms cannot be met
    EXPECT_EQ(rig.admission.brownedOutClasses(), 1);
    EXPECT_EQ(rig.arrive(Manifest, 1, 60s)->reason, RefusalReason::Brownout);
    EXPECT_FALSE(rig.arrive(Booking, 1, 1s));
    interval(1ms);
    interval(1ms);
    EXPECT_EQ(rig.admission.brownedOutClasses(), 2) << "the highest class is never browned out";
    EXPECT_EQ(rig.arrive(Booking, 1, 1s)->reason, RefusalReason::Brownout);
    for (int i = 0; i < 25; ++i) {
        interval(300ms);
    }
    EXPECT_EQ(rig.admission.brownedOutClasses(), 0);
}

TEST(Admission, TenantNamesAreBounded)
{
    TenantTable tenants(2);
    EXPECT_EQ(tenants.find("a"), 1U);
    EXPECT_EQ(tenants.find("b"), 2U);
    EXPECT_EQ(tenants.find("c"), 0U);
    EXPECT_EQ(tenants.name(0), "other");
    EXPECT_EQ(tenants.find("a"), 1U);
}

// ---------------------------------------------------------------------------------------------------------------------
// Balancer
// ---------------------------------------------------------------------------------------------------------------------

namespace {

struct BalancerRig
{
    RequestSettings settings = threeClasses();
    Balancer balancer{settings, 7};
    TimePoint now{1h};

    /** Sends @p n requests one after the other; how many went to each instance. */
    std::map<std::string, int> serve(int n, const std::function<double(const std::string &)> &slowness = {})
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
            balancer.begin(*id);
            const double slow = slowness ? slowness(name) : 1;
            balancer.end(*id, slow < 0 ? EndKind::Bad : EndKind::Good, std::abs(slow), now);
        }
        return served;
    }
};

} // namespace

TEST(Balancer, LeavingAndFullInstancesAreNotChosen)
{
    BalancerRig rig;
    auto list = instances(3);
    list[1].leaving = true;
    rig.balancer.setInstances(list, rig.now);
    EXPECT_EQ(rig.serve(100).count("u1"), 0U);
    int chosen = 0;
    while (const auto id = rig.balancer.choose({}, rig.now)) {
        rig.balancer.begin(*id);
        ++chosen;
    }
    EXPECT_EQ(chosen, 2 * rig.settings.slotsPerInstance);
}

TEST(Balancer, SlowInstanceGetsLittle)
{
    BalancerRig rig;
    rig.balancer.setInstances(instances(10), rig.now);
    auto served = rig.serve(2000, [](const std::string &name) { return name == "u3" ? 10.0 : 1.0; });
    EXPECT_LT(served["u3"], 50) << "a fair share would be 200";
    EXPECT_GT(served["u3"], 0) << "but it is tried again";
}

TEST(Balancer, EjectsAfterFailuresButNeverTooMany)
{
    BalancerRig rig;
    rig.settings.slowStart = 1ms;
    rig.balancer.setInstances(instances(10), rig.now);
    rig.serve(200, [](const std::string &name) { return name == "u3" ? -1.0 : 1.0; });
    rig.serve(2000, [](const std::string &) { return -1.0; });
    EXPECT_EQ(rig.balancer.ejected(), 3) << "30% of 10";
    EXPECT_EQ(rig.serve(10).empty(), false);
    rig.now += rig.settings.ejectTime * 40;
    rig.balancer.tick(rig.now);
    EXPECT_EQ(rig.balancer.ejected(), 0);
}

TEST(Balancer, NewcomerStartsSlowly)
{
    BalancerRig rig;
    rig.balancer.setInstances(instances(4), rig.now);
    rig.serve(100);
    rig.balancer.setInstances(instances(5), rig.now);
    int early = 0;
    std::vector<InstanceId> taken;
    while (const auto id = rig.balancer.choose({}, rig.now)) {
        rig.balancer.begin(*id);
        taken.push_back(*id);
        early += rig.balancer.address(*id) == "u4" ? 1 : 0;
    }
    EXPECT_EQ(early, 1);
    rig.now += rig.settings.slowStart;
    int later = early;
    while (const auto id = rig.balancer.choose({}, rig.now)) {
        rig.balancer.begin(*id);
        later += rig.balancer.address(*id) == "u4" ? 1 : 0;
    }
    EXPECT_EQ(later, rig.settings.slotsPerInstance);
}

TEST(Balancer, OwnFailureDomainFirstThenSpill)
{
    BalancerRig rig;
    rig.balancer.setInstances(instances(2, 2), rig.now);
    const auto served = rig.serve(200);
    EXPECT_EQ(served.count("u2") + served.count("u3"), 0U);
    std::map<std::string, int> taken;
    while (const auto id = rig.balancer.choose({}, rig.now)) {
        rig.balancer.begin(*id);
        ++taken[rig.balancer.address(*id)];
    }
    EXPECT_EQ(taken["u0"] + taken["u1"], 2 * rig.settings.slotsPerInstance);
    EXPECT_EQ(taken["u2"] + taken["u3"], 2 * rig.settings.slotsPerInstance);
}

TEST(Balancer, SickOwnFailureDomainIsLeftByCost)
{
    BalancerRig rig;
    rig.balancer.setInstances(instances(3, 3), rig.now);
    const auto isOwn = [](const std::string &name) { return name < "u3"; };
    const auto served = rig.serve(600, [&](const std::string &name) { return isOwn(name) ? 10.0 : 1.0; });
    int own = 0;
    for (const auto &[name, count] : served) {
        own += isOwn(name) ? count : 0;
    }
    EXPECT_LT(own, 200);
}

TEST(Balancer, SharesSlotsAndBorrowsWhileLatencyAllows)
{
    BalancerRig rig;
    rig.settings.entryMembers = 4;
    rig.balancer.setInstances(instances(1), rig.now);
    EXPECT_EQ(rig.balancer.capacity(), 2) << "8 slots among 4 entry VMs";
    rig.serve(100);
    EXPECT_EQ(rig.balancer.capacity(), 8) << "borrowed";
    for (int i = 0; i < 100; ++i) {
        rig.now += 60ms;
        rig.serve(1, [](const std::string &) { return 5.0; });
    }
    EXPECT_EQ(rig.balancer.capacity(), 2) << "given back";
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
        bool provenOnly = false;
        bool cancelled = false;
        bool suspect = false;
    };

    void send(const Exchange &exchange) override
    {
        sent.push_back({exchange.id,
                        std::string(exchange.address),
                        exchange.request->target,
                        exchange.timeLeft,
                        exchange.provenOnly});
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
        asked.emplace_back(id, request);
    }

    void end(const ClaimEnd &end) override
    {
        ends.push_back(end);
    }

    std::vector<std::pair<RequestId, ClaimRequest>> asked;
    std::vector<ClaimEnd> ends;
};

struct DispatchRig
{
    RequestSettings settings = threeClasses();
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
        dispatcher->setUpstreams(instances(count), clock.now());
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

    /** Ends the @p n-th exchange. */
    void reply(std::size_t n, ExchangeStatus status, bool left, int httpStatus = 200)
    {
        ExchangeResult result;
        result.id = transport.sent.at(n).id;
        result.status = status;
        result.mayHaveBeenSent = left;
        result.response.status = httpStatus;
        result.response.body = transport.sent.at(n).target;
        dispatcher->onResult(std::move(result), clock.now());
    }
};

} // namespace

TEST(Dispatcher, BookingIsTriedAgainOnlyWhereNoByteLeft)
{
    DispatchRig rig;
    rig.submit("/book/1");
    rig.reply(0, ExchangeStatus::NotConnected, false);
    ASSERT_EQ(rig.transport.sent.size(), 2U);
    EXPECT_NE(rig.transport.sent[0].address, rig.transport.sent[1].address);
    EXPECT_TRUE(rig.transport.sent[1].provenOnly);
    rig.reply(1, ExchangeStatus::Broken, true);
    ASSERT_EQ(rig.answers.size(), 1U);
    EXPECT_EQ(rig.answers[0].outcome, RequestOutcome::OutcomeUnknown);
    EXPECT_EQ(rig.transport.sent.size(), 2U);
}

TEST(Dispatcher, NotRunWhereNothingEverLeft)
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
    rig.reply(0, ExchangeStatus::Answered, true); // late: its request is over
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
    DispatchRig rig(20, [](RequestSettings &settings) { settings.retryBurst = 3; });
    for (int i = 0; i < 10; ++i) {
        rig.submit("/lookup/" + std::to_string(i));
    }
    for (std::size_t i = 0; i < 2; ++i) {
        rig.reply(i, ExchangeStatus::Broken, true);
    }
    rig.advance(100ms);
    EXPECT_EQ(rig.dispatcher->counters().retries, 2U);
    EXPECT_EQ(rig.dispatcher->counters().hedges, 1U);
    EXPECT_GT(rig.dispatcher->counters().budgetEmpty, 0U);
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

TEST(Dispatcher, RefusesAtOnceWhatCannotBeMet)
{
    DispatchRig rig(1);
    for (int i = 0; i < 500; ++i) {
        rig.submit("/lookup/" + std::to_string(i));
    }
    ASSERT_FALSE(rig.answers.empty()) << "answered at arrival, with no time passed";
    for (const CallerResponse &it : rig.answers) {
        EXPECT_EQ(it.outcome, RequestOutcome::NotRun);
        EXPECT_FALSE(findHeader(it.headers, "Retry-After").empty());
    }
    EXPECT_EQ(rig.transport.sent.size(), 8U);
}

TEST(Dispatcher, ServesAgainAfterTimesAboveTheDeadline)
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
    EXPECT_EQ(rig.answers.size(), before) << "let in, not refused for good";
}

TEST(Dispatcher, KeyIsClaimedBeforeAnythingIsSent)
{
    DispatchRig rig;
    rig.submit("/book/1", "k1");
    EXPECT_TRUE(rig.transport.sent.empty());
    ASSERT_EQ(rig.claims.asked.size(), 1U);
    EXPECT_EQ(rig.claims.asked[0].second.key, claimKey("farm", "k1"));
    rig.dispatcher->onClaim(rig.claims.asked[0].first, {ClaimVerdict::Granted, {}}, rig.clock.now());
    ASSERT_EQ(rig.transport.sent.size(), 1U);
    rig.reply(0, ExchangeStatus::Answered, true);
    ASSERT_EQ(rig.claims.ends.size(), 1U);
    EXPECT_EQ(rig.claims.ends[0].kind, ClaimEndKind::Answered);
}

TEST(Dispatcher, TenantsBeyondTheBoundDoNotShareKeys)
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
    ASSERT_EQ(rig.claims.asked.size(), 2U);
    EXPECT_NE(rig.claims.asked[0].second.key, rig.claims.asked[1].second.key);
}

TEST(Dispatcher, ClaimGrantedTooLateIsReleased)
{
    DispatchRig rig(4, [](RequestSettings &settings) { settings.maxClaimWait = 100ms; });
    rig.submit("/book/1", "k1");
    rig.advance(110ms); // long before the deadline
    ASSERT_EQ(rig.answers.size(), 1U);
    EXPECT_EQ(rig.dispatcher->abandonedClaims(), 1U);
    EXPECT_EQ(rig.answers[0].outcome, RequestOutcome::NotRun);
    rig.dispatcher->onClaim(rig.claims.asked[0].first, {ClaimVerdict::Granted, {}}, rig.clock.now());
    EXPECT_TRUE(rig.transport.sent.empty());
    ASSERT_EQ(rig.claims.ends.size(), 1U);
    EXPECT_EQ(rig.claims.ends[0].kind, ClaimEndKind::NotRun);
    EXPECT_EQ(rig.dispatcher->abandonedClaims(), 0U);
    rig.submit("/book/2", "k2");
    rig.dispatcher->onClaim(rig.claims.asked[1].first, {ClaimVerdict::Done, {}}, rig.clock.now());
    EXPECT_EQ(rig.dispatcher->abandonedClaims(), 0U);
}

TEST(Dispatcher, ClaimOfARefusedRequestIsReleased)
{
    DispatchRig rig(0 + 1);
    rig.submit("/book/1", "k1");
    rig.dispatcher->setUpstreams({}, rig.clock.now());
    rig.dispatcher->onClaim(rig.claims.asked[0].first, {ClaimVerdict::Granted, {}}, rig.clock.now());
    rig.advance(10ms);
    ASSERT_EQ(rig.answers.size(), 1U);
    EXPECT_EQ(rig.answers[0].outcome, RequestOutcome::NotRun);
    EXPECT_EQ(rig.claims.ends.at(0).kind, ClaimEndKind::NotRun);
}

TEST(Dispatcher, RepeatThatWaitsTooLongIsUnknown)
{
    DispatchRig rig;
    rig.submit("/book/1", "k1");
    rig.dispatcher->onClaim(rig.claims.asked[0].first, {ClaimVerdict::Waiting, {}}, rig.clock.now());
    rig.advance(1100ms);
    ASSERT_EQ(rig.answers.size(), 1U);
    EXPECT_EQ(rig.answers[0].outcome, RequestOutcome::OutcomeUnknown);
    EXPECT_TRUE(rig.claims.ends.empty());
}

TEST(Metrics, TenantsBeyondTheBoundShareALabel)
{
    RequestSettings settings = threeClasses();
    settings.maxTenantLabels = 2;
    prometheus::Registry registry;
    RequestMetrics metrics(settings, registry);
    TenantTable tenants(2);
    for (const char *name : {"a", "b", "c", "d"}) {
        const TenantIndex index = tenants.find(name);
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

TEST(Settings, FaultsAreAllNamed)
{
    RequestSettings settings = threeClasses();
    EXPECT_TRUE(check(settings).empty());
    settings.classes[0].pathPrefix = "lookup";
    settings.classes[1].name = "lookup";
    settings.classes[2].requireKey = true;
    settings.maxEjectedShare = 0.9;
    settings.maxClaims = 30000; // a snapshot of them would be longer than a value may be
    EXPECT_EQ(check(settings).size(), 5U);
    settings.classes[0].pathPrefix = "/";
    EXPECT_EQ(findClass(settings, "GET", "/manifest/1"), &settings.classes[2]) << "the longest prefix";
}
