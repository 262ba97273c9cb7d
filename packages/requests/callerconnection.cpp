#include <requests/callerconnection.h>

#include <array>
#include <cerrno>

#include <pistache/http_defs.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace QuetzalRock::detail {

namespace {

constexpr std::uint64_t WakeupId = 0;

bool mayHaveBody(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

} // namespace

std::string toHttp(const CallerResponse &response, bool hasBody, bool keepAlive)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
    text += Pistache::Http::codeString(static_cast<Pistache::Http::Code>(response.status));
    text += "\r\n";
    for (const HeaderField &it : response.headers) {
        text += it.name + ": " + it.value + "\r\n";
    }
    if (hasBody && mayHaveBody(response.status)) {
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    text += keepAlive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
    if (hasBody && mayHaveBody(response.status)) {
        text += response.body;
    }
    return text;
}

CallerConnection::~CallerConnection()
{
    if (fd >= 0) {
        ::close(fd);
    }
}

AnswerWriter::AnswerWriter(Clock &clock)
    : m_clock(clock)
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = WakeupId;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event);
    m_thread = std::thread([this] { run(); });
}

AnswerWriter::~AnswerWriter()
{
    stop();
    ::close(m_wakeup);
    ::close(m_epoll);
}

void AnswerWriter::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_ended = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = ::write(m_wakeup, &one, sizeof one);
    m_thread.join();
}

std::uint64_t AnswerWriter::unsentBytes() const
{
    return m_unsentBytes;
}

/** Gives the kernel what it takes; how much that was. */
std::size_t AnswerWriter::pushOut(CallerConnection &connection, bool &failed) const
{
    const std::size_t before = connection.offset;
    while (connection.fd >= 0 && connection.offset < connection.unsent.size()) {
        const char *data = connection.unsent.data() + connection.offset;
        const std::size_t size = connection.unsent.size() - connection.offset;
        const ssize_t n = ::send(connection.fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0) {
            failed = errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
            break;
        }
        connection.offset += static_cast<std::size_t>(n);
    }
    failed = failed || connection.fd < 0;
    return connection.offset - before;
}

void AnswerWriter::finish(CallerConnection &connection) const
{
    connection.unsent.clear();
    connection.unsent.shrink_to_fit();
    connection.offset = 0;
    connection.entry = 0;
    connection.activeAt = m_clock.now();
    if (connection.closeAfter && connection.fd >= 0) {
        ::shutdown(connection.fd, SHUT_WR);
    }
}

void AnswerWriter::write(const ConnectionPtr &connection, std::string text, Written written)
{
    std::unique_lock lock(connection->mutex);
    connection->unsent = std::move(text);
    connection->offset = 0;
    connection->unsentSince = m_clock.now();
    bool failed = false;
    pushOut(*connection, failed);
    const std::size_t left = connection->unsent.size() - connection->offset;
    if (failed || left == 0) {
        finish(*connection);
        lock.unlock();
        written();
        return;
    }
    m_unsentBytes += left;
    const int fd = connection->fd;
    std::uint64_t id = 0;
    {
        std::lock_guard guard(m_mutex);
        id = ++m_lastId;
        m_entries.emplace(id, Entry{connection, std::move(written)});
    }
    connection->entry = id;
    epoll_event event{};
    event.events = EPOLLOUT | EPOLLONESHOT;
    event.data.u64 = id;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event); // under the connection's lock: the descriptor is still open
}

void AnswerWriter::end(const ConnectionPtr &connection)
{
    std::uint64_t id = 0;
    {
        std::lock_guard guard(connection->mutex);
        if (connection->fd < 0) {
            return;
        }
        id = connection->entry;
        if (id != 0) {
            epoll_ctl(m_epoll, EPOLL_CTL_DEL, connection->fd, nullptr);
            m_unsentBytes -= connection->unsent.size() - connection->offset;
        }
        ::close(connection->fd);
        connection->fd = -1;
        finish(*connection);
    }
    if (const Written written = takeWritten(id)) {
        written();
    }
}

/** Whoever takes the entry out calls what waits for it: once. */
AnswerWriter::Written AnswerWriter::takeWritten(std::uint64_t id)
{
    std::lock_guard guard(m_mutex);
    const auto node = m_entries.extract(id);
    return node.empty() ? Written() : node.mapped().written;
}

void AnswerWriter::resume(std::uint64_t id)
{
    Entry entry;
    {
        std::lock_guard guard(m_mutex);
        const auto it = m_entries.find(id);
        if (it == m_entries.end()) {
            return;
        }
        entry = it->second;
    }
    CallerConnection &connection = *entry.connection;
    std::unique_lock lock(connection.mutex);
    bool failed = false;
    m_unsentBytes -= pushOut(connection, failed);
    const std::size_t left = connection.unsent.size() - connection.offset;
    if (!failed && left > 0) {
        epoll_event event{};
        event.events = EPOLLOUT | EPOLLONESHOT;
        event.data.u64 = id;
        epoll_ctl(m_epoll, EPOLL_CTL_MOD, connection.fd, &event);
        return;
    }
    m_unsentBytes -= left;
    if (connection.fd >= 0) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, connection.fd, nullptr);
    }
    finish(connection);
    lock.unlock();
    if (const Written written = takeWritten(id)) {
        written();
    }
}

void AnswerWriter::run()
{
    pthread_setname_np(pthread_self(), "answers");
    std::array<epoll_event, 64> events{};
    while (!m_ended) {
        const int n = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), -1);
        for (int i = 0; i < n; ++i) {
            const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
            if (id != WakeupId) {
                resume(id);
            }
        }
    }
}

} // namespace QuetzalRock::detail
