/**
 * A stand-in for an upstream instance: an HTTP server that counts how often each booking ran, with faults to switch on.
 * For tests, benchmarks and the daemon's embedded mode.
 *
 * Index of this file
 *   ExecutionLedger    what ran, how often, over all instances
 *   UpstreamFault      what an instance does wrong
 *   StandInUpstream    one instance
 *
 * A request runs at the moment it has been read whole; the header "Booking-Id" names it in the ledger. The answer's body
 * repeats the booking's id, the target and the body, so that a caller can tell whether the answer is its own.
 */
#pragma once

#include <base/clock.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace QuetzalRock {

class ExecutionLedger
{
public:
    void record(const std::string &bookingId);
    int count(const std::string &bookingId) const;
    int highestCount() const;     ///< of any booking
    std::size_t bookings() const; ///< different ones

private:
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, int> m_counts;
    int m_highest = 0;
};

enum class UpstreamFault : std::uint8_t {
    None = 0,
    Error,                ///< runs, answers 500
    Reject,               ///< does not run, answers 503
    CloseWithoutResponse, ///< runs, closes without a byte
    CloseMidResponse,     ///< runs, closes in the middle of the answer (Content-Length says more)
    CloseMidChunk,        ///< the same with a chunked answer
    CloseWithoutLength,   ///< runs, answers without Content-Length and closes: the end cannot be told from a loss
    NeverRespond,         ///< runs, never answers, keeps the connection open
    HoldResponse,         ///< runs, answers when releaseHeldResponses() is called
};

struct UpstreamOptions
{
    int slots = 8;          ///< requests in work at once; further ones wait
    Duration serviceTime{}; ///< of one request; zero: answers at once, on the server's own thread
    int threads = 1;
    std::uint16_t port = 0; ///< 0: any free one
};

class StandInUpstream
{
public:
    StandInUpstream(Clock &clock, ExecutionLedger &ledger, const UpstreamOptions &options = {});
    ~StandInUpstream();
    StandInUpstream(const StandInUpstream &) = delete;
    StandInUpstream &operator=(const StandInUpstream &) = delete;

    std::string address() const; ///< "127.0.0.1:port"

    /** One request of @p every shows @p fault, the others are answered well. */
    void setFault(UpstreamFault fault, int every = 1);
    void setServiceTime(Duration serviceTime);
    void releaseHeldResponses(); ///< answers what UpstreamFault::HoldResponse holds, the last one first
    int heldCount() const;
    int unansweredCount() const;            ///< requests that UpstreamFault::NeverRespond keeps
    std::uint64_t requests() const;         ///< seen
    std::uint64_t runs() const;             ///< executed here
    std::uint64_t connections() const;      ///< opened to here
    std::string lastDeadlineHeader() const; ///< of the last request; empty where it had none

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace QuetzalRock
