/**
 * The records of a shard's log.
 *
 * Index of this file
 *   JobSubmitted ... OperatorChanged   one aggregate for each fact that must last
 *   Record                             any of them
 *   encodeRecord, decodeRecord         versioned msgpack
 *   IncompatibleRecord                 written by a newer process; stop before doing harm
 *
 * Compatibility
 *   A record is the array [type, version, fields]. A field may be added at the end without a new version where an older
 *   process may ignore it. A version goes up where an older process must not: it then refuses the whole log. A newer
 *   process reads every older version; fields missing there keep their defaults.
 */
#pragma once

#include <base/errors.h>
#include <base/types.h>
#include <platform/platform.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace QuetzalRock {

/** How the end of an attempt came to be known. */
enum class EndCause : std::uint8_t {
    WorkerReport = 0, ///< the worker's own word
    VmGone = 1,       ///< the platform says that the VM is gone, and the attempt's lease term has passed
};

/** What has become of a job. */
enum class JobPhase : std::uint8_t {
    Active = 0,
    Cancelled = 1,   ///< no further attempt; running ones are being stopped
    Succeeded = 2,   ///< every task finished
    Failed = 3,      ///< given up; see the reason
    Transferred = 4, ///< belongs to another failure domain now
};

/** Names a transfer for good: the shard that gave it and that shard's counter. */
struct TransferId
{
    std::uint16_t shard = 0;
    std::uint64_t number = 0; ///< from 1; in the order in which the shard gave

    auto operator<=>(const TransferId &) const = default;
};

/** What a job keeps of a task when it moves to another failure domain. */
struct TaskCarry
{
    std::uint32_t lastAttempt = 0; ///< numbers go on from here
    std::uint32_t failures = 0;
    bool done = false;
    double progress = 0;
    std::string checkpoint;
};

// ---------------------------------------------------------------------------------------------------------------------
// Facts. The end of a job is its own record, so that a change of policy does not change what a replay says.
// ---------------------------------------------------------------------------------------------------------------------

struct JobSubmitted
{
    JobSpec spec;
    WallTime at{};
};

struct JobCancelled
{
    JobId job = 0;
    WallTime at{};
};

/** Durable before the start is sent: from here on the worker's capacity is taken. */
struct AttemptAssigned
{
    AttemptId attempt;
    WorkerId worker;
    Resources resources;
    WallTime at{};
    std::string reason; ///< for people
};

struct StopRequested
{
    AttemptId attempt;
    StopMode mode = StopMode::Checkpoint;
    TaskId inFavourOf;  ///< job 0: none
    std::string reason; ///< for people
};

/** The attempt never runs again: from here on its capacity is free. */
struct AttemptEnded
{
    AttemptId attempt;
    AttemptState state = AttemptState::Stopped;
    EndCause cause = EndCause::WorkerReport;
    double progress = 0;
    std::string checkpoint; ///< where the next attempt resumes
    std::string error;
    WallTime at{};
};

struct JobFinished
{
    JobId job = 0;
    JobPhase phase = JobPhase::Succeeded;
    std::string reason; ///< for people
    WallTime at{};
};

/** The origin has given a job, or a share of a tenant's quota, to another failure domain. It cannot take it back. */
struct TransferGiven
{
    TransferId id;
    std::string toDomain;
    JobId job = 0;      ///< 0: an allotment
    std::string tenant; ///< with an allotment
    Resources amount;   ///< with an allotment
    WallTime at{};
};

/** The receiver holds it now. Written once for each id. */
struct TransferAccepted
{
    TransferId id;
    std::string fromDomain;
    JobSpec spec; ///< id 0: an allotment
    std::vector<TaskCarry> tasks;
    std::string tenant;
    Resources amount;
    std::uint64_t settledBelow = 0; ///< the origin has settled every number below: they can be forgotten
    WallTime at{};
};

/** The origin has the receiver's word and forgets. */
struct TransferSettled
{
    TransferId id;
};

/** Sets a tenant's allotment in this failure domain, by the operators' tree. */
struct AllotmentSet
{
    std::string tenant;
    Resources amount;
};

struct OperatorChanged
{
    std::string operatorName;
    WallTime at{};
};

using Record = std::variant<JobSubmitted,
                            JobCancelled,
                            AttemptAssigned,
                            StopRequested,
                            AttemptEnded,
                            JobFinished,
                            TransferGiven,
                            TransferAccepted,
                            TransferSettled,
                            AllotmentSet,
                            OperatorChanged>;

// ---------------------------------------------------------------------------------------------------------------------
// Bytes
// ---------------------------------------------------------------------------------------------------------------------

/** A newer process wrote this: an older one must not own the log. */
class IncompatibleRecord : public Error
{
public:
    explicit IncompatibleRecord(const std::string &message);
};

std::string encodeRecord(const Record &record);

/** Throws IncompatibleRecord for an unknown type or a newer version, InvalidArgument for bytes that are no record. */
Record decodeRecord(std::string_view bytes);

/** True where the two ask for the same thing, whatever their ids. */
bool isSameRequest(const JobSpec &a, const JobSpec &b);

} // namespace QuetzalRock
