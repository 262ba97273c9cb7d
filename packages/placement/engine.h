/**
 * Interface between the scheduler of one shard and the engine that decides about placement, throttling and eviction.
 *
 * Index of this file
 *   StartDecision ... Decisions   the result of one round of decisions
 *   DecisionEngine                takes events, returns decisions; performs no I/O and reads no clock
 *
 * Use
 *   engine.setWorker(vm); engine.addJob(spec); engine.observe(report, now);
 *   Decisions decisions = engine.decide(now);     // each start has already reserved capacity on its worker
 *   ... make the decisions durable, then carry them out; if that fails: engine.abandonStart(task) ...
 *   engine.endAttempt(task, state, ...);     // only once the end is known: frees the capacity
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
    std::string reason; ///< for operators
};

struct StopDecision
{
    TaskId task;
    StopMode mode = StopMode::Checkpoint;
    TaskId inFavourOf;  ///< the task that gets the freed capacity; job 0: none
    std::string reason; ///< for operators
};

struct ThrottleDecision
{
    TaskId task;
    int permille = 1000; ///< fraction of its processors that it keeps; 1000 lifts the throttle
    std::string reason;  ///< for operators
};

/** A job that can never run as declared. */
struct UnrunnableJob
{
    JobId job = 0;
    std::string reason; ///< for operators: what does not fit, and what is available
};

struct Decisions
{
    std::vector<StartDecision> starts;
    std::vector<StopDecision> stops;
    std::vector<ThrottleDecision> throttles;
    std::vector<UnrunnableJob> unrunnable; ///< each job is reported once
};

/** Decides for one shard. Deterministic: the same events at the same times give the same decisions. */
class DecisionEngine
{
public:
    virtual ~DecisionEngine() = default;

    virtual void setWorker(const Vm &vm) = 0; ///< adds or updates; a Leaving or Gone worker gets no more starts

    virtual void addJob(const JobSpec &spec, TimePoint now) = 0; ///< all its tasks become pending
    virtual void removeTask(const TaskId &task) = 0;             ///< cancels; a running task still needs endAttempt()

    /** For replay of durable state: reserves capacity on @p worker for @p task, which already has an attempt there. */
    virtual void restoreAttempt(const TaskId &task, const WorkerId &worker, TimePoint started) = 0;

    virtual void abandonStart(const TaskId &task) = 0; ///< start not made durable: capacity freed, task pending again

    /** Frees the attempt's capacity. A task that has neither finished nor been removed becomes pending again. */
    virtual void endAttempt(const TaskId &task, AttemptState state, double progress, TimePoint now) = 0;

    virtual void observe(const WorkerReport &report, TimePoint now) = 0; ///< reports may be late and noisy

    virtual Decisions decide(TimePoint now) = 0;

    /** Text for operators: where @p task runs, or why it waits and what would have to change. */
    virtual std::string explain(const TaskId &task) const = 0;
};

} // namespace QuetzalRock
