#include <settings/settings.h>

#include <xxhash.h>

#include <array>
#include <cassert>
#include <cstdio>

namespace QuetzalRock {

namespace {

bool isName(std::string_view text)
{
    static constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.find_first_not_of(Allowed) == std::string_view::npos;
}

/** Splits "a/b/c". Returns nullopt if a part is not a valid name or there are not exactly @p count parts. */
std::optional<std::vector<std::string>> splitNames(std::string_view text, std::size_t count)
{
    std::vector<std::string> parts;
    for (;;) {
        const std::size_t slash = text.find('/');
        const std::string_view part = text.substr(0, slash);
        if (!isName(part)) {
            return std::nullopt;
        }
        parts.emplace_back(part);
        if (slash == std::string_view::npos) {
            break;
        }
        text.remove_prefix(slash + 1);
    }
    return parts.size() == count ? std::optional(parts) : std::nullopt;
}

std::optional<SettingsPath> parseTenant(std::string_view rest)
{
    static constexpr std::string_view In = " in ";
    const std::size_t in = rest.find(In);
    SettingsPath path;
    path.tenant = rest.substr(0, in);
    if (!isName(path.tenant)) {
        return std::nullopt;
    }
    if (in == std::string_view::npos) {
        return path;
    }
    const auto parts = splitNames(rest.substr(in + In.size()), 2);
    if (!parts) {
        return std::nullopt;
    }
    path.region = parts->at(0);
    path.failureDomain = parts->at(1);
    return path;
}

std::string formatDomain(const SettingsPath &path)
{
    return path.region + "/" + path.failureDomain;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// SettingsPath
// ---------------------------------------------------------------------------------------------------------------------

std::string toString(const SettingsPath &path)
{
    switch (levelOf(path)) {
    case AtTenant:
        return "tenant " + path.tenant + (path.failureDomain.empty() ? std::string() : " in " + formatDomain(path));
    case AtService:
        return "service " + formatDomain(path) + "/" + path.service;
    case AtDomain:
        return "domain " + formatDomain(path);
    case AtRegion:
        return "region " + path.region;
    default:
        return "root";
    }
}

std::optional<SettingsPath> parsePath(std::string_view text)
{
    if (text == "root") {
        return SettingsPath{};
    }
    const std::size_t space = text.find(' ');
    if (space == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view kind = text.substr(0, space);
    const std::string_view rest = text.substr(space + 1);
    if (kind == "tenant") {
        return parseTenant(rest);
    }
    static constexpr std::array Kinds{"region", "domain", "service"};
    for (std::size_t i = 0; i < Kinds.size(); ++i) {
        const auto parts = kind == Kinds[i] ? splitNames(rest, i + 1) : std::nullopt;
        if (parts) {
            SettingsPath path;
            path.region = parts->at(0);
            path.failureDomain = i >= 1 ? parts->at(1) : std::string();
            path.service = i >= 2 ? parts->at(2) : std::string();
            return path;
        }
    }
    return std::nullopt;
}

std::uint8_t levelOf(const SettingsPath &path)
{
    if (!path.tenant.empty()) {
        return AtTenant;
    }
    if (!path.service.empty()) {
        return AtService;
    }
    if (!path.failureDomain.empty()) {
        return AtDomain;
    }
    return path.region.empty() ? AtRoot : AtRegion;
}

std::vector<SettingsPath> inheritanceChain(const SettingsPath &path)
{
    std::vector<SettingsPath> chain{path};
    if (!path.tenant.empty() && !path.failureDomain.empty()) {
        chain.push_back({{}, {}, {}, path.tenant});
    }
    if (!path.failureDomain.empty() && levelOf(path) != AtDomain) {
        chain.push_back({path.region, path.failureDomain, {}, {}});
    }
    if (!path.region.empty() && levelOf(path) != AtRegion) {
        chain.push_back({path.region, {}, {}, {}});
    }
    if (levelOf(path) != AtRoot) {
        chain.push_back({});
    }
    return chain;
}

std::string digestOf(std::uint64_t version, const SettingsTree &tree)
{
    const std::string text = formatIni(tree);
    const std::uint64_t hash = XXH3_64bits_withSeed(text.data(), text.size(), version);
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(hash));
    return buf.data();
}

// ---------------------------------------------------------------------------------------------------------------------
// Effective values
// ---------------------------------------------------------------------------------------------------------------------

EffectiveValue effectiveValue(const SettingsTree &tree, const SettingsPath &path, std::string_view key)
{
    const SettingKey *spec = findSettingKey(key);
    assert(spec);
    for (const SettingsPath &it : inheritanceChain(path)) {
        const auto node = tree.find(it);
        if (node == tree.end()) {
            continue;
        }
        const auto value = node->second.find(key);
        if (value != node->second.end()) {
            return {std::string(key), value->second, it};
        }
    }
    return {std::string(key), std::string(spec->defaultValue), std::nullopt};
}

std::vector<EffectiveValue> explain(const SettingsTree &tree, const SettingsPath &path)
{
    std::vector<EffectiveValue> values;
    for (const SettingKey &it : settingKeys()) {
        if (it.levels & levelOf(path)) {
            values.push_back(effectiveValue(tree, path, it.name));
        }
    }
    return values;
}

std::int64_t integerSetting(const SettingsTree &tree, const SettingsPath &path, std::string_view key)
{
    return std::stoll(effectiveValue(tree, path, key).value);
}

Duration durationSetting(const SettingsTree &tree, const SettingsPath &path, std::string_view key)
{
    return detail::parseDuration(effectiveValue(tree, path, key).value).value();
}

bool booleanSetting(const SettingsTree &tree, const SettingsPath &path, std::string_view key)
{
    return effectiveValue(tree, path, key).value == "true";
}

std::string textSetting(const SettingsTree &tree, const SettingsPath &path, std::string_view key)
{
    return effectiveValue(tree, path, key).value;
}

// ---------------------------------------------------------------------------------------------------------------------
// Changes
// ---------------------------------------------------------------------------------------------------------------------

namespace detail {

std::optional<SettingsIssue>
setValue(SettingsTree &tree, const SettingsPath &path, std::string_view key, const std::optional<std::string> &value)
{
    SettingsIssue issue{{}, 0, toString(path), std::string(key), value.value_or(""), {}};
    const SettingKey *spec = findSettingKey(key);
    if (!spec) {
        issue.message = "unknown key; see docs/SETTINGS.md";
        return issue;
    }
    if (!(spec->levels & levelOf(path))) {
        issue.message = "cannot be set at this kind of node; see docs/SETTINGS.md";
        return issue;
    }
    if (!value) {
        const auto node = tree.find(path);
        if (node != tree.end()) {
            node->second.erase(std::string(key));
        }
        if (node != tree.end() && node->second.empty()) {
            tree.erase(node);
        }
        return std::nullopt;
    }
    const std::optional<std::string> canonical = canonicalValue(*spec, *value);
    if (!canonical) {
        issue.message = "not allowed; allowed: " + allowedValues(*spec);
        return issue;
    }
    tree[path].insert_or_assign(std::string(key), *canonical);
    return std::nullopt;
}

} // namespace detail

std::string toString(const SettingsChange &change)
{
    const std::string before = change.before.value_or("(inherited)");
    const std::string after = change.after.value_or("(inherited)");
    return "[" + toString(change.path) + "] " + change.key + ": " + before + " -> " + after;
}

std::vector<SettingsChange> difference(const SettingsTree &before, const SettingsTree &after)
{
    std::vector<SettingsChange> changes;
    for (const auto &[path, node] : before) {
        const auto other = after.find(path);
        for (const auto &[key, value] : node) {
            const auto it = other == after.end() ? SettingsNode::const_iterator() : other->second.find(key);
            if (other == after.end() || it == other->second.end()) {
                changes.push_back({path, key, value, std::nullopt});
            } else if (it->second != value) {
                changes.push_back({path, key, value, it->second});
            }
        }
    }
    for (const auto &[path, node] : after) {
        const auto other = before.find(path);
        for (const auto &[key, value] : node) {
            if (other == before.end() || !other->second.contains(key)) {
                changes.push_back({path, key, std::nullopt, value});
            }
        }
    }
    return changes;
}

std::vector<SettingsIssue> applyChanges(SettingsTree &tree, std::span<const SettingsChange> changes)
{
    std::vector<SettingsIssue> issues;
    for (const SettingsChange &it : changes) {
        if (auto issue = detail::setValue(tree, it.path, it.key, it.after)) {
            issues.push_back(std::move(*issue));
        }
    }
    return issues;
}

} // namespace QuetzalRock
