/**
 * The durable state of a shard, rebuilt by applying the records of its log in order.
 *
 * Index of this file
 *   TaskState, JobState                        jobs that are active or still have running attempts
 *   EndedAttempt, EndedJob                     bounded history
 *   PendingTransfer, AcceptedTransferNumbers   transfers between failure domains
 *   HistoryLimits                              bounds of the history
 *   ShardState                                 all of the above; applies records, encodes and decodes snapshots
 *   exportHistory                              writes newline-delimited JSON
 *
 * Plain data without clock or I/O: the same sequence of records gives the same state in every process.
 */
#pragma once

#include <scheduler/records.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace QuetzalRock {

struct TaskState
{
    std::uint32_t lastAttempt = 0; ///< highest attempt number assigned so far; 0: none
    bool active = false;           ///< lastAttempt holds capacity on its worker; its end is not durable yet
    bool stopping = false;         ///< a stop of lastAttempt is durably requested
    bool done = false;             ///< finished; no further attempt starts
    std::uint32_t failures = 0;    ///< number of attempts that exited with an error
    WorkerId worker;               ///< of lastAttempt while it is active, otherwise empty
    Resources reserved;            ///< by lastAttempt while it is active, otherwise zero
    WallTime assignedAt{};         ///< of the latest assignment
    double progress = 0;           ///< 0 to 1, the highest at the end of any attempt
    std::string checkpoint;        ///< the next attempt resumes from it; empty: starts from the beginning
    std::string reason;            ///< human-readable cause of the latest assignment or stop
};

struct JobState
{
    JobSpec spec;
    JobPhase phase = JobPhase::Active;
    WallTime submittedAt{};
    WallTime endedAt{};
    std::string reason;          ///< human-readable cause of the phase
    std::uint32_t doneCount = 0; ///< number of finished tasks
    std::vector<TaskState> tasks;

    bool hasActiveAttempt() const;
};

struct EndedAttempt
{
    AttemptId attempt;
    WorkerId worker;
    AttemptState state = AttemptState::Stopped;
    EndCause cause = EndCause::WorkerReport;
    double progress = 0;
    std::string error;
    WallTime assignedAt{};
    WallTime endedAt{};
};

struct EndedJob
{
    JobSpec spec;
    JobPhase phase = JobPhase::Succeeded;
    std::string reason;
    WallTime submittedAt{};
    WallTime endedAt{};
};

/** A transfer to another failure domain that the receiver has not acknowledged yet. */
struct PendingTransfer
{
    std::string toDomain;
    JobSpec spec; ///< id 0: the transfer moves an allotment
    std::vector<TransferredTask> tasks;
    std::string tenant;
    Resources amount;
};

/** Numbers of the transfers accepted from one origin shard, kept to make repeated offers idempotent. */
struct AcceptedTransferNumbers
{
    std::uint64_t acknowledgedBelow = 0; ///< the origin has completed all lower numbers and never offers them again
    std::set<std::uint64_t> numbers;     ///< accepted numbers from acknowledgedBelow upwards

    bool contains(std::uint64_t number) const;
};

/** Maximum number of history entries. The history is part of the state, and so of every snapshot. */
struct HistoryLimits
{
    std::size_t endedAttempts = 2000; ///< about 100 bytes each in a snapshot
    std::size_t endedJobs = 2000;     ///< about 150 bytes each; resubmission is idempotent only while the job is kept
};

struct ShardState
{
    std::uint64_t lastJobNumber = 0;             ///< lower 48 bits of the latest job id of this shard
    std::uint64_t lastTransferNumber = 0;        ///< of the latest transfer that this shard started
    std::string operatorName;                    ///< responsible for this shard since the latest OperatorChanged record
    std::map<JobId, JobState> jobs;              ///< active, or ended with attempts that are still active
    std::deque<EndedJob> endedJobs;              ///< oldest first
    std::deque<EndedAttempt> endedAttempts;      ///< oldest first
    std::map<std::string, Resources> allotments; ///< by tenant: its share of the quota in this failure domain
    std::map<TransferId, PendingTransfer> pendingTransfers;             ///< started here, not acknowledged
    std::map<std::uint16_t, AcceptedTransferNumbers> acceptedTransfers; ///< by origin shard

    std::map<std::pair<std::string, std::string>, JobId>
        jobIdsByName;     ///< by (tenant, name), of jobs and endedJobs; rebuilt on decoding, not in snapshots
    HistoryLimits limits; ///< not in snapshots

    /** Applies a durable record. Obsolete records, such as a second end of the same attempt, have no effect. */
    void apply(const Record &record);

    const JobState *findJob(JobId id) const;
    const TaskState *findTask(const TaskId &id) const;
    const JobSpec *findSpec(JobId id) const; ///< in jobs or endedJobs; null if not found

    /** Lowest transfer number of this shard that is not acknowledged; all lower ones are. */
    std::uint64_t acknowledgedBelow() const;

    std::string encode() const; ///< as a snapshot

    /** Throws IncompatibleRecord if a newer version wrote @p snapshot. An empty snapshot decodes to an empty state. */
    static ShardState decode(std::string_view snapshot, const HistoryLimits &limits);
};

/** One JSON object per line for each job and attempt, ended ones first. Ended ones beyond the limits are missing. */
std::string exportHistory(const ShardState &state);

} // namespace QuetzalRock
