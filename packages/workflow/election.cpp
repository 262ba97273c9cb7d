#include <workflow/election.h>

#include <base/errors.h>

#include <algorithm>
#include <functional>

namespace QuetzalRock::Workflow {

namespace {

constexpr Duration LookAgainAfter = std::chrono::milliseconds(250); ///< after a failed look at the key

} // namespace

Election::Election(RecordStore &store,
                   Clock &clock,
                   EventLog &log,
                   ShardId shard,
                   std::string node,
                   std::string boot,
                   const ElectionSettings &settings)
    : m_store(store)
    , m_clock(clock)
    , m_log(log)
    , m_shard(shard)
    , m_keys(makeShardKeys(shard))
    , m_node(std::move(node))
    , m_boot(std::move(boot))
    , m_settings(settings)
    , m_random(static_cast<std::minstd_rand::result_type>(
          std::hash<std::string>()(m_node + m_boot + m_keys.leader) % 2147483646 + 1))
{
}

const Leadership &Election::leadership() const
{
    return m_term;
}

TimePoint Election::nextAt() const
{
    const TimePoint renewAt = m_term.epoch != 0 && !m_isRenewing ? m_renewAt : TimePoint::max();
    return std::min(renewAt, m_stage == Stage::Idle ? m_nextAt : TimePoint::max());
}

Authority Election::authority(TimePoint now) const
{
    if (m_term.epoch == 0 || m_hasResigned) {
        return Authority::None;
    }
    if (now < m_validUntil && !m_isDoubted) {
        return Authority::Full;
    }
    return now < m_validUntil + m_settings.grace ? Authority::Grace : Authority::None;
}

template<typename Handler>
StoreDone Election::guard(Handler handler)
{
    return [alive = std::weak_ptr(m_alive), handler = std::move(handler)](const StoreReply &reply) {
        if (!alive.expired()) {
            handler(reply);
        }
    };
}

void Election::tick(TimePoint now)
{
    if (m_term.epoch != 0 && !m_hasResigned && !m_isRenewing && now >= m_renewAt) {
        renew(now);
    }
    if (m_stage == Stage::Idle && now >= m_nextAt) {
        look();
    }
}

void Election::setHandicap(Duration handicap)
{
    m_handicap = handicap;
}

void Election::lookAtOnce()
{
    m_nextAt = std::min(m_nextAt, m_clock.now());
    m_stage = m_stage == Stage::Following ? Stage::Idle : m_stage;
}

void Election::doubt()
{
    m_isDoubted = true;
    lookAtOnce();
}

void Election::depose()
{
    loseTerm("a higher epoch has been seen");
    lookAtOnce();
}

void Election::resign()
{
    if (m_hasResigned) {
        return;
    }
    m_hasResigned = true;
    if (m_term.epoch != 0) {
        m_log.write("leader_resigns", "shard", m_shard, "epoch", m_term.epoch);
        StoreChange change;
        change.conditions = {{m_keys.leader, m_term.keyRevision}};
        change.puts = {{m_keys.epoch, encodeEpoch({m_term.epoch, m_node, m_boot, true}), 0}};
        change.removals = {m_keys.leader};
        m_store.change(std::move(change), [](const StoreReply &) {}); // where it fails, the lease lapses by itself
        m_term = {};
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Following
// ---------------------------------------------------------------------------------------------------------------------

void Election::retryLater()
{
    m_stage = Stage::Idle;
    m_nextAt = m_clock.now() + LookAgainAfter;
}

void Election::look()
{
    m_stage = Stage::Looking;
    m_store.get(m_keys.leader, guard([this](const StoreReply &reply) { onLook(reply); }));
}

void Election::onLook(const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok && !reply.items.empty()) {
        takeKey(reply.items.front());
        const bool hasGoneSince = reply.items.front().revision < m_goneRevision;
        m_stage = hasGoneSince ? Stage::Idle : Stage::Following;
        m_nextAt = m_clock.now();
    } else if (reply.status == StoreStatus::NotFound) {
        onMissing();
    } else {
        retryLater();
    }
}

/** Nobody leads: campaigns, unless others are to be let first. */
void Election::onMissing()
{
    m_leaderName.clear();
    loseTerm("the key is gone");
    if (m_hasResigned) {
        retryLater();
    } else if (m_handicap > Duration::zero() && !m_hasWaited) {
        m_hasWaited = true;
        m_stage = Stage::Idle;
        m_nextAt = m_clock.now() + m_handicap;
    } else {
        campaign();
    }
}

/** The leader's key as it is: ours, or another's. */
void Election::takeKey(const StoreItem &item)
{
    const std::string name = item.value.substr(0, item.value.find(' '));
    if (name != m_leaderName) {
        m_log.write("leader_seen", "shard", m_shard, "leader", name, "revision", item.revision);
        m_leaderName = name;
    }
    if (item.value == m_ownValue && m_term.epoch == 0 && m_campaignEpoch != 0 && !m_hasResigned) {
        m_term = {m_campaignEpoch, item.revision, m_former}; // the campaign's answer was lost, and it had succeeded
        m_validUntil = m_leaseSentAt + m_settings.leaseDuration;
        m_log.write("leader_elected", "shard", m_shard, "epoch", m_term.epoch, "revision", m_term.keyRevision);
    } else if (m_term.epoch != 0 && item.revision != m_term.keyRevision) {
        loseTerm("another leads");
    }
    m_isDoubted = false;
}

void Election::loseTerm(std::string_view why)
{
    if (m_term.epoch != 0) {
        m_log.write("leader_deposed", "shard", m_shard, "epoch", m_term.epoch, "why", why);
        m_term = {};
    }
    m_isDoubted = false;
}

void Election::onKey(const StoreItem &item)
{
    if (item.isDeleted) {
        onGone(item);
    } else if (m_stage == Stage::Following && item.revision > m_goneRevision) {
        takeKey(item);
    }
}

/** Looks again, and campaigns then: the random delay keeps the nodes from doing so all at once. */
void Election::onGone(const StoreItem &item)
{
    const bool isOld = m_term.epoch != 0 && item.revision <= m_term.keyRevision;
    m_goneRevision = std::max(m_goneRevision, item.revision);
    if (isOld || m_stage != Stage::Following) {
        return; // what is under way reads the key anew, or has written it since
    }
    m_log.write("leader_gone", "shard", m_shard, "leader", m_leaderName, "revision", item.revision);
    m_leaderName.clear();
    loseTerm("the key was removed");
    m_stage = Stage::Idle;
    m_hasWaited = true;
    m_nextAt = m_clock.now() + m_handicap + Duration(m_random() % (m_settings.campaignSpread.count() + 1));
}

// ---------------------------------------------------------------------------------------------------------------------
// Campaign
// ---------------------------------------------------------------------------------------------------------------------

void Election::campaign()
{
    m_stage = Stage::Campaigning;
    m_hasWaited = false;
    m_store.get(m_keys.epoch, guard([this](const StoreReply &reply) { onEpoch(reply); }));
}

void Election::onEpoch(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        retryLater();
        return;
    }
    const bool isFirst = reply.status == StoreStatus::NotFound || reply.items.empty();
    try {
        m_former = isFirst ? EpochRecord{} : decodeEpoch(reply.items.front().value);
    } catch (const Error &error) {
        m_log.write("epoch_unreadable", "error", error.what()); // never led by guesswork: an operator has to mend it
        retryLater();
        return;
    }
    m_campaignEpoch = m_former.epoch + 1;
    m_campaignEpochRevision = isFirst ? 0 : reply.items.front().revision;
    m_leaseSentAt = m_clock.now();
    m_store.grantLease(m_settings.leaseDuration, guard([this](const StoreReply &it) { onGrant(it); }));
}

void Election::onGrant(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        retryLater();
        return;
    }
    m_lease = reply.lease;
    m_settings.leaseDuration = reply.lifetime.count() > 0 ? reply.lifetime : m_settings.leaseDuration;
    m_ownValue = m_node + " " + std::to_string(m_campaignEpoch) + " " + std::to_string(m_random());
    StoreChange change;
    change.conditions = {{m_keys.leader, 0}, {m_keys.epoch, m_campaignEpochRevision}};
    change.puts = {{m_keys.leader, m_ownValue, m_lease},
                   {m_keys.epoch, encodeEpoch({m_campaignEpoch, m_node, m_boot, false}), 0}};
    m_store.change(std::move(change), guard([this](const StoreReply &it) { onWrite(it); }));
}

void Election::onWrite(const StoreReply &reply)
{
    m_stage = Stage::Idle;
    m_nextAt = m_clock.now();
    if (reply.status != StoreStatus::Ok) {
        // Lost the race, or the answer was lost: the key tells which.
        m_nextAt += reply.status == StoreStatus::Conflict ? Duration::zero() : LookAgainAfter;
        return;
    }
    m_term = {m_campaignEpoch, reply.revision, m_former};
    m_leaderName = m_node;
    m_validUntil = m_leaseSentAt + m_settings.leaseDuration;
    m_renewAt = m_leaseSentAt + m_settings.renewEvery;
    m_isDoubted = false;
    m_log.write("leader_elected", "shard", m_shard, "epoch", m_term.epoch, "revision", m_term.keyRevision);
}

// ---------------------------------------------------------------------------------------------------------------------
// Leading
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
            doubt(); // it may have lapsed, or been taken away, in between
        }
        m_validUntil = sentAt + m_settings.leaseDuration;
        m_renewAt = sentAt + m_settings.renewEvery;
        return;
    }
    if (reply.status == StoreStatus::NotFound) {
        loseTerm("the lease has lapsed");
        lookAtOnce();
        return;
    }
    m_renewAt = m_clock.now() + m_settings.retryEvery;
}

} // namespace QuetzalRock::Workflow
