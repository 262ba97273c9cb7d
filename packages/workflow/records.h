/** Encoding of all records that the package stores: a MessagePack array whose first element is the format version. */
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace QuetzalRock::Workflow {

constexpr int StoredVersion = 1; ///< first element of every record

std::string packRecord(const nlohmann::json &record);

/** A discarded value if @p bytes are not MessagePack, or are nested so deeply that decoding might overflow the stack. */
nlohmann::json decodeMessagePack(std::string_view bytes);

/** Throws InvalidArgument if @p bytes are not a record of this version. */
nlohmann::json unpackRecord(std::string_view bytes);

} // namespace QuetzalRock::Workflow
