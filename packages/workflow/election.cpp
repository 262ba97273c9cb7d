#include <workflow/election.h>

#include <base/errors.h>

#include <algorithm>
#include <charconv>
#include <functional>

namespace QuetzalRock::Workflow {

namespace {

constexpr Duration KeyReadRetryDelay = std::chrono::milliseconds(250); ///< after a failed store call
constexpr Duration EndedTermDelay = std::chrono::milliseconds(400);    ///< lets a campaign in progress finish first
constexpr Duration SettledRetryDelay = std::chrono::milliseconds(500); ///< also the time allowed for a reply
constexpr std::size_t MaxTermsSeen = 100; ///< for a term that was forgotten, the end of a later one counts

} // namespace

TimePoint Leadership::endSeenAt(std::uint64_t former) const
{
    TimePoint earliest = TimePoint::max();
    for (auto it = seenAt.upper_bound(former); it != seenAt.end(); ++it) {
        earliest = std::min(earliest, it->second);
    }
    return earliest;
}

Election::Election(RecordStore &store,
                   Clock &clock,
                   EventLog &log,
                   ShardId shard,
                   std::string node,
                   std::string bootId,
                   const ElectionSettings &settings)
    : m_store(store)
    , m_clock(clock)
    , m_log(log)
    , m_shard(shard)
    , m_keys(makeShardKeys(shard))
    , m_node(std::move(node))
    , m_bootId(std::move(bootId))
    , m_settings(settings)
    , m_random(static_cast<std::minstd_rand::result_type>(
          std::hash<std::string>()(m_node + m_bootId + m_keys.leader) % 2147483646 + 1))
{
}

const Leadership &Election::leadership() const
{
    return m_term;
}

TimePoint Election::nextActionAt() const
{
    const TimePoint renewAt = m_term.epoch != 0 && !m_isRenewing ? m_renewAt : TimePoint::max();
    return std::min(renewAt, m_stage == Stage::Idle ? m_nextActionAt : TimePoint::max());
}

Authority Election::authority(TimePoint now) const
{
    if (m_term.epoch == 0 || m_hasResigned) {
        return Authority::None;
    }
    if (now < m_validUntil && !m_needsKeyCheck) {
        return Authority::Full;
    }
    return now < m_validUntil + m_settings.gracePeriod ? Authority::Grace : Authority::None;
}

TimePoint Election::fullAuthorityUntil() const
{
    return m_validUntil;
}

template<typename Handler>
StoreDone Election::guard(Handler handler)
{
    return [this, alive = std::weak_ptr(m_alive), handler = std::move(handler)](const StoreReply &reply) {
        if (alive.expired()) {
            return;
        }
        try {
            handler(reply);
        } catch (const std::exception &error) {
            m_log.write("election_failed", "shard", m_shard, "error", error.what());
            endTerm("unexpected error");
            scheduleRetry();
        }
    };
}

void Election::tick(TimePoint now)
{
    if (m_term.epoch != 0 && !m_hasResigned && !m_isRenewing && now >= m_renewAt) {
        renew(now);
    }
    if (m_term.epoch != 0 && !m_isSettledStored && now >= m_storeSettledAt) {
        storeSettled();
    }
    if (m_unreportedEpoch != 0 && m_term.epoch == 0 && now >= m_reportEndedTermAt) {
        reportEndedTerm();
    }
    if (m_stage == Stage::Idle && now >= m_nextActionAt) {
        const TimePoint campaignAt = m_vacantSince + m_campaignDelay;
        if (m_hasWaited && now < campaignAt) {
            m_nextActionAt = campaignAt; // the delay has grown meanwhile
        } else {
            readLeaderKey();
        }
    }
}

void Election::setCampaignDelay(Duration delay)
{
    m_campaignDelay = delay;
}

bool Election::isCampaigning() const
{
    const bool isAboutTo = m_stage == Stage::ReadingKey && m_hasWaited;
    return m_term.epoch == 0 && !m_hasResigned
           && (isAboutTo || m_stage == Stage::Campaigning || m_isCampaignUnanswered);
}

void Election::scheduleKeyRead()
{
    m_nextActionAt = std::min(m_nextActionAt, m_clock.now());
    m_stage = m_stage == Stage::Following ? Stage::Idle : m_stage;
}

void Election::requireKeyCheck()
{
    m_needsKeyCheck = true;
    scheduleKeyRead();
}

void Election::depose()
{
    endTerm("a higher epoch was seen");
    scheduleKeyRead();
}

EpochRecord Election::epochRecord(bool hasResigned) const
{
    return {m_term.epoch, m_node, m_bootId, hasResigned, m_former, true};
}

void Election::settle()
{
    if (m_term.epoch != 0 && !m_former.empty()) {
        m_former.clear();
        m_isSettledStored = false;
        m_storeSettledAt = m_clock.now();
    }
}

/** Stores that the former leaders need not be waited for. Until that succeeds, a successor waits for them. */
void Election::storeSettled()
{
    m_storeSettledAt = m_clock.now() + SettledRetryDelay;
    StoreChange change;
    change.conditions = {{m_keys.leader, m_term.keyRevision}};
    change.puts = {{m_keys.epoch, encodeEpoch(epochRecord(false)), 0}};
    m_store.change(std::move(change), guard([this, epoch = m_term.epoch](const StoreReply &reply) {
                       m_isSettledStored
                           = m_isSettledStored || (reply.status == StoreStatus::Ok && epoch == m_term.epoch);
                   }));
}

void Election::resign()
{
    if (m_hasResigned) {
        return;
    }
    m_hasResigned = true;
    if (m_term.epoch != 0) {
        storeResignation();
        m_term = {};
    }
}

void Election::handOver()
{
    if (m_term.epoch != 0) {
        storeResignation();
        markEnded(m_term.epoch); // reported later if the resignation is not stored
        m_term = {};
        m_needsKeyCheck = false;
    }
}

void Election::storeResignation()
{
    m_log.write("leader_resigns", "shard", m_shard, "epoch", m_term.epoch);
    StoreChange change;
    change.conditions = {{m_keys.leader, m_term.keyRevision}};
    change.puts = {{m_keys.epoch, encodeEpoch(epochRecord(true)), 0}};
    change.removals = {m_keys.leader};
    m_store.change(std::move(change), [](const StoreReply &) {}); // if it fails, the lease expires anyway
}

// ---------------------------------------------------------------------------------------------------------------------
// Following
// ---------------------------------------------------------------------------------------------------------------------

void Election::scheduleRetry()
{
    m_stage = Stage::Idle;
    m_nextActionAt = m_clock.now() + KeyReadRetryDelay;
}

void Election::readLeaderKey()
{
    m_stage = Stage::ReadingKey;
    m_store.get(m_keys.leader, guard([this](const StoreReply &reply) { onLeaderKeyRead(reply); }));
}

void Election::onLeaderKeyRead(const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok && !reply.items.empty()) {
        applyLeaderKey(reply.items.front());
        const bool isDeletedSince = reply.items.front().revision < m_deletedRevision;
        m_hasWaited = false; // the next vacancy is waited for anew
        m_stage = isDeletedSince ? Stage::Idle : Stage::Following;
        m_nextActionAt = m_clock.now();
    } else if (reply.status == StoreStatus::NotFound) {
        onNoLeaderKey();
    } else {
        scheduleRetry();
    }
}

/** There is no leader: campaigns, after the campaign delay if that has not been applied yet. */
void Election::onNoLeaderKey()
{
    m_leaderName.clear();
    endTerm("the leader key does not exist");
    endUnansweredCampaign();
    if (m_hasResigned) {
        scheduleRetry();
    } else if (m_campaignDelay > Duration::zero() && !m_hasWaited) {
        m_hasWaited = true;
        m_vacantSince = m_clock.now();
        m_stage = Stage::Idle;
        m_nextActionAt = m_vacantSince + m_campaignDelay;
    } else {
        campaign();
    }
}

void Election::noteTerm(std::uint64_t epoch)
{
    m_termsSeen.emplace(epoch, m_clock.now());
    if (m_termsSeen.size() > MaxTermsSeen) {
        m_termsSeen.erase(m_termsSeen.begin());
    }
}

/** The key's value is "NODE EPOCH RANDOM". */
void Election::noteTermOf(const StoreItem &leaderKey)
{
    const std::string_view value = leaderKey.value;
    const std::size_t begin = std::min(value.size(), value.find(' ')) + 1;
    std::uint64_t epoch = 0;
    if (begin < value.size()
        && std::from_chars(value.data() + begin, value.data() + value.size(), epoch).ec == std::errc()) {
        noteTerm(epoch);
    }
}

/** The last campaign has succeeded. */
void Election::beginTerm(std::uint64_t keyRevision)
{
    noteTerm(m_campaignEpoch);
    m_term = {m_campaignEpoch, keyRevision, m_former, m_termsSeen};
    m_validUntil = m_leaseSentAt + m_settings.leaseDuration;
    m_log.write("leader_elected", "shard", m_shard, "epoch", m_term.epoch, "revision", m_term.keyRevision);
}

/** Updates the term from the current leader key, which this node or another one has written. */
void Election::applyLeaderKey(const StoreItem &item)
{
    noteTermOf(item);
    const std::string name = item.value.substr(0, item.value.find(' '));
    if (name != m_leaderName) {
        m_log.write("leader_seen", "shard", m_shard, "leader", name, "revision", item.revision);
        m_leaderName = name;
    }
    const bool isOwnCampaign = item.value == m_ownValue && m_campaignEpoch > m_lastEndedEpoch;
    if (isOwnCampaign && m_term.epoch == 0 && !m_hasResigned) {
        m_isCampaignUnanswered = false;
        beginTerm(item.revision); // the campaign succeeded, but its reply was lost
    } else if (m_term.epoch != 0 && item.revision != m_term.keyRevision) {
        endTerm("another node leads");
    } else if (!isOwnCampaign) {
        endUnansweredCampaign();
    }
    m_needsKeyCheck = false;
}

void Election::endTerm(std::string_view reason)
{
    if (m_term.epoch != 0) {
        m_log.write("leader_deposed", "shard", m_shard, "epoch", m_term.epoch, "why", reason);
        markEnded(m_term.epoch);
        m_term = {};
    }
    m_needsKeyCheck = false;
}

void Election::markEnded(std::uint64_t epoch)
{
    m_lastEndedEpoch = epoch;
    m_unreportedEpoch = epoch;
    m_reportEndedTermAt = m_clock.now() + EndedTermDelay;
}

/** The leader key shows that the last campaign, whose reply was lost, has not made this node leader, or no longer does. */
void Election::endUnansweredCampaign()
{
    if (m_isCampaignUnanswered && m_term.epoch == 0) {
        m_isCampaignUnanswered = false;
        markEnded(m_campaignEpoch);
    }
}

/** Takes this process off the leaders that may still send orders, unless it leads again meanwhile. */
void Election::reportEndedTerm()
{
    m_reportEndedTermAt = m_clock.now() + EndedTermDelay;
    m_store.get(m_keys.epoch, guard([this](const StoreReply &reply) { onEndedTermRead(reply); }));
}

void Election::onEndedTermRead(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok || reply.items.empty() || m_unreportedEpoch == 0 || m_term.epoch != 0) {
        return; // repeated, unless this process leads again: then its new term covers the ended one
    }
    try {
        EpochRecord record = decodeEpoch(reply.items.front().value);
        const bool isLast = record.epoch == m_unreportedEpoch && !record.hasResigned;
        const std::size_t removed = std::erase_if(record.earlier, [this](const FormerLeader &it) {
            return it.node == m_node && it.bootId == m_bootId && it.epoch <= m_unreportedEpoch;
        });
        if (!isLast && removed == 0) {
            m_unreportedEpoch = 0; // stored, or nobody waits for this process
            return;
        }
        record.hasResigned = record.hasResigned || isLast;
        m_log.write("ended_term_reported", "shard", m_shard, "epoch", m_unreportedEpoch, "last_epoch", record.epoch);
        StoreChange change;
        change.conditions = {{m_keys.epoch, reply.items.front().revision}};
        if (isLast) {
            change.conditions.push_back({m_keys.leader, 0});
        }
        change.puts = {{m_keys.epoch, encodeEpoch(record), 0}};
        m_store.change(std::move(change), [](const StoreReply &) {}); // the next read shows whether it succeeded
    } catch (const Error &error) {
        m_log.write("epoch_unreadable", "error", error.what());
        m_unreportedEpoch = 0;
    }
}

void Election::onLeaderKeyChanged(const StoreItem &item)
{
    if (!item.isDeleted) {
        noteTermOf(item);
    }
    if (item.isDeleted) {
        onLeaderKeyDeleted(item);
    } else if (m_stage == Stage::Following && item.revision > m_deletedRevision
               && item.revision >= m_term.keyRevision) {
        applyLeaderKey(item);
    }
}

/** Schedules a read of the key, which leads to a campaign. The random jitter keeps nodes from campaigning at once. */
void Election::onLeaderKeyDeleted(const StoreItem &item)
{
    const bool isOutdated = m_term.epoch != 0 && item.revision <= m_term.keyRevision;
    m_deletedRevision = std::max(m_deletedRevision, item.revision);
    if (isOutdated || m_stage != Stage::Following) {
        return; // the read or campaign in progress will see the key's state, or this node has written the key since
    }
    m_log.write("leader_key_deleted", "shard", m_shard, "leader", m_leaderName, "revision", item.revision);
    m_leaderName.clear();
    endTerm("the leader key was deleted");
    m_stage = Stage::Idle;
    m_hasWaited = true;
    m_vacantSince = m_clock.now();
    m_nextActionAt
        = m_vacantSince + m_campaignDelay + Duration(m_random() % (m_settings.maxCampaignJitter.count() + 1));
}

// ---------------------------------------------------------------------------------------------------------------------
// Campaign
// ---------------------------------------------------------------------------------------------------------------------

void Election::campaign()
{
    m_stage = Stage::Campaigning;
    m_hasWaited = false;
    m_store.get(m_keys.epoch, guard([this](const StoreReply &reply) { onEpochRead(reply); }));
}

void Election::onEpochRead(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        scheduleRetry();
        return;
    }
    m_ownValue.clear(); // an earlier campaign that is executed only now is not taken for this one
    const bool isFirst = reply.status == StoreStatus::NotFound || reply.items.empty();
    EpochRecord previous;
    try {
        previous = isFirst ? EpochRecord{} : decodeEpoch(reply.items.front().value);
    } catch (const Error &error) {
        // A guessed epoch could reuse one and break fencing: nobody leads until an operator repairs the record.
        m_log.write("epoch_unreadable", "error", error.what());
        scheduleRetry();
        return;
    }
    m_campaignEpoch = previous.epoch + 1;
    m_former = remainingLeaders(previous, m_node);
    if (m_lastEndedEpoch >= m_campaignEpoch) { // an unanswered campaign was not executed
        m_lastEndedEpoch = m_campaignEpoch - 1;
        m_unreportedEpoch = 0;
    }
    m_isSettledStored = true;
    m_campaignEpochRevision = isFirst ? 0 : reply.items.front().revision;
    m_leaseSentAt = m_clock.now();
    m_store.grantLease(m_settings.leaseDuration, guard([this](const StoreReply &it) { onLeaseGranted(it); }));
}

void Election::onLeaseGranted(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        scheduleRetry();
        return;
    }
    m_lease = reply.lease;
    m_settings.leaseDuration = reply.lifetime.count() > 0 ? reply.lifetime : m_settings.leaseDuration;
    m_ownValue = m_node + " " + std::to_string(m_campaignEpoch) + " " + std::to_string(m_random());
    StoreChange change;
    change.conditions = {{m_keys.leader, 0}, {m_keys.epoch, m_campaignEpochRevision}};
    change.puts = {{m_keys.leader, m_ownValue, m_lease},
                   {m_keys.epoch, encodeEpoch({m_campaignEpoch, m_node, m_bootId, false, m_former, true}), 0}};
    m_store.change(std::move(change), guard([this](const StoreReply &it) { onLeaderKeyWritten(it); }));
}

void Election::onLeaderKeyWritten(const StoreReply &reply)
{
    m_stage = Stage::Idle;
    m_nextActionAt = m_clock.now();
    if (reply.status != StoreStatus::Ok) {
        // Another node won, or the reply was lost: reading the key shows which.
        m_isCampaignUnanswered = reply.status == StoreStatus::Unknown;
        m_nextActionAt += reply.status == StoreStatus::Conflict ? Duration::zero() : KeyReadRetryDelay;
        return;
    }
    beginTerm(reply.revision);
    m_leaderName = m_node;
    m_renewAt = m_leaseSentAt + m_settings.renewInterval;
    m_needsKeyCheck = false;
}

// ---------------------------------------------------------------------------------------------------------------------
// Lease renewal
// ---------------------------------------------------------------------------------------------------------------------

void Election::renew(TimePoint now)
{
    m_isRenewing = true;
    m_store.renewLease(m_lease, guard([this, now](const StoreReply &reply) { onRenewed(reply, now); }));
}

void Election::onRenewed(const StoreReply &reply, TimePoint sentAt)
{
    m_isRenewing = false;
    if (m_term.epoch == 0) {
        return;
    }
    if (reply.status == StoreStatus::Ok) {
        if (m_clock.now() >= m_validUntil) {
            requireKeyCheck(); // another node may have become leader in between
        }
        m_validUntil = sentAt + m_settings.leaseDuration;
        m_renewAt = sentAt + m_settings.renewInterval;
        return;
    }
    if (reply.status == StoreStatus::NotFound) {
        endTerm("the lease expired");
        scheduleKeyRead();
        return;
    }
    m_renewAt = m_clock.now() + m_settings.retryInterval;
}

} // namespace QuetzalRock::Workflow
