/**
 * Calls between the system's own processes: JSON-RPC 2.0 over HTTP, signed with a key that all of them share.
 *
 * Index of this file
 *   PeerTransport   what callers take: a call to an address
 *   PeerRouter      method -> handler, what a process answers
 *   PeerKeys        the shared keys; two are valid at once while they are rotated
 *   PeerServer      answers over a socket
 *   PeerClient      calls over sockets
 *   PeerCounters    what to export as metrics
 *
 * Use
 *   PeerAuth auth({"entry-1", {{"2026-12", secret}}}, clock);
 *   PeerRouter router;
 *   router.on("member.heartbeat", [&](const PeerCall &call) { return membership.onHeartbeat(call.body); });
 *   PeerServer server(auth, router, {.listen = "10.0.0.1:7400"});
 *   PeerClient client(auth);
 *   std::string answer = client.call("10.0.0.2:7400", "member.heartbeat", "{}", std::chrono::milliseconds(300));
 *
 * Errors of a call
 *   Unavailable      surely not delivered: no byte left this process
 *   OutcomeUnknown   it may have run (timeout, connection lost, refused as a repeat, answer not signed by a peer)
 *   Error            Unauthenticated: refused before any handler ran; any other code: as thrown by the handler
 *
 * Each call carries the sender's name, the address called, the wall time, a nonce and the id of the key that signed it.
 * A call is refused when the key is unknown, the signature wrong, the time more than PeerAuthSettings::maxSkew away or
 * the nonce seen before; so a call runs at most once, also where libcurl repeats it on a fresh connection.
 * The contents are not encrypted.
 */
#pragma once

#include <base/clock.h>
#include <base/errors.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

// ---------------------------------------------------------------------------------------------------------------------
// PeerTransport, PeerRouter
// ---------------------------------------------------------------------------------------------------------------------

/** A way to call peers. Thread-safe. */
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;

    /** Calls @p method at @p address ("ip:port") and returns its JSON. Errors: see the top of this file. */
    virtual std::string call(std::string_view address, std::string_view method, std::string_view json, Duration timeout)
        = 0;
};

/** A call as its handler sees it; the sender is authenticated. */
struct PeerCall
{
    std::string_view sender;
    std::string_view method;
    std::string_view body; ///< JSON
};

/** Runs on a thread of the server: return quickly, hand longer work to a ring. Whatever Error it throws goes back. */
using PeerHandler = std::function<std::string(const PeerCall &call)>;

class PeerRouter
{
public:
    void on(std::string method, PeerHandler handler); ///< before a server is made of it; not thread-safe
    std::string dispatch(const PeerCall &call) const; ///< throws NotFound for an unknown method
    std::vector<std::string> methods() const;

private:
    std::map<std::string, PeerHandler, std::less<>> m_handlers;
};

// ---------------------------------------------------------------------------------------------------------------------
// PeerKeys
// ---------------------------------------------------------------------------------------------------------------------

struct PeerKey
{
    std::string id;     ///< travels with each call
    std::string secret; ///< at least MinSecretBytes long
};

constexpr std::size_t MinSecretBytes = 16;

struct PeerAuthSettings
{
    std::string self;                            ///< name of this member, as in its registration
    std::vector<PeerKey> keys;                   ///< the first signs, all are accepted; see setKeys() for rotation
    Duration maxSkew = std::chrono::seconds(30); ///< accepted difference of wall clocks; entry VMs need NTP
    std::size_t maxNonces = 200'000; ///< remembered for 2 * maxSkew; beyond it calls are refused (40 MB at most)
};

struct PeerAuthCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t unknownKey = 0;
    std::uint64_t wrongSignature = 0;
    std::uint64_t stale = 0;
    std::uint64_t repeated = 0;
    std::uint64_t wrongTarget = 0;
    std::uint64_t overloaded = 0; ///< more calls in 2 * maxSkew than nonces are remembered
};

namespace detail {
struct RpcRequest;
}

/** Signs and verifies. Thread-safe. Throws InvalidArgument without keys or with a short secret. */
class PeerAuth
{
public:
    PeerAuth(const PeerAuthSettings &settings, Clock &clock);
    ~PeerAuth();

    /**
     * Replaces the keys. To rotate: everywhere {old, new}; then everywhere {new, old}; then everywhere {new}. Each step
     * must have reached every process before the next.
     */
    void setKeys(std::vector<PeerKey> keys);

    PeerAuthCounters counters() const;

    // For PeerClient and PeerServer
    detail::RpcRequest sign(std::string_view target, std::string_view method, std::string_view body) const;
    std::string verify(std::string_view self, std::string_view method, const detail::RpcRequest &request);
    std::string signReply(const detail::RpcRequest &request, int code, std::string_view body) const;
    bool verifyReply(const detail::RpcRequest &request, int code, std::string_view body, std::string_view mac) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

// ---------------------------------------------------------------------------------------------------------------------
// PeerServer
// ---------------------------------------------------------------------------------------------------------------------

struct PeerCounters
{
    std::atomic<std::uint64_t> calls = 0;    ///< server: dispatched to a handler; client: tried
    std::atomic<std::uint64_t> failures = 0; ///< server: refused or thrown; client: any error
    std::atomic<std::uint64_t> bytesIn = 0;  ///< HTTP bodies; headers add about 150 bytes a message
    std::atomic<std::uint64_t> bytesOut = 0;
};

struct PeerServerSettings
{
    std::string listen = "127.0.0.1:0"; ///< "ip:port"; port 0 takes a free one
    std::string advertised;             ///< the address that peers call; empty: the one listened on
    int threads = 2;                    ///< of the HTTP server; a handler that blocks holds one of them
    std::size_t maxBodyBytes = 4'000'000;
};

/** Listens from construction to destruction; the destructor waits for running handlers. */
class PeerServer
{
public:
    PeerServer(PeerAuth &auth, const PeerRouter &router, const PeerServerSettings &settings);
    ~PeerServer();

    std::string address() const; ///< "ip:port" for peers
    const PeerCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

// ---------------------------------------------------------------------------------------------------------------------
// PeerClient
// ---------------------------------------------------------------------------------------------------------------------

/** Keeps connections for reuse; after any error it drops every idle one to that address, as they may be silent too. */
class PeerClient final : public PeerTransport
{
public:
    explicit PeerClient(PeerAuth &auth);
    ~PeerClient() override;

    std::string
    call(std::string_view address, std::string_view method, std::string_view json, Duration timeout) override;
    const PeerCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace QuetzalRock
