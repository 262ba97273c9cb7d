#include <scheduler/records.h>

#include <scheduler/codec.h>

#include <array>

namespace QuetzalRock {

namespace {

/** Type number of a record: its index in the Record variant plus FirstType. New types go to the end of the variant. */
constexpr std::size_t FirstType = 1;

/** Version of each record type that this process writes. It reads these and all older versions. */
constexpr std::array<std::uint32_t, std::variant_size_v<Record>> Versions = {1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1};

template<std::size_t Index = 0>
Record readFields(std::size_t index, const msgpack::object &fields)
{
    if constexpr (Index < std::variant_size_v<Record>) {
        if (index != Index) {
            return readFields<Index + 1>(index, fields);
        }
        std::variant_alternative_t<Index, Record> value;
        detail::FieldReader::read(fields, value);
        return value;
    }
    throw IncompatibleRecord("unknown record type");
}

Record readRecord(const msgpack::object &object)
{
    detail::FieldReader header(object);
    std::size_t type = 0;
    std::uint32_t version = 0;
    header(type, version);
    if (type < FirstType || type - FirstType >= Versions.size()) {
        throw IncompatibleRecord("record type " + std::to_string(type) + " is unknown to this version of the program");
    }
    const std::size_t index = type - FirstType;
    if (version > Versions[index]) {
        throw IncompatibleRecord("record type " + std::to_string(type) + " has version " + std::to_string(version)
                                 + "; this version of the program reads up to " + std::to_string(Versions[index]));
    }
    return readFields(index, object.via.array.ptr[2]);
}

std::string encodeRequest(JobSpec spec)
{
    spec.id = 0;
    msgpack::sbuffer buffer;
    detail::FieldWriter(buffer).write(spec);
    return {buffer.data(), buffer.size()};
}

} // namespace

IncompatibleRecord::IncompatibleRecord(const std::string &message)
    : Error(ErrorCode::Failed, message)
{
}

std::string encodeRecord(const Record &record)
{
    msgpack::sbuffer buffer;
    detail::FieldWriter writer(buffer);
    writer.beginArray(3);
    writer.write(record.index() + FirstType);
    writer.write(Versions[record.index()]);
    std::visit([&writer](const auto &it) { writer.write(it); }, record);
    return {buffer.data(), buffer.size()};
}

Record decodeRecord(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        const msgpack::object &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size < 3) {
            throw InvalidArgument("record", "expected a msgpack array of type, version and fields");
        }
        return readRecord(object);
    } catch (const msgpack::type_error &) {
        throw InvalidArgument("record", "a field has the wrong type");
    } catch (const msgpack::unpack_error &) {
        throw InvalidArgument("record", "not valid msgpack");
    }
}

bool isSameRequest(const JobSpec &a, const JobSpec &b)
{
    return encodeRequest(a) == encodeRequest(b);
}

} // namespace QuetzalRock
