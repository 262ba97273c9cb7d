/**
 * The words that every package shares.
 *
 * Index of this file
 *   Resources            what a task takes and a worker has
 *   JobId ... AttemptId  names of running things
 *   WorkloadKind         services, batch jobs, standing watches
 *   JobSpec              what an operator asks for
 */
#pragma once

#include <base/clock.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace QuetzalRock {

/** An amount of a worker. Components are never negative in a valid reservation. */
struct Resources
{
    std::int64_t cpuMillis = 0;    ///< thousandths of a processor
    std::int64_t memoryMib = 0;    ///< MiB
    std::int64_t accelerators = 0; ///< whole devices

    bool fitsIn(const Resources &room) const;
    bool operator==(const Resources &) const = default;
    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
};

Resources operator+(Resources a, const Resources &b);
Resources operator-(Resources a, const Resources &b);

using JobId = std::uint64_t;  ///< never reused; the shard's number in the upper 16 bits, a counter below
using WorkerId = std::string; ///< the VM's name in the platform's list

/** One task of a job: a service's instance, a batch task, a standing watch. */
struct TaskId
{
    JobId job = 0;
    std::uint32_t index = 0; ///< from 0 to the job's task count - 1

    auto operator<=>(const TaskId &) const = default;
};

/** One try at running a task. Numbers go up from 1 and are never used twice, so that late messages can be told apart. */
struct AttemptId
{
    TaskId task;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
};

std::string toString(const TaskId &id);    ///< such as "42.0"
std::string toString(const AttemptId &id); ///< such as "42.0/1"

enum class WorkloadKind : std::uint8_t {
    Service = 0, ///< runs until cancelled; has a latency target
    Batch = 1,   ///< runs to its end; can be throttled, checkpointed, evicted
    Watch = 2,   ///< stands until cancelled, holds its place
};

/** What an operator asks for: one job of equal tasks. */
struct JobSpec
{
    JobId id = 0;
    std::string name;
    std::string tenant; ///< the tenant whose quota and share it counts against
    WorkloadKind kind = WorkloadKind::Batch;
    std::string className;       ///< class of the workload, for interference and learned sizes; empty: the job's name
    std::uint32_t taskCount = 1; ///< at least 1
    Resources resources;         ///< of each task, as declared
    int priority = 0;            ///< within the tenant: each step counts as having come earlier, see PlacementSettings
    bool urgent = false;         ///< starts before all that is not, by preemption where there is no room
    bool gang = false;           ///< all its tasks start together or none does
    Duration runTime{};          ///< batch: as declared; zero: unknown
    double latencyTargetMs = 0;  ///< services: wanted p99; 0: none
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
