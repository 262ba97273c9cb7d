/**
 * What any node does for callers: takes jobs and cancels into the store, and answers questions about jobs.
 *
 * Index of this file
 *   IntakeOutcome, IntakeReply   what the caller may conclude
 *   Intake                       one for each node; driven on the node's thread
 *
 * A job is accepted by one conditional write that registers its own key, so the same key is one job at whichever nodes it arrives.
 * A write without an answer is repeated until its fate is known: the caller is never told "not accepted" of a job that the
 * store may hold.
 */
#pragma once

#include <workflow/ports.h>
#include <workflow/progress.h>

#include <base/eventlog.h>

#include <memory>

namespace QuetzalRock::Workflow {

enum class IntakeOutcome : std::uint8_t {
    Ok = 0,
    NotAccepted = 1, ///< nothing was changed, and nothing will be; come back after IntakeReply::retryAfter
    Unknown = 2,     ///< no answer from the store in time: send the same again
    NoSuchJob = 3,
};

struct IntakeReply
{
    IntakeOutcome outcome = IntakeOutcome::Ok;
    Duration retryAfter{};
    WorkflowState state = WorkflowState::Queued; ///< of state questions
    std::uint32_t pending = 0;                   ///< of counts
};

struct IntakeSettings
{
    Duration answerMargin
        = std::chrono::milliseconds(150);                  ///< the answer goes out so long before the caller's deadline
    Duration retryEvery = std::chrono::milliseconds(100);  ///< of a write whose fate is unknown
    Duration retryAfter = std::chrono::seconds(1);         ///< told to callers while the store does not take calls
    Duration countMaxAge = std::chrono::milliseconds(500); ///< of the statuses, when callers ask for counts
    Duration statusMaxAge = std::chrono::seconds(1);       ///< and when a shard is chosen
};

struct IntakeCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t notTaken = 0;
    std::uint64_t unknown = 0;
    std::uint64_t cancels = 0;
    std::uint64_t questions = 0;
};

class Intake
{
public:
    using Done = std::function<void(const IntakeReply &)>;

    Intake(RecordStore &store, Clock &clock, EventLog &log, const IntakeSettings &settings = {});

    /** No @p shard: the job waits until it is given one, see shardassigner.h. */
    void submit(const Queue &queue, std::optional<ShardId> shard, WorkflowSpec spec, TimePoint deadline, Done done);
    void cancel(const JobKey &key, TimePoint deadline, Done done);
    void queryState(const JobKey &key, Done done);
    void countPending(const std::string &queue, Done done);

    void tick(TimePoint now); ///< repeats writes whose fate is unknown

    const ShardStatuses &statuses() const; ///< as last read
    void refreshStatuses();                ///< where they are older than IntakeSettings::statusMaxAge

    const IntakeCounters &counters() const;

private:
    /** A write on its way for a caller. */
    struct Write
    {
        JobKey key;
        std::optional<ShardId> shard;
        bool isCancel = false;
        std::string value;
        std::uint64_t jobRevision = 0; ///< cancels: of the job's registration
        TimePoint deadline;
        TimePoint retryAt{};
        bool isSent = false;
        bool mayBeStored = false; ///< an earlier try had no answer
        Done done;
    };
    using WritePtr = std::shared_ptr<Write>;

    /** Of a job that has no shard yet. */
    struct CancelToRepeat
    {
        JobKey key;
        TimePoint deadline;
        TimePoint at;
        Done done;
    };

    void send(const WritePtr &write);
    void onSent(const WritePtr &write, const StoreReply &reply);
    void finish(const WritePtr &write, IntakeOutcome outcome);
    IntakeReply notTaken() const;
    void askJob(const JobKey &key, const Done &done);
    void findToCancel(const JobKey &key, TimePoint deadline, Done done);
    void onFoundToCancel(const JobKey &key, TimePoint deadline, const StoreReply &reply, const Done &done);
    void readStatuses(Done done);
    void takeStatuses(const StoreReply &reply);
    std::uint32_t pendingOf(const std::string &queue) const;

    RecordStore &m_store;
    Clock &m_clock;
    EventLog &m_log;
    IntakeSettings m_settings;
    std::vector<WritePtr> m_writes;
    std::vector<CancelToRepeat> m_cancelsToRepeat;
    ShardStatuses m_statuses;
    TimePoint m_statusesAt{}; ///< when they were read; zero: never
    bool m_isReadingStatuses = false;
    IntakeCounters m_counters;
};

} // namespace QuetzalRock::Workflow
