/** Encodes a handler's error in a reply and decodes it at the caller. Internal to this package. */
#pragma once

#include <base/errors.h>

#include <string>

namespace QuetzalRock::detail {

constexpr int NoError = 0;

/** Number that stands for @p code in a reply; never NoError. */
int replyCode(ErrorCode code);

std::string encodeError(const Error &error);

/** Throws the error that encodeError() encoded, as the class that belongs to its code. */
[[noreturn]] void throwDecodedError(int replyCode, const std::string &body);

} // namespace QuetzalRock::detail
