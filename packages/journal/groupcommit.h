/**
 * Group commit: decides when the next batch is appended, so that many records share one write and all logs of a process
 * stay within a common budget of writes.
 *
 * Index of this file
 *   WriteBudgetSettings   rate, burst and reserve
 *   WriteBudget           token bucket for writes, shared by all logs of a process
 *   GroupCommitSettings   how long a batch waits for more records
 *   GroupCommit           one for each log: decides when the waiting records are appended
 *
 * Use
 *   commit.add(record.size(), urgent); // for each waiting record
 *   if (commit.tryBegin())             // false while no batch is due; wait until dueAt()
 *       log.append(records);
 *
 * How long a batch gathers records
 *   minGather (20 ms) with a full bucket, maxGather (200 ms) with an empty one, interpolated linearly in between. Load
 *   drains the bucket, so the time adapts to the load without a threshold. Without records nothing is written. Urgent
 *   records wait for minGather only, at any load, and may use the bucket's reserve, which is kept for them.
 */
#pragma once

#include <base/clock.h>

#include <mutex>
#include <optional>

namespace QuetzalRock {

struct WriteBudgetSettings
{
    double writesPerSecond = 10; ///< this process's share of the service's write capacity; > 0
    double burst = 10;           ///< capacity of the bucket, the writes possible at once after an idle time; >= 1
    double urgentReserve = 2;    ///< part of the burst reserved for urgent batches; at most burst - 1
};

/** Thread-safe; the logs of a process share one. Other writes (leases, settings) may be taken from it too. */
class WriteBudget
{
public:
    /** Throws InvalidArgument if a setting is out of range. */
    WriteBudget(const Clock &clock, const WriteBudgetSettings &settings);

    /** Takes one write if available. Writes that are not urgent do not use the reserve. */
    bool tryTake(bool urgent);

    /** Takes @p writes that cannot wait, such as the chunks of a snapshot. The balance may become negative. */
    void forceTake(double writes);

    /** Earliest time at which tryTake() succeeds if nothing else is taken; now if it would succeed already. */
    TimePoint availableAt(bool urgent) const;

    /** Fill level of the part of the bucket above the reserve, 0 to 1. */
    double fillRatio() const;

private:
    void refill() const;

    const Clock &m_clock;
    WriteBudgetSettings m_settings;
    mutable std::mutex m_mutex; ///< guards the two members below
    mutable double m_tokens;
    mutable TimePoint m_refilledAt;
};

struct GroupCommitSettings
{
    Duration minGather = std::chrono::milliseconds(20);  ///< wait of a batch with a full budget
    Duration maxGather = std::chrono::milliseconds(200); ///< wait of a batch with an empty budget; >= minGather
    std::size_t maxBatchBytes = 256 * 1024;              ///< limit of the log; from half of it a batch does not wait
};

/** Schedules the batches of one log. Not thread-safe: use it from the thread that uses the log. */
class GroupCommit
{
public:
    /** Throws InvalidArgument if a setting is out of range. @p budget must outlive this object. */
    GroupCommit(const Clock &clock, WriteBudget &budget, const GroupCommitSettings &settings = {});

    /** Registers a waiting record of @p bytes. */
    void add(std::size_t bytes, bool urgent);

    /** When to call tryBegin(); unset if no record waits. Varies in both directions with the level of the budget. */
    std::optional<TimePoint> dueAt() const;

    /** True if the waiting records are due and a write could be taken: append them now. No record waits afterwards. */
    bool tryBegin();

    /** Registers the records of a failed append again. They are due as soon as the budget has a write. */
    void requeue(std::size_t bytes, bool urgent);

    /** Forgets the waiting records, such as after the loss of the log's ownership. */
    void clear();

private:
    Duration gatherTime() const;

    const Clock &m_clock;
    WriteBudget &m_budget;
    GroupCommitSettings m_settings;
    std::optional<TimePoint> m_oldest; ///< arrival of the oldest waiting record
    std::optional<TimePoint> m_oldestUrgent;
    std::size_t m_bytes = 0;
};

} // namespace QuetzalRock
