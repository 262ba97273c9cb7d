/** WorkflowScheduler: leases of workers, and what their reports say. */
#include <workflow/scheduler.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr unsigned FenceLifeBits = 16;     ///< of a fencing token count lives of one worker; the epoch stands above
constexpr std::size_t EndsPerReport = 500; ///< a report with so many ends may not be whole
constexpr std::uint32_t LostCallsBeforeLooking = 1; ///< from then on renewals only look: they prolong nothing
constexpr Duration BatchEnds = 25ms; ///< after a report with ends, so that they are stored before the next
constexpr Duration AskWhileStoring
    = 150ms; ///< while ends wait for the store, a report would come at once, again and again
constexpr std::int64_t ClockMarginMs = 50; ///< beyond an order's validity, before it counts as void

} // namespace

WorkerTarget WorkflowScheduler::target(const WorkerState &worker) const
{
    return {worker.record.id, worker.record.address, worker.fence};
}

WorkerState &WorkflowScheduler::addWorker(const WorkerId &id)
{
    const auto [it, isNew] = m_workerIndex.emplace(id, static_cast<WorkerIndex>(m_workers.size()));
    if (isNew) {
        auto worker = std::make_unique<WorkerState>();
        worker->record.id = id;
        worker->fence = m_term.epoch << FenceLifeBits;
        m_workers.push_back(std::move(worker));
    }
    return *m_workers[it->second];
}

void WorkflowScheduler::removeWorker(const WorkerId &id)
{
    const auto found = m_workerIndex.find(id);
    if (found == m_workerIndex.end()) {
        return; // another shard's
    }
    WorkerState &worker = *m_workers[found->second];
    worker.isListed = false;
    m_mustPlace = true;
    m_log.write("worker_unlisted", "worker", id, "runs", worker.runs.size());
}

void WorkflowScheduler::setWorker(const WorkerRecord &record)
{
    WorkerState &worker = addWorker(record.id);
    m_mustPlace = true;
    if (worker.record.bornMs != 0 && record.bornMs != 0 && worker.record.bornMs != record.bornMs) {
        beginLife(m_workerIndex.at(record.id), record);
    }
    const bool wasDraining = worker.record.condition == WorkerCondition::Draining;
    worker.record = record;
    worker.isListed = true;
    if (record.condition == WorkerCondition::Draining && !wasDraining) {
        worker.drainSeenAt = m_clock.now();
        m_log.write(
            "worker_drains", "worker", record.id, "leaves_in_ms", record.leavesInMs, "runs", worker.runs.size());
    }
    if (!m_durableWorkers.contains(record.id)) {
        m_workersDirty = true;
    }
}

/**
 * The same id, started anew: what it ran is gone, and it has forgotten every fencing token. Orders sent just before this was
 * known may have reached the new life; its first report, with a higher token, shows which did.
 */
void WorkflowScheduler::beginLife(WorkerIndex index, const WorkerRecord &record)
{
    WorkerState &worker = *m_workers[index];
    m_log.write("worker_reborn",
                "worker",
                worker.record.id,
                "born",
                record.bornMs,
                "before",
                worker.record.bornMs,
                "runs",
                worker.runs.size());
    worker.record.bornMs = record.bornMs;
    ++worker.lives;
    worker.fence = (m_term.epoch << FenceLifeBits) + worker.lives;
    worker.isRead = false;
    worker.isReadFirmly = false;
    worker.isNewLife = true;
    worker.clock.forget();
    worker.seenSequence = 0;
    worker.forgetUpTo = 0;
    worker.keptEnds.clear();
    worker.strays.clear();
    worker.renewAt = {};
    worker.lostCalls = 0;
}

// ---------------------------------------------------------------------------------------------------------------------
// Renewals
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::renewWorkers(TimePoint now)
{
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        WorkerState &worker = *m_workers[i];
        // Only a leader that is sure to be the only one knows that nobody else has prolonged the lease.
        // A renewal under way may bring ends that the worker listed before its lease ran out.
        const bool hasRunOut = worker.clock.isKnown() && !worker.isRenewing && now >= worker.leaseEndsBy;
        if (!worker.runs.empty() && hasRunOut && m_authority == Authority::Full) {
            loseRuns(i, "its lease has run out");
        }
        const bool isForgotten
            = !worker.isListed && !worker.isUnresolved && worker.runs.empty() && now >= worker.leaseEndsBy;
        if (isForgotten && m_authority == Authority::Full && m_durableWorkers.erase(worker.record.id) > 0) {
            m_workersDirty = true; // a successor need not ask for it
        }
        const bool isWanted = worker.isListed || worker.isUnresolved || !worker.runs.empty();
        if (isWanted && !worker.isRenewing && now >= worker.renewAt && !worker.record.address.empty()) {
            renewWorker(i, now);
        }
        if (worker.isListed && worker.record.condition == WorkerCondition::Draining) {
            leaveDraining(i, now);
        }
    }
}

void WorkflowScheduler::renewWorker(WorkerIndex index, TimePoint now)
{
    WorkerState &worker = *m_workers[index];
    forgetDurable(worker);
    RenewOrder order;
    // After a lost call another life may answer, which counts its ends anew: it must not forget any that we have not seen.
    order.acknowledgedSequence = worker.lostCalls == 0 ? worker.forgetUpTo : 0;
    const bool mayProlong = worker.isRead && worker.clock.isKnown() && worker.lostCalls < LostCallsBeforeLooking;
    if (mayProlong) {
        order.leaseUntilMs = worker.clock.timeIn(m_settings.workerLease, now);
        worker.leaseEndsBy = std::max(worker.leaseEndsBy, worker.clock.reachedBy(m_settings.workerLease, now));
    }
    if (worker.isRead && worker.lostCalls == 0 && worker.keptEnds.empty()) {
        order.wait = m_settings.renewEvery;
    }
    worker.isRenewing = true;
    m_port.renew(target(worker), order, guard([this, index, fence = worker.fence, now](const RenewReply &reply) {
                     onRenewed(index, fence, reply, now);
                 }));
}

void WorkflowScheduler::onNotRenewed(WorkerIndex index, OrderStatus status, TimePoint now)
{
    WorkerState &worker = *m_workers[index];
    switch (status) {
    case OrderStatus::Fenced:
        m_log.write("fenced_by_worker", "worker", worker.record.id, "epoch", m_term.epoch);
        m_isDeposed = true;
        worker.renewAt = now + m_settings.askAgain;
        return;
    case OrderStatus::WrongIncarnation:
        m_log.write("worker_replaced", "worker", worker.record.id, "address", worker.record.address);
        loseRuns(index, "another worker answers at its address");
        worker.isUnresolved = false;
        worker.isListed = false;
        worker.renewAt = now + m_settings.renewEvery;
        return;
    default:
        worker.lostCalls += status == OrderStatus::Unhealthy ? 0 : 1;
        worker.renewAt = now + m_settings.askAgain;
        if (worker.lostCalls == 1) {
            m_log.write("worker_contact_lost",
                        "worker",
                        worker.record.id,
                        "runs",
                        worker.runs.size(),
                        "status",
                        static_cast<int>(status));
        }
        return;
    }
}

void WorkflowScheduler::onRenewed(WorkerIndex index, std::uint64_t fence, const RenewReply &reply, TimePoint sentAt)
{
    WorkerState &worker = *m_workers[index];
    const TimePoint now = m_clock.now();
    m_now = now;
    worker.isRenewing = false;
    if (fence != worker.fence) {
        return; // sent to an earlier life
    }
    if (reply.order.status != OrderStatus::Accepted) {
        onNotRenewed(index, reply.order.status, now);
        return;
    }
    if (worker.lostCalls > 0) {
        m_log.write("worker_contact_regained", "worker", worker.record.id, "lost_calls", worker.lostCalls);
    }
    const bool isFirst = !worker.isRead || worker.lostCalls > 0;
    worker.lostCalls = 0;
    worker.answeredAt = now;
    if (worker.record.bornMs == 0) {
        worker.record.bornMs = reply.report.bornMs; // its entry is away; it may start anew before it is back
    }
    const bool isOtherLife
        = worker.record.bornMs != 0 && reply.report.bornMs != 0 && worker.record.bornMs != reply.report.bornMs;
    if (isOtherLife) {
        WorkerRecord record = worker.record;
        record.bornMs = reply.report.bornMs;
        beginLife(index, record);
        return; // asks again, with the new life's token
    }
    worker.clock.note(reply.report.clockMs, now);
    if (!worker.isRead && !reply.report.running.empty()) {
        // Whoever led before may have given it the longest lease just now.
        worker.leaseEndsBy = std::max(worker.leaseEndsBy, worker.clock.reachedBy(m_settings.maxWorkerLease, now));
    }
    worker.isRead = true;
    worker.isReadFirmly = worker.isReadFirmly || m_authority == Authority::Full;
    if (isFirst) {
        worker.renewAt = {}; // prolongs the lease now that the clock is known
        m_mustPlace = true;
    }
    takeReport(index, reply.report, sentAt);
}

/** Moves on what the worker may forget: ends whose jobs are stored as of then. */
void WorkflowScheduler::forgetDurable(WorkerState &worker)
{
    while (!worker.keptEnds.empty()) {
        const KeptEnd &end = worker.keptEnds.front();
        const JobState *job = findJob(end.job);
        if (job != nullptr && job->storedVersion < end.version) {
            return;
        }
        worker.forgetUpTo = std::max(worker.forgetUpTo, end.sequence);
        worker.keptEnds.pop_front();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Reports
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::takeReport(WorkerIndex index, const WorkerReport &report, TimePoint sentAt)
{
    WorkerState &worker = *m_workers[index];
    ++worker.reportCount;
    worker.strays.clear();
    worker.adoptedRuns = 0;
    for (const RunningEntry &it : report.running) {
        takeRunning(index, it);
    }
    if (worker.adoptedRuns > 0) {
        m_log.write("runs_adopted",
                    "worker",
                    worker.record.id,
                    "runs",
                    worker.adoptedRuns,
                    "listed",
                    report.running.size(),
                    "clock_ms",
                    report.clockMs);
    }
    bool hasNews = false;
    for (const EndedEntry &it : report.ended) {
        if (it.sequence > worker.seenSequence) {
            takeEnd(index, it);
            worker.seenSequence = it.sequence;
            hasNews = true;
        }
    }
    checkUnlisted(index, report.clockMs, report.ended.size() < EndsPerReport, sentAt);
    notePressure(index);
    if (hasNews) {
        worker.renewAt = std::max(worker.renewAt, m_now + m_settings.storeEvery + BatchEnds);
    } else if (!worker.keptEnds.empty()) {
        worker.renewAt = std::max(worker.renewAt, m_now + AskWhileStoring);
    }
}

std::optional<TaskRef> WorkflowScheduler::find(const TaskName &name)
{
    JobState *job = findJob(name.job);
    if (job == nullptr || name.occurrence >= job->occurrences.size()) {
        return std::nullopt;
    }
    const auto &steps = job->occurrences[name.occurrence].steps;
    if (name.step >= steps.size() || name.index >= steps[name.step].tasks.size()) {
        return std::nullopt;
    }
    return TaskRef{job, name.occurrence, name.step, name.index};
}

void WorkflowScheduler::takeRunning(WorkerIndex index, const RunningEntry &entry)
{
    WorkerState &worker = *m_workers[index];
    const auto ref = find(entry.run.task);
    if (ref && ref->task().phase == TaskPhase::Waiting && !isFinal(ref->job->state)
        && entry.run.attempt >= ref->task().attempt) {
        // Ordered by a former leader, or by us with an answer that was lost.
        TaskState &task = ref->task();
        task.attempt = entry.run.attempt;
        task.startedAt = m_now;
        reserve(*ref, index);
        ++worker.adoptedRuns;
    }
    if (!ref || ref->task().worker != index || ref->task().attempt != entry.run.attempt
        || ref->task().phase == TaskPhase::Waiting || ref->task().phase == TaskPhase::Done) {
        worker.strays.insert(entry.run);
        m_log.write("stray_run_stopped",
                    "job",
                    entry.run.task.job,
                    "step",
                    entry.run.task.step,
                    "task",
                    entry.run.task.index,
                    "attempt",
                    entry.run.attempt,
                    "worker",
                    worker.record.id);
        m_port.stop(target(worker), entry.run, [](const OrderReply &) {}); // the next report shows whether it worked
        return;
    }
    TaskState &task = ref->task();
    task.lastReportNumber = worker.reportCount;
    task.gauge = entry.gauge;
    task.checkpoint = entry.checkpoint.empty() ? task.checkpoint : entry.checkpoint;
    if (task.phase == TaskPhase::Starting) {
        task.phase = TaskPhase::Running;
    }
    if (task.phase == TaskPhase::Stopping) {
        if (m_now >= task.orderedAt + m_settings.askAgain && !task.isStopAcknowledged) {
            sendStop(*ref);
        }
        return;
    }
    const bool isIdle = entry.gauge == 0 && task.percent > 0 && !ref->spec().isLasting;
    if (!isIdle) {
        task.idleSince = {};
    } else if (task.idleSince == TimePoint{}) {
        task.idleSince = m_now;
    } else if (m_now - task.idleSince >= m_settings.hungAfter) {
        task.avoidedWorker = index;
        noteHealth(worker, false, m_now);
        stop(*ref, "it stands still");
    }
}

void WorkflowScheduler::takeEnd(WorkerIndex index, const EndedEntry &entry)
{
    WorkerState &worker = *m_workers[index];
    const auto ref = find(entry.run.task);
    if (!ref) {
        worker.keptEnds.push_back({entry.sequence, {}, 0});
        return;
    }
    takeEndOfTask(index, *ref, entry);
    worker.keptEnds.push_back({entry.sequence, ref->job->key(), ref->job->version});
}

/** A failed run counts once, by its number, whoever reports it; too many end the job. */
void WorkflowScheduler::takeFailure(WorkerIndex index, const TaskRef &ref, const EndedEntry &entry)
{
    TaskState &task = ref.task();
    ++m_counters.failed;
    noteHealth(*m_workers[index], false, m_now);
    task.avoidedWorker = index;
    auto &failed = task.failedAttempts;
    if (std::find(failed.begin(), failed.end(), entry.run.attempt) == failed.end()) {
        failed.push_back(entry.run.attempt);
    }
    const std::uint32_t most = ref.job->accepted.maxFailures;
    logRun("run_failed",
           ref,
           "attempt",
           entry.run.attempt,
           "worker",
           m_workers[index]->record.id,
           "failures",
           failed.size(),
           "most",
           most);
    if (ref.spec().isLasting) {
        failed.clear(); // no number of failures ends a lasting task
    } else if (most > 0 && failed.size() >= most) {
        failJob(*ref.job, "a task has failed too often");
    }
}

void WorkflowScheduler::takeEndOfTask(WorkerIndex index, const TaskRef &ref, const EndedEntry &entry)
{
    TaskState &task = ref.task();
    WorkerState &worker = *m_workers[index];
    const bool isCurrent = task.worker == index && task.attempt == entry.run.attempt;
    const bool wasStopping = task.phase == TaskPhase::Stopping;
    if (isCurrent) {
        takeBack(ref);
    }
    if (isFinal(ref.job->state) || task.phase == TaskPhase::Done) {
        return;
    }
    if (!entry.checkpoint.empty() && entry.run.attempt >= task.attempt) {
        task.checkpoint = entry.checkpoint;
    }
    task.attempt = std::max(task.attempt, entry.run.attempt);
    switch (entry.how) {
    case RunEnd::Done:
        ++m_counters.done;
        noteHealth(worker, true, m_now);
        if (!ref.spec().isLasting) {
            if (!isCurrent && task.phase != TaskPhase::Waiting) {
                stop(ref, "an earlier run has finished it");
            }
            finishTask(ref);
        }
        break;
    case RunEnd::Failed:
        takeFailure(index, ref, entry);
        break;
    case RunEnd::LeaseLapsed:
        ++m_counters.lost;
        logRun("run_lapsed", ref, "worker", worker.record.id);
        break;
    case RunEnd::Stopped:
    case RunEnd::GangBroken:
    case RunEnd::GangAlone:
        if (!wasStopping) {
            logRun("run_ended", ref, "how", static_cast<int>(entry.how), "worker", worker.record.id);
        }
        break;
    }
    touch(*ref.job);
    m_mustPlace = true;
}

/** Decides about runs that the worker does not list: too early to tell, never begun, or lost. */
void WorkflowScheduler::checkUnlisted(WorkerIndex index, std::int64_t clockMs, bool isWhole, TimePoint sentAt)
{
    WorkerState &worker = *m_workers[index];
    const bool isNewLife = std::exchange(worker.isNewLife, false);
    const std::vector<TaskRef> runs = worker.runs;
    for (const TaskRef &ref : runs) {
        TaskState &task = ref.task();
        if (task.worker != index || task.lastReportNumber == worker.reportCount || task.orderedAt >= sentAt) {
            continue;
        }
        if (isNewLife) {
            ++m_counters.lost;
            logRun("run_lost", ref, "worker", worker.record.id, "why", "the worker has started anew");
            takeBack(ref);
            continue;
        }
        const bool isAnswered = task.phase == TaskPhase::Stopping ? task.isStopAcknowledged : task.isAcknowledged;
        if (!isAnswered && task.phase != TaskPhase::Running) {
            if (task.phase == TaskPhase::Starting && clockMs > task.validUntilMs + ClockMarginMs) {
                logRun("start_void", ref, "worker", worker.record.id);
                takeBack(ref);
            } else if (task.phase == TaskPhase::Stopping && m_now >= task.orderedAt + m_settings.askAgain) {
                sendStop(ref);
            }
            continue;
        }
        if ((task.phase != TaskPhase::Running && task.answeredAt >= sentAt) || !isWhole) {
            continue;
        }
        if (task.phase != TaskPhase::Stopping) {
            ++m_counters.lost;
            logRun("run_vanished", ref, "worker", worker.record.id);
        }
        takeBack(ref);
    }
}

/** Nothing of ours runs there any more, for certain. */
void WorkflowScheduler::loseRuns(WorkerIndex index, std::string_view why)
{
    WorkerState &worker = *m_workers[index];
    if (!worker.runs.empty()) {
        m_log.write("runs_lost", "worker", worker.record.id, "runs", worker.runs.size(), "why", why);
    }
    const std::vector<TaskRef> runs = worker.runs;
    for (const TaskRef &ref : runs) {
        ++m_counters.lost;
        takeBack(ref);
    }
    m_mustPlace = true;
}

void WorkflowScheduler::leaveDraining(WorkerIndex index, TimePoint now)
{
    WorkerState &worker = *m_workers[index];
    const TimePoint leavesAt = worker.drainSeenAt + std::chrono::milliseconds(worker.record.leavesInMs);
    const std::vector<TaskRef> runs = worker.runs;
    for (const TaskRef &ref : runs) {
        const bool isRunning = ref.task().phase == TaskPhase::Running;
        const bool mustMove
            = ref.spec().isLasting || (ref.spec().isCheckpointed && now + m_settings.drainMargin >= leavesAt);
        if (isRunning && mustMove) {
            stop(ref, "its worker drains");
        }
    }
}

void WorkflowScheduler::noteHealth(WorkerState &worker, bool isGood, TimePoint now)
{
    if (isGood) {
        worker.failuresInRow = 0;
        worker.suspicion = {};
        return;
    }
    if (++worker.failuresInRow < m_settings.suspectAfter || worker.isSuspect(now)) {
        return;
    }
    worker.suspicion = worker.suspicion.count() == 0 ? m_settings.suspicion
                                                     : std::min(m_settings.longestSuspicion, worker.suspicion * 2);
    worker.suspectUntil = now + worker.suspicion;
    worker.failuresInRow = m_settings.suspectAfter - 1; // the next failure alone is enough
    m_log.write("worker_suspect",
                "worker",
                worker.record.id,
                "for_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(worker.suspicion).count());
}

} // namespace QuetzalRock::Workflow
