/**
 * Handles callers' requests on any node: stores submitted jobs and cancellations, and answers queries about jobs.
 *
 * Index of this file
 *   IntakeOutcome, IntakeReply   result of a request
 *   IntakeSettings               timings
 *   IntakeCounters               for metrics
 *   Intake                       one per node; runs on the node's thread
 *
 * A job is accepted by one conditional write that registers its key, so submissions are idempotent by key, on whichever
 * nodes they arrive. A write without an answer is retried until its outcome is known or the caller's deadline is near:
 * the caller is never told "not accepted" about a job that may be in the store.
 *
 * A submission may be under way at another node, or in the store, while its job is cancelled. So a cancel of a key that is
 * not registered registers it as cancelled before the caller is told that there is no such job.
 */
#pragma once

#include <workflow/ports.h>
#include <workflow/progress.h>

#include <base/eventlog.h>

#include <map>
#include <memory>

namespace QuetzalRock::Workflow {

enum class IntakeOutcome : std::uint8_t {
    Ok = 0,
    NotAccepted = 1, ///< nothing was or will be changed; the caller may retry after IntakeReply::retryAfter
    Unknown = 2,     ///< the store did not answer in time; the caller should repeat the same request
    NoSuchJob = 3,
    NoRoom = 4,    ///< as NotAccepted: the job would end too late, see forecast.h
    Cancelled = 5, ///< of a submission: cancelled before it was stored; it never runs
};

struct IntakeReply
{
    IntakeOutcome outcome = IntakeOutcome::Ok;
    Duration retryAfter{};         ///< set if NotAccepted or NoRoom
    bool isRefusedByStore = false; ///< NotAccepted because the store did not execute this node's call; may differ at
                                   ///< another node
    WorkflowState state = WorkflowState::Queued; ///< set by queryState()
    std::string failure{};                       ///< set by queryState() if the job has failed: why
    std::uint32_t pending = 0;                   ///< set by countPending()
};

struct IntakeSettings
{
    Duration replyMargin
        = std::chrono::milliseconds(150); ///< the caller gets its reply at least this long before its deadline
    Duration retryInterval = std::chrono::milliseconds(100); ///< of writes with unknown outcome, and of cancels
    Duration retryAfter = std::chrono::seconds(1);           ///< told to callers while the store does not execute calls
    Duration countMaxAge = std::chrono::milliseconds(500);   ///< of shard statuses used by countPending()
    Duration statusMaxAge = std::chrono::seconds(1);         ///< of shard statuses used to choose a job's shard
};

struct IntakeCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t notAccepted = 0;
    std::uint64_t unknown = 0;
    std::uint64_t noRoom = 0;
    std::uint64_t cancels = 0;
    std::uint64_t queries = 0;
};

class Intake
{
public:
    using Done = std::function<void(const IntakeReply &)>;

    Intake(RecordStore &store, Clock &clock, EventLog &log, const IntakeSettings &settings = {});

    /** Without @p shard the job waits until the ShardAssigner gives it one. */
    void submit(const Queue &queue, std::optional<ShardId> shard, WorkflowSpec spec, TimePoint deadline, Done done);
    /**
     * Answers NoRoom unless the job is already stored, or may become so by an earlier submission: then, and if the store
     * does not tell, @p submit is called instead.
     */
    void rejectUnlessStored(const JobKey &key, Duration retryAfter, std::function<void()> submit, Done done);

    void cancel(const JobKey &key, TimePoint deadline, Done done);
    void queryState(const JobKey &key, Done done);
    void countPending(const std::string &queue, Done done);

    void tick(TimePoint now); ///< retries writes with unknown outcome, and answers those whose deadline is near

    const ShardStatuses &statuses() const; ///< as last read
    void refreshStatuses();                ///< reads them if they are older than IntakeSettings::statusMaxAge

    const IntakeCounters &counters() const;

private:
    /** A write whose outcome a caller is waiting for. */
    struct PendingWrite
    {
        JobKey key;
        std::optional<ShardId> shard;
        std::set<ShardId> guestOf; ///< cancels: other shards that have tasks of the job
        bool isCancel = false;
        bool isEarlyCancel = false; ///< the key is not registered: it is registered as cancelled
        std::string value;
        std::uint64_t jobRevision = 0; ///< cancels: revision of the job's registration
        TimePoint deadline;
        TimePoint retryAt{};
        bool isInFlight = false;
        bool mayBeStored = false; ///< an earlier attempt got no answer
        Done done;
    };
    using WritePtr = std::shared_ptr<PendingWrite>;

    /** Cancellation of a job that has no shard yet. */
    struct DeferredCancel
    {
        JobKey key;
        TimePoint deadline;
        TimePoint retryAt;
        Done done;
    };

    void send(const WritePtr &write);
    void onWriteReply(const WritePtr &write, const StoreReply &reply);
    void onConflict(const WritePtr &write, const StoreReply &reply);
    bool updateCancel(const WritePtr &write, const StoreReply &conflict);
    bool wasCancelledEarly(const StoreItem &registration);
    void finish(const WritePtr &write, IntakeOutcome outcome, StoreStatus cause = StoreStatus::Ok);
    IntakeReply notAcceptedReply(StoreStatus cause = StoreStatus::Ok) const;
    void checkRegistration(const JobKey &key, const Done &done);
    void readJobForCancel(const JobKey &key, TimePoint deadline, Done done);
    void onJobReadForCancel(const JobKey &key, TimePoint deadline, const StoreReply &reply, const Done &done);
    void readStatuses(Done done);
    void applyStatuses(const StoreReply &reply);
    std::uint32_t countPendingIn(const std::string &queue) const;

    RecordStore &m_store;
    Clock &m_clock;
    EventLog &m_log;
    IntakeSettings m_settings;
    std::vector<WritePtr> m_writes;
    std::vector<DeferredCancel> m_deferredCancels;
    ShardStatuses m_statuses;
    TimePoint m_statusesReadAt{}; ///< zero: never
    bool m_isReadingStatuses = false;
    std::map<ShardId, std::uint64_t> m_unreadableStatuses; ///< revisions that were logged as unreadable
    IntakeCounters m_counters;
};

} // namespace QuetzalRock::Workflow
