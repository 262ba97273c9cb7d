/**
 * Wrapper of libjson-rpc-cpp (JSON-RPC 2.0). Internal to this package: use peer.h.
 *
 * The headers of libjson-rpc-cpp do not compile with standards later than C++14, and the rest of the project is C++20.
 * This header is therefore valid C++14 and exposes no type of the library.
 *
 * Index of this file
 *   RpcRequest, RpcReply   one signed call and its reply
 *   RpcDispatcher          server side: turns the body of a POST request into the body of the response
 *   RpcChannel             client side: one persistent HTTP connection
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
    std::string sender;      ///< name of the calling member
    std::string target;      ///< address that was called; other servers refuse the call
    std::string keyId;       ///< id of the shared key that signed it
    std::int64_t timeMs = 0; ///< wall time of the sender
    std::string nonce;
    std::string body; ///< JSON
    std::string mac;  ///< signature of all other fields and the method
};

enum class RpcFailure {
    None,
    NotDelivered,   ///< no byte of the call was sent
    MaybeDelivered, ///< the call may have arrived and run
    Refused,        ///< the server refused the call before any handler ran
    NoSuchMethod,   ///< the server has no handler for the method
};

struct RpcReply
{
    RpcFailure failure = RpcFailure::None;
    std::string message; ///< reason of the failure
    int code = 0;        ///< 0: the handler returned; otherwise 1 + ErrorCode of the error it threw
    std::string body;    ///< JSON returned by the handler, or its error as JSON
    std::string mac;     ///< signature of code, body and the request's nonce
};

class RpcDispatcher
{
public:
    /** Handles one call. A reply whose failure is not None is returned as a JSON-RPC error. */
    using Handler = std::function<RpcReply(const std::string &method, const RpcRequest &request)>;

    explicit RpcDispatcher(Handler handler);
    ~RpcDispatcher();
    RpcDispatcher(const RpcDispatcher &) = delete;
    RpcDispatcher &operator=(const RpcDispatcher &) = delete;

    void addMethod(const std::string &method); ///< call before the first dispatch(); unknown methods are refused
    std::string dispatch(const std::string &posted);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

/** Not thread-safe: one call at a time. Destroy it after any failure, because its connection may be dead. */
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
