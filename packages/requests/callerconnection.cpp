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
    m_isStopping = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = ::write(m_wakeup, &one, sizeof one);
    m_thread.join();
}

std::uint64_t AnswerWriter::unsentBytes() const
{
    return m_unsentBytes;
}

/** Sends as much as the socket buffer takes and returns the number of bytes. @p failed: the connection is lost. */
std::size_t AnswerWriter::sendAvailable(CallerConnection &connection, bool &failed) const
{
    const std::size_t before = connection.sentBytes;
    while (connection.fd >= 0 && connection.sentBytes < connection.output.size()) {
        const char *data = connection.output.data() + connection.sentBytes;
        const std::size_t size = connection.output.size() - connection.sentBytes;
        const ssize_t n = ::send(connection.fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0) {
            failed = errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
            break;
        }
        connection.sentBytes += static_cast<std::size_t>(n);
    }
    failed = failed || connection.fd < 0;
    return connection.sentBytes - before;
}

void AnswerWriter::finishAnswer(CallerConnection &connection) const
{
    connection.output.clear();
    connection.output.shrink_to_fit();
    connection.sentBytes = 0;
    connection.pendingWriteId = 0;
    connection.activeAt = m_clock.now();
    if (connection.isClosedAfterAnswer && connection.fd >= 0) {
        ::shutdown(connection.fd, SHUT_WR);
    }
}

void AnswerWriter::write(const ConnectionPtr &connection, std::string text, OnWritten onWritten)
{
    std::unique_lock lock(connection->mutex);
    connection->output = std::move(text);
    connection->sentBytes = 0;
    connection->writeStartedAt = m_clock.now();
    bool failed = false;
    sendAvailable(*connection, failed);
    const std::size_t left = connection->output.size() - connection->sentBytes;
    if (failed || left == 0) {
        finishAnswer(*connection);
        lock.unlock();
        onWritten();
        return;
    }
    m_unsentBytes += left;
    const int fd = connection->fd;
    std::uint64_t id = 0;
    {
        std::lock_guard guard(m_mutex);
        id = ++m_lastId;
        m_pendingWrites.emplace(id, PendingWrite{connection, std::move(onWritten)});
    }
    connection->pendingWriteId = id;
    epoll_event event{};
    event.events = EPOLLOUT | EPOLLONESHOT;
    event.data.u64 = id;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event); // the connection's mutex is held, so the descriptor is still open
}

void AnswerWriter::endConnection(const ConnectionPtr &connection)
{
    std::uint64_t id = 0;
    {
        std::lock_guard guard(connection->mutex);
        if (connection->fd < 0) {
            return;
        }
        id = connection->pendingWriteId;
        if (id != 0) {
            epoll_ctl(m_epoll, EPOLL_CTL_DEL, connection->fd, nullptr);
            m_unsentBytes -= connection->output.size() - connection->sentBytes;
        }
        ::close(connection->fd);
        connection->fd = -1;
        finishAnswer(*connection);
    }
    if (const OnWritten onWritten = takeCallback(id)) {
        onWritten();
    }
}

/** Removes a pending write and returns its callback, so that only one thread calls it; empty if already removed. */
AnswerWriter::OnWritten AnswerWriter::takeCallback(std::uint64_t id)
{
    std::lock_guard guard(m_mutex);
    const auto node = m_pendingWrites.extract(id);
    return node.empty() ? OnWritten() : node.mapped().onWritten;
}

void AnswerWriter::resumeWrite(std::uint64_t id)
{
    PendingWrite pending;
    {
        std::lock_guard guard(m_mutex);
        const auto it = m_pendingWrites.find(id);
        if (it == m_pendingWrites.end()) {
            return;
        }
        pending = it->second;
    }
    CallerConnection &connection = *pending.connection;
    std::unique_lock lock(connection.mutex);
    bool failed = false;
    m_unsentBytes -= sendAvailable(connection, failed);
    const std::size_t left = connection.output.size() - connection.sentBytes;
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
    finishAnswer(connection);
    lock.unlock();
    if (const OnWritten onWritten = takeCallback(id)) {
        onWritten();
    }
}

void AnswerWriter::run()
{
    pthread_setname_np(pthread_self(), "answers");
    std::array<epoll_event, 64> events{};
    while (!m_isStopping) {
        const int n = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), -1);
        for (int i = 0; i < n; ++i) {
            const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
            if (id != WakeupId) {
                resumeWrite(id);
            }
        }
    }
}

} // namespace QuetzalRock::detail
