/**
 * A fault soak: real nodes over the platform's stand-in, with faults from outside, and the promises checked while it runs.
 *
 * Index of this file
 *   SoakSettings   sizes and times of one run
 *   SoakVerdict    what was broken, and how much was done
 *   SoakRun        one seed
 *
 * Faults: links to the store and to workers that are delayed, reset, cut one way or silenced; processes that are killed,
 * stopped and continued, or asked to end and started again, one or all at once; workers that start anew, fail what they
 * start or vanish from the registry; a store that forgets its history. They come in series and overlap.
 *
 * Promises: no task runs twice or after its end; an accepted job ends and is never unknown; a job whose every try was refused
 * never starts; a job is shown as completed only after each of its tasks has ended; nothing of a cancelled job runs on; a node
 * that is asked to end does so in time and without an error; none ends by itself.
 */
#pragma once

#include "nodeprocess.h"
#include "proxy.h"

#include <base/eventlog.h>
#include <httpcalls.h>
#include <requests/curltransport.h>
#include <standin/standinplatform.h>

#include <map>
#include <memory>
#include <random>

namespace QuetzalRock::Soak {

struct SoakSettings
{
    std::uint64_t seed = 1;
    int nodes = 4;
    int workers = 8;
    Duration time = std::chrono::seconds(12); ///< with faults
    Duration settleTime
        = std::chrono::seconds(60); ///< without, until every job has ended; longer than all leases together
    NodeFiles files;
};

struct SoakVerdict
{
    std::vector<std::string> broken;
    std::size_t accepted = 0;
    std::size_t refused = 0;
    std::uint64_t starts = 0;
    std::size_t faults = 0; ///< that were injected
};

class SoakRun
{
public:
    explicit SoakRun(const SoakSettings &settings);

    SoakVerdict play();

private:
    enum class NodeState : std::uint8_t {
        Up,
        Frozen,
        Ending, ///< asked to end
        Down,
    };
    struct Node
    {
        std::unique_ptr<NodeProcess> process;
        std::size_t storeLink = 0;
        NodeState state = NodeState::Down;
        TimePoint changeAt{}; ///< it is continued, or started again, then
        TimePoint mustEndBy{};
    };
    struct Job
    {
        std::string key;
        std::string body;
        int tasks = 0;
        bool isAccepted = false;
        bool isUnknown = false; ///< a try had no answer: the store may hold it
        bool isRefused = false; ///< the last try
        bool isBusy = false;
        bool isCancelled = false; ///< acknowledged
        bool wantsCancel = false;
        std::string state;
        TimePoint nextAt{};
    };
    /** A link that is to pass again at a time. */
    struct Healing
    {
        TimePoint at;
        std::size_t link;
    };

    void setUp();
    void act();
    void actOnNode();
    void actOnLink();
    void actOnWorker();
    void watchNodes();
    void healLinks(bool all);
    void reviveWorkers(bool all);
    void healAll();
    void newJob();
    void driveJobs();
    void handIn(Job &job);
    void ask(Job &job);
    void cancel(Job &job);
    void takeState(Job &job, const std::string &text);
    bool isSettled();
    void check();
    void pollFor(Duration time);
    void broken(const std::string &what);
    std::string anyAddress();
    std::uint32_t below(std::uint32_t n);
    Duration between(std::int64_t leastMs, std::int64_t mostMs);

    SoakSettings m_settings;
    std::mt19937 m_random;
    SystemClock m_clock;
    Adapter::StandInPlatform m_platform;
    LoopbackProxy m_proxy;
    std::vector<std::size_t> m_links; ///< all of them
    std::vector<Node> m_nodes;
    std::vector<Healing> m_healings;
    std::map<std::string, TimePoint> m_reborn; ///< workers that start anew, and when they are back
    std::vector<std::unique_ptr<Job>> m_jobs;
    bool m_hasFailingWorkers = false; ///< so jobs may fail
    RequestSettings m_requestSettings;
    CurlTransport m_transport;
    Adapter::HttpCalls m_calls;
    SoakVerdict m_verdict;
};

} // namespace QuetzalRock::Soak
