/**
 * The operators' settings: a tree in which a region inherits from the root, a failure domain from its region, a service
 * from its failure domain, and overrides only what differs; and the quotas of tenants.
 *
 * Index of this file
 *   SettingKey         one table of all keys: parsing, validation, explain() and docs/SETTINGS.md come from it
 *   SettingsPath       names a node of the tree
 *   SettingsTree       node -> key -> value, only what is set there
 *   SettingsIssue      one fault: file, line, section, key, value, what is allowed
 *   parseIni, formatIni
 *   validateTree       faults between keys
 *   effectiveValue, explain   what holds at a node, and the node it came from
 *   SettingsChange     the difference of two trees, and how to apply it
 *   SettingsError      thrown with all faults at once
 *
 * Settings in INI
 *   [root]
 *   scheduling.tail-weight = 8
 *   [region baltic-north]
 *   [domain baltic-north/muuga]
 *   worker.lease = 45s
 *   [service baltic-north/muuga/slot-checks]
 *   service.deadline = 300ms
 *   [tenant harvest-desk]                          ; in each failure domain
 *   tenant.cpu-millis = 200000
 *   [tenant harvest-desk in baltic-north/muuga]    ; in this one
 *   tenant.cpu-millis = 64000
 *
 * Where a tenant's value comes from, first that has it: the tenant in the failure domain, the tenant, the failure domain,
 * its region, the root, the default. A quota holds for each failure domain by itself, so that no partition overspends it.
 */
#pragma once

#include <base/clock.h>
#include <base/errors.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

// ---------------------------------------------------------------------------------------------------------------------
// SettingKey
// ---------------------------------------------------------------------------------------------------------------------

enum class SettingType : std::uint8_t {
    Integer,  ///< 64-bit, with a range
    Duration, ///< a number and us, ms, s, min or h; kept as microseconds
    Boolean,  ///< true or false
    Choice,   ///< one of a few words
    Text,     ///< any text on one line, up to MaxTextBytes
};

constexpr std::size_t MaxTextBytes = 150;

/** Where in the tree a key may be set. Bits. */
enum SettingLevels : std::uint8_t {
    AtRoot = 1,
    AtRegion = 2,
    AtDomain = 4,
    AtService = 8,
    AtTenant = 16,
    ForDomain = AtRoot | AtRegion | AtDomain,
    ForService = ForDomain | AtService,
    ForTenant = ForDomain | AtTenant,
    Anywhere = ForService | AtTenant,
};

struct SettingKey
{
    std::string_view name;
    SettingType type = SettingType::Integer;
    std::uint8_t levels = Anywhere;
    std::string_view unit;     ///< of an Integer; empty where it counts things
    std::int64_t least = 0;    ///< Integer: in its unit; Duration: microseconds
    std::int64_t most = 0;     ///< inclusive
    std::string_view choices;  ///< Choice: words separated by '|'
    std::string_view fallback; ///< the value where no node sets it
    std::string_view help;     ///< one line
};

std::span<const SettingKey> settingKeys(); ///< ordered by name
const SettingKey *findSettingKey(std::string_view name);

/** What @p key accepts, for people: "100ms to 1h". */
std::string allowedValues(const SettingKey &key);

/** @p text in the one spelling that is stored ("1000ms" becomes "1s"); nothing where it is not allowed. */
std::optional<std::string> canonicalValue(const SettingKey &key, std::string_view text);

/** Whether a change of @p key changes what the processes do; the others are kept and relayed, for what is to come. */
bool hasEffect(const SettingKey &key);

std::string settingsPage(); ///< docs/SETTINGS.md

// ---------------------------------------------------------------------------------------------------------------------
// SettingsPath, SettingsTree
// ---------------------------------------------------------------------------------------------------------------------

/** A node. Empty parts do not apply: all empty is the root. */
struct SettingsPath
{
    std::string region;
    std::string failureDomain;
    std::string service;
    std::string tenant; ///< with or without a region and failure domain

    auto operator<=>(const SettingsPath &) const = default;
};

std::string toString(const SettingsPath &path); ///< as in a section's head: "domain baltic-north/muuga"
std::optional<SettingsPath> parsePath(std::string_view text);
std::uint8_t levelOf(const SettingsPath &path); ///< one bit of SettingLevels

/** The nodes that @p path inherits from, itself first, the root last. */
std::vector<SettingsPath> inheritance(const SettingsPath &path);

using SettingsNode = std::map<std::string, std::string, std::less<>>; ///< key -> canonical value
using SettingsTree = std::map<SettingsPath, SettingsNode>;            ///< no empty nodes

std::string digestOf(std::uint64_t version, const SettingsTree &tree); ///< 16 hex digits

// ---------------------------------------------------------------------------------------------------------------------
// Reading and writing
// ---------------------------------------------------------------------------------------------------------------------

struct SettingsIssue
{
    std::string file; ///< empty where it did not come from a file
    int line = 0;     ///< 0: unknown
    std::string section;
    std::string key;
    std::string value;
    std::string message; ///< what is wrong and what is allowed
};

std::string toString(const SettingsIssue &issue); ///< "muuga.ini:12: [root] worker.lease = 1: not ...; allowed: ..."

struct SettingsParseResult
{
    SettingsTree tree;
    std::vector<SettingsIssue> issues; ///< all of them; the tree holds what was right
};

SettingsParseResult parseIni(std::string_view text, const std::string &file);
std::string formatIni(const SettingsTree &tree); ///< parseIni() reads it back to the same tree

std::vector<SettingsIssue> validateTree(const SettingsTree &tree);

/** All faults at once, as one text and one by one. */
class SettingsError : public Error
{
public:
    explicit SettingsError(std::vector<SettingsIssue> issues);
    const std::vector<SettingsIssue> &issues() const noexcept;

private:
    std::vector<SettingsIssue> m_issues;
};

// ---------------------------------------------------------------------------------------------------------------------
// What holds
// ---------------------------------------------------------------------------------------------------------------------

struct EffectiveValue
{
    std::string key;
    std::string value;
    std::optional<SettingsPath> origin; ///< nothing: the default
};

/** @p key must be in the table. */
EffectiveValue effectiveValue(const SettingsTree &tree, const SettingsPath &path, std::string_view key);

/** Every key that can matter at @p path, with its value and where that came from. */
std::vector<EffectiveValue> explain(const SettingsTree &tree, const SettingsPath &path);

std::int64_t integerSetting(const SettingsTree &tree, const SettingsPath &path, std::string_view key);
Duration durationSetting(const SettingsTree &tree, const SettingsPath &path, std::string_view key);
bool booleanSetting(const SettingsTree &tree, const SettingsPath &path, std::string_view key);
std::string textSetting(const SettingsTree &tree, const SettingsPath &path, std::string_view key);

// ---------------------------------------------------------------------------------------------------------------------
// SettingsChange
// ---------------------------------------------------------------------------------------------------------------------

struct SettingsChange
{
    SettingsPath path;
    std::string key;
    std::optional<std::string> before; ///< nothing: not set at this node
    std::optional<std::string> after;  ///< nothing: inherit again

    bool operator==(const SettingsChange &) const = default;
};

std::string toString(const SettingsChange &change); ///< "[root] worker.lease: 30s -> 45s"
std::vector<SettingsChange> difference(const SettingsTree &before, const SettingsTree &after);

/** Applies @p changes without looking at their before; faults of keys, levels and values are returned, not applied. */
std::vector<SettingsIssue> applyChanges(SettingsTree &tree, std::span<const SettingsChange> changes);

namespace detail {

/** Sets @p key at @p path; where that is not allowed, the fault (without file and line). Empty @p value inherits again. */
std::optional<SettingsIssue>
setValue(SettingsTree &tree, const SettingsPath &path, std::string_view key, const std::optional<std::string> &value);

std::optional<Duration> parseDuration(std::string_view text);
std::string formatDuration(Duration duration);

} // namespace detail

} // namespace QuetzalRock
