#include "proxy.h"

#include <base/errors.h>

#include <array>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace QuetzalRock::Soak {

namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(2);
constexpr std::size_t MaxBufferedChunks = 256; ///< per direction; then reading stops: a slow reader slows its sender
constexpr int Backlog = 256;

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int openSocket()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        throw Unavailable("cannot create a TCP socket");
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

} // namespace

LoopbackProxy::LoopbackProxy(Clock &clock)
    : m_clock(clock)
{
}

LoopbackProxy::~LoopbackProxy()
{
    m_isStopping = true;
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    for (const auto &link : m_links) {
        for (const auto &it : link->connections) {
            close(*it, false);
        }
        ::close(link->listener);
    }
}

std::size_t LoopbackProxy::addLink(std::uint16_t targetPort)
{
    auto link = std::make_unique<Link>();
    link->targetPort = targetPort;
    link->listener = openSocket();
    sockaddr_in address = loopbackAddress(0);
    socklen_t size = sizeof address;
    const bool isOpen = bind(link->listener, reinterpret_cast<sockaddr *>(&address), size) == 0
                        && listen(link->listener, Backlog) == 0
                        && getsockname(link->listener, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    if (!isOpen) {
        throw Unavailable("cannot bind a port on loopback");
    }
    link->port = ntohs(address.sin_port);
    const std::lock_guard lock(m_mutex);
    m_links.push_back(std::move(link));
    return m_links.size() - 1;
}

std::uint16_t LoopbackProxy::port(std::size_t link) const
{
    const std::lock_guard lock(m_mutex);
    return m_links[link]->port;
}

void LoopbackProxy::setMode(std::size_t link, LinkMode mode, Duration delay)
{
    const std::lock_guard lock(m_mutex);
    m_links[link]->mode = mode;
    m_links[link]->delay = delay;
}

void LoopbackProxy::start()
{
    m_thread = std::thread([this] { run(); });
}

void LoopbackProxy::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        const TimePoint now = m_clock.now();
        for (const auto &it : m_links) {
            processLink(*it, now);
        }
        m_clock.waitUntil(lock, m_wake, now + PollInterval);
    }
}

void LoopbackProxy::processLink(Link &link, TimePoint now)
{
    accept(link);
    applyMode(link);
    for (const auto &it : link.connections) {
        forward(link, it->caller, it->target, it->toTarget, now, it->isBroken);
        forward(link, it->target, it->caller, it->toCaller, now, it->isBroken);
    }
    std::erase_if(link.connections, [](const auto &it) {
        const bool isFinished = it->toTarget.isClosed && it->toTarget.chunks.empty() && it->toCaller.isClosed
                                && it->toCaller.chunks.empty();
        if (it->isBroken || isFinished) {
            close(*it, it->isBroken);
        }
        return it->isBroken || isFinished;
    });
}

void LoopbackProxy::accept(Link &link)
{
    for (;;) {
        const int fd = accept4(link.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        auto connection = std::make_unique<Connection>();
        connection->caller = fd;
        connection->target = openSocket();
        const sockaddr_in address = loopbackAddress(link.targetPort);
        const int rc = connect(connection->target, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        connection->isBroken = rc != 0 && errno != EINPROGRESS;
        link.connections.push_back(std::move(connection));
    }
}

void LoopbackProxy::applyMode(Link &link)
{
    for (const auto &it : link.connections) {
        it->isBroken = it->isBroken || link.mode == LinkMode::Reset;
        it->toCaller.isDiscarded
            = it->toCaller.isDiscarded || link.mode == LinkMode::DropReplies || link.mode == LinkMode::DropAll;
        it->toTarget.isDiscarded = it->toTarget.isDiscarded || link.mode == LinkMode::DropAll;
    }
}

void LoopbackProxy::forward(Link &link, int from, int to, Flow &flow, TimePoint now, bool &isBroken)
{
    std::array<char, 16384> buf;
    while (!flow.isClosed && !isBroken && flow.chunks.size() < MaxBufferedChunks) {
        const ssize_t n = recv(from, buf.data(), buf.size(), 0);
        if (n > 0 && !flow.isDiscarded) {
            const Duration delay = link.mode == LinkMode::Delay ? link.delay : Duration::zero();
            flow.chunks.push_back({now + delay, std::string(buf.data(), static_cast<std::size_t>(n))});
        } else if (n == 0) {
            flow.isClosed = true;
        } else if (n < 0) {
            isBroken = errno != EAGAIN && errno != ENOTCONN && errno != EINTR;
            break;
        }
    }
    while (!flow.chunks.empty() && now >= flow.chunks.front().sendAt) {
        std::string &bytes = flow.chunks.front().bytes;
        const ssize_t n = send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0) {
            isBroken = isBroken || (errno != EAGAIN && errno != ENOTCONN && errno != EINTR);
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(n));
        if (!bytes.empty()) {
            return;
        }
        flow.chunks.pop_front();
    }
    if (flow.isClosed && flow.chunks.empty()) {
        shutdown(to, SHUT_WR);
    }
}

void LoopbackProxy::close(Connection &connection, bool withReset)
{
    const linger resetOnClose{1, 0};
    for (const int fd : {connection.caller, connection.target}) {
        if (withReset) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        }
        ::close(fd);
    }
}

} // namespace QuetzalRock::Soak
