/**
 * Types shared by all packages.
 *
 * Index of this file
 *   Resources            what a task needs and a worker provides
 *   JobId ... AttemptId  identifiers of jobs, workers, tasks and attempts
 *   WorkloadKind         service, batch job or watch
 *   JobSpec              a job as an operator submits it
 */
#pragma once

#include <base/clock.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace QuetzalRock {

/** Resource amounts of a task, reservation or worker. No component of a valid reservation is negative. */
struct Resources
{
    std::int64_t cpuMillis = 0;    ///< thousandths of a CPU
    std::int64_t memoryMib = 0;    ///< MiB
    std::int64_t accelerators = 0; ///< whole devices

    bool fitsIn(const Resources &available) const;
    bool operator==(const Resources &) const = default;
    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
};

Resources operator+(Resources a, const Resources &b);
Resources operator-(Resources a, const Resources &b);

using JobId = std::uint64_t;  ///< never reused; shard number in the upper 16 bits, counter in the lower 48
using WorkerId = std::string; ///< name of the VM in the platform's VM list

/** One task of a job: a service instance, a batch task or a watch. */
struct TaskId
{
    JobId job = 0;
    std::uint32_t index = 0; ///< 0 to JobSpec::taskCount - 1

    auto operator<=>(const TaskId &) const = default;
};

/** One attempt to run a task. Numbers increase from 1 and are never reused, so that late messages can be recognised. */
struct AttemptId
{
    TaskId task;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
};

std::string toString(const TaskId &id);    ///< "job.index", such as "42.0"
std::string toString(const AttemptId &id); ///< "job.index/number", such as "42.0/1"

enum class WorkloadKind : std::uint8_t {
    Service = 0, ///< runs until cancelled; has a latency target
    Batch = 1,   ///< runs to completion; can be throttled, checkpointed and evicted
    Watch = 2,   ///< runs until cancelled; never evicted
};

/** A job as an operator submits it: one or more identical tasks. */
struct JobSpec
{
    JobId id = 0;
    std::string name;
    std::string tenant; ///< tenant whose quota and share the job counts against
    WorkloadKind kind = WorkloadKind::Batch;
    std::string className;       ///< workload class for interference and learned resource sizes; empty: the job name
    std::uint32_t taskCount = 1; ///< at least 1
    Resources resources;         ///< declared resources of each task
    int priority = 0;            ///< within the tenant; a step acts as an earlier submission, see PlacementSettings
    bool urgent = false;         ///< starts before all non-urgent jobs; preempts if there is not enough capacity
    bool gang = false;           ///< all tasks start together or none starts
    Duration runTime{};          ///< batch: declared run time; zero: unknown
    double latencyTargetMs = 0;  ///< service: target p99; 0: none
    std::string command;         ///< opaque to the scheduler
};

} // namespace QuetzalRock

template<>
struct std::hash<QuetzalRock::TaskId>
{
    std::size_t operator()(const QuetzalRock::TaskId &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.job * 0x9e3779b97f4a7c15ULL + id.index);
    }
};
