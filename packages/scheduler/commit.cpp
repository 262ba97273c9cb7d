#include <scheduler/scheduler.h>

#include <algorithm>

namespace QuetzalRock {

bool ShardScheduler::tryAddRecord(const Record &record)
{
    return tryAddRecords({&record, 1});
}

/** Adds all of @p records, or none if they do not fit. In that case the batch is marked as full. */
bool ShardScheduler::tryAddRecords(std::span<const Record> records)
{
    std::vector<std::string> bytes;
    bytes.reserve(records.size());
    std::size_t size = 0;
    for (const Record &it : records) {
        bytes.push_back(encodeRecord(it));
        size += bytes.back().size();
    }
    if (size > m_log.maxBatchBytes()) {
        throw InvalidArgument("size",
                              "needs " + std::to_string(size) + " bytes; the limit for one write is "
                                  + std::to_string(m_log.maxBatchBytes()));
    }
    const bool isTooLong = m_batch.records.size() + records.size() > m_settings.maxRecordsPerAppend;
    if (m_batch.encodedSize + size > m_log.maxBatchBytes() || (isTooLong && !m_batch.records.empty())) {
        m_batch.isFull = true;
        return false;
    }
    m_batch.encodedSize += size;
    m_batch.records.insert(m_batch.records.end(), records.begin(), records.end());
    std::move(bytes.begin(), bytes.end(), std::back_inserter(m_batch.encodedRecords));
    return true;
}

void ShardScheduler::addEnds()
{
    while (m_batch.endCount < m_pendingEnds.size() && addEnd(m_pendingEnds[m_batch.endCount])) {
        ++m_batch.endCount;
    }
}

/** Adds the end of an attempt, together with the end of its job if this end completes or fails the job. */
bool ShardScheduler::addEnd(const AttemptEnded &end)
{
    const TaskId &task = end.attempt.task;
    const JobState *job = m_state.findJob(task.job);
    std::vector<Record> records = {end};
    if (job == nullptr || job->phase != JobPhase::Active || m_batch.endedJobs.contains(task.job)) {
        return tryAddRecords(records);
    }
    JobFinished finish{task.job, JobPhase::Active, {}, end.at};
    const std::uint32_t failures = job->tasks[task.index].failures + 1;
    const bool hasReachedFailureLimit
        = job->spec.kind == WorkloadKind::Batch && failures >= m_settings.maxFailuresPerTask;
    if (end.state == AttemptState::Finished) {
        const std::size_t finishedInBatch = m_batch.finishedTasks[task.job].size();
        finish.phase
            = job->doneCount + finishedInBatch + 1 == job->tasks.size() ? JobPhase::Succeeded : JobPhase::Active;
    } else if (end.state == AttemptState::Failed && hasReachedFailureLimit) {
        finish.phase = JobPhase::Failed;
        finish.reason = "task " + toString(task) + " failed " + std::to_string(failures) + " times; last: " + end.error;
    }
    if (finish.phase != JobPhase::Active) {
        records.emplace_back(finish);
    }
    if (!tryAddRecords(records)) {
        return false;
    }
    if (end.state == AttemptState::Finished) {
        m_batch.finishedTasks[task.job].insert(task.index);
    }
    if (finish.phase != JobPhase::Active) {
        m_batch.endedJobs.insert(task.job);
    }
    return true;
}

void ShardScheduler::addStops()
{
    while (m_batch.stopCount < m_pendingStops.size() && tryAddRecord(m_pendingStops[m_batch.stopCount])) {
        ++m_batch.stopCount;
    }
}

/** Plans each start, and all starts of a gang together. Starts that cannot be planned are returned to the engine. */
void ShardScheduler::addStarts(std::span<const StartDecision> starts, TimePoint now)
{
    std::map<JobId, std::vector<StartDecision>> gangs;
    std::vector<StartDecision> dropped;
    for (const StartDecision &it : starts) {
        const JobState *job = m_state.findJob(it.task.job);
        if (job != nullptr && job->spec.gang) {
            gangs[it.task.job].push_back(it);
        } else if (!planStarts({&it, 1}, now)) {
            dropped.push_back(it);
        }
    }
    for (const auto &[job, members] : gangs) {
        if (!planStarts(members, now)) {
            dropped.insert(dropped.end(), members.begin(), members.end());
        }
    }
    m_counters.abandonedStarts += dropped.size();
    for (const StartDecision &it : dropped) {
        m_engine.abandonStart(it.task);
    }
}

bool ShardScheduler::planStarts(std::span<const StartDecision> starts, TimePoint now)
{
    const std::map<WorkerId, Resources> previousResources = m_batch.plannedResources;
    std::vector<Record> records;
    std::vector<detail::PlannedStart> planned;
    bool canStartAll = true;
    for (const StartDecision &it : starts) {
        canStartAll = canStartAll && canStart(it, now);
        if (!canStartAll) {
            break;
        }
        const Resources &resources = m_state.findJob(it.task.job)->spec.resources;
        const AttemptId attempt{it.task, m_state.findTask(it.task)->lastAttempt + 1};
        m_batch.plannedResources[it.worker] += resources;
        records.emplace_back(AttemptAssigned{attempt, it.worker, resources, m_clock.wallNow(), it.reason});
        planned.push_back({attempt, it.worker});
    }
    if (!canStartAll || !tryAddStarts(records)) {
        m_batch.plannedResources = previousResources;
        return false;
    }
    m_batch.starts.insert(m_batch.starts.end(), planned.begin(), planned.end());
    return true;
}

bool ShardScheduler::tryAddStarts(std::span<const Record> records)
{
    try {
        return tryAddRecords(records);
    } catch (const InvalidArgument &it) {
        const JobId job = std::get<AttemptAssigned>(records.front()).attempt.task.job;
        m_unrunnableReasons[job] = std::string("the starts of its gang do not fit into one write: ") + it.what();
        return false;
    }
}

bool ShardScheduler::canStart(const StartDecision &start, TimePoint now)
{
    const JobState *job = m_state.findJob(start.task.job);
    const TaskState *task = m_state.findTask(start.task);
    if (task == nullptr || task->active || task->done) {
        return false;
    }
    if (job->phase != JobPhase::Active || m_batch.endedJobs.contains(start.task.job)) {
        return false;
    }
    if (!m_fleet.isReadyForStart(start.worker, now)) {
        return false;
    }
    const auto planned = m_batch.plannedResources.find(start.worker);
    const Resources plannedHere = planned == m_batch.plannedResources.end() ? Resources{} : planned->second;
    if (!m_fleet.hasCapacityFor(start.worker, plannedHere + job->spec.resources)) {
        ++m_counters.overcommitsRefused;
        return false;
    }
    return true;
}

/** Appends the batch. Returns true if it is durable. */
bool ShardScheduler::commit(TimePoint now)
{
    if (m_batch.records.empty()) {
        m_batch = {};
        return false;
    }
    detail::PlannedBatch batch = std::exchange(m_batch, {});
    try {
        m_log.append(batch.encodedRecords);
    } catch (const Unavailable &) {
        ++m_counters.failedAppends;
        backOffWrites(now);
        failBatch(batch, std::make_exception_ptr(NotRun("the platform does not accept writes", retryAfter(now))));
        return false;
    } catch (const OutcomeUnknown &) {
        ++m_counters.appendsInDoubt;
        m_inDoubtBatch = std::move(batch);
        m_inDoubtSince = now;
        m_nextResolve = now;
        resolveInDoubtBatch(now);
        return !m_inDoubtBatch;
    } catch (const Fenced &) {
        const auto error
            = std::make_exception_ptr(NotRun("another process now owns the shard", m_settings.writeRetryMin));
        failBatch(batch, error);
        throw;
    }
    applyBatch(batch, now);
    return true;
}

void ShardScheduler::applyBatch(const detail::PlannedBatch &batch, TimePoint now)
{
    m_isPlatformUnavailable = false;
    m_writeRetryDelay = Duration::zero();
    m_nextAppend = now + m_settings.appendEvery;
    m_isDecisionNeeded = true;
    m_fleet.confirmOwnership();
    ++m_counters.appends;
    m_counters.records += batch.records.size();
    m_counters.recordBytes += batch.encodedSize;
    m_pendingEnds.erase(m_pendingEnds.begin(), m_pendingEnds.begin() + static_cast<std::ptrdiff_t>(batch.endCount));
    m_pendingStops.erase(m_pendingStops.begin(), m_pendingStops.begin() + static_cast<std::ptrdiff_t>(batch.stopCount));
    for (const Record &it : batch.records) {
        applyRecord(it, now);
    }
    sendStarts(batch.starts);
    for (const auto &it : batch.completions) {
        it(nullptr);
    }
}

void ShardScheduler::applyRecord(const Record &record, TimePoint now)
{
    if (const auto *end = std::get_if<AttemptEnded>(&record)) {
        applyEnd(*end, now);
    } else if (const auto *cancel = std::get_if<JobCancelled>(&record)) {
        applyJobEnd(cancel->job, record, StopMode::Kill);
    } else if (const auto *finish = std::get_if<JobFinished>(&record)) {
        applyJobEnd(finish->job, record, StopMode::Kill);
    } else if (const auto *transfer = std::get_if<TransferInitiated>(&record)) {
        applyJobEnd(transfer->job, record, StopMode::Checkpoint);
    } else {
        m_state.apply(record);
    }
    if (const auto *submit = std::get_if<JobSubmitted>(&record)) {
        ++m_counters.submitted;
        if (m_isEngineLoaded) {
            m_engine.addJob(submit->spec, now);
        }
    }
    if (const auto *accepted = std::get_if<TransferAccepted>(&record)) {
        const JobState *job = m_state.findJob(accepted->spec.id);
        if (job != nullptr && m_isEngineLoaded) {
            restoreJob(*job, now);
        }
    }
}

void ShardScheduler::applyEnd(const AttemptEnded &end, TimePoint now)
{
    ++m_counters.ended;
    const TaskState *task = m_state.findTask(end.attempt.task);
    const WorkerId worker = task == nullptr ? WorkerId() : task->worker;
    m_state.apply(end);
    m_fleet.releaseAttempt(worker, end.attempt);
    if (m_isEngineLoaded) {
        m_engine.endAttempt(end.attempt.task, end.state, end.progress, now);
    }
}

/** Applies the end, cancellation or transfer of a job: removes its tasks from the engine and stops active attempts. */
void ShardScheduler::applyJobEnd(JobId id, const Record &record, StopMode mode)
{
    const JobState *job = m_state.findJob(id);
    if (job != nullptr) {
        removeFromEngine(*job);
        for (std::uint32_t i = 0; i < job->tasks.size(); ++i) {
            const TaskState &task = job->tasks[i];
            if (task.active) {
                m_fleet.stopAttempt(task.worker, {{id, i}, task.lastAttempt}, mode);
            }
        }
    }
    m_state.apply(record);
}

void ShardScheduler::sendStarts(const std::vector<detail::PlannedStart> &starts)
{
    for (const detail::PlannedStart &it : starts) {
        const JobState *job = m_state.findJob(it.attempt.task.job);
        const TaskState *task = m_state.findTask(it.attempt.task);
        if (task == nullptr || !task->active || task->lastAttempt != it.attempt.number) {
            continue;
        }
        ++m_counters.assigned;
        StartCommand command;
        command.attempt = it.attempt;
        command.kind = job->spec.kind;
        command.className = job->spec.className;
        command.resources = task->reserved;
        command.command = job->spec.command;
        command.checkpoint = task->checkpoint;
        m_fleet.startAttempt(it.worker, std::move(command));
    }
}

/** Call if @p batch was not written. Its ends and stops stay pending for the next batch; the rest is undone. */
void ShardScheduler::failBatch(const detail::PlannedBatch &batch, const std::exception_ptr &error)
{
    m_counters.abandonedStarts += batch.starts.size();
    for (const detail::PlannedStart &it : batch.starts) {
        m_engine.abandonStart(it.attempt.task);
    }
    m_counters.refused += batch.completions.size();
    for (const auto &it : batch.completions) {
        it(error);
    }
    m_isDecisionNeeded = true;
}

/** Finds out whether the batch in doubt was written. Until that is known, nothing else is written. */
void ShardScheduler::resolveInDoubtBatch(TimePoint now)
{
    if (!m_inDoubtBatch || now < m_nextResolve) {
        return;
    }
    bool isWritten = false;
    try {
        isWritten = m_log.resolve();
    } catch (const Fenced &) {
        const detail::PlannedBatch batch = std::move(*m_inDoubtBatch);
        m_inDoubtBatch.reset();
        const auto error
            = std::make_exception_ptr(NotRun("another process now owns the shard", m_settings.writeRetryMin));
        failBatch(batch, error);
        throw;
    } catch (const FencedInDoubt &) {
        reportInDoubtBatchAsUnknown();
        throw;
    } catch (const Error &) {
        backOffWrites(now);
        m_nextResolve = m_nextAppend;
        if (now - m_inDoubtSince >= m_settings.unresolvedWriteTimeout) {
            reportInDoubtBatchAsUnknown();
        }
        return;
    }
    detail::PlannedBatch batch = std::move(*m_inDoubtBatch);
    m_inDoubtBatch.reset();
    m_nextAppend = now + m_settings.appendEvery;
    if (batch.records.empty()) {
        return; // a snapshot: the state is the same whether it was written or not
    }
    if (isWritten) {
        applyBatch(batch, now);
        return;
    }
    failBatch(batch, std::make_exception_ptr(NotRun("the platform did not execute the write", retryAfter(now))));
}

void ShardScheduler::reportInDoubtBatchAsUnknown()
{
    if (!m_inDoubtBatch) {
        return;
    }
    for (const auto &it : m_inDoubtBatch->completions) {
        it(std::make_exception_ptr(
            OutcomeUnknown("the platform did not confirm whether the request was written; retry it")));
    }
    m_inDoubtBatch->completions.clear();
}

/** Delays the next write by an exponential back-off with jitter, so that shards do not all retry at the same time. */
void ShardScheduler::backOffWrites(TimePoint now)
{
    if (!m_isPlatformUnavailable) {
        m_isPlatformUnavailable = true;
        m_platformUnavailableSince = now;
    }
    const Duration doubled = std::max(m_writeRetryDelay * 2, m_settings.writeRetryMin);
    m_writeRetryDelay = std::min(doubled, m_settings.writeRetryMax);
    m_nextAppend = now + m_writeRetryDelay / 2 + jitter(m_writeRetryDelay / 2);
}

/** Call before any append: a full log accepts only a snapshot. */
void ShardScheduler::snapshotIfDue(TimePoint now)
{
    if (!canWrite(now) || !m_log.snapshotDue()) {
        return;
    }
    const std::string bytes = m_state.encode();
    try {
        m_log.snapshot(bytes);
    } catch (const Unavailable &) {
        backOffWrites(now);
        return;
    } catch (const OutcomeUnknown &) {
        m_inDoubtBatch.emplace();
        m_inDoubtSince = now;
        m_nextResolve = now;
        resolveInDoubtBatch(now);
        return;
    }
    ++m_counters.snapshots;
    m_counters.snapshotBytes = bytes.size();
}

} // namespace QuetzalRock
