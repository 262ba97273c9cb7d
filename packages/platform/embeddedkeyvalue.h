/** In-memory key-value service for tests, for quetzalrock-standin and for `[platform] kind = embedded`. */
#pragma once

#include <platform/platform.h>

#include <map>

namespace QuetzalRock {

/** Calls and bytes since construction, as a real service would charge them. */
struct KeyValueCounters
{
    std::uint64_t reads = 0;        ///< get, list and watch calls
    std::uint64_t writes = 0;       ///< compareAndSwap, remove and lease calls
    std::uint64_t bytesRead = 0;    ///< values only, without keys
    std::uint64_t bytesWritten = 0; ///< values only, without keys
};

class EmbeddedKeyValue final : public KeyValueService
{
public:
    explicit EmbeddedKeyValue(Clock &clock);

    std::optional<KeyValue> get(std::string_view key) override;
    std::vector<KeyValue> list(std::string_view prefix) override;
    CasResult compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease) override;
    CasResult remove(std::string_view key, Revision expected) override;
    LeaseId grantLease(Duration ttl) override;
    bool renewLease(LeaseId lease) override;
    void revokeLease(LeaseId lease) override;
    WatchResult watch(std::string_view prefix, Revision after, Duration timeout) override;

    KeyValueCounters counters() const;

private:
    struct Entry
    {
        std::string value;
        Revision revision = 0;
        LeaseId lease = 0;
        bool removed = false; ///< tombstone, so that watches can report the removal
    };
    struct Lease
    {
        Duration ttl{};
        TimePoint expiry;
    };
    using Entries = std::map<std::string, Entry, std::less<>>;

    void expireLeases();
    void removeKeysOfLease(LeaseId lease);
    Entry *findExisting(std::string_view key);
    WatchResult changesAfter(std::string_view prefix, Revision after);

    Clock &m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Entries m_entries;
    std::map<LeaseId, Lease> m_leases;
    Revision m_revision = 0;
    LeaseId m_lastLease = 0;
    KeyValueCounters m_counters;
};

} // namespace QuetzalRock
