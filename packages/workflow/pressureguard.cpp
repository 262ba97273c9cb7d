/** WorkflowScheduler: keeps tasks on spare processors from slowing the serving tasks beside them. */
#include <workflow/scheduler.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

bool isServing(const TaskRef &ref)
{
    return ref.spec().isLasting && ref.spec().latencyTargetMs > 0;
}

double shareOf(const TaskRef &ref, const WorkerState &worker)
{
    return static_cast<double>(ref.spec().need.cpuMillis)
           / static_cast<double>(std::max<std::int64_t>(1, worker.record.capacity.cpuMillis));
}

ClassIndex imageOf(const TaskRef &ref)
{
    return ref.job->occurrences[ref.occurrence].steps[ref.step].image;
}

StepLoad &loadOf(const TaskRef &ref)
{
    return ref.job->occurrences[ref.occurrence].steps[ref.step].load;
}

} // namespace

std::vector<TaskRef> WorkflowScheduler::fillingRuns(const WorkerState &worker) const
{
    std::vector<TaskRef> runs;
    for (const TaskRef &it : worker.runs) {
        if (it.spec().usesSpareCpu && it.task().phase != TaskPhase::Stopping) {
            runs.push_back(it);
        }
    }
    return runs;
}

std::vector<SpareCpuTask> WorkflowScheduler::describeFilling(const WorkerState &worker,
                                                             std::span<const TaskRef> runs) const
{
    std::vector<SpareCpuTask> filling;
    for (const TaskRef &it : runs) {
        filling.push_back({imageOf(it), shareOf(it, worker), it.task().percent});
    }
    return filling;
}

/** How much the effects of all neighbours may add up to while @p serving stays @p margin below its target. */
double WorkflowScheduler::allowedEffect(const TaskRef &serving, double margin) const
{
    const ClassIndex image = imageOf(serving);
    const double load = m_pressure.expectedLoad(image, loadOf(serving), m_now + m_settings.pressure.forecastHorizon);
    return (m_pressure.utilisationForTail(image, serving.spec().latencyTargetMs) - margin) / load - 1;
}

/**
 * For a task on spare processors, its strongest effect on a serving task there; none where it would bring one near its
 * target. For a serving task, by how much the neighbours' effects exceed what it can bear.
 */
std::optional<double> WorkflowScheduler::pushOf(const WorkerState &worker, const TaskRef &ref) const
{
    const bool isFilling = ref.spec().usesSpareCpu;
    if ((isFilling && worker.servingUse == 0) || (!isFilling && !(isServing(ref) && worker.spareUse > 0))) {
        return 0;
    }
    const std::vector<SpareCpuTask> filling = describeFilling(worker, fillingRuns(worker));
    const double margin = m_settings.pressure.placementMargin;
    if (isServing(ref)) { // never refused: its neighbours are throttled
        return std::max(0.0, m_pressure.totalEffect(imageOf(ref), filling) - allowedEffect(ref, margin));
    }
    if (m_now < worker.heldUntil) {
        return std::nullopt;
    }
    double strongest = 0;
    for (const TaskRef &it : worker.runs) {
        if (!isServing(it)) {
            continue;
        }
        const double own = m_pressure.effect(imageOf(it), imageOf(ref)) * shareOf(ref, worker);
        if (m_pressure.totalEffect(imageOf(it), filling) + own > allowedEffect(it, margin)) {
            return std::nullopt;
        }
        strongest = std::max(strongest, own);
    }
    return strongest;
}

/** Takes in the tails of a report, and throttles neighbours, or lifts their throttles, by what the tasks can bear. */
void WorkflowScheduler::notePressure(WorkerIndex index)
{
    WorkerState &worker = *m_workers[index];
    if (worker.servingUse == 0 || m_now < worker.sampledAt + m_settings.pressure.sampleInterval) {
        return;
    }
    worker.sampledAt = m_now;
    Shares shares{};
    for (const TaskRef &it : worker.runs) {
        if (it.spec().usesSpareCpu) { // as used in the half second that the tails are from
            shares[imageOf(it)]
                += static_cast<float>(it.task().gauge) / static_cast<float>(worker.record.capacity.cpuMillis);
        }
    }
    for (const TaskRef &it : worker.runs) {
        TaskState &task = it.task();
        const bool hasStarted = m_now >= task.startedAt + m_settings.pressure.warmUpTime;
        if (isServing(it) && task.phase == TaskPhase::Running && task.gauge > 0 && hasStarted) {
            m_pressure.observe(imageOf(it), task.gauge, shares, m_now, loadOf(it));
            const auto target = static_cast<double>(it.spec().latencyTargetMs);
            const auto tail = static_cast<double>(task.gauge);
            if (tail <= m_settings.pressure.recoveredShare * target) {
                task.overTargetSince = {};
            } else if (tail > target && task.overTargetSince == TimePoint{}) {
                task.overTargetSince = m_now;
            }
        }
    }
    m_pressure.refresh(m_now);
    setThrottles(index);
}

void WorkflowScheduler::setThrottles(WorkerIndex index)
{
    WorkerState &worker = *m_workers[index];
    const std::vector<TaskRef> runs = fillingRuns(worker);
    if (runs.empty()) {
        return;
    }
    const std::vector<SpareCpuTask> filling = describeFilling(worker, runs);
    std::vector<int> percents(runs.size(), 100);
    bool mustLower = false;
    for (const TaskRef &it : worker.runs) {
        if (!isServing(it)) {
            continue;
        }
        planThrottle(m_pressure, imageOf(it), allowedEffect(it, m_settings.pressure.targetMargin), filling, percents);
        const double effects = m_pressure.totalEffect(imageOf(it), filling);
        mustLower = mustLower || effects > allowedEffect(it, m_settings.pressure.throttleMargin);
        const TimePoint overSince = it.task().overTargetSince;
        if (overSince != TimePoint{} && m_now - overSince >= m_settings.pressure.maxTimeOverTarget) {
            worker.heldUntil = m_now + m_settings.pressure.holdTime;
        }
    }
    if (m_now < worker.heldUntil) {
        std::fill(percents.begin(), percents.end(), 0);
        mustLower = true;
    }
    logThrottles(worker, runs, percents, mustLower);
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const TaskState &task = runs[i].task();
        const int wanted = percents[i] - percents[i] % m_settings.pressure.percentStep;
        if (wanted > task.percent || (wanted < task.percent && mustLower)) {
            throttle(runs[i], wanted);
        }
        const bool isStill
            = task.stalledSince != TimePoint{} && m_now - task.stalledSince >= m_settings.pressure.maxStallTime;
        if (isStill && runs[i].spec().isCheckpointed && choose(runs[i], m_now) != NoWorker) {
            runs[i].task().avoidedWorker = index;
            stop(runs[i], "it would slow a serving task beside it");
        }
    }
}

/** One line where a worker's throttles change: the serving task that is nearest to its target, and what it allows. */
void WorkflowScheduler::logThrottles(const WorkerState &worker,
                                     std::span<const TaskRef> runs,
                                     std::span<const int> percents,
                                     bool mustLower)
{
    int lowered = 0;
    int lifted = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const int wanted = percents[i] - percents[i] % m_settings.pressure.percentStep;
        lowered += mustLower && wanted < runs[i].task().percent ? 1 : 0;
        lifted += wanted > runs[i].task().percent ? 1 : 0;
    }
    if (lowered + lifted == 0) {
        return;
    }
    const auto ratioOf = [](const TaskRef &it) {
        return static_cast<double>(it.task().gauge)
               / static_cast<double>(std::max<std::int64_t>(1, it.spec().latencyTargetMs));
    };
    const auto worst
        = std::max_element(worker.runs.begin(), worker.runs.end(), [&](const TaskRef &a, const TaskRef &b) {
              return (isServing(a) ? ratioOf(a) : 0) < (isServing(b) ? ratioOf(b) : 0);
          });
    m_log.write("throttles_set",
                "worker",
                worker.record.id,
                "lowered",
                lowered,
                "lifted",
                lifted,
                "of",
                runs.size(),
                "job",
                worst->job->key(),
                "task",
                worst->index,
                "tail_ms",
                worst->task().gauge,
                "target_ms",
                worst->spec().latencyTargetMs,
                "allowed",
                allowedEffect(*worst, 0));
}

void WorkflowScheduler::throttle(const TaskRef &ref, int percent)
{
    TaskState &task = ref.task();
    if (task.phase != TaskPhase::Running) {
        return;
    }
    ++m_counters.throttles;
    task.percent = static_cast<std::uint8_t>(percent);
    const bool isStill = percent <= m_settings.pressure.stalledPercent;
    task.stalledSince = !isStill ? TimePoint{} : task.stalledSince == TimePoint{} ? m_now : task.stalledSince;
    const RunName run{ref.name(), task.attempt};
    m_port.throttle(target(*m_workers[task.worker]),
                    run,
                    percent,
                    guard([this, ref, key = ref.job->key(), percent, run](const OrderReply &reply) {
                        if (findJob(key) != ref.job || ref.task().attempt != run.attempt
                            || reply.status == OrderStatus::Accepted) {
                            return;
                        }
                        // Not known to be in force: as if it had not been ordered, so that the next report orders it again.
                        ref.task().percent = static_cast<std::uint8_t>(percent == 100 ? 80 : 100);
                    }));
}

} // namespace QuetzalRock::Workflow
