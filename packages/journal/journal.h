/**
 * Durable log with a single owner on top of the key-value service: a ring of slot keys, each holding one batch of
 * records, and snapshots.
 *
 * Index of this file
 *   JournalSettings    name, writer, sizes
 *   JournalCounters    numbers of operations, calls and bytes
 *   LogFull            the ring is full; take a snapshot first
 *   Journal            Log on top of a KeyValueService
 *   LogCorrupt, FormatTooNew (journal/format.h)   thrown by takeOver() before anything is written
 *
 * How it works
 *   Batch n is written to slot n mod slots by compare-and-swap against the last known revision of that slot. So exactly
 *   one batch n exists, even if several processes try to write it. A takeover is itself the next batch in the sequence:
 *   any write that the previous owner still sends for that slot fails. This needs neither clocks nor leases; a lease
 *   may only serve to decide when to attempt a takeover.
 *
 *   If the answer to a write is lost, resolve() reads the slot back. If the batch is not there, the write may still be
 *   in flight, so resolve() sends the same batch again. At most one of the two writes takes effect. Hence resolve()
 *   never returns false here: a batch in doubt is written unless another owner has taken over.
 *
 * Pitfalls
 *   - Each takeover uses a slot. Check snapshotDue() right after takeOver(), and take the snapshot before any append.
 *   - The size of the ring is fixed by the first write to the journal; a changed setting applies to new journals only.
 *   - The name is part of the keys "journal/NAME/SLOT" and "snapshot/NAME/SIDE/CHUNK", so it must not contain slashes.
 *   - Not thread-safe. Several journals of one process may share the KeyValueService.
 */
#pragma once

#include <journal/format.h>
#include <journal/log.h>
#include <journal/ringreader.h>
#include <journal/snapshotstore.h>
#include <platform/platform.h>

#include <optional>
#include <string>

namespace QuetzalRock {

struct JournalSettings
{
    std::string name;   ///< name of the journal, the same for all candidate owners; letters, digits, '-', '.', '_'
    std::string writer; ///< identifies this process among candidates and across restarts, such as "entry-3.17"

    /** Number of slots of the ring, 8 to 9999. A larger ring means fewer snapshots, but longer replay and more keys. */
    std::uint32_t slots = 512;

    /** Limit of the sum of the record sizes in one append, 1 to 900,000. */
    std::size_t maxBatchBytes = 256 * 1024;

    /** Size of the part of a snapshot that is stored under one key, 1 to 900,000. */
    std::size_t chunkBytes = 512 * 1024;
};

/** Totals since construction. Calls are counted whether or not they took effect. */
struct JournalCounters
{
    std::uint64_t appends = 0;         ///< batches of records known to be written
    std::uint64_t records = 0;         ///< records in these batches
    std::uint64_t snapshots = 0;       ///< snapshots known to be live
    std::uint64_t takeovers = 0;       ///< successful takeovers
    std::uint64_t fenced = 0;          ///< times that ownership was lost to another process
    std::uint64_t writes = 0;          ///< compare-and-swap calls, including those for chunks of snapshots
    std::uint64_t writeBytes = 0;      ///< bytes of the values sent in these calls
    std::uint64_t snapshotBytes = 0;   ///< bytes of the states of successful snapshots
    std::uint64_t reads = 0;           ///< get and list calls
    std::uint64_t conflicts = 0;       ///< writes that found another revision
    std::uint64_t unknownOutcomes = 0; ///< writes whose answer was lost
    std::uint64_t resolved = 0;        ///< batches in doubt that resolve() found or brought to be written
};

/** No slot is free except those reserved for takeovers and the snapshot. Nothing was written; call snapshot(). */
class LogFull : public Unavailable
{
public:
    explicit LogFull(const std::string &message);
};

class Journal final : public Log
{
public:
    /** Throws InvalidArgument if a setting is out of range. @p service must outlive the journal. */
    Journal(KeyValueService &service, const JournalSettings &settings);

    Replay takeOver() override;
    void append(std::span<const std::string> records) override;
    bool resolve() override;
    void snapshot(std::string_view state) override;
    bool snapshotDue() const override;
    std::size_t maxBatchBytes() const override;
    std::uint64_t epoch() const override;

    /** Reads the durable content without a takeover, for status and export; the epoch is that of the current owner. */
    Replay read();

    const JournalCounters &counters() const;

    std::uint64_t headSequence() const; ///< sequence of the last batch known to be written
    std::uint32_t usedSlots() const;    ///< slots that a replay would have to read

private:
    /** The batch that is being written, kept until its outcome is known. */
    struct Pending
    {
        detail::BatchHeader header;
        std::optional<detail::SnapshotRef> snapshot;
        std::size_t records = 0;
        std::size_t stateBytes = 0; ///< size of the state, for a snapshot
        std::string value;
    };
    enum class WriteOutcome : std::uint8_t {
        Written,
        Conflict,
        Unknown,
    };

    detail::Ring readRing();
    std::optional<Replay> tryReplay(detail::Ring &ring);
    bool writeTakeover(const detail::Ring &ring);
    void loadRing(const detail::Ring &ring);

    void requireOwner() const;
    void requireFreeSlots(std::uint32_t reserved) const;
    detail::BatchHeader nextHeader(detail::BatchKind kind, std::uint64_t epoch);
    void writePending();
    WriteOutcome sendPending();
    bool findPending();
    void requirePendingBatch(std::string_view value);
    void finishPending();
    void loseOwnership();
    [[noreturn]] void throwFenced(const std::string &message);
    [[noreturn]] void throwFencedInDoubt();

    std::uint64_t slotOf(std::uint64_t sequence) const;
    std::uint32_t reservedSlots() const;

    KeyValueService &m_service;
    JournalSettings m_settings;
    JournalCounters m_counters;
    detail::SnapshotStore m_snapshots;

    // State of the ring, valid while this process is the owner.
    std::uint64_t m_epoch = 0; ///< 0: not the owner
    std::uint32_t m_slots = 0;
    std::uint64_t m_head = 0;              ///< sequence of the last batch
    std::uint64_t m_base = 1;              ///< first sequence that a replay needs
    std::uint8_t m_side = 1;               ///< side of the live snapshot
    std::vector<Revision> m_slotRevisions; ///< last known revision of each slot
    std::optional<Pending> m_pending;      ///< batch that is being written or in doubt

    std::uint64_t m_lastId = 0; ///< last id of a batch or snapshot, counted over all epochs of this process
};

} // namespace QuetzalRock
