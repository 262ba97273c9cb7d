/** How a handler's error travels in a reply. Internal to this package. */
#pragma once

#include <base/errors.h>

#include <string>

namespace QuetzalRock::detail {

constexpr int NoError = 0;

/** The number of @p code in a reply; never NoError. */
int replyCode(ErrorCode code);

std::string encodeError(const Error &error);

/** Throws what encodeError() was given, as the class that callers catch. */
[[noreturn]] void throwDecodedError(int replyCode, const std::string &body);

} // namespace QuetzalRock::detail
