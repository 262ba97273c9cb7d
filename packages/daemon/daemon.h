/**
 * One entry VM's process: what lives from start to exit, and the order in which it starts and drains.
 *
 * Index of this file
 *   Daemon   everything wired together
 *
 * Threads, one for each duty
 *   requests front    HTTP of callers (Pistache, requests.threads of them)
 *   request path      dispatcher and libcurl
 *   claims            the journal of each shard of idempotency keys that this process owns; calls to other owners
 *   scheduler         the shard of this failure domain, where this process owns it
 *   member            heartbeats, registration, ownership, settings (memberduty.h)
 *   upstreams         reads the platform's list of VMs for the request path
 *   administration    HTTP of operators (Pistache, listen.admin_threads of them)
 */
#pragma once

#include <admin/adminapi.h>
#include <daemon/claimshards.h>
#include <daemon/daemonsettings.h>
#include <daemon/gauges.h>
#include <daemon/memberduty.h>
#include <daemon/platformbundle.h>
#include <daemon/schedulershard.h>
#include <requests/requestpath.h>
#include <web/web.h>

#include <prometheus/registry.h>

#include <memory>
#include <thread>

namespace QuetzalRock {

class Daemon final : public ProcessBackend, public SettingsBackend
{
public:
    /** @p settings and @p clock must outlive it. */
    Daemon(const DaemonSettings &settings, Clock &clock);
    ~Daemon() override;

    void start();

    /** Not ready, waits for the balancer and for requests in flight, stops. False where the limit cut something off. */
    bool drain();

    std::uint16_t requestPort() const;
    std::uint16_t adminPort() const;

    nlohmann::json members() override;
    nlohmann::json debugState() override;

    SettingsDocument settings() override;
    SettingsDocument changeSettings(const SettingsEdit &edit) override;
    std::vector<DomainRollout> settingsInForce(std::uint64_t version) override;

private:
    bool isReady() const;
    WebResponse handleAdmin(const WebRequest &request);
    WebResponse forwardToOwner(const WebRequest &request);
    std::string onForwarded(const PeerCall &call);
    CallerResponse answerHealth(bool isGood) const;
    std::string metricsText();
    void setShardGauges();
    void watchUpstreams();
    bool waitForRequests();

    const DaemonSettings &m_settings;
    Clock &m_clock;
    PlatformBundle m_platform;
    std::shared_ptr<prometheus::Registry> m_registry;
    std::mutex m_gaugesMutex; ///< guards m_gauges
    Gauges m_gauges;

    SchedulerShard m_scheduler;
    std::vector<std::unique_ptr<ClaimShard>> m_claimShards;
    ShardTable m_shards;
    MemberDuty m_member;
    RemoteClaims m_remoteClaims;
    ClaimRouter m_claims;
    std::mutex m_settingsMutex; ///< guards m_settingsStore
    SettingsStore m_settingsStore;
    AdminApi m_admin;

    RequestPath m_requests;
    HttpFront m_front;

    std::mutex m_mutex; ///< guards m_isStopping
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::atomic<bool> m_isDraining = false;
    std::thread m_upstreamThread;
    std::unique_ptr<WebServer> m_adminServer; ///< last: it calls into all of the above
};

} // namespace QuetzalRock
