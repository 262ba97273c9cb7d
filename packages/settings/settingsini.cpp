#include <settings/settings.h>

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <set>

namespace QuetzalRock {

namespace {

constexpr std::size_t MaxLineBytes = INI_MAX_LINE - 3; ///< inih cuts longer lines
constexpr int MaxSyntaxFaults = 50;                    ///< after so many the rest of the file is not looked at

/** Feeds inih line by line, and so knows the line that a value came from. */
struct Reader
{
    std::string_view text;
    const std::set<int> &skipped; ///< lines that were reported already
    int line = 0;                 ///< of the line given last, from 1
    SettingsParseResult &parse;
    const std::string &file;
    std::set<std::pair<std::string, std::string>> seen; ///< sections and keys
    std::vector<std::string> sections;                  ///< heads in full; inih gets their index and hands it back
};

/** inih cuts the head of a section after 49 bytes, which would name another node: so it gets a number in its place. */
std::string withShortHead(Reader &reader, std::string_view line)
{
    const std::size_t open = line.find_first_not_of(" \t");
    if (open == std::string_view::npos || line[open] != '[') {
        return std::string(line);
    }
    const std::size_t close = line.find(']', open);
    if (close == std::string_view::npos) {
        return std::string(line);
    }
    reader.sections.emplace_back(line.substr(open + 1, close - open - 1));
    std::string text(line.substr(0, open + 1));
    text += std::to_string(reader.sections.size() - 1);
    text += line.substr(close);
    return text;
}

char *readLine(char *buf, int size, void *stream)
{
    Reader &reader = *static_cast<Reader *>(stream);
    if (reader.text.empty()) {
        return nullptr;
    }
    ++reader.line;
    const std::size_t end = reader.text.find('\n');
    std::string_view line = reader.text.substr(0, end);
    reader.text.remove_prefix(end == std::string_view::npos ? reader.text.size() : end + 1);
    if (reader.skipped.contains(reader.line)) {
        line = {};
    }
    const std::string shown = withShortHead(reader, line);
    const std::size_t n = std::min(shown.size(), static_cast<std::size_t>(size - 2));
    std::memcpy(buf, shown.data(), n);
    buf[n] = '\n';
    buf[n + 1] = '\0';
    return buf;
}

int takeValue(void *user, const char *section, const char *name, const char *value)
{
    Reader &reader = *static_cast<Reader *>(user);
    const std::string head = *section ? reader.sections.at(std::stoul(section)) : std::string();
    SettingsIssue issue{reader.file, reader.line, head, name, value, {}};
    const std::optional<SettingsPath> path = parsePath(head);
    if (!path) {
        issue.message = "no such kind of section; allowed: root, region R, domain R/D, service R/D/S, tenant T, "
                        "tenant T in R/D, with names of letters, digits, dots, dashes and underscores";
    } else if (!reader.seen.insert({head, name}).second) {
        issue.message = "given twice in this section";
    } else if (auto fault = detail::setValue(reader.parse.tree, *path, name, std::string(value))) {
        issue.message = fault->message;
    }
    if (!issue.message.empty()) {
        reader.parse.issues.push_back(std::move(issue));
    }
    return 1;
}

std::string lineOf(std::string_view text, int line)
{
    for (int i = 1; i < line; ++i) {
        text.remove_prefix(std::min(text.find('\n'), text.size() - 1) + 1);
    }
    return std::string(text.substr(0, text.find('\n')));
}

/** Lines that inih would cut, and what it cannot hold. */
void findUnreadableLines(std::string_view text,
                         const std::string &file,
                         SettingsParseResult &parse,
                         std::set<int> &skipped)
{
    int line = 0;
    while (!text.empty()) {
        ++line;
        const std::size_t end = text.find('\n');
        const std::string_view it = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        const bool tooLong = it.size() > MaxLineBytes;
        if (tooLong || it.find('\0') != std::string_view::npos) {
            const std::string message
                = tooLong ? "longer than " + std::to_string(MaxLineBytes) + " bytes" : std::string("holds a zero byte");
            parse.issues.push_back({file, line, {}, {}, std::string(it.substr(0, 40)), message});
            skipped.insert(line);
        }
    }
}

} // namespace

SettingsParseResult parseIni(std::string_view text, const std::string &file)
{
    std::set<int> skipped;
    std::vector<SettingsIssue> syntax;
    SettingsParseResult unreadable;
    findUnreadableLines(text, file, unreadable, skipped);
    // inih names only the first line that it cannot read: leave that line out and read again, until all are known.
    for (;;) {
        SettingsParseResult parse;
        parse.issues = unreadable.issues;
        Reader reader{text, skipped, 0, parse, file, {}, {}};
        const int bad = ini_parse_stream(readLine, &reader, takeValue, &reader);
        if (bad <= 0 || static_cast<int>(syntax.size()) == MaxSyntaxFaults) {
            parse.issues.insert(parse.issues.end(), syntax.begin(), syntax.end());
            std::stable_sort(
                parse.issues.begin(), parse.issues.end(), [](const auto &a, const auto &b) { return a.line < b.line; });
            return parse;
        }
        syntax.push_back({file, bad, {}, {}, lineOf(text, bad), "not a [section], a key = value or a comment"});
        skipped.insert(bad);
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
// Faults between keys
// ---------------------------------------------------------------------------------------------------------------------

namespace {

/** @p small must not be above @p large / @p factor where both hold. */
void checkOrder(const SettingsTree &tree,
                const SettingsPath &path,
                std::string_view small,
                std::string_view large,
                int factor,
                std::vector<SettingsIssue> &issues)
{
    const Duration a = durationSetting(tree, path, small);
    const Duration b = durationSetting(tree, path, large);
    if (a * factor > b) {
        const std::string most = detail::formatDuration(b / factor);
        const std::string message = "above what " + std::string(large) + " = " + detail::formatDuration(b)
                                    + " allows here; allowed: up to " + most;
        issues.push_back({{}, 0, toString(path), std::string(small), detail::formatDuration(a), message});
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
        checkOrder(tree, path, "service.hedge-after", "service.deadline", 1, issues);
        if (levelOf(path) != AtService) {
            checkOrder(tree, path, "member.heartbeat-interval", "member.suspect-after", 2, issues);
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
