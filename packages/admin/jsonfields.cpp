#include <admin/jsonfields.h>

#include <base/errors.h>

#include <sstream>

namespace QuetzalRock {

JsonFields::JsonFields(const nlohmann::json &json)
    : m_json(json)
{
    if (!json.is_object()) {
        throw InvalidArgument("body", "want a JSON object");
    }
}

void JsonFields::read(const char *key, std::string &field, std::size_t maxBytes)
{
    const nlohmann::json *it = find(key);
    if (!it) {
        return;
    }
    if (!it->is_string() || it->get_ref<const std::string &>().size() > maxBytes) {
        addFault(key, "want a string of at most " + std::to_string(maxBytes) + " bytes");
        return;
    }
    field = it->get<std::string>();
}

void JsonFields::readRequired(const char *key, std::string &field, std::size_t maxBytes)
{
    read(key, field, maxBytes);
    if (field.empty()) {
        addFault(key, "required and must not be empty");
    }
}

void JsonFields::read(const char *key, bool &field)
{
    const nlohmann::json *it = find(key);
    if (!it) {
        return;
    }
    if (!it->is_boolean()) {
        addFault(key, "want true or false");
        return;
    }
    field = it->get<bool>();
}

void JsonFields::read(const char *key, std::int64_t &field, std::int64_t minValue, std::int64_t maxValue)
{
    const nlohmann::json *it = find(key);
    if (!it) {
        return;
    }
    const bool isInRange = it->is_number_integer() && *it >= minValue && *it <= maxValue;
    if (!isInRange) {
        addFault(key, "want a whole number from " + std::to_string(minValue) + " to " + std::to_string(maxValue));
        return;
    }
    field = it->get<std::int64_t>();
}

void JsonFields::read(const char *key, double &field, double minValue, double maxValue)
{
    const nlohmann::json *it = find(key);
    if (!it) {
        return;
    }
    if (!it->is_number() || it->get<double>() < minValue || it->get<double>() > maxValue) {
        std::ostringstream message;
        message << "want a number from " << minValue << " to " << maxValue;
        addFault(key, message.str());
        return;
    }
    field = it->get<double>();
}

void JsonFields::throwOnFault()
{
    for (const auto &[key, value] : m_json.items()) {
        if (!m_readKeys.contains(key)) {
            addFault(key.c_str(), "unknown field");
        }
    }
    if (!m_faultField.empty()) {
        throw InvalidArgument(m_faultField, m_faultField + ": " + m_faultMessage);
    }
}

const nlohmann::json *JsonFields::find(const char *key)
{
    m_readKeys.insert(key);
    const auto it = m_json.find(key);
    return it == m_json.end() ? nullptr : &*it;
}

void JsonFields::addFault(const char *key, const std::string &message)
{
    if (m_faultField.empty()) {
        m_faultField = key;
        m_faultMessage = message;
    }
}

} // namespace QuetzalRock
