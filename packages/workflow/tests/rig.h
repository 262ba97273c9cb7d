/**
 * Several nodes that share a store and a fleet of workers, all in memory, on a clock that tests advance.
 *
 * Index of this file
 *   DelayedCalls   callbacks that run at a later time
 *   FakeStore      a node's connection to the store, with fault injection
 *   FakePort       a node's connection to the workers, with fault injection
 *   FakeDecoder    registry entries and configuration
 *   RigNode, Rig   nodes, store and fleet; Rig::run() advances time in small steps
 *
 * Replies are delivered in the step after the call, or after FakeStore::answerTime. A call without a reply completes after CallTimeout, as Unknown
 * (store) or Unanswered (workers); a watch completes WatchReplyTimeout after its own wait.
 */
#pragma once

#include <base/errors.h>
#include <workflow/node.h>
#include <workflow/testing/fakefleet.h>
#include <workflow/testing/storebackend.h>

#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace QuetzalRock::Workflow {

using namespace std::chrono_literals;

constexpr Duration StepTime = 10ms;
constexpr Duration CallTimeout = 500ms;

inline std::uint64_t readEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/** Replies in transit: callbacks, each of which runs at its time. */
class DelayedCalls
{
public:
    explicit DelayedCalls(ManualClock &clock)
        : m_clock(clock)
    {
    }

    void schedule(Duration after, std::function<void()> callback)
    {
        m_calls.emplace(m_clock.now() + after, std::move(callback));
    }

    void deliver()
    {
        while (!m_calls.empty() && m_calls.begin()->first <= m_clock.now()) {
            const auto callback = std::move(m_calls.begin()->second);
            m_calls.erase(m_calls.begin());
            callback();
        }
    }

    /** Runs all callbacks now, in the order of their times, and those that they add. */
    void deliverAll()
    {
        while (!m_calls.empty()) {
            const auto callback = std::move(m_calls.begin()->second);
            m_calls.erase(m_calls.begin());
            callback();
        }
    }

    void clear()
    {
        m_calls.clear();
    }

private:
    ManualClock &m_clock;
    std::multimap<TimePoint, std::function<void()>> m_calls;
};

// ---------------------------------------------------------------------------------------------------------------------
// Store
// ---------------------------------------------------------------------------------------------------------------------

class FakeStore final : public RecordStore
{
public:
    FakeStore(StoreBackend &backend, ManualClock &clock)
        : m_backend(backend)
        , m_clock(clock)
        , m_replies(clock)
        , m_inTransit(clock)
    {
    }

    bool isRefusing = false;            ///< every call fails as NotTaken
    bool isSilent = false;              ///< calls are neither executed nor answered, also those that have been waiting
    Duration callTimeout = CallTimeout; ///< of calls without an answer, except watches
    Duration answerTime = StepTime;     ///< from the execution of a call to its answer, except watches
    std::function<bool(const StoreChange &)> isLost; ///< such changes are neither executed nor answered
    std::function<bool(const StoreChange &)>
        isDelayed;            ///< such changes are executed after lostChangeDelay without a reply
    std::string silentPrefix; ///< ranges and watches of it are neither executed nor answered; empty: none
    std::function<Duration()>
        changeDelay; ///< from a change to its execution; none: at once. Unanswered after callTimeout
    bool isLosingRenewalReplies = false;               ///< renewals of leases are executed and not answered
    int lostChangeReplies = 0;                         ///< number of changes to be executed without a reply
    Duration lostChangeDelay{};                        ///< delay of the execution of these changes
    std::function<void(const StoreChange &)> onChange; ///< called for each change that was executed

    void get(std::string_view key, StoreDone done) override
    {
        reply(done, [this, key = std::string(key)] {
            StoreReply it;
            const auto found = m_backend.items.find(key);
            it.status = found == m_backend.items.end() ? StoreStatus::NotFound : StoreStatus::Ok;
            if (found != m_backend.items.end()) {
                it.items.push_back(found->second);
            }
            it.revision = m_backend.revision;
            return it;
        });
    }

    void range(std::string_view prefix, std::string_view afterKey, StoreDone done) override
    {
        if (!silentPrefix.empty() && prefix == silentPrefix) {
            m_replies.schedule(callTimeout, [done] { done({}); });
            return;
        }
        reply(done, [this, prefix = std::string(prefix), after = std::string(afterKey)] {
            StoreReply it;
            it.status = StoreStatus::Ok;
            it.revision = m_backend.revision;
            for (const auto &[key, item] : m_backend.items) {
                if (key.starts_with(prefix) && key > after) {
                    if (it.items.size() == PageSize) {
                        it.hasMore = true;
                        break;
                    }
                    it.items.push_back(item);
                }
            }
            return it;
        });
    }

    void watch(std::string_view prefix, std::uint64_t after, Duration wait, StoreDone done) override
    {
        const bool isLostHere = isSilent || (!silentPrefix.empty() && prefix == silentPrefix);
        m_watches.push_back({std::string(prefix), after, m_clock.now() + wait, std::move(done), isLostHere});
    }

    void change(StoreChange change, StoreDone done) override
    {
        const bool isReachable = !isRefusing && !isSilent;
        if (isReachable && (lostChangeReplies > 0 || (isDelayed && isDelayed(change)))) {
            lostChangeReplies = std::max(0, lostChangeReplies - 1);
            m_inTransit.schedule(lostChangeDelay, [this, change] { execute(change); });
            m_replies.schedule(CallTimeout, [done] { done({}); });
            return;
        }
        if (isLost && isLost(change)) {
            m_replies.schedule(callTimeout, [done] { done({}); });
            return;
        }
        if (changeDelay && !isRefusing && !isSilent) {
            executeLater(std::move(change), done);
            return;
        }
        reply(done, [this, change = std::move(change)] { return execute(change); });
    }

    void grantLease(Duration lifetime, StoreDone done) override
    {
        reply(done, [this, lifetime] {
            StoreReply it;
            it.status = StoreStatus::Ok;
            it.lease = ++m_backend.lastLease;
            it.lifetime = lifetime;
            m_backend.leases[it.lease] = {m_clock.now() + lifetime, lifetime};
            return it;
        });
    }

    void renewLease(std::uint64_t lease, StoreDone done) override
    {
        const StoreDone lost
            = [this, done](const StoreReply &) { m_replies.schedule(CallTimeout, [done] { done({}); }); };
        reply(isLosingRenewalReplies ? lost : done, [this, lease] {
            StoreReply it;
            const auto found = m_backend.leases.find(lease);
            it.status = found == m_backend.leases.end() ? StoreStatus::NotFound : StoreStatus::Ok;
            if (found != m_backend.leases.end()) {
                found->second.first = m_clock.now() + found->second.second;
            }
            return it;
        });
    }

    void revokeLease(std::uint64_t lease, StoreDone done) override
    {
        reply(done, [this, lease] {
            m_backend.revokeLease(lease);
            StoreReply it;
            it.status = StoreStatus::Ok;
            return it;
        });
    }

    void deliver()
    {
        m_replies.deliver();
        std::vector<Watch> watches;
        watches.swap(m_watches);
        for (Watch &it : watches) {
            pollWatch(it);
        }
    }

    /** Executes delayed changes, also those of a process that has died or is frozen since. */
    void deliverInTransit()
    {
        m_inTransit.deliver();
    }

    /** Drops pending replies and watches: the calling process has died. */
    void dropPendingReplies()
    {
        m_replies.clear();
        m_watches.clear();
        ++m_process;
    }

private:
    static constexpr std::size_t PageSize = 20; ///< small, so that several pages are read
    struct Watch
    {
        std::string prefix;
        std::uint64_t after;
        TimePoint until;
        StoreDone done;
        bool isLost; ///< has met a silent store: stays without an answer
    };

    template<typename Execute>
    void reply(const StoreDone &done, Execute executeCall)
    {
        if (isSilent) {
            m_replies.schedule(callTimeout, [done] { done({}); });
        } else if (isRefusing) {
            m_replies.schedule(Duration::zero(), [done] {
                StoreReply it;
                it.status = StoreStatus::NotExecuted;
                done(it);
            });
        } else {
            const StoreReply it = executeCall(); // executed now, reply delivered in the next step
            m_replies.schedule(answerTime, [done, it] { done(it); });
        }
    }

    void executeLater(StoreChange change, const StoreDone &done)
    {
        const Duration delay = changeDelay();
        const bool isAnswered = delay + answerTime < callTimeout;
        m_inTransit.schedule(delay, [this, change = std::move(change), done, isAnswered, process = m_process] {
            const StoreReply it = execute(change);
            if (isAnswered && process == m_process) {
                m_replies.schedule(answerTime, [done, it] { done(it); });
            }
        });
        if (!isAnswered) {
            m_replies.schedule(callTimeout, [done] { done({}); });
        }
    }

    StoreReply execute(const StoreChange &change)
    {
        EXPECT_LE(change.conditions.size() + change.puts.size() + change.removals.size(), MaxChangeEntries);
        StoreReply it = m_backend.change(change);
        if (it.status == StoreStatus::Ok && onChange) {
            onChange(change);
        }
        return it;
    }

    void pollWatch(Watch &watch)
    {
        StoreReply it;
        watch.isLost = watch.isLost || isSilent || (!silentPrefix.empty() && watch.prefix == silentPrefix);
        if (watch.isLost || isRefusing) {
            if (m_clock.now() < watch.until + WatchReplyTimeout && !isRefusing) {
                m_watches.push_back(std::move(watch));
                return;
            }
            it.status = isRefusing ? StoreStatus::NotExecuted : StoreStatus::Unknown;
            watch.done(it);
            return;
        }
        it.status = watch.after < m_backend.historyFrom ? StoreStatus::NotFound : StoreStatus::Ok;
        for (const StoreItem &item : m_backend.history) {
            if (item.key.starts_with(watch.prefix) && item.revision > watch.after) {
                it.items.push_back(item);
            }
        }
        if (it.status == StoreStatus::Ok && it.items.empty() && m_clock.now() < watch.until) {
            m_watches.push_back(std::move(watch));
            return;
        }
        it.revision = m_backend.revision;
        watch.done(it);
    }

    StoreBackend &m_backend;
    ManualClock &m_clock;
    DelayedCalls m_replies;
    DelayedCalls m_inTransit; ///< changes that are executed later
    std::vector<Watch> m_watches;
    int m_process = 0; ///< number of the calling process, see dropPendingReplies()
};

// ---------------------------------------------------------------------------------------------------------------------
// Workers
// ---------------------------------------------------------------------------------------------------------------------

class FakePort final : public WorkerPort
{
public:
    FakePort(FakeFleet &fleet, ManualClock &clock)
        : m_fleet(fleet)
        , m_clock(clock)
        , m_replies(clock)
        , m_inTransit(clock)
    {
    }

    /** Workers answer a renewal that may wait when a run has ended, or after its wait; otherwise at once. */
    bool renewalsWait = false;
    bool isDisconnected = false;                 ///< this node reaches no worker
    std::set<WorkerId> unreachableWorkers;       ///< workers that this node does not reach
    std::set<WorkerId> fullWorkers;              ///< workers that reject each start for lack of capacity
    int lostStartReplies = 0;                    ///< number of starts that get no reply
    Duration lostStartDelay{};                   ///< delay of the execution of these starts; negative: never executed
    Duration lostStartTime = CallTimeout;        ///< after which they count as unanswered; less: the connection breaks
    int lostOrderReplies = 0;                    ///< number of renewals and stops that get no reply
    Duration lostOrderDelay{};                   ///< delay of the execution of these orders; negative: never executed
    bool lostStartsReachNextIncarnation = true;  ///< otherwise a connection ends with the worker's process
    bool lostOrdersReachNextIncarnation = false; ///< otherwise a connection ends with the worker's process
    bool connectsLate = false; ///< a call to a worker that is down is executed if it is back within CallTimeout
    std::map<WorkerId, Duration> renewReplyDelay; ///< additional delay of replies to renewals
    std::map<WorkerId, Duration> renewSendDelay;  ///< delay after which renewals reach the worker
    std::function<void()> beforeStart;            ///< called before each start is sent

    void
    start(const WorkerTarget &worker, const StartOrder &order, std::function<void(const OrderReply &)> done) override
    {
        if (beforeStart) {
            beforeStart();
        }
        if (fullWorkers.contains(worker.id)) {
            m_replies.schedule(StepTime, [done] { done({OrderStatus::InsufficientCapacity, 0}); });
            return;
        }
        if (lostStartReplies > 0) {
            --lostStartReplies;
            if (lostStartDelay >= Duration::zero()) {
                const std::int64_t startedAtMs = m_fleet.workers.at(worker.id).startedAtMs;
                m_inTransit.schedule(lostStartDelay, [this, worker, order, startedAtMs] {
                    if (lostStartsReachNextIncarnation || m_fleet.workers.at(worker.id).startedAtMs == startedAtMs) {
                        m_fleet.start(worker, order);
                    }
                });
            }
            m_replies.schedule(lostStartTime, [done] { done({}); });
            return;
        }
        send(
            worker, [this, worker, order] { return m_fleet.start(worker, order); }, std::move(done));
    }

    void stop(const WorkerTarget &worker, const RunName &run, std::function<void(const OrderReply &)> done) override
    {
        sendOrder(
            worker, [this, worker, run] { return m_fleet.stop(worker, run); }, std::move(done));
    }

    void throttle(const WorkerTarget &worker,
                  const RunName &run,
                  int percent,
                  std::function<void(const OrderReply &)> done) override
    {
        throttles.push_back(percent);
        const auto &runs = m_fleet.workers.at(worker.id).running;
        areThrottledRunsThere
            = areThrottledRunsThere
              && std::any_of(runs.begin(), runs.end(), [&run](const FakeRun &it) { return it.run == run; });
        const bool isLost = lostThrottles > 0;
        lostThrottles -= isLost ? 1 : 0;
        m_replies.schedule(StepTime, [done, isLost] {
            done(isLost ? OrderReply{} : OrderReply{OrderStatus::Accepted, 0});
        });
    }

    void
    renew(const WorkerTarget &worker, const RenewOrder &order, std::function<void(const RenewReply &)> done) override
    {
        if (const Duration delay = renewSendDelay[worker.id]; delay > Duration::zero()) {
            m_inTransit.schedule(delay, [this, worker, order, done = std::move(done)] {
                const RenewReply reply = m_fleet.renew(worker, order);
                m_replies.schedule(StepTime, [done, reply] { done(reply); });
            });
            return;
        }
        if (renewalsWait && order.wait > Duration::zero() && lostOrderReplies == 0 && isReached(worker.id)) {
            const RenewReply reply = m_fleet.renew(worker, order);
            if (reply.order.status == OrderStatus::Accepted && reply.report.ended.empty()) {
                m_waiting.push_back({worker.id, reply.report.startedAtMs, m_clock.now() + order.wait, std::move(done)});
            } else {
                m_replies.schedule(StepTime, [done, reply] { done(reply); });
            }
            return;
        }
        sendOrder(
            worker,
            [this, worker, order] { return m_fleet.renew(worker, order); },
            std::move(done),
            renewReplyDelay[worker.id]);
    }

    void deliver()
    {
        m_replies.deliver();
        connect();
        std::vector<WaitingRenewal> waiting;
        waiting.swap(m_waiting);
        for (WaitingRenewal &it : waiting) {
            const FakeWorker &worker = m_fleet.workers.at(it.worker);
            const bool isSameProcess = worker.startedAtMs == it.startedAtMs; // a connection ends with it
            if (isReached(it.worker) && isSameProcess && (!worker.ended.empty() || m_clock.now() >= it.until)) {
                it.done(m_fleet.report(worker)); // whatever tokens it has accepted meanwhile
            } else if (m_clock.now() >= it.until + CallTimeout) {
                it.done({});
            } else {
                m_waiting.push_back(std::move(it));
            }
        }
    }

    /** Executes delayed orders, also those of a process that has died or is frozen since. */
    void deliverInTransit()
    {
        m_inTransit.deliver();
    }

    void dropPendingReplies()
    {
        m_replies.clear();
        m_waiting.clear();
        m_connecting.clear();
    }

    std::vector<int> throttles;
    bool areThrottledRunsThere = true; ///< each throttle reached a worker that had the run
    int lostThrottles = 0;             ///< number of throttles to be left without an answer

private:
    struct WaitingRenewal
    {
        WorkerId worker;
        std::int64_t startedAtMs; ///< of the incarnation that has it
        TimePoint until;
        std::function<void(const RenewReply &)> done;
    };
    /** A call whose connection to a worker is not open yet. */
    struct Connecting
    {
        WorkerId worker;
        TimePoint until;
        std::function<void(bool isConnected)> done;
    };

    void connect()
    {
        std::vector<Connecting> calls;
        calls.swap(m_connecting);
        for (Connecting &it : calls) {
            if (isReached(it.worker) || m_clock.now() >= it.until) {
                it.done(isReached(it.worker));
            } else {
                m_connecting.push_back(std::move(it));
            }
        }
    }

    bool isReached(const WorkerId &worker) const
    {
        return !isDisconnected && !unreachableWorkers.contains(worker) && m_fleet.workers.at(worker).isReachable;
    }

    template<typename Act, typename Done>
    void send(const WorkerTarget &worker, Act act, Done done, Duration late = {})
    {
        using Reply = decltype(act());
        if (!isReached(worker.id)) {
            if (connectsLate) {
                m_connecting.push_back(
                    {worker.id, m_clock.now() + CallTimeout, [this, act, done, late](bool isConnected) {
                         const Reply reply = isConnected ? act() : Reply{};
                         m_replies.schedule(late, [done, reply] { done(reply); });
                     }});
                return;
            }
            m_replies.schedule(CallTimeout, [done] { done(Reply{}); });
            return;
        }
        const Reply reply = act();
        m_replies.schedule(StepTime + late, [done, reply] { done(reply); });
    }

    /** Sends a renewal or stop, unless its reply is to be lost. */
    template<typename Act, typename Done>
    void sendOrder(const WorkerTarget &worker, Act act, Done done, Duration late = {})
    {
        if (lostOrderReplies == 0) {
            send(worker, std::move(act), std::move(done), late);
            return;
        }
        --lostOrderReplies;
        if (lostOrderDelay >= Duration::zero()) {
            // A connection ends with the worker's process, so a later incarnation does not get the order.
            const auto executeLate = [this, worker, act, startedAtMs = m_fleet.workers.at(worker.id).startedAtMs] {
                if (lostOrdersReachNextIncarnation || m_fleet.workers.at(worker.id).startedAtMs == startedAtMs) {
                    act();
                }
            };
            m_inTransit.schedule(lostOrderDelay, executeLate);
        }
        using Reply = decltype(act());
        m_replies.schedule(CallTimeout, [done] { done(Reply{}); });
    }

    FakeFleet &m_fleet;
    ManualClock &m_clock;
    DelayedCalls m_replies;
    DelayedCalls m_inTransit; ///< orders that are executed later
    std::vector<WaitingRenewal> m_waiting;
    std::vector<Connecting> m_connecting;
};

// ---------------------------------------------------------------------------------------------------------------------
// Rig
// ---------------------------------------------------------------------------------------------------------------------

/** Decodes the items that Rig writes: ignores their values and returns the state of the fleet and the catalog. */
class FakeDecoder final : public RecordDecoder
{
public:
    explicit FakeDecoder(const FakeFleet &fleet)
        : m_fleet(fleet)
    {
    }

    Catalog catalog;
    std::map<WorkerId, WorkerRecord> staleEntries; ///< of workers that have not written their registry entries since

    std::string_view operatorPrefix() const override
    {
        return "operator/";
    }
    std::string_view registryPrefix() const override
    {
        return "workers/";
    }
    std::string_view catalogKey() const override
    {
        return "operator/config";
    }
    std::string_view evacuationPrefix() const override
    {
        return "operator/evacuate/";
    }
    void checkEvacuation(std::string_view text) const override
    {
        if (text == "unreadable") {
            throw InvalidArgument("evacuation", "unreadable");
        }
    }
    Catalog parseCatalog(std::string_view text) const override
    {
        if (text == "unreadable") {
            throw InvalidArgument("config", "unreadable");
        }
        return catalog;
    }
    /** Value of an entry that stays that of one incarnation; with any other value it is that of the present one. */
    static std::string bornAt(std::int64_t startedAtMs)
    {
        return std::string(BornPrefix) + std::to_string(startedAtMs);
    }
    WorkerRecord parseWorker(std::string_view id, std::string_view text) const override
    {
        if (const auto stale = staleEntries.find(std::string(id)); stale != staleEntries.end()) {
            return stale->second;
        }
        const FakeWorker &worker = m_fleet.workers.at(std::string(id));
        WorkerRecord it;
        it.id = worker.id;
        it.startedAtMs = worker.startedAtMs;
        if (text.starts_with(BornPrefix)) {
            it.startedAtMs = std::stoll(std::string(text.substr(BornPrefix.size())));
        }
        it.address = worker.address.empty() ? worker.id : worker.address;
        it.pool = worker.pool;
        it.rack = worker.rack;
        it.failureDomain = worker.failureDomain;
        it.condition = worker.condition;
        it.capacity = worker.capacity;
        it.leavesInMs = worker.leavesInMs;
        return it;
    }

private:
    static constexpr std::string_view BornPrefix = "born ";

    const FakeFleet &m_fleet;
};

struct RigNode
{
    RigNode(StoreBackend &backend, FakeFleet &fleet, ManualClock &clock)
        : store(backend, clock)
        , port(fleet, clock)
        , log(clock, 0, std::getenv("WORKFLOW_LOG") != nullptr ? 1e9 : 0)
    {
    }

    FakeStore store;
    FakePort port;
    EventLog log; ///< discards all lines unless WORKFLOW_LOG is set
    std::unique_ptr<Node> node;
    bool isFrozen = false;
};

class Rig
{
public:
    /**
     * With @p workersPerShard 0 there is one shard. Every two workers form a rack, and every two racks a failure
     * domain.
     */
    explicit Rig(int nodes = 2, int workers = 4, std::uint32_t workersPerShard = 0)
        : backend(clock)
        , fleet(clock)
        , decoder(fleet)
    {
        if (workersPerShard > 0) {
            shards.maxSingleShardWorkers = 0;
            shards.workersPerShard = workersPerShard;
        }
        decoder.catalog.version = 1;
        Queue queue;
        queue.name = "queue";
        queue.pathPrefix = "/q/";
        queue.pool = "pool";
        queue.maxFailures = 3;
        decoder.catalog.queues = {queue};
        backend.write("operator/config", "1");
        fleet.onReturn = [this](const WorkerId &former, const WorkerId &id) {
            if (former != id) {
                ++backend.revision;
                backend.remove("workers/" + former);
            }
            backend.write("workers/" + id, "back");
        };
        for (int i = 0; i < workers; ++i) {
            addWorker("w" + std::to_string(i), "r" + std::to_string(i / 2), "d" + std::to_string(i / 4));
        }
        for (int i = 0; i < nodes; ++i) {
            this->nodes.push_back(std::make_unique<RigNode>(backend, fleet, clock));
            boot(i);
        }
    }

    void addWorker(const WorkerId &id, const std::string &rack = "r", const std::string &failureDomain = "d")
    {
        FakeWorker worker;
        worker.id = id;
        worker.rack = rack;
        worker.failureDomain = failureDomain;
        fleet.workers[id] = worker;
        backend.write("workers/" + id, "1");
    }

    void boot(int i)
    {
        RigNode &it = *nodes[static_cast<std::size_t>(i)];
        NodeSettings settings;
        settings.name = "n" + std::to_string(i);
        settings.processorShare = processorShare;
        settings.bootId = std::to_string(++m_boots);
        settings.shards = shards;
        settings.scheduler = scheduler;
        settings.evacuation = evacuation;
        settings.peers = peers;
        if (peers.isEnabled) {
            settings.peers.address = peerAddress(i);
            settings.failureDomain = "d" + std::to_string(i / 2);
        }
        it.node = std::make_unique<Node>(settings, it.store, it.port, decoder, clock, it.log);
    }

    /** The worker starts again under its id, with a clock that begins at @p clockMs. Its registry entry is as before. */
    void restartWithClock(const WorkerId &id, std::int64_t clockMs = 0)
    {
        fleet.restartWithClock(id, clockMs);
    }

    /** The address at which node @p i takes forwarded requests. */
    static std::string peerAddress(int i)
    {
        return "10.0.0." + std::to_string(i) + ":80";
    }

    void kill(int i)
    {
        RigNode &it = *nodes[static_cast<std::size_t>(i)];
        it.store.dropPendingReplies();
        it.port.dropPendingReplies();
        it.node.reset();
    }

    void run(Duration time)
    {
        const TimePoint until = clock.now() + time;
        while (clock.now() < until) {
            clock.advance(StepTime);
            backend.expireLeases();
            fleet.step();
            for (const auto &it : nodes) {
                it->store.deliverInTransit();
                it->port.deliverInTransit();
                if (it->node && !it->isFrozen) {
                    it->store.deliver();
                    it->port.deliver();
                    it->node->tick(clock.now());
                }
            }
        }
    }

    /** Index of the node that leads @p shard with full authority; -1: none. */
    int leader(ShardId shard = 0) const
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const auto &node = nodes[i]->node;
            if (node && !nodes[i]->isFrozen && node->authority(shard, clock.now()) == Authority::Full) {
                return static_cast<int>(i);
            }
        }
        return -1;
    }

    static WorkflowSpec makeJob(const JobKey &key, std::uint32_t tasks, std::uint32_t steps = 1)
    {
        WorkflowSpec spec;
        spec.key = key;
        spec.payload = "payload";
        for (std::uint32_t i = 0; i < steps; ++i) {
            StepSpec step;
            step.taskCount = tasks;
            step.need = {1000, 1000, 0};
            step.estimateMs = 300;
            step.isCheckpointed = true;
            if (i > 0) {
                step.after = {i - 1};
            }
            spec.steps.push_back(step);
        }
        return spec;
    }

    /** Submits a job at node @p i; sets @p outcome when the node replies. */
    void submit(int i, const WorkflowSpec &spec, std::optional<IntakeOutcome> *outcome = nullptr)
    {
        Node &node = *nodes[static_cast<std::size_t>(i)]->node;
        node.submit(decoder.catalog.queues.front(), spec, clock.now() + 3s, [outcome](const IntakeReply &it) {
            if (outcome != nullptr) {
                *outcome = it.outcome;
            }
        });
    }

    /** Cancels a job at node @p i; sets @p outcome when the node replies. */
    void cancel(int i, const JobKey &key, std::optional<IntakeOutcome> *outcome = nullptr)
    {
        Node &node = *nodes[static_cast<std::size_t>(i)]->node;
        node.intake().cancel(key, clock.now() + 3s, [outcome](const IntakeReply &it) {
            if (outcome != nullptr) {
                *outcome = it.outcome;
            }
        });
    }

    /** The stored state of a job; none if no progress is stored yet. */
    std::optional<WorkflowState> state(const JobKey &key) const
    {
        const auto it = backend.items.find(std::string(ProgressPrefix) + key);
        return it == backend.items.end() ? std::nullopt : std::optional(decodeState(it->second.value));
    }

    /** The shards to which a task of the first occurrence belongs according to the store. */
    std::vector<ShardId> shardsOfTask(const JobKey &key, std::uint32_t step, std::uint32_t index) const
    {
        std::vector<ShardId> owners;
        const auto registration = backend.items.find(std::string(RegistrationPrefix) + key);
        if (registration == backend.items.end()) {
            return owners;
        }
        const Registration shards = decodeRegistration(registration->second.value);
        if (shards.shard) {
            JobState job;
            job.accepted = decodeAccepted(backend.items.at(makeShardKeys(*shards.shard).jobs + key).value);
            resetTasks(job);
            if (const auto it = backend.items.find(std::string(ProgressPrefix) + key); it != backend.items.end()) {
                decodeProgress(it->second.value, job);
            }
            if (!job.occurrences[0].steps[step].tasks[index].isGivenAway) {
                owners.push_back(*shards.shard);
            }
        }
        for (ShardId i = 0; i < shardMap().shards.size(); ++i) {
            if (backend.items.contains(givenTaskKey(makeShardKeys(i), key, step, index))) {
                owners.push_back(i);
            }
        }
        return owners;
    }

    /** The stored shard map. */
    ShardMap shardMap() const
    {
        const auto it = backend.items.find(std::string(ShardMapKey));
        return it == backend.items.end() ? ShardMap{} : decodeShardMap(it->second.value);
    }

    ManualClock clock;
    StoreBackend backend;
    FakeFleet fleet;
    FakeDecoder decoder;
    ShardSettings shards{80, 40, Duration::zero()};
    double processorShare = 1;     ///< of nodes that boot from now on
    WorkflowSettings scheduler;    ///< of nodes that boot from now on
    EvacuationSettings evacuation; ///< of nodes that boot from now on
    PeerSettings peers;            ///< of nodes that boot from now on; their addresses are set by boot()
    std::vector<std::unique_ptr<RigNode>> nodes;

private:
    int m_boots = 0;
};

} // namespace QuetzalRock::Workflow
