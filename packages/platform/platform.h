/**
 * Abstract interfaces to the platform. Each supported platform has an adapter that implements them.
 *
 * Index of this file
 *   KeyValueService   compare-and-swap, leases and watches; the only durable storage
 *   VmList            VMs and their states; may be out of date by seconds
 *   WorkerAgent       starts, renews, throttles, checkpoints and stops tasks on workers
 *
 * Errors thrown by every call
 *   Unavailable       the call was not accepted and had no effect
 *   OutcomeUnknown    the response was lost; the call may have taken effect (never thrown by reads)
 */
#pragma once

#include <base/clock.h>
#include <base/errors.h>
#include <base/types.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

// ---------------------------------------------------------------------------------------------------------------------
// KeyValueService
// ---------------------------------------------------------------------------------------------------------------------

using Revision = std::uint64_t; ///< increases with each write to the service; 0: the key does not exist
using LeaseId = std::uint64_t;  ///< 0: no lease

constexpr std::size_t MaxValueBytes = 1'000'000; ///< larger values are rejected by the service

struct KeyValue
{
    std::string key;
    std::string value;
    Revision revision = 0; ///< of the last write to this key
};

struct CasResult
{
    bool swapped = false;  ///< false: the key is not at the expected revision; no effect
    Revision revision = 0; ///< current revision of the key
};

struct WatchResult
{
    Revision revision = 0;            ///< pass as @p after to the next call
    std::vector<KeyValue> changed;    ///< current entries of the keys changed since @p after; empty on timeout
    std::vector<std::string> removed; ///< keys removed, also by an expired lease, since @p after
};

/** Thread-safe. Each call counts against the service's call budget; a watch counts once however long it waits. */
class KeyValueService
{
public:
    virtual ~KeyValueService() = default;

    virtual std::optional<KeyValue> get(std::string_view key) = 0;
    virtual std::vector<KeyValue> list(std::string_view prefix) = 0; ///< ordered by key

    /** Writes if the key is at @p expected (0: must not exist). The key is removed when @p lease expires (0: never). */
    virtual CasResult compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease = 0)
        = 0;

    /** Removes the key if its revision is @p expected. */
    virtual CasResult remove(std::string_view key, Revision expected) = 0;

    virtual LeaseId grantLease(Duration ttl) = 0;
    virtual bool renewLease(LeaseId lease) = 0; ///< false: the lease has expired and its keys are removed
    virtual void revokeLease(LeaseId lease) = 0;

    /** Waits up to @p timeout for a change under @p prefix after revision @p after. */
    virtual WatchResult watch(std::string_view prefix, Revision after, Duration timeout) = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// VmList
// ---------------------------------------------------------------------------------------------------------------------

enum class VmRole : std::uint8_t {
    Entry = 0,    ///< runs the scheduler
    Worker = 1,   ///< runs tasks
    Upstream = 2, ///< serves routed requests
};

enum class VmState : std::uint8_t {
    Live = 0,
    Leaving = 1, ///< accepts no new tasks; will be removed soon
    Gone = 2,    ///< the platform guarantees that the VM no longer runs
};

struct Vm
{
    std::string name;
    VmRole role = VmRole::Worker;
    VmState state = VmState::Live;
    std::string region;
    std::string failureDomain;
    std::string rack;
    std::string address; ///< "ip:port" of the agent or service on the VM
    Resources capacity;  ///< worker: total resources
};

class VmList
{
public:
    virtual ~VmList() = default;

    virtual std::vector<Vm> vms() = 0; ///< all VMs, also recently removed ones; may be out of date by seconds
};

// ---------------------------------------------------------------------------------------------------------------------
// WorkerAgent
// ---------------------------------------------------------------------------------------------------------------------

using WorkerTime = std::chrono::milliseconds; ///< time of one worker's own clock; not comparable with any other clock

struct StartCommand
{
    AttemptId attempt;
    std::uint64_t epoch = 0;  ///< fencing token of the owner; a worker ignores epochs below the highest it has seen
    WorkerTime startBefore{}; ///< on receipt after this time the worker sets the attempt to Barred
    WorkloadKind kind = WorkloadKind::Batch;
    std::string className; ///< workload class, for interference
    Resources resources;
    std::string command;    ///< opaque to the scheduler
    std::string checkpoint; ///< checkpoint to resume from; empty: start from the beginning
    Duration lease{};       ///< the worker stops the attempt if it is not renewed for this time
};

enum class AttemptState : std::uint8_t {
    Unknown = 0, ///< the worker has no record of the attempt
    Running = 1,
    Throttled = 2, ///< running with reduced CPU
    Finished = 3,  ///< completed successfully
    Failed = 4,    ///< ended with an error
    Stopped = 5,   ///< stopped by command or because its lease expired
    Barred = 6,    ///< never started; a later start is ignored
};

/** Returns whether @p state is final: the attempt never runs again. */
bool isEnded(AttemptState state);

struct AttemptReport
{
    AttemptId attempt;
    AttemptState state = AttemptState::Unknown;
    Resources usage;        ///< measured at WorkerReport::measuredAt
    double progress = 0;    ///< batch: completed fraction, 0 to 1
    double latencyMs = 0;   ///< service: p99 over the last interval; 0: unknown
    std::string checkpoint; ///< last complete checkpoint; empty: none
    std::string error;      ///< set if the state is Failed
};

struct WorkerReport
{
    WorkerId worker;
    WorkerTime workerClock{};            ///< when the report was written
    WorkerTime measuredAt{};             ///< when usage was measured; earlier than workerClock by the measurement lag
    std::vector<AttemptReport> attempts; ///< all running attempts, and ended ones until forget()
};

enum class StopMode : std::uint8_t {
    Kill = 0,
    Checkpoint = 1, ///< write a checkpoint before stopping
};

/** Commands to workers. Idempotent, and safe when delayed because attempt numbers are never reused. Thread-safe. */
class WorkerAgent
{
public:
    virtual ~WorkerAgent() = default;

    virtual void start(std::string_view worker, const StartCommand &command) = 0;

    /** Renews the leases of @p attempts. Has no effect on attempts that have ended or whose lease has expired. */
    virtual void
    renew(std::string_view worker, std::uint64_t epoch, std::span<const AttemptId> attempts, Duration lease)
        = 0;

    /** Stops @p attempt; report() then shows it as Stopped, or as Barred if it was not started before. */
    virtual void stop(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, StopMode mode) = 0;

    /** Limits @p attempt to @p permille of its CPU; 1000 removes the limit. */
    virtual void throttle(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, int permille) = 0;

    virtual WorkerReport report(std::string_view worker) = 0;

    /** Deletes the worker's records of ended @p attempts. Call only once their final state is stored durably. */
    virtual void forget(std::string_view worker, std::span<const AttemptId> attempts) = 0;
};

} // namespace QuetzalRock
