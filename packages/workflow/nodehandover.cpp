#include <workflow/node.h>

#include <base/errors.h>

#include <algorithm>

namespace QuetzalRock::Workflow {

std::uint64_t Node::handedOverShards() const
{
    return m_handedOverShards;
}

void Node::onHandoverItem(const StoreItem &item)
{
    const auto shard = shardOfKey(item.key, HandoverPrefix);
    if (!shard) {
        return;
    }
    try {
        m_leaderBoard.onRequestItem(*shard, item, m_clock.now());
    } catch (const Error &error) {
        m_log.write("handover_request_unreadable", "shard", *shard, "revision", item.revision, "error", error.what());
    }
}

void Node::tickHandovers(TimePoint now)
{
    for (const auto &it : m_localShards) {
        const bool isSettled
            = it->scheduler && it->scheduler->isTakeoverComplete() && it->election.authority(now) == Authority::Full;
        m_calmSince = it->scheduler && !isSettled ? now : m_calmSince;
        if (it->isGained) {
            checkGainedShard(*it, now);
        }
    }
    if (m_handover) {
        continueHandover(now);
    } else if (now >= m_nextHandoverAt && isCalm(now)) {
        beginHandover(now);
    }
    if (now >= m_nextRequestAt) {
        const auto interval = static_cast<std::minstd_rand::result_type>(m_settings.handover.requestInterval.count());
        m_nextRequestAt = now + Duration(interval / 2 + m_random() % interval);
        askForShard(now);
    }
}

bool Node::isCalm(TimePoint now) const
{
    return !m_isDraining && now >= m_calmSince + m_settings.handover.calmTime;
}

/** What it costs this node to lead @p local beside the other shards that it leads; without a bound, unlike campaignDelay(). */
Duration Node::leadershipCost(const LocalShard &local) const
{
    return ledShardsDelay(local) + suitabilityDelay(local.shard);
}

bool Node::isWorthHandingOver(const LocalShard &local, TimePoint now) const
{
    const auto request = m_leaderBoard.request(local.shard, local.election.leadership().keyRevision, now);
    return request && request->node != m_settings.name
           && leadershipCost(local) >= request->cost + m_settings.handover.minGain;
}

void Node::beginHandover(TimePoint now)
{
    for (const auto &it : m_localShards) {
        if (it->scheduler && isWorthHandingOver(*it, now) && it->scheduler->canHandOver()) {
            m_handover = {it->shard, it->epoch, now};
            it->scheduler->pauseStarts(true);
            return;
        }
    }
}

/** Hands over once the outcomes of all orders are known, or gives up for a while. */
void Node::continueHandover(TimePoint now)
{
    LocalShard &local = *m_localShards[m_handover->shard];
    const Duration pause = now - m_handover->since;
    if (!local.scheduler || local.epoch != m_handover->epoch) {
        m_handover.reset(); // the term has ended
        return;
    }
    const bool isPossible = isCalm(now) && isWorthHandingOver(local, now) && local.scheduler->canHandOver();
    if (isPossible && local.scheduler->hasUnknownOutcomes() && pause < m_settings.handover.maxPause) {
        return;
    }
    m_nextHandoverAt = now + m_settings.handover.interval;
    m_handover.reset();
    if (!isPossible || local.scheduler->hasUnknownOutcomes()) {
        local.scheduler->pauseStarts(false);
        return;
    }
    const auto request = m_leaderBoard.request(local.shard, local.election.leadership().keyRevision, now);
    m_log.write("shard_handed_over",
                "shard",
                local.shard,
                "epoch",
                local.epoch,
                "asked_by",
                request->node,
                "pause_ms",
                toMilliseconds(pause));
    local.handedOverAt = now;
    ++m_handedOverShards;
    local.election.handOver();
    updateScheduler(local);
}

/** Gives a shard back if its workers do not reply to this node: the former leader has heard all of them. */
void Node::checkGainedShard(LocalShard &local, TimePoint now)
{
    if (local.scheduler->isTakeoverComplete()) {
        local.isGained = false;
        m_requestPause = m_settings.handover.minRequestPause;
    } else if (local.scheduler->isWaitingForWorkers() && local.election.authority(now) == Authority::Full) {
        m_log.write("shard_given_back", "shard", local.shard, "epoch", local.epoch);
        local.handedOverAt = now;
        m_nextRequestAt = now + m_requestPause;
        m_requestPause = std::min(2 * m_requestPause, m_settings.handover.maxRequestPause);
        local.election.handOver();
        updateScheduler(local);
    }
}

/** Asks a leader of more shards for one of them. Nothing is asked for while campaigns or takeovers of this node go on. */
void Node::askForShard(TimePoint now)
{
    const bool isBusy = std::any_of(m_localShards.begin(), m_localShards.end(), [](const auto &it) {
        return it->election.isCampaigning() || (it->scheduler && !it->scheduler->isTakeoverComplete());
    });
    if (m_isDraining || isBusy || !mayCampaign(now) || m_map.shards.size() <= 1 || m_leaderBoard.hasAsked(now)) {
        return;
    }
    const auto choice = m_leaderBoard.choose(
        [this](ShardId id) { return id < m_localShards.size() ? leadershipCost(*m_localShards[id]) : Duration::max(); },
        now);
    if (!choice) {
        return;
    }
    const auto &[shard, request] = *choice;
    const std::string key = std::string(HandoverPrefix) + std::to_string(shard);
    StoreChange change;
    change.conditions = {{key, m_leaderBoard.requestRevision(shard)}};
    change.puts = {{key, encodeHandoverRequest(request), 0}};
    m_log.write("shard_requested", "shard", shard, "cost_ms", toMilliseconds(request.cost));
    m_store.change(std::move(change), [](const StoreReply &) {}); // the mirror shows it once it is stored
}

} // namespace QuetzalRock::Workflow
