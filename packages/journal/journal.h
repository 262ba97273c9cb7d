/**
 * The durable log of one owner over the key-value service: a ring of slot keys, one batch of records each, and snapshots.
 *
 * Index of this file
 *   JournalSettings    name, writer, sizes
 *   JournalCounters    what it cost
 *   Journal            Log over a KeyValueService
 *   LogFull            the ring must be folded into a snapshot first
 *   LogCorrupt, FormatTooNew (journal/format.h)   thrown by takeOver(), before anything is written
 *
 * How it works
 *   Batch n is written to slot n mod slots by compare-and-swap against the revision last seen in that slot. So the
 *   sequence has exactly one batch n, whoever tries to write it. A takeover is itself the next batch: whatever the owner
 *   before still sends for that slot fails. No clock and no lease takes part in this; a lease may tell when to try.
 *
 *   When the answer to a write is lost, resolve() reads the slot back. If the batch is not there, the write may still be
 *   on its way, so resolve() sends the same batch again: one of the two takes effect, never both. It therefore never
 *   answers false; a batch in doubt is carried through unless a rival has taken over.
 *
 * Pitfalls
 *   - Each takeover takes a slot. Look at snapshotDue() right after takeOver(), and snapshot before anything else.
 *   - The ring's size is fixed when the journal is first written; a changed setting applies to new journals only.
 *   - Names are keys' middle parts: "journal/NAME/SLOT" and "snapshot/NAME/SIDE/CHUNK". No slashes.
 *   - One thread drives a journal. Two journals of one process may share the service.
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
    std::string name;   ///< of what the journal keeps, the same for all candidates; letters, digits, '-', '.', '_'
    std::string writer; ///< this process, unique among candidates and across restarts, such as "entry-3.17"

    /** Of the ring, 8 to 9999, default 512. More: rarer snapshots, longer replay, more keys. */
    std::uint32_t slots = 512;

    /** Sum of the record sizes of one append, default 256 KiB, at most 900,000. */
    std::size_t maxBatchBytes = 256 * 1024;

    /** Of a snapshot in one key, default 512 KiB, at most 900,000. */
    std::size_t chunkBytes = 512 * 1024;
};

/** Since the construction. Calls count whether they took effect or not. */
struct JournalCounters
{
    std::uint64_t appends = 0;       ///< batches of records known to be written
    std::uint64_t records = 0;       ///< in them
    std::uint64_t snapshots = 0;     ///< known to be in force
    std::uint64_t takeovers = 0;     ///< won
    std::uint64_t fenced = 0;        ///< times that this owner had to stand down
    std::uint64_t writes = 0;        ///< compare-and-swap calls, chunks of snapshots among them
    std::uint64_t writeBytes = 0;    ///< of values sent in them
    std::uint64_t snapshotBytes = 0; ///< of states handed to snapshot(), where it came into force
    std::uint64_t reads = 0;         ///< get and list calls
    std::uint64_t conflicts = 0;     ///< writes that found another revision
    std::uint64_t unknowns = 0;      ///< writes whose answer was lost
    std::uint64_t resolved = 0;      ///< of those, batches that resolve() settled
};

/** There is no free slot but those kept for takeovers and the snapshot. Nothing was written; call snapshot(). */
class LogFull : public Unavailable
{
public:
    explicit LogFull(const std::string &message);
};

class Journal final : public Log
{
public:
    /** Throws InvalidArgument where a setting is out of its range. @p service must outlive the journal. */
    Journal(KeyValueService &service, const JournalSettings &settings);

    Replay takeOver() override;
    void append(std::span<const std::string> records) override;
    bool resolve() override;
    void snapshot(std::string_view state) override;
    bool snapshotDue() const override;
    std::size_t maxBatchBytes() const override;
    std::uint64_t epoch() const override;

    /** Reads what is durable without taking over, for status and export; the epoch is that of the present owner. */
    Replay read();

    const JournalCounters &counters() const;

    /** For status pages: the last batch known to be written, and how many slots replay would have to read. */
    std::uint64_t headSequence() const;
    std::uint32_t usedSlots() const;

private:
    /** A batch that is being written, kept until its outcome is known. */
    struct Pending
    {
        detail::BatchHeader header;
        std::optional<detail::SnapshotRef> snapshot;
        std::size_t records = 0;
        std::size_t stateBytes = 0; ///< with a snapshot
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
    void requireRoom(std::uint32_t kept) const;
    detail::BatchHeader nextHeader(detail::BatchKind kind, std::uint64_t epoch);
    void writePending();
    WriteOutcome sendPending();
    bool findPending();
    void checkIsPending(std::string_view value);
    void finishPending();
    void leave();
    [[noreturn]] void standDown(const std::string &message);
    [[noreturn]] void standDownInDoubt();

    std::uint64_t slotOf(std::uint64_t sequence) const;
    std::uint32_t reservedSlots() const;

    KeyValueService &m_service;
    JournalSettings m_settings;
    JournalCounters m_counters;
    detail::SnapshotStore m_snapshots;

    // Of the epoch that this process owns.
    std::uint64_t m_epoch = 0; ///< 0: not the owner
    std::uint32_t m_slots = 0;
    std::uint64_t m_head = 0;
    std::uint64_t m_base = 1;
    std::uint8_t m_side = 1; ///< of the live snapshot
    std::vector<Revision> m_slotRevisions;
    std::optional<Pending> m_pending; ///< written or not: unknown

    std::uint64_t m_lastId = 0; ///< of batches, over all epochs of this process
};

} // namespace QuetzalRock
