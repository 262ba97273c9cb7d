/** WorkflowScheduler: takeover. A new leader loads the stored state and accounts for runs of former leaders. */
#include <workflow/scheduler.h>

#include <base/errors.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

constexpr Duration LoadRetryDelay = std::chrono::milliseconds(200);
constexpr Duration GraceMargin = std::chrono::milliseconds(100); ///< for clocks that run at different rates
constexpr Duration LeaseMargin = std::chrono::milliseconds(100); ///< for orders in transit
constexpr Duration TakeoverLogDelay = std::chrono::seconds(1);   ///< most takeovers are complete by then
constexpr std::size_t MaxLoggedWorkers = 8;
constexpr Duration FormerLeaderCheckInterval = std::chrono::milliseconds(700); ///< while a worker has not reported

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
    , m_formerLeaders(term.former)
    , m_formerLeadersGoneAt(clock.now())
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

void WorkflowScheduler::setCatalog(const Catalog &catalog)
{
    m_catalog = &catalog;
}

void WorkflowScheduler::setRegistryConfirmedAt(TimePoint time)
{
    m_registryConfirmedAt = time;
}

void WorkflowScheduler::setEvacuations(const EvacuationRequests &requests)
{
    m_evacuations = &requests;
}

std::map<std::string, std::uint32_t> WorkflowScheduler::runsInEvacuatedDomains() const
{
    std::map<std::string, std::uint32_t> runs;
    for (const auto &worker : m_workers) {
        if (m_evacuations != nullptr && m_evacuations->isRequested(worker->record.failureDomain)) {
            for (const TaskRef &it : worker->runs) {
                ++runs[it.job->accepted.queue];
            }
        }
    }
    return runs;
}

bool WorkflowScheduler::isTakeoverComplete() const
{
    return m_takeoverStage == TakeoverStage::Complete;
}

bool WorkflowScheduler::isWaitingForWorkers() const
{
    return m_takeoverStage == TakeoverStage::Waiting;
}

bool WorkflowScheduler::canHandOver() const
{
    const bool isEachWorkerHeard = std::all_of(m_workers.begin(), m_workers.end(), [this](const auto &it) {
        return !m_storedWorkers.contains(it->record.id) || (it->hasReported && it->unansweredRenewals == 0);
    });
    return isTakeoverComplete() && m_unreadWorkerCount == 0 && m_departures.empty() && isEachWorkerHeard;
}

void WorkflowScheduler::pauseStarts(bool isPaused)
{
    m_isPaused = isPaused;
}

bool WorkflowScheduler::hasUnknownOutcomes() const
{
    const auto isUnanswered = [](const TaskRef &it) {
        const TaskPhase phase = it.task().phase;
        return (phase == TaskPhase::Starting && !it.task().isAcknowledged)
               || (phase == TaskPhase::Stopping && !it.task().isStopAcknowledged);
    };
    const bool hasUnansweredOrder = std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &it) {
        return std::any_of(it->runs.begin(), it->runs.end(), isUnanswered);
    });
    bool hasStartInDoubt = false; // which the next leader would not know
    for (const auto &[key, job] : m_activeJobs) {
        forEachTask(*job, [&](const TaskRef &it) {
            hasStartInDoubt = hasStartInDoubt || isStartInDoubt(it.task(), m_clock.now());
        });
    }
    return m_transfer || m_jobMove || hasUnansweredOrder || hasStartInDoubt;
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
    return m_activeJobs.size();
}

void WorkflowScheduler::tick(TimePoint now, Authority authority, TimePoint fullAuthorityUntil)
{
    m_fullAuthorityUntil = fullAuthorityUntil;
    if (m_isDeposed) {
        return; // sends no more orders
    }
    try {
        tickGuarded(now, authority);
    } catch (const std::exception &error) {
        fail("tick", error);
    }
}

void WorkflowScheduler::fail(std::string_view where, const std::exception &error)
{
    m_isDeposed = true;
    m_log.write("scheduler_failed", "shard", m_shard, "epoch", m_term.epoch, "in", where, "error", error.what());
}

/** After a pause of the process, replies are processed before the tick that would notice that the lease has run out. */
void WorkflowScheduler::expireAuthority()
{
    if (m_authority == Authority::Full && m_clock.now() >= m_fullAuthorityUntil) {
        m_authority = Authority::Grace;
    }
}

void WorkflowScheduler::tickGuarded(TimePoint now, Authority authority)
{
    m_now = now;
    authority = limitGrace(authority, now);
    m_authority = authority;
    m_lastFullAuthorityAt = authority == Authority::Full ? now : m_lastFullAuthorityAt;
    if (m_loadStage == LoadStage::Workers || m_loadStage == LoadStage::Progress) {
        if (!m_isLoading && now >= m_nextLoadAt) {
            m_isLoading = true;
            m_loadStage == LoadStage::Workers ? loadWorkers() : loadProgress({});
        }
        return;
    }
    if (authority == Authority::Full) {
        m_inbox.tick(now);
    }
    if (m_loadStage == LoadStage::Inbox) {
        if (!m_inbox.isLoaded()) {
            return;
        }
        m_loadStage = LoadStage::Done;
        m_loadedProgress.clear();
        std::erase_if(m_storedRevisions,
                      [this](const auto &it) { return !m_jobs.contains(it.first); }); // of other shards' jobs
        m_log.write("takeover_loaded",
                    "shard",
                    m_shard,
                    "epoch",
                    m_term.epoch,
                    "jobs",
                    m_activeJobs.size(),
                    "workers",
                    m_workers.size(),
                    "registered",
                    std::count_if(m_workers.begin(), m_workers.end(), [](const auto &it) { return it->isRegistered; }),
                    "inbox_revision",
                    m_inbox.revision());
    }
    if (authority == Authority::None) {
        reportWaitingTasks(now);
        return;
    }
    resolveUnreadWorkers(now);
    forgetOldCrashes(now);
    giveUpConvicted(now);
    loadSharedPressure(now);
    updateWithheldLeases(now);
    renewWorkerLeases(now);
    if (now >= m_nextPlacementAt && !m_isPaused) {
        placeJobs(now);
    }
    reportWaitingTasks(now);
    if (!m_isPaused) {
        beginDepartures(now);
        giveWaitingTasks(now);
    }
    endGuestTasks(now);
    storeProgress(now);
    if (!m_isPaused) {
        moveJobs(now); // after storeProgress(), so that moves do not keep ends of runs from being stored
    }
    removeExpiredJobs(now);
}

// ---------------------------------------------------------------------------------------------------------------------
// Loading
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::retryLoad(std::string_view what)
{
    m_log.write("takeover_read_failed", "what", what, "epoch", m_term.epoch);
    m_isLoading = false;
    m_nextLoadAt = m_clock.now() + LoadRetryDelay;
}

void WorkflowScheduler::loadWorkers()
{
    m_store.get(m_keys.workers, ifAlive([this](const StoreReply &reply) { onWorkersLoaded(reply); }));
}

void WorkflowScheduler::onWorkersLoaded(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        retryLoad(m_keys.workers);
        return;
    }
    for (const StoreItem &it : reply.items) {
        m_workersRevision = it.revision;
        for (const KnownWorker &known : readWorkers(it)) {
            WorkerState &worker = findOrAddWorker(known.id);
            if (worker.record.address.empty()) {
                worker.record.address = known.address;
                worker.record.pool = known.pool;
            }
            worker.mayRunFormerOrders = !worker.hasReported;
            worker.listedStartedAtMs = known.startedAtMs;
            worker.settledStartedAtMs = known.settledStartedAtMs;
            m_storedWorkers.insert(known.id);
            m_formerWorkers[known.id] = known.listedSince;
        }
    }
    m_listedSince = m_formerWorkers;
    m_possibleLists = {{m_storedWorkers.begin(), m_storedWorkers.end()}};
    loadWithheldLeases();
}

/**
 * Decodes the list of workers in use. If it cannot be read, former leaders may have used workers that nobody knows: a
 * worker without an address, which never answers, stands for them and is outwaited like one that cannot be reached.
 */
std::vector<KnownWorker> WorkflowScheduler::readWorkers(const StoreItem &item)
{
    try {
        return decodeWorkers(item.value);
    } catch (const Error &error) {
        m_log.write("workers_unreadable", "key", item.key, "revision", item.revision, "error", error.what());
        m_workersDirty = true;
        m_areFormerWorkersUnknown = true;
        for (const auto &it : m_workers) {
            it->settledStartedAtMs = 0;
        }
        return {{"unreadable list", 0, {}, {}, 0, 0}};
    }
}

/** Loads the former leader's pressure model. Nothing waits for it: without it, the model is learned again. */
void WorkflowScheduler::loadPressure()
{
    m_store.get(m_keys.pressure, ifAlive([this](const StoreReply &reply) {
                    if (!reply.items.empty()) {
                        if (const auto saved = readPressure(reply.items.front())) {
                            m_pressure.load(*saved);
                        }
                    }
                }));
}

void WorkflowScheduler::setShardMap(const ShardMap &map)
{
    m_shardMap = &map;
    m_hasOtherShards = map.shards.size() > 1;
}

/** Reads the other shards' models: one shard sees few pairs of images, all shards together see most within seconds. */
void WorkflowScheduler::loadSharedPressure(TimePoint now)
{
    if (!m_hasOtherShards || now < m_nextSharedPressureAt) {
        return;
    }
    m_nextSharedPressureAt = now + m_settings.pressureShareInterval;
    m_store.range(PressurePrefix, {}, ifAlive([this](const StoreReply &reply) { onSharedPressureLoaded(reply); }));
}

void WorkflowScheduler::onSharedPressureLoaded(const StoreReply &reply)
{
    std::vector<SavedPressure> others;
    for (const StoreItem &it : reply.items) {
        if (it.key == m_keys.pressure) {
            continue;
        }
        if (auto saved = readPressure(it)) {
            others.push_back(std::move(*saved));
        }
    }
    m_pressure.importPeers(others);
}

/** Decodes a stored pressure model; none if it cannot be used, which is logged once per key. */
std::optional<SavedPressure> WorkflowScheduler::readPressure(const StoreItem &item)
{
    try {
        return decodePressure(item.value);
    } catch (const Error &error) {
        if (m_unreadablePressure.insert(item.key).second) {
            m_log.write("pressure_unreadable", "key", item.key, "revision", item.revision, "error", error.what());
        }
        return std::nullopt;
    }
}

void WorkflowScheduler::loadProgress(const std::string &afterKey)
{
    m_store.range(ProgressPrefix, afterKey, ifAlive([this](const StoreReply &reply) { onProgressPage(reply); }));
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
    m_loadStage = LoadStage::Inbox;
}

// ---------------------------------------------------------------------------------------------------------------------
// Jobs and cancels
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::onInboxItem(const StoreItem &item)
{
    if (item.isDeleted) {
        return; // only leaders of this shard remove jobs, when they have ended or move, and tasks, when they give them on
    }
    try {
        if (item.key.starts_with(m_keys.jobs)) {
            addJob(item);
        } else if (item.key.starts_with(m_keys.cancels) && item.value == CancelWithoutJob) {
            m_finalJobs.emplace_back(m_clock.now(), item.key.substr(m_keys.cancels.size())); // to remove it in time
        } else if (item.key.starts_with(m_keys.cancels)) {
            onCancel(item.key.substr(m_keys.cancels.size()));
        } else if (item.key.starts_with(m_keys.taken)) {
            takeTask(item);
        }
    } catch (const Error &error) {
        m_log.write("job_unreadable", "key", item.key, "revision", item.revision, "error", error.what());
    }
}

/** A job whose tasks all wait; not added to m_jobs yet. */
WorkflowScheduler::JobPtr WorkflowScheduler::makeJob(AcceptedJob accepted, std::uint64_t createdRevision)
{
    auto job = std::make_unique<JobState>();
    job->accepted = std::move(accepted);
    job->createdRevision = createdRevision;
    job->learnedAt = m_clock.now();
    job->acceptedAt = job->learnedAt - std::max(Duration::zero(), jobAge(*job));
    resetTasks(*job);
    for (OccurrenceState &occurrence : job->occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const std::string &image = job->accepted.spec.steps[s].image;
            occurrence.steps[s].image = m_pressure.classOf(image);
            if (occurrence.steps[s].image == UntrackedClass && m_untrackedImages.insert(image).second) {
                ++m_counters.untrackedImages;
                m_log.write("image_untracked", "image", image, "limit", MaxClasses);
            }
        }
    }
    return job;
}

void WorkflowScheduler::addJob(const StoreItem &item)
{
    AcceptedJob accepted = decodeAccepted(item.value);
    const std::optional<MovedJob> moved = std::exchange(accepted.moved, std::nullopt);
    JobPtr job = makeJob(std::move(accepted), item.created);
    const JobKey key = job->key();
    if (item.key != m_keys.jobs + key) {
        throw InvalidArgument("job", "is stored under another key");
    }
    if (const JobState *known = findJob(key)) {
        if (known->isMoving && item.created > known->createdRevision) {
            m_returnedJobs[key] = item; // moved away and back; the outcome of the first move is not known here yet
        }
        return;
    }
    if (moved) {
        takeMovedJob(*job, *moved, item);
    }
    // The progress is stored by each move, under the revision of the record.
    if (moved && m_storedRevisions[key] <= item.revision) {
        decodeProgress(moved->progress, *job);
        m_storedRevisions[key] = item.revision;
    } else if (const auto progress = m_loadedProgress.find(key); progress != m_loadedProgress.end()) {
        decodeProgress(progress->second, *job);
    }
    job->isCancelled = job->state == WorkflowState::Cancelled;
    JobState &it = *m_jobs.emplace(key, std::move(job)).first->second;
    if (isFinal(it.state)) {
        if (it.state == WorkflowState::Failed && hasOnlyIndependentLongRunningTasks(it.accepted.spec)) {
            m_jobsWithGuests.insert(key);
        }
        m_finalJobs.emplace_back(m_clock.now(), key);
        return;
    }
    m_activeJobs.emplace(key, &it);
    restoreSuspects(it);
    m_scarcityOrder.addJob(it);
    if (it.state == WorkflowState::Running) { // started by a former leader; when is not known
        m_scarcityOrder.addFirstStart(it, it.accepted.acceptedMs);
    }
    m_isPlacementDue = true;
    if (m_earlyCancels.erase(key) > 0) {
        onCancel(key);
    }
}

/** The job has been in other shards. */
void WorkflowScheduler::takeMovedJob(JobState &job, const MovedJob &moved, const StoreItem &item)
{
    job.moves = moved.moves;
    for (OccurrenceState &occurrence : job.occurrences) {
        for (StepState &step : occurrence.steps) {
            for (TaskState &it : step.tasks) {
                it.attemptBase = moved.attemptBase;
            }
        }
    }
    if (m_loadStage == LoadStage::Done) { // otherwise a former leader may have taken it
        ++m_counters.jobsTaken;
        m_log.write("job_taken",
                    "job",
                    job.key(),
                    "shard",
                    m_shard,
                    "revision",
                    item.revision,
                    "loaded_revision",
                    m_storedRevisions[job.key()],
                    "attempt_base",
                    moved.attemptBase,
                    "moves",
                    moved.moves);
    }
}

void WorkflowScheduler::onCancel(const JobKey &key)
{
    JobState *job = findJob(key);
    if (job == nullptr || job->isMoving) { // of a job that moves: taken once it is known whether it is still here
        m_earlyCancels.insert(key);
        return;
    }
    if (isFinal(job->state)) {
        return;
    }
    m_log.write("job_cancelled", "job", key, "held", job->heldTasks);
    job->isCancelled = true;
    finishJob(*job, WorkflowState::Cancelled);
    stopAllTasks(*job, "cancelled");
}

// ---------------------------------------------------------------------------------------------------------------------
// Runs of former leaders
// ---------------------------------------------------------------------------------------------------------------------

/**
 * Whether a former leader may have started the task, or may still start it, on a worker that has not been read. A task
 * with failed runs, or with crashes, waits as well: unread workers may list more failures, or have crashed under it, and
 * both are limited.
 */
bool WorkflowScheduler::mayBeRunningElsewhere(const TaskRef &ref) const
{
    if (m_unreadWorkerCount == 0 || isNewerJob(*ref.job)) {
        return false;
    }
    if (ref.task().isAccountedFor) {
        return !ref.task().failedAttempts.empty() || !ref.task().crashes.empty();
    }
    const auto &steps = ref.job->occurrences[ref.occurrence].steps;
    const auto &after = ref.spec().after;
    return std::none_of(after.begin(), after.end(), [&steps](std::uint32_t it) { return steps[it].isCompletionOurs; });
}

/** Whether no former leader can know the job. */
bool WorkflowScheduler::isNewerJob(const JobState &job) const
{
    return m_maxFormerRevision != 0 && job.createdRevision > m_maxFormerRevision;
}

/** Why no former leader can run tasks of the job that leave this shard; for logs. */
std::string_view WorkflowScheduler::basisOfLeaving(const JobState &job) const
{
    if (m_unreadWorkerCount == 0) {
        return "all workers are read or outwaited";
    }
    return isNewerJob(job) ? "the job is newer than former leaders" : "its runs are accounted for";
}

/** Counts the workers that may still run a former leader's tasks, and determines which jobs it cannot have known. */
void WorkflowScheduler::resolveUnreadWorkers(TimePoint now)
{
    if (m_maxFormerRevision == 0 && now >= m_electedAt + m_settings.formerLeaderIntakeTime
        && m_inbox.lastReplyAt() >= m_electedAt + m_settings.formerLeaderIntakeTime) {
        m_maxFormerRevision = m_inbox.revision();
    }
    resolveFormerLeaders(now);
    // In the grace period a successor may have read a worker and extended its lease.
    const bool mayConclude = m_authority == Authority::Full;
    std::size_t unread = 0;
    for (const auto &it : m_workers) {
        if (it->mayRunFormerOrders && (it->hasReported || (mayConclude && now >= formerLeaseExpiry(*it)))) {
            if (!it->hasReported) {
                ++m_outwaitedWorkerCount;
                m_log.write("worker_outwaited",
                            "worker",
                            it->record.id,
                            "registered",
                            it->isRegistered,
                            "born",
                            it->record.startedAtMs,
                            "listed_born",
                            it->listedStartedAtMs,
                            "settled_born",
                            it->settledStartedAtMs,
                            "lease",
                            it->isSettled() ? "granted" : "longest");
            }
            it->mayRunFormerOrders = false;
            m_isPlacementDue = true;
        }
        unread += it->mayRunFormerOrders ? 1 : 0;
    }
    m_unreadWorkerCount = unread;
    updateTakeoverStage(now);
    if (unread > 0 && !m_formerLeaders.empty() && now >= m_nextFormerLeaderCheckAt) {
        checkFormerLeaders(now);
    }
}

void WorkflowScheduler::updateTakeoverStage(TimePoint now)
{
    if (m_unreadWorkerCount == 0 && m_takeoverStage != TakeoverStage::Complete) {
        m_takeoverStage = TakeoverStage::Complete;
        m_log.write("takeover_resolved",
                    "shard",
                    m_shard,
                    "epoch",
                    m_term.epoch,
                    "after_ms",
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - m_electedAt).count(),
                    "outwaited",
                    m_outwaitedWorkerCount);
    } else if (m_unreadWorkerCount > 0 && m_takeoverStage == TakeoverStage::Reading
               && now >= m_electedAt + TakeoverLogDelay) {
        m_takeoverStage = TakeoverStage::Waiting;
        logUnreadWorkers(now);
    }
}

/** Logs who has to be waited for, with a few of the workers by name. */
void WorkflowScheduler::logUnreadWorkers(TimePoint now)
{
    std::string names;
    std::size_t n = 0;
    std::size_t unsettled = 0;
    TimePoint expiry = now;
    for (const auto &it : m_workers) {
        if (!it->mayRunFormerOrders) {
            continue;
        }
        if (n++ < MaxLoggedWorkers) {
            names += (names.empty() ? "" : ",") + it->record.id;
        }
        unsettled += it->isSettled() ? 0 : 1;
        expiry = std::max(expiry, formerLeaseExpiry(*it));
    }
    m_log.write("takeover_waits",
                "shard",
                m_shard,
                "epoch",
                m_term.epoch,
                "former",
                m_formerLeaders.empty() ? std::string() : m_formerLeaders.back().node,
                "former_leaders",
                m_formerLeaders.size(),
                "unread",
                m_unreadWorkerCount,
                "workers",
                names,
                "longest_leases",
                unsettled,
                "at_most_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(expiry - now).count());
}

/** The store has not confirmed the leader's lease since then. */
TimePoint WorkflowScheduler::endOf(const FormerLeader &leader) const
{
    return std::min(m_electedAt, m_term.endSeenAt(leader.epoch));
}

/** The leader sends no order after that, whatever it can reach. */
TimePoint WorkflowScheduler::lastOrderOf(const FormerLeader &leader) const
{
    return endOf(leader) + m_settings.formerLeaderOrderTime;
}

/** No former leader sends an order after that. */
TimePoint WorkflowScheduler::lastFormerOrder() const
{
    TimePoint lastOrder = m_formerLeadersGoneAt;
    for (const FormerLeader &it : m_formerLeaders) {
        lastOrder = std::max(lastOrder, lastOrderOf(it));
    }
    return lastOrder;
}

/**
 * When nothing that a former leader has started can run on the worker any more, unless it replies before. An incarnation that
 * is not settled may have executed an order for the one before, which this leader may have seen end.
 */
TimePoint WorkflowScheduler::formerLeaseExpiry(const WorkerState &worker) const
{
    const bool isWithheldByFormer
        = worker.withheldNumber != 0 && worker.withheldSince != TimePoint{} && isWithheldLeaseCurrent(worker);
    const TimePoint lastOrder
        = isWithheldByFormer ? std::min(lastFormerOrder(), worker.withheldSince) : lastFormerOrder();
    return worker.isSettled() ? lastOrder + longestLease()
                              : std::max(cutLeaseEnd(lastOrder) + LeaseMargin, worker.leaseEndsBy);
}

/** From the last order that extends a worker's lease by its own clock until the lease has expired, on our clock. */
Duration WorkflowScheduler::longestLease() const
{
    const double lease = static_cast<double>(m_settings.grantedLease().count()) / MinWorkerClockRate;
    return Duration(static_cast<Duration::rep>(lease)) + LeaseMargin;
}

/** Removes the former leaders whose grace period is over. */
void WorkflowScheduler::resolveFormerLeaders(TimePoint now)
{
    const std::vector<FormerLeader> leaders = m_formerLeaders;
    for (const FormerLeader &it : leaders) {
        const bool isRejected = isRejectedByMost(it, TimePoint{});
        const TimePoint since = isRejected ? m_rejectedSince.emplace(it.epoch, now).first->second : TimePoint::max();
        if (!isRejected) {
            m_rejectedSince.erase(it.epoch);
        }
        const TimePoint fullAuthorityEnd = endOf(it) + m_settings.formerLeaderIntakeTime;
        if (isRejected && now >= since + m_settings.graceAnswerAge + GraceMargin
            && isRejectedByMost(it, fullAuthorityEnd)) {
            removeFormerLeader(it, "most of its workers reject its orders");
        } else if (now >= lastOrderOf(it)) {
            removeFormerLeader(it, "its grace period is over");
        }
    }
}

/**
 * Whether less than half of the workers that the leader had in use can still answer it; only those count as rejecting it that
 * have answered a call which was sent after @p since. Workers that were taken off the list since its term have been read, and
 * a leader in its grace period does not count workers that have restarted.
 */
bool WorkflowScheduler::isRejectedByMost(const FormerLeader &leader, TimePoint since) const
{
    std::size_t workers = 0;
    std::size_t rejecting = 0;
    for (const auto &[id, listedSince] : m_formerWorkers) {
        if (listedSince == 0) {
            return false; // when it was listed is not known
        }
        if (listedSince <= leader.epoch) {
            const WorkerState &worker = *m_workers[m_workerIndex.at(id)];
            ++workers;
            rejecting += worker.isConfirmed && worker.answeredOrderSentAt > since ? 1 : 0;
        }
    }
    return leader.needsAnswers && 2 * rejecting > workers;
}

/** In the grace period, a leader without the answers of half of its workers may have a successor that has read the others. */
Authority WorkflowScheduler::limitGrace(Authority authority, TimePoint now)
{
    if (authority != Authority::Grace || m_loadStage == LoadStage::Workers) {
        m_isGraceOver = m_isGraceOver && authority != Authority::Full;
        return authority;
    }
    if (!m_isGraceOver && !isAnsweredByHalf(now)) {
        m_isGraceOver = true; // also if they answer again: this leader may have missed what happened meanwhile
        m_log.write("grace_over", "shard", m_shard, "epoch", m_term.epoch, "why", "too few workers answer");
    }
    return m_isGraceOver ? Authority::None : authority;
}

bool WorkflowScheduler::isAnsweredByHalf(TimePoint now) const
{
    return std::all_of(m_possibleLists.begin(), m_possibleLists.end(), [this, now](const std::set<WorkerId> &list) {
        const auto answering = std::count_if(list.begin(), list.end(), [this, now](const WorkerId &it) {
            const WorkerState &worker = *m_workers[m_workerIndex.at(it)];
            return worker.isConfirmed && now < worker.answeredOrderSentAt + m_settings.graceAnswerAge;
        });
        return 2 * static_cast<std::size_t>(answering) >= list.size();
    });
}

/** Former leaders whose node has restarted, or that have stored the end of their term, need not be waited for. */
void WorkflowScheduler::checkFormerLeaders(TimePoint now)
{
    m_nextFormerLeaderCheckAt = now + FormerLeaderCheckInterval;
    m_store.get(m_keys.epoch, ifAlive([this](const StoreReply &reply) { onEpochRecordRead(reply); }));
    for (const FormerLeader &leader : m_formerLeaders) {
        m_store.get(std::string(BootPrefix) + leader.node,
                    ifAlive([this, leader](const StoreReply &reply) { onFormerLeaderBootRead(leader, reply); }));
    }
}

void WorkflowScheduler::onEpochRecordRead(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok || reply.items.empty()) {
        return;
    }
    try {
        const EpochRecord record = decodeEpoch(reply.items.front().value);
        const std::vector<FormerLeader> leaders = m_formerLeaders;
        for (const FormerLeader &it : leaders) {
            const bool isListed = std::find(record.earlier.begin(), record.earlier.end(), it) != record.earlier.end();
            if (record.epoch == m_term.epoch && !isListed) {
                removeFormerLeader(it, "it has stored the end of its term");
            }
        }
    } catch (const Error &error) {
        m_log.write("epoch_unreadable", "error", error.what());
    }
}

void WorkflowScheduler::onFormerLeaderBootRead(const FormerLeader &leader, const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok && !reply.items.empty() && reply.items.front().value != leader.bootId) {
        removeFormerLeader(leader, "its node has restarted");
    }
}

void WorkflowScheduler::removeFormerLeader(const FormerLeader &leader, std::string_view why)
{
    if (std::erase(m_formerLeaders, leader) > 0) {
        m_formerLeadersGoneAt = m_clock.now();
        m_log.write("former_leader_gone",
                    "node",
                    leader.node,
                    "epoch",
                    leader.epoch,
                    "why",
                    why,
                    "left",
                    m_formerLeaders.size());
    }
}

} // namespace QuetzalRock::Workflow
