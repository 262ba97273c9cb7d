/**
 * Moves whole jobs to another shard.
 *
 * One write moves jobs: for each, it replaces the inbox record of the old shard by one of the new shard, which contains
 * the progress, and names the new shard in the registration. Its conditions are the leader key, the inbox record and the
 * registration as this leader took the job from them, the revision of the progress, and that no cancel is stored. The
 * progress is written unchanged, so that its revision is that of the new record (spec/move.pml).
 *
 * A job without room that still has tasks at work comes to rest first: it starts nothing until these have ended, for a
 * bounded time and at most a fifth of the time. Its waiting tasks lose little by that, as they find no room.
 *
 * The leader moves only jobs whose tasks it could all start itself, so it knows that they run nowhere. Until the outcome
 * is known, it starts none of the tasks, takes neither ends nor a cancel of the job, and repeats the same write.
 */
#include <workflow/jobmove.h>
#include <workflow/scheduler.h>

#include <base/errors.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t EntriesPerJob = 8; ///< of a change: four conditions, three puts and a removal
constexpr std::size_t JobsPerMove = (MaxChangeEntries - 1) / EntriesPerJob; ///< beside the condition on the leader key
constexpr std::size_t MaxRestingJobs = 12;
constexpr Duration MaxRestTime = 10s; ///< a job whose tasks run on for longer does not come to rest
constexpr Duration RestMargin = 1s;   ///< until the ends of its runs are reported and stored
constexpr int MaxRunEstimates = 2;    ///< a run is likely to end within so many times its estimate
constexpr int RestsApart = 4;         ///< a job that has not moved does not rest again for so many times its last rest
constexpr std::size_t MaxJobsTried = 8;          ///< at a time; the choice of a destination copies the shard map
constexpr Duration StatusMaxAge = 500ms;         ///< of the other shards' statuses
constexpr Duration SearchInterval = 200ms;       ///< while no job can be moved
constexpr Duration NoDestinationRetryDelay = 1s; ///< of a job for which no other shard has room
constexpr Duration ConflictRetryDelay = 1s;      ///< of a job after a condition of its move did not hold
constexpr Duration WriteRetryDelay = 200ms;      ///< of a move with unknown outcome
constexpr Duration EndCheckInterval = 500ms;     ///< of held ends, see checkEndsOfMovedJobs()
constexpr std::uint32_t MaxDelayDoublings = 3;   ///< of WorkflowSettings::jobMoveDelay
/** A shard has clearly less waiting work if it has less than half, and this much less: statuses are a second old. */
constexpr std::int64_t MinGainMs = 1000;

constexpr std::array<std::string_view, 14> StayReasonNames{
    "none",
    "guest",
    "moving",
    "gives_tasks",
    "tasks_at_work",
    "nothing_waits",
    "tasks_elsewhere",
    "trial_under_way",
    "not_stored",
    "unknown_runs",
    "found_room_lately",
    "single_shard",
    "no_destination",
    "retry_delay",
};
static_assert(static_cast<std::size_t>(StayReason::RetryDelay) + 1 == StayReasonNames.size());

template<typename Predicate>
bool isAnyTask(const JobState &job, Predicate predicate)
{
    for (const OccurrenceState &occurrence : job.occurrences) {
        for (const StepState &step : occurrence.steps) {
            if (std::any_of(step.tasks.begin(), step.tasks.end(), predicate)) {
                return true;
            }
        }
    }
    return false;
}

bool isWaiting(const TaskState &task)
{
    return task.phase == TaskPhase::Waiting;
}

/** Whether @p shard has every label that the job requires; the name of a rack is a label of the rack's shard. */
bool hasRequiredLabels(const ShardMap &map, ShardId shard, const WorkflowSpec &spec)
{
    return std::all_of(spec.steps.begin(), spec.steps.end(), [&](const StepSpec &it) {
        const auto rack = map.shardOfRack.find(it.requiredLabel);
        return it.requiredLabel.empty() || map.shards[shard].labels.contains(it.requiredLabel)
               || (rack != map.shardOfRack.end() && rack->second == shard);
    });
}

bool isBestEffort(const WorkflowSpec &spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec &it) { return it.usesSpareCpu; });
}

/** The member of ShardStatus that counts the waiting work of such jobs. */
std::int64_t ShardStatus::*backlogFor(const WorkflowSpec &spec)
{
    return isBestEffort(spec) ? &ShardStatus::bestEffortBacklogMs : &ShardStatus::backlogMs;
}

/** The member of ShardStatus that tells how long such jobs wait. */
std::int64_t ShardStatus::*waitFor(const WorkflowSpec &spec)
{
    return isBestEffort(spec) ? &ShardStatus::bestEffortWaitMs : &ShardStatus::waitMs;
}

/**
 * Whether a job waits less in shard @p to: either its work or its waits are clearly less, and the other is not more. Where guards
 * turn tasks away, little work says nothing of the wait.
 */
bool waitsClearlyLess(const ShardStatuses &statuses, const WorkflowSpec &spec, ShardId from, ShardId to)
{
    const auto own = statuses.find(from);
    const auto other = statuses.find(to);
    if (own == statuses.end() || other == statuses.end()) {
        return false;
    }
    const auto isClearlyLess = [&](std::int64_t ShardStatus::*member) {
        return other->second.*member * 2 + MinGainMs <= own->second.*member;
    };
    const auto isNoMore
        = [&](std::int64_t ShardStatus::*member) { return other->second.*member <= own->second.*member; };
    const auto backlog = backlogFor(spec);
    const auto wait = waitFor(spec);
    return (isClearlyLess(backlog) && isNoMore(wait)) || (isClearlyLess(wait) && isNoMore(backlog));
}

bool isAtWork(const TaskState &task)
{
    return task.phase != TaskPhase::Waiting && task.phase != TaskPhase::Done;
}

const StoreItem *findItem(const StoreReply &reply, const std::string &key)
{
    const auto it = std::find_if(
        reply.items.begin(), reply.items.end(), [&key](const StoreItem &item) { return item.key == key; });
    return it == reply.items.end() ? nullptr : &*it;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Decisions
// ---------------------------------------------------------------------------------------------------------------------

bool hasOnlyIndependentLongRunningTasks(const WorkflowSpec &spec)
{
    return spec.repeatCount == 0 && std::all_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec &it) {
               return it.isLongRunning && !it.isGang && it.after.empty();
           });
}

std::string_view stayReasonName(StayReason reason)
{
    return StayReasonNames[static_cast<std::size_t>(reason)];
}

StayReason obstacleToMove(const JobState &job)
{
    if (job.isGuest || job.isCancelled || isFinal(job.state)) {
        return StayReason::Guest;
    }
    if (job.isMoving) {
        return StayReason::Moving;
    }
    if (hasOnlyIndependentLongRunningTasks(job.accepted.spec)) {
        return StayReason::GivesTasks;
    }
    const auto isElsewhere
        = [](const TaskState &it) { return it.isGivenAway || it.hasRecord || it.phase == TaskPhase::Foreign; };
    if (isAnyTask(job, isElsewhere)) {
        return StayReason::TasksElsewhere;
    }
    if (job.heldTasks > 0 || isAnyTask(job, isAtWork)) {
        return StayReason::TasksAtWork;
    }
    if (!isAnyTask(job, isWaiting)) {
        return StayReason::NothingWaits;
    }
    if (isAnyTask(job, [](const TaskState &it) { return it.trial.has_value(); })) {
        return StayReason::TrialUnderWay;
    }
    return job.storedVersion != job.version ? StayReason::NotStored : StayReason::None;
}

bool canMoveWhole(const JobState &job)
{
    return obstacleToMove(job) == StayReason::None;
}

TimePoint noRoomSince(const JobState &job)
{
    TimePoint since = TimePoint::max();
    for (const OccurrenceState &occurrence : job.occurrences) {
        for (const StepState &it : occurrence.steps) {
            if (it.noRoomSince != TimePoint{} && std::any_of(it.tasks.begin(), it.tasks.end(), isWaiting)) {
                since = std::min(since, it.noRoomSince);
            }
        }
    }
    return since;
}

bool hasLongFoundNoRoom(const JobState &job, TimePoint now, Duration delay)
{
    const TimePoint since = noRoomSince(job);
    return since != TimePoint::max() && now >= since + delay * (1U << std::min(job.moves, MaxDelayDoublings));
}

std::optional<Duration> timeToRest(const JobState &job, TimePoint now)
{
    Duration longest{};
    bool isOverdue = false; // the estimates are wrong, or its worker is out of reach
    std::size_t waiting = 0;
    std::size_t working = 0;
    for (const OccurrenceState &occurrence : job.occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const StepSpec &spec = job.accepted.spec.steps[s];
            for (const TaskState &it : occurrence.steps[s].tasks) {
                waiting += isWaiting(it) ? 1 : 0;
                if (!isAtWork(it)) {
                    continue;
                }
                ++working;
                if (spec.isLongRunning || spec.estimateMs <= 0 || it.percent == 0 || it.trial) {
                    return std::nullopt; // nobody knows when it ends
                }
                const Duration run = MaxRunEstimates * std::chrono::milliseconds(spec.estimateMs) * 100 / it.percent;
                isOverdue = isOverdue || now > it.startedAt + run;
                longest = std::max(longest, it.startedAt + run - now);
            }
        }
    }
    longest += RestMargin;
    const TimePoint since = noRoomSince(job);
    const Duration waited = since == TimePoint::max() ? Duration::zero() : now - since;
    const bool isWorthwhile
        = !isOverdue && working > 0 && working <= waiting && longest <= std::max<Duration>(MaxRestTime, waited / 2);
    return isWorthwhile ? std::optional(longest) : std::nullopt;
}

std::optional<ShardId> chooseMoveDestination(
    const ShardMap &map, const ShardStatuses &statuses, const JobState &job, ShardId from, MoveReason reason)
{
    const WorkflowSpec &spec = job.accepted.spec;
    const std::string &pool = job.accepted.pool;
    ShardMap possible = map;
    bool hasShard = false;
    for (ShardId i = 0; i < possible.shards.size(); ++i) {
        auto &capacity = possible.shards[i].poolCpuMillis;
        const bool isPossible = i != from && capacity.contains(pool) && capacity[pool] > 0
                                && hasRequiredLabels(map, i, spec)
                                && (reason == MoveReason::Evacuation || waitsClearlyLess(statuses, spec, from, i));
        if (!isPossible) {
            capacity.clear();
        }
        hasShard = hasShard || isPossible;
    }
    if (!hasShard) {
        return std::nullopt;
    }
    return hasLongRunningStep(spec) ? chooseLongRunningShard(possible, statuses, {}, pool, spec)
                                    : chooseShard(possible, statuses, pool, spec);
}

void addMovedWork(ShardStatuses &statuses, const ShardMap &map, const JobState &job, ShardId from, ShardId to)
{
    const WorkflowSpec &spec = job.accepted.spec;
    std::int64_t work = 0; // CPU millis x ms
    for (const OccurrenceState &occurrence : job.occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const auto &tasks = occurrence.steps[s].tasks;
            const auto waiting = std::count_if(tasks.begin(), tasks.end(), isWaiting);
            work += spec.steps[s].isLongRunning ? 0 : waiting * spec.steps[s].need.cpuMillis * spec.steps[s].estimateMs;
        }
    }
    const auto workMs = [&](ShardId shard) {
        const auto capacity = map.shards[shard].poolCpuMillis.find(job.accepted.pool);
        return work
               / std::max<std::int64_t>(1, capacity == map.shards[shard].poolCpuMillis.end() ? 0 : capacity->second);
    };
    const auto backlog = backlogFor(spec);
    statuses[to].*backlog += workMs(to);
    std::int64_t &left = statuses[from].*backlog;
    left = std::max<std::int64_t>(0, left - workMs(from));
}

// ---------------------------------------------------------------------------------------------------------------------
// Choosing
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::moveJobs(TimePoint now)
{
    if (m_jobMove) {
        if (!m_jobMove->isInFlight && now >= m_jobMove->retryAt) {
            sendJobMove();
        }
        return;
    }
    if (m_authority != Authority::Full) {
        return;
    }
    checkEndsOfMovedJobs(now); // also of those that were held while the shard map was not known
    if (!mayMoveJobs()) {
        return;
    }
    if (m_isReadingStatusesForMove || now < m_nextJobMoveAt) {
        return;
    }
    const MoveReason reason = isShardEvacuated() ? MoveReason::Evacuation : MoveReason::NoRoom;
    std::vector<JobState *> wanted = jobsToMove(reason, now);
    const auto firstAtWork = std::stable_partition(wanted.begin(), wanted.end(), [this](JobState *it) {
        return canMoveWhole(*it) && !isInWrite(it->key()) && isKnownToRunNowhere(*it);
    });
    const std::vector<JobState *> idle(wanted.begin(), firstAtWork);
    const std::vector<JobState *> working(firstAtWork, wanted.end());
    if (wanted.empty()) {
        m_nextJobMoveAt = now + SearchInterval;
    } else if (now >= m_statusesReadAt + StatusMaxAge) {
        readStatusesForMove();
    } else {
        beginJobMove(idle, reason, now);
        if (reason == MoveReason::NoRoom) {
            beginRests(working, now);
        }
    }
}

/**
 * The jobs that ought to leave the shard, if they can; those that have found no room for longest first, and after these
 * the ones that were tried before, so that jobs without a destination do not keep the others from their turn.
 */
std::vector<JobState *> WorkflowScheduler::jobsToMove(MoveReason reason, TimePoint now) const
{
    std::vector<std::tuple<TimePoint, TimePoint, JobState *>> waits; // next move, no room since
    for (JobState *job : m_jobOrder) {
        const StayReason obstacle = obstacleToMove(*job);
        const bool isWanted
            = reason == MoveReason::Evacuation || hasLongFoundNoRoom(*job, now, m_settings.jobMoveDelay);
        if (obstacle == StayReason::None && isResting(*job)) {
            waits.emplace_back(TimePoint::min(), TimePoint::min(), job); // it waits for nothing else
        } else if (obstacle == StayReason::None
                   || (obstacle == StayReason::TasksAtWork && reason == MoveReason::NoRoom)) {
            const TimePoint next = obstacle == StayReason::None ? job->nextMoveAt : job->nextRestAt;
            if (isWanted && now >= next) {
                waits.emplace_back(next, noRoomSince(*job), job);
            }
        }
    }
    std::stable_sort(waits.begin(), waits.end(), [](const auto &a, const auto &b) {
        return std::pair(std::get<0>(a), std::get<1>(a)) < std::pair(std::get<0>(b), std::get<1>(b));
    });
    std::vector<JobState *> jobs;
    jobs.reserve(waits.size());
    for (const auto &[next, since, job] : waits) {
        jobs.push_back(job);
    }
    return jobs;
}

bool WorkflowScheduler::mayMoveJobs() const
{
    return m_hasOtherShards && m_shard < m_shardMap->shards.size();
}

// ---------------------------------------------------------------------------------------------------------------------
// Coming to rest
// ---------------------------------------------------------------------------------------------------------------------

/** Whether the job starts nothing, so that it can move. Ends by itself if the job has not come to rest in time. */
bool WorkflowScheduler::isResting(const JobState &job) const
{
    return job.restsUntil != TimePoint{} && m_clock.now() < job.restsUntil;
}

/** Lets the first of @p jobs come to rest for which another shard has room, as many as may rest at a time. */
void WorkflowScheduler::beginRests(std::span<JobState *const> jobs, TimePoint now)
{
    auto resting = static_cast<std::size_t>(
        std::count_if(m_jobOrder.begin(), m_jobOrder.end(), [this](const JobState *it) { return isResting(*it); }));
    std::size_t tried = 0;
    for (JobState *job : jobs) {
        if (resting >= MaxRestingJobs || tried >= MaxJobsTried) {
            return;
        }
        if (obstacleToMove(*job) != StayReason::TasksAtWork || isResting(*job)) {
            continue;
        }
        job->nextRestAt = now + NoDestinationRetryDelay;
        const std::optional<Duration> time = timeToRest(*job, now);
        if (!time) {
            continue;
        }
        ++tried;
        const auto to = chooseMoveDestination(*m_shardMap, m_statuses, *job, m_shard, MoveReason::NoRoom);
        if (!to) {
            continue;
        }
        addMovedWork(m_statuses, *m_shardMap, *job, m_shard, *to);
        job->restsUntil = now + *time;
        job->nextRestAt = job->restsUntil + std::max(m_settings.jobMoveDelay, RestsApart * *time);
        ++resting;
        m_log.write("job_rests",
                    "job",
                    job->key(),
                    "held",
                    job->heldTasks,
                    "to",
                    *to,
                    "at_most_ms",
                    std::chrono::duration_cast<std::chrono::milliseconds>(*time).count());
    }
}

/** Whether this leader could start every task of the job that is not done, and has seen no run of it that it stopped. */
bool WorkflowScheduler::isKnownToRunNowhere(JobState &job) const
{
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
            const auto &tasks = job.occurrences[k].steps[s].tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                if (tasks[i].phase != TaskPhase::Done
                    && (mayBeRunningElsewhere({&job, k, s, i}) || isStartInDoubt(tasks[i], m_clock.now()))) {
                    return false;
                }
            }
        }
    }
    return std::none_of(m_workers.begin(), m_workers.end(), [&job](const auto &worker) {
        return std::any_of(worker->unknownRuns.begin(), worker->unknownRuns.end(), [&job](const RunName &run) {
            return run.task.job == job.key();
        });
    });
}

/** Why the job, whose tasks wait, is not moved. The destination is sought by the statuses that were read last. */
StayReason WorkflowScheduler::stayReason(JobState &job, TimePoint now) const
{
    if (const StayReason obstacle = obstacleToMove(job); obstacle != StayReason::None) {
        return obstacle;
    }
    if (isInWrite(job.key())) {
        return StayReason::NotStored;
    }
    if (!isKnownToRunNowhere(job)) {
        return StayReason::UnknownRuns;
    }
    if (!isShardEvacuated() && !hasLongFoundNoRoom(job, now, m_settings.jobMoveDelay)) {
        return StayReason::FoundRoomLately;
    }
    if (!mayMoveJobs()) {
        return StayReason::SingleShard;
    }
    const MoveReason reason = isShardEvacuated() ? MoveReason::Evacuation : MoveReason::NoRoom;
    if (!chooseMoveDestination(*m_shardMap, m_statuses, job, m_shard, reason)) {
        return StayReason::NoDestination;
    }
    return now < job.nextMoveAt ? StayReason::RetryDelay : StayReason::None;
}

void WorkflowScheduler::readStatusesForMove()
{
    m_isReadingStatusesForMove = true;
    m_store.range(StatusPrefix, {}, ifAlive([this](const StoreReply &reply) {
                      m_isReadingStatusesForMove = false;
                      if (reply.status == StoreStatus::Ok) {
                          onStatusesRead(reply);
                      } else {
                          m_nextJobMoveAt = m_clock.now() + WriteRetryDelay;
                      }
                  }));
}

// ---------------------------------------------------------------------------------------------------------------------
// Moving
// ---------------------------------------------------------------------------------------------------------------------

/** Moves the first of @p jobs for which there are destinations, as many as one write can. */
void WorkflowScheduler::beginJobMove(std::span<JobState *const> jobs, MoveReason reason, TimePoint now)
{
    ShardMap map = *m_shardMap;
    for (ShardInfo &it : map.shards) {
        if (m_evacuations != nullptr && m_evacuations->isRequested(it.failureDomain)) {
            it.poolCpuMillis.clear(); // the map still has this capacity if every shard is evacuated
        }
    }
    JobMove move;
    move.reason = reason;
    move.change.conditions = {{m_keys.leader, m_term.keyRevision}};
    std::size_t tried = 0;
    for (JobState *job : jobs) {
        if (move.jobs.size() == JobsPerMove || ++tried > MaxJobsTried) {
            break;
        }
        const auto to = chooseMoveDestination(map, m_statuses, *job, m_shard, reason);
        if (!to) {
            job->nextMoveAt = now + NoDestinationRetryDelay;
            job->restsUntil = {};
            continue;
        }
        addMovedWork(m_statuses, map, *job, m_shard, *to);
        addToMove(move, *job, *to);
    }
    if (move.jobs.empty()) {
        m_nextJobMoveAt = now + SearchInterval;
        return;
    }
    m_jobMove = std::move(move);
    sendJobMove();
}

void WorkflowScheduler::addToMove(JobMove &move, JobState &job, ShardId to)
{
    const JobKey &key = job.key();
    const std::string registration = std::string(RegistrationPrefix) + key;
    const std::string progress = std::string(ProgressPrefix) + key;
    AcceptedJob accepted = job.accepted;
    accepted.moved = MovedJob{encodeProgress(job), highestAttempt(job), job.moves + 1};
    StoreChange &change = move.change;
    // The registration and the inbox record were written together, so they have the same revision.
    change.conditions.push_back({registration, job.createdRevision});
    change.conditions.push_back({m_keys.jobs + key, job.createdRevision});
    change.conditions.push_back({m_keys.cancels + key, 0});
    change.conditions.push_back({progress, m_storedRevisions[key]});
    change.puts.push_back({registration, encodeRegistration({to, {}}), 0});
    change.puts.push_back({makeShardKeys(to).jobs + key, encodeAccepted(accepted), 0});
    change.puts.push_back({progress, accepted.moved->progress, 0});
    change.removals.push_back(m_keys.jobs + key);
    move.jobs.push_back({key, to, basisOfLeaving(job)});
    job.isMoving = true;
    reserveForWrite(key);
}

/** No attempt of any of the job's tasks so far has a higher number. */
std::uint64_t WorkflowScheduler::highestAttempt(const JobState &job) const
{
    std::uint64_t highest = 0;
    isAnyTask(job, [&](const TaskState &it) {
        highest = std::max(highest, nextAttempt(it) - 1);
        return false;
    });
    return highest;
}

void WorkflowScheduler::sendJobMove()
{
    m_jobMove->isInFlight = true;
    ++m_counters.writes;
    m_store.change(m_jobMove->change, ifAlive([this](const StoreReply &reply) { onJobMoveReply(reply); }));
}

void WorkflowScheduler::onJobMoveReply(const StoreReply &reply)
{
    m_jobMove->isInFlight = false;
    switch (reply.status) {
    case StoreStatus::Ok:
    case StoreStatus::Conflict: // no copy of this write can succeed any more; an earlier one may have
        endJobMove(reply);
        return;
    case StoreStatus::NotExecuted:
    case StoreStatus::NotFound:
        if (!m_jobMove->mayBeStored) {
            endJobMove(reply);
            return;
        }
        break;
    case StoreStatus::Unknown:
        m_jobMove->mayBeStored = true;
        break;
    }
    m_jobMove->retryAt = m_clock.now() + WriteRetryDelay;
}

/** The outcome of the move is known: @p reply is the last one, and no copy of the write is executed any more. */
void WorkflowScheduler::endJobMove(const StoreReply &reply)
{
    const JobMove move = std::move(*m_jobMove);
    m_jobMove.reset();
    m_isPlacementDue = true;
    const TimePoint now = m_clock.now();
    if (reply.status == StoreStatus::Conflict) {
        const StoreItem *leader = findItem(reply, m_keys.leader);
        m_isDeposed = m_isDeposed || leader == nullptr || leader->revision != m_term.keyRevision;
    }
    for (const MovingJob &it : move.jobs) {
        cancelReservation(it.key);
        JobState &job = *findJob(it.key);
        // Only leaders of this shard remove the record, by a move of the job. Another shard may have moved it back since.
        const StoreItem *record = findItem(reply, m_keys.jobs + it.key);
        const bool isRecordGone = record == nullptr || record->revision != job.createdRevision;
        if (reply.status == StoreStatus::Ok || (reply.status == StoreStatus::Conflict && isRecordGone)) {
            ++m_counters.jobsMoved;
            m_log.write("job_moved",
                        "job",
                        it.key,
                        "shard",
                        m_shard,
                        "to",
                        it.to,
                        "moves",
                        job.moves + 1,
                        "why",
                        move.reason == MoveReason::Evacuation ? "evacuation" : "no room",
                        "basis",
                        it.basis,
                        "revision",
                        reply.revision); // 0: an earlier copy of the write was executed
            forgetMovedJob(it.key);
            continue;
        }
        job.isMoving = false;
        job.restsUntil = {};
        job.nextMoveAt = now + WriteRetryDelay;
        if (reply.status == StoreStatus::Conflict) {
            onMoveConflict(job, reply);
        }
        if (m_earlyCancels.erase(it.key) > 0) {
            onCancel(it.key);
        }
    }
}

/** A move of the job met a conflict and was not executed. */
void WorkflowScheduler::onMoveConflict(JobState &job, const StoreReply &conflict)
{
    const JobKey &key = job.key();
    job.nextMoveAt = m_clock.now() + ConflictRetryDelay;
    if (const StoreItem *progress = findItem(conflict, std::string(ProgressPrefix) + key)) {
        m_storedRevisions[key] = progress->revision; // only this leader writes it
    }
    const StoreItem *registration = findItem(conflict, std::string(RegistrationPrefix) + key);
    if (registration != nullptr && registration->revision != job.createdRevision) {
        m_log.write("job_not_movable", "job", key, "revision", registration->revision, "created", job.createdRevision);
        job.nextMoveAt = TimePoint::max(); // some of its tasks were given to other shards
    }
}

/** The job belongs to another shard, or is on its way back: this leader took part of it only as it was before. */
void WorkflowScheduler::forgetMovedJob(const JobKey &key)
{
    const JobState *job = findJob(key);
    for (const auto &worker : m_workers) {
        worker->reservedFor = worker->reservedFor == job ? nullptr : worker->reservedFor;
        for (UnacknowledgedEnd &it : worker->unacknowledgedEnds) {
            if (it.job == key) { // stored before the move began
                it = {it.sequence, {}, 0, it.elsewhere};
            }
        }
    }
    m_cpuSharingJob = m_cpuSharingJob == job ? nullptr : m_cpuSharingJob;
    m_activeJobs.erase(key);
    std::erase(m_jobOrder, job);
    std::erase(m_overdueJobs, job);
    std::erase_if(m_departures, [job](const TaskRef &it) { return it.job == job; });
    m_storedRevisions.erase(key);
    m_storeQueue.forget(key);
    m_jobs.erase(key);
    if (const auto returned = m_returnedJobs.find(key); returned != m_returnedJobs.end()) {
        const StoreItem item = std::move(returned->second);
        m_returnedJobs.erase(returned);
        addJob(item);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Ends of runs that are reported after their job has moved
// ---------------------------------------------------------------------------------------------------------------------

/**
 * A worker out of reach may have completed a task before the task's job moved on without that end. Such an end is held:
 * acknowledged only once the task or its job has ended, since a task is never started after its acknowledged end.
 */
void WorkflowScheduler::checkEndsOfMovedJobs(TimePoint now)
{
    if (now < m_nextEndCheckAt) {
        return;
    }
    m_nextEndCheckAt = now + EndCheckInterval;
    std::set<TaskName> tasks;
    for (const auto &worker : m_workers) {
        if (!worker->unacknowledgedEnds.empty() && worker->unacknowledgedEnds.front().elsewhere) {
            tasks.insert(*worker->unacknowledgedEnds.front().elsewhere);
        }
    }
    std::erase_if(m_endsSettledElsewhere, [&tasks](const TaskName &it) { return !tasks.contains(it); });
    for (const TaskName &task : tasks) {
        if (!m_endsSettledElsewhere.contains(task)) {
            m_store.get(std::string(ProgressPrefix) + task.job,
                        ifAlive([this, task](const StoreReply &reply) { onEndChecked(task, reply); }));
        }
    }
}

void WorkflowScheduler::onEndChecked(const TaskName &task, const StoreReply &reply)
{
    try {
        const bool isRemoved = reply.status == StoreStatus::NotFound; // a job that has moved has progress
        const bool isKnown = reply.status == StoreStatus::Ok && !reply.items.empty();
        if (isRemoved || (isKnown && decodeIsDone(reply.items.front().value, task))) {
            m_endsSettledElsewhere.insert(task);
        }
    } catch (const Error &error) {
        m_log.write("progress_unreadable", "job", task.job, "error", error.what());
    }
}

} // namespace QuetzalRock::Workflow
