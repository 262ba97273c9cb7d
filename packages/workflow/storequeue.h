/**
 * Which records go into the next write. Designed for this load: an outage or a crowd of small jobs leaves hundreds of records to
 * be stored, while trials and verdicts wait for theirs.
 *
 * What something waits for goes first. Part of each write is kept for the records of each lower class that have waited
 * longest, so that none is put off for good.
 *
 * Index of this file
 *   StoreClass    what waits for a record
 *   StoreRecord   a record that waits, or that is in a write
 *   StoreQueue    chooses the records of the next write
 *
 * Use
 *   queue.add(key, StoreClass::Progress, now);
 *   std::vector<StoreRecord> records = queue.take(limit);   // in a write from now on
 *   queue.release(key) or queue.giveBack(record)            // it is stored, or not
 *
 * No I/O; storing.cpp contains the scheduler's part.
 */
#pragma once

#include <base/clock.h>
#include <workflow/model.h>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace QuetzalRock::Workflow {

/** The most urgent first. */
enum class StoreClass : std::uint8_t {
    Trial = 0,    ///< trials that start once they are stored, the ends of trials, and verdicts: limited by TrialBudget
    Evidence = 1, ///< crashes, and starts on silent workers: a successor must know them
    Final = 2,    ///< jobs that have ended: callers and workers learn of it once it is stored
    Progress = 3,
};
constexpr std::size_t StoreClassCount = 4;

constexpr bool isAwaited(StoreClass storeClass)
{
    return storeClass <= StoreClass::Evidence;
}

std::string_view storeClassName(StoreClass storeClass); ///< e.g. "trial"

struct StoreRecord
{
    JobKey key;
    StoreClass storeClass = StoreClass::Progress;
    TimePoint since{}; ///< of its wait
};

/** What waits to be stored, of one class. */
struct StoreBacklog
{
    std::size_t records = 0;
    std::optional<TimePoint> since; ///< of the longest wait; none without records
};
using StoreBacklogs = std::array<StoreBacklog, StoreClassCount>; ///< by StoreClass

constexpr std::size_t PlacesPerLowerClass = 2; ///< of each write

class StoreQueue
{
public:
    /** The record has changed at @p now. If it waits already, its wait goes on, and its class rises if this one is higher. */
    void add(const JobKey &key, StoreClass storeClass, TimePoint now);

    /** At most @p limit records for a write, the most urgent first: none that is in another one, or reserved. */
    std::vector<StoreRecord> take(std::size_t limit);

    void release(const JobKey &key);          ///< its write is over
    void giveBack(const StoreRecord &record); ///< its write is over and has not stored it: its wait goes on

    /** No write takes the record until cancelReservation(); one may have it already, see isInWrite(). */
    void reserve(const JobKey &key);
    void cancelReservation(const JobKey &key);

    void forget(const JobKey &key); ///< the record need not be stored any more; its write or reservation remains

    bool isInWrite(const JobKey &key) const;
    bool isReserved(const JobKey &key) const;
    bool isAwaitedReady() const;    ///< a record that something waits for can be taken
    std::size_t readyCount() const; ///< records that can be taken
    std::size_t size() const;       ///< records that wait, not those in a write
    StoreBacklogs backlogs() const;

private:
    using Place = std::pair<TimePoint, std::uint64_t>; ///< start of the wait, then the order of arrival
    struct Waiting
    {
        StoreClass storeClass = StoreClass::Progress;
        Place place;
    };

    void setReady(const JobKey &key, const Waiting &waiting);
    void setNotReady(const Waiting &waiting);
    void unblock(const JobKey &key);
    bool isBlocked(const JobKey &key) const;

    std::map<JobKey, Waiting> m_waiting;
    std::array<std::map<Place, JobKey>, StoreClassCount> m_ready; ///< of m_waiting: those that are not blocked
    std::set<JobKey> m_inWrite;
    std::set<JobKey> m_reserved;
    std::uint64_t m_arrivals = 0;
};

} // namespace QuetzalRock::Workflow
