/**
 * Reads a JSON object field by field into an aggregate; every fault names its field.
 *
 * Use
 *   JsonFields fields(json);
 *   fields.read("tasks", spec.taskCount, 1, 10000);
 *   fields.end();    // throws InvalidArgument for the first fault: wrong type, out of range, unknown field
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
    explicit JsonFields(const nlohmann::json &json); ///< throws InvalidArgument where @p json is no object

    // Each leaves the field as it is where the key is absent. Bounds are inclusive.
    void read(const char *key, std::string &field, std::size_t maxBytes);
    void readRequired(const char *key, std::string &field, std::size_t maxBytes); ///< absent or empty is a fault
    void read(const char *key, bool &field);
    void read(const char *key, std::int64_t &field, std::int64_t least, std::int64_t most);
    void read(const char *key, double &field, double least, double most);
    void end();

private:
    const nlohmann::json *find(const char *key);
    void addFault(const char *key, const std::string &message); ///< keeps the first

    const nlohmann::json &m_json;
    std::set<std::string> m_read;
    std::string m_faultField;
    std::string m_faultMessage;
};

} // namespace QuetzalRock
