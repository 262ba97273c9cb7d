#include <journal/journal.h>
#include <journal/snapshotstore.h>

#include <algorithm>

namespace QuetzalRock::detail {

namespace {

constexpr std::size_t MaxPreallocation = 64 * 1024 * 1024; // bytes; limits the allocation for a damaged size field
constexpr int MaxChunkAttempts = 4; // allows for a lost answer, a late write of a fenced owner and one more failure

} // namespace

SnapshotStore::SnapshotStore(KeyValueService &service,
                             std::string_view name,
                             std::size_t chunkBytes,
                             JournalCounters &counters)
    : m_service(service)
    , m_name(name)
    , m_chunkBytes(chunkBytes)
    , m_counters(counters)
{
}

SnapshotRef SnapshotStore::write(std::string_view state, std::uint8_t side, std::uint64_t epoch, std::uint64_t id)
{
    SnapshotRef snapshot;
    snapshot.side = side;
    snapshot.id = id;
    snapshot.bytes = state.size();
    snapshot.checksum = checksumOf(state);
    for (std::size_t at = 0; at < state.size(); at += m_chunkBytes) {
        const std::string value = encodeChunk(epoch, id, snapshot.chunks, state.substr(at, m_chunkBytes));
        writeChunk(side, snapshot.chunks, epoch, value);
        ++snapshot.chunks;
    }
    return snapshot;
}

std::string SnapshotStore::read(const SnapshotRef &snapshot, std::uint64_t epoch)
{
    std::string state;
    state.reserve(std::min<std::size_t>(snapshot.bytes, MaxPreallocation));
    for (std::uint32_t i = 0; i < snapshot.chunks; ++i) {
        ++m_counters.reads;
        const auto found = m_service.get(chunkKey(snapshot.side, i));
        if (!found) {
            throw TornSnapshot("snapshot chunk " + std::to_string(i) + " is missing");
        }
        const SnapshotChunk chunk = decodeChunk(found->value);
        if (chunk.epoch != epoch || chunk.id != snapshot.id || chunk.index != i) {
            throw TornSnapshot("snapshot chunk " + std::to_string(i) + " belongs to another snapshot");
        }
        state += chunk.data;
    }
    if (state.size() != snapshot.bytes || checksumOf(state) != snapshot.checksum) {
        throw TornSnapshot("snapshot does not match its checksum");
    }
    return state;
}

void SnapshotStore::writeChunk(std::uint8_t side, std::uint32_t index, std::uint64_t epoch, std::string_view value)
{
    std::vector<Revision> &known = m_revisions[side];
    if (known.size() <= index) {
        known.resize(index + 1, 0);
    }
    const std::string key = chunkKey(side, index);
    for (int n = 0; n < MaxChunkAttempts; ++n) {
        if (tryWriteChunk(key, known[index], value) || refreshRevision(key, known[index], epoch, value)) {
            return;
        }
    }
    throw Unavailable("snapshot chunk " + key + " could not be written");
}

bool SnapshotStore::tryWriteChunk(const std::string &key, Revision &known, std::string_view value)
{
    ++m_counters.writes;
    m_counters.writeBytes += value.size();
    try {
        const CasResult result = m_service.compareAndSwap(key, known, value);
        if (result.swapped) {
            known = result.revision;
            return true;
        }
        ++m_counters.conflicts;
    } catch (const OutcomeUnknown &) {
        ++m_counters.unknownOutcomes;
    }
    return false;
}

/** Reads the chunk's revision into @p known. True if the chunk equals @p value: an earlier write took effect. */
bool SnapshotStore::refreshRevision(const std::string &key,
                                    Revision &known,
                                    std::uint64_t epoch,
                                    std::string_view value)
{
    ++m_counters.reads;
    const auto found = m_service.get(key);
    if (!found) {
        known = 0;
        return false;
    }
    if (decodeChunk(found->value).epoch > epoch) {
        throw Fenced("a later owner of " + m_name + " has written a snapshot");
    }
    known = found->revision;
    return found->value == value;
}

std::string SnapshotStore::chunkKey(std::uint8_t side, std::uint32_t index) const
{
    return "snapshot/" + m_name + (side == 0 ? "/a/" : "/b/") + std::to_string(index);
}

} // namespace QuetzalRock::detail
