#include <journal/journal.h>

#include <algorithm>
#include <cctype>
#include <iterator>

namespace QuetzalRock {

namespace {

constexpr std::uint32_t ReservedSlotDivisor = 8; // 1 of 8 slots is reserved for takeovers and the snapshot
constexpr std::uint32_t MinReservedSlots = 3;
constexpr std::uint32_t SnapshotSlots = 1;                      // the last free slot is reserved for the snapshot
constexpr std::size_t MaxPayloadBytes = MaxValueBytes / 10 * 9; // the rest is left for headers
constexpr int MaxReplayAttempts = 4;
constexpr int MaxResolveAttempts = 3;

bool isNameCharacter(unsigned char c)
{
    return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_';
}

void validateSettings(const JournalSettings &settings)
{
    if (settings.name.empty() || !std::ranges::all_of(settings.name, isNameCharacter)) {
        throw InvalidArgument(
            "name", "journal: name \"" + settings.name + "\" is empty or has characters other than [A-Za-z0-9._-]");
    }
    if (settings.writer.empty()) {
        throw InvalidArgument("writer", "journal: writer is empty");
    }
    if (settings.slots < MinJournalSlots || settings.slots > MaxJournalSlots) {
        throw InvalidArgument("slots", "journal: slots must be 8 to 9999");
    }
    if (settings.maxBatchBytes == 0 || settings.maxBatchBytes > MaxPayloadBytes) {
        throw InvalidArgument("maxBatchBytes", "journal: maxBatchBytes must be 1 to 900000");
    }
    if (settings.chunkBytes == 0 || settings.chunkBytes > MaxPayloadBytes) {
        throw InvalidArgument("chunkBytes", "journal: chunkBytes must be 1 to 900000");
    }
}

std::size_t totalSize(std::span<const std::string> records)
{
    std::size_t n = 0;
    for (const std::string &it : records) {
        n += it.size();
    }
    return n;
}

} // namespace

LogFull::LogFull(const std::string &message)
    : Unavailable("journal: " + message)
{
}

Journal::Journal(KeyValueService &service, const JournalSettings &settings)
    : m_service(service)
    , m_settings(settings)
    , m_snapshots(service, settings.name, settings.chunkBytes, m_counters)
{
    validateSettings(settings);
}

// ---------------------------------------------------------------------------------------------------------------------
// Taking over
// ---------------------------------------------------------------------------------------------------------------------

Replay Journal::takeOver()
{
    m_epoch = 0;
    m_pending.reset();
    for (int n = 0; n < MaxReplayAttempts; ++n) {
        detail::Ring ring;
        std::optional<Replay> replay = tryReplay(ring);
        if (replay && writeTakeover(ring)) {
            replay->epoch = m_epoch;
            return std::move(*replay);
        }
    }
    throw Unavailable("journal: " + m_settings.name + " was changed by another owner during each attempt to take over");
}

Replay Journal::read()
{
    for (int n = 0; n < MaxReplayAttempts; ++n) {
        detail::Ring ring;
        if (std::optional<Replay> replay = tryReplay(ring)) {
            return std::move(*replay);
        }
    }
    throw Unavailable("journal: " + m_settings.name + " was changed during each attempt to read it");
}

detail::Ring Journal::readRing()
{
    ++m_counters.reads;
    detail::Ring ring = detail::readRing(m_service.list(detail::slotPrefix(m_settings.name)), m_settings.name);
    if (ring.slots == 0) {
        ring.slots = m_settings.slots;
        ring.slotRevisions.assign(ring.slots, 0);
    }
    return ring;
}

/** Reads the ring, its snapshot and its records; unset if the snapshot was replaced meanwhile. */
std::optional<Replay> Journal::tryReplay(detail::Ring &ring)
{
    ring = readRing();
    Replay replay;
    replay.epoch = ring.epoch;
    const std::optional<detail::SnapshotRef> snapshot = ring.snapshot();
    try {
        if (snapshot) {
            replay.snapshot = m_snapshots.read(*snapshot, ring.live.front().header.epoch);
        }
    } catch (const detail::TornSnapshot &) {
        if (readRing().base == ring.base) {
            throw; // still the live snapshot, so it is damaged
        }
        return std::nullopt;
    }
    for (detail::Batch &it : ring.live) {
        std::ranges::move(it.records, std::back_inserter(replay.records));
    }
    return replay;
}

/** Appends the batch that begins this owner's epoch; false if another process wrote that slot first. */
bool Journal::writeTakeover(const detail::Ring &ring)
{
    loadRing(ring);
    requireFreeSlots(SnapshotSlots);
    const std::uint64_t epoch = ring.epoch + 1;
    Pending pending;
    pending.header = nextHeader(detail::BatchKind::Takeover, epoch);
    pending.value = detail::encodeTakeover(pending.header);
    m_pending = std::move(pending);
    WriteOutcome outcome = WriteOutcome::Unknown;
    try {
        outcome = sendPending();
    } catch (...) {
        m_pending.reset();
        throw;
    }
    if (outcome == WriteOutcome::Written) {
        finishPending();
        m_epoch = epoch;
        return true;
    }
    m_pending.reset();
    if (outcome == WriteOutcome::Unknown) {
        // The next attempt reads the ring again. If this takeover still takes effect, it counts as an earlier owner.
        throw Unavailable("journal: the answer to the takeover of " + m_settings.name + " was lost");
    }
    return false;
}

void Journal::loadRing(const detail::Ring &ring)
{
    m_slots = ring.slots;
    m_head = ring.head;
    m_base = ring.base;
    m_slotRevisions = ring.slotRevisions;
    m_side = ring.snapshot() ? ring.snapshot()->side : 1;
}

// ---------------------------------------------------------------------------------------------------------------------
// Writing
// ---------------------------------------------------------------------------------------------------------------------

void Journal::append(std::span<const std::string> records)
{
    requireOwner();
    if (totalSize(records) > m_settings.maxBatchBytes) {
        throw InvalidArgument("records", "journal: batch exceeds maxBatchBytes");
    }
    requireFreeSlots(reservedSlots());
    Pending pending;
    pending.header = nextHeader(detail::BatchKind::Records, m_epoch);
    pending.records = records.size();
    pending.value = detail::encodeRecords(pending.header, records);
    if (pending.value.size() > MaxValueBytes) {
        throw InvalidArgument("records", "journal: too many records for one value of the service");
    }
    m_pending = std::move(pending);
    writePending();
}

void Journal::snapshot(std::string_view state)
{
    requireOwner();
    requireFreeSlots(0);
    const std::uint8_t side = 1 - m_side;
    detail::SnapshotRef snapshot;
    try {
        snapshot = m_snapshots.write(state, side, m_epoch, ++m_lastId);
    } catch (const Fenced &ec) {
        throwFenced(ec.what());
    }
    Pending pending;
    pending.header = nextHeader(detail::BatchKind::Snapshot, m_epoch);
    pending.snapshot = snapshot;
    pending.stateBytes = state.size();
    pending.value = detail::encodeSnapshotRef(pending.header, snapshot);
    m_pending = std::move(pending);
    writePending();
}

bool Journal::resolve()
{
    if (m_epoch == 0) {
        throw Fenced("journal: " + m_settings.name + " is not owned");
    }
    if (!m_pending) {
        throw InvalidArgument("resolve", "journal: nothing is in doubt");
    }
    try {
        for (int n = 0; n < MaxResolveAttempts; ++n) {
            if (findPending() || sendPending() == WriteOutcome::Written) {
                ++m_counters.resolved;
                finishPending();
                return true;
            }
        }
    } catch (const Unavailable &ec) {
        throw OutcomeUnknown(std::string("journal: still in doubt: ") + ec.what());
    }
    throw OutcomeUnknown("journal: still in doubt");
}

void Journal::requireOwner() const
{
    if (m_epoch == 0) {
        throw Fenced("journal: " + m_settings.name + " is not owned");
    }
    if (m_pending) {
        throw OutcomeUnknown("journal: a batch is in doubt; call resolve() first");
    }
}

/** Throws LogFull unless there is a free slot in addition to @p reserved ones. */
void Journal::requireFreeSlots(std::uint32_t reserved) const
{
    if (usedSlots() + reserved >= m_slots) {
        throw LogFull(m_settings.name + " has " + std::to_string(usedSlots()) + " of " + std::to_string(m_slots)
                      + " slots in use; a snapshot is due");
    }
}

detail::BatchHeader Journal::nextHeader(detail::BatchKind kind, std::uint64_t epoch)
{
    return {kind, m_slots, m_head + 1, epoch, m_settings.writer, ++m_lastId};
}

void Journal::writePending()
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    try {
        outcome = sendPending();
    } catch (...) {
        m_pending.reset();
        throw;
    }
    if (outcome == WriteOutcome::Unknown) {
        throw OutcomeUnknown("journal: the answer to batch " + std::to_string(m_pending->header.sequence)
                             + " was lost");
    }
    if (outcome == WriteOutcome::Conflict) {
        // Only owners write slots, and this process has no other write in flight: another owner has taken over.
        throwFenced("another owner has taken over " + m_settings.name);
    }
    finishPending();
}

/** Sends the pending batch by one compare-and-swap. Throws Unavailable if the service did not accept it. */
Journal::WriteOutcome Journal::sendPending()
{
    const std::uint64_t slot = slotOf(m_pending->header.sequence);
    ++m_counters.writes;
    m_counters.writeBytes += m_pending->value.size();
    try {
        const CasResult result
            = m_service.compareAndSwap(detail::slotKey(m_settings.name, slot), m_slotRevisions[slot], m_pending->value);
        if (!result.swapped) {
            ++m_counters.conflicts;
            return WriteOutcome::Conflict;
        }
        m_slotRevisions[slot] = result.revision;
        return WriteOutcome::Written;
    } catch (const OutcomeUnknown &) {
        ++m_counters.unknownOutcomes;
        return WriteOutcome::Unknown;
    }
}

/** Reads the slot back: true if it contains the batch in doubt, false if it is unchanged. Throws if fenced. */
bool Journal::findPending()
{
    const std::uint64_t slot = slotOf(m_pending->header.sequence);
    ++m_counters.reads;
    const auto found = m_service.get(detail::slotKey(m_settings.name, slot));
    if (!found || found->revision == m_slotRevisions[slot]) {
        return false;
    }
    requirePendingBatch(found->value);
    m_slotRevisions[slot] = found->revision;
    return true;
}

/** Throws Fenced or FencedInDoubt if @p value, read from the slot of the batch in doubt, is another batch. */
void Journal::requirePendingBatch(std::string_view value)
{
    const detail::BatchHeader &expected = m_pending->header;
    detail::BatchHeader found;
    try {
        found = detail::decodeBatch(value).header;
    } catch (const FormatTooNew &) {
        throwFencedInDoubt();
    }
    if (found.sequence > expected.sequence) {
        throwFencedInDoubt();
    }
    if (found.writer != expected.writer || found.id != expected.id) {
        throwFenced("another owner has taken over " + m_settings.name);
    }
}

/** Updates state and counters after the pending batch is known to be written. */
void Journal::finishPending()
{
    const Pending &pending = *m_pending;
    m_head = pending.header.sequence;
    switch (pending.header.kind) {
    case detail::BatchKind::Records:
        ++m_counters.appends;
        m_counters.records += pending.records;
        break;
    case detail::BatchKind::Takeover:
        ++m_counters.takeovers;
        break;
    case detail::BatchKind::Snapshot:
        ++m_counters.snapshots;
        m_counters.snapshotBytes += pending.stateBytes;
        m_base = m_head;
        m_side = pending.snapshot->side;
        break;
    }
    m_pending.reset();
}

void Journal::loseOwnership()
{
    m_epoch = 0;
    m_pending.reset();
    ++m_counters.fenced;
}

void Journal::throwFenced(const std::string &message)
{
    loseOwnership();
    throw Fenced("journal: " + message);
}

void Journal::throwFencedInDoubt()
{
    loseOwnership();
    throw FencedInDoubt("journal: later owners of " + m_settings.name + " have used the slot of the batch in doubt");
}

// ---------------------------------------------------------------------------------------------------------------------
// State
// ---------------------------------------------------------------------------------------------------------------------

bool Journal::snapshotDue() const
{
    // Due when the free slots are down to twice the reserve: the unreserved half remains for appends while the caller
    // prepares the snapshot.
    return m_epoch != 0 && usedSlots() + 2 * reservedSlots() >= m_slots;
}

std::size_t Journal::maxBatchBytes() const
{
    return m_settings.maxBatchBytes;
}

std::uint64_t Journal::epoch() const
{
    return m_epoch;
}

const JournalCounters &Journal::counters() const
{
    return m_counters;
}

std::uint64_t Journal::headSequence() const
{
    return m_head;
}

std::uint32_t Journal::usedSlots() const
{
    return static_cast<std::uint32_t>(m_head + 1 - m_base);
}

std::uint64_t Journal::slotOf(std::uint64_t sequence) const
{
    return sequence % m_slots;
}

std::uint32_t Journal::reservedSlots() const
{
    return std::max(MinReservedSlots, m_slots / ReservedSlotDivisor);
}

} // namespace QuetzalRock
