#include "soak.h"

#include <standin/standinwire.h>
#include <wire.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

#include <csignal>
#include <sys/wait.h>

namespace QuetzalRock::Soak {

namespace {

using namespace std::chrono_literals;
using Adapter::HttpOutcome;
using Adapter::HttpReply;
using Adapter::StandInState;
using nlohmann::json;

constexpr std::string_view QueuePrefix = "/q/";
constexpr Duration CallTimeout = 3500ms;
constexpr Duration ExitTimeout = 6s; ///< from SIGTERM to a node's exit, as the platform allows
constexpr Duration PollInterval = 10ms;
constexpr int ActionIntervalMs = 250; ///< mean interval between actions: a new job or a fault

Adapter::StandInSettings platformSettings(const SoakSettings &settings)
{
    Adapter::StandInSettings it;
    it.workers = settings.workers;
    it.workersPerRack = 2;
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
    m_result.violations.push_back(text);
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
    const TimePoint settleBy = m_clock.now() + m_settings.settleTimeout;
    while (!isSettled() && m_clock.now() < settleBy) {
        pollFor(100ms);
    }
    checkFinalState();
    return m_result;
}

void SoakRun::setUp()
{
    m_platform.start();
    m_platform.addQueue("queue", std::string(QueuePrefix));
    for (const auto &[id, address] : m_platform.workerAddresses()) {
        m_links.push_back(m_proxy.addLink(portOf(address)));
        const std::string proxied = "127.0.0.1:" + std::to_string(m_proxy.port(m_links.back()));
        m_platform.withState(
            [&worker = id, &proxied](StandInState &state) { state.advertisedAddresses[worker] = proxied; });
    }
    for (int i = 0; i < m_settings.nodes; ++i) {
        Node node;
        node.storeLink = m_proxy.addLink(portOf(m_platform.storeAddress()));
        m_links.push_back(node.storeLink);
        node.process
            = std::make_unique<NodeProcess>(m_settings.files, "node" + std::to_string(i), m_proxy.port(node.storeLink));
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
    const std::uint32_t action = randomBelow(10);
    if (action < 4) {
        createJob();
        return;
    }
    ++m_result.faults;
    if (action < 6) {
        injectNodeFault();
    } else if (action < 8) {
        injectLinkFault();
    } else {
        injectWorkerFault();
    }
}

void SoakRun::injectNodeFault()
{
    const std::uint32_t fault = randomBelow(8);
    const bool affectsAllNodes = fault == 0 && randomBelow(4) == 0;
    const std::size_t chosen = randomBelow(static_cast<std::uint32_t>(m_nodes.size()));
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        Node &node = m_nodes[i];
        if ((!affectsAllNodes && i != chosen) || node.state != NodeState::Up) {
            continue;
        }
        node.changeAt = m_clock.now() + randomDuration(50, 3000);
        if (fault < 3) {
            node.process->signal(SIGKILL);
            node.state = NodeState::Down;
        } else if (fault < 6) {
            node.process->signal(SIGSTOP);
            node.state = NodeState::Suspended;
        } else {
            node.process->signal(SIGTERM);
            node.state = NodeState::Terminating;
            node.exitDeadline = m_clock.now() + ExitTimeout;
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
        }
    }
}

void SoakRun::injectWorkerFault()
{
    const std::string id = "w" + std::to_string(randomBelow(static_cast<std::uint32_t>(m_settings.workers)));
    const std::uint32_t fault = randomBelow(5);
    m_hadFailingWorkers = m_hadFailingWorkers || fault == 0;
    if (fault == 1) {
        m_restartingWorkers[id] = m_clock.now() + randomDuration(300, 4000);
    }
    m_platform.withState([&id, fault](StandInState &state) {
        switch (fault) {
        case 0:
            state.fleet.workers[id].failsAll = !state.fleet.workers[id].failsAll;
            break;
        case 1:
            state.fleet.restartWorker(id);
            state.fleet.workers[id].isReachable = false;
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
        if (it.state == NodeState::Terminating && now >= it.exitDeadline) {
            addViolation(it.process->name() + " did not exit in time after SIGTERM");
            it.process->signal(SIGKILL);
            it.state = NodeState::Down;
        }
        if (it.state == NodeState::Suspended && now >= it.changeAt) {
            it.process->signal(SIGCONT);
            it.state = NodeState::Up;
        } else if (it.state == NodeState::Down && now >= it.changeAt && !it.process->isRunning()) {
            it.process->takeExitStatus();
            it.process->start();
            it.state = NodeState::Up;
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
    restoreLinks(true);
    restoreWorkers(true);
    for (Node &it : m_nodes) {
        it.changeAt = m_clock.now();
    }
    m_platform.withState([](StandInState &state) {
        state.unregisteredWorkers.clear();
        for (auto &[id, worker] : state.fleet.workers) {
            worker.failsAll = false;
        }
    });
}

// ---------------------------------------------------------------------------------------------------------------------
// Callers
// ---------------------------------------------------------------------------------------------------------------------

void SoakRun::createJob()
{
    auto job = std::make_unique<Job>();
    std::array<char, 17> key{};
    std::snprintf(
        key.data(), key.size(), "%08x%08x", static_cast<unsigned>(m_random()), static_cast<unsigned>(m_random()));
    job->key = key.data();
    Workflow::WorkflowSpec spec;
    spec.payload = "soak";
    const std::uint32_t steps = 1 + randomBelow(3);
    for (std::uint32_t i = 0; i < steps; ++i) {
        Workflow::StepSpec step;
        step.taskCount = 1 + randomBelow(6);
        step.need = {1000 + randomBelow(3000), 500, 0};
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
    m_jobs.push_back(std::move(job));
}

std::string SoakRun::randomNodeAddress()
{
    return m_nodes[randomBelow(static_cast<std::uint32_t>(m_nodes.size()))].process->address();
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
    m_calls.send({"POST",
                  randomNodeAddress(),
                  std::string(QueuePrefix) + job.key,
                  job.body,
                  {{Adapter::CallerDeadlineHeader, "3000"}}},
                 CallTimeout,
                 [this, &job](const HttpReply &reply) {
                     job.hasCallInFlight = false;
                     job.nextCallAt = m_clock.now() + randomDuration(100, 500);
                     if (reply.outcome == HttpOutcome::Answered && reply.status == 200) {
                         job.isAccepted = true;
                     } else if (reply.outcome == HttpOutcome::Answered
                                && (reply.status == 503 || reply.status == 429)) {
                         job.isRefused = true;
                     } else if (reply.outcome != HttpOutcome::NotSent) {
                         job.mayBeStored = true; // submit the same job again, to any node
                     }
                 });
}

void SoakRun::queryJob(Job &job)
{
    m_calls.send({"GET", randomNodeAddress(), std::string(QueuePrefix) + job.key, {}, {}},
                 CallTimeout,
                 [this, &job](const HttpReply &reply) {
                     job.hasCallInFlight = false;
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
    m_calls.send({"DELETE",
                  randomNodeAddress(),
                  std::string(QueuePrefix) + job.key,
                  {},
                  {{Adapter::CallerDeadlineHeader, "3000"}}},
                 CallTimeout,
                 [this, &job](const HttpReply &reply) {
                     job.hasCallInFlight = false;
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
        superviseNodes();
        restoreLinks(false);
        restoreWorkers(false);
        sendDueCalls();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Final checks
// ---------------------------------------------------------------------------------------------------------------------

bool SoakRun::isSettled()
{
    const bool areJobsFinished = std::all_of(m_jobs.begin(), m_jobs.end(), [](const auto &it) {
        const bool isFinal = it->state == "completed" || it->state == "failed" || it->state == "cancelled";
        return !it->hasCallInFlight && (isFinal || (it->isRefused && !it->mayBeStored && !it->isAccepted));
    });
    return areJobsFinished && m_platform.withState([](StandInState &state) { return state.fleet.runningTasks() == 0; });
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
    for (Node &it : m_nodes) { // a node has to exit in time, with status 0
        it.process->signal(SIGTERM);
        it.state = NodeState::Terminating;
        it.exitDeadline = m_clock.now() + ExitTimeout;
        it.changeAt = TimePoint::max();
    }
    const auto isRunning = [](Node &it) { return it.process->isRunning(); };
    while (std::any_of(m_nodes.begin(), m_nodes.end(), isRunning)) {
        m_calls.poll(PollInterval);
        superviseNodes();
    }
    superviseNodes();
}

} // namespace QuetzalRock::Soak
