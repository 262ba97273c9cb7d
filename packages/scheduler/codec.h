/**
 * Encodes and decodes the scheduler's structs as msgpack arrays. Private to this package.
 *
 * Index of this file
 *   visitFields    lists the fields of each struct, in the order in which they are encoded
 *   FieldCounter   counts the fields of a struct
 *   FieldWriter    encodes values
 *   FieldReader    decodes values
 *
 * An encoded array may be longer or shorter than the list of fields: extra elements are skipped, and fields without an
 * element keep their default values.
 */
#pragma once

#include <scheduler/records.h>

#include <msgpack.hpp>

#include <type_traits>
#include <utility>

namespace QuetzalRock::detail {

template<typename T, typename U>
concept SameIgnoringConst = std::is_same_v<std::remove_const_t<T>, U>;

template<typename F, SameIgnoringConst<Resources> T>
void visitFields(F &f, T &v)
{
    f(v.cpuMillis, v.memoryMib, v.accelerators);
}

template<typename F, SameIgnoringConst<TaskId> T>
void visitFields(F &f, T &v)
{
    f(v.job, v.index);
}

template<typename F, SameIgnoringConst<AttemptId> T>
void visitFields(F &f, T &v)
{
    f(v.task.job, v.task.index, v.number);
}

template<typename F, SameIgnoringConst<JobSpec> T>
void visitFields(F &f, T &v)
{
    f(v.id, v.name, v.tenant, v.kind, v.className, v.taskCount, v.resources, v.priority, v.urgent, v.gang, v.runTime);
    f(v.latencyTargetMs, v.command);
}

template<typename F, SameIgnoringConst<TransferId> T>
void visitFields(F &f, T &v)
{
    f(v.shard, v.number);
}

template<typename F, SameIgnoringConst<TransferredTask> T>
void visitFields(F &f, T &v)
{
    f(v.lastAttempt, v.failures, v.done, v.progress, v.checkpoint);
}

template<typename F, SameIgnoringConst<JobSubmitted> T>
void visitFields(F &f, T &v)
{
    f(v.spec, v.at);
}

template<typename F, SameIgnoringConst<JobCancelled> T>
void visitFields(F &f, T &v)
{
    f(v.job, v.at);
}

template<typename F, SameIgnoringConst<AttemptAssigned> T>
void visitFields(F &f, T &v)
{
    f(v.attempt, v.worker, v.resources, v.at, v.reason);
}

template<typename F, SameIgnoringConst<StopRequested> T>
void visitFields(F &f, T &v)
{
    f(v.attempt, v.mode, v.preemptor, v.reason);
}

template<typename F, SameIgnoringConst<AttemptEnded> T>
void visitFields(F &f, T &v)
{
    f(v.attempt, v.state, v.cause, v.progress, v.checkpoint, v.error, v.at);
}

template<typename F, SameIgnoringConst<JobFinished> T>
void visitFields(F &f, T &v)
{
    f(v.job, v.phase, v.reason, v.at);
}

template<typename F, SameIgnoringConst<TransferInitiated> T>
void visitFields(F &f, T &v)
{
    f(v.id, v.toDomain, v.job, v.tenant, v.amount, v.at);
}

template<typename F, SameIgnoringConst<TransferAccepted> T>
void visitFields(F &f, T &v)
{
    f(v.id, v.fromDomain, v.spec, v.tasks, v.tenant, v.amount, v.acknowledgedBelow, v.at);
}

template<typename F, SameIgnoringConst<TransferAcknowledged> T>
void visitFields(F &f, T &v)
{
    f(v.id);
}

template<typename F, SameIgnoringConst<AllotmentSet> T>
void visitFields(F &f, T &v)
{
    f(v.tenant, v.amount);
}

template<typename F, SameIgnoringConst<OperatorChanged> T>
void visitFields(F &f, T &v)
{
    f(v.operatorName, v.at);
}

struct FieldCounter
{
    std::uint32_t count = 0;

    template<typename... T>
    void operator()(T &...)
    {
        count += sizeof...(T);
    }
};

class FieldWriter
{
public:
    explicit FieldWriter(msgpack::sbuffer &buffer)
        : m_packer(buffer)
    {
    }

    template<typename... T>
    void operator()(const T &...fields)
    {
        (write(fields), ...);
    }

    void beginArray(std::size_t size)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(size));
    }

    template<typename T>
    void write(const T &value)
    {
        if constexpr (std::is_enum_v<T>) {
            m_packer.pack(static_cast<std::underlying_type_t<T>>(value));
        } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            m_packer.pack(value);
        } else if constexpr (requires { value.count(); }) {
            m_packer.pack(static_cast<std::int64_t>(value.count()));
        } else if constexpr (requires { value.begin(); }) {
            beginArray(value.size());
            for (const auto &it : value) {
                write(it);
            }
        } else {
            writeAggregate(value);
        }
    }

    template<typename A, typename B>
    void write(const std::pair<A, B> &value)
    {
        beginArray(2);
        write(value.first);
        write(value.second);
    }

private:
    template<typename T>
    void writeAggregate(const T &value)
    {
        FieldCounter counter;
        visitFields(counter, value);
        beginArray(counter.count);
        visitFields(*this, value);
    }

    msgpack::packer<msgpack::sbuffer> m_packer;
};

/** Reads the elements of one array in order. */
class FieldReader
{
public:
    explicit FieldReader(const msgpack::object &array)
    {
        if (array.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
        m_fields = {array.via.array.ptr, array.via.array.size};
    }

    template<typename... T>
    void operator()(T &...fields)
    {
        (next(fields), ...);
    }

    template<typename T>
    void next(T &value)
    {
        if (m_next < m_fields.size()) {
            read(m_fields[m_next], value);
        }
        ++m_next;
    }

    template<typename T>
    static void read(const msgpack::object &from, T &value)
    {
        if constexpr (std::is_enum_v<T>) {
            value = static_cast<T>(from.as<std::underlying_type_t<T>>());
        } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            from.convert(value);
        } else if constexpr (requires { value.count(); }) {
            value = T(from.as<std::int64_t>());
        } else if constexpr (requires { typename T::value_type; }) {
            readElements(from, value);
        } else {
            FieldReader reader(from);
            visitFields(reader, value);
        }
    }

private:
    template<typename A, typename B>
    static void readPair(const msgpack::object &from, std::pair<A, B> &value)
    {
        FieldReader reader(from);
        reader.next(value.first);
        reader.next(value.second);
    }

    template<typename T>
    static void readElements(const msgpack::object &from, T &values)
    {
        FieldReader elements(from);
        for (const msgpack::object &it : elements.m_fields) {
            if constexpr (requires { typename T::mapped_type; }) {
                std::pair<typename T::key_type, typename T::mapped_type> value{};
                readPair(it, value);
                values.insert(std::move(value));
            } else {
                typename T::value_type value{};
                read(it, value);
                values.insert(values.end(), std::move(value));
            }
        }
    }

    std::span<const msgpack::object> m_fields;
    std::size_t m_next = 0;
};

} // namespace QuetzalRock::detail
