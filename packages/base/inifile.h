/**
 * Settings files: INI text in, typed fields out, every fault with its place.
 *
 * Index of this file
 *   SettingFault    file, line, section, key, value and what is allowed
 *   IniFile         the entries of a file in their order
 *   SettingsReader  moves entries into the fields of aggregates, section by section
 *
 * Use
 *   std::vector<SettingFault> faults;
 *   const IniFile file = parseIni("local.ini", text, faults);
 *   SettingsReader reader(file, faults);
 *   reader.beginSection("listen");
 *   reader.readInt("threads", settings.threads, 1, 64);
 *   reader.endSection();     // keys that nobody read are faults
 *   reader.endFile();        // so are sections that nobody read
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
    int line = 0; ///< from 1; 0 where a key is missing
    std::string section;
    std::string key;
    std::string value;
    std::string allowed; ///< for people

    std::string toString() const; ///< "file:line: [section] key = value: what is allowed"
};

struct IniEntry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0; ///< from 1
};

struct IniFile
{
    std::string name;              ///< as shown in faults
    std::vector<IniEntry> entries; ///< in the order of the file
};

constexpr std::size_t MaxIniLineBytes = 198; ///< inih's own limit less the line's end

/** Parses @p text; lines that are no INI, and keys that stand twice in a section, go to @p faults. */
IniFile parseIni(std::string_view name, std::string_view text, std::vector<SettingFault> &faults);

/** The text of the file at @p path. Throws NotFound. */
std::string readTextFile(const std::string &path);

class SettingsReader
{
public:
    SettingsReader(const IniFile &file, std::vector<SettingFault> &faults);

    /** Names of the sections that start with @p prefix, such as "class.", in the order of the file. */
    std::vector<std::string> sectionsWithPrefix(std::string_view prefix) const;

    void beginSection(std::string_view section);
    void endSection();
    void endFile();

    // Each leaves the field as it is where the key is absent. Bounds are inclusive.
    void readString(std::string_view key, std::string &field);
    void readRequired(std::string_view key, std::string &field); ///< absent or empty is a fault
    void readBool(std::string_view key, bool &field);            ///< true or false
    void readInt(std::string_view key, std::int64_t &field, std::int64_t least, std::int64_t most);
    void readDouble(std::string_view key, double &field, double least, double most);
    void readMillis(std::string_view key, Duration &field, std::int64_t least, std::int64_t most); ///< milliseconds
    void readChoice(std::string_view key, std::string &field, std::span<const std::string_view> choices);
    void readAddress(std::string_view key, std::string &field);           ///< "ip:port"
    void readList(std::string_view key, std::vector<std::string> &field); ///< separated by commas

    void addFault(std::string_view key, std::string_view allowed); ///< on a key of the open section

private:
    const IniEntry *find(std::string_view key);
    const IniEntry *peek(std::string_view key) const;

    const IniFile &m_file;
    std::vector<SettingFault> &m_faults;
    std::string m_section;
    std::set<std::string, std::less<>> m_readSections;
    std::set<std::string, std::less<>> m_readKeys; ///< of the open section
};

} // namespace QuetzalRock
