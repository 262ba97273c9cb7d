/**
 * The fault soak: runs real node processes against the platform's stand-in, injects faults from outside and checks that
 * the scheduler keeps its guarantees.
 *
 * Index of this file
 *   SoakSettings   seed, numbers of nodes and workers, times
 *   SoakResult     violated guarantees and counts of one run
 *   SoakRun        the run of one seed
 *
 * Faults, which may overlap
 *   links      one link, or the links of all nodes to the store: delayed, reset, or replies or all data discarded
 *   nodes      one is killed, suspended and continued, or gets SIGTERM, or all are killed at once; then started again
 *              signals follow one another on the same node, also while it is suspended or exits
 *   leaders    several in a row get one of these signals
 *   workers    restart, fail the tasks that they start, vanish from the registry, or drain and leave for good while
 *              others join
 *   store      drops its history
 *   operator   adds queues to the configuration
 *   domains    with several shards: all workers of a failure domain restart, are cut off, drain or are full, so that
 *              jobs and long-running tasks go to other shards; mostly, all nodes are killed at about the same time
 *
 * Callers keep to a node, over open connections, until they find it gone.
 *
 * Guarantees
 *   tasks      no task runs twice at a time, or again after it has completed
 *   jobs       an accepted job ends, and no node ever answers that it does not exist
 *              a job of which every submission was refused never starts
 *              a job is reported as completed only after all of its tasks have completed
 *              no task of a cancelled job keeps running
 *              in time after the last fault every long-running task runs whose job is not to be cancelled
 *              a queue of the configuration takes jobs
 *   callers    no connection ends with a request unanswered because its node got SIGTERM, if it reaches the store
 *   nodes      a node that gets SIGTERM exits in time and with status 0
 *              no node exits unless it is killed or gets SIGTERM
 */
#pragma once

#include "nodeprocess.h"
#include "proxy.h"

#include <base/eventlog.h>
#include <httpcalls.h>
#include <requests/curltransport.h>
#include <standin/standinplatform.h>

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace QuetzalRock::Soak {

struct SoakSettings
{
    std::uint64_t seed = 1;
    int nodes = 4;
    int workers = 8;
    int shards = 0; ///< of two failure domains, or of three if it can be divided by three; 0: one shard
    Duration faultTime = std::chrono::seconds(12); ///< duration of fault injection

    /** Time without faults after that, in which all long-running tasks have to run. */
    Duration restartTimeout = std::chrono::seconds(25);

    /** Time without faults after that, in which every job has to end. Longer than the sum of all leases. */
    Duration settleTimeout = std::chrono::seconds(60);
    NodeFiles files;
};

struct SoakResult
{
    std::vector<std::string> violations; ///< texts, each one once
    std::size_t accepted = 0;            ///< jobs
    std::size_t refused = 0;             ///< jobs of which every submission was refused
    std::uint64_t starts = 0;            ///< of tasks
    std::size_t faults = 0;              ///< injected

    // Only with several shards
    std::size_t shards = 0;       ///< that had leaders
    std::size_t domainFaults = 0; ///< included in faults
    std::size_t allKilled = 0;    ///< times that all nodes were killed at once
    std::size_t jobsMoved = 0;    ///< to other shards, as the nodes' logs tell
    std::size_t tasksGiven = 0;   ///< long-running tasks, to other shards
    std::size_t tasksTaken = 0;   ///< long-running tasks, by other shards; again by each leader that reads them
};

class SoakRun
{
public:
    explicit SoakRun(const SoakSettings &settings);

    SoakResult run();

private:
    enum class NodeState : std::uint8_t {
        Up,
        Terminating, ///< has received SIGTERM
        Down,        ///< killed or exited
    };
    struct Node
    {
        std::unique_ptr<NodeProcess> process;
        std::size_t storeLink = 0;
        NodeState state = NodeState::Down;
        bool isSuspended = false; ///< stopped with SIGSTOP
        TimePoint continueAt{};   ///< while it is suspended
        TimePoint startAt{};      ///< earliest next start
        TimePoint exitDeadline{}; ///< while Terminating
        TimePoint startedAt{};
        TimePoint lastDisturbedAt{}; ///< when it was last killed, suspended, continued or started, or regains the store
    };
    struct Job
    {
        std::string key;
        std::string path; ///< with the prefix of its queue
        std::string body;
        std::size_t node = 0;       ///< which its caller keeps to
        int taskCount = 0;          ///< of all steps
        bool isLongRunning = false; ///< its only step runs until the job is cancelled
        bool isAccepted = false;
        bool mayBeStored = false; ///< a submission was sent and neither accepted nor refused: it may be stored
        bool isRefused = false;   ///< a submission was answered 503 or 429
        bool hasCallInFlight = false;
        bool isCancelled = false;  ///< its cancellation was acknowledged
        bool shouldCancel = false; ///< is to be cancelled once accepted
        std::string state;         ///< as last reported by a node
        TimePoint nextCallAt{};    ///< earliest time of the next call about it
    };
    /** An action at a later time. */
    struct DueAction
    {
        TimePoint at;
        std::function<void()> act;
    };
    /** When a link's fault ends. */
    struct LinkRestoration
    {
        TimePoint at;
        std::size_t link;
    };

    void setUp();
    void performAction(); ///< creates a job or injects a fault
    void injectNodeFault();
    void injectLeaderFaults();
    void killAllNodes();
    void injectDomainFault();
    void cutOffWorker(const std::string &id, TimePoint restoreAt);
    void createLargeJobs();
    void disturbNode(std::size_t index); ///< sends it one of the signals that it can get in its state
    void killNode(Node &node);
    std::size_t leader(); ///< the node whose name the leader key holds, or else any
    void injectLinkFault();
    void injectWorkerFault();
    void drainWorker(const std::string &id);
    void removeWorker(const std::string &id);
    void restartWorker(const std::string &id, Duration downTime);
    void addQueue();
    void runDueActions(bool all);
    void superviseNodes();
    void restoreLinks(bool all);
    void restoreWorkers(bool all);
    void endAllFaults();
    void createJob(bool isLarge = false); ///< @p isLarge: few of its tasks fill a worker
    void sendDueCalls();
    void submitJob(Job &job);
    void queryJob(Job &job);
    void cancelJob(Job &job);
    void checkReportedState(Job &job, const std::string &text);
    void send(Job &job, std::string method, std::string body, std::function<void(const Adapter::HttpReply &)> done);
    void checkConnectionLoss(const Job &job, const Node &node, TimePoint sentAt, const Adapter::HttpReply &reply);
    std::vector<std::string> stoppedLongRunningJobs(); ///< accepted, not to be cancelled, and not all of its tasks run
    bool isSettled();                                  ///< every job has ended and no task runs
    void checkFinalState();
    void countMoves();           ///< reads the nodes' logs
    void pollFor(Duration time); ///< runs calls, nodes, links and workers for @p time
    void addViolation(const std::string &text);
    std::size_t randomNode();
    std::string randomWorker();
    std::uint32_t randomBelow(std::uint32_t n);
    Duration randomDuration(std::int64_t minMs, std::int64_t maxMs);

    SoakSettings m_settings;
    std::mt19937 m_random;
    SystemClock m_clock;
    Adapter::StandInPlatform m_platform;
    LoopbackProxy m_proxy;
    std::vector<std::size_t> m_links;                 ///< to the workers, then to the store, one for each node
    std::map<std::string, std::size_t> m_workerLinks; ///< by worker
    std::vector<Node> m_nodes;
    std::vector<LinkRestoration> m_linkRestorations;
    std::map<std::string, TimePoint> m_restartingWorkers; ///< restarting workers, and when each is reachable again
    std::vector<DueAction> m_dueActions;
    std::vector<std::string> m_workers;      ///< those that have joined and not left
    std::vector<std::string> m_spareWorkers; ///< those that have not joined yet
    std::vector<std::string> m_queues;       ///< prefixes of the queues' paths
    std::vector<std::unique_ptr<Job>> m_jobs;
    TimePoint m_nextDomainFaultAt{};
    bool m_hadFailingWorkers = false; ///< a worker has failed its tasks on purpose, so jobs may fail
    RequestSettings m_requestSettings;
    CurlTransport m_transport;
    Adapter::HttpCalls m_calls;
    SoakResult m_result;
};

} // namespace QuetzalRock::Soak
