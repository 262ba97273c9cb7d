#include <standin/upstream.h>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <thread>
#include <vector>

#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <sys/socket.h>

namespace QuetzalRock {

namespace {

constexpr std::size_t MaxRequestBytes = 8 << 20;

struct PendingResponse
{
    Pistache::Http::ResponseWriter writer;
    std::string body;
};

/** State shared by the threads of an instance. */
struct ServerState
{
    ServerState(Clock &serverClock, ExecutionLedger &executions, const UpstreamOptions &serverOptions)
        : clock(serverClock)
        , ledger(executions)
        , options(serverOptions)
        , slotFreeAt(static_cast<std::size_t>(serverOptions.slots))
    {
    }

    Clock &clock;
    ExecutionLedger &ledger;
    UpstreamOptions options;
    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> runs = 0;
    std::atomic<std::uint64_t> connections = 0;

    mutable std::mutex mutex; ///< guards all following members
    UpstreamFault fault = UpstreamFault::None;
    int every = 1;
    std::uint64_t requestsSinceFault = 0;
    Duration serviceTime{};
    std::string lastDeadline;
    std::vector<PendingResponse> held;
    std::vector<PendingResponse> unanswered; ///< never sent; kept so that their connections stay open
    std::vector<TimePoint> slotFreeAt;
    std::multimap<TimePoint, PendingResponse> delayed;
    std::condition_variable delayedCondition;
    bool isStopping = false;
};

void sendRawAndClose(Pistache::Http::ResponseWriter &writer, std::string_view text)
{
    if (const auto peer = writer.getPeer()) {
        [[maybe_unused]] const auto n = ::send(peer->fd(), text.data(), text.size(), MSG_NOSIGNAL);
        ::shutdown(peer->fd(), SHUT_RDWR);
    }
}

void sendResponse(PendingResponse &response)
{
    try {
        response.writer.send(Pistache::Http::Code::Ok, response.body);
    } catch (const std::exception &) { // the client has closed the connection
        return;
    }
}

std::string headerValue(const Pistache::Http::Request &request, const char *name)
{
    const auto raw = request.headers().tryGetRaw(name);
    return raw ? raw->value() : std::string();
}

class UpstreamHandler final : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(UpstreamHandler)

    explicit UpstreamHandler(std::shared_ptr<ServerState> state)
        : m_state(std::move(state))
    {
    }

    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        peer->putData(ParserData, std::make_shared<Pistache::Http::RequestParser>(getMaxRequestSize()));
        ++m_state->connections;
    }

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter writer) override
    {
        ++m_state->requests;
        const std::string booking = headerValue(request, "Booking-Id");
        const std::string body = booking + " " + request.resource() + request.query().as_str() + " " + request.body();
        const UpstreamFault fault = nextFault(headerValue(request, "Quetzalrock-Deadline-Ms"));
        if (fault == UpstreamFault::Reject) {
            writer.send(Pistache::Http::Code::Service_Unavailable, "refused");
            return;
        }
        ++m_state->runs;
        if (!booking.empty()) {
            m_state->ledger.record(booking);
        }
        respond(fault, {std::move(writer), body});
    }

private:
    UpstreamFault nextFault(const std::string &deadline)
    {
        std::lock_guard guard(m_state->mutex);
        m_state->lastDeadline = deadline;
        const bool isFaulty = ++m_state->requestsSinceFault % static_cast<std::uint64_t>(m_state->every) == 0;
        return isFaulty ? m_state->fault : UpstreamFault::None;
    }

    void respond(UpstreamFault fault, PendingResponse response)
    {
        const std::string size = std::to_string(response.body.size() + 100);
        switch (fault) {
        case UpstreamFault::Error:
            response.writer.send(Pistache::Http::Code::Internal_Server_Error, "error " + response.body);
            break;
        case UpstreamFault::CloseWithoutResponse:
            sendRawAndClose(response.writer, "");
            break;
        case UpstreamFault::CloseMidResponse:
            sendRawAndClose(response.writer, "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n" + response.body);
            break;
        case UpstreamFault::CloseMidChunk:
            sendRawAndClose(response.writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
            break;
        case UpstreamFault::CloseWithoutLength:
            sendRawAndClose(response.writer, "HTTP/1.1 200 OK\r\n\r\n" + response.body);
            break;
        case UpstreamFault::NeverRespond:
            retain(m_state->unanswered, std::move(response));
            break;
        case UpstreamFault::HoldResponse:
            retain(m_state->held, std::move(response));
            break;
        default:
            respondAfterServiceTime(std::move(response));
        }
    }

    void retain(std::vector<PendingResponse> &pending, PendingResponse response)
    {
        std::lock_guard guard(m_state->mutex);
        pending.push_back(std::move(response));
    }

    void respondAfterServiceTime(PendingResponse response)
    {
        {
            std::lock_guard guard(m_state->mutex);
            if (m_state->serviceTime > Duration::zero()) {
                auto &slot = *std::min_element(m_state->slotFreeAt.begin(), m_state->slotFreeAt.end());
                slot = std::max(slot, m_state->clock.now()) + m_state->serviceTime;
                m_state->delayed.emplace(slot, std::move(response));
                m_state->delayedCondition.notify_all();
                return;
            }
        }
        sendResponse(response);
    }

    std::shared_ptr<ServerState> m_state;
};

/** Thread function that sends the delayed responses when they are due. */
void sendDelayed(ServerState &state)
{
    std::unique_lock lock(state.mutex);
    while (!state.isStopping) {
        if (state.delayed.empty()) {
            state.delayedCondition.wait(lock);
            continue;
        }
        const TimePoint due = state.delayed.begin()->first;
        if (due > state.clock.now()) {
            state.clock.waitUntil(lock, state.delayedCondition, due);
            continue;
        }
        auto node = state.delayed.extract(state.delayed.begin());
        lock.unlock();
        sendResponse(node.mapped());
        lock.lock();
    }
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// ExecutionLedger
// ---------------------------------------------------------------------------------------------------------------------

void ExecutionLedger::record(const std::string &bookingId)
{
    std::lock_guard guard(m_mutex);
    m_highest = std::max(m_highest, ++m_counts[bookingId]);
}

int ExecutionLedger::count(const std::string &bookingId) const
{
    std::lock_guard guard(m_mutex);
    const auto it = m_counts.find(bookingId);
    return it == m_counts.end() ? 0 : it->second;
}

int ExecutionLedger::highestCount() const
{
    std::lock_guard guard(m_mutex);
    return m_highest;
}

std::size_t ExecutionLedger::bookings() const
{
    std::lock_guard guard(m_mutex);
    return m_counts.size();
}

// ---------------------------------------------------------------------------------------------------------------------
// StandInUpstream
// ---------------------------------------------------------------------------------------------------------------------

struct StandInUpstream::Impl
{
    std::shared_ptr<ServerState> state;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
    std::thread delayedSender;
};

StandInUpstream::StandInUpstream(Clock &clock, ExecutionLedger &ledger, const UpstreamOptions &options)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->state = std::make_shared<ServerState>(clock, ledger, options);
    m_impl->state->serviceTime = options.serviceTime;
    const Pistache::Address address("127.0.0.1", Pistache::Port(options.port));
    m_impl->endpoint = std::make_unique<Pistache::Http::Endpoint>(address);
    auto settings = Pistache::Http::Endpoint::options();
    settings.threads(options.threads).threadsName("standin").maxRequestSize(MaxRequestBytes);
    settings.flags(Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr)
                   | Pistache::Tcp::Options::NoDelay);
    m_impl->endpoint->init(settings);
    m_impl->endpoint->setHandler(std::make_shared<UpstreamHandler>(m_impl->state));
    m_impl->endpoint->serveThreaded();
    m_impl->delayedSender = std::thread([state = m_impl->state] { sendDelayed(*state); });
}

StandInUpstream::~StandInUpstream()
{
    {
        std::lock_guard guard(m_impl->state->mutex);
        m_impl->state->isStopping = true;
    }
    m_impl->state->delayedCondition.notify_all();
    m_impl->delayedSender.join();
    m_impl->endpoint->shutdown();
    std::lock_guard guard(m_impl->state->mutex);
    m_impl->state->held.clear();
    m_impl->state->unanswered.clear();
    m_impl->state->delayed.clear();
}

std::string StandInUpstream::address() const
{
    return "127.0.0.1:" + std::to_string(static_cast<std::uint16_t>(m_impl->endpoint->getPort()));
}

void StandInUpstream::setFault(UpstreamFault fault, int every)
{
    std::lock_guard guard(m_impl->state->mutex);
    m_impl->state->fault = fault;
    m_impl->state->every = std::max(1, every);
    m_impl->state->requestsSinceFault = 0;
}

void StandInUpstream::setServiceTime(Duration serviceTime)
{
    std::lock_guard guard(m_impl->state->mutex);
    m_impl->state->serviceTime = serviceTime;
}

void StandInUpstream::releaseHeldResponses()
{
    std::vector<PendingResponse> held;
    {
        std::lock_guard guard(m_impl->state->mutex);
        held.swap(m_impl->state->held);
    }
    for (auto it = held.rbegin(); it != held.rend(); ++it) {
        sendResponse(*it);
    }
}

int StandInUpstream::heldCount() const
{
    std::lock_guard guard(m_impl->state->mutex);
    return static_cast<int>(m_impl->state->held.size());
}

int StandInUpstream::unansweredCount() const
{
    std::lock_guard guard(m_impl->state->mutex);
    return static_cast<int>(m_impl->state->unanswered.size());
}

std::uint64_t StandInUpstream::requests() const
{
    return m_impl->state->requests;
}

std::uint64_t StandInUpstream::runs() const
{
    return m_impl->state->runs;
}

std::uint64_t StandInUpstream::connections() const
{
    return m_impl->state->connections;
}

std::string StandInUpstream::lastDeadlineHeader() const
{
    std::lock_guard guard(m_impl->state->mutex);
    return m_impl->state->lastDeadline;
}

} // namespace QuetzalRock
