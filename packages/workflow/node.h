/**
 * One node: what every process does for callers, and the scheduler of each shard that it leads.
 *
 * Index of this file
 *   NodeSettings   all settings of the package
 *   Node           driven by tick() on one thread, which also runs all callbacks
 */
#pragma once

#include <workflow/election.h>
#include <workflow/intake.h>
#include <workflow/metrics.h>
#include <workflow/mirror.h>
#include <workflow/scheduler.h>
#include <workflow/shardassigner.h>
#include <workflow/shards.h>

#include <memory>

namespace QuetzalRock::Workflow {

struct NodeSettings
{
    std::string name;   ///< unique among the nodes
    std::string bootId; ///< unique among the lives of this node
    std::string failureDomain;
    double processorShare = 1; ///< of a core; the strongest nodes lead first
    ElectionSettings election;
    WorkflowSettings scheduler;
    IntakeSettings intake;
    ShardSettings shards;
    Duration storeSilence
        = std::chrono::milliseconds(3500); ///< a node that has not heard from the store for so long says
                                           ///< that it is not ready: it could accept nothing. Longer than
                                           ///< a watch's wait and its margin
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

    void setObserver(WorkflowObserver *observer); ///< before the first tick(); it outlives the node

    void tick(TimePoint now);
    Duration idleTime() const; ///< how long the thread may wait before the next tick

    /** The queue that serves @p host and @p path; null where there is none. */
    const Queue *findQueue(std::string_view host, std::string_view path) const;

    const Catalog &catalog() const; ///< version 0: none yet
    /** Hands a job in to the shard that suits it. */
    void submit(const Queue &queue, WorkflowSpec spec, TimePoint deadline, Intake::Done done);
    Intake &intake();
    const IntakeCounters &intakeCounters() const;

    Authority authority(ShardId shard, TimePoint now) const;
    std::vector<const WorkflowScheduler *> schedulers() const; ///< of the shards that this node leads

    bool isReady(TimePoint now) const;
    void beginDrain(); ///< gives leadership away and says that it is not ready; goes on answering

private:
    /** This node's part in one shard. */
    struct ShardDuty
    {
        ShardId shard;
        Election election;
        std::unique_ptr<WorkflowScheduler> scheduler; ///< while this node leads the shard
        std::uint64_t epoch = 0;                      ///< of the scheduler
    };

    void onOperatorItem(const StoreItem &item);
    void onBoardItem(const StoreItem &item);
    void onRegistryItem(const StoreItem &item);
    void storeBoot();
    void openDuties();
    void tickDuty(ShardDuty &duty, TimePoint now);
    void followTerm(ShardDuty &duty);
    void followRegistry(TimePoint now);
    void tellScheduler(const WorkerRecord &worker);
    void plan(TimePoint now);
    void spread(TimePoint now);
    Duration handicapOf(const ShardDuty &duty) const;
    bool isLeading() const;

    NodeSettings m_settings;
    RecordStore &m_store;
    WorkerPort &m_workers;
    const RecordDecoder &m_decoder;
    Clock &m_clock;
    EventLog &m_log;
    Catalog m_catalog;
    PrefixMirror m_operatorItems;
    PrefixMirror m_board;
    std::unique_ptr<PrefixMirror> m_registry; ///< while this node leads a shard
    Intake m_intake;
    WorkflowObserver *m_observer = nullptr;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< callbacks outlive the node
    bool m_isDraining = false;
    bool m_hasStoredBoot = false;

    // Shards
    std::vector<std::unique_ptr<ShardDuty>> m_duties; ///< by ShardId
    ShardMap m_map;
    std::uint64_t m_mapRevision = 0;
    std::map<WorkerId, WorkerRecord> m_listed; ///< the registry, while this node leads a shard
    TimePoint m_listGrewAt{};                  ///< the last time that a worker was new in it
    TimePoint m_planAt{};                      ///< not before
    bool m_isPlanning = false;
    std::unique_ptr<ShardAssigner> m_shardAssigner; ///< while this node leads the first of several shards
    std::uint64_t m_shardAssignerEpoch = 0;
};

} // namespace QuetzalRock::Workflow
