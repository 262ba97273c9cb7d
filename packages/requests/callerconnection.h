/**
 * A caller's connection and the writing of answers to it.
 *
 * Pistache parses requests; answers are written here, because its own writer waits in a loop for a caller that does not
 * read, and holds up every other caller of the same thread.
 *
 * Index of this file
 *   CallerConnection   what lives for a connection
 *   AnswerWriter       writes at once what the kernel takes, the rest when the caller reads
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

    std::mutex mutex; ///< guards all below
    int fd = -1; ///< our own duplicate, so that it can never mean another caller's connection; -1 once it has ended
    std::string unsent;      ///< head and body of the answer being written
    std::size_t offset = 0;  ///< so much of it has been taken by the kernel
    std::uint64_t entry = 0; ///< of AnswerWriter, while the caller reads slowly; 0: none
    TimePoint unsentSince;
    TimePoint activeAt; ///< last request or end of an answer
    bool busy = false;  ///< a request is in work or its answer is being written
    bool closeAfter = false;
};

using ConnectionPtr = std::shared_ptr<CallerConnection>;

/** Such as "HTTP/1.1 200 OK ..." with headers and body. @p hasBody: false in answer to HEAD. */
std::string toHttp(const CallerResponse &response, bool hasBody, bool keepAlive);

class AnswerWriter
{
public:
    using Written = std::function<void()>; ///< on the writer's thread or in write() itself

    explicit AnswerWriter(Clock &clock);
    ~AnswerWriter();
    AnswerWriter(const AnswerWriter &) = delete;
    AnswerWriter &operator=(const AnswerWriter &) = delete;

    /** Writes @p text; @p written is called once it is with the kernel, or the caller has gone. One at a time for each. */
    void write(const ConnectionPtr &connection, std::string text, Written written);

    /** The connection has ended: what is unsent is dropped. */
    void end(const ConnectionPtr &connection);

    void stop(); ///< end every connection first

    std::uint64_t unsentBytes() const;

private:
    struct Entry
    {
        ConnectionPtr connection;
        Written written;
    };

    void run();
    void resume(std::uint64_t id);
    Written takeWritten(std::uint64_t id);
    std::size_t pushOut(CallerConnection &connection, bool &failed) const;
    void finish(CallerConnection &connection) const;

    Clock &m_clock;
    int m_epoll;
    int m_wakeup;
    std::atomic<bool> m_ended = false;
    std::atomic<std::uint64_t> m_unsentBytes = 0;
    std::mutex m_mutex; ///< guards the two below; taken after a connection's, never before
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::uint64_t m_lastId = 0;
    std::thread m_thread; ///< duty: callers that read slowly
};

} // namespace QuetzalRock::detail
