/**
 * The work of a shard's leader: takes over, places tasks, keeps leases alive, takes in ends, stores progress.
 *
 * Index of this file
 *   WorkflowSettings     times and limits
 *   WorkflowCounters     for metrics
 *   WorkflowScheduler    one for each term of leadership; driven by tick() on one thread
 *
 * What is stored, and what is not
 *   Stored: accepted jobs, cancels (both by whichever node takes them), ends, failed attempts, checkpoints, the list of
 *   workers in use. Not stored: where a task runs. Workers remember that; a new leader reads it back from them.
 *
 * How a task never runs twice
 *   - Each order carries a fencing token made of the epoch. A new leader renews on each worker first, with its own token:
 *     from then on no order of a former leader has an effect there, and the lists that it gets are complete.
 *   - A task whose job a former leader may have known is not placed before every worker has been read, or is known to run
 *     nothing of the former leader any more (its lease has run out, or another life answers in its place).
 *   - A worker that does not answer keeps its tasks until its lease has run out by its own, possibly slow, clock.
 *   - An order without an answer holds its task until a stop has barred it, or its validity has passed there.
 *   - Attempt numbers rise within an epoch, and start higher in each.
 *   - An end is forgotten by the worker only after it is stored here.
 */
#pragma once

#include <workflow/election.h>
#include <workflow/metrics.h>
#include <workflow/mirror.h>
#include <workflow/placement.h>
#include <workflow/pool.h>
#include <workflow/pressure.h>
#include <workflow/turns.h>

#include <map>
#include <unordered_map>

namespace QuetzalRock::Workflow {

struct WorkflowSettings
{
    Duration renewEvery = std::chrono::milliseconds(1000);    ///< longest time between two renewals of one worker
    Duration workerLease = std::chrono::seconds(5);           ///< outlives an election and a takeover
    Duration maxWorkerLease = std::chrono::seconds(10);       ///< workers shorten any longer one to this
    Duration orderValidity = std::chrono::milliseconds(2500); ///< a start that arrives later is rejected by the worker
    Duration formerLeaderFirm
        = std::chrono::milliseconds(1700); ///< how long after our election a former leader may take on
                                           ///< jobs: its lease and a margin
    Duration formerLeaderLife = std::chrono::milliseconds(9700); ///< and how long it may send orders: its grace as well
    Duration storeEvery = std::chrono::milliseconds(50);   ///< ends are gathered for so long before they are written
    Duration statusEvery = std::chrono::milliseconds(700); ///< between two writes of ShardStatus; callers
                                                           ///< may be told counts of two seconds ago
    Duration pressureEvery = std::chrono::seconds(4);      ///< between two writes of what was learned of neighbours
    Duration pressureShareEvery = std::chrono::seconds(2); ///< the same, and between two reads of what others learned,
                                                           ///< where there are several shards: a burst lasts seconds
    Duration storeRetry = std::chrono::milliseconds(200);  ///< after a write that failed
    Duration placeEvery = std::chrono::milliseconds(5);    ///< changes are gathered for so long before placing
    Duration contactLost
        = std::chrono::milliseconds(2200);              ///< a worker that has not answered for so long gets no starts
    Duration askAgain = std::chrono::milliseconds(250); ///< after a call to a worker without an answer; also for stops
    Duration suspicion = std::chrono::seconds(2);       ///< a worker whose runs fail one after the other gets no work
    Duration longestSuspicion = std::chrono::seconds(8);
    std::uint32_t suspectAfter = 2;                       ///< failed runs in a row, over all jobs
    Duration hungAfter = std::chrono::milliseconds(1500); ///< a task that uses no processor for so long stands still
    Duration patience = std::chrono::milliseconds(1500);  ///< a task that waits longer than this takes spare processors
                                                          ///< that others want as well
    Duration keepFinal = std::chrono::minutes(10);        ///< how long callers can ask for a job that has ended
    Duration drainMargin
        = std::chrono::milliseconds(1500); ///< checkpointed work leaves a draining worker so long before
                                           ///< the worker does
    PlacementWeights placement;
    PressureSettings pressure;
};

struct WorkflowCounters
{
    std::uint64_t starts = 0;
    std::uint64_t startsRejected = 0;
    std::uint64_t startsUnanswered = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t lost = 0; ///< runs that ended with their worker's life or lease
    std::uint64_t stops = 0;
    std::uint64_t writes = 0;
    std::uint64_t throttles = 0;
};

class WorkflowScheduler
{
public:
    WorkflowScheduler(const WorkflowSettings &settings,
                      RecordStore &store,
                      WorkerPort &workers,
                      Clock &clock,
                      EventLog &log,
                      ShardId shard,
                      const Leadership &term);
    WorkflowScheduler(const WorkflowScheduler &) = delete;
    WorkflowScheduler &operator=(const WorkflowScheduler &) = delete;

    void setObserver(WorkflowObserver *observer); ///< null: none; it outlives the scheduler

    /** Does all that is due. Sends orders only as far as @p authority goes. */
    void tick(TimePoint now, Authority authority);

    /** True once a worker or the store has shown that another leads, or has led since. */
    bool isDeposed() const;

    /** There are other shards: what their leaders learn of neighbours counts here too. */
    void setHasSiblings(bool hasSiblings);

    /** A worker's entry in the registry is new or has changed. */
    void setWorker(const WorkerRecord &record);

    /** A worker's entry has gone, or cannot be read. */
    void removeWorker(const WorkerId &id);

    ShardId shard() const;
    const WorkflowCounters &counters() const;
    std::size_t activeJobs() const;

private:
    using JobPtr = std::unique_ptr<JobState>;

    // Takeover (takeover.cpp)
    void loadWorkers();
    void onWorkersLoaded(const StoreReply &reply);
    void loadPressure();
    void borrowPressure(TimePoint now);
    void onPressuresRead(const StoreReply &reply);
    void loadProgress(const std::string &afterKey);
    void onProgressPage(const StoreReply &reply);
    void retryLoad(std::string_view what);
    void onInboxItem(const StoreItem &item);
    void addJob(const StoreItem &item);
    void onCancel(const JobKey &key);
    bool mayBeRunningElsewhere(const JobState &job) const;
    void resolveUnread(TimePoint now);
    void askFormerLeader(TimePoint now);
    TimePoint formerLeasesEndBy() const;

    // Workers (contact.cpp)
    WorkerState &addWorker(const WorkerId &id);
    void renewWorkers(TimePoint now);
    void renewWorker(WorkerIndex index, TimePoint now);
    void onRenewed(WorkerIndex index, std::uint64_t fence, const RenewReply &reply, TimePoint sentAt);
    void onNotRenewed(WorkerIndex index, OrderStatus status, TimePoint now);
    void takeReport(WorkerIndex index, const WorkerReport &report, TimePoint sentAt);
    void takeRunning(WorkerIndex index, const RunningEntry &entry);
    void takeEnd(WorkerIndex index, const EndedEntry &entry);
    void takeFailure(WorkerIndex index, const TaskRef &ref, const EndedEntry &entry);
    void takeEndOfTask(WorkerIndex index, const TaskRef &ref, const EndedEntry &entry);
    void checkUnlisted(WorkerIndex index, std::int64_t clockMs, bool isWhole, TimePoint sentAt);
    void loseRuns(WorkerIndex index, std::string_view why);
    void beginLife(WorkerIndex index, const WorkerRecord &record);
    void leaveDraining(WorkerIndex index, TimePoint now);
    void noteHealth(WorkerState &worker, bool isGood, TimePoint now);
    void forgetDurable(WorkerState &worker);
    WorkerTarget target(const WorkerState &worker) const;
    std::optional<TaskRef> find(const TaskName &name);

    // Placing (dispatch.cpp)
    void place(TimePoint now);
    void sortJobs(TimePoint now);
    void placeJob(JobState &job, TimePoint now);
    void placeStep(JobState &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now);
    void placeGang(JobState &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now);
    bool isOpen(const JobState &job, std::uint32_t occurrence, std::uint32_t step) const;
    WorkerIndex choose(const TaskRef &ref, TimePoint now);
    bool mayTake(const WorkerState &worker, const TaskRef &ref, TimePoint now) const;
    void start(const TaskRef &ref, WorkerIndex worker, std::uint64_t attempt, TimePoint now);
    void onStarted(
        const TaskRef &ref, const JobKey &key, WorkerIndex worker, std::uint64_t attempt, const OrderReply &reply);
    void stop(const TaskRef &ref, std::string_view why);
    void sendStop(const TaskRef &ref);
    void reserve(const TaskRef &ref, WorkerIndex worker);
    void release(const TaskRef &ref); ///< takes the task off its worker
    void waitAgain(const TaskRef &ref, Duration delay);
    void takeBack(const TaskRef &ref); ///< release(), and back into the queue unless it is done
    std::uint64_t nextAttempt(const TaskState &task) const;
    void finishTask(const TaskRef &ref);
    void failJob(JobState &job, std::string_view why);
    void setFinal(JobState &job, WorkflowState state);
    Duration ageOf(const JobState &job) const; ///< by the wall clocks of the node that accepted it and of this one
    void stopAll(JobState &job, std::string_view why);

    // Room for lasting tasks that starve (room.cpp)
    void keepRoom(const TaskRef &ref, TimePoint now);
    void makeRoom(const TaskRef &ref, TimePoint now);
    bool canGoElsewhere(const TaskRef &ref, WorkerIndex from, TimePoint now) const;
    bool mayBeStopped(const TaskRef &ref) const; ///< without too many of its step being away

    // Serving tasks and their neighbours (pressureguard.cpp)
    void notePressure(WorkerIndex index);
    void setThrottles(WorkerIndex index);
    void throttle(const TaskRef &ref, int percent);
    void logThrottles(const WorkerState &worker,
                      std::span<const TaskRef> runs,
                      std::span<const int> percents,
                      bool mustLower);
    std::vector<TaskRef> fillingRuns(const WorkerState &worker) const;
    std::vector<SpareCpuTask> describeFilling(const WorkerState &worker, std::span<const TaskRef> runs) const;
    double allowedEffect(const TaskRef &serving, double margin) const;
    std::optional<double> pushOf(const WorkerState &worker, const TaskRef &ref) const;

    // Storing (storing.cpp)
    void touch(JobState &job);
    void storeProgress(TimePoint now);
    void onStored(const std::vector<std::pair<JobKey, std::uint64_t>> &batch,
                  const std::vector<std::string> &values,
                  const StoreReply &reply);
    void storeWorkers();
    void dropOldJobs(TimePoint now);
    std::int64_t waitingWorkOf(const JobState &job) const;
    ShardStatus describe() const;
    JobState *findJob(const JobKey &key);
    template<typename Handler>
    auto guard(Handler handler); ///< drops answers that come after the term
    template<typename... Fields>
    void logRun(std::string_view event, const TaskRef &ref, const Fields &...fields); ///< job, step and task come first

    WorkflowSettings m_settings;
    RecordStore &m_store;
    WorkerPort &m_port;
    Clock &m_clock;
    EventLog &m_log;
    ShardId m_shard;
    ShardKeys m_keys;
    Leadership m_term;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< callbacks outlive the scheduler

    // Takeover
    enum class Load : std::uint8_t {
        Workers,
        Progress,
        Inbox,
        Done
    };
    Load m_load = Load::Workers;
    bool m_isLoading = false;
    TimePoint m_loadRetryAt{};
    TimePoint m_electedAt;
    std::map<JobKey, std::string> m_loadedProgress;    ///< until the jobs themselves are loaded
    std::map<JobKey, std::uint64_t> m_storedRevisions; ///< of out/KEY
    std::set<JobKey> m_cancelledEarly;                 ///< cancels that came before their job
    PrefixMirror m_inbox;
    bool m_isFormerGone = false; ///< the former leader sends no more orders, for certain ...
    TimePoint m_formerGoneAt{};  ///< ... since then at the latest
    TimePoint m_askFormerAt{};
    std::uint64_t m_trustedRevision = 0; ///< jobs created after it are unknown to any former leader; 0: not known yet

    // Workers
    std::vector<std::unique_ptr<WorkerState>> m_workers; ///< by WorkerIndex; never shrinks in a term
    std::unordered_map<WorkerId, WorkerIndex> m_workerIndex;
    std::size_t m_unreadWorkers = 0; ///< may still run tasks that are not known here
    bool m_workersDirty = false;
    bool m_isStoringWorkers = false;
    std::set<WorkerId> m_durableWorkers;
    std::uint64_t m_workersRevision = 0;

    PressureModel m_pressure;
    bool m_hasSiblings = false;
    TimePoint m_borrowAt{}; ///< not before

    // Jobs
    std::unordered_map<JobKey, JobPtr> m_jobs;
    std::unordered_map<JobKey, JobState *> m_active; ///< not final
    std::vector<JobState *> m_order;                 ///< of m_active, as they get their turn; see JobTurn
    TimePoint m_orderAt{};
    std::deque<std::pair<TimePoint, JobKey>> m_final;
    TimePoint m_placeAt{};
    TimePoint m_makeRoomAt{}; ///< no lasting task is moved before
    bool m_mustPlace = false;
    TimePoint m_now{};
    TimePoint m_firmAt{}; ///< last tick with firm authority
    Authority m_authority = Authority::None;
    bool m_isDeposed = false;

    // Storing
    std::deque<JobKey> m_dirty;
    std::set<JobKey> m_isDirty;
    bool m_isStoring = false;
    TimePoint m_storeAt{};
    ShardStatus m_storedStatus; ///< as last written, without its revision
    TimePoint m_statusAt{};     ///< not before
    TimePoint m_pressureAt{};   ///< not before
    WorkflowCounters m_counters;
    WorkflowObserver *m_observer = nullptr;
};

template<typename... Fields>
void WorkflowScheduler::logRun(std::string_view event, const TaskRef &ref, const Fields &...fields)
{
    m_log.write(event, "job", ref.job->key(), "step", ref.step, "task", ref.index, fields...);
}

template<typename Handler>
auto WorkflowScheduler::guard(Handler handler)
{
    return [alive = std::weak_ptr(m_alive), handler = std::move(handler)](const auto &reply) {
        if (!alive.expired()) {
            handler(reply);
        }
    };
}

} // namespace QuetzalRock::Workflow
