/**
 * How a journal's values look in the key-value service. Internal to the package; nothing else reads these bytes.
 *
 * Index of this file
 *   BatchHeader, SnapshotRef, Batch   one slot of the ring
 *   SnapshotChunk                     one part of a snapshot
 *   encode..., decode...              MessagePack arrays that begin with the format version
 *   LogCorrupt, FormatTooNew          what decoding throws
 *
 * A reader takes every version up to JournalFormat and passes over fields added behind those that it knows. A change that
 * an older reader must not pass over raises JournalFormat.
 */
#pragma once

#include <base/errors.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

constexpr std::uint32_t JournalFormat = 1; ///< written by this version, and the highest that it reads
constexpr std::uint32_t MinJournalSlots = 8;
constexpr std::uint32_t MaxJournalSlots = 9999; ///< four digits in the keys

/** What the service holds is not a journal's complete state. Nothing was written; people have to look. */
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
    Records = 0,  ///< of the user
    Takeover = 1, ///< begins an epoch; carries nothing
    Snapshot = 2, ///< says where the state up to here is kept
};

struct BatchHeader
{
    BatchKind kind = BatchKind::Records;
    std::uint32_t slots = MinJournalSlots; ///< of the ring, so that a change of the setting cannot scramble it
    std::uint64_t sequence = 0;            ///< from 1, without gaps
    std::uint64_t epoch = 0;               ///< of the owner; one higher with each takeover
    std::string writer;                    ///< the owner's name, for people and to tell rivals apart
    std::uint64_t id = 0;                  ///< counted by the writer; with the writer it tells whose write took effect
};

struct SnapshotRef
{
    std::uint8_t side = 0;      ///< which of the two sets of chunk keys
    std::uint32_t chunks = 0;   ///< how many of them
    std::uint64_t id = 0;       ///< repeated in every chunk
    std::uint64_t bytes = 0;    ///< of the whole state
    std::uint64_t checksum = 0; ///< of the whole state
};

struct Batch
{
    BatchHeader header;
    SnapshotRef snapshot;             ///< with BatchKind::Snapshot
    std::vector<std::string> records; ///< with BatchKind::Records
};

struct SnapshotChunk
{
    std::uint64_t epoch = 0;
    std::uint64_t id = 0;
    std::uint32_t index = 0;
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
