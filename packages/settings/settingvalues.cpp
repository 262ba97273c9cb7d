#include <settings/settings.h>

#include <array>
#include <charconv>
#include <limits>

namespace QuetzalRock {

namespace {

struct TimeUnit
{
    std::string_view name;
    std::int64_t microseconds;
};

constexpr std::array TimeUnits = std::to_array<TimeUnit>({
    {"h", 3'600'000'000},
    {"min", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
});

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

bool isChoice(std::string_view choices, std::string_view text)
{
    while (!choices.empty()) {
        const std::size_t bar = choices.find('|');
        if (choices.substr(0, bar) == text) {
            return true;
        }
        choices = bar == std::string_view::npos ? std::string_view() : choices.substr(bar + 1);
    }
    return false;
}

/** Whether INI preserves @p text: it keeps one line, trims spaces at both ends and starts a comment at " ;". */
bool isPlainText(std::string_view text)
{
    if (text.size() > MaxTextBytes || text.empty()) {
        return false;
    }
    const bool trimmed = text.front() != ' ' && text.back() != ' ';
    const bool printable = text.find_first_of("\r\n\t;") == std::string_view::npos && text.find('\0') == text.npos;
    return trimmed && printable;
}

std::string listChoices(std::string_view choices)
{
    std::string text;
    for (const char it : choices) {
        text += it == '|' ? std::string(" or ") : std::string(1, it);
    }
    return text;
}

} // namespace

namespace detail {

std::optional<Duration> parseDuration(std::string_view text)
{
    const std::size_t split = text.find_first_not_of("0123456789");
    if (split == 0 || split == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> n = parseInteger(text.substr(0, split));
    const std::string_view unit = text.substr(split);
    for (const TimeUnit &it : TimeUnits) {
        if (it.name == unit && n && *n <= std::numeric_limits<std::int64_t>::max() / it.microseconds) {
            return Duration(*n * it.microseconds);
        }
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    for (const TimeUnit &it : TimeUnits) {
        if (duration.count() % it.microseconds == 0 && duration.count() != 0) {
            return std::to_string(duration.count() / it.microseconds) + std::string(it.name);
        }
    }
    return "0s";
}

} // namespace detail

std::string allowedValues(const SettingKey &key)
{
    switch (key.type) {
    case SettingType::Integer: {
        const std::string unit = key.unit.empty() ? std::string() : " " + std::string(key.unit);
        return std::to_string(key.minValue) + " to " + std::to_string(key.maxValue) + unit;
    }
    case SettingType::Duration:
        return detail::formatDuration(Duration(key.minValue)) + " to " + detail::formatDuration(Duration(key.maxValue));
    case SettingType::Boolean:
        return "true or false";
    case SettingType::Choice:
        return listChoices(key.choices);
    case SettingType::Text:
        return "text of up to " + std::to_string(MaxTextBytes) + " bytes on one line, without ;";
    }
    return {};
}

std::optional<std::string> canonicalValue(const SettingKey &key, std::string_view text)
{
    const auto inRange = [&](std::int64_t n) { return n >= key.minValue && n <= key.maxValue; };
    switch (key.type) {
    case SettingType::Integer: {
        const std::optional<std::int64_t> n = parseInteger(text);
        return n && inRange(*n) ? std::optional(std::to_string(*n)) : std::nullopt;
    }
    case SettingType::Duration: {
        const std::optional<Duration> n = detail::parseDuration(text);
        return n && inRange(n->count()) ? std::optional(detail::formatDuration(*n)) : std::nullopt;
    }
    case SettingType::Boolean:
        return text == "true" || text == "false" ? std::optional(std::string(text)) : std::nullopt;
    case SettingType::Choice:
        return isChoice(key.choices, text) ? std::optional(std::string(text)) : std::nullopt;
    case SettingType::Text:
        return isPlainText(text) ? std::optional(std::string(text)) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace QuetzalRock
