/** WorkflowScheduler: renews worker leases and processes worker reports. */
#include <workflow/scheduler.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr unsigned FenceRestartBits = 16;     ///< low bits of a fencing token: restart count; above them: epoch
constexpr std::size_t MaxEndsPerReport = 500; ///< a report with this many ends may be truncated
constexpr std::uint32_t MaxUnansweredBeforeReadOnly = 1; ///< then renewals no longer extend the lease
constexpr Duration EndBatchDelay = 25ms;       ///< delays the renewal after a report with ends until these are stored
constexpr Duration StorePendingDelay = 150ms;  ///< between renewals while ends wait to be stored: workers reply at once
constexpr Duration GraceRenewalWait = 300ms;   ///< in a grace period, or while that of a former leader may last
constexpr Duration StoreSilenceMargin = 700ms; ///< of the lease as leader that is left once renewals of it are missing
constexpr Duration MinRenewalWait
    = 100ms; ///< the lease is extended earlier by as much, rather than by a call of its own
constexpr Duration EvacuationInterval = 100ms; ///< between two checks of a draining worker's runs
constexpr std::int64_t ClockMarginMs = 50;     ///< added to a start's validity before the start counts as void
constexpr std::int64_t WaitMarginMs = 100;     ///< by which a worker may answer a waiting renewal late

/** The longest time in which a worker's clock advances by @p time. */
Duration longestLocalTime(Duration time)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) / MinWorkerClockRate));
}

/** Whether a start that was answered so may have extended the worker's lease. */
bool extendsLease(OrderStatus status)
{
    return status == OrderStatus::Accepted || status == OrderStatus::Superseded
           || status == OrderStatus::InsufficientCapacity;
}

} // namespace

WorkerTarget WorkflowScheduler::target(const WorkerState &worker) const
{
    return {worker.record.id, worker.record.address, worker.fence};
}

WorkerState &WorkflowScheduler::findOrAddWorker(const WorkerId &id)
{
    const auto [it, isNew] = m_workerIndex.emplace(id, static_cast<WorkerIndex>(m_workers.size()));
    if (isNew) {
        auto worker = std::make_unique<WorkerState>();
        worker->record.id = id;
        worker->fence = m_term.epoch << FenceRestartBits;
        m_workers.push_back(std::move(worker));
    }
    return *m_workers[it->second];
}

void WorkflowScheduler::removeWorker(const WorkerId &id)
{
    const auto found = m_workerIndex.find(id);
    if (found == m_workerIndex.end()) {
        return; // belongs to another shard
    }
    WorkerState &worker = *m_workers[found->second];
    worker.isRegistered = false;
    m_isPlacementDue = true;
    m_log.write("worker_unregistered", "worker", id, "runs", worker.runs.size());
}

void WorkflowScheduler::setWorker(const WorkerRecord &record)
{
    WorkerState &worker = findOrAddWorker(record.id);
    m_isPlacementDue = true;
    if (record.startedAtMs != 0 && record.startedAtMs == worker.formerStartedAtMs) {
        worker.isRegistered = true; // an entry of the incarnation before, as its last report shows
        return;
    }
    if (worker.record.startedAtMs != 0 && record.startedAtMs != 0 && worker.record.startedAtMs != record.startedAtMs) {
        beginIncarnation(m_workerIndex.at(record.id), record);
    }
    worker.isEntryOutdated = false;
    const bool wasDraining = worker.record.condition == WorkerCondition::Draining;
    worker.record = record;
    worker.isRegistered = true;
    settleUnusedWorker(worker);
    if (record.condition == WorkerCondition::Draining && !wasDraining) {
        worker.drainSeenAt = m_clock.now();
        m_log.write(
            "worker_draining", "worker", record.id, "leaves_in_ms", record.leavesInMs, "runs", worker.runs.size());
    }
    if (!worker.isLeaving() && !m_storedWorkers.contains(record.id)) {
        m_workersDirty = true;
    }
}

/**
 * Resets the state of a worker that has restarted: its runs are gone and it has forgotten all fencing tokens. Orders
 * sent before the restart was noticed may have reached the new incarnation; its first report under a higher token
 * lists them.
 */
void WorkflowScheduler::beginIncarnation(WorkerIndex index, const WorkerRecord &record)
{
    WorkerState &worker = *m_workers[index];
    const bool mayHaveFormerOrders = mayExtensionsReachNext(worker);
    m_log.write("worker_restarted",
                "worker",
                worker.record.id,
                "born",
                record.startedAtMs,
                "before",
                worker.record.startedAtMs,
                "runs",
                worker.runs.size(),
                "former_orders",
                mayHaveFormerOrders);
    worker.formerStartedAtMs = std::exchange(worker.record.startedAtMs, record.startedAtMs);
    worker.isEntryOutdated = true;
    ++worker.restartCount;
    worker.fence = (m_term.epoch << FenceRestartBits) + worker.restartCount;
    worker.hasReported = false;
    worker.isConfirmed = false;
    worker.isNewIncarnation = true;
    worker.hasCrashed = worker.record.condition != WorkerCondition::Draining;
    worker.clock.reset();
    worker.formerCallsEndMs = 0;
    worker.haveFormerCallsEnded = false;
    if (mayHaveFormerOrders) {
        worker.mayHaveFormerLease = true;
        worker.leaseEndsBy = std::max(worker.leaseEndsBy, cutLeaseEnd(m_clock.now() + m_settings.orderValidity));
    }
    const bool hasLongLease = worker.leaseEndsBy > m_clock.now() + longestLease();
    worker.settledStartedAtMs = worker.mayHaveFormerLease || hasLongLease ? 0 : record.startedAtMs;
    worker.settlesAt = {};
    m_workersDirty = true; // a successor may not be able to read it
    worker.answeredOrderSentAt = {};
    worker.processedSequence = 0;
    worker.durableSequence = 0;
    worker.unacknowledgedEnds.clear();
    worker.unknownRuns.clear();
    worker.isRenewing = false; // a renewal of the former incarnation may wait for an answer until it times out
    worker.nextRenewAt = {};
    worker.unansweredRenewals = 0;
}

/**
 * Whether an order that was sent to the worker's present incarnation, and that extends its lease, may be executed by the next
 * one. That forgets all fencing tokens, and measures the lease by another clock. Once it has accepted a token of its own, it
 * rejects such orders.
 */
bool WorkflowScheduler::mayExtensionsReachNext(const WorkerState &worker) const
{
    const TimePoint now = m_clock.now();
    const bool isUnanswered = worker.pendingExtensions > 0 || now < worker.lateExtensionsUntil;
    const bool isStartUncertain = worker.startAnsweredWithoutClockAt >= worker.answeredOrderSentAt
                                  && worker.startAnsweredWithoutClockAt != TimePoint{};
    const bool areFormerOrdersPast = m_formerLeaders.empty() && now >= m_formerLeadersGoneAt + m_settings.maxOrderDelay;
    const bool isFormer = m_formerWorkers.contains(worker.record.id) && !areFormerOrdersPast;
    return isUnanswered || isStartUncertain || isFormer;
}

/** When a lease has expired that the worker was given until @p time, by a clock that is not its own. */
TimePoint WorkflowScheduler::cutLeaseEnd(TimePoint time) const
{
    return time + longestLocalTime(m_settings.maxWorkerLease);
}

/** The worker has just executed an order that extends its lease by @p lease, measured by the clock that it has now. */
void WorkflowScheduler::noteLeaseByOtherClock(WorkerState &worker, Duration lease)
{
    const TimePoint now = m_clock.now();
    worker.leaseEndsBy
        = std::max(worker.leaseEndsBy, now + longestLocalTime(std::min(lease, m_settings.maxWorkerLease)));
    if (worker.leaseEndsBy > now + longestLease() && std::exchange(worker.settledStartedAtMs, 0) != 0) {
        m_workersDirty = true; // a successor has to know
    }
}

/**
 * Notes the lease that a start, answered just now, may have extended. The answer does not tell the incarnation, but its clock
 * does: that of the incarnation for which the order was meant does not lie behind the time of sending.
 */
void WorkflowScheduler::noteStartAnswer(WorkerIndex index,
                                        std::int64_t validUntilMs,
                                        bool isOfThisFence,
                                        const OrderReply &reply)
{
    WorkerState &worker = *m_workers[index];
    if (reply.status == OrderStatus::Unanswered || reply.status == OrderStatus::NotSent) {
        return;
    }
    const TimePoint now = m_clock.now();
    if (reply.clockMs <= 0) {
        worker.startAnsweredWithoutClockAt = now;
        return;
    }
    if (extendsLease(reply.status)) {
        noteLeaseByOtherClock(worker, std::chrono::milliseconds(validUntilMs - reply.clockMs));
    }
    const std::int64_t sentMs = validUntilMs - toMilliseconds(m_settings.orderValidity);
    if (!isOfThisFence || reply.clockMs + ClockMarginMs >= sentMs) {
        return;
    }
    m_log.write("start_answered_by_next",
                "worker",
                worker.record.id,
                "born",
                worker.record.startedAtMs,
                "clock_ms",
                reply.clockMs,
                "sent_ms",
                sentMs,
                "status",
                static_cast<int>(reply.status));
    WorkerRecord record = worker.record;
    record.startedAtMs = 0; // its first report tells
    beginIncarnation(index, record);
}

/** No order from before can reach a worker that no leader has used. */
void WorkflowScheduler::settleUnusedWorker(WorkerState &worker) const
{
    if (worker.restartCount == 0 && !m_areFormerWorkersUnknown && !m_formerWorkers.contains(worker.record.id)) {
        worker.settledStartedAtMs = worker.record.startedAtMs;
    }
}

/**
 * Notes which incarnation is settled: none once another one is known, as its entry in the registry may be gone when a successor
 * takes over; the present one when a lease that it had at its first report has expired, since it rejects orders for others.
 */
void WorkflowScheduler::settleLease(WorkerState &worker, TimePoint now)
{
    if (worker.settledStartedAtMs != 0 && !worker.isSettled()) {
        worker.settledStartedAtMs = 0;
        m_workersDirty = true;
    }
    if (worker.settlesAt != TimePoint{} && now >= worker.settlesAt) {
        worker.settlesAt = {};
        worker.settledStartedAtMs = worker.record.startedAtMs;
        m_workersDirty = true;
    }
}

void WorkflowScheduler::noteExtensionAnswer(WorkerState &worker, OrderStatus status, TimePoint sentAt) const
{
    --worker.pendingExtensions;
    if (status == OrderStatus::Unanswered) {
        worker.lateExtensionsUntil = std::max(worker.lateExtensionsUntil, sentAt + m_settings.maxOrderDelay);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Renewals
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::renewWorkerLeases(TimePoint now)
{
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        WorkerState &worker = *m_workers[i];
        // Only under full authority is it certain that no other leader has extended the lease. The reply to a pending
        // renewal may report ends from before the lease expired, so it is awaited first.
        const bool hasLeaseExpired = !worker.isRenewing && now >= worker.leaseEndsBy;
        if (!worker.runs.empty() && hasLeaseExpired && m_authority == Authority::Full) {
            keepUnresolvedRuns(worker);
            requeueLostRuns(i, "lease expired");
        }
        dropFromStoredWorkers(worker);
        settleLease(worker, now);
        const bool isNeeded = worker.isRegistered || worker.mayRunFormerOrders || !worker.runs.empty()
                              || !worker.unresolvedRuns.empty();
        if (isNeeded && !worker.isRenewing && now >= worker.nextRenewAt && !worker.record.address.empty()) {
            renewWorkerLease(i, now);
        }
        if (worker.isRegistered && worker.record.condition == WorkerCondition::Draining) {
            evacuateDrainingWorker(i, now);
        }
    }
}

/** Takes a worker that leaves, and that runs nothing, off the stored list: a successor need not read it. */
void WorkflowScheduler::dropFromStoredWorkers(WorkerState &worker)
{
    const bool isRegistryKnown
        = m_registryConfirmedAt != TimePoint{} && m_shardMap != nullptr && !m_shardMap->shards.empty();
    if (!isRegistryKnown || !worker.isLeaving() || m_authority != Authority::Full
        || !m_storedWorkers.contains(worker.record.id)) {
        return;
    }
    acknowledgeDurableEnds(worker);
    if (!worker.mustBeRead()) {
        m_storedWorkers.erase(worker.record.id); // from now on it gets no starts
        m_workersDirty = true;
    }
}

void WorkflowScheduler::renewWorkerLease(WorkerIndex index, TimePoint now)
{
    WorkerState &worker = *m_workers[index];
    acknowledgeDurableEnds(worker);
    RenewOrder order;
    // After an unanswered call a new incarnation may reply. It numbers its ends from 1 again and must not drop any that
    // have not been processed here.
    order.acknowledgedSequence = worker.unansweredRenewals == 0 ? worker.durableSequence : 0;
    const bool canExtendLease = worker.hasReported && worker.clock.isKnown()
                                && worker.unansweredRenewals < MaxUnansweredBeforeReadOnly
                                && worker.withheldNumber == 0;
    const bool canWait = worker.hasReported && worker.unansweredRenewals == 0 && worker.unacknowledgedEnds.empty();
    // A renewal that waits does not extend the lease: if the worker crashes meanwhile, its next incarnation could execute it.
    const Duration untilExtension = worker.leaseExtendedAt + m_settings.leaseExtensionInterval - now;
    const bool isExtensionDue = untilExtension < MinRenewalWait || !canWait;
    if (canExtendLease && isExtensionDue) {
        worker.leaseExtendedAt = now;
        ++worker.pendingExtensions;
        order.leaseUntilMs = worker.clock.workerTimeAfter(m_settings.grantedLease(), now);
        worker.leaseEndsBy
            = std::max(worker.leaseEndsBy, worker.clock.latestLocalTimeAfter(m_settings.grantedLease(), now));
    }
    if (canWait && !order.leaseUntilMs) {
        order.wait = canExtendLease ? std::min(renewalWait(worker, now), untilExtension) : renewalWait(worker, now);
        // See isAnsweredByHalf() and resolveFormerLeaders().
        if (now + StoreSilenceMargin > m_fullAuthorityUntil || !m_formerLeaders.empty()) {
            order.wait = std::min(order.wait, GraceRenewalWait);
        }
    }
    worker.isRenewing = true;
    const auto onReply
        = [this, index, fence = worker.fence, now, leaseUntilMs = order.leaseUntilMs](const RenewReply &reply) {
              if (leaseUntilMs) {
                  noteExtensionAnswer(*m_workers[index], reply.order.status, now);
              }
              onRenewed(index, fence, reply, now, leaseUntilMs);
          };
    m_port.renew(target(worker), order, ifAlive(onReply));
}

void WorkflowScheduler::onRenewFailed(WorkerIndex index, OrderStatus status, TimePoint now)
{
    WorkerState &worker = *m_workers[index];
    switch (status) {
    case OrderStatus::Fenced:
        m_log.write("fenced_by_worker", "worker", worker.record.id, "epoch", m_term.epoch);
        m_isDeposed = true;
        worker.nextRenewAt = now + m_settings.callRetryDelay;
        return;
    case OrderStatus::WrongIncarnation:
        if (m_authority != Authority::Full) {
            worker.nextRenewAt = now + m_settings.renewInterval; // see resolveUnlistedRuns()
            return;
        }
        m_log.write("worker_replaced", "worker", worker.record.id, "address", worker.record.address);
        if (worker.record.condition != WorkerCondition::Draining) {
            recordReplacement(index);
        }
        worker.isReplaced = true;
        requeueLostRuns(index, "another worker replies at its address");
        worker.mayRunFormerOrders = false;
        worker.isRegistered = false;
        worker.nextRenewAt = now + m_settings.renewInterval;
        return;
    default:
        worker.unansweredRenewals += status == OrderStatus::Unhealthy ? 0 : 1;
        worker.nextRenewAt = now + m_settings.callRetryDelay;
        if (worker.unansweredRenewals == 1 && worker.contactLostAt == TimePoint{}) {
            worker.contactLostAt = now;
            storeSilentStarts(worker);
            separateStartsAfterSilence(index);
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

void WorkflowScheduler::onRenewed(WorkerIndex index,
                                  std::uint64_t fence,
                                  const RenewReply &reply,
                                  TimePoint sentAt,
                                  std::optional<std::int64_t> leaseUntilMs)
{
    WorkerState &worker = *m_workers[index];
    const TimePoint now = m_clock.now();
    m_now = now;
    if (fence != worker.fence) {
        return; // sent to an earlier incarnation
    }
    worker.isRenewing = false;
    if (reply.order.status != OrderStatus::Accepted) {
        onRenewFailed(index, reply.order.status, now);
        return;
    }
    if (worker.unansweredRenewals > 0) {
        m_log.write("worker_contact_regained", "worker", worker.record.id, "lost_calls", worker.unansweredRenewals);
    }
    const bool isFirst = !worker.hasReported || worker.unansweredRenewals > 0;
    worker.unansweredRenewals = 0;
    worker.isReplaced = false;
    worker.lastReplyAt = now;
    if (worker.record.startedAtMs == 0) {
        // Its registry entry is missing, or was outdated. Needed to detect a restart before the entry is back.
        worker.record.startedAtMs = reply.report.startedAtMs;
        settleUnusedWorker(worker);
    }
    const bool isOtherIncarnation = worker.record.startedAtMs != 0 && reply.report.startedAtMs != 0
                                    && worker.record.startedAtMs != reply.report.startedAtMs;
    if (isOtherIncarnation) {
        WorkerRecord record = worker.record;
        record.startedAtMs = reply.report.startedAtMs;
        beginIncarnation(index, record);
        if (leaseUntilMs) { // the new incarnation has executed it
            noteLeaseByOtherClock(worker, std::chrono::milliseconds(*leaseUntilMs - reply.report.clockMs));
        }
        return; // renews again with the token of the new incarnation
    }
    worker.clock.update(reply.report.clockMs, now);
    if (!worker.hasReported && !reply.report.running.empty()) {
        // A former leader may have renewed its lease just now.
        worker.leaseEndsBy
            = std::max(worker.leaseEndsBy, worker.clock.latestLocalTimeAfter(m_settings.grantedLease(), now));
    }
    const bool isUnsettled = !worker.hasReported && !worker.isSettled();
    if (std::exchange(worker.mayHaveFormerLease, false) || isUnsettled) { // it rejects such orders from now on
        worker.settlesAt = cutLeaseEnd(now);
        worker.leaseEndsBy = std::max(worker.leaseEndsBy, worker.settlesAt);
    }
    worker.hasReported = true;
    worker.isConfirmed = worker.isConfirmed || m_authority == Authority::Full;
    worker.answeredOrderSentAt = sentAt;
    worker.silentSince = std::exchange(worker.contactLostAt, {});
    if (worker.silentSince != TimePoint{}) {
        for (const TaskRef &it : worker.runs) {
            if (std::exchange(it.task().silentStart, std::nullopt)) {
                // A stored one would be held against the task if the worker crashes later.
                markDirty(*it.job, StoreClass::Evidence);
            }
        }
    }
    if (isFirst) {
        worker.nextRenewAt = {}; // extend the lease at once, now that the worker's clock is known
        m_isPlacementDue = true;
    }
    processReport(index, reply.report, sentAt);
}

/** Another worker answers at the worker's address, and it was not draining: it has crashed. */
void WorkflowScheduler::recordReplacement(WorkerIndex index)
{
    WorkerState &worker = *m_workers[index];
    std::vector<LostRun> lost = std::exchange(worker.unresolvedRuns, {});
    for (const TaskRef &it : worker.runs) {
        lost.push_back(describeLostRun(it, worker.record.startedAtMs, {}));
    }
    if (worker.isRegistered || !lost.empty()) { // otherwise its entry was removed before, as when it leaves
        recordCrash(index, lost, worker.reportCount > 0);
    }
    for (const LostRun &it : lost) {
        endVerdictWait(it.run);
    }
}

/** Advances durableSequence over the ends whose jobs have been stored since. */
void WorkflowScheduler::acknowledgeDurableEnds(WorkerState &worker)
{
    while (!worker.unacknowledgedEnds.empty()) {
        const UnacknowledgedEnd &end = worker.unacknowledgedEnds.front();
        if (end.elsewhere && !m_endsSettledElsewhere.contains(*end.elsewhere)) {
            return;
        }
        const JobState *job = findJob(end.job);
        if (job != nullptr && job->storedVersion < end.version) {
            return;
        }
        worker.durableSequence = std::max(worker.durableSequence, end.sequence);
        worker.unacknowledgedEnds.pop_front();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Reports
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::processReport(WorkerIndex index, const WorkerReport &report, TimePoint sentAt)
{
    WorkerState &worker = *m_workers[index];
    ++worker.reportCount;
    worker.reportGap = m_now - std::exchange(worker.lastReportAt, m_now);
    worker.unknownRuns.clear();
    worker.adoptedRuns = 0;
    noteFormerCalls(worker, report.clockMs);
    for (const RunningEntry &it : report.running) {
        processRunningEntry(index, it, sentAt);
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
    bool hasNewEnds = false;
    bool isComplete = report.ended.size() < MaxEndsPerReport;
    for (const EndedEntry &it : report.ended) {
        const JobState *job = findJob(it.run.task.job);
        if (it.sequence > worker.processedSequence && job != nullptr && job->isMoving) {
            isComplete = false; // a later report lists it again, when it is known where the job is
            break;
        }
        if (it.sequence > worker.processedSequence) {
            processEndedEntry(index, it);
            worker.processedSequence = it.sequence;
            hasNewEnds = true;
        }
    }
    resolveUnlistedRuns(index, report.clockMs, isComplete, sentAt);
    observePressure(index);
    if (hasNewEnds) {
        worker.nextRenewAt = std::max(worker.nextRenewAt, m_now + m_settings.storeInterval + EndBatchDelay);
    } else if (!worker.unacknowledgedEnds.empty()) {
        worker.nextRenewAt = std::max(worker.nextRenewAt, m_now + StorePendingDelay);
    }
}

std::optional<TaskRef> WorkflowScheduler::findTask(const TaskName &name)
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

/**
 * A renewal that a former leader sent before the worker accepted our token may wait there, and is answered when a run ends,
 * whoever started that run. All nodes use the same renewInterval as the longest wait.
 */
void WorkflowScheduler::noteFormerCalls(WorkerState &worker, std::int64_t clockMs) const
{
    if (worker.formerCallsEndMs == 0) {
        worker.formerCallsEndMs = clockMs + toMilliseconds(m_settings.renewInterval) + WaitMarginMs;
    }
    worker.haveFormerCallsEnded = worker.haveFormerCallsEnded || clockMs >= worker.formerCallsEndMs;
}

/** Whether the worker may tell a former leader of the end of a run that it runs, or starts, at @p since or later. */
bool WorkflowScheduler::canFormerLeaderHear(const WorkerState &worker, TimePoint since) const
{
    const bool areFormerLeadersGone = m_formerLeaders.empty() && since >= m_formerLeadersGoneAt;
    return !areFormerLeadersGone && !worker.haveFormerCallsEnded;
}

void WorkflowScheduler::processRunningEntry(WorkerIndex index, const RunningEntry &entry, TimePoint sentAt)
{
    WorkerState &worker = *m_workers[index];
    const auto ref = findTask(entry.run.task);
    if (ref && ref->task().phase == TaskPhase::Waiting && !isFinal(ref->job->state) && !ref->job->isMoving
        && entry.run.attempt >= ref->task().attempt) {
        // Started by a former leader, or by us and the reply was lost.
        TaskState &task = ref->task();
        task.attempt = entry.run.attempt;
        task.isRunUnheard = false;
        task.startedAt = m_now;
        task.hasStartedUp = false;
        reserveResources(*ref, index);
        ++worker.adoptedRuns;
        if (task.trial && task.trial->attempt == task.attempt) {
            worker.trialJob = ref->job->key();
            worker.trialEndVersion = 0;
            worker.trialRisk = guiltEstimate(task.crashes);
            noteTrialOrdered(*ref);
        }
    }
    if (!ref || ref->task().worker != index || ref->task().attempt != entry.run.attempt
        || ref->task().phase == TaskPhase::Waiting || ref->task().phase == TaskPhase::Done) {
        worker.unknownRuns.insert(entry.run);
        m_log.write("unknown_run_stopped",
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
        m_port.stop(target(worker), entry.run, [](const OrderReply &) {}); // the next report shows whether it succeeded
        return;
    }
    TaskState &task = ref->task();
    task.lastReportNumber = worker.reportCount;
    task.isRunUnheard = task.isRunUnheard || !canFormerLeaderHear(worker, sentAt);
    task.isAccountedFor = task.isAccountedFor || task.isRunUnheard;
    task.gauge = entry.gauge;
    task.checkpoint = entry.checkpoint.empty() ? task.checkpoint : entry.checkpoint;
    if (task.phase == TaskPhase::Starting) {
        task.phase = TaskPhase::Running;
        task.hasBegun = true;
        task.openStarts = task.isAcknowledged || task.openStarts != 1 ? task.openStarts : 0; // it has been executed
    }
    if (!task.hasStartedUp && m_now - task.startedAt >= m_settings.crashes.startupTime) {
        task.hasStartedUp = true;
        onStartedUp(*ref);
    }
    if (task.phase == TaskPhase::Stopping) {
        if (m_now >= task.orderedAt + m_settings.callRetryDelay && !task.isStopAcknowledged) {
            sendStopOrder(*ref);
        }
        return;
    }
    const bool isIdle = entry.gauge == 0 && task.percent > 0 && !ref->spec().isLongRunning;
    if (!isIdle) {
        task.idleSince = {};
    } else if (task.idleSince == TimePoint{} || worker.reportGap >= m_settings.contactTimeout) {
        task.idleSince = m_now; // a report covers half a second only: nothing is known of a longer silence
    } else if (m_now - task.idleSince >= m_settings.hangTimeout) {
        task.avoidedWorker = index;
        updateHealth(worker, false, m_now);
        stopTask(*ref, "no CPU use within the hang timeout");
    }
}

void WorkflowScheduler::processEndedEntry(WorkerIndex index, const EndedEntry &entry)
{
    WorkerState &worker = *m_workers[index];
    const auto ref = findTask(entry.run.task);
    if (!ref) {
        const bool isOnlyShard
            = m_shardMap != nullptr && m_shardMap->shards.size() == 1; // false while the map is not known
        const bool mayHaveMoved = entry.how == RunEnd::Done && !isOnlyShard;
        worker.unacknowledgedEnds.push_back(
            {entry.sequence, {}, 0, mayHaveMoved ? std::optional(entry.run.task) : std::nullopt});
        return;
    }
    applyRunEnd(index, *ref, entry);
    worker.unacknowledgedEnds.push_back({entry.sequence, ref->job->key(), ref->job->version, std::nullopt});
}

/** Records a failed run. Each attempt number counts once, even if reported again; too many failures fail the job. */
void WorkflowScheduler::recordFailure(WorkerIndex index, const TaskRef &ref, const EndedEntry &entry)
{
    TaskState &task = ref.task();
    ++m_counters.failed;
    updateHealth(*m_workers[index], false, m_now);
    task.avoidedWorker = index;
    auto &failed = task.failedAttempts;
    if (std::find(failed.begin(), failed.end(), entry.run.attempt) == failed.end()) {
        failed.push_back(entry.run.attempt);
    }
    const std::uint32_t most = ref.job->accepted.maxFailures;
    logTaskEvent("run_failed",
                 ref,
                 "attempt",
                 entry.run.attempt,
                 "worker",
                 m_workers[index]->record.id,
                 "failures",
                 failed.size(),
                 "most",
                 most);
    if (ref.spec().isLongRunning) {
        failed.clear(); // a long-running task is restarted after any number of failures
    } else if (most > 0 && failed.size() >= most) {
        failJob(*ref.job, "a task has reached the failure limit");
    }
}

void WorkflowScheduler::applyRunEnd(WorkerIndex index, const TaskRef &ref, const EndedEntry &entry)
{
    TaskState &task = ref.task();
    WorkerState &worker = *m_workers[index];
    const bool isCurrent = task.worker == index && task.attempt == entry.run.attempt;
    const bool wasStopping = task.phase == TaskPhase::Stopping;
    if (isCurrent) {
        releaseAndRequeue(ref);
    }
    if (entry.how == RunEnd::Done || entry.how == RunEnd::Failed) {
        task.crashes.clear(); // it has run without a crash
        task.hasEverStartedUp = true;
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
        updateHealth(worker, true, m_now);
        if (!ref.spec().isLongRunning) {
            if (!isCurrent && task.phase != TaskPhase::Waiting) {
                stopTask(ref, "an earlier run has completed the task");
            }
            finishTask(ref, isCurrent);
        }
        break;
    case RunEnd::Failed:
        recordFailure(index, ref, entry);
        break;
    case RunEnd::LeaseExpired:
        ++m_counters.lost;
        logTaskEvent("run_lapsed", ref, "worker", worker.record.id);
        break;
    case RunEnd::Stopped:
    case RunEnd::GangMemberEnded:
    case RunEnd::GangIncomplete:
        if (!wasStopping) {
            logTaskEvent("run_ended", ref, "how", static_cast<int>(entry.how), "worker", worker.record.id);
        }
        break;
    }
    markDirty(*ref.job);
    m_isPlacementDue = true;
}

/**
 * Handles runs that the report does not list: undecided until a later report, never started, or lost. Only under full
 * authority are runs lost by a restart: a successor may have read them, and their ends, before the worker restarted.
 */
void WorkflowScheduler::resolveUnlistedRuns(WorkerIndex index, std::int64_t clockMs, bool isComplete, TimePoint sentAt)
{
    WorkerState &worker = *m_workers[index];
    if (worker.isNewIncarnation && m_authority != Authority::Full) {
        return;
    }
    const bool isNewIncarnation = std::exchange(worker.isNewIncarnation, false);
    const std::vector<TaskRef> runs = worker.runs;
    std::vector<LostRun> crashed = takeCrashedRuns(worker, worker.record.startedAtMs);
    if (isNewIncarnation && worker.hasCrashed) {
        for (const TaskRef &it : runs) {
            if (it.task().lastReportNumber != worker.reportCount && it.task().orderedAt < sentAt) {
                crashed.push_back(describeLostRun(it, worker.formerStartedAtMs, {}));
            }
        }
    }
    if ((isNewIncarnation && worker.hasCrashed) || !crashed.empty()) {
        recordCrash(index, crashed, worker.reportCount > 1);
        for (const LostRun &it : crashed) {
            endVerdictWait(it.run);
        }
    }
    for (const TaskRef &ref : runs) {
        TaskState &task = ref.task();
        if (task.worker != index || task.lastReportNumber == worker.reportCount || task.orderedAt >= sentAt) {
            continue;
        }
        if (isNewIncarnation) {
            ++m_counters.lost;
            logTaskEvent("run_lost", ref, "worker", worker.record.id, "why", "the worker has restarted");
            releaseAndRequeue(ref);
            continue;
        }
        const bool isAnswered = task.phase == TaskPhase::Stopping ? task.isStopAcknowledged : task.isAcknowledged;
        if (!isAnswered && task.phase != TaskPhase::Running) {
            if (task.phase == TaskPhase::Starting && task.isStartUnanswered) {
                continueUnansweredStart(ref);
            } else if (task.phase == TaskPhase::Starting && clockMs > task.validUntilMs + ClockMarginMs) {
                logTaskEvent("start_void", ref, "worker", worker.record.id);
                releaseAndRequeue(ref);
            } else if (task.phase == TaskPhase::Stopping && m_now >= task.orderedAt + m_settings.callRetryDelay) {
                sendStopOrder(ref);
            }
            continue;
        }
        if ((task.phase != TaskPhase::Running && task.answeredAt >= sentAt) || !isComplete) {
            continue;
        }
        if (task.phase != TaskPhase::Stopping) {
            ++m_counters.lost;
            logTaskEvent("run_vanished", ref, "worker", worker.record.id);
        }
        releaseAndRequeue(ref);
    }
}

/** Requeues all tasks of a worker on which certainly none of them runs any more. */
void WorkflowScheduler::requeueLostRuns(WorkerIndex index, std::string_view why)
{
    WorkerState &worker = *m_workers[index];
    if (!worker.runs.empty()) {
        m_log.write("runs_lost", "worker", worker.record.id, "runs", worker.runs.size(), "why", why);
    }
    const std::vector<TaskRef> runs = worker.runs;
    for (const TaskRef &ref : runs) {
        ++m_counters.lost;
        logTaskEvent("run_lost",
                     ref,
                     "attempt",
                     ref.task().attempt,
                     "worker",
                     worker.record.id,
                     "why",
                     why,
                     "ordered_ms_ago",
                     toMilliseconds(m_now - ref.task().orderedAt));
        const bool isUnresolved = !worker.unresolvedRuns.empty() && ref.task().phase != TaskPhase::Done;
        const std::optional<TaskTrial> trial = ref.task().trial;
        releaseAndRequeue(ref);
        if (isUnresolved && trial) {
            ref.task().trial = trial;
            ref.task().retryAt = m_now + m_settings.crashes.verdictTimeout;
        }
    }
    m_isPlacementDue = true;
}

/** Stops the tasks that should move to another worker. */
void WorkflowScheduler::evacuateDrainingWorker(WorkerIndex index, TimePoint now)
{
    WorkerState &worker = *m_workers[index];
    if (now < worker.nextEvacuationAt) {
        return;
    }
    worker.nextEvacuationAt = now + EvacuationInterval;
    const std::vector<TaskRef> runs = worker.runs;
    for (const TaskRef &ref : runs) {
        if (ref.task().phase != TaskPhase::Running || !mustLeaveDrainingWorker(ref, index, now)) {
            continue;
        }
        if (ref.spec().isLongRunning && !canRunElsewhere(ref, index, now)) {
            beginDeparture(ref, "the worker is draining");
        } else {
            stopTask(ref, "the worker is draining");
        }
    }
}

/**
 * Long-running tasks leave as soon as another worker can take them: until then they serve their users where they are. See
 * leaveDrainingWorkers() for those that only another shard can take.
 * Shortly before the worker shuts down, every task that loses nothing by a stop leaves. So do long-running ones that nobody
 * can take yet: a run that ends with its worker blocks the next start until its lease has expired, longer than drainMargin.
 */
bool WorkflowScheduler::mustLeaveDrainingWorker(const TaskRef &ref, WorkerIndex index, TimePoint now)
{
    if (now + m_settings.drainMargin >= m_workers[index]->leavesAt()) {
        return ref.spec().isLongRunning || ref.spec().isCheckpointed;
    }
    return ref.spec().isLongRunning && canRunElsewhere(ref, index, now);
}

void WorkflowScheduler::updateHealth(WorkerState &worker, bool hasSucceeded, TimePoint now)
{
    if (hasSucceeded) {
        worker.consecutiveFailures = 0;
        worker.quarantineTime = {};
        return;
    }
    if (++worker.consecutiveFailures < m_settings.quarantineAfterFailures || worker.isQuarantined(now)) {
        return;
    }
    worker.quarantineTime = worker.quarantineTime.count() == 0
                                ? m_settings.quarantineTime
                                : std::min(m_settings.maxQuarantineTime, worker.quarantineTime * 2);
    worker.quarantinedUntil = now + worker.quarantineTime;
    // After the quarantine, a single failure starts the next one.
    worker.consecutiveFailures = m_settings.quarantineAfterFailures - 1;
    m_log.write("worker_quarantined",
                "worker",
                worker.record.id,
                "for_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(worker.quarantineTime).count());
}

} // namespace QuetzalRock::Workflow
