/**
 * The leader's in-memory state of a worker: registry entry, clock, lease, reserved resources and runs.
 *
 * Index of this file
 *   TaskRef              refers to a task of a job in memory
 *   forEachTask()        visits the tasks of a job
 *   WorkerClock          converts between the leader's clock and the worker's
 *   UnacknowledgedEnd    an ended run that the worker must still report
 *   ServingGroup, WorkerOutlook   what placement decisions need to know of a worker, computed once for many of them
 *   WorkerState          everything that the leader knows about a worker
 */
#pragma once

#include <workflow/progress.h>

#include <base/clock.h>

#include <deque>
#include <set>

namespace QuetzalRock::Workflow {

struct TaskRef
{
    JobState *job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskRef &) const = default;

    TaskState &task() const
    {
        return job->occurrences[occurrence].steps[step].tasks[index];
    }
    const StepSpec &spec() const
    {
        return job->accepted.spec.steps[step];
    }
    TaskName name() const
    {
        return {job->key(), occurrence, step, index};
    }
};

/** Calls @p action with each task of @p job. */
template<typename Action>
void forEachTask(JobState &job, Action action)
{
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
            for (std::uint32_t i = 0; i < job.occurrences[k].steps[s].tasks.size(); ++i) {
                action(TaskRef{&job, k, s, i});
            }
        }
    }
}

constexpr double MinWorkerClockRate = 0.98; ///< a worker's steady clock may run up to 2% slow

/** Estimates a worker's steady clock from its last reply. */
class WorkerClock
{
public:
    /** Records that a reply received at @p receivedAt carried the worker's time @p clockMs. */
    void update(std::int64_t clockMs, TimePoint receivedAt);
    void reset();
    bool isKnown() const;

    /** A time on the worker's clock that it reaches @p delay after @p now, or slightly earlier. Requires isKnown(). */
    std::int64_t workerTimeAfter(Duration delay, TimePoint now) const;

    /** The latest local time at which the worker's clock reaches workerTimeAfter(delay, now), even if it runs slow. */
    TimePoint latestLocalTimeAfter(Duration delay, TimePoint now) const;

private:
    std::int64_t m_clockMs = 0;
    TimePoint m_receivedAt{};
    bool m_isKnown = false;
};

/** An ended run that the worker keeps reporting until the leader has stored it and acknowledges it. */
struct UnacknowledgedEnd
{
    std::uint64_t sequence = 0;
    JobKey job;
    std::uint64_t version = 0; ///< of the job that must be stored before the end is acknowledged; 0: nothing to store
    std::optional<TaskName> elsewhere; ///< a completed task of a job that this shard does not have, see jobmove.cpp
};

/** The serving tasks of one step on one worker: they share their image, target and own load. */
struct ServingGroup
{
    ClassIndex image = 0;
    double utilisationLimit = 0; ///< at which their tail latency reaches its target
    double effects = 0;          ///< sum of the effects of the best-effort tasks there, as throttled
    std::int64_t cpuMillis = 0;  ///< reserved by its tasks
    bool hasForecast = false;    ///< its own load is known to be periodic
    bool isOverTarget = false;   ///< by the last report of one of its tasks, whatever the model predicts
    LoadOutlook load;            ///< own load from now on

    /** Effects at which the group stays @p margin (of utilisation) below its limit during @p span from now. */
    double allowedEffects(double margin, Duration span) const
    {
        return (utilisationLimit - margin) / load.peakWithin(span) - 1;
    }
};

/** Valid at one moment, and until the runs of the worker or their throttles change. */
struct WorkerOutlook
{
    TimePoint at{}; ///< zero: to be computed
    std::vector<ServingGroup> serving;
    std::int64_t otherLongRunningMillis = 0; ///< reserved by long-running tasks without a latency target
};

struct WorkerState
{
    // Identity and registration
    WorkerRecord record;
    bool isRegistered = false; ///< has an entry in the registry
    bool hasReported = false;  ///< has accepted our fencing token and reported its runs since
    bool isReplaced = false;   ///< another worker has replied at its address since it last did

    /**
     * Has reported while this leader held full authority, so that no other leader could exist. Only such workers get
     * starts: a restarted worker has forgotten all fencing tokens, and a successor may have read its previous
     * incarnation.
     */
    bool isConfirmed = false;

    /** The registry entry is of an earlier incarnation: neither capacity nor labels of this one are known. */
    bool isEntryOutdated = false;
    std::int64_t formerStartedAtMs = 0; ///< start time of the incarnation before; 0: none was seen

    std::int64_t listedStartedAtMs = 0; ///< start time of the incarnation that a former leader has listed
    bool mayRunFormerOrders = false;    ///< a former leader used it and may have left runs on it that are unknown here
    std::uint64_t fence = 0;            ///< fencing token of our orders to it: epoch and restart count
    bool isNewIncarnation = false;      ///< has restarted and not reported since
    bool hasCrashed = false;            ///< isNewIncarnation: the former incarnation was not draining

    // Crashes, see crashes.h
    TimePoint contactLostAt{};           ///< when the first renewal without a reply ended; zero: in contact
    TimePoint silentSince{};             ///< contactLostAt before the last report; zero: it was in contact
    std::vector<LostRun> unresolvedRuns; ///< were there when the lease of the silent worker expired, or a trial's start
    std::optional<JobKey> trialJob;      ///< job of the suspect that is tried here; nothing else is started meanwhile
    std::uint64_t trialEndVersion = 0;   ///< of trialJob: the trial has ended, which is stored with it; 0: under way
    double trialRisk = 0;                ///< see guiltEstimate()
    const JobState *startingJob
        = nullptr; ///< while starts are separated: job of a run that is starting up; see separation.cpp
    bool hasSeveralStartingJobs = false; ///< runs of other jobs than startingJob are starting up as well
    std::uint32_t restartCount = 0;      ///< restarts seen in this term; part of the fencing token
    TimePoint drainSeenAt{};             ///< when its entry first said that it is draining
    TimePoint nextEvacuationAt{};        ///< draining: next check which of its runs must leave

    // Contact
    WorkerClock clock;
    bool isRenewing = false;
    /** On its clock: it has then answered the renewals that waited when it accepted our token; 0: it has not reported. */
    std::int64_t formerCallsEndMs = 0;
    bool haveFormerCallsEnded = false; ///< a report shows that formerCallsEndMs has passed
    TimePoint nextRenewAt{};           ///< earliest time of the next renewal
    TimePoint lastReplyAt{};
    TimePoint answeredOrderSentAt{}; ///< when the last renewal was sent that this incarnation has answered
    TimePoint leaseExtendedAt{};     ///< when the last renewal was sent that extends its lease
    TimePoint leaseEndsBy{}; ///< by then its lease has expired and all its runs have ended, unless it is renewed
    /** Orders that extend its lease, renewals and starts: an incarnation that has not accepted its token may execute them. */
    std::uint32_t pendingExtensions = 0;     ///< without an answer so far
    TimePoint lateExtensionsUntil{};         ///< one that gets no answer may be executed until then
    TimePoint startAnsweredWithoutClockAt{}; ///< the last answer to a start that tells neither clock nor incarnation
    bool mayHaveFormerLease = false;         ///< has not reported, and such an order may reach it, or has
    std::int64_t settledStartedAtMs = 0;     ///< see KnownWorker; as far as this leader knows
    TimePoint settlesAt{}; ///< its present incarnation becomes the settled one then; zero: is not known, or past
    std::uint32_t unansweredRenewals = 0; ///< consecutive renewals without a reply
    TimePoint noStartsUntil{};            ///< back-off after a rejected start

    // Withheld lease, see withheldleases.h
    std::uint64_t withheldNumber = 0;     ///< of its entry, which may be stored; 0: none
    std::int64_t withheldStartedAtMs = 0; ///< of the incarnation that the entry names
    TimePoint withheldSince{}; ///< when this node learned of an entry of an earlier leader; zero: own entry or none

    // Ended runs
    std::uint64_t processedSequence = 0; ///< ends up to this sequence number have been processed
    std::uint64_t durableSequence = 0;   ///< ends up to this sequence number are stored; the worker may drop them
    std::deque<UnacknowledgedEnd> unacknowledgedEnds;

    // Resources and runs
    Resources reserved;                    ///< by all tasks that are starting, running or stopping there
    std::int64_t bestEffortCpuMillis = 0;  ///< requested by best-effort tasks; not part of reserved
    std::int64_t longRunningCpuMillis = 0; ///< requested by long-running tasks; part of reserved
    std::vector<TaskRef> runs;
    std::set<RunName> unknownRuns;     ///< reported runs that match no task here; their resource use is unknown
    TimePoint lastReportAt{};          ///< when the last report was processed
    Duration reportGap{};              ///< time between the last two reports
    std::uint64_t reportCount = 0;     ///< reports processed; stamps the tasks that each report lists
    std::uint32_t adoptedRuns = 0;     ///< number of runs of a former leader adopted from the last report
    TimePoint bestEffortPausedUntil{}; ///< best-effort tasks are throttled to 0 after a serving task missed its target
    TimePoint pacedStartAt{}; ///< time of the last paced start there, see WorkflowScheduler::choosePacedStart()
    const JobState *reservedFor = nullptr; ///< freed resources are reserved for a waiting task of this job ...
    TimePoint reservedUntil{};             ///< ... until then
    TimePoint sampledAt{};                 ///< time of the last report fed to the pressure model
    WorkerOutlook outlook;                 ///< cache of WorkflowScheduler::outlookOf()

    // Health
    std::uint32_t consecutiveFailures = 0; ///< consecutive failed runs, over all jobs
    TimePoint quarantinedUntil{};          ///< until then it gets at most one task at a time, as a probe
    Duration quarantineTime{};             ///< length of the last quarantine; doubles with each consecutive one

    bool isQuarantined(TimePoint now) const
    {
        return now < quarantinedUntil;
    }
    /** Its lease has been extended by its own clock only. False if its incarnation is not the settled one, or none is. */
    bool isSettled() const
    {
        return settledStartedAtMs != 0 && (record.startedAtMs == 0 || record.startedAtMs == settledStartedAtMs);
    }
    /** Start time of its present incarnation as far as it is known, else of the one that a former leader has listed. */
    std::int64_t incarnation() const
    {
        return record.startedAtMs != 0 ? record.startedAtMs : listedStartedAtMs;
    }
    bool isReservedForOther(const JobState &job, TimePoint now) const
    {
        return reservedFor != nullptr && reservedFor != &job && now < reservedUntil;
    }
    bool hasStartingRun() const; ///< of a task not known to start up; or had one when its lease expired
    /** Has accepted our fencing token, and has replied to the last renewal. */
    bool hasReplied() const
    {
        return hasReported && unansweredRenewals == 0;
    }
    /** Draining: the earliest time at which it shuts down. */
    TimePoint leavesAt() const
    {
        return drainSeenAt + std::chrono::milliseconds(record.leavesInMs);
    }
    /** Gets no more starts. */
    bool isLeaving() const
    {
        return !isRegistered || record.condition == WorkerCondition::Draining;
    }
    /** Whether a successor has to read it: it may run something, or list ends that are not stored yet. */
    bool mustBeRead() const
    {
        return mayRunFormerOrders || !runs.empty() || !unknownRuns.empty() || !unacknowledgedEnds.empty();
    }
    Resources freeResources() const
    {
        return record.capacity - reserved;
    }
};

} // namespace QuetzalRock::Workflow
