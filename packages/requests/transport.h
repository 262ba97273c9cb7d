/**
 * The way to upstream instances, as the dispatcher sees it. CurlTransport is the real one; tests and benchmarks of
 * decisions bring their own.
 *
 * Index of this file
 *   Exchange, ExchangeResult   one try of a request at one instance
 *   UpstreamTransport          start, cancel, results
 */
#pragma once

#include <requests/message.h>

#include <cstdint>
#include <memory>

namespace QuetzalRock {

using ExchangeId = std::uint64_t; ///< never used twice by a process, so that late answers can be told apart

struct Exchange
{
    ExchangeId id = 0;
    std::string_view address;                     ///< "ip:port" of the instance
    std::shared_ptr<const CallerRequest> request; ///< kept until the exchange is over
    Duration timeLeft{};                          ///< passed on in the deadline header; zero: no such header
    bool provenOnly = false; ///< only on a fresh connection or one that answered within the proven window
};

enum class ExchangeStatus : std::uint8_t {
    Answered = 0,     ///< a whole answer
    NotConnected = 1, ///< no connection came about
    Broken = 2,       ///< connection lost, answer cut short or malformed
    TooLarge = 3,     ///< the answer is longer than allowed
};

struct ExchangeResult
{
    ExchangeId id = 0;
    ExchangeStatus status = ExchangeStatus::Broken;
    bool mayHaveBeenSent = false; ///< false: the instance has certainly not seen the request
    CallerResponse response;      ///< with Answered
};

/** Driven by one thread, except for wake(). */
class UpstreamTransport
{
public:
    virtual ~UpstreamTransport() = default;

    virtual void send(const Exchange &exchange) = 0;

    /** Gives up: no result follows. True where a byte may have left. @p suspect: the connection said nothing in time. */
    virtual bool cancel(ExchangeId id, bool suspect) = 0;

    /** Waits up to @p wait for something to happen and appends results to @p results. */
    virtual void poll(Duration wait, std::vector<ExchangeResult> &results) = 0;

    virtual void wake() = 0; ///< ends a waiting poll(); from any thread
};

} // namespace QuetzalRock
