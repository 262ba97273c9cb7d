#include "soak.h"

#include <standin/standinwire.h>
#include <wire.h>
#include <workflow/shards.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <set>

#include <csignal>
#include <sys/wait.h>

namespace QuetzalRock::Soak {

namespace {

using namespace std::chrono_literals;
using Adapter::HttpCall;
using Adapter::HttpOutcome;
using Adapter::HttpReply;
using Adapter::StandInState;
using nlohmann::json;

constexpr Duration CallTimeout = 3500ms;
constexpr Duration ExitTimeout = 6s; ///< from SIGTERM to a node's exit, as the platform allows
constexpr Duration PollInterval = 10ms;
constexpr Duration LossSlack
    = 200ms;                       ///< a connection that ends so soon after a request may have ended before it was read
constexpr Duration StartTime = 1s; ///< a process that has not come to handle SIGTERM yet ends by it
constexpr Duration DisturbanceTime = 1s; ///< after a signal other than SIGTERM a connection may end at any time
constexpr int SpareWorkerDivisor = 2;    ///< for every so many workers one more may join
constexpr int MaxLongRunningJobs = 8;    ///< so that there is always room for all of them
constexpr int NotFoundStatus = 404;      ///< a node does not know the queue yet
constexpr std::uint32_t MaxLargeNeed
    = 9000; ///< CPU millis of a task of a large job, on top of 3000; a worker has 16000
constexpr std::uint32_t MaxDividedNeed
    = 6000; ///< CPU millis of long-running tasks of several shards, on top of 1000: two of them fit on a worker
constexpr int ActionIntervalMs = 250; ///< mean interval between actions: a new job or a fault

int failureDomains(const SoakSettings &settings)
{
    return settings.shards > 0 && settings.shards % 3 == 0 ? 3 : 2;
}

Adapter::StandInSettings platformSettings(const SoakSettings &settings)
{
    Adapter::StandInSettings it;
    it.workers = settings.workers + std::max(1, settings.workers / SpareWorkerDivisor);
    it.workersPerRack = 2;
    it.failureDomains = failureDomains(settings);
    return it;
}

/** In a divided fleet, two of their tasks, of three a job, for each worker. */
int maxLongRunningJobs(const SoakSettings &settings)
{
    return settings.shards == 0 ? MaxLongRunningJobs : settings.workers * 2 / 3;
}

NodeFiles nodeFiles(const SoakSettings &settings)
{
    NodeFiles it = settings.files;
    it.workersPerShard = settings.shards == 0 ? 0 : std::max(1, settings.workers / settings.shards);
    return it;
}

std::uint16_t portOf(const std::string &address)
{
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

} // namespace

SoakRun::SoakRun(const SoakSettings &settings)
    : m_settings(settings)
    , m_random(static_cast<std::mt19937::result_type>(settings.seed))
    , m_platform(m_clock, platformSettings(settings))
    , m_proxy(m_clock)
    , m_transport(m_requestSettings, m_clock)
    , m_calls(m_transport, m_clock)
{
}

std::uint32_t SoakRun::randomBelow(std::uint32_t n)
{
    return m_random() % n;
}

Duration SoakRun::randomDuration(std::int64_t minMs, std::int64_t maxMs)
{
    return std::chrono::milliseconds(minMs + randomBelow(static_cast<std::uint32_t>(maxMs - minMs)));
}

void SoakRun::addViolation(const std::string &text)
{
    if (std::find(m_result.violations.begin(), m_result.violations.end(), text) == m_result.violations.end()) {
        m_result.violations.push_back(text);
    }
}

SoakResult SoakRun::run()
{
    setUp();
    const TimePoint until = m_clock.now() + m_settings.faultTime;
    while (m_clock.now() < until) {
        pollFor(randomDuration(ActionIntervalMs / 2, ActionIntervalMs * 3 / 2));
        performAction();
    }
    endAllFaults();
    const TimePoint restartBy = m_clock.now() + m_settings.restartTimeout;
    while (!stoppedLongRunningJobs().empty() && m_clock.now() < restartBy) {
        pollFor(100ms);
    }
    for (const std::string &it : stoppedLongRunningJobs()) {
        addViolation(it + " has long-running tasks that do not run again");
    }
    for (const auto &it : m_jobs) {
        it->shouldCancel = it->shouldCancel || it->isLongRunning;
    }
    const TimePoint settleBy = m_clock.now() + m_settings.settleTimeout;
    while (!isSettled() && m_clock.now() < settleBy) {
        pollFor(100ms);
    }
    checkFinalState();
    return m_result;
}

void SoakRun::setUp()
{
    if (m_settings.shards > 0) { // the fleet is divided by the workers that are registered at first
        m_platform.withState([this](StandInState &state) {
            for (const auto &[id, worker] : state.fleet.workers) {
                if (std::stoi(id.substr(1)) >= m_settings.workers) {
                    state.unregisteredWorkers.insert(id);
                }
            }
        });
    }
    m_platform.start();
    addQueue();
    for (const auto &[id, address] : m_platform.workerAddresses()) {
        m_links.push_back(m_proxy.addLink(portOf(address)));
        m_workerLinks[id] = m_links.back();
        const std::string proxied = "127.0.0.1:" + std::to_string(m_proxy.port(m_links.back()));
        m_platform.withState(
            [&worker = id, &proxied](StandInState &state) { state.advertisedAddresses[worker] = proxied; });
        const bool isSpare = std::stoi(id.substr(1)) >= m_settings.workers;
        (isSpare ? m_spareWorkers : m_workers).push_back(id);
        if (isSpare) {
            m_platform.withState([&worker = id](StandInState &state) { state.unregisteredWorkers.insert(worker); });
        }
    }
    for (int i = 0; i < m_settings.nodes; ++i) {
        Node node;
        node.storeLink = m_proxy.addLink(portOf(m_platform.storeAddress()));
        m_links.push_back(node.storeLink);
        const std::string domain = "d" + std::to_string(m_settings.shards == 0 ? 0 : i % failureDomains(m_settings));
        node.process = std::make_unique<NodeProcess>(
            nodeFiles(m_settings), "node" + std::to_string(i), domain, m_proxy.port(node.storeLink));
        node.process->start();
        node.state = NodeState::Up;
        m_nodes.push_back(std::move(node));
    }
    m_proxy.start();
    pollFor(2s);
}

// ---------------------------------------------------------------------------------------------------------------------
// Faults
// ---------------------------------------------------------------------------------------------------------------------

void SoakRun::performAction()
{
    if (m_settings.shards > 0 && m_clock.now() >= m_nextDomainFaultAt) {
        m_nextDomainFaultAt = m_clock.now() + randomDuration(3000, 6000); // between them, moves begin and end
        injectDomainFault();
        return;
    }
    const std::uint32_t action = randomBelow(24);
    if (action < 9) {
        createJob();
        return;
    }
    ++m_result.faults;
    if (action < 12) {
        injectNodeFault();
    } else if (action < 14) {
        injectLeaderFaults();
    } else if (action < 18) {
        injectLinkFault();
    } else if (action < 21) {
        injectWorkerFault();
    } else if (action < 23) {
        drainWorker(randomWorker());
    } else {
        addQueue();
    }
}

void SoakRun::injectNodeFault()
{
    if (randomBelow(12) > 0) {
        disturbNode(randomNode());
        return;
    }
    killAllNodes();
}

void SoakRun::killAllNodes()
{
    ++m_result.allKilled;
    for (Node &it : m_nodes) {
        killNode(it);
    }
}

/**
 * Jobs and tasks that find no room leave their shard after two seconds. The kill comes before that, while they are on
 * their way, or after it, and sometimes again when the next leaders have taken over.
 */
void SoakRun::injectDomainFault()
{
    ++m_result.faults;
    ++m_result.domainFaults;
    const std::string domain
        = "d" + std::to_string(randomBelow(static_cast<std::uint32_t>(failureDomains(m_settings))));
    std::vector<std::string> workers = m_workers;
    m_platform.withState([&workers, &domain](StandInState &state) {
        std::erase_if(workers, [&](const auto &it) { return state.fleet.workers[it].failureDomain != domain; });
    });
    const TimePoint now = m_clock.now();
    const std::uint32_t fault = randomBelow(4);
    const TimePoint endsAt = now + randomDuration(2500, 9000);
    createLargeJobs();
    for (const std::string &it : workers) {
        m_dueActions.push_back({now + randomDuration(0, 500), [this, it, fault, endsAt] {
                                    if (std::find(m_workers.begin(), m_workers.end(), it) == m_workers.end()) {
                                        return; // it has left meanwhile
                                    }
                                    if (fault == 0) {
                                        restartWorker(it, std::max(endsAt - m_clock.now(), Duration::zero()));
                                    } else if (fault == 1) {
                                        cutOffWorker(it, endsAt);
                                    } else if (fault == 2) {
                                        drainWorker(it);
                                    }
                                }});
    }
    if (fault == 3) {
        m_dueActions.push_back({now + randomDuration(0, 2000), [this] { createLargeJobs(); }});
    }
    if (randomBelow(4) > 0) {
        const TimePoint killAt = now + randomDuration(0, 5500);
        m_dueActions.push_back({killAt, [this] { killAllNodes(); }});
        if (randomBelow(3) == 0) {
            m_dueActions.push_back({killAt + randomDuration(200, 5000), [this] { killAllNodes(); }});
        }
    }
}

void SoakRun::cutOffWorker(const std::string &id, TimePoint restoreAt)
{
    m_proxy.setMode(m_workerLinks[id], randomBelow(2) == 0 ? LinkMode::DropAll : LinkMode::Reset);
    m_linkRestorations.push_back({restoreAt, m_workerLinks[id]});
}

void SoakRun::createLargeJobs()
{
    const int jobs = static_cast<int>(4 + randomBelow(6)) * std::max(1, m_settings.workers / 12);
    for (int i = 0; i < jobs; ++i) {
        createJob(true);
    }
}

/** Signals several leaders in a row, or one of them several times. */
void SoakRun::injectLeaderFaults()
{
    TimePoint at = m_clock.now();
    for (std::uint32_t n = 2 + randomBelow(4); n > 0; --n) {
        m_dueActions.push_back({at, [this] { disturbNode(leader()); }});
        at += randomDuration(20, 2500);
    }
}

std::size_t SoakRun::leader()
{
    const Workflow::ShardId shard
        = m_settings.shards == 0 ? 0 : randomBelow(static_cast<std::uint32_t>(m_settings.shards));
    const std::string name = m_platform.withState([shard](StandInState &state) {
        const auto found = state.store.items.find(Workflow::makeShardKeys(shard).leader);
        return found == state.store.items.end() ? "" : found->second.value.substr(0, found->second.value.find(' '));
    });
    const auto found
        = std::find_if(m_nodes.begin(), m_nodes.end(), [&name](const Node &it) { return it.process->name() == name; });
    return found == m_nodes.end() ? randomNode() : static_cast<std::size_t>(found - m_nodes.begin());
}

void SoakRun::killNode(Node &node)
{
    node.process->signal(SIGKILL);
    node.state = NodeState::Down;
    node.isSuspended = false;
    node.startAt = m_clock.now() + randomDuration(50, 3000);
    node.lastDisturbedAt = m_clock.now();
}

void SoakRun::disturbNode(std::size_t index)
{
    Node &node = m_nodes[index];
    if (node.state == NodeState::Down) {
        return;
    }
    const TimePoint now = m_clock.now();
    const std::uint32_t fault = randomBelow(8);
    if (fault < 3) {
        killNode(node);
    } else if (fault < 6) {
        node.process->signal(SIGSTOP);
        node.isSuspended = true;
        node.continueAt = now + randomDuration(50, fault == 5 ? 12'000 : 3000);
        node.exitDeadline = node.continueAt + ExitTimeout;
        node.lastDisturbedAt = now;
    } else if (now >= node.startedAt + StartTime) {
        node.process->signal(SIGTERM);
        if (node.state == NodeState::Up) {
            node.state = NodeState::Terminating;
            node.exitDeadline = (node.isSuspended ? node.continueAt : now) + ExitTimeout;
            node.startAt = now + randomDuration(50, 3000);
        }
    }
}

void SoakRun::injectLinkFault()
{
    const bool affectsStoreLinks = randomBelow(6) == 0; // the links of all nodes to the store
    const auto mode = static_cast<LinkMode>(1 + randomBelow(4));
    const TimePoint restoreAt = m_clock.now() + randomDuration(200, 4000);
    const std::size_t chosen = m_links[randomBelow(static_cast<std::uint32_t>(m_links.size()))];
    for (const std::size_t it : m_links) {
        const bool isStoreLink
            = std::any_of(m_nodes.begin(), m_nodes.end(), [it](const Node &node) { return node.storeLink == it; });
        if (affectsStoreLinks ? isStoreLink : it == chosen) {
            m_proxy.setMode(it, mode, randomDuration(20, 400));
            m_linkRestorations.push_back({restoreAt, it});
            for (Node &node : m_nodes) {
                node.lastDisturbedAt = node.storeLink == it ? restoreAt : node.lastDisturbedAt;
            }
        }
    }
}

void SoakRun::injectWorkerFault()
{
    const std::string id = randomWorker();
    const std::uint32_t fault = randomBelow(5);
    m_hadFailingWorkers = m_hadFailingWorkers || fault == 0;
    if (fault == 1) {
        restartWorker(id, randomDuration(300, 4000));
        return;
    }
    m_platform.withState([&id, fault](StandInState &state) {
        switch (fault) {
        case 0:
            state.fleet.workers[id].failsAll = !state.fleet.workers[id].failsAll;
            break;
        case 2:
        case 3: // removes its registry entry, or writes it again
            if (state.unregisteredWorkers.erase(id) == 0) {
                state.unregisteredWorkers.insert(id);
            }
            break;
        default:
            state.store.dropHistory();
        }
    });
}

void SoakRun::restartWorker(const std::string &id, Duration downTime)
{
    m_restartingWorkers[id] = m_clock.now() + downTime;
    m_platform.withState([&id](StandInState &state) {
        state.fleet.restartWorker(id);
        state.fleet.workers[id].isReachable = false;
    });
}

/** The worker drains, then leaves for good. A spare worker joins before or after that. */
void SoakRun::drainWorker(const std::string &id)
{
    if (m_spareWorkers.empty()) {
        return;
    }
    const std::string joining = m_spareWorkers.back();
    m_spareWorkers.pop_back();
    m_dueActions.push_back({m_clock.now() + randomDuration(0, 4000), [this, joining] {
                                m_platform.withState(
                                    [&joining](StandInState &state) { state.unregisteredWorkers.erase(joining); });
                                m_workers.push_back(joining);
                            }});
    const std::int64_t leavesInMs = randomBelow(4) == 0 ? 0 : 300 + randomBelow(4000);
    m_platform.withState([&id, leavesInMs](StandInState &state) {
        state.fleet.workers[id].condition = Workflow::WorkerCondition::Draining;
        state.fleet.workers[id].leavesInMs = leavesInMs;
    });
    std::erase(m_workers, id);
    m_dueActions.push_back({m_clock.now() + std::chrono::milliseconds(leavesInMs), [this, id] { removeWorker(id); }});
}

/** Its registry entry goes later. */
void SoakRun::removeWorker(const std::string &id)
{
    m_restartingWorkers.erase(id);
    m_platform.withState([&id](StandInState &state) { state.fleet.removeWorker(id, false); });
    m_dueActions.push_back(
        {m_clock.now() + randomDuration(0, 3000),
         [this, id] { m_platform.withState([&id](StandInState &state) { state.unregisteredWorkers.insert(id); }); }});
}

void SoakRun::addQueue()
{
    const std::string name = "q" + std::to_string(m_queues.size());
    m_queues.push_back("/" + name + "/");
    m_platform.addQueue(name, m_queues.back());
}

void SoakRun::runDueActions(bool all)
{
    const TimePoint now = m_clock.now();
    for (std::size_t i = 0; i < m_dueActions.size();) { // by index: actions add others
        if (!all && now < m_dueActions[i].at) {
            ++i;
            continue;
        }
        const auto act = std::move(m_dueActions[i].act);
        m_dueActions.erase(m_dueActions.begin() + static_cast<std::ptrdiff_t>(i));
        act();
    }
}

/** Reaps and checks nodes that have exited, and continues or restarts nodes whose time has come. */
void SoakRun::superviseNodes()
{
    const TimePoint now = m_clock.now();
    for (Node &it : m_nodes) {
        const auto exitStatus = it.process->takeExitStatus();
        if (exitStatus && it.state == NodeState::Terminating) {
            if (*exitStatus != 0) {
                addViolation(it.process->name() + " exited after SIGTERM with wait status "
                             + std::to_string(*exitStatus));
            }
            it.state = NodeState::Down;
        } else if (exitStatus && it.state != NodeState::Down) {
            addViolation(it.process->name() + " exited unexpectedly with wait status " + std::to_string(*exitStatus));
            it.state = NodeState::Down;
        }
        if (it.state == NodeState::Terminating && !it.isSuspended && now >= it.exitDeadline) {
            addViolation(it.process->name() + " did not exit in time after SIGTERM");
            it.process->signal(SIGKILL);
            it.state = NodeState::Down;
        }
        if (it.isSuspended && now >= it.continueAt) {
            it.process->signal(SIGCONT);
            it.isSuspended = false;
            it.lastDisturbedAt = now;
        } else if (it.state == NodeState::Down && now >= it.startAt && !it.process->isRunning()) {
            it.process->takeExitStatus();
            it.process->start();
            it.state = NodeState::Up;
            it.isSuspended = false;
            it.startedAt = now;
            it.lastDisturbedAt = now;
        }
    }
}

void SoakRun::restoreLinks(bool all)
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_linkRestorations, [&](const LinkRestoration &it) {
        if (all || now >= it.at) {
            m_proxy.setMode(it.link, LinkMode::Pass);
        }
        return all || now >= it.at;
    });
}

void SoakRun::restoreWorkers(bool all)
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_restartingWorkers, [&](const auto &it) {
        const bool isBack = all || now >= it.second;
        if (isBack) {
            m_platform.withState([&it](StandInState &state) { state.fleet.workers[it.first].isReachable = true; });
        }
        return isBack;
    });
}

void SoakRun::endAllFaults()
{
    runDueActions(true);
    restoreLinks(true);
    restoreWorkers(true);
    for (Node &it : m_nodes) {
        it.startAt = m_clock.now();
        it.continueAt = m_clock.now();
    }
    m_platform.withState([this](StandInState &state) {
        for (const std::string &it : m_workers) {
            state.unregisteredWorkers.erase(it);
        }
        for (auto &[id, worker] : state.fleet.workers) {
            worker.failsAll = false;
        }
    });
}

// ---------------------------------------------------------------------------------------------------------------------
// Callers
// ---------------------------------------------------------------------------------------------------------------------

void SoakRun::createJob(bool isLarge)
{
    auto job = std::make_unique<Job>();
    std::array<char, 17> key{};
    std::snprintf(
        key.data(), key.size(), "%08x%08x", static_cast<unsigned>(m_random()), static_cast<unsigned>(m_random()));
    job->key = key.data();
    Workflow::WorkflowSpec spec;
    spec.payload = "soak";
    const auto longRunning
        = std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &it) { return it->isLongRunning; });
    job->isLongRunning = randomBelow(3) == 0 && longRunning < maxLongRunningJobs(m_settings);
    const std::uint32_t steps = job->isLongRunning ? 1 : 1 + randomBelow(3);
    for (std::uint32_t i = 0; i < steps; ++i) {
        Workflow::StepSpec step;
        step.isLongRunning = job->isLongRunning;
        step.taskCount = 1 + randomBelow(step.isLongRunning ? 3 : 6);
        step.need = {1000 + randomBelow(step.isLongRunning ? 1000 : 3000), 500, 0};
        if (m_settings.shards > 0 && step.isLongRunning) {
            step.need.cpuMillis = 1000 + randomBelow(MaxDividedNeed);
        } else if (isLarge) {
            step.need.cpuMillis = 3000 + randomBelow(MaxLargeNeed);
        }
        step.estimateMs = 300;
        step.isCheckpointed = true;
        if (i > 0) {
            step.after = {i - 1};
        }
        job->taskCount += static_cast<int>(step.taskCount);
        spec.steps.push_back(std::move(step));
    }
    job->body = Adapter::jobBody(spec);
    job->shouldCancel = randomBelow(8) == 0;
    job->path = m_queues[randomBelow(static_cast<std::uint32_t>(m_queues.size()))] + job->key;
    job->node = randomNode();
    if (job->isLongRunning) {
        m_platform.withState([&job](StandInState &state) { state.fleet.longRunningJobs.insert(job->key); });
    }
    m_jobs.push_back(std::move(job));
}

std::size_t SoakRun::randomNode()
{
    return randomBelow(static_cast<std::uint32_t>(m_nodes.size()));
}

std::string SoakRun::randomWorker()
{
    return m_workers[randomBelow(static_cast<std::uint32_t>(m_workers.size()))];
}

/** Sends a call about a job to the node that its caller keeps to, or from then on to another one if that is gone. */
void SoakRun::send(Job &job, std::string method, std::string body, std::function<void(const HttpReply &)> done)
{
    const Node &node = m_nodes[job.node];
    HttpCall call{std::move(method), node.process->address(), job.path, std::move(body), {}};
    if (call.method != "GET") {
        call.headers = {{Adapter::CallerDeadlineHeader, "3000"}};
    }
    const auto onReply = [this, &job, &node, sentAt = m_clock.now(), done = std::move(done)](const HttpReply &reply) {
        job.hasCallInFlight = false;
        if (reply.outcome != HttpOutcome::Answered) {
            checkConnectionLoss(job, node, sentAt, reply);
            job.node = randomNode();
        }
        done(reply);
    };
    m_calls.send(std::move(call), CallTimeout, onReply);
}

/** A node that is only asked to exit answers each request that it has read. */
void SoakRun::checkConnectionLoss(const Job &job, const Node &node, TimePoint sentAt, const HttpReply &reply)
{
    const Duration time = m_clock.now() - sentAt;
    const bool isDisturbed = node.isSuspended || node.lastDisturbedAt >= sentAt - DisturbanceTime;
    if (reply.outcome == HttpOutcome::Unanswered && !isDisturbed && time > LossSlack
        && time < CallTimeout - LossSlack) {
        addViolation("a call about " + job.key + " was broken off by " + node.process->name() + " after "
                     + std::to_string(time / 1ms) + " ms");
    }
}

void SoakRun::sendDueCalls()
{
    const TimePoint now = m_clock.now();
    for (const auto &it : m_jobs) {
        const bool isFinished = (it->isRefused && !it->mayBeStored) || it->state == "completed" || it->state == "failed"
                                || it->state == "cancelled";
        if (it->hasCallInFlight || isFinished || now < it->nextCallAt) {
            continue;
        }
        it->hasCallInFlight = true;
        if (!it->isAccepted) {
            submitJob(*it);
        } else if (it->shouldCancel && !it->isCancelled) {
            cancelJob(*it);
        } else {
            queryJob(*it);
        }
    }
}

void SoakRun::submitJob(Job &job)
{
    send(job, "POST", job.body, [this, &job](const HttpReply &reply) {
        job.nextCallAt = m_clock.now() + randomDuration(100, 500);
        if (reply.outcome == HttpOutcome::Answered && reply.status == 200) {
            job.isAccepted = true;
        } else if (reply.outcome == HttpOutcome::Answered && (reply.status == 503 || reply.status == 429)) {
            job.isRefused = true;
        } else if (reply.outcome != HttpOutcome::NotSent && reply.status != NotFoundStatus) {
            job.mayBeStored = true; // submit the same job again, to any node
        }
    });
}

void SoakRun::queryJob(Job &job)
{
    send(job, "GET", {}, [this, &job](const HttpReply &reply) {
        job.nextCallAt = m_clock.now() + randomDuration(200, 800);
        if (reply.outcome == HttpOutcome::Answered && reply.status == 410) {
            addViolation(job.key + " was accepted, but a node answers that it does not exist");
        } else if (reply.outcome == HttpOutcome::Answered && reply.status == 200) {
            checkReportedState(job, reply.body);
        }
    });
}

void SoakRun::checkReportedState(Job &job, const std::string &text)
{
    const json body = json::parse(text, nullptr, false);
    job.state = body.is_object() ? body.value("state", "") : "";
    if (job.state == "completed") {
        const auto ended = m_platform.withState([&job](StandInState &state) {
            return std::count_if(state.fleet.completedTasks.begin(),
                                 state.fleet.completedTasks.end(),
                                 [&job](const auto &it) { return it.job == job.key; });
        });
        if (ended != job.taskCount) {
            addViolation(job.key + " is reported as completed, but only " + std::to_string(ended) + " of "
                         + std::to_string(job.taskCount) + " tasks have completed");
        }
    } else if (job.state == "failed" && !m_hadFailingWorkers) {
        addViolation(job.key + " is reported as failed, but no worker has failed its tasks on purpose");
    } else if (job.state == "cancelled" && !job.shouldCancel) {
        addViolation(job.key + " is reported as cancelled, but was not to be cancelled");
    }
}

void SoakRun::cancelJob(Job &job)
{
    send(job, "DELETE", {}, [this, &job](const HttpReply &reply) {
        job.nextCallAt = m_clock.now() + randomDuration(100, 500);
        job.isCancelled = reply.outcome == HttpOutcome::Answered && reply.status == 200;
        if (reply.outcome == HttpOutcome::Answered && reply.status == 410) {
            addViolation(job.key + " was accepted, but its cancellation was answered with 410");
        }
    });
}

void SoakRun::pollFor(Duration time)
{
    const TimePoint until = m_clock.now() + time;
    while (m_clock.now() < until) {
        m_calls.poll(PollInterval);
        runDueActions(false);
        superviseNodes();
        restoreLinks(false);
        restoreWorkers(false);
        sendDueCalls();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Final checks
// ---------------------------------------------------------------------------------------------------------------------

std::vector<std::string> SoakRun::stoppedLongRunningJobs()
{
    std::map<std::string, int> running;
    m_platform.withState([&running](StandInState &state) {
        for (const auto &[id, worker] : state.fleet.workers) {
            for (const auto &it : worker.running) {
                ++running[it.run.task.job];
            }
        }
    });
    std::vector<std::string> list;
    for (const auto &it : m_jobs) {
        if (it->isLongRunning && it->isAccepted && !it->shouldCancel && running[it->key] < it->taskCount) {
            list.push_back(it->key);
        }
    }
    return list;
}

bool SoakRun::isSettled()
{
    const bool areJobsFinished = std::all_of(m_jobs.begin(), m_jobs.end(), [](const auto &it) {
        const bool isFinal = it->state == "completed" || it->state == "failed" || it->state == "cancelled";
        return !it->hasCallInFlight && (isFinal || (it->isRefused && !it->mayBeStored && !it->isAccepted));
    });
    return areJobsFinished && m_platform.withState([](StandInState &state) { return state.fleet.runningTasks() == 0; });
}

void SoakRun::countMoves()
{
    const auto has
        = [](const std::string &line, std::string_view text) { return line.find(text) != std::string::npos; };
    std::set<std::string> shards;
    for (const Node &it : m_nodes) {
        std::ifstream log(m_settings.files.folder + "/" + it.process->name() + ".log");
        for (std::string line; std::getline(log, line);) {
            m_result.jobsMoved += has(line, " event=job_moved ") ? 1 : 0;
            m_result.tasksGiven += has(line, " event=task_given ") ? 1 : 0;
            m_result.tasksTaken += has(line, " event=task_taken ") ? 1 : 0;
            if (const std::size_t at = line.find(" shard=");
                at != std::string::npos && has(line, " event=leader_elected ")) {
                shards.insert(line.substr(at, line.find(' ', at + 1) - at));
            }
        }
    }
    m_result.shards = shards.size();
}

void SoakRun::checkFinalState()
{
    m_platform.withState([this](StandInState &state) {
        for (const std::string &it : state.fleet.violations) {
            addViolation(it);
        }
        for (const auto &it : m_jobs) {
            m_result.accepted += it->isAccepted ? 1 : 0;
            const bool wasRefused = !it->isAccepted && !it->mayBeStored && it->isRefused;
            m_result.refused += wasRefused ? 1 : 0;
            if (!it->isAccepted && !wasRefused) {
                addViolation(it->key + " was neither accepted nor refused in the settle time");
            }
            if (wasRefused && state.fleet.startedJobs.contains(it->key)) {
                addViolation(it->key + " was started, although every submission was refused");
            }
            if (it->isAccepted && it->state != "completed" && it->state != "failed" && it->state != "cancelled") {
                addViolation(it->key + " was accepted, but has not ended; its last reported state is '" + it->state
                             + "'");
            }
        }
        if (state.fleet.runningTasks() > 0) {
            addViolation(std::to_string(state.fleet.runningTasks()) + " tasks are still running after the settle time");
        }
        m_result.starts = state.fleet.starts;
    });
    countMoves();
    for (Node &it : m_nodes) { // a node has to exit in time, with status 0
        it.process->signal(SIGTERM);
        it.state = NodeState::Terminating;
        it.exitDeadline = m_clock.now() + ExitTimeout;
        it.startAt = TimePoint::max();
    }
    const auto isRunning = [](Node &it) { return it.process->isRunning(); };
    while (std::any_of(m_nodes.begin(), m_nodes.end(), isRunning)) {
        m_calls.poll(PollInterval);
        superviseNodes();
    }
    superviseNodes();
}

} // namespace QuetzalRock::Soak
