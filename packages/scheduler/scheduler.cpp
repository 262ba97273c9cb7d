#include <scheduler/scheduler.h>

#include <algorithm>

namespace QuetzalRock {

namespace {

constexpr Duration NotOwnerRetryDelay = std::chrono::seconds(1); ///< for callers, while another process is the owner

FleetSettings fleetSettings(const SchedulerSettings &settings)
{
    FleetSettings fleet = settings.fleet;
    fleet.failureDomain = settings.failureDomain;
    return fleet;
}

} // namespace

ShardScheduler::ShardScheduler(
    const SchedulerSettings &settings, Log &log, DecisionEngine &engine, WorkerAgent &agent, VmList &list, Clock &clock)
    : m_settings(settings)
    , m_log(log)
    , m_engine(engine)
    , m_clock(clock)
    , m_requests(settings.queueCapacity)
    , m_fleet(fleetSettings(settings), agent, list, clock)
    , m_random(static_cast<std::minstd_rand::result_type>(settings.seed))
{
}

ShardScheduler::~ShardScheduler()
{
    stepDown();
}

// ---------------------------------------------------------------------------------------------------------------------
// Any thread
// ---------------------------------------------------------------------------------------------------------------------

template<typename T, typename RequestType>
std::future<T> ShardScheduler::enqueueRequest(RequestType request)
{
    request.promise = std::make_shared<std::promise<T>>();
    std::future<T> future = request.promise->get_future();
    enqueue(std::move(request));
    return future;
}

template<typename T, typename Read>
std::future<T> ShardScheduler::enqueueRead(Read read)
{
    const auto promise = std::make_shared<std::promise<T>>();
    enqueue(detail::ReadRequest{[promise, read = std::move(read)](const std::exception_ptr &error) {
        if (error) {
            promise->set_exception(error);
            return;
        }
        try {
            promise->set_value(read());
        } catch (const Error &) {
            promise->set_exception(std::current_exception());
        }
    }});
    return promise->get_future();
}

std::future<JobId> ShardScheduler::submit(JobSpec spec)
{
    return enqueueRequest<JobId>(detail::SubmitRequest{std::move(spec), nullptr});
}

std::future<void> ShardScheduler::cancel(JobId job)
{
    return enqueueRequest<void>(detail::CancelRequest{job, nullptr});
}

std::future<ShardStatus> ShardScheduler::status()
{
    return enqueueRead<ShardStatus>([this] { return buildStatus(); });
}

std::future<JobStatus> ShardScheduler::describe(JobId job)
{
    return enqueueRead<JobStatus>([this, job] { return buildJobStatus(job); });
}

std::future<JobId> ShardScheduler::find(std::string tenant, std::string name)
{
    return enqueueRead<JobId>([this, key = std::make_pair(std::move(tenant), std::move(name))] {
        const auto it = m_state.jobIdsByName.find(key);
        if (it == m_state.jobIdsByName.end()) {
            throw NotFound("no job named " + key.second + " of tenant " + key.first);
        }
        return it->second;
    });
}

std::future<std::string> ShardScheduler::exportHistory()
{
    return enqueueRead<std::string>([this] { return QuetzalRock::exportHistory(m_state); });
}

std::future<TransferId> ShardScheduler::transferJob(JobId job, std::string toDomain)
{
    return enqueueRequest<TransferId>(detail::TransferJobRequest{job, std::move(toDomain), nullptr});
}

std::future<TransferId>
ShardScheduler::transferAllotment(std::string tenant, const Resources &amount, std::string toDomain)
{
    return enqueueRequest<TransferId>(
        detail::TransferAllotmentRequest{std::move(tenant), amount, std::move(toDomain), nullptr});
}

std::future<std::vector<TransferOffer>> ShardScheduler::pendingOffers()
{
    return enqueueRead<std::vector<TransferOffer>>([this] { return buildOffers(); });
}

std::future<void> ShardScheduler::acceptOffer(TransferOffer offer)
{
    return enqueueRequest<void>(detail::AcceptOfferRequest{std::move(offer), nullptr});
}

std::future<void> ShardScheduler::acknowledgeTransfer(TransferId id)
{
    return enqueueRequest<void>(detail::AcknowledgeTransferRequest{id, nullptr});
}

std::future<void> ShardScheduler::setAllotment(std::string tenant, const Resources &amount)
{
    return enqueueRequest<void>(detail::SetAllotmentRequest{std::move(tenant), amount, nullptr});
}

std::future<std::map<std::string, Resources>> ShardScheduler::allotments()
{
    return enqueueRead<std::map<std::string, Resources>>([this] { return m_state.allotments; });
}

std::future<void> ShardScheduler::changeOperator(std::string operatorName)
{
    return enqueueRequest<void>(detail::ChangeOperatorRequest{std::move(operatorName), nullptr});
}

// ---------------------------------------------------------------------------------------------------------------------
// Owner thread
// ---------------------------------------------------------------------------------------------------------------------

void ShardScheduler::takeOver()
{
    stepDown();
    const Replay replay = m_log.takeOver();
    ShardState state = ShardState::decode(replay.snapshot, m_settings.history);
    for (const std::string &it : replay.records) {
        state.apply(decodeRecord(it));
    }
    m_state = std::move(state);
    m_lastJobNumber = m_state.lastJobNumber;
    m_lastTransferNumber = m_state.lastTransferNumber;
    m_fleet.reset(replay.epoch);
    for (const auto &[id, job] : m_state.jobs) {
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            const TaskState &task = job.tasks[i];
            const AttemptId attempt{{id, i}, task.lastAttempt};
            if (!task.active) {
                continue;
            }
            m_fleet.restoreAttempt(attempt, task.worker, task.reserved, job.spec.kind);
            if (task.stopping || job.phase != JobPhase::Active) {
                m_fleet.stopAttempt(
                    task.worker, attempt, job.phase == JobPhase::Active ? StopMode::Checkpoint : StopMode::Kill);
            }
        }
    }
    m_isEngineLoaded = false;
    m_isPlatformUnavailable = false;
    m_nextAppend = {};
    m_nextDecision = {};
    m_isDecisionNeeded = true;
    m_isOwner = true;
    m_isRejecting = false;
}

StepOutcome ShardScheduler::step(TimePoint now)
{
    if (!m_isOwner) {
        return StepOutcome::SteppedDown;
    }
    try {
        resolveInDoubtBatch(now);
        m_fleet.refreshList(now);
        m_fleet.pollWorkers(now);
        updateEngine(now);
        evictFromLeavingVms(now);
        dequeueRequests(now);
        snapshotIfDue(now);
        bool isWritten = false;
        if (canWrite(now)) {
            addEnds();
            processPendingRequests();
            decide(now, true);
            addStops();
            isWritten = commit(now);
        } else if (m_isPlatformUnavailable || m_inDoubtBatch) {
            decide(now, false); // no starts without a durable assignment, but throttles and stops continue
        }
        m_fleet.sendStops(now);
        m_fleet.renewLeases(now);
        return isWritten ? StepOutcome::Progressed : StepOutcome::Idle;
    } catch (const Fenced &) {
        stepDown();
    } catch (const FencedInDoubt &) {
        stepDown();
    }
    return StepOutcome::SteppedDown;
}

void ShardScheduler::waitForWork(TimePoint until)
{
    std::unique_lock lock(m_wakeMutex);
    while (!m_isWakeRequested && m_clock.now() < until) {
        m_clock.waitUntil(lock, m_wake, until);
    }
    m_isWakeRequested = false;
}

void ShardScheduler::stepDown()
{
    m_isOwner = false;
    m_isRejecting = true;
    const auto error = std::make_exception_ptr(NotRun("this process no longer owns the shard", NotOwnerRetryDelay));
    for (const auto &it : m_batch.completions) {
        it(error);
    }
    m_batch = {};
    reportInDoubtBatchAsUnknown();
    m_inDoubtBatch.reset();
    rejectPendingRequests(m_clock.now());
    rejectQueuedRequests();
    m_pendingEnds.clear();
    m_pendingStops.clear();
    m_unrunnableReasons.clear();
}

const ShardState &ShardScheduler::state() const
{
    return m_state;
}

const Fleet &ShardScheduler::fleet() const
{
    return m_fleet;
}

const SchedulerCounters &ShardScheduler::counters() const
{
    return m_counters;
}

bool ShardScheduler::canWrite(TimePoint now) const
{
    return !m_inDoubtBatch && now >= m_nextAppend;
}

Duration ShardScheduler::jitter(Duration limit)
{
    return Duration(
        std::uniform_int_distribution<Duration::rep>(0, std::max<Duration::rep>(limit.count(), 0))(m_random));
}

Duration ShardScheduler::retryAfter(TimePoint now)
{
    const Duration wait = std::max(m_nextAppend - now, m_settings.appendEvery);
    return wait + jitter(wait);
}

// ---------------------------------------------------------------------------------------------------------------------
// Decisions
// ---------------------------------------------------------------------------------------------------------------------

void ShardScheduler::loadEngine(TimePoint now)
{
    for (const auto &[id, job] : m_state.jobs) {
        restoreJob(job, now);
    }
    m_isEngineLoaded = true;
}

void ShardScheduler::restoreJob(const JobState &job, TimePoint now)
{
    m_engine.addJob(job.spec, now);
    const WallTime wallNow = m_clock.wallNow();
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        const TaskState &task = job.tasks[i];
        const TaskId id{job.spec.id, i};
        if (task.active) {
            const WallTime age = std::max(wallNow - task.assignedAt, WallTime::zero());
            m_engine.restoreAttempt(id, task.worker, now - std::chrono::duration_cast<Duration>(age));
        }
        if (task.done || job.phase != JobPhase::Active) {
            m_engine.removeTask(id);
        }
    }
}

void ShardScheduler::updateEngine(TimePoint now)
{
    for (AttemptEnded &it : m_fleet.takeEnds()) {
        m_pendingEnds.push_back(std::move(it));
    }
    if (!m_fleet.isListKnown()) {
        return;
    }
    for (const Vm &it : m_fleet.takeChangedWorkers(now)) {
        m_engine.setWorker(it);
        m_isDecisionNeeded = true;
    }
    if (!m_isEngineLoaded) {
        loadEngine(now);
    }
    for (const WorkerReport &it : m_fleet.takeReports()) {
        m_engine.observe(it, now);
    }
}

void ShardScheduler::decide(TimePoint now, bool areStartsAllowed)
{
    const bool isDue = now >= m_nextDecision || (areStartsAllowed && m_isDecisionNeeded);
    if (!m_isEngineLoaded || !isDue) {
        return;
    }
    m_nextDecision = now + m_settings.decideEvery;
    m_isDecisionNeeded = false;
    const Decisions decisions = m_engine.decide(now);
    for (const UnrunnableJob &it : decisions.unrunnable) {
        m_unrunnableReasons[it.job] = it.reason;
    }
    for (const ThrottleDecision &it : decisions.throttles) {
        const TaskState *task = m_state.findTask(it.task);
        if (task != nullptr && task->active) {
            m_fleet.throttleAttempt(task->worker, {it.task, task->lastAttempt}, it.permille, now);
        }
    }
    for (const StopDecision &it : decisions.stops) {
        requestStop(it.task, it.mode, it.inFavourOf, it.reason);
    }
    if (areStartsAllowed) {
        addStarts(decisions.starts, now);
        return;
    }
    m_counters.abandonedStarts += decisions.starts.size();
    for (const StartDecision &it : decisions.starts) {
        m_engine.abandonStart(it.task);
        m_isDecisionNeeded = true;
    }
}

void ShardScheduler::requestStop(const TaskId &id, StopMode mode, const TaskId &preemptor, const std::string &reason)
{
    const TaskState *task = m_state.findTask(id);
    if (task == nullptr || !task->active) {
        return;
    }
    const AttemptId attempt{id, task->lastAttempt};
    const AttemptView *view = m_fleet.findAttempt(task->worker, attempt);
    if (view == nullptr || view->stopRequested || view->ended) {
        return;
    }
    ++m_counters.evictions;
    m_fleet.stopAttempt(task->worker, attempt, mode);
    m_pendingStops.push_back({attempt, mode, preemptor, reason});
}

void ShardScheduler::evictFromLeavingVms(TimePoint now)
{
    for (const auto &[worker, attempt] : m_fleet.findAttemptsToEvict(now)) {
        requestStop(attempt.task, StopMode::Checkpoint, {}, "VM " + worker + " is leaving");
    }
}

void ShardScheduler::removeFromEngine(const JobState &job)
{
    m_unrunnableReasons.erase(job.spec.id);
    if (!m_isEngineLoaded) {
        return;
    }
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        if (!job.tasks[i].done) {
            m_engine.removeTask({job.spec.id, i});
        }
    }
}

} // namespace QuetzalRock
