/**
 * The owner's view of the workers of one shard: their latest reports, and the commands still to be delivered to them.
 *
 * Index of this file
 *   FleetSettings     leases, polling intervals, timeouts
 *   FleetCounters     for metrics
 *   AttemptView       an attempt that holds capacity on a worker
 *   RetainedAttempt   an ended attempt that its worker still lists
 *   WorkerView        one worker with its attempts
 *   Fleet             reads the VM list and the workers' reports; sends starts, lease renewals and stops
 *
 * Fleet carries out decisions but makes none: it starts only attempts whose assignment is durable, and hands ends of
 * attempts to the scheduler, which makes them durable. Not thread-safe; a single owner thread uses it. Calls to workers
 * block that thread, so an adapter's timeout must be well below FleetSettings::renewEvery.
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
    std::string failureDomain; ///< workers of other domains are ignored; empty: uses all. Set by ShardScheduler
    Duration lease = std::chrono::seconds(30);      ///< a worker stops an attempt not renewed for this long
    Duration renewEvery = std::chrono::seconds(10); ///< at most a third of the lease, to tolerate two lost renewals
    Duration reportEvery = std::chrono::seconds(5); ///< polling interval; starts and stops trigger an earlier poll
    Duration startWindow
        = std::chrono::seconds(10); ///< workers reject a start that arrives later; must exceed reportEvery
    Duration listEvery = std::chrono::seconds(1); ///< polling of the VM list; a leaving VM may get new work until then
    Duration unreachableAfter = std::chrono::seconds(3); ///< without contact the placement gives the worker no new work
    Duration pollRetryMin
        = std::chrono::seconds(1); ///< first delay for an unreachable worker; doubles up to the maximum
    Duration pollRetryMax = std::chrono::seconds(8); ///< also the longest time until a recovered worker is noticed
    Duration clockMargin = std::chrono::seconds(3);  ///< safety margin before a lease counts as expired
    Duration serviceDrainDelay
        = std::chrono::seconds(10); ///< services keep running on a leaving VM for this long; batch stops at once
    Duration missingVmTimeout
        = std::chrono::minutes(10); ///< a VM missing from the platform's list for this long counts as gone
};

struct FleetCounters
{
    std::uint64_t reports = 0;
    std::uint64_t renewals = 0;     ///< number of calls; each renews all attempts of a worker
    std::uint64_t renewalBytes = 0; ///< estimated payload, without transport headers
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t throttles = 0;
    std::uint64_t failedCalls = 0;    ///< not executed, or the response was lost
    std::uint64_t orphanAttempts = 0; ///< running but not active in the log; each is stopped
    std::uint64_t barredStarts = 0;   ///< assigned but missing on the worker; a stop bars a late start
};

struct AttemptView
{
    Resources resources;
    WorkloadKind kind = WorkloadKind::Batch;
    std::optional<StartCommand> command; ///< empty if an earlier owner made the assignment
    bool startAcknowledged = false;      ///< the worker has confirmed the start command
    bool reportedRunning = false;        ///< a report has listed the attempt as running
    bool ended = false;                  ///< the end is known but not durable yet
    bool stopRequested = false;
    bool stopAcknowledged = false; ///< since the last report that still listed the attempt as running
    StopMode stopMode = StopMode::Checkpoint;
    TimePoint leaseExpiry; ///< the attempt stops by then unless its lease is renewed; includes clockMargin
    double progress = 0;
    std::string checkpoint;
};

/** An ended attempt that its worker still lists, and must list until a delayed start can no longer take effect. */
struct RetainedAttempt
{
    WorkerTime retainUntil{};                ///< the deadlines of all its start commands have passed by then
    std::uint64_t requiredConfirmations = 0; ///< see Fleet::confirmOwnership()
};

struct WorkerView
{
    Vm vm;                      ///< from the latest VM list that contained it
    bool listed = false;        ///< in the latest VM list
    bool readBack = false;      ///< its report has been read since this owner took over
    bool reachable = true;      ///< false from a failed call until the next successful report
    TimePoint unreachableSince; ///< valid while not reachable
    TimePoint unlistedSince;    ///< valid while not listed
    TimePoint leavingSince;     ///< valid while the VM is leaving
    TimePoint nextPoll;         ///< of its report; while unreachable, no other call is made before this either
    Duration pollRetryDelay{};
    TimePoint nextRenewal;
    WorkerTime reportClock{};    ///< the worker's own clock in its latest report
    TimePoint reportRequestedAt; ///< local time of the request for that report
    Resources reserved;          ///< sum over attempts
    std::map<AttemptId, AttemptView> attempts;
    std::map<AttemptId, RetainedAttempt> retained;
    std::optional<VmState> publishedState; ///< as last passed to the placement; empty: never
    Resources publishedCapacity;           ///< as last passed to the placement

    bool isGone() const
    {
        return vm.state == VmState::Gone;
    }
};

class Fleet
{
public:
    Fleet(const FleetSettings &settings, WorkerAgent &agent, VmList &list, const Clock &clock);

    /** Discards all state and continues under @p epoch. Call on each takeover. */
    void reset(std::uint64_t epoch);

    /** Reads the VM list if due. If the platform is unavailable, the previous list stays in use. */
    void refreshList(TimePoint now);
    bool isListKnown() const; ///< the VM list has been read since reset()

    /** Adds an attempt that is active in the log. An earlier owner may or may not have sent its start command. */
    void restoreAttempt(const AttemptId &id, std::string_view worker, const Resources &resources, WorkloadKind kind);

    /** True if @p worker is live, reachable and has reported recently to this owner. */
    bool isReadyForStart(std::string_view worker, TimePoint now) const;

    /** True if @p resources fit beside the reservations of all attempts that may be running there. */
    bool hasCapacityFor(std::string_view worker, const Resources &resources) const;

    /**
     * Sends a start command; the assignment must be durable. pollWorkers() resends it while reports lack the attempt
     * and startWindow has not passed.
     */
    void startAttempt(std::string_view worker, StartCommand command);

    /** Requests a stop. sendStops() and pollWorkers() send it, repeatedly, until the worker reports the end. */
    void stopAttempt(std::string_view worker, const AttemptId &id, StopMode mode);

    void throttleAttempt(std::string_view worker, const AttemptId &id, int permille, TimePoint now);

    /** Reads the reports of all workers that are due, and resends commands that have not taken effect. */
    void pollWorkers(TimePoint now);

    /** Sends the requested stops that workers have not confirmed. */
    void sendStops(TimePoint now);

    /** Renews the leases of all attempts, with one call for each worker that is due. */
    void renewLeases(TimePoint now);

    /** Returns each newly learned end once. The capacity stays reserved until releaseAttempt(). */
    std::vector<AttemptEnded> takeEnds();

    /** Call when the end is durable: frees the capacity and lets the worker forget the attempt. */
    void releaseAttempt(std::string_view worker, const AttemptId &id);

    /**
     * Call after each successful append. It proves that this process still owned the shard when it read all earlier
     * reports. If such a report lists an ended attempt that is not active in the log, the end is durable and the worker
     * may forget it. Without this check, an owner that resumes after a pause could make a worker forget an attempt that
     * its successor has assigned, before the successor has read its end.
     */
    void confirmOwnership();

    /** Returns workers whose state for the placement has changed since the last call; Live ones accept starts. */
    std::vector<Vm> takeChangedWorkers(TimePoint now);

    std::vector<WorkerReport> takeReports();

    /** Returns the attempts on leaving VMs that are due to be stopped and restarted elsewhere. */
    std::vector<std::pair<WorkerId, AttemptId>> findAttemptsToEvict(TimePoint now) const;

    const std::map<WorkerId, WorkerView, std::less<>> &workers() const;
    const AttemptView *findAttempt(std::string_view worker, const AttemptId &id) const;
    const FleetCounters &counters() const;

private:
    enum class CallResult {
        Acknowledged,
        ResponseLost, ///< the call may have taken effect
        NotExecuted,
    };

    WorkerView &findOrAddWorker(std::string_view name);
    template<typename Call>
    CallResult callWorker(WorkerView &worker, Call &&call);
    void recordUnreachable(WorkerView &worker);
    void recordReachable(WorkerView &worker);
    void pollWorker(WorkerView &worker, TimePoint now);
    void applyReport(WorkerView &worker, const WorkerReport &report);
    void applyAttemptReport(AttemptView &view, const AttemptReport &report);
    void recordEnd(AttemptView &view, AttemptEnded end);
    void handleMissingAttempt(WorkerView &worker, const AttemptId &id, AttemptView &view);
    void sendStart(WorkerView &worker, AttemptView &view);
    void sendStop(WorkerView &worker, const AttemptId &id, AttemptView &view);
    void stopOrphanAttempts(WorkerView &worker, const WorkerReport &report);
    void forgetRetainedAttempts(WorkerView &worker, const WorkerReport &report);
    TimePoint leaseExpiryFromNow() const;
    void endAttemptsOnGoneVm(WorkerView &worker, TimePoint now);
    void renewWorker(WorkerView &worker);
    void updateGoneWorkers(TimePoint now);
    VmState stateForPlacement(const WorkerView &worker, TimePoint now) const;

    FleetSettings m_settings;
    WorkerAgent &m_agent;
    VmList &m_list;
    const Clock &m_clock;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_ownershipConfirmations = 0; ///< number of calls to confirmOwnership()
    bool m_isListKnown = false;
    TimePoint m_nextList;
    std::map<WorkerId, WorkerView, std::less<>> m_workers;
    std::vector<AttemptEnded> m_pendingEnds;
    std::vector<WorkerReport> m_reports;
    FleetCounters m_counters;
};

} // namespace QuetzalRock
