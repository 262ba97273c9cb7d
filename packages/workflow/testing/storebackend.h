/**
 * In-memory implementation of the platform's store: items, revisions, leases, history. Only for tests and stand-ins.
 *
 * Use
 *   StoreBackend backend(clock);
 *   backend.change(change);          // atomic, under the change's conditions
 *   backend.expireLeases();          // periodically; deletes the items of expired leases
 */
#pragma once

#include <workflow/ports.h>

#include <map>
#include <string>
#include <vector>

namespace QuetzalRock::Workflow {

struct StoreBackend
{
    explicit StoreBackend(Clock &theClock)
        : clock(theClock)
    {
    }

    Clock &clock;
    std::uint64_t revision = 1;
    std::map<std::string, StoreItem> items;
    std::vector<StoreItem> history;
    std::uint64_t historyFrom = 0; ///< changes up to this revision are no longer in history
    std::map<std::uint64_t, std::pair<TimePoint, Duration>> leases; ///< expiry time and lifetime by lease
    std::uint64_t lastLease = 100;

    void write(const std::string &key, const std::string &value, std::uint64_t lease = 0)
    {
        ++revision;
        put(key, value, lease);
    }

    void put(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        StoreItem &it = items[key];
        it.created = it.created == 0 ? revision : it.created;
        it.key = key;
        it.value = value;
        it.revision = revision;
        it.lease = lease;
        history.push_back(it);
    }

    void remove(const std::string &key)
    {
        if (items.erase(key) > 0) {
            StoreItem it;
            it.key = key;
            it.revision = revision;
            it.isDeleted = true;
            history.push_back(it);
        }
    }

    void revokeLease(std::uint64_t lease)
    {
        ++revision;
        std::vector<std::string> keys;
        for (const auto &[key, item] : items) {
            if (item.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            remove(key);
        }
        leases.erase(lease);
    }

    void expireLeases()
    {
        std::vector<std::uint64_t> expired;
        for (const auto &[lease, it] : leases) {
            if (clock.now() >= it.first) {
                expired.push_back(lease);
            }
        }
        for (const std::uint64_t lease : expired) {
            revokeLease(lease);
        }
    }

    /** Compacts the history: watches from an earlier revision then fail. */
    void dropHistory()
    {
        history.clear();
        historyFrom = revision;
    }

    StoreReply change(const StoreChange &change)
    {
        StoreReply reply;
        reply.status = StoreStatus::Ok;
        for (const StoreCondition &it : change.conditions) {
            const auto found = items.find(it.key);
            const std::uint64_t actual = found == items.end() ? 0 : found->second.revision;
            if (actual != it.revision) {
                reply.status = StoreStatus::Conflict;
            }
            if (found != items.end()) {
                reply.items.push_back(found->second);
            }
        }
        for (const StorePut &it : change.puts) {
            if (it.lease != 0 && !leases.contains(it.lease)) {
                reply.status = reply.status == StoreStatus::Ok ? StoreStatus::NotFound : reply.status;
            }
        }
        if (reply.status != StoreStatus::Ok) {
            return reply;
        }
        reply.items.clear();
        reply.revision = ++revision;
        for (const StorePut &it : change.puts) {
            put(it.key, it.value, it.lease);
        }
        for (const std::string &it : change.removals) {
            remove(it);
        }
        return reply;
    }
};

} // namespace QuetzalRock::Workflow
