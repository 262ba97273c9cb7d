/**
 * WorkflowScheduler: start orders, their answers, and starts without an answer.
 *
 * A start without an answer may be executed for a while, also by the worker's next incarnation, which knows neither a stop of that
 * run nor our fencing token. Such a start is in doubt until then. It is repeated at the same worker under the same run name,
 * which is idempotent; an answer to the repetition says nothing of the first order. If its task has to wait after all, it may
 * start nowhere else meanwhile.
 */
#include <workflow/scheduler.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration RejectionBackoff = 300ms; ///< a worker gets no starts after it has rejected one
constexpr Duration StartRetryDelay = 20ms;   ///< of a task after its start was rejected

} // namespace

/** Sends the start of a task that has its room reserved, or repeats it. */
void WorkflowScheduler::sendStart(const TaskRef &ref)
{
    const TimePoint now = m_clock.now();
    TaskState &task = ref.task();
    const WorkerIndex index = task.worker;
    WorkerState &worker = *m_workers[index];
    task.orderedAt = now;
    task.startedAt = now;
    task.isStartUnanswered = false;
    StartOrder order;
    order.run = {ref.name(), task.attempt};
    order.payload = ref.job->accepted.spec.payload;
    order.checkpoint = task.checkpoint;
    order.validUntilMs = worker.clock.workerTimeAfter(m_settings.orderValidity, now);
    task.validUntilMs = order.validUntilMs;
    worker.leaseEndsBy = std::max(worker.leaseEndsBy, worker.clock.latestLocalTimeAfter(m_settings.orderValidity, now));
    ++worker.pendingExtensions;
    SentStart sent;
    sent.ref = ref;
    sent.key = ref.job->key();
    sent.worker = index;
    sent.attempt = task.attempt;
    sent.validUntilMs = order.validUntilMs;
    sent.sentAt = now;
    sent.doubtUntil = task.openStarts > 0 ? task.doubtUntil : TimePoint{};
    ++task.openStarts;
    task.doubtWorker = index;
    task.doubtFence = worker.fence;
    task.doubtUntil = now + m_settings.maxOrderDelay;
    const auto onReply = [this, sent, fence = worker.fence](const OrderReply &reply) {
        const bool isOfThisFence = m_workers[sent.worker]->fence == fence;
        noteExtensionAnswer(*m_workers[sent.worker], reply.status, sent.sentAt);
        noteStartAnswer(sent.worker, sent.validUntilMs, isOfThisFence, reply);
        if (findJob(sent.key) != sent.ref.job) {
            return;
        }
        endDoubt(sent, reply.status);
        // Rejected because of our own newer token after the worker restarted: its first report decides.
        if (reply.status != OrderStatus::Fenced || isOfThisFence) {
            onStartReply(sent, reply);
        }
    };
    m_port.start(target(worker), order, ifAlive(onReply));
}

/** A start that was answered will not be executed later; those before it without an answer may. */
void WorkflowScheduler::endDoubt(const SentStart &sent, OrderStatus status) const
{
    TaskState &task = sent.ref.task();
    const bool isLast = task.doubtWorker == sent.worker && task.doubtUntil == sent.sentAt + m_settings.maxOrderDelay;
    if (status == OrderStatus::Unanswered || !isLast || task.openStarts == 0) {
        return;
    }
    --task.openStarts;
    task.doubtUntil = sent.doubtUntil;
}

/**
 * Whether a start of the task that got no answer may still be executed by the worker's next incarnation, or may run there, while
 * the present one knows nothing of the run. Not once a new incarnation has reported under a newer token, which rejects the start, or
 * another worker replies at the address, as the order names the one that it is meant for. Neither silence, the end of a lease, a
 * drain nor a missing registry entry says anything of the next incarnation.
 */
bool WorkflowScheduler::isStartInDoubt(const TaskState &task, TimePoint now) const
{
    if (task.openStarts == 0) {
        return false;
    }
    const WorkerState &worker = *m_workers[task.doubtWorker];
    const bool rejectsIt = worker.hasReported && worker.fence > task.doubtFence;
    if (rejectsIt || worker.isReplaced) {
        return false;
    }
    return now < task.doubtUntil || (mayRunUnread(task, worker) && now < cutLeaseEnd(task.doubtUntil));
}

/** Whether an incarnation of the silent worker that nobody has read may run the task by a start in doubt. */
bool WorkflowScheduler::mayRunUnread(const TaskState &task, const WorkerState &worker) const
{
    const bool isNextIncarnationSeen = worker.fence != task.doubtFence;
    return !worker.hasReplied() && (worker.isRegistered || isNextIncarnationSeen);
}

/** Whether no start in doubt keeps the task from @p worker. It is tried for a while where that start may be executed. */
bool WorkflowScheduler::mayStartAt(const TaskState &task, const WorkerState &worker, TimePoint now) const
{
    if (!isStartInDoubt(task, now)) {
        return true;
    }
    const bool isTried
        = task.startTriedSince == TimePoint{} || now < task.startTriedSince + m_settings.unansweredStartTime;
    return isTried && &worker == m_workers[task.doubtWorker].get();
}

/** Repeats a start that got no answer, or stops it for good. */
void WorkflowScheduler::continueUnansweredStart(const TaskRef &ref)
{
    const TaskState &task = ref.task();
    const WorkerState &worker = *m_workers[task.worker];
    const TimePoint now = m_clock.now();
    if (worker.fence != task.doubtFence || m_authority == Authority::None) {
        return; // the first report of the new incarnation decides
    }
    const Refusal refusal = unusableReason(worker, now);
    if (refusal == Refusal::Silent) {
        return; // a start would extend its lease; its next report decides, or the end of the lease
    }
    if (now < task.orderedAt + m_settings.callRetryDelay) {
        return; // the connection broke at once; a later report continues it
    }
    const bool mayRepeat = refusal == Refusal::None || refusal == Refusal::BackingOff || refusal == Refusal::UnknownRuns
                           || refusal == Refusal::OutdatedEntry;
    if (mayRepeat && !m_isPaused && now < task.startTriedSince + m_settings.unansweredStartTime) {
        sendStart(ref);
        return;
    }
    ref.task().avoidedWorker = task.worker;
    stopTask(ref, "start not answered");
}

void WorkflowScheduler::onStartReply(const SentStart &sent, const OrderReply &reply)
{
    m_now = m_clock.now();
    const TaskRef &ref = sent.ref;
    WorkerState &worker = *m_workers[sent.worker];
    TaskState &task = ref.task();
    const bool isOrderPending = task.worker == sent.worker && task.attempt == sent.attempt
                                && (task.phase == TaskPhase::Starting || task.phase == TaskPhase::Stopping);
    if (!isOrderPending) {
        return; // a report has already settled it
    }
    if (reply.status == OrderStatus::Accepted) {
        task.isAcknowledged = true;
        task.hasBegun = true;
        task.answeredAt = m_now;
        orderPendingThrottle(ref);
        return;
    }
    if (reply.status == OrderStatus::Fenced) {
        m_isDeposed = true;
        return;
    }
    if (reply.status == OrderStatus::Unanswered) {
        ++m_counters.startsUnanswered;
        logTaskEvent("start_unanswered", ref, "worker", worker.record.id, "open", task.openStarts);
        if (task.phase == TaskPhase::Starting) {
            task.isStartUnanswered = true;
            continueUnansweredStart(ref);
        }
        return;
    }
    ++m_counters.startsRejected;
    logTaskEvent("start_rejected",
                 ref,
                 "worker",
                 worker.record.id,
                 "status",
                 static_cast<int>(reply.status),
                 "free_cpu",
                 worker.freeResources().cpuMillis,
                 "free_mib",
                 worker.freeResources().memoryMib);
    if (isStartInDoubt(task, m_now)) {
        onRepeatRejected(ref, reply.status);
        return;
    }
    worker.noStartsUntil = m_now + RejectionBackoff;
    releaseResources(ref);
    requeueTask(ref, StartRetryDelay);
}

/** An earlier start of the run got no answer: it has been executed, or a stop has to bar it first. */
void WorkflowScheduler::onRepeatRejected(const TaskRef &ref, OrderStatus status)
{
    TaskState &task = ref.task();
    if (status == OrderStatus::Superseded && task.phase == TaskPhase::Starting) {
        task.isAcknowledged = true; // the next report lists its end
        task.answeredAt = m_now;
        return;
    }
    m_workers[task.worker]->noStartsUntil = m_now + RejectionBackoff;
    stopTask(ref, "start rejected after one without an answer");
}

} // namespace QuetzalRock::Workflow
