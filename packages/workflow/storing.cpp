/** WorkflowScheduler: progress of jobs and the list of workers in use, written under the condition that we lead. */
#include <workflow/scheduler.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::size_t JobsPerChange = (MaxChangeEntries - 3) / 2; ///< each takes a condition and a put
constexpr std::int64_t BacklogGrainMs = 100;                      ///< finer changes are not worth a write
constexpr std::size_t DropsPerChange = 7;                         ///< each takes four removals

} // namespace

JobState *WorkflowScheduler::findJob(const JobKey &key)
{
    const auto it = m_jobs.find(key);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

void WorkflowScheduler::touch(JobState &job)
{
    ++job.version;
    if (m_isDirty.insert(job.key()).second) {
        m_dirty.push_back(job.key());
    }
}

void WorkflowScheduler::storeProgress(TimePoint now)
{
    if (m_isStoring || now < m_storeAt) {
        return;
    }
    if (m_workersDirty) {
        storeWorkers();
        return;
    }
    const ShardStatus status = now >= m_statusAt ? describe() : m_storedStatus;
    const bool isPressureDue = now >= m_pressureAt && m_counters.throttles > 0;
    if (m_dirty.empty() && status == m_storedStatus && !isPressureDue) {
        return;
    }
    StoreChange change;
    change.conditions.push_back({m_keys.leader, m_term.keyRevision});
    if (isPressureDue) {
        change.puts.push_back({m_keys.pressure, m_pressure.save(), 0});
        m_pressureAt = now + (m_hasSiblings ? m_settings.pressureShareEvery : m_settings.pressureEvery);
    }
    if (status != m_storedStatus) {
        m_storedStatus = status;
        m_statusAt = now + m_settings.statusEvery;
        ShardStatus stored = status;
        stored.inboxRevision = m_inbox.revision(); // alone no reason to write
        change.puts.push_back({m_keys.status, encodeStatus(stored), 0});
    }
    std::vector<std::pair<JobKey, std::uint64_t>> batch;
    std::vector<std::string> values;
    while (!m_dirty.empty() && batch.size() < JobsPerChange) {
        const JobKey key = m_dirty.front();
        m_dirty.pop_front();
        m_isDirty.erase(key);
        const JobState *job = findJob(key);
        if (job == nullptr || job->storedVersion == job->version) {
            continue;
        }
        const std::string stored = std::string(ProgressPrefix) + key;
        change.conditions.push_back({stored, m_storedRevisions[key]});
        values.push_back(encodeProgress(*job));
        change.puts.push_back({stored, values.back(), 0});
        batch.emplace_back(key, job->version);
    }
    if (change.puts.empty()) {
        return;
    }
    m_isStoring = true;
    m_storeAt = now + m_settings.storeEvery;
    ++m_counters.writes;
    m_store.change(std::move(change),
                   guard([this, batch = std::move(batch), values = std::move(values)](const StoreReply &it) {
                       onStored(batch, values, it);
                   }));
}

void WorkflowScheduler::onStored(const std::vector<std::pair<JobKey, std::uint64_t>> &batch,
                                 const std::vector<std::string> &values,
                                 const StoreReply &reply)
{
    m_isStoring = false;
    if (reply.status == StoreStatus::Ok) {
        for (const auto &[key, version] : batch) {
            m_storedRevisions[key] = reply.revision;
            if (JobState *job = findJob(key)) {
                job->storedVersion = std::max(job->storedVersion, version);
            }
        }
        return;
    }
    m_storedStatus = {};
    m_storeAt = m_clock.now() + (reply.status == StoreStatus::Conflict ? Duration::zero() : m_settings.storeRetry);
    if (reply.status == StoreStatus::Conflict) {
        // Either another leads, or an earlier write whose answer was lost had taken effect.
        const auto leader = std::find_if(
            reply.items.begin(), reply.items.end(), [this](const StoreItem &it) { return it.key == m_keys.leader; });
        if (leader == reply.items.end() || leader->revision != m_term.keyRevision) {
            m_isDeposed = true;
        }
    }
    for (std::size_t i = 0; i < batch.size(); ++i) {
        const auto &[key, version] = batch[i];
        JobState *job = findJob(key);
        for (const StoreItem &it : reply.items) {
            if (it.key == std::string(ProgressPrefix) + key) {
                m_storedRevisions[key] = it.revision;
                if (job != nullptr && it.value == values[i]) {
                    job->storedVersion = std::max(job->storedVersion, version);
                }
            }
        }
        if (job != nullptr && job->storedVersion < job->version && m_isDirty.insert(key).second) {
            m_dirty.push_back(key);
        }
    }
}

/** Of tasks that could start, were there room: processor millis x milliseconds. */
std::int64_t WorkflowScheduler::waitingWorkOf(const JobState &job) const
{
    std::int64_t work = 0;
    const auto &steps = job.occurrences.front().steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
        const StepSpec &spec = job.accepted.spec.steps[s];
        if (isOpen(job, 0, s) && !spec.isLasting) {
            const auto waiting = std::count_if(steps[s].tasks.begin(), steps[s].tasks.end(), [](const TaskState &it) {
                return it.phase == TaskPhase::Waiting;
            });
            work += waiting * spec.need.cpuMillis * spec.estimateMs;
        }
    }
    return work;
}

ShardStatus WorkflowScheduler::describe() const
{
    ShardStatus status;
    std::int64_t capacityMillis = 0;
    for (const auto &it : m_workers) {
        capacityMillis += it->isListed ? it->record.capacity.cpuMillis : 0;
    }
    std::int64_t waitingWork = 0; // processor millis x milliseconds
    for (const auto &[key, job] : m_active) {
        if (job->state == WorkflowState::Queued && job->heldTasks == 0) {
            ++status.pending[job->accepted.queue];
        }
        status.longRunningCpuMillis += longRunningCpuMillisOf(job->accepted.spec);
        waitingWork += waitingWorkOf(*job);
    }
    const std::int64_t backlogMs = waitingWork / std::max<std::int64_t>(1, capacityMillis);
    status.backlogMs = backlogMs - backlogMs % BacklogGrainMs;
    return status;
}

/** Written before the first order to a new worker, so that a successor knows whom to ask. */
void WorkflowScheduler::storeWorkers()
{
    std::vector<KnownWorker> known;
    std::set<WorkerId> ids;
    for (const auto &it : m_workers) {
        if (it->isListed || it->isUnresolved || !it->runs.empty()) {
            known.push_back({it->record.id, it->record.bornMs, it->record.address, it->record.pool});
            ids.insert(it->record.id);
        }
    }
    StoreChange change;
    change.conditions = {{m_keys.leader, m_term.keyRevision}, {m_keys.workers, m_workersRevision}};
    change.puts = {{m_keys.workers, encodeWorkers(known), 0}};
    m_isStoring = true;
    m_workersDirty = false;
    m_store.change(std::move(change), guard([this, ids = std::move(ids)](const StoreReply &reply) {
                       m_isStoring = false;
                       if (reply.status == StoreStatus::Ok) {
                           m_workersRevision = reply.revision;
                           m_durableWorkers.insert(ids.begin(), ids.end());
                           m_mustPlace = true;
                           return;
                       }
                       m_workersDirty = true;
                       m_storeAt = m_clock.now() + m_settings.storeRetry;
                       for (const StoreItem &it : reply.items) {
                           if (it.key == m_keys.workers) {
                               m_workersRevision = it.revision;
                           } else if (it.key == m_keys.leader && it.revision != m_term.keyRevision) {
                               m_isDeposed = true;
                           }
                       }
                   }));
}

/** Removes jobs that ended long ago; one change at a time, where nothing else waits to be written. */
void WorkflowScheduler::dropOldJobs(TimePoint now)
{
    if (m_isStoring || m_final.empty() || now < m_final.front().first + m_settings.keepFinal) {
        return;
    }
    StoreChange change;
    change.conditions.push_back({m_keys.leader, m_term.keyRevision});
    std::vector<JobKey> keys;
    while (!m_final.empty() && keys.size() < DropsPerChange && now >= m_final.front().first + m_settings.keepFinal) {
        const JobKey key = m_final.front().second;
        const JobState *job = findJob(key);
        if (job != nullptr && job->heldTasks > 0) {
            break;
        }
        m_final.pop_front();
        keys.push_back(key);
        for (const std::string &prefix :
             {std::string(RegistrationPrefix), m_keys.jobs, m_keys.cancels, std::string(ProgressPrefix)}) {
            change.removals.push_back(prefix + key);
        }
    }
    if (keys.empty()) {
        return;
    }
    m_isStoring = true;
    m_store.change(std::move(change), guard([this, keys](const StoreReply &reply) {
                       m_isStoring = false;
                       m_log.write("old_jobs_dropped", "jobs", keys.size(), "ok", reply.status == StoreStatus::Ok);
                       for (const JobKey &key : keys) {
                           if (reply.status == StoreStatus::Ok) {
                               m_jobs.erase(key);
                               m_storedRevisions.erase(key);
                           } else {
                               m_final.emplace_back(m_clock.now(), key);
                           }
                       }
                   }));
}

} // namespace QuetzalRock::Workflow
