/** Explanations for operators, and read-only access to the engine's state. */
#include <placement/placementengine.h>

#include <sstream>

namespace QuetzalRock {

std::string PlacementEngine::explain(const TaskId &id) const
{
    TaskRef ref;
    if (!m_jobs.find(id, ref)) {
        return "task " + toString(id)
               + " is not known in this shard: it has finished, was cancelled, or belongs to another shard";
    }
    const Job &job = m_jobs[ref.job];
    const Task &task = job.tasks[ref.index];
    std::ostringstream out;
    out << "task " << toString(id) << " ";
    switch (task.stage) {
    case PlacementStage::Active:
        out << "holds capacity on " << m_ledger.worker(task.worker).id;
        out << (task.isStopping ? "; it is being stopped" : "");
        out << (task.isWanted ? "" : "; it was cancelled");
        if (task.permille < 1000) {
            out << "; throttled to " << task.permille << " permille";
        }
        if (job.spec.kind == WorkloadKind::Service && job.spec.latencyTargetMs > 0) {
            out << "; predicted latency is " << std::exp(task.logRatio) << " times its target";
        }
        break;
    case PlacementStage::Finished:
        out << "has finished";
        break;
    case PlacementStage::Removed:
        out << "was cancelled";
        break;
    case PlacementStage::Pending:
    case PlacementStage::Delayed:
        out << "is waiting: " << describeWait(job, task);
        break;
    }
    return out.str();
}

std::string PlacementEngine::describeWait(const Job &job, const Task &task) const
{
    if (job.isExcluded) {
        return job.exclusionReason.empty() ? "not yet checked against the known workers" : job.exclusionReason;
    }
    if (task.stage == PlacementStage::Delayed) {
        return "failed " + std::to_string(task.failures) + " times and will be retried after a delay";
    }
    switch (job.waitReason) {
    case WaitReason::None:
        return "not reached yet in queue order";
    case WaitReason::Capacity:
        return "no open worker has enough free capacity; workers held for it: " + std::to_string(job.heldWorkers.size())
               + " (they accept no other job)";
    case WaitReason::Interference:
        return "on every worker where it fits it would slow services by more than it is worth now; its worth grows as "
               "it waits";
    case WaitReason::Quota:
        return "tenant " + job.spec.tenant + " has used its quota; it starts when other tasks of the tenant end";
    case WaitReason::Headroom:
        return "the shard's remaining capacity is reserved for urgent work";
    case WaitReason::RateLimit:
        return "start rate limit reached; it is retried within seconds";
    case WaitReason::Gang:
        return "its tasks start together and there is not enough free capacity for all; workers held for it: "
               + std::to_string(job.heldWorkers.size()) + " (they accept no other job)";
    case WaitReason::Backoff:
        return "its tasks start together and some of them are waiting for a retry delay";
    }
    return {};
}

PlacementCounters PlacementEngine::counters() const
{
    PlacementCounters counters = m_counters;
    counters.quarantined = m_health.quarantined();
    counters.heldWorkers = m_heldWorkers;
    return counters;
}

const Ledger &PlacementEngine::ledger() const
{
    return m_ledger;
}

const InterferenceModel &PlacementEngine::model() const
{
    return m_model;
}

WorkerHealth PlacementEngine::workerHealth(std::string_view worker) const
{
    const WorkerIndex index = m_ledger.find(worker);
    return index == NoWorker ? WorkerHealth::Healthy : m_health.health(index);
}

} // namespace QuetzalRock
