#include <daemon/claimshards.h>

#include <daemon/claimcodec.h>

#include <glog/logging.h>

#include <future>

namespace QuetzalRock {

namespace {

constexpr Duration TakeoverTimeout = std::chrono::seconds(3);
constexpr Duration TakeoverPollInterval = std::chrono::milliseconds(5);
constexpr Duration OwnerReplyTimeout = std::chrono::milliseconds(1500); ///< includes the owner's journal write
constexpr Duration CallTimeout = std::chrono::seconds(2);               ///< exceeds OwnerReplyTimeout
constexpr Duration RetryInterval = std::chrono::milliseconds(100);      ///< for waiting claims and undelivered ends
constexpr Duration RetryTimeout = std::chrono::seconds(30);
constexpr std::size_t MaxQueuedCalls = 4096;
constexpr int CallThreadCount = 4;

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// ClaimShard
// ---------------------------------------------------------------------------------------------------------------------

ClaimShard::OwnerTerm::OwnerTerm(const RequestSettings &settings,
                                 KeyValueService &service,
                                 Clock &clock,
                                 const JournalSettings &journalSettings)
    : journal(service, journalSettings)
    , claims(settings, clock, journal)
{
    claims.start();
}

ClaimShard::OwnerTerm::~OwnerTerm()
{
    claims.stop();
}

ClaimShard::ClaimShard(
    const RequestSettings &settings, KeyValueService &service, Clock &clock, std::string name, std::string writer)
    : m_settings(settings)
    , m_service(service)
    , m_clock(clock)
    , m_name(std::move(name))
    , m_writer(std::move(writer))
{
}

ClaimShard::~ClaimShard()
{
    release();
}

const std::string &ClaimShard::shardName() const
{
    return m_name;
}

std::uint64_t ClaimShard::acquire()
{
    release();
    JournalSettings journal;
    journal.name = m_name;
    journal.writer = m_writer + "." + std::to_string(++m_termCount);
    const auto term = std::make_shared<OwnerTerm>(m_settings, m_service, m_clock, journal);
    const TimePoint deadline = m_clock.now() + TakeoverTimeout;
    while (!term->claims.isOwner()) {
        if (m_clock.now() >= deadline) {
            throw Unavailable(m_name + ": takeover timed out");
        }
        m_clock.sleepFor(TakeoverPollInterval);
    }
    std::lock_guard guard(m_mutex);
    m_currentTerm = term;
    return term->claims.epoch();
}

void ClaimShard::release()
{
    std::shared_ptr<OwnerTerm> term;
    std::lock_guard guard(m_mutex);
    term.swap(m_currentTerm);
}

std::uint64_t ClaimShard::fencedEpoch() const
{
    const auto term = currentTerm();
    return term && term->claims.isFenced() ? term->claims.epoch() : 0;
}

std::shared_ptr<ClaimOwner> ClaimShard::owner() const
{
    const auto term = currentTerm();
    if (!term || !term->claims.isOwner()) {
        return nullptr;
    }
    return {term, &term->claims};
}

std::shared_ptr<ClaimShard::OwnerTerm> ClaimShard::currentTerm() const
{
    std::lock_guard guard(m_mutex);
    return m_currentTerm;
}

// ---------------------------------------------------------------------------------------------------------------------
// RemoteClaims
// ---------------------------------------------------------------------------------------------------------------------

class RemoteClaims::RemoteOwner final : public ClaimOwner
{
public:
    RemoteOwner(RemoteClaims &remote, std::string address, std::uint32_t shard)
        : m_remote(remote)
        , m_address(std::move(address))
        , m_shard(shard)
    {
    }

    void claim(const ClaimRequest &request, Reply reply) override
    {
        m_remote.enqueue({m_address, m_shard, false, request, {}, std::move(reply), {}});
    }

    void end(const ClaimEnd &end) override
    {
        m_remote.enqueue({m_address, m_shard, true, {}, end, {}, {}});
    }

private:
    RemoteClaims &m_remote;
    std::string m_address;
    std::uint32_t m_shard;
};

RemoteClaims::RemoteClaims(PeerTransport &transport, Clock &clock)
    : m_transport(transport)
    , m_clock(clock)
    , m_calls(MaxQueuedCalls)
{
    for (int n = 0; n < CallThreadCount; ++n) {
        m_threads.emplace_back([this] { runCalls(); });
    }
    m_threads.emplace_back([this] { runRetries(); });
}

RemoteClaims::~RemoteClaims()
{
    {
        std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_calls.close();
    for (std::thread &it : m_threads) {
        it.join();
    }
}

std::shared_ptr<ClaimOwner> RemoteClaims::ownerAt(std::string address, std::uint32_t shard)
{
    return std::make_shared<RemoteOwner>(*this, std::move(address), shard);
}

void RemoteClaims::enqueue(Call call)
{
    call.retryDeadline = m_clock.now() + RetryTimeout;
    ClaimOwner::Reply reply = call.reply;
    if (!m_calls.tryPush(std::move(call)) && reply) {
        reply({ClaimVerdict::Unavailable, {}});
    }
}

void RemoteClaims::runCalls()
{
    while (std::optional<Call> call = m_calls.pop()) {
        if (call->isEnd) {
            sendEnd(std::move(*call));
        } else {
            sendClaim(std::move(*call));
        }
    }
}

void RemoteClaims::sendClaim(Call call)
{
    ClaimReply reply;
    try {
        const std::string json = encodeClaim({call.shard, call.request});
        reply = decodeClaimReply(m_transport.call(call.address, "claim.claim", json, CallTimeout));
    } catch (const OutcomeUnknown &) {
        // The owner may have granted the claim. Nothing was sent upstream, so release the key.
        ClaimEnd end;
        end.key = call.request.key;
        end.claimant = call.request.claimant;
        end.kind = ClaimEndKind::NotRun;
        enqueue({call.address, call.shard, true, {}, end, {}, {}});
    } catch (const Error &) {
        reply.verdict = ClaimVerdict::Unavailable;
    }
    const bool isWaiting = reply.verdict == ClaimVerdict::Waiting;
    if (!isWaiting || !call.isWaitingReported) {
        call.reply(reply); // Waiting is passed on only once
    }
    if (!isWaiting) {
        return;
    }
    // Poll the owner until the first run ends.
    call.isWaitingReported = true;
    const ClaimOwner::Reply replyToCaller = call.reply;
    if (!scheduleRetry(std::move(call))) {
        replyToCaller({ClaimVerdict::Unknown, {}});
    }
}

void RemoteClaims::sendEnd(Call call)
{
    try {
        m_transport.call(call.address, "claim.end", encodeClaimEnd({call.shard, call.end}), CallTimeout);
    } catch (const Error &) {
        // If the end is never delivered, the claim becomes Unknown at the next takeover. Repeats of the request then get
        // outcome_unknown instead of the answer, but the request never runs twice.
        scheduleRetry(std::move(call));
    }
}

bool RemoteClaims::scheduleRetry(Call call)
{
    if (m_clock.now() + RetryInterval >= call.retryDeadline) {
        return false;
    }
    std::lock_guard guard(m_mutex);
    if (m_isStopping || m_retries.size() >= MaxQueuedCalls) {
        return false;
    }
    m_retries.push_back(std::move(call));
    return true;
}

void RemoteClaims::runRetries()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        std::vector<Call> due;
        due.swap(m_retries);
        lock.unlock();
        for (Call &it : due) {
            ClaimOwner::Reply reply = it.reply;
            if (!m_calls.tryPush(std::move(it)) && reply) {
                reply({ClaimVerdict::Unknown, {}});
            }
        }
        lock.lock();
        m_clock.waitUntil(lock, m_wake, m_clock.now() + RetryInterval);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// ClaimRouter
// ---------------------------------------------------------------------------------------------------------------------

ClaimRouter::ClaimRouter(std::vector<ClaimShard *> shards, RemoteClaims &remote, OwnerAddressLookup ownerAddress)
    : m_shards(std::move(shards))
    , m_remote(remote)
    , m_ownerAddress(std::move(ownerAddress))
    , m_sharded(static_cast<std::uint32_t>(m_shards.size()), [this](std::uint32_t shard) { return findOwner(shard); })
{
}

void ClaimRouter::bind(PeerRouter &router)
{
    router.on("claim.claim", [this](const PeerCall &call) { return handleClaim(call); });
    router.on("claim.end", [this](const PeerCall &call) { return handleEnd(call); });
}

void ClaimRouter::claim(const ClaimRequest &request, Reply reply)
{
    m_sharded.claim(request, std::move(reply));
}

void ClaimRouter::end(const ClaimEnd &end)
{
    m_sharded.end(end);
}

std::shared_ptr<ClaimOwner> ClaimRouter::findOwner(std::uint32_t shard)
{
    ClaimShard &local = *m_shards.at(shard);
    if (auto owner = local.owner()) {
        return owner;
    }
    const std::string address = m_ownerAddress(local.shardName());
    if (address.empty()) {
        return nullptr;
    }
    return m_remote.ownerAt(address, shard);
}

std::string ClaimRouter::handleClaim(const PeerCall &call)
{
    const ClaimCall claim = decodeClaim(call.body);
    const auto owner = claim.shard < m_shards.size() ? m_shards[claim.shard]->owner() : nullptr;
    if (!owner) {
        return encodeClaimReply({ClaimVerdict::Unavailable, {}});
    }
    // Shared with the callback, which outlives this call: after Waiting it is called a second time, and that reply is
    // ignored because the remote member polls.
    const auto promise = std::make_shared<std::promise<ClaimReply>>();
    const auto hasReplied = std::make_shared<std::atomic<bool>>(false);
    std::future<ClaimReply> first = promise->get_future();
    owner->claim(claim.request, [promise, hasReplied](ClaimReply reply) {
        if (!hasReplied->exchange(true)) {
            promise->set_value(std::move(reply));
        }
    });
    if (first.wait_for(OwnerReplyTimeout) != std::future_status::ready) {
        throw OutcomeUnknown("the journal of claims did not reply in time");
    }
    return encodeClaimReply(first.get());
}

std::string ClaimRouter::handleEnd(const PeerCall &call)
{
    const ClaimEndCall end = decodeClaimEnd(call.body);
    const auto owner = end.shard < m_shards.size() ? m_shards[end.shard]->owner() : nullptr;
    if (!owner) {
        throw Unavailable("this member does not own the claim shard");
    }
    owner->end(end.end);
    return "{}";
}

} // namespace QuetzalRock
