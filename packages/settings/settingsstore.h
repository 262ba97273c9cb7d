/**
 * Stores the operators' settings as one document in the platform's key-value store.
 *
 * Index of this file
 *   HistoryEntry       one accepted edit
 *   SettingsDocument   version, tree and history of edits
 *   encodeDocument     encodes a document as JSON, compressed if it is long
 *   applyHistoryEntry  advances a document by one version
 *   SettingsEdit       changes requested by an operator
 *   SettingsConflict   exception for an edit of an outdated version; holds the changes made since that version
 *   SettingsStore      reads and writes the document by compare-and-swap
 *
 * Use
 *   SettingsDocument now = store.read();
 *   store.write({now.version, {{path, "worker.lease", "30s", "45s"}}, "ana", writeId});
 *
 * The whole tree has one version. An edit names the version that it is based on. If that is not the current version,
 * the edit is rejected with the changes made since. The write id makes an edit idempotent: it can be retried after a
 * lost answer.
 */
#pragma once

#include <platform/platform.h>
#include <settings/settings.h>

#include <deque>

namespace QuetzalRock {

constexpr std::string_view SettingsPrefix = "settings/";
constexpr std::string_view SettingsKeyName = "settings/tree";

/** One accepted edit. */
struct HistoryEntry
{
    std::uint64_t version = 0; ///< version that the edit created
    std::string who;           ///< authenticated name of the author
    WallTime when{};
    std::string writeId;
    std::vector<SettingsChange> changes; ///< empty if there were more than MaxChangesPerHistoryEntry

    bool operator==(const HistoryEntry &) const = default;
};

struct SettingsDocument
{
    std::uint64_t version = 0; ///< 0: no edit was ever written
    SettingsTree tree;
    std::deque<HistoryEntry> history; ///< oldest first, at most MaxHistoryEntries

    bool operator==(const SettingsDocument &) const = default;
};

constexpr std::size_t MaxHistoryEntries = 256;

/** The history keeps larger edits without their changes, so that importing a tree does not fill the stored value. */
constexpr std::size_t MaxChangesPerHistoryEntry = 400;

std::string encodeDocument(const SettingsDocument &document);
SettingsDocument decodeDocument(std::string_view value);                  ///< throws InvalidArgument
std::string encodeDocumentUncompressed(const SettingsDocument &document); ///< JSON, never compressed

std::string encodeHistory(std::span<const HistoryEntry> entries); ///< JSON
std::vector<HistoryEntry> decodeHistory(std::string_view json);   ///< throws InvalidArgument

/** Applies @p entry's changes and appends it to the history. If there are issues, returns them and changes nothing. */
std::vector<SettingsIssue> applyHistoryEntry(SettingsDocument &document, const HistoryEntry &entry);

// ---------------------------------------------------------------------------------------------------------------------
// SettingsStore
// ---------------------------------------------------------------------------------------------------------------------

struct SettingsEdit
{
    std::uint64_t baseVersion = 0; ///< version that the operator's changes are based on
    std::vector<SettingsChange> changes;
    std::string who;     ///< authenticated name of the author
    std::string writeId; ///< unique id of this edit; a retry must use the same one
};

/** The current version is not SettingsEdit::baseVersion. Nothing was written. */
class SettingsConflict : public Conflict
{
public:
    SettingsConflict(std::uint64_t version, std::vector<SettingsChange> changes);

    std::uint64_t version() const noexcept;                               ///< current version
    const std::vector<SettingsChange> &changesSinceBase() const noexcept; ///< empty if the history starts later

private:
    std::uint64_t m_version;
    std::vector<SettingsChange> m_changesSinceBase;
};

struct SettingsStoreCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;   ///< compare-and-swaps attempted
    std::uint64_t accepted = 0; ///< edits written, or found to be written before
    std::uint64_t conflicts = 0;
    std::uint64_t resolved = 0; ///< writes whose lost answer was resolved by a retry
};

/** Not thread-safe. */
class SettingsStore
{
public:
    SettingsStore(KeyValueService &service, Clock &clock);

    SettingsDocument read();

    /**
     * Writes the next version with the changes of @p edit, unless an edit with the same write id was written before.
     * Returns the document as stored. Throws
     *   SettingsError      the edit is invalid; holds all issues; nothing was written
     *   SettingsConflict   the edit is not based on the current version; nothing was written
     *   Conflict           the stored version is below @p knownVersion, the version active in this process, so the
     *                      key-value store lost data: see docs/operating/settings.md; nothing was written
     *   Unavailable        the key-value store is unavailable or other writes came first too often; nothing was written
     *   OutcomeUnknown     the answer was lost and no retry resolved it: call again with the same write id
     *   InvalidArgument    who or the write id is missing, or the document exceeds MaxValueBytes; nothing was written
     */
    SettingsDocument write(const SettingsEdit &edit, std::uint64_t knownVersion = 0);

    const SettingsStoreCounters &counters() const;

private:
    struct StoredDocument
    {
        Revision revision = 0;
        SettingsDocument document;
    };

    StoredDocument load();
    std::optional<SettingsDocument> tryWrite(const SettingsEdit &edit, std::uint64_t knownVersion);
    bool swapUntilResolved(Revision expected, const std::string &value, const SettingsEdit &edit);
    [[noreturn]] void throwConflict(const SettingsEdit &edit, const SettingsDocument &document);

    KeyValueService &m_service;
    Clock &m_clock;
    SettingsStoreCounters m_counters;
};

} // namespace QuetzalRock
