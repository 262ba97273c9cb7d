#include <workflow/shardassigner.h>

#include <base/errors.h>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration RetryDelay = 150ms; ///< after a failed store call

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
    , m_unassigned(store, clock, log, std::string(UnassignedPrefix), [this](const StoreItem &it) { onItem(it); })
{
}

bool ShardAssigner::hasWaitingJobs() const
{
    return !m_waiting.empty();
}

void ShardAssigner::tick(TimePoint now)
{
    m_unassigned.tick(now);
    for (auto &[key, it] : m_waiting) {
        if (!it.isInFlight && now >= it.retryAt) {
            it.isInFlight = true;
            readRegistration(key);
        }
    }
}

void ShardAssigner::onItem(const StoreItem &item)
{
    const JobKey key = item.key.substr(UnassignedPrefix.size());
    if (item.isDeleted) {
        m_waiting.erase(key);
        return;
    }
    try {
        if (decodeAccepted(item.value).spec.key != key) {
            throw InvalidArgument("job", "is stored under another key");
        }
        m_waiting[key].value = item.value;
    } catch (const Error &error) {
        m_log.write("job_unreadable", "key", item.key, "revision", item.revision, "error", error.what());
    }
}

void ShardAssigner::readRegistration(const JobKey &key)
{
    m_store.get(std::string(RegistrationPrefix) + key,
                [this, key, alive = std::weak_ptr(m_alive)](const StoreReply &reply) {
                    if (!alive.expired()) {
                        onRegistrationRead(key, reply);
                    }
                });
}

void ShardAssigner::onRegistrationRead(const JobKey &key, const StoreReply &reply)
{
    if (!m_waiting.contains(key)) {
        return;
    }
    if (reply.status != StoreStatus::Ok || reply.items.empty()) {
        scheduleRetry(key);
        return;
    }
    try {
        if (!decodeRegistration(reply.items.front().value).shard) {
            assign(key, reply.items.front().revision);
        } else {
            m_waiting.erase(key); // already assigned: the reply to that write was lost
        }
    } catch (const Error &error) {
        m_log.write("registration_unreadable", "job", key, "error", error.what());
        scheduleRetry(key);
    }
}

void ShardAssigner::assign(const JobKey &key, std::uint64_t registrationRevision)
{
    const std::string &value = m_waiting[key].value;
    const AcceptedJob job = decodeAccepted(value);
    const ShardId shard = chooseLongRunningShard(m_map, m_statuses, recentCpuMillis(), job.pool, job.spec);
    const std::string registration = std::string(RegistrationPrefix) + key;
    RecentAssignment recent{shard, {}, 0};
    addLongRunningCpu(recent.cpuMillis, job.spec);
    m_recent[key] = std::move(recent);
    StoreChange change;
    change.conditions = {{makeShardKeys(0).leader, m_term.keyRevision}, {registration, registrationRevision}};
    change.puts = {{registration, encodeRegistration({shard, {}}), 0}, {makeShardKeys(shard).jobs + key, value, 0}};
    change.removals = {std::string(UnassignedPrefix) + key};
    m_store.change(std::move(change), [this, key, shard, alive = std::weak_ptr(m_alive)](const StoreReply &reply) {
        if (!alive.expired()) {
            onAssigned(key, shard, reply);
        }
    });
}

void ShardAssigner::onAssigned(const JobKey &key, ShardId shard, const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok) {
        m_log.write("job_assigned", "job", key, "shard", shard);
        m_waiting.erase(key);
        m_recent[key].revision = reply.revision;
        return;
    }
    m_recent.erase(key); // if the write took effect nevertheless, the shard's status will include the job
    if (m_waiting.contains(key)) {
        scheduleRetry(key);
    }
}

void ShardAssigner::scheduleRetry(const JobKey &key)
{
    WaitingJob &it = m_waiting[key];
    it.isInFlight = false;
    it.retryAt = m_clock.now() + RetryDelay;
}

std::map<ShardId, CpuByImage> ShardAssigner::recentCpuMillis()
{
    std::erase_if(m_recent, [this](const auto &entry) {
        const auto status = m_statuses.find(entry.second.shard);
        return entry.second.revision != 0 && status != m_statuses.end()
               && status->second.inboxRevision >= entry.second.revision;
    });
    std::map<ShardId, CpuByImage> cpuMillis;
    for (const auto &[key, it] : m_recent) {
        for (const auto &[image, millis] : it.cpuMillis) {
            cpuMillis[it.shard][image] += millis;
        }
    }
    return cpuMillis;
}

} // namespace QuetzalRock::Workflow
