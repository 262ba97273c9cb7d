/**
 * A caller's connection and the writer of answers to it.
 *
 * Pistache parses requests. Answers are written here because Pistache's own writer loops while a caller does not read
 * and thereby blocks all other callers of its thread.
 *
 * Index of this file
 *   CallerConnection   state of a connection
 *   AnswerWriter       writes at once what the socket buffer takes, and the rest as the caller reads
 */
#pragma once

#include <requests/message.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace QuetzalRock::detail {

struct CallerConnection
{
    CallerConnection() = default;
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    std::mutex mutex;                 ///< guards all members below
    int fd = -1;                      ///< duplicate, so that its number is not reused for another caller; -1: closed
    std::string output;               ///< head and body of the answer being written
    std::size_t sentBytes = 0;        ///< bytes of output that the kernel has taken
    std::uint64_t pendingWriteId = 0; ///< key in AnswerWriter::m_pendingWrites; 0: none
    TimePoint writeStartedAt;
    TimePoint activeAt;  ///< when the last request arrived or the last answer was written
    bool isBusy = false; ///< a request is in progress or its answer is being written
    bool isClosedAfterAnswer = false;
};

using ConnectionPtr = std::shared_ptr<CallerConnection>;

/** Serialises an HTTP/1.1 response. @p hasBody: false in answer to HEAD. */
std::string toHttp(const CallerResponse &response, bool hasBody, bool keepAlive);

class AnswerWriter
{
public:
    using OnWritten = std::function<void()>; ///< called on the writer's thread or within write()

    explicit AnswerWriter(Clock &clock);
    ~AnswerWriter();
    AnswerWriter(const AnswerWriter &) = delete;
    AnswerWriter &operator=(const AnswerWriter &) = delete;

    /** Writes @p text. Calls @p onWritten once the kernel has taken it or the connection is lost. One at a time. */
    void write(const ConnectionPtr &connection, std::string text, OnWritten onWritten);

    /** Closes the connection and drops unsent output. */
    void endConnection(const ConnectionPtr &connection);

    void stop(); ///< call endConnection() for every connection first

    std::uint64_t unsentBytes() const;

private:
    struct PendingWrite
    {
        ConnectionPtr connection;
        OnWritten onWritten;
    };

    void run();
    void resumeWrite(std::uint64_t id);
    OnWritten takeCallback(std::uint64_t id);
    std::size_t sendAvailable(CallerConnection &connection, bool &failed) const;
    void finishAnswer(CallerConnection &connection) const;

    Clock &m_clock;
    int m_epoll;
    int m_wakeup;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::uint64_t> m_unsentBytes = 0;
    std::mutex m_mutex; ///< guards the two members below; lock order: CallerConnection::mutex first
    std::unordered_map<std::uint64_t, PendingWrite> m_pendingWrites;
    std::uint64_t m_lastId = 0;
    std::thread m_thread; ///< duty: callers that read slowly
};

} // namespace QuetzalRock::detail
