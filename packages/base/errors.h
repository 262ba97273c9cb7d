/**
 * Typed errors. Everything thrown by this project derives from Error.
 *
 * Index of this file
 *   ErrorCode            what a caller may conclude
 *   Error                the base: code, message, field, when to come back
 *   InvalidArgument ...  one class for each code that callers catch by type
 */
#pragma once

#include <base/clock.h>

#include <stdexcept>
#include <string>
#include <string_view>

namespace QuetzalRock {

/** What the caller may conclude from an error. The names are also those of the JSON answers (see errorName()). */
enum class ErrorCode {
    InvalidArgument,  ///< the request can never be accepted as it stands; nothing changed
    Unauthenticated,  ///< no valid credentials; nothing changed
    PermissionDenied, ///< valid credentials that do not allow this; nothing changed
    NotFound,         ///< no such object
    Conflict,         ///< somebody else changed the object first; nothing changed by this request
    NotRun,           ///< refused before anything ran; safe to send again, see Error::retryAfter
    Failed,           ///< it ran, and failed; running it again is a new request
    OutcomeUnknown,   ///< it may or may not have run; a repeat needs the same idempotency key
    Unavailable,      ///< a service this depends on did not take the call; nothing was written
};

/** The name of @p code in JSON, such as "not_run". */
std::string_view errorName(ErrorCode code);

class Error : public std::runtime_error
{
public:
    Error(ErrorCode code, const std::string &message, std::string field = {}, Duration retryAfter = {});

    ErrorCode code() const noexcept;
    const std::string &field() const noexcept; ///< the offending field or setting; empty where there is none
    Duration retryAfter() const noexcept;      ///< when to come back; zero where coming back does not help

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
