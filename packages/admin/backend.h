/**
 * Interfaces through which the administration API accesses its process.
 *
 * Index of this file
 *   ControlBackend   jobs and workers of the failure domain; only available at the owner of the scheduler shard
 *   ProcessBackend   state of the process itself; available in every process
 */
#pragma once

#include <scheduler/scheduler.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

/** Every call may throw any Error. NotRun means that the call had no effect and may be retried. Thread-safe. */
class ControlBackend
{
public:
    virtual ~ControlBackend() = default;

    virtual JobId submit(const JobSpec &spec) = 0; ///< returns once the job is durable
    virtual void cancel(std::string_view tenant, std::string_view name) = 0;
    virtual JobStatus describe(std::string_view tenant, std::string_view name) = 0;

    /** Active jobs with an id greater than @p after, ordered by id, at most @p limit. */
    virtual std::vector<JobStatus> jobs(JobId after, std::size_t limit) = 0;

    virtual ShardStatus shard() = 0;
    virtual std::string history() = 0; ///< newline-delimited JSON
    virtual void changeOperator(std::string_view name) = 0;
};

/** Thread-safe. */
class ProcessBackend
{
public:
    virtual ~ProcessBackend() = default;

    /** The members of the failure domain known to this process, and the shards that each owns. */
    virtual nlohmann::json members() = 0;
    virtual nlohmann::json debugState() = 0; ///< counters and flags of this process, for troubleshooting
};

} // namespace QuetzalRock
