/**
 * The one document that holds the operators' tree in the platform's service, and how it is changed.
 *
 * Index of this file
 *   SettingsDocument   version, tree, history
 *   encodeDocument     one value of the service: JSON, compressed where it is long
 *   SettingsEdit       what an operator asks for
 *   SettingsConflict   somebody else was first; with the difference
 *   SettingsStore      reads and writes the document by compare-and-swap
 *
 * Use
 *   SettingsDocument now = store.read();
 *   store.write({now.version, {{path, "worker.lease", "30s", "45s"}}, "ana", writeId});
 *
 * The whole tree has one version, so what an operator saw is what the change was made for: a change based on an older
 * version is refused with what happened since. The write id makes a repeat harmless and settles a lost answer.
 */
#pragma once

#include <platform/platform.h>
#include <settings/settings.h>

#include <deque>

namespace QuetzalRock {

constexpr std::string_view SettingsPrefix = "settings/";
constexpr std::string_view SettingsKeyName = "settings/tree";

/** One accepted change. */
struct HistoryEntry
{
    std::uint64_t version = 0; ///< that it made
    std::string who;
    WallTime when{};
    std::string writeId;
    std::vector<SettingsChange> changes;

    bool operator==(const HistoryEntry &) const = default;
};

struct SettingsDocument
{
    std::uint64_t version = 0; ///< 0: nothing was ever written
    SettingsTree tree;
    std::deque<HistoryEntry> history; ///< oldest first, the last MaxHistoryEntries versions

    bool operator==(const SettingsDocument &) const = default;
};

constexpr std::size_t MaxHistoryEntries = 256;

/** Larger edits are kept in the history without their changes, so that importing a tree does not fill the value. */
constexpr std::size_t MaxHistoryChanges = 400;

std::string encodeDocument(const SettingsDocument &document);
SettingsDocument decodeDocument(std::string_view value);                  ///< throws InvalidArgument
std::string encodeDocumentUncompressed(const SettingsDocument &document); ///< JSON, never compressed

std::string encodeHistory(std::span<const HistoryEntry> entries); ///< JSON
std::vector<HistoryEntry> decodeHistory(std::string_view json);   ///< throws InvalidArgument

/** Adds @p entry and applies its changes. Returns the faults of the changes; the document is then unchanged. */
std::vector<SettingsIssue> applyHistoryEntry(SettingsDocument &document, const HistoryEntry &entry);

// ---------------------------------------------------------------------------------------------------------------------
// SettingsStore
// ---------------------------------------------------------------------------------------------------------------------

struct SettingsEdit
{
    std::uint64_t baseVersion = 0; ///< that the operator saw
    std::vector<SettingsChange> changes;
    std::string who;     ///< authenticated name
    std::string writeId; ///< unique to this edit; the same one again asks for the same outcome
};

/** The settings moved on since baseVersion; nothing was written. */
class SettingsConflict : public Conflict
{
public:
    SettingsConflict(std::uint64_t version, std::vector<SettingsChange> since);

    std::uint64_t version() const noexcept; ///< now
    const std::vector<SettingsChange> &
    changesSinceBase() const noexcept; ///< what others changed; empty where it is too long ago

private:
    std::uint64_t m_version;
    std::vector<SettingsChange> m_since;
};

struct SettingsStoreCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; ///< compare-and-swaps
    std::uint64_t accepted = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t resolved = 0; ///< lost answers that were settled
};

/** Not thread-safe. */
class SettingsStore
{
public:
    SettingsStore(KeyValueService &service, Clock &clock);

    SettingsDocument read();

    /**
     * Makes the next version of @p edit, or finds that it was made already. Throws
     *   SettingsError      faults of keys, values or between them, all at once; nothing was written
     *   SettingsConflict   see there
     *   Conflict           the service holds less than @p knownVersion: it lost data, see docs/operating/settings.md
     *   Unavailable        nothing was written
     *   OutcomeUnknown     the answer was lost and the service is away: repeat with the same write id
     */
    SettingsDocument write(const SettingsEdit &edit, std::uint64_t knownVersion = 0);

    const SettingsStoreCounters &counters() const;

private:
    struct Stored
    {
        Revision revision = 0;
        SettingsDocument document;
    };

    Stored load();
    std::optional<SettingsDocument> tryWrite(const SettingsEdit &edit, std::uint64_t knownVersion);
    bool swapForSure(Revision expected, const std::string &value, const SettingsEdit &edit);
    [[noreturn]] void throwConflict(const SettingsEdit &edit, const SettingsDocument &document);

    KeyValueService &m_service;
    Clock &m_clock;
    SettingsStoreCounters m_counters;
};

} // namespace QuetzalRock
