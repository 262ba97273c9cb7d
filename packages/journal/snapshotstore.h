/**
 * Stores snapshots as chunks under keys of the key-value service. There are two sets of chunk keys, called sides: the
 * live snapshot is on one side, the next one is written to the other, and then a batch in the ring makes the new one
 * live. A fenced owner can never replace the chunks of its successor: each chunk contains the epoch of its writer, and
 * a lower epoch never overwrites a higher one.
 */
#pragma once

#include <journal/format.h>
#include <journal/log.h>
#include <platform/platform.h>

#include <array>
#include <string>
#include <vector>

namespace QuetzalRock {

struct JournalCounters;

namespace detail {

/** The chunks do not match the snapshot's reference: they were replaced while they were read, or are damaged. */
class TornSnapshot : public LogCorrupt
{
public:
    using LogCorrupt::LogCorrupt;
};

class SnapshotStore
{
public:
    SnapshotStore(KeyValueService &service, std::string_view name, std::size_t chunkBytes, JournalCounters &counters);

    /** Writes @p state to @p side. Throws Unavailable and Fenced; the live snapshot on the other side is untouched. */
    SnapshotRef write(std::string_view state, std::uint8_t side, std::uint64_t epoch, std::uint64_t id);

    /** Reads the snapshot written by the owner of @p epoch. Throws TornSnapshot and Unavailable. */
    std::string read(const SnapshotRef &snapshot, std::uint64_t epoch);

private:
    void writeChunk(std::uint8_t side, std::uint32_t index, std::uint64_t epoch, std::string_view value);
    bool tryWriteChunk(const std::string &key, Revision &known, std::string_view value);
    bool refreshRevision(const std::string &key, Revision &known, std::uint64_t epoch, std::string_view value);
    std::string chunkKey(std::uint8_t side, std::uint32_t index) const;

    KeyValueService &m_service;
    std::string m_name;
    std::size_t m_chunkBytes;
    JournalCounters &m_counters;
    std::array<std::vector<Revision>, 2>
        m_revisions; ///< last known revisions of each side's chunks; 0: unknown or absent
};

} // namespace detail

} // namespace QuetzalRock
