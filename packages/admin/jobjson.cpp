#include <admin/jobjson.h>

#include <admin/jsonfields.h>
#include <platform/platformjson.h>

#include <set>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxCommandBytes = 16 * 1024;
constexpr std::int64_t MaxTasks = 10'000;
constexpr std::int64_t MaxCpuMillis = 1'000'000;
constexpr std::int64_t MaxMemoryMib = 64 * 1024 * 1024;
constexpr std::int64_t MaxAccelerators = 1024;
constexpr std::int64_t MaxPriority = 100;
constexpr std::int64_t MaxRunTimeSeconds = 30LL * 24 * 3600;
constexpr double MaxLatencyTargetMs = 3'600'000;

/** Names are used in URLs and storage keys, so only letters, digits and -._ are allowed. */
void checkName(const char *field, const std::string &name)
{
    constexpr std::string_view AllowedPunctuation = "-._";
    for (const char it : name) {
        const bool isAllowed
            = std::isalnum(static_cast<unsigned char>(it)) || AllowedPunctuation.find(it) != std::string_view::npos;
        if (!isAllowed) {
            throw InvalidArgument(field, std::string(field) + ": only letters, digits, '-', '.' and '_' are allowed");
        }
    }
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string_view jobPhaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Active:
        return "active";
    case JobPhase::Succeeded:
        return "succeeded";
    case JobPhase::Failed:
        return "failed";
    case JobPhase::Cancelled:
        return "cancelled";
    default:
        return "moved";
    }
}

/** Adds up to MaxWorkers workers that run the job's tasks, and the reason why the first pending task is not placed. */
void addPlacementSummary(const JobStatus &job, Json &json)
{
    constexpr std::size_t MaxWorkers = 5;
    std::set<std::string> workers;
    std::string pendingReason;
    for (const TaskStatus &it : job.tasks) {
        if (!it.worker.empty() && workers.size() < MaxWorkers) {
            workers.insert(it.worker);
        }
        if (it.worker.empty() && pendingReason.empty() && it.phase == TaskPhase::Pending) {
            pendingReason = it.reason;
        }
    }
    json["workers"] = workers;
    json["waits_for"] = pendingReason;
}

Json toJson(const EndedAttempt &end)
{
    return {{"attempt", end.attempt.number},
            {"worker", end.worker},
            {"state", attemptStateName(end.state)},
            {"cause", end.cause == EndCause::VmGone ? "vm_gone" : "worker_report"},
            {"error", end.error},
            {"assigned_at_ms", end.assignedAt.count()},
            {"ended_at_ms", end.endedAt.count()}};
}

} // namespace

std::string_view kindName(WorkloadKind kind)
{
    switch (kind) {
    case WorkloadKind::Service:
        return "service";
    case WorkloadKind::Batch:
        return "batch";
    case WorkloadKind::Watch:
        return "watch";
    }
    return "batch";
}

JobSpec parseJobSpec(const Json &json, WorkloadKind kind)
{
    JobSpec spec;
    spec.kind = kind;
    std::int64_t tasks = 1;
    std::int64_t priority = 0;
    std::int64_t runTimeSeconds = 0;
    JsonFields fields(json);
    fields.readRequired("name", spec.name, MaxNameBytes);
    fields.readRequired("tenant", spec.tenant, MaxNameBytes);
    fields.read("class", spec.className, MaxNameBytes);
    fields.read("tasks", tasks, 1, MaxTasks);
    fields.read("cpu_millis", spec.resources.cpuMillis, 0, MaxCpuMillis);
    fields.read("memory_mib", spec.resources.memoryMib, 0, MaxMemoryMib);
    fields.read("accelerators", spec.resources.accelerators, 0, MaxAccelerators);
    fields.read("priority", priority, -MaxPriority, MaxPriority);
    fields.read("urgent", spec.urgent);
    fields.read("gang", spec.gang);
    fields.readRequired("command", spec.command, MaxCommandBytes);
    if (kind == WorkloadKind::Batch) {
        fields.read("run_time_s", runTimeSeconds, 0, MaxRunTimeSeconds);
    } else {
        fields.read("latency_target_ms", spec.latencyTargetMs, 0, MaxLatencyTargetMs);
    }
    fields.throwOnFault();
    checkName("name", spec.name);
    checkName("tenant", spec.tenant);
    checkName("class", spec.className);
    spec.taskCount = static_cast<std::uint32_t>(tasks);
    spec.priority = static_cast<int>(priority);
    spec.runTime = std::chrono::seconds(runTimeSeconds);
    return spec;
}

Json toJson(const JobSpec &spec)
{
    Json json{{"id", spec.id},
              {"kind", kindName(spec.kind)},
              {"name", spec.name},
              {"tenant", spec.tenant},
              {"class", spec.className},
              {"tasks", spec.taskCount},
              {"cpu_millis", spec.resources.cpuMillis},
              {"memory_mib", spec.resources.memoryMib},
              {"accelerators", spec.resources.accelerators},
              {"priority", spec.priority},
              {"urgent", spec.urgent},
              {"gang", spec.gang},
              {"command", spec.command}};
    if (spec.kind == WorkloadKind::Batch) {
        json["run_time_s"] = std::chrono::duration_cast<std::chrono::seconds>(spec.runTime).count();
    } else {
        json["latency_target_ms"] = spec.latencyTargetMs;
    }
    return json;
}

Json toJson(const TaskStatus &task)
{
    return {{"task", toString(task.task)},
            {"attempt", task.attempt},
            {"phase", phaseName(task.phase)},
            {"worker", task.worker},
            {"progress", task.progress},
            {"failures", task.failures},
            {"reason", task.reason},
            {"last_end", task.lastEnd ? toJson(*task.lastEnd) : Json()}};
}

Json toJson(const JobStatus &job, bool includesTasks)
{
    Json json{{"spec", toJson(job.spec)},
              {"phase", jobPhaseName(job.phase)},
              {"reason", job.reason},
              {"submitted_at_ms", job.submittedAt.count()},
              {"ended_at_ms", job.endedAt.count()}};
    Json counts = Json::object();
    for (const TaskStatus &it : job.tasks) {
        const std::string phase(phaseName(it.phase));
        counts[phase] = counts.value(phase, 0) + 1;
    }
    json["task_phases"] = counts;
    if (!includesTasks) {
        addPlacementSummary(job, json);
        return json;
    }
    json["tasks"] = Json::array();
    for (const TaskStatus &it : job.tasks) {
        json["tasks"].push_back(toJson(it));
    }
    return json;
}

Json toJson(const WorkerStatus &worker)
{
    return {{"worker", worker.worker},
            {"vm_state", vmStateName(worker.vmState)},
            {"reachable", worker.reachable},
            {"read_back", worker.readBack},
            {"silent_for_s", seconds(worker.unreachableFor)},
            {"attempts", worker.attempts},
            {"reserved", toJson(worker.reserved)},
            {"capacity", toJson(worker.capacity)}};
}

Json toJson(const ShardStatus &shard)
{
    const SchedulerCounters &counters = shard.counters;
    return {{"shard", shard.shard},
            {"epoch", shard.epoch},
            {"operator", shard.operatorName},
            {"platform_away", shard.platformUnavailable},
            {"platform_away_for_s", seconds(shard.platformUnavailableFor)},
            {"active_jobs", shard.activeJobs},
            {"pending_tasks", shard.pendingTasks},
            {"held_tasks", shard.heldTasks},
            {"unwritten_ends", shard.unwrittenEnds},
            {"open_transfers", shard.openTransfers},
            {"workers", shard.workers.size()},
            {"appends", counters.appends},
            {"records", counters.records},
            {"record_bytes", counters.recordBytes},
            {"submitted", counters.submitted},
            {"refused", counters.refused},
            {"assigned", counters.assigned},
            {"ended", counters.ended},
            {"evictions", counters.evictions}};
}

} // namespace QuetzalRock
