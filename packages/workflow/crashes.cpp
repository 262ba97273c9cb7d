/** WorkflowScheduler: crashes of workers. */
#include <workflow/scheduler.h>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::size_t MaxLoggedRuns = 6;

} // namespace

/** Reports that @p worker has restarted without draining, and which of its @p lost runs had just been started. */
void WorkflowScheduler::reportCrash(const WorkerState &worker, std::span<const TaskRef> lost)
{
    std::string starting;
    std::size_t n = 0;
    for (const TaskRef &it : lost) {
        if (!it.task().hasStartedUp && n++ < MaxLoggedRuns) {
            const TaskName name = it.name();
            starting += (starting.empty() ? "" : ",") + name.job + "." + std::to_string(name.occurrence) + "."
                        + std::to_string(name.step) + "." + std::to_string(name.index) + "/"
                        + std::to_string(it.task().attempt);
        }
    }
    ++m_counters.workerCrashes;
    m_counters.workerCrashesAtStart += n > 0 ? 1 : 0;
    m_log.write("worker_crashed",
                "worker",
                worker.record.id,
                "address",
                worker.record.address,
                "runs",
                lost.size(),
                "starting",
                n,
                "first",
                starting);
}

} // namespace QuetzalRock::Workflow
