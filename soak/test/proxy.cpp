#include "proxy.h"

#include <base/errors.h>

#include <array>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace QuetzalRock::Soak {

namespace {

constexpr Duration LookEvery = std::chrono::milliseconds(2);
constexpr std::size_t MaxHeldPieces = 256; ///< a reader that is slower than its sender slows it down
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
        throw Unavailable("no socket to be had");
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
        throw Unavailable("no port to be had on loopback");
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
            serve(*it, now);
        }
        m_clock.waitUntil(lock, m_wake, now + LookEvery);
    }
}

void LoopbackProxy::serve(Link &link, TimePoint now)
{
    accept(link);
    spoil(link);
    for (const auto &it : link.connections) {
        pump(link, it->caller, it->target, it->up, now, it->isBroken);
        pump(link, it->target, it->caller, it->down, now, it->isBroken);
    }
    std::erase_if(link.connections, [](const auto &it) {
        const bool isOver = it->up.isEnded && it->up.pieces.empty() && it->down.isEnded && it->down.pieces.empty();
        if (it->isBroken || isOver) {
            close(*it, it->isBroken);
        }
        return it->isBroken || isOver;
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

void LoopbackProxy::spoil(Link &link)
{
    for (const auto &it : link.connections) {
        it->isBroken = it->isBroken || link.mode == LinkMode::Reset;
        it->down.isLost = it->down.isLost || link.mode == LinkMode::OneWay || link.mode == LinkMode::Silent;
        it->up.isLost = it->up.isLost || link.mode == LinkMode::Silent;
    }
}

void LoopbackProxy::pump(Link &link, int from, int to, Flow &flow, TimePoint now, bool &isBroken)
{
    std::array<char, 16384> buf;
    while (!flow.isEnded && !isBroken && flow.pieces.size() < MaxHeldPieces) {
        const ssize_t n = recv(from, buf.data(), buf.size(), 0);
        if (n > 0 && !flow.isLost) {
            const Duration delay = link.mode == LinkMode::Delay ? link.delay : Duration::zero();
            flow.pieces.push_back({now + delay, std::string(buf.data(), static_cast<std::size_t>(n))});
        } else if (n == 0) {
            flow.isEnded = true;
        } else if (n < 0) {
            isBroken = errno != EAGAIN && errno != ENOTCONN && errno != EINTR;
            break;
        }
    }
    while (!flow.pieces.empty() && now >= flow.pieces.front().at) {
        std::string &bytes = flow.pieces.front().bytes;
        const ssize_t n = send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0) {
            isBroken = isBroken || (errno != EAGAIN && errno != ENOTCONN && errno != EINTR);
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(n));
        if (!bytes.empty()) {
            return;
        }
        flow.pieces.pop_front();
    }
    if (flow.isEnded && flow.pieces.empty()) {
        shutdown(to, SHUT_WR);
    }
}

void LoopbackProxy::close(Connection &connection, bool withReset)
{
    const linger noWait{1, 0};
    for (const int fd : {connection.caller, connection.target}) {
        if (withReset) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &noWait, sizeof noWait);
        }
        ::close(fd);
    }
}

} // namespace QuetzalRock::Soak
