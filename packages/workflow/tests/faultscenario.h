/**
 * Randomised fault injection: one history is a sequence of random faults, which overlap, followed by a calm time.
 *
 * Index of this file
 *   HistorySettings   size and kind of a history
 *   FaultScenario     one history: faults, calm times, checks
 *
 * Faults of all histories
 *   nodes     crash, freeze, lose the store or some workers
 *   workers   restart, fail their runs, vanish from the registry
 *   calls     replies are lost, and orders and writes are executed late
 * Faults of histories with changes of leaders
 *   nodes     several leaders in a row are killed, resign, freeze, lose the store or their key; a node is cut off together
 *             with some workers from all others and from the store; the store is away for all
 *   workers   drain and leave for good, or leave without notice, while others join; their clocks run at different rates
 *   runs      of long-running tasks fail
 * Faults of histories with evacuations
 *   those of histories with changes of leaders, and failure domains are evacuated, also several at a time, and return
 *
 * Checks
 *   at any time      no task runs twice at the same time, or again after its acknowledged end
 *   in calm times    every long-running task runs that has room
 *   in calm times    every long-running task belongs to one shard
 *   at the end       every accepted job has ended, no rejected job was stored, nothing runs
 */
#pragma once

#include "rig.h"

#include <cstdlib>
#include <sstream>

namespace QuetzalRock::Workflow {

constexpr EvacuationSettings Evacuation{5s, 6s};
constexpr Duration DelayedOrderTime = 5500ms;    ///< until all delayed orders and writes have been executed
constexpr Duration PromptRestartTime = 8s;       ///< for long-running tasks if every worker can be read
constexpr Duration LongRunningRestartTime = 20s; ///< for long-running tasks; includes the wait for workers that left
constexpr Duration RecoveryTime = 60s;           ///< longer than all leases and grace periods together
constexpr std::uint32_t WorkersPerShard = 2;     ///< with odd seeds; even seeds use one shard
constexpr std::int64_t LargeTaskMillis = 9000;   ///< of a long-running task: a worker has room for one

struct HistorySettings
{
    int nodes = 3;
    int workers = 4;
    int bursts = 1;       ///< sequences of faults, each followed by a calm time
    int jobsPerBurst = 0; ///< submitted before the faults
    int eventsPerBurst = 60;
    std::uint32_t maxEventIntervalMs = 400;
    bool hasLeaderChanges = false; ///< with the faults of histories with changes of leaders, see above
    bool hasEvacuations = false;   ///< with evacuations of failure domains
    bool hasSeveralShards = false; ///< with even seeds as well
};

inline HistorySettings leaderHistory(std::uint64_t seed)
{
    HistorySettings it;
    it.nodes = 3 + static_cast<int>(seed / 2 % 4);
    it.workers = 4 + static_cast<int>(seed / 8 % 3) * 4;
    it.bursts = 2;
    it.jobsPerBurst = 8;
    it.eventsPerBurst = 60;
    it.hasLeaderChanges = true;
    return it;
}

inline HistorySettings evacuationHistory(std::uint64_t seed)
{
    HistorySettings it = leaderHistory(seed);
    it.workers = 12; // three failure domains
    it.hasEvacuations = true;
    return it;
}

class FaultScenario
{
public:
    FaultScenario(std::uint64_t seed, const HistorySettings &settings)
        : m_random(static_cast<std::mt19937::result_type>(seed))
        , m_settings(settings)
        , m_rig(settings.nodes, settings.workers, seed % 2 == 0 && !settings.hasSeveralShards ? 0 : WorkersPerShard)
    {
        for (const auto &[id, worker] : m_rig.fleet.workers) {
            m_workers.push_back(id);
        }
        if (settings.hasLeaderChanges) {
            for (const WorkerId &it : m_workers) {
                setRandomClockRate(it);
            }
        }
        if (settings.hasEvacuations) {
            m_rig.evacuation = Evacuation;
            rebootNodes();
        }
    }

    virtual ~FaultScenario() = default;
    FaultScenario(const FaultScenario &) = delete;
    FaultScenario &operator=(const FaultScenario &) = delete;

    void run()
    {
        for (const auto &it : m_rig.nodes) {
            it->store.onChange = [this](const StoreChange &change) {
                countTransfers(change);
                checkChange(change);
            };
        }
        advance(1s);
        for (int burst = 0; burst < m_settings.bursts; ++burst) {
            m_hasUnreadableWorkers = false;
            for (int i = 0; i < m_settings.eventsPerBurst; ++i) {
                applyEvent();
                if (m_settings.hasEvacuations && randomBelow(6) == 0) {
                    changeEvacuation();
                }
                advance(Duration(randomBelow(m_settings.maxEventIntervalMs) * 1000));
            }
            clearFaults();
            advance(DelayedOrderTime + PromptRestartTime);
            checkShardsOfTasks();
            if (!m_hasUnreadableWorkers) {
                checkLongRunningTasks();
            }
            advance(LongRunningRestartTime - PromptRestartTime);
            checkLongRunningTasks();
        }
        for (const JobKey &it : m_rig.fleet.longRunningJobs) {
            m_cancelled.insert(it);
            m_rig.cancel(0, it);
        }
        advance(RecoveryTime);
        checkGuarantees();
    }

    /** Number of transfers of a task between shards. */
    int transfers() const
    {
        return m_transfers;
    }

    /** Number of moves of a whole job between shards. */
    int jobMoves() const
    {
        return m_jobMoves;
    }

protected:
    void countTransfers(const StoreChange &change)
    {
        for (const StorePut &it : change.puts) {
            m_transfers += it.key.starts_with("in/") && it.key.find("/t/") != std::string::npos ? 1 : 0;
        }
        const bool isExpiry = change.puts.empty(); // of jobs that ended long ago
        for (const std::string &it : change.removals) {
            m_jobMoves += !isExpiry && it.starts_with("in/") && it.find("/j/") != std::string::npos ? 1 : 0;
        }
    }

    /** Called after each change of the store. */
    virtual void checkChange(const StoreChange &)
    {
    }

    void checkShardsOfTasks()
    {
        for (const JobKey &key : m_rig.fleet.longRunningJobs) {
            const auto state = m_rig.state(key);
            if (state && isFinal(*state)) {
                continue; // the progress of a job that has ended names no tasks
            }
            const auto registration = m_rig.backend.items.find(std::string(RegistrationPrefix) + key);
            if (!isStored(key) || !decodeRegistration(registration->second.value).shard) {
                continue;
            }
            for (std::uint32_t i = 0; i < m_taskCounts[key]; ++i) {
                EXPECT_EQ(m_rig.shardsOfTask(key, 0, i).size(), 1U) << key << ", task " << i;
            }
        }
    }

    std::uint32_t randomBelow(std::uint32_t n)
    {
        return m_random() % n;
    }

    Duration randomDuration(std::uint32_t minMs, std::uint32_t maxMs)
    {
        return std::chrono::milliseconds(minMs + randomBelow(maxMs - minMs));
    }

    int randomNode()
    {
        return static_cast<int>(randomBelow(static_cast<std::uint32_t>(m_settings.nodes)));
    }

    RigNode &node(int i)
    {
        return *m_rig.nodes[static_cast<std::size_t>(i)];
    }

    WorkerId randomWorker()
    {
        return m_workers[randomBelow(static_cast<std::uint32_t>(m_workers.size()))];
    }

    void setRandomClockRate(const WorkerId &id)
    {
        const std::array<double, 3> rates{MinWorkerClockRate, 1, 1.02};
        m_rig.fleet.workers[id].clockRate = rates[randomBelow(3)];
    }

    /** Runs nodes and workers, and the actions that become due. */
    void advance(Duration time)
    {
        const TimePoint until = m_rig.clock.now() + time;
        while (m_rig.clock.now() < until) {
            m_rig.run(StepTime);
            describeViolations();
            m_dueActions.deliver();
        }
    }

    void after(Duration time, std::function<void()> action)
    {
        m_dueActions.schedule(time, std::move(action));
    }

    void rebootNodes()
    {
        for (int i = 0; i < m_settings.nodes; ++i) {
            m_rig.kill(i);
            m_rig.boot(i);
        }
    }

    virtual void applyEvent()
    {
        m_settings.hasLeaderChanges &&randomBelow(2) == 0 ? applyLeaderEvent() : applyRandomEvent();
    }

    // -----------------------------------------------------------------------------------------------------------------
    // Faults of all histories
    // -----------------------------------------------------------------------------------------------------------------

    void applyRandomEvent()
    {
        const int i = randomNode();
        RigNode &it = node(i);
        switch (randomBelow(17)) {
        case 0:
        case 1:
        case 2:
        case 3:
            submit(i);
            break;
        case 4:
            it.node ? m_rig.kill(i) : m_rig.boot(i);
            break;
        case 5:
            it.isFrozen = !it.isFrozen;
            break;
        case 6:
            it.store.isRefusing = !it.store.isRefusing;
            break;
        case 7:
            it.store.isSilent = !it.store.isSilent;
            break;
        case 8:
            it.store.lostChangeReplies = static_cast<int>(randomBelow(4));
            it.store.lostChangeDelay = Duration(randomBelow(3000) * 1000);
            break;
        case 9:
            it.port.unreachableWorkers.insert(randomWorker());
            break;
        case 10:
            it.port.unreachableWorkers.clear();
            break;
        case 11:
            it.port.lostStartReplies = static_cast<int>(randomBelow(4));
            it.port.lostStartDelay = Duration((static_cast<std::int64_t>(randomBelow(6000)) - 500) * 1000);
            break;
        case 12:
            if (randomBelow(3) == 0) {
                const WorkerId id = randomWorker();
                m_rig.fleet.restartWorker(id);
                m_rig.backend.write("workers/" + id, "reborn");
            }
            break;
        case 13:
            m_rig.backend.dropHistory();
            break;
        case 14:
            cancelJob(i);
            break;
        case 15: { // the worker's registry entry expires or reappears
            const WorkerId id = randomWorker();
            if (m_rig.backend.items.contains("workers/" + id)) {
                unregisterWorker(id);
            } else {
                m_rig.backend.write("workers/" + id, "back");
            }
            break;
        }
        default:
            m_rig.fleet.workers[randomWorker()].failsAll = randomBelow(4) == 0;
        }
    }

    /** Requests the evacuation of a failure domain, or withdraws it. */
    void changeEvacuation()
    {
        const std::string key = "operator/evacuate/d" + std::to_string(randomBelow(3));
        if (m_rig.backend.items.contains(key)) {
            withdrawEvacuation(key);
        } else {
            m_rig.backend.write(key, "{}");
        }
    }

    void withdrawEvacuation(const std::string &key)
    {
        ++m_rig.backend.revision;
        m_rig.backend.remove(key);
    }

    void unregisterWorker(const WorkerId &id)
    {
        ++m_rig.backend.revision;
        m_rig.backend.remove("workers/" + id);
    }

    void cancelJob(int i)
    {
        if (node(i).node && !m_keys.empty()) {
            const JobKey key = m_keys[randomBelow(static_cast<std::uint32_t>(m_keys.size()))];
            m_cancelled.insert(key);
            m_rig.cancel(i, key);
        }
    }

    void submit(int i)
    {
        if (!node(i).node) {
            return;
        }
        const JobKey key = "job" + std::to_string(m_keys.size());
        m_keys.push_back(key);
        WorkflowSpec spec = Rig::makeJob(key, 1 + randomBelow(4), 1 + randomBelow(3));
        if (randomBelow(m_settings.hasLeaderChanges ? 2 : 5) == 0) {
            spec.steps.resize(1);
            spec.steps[0].isLongRunning = true;
            spec.steps[0].need.cpuMillis = m_settings.hasLeaderChanges
                                               ? spec.steps[0].need.cpuMillis * (1 + randomBelow(4))
                                           : randomBelow(2) == 0 ? LargeTaskMillis
                                                                 : spec.steps[0].need.cpuMillis;
            m_rig.fleet.longRunningJobs.insert(key);
            m_taskCounts[key] = spec.steps[0].taskCount;
        }
        m_specs[key] = spec;
        m_rig.submit(i, spec, &m_outcomes[key]);
    }

    void clearFaults()
    {
        m_dueActions.deliverAll();
        for (int i = 0; i < m_settings.nodes; ++i) {
            RigNode &it = node(i);
            it.isFrozen = false;
            it.store.isRefusing = false;
            it.store.isSilent = false;
            it.store.lostChangeReplies = 0;
            it.port.lostStartReplies = 0;
            it.port.lostOrderReplies = 0;
            it.port.unreachableWorkers.clear();
            if (!it.node) {
                m_rig.boot(i);
            }
        }
        for (int i = 0; m_settings.hasEvacuations && i < 3; ++i) {
            withdrawEvacuation("operator/evacuate/d" + std::to_string(i));
        }
        for (const WorkerId &it : m_workers) {
            m_rig.backend.write("workers/" + it, "back");
            m_rig.fleet.workers[it].failsAll = false;
        }
    }

    // -----------------------------------------------------------------------------------------------------------------
    // Faults of histories with changes of leaders
    // -----------------------------------------------------------------------------------------------------------------

    /** Each fault of these histories ends by itself, so that nodes and workers are in order most of the time. */
    void applyLeaderEvent()
    {
        RigNode &it = node(randomNode());
        switch (randomBelow(26)) {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4:
            submit(randomNode());
            break;
        case 5:
        case 6:
            changeLeaderRepeatedly();
            break;
        case 7:
        case 8:
            changeLeader();
            break;
        case 9:
        case 10:
            randomBelow(4) == 0 ? removeWorker(randomWorker()) : drainWorker(randomWorker());
            break;
        case 11:
        case 12:
        case 13:
            cutOffNodeWithWorkers();
            break;
        case 14:
            loseStore();
            break;
        case 15:
            failRuns();
            break;
        case 16:
            it.port.lostOrderReplies = static_cast<int>(randomBelow(8));
            it.port.lostOrderDelay = randomDelay();
            break;
        case 17:
            it.port.lostStartReplies = static_cast<int>(randomBelow(4));
            it.port.lostStartDelay = randomDelay();
            break;
        case 18:
            it.store.lostChangeReplies = static_cast<int>(randomBelow(4));
            it.store.lostChangeDelay = randomDuration(0, 3000);
            break;
        case 19:
            freeze(it, randomDuration(200, 12'000));
            break;
        case 20:
        case 21:
            cutOffWorkers({randomWorker(), randomWorker()}, randomDuration(200, 12'000));
            break;
        case 22: {
            const WorkerId id = randomWorker();
            m_rig.fleet.restartWorker(id);
            m_rig.backend.write("workers/" + id, "reborn");
            break;
        }
        case 23: {
            const WorkerId id = randomWorker();
            unregisterWorker(id);
            after(randomDuration(200, 4000), [this, id] { registerWorker(id); });
            break;
        }
        case 24: {
            FakeWorker &worker = m_rig.fleet.workers[randomWorker()];
            worker.failsAll = true;
            after(randomDuration(200, 3000), [&worker] { worker.failsAll = false; });
            break;
        }
        default:
            randomBelow(2) == 0 ? m_rig.backend.dropHistory() : cancelJob(randomNode());
        }
    }

    /** Of an order whose reply is lost; negative: the order is never executed. */
    Duration randomDelay()
    {
        return randomDuration(0, 5500) - 500ms;
    }

    void freeze(RigNode &it, Duration time)
    {
        it.isFrozen = true;
        after(time, [&it] { it.isFrozen = false; });
    }

    /** Each node loses each of these workers, or keeps it. */
    void cutOffWorkers(const std::set<WorkerId> &workers, Duration time)
    {
        for (int i = 0; i < m_settings.nodes; ++i) {
            std::set<WorkerId> lost;
            std::copy_if(workers.begin(), workers.end(), std::inserter(lost, lost.end()), [this](const WorkerId &) {
                return randomBelow(3) > 0;
            });
            loseWorkers(node(i).port, lost, time);
        }
    }

    static void keepWorkers(FakePort &port, const std::set<WorkerId> &workers)
    {
        std::erase_if(port.unreachableWorkers, [&workers](const WorkerId &it) { return workers.contains(it); });
    }

    void loseWorkers(FakePort &port, const std::set<WorkerId> &workers, Duration time)
    {
        port.unreachableWorkers.insert(workers.begin(), workers.end());
        after(time, [&port, workers] { keepWorkers(port, workers); });
    }

    /** Unless the worker has left meanwhile. */
    void registerWorker(const WorkerId &id)
    {
        if (std::find(m_workers.begin(), m_workers.end(), id) != m_workers.end()) {
            m_rig.backend.write("workers/" + id, "back");
        }
    }

    void changeLeaderRepeatedly()
    {
        Duration at{};
        for (std::uint32_t n = 2 + randomBelow(4); n > 0; --n) {
            after(at, [this] { changeLeader(); });
            at += randomDuration(100, 3000);
        }
    }

    ShardId randomShard()
    {
        return randomBelow(std::max(1U, static_cast<std::uint32_t>(m_rig.shardMap().shards.size())));
    }

    int randomLeader(ShardId shard)
    {
        const int leader = m_rig.leader(shard);
        return leader < 0 ? randomNode() : leader;
    }

    /** Ends the term of a shard's leader, or makes it lose what it needs to lead. */
    void changeLeader()
    {
        const ShardId shard = randomShard();
        const int i = randomLeader(shard);
        RigNode &it = node(i);
        switch (randomBelow(6)) {
        case 0:
            restartNode(i, Duration::zero());
            break;
        case 1:
        case 2:
            if (it.node) {
                it.node->beginDrain();
                restartNode(i, randomDuration(0, 1500));
            }
            break;
        case 3:
            freeze(it, randomDuration(200, 12'000));
            break;
        case 4:
            cutOffFromStore(it, randomDuration(500, 12'000));
            break;
        default:
            if (randomBelow(2) == 0) {
                cutOffFromStore(it, randomDuration(500, 12'000));
            }
            removeLeaderKey(shard);
        }
    }

    void restartNode(int i, Duration delay)
    {
        after(delay, [this, i] {
            if (node(i).node) {
                m_rig.kill(i);
            }
        });
        after(delay + randomDuration(50, 3000), [this, i] {
            if (!node(i).node) {
                m_rig.boot(i);
            }
        });
    }

    void cutOffFromStore(RigNode &it, Duration time)
    {
        it.store.isSilent = true;
        after(time, [&it] { it.store.isSilent = false; });
    }

    /** The key is deleted alone, or together with its lease. */
    void removeLeaderKey(ShardId shard)
    {
        const auto found = m_rig.backend.items.find(makeShardKeys(shard).leader);
        if (found == m_rig.backend.items.end()) {
            return;
        }
        if (randomBelow(2) == 0) {
            m_rig.backend.revokeLease(found->second.lease);
        } else {
            ++m_rig.backend.revision;
            m_rig.backend.remove(std::string(found->first));
        }
    }

    void cutOffNodeWithWorkers()
    {
        const int cutOff = randomBelow(2) == 0 ? randomNode() : randomLeader(randomShard());
        std::set<WorkerId> inside{randomWorker()};
        std::set<WorkerId> outside;
        for (const WorkerId &it : m_workers) {
            if (!inside.contains(it)) {
                (randomBelow(3) == 0 ? inside : outside).insert(it);
            }
        }
        const Duration time = randomDuration(500, 14'000);
        cutOffFromStore(node(cutOff), time);
        for (int i = 0; i < m_settings.nodes; ++i) {
            loseWorkers(node(i).port, i == cutOff ? outside : inside, time);
        }
    }

    /** The store is away for all nodes, or executes their changes without an answer. */
    void loseStore()
    {
        const std::uint32_t kind = randomBelow(3);
        const Duration time = randomDuration(500, 10'000);
        for (int i = 0; i < m_settings.nodes; ++i) {
            FakeStore &store = node(i).store;
            store.isSilent = store.isSilent || kind == 0;
            store.isRefusing = store.isRefusing || kind == 1;
            store.lostChangeReplies = kind == 2 ? 1000 : store.lostChangeReplies;
            after(time, [&store, kind] {
                store.isSilent = store.isSilent && kind != 0;
                store.isRefusing = store.isRefusing && kind != 1;
                store.lostChangeReplies = kind == 2 ? 0 : store.lostChangeReplies;
            });
        }
    }

    /** Some runs of a worker fail, of whatever jobs. */
    void failRuns()
    {
        FakeWorker &worker = m_rig.fleet.workers[randomWorker()];
        const std::vector<FakeRun> runs = worker.running;
        for (const FakeRun &it : runs) {
            if (randomBelow(2) == 0) {
                m_rig.fleet.end(worker, it.run, RunEnd::Failed);
            }
        }
    }

    void drainWorker(const WorkerId &id)
    {
        FakeWorker &worker = m_rig.fleet.workers[id];
        if (worker.condition == WorkerCondition::Draining) {
            return;
        }
        worker.condition = WorkerCondition::Draining;
        worker.leavesInMs = 300 + randomBelow(4000);
        m_rig.backend.write("workers/" + id, "draining");
        after(std::chrono::milliseconds(worker.leavesInMs), [this, id] { removeWorker(id); });
    }

    /** The worker exits for good; its registry entry goes later. Another worker joins before or after that. */
    void removeWorker(const WorkerId &id)
    {
        if (m_workers.size() == 1 || std::find(m_workers.begin(), m_workers.end(), id) == m_workers.end()) {
            return;
        }
        m_hasUnreadableWorkers = true;
        m_rig.fleet.removeWorker(id, randomBelow(4) == 0);
        std::erase(m_workers, id);
        after(randomDuration(0, 3000), [this, id] { unregisterWorker(id); });
        after(randomDuration(0, 4000), [this, old = id] { // it joins the rack, so that its shard does not run empty
            const WorkerId joining = "x" + std::to_string(++m_joined);
            const FakeWorker &former = m_rig.fleet.workers[old];
            m_rig.addWorker(joining, former.rack, former.failureDomain);
            setRandomClockRate(joining);
            m_workers.push_back(joining);
        });
    }

    // -----------------------------------------------------------------------------------------------------------------
    // Checks
    // -----------------------------------------------------------------------------------------------------------------

    /** When each violation was first seen, and on which workers its task runs then. */
    void describeViolations()
    {
        const auto &violations = m_rig.fleet.violations;
        for (; m_describedViolations < violations.size(); ++m_describedViolations) {
            const std::string &text = violations[m_describedViolations];
            std::ostringstream where;
            where << " at " << m_rig.clock.now().time_since_epoch() / 1ms;
            for (const auto &[id, worker] : m_rig.fleet.workers) {
                for (const FakeRun &it : worker.running) {
                    const std::string run = FakeFleet::text(it.run);
                    if (text.find(' ' + run.substr(0, run.find('/') + 1)) != std::string::npos) {
                        where << "; " << run << " on " << id << ", incarnation " << worker.startedAtMs << ", since "
                              << it.startedAt.time_since_epoch() / 1ms << ", lease until "
                              << worker.leaseUntil.time_since_epoch() / 1ms;
                    }
                }
            }
            m_violationDetails.emplace(text, where.str());
        }
    }

    bool isStored(const JobKey &key) const
    {
        return m_rig.backend.items.contains(std::string(RegistrationPrefix) + key) && !wasCancelledEarly(key);
    }

    /** Registered as cancelled before it was stored: it must never run. */
    bool wasCancelledEarly(const JobKey &key) const
    {
        const auto found = m_rig.backend.items.find(std::string(RegistrationPrefix) + key);
        return found != m_rig.backend.items.end() && decodeRegistration(found->second.value).isCancelledEarly;
    }

    bool isRunning(const TaskName &task) const
    {
        const auto &workers = m_rig.fleet.workers;
        return std::any_of(workers.begin(), workers.end(), [&task](const auto &worker) {
            const auto &runs = worker.second.running;
            return std::any_of(runs.begin(), runs.end(), [&task](const FakeRun &it) { return it.run.task == task; });
        });
    }

    /** Whether a worker that the job may use has twice the resources free that @p need names. */
    bool hasRoom(const Resources &need) const
    {
        return std::any_of(m_workers.begin(), m_workers.end(), [&](const WorkerId &id) {
            const FakeWorker &worker = m_rig.fleet.workers.at(id);
            Resources free = worker.capacity;
            for (const FakeRun &it : worker.running) {
                free -= m_specs.at(it.run.task.job).steps[it.run.task.step].need;
            }
            return worker.condition == WorkerCondition::Ready && (need + need).fitsIn(free);
        });
    }

    /** Whether the job's long-running tasks may wait for longer than others. */
    virtual bool mayWait(const JobKey &) const
    {
        return false;
    }

    /** Every long-running task runs whose job nobody has tried to cancel, if there is room for it. */
    void checkLongRunningTasks()
    {
        for (const JobKey &key : m_rig.fleet.longRunningJobs) {
            if (m_cancelled.contains(key) || !isStored(key) || mayWait(key)) {
                continue;
            }
            const StepSpec &step = m_specs.at(key).steps.front();
            for (std::uint32_t i = 0; i < step.taskCount; ++i) {
                EXPECT_TRUE(isRunning({key, 0, 0, i}) || !hasRoom(step.need))
                    << key << " task " << i << " does not run at " << m_rig.clock.now().time_since_epoch() / 1ms;
            }
        }
    }

    void checkGuarantees()
    {
        const auto &violations = m_rig.fleet.violations;
        for (const std::string &it : std::set(violations.begin(), violations.end())) {
            ADD_FAILURE() << it << m_violationDetails[it];
        }
        for (const JobKey &key : m_keys) {
            const bool isKnown = isStored(key);
            if (m_outcomes[key] == IntakeOutcome::Ok) {
                EXPECT_TRUE(isKnown) << key << " was accepted";
            }
            if (m_outcomes[key] == IntakeOutcome::NotAccepted) {
                EXPECT_FALSE(isKnown) << key << " was not accepted";
            }
            if (wasCancelledEarly(key)) {
                EXPECT_TRUE(m_cancelled.contains(key)) << key;
                EXPECT_FALSE(m_rig.fleet.startedJobs.contains(key)) << key << " ran though it was never stored";
            }
            if (isKnown) {
                const auto state = m_rig.state(key);
                EXPECT_TRUE(state && isFinal(*state)) << key << " has not ended";
                EXPECT_TRUE(state != WorkflowState::Cancelled || m_cancelled.contains(key)) << key;
            }
        }
        EXPECT_EQ(m_rig.fleet.runningTasks(), 0U);
    }

    std::mt19937 m_random;
    HistorySettings m_settings;
    Rig m_rig;
    DelayedCalls m_dueActions{m_rig.clock};
    std::vector<WorkerId> m_workers;     ///< those that have not left
    int m_joined = 0;                    ///< workers that have joined
    bool m_hasUnreadableWorkers = false; ///< a worker has left: a takeover may have to outwait it
    std::vector<JobKey> m_keys;
    std::map<JobKey, WorkflowSpec> m_specs;
    std::set<JobKey> m_cancelled;
    std::map<JobKey, std::uint32_t> m_taskCounts; ///< of long-running jobs
    std::size_t m_describedViolations = 0;
    std::map<std::string, std::string> m_violationDetails;
    int m_transfers = 0;
    int m_jobMoves = 0;
    std::map<JobKey, std::optional<IntakeOutcome>> m_outcomes;
};

} // namespace QuetzalRock::Workflow
