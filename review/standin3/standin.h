/**
 * Stand-ins for the cases 11 to 15: the platform's store, its minions and clients, in one process, on loopback. Each case
 * starts the real nodes as processes of their own and puts its disruption between the stand-ins and the nodes.
 *
 * Index of this file
 *   Record        record.txt: what was sent, answered and run
 *   HttpServer    one thread for each connection
 *   call()        one HTTP request on a connection of its own
 *   Store         items, revisions, leases, watches and conditional changes
 *   Minion        runs, leases, fences, ends, crashes and rebirths
 *   Heartbeats    writes the minions' entries
 *   NodeProcess   a quetzalrockd with the settings of deploy/node.ini
 *   finish()      ends the nodes and the case
 */
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using nlohmann::json;
using Ms = std::int64_t;

inline Ms nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline Ms wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(Ms ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---------------------------------------------------------------------------------------------------------------------
// Record
// ---------------------------------------------------------------------------------------------------------------------

class Record
{
public:
    explicit Record(const std::string &path)
        : m_begin(nowMs())
        , m_out(path)
    {
    }
    template<typename... Parts>
    void write(const Parts &...parts)
    {
        const std::lock_guard guard(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f ", static_cast<double>(nowMs() - m_begin) / 1000);
        m_out << stamp;
        (m_out << ... << parts) << std::endl;
    }
    Ms begin() const
    {
        return m_begin;
    }

private:
    Ms m_begin;
    std::mutex m_mutex;
    std::ofstream m_out;
};

// ---------------------------------------------------------------------------------------------------------------------
// HTTP
// ---------------------------------------------------------------------------------------------------------------------

struct Request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct Response
{
    int status = 200;
    std::string body = "{}";
    bool isDropped = false; ///< the connection ends without an answer
};

inline std::string lower(std::string text)
{
    for (char &it : text) {
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    }
    return text;
}

/** Reads from a socket up to the end of one message; false at the end of the connection. */
class MessageReader
{
public:
    explicit MessageReader(int fd)
        : m_fd(fd)
    {
    }
    bool read(std::string &startLine, std::map<std::string, std::string> &headers, std::string &body, Ms timeoutMs = -1)
    {
        const Ms until = nowMs() + timeoutMs;
        std::size_t end = 0;
        while ((end = m_buf.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(timeoutMs < 0 ? -1 : until - nowMs())) {
                return false;
            }
        }
        const std::string head = m_buf.substr(0, end);
        m_buf.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        startLine = head.substr(0, at);
        headers.clear();
        while (at != std::string::npos) {
            const std::size_t next = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
            }
            at = next;
        }
        const std::size_t size = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
        while (m_buf.size() < size) {
            if (!fill(timeoutMs < 0 ? -1 : until - nowMs())) {
                return false;
            }
        }
        body = m_buf.substr(0, size);
        m_buf.erase(0, size);
        return true;
    }

private:
    bool fill(Ms timeoutMs)
    {
        pollfd it{m_fd, POLLIN, 0};
        if (timeoutMs >= 0 && ::poll(&it, 1, static_cast<int>(timeoutMs)) <= 0) {
            return false;
        }
        char data[65536];
        const ssize_t n = ::recv(m_fd, data, sizeof data, 0);
        if (n <= 0) {
            return false;
        }
        m_buf.append(data, static_cast<std::size_t>(n));
        return true;
    }

    int m_fd;
    std::string m_buf;
};

inline void sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(n);
    }
}

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    it.sin_port = htons(port);
    return it;
}

class HttpServer
{
public:
    using Handler = std::function<Response(const Request &)>;

    explicit HttpServer(Handler handler)
        : m_state(std::make_shared<State>())
    {
        m_state->handler = std::move(handler);
    }
    ~HttpServer()
    {
        stop();
    }
    void start()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = loopback(m_port);
        if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
            std::cerr << "cannot listen on port " << m_port << "\n";
            std::exit(2);
        }
        socklen_t size = sizeof address;
        ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_fd = fd;
        m_state->isStopped = false;
        m_acceptor = std::thread([state = m_state, fd] { accept(state, fd); });
    }
    /** Ends the listening socket and all connections, as the end of the process does. */
    void stop()
    {
        if (!m_acceptor.joinable()) {
            return;
        }
        ::shutdown(m_fd, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_fd);
        const std::lock_guard guard(m_state->mutex);
        m_state->isStopped = true;
        for (const int it : m_state->connections) {
            ::shutdown(it, SHUT_RDWR);
        }
    }
    std::uint16_t port() const
    {
        return m_port;
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    struct State
    {
        Handler handler;
        std::mutex mutex;
        std::set<int> connections;
        bool isStopped = false;
    };

    static void accept(const std::shared_ptr<State> &state, int listener)
    {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard guard(state->mutex);
                state->connections.insert(fd);
            }
            std::thread([state, fd] { serve(state, fd); }).detach();
        }
    }
    static void serve(const std::shared_ptr<State> &state, int fd)
    {
        MessageReader reader(fd);
        std::string line;
        Request request;
        while (reader.read(line, request.headers, request.body)) {
            const std::size_t a = line.find(' ');
            const std::size_t b = line.find(' ', a + 1);
            request.method = line.substr(0, a);
            request.target = line.substr(a + 1, b - a - 1);
            const Response response = state->handler(request);
            {
                const std::lock_guard guard(state->mutex);
                if (state->isStopped || response.isDropped) {
                    break;
                }
            }
            sendAll(fd,
                    "HTTP/1.1 " + std::to_string(response.status)
                        + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(response.body.size()) + "\r\n\r\n" + response.body);
        }
        const std::lock_guard guard(state->mutex);
        state->connections.erase(fd);
        ::close(fd);
    }

    std::shared_ptr<State> m_state;
    std::uint16_t m_port = 0;
    int m_fd = -1;
    std::thread m_acceptor;
};

struct Answer
{
    int status = 0; ///< 0: none
    std::string body;
};

inline Answer call(const std::string &address,
                   const std::string &method,
                   const std::string &target,
                   const std::string &body = {},
                   const std::string &host = "queue.example",
                   Ms timeoutMs = 3000,
                   const std::string &headerLines = {})
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to = loopback(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
    Answer answer;
    if (::connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0) {
        sendAll(fd,
                method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\n"
                    + headerLines + "X-Quetzalrock-Deadline-Ms: " + std::to_string(timeoutMs)
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        MessageReader reader(fd);
        std::string line;
        std::map<std::string, std::string> headers;
        if (reader.read(line, headers, answer.body, timeoutMs)) {
            answer.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
        }
    }
    ::close(fd);
    return answer;
}

// ---------------------------------------------------------------------------------------------------------------------
// Base64 and URLs
// ---------------------------------------------------------------------------------------------------------------------

inline std::string toBase64(const std::string &bytes)
{
    static const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t n = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            n = n << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k <= bytes.size() ? Digits[n >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

inline std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t n = 0;
    int bits = 0;
    for (const char it : text) {
        const int digit = it >= 'A' && it <= 'Z'   ? it - 'A'
                          : it >= 'a' && it <= 'z' ? it - 'a' + 26
                          : it >= '0' && it <= '9' ? it - '0' + 52
                          : it == '+'              ? 62
                          : it == '/'              ? 63
                                                   : -1;
        if (digit < 0) {
            continue;
        }
        n = n << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(n >> bits & 255U);
        }
    }
    return bytes;
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t next = target.find('&', at + 1);
        const std::string field = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        const std::size_t sign = field.find('=');
        std::string value;
        for (std::size_t i = sign + 1; sign != std::string::npos && i < field.size(); ++i) {
            if (field[i] == '%' && i + 2 < field.size()) {
                value += static_cast<char>(std::stoi(field.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                value += field[i];
            }
        }
        query[field.substr(0, sign)] = value;
        at = next;
    }
    return query;
}

// ---------------------------------------------------------------------------------------------------------------------
// Store
// ---------------------------------------------------------------------------------------------------------------------

class Store
{
public:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Plan ///< what happens to a change
    {
        Ms doneAfterMs = -1; ///< -1: done at once and answered; else done so much later, and never answered
    };

    /** Called with the body of each change and the sender's tag before it is done, without the lock. */
    std::function<Plan(const json &)> onChange;

    Store()
        : m_server([this](const Request &it) { return handle(it); })
        , m_expiry([this] { expireLeases(); })
    {
        m_server.start();
    }
    ~Store()
    {
        {
            const std::lock_guard guard(m_mutex);
            m_isStopped = true;
        }
        m_changed.notify_all();
        m_expiry.join();
        m_server.stop();
    }
    std::string address() const
    {
        return m_server.address();
    }
    /** A write by the operator or a minion. */
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard guard(m_mutex);
        ++m_revision;
        write(key, value, 0);
        m_changed.notify_all();
    }
    void remove(const std::string &key)
    {
        const std::lock_guard guard(m_mutex);
        if (m_items.contains(key)) {
            ++m_revision;
            erase(key);
            m_changed.notify_all();
        }
    }
    std::optional<Item> get(const std::string &key)
    {
        const std::lock_guard guard(m_mutex);
        const auto it = m_items.find(key);
        return it == m_items.end() ? std::nullopt : std::optional(it->second);
    }
    std::vector<std::string> keys(const std::string &prefix)
    {
        const std::lock_guard guard(m_mutex);
        std::vector<std::string> list;
        for (const auto &[key, item] : m_items) {
            if (key.starts_with(prefix)) {
                list.push_back(key);
            }
        }
        return list;
    }

private:
    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<Item> item;
    };
    struct Lease
    {
        Ms until = 0;
        Ms ttl = 0;
    };

    void write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        Item &it = m_items[key];
        it.created = it.created == 0 ? m_revision : it.created;
        it.value = value;
        it.revision = m_revision;
        it.lease = lease;
        m_history.push_back({key, m_revision, it});
    }
    void erase(const std::string &key)
    {
        m_items.erase(key);
        m_history.push_back({key, m_revision, std::nullopt});
    }
    static json itemJson(const std::string &key, const Item &it)
    {
        return {{"key", key},
                {"value", toBase64(it.value)},
                {"revision", it.revision},
                {"created", it.created},
                {"lease", it.lease}};
    }
    void endLease(std::uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto &[key, it] : m_items) {
            if (it.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const std::string &it : keys) {
            ++m_revision;
            erase(it);
        }
        m_leases.erase(lease);
        m_changed.notify_all();
    }
    void expireLeases()
    {
        std::unique_lock lock(m_mutex);
        while (!m_isStopped) {
            m_tick.wait_for(lock, std::chrono::milliseconds(10));
            const Ms now = nowMs();
            std::vector<std::uint64_t> ended;
            for (const auto &[id, it] : m_leases) {
                if (now >= it.until) {
                    ended.push_back(id);
                }
            }
            for (const std::uint64_t it : ended) {
                endLease(it);
            }
        }
    }
    Response apply(const json &body)
    {
        const std::lock_guard guard(m_mutex);
        json current = json::array();
        bool holds = true;
        for (const json &it : body.value("expected", json::array())) {
            const std::string key = it.at("key");
            const auto found = m_items.find(key);
            holds = holds
                    && (found == m_items.end() ? 0 : found->second.revision) == it.at("revision").get<std::uint64_t>();
            if (found != m_items.end()) {
                current.push_back(itemJson(key, found->second));
            }
        }
        if (!holds) {
            return {412, json{{"items", current}, {"at", m_revision}}.dump()};
        }
        for (const json &it : body.value("puts", json::array())) {
            const std::uint64_t lease = it.value("lease", std::uint64_t{0});
            if (lease != 0 && !m_leases.contains(lease)) {
                return {404, "{}"};
            }
        }
        ++m_revision;
        for (const json &it : body.value("puts", json::array())) {
            write(it.at("key"), fromBase64(it.at("value")), it.value("lease", std::uint64_t{0}));
        }
        for (const json &it : body.value("remove", json::array())) {
            if (m_items.contains(it.get<std::string>())) {
                erase(it);
            }
        }
        m_changed.notify_all();
        return {200, json{{"revision", m_revision}}.dump()};
    }
    Response watch(const std::map<std::string, std::string> &query)
    {
        const std::string prefix = query.at("prefix");
        const std::uint64_t after = std::stoull(query.at("after"));
        const Ms until = nowMs() + std::stoll(query.at("waitMs"));
        std::unique_lock lock(m_mutex);
        std::size_t seen = 0;
        json events = json::array();
        while (true) {
            for (; seen < m_history.size(); ++seen) {
                const Event &it = m_history[seen];
                if (it.revision <= after || !it.key.starts_with(prefix)) {
                    continue;
                }
                events.push_back(it.item ? itemJson(it.key, *it.item)
                                         : json{{"key", it.key}, {"revision", it.revision}, {"deleted", true}});
            }
            const Ms left = until - nowMs();
            if (!events.empty() || left <= 0 || m_isStopped) {
                return {200, json{{"events", events}, {"at", m_revision}}.dump()};
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(left));
        }
    }
    Response range(const std::map<std::string, std::string> &query)
    {
        constexpr std::size_t MaxItems = 500;
        const std::string prefix = query.at("prefix");
        const std::string after = query.contains("after") ? query.at("after") : "";
        const std::lock_guard guard(m_mutex);
        json items = json::array();
        bool hasMore = false;
        for (const auto &[key, it] : m_items) {
            if (!key.starts_with(prefix) || key <= after) {
                continue;
            }
            hasMore = items.size() == MaxItems;
            if (hasMore) {
                break;
            }
            items.push_back(itemJson(key, it));
        }
        return {200, json{{"items", items}, {"hasMore", hasMore}, {"at", m_revision}}.dump()};
    }
    Response handle(const Request &request)
    {
        const std::string path = request.target.substr(0, request.target.find('?'));
        const auto query = queryOf(request.target);
        if (path == "/kv-key") {
            const std::lock_guard guard(m_mutex);
            const auto it = m_items.find(query.at("key"));
            if (it == m_items.end()) {
                return {404, json{{"at", m_revision}}.dump()};
            }
            json body = itemJson(it->first, it->second);
            body["at"] = m_revision;
            return {200, body.dump()};
        }
        if (path == "/kv-range") {
            return range(query);
        }
        if (path == "/kv-watch") {
            return watch(query);
        }
        if (path == "/kv-txn") {
            const json body = json::parse(request.body);
            const Plan plan = onChange ? onChange(body) : Plan{};
            if (plan.doneAfterMs >= 0) {
                sleepMs(plan.doneAfterMs);
                apply(body);
                return {0, {}, true};
            }
            return apply(body);
        }
        const std::lock_guard guard(m_mutex);
        if (path == "/kv-lease") {
            const Ms ttl = json::parse(request.body).at("ttlMs");
            m_leases[++m_lastLease] = {nowMs() + ttl, ttl};
            return {200, json{{"lease", m_lastLease}, {"ttlMs", ttl}}.dump()};
        }
        if (path.starts_with("/kv-keep/")) {
            const auto it = m_leases.find(std::stoull(path.substr(9)));
            if (it == m_leases.end()) {
                return {404, "{}"};
            }
            it->second.until = nowMs() + it->second.ttl;
            return {200, "{}"};
        }
        if (path.starts_with("/kv-lease-end/")) {
            endLease(std::stoull(path.substr(14)));
            return {200, "{}"};
        }
        return {404, "{}"};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::condition_variable m_tick;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::uint64_t m_revision = 1;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_lastLease = 0;
    bool m_isStopped = false;
    HttpServer m_server;
    std::thread m_expiry;
};

// ---------------------------------------------------------------------------------------------------------------------
// Minions
// ---------------------------------------------------------------------------------------------------------------------

struct Capacity
{
    Ms cpu = 0;
    Ms memMb = 0;
    Ms gpu = 0;
};

/** What a run needs and how long it takes; told by the case from the spec, as the minion is not told of it otherwise. */
struct TaskShape
{
    Ms durationMs = 0; ///< 0: until it is stopped
    Capacity need;
};

struct RunEvent ///< of all minions, for the judgement of a case
{
    Ms at = 0;
    std::string minion;
    std::string task;
    std::uint64_t attempt = 0;
    std::string what; ///< start, or how it ended
};

class RunLog
{
public:
    void add(const RunEvent &event)
    {
        const std::lock_guard guard(m_mutex);
        m_events.push_back(event);
    }
    std::vector<RunEvent> events() const
    {
        const std::lock_guard guard(m_mutex);
        return m_events;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<RunEvent> m_events;
};

class Minion
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        std::string zone;
        std::vector<std::string> labels; ///< kind, then rack
        Capacity capacity;
        bool guardsCapacity = true;
        std::function<TaskShape(const std::string &spec)> shapeOf;
    };

    std::atomic<bool> isShedding = false; ///< answers starts with 503 and does nothing

    /**
     * Called with each start before it is handled, without the lock. A result of >= 0: no answer, and done so much later, if
     * this life lasts until then.
     */
    std::function<Ms(const json &)> onStart;

    Minion(Settings settings, Record &record, RunLog &log)
        : m_settings(std::move(settings))
        , m_record(record)
        , m_log(log)
        , m_server([this](const Request &it) { return handle(it); })
        , m_clock([this] { runClock(); })
    {
        begin();
        m_server.start();
    }
    ~Minion()
    {
        {
            const std::lock_guard guard(m_mutex);
            m_isStopped = true;
            ++m_life;
        }
        m_wake.notify_all();
        m_clock.join();
        m_server.stop();
    }
    const std::string &id() const
    {
        return m_settings.id;
    }
    std::string address() const
    {
        return m_server.address();
    }
    Ms lastExtensionAt() const ///< when the last hold came that extends the lease
    {
        return m_lastExtensionAt;
    }
    /** The process ends at once; what it ran is gone. */
    void crash()
    {
        {
            const std::lock_guard guard(m_mutex);
            m_isUp = false;
            ++m_life;
            for (const Run &it : m_runs) {
                m_log.add({nowMs(), id(), it.task, it.attempt, "crashed"});
            }
            m_runs.clear();
            m_ends.clear();
        }
        m_wake.notify_all();
        m_server.stop();
        m_record.write("minion ", id(), " crashes");
    }
    /** Starts again under the same id and address. */
    void restart()
    {
        {
            const std::lock_guard guard(m_mutex);
            begin();
        }
        m_server.start();
        m_record.write("minion ", id(), " is up again, born ", m_born);
    }
    bool isUp()
    {
        const std::lock_guard guard(m_mutex);
        return m_isUp;
    }
    std::string entry()
    {
        const std::lock_guard guard(m_mutex);
        return json{{"service", m_settings.service},
                    {"address", m_server.address()},
                    {"zone", m_settings.zone},
                    {"version", "1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"coldLeftMs", 0},
                    {"sequence", ++m_sequence},
                    {"born", m_born},
                    {"capacity",
                     {{"cpu", m_settings.capacity.cpu},
                      {"memMb", m_settings.capacity.memMb},
                      {"gpu", m_settings.capacity.gpu}}},
                    {"labels", m_settings.labels}}
            .dump();
    }
    std::size_t runningCount()
    {
        const std::lock_guard guard(m_mutex);
        return m_runs.size();
    }
    Ms leaseUntil() ///< on the steady clock of this process
    {
        const std::lock_guard guard(m_mutex);
        return m_leaseMs + m_startedAt;
    }

private:
    struct Run
    {
        std::string task;
        std::uint64_t attempt = 0;
        TaskShape shape;
        Ms endsAt = 0; ///< on the steady clock; 0: does not end by itself
        bool isStopping = false;
    };

    void begin()
    {
        m_isUp = true;
        ++m_life;
        m_born = wallMs();
        m_startedAt = nowMs() - 1000;
        m_sequence = 0;
        m_lastEnd = 0;
        m_fence = 0;
        m_leaseMs = 0;
        m_runs.clear();
        m_ends.clear();
        m_highestEnded.clear();
    }
    Ms clockMs() const
    {
        return nowMs() - m_startedAt;
    }
    void end(const Run &run, const std::string &how)
    {
        m_ends.push_back(json::array({++m_lastEnd, run.task, run.attempt, how, ""}));
        auto &highest = m_highestEnded[run.task];
        highest = std::max(highest, run.attempt);
        m_log.add({nowMs(), id(), run.task, run.attempt, how});
        m_record.write("minion ", id(), " run ", run.task, "/", run.attempt, " ends ", how);
        m_wake.notify_all();
    }
    void runClock()
    {
        std::unique_lock lock(m_mutex);
        while (!m_isStopped) {
            m_tick.wait_for(lock, std::chrono::milliseconds(5));
            const bool hasLapsed = !m_runs.empty() && clockMs() >= m_leaseMs;
            std::vector<Run> left;
            const std::vector<Run> runs = m_runs;
            for (const Run &it : runs) {
                if (hasLapsed) {
                    end(it, "lapsed");
                } else if (it.endsAt != 0 && nowMs() >= it.endsAt) {
                    end(it, it.isStopping ? "stopped" : "done");
                } else {
                    left.push_back(it);
                }
            }
            m_runs = left;
        }
    }
    json clockBody() const
    {
        return {{"clockMs", clockMs()}, {"born", m_born}};
    }
    Response reject(const std::string &reason) const
    {
        json body = clockBody();
        body["reason"] = reason;
        return {409, body.dump()};
    }
    bool isFenced(const json &body)
    {
        const std::uint64_t fence = body.value("fenceToken", std::uint64_t{0});
        if (fence < m_fence) {
            return true;
        }
        m_fence = fence;
        return false;
    }
    void extendLease(const json &body)
    {
        constexpr Ms MaxLeaseMs = 10'000;
        if (body.contains("deadlineMs")) {
            m_leaseMs = std::max(m_leaseMs, std::min(body.at("deadlineMs").get<Ms>(), clockMs() + MaxLeaseMs));
        }
    }
    Response start(const json &body)
    {
        const std::string task = body.at("task");
        const std::uint64_t attempt = body.at("attempt");
        const std::string name = task + "/" + std::to_string(attempt);
        if (isShedding) {
            m_record.write("minion ", id(), " rejects ", name, " with 503");
            return {503, "{}"};
        }
        if (isFenced(body)) {
            return reject("fence");
        }
        if (body.at("deadlineMs").get<Ms>() < clockMs()) {
            return reject("late");
        }
        for (const Run &it : m_runs) {
            if (it.task == task && it.attempt == attempt) {
                extendLease(body);
                return {200, clockBody().dump()};
            }
        }
        if (const auto it = m_highestEnded.find(task); it != m_highestEnded.end() && attempt <= it->second) {
            extendLease(body);
            return reject("old");
        }
        const TaskShape shape = m_settings.shapeOf(body.at("spec"));
        Capacity used = shape.need;
        for (const Run &it : m_runs) {
            used.cpu += it.shape.need.cpu;
            used.memMb += it.shape.need.memMb;
        }
        if (m_settings.guardsCapacity
            && (used.cpu > m_settings.capacity.cpu || used.memMb > m_settings.capacity.memMb)) {
            extendLease(body);
            m_record.write("minion ", id(), " rejects ", name, " for lack of room");
            return reject("room");
        }
        extendLease(body);
        m_runs.push_back({task, attempt, shape, shape.durationMs == 0 ? 0 : nowMs() + shape.durationMs, false});
        m_log.add({nowMs(), id(), task, attempt, "start"});
        m_record.write("minion ", id(), " starts ", name);
        return {200, clockBody().dump()};
    }
    Response stop(const json &body)
    {
        constexpr Ms StopMs = 100;
        if (isFenced(body)) {
            return reject("fence");
        }
        const std::string task = body.at("task");
        const std::uint64_t attempt = body.at("attempt");
        auto &highest = m_highestEnded[task];
        highest = std::max(highest, attempt);
        for (Run &it : m_runs) {
            if (it.task == task && it.attempt <= attempt && !it.isStopping) {
                it.isStopping = true;
                it.endsAt = nowMs() + StopMs;
                m_record.write("minion ", id(), " stops ", task, "/", it.attempt);
            }
        }
        return {200, clockBody().dump()};
    }
    Response hold(const json &body, std::unique_lock<std::mutex> &lock)
    {
        if (isFenced(body)) {
            return reject("fence");
        }
        extendLease(body);
        m_lastExtensionAt = body.contains("deadlineMs") ? nowMs() : m_lastExtensionAt.load();
        const std::uint64_t lastSeen = body.value("lastSeen", std::uint64_t{0});
        std::erase_if(m_ends, [lastSeen](const json &it) { return it.at(0).get<std::uint64_t>() <= lastSeen; });
        const Ms until = nowMs() + body.value("waitMs", Ms{0});
        const std::uint64_t life = m_life;
        while (m_ends.empty() && nowMs() < until && m_life == life) {
            m_wake.wait_for(lock, std::chrono::milliseconds(until - nowMs()));
        }
        if (m_life != life) {
            return {0, {}, true};
        }
        json answer = clockBody();
        answer["running"] = json::array();
        for (const Run &it : m_runs) {
            answer["running"].push_back(json::array({it.task, it.attempt, "", 100, it.shape.need.cpu}));
        }
        answer["finished"] = m_ends;
        return {200, answer.dump()};
    }
    Response handle(const Request &request)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return {400, "{}"};
        }
        std::uint64_t life = 0;
        {
            const std::lock_guard guard(m_mutex);
            life = m_life;
        }
        if (request.target == "/run-start" && onStart) {
            if (const Ms delay = onStart(body); delay >= 0) {
                sleepMs(delay);
                const std::lock_guard guard(m_mutex);
                if (life == m_life) {
                    start(body);
                }
                return {0, {}, true};
            }
        }
        std::unique_lock lock(m_mutex);
        if (!m_isUp) {
            return {0, {}, true};
        }
        const auto expected = request.headers.find("x-quetzalrock-expect-instance");
        if (expected != request.headers.end() && expected->second != id()) {
            return {421, clockBody().dump()};
        }
        if (request.target == "/run-start") {
            return start(body);
        }
        if (request.target == "/run-stop") {
            return stop(body);
        }
        if (request.target == "/hold") {
            return hold(body, lock);
        }
        return {request.target == "/pace" ? 200 : 404, clockBody().dump()};
    }

    Settings m_settings;
    Record &m_record;
    RunLog &m_log;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_tick;
    bool m_isUp = false;
    bool m_isStopped = false;
    std::uint64_t m_life = 0;
    Ms m_born = 0;
    Ms m_startedAt = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_fence = 0;
    Ms m_leaseMs = 0; ///< on the minion's clock
    std::atomic<Ms> m_lastExtensionAt = 0;
    std::vector<Run> m_runs;
    std::vector<json> m_ends;
    std::map<std::string, std::uint64_t> m_highestEnded;
    HttpServer m_server;
    std::thread m_clock;
};

/** Writes the entries of the minions that are up each 1.5 s, and removes an entry after three intervals of silence. */
class Heartbeats
{
public:
    Heartbeats(Store &store, std::vector<std::unique_ptr<Minion>> &minions)
        : m_store(store)
        , m_minions(minions)
    {
        beat();
        m_thread = std::thread([this] {
            for (int i = 1; !m_isStopped; ++i) {
                sleepMs(50);
                if (i % 30 == 0) {
                    beat();
                }
            }
        });
    }
    ~Heartbeats()
    {
        m_isStopped = true;
        m_thread.join();
    }

private:
    void beat()
    {
        constexpr Ms SilenceMs = 4500;
        for (const auto &it : m_minions) {
            if (it->isUp()) {
                m_store.put("servers/" + it->id(), it->entry());
                m_lastBeat[it->id()] = nowMs();
            } else if (nowMs() >= m_lastBeat[it->id()] + SilenceMs) {
                m_store.remove("servers/" + it->id());
            }
        }
    }

    Store &m_store;
    std::vector<std::unique_ptr<Minion>> &m_minions;
    std::map<std::string, Ms> m_lastBeat;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

// ---------------------------------------------------------------------------------------------------------------------
// Nodes
// ---------------------------------------------------------------------------------------------------------------------

inline std::uint16_t freePort()
{
    for (int i = 0; i < 200; ++i) {
        const auto port = static_cast<std::uint16_t>(
            16'000 + (static_cast<unsigned>(std::rand()) ^ static_cast<unsigned>(::getpid())) % 16'000);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(port);
        const bool isFree = ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree) {
            return port;
        }
    }
    std::exit(2);
}

class NodeProcess;

/** What a case has to leave behind as it found it. */
struct Cleanup
{
    std::string folder;
    std::vector<NodeProcess *> nodes;
};

inline Cleanup &cleanup()
{
    static Cleanup it;
    return it;
}

class NodeProcess
{
public:
    /** @p storeAddress may be that of a proxy. */
    NodeProcess(const std::string &folder, std::string name, const std::string &zone, const std::string &storeAddress)
        : m_folder(folder)
        , m_name(std::move(name))
        , m_requests("127.0.0.1:" + std::to_string(freePort()))
        , m_ready("127.0.0.1:" + std::to_string(freePort()))
    {
        // As deploy/node.ini is filled in for a small deployment.
        std::ofstream(m_folder + "/" + m_name + ".ini")
            << "[process]\nname = " << m_name << "\nfailure_domain = " << zone << "\nprocessor_share = 0.1\n"
            << "[listen]\nrequests = " << m_requests << "\nready = " << m_ready << "\n"
            << "[platform]\nkind = fleet\nstore = " << storeAddress << "\nadvice =\n"
            << "[workflow]\nworker_lease_limit_ms = 10000\nmax_catalog_age_ms = 2000\n";
        cleanup().nodes.push_back(this);
    }
    void start()
    {
        const std::string program = "target/packages/daemon/quetzalrockd";
        const std::string log = m_folder + "/" + m_name + ".log";
        const std::string config = m_folder + "/" + m_name + ".ini";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // however this process ends
            FILE *out = std::freopen(log.c_str(), "a", stdout);
            FILE *err = std::freopen(log.c_str(), "a", stderr);
            if (out != nullptr && err != nullptr) {
                ::execl(program.c_str(), program.c_str(), "--config", config.c_str(), nullptr);
            }
            ::_exit(127);
        }
    }
    void signal(int number)
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    /** Ends the process and waits for its end. */
    void kill(int number)
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, number);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }
    bool isRunning()
    {
        return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == 0;
    }
    bool isReady() const
    {
        return call(m_ready, "GET", "/readyz", {}, "ready", 500).status == 200;
    }
    bool waitUntilReady(Ms timeoutMs) const
    {
        const Ms until = nowMs() + timeoutMs;
        while (nowMs() < until) {
            if (isReady()) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }
    const std::string &name() const
    {
        return m_name;
    }
    const std::string &address() const
    {
        return m_requests;
    }
    std::string log() const
    {
        std::ifstream in(m_folder + "/" + m_name + ".log");
        return {std::istreambuf_iterator<char>(in), {}};
    }

private:
    std::string m_folder;
    std::string m_name;
    std::string m_requests;
    std::string m_ready;
    pid_t m_pid = 0;
};

/** Ends the nodes and this process at once: threads of connections may still use the stand-ins. */
[[noreturn]] inline void finish(int result)
{
    for (NodeProcess *it : cleanup().nodes) {
        it->kill(SIGKILL);
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(cleanup().folder);
    } else {
        std::cerr << "kept " << cleanup().folder << "\n";
    }
    std::cout << "exit " << result << std::endl;
    std::_Exit(result);
}

/** A temporary folder, which finish() removes unless KEEP is set. */
inline std::string makeTemporaryFolder()
{
    char name[] = "/tmp/review-XXXXXX";
    cleanup().folder = ::mkdtemp(name);
    return cleanup().folder;
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline std::string jobKey(unsigned n)
{
    char key[17];
    std::snprintf(key, sizeof key, "5c0e7a21%08x", n);
    return key;
}

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/** Runs a case that writes to the folder in @p argv, for two minutes at the most. */
inline int runCase(int argc, char **argv, void (*run)(const std::string &))
{
    constexpr unsigned LimitS = 115;
    if (argc != 2) {
        return CouldNotRun;
    }
    std::signal(SIGALRM, [](int) { ::_exit(CouldNotRun); }); // the nodes end with this process
    std::signal(SIGPIPE, SIG_IGN);
    ::alarm(LimitS);
    run(argv[1]);
    finish(CouldNotRun);
}

} // namespace standin
