/** WorkflowScheduler: throttles or moves best-effort tasks that slow down serving tasks on the same worker. */
#include <workflow/scheduler.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace QuetzalRock::Workflow {

namespace {

constexpr int ToleranceResolution = 5; ///< percent; smaller changes do not cause a write

bool isServing(const TaskRef &ref)
{
    return ref.spec().isLongRunning && ref.spec().latencyTargetMs > 0;
}

double cpuShareOf(const TaskRef &ref, const WorkerState &worker)
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

std::vector<TaskRef> WorkflowScheduler::bestEffortRuns(const WorkerState &worker) const
{
    std::vector<TaskRef> runs;
    for (const TaskRef &it : worker.runs) {
        if (it.spec().usesSpareCpu && it.task().phase != TaskPhase::Stopping) {
            runs.push_back(it);
        }
    }
    return runs;
}

std::vector<BestEffortTask> WorkflowScheduler::describeBestEffortRuns(const WorkerState &worker,
                                                                      std::span<const TaskRef> runs) const
{
    std::vector<BestEffortTask> bestEffort;
    for (const TaskRef &it : runs) {
        bestEffort.push_back({imageOf(it), cpuShareOf(it, worker), it.task().percent});
    }
    return bestEffort;
}

/** What best-effort tasks have to know of @p worker now: computed for the first of many candidates. */
const WorkerOutlook &WorkflowScheduler::outlookOf(WorkerState &worker) const
{
    WorkerOutlook &outlook = worker.outlook;
    if (outlook.at == m_now) {
        return outlook;
    }
    outlook.at = m_now;
    outlook.serving.clear();
    outlook.otherLongRunningMillis = 0;
    const std::vector<BestEffortTask> bestEffort = describeBestEffortRuns(worker, bestEffortRuns(worker));
    std::vector<const StepState *> steps; // of outlook.serving
    for (const TaskRef &it : worker.runs) {
        if (!it.spec().isLongRunning) {
            continue;
        }
        if (!isServing(it)) {
            outlook.otherLongRunningMillis += it.spec().need.cpuMillis;
            continue;
        }
        const StepState *step = &it.job->occurrences[it.occurrence].steps[it.step];
        auto known = std::find(steps.begin(), steps.end(), step);
        if (known == steps.end()) {
            addToOutlook(outlook, it, bestEffort);
            known = steps.insert(steps.end(), step);
        }
        ServingGroup &group = outlook.serving[static_cast<std::size_t>(known - steps.begin())];
        group.cpuMillis += it.spec().need.cpuMillis;
        group.isOverTarget = group.isOverTarget || it.task().gauge > it.spec().latencyTargetMs;
    }
    return outlook;
}

/** Adds the group of the serving task @p ref. */
void WorkflowScheduler::addToOutlook(WorkerOutlook &outlook,
                                     const TaskRef &ref,
                                     std::span<const BestEffortTask> bestEffort) const
{
    const PressureSettings &settings = m_settings.pressure;
    const StepLoad &load = loadOf(ref);
    ServingGroup &group = outlook.serving.emplace_back();
    group.image = imageOf(ref);
    group.utilisationLimit = m_pressure.utilisationForTail(group.image, ref.spec().latencyTargetMs);
    group.effects = m_pressure.totalEffect(group.image, bestEffort);
    group.hasForecast = settings.usesPeriodicForecast && load.periodic().isKnown(m_now);
    group.load
        = m_pressure.outlook(group.image, load, m_now, settings.maxPlacementLookahead, settings.usesPeriodicForecast);
}

/** By how much a task interferes with others of @p worker, see Candidate::interference; none: it must not run there. */
std::optional<double> WorkflowScheduler::interferenceOf(WorkerState &worker, const TaskRef &ref) const
{
    if (ref.spec().usesSpareCpu) {
        return worker.longRunningCpuMillis == 0 ? 0 : bestEffortInterference(worker, ref);
    }
    if (!isServing(ref) || worker.bestEffortCpuMillis == 0) {
        return 0;
    }
    // A serving task is never rejected: its neighbours are throttled instead.
    const PressureSettings &settings = m_settings.pressure;
    const std::vector<BestEffortTask> bestEffort = describeBestEffortRuns(worker, bestEffortRuns(worker));
    WorkerOutlook alone;
    addToOutlook(alone, ref, bestEffort);
    const ServingGroup &group = alone.serving.front();
    return std::max(0.0, group.effects - group.allowedEffects(settings.placementMargin, settings.throttleLookahead));
}

/**
 * The strongest effect of a best-effort task on a serving task; none if one is over its target, or would come too close to
 * it.
 */
std::optional<double> WorkflowScheduler::bestEffortInterference(WorkerState &worker, const TaskRef &ref) const
{
    if (m_now < worker.bestEffortPausedUntil) {
        return std::nullopt;
    }
    const Duration span = std::chrono::milliseconds(ref.spec().estimateMs);
    double strongest = 0;
    for (const ServingGroup &it : outlookOf(worker).serving) {
        const double ownEffect = m_pressure.effect(it.image, imageOf(ref)) * cpuShareOf(ref, worker);
        if (it.isOverTarget || it.effects + ownEffect > it.allowedEffects(m_settings.pressure.placementMargin, span)) {
            return std::nullopt;
        }
        strongest = std::max(strongest, ownEffect);
    }
    return strongest;
}

/** CPU in millis that the worker's long-running tasks are expected to use on average during @p span from now. */
double WorkflowScheduler::expectedUseMillis(WorkerState &worker, Duration span) const
{
    const WorkerOutlook &outlook = outlookOf(worker);
    const double assumed = m_settings.placement.longRunningUtilisation;
    double use = assumed * static_cast<double>(outlook.otherLongRunningMillis);
    for (const ServingGroup &it : outlook.serving) {
        use += (it.hasForecast ? it.load.meanWithin(span) : assumed) * static_cast<double>(it.cpuMillis);
    }
    return use;
}

std::map<std::string, int> WorkflowScheduler::bestEffortTolerance() const
{
    const std::vector<ClassIndex> images = m_pressure.knownNeighbours();
    std::vector<double> tolerated(images.size()); // CPU millis
    double capacity = 0;
    for (const auto &worker : m_workers) {
        if (!worker->isRegistered || worker->record.condition != WorkerCondition::Ready) {
            continue;
        }
        std::set<ClassIndex> services;
        for (const TaskRef &it : worker->runs) {
            if (isServing(it)) {
                services.insert(imageOf(it));
            }
        }
        const auto millis = static_cast<double>(worker->record.capacity.cpuMillis);
        capacity += millis;
        for (std::size_t i = 0; i < images.size(); ++i) {
            double strongest = 0;
            for (const ClassIndex service : services) {
                strongest = std::max(strongest, m_pressure.effect(service, images[i]));
            }
            tolerated[i] += millis / (1 + strongest);
        }
    }
    std::map<std::string, int> tolerance;
    for (std::size_t i = 0; i < images.size() && capacity > 0; ++i) {
        const auto steps = std::lround(tolerated[i] / capacity * 100 / ToleranceResolution);
        tolerance[m_pressure.imageOf(images[i])] = static_cast<int>(steps) * ToleranceResolution;
    }
    return tolerance;
}

/** Feeds the tail latencies of a report to the pressure model, then adjusts the throttles of best-effort tasks. */
void WorkflowScheduler::observePressure(WorkerIndex index)
{
    WorkerState &worker = *m_workers[index];
    if (worker.longRunningCpuMillis == 0) {
        endThrottles(worker);
        return;
    }
    if (m_now < worker.sampledAt + m_settings.pressure.sampleInterval) {
        for (const TaskRef &it : worker.runs) {
            orderPendingThrottle(it);
        }
        return;
    }
    worker.sampledAt = m_now;
    Shares shares{};
    for (const TaskRef &it : worker.runs) {
        if (it.spec().usesSpareCpu) { // CPU use over the half second that the tail latencies cover
            shares.add(imageOf(it),
                       static_cast<float>(it.task().gauge) / static_cast<float>(worker.record.capacity.cpuMillis));
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
    worker.outlook.at = {};
    updateThrottles(index);
}

void WorkflowScheduler::updateThrottles(WorkerIndex index)
{
    WorkerState &worker = *m_workers[index];
    const std::vector<TaskRef> runs = bestEffortRuns(worker);
    if (runs.empty()) {
        return;
    }
    const std::vector<BestEffortTask> bestEffort = describeBestEffortRuns(worker, runs);
    const PressureSettings &settings = m_settings.pressure;
    std::vector<int> percents(runs.size(), 100);
    bool mustLower = false;
    bool canLift = true; // the model is wrong about a serving task that is over its target
    for (const ServingGroup &it : outlookOf(worker).serving) {
        canLift = canLift && !it.isOverTarget;
        const double allowed = it.allowedEffects(settings.targetMargin, settings.throttleLookahead);
        planThrottle(m_pressure, it.image, allowed, bestEffort, percents);
        mustLower = mustLower || it.effects > it.allowedEffects(settings.throttleMargin, settings.throttleLookahead);
    }
    for (const TaskRef &it : worker.runs) {
        const TimePoint overSince = it.task().overTargetSince;
        if (isServing(it) && overSince != TimePoint{} && m_now - overSince >= settings.maxTimeOverTarget) {
            worker.bestEffortPausedUntil = m_now + settings.holdTime;
        }
    }
    if (m_now < worker.bestEffortPausedUntil) {
        std::fill(percents.begin(), percents.end(), 0);
        mustLower = true;
    }
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const int current = runs[i].task().percent;
        const int wanted = percents[i] - percents[i] % settings.percentStep;
        const bool isDue = wanted > current ? canLift : mustLower;
        percents[i] = std::min<int>(isDue ? wanted : current, runs[i].task().pendingPercent.value_or(100));
    }
    logThrottleChanges(worker, runs, percents);
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const TaskState &task = runs[i].task();
        if (percents[i] != task.percent) {
            throttleTask(runs[i], percents[i]);
        }
        const bool isStalled
            = task.stalledSince != TimePoint{} && m_now - task.stalledSince >= m_settings.pressure.maxStallTime;
        const bool canMove = runs[i].spec().isCheckpointed && !mayBeRunningElsewhere(runs[i]);
        if (isStalled && canMove && hasWorkerFor(runs[i])) {
            runs[i].task().avoidedWorker = index;
            stopTask(runs[i], "would slow down a serving task on the same worker");
        }
    }
}

/** Lets best-effort tasks run at full rate on a worker that no serving task needs any more. */
void WorkflowScheduler::endThrottles(const WorkerState &worker)
{
    for (const TaskRef &it : bestEffortRuns(worker)) {
        const TaskState &task = it.task();
        if (task.percent < 100 || task.pendingPercent) {
            throttleTask(it, 100);
        }
    }
}

/**
 * A worker applies a throttle only to a run that it has, and orders may overtake each other: it follows the answer to the start,
 * or the first report of the run. One that failed is repeated.
 */
void WorkflowScheduler::orderPendingThrottle(const TaskRef &ref)
{
    if (const std::optional<std::uint8_t> percent = ref.task().pendingPercent) {
        throttleTask(ref, *percent);
    }
}

/**
 * The share of its CPU at which the serving tasks of @p worker tolerate one more best-effort task until the throttles of the
 * next report apply; none: while one is over its target, or the last paced start there is not covered by a report yet.
 */
std::optional<int> WorkflowScheduler::toleratedPercent(WorkerState &worker, const TaskRef &ref, TimePoint now) const
{
    const PressureSettings &settings = m_settings.pressure;
    const bool isSettling
        = worker.pacedStartAt != TimePoint{} && now < worker.pacedStartAt + settings.throttleLookahead;
    if (now < worker.bestEffortPausedUntil || isSettling || outlookOf(worker).serving.empty()) {
        return std::nullopt; // without serving tasks only the idle CPU binds
    }
    double tolerated = 1;
    for (const ServingGroup &it : outlookOf(worker).serving) {
        if (it.isOverTarget) {
            return std::nullopt;
        }
        const double ownEffect = m_pressure.effect(it.image, imageOf(ref)) * cpuShareOf(ref, worker);
        const double allowed = it.allowedEffects(settings.targetMargin, settings.throttleLookahead) - it.effects;
        tolerated = ownEffect > 0 ? std::min(tolerated, allowed / ownEffect) : tolerated;
    }
    const int percent = static_cast<int>(std::max(0.0, tolerated) * 100);
    return percent - percent % settings.percentStep;
}

/**
 * Bounds the wait of an overdue job of which nothing runs, and whose task every worker turns away: it starts with the throttle
 * that serving tasks tolerate now, and is lifted as they allow. If they tolerate none for another latency objective, it starts
 * with a throttle of 0; it may exceed the idle CPU from then on.
 */
WorkflowScheduler::PacedStart WorkflowScheduler::choosePacedStart(const TaskRef &ref, TimePoint now)
{
    const JobState &job = *ref.job;
    if (!m_isPlacingOverdueJobs || job.heldTasks > 0 || !ref.spec().usesSpareCpu) {
        return {};
    }
    const bool isLong = isLongOverdue(job, m_clock.wallNow().count());
    if (m_unpaced.covers(ref.spec(), job.accepted.pool, isLong)) {
        return {};
    }
    const bool canShare = isLong || canShareSpareCpu(job);
    const int least = isLong ? 0 : m_settings.pressure.percentStep;
    PacedStart best;
    double bestScore = 0;
    for (const WorkerIndex i : m_usableWorkers) {
        WorkerState &worker = *m_workers[i];
        const auto percent = isSuitable(worker, ref, now) ? toleratedPercent(worker, ref, now) : std::nullopt;
        if (!percent || *percent < least || (best.worker != NoWorker && *percent < best.percent)) {
            continue;
        }
        const auto score = scoreWorker(m_settings.placement, ref.spec(), describeCandidate(i, ref, canShare, 0));
        if (score && (best.worker == NoWorker || std::pair(*percent, *score) > std::pair(best.percent, bestScore))) {
            best = {i, *percent};
            bestScore = *score;
        }
    }
    if (best.worker == NoWorker) {
        m_unpaced.add(ref.spec(), job.accepted.pool, isLong);
        return {};
    }
    ++m_counters.pacedStarts;
    m_workers[best.worker]->pacedStartAt = now;
    logTaskEvent("paced_start",
                 ref,
                 "worker",
                 m_workers[best.worker]->record.id,
                 "percent",
                 best.percent,
                 "age_ms",
                 std::chrono::duration_cast<std::chrono::milliseconds>(jobAge(job)).count(),
                 "queue",
                 job.accepted.queue,
                 "epoch",
                 m_term.epoch);
    return best;
}

bool WorkflowScheduler::hasWorkerFor(const TaskRef &ref)
{
    listUsableWorkers(m_now);
    return chooseWorker(ref, canShareSpareCpu(*ref.job), m_now) != NoWorker;
}

/** Logs changes of a worker's throttles to @p percents, with the serving task closest to its target. */
void WorkflowScheduler::logThrottleChanges(const WorkerState &worker,
                                           std::span<const TaskRef> runs,
                                           std::span<const int> percents)
{
    int lowered = 0;
    int lifted = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        lowered += percents[i] < runs[i].task().percent ? 1 : 0;
        lifted += percents[i] > runs[i].task().percent ? 1 : 0;
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
                worst->spec().latencyTargetMs);
}

void WorkflowScheduler::throttleTask(const TaskRef &ref, int percent)
{
    TaskState &task = ref.task();
    const bool isThere = task.phase == TaskPhase::Running || (task.phase == TaskPhase::Starting && task.isAcknowledged);
    if (!isThere) { // the worker would reject the order
        task.pendingPercent = task.pendingPercent ? std::optional(static_cast<std::uint8_t>(percent)) : std::nullopt;
        return;
    }
    ++m_counters.throttles;
    task.percent = static_cast<std::uint8_t>(percent);
    task.pendingPercent.reset();
    m_workers[task.worker]->outlook.at = {};
    const bool isNearlyStopped = percent <= m_settings.pressure.stalledPercent;
    task.stalledSince = !isNearlyStopped ? TimePoint{} : task.stalledSince == TimePoint{} ? m_now : task.stalledSince;
    const RunName run{ref.name(), task.attempt};
    m_port.throttle(target(*m_workers[task.worker]),
                    run,
                    percent,
                    ifAlive([this, ref, key = ref.job->key(), percent, run](const OrderReply &reply) {
                        if (findJob(key) != ref.job || ref.task().attempt != run.attempt
                            || reply.status == OrderStatus::Accepted) {
                            return;
                        }
                        // May not be in force: record a different percentage, so that the next report orders it again.
                        if (percent < 100 && ref.task().percent == percent) {
                            ref.task().pendingPercent = static_cast<std::uint8_t>(percent);
                        }
                        if (ref.task().worker != NoWorker) {
                            m_workers[ref.task().worker]->outlook.at = {};
                        }
                        ref.task().percent = static_cast<std::uint8_t>(percent == 100 ? 80 : 100);
                    }));
}

} // namespace QuetzalRock::Workflow
