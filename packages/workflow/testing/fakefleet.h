/**
 * In-memory workers that implement the worker protocol: fencing tokens, leases, attempt numbers, reports of running and
 * ended runs. Only for tests and stand-ins.
 *
 * Index of this file
 *   FakeRun, FakeWorker   one worker and its runs
 *   FakeFleet             all workers; records violations of the scheduler's guarantees
 */
#pragma once

#include <workflow/ports.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace QuetzalRock::Workflow {

using namespace std::chrono_literals;

struct FakeRun
{
    RunName run;
    TimePoint startedAt;
    std::string checkpoint;
    int percent = 100;
};

struct FakeWorker
{
    WorkerId id;
    std::int64_t startedAtMs = 1;
    std::string pool = "pool";
    std::string rack = "r";
    std::string failureDomain = "d";
    Resources capacity{16'000, 64'000, 0};
    WorkerCondition condition = WorkerCondition::Ready;
    std::int64_t leavesInMs = 2000; ///< while it is draining
    std::int64_t clockOffsetMs = 0;
    double clockRate = 1; ///< of its clock to ours
    std::uint64_t fence = 0;
    TimePoint leaseUntil{};
    std::vector<FakeRun> running;
    std::deque<EndedEntry> ended;
    std::uint64_t lastSequence = 0;
    std::size_t startCount = 0;                     ///< runs started here so far
    std::map<TaskName, std::uint64_t> highestEnded; ///< highest attempt that ended or was stopped; not started again
    bool isReachable = true;
    bool isGone = false;   ///< for good; if it is reachable, another worker answers at its address
    bool failsAll = false; ///< every run fails
    std::string address;   ///< empty: the id
    TimePoint returnsAt{}; ///< it has crashed and is back then; zero: it has not
    int lives = 1;         ///< incarnations of its machine so far
};

/** What happens after a worker has crashed. */
struct CrashBehaviour
{
    Duration delay = 10ms;      ///< from the start of a deadly task to the crash
    Duration downTime = 3300ms; ///< until the machine is back
    bool keepsId = false;       ///< the machine is back under its id; otherwise another id answers at its address
};

class FakeFleet
{
public:
    explicit FakeFleet(Clock &clock)
        : m_clock(clock)
    {
    }

    std::map<WorkerId, FakeWorker> workers;
    Duration workTime = 300ms;            ///< run time of tasks that complete
    std::map<JobKey, Duration> workTimes; ///< of a job's tasks, in place of workTime
    std::set<JobKey> longRunningJobs;     ///< jobs whose tasks run until they are stopped
    std::set<JobKey> failingJobs;         ///< jobs whose tasks fail
    std::set<TaskName> acknowledgedTasks; ///< completed, and a leader has acknowledged the end
    std::set<TaskName> completedTasks;    ///< completed, acknowledged or not
    std::set<JobKey> startedJobs;
    std::map<JobKey, std::int64_t> gauges; ///< RunningEntry::gauge to report for a job's tasks; default 1000
    std::uint64_t starts = 0;
    std::vector<std::string> violations; ///< descriptions; must stay empty

    CrashBehaviour crashBehaviour;
    std::set<JobKey> gangs;                   ///< jobs whose other members end when a worker crashes under one of them
    std::set<TaskName> deadlyTasks;           ///< crash each worker that starts them
    std::map<TaskName, int> crashesUnder;     ///< of deadly tasks
    std::map<TaskName, int> startsAfterThree; ///< of deadly tasks: starts after three workers had crashed under them
    std::size_t mostWorkersDown = 0;          ///< at the same time
    std::function<void(const WorkerId &former, const WorkerId &id)>
        onReturn; ///< after a crash; the same id or a new one
    std::map<JobKey, Resources>
        needs; ///< of a task of the job; if given, starts beyond a worker's capacity are violations

    std::int64_t clockMs(const FakeWorker &worker) const
    {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now().time_since_epoch()).count();
        return (worker.clockRate == 1 ? ms : static_cast<std::int64_t>(static_cast<double>(ms) * worker.clockRate))
               + worker.clockOffsetMs;
    }

    /** Ends the runs that are due, and checks that no task runs twice at the same time. */
    void step()
    {
        crashUnderDeadlyTasks();
        returnFromCrashes();
        std::map<TaskName, int> running;
        for (auto &[id, worker] : workers) {
            const std::vector<FakeRun> runs = worker.running;
            for (const FakeRun &it : runs) {
                if (m_clock.now() >= worker.leaseUntil) {
                    end(worker, it.run, RunEnd::LeaseExpired);
                } else if (worker.failsAll || failingJobs.contains(it.run.task.job)) {
                    end(worker, it.run, RunEnd::Failed);
                } else if (!longRunningJobs.contains(it.run.task.job)
                           && m_clock.now() >= it.startedAt + workTimeOf(it.run.task.job)) {
                    end(worker, it.run, RunEnd::Done);
                }
            }
            for (const FakeRun &it : worker.running) {
                if (++running[it.run.task] > 1) {
                    violations.push_back("runs twice at the same time: " + text(it.run));
                }
            }
        }
    }

    void end(FakeWorker &worker, const RunName &run, RunEnd how)
    {
        std::erase_if(worker.running, [&run](const FakeRun &it) { return it.run == run; });
        std::uint64_t &highestEnded = worker.highestEnded[run.task];
        highestEnded = std::max(highestEnded, run.attempt);
        const std::string checkpoint = how == RunEnd::Done ? "" : "saved-" + std::to_string(run.attempt);
        if (how == RunEnd::Done) {
            completedTasks.insert(run.task);
        }
        worker.ended.push_back({++worker.lastSequence, run, how, checkpoint});
    }

    /** The worker loses its runs and answers nothing until its machine is back. */
    void crash(const WorkerId &id)
    {
        FakeWorker &worker = workers.at(id);
        const std::vector<FakeRun> lost = std::exchange(worker.running, {});
        for (const FakeRun &it : lost) {
            if (gangs.contains(it.run.task.job)) {
                endGang(it.run.task.job);
            }
        }
        worker.isReachable = false;
        worker.returnsAt = m_clock.now() + crashBehaviour.downTime;
        const auto down = std::count_if(
            workers.begin(), workers.end(), [](const auto &it) { return it.second.returnsAt != TimePoint{}; });
        mostWorkersDown = std::max(mostWorkersDown, static_cast<std::size_t>(down));
    }

    /** Restarts the worker under the same id: it loses its runs, ended runs and fencing token. */
    void restartWorker(const WorkerId &id)
    {
        FakeWorker &worker = workers.at(id);
        worker.startedAtMs += 1000;
        worker.fence = 0;
        worker.running.clear();
        worker.ended.clear();
        worker.lastSequence = 0;
        worker.highestEnded.clear();
    }

    /** As above, and as real machines do it: it loses its lease as well, and its clock begins anew, at @p clockMs. */
    void restartWithClock(const WorkerId &id, std::int64_t clockMs = 0)
    {
        FakeWorker &worker = workers.at(id);
        restartWorker(id);
        worker.leaseUntil = {};
        worker.clockOffsetMs += clockMs - this->clockMs(worker);
    }

    /** The worker exits for good: its runs end unreported. With @p isReplaced another worker gets its address. */
    void removeWorker(const WorkerId &id, bool isReplaced)
    {
        FakeWorker &worker = workers.at(id);
        worker.running.clear();
        worker.isGone = true;
        worker.isReachable = isReplaced;
    }

    OrderReply start(const WorkerTarget &target, const StartOrder &order)
    {
        FakeWorker &worker = workers.at(target.id);
        if (const auto rejection = checkFence(worker, target)) {
            return *rejection;
        }
        if (clockMs(worker) > order.validUntilMs) {
            return {OrderStatus::Expired, clockMs(worker)};
        }
        const auto known = std::find_if(worker.running.begin(), worker.running.end(), [&order](const FakeRun &it) {
            return it.run.task == order.run.task;
        });
        if (known != worker.running.end() && known->run == order.run) {
            return {OrderStatus::Accepted, clockMs(worker)};
        }
        const auto highestEnded = worker.highestEnded.find(order.run.task);
        if (highestEnded != worker.highestEnded.end() && highestEnded->second >= order.run.attempt) {
            extendLease(worker, order.validUntilMs);
            return {OrderStatus::Superseded, clockMs(worker)};
        }
        if (acknowledgedTasks.contains(order.run.task)) {
            violations.push_back("started after its acknowledged end: " + text(order.run));
        }
        if (deadlyTasks.contains(order.run.task) && crashesUnder[order.run.task] >= 3) {
            ++startsAfterThree[order.run.task];
        }
        checkCapacity(worker, order.run);
        ++starts;
        ++worker.startCount;
        startedJobs.insert(order.run.task.job);
        extendLease(worker, order.validUntilMs);
        worker.running.push_back({order.run, m_clock.now(), order.checkpoint});
        return {OrderStatus::Accepted, clockMs(worker)};
    }

    OrderReply stop(const WorkerTarget &target, const RunName &run)
    {
        FakeWorker &worker = workers.at(target.id);
        if (const auto rejection = checkFence(worker, target)) {
            return *rejection;
        }
        const bool isRunning = std::any_of(
            worker.running.begin(), worker.running.end(), [&run](const FakeRun &it) { return it.run == run; });
        if (isRunning) {
            end(worker, run, RunEnd::Stopped);
        }
        std::uint64_t &highestEnded = worker.highestEnded[run.task];
        highestEnded = std::max(highestEnded, run.attempt);
        return {OrderStatus::Accepted, clockMs(worker)};
    }

    RenewReply renew(const WorkerTarget &target, const RenewOrder &order)
    {
        FakeWorker &worker = workers.at(target.id);
        RenewReply reply;
        if (const auto rejection = checkFence(worker, target)) {
            reply.order = *rejection;
            return reply;
        }
        if (order.leaseUntilMs) {
            extendLease(worker, *order.leaseUntilMs);
        }
        while (!worker.ended.empty() && worker.ended.front().sequence <= order.acknowledgedSequence) {
            if (worker.ended.front().how == RunEnd::Done) {
                acknowledgedTasks.insert(worker.ended.front().run.task);
            }
            worker.ended.pop_front();
        }
        return report(worker);
    }

    /** The answer to a renewal that the worker has accepted. */
    RenewReply report(const FakeWorker &worker) const
    {
        RenewReply reply;
        reply.order = {OrderStatus::Accepted, clockMs(worker)};
        reply.report.clockMs = clockMs(worker);
        reply.report.startedAtMs = worker.startedAtMs;
        for (const FakeRun &it : worker.running) {
            const auto gauge = gauges.find(it.run.task.job);
            reply.report.running.push_back({it.run, it.checkpoint, 50, gauge == gauges.end() ? 1000 : gauge->second});
        }
        reply.report.ended.assign(worker.ended.begin(), worker.ended.end());
        return reply;
    }

    std::size_t runningTasks() const
    {
        std::size_t n = 0;
        for (const auto &[id, worker] : workers) {
            n += worker.running.size();
        }
        return n;
    }

    static std::string text(const RunName &run)
    {
        return run.task.job + "." + std::to_string(run.task.step) + "." + std::to_string(run.task.index) + "/"
               + std::to_string(run.attempt);
    }

private:
    Duration workTimeOf(const JobKey &job) const
    {
        const auto found = workTimes.find(job);
        return found == workTimes.end() ? workTime : found->second;
    }

    void endGang(const JobKey &job)
    {
        for (auto &[id, worker] : workers) {
            const std::vector<FakeRun> runs = worker.running;
            for (const FakeRun &it : runs) {
                if (it.run.task.job == job) {
                    end(worker, it.run, RunEnd::GangMemberEnded);
                }
            }
        }
    }

    void crashUnderDeadlyTasks()
    {
        std::set<WorkerId> crashed;
        for (const auto &[id, worker] : workers) {
            for (const FakeRun &it : worker.running) {
                if (deadlyTasks.contains(it.run.task) && m_clock.now() >= it.startedAt + crashBehaviour.delay) {
                    ++crashesUnder[it.run.task];
                    crashed.insert(id);
                }
            }
        }
        for (const WorkerId &it : crashed) {
            crash(it);
        }
    }

    void returnFromCrashes()
    {
        std::vector<WorkerId> back;
        for (const auto &[id, worker] : workers) {
            if (worker.returnsAt != TimePoint{} && m_clock.now() >= worker.returnsAt) {
                back.push_back(id);
            }
        }
        for (const WorkerId &it : back) {
            FakeWorker &former = workers.at(it);
            former.returnsAt = {};
            former.isReachable = true;
            WorkerId id = it;
            if (crashBehaviour.keepsId) {
                restartWorker(it);
            } else {
                FakeWorker worker;
                worker.address = former.address.empty() ? former.id : former.address;
                worker.lives = former.lives + 1;
                worker.id = worker.address + "-" + std::to_string(worker.lives);
                worker.startedAtMs = former.startedAtMs + 1000;
                worker.pool = former.pool;
                worker.rack = former.rack;
                worker.failureDomain = former.failureDomain;
                worker.capacity = former.capacity;
                former.isGone = true;
                id = worker.id;
                workers[id] = worker;
            }
            if (onReturn) {
                onReturn(it, id);
            }
        }
    }

    void checkCapacity(const FakeWorker &worker, const RunName &run)
    {
        const auto need = needs.find(run.task.job);
        if (need == needs.end()) {
            return;
        }
        Resources sum = need->second;
        for (const FakeRun &it : worker.running) {
            sum += needs[it.run.task.job];
        }
        if (!sum.fitsIn(worker.capacity)) {
            violations.push_back("started beyond the worker's capacity: " + text(run));
        }
    }

    std::optional<OrderReply> checkFence(FakeWorker &worker, const WorkerTarget &target)
    {
        if (worker.isGone) {
            return OrderReply{OrderStatus::WrongIncarnation, clockMs(worker)};
        }
        if (target.fence < worker.fence) {
            return OrderReply{OrderStatus::Fenced, clockMs(worker)};
        }
        worker.fence = target.fence;
        return std::nullopt;
    }

    void extendLease(FakeWorker &worker, std::int64_t untilMs)
    {
        const auto left = std::chrono::milliseconds(std::min<std::int64_t>(untilMs - clockMs(worker), 10'000));
        const auto localTime = std::chrono::duration<double, Duration::period>(left) / worker.clockRate;
        worker.leaseUntil
            = std::max(worker.leaseUntil, m_clock.now() + std::chrono::duration_cast<Duration>(localTime));
    }

    Clock &m_clock;
};

} // namespace QuetzalRock::Workflow
