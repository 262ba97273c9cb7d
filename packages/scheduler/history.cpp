#include <scheduler/shardstate.h>

#include <nlohmann/json.hpp>

namespace QuetzalRock {

namespace {

using Json = nlohmann::ordered_json;

std::string_view phaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Active:
        return "active";
    case JobPhase::Cancelled:
        return "cancelled";
    case JobPhase::Succeeded:
        return "succeeded";
    case JobPhase::Failed:
        return "failed";
    case JobPhase::Transferred:
        return "transferred";
    }
    return "unknown";
}

std::string_view stateName(AttemptState state)
{
    switch (state) {
    case AttemptState::Unknown:
        return "unknown";
    case AttemptState::Running:
        return "running";
    case AttemptState::Throttled:
        return "throttled";
    case AttemptState::Finished:
        return "finished";
    case AttemptState::Failed:
        return "failed";
    case AttemptState::Stopped:
        return "stopped";
    case AttemptState::Barred:
        return "barred";
    }
    return "unknown";
}

Json describeJob(const JobSpec &spec, JobPhase phase, const std::string &reason, WallTime submittedAt)
{
    Json line;
    line["type"] = "job";
    line["job"] = spec.id;
    line["tenant"] = spec.tenant;
    line["name"] = spec.name;
    line["class"] = spec.className;
    line["tasks"] = spec.taskCount;
    line["phase"] = phaseName(phase);
    line["reason"] = reason;
    line["submitted_ms"] = submittedAt.count();
    return line;
}

void appendLine(std::string &text, const Json &line)
{
    text += line.dump(-1, ' ', false, Json::error_handler_t::replace);
    text += '\n';
}

void appendEndedAttempt(std::string &text, const EndedAttempt &it)
{
    Json line;
    line["type"] = "attempt";
    line["attempt"] = toString(it.attempt);
    line["worker"] = it.worker;
    line["state"] = stateName(it.state);
    line["cause"] = it.cause == EndCause::VmGone ? "vm_gone" : "worker_report";
    line["progress"] = it.progress;
    line["error"] = it.error;
    line["assigned_ms"] = it.assignedAt.count();
    line["ended_ms"] = it.endedAt.count();
    appendLine(text, line);
}

void appendActiveAttempts(std::string &text, const JobState &job)
{
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        const TaskState &task = job.tasks[i];
        if (!task.active) {
            continue;
        }
        Json line;
        line["type"] = "attempt";
        line["attempt"] = toString(AttemptId{{job.spec.id, i}, task.lastAttempt});
        line["worker"] = task.worker;
        line["state"] = task.stopping ? "stopping" : "assigned";
        line["assigned_ms"] = task.assignedAt.count();
        appendLine(text, line);
    }
}

} // namespace

std::string exportHistory(const ShardState &state)
{
    std::string text;
    for (const EndedJob &it : state.endedJobs) {
        Json line = describeJob(it.spec, it.phase, it.reason, it.submittedAt);
        line["ended_ms"] = it.endedAt.count();
        appendLine(text, line);
    }
    for (const EndedAttempt &it : state.endedAttempts) {
        appendEndedAttempt(text, it);
    }
    for (const auto &[id, job] : state.jobs) {
        appendLine(text, describeJob(job.spec, job.phase, job.reason, job.submittedAt));
        appendActiveAttempts(text, job);
    }
    return text;
}

} // namespace QuetzalRock
