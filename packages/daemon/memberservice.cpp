#include <daemon/memberservice.h>

#include <glog/logging.h>

#include <algorithm>

namespace QuetzalRock {

namespace {

constexpr Duration WatchTimeout
    = std::chrono::seconds(3); ///< maximum duration of one watch call; bounds the time to stop
constexpr Duration RelayTimeout = std::chrono::milliseconds(200);

MemberInfo makeSelfInfo(const DaemonSettings &settings, const Clock &clock)
{
    MemberInfo self;
    self.name = settings.process.name;
    self.region = settings.process.region;
    self.failureDomain = settings.process.failureDomain;
    self.address = settings.peers.advertised.empty() ? settings.peers.listen : settings.peers.advertised;
    self.incarnation = static_cast<std::uint64_t>(clock.wallNow().count());
    return self;
}

PeerAuthSettings authSettings(const DaemonSettings &settings)
{
    PeerAuthSettings auth;
    auth.self = settings.process.name;
    auth.keys = settings.peers.keys;
    if (auth.keys.empty()) {
        auth.keys.push_back({"alone", newToken()}); // random: no other process can sign calls with it
    }
    return auth;
}

MembershipSettings membershipSettings(const DaemonSettings &settings, const Clock &clock)
{
    MembershipSettings membership;
    membership.self = makeSelfInfo(settings, clock);
    membership.seeds = settings.peers.seeds;
    return membership;
}

OwnershipSettings ownershipSettings(const DaemonSettings &settings, const ShardTable &shards)
{
    OwnershipSettings ownership;
    ownership.shards = shards.names();
    ownership.settleDelay = settings.peers.settleDelay;
    return ownership;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

nlohmann::json claimsJson(const std::vector<ShardClaim> &claims)
{
    nlohmann::json json = nlohmann::json::object();
    for (const ShardClaim &it : claims) {
        json[it.shard] = it.epoch;
    }
    return json;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// ShardTable
// ---------------------------------------------------------------------------------------------------------------------

ShardTable::ShardTable(std::vector<HostedShard *> shards)
    : m_shards(std::move(shards))
{
}

std::uint64_t ShardTable::acquire(const std::string &shard)
{
    return find(shard).acquire();
}

void ShardTable::release(const std::string &shard)
{
    find(shard).release();
}

void ShardTable::drop(const std::string &shard)
{
    find(shard).release();
}

std::vector<std::string> ShardTable::names() const
{
    std::vector<std::string> names;
    names.reserve(m_shards.size());
    for (const HostedShard *it : m_shards) {
        names.push_back(it->shardName());
    }
    return names;
}

void ShardTable::reportFenced(Ownership &ownership) const
{
    for (const HostedShard *it : m_shards) {
        if (const std::uint64_t epoch = it->fencedEpoch()) {
            ownership.onFenced(it->shardName(), epoch);
        }
    }
}

HostedShard &ShardTable::find(const std::string &shard) const
{
    const auto it
        = std::find_if(m_shards.begin(), m_shards.end(), [&](HostedShard *s) { return s->shardName() == shard; });
    if (it == m_shards.end()) {
        throw NotFound("no shard " + shard);
    }
    return **it;
}

// ---------------------------------------------------------------------------------------------------------------------
// MemberService
// ---------------------------------------------------------------------------------------------------------------------

MemberService::MemberService(
    const DaemonSettings &settings, KeyValueService &service, VmList &vms, ShardTable &shards, Clock &clock)
    : m_settings(settings)
    , m_clock(clock)
    , m_shards(shards)
    , m_auth(authSettings(settings), clock)
    , m_client(m_auth)
    , m_membership(membershipSettings(settings, clock), m_client, clock)
    , m_registry({}, service, &vms, m_membership, clock)
    , m_ownership(ownershipSettings(settings, shards), m_membership, shards, clock)
    , m_propagation({}, service, m_membership, m_client, clock)
{
    m_membership.bind(m_router);
    m_propagation.bind(m_router);
}

MemberService::~MemberService()
{
    stop();
}

PeerRouter &MemberService::router()
{
    return m_router;
}

PeerTransport &MemberService::transport()
{
    return m_client;
}

void MemberService::listen()
{
    PeerServerSettings server;
    server.listen = m_settings.peers.listen;
    server.advertised = m_settings.peers.advertised;
    server.threads = 4;
    m_server = std::make_unique<PeerServer>(m_auth, m_router, server);
}

void MemberService::start()
{
    m_threads.emplace_back([this] { run([this] { m_membership.step(); }); });
    m_threads.emplace_back([this] { run([this] { m_registry.step(WatchTimeout); }); });
    m_threads.emplace_back([this] {
        bool isLeaving = false;
        run([this, &isLeaving] {
            if (m_isShuttingDown && !isLeaving) {
                isLeaving = true;
                m_ownership.beginShutdown();
            }
            m_shards.reportFenced(m_ownership);
            m_ownership.step();
        });
    });
    m_threads.emplace_back([this] { run([this] { m_propagation.stepWatch(WatchTimeout); }); });
    m_threads.emplace_back([this] { run([this] { m_propagation.stepRelay(RelayTimeout); }); });
}

void MemberService::beginShutdown()
{
    m_isShuttingDown = true;
}

void MemberService::stop()
{
    {
        std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    for (std::thread &it : m_threads) {
        it.join();
    }
    // A process that has only listened is not registered. The name may be in use by another process, which stays.
    if (!m_threads.empty()) {
        m_registry.unregister();
    }
    m_threads.clear();
    m_server.reset();
}

bool MemberService::isReady() const
{
    return m_propagation.isReady();
}

std::size_t MemberService::liveMembers() const
{
    const std::vector<MemberView> members = m_membership.members();
    const auto live = std::count_if(members.begin(), members.end(), [](const MemberView &it) { return it.live; });
    return static_cast<std::size_t>(live) + 1;
}

std::string MemberService::ownerAddress(const std::string &shard) const
{
    const std::optional<std::string> owner = m_ownership.ownerOf(shard);
    if (!owner) {
        return {};
    }
    for (const MemberView &it : m_membership.members()) {
        if (it.info.name == *owner) {
            return it.info.address;
        }
    }
    return {};
}

std::shared_ptr<const SettingsVersion> MemberService::settings() const
{
    return m_propagation.current();
}

SettingsPropagation &MemberService::propagation()
{
    return m_propagation;
}

nlohmann::json MemberService::membersJson() const
{
    nlohmann::json members = nlohmann::json::array();
    members.push_back({{"name", m_membership.self().name},
                       {"address", m_membership.self().address},
                       {"live", true},
                       {"self", true},
                       {"platform_away_for_s", seconds(m_membership.platformOutage())},
                       {"owns", claimsJson(m_ownership.claims())}});
    for (const MemberView &it : m_membership.members()) {
        members.push_back({{"name", it.info.name},
                           {"address", it.info.address},
                           {"live", it.live},
                           {"self", false},
                           {"platform_away_for_s", seconds(it.platformOutage)},
                           {"owns", claimsJson(it.claims)}});
    }
    return {{"failure_domain", m_settings.process.failureDomain}, {"members", members}};
}

nlohmann::json MemberService::debugJson() const
{
    const MembershipCounters members = m_membership.counters();
    const OwnershipCounters owned = m_ownership.counters();
    const PropagationCounters settings = m_propagation.counters();
    return {{"heartbeats_sent", members.heartbeatsSent},
            {"heartbeats_failed", members.heartbeatsFailed},
            {"suspicions", members.suspicions},
            {"shards_acquired", owned.acquired},
            {"shards_fenced", owned.fenced},
            {"shards_released", owned.released},
            {"settings_version", m_propagation.current()->document.version},
            {"settings_adopted", settings.adopted},
            {"settings_failures", settings.failures}};
}

void MemberService::run(const std::function<void()> &step)
{
    while (!isStopping()) {
        try {
            step();
        } catch (const Error &error) {
            LOG_EVERY_N(WARNING, 100) << "member thread step failed: " << error.what();
        }
        std::unique_lock lock(m_mutex);
        if (!m_isStopping) {
            m_clock.waitUntil(lock, m_wake, m_clock.now() + StepInterval);
        }
    }
}

bool MemberService::isStopping() const
{
    std::lock_guard guard(m_mutex);
    return m_isStopping;
}

} // namespace QuetzalRock
