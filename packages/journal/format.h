/**
 * Encoding of a journal's values in the key-value service. Internal to the package; no other code reads these bytes.
 *
 * Index of this file
 *   LogCorrupt, FormatTooNew                     errors thrown by the decoders
 *   BatchKind, BatchHeader, SnapshotRef, Batch   value of one slot of the ring
 *   SnapshotChunk                                one part of a snapshot
 *   encode..., decode...                         MessagePack arrays that begin with the format version
 *   checksumOf                                   checksum of a snapshot's state
 *
 * A reader accepts every version up to JournalFormat and ignores additional fields at the end of an array. A change
 * that an older reader must not ignore has to increment JournalFormat.
 */
#pragma once

#include <base/errors.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

constexpr std::uint32_t JournalFormat = 1; ///< version that is written, and the highest that can be read
constexpr std::uint32_t MinJournalSlots = 8;
constexpr std::uint32_t MaxJournalSlots = 9999; ///< four digits in the keys

/** The stored journal is incomplete or damaged. Nothing was written; an operator has to investigate. */
class LogCorrupt : public Error
{
public:
    explicit LogCorrupt(const std::string &message);
};

/** The journal was written by a newer version of this program. Nothing was written. */
class FormatTooNew : public Error
{
public:
    explicit FormatTooNew(std::uint32_t version);
};

namespace detail {

enum class BatchKind : std::uint8_t {
    Records = 0,  ///< records passed to append()
    Takeover = 1, ///< begins an epoch; no further content
    Snapshot = 2, ///< refers to the chunks that hold the state up to this batch
};

struct BatchHeader
{
    BatchKind kind = BatchKind::Records;
    std::uint32_t slots
        = MinJournalSlots;      ///< size of the ring; stored, so that a changed setting does not affect an existing one
    std::uint64_t sequence = 0; ///< counts from 1 without gaps
    std::uint64_t epoch = 0;    ///< epoch of the owner; incremented by each takeover
    std::string writer;         ///< name of the owner; distinguishes competing owners, also for diagnosis
    std::uint64_t id = 0;       ///< counter of the writer; (writer, id) identifies whose write took effect
};

struct SnapshotRef
{
    std::uint8_t side = 0;      ///< 0 or 1: which of the two sets of chunk keys holds it
    std::uint32_t chunks = 0;   ///< number of chunks
    std::uint64_t id = 0;       ///< identifies the snapshot; repeated in every chunk
    std::uint64_t bytes = 0;    ///< size of the whole state
    std::uint64_t checksum = 0; ///< checksumOf() the whole state
};

struct Batch
{
    BatchHeader header;
    SnapshotRef snapshot;             ///< set for BatchKind::Snapshot
    std::vector<std::string> records; ///< set for BatchKind::Records
};

struct SnapshotChunk
{
    std::uint64_t epoch = 0; ///< epoch of the owner that wrote it
    std::uint64_t id = 0;    ///< SnapshotRef::id
    std::uint32_t index = 0; ///< position in the snapshot, from 0
    std::string data;
};

std::string encodeRecords(const BatchHeader &header, std::span<const std::string> records);
std::string encodeTakeover(const BatchHeader &header);
std::string encodeSnapshotRef(const BatchHeader &header, const SnapshotRef &snapshot);
Batch decodeBatch(std::string_view bytes); ///< throws LogCorrupt, FormatTooNew

std::string encodeChunk(std::uint64_t epoch, std::uint64_t id, std::uint32_t index, std::string_view data);
SnapshotChunk decodeChunk(std::string_view bytes); ///< throws LogCorrupt, FormatTooNew

std::uint64_t checksumOf(std::string_view bytes);

} // namespace detail

} // namespace QuetzalRock
