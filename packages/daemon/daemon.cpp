#include <daemon/daemon.h>

#include <glog/logging.h>
#include <prometheus/text_serializer.h>

namespace QuetzalRock {

namespace {

constexpr Duration UpstreamsEvery = std::chrono::seconds(1); ///< bounds how long a leaving instance gets new requests
constexpr Duration DrainPollEvery = std::chrono::milliseconds(20);

JournalSettings claimJournalSettings(const DaemonSettings &settings, Clock &clock)
{
    JournalSettings journal;
    journal.name = "claims-" + std::to_string(settings.scheduler.shard);
    journal.writer = settings.process.name + "." + std::to_string(clock.wallNow().count());
    return journal;
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

bool AlwaysCandidate::shouldOwn()
{
    return true;
}

void AlwaysCandidate::noteOwner(bool)
{
}

Daemon::Daemon(const DaemonSettings &settings, Clock &clock)
    : m_settings(settings)
    , m_clock(clock)
    , m_platform(settings, clock)
    , m_registry(std::make_shared<prometheus::Registry>())
    , m_gauges(*m_registry)
    , m_shard(settings, m_platform, m_candidacy, clock)
    , m_admin(m_shard, Credentials(settings.admin.accounts, settings.admin.open))
    , m_claimJournal(m_platform.keyValue(), claimJournalSettings(settings, clock))
    , m_claims(settings.requests, clock, m_claimJournal)
    , m_requests(settings.requests, clock, &m_claims, m_registry.get())
    , m_front(settings.requests, clock, m_requests)
{
    m_front.addRoute("GET", "/healthz", [this](const CallerRequest &) { return answerHealth(true); });
    m_front.addRoute("GET", "/readyz", [this](const CallerRequest &) { return answerHealth(isReady()); });
}

Daemon::~Daemon()
{
    drain();
}

void Daemon::start()
{
    m_claims.start();
    m_requests.start();
    m_shard.start();
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
    m_claims.stop();
    m_shard.stop();
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
    return !m_isDraining;
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
    return m_admin.handle(request);
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
    m_gauges.set("qr_shard_owner", "1 where this process owns the failure domain's shard", m_shard.isOwner() ? 1 : 0);
    m_gauges.set("qr_ready", "1 where the balancer may send callers here", isReady() ? 1 : 0);
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
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
