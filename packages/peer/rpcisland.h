/**
 * JSON-RPC 2.0 behind plain types. Internal to this package: use peer.h.
 *
 * The library's headers need C++14, the rest of the project is C++20, so this header is plain C++14 and shows no type of
 * the library.
 *
 * Index of this file
 *   RpcRequest, RpcReply   one signed call and its answer
 *   RpcDispatcher          server side: a posted body in, the body to answer with out
 *   RpcChannel             client side: one kept HTTP connection
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace QuetzalRock {
namespace detail {

struct RpcRequest
{
    std::string sender; ///< name of the calling member
    std::string target; ///< address that was called, so that a copy of the call is worthless elsewhere
    std::string keyId;  ///< which shared key signed it
    std::int64_t timeMs = 0;
    std::string nonce;
    std::string body;
    std::string mac;
};

enum class RpcFailure {
    None,
    NotDelivered,   ///< no byte of the call left this process
    MaybeDelivered, ///< it may have arrived and run
    Refused,        ///< the other side refused it before any handler ran
    NoSuchMethod,   ///< the other side has no handler for it
};

struct RpcReply
{
    RpcFailure failure = RpcFailure::None;
    std::string message; ///< with a failure: why
    int code = 0;        ///< 0: the handler returned; otherwise 1 + the ErrorCode that it threw
    std::string body;    ///< the handler's JSON, or its error as JSON
    std::string mac;
};

class RpcDispatcher
{
public:
    /** Answers one call; a reply with failure Refused goes back as a JSON-RPC error. */
    using Handler = std::function<RpcReply(const std::string &method, const RpcRequest &request)>;

    explicit RpcDispatcher(Handler handler);
    ~RpcDispatcher();
    RpcDispatcher(const RpcDispatcher &) = delete;
    RpcDispatcher &operator=(const RpcDispatcher &) = delete;

    void addMethod(const std::string &method); ///< before the first dispatch(); other methods are refused
    std::string dispatch(const std::string &posted);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

/** Not thread-safe: one call at a time. Throw it away after any failure, its connection may have gone silent. */
class RpcChannel
{
public:
    explicit RpcChannel(const std::string &url);
    ~RpcChannel();
    RpcChannel(const RpcChannel &) = delete;
    RpcChannel &operator=(const RpcChannel &) = delete;

    RpcReply call(const std::string &method, const RpcRequest &request, long timeoutMs);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace detail
} // namespace QuetzalRock
