#include <daemon/claimshards.h>

#include <daemon/claimcodec.h>

#include <glog/logging.h>

#include <future>

namespace QuetzalRock {

namespace {

constexpr Duration TakeOverLimit = std::chrono::seconds(3);
constexpr Duration TakeOverPoll = std::chrono::milliseconds(5);
constexpr Duration OwnerAnswerLimit = std::chrono::milliseconds(1500); ///< the owner's journal included
constexpr Duration CallTimeout = std::chrono::seconds(2);              ///< above OwnerAnswerLimit
constexpr Duration RepeatEvery
    = std::chrono::milliseconds(100); ///< while a first run goes on, or an end is undelivered
constexpr Duration GiveUpAfter = std::chrono::seconds(30);
constexpr std::size_t CallCapacity = 4096;
constexpr int CallThreads = 4;

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// ClaimShard
// ---------------------------------------------------------------------------------------------------------------------

ClaimShard::Tenure::Tenure(const RequestSettings &settings,
                           KeyValueService &service,
                           Clock &clock,
                           const JournalSettings &journalSettings)
    : journal(service, journalSettings)
    , claims(settings, clock, journal)
{
    claims.start();
}

ClaimShard::Tenure::~Tenure()
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
    journal.writer = m_writer + "." + std::to_string(++m_tenures);
    const auto tenure = std::make_shared<Tenure>(m_settings, m_service, m_clock, journal);
    const TimePoint limit = m_clock.now() + TakeOverLimit;
    while (!tenure->claims.isOwner()) {
        if (m_clock.now() >= limit) {
            throw Unavailable(m_name + " could not be taken over in time");
        }
        m_clock.sleepFor(TakeOverPoll);
    }
    std::lock_guard guard(m_mutex);
    m_current = tenure;
    return tenure->claims.epoch();
}

void ClaimShard::release()
{
    std::shared_ptr<Tenure> tenure;
    std::lock_guard guard(m_mutex);
    tenure.swap(m_current);
}

std::uint64_t ClaimShard::fencedEpoch() const
{
    const auto tenure = current();
    return tenure && tenure->claims.isFenced() ? tenure->claims.epoch() : 0;
}

std::shared_ptr<ClaimOwner> ClaimShard::owner() const
{
    const auto tenure = current();
    if (!tenure || !tenure->claims.isOwner()) {
        return nullptr;
    }
    return {tenure, &tenure->claims};
}

std::shared_ptr<ClaimShard::Tenure> ClaimShard::current() const
{
    std::lock_guard guard(m_mutex);
    return m_current;
}

// ---------------------------------------------------------------------------------------------------------------------
// RemoteClaims
// ---------------------------------------------------------------------------------------------------------------------

class RemoteClaims::Owner final : public ClaimOwner
{
public:
    Owner(RemoteClaims &remote, std::string address, std::uint32_t shard)
        : m_remote(remote)
        , m_address(std::move(address))
        , m_shard(shard)
    {
    }

    void claim(const ClaimRequest &request, Reply reply) override
    {
        m_remote.push({m_address, m_shard, false, request, {}, std::move(reply), {}});
    }

    void end(const ClaimEnd &end) override
    {
        m_remote.push({m_address, m_shard, true, {}, end, {}, {}});
    }

private:
    RemoteClaims &m_remote;
    std::string m_address;
    std::uint32_t m_shard;
};

RemoteClaims::RemoteClaims(PeerTransport &transport, Clock &clock)
    : m_transport(transport)
    , m_clock(clock)
    , m_calls(CallCapacity)
{
    for (int n = 0; n < CallThreads; ++n) {
        m_threads.emplace_back([this] { run(); });
    }
    m_threads.emplace_back([this] { runRepeats(); });
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

std::shared_ptr<ClaimOwner> RemoteClaims::at(std::string address, std::uint32_t shard)
{
    return std::make_shared<Owner>(*this, std::move(address), shard);
}

void RemoteClaims::push(Call call)
{
    call.giveUpAt = m_clock.now() + GiveUpAfter;
    ClaimOwner::Reply reply = call.reply;
    if (!m_calls.tryPush(std::move(call)) && reply) {
        reply({ClaimVerdict::Unavailable, {}});
    }
}

void RemoteClaims::run()
{
    while (std::optional<Call> call = m_calls.pop()) {
        if (call->isEnd) {
            runEnd(std::move(*call));
        } else {
            runClaim(std::move(*call));
        }
    }
}

void RemoteClaims::runClaim(Call call)
{
    ClaimReply reply;
    try {
        const std::string json = encodeClaim({call.shard, call.request});
        reply = decodeClaimReply(m_transport.call(call.address, "claim.claim", json, CallTimeout));
    } catch (const OutcomeUnknown &) {
        // It may have been granted there. Nothing was sent upstream, so say that the key is free again.
        ClaimEnd end;
        end.key = call.request.key;
        end.claimant = call.request.claimant;
        end.kind = ClaimEndKind::NotRun;
        push({call.address, call.shard, true, {}, end, {}, {}});
    } catch (const Error &) {
        reply.verdict = ClaimVerdict::Unavailable;
    }
    const bool isWaiting = reply.verdict == ClaimVerdict::Waiting;
    if (!isWaiting || !call.isRepeat) {
        call.reply(reply); // the caller is told once that it waits
    }
    if (!isWaiting) {
        return;
    }
    // Ask for the end of the first run again and again.
    call.isRepeat = true;
    const ClaimOwner::Reply answer = call.reply;
    if (!repeatLater(std::move(call))) {
        answer({ClaimVerdict::Unknown, {}});
    }
}

void RemoteClaims::runEnd(Call call)
{
    try {
        m_transport.call(call.address, "claim.end", encodeClaimEnd({call.shard, call.end}), CallTimeout);
    } catch (const Error &) {
        // Another owner makes a running claim Unknown by itself, so giving up late loses an answer, never a promise.
        repeatLater(std::move(call));
    }
}

bool RemoteClaims::repeatLater(Call call)
{
    if (m_clock.now() + RepeatEvery >= call.giveUpAt) {
        return false;
    }
    std::lock_guard guard(m_mutex);
    if (m_isStopping || m_repeats.size() >= CallCapacity) {
        return false;
    }
    m_repeats.push_back(std::move(call));
    return true;
}

void RemoteClaims::runRepeats()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        std::vector<Call> due;
        due.swap(m_repeats);
        lock.unlock();
        for (Call &it : due) {
            ClaimOwner::Reply reply = it.reply;
            if (!m_calls.tryPush(std::move(it)) && reply) {
                reply({ClaimVerdict::Unknown, {}});
            }
        }
        lock.lock();
        m_clock.waitUntil(lock, m_wake, m_clock.now() + RepeatEvery);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// ClaimRouter
// ---------------------------------------------------------------------------------------------------------------------

ClaimRouter::ClaimRouter(std::vector<ClaimShard *> shards, RemoteClaims &remote, AddressOf addressOf)
    : m_shards(std::move(shards))
    , m_remote(remote)
    , m_addressOf(std::move(addressOf))
    , m_sharded(static_cast<std::uint32_t>(m_shards.size()), [this](std::uint32_t shard) { return ownerOf(shard); })
{
}

void ClaimRouter::bind(PeerRouter &router)
{
    router.on("claim.claim", [this](const PeerCall &call) { return onClaim(call); });
    router.on("claim.end", [this](const PeerCall &call) { return onEnd(call); });
}

void ClaimRouter::claim(const ClaimRequest &request, Reply reply)
{
    m_sharded.claim(request, std::move(reply));
}

void ClaimRouter::end(const ClaimEnd &end)
{
    m_sharded.end(end);
}

std::shared_ptr<ClaimOwner> ClaimRouter::ownerOf(std::uint32_t shard)
{
    ClaimShard &local = *m_shards.at(shard);
    if (auto owner = local.owner()) {
        return owner;
    }
    const std::string address = m_addressOf(local.shardName());
    if (address.empty()) {
        return nullptr;
    }
    return m_remote.at(address, shard);
}

std::string ClaimRouter::onClaim(const PeerCall &call)
{
    const ClaimCall claim = decodeClaim(call.body);
    const auto owner = claim.shard < m_shards.size() ? m_shards[claim.shard]->owner() : nullptr;
    if (!owner) {
        return encodeClaimReply({ClaimVerdict::Unavailable, {}});
    }
    // The promise outlives this call: for Waiting a second reply comes later, which nobody takes.
    const auto promise = std::make_shared<std::promise<ClaimReply>>();
    const auto isAnswered = std::make_shared<std::atomic<bool>>(false);
    std::future<ClaimReply> first = promise->get_future();
    owner->claim(claim.request, [promise, isAnswered](ClaimReply reply) {
        if (!isAnswered->exchange(true)) {
            promise->set_value(std::move(reply));
        }
    });
    if (first.wait_for(OwnerAnswerLimit) != std::future_status::ready) {
        throw OutcomeUnknown("the journal of claims did not answer in time");
    }
    return encodeClaimReply(first.get());
}

std::string ClaimRouter::onEnd(const PeerCall &call)
{
    const ClaimEndCall end = decodeClaimEnd(call.body);
    const auto owner = end.shard < m_shards.size() ? m_shards[end.shard]->owner() : nullptr;
    if (!owner) {
        throw Unavailable("this member does not own the shard of claims");
    }
    owner->end(end.end);
    return "{}";
}

} // namespace QuetzalRock
