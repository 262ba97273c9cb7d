#include <placement/ledger.h>

#include <algorithm>
#include <cassert>

namespace QuetzalRock {

namespace {

constexpr Resources NoCapacity{-1, -1, -1};

Resources maxOf(const Resources &a, const Resources &b)
{
    return {std::max(a.cpuMillis, b.cpuMillis),
            std::max(a.memoryMib, b.memoryMib),
            std::max(a.accelerators, b.accelerators)};
}

bool isOpen(const WorkerSlot &worker)
{
    return worker.state == VmState::Live && !worker.isQuarantined;
}

} // namespace

WorkerIndex Ledger::setWorker(const Vm &vm)
{
    const auto [it, added] = m_byId.try_emplace(vm.name, size());
    const WorkerIndex index = it->second;
    if (added) {
        m_workers.emplace_back().id = vm.name;
        m_freeCapacity.push_back(NoCapacity);
        m_blockFreeCapacity.resize((m_workers.size() + BlockSize - 1) / BlockSize, NoCapacity);
    } else {
        addOpenTotals(m_workers[index], -1);
    }
    WorkerSlot &slot = m_workers[index];
    slot.rack = vm.rack;
    slot.rackIndex = rackIndexOf(vm.rack);
    slot.capacity = vm.capacity;
    slot.state = vm.state;
    addOpenTotals(slot, 1);
    refreshFreeCapacity(index);
    return index;
}

WorkerIndex Ledger::find(std::string_view id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? NoWorker : it->second;
}

void Ledger::setQuarantined(WorkerIndex worker, bool isQuarantined)
{
    WorkerSlot &slot = m_workers[worker];
    addOpenTotals(slot, -1);
    slot.isQuarantined = isQuarantined;
    addOpenTotals(slot, 1);
    refreshFreeCapacity(worker);
}

void Ledger::updateOveruse(WorkerIndex worker, const Resources &before, const Resources &after)
{
    if (before == after) {
        return;
    }
    m_workers[worker].overuse -= before;
    m_workers[worker].overuse += after;
    refreshFreeCapacity(worker);
}

bool Ledger::fits(WorkerIndex worker, const Resources &need) const
{
    return need.fitsIn(m_freeCapacity[worker]);
}

void Ledger::reserve(WorkerIndex worker, const Resources &need)
{
    assert(fits(worker, need));
    restore(worker, need);
}

void Ledger::restore(WorkerIndex worker, const Resources &taken)
{
    WorkerSlot &slot = m_workers[worker];
    slot.reserved += taken;
    if (isOpen(slot)) {
        m_openReserved += taken;
    }
    refreshFreeCapacity(worker);
}

void Ledger::release(WorkerIndex worker, const Resources &taken)
{
    WorkerSlot &slot = m_workers[worker];
    assert(taken.fitsIn(slot.reserved));
    slot.reserved -= taken;
    if (isOpen(slot)) {
        m_openReserved -= taken;
    }
    refreshFreeCapacity(worker);
}

const WorkerSlot &Ledger::worker(WorkerIndex index) const
{
    assert(index < m_workers.size());
    return m_workers[index];
}

std::uint32_t Ledger::size() const
{
    return static_cast<std::uint32_t>(m_workers.size());
}

std::uint32_t Ledger::rackCount() const
{
    return static_cast<std::uint32_t>(m_racks.size());
}

std::uint32_t Ledger::openWorkers() const
{
    return m_openWorkers;
}

const Resources &Ledger::openCapacity() const
{
    return m_openCapacity;
}

const Resources &Ledger::openReserved() const
{
    return m_openReserved;
}

bool Ledger::fitsSomeEmptyWorker(const Resources &need) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&need](const WorkerSlot &it) {
        return it.state != VmState::Gone && need.fitsIn(it.capacity);
    });
}

void Ledger::refreshFreeCapacity(WorkerIndex worker)
{
    const WorkerSlot &slot = m_workers[worker];
    const Resources before = m_freeCapacity[worker];
    m_freeCapacity[worker] = isOpen(slot) ? slot.capacity - slot.reserved - slot.overuse : NoCapacity;
    Resources &block = m_blockFreeCapacity[worker / BlockSize];
    if (before.fitsIn(m_freeCapacity[worker])) {
        block = maxOf(block, m_freeCapacity[worker]);
        return;
    }
    const std::size_t begin = worker / BlockSize * BlockSize;
    const std::size_t end = std::min<std::size_t>(begin + BlockSize, m_freeCapacity.size());
    block = NoCapacity;
    for (std::size_t it = begin; it < end; ++it) {
        block = maxOf(block, m_freeCapacity[it]);
    }
}

void Ledger::addOpenTotals(const WorkerSlot &worker, int sign)
{
    if (!isOpen(worker)) {
        return;
    }
    if (sign > 0) {
        m_openCapacity += worker.capacity;
        m_openReserved += worker.reserved;
        ++m_openWorkers;
        return;
    }
    m_openCapacity -= worker.capacity;
    m_openReserved -= worker.reserved;
    --m_openWorkers;
}

std::uint32_t Ledger::rackIndexOf(const std::string &rack)
{
    return m_racks.try_emplace(rack, rackCount()).first->second;
}

} // namespace QuetzalRock
