/** Faults over real sockets: callers' answers, and executions by the upstreams. */
#include "pathrig.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

using namespace QuetzalRock;
using namespace QuetzalRock::Test;

namespace {

bool isNotRun(const HttpReply &reply)
{
    return reply.headContains("Quetzalrock-Outcome: not_run");
}

bool isUnknown(const HttpReply &reply)
{
    return reply.status == 504 && reply.headContains("Quetzalrock-Outcome: outcome_unknown");
}

HttpReply bookWithDeadline(PathRig &rig, const std::string &id, int milliseconds, const std::string &key = {})
{
    std::vector<std::string> headers{"Booking-Id: " + id, "Quetzalrock-Deadline-Ms: " + std::to_string(milliseconds)};
    if (!key.empty()) {
        headers.push_back("Idempotency-Key: " + key);
    }
    return HttpCaller(rig.front.port()).call({"POST", "/book", headers, "hold"});
}

/** A TCP client, for cases that an HTTP client library does not support. */
class RawCaller
{
public:
    explicit RawCaller(std::uint16_t port, int receiveBuffer = 0)
        : m_fd(::socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receiveBuffer > 0) {
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
    }

    ~RawCaller()
    {
        ::close(m_fd);
    }

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            ASSERT_GT(n, 0);
            sent += static_cast<std::size_t>(n);
        }
    }

    /** Reads until @p text has been received or the connection has ended. */
    std::string readUntil(const std::string &text) const
    {
        std::string all;
        char buf[4096];
        while (all.find(text) == std::string::npos) {
            const ssize_t n = ::recv(m_fd, buf, sizeof buf, 0);
            if (n <= 0) {
                break;
            }
            all.append(buf, static_cast<std::size_t>(n));
        }
        return all;
    }

private:
    int m_fd;
};

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// One fault at a time
// ---------------------------------------------------------------------------------------------------------------------

TEST(Faults, RequestIsNotResentWhenReusedConnectionCloses)
{
    PathRig rig(1);
    ASSERT_EQ(rig.book("warm").status, 200); // leaves a verified idle connection
    rig.setFaultOnAll(UpstreamFault::CloseWithoutResponse);
    EXPECT_TRUE(isUnknown(rig.book("b1")));
    EXPECT_EQ(rig.ledger.count("b1"), 1);
    EXPECT_EQ(rig.path.transportCounters().resendsPrevented, 1U);
}

TEST(Faults, TruncatedAnswerIsNeverForwarded)
{
    PathRig rig(2);
    for (const auto fault :
         {UpstreamFault::CloseMidResponse, UpstreamFault::CloseMidChunk, UpstreamFault::CloseWithoutLength}) {
        const std::string id = "b" + std::to_string(static_cast<int>(fault));
        rig.setFaultOnAll(fault);
        EXPECT_TRUE(isUnknown(rig.book(id)));
        EXPECT_EQ(rig.ledger.count(id), 1);
        const HttpReply lookup = rig.lookup("l" + id);
        EXPECT_EQ(lookup.status, 502);
        EXPECT_TRUE(lookup.headContains("Quetzalrock-Outcome: failed"));
    }
}

TEST(Faults, LookupIsRetriedElsewhereAndBookingIsNot)
{
    PathRig rig(2);
    rig.upstreams[0]->setFault(UpstreamFault::CloseMidResponse);
    std::set<int> statuses;
    for (int i = 0; i < 12; ++i) {
        EXPECT_EQ(rig.lookup("l" + std::to_string(i)).status, 200);
    }
    for (int i = 0; i < 12; ++i) {
        const std::string id = "b" + std::to_string(i);
        statuses.insert(rig.book(id).status);
        EXPECT_EQ(rig.ledger.count(id), 1);
    }
    EXPECT_LE(statuses.size(), 2U);
    EXPECT_TRUE(statuses.contains(200));
}

TEST(Faults, UpstreamErrorIsForwardedWhole)
{
    PathRig rig(1);
    rig.setFaultOnAll(UpstreamFault::Error);
    const HttpReply reply = rig.book("b1", "k1");
    EXPECT_EQ(reply.status, 500);
    EXPECT_EQ(reply.body, "error b1 /book hold");
    EXPECT_TRUE(reply.headContains("Quetzalrock-Outcome: failed"));
    rig.setFaultOnAll(UpstreamFault::None);
    EXPECT_EQ(rig.book("b1", "k1").status, 500) << "the first answer, not a second run";
    EXPECT_EQ(rig.ledger.count("b1"), 1);
}

TEST(Faults, SilentInstanceIsHedgedAndBookingOutcomeIsUnknown)
{
    PathRig rig(2);
    rig.upstreams[0]->setFault(UpstreamFault::NeverRespond);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(rig.lookup("l" + std::to_string(i)).status, 200) << "answered by a hedge";
    }
    rig.setFaultOnAll(UpstreamFault::NeverRespond);
    EXPECT_TRUE(isUnknown(bookWithDeadline(rig, "b1", 100, "k1")));
    rig.setFaultOnAll(UpstreamFault::None);
    EXPECT_TRUE(isUnknown(rig.book("b1", "k1"))) << "the same key never runs twice";
    EXPECT_EQ(rig.ledger.count("b1"), 1);
}

TEST(Faults, LateAnswersOutOfOrderReachTheirOwnCallers)
{
    PathRig rig(1);
    rig.setFaultOnAll(UpstreamFault::HoldResponse);
    std::vector<std::future<HttpReply>> replies;
    replies.reserve(8);
    for (int i = 0; i < 8; ++i) {
        replies.push_back(std::async(std::launch::async, [&rig, i] { return rig.book("b" + std::to_string(i)); }));
    }
    ASSERT_TRUE(eventually([&] { return rig.upstreams[0]->heldCount() == 8; }));
    rig.upstreams[0]->releaseHeldResponses();
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(replies[static_cast<std::size_t>(i)].get().body, "b" + std::to_string(i) + " /book hold");
    }
}

TEST(Faults, AnswerAfterTheDeadlineReachesNoOtherCaller)
{
    PathRig rig(1);
    rig.setFaultOnAll(UpstreamFault::HoldResponse);
    EXPECT_TRUE(isUnknown(bookWithDeadline(rig, "late", 100)));
    rig.setFaultOnAll(UpstreamFault::None);
    rig.upstreams[0]->releaseHeldResponses();
    EXPECT_EQ(rig.book("next").body, "next /book hold");
    EXPECT_EQ(rig.ledger.count("late"), 1);
}

TEST(Faults, BookingsUseOtherFailureDomainWhenOwnIsUnreachable)
{
    PathRig rig(2);
    std::vector<UpstreamInstance> list = rig.instances();
    list[1].failureDomain = "paldiski";
    rig.upstreams[0].reset(); // from now on its port refuses connections
    rig.path.setUpstreams(list);
    for (int i = 0; i < 10; ++i) {
        const std::string id = "b" + std::to_string(i);
        EXPECT_EQ(rig.book(id, id).status, 200) << "no byte had left, so it was retried on another instance";
        EXPECT_EQ(rig.ledger.count(id), 1);
    }
    rig.upstreams.erase(rig.upstreams.begin());
}

TEST(Faults, UnavailableClaimLogRefusesOnlyKeyedBookings)
{
    PathRig rig(1);
    rig.log.down = true;
    EXPECT_TRUE(isNotRun(rig.book("keyed", "k1")));
    EXPECT_EQ(rig.ledger.count("keyed"), 0);
    EXPECT_EQ(rig.lookup("l").status, 200);
    EXPECT_EQ(rig.book("unkeyed").status, 200);
    rig.log.down = false;
    EXPECT_TRUE(eventually([&] { return rig.book("keyed", "k1").status == 200; }));
    EXPECT_EQ(rig.ledger.count("keyed"), 1);
}

// ---------------------------------------------------------------------------------------------------------------------
// Idempotency keys
// ---------------------------------------------------------------------------------------------------------------------

TEST(Keys, RepeatWaitsForTheFirstAnswer)
{
    PathRig rig(1);
    rig.setFaultOnAll(UpstreamFault::HoldResponse);
    auto first = std::async(std::launch::async, [&] { return rig.book("b1", "k1"); });
    ASSERT_TRUE(eventually([&] { return rig.upstreams[0]->heldCount() == 1; }));
    auto second = std::async(std::launch::async, [&] { return rig.book("b1", "k1"); });
    ASSERT_TRUE(eventually([&] { return rig.claims.counters().repeats == 1; }));
    rig.upstreams[0]->releaseHeldResponses();
    EXPECT_EQ(first.get().body, "b1 /book hold");
    const HttpReply repeat = second.get();
    EXPECT_EQ(repeat.body, "b1 /book hold");
    EXPECT_TRUE(repeat.headContains("Idempotency-Replayed: true"));
    EXPECT_EQ(rig.book("b1", "k1", "other hold").status, 422);
    EXPECT_EQ(rig.ledger.count("b1"), 1);
}

TEST(Keys, UnfinishedRunIsUnknownAfterTakeover)
{
    PathRig rig(1);
    rig.setFaultOnAll(UpstreamFault::HoldResponse);
    auto first = std::async(std::launch::async, [&] { return rig.book("b1", "k1"); });
    ASSERT_TRUE(eventually([&] { return rig.upstreams[0]->heldCount() == 1; }));
    FakeLog log(rig.store);
    LocalClaims claims(rig.settings, rig.clock, log);
    RequestPath path(rig.settings, rig.clock, &claims, nullptr);
    HttpFront front(rig.settings, rig.clock, path);
    claims.start();
    path.start();
    path.setUpstreams(rig.instances());
    front.start();
    ASSERT_TRUE(eventually([&] { return claims.isOwner(); }));
    const HttpCall call{"POST", "/book", {"Booking-Id: b1", "Idempotency-Key: k1"}, "hold"};
    EXPECT_TRUE(isUnknown(HttpCaller(front.port()).call(call)));
    rig.setFaultOnAll(UpstreamFault::None);
    rig.upstreams[0]->releaseHeldResponses();
    EXPECT_EQ(first.get().status, 200);
    EXPECT_EQ(rig.ledger.count("b1"), 1);
    front.stop();
    path.stop();
    claims.stop();
}

// ---------------------------------------------------------------------------------------------------------------------
// Connections and callers
// ---------------------------------------------------------------------------------------------------------------------

TEST(Connections, BookingReusesOnlyVerifiedConnections)
{
    RequestSettings settings = pathSettings();
    settings.verifiedConnectionWindow = 0s;
    PathRig rig(1, settings);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(rig.book("b" + std::to_string(i)).status, 200);
    }
    EXPECT_EQ(rig.upstreams[0]->connections(), 5U);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(rig.lookup("l" + std::to_string(i)).status, 200);
    }
    EXPECT_EQ(rig.upstreams[0]->connections(), 5U) << "a lookup may reuse any connection";
}

TEST(Connections, SilentConnectionMakesOlderOnesSuspect)
{
    PathRig rig(1);
    StandInUpstream &upstream = *rig.upstreams[0];
    const auto lookUpConcurrently = [&](int count) {
        upstream.setFault(UpstreamFault::HoldResponse);
        std::vector<std::future<HttpReply>> replies;
        replies.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            replies.push_back(std::async(std::launch::async, [&rig] { return rig.lookup("l"); }));
        }
        ASSERT_TRUE(eventually([&] { return upstream.heldCount() == count; }));
        upstream.setFault(UpstreamFault::None);
        upstream.releaseHeldResponses();
        for (auto &it : replies) {
            EXPECT_EQ(it.get().status, 200);
        }
    };
    lookUpConcurrently(3); // opens three connections that are idle afterwards
    upstream.setFault(UpstreamFault::NeverRespond);
    auto silent = std::async(std::launch::async, [&rig] {
        const std::vector<std::string> headers{"Quetzalrock-Deadline-Ms: 300"};
        return HttpCaller(rig.front.port()).call({"GET", "/lookup/silent", headers, ""});
    });
    ASSERT_TRUE(eventually([&] { return upstream.unansweredCount() == 1; }));
    upstream.setFault(UpstreamFault::None);
    // Uses the second connection. Its answer keeps that connection trusted and shows that the instance answers others,
    // so the silent first connection becomes suspect.
    EXPECT_EQ(rig.lookup("answered").status, 200);
    EXPECT_EQ(silent.get().status, 502);
    EXPECT_EQ(rig.path.transportCounters().suspectConnections, 1U);
    lookUpConcurrently(2);
    EXPECT_EQ(rig.path.transportCounters().unverifiedReusesAvoided, 1U)
        << "the third has not answered since the silent exchange started";
}

TEST(Connections, LeavingInstanceGetsNoNewRequests)
{
    PathRig rig(2);
    std::vector<UpstreamInstance> list = rig.instances();
    list[0].leaving = true;
    rig.path.setUpstreams(list);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(rig.lookup("l" + std::to_string(i)).status, 200);
    }
    EXPECT_EQ(rig.upstreams[0]->requests(), 0U);
}

TEST(Callers, HeaderAndBodySizesAreLimited)
{
    RequestSettings settings = pathSettings();
    settings.maxHeaderBytes = 2000;
    settings.maxBodyBytes = 5000;
    PathRig rig(1, settings);
    const HttpCall longHeader{"GET", "/lookup/a", {"X-Long: " + std::string(3000, 'x')}, ""};
    EXPECT_EQ(HttpCaller(rig.front.port()).call(longHeader).status, 431);
    EXPECT_EQ(rig.book("b1", "", std::string(5500, 'x')).status, 413);
    EXPECT_EQ(rig.book("b2", "", std::string(50000, 'x')).status, 413);
    EXPECT_EQ(rig.upstreams[0]->requests(), 0U);
}

TEST(Callers, ConnectionIsKeptAlive)
{
    PathRig rig(1);
    HttpCaller caller(rig.front.port());
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(caller.call({"GET", "/lookup/a", {}, ""}).status, 200);
    }
    EXPECT_EQ(rig.front.counters().connections, 1U);
    EXPECT_EQ(caller.connects(), 1);
}

TEST(Callers, AnswersKeepTheOrderOfRequestsOnAConnection)
{
    PathRig rig(1);
    rig.setFaultOnAll(UpstreamFault::HoldResponse);
    const RawCaller caller(rig.front.port());
    caller.send("GET /lookup/first HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(eventually([&] { return rig.upstreams[0]->heldCount() == 1; }));
    caller.send("GET /lookup/second HTTP/1.1\r\nHost: x\r\n\r\n");
    rig.setFaultOnAll(UpstreamFault::None);
    EXPECT_EQ(rig.lookup("meanwhile").status, 200);
    rig.upstreams[0]->releaseHeldResponses();
    const std::string all = caller.readUntil("/lookup/second");
    EXPECT_NE(all.find("/lookup/second"), std::string::npos);
    EXPECT_LT(all.find("/lookup/first"), all.find("/lookup/second"));
}

TEST(Callers, UnreadAnswersAreBounded)
{
    RequestSettings settings = pathSettings();
    settings.maxUnsentBytes = 1000;
    PathRig rig(1, settings);
    const std::string body(900'000, 'x');
    {
        const RawCaller slow(rig.front.port(), 4096);
        slow.send("POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                  + body);
        ASSERT_TRUE(eventually([&] { return rig.front.counters().unsentBytes > 1000; }));
        EXPECT_TRUE(isNotRun(rig.lookup("l")));
    }
    EXPECT_TRUE(eventually([&] { return rig.front.counters().unsentBytes == 0; }));
    EXPECT_EQ(rig.lookup("l").status, 200);
}

TEST(Callers, SlowReaderDelaysNoOtherCallerAndIsClosed)
{
    RequestSettings settings = pathSettings();
    settings.frontThreads = 1;
    PathRig rig(1, settings);
    ManualClock clock;
    HttpFront front(rig.settings, clock, rig.path);
    front.start();
    const std::string body(900'000, 'x');
    const RawCaller slow(front.port(), 4096);
    slow.send("POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    ASSERT_TRUE(eventually([&] { return front.counters().unsentBytes > 0; }));
    EXPECT_EQ(HttpCaller(front.port()).call({"GET", "/lookup/a", {}, ""}).status, 200);
    ASSERT_TRUE(eventually([&] { return clock.waiterCount() == 1; }));
    clock.advance(rig.settings.slowReaderTimeout + 1s);
    EXPECT_TRUE(eventually([&] { return front.counters().unsentBytes == 0; }));
    EXPECT_EQ(front.counters().slowReadersClosed, 1U);
    EXPECT_TRUE(eventually([&] { return front.unanswered() == 0; }));
}

TEST(Callers, IdleConnectionIsClosedAndBusyOneIsNot)
{
    PathRig rig(1);
    ManualClock clock;
    HttpFront front(rig.settings, clock, rig.path);
    front.start();
    const RawCaller idle(front.port());
    rig.setFaultOnAll(UpstreamFault::HoldResponse);
    auto held = std::async(std::launch::async, [&] {
        return HttpCaller(front.port()).call({"POST", "/book", {"Booking-Id: b1"}, "hold"});
    });
    ASSERT_TRUE(eventually([&] { return rig.upstreams[0]->heldCount() == 1 && front.counters().connections == 2; }));
    ASSERT_TRUE(eventually([&] { return clock.waiterCount() == 1; }));
    clock.advance(rig.settings.callerIdleTimeout + 1s);
    EXPECT_EQ(idle.readUntil("never"), "");
    EXPECT_TRUE(eventually([&] { return front.counters().connections == 1; }));
    rig.upstreams[0]->releaseHeldResponses();
    EXPECT_EQ(held.get().body, "b1 /book hold");
}

// Guards against a misleading end: a front whose port was in use ended the process on a thread that was never started.
TEST(Callers, PortInUseIsReported)
{
    PathRig rig(1);
    RequestSettings settings = rig.settings;
    settings.listenPort = rig.front.port();
    HttpFront second(settings, rig.clock, rig.path);
    try {
        second.start();
        FAIL() << "the port is in use";
    } catch (const std::runtime_error &error) {
        EXPECT_NE(std::string_view(error.what()).find("Address already in use"), std::string_view::npos);
    }
}

TEST(Drain, CompletesRequestsInFlight)
{
    PathRig rig(1);
    rig.setFaultOnAll(UpstreamFault::HoldResponse);
    auto inFlight = std::async(std::launch::async, [&] { return rig.book("b1", "k1"); });
    ASSERT_TRUE(eventually([&] { return rig.upstreams[0]->heldCount() == 1; }));
    rig.path.beginDrain();
    EXPECT_TRUE(isNotRun(rig.book("b2")));
    EXPECT_FALSE(rig.path.isDrained());
    rig.upstreams[0]->releaseHeldResponses();
    EXPECT_EQ(inFlight.get().body, "b1 /book hold");
    EXPECT_TRUE(eventually([&] { return rig.path.isDrained() && rig.front.unanswered() == 0; }));
    EXPECT_EQ(rig.ledger.count("b2"), 0);
}

// ---------------------------------------------------------------------------------------------------------------------
// Two faults at once
// ---------------------------------------------------------------------------------------------------------------------

namespace {

struct FaultPair
{
    const char *name;
    std::function<void(PathRig &)> inject;
};

void disconnectOwnDomain(PathRig &rig)
{
    std::vector<UpstreamInstance> list = rig.instances();
    list[1].failureDomain = "paldiski";
    list[2].failureDomain = "paldiski";
    list[0].address = "127.0.0.1:1"; // no listener
    rig.path.setUpstreams(list);
}

const FaultPair FaultPairs[] = {
    {"TruncatedAnswersAndClaimAnswersLost",
     [](PathRig &rig) {
         rig.setFaultOnAll(UpstreamFault::CloseMidResponse, 3);
         rig.log.loseAnswers = 20;
     }},
    {"ClosedUnansweredAndClaimWritesLost",
     [](PathRig &rig) {
         rig.setFaultOnAll(UpstreamFault::CloseWithoutResponse, 2);
         rig.log.loseWrites = 20;
     }},
    {"OwnDomainUnreachableAndErrors",
     [](PathRig &rig) {
         disconnectOwnDomain(rig);
         rig.setFaultOnAll(UpstreamFault::Error, 2);
     }},
    {"OwnDomainUnreachableAndSilence",
     [](PathRig &rig) {
         disconnectOwnDomain(rig);
         rig.setFaultOnAll(UpstreamFault::NeverRespond, 4);
     }},
    {"ClaimLogUnavailableAndTruncatedAnswers",
     [](PathRig &rig) {
         rig.log.down = true;
         rig.setFaultOnAll(UpstreamFault::CloseMidChunk, 2);
     }},
    {"RefusalsAndClaimAnswersLost",
     [](PathRig &rig) {
         rig.setFaultOnAll(UpstreamFault::Reject, 2);
         rig.log.loseAnswers = 10;
     }},
};

/** Books 20 ids, each up to three times with its key; every reply must agree with the ledger of executions. */
void bookAndCheckLedger(PathRig &rig, int caller)
{
    for (int i = 0; i < 20; ++i) {
        const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(i);
        bool wasUnknown = false;
        bool wasAnswered = false;
        for (int attempt = 0; attempt < 3 && !wasAnswered && !wasUnknown; ++attempt) {
            const HttpReply reply = bookWithDeadline(rig, id, 150, id);
            wasUnknown = isUnknown(reply);
            wasAnswered = reply.status == 200;
            if (wasAnswered) {
                EXPECT_EQ(reply.body, id + " /book hold");
                EXPECT_EQ(rig.ledger.count(id), 1);
            }
            if (isNotRun(reply)) {
                EXPECT_EQ(rig.ledger.count(id), 0) << "answered not_run although it ran";
            }
            EXPECT_LE(rig.ledger.count(id), 1);
        }
    }
}

class FaultPairTest : public ::testing::TestWithParam<FaultPair>
{
};

} // namespace

TEST_P(FaultPairTest, RepliesAgreeWithExecutions)
{
    RequestSettings settings = pathSettings();
    settings.claimRetryDelay = 1ms;
    PathRig rig(3, settings);
    GetParam().inject(rig);
    std::vector<std::future<void>> callers;
    callers.reserve(4);
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::async(std::launch::async, [&rig, i] { bookAndCheckLedger(rig, i); }));
    }
    for (auto &it : callers) {
        it.get();
    }
    EXPECT_LE(rig.ledger.highestCount(), 1);
    rig.log.down = false;
    rig.setFaultOnAll(UpstreamFault::None);
    rig.publishInstances();
    EXPECT_TRUE(eventually([&] { return rig.book("after", "after").status == 200; }))
        << "recovers after the faults have ended";
}

INSTANTIATE_TEST_SUITE_P(Pairs, FaultPairTest, ::testing::ValuesIn(FaultPairs), [](const auto &it) {
    return std::string(it.param.name);
});
