/** WorkflowScheduler: what starts where, what is stopped, and what becomes of a task. */
#include <workflow/scheduler.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t AttemptsPerEpoch = 1000; ///< attempt numbers of one task in one epoch
constexpr Duration PlaceAgain = 100ms;    ///< where tasks wait for room, for a time, or for a worker to be trusted
constexpr Duration SortEvery = 100ms;     ///< turns of jobs change with time; a new job is sorted in at once
constexpr Duration RejectedPause = 300ms; ///< a worker that rejected a start gets none for so long
constexpr Duration RetryDelay = 20ms;     ///< of a task whose start was rejected

bool hasLabel(const WorkerState &worker, const std::string &label)
{
    const auto &labels = worker.record.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::uint32_t runsOfStep(const WorkerState &worker, const TaskRef &ref)
{
    std::uint32_t n = 0;
    for (const TaskRef &it : worker.runs) {
        n += it.job == ref.job && it.occurrence == ref.occurrence && it.step == ref.step ? 1 : 0;
    }
    return n;
}

/** A serving task of the same image is there: what disturbs one disturbs the other, and nothing else does. */
bool servesImage(const WorkerState &worker, const TaskRef &ref)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&ref](const TaskRef &it) {
        return it.spec().isLasting && it.spec().image == ref.spec().image;
    });
}

/** A task of the same job is there: their loads go up and down together. */
bool servesJob(const WorkerState &worker, const TaskRef &ref)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&ref](const TaskRef &it) { return it.job == ref.job; });
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Order
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::place(TimePoint now)
{
    m_placeAt = now + (m_mustPlace ? m_settings.placeEvery : PlaceAgain);
    m_mustPlace = false;
    sortJobs(now);
    for (JobState *job : m_order) {
        const bool isTooNew = m_authority != Authority::Full && job->learnedAt > m_firmAt;
        if (!job->isCancelled && !isTooNew && !mayBeRunningElsewhere(*job)) {
            placeJob(*job, now);
        }
    }
}

void WorkflowScheduler::sortJobs(TimePoint now)
{
    if (now < m_orderAt && m_order.size() == m_active.size()) {
        return;
    }
    m_orderAt = now + SortEvery;
    const std::int64_t wallMs = m_clock.wallNow().count();
    std::vector<std::pair<JobTurn, JobState *>> turns;
    turns.reserve(m_active.size());
    for (const auto &[key, job] : m_active) {
        turns.emplace_back(turnOf(*job, wallMs, now), job);
    }
    std::sort(turns.begin(), turns.end());
    m_order.clear();
    for (const auto &[turn, job] : turns) {
        m_order.push_back(job);
    }
}

void WorkflowScheduler::placeJob(JobState &job, TimePoint now)
{
    const WorkflowSpec &spec = job.accepted.spec;
    const std::int64_t wallMs = m_clock.wallNow().count();
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        if (spec.repeatCount > 0 && wallMs < spec.firstStartMs + static_cast<std::int64_t>(k) * spec.intervalMs) {
            return; // later occurrences are due later still
        }
        OccurrenceState &occurrence = job.occurrences[k];
        for (std::uint32_t s = 0; s < occurrence.steps.size() && occurrence.doneSteps < occurrence.steps.size(); ++s) {
            const bool isFinished = occurrence.steps[s].doneCount == occurrence.steps[s].tasks.size();
            if (isFinished || !isOpen(job, k, s)) {
                continue;
            }
            spec.steps[s].isGang ? placeGang(job, k, s, now) : placeStep(job, k, s, now);
        }
    }
}

bool WorkflowScheduler::isOpen(const JobState &job, std::uint32_t occurrence, std::uint32_t step) const
{
    const auto &steps = job.occurrences[occurrence].steps;
    for (const std::uint32_t it : job.accepted.spec.steps[step].after) {
        if (steps[it].doneCount < steps[it].tasks.size()) {
            return false;
        }
    }
    return true;
}

void WorkflowScheduler::placeStep(JobState &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now)
{
    const auto n = static_cast<std::uint32_t>(job.occurrences[occurrence].steps[step].tasks.size());
    std::uint32_t placed = 0;
    for (std::uint32_t i = 0; i < n; ++i) {
        const TaskRef ref{&job, occurrence, step, i};
        TaskState &task = ref.task();
        if (task.phase != TaskPhase::Waiting || now < task.retryAt) {
            continue;
        }
        const WorkerIndex worker = choose(ref, now);
        if (worker == NoWorker) {
            if (isStarving(job, ref.spec(), task, now)) {
                keepRoom(ref, now);
            }
            break; // the other tasks of the step need as much
        }
        start(ref, worker, nextAttempt(task), now);
        ++placed;
    }
    if (placed > 0) {
        m_log.write("tasks_started",
                    "job",
                    job.key(),
                    "step",
                    step,
                    "tasks",
                    placed,
                    "of",
                    n,
                    "queue",
                    job.accepted.queue,
                    "age_ms",
                    m_clock.wallNow().count() - job.accepted.acceptedMs);
    }
}

/** All members at once, or none: reserves as it goes, and takes it back where the last does not fit. */
void WorkflowScheduler::placeGang(JobState &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now)
{
    auto &tasks = job.occurrences[occurrence].steps[step].tasks;
    std::uint64_t attempt = 0;
    std::string checkpoint;
    for (TaskState &it : tasks) {
        if (it.phase != TaskPhase::Waiting || now < it.retryAt) {
            return;
        }
        attempt = std::max(attempt, nextAttempt(it));
        checkpoint = it.checkpoint.empty() ? checkpoint : it.checkpoint;
    }
    std::vector<WorkerIndex> chosen;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const TaskRef ref{&job, occurrence, step, i};
        const WorkerIndex worker = choose(ref, now);
        if (worker == NoWorker) {
            break;
        }
        reserve(ref, worker);
        chosen.push_back(worker);
    }
    for (std::uint32_t i = 0; i < chosen.size(); ++i) {
        release({&job, occurrence, step, i});
        tasks[i].phase = TaskPhase::Waiting;
    }
    if (chosen.size() < tasks.size()) {
        return;
    }
    for (std::uint32_t i = 0; i < chosen.size(); ++i) {
        tasks[i].checkpoint = checkpoint; // any member's is valid for the gang, and all must carry the same
        start({&job, occurrence, step, i}, chosen[i], attempt, now);
    }
    m_log.write("gang_started", "job", job.key(), "step", step, "tasks", tasks.size(), "attempt", attempt);
}

/** All that speaks for or against a worker but room and neighbours. */
bool WorkflowScheduler::mayTake(const WorkerState &worker, const TaskRef &ref, TimePoint now) const
{
    const StepSpec &step = ref.spec();
    const bool isUsable = worker.isListed && worker.isReadFirmly && worker.record.condition == WorkerCondition::Ready
                          && worker.record.pool == ref.job->accepted.pool && worker.strays.empty()
                          && worker.lostCalls == 0 && now >= worker.noStartsUntil
                          && now < worker.answeredAt + m_settings.contactLost
                          && m_durableWorkers.contains(worker.record.id);
    if (!isUsable || (worker.isSuspect(now) && !worker.runs.empty()) || worker.isKeptFromOthers(*ref.job, now)) {
        return false;
    }
    if (!step.requiredLabel.empty() && !hasLabel(worker, step.requiredLabel)) {
        return false;
    }
    return step.maxPerWorker == 0 || runsOfStep(worker, ref) < step.maxPerWorker;
}

WorkerIndex WorkflowScheduler::choose(const TaskRef &ref, TimePoint now)
{
    const StepSpec &step = ref.spec();
    const TaskState &task = ref.task();
    const std::int64_t waitedMs = m_clock.wallNow().count() - ref.job->accepted.acceptedMs;
    WorkerIndex best = NoWorker;
    double bestScore = 0;
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState &worker = *m_workers[i];
        if (!mayTake(worker, ref, now)) {
            continue;
        }
        const std::optional<double> push = pushOf(worker, ref);
        if (!push) {
            continue;
        }
        Candidate candidate;
        candidate.free = worker.freeRoom();
        candidate.capacityMillis = worker.record.capacity.cpuMillis;
        candidate.reservedMillis = worker.reserved.cpuMillis;
        candidate.servingMillis = worker.servingUse;
        candidate.spareMillis = worker.spareUse;
        candidate.hasSameImage = step.isLasting && servesImage(worker, ref);
        candidate.hasSameJob = step.isLasting && servesJob(worker, ref);
        candidate.push = *push;
        candidate.isOnPreferredRack = step.preferredRack.empty() || hasLabel(worker, step.preferredRack);
        candidate.isDoubtful = task.avoidedWorker == i || worker.failuresInRow > 0;
        candidate.mayShareSpare
            = waitedMs > std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.patience).count();
        const auto score = scoreOf(m_settings.placement, step, candidate);
        if (score && (best == NoWorker || *score > bestScore)) {
            best = i;
            bestScore = *score;
        }
    }
    return best;
}

// ---------------------------------------------------------------------------------------------------------------------
// Starts
// ---------------------------------------------------------------------------------------------------------------------

std::uint64_t WorkflowScheduler::nextAttempt(const TaskState &task) const
{
    return std::max(task.attempt, (m_term.epoch - 1) * AttemptsPerEpoch) + 1;
}

void WorkflowScheduler::reserve(const TaskRef &ref, WorkerIndex index)
{
    WorkerState &worker = *m_workers[index];
    TaskState &task = ref.task();
    const StepSpec &step = ref.spec();
    task.phase = TaskPhase::Starting;
    task.worker = index;
    worker.runs.push_back(ref);
    Resources need = step.need;
    if (step.usesSpareCpu) {
        worker.spareUse += need.cpuMillis;
        need.cpuMillis = 0;
    }
    worker.reserved += need;
    worker.servingUse += step.isLasting ? need.cpuMillis : 0;
    ++ref.job->heldTasks;
}

void WorkflowScheduler::release(const TaskRef &ref)
{
    TaskState &task = ref.task();
    WorkerState &worker = *m_workers[task.worker];
    const StepSpec &step = ref.spec();
    Resources need = step.need;
    if (step.usesSpareCpu) {
        worker.spareUse -= need.cpuMillis;
        need.cpuMillis = 0;
    }
    worker.reserved -= need;
    worker.servingUse -= step.isLasting ? need.cpuMillis : 0;
    std::erase(worker.runs, ref);
    task.worker = NoWorker;
    --ref.job->heldTasks;
    m_mustPlace = true;
}

void WorkflowScheduler::takeBack(const TaskRef &ref)
{
    release(ref);
    if (ref.task().phase != TaskPhase::Done) {
        waitAgain(ref, Duration::zero());
    }
}

void WorkflowScheduler::waitAgain(const TaskRef &ref, Duration delay)
{
    TaskState &task = ref.task();
    task.phase = TaskPhase::Waiting;
    task.retryAt = m_now + delay;
    m_mustPlace = true;
}

void WorkflowScheduler::start(const TaskRef &ref, WorkerIndex index, std::uint64_t attempt, TimePoint now)
{
    reserve(ref, index);
    WorkerState &worker = *m_workers[index];
    TaskState &task = ref.task();
    task.attempt = attempt;
    task.isAcknowledged = false;
    task.isStopAcknowledged = false;
    task.orderedAt = now;
    task.startedAt = now;
    task.idleSince = {};
    task.percent = 100;
    task.gauge = 0;
    task.overTargetSince = {};
    task.stalledSince = {};
    StartOrder order;
    order.run = {ref.name(), attempt};
    order.payload = ref.job->accepted.spec.payload;
    order.checkpoint = task.checkpoint;
    order.validUntilMs = worker.clock.timeIn(m_settings.orderValidity, now);
    task.validUntilMs = order.validUntilMs;
    worker.leaseEndsBy = std::max(worker.leaseEndsBy, worker.clock.reachedBy(m_settings.orderValidity, now));
    if (ref.job->state == WorkflowState::Queued) {
        ref.job->state = WorkflowState::Running;
        if (m_observer != nullptr) {
            m_observer->onFirstStart(ref.job->accepted.queue, ageOf(*ref.job));
        }
        touch(*ref.job);
    }
    ++m_counters.starts;
    const auto onReply
        = [this, ref, key = ref.job->key(), index, attempt, fence = worker.fence](const OrderReply &reply) {
              // Fenced off by our own token for the worker's next life: its first report decides.
              if (reply.status != OrderStatus::Fenced || m_workers[index]->fence == fence) {
                  onStarted(ref, key, index, attempt, reply);
              }
          };
    m_port.start(target(worker), order, guard(onReply));
}

void WorkflowScheduler::onStarted(
    const TaskRef &ref, const JobKey &key, WorkerIndex index, std::uint64_t attempt, const OrderReply &reply)
{
    m_now = m_clock.now();
    WorkerState &worker = *m_workers[index];
    if (findJob(key) != ref.job) {
        return;
    }
    TaskState &task = ref.task();
    const bool isOpenOrder = task.worker == index && task.attempt == attempt
                             && (task.phase == TaskPhase::Starting || task.phase == TaskPhase::Stopping);
    if (!isOpenOrder) {
        return; // a report was faster
    }
    if (reply.status == OrderStatus::Accepted) {
        task.isAcknowledged = true;
        task.answeredAt = m_now;
        return;
    }
    if (reply.status == OrderStatus::Fenced) {
        m_isDeposed = true;
        return;
    }
    if (reply.status == OrderStatus::Unanswered) {
        ++m_counters.startsUnanswered;
        logRun("start_unanswered", ref, "worker", worker.record.id);
        if (task.phase == TaskPhase::Starting) {
            task.avoidedWorker = index;
            stop(ref, "its start was not answered");
        }
        return;
    }
    ++m_counters.startsRejected;
    logRun("start_rejected",
           ref,
           "worker",
           worker.record.id,
           "status",
           static_cast<int>(reply.status),
           "free_cpu",
           worker.freeRoom().cpuMillis,
           "free_mib",
           worker.freeRoom().memoryMib);
    worker.noStartsUntil = m_now + RejectedPause;
    release(ref);
    waitAgain(ref, RetryDelay);
}

// ---------------------------------------------------------------------------------------------------------------------
// Stops and ends
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::stop(const TaskRef &ref, std::string_view why)
{
    TaskState &task = ref.task();
    if (task.phase != TaskPhase::Starting && task.phase != TaskPhase::Running) {
        return;
    }
    ++m_counters.stops;
    logRun("run_stop", ref, "worker", m_workers[task.worker]->record.id, "why", why);
    task.phase = TaskPhase::Stopping;
    task.isStopAcknowledged = false;
    sendStop(ref);
}

void WorkflowScheduler::sendStop(const TaskRef &ref)
{
    TaskState &task = ref.task();
    const WorkerState &worker = *m_workers[task.worker];
    task.orderedAt = m_clock.now();
    const RunName run{ref.name(), task.attempt};
    m_port.stop(
        target(worker),
        run,
        guard([this, ref, key = ref.job->key(), attempt = task.attempt, fence = worker.fence](const OrderReply &reply) {
            if (findJob(key) != ref.job) {
                return;
            }
            TaskState &it = ref.task();
            if (it.phase != TaskPhase::Stopping || it.attempt != attempt) {
                return;
            }
            if (reply.status == OrderStatus::Accepted || reply.status == OrderStatus::Superseded) {
                it.isStopAcknowledged = true;
                it.answeredAt = m_clock.now();
            } else if (reply.status == OrderStatus::Fenced && it.worker != NoWorker
                       && m_workers[it.worker]->fence == fence) {
                m_isDeposed = true;
            }
        }));
}

void WorkflowScheduler::finishTask(const TaskRef &ref)
{
    OccurrenceState &occurrence = ref.job->occurrences[ref.occurrence];
    StepState &step = occurrence.steps[ref.step];
    auto &tasks = step.tasks;
    // One end of a gang's member stands for all of them. The others hold their room until their own ends are listed.
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        if (i == ref.index || ref.spec().isGang) {
            step.doneCount += tasks[i].phase == TaskPhase::Done ? 0 : 1;
            tasks[i].phase = TaskPhase::Done;
        }
    }
    if (step.doneCount < tasks.size()) {
        return;
    }
    if (++occurrence.doneSteps < occurrence.steps.size()) {
        return;
    }
    const auto isDone = [](const OccurrenceState &it) { return it.doneSteps == it.steps.size(); };
    if (std::all_of(ref.job->occurrences.begin(), ref.job->occurrences.end(), isDone)) {
        setFinal(*ref.job, WorkflowState::Completed);
    }
}

void WorkflowScheduler::failJob(JobState &job, std::string_view why)
{
    setFinal(job, WorkflowState::Failed);
    stopAll(job, why);
}

void WorkflowScheduler::stopAll(JobState &job, std::string_view why)
{
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
            for (std::uint32_t i = 0; i < job.occurrences[k].steps[s].tasks.size(); ++i) {
                stop({&job, k, s, i}, why);
            }
        }
    }
}

Duration WorkflowScheduler::ageOf(const JobState &job) const
{
    return m_clock.wallNow() - std::chrono::milliseconds(job.accepted.acceptedMs);
}

void WorkflowScheduler::setFinal(JobState &job, WorkflowState state)
{
    if (m_observer != nullptr) {
        m_observer->onFinal(job.accepted.queue, state, ageOf(job));
    }
    m_log.write("job_final",
                "job",
                job.key(),
                "state",
                static_cast<int>(state),
                "queue",
                job.accepted.queue,
                "age_ms",
                m_clock.wallNow().count() - job.accepted.acceptedMs);
    job.state = state;
    m_active.erase(job.key());
    std::erase(m_order, &job);
    m_final.emplace_back(m_clock.now(), job.key());
    touch(job);
}

} // namespace QuetzalRock::Workflow
