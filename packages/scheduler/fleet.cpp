#include <scheduler/fleet.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock {

namespace {

/** Content of a renewal as msgpack: the epoch and the lease, then job, index and number of each attempt. */
constexpr std::uint64_t RenewalHeaderBytes = 16;
constexpr std::uint64_t RenewalAttemptBytes = 15;

constexpr std::size_t MaxErrorBytes = 1000;      ///< of an attempt's error in the log; the rest is cut
constexpr std::size_t MaxCheckpointBytes = 4096; ///< of a reference to a checkpoint; a longer one is not used

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
    m_listKnown = false;
    m_nextList = {};
    m_workers.clear();
    m_ends.clear();
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
    m_listKnown = true;
    for (auto &[name, worker] : m_workers) {
        if (worker.listed) {
            worker.absentSince = now;
        }
        worker.listed = false;
    }
    for (Vm &it : vms) {
        const bool isOurs = m_settings.failureDomain.empty() || it.failureDomain == m_settings.failureDomain;
        if (it.role != VmRole::Worker || !isOurs) {
            continue;
        }
        WorkerView &worker = workerNamed(it.name);
        if (it.state == VmState::Leaving && worker.vm.state != VmState::Leaving) {
            worker.leavingSince = now;
        }
        worker.vm = std::move(it);
        worker.listed = true;
    }
    noteGoneWorkers(now);
}

void Fleet::noteGoneWorkers(TimePoint now)
{
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        WorkerView &worker = it->second;
        if (!worker.listed && now - worker.absentSince >= m_settings.absentMeansGone) {
            worker.vm.state = VmState::Gone;
        }
        if (worker.isGone()) {
            worker.readBack = false; // a VM that comes back under this name starts with an empty list
        }
        const bool isShownGone = worker.shownState == VmState::Gone;
        const bool isOver = worker.isGone() && !worker.listed && worker.attempts.empty() && isShownGone;
        it = isOver ? m_workers.erase(it) : std::next(it);
    }
}

bool Fleet::isListKnown() const
{
    return m_listKnown;
}

void Fleet::restoreAttempt(const AttemptId &id, std::string_view name, const Resources &resources, WorkloadKind kind)
{
    WorkerView &worker = workerNamed(name);
    AttemptView view;
    view.resources = resources;
    view.kind = kind;
    // The owner before may have renewed until the moment it was fenced off.
    view.leaseUntil = leaseEndFromNow();
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
    const bool isHeard = worker.readBack && worker.reachable && now - worker.heardAt <= m_settings.startWindow / 2;
    return isHeard && worker.listed && worker.vm.state == VmState::Live;
}

bool Fleet::hasRoom(std::string_view name, const Resources &resources) const
{
    const auto it = m_workers.find(name);
    return it != m_workers.end() && (it->second.reserved + resources).fitsIn(it->second.vm.capacity);
}

void Fleet::startAttempt(std::string_view name, StartCommand command)
{
    WorkerView &worker = workerNamed(name);
    const AttemptId id = command.attempt;
    AttemptView view;
    view.resources = command.resources;
    view.kind = command.kind;
    view.checkpoint = command.checkpoint;
    command.epoch = m_epoch;
    command.lease = m_settings.lease;
    command.startBefore = worker.clock + toWorkerTime(m_settings.startWindow);
    view.command = std::move(command);
    worker.reserved += view.resources;
    const auto it = worker.attempts.emplace(id, std::move(view)).first;
    sendStart(worker, it->second);
}

void Fleet::stopAttempt(std::string_view name, const AttemptId &id, StopMode mode)
{
    WorkerView &worker = workerNamed(name);
    const auto it = worker.attempts.find(id);
    if (it == worker.attempts.end() || it->second.ended) {
        return;
    }
    AttemptView &view = it->second;
    const bool isHarder = view.stopMode == StopMode::Checkpoint && mode == StopMode::Kill;
    view.stopTaken = view.stopTaken && !isHarder;
    view.stopMode = view.stopWanted && !isHarder ? view.stopMode : mode;
    view.stopWanted = true;
}

void Fleet::throttleAttempt(std::string_view name, const AttemptId &id, int permille, TimePoint now)
{
    WorkerView &worker = workerNamed(name);
    if (!worker.reachable && now < worker.nextContact) {
        return;
    }
    ++m_counters.throttles;
    callWorker(worker, [&] { m_agent.throttle(name, m_epoch, id, permille); });
}

void Fleet::pollWorkers(TimePoint now)
{
    for (auto &[name, worker] : m_workers) {
        if (worker.isGone()) {
            endOnGoneVm(worker, now);
        } else if (now >= worker.nextContact) {
            pollWorker(worker, now);
        }
    }
}

void Fleet::sendStops(TimePoint now)
{
    for (auto &[name, worker] : m_workers) {
        if (worker.isGone() || (!worker.reachable && now < worker.nextContact)) {
            continue;
        }
        for (auto &[id, view] : worker.attempts) {
            if (view.stopWanted && !view.stopTaken && !view.ended) {
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
        if (!worker.reachable && now < worker.nextContact) {
            continue;
        }
        renewWorker(worker);
    }
}

std::vector<AttemptEnded> Fleet::takeEnds()
{
    return std::exchange(m_ends, {});
}

void Fleet::releaseAttempt(std::string_view name, const AttemptId &id)
{
    WorkerView &worker = workerNamed(name);
    const auto it = worker.attempts.find(id);
    if (it == worker.attempts.end()) {
        return;
    }
    worker.reserved -= it->second.resources;
    worker.attempts.erase(it);
    worker.lingering[id] = {worker.clock + toWorkerTime(m_settings.startWindow), 0}; // this owner made the end durable
}

std::vector<Vm> Fleet::takeChangedWorkers(TimePoint now)
{
    std::vector<Vm> changed;
    for (auto &[name, worker] : m_workers) {
        const VmState state = stateForPlacement(worker, now);
        if (worker.shownState == state && worker.shownCapacity == worker.vm.capacity) {
            continue;
        }
        worker.shownState = state;
        worker.shownCapacity = worker.vm.capacity;
        Vm vm = worker.vm;
        vm.state = state;
        if (!worker.listed && vm.capacity == Resources{}) {
            vm.capacity = worker.reserved; // known by the log only
        }
        changed.push_back(std::move(vm));
    }
    return changed;
}

std::vector<WorkerReport> Fleet::takeReports()
{
    return std::exchange(m_reports, {});
}

std::vector<std::pair<WorkerId, AttemptId>> Fleet::findAttemptsToMove(TimePoint now) const
{
    std::vector<std::pair<WorkerId, AttemptId>> found;
    for (const auto &[name, worker] : m_workers) {
        if (worker.vm.state != VmState::Leaving) {
            continue;
        }
        const bool isServiceDue = now - worker.leavingSince >= m_settings.serviceDrain;
        for (const auto &[id, view] : worker.attempts) {
            const bool isDue = view.kind != WorkloadKind::Service || isServiceDue;
            if (isDue && !view.stopWanted && !view.ended) {
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

WorkerView &Fleet::workerNamed(std::string_view name)
{
    const auto it = m_workers.find(name);
    if (it != m_workers.end()) {
        return it->second;
    }
    WorkerView worker;
    worker.vm.name = name;
    worker.absentSince = m_clock.now();
    worker.contactRetry = m_settings.contactRetryMin;
    return m_workers.emplace(std::string(name), std::move(worker)).first->second;
}

template<typename Call>
Fleet::CallResult Fleet::callWorker(WorkerView &worker, Call &&call)
{
    try {
        call();
        return CallResult::Answered;
    } catch (const Unavailable &) {
        ++m_counters.failedCalls;
        noteSilence(worker);
        return CallResult::NotTaken;
    } catch (const OutcomeUnknown &) {
        ++m_counters.failedCalls;
        return CallResult::AnswerLost;
    }
}

void Fleet::noteSilence(WorkerView &worker)
{
    const TimePoint now = m_clock.now();
    if (worker.reachable) {
        worker.reachable = false;
        worker.silentSince = now;
        worker.contactRetry = m_settings.contactRetryMin;
    }
    worker.nextContact = now + worker.contactRetry;
    worker.contactRetry = std::min(worker.contactRetry * 2, m_settings.contactRetryMax);
}

void Fleet::noteAnswer(WorkerView &worker)
{
    worker.reachable = true;
    worker.contactRetry = m_settings.contactRetryMin;
}

void Fleet::pollWorker(WorkerView &worker, TimePoint now)
{
    if (!worker.readBack) {
        renewWorker(worker); // carries the new epoch: from here on an earlier owner's commands are inert
    }
    WorkerReport report;
    if (callWorker(worker, [&] { report = m_agent.report(worker.vm.name); }) != CallResult::Answered) {
        return;
    }
    ++m_counters.reports;
    noteAnswer(worker);
    worker.readBack = true;
    worker.clock = report.workerClock;
    worker.heardAt = now;
    worker.nextContact = now + m_settings.reportEvery;
    readReport(worker, report);
    m_reports.push_back(std::move(report));
}

void Fleet::readReport(WorkerView &worker, const WorkerReport &report)
{
    std::vector<AttemptId> reported;
    reported.reserve(report.attempts.size());
    for (const AttemptReport &it : report.attempts) {
        const auto view = worker.attempts.find(it.attempt);
        if (view != worker.attempts.end()) {
            readAttempt(view->second, it);
            reported.push_back(it.attempt);
        }
    }
    std::sort(reported.begin(), reported.end());
    stopStrays(worker, report);
    forgetEnded(worker, report);
    for (auto &[id, view] : worker.attempts) {
        if (!view.ended && !std::binary_search(reported.begin(), reported.end(), id)) {
            seekMissing(worker, id, view);
        }
    }
}

void Fleet::readAttempt(AttemptView &view, const AttemptReport &report)
{
    if (view.ended) {
        return;
    }
    view.progress = std::max(view.progress, report.progress);
    if (!report.checkpoint.empty() && report.checkpoint.size() <= MaxCheckpointBytes) {
        view.checkpoint = report.checkpoint;
    }
    if (isEnded(report.state)) {
        const bool isForgotten
            = view.seen && report.state == AttemptState::Barred; // it ran; the worker's list was lost
        AttemptEnded end;
        end.attempt = report.attempt;
        end.state = isForgotten ? AttemptState::Stopped : report.state;
        end.progress = view.progress;
        end.checkpoint = view.checkpoint;
        end.error = report.error;
        noteEnd(view, std::move(end));
        return;
    }
    view.seen = true;
    view.startTaken = true;
    view.stopTaken = false; // still running: a stop in flight is said again
}

void Fleet::noteEnd(AttemptView &view, AttemptEnded end)
{
    view.ended = true;
    end.at = m_clock.wallNow();
    end.error.resize(std::min(end.error.size(), MaxErrorBytes));
    const bool standsForEver = view.kind != WorkloadKind::Batch;
    if (standsForEver && end.state == AttemptState::Finished) {
        end.state = AttemptState::Failed;
        end.error = "ended by itself, though it is to run until cancelled";
    }
    m_ends.push_back(std::move(end));
}

/** The worker does not know an attempt that the log says is there: a start in flight, one never sent, or a lost list. */
void Fleet::seekMissing(WorkerView &worker, const AttemptId &id, AttemptView &view)
{
    const bool isWindowOpen = view.command && !view.seen && worker.clock <= view.command->startBefore;
    if (isWindowOpen && !view.stopWanted) {
        sendStart(worker, view);
        return;
    }
    m_counters.barredStarts += view.stopWanted ? 0 : 1;
    sendStop(worker, id, view);
}

void Fleet::sendStart(WorkerView &worker, AttemptView &view)
{
    ++m_counters.starts;
    const CallResult result = callWorker(worker, [&] { m_agent.start(worker.vm.name, *view.command); });
    view.startTaken = result == CallResult::Answered;
    if (result == CallResult::NotTaken) {
        return;
    }
    view.leaseUntil = leaseEndFromNow();
    worker.nextContact = std::min(worker.nextContact, m_clock.now() + m_settings.reportEvery / 4);
}

void Fleet::sendStop(WorkerView &worker, const AttemptId &id, AttemptView &view)
{
    ++m_counters.stops;
    view.stopWanted = true;
    const CallResult result = callWorker(worker, [&] { m_agent.stop(worker.vm.name, m_epoch, id, view.stopMode); });
    view.stopTaken = result == CallResult::Answered;
    if (result != CallResult::NotTaken) {
        worker.nextContact = m_clock.now(); // its end frees capacity: ask at once
    }
}

/** Attempts that run without the log's word: their end is known already, or they were never assigned here. */
void Fleet::stopStrays(WorkerView &worker, const WorkerReport &report)
{
    for (const AttemptReport &it : report.attempts) {
        if (isEnded(it.state) || worker.attempts.contains(it.attempt)) {
            continue;
        }
        ++m_counters.strayAttempts;
        callWorker(worker, [&] { m_agent.stop(worker.vm.name, m_epoch, it.attempt, StopMode::Kill); });
    }
}

/** A worker that forgot an attempt would start it again, so it must not while a late start can still arrive. */
void Fleet::forgetEnded(WorkerView &worker, const WorkerReport &report)
{
    std::map<AttemptId, Lingering> lingering;
    std::vector<AttemptId> outlived;
    for (const AttemptReport &it : report.attempts) {
        if (!isEnded(it.state) || worker.attempts.contains(it.attempt)) {
            continue;
        }
        const Lingering fresh{worker.clock + toWorkerTime(m_settings.startWindow), m_proofs + 1};
        const auto known = worker.lingering.find(it.attempt);
        const Lingering &entry = known == worker.lingering.end() ? fresh : known->second;
        if (worker.clock > entry.until && m_proofs >= entry.proofNeeded) {
            outlived.push_back(it.attempt);
        }
        lingering.emplace(it.attempt, entry);
    }
    worker.lingering = std::move(lingering);
    if (!outlived.empty()) {
        callWorker(worker, [&] { m_agent.forget(worker.vm.name, outlived); });
    }
}

void Fleet::proveOwnership()
{
    ++m_proofs;
}

TimePoint Fleet::leaseEndFromNow() const
{
    return m_clock.now() + m_settings.lease + m_settings.clockMargin;
}

void Fleet::endOnGoneVm(WorkerView &worker, TimePoint now)
{
    for (auto &[id, view] : worker.attempts) {
        if (!view.ended && now >= view.leaseUntil) {
            noteEnd(view, {id, AttemptState::Stopped, EndCause::VmGone, view.progress, view.checkpoint, {}, {}});
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
    m_counters.renewalBytes += RenewalHeaderBytes + RenewalAttemptBytes * running.size();
    const CallResult result
        = callWorker(worker, [&] { m_agent.renew(worker.vm.name, m_epoch, running, m_settings.lease); });
    if (result == CallResult::NotTaken) {
        return;
    }
    worker.nextRenewal = m_clock.now() + m_settings.renewEvery;
    for (const AttemptId &id : running) {
        worker.attempts[id].leaseUntil = leaseEndFromNow();
    }
}

VmState Fleet::stateForPlacement(const WorkerView &worker, TimePoint now) const
{
    if (worker.isGone()) {
        return VmState::Gone;
    }
    const bool isSilent = !worker.reachable && now - worker.silentSince >= m_settings.unreachableAfter;
    const bool isReady = worker.listed && worker.readBack && !isSilent;
    return isReady ? worker.vm.state : VmState::Leaving;
}

} // namespace QuetzalRock
