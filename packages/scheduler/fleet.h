/**
 * The workers of one shard, as its owner sees them: what was last heard of each, and what is to be said to it.
 *
 * Index of this file
 *   FleetSettings    leases, reports, patience
 *   FleetCounters    for metrics
 *   AttemptView      an attempt that holds capacity on a worker
 *   WorkerView       one worker, with the ended attempts that it still lists
 *   Fleet            list, reports, starts, renewals, stops
 *
 * Everything here is about attempts that the log knows. Fleet never decides; it reports ends, and the scheduler makes them
 * durable. No locks, no thread: one owner thread drives it. Calls to workers block that thread: an adapter's timeout must
 * stay well below FleetSettings::renewEvery.
 */
#pragma once

#include <scheduler/records.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

struct FleetSettings
{
    std::string failureDomain; ///< workers of others are left alone; empty: every worker. ShardScheduler sets it
    Duration lease = std::chrono::seconds(30);      ///< of an attempt; a cut-off worker stops it after so long
    Duration renewEvery = std::chrono::seconds(10); ///< at most a third of the lease, so that two may be lost
    Duration reportEvery = std::chrono::seconds(5); ///< of a worker where nothing changes; starts and stops ask sooner
    Duration startWindow
        = std::chrono::seconds(10);               ///< a start that arrives later than this is barred; over reportEvery
    Duration listEvery = std::chrono::seconds(1); ///< of the VM list; bounds how long a leaving VM gets new work
    Duration unreachableAfter = std::chrono::seconds(3); ///< of silence: the placement stops counting on the worker
    Duration contactRetryMin = std::chrono::seconds(1);  ///< to a silent worker; doubles up to the next
    Duration contactRetryMax = std::chrono::seconds(8);  ///< also how late a healed worker may be noticed
    Duration clockMargin = std::chrono::seconds(3);      ///< added to a lease term before it counts as passed
    Duration serviceDrain
        = std::chrono::seconds(10); ///< services on a leaving VM go on for so long; batch stops at once
    Duration absentMeansGone
        = std::chrono::minutes(10); ///< a VM that the platform's list has dropped for so long is gone
};

struct FleetCounters
{
    std::uint64_t reports = 0;
    std::uint64_t renewals = 0;     ///< calls; one renews every attempt of a worker
    std::uint64_t renewalBytes = 0; ///< of their content, without the transport's headers
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t throttles = 0;
    std::uint64_t failedCalls = 0;   ///< not taken, or the answer was lost
    std::uint64_t strayAttempts = 0; ///< found running without the log's word, and stopped
    std::uint64_t barredStarts = 0;  ///< assigned, never begun, and barred by a stop
};

struct AttemptView
{
    Resources resources;
    WorkloadKind kind = WorkloadKind::Batch;
    std::optional<StartCommand> command; ///< of this owner; none where an earlier owner was to send it
    bool startTaken = false;             ///< the worker answered the start
    bool seen = false;                   ///< in a report of the worker, running
    bool ended = false;                  ///< the end is known, and not durable yet
    bool stopWanted = false;
    bool stopTaken = false;
    StopMode stopMode = StopMode::Checkpoint;
    TimePoint leaseUntil; ///< it cannot run beyond this unless renewed
    double progress = 0;
    std::string checkpoint;
};

/** An ended attempt that its worker still lists. */
struct Lingering
{
    WorkerTime until{};            ///< no start of it can be on its way any more
    std::uint64_t proofNeeded = 0; ///< see Fleet::proveOwnership()
};

struct WorkerView
{
    Vm vm;                 ///< as last listed
    bool listed = false;   ///< in the platform's last list
    bool readBack = false; ///< its own list was read since this owner took over
    bool reachable = true; ///< the last call was answered
    TimePoint silentSince; ///< while not reachable
    TimePoint absentSince; ///< while not listed
    TimePoint leavingSince;
    TimePoint nextContact;
    Duration contactRetry{};
    TimePoint nextRenewal;
    WorkerTime clock{}; ///< of its last report
    TimePoint heardAt;  ///< when that report was asked for
    Resources reserved; ///< by attempts
    std::map<AttemptId, AttemptView> attempts;
    std::map<AttemptId, Lingering> lingering; ///< ended for good; the worker keeps them for a while
    std::optional<VmState> shownState;        ///< what the placement was told
    Resources shownCapacity;

    bool isGone() const
    {
        return vm.state == VmState::Gone;
    }
};

class Fleet
{
public:
    Fleet(const FleetSettings &settings, WorkerAgent &agent, VmList &list, const Clock &clock);

    /** Starts afresh under @p epoch: nothing is known of any worker. */
    void reset(std::uint64_t epoch);

    /** Reads the VM list where it is due. An unreachable list leaves the last one standing. */
    void refreshList(TimePoint now);
    bool isListKnown() const;

    /** An attempt that the log says is active: its start may have been sent by an earlier owner, or not. */
    void restoreAttempt(const AttemptId &id, std::string_view worker, const Resources &resources, WorkloadKind kind);

    /** True where @p worker is live, read back and heard of lately. */
    bool isReadyForStart(std::string_view worker, TimePoint now) const;

    /** True where @p resources fit beside everything that may be running there. */
    bool hasRoom(std::string_view worker, const Resources &resources) const;

    /** Sends a start whose assignment is durable; it is sent again while its answer is missing and the window is open. */
    void startAttempt(std::string_view worker, StartCommand command);

    /** Wants an attempt stopped: said, and said again, until the worker reports the end. */
    void stopAttempt(std::string_view worker, const AttemptId &id, StopMode mode);

    void throttleAttempt(std::string_view worker, const AttemptId &id, int permille, TimePoint now);

    /** Asks every worker that is due for its report, and sends what is still unsaid. */
    void pollWorkers(TimePoint now);

    /** Sends stops that no worker has taken yet. */
    void sendStops(TimePoint now);

    /** One call for each worker that is due. */
    void renewLeases(TimePoint now);

    /** Ends learned since the last call. Each is handed out once; the capacity stays taken until releaseAttempt(). */
    std::vector<AttemptEnded> takeEnds();

    /** Its end is durable: the capacity is free, and the worker may forget it. */
    void releaseAttempt(std::string_view worker, const AttemptId &id);

    /**
     * A batch was written after all reports so far: nobody had taken over until then. An attempt that was ended in such a
     * report and is not active in the log is therefore durably over, and may be forgotten. Without this a paused owner
     * that wakes could let a worker forget the end of an attempt that only its successor knows.
     */
    void proveOwnership();

    /** Workers whose state for the placement has changed since the last call: Live only where starts are possible. */
    std::vector<Vm> takeChangedWorkers(TimePoint now);

    std::vector<WorkerReport> takeReports();

    /** Attempts on leaving VMs that are to move now. */
    std::vector<std::pair<WorkerId, AttemptId>> findAttemptsToMove(TimePoint now) const;

    const std::map<WorkerId, WorkerView, std::less<>> &workers() const;
    const AttemptView *findAttempt(std::string_view worker, const AttemptId &id) const;
    const FleetCounters &counters() const;

private:
    enum class CallResult {
        Answered,
        AnswerLost, ///< it may have taken effect
        NotTaken,
    };

    WorkerView &workerNamed(std::string_view name);
    template<typename Call>
    CallResult callWorker(WorkerView &worker, Call &&call);
    void noteSilence(WorkerView &worker);
    void noteAnswer(WorkerView &worker);
    void pollWorker(WorkerView &worker, TimePoint now);
    void readReport(WorkerView &worker, const WorkerReport &report);
    void readAttempt(AttemptView &view, const AttemptReport &report);
    void noteEnd(AttemptView &view, AttemptEnded end);
    void seekMissing(WorkerView &worker, const AttemptId &id, AttemptView &view);
    void sendStart(WorkerView &worker, AttemptView &view);
    void sendStop(WorkerView &worker, const AttemptId &id, AttemptView &view);
    void stopStrays(WorkerView &worker, const WorkerReport &report);
    void forgetEnded(WorkerView &worker, const WorkerReport &report);
    TimePoint leaseEndFromNow() const;
    void endOnGoneVm(WorkerView &worker, TimePoint now);
    void renewWorker(WorkerView &worker);
    void noteGoneWorkers(TimePoint now);
    VmState stateForPlacement(const WorkerView &worker, TimePoint now) const;

    FleetSettings m_settings;
    WorkerAgent &m_agent;
    VmList &m_list;
    const Clock &m_clock;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_proofs = 0; ///< of ownership, so far
    bool m_listKnown = false;
    TimePoint m_nextList;
    std::map<WorkerId, WorkerView, std::less<>> m_workers;
    std::vector<AttemptEnded> m_ends;
    std::vector<WorkerReport> m_reports;
    FleetCounters m_counters;
};

} // namespace QuetzalRock
