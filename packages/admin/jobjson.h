/** Jobs, workers and shards as the JSON of the administration API. */
#pragma once

#include <admin/backend.h>

namespace QuetzalRock {

std::string_view kindName(WorkloadKind kind); ///< "service", "batch", "watch"

/**
 * The body of a create request. Unknown fields, wrong types and values out of range throw InvalidArgument that names the
 * field. Fields that do not apply to @p kind (run_time_s of a service, latency_target_ms of a batch job) are unknown.
 */
JobSpec parseJobSpec(const nlohmann::json &json, WorkloadKind kind);

nlohmann::json toJson(const JobSpec &spec);
nlohmann::json toJson(const TaskStatus &task);
nlohmann::json toJson(const JobStatus &job, bool withTasks);
nlohmann::json toJson(const WorkerStatus &worker);
nlohmann::json toJson(const ShardStatus &shard); ///< without workers and jobs

} // namespace QuetzalRock
