#include <workflow/node.h>

#include <base/errors.h>

#include <algorithm>
#include <functional>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration LeaderIdleTime = 10ms;    ///< a fraction of the time for which orders and writes are batched
constexpr Duration FollowerIdleTime = 100ms; ///< sufficient for renewals and retries

// Campaign delays, which decide which node leads which shard. Each one exceeds the duration of a campaign, about 30 ms,
// so that the better suited node campaigns first and wins.
constexpr double SufficientCores = 0.5;      ///< can lead two shards under full load; no delay from here on
constexpr Duration MaxLowCpuDelay = 500ms;   ///< at 0 cores; falls linearly to 0 at SufficientCores
constexpr Duration MaxLedShardsDelay = 1s;   ///< lets a single live node lead all shards soon
constexpr Duration OtherDomainDelay = 100ms; ///< if the shard's workers are in another failure domain
constexpr Duration MaxTieBreakDelay = 100ms; ///< by a hash of node and shard: orders nodes that suit equally well
constexpr Duration HandoverTime = 1s;        ///< for which a node that has handed over a shard leaves it to others

// All workers renew their registry entries every second or two, so changes are batched. Drains must be known
// within two seconds.
constexpr Duration RegistryBatchDelay = 250ms;

constexpr Duration CatalogReadInterval = 250ms; ///< between reads of the catalog while requests wait for one

constexpr Duration EvacuationReadInterval = 250ms; ///< between reads of the requests while they are not confirmed

constexpr Duration BootIdRetryInterval = 300ms; ///< also the time allowed for a reply

constexpr Duration ShardMapWait = 1s; ///< for which campaigns wait for the first reading of the map

constexpr Duration MapUpdateInterval = 2s; ///< between two checks of the map, hence between two writes of it
constexpr double WeightTolerance = 0.2;    ///< relative error of a shard's weight above which the map is written again

/** True if @p a and @p b differ enough to change where jobs go. */
bool differSignificantly(const ShardMap &a, const ShardMap &b)
{
    if (a.shardOfRack != b.shardOfRack || a.shards.size() != b.shards.size()) {
        return true;
    }
    for (std::size_t i = 0; i < a.shards.size(); ++i) {
        for (const auto &[pool, millis] : b.shards[i].poolCpuMillis) {
            const auto found = a.shards[i].poolCpuMillis.find(pool);
            const auto before = static_cast<double>(found == a.shards[i].poolCpuMillis.end() ? 0 : found->second);
            if (std::abs(before - static_cast<double>(millis)) > WeightTolerance * static_cast<double>(millis)) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

Node::Node(const NodeSettings &settings,
           RecordStore &store,
           WorkerPort &workers,
           const RecordDecoder &decoder,
           Clock &clock,
           EventLog &log)
    : m_settings(settings)
    , m_store(store)
    , m_workers(workers)
    , m_decoder(decoder)
    , m_clock(clock)
    , m_log(log)
    , m_evacuations(settings.evacuation, settings.evacuation.orderValidity(settings.scheduler.orderValidity))
    , m_peers(clock, log, settings.name, settings.failureDomain, settings.peers)
    , m_listing(store,
                clock,
                log,
                settings.name,
                {settings.peers.address, settings.failureDomain, settings.bootId},
                settings.peers)
    , m_operatorItems(
          store, clock, log, std::string(decoder.operatorPrefix()), [this](const StoreItem &it) { onOperatorItem(it); })
    , m_clusterState(
          store, clock, log, std::string(ClusterStatePrefix), [this](const StoreItem &it) { onClusterStateItem(it); })
    , m_intake(store, clock, log, settings.intake)
    , m_admission(settings.scheduler.scarcity, clock, log)
    , m_leaderBoard(settings.name, settings.handover)
    , m_requestPause(settings.handover.minRequestPause)
    , m_random(static_cast<std::minstd_rand::result_type>(
          std::hash<std::string>()(settings.name + settings.bootId) % 2147483646 + 1))
{
    m_settings.scheduler.orderValidity = settings.evacuation.orderValidity(settings.scheduler.orderValidity);
    createLocalShards();
}

const Catalog &Node::catalog() const
{
    return m_catalog;
}

TimePoint Node::catalogConfirmedAt() const
{
    return std::max(m_operatorItems.confirmedAt(), m_catalogReadAt);
}

PeerDirectory &Node::peers()
{
    return m_peers;
}

const PeerDirectory &Node::peers() const
{
    return m_peers;
}

Intake &Node::intake()
{
    return m_intake;
}

const AdmissionControl &Node::admission() const
{
    return m_admission;
}

const IntakeCounters &Node::intakeCounters() const
{
    return m_intake.counters();
}

void Node::submit(const Queue &queue, WorkflowSpec spec, TimePoint deadline, Intake::Done done)
{
    std::optional<ShardId> shard = 0; // while there is only one
    if (m_map.shards.size() > 1) {
        m_intake.refreshStatuses();
        const bool needsAssigner = hasLongRunningStep(spec);
        shard = needsAssigner ? std::nullopt
                              : std::optional(chooseShard(m_availableMap, m_intake.statuses(), queue.pool, spec));
    }
    if (!shard || !m_admission.isEnabled()) {
        m_intake.submit(queue, shard, std::move(spec), deadline, std::move(done));
        return;
    }
    m_intake.refreshStatuses();
    const Admission admission = m_admission.decide(m_availableMap, m_intake.statuses(), queue, spec, *shard);
    const JobKey key = spec.key;
    const auto submitTo = [this, queue, shard = admission.shard, spec = std::move(spec), deadline, done] {
        m_intake.submit(queue, shard, spec, deadline, done);
    };
    if (admission.isAdmitted) {
        submitTo();
        return;
    }
    m_intake.rejectUnlessStored(
        key, admission.retryAfter, submitTo, [this, name = queue.name, key, admission, done](const IntakeReply &reply) {
            m_admission.addRejection(name, key, admission);
            done(reply);
        });
}

void Node::setObserver(WorkflowObserver *observer)
{
    m_observer = observer;
}

Authority Node::authority(ShardId shard, TimePoint now) const
{
    return shard < m_localShards.size() ? m_localShards[shard]->election.authority(now) : Authority::None;
}

std::vector<const WorkflowScheduler *> Node::schedulers() const
{
    std::vector<const WorkflowScheduler *> list;
    for (const auto &it : m_localShards) {
        if (it->scheduler) {
            list.push_back(it->scheduler.get());
        }
    }
    return list;
}

bool Node::isLeading() const
{
    return std::any_of(
        m_localShards.begin(), m_localShards.end(), [](const auto &it) { return it->scheduler != nullptr; });
}

Duration Node::idleTime() const
{
    Duration idle = isLeading() ? LeaderIdleTime : FollowerIdleTime;
    for (const auto &it : m_localShards) {
        idle = std::min(idle, std::max<Duration>(1ms, it->election.nextActionAt() - m_clock.now()));
    }
    return idle;
}

bool Node::isReady(TimePoint now) const
{
    return !m_isDraining && m_catalog.version > 0 && now < m_operatorItems.lastReplyAt() + m_settings.maxStoreSilence;
}

void Node::beginDrain()
{
    m_isDraining = true;
    m_listing.end();
    for (const auto &it : m_localShards) {
        it->election.resign();
    }
}

void Node::tick(TimePoint now)
{
    runGuarded("mirrors", [this, now] {
        m_operatorItems.tick(now);
        m_clusterState.tick(now);
        if (m_settings.peers.isEnabled && (m_catalog.version > 0 || m_isDraining)) {
            m_listing.tick(now);
        }
        tickEvacuations(now);
        endCatalogWaits(now);
    });
    if (!m_hasStoredBootId && now >= m_storeBootIdAt) {
        storeBootId(now);
    }
    for (std::size_t i = 0; i < m_localShards.size(); ++i) { // by index: the vector may grow meanwhile
        runGuarded("shard", [this, i, now] { tickShard(*m_localShards[i], now); });
    }
    runGuarded("handovers", [this, now] { tickHandovers(now); });
    runGuarded("registry", [this, now] { tickRegistry(now); });
    runGuarded("shard_map", [this, now] { updateShardMap(now); });
    runGuarded("shard_assigner", [this, now] { tickShardAssigner(now); });
    runGuarded("intake", [this, now] { m_intake.tick(now); });
}

/** An unexpected error in one part must not keep the others from their work. */
template<typename Part>
void Node::runGuarded(std::string_view name, Part part)
{
    try {
        part();
    } catch (const std::exception &error) {
        m_log.write("unexpected_error", "in", name, "error", error.what());
    }
}

/**
 * Stores this node's boot ID, which shows other leaders that no earlier process of this node leads any more. Before that
 * is certain this process does not campaign: its own boot ID would be mistaken for an outdated one. The condition keeps
 * a late write of an earlier process from replacing it.
 */
void Node::storeBootId(TimePoint now)
{
    m_storeBootIdAt = now + BootIdRetryInterval;
    m_store.get(std::string(BootPrefix) + m_settings.name,
                [this, alive = std::weak_ptr(m_alive)](const StoreReply &reply) {
                    if (!alive.expired()) {
                        onBootIdRead(reply);
                    }
                });
}

void Node::onBootIdRead(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        return; // repeated
    }
    const bool exists = reply.status == StoreStatus::Ok && !reply.items.empty();
    if (exists && reply.items.front().value == m_settings.bootId) {
        onBootIdStored();
        return;
    }
    StoreChange change;
    const std::string key = std::string(BootPrefix) + m_settings.name;
    change.conditions = {{key, exists ? reply.items.front().revision : 0}};
    change.puts = {{key, m_settings.bootId, 0}};
    m_store.change(std::move(change), [this, alive = std::weak_ptr(m_alive)](const StoreReply &it) {
        if (!alive.expired() && it.status == StoreStatus::Ok) {
            onBootIdStored();
        }
    });
}

void Node::onBootIdStored()
{
    m_bootIdStoredAt = m_hasStoredBootId ? m_bootIdStoredAt : m_clock.now();
    m_hasStoredBootId = true;
}

// ---------------------------------------------------------------------------------------------------------------------
// Shards
// ---------------------------------------------------------------------------------------------------------------------

/** Adds an entry for each new shard of the map. The first shard exists from the start, without a map. */
void Node::createLocalShards()
{
    while (m_localShards.size() < std::max<std::size_t>(1, m_map.shards.size())) {
        const auto shard = static_cast<ShardId>(m_localShards.size());
        m_localShards.push_back(std::make_unique<LocalShard>(LocalShard{
            shard,
            Election(m_store, m_clock, m_log, shard, m_settings.name, m_settings.bootId, m_settings.election),
            nullptr}));
        if (m_isDraining) {
            m_localShards.back()->election.resign();
        }
    }
}

/** Before the shard map has been read, this node cannot tell by how much better suited nodes go first. */
bool Node::mayCampaign(TimePoint now) const
{
    return m_catalog.version > 0 && m_hasStoredBootId
           && (m_clusterState.isLoaded() || now >= m_bootIdStoredAt + ShardMapWait);
}

void Node::tickShard(LocalShard &local, TimePoint now)
{
    if (mayCampaign(now)) {
        local.election.setCampaignDelay(campaignDelay(local));
        local.election.tick(now);
    }
    updateScheduler(local);
    if (local.scheduler) {
        local.scheduler->setShardMap(m_availableMap);
        local.scheduler->setRegistryConfirmedAt(m_registry ? m_registry->confirmedAt() : TimePoint{});
        local.scheduler->tick(now, local.election.authority(now), local.election.fullAuthorityUntil());
        if (local.scheduler->isDeposed()) {
            local.election.depose();
        } else if (local.scheduler->isTakeoverComplete()) {
            local.election.settle();
        }
    }
}

/** Creates a scheduler at the start of each term and destroys it at the end. */
void Node::updateScheduler(LocalShard &local)
{
    const Leadership &term = local.election.leadership();
    if (term.epoch == local.epoch) {
        return;
    }
    local.epoch = term.epoch;
    local.scheduler.reset();
    local.isGained = term.epoch != 0 && m_leaderBoard.hasAskedFor(local.shard, m_clock.now());
    if (term.epoch == 0) {
        return;
    }
    local.scheduler = std::make_unique<WorkflowScheduler>(
        m_settings.scheduler, m_store, m_workers, m_clock, m_log, local.shard, term);
    local.scheduler->setObserver(m_observer);
    local.scheduler->setEvacuations(m_evacuations);
    local.scheduler->setWithheldLeases(m_withheldLeases[local.shard]);
    local.scheduler->setCatalog(m_catalog);
    for (const auto &[id, worker] : m_registeredWorkers) {
        forwardWorker(worker);
    }
}

/** Delay of this node's campaign for a shard; 0 if there is only one shard. */
Duration Node::campaignDelay(const LocalShard &local) const
{
    if (m_map.shards.size() <= 1) {
        return Duration::zero();
    }
    const TimePoint now = m_clock.now();
    if (m_leaderBoard.isAskedFor(local.shard, now)) {
        return Duration::zero();
    }
    const bool isHandedOver = local.handedOverAt != TimePoint{} && now < local.handedOverAt + HandoverTime;
    const Duration delay = isHandedOver ? HandoverTime : std::min(ledShardsDelay(local), MaxLedShardsDelay);
    const std::size_t nameHash = std::hash<std::string>()(m_settings.name + "/" + std::to_string(local.shard));
    return delay + suitabilityDelay(local.shard)
           + Duration(static_cast<Duration::rep>(nameHash % static_cast<std::size_t>(MaxTieBreakDelay.count())));
}

/** For the other shards that this node leads or campaigns for. */
Duration Node::ledShardsDelay(const LocalShard &local) const
{
    const auto taken = std::count_if(m_localShards.begin(), m_localShards.end(), [&local](const auto &it) {
        return it.get() != &local && (it->election.leadership().epoch != 0 || it->election.isCampaigning());
    });
    return PerLedShardDelay * taken;
}

/** For too little CPU, and for workers in another failure domain. */
Duration Node::suitabilityDelay(ShardId shard) const
{
    const double cpuDeficit = std::max(0.0, 1 - m_settings.processorShare / SufficientCores);
    const Duration delay(static_cast<Duration::rep>(cpuDeficit * static_cast<double>(MaxLowCpuDelay.count())));
    const bool isSameDomain = m_map.shards[shard].failureDomain == m_settings.failureDomain;
    return isSameDomain ? delay : delay + OtherDomainDelay;
}

void Node::onClusterStateItem(const StoreItem &item)
{
    if (item.key == ShardMapKey && !item.isDeleted) {
        try {
            ShardMap map = decodeShardMap(item.value);
            if (map.shards.size() < m_map.shards.size()) {
                throw InvalidArgument("shards", "shards are never removed");
            }
            m_map = std::move(map);
            m_mapRevision = item.revision;
        } catch (const Error &error) {
            m_log.write("shard_map_unreadable", "revision", item.revision, "error", error.what());
            return;
        }
        m_log.write(
            "shard_map", "revision", item.revision, "shards", m_map.shards.size(), "racks", m_map.shardOfRack.size());
        createLocalShards();
        updateAvailableShards();
        for (const auto &[id, worker] : m_registeredWorkers) {
            forwardWorker(worker);
        }
    } else if (item.key.starts_with(NodePrefix)) {
        if (item.key.substr(NodePrefix.size()) == m_settings.name) {
            m_listing.onOwnItem(item);
        } else if (m_settings.peers.isEnabled) {
            m_peers.onItem(item);
        }
    } else if (item.key.starts_with(WithheldPrefix)) {
        onWithheldLeasesItem(item);
    } else if (item.key.starts_with(LeaderPrefix)) {
        const auto shard = shardOfKey(item.key, LeaderPrefix);
        if (shard) {
            m_leaderBoard.onLeaderItem(*shard, item, m_clock.now());
        }
        if (shard && *shard < m_localShards.size()) {
            m_localShards[*shard]->election.onLeaderKeyChanged(item);
        }
    } else if (item.key.starts_with(HandoverPrefix)) {
        onHandoverItem(item);
    }
}

void Node::onWithheldLeasesItem(const StoreItem &item)
{
    const auto shard = shardOfKey(item.key, WithheldPrefix);
    if (!shard) {
        return;
    }
    try {
        m_withheldLeases[*shard].update(
            item.isDeleted ? std::vector<WithheldLease>{} : decodeWithheldLeases(item.value), m_clock.now());
    } catch (const Error &error) {
        m_log.write("withheld_leases_unreadable", "key", item.key, "revision", item.revision, "error", error.what());
        m_withheldLeases[*shard].update({}, m_clock.now());
    }
}

/** As leader of the first shard: assigns new racks to shards and keeps the shards' weights up to date. */
void Node::updateShardMap(TimePoint now)
{
    const bool canUpdate = authority(0, now) == Authority::Full && m_registry && m_registry->isLoaded()
                           && m_clusterState.isLoaded() && !m_isWritingMap && !m_registeredWorkers.empty();
    if (!canUpdate || now < m_mapUpdateAt || now < m_lastNewWorkerAt + m_settings.shards.quietPeriod) {
        return;
    }
    std::vector<WorkerRecord> workers;
    for (const auto &[id, worker] : m_registeredWorkers) {
        workers.push_back(worker);
    }
    m_mapUpdateAt = now + MapUpdateInterval;
    const ShardMap map = planShards(m_map, workers, m_settings.shards);
    if (!differSignificantly(m_map, map)) {
        return;
    }
    m_isWritingMap = true;
    StoreChange change;
    change.conditions = {{makeShardKeys(0).leader, m_localShards.front()->election.leadership().keyRevision},
                         {std::string(ShardMapKey), m_mapRevision}};
    change.puts = {{std::string(ShardMapKey), encodeShardMap(map), 0}};
    m_store.change(std::move(change), [this, alive = std::weak_ptr(m_alive)](const StoreReply &reply) {
        if (!alive.expired()) {
            m_isWritingMap = false; // m_clusterState delivers the written map
            m_log.write("shard_map_written", "ok", reply.status == StoreStatus::Ok);
        }
    });
}

/** As leader of the first shard: assigns jobs with long-running tasks to shards. */
void Node::tickShardAssigner(TimePoint now)
{
    const Leadership &term = m_localShards.front()->election.leadership();
    if (m_map.shards.size() <= 1 || authority(0, now) != Authority::Full) {
        m_shardAssigner.reset();
        return;
    }
    if (!m_shardAssigner || m_shardAssignerEpoch != term.epoch) {
        m_shardAssigner
            = std::make_unique<ShardAssigner>(m_store, m_clock, m_log, m_availableMap, m_intake.statuses(), term);
        m_shardAssignerEpoch = term.epoch;
    }
    if (m_shardAssigner->hasWaitingJobs()) {
        m_intake.refreshStatuses();
    }
    m_shardAssigner->tick(now);
}

// ---------------------------------------------------------------------------------------------------------------------
// Registry of workers
// ---------------------------------------------------------------------------------------------------------------------

void Node::tickRegistry(TimePoint now)
{
    if (!isLeading() && !m_leaderBoard.hasAsked(now)) { // it is read ahead of a handover
        m_registry.reset();
        m_registeredWorkers.clear();
        return;
    }
    if (!m_registry) {
        MirrorSettings settings;
        settings.batchDelay = RegistryBatchDelay;
        m_registry = std::make_unique<PrefixMirror>(
            m_store,
            m_clock,
            m_log,
            std::string(m_decoder.registryPrefix()),
            [this](const StoreItem &it) { onRegistryItem(it); },
            settings);
    }
    m_registry->tick(now);
}

void Node::onRegistryItem(const StoreItem &item)
{
    const std::string id = item.key.substr(m_decoder.registryPrefix().size());
    if (!item.isDeleted) {
        try {
            const WorkerRecord worker = m_decoder.parseWorker(id, item.value);
            const bool isNew = m_registeredWorkers.insert_or_assign(id, worker).second;
            m_lastNewWorkerAt = isNew ? m_clock.now() : m_lastNewWorkerAt;
            forwardWorker(worker);
            return;
        } catch (const std::exception &error) {
            m_log.write("worker_entry_unreadable", "worker", id, "revision", item.revision, "error", error.what());
        }
    }
    m_registeredWorkers.erase(id);
    for (const auto &it : m_localShards) {
        if (it->scheduler) {
            it->scheduler->removeWorker(id);
        }
    }
}

/** Passes a worker to the scheduler of its shard. Without a shard for its rack, this is repeated with the next map. */
void Node::forwardWorker(const WorkerRecord &worker)
{
    const auto found = m_map.shardOfRack.find(worker.rack);
    if (found != m_map.shardOfRack.end() && m_localShards[found->second]->scheduler) {
        m_localShards[found->second]->scheduler->setWorker(worker);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// The operator's configuration
// ---------------------------------------------------------------------------------------------------------------------

void Node::onOperatorItem(const StoreItem &item)
{
    if (item.key.starts_with(m_decoder.evacuationPrefix())) {
        onEvacuationItem(item);
        return;
    }
    if (item.key != m_decoder.catalogKey() || item.isDeleted) {
        return;
    }
    try {
        Catalog catalog = m_decoder.parseCatalog(item.value);
        if (catalog.version == m_catalog.version) {
            return; // read for a request before the mirror reported it, or the other way round
        }
        if (catalog.version < m_catalog.version) {
            m_log.write("catalog_ignored", "version", catalog.version, "in_force", m_catalog.version);
            return;
        }
        m_catalog = std::move(catalog);
        m_log.write("catalog_in_force",
                    "version",
                    m_catalog.version,
                    "revision",
                    item.revision,
                    "queues",
                    m_catalog.queues.size(),
                    "unreadable",
                    m_catalog.unreadable.size());
        for (const UnreadableEntry &it : m_catalog.unreadable) {
            m_log.writeImportant("catalog_entry_unreadable",
                                 "key",
                                 item.key,
                                 "revision",
                                 item.revision,
                                 "entry",
                                 it.entry,
                                 "field",
                                 it.field,
                                 "error",
                                 it.error);
        }
    } catch (const Error &error) {
        m_log.write("catalog_unreadable", "revision", item.revision, "field", error.field(), "error", error.what());
    } catch (const std::exception &error) {
        m_log.write("catalog_unreadable", "revision", item.revision, "error", error.what());
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Evacuations
// ---------------------------------------------------------------------------------------------------------------------

const EvacuationRequests &Node::evacuations() const
{
    return m_evacuations;
}

void Node::onEvacuationItem(const StoreItem &item)
{
    const std::string domain = item.key.substr(m_decoder.evacuationPrefix().size());
    if (!m_evacuations.isEnabled() || domain.empty()) {
        return;
    }
    if (item.isDeleted) {
        m_evacuations.remove(domain, item.revision);
        return;
    }
    try {
        m_decoder.checkEvacuation(item.value);
        m_evacuations.set(domain, item.revision);
    } catch (const std::exception &error) {
        if (m_unreadableEvacuations.insert(item.key).second) {
            m_log.write("evacuation_ignored", "domain", domain, "revision", item.revision, "why", error.what());
        }
    }
}

void Node::tickEvacuations(TimePoint now)
{
    if (!m_evacuations.isEnabled()) {
        return;
    }
    m_evacuations.confirm(m_operatorItems.confirmedAt());
    if (m_evacuations.domains() != m_evacuatedDomains) {
        updateAvailableShards();
    }
    const bool isWaiting = isLeading() && !m_evacuations.isConfirmed(now, Authority::Full);
    if (isWaiting && now >= m_nextEvacuationReadAt) {
        readEvacuations(now);
    }
    if (isWaiting != m_areStartsWaiting) {
        m_areStartsWaiting = isWaiting;
        m_log.write(isWaiting ? "starts_wait_for_confirmation" : "starts_confirmed",
                    "confirmed_ms_ago",
                    toMilliseconds(now - m_operatorItems.confirmedAt()));
    }
}

/** Reads the requests beside the mirror, whose own call may have been lost. */
void Node::readEvacuations(TimePoint now)
{
    m_nextEvacuationReadAt = now + EvacuationReadInterval;
    m_store.range(
        m_decoder.evacuationPrefix(), {}, [this, alive = std::weak_ptr(m_alive), now](const StoreReply &reply) {
            if (alive.expired() || reply.status != StoreStatus::Ok || reply.hasMore) {
                return; // repeated while the requests are not confirmed
            }
            std::vector<std::string> domains;
            for (const StoreItem &it : reply.items) {
                onEvacuationItem(it);
                domains.push_back(it.key.substr(m_decoder.evacuationPrefix().size()));
            }
            m_evacuations.endAllBut(domains, reply.revision);
            m_evacuations.confirm(now);
        });
}

/** Determines the shards that get new work, and logs requests that have begun or ended. */
void Node::updateAvailableShards()
{
    const std::vector<std::string> domains = m_evacuations.domains();
    const auto logDifference = [this](std::string_view event, const auto &names, const auto &others) {
        for (const std::string &it : names) {
            if (!std::binary_search(others.begin(), others.end(), it)) {
                m_log.write(event, "domain", it);
            }
        }
    };
    logDifference("evacuation_requested", domains, m_evacuatedDomains);
    logDifference("evacuation_ended", m_evacuatedDomains, domains);
    for (const std::string &it : domains) {
        const bool isKnown = std::any_of(m_map.shards.begin(), m_map.shards.end(), [&it](const ShardInfo &info) {
            return info.failureDomain == it || info.failureDomain.empty();
        });
        if (!isKnown && !m_map.shards.empty() && m_unknownEvacuations.insert(it).second) {
            m_log.write("evacuation_ignored", "domain", it, "why", "no worker is in this failure domain");
        }
    }
    m_evacuatedDomains = domains;
    m_availableMap = availableShards(m_map, m_evacuations);
}

// ---------------------------------------------------------------------------------------------------------------------
// Confirmation of the catalog
// ---------------------------------------------------------------------------------------------------------------------

bool Node::isCatalogConfirmed(TimePoint arrivedAt) const
{
    return arrivedAt <= catalogConfirmedAt() + m_settings.maxCatalogAge;
}

void Node::confirmCatalog(TimePoint arrivedAt, std::function<void(bool)> done)
{
    if (isCatalogConfirmed(arrivedAt)) {
        done(true);
        return;
    }
    const TimePoint now = m_clock.now();
    if (now >= m_nextCatalogReadAt) {
        readCatalog(now);
    }
    if (isCatalogUnreadable(now)) {
        done(false);
    } else {
        m_catalogWaits.push_back({arrivedAt, std::move(done)});
    }
}

void Node::endCatalogWaits(TimePoint now)
{
    std::vector<CatalogWait> waits;
    waits.swap(m_catalogWaits);
    for (CatalogWait &it : waits) {
        if (isCatalogConfirmed(it.arrivedAt)) {
            it.done(true);
        } else if (isCatalogUnreadable(now) || now >= it.arrivedAt + m_settings.confirmTimeout) {
            it.done(false);
        } else {
            m_catalogWaits.push_back(std::move(it));
        }
    }
    if (!m_catalogWaits.empty() && now >= m_nextCatalogReadAt) {
        readCatalog(now);
    }
}

/** Reads the catalog beside the mirror, whose own call may have been lost. */
void Node::readCatalog(TimePoint now)
{
    m_nextCatalogReadAt = now + CatalogReadInterval;
    const bool hasAnsweredSince = m_unansweredReadAt <= m_operatorItems.lastReplyAt();
    m_unansweredReadAt = hasAnsweredSince ? now : m_unansweredReadAt;
    m_store.get(m_decoder.catalogKey(), [this, alive = std::weak_ptr(m_alive), now](const StoreReply &reply) {
        if (alive.expired() || reply.status != StoreStatus::Ok || reply.items.empty()) {
            return; // repeated while requests wait
        }
        onOperatorItem(reply.items.front());
        m_catalogReadAt = std::max(m_catalogReadAt, now);
        m_unansweredReadAt = {};
        endCatalogWaits(m_clock.now());
    });
}

/** Whether the store is known not to answer: no read was answered for as long as a request would wait for one. */
bool Node::isCatalogUnreadable(TimePoint now) const
{
    return m_unansweredReadAt > m_operatorItems.lastReplyAt() && now >= m_unansweredReadAt + m_settings.confirmTimeout;
}

const Queue *Node::findQueue(std::string_view host, std::string_view path) const
{
    const Queue *best = nullptr;
    for (const Queue &it : m_catalog.queues) {
        const bool isMatch = (it.host.empty() || it.host == host) && path.starts_with(it.pathPrefix);
        if (isMatch && (best == nullptr || it.pathPrefix.size() > best->pathPrefix.size())) {
            best = &it;
        }
    }
    return best;
}

} // namespace QuetzalRock::Workflow
