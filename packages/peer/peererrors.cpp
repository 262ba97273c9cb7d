#include <peer/peererrors.h>

#include <nlohmann/json.hpp>

namespace QuetzalRock::detail {

int replyCode(ErrorCode code)
{
    return static_cast<int>(code) + 1;
}

std::string encodeError(const Error &error)
{
    const nlohmann::json json = {
        {"message", error.what()},
        {"field", error.field()},
        {"retryAfterUs", error.retryAfter().count()},
    };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void throwDecodedError(int replyCode, const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    std::string message = "peer returned an error without a message";
    std::string field;
    Duration retryAfter{};
    if (json.is_object()) {
        message = json.value("message", message);
        field = json.value("field", field);
        retryAfter = Duration(json.value("retryAfterUs", 0LL));
    }
    const int last = static_cast<int>(ErrorCode::Unavailable) + 1;
    if (replyCode < 1 || replyCode > last) {
        throw OutcomeUnknown(message);
    }
    switch (static_cast<ErrorCode>(replyCode - 1)) {
    case ErrorCode::InvalidArgument:
        throw InvalidArgument(field, message);
    case ErrorCode::NotFound:
        throw NotFound(message);
    case ErrorCode::Conflict:
        throw Conflict(message);
    case ErrorCode::NotRun:
        throw NotRun(message, retryAfter);
    case ErrorCode::OutcomeUnknown:
        throw OutcomeUnknown(message);
    case ErrorCode::Unavailable:
        throw Unavailable(message);
    default:
        throw Error(static_cast<ErrorCode>(replyCode - 1), message, field, retryAfter);
    }
}

} // namespace QuetzalRock::detail
