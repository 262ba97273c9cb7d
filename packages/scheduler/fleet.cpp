#include <scheduler/fleet.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock {

namespace {

/** Estimated msgpack size of a renewal: epoch and lease, then job, index and number of each attempt. */
constexpr std::uint64_t RenewalHeaderBytes = 16;
constexpr std::uint64_t RenewalBytesPerAttempt = 15;

constexpr std::size_t MaxErrorBytes = 1000;      ///< an attempt's error message is truncated to this in the log
constexpr std::size_t MaxCheckpointBytes = 4096; ///< longer checkpoint references are ignored

WorkerTime toWorkerTime(Duration duration)
{
    return std::chrono::duration_cast<WorkerTime>(duration);
}

} // namespace

Fleet::Fleet(const FleetSettings &settings, WorkerAgent &agent, VmList &list, const Clock &clock)
    : m_settings(settings)
    , m_agent(agent)
    , m_list(list)
    , m_clock(clock)
{
}

void Fleet::reset(std::uint64_t epoch)
{
    m_epoch = epoch;
    m_isListKnown = false;
    m_nextList = {};
    m_workers.clear();
    m_pendingEnds.clear();
    m_reports.clear();
}

void Fleet::refreshList(TimePoint now)
{
    if (now < m_nextList) {
        return;
    }
    m_nextList = now + m_settings.listEvery;
    std::vector<Vm> vms;
    try {
        vms = m_list.vms();
    } catch (const Unavailable &) {
        return;
    }
    m_isListKnown = true;
    for (auto &[name, worker] : m_workers) {
        if (worker.listed) {
            worker.unlistedSince = now;
        }
        worker.listed = false;
    }
    for (Vm &it : vms) {
        const bool isInOwnDomain = m_settings.failureDomain.empty() || it.failureDomain == m_settings.failureDomain;
        if (it.role != VmRole::Worker || !isInOwnDomain) {
            continue;
        }
        WorkerView &worker = findOrAddWorker(it.name);
        if (it.state == VmState::Leaving && worker.vm.state != VmState::Leaving) {
            worker.leavingSince = now;
        }
        worker.vm = std::move(it);
        worker.listed = true;
    }
    updateGoneWorkers(now);
}

void Fleet::updateGoneWorkers(TimePoint now)
{
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        WorkerView &worker = it->second;
        if (!worker.listed && now - worker.unlistedSince >= m_settings.missingVmTimeout) {
            worker.vm.state = VmState::Gone;
        }
        if (worker.isGone()) {
            worker.readBack = false; // a new VM under the same name starts with an empty list of attempts
        }
        const bool isPublishedGone = worker.publishedState == VmState::Gone;
        const bool isRemovable = worker.isGone() && !worker.listed && worker.attempts.empty() && isPublishedGone;
        it = isRemovable ? m_workers.erase(it) : std::next(it);
    }
}

bool Fleet::isListKnown() const
{
    return m_isListKnown;
}

void Fleet::restoreAttempt(const AttemptId &id, std::string_view name, const Resources &resources, WorkloadKind kind)
{
    WorkerView &worker = findOrAddWorker(name);
    AttemptView view;
    view.resources = resources;
    view.kind = kind;
    // The previous owner may have renewed the lease until it was fenced off just now.
    view.leaseExpiry = leaseExpiryFromNow();
    if (worker.attempts.emplace(id, std::move(view)).second) {
        worker.reserved += resources;
    }
}

bool Fleet::isReadyForStart(std::string_view name, TimePoint now) const
{
    const auto it = m_workers.find(name);
    if (it == m_workers.end()) {
        return false;
    }
    const WorkerView &worker = it->second;
    const bool isReportRecent
        = worker.readBack && worker.reachable && now - worker.reportRequestedAt <= m_settings.startWindow / 2;
    return isReportRecent && worker.listed && worker.vm.state == VmState::Live;
}

bool Fleet::hasCapacityFor(std::string_view name, const Resources &resources) const
{
    const auto it = m_workers.find(name);
    return it != m_workers.end() && (it->second.reserved + resources).fitsIn(it->second.vm.capacity);
}

void Fleet::startAttempt(std::string_view name, StartCommand command)
{
    WorkerView &worker = findOrAddWorker(name);
    const AttemptId id = command.attempt;
    AttemptView view;
    view.resources = command.resources;
    view.kind = command.kind;
    view.checkpoint = command.checkpoint;
    command.epoch = m_epoch;
    command.lease = m_settings.lease;
    command.startBefore = worker.reportClock + toWorkerTime(m_settings.startWindow);
    view.command = std::move(command);
    worker.reserved += view.resources;
    const auto it = worker.attempts.emplace(id, std::move(view)).first;
    sendStart(worker, it->second);
}

void Fleet::stopAttempt(std::string_view name, const AttemptId &id, StopMode mode)
{
    WorkerView &worker = findOrAddWorker(name);
    const auto it = worker.attempts.find(id);
    if (it == worker.attempts.end() || it->second.ended) {
        return;
    }
    AttemptView &view = it->second;
    const bool isEscalation = view.stopMode == StopMode::Checkpoint && mode == StopMode::Kill;
    view.stopAcknowledged = view.stopAcknowledged && !isEscalation;
    view.stopMode = view.stopRequested && !isEscalation ? view.stopMode : mode;
    view.stopRequested = true;
}

void Fleet::throttleAttempt(std::string_view name, const AttemptId &id, int permille, TimePoint now)
{
    WorkerView &worker = findOrAddWorker(name);
    if (!worker.reachable && now < worker.nextPoll) {
        return;
    }
    ++m_counters.throttles;
    callWorker(worker, [&] { m_agent.throttle(name, m_epoch, id, permille); });
}

void Fleet::pollWorkers(TimePoint now)
{
    for (auto &[name, worker] : m_workers) {
        if (worker.isGone()) {
            endAttemptsOnGoneVm(worker, now);
        } else if (now >= worker.nextPoll) {
            pollWorker(worker, now);
        }
    }
}

void Fleet::sendStops(TimePoint now)
{
    for (auto &[name, worker] : m_workers) {
        if (worker.isGone() || (!worker.reachable && now < worker.nextPoll)) {
            continue;
        }
        for (auto &[id, view] : worker.attempts) {
            if (view.stopRequested && !view.stopAcknowledged && !view.ended) {
                sendStop(worker, id, view);
            }
            if (!worker.reachable) {
                break;
            }
        }
    }
}

void Fleet::renewLeases(TimePoint now)
{
    for (auto &[name, worker] : m_workers) {
        if (now < worker.nextRenewal || worker.attempts.empty() || worker.isGone()) {
            continue;
        }
        if (!worker.reachable && now < worker.nextPoll) {
            continue;
        }
        renewWorker(worker);
    }
}

std::vector<AttemptEnded> Fleet::takeEnds()
{
    return std::exchange(m_pendingEnds, {});
}

void Fleet::releaseAttempt(std::string_view name, const AttemptId &id)
{
    WorkerView &worker = findOrAddWorker(name);
    const auto it = worker.attempts.find(id);
    if (it == worker.attempts.end()) {
        return;
    }
    worker.reserved -= it->second.resources;
    worker.attempts.erase(it);
    // Needs no confirmation of ownership: this owner itself made the end durable.
    worker.retained[id] = {worker.reportClock + toWorkerTime(m_settings.startWindow), 0};
}

std::vector<Vm> Fleet::takeChangedWorkers(TimePoint now)
{
    std::vector<Vm> changed;
    for (auto &[name, worker] : m_workers) {
        const VmState state = stateForPlacement(worker, now);
        if (worker.publishedState == state && worker.publishedCapacity == worker.vm.capacity) {
            continue;
        }
        worker.publishedState = state;
        worker.publishedCapacity = worker.vm.capacity;
        Vm vm = worker.vm;
        vm.state = state;
        if (!worker.listed && vm.capacity == Resources{}) {
            vm.capacity = worker.reserved; // known only from the log: its real capacity is unknown
        }
        changed.push_back(std::move(vm));
    }
    return changed;
}

std::vector<WorkerReport> Fleet::takeReports()
{
    return std::exchange(m_reports, {});
}

std::vector<std::pair<WorkerId, AttemptId>> Fleet::findAttemptsToEvict(TimePoint now) const
{
    std::vector<std::pair<WorkerId, AttemptId>> found;
    for (const auto &[name, worker] : m_workers) {
        if (worker.vm.state != VmState::Leaving) {
            continue;
        }
        const bool isServiceDue = now - worker.leavingSince >= m_settings.serviceDrainDelay;
        for (const auto &[id, view] : worker.attempts) {
            const bool isDue = view.kind != WorkloadKind::Service || isServiceDue;
            if (isDue && !view.stopRequested && !view.ended) {
                found.emplace_back(name, id);
            }
        }
    }
    return found;
}

const std::map<WorkerId, WorkerView, std::less<>> &Fleet::workers() const
{
    return m_workers;
}

const AttemptView *Fleet::findAttempt(std::string_view name, const AttemptId &id) const
{
    const auto worker = m_workers.find(name);
    if (worker == m_workers.end()) {
        return nullptr;
    }
    const auto it = worker->second.attempts.find(id);
    return it == worker->second.attempts.end() ? nullptr : &it->second;
}

const FleetCounters &Fleet::counters() const
{
    return m_counters;
}

WorkerView &Fleet::findOrAddWorker(std::string_view name)
{
    const auto it = m_workers.find(name);
    if (it != m_workers.end()) {
        return it->second;
    }
    WorkerView worker;
    worker.vm.name = name;
    worker.unlistedSince = m_clock.now();
    worker.pollRetryDelay = m_settings.pollRetryMin;
    return m_workers.emplace(std::string(name), std::move(worker)).first->second;
}

template<typename Call>
Fleet::CallResult Fleet::callWorker(WorkerView &worker, Call &&call)
{
    try {
        call();
        return CallResult::Acknowledged;
    } catch (const Unavailable &) {
        ++m_counters.failedCalls;
        recordUnreachable(worker);
        return CallResult::NotExecuted;
    } catch (const OutcomeUnknown &) {
        ++m_counters.failedCalls;
        return CallResult::ResponseLost;
    }
}

void Fleet::recordUnreachable(WorkerView &worker)
{
    const TimePoint now = m_clock.now();
    if (worker.reachable) {
        worker.reachable = false;
        worker.unreachableSince = now;
        worker.pollRetryDelay = m_settings.pollRetryMin;
    }
    worker.nextPoll = now + worker.pollRetryDelay;
    worker.pollRetryDelay = std::min(worker.pollRetryDelay * 2, m_settings.pollRetryMax);
}

void Fleet::recordReachable(WorkerView &worker)
{
    worker.reachable = true;
    worker.pollRetryDelay = m_settings.pollRetryMin;
}

void Fleet::pollWorker(WorkerView &worker, TimePoint now)
{
    if (!worker.readBack) {
        renewWorker(worker); // carries the new epoch: from now on the worker ignores commands of earlier owners
    }
    WorkerReport report;
    if (callWorker(worker, [&] { report = m_agent.report(worker.vm.name); }) != CallResult::Acknowledged) {
        return;
    }
    ++m_counters.reports;
    recordReachable(worker);
    worker.readBack = true;
    worker.reportClock = report.workerClock;
    worker.reportRequestedAt = now;
    worker.nextPoll = now + m_settings.reportEvery;
    applyReport(worker, report);
    m_reports.push_back(std::move(report));
}

void Fleet::applyReport(WorkerView &worker, const WorkerReport &report)
{
    std::vector<AttemptId> reported;
    reported.reserve(report.attempts.size());
    for (const AttemptReport &it : report.attempts) {
        const auto view = worker.attempts.find(it.attempt);
        if (view != worker.attempts.end()) {
            applyAttemptReport(view->second, it);
            reported.push_back(it.attempt);
        }
    }
    std::sort(reported.begin(), reported.end());
    stopOrphanAttempts(worker, report);
    forgetRetainedAttempts(worker, report);
    for (auto &[id, view] : worker.attempts) {
        if (!view.ended && !std::binary_search(reported.begin(), reported.end(), id)) {
            handleMissingAttempt(worker, id, view);
        }
    }
}

void Fleet::applyAttemptReport(AttemptView &view, const AttemptReport &report)
{
    if (view.ended) {
        return;
    }
    view.progress = std::max(view.progress, report.progress);
    if (!report.checkpoint.empty() && report.checkpoint.size() <= MaxCheckpointBytes) {
        view.checkpoint = report.checkpoint;
    }
    if (isEnded(report.state)) {
        // It ran before, so the worker has lost its list of attempts.
        const bool isAttemptListLost = view.reportedRunning && report.state == AttemptState::Barred;
        AttemptEnded end;
        end.attempt = report.attempt;
        end.state = isAttemptListLost ? AttemptState::Stopped : report.state;
        end.progress = view.progress;
        end.checkpoint = view.checkpoint;
        end.error = report.error;
        recordEnd(view, std::move(end));
        return;
    }
    view.reportedRunning = true;
    view.startAcknowledged = true;
    view.stopAcknowledged = false; // still running: sendStops() resends a requested stop
}

void Fleet::recordEnd(AttemptView &view, AttemptEnded end)
{
    view.ended = true;
    end.at = m_clock.wallNow();
    end.error.resize(std::min(end.error.size(), MaxErrorBytes));
    const bool runsUntilCancelled = view.kind != WorkloadKind::Batch;
    if (runsUntilCancelled && end.state == AttemptState::Finished) {
        end.state = AttemptState::Failed;
        end.error = "ended by itself, though it is to run until cancelled";
    }
    m_pendingEnds.push_back(std::move(end));
}

/**
 * Called when the worker's report lacks an attempt that is active in the log: its start is in flight, was lost or was
 * never sent, or the worker has lost its list. Resends the start while the start window is open. After that, a stop
 * makes the worker report the attempt as ended and bars a start that arrives late.
 */
void Fleet::handleMissingAttempt(WorkerView &worker, const AttemptId &id, AttemptView &view)
{
    const bool isStartWindowOpen
        = view.command && !view.reportedRunning && worker.reportClock <= view.command->startBefore;
    if (isStartWindowOpen && !view.stopRequested) {
        sendStart(worker, view);
        return;
    }
    m_counters.barredStarts += view.stopRequested ? 0 : 1;
    sendStop(worker, id, view);
}

void Fleet::sendStart(WorkerView &worker, AttemptView &view)
{
    ++m_counters.starts;
    const CallResult result = callWorker(worker, [&] { m_agent.start(worker.vm.name, *view.command); });
    view.startAcknowledged = result == CallResult::Acknowledged;
    if (result == CallResult::NotExecuted) {
        return;
    }
    view.leaseExpiry = leaseExpiryFromNow();
    worker.nextPoll = std::min(worker.nextPoll, m_clock.now() + m_settings.reportEvery / 4);
}

void Fleet::sendStop(WorkerView &worker, const AttemptId &id, AttemptView &view)
{
    ++m_counters.stops;
    view.stopRequested = true;
    const CallResult result = callWorker(worker, [&] { m_agent.stop(worker.vm.name, m_epoch, id, view.stopMode); });
    view.stopAcknowledged = result == CallResult::Acknowledged;
    if (result != CallResult::NotExecuted) {
        worker.nextPoll = m_clock.now(); // poll at once: the end frees capacity
    }
}

/** Stops running attempts that are not active in the log: recorded as ended, or never assigned to this worker. */
void Fleet::stopOrphanAttempts(WorkerView &worker, const WorkerReport &report)
{
    for (const AttemptReport &it : report.attempts) {
        if (isEnded(it.state) || worker.attempts.contains(it.attempt)) {
            continue;
        }
        ++m_counters.orphanAttempts;
        callWorker(worker, [&] { m_agent.stop(worker.vm.name, m_epoch, it.attempt, StopMode::Kill); });
    }
}

/**
 * Lets the worker forget ended attempts. A worker that has forgotten an attempt would start it again on a delayed start
 * command, so entries are retained until every such command has passed its deadline.
 */
void Fleet::forgetRetainedAttempts(WorkerView &worker, const WorkerReport &report)
{
    std::map<AttemptId, RetainedAttempt> retained;
    std::vector<AttemptId> forgettable;
    for (const AttemptReport &it : report.attempts) {
        if (!isEnded(it.state) || worker.attempts.contains(it.attempt)) {
            continue;
        }
        const RetainedAttempt newEntry{worker.reportClock + toWorkerTime(m_settings.startWindow),
                                       m_ownershipConfirmations + 1};
        const auto known = worker.retained.find(it.attempt);
        const RetainedAttempt &entry = known == worker.retained.end() ? newEntry : known->second;
        if (worker.reportClock > entry.retainUntil && m_ownershipConfirmations >= entry.requiredConfirmations) {
            forgettable.push_back(it.attempt);
        }
        retained.emplace(it.attempt, entry);
    }
    worker.retained = std::move(retained);
    if (!forgettable.empty()) {
        callWorker(worker, [&] { m_agent.forget(worker.vm.name, forgettable); });
    }
}

void Fleet::confirmOwnership()
{
    ++m_ownershipConfirmations;
}

TimePoint Fleet::leaseExpiryFromNow() const
{
    return m_clock.now() + m_settings.lease + m_settings.clockMargin;
}

void Fleet::endAttemptsOnGoneVm(WorkerView &worker, TimePoint now)
{
    for (auto &[id, view] : worker.attempts) {
        if (!view.ended && now >= view.leaseExpiry) {
            recordEnd(view, {id, AttemptState::Stopped, EndCause::VmGone, view.progress, view.checkpoint, {}, {}});
        }
    }
}

void Fleet::renewWorker(WorkerView &worker)
{
    std::vector<AttemptId> running;
    running.reserve(worker.attempts.size());
    for (const auto &[id, view] : worker.attempts) {
        if (!view.ended) {
            running.push_back(id);
        }
    }
    ++m_counters.renewals;
    m_counters.renewalBytes += RenewalHeaderBytes + RenewalBytesPerAttempt * running.size();
    const CallResult result
        = callWorker(worker, [&] { m_agent.renew(worker.vm.name, m_epoch, running, m_settings.lease); });
    if (result == CallResult::NotExecuted) {
        return;
    }
    worker.nextRenewal = m_clock.now() + m_settings.renewEvery;
    for (const AttemptId &id : running) {
        worker.attempts[id].leaseExpiry = leaseExpiryFromNow();
    }
}

VmState Fleet::stateForPlacement(const WorkerView &worker, TimePoint now) const
{
    if (worker.isGone()) {
        return VmState::Gone;
    }
    const bool isUnreachable = !worker.reachable && now - worker.unreachableSince >= m_settings.unreachableAfter;
    const bool isReady = worker.listed && worker.readBack && !isUnreachable;
    return isReady ? worker.vm.state : VmState::Leaving;
}

} // namespace QuetzalRock
