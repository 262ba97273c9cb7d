/**
 * When the next append may go, so that many records share a write and all logs of a process share a budget of writes.
 *
 * Index of this file
 *   WriteBudget    token bucket, one for a process
 *   GroupCommit    one for each log: gathers, then says when to append
 *
 * Use
 *   commit.add(record.size(), urgent);                   // for each record put aside
 *   if (commit.dueAt() <= clock.now() && commit.tryBegin()) // an unset dueAt() is never due: nothing waits
 *       log.append(records);
 *
 * How long a batch gathers
 *   With a full bucket MinGather (20 ms), with an empty one MaxGather (200 ms), in between in proportion. Load empties the
 *   bucket, so gathering follows the load without a threshold; idle writes nothing. Urgent records wait MinGather at any
 *   load and may draw on the reserve of the bucket, which others leave alone.
 */
#pragma once

#include <base/clock.h>

#include <mutex>
#include <optional>

namespace QuetzalRock {

struct WriteBudgetSettings
{
    double writesPerSecond = 10; ///< this process's share of what the service takes; > 0
    double burst = 10;           ///< writes that may go at once after a quiet time; >= 1
    double urgentReserve = 2;    ///< of the burst, kept for urgent batches; less than burst
};

/** Thread-safe: the logs of a process share one. Writes outside of logs (leases, settings) may be drawn from it too. */
class WriteBudget
{
public:
    /** Throws InvalidArgument where a setting is out of its range. */
    WriteBudget(const Clock &clock, const WriteBudgetSettings &settings);

    /** Takes one write if it is there; those that are not urgent leave the reserve. */
    bool tryTake(bool urgent);

    /** Draws @p writes that cannot wait, such as the chunks of a snapshot; later ones wait until they are made up for. */
    void forceTake(double writes);

    /** When tryTake() would succeed if nobody else took anything. Now, where it would already. */
    TimePoint availableAt(bool urgent) const;

    /** How full the bucket is above the reserve, 0 to 1. */
    double fill() const;

private:
    void refill() const;

    const Clock &m_clock;
    WriteBudgetSettings m_settings;
    mutable std::mutex m_mutex; ///< guards the two below
    mutable double m_tokens;
    mutable TimePoint m_refilledAt;
};

struct GroupCommitSettings
{
    Duration minGather = std::chrono::milliseconds(20);  ///< wait of a batch with budget to spare
    Duration maxGather = std::chrono::milliseconds(200); ///< wait of a batch with none; >= minGather
    std::size_t maxBatchBytes = 256 * 1024;              ///< of the log; a batch of half of it goes without gathering
};

/** One log's gathering. Driven by the thread that drives the log. */
class GroupCommit
{
public:
    /** Throws InvalidArgument where a setting is out of its range. @p budget must outlive this. */
    GroupCommit(const Clock &clock, WriteBudget &budget, const GroupCommitSettings &settings = {});

    /** Says that a record of @p bytes waits. */
    void add(std::size_t bytes, bool urgent);

    /** When begin() should be called; nothing where no record waits. May move in both directions as others draw. */
    std::optional<TimePoint> dueAt() const;

    /** True where the append may go now: a write has been drawn, and gathering begins anew. */
    bool tryBegin();

    /** The append failed and its records wait again: they have gathered long enough, and go when a write is there. */
    void giveBack(std::size_t bytes, bool urgent);

    /** Records stand no longer in line, such as after a loss of the log. */
    void clear();

private:
    Duration gatherTime() const;

    const Clock &m_clock;
    WriteBudget &m_budget;
    GroupCommitSettings m_settings;
    std::optional<TimePoint> m_oldest; ///< when the first waiting record came
    std::optional<TimePoint> m_oldestUrgent;
    std::size_t m_bytes = 0;
};

} // namespace QuetzalRock
