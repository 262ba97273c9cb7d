/** WorkflowScheduler: reports tasks that wait, and for what. Nothing here changes a placement. */
#include <workflow/scheduler.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration WaitCheckInterval = 1s;
constexpr Duration ReportedWait = 2s; ///< shorter waits are not reported

constexpr Duration LongWait = 5s; ///< of a shard's tasks, from which on it is logged
constexpr Duration ShardWaitLogInterval = 5s;

/** Steps diagnosed at each check; each costs as much as the placement of a task that fits nowhere. */
constexpr std::size_t MaxDiagnoses = 4;
constexpr std::size_t LongRunningDiagnoses = 2; ///< of these, kept for long-running steps while any wait

/** Between two reports on a step: as long as it has waited, within these bounds, so that others get their turn. */
constexpr Duration MinReportInterval = 5s;
constexpr Duration MaxReportInterval = 30s;

constexpr std::array<std::string_view, 14> WaitReasonNames{
    "none",
    "no_authority",
    "new_in_grace",
    "resting",
    "moving",
    "retry_delay",
    "unread_workers",
    "given_up",
    "held_by_suspect",
    "trial",
    "no_worker",
    "no_room",
    "gang",
    "order",
};
static_assert(static_cast<std::size_t>(WaitReason::Order) + 1 == WaitReasonNames.size());

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

bool getsNoStarts(Refusal refusal)
{
    return refusal != Refusal::None && refusal < Refusal::OtherPool;
}

} // namespace

std::string_view waitReasonName(WaitReason reason)
{
    return WaitReasonNames[static_cast<std::size_t>(reason)];
}

std::string_view WaitDiagnosis::why() const
{
    return mainRefusal != Refusal::None ? refusalName(mainRefusal) : waitReasonName(reason);
}

std::string WaitDiagnosis::turnedAwayText() const
{
    std::string text;
    for (std::size_t i = 0; i < turnedAway.size(); ++i) {
        if (turnedAway[i] > 0 && static_cast<Refusal>(i) != Refusal::None) {
            text += text.empty() ? "" : ",";
            text += refusalName(static_cast<Refusal>(i));
            text += ":" + std::to_string(turnedAway[i]);
        }
    }
    return text;
}

const WaitingTasks &WorkflowScheduler::waitingTasks() const
{
    return m_waitingTasks;
}

void WorkflowScheduler::reportWaitingTasks(TimePoint now)
{
    if (now < m_nextWaitCheckAt) {
        return;
    }
    m_nextWaitCheckAt = now + WaitCheckInterval;
    m_waitingTasks = {};
    std::vector<WaitingStep> due; // whose next report is due
    for (const auto &[key, job] : m_activeJobs) {
        if (!job->isCancelled) {
            findWaitingSteps(*job, now, due);
        }
    }
    for (const WaitingStep &it : chooseReported(due)) {
        StepState &state = it.longest.job->occurrences[it.longest.occurrence].steps[it.longest.step];
        state.nextWaitReportAt = now + std::clamp(it.waited, MinReportInterval, MaxReportInterval);
        m_waitingTasks.diagnoses.push_back(diagnose(it, now));
        state.turnedAwayFor = m_waitingTasks.diagnoses.back().mainRefusal;
        logDiagnosis(it.longest, m_waitingTasks.diagnoses.back());
    }
    for (const WaitingStep &it : due) {
        addTurnedAway(it.longest.job->occurrences[it.longest.occurrence].steps[it.longest.step], it.waited);
    }
    m_recentStarts.clear();
    logShardWaits(now);
    reportSuspects(now);
}

void WorkflowScheduler::addTurnedAway(const StepState &step, Duration waited)
{
    if (step.turnedAwayFor != Refusal::None) {
        Duration &oldest = m_waitingTasks.turnedAway[step.turnedAwayFor];
        oldest = std::max(oldest, waited);
    }
}

/** Counts the waiting tasks of a job's due steps, and adds to @p due the steps to be reported on. */
void WorkflowScheduler::findWaitingSteps(JobState &job, TimePoint now, std::vector<WaitingStep> &due)
{
    const WorkflowSpec &spec = job.accepted.spec;
    const std::int64_t wallMs = m_clock.wallNow().count();
    QueueWait *queue = nullptr;
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        const std::int64_t dueMs = spec.firstStartMs + static_cast<std::int64_t>(k) * spec.intervalMs;
        if (spec.repeatCount > 0 && wallMs < dueMs) {
            return; // later occurrences are not due either
        }
        OccurrenceState &occurrence = job.occurrences[k];
        for (std::uint32_t s = 0; s < occurrence.steps.size() && occurrence.doneSteps < occurrence.steps.size(); ++s) {
            StepState &state = occurrence.steps[s];
            if (state.doneCount == state.tasks.size() || !arePredecessorsDone(job, k, s)) {
                continue;
            }
            if (state.readySince == TimePoint{}) {
                const TimePoint dueAt = now - std::chrono::milliseconds(wallMs - dueMs);
                state.readySince = !spec.steps[s].after.empty() ? now
                                   : spec.repeatCount > 0       ? std::max(job.learnedAt, dueAt)
                                                                : job.learnedAt;
            }
            WaitingStep step{{&job, k, s, 0}, {}, 0, 0};
            countWaitingTasks(step, now);
            state.turnedAwayFor = step.reported == 0 ? Refusal::None : state.turnedAwayFor;
            if (step.tasks == 0) {
                continue;
            }
            queue = queue == nullptr ? &m_waitingTasks.queues[job.accepted.queue] : queue;
            queue->tasks += step.tasks;
            queue->oldest = std::max(queue->oldest, step.waited);
            Duration &oldest = spec.steps[s].isLongRunning ? m_waitingTasks.oldestLongRunning : m_waitingTasks.oldest;
            oldest = std::max(oldest, step.waited);
            if (step.reported > 0 && spec.steps[s].isLongRunning) {
                const bool isUnread = mayBeRunningElsewhere(step.longest);
                (isUnread ? m_waitingTasks.forUnreadWorkers : m_waitingTasks.forRoom) += step.reported;
            }
            if (step.reported > 0 && now >= state.nextWaitReportAt) {
                due.push_back(step);
            } else {
                addTurnedAway(state, step.waited);
            }
        }
    }
}

void WorkflowScheduler::countWaitingTasks(WaitingStep &step, TimePoint now) const
{
    TaskRef ref = step.longest;
    const auto &tasks = ref.job->occurrences[ref.occurrence].steps[ref.step].tasks;
    for (ref.index = 0; ref.index < tasks.size(); ++ref.index) {
        if (tasks[ref.index].phase != TaskPhase::Waiting) {
            continue;
        }
        const Duration waited = waitOf(ref, now);
        ++step.tasks;
        step.reported += waited >= ReportedWait ? 1 : 0;
        if (step.tasks == 1 || waited > step.waited) {
            step.waited = waited;
            step.longest = ref;
        }
    }
}

/**
 * How long a task has waited since it last ran, or since it could run for the first time. Former leaders' runs are not
 * known, so a new leader counts from its own start, except for tasks that show no sign of a run and that a job has from
 * its beginning: these have waited since the job was accepted.
 */
Duration WorkflowScheduler::waitOf(const TaskRef &ref, TimePoint now) const
{
    const JobState &job = *ref.job;
    const TaskState &task = ref.task();
    const TimePoint readySince = job.occurrences[ref.occurrence].steps[ref.step].readySince;
    const Duration waited = now - std::max({job.learnedAt, readySince, task.waitingSince});
    const bool hasRun = task.waitingSince != TimePoint{} || !task.failedAttempts.empty() || !task.checkpoint.empty()
                        || (ref.spec().isLongRunning && job.state != WorkflowState::Queued);
    const bool isFromBeginning = ref.spec().after.empty() && job.accepted.spec.repeatCount == 0 && !job.isGuest;
    return isFromBeginning && !hasRun ? std::max(waited, jobAge(job)) : waited;
}

/** The steps that have waited longest. Long-running ones go first to some extent: their services lack capacity. */
std::span<const WorkflowScheduler::WaitingStep> WorkflowScheduler::chooseReported(std::vector<WaitingStep> &due)
{
    const auto byWait = [](const WaitingStep &a, const WaitingStep &b) { return a.waited > b.waited; };
    const auto others
        = std::partition(due.begin(), due.end(), [](const WaitingStep &it) { return it.longest.spec().isLongRunning; });
    const auto n = std::min<std::ptrdiff_t>(LongRunningDiagnoses, others - due.begin());
    std::partial_sort(due.begin(), due.begin() + n, others, byWait);
    const auto end = due.begin() + std::min<std::ptrdiff_t>(MaxDiagnoses, due.end() - due.begin());
    std::partial_sort(due.begin() + n, end, due.end(), byWait);
    return {due.begin(), end};
}

WaitDiagnosis WorkflowScheduler::diagnose(const WaitingStep &step, TimePoint now) const
{
    const TaskRef &ref = step.longest;
    const AcceptedJob &accepted = ref.job->accepted;
    WaitDiagnosis it;
    it.job = ref.job->key();
    it.queue = accepted.queue;
    it.step = ref.step;
    it.task = ref.index;
    it.tasks = step.reported;
    it.waited = step.waited;
    it.age = jobAge(*ref.job);
    it.stays = stayReason(*ref.job, now);
    it.rank = static_cast<std::size_t>(std::find(m_jobOrder.begin(), m_jobOrder.end(), ref.job) - m_jobOrder.begin());
    for (const RecentStart &start : m_recentStarts) {
        const bool competes = start.usesSpareCpu == ref.spec().usesSpareCpu && start.pool == accepted.pool;
        it.overtaking += competes && start.acceptedMs > accepted.acceptedMs ? 1 : 0;
    }
    std::uint32_t usable = 0;
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i]->isRegistered && m_workers[i]->record.pool == accepted.pool) {
            const Refusal refusal = placementRefusal(i, ref, now);
            ++it.turnedAway[static_cast<std::size_t>(refusal)];
            usable += getsNoStarts(refusal) ? 0 : 1;
        }
    }
    it.reason = waitReasonOf(ref, usable, it.turnedAway.front(), now);
    if (it.reason == WaitReason::NoWorker || it.reason == WaitReason::NoRoom) {
        const auto first = it.turnedAway.begin() + 1;
        const auto suitability = it.turnedAway.begin() + static_cast<std::ptrdiff_t>(Refusal::OtherPool);
        const auto most
            = usable > 0 ? std::max_element(suitability, it.turnedAway.end()) : std::max_element(first, suitability);
        it.mainRefusal = *most > 0 ? static_cast<Refusal>(most - it.turnedAway.begin()) : Refusal::None;
    }
    return it;
}

/** @p usable is the number of workers that get starts, @p fitting the number of those that have room for the task. */
WaitReason
WorkflowScheduler::waitReasonOf(const TaskRef &ref, std::uint32_t usable, std::uint32_t fitting, TimePoint now) const
{
    if (m_authority == Authority::None) {
        return WaitReason::NoAuthority;
    }
    if (const WaitReason hold = holdOf(*ref.job); hold != WaitReason::None) {
        return hold;
    }
    if (const WaitReason hold = holdOf(ref, now); hold != WaitReason::None) {
        return hold;
    }
    if (ref.task().trial || isSuspected(m_settings.crashes, ref.task().crashes)) {
        return WaitReason::Trial;
    }
    if (fitting > 0) {
        return ref.spec().isGang ? WaitReason::Gang : WaitReason::Order;
    }
    return usable > 0 ? WaitReason::NoRoom : WaitReason::NoWorker;
}

void WorkflowScheduler::logDiagnosis(const TaskRef &ref, const WaitDiagnosis &diagnosis)
{
    logTaskEvent("tasks_wait",
                 ref,
                 "tasks",
                 diagnosis.tasks,
                 "waited_ms",
                 milliseconds(diagnosis.waited),
                 "age_ms",
                 milliseconds(diagnosis.age),
                 "queue",
                 diagnosis.queue,
                 "epoch",
                 m_term.epoch,
                 "why",
                 diagnosis.why(),
                 "rank",
                 diagnosis.rank,
                 "overtaking",
                 diagnosis.overtaking,
                 "with_room",
                 diagnosis.turnedAway.front(),
                 "turned_away",
                 diagnosis.turnedAwayText(),
                 "unread",
                 m_unreadWorkerCount,
                 "stays",
                 stayReasonName(diagnosis.stays));
}

/** Logs the longest waits of the shard while they are long, so that shards can be compared. */
void WorkflowScheduler::logShardWaits(TimePoint now)
{
    if (now < m_nextShardWaitLogAt || std::max(m_waitingTasks.oldest, m_waitingTasks.oldestLongRunning) < LongWait) {
        return;
    }
    m_nextShardWaitLogAt = now + ShardWaitLogInterval;
    const auto ready = std::count_if(m_workers.begin(), m_workers.end(), [](const auto &it) {
        return it->isRegistered && it->record.condition == WorkerCondition::Ready;
    });
    std::uint32_t tasks = 0;
    for (const auto &[name, queue] : m_waitingTasks.queues) {
        tasks += queue.tasks;
    }
    m_log.write("shard_waits",
                "shard",
                m_shard,
                "epoch",
                m_term.epoch,
                "oldest_ms",
                milliseconds(m_waitingTasks.oldest),
                "oldest_long_running_ms",
                milliseconds(m_waitingTasks.oldestLongRunning),
                "tasks",
                tasks,
                "ready_workers",
                ready);
}

} // namespace QuetzalRock::Workflow
