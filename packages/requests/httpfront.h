/**
 * HTTP front end for callers: a Pistache server that passes HTTP requests to a RequestSink.
 *
 * Use
 *   HttpFront front(settings, clock, path);                    // path: a RequestPath, or any other sink
 *   front.addRoute("GET", "/healthz", [](const auto &) { ... }); // before start(); must not block the server's thread
 *   front.start();  ...  front.stop();
 *
 * Guarantees
 *   - A connection has one request in progress at a time and later ones are queued, so answers keep their order.
 *   - An answer is written to the connection of its request or dropped: it is written to a duplicate of the descriptor,
 *     whose number is not reused for another caller while the duplicate is open.
 *   - A caller that does not read its answer does not delay other callers.
 *   - The sizes of headers and bodies, the number of connections and the bytes of unread answers are bounded.
 *
 * Pitfalls: two requests in one TCP segment (HTTP pipelining) are not supported by Pistache: the second is dropped.
 * Repeated request headers and repeated query parameters of one name reach the upstream once.
 */
#pragma once

#include <requests/message.h>
#include <requests/settings.h>

#include <functional>
#include <memory>

namespace QuetzalRock {

/** Receives requests. submit() never blocks; @p done is called exactly once, on any thread, and must not block. */
class RequestSink
{
public:
    using Done = std::function<void(CallerResponse)>;

    virtual ~RequestSink() = default;

    virtual void submit(CallerRequest request, Done done) = 0;
};

struct FrontCounters
{
    std::uint64_t connections = 0;         ///< open now
    std::uint64_t unsentBytes = 0;         ///< of answers that callers have not yet read
    std::uint64_t inProgress = 0;          ///< requests received and not yet answered
    std::uint64_t refusedConnections = 0;  ///< beyond RequestSettings::maxCallerConnections
    std::uint64_t slowReadersClosed = 0;   ///< connections closed after slowReaderTimeout
    std::uint64_t disconnectedCallers = 0; ///< answers whose caller had disconnected
};

class HttpFront
{
public:
    using Route = std::function<CallerResponse(const CallerRequest &)>;

    HttpFront(const RequestSettings &settings, Clock &clock, RequestSink &sink);
    ~HttpFront();
    HttpFront(const HttpFront &) = delete;
    HttpFront &operator=(const HttpFront &) = delete;

    void addRoute(std::string_view method, std::string_view path, Route route);
    void start();               ///< throws the system's error if it cannot listen; stop() has no effect then
    std::uint16_t port() const; ///< after start()
    void closeAfterAnswers();   ///< from now on a connection closes after its next answer; any thread
    void stop();                ///< closes all connections; drain first, see RequestPath::isDrained()

    /** Requests in progress and answers not fully written; once 0, stop() interrupts none. */
    std::uint64_t unanswered() const;
    FrontCounters counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace QuetzalRock
