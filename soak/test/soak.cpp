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

constexpr std::string_view Prefix = "/q/";
constexpr Duration CallLimit = 3500ms;
constexpr Duration EndLimit = 6s; ///< of a node that is asked to end, as the platform gives it
constexpr Duration PollEvery = 10ms;
constexpr int ActionEveryMs = 250; ///< on average

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

std::uint32_t SoakRun::below(std::uint32_t n)
{
    return m_random() % n;
}

Duration SoakRun::between(std::int64_t leastMs, std::int64_t mostMs)
{
    return std::chrono::milliseconds(leastMs + below(static_cast<std::uint32_t>(mostMs - leastMs)));
}

void SoakRun::broken(const std::string &what)
{
    m_verdict.broken.push_back(what);
}

SoakVerdict SoakRun::play()
{
    setUp();
    const TimePoint until = m_clock.now() + m_settings.time;
    while (m_clock.now() < until) {
        pollFor(between(ActionEveryMs / 2, ActionEveryMs * 3 / 2));
        act();
    }
    healAll();
    const TimePoint settleBy = m_clock.now() + m_settings.settleTime;
    while (!isSettled() && m_clock.now() < settleBy) {
        pollFor(100ms);
    }
    check();
    return m_verdict;
}

void SoakRun::setUp()
{
    m_platform.start();
    m_platform.addQueue("queue", std::string(Prefix));
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

void SoakRun::act()
{
    const std::uint32_t what = below(10);
    if (what < 4) {
        newJob();
        return;
    }
    ++m_verdict.faults;
    if (what < 6) {
        actOnNode();
    } else if (what < 8) {
        actOnLink();
    } else {
        actOnWorker();
    }
}

void SoakRun::actOnNode()
{
    const std::uint32_t how = below(8);
    const bool isForAll = how == 0 && below(4) == 0;
    const std::size_t chosen = below(static_cast<std::uint32_t>(m_nodes.size()));
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        Node &node = m_nodes[i];
        if ((!isForAll && i != chosen) || node.state != NodeState::Up) {
            continue;
        }
        node.changeAt = m_clock.now() + between(50, 3000);
        if (how < 3) {
            node.process->signal(SIGKILL);
            node.state = NodeState::Down;
        } else if (how < 6) {
            node.process->signal(SIGSTOP);
            node.state = NodeState::Frozen;
        } else {
            node.process->signal(SIGTERM);
            node.state = NodeState::Ending;
            node.mustEndBy = m_clock.now() + EndLimit;
        }
    }
}

void SoakRun::actOnLink()
{
    const bool isStoreAway = below(6) == 0; // for all nodes at once
    const auto mode = static_cast<LinkMode>(1 + below(4));
    const TimePoint healAt = m_clock.now() + between(200, 4000);
    const std::size_t chosen = m_links[below(static_cast<std::uint32_t>(m_links.size()))];
    for (const std::size_t it : m_links) {
        const bool isStoreLink
            = std::any_of(m_nodes.begin(), m_nodes.end(), [it](const Node &node) { return node.storeLink == it; });
        if (isStoreAway ? isStoreLink : it == chosen) {
            m_proxy.setMode(it, mode, between(20, 400));
            m_healings.push_back({healAt, it});
        }
    }
}

void SoakRun::actOnWorker()
{
    const std::string id = "w" + std::to_string(below(static_cast<std::uint32_t>(m_settings.workers)));
    const std::uint32_t how = below(5);
    m_hasFailingWorkers = m_hasFailingWorkers || how == 0;
    if (how == 1) {
        m_reborn[id] = m_clock.now() + between(300, 4000);
    }
    m_platform.withState([&id, how](StandInState &state) {
        switch (how) {
        case 0:
            state.fleet.workers[id].failsAll = !state.fleet.workers[id].failsAll;
            break;
        case 1:
            state.fleet.rebirth(id);
            state.fleet.workers[id].isReachable = false;
            break;
        case 2:
        case 3: // its entry vanishes, or is back
            if (state.unregisteredWorkers.erase(id) == 0) {
                state.unregisteredWorkers.insert(id);
            }
            break;
        default:
            state.store.dropHistory();
        }
    });
}

/** Starts, continues and reaps nodes as it falls due. */
void SoakRun::watchNodes()
{
    const TimePoint now = m_clock.now();
    for (Node &it : m_nodes) {
        const auto end = it.process->takeEnd();
        if (end && it.state == NodeState::Ending) {
            if (*end != 0) {
                broken(it.process->name() + " was asked to end and did so with status " + std::to_string(*end));
            }
            it.state = NodeState::Down;
        } else if (end && it.state != NodeState::Down) {
            broken(it.process->name() + " ended by itself with status " + std::to_string(*end));
            it.state = NodeState::Down;
        }
        if (it.state == NodeState::Ending && now >= it.mustEndBy) {
            broken(it.process->name() + " did not end in time");
            it.process->signal(SIGKILL);
            it.state = NodeState::Down;
        }
        if (it.state == NodeState::Frozen && now >= it.changeAt) {
            it.process->signal(SIGCONT);
            it.state = NodeState::Up;
        } else if (it.state == NodeState::Down && now >= it.changeAt && !it.process->isRunning()) {
            it.process->takeEnd();
            it.process->start();
            it.state = NodeState::Up;
        }
    }
}

void SoakRun::healLinks(bool all)
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_healings, [&](const Healing &it) {
        if (all || now >= it.at) {
            m_proxy.setMode(it.link, LinkMode::Pass);
        }
        return all || now >= it.at;
    });
}

void SoakRun::reviveWorkers(bool all)
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_reborn, [&](const auto &it) {
        const bool isBack = all || now >= it.second;
        if (isBack) {
            m_platform.withState([&it](StandInState &state) { state.fleet.workers[it.first].isReachable = true; });
        }
        return isBack;
    });
}

void SoakRun::healAll()
{
    healLinks(true);
    reviveWorkers(true);
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

void SoakRun::newJob()
{
    auto job = std::make_unique<Job>();
    std::array<char, 17> key{};
    std::snprintf(
        key.data(), key.size(), "%08x%08x", static_cast<unsigned>(m_random()), static_cast<unsigned>(m_random()));
    job->key = key.data();
    Workflow::WorkflowSpec spec;
    spec.payload = "soak";
    const std::uint32_t steps = 1 + below(3);
    for (std::uint32_t i = 0; i < steps; ++i) {
        Workflow::StepSpec step;
        step.taskCount = 1 + below(6);
        step.need = {1000 + below(3000), 500, 0};
        step.estimateMs = 300;
        step.isCheckpointed = true;
        if (i > 0) {
            step.after = {i - 1};
        }
        job->tasks += static_cast<int>(step.taskCount);
        spec.steps.push_back(std::move(step));
    }
    job->body = Adapter::jobBody(spec);
    job->wantsCancel = below(8) == 0;
    m_jobs.push_back(std::move(job));
}

std::string SoakRun::anyAddress()
{
    return m_nodes[below(static_cast<std::uint32_t>(m_nodes.size()))].process->address();
}

void SoakRun::driveJobs()
{
    const TimePoint now = m_clock.now();
    for (const auto &it : m_jobs) {
        const bool isOver = (it->isRefused && !it->isUnknown) || it->state == "completed" || it->state == "failed"
                            || it->state == "cancelled";
        if (it->isBusy || isOver || now < it->nextAt) {
            continue;
        }
        it->isBusy = true;
        if (!it->isAccepted) {
            handIn(*it);
        } else if (it->wantsCancel && !it->isCancelled) {
            cancel(*it);
        } else {
            ask(*it);
        }
    }
}

void SoakRun::handIn(Job &job)
{
    m_calls.send(
        {"POST", anyAddress(), std::string(Prefix) + job.key, job.body, {{Adapter::CallerDeadlineHeader, "3000"}}},
        CallLimit,
        [this, &job](const HttpReply &reply) {
            job.isBusy = false;
            job.nextAt = m_clock.now() + between(100, 500);
            if (reply.outcome == HttpOutcome::Answered && reply.status == 200) {
                job.isAccepted = true;
            } else if (reply.outcome == HttpOutcome::Answered && (reply.status == 503 || reply.status == 429)) {
                job.isRefused = true;
            } else if (reply.outcome != HttpOutcome::NotSent) {
                job.isUnknown = true; // the same again, at whichever node
            }
        });
}

void SoakRun::ask(Job &job)
{
    m_calls.send(
        {"GET", anyAddress(), std::string(Prefix) + job.key, {}, {}}, CallLimit, [this, &job](const HttpReply &reply) {
            job.isBusy = false;
            job.nextAt = m_clock.now() + between(200, 800);
            if (reply.outcome == HttpOutcome::Answered && reply.status == 410) {
                broken(job.key + " was accepted and is not known");
            } else if (reply.outcome == HttpOutcome::Answered && reply.status == 200) {
                takeState(job, reply.body);
            }
        });
}

void SoakRun::takeState(Job &job, const std::string &text)
{
    const json body = json::parse(text, nullptr, false);
    job.state = body.is_object() ? body.value("state", "") : "";
    if (job.state == "completed") {
        const auto ended = m_platform.withState([&job](StandInState &state) {
            return std::count_if(state.fleet.endedDone.begin(), state.fleet.endedDone.end(), [&job](const auto &it) {
                return it.job == job.key;
            });
        });
        if (ended != job.tasks) {
            broken(job.key + " is shown as completed, and only " + std::to_string(ended) + " of "
                   + std::to_string(job.tasks) + " tasks have ended");
        }
    } else if (job.state == "failed" && !m_hasFailingWorkers) {
        broken(job.key + " is shown as failed, and no worker fails");
    } else if (job.state == "cancelled" && !job.wantsCancel) {
        broken(job.key + " is shown as cancelled, and nobody has cancelled it");
    }
}

void SoakRun::cancel(Job &job)
{
    m_calls.send({"DELETE", anyAddress(), std::string(Prefix) + job.key, {}, {{Adapter::CallerDeadlineHeader, "3000"}}},
                 CallLimit,
                 [this, &job](const HttpReply &reply) {
                     job.isBusy = false;
                     job.nextAt = m_clock.now() + between(100, 500);
                     job.isCancelled = reply.outcome == HttpOutcome::Answered && reply.status == 200;
                     if (reply.outcome == HttpOutcome::Answered && reply.status == 410) {
                         broken(job.key + " was accepted and is not known to a cancel");
                     }
                 });
}

void SoakRun::pollFor(Duration time)
{
    const TimePoint until = m_clock.now() + time;
    while (m_clock.now() < until) {
        m_calls.poll(PollEvery);
        watchNodes();
        healLinks(false);
        reviveWorkers(false);
        driveJobs();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Verdict
// ---------------------------------------------------------------------------------------------------------------------

bool SoakRun::isSettled()
{
    const bool areJobsOver = std::all_of(m_jobs.begin(), m_jobs.end(), [](const auto &it) {
        const bool isFinal = it->state == "completed" || it->state == "failed" || it->state == "cancelled";
        return !it->isBusy && (isFinal || (it->isRefused && !it->isUnknown && !it->isAccepted));
    });
    return areJobsOver && m_platform.withState([](StandInState &state) { return state.fleet.runningTasks() == 0; });
}

void SoakRun::check()
{
    m_platform.withState([this](StandInState &state) {
        for (const std::string &it : state.fleet.faults) {
            broken(it);
        }
        for (const auto &it : m_jobs) {
            m_verdict.accepted += it->isAccepted ? 1 : 0;
            const bool wasRefused = !it->isAccepted && !it->isUnknown && it->isRefused;
            m_verdict.refused += wasRefused ? 1 : 0;
            if (wasRefused && state.fleet.startedJobs.contains(it->key)) {
                broken(it->key + " was refused at each try, and runs");
            }
            if (it->isAccepted && it->state != "completed" && it->state != "failed" && it->state != "cancelled") {
                broken(it->key + " was accepted and has not ended; it is shown as '" + it->state + "'");
            }
        }
        if (state.fleet.runningTasks() > 0) {
            broken(std::to_string(state.fleet.runningTasks()) + " tasks run on after all jobs have ended");
        }
        m_verdict.starts = state.fleet.starts;
    });
    for (Node &it : m_nodes) { // each has to end when asked to
        it.process->signal(SIGTERM);
        it.state = NodeState::Ending;
        it.mustEndBy = m_clock.now() + EndLimit;
        it.changeAt = TimePoint::max();
    }
    const auto isRunning = [](Node &it) { return it.process->isRunning(); };
    while (std::any_of(m_nodes.begin(), m_nodes.end(), isRunning)) {
        m_calls.poll(PollEvery);
        watchNodes();
    }
    watchNodes();
}

} // namespace QuetzalRock::Soak
