/**
 * One entry VM's process: what lives from start to exit, and the order in which it starts and drains.
 *
 * Index of this file
 *   AlwaysCandidate   the candidacy of a process that has no peers
 *   Daemon            everything wired together
 *
 * Threads, one for each duty
 *   requests front    HTTP of callers (Pistache, requests.threads of them)
 *   request path      dispatcher and libcurl
 *   claims            the journal of idempotency keys
 *   shard             the scheduler of this failure domain, where this process owns it
 *   upstreams         reads the platform's list of VMs for the request path
 *   administration    HTTP of operators (Pistache, listen.admin_threads of them)
 */
#pragma once

#include <admin/adminapi.h>
#include <daemon/daemonsettings.h>
#include <daemon/gauges.h>
#include <daemon/platformbundle.h>
#include <daemon/shardduty.h>
#include <requests/requestpath.h>
#include <web/web.h>

#include <prometheus/registry.h>

#include <memory>
#include <thread>

namespace QuetzalRock {

class AlwaysCandidate final : public Candidacy
{
public:
    bool shouldOwn() override;
    void noteOwner(bool isOwner) override;
};

class Daemon
{
public:
    /** @p settings and @p clock must outlive it. */
    Daemon(const DaemonSettings &settings, Clock &clock);
    ~Daemon();

    void start();

    /** Not ready, waits for the balancer and for requests in flight, stops. False where the limit cut something off. */
    bool drain();

    std::uint16_t requestPort() const;
    std::uint16_t adminPort() const;

private:
    bool isReady() const;
    WebResponse handleAdmin(const WebRequest &request);
    CallerResponse answerHealth(bool isGood) const;
    std::string metricsText();
    void watchUpstreams();
    bool waitForRequests();

    const DaemonSettings &m_settings;
    Clock &m_clock;
    PlatformBundle m_platform;
    std::shared_ptr<prometheus::Registry> m_registry;
    std::mutex m_gaugesMutex; ///< guards m_gauges
    Gauges m_gauges;

    AlwaysCandidate m_candidacy;
    ShardDuty m_shard;
    AdminApi m_admin;

    Journal m_claimJournal;
    LocalClaims m_claims;
    RequestPath m_requests;
    HttpFront m_front;

    std::mutex m_mutex; ///< guards the two below
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::atomic<bool> m_isDraining = false;
    std::thread m_upstreamThread;
    std::unique_ptr<WebServer> m_adminServer; ///< last: it calls into all of the above
};

} // namespace QuetzalRock
