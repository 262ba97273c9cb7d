#include <requests/message.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr Duration MinRetryAfter = 50ms;

CallerResponse makeFailure(RequestOutcome outcome, int status, std::string_view reason, Duration retryAfter)
{
    const bool mayRetry = outcome == RequestOutcome::NotRun || outcome == RequestOutcome::Failed;
    nlohmann::json body;
    body["error"] = outcomeName(outcome);
    body["message"] = reason;
    body["retry"] = mayRetry;
    CallerResponse response;
    response.status = status;
    response.outcome = outcome;
    response.headers.push_back({std::string(OutcomeHeader), std::string(outcomeName(outcome))});
    if (outcome == RequestOutcome::NotRun) {
        retryAfter = std::max(retryAfter, MinRetryAfter);
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
        body["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    }
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    response.headers.push_back({"Content-Type", "application/json"});
    return response;
}

} // namespace

std::string_view outcomeName(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return "answered";
    case RequestOutcome::NotRun:
        return "not_run";
    case RequestOutcome::Failed:
        return "failed";
    case RequestOutcome::OutcomeUnknown:
        return "outcome_unknown";
    case RequestOutcome::Rejected:
        return "rejected";
    }
    return "answered";
}

CallerResponse notRunResponse(std::string_view reason, Duration retryAfter, int status)
{
    return makeFailure(RequestOutcome::NotRun, status, reason, retryAfter);
}

CallerResponse failedResponse(std::string_view reason)
{
    return makeFailure(RequestOutcome::Failed, 502, reason, {});
}

CallerResponse outcomeUnknownResponse(std::string_view reason)
{
    return makeFailure(RequestOutcome::OutcomeUnknown, 504, reason, {});
}

CallerResponse rejectedResponse(int status, std::string_view reason)
{
    return makeFailure(RequestOutcome::Rejected, status, reason, {});
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    const auto same = [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), same);
}

std::string_view findHeader(const std::vector<HeaderField> &headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const HeaderField &field) {
        return equalsIgnoringCase(field.name, name);
    });
    return it == headers.end() ? std::string_view() : std::string_view(it->value);
}

bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 13> names{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "Proxy-Connection",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Content-Length",
                                                            "Host",
                                                            "Expect",
                                                            DeadlineHeader};
    return std::any_of(
        names.begin(), names.end(), [name](std::string_view it) { return equalsIgnoringCase(it, name); });
}

} // namespace QuetzalRock
