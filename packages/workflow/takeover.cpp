/** WorkflowScheduler: what a new leader reads before it decides anything. */
#include <workflow/scheduler.h>

#include <base/errors.h>

namespace QuetzalRock::Workflow {

namespace {

constexpr Duration LoadRetry = std::chrono::milliseconds(200);
constexpr Duration LeaseMargin = std::chrono::milliseconds(100);    ///< for orders under way
constexpr Duration AskFormerEvery = std::chrono::milliseconds(700); ///< while a worker cannot be read

} // namespace

WorkflowScheduler::WorkflowScheduler(const WorkflowSettings &settings,
                                     RecordStore &store,
                                     WorkerPort &workers,
                                     Clock &clock,
                                     EventLog &log,
                                     ShardId shard,
                                     const Leadership &term)
    : m_settings(settings)
    , m_store(store)
    , m_port(workers)
    , m_clock(clock)
    , m_log(log)
    , m_shard(shard)
    , m_keys(makeShardKeys(shard))
    , m_term(term)
    , m_electedAt(clock.now())
    , m_inbox(store, clock, log, m_keys.inbox, [this](const StoreItem &it) { onInboxItem(it); })
    , m_isFormerGone(term.previous.hasResigned || term.previous.epoch == 0)
    , m_formerGoneAt(clock.now())
{
}

void WorkflowScheduler::setObserver(WorkflowObserver *observer)
{
    m_observer = observer;
}

bool WorkflowScheduler::isDeposed() const
{
    return m_isDeposed;
}

ShardId WorkflowScheduler::shard() const
{
    return m_shard;
}

const WorkflowCounters &WorkflowScheduler::counters() const
{
    return m_counters;
}

std::size_t WorkflowScheduler::activeJobs() const
{
    return m_active.size();
}

void WorkflowScheduler::tick(TimePoint now, Authority authority)
{
    m_now = now;
    m_authority = authority;
    m_firmAt = authority == Authority::Full ? now : m_firmAt;
    if (m_load == Load::Workers || m_load == Load::Progress) {
        if (!m_isLoading && now >= m_loadRetryAt) {
            m_isLoading = true;
            m_load == Load::Workers ? loadWorkers() : loadProgress({});
        }
        return;
    }
    if (authority == Authority::Full) {
        m_inbox.tick(now);
    }
    if (m_load == Load::Inbox) {
        if (!m_inbox.isLoaded()) {
            return;
        }
        m_load = Load::Done;
        m_loadedProgress.clear();
        std::erase_if(m_storedRevisions,
                      [this](const auto &it) { return !m_jobs.contains(it.first); }); // other shards'
        m_log.write("takeover_loaded",
                    "shard",
                    m_shard,
                    "epoch",
                    m_term.epoch,
                    "jobs",
                    m_active.size(),
                    "workers",
                    m_workers.size());
    }
    if (authority == Authority::None) {
        return;
    }
    resolveUnread(now);
    borrowPressure(now);
    renewWorkers(now);
    if (now >= m_placeAt) {
        place(now);
    }
    storeProgress(now);
    dropOldJobs(now);
}

// ---------------------------------------------------------------------------------------------------------------------
// Loading
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::retryLoad(std::string_view what)
{
    m_log.write("takeover_read_failed", "what", what, "epoch", m_term.epoch);
    m_isLoading = false;
    m_loadRetryAt = m_clock.now() + LoadRetry;
}

void WorkflowScheduler::loadWorkers()
{
    m_store.get(m_keys.workers, guard([this](const StoreReply &reply) { onWorkersLoaded(reply); }));
}

void WorkflowScheduler::onWorkersLoaded(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        retryLoad(m_keys.workers);
        return;
    }
    for (const StoreItem &it : reply.items) {
        m_workersRevision = it.revision;
        for (const KnownWorker &known : decodeWorkers(it.value)) {
            WorkerState &worker = addWorker(known.id);
            if (worker.record.address.empty()) {
                worker.record.address = known.address;
                worker.record.pool = known.pool;
            }
            worker.isUnresolved = !worker.isRead;
            m_durableWorkers.insert(known.id);
        }
    }
    m_load = Load::Progress;
    loadPressure();
    loadProgress({});
}

/** Helps, but nothing waits for it: without it the effects of neighbours are learned anew. */
void WorkflowScheduler::loadPressure()
{
    m_store.get(m_keys.pressure, guard([this](const StoreReply &reply) {
                    try {
                        if (!reply.items.empty()) {
                            m_pressure.load(reply.items.front().value);
                        }
                    } catch (const Error &error) {
                        m_log.write("pressure_unreadable", "error", error.what());
                    }
                }));
}

void WorkflowScheduler::setHasSiblings(bool hasSiblings)
{
    m_hasSiblings = hasSiblings;
}

/** Each shard sees few of the many pairs of images; together they see them within seconds. */
void WorkflowScheduler::borrowPressure(TimePoint now)
{
    if (!m_hasSiblings || now < m_borrowAt) {
        return;
    }
    m_borrowAt = now + m_settings.pressureShareEvery;
    m_store.range(PressurePrefix, {}, guard([this](const StoreReply &reply) { onPressuresRead(reply); }));
}

void WorkflowScheduler::onPressuresRead(const StoreReply &reply)
{
    std::vector<std::string> others;
    for (const StoreItem &it : reply.items) {
        if (it.key != m_keys.pressure) {
            others.push_back(it.value);
        }
    }
    try {
        m_pressure.importPeers(others);
    } catch (const Error &error) {
        m_log.write("pressure_unreadable", "error", error.what());
    }
}

void WorkflowScheduler::loadProgress(const std::string &afterKey)
{
    m_store.range(ProgressPrefix, afterKey, guard([this](const StoreReply &reply) { onProgressPage(reply); }));
}

void WorkflowScheduler::onProgressPage(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        retryLoad(ProgressPrefix);
        return;
    }
    for (const StoreItem &it : reply.items) {
        const JobKey key = it.key.substr(ProgressPrefix.size());
        m_storedRevisions[key] = it.revision;
        m_loadedProgress[key] = it.value;
    }
    if (reply.hasMore && !reply.items.empty()) {
        loadProgress(reply.items.back().key);
        return;
    }
    m_isLoading = false;
    m_load = Load::Inbox;
}

// ---------------------------------------------------------------------------------------------------------------------
// Jobs and cancels
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::onInboxItem(const StoreItem &item)
{
    if (item.isDeleted) {
        return; // only leaders remove jobs, long after their end
    }
    try {
        if (item.key.starts_with(m_keys.jobs)) {
            addJob(item);
        } else if (item.key.starts_with(m_keys.cancels)) {
            onCancel(item.key.substr(m_keys.cancels.size()));
        }
    } catch (const Error &error) {
        m_log.write("job_unreadable", "key", item.key, "revision", item.revision, "error", error.what());
    }
}

void WorkflowScheduler::addJob(const StoreItem &item)
{
    auto job = std::make_unique<JobState>();
    job->accepted = decodeAccepted(item.value);
    job->createdRevision = item.created;
    job->learnedAt = m_clock.now();
    resetTasks(*job);
    for (OccurrenceState &occurrence : job->occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            occurrence.steps[s].image = m_pressure.classOf(job->accepted.spec.steps[s].image);
        }
    }
    const JobKey key = job->key();
    if (m_jobs.contains(key)) {
        return;
    }
    if (const auto progress = m_loadedProgress.find(key); progress != m_loadedProgress.end()) {
        decodeProgress(progress->second, *job);
    }
    job->isCancelled = job->state == WorkflowState::Cancelled;
    JobState &it = *m_jobs.emplace(key, std::move(job)).first->second;
    if (isFinal(it.state)) {
        m_final.emplace_back(m_clock.now(), key);
        return;
    }
    m_active.emplace(key, &it);
    m_mustPlace = true;
    if (m_cancelledEarly.erase(key) > 0) {
        onCancel(key);
    }
}

void WorkflowScheduler::onCancel(const JobKey &key)
{
    JobState *job = findJob(key);
    if (job == nullptr) {
        m_cancelledEarly.insert(key);
        return;
    }
    if (isFinal(job->state)) {
        return;
    }
    m_log.write("job_cancelled", "job", key, "held", job->heldTasks);
    job->isCancelled = true;
    setFinal(*job, WorkflowState::Cancelled);
    stopAll(*job, "cancelled");
}

// ---------------------------------------------------------------------------------------------------------------------
// What a former leader may have left
// ---------------------------------------------------------------------------------------------------------------------

bool WorkflowScheduler::mayBeRunningElsewhere(const JobState &job) const
{
    return m_unreadWorkers > 0 && (m_trustedRevision == 0 || job.createdRevision <= m_trustedRevision);
}

/** Counts the workers that may still run what a former leader ordered, and notes from when on jobs are unknown to it. */
void WorkflowScheduler::resolveUnread(TimePoint now)
{
    if (m_trustedRevision == 0 && now >= m_electedAt + m_settings.formerLeaderFirm
        && m_inbox.lastReplyAt() >= m_electedAt + m_settings.formerLeaderFirm) {
        m_trustedRevision = m_inbox.revision();
    }
    const TimePoint allLapsed = formerLeasesEndBy();
    std::size_t unread = 0;
    for (const auto &it : m_workers) {
        if (it->isUnresolved && (it->isRead || now >= allLapsed)) {
            m_log.write("worker_resolved", "worker", it->record.id, "read", it->isRead);
            it->isUnresolved = false;
            m_mustPlace = true;
        }
        unread += it->isUnresolved ? 1 : 0;
    }
    m_unreadWorkers = unread;
    if (unread > 0 && !m_isFormerGone && now >= m_askFormerAt) {
        askFormerLeader(now);
    }
}

TimePoint WorkflowScheduler::formerLeasesEndBy() const
{
    const double lease = static_cast<double>(m_settings.workerLease.count()) / SlowestWorkerClock;
    const TimePoint lastOrder = m_isFormerGone ? m_formerGoneAt : m_electedAt + m_settings.formerLeaderLife;
    return lastOrder + Duration(static_cast<Duration::rep>(lease)) + LeaseMargin;
}

/** Where the former leader's node has started anew, that leader is gone, and need not be waited for. */
void WorkflowScheduler::askFormerLeader(TimePoint now)
{
    m_askFormerAt = now + AskFormerEvery;
    m_store.get(std::string(BootPrefix) + m_term.previous.node, guard([this](const StoreReply &reply) {
                    const bool isOtherLife
                        = !reply.items.empty() && reply.items.front().value != m_term.previous.bootId;
                    if (reply.status == StoreStatus::Ok && isOtherLife && !m_isFormerGone) {
                        m_isFormerGone = true;
                        m_formerGoneAt = m_clock.now();
                        m_log.write("former_leader_gone", "node", m_term.previous.node, "epoch", m_term.previous.epoch);
                    }
                }));
}

} // namespace QuetzalRock::Workflow
