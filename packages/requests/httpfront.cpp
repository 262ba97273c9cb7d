#include <requests/callerconnection.h>
#include <requests/httpfront.h>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <charconv>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <fcntl.h>
#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <sys/socket.h>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxWaitingPerConnection = 16; ///< requests sent ahead of their answers
constexpr Duration SweepInterval = 1s;
constexpr Duration OverloadRetryAfter = 1s;
constexpr Duration NoTimeout = 24h * 365;
constexpr const char *ConnectionData = "caller";

using detail::AnswerWriter;
using detail::CallerConnection;
using detail::ConnectionPtr;

/** A request that has been read whole. */
struct Arrival
{
    CallerRequest request;
    bool keepAlive = true;                 ///< the caller did not ask for the end of the connection
    std::optional<CallerResponse> fault{}; ///< it is refused for what it is
};

/** What Pistache keeps for a connection. */
struct PeerData
{
    ConnectionPtr connection = std::make_shared<CallerConnection>();
    std::mutex mutex;            ///< guards waiting
    std::deque<Arrival> waiting; ///< requests sent ahead of the answers before them
};

using PeerPtr = std::shared_ptr<PeerData>;

/** Outlives the front where a request is still in work. */
struct FrontState
{
    FrontState(const RequestSettings &frontSettings, Clock &frontClock, RequestSink &requestSink)
        : settings(frontSettings)
        , clock(frontClock)
        , sink(requestSink)
        , writer(frontClock)
    {
    }

    const RequestSettings &settings;
    Clock &clock;
    RequestSink &sink;
    std::map<std::pair<std::string, std::string>, HttpFront::Route> routes; ///< by method and path
    AnswerWriter writer;

    std::mutex mutex; ///< guards connections
    std::set<ConnectionPtr> connections;
    std::atomic<bool> endsConnections = false;
    std::atomic<std::uint64_t> inProgress = 0;
    std::atomic<std::uint64_t> refusedConnections = 0;
    std::atomic<std::uint64_t> slowReaders = 0;
    std::atomic<std::uint64_t> callersGone = 0;
};

using StatePtr = std::shared_ptr<FrontState>;

void begin(const StatePtr &state, const PeerPtr &peer, Arrival arrival);

/** The next request of this connection, where one waits. */
std::optional<Arrival> takeNext(PeerData &peer)
{
    std::lock_guard guard(peer.mutex);
    if (peer.waiting.empty()) {
        std::lock_guard connectionGuard(peer.connection->mutex);
        peer.connection->busy = false;
        return std::nullopt;
    }
    std::optional<Arrival> next(std::move(peer.waiting.front()));
    peer.waiting.pop_front();
    return next;
}

void answer(const StatePtr &state, const PeerPtr &peer, const CallerResponse &response, bool hasBody, bool keepAlive)
{
    {
        std::lock_guard guard(peer->connection->mutex);
        peer->connection->closeAfter = !keepAlive;
        state->callersGone += peer->connection->fd < 0 ? 1 : 0;
    }
    state->writer.write(peer->connection, detail::toHttp(response, hasBody, keepAlive), [state, peer] {
        if (auto next = takeNext(*peer)) {
            begin(state, peer, std::move(*next));
        }
        --state->inProgress;
    });
}

void begin(const StatePtr &state, const PeerPtr &peer, Arrival arrival)
{
    ++state->inProgress;
    const bool hasBody = arrival.request.method != "HEAD";
    const bool keepAlive = arrival.keepAlive && !state->endsConnections;
    const std::string path = arrival.request.target.substr(0, arrival.request.target.find('?'));
    if (arrival.fault) {
        answer(state, peer, *arrival.fault, hasBody, keepAlive);
        return;
    }
    const auto route = state->routes.find({arrival.request.method, path});
    if (route != state->routes.end()) {
        answer(state, peer, route->second(arrival.request), hasBody, keepAlive);
        return;
    }
    if (state->writer.unsentBytes() > state->settings.maxUnsentBytes) {
        answer(state, peer, notRunResponse("answers wait for slow readers", OverloadRetryAfter), hasBody, keepAlive);
        return;
    }
    state->sink.submit(std::move(arrival.request), [state, peer, hasBody, keepAlive](const CallerResponse &response) {
        answer(state, peer, response, hasBody, keepAlive);
    });
}

class FrontHandler final : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(FrontHandler)

    explicit FrontHandler(StatePtr state)
        : m_state(std::move(state))
    {
    }

    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        peer->putData(ParserData, std::make_shared<Pistache::Http::RequestParser>(getMaxRequestSize()));
        const auto data = std::make_shared<PeerData>();
        data->connection->fd = ::fcntl(peer->fd(), F_DUPFD_CLOEXEC, 0);
        data->connection->activeAt = m_state->clock.now();
        peer->putData(ConnectionData, data);
        const int sendBuffer = m_state->settings.callerSendBuffer;
        ::setsockopt(peer->fd(), SOL_SOCKET, SO_SNDBUF, &sendBuffer, sizeof sendBuffer);
        std::lock_guard guard(m_state->mutex);
        m_state->connections.insert(data->connection);
        if (m_state->connections.size() > m_state->settings.maxCallerConnections) {
            ++m_state->refusedConnections;
            ::shutdown(peer->fd(), SHUT_RDWR);
        }
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        const PeerPtr data = dataOf(*peer);
        if (!data) {
            return;
        }
        {
            std::lock_guard guard(data->mutex);
            data->waiting.clear();
        }
        m_state->writer.end(data->connection);
        std::lock_guard guard(m_state->mutex);
        m_state->connections.erase(data->connection);
    }

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter writer) override
    {
        const auto peer = writer.getPeer();
        const PeerPtr data = peer ? dataOf(*peer) : nullptr;
        if (!data) {
            return;
        }
        Arrival arrival{translate(request), wantsKeepAlive(request)};
        if (const auto fault = findFault(request, arrival.request)) {
            arrival.fault = *fault;
        }
        if (mustWait(*data, arrival)) {
            return;
        }
        begin(m_state, data, std::move(arrival));
    }

private:
    static PeerPtr dataOf(const Pistache::Tcp::Peer &peer)
    {
        return std::static_pointer_cast<PeerData>(peer.tryGetData(ConnectionData));
    }

    /** Queues @p arrival behind the connection's request in work, if there is one. */
    bool mustWait(PeerData &data, Arrival &arrival) const
    {
        std::lock_guard guard(data.mutex);
        std::lock_guard connectionGuard(data.connection->mutex);
        data.connection->activeAt = m_state->clock.now();
        if (!data.connection->busy) {
            data.connection->busy = true;
            return false;
        }
        if (data.waiting.size() < MaxWaitingPerConnection) {
            data.waiting.push_back(std::move(arrival));
        } else if (data.connection->fd >= 0) {
            ::shutdown(data.connection->fd, SHUT_RDWR); // sends and sends, and reads no answer
        }
        return true;
    }

    static bool wantsKeepAlive(const Pistache::Http::Request &request)
    {
        const auto raw = request.headers().tryGetRaw("Connection");
        const bool isDefault = request.version() == Pistache::Http::Version::Http11;
        return raw ? !equalsIgnoringCase(raw->value(), "close") : isDefault;
    }

    static CallerRequest translate(const Pistache::Http::Request &request)
    {
        CallerRequest it;
        it.method = Pistache::Http::methodString(request.method());
        it.target = request.resource() + request.query().as_str();
        it.body = request.body();
        for (const auto &[name, raw] : request.headers().rawList()) {
            const std::string rawName = raw.name();
            if (equalsIgnoringCase(rawName, KeyHeader)) {
                it.idempotencyKey = raw.value();
            } else if (equalsIgnoringCase(rawName, TenantHeader)) {
                it.tenant = raw.value();
            } else if (equalsIgnoringCase(rawName, DeadlineHeader)) {
                it.timeout = parseMilliseconds(raw.value());
            }
            it.headers.push_back({rawName, raw.value()});
        }
        return it;
    }

    static Duration parseMilliseconds(const std::string &text)
    {
        std::int64_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool valid = ec == std::errc() && end == text.data() + text.size() && value > 0;
        return valid ? std::min<Duration>(std::chrono::milliseconds(std::min<std::int64_t>(value, 86'400'000)), 24h)
                     : Duration{};
    }

    std::optional<CallerResponse> findFault(const Pistache::Http::Request &request, const CallerRequest &it) const
    {
        std::size_t size = 0;
        for (const HeaderField &field : it.headers) {
            size += field.name.size() + field.value.size() + 4;
        }
        if (size + it.target.size() > m_state->settings.maxHeaderBytes) {
            return rejectedResponse(431, "the headers are too large");
        }
        if (it.body.size() > m_state->settings.maxBodyBytes) {
            return rejectedResponse(413, "the body is too large");
        }
        const auto &headers = request.headers();
        if (headers.tryGetRaw("Transfer-Encoding") && headers.tryGetRaw("Content-Length")) {
            return rejectedResponse(400, "both Transfer-Encoding and Content-Length");
        }
        return std::nullopt;
    }

    StatePtr m_state;
};

} // namespace

struct HttpFront::Impl
{
    Impl(const RequestSettings &settings, Clock &clock, RequestSink &sink)
        : state(std::make_shared<FrontState>(settings, clock, sink))
    {
    }

    /** Ends connections that are idle, whose request does not get any further, or that do not read their answer. */
    void endStaleConnections() const
    {
        const TimePoint now = state->clock.now();
        std::lock_guard guard(state->mutex);
        for (const ConnectionPtr &it : state->connections) {
            std::lock_guard connectionGuard(it->mutex);
            const bool isSlow = it->entry != 0 && it->unsentSince + state->settings.slowReaderTimeout < now;
            const bool isIdle = !it->busy && it->activeAt + state->settings.callerIdleTimeout < now;
            state->slowReaders += isSlow ? 1 : 0;
            if ((isSlow || isIdle) && it->fd >= 0) {
                ::shutdown(it->fd, SHUT_RDWR);
            }
        }
    }

    void sweep()
    {
        std::unique_lock lock(sweepMutex);
        while (!sweepEnded) {
            state->clock.waitUntil(lock, sweepWake, state->clock.now() + SweepInterval);
            lock.unlock();
            endStaleConnections();
            lock.lock();
        }
    }

    StatePtr state;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
    std::thread sweeper; ///< duty: callers that do not read
    std::mutex sweepMutex;
    std::condition_variable sweepWake;
    bool sweepEnded = false; ///< guarded by sweepMutex
};

HttpFront::HttpFront(const RequestSettings &settings, Clock &clock, RequestSink &sink)
    : m_impl(std::make_unique<Impl>(settings, clock, sink))
{
}

HttpFront::~HttpFront()
{
    stop();
}

void HttpFront::addRoute(std::string_view method, std::string_view path, Route route)
{
    assert(!m_impl->endpoint && "routes are added before start()");
    m_impl->state->routes[{std::string(method), std::string(path)}] = std::move(route);
}

void HttpFront::start()
{
    const RequestSettings &settings = m_impl->state->settings;
    const Pistache::Address address(settings.listenAddress, Pistache::Port(settings.listenPort));
    m_impl->endpoint = std::make_unique<Pistache::Http::Endpoint>(address);
    auto options = Pistache::Http::Endpoint::options();
    options.threads(settings.frontThreads).threadsName("front");
    options.flags(Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr)
                  | Pistache::Tcp::Options::NoDelay);
    options.maxRequestSize(settings.maxHeaderBytes + settings.maxBodyBytes);
    options.maxResponseSize(settings.maxAnswerBytes + settings.maxHeaderBytes);
    // The library's timeouts also end connections whose request is in work, by a 408: see endStaleConnections().
    options.headerTimeout(NoTimeout).bodyTimeout(NoTimeout).keepaliveTimeout(NoTimeout);
    m_impl->endpoint->init(options);
    m_impl->endpoint->setHandler(std::make_shared<FrontHandler>(m_impl->state));
    m_impl->endpoint->serveThreaded();
    m_impl->sweeper = std::thread([this] { m_impl->sweep(); });
}

std::uint16_t HttpFront::port() const
{
    return static_cast<std::uint16_t>(m_impl->endpoint->getPort());
}

void HttpFront::closeAfterAnswers()
{
    m_impl->state->endsConnections = true;
}

void HttpFront::stop()
{
    if (!m_impl->endpoint) {
        return;
    }
    {
        std::lock_guard guard(m_impl->sweepMutex);
        m_impl->sweepEnded = true;
    }
    m_impl->sweepWake.notify_all();
    m_impl->sweeper.join();
    m_impl->endpoint->shutdown();
    m_impl->endpoint.reset();
    std::set<ConnectionPtr> connections;
    {
        std::lock_guard guard(m_impl->state->mutex);
        connections.swap(m_impl->state->connections);
    }
    for (const ConnectionPtr &it : connections) {
        m_impl->state->writer.end(it);
    }
    m_impl->state->writer.stop(); // here, not on the thread that lets go of the state last
}

std::uint64_t HttpFront::unanswered() const
{
    return m_impl->state->inProgress;
}

FrontCounters HttpFront::counters() const
{
    FrontState &state = *m_impl->state;
    FrontCounters it;
    {
        std::lock_guard guard(state.mutex);
        it.connections = state.connections.size();
    }
    it.unsentBytes = state.writer.unsentBytes();
    it.inProgress = state.inProgress;
    it.refusedConnections = state.refusedConnections;
    it.slowReaders = state.slowReaders;
    it.callersGone = state.callersGone;
    return it;
}

} // namespace QuetzalRock
