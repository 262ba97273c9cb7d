#include <peer/jsonrpc.h>
#include <peer/peer.h>
#include <peer/peererrors.h>

#include <mutex>

namespace QuetzalRock {

namespace {

constexpr std::size_t MaxIdlePerAddress = 4;
constexpr std::string_view ReplayRefusal = "repeated"; ///< returned by PeerAuth::verify() for a known nonce

using Channel = std::unique_ptr<detail::RpcChannel>;

} // namespace

class PeerClient::Private
{
public:
    explicit Private(PeerAuth &it)
        : auth(it)
    {
    }

    Channel acquireChannel(const std::string &address)
    {
        {
            std::lock_guard guard(mutex);
            std::vector<Channel> &idle = channels[address];
            if (!idle.empty()) {
                Channel channel = std::move(idle.back());
                idle.pop_back();
                return channel;
            }
        }
        return std::make_unique<detail::RpcChannel>("http://" + address + "/rpc");
    }

    void releaseChannel(const std::string &address, Channel channel)
    {
        std::lock_guard guard(mutex);
        std::vector<Channel> &idle = channels[address];
        if (idle.size() < MaxIdlePerAddress) {
            idle.push_back(std::move(channel));
        }
    }

    void closeIdleChannels(const std::string &address)
    {
        std::lock_guard guard(mutex);
        channels.erase(address);
    }

    PeerAuth &auth;
    PeerCounters counters;
    std::mutex mutex; ///< guards channels
    std::map<std::string, std::vector<Channel>> channels;
};

PeerClient::PeerClient(PeerAuth &auth)
    : m_d(std::make_unique<Private>(auth))
{
}

PeerClient::~PeerClient() = default;

const PeerCounters &PeerClient::counters() const
{
    return m_d->counters;
}

namespace {

/** Throws the error that corresponds to the failure of @p reply, if it has one. */
void throwFailure(const detail::RpcReply &reply, const std::string &callName)
{
    switch (reply.failure) {
    case detail::RpcFailure::None:
        return;
    case detail::RpcFailure::NotDelivered:
        throw Unavailable(callName + ": " + reply.message);
    case detail::RpcFailure::MaybeDelivered:
        throw OutcomeUnknown(callName + ": " + reply.message);
    case detail::RpcFailure::NoSuchMethod:
        throw NotFound(callName + ": no such method");
    case detail::RpcFailure::Refused:
        // libcurl may send a call again on a new connection. The server refuses the second copy as a replay, but has
        // accepted the first one.
        if (reply.message.find(ReplayRefusal) != std::string::npos) {
            throw OutcomeUnknown(callName + ": " + reply.message);
        }
        throw Error(ErrorCode::Unauthenticated, callName + ": " + reply.message);
    }
}

} // namespace

std::string PeerClient::call(std::string_view address, std::string_view method, std::string_view json, Duration timeout)
{
    const std::string to(address);
    const std::string callName = std::string(method) + " at " + to;
    const detail::RpcRequest request = m_d->auth.sign(address, method, json);
    const long timeoutMs = static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(timeout).count());
    ++m_d->counters.calls;
    m_d->counters.bytesOut += json.size();

    Channel channel = m_d->acquireChannel(to);
    const detail::RpcReply reply = channel->call(std::string(method), request, std::max(timeoutMs, 1L));
    if (reply.failure != detail::RpcFailure::None) {
        ++m_d->counters.failures;
        m_d->closeIdleChannels(to);
        throwFailure(reply, callName);
    }
    m_d->counters.bytesIn += reply.body.size();
    m_d->releaseChannel(to, std::move(channel));
    if (!m_d->auth.verifyReply(request, reply.code, reply.body, reply.mac)) {
        ++m_d->counters.failures;
        throw OutcomeUnknown(callName + ": the reply is not signed with the shared key of the call");
    }
    if (reply.code != detail::NoError) {
        ++m_d->counters.failures;
        detail::throwDecodedError(reply.code, reply.body);
    }
    return reply.body;
}

} // namespace QuetzalRock
