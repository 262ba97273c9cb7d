/**
 * One node: what every process does for callers, and, while it leads, the scheduler.
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

#include <memory>

namespace QuetzalRock::Workflow {

struct NodeSettings
{
    std::string name; ///< unique among the nodes
    std::string boot; ///< unique among the lives of this node
    ElectionSettings election;
    WorkflowSettings scheduler;
    IntakeSettings intake;
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
    Intake &intake();
    const IntakeCounters &intakeCounters() const;
    const Election &election() const;
    const WorkflowScheduler *scheduler() const; ///< null where this node does not lead

    bool isReady(TimePoint now) const;
    void beginDrain(); ///< gives leadership away and says that it is not ready; goes on answering

private:
    void onOperatorItem(const StoreItem &item);
    void onRegistryItem(const StoreItem &item);
    void followTerm();

    NodeSettings m_settings;
    RecordStore &m_store;
    WorkerPort &m_workers;
    const RecordDecoder &m_decoder;
    Clock &m_clock;
    EventLog &m_log;
    Catalog m_catalog;
    PrefixMirror m_operatorItems;
    std::unique_ptr<PrefixMirror> m_registry; ///< while this node leads
    Election m_election;
    Intake m_intake;
    std::unique_ptr<WorkflowScheduler> m_scheduler;
    std::uint64_t m_epoch = 0; ///< of m_scheduler
    WorkflowObserver *m_observer = nullptr;
    bool m_isDraining = false;
};

} // namespace QuetzalRock::Workflow
