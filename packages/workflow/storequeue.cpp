#include <workflow/storequeue.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

namespace {

std::size_t indexOf(StoreClass storeClass)
{
    return static_cast<std::size_t>(storeClass);
}

} // namespace

std::string_view storeClassName(StoreClass storeClass)
{
    constexpr std::array<std::string_view, StoreClassCount> Names{"trial", "evidence", "final", "progress"};
    return Names[indexOf(storeClass)];
}

void StoreQueue::add(const JobKey &key, StoreClass storeClass, TimePoint now)
{
    const auto [it, isNew] = m_waiting.try_emplace(key, Waiting{storeClass, {now, m_arrivals}});
    Waiting &waiting = it->second;
    if (isNew) {
        ++m_arrivals;
    } else {
        setNotReady(waiting);
        waiting.storeClass = std::min(waiting.storeClass, storeClass);
        waiting.place.first = std::min(waiting.place.first, now);
    }
    setReady(key, waiting);
}

std::vector<StoreRecord> StoreQueue::take(std::size_t limit)
{
    std::vector<StoreRecord> records;
    for (std::size_t c = 0; c < StoreClassCount; ++c) {
        std::size_t kept = 0; // for lower classes
        for (std::size_t lower = c + 1; lower < StoreClassCount; ++lower) {
            kept += std::min(PlacesPerLowerClass, m_ready[lower].size());
        }
        while (!m_ready[c].empty() && (records.empty() ? limit > 0 : records.size() + kept < limit)) {
            const auto [place, key] = *m_ready[c].begin();
            m_ready[c].erase(m_ready[c].begin());
            m_waiting.erase(key);
            m_inWrite.insert(key);
            records.push_back({key, static_cast<StoreClass>(c), place.first});
        }
    }
    return records;
}

void StoreQueue::release(const JobKey &key)
{
    if (m_inWrite.erase(key) > 0) {
        unblock(key);
    }
}

void StoreQueue::giveBack(const StoreRecord &record)
{
    add(record.key, record.storeClass, record.since);
    release(record.key);
}

void StoreQueue::reserve(const JobKey &key)
{
    m_reserved.insert(key);
    if (const auto it = m_waiting.find(key); it != m_waiting.end()) {
        setNotReady(it->second);
    }
}

void StoreQueue::cancelReservation(const JobKey &key)
{
    if (m_reserved.erase(key) > 0) {
        unblock(key);
    }
}

void StoreQueue::forget(const JobKey &key)
{
    if (const auto it = m_waiting.find(key); it != m_waiting.end()) {
        setNotReady(it->second);
        m_waiting.erase(it);
    }
}

bool StoreQueue::isInWrite(const JobKey &key) const
{
    return m_inWrite.contains(key);
}

bool StoreQueue::isReserved(const JobKey &key) const
{
    return m_reserved.contains(key);
}

bool StoreQueue::isAwaitedReady() const
{
    return !m_ready[indexOf(StoreClass::Trial)].empty() || !m_ready[indexOf(StoreClass::Evidence)].empty();
}

std::size_t StoreQueue::readyCount() const
{
    std::size_t n = 0;
    for (const auto &it : m_ready) {
        n += it.size();
    }
    return n;
}

std::size_t StoreQueue::size() const
{
    return m_waiting.size();
}

StoreBacklogs StoreQueue::backlogs() const
{
    StoreBacklogs backlogs;
    for (const auto &[key, it] : m_waiting) {
        StoreBacklog &backlog = backlogs[indexOf(it.storeClass)];
        ++backlog.records;
        backlog.since = std::min(backlog.since.value_or(it.place.first), it.place.first);
    }
    return backlogs;
}

void StoreQueue::setReady(const JobKey &key, const Waiting &waiting)
{
    if (!isBlocked(key)) {
        m_ready[indexOf(waiting.storeClass)].emplace(waiting.place, key);
    }
}

void StoreQueue::setNotReady(const Waiting &waiting)
{
    m_ready[indexOf(waiting.storeClass)].erase(waiting.place);
}

void StoreQueue::unblock(const JobKey &key)
{
    if (const auto it = m_waiting.find(key); it != m_waiting.end()) {
        setReady(key, it->second);
    }
}

bool StoreQueue::isBlocked(const JobKey &key) const
{
    return m_inWrite.contains(key) || m_reserved.contains(key);
}

} // namespace QuetzalRock::Workflow
