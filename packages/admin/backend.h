/** What the administration API needs of the process behind it. */
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
    virtual nlohmann::json debugState() = 0; ///< of this process: threads, rings, journal, members
};

} // namespace QuetzalRock
