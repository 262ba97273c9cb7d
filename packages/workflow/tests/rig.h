/**
 * Several nodes over one store and a fleet of workers, all in memory, on a clock that tests advance.
 *
 * Index of this file
 *   StoreBackend   the store's content: items, revisions, leases, history
 *   FakeStore      one node's way to it, with faults
 *   FakeWorker     a worker that keeps the protocol: fences, leases, attempts, lists of runs and ends
 *   FakeFleet      all workers, and what must hold of them at any time
 *   FakePort       one node's way to the workers, with faults
 *   Rig            nodes, store, fleet; run() advances time in small steps
 *
 * Answers are delivered in the step after the call. Silence is answered as Unanswered after CallTimeout.
 */
#pragma once

#include <workflow/node.h>

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

/** Answers on their way; each is run at its time. */
class Postbox
{
public:
    explicit Postbox(ManualClock &clock)
        : m_clock(clock)
    {
    }

    void post(Duration after, std::function<void()> answer)
    {
        m_answers.emplace(m_clock.now() + after, std::move(answer));
    }

    void deliver()
    {
        while (!m_answers.empty() && m_answers.begin()->first <= m_clock.now()) {
            const auto answer = std::move(m_answers.begin()->second);
            m_answers.erase(m_answers.begin());
            answer();
        }
    }

    void clear()
    {
        m_answers.clear();
    }

private:
    ManualClock &m_clock;
    std::multimap<TimePoint, std::function<void()>> m_answers;
};

// ---------------------------------------------------------------------------------------------------------------------
// Store
// ---------------------------------------------------------------------------------------------------------------------

struct StoreBackend
{
    explicit StoreBackend(ManualClock &theClock)
        : clock(theClock)
    {
    }

    ManualClock &clock;
    std::uint64_t revision = 1;
    std::map<std::string, StoreItem> items;
    std::vector<StoreItem> history;
    std::uint64_t historyFrom = 0; ///< changes up to this are forgotten
    std::map<std::uint64_t, std::pair<TimePoint, Duration>> leases;
    std::uint64_t lastLease = 100;

    void write(const std::string &key, const std::string &value, std::uint64_t lease = 0)
    {
        ++revision;
        put(key, value, lease);
    }

    void put(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        StoreItem &it = items[key];
        it.created = it.created == 0 ? revision : it.created;
        it.key = key;
        it.value = value;
        it.revision = revision;
        it.lease = lease;
        history.push_back(it);
    }

    void remove(const std::string &key)
    {
        if (items.erase(key) > 0) {
            StoreItem it;
            it.key = key;
            it.revision = revision;
            it.isDeleted = true;
            history.push_back(it);
        }
    }

    void endLease(std::uint64_t lease)
    {
        ++revision;
        std::vector<std::string> keys;
        for (const auto &[key, item] : items) {
            if (item.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            remove(key);
        }
        leases.erase(lease);
    }

    void expireLeases()
    {
        std::vector<std::uint64_t> lapsed;
        for (const auto &[lease, it] : leases) {
            if (clock.now() >= it.first) {
                lapsed.push_back(lease);
            }
        }
        for (const std::uint64_t lease : lapsed) {
            endLease(lease);
        }
    }

    void dropHistory()
    {
        history.clear();
        historyFrom = revision;
    }

    StoreReply change(const StoreChange &change)
    {
        StoreReply reply;
        reply.status = StoreStatus::Ok;
        for (const StoreCondition &it : change.conditions) {
            const auto found = items.find(it.key);
            const std::uint64_t actual = found == items.end() ? 0 : found->second.revision;
            if (actual != it.revision) {
                reply.status = StoreStatus::Conflict;
            }
            if (found != items.end()) {
                reply.items.push_back(found->second);
            }
        }
        for (const StorePut &it : change.puts) {
            if (it.lease != 0 && !leases.contains(it.lease)) {
                reply.status = reply.status == StoreStatus::Ok ? StoreStatus::Missing : reply.status;
            }
        }
        EXPECT_LE(change.conditions.size() + change.puts.size() + change.removals.size(), MaxChangeEntries);
        if (reply.status != StoreStatus::Ok) {
            return reply;
        }
        reply.items.clear();
        reply.revision = ++revision;
        for (const StorePut &it : change.puts) {
            put(it.key, it.value, it.lease);
        }
        for (const std::string &it : change.removals) {
            remove(it);
        }
        return reply;
    }
};

class FakeStore final : public RecordStore
{
public:
    FakeStore(StoreBackend &backend, ManualClock &clock)
        : m_backend(backend)
        , m_clock(clock)
        , m_postbox(clock)
    {
    }

    bool isRefusing = false;                           ///< every call: not taken
    bool isSilent = false;                             ///< nothing is executed, nothing answered
    int loseAnswers = 0;                               ///< so many next changes are executed without an answer
    Duration applyLostLate{};                          ///< and executed so much later
    std::function<void(const StoreChange &)> onChange; ///< sees each change that was executed

    void get(std::string_view key, StoreDone done) override
    {
        reply(done, [this, key = std::string(key)] {
            StoreReply it;
            const auto found = m_backend.items.find(key);
            it.status = found == m_backend.items.end() ? StoreStatus::Missing : StoreStatus::Ok;
            if (found != m_backend.items.end()) {
                it.items.push_back(found->second);
            }
            it.revision = m_backend.revision;
            return it;
        });
    }

    void range(std::string_view prefix, std::string_view afterKey, StoreDone done) override
    {
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
        m_watches.push_back({std::string(prefix), after, m_clock.now() + wait, std::move(done)});
    }

    void change(StoreChange change, StoreDone done) override
    {
        if (!isRefusing && !isSilent && loseAnswers > 0) {
            --loseAnswers;
            m_postbox.post(applyLostLate, [this, change] { execute(change); });
            m_postbox.post(CallTimeout, [done] { done({}); });
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
        reply(done, [this, lease] {
            StoreReply it;
            const auto found = m_backend.leases.find(lease);
            it.status = found == m_backend.leases.end() ? StoreStatus::Missing : StoreStatus::Ok;
            if (found != m_backend.leases.end()) {
                found->second.first = m_clock.now() + found->second.second;
            }
            return it;
        });
    }

    void endLease(std::uint64_t lease, StoreDone done) override
    {
        reply(done, [this, lease] {
            m_backend.endLease(lease);
            StoreReply it;
            it.status = StoreStatus::Ok;
            return it;
        });
    }

    void deliver()
    {
        m_postbox.deliver();
        std::vector<Watch> watches;
        watches.swap(m_watches);
        for (Watch &it : watches) {
            settle(it);
        }
    }

    /** The process is gone: nobody hears the answers. */
    void forgetCallers()
    {
        m_postbox.clear();
        m_watches.clear();
    }

private:
    static constexpr std::size_t PageSize = 20; ///< small, so that several pages are read
    struct Watch
    {
        std::string prefix;
        std::uint64_t after;
        TimePoint until;
        StoreDone done;
    };

    template<typename Answer>
    void reply(const StoreDone &done, Answer answer)
    {
        if (isSilent) {
            m_postbox.post(CallTimeout, [done] { done({}); });
        } else if (isRefusing) {
            m_postbox.post(Duration::zero(), [done] {
                StoreReply it;
                it.status = StoreStatus::NotTaken;
                done(it);
            });
        } else {
            const StoreReply it = answer(); // executed now, heard in the next step
            m_postbox.post(StepTime, [done, it] { done(it); });
        }
    }

    StoreReply execute(const StoreChange &change)
    {
        StoreReply it = m_backend.change(change);
        if (it.status == StoreStatus::Ok && onChange) {
            onChange(change);
        }
        return it;
    }

    void settle(Watch &watch)
    {
        StoreReply it;
        if (isSilent || isRefusing) {
            if (m_clock.now() < watch.until && !isRefusing) {
                m_watches.push_back(std::move(watch));
                return;
            }
            it.status = isRefusing ? StoreStatus::NotTaken : StoreStatus::Unknown;
            watch.done(it);
            return;
        }
        it.status = watch.after < m_backend.historyFrom ? StoreStatus::Missing : StoreStatus::Ok;
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
    Postbox m_postbox;
    std::vector<Watch> m_watches;
};

// ---------------------------------------------------------------------------------------------------------------------
// Workers
// ---------------------------------------------------------------------------------------------------------------------

struct FakeRun
{
    RunName run;
    TimePoint startedAt;
    std::string checkpoint;
    int percent = 100;
};

struct FakeWorker
{
    WorkerId id;
    std::int64_t bornMs = 1;
    std::string pool = "pool";
    std::string rack = "r";
    std::string failureDomain = "d";
    Resources capacity{16'000, 64'000, 0};
    WorkerCondition condition = WorkerCondition::Ready;
    std::int64_t clockOffsetMs = 0;
    std::uint64_t fence = 0;
    TimePoint leaseUntil{};
    std::vector<FakeRun> running;
    std::deque<EndedEntry> ended;
    std::uint64_t lastSequence = 0;
    std::map<TaskName, std::uint64_t> barred; ///< highest attempt that ended, or was stopped, there
    bool isReachable = true;
    bool failsAll = false;
};

class FakeFleet
{
public:
    explicit FakeFleet(ManualClock &clock)
        : m_clock(clock)
    {
    }

    std::map<WorkerId, FakeWorker> workers;
    Duration workTime = 300ms; ///< of every task that ends
    std::set<JobKey> lasting;  ///< jobs whose tasks do not end
    std::set<JobKey> poisoned; ///< jobs whose tasks fail
    std::set<TaskName> done;   ///< ended as done, and seen by a leader
    std::uint64_t starts = 0;
    std::vector<std::string> faults; ///< what must never be

    std::int64_t clockMs(const FakeWorker &worker) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now().time_since_epoch()).count()
               + worker.clockOffsetMs;
    }

    /** Ends what is due, and checks that no task runs twice. */
    void step()
    {
        std::map<TaskName, int> running;
        for (auto &[id, worker] : workers) {
            const std::vector<FakeRun> runs = worker.running;
            for (const FakeRun &it : runs) {
                if (m_clock.now() >= worker.leaseUntil) {
                    end(worker, it.run, RunEnd::LeaseLapsed);
                } else if (worker.failsAll || poisoned.contains(it.run.task.job)) {
                    end(worker, it.run, RunEnd::Failed);
                } else if (!lasting.contains(it.run.task.job) && m_clock.now() >= it.startedAt + workTime) {
                    end(worker, it.run, RunEnd::Done);
                }
            }
            for (const FakeRun &it : worker.running) {
                if (++running[it.run.task] > 1) {
                    faults.push_back("runs twice: " + text(it.run));
                }
            }
        }
    }

    void end(FakeWorker &worker, const RunName &run, RunEnd how)
    {
        std::erase_if(worker.running, [&run](const FakeRun &it) { return it.run == run; });
        std::uint64_t &barred = worker.barred[run.task];
        barred = std::max(barred, run.attempt);
        const std::string checkpoint = how == RunEnd::Done ? "" : "saved-" + std::to_string(run.attempt);
        worker.ended.push_back({++worker.lastSequence, run, how, checkpoint});
    }

    /** The worker starts anew under its id: it runs nothing and knows nothing. */
    void rebirth(const WorkerId &id)
    {
        FakeWorker &worker = workers.at(id);
        worker.bornMs += 1000;
        worker.fence = 0;
        worker.running.clear();
        worker.ended.clear();
        worker.lastSequence = 0;
        worker.barred.clear();
    }

    OrderReply start(const WorkerTarget &target, const StartOrder &order)
    {
        FakeWorker &worker = workers.at(target.id);
        if (const auto rejection = rejectFence(worker, target)) {
            return *rejection;
        }
        if (clockMs(worker) > order.validUntilMs) {
            return {OrderStatus::TooLate, clockMs(worker)};
        }
        const auto known = std::find_if(worker.running.begin(), worker.running.end(), [&order](const FakeRun &it) {
            return it.run.task == order.run.task;
        });
        if (known != worker.running.end() && known->run == order.run) {
            return {OrderStatus::Accepted, clockMs(worker)};
        }
        const auto barred = worker.barred.find(order.run.task);
        if (barred != worker.barred.end() && barred->second >= order.run.attempt) {
            return {OrderStatus::Superseded, clockMs(worker)};
        }
        if (done.contains(order.run.task)) {
            faults.push_back("started after its end: " + text(order.run));
        }
        ++starts;
        prolong(worker, order.validUntilMs);
        worker.running.push_back({order.run, m_clock.now(), order.checkpoint});
        return {OrderStatus::Accepted, clockMs(worker)};
    }

    OrderReply stop(const WorkerTarget &target, const RunName &run)
    {
        FakeWorker &worker = workers.at(target.id);
        if (const auto rejection = rejectFence(worker, target)) {
            return *rejection;
        }
        const bool isRunning = std::any_of(
            worker.running.begin(), worker.running.end(), [&run](const FakeRun &it) { return it.run == run; });
        if (isRunning) {
            end(worker, run, RunEnd::Stopped);
        }
        std::uint64_t &barred = worker.barred[run.task];
        barred = std::max(barred, run.attempt);
        return {OrderStatus::Accepted, clockMs(worker)};
    }

    RenewReply renew(const WorkerTarget &target, const RenewOrder &order)
    {
        FakeWorker &worker = workers.at(target.id);
        RenewReply reply;
        if (const auto rejection = rejectFence(worker, target)) {
            reply.order = *rejection;
            return reply;
        }
        if (order.leaseUntilMs) {
            prolong(worker, *order.leaseUntilMs);
        }
        while (!worker.ended.empty() && worker.ended.front().sequence <= order.forgetUpTo) {
            if (worker.ended.front().how == RunEnd::Done) {
                done.insert(worker.ended.front().run.task);
            }
            worker.ended.pop_front();
        }
        reply.order = {OrderStatus::Accepted, clockMs(worker)};
        reply.report.clockMs = clockMs(worker);
        reply.report.bornMs = worker.bornMs;
        for (const FakeRun &it : worker.running) {
            reply.report.running.push_back({it.run, it.checkpoint, 50, 1000});
        }
        reply.report.ended.assign(worker.ended.begin(), worker.ended.end());
        return reply;
    }

    std::size_t runningTasks() const
    {
        std::size_t n = 0;
        for (const auto &[id, worker] : workers) {
            n += worker.running.size();
        }
        return n;
    }

    static std::string text(const RunName &run)
    {
        return run.task.job + "." + std::to_string(run.task.step) + "." + std::to_string(run.task.index) + "/"
               + std::to_string(run.attempt);
    }

private:
    std::optional<OrderReply> rejectFence(FakeWorker &worker, const WorkerTarget &target)
    {
        if (target.fence < worker.fence) {
            return OrderReply{OrderStatus::Fenced, clockMs(worker)};
        }
        worker.fence = target.fence;
        return std::nullopt;
    }

    void prolong(FakeWorker &worker, std::int64_t untilMs)
    {
        const auto left = std::chrono::milliseconds(std::min<std::int64_t>(untilMs - clockMs(worker), 10'000));
        worker.leaseUntil = std::max(worker.leaseUntil, m_clock.now() + left);
    }

    ManualClock &m_clock;
};

class FakePort final : public WorkerPort
{
public:
    FakePort(FakeFleet &fleet, ManualClock &clock)
        : m_fleet(fleet)
        , m_postbox(clock)
    {
    }

    bool isCutOff = false;                 ///< this node reaches no worker
    std::set<WorkerId> cutFrom;            ///< this node does not reach these
    int loseStarts = 0;                    ///< so many next starts get no answer
    Duration applyLostAfter{};             ///< and are executed so much later; negative: never
    std::map<WorkerId, Duration> readLate; ///< answers to renewals are heard so much later

    void
    start(const WorkerTarget &worker, const StartOrder &order, std::function<void(const OrderReply &)> done) override
    {
        if (loseStarts > 0) {
            --loseStarts;
            if (applyLostAfter >= Duration::zero()) {
                m_postbox.post(applyLostAfter, [this, worker, order] { m_fleet.start(worker, order); });
            }
            m_postbox.post(CallTimeout, [done] { done({}); });
            return;
        }
        send(
            worker, [this, worker, order] { return m_fleet.start(worker, order); }, std::move(done));
    }

    void stop(const WorkerTarget &worker, const RunName &run, std::function<void(const OrderReply &)> done) override
    {
        send(
            worker, [this, worker, run] { return m_fleet.stop(worker, run); }, std::move(done));
    }

    void
    throttle(const WorkerTarget &, const RunName &, int percent, std::function<void(const OrderReply &)> done) override
    {
        throttles.push_back(percent);
        m_postbox.post(StepTime, [done] { done({OrderStatus::Accepted, 0}); });
    }

    void
    renew(const WorkerTarget &worker, const RenewOrder &order, std::function<void(const RenewReply &)> done) override
    {
        send(
            worker,
            [this, worker, order] { return m_fleet.renew(worker, order); },
            std::move(done),
            readLate[worker.id]);
    }

    void deliver()
    {
        m_postbox.deliver();
    }

    void forgetCallers()
    {
        m_postbox.clear();
    }

    std::vector<int> throttles;

private:
    template<typename Act, typename Done>
    void send(const WorkerTarget &worker, Act act, Done done, Duration late = {})
    {
        using Reply = decltype(act());
        const bool isReached = !isCutOff && !cutFrom.contains(worker.id) && m_fleet.workers.at(worker.id).isReachable;
        if (!isReached) {
            m_postbox.post(CallTimeout, [done] { done(Reply{}); });
            return;
        }
        const Reply reply = act();
        m_postbox.post(StepTime + late, [done, reply] { done(reply); });
    }

    FakeFleet &m_fleet;
    Postbox m_postbox;
};

// ---------------------------------------------------------------------------------------------------------------------
// Rig
// ---------------------------------------------------------------------------------------------------------------------

/** Entries and configuration as the rig writes them: values are looked up, not parsed. */
class FakeDecoder final : public RecordDecoder
{
public:
    explicit FakeDecoder(const FakeFleet &fleet)
        : m_fleet(fleet)
    {
    }

    Catalog catalog;

    std::string_view operatorPrefix() const override
    {
        return "operator/";
    }
    std::string_view registryPrefix() const override
    {
        return "workers/";
    }
    bool isCatalog(std::string_view key) const override
    {
        return key == "operator/config";
    }
    Catalog parseCatalog(std::string_view) const override
    {
        return catalog;
    }
    WorkerRecord parseWorker(std::string_view id, std::string_view) const override
    {
        const FakeWorker &worker = m_fleet.workers.at(std::string(id));
        WorkerRecord it;
        it.id = worker.id;
        it.bornMs = worker.bornMs;
        it.address = worker.id;
        it.pool = worker.pool;
        it.rack = worker.rack;
        it.failureDomain = worker.failureDomain;
        it.condition = worker.condition;
        it.capacity = worker.capacity;
        it.leavesInMs = 2000;
        return it;
    }

private:
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
    EventLog log; ///< passes nothing, unless WORKFLOW_LOG is set
    std::unique_ptr<Node> node;
    bool isFrozen = false;
};

class Rig
{
public:
    /** @p workersPerShard 0: one shard. Else each two workers are a rack, and each two racks a failure domain. */
    explicit Rig(int nodes = 2, int workers = 4, std::uint32_t workersPerShard = 0)
        : backend(clock)
        , fleet(clock)
        , decoder(fleet)
    {
        if (workersPerShard > 0) {
            shards.singleUpTo = 0;
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
        settings.boot = std::to_string(++m_boots);
        settings.shards = shards;
        it.node = std::make_unique<Node>(settings, it.store, it.port, decoder, clock, it.log);
    }

    void kill(int i)
    {
        RigNode &it = *nodes[static_cast<std::size_t>(i)];
        it.store.forgetCallers();
        it.port.forgetCallers();
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
                if (it->node && !it->isFrozen) {
                    it->store.deliver();
                    it->port.deliver();
                    it->node->tick(clock.now());
                }
            }
        }
    }

    /** Index of the node that leads @p shard with firm authority; -1: none. */
    int leader(ShardId shard = 0) const
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const auto &node = nodes[i]->node;
            if (node && !nodes[i]->isFrozen && node->authority(shard, clock.now()) == Authority::Firm) {
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

    /** Hands a job in at node @p i; @p outcome is set when it is answered. */
    void submit(int i, const WorkflowSpec &spec, std::optional<IntakeOutcome> *outcome = nullptr)
    {
        Node &node = *nodes[static_cast<std::size_t>(i)]->node;
        node.submit(decoder.catalog.queues.front(), spec, clock.now() + 3s, [outcome](const IntakeReply &it) {
            if (outcome != nullptr) {
                *outcome = it.outcome;
            }
        });
    }

    void cancel(int i, const JobKey &key)
    {
        nodes[static_cast<std::size_t>(i)]->node->intake().cancel(key, clock.now() + 3s, [](const IntakeReply &) {});
    }

    /** As stored; none where there is no progress yet. */
    std::optional<WorkflowState> state(const JobKey &key) const
    {
        const auto it = backend.items.find(std::string(ProgressPrefix) + key);
        return it == backend.items.end() ? std::nullopt : std::optional(decodeState(it->second.value));
    }

    /** The map as stored. */
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
    std::vector<std::unique_ptr<RigNode>> nodes;

private:
    int m_boots = 0;
};

} // namespace QuetzalRock::Workflow
