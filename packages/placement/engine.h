/**
 * Decisions about placement, throttling and eviction, as their user (the scheduler of one shard) sees them.
 *
 * Index of this file
 *   StartDecision ... Decisions   what to do next
 *   DecisionEngine                events in, decisions out; no I/O, no thread, no clock of its own
 *
 * Use
 *   engine.setWorker(vm); engine.addJob(spec); engine.observe(report, now);
 *   Decisions decisions = engine.decide(now);     // every start in it is already counted against its worker
 *   ... make them durable, then act; where that fails: engine.abandonStart(task) ...
 *   engine.endAttempt(task, state, ...);     // only on a known end: this frees the worker's capacity
 */
#pragma once

#include <base/clock.h>
#include <base/types.h>
#include <platform/platform.h>

#include <string>
#include <vector>

namespace QuetzalRock {

struct StartDecision
{
    TaskId task;
    WorkerId worker;
    std::string reason; ///< for people
};

struct StopDecision
{
    TaskId task;
    StopMode mode = StopMode::Checkpoint;
    TaskId inFavourOf;  ///< the task that it makes room for; job 0: none
    std::string reason; ///< for people
};

struct ThrottleDecision
{
    TaskId task;
    int permille = 1000; ///< of its processors; 1000 lifts the throttle
    std::string reason;  ///< for people
};

/** A job that can never run as declared. */
struct UnrunnableJob
{
    JobId job = 0;
    std::string reason; ///< for people: what does not fit, and what would
};

struct Decisions
{
    std::vector<StartDecision> starts;
    std::vector<StopDecision> stops;
    std::vector<ThrottleDecision> throttles;
    std::vector<UnrunnableJob> unrunnable; ///< named once each
};

/** One shard's decisions. Same events at the same times give the same decisions. */
class DecisionEngine
{
public:
    virtual ~DecisionEngine() = default;

    virtual void setWorker(const Vm &vm) = 0; ///< adds or updates; a Leaving or Gone worker gets no further start

    virtual void addJob(const JobSpec &spec, TimePoint now) = 0; ///< all its tasks are pending
    virtual void removeTask(const TaskId &task) = 0; ///< no longer wanted; where it runs, endAttempt() still follows

    /** Replay: @p task holds @p worker's capacity already. */
    virtual void restoreAttempt(const TaskId &task, const WorkerId &worker, TimePoint started) = 0;

    virtual void abandonStart(const TaskId &task) = 0; ///< a start that was not made durable: pending again, room freed

    /** The end is known: frees the room. A task that is still wanted and has not finished is pending again. */
    virtual void endAttempt(const TaskId &task, AttemptState state, double progress, TimePoint now) = 0;

    virtual void observe(const WorkerReport &report, TimePoint now) = 0; ///< late and noisy

    virtual Decisions decide(TimePoint now) = 0;

    /** Why @p task runs where it does, or why it waits and what would have to change. */
    virtual std::string explain(const TaskId &task) const = 0;
};

} // namespace QuetzalRock
