#include <settings/settingsstore.h>

#include <nlohmann/json.hpp>
#include <zlib.h>

#include <charconv>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

constexpr std::size_t CompressionThreshold = 16'384;     ///< bytes; shorter JSON stays readable in the store
constexpr std::size_t MaxUncompressedBytes = 32'000'000; ///< larger declared sizes are rejected
constexpr std::string_view CompressedPrefix = "zlib:";   ///< then the decimal size of the JSON, a colon, the data

Json toJson(const std::optional<std::string> &value)
{
    return value ? Json(*value) : Json();
}

std::optional<std::string> parseValue(const Json &json)
{
    return json.is_null() ? std::nullopt : std::optional(json.get<std::string>());
}

SettingsPath parseNodePath(const std::string &text)
{
    const std::optional<SettingsPath> path = parsePath(text);
    if (!path) {
        throw InvalidArgument("settings", "not a valid path of a node: " + text);
    }
    return *path;
}

Json toJson(const HistoryEntry &entry)
{
    Json changes = Json::array();
    for (const SettingsChange &it : entry.changes) {
        changes.push_back({toString(it.path), it.key, toJson(it.before), toJson(it.after)});
    }
    return {{"version", entry.version},
            {"who", entry.who},
            {"when", entry.when.count()},
            {"id", entry.writeId},
            {"changes", std::move(changes)}};
}

HistoryEntry parseHistoryEntry(const Json &json)
{
    HistoryEntry entry;
    json.at("version").get_to(entry.version);
    json.at("who").get_to(entry.who);
    entry.when = WallTime(json.at("when").get<std::int64_t>());
    json.at("id").get_to(entry.writeId);
    for (const Json &it : json.at("changes")) {
        entry.changes.push_back({parseNodePath(it.at(0).get<std::string>()),
                                 it.at(1).get<std::string>(),
                                 parseValue(it.at(2)),
                                 parseValue(it.at(3))});
    }
    return entry;
}

std::string compress(const std::string &plain)
{
    uLongf n = compressBound(plain.size());
    std::string data(n, '\0');
    compress2(reinterpret_cast<Bytef *>(data.data()),
              &n,
              reinterpret_cast<const Bytef *>(plain.data()),
              plain.size(),
              Z_DEFAULT_COMPRESSION);
    data.resize(n);
    return std::string(CompressedPrefix) + std::to_string(plain.size()) + ":" + data;
}

std::string decompress(std::string_view value)
{
    value.remove_prefix(CompressedPrefix.size());
    std::size_t size = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), size);
    const std::size_t headerBytes = static_cast<std::size_t>(end - value.data()) + 1;
    if (ec != std::errc() || size > MaxUncompressedBytes || headerBytes > value.size() || *end != ':') {
        throw InvalidArgument("settings", "the compressed value has no valid size");
    }
    const std::string_view data = value.substr(headerBytes);
    std::string plain(size, '\0');
    uLongf n = size;
    const int rc = uncompress(
        reinterpret_cast<Bytef *>(plain.data()), &n, reinterpret_cast<const Bytef *>(data.data()), data.size());
    if (rc != Z_OK || n != size) {
        throw InvalidArgument("settings", "the compressed value is corrupt");
    }
    return plain;
}

template<typename Parse>
auto parseJson(std::string_view text, Parse parse)
{
    try {
        return parse(Json::parse(text));
    } catch (const Json::exception &ec) {
        throw InvalidArgument("settings", ec.what());
    }
}

} // namespace

std::string encodeDocumentUncompressed(const SettingsDocument &document)
{
    Json tree = Json::object();
    for (const auto &[path, node] : document.tree) {
        tree[toString(path)] = node;
    }
    Json history = Json::array();
    for (const HistoryEntry &it : document.history) {
        history.push_back(toJson(it));
    }
    const Json json = {{"version", document.version}, {"tree", std::move(tree)}, {"history", std::move(history)}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encodeDocument(const SettingsDocument &document)
{
    std::string plain = encodeDocumentUncompressed(document);
    return plain.size() < CompressionThreshold ? plain : compress(plain);
}

SettingsDocument decodeDocument(std::string_view value)
{
    const std::string plain = value.starts_with(CompressedPrefix) ? decompress(value) : std::string(value);
    return parseJson(plain, [](const Json &json) {
        SettingsDocument document;
        json.at("version").get_to(document.version);
        for (const auto &[path, node] : json.at("tree").items()) {
            document.tree[parseNodePath(path)] = node.get<SettingsNode>();
        }
        for (const Json &it : json.at("history")) {
            document.history.push_back(parseHistoryEntry(it));
        }
        return document;
    });
}

std::string encodeHistory(std::span<const HistoryEntry> entries)
{
    Json json = Json::array();
    for (const HistoryEntry &it : entries) {
        json.push_back(toJson(it));
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<HistoryEntry> decodeHistory(std::string_view text)
{
    return parseJson(text, [](const Json &json) {
        std::vector<HistoryEntry> entries;
        for (const Json &it : json) {
            entries.push_back(parseHistoryEntry(it));
        }
        return entries;
    });
}

std::vector<SettingsIssue> applyHistoryEntry(SettingsDocument &document, const HistoryEntry &entry)
{
    SettingsTree tree = document.tree;
    std::vector<SettingsIssue> issues = applyChanges(tree, entry.changes);
    if (issues.empty()) {
        issues = validateTree(tree);
    }
    if (!issues.empty()) {
        return issues;
    }
    document.tree = std::move(tree);
    document.version = entry.version;
    document.history.push_back(entry);
    if (entry.changes.size() > MaxChangesPerHistoryEntry) {
        document.history.back().changes.clear();
    }
    if (document.history.size() > MaxHistoryEntries) {
        document.history.pop_front();
    }
    return {};
}

} // namespace QuetzalRock
