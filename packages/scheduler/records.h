/**
 * The records of a shard's log.
 *
 * Index of this file
 *   EndCause, JobPhase, TransferId, TransferredTask   types shared by several records
 *   JobSubmitted ... OperatorChanged                  one struct for each kind of durable event
 *   Record                                            variant of all of them
 *   IncompatibleRecord                                thrown on data written by a newer version of the program
 *   encodeRecord, decodeRecord                        conversion to and from versioned msgpack
 *   isSameRequest                                     compares job specs for idempotent submission
 *
 * Compatibility
 *   A record is the msgpack array [type, version, fields]. A field that older processes can safely ignore is added at
 *   the end without a new version. Any other change increments the version, and older processes then refuse the whole
 *   log. Newer processes read every older version; fields missing there keep their default values.
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

/** Source of the information that an attempt has ended. */
enum class EndCause : std::uint8_t {
    WorkerReport = 0, ///< the worker reported an end state
    VmGone = 1,       ///< the VM is gone or no longer listed, and the lease of the attempt has expired
};

enum class JobPhase : std::uint8_t {
    Active = 0,
    Cancelled = 1,   ///< no further attempt starts; running ones are being stopped
    Succeeded = 2,   ///< every task finished
    Failed = 3,      ///< a task reached its failure limit; the reason field has details
    Transferred = 4, ///< owned by another failure domain
};

/** Globally unique and never reused: the origin shard and a counter of that shard. */
struct TransferId
{
    std::uint16_t shard = 0;
    std::uint64_t number = 0; ///< starts at 1, increases with each transfer of the origin shard

    auto operator<=>(const TransferId &) const = default;
};

/** State of a task that moves with its job to another failure domain. */
struct TransferredTask
{
    std::uint32_t lastAttempt = 0; ///< the receiver continues numbering attempts from here
    std::uint32_t failures = 0;
    bool done = false;
    double progress = 0;
    std::string checkpoint;
};

// ---------------------------------------------------------------------------------------------------------------------
// Record types. The end of a job has its own record: if replay derived it from the ends of attempts, a change of the
// retry policy would change the outcome of jobs that have already ended.
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

/** Reserves capacity on the worker. Durable before the start command is sent. */
struct AttemptAssigned
{
    AttemptId attempt;
    WorkerId worker;
    Resources resources;
    WallTime at{};
    std::string reason; ///< human-readable
};

struct StopRequested
{
    AttemptId attempt;
    StopMode mode = StopMode::Checkpoint;
    TaskId preemptor;   ///< the task that gets the capacity; job 0: none
    std::string reason; ///< human-readable
};

/** The attempt has ended for good. Releases its capacity. */
struct AttemptEnded
{
    AttemptId attempt;
    AttemptState state = AttemptState::Stopped;
    EndCause cause = EndCause::WorkerReport;
    double progress = 0;
    std::string checkpoint; ///< the next attempt resumes from it
    std::string error;
    WallTime at{};
};

struct JobFinished
{
    JobId job = 0;
    JobPhase phase = JobPhase::Succeeded;
    std::string reason; ///< human-readable
    WallTime at{};
};

/**
 * The origin has started to transfer a job, or part of a tenant's allotment, to another failure domain. The origin no
 * longer owns it and cannot revoke the transfer.
 */
struct TransferInitiated
{
    TransferId id;
    std::string toDomain;
    JobId job = 0;      ///< 0: the transfer moves an allotment
    std::string tenant; ///< set if the transfer moves an allotment
    Resources amount;   ///< set if the transfer moves an allotment
    WallTime at{};
};

/** The receiver owns the job or allotment. Written once for each transfer id. */
struct TransferAccepted
{
    TransferId id;
    std::string fromDomain;
    JobSpec spec; ///< id 0: the transfer moves an allotment
    std::vector<TransferredTask> tasks;
    std::string tenant;
    Resources amount;
    std::uint64_t acknowledgedBelow
        = 0; ///< all lower numbers are acknowledged at the origin and are never offered again
    WallTime at{};
};

/** The origin knows that the receiver has accepted the transfer, and stops offering it. */
struct TransferAcknowledged
{
    TransferId id;
};

/** Sets a tenant's allotment in this failure domain, as given by the operators' settings. */
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
                            TransferInitiated,
                            TransferAccepted,
                            TransferAcknowledged,
                            AllotmentSet,
                            OperatorChanged>;

// ---------------------------------------------------------------------------------------------------------------------
// Encoding
// ---------------------------------------------------------------------------------------------------------------------

/** The data was written by a newer version of the program. This process must not become the owner of the log. */
class IncompatibleRecord : public Error
{
public:
    explicit IncompatibleRecord(const std::string &message);
};

std::string encodeRecord(const Record &record);

/** Throws IncompatibleRecord for an unknown type or a newer version, InvalidArgument for malformed bytes. */
Record decodeRecord(std::string_view bytes);

/** Compares all fields except the job id. */
bool isSameRequest(const JobSpec &a, const JobSpec &b);

} // namespace QuetzalRock
