#include <requests/httpfront.h>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <charconv>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <thread>

#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <sys/socket.h>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxWaitingPerConnection = 16; ///< requests sent ahead of their answers
constexpr Duration SweepInterval = 1s;
constexpr Duration OverloadRetryAfter = 1s;
constexpr const char *ConnectionData = "caller";

/** One caller's connection. */
struct CallerConnection
{
    struct Waiting
    {
        CallerRequest request;
        Pistache::Http::ResponseWriter writer;
        bool keepAlive = true; ///< the caller did not ask for the end of the connection
    };

    std::mutex mutex; ///< guards all below
    int fd = -1;      ///< -1 once the connection is gone: its number may belong to another caller then
    bool busy = false;
    std::deque<Waiting> waiting;
    std::size_t unsent = 0;
    TimePoint unsentSince;
};

using ConnectionPtr = std::shared_ptr<CallerConnection>;

/** Outlives the front where a request is still in work. */
struct FrontState
{
    FrontState(const RequestSettings &frontSettings, Clock &frontClock, RequestSink &requestSink)
        : settings(frontSettings)
        , clock(frontClock)
        , sink(requestSink)
    {
    }

    const RequestSettings &settings;
    Clock &clock;
    RequestSink &sink;
    std::map<std::pair<std::string, std::string>, HttpFront::Route> routes; ///< by method and path

    std::shared_mutex stopMutex; ///< shared while answering, so that the server outlives every answer on its way
    bool stopped = false;        ///< guarded by stopMutex

    std::mutex mutex; ///< guards connections
    std::set<ConnectionPtr> connections;
    std::atomic<std::uint64_t> unsentBytes = 0;
    std::atomic<std::uint64_t> inWork = 0;
    std::atomic<std::uint64_t> refusedConnections = 0;
    std::atomic<std::uint64_t> slowReaders = 0;
    std::atomic<std::uint64_t> callersGone = 0;
};

using StatePtr = std::shared_ptr<FrontState>;

/** A request from its arrival to its answer. */
struct Call
{
    StatePtr state;
    ConnectionPtr connection;
    Pistache::Http::ResponseWriter writer;
    bool keepAlive = true;
};

void markSent(const StatePtr &state, CallerConnection &connection)
{
    std::lock_guard guard(connection.mutex);
    state->unsentBytes -= connection.unsent;
    connection.unsent = 0;
}

/** A header of any name: the library writes only those that it has a class for. */
class FieldHeader final : public Pistache::Http::Header::Header
{
public:
    FieldHeader(std::string name, std::string value)
        : m_name(std::move(name))
        , m_value(std::move(value))
    {
    }

    const char *name() const override
    {
        return m_name.c_str();
    }

    void write(std::ostream &stream) const override
    {
        stream << m_value;
    }

    /** The library keeps one header of a name: further values are joined to it. */
    void join(std::string_view value)
    {
        m_value += ", ";
        m_value += value;
    }

#ifdef SAFE_HEADER_CAST
    std::uint64_t hash() const override
    {
        return 0;
    }
#endif

private:
    std::string m_name;
    std::string m_value;
};

void addHeaders(Pistache::Http::ResponseWriter &writer, const CallerResponse &response)
{
    std::vector<std::shared_ptr<FieldHeader>> added;
    for (const HeaderField &it : response.headers) {
        if (equalsIgnoringCase(it.name, "Set-Cookie")) {
            writer.cookies().add(Pistache::Http::Cookie::fromString(it.value));
            continue;
        }
        const auto same = std::find_if(added.begin(), added.end(), [&](const auto &header) {
            return equalsIgnoringCase(header->name(), it.name);
        });
        if (same != added.end()) {
            (*same)->join(it.value);
            continue;
        }
        added.push_back(std::make_shared<FieldHeader>(it.name, it.value));
        writer.headers().add(added.back());
    }
}

/** The caller holds the connection's mutex and has seen that it is open. */
Pistache::Async::Promise<ssize_t> putOnWire(Call &call, const CallerResponse &response)
{
    CallerConnection &connection = *call.connection;
    connection.unsent = response.body.size() + 1;
    connection.unsentSince = call.state->clock.now();
    call.state->unsentBytes += connection.unsent;
    addHeaders(call.writer, response);
    if (call.keepAlive) { // the library says "close" to callers that rely on the default of HTTP/1.1
        call.writer.headers().remove<Pistache::Http::Header::Connection>();
        call.writer.headers().add<Pistache::Http::Header::Connection>(Pistache::Http::ConnectionControl::KeepAlive);
    }
    return call.writer.send(static_cast<Pistache::Http::Code>(response.status), response.body);
}

void begin(const StatePtr &state, const ConnectionPtr &connection, CallerConnection::Waiting waiting);

/** The next request of this connection, where one waits. */
std::optional<CallerConnection::Waiting> takeNext(CallerConnection &connection)
{
    std::lock_guard guard(connection.mutex);
    if (connection.waiting.empty()) {
        connection.busy = false;
        return std::nullopt;
    }
    std::optional<CallerConnection::Waiting> next(std::move(connection.waiting.front()));
    connection.waiting.pop_front();
    return next;
}

void send(Call &call, const CallerResponse &response)
{
    std::shared_lock serving(call.state->stopMutex);
    std::unique_lock lock(call.connection->mutex);
    if (call.state->stopped || call.connection->fd < 0) {
        ++call.state->callersGone;
        return;
    }
    try {
        auto promise = putOnWire(call, response);
        lock.unlock(); // the promise may already be kept: then this thread runs the callback
        const auto sent = [state = call.state, it = call.connection](ssize_t) { markSent(state, *it); };
        const auto lost
            = [state = call.state, it = call.connection](const std::exception_ptr &) { markSent(state, *it); };
        promise.then(sent, lost);
    } catch (const std::exception &) { // the caller hung up a moment ago
        ++call.state->callersGone;
    }
}

void answer(Call &call, const CallerResponse &response)
{
    send(call, response);
    --call.state->inWork;
    if (auto next = takeNext(*call.connection)) {
        begin(call.state, call.connection, std::move(*next));
    }
}

bool isOverloaded(const FrontState &state)
{
    return state.unsentBytes > state.settings.maxUnsentBytes;
}

void begin(const StatePtr &state, const ConnectionPtr &connection, CallerConnection::Waiting waiting)
{
    ++state->inWork;
    auto call = std::make_shared<Call>(Call{state, connection, std::move(waiting.writer), waiting.keepAlive});
    CallerRequest &request = waiting.request;
    const std::string path = request.target.substr(0, request.target.find('?'));
    const auto route = state->routes.find({request.method, path});
    if (route != state->routes.end()) {
        answer(*call, route->second(request));
        return;
    }
    if (isOverloaded(*state)) {
        answer(*call, notRun("answers wait for slow readers", OverloadRetryAfter));
        return;
    }
    state->sink.submit(std::move(request), [call](const CallerResponse &response) { answer(*call, response); });
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
        auto connection = std::make_shared<CallerConnection>();
        connection->fd = peer->fd();
        peer->putData(ConnectionData, connection);
        std::lock_guard guard(m_state->mutex);
        m_state->connections.insert(connection);
        if (m_state->connections.size() > m_state->settings.maxCallerConnections) {
            ++m_state->refusedConnections;
            ::shutdown(peer->fd(), SHUT_RDWR);
        }
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        const auto connection = connectionOf(*peer);
        if (!connection) {
            return;
        }
        std::deque<CallerConnection::Waiting> dropped;
        {
            std::lock_guard guard(connection->mutex);
            connection->fd = -1;
            dropped.swap(connection->waiting);
        }
        markSent(m_state, *connection);
        std::lock_guard guard(m_state->mutex);
        m_state->connections.erase(connection);
    }

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter writer) override
    {
        const auto peer = writer.getPeer();
        const auto connection = peer ? connectionOf(*peer) : nullptr;
        if (!connection) {
            return;
        }
        CallerConnection::Waiting waiting{translate(request), std::move(writer), wantsKeepAlive(request)};
        const auto fault = findFault(request, waiting.request);
        std::unique_lock lock(connection->mutex);
        if (connection->busy) {
            if (connection->waiting.size() >= MaxWaitingPerConnection || fault) {
                ::shutdown(connection->fd, SHUT_RD); // no more from this caller; what is in work is still answered
                return;
            }
            connection->waiting.push_back(std::move(waiting));
            return;
        }
        connection->busy = true;
        lock.unlock();
        if (fault) {
            ++m_state->inWork;
            Call call{m_state, connection, std::move(waiting.writer), waiting.keepAlive};
            answer(call, *fault);
            return;
        }
        begin(m_state, connection, std::move(waiting));
    }

private:
    static ConnectionPtr connectionOf(const Pistache::Tcp::Peer &peer)
    {
        return std::static_pointer_cast<CallerConnection>(peer.tryGetData(ConnectionData));
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
            return rejected(431, "the headers are too large");
        }
        if (it.body.size() > m_state->settings.maxBodyBytes) {
            return rejected(413, "the body is too large");
        }
        const auto &headers = request.headers();
        if (headers.tryGetRaw("Transfer-Encoding") && headers.tryGetRaw("Content-Length")) {
            return rejected(400, "both Transfer-Encoding and Content-Length");
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

    void cutOffSlowReaders() const
    {
        const TimePoint now = state->clock.now();
        std::lock_guard guard(state->mutex);
        for (const ConnectionPtr &it : state->connections) {
            std::lock_guard connectionGuard(it->mutex);
            if (it->fd >= 0 && it->unsent > 0 && it->unsentSince + state->settings.slowReaderTimeout < now) {
                ++state->slowReaders;
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
            cutOffSlowReaders();
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
    const auto idle = std::chrono::duration_cast<std::chrono::milliseconds>(settings.callerIdleTimeout);
    auto options = Pistache::Http::Endpoint::options();
    options.threads(settings.frontThreads).threadsName("front");
    options.flags(Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr)
                  | Pistache::Tcp::Options::NoDelay);
    options.maxRequestSize(settings.maxHeaderBytes + settings.maxBodyBytes);
    options.maxResponseSize(settings.maxAnswerBytes + settings.maxHeaderBytes);
    options.headerTimeout(idle).bodyTimeout(idle).keepaliveTimeout(idle);
    m_impl->endpoint->init(options);
    m_impl->endpoint->setHandler(std::make_shared<FrontHandler>(m_impl->state));
    m_impl->endpoint->serveThreaded();
    m_impl->sweeper = std::thread([this] { m_impl->sweep(); });
}

std::uint16_t HttpFront::port() const
{
    return static_cast<std::uint16_t>(m_impl->endpoint->getPort());
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
    {
        std::unique_lock lock(m_impl->state->stopMutex);
        m_impl->state->stopped = true;
    }
    m_impl->endpoint->shutdown();
    m_impl->endpoint.reset();
}

std::uint64_t HttpFront::unanswered() const
{
    return m_impl->state->inWork + (m_impl->state->unsentBytes > 0 ? 1 : 0);
}

FrontCounters HttpFront::counters() const
{
    FrontState &state = *m_impl->state;
    FrontCounters it;
    {
        std::lock_guard guard(state.mutex);
        it.connections = state.connections.size();
    }
    it.unsentBytes = state.unsentBytes;
    it.inWork = state.inWork;
    it.refusedConnections = state.refusedConnections;
    it.slowReaders = state.slowReaders;
    it.callersGone = state.callersGone;
    return it;
}

} // namespace QuetzalRock
