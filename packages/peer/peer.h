/**
 * Remote procedure calls between the processes of one installation: JSON-RPC 2.0 over HTTP, signed with a shared key.
 *
 * Index of this file
 *   PeerTransport   interface through which callers call a peer's address
 *   PeerRouter      maps method names to the handlers of this process
 *   PeerAuth        signs and verifies calls; accepts several shared keys during a key rotation
 *   PeerServer      HTTP server that dispatches calls to a PeerRouter
 *   PeerClient      PeerTransport over HTTP
 *   PeerCounters    traffic counters, exported as metrics
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
 *   Unavailable      the call was not delivered: no byte of it was sent
 *   OutcomeUnknown   the handler may have run (timeout, lost connection, refusal as a replay, wrongly signed reply)
 *   NotFound         the peer has no handler for the method (or the handler threw it)
 *   Error            Unauthenticated: refused before any handler ran; any other code: as thrown by the handler
 *
 * Each call carries the sender's name, the address called, the wall time, a nonce and the id of the key that signed it.
 * The server refuses a call if the key is unknown, the signature is wrong, the address is not its own, the time differs
 * from its clock by more than PeerAuthSettings::maxSkew, or the nonce was seen before. A call therefore runs at most
 * once, even if libcurl sends it again on a new connection. Calls are signed but not encrypted.
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

/** Interface for calling peers. Thread-safe. */
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;

    /** Calls @p method at @p address ("ip:port") and returns the reply's JSON. Errors: see the top of this file. */
    virtual std::string call(std::string_view address, std::string_view method, std::string_view json, Duration timeout)
        = 0;
};

/** A verified call, as passed to its handler. */
struct PeerCall
{
    std::string_view sender; ///< authenticated name of the calling member
    std::string_view method;
    std::string_view body; ///< JSON
};

/** Runs on a server thread: must return quickly and queue longer work elsewhere. A thrown Error reaches the caller. */
using PeerHandler = std::function<std::string(const PeerCall &call)>;

class PeerRouter
{
public:
    void on(std::string method, PeerHandler handler); ///< call before constructing a PeerServer; not thread-safe
    std::string dispatch(const PeerCall &call) const; ///< throws NotFound for an unknown method
    std::vector<std::string> methods() const;

private:
    std::map<std::string, PeerHandler, std::less<>> m_handlers;
};

// ---------------------------------------------------------------------------------------------------------------------
// PeerAuth
// ---------------------------------------------------------------------------------------------------------------------

struct PeerKey
{
    std::string id;     ///< sent with each call, selects the key for verification
    std::string secret; ///< at least MinSecretBytes long
};

constexpr std::size_t MinSecretBytes = 16;

struct PeerAuthSettings
{
    std::string self;                            ///< name of this member, as in its registration
    std::vector<PeerKey> keys;                   ///< the first one signs, all are accepted; rotation: see setKeys()
    Duration maxSkew = std::chrono::seconds(30); ///< accepted difference of wall clocks; entry VMs need NTP
    std::size_t maxNonces = 200'000; ///< kept for at least 2 * maxSkew (40 MB at most); calls beyond it are refused
};

struct PeerAuthCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t unknownKey = 0;
    std::uint64_t wrongSignature = 0;
    std::uint64_t stale = 0;       ///< sent more than maxSkew before or after the verifier's wall time
    std::uint64_t repeated = 0;    ///< nonce seen before
    std::uint64_t wrongTarget = 0; ///< signed for another address
    std::uint64_t overloaded = 0;  ///< refused because maxNonces nonces are remembered already
};

namespace detail {
struct RpcRequest;
}

/** Signs and verifies calls. Thread-safe. Throws InvalidArgument if there are no keys or a secret is too short. */
class PeerAuth
{
public:
    PeerAuth(const PeerAuthSettings &settings, Clock &clock);
    ~PeerAuth();

    /**
     * Replaces the keys. To rotate without refused calls, set {old, new} on all processes, then {new, old}, then {new}.
     * Each step must have reached every process before the next one starts.
     */
    void setKeys(std::vector<PeerKey> keys);

    PeerAuthCounters counters() const;

    // For PeerClient and PeerServer. verify() returns why it refuses the call, or an empty string if the call is valid.
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
    std::atomic<std::uint64_t> calls = 0;    ///< server: calls dispatched to a handler; client: calls attempted
    std::atomic<std::uint64_t> failures = 0; ///< server: calls refused or ended by an exception; client: any error
    std::atomic<std::uint64_t> bytesIn = 0;  ///< bodies only; HTTP headers add about 150 bytes per message
    std::atomic<std::uint64_t> bytesOut = 0;
};

struct PeerServerSettings
{
    std::string listen = "127.0.0.1:0"; ///< "ip:port"; port 0 selects a free port
    std::string advertised;             ///< address that peers call; empty: the listen address
    int threads = 2;                    ///< HTTP server threads; a blocking handler occupies one
    std::size_t maxBodyBytes = 4'000'000;
};

/** Listens from construction to destruction. The destructor waits for running handlers. */
class PeerServer
{
public:
    PeerServer(PeerAuth &auth, const PeerRouter &router, const PeerServerSettings &settings);
    ~PeerServer();

    std::string address() const; ///< "ip:port" that peers call
    const PeerCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

// ---------------------------------------------------------------------------------------------------------------------
// PeerClient
// ---------------------------------------------------------------------------------------------------------------------

/** Reuses connections. A failed call closes all idle connections to its address, because they may be dead as well. */
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
