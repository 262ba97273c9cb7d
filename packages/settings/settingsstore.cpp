#include <settings/settingsstore.h>

#include <algorithm>

namespace QuetzalRock {

namespace {

constexpr int MaxAttempts = 5; ///< of a swap whose answers are lost, and of an edit overtaken by other writes

const HistoryEntry *findByWriteId(const SettingsDocument &document, const std::string &writeId)
{
    const auto it = std::find_if(document.history.begin(), document.history.end(), [&](const HistoryEntry &entry) {
        return entry.writeId == writeId;
    });
    return it == document.history.end() ? nullptr : &*it;
}

/**
 * The changes made after @p version; empty if the history does not reach back that far. Edits that the history keeps
 * without their changes add none.
 */
std::vector<SettingsChange> changesSince(const SettingsDocument &document, std::uint64_t version)
{
    std::vector<SettingsChange> changes;
    if (document.history.empty() || document.history.front().version > version + 1) {
        return changes;
    }
    for (const HistoryEntry &it : document.history) {
        if (it.version > version) {
            changes.insert(changes.end(), it.changes.begin(), it.changes.end());
        }
    }
    return changes;
}

std::string conflictText(std::uint64_t version, const std::vector<SettingsChange> &changes)
{
    std::string text = "the edit is not based on version " + std::to_string(version) + ", the current version";
    for (const SettingsChange &it : changes) {
        text += "\n" + toString(it);
    }
    return text;
}

} // namespace

SettingsConflict::SettingsConflict(std::uint64_t version, std::vector<SettingsChange> changes)
    : Conflict(conflictText(version, changes))
    , m_version(version)
    , m_changesSinceBase(std::move(changes))
{
}

std::uint64_t SettingsConflict::version() const noexcept
{
    return m_version;
}

const std::vector<SettingsChange> &SettingsConflict::changesSinceBase() const noexcept
{
    return m_changesSinceBase;
}

SettingsStore::SettingsStore(KeyValueService &service, Clock &clock)
    : m_service(service)
    , m_clock(clock)
{
}

SettingsDocument SettingsStore::read()
{
    return load().document;
}

SettingsStore::StoredDocument SettingsStore::load()
{
    ++m_counters.reads;
    const std::optional<KeyValue> found = m_service.get(SettingsKeyName);
    return found ? StoredDocument{found->revision, decodeDocument(found->value)} : StoredDocument{};
}

SettingsDocument SettingsStore::write(const SettingsEdit &edit, std::uint64_t knownVersion)
{
    if (edit.writeId.empty() || edit.who.empty()) {
        throw InvalidArgument(edit.who.empty() ? "who" : "write id", "an edit needs an author and a unique write id");
    }
    for (int i = 0; i < MaxAttempts; ++i) {
        if (auto document = tryWrite(edit, knownVersion)) {
            ++m_counters.accepted;
            return *document;
        }
    }
    throw Unavailable("other edits were written during every attempt; try again");
}

/** Reads the document and writes the edited one. Returns nullopt if another write came in between. */
std::optional<SettingsDocument> SettingsStore::tryWrite(const SettingsEdit &edit, std::uint64_t knownVersion)
{
    StoredDocument stored = load();
    if (findByWriteId(stored.document, edit.writeId)) {
        return stored.document; // this edit was written by an earlier attempt
    }
    if (stored.document.version < knownVersion) {
        throw Conflict("the service holds version " + std::to_string(stored.document.version) + ", but version "
                       + std::to_string(knownVersion) + " is active: the service lost data");
    }
    if (stored.document.version != edit.baseVersion) {
        throwConflict(edit, stored.document);
    }
    SettingsTree edited = stored.document.tree;
    std::vector<SettingsIssue> issues = applyChanges(edited, edit.changes);
    if (!issues.empty()) {
        throw SettingsError(std::move(issues));
    }
    // The history records canonical values and the values that were replaced, which the edit need not contain.
    const std::vector<SettingsChange> changes = difference(stored.document.tree, edited);
    issues = applyHistoryEntry(stored.document,
                               {edit.baseVersion + 1, edit.who, m_clock.wallNow(), edit.writeId, changes});
    if (!issues.empty()) {
        throw SettingsError(std::move(issues));
    }
    const std::string value = encodeDocument(stored.document);
    if (value.size() > MaxValueBytes) {
        throw InvalidArgument("settings",
                              "the tree takes " + std::to_string(value.size()) + " bytes; at most "
                                  + std::to_string(MaxValueBytes) + " can be stored");
    }
    return swapUntilResolved(stored.revision, value, edit) ? std::optional(stored.document) : std::nullopt;
}

/**
 * Returns whether @p value was written. After a lost answer, reading the old value does not show that the write failed,
 * because it may still be in transit. Repeating the same swap resolves this: if the repeat succeeds, the first swap
 * fails when it arrives; if the repeat fails, the key's revision has changed, and the history shows whether this edit
 * changed it.
 */
bool SettingsStore::swapUntilResolved(Revision expected, const std::string &value, const SettingsEdit &edit)
{
    bool isUncertain = false;
    for (int i = 0; i < MaxAttempts; ++i) {
        try {
            ++m_counters.writes;
            const CasResult result = m_service.compareAndSwap(SettingsKeyName, expected, value, 0);
            m_counters.resolved += isUncertain ? 1 : 0;
            return result.swapped || (isUncertain && findByWriteId(load().document, edit.writeId) != nullptr);
        } catch (const OutcomeUnknown &) {
            isUncertain = true;
        } catch (const Unavailable &) {
            if (!isUncertain) {
                throw;
            }
            break;
        }
    }
    throw OutcomeUnknown("the answer to the write was lost; retry with the same write id " + edit.writeId);
}

void SettingsStore::throwConflict(const SettingsEdit &edit, const SettingsDocument &document)
{
    ++m_counters.conflicts;
    throw SettingsConflict(document.version, changesSince(document, edit.baseVersion));
}

const SettingsStoreCounters &SettingsStore::counters() const
{
    return m_counters;
}

} // namespace QuetzalRock
