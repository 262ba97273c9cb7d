#include <workflow/shardassigner.h>

#include <base/errors.h>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration RetryAfter = 150ms; ///< after a call to the store that failed

} // namespace

ShardAssigner::ShardAssigner(RecordStore &store,
                             Clock &clock,
                             EventLog &log,
                             const ShardMap &map,
                             const ShardStatuses &statuses,
                             const Leadership &term)
    : m_store(store)
    , m_clock(clock)
    , m_log(log)
    , m_map(map)
    , m_statuses(statuses)
    , m_term(term)
    , m_inbox(store, clock, log, std::string(SpreadPrefix), [this](const StoreItem &it) { onItem(it); })
{
}

bool ShardAssigner::isBusy() const
{
    return !m_waiting.empty();
}

void ShardAssigner::tick(TimePoint now)
{
    m_inbox.tick(now);
    for (auto &[key, it] : m_waiting) {
        if (!it.isTrying && now >= it.tryAt) {
            it.isTrying = true;
            find(key);
        }
    }
}

void ShardAssigner::onItem(const StoreItem &item)
{
    const JobKey key = item.key.substr(SpreadPrefix.size());
    if (item.isDeleted) {
        m_waiting.erase(key);
    } else {
        m_waiting[key].value = item.value;
    }
}

void ShardAssigner::find(const JobKey &key)
{
    m_store.get(std::string(RegistrationPrefix) + key,
                [this, key, alive = std::weak_ptr(m_alive)](const StoreReply &reply) {
                    if (!alive.expired()) {
                        onFound(key, reply);
                    }
                });
}

void ShardAssigner::onFound(const JobKey &key, const StoreReply &reply)
{
    if (!m_waiting.contains(key)) {
        return;
    }
    if (reply.status != StoreStatus::Ok || reply.items.empty()) {
        retryLater(key);
        return;
    }
    try {
        if (!decodeRegistration(reply.items.front().value)) {
            give(key, reply.items.front().revision);
        } else {
            m_waiting.erase(key); // has its shard; the answer to that write was lost
        }
    } catch (const Error &error) {
        m_log.write("registration_unreadable", "job", key, "error", error.what());
        retryLater(key);
    }
}

void ShardAssigner::give(const JobKey &key, std::uint64_t registrationRevision)
{
    const std::string &value = m_waiting[key].value;
    const AcceptedJob job = decodeAccepted(value);
    const ShardId shard = spreadShard(m_map, m_statuses, recentMillis(), job.pool, job.spec);
    const std::string registration = std::string(RegistrationPrefix) + key;
    m_recent[key] = {shard, longRunningCpuMillisOf(job.spec), 0};
    StoreChange change;
    change.conditions = {{makeShardKeys(0).leader, m_term.keyRevision}, {registration, registrationRevision}};
    change.puts = {{registration, encodeRegistration(shard), 0}, {makeShardKeys(shard).jobs + key, value, 0}};
    change.removals = {std::string(SpreadPrefix) + key};
    m_store.change(std::move(change), [this, key, shard, alive = std::weak_ptr(m_alive)](const StoreReply &reply) {
        if (!alive.expired()) {
            onGiven(key, shard, reply);
        }
    });
}

void ShardAssigner::onGiven(const JobKey &key, ShardId shard, const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok) {
        m_log.write("job_spread", "job", key, "shard", shard);
        m_waiting.erase(key);
        m_recent[key].revision = reply.revision;
        return;
    }
    m_recent.erase(key); // where it was given all the same, the shard's status tells
    if (m_waiting.contains(key)) {
        retryLater(key);
    }
}

void ShardAssigner::retryLater(const JobKey &key)
{
    Waiting &it = m_waiting[key];
    it.isTrying = false;
    it.tryAt = m_clock.now() + RetryAfter;
}

std::map<ShardId, std::int64_t> ShardAssigner::recentMillis()
{
    std::erase_if(m_recent, [this](const auto &entry) {
        const auto status = m_statuses.find(entry.second.shard);
        return entry.second.revision != 0 && status != m_statuses.end()
               && status->second.inboxRevision >= entry.second.revision;
    });
    std::map<ShardId, std::int64_t> millis;
    for (const auto &[key, it] : m_recent) {
        millis[it.shard] += it.millis;
    }
    return millis;
}

} // namespace QuetzalRock::Workflow
