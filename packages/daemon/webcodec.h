/** Administration requests as the JSON of peer calls, for passing them on to the owner. Decoding throws InvalidArgument. */
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
