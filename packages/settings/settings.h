/**
 * The operators' settings: a tree in which a region inherits from the root, a failure domain from its region and a
 * service from its failure domain. Each node stores only the values that it overrides. Tenants' quotas are part of it.
 *
 * Index of this file
 *   SettingKey         entry of the table of all keys, used by parsing, validation, explain() and docs/SETTINGS.md
 *   SettingsPath       identifies a node of the tree
 *   SettingsTree       node -> key -> value, only for values set at that node
 *   SettingsIssue      one invalid input: file, line, section, key, value and what is allowed
 *   SettingsParseResult, parseIni, formatIni
 *   validateTree       checks values of different keys against each other
 *   SettingsError      exception that holds all issues
 *   EffectiveValue, effectiveValue, explain   the inherited or own value at a node, and the node that sets it
 *   SettingsChange     one changed value; difference() and applyChanges()
 *
 * Settings in INI
 *   [root]
 *   scheduling.tail-weight = 8
 *   [region baltic-north]
 *   [domain baltic-north/muuga]
 *   worker.lease = 45s
 *   [service baltic-north/muuga/slot-checks]
 *   service.deadline = 300ms
 *   [tenant harvest-desk]                          ; applies in every failure domain
 *   tenant.cpu-millis = 200000
 *   [tenant harvest-desk in baltic-north/muuga]    ; applies in this failure domain only
 *   tenant.cpu-millis = 64000
 *
 * A tenant's value is the first one found at: the tenant in the failure domain, the tenant, the failure domain, its
 * region, the root, the key's default. A quota limits each failure domain separately, so a network partition between
 * failure domains cannot make a tenant exceed it.
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
    Duration, ///< a number with the unit us, ms, s, min or h; parsed to microseconds
    Boolean,  ///< true or false
    Choice,   ///< one of the words in SettingKey::choices
    Text,     ///< text on one line, up to MaxTextBytes, without ';'
};

constexpr std::size_t MaxTextBytes = 150;

/** Bit flags: kinds of nodes at which a key may be set. */
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
    std::string_view unit;         ///< Integer: what it counts or is measured in; may be empty
    std::int64_t minValue = 0;     ///< inclusive; Integer: in its unit; Duration: microseconds
    std::int64_t maxValue = 0;     ///< inclusive
    std::string_view choices;      ///< Choice: words separated by '|'
    std::string_view defaultValue; ///< value if no node sets the key
    std::string_view help;         ///< one line of docs/SETTINGS.md
};

std::span<const SettingKey> settingKeys(); ///< ordered by name
const SettingKey *findSettingKey(std::string_view name);

/** Human-readable description of the values that @p key accepts, such as "100ms to 1h". */
std::string allowedValues(const SettingKey &key);

/** Converts @p text to the form that is stored ("1000ms" to "1s"). Returns nullopt if the value is not allowed. */
std::optional<std::string> canonicalValue(const SettingKey &key, std::string_view text);

/** Whether processes act on @p key. Other keys are validated, stored and propagated, but have no effect yet. */
bool hasEffect(const SettingKey &key);

std::string settingsReferencePage(); ///< contents of docs/SETTINGS.md

// ---------------------------------------------------------------------------------------------------------------------
// SettingsPath, SettingsTree
// ---------------------------------------------------------------------------------------------------------------------

/** Identifies a node of the tree. Unused parts are empty; the root has no parts. */
struct SettingsPath
{
    std::string region;
    std::string failureDomain;
    std::string service;
    std::string tenant; ///< with or without a region and failure domain

    auto operator<=>(const SettingsPath &) const = default;
};

std::string toString(const SettingsPath &path); ///< as in an INI section: "domain baltic-north/muuga"
std::optional<SettingsPath> parsePath(std::string_view text);
std::uint8_t levelOf(const SettingsPath &path); ///< one bit of SettingLevels

/** The nodes that are searched for a value at @p path, in this order: @p path itself first, the root last. */
std::vector<SettingsPath> inheritanceChain(const SettingsPath &path);

using SettingsNode = std::map<std::string, std::string, std::less<>>; ///< key -> canonical value
using SettingsTree = std::map<SettingsPath, SettingsNode>;            ///< no empty nodes

std::string digestOf(std::uint64_t version, const SettingsTree &tree); ///< 16 hex digits

// ---------------------------------------------------------------------------------------------------------------------
// INI and validation
// ---------------------------------------------------------------------------------------------------------------------

struct SettingsIssue
{
    std::string file; ///< empty if the value did not come from a file
    int line = 0;     ///< 0: unknown
    std::string section;
    std::string key;
    std::string value;
    std::string message; ///< what is wrong, and what is allowed
};

std::string toString(const SettingsIssue &issue); ///< "muuga.ini:12: [root] worker.lease = 1: not ...; allowed: ..."

struct SettingsParseResult
{
    SettingsTree tree;
    std::vector<SettingsIssue> issues; ///< all issues; the tree holds the valid values
};

SettingsParseResult parseIni(std::string_view text, const std::string &file);
std::string formatIni(const SettingsTree &tree); ///< parseIni() restores the same tree

/** Checks values of different keys against each other, such as the heartbeat interval and the suspect time. */
std::vector<SettingsIssue> validateTree(const SettingsTree &tree);

/** Reports all issues of an edit at once: what() holds one line per issue. */
class SettingsError : public Error
{
public:
    explicit SettingsError(std::vector<SettingsIssue> issues);
    const std::vector<SettingsIssue> &issues() const noexcept;

private:
    std::vector<SettingsIssue> m_issues;
};

// ---------------------------------------------------------------------------------------------------------------------
// Effective values
// ---------------------------------------------------------------------------------------------------------------------

struct EffectiveValue
{
    std::string key;
    std::string value;
    std::optional<SettingsPath> origin; ///< node that sets the value; nullopt: the default of the key
};

/** @p key must be in the table of keys (checked by an assertion). */
EffectiveValue effectiveValue(const SettingsTree &tree, const SettingsPath &path, std::string_view key);

/** The effective value and its origin for every key that may be set at the kind of node of @p path. */
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
    std::optional<std::string> before; ///< nullopt: not set at this node
    std::optional<std::string> after;  ///< nullopt: removed, so the node inherits the value

    bool operator==(const SettingsChange &) const = default;
};

std::string toString(const SettingsChange &change); ///< "[root] worker.lease: 30s -> 45s"
std::vector<SettingsChange> difference(const SettingsTree &before, const SettingsTree &after);

/** Applies valid @p changes without comparing SettingsChange::before. Returns issues for the invalid ones. */
std::vector<SettingsIssue> applyChanges(SettingsTree &tree, std::span<const SettingsChange> changes);

namespace detail {

/** Sets @p key at @p path, or removes it if @p value is nullopt. If invalid, returns an issue without file and line. */
std::optional<SettingsIssue>
setValue(SettingsTree &tree, const SettingsPath &path, std::string_view key, const std::optional<std::string> &value);

std::optional<Duration> parseDuration(std::string_view text);
std::string formatDuration(Duration duration);

} // namespace detail

} // namespace QuetzalRock
