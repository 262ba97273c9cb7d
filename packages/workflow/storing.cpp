/** WorkflowScheduler: stores job progress and the list of workers in use, conditional on still being the leader. */
#include <workflow/scheduler.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::size_t JobsPerChange = (MaxChangeEntries - 4) / 2; ///< each job takes a condition and a put
constexpr std::int64_t WaitResolutionMs = 500;                    ///< of ShardStatus::waitMs
constexpr std::int64_t BacklogResolutionMs = 100;                 ///< smaller changes do not cause a write
constexpr std::int64_t ImageBacklogResolutionMs = 20;             ///< the same by image: dozens of images share a shard
constexpr Duration StatusCheckInterval = std::chrono::milliseconds(100); ///< while the status does not change
constexpr std::size_t GivenTasksPerChange = (MaxChangeEntries - 1) / 2;  ///< each takes a condition and a put
constexpr std::size_t MaxRemovals = MaxChangeEntries - 1;                ///< beside the condition on the leader key
constexpr Duration LoggedStoreWait = std::chrono::seconds(1);            ///< of progress that waits to be stored
constexpr Duration StoreWaitLogInterval = std::chrono::seconds(5);

/** Adds the best-effort work of @p job that waits, in CPU millis x ms, by image. */
void addBacklogByImage(const JobState &job, CpuByImage &sums)
{
    for (std::size_t s = 0; s < job.accepted.spec.steps.size(); ++s) {
        const StepSpec &spec = job.accepted.spec.steps[s];
        const auto &tasks = job.occurrences.front().steps[s].tasks;
        const auto waiting = std::count_if(
            tasks.begin(), tasks.end(), [](const TaskState &it) { return it.phase == TaskPhase::Waiting; });
        if (spec.usesSpareCpu && waiting > 0) {
            sums[spec.image] += waiting * spec.need.cpuMillis * spec.estimateMs;
        }
    }
}

/** Adds the CPU declared by the long-running tasks of @p job that belong to this shard. */
void addOwnLongRunningCpu(const JobState &job, CpuByImage &sums)
{
    for (std::size_t s = 0; s < job.accepted.spec.steps.size(); ++s) {
        const StepSpec &spec = job.accepted.spec.steps[s];
        const auto &tasks = job.occurrences.front().steps[s].tasks;
        const auto own = std::count_if(
            tasks.begin(), tasks.end(), [](const TaskState &it) { return it.phase != TaskPhase::Foreign; });
        if (spec.isLongRunning && own > 0) {
            sums[spec.image] += own * spec.need.cpuMillis;
        }
    }
}

/**
 * Part of the CPU left to best-effort tasks that they are assumed to get at least: a forecast must not follow a measured
 * rate that is low because a few tasks wait for a label or an image's neighbours while the rest runs freely.
 */
constexpr double LeastServedShare = 0.5;

} // namespace

JobState *WorkflowScheduler::findJob(const JobKey &key)
{
    const auto it = m_jobs.find(key);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

void WorkflowScheduler::markDirty(JobState &job, StoreClass storeClass)
{
    if (job.isGuest) { // its progress is its own shard's, apart from what its GivenTask records hold
        job.version += job.hasCrashEvidence ? 1 : 0;
        if (job.hasCrashEvidence) {
            m_guestQueue.add(job.key(), std::min(storeClass, StoreClass::Evidence), m_clock.now());
        }
        return;
    }
    ++job.version;
    const StoreClass least = isFinal(job.state) ? StoreClass::Final : StoreClass::Progress;
    m_storeQueue.add(job.key(), std::min(storeClass, least), m_clock.now());
}

/** Logs a line once in a while as long as records wait for long. @p record: in the next write. */
void WorkflowScheduler::reportStoreWait(const StoreRecord &record, TimePoint now)
{
    Duration &longest = m_longestStoreWaits[static_cast<std::size_t>(record.storeClass)];
    longest = std::max(longest, now - record.since);
    if (now - record.since < LoggedStoreWait || now < m_nextStoreWaitLogAt) {
        return;
    }
    m_nextStoreWaitLogAt = now + StoreWaitLogInterval;
    const auto waits = std::exchange(m_longestStoreWaits, {});
    const auto longestMs
        = [&waits](StoreClass storeClass) { return toMilliseconds(waits[static_cast<std::size_t>(storeClass)]); };
    m_log.write("progress_waits",
                "shard",
                m_shard,
                "jobs",
                m_storeQueue.size(),
                "trial_ms",
                longestMs(StoreClass::Trial),
                "evidence_ms",
                longestMs(StoreClass::Evidence),
                "final_ms",
                longestMs(StoreClass::Final),
                "progress_ms",
                longestMs(StoreClass::Progress),
                "writes",
                m_counters.writes);
}

void WorkflowScheduler::storeProgress(TimePoint now)
{
    if (m_workersDirty && !m_isStoringWorkers && now >= m_nextWorkersAt) {
        storeWorkers(now);
    }
    if (!m_isStoringGivenTasks && now >= m_nextGivenTasksAt) {
        storeGivenTasks(now);
    }
    if (!m_isStoringStatus && now >= m_nextStatusCallAt) {
        storeStatusInDoubt(now);
    }
    if (mayStoreProgress(now)) {
        storeProgressOfJobs(now);
    }
}

/** A write of its own is worth its price beside others if it is full, or if something waits for one of its records. */
bool WorkflowScheduler::mayStoreProgress(TimePoint now) const
{
    const bool isAwaited = m_storeQueue.isAwaitedReady();
    const Duration interval = isAwaited ? m_settings.awaitedStoreInterval : m_settings.storeInterval;
    if (now < m_storeRetryAt || now < m_lastStoreAt + interval) {
        return false;
    }
    const std::size_t most
        = isAwaited ? m_settings.maxProgressWrites : m_settings.maxProgressWrites - m_settings.awaitedProgressWrites;
    const bool isWorthwhile = m_progressWrites == 0 || isAwaited || m_storeQueue.readyCount() >= JobsPerChange;
    return isWorthwhile && m_progressWrites < most;
}

/**
 * Reads the revision of the status if it is not known. After a write without an answer, writes the status alone: that write may
 * be executed first, and the conflict must not keep progress from being stored.
 */
void WorkflowScheduler::storeStatusInDoubt(TimePoint now)
{
    if (!m_statusRevision) {
        m_isStoringStatus = true;
        m_store.get(m_keys.status, ifAlive([this](const StoreReply &reply) { onStatusRead(reply); }));
        return;
    }
    if (!m_isStatusInDoubt) {
        return;
    }
    StoreChange change;
    change.conditions.push_back({m_keys.leader, m_term.keyRevision});
    if (addStatus(change, now)) {
        m_isStoringStatus = true;
        ++m_counters.writes;
        m_store.change(std::move(change), ifAlive([this](const StoreReply &reply) { onStatusStored(reply); }));
    }
}

void WorkflowScheduler::onStatusRead(const StoreReply &reply)
{
    m_isStoringStatus = false;
    if (reply.status == StoreStatus::Ok && !reply.items.empty()) {
        m_statusRevision = reply.items.front().revision;
    } else if (reply.status == StoreStatus::NotFound) {
        m_statusRevision = 0;
    } else {
        m_nextStatusCallAt = m_clock.now() + m_settings.storeRetryDelay;
    }
}

/** Also for a write that contains progress. */
void WorkflowScheduler::onStatusStored(const StoreReply &reply)
{
    m_isStoringStatus = false;
    if (reply.status == StoreStatus::Ok) {
        m_statusRevision = reply.revision;
        m_isStatusInDoubt = false; // a copy that is executed later meets another revision
        return;
    }
    m_storedStatus.reset();
    m_nextStatusCallAt = m_clock.now() + m_settings.storeRetryDelay;
    if (reply.status == StoreStatus::Conflict) {
        m_statusRevision.reset();
        bool isLeader = false;
        for (const StoreItem &it : reply.items) {
            isLeader = isLeader || (it.key == m_keys.leader && it.revision == m_term.keyRevision);
            m_statusRevision = it.key == m_keys.status ? it.revision : m_statusRevision;
        }
        m_isDeposed = m_isDeposed || !isLeader;
    } else if (reply.status != StoreStatus::NotExecuted) {
        m_statusRevision.reset();
        m_isStatusInDoubt = true;
    }
}

/**
 * Adds the shard's status, and its pressure model, if either is due; false: neither is. The status is written with each pressure
 * model, so that its revision guards both against writes that are executed late. Expects its revision to be known.
 */
bool WorkflowScheduler::addStatus(StoreChange &change, TimePoint now)
{
    const bool isPressureDue = now >= m_nextPressureStoreAt && m_pressure.hasNeighbours();
    ShardStatus status = m_storedStatus.value_or(ShardStatus{});
    if (now >= m_nextStatusAt || isPressureDue || !m_storedStatus) {
        if (m_hasOtherShards && (m_unpromisedAt != now || m_unpromised.size() != m_workers.size())) {
            findUnpromisedResources(now);
        }
        chooseOfferedShard(now);
        status = shardStatus();
        if (m_settings.scarcity.enabled) {
            addScarcityStatus(status, now);
        }
        m_nextStatusAt = now + StatusCheckInterval;
    }
    if (isPressureDue) {
        change.puts.push_back({m_keys.pressure, encodePressure(m_pressure.save()), 0});
        m_nextPressureStoreAt
            = now + (m_hasOtherShards ? m_settings.pressureShareInterval : m_settings.pressureStoreInterval);
    }
    if (!isPressureDue && status == m_storedStatus) {
        return false;
    }
    m_storedStatus = status;
    m_nextStatusAt = now + m_settings.statusInterval;
    status.inboxRevision = m_inbox.revision(); // a new inbox revision alone does not cause a write
    status.writtenAtMs = m_settings.scarcity.enabled ? m_clock.wallNow().count() : 0;
    change.conditions.push_back({m_keys.status, *m_statusRevision});
    change.puts.push_back({m_keys.status, encodeStatus(status), 0});
    return true;
}

void WorkflowScheduler::storeProgressOfJobs(TimePoint now)
{
    StoreChange change;
    change.conditions.push_back({m_keys.leader, m_term.keyRevision});
    const bool mayHaveStatus = !m_isStoringStatus && m_statusRevision && !m_isStatusInDoubt;
    const bool hasStatus = mayHaveStatus && addStatus(change, now);
    std::vector<WrittenJob> written = addProgress(change, now);
    if (change.puts.empty()) {
        return;
    }
    ++m_progressWrites;
    m_isStoringStatus = m_isStoringStatus || hasStatus;
    m_lastStoreAt = now;
    ++m_counters.writes;
    m_store.change(std::move(change), ifAlive([this, written = std::move(written), hasStatus](const StoreReply &it) {
                       onStored(written, hasStatus, it);
                   }));
}

/** Adds the records whose turn it is. */
std::vector<WorkflowScheduler::WrittenJob> WorkflowScheduler::addProgress(StoreChange &change, TimePoint now)
{
    std::vector<WrittenJob> written;
    for (const StoreRecord &it : m_storeQueue.take(JobsPerChange)) {
        const JobState *job = findJob(it.key);
        if (job == nullptr || job->storedVersion == job->version) {
            m_storeQueue.release(it.key);
            continue;
        }
        reportStoreWait(it, now);
        const std::string stored = std::string(ProgressPrefix) + it.key;
        written.push_back({it, job->version, encodeProgress(*job)});
        change.conditions.push_back({stored, m_storedRevisions[it.key]});
        change.puts.push_back({stored, written.back().progress, 0});
    }
    return written;
}

bool WorkflowScheduler::isInWrite(const JobKey &key) const
{
    return m_storeQueue.isInWrite(key) || m_guestQueue.isInWrite(key);
}

/** No write of progress or of GivenTask records takes the job until cancelReservation(). */
void WorkflowScheduler::reserveForWrite(const JobKey &key)
{
    m_storeQueue.reserve(key);
    m_guestQueue.reserve(key);
}

void WorkflowScheduler::cancelReservation(const JobKey &key)
{
    m_storeQueue.cancelReservation(key);
    m_guestQueue.cancelReservation(key);
}

/** Records of the job's tasks here that say something of crashes, or may; those stored least recently first. */
std::vector<WorkflowScheduler::GivenTaskRecord> WorkflowScheduler::listGivenTaskRecords(JobState &job) const
{
    std::vector<GivenTaskRecord> records;
    for (std::uint32_t s = 0; s < job.accepted.spec.steps.size(); ++s) {
        const auto &tasks = job.occurrences.front().steps[s].tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            const TaskState &it = tasks[i];
            const bool isSuspect = !it.crashes.empty() || it.trial || it.silentStart;
            if (it.hasRecord && (isSuspect || it.isSuspectInRecord)) {
                records.push_back({{&job, 0, s, i}, job.version, isSuspect});
            }
        }
    }
    std::stable_sort(records.begin(), records.end(), [](const GivenTaskRecord &a, const GivenTaskRecord &b) {
        return a.ref.task().recordVersion < b.ref.task().recordVersion;
    });
    return records;
}

/** Stores what is known of crashes under the tasks of one job that were given to this shard. */
void WorkflowScheduler::storeGivenTasks(TimePoint now)
{
    const std::vector<StoreRecord> next = m_guestQueue.take(1);
    if (next.empty()) {
        return;
    }
    const StoreRecord &record = next.front();
    JobState *job = findJob(record.key);
    std::vector<GivenTaskRecord> records;
    if (job != nullptr && job->isGuest) {
        records = listGivenTaskRecords(*job);
        if (records.empty() || isFinal(job->state)) {
            job->storedVersion = job->version;
            records.clear();
        }
    }
    if (records.empty()) {
        m_guestQueue.release(record.key);
        return;
    }
    records.resize(std::min(records.size(), GivenTasksPerChange));
    StoreChange change;
    change.conditions.push_back({m_keys.leader, m_term.keyRevision});
    for (const GivenTaskRecord &it : records) {
        TaskState &task = it.ref.task();
        task.isSuspectInRecord = task.isSuspectInRecord || it.isSuspect;
        const std::string key = givenTaskKey(m_keys, record.key, it.ref.step, it.ref.index);
        change.conditions.push_back({key, task.recordRevision});
        change.puts.push_back({key,
                               encodeGivenTask({job->accepted,
                                                it.ref.step,
                                                it.ref.index,
                                                task.attemptBase,
                                                task.checkpoint,
                                                task.moves,
                                                task.crashes,
                                                task.trial,
                                                task.silentStart,
                                                wallMsOf(longestWaitSince(*job, task))}),
                               0});
    }
    m_isStoringGivenTasks = true;
    m_nextGivenTasksAt = now + m_settings.awaitedStoreInterval;
    ++m_counters.writes;
    m_store.change(std::move(change), ifAlive([this, record, records](const StoreReply &reply) {
                       m_isStoringGivenTasks = false;
                       if (findJob(record.key) == records.front().ref.job) {
                           onGivenTasksStored(record, records, reply);
                       }
                       m_guestQueue.release(record.key);
                   }));
}

/** The job waits on if there was not room for all of its records; after a failure, behind those that wait now. */
void WorkflowScheduler::onGivenTasksStored(const StoreRecord &record,
                                           std::span<const GivenTaskRecord> records,
                                           const StoreReply &reply)
{
    JobState &job = *records.front().ref.job;
    const TimePoint now = m_clock.now();
    noteAnswer(reply);
    if (reply.status == StoreStatus::Ok) {
        for (const GivenTaskRecord &it : records) {
            TaskState &task = it.ref.task();
            task.recordRevision = std::max(task.recordRevision, reply.revision);
            task.recordVersion = it.version;
            task.isSuspectInRecord = it.isSuspect;
        }
        const std::vector<GivenTaskRecord> all = listGivenTaskRecords(job);
        const std::uint64_t written = records.front().version;
        const std::uint64_t oldest = all.empty() ? written : std::min(written, all.front().ref.task().recordVersion);
        job.storedVersion = std::max(job.storedVersion, oldest);
        if (oldest < written) {
            m_guestQueue.add(record.key, record.storeClass, record.since);
        }
        return;
    }
    job.failedWrites += reply.status == StoreStatus::Conflict ? 0 : 1;
    m_guestQueue.add(record.key, StoreClass::Evidence, now); // one that always conflicts would keep all others waiting
    m_nextGivenTasksAt = now + m_settings.storeRetryDelay;
    for (const StoreItem &item : reply.items) { // of a conflict: also of an earlier write whose reply was lost
        m_isDeposed = m_isDeposed || (item.key == m_keys.leader && item.revision != m_term.keyRevision);
        for (const GivenTaskRecord &it : records) {
            if (item.key == givenTaskKey(m_keys, job.key(), it.ref.step, it.ref.index)) {
                it.ref.task().recordRevision = item.revision;
            }
        }
    }
}

void WorkflowScheduler::noteAnswer(const StoreReply &reply)
{
    const bool isAnswered = reply.status == StoreStatus::Ok || reply.status == StoreStatus::Conflict;
    m_failedWrites = isAnswered ? 0 : m_failedWrites + 1;
}

void WorkflowScheduler::onStored(std::span<const WrittenJob> written, bool hasStatus, const StoreReply &reply)
{
    --m_progressWrites;
    noteAnswer(reply);
    if (hasStatus) {
        onStatusStored(reply);
    }
    if (reply.status == StoreStatus::Ok) {
        for (const WrittenJob &it : written) {
            m_storeQueue.release(it.record.key);
            m_storedRevisions[it.record.key] = reply.revision;
            if (JobState *job = findJob(it.record.key)) {
                job->storedVersion = std::max(job->storedVersion, it.version);
            }
        }
        return;
    }
    if (reply.status == StoreStatus::Conflict) {
        // Either another node leads, or an earlier write took effect although its reply was lost.
        const auto leader = std::find_if(
            reply.items.begin(), reply.items.end(), [this](const StoreItem &it) { return it.key == m_keys.leader; });
        if (leader == reply.items.end() || leader->revision != m_term.keyRevision) {
            m_isDeposed = true;
        }
    } else {
        m_storeRetryAt = m_clock.now() + m_settings.storeRetryDelay;
    }
    for (const WrittenJob &it : written) {
        onNotStored(it, reply);
    }
}

/** The record waits on, unless the conflict that @p reply reports shows it as stored by an earlier write. */
void WorkflowScheduler::onNotStored(const WrittenJob &written, const StoreReply &reply)
{
    const JobKey &key = written.record.key;
    JobState *job = findJob(key);
    bool isGone = reply.status == StoreStatus::Conflict && !m_isDeposed && m_storedRevisions[key] != 0;
    for (const StoreItem &it : reply.items) {
        if (it.key == std::string(ProgressPrefix) + key) {
            isGone = false;
            m_storedRevisions[key] = it.revision;
            if (job != nullptr && it.value == written.progress) {
                job->storedVersion = std::max(job->storedVersion, written.version);
            }
        }
    }
    if (job == nullptr) {
        m_storeQueue.release(key);
        return;
    }
    if (isGone && isFinal(job->state)) { // by a removal whose reply was lost: nothing of it is to be stored any more
        job->storedVersion = std::max(job->storedVersion, written.version);
    } else if (isGone) { // else each write with it would meet the same conflict
        m_log.write("progress_missing", "job", key, "revision", std::exchange(m_storedRevisions[key], 0));
    }
    job->failedWrites += reply.status == StoreStatus::Conflict ? 0 : 1;
    if (job->storedVersion < written.version) {
        m_storeQueue.giveBack(written.record);
    } else {
        m_storeQueue.release(key); // what has changed since waits already
    }
}

/** Adds the work of @p job that is not running, also that of later steps, and what throttles hold back of the rest. */
void WorkflowScheduler::addQueuedWork(const JobState &job, QueuedWork &sums) const
{
    const auto &steps = job.occurrences.front().steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
        const StepSpec &spec = job.accepted.spec.steps[s];
        if (spec.isLongRunning) {
            continue;
        }
        std::int64_t queuedPercent = 0;
        for (const TaskState &it : steps[s].tasks) {
            const bool isThrottled = it.phase == TaskPhase::Running || it.phase == TaskPhase::Starting;
            queuedPercent += it.phase == TaskPhase::Waiting ? 100 : isThrottled ? 100 - it.percent : 0;
        }
        std::int64_t &sum = spec.usesSpareCpu ? sums.bestEffort : sums.reserved;
        sum += queuedPercent * spec.need.cpuMillis * spec.estimateMs / 100;
    }
}

/**
 * Expects m_unpromised as of now: room that a task which waits here is going to take is not offered to other shards, nor is
 * that of workers whose runs this leader does not know yet.
 */
ShardStatus WorkflowScheduler::shardStatus() const
{
    ShardStatus status;
    std::int64_t capacityMillis = 0;
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState &worker = *m_workers[i];
        if (worker.isRegistered) {
            capacityMillis += worker.record.capacity.cpuMillis;
        }
        if (m_hasOtherShards && worker.isRegistered && worker.record.condition == WorkerCondition::Ready) {
            // What is reserved for a long-running task was taken off m_unpromised.
            const bool isReserved = worker.reservedFor != nullptr && m_unpromisedAt < worker.reservedUntil
                                    && !hasLongRunningStep(worker.reservedFor->accepted.spec);
            const bool areRunsKnown = worker.hasReported && worker.unknownRuns.empty();
            const std::int64_t free = isReserved || !areRunsKnown ? 0 : m_unpromised[i].cpuMillis;
            ++status.workersByFreeCpu[std::max<std::int64_t>(0, free)]; // negative: its capacity has shrunk
        }
    }
    QueuedWork queued;
    for (const auto &[key, job] : m_activeJobs) {
        if (job->state == WorkflowState::Queued && job->heldTasks == 0) {
            ++status.pending[job->accepted.queue];
        }
        addOwnLongRunningCpu(*job, status.longRunningByImage);
        addQueuedWork(*job, queued);
    }
    for (const auto &[image, millis] : status.longRunningByImage) {
        status.longRunningCpuMillis += millis;
    }
    const std::int64_t resolution = BacklogResolutionMs * std::max<std::int64_t>(1, capacityMillis);
    status.longRunningWaits = m_longRunningWaits;
    status.offeredTo = m_offeredTo;
    status.backlogMs = queued.reserved / resolution * BacklogResolutionMs;
    status.bestEffortBacklogMs = queued.bestEffort / resolution * BacklogResolutionMs;
    if (m_hasOtherShards) {
        status.tolerance = bestEffortTolerance();
        addWaits(status, m_clock.now());
    }
    return status;
}

/** Adds how long tasks have found no room. Jobs that are on their way to another shard do not count. */
void WorkflowScheduler::addWaits(ShardStatus &status, TimePoint now) const
{
    for (const JobState *job : m_jobOrder) {
        const TimePoint since = noRoomSince(*job);
        if (since == TimePoint::max() || job->isCancelled || job->isMoving || hasLongRunningStep(job->accepted.spec)) {
            continue;
        }
        const auto &steps = job->accepted.spec.steps;
        const bool isBestEffort
            = std::any_of(steps.begin(), steps.end(), [](const StepSpec &it) { return it.usesSpareCpu; });
        std::int64_t &wait = isBestEffort ? status.bestEffortWaitMs : status.waitMs;
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
        wait = std::max(wait, ms / WaitResolutionMs * WaitResolutionMs);
    }
}

/** CPU that the shard's serving tasks leave to best-effort tasks, in core-milliseconds per second. */
std::int64_t WorkflowScheduler::bestEffortCapacity() const
{
    std::int64_t sum = 0;
    for (const auto &it : m_workers) {
        if (it->isRegistered && it->record.condition == WorkerCondition::Ready) {
            Candidate worker;
            worker.capacityMillis = it->record.capacity.cpuMillis;
            worker.reservedMillis = it->reserved.cpuMillis;
            worker.longRunningMillis = it->longRunningCpuMillis;
            sum += std::max<std::int64_t>(0, expectedIdleMillis(m_settings.placement, worker));
        }
    }
    return sum;
}

/** Adds the waiting best-effort work of @p job, unless the job ends too late anyway. */
void WorkflowScheduler::addUsefulQueuedWork(const JobState &job,
                                            std::int64_t wallMs,
                                            ShardStatus &status,
                                            TimePoint now) const
{
    if (job.isCancelled || job.isGuest || rankOf(job, wallMs, now).outlook == DeadlineOutlook::TooLate) {
        return;
    }
    std::int64_t work = 0;
    const auto &steps = job.occurrences.front().steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
        const StepSpec &spec = job.accepted.spec.steps[s];
        if (spec.usesSpareCpu) {
            const auto waiting = std::count_if(steps[s].tasks.begin(), steps[s].tasks.end(), [](const TaskState &it) {
                return it.phase == TaskPhase::Waiting;
            });
            work += stepWork(spec, static_cast<std::uint32_t>(waiting));
        }
    }
    if (work > 0) {
        status.bestEffortQueued[job.accepted.priority][workBucket(jobWork(job.accepted.spec))] += work;
    }
}

void WorkflowScheduler::addScarcityStatus(ShardStatus &status, TimePoint now)
{
    const std::int64_t wallMs = m_clock.wallNow().count();
    bool isWithoutRoom = false;
    for (const auto &[key, job] : m_activeJobs) {
        addUsefulQueuedWork(*job, wallMs, status, now);
        isWithoutRoom = isWithoutRoom || hasBestEffortTaskWithoutRoom(*job);
        addBacklogByImage(*job, status.bestEffortBacklogByImage);
    }
    std::int64_t capacityMillis = 0;
    for (const auto &it : m_workers) {
        capacityMillis += it->isRegistered ? it->record.capacity.cpuMillis : 0;
    }
    const std::int64_t imageResolution = ImageBacklogResolutionMs * std::max<std::int64_t>(1, capacityMillis);
    for (auto &[image, work] : status.bestEffortBacklogByImage) {
        work = work / imageResolution * ImageBacklogResolutionMs;
    }
    m_bestEffortRate.setWaiting(isWithoutRoom, now);
    const std::int64_t capacity = bestEffortCapacity();
    const std::int64_t resolution = std::max<std::int64_t>(1, capacity * BacklogResolutionMs / 1000);
    for (auto &[priority, buckets] : status.bestEffortQueued) {
        for (auto &[bucket, work] : buckets) {
            work = work / resolution * resolution;
        }
    }
    const std::int64_t measured = m_bestEffortRate.perSecond(now);
    const auto assumed = static_cast<std::int64_t>(LeastServedShare * static_cast<double>(capacity));
    status.bestEffortRate = measured > 0 ? std::max(measured, assumed) / 1000 * 1000 : 0;
}

/**
 * Stores the list of workers that a successor has to read: new ones before the first order to them, leaving ones until
 * nothing runs there any more.
 */
void WorkflowScheduler::storeWorkers(TimePoint now)
{
    std::vector<KnownWorker> knownWorkers;
    std::set<WorkerId> ids;
    for (const auto &it : m_workers) {
        if (!it->isLeaving() || it->mustBeRead()) {
            std::uint64_t &listedSince = m_listedSince.emplace(it->record.id, m_term.epoch).first->second;
            if (listedSince == 0 && m_formerLeaders.empty()) {
                listedSince = m_term.epoch;
            }
            knownWorkers.push_back({it->record.id,
                                    it->record.startedAtMs,
                                    it->record.address,
                                    it->record.pool,
                                    listedSince,
                                    it->isSettled() ? it->settledStartedAtMs : 0});
            ids.insert(it->record.id);
        } else {
            m_storedWorkers.erase(it->record.id); // gets no starts until it is listed again
            m_listedSince.erase(it->record.id);
        }
    }
    StoreChange change;
    change.conditions = {{m_keys.leader, m_term.keyRevision}, {m_keys.workers, m_workersRevision}};
    change.puts = {{m_keys.workers, encodeWorkers(knownWorkers), 0}};
    m_isStoringWorkers = true;
    m_workersDirty = false;
    if (std::find(m_possibleLists.begin(), m_possibleLists.end(), ids) == m_possibleLists.end()) {
        m_possibleLists.push_back(ids);
    }
    m_nextWorkersAt = now + m_settings.storeInterval;
    m_store.change(std::move(change),
                   ifAlive([this, ids = std::move(ids)](const StoreReply &reply) { onWorkersStored(ids, reply); }));
}

void WorkflowScheduler::onWorkersStored(const std::set<WorkerId> &ids, const StoreReply &reply)
{
    m_isStoringWorkers = false;
    if (reply.status == StoreStatus::Ok) {
        m_workersRevision = reply.revision;
        m_storedWorkers.insert(ids.begin(), ids.end());
        m_possibleLists = {ids};
        m_isPlacementDue = true;
        return;
    }
    m_workersDirty = true;
    m_nextWorkersAt = m_clock.now() + m_settings.storeRetryDelay;
    for (const StoreItem &it : reply.items) {
        if (it.key == m_keys.workers) {
            m_workersRevision = it.revision;
        } else if (it.key == m_keys.leader && it.revision != m_term.keyRevision) {
            m_isDeposed = true;
        }
    }
}

/** The stored records of a job that has ended, in the order in which they may be removed. */
std::vector<std::string> WorkflowScheduler::recordsOf(const JobKey &key)
{
    std::vector<std::string> records;
    const JobState *job = findJob(key);
    for (std::uint32_t s = 0; job != nullptr && s < job->accepted.spec.steps.size(); ++s) {
        const auto &tasks = job->occurrences.front().steps[s].tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            if (tasks[i].hasRecord) {
                records.push_back(givenTaskKey(m_keys, key, s, i));
            }
        }
    }
    records.push_back(m_keys.cancels + key);
    if (job == nullptr || !job->isGuest) {
        for (const std::string &prefix : {std::string(RegistrationPrefix), m_keys.jobs, std::string(ProgressPrefix)}) {
            records.push_back(prefix + key);
        }
    }
    return records;
}

/** Whether nothing of a job that has ended is to be stored, or in a write. */
bool WorkflowScheduler::isSettled(const JobKey &key)
{
    const JobState *job = findJob(key);
    return job == nullptr || (job->heldTasks == 0 && job->storedVersion == job->version && !isInWrite(key));
}

/** Removes jobs that ended more than finalJobRetention ago, a few at a time. */
void WorkflowScheduler::removeExpiredJobs(TimePoint now)
{
    const TimePoint endedBy = now - m_settings.finalJobRetention;
    if (m_isRemovingJobs || now < m_nextRemovalAt || m_finalJobs.empty() || endedBy < m_finalJobs.front().first) {
        return;
    }
    StoreChange change;
    change.conditions.push_back({m_keys.leader, m_term.keyRevision});
    std::vector<JobKey> keys;
    JobKey partlyRemoved;
    while (!m_finalJobs.empty() && endedBy >= m_finalJobs.front().first) {
        const JobKey key = m_finalJobs.front().second;
        if (!isSettled(key)) {
            break;
        }
        const std::vector<std::string> removals = recordsOf(key);
        if (change.removals.size() + removals.size() > MaxRemovals) {
            // More tasks than one change can remove: the first ones, while the cancel is still stored.
            if (keys.empty()) {
                change.removals.assign(removals.begin(), removals.begin() + MaxRemovals);
                partlyRemoved = key;
                reserveForWrite(key);
            }
            break;
        }
        m_finalJobs.pop_front();
        keys.push_back(key);
        reserveForWrite(key);
        change.removals.insert(change.removals.end(), removals.begin(), removals.end());
    }
    if (change.removals.empty()) {
        return;
    }
    m_isRemovingJobs = true;
    m_nextRemovalAt = now + m_settings.storeInterval;
    const std::vector<std::string> removed = change.removals;
    m_store.change(std::move(change), ifAlive([this, keys, partlyRemoved, removed](const StoreReply &reply) {
                       if (reply.status == StoreStatus::Ok) {
                           forgetRecords(partlyRemoved, removed);
                       } else {
                           m_nextRemovalAt = m_clock.now() + m_settings.storeRetryDelay;
                       }
                       cancelReservation(partlyRemoved);
                       onExpiredJobsRemoved(keys, reply.status == StoreStatus::Ok);
                   }));
}

void WorkflowScheduler::onExpiredJobsRemoved(std::span<const JobKey> keys, bool areRemoved)
{
    m_isRemovingJobs = false;
    m_log.write("expired_jobs_removed", "jobs", keys.size(), "ok", areRemoved);
    for (const JobKey &key : keys) {
        cancelReservation(key);
        if (areRemoved) {
            m_jobs.erase(key);
            m_storeQueue.forget(key);
            m_guestQueue.forget(key);
            m_storedRevisions.erase(key);
        } else {
            m_finalJobs.emplace_back(m_clock.now(), key);
        }
    }
}

StoreBacklogs WorkflowScheduler::storeBacklogs() const
{
    return m_storeQueue.backlogs();
}

std::size_t WorkflowScheduler::writesInFlight() const
{
    return m_progressWrites;
}

} // namespace QuetzalRock::Workflow
