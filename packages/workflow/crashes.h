/**
 * Which tasks may have crashed a worker, and how they are tried again. Designed for this load: a few tasks crash each
 * worker that starts them, thousands of others start on the same workers, and workers also crash by themselves.
 *
 * A crash is evidence against what ran on the worker, not a proof.
 *   1. A crash is held against the runs that had just been started, as a deadly task brings its worker down soon. Tasks of
 *      limited run time that had been running longer are only noted as present.
 *      A task of which an earlier run has started up is not what crashes its worker at a start: it counts as present, once.
 *      It may have become deadly since, so that the next crash at its start is held against it.
 *   2. A suspect is tried alone: on a worker where everything else has already started up, and that starts nothing else
 *      meanwhile. A task that starts up without a crash is no longer suspected.
 *   3. A task that has crashed a worker in its trial explains the crashes at which it had just been started. What was
 *      started beside it is no longer suspected for them, and need not wait for trials of its own.
 *      What was present at several crashes is tried until it ends. If another task has waited for maxTrialHold and can run on no
 *      other worker, that trial ends early, so that others start beside it; and after maxTrialDelay without a worker of its own, the
 *      task starts beside others. A later crash of the worker is held against it alone if it was alone there, and counts towards
 *      maxStartCrashes otherwise.
 *   4. A task is given up, and its job fails, once maxTrialCrashes workers have crashed in its trials. One is enough
 *      after a crash at its start, as long as workers hardly crash otherwise.
 * While tasks crash the workers that start them, tasks of one job at a time start up on a worker, so that a crash names its
 * job (separation.cpp). Tasks that are known to start up are neither held up by that nor in the way of others.
 *
 * A crash next to one that no start explains (a power loss, a machine that crashes by itself) is not counted as a crash of a
 * trial, so that the victims of such crashes are not given up. Neither is any of a failure domain that crashes at one moment,
 * whatever had been started there. As that may show only after the first of its crashes was recorded, evidence is corrected,
 * and a task is given up coincidenceTime after its last crash.
 *
 * Index of this file
 *   CrashSettings   times and limits
 *   CrashName       identifies a crash
 *   CrashEvidence   what one crash says of one task; stored with the job's progress
 *   TaskTrial       a start of a suspect; stored before the order is sent
 *   LostRun         a run that was on a worker when it crashed, or that has been silent since
 *   assessCrash()   what a crash says of each run that it ended
 *   DomainToll, findDomainsDown(), excuseCrash()   crashes of a whole failure domain
 *   isSuspected(), isGivenUp(), guiltEstimate()   the verdict on a task by its evidence
 *   crashesExplainedBy(), explainCrash()          what the verdict on one task says of others
 *   remainingVerdictTime()   the wait for the outcome of a former leader's trial
 *   TrialBudget     how many suspects may be tried at a time
 *   WaitingSuspect, chooseTrials()   which are tried next
 *
 * No I/O; suspects.cpp contains the scheduler's part.
 */
#pragma once

#include <workflow/model.h>

#include <base/clock.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace QuetzalRock::Workflow {

constexpr double LikelyGuilty = 1; ///< guiltEstimate() of the only suspect, and of one that has crashed a worker alone

struct CrashSettings
{
    Duration startupTime = std::chrono::milliseconds(500);      ///< a run that is listed so long after its start has
                                                                ///< started without crashing its worker
    Duration coincidenceTime = std::chrono::milliseconds(1500); ///< between two crashes that may have one cause
    std::size_t minDomainCrashes = 8; ///< within coincidenceTime, of workers of one failure domain that may have
                                      ///< gone down as a whole
    double minDomainShare = 0.5;      ///< of its workers: go down with it
    double maxShareElsewhere = 0.25;  ///< of that share: workers elsewhere that go down meanwhile
    Duration verdictTimeout = std::chrono::seconds(10); ///< a suspect whose worker does not come back waits so
                                                        ///< long after the end of the worker's lease
    Duration trialTimeout = std::chrono::seconds(3);    ///< a trial that could not start chooses another worker
    Duration maxTrialHold
        = std::chrono::milliseconds(1500); ///< a trial that waits for others to end, or that lasts until its
                                           ///< run ends, gives way after it to a task that can run on no
                                           ///< other worker
    Duration machineMemory = std::chrono::seconds(60); ///< machines that crash twice in it get no trials
    std::uint32_t maxTrialCrashes = 2;                 ///< a task is given up after so many
    std::uint32_t startCrashesPerOther
        = 10; ///< as long as so many crashes in machineMemory were at a start for each other one, a crash in a trial
              ///< convicts a task that has crashed at a start before
    std::uint32_t maxStartCrashes
        = 5; ///< a task is given up after so many crashes at its start, whatever the trials say
    std::uint32_t maxPresences
        = 2; ///< a task that was present at so many crashes is suspected without a crash at a start
    std::uint32_t maxExplained = 1; ///< crashes of a task that another one may explain; it is tried after the next one
    Duration maxTrialDelay = std::chrono::seconds(10);  ///< a suspect that has waited longer is tried in order of waits
    Duration separationTime = std::chrono::seconds(15); ///< starts of different jobs are kept apart so long after a
                                                        ///< worker crashed, or fell silent, under one
    Duration maxSeparationDelay
        = std::chrono::seconds(5); ///< a step that has waited longer for the starts of other jobs
                                   ///< starts beside them
    double maxShareAtRisk = 0.05;  ///< of a shard's workers: expected number that trials keep down; at least one worker
    double maxShareOfSpare = 0.25; ///< as many more, where nothing else runs, of the workers that the shard can spare
};

enum class CrashRole : std::uint8_t {
    Present = 0, ///< it had been running for longer than startupTime
    CoincidentStart
        = 1,   ///< it had just been started, but another worker crashed at the same time for no such reason, or
               ///< an earlier run of it had started up (then explained at once); or others ran beside its trial
    Start = 2, ///< it had just been started, possibly beside others
    Trial = 3, ///< it was being tried alone
};

/** The worker that crashed, and which of its incarnations ended. */
struct CrashName
{
    WorkerId worker;
    std::int64_t workerStartedAtMs = 0; ///< zero: not known, as with evidence that an older version has stored

    bool isKnown() const
    {
        return workerStartedAtMs != 0;
    }
    auto operator<=>(const CrashName &) const = default;
};

struct CrashEvidence
{
    std::uint64_t attempt = 0;
    CrashRole role = CrashRole::Present;
    std::uint32_t suspects = 1; ///< number of jobs whose runs may have caused the crash, this one included
    CrashName crash{};
    std::int64_t recordedMs = 0;   ///< wall time, Unix ms; zero: an older version has stored it
    bool isExplained = false;      ///< by another task, or the task had started up before: no reason for a trial
    bool areStartsToBlame = false; ///< workers hardly crashed otherwise at that time, see CrashSettings

    bool operator==(const CrashEvidence &) const = default;
};

struct TaskTrial
{
    std::uint64_t attempt = 0;
    WorkerId worker;
    std::int64_t workerStartedAtMs = 0; ///< start time of the worker: identifies its incarnation
    std::int64_t preparedMs = 0;        ///< wall time, Unix ms; zero: an older version has stored it

    // Not stored, apart from isOrdered
    std::uint64_t version = 0; ///< of the job: the order may be sent once it is stored
    TimePoint preparedAt{};
    bool isOrdered = false;         ///< the start was sent; until the end is stored, nothing else starts on the worker
    TimePoint storedAt{};           ///< when this leader first knew that it is stored; zero: not yet
    std::uint32_t failedWrites = 0; ///< JobState::failedWrites when it was prepared
    bool isInherited = false;       ///< of a former leader, which may have sent the start without storing that it did
};

struct LostRun
{
    RunName run;
    bool isStarting = false; ///< no report had listed it startupTime after its start, nor any earlier run of its task
    bool hasStartedBefore = false; ///< it had just been started, but an earlier run of its task had started up
    bool isTrial = false;          ///< its task was being tried alone
    bool isSharedTrial = false;    ///< it was to be tried until its end, but others ran beside it
    bool isLongRunning = false;    ///< its task has no limited run time
    std::int64_t workerStartedAtMs = 0;
    TimePoint lostAt{}; ///< zero: at the crash; otherwise when the lease expired
};

/**
 * What the crash of a worker says of each of @p lost, in the same order; none for long-running tasks that had started up.
 * @p isCoincident: another worker crashed at about the same time, and none of its runs had just been started. If the time is
 * not known, that spares the task of a trial, and what had just been started is suspected all the same.
 */
std::vector<std::optional<CrashEvidence>>
assessCrash(std::span<const LostRun> lost, bool isCoincident, bool isTimeKnown = true);

/** Workers of a failure domain, and those of them that crashed or fell silent at about the same time. */
struct DomainToll
{
    std::size_t down = 0;
    std::size_t workers = 0; ///< those that are down included
};

/**
 * The failure domains whose crashes have a cause of their own, given all of the shard: few workers elsewhere went down. Those
 * under deadly tasks that start all at once are spread over all domains. If no workers are left to compare with, as in a shard
 * of one failure domain, the share of its own decides. Of fewer workers than minDomainCrashes nothing is concluded: starts, and
 * with them deadly tasks, may go to neighbours. Workers on which suspects are tried are left out by the caller.
 */
std::set<std::string> findDomainsDown(const CrashSettings &settings, const std::map<std::string, DomainToll> &domains);

/** No task has caused @p crash: what had just been started there counts as coincident. False if that changes nothing. */
bool excuseCrash(std::span<CrashEvidence> crashes, const CrashName &crash);

/** Whether the task has to be tried alone. */
bool isSuspected(const CrashSettings &settings, std::span<const CrashEvidence> crashes);
bool isGivenUp(const CrashSettings &settings, std::span<const CrashEvidence> crashes);

/** Number of tasks that are suspected for each crash. */
using SuspectsByCrash = std::map<CrashName, std::uint32_t>;

/**
 * Probability, from 0 to 1, that the task crashes the worker of its next trial. Of a crash that @p suspects does not contain,
 * as many tasks are suspected as jobs were at first.
 */
double guiltEstimate(std::span<const CrashEvidence> crashes, const SuspectsByCrash &suspects = {});

/** The crashes that the task is suspected for, as far as they are known by name. */
std::vector<CrashName> suspectedCrashes(std::span<const CrashEvidence> crashes);

/** Wall time of the last crash that the task is suspected for, Unix ms; zero: not known. */
std::int64_t suspectedSinceMs(std::span<const CrashEvidence> crashes);

/** Whether any crash was at a start of the task, in whatever role. */
bool hasCrashAtStart(std::span<const CrashEvidence> crashes);

/** Number of crashes in the given role. */
std::uint32_t countCrashes(std::span<const CrashEvidence> crashes, CrashRole role);

/** Number of crashes in the given role that no other task explains. */
std::uint32_t countUnexplained(std::span<const CrashEvidence> crashes, CrashRole role);

/** The crashes that the task is likely to have caused, apart from those in its trials; none before a crash in a trial. */
std::vector<CrashName> crashesExplainedBy(std::span<const CrashEvidence> crashes);

/** Releases a task from the suspicion of @p crash, which another task explains. False if that changes nothing. */
bool explainCrash(const CrashSettings &settings, std::span<CrashEvidence> crashes, const CrashName &crash);

/**
 * How long a leader waits for the outcome of @p trial, which a former one has stored, if the worker does not answer. The
 * wait begins with the trial, not with the leader. @p lease: of workers; @p wallMs: the wall time, Unix ms.
 */
Duration
remainingVerdictTime(const CrashSettings &settings, const TaskTrial &trial, Duration lease, std::int64_t wallMs);

/** Limits the number of workers that trials are expected to keep down at a time. */
class TrialBudget
{
public:
    TrialBudget(const CrashSettings &settings, std::size_t workers);

    /** A trial under way; it has the risk 1 once its worker is down. */
    void addTrial(double risk, bool isOfGuilty);
    /** Workers that are down for another reason; some places are left for trials, however many are. */
    void addDown(std::size_t workers);
    /**
     * As many more may be down as there are @p idle workers, where a crash interrupts nothing: up to the limit again, and
     * up to maxShareOfSpare of the @p spare ones, without which what runs would need half of the room.
     */
    void addIdle(std::size_t idle, double spare);
    bool allows(double risk) const;
    bool hasTrialOfGuilty() const;
    double risk() const;
    double limit() const;

private:
    double m_limit;
    double m_maxShareOfSpare;
    double m_risk = 0;
    bool m_hasTrialOfGuilty = false;
};

/** A suspect that waits for its trial; a gang counts as one. */
struct WaitingSuspect
{
    double guilt = 0;                ///< see guiltEstimate()
    std::int64_t sinceMs = 0;        ///< see suspectedSinceMs()
    std::vector<CrashName> crashes;  ///< that it is suspected for
    bool isTriedUntilItsEnd = false; ///< its trial does not end soon: among equals that are not overdue, it goes last
};

/**
 * For each crash, the probability that one of its suspects which are being tried now has caused it. Trials on workers that have
 * fallen silent are not among them: their outcomes may never show.
 */
using TriedByCrash = std::map<CrashName, double>;

/**
 * Indices of those of @p waiting to be tried now, within @p budget. The least likely to be guilty go first: their trials end
 * soon and cost nothing. Before them go, by their waits, those that have waited for maxTrialDelay; nobody is tried before
 * one of these. About half of the suspects of one crash are tried at a time (@p tried: those under way), as fewer trials of
 * the others are needed if these are innocent. If the limit has room for two, suspects that are likely guilty have a place
 * of their own and what the others leave, so that neither kind waits for the other.
 */
std::vector<std::size_t> chooseTrials(const CrashSettings &settings,
                                      std::span<const WaitingSuspect> waiting,
                                      std::int64_t nowMs,
                                      TrialBudget budget,
                                      TriedByCrash tried = {});

} // namespace QuetzalRock::Workflow
