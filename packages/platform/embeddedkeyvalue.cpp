#include <platform/embeddedkeyvalue.h>

#include <algorithm>

namespace QuetzalRock {

EmbeddedKeyValue::EmbeddedKeyValue(Clock &clock)
    : m_clock(clock)
{
}

std::optional<KeyValue> EmbeddedKeyValue::get(std::string_view key)
{
    std::lock_guard guard(m_mutex);
    expireLeases();
    ++m_counters.reads;
    const Entry *entry = findExisting(key);
    if (!entry) {
        return std::nullopt;
    }
    m_counters.bytesRead += entry->value.size();
    return KeyValue{std::string(key), entry->value, entry->revision};
}

std::vector<KeyValue> EmbeddedKeyValue::list(std::string_view prefix)
{
    std::lock_guard guard(m_mutex);
    expireLeases();
    ++m_counters.reads;
    std::vector<KeyValue> found;
    for (auto it = m_entries.lower_bound(prefix); it != m_entries.end() && it->first.starts_with(prefix); ++it) {
        if (it->second.removed) {
            continue;
        }
        m_counters.bytesRead += it->second.value.size();
        found.push_back({it->first, it->second.value, it->second.revision});
    }
    return found;
}

CasResult
EmbeddedKeyValue::compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease)
{
    if (value.size() > MaxValueBytes) {
        throw InvalidArgument(std::string(key),
                              "value of " + std::to_string(value.size()) + " bytes exceeds the size limit");
    }
    std::lock_guard guard(m_mutex);
    expireLeases();
    ++m_counters.writes;
    const Entry *entry = findExisting(key);
    const Revision current = entry ? entry->revision : 0;
    if (current != expected || (lease != 0 && !m_leases.contains(lease))) {
        return {false, current};
    }
    m_counters.bytesWritten += value.size();
    m_entries.insert_or_assign(std::string(key), Entry{std::string(value), ++m_revision, lease, false});
    m_changed.notify_all();
    return {true, m_revision};
}

CasResult EmbeddedKeyValue::remove(std::string_view key, Revision expected)
{
    std::lock_guard guard(m_mutex);
    expireLeases();
    ++m_counters.writes;
    Entry *entry = findExisting(key);
    const Revision current = entry ? entry->revision : 0;
    if (!entry || current != expected) {
        return {false, current};
    }
    *entry = Entry{{}, ++m_revision, 0, true};
    m_changed.notify_all();
    return {true, 0};
}

LeaseId EmbeddedKeyValue::grantLease(Duration ttl)
{
    std::lock_guard guard(m_mutex);
    ++m_counters.writes;
    const LeaseId lease = ++m_lastLease;
    m_leases[lease] = {ttl, m_clock.now() + ttl};
    return lease;
}

bool EmbeddedKeyValue::renewLease(LeaseId lease)
{
    std::lock_guard guard(m_mutex);
    expireLeases();
    ++m_counters.writes;
    const auto it = m_leases.find(lease);
    if (it == m_leases.end()) {
        return false;
    }
    it->second.expiry = m_clock.now() + it->second.ttl;
    return true;
}

void EmbeddedKeyValue::revokeLease(LeaseId lease)
{
    std::lock_guard guard(m_mutex);
    ++m_counters.writes;
    m_leases.erase(lease);
    removeKeysOfLease(lease);
}

WatchResult EmbeddedKeyValue::watch(std::string_view prefix, Revision after, Duration timeout)
{
    std::unique_lock lock(m_mutex);
    ++m_counters.reads;
    const TimePoint deadline = m_clock.now() + timeout;
    for (;;) {
        expireLeases();
        WatchResult result = changesAfter(prefix, after);
        const bool changed = !result.changed.empty() || !result.removed.empty();
        if (changed || m_clock.now() >= deadline) {
            return result;
        }
        // A lease expires without a write that would notify m_changed, so wake up at the next expiry.
        TimePoint wake = deadline;
        for (const auto &[lease, state] : m_leases) {
            wake = std::min(wake, state.expiry);
        }
        m_clock.waitUntil(lock, m_changed, wake);
    }
}

KeyValueCounters EmbeddedKeyValue::counters() const
{
    std::lock_guard guard(m_mutex);
    return m_counters;
}

void EmbeddedKeyValue::expireLeases()
{
    const TimePoint now = m_clock.now();
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (it->second.expiry > now) {
            ++it;
            continue;
        }
        removeKeysOfLease(it->first);
        it = m_leases.erase(it);
    }
}

void EmbeddedKeyValue::removeKeysOfLease(LeaseId lease)
{
    for (auto &[key, entry] : m_entries) {
        if (entry.lease == lease && !entry.removed) {
            entry = Entry{{}, ++m_revision, 0, true};
        }
    }
    m_changed.notify_all();
}

EmbeddedKeyValue::Entry *EmbeddedKeyValue::findExisting(std::string_view key)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.removed) {
        return nullptr;
    }
    return &it->second;
}

WatchResult EmbeddedKeyValue::changesAfter(std::string_view prefix, Revision after)
{
    WatchResult result;
    result.revision = m_revision;
    for (auto it = m_entries.lower_bound(prefix); it != m_entries.end() && it->first.starts_with(prefix); ++it) {
        const Entry &entry = it->second;
        if (entry.revision <= after) {
            continue;
        }
        if (entry.removed) {
            result.removed.push_back(it->first);
            continue;
        }
        m_counters.bytesRead += entry.value.size();
        result.changed.push_back({it->first, entry.value, entry.revision});
    }
    return result;
}

} // namespace QuetzalRock
