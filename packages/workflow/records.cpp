#include <workflow/records.h>

#include <base/errors.h>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::size_t MaxNesting = 32; ///< of a record; the decoder recurses into nested arrays and maps

/** Reads a record without keeping it; stops at nesting deeper than MaxNesting. */
class NestingCheck final : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t &) override
    {
        return true;
    }
    bool string(string_t &) override
    {
        return true;
    }
    bool binary(binary_t &) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        return ++m_depth <= MaxNesting;
    }
    bool key(string_t &) override
    {
        return true;
    }
    bool end_object() override
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t) override
    {
        return ++m_depth <= MaxNesting;
    }
    bool end_array() override
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const nlohmann::json::exception &) override
    {
        return false;
    }

private:
    std::size_t m_depth = 0;
};

} // namespace

std::string packRecord(const nlohmann::json &record)
{
    std::string bytes;
    nlohmann::json::to_msgpack(record, bytes);
    return bytes;
}

nlohmann::json decodeMessagePack(std::string_view bytes)
{
    NestingCheck check;
    const bool isValid = nlohmann::json::sax_parse(bytes, &check, nlohmann::json::input_format_t::msgpack);
    return isValid ? nlohmann::json::from_msgpack(bytes, true, false)
                   : nlohmann::json(nlohmann::json::value_t::discarded);
}

nlohmann::json unpackRecord(std::string_view bytes)
{
    nlohmann::json value = decodeMessagePack(bytes);
    if (value.is_discarded() || !value.is_array() || value.empty() || value[0] != StoredVersion) {
        throw InvalidArgument("record", "not a stored record of this version");
    }
    return value;
}

} // namespace QuetzalRock::Workflow
