/**
 * One node: handles callers' requests, takes part in the leader election of each shard, and runs the scheduler of each
 * shard that it leads.
 *
 * Index of this file
 *   NodeSettings   all settings of the package
 *   Node           driven by tick() on one thread, which also runs all callbacks
 */
#pragma once

#include <workflow/election.h>
#include <workflow/evacuation.h>
#include <workflow/forecast.h>
#include <workflow/handover.h>
#include <workflow/intake.h>
#include <workflow/metrics.h>
#include <workflow/mirror.h>
#include <workflow/peers.h>
#include <workflow/scheduler.h>
#include <workflow/shardassigner.h>
#include <workflow/shards.h>

#include <memory>

namespace QuetzalRock::Workflow {

struct NodeSettings
{
    std::string name;   ///< unique among the nodes
    std::string bootId; ///< differs at each start of the node
    std::string failureDomain;
    double processorShare = 1; ///< in cores; nodes with more CPU are preferred as leaders
    ElectionSettings election;
    WorkflowSettings scheduler;
    IntakeSettings intake;
    ShardSettings shards;
    EvacuationSettings evacuation;
    HandoverSettings handover;
    PeerSettings peers;
    Duration maxStoreSilence
        = std::chrono::milliseconds(3500); ///< a node is not ready once the store has not answered for this long, as
                                           ///< it could not accept jobs. Must exceed a watch's timeout and margin
    Duration maxCatalogAge = std::chrono::seconds(2); ///< within this time a new catalog has to be in force
    Duration confirmTimeout
        = std::chrono::milliseconds(500); ///< for which a request waits; a slow store takes up to 0.3 s
};

class Node
{
public:
    Node(const NodeSettings &settings,
         RecordStore &store,
         WorkerPort &workers,
         const RecordDecoder &decoder,
         Clock &clock,
         EventLog &log);

    void setObserver(WorkflowObserver *observer); ///< to be called before the first tick(); must outlive the node

    void tick(TimePoint now);
    Duration idleTime() const; ///< how long the thread may wait before the next tick()

    /** The queue with the longest path prefix that matches @p host and @p path; null if there is none. */
    const Queue *findQueue(std::string_view host, std::string_view path) const;

    const Catalog &catalog() const;       ///< version 0: none yet
    TimePoint catalogConfirmedAt() const; ///< no newer catalog was stored before this time
    const EvacuationRequests &evacuations() const;
    PeerDirectory &peers(); ///< empty unless NodeSettings::peers is enabled
    const PeerDirectory &peers() const;

    /**
     * Calls @p done with true as soon as no newer catalog can have been stored more than maxCatalogAge before
     * @p arrivedAt: at once while the mirror is up to date, otherwise after a read. Calls it with false if the store
     * does not answer within confirmTimeout, and at once while it is known not to answer: a request that arrived then
     * must not be decided by catalog().
     */
    void confirmCatalog(TimePoint arrivedAt, std::function<void(bool)> done);
    bool isCatalogConfirmed(TimePoint arrivedAt) const;

    /**
     * Submits a job to a shard chosen by load; a job with long-running steps is left to the ShardAssigner. Under scarcity
     * a job that would end too late in each shard is rejected.
     */
    void submit(const Queue &queue, WorkflowSpec spec, TimePoint deadline, Intake::Done done);
    Intake &intake();
    const IntakeCounters &intakeCounters() const;
    const AdmissionControl &admission() const;

    Authority authority(ShardId shard, TimePoint now) const;
    std::vector<const WorkflowScheduler *> schedulers() const; ///< of the shards that this node leads

    std::uint64_t handedOverShards() const; ///< since the start of the node; not those given up by beginDrain()

    bool isReady(TimePoint now) const;
    void beginDrain(); ///< resigns all leadership and reports not ready; requests are still handled

private:
    /** One shard as this node sees it. */
    struct LocalShard
    {
        ShardId shard;
        Election election;
        std::unique_ptr<WorkflowScheduler> scheduler; ///< while this node leads the shard
        std::uint64_t epoch = 0;                      ///< term of the scheduler; 0: none
        TimePoint handedOverAt{};                     ///< by this node
        bool isGained = false;                        ///< by a request; the takeover is not complete yet
    };

    /** A shard whose starts are paused to be handed over. */
    struct Handover
    {
        ShardId shard = 0;
        std::uint64_t epoch = 0;
        TimePoint since{};
    };

    /** A request that waits until the catalog is confirmed. */
    struct CatalogWait
    {
        TimePoint arrivedAt;
        std::function<void(bool)> done;
    };

    template<typename Part>
    void runGuarded(std::string_view name, Part part);
    void onOperatorItem(const StoreItem &item);
    void onEvacuationItem(const StoreItem &item);
    void onWithheldLeasesItem(const StoreItem &item);
    void tickEvacuations(TimePoint now);
    void readEvacuations(TimePoint now);
    void updateAvailableShards();
    void endCatalogWaits(TimePoint now);
    void readCatalog(TimePoint now);
    bool isCatalogUnreadable(TimePoint now) const;
    void onClusterStateItem(const StoreItem &item);
    void onRegistryItem(const StoreItem &item);
    void storeBootId(TimePoint now);
    void onBootIdRead(const StoreReply &reply);
    void onBootIdStored();
    void createLocalShards();
    bool mayCampaign(TimePoint now) const;
    void tickShard(LocalShard &local, TimePoint now);
    void updateScheduler(LocalShard &local);
    void tickRegistry(TimePoint now);
    void forwardWorker(const WorkerRecord &worker);
    void updateShardMap(TimePoint now);
    void tickShardAssigner(TimePoint now);
    Duration campaignDelay(const LocalShard &local) const;
    Duration ledShardsDelay(const LocalShard &local) const;
    Duration suitabilityDelay(ShardId shard) const;
    bool isLeading() const;

    // Handovers (nodehandover.cpp)
    void onHandoverItem(const StoreItem &item);
    void tickHandovers(TimePoint now);
    void beginHandover(TimePoint now);
    void continueHandover(TimePoint now);
    bool isCalm(TimePoint now) const;
    bool isWorthHandingOver(const LocalShard &local, TimePoint now) const;
    void askForShard(TimePoint now);
    void checkGainedShard(LocalShard &local, TimePoint now);
    Duration leadershipCost(const LocalShard &local) const;

    NodeSettings m_settings;
    RecordStore &m_store;
    WorkerPort &m_workers;
    const RecordDecoder &m_decoder;
    Clock &m_clock;
    EventLog &m_log;
    Catalog m_catalog;
    std::vector<CatalogWait> m_catalogWaits;
    TimePoint m_catalogReadAt{};     ///< when the last answered read of the catalog was sent
    TimePoint m_unansweredReadAt{};  ///< when the first read was sent since the store last answered; default: none
    TimePoint m_nextCatalogReadAt{}; ///< earliest time of the next read
    EvacuationRequests m_evacuations;
    std::vector<std::string> m_evacuatedDomains;   ///< as last logged
    std::set<std::string> m_unreadableEvacuations; ///< keys of requests that were logged as unreadable
    std::set<std::string> m_unknownEvacuations;    ///< failure domains without workers whose evacuation was logged
    TimePoint m_nextEvacuationReadAt{};            ///< earliest time of the next read
    bool m_areStartsWaiting = false;               ///< the requests are not confirmed, which was logged
    PeerDirectory m_peers;
    NodeListing m_listing;
    PrefixMirror m_operatorItems;
    PrefixMirror m_clusterState;
    std::unique_ptr<PrefixMirror> m_registry; ///< while this node leads a shard
    Intake m_intake;
    AdmissionControl m_admission;
    WorkflowObserver *m_observer = nullptr;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< lets callbacks detect that this object is destroyed
    bool m_isDraining = false;
    bool m_hasStoredBootId = false;
    TimePoint m_storeBootIdAt{};  ///< earliest next attempt
    TimePoint m_bootIdStoredAt{}; ///< when m_hasStoredBootId was set

    // Handovers
    LeaderBoard m_leaderBoard;
    std::optional<Handover> m_handover;
    TimePoint m_calmSince{};      ///< this node has had full authority over all its shards since; used if it leads any
    TimePoint m_nextHandoverAt{}; ///< earliest next handover
    TimePoint m_nextRequestAt{};  ///< next check whether to ask for a shard
    Duration m_requestPause;      ///< after the next shard that is given back
    std::minstd_rand m_random;    ///< spreads the nodes' requests
    std::uint64_t m_handedOverShards = 0;

    // Shards
    std::map<ShardId, WithheldLeases> m_withheldLeases;     ///< outlives the schedulers
    std::vector<std::unique_ptr<LocalShard>> m_localShards; ///< by ShardId
    ShardMap m_map;
    ShardMap m_availableMap; ///< m_map without the shards of evacuated failure domains
    std::uint64_t m_mapRevision = 0;
    std::map<WorkerId, WorkerRecord> m_registeredWorkers; ///< the registry, while this node leads a shard
    TimePoint m_lastNewWorkerAt{};
    TimePoint m_mapUpdateAt{}; ///< earliest time of the next check of the map
    bool m_isWritingMap = false;
    std::unique_ptr<ShardAssigner> m_shardAssigner; ///< while this node leads the first of several shards
    std::uint64_t m_shardAssignerEpoch = 0;
};

} // namespace QuetzalRock::Workflow
