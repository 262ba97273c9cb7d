/**
 * JSON encoding of administration requests and responses, used to forward a request to the owner of the scheduler shard.
 * Decoding malformed text throws InvalidArgument.
 */
#pragma once

#include <web/web.h>

#include <string>
#include <string_view>

namespace QuetzalRock {

std::string encodeWebRequest(const WebRequest &request);
WebRequest decodeWebRequest(std::string_view json);

std::string encodeWebResponse(const WebResponse &response);
WebResponse decodeWebResponse(std::string_view json);

} // namespace QuetzalRock
