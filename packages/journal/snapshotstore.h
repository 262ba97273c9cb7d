/**
 * Snapshots in chunk keys. There are two sides; the live snapshot lies on one, the next goes to the other, and a batch in
 * the ring then says which is live. Chunks of an owner that has been fenced off can never replace those of its successor:
 * each chunk carries its writer's epoch and a lower epoch never overwrites a higher one.
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

/** The live snapshot does not match its reference: it was being replaced while it was read, or it is damaged. */
class TornSnapshot : public LogCorrupt
{
public:
    using LogCorrupt::LogCorrupt;
};

class SnapshotStore
{
public:
    SnapshotStore(KeyValueService &service, std::string_view name, std::size_t chunkBytes, JournalCounters &counters);

    /** Writes @p state to @p side. Throws Unavailable and Fenced; where it throws, the live snapshot is untouched. */
    SnapshotRef write(std::string_view state, std::uint8_t side, std::uint64_t epoch, std::uint64_t id);

    /** Reads the snapshot that an owner of @p epoch wrote. Throws TornSnapshot and Unavailable. */
    std::string read(const SnapshotRef &snapshot, std::uint64_t epoch);

private:
    void writeChunk(std::uint8_t side, std::uint32_t index, std::uint64_t epoch, std::string_view value);
    bool tryWriteChunk(const std::string &key, Revision &known, std::string_view value);
    bool learnRevision(const std::string &key, Revision &known, std::uint64_t epoch, std::string_view value);
    std::string chunkKey(std::uint8_t side, std::uint32_t index) const;

    KeyValueService &m_service;
    std::string m_name;
    std::size_t m_chunkBytes;
    JournalCounters &m_counters;
    std::array<std::vector<Revision>, 2> m_revisions; ///< of each side's chunks as last seen; 0: none seen
};

} // namespace detail

} // namespace QuetzalRock
