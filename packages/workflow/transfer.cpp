/**
 * WorkflowScheduler: gives long-running tasks that find no room in their shard to another shard, and takes such tasks.
 *
 * A task belongs to its job's shard unless the job's progress says that it was given away, and to the shard whose inbox
 * has a GivenTask of it. One write gives a task: it changes both, under the leader key, under the revisions of what it
 * takes the task from, while the job is not cancelled. It also adds the other shard to the job's registration, so that a
 * cancel, which has the registration's revision as a condition, is written to every shard concerned (spec/transfer.pml).
 *
 * The leader gives only tasks that it could start here, so it knows that they run nowhere. It starts none of them until
 * the outcome of the write is known.
 */
#include <workflow/scheduler.h>

#include <base/errors.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration StatusMaxAge = 500ms;    ///< of the other shards' statuses
constexpr Duration SearchInterval = 200ms;  ///< while no task can be given
constexpr Duration AttemptRetryDelay = 1s;  ///< of a step whose tasks could not be given
constexpr Duration WriteRetryDelay = 200ms; ///< of a transfer with unknown outcome
constexpr Duration NoDestinationLogInterval = 1s;
constexpr Duration MaxOfferYieldTime = 3s;       ///< a task that has waited longer takes any offer
constexpr std::int64_t NeedResolution = 500;     ///< CPU millis; needs are published rounded up
constexpr std::int64_t SinceResolutionMs = 100;  ///< of published waits: clocks differ by more
constexpr Duration MaxOfferStatusAge = 2s;       ///< older ones say nothing of waits
constexpr Duration OfferTurn = 1s;               ///< longer than a status stands, see WorkflowSettings::statusInterval
constexpr std::size_t MaxTasksFromProgress = 20; ///< in one transfer; each takes one entry beside six others
constexpr std::size_t MaxTasksFromRecords = 8;   ///< each takes three entries beside four others
constexpr std::size_t MaxGuestShards = 24;       ///< of one job; a cancel takes an entry for each

/**
 * Since when this shard may have found no room for a waiting task: the end of its last run or its arrival. Other tasks of its step and
 * rejected starts change nothing.
 */
TimePoint waitingHereSince(const JobState &job, const TaskState &task)
{
    return std::max(task.waitingSince, task.takenAt == TimePoint{} ? job.learnedAt : task.takenAt);
}

/** Order of giving: tasks that need no room first, then the longest wait. */
bool goesFirst(const TaskRef &a, const TaskRef &b)
{
    return std::pair(!a.task().isGivenUp, longestWaitSince(*a.job, a.task()))
           < std::pair(!b.task().isGivenUp, longestWaitSince(*b.job, b.task()));
}

/** Whether a task of another shard than @p from, whose wait @p isLonger, would fit into a piece that @p shard offers. */
template<typename Predicate>
bool isLeftToOlderWait(
    const ShardStatuses &statuses, ShardId shard, ShardId from, const std::string &pool, Predicate isLonger)
{
    const auto &pieces = statuses.at(shard).workersByFreeCpu;
    const std::int64_t largest = pieces.empty() ? 0 : pieces.rbegin()->first;
    return std::any_of(statuses.begin(), statuses.end(), [&](const auto &entry) {
        const auto &[other, status] = entry;
        const auto waits = status.longRunningWaits.find(pool);
        return other != shard && other != from && waits != status.longRunningWaits.end()
               && std::any_of(waits->second.begin(), waits->second.end(), [&](const auto &it) {
                      return it.first <= largest && isLonger(it.second);
                  });
    });
}

bool givenTaskIsUnknown(const JobState &job, const GivenTask &task)
{
    const auto &steps = job.occurrences.front().steps;
    return task.step >= steps.size() || task.index >= steps[task.step].tasks.size();
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Choosing
// ---------------------------------------------------------------------------------------------------------------------

bool WorkflowScheduler::canGiveTasksOf(const JobState &job)
{
    return !job.isCancelled && !isFinal(job.state) && hasOnlyIndependentLongRunningTasks(job.accepted.spec);
}

void WorkflowScheduler::giveWaitingTasks(TimePoint now)
{
    if (m_transfer) {
        if (!m_transfer->isInFlight && now >= m_transfer->retryAt) {
            sendTransfer();
        }
        return;
    }
    if (m_preparedTransfer) {
        if (!isInWrite(m_preparedTransfer->key)) {
            const PreparedTransfer prepared = *std::exchange(m_preparedTransfer, std::nullopt);
            chooseDestination(prepared, now);
            if (!m_transfer) {
                cancelReservation(prepared.key);
            }
        }
        return;
    }
    if (!m_hasOtherShards || m_isPreparingTransfer || m_authority != Authority::Full || now < m_nextTransferAt) {
        return;
    }
    const std::vector<TaskRef> waiting = stepsWithoutRoom(now);
    m_nextTransferAt = now + (waiting.empty() ? SearchInterval : m_settings.transferInterval);
    if (waiting.empty()) {
        return;
    }
    if (now >= m_statusesReadAt + StatusMaxAge) {
        readStatuses();
        return;
    }
    const auto found = std::find_if(waiting.begin(), waiting.end(), [this](const TaskRef &it) {
        return it.task().isGivenUp || findDestination(it, 1);
    });
    if (found == waiting.end()) {
        m_nextTransferAt = now + SearchInterval;
        reportNoDestination(waiting, now);
        return;
    }
    // If its tasks cannot be given, those of other steps get their turn.
    found->job->occurrences.front().steps[found->step].nextTransferAt = now + AttemptRetryDelay;
    m_isPreparingTransfer = true;
    readRegistration(found->job->key(), found->step);
}

/**
 * The tasks of a step that have found no worker for WorkflowSettings::transferDelay, and run nowhere. In an evacuated shard
 * none will find one, so they are not delayed, nor are those that were stopped to leave the shard. Also those that are given
 * up here: they return to their job's shard.
 */
std::vector<TaskRef> WorkflowScheduler::tasksWithoutRoom(JobState &job, std::uint32_t step, TimePoint now) const
{
    std::vector<TaskRef> refs;
    const StepState &state = job.occurrences.front().steps[step];
    if (!canGiveTasksOf(job)) {
        return refs;
    }
    const bool isWithoutRoom = state.noRoomSince != TimePoint{};
    const bool isEvacuated = isShardEvacuated();
    for (std::uint32_t i = 0; i < state.tasks.size(); ++i) {
        const TaskState &task = state.tasks[i];
        const TaskRef ref{&job, 0, step, i};
        const Duration delay = isEvacuated || isLeavingShard(ref) ? Duration::zero() : transferDelay(task);
        const bool hasWaited = isWithoutRoom && !task.trial && now >= task.retryAt
                               && now >= waitingHereSince(job, task) + delay
                               && !yields(ref, ref.spec().need.cpuMillis, now);
        if (task.phase == TaskPhase::Waiting && (hasWaited || task.isGivenUp) && !mayBeRunningElsewhere(ref)
            && !isStartInDoubt(task, now)) {
            refs.push_back(ref);
        }
    }
    std::stable_sort(refs.begin(), refs.end(), goesFirst);
    return refs;
}

/** A shard that has taken a task gets twice the time: it makes room for it, which the next shard would have to begin anew. */
Duration WorkflowScheduler::transferDelay(const TaskState &task) const
{
    const bool hasArrived = task.takenAt != TimePoint{} && task.takenAt >= task.waitingSince;
    return hasArrived ? 2 * m_settings.transferDelay : m_settings.transferDelay;
}

/**
 * Adds a waiting task for which no worker has room to m_longRunningWaits, once it may be given: others leave to it only what it would
 * take.
 */
void WorkflowScheduler::noteLongRunningWait(const TaskRef &ref, TimePoint now)
{
    const JobState &job = *ref.job;
    const StepSpec &step = ref.spec();
    const TaskState &task = ref.task();
    const bool canBeGiven = canGiveTasksOf(job) && step.requiredLabel.empty() && !task.isGivenUp && !needsTrial(task)
                            && !mayBeRunningElsewhere(ref);
    const bool isDelayed = !isLeavingShard(ref) && now < waitingHereSince(job, task) + transferDelay(task);
    if (!canBeGiven || isDelayed || now < task.retryAt) {
        return;
    }
    const std::int64_t sinceMs = wallMsOf(longestWaitSince(job, task));
    const std::int64_t cpuMillis = (step.need.cpuMillis + NeedResolution - 1) / NeedResolution * NeedResolution;
    const auto it = m_longRunningWaits[job.accepted.pool].try_emplace(cpuMillis, sinceMs).first;
    it->second = std::min(it->second, sinceMs / SinceResolutionMs * SinceResolutionMs);
}

/** Of each step with tasks without room the one that has waited longest; the longest wait first. */
std::vector<TaskRef> WorkflowScheduler::stepsWithoutRoom(TimePoint now) const
{
    std::vector<TaskRef> waiting;
    for (const auto &[key, job] : m_activeJobs) {
        for (std::uint32_t s = 0; s < job->accepted.spec.steps.size(); ++s) {
            if (now < job->occurrences.front().steps[s].nextTransferAt) {
                continue;
            }
            const std::vector<TaskRef> refs = tasksWithoutRoom(*job, s, now);
            if (!refs.empty()) {
                waiting.push_back(refs.front());
            }
        }
    }
    std::stable_sort(waiting.begin(), waiting.end(), goesFirst);
    return waiting;
}

void WorkflowScheduler::readStatuses()
{
    m_isPreparingTransfer = true;
    m_store.range(StatusPrefix, {}, ifAlive([this](const StoreReply &reply) {
                      m_isPreparingTransfer = false;
                      if (reply.status == StoreStatus::Ok) {
                          onStatusesRead(reply);
                          m_nextTransferAt = {};
                      }
                  }));
}

/**
 * Where @p tasks tasks of the step of @p ref find room, by the statuses that were read last. Each leader reads the same offers: for
 * a while, those that an older wait of another shard may take are left to it, so that a piece is not given several times.
 */
std::optional<TaskDestination> WorkflowScheduler::findDestination(const TaskRef &ref, std::size_t tasks)
{
    const AcceptedJob &job = ref.job->accepted;
    const bool yieldsNoMore = m_clock.now() >= waitingHereSince(*ref.job, ref.task()) + MaxOfferYieldTime;
    const ShardStatuses offers
        = offersFor(job.pool, yieldsNoMore ? TimePoint{} : longestWaitSince(*ref.job, ref.task()));
    return chooseShardForTasks(*m_shardMap,
                               offers,
                               recentlyGivenCpu(),
                               job.pool,
                               job.spec,
                               ref.step,
                               static_cast<std::uint32_t>(tasks),
                               m_shard);
}

/**
 * The statuses of the shards that offer their room to this one. Of those that name no shard, an offer is left to tasks of third
 * shards that have waited since before @p waitingSince.
 */
ShardStatuses WorkflowScheduler::offersFor(const std::string &pool, TimePoint waitingSince) const
{
    ShardStatuses offers = m_statuses;
    const std::int64_t ownSinceMs = wallMsOf(waitingSince);
    const auto isLonger = [&](std::int64_t sinceMs) { return isLongerWait(sinceMs, ownSinceMs); };
    std::erase_if(offers, [&](const auto &it) {
        const std::optional<ShardId> &offeredTo = it.second.offeredTo;
        return offeredTo ? *offeredTo != m_shard : isLeftToOlderWait(m_statuses, it.first, m_shard, pool, isLonger);
    });
    return offers;
}

/**
 * Chooses the shard to which this one offers its room: the one with the longest wait that can use it. If that leaves the room unused,
 * the others have their turn, by their waits. Expects m_unpromised as of @p now.
 */
void WorkflowScheduler::chooseOfferedShard(TimePoint now)
{
    if (!m_hasOtherShards) {
        return;
    }
    refreshStatuses(now);
    std::int64_t largest = 0; // CPU millis
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        largest = isUsable(*m_workers[i], now) ? std::max(largest, m_unpromised[i].cpuMillis) : largest;
    }
    const std::int64_t wallMs = m_clock.wallNow().count();
    std::vector<std::pair<std::int64_t, ShardId>> waits; // since when, of shards that can use the largest piece
    for (const auto &[shard, status] : m_statuses) {
        std::int64_t longest = wallMs;
        for (const auto &[pool, needs] : status.longRunningWaits) {
            for (const auto &[cpuMillis, sinceMs] : needs) {
                longest = cpuMillis <= largest && isLongerWait(sinceMs, longest) ? sinceMs : longest;
            }
        }
        if (shard != m_shard && longest < wallMs) {
            waits.emplace_back(longest, shard);
        }
    }
    std::sort(waits.begin(), waits.end());
    const auto current = std::find_if(
        waits.begin(), waits.end(), [this](const auto &it) { return m_offeredTo && it.second == *m_offeredTo; });
    if (waits.empty() || now >= m_statusesReadAt + MaxOfferStatusAge) {
        m_offeredTo.reset();
    } else if (current == waits.end()) {
        m_offeredTo = waits.front().second;
        m_offeredSince = now;
    } else if (now >= m_offeredSince + OfferTurn) {
        m_offeredTo = (current + 1 == waits.end() ? waits.front() : *(current + 1)).second;
        m_offeredSince = now;
    }
}

/** Logs that no other shard offers a piece of room for any of @p waiting, with the largest pieces that each offers. */
void WorkflowScheduler::reportNoDestination(std::span<const TaskRef> waiting, TimePoint now)
{
    if (now < m_nextNoDestinationLogAt) {
        return;
    }
    m_nextNoDestinationLogAt = now + NoDestinationLogInterval;
    std::map<ShardId, CpuByImage> given = recentlyGivenCpu();
    std::string pieces;
    for (const auto &[shard, status] : m_statuses) {
        if (shard == m_shard || status.workersByFreeCpu.empty()) {
            continue;
        }
        std::int64_t givenMillis = 0;
        for (const auto &[image, millis] : given[shard]) {
            givenMillis += millis;
        }
        const auto &[millis, workers] = *status.workersByFreeCpu.rbegin();
        pieces += (pieces.empty() ? "" : ",") + std::to_string(shard) + ":" + std::to_string(millis) + "x"
                  + std::to_string(workers) + "-" + std::to_string(givenMillis);
    }
    const TaskRef &first = waiting.front();
    logTaskEvent(
        "no_destination",
        first,
        "steps",
        waiting.size(),
        "waited_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(now - waitingHereSince(*first.job, first.task())).count(),
        "need_cpu",
        first.spec().need.cpuMillis,
        "largest_pieces",
        pieces);
}

void WorkflowScheduler::onStatusesRead(const StoreReply &reply)
{
    m_statuses.clear();
    m_statusesReadAt = m_clock.now();
    for (const StoreItem &it : reply.items) {
        try {
            if (const auto shard = shardOfKey(it.key, StatusPrefix)) {
                m_statuses[*shard] = decodeStatus(it.value);
            }
        } catch (const Error &error) {
            m_log.write("status_unreadable", "key", it.key, "revision", it.revision, "error", error.what());
        }
    }
}

void WorkflowScheduler::readRegistration(const JobKey &key, std::uint32_t step)
{
    m_store.get(std::string(RegistrationPrefix) + key, ifAlive([this, key, step](const StoreReply &reply) {
                    m_isPreparingTransfer = false;
                    if (reply.status == StoreStatus::Ok && !reply.items.empty()) {
                        m_preparedTransfer = PreparedTransfer{key, step, reply.items.front()};
                        reserveForWrite(
                            key); // progress that changes again and again would be in one write after another
                    }
                }));
}

/** Chooses the other shard, and begins the transfer if the tasks still wait. */
void WorkflowScheduler::chooseDestination(const PreparedTransfer &prepared, TimePoint now)
{
    JobState *job = findJob(prepared.key);
    const std::uint32_t step = prepared.step;
    if (job == nullptr || m_authority != Authority::Full) {
        return;
    }
    std::vector<TaskRef> tasks = tasksWithoutRoom(*job, step, now);
    if (tasks.empty()) {
        return;
    }
    const bool isFromRecord = tasks.front().task().hasRecord;
    std::erase_if(tasks, [isFromRecord](const TaskRef &it) { return it.task().hasRecord != isFromRecord; });
    tasks.resize(std::min(tasks.size(), isFromRecord ? MaxTasksFromRecords : MaxTasksFromProgress));
    const auto givenUp
        = std::find_if(tasks.begin(), tasks.end(), [](const TaskRef &it) { return it.task().isGivenUp; });
    if (givenUp != tasks.end()) {
        returnTask(*givenUp, prepared.registration);
        return;
    }
    const auto destination = findDestination(tasks.front(), tasks.size());
    if (!destination) {
        return;
    }
    tasks.resize(destination->tasks);
    try {
        beginTransfer(*job, std::move(tasks), destination->shard, prepared.registration);
    } catch (const Error &error) {
        m_log.write("registration_unreadable", "job", prepared.key, "error", error.what());
    }
}

/** Gives a task that has crashed its workers back to its job's shard, whose leader then ends the job. */
void WorkflowScheduler::returnTask(const TaskRef &ref, const StoreItem &registration)
{
    try {
        if (const std::optional<ShardId> shard = decodeRegistration(registration.value).shard) {
            beginTransfer(*ref.job, {ref}, *shard, registration);
        }
    } catch (const Error &error) {
        m_log.write("registration_unreadable", "job", ref.job->key(), "error", error.what());
    }
}

/** What this leader has given to each shard and the shard's status does not include yet. */
std::map<ShardId, CpuByImage> WorkflowScheduler::recentlyGivenCpu()
{
    std::erase_if(m_givenCpu, [this](const GivenCpu &it) {
        const auto status = m_statuses.find(it.shard);
        return status != m_statuses.end() && status->second.inboxRevision >= it.revision;
    });
    std::map<ShardId, CpuByImage> sums;
    for (const GivenCpu &it : m_givenCpu) {
        sums[it.shard][it.image] += it.cpuMillis;
    }
    return sums;
}

// ---------------------------------------------------------------------------------------------------------------------
// Giving
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::beginTransfer(JobState &job,
                                      std::vector<TaskRef> tasks,
                                      ShardId to,
                                      const StoreItem &registration)
{
    Registration shards = decodeRegistration(registration.value);
    if (to != shards.shard) {
        shards.guestOf.insert(to);
    }
    if (shards.guestOf.size() > MaxGuestShards) {
        return;
    }
    const JobKey &key = job.key();
    const ShardKeys toKeys = makeShardKeys(to);
    Transfer transfer;
    transfer.to = to;
    transfer.basis = basisOfLeaving(job);
    StoreChange &change = transfer.change;
    change.conditions
        = {{m_keys.leader, m_term.keyRevision}, {registration.key, registration.revision}, {m_keys.cancels + key, 0}};
    change.puts = {{registration.key, encodeRegistration(shards), 0}};
    const bool isFromRecord = tasks.front().task().hasRecord;
    for (const TaskRef &it : tasks) {
        TaskState &task = it.task();
        GivenTask given;
        given.accepted = job.accepted;
        given.step = it.step;
        given.index = it.index;
        given.attemptBase = nextAttempt(task) - 1;
        given.checkpoint = task.checkpoint;
        given.moves = task.moves + 1;
        given.crashes = task.crashes;
        given.waitingSinceMs = wallMsOf(longestWaitSince(job, task));
        change.puts.push_back({givenTaskKey(toKeys, key, it.step, it.index), encodeGivenTask(given), 0});
        if (isFromRecord) {
            const std::string record = givenTaskKey(m_keys, key, it.step, it.index);
            change.conditions.push_back({record, task.recordRevision});
            change.removals.push_back(record);
        } else {
            task.isGivenAway = true;
        }
        task.phase = TaskPhase::Foreign;
        transfer.recordRevisions.push_back(task.recordRevision);
    }
    if (!isFromRecord) {
        const std::string stored = std::string(ProgressPrefix) + key;
        const WorkflowState state = std::exchange(job.state, WorkflowState::Running);
        transfer.progress = encodeProgress(job);
        transfer.version = job.version;
        job.state = state;
        change.conditions.push_back({stored, m_storedRevisions[key]});
        change.puts.push_back({stored, transfer.progress, 0});
    }
    transfer.tasks = std::move(tasks);
    m_transfer = std::move(transfer);
    sendTransfer();
}

void WorkflowScheduler::sendTransfer()
{
    m_transfer->isInFlight = true;
    ++m_counters.writes;
    m_store.change(m_transfer->change, ifAlive([this](const StoreReply &reply) { onTransferReply(reply); }));
}

void WorkflowScheduler::onTransferReply(const StoreReply &reply)
{
    m_transfer->isInFlight = false;
    switch (reply.status) {
    case StoreStatus::Ok:
        endTransfer(true, reply.revision);
        return;
    case StoreStatus::Conflict:
        // No copy of this write can succeed any more. An earlier one may have.
        endTransfer(wasExecuted(reply), 0);
        return;
    case StoreStatus::NotExecuted:
    case StoreStatus::NotFound:
        if (!m_transfer->mayBeStored) {
            endTransfer(false, 0);
            return;
        }
        break;
    case StoreStatus::Unknown:
        m_transfer->mayBeStored = true;
        ++m_transfer->tasks.front().job->failedWrites; // a trial of another task of the job waits for this one
        break;
    }
    m_transfer->retryAt = m_clock.now() + WriteRetryDelay;
}

/** Whether a copy of the transfer was executed before the one that met @p conflict. */
bool WorkflowScheduler::wasExecuted(const StoreReply &conflict)
{
    const auto find = [&conflict](const std::string &key) -> const StoreItem * {
        const auto it = std::find_if(
            conflict.items.begin(), conflict.items.end(), [&key](const StoreItem &item) { return item.key == key; });
        return it == conflict.items.end() ? nullptr : &*it;
    };
    const StoreItem *leader = find(m_keys.leader);
    m_isDeposed = m_isDeposed || leader == nullptr || leader->revision != m_term.keyRevision;
    const TaskRef &first = m_transfer->tasks.front();
    const JobKey &key = first.job->key();
    if (m_transfer->progress.empty()) {
        const StoreItem *record = find(givenTaskKey(m_keys, key, first.step, first.index));
        return record == nullptr || record->revision != m_transfer->recordRevisions.front();
    }
    const StoreItem *progress = find(std::string(ProgressPrefix) + key);
    if (progress != nullptr) {
        m_storedRevisions[key] = progress->revision; // only this leader writes it
    }
    return progress != nullptr && progress->value == m_transfer->progress;
}

void WorkflowScheduler::endTransfer(bool isExecuted, std::uint64_t revision)
{
    const Transfer transfer = std::move(*m_transfer);
    m_transfer.reset();
    m_isPlacementDue = true;
    JobState &job = *transfer.tasks.front().job;
    cancelReservation(job.key());
    job.occurrences.front().steps[transfer.tasks.front().step].nextTransferAt
        = isExecuted ? TimePoint{} : m_clock.now() + WriteRetryDelay;
    const bool isFromRecord = transfer.progress.empty();
    if (isExecuted && !isFromRecord) {
        job.state = job.state == WorkflowState::Queued ? WorkflowState::Running : job.state;
        job.storedVersion = std::max(job.storedVersion, transfer.version);
        m_storedRevisions[job.key()] = revision != 0 ? revision : m_storedRevisions[job.key()];
    }
    for (std::size_t i = 0; i < transfer.tasks.size(); ++i) {
        const TaskRef &ref = transfer.tasks[i];
        TaskState &task = ref.task();
        if (!isExecuted) {
            task.phase = TaskPhase::Waiting;
            task.isGivenAway = !isFromRecord ? false : task.isGivenAway;
            continue;
        }
        ++m_counters.tasksGiven;
        m_givenCpu.push_back({transfer.to, ref.spec().image, ref.spec().need.cpuMillis, revision});
        logTaskEvent("task_given",
                     ref,
                     "to",
                     transfer.to,
                     "moves",
                     task.moves + 1,
                     "basis",
                     transfer.basis,
                     "revision",
                     revision);                                   // 0: an earlier copy of the write was executed
        if (task.recordRevision == transfer.recordRevisions[i]) { // otherwise it has come back meanwhile
            task.hasRecord = false;
            task.isAccountedFor = false;
            task.isRunUnheard = false;
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Taking
// ---------------------------------------------------------------------------------------------------------------------

/** A task was given to this shard. */
void WorkflowScheduler::takeTask(const StoreItem &item)
{
    GivenTask given = decodeGivenTask(item.value);
    const JobKey key = given.accepted.spec.key;
    JobState *job = findJob(key);
    if (item.key != givenTaskKey(m_keys, key, given.step, given.index)
        || (job != nullptr && givenTaskIsUnknown(*job, given))) {
        throw InvalidArgument("given task", "does not fit its key or its job");
    }
    if (job == nullptr) {
        JobPtr guest = makeJob(std::move(given.accepted), item.created);
        guest->isGuest = true;
        guest->state = WorkflowState::Running;
        for (StepState &step : guest->occurrences.front().steps) {
            for (TaskState &it : step.tasks) {
                it.phase = TaskPhase::Foreign;
            }
        }
        job = m_jobs.emplace(key, std::move(guest)).first->second.get();
        m_activeJobs.emplace(key, job);
    }
    // A former leader may know the job if it may know one of its tasks.
    job->createdRevision = std::min(job->createdRevision, item.created);
    const TaskRef ref{job, 0, given.step, given.index};
    TaskState &task = ref.task();
    if (item.revision <= task.recordRevision) {
        return;
    }
    task.recordRevision = item.revision;
    task.hasRecord = true;
    job->learnedAt = m_clock.now(); // not placed in a grace period that has begun: a successor may know the task too
    if (!isFinal(job->state) && task.phase == TaskPhase::Foreign) {
        task.phase = TaskPhase::Waiting;
        task.attemptBase = given.attemptBase;
        task.checkpoint = given.checkpoint;
        task.moves = given.moves;
        if (given.crashes.size() >= task.crashes.size()) { // otherwise the job's own progress knows more
            task.crashes = std::move(given.crashes);
        }
        task.isSuspectInRecord = true;
        task.trial = given.trial;
        task.silentStart = given.silentStart;
        task.retryAt = m_clock.now();
        task.takenAt = m_clock.now();
        if (given.waitingSinceMs != 0) {
            const std::int64_t waitedMs = m_clock.wallNow().count() - given.waitingSinceMs;
            task.waitingSince = m_clock.now() - std::chrono::milliseconds(std::max<std::int64_t>(0, waitedMs));
        }
        restoreSuspect(ref);
        m_isPlacementDue = true;
        ++m_counters.tasksTaken;
        logTaskEvent("task_taken",
                     ref,
                     "attempt_base",
                     task.attemptBase,
                     "moves",
                     task.moves,
                     "revision",
                     item.revision,
                     "loading",
                     m_loadStage != LoadStage::Done);
    }
    if (m_earlyCancels.erase(key) > 0) {
        onCancel(key);
    }
    if (!job->isGuest && !isFinal(job->state) && isGivenUp(m_settings.crashes, task.crashes)) {
        giveUpTask(ref); // another shard's workers have crashed under it
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Jobs that have failed while other shards have tasks of them
// ---------------------------------------------------------------------------------------------------------------------

/** Cancels the tasks that were given to other shards. Repeated until it is stored, also by a successor. */
void WorkflowScheduler::endGuestTasks(TimePoint now)
{
    if (m_jobsWithGuests.empty() || m_isEndingGuests || now < m_nextGuestEndAt || m_authority != Authority::Full) {
        return;
    }
    m_isEndingGuests = true;
    m_nextGuestEndAt = now + WriteRetryDelay;
    const JobKey key = *m_jobsWithGuests.begin();
    m_store.get(std::string(RegistrationPrefix) + key, ifAlive([this, key](const StoreReply &reply) {
                    m_isEndingGuests = false;
                    if (reply.status == StoreStatus::NotFound) {
                        m_jobsWithGuests.erase(key);
                    } else if (reply.status == StoreStatus::Ok && !reply.items.empty()) {
                        cancelAtGuests(key, reply.items.front());
                    }
                }));
}

void WorkflowScheduler::cancelAtGuests(const JobKey &key, const StoreItem &registration)
{
    StoreChange change;
    change.conditions = {{m_keys.leader, m_term.keyRevision}, {registration.key, registration.revision}};
    try {
        for (const ShardId it : decodeRegistration(registration.value).guestOf) {
            change.puts.push_back({makeShardKeys(it).cancels + key, {}, 0});
        }
    } catch (const Error &error) {
        m_log.write("registration_unreadable", "job", key, "error", error.what());
    }
    if (change.puts.empty()) {
        m_jobsWithGuests.erase(key);
        return;
    }
    m_isEndingGuests = true;
    m_store.change(std::move(change), ifAlive([this, key](const StoreReply &reply) {
                       m_isEndingGuests = false;
                       if (reply.status == StoreStatus::Ok) {
                           m_jobsWithGuests.erase(key);
                       }
                   }));
}

/** The records of given tasks in @p records were removed from the store. */
void WorkflowScheduler::forgetRecords(const JobKey &key, const std::vector<std::string> &records)
{
    JobState *job = findJob(key);
    for (std::uint32_t s = 0; job != nullptr && s < job->accepted.spec.steps.size(); ++s) {
        auto &tasks = job->occurrences.front().steps[s].tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            if (std::find(records.begin(), records.end(), givenTaskKey(m_keys, key, s, i)) != records.end()) {
                tasks[i].hasRecord = false;
            }
        }
    }
}

} // namespace QuetzalRock::Workflow
