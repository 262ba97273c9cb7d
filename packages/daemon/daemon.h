/**
 * The process of one entry VM: creates and connects all components, starts them and drains them in order.
 *
 * Index of this file
 *   Daemon   owns every component of the process
 *
 * Threads
 *   requests front    HTTP server for callers (Pistache, requests.threads threads)
 *   request path      dispatcher, and libcurl transfers to upstreams
 *   claims            one journal writer for each claim shard that this process owns, and calls to other owners
 *   scheduler         runs the scheduler shard of this failure domain while this process owns it
 *   member            heartbeats, registration, shard ownership, settings (memberservice.h)
 *   upstreams         polls the platform's VM list for the request path
 *   administration    HTTP server for operators (Pistache, listen.admin_threads threads)
 */
#pragma once

#include <admin/adminapi.h>
#include <daemon/claimshards.h>
#include <daemon/daemonsettings.h>
#include <daemon/gauges.h>
#include <daemon/memberservice.h>
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
    /** @p settings and @p clock must outlive the daemon. */
    Daemon(const DaemonSettings &settings, Clock &clock);
    ~Daemon() override;

    /** Opens every address first. If one fails, throws an Error that names its setting; nothing has begun then. */
    void start();

    /**
     * Reports "not ready", waits for the load balancer to notice and for requests in flight to finish, then stops.
     * Returns false if requests were still in flight when drain_limit_ms expired.
     */
    bool drain();

    std::uint16_t requestPort() const;
    std::uint16_t adminPort() const;

    nlohmann::json members() override;
    nlohmann::json debugState() override;

    SettingsDocument settings() override;
    SettingsDocument changeSettings(const SettingsEdit &edit) override;
    std::vector<DomainRollout> settingsInForce(std::uint64_t version) override;

private:
    void startAdminServer();
    bool isReady() const;
    WebResponse handleAdmin(const WebRequest &request);
    WebResponse forwardToOwner(const WebRequest &request);
    std::string handleForwarded(const PeerCall &call);
    CallerResponse makeHealthResponse(bool isHealthy) const;
    std::string metricsText();
    void setShardGauges();
    void pollUpstreams();
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
    MemberService m_member;
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
    std::unique_ptr<WebServer> m_adminServer; ///< declared last, so destroyed first: it calls into the other components
};

} // namespace QuetzalRock
