/**
 * Reads settings from INI files into typed fields and reports each fault with its file and line.
 *
 * Index of this file
 *   SettingFault    file, line, section, key, value and allowed values
 *   IniFile         the entries of a file, in file order
 *   SettingsReader  copies entries into struct fields, section by section, and validates them
 *
 * Use
 *   std::vector<SettingFault> faults;
 *   const IniFile file = parseIni("local.ini", text, faults);
 *   SettingsReader reader(file, faults);
 *   reader.beginSection("listen");
 *   reader.readInt("threads", settings.threads, 1, 64);
 *   reader.endSection();     // each key of the section that was not read is a fault
 *   reader.endFile();        // each section that was not read is a fault
 */
#pragma once

#include <base/clock.h>

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

struct SettingFault
{
    std::string file;
    int line = 0; ///< 1-based; 0: the key is missing from the file
    std::string section;
    std::string key;
    std::string value;
    std::string allowed; ///< description of the accepted values

    std::string toString() const; ///< "file:line: [section] key = value: allowed: ..."
};

struct IniEntry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0; ///< 1-based
};

struct IniFile
{
    std::string name;              ///< file name to show in faults
    std::vector<IniEntry> entries; ///< in file order
};

constexpr std::size_t MaxIniLineBytes = 198; ///< inih's line limit minus the line terminator

/** Parses @p text. Malformed or overlong lines and duplicate keys within a section are appended to @p faults. */
IniFile parseIni(std::string_view name, std::string_view text, std::vector<SettingFault> &faults);

/** Returns the contents of the file at @p path. Throws NotFound if it cannot be read. */
std::string readTextFile(const std::string &path);

class SettingsReader
{
public:
    SettingsReader(const IniFile &file, std::vector<SettingFault> &faults);

    /** Returns the distinct section names that start with @p prefix, such as "class.", in file order. */
    std::vector<std::string> sectionsWithPrefix(std::string_view prefix) const;

    void beginSection(std::string_view section);
    void endSection();
    void endFile();

    // Each read function leaves the field unchanged if the key is absent or its value is invalid. Bounds are inclusive.
    void readString(std::string_view key, std::string &field);
    void readRequired(std::string_view key, std::string &field); ///< adds a fault if the field is empty afterwards
    void readBool(std::string_view key, bool &field);            ///< "true" or "false"
    void readInt(std::string_view key, std::int64_t &field, std::int64_t minimum, std::int64_t maximum);
    void readDouble(std::string_view key, double &field, double minimum, double maximum);
    void readMillis(std::string_view key, Duration &field, std::int64_t minimum, std::int64_t maximum); ///< in ms
    void readChoice(std::string_view key, std::string &field, std::span<const std::string_view> choices);
    void readAddress(std::string_view key, std::string &field);           ///< "ip:port"
    void readList(std::string_view key, std::vector<std::string> &field); ///< comma-separated; empty items are skipped

    void addFault(std::string_view key, std::string_view allowed); ///< for a key of the current section

private:
    const IniEntry *findAndMarkRead(std::string_view key);
    const IniEntry *findEntry(std::string_view key) const;

    const IniFile &m_file;
    std::vector<SettingFault> &m_faults;
    std::string m_section;
    std::set<std::string, std::less<>> m_readSections;
    std::set<std::string, std::less<>> m_readKeys; ///< of the current section
};

} // namespace QuetzalRock
