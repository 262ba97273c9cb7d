#include <peer/jsonrpc.h>
#include <peer/peer.h>
#include <peer/peererrors.h>

#include <pistache/endpoint.h>

namespace QuetzalRock {

namespace {

constexpr std::size_t MaxHeaderBytes = 16'384;

} // namespace

class PeerServer::Private
{
public:
    Private(PeerAuth &authIn, const PeerRouter &routerIn)
        : auth(authIn)
        , router(routerIn)
        , dispatcher([this](const std::string &method, const detail::RpcRequest &request) {
            return handleCall(method, request);
        })
    {
        for (const std::string &it : router.methods()) {
            dispatcher.addMethod(it);
        }
    }

    detail::RpcReply handleCall(const std::string &method, const detail::RpcRequest &request)
    {
        detail::RpcReply reply;
        reply.message = auth.verify(address, method, request);
        if (!reply.message.empty()) {
            ++counters.failures;
            reply.failure = detail::RpcFailure::Refused;
            return reply;
        }
        ++counters.calls;
        dispatchToHandler(method, request, reply);
        reply.mac = auth.signReply(request, reply.code, reply.body);
        return reply;
    }

    void dispatchToHandler(const std::string &method, const detail::RpcRequest &request, detail::RpcReply &reply)
    {
        try {
            reply.body = router.dispatch({request.sender, method, request.body});
        } catch (const Error &ec) {
            ++counters.failures;
            reply.code = detail::replyCode(ec.code());
            reply.body = detail::encodeError(ec);
        } catch (const std::exception &ec) {
            // The handler may have taken effect before it threw.
            ++counters.failures;
            const OutcomeUnknown unknown(ec.what());
            reply.code = detail::replyCode(unknown.code());
            reply.body = detail::encodeError(unknown);
        }
    }

    std::string handlePost(const std::string &posted)
    {
        counters.bytesIn += posted.size();
        std::string out = dispatcher.dispatch(posted);
        counters.bytesOut += out.size();
        return out;
    }

    PeerAuth &auth;
    const PeerRouter &router;
    detail::RpcDispatcher dispatcher;
    PeerCounters counters;
    std::string address;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
};

namespace {

/** Passes the body of each POST to /rpc, one JSON-RPC request, to the server. */
template<typename Server>
class RpcHttpHandler final : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(RpcHttpHandler)

    explicit RpcHttpHandler(Server *server)
        : m_server(server)
    {
    }

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter response) override
    {
        if (request.method() != Pistache::Http::Method::Post || request.resource() != "/rpc") {
            response.send(Pistache::Http::Code::Not_Found);
            return;
        }
        response.send(Pistache::Http::Code::Ok, m_server->handlePost(request.body()), MIME(Application, Json));
    }

private:
    Server *m_server;
};

} // namespace

PeerServer::PeerServer(PeerAuth &auth, const PeerRouter &router, const PeerServerSettings &settings)
    : m_d(std::make_unique<Private>(auth, router))
{
    namespace Http = Pistache::Http;
    const Pistache::Address listen(settings.listen);
    m_d->address = settings.advertised.empty() ? settings.listen : settings.advertised; // needed by the first call
    m_d->endpoint = std::make_unique<Http::Endpoint>(listen);
    m_d->endpoint->init(Http::Endpoint::options()
                            .threads(settings.threads)
                            .flags(Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr)
                                   | Pistache::Tcp::Options::NoDelay)
                            .maxRequestSize(settings.maxBodyBytes + MaxHeaderBytes)
                            .maxResponseSize(settings.maxBodyBytes + MaxHeaderBytes));
    m_d->endpoint->setHandler(std::make_shared<RpcHttpHandler<Private>>(m_d.get()));
    m_d->endpoint->serveThreaded(); // also binds the port
    if (settings.advertised.empty() && static_cast<int>(listen.port()) == 0) {
        m_d->address = listen.host() + ":" + std::to_string(static_cast<int>(m_d->endpoint->getPort()));
    }
}

PeerServer::~PeerServer()
{
    m_d->endpoint->shutdown();
}

std::string PeerServer::address() const
{
    return m_d->address;
}

const PeerCounters &PeerServer::counters() const
{
    return m_d->counters;
}

} // namespace QuetzalRock
