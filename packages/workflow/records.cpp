#include <workflow/records.h>

#include <base/errors.h>

namespace QuetzalRock::Workflow {

std::string packRecord(const nlohmann::json &record)
{
    std::string bytes;
    nlohmann::json::to_msgpack(record, bytes);
    return bytes;
}

nlohmann::json unpackRecord(std::string_view bytes)
{
    nlohmann::json value = nlohmann::json::from_msgpack(bytes, true, false);
    if (value.is_discarded() || !value.is_array() || value.empty() || value[0] != StoredVersion) {
        throw InvalidArgument("record", "not a stored record of this version");
    }
    return value;
}

} // namespace QuetzalRock::Workflow
