/** WorkflowScheduler: stores job progress and the list of workers in use, conditional on still being the leader. */
#include <workflow/scheduler.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::size_t JobsPerChange = (MaxChangeEntries - 3) / 2; ///< each job takes a condition and a put
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
            m_dirtyGuests.insert(job.key());
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
    if (m_isStoring || now < m_nextStoreAt) {
        return;
    }
    if (m_workersDirty) {
        storeWorkers();
        return;
    }
    if (!m_dirtyGuests.empty()) {
        storeGivenTasks();
        return;
    }
    ShardStatus status = m_storedStatus;
    if (now >= m_nextStatusAt) {
        if (m_hasOtherShards && (m_unpromisedAt != now || m_unpromised.size() != m_workers.size())) {
            findUnpromisedResources(now);
        }
        status = shardStatus();
        if (m_settings.scarcity.enabled) {
            addScarcityStatus(status, now);
        }
        m_nextStatusAt = now + StatusCheckInterval;
    }
    const bool isPressureDue = now >= m_nextPressureStoreAt && m_pressure.hasNeighbours();
    if (m_storeQueue.readyCount() == 0 && status == m_storedStatus && !isPressureDue) {
        return;
    }
    StoreChange change;
    change.conditions.push_back({m_keys.leader, m_term.keyRevision});
    if (isPressureDue) {
        change.puts.push_back({m_keys.pressure, encodePressure(m_pressure.save()), 0});
        m_nextPressureStoreAt
            = now + (m_hasOtherShards ? m_settings.pressureShareInterval : m_settings.pressureStoreInterval);
    }
    if (status != m_storedStatus) {
        m_storedStatus = status;
        m_nextStatusAt = now + m_settings.statusInterval;
        ShardStatus stored = status;
        stored.inboxRevision = m_inbox.revision(); // a new inbox revision alone does not cause a write
        stored.writtenAtMs = m_settings.scarcity.enabled ? m_clock.wallNow().count() : 0;
        change.puts.push_back({m_keys.status, encodeStatus(stored), 0});
    }
    std::vector<WrittenJob> written = addProgress(change, now);
    if (change.puts.empty()) {
        return;
    }
    m_isStoring = true;
    m_nextStoreAt = now + m_settings.storeInterval;
    ++m_counters.writes;
    m_store.change(std::move(change),
                   ifAlive([this, written = std::move(written)](const StoreReply &it) { onStored(written, it); }));
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

/** Stores what is known of crashes under the tasks of one job that were given to this shard. */
void WorkflowScheduler::storeGivenTasks()
{
    const JobKey key = *m_dirtyGuests.begin();
    m_dirtyGuests.erase(m_dirtyGuests.begin());
    JobState *job = findJob(key);
    if (job == nullptr || !job->isGuest) {
        return;
    }
    StoreChange change;
    change.conditions.push_back({m_keys.leader, m_term.keyRevision});
    std::vector<TaskRef> refs;
    for (std::uint32_t s = 0; s < job->accepted.spec.steps.size(); ++s) {
        auto &tasks = job->occurrences.front().steps[s].tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            TaskState &it = tasks[i];
            const bool isSuspect = !it.crashes.empty() || it.trial || it.silentStart;
            if (!it.hasRecord || !(isSuspect || it.isSuspectInRecord) || refs.size() == GivenTasksPerChange) {
                continue;
            }
            it.isSuspectInRecord = isSuspect;
            const std::string record = givenTaskKey(m_keys, key, s, i);
            change.conditions.push_back({record, it.recordRevision});
            change.puts.push_back({record,
                                   encodeGivenTask({job->accepted,
                                                    s,
                                                    i,
                                                    it.attemptBase,
                                                    it.checkpoint,
                                                    it.moves,
                                                    it.crashes,
                                                    it.trial,
                                                    it.silentStart}),
                                   0});
            refs.push_back({job, 0, s, i});
        }
    }
    if (refs.empty() || isFinal(job->state)) {
        job->storedVersion = job->version;
        return;
    }
    m_isStoring = true;
    ++m_counters.writes;
    m_store.change(std::move(change), ifAlive([this, key, version = job->version, refs](const StoreReply &reply) {
                       m_isStoring = false;
                       if (findJob(key) == refs.front().job) {
                           onGivenTasksStored(refs, version, reply);
                       }
                   }));
}

void WorkflowScheduler::onGivenTasksStored(std::span<const TaskRef> refs,
                                           std::uint64_t version,
                                           const StoreReply &reply)
{
    JobState &job = *refs.front().job;
    if (reply.status == StoreStatus::Ok) {
        for (const TaskRef &it : refs) {
            it.task().recordRevision = std::max(it.task().recordRevision, reply.revision);
        }
        job.storedVersion = std::max(job.storedVersion, version);
        return;
    }
    m_dirtyGuests.insert(job.key());
    job.failedWrites += reply.status == StoreStatus::Conflict ? 0 : 1;
    m_nextStoreAt = m_clock.now() + m_settings.storeRetryDelay;
    for (const StoreItem &item : reply.items) { // of a conflict: also of an earlier write whose reply was lost
        m_isDeposed = m_isDeposed || (item.key == m_keys.leader && item.revision != m_term.keyRevision);
        for (const TaskRef &it : refs) {
            if (item.key == givenTaskKey(m_keys, job.key(), it.step, it.index)) {
                it.task().recordRevision = item.revision;
            }
        }
    }
}

void WorkflowScheduler::onStored(std::span<const WrittenJob> written, const StoreReply &reply)
{
    m_isStoring = false;
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
    m_storedStatus = {};
    m_nextStoreAt
        = m_clock.now() + (reply.status == StoreStatus::Conflict ? Duration::zero() : m_settings.storeRetryDelay);
    if (reply.status == StoreStatus::Conflict) {
        // Either another node leads, or an earlier write took effect although its reply was lost.
        const auto leader = std::find_if(
            reply.items.begin(), reply.items.end(), [this](const StoreItem &it) { return it.key == m_keys.leader; });
        if (leader == reply.items.end() || leader->revision != m_term.keyRevision) {
            m_isDeposed = true;
        }
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
    for (const StoreItem &it : reply.items) {
        if (it.key == std::string(ProgressPrefix) + key) {
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

/** Expects m_unpromised as of now: room that a task which waits here is going to take is not offered to other shards. */
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
            const bool isReserved = worker.reservedFor != nullptr && m_unpromisedAt < worker.reservedUntil;
            const std::int64_t free = isReserved ? 0 : m_unpromised[i].cpuMillis;
            ++status.workersByFreeCores[std::max<std::int64_t>(0, free) / 1000]; // negative: its capacity has shrunk
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
    status.backlogMs = queued.reserved / resolution * BacklogResolutionMs;
    status.bestEffortBacklogMs = queued.bestEffort / resolution * BacklogResolutionMs;
    if (m_hasOtherShards) {
        status.tolerance = bestEffortTolerance();
    }
    return status;
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
void WorkflowScheduler::storeWorkers()
{
    std::vector<KnownWorker> knownWorkers;
    std::set<WorkerId> ids;
    for (const auto &it : m_workers) {
        if (!it->isLeaving() || it->mustBeRead()) {
            knownWorkers.push_back({it->record.id, it->record.startedAtMs, it->record.address, it->record.pool});
            ids.insert(it->record.id);
        } else {
            m_storedWorkers.erase(it->record.id); // gets no starts until it is listed again
        }
    }
    StoreChange change;
    change.conditions = {{m_keys.leader, m_term.keyRevision}, {m_keys.workers, m_workersRevision}};
    change.puts = {{m_keys.workers, encodeWorkers(knownWorkers), 0}};
    m_isStoring = true;
    m_workersDirty = false;
    m_store.change(std::move(change), ifAlive([this, ids = std::move(ids)](const StoreReply &reply) {
                       m_isStoring = false;
                       if (reply.status == StoreStatus::Ok) {
                           m_workersRevision = reply.revision;
                           m_storedWorkers.insert(ids.begin(), ids.end());
                           m_isPlacementDue = true;
                           return;
                       }
                       m_workersDirty = true;
                       m_nextStoreAt = m_clock.now() + m_settings.storeRetryDelay;
                       for (const StoreItem &it : reply.items) {
                           if (it.key == m_keys.workers) {
                               m_workersRevision = it.revision;
                           } else if (it.key == m_keys.leader && it.revision != m_term.keyRevision) {
                               m_isDeposed = true;
                           }
                       }
                   }));
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

/** Removes jobs that ended more than finalJobRetention ago, a few at a time and only while no write is pending. */
void WorkflowScheduler::removeExpiredJobs(TimePoint now)
{
    if (m_isStoring || m_finalJobs.empty() || now < m_finalJobs.front().first + m_settings.finalJobRetention) {
        return;
    }
    StoreChange change;
    change.conditions.push_back({m_keys.leader, m_term.keyRevision});
    std::vector<JobKey> keys;
    JobKey partlyRemoved;
    while (!m_finalJobs.empty() && now >= m_finalJobs.front().first + m_settings.finalJobRetention) {
        const JobKey key = m_finalJobs.front().second;
        const JobState *job = findJob(key);
        if (job != nullptr && job->heldTasks > 0) {
            break;
        }
        const std::vector<std::string> removals = recordsOf(key);
        if (change.removals.size() + removals.size() > MaxRemovals) {
            // More tasks than one change can remove: the first ones, while the cancel is still stored.
            if (keys.empty()) {
                change.removals.assign(removals.begin(), removals.begin() + MaxRemovals);
                partlyRemoved = key;
            }
            break;
        }
        m_finalJobs.pop_front();
        keys.push_back(key);
        change.removals.insert(change.removals.end(), removals.begin(), removals.end());
    }
    if (change.removals.empty()) {
        return;
    }
    m_isStoring = true;
    const std::vector<std::string> removed = change.removals;
    m_store.change(std::move(change), ifAlive([this, keys, partlyRemoved, removed](const StoreReply &reply) {
                       m_isStoring = false;
                       if (reply.status == StoreStatus::Ok) {
                           forgetRecords(partlyRemoved, removed);
                       }
                       m_log.write("expired_jobs_removed", "jobs", keys.size(), "ok", reply.status == StoreStatus::Ok);
                       for (const JobKey &key : keys) {
                           if (reply.status == StoreStatus::Ok) {
                               m_jobs.erase(key);
                               m_storeQueue.forget(key);
                               m_storedRevisions.erase(key);
                           } else {
                               m_finalJobs.emplace_back(m_clock.now(), key);
                           }
                       }
                   }));
}

} // namespace QuetzalRock::Workflow
