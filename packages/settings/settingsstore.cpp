#include <settings/settingsstore.h>

#include <algorithm>

namespace QuetzalRock {

namespace {

constexpr int MaxAttempts = 5; ///< of one swap whose answer is lost, and of one edit that loses races

const HistoryEntry *findWrite(const SettingsDocument &document, const std::string &writeId)
{
    const auto it = std::find_if(document.history.begin(), document.history.end(), [&](const HistoryEntry &entry) {
        return entry.writeId == writeId;
    });
    return it == document.history.end() ? nullptr : &*it;
}

/** What was changed after @p version; nothing where the history does not reach back so far or left changes out. */
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

std::string conflictText(std::uint64_t version, const std::vector<SettingsChange> &since)
{
    std::string text = "the settings are at version " + std::to_string(version) + " by now";
    for (const SettingsChange &it : since) {
        text += "\n" + toString(it);
    }
    return text;
}

} // namespace

SettingsConflict::SettingsConflict(std::uint64_t version, std::vector<SettingsChange> since)
    : Conflict(conflictText(version, since))
    , m_version(version)
    , m_since(std::move(since))
{
}

std::uint64_t SettingsConflict::version() const noexcept
{
    return m_version;
}

const std::vector<SettingsChange> &SettingsConflict::changesSinceBase() const noexcept
{
    return m_since;
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

SettingsStore::Stored SettingsStore::load()
{
    ++m_counters.reads;
    const std::optional<KeyValue> found = m_service.get(SettingsKeyName);
    return found ? Stored{found->revision, decodeDocument(found->value)} : Stored{};
}

SettingsDocument SettingsStore::write(const SettingsEdit &edit, std::uint64_t knownVersion)
{
    if (edit.writeId.empty() || edit.who.empty()) {
        throw InvalidArgument(edit.who.empty() ? "who" : "write id", "an edit needs its author and a unique id");
    }
    for (int i = 0; i < MaxAttempts; ++i) {
        if (auto document = tryWrite(edit, knownVersion)) {
            ++m_counters.accepted;
            return *document;
        }
    }
    throw Unavailable("the settings change too fast");
}

/** Nothing where another write came between reading and writing. */
std::optional<SettingsDocument> SettingsStore::tryWrite(const SettingsEdit &edit, std::uint64_t knownVersion)
{
    Stored stored = load();
    if (findWrite(stored.document, edit.writeId)) {
        return stored.document; // a repeat
    }
    if (stored.document.version < knownVersion) {
        throw Conflict("the service holds version " + std::to_string(stored.document.version) + ", but version "
                       + std::to_string(knownVersion) + " is in force");
    }
    if (stored.document.version != edit.baseVersion) {
        throwConflict(edit, stored.document);
    }
    SettingsTree edited = stored.document.tree;
    std::vector<SettingsIssue> issues = applyChanges(edited, edit.changes);
    if (!issues.empty()) {
        throw SettingsError(std::move(issues));
    }
    // The changes as they really are: canonical values, and what was there before.
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
                                  + std::to_string(MaxValueBytes) + " can be kept");
    }
    return swapForSure(stored.revision, value, edit) ? std::optional(stored.document) : std::nullopt;
}

/**
 * True where @p value was written. An answer that is lost says nothing, also when the old value is still read: the write
 * may be on its way. The same swap again settles it: either it is made now, and the first one then fails when it arrives,
 * or the key has moved on, and the history tells whose write moved it.
 */
bool SettingsStore::swapForSure(Revision expected, const std::string &value, const SettingsEdit &edit)
{
    bool doubtful = false;
    for (int i = 0; i < MaxAttempts; ++i) {
        try {
            ++m_counters.writes;
            const CasResult result = m_service.compareAndSwap(SettingsKeyName, expected, value, 0);
            m_counters.resolved += doubtful ? 1 : 0;
            return result.swapped || (doubtful && findWrite(load().document, edit.writeId) != nullptr);
        } catch (const OutcomeUnknown &) {
            doubtful = true;
        } catch (const Unavailable &) {
            if (!doubtful) {
                throw;
            }
            break;
        }
    }
    throw OutcomeUnknown("the answer to the write was lost; repeat it with write id " + edit.writeId);
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
