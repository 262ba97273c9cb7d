#include <platform/embeddedworkers.h>

#include <algorithm>
#include <charconv>

namespace QuetzalRock {

namespace {

constexpr std::string_view RunPrefix = "run ";

/** Returns the run time of a "run SECONDS" command; zero for commands that run until stopped. */
Duration parseRunTime(std::string_view command)
{
    if (!command.starts_with(RunPrefix)) {
        return Duration::zero();
    }
    const std::string_view digits = command.substr(RunPrefix.size());
    int seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

double parseProgress(std::string_view checkpoint)
{
    double progress = 0;
    std::from_chars(checkpoint.data(), checkpoint.data() + checkpoint.size(), progress);
    return progress;
}

} // namespace

EmbeddedWorkers::EmbeddedWorkers(Clock &clock, Duration usageLag)
    : m_clock(clock)
    , m_usageLag(usageLag)
{
}

void EmbeddedWorkers::addVm(const Vm &vm)
{
    std::lock_guard guard(m_mutex);
    if (vm.role == VmRole::Worker) {
        m_workers[vm.name].vm = vm;
        return;
    }
    m_otherVms.push_back(vm);
}

void EmbeddedWorkers::setVmState(std::string_view name, VmState state)
{
    std::lock_guard guard(m_mutex);
    for (Vm &it : m_otherVms) {
        if (it.name == name) {
            recordStateChange(it);
            it.state = state;
        }
    }
    const auto it = m_workers.find(name);
    if (it == m_workers.end()) {
        return;
    }
    updateAttempts(it->second);
    recordStateChange(it->second.vm);
    it->second.vm.state = state;
    if (state != VmState::Gone) {
        return;
    }
    for (auto &[id, attempt] : it->second.attempts) {
        if (!isEnded(attempt.state)) {
            endAttempt(attempt, AttemptState::Stopped);
        }
    }
    it->second.attempts.clear();
}

void EmbeddedWorkers::setFaults(std::string_view worker, const WorkerFaults &faults)
{
    std::lock_guard guard(m_mutex);
    const auto it = m_workers.find(worker);
    if (it == m_workers.end()) {
        throw NotFound("no worker " + std::string(worker));
    }
    it->second.faults = faults;
}

void EmbeddedWorkers::setListLag(Duration lag)
{
    std::lock_guard guard(m_mutex);
    m_listLag = lag;
}

void EmbeddedWorkers::recordStateChange(const Vm &vm)
{
    m_pendingStateChanges.insert_or_assign(vm.name, PendingStateChange{m_clock.now() + m_listLag, vm.state});
}

int EmbeddedWorkers::maxConcurrentAttempts(const TaskId &task) const
{
    std::lock_guard guard(m_mutex);
    const auto it = m_maxRunning.find(task);
    return it == m_maxRunning.end() ? 0 : it->second;
}

int EmbeddedWorkers::highestConcurrency() const
{
    std::lock_guard guard(m_mutex);
    int highest = 0;
    for (const auto &[task, n] : m_maxRunning) {
        highest = std::max(highest, n);
    }
    return highest;
}

int EmbeddedWorkers::highestStartCount() const
{
    std::lock_guard guard(m_mutex);
    int highest = 0;
    for (const auto &[attempt, n] : m_starts) {
        highest = std::max(highest, n);
    }
    return highest;
}

int EmbeddedWorkers::startCount(const AttemptId &attempt) const
{
    std::lock_guard guard(m_mutex);
    const auto it = m_starts.find(attempt);
    return it == m_starts.end() ? 0 : it->second;
}

void EmbeddedWorkers::start(std::string_view worker, const StartCommand &command)
{
    std::lock_guard guard(m_mutex);
    Worker &w = findReachable(worker);
    updateAttempts(w);
    if (!acceptEpoch(w, command.epoch) || w.attempts.contains(command.attempt)) {
        throwIfResponseLost(w);
        return;
    }
    Attempt attempt;
    attempt.command = command;
    attempt.started = m_clock.now();
    attempt.progressedAt = attempt.started;
    attempt.leaseExpiry = attempt.started + command.lease;
    attempt.checkpoint = command.checkpoint;
    attempt.progress = parseProgress(command.checkpoint);
    if (workerNow() > command.startBefore) {
        attempt.state = AttemptState::Barred;
        w.attempts.emplace(command.attempt, attempt);
        throwIfResponseLost(w);
        return;
    }
    recordStart(command.attempt);
    if (w.faults.failStarts || command.command == "fail") {
        attempt.error = "exited with status 1";
        endAttempt(attempt, AttemptState::Failed);
    }
    w.attempts.emplace(command.attempt, attempt);
    throwIfResponseLost(w);
}

void EmbeddedWorkers::renew(std::string_view worker,
                            std::uint64_t epoch,
                            std::span<const AttemptId> attempts,
                            Duration lease)
{
    std::lock_guard guard(m_mutex);
    Worker &w = findReachable(worker);
    updateAttempts(w);
    if (acceptEpoch(w, epoch)) {
        for (const AttemptId &id : attempts) {
            const auto it = w.attempts.find(id);
            if (it != w.attempts.end() && !isEnded(it->second.state)) {
                it->second.leaseExpiry = m_clock.now() + lease;
            }
        }
    }
    throwIfResponseLost(w);
}

void EmbeddedWorkers::stop(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, StopMode mode)
{
    std::lock_guard guard(m_mutex);
    Worker &w = findReachable(worker);
    updateAttempts(w);
    if (!acceptEpoch(w, epoch)) {
        throwIfResponseLost(w);
        return;
    }
    const auto it = w.attempts.find(attempt);
    if (it == w.attempts.end()) {
        Attempt barred;
        barred.command.attempt = attempt;
        barred.state = AttemptState::Barred;
        w.attempts.emplace(attempt, barred);
    } else if (!isEnded(it->second.state)) {
        if (mode == StopMode::Checkpoint) {
            it->second.checkpoint = std::to_string(it->second.progress);
        }
        endAttempt(it->second, AttemptState::Stopped);
    }
    throwIfResponseLost(w);
}

void EmbeddedWorkers::throttle(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, int permille)
{
    std::lock_guard guard(m_mutex);
    Worker &w = findReachable(worker);
    updateAttempts(w);
    const auto it = w.attempts.find(attempt);
    if (acceptEpoch(w, epoch) && it != w.attempts.end() && !isEnded(it->second.state)) {
        it->second.permille = std::clamp(permille, 1, 1000);
        it->second.state = permille < 1000 ? AttemptState::Throttled : AttemptState::Running;
    }
    throwIfResponseLost(w);
}

WorkerReport EmbeddedWorkers::report(std::string_view worker)
{
    std::lock_guard guard(m_mutex);
    Worker &w = findReachable(worker);
    updateAttempts(w);
    WorkerReport report;
    report.worker = w.vm.name;
    report.workerClock = workerNow();
    report.measuredAt = report.workerClock - std::chrono::duration_cast<WorkerTime>(m_usageLag);
    for (const auto &[id, it] : w.attempts) {
        AttemptReport entry;
        entry.attempt = id;
        entry.state = it.state;
        entry.progress = it.progress;
        entry.checkpoint = it.checkpoint;
        entry.error = it.error;
        const bool isMeasured = it.started + m_usageLag <= m_clock.now();
        if (!isEnded(it.state) && isMeasured) {
            entry.usage = it.command.resources;
            entry.usage.cpuMillis = it.command.resources.cpuMillis * it.permille / 1000;
        }
        report.attempts.push_back(entry);
    }
    return report;
}

void EmbeddedWorkers::forget(std::string_view worker, std::span<const AttemptId> attempts)
{
    std::lock_guard guard(m_mutex);
    Worker &w = findReachable(worker);
    for (const AttemptId &id : attempts) {
        const auto it = w.attempts.find(id);
        if (it != w.attempts.end() && isEnded(it->second.state)) {
            w.attempts.erase(it);
        }
    }
    throwIfResponseLost(w);
}

std::vector<Vm> EmbeddedWorkers::vms()
{
    std::lock_guard guard(m_mutex);
    std::vector<Vm> all = m_otherVms;
    for (const auto &[name, worker] : m_workers) {
        all.push_back(worker.vm);
    }
    for (Vm &it : all) {
        const auto change = m_pendingStateChanges.find(it.name);
        if (change != m_pendingStateChanges.end() && m_clock.now() < change->second.visibleAt) {
            it.state = change->second.previousState;
        }
    }
    return all;
}

EmbeddedWorkers::Worker &EmbeddedWorkers::findReachable(std::string_view name)
{
    const auto it = m_workers.find(name);
    if (it == m_workers.end() || it->second.faults.unreachable || it->second.vm.state == VmState::Gone) {
        throw Unavailable("worker " + std::string(name) + " is unreachable");
    }
    return it->second;
}

bool EmbeddedWorkers::acceptEpoch(Worker &worker, std::uint64_t epoch) const
{
    if (epoch < worker.highestEpoch) {
        return false;
    }
    worker.highestEpoch = epoch;
    return true;
}

void EmbeddedWorkers::updateAttempts(Worker &worker)
{
    const TimePoint now = m_clock.now();
    for (auto &[id, it] : worker.attempts) {
        if (isEnded(it.state)) {
            continue;
        }
        const TimePoint until = std::min(now, it.leaseExpiry);
        const Duration runTime = parseRunTime(it.command.command);
        if (runTime > Duration::zero() && until > it.progressedAt) {
            const auto ran = std::chrono::duration<double>(until - it.progressedAt) * it.permille / 1000;
            it.progress += ran / std::chrono::duration<double>(runTime);
            it.progressedAt = until;
        }
        if (it.progress >= 1) {
            it.progress = 1;
            endAttempt(it, AttemptState::Finished);
        } else if (now >= it.leaseExpiry) {
            endAttempt(it, AttemptState::Stopped);
        }
    }
}

void EmbeddedWorkers::endAttempt(Attempt &attempt, AttemptState state)
{
    attempt.state = state;
    --m_running[attempt.command.attempt.task];
}

void EmbeddedWorkers::recordStart(const AttemptId &id)
{
    // Expires leases on all workers first, so that attempts that have already stopped are not counted as running.
    for (auto &[name, worker] : m_workers) {
        updateAttempts(worker);
    }
    ++m_starts[id];
    const int running = ++m_running[id.task];
    int &maximum = m_maxRunning[id.task];
    maximum = std::max(maximum, running);
}

void EmbeddedWorkers::throwIfResponseLost(const Worker &worker) const
{
    if (worker.faults.loseAnswers) {
        throw OutcomeUnknown("response of worker " + worker.vm.name + " was lost");
    }
}

WorkerTime EmbeddedWorkers::workerNow() const
{
    return std::chrono::duration_cast<WorkerTime>(m_clock.now().time_since_epoch());
}

} // namespace QuetzalRock
