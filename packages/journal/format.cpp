#include <journal/format.h>

#include <msgpack.hpp>
#include <xxhash.h>

namespace QuetzalRock {

LogCorrupt::LogCorrupt(const std::string &message)
    : Error(ErrorCode::Failed, "journal: " + message)
{
}

FormatTooNew::FormatTooNew(std::uint32_t version)
    : Error(ErrorCode::Unavailable,
            "journal: written in format " + std::to_string(version) + ", but this version reads only formats up to "
                + std::to_string(JournalFormat))
{
}

namespace detail {

namespace {

constexpr std::uint32_t HeaderFields = 7; // the version and the members of BatchHeader
constexpr std::uint32_t BatchFields = HeaderFields + 1;
constexpr std::uint32_t SnapshotRefFields = 5;
constexpr std::uint32_t ChunkFields = 5;
constexpr std::size_t HeaderReserveBytes = 128; // initial buffer size, avoids early reallocations
constexpr std::size_t MaxDepth = 4;             // of nested arrays; a batch has 2

using Packer = msgpack::packer<msgpack::sbuffer>;

void packBytes(Packer &packer, std::string_view bytes)
{
    const auto n = static_cast<std::uint32_t>(bytes.size());
    packer.pack_bin(n);
    packer.pack_bin_body(bytes.data(), n);
}

void packHeader(Packer &packer, const BatchHeader &header)
{
    packer.pack_array(BatchFields);
    packer.pack(JournalFormat);
    packer.pack(static_cast<std::uint8_t>(header.kind));
    packer.pack(header.slots);
    packer.pack(header.sequence);
    packer.pack(header.epoch);
    packer.pack(header.writer);
    packer.pack(header.id);
}

std::string toString(const msgpack::sbuffer &buf)
{
    return {buf.data(), buf.size()};
}

/** Limits the memory that the decoder allocates for a damaged length field: a value has no more elements than bytes. */
msgpack::unpack_limit unpackLimitFor(std::size_t bytes)
{
    return {bytes, 0, bytes, bytes, 0, MaxDepth};
}

msgpack::object_handle unpackValue(std::string_view bytes)
{
    std::size_t end = 0;
    bool referenced = false;
    msgpack::object_handle handle
        = msgpack::unpack(bytes.data(), bytes.size(), end, referenced, nullptr, nullptr, unpackLimitFor(bytes.size()));
    if (end != bytes.size()) {
        throw LogCorrupt("value has " + std::to_string(bytes.size() - end) + " trailing bytes");
    }
    return handle;
}

/** Checks the format version of a value and returns its fields, at least @p minFields including the version. */
std::span<const msgpack::object> decodeFields(const msgpack::object &object, std::size_t minFields)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) {
        throw LogCorrupt("value is not an array");
    }
    const std::span<const msgpack::object> fields(object.via.array.ptr, object.via.array.size);
    const auto version = fields[0].as<std::uint32_t>();
    if (version > JournalFormat) {
        throw FormatTooNew(version);
    }
    if (fields.size() < minFields) {
        throw LogCorrupt("value has " + std::to_string(fields.size()) + " fields");
    }
    return fields;
}

std::string decodeBytes(const msgpack::object &object)
{
    if (object.type != msgpack::type::BIN) {
        throw LogCorrupt("record is not a byte string");
    }
    return {object.via.bin.ptr, object.via.bin.size};
}

std::vector<std::string> decodeRecords(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY) {
        throw LogCorrupt("records are not an array");
    }
    std::vector<std::string> records;
    records.reserve(object.via.array.size);
    for (const msgpack::object &it : std::span(object.via.array.ptr, object.via.array.size)) {
        records.push_back(decodeBytes(it));
    }
    return records;
}

SnapshotRef decodeSnapshotRef(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size < SnapshotRefFields) {
        throw LogCorrupt("snapshot reference is not an array");
    }
    const std::span<const msgpack::object> fields(object.via.array.ptr, object.via.array.size);
    SnapshotRef snapshot;
    snapshot.side = fields[0].as<std::uint8_t>();
    snapshot.chunks = fields[1].as<std::uint32_t>();
    snapshot.id = fields[2].as<std::uint64_t>();
    snapshot.bytes = fields[3].as<std::uint64_t>();
    snapshot.checksum = fields[4].as<std::uint64_t>();
    if (snapshot.side > 1) {
        throw LogCorrupt("snapshot on side " + std::to_string(snapshot.side));
    }
    return snapshot;
}

BatchKind decodeKind(const msgpack::object &object)
{
    const auto kind = object.as<std::uint8_t>();
    if (kind > static_cast<std::uint8_t>(BatchKind::Snapshot)) {
        throw LogCorrupt("unknown kind of batch " + std::to_string(kind));
    }
    return static_cast<BatchKind>(kind);
}

Batch decodeBatchFields(std::span<const msgpack::object> fields)
{
    Batch batch;
    batch.header.kind = decodeKind(fields[1]);
    batch.header.slots = fields[2].as<std::uint32_t>();
    batch.header.sequence = fields[3].as<std::uint64_t>();
    batch.header.epoch = fields[4].as<std::uint64_t>();
    batch.header.writer = fields[5].as<std::string>();
    batch.header.id = fields[6].as<std::uint64_t>();
    if (batch.header.slots < MinJournalSlots || batch.header.slots > MaxJournalSlots) {
        throw LogCorrupt("ring of " + std::to_string(batch.header.slots) + " slots");
    }
    if (batch.header.kind == BatchKind::Records) {
        batch.records = decodeRecords(fields[HeaderFields]);
    } else if (batch.header.kind == BatchKind::Snapshot) {
        batch.snapshot = decodeSnapshotRef(fields[HeaderFields]);
    }
    return batch;
}

} // namespace

std::string encodeRecords(const BatchHeader &header, std::span<const std::string> records)
{
    msgpack::sbuffer buf(HeaderReserveBytes);
    Packer packer(buf);
    packHeader(packer, header);
    packer.pack_array(static_cast<std::uint32_t>(records.size()));
    for (const std::string &it : records) {
        packBytes(packer, it);
    }
    return toString(buf);
}

std::string encodeTakeover(const BatchHeader &header)
{
    msgpack::sbuffer buf(HeaderReserveBytes);
    Packer packer(buf);
    packHeader(packer, header);
    packer.pack_nil();
    return toString(buf);
}

std::string encodeSnapshotRef(const BatchHeader &header, const SnapshotRef &snapshot)
{
    msgpack::sbuffer buf(HeaderReserveBytes);
    Packer packer(buf);
    packHeader(packer, header);
    packer.pack_array(SnapshotRefFields);
    packer.pack(snapshot.side);
    packer.pack(snapshot.chunks);
    packer.pack(snapshot.id);
    packer.pack(snapshot.bytes);
    packer.pack(snapshot.checksum);
    return toString(buf);
}

Batch decodeBatch(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = unpackValue(bytes);
        return decodeBatchFields(decodeFields(handle.get(), BatchFields));
    } catch (const msgpack::unpack_error &) {
        throw LogCorrupt("batch cannot be decoded");
    } catch (const msgpack::type_error &) {
        throw LogCorrupt("a field of a batch has the wrong type");
    }
}

std::string encodeChunk(std::uint64_t epoch, std::uint64_t id, std::uint32_t index, std::string_view data)
{
    msgpack::sbuffer buf(HeaderReserveBytes + data.size());
    Packer packer(buf);
    packer.pack_array(ChunkFields);
    packer.pack(JournalFormat);
    packer.pack(epoch);
    packer.pack(id);
    packer.pack(index);
    packBytes(packer, data);
    return toString(buf);
}

SnapshotChunk decodeChunk(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = unpackValue(bytes);
        const auto fields = decodeFields(handle.get(), ChunkFields);
        SnapshotChunk chunk;
        chunk.epoch = fields[1].as<std::uint64_t>();
        chunk.id = fields[2].as<std::uint64_t>();
        chunk.index = fields[3].as<std::uint32_t>();
        chunk.data = decodeBytes(fields[4]);
        return chunk;
    } catch (const msgpack::unpack_error &) {
        throw LogCorrupt("snapshot chunk cannot be decoded");
    } catch (const msgpack::type_error &) {
        throw LogCorrupt("a field of a snapshot chunk has the wrong type");
    }
}

std::uint64_t checksumOf(std::string_view bytes)
{
    return XXH64(bytes.data(), bytes.size(), 0);
}

} // namespace detail

} // namespace QuetzalRock
