/**
 * A simulated upstream instance: an HTTP server that counts how often each booking was executed, with fault injection.
 * For tests, benchmarks and the daemon's embedded mode.
 *
 * Index of this file
 *   ExecutionLedger    execution counts by booking, over all instances
 *   UpstreamFault      injected fault of an instance
 *   StandInUpstream    one instance
 *
 * A request is executed as soon as it is received completely; the header "Booking-Id" identifies it in the ledger. The
 * response body repeats the booking ID, the target and the request body, so that a caller can verify that the response
 * belongs to its request.
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
    int highestCount() const;     ///< highest count of any booking
    std::size_t bookings() const; ///< number of distinct bookings

private:
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, int> m_counts;
    int m_highest = 0;
};

enum class UpstreamFault : std::uint8_t {
    None = 0,
    Error,                ///< executes, responds with status 500
    Reject,               ///< does not execute, responds with status 503
    CloseWithoutResponse, ///< executes, closes the connection without a response
    CloseMidResponse,     ///< executes, closes before the end of the body given by Content-Length
    CloseMidChunk,        ///< executes, closes before the last chunk of a chunked response
    CloseWithoutLength,   ///< executes, responds without Content-Length and closes: truncation is undetectable
    NeverRespond,         ///< executes, never responds, keeps the connection open
    HoldResponse,         ///< executes, responds when releaseHeldResponses() is called
};

struct UpstreamOptions
{
    int slots = 8;          ///< requests served concurrently if serviceTime is set; further ones wait
    Duration serviceTime{}; ///< per request; zero: responds immediately on the server thread
    int threads = 1;
    std::uint16_t port = 0; ///< 0: any free port
};

class StandInUpstream
{
public:
    StandInUpstream(Clock &clock, ExecutionLedger &ledger, const UpstreamOptions &options = {});
    ~StandInUpstream();
    StandInUpstream(const StandInUpstream &) = delete;
    StandInUpstream &operator=(const StandInUpstream &) = delete;

    std::string address() const; ///< "127.0.0.1:port"

    /** Applies @p fault to each @p every-th request; the others are served normally. */
    void setFault(UpstreamFault fault, int every = 1);
    void setServiceTime(Duration serviceTime);
    void releaseHeldResponses();            ///< sends the responses held by HoldResponse, latest first
    int heldCount() const;                  ///< responses held by HoldResponse
    int unansweredCount() const;            ///< requests left without a response by NeverRespond
    std::uint64_t requests() const;         ///< received
    std::uint64_t runs() const;             ///< executed here
    std::uint64_t connections() const;      ///< accepted
    std::string lastDeadlineHeader() const; ///< Quetzalrock-Deadline-Ms of the last request; empty: none

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace QuetzalRock
