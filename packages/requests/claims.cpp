#include <requests/claims.h>

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr Duration IdleWait = 1s; ///< between looks at expired claims

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
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
    refuseAll(false);
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
        if (!m_stopping) {
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
// The thread
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
        workOffBacklog();
        m_table.expire(m_clock.now());
        m_counters.running = m_table.running();
        m_counters.kept = m_table.size();
    }
    workOffBacklog(); // ends that the write budget held back
}

bool LocalClaims::hasBacklog() const
{
    return !m_isOwner || m_doubt || !m_ends.empty() || !m_granting.empty();
}

bool LocalClaims::waitForWork()
{
    std::unique_lock lock(m_mutex);
    const TimePoint idle = m_clock.now() + IdleWait;
    const TimePoint due = std::max(m_retryAt, m_nextCommit);
    const TimePoint until = hasBacklog() ? std::min(due, idle) : idle;
    while (m_commands.empty() && !m_stopping && m_clock.now() < until) {
        m_clock.waitUntil(lock, m_wake, until);
    }
    return !m_stopping || !m_commands.empty();
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
        const auto isSame = [&](const Granting &it) { return it.request.claimant == command.request.claimant; };
        const auto granting = std::find_if(m_granting.begin(), m_granting.end(), isSame);
        if (decision.reply.verdict == ClaimVerdict::Granted && granting != m_granting.end()) {
            granting->reply = command.reply; // the same try again: granted once durable
            return;
        }
        command.reply(decision.reply);
        return;
    }
    if (m_doubt || m_clock.now() < m_retryAt) {
        m_table.undoClaim(command.request);
        ++m_counters.unavailable;
        command.reply({ClaimVerdict::Unavailable, {}});
        return;
    }
    m_granting.push_back({command.request, command.reply, decision.record});
}

void LocalClaims::handleEnd(const ClaimEnd &end)
{
    const std::string record = m_table.end(end, m_clock.now());
    if (record.empty()) {
        return;
    }
    m_ends.push_back(record);
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
// The log
// ---------------------------------------------------------------------------------------------------------------------

void LocalClaims::workOffBacklog()
{
    if (m_clock.now() < m_retryAt || m_isFenced) {
        return;
    }
    try {
        if (!m_isOwner) {
            takeOver();
        }
        if (m_doubt) {
            settleDoubt();
        }
        while (m_isOwner && !(m_ends.empty() && m_granting.empty()) && mayCommit()) {
            commit();
        }
        snapshotIfDue();
    } catch (const Fenced &) {
        standDown();
    } catch (const OutcomeUnknown &) {
        refuseAll(true);
        m_doubt = true;
        m_retryAt = m_clock.now() + m_settings.claimRetryDelay;
    } catch (const Error &) {
        refuseAll(false);
        m_retryAt = m_clock.now() + m_settings.claimRetryDelay;
    }
}

/** False until minClaimAppendInterval has passed since the last write, but for the last ones of a process that stops. */
bool LocalClaims::mayCommit()
{
    std::lock_guard guard(m_mutex);
    return m_stopping || m_clock.now() >= m_nextCommit;
}

std::vector<std::string> LocalClaims::nextBatch(std::size_t &ends, std::size_t &claims) const
{
    std::vector<std::string> batch;
    std::size_t size = 0;
    const std::size_t limit = m_log.maxBatchBytes();
    ends = 0;
    claims = 0;
    while (ends < m_ends.size() && (batch.empty() || size + m_ends[ends].size() <= limit)) {
        size += m_ends[ends].size();
        batch.push_back(m_ends[ends++]);
    }
    const bool endsLeft = ends < m_ends.size();
    while (!endsLeft && claims < m_granting.size()
           && (batch.empty() || size + m_granting[claims].record.size() <= limit)) {
        size += m_granting[claims].record.size();
        batch.push_back(m_granting[claims++].record);
    }
    return batch;
}

void LocalClaims::commit()
{
    std::size_t ends = 0;
    std::size_t claims = 0;
    const std::vector<std::string> batch = nextBatch(ends, claims);
    m_endsInDoubt = ends;
    m_nextCommit = m_clock.now() + m_settings.minClaimAppendInterval;
    m_log.append(batch);
    ++m_counters.batches;
    m_counters.records += batch.size();
    m_ends.erase(m_ends.begin(), m_ends.begin() + static_cast<std::ptrdiff_t>(ends));
    m_endsInDoubt = 0;
    grant(claims);
}

void LocalClaims::grant(std::size_t claims)
{
    const auto last = m_granting.begin() + static_cast<std::ptrdiff_t>(claims);
    std::vector<Granting> granted(std::make_move_iterator(m_granting.begin()), std::make_move_iterator(last));
    m_granting.erase(m_granting.begin(), last);
    for (const Granting &it : granted) {
        it.reply({ClaimVerdict::Granted, {}});
    }
}

/** Refuses every claim that is not durable. @p inDoubt: the batch may have been written all the same. */
void LocalClaims::refuseAll(bool inDoubt)
{
    std::vector<Granting> refused;
    refused.swap(m_granting);
    for (const Granting &it : refused) {
        ++m_counters.unavailable;
        if (inDoubt) {
            m_inDoubt.push_back(it.request);
        } else {
            m_table.undoClaim(it.request);
            answerWaiters(it.request.key, {ClaimVerdict::Unavailable, {}});
        }
        it.reply({ClaimVerdict::Unavailable, {}});
    }
    m_endsInDoubt = inDoubt ? m_endsInDoubt : 0;
}

void LocalClaims::settleDoubt()
{
    const bool written = m_log.resolve();
    m_doubt = false;
    if (written) {
        m_ends.erase(m_ends.begin(), m_ends.begin() + static_cast<std::ptrdiff_t>(m_endsInDoubt));
    }
    m_endsInDoubt = 0;
    // Written or not, the callers were told not_run and nothing was sent: the keys are free. A release that was not
    // needed does no harm.
    std::vector<ClaimRequest> claims;
    claims.swap(m_inDoubt);
    for (const ClaimRequest &it : claims) {
        handleEnd({it.key, it.claimant, ClaimEndKind::NotRun, {}});
    }
}

void LocalClaims::snapshotIfDue()
{
    if (!m_isOwner || !m_log.snapshotDue()) {
        return;
    }
    m_table.expire(m_clock.now());
    m_log.snapshot(m_table.snapshot());
}

void LocalClaims::standDown()
{
    m_isOwner = false;
    m_isFenced = true;
    refuseAll(false);
    for (const ClaimRequest &it : m_inDoubt) {
        m_table.undoClaim(it);
    }
    m_inDoubt.clear();
    m_ends.clear(); // the new owner has made these claims Unknown
    m_endsInDoubt = 0;
    m_doubt = false;
    for (auto &[key, replies] : m_waiters) {
        for (const Reply &it : replies) {
            it({ClaimVerdict::Unknown, {}});
        }
    }
    m_waiters.clear();
    m_retryAt = TimePoint::max(); // whoever decides on ownership starts a new one
}

// ---------------------------------------------------------------------------------------------------------------------
// ShardedClaims
// ---------------------------------------------------------------------------------------------------------------------

ShardedClaims::ShardedClaims(std::uint32_t shards, OwnerOf ownerOf)
    : m_shards(shards)
    , m_ownerOf(std::move(ownerOf))
{
    assert(shards > 0);
}

std::uint32_t ShardedClaims::shardOf(std::string_view key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) % shards);
}

void ShardedClaims::claim(const ClaimRequest &request, Reply reply)
{
    const auto owner = m_ownerOf(shardOf(request.key, m_shards));
    if (!owner) {
        reply({ClaimVerdict::Unavailable, {}});
        return;
    }
    owner->claim(request, std::move(reply));
}

void ShardedClaims::end(const ClaimEnd &end)
{
    const auto owner = m_ownerOf(shardOf(end.key, m_shards));
    if (owner) {
        owner->end(end);
    }
}

} // namespace QuetzalRock
