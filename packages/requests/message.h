/**
 * Messages exchanged with callers.
 *
 * Index of this file
 *   HeaderField, CallerRequest, CallerResponse   the messages
 *   RequestOutcome                               whether the request ran, as told to the caller
 *   notRunResponse(), failedResponse() ...       responses that report a failure
 *   findHeader(), isHopByHopHeader() ...         header helpers
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
    std::string tenant;               ///< as stated by the caller; a class's own tenant takes precedence
    std::string idempotencyKey;       ///< empty: none
    std::vector<HeaderField> headers; ///< as received, hop-by-hop headers included
    std::string body;
    Duration timeout{}; ///< requested by the caller; zero: none. It can only shorten the class's deadline
};

enum class RequestOutcome {
    Answered,       ///< the response is the upstream's whole answer
    NotRun,         ///< the request did not run and will not
    Failed,         ///< the request ran (or, if idempotent, may have run) without a successful answer
    OutcomeUnknown, ///< a non-idempotent request that may have run
    Rejected,       ///< the request is invalid (4xx from this system) and did not run
};

/** The name of @p outcome in JSON, headers and metrics, such as "not_run". */
std::string_view outcomeName(RequestOutcome outcome);

struct CallerResponse
{
    int status = 200;
    std::vector<HeaderField> headers;
    std::string body;
    RequestOutcome outcome = RequestOutcome::Answered;
};

constexpr std::string_view OutcomeHeader = "Quetzalrock-Outcome";      ///< on all but successful upstream answers
constexpr std::string_view DeadlineHeader = "Quetzalrock-Deadline-Ms"; ///< time left; from callers: timeout
constexpr std::string_view TenantHeader = "Quetzalrock-Tenant";
constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

/** 503, or 429 if the tenant exceeded its limit. @p retryAfter is sent in seconds as header and in ms in the body. */
CallerResponse notRunResponse(std::string_view reason, Duration retryAfter, int status = 503);
CallerResponse failedResponse(std::string_view reason);         ///< 502; a repeat runs again
CallerResponse outcomeUnknownResponse(std::string_view reason); ///< 504; repeat it only with the same Idempotency-Key
CallerResponse rejectedResponse(int status, std::string_view reason);

/** The value of header @p name, compared case-insensitively; empty if it is missing. */
std::string_view findHeader(const std::vector<HeaderField> &headers, std::string_view name);

/** True for hop-by-hop headers and for headers that this system sets itself; both are not forwarded. */
bool isHopByHopHeader(std::string_view name);

bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace QuetzalRock
