/**
 * Reservations on the workers of one shard, and the capacity that is still free on each.
 *
 * Index of this file
 *   WorkerSlot     a worker, its capacity and its reservations
 *   Ledger         adds workers, reserves and releases capacity, finds workers with enough free capacity
 *
 * Capacity is reserved when a start is decided, before the start is durable, and freed by release() only. A worker
 * keeps its index as long as the ledger exists. A worker is open while it is live and not quarantined; nothing fits on
 * a worker that is not open.
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
    Resources reserved; ///< by unconfirmed starts, running tasks and unfinished stops
    Resources overuse;  ///< measured usage above the reservations; not available to new starts
    VmState state = VmState::Live;
    bool isQuarantined = false;
};

class Ledger
{
public:
    /** Adds or updates a worker; keeps its reservations. */
    WorkerIndex setWorker(const Vm &vm);
    WorkerIndex find(std::string_view id) const; ///< NoWorker if it is not known

    void setQuarantined(WorkerIndex worker, bool isQuarantined);
    void updateOveruse(WorkerIndex worker, const Resources &before, const Resources &after); ///< of one task

    /** True if @p need can be reserved on @p worker now. */
    bool fits(WorkerIndex worker, const Resources &need) const;

    void reserve(WorkerIndex worker, const Resources &need);  ///< asserts fits()
    void restore(WorkerIndex worker, const Resources &taken); ///< like reserve(), even if it does not fit
    void release(WorkerIndex worker, const Resources &taken);

    const WorkerSlot &worker(WorkerIndex index) const;
    std::uint32_t size() const;
    std::uint32_t rackCount() const;
    std::uint32_t openWorkers() const;                     ///< number of workers that may get starts
    const Resources &openCapacity() const;                 ///< sum over all open workers
    const Resources &openReserved() const;                 ///< sum over all open workers
    bool fitsSomeEmptyWorker(const Resources &need) const; ///< workers that are gone do not count

    /**
     * Calls @p visit(worker) for each worker where @p need fits until it returns false. Begins at @p from and wraps
     * around. Skips blocks of workers that have too little free capacity.
     */
    template<typename Visit>
    void forEachFitting(const Resources &need, WorkerIndex from, Visit visit) const;

private:
    static constexpr std::uint32_t BlockSize = 16;

    void refreshFreeCapacity(WorkerIndex worker);
    void addOpenTotals(const WorkerSlot &worker, int sign);
    std::uint32_t rackIndexOf(const std::string &rack);

    std::vector<WorkerSlot> m_workers;
    std::vector<Resources> m_freeCapacity;      ///< by WorkerIndex; negative for workers that are not open
    std::vector<Resources> m_blockFreeCapacity; ///< component-wise maximum over each block of BlockSize workers
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
        if (need.fitsIn(m_blockFreeCapacity[index / BlockSize])) {
            for (std::uint32_t it = index; it < index + left; ++it) {
                if (need.fitsIn(m_freeCapacity[it]) && !visit(it)) {
                    return;
                }
            }
        }
        seen += left;
        index = blockEnd == n ? 0 : blockEnd;
    }
}

} // namespace QuetzalRock
