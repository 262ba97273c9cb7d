#include <settings/settings.h>

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <set>

namespace QuetzalRock {

namespace {

constexpr std::size_t MaxLineBytes = INI_MAX_LINE - 3; ///< inih truncates longer lines
constexpr int MaxSyntaxErrors = 50;                    ///< parseIni() reports no more syntax errors than this

/** Passes the text to inih line by line, which makes the line number of each value known. */
struct IniReader
{
    std::string_view text;
    const std::set<int> &skippedLines; ///< lines already reported; inih is passed empty lines instead
    int line = 0;                      ///< number of the line passed last, from 1
    SettingsParseResult &parse;
    const std::string &file;
    std::set<std::pair<std::string, std::string>> seenKeys; ///< section and key, to find duplicates
    std::vector<std::string> sectionNames;                  ///< full names; inih is passed their indexes instead
};

/**
 * Replaces the section name in @p line by its index in IniReader::sectionNames. inih truncates section names after 49
 * bytes, and a truncated name could be that of another node.
 */
std::string replaceSectionWithIndex(IniReader &reader, std::string_view line)
{
    const std::size_t open = line.find_first_not_of(" \t");
    if (open == std::string_view::npos || line[open] != '[') {
        return std::string(line);
    }
    const std::size_t close = line.find(']', open);
    if (close == std::string_view::npos) {
        return std::string(line);
    }
    reader.sectionNames.emplace_back(line.substr(open + 1, close - open - 1));
    std::string text(line.substr(0, open + 1));
    text += std::to_string(reader.sectionNames.size() - 1);
    text += line.substr(close);
    return text;
}

char *readLine(char *buf, int size, void *stream)
{
    IniReader &reader = *static_cast<IniReader *>(stream);
    if (reader.text.empty()) {
        return nullptr;
    }
    ++reader.line;
    const std::size_t end = reader.text.find('\n');
    std::string_view line = reader.text.substr(0, end);
    reader.text.remove_prefix(end == std::string_view::npos ? reader.text.size() : end + 1);
    if (reader.skippedLines.contains(reader.line)) {
        line = {};
    }
    const std::string shortened = replaceSectionWithIndex(reader, line);
    const std::size_t n = std::min(shortened.size(), static_cast<std::size_t>(size - 2));
    std::memcpy(buf, shortened.data(), n);
    buf[n] = '\n';
    buf[n + 1] = '\0';
    return buf;
}

int onIniValue(void *user, const char *section, const char *name, const char *value)
{
    IniReader &reader = *static_cast<IniReader *>(user);
    const std::string sectionName = *section ? reader.sectionNames.at(std::stoul(section)) : std::string();
    SettingsIssue issue{reader.file, reader.line, sectionName, name, value, {}};
    const std::optional<SettingsPath> path = parsePath(sectionName);
    if (!path) {
        issue.message = "no such kind of section; allowed: root, region R, domain R/D, service R/D/S, tenant T, "
                        "tenant T in R/D, with names of letters, digits, dots, dashes and underscores";
    } else if (!reader.seenKeys.insert({sectionName, name}).second) {
        issue.message = "duplicate key in this section";
    } else if (auto valueIssue = detail::setValue(reader.parse.tree, *path, name, std::string(value))) {
        issue.message = valueIssue->message;
    }
    if (!issue.message.empty()) {
        reader.parse.issues.push_back(std::move(issue));
    }
    return 1;
}

std::string lineAt(std::string_view text, int line)
{
    for (int i = 1; i < line; ++i) {
        text.remove_prefix(std::min(text.find('\n'), text.size() - 1) + 1);
    }
    return std::string(text.substr(0, text.find('\n')));
}

/** Reports lines that inih would truncate, and lines with a NUL byte, which C strings cannot represent. */
void findUnreadableLines(std::string_view text,
                         const std::string &file,
                         SettingsParseResult &parse,
                         std::set<int> &skippedLines)
{
    int line = 0;
    while (!text.empty()) {
        ++line;
        const std::size_t end = text.find('\n');
        const std::string_view it = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        const bool tooLong = it.size() > MaxLineBytes;
        if (tooLong || it.find('\0') != std::string_view::npos) {
            const std::string message = tooLong ? "longer than " + std::to_string(MaxLineBytes) + " bytes"
                                                : std::string("contains a NUL byte");
            parse.issues.push_back({file, line, {}, {}, std::string(it.substr(0, 40)), message});
            skippedLines.insert(line);
        }
    }
}

} // namespace

SettingsParseResult parseIni(std::string_view text, const std::string &file)
{
    std::set<int> skippedLines;
    std::vector<SettingsIssue> syntax;
    SettingsParseResult unreadable;
    findUnreadableLines(text, file, unreadable, skippedLines);
    // inih reports only the first line with a syntax error. Parses again without that line until no error is left.
    for (;;) {
        SettingsParseResult parse;
        parse.issues = unreadable.issues;
        IniReader reader{text, skippedLines, 0, parse, file, {}, {}};
        const int badLine = ini_parse_stream(readLine, &reader, onIniValue, &reader);
        if (badLine <= 0 || static_cast<int>(syntax.size()) == MaxSyntaxErrors) {
            parse.issues.insert(parse.issues.end(), syntax.begin(), syntax.end());
            std::stable_sort(
                parse.issues.begin(), parse.issues.end(), [](const auto &a, const auto &b) { return a.line < b.line; });
            return parse;
        }
        syntax.push_back({file, badLine, {}, {}, lineAt(text, badLine), "not a [section], a key = value or a comment"});
        skippedLines.insert(badLine);
    }
}

std::string formatIni(const SettingsTree &tree)
{
    std::string text;
    for (const auto &[path, node] : tree) {
        text += text.empty() ? "[" : "\n[";
        text += toString(path);
        text += "]\n";
        for (const auto &[key, value] : node) {
            text += key;
            text += " = ";
            text += value;
            text += '\n';
        }
    }
    return text;
}

std::string toString(const SettingsIssue &issue)
{
    std::string text = issue.file;
    if (issue.line != 0) {
        text += ":" + std::to_string(issue.line);
    }
    text += text.empty() ? "" : ": ";
    if (!issue.section.empty()) {
        text += "[" + issue.section + "] ";
    }
    if (!issue.key.empty()) {
        text += issue.key + " = ";
    }
    return text + issue.value + ": " + issue.message;
}

// ---------------------------------------------------------------------------------------------------------------------
// Validation across keys
// ---------------------------------------------------------------------------------------------------------------------

namespace {

/** Adds an issue if the effective value of @p key at @p path exceeds that of @p limitKey divided by @p factor. */
void checkUpperBound(const SettingsTree &tree,
                     const SettingsPath &path,
                     std::string_view key,
                     std::string_view limitKey,
                     int factor,
                     std::vector<SettingsIssue> &issues)
{
    const Duration value = durationSetting(tree, path, key);
    const Duration limit = durationSetting(tree, path, limitKey);
    if (value * factor > limit) {
        const std::string maximum = detail::formatDuration(limit / factor);
        const std::string message = "above what " + std::string(limitKey) + " = " + detail::formatDuration(limit)
                                    + " allows here; allowed: up to " + maximum;
        issues.push_back({{}, 0, toString(path), std::string(key), detail::formatDuration(value), message});
    }
}

} // namespace

std::vector<SettingsIssue> validateTree(const SettingsTree &tree)
{
    std::vector<SettingsIssue> issues;
    const auto check = [&](const SettingsPath &path) {
        if (levelOf(path) == AtTenant) {
            return;
        }
        checkUpperBound(tree, path, "service.hedge-after", "service.deadline", 1, issues);
        if (levelOf(path) != AtService) {
            checkUpperBound(tree, path, "member.heartbeat-interval", "member.suspect-after", 2, issues);
        }
    };
    for (const auto &[path, node] : tree) {
        check(path);
    }
    return issues;
}

namespace {

std::string joinIssues(const std::vector<SettingsIssue> &issues)
{
    std::string text;
    for (const SettingsIssue &it : issues) {
        text += text.empty() ? "" : "\n";
        text += toString(it);
    }
    return text;
}

} // namespace

SettingsError::SettingsError(std::vector<SettingsIssue> issues)
    : Error(ErrorCode::InvalidArgument, joinIssues(issues), issues.empty() ? std::string() : issues.front().key)
    , m_issues(std::move(issues))
{
}

const std::vector<SettingsIssue> &SettingsError::issues() const noexcept
{
    return m_issues;
}

} // namespace QuetzalRock
