#include <daemon/daemon.h>

#include <base/startfailure.h>
#include <daemon/webcodec.h>

#include <glog/logging.h>
#include <prometheus/text_serializer.h>

#include <algorithm>

namespace QuetzalRock {

namespace {

constexpr Duration UpstreamPollInterval
    = std::chrono::seconds(1); ///< maximum time a leaving instance still gets new requests
constexpr Duration HandoverAnnouncementTime
    = std::chrono::milliseconds(500);                           ///< time for heartbeats to announce the released shards
constexpr Duration ForwardTimeout = std::chrono::seconds(10);   ///< exceeds the scheduler's default answer_ms of 5 s
constexpr Duration NoOwnerRetryAfter = std::chrono::seconds(1); ///< Retry-After while no owner is known
constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);

std::vector<std::unique_ptr<ClaimShard>>
makeClaimShards(const DaemonSettings &settings, KeyValueService &service, Clock &clock)
{
    std::vector<std::unique_ptr<ClaimShard>> shards;
    for (std::int64_t n = 0; n < settings.peers.claimShards; ++n) {
        const std::string name = "claims-" + std::to_string(settings.scheduler.shard) + "-" + std::to_string(n);
        const std::string writer = settings.process.name + "." + std::to_string(clock.wallNow().count());
        shards.push_back(std::make_unique<ClaimShard>(settings.requests, service, clock, name, writer));
    }
    return shards;
}

std::vector<ClaimShard *> toPointers(const std::vector<std::unique_ptr<ClaimShard>> &shards)
{
    std::vector<ClaimShard *> pointers;
    pointers.reserve(shards.size());
    for (const auto &it : shards) {
        pointers.push_back(it.get());
    }
    return pointers;
}

std::vector<HostedShard *> hostedShards(SchedulerShard &scheduler,
                                        const std::vector<std::unique_ptr<ClaimShard>> &claims)
{
    std::vector<HostedShard *> shards{&scheduler};
    for (const auto &it : claims) {
        shards.push_back(it.get());
    }
    return shards;
}

WebServerSettings adminServerSettings(const ListenSection &listen)
{
    WebServerSettings server;
    server.address = listen.admin;
    server.threads = static_cast<int>(listen.adminThreads);
    server.certificateFile = listen.certificateFile;
    server.keyFile = listen.keyFile;
    return server;
}

std::vector<UpstreamInstance> collectUpstreams(const std::vector<Vm> &vms,
                                               const std::vector<UpstreamSection> &configured)
{
    std::vector<UpstreamInstance> upstreams;
    for (const Vm &it : vms) {
        if (it.role == VmRole::Upstream && it.state != VmState::Gone) {
            upstreams.push_back({it.name, it.address, it.failureDomain, it.state == VmState::Leaving});
        }
    }
    for (const UpstreamSection &it : configured) {
        upstreams.push_back({it.name, it.address, it.failureDomain, false});
    }
    return upstreams;
}

} // namespace

Daemon::Daemon(const DaemonSettings &settings, Clock &clock)
    : m_settings(settings)
    , m_clock(clock)
    , m_platform(settings, clock)
    , m_registry(std::make_shared<prometheus::Registry>())
    , m_gauges(*m_registry)
    , m_scheduler(settings, m_platform, clock)
    , m_claimShards(makeClaimShards(settings, m_platform.keyValue(), clock))
    , m_shards(hostedShards(m_scheduler, m_claimShards))
    , m_member(settings, m_platform.keyValue(), m_platform.vmList(), m_shards, clock)
    , m_remoteClaims(m_member.transport(), clock)
    , m_claims(toPointers(m_claimShards),
               m_remoteClaims,
               [this](const std::string &shard) { return m_member.ownerAddress(shard); })
    , m_settingsStore(m_platform.keyValue(), clock)
    , m_admin(m_scheduler, *this, *this, Credentials(settings.admin.accounts, settings.admin.allowsAnonymous))
    , m_requests(settings.requests, clock, &m_claims, m_registry.get())
    , m_front(settings.requests, clock, m_requests)
{
    m_scheduler.setSettingsSource([this] { return m_member.settings(); });
    m_claims.bind(m_member.router());
    m_member.router().on("admin.request", [this](const PeerCall &call) { return handleForwarded(call); });
    m_front.addRoute("GET", "/healthz", [this](const CallerRequest &) { return makeHealthResponse(true); });
    m_front.addRoute("GET", "/readyz", [this](const CallerRequest &) { return makeHealthResponse(isReady()); });
}

Daemon::~Daemon()
{
    drain();
}

void Daemon::start()
{
    // What callers send until the request path starts waits in its ring.
    startWith("[peers] listen = " + m_settings.peers.listen, [this] { m_member.listen(); });
    startWith("[listen] requests = " + m_settings.listen.requests, [this] { m_front.start(); });
    startAdminServer();
    m_member.start();
    m_requests.start();
    m_upstreamThread = std::thread([this] { pollUpstreams(); });
}

void Daemon::startAdminServer()
{
    const ListenSection &listen = m_settings.listen;
    const auto handler = [this](const WebRequest &request) { return handleAdmin(request); };
    const std::string address = "[listen] admin = " + listen.admin;
    const std::string certificate = "[listen] certificate = " + listen.certificateFile + ", key = " + listen.keyFile;
    try {
        m_adminServer = std::make_unique<WebServer>(adminServerSettings(listen), handler);
    } catch (const InvalidArgument &error) {
        throw startFailure(certificate, error.what());
    } catch (const std::exception &error) {
        throw startFailure(address, error.what());
    }
}

bool Daemon::drain()
{
    if (m_isDraining.exchange(true) || !m_adminServer) {
        return true;
    }
    // The load balancer polls /readyz. Until it has seen the change, it still sends requests here, and they are served.
    m_clock.sleepFor(m_settings.process.drainNotice);
    m_requests.beginDrain();
    const bool isClean = waitForRequests();
    m_front.stop();
    m_requests.stop();
    m_member.beginShutdown();
    m_clock.sleepFor(HandoverAnnouncementTime);
    m_member.stop();
    {
        std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_upstreamThread.joinable()) {
        m_upstreamThread.join();
    }
    m_adminServer->stop();
    return isClean;
}

std::uint16_t Daemon::requestPort() const
{
    return m_front.port();
}

std::uint16_t Daemon::adminPort() const
{
    return m_adminServer->port();
}

bool Daemon::isReady() const
{
    return !m_isDraining && m_member.isReady();
}

WebResponse Daemon::handleAdmin(const WebRequest &request)
{
    if (request.path == "/healthz") {
        return {200, "text/plain", "ok\n", {}};
    }
    if (request.path == "/readyz") {
        return isReady() ? WebResponse{200, "text/plain", "ready\n", {}}
                         : WebResponse{503, "text/plain", "draining\n", {}};
    }
    if (request.path == "/metrics") {
        return {200, "text/plain", metricsText(), {}};
    }
    const bool isOwnedElsewhere = AdminApi::needsOwner(request) && !m_scheduler.isOwner();
    return isOwnedElsewhere ? forwardToOwner(request) : m_admin.handle(request);
}

WebResponse Daemon::forwardToOwner(const WebRequest &request)
{
    const std::string address = m_member.ownerAddress(m_scheduler.shardName());
    if (address.empty()) {
        throw NotRun("the scheduler shard of this failure domain has no known owner", NoOwnerRetryAfter);
    }
    const std::string answer
        = m_member.transport().call(address, "admin.request", encodeWebRequest(request), ForwardTimeout);
    return decodeWebResponse(answer);
}

std::string Daemon::handleForwarded(const PeerCall &call)
{
    // Never forwarded again, to prevent loops: handled here, or an error response. The token is checked here as well.
    const WebRequest request = decodeWebRequest(call.body);
    try {
        return encodeWebResponse(m_admin.handle(request));
    } catch (const Error &error) {
        return encodeWebResponse(errorResponse(error));
    }
}

nlohmann::json Daemon::members()
{
    return m_member.membersJson();
}

nlohmann::json Daemon::debugState()
{
    const FrontCounters front = m_front.counters();
    nlohmann::json state = m_member.debugJson();
    state["name"] = m_settings.process.name;
    state["owns_scheduler"] = m_scheduler.isOwner();
    state["requests_in_work"] = front.inProgress;
    state["connections"] = front.connections;
    state["unsent_bytes"] = front.unsentBytes;
    state["draining"] = m_isDraining.load();
    return state;
}

SettingsDocument Daemon::settings()
{
    return m_member.settings()->document;
}

SettingsDocument Daemon::changeSettings(const SettingsEdit &edit)
{
    SettingsDocument document;
    {
        std::lock_guard guard(m_settingsMutex);
        document = m_settingsStore.write(edit, m_member.settings()->document.version);
    }
    m_member.propagation().publish(document);
    return document;
}

std::vector<DomainRollout> Daemon::settingsInForce(std::uint64_t version)
{
    return m_member.propagation().rolloutStatus(version);
}

CallerResponse Daemon::makeHealthResponse(bool isHealthy) const
{
    CallerResponse response;
    response.status = isHealthy ? 200 : 503;
    response.body = isHealthy ? "ok\n" : "draining\n";
    return response;
}

std::string Daemon::metricsText()
{
    std::lock_guard guard(m_gaugesMutex);
    m_gauges.setProcessGauges();
    const FrontCounters front = m_front.counters();
    m_gauges.set("qr_front_in_work", "Requests received and not yet answered", static_cast<double>(front.inProgress));
    m_gauges.set("qr_front_connections", "Open connections of callers", static_cast<double>(front.connections));
    m_gauges.set(
        "qr_front_unsent_bytes", "Response bytes not yet read by callers", static_cast<double>(front.unsentBytes));
    m_gauges.set(
        "qr_shard_owner", "1 if this process owns the failure domain's scheduler shard", m_scheduler.isOwner() ? 1 : 0);
    m_gauges.set("qr_members_live", "Live members of the failure domain", static_cast<double>(m_member.liveMembers()));
    const double version = static_cast<double>(m_member.settings()->document.version);
    m_gauges.set("qr_settings_version", "Version of the operators' settings in effect", version);
    m_gauges.set("qr_ready", "1 if the load balancer may send requests here", isReady() ? 1 : 0);
    if (m_scheduler.isOwner()) {
        setShardGauges();
    }
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

void Daemon::setShardGauges()
{
    ShardStatus shard;
    try {
        shard = m_scheduler.shard();
    } catch (const Error &) {
        return; // ownership has just ended: the gauges keep their last values and qr_shard_owner becomes 0
    }
    const SchedulerCounters &counters = shard.counters;
    const auto silent = std::count_if(
        shard.workers.begin(), shard.workers.end(), [](const WorkerStatus &it) { return !it.reachable; });
    const auto set = [this](const char *name, const char *help, auto value) {
        m_gauges.set(name, help, static_cast<double>(value));
    };
    set("qr_shard_epoch", "Epoch of this process's ownership of the shard", shard.epoch);
    set("qr_shard_platform_away", "1 while writes to the key-value service fail", shard.platformUnavailable ? 1 : 0);
    set("qr_shard_pending_tasks", "Tasks waiting for placement", shard.pendingTasks);
    set("qr_shard_held_tasks", "Tasks with an attempt that holds capacity", shard.heldTasks);
    set("qr_shard_unwritten_ends",
        "Ended attempts not yet written to the journal because the platform is unavailable",
        shard.unwrittenEnds);
    set("qr_shard_silent_workers", "Workers that do not answer", silent);
    set("qr_shard_appends", "Batches written to the journal", counters.appends);
    set("qr_shard_appends_not_taken", "Batches not written to the journal", counters.failedAppends);
    set("qr_shard_appends_in_doubt",
        "Batches with an unknown outcome because the response was lost",
        counters.appendsInDoubt);
    set("qr_shard_refused", "Operators' requests rejected with not_run", counters.refused);
    set("qr_shard_assigned", "Attempts assigned to workers", counters.assigned);
    set("qr_shard_evictions", "Batch attempts evicted to free capacity", counters.evictions);
    set("qr_shard_overcommits_refused",
        "Starts rejected for exceeding a worker's capacity; above 0 is a bug",
        counters.overcommitsRefused);
}

void Daemon::pollUpstreams()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        try {
            m_requests.setUpstreams(collectUpstreams(m_platform.vmList().vms(), m_settings.upstreams));
        } catch (const Error &error) {
            LOG_EVERY_N(WARNING, 60) << "cannot read the VM list, keeping the previous one: " << error.what();
        }
        lock.lock();
        const TimePoint until = m_clock.now() + UpstreamPollInterval;
        while (!m_isStopping && m_clock.now() < until) {
            m_clock.waitUntil(lock, m_wake, until);
        }
    }
}

bool Daemon::waitForRequests()
{
    const TimePoint deadline = m_clock.now() + m_settings.process.drainLimit;
    while (m_clock.now() < deadline) {
        if (m_requests.isDrained() && m_front.unanswered() == 0) {
            return true;
        }
        m_clock.sleepFor(DrainPollInterval);
    }
    return false;
}

} // namespace QuetzalRock
