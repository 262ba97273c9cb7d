#include <peer/jsonrpc.h>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <curl/curl.h>

namespace QuetzalRock {
namespace detail {

namespace {

constexpr int RefusedCode = -32000;       ///< JSON-RPC error code of a call refused before any handler ran
constexpr long ConnectTimeoutDivisor = 2; ///< connect timeout = call timeout / this
constexpr std::size_t MaxReplyBytes = 8000000;

/** Result of the HTTP exchange of the last call. */
struct HttpExchange
{
    CURLcode code = CURLE_OK;
    bool mayHaveBeenSent = false; ///< at least one byte of the request may have been sent
};

std::size_t appendReply(char *data, std::size_t size, std::size_t count, void *user)
{
    std::string *reply = static_cast<std::string *>(user);
    const std::size_t n = size * count;
    if (reply->size() + n > MaxReplyBytes) {
        return 0;
    }
    reply->append(data, n);
    return n;
}

/** Posts calls with libcurl. libjson-rpc-cpp's connector does not tell a refused connection from a lost reply. */
class Connector : public jsonrpc::IClientConnector
{
public:
    explicit Connector(const std::string &url)
        : m_curl(curl_easy_init())
        , m_headers(nullptr)
    {
        m_headers = curl_slist_append(m_headers, "Content-Type: application/json");
        m_headers = curl_slist_append(m_headers, "Accept:");
        m_headers = curl_slist_append(m_headers, "Expect:");
        curl_easy_setopt(m_curl, CURLOPT_URL, url.c_str());
        curl_easy_setopt(m_curl, CURLOPT_HTTPHEADER, m_headers);
        curl_easy_setopt(m_curl, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_curl, CURLOPT_PROXY, "");
        curl_easy_setopt(m_curl, CURLOPT_WRITEFUNCTION, appendReply);
    }

    ~Connector() override
    {
        curl_slist_free_all(m_headers);
        curl_easy_cleanup(m_curl);
    }

    Connector(const Connector &) = delete;
    Connector &operator=(const Connector &) = delete;

    void setTimeout(long milliseconds)
    {
        curl_easy_setopt(m_curl, CURLOPT_TIMEOUT_MS, milliseconds);
        curl_easy_setopt(m_curl, CURLOPT_CONNECTTIMEOUT_MS, milliseconds / ConnectTimeoutDivisor + 1);
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        result.clear();
        curl_easy_setopt(m_curl, CURLOPT_POSTFIELDS, message.c_str());
        curl_easy_setopt(m_curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(message.size()));
        curl_easy_setopt(m_curl, CURLOPT_WRITEDATA, &result);
        m_exchange.code = curl_easy_perform(m_curl);
        m_exchange.mayHaveBeenSent = mayHaveBeenSent();
        if (m_exchange.code != CURLE_OK) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                            curl_easy_strerror(m_exchange.code));
        }
    }

    const HttpExchange &exchange() const
    {
        return m_exchange;
    }

private:
    /** libcurl sets the pre-transfer time once the connection is established, before it sends the request. */
    bool mayHaveBeenSent() const
    {
        if (m_exchange.code == CURLE_COULDNT_CONNECT) {
            return false;
        }
        long requestBytes = 0;
        curl_off_t pretransfer = 0;
        curl_easy_getinfo(m_curl, CURLINFO_REQUEST_SIZE, &requestBytes);
        curl_easy_getinfo(m_curl, CURLINFO_PRETRANSFER_TIME_T, &pretransfer);
        return requestBytes > 0 || pretransfer > 0;
    }

    CURL *m_curl;
    curl_slist *m_headers;
    HttpExchange m_exchange;
};

Json::Value toJson(const RpcRequest &request)
{
    Json::Value params;
    params["from"] = request.sender;
    params["to"] = request.target;
    params["key"] = request.keyId;
    params["time"] = static_cast<Json::Int64>(request.timeMs);
    params["nonce"] = request.nonce;
    params["body"] = request.body;
    params["mac"] = request.mac;
    return params;
}

std::string stringField(const Json::Value &object, const char *name)
{
    const Json::Value &it = object[name];
    return it.isString() ? it.asString() : std::string();
}

RpcRequest parseRequest(const Json::Value &params)
{
    RpcRequest request;
    if (!params.isObject()) {
        return request;
    }
    request.sender = stringField(params, "from");
    request.target = stringField(params, "to");
    request.keyId = stringField(params, "key");
    request.timeMs = params["time"].isInt64() ? params["time"].asInt64() : 0;
    request.nonce = stringField(params, "nonce");
    request.body = stringField(params, "body");
    request.mac = stringField(params, "mac");
    return request;
}

RpcReply parseReply(const Json::Value &result)
{
    RpcReply reply;
    if (!result.isObject() || !result["code"].isInt()) {
        reply.failure = RpcFailure::MaybeDelivered;
        reply.message = "the reply is not an object with a code";
        return reply;
    }
    reply.code = result["code"].asInt();
    reply.body = stringField(result, "body");
    reply.mac = stringField(result, "mac");
    return reply;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// RpcDispatcher
// ---------------------------------------------------------------------------------------------------------------------

class RpcDispatcher::Private : public jsonrpc::IProcedureInvokationHandler
{
public:
    explicit Private(Handler it)
        : handler(std::move(it))
        , protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        const RpcReply reply = handler(procedure.GetProcedureName(), parseRequest(input));
        if (reply.failure != RpcFailure::None) {
            throw jsonrpc::JsonRpcException(RefusedCode, reply.message);
        }
        output["code"] = reply.code;
        output["body"] = reply.body;
        output["mac"] = reply.mac;
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override
    {
    }

    Handler handler;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

RpcDispatcher::RpcDispatcher(Handler handler)
    : m_d(new Private(std::move(handler)))
{
}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::addMethod(const std::string &method)
{
    m_d->protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
}

std::string RpcDispatcher::dispatch(const std::string &posted)
{
    std::string answer;
    m_d->protocol->HandleRequest(posted, answer);
    return answer;
}

// ---------------------------------------------------------------------------------------------------------------------
// RpcChannel
// ---------------------------------------------------------------------------------------------------------------------

class RpcChannel::Private
{
public:
    explicit Private(const std::string &url)
        : connector(url)
        , client(connector)
    {
    }

    Connector connector;
    jsonrpc::Client client;
};

RpcChannel::RpcChannel(const std::string &url)
    : m_d(new Private(url))
{
}

RpcChannel::~RpcChannel() = default;

RpcReply RpcChannel::call(const std::string &method, const RpcRequest &request, long timeoutMs)
{
    m_d->connector.setTimeout(timeoutMs);
    try {
        return parseReply(m_d->client.CallMethod(method, toJson(request)));
    } catch (const jsonrpc::JsonRpcException &ec) {
        RpcReply reply;
        reply.message = ec.GetMessage();
        if (m_d->connector.exchange().code != CURLE_OK) {
            reply.failure
                = m_d->connector.exchange().mayHaveBeenSent ? RpcFailure::MaybeDelivered : RpcFailure::NotDelivered;
        } else if (ec.GetCode() == RefusedCode) {
            reply.failure = RpcFailure::Refused;
        } else if (ec.GetCode() == jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND) {
            reply.failure = RpcFailure::NoSuchMethod;
        } else {
            reply.failure = RpcFailure::MaybeDelivered;
        }
        return reply;
    }
}

} // namespace detail
} // namespace QuetzalRock
