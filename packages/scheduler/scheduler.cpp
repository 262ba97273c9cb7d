#include <scheduler/scheduler.h>

#include <algorithm>

namespace QuetzalRock {

namespace {

constexpr Duration RetryElsewhere = std::chrono::seconds(1); ///< while this process is not the owner

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
std::future<T> ShardScheduler::push(RequestType request)
{
    request.answer = std::make_shared<std::promise<T>>();
    std::future<T> future = request.answer->get_future();
    enqueue(std::move(request));
    return future;
}

template<typename T, typename Ask>
std::future<T> ShardScheduler::askOwner(Ask ask)
{
    const auto answer = std::make_shared<std::promise<T>>();
    enqueue(detail::Question{[answer, ask = std::move(ask)](const std::exception_ptr &error) {
        if (error) {
            answer->set_exception(error);
            return;
        }
        try {
            answer->set_value(ask());
        } catch (const Error &) {
            answer->set_exception(std::current_exception());
        }
    }});
    return answer->get_future();
}

std::future<JobId> ShardScheduler::submit(JobSpec spec)
{
    return push<JobId>(detail::SubmitRequest{std::move(spec), nullptr});
}

std::future<void> ShardScheduler::cancel(JobId job)
{
    return push<void>(detail::CancelRequest{job, nullptr});
}

std::future<ShardStatus> ShardScheduler::status()
{
    return askOwner<ShardStatus>([this] { return buildStatus(); });
}

std::future<JobStatus> ShardScheduler::describe(JobId job)
{
    return askOwner<JobStatus>([this, job] { return buildJobStatus(job); });
}

std::future<JobId> ShardScheduler::find(std::string tenant, std::string name)
{
    return askOwner<JobId>([this, key = std::make_pair(std::move(tenant), std::move(name))] {
        const auto it = m_state.names.find(key);
        if (it == m_state.names.end()) {
            throw NotFound("no job " + key.second + " of " + key.first);
        }
        return it->second;
    });
}

std::future<std::string> ShardScheduler::exportHistory()
{
    return askOwner<std::string>([this] { return QuetzalRock::exportHistory(m_state); });
}

std::future<TransferId> ShardScheduler::giveJob(JobId job, std::string toDomain)
{
    return push<TransferId>(detail::GiveJobRequest{job, std::move(toDomain), nullptr});
}

std::future<TransferId> ShardScheduler::giveAllotment(std::string tenant, const Resources &amount, std::string toDomain)
{
    return push<TransferId>(detail::GiveAllotmentRequest{std::move(tenant), amount, std::move(toDomain), nullptr});
}

std::future<std::vector<TransferOffer>> ShardScheduler::openOffers()
{
    return askOwner<std::vector<TransferOffer>>([this] { return buildOffers(); });
}

std::future<void> ShardScheduler::acceptOffer(TransferOffer offer)
{
    return push<void>(detail::AcceptRequest{std::move(offer), nullptr});
}

std::future<void> ShardScheduler::settleTransfer(TransferId id)
{
    return push<void>(detail::SettleRequest{id, nullptr});
}

std::future<void> ShardScheduler::setAllotment(std::string tenant, const Resources &amount)
{
    return push<void>(detail::AllotmentRequest{std::move(tenant), amount, nullptr});
}

std::future<std::map<std::string, Resources>> ShardScheduler::allotments()
{
    return askOwner<std::map<std::string, Resources>>([this] { return m_state.allotments; });
}

std::future<void> ShardScheduler::changeOperator(std::string operatorName)
{
    return push<void>(detail::OperatorRequest{std::move(operatorName), nullptr});
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
    m_isAway = false;
    m_nextAppend = {};
    m_nextDecision = {};
    m_isDirty = true;
    m_isOwner = true;
    m_isRefusing = false;
}

StepOutcome ShardScheduler::step(TimePoint now)
{
    if (!m_isOwner) {
        return StepOutcome::SteppedDown;
    }
    try {
        settleDoubt(now);
        m_fleet.refreshList(now);
        m_fleet.pollWorkers(now);
        tellEngine(now);
        moveFromLeavingVms(now);
        takeRequests(now);
        snapshotIfDue(now);
        bool isWritten = false;
        if (canWrite(now)) {
            addEnds();
            judgeWaiting();
            decide(now, true);
            addStops();
            isWritten = commit(now);
        } else if (m_isAway || m_doubt) {
            decide(now, false); // throttles and stops go on; between two writes decisions can wait
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
    while (!m_isWoken && m_clock.now() < until) {
        m_clock.waitUntil(lock, m_wake, until);
    }
    m_isWoken = false;
}

void ShardScheduler::stepDown()
{
    m_isOwner = false;
    m_isRefusing = true;
    const auto error = std::make_exception_ptr(NotRun("this process no longer owns the shard", RetryElsewhere));
    for (const auto &it : m_batch.answers) {
        it(error);
    }
    m_batch = {};
    answerDoubtUnknown();
    m_doubt.reset();
    refuseWaiting(m_clock.now());
    refuseQueue();
    m_ends.clear();
    m_stops.clear();
    m_unrunnable.clear();
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
    return !m_doubt && now >= m_nextAppend;
}

Duration ShardScheduler::jitter(Duration most)
{
    return Duration(
        std::uniform_int_distribution<Duration::rep>(0, std::max<Duration::rep>(most.count(), 0))(m_random));
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
            const WallTime age = std::max(wallNow - task.since, WallTime::zero());
            m_engine.restoreAttempt(id, task.worker, now - std::chrono::duration_cast<Duration>(age));
        }
        if (task.done || job.phase != JobPhase::Active) {
            m_engine.removeTask(id);
        }
    }
}

void ShardScheduler::tellEngine(TimePoint now)
{
    for (AttemptEnded &it : m_fleet.takeEnds()) {
        m_ends.push_back(std::move(it));
    }
    if (!m_fleet.isListKnown()) {
        return;
    }
    for (const Vm &it : m_fleet.takeChangedWorkers(now)) {
        m_engine.setWorker(it);
        m_isDirty = true;
    }
    if (!m_isEngineLoaded) {
        loadEngine(now);
    }
    for (const WorkerReport &it : m_fleet.takeReports()) {
        m_engine.observe(it, now);
    }
}

void ShardScheduler::decide(TimePoint now, bool mayStart)
{
    const bool isDue = now >= m_nextDecision || (mayStart && m_isDirty);
    if (!m_isEngineLoaded || !isDue) {
        return;
    }
    m_nextDecision = now + m_settings.decideEvery;
    m_isDirty = false;
    const Decisions decisions = m_engine.decide(now);
    for (const UnrunnableJob &it : decisions.unrunnable) {
        m_unrunnable[it.job] = it.reason;
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
    if (mayStart) {
        addStarts(decisions.starts, now);
        return;
    }
    m_counters.abandonedStarts += decisions.starts.size();
    for (const StartDecision &it : decisions.starts) {
        m_engine.abandonStart(it.task);
        m_isDirty = true;
    }
}

void ShardScheduler::requestStop(const TaskId &id, StopMode mode, const TaskId &inFavourOf, const std::string &reason)
{
    const TaskState *task = m_state.findTask(id);
    if (task == nullptr || !task->active) {
        return;
    }
    const AttemptId attempt{id, task->lastAttempt};
    const AttemptView *view = m_fleet.findAttempt(task->worker, attempt);
    if (view == nullptr || view->stopWanted || view->ended) {
        return;
    }
    ++m_counters.evictions;
    m_fleet.stopAttempt(task->worker, attempt, mode);
    m_stops.push_back({attempt, mode, inFavourOf, reason});
}

void ShardScheduler::moveFromLeavingVms(TimePoint now)
{
    for (const auto &[worker, attempt] : m_fleet.findAttemptsToMove(now)) {
        requestStop(attempt.task, StopMode::Checkpoint, {}, "VM " + worker + " is leaving");
    }
}

void ShardScheduler::dropFromEngine(const JobState &job)
{
    m_unrunnable.erase(job.spec.id);
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
