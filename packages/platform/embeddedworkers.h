/** Workers and the VM list in memory: tasks "run" by the clock and end after a run time named in their command. */
#pragma once

#include <platform/platform.h>

#include <map>

namespace QuetzalRock {

/** Faults of one worker, switched by tests. */
struct WorkerFaults
{
    bool unreachable = false; ///< every call throws Unavailable; tasks go on
    bool loseAnswers = false; ///< calls take effect, then throw OutcomeUnknown
    bool failStarts = false;  ///< every started attempt fails at once
};

/**
 * A fleet of workers. Commands are "run SECONDS" (batch: ends by itself), "fail" (ends with an error at once) or
 * anything else (runs until stopped). Attempts stop when their lease lapses.
 */
class EmbeddedWorkers final : public WorkerAgent, public VmList
{
public:
    EmbeddedWorkers(Clock &clock, Duration usageLag);

    void addVm(const Vm &vm);
    void setVmState(std::string_view name, VmState state); ///< Gone also ends whatever runs there
    void setFaults(std::string_view worker, const WorkerFaults &faults);
    void setListLag(Duration lag); ///< vms() tells of a change of state so much later; VMs themselves change at once

    /** The most attempts of @p task that were ever seen running at the same time, on all workers together. */
    int maxConcurrentAttempts(const TaskId &task) const;

    int highestConcurrency() const; ///< maxConcurrentAttempts() of the task where it is highest; 1 is right
    int highestStartCount() const;  ///< startCount() of the attempt where it is highest; 1 is right

    /** How often @p attempt began to run, anywhere. */
    int startCount(const AttemptId &attempt) const;

    void start(std::string_view worker, const StartCommand &command) override;
    void
    renew(std::string_view worker, std::uint64_t epoch, std::span<const AttemptId> attempts, Duration lease) override;
    void stop(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, StopMode mode) override;
    void throttle(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, int permille) override;
    WorkerReport report(std::string_view worker) override;
    void forget(std::string_view worker, std::span<const AttemptId> attempts) override;
    std::vector<Vm> vms() override;

private:
    struct Attempt
    {
        StartCommand command;
        AttemptState state = AttemptState::Running;
        TimePoint started;
        TimePoint leaseExpiry;
        TimePoint progressedAt; ///< when @p progress was last brought up to date
        double progress = 0;
        int permille = 1000;
        std::string checkpoint;
        std::string error;
    };
    struct Worker
    {
        Vm vm;
        WorkerFaults faults;
        std::uint64_t highestEpoch = 0;
        std::map<AttemptId, Attempt> attempts;
    };

    Worker &reach(std::string_view name);
    bool acceptEpoch(Worker &worker, std::uint64_t epoch) const;
    void bringUpToDate(Worker &worker);
    void endAttempt(Attempt &attempt, AttemptState state);
    void countRunning(const AttemptId &id);
    void throwIfAnswerLost(const Worker &worker) const;
    WorkerTime workerNow() const;
    void noteListChange(const Vm &vm);

    /** A state that the list does not show yet. */
    struct ListChange
    {
        TimePoint shownAt;
        VmState before = VmState::Live;
    };

    Clock &m_clock;
    Duration m_usageLag;
    Duration m_listLag{};
    std::map<std::string, ListChange, std::less<>> m_listChanges; ///< the last change of each VM
    mutable std::mutex m_mutex;
    std::map<std::string, Worker, std::less<>> m_workers;
    std::vector<Vm> m_otherVms;
    std::map<TaskId, int> m_running;
    std::map<TaskId, int> m_maxRunning;
    std::map<AttemptId, int> m_starts;
};

} // namespace QuetzalRock
