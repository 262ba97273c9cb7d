/**
 * What the administration API needs of the process behind it.
 *
 * Index of this file
 *   ControlBackend   the work of the failure domain: only the owner of its shard answers
 *   ProcessBackend   the process itself: every one answers
 */
#pragma once

#include <scheduler/scheduler.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

/** Every call may throw any Error. NotRun: this process cannot say or do it now, and nothing changed. Thread-safe. */
class ControlBackend
{
public:
    virtual ~ControlBackend() = default;

    virtual JobId submit(const JobSpec &spec) = 0; ///< returns once it is durable
    virtual void cancel(std::string_view tenant, std::string_view name) = 0;
    virtual JobStatus describe(std::string_view tenant, std::string_view name) = 0;

    /** Active jobs with an id above @p after, at most @p limit, by id. */
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

    virtual nlohmann::json members()
        = 0; ///< members of the failure domain as this process sees them, and who owns what
    virtual nlohmann::json debugState() = 0; ///< threads, rings, journals, versions
};

} // namespace QuetzalRock
