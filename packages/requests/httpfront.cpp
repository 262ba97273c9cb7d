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

constexpr std::size_t MaxQueuedPerConnection = 16; ///< requests that a caller may send before earlier ones are answered
constexpr Duration StaleCheckInterval = 1s;
constexpr Duration OverloadRetryAfter = 1s;
constexpr Duration NoTimeout = 24h * 365;
constexpr const char *PeerDataKey = "caller";

using detail::AnswerWriter;
using detail::CallerConnection;
using detail::ConnectionPtr;

/** A completely received request. */
struct ParsedRequest
{
    CallerRequest request;
    bool keepAlive = true;                     ///< the connection stays open after the answer
    std::optional<CallerResponse> rejection{}; ///< answer to an invalid request; it is not submitted
};

/** Data attached to a Pistache peer, one for each connection. */
struct PeerData
{
    ConnectionPtr connection = std::make_shared<CallerConnection>();
    std::mutex mutex;                 ///< guards queued
    std::deque<ParsedRequest> queued; ///< requests behind the one in progress
};

using PeerPtr = std::shared_ptr<PeerData>;

/** State shared with callbacks; outlives the HttpFront while a request is in progress. */
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
    std::atomic<bool> isClosingConnections = false;
    std::atomic<std::uint64_t> inProgress = 0;
    std::atomic<std::uint64_t> refusedConnections = 0;
    std::atomic<std::uint64_t> slowReadersClosed = 0;
    std::atomic<std::uint64_t> disconnectedCallers = 0;
};

using StatePtr = std::shared_ptr<FrontState>;

void processRequest(const StatePtr &state, const PeerPtr &peer, ParsedRequest parsed);

/** Takes the next queued request; if there is none, marks the connection as idle. */
std::optional<ParsedRequest> takeNextRequest(PeerData &peer)
{
    std::lock_guard guard(peer.mutex);
    if (peer.queued.empty()) {
        std::lock_guard connectionGuard(peer.connection->mutex);
        peer.connection->isBusy = false;
        return std::nullopt;
    }
    std::optional<ParsedRequest> next(std::move(peer.queued.front()));
    peer.queued.pop_front();
    return next;
}

void sendAnswer(
    const StatePtr &state, const PeerPtr &peer, const CallerResponse &response, bool hasBody, bool keepAlive)
{
    {
        std::lock_guard guard(peer->connection->mutex);
        peer->connection->isClosedAfterAnswer = !keepAlive;
        state->disconnectedCallers += peer->connection->fd < 0 ? 1 : 0;
    }
    state->writer.write(peer->connection, detail::toHttp(response, hasBody, keepAlive), [state, peer] {
        if (auto next = takeNextRequest(*peer)) {
            processRequest(state, peer, std::move(*next));
        }
        --state->inProgress;
    });
}

void processRequest(const StatePtr &state, const PeerPtr &peer, ParsedRequest parsed)
{
    ++state->inProgress;
    const bool hasBody = parsed.request.method != "HEAD";
    const bool keepAlive = parsed.keepAlive && !state->isClosingConnections;
    const std::string path = parsed.request.target.substr(0, parsed.request.target.find('?'));
    if (parsed.rejection) {
        sendAnswer(state, peer, *parsed.rejection, hasBody, keepAlive);
        return;
    }
    const auto route = state->routes.find({parsed.request.method, path});
    if (route != state->routes.end()) {
        sendAnswer(state, peer, route->second(parsed.request), hasBody, keepAlive);
        return;
    }
    if (state->writer.unsentBytes() > state->settings.maxUnsentBytes) {
        sendAnswer(state,
                   peer,
                   notRunResponse("too many answers are waiting to be read", OverloadRetryAfter),
                   hasBody,
                   keepAlive);
        return;
    }
    state->sink.submit(std::move(parsed.request), [state, peer, hasBody, keepAlive](const CallerResponse &response) {
        sendAnswer(state, peer, response, hasBody, keepAlive);
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
        peer->putData(PeerDataKey, data);
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
            data->queued.clear();
        }
        m_state->writer.endConnection(data->connection);
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
        ParsedRequest parsed{toCallerRequest(request), wantsKeepAlive(request)};
        if (const auto rejection = findRejection(request, parsed.request)) {
            parsed.rejection = *rejection;
        }
        if (queueIfBusy(*data, parsed)) {
            return;
        }
        processRequest(m_state, data, std::move(parsed));
    }

private:
    static PeerPtr dataOf(const Pistache::Tcp::Peer &peer)
    {
        return std::static_pointer_cast<PeerData>(peer.tryGetData(PeerDataKey));
    }

    /** Queues @p parsed and returns true if a request of the connection is in progress. */
    bool queueIfBusy(PeerData &data, ParsedRequest &parsed) const
    {
        std::lock_guard guard(data.mutex);
        std::lock_guard connectionGuard(data.connection->mutex);
        data.connection->activeAt = m_state->clock.now();
        if (!data.connection->isBusy) {
            data.connection->isBusy = true;
            return false;
        }
        if (data.queued.size() < MaxQueuedPerConnection) {
            data.queued.push_back(std::move(parsed));
        } else if (data.connection->fd >= 0) {
            ::shutdown(data.connection->fd, SHUT_RDWR); // the caller sends requests without reading answers
        }
        return true;
    }

    static bool wantsKeepAlive(const Pistache::Http::Request &request)
    {
        const auto raw = request.headers().tryGetRaw("Connection");
        const bool isDefault = request.version() == Pistache::Http::Version::Http11;
        return raw ? !equalsIgnoringCase(raw->value(), "close") : isDefault;
    }

    static CallerRequest toCallerRequest(const Pistache::Http::Request &request)
    {
        CallerRequest it;
        it.method = Pistache::Http::methodString(request.method());
        it.target = request.resource() + request.query().as_str();
        it.body = request.body();
        for (const auto &[name, raw] : request.headers().rawList()) {
            const std::string rawName = raw.name();
            if (equalsIgnoringCase(rawName, IdempotencyKeyHeader)) {
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
        const bool isValid = ec == std::errc() && end == text.data() + text.size() && value > 0;
        return isValid ? std::min<Duration>(std::chrono::milliseconds(std::min<std::int64_t>(value, 86'400'000)), 24h)
                       : Duration{};
    }

    std::optional<CallerResponse> findRejection(const Pistache::Http::Request &request, const CallerRequest &it) const
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
            return rejectedResponse(400, "the request has both Transfer-Encoding and Content-Length");
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

    /** Closes connections that are idle, receive their request too slowly or do not read their answer. */
    void closeStaleConnections() const
    {
        const TimePoint now = state->clock.now();
        std::lock_guard guard(state->mutex);
        for (const ConnectionPtr &it : state->connections) {
            std::lock_guard connectionGuard(it->mutex);
            const bool isSlow = it->pendingWriteId != 0 && it->writeStartedAt + state->settings.slowReaderTimeout < now;
            const bool isIdle = !it->isBusy && it->activeAt + state->settings.callerIdleTimeout < now;
            state->slowReadersClosed += isSlow ? 1 : 0;
            if ((isSlow || isIdle) && it->fd >= 0) {
                ::shutdown(it->fd, SHUT_RDWR);
            }
        }
    }

    void closeStaleConnectionsPeriodically()
    {
        std::unique_lock lock(staleCheckMutex);
        while (!isStaleCheckStopping) {
            state->clock.waitUntil(lock, staleCheckWake, state->clock.now() + StaleCheckInterval);
            lock.unlock();
            closeStaleConnections();
            lock.lock();
        }
    }

    StatePtr state;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
    std::thread staleConnectionThread; ///< duty: closing stale connections
    std::mutex staleCheckMutex;
    std::condition_variable staleCheckWake;
    bool isStaleCheckStopping = false; ///< guarded by staleCheckMutex
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
    assert(!m_impl->endpoint && "add routes before start()");
    m_impl->state->routes[{std::string(method), std::string(path)}] = std::move(route);
}

void HttpFront::start()
{
    const RequestSettings &settings = m_impl->state->settings;
    const Pistache::Address address(settings.listenAddress, Pistache::Port(settings.listenPort));
    auto endpoint = std::make_unique<Pistache::Http::Endpoint>(address);
    auto options = Pistache::Http::Endpoint::options();
    options.threads(settings.frontThreads).threadsName("front");
    options.flags(Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr)
                  | Pistache::Tcp::Options::NoDelay);
    options.maxRequestSize(settings.maxHeaderBytes + settings.maxBodyBytes);
    options.maxResponseSize(settings.maxAnswerBytes + settings.maxHeaderBytes);
    // Pistache's timeouts would also end connections whose request is in progress, with 408. closeStaleConnections()
    // replaces them.
    options.headerTimeout(NoTimeout).bodyTimeout(NoTimeout).keepaliveTimeout(NoTimeout);
    endpoint->init(options);
    endpoint->setHandler(std::make_shared<FrontHandler>(m_impl->state));
    endpoint->serveThreaded();
    m_impl->endpoint = std::move(endpoint);
    m_impl->staleConnectionThread = std::thread([this] { m_impl->closeStaleConnectionsPeriodically(); });
}

std::uint16_t HttpFront::port() const
{
    return static_cast<std::uint16_t>(m_impl->endpoint->getPort());
}

void HttpFront::closeAfterAnswers()
{
    m_impl->state->isClosingConnections = true;
}

void HttpFront::stop()
{
    if (!m_impl->endpoint) {
        return;
    }
    {
        std::lock_guard guard(m_impl->staleCheckMutex);
        m_impl->isStaleCheckStopping = true;
    }
    m_impl->staleCheckWake.notify_all();
    m_impl->staleConnectionThread.join();
    m_impl->endpoint->shutdown();
    m_impl->endpoint.reset();
    std::set<ConnectionPtr> connections;
    {
        std::lock_guard guard(m_impl->state->mutex);
        connections.swap(m_impl->state->connections);
    }
    for (const ConnectionPtr &it : connections) {
        m_impl->state->writer.endConnection(it);
    }
    m_impl->state->writer.stop(); // here, because the state's last owner may be the writer's thread
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
    it.slowReadersClosed = state.slowReadersClosed;
    it.disconnectedCallers = state.disconnectedCallers;
    return it;
}

} // namespace QuetzalRock
