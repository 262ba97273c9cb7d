/** Lists of withheld leases, and the part of WorkflowScheduler that keeps them. */
#include <workflow/withheldleases.h>

#include <base/errors.h>
#include <workflow/records.h>
#include <workflow/scheduler.h>

#include <utility>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr Duration WithholdDelay = 300ms; ///< after the first renewal without a reply: most silences are shorter
constexpr Duration WriteInterval = 100ms; ///< least time between two writes of the list
constexpr unsigned NumberBits = 16;       ///< low bits of WithheldLease::number: count; above them: epoch

} // namespace

void WithheldLeases::update(const std::vector<WithheldLease> &leases, TimePoint now)
{
    std::map<WorkerId, Entry> entries;
    for (const WithheldLease &it : leases) {
        entries[it.worker] = {it.number, learnedAt(it).value_or(now)};
    }
    m_entries = std::move(entries);
}

std::optional<TimePoint> WithheldLeases::learnedAt(const WithheldLease &lease) const
{
    const auto found = m_entries.find(lease.worker);
    const bool isKnown = found != m_entries.end() && found->second.number == lease.number;
    return isKnown ? std::optional(found->second.learnedAt) : std::nullopt;
}

std::string encodeWithheldLeases(const std::vector<WithheldLease> &leases)
{
    json list = json::array();
    for (const WithheldLease &it : leases) {
        list.push_back(json::array({it.worker, it.number, it.startedAtMs}));
    }
    return packRecord(json::array({StoredVersion, std::move(list)}));
}

std::vector<WithheldLease> decodeWithheldLeases(std::string_view bytes)
{
    const json value = unpackRecord(bytes);
    try {
        std::vector<WithheldLease> leases;
        for (const json &it : value.at(1)) {
            const std::int64_t startedAtMs = it.size() > 2 ? it.at(2).get<std::int64_t>() : 0; // 0: of an older version
            leases.push_back({it.at(0).get<std::string>(), it.at(1).get<std::uint64_t>(), startedAtMs});
        }
        return leases;
    } catch (const json::exception &error) {
        throw InvalidArgument("withheld leases", error.what());
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// WorkflowScheduler
// ---------------------------------------------------------------------------------------------------------------------

void WorkflowScheduler::setWithheldLeases(const WithheldLeases &leases)
{
    m_withheldLeases = &leases;
}

/** Reads the list before the first order to any worker, as it binds this leader. */
void WorkflowScheduler::loadWithheldLeases()
{
    m_store.get(m_keys.withheld, ifAlive([this](const StoreReply &reply) { onWithheldLeasesLoaded(reply); }));
}

void WorkflowScheduler::onWithheldLeasesLoaded(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        retryLoad(m_keys.withheld);
        return;
    }
    for (const StoreItem &it : reply.items) {
        m_withheldRevision = it.revision;
        try {
            for (const WithheldLease &lease : decodeWithheldLeases(it.value)) {
                WorkerState &worker = findOrAddWorker(lease.worker);
                worker.withheldNumber = lease.number;
                worker.withheldStartedAtMs = lease.startedAtMs;
                const auto learnedAt = m_withheldLeases == nullptr ? std::nullopt : m_withheldLeases->learnedAt(lease);
                worker.withheldSince = learnedAt.value_or(m_clock.now());
            }
        } catch (const Error &error) {
            m_log.write("withheld_leases_unreadable", "key", it.key, "revision", it.revision, "error", error.what());
        }
    }
    m_loadStage = LoadStage::Progress;
    loadPressure();
    loadProgress({});
}

/**
 * Lists silent workers, and takes those off the list that reply again. Only when it can be written at once: an entry that is
 * made while the store is away would bind this leader and tell nobody.
 */
void WorkflowScheduler::updateWithheldLeases(TimePoint now)
{
    if (m_authority != Authority::Full || m_isStoringWithheld || now < m_nextWithheldAt) {
        return;
    }
    // A former leader that may still send orders is not bound by this leader's list, unless every worker rejects it.
    const bool areOthersBound = m_formerLeaders.empty() || isTakeoverComplete();
    bool isOutdated = m_isWithheldDirty;
    for (const auto &it : m_workers) {
        const bool isSilent = it->unansweredRenewals > 0 && now >= it->contactLostAt + WithholdDelay;
        const bool isNew = it->withheldNumber == 0 && isSilent && m_storedWorkers.contains(it->record.id);
        const bool isOfFormer = it->withheldNumber != 0 && !it->hasReplied() && !isWithheldLeaseCurrent(*it);
        if ((isNew || isOfFormer) && areOthersBound) {
            it->withheldNumber = (m_term.epoch << NumberBits) + ++m_withheldCount;
            it->withheldStartedAtMs = it->incarnation();
            it->withheldSince = it->withheldSince == TimePoint{} ? TimePoint{} : now;
            isOutdated = true;
        }
        isOutdated = isOutdated || (it->withheldNumber != 0 && it->hasReplied());
    }
    if (isOutdated) {
        storeWithheldLeases(now);
    }
}

/** Whether the worker can have got no lease since its entry was made. */
bool WorkflowScheduler::isWithheldLeaseCurrent(const WorkerState &worker)
{
    return worker.isSettled() || worker.withheldStartedAtMs == worker.incarnation();
}

void WorkflowScheduler::storeWithheldLeases(TimePoint now)
{
    std::vector<WithheldLease> listed;
    std::vector<WorkerIndex> released;
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState &it = *m_workers[i];
        const bool isGone = it.isLeaving() && !it.mustBeRead(); // gets no orders until it registers again
        if (it.withheldNumber != 0 && (it.hasReplied() || isGone)) {
            released.push_back(i);
        } else if (it.withheldNumber != 0) {
            listed.push_back({it.record.id, it.withheldNumber, it.withheldStartedAtMs});
        }
    }
    StoreChange change;
    change.conditions = {{m_keys.leader, m_term.keyRevision}, {m_keys.withheld, m_withheldRevision}};
    change.puts = {{m_keys.withheld, encodeWithheldLeases(listed), 0}};
    m_isStoringWithheld = true;
    m_isWithheldDirty = false;
    m_nextWithheldAt = now + WriteInterval;
    m_log.write("leases_withheld", "shard", m_shard, "workers", listed.size(), "released", released.size());
    m_store.change(std::move(change), ifAlive([this, released = std::move(released)](const StoreReply &reply) {
                       onWithheldLeasesStored(reply, released);
                   }));
}

void WorkflowScheduler::onWithheldLeasesStored(const StoreReply &reply, std::span<const WorkerIndex> released)
{
    m_isStoringWithheld = false;
    if (reply.status == StoreStatus::Ok) {
        m_withheldRevision = reply.revision;
        for (const WorkerIndex i : released) {
            m_workers[i]->withheldNumber = 0;
            m_workers[i]->withheldSince = {};
            m_workers[i]->nextRenewAt = {}; // extend its lease at once
            m_isPlacementDue = true;
        }
        return;
    }
    m_isWithheldDirty = true;
    m_nextWithheldAt = m_clock.now() + m_settings.storeRetryDelay;
    for (const StoreItem &it : reply.items) {
        if (it.key == m_keys.withheld) {
            m_withheldRevision = it.revision;
        } else if (it.key == m_keys.leader && it.revision != m_term.keyRevision) {
            m_isDeposed = true;
        }
    }
}

} // namespace QuetzalRock::Workflow
