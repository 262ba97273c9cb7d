#include <requests/claims.h>

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr Duration ExpiryCheckInterval = 1s; ///< between searches for expired claims on an idle shard

} // namespace

LocalClaims::LocalClaims(const RequestSettings &settings, Clock &clock, Log &log)
    : m_settings(settings)
    , m_clock(clock)
    , m_log(log)
    , m_table(settings)
{
}

LocalClaims::~LocalClaims()
{
    stop();
}

void LocalClaims::start()
{
    assert(!m_thread.joinable());
    m_thread = std::thread([this] { run(); });
}

void LocalClaims::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    {
        std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
    refusePendingClaims(false);
    for (const auto &[key, replies] : m_waiters) {
        for (const Reply &it : replies) {
            it({ClaimVerdict::Unknown, {}});
        }
    }
    m_waiters.clear();
}

void LocalClaims::claim(const ClaimRequest &request, Reply reply)
{
    {
        std::lock_guard guard(m_mutex);
        if (!m_isStopping) {
            m_commands.push_back({false, request, {}, std::move(reply)});
            m_wake.notify_all();
            return;
        }
    }
    reply({ClaimVerdict::Unavailable, {}});
}

void LocalClaims::end(const ClaimEnd &end)
{
    std::lock_guard guard(m_mutex);
    m_commands.push_back({true, {}, end, {}});
    m_wake.notify_all();
}

bool LocalClaims::isOwner() const
{
    return m_isOwner;
}

bool LocalClaims::isFenced() const
{
    return m_isFenced;
}

std::uint64_t LocalClaims::epoch() const
{
    return m_epoch;
}

const ClaimCounters &LocalClaims::counters() const
{
    return m_counters;
}

// ---------------------------------------------------------------------------------------------------------------------
// Thread and commands
// ---------------------------------------------------------------------------------------------------------------------

void LocalClaims::run()
{
    takeOver();
    while (waitForWork()) {
        std::deque<Command> commands;
        {
            std::lock_guard guard(m_mutex);
            commands.swap(m_commands);
        }
        for (Command &it : commands) {
            handle(it);
        }
        processBacklog();
        m_table.expire(m_clock.now());
        m_counters.running = m_table.running();
        m_counters.held = m_table.size();
    }
    processBacklog(); // writes ends that minClaimAppendInterval has delayed
}

bool LocalClaims::hasBacklog() const
{
    return !m_isOwner || m_isAppendInDoubt || !m_pendingEnds.empty() || !m_pendingGrants.empty();
}

bool LocalClaims::waitForWork()
{
    std::unique_lock lock(m_mutex);
    const TimePoint idle = m_clock.now() + ExpiryCheckInterval;
    const TimePoint due = std::max(m_retryAt, m_nextCommitAt);
    const TimePoint until = hasBacklog() ? std::min(due, idle) : idle;
    while (m_commands.empty() && !m_isStopping && m_clock.now() < until) {
        m_clock.waitUntil(lock, m_wake, until);
    }
    return !m_isStopping || !m_commands.empty();
}

void LocalClaims::takeOver()
{
    if (m_clock.now() < m_retryAt) {
        return;
    }
    try {
        const Replay replay = m_log.takeOver();
        m_table.restore(replay.snapshot, replay.records, m_clock.now());
        m_epoch = replay.epoch;
        m_isOwner = true;
    } catch (const Error &) {
        m_retryAt = m_clock.now() + m_settings.claimRetryDelay;
    }
}

void LocalClaims::handle(Command &command)
{
    if (command.isEnd) {
        handleEnd(command.end);
    } else {
        handleClaim(command);
    }
}

void LocalClaims::handleClaim(Command &command)
{
    ++m_counters.claims;
    if (!m_isOwner) {
        ++m_counters.unavailable;
        command.reply({ClaimVerdict::Unavailable, {}});
        return;
    }
    const ClaimTable::Decision decision = m_table.claim(command.request, m_clock.now());
    if (decision.record.empty()) {
        ++m_counters.repeats;
        if (decision.reply.verdict == ClaimVerdict::Waiting) {
            m_waiters[command.request.key].push_back(command.reply);
        }
        const auto isSame = [&](const PendingGrant &it) { return it.request.claimant == command.request.claimant; };
        const auto pending = std::find_if(m_pendingGrants.begin(), m_pendingGrants.end(), isSame);
        if (decision.reply.verdict == ClaimVerdict::Granted && pending != m_pendingGrants.end()) {
            pending->reply = command.reply; // the same claim repeated: granted once durable
            return;
        }
        command.reply(decision.reply);
        return;
    }
    if (m_isAppendInDoubt || m_clock.now() < m_retryAt) {
        m_table.undoClaim(command.request);
        ++m_counters.unavailable;
        command.reply({ClaimVerdict::Unavailable, {}});
        return;
    }
    m_pendingGrants.push_back({command.request, command.reply, decision.record});
}

void LocalClaims::handleEnd(const ClaimEnd &end)
{
    const std::string record = m_table.end(end, m_clock.now());
    if (record.empty()) {
        return;
    }
    m_pendingEnds.push_back(record);
    switch (end.kind) {
    case ClaimEndKind::Answered:
        answerWaiters(end.key, {ClaimVerdict::Done, end.answer});
        break;
    case ClaimEndKind::Unknown:
        answerWaiters(end.key, {ClaimVerdict::Unknown, {}});
        break;
    case ClaimEndKind::NotRun:
        answerWaiters(end.key, {ClaimVerdict::Unavailable, {}});
        break;
    }
}

void LocalClaims::answerWaiters(const std::string &key, const ClaimReply &reply)
{
    const auto node = m_waiters.extract(key);
    if (node.empty()) {
        return;
    }
    for (const Reply &it : node.mapped()) {
        it(reply);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Log
// ---------------------------------------------------------------------------------------------------------------------

void LocalClaims::processBacklog()
{
    if (m_clock.now() < m_retryAt || m_isFenced) {
        return;
    }
    try {
        if (!m_isOwner) {
            takeOver();
        }
        if (m_isAppendInDoubt) {
            resolveDoubt();
        }
        while (m_isOwner && !(m_pendingEnds.empty() && m_pendingGrants.empty()) && canCommit()) {
            commit();
        }
        writeSnapshotIfDue();
    } catch (const Fenced &) {
        handleFencing();
    } catch (const OutcomeUnknown &) {
        refusePendingClaims(true);
        m_isAppendInDoubt = true;
        m_retryAt = m_clock.now() + m_settings.claimRetryDelay;
    } catch (const Error &) {
        refusePendingClaims(false);
        m_retryAt = m_clock.now() + m_settings.claimRetryDelay;
    }
}

/** False until minClaimAppendInterval has passed since the last write. Always true while stopping. */
bool LocalClaims::canCommit()
{
    std::lock_guard guard(m_mutex);
    return m_isStopping || m_clock.now() >= m_nextCommitAt;
}

std::vector<std::string> LocalClaims::nextBatch(std::size_t &ends, std::size_t &claims) const
{
    std::vector<std::string> batch;
    std::size_t size = 0;
    const std::size_t limit = m_log.maxBatchBytes();
    ends = 0;
    claims = 0;
    while (ends < m_pendingEnds.size() && (batch.empty() || size + m_pendingEnds[ends].size() <= limit)) {
        size += m_pendingEnds[ends].size();
        batch.push_back(m_pendingEnds[ends++]);
    }
    const bool endsLeft = ends < m_pendingEnds.size();
    while (!endsLeft && claims < m_pendingGrants.size()
           && (batch.empty() || size + m_pendingGrants[claims].record.size() <= limit)) {
        size += m_pendingGrants[claims].record.size();
        batch.push_back(m_pendingGrants[claims++].record);
    }
    return batch;
}

void LocalClaims::commit()
{
    std::size_t ends = 0;
    std::size_t claims = 0;
    const std::vector<std::string> batch = nextBatch(ends, claims);
    m_endsInDoubt = ends;
    m_nextCommitAt = m_clock.now() + m_settings.minClaimAppendInterval;
    m_log.append(batch);
    ++m_counters.batches;
    m_counters.records += batch.size();
    m_pendingEnds.erase(m_pendingEnds.begin(), m_pendingEnds.begin() + static_cast<std::ptrdiff_t>(ends));
    m_endsInDoubt = 0;
    grant(claims);
}

void LocalClaims::grant(std::size_t claims)
{
    const auto last = m_pendingGrants.begin() + static_cast<std::ptrdiff_t>(claims);
    std::vector<PendingGrant> granted(std::make_move_iterator(m_pendingGrants.begin()), std::make_move_iterator(last));
    m_pendingGrants.erase(m_pendingGrants.begin(), last);
    for (const PendingGrant &it : granted) {
        it.reply({ClaimVerdict::Granted, {}});
    }
}

/** Refuses all claims that are not durable. @p inDoubt: their records may have been written nevertheless. */
void LocalClaims::refusePendingClaims(bool inDoubt)
{
    std::vector<PendingGrant> refused;
    refused.swap(m_pendingGrants);
    for (const PendingGrant &it : refused) {
        ++m_counters.unavailable;
        if (inDoubt) {
            m_claimsInDoubt.push_back(it.request);
        } else {
            m_table.undoClaim(it.request);
            answerWaiters(it.request.key, {ClaimVerdict::Unavailable, {}});
        }
        it.reply({ClaimVerdict::Unavailable, {}});
    }
    m_endsInDoubt = inDoubt ? m_endsInDoubt : 0;
}

void LocalClaims::resolveDoubt()
{
    const bool written = m_log.resolve();
    m_isAppendInDoubt = false;
    if (written) {
        m_pendingEnds.erase(m_pendingEnds.begin(), m_pendingEnds.begin() + static_cast<std::ptrdiff_t>(m_endsInDoubt));
    }
    m_endsInDoubt = 0;
    // The callers were told not_run and nothing was sent, so the keys are released whether the claims were written or
    // not. Releasing a claim that was not written is harmless.
    std::vector<ClaimRequest> claims;
    claims.swap(m_claimsInDoubt);
    for (const ClaimRequest &it : claims) {
        handleEnd({it.key, it.claimant, ClaimEndKind::NotRun, {}});
    }
}

void LocalClaims::writeSnapshotIfDue()
{
    if (!m_isOwner || !m_log.snapshotDue()) {
        return;
    }
    m_table.expire(m_clock.now());
    m_log.snapshot(m_table.snapshot());
}

void LocalClaims::handleFencing()
{
    m_isOwner = false;
    m_isFenced = true;
    refusePendingClaims(false);
    for (const ClaimRequest &it : m_claimsInDoubt) {
        m_table.undoClaim(it);
    }
    m_claimsInDoubt.clear();
    m_pendingEnds.clear(); // the new owner has set these claims to Unknown
    m_endsInDoubt = 0;
    m_isAppendInDoubt = false;
    for (auto &[key, replies] : m_waiters) {
        for (const Reply &it : replies) {
            it({ClaimVerdict::Unknown, {}});
        }
    }
    m_waiters.clear();
    m_retryAt = TimePoint::max(); // a later takeover needs a new LocalClaims
}

// ---------------------------------------------------------------------------------------------------------------------
// ShardedClaims
// ---------------------------------------------------------------------------------------------------------------------

ShardedClaims::ShardedClaims(std::uint32_t shards, FindOwner findOwner)
    : m_shards(shards)
    , m_findOwner(std::move(findOwner))
{
    assert(shards > 0);
}

std::uint32_t ShardedClaims::shardOf(std::string_view key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) % shards);
}

void ShardedClaims::claim(const ClaimRequest &request, Reply reply)
{
    const auto owner = m_findOwner(shardOf(request.key, m_shards));
    if (!owner) {
        reply({ClaimVerdict::Unavailable, {}});
        return;
    }
    owner->claim(request, std::move(reply));
}

void ShardedClaims::end(const ClaimEnd &end)
{
    const auto owner = m_findOwner(shardOf(end.key, m_shards));
    if (owner) {
        owner->end(end);
    }
}

} // namespace QuetzalRock
