/**
 * One worker as the leader knows it, and what is known of its clock and lease.
 *
 * Index of this file
 *   TaskRef        a task of a job in memory
 *   WorkerClock    translates our time into the worker's
 *   WorkerState    registry entry, contact, reservations, runs
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

constexpr double SlowestWorkerClock = 0.98; ///< a worker's steady clock may be 2% slow

/** What is known of a worker's clock from its last answer. */
class WorkerClock
{
public:
    /** An answer that arrived at @p receivedAt said @p clockMs. */
    void note(std::int64_t clockMs, TimePoint receivedAt);
    void forget();
    bool isKnown() const;

    /** A time on the worker's clock that it reaches @p ahead of now, or a little sooner. */
    std::int64_t timeIn(Duration ahead, TimePoint now) const;

    /** By then, in our time, the worker's clock has reached timeIn(ahead, now). */
    TimePoint reachedBy(Duration ahead, TimePoint now) const;

private:
    std::int64_t m_clockMs = 0;
    TimePoint m_receivedAt{};
    bool m_isKnown = false;
};

/** An end that the worker keeps until it is durable here. */
struct KeptEnd
{
    std::uint64_t sequence = 0;
    JobKey job;
    std::uint64_t version = 0; ///< of the job, which has to be stored; 0: nothing to store
};

struct WorkerState
{
    // Life of the worker
    WorkerRecord record;
    bool isListed = false; ///< in the registry now
    bool isRead = false;   ///< has seen our fencing token, and given its lists after that
    bool isReadFirmly
        = false; ///< and at that time nobody else led: in doubt, only such workers get starts, since one that
                 ///< has started anew remembers no token, and a successor may have read its former life
    bool isUnresolved = false; ///< a former leader used it, and it may still run what that leader ordered
    std::uint64_t fence = 0;
    bool isNewLife = false;  ///< has started anew, and its first report since is still to come
    std::uint32_t lives = 0; ///< times that it came back under its id; part of the fencing token
    TimePoint drainSeenAt{};

    // Contact
    WorkerClock clock;
    bool isRenewing = false;
    TimePoint renewAt{}; ///< not before
    TimePoint answeredAt{};
    TimePoint leaseEndsBy{};     ///< whatever runs there has ended by then, unless we prolong it
    std::uint32_t lostCalls = 0; ///< renewals in a row without an answer
    TimePoint noStartsUntil{};

    // Ends
    std::uint64_t seenSequence = 0; ///< ends up to this have been taken in
    std::uint64_t forgetUpTo = 0;   ///< and up to this they are durable
    std::deque<KeptEnd> keptEnds;

    // Room
    Resources reserved;          ///< of everything that starts, runs or stops there
    std::int64_t spareUse = 0;   ///< cpu millis of tasks that take what is left
    std::int64_t servingUse = 0; ///< cpu millis of lasting tasks, a part of reserved
    std::vector<TaskRef> runs;
    std::set<RunName> strays; ///< runs that we did not order and whose size is unknown
    std::uint64_t reportCount = 0;
    std::uint32_t adoptedRuns = 0; ///< by the last report: runs of a former leader
    TimePoint heldUntil{}; ///< a serving task was over its target for too long: nothing that fills works until then
    const JobState *keptFor = nullptr; ///< room that falls free goes to a starving task of this job ...
    TimePoint keptUntil{};             ///< ... until then
    TimePoint sampledAt{};             ///< last report that the pressure model took in

    // Health
    std::uint32_t failuresInRow = 0; ///< of runs, over all jobs
    TimePoint suspectUntil{};        ///< takes no work but one probe
    Duration suspicion{};            ///< doubles with each suspicion in a row

    bool isSuspect(TimePoint now) const
    {
        return now < suspectUntil;
    }
    bool isKeptFromOthers(const JobState &job, TimePoint now) const
    {
        return keptFor != nullptr && keptFor != &job && now < keptUntil;
    }
    Resources freeRoom() const
    {
        return record.capacity - reserved;
    }
};

} // namespace QuetzalRock::Workflow
