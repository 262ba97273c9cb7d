/**
 * Stand-in of the platform's metadata store: items with revisions, conditional changes, watches and leases.
 *
 *   platform --port PORT
 *
 * Operators and minions write by POST /admin/put {"key", "value"} and POST /admin/remove {"key"}, outside the store's
 * own interface. POST /admin/lose {"prefix", "forMs"}: changes that put a key under the prefix are done and get no answer.
 */
#include "common.h"

#include <condition_variable>
#include <deque>
#include <iostream>
#include <mutex>
#include <vector>

namespace {

using namespace Review;

constexpr std::int64_t HistoryMs = 20'000;
constexpr std::size_t PageItems = 500;

struct Item
{
    std::string value; ///< base64
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
};

struct Event
{
    std::int64_t at = 0;
    std::string key;
    std::uint64_t revision = 0;
    json body;
};

struct Lease
{
    std::int64_t ttlMs = 0;
    std::int64_t endsAt = 0;
};

class Store
{
public:
    Answer handle(const Message &request)
    {
        const std::string path = request.target.substr(0, request.target.find('?'));
        const auto query = queryOf(request.target);
        std::unique_lock lock(m_mutex);
        expireLeases();
        if (path == "/kv-key") {
            return get(query.at("key"));
        }
        if (path == "/kv-range") {
            return range(query);
        }
        if (path == "/kv-watch") {
            return watch(lock, query);
        }
        const json body = parseBody(request.body);
        if (path == "/kv-txn") {
            return change(body);
        }
        if (path == "/kv-lease") {
            const std::int64_t ttl = std::clamp<std::int64_t>(body.value("ttlMs", 1000), 1000, 600'000);
            m_leases[++m_lastLease] = {ttl, steadyMs() + ttl};
            return {200, {{"lease", m_lastLease}, {"ttlMs", ttl}}};
        }
        if (path.starts_with("/kv-keep/")) {
            const auto found = m_leases.find(std::stoull(path.substr(9)));
            if (found == m_leases.end()) {
                return {404};
            }
            found->second.endsAt = steadyMs() + found->second.ttlMs;
            return {200, {{"ttlMs", found->second.ttlMs}}};
        }
        if (path.starts_with("/kv-lease-end/")) {
            endLease(std::stoull(path.substr(14)));
            return {200};
        }
        if (path == "/admin/put") {
            put(body.at("key"), toBase64(body.at("value").get<std::string>()), 0, ++m_revision);
            m_changed.notify_all();
            return {200, {{"revision", m_revision}}};
        }
        if (path == "/admin/remove") {
            remove(body.at("key"), ++m_revision);
            m_changed.notify_all();
            return {200};
        }
        if (path == "/admin/lose") {
            m_losePrefix = body.at("prefix");
            m_loseUntil = steadyMs() + body.at("forMs").get<std::int64_t>();
            return {200};
        }
        return {404};
    }

    void expireInBackground()
    {
        while (true) {
            sleepMs(10);
            const std::lock_guard lock(m_mutex);
            expireLeases();
        }
    }

private:
    json itemBody(const std::string &key, const Item &it) const
    {
        return {
            {"key", key}, {"value", it.value}, {"revision", it.revision}, {"created", it.created}, {"lease", it.lease}};
    }

    void record(const std::string &key, std::uint64_t revision, json body)
    {
        m_history.push_back({steadyMs(), key, revision, std::move(body)});
        while (!m_history.empty() && m_history.front().at + HistoryMs < steadyMs()) {
            m_compactedTo = m_history.front().revision;
            m_history.pop_front();
        }
    }

    void put(const std::string &key, const std::string &value, std::uint64_t lease, std::uint64_t revision)
    {
        Item &it = m_items[key];
        it.created = it.created == 0 ? revision : it.created;
        it.value = value;
        it.revision = revision;
        it.lease = lease;
        record(key, revision, itemBody(key, it));
    }

    void remove(const std::string &key, std::uint64_t revision)
    {
        if (m_items.erase(key) > 0) {
            record(key, revision, {{"key", key}, {"revision", revision}, {"deleted", true}});
        }
    }

    void endLease(std::uint64_t lease)
    {
        if (m_leases.erase(lease) == 0) {
            return;
        }
        std::vector<std::string> keys;
        for (const auto &[key, it] : m_items) {
            if (it.lease == lease) {
                keys.push_back(key);
            }
        }
        if (keys.empty()) {
            return;
        }
        ++m_revision;
        for (const std::string &it : keys) {
            remove(it, m_revision);
        }
        m_changed.notify_all();
    }

    void expireLeases()
    {
        const std::int64_t now = steadyMs();
        std::vector<std::uint64_t> ended;
        for (const auto &[lease, it] : m_leases) {
            if (now >= it.endsAt) {
                ended.push_back(lease);
            }
        }
        for (const std::uint64_t it : ended) {
            endLease(it);
        }
    }

    Answer get(const std::string &key) const
    {
        const auto found = m_items.find(key);
        if (found == m_items.end()) {
            return {404, {{"at", m_revision}}};
        }
        json body = itemBody(key, found->second);
        body["at"] = m_revision;
        return {200, body};
    }

    Answer range(const std::map<std::string, std::string> &query) const
    {
        const std::string prefix = query.contains("prefix") ? query.at("prefix") : "";
        const std::string after = query.contains("after") ? query.at("after") : "";
        json items = json::array();
        bool hasMore = false;
        for (const auto &[key, it] : m_items) {
            if (!key.starts_with(prefix) || key <= after) {
                continue;
            }
            if (items.size() == PageItems) {
                hasMore = true;
                break;
            }
            items.push_back(itemBody(key, it));
        }
        return {200, {{"items", std::move(items)}, {"hasMore", hasMore}, {"at", m_revision}}};
    }

    Answer watch(std::unique_lock<std::mutex> &lock, const std::map<std::string, std::string> &query)
    {
        const std::string prefix = query.at("prefix");
        const std::uint64_t after = std::stoull(query.at("after"));
        const std::int64_t waitMs = query.contains("waitMs") ? std::stoll(query.at("waitMs")) : 0;
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
        while (true) {
            if (after < m_compactedTo) {
                return {410};
            }
            json events = json::array();
            for (const Event &it : m_history) {
                if (it.revision > after && it.key.starts_with(prefix)) {
                    events.push_back(it.body);
                }
            }
            if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                return {200, {{"events", std::move(events)}, {"at", m_revision}}};
            }
        }
    }

    Answer change(const json &body)
    {
        bool holds = true;
        json items = json::array();
        for (const json &it : body.at("expected")) {
            const std::string key = it.at("key");
            const auto found = m_items.find(key);
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == it.at("revision").get<std::uint64_t>();
            if (found != m_items.end()) {
                items.push_back(itemBody(key, found->second));
            }
        }
        if (!holds) {
            return {412, {{"items", std::move(items)}}};
        }
        bool isLost = false;
        for (const json &it : body.at("puts")) {
            const std::string key = it.at("key");
            const std::uint64_t lease = it.value("lease", std::uint64_t{0});
            if (key.starts_with("op/") || key.starts_with("servers/")) {
                return {403};
            }
            if (lease != 0 && !m_leases.contains(lease)) {
                return {404};
            }
            isLost = isLost || (steadyMs() < m_loseUntil && key.starts_with(m_losePrefix));
        }
        ++m_revision;
        for (const json &it : body.at("puts")) {
            put(it.at("key"), it.at("value"), it.value("lease", std::uint64_t{0}), m_revision);
        }
        for (const json &it : body.at("remove")) {
            remove(it, m_revision);
        }
        m_changed.notify_all();
        return isLost ? Answer{0} : Answer{200, {{"revision", m_revision}}};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<Event> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compactedTo = 0;
    std::uint64_t m_lastLease = 0;
    std::string m_losePrefix;
    std::int64_t m_loseUntil = 0;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Store store;
    std::thread([&store] { store.expireInBackground(); }).detach();
    try {
        serve(std::stoi(argument(argc, argv, "port")), [&store](const Message &it) {
            try {
                return store.handle(it);
            } catch (const std::exception &error) {
                std::cerr << "platform: " << it.target << ": " << error.what() << std::endl;
                return Answer{400, {{"error", error.what()}}};
            }
        });
    } catch (const std::exception &error) {
        std::cerr << "platform: " << error.what() << std::endl;
        return 1;
    }
}
