/**
 * The reservations of one shard's workers: what may still be promised on each.
 *
 * Index of this file
 *   WorkerSlot     a worker and what is reserved on it
 *   Ledger         add workers, reserve, release, search
 *
 * Room is taken by reserve() at the decision, before the start is durable, and freed by release() only. Workers keep
 * their index for ever; a worker that is not open (leaving, gone, quarantined) has room for nothing.
 */
#pragma once

#include <base/types.h>
#include <platform/platform.h>

#include <map>
#include <string_view>
#include <vector>

namespace QuetzalRock {

using WorkerIndex = std::uint32_t;
constexpr WorkerIndex NoWorker = ~0U;

struct WorkerSlot
{
    WorkerId id;
    std::string rack;
    std::uint32_t rackIndex = 0;
    Resources capacity;
    Resources reserved; ///< by starts that are in doubt, running tasks and stops that are not finished
    Resources overuse;  ///< measured beyond the reservations; new starts keep clear of it
    VmState state = VmState::Live;
    bool barred = false; ///< by quarantine
};

class Ledger
{
public:
    /** Adds or updates a worker; its reservations stay. */
    WorkerIndex setWorker(const Vm &vm);
    WorkerIndex find(std::string_view id) const; ///< NoWorker where there is none

    void setBarred(WorkerIndex worker, bool barred);
    void changeOveruse(WorkerIndex worker, const Resources &before, const Resources &after); ///< of one task

    /** True where @p need can be reserved on @p worker now. */
    bool fits(WorkerIndex worker, const Resources &need) const;

    void reserve(WorkerIndex worker, const Resources &need);  ///< asserts fits()
    void restore(WorkerIndex worker, const Resources &taken); ///< of a running attempt: true whether it fits or not
    void release(WorkerIndex worker, const Resources &taken);

    const WorkerSlot &worker(WorkerIndex index) const;
    std::uint32_t size() const;
    std::uint32_t rackCount() const;
    std::uint32_t openWorkers() const;          ///< that may get starts
    const Resources &openCapacity() const;      ///< of all open workers
    const Resources &openReserved() const;      ///< on all open workers
    bool everFits(const Resources &need) const; ///< on some empty worker that is not gone

    /**
     * Calls @p visit(worker) for each worker where @p need fits, beginning at @p from and going round, until it returns
     * false. Blocks of workers without room are passed over.
     */
    template<typename Visit>
    void forEachFitting(const Resources &need, WorkerIndex from, Visit visit) const;

private:
    static constexpr std::uint32_t BlockSize = 16;

    void refreshRoom(WorkerIndex worker);
    void addOpenTotals(const WorkerSlot &worker, int sign);
    std::uint32_t rackIndexOf(const std::string &rack);

    std::vector<WorkerSlot> m_workers;
    std::vector<Resources> m_room;      ///< one for each worker; nothing fits in a closed worker's
    std::vector<Resources> m_blockRoom; ///< component-wise upper bound over BlockSize workers
    std::map<WorkerId, WorkerIndex, std::less<>> m_byId;
    std::map<std::string, std::uint32_t, std::less<>> m_racks;
    Resources m_openCapacity;
    Resources m_openReserved;
    std::uint32_t m_openWorkers = 0;
};

template<typename Visit>
void Ledger::forEachFitting(const Resources &need, WorkerIndex from, Visit visit) const
{
    const std::uint32_t n = size();
    if (n == 0) {
        return;
    }
    std::uint32_t index = from % n;
    for (std::uint32_t seen = 0; seen < n;) {
        const std::uint32_t blockEnd = std::min(n, (index / BlockSize + 1) * BlockSize);
        const std::uint32_t left = std::min(blockEnd - index, n - seen);
        if (need.fitsIn(m_blockRoom[index / BlockSize])) {
            for (std::uint32_t it = index; it < index + left; ++it) {
                if (need.fitsIn(m_room[it]) && !visit(it)) {
                    return;
                }
            }
        }
        seen += left;
        index = blockEnd == n ? 0 : blockEnd;
    }
}

} // namespace QuetzalRock
