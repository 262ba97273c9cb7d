/**
 * What callers send and get.
 *
 * Index of this file
 *   HeaderField, CallerRequest, CallerResponse   the messages
 *   RequestOutcome                               what a caller may conclude
 *   notRunResponse(), failedResponse(), outcomeUnknownResponse() ...     typed failures as responses
 */
#pragma once

#include <base/clock.h>

#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

struct HeaderField
{
    std::string name;
    std::string value;
};

struct CallerRequest
{
    std::string method;               ///< such as "GET"
    std::string target;               ///< path and query, as sent by the caller
    std::string tenant;               ///< who asks; the class's own tenant goes before it
    std::string idempotencyKey;       ///< empty: none
    std::vector<HeaderField> headers; ///< end-to-end headers only
    std::string body;
    Duration timeout{}; ///< the caller's own limit; zero: the class's deadline. Only ever shortens it
};

enum class RequestOutcome {
    Answered,       ///< the upstream's whole answer
    NotRun,         ///< it did not run, and will not
    Failed,         ///< it ran (or, where idempotent, may have run) and gave no good answer
    OutcomeUnknown, ///< non-idempotent, may have run
    Rejected,       ///< can never be accepted as it stands (4xx of our own); it did not run
};

/** Such as "not_run"; used in JSON, headers and metrics. */
std::string_view outcomeName(RequestOutcome outcome);

struct CallerResponse
{
    int status = 200;
    std::vector<HeaderField> headers;
    std::string body;
    RequestOutcome outcome = RequestOutcome::Answered;
};

constexpr std::string_view OutcomeHeader = "Quetzalrock-Outcome";      ///< on every response that is our own
constexpr std::string_view DeadlineHeader = "Quetzalrock-Deadline-Ms"; ///< to upstreams: time left; from callers: limit
constexpr std::string_view TenantHeader = "Quetzalrock-Tenant";
constexpr std::string_view KeyHeader = "Idempotency-Key";

/** 503, or 429 where the caller's own limit is to blame. @p retryAfter above zero; seconds in the header, ms in the body. */
CallerResponse notRunResponse(std::string_view reason, Duration retryAfter, int status = 503);
CallerResponse failedResponse(std::string_view reason);         ///< 502; a new try is a new run
CallerResponse outcomeUnknownResponse(std::string_view reason); ///< 504; repeat with the same key only
CallerResponse rejectedResponse(int status, std::string_view reason);

/** The value of header @p name, compared without case; empty where it is missing. */
std::string_view findHeader(const std::vector<HeaderField> &headers, std::string_view name);

/** True for headers that end at the next hop, and for those that this system sets itself. */
bool isHopHeader(std::string_view name);

bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace QuetzalRock
