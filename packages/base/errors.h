/**
 * Typed errors. All exceptions thrown by this project derive from Error.
 *
 * Index of this file
 *   ErrorCode            what the caller can rely on after a failed call
 *   Error                base class: code, message, field, retry delay
 *   InvalidArgument ...  one class for each code that callers catch by type
 */
#pragma once

#include <base/clock.h>

#include <stdexcept>
#include <string>
#include <string_view>

namespace QuetzalRock {

/** What the caller can rely on after a failed call. JSON responses carry these codes under the names of errorName(). */
enum class ErrorCode {
    InvalidArgument,  ///< the request is invalid and must be changed before it is sent again; no effect
    Unauthenticated,  ///< credentials are missing or invalid; no effect
    PermissionDenied, ///< valid credentials without permission for this request; no effect
    NotFound,         ///< the object does not exist
    Conflict,         ///< another writer changed the object first; no effect
    NotRun,           ///< rejected before execution; safe to retry, see Error::retryAfter()
    Failed,           ///< executed and failed; a retry is a new request
    OutcomeUnknown,   ///< may or may not have been executed; retry only with the same idempotency key
    Unavailable,      ///< a dependency did not accept the call; nothing was written
};

/** Returns the name of @p code in JSON, such as "not_run". */
std::string_view errorName(ErrorCode code);

class Error : public std::runtime_error
{
public:
    Error(ErrorCode code, const std::string &message, std::string field = {}, Duration retryAfter = {});

    ErrorCode code() const noexcept;
    const std::string &field() const noexcept; ///< the invalid field or setting; empty: not about a field
    Duration retryAfter() const noexcept;      ///< delay before a retry; zero: no retry suggested

private:
    ErrorCode m_code;
    std::string m_field;
    Duration m_retryAfter;
};

class InvalidArgument : public Error
{
public:
    InvalidArgument(std::string field, const std::string &message);
};

class Conflict : public Error
{
public:
    explicit Conflict(const std::string &message);
};

class NotFound : public Error
{
public:
    explicit NotFound(const std::string &message);
};

class NotRun : public Error
{
public:
    NotRun(const std::string &message, Duration retryAfter);
};

class OutcomeUnknown : public Error
{
public:
    explicit OutcomeUnknown(const std::string &message);
};

class Unavailable : public Error
{
public:
    explicit Unavailable(const std::string &message);
};

} // namespace QuetzalRock
