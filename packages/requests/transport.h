/**
 * Interface through which the dispatcher reaches upstream instances. CurlTransport implements it; tests and benchmarks
 * use fakes.
 *
 * Index of this file
 *   Exchange, ExchangeResult   one attempt of a request at one instance
 *   UpstreamTransport          start, cancel, results
 */
#pragma once

#include <requests/message.h>

#include <cstdint>
#include <memory>

namespace QuetzalRock {

using ExchangeId = std::uint64_t; ///< never reused within a process, so that a late answer is recognised

struct Exchange
{
    ExchangeId id = 0;
    std::string_view address;                     ///< "ip:port" of the instance
    std::shared_ptr<const CallerRequest> request; ///< shared until the exchange has ended
    Duration timeLeft{};                          ///< sent in DeadlineHeader; zero: the header is left out
    bool verifiedConnectionOnly = false; ///< non-idempotent: reuse only verified connections, see CurlTransport
};

enum class ExchangeStatus : std::uint8_t {
    Answered = 0,     ///< a whole answer
    NotConnected = 1, ///< no connection could be established
    Broken = 2,       ///< connection lost, answer truncated or malformed
    TooLarge = 3,     ///< the answer exceeds RequestSettings::maxAnswerBytes or has too many headers
};

struct ExchangeResult
{
    ExchangeId id = 0;
    ExchangeStatus status = ExchangeStatus::Broken;
    bool mayHaveBeenSent = false; ///< false: no byte of the request left, the instance has not seen it
    CallerResponse response;      ///< valid if Answered
};

/** All functions but wake() are called by one thread. */
class UpstreamTransport
{
public:
    virtual ~UpstreamTransport() = default;

    virtual void send(const Exchange &exchange) = 0;

    /**
     * Cancels an exchange; no result follows. Returns true if a byte of the request may have left. @p suspect: the
     * connection is unresponsive, so connections that have not answered since it started may be lost as well.
     */
    virtual bool cancel(ExchangeId id, bool suspect) = 0;

    /** Waits up to @p wait for network events and appends finished exchanges to @p results. */
    virtual void poll(Duration wait, std::vector<ExchangeResult> &results) = 0;

    virtual void wake() = 0; ///< makes a waiting poll() return; from any thread
};

} // namespace QuetzalRock
