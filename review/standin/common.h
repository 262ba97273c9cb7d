/**
 * Helpers of the review's stand-ins: clocks, a small HTTP server and client on loopback, base64.
 *
 * The server uses one thread for each connection and answers the requests of a connection in turn.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Review {

using nlohmann::json;

inline std::int64_t steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

inline int portOf(const std::string &address)
{
    return std::stoi(address.substr(address.rfind(':') + 1));
}

struct Message
{
    std::string method;                         ///< requests
    std::string target;                         ///< requests
    int status = 0;                             ///< responses
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

/** Reads HTTP messages with a Content-Length from a socket. */
class MessageReader
{
public:
    explicit MessageReader(int fd)
        : m_fd(fd)
    {
    }

    /** The next message; none if the connection ends, or @p deadline (steadyMs; 0: none) passes. */
    std::optional<Message> read(std::int64_t deadline = 0)
    {
        std::size_t end = 0;
        while ((end = m_data.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(deadline)) {
                return std::nullopt;
            }
        }
        Message message = parseHead(m_data.substr(0, end));
        m_data.erase(0, end + 4);
        const auto length = message.headers.find("content-length");
        const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
        while (m_data.size() < size) {
            if (!receive(deadline)) {
                return std::nullopt;
            }
        }
        message.body = m_data.substr(0, size);
        m_data.erase(0, size);
        return message;
    }

private:
    bool receive(std::int64_t deadline)
    {
        if (deadline != 0) {
            pollfd it{m_fd, POLLIN, 0};
            const std::int64_t left = deadline - steadyMs();
            if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        char buf[16384];
        const ssize_t n = ::recv(m_fd, buf, sizeof buf, 0);
        if (n <= 0) {
            return false;
        }
        m_data.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    static Message parseHead(const std::string &head)
    {
        Message message;
        std::size_t at = 0;
        bool isFirst = true;
        while (at <= head.size()) {
            const std::size_t end = std::min(head.find("\r\n", at), head.size());
            const std::string line = head.substr(at, end - at);
            at = end + 2;
            if (isFirst) {
                isFirst = false;
                const std::size_t a = line.find(' ');
                const std::size_t b = line.find(' ', a + 1);
                if (line.starts_with("HTTP/")) {
                    message.status = std::stoi(line.substr(a + 1, 3));
                } else {
                    message.method = line.substr(0, a);
                    message.target = line.substr(a + 1, b - a - 1);
                }
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            for (char &it : name) {
                it = static_cast<char>(std::tolower(it));
            }
            std::size_t start = colon + 1;
            while (start < line.size() && line[start] == ' ') {
                ++start;
            }
            message.headers[name] = line.substr(start);
        }
        return message;
    }

    int m_fd;
    std::string m_data;
};

inline bool sendAll(int fd, const std::string &text)
{
    for (std::size_t sent = 0; sent < text.size();) {
        const ssize_t n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

struct Answer
{
    int status = 200; ///< 0: no answer is sent, and the connection stays open; -1: the connection is closed
    json body = json::object();
};

using Handler = std::function<Answer(const Message &)>;

/** Listens on a loopback port; does not return. */
inline void serve(int port, const Handler &handler)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(listener, 256) != 0) {
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([fd, &handler] {
            MessageReader reader(fd);
            while (const auto request = reader.read()) {
                const Answer answer = handler(*request);
                if (answer.status == 0) {
                    continue;
                }
                if (answer.status < 0) {
                    break;
                }
                const std::string body = answer.body.dump();
                if (!sendAll(fd,
                             "HTTP/1.1 " + std::to_string(answer.status)
                                 + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                    break;
                }
            }
            ::close(fd);
        }).detach();
    }
}

/** The answer to one request on a connection of its own; status 0: no answer. */
inline Message request(const std::string &address,
                       const std::string &method,
                       const std::string &target,
                       const std::string &body = {},
                       std::int64_t timeoutMs = 3000,
                       const std::string &headers = {})
{
    const std::int64_t deadline = steadyMs() + timeoutMs;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer = loopback(portOf(address));
    Message answer;
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) == 0
        && sendAll(fd,
                   method + " " + target + " HTTP/1.1\r\nHost: " + address + "\r\n" + headers
                       + (body.empty() ? "" : "Content-Type: application/json\r\n")
                       + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
        MessageReader reader(fd);
        if (auto it = reader.read(deadline)) {
            answer = std::move(*it);
        }
    }
    ::close(fd);
    return answer;
}

inline json parseBody(const std::string &text)
{
    json body = json::parse(text, nullptr, false);
    return body.is_object() ? body : json::object();
}

inline std::string toBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t n = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            n = n << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k > bytes.size() ? '=' : digits[n >> (18 - 6 * k) & 63U];
        }
    }
    return text;
}

inline std::string decodeUrl(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> fields;
    const std::size_t start = target.find('?');
    std::string rest = start == std::string::npos ? std::string() : target.substr(start + 1);
    while (!rest.empty()) {
        const std::string field = rest.substr(0, rest.find('&'));
        rest.erase(0, std::min(rest.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals != std::string::npos) {
            fields[field.substr(0, equals)] = decodeUrl(field.substr(equals + 1));
        }
    }
    return fields;
}

/** The value of "--name VALUE" on the command line. */
inline std::string argument(int argc, char **argv, const std::string &name, const std::string &fallback = {})
{
    for (int i = 1; i + 1 < argc; ++i) {
        if (argv[i] == "--" + name) {
            return argv[i + 1];
        }
    }
    return fallback;
}

} // namespace Review
