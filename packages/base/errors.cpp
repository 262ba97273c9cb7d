#include <base/errors.h>

namespace QuetzalRock {

std::string_view errorName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::PermissionDenied:
        return "permission_denied";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::NotRun:
        return "not_run";
    case ErrorCode::Failed:
        return "failed";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::Unavailable:
        return "unavailable";
    }
    return "failed";
}

Error::Error(ErrorCode code, const std::string &message, std::string field, Duration retryAfter)
    : std::runtime_error(message)
    , m_code(code)
    , m_field(std::move(field))
    , m_retryAfter(retryAfter)
{
}

ErrorCode Error::code() const noexcept
{
    return m_code;
}

const std::string &Error::field() const noexcept
{
    return m_field;
}

Duration Error::retryAfter() const noexcept
{
    return m_retryAfter;
}

InvalidArgument::InvalidArgument(std::string field, const std::string &message)
    : Error(ErrorCode::InvalidArgument, message, std::move(field))
{
}

Conflict::Conflict(const std::string &message)
    : Error(ErrorCode::Conflict, message)
{
}

NotFound::NotFound(const std::string &message)
    : Error(ErrorCode::NotFound, message)
{
}

NotRun::NotRun(const std::string &message, Duration retryAfter)
    : Error(ErrorCode::NotRun, message, {}, retryAfter)
{
}

OutcomeUnknown::OutcomeUnknown(const std::string &message)
    : Error(ErrorCode::OutcomeUnknown, message)
{
}

Unavailable::Unavailable(const std::string &message)
    : Error(ErrorCode::Unavailable, message)
{
}

} // namespace QuetzalRock
