/**
 * What a shard's log says: the state that is rebuilt by applying records in order.
 *
 * Index of this file
 *   TaskState, JobState         what is open
 *   EndedAttempt, EndedJob      bounded history
 *   GivenTransfer ...           transfers between failure domains
 *   ShardState                  all of it; apply(), and its snapshot as bytes
 *   exportHistory               newline-delimited JSON
 *
 * Plain data, no clock, no I/O: the same records give the same state on every machine.
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
    std::uint32_t lastAttempt = 0; ///< the highest number ever assigned; 0: none yet
    bool active = false;           ///< lastAttempt holds its worker's capacity; its end is not known
    bool stopping = false;         ///< a stop of lastAttempt has been asked for
    bool done = false;             ///< finished; no further attempt
    std::uint32_t failures = 0;    ///< attempts that ended by themselves with an error
    WorkerId worker;               ///< of lastAttempt while active
    Resources reserved;            ///< of lastAttempt while active
    WallTime since{};              ///< assignment of lastAttempt while active
    double progress = 0;           ///< at the last known end
    std::string checkpoint;        ///< where the next attempt resumes
    std::string reason;            ///< why it runs where it does, or why it was stopped
};

struct JobState
{
    JobSpec spec;
    JobPhase phase = JobPhase::Active;
    WallTime submittedAt{};
    WallTime endedAt{};
    std::string reason;          ///< of the phase; for people
    std::uint32_t doneCount = 0; ///< of tasks
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

/** Given to another failure domain, which has not said yet that it holds it. */
struct GivenTransfer
{
    std::string toDomain;
    JobSpec spec; ///< id 0: an allotment
    std::vector<TaskCarry> tasks;
    std::string tenant;
    Resources amount;
};

/** What was accepted from one shard. Numbers below settledBelow were settled there and can never be offered again. */
struct AcceptedNumbers
{
    std::uint64_t settledBelow = 0;
    std::set<std::uint64_t> numbers;

    bool contains(std::uint64_t number) const;
};

/** How much of the past is kept in the state, and so in each snapshot. */
struct HistoryLimits
{
    std::size_t endedAttempts = 2000; ///< about 100 bytes each in a snapshot
    std::size_t endedJobs = 2000; ///< about 150 bytes each; a name is idempotent for as long as its job is kept here
};

struct ShardState
{
    std::uint64_t lastJobNumber = 0;      ///< lower 48 bits of the last job id given by this shard
    std::uint64_t lastTransferNumber = 0; ///< of transfers given by this shard
    std::string operatorName;             ///< who runs this shard, since the last recorded change
    std::map<JobId, JobState> jobs;       ///< active, or with attempts whose end is not known
    std::deque<EndedJob> endedJobs;       ///< oldest first
    std::deque<EndedAttempt> endedAttempts;
    std::map<std::string, Resources> allotments; ///< of tenants' quotas, in this failure domain
    std::map<TransferId, GivenTransfer> given;
    std::map<std::uint16_t, AcceptedNumbers> accepted; ///< by the origin's shard

    std::map<std::pair<std::string, std::string>, JobId>
        names;            ///< (tenant, name) of open and ended jobs; not in snapshots
    HistoryLimits limits; ///< not in snapshots

    /** Applies one durable record. Records that no longer apply, such as the end of an ended attempt, change nothing. */
    void apply(const Record &record);

    const JobState *findJob(JobId id) const;
    const TaskState *findTask(const TaskId &id) const;
    const JobSpec *findSpec(JobId id) const; ///< of an open or remembered job

    /** Every transfer of this shard below this number is settled. */
    std::uint64_t settledBelow() const;

    std::string encode() const;

    /** Throws IncompatibleRecord where a newer process wrote @p snapshot. Empty bytes are an empty state. */
    static ShardState decode(std::string_view snapshot, const HistoryLimits &limits);
};

/** Jobs and attempts, one JSON object a line, ended ones first; complete as far as the limits reach. */
std::string exportHistory(const ShardState &state);

} // namespace QuetzalRock
