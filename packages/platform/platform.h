/**
 * What the platform gives, as abstract interfaces: one adapter file implements them for each real platform.
 *
 * Index of this file
 *   KeyValueService   compare-and-swap, leases, watches; the only place where anything lasts
 *   VmList            live and leaving VMs; lags
 *   WorkerAgent       start, renew, throttle, checkpoint and stop tasks on workers
 *
 * Errors of every call here
 *   Unavailable       the call was not taken: nothing changed
 *   OutcomeUnknown    the answer was lost: the call may have taken effect (reads never throw it)
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

using Revision = std::uint64_t; ///< grows with every write to the service; 0 means "no such key"
using LeaseId = std::uint64_t;  ///< 0 means "no lease"

constexpr std::size_t MaxValueBytes = 1'000'000; ///< the service refuses larger values

struct KeyValue
{
    std::string key;
    std::string value;
    Revision revision = 0; ///< of the last write to this key
};

struct CasResult
{
    bool swapped = false;  ///< false: the key was not at the expected revision, nothing changed
    Revision revision = 0; ///< the key's revision now
};

struct WatchResult
{
    Revision revision = 0;            ///< pass as @p after in the next call
    std::vector<KeyValue> changed;    ///< latest value of each key changed since @p after; empty on timeout
    std::vector<std::string> removed; ///< keys removed, or lapsed with their lease, since @p after
};

/** Thread-safe. Every call counts against the service's budget, a waiting watch as one. */
class KeyValueService
{
public:
    virtual ~KeyValueService() = default;

    virtual std::optional<KeyValue> get(std::string_view key) = 0;
    virtual std::vector<KeyValue> list(std::string_view prefix) = 0; ///< ordered by key

    /** Writes if the key's revision is @p expected (0: the key must not exist). With a lease the key goes when it lapses. */
    virtual CasResult compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease = 0)
        = 0;

    /** Removes the key if it is at @p expected. */
    virtual CasResult remove(std::string_view key, Revision expected) = 0;

    virtual LeaseId grantLease(Duration ttl) = 0;
    virtual bool renewLease(LeaseId lease) = 0; ///< false: it has lapsed; its keys are gone
    virtual void revokeLease(LeaseId lease) = 0;

    /** Waits up to @p timeout for a change under @p prefix after revision @p after. */
    virtual WatchResult watch(std::string_view prefix, Revision after, Duration timeout) = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// VmList
// ---------------------------------------------------------------------------------------------------------------------

enum class VmRole : std::uint8_t {
    Entry = 0,    ///< runs this system
    Worker = 1,   ///< runs tasks
    Upstream = 2, ///< answers requests
};

enum class VmState : std::uint8_t {
    Live = 0,
    Leaving = 1, ///< takes no new work; goes soon
    Gone = 2,    ///< the platform's word that the VM no longer runs
};

struct Vm
{
    std::string name;
    VmRole role = VmRole::Worker;
    VmState state = VmState::Live;
    std::string region;
    std::string failureDomain;
    std::string rack;
    std::string address; ///< "ip:port" of the VM's agent or service
    Resources capacity;  ///< of a worker
};

class VmList
{
public:
    virtual ~VmList() = default;

    virtual std::vector<Vm> vms() = 0; ///< every VM, gone ones for a while too; lags by seconds
};

// ---------------------------------------------------------------------------------------------------------------------
// WorkerAgent
// ---------------------------------------------------------------------------------------------------------------------

using WorkerTime = std::chrono::milliseconds; ///< a worker's own clock, as it reports it; compare with nothing else

struct StartCommand
{
    AttemptId attempt;
    std::uint64_t epoch = 0;  ///< of the owner that sends it; a worker ignores an epoch below the highest it has seen
    WorkerTime startBefore{}; ///< a worker that gets the command later than this bars the attempt instead
    WorkloadKind kind = WorkloadKind::Batch;
    std::string className; ///< class of the workload, for interference
    Resources resources;
    std::string command;    ///< opaque to the scheduler
    std::string checkpoint; ///< where to resume; empty: from the start
    Duration lease{};       ///< the attempt stops by itself when it is not renewed for so long
};

enum class AttemptState : std::uint8_t {
    Unknown = 0, ///< the worker has never heard of it
    Running = 1,
    Throttled = 2, ///< running, slowed down
    Finished = 3,  ///< ended by itself, successfully
    Failed = 4,    ///< ended by itself, with an error
    Stopped = 5,   ///< ended by command or by lapse of its lease
    Barred = 6,    ///< never started here and never will
};

/** True for the states from which an attempt never runs again. */
bool isEnded(AttemptState state);

struct AttemptReport
{
    AttemptId attempt;
    AttemptState state = AttemptState::Unknown;
    Resources usage;        ///< measured, at WorkerReport::measuredAt
    double progress = 0;    ///< batch: share done, 0 to 1
    double latencyMs = 0;   ///< services: p99 over the last interval; 0 where unknown
    std::string checkpoint; ///< last good checkpoint; empty where there is none
    std::string error;      ///< with Failed
};

struct WorkerReport
{
    WorkerId worker;
    WorkerTime workerClock{};            ///< when the worker wrote this report
    WorkerTime measuredAt{};             ///< when usage was measured; earlier than workerClock by the lag
    std::vector<AttemptReport> attempts; ///< everything running or ended and not yet forgotten
};

enum class StopMode : std::uint8_t {
    Kill = 0,
    Checkpoint = 1, ///< write a checkpoint first
};

/** Commands to workers. Each is idempotent and harmless when late: attempts are never reused. Thread-safe. */
class WorkerAgent
{
public:
    virtual ~WorkerAgent() = default;

    virtual void start(std::string_view worker, const StartCommand &command) = 0;

    /** Prolongs the leases of @p attempts; those that have lapsed or ended stay so. */
    virtual void
    renew(std::string_view worker, std::uint64_t epoch, std::span<const AttemptId> attempts, Duration lease)
        = 0;

    /** Stops an attempt, or bars it where it has not started: the answer of report() then says Stopped or Barred. */
    virtual void stop(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, StopMode mode) = 0;

    /** Slows an attempt down to @p permille of its processors; 1000 lifts it. */
    virtual void throttle(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, int permille) = 0;

    virtual WorkerReport report(std::string_view worker) = 0;

    /** Lets the worker forget attempts whose end is durable. */
    virtual void forget(std::string_view worker, std::span<const AttemptId> attempts) = 0;
};

} // namespace QuetzalRock
