/**
 * WorkflowScheduler: tries suspected tasks alone. crashes.h has the decisions, suspects.cpp the evidence.
 *
 * A trial is chosen, stored, and started once its worker is quiet; until its outcome shows, it counts against the limit of
 * workers that trials may keep down. placeTrials() decides about all suspects of the shard at once, before the other jobs
 * are placed: their order is that of chooseTrials(), not that of their jobs.
 */
#include <workflow/scheduler.h>

#include <algorithm>
#include <utility>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration TrialRetryDelay = 200ms; ///< after a worker that was chosen for a trial cannot be used
constexpr Duration TrialSearchInterval
    = 200ms;                           ///< of a suspect that found no worker for its trial; others go first then
constexpr double LongRunningLoss = 10; ///< of a long-running task that a crash ends, in tasks of limited run time
constexpr Duration WholeRunTrialTimeout
    = 10s; ///< CrashSettings::trialTimeout of a trial that waits for other tasks to end

bool isPrepared(const TaskState &task)
{
    return task.trial && !task.trial->isOrdered;
}

} // namespace

bool WorkflowScheduler::needsTrial(const TaskState &task) const
{
    return task.trial || isSuspected(m_settings.crashes, task.crashes);
}

/** Continues the trials that are prepared, and prepares those whose turn it is. */
void WorkflowScheduler::placeTrials(TimePoint now)
{
    std::vector<TrialCandidate> candidates;
    for (JobState *job : m_jobOrder) {
        if (job->hasCrashEvidence && mayPlace(*job)) {
            listTrialCandidates(*job, now, candidates);
        }
    }
    if (candidates.empty()) {
        return;
    }
    for (const TrialCandidate &it : candidates) {
        if (it.isPrepared) {
            continueTrial(it.refs, now);
        }
    }
    if (m_authority != Authority::Full) {
        return; // the store does not answer: workers chosen now would start nothing at all
    }
    std::erase_if(candidates, [now](const TrialCandidate &it) {
        return it.isPrepared || now < it.refs.front().task().nextTrialSearchAt;
    });
    const SuspectsByCrash suspects = suspectsByCrash();
    std::vector<WaitingSuspect> waiting;
    for (const TrialCandidate &it : candidates) {
        WaitingSuspect suspect;
        for (const TaskRef &ref : it.refs) {
            const auto &crashes = ref.task().crashes;
            suspect.guilt = std::max(suspect.guilt, guiltEstimate(crashes, suspects));
            suspect.sinceMs = std::max(suspect.sinceMs, suspectedSinceMs(crashes));
        }
        waiting.push_back(suspect);
    }
    const std::int64_t wallMs = m_clock.wallNow().count();
    for (const std::size_t i : chooseTrials(m_settings.crashes, waiting, wallMs, trialBudget(now))) {
        const TaskRef &first = candidates[i].refs.front();
        const bool hasRoom = prepareTrial(candidates[i].refs, waiting[i].guilt, now);
        first.task().isWithoutTrialRoom = !hasRoom;
        first.task().nextTrialSearchAt = hasRoom ? TimePoint{} : now + TrialSearchInterval;
    }
}

/** Adds the job's tasks that wait for a trial, or for the start of one; the members of a gang are tried together. */
void WorkflowScheduler::listTrialCandidates(JobState &job, TimePoint now, std::vector<TrialCandidate> &candidates) const
{
    const WorkflowSpec &spec = job.accepted.spec;
    const std::int64_t wallMs = m_clock.wallNow().count();
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        if (spec.repeatCount > 0 && wallMs < spec.firstStartMs + static_cast<std::int64_t>(k) * spec.intervalMs) {
            return; // later occurrences are not due either
        }
        for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
            const StepState &step = job.occurrences[k].steps[s];
            if (step.doneCount == step.tasks.size() || !arePredecessorsDone(job, k, s)) {
                continue;
            }
            std::vector<TaskRef> refs;
            bool isAnyNeeded = false;
            for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
                const TaskRef ref{&job, k, s, i};
                const TaskState &task = step.tasks[i];
                const bool canStart = task.phase == TaskPhase::Waiting && holdOf(ref, now) == WaitReason::None;
                if (spec.steps[s].isGang && canStart) {
                    isAnyNeeded = isAnyNeeded || needsTrial(task);
                    refs.push_back(ref);
                } else if (canStart && needsTrial(task)) {
                    candidates.push_back({{ref}, isPrepared(task)});
                }
            }
            if (isAnyNeeded && refs.size() == step.tasks.size()) {
                const bool areAllPrepared
                    = std::all_of(refs.begin(), refs.end(), [](const TaskRef &it) { return isPrepared(it.task()); });
                candidates.push_back({refs, areAllPrepared});
            }
        }
    }
}

/** Number of jobs that are still suspected for each crash: fewer than at the crash, once others were cleared. */
SuspectsByCrash WorkflowScheduler::suspectsByCrash() const
{
    std::map<CrashName, std::set<JobKey>> jobs;
    for (const auto &[key, job] : m_activeJobs) {
        if (job->hasCrashEvidence) {
            forEachTask(*job, [&jobs](const TaskRef &ref) {
                for (const CrashEvidence &it : ref.task().crashes) {
                    if (it.crash.isKnown() && !it.isExplained) {
                        jobs[it.crash].insert(ref.job->key());
                    }
                }
            });
        }
    }
    SuspectsByCrash suspects;
    for (const auto &[crash, keys] : jobs) {
        suspects[crash] = static_cast<std::uint32_t>(keys.size());
    }
    return suspects;
}

/** Starts a prepared trial once it is stored and its workers are quiet, or abandons it. */
void WorkflowScheduler::continueTrial(std::span<const TaskRef> refs, TimePoint now)
{
    const TaskTrial trial = *refs.front().task().trial;
    const bool isStored = refs.front().job->storedVersion >= trial.version;
    if (!isStored && m_authority == Authority::Full) {
        return;
    }
    std::size_t reserved = 0;
    bool isUsable = true;
    bool isQuiet = true;
    for (; reserved < refs.size() && isUsable; ++reserved) {
        const TaskRef &ref = refs[reserved];
        const auto found = m_workerIndex.find(ref.task().trial->worker);
        isUsable = found != m_workerIndex.end() && canTryOn(found->second, ref, now);
        if (!isUsable) {
            break;
        }
        isQuiet = isQuiet && isQuietForTrial(*m_workers[found->second], ref);
        reserveResources(ref, found->second);
    }
    for (std::size_t i = 0; i < reserved; ++i) {
        releaseResources(refs[i]);
        refs[i].task().phase = TaskPhase::Waiting;
    }
    const Duration timeout
        = isTriedUntilItsEnd(refs.front().task()) ? WholeRunTrialTimeout : m_settings.crashes.trialTimeout;
    if (!isStored || !isUsable || now >= trial.preparedAt + timeout) {
        logTaskEvent("trial_abandoned",
                     refs.front(),
                     "worker",
                     trial.worker,
                     "stored",
                     isStored,
                     "usable",
                     isUsable,
                     "quiet",
                     isQuiet);
        for (const TaskRef &it : refs) {
            endTrial(it);
            it.task().retryAt = now + TrialRetryDelay;
        }
        return;
    }
    for (const TaskRef &it : refs) {
        if (isQuiet) {
            it.task().trial->isOrdered = true;
            logTaskEvent("trial_started", it, "attempt", trial.attempt, "worker", it.task().trial->worker);
            startTask(it, m_workerIndex.at(it.task().trial->worker), trial.attempt, now);
        }
    }
}

/**
 * Chooses a worker for each of @p refs, which starts nothing else from now on, and stores the trial before the order is sent.
 * False if there is no room for them.
 */
bool WorkflowScheduler::prepareTrial(std::span<const TaskRef> refs, double risk, TimePoint now)
{
    JobState &job = *refs.front().job;
    std::uint64_t attempt = 0;
    for (const TaskRef &it : refs) {
        if (it.task().trial) { // an earlier one, whose outcome did not show in time
            endTrial(it);
        }
        attempt = std::max(attempt, nextAttempt(it.task()));
    }
    std::vector<WorkerIndex> chosen;
    for (const TaskRef &it : refs) {
        const WorkerIndex worker = chooseTrialWorker(it, now);
        if (worker == NoWorker) {
            break;
        }
        reserveResources(it, worker);
        m_workers[worker]->trialJob = job.key();
        chosen.push_back(worker);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        releaseResources(refs[i]);
        refs[i].task().phase = TaskPhase::Waiting;
        m_workers[chosen[i]]->trialJob.reset();
    }
    if (chosen.size() < refs.size()) {
        return false;
    }
    markDirty(job);
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        WorkerState &worker = *m_workers[chosen[i]];
        worker.trialJob = job.key();
        worker.trialRisk = risk;
        TaskTrial trial;
        trial.attempt = attempt;
        trial.worker = worker.record.id;
        trial.workerStartedAtMs = worker.record.startedAtMs;
        trial.preparedMs = m_clock.wallNow().count();
        trial.version = job.version;
        trial.preparedAt = now;
        refs[i].task().trial = trial;
    }
    m_isPlacementDue = true;
    return true;
}

bool WorkflowScheduler::canTryOn(WorkerIndex index, const TaskRef &ref, TimePoint now) const
{
    const WorkerState &worker = *m_workers[index];
    return worker.record.startedAtMs == ref.task().trial->workerStartedAtMs && isEligible(worker, ref, now)
           && scorePlacement(index, ref, canShareSpareCpu(*ref.job));
}

/** Whether a crash of the worker could be held against no other job. */
bool WorkflowScheduler::isQuietForTrial(const WorkerState &worker, const TaskRef &ref) const
{
    const bool isWholeRun = isTriedUntilItsEnd(ref.task());
    return std::all_of(worker.runs.begin(), worker.runs.end(), [&ref, isWholeRun](const TaskRef &it) {
        return it.job == ref.job || (it.task().hasStartedUp && (!isWholeRun || it.spec().isLongRunning));
    });
}

/** The worker whose crash would cost the least, not one that has crashed again and again by itself. */
WorkerIndex WorkflowScheduler::chooseTrialWorker(const TaskRef &ref, TimePoint now) const
{
    WorkerIndex best = NoWorker;
    std::pair<bool, double> leastCost;
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState &worker = *m_workers[i];
        if (!isEligible(worker, ref, now) || !scorePlacement(i, ref, canShareSpareCpu(*ref.job))) {
            continue;
        }
        const auto crashes = std::count_if(m_recentCrashes.begin(), m_recentCrashes.end(), [&worker](const auto &it) {
            return it.address == worker.record.address;
        });
        double loss = 0;
        for (const TaskRef &it : worker.runs) {
            loss += it.spec().isLongRunning ? LongRunningLoss : 1;
        }
        const std::pair<bool, double> cost{crashes > 1, loss};
        if (best == NoWorker || cost < leastCost) {
            best = i;
            leastCost = cost;
        }
    }
    return best;
}

TrialBudget WorkflowScheduler::trialBudget(TimePoint now) const
{
    std::size_t workers = 0;
    for (const auto &it : m_workers) {
        workers += it->isLeaving() ? 0 : 1;
    }
    TrialBudget budget(m_settings.crashes, workers);
    for (const auto &it : m_workers) {
        const bool isSilent = it->unansweredRenewals > 0 && now < it->contactLostAt + m_settings.grantedLease();
        if (it->trialJob) {
            budget.add(isSilent ? 1 : it->trialRisk);
        } else if (isSilent && !it->runs.empty() && it->hasStartingRun()) {
            budget.add(1); // possibly the first crash of a task that nobody suspects yet
        }
    }
    return budget;
}

void WorkflowScheduler::endTrial(const TaskRef &ref)
{
    const TaskTrial trial = *std::exchange(ref.task().trial, std::nullopt);
    bool isUsedByOthers = false; // by other members of a gang
    forEachTask(*ref.job, [&](const TaskRef &it) {
        isUsedByOthers = isUsedByOthers || (it.task().trial && it.task().trial->worker == trial.worker);
    });
    const auto found = m_workerIndex.find(trial.worker);
    if (found != m_workerIndex.end() && !isUsedByOthers && m_workers[found->second]->trialJob == ref.job->key()) {
        m_workers[found->second]->trialJob.reset();
    }
    markDirty(*ref.job); // a stored trial would be held against the task if the worker crashes later
    m_isPlacementDue = true;
}

/** Ends the trials of a job that has ended. */
void WorkflowScheduler::endTrials(JobState &job)
{
    if (!job.hasCrashEvidence) {
        return;
    }
    forEachTask(job, [this](const TaskRef &it) {
        if (it.task().trial) {
            endTrial(it);
        }
    });
}

} // namespace QuetzalRock::Workflow
