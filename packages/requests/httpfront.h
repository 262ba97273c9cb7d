/**
 * The HTTP side towards callers: a Pistache server that turns HTTP into calls of a RequestSink.
 *
 * Use
 *   HttpFront front(settings, clock, path);                    // path: a RequestPath, or any other sink
 *   front.addRoute("GET", "/healthz", [](const auto &) { ... }); // before start(); quick, runs on the server's thread
 *   front.start();  ...  front.stop();
 *
 * What it makes sure of
 *   - A connection has one request in work at a time; those that follow on it wait, so answers keep their order.
 *   - An answer goes to the connection that asked, or nowhere: it is written to our own duplicate of the descriptor,
 *     whose number cannot be taken again by another caller.
 *   - A caller that does not read holds up nobody else.
 *   - Header, body, connections and unread answers are bounded.
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

/** Who takes requests. submit() never blocks; @p done is called exactly once, on any thread, and must be quick. */
class RequestSink
{
public:
    using Done = std::function<void(CallerResponse)>;

    virtual ~RequestSink() = default;

    virtual void submit(CallerRequest request, Done done) = 0;
};

struct FrontCounters
{
    std::uint64_t connections = 0;        ///< open now
    std::uint64_t unsentBytes = 0;        ///< answers not yet taken by their callers
    std::uint64_t inProgress = 0;         ///< requests taken and not yet answered
    std::uint64_t refusedConnections = 0; ///< over the limit
    std::uint64_t slowReaders = 0;        ///< cut off
    std::uint64_t callersGone = 0;        ///< answers whose caller had hung up
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
    void start();
    std::uint16_t port() const; ///< after start()
    void closeAfterAnswers();   ///< from now on each connection ends after its next answer; any thread
    void stop();                ///< closes every connection; drain first, see RequestPath::isDrained() and unanswered()

    /** Requests in work and answers not yet on the wire: stop() cuts nothing off once this is 0. */
    std::uint64_t unanswered() const;
    FrontCounters counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace QuetzalRock
