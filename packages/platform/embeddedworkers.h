/** In-memory simulation of workers and the VM list. Tasks progress with the clock. */
#pragma once

#include <platform/platform.h>

#include <map>

namespace QuetzalRock {

/** Injected faults of one worker. */
struct WorkerFaults
{
    bool unreachable = false; ///< each call throws Unavailable; running tasks continue
    bool loseAnswers = false; ///< calls other than report() take effect and then throw OutcomeUnknown
    bool failStarts = false;  ///< each started attempt fails immediately
};

/**
 * Simulated workers. A task with the command "run SECONDS" finishes after that run time, "fail" fails immediately, any
 * other command runs until stopped. Attempts stop when their lease expires.
 */
class EmbeddedWorkers final : public WorkerAgent, public VmList
{
public:
    EmbeddedWorkers(Clock &clock, Duration usageLag);

    void addVm(const Vm &vm);
    void setVmState(std::string_view name, VmState state); ///< Gone also stops all attempts on the VM
    void setFaults(std::string_view worker, const WorkerFaults &faults);
    void setListLag(Duration lag); ///< vms() shows state changes after @p lag; they take effect immediately

    /** Returns the highest number of attempts of @p task that ran at the same time, over all workers. */
    int maxConcurrentAttempts(const TaskId &task) const;

    int highestConcurrency() const; ///< highest maxConcurrentAttempts() of any task; more than 1 is an error
    int highestStartCount() const;  ///< highest startCount() of any attempt; more than 1 is an error

    /** Returns how often @p attempt was started, over all workers. */
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
        TimePoint progressedAt; ///< when @p progress was last updated
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

    Worker &findReachable(std::string_view name);
    bool acceptEpoch(Worker &worker, std::uint64_t epoch) const;
    void updateAttempts(Worker &worker);
    void endAttempt(Attempt &attempt, AttemptState state);
    void recordStart(const AttemptId &id);
    void throwIfResponseLost(const Worker &worker) const;
    WorkerTime workerNow() const;
    void recordStateChange(const Vm &vm);

    /** A state change that vms() shows only from @p visibleAt on. */
    struct PendingStateChange
    {
        TimePoint visibleAt;
        VmState previousState = VmState::Live;
    };

    Clock &m_clock;
    Duration m_usageLag;
    Duration m_listLag{};
    std::map<std::string, PendingStateChange, std::less<>> m_pendingStateChanges; ///< last change of each VM
    mutable std::mutex m_mutex;
    std::map<std::string, Worker, std::less<>> m_workers;
    std::vector<Vm> m_otherVms;
    std::map<TaskId, int> m_running;
    std::map<TaskId, int> m_maxRunning;
    std::map<AttemptId, int> m_starts;
};

} // namespace QuetzalRock
