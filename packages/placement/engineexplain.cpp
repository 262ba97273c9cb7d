/** Words for people, and counters for metrics. */
#include <placement/placementengine.h>

#include <sstream>

namespace QuetzalRock {

std::string PlacementEngine::explain(const TaskId &id) const
{
    TaskRef ref;
    if (!m_jobs.find(id, ref)) {
        return "task " + toString(id) + " is not known here: it has finished, was cancelled, or is another shard's";
    }
    const Job &job = m_jobs[ref.job];
    const Task &task = job.tasks[ref.index];
    std::ostringstream out;
    out << "task " << toString(id) << " ";
    switch (task.phase) {
    case PlacementStage::Active:
        out << "holds room on " << m_ledger.worker(task.worker).id;
        out << (task.stopping ? "; a stop is under way" : "");
        out << (task.wanted ? "" : "; no longer wanted");
        if (task.permille < 1000) {
            out << "; throttled to " << task.permille << " permille";
        }
        if (job.spec.kind == WorkloadKind::Service && job.spec.latencyTargetMs > 0) {
            out << "; predicted latency " << std::exp(task.logRatio) << " of its target";
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
        out << "waits: " << describeWait(job, task);
        break;
    }
    return out.str();
}

std::string PlacementEngine::describeWait(const Job &job, const Task &task) const
{
    if (job.parked) {
        return job.parkedReason.empty() ? "not yet checked against the workers known" : job.parkedReason;
    }
    if (task.phase == PlacementStage::Delayed) {
        return "failed " + std::to_string(task.failures) + " times and is tried again later";
    }
    switch (job.waits) {
    case WaitReason::None:
        return "its turn has not come";
    case WaitReason::Room:
        return "no open worker has room; " + std::to_string(job.holds.size()) + " held for it until work there ends";
    case WaitReason::Interference:
        return "wherever it fits it would slow services by more than it is worth now; its worth grows as it waits";
    case WaitReason::Quota:
        return "tenant " + job.spec.tenant + " has used its allotment; it starts when other work of the tenant ends";
    case WaitReason::Headroom:
        return "the rest of the shard's room is kept for urgent work";
    case WaitReason::Pacing:
        return "starts are paced; it is next within seconds";
    case WaitReason::Gang:
        return "its tasks start together and there is not room for all; " + std::to_string(job.holds.size())
               + " workers held for it";
    case WaitReason::Backoff:
        return "its tasks start together and some of them wait to be tried again";
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
