/**
 * Reads the fields of a JSON object into variables and checks them. The error message names the field.
 *
 * Usage
 *   JsonFields fields(json);
 *   fields.read("tasks", spec.taskCount, 1, 10000);
 *   fields.throwOnFault();  // InvalidArgument for the first error: wrong type, out of range, missing or unknown field
 */
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace QuetzalRock {

class JsonFields
{
public:
    explicit JsonFields(const nlohmann::json &json); ///< throws InvalidArgument if @p json is not an object

    // If the key is absent, the field keeps its value. Bounds are inclusive.
    void read(const char *key, std::string &field, std::size_t maxBytes);
    void readRequired(const char *key, std::string &field, std::size_t maxBytes); ///< absent or empty is an error
    void read(const char *key, bool &field);
    void read(const char *key, std::int64_t &field, std::int64_t minValue, std::int64_t maxValue);
    void read(const char *key, double &field, double minValue, double maxValue);
    void throwOnFault(); ///< call it after all reads: fields that were not read are reported as unknown

private:
    const nlohmann::json *find(const char *key);
    void addFault(const char *key, const std::string &message); ///< only the first is kept

    const nlohmann::json &m_json;
    std::set<std::string> m_readKeys;
    std::string m_faultField;
    std::string m_faultMessage;
};

} // namespace QuetzalRock
