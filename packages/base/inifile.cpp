#include <base/inifile.h>

#include <base/errors.h>

#include <arpa/inet.h>
#include <ini.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>

namespace QuetzalRock {

namespace {

/** State of one parse. Counts lines because inih does not pass the line number to its entry handler. */
struct LineSource
{
    std::string_view remaining;
    int line = 0;
    IniFile *file = nullptr;
    std::vector<SettingFault> *faults = nullptr;
};

char *nextLine(char *buf, int size, void *stream)
{
    auto *source = static_cast<LineSource *>(stream);
    if (source->remaining.empty()) {
        return nullptr;
    }
    ++source->line;
    const std::size_t end = source->remaining.find('\n');
    std::string_view line = source->remaining.substr(0, end);
    source->remaining = end == std::string_view::npos ? std::string_view() : source->remaining.substr(end + 1);
    const std::size_t maxBytes = std::min(MaxIniLineBytes, static_cast<std::size_t>(size) - 2);
    if (line.size() > maxBytes) {
        const std::string allowed = "lines of at most " + std::to_string(maxBytes) + " bytes";
        source->faults->push_back({source->file->name, source->line, {}, {}, {}, allowed});
        line = {};
    }
    std::memcpy(buf, line.data(), line.size());
    buf[line.size()] = '\n';
    buf[line.size() + 1] = '\0';
    return buf;
}

int addEntry(void *user, const char *section, const char *key, const char *value)
{
    auto *source = static_cast<LineSource *>(user);
    IniEntry entry{section, key, value ? value : "", source->line};
    const auto duplicate
        = std::find_if(source->file->entries.begin(), source->file->entries.end(), [&](const IniEntry &it) {
              return it.section == entry.section && it.key == entry.key;
          });
    if (duplicate != source->file->entries.end()) {
        const std::string allowed
            = "each key at most once per section (first used on line " + std::to_string(duplicate->line) + ")";
        source->faults->push_back({source->file->name, entry.line, entry.section, entry.key, entry.value, allowed});
        return 1;
    }
    source->file->entries.push_back(std::move(entry));
    return 1;
}

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    in_addr address{};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1) {
        return false;
    }
    int port = -1;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, ec] = std::from_chars(text.data() + colon + 1, end, port);
    return ec == std::errc() && parsedEnd == end && port >= 0 && port <= 65535;
}

template<typename T>
bool parseNumber(const std::string &text, T &number)
{
    const char *end = text.data() + text.size();
    const auto [parsedEnd, ec] = std::from_chars(text.data(), end, number);
    return ec == std::errc() && parsedEnd == end && !text.empty();
}

} // namespace

std::string SettingFault::toString() const
{
    std::string text = file + ":" + std::to_string(line) + ": ";
    if (!section.empty()) {
        text += "[" + section + "] ";
    }
    if (!key.empty()) {
        text += key + " = " + value + ": ";
    }
    return text + "allowed: " + allowed;
}

IniFile parseIni(std::string_view name, std::string_view text, std::vector<SettingFault> &faults)
{
    IniFile file;
    file.name = name;
    LineSource source{text, 0, &file, &faults};
    const int firstBadLine = ini_parse_stream(nextLine, &source, addEntry, &source);
    if (firstBadLine != 0) {
        faults.push_back({file.name, firstBadLine, {}, {}, {}, "[section], key = value, or a comment after ; or #"});
    }
    return file;
}

std::string readTextFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        throw NotFound("cannot read " + path);
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

SettingsReader::SettingsReader(const IniFile &file, std::vector<SettingFault> &faults)
    : m_file(file)
    , m_faults(faults)
{
}

std::vector<std::string> SettingsReader::sectionsWithPrefix(std::string_view prefix) const
{
    std::vector<std::string> found;
    for (const IniEntry &it : m_file.entries) {
        const bool isNew = std::find(found.begin(), found.end(), it.section) == found.end();
        if (it.section.starts_with(prefix) && isNew) {
            found.push_back(it.section);
        }
    }
    return found;
}

void SettingsReader::beginSection(std::string_view section)
{
    assert(m_section.empty() && "endSection() is missing");
    m_section = section;
    m_readSections.insert(m_section);
    m_readKeys.clear();
}

void SettingsReader::endSection()
{
    assert(!m_section.empty() && "beginSection() is missing");
    for (const IniEntry &it : m_file.entries) {
        if (it.section == m_section && !m_readKeys.contains(it.key)) {
            m_faults.push_back({m_file.name, it.line, it.section, it.key, it.value, "no such key in this section"});
        }
    }
    m_section.clear();
}

void SettingsReader::endFile()
{
    std::set<std::string> reported;
    for (const IniEntry &it : m_file.entries) {
        if (!m_readSections.contains(it.section) && reported.insert(it.section).second) {
            m_faults.push_back({m_file.name, it.line, it.section, {}, {}, "no such section"});
        }
    }
}

void SettingsReader::readString(std::string_view key, std::string &field)
{
    if (const IniEntry *it = findAndMarkRead(key)) {
        field = it->value;
    }
}

void SettingsReader::readRequired(std::string_view key, std::string &field)
{
    readString(key, field);
    if (field.empty()) {
        addFault(key, "any non-empty value; the key is required");
    }
}

void SettingsReader::readBool(std::string_view key, bool &field)
{
    const IniEntry *it = findAndMarkRead(key);
    if (!it) {
        return;
    }
    if (it->value != "true" && it->value != "false") {
        addFault(key, "true or false");
        return;
    }
    field = it->value == "true";
}

void SettingsReader::readInt(std::string_view key, std::int64_t &field, std::int64_t minimum, std::int64_t maximum)
{
    const IniEntry *it = findAndMarkRead(key);
    if (!it) {
        return;
    }
    std::int64_t n = 0;
    if (!parseNumber(it->value, n) || n < minimum || n > maximum) {
        addFault(key, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return;
    }
    field = n;
}

void SettingsReader::readDouble(std::string_view key, double &field, double minimum, double maximum)
{
    const IniEntry *it = findAndMarkRead(key);
    if (!it) {
        return;
    }
    double n = 0;
    if (!parseNumber(it->value, n) || !(n >= minimum && n <= maximum)) {
        std::ostringstream allowed;
        allowed << "a number from " << minimum << " to " << maximum;
        addFault(key, allowed.str());
        return;
    }
    field = n;
}

void SettingsReader::readMillis(std::string_view key, Duration &field, std::int64_t minimum, std::int64_t maximum)
{
    std::int64_t n = std::chrono::duration_cast<std::chrono::milliseconds>(field).count();
    const std::int64_t before = n;
    readInt(key, n, minimum, maximum);
    if (n != before) {
        field = std::chrono::milliseconds(n);
    }
}

void SettingsReader::readChoice(std::string_view key, std::string &field, std::span<const std::string_view> choices)
{
    const IniEntry *it = findAndMarkRead(key);
    if (!it) {
        return;
    }
    if (std::find(choices.begin(), choices.end(), it->value) != choices.end()) {
        field = it->value;
        return;
    }
    std::string allowed = "one of";
    for (const std::string_view choice : choices) {
        allowed += " ";
        allowed += choice;
    }
    addFault(key, allowed);
}

void SettingsReader::readAddress(std::string_view key, std::string &field)
{
    const IniEntry *it = findAndMarkRead(key);
    if (!it) {
        return;
    }
    if (!isAddress(it->value)) {
        addFault(key, "ip:port, such as 127.0.0.1:8080");
        return;
    }
    field = it->value;
}

void SettingsReader::readList(std::string_view key, std::vector<std::string> &field)
{
    const IniEntry *it = findAndMarkRead(key);
    if (!it) {
        return;
    }
    field.clear();
    std::istringstream in(it->value);
    for (std::string item; std::getline(in, item, ',');) {
        const std::size_t first = item.find_first_not_of(" \t");
        const std::size_t last = item.find_last_not_of(" \t");
        if (first != std::string::npos) {
            field.push_back(item.substr(first, last - first + 1));
        }
    }
}

void SettingsReader::addFault(std::string_view key, std::string_view allowed)
{
    const IniEntry *it = findEntry(key);
    const int line = it ? it->line : 0;
    const std::string value = it ? it->value : "";
    m_faults.push_back({m_file.name, line, m_section, std::string(key), value, std::string(allowed)});
}

const IniEntry *SettingsReader::findAndMarkRead(std::string_view key)
{
    assert(!m_section.empty() && "beginSection() is missing");
    m_readKeys.emplace(key);
    return findEntry(key);
}

const IniEntry *SettingsReader::findEntry(std::string_view key) const
{
    const auto it = std::find_if(m_file.entries.begin(), m_file.entries.end(), [&](const IniEntry &entry) {
        return entry.section == m_section && entry.key == key;
    });
    return it == m_file.entries.end() ? nullptr : &*it;
}

} // namespace QuetzalRock
