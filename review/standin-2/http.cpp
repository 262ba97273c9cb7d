#include "http.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

std::string decode(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

void resetConnection(int fd)
{
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string lower(std::string text)
{
    for (char &it : text) {
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    }
    return text;
}

// Splits a head into its first line and its headers.
std::string parseHead(const std::string &head, std::map<std::string, std::string> &headers)
{
    const std::size_t firstEnd = head.find("\r\n");
    std::size_t at = firstEnd + 2;
    while (at < head.size()) {
        const std::size_t end = head.find("\r\n", at);
        const std::string line = head.substr(at, end - at);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ') {
                ++value;
            }
            headers[lower(line.substr(0, colon))] = line.substr(value);
        }
        if (end == std::string::npos) {
            break;
        }
        at = end + 2;
    }
    return head.substr(0, firstEnd);
}

} // namespace

struct Server::Shared
{
    Handler handler;
    std::mutex mutex; // guards fds and threads
    std::condition_variable ended;
    std::set<int> fds;
    int threads = 0;
    std::atomic<bool> isStopping = false;
    int listener = -1;
};

Server::Server(Handler handler)
    : m_handler(std::move(handler))
{
}

Server::~Server()
{
    stop();
}

int Server::port() const
{
    return m_port;
}

std::string Server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void Server::start(int port)
{
    m_shared = std::make_shared<Shared>();
    m_shared->handler = m_handler;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(fd, 256) != 0) {
        close(fd);
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_shared->listener = fd;
    m_thread = std::thread([shared = m_shared, fd] {
        while (!shared->isStopping) {
            pollfd it{fd, POLLIN, 0};
            if (poll(&it, 1, 50) <= 0) {
                continue;
            }
            const int peer = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (peer < 0) {
                continue;
            }
            const int noDelay = 1;
            setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            const std::lock_guard lock(shared->mutex);
            shared->fds.insert(peer);
            ++shared->threads;
            std::thread([shared, peer] { serve(shared, peer); }).detach();
        }
    });
}

void Server::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_shared->isStopping = true;
    m_thread.join();
    close(m_shared->listener);
    {
        const std::lock_guard lock(m_shared->mutex);
        for (const int it : m_shared->fds) {
            resetConnection(it);
            shutdown(it, SHUT_RD); // wakes its thread, which closes it: a reset
        }
    }
}

void Server::serve(const std::shared_ptr<Shared> &shared, int fd)
{
    std::string buffer;
    bool isOpen = true;
    while (isOpen && !shared->isStopping) {
        std::size_t headEnd = 0;
        std::size_t length = 0;
        Request request;
        std::map<std::string, std::string> headers;
        std::string first;
        while (true) {
            headEnd = buffer.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                headers.clear();
                first = parseHead(buffer.substr(0, headEnd), headers);
                length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
                if (buffer.size() >= headEnd + 4 + length) {
                    break;
                }
            }
            char data[16384];
            const ssize_t n = recv(fd, data, sizeof data, 0);
            if (n <= 0) {
                isOpen = false;
                break;
            }
            buffer.append(data, static_cast<std::size_t>(n));
        }
        if (!isOpen) {
            break;
        }
        request.body = buffer.substr(headEnd + 4, length);
        buffer.erase(0, headEnd + 4 + length);
        request.headers = std::move(headers);
        const std::size_t space = first.find(' ');
        request.method = first.substr(0, space);
        const std::string target = first.substr(space + 1, first.rfind(' ') - space - 1);
        const std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        for (std::size_t at = mark == std::string::npos ? target.size() : mark + 1; at < target.size();) {
            const std::size_t end = std::min(target.find('&', at), target.size());
            const std::string field = target.substr(at, end - at);
            const std::size_t equals = field.find('=');
            if (equals != std::string::npos) {
                request.query[decode(field.substr(0, equals))] = decode(field.substr(equals + 1));
            }
            at = end + 1;
        }
        const Response response = shared->handler(request);
        if (shared->isStopping) {
            break;
        }
        if (response.reset) {
            resetConnection(fd);
            break;
        }
        if (response.silent) {
            char data[4096];
            while (recv(fd, data, sizeof data, 0) > 0) {
            }
            break;
        }
        isOpen = sendAll(fd, "HTTP/1.1 " + std::to_string(response.status)
                                 + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                 + std::to_string(response.body.size()) + "\r\n\r\n" + response.body);
    }
    const std::lock_guard lock(shared->mutex);
    if (shared->isStopping) {
        resetConnection(fd);
    }
    shared->fds.erase(fd);
    close(fd);
    --shared->threads;
    shared->ended.notify_all();
}

Answer call(int port, const std::string &method, const std::string &path, const std::string &host,
            const std::string &body, int timeoutMs)
{
    using Clock = std::chrono::steady_clock;
    const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    Answer answer;
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return answer;
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host
                       + "\r\nConnection: close\r\nX-Quetzalrock-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n";
    if (!body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    sendAll(fd, text);
    std::string buffer;
    while (true) {
        const std::size_t headEnd = buffer.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            std::map<std::string, std::string> headers;
            const std::string first = parseHead(buffer.substr(0, headEnd), headers);
            const std::size_t length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
            if (buffer.size() >= headEnd + 4 + length) {
                answer.status = std::stoi(first.substr(first.find(' ') + 1));
                answer.body = buffer.substr(headEnd + 4, length);
                break;
            }
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd it{fd, POLLIN, 0};
        if (left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0) {
            break;
        }
        char data[16384];
        const ssize_t n = recv(fd, data, sizeof data, 0);
        if (n <= 0) {
            break;
        }
        buffer.append(data, static_cast<std::size_t>(n));
    }
    close(fd);
    return answer;
}

} // namespace Review
