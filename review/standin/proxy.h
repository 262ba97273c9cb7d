/**
 * A loopback proxy of one address. While it holds, it accepts connections and reads what is sent, and forwards nothing in
 * either direction, as a partition does; what it holds is forwarded when it passes again, as retransmissions would be.
 */
#pragma once

#include "common.h"

#include <condition_variable>
#include <mutex>

namespace Review {

class Proxy
{
public:
    /** Listens on @p port and forwards to @p peerPort. Runs until the process ends. */
    Proxy(int port, int peerPort)
        : m_port(port)
        , m_peerPort(peerPort)
    {
    }

    void start()
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = loopback(m_port);
        if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(listener, 256) != 0) {
            throw std::runtime_error("the proxy cannot listen");
        }
        std::thread([this, listener] {
            while (true) {
                const int client = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (client >= 0) {
                    std::thread([this, client] { serve(client); }).detach();
                }
            }
        }).detach();
    }

    void hold(bool isHolding)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isHolding = isHolding;
        }
        m_changed.notify_all();
    }

private:
    void waitUntilPassing()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return !m_isHolding; });
    }

    void serve(int client)
    {
        waitUntilPassing();
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in peer = loopback(m_peerPort);
        const int on = 1;
        ::setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (::connect(server, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) == 0) {
            std::thread back([this, client, server] { forward(server, client); });
            forward(client, server);
            back.join();
        }
        ::close(server);
        ::close(client);
    }

    void forward(int from, int to)
    {
        char buf[16384];
        while (true) {
            const ssize_t n = ::recv(from, buf, sizeof buf, 0);
            waitUntilPassing();
            if (n <= 0 || !sendAll(to, std::string(buf, static_cast<std::size_t>(n)))) {
                break;
            }
        }
        ::shutdown(to, SHUT_WR);
    }

    int m_port;
    int m_peerPort;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isHolding = false;
};

} // namespace Review
