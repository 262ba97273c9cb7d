#include <scheduler/scheduler.h>

#include <algorithm>

namespace QuetzalRock {

bool ShardScheduler::tryAdd(const Record &record)
{
    return tryAddAll({&record, 1});
}

/** Adds all of @p records or none; none means that the batch is full and the rest waits for the next one. */
bool ShardScheduler::tryAddAll(std::span<const Record> records)
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
                              "takes " + std::to_string(size) + " bytes; one write takes "
                                  + std::to_string(m_log.maxBatchBytes()));
    }
    const bool isTooLong = m_batch.records.size() + records.size() > m_settings.maxRecordsPerAppend;
    if (m_batch.size + size > m_log.maxBatchBytes() || (isTooLong && !m_batch.records.empty())) {
        m_batch.isFull = true;
        return false;
    }
    m_batch.size += size;
    m_batch.records.insert(m_batch.records.end(), records.begin(), records.end());
    std::move(bytes.begin(), bytes.end(), std::back_inserter(m_batch.bytes));
    return true;
}

void ShardScheduler::addEnds()
{
    while (m_batch.endCount < m_ends.size() && addEnd(m_ends[m_batch.endCount])) {
        ++m_batch.endCount;
    }
}

/** Adds the end of an attempt, and in the same batch that of its job where this was the last one open. */
bool ShardScheduler::addEnd(const AttemptEnded &end)
{
    const TaskId &task = end.attempt.task;
    const JobState *job = m_state.findJob(task.job);
    std::vector<Record> records = {end};
    if (job == nullptr || job->phase != JobPhase::Active || m_batch.endedJobs.contains(task.job)) {
        return tryAddAll(records);
    }
    JobFinished finish{task.job, JobPhase::Active, {}, end.at};
    const std::uint32_t failures = job->tasks[task.index].failures + 1;
    const bool isGivenUp = job->spec.kind == WorkloadKind::Batch && failures >= m_settings.maxFailuresPerTask;
    if (end.state == AttemptState::Finished) {
        const std::size_t before = m_batch.finishedTasks[task.job].size();
        finish.phase = job->doneCount + before + 1 == job->tasks.size() ? JobPhase::Succeeded : JobPhase::Active;
    } else if (end.state == AttemptState::Failed && isGivenUp) {
        finish.phase = JobPhase::Failed;
        finish.reason = "task " + toString(task) + " failed " + std::to_string(failures) + " times; last: " + end.error;
    }
    if (finish.phase != JobPhase::Active) {
        records.emplace_back(finish);
    }
    if (!tryAddAll(records)) {
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
    while (m_batch.stopCount < m_stops.size() && tryAdd(m_stops[m_batch.stopCount])) {
        ++m_batch.stopCount;
    }
}

/** Plans each start, those of a gang together; what cannot be planned goes back to the engine. */
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
    const std::map<WorkerId, Resources> roomBefore = m_batch.plannedRoom;
    std::vector<Record> records;
    std::vector<detail::PlannedStart> planned;
    bool isPossible = true;
    for (const StartDecision &it : starts) {
        isPossible = isPossible && canStart(it, now);
        if (!isPossible) {
            break;
        }
        const Resources &resources = m_state.findJob(it.task.job)->spec.resources;
        const AttemptId attempt{it.task, m_state.findTask(it.task)->lastAttempt + 1};
        m_batch.plannedRoom[it.worker] += resources;
        records.emplace_back(AttemptAssigned{attempt, it.worker, resources, m_clock.wallNow(), it.reason});
        planned.push_back({attempt, it.worker});
    }
    if (!isPossible || !tryAddStarts(records)) {
        m_batch.plannedRoom = roomBefore;
        return false;
    }
    m_batch.starts.insert(m_batch.starts.end(), planned.begin(), planned.end());
    return true;
}

bool ShardScheduler::tryAddStarts(std::span<const Record> records)
{
    try {
        return tryAddAll(records);
    } catch (const InvalidArgument &it) {
        const JobId job = std::get<AttemptAssigned>(records.front()).attempt.task.job;
        m_unrunnable[job] = std::string("its gang cannot be assigned at once: ") + it.what();
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
    const auto planned = m_batch.plannedRoom.find(start.worker);
    const Resources already = planned == m_batch.plannedRoom.end() ? Resources{} : planned->second;
    if (!m_fleet.hasRoom(start.worker, already + job->spec.resources)) {
        ++m_counters.overcommitsRefused;
        return false;
    }
    return true;
}

/** Appends the batch; true where it is durable now. */
bool ShardScheduler::commit(TimePoint now)
{
    if (m_batch.records.empty()) {
        m_batch = {};
        return false;
    }
    detail::PlannedBatch batch = std::exchange(m_batch, {});
    try {
        m_log.append(batch.bytes);
    } catch (const Unavailable &) {
        ++m_counters.appendsNotTaken;
        noteOutage(now);
        failBatch(batch, std::make_exception_ptr(NotRun("the platform does not take writes", retryAfter(now))));
        return false;
    } catch (const OutcomeUnknown &) {
        ++m_counters.appendsInDoubt;
        m_doubt = std::move(batch);
        m_doubtSince = now;
        m_nextResolve = now;
        settleDoubt(now);
        return !m_doubt;
    } catch (const Fenced &) {
        const auto error
            = std::make_exception_ptr(NotRun("another process owns the shard now", m_settings.outageRetryMin));
        failBatch(batch, error);
        throw;
    }
    applyBatch(batch, now);
    return true;
}

void ShardScheduler::applyBatch(const detail::PlannedBatch &batch, TimePoint now)
{
    m_isAway = false;
    m_outageRetry = Duration::zero();
    m_nextAppend = now + m_settings.appendEvery;
    m_isDirty = true;
    m_fleet.proveOwnership();
    ++m_counters.appends;
    m_counters.records += batch.records.size();
    m_counters.recordBytes += batch.size;
    m_ends.erase(m_ends.begin(), m_ends.begin() + static_cast<std::ptrdiff_t>(batch.endCount));
    m_stops.erase(m_stops.begin(), m_stops.begin() + static_cast<std::ptrdiff_t>(batch.stopCount));
    for (const Record &it : batch.records) {
        applyRecord(it, now);
    }
    sendStarts(batch.starts);
    for (const auto &it : batch.answers) {
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
    } else if (const auto *given = std::get_if<TransferGiven>(&record)) {
        applyJobEnd(given->job, record, StopMode::Checkpoint);
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

/** A job is over here: nothing of it starts again, and what runs is stopped. */
void ShardScheduler::applyJobEnd(JobId id, const Record &record, StopMode mode)
{
    const JobState *job = m_state.findJob(id);
    if (job != nullptr) {
        dropFromEngine(*job);
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

/** Nothing of @p batch was written: its ends and stops wait on, the rest is undone. */
void ShardScheduler::failBatch(const detail::PlannedBatch &batch, const std::exception_ptr &error)
{
    m_counters.abandonedStarts += batch.starts.size();
    for (const detail::PlannedStart &it : batch.starts) {
        m_engine.abandonStart(it.attempt.task);
    }
    m_counters.refused += batch.answers.size();
    for (const auto &it : batch.answers) {
        it(error);
    }
    m_isDirty = true;
}

/** Asks whether the write in doubt took effect. Nothing else is written before that is known. */
void ShardScheduler::settleDoubt(TimePoint now)
{
    if (!m_doubt || now < m_nextResolve) {
        return;
    }
    bool isWritten = false;
    try {
        isWritten = m_log.resolve();
    } catch (const Fenced &) {
        const detail::PlannedBatch batch = std::move(*m_doubt);
        m_doubt.reset();
        const auto error
            = std::make_exception_ptr(NotRun("another process owns the shard now", m_settings.outageRetryMin));
        failBatch(batch, error);
        throw;
    } catch (const FencedInDoubt &) {
        answerDoubtUnknown();
        throw;
    } catch (const Error &) {
        noteOutage(now);
        m_nextResolve = m_nextAppend;
        if (now - m_doubtSince >= m_settings.unresolvedWriteTimeout) {
            answerDoubtUnknown();
        }
        return;
    }
    detail::PlannedBatch batch = std::move(*m_doubt);
    m_doubt.reset();
    m_nextAppend = now + m_settings.appendEvery;
    if (batch.records.empty()) {
        return; // a snapshot: written or not, the state is what it was
    }
    if (isWritten) {
        applyBatch(batch, now);
        return;
    }
    failBatch(batch, std::make_exception_ptr(NotRun("the platform lost the write", retryAfter(now))));
}

void ShardScheduler::answerDoubtUnknown()
{
    if (!m_doubt) {
        return;
    }
    for (const auto &it : m_doubt->answers) {
        it(std::make_exception_ptr(
            OutcomeUnknown("the platform has not said whether it was written; submit it again")));
    }
    m_doubt->answers.clear();
}

/** The next attempt to write is later each time, and jittered, so that shards do not return all at once. */
void ShardScheduler::noteOutage(TimePoint now)
{
    if (!m_isAway) {
        m_isAway = true;
        m_awaySince = now;
    }
    const Duration doubled = std::max(m_outageRetry * 2, m_settings.outageRetryMin);
    m_outageRetry = std::min(doubled, m_settings.outageRetryMax);
    m_nextAppend = now + m_outageRetry / 2 + jitter(m_outageRetry / 2);
}

/** Before any append: a log that is full takes nothing else. */
void ShardScheduler::snapshotIfDue(TimePoint now)
{
    if (!canWrite(now) || !m_log.snapshotDue()) {
        return;
    }
    const std::string bytes = m_state.encode();
    try {
        m_log.snapshot(bytes);
    } catch (const Unavailable &) {
        noteOutage(now);
        return;
    } catch (const OutcomeUnknown &) {
        m_doubt.emplace();
        m_doubtSince = now;
        m_nextResolve = now;
        settleDoubt(now);
        return;
    }
    ++m_counters.snapshots;
    m_counters.snapshotBytes = bytes.size();
}

} // namespace QuetzalRock
