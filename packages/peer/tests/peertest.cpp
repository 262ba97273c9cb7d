#include <peer/fakepeers.h>
#include <peer/jsonrpc.h>
#include <peer/peer.h>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace QuetzalRock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PeerKey OldKey{"old", "0123456789abcdef-old"};
const PeerKey NewKey{"new", "0123456789abcdef-new"};
constexpr Duration CallTimeout = seconds(20);

/** Accepts connections at the TCP level and never answers. */
class SilentListener
{
public:
    SilentListener()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
        EXPECT_EQ(listen(m_socket, 1), 0);
        socklen_t n = sizeof address;
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &n);
        m_port = ntohs(address.sin_port);
    }

    ~SilentListener()
    {
        close(m_socket);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    int m_socket;
    int m_port = 0;
};

class PeerTest : public testing::Test
{
public:
    PeerTest()
        : serverAuth({"entry-1", {OldKey}}, clock)
        , clientAuth({"entry-2", {OldKey}}, clock)
        , client(clientAuth)
    {
        router.on("echo", [this](const PeerCall &call) {
            ++runs;
            return std::string(call.sender) + ":" + std::string(call.body);
        });
        router.on("busy", [](const PeerCall &) -> std::string { throw NotRun("busy", milliseconds(250)); });
        router.on("broken", [](const PeerCall &) -> std::string { throw std::runtime_error("broken"); });
        server = std::make_unique<PeerServer>(serverAuth, router, PeerServerSettings{});
    }

    std::string echo(std::string_view body)
    {
        return client.call(server->address(), "echo", body, CallTimeout);
    }

    ErrorCode errorCodeOf(const std::function<void()> &action)
    {
        try {
            action();
        } catch (const Error &ec) {
            return ec.code();
        }
        ADD_FAILURE() << "no Error was thrown";
        return ErrorCode::Failed;
    }

    ManualClock clock;
    PeerRouter router;
    std::atomic<int> runs = 0;
    PeerAuth serverAuth;
    PeerAuth clientAuth;
    PeerClient client;
    std::unique_ptr<PeerServer> server;
};

TEST_F(PeerTest, callsCarrySenderAndBody)
{
    EXPECT_EQ(echo(R"({"a":"Läänemere \" \n"})"), R"(entry-2:{"a":"Läänemere \" \n"})");
    const std::string large(1'500'000, 'x');
    EXPECT_EQ(echo(large), "entry-2:" + large);
    EXPECT_EQ(server->counters().calls, 2u);
}

TEST_F(PeerTest, handlerErrorsKeepTheirType)
{
    try {
        client.call(server->address(), "busy", "{}", CallTimeout);
        FAIL();
    } catch (const NotRun &ec) {
        EXPECT_EQ(ec.retryAfter(), milliseconds(250));
        EXPECT_STREQ(ec.what(), "busy");
    }
    EXPECT_THROW(client.call(server->address(), "broken", "{}", CallTimeout), OutcomeUnknown);
    EXPECT_THROW(client.call(server->address(), "unheard", "{}", CallTimeout), NotFound);
}

TEST_F(PeerTest, refusedConnectionIsUnavailable)
{
    const std::string address = server->address();
    server.reset();
    EXPECT_THROW(client.call(address, "echo", "{}", CallTimeout), Unavailable);
}

TEST_F(PeerTest, timeoutAfterConnectingIsOutcomeUnknown)
{
    const SilentListener listener;
    EXPECT_THROW(client.call(listener.address(), "echo", "{}", milliseconds(20)), OutcomeUnknown);
}

TEST_F(PeerTest, keyRotationRefusesNoCall)
{
    serverAuth.setKeys({OldKey, NewKey});
    echo("1");
    clientAuth.setKeys({NewKey, OldKey});
    echo("2");
    serverAuth.setKeys({NewKey});
    echo("3");
    EXPECT_EQ(serverAuth.counters().accepted, 3u);
    EXPECT_EQ(serverAuth.counters().unknownKey, 0u);
}

TEST_F(PeerTest, wrongKeysAreRefusedAndCounted)
{
    clientAuth.setKeys({NewKey});
    EXPECT_EQ(errorCodeOf([&] { echo("1"); }), ErrorCode::Unauthenticated);
    clientAuth.setKeys({{OldKey.id, "not the same secret"}});
    EXPECT_EQ(errorCodeOf([&] { echo("2"); }), ErrorCode::Unauthenticated);
    EXPECT_EQ(serverAuth.counters().unknownKey, 1u);
    EXPECT_EQ(serverAuth.counters().wrongSignature, 1u);
    EXPECT_EQ(runs, 0);
    EXPECT_THROW(clientAuth.setKeys({{"short", "secret"}}), InvalidArgument);
    EXPECT_THROW(clientAuth.setKeys({}), InvalidArgument);
}

TEST_F(PeerTest, tamperedStaleReplayedAndMisaddressedCallsAreRefused)
{
    detail::RpcRequest request = clientAuth.sign("a:1", "echo", "{}");
    EXPECT_EQ(serverAuth.verify("b:1", "echo", request), "call is addressed to a:1");
    EXPECT_EQ(serverAuth.verify("a:1", "other", request), "wrong signature");
    EXPECT_EQ(serverAuth.verify("a:1", "echo", request), "");
    EXPECT_EQ(serverAuth.verify("a:1", "echo", request), "repeated");
    clock.advance(seconds(29));
    EXPECT_EQ(serverAuth.verify("a:1", "echo", request), "repeated");
    clock.advance(seconds(2));
    EXPECT_EQ(serverAuth.verify("a:1", "echo", request), "stale");
    request = clientAuth.sign("a:1", "echo", "{}");
    request.body = "[]";
    EXPECT_EQ(serverAuth.verify("a:1", "echo", request), "wrong signature");
}

TEST_F(PeerTest, noncesExpireAndAreBounded)
{
    PeerAuth bounded({"entry-1", {OldKey}, seconds(30), 10}, clock);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(bounded.verify("a:1", "echo", clientAuth.sign("a:1", "echo", "{}")), "");
    }
    EXPECT_EQ(bounded.verify("a:1", "echo", clientAuth.sign("a:1", "echo", "{}")), "too many calls");
    clock.advance(seconds(121));
    EXPECT_EQ(bounded.verify("a:1", "echo", clientAuth.sign("a:1", "echo", "{}")), "");
}

TEST(FakePeers, injectsLossDuplicationDelayAndPartition)
{
    FakePeers peers;
    int runs = 0;
    PeerRouter router;
    router.on("add", [&](const PeerCall &) { return std::to_string(++runs); });
    peers.attach("a:1", &router);
    FakeTransport transport(peers, "b:1");
    const auto call = [&] { return transport.call("a:1", "add", "{}", seconds(1)); };

    EXPECT_EQ(call(), "1");
    peers.loseCalls["a:1"] = 1;
    EXPECT_THROW(call(), OutcomeUnknown);
    EXPECT_EQ(runs, 1);
    peers.loseAnswers["a:1"] = 1;
    EXPECT_THROW(call(), OutcomeUnknown);
    EXPECT_EQ(runs, 2);
    peers.delayCalls = true;
    EXPECT_THROW(call(), OutcomeUnknown);
    EXPECT_EQ(runs, 2);
    peers.delayCalls = false;
    peers.deliverDelayed();
    EXPECT_EQ(runs, 3);
    peers.duplicateCalls = true;
    EXPECT_EQ(call(), "4");
    EXPECT_EQ(runs, 5);
    peers.cut("a:1", "b:1");
    EXPECT_THROW(call(), OutcomeUnknown);
    peers.heal("b:1", "a:1");
    peers.attach("a:1", nullptr);
    EXPECT_THROW(call(), Unavailable);
}

} // namespace

} // namespace QuetzalRock
