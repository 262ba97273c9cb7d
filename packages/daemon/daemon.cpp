#include <daemon/daemon.h>

#include <daemon/webcodec.h>

#include <glog/logging.h>
#include <prometheus/text_serializer.h>

#include <algorithm>

namespace QuetzalRock {

namespace {

constexpr Duration UpstreamsEvery = std::chrono::seconds(1); ///< bounds how long a leaving instance gets new requests
constexpr Duration HandoverNotice = std::chrono::milliseconds(500); ///< heartbeats tell the others what was released
constexpr Duration ForwardTimeout = std::chrono::seconds(10);       ///< above the scheduler's own limit
constexpr Duration ComeBack = std::chrono::seconds(1);              ///< told to operators while no owner is known
constexpr Duration DrainPollEvery = std::chrono::milliseconds(20);

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

std::vector<ClaimShard *> pointersTo(const std::vector<std::unique_ptr<ClaimShard>> &shards)
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

std::vector<UpstreamInstance> upstreamsOf(const std::vector<Vm> &vms, const std::vector<UpstreamSection> &named)
{
    std::vector<UpstreamInstance> upstreams;
    for (const Vm &it : vms) {
        if (it.role == VmRole::Upstream && it.state != VmState::Gone) {
            upstreams.push_back({it.name, it.address, it.failureDomain, it.state == VmState::Leaving});
        }
    }
    for (const UpstreamSection &it : named) {
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
    , m_claims(pointersTo(m_claimShards),
               m_remoteClaims,
               [this](const std::string &shard) { return m_member.ownerAddress(shard); })
    , m_settingsStore(m_platform.keyValue(), clock)
    , m_admin(m_scheduler, *this, *this, Credentials(settings.admin.accounts, settings.admin.open))
    , m_requests(settings.requests, clock, &m_claims, m_registry.get())
    , m_front(settings.requests, clock, m_requests)
{
    m_scheduler.setSettingsSource([this] { return m_member.settings(); });
    m_claims.bind(m_member.router());
    m_member.router().on("admin.request", [this](const PeerCall &call) { return onForwarded(call); });
    m_front.addRoute("GET", "/healthz", [this](const CallerRequest &) { return answerHealth(true); });
    m_front.addRoute("GET", "/readyz", [this](const CallerRequest &) { return answerHealth(isReady()); });
}

Daemon::~Daemon()
{
    drain();
}

void Daemon::start()
{
    m_member.start();
    m_requests.start();
    m_upstreamThread = std::thread([this] { watchUpstreams(); });
    m_front.start();
    m_adminServer = std::make_unique<WebServer>(adminServerSettings(m_settings.listen),
                                                [this](const WebRequest &request) { return handleAdmin(request); });
}

bool Daemon::drain()
{
    if (m_isDraining.exchange(true) || !m_adminServer) {
        return true;
    }
    // The balancer reads /readyz; until it has seen the change, callers still come here and are still served.
    m_clock.sleepFor(m_settings.process.drainNotice);
    m_requests.beginDrain();
    const bool isClean = waitForRequests();
    m_front.stop();
    m_requests.stop();
    m_member.beginShutdown();
    m_clock.sleepFor(HandoverNotice);
    m_member.stop();
    {
        std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_upstreamThread.join();
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
    const bool isElsewhere = AdminApi::needsOwner(request) && !m_scheduler.isOwner();
    return isElsewhere ? forwardToOwner(request) : m_admin.handle(request);
}

WebResponse Daemon::forwardToOwner(const WebRequest &request)
{
    const std::string address = m_member.ownerAddress(m_scheduler.shardName());
    if (address.empty()) {
        throw NotRun("no member of this failure domain owns its shard at present", ComeBack);
    }
    const std::string answer
        = m_member.transport().call(address, "admin.request", encodeWebRequest(request), ForwardTimeout);
    return decodeWebResponse(answer);
}

std::string Daemon::onForwarded(const PeerCall &call)
{
    // Answered here or not at all: a request is passed on once only. The caller's token is checked here too.
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
    state["requests_in_work"] = front.inWork;
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

CallerResponse Daemon::answerHealth(bool isGood) const
{
    CallerResponse response;
    response.status = isGood ? 200 : 503;
    response.body = isGood ? "ok\n" : "draining\n";
    return response;
}

std::string Daemon::metricsText()
{
    std::lock_guard guard(m_gaugesMutex);
    m_gauges.setProcess();
    const FrontCounters front = m_front.counters();
    m_gauges.set("qr_front_in_work", "Callers' requests taken and not yet answered", static_cast<double>(front.inWork));
    m_gauges.set("qr_front_connections", "Callers' open connections", static_cast<double>(front.connections));
    m_gauges.set("qr_front_unsent_bytes", "Answers not yet taken by callers", static_cast<double>(front.unsentBytes));
    m_gauges.set(
        "qr_shard_owner", "1 where this process owns the failure domain's shard", m_scheduler.isOwner() ? 1 : 0);
    m_gauges.set("qr_members_live", "Live members of the failure domain", static_cast<double>(m_member.liveMembers()));
    const double version = static_cast<double>(m_member.settings()->document.version);
    m_gauges.set("qr_settings_version", "Version of the operators' settings in force", version);
    m_gauges.set("qr_ready", "1 where the balancer may send callers here", isReady() ? 1 : 0);
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
        return; // given up meanwhile: the gauges keep what was seen last, and qr_shard_owner says so
    }
    const SchedulerCounters &n = shard.counters;
    const auto silent = std::count_if(
        shard.workers.begin(), shard.workers.end(), [](const WorkerStatus &it) { return !it.reachable; });
    const auto set = [this](const char *name, const char *help, auto value) {
        m_gauges.set(name, help, static_cast<double>(value));
    };
    set("qr_shard_epoch", "Tenure of this owner", shard.epoch);
    set("qr_shard_platform_away", "1 while writes to the key-value service are not taken", shard.platformAway ? 1 : 0);
    set("qr_shard_pending_tasks", "Tasks that wait for a place", shard.pendingTasks);
    set("qr_shard_held_tasks", "Tasks with an attempt that holds capacity", shard.heldTasks);
    set("qr_shard_unwritten_ends", "Ends of attempts kept in memory until the platform is back", shard.unwrittenEnds);
    set("qr_shard_silent_workers", "Workers that do not answer", silent);
    set("qr_shard_appends", "Batches written to the journal", n.appends);
    set("qr_shard_appends_not_taken", "Batches that the service did not take", n.appendsNotTaken);
    set("qr_shard_appends_in_doubt", "Batches whose answer was lost", n.appendsInDoubt);
    set("qr_shard_refused", "Operators' requests refused as not run", n.refused);
    set("qr_shard_assigned", "Attempts assigned to workers", n.assigned);
    set("qr_shard_evictions", "Batch work stopped to make room", n.evictions);
    set("qr_shard_overcommits_refused", "Starts beyond a worker's room, refused: a fault", n.overcommitsRefused);
}

void Daemon::watchUpstreams()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        try {
            m_requests.setUpstreams(upstreamsOf(m_platform.vmList().vms(), m_settings.upstreams));
        } catch (const Error &error) {
            LOG_EVERY_N(WARNING, 60) << "list of VMs not read, the last one stays in use: " << error.what();
        }
        lock.lock();
        const TimePoint until = m_clock.now() + UpstreamsEvery;
        while (!m_isStopping && m_clock.now() < until) {
            m_clock.waitUntil(lock, m_wake, until);
        }
    }
}

bool Daemon::waitForRequests()
{
    const TimePoint limit = m_clock.now() + m_settings.process.drainLimit;
    while (m_clock.now() < limit) {
        if (m_requests.drained() && m_front.unanswered() == 0) {
            return true;
        }
        m_clock.sleepFor(DrainPollEvery);
    }
    return false;
}

} // namespace QuetzalRock
