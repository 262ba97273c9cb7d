#include <workflow/node.h>

#include <base/errors.h>

#include <algorithm>
#include <functional>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration LeaderIdle = 10ms;    ///< orders and writes are gathered for a few times this long
constexpr Duration FollowerIdle = 100ms; ///< renewals and retries need no more

// Who leads which shard. Each term is longer than a campaign takes, some 30 ms, so that the better suited node is first.
constexpr double StrongShare = 0.5;             ///< of a core: carries two shards under full load
constexpr Duration WeakHandicap = 500ms;        ///< of a node without any processor; in proportion above
constexpr Duration HeldHandicap = 200ms;        ///< for each shard that the node leads already
constexpr Duration OtherDomainHandicap = 100ms; ///< the shard's workers are in another failure domain
constexpr Duration HandicapSpread = 100ms;      ///< nodes that suit as well take their turn in a random order

// Workers renew their entries every second or two, all of them. A drain has to be known within two seconds.
constexpr Duration GatherRegistry = 250ms;

constexpr Duration PlanEvery = 2s;      ///< between two writes of the map
constexpr double WeightTolerance = 0.2; ///< a shard's weight may be off by so much before the map is written anew

/** True where @p a and @p b would send jobs elsewhere. */
bool differs(const ShardMap &a, const ShardMap &b)
{
    if (a.shardOfRack != b.shardOfRack || a.shards.size() != b.shards.size()) {
        return true;
    }
    for (std::size_t i = 0; i < a.shards.size(); ++i) {
        for (const auto &[pool, millis] : b.shards[i].poolMillis) {
            const auto found = a.shards[i].poolMillis.find(pool);
            const auto before = static_cast<double>(found == a.shards[i].poolMillis.end() ? 0 : found->second);
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
    , m_operatorItems(
          store, clock, log, std::string(decoder.operatorPrefix()), [this](const StoreItem &it) { onOperatorItem(it); })
    , m_board(store, clock, log, std::string(BoardPrefix), [this](const StoreItem &it) { onBoardItem(it); })
    , m_intake(store, clock, log, settings.intake)
{
    openDuties();
}

const Catalog &Node::catalog() const
{
    return m_catalog;
}

Intake &Node::intake()
{
    return m_intake;
}

const IntakeCounters &Node::intakeCounters() const
{
    return m_intake.counters();
}

void Node::submit(const Queue &queue, WorkflowSpec spec, TimePoint deadline, Intake::Done done)
{
    std::optional<ShardId> shard = 0;
    if (m_map.shards.size() > 1) {
        m_intake.refreshStatuses();
        const bool mustSpread = hasLongRunningStep(spec);
        shard = mustSpread ? std::nullopt : std::optional(chooseShard(m_map, m_intake.statuses(), queue.pool, spec));
    }
    m_intake.submit(queue, shard, std::move(spec), deadline, std::move(done));
}

void Node::setObserver(WorkflowObserver *observer)
{
    m_observer = observer;
}

Authority Node::authority(ShardId shard, TimePoint now) const
{
    return shard < m_duties.size() ? m_duties[shard]->election.authority(now) : Authority::None;
}

std::vector<const WorkflowScheduler *> Node::schedulers() const
{
    std::vector<const WorkflowScheduler *> list;
    for (const auto &it : m_duties) {
        if (it->scheduler) {
            list.push_back(it->scheduler.get());
        }
    }
    return list;
}

bool Node::isLeading() const
{
    return std::any_of(m_duties.begin(), m_duties.end(), [](const auto &it) { return it->scheduler != nullptr; });
}

Duration Node::idleTime() const
{
    Duration idle = isLeading() ? LeaderIdle : FollowerIdle;
    for (const auto &it : m_duties) {
        idle = std::min(idle, std::max<Duration>(1ms, it->election.nextAt() - m_clock.now()));
    }
    return idle;
}

bool Node::isReady(TimePoint now) const
{
    return !m_isDraining && m_catalog.version > 0 && now < m_operatorItems.lastReplyAt() + m_settings.storeSilence;
}

void Node::beginDrain()
{
    m_isDraining = true;
    for (const auto &it : m_duties) {
        it->election.resign();
    }
}

void Node::tick(TimePoint now)
{
    m_operatorItems.tick(now);
    m_board.tick(now);
    if (!m_hasStoredBoot) {
        storeBoot();
    }
    for (std::size_t i = 0; i < m_duties.size(); ++i) { // the map may grow meanwhile
        tickDuty(*m_duties[i], now);
    }
    followRegistry(now);
    plan(now);
    spread(now);
    m_intake.tick(now);
}

/** Tells later leaders that no earlier life of this node leads any more. Repeated where it fails: it hurries takeovers. */
void Node::storeBoot()
{
    m_hasStoredBoot = true;
    StoreChange change;
    change.puts = {{std::string(BootPrefix) + m_settings.name, m_settings.bootId, 0}};
    m_store.change(std::move(change), [this, alive = std::weak_ptr(m_alive)](const StoreReply &reply) {
        if (!alive.expired()) {
            m_hasStoredBoot = reply.status == StoreStatus::Ok || reply.status == StoreStatus::Unknown;
        }
    });
}

// ---------------------------------------------------------------------------------------------------------------------
// Shards
// ---------------------------------------------------------------------------------------------------------------------

/** One duty for each shard of the map; the first shard's is there from the beginning. */
void Node::openDuties()
{
    while (m_duties.size() < std::max<std::size_t>(1, m_map.shards.size())) {
        const auto shard = static_cast<ShardId>(m_duties.size());
        m_duties.push_back(std::make_unique<ShardDuty>(
            ShardDuty{shard,
                      Election(m_store, m_clock, m_log, shard, m_settings.name, m_settings.bootId, m_settings.election),
                      nullptr}));
        if (m_isDraining) {
            m_duties.back()->election.resign();
        }
    }
}

void Node::tickDuty(ShardDuty &duty, TimePoint now)
{
    if (m_catalog.version > 0) {
        duty.election.setHandicap(handicapOf(duty));
        duty.election.tick(now);
    }
    followTerm(duty);
    if (duty.scheduler) {
        duty.scheduler->setHasSiblings(m_map.shards.size() > 1);
        duty.scheduler->tick(now, duty.election.authority(now));
        if (duty.scheduler->isDeposed()) {
            duty.election.depose();
        }
    }
}

/** Makes a scheduler for each term, and drops it with the term. */
void Node::followTerm(ShardDuty &duty)
{
    const Leadership &term = duty.election.leadership();
    if (term.epoch == duty.epoch) {
        return;
    }
    duty.epoch = term.epoch;
    duty.scheduler.reset();
    if (term.epoch == 0) {
        return;
    }
    duty.scheduler = std::make_unique<WorkflowScheduler>(
        m_settings.scheduler, m_store, m_workers, m_clock, m_log, duty.shard, term);
    duty.scheduler->setObserver(m_observer);
    for (const auto &[id, worker] : m_listed) {
        tellScheduler(worker);
    }
}

/** Lets nodes that suit better lead first, where there are several shards to lead. */
Duration Node::handicapOf(const ShardDuty &duty) const
{
    if (m_map.shards.size() <= 1) {
        return Duration::zero();
    }
    Duration handicap{};
    for (const auto &it : m_duties) {
        handicap += it->scheduler && it.get() != &duty ? HeldHandicap : Duration::zero();
    }
    const double weakness = std::max(0.0, 1 - m_settings.processorShare / StrongShare);
    handicap += Duration(static_cast<Duration::rep>(weakness * static_cast<double>(WeakHandicap.count())));
    const bool isHome = m_map.shards[duty.shard].failureDomain == m_settings.failureDomain;
    handicap += isHome ? Duration::zero() : OtherDomainHandicap;
    const std::size_t order = std::hash<std::string>()(m_settings.name + "/" + std::to_string(duty.shard));
    return handicap + Duration(static_cast<Duration::rep>(order % static_cast<std::size_t>(HandicapSpread.count())));
}

void Node::onBoardItem(const StoreItem &item)
{
    if (item.key == ShardMapKey && !item.isDeleted) {
        try {
            m_map = decodeShardMap(item.value);
            m_mapRevision = item.revision;
        } catch (const Error &error) {
            m_log.write("shard_map_unreadable", "revision", item.revision, "error", error.what());
            return;
        }
        m_log.write(
            "shard_map", "revision", item.revision, "shards", m_map.shards.size(), "racks", m_map.shardOfRack.size());
        openDuties();
        for (const auto &[id, worker] : m_listed) {
            tellScheduler(worker);
        }
    } else if (item.key.starts_with(LeaderPrefix)) {
        const auto shard = shardOfKey(item.key, LeaderPrefix);
        if (shard && *shard < m_duties.size()) {
            m_duties[*shard]->election.onKey(item);
        }
    }
}

/** The leader of the first shard assigns racks that are new, and keeps the shards' weights up to date. */
void Node::plan(TimePoint now)
{
    const bool mayPlan = authority(0, now) == Authority::Full && m_registry && m_registry->isLoaded()
                         && m_board.isLoaded() && !m_isPlanning && !m_listed.empty();
    if (!mayPlan || now < m_planAt || now < m_listGrewAt + m_settings.shards.settle) {
        return;
    }
    std::vector<WorkerRecord> workers;
    for (const auto &[id, worker] : m_listed) {
        workers.push_back(worker);
    }
    m_planAt = now + PlanEvery;
    const ShardMap map = planShards(m_map, workers, m_settings.shards);
    if (!differs(m_map, map)) {
        return;
    }
    m_isPlanning = true;
    StoreChange change;
    change.conditions = {{makeShardKeys(0).leader, m_duties.front()->election.leadership().keyRevision},
                         {std::string(ShardMapKey), m_mapRevision}};
    change.puts = {{std::string(ShardMapKey), encodeShardMap(map), 0}};
    m_store.change(std::move(change), [this, alive = std::weak_ptr(m_alive)](const StoreReply &reply) {
        if (!alive.expired()) {
            m_isPlanning = false; // the board brings what was written
            m_log.write("shards_planned", "ok", reply.status == StoreStatus::Ok);
        }
    });
}

/** While this node leads the first shard, it gives lasting jobs their shards. */
void Node::spread(TimePoint now)
{
    const Leadership &term = m_duties.front()->election.leadership();
    if (m_map.shards.size() <= 1 || authority(0, now) != Authority::Full) {
        m_shardAssigner.reset();
        return;
    }
    if (!m_shardAssigner || m_shardAssignerEpoch != term.epoch) {
        m_shardAssigner = std::make_unique<ShardAssigner>(m_store, m_clock, m_log, m_map, m_intake.statuses(), term);
        m_shardAssignerEpoch = term.epoch;
    }
    if (m_shardAssigner->isBusy()) {
        m_intake.refreshStatuses();
    }
    m_shardAssigner->tick(now);
}

// ---------------------------------------------------------------------------------------------------------------------
// Registry of workers
// ---------------------------------------------------------------------------------------------------------------------

void Node::followRegistry(TimePoint now)
{
    if (!isLeading()) {
        m_registry.reset();
        m_listed.clear();
        return;
    }
    if (!m_registry) {
        MirrorSettings settings;
        settings.gather = GatherRegistry;
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
            const bool isNew = m_listed.insert_or_assign(id, worker).second;
            m_listGrewAt = isNew ? m_clock.now() : m_listGrewAt;
            tellScheduler(worker);
            return;
        } catch (const std::exception &error) {
            m_log.write("worker_entry_unreadable", "worker", id, "revision", item.revision, "error", error.what());
        }
    }
    m_listed.erase(id);
    for (const auto &it : m_duties) {
        if (it->scheduler) {
            it->scheduler->removeWorker(id);
        }
    }
}

/** Where its rack belongs to no shard yet, the next map brings it back. */
void Node::tellScheduler(const WorkerRecord &worker)
{
    const auto found = m_map.shardOfRack.find(worker.rack);
    if (found != m_map.shardOfRack.end() && m_duties[found->second]->scheduler) {
        m_duties[found->second]->scheduler->setWorker(worker);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// The operator's configuration
// ---------------------------------------------------------------------------------------------------------------------

void Node::onOperatorItem(const StoreItem &item)
{
    if (!m_decoder.isCatalog(item.key) || item.isDeleted) {
        return;
    }
    try {
        Catalog catalog = m_decoder.parseCatalog(item.value);
        if (catalog.version <= m_catalog.version) {
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
                    m_catalog.queues.size());
    } catch (const std::exception &error) {
        m_log.write("catalog_unreadable", "revision", item.revision, "error", error.what());
    }
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
