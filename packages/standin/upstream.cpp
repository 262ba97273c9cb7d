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

struct HeldAnswer
{
    Pistache::Http::ResponseWriter writer;
    std::string body;
};

/** What the server's threads share. */
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

    mutable std::mutex mutex; ///< guards all below
    UpstreamFault fault = UpstreamFault::None;
    int every = 1;
    std::uint64_t faultTurn = 0;
    Duration serviceTime{};
    std::string lastDeadline;
    std::vector<HeldAnswer> held;
    std::vector<HeldAnswer> silent; ///< kept, so that their connections stay open
    std::vector<TimePoint> slotFreeAt;
    std::multimap<TimePoint, HeldAnswer> delayed;
    std::condition_variable delayedChanged;
    bool ended = false;
};

void sendRaw(Pistache::Http::ResponseWriter &writer, std::string_view text)
{
    if (const auto peer = writer.getPeer()) {
        [[maybe_unused]] const auto n = ::send(peer->fd(), text.data(), text.size(), MSG_NOSIGNAL);
        ::shutdown(peer->fd(), SHUT_RDWR);
    }
}

void sendWhole(HeldAnswer &answer)
{
    try {
        answer.writer.send(Pistache::Http::Code::Ok, answer.body);
    } catch (const std::exception &) { // the other end has hung up
        return;
    }
}

std::string headerOf(const Pistache::Http::Request &request, const char *name)
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
        const std::string booking = headerOf(request, "Booking-Id");
        const std::string body = booking + " " + request.resource() + request.query().as_str() + " " + request.body();
        const UpstreamFault fault = takeFault(headerOf(request, "Quetzalrock-Deadline-Ms"));
        if (fault == UpstreamFault::Reject) {
            writer.send(Pistache::Http::Code::Service_Unavailable, "refused");
            return;
        }
        ++m_state->runs;
        if (!booking.empty()) {
            m_state->ledger.record(booking);
        }
        answer(fault, {std::move(writer), body});
    }

private:
    UpstreamFault takeFault(const std::string &deadline)
    {
        std::lock_guard guard(m_state->mutex);
        m_state->lastDeadline = deadline;
        const bool due = ++m_state->faultTurn % static_cast<std::uint64_t>(m_state->every) == 0;
        return due ? m_state->fault : UpstreamFault::None;
    }

    void answer(UpstreamFault fault, HeldAnswer held)
    {
        const std::string size = std::to_string(held.body.size() + 100);
        switch (fault) {
        case UpstreamFault::Error:
            held.writer.send(Pistache::Http::Code::Internal_Server_Error, "error " + held.body);
            break;
        case UpstreamFault::CloseWithoutResponse:
            sendRaw(held.writer, "");
            break;
        case UpstreamFault::CloseMidResponse:
            sendRaw(held.writer, "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n" + held.body);
            break;
        case UpstreamFault::CloseMidChunk:
            sendRaw(held.writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
            break;
        case UpstreamFault::CloseWithoutLength:
            sendRaw(held.writer, "HTTP/1.1 200 OK\r\n\r\n" + held.body);
            break;
        case UpstreamFault::NeverRespond:
            keep(m_state->silent, std::move(held));
            break;
        case UpstreamFault::HoldResponse:
            keep(m_state->held, std::move(held));
            break;
        default:
            serve(std::move(held));
        }
    }

    void keep(std::vector<HeldAnswer> &where, HeldAnswer held)
    {
        std::lock_guard guard(m_state->mutex);
        where.push_back(std::move(held));
    }

    void serve(HeldAnswer held)
    {
        {
            std::lock_guard guard(m_state->mutex);
            if (m_state->serviceTime > Duration::zero()) {
                auto &slot = *std::min_element(m_state->slotFreeAt.begin(), m_state->slotFreeAt.end());
                slot = std::max(slot, m_state->clock.now()) + m_state->serviceTime;
                m_state->delayed.emplace(slot, std::move(held));
                m_state->delayedChanged.notify_all();
                return;
            }
        }
        sendWhole(held);
    }

    std::shared_ptr<ServerState> m_state;
};

/** Duty of one thread: answers that are due later. */
void sendDelayed(ServerState &state)
{
    std::unique_lock lock(state.mutex);
    while (!state.ended) {
        if (state.delayed.empty()) {
            state.delayedChanged.wait(lock);
            continue;
        }
        const TimePoint due = state.delayed.begin()->first;
        if (due > state.clock.now()) {
            state.clock.waitUntil(lock, state.delayedChanged, due);
            continue;
        }
        auto node = state.delayed.extract(state.delayed.begin());
        lock.unlock();
        sendWhole(node.mapped());
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
    std::thread delayer;
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
    m_impl->delayer = std::thread([state = m_impl->state] { sendDelayed(*state); });
}

StandInUpstream::~StandInUpstream()
{
    {
        std::lock_guard guard(m_impl->state->mutex);
        m_impl->state->ended = true;
    }
    m_impl->state->delayedChanged.notify_all();
    m_impl->delayer.join();
    m_impl->endpoint->shutdown();
    std::lock_guard guard(m_impl->state->mutex);
    m_impl->state->held.clear();
    m_impl->state->silent.clear();
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
    m_impl->state->faultTurn = 0;
}

void StandInUpstream::setServiceTime(Duration serviceTime)
{
    std::lock_guard guard(m_impl->state->mutex);
    m_impl->state->serviceTime = serviceTime;
}

void StandInUpstream::releaseHeldResponses()
{
    std::vector<HeldAnswer> held;
    {
        std::lock_guard guard(m_impl->state->mutex);
        held.swap(m_impl->state->held);
    }
    for (auto it = held.rbegin(); it != held.rend(); ++it) {
        sendWhole(*it);
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
    return static_cast<int>(m_impl->state->silent.size());
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
