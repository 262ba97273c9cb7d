/** Decoding of the JSON that peers send: what is missing or of the wrong type becomes an InvalidArgument. */
#pragma once

#include <base/errors.h>
#include <platform/platformjson.h>

#include <string_view>

namespace QuetzalRock {

/** What @p parse makes of @p text. @p what names the message in the error. */
template<typename Parse>
auto decodePeerMessage(std::string_view text, const char *what, Parse parse)
{
    try {
        return parse(parseJson(text));
    } catch (const nlohmann::json::exception &error) {
        throw InvalidArgument(what, error.what());
    }
}

} // namespace QuetzalRock
