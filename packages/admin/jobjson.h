/** JSON format of jobs, workers and shards in the administration API. */
#pragma once

#include <admin/backend.h>

namespace QuetzalRock {

std::string_view kindName(WorkloadKind kind); ///< "service", "batch", "watch"

/**
 * Parses the body of a create request. An unknown field, a wrong type or a value out of range throws InvalidArgument that
 * names the field. A field that does not apply to @p kind counts as unknown (run_time_s for a service, latency_target_ms
 * for a batch job).
 */
JobSpec parseJobSpec(const nlohmann::json &json, WorkloadKind kind);

nlohmann::json toJson(const JobSpec &spec);
nlohmann::json toJson(const TaskStatus &task);
nlohmann::json toJson(const JobStatus &job, bool includesTasks);
nlohmann::json toJson(const WorkerStatus &worker);
nlohmann::json toJson(const ShardStatus &shard); ///< without workers and jobs

} // namespace QuetzalRock
