/**
 * WorkflowScheduler: while tasks crash the workers that start them, keeps the starts of different jobs apart, so that a crash
 * names its job and nothing else is suspected. Designed for this load: some of the jobs that arrive all along have a task
 * that crashes its worker within moments.
 *
 * It begins for a pool as soon as a worker falls silent under a run that was starting up: the crash itself is confirmed only
 * seconds later. A crash in a trial does not begin it, as it names its task anyway. A task that has started up before is neither held up nor in the way of others. Tasks of one job may start
 * together, and go to few workers. What waits only for that does not count as without room: a start shows within a second.
 * No step waits so for longer than CrashSettings::maxSeparationDelay, after which it starts beside others.
 */
#include <workflow/scheduler.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration MinRenewalWait = 100ms; ///< bounds the renewals of a worker while runs are starting up there

} // namespace

/** Separates the starts in @p pool for @p time from now on, or for longer if that was known before. */
void WorkflowScheduler::separateStarts(const std::string &pool, Duration time, std::string_view why)
{
    if (time <= Duration::zero()) {
        return;
    }
    const auto [it, isNew] = m_separatedUntil.emplace(pool, m_clock.now() + time);
    it->second = std::max(it->second, m_clock.now() + time);
    if (isNew) {
        m_isPlacementDue = true;
        m_log.write("starts_separated", "shard", m_shard, "pool", pool, "why", why);
    }
}

/** The worker has just fallen silent: it may have crashed under a run that was starting up. */
void WorkflowScheduler::separateStartsAfterSilence(WorkerIndex index)
{
    const WorkerState &worker = *m_workers[index];
    const bool isTimeKnown = worker.reportCount > 0;
    if (!worker.isLeaving() && !worker.trialJob && worker.hasStartingRun()
        && !isNextToUnexplainedCrash(index, worker.contactLostAt, isTimeKnown)
        && !isDomainDown(worker.record.failureDomain, worker.contactLostAt, isTimeKnown)) {
        separateStarts(worker.record.pool, m_settings.grantedLease(), "silence"); // it may be cut off only
    }
    reviewCrashes(worker.contactLostAt);
}

void WorkflowScheduler::endSeparations(TimePoint now)
{
    std::erase_if(m_separatedUntil, [this, now](const auto &it) {
        if (now >= it.second) {
            m_log.write("starts_no_longer_separated", "shard", m_shard, "pool", it.first);
        }
        return now >= it.second;
    });
}

bool WorkflowScheduler::areStartsSeparated(const std::string &pool) const
{
    return !m_separatedUntil.empty() && m_separatedUntil.contains(pool);
}

/** Determines whose tasks are starting up on the worker, if that matters now. */
void WorkflowScheduler::listStartingJobs(WorkerState &worker)
{
    worker.startingJob = nullptr;
    worker.hasSeveralStartingJobs = false;
    if (!areStartsSeparated(worker.record.pool)) {
        return;
    }
    for (const TaskRef &it : worker.runs) {
        if (it.task().isStartUncertain()) {
            noteStartingJob(worker, it);
        }
    }
}

/** A run of the task begins there, unless the task is known to start up. */
void WorkflowScheduler::noteStartingJob(WorkerState &worker, const TaskRef &ref)
{
    if (areStartsSeparated(worker.record.pool) && !ref.task().isKnownToStartUp()) {
        worker.hasSeveralStartingJobs
            = worker.hasSeveralStartingJobs || (worker.startingJob != nullptr && worker.startingJob != ref.job);
        worker.startingJob = ref.job;
    }
}

bool WorkflowScheduler::isStartingJobOnly(const WorkerState &worker, const JobState &job) const
{
    return worker.startingJob == &job && !worker.hasSeveralStartingJobs;
}

/** Whether the waiting task may not be started where tasks of another job are starting up. Trials have workers of their own. */
bool WorkflowScheduler::mustStartApart(const TaskRef &ref, TimePoint now) const
{
    if (!areStartsSeparated(ref.job->accepted.pool) || ref.task().isKnownToStartUp() || needsTrial(ref.task())) {
        return false;
    }
    const TimePoint since = ref.job->occurrences[ref.occurrence].steps[ref.step].heldByStartsSince;
    return since == TimePoint{} || now < since + m_settings.crashes.maxSeparationDelay;
}

/** @p isHeld: a task of the step has room, but only where other jobs start. */
void WorkflowScheduler::noteHeldByStarts(StepState &step, bool isHeld, TimePoint now) const
{
    step.heldByStartsSince = !isHeld                                 ? TimePoint{}
                             : step.heldByStartsSince == TimePoint{} ? now
                                                                     : step.heldByStartsSince;
}

/** How long the worker may wait with its next report: not much longer than until a start that others wait for shows. */
Duration WorkflowScheduler::renewalWait(const WorkerState &worker, TimePoint now) const
{
    Duration wait = m_settings.renewInterval;
    const bool areSeparated = areStartsSeparated(worker.record.pool);
    if (!worker.trialJob && !areSeparated) {
        return wait;
    }
    if (areSeparated) { // the next start may be ordered in a moment
        wait = std::min(wait, m_settings.crashes.startupTime + MinRenewalWait);
    }
    for (const TaskRef &it : worker.runs) {
        if (!it.task().hasStartedUp) {
            const Duration left = it.task().startedAt + m_settings.crashes.startupTime - now;
            wait = std::min(wait, std::max(left, MinRenewalWait));
        }
    }
    return wait;
}

} // namespace QuetzalRock::Workflow
