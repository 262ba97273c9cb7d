/** Decodes JSON messages from peers. A missing field or a wrong type throws InvalidArgument. */
#pragma once

#include <base/errors.h>
#include <platform/platformjson.h>

#include <string_view>

namespace QuetzalRock {

/** Parses @p text as JSON and converts it with @p parse. @p what names the message in the error. */
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
