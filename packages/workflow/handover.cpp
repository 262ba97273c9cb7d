#include <workflow/handover.h>

#include <base/errors.h>

#include <algorithm>
#include <sstream>

namespace QuetzalRock::Workflow {

std::string encodeHandoverRequest(const HandoverRequest &request)
{
    return request.node + " " + std::to_string(request.leaderRevision) + " "
           + std::to_string(toMilliseconds(request.cost));
}

HandoverRequest decodeHandoverRequest(std::string_view text)
{
    HandoverRequest it;
    std::int64_t costMs = 0;
    std::istringstream buf{std::string(text)};
    if (!(buf >> it.node >> it.leaderRevision >> costMs) || costMs < 0) {
        throw InvalidArgument("handover", "expected a node, a revision and milliseconds");
    }
    it.cost = std::chrono::milliseconds(costMs);
    return it;
}

LeaderBoard::LeaderBoard(std::string node, const HandoverSettings &settings)
    : m_node(std::move(node))
    , m_settings(settings)
{
}

void LeaderBoard::onLeaderItem(ShardId shard, const StoreItem &item, TimePoint now)
{
    Entry &entry = m_entries[shard];
    if (item.isDeleted) {
        entry.leader.clear();
        entry.leaderRevision = 0;
    } else if (item.revision != entry.leaderRevision) {
        entry.leader = item.value.substr(0, item.value.find(' '));
        entry.leaderRevision = item.revision;
        entry.ledSince = now;
    }
}

void LeaderBoard::onRequestItem(ShardId shard, const StoreItem &item, TimePoint now)
{
    Entry &entry = m_entries[shard];
    if (!item.isDeleted && item.revision == entry.requestRevision) {
        return; // listed again: its age stays
    }
    entry.request.reset();
    entry.requestRevision = item.isDeleted ? 0 : item.revision;
    entry.requestedAt = now;
    if (!item.isDeleted) {
        entry.request = decodeHandoverRequest(item.value);
    }
}

bool LeaderBoard::isRequested(const Entry &entry, TimePoint now) const
{
    return entry.request && entry.leaderRevision != 0 && entry.request->leaderRevision == entry.leaderRevision
           && now < entry.requestedAt + m_settings.requestValidity;
}

std::optional<HandoverRequest> LeaderBoard::request(ShardId shard, std::uint64_t leaderRevision, TimePoint now) const
{
    const auto found = m_entries.find(shard);
    const bool isValid
        = found != m_entries.end() && found->second.leaderRevision == leaderRevision && isRequested(found->second, now);
    return isValid ? found->second.request : std::nullopt;
}

std::uint64_t LeaderBoard::requestRevision(ShardId shard) const
{
    const auto found = m_entries.find(shard);
    return found == m_entries.end() ? 0 : found->second.requestRevision;
}

/** Also while the shard has no leader: the one that was asked has handed over. */
bool LeaderBoard::isAskedFor(ShardId shard, TimePoint now) const
{
    if (!hasAskedFor(shard, now)) {
        return false;
    }
    const Entry &entry = m_entries.at(shard);
    return entry.leaderRevision == 0 || entry.request->leaderRevision == entry.leaderRevision;
}

bool LeaderBoard::hasAskedFor(ShardId shard, TimePoint now) const
{
    const auto found = m_entries.find(shard);
    return found != m_entries.end() && found->second.request && found->second.request->node == m_node
           && now < found->second.requestedAt + m_settings.requestValidity;
}

bool LeaderBoard::hasAsked(TimePoint now) const
{
    return std::any_of(
        m_entries.begin(), m_entries.end(), [this, now](const auto &it) { return isAskedFor(it.first, now); });
}

std::map<std::string, std::size_t> LeaderBoard::ledShards(TimePoint now) const
{
    std::map<std::string, std::size_t> led;
    for (const auto &[shard, it] : m_entries) {
        if (!it.leader.empty() && !isRequested(it, now)) {
            ++led[it.leader];
        }
    }
    return led;
}

std::optional<std::pair<ShardId, HandoverRequest>> LeaderBoard::choose(const std::function<Duration(ShardId)> &costOf,
                                                                       TimePoint now) const
{
    const std::map<std::string, std::size_t> led = ledShards(now);
    std::optional<std::pair<ShardId, HandoverRequest>> best;
    Duration bestGain{};
    for (const auto &[id, it] : m_entries) {
        const bool mayBeAskedFor = !it.leader.empty() && it.leader != m_node && !isRequested(it, now)
                                   && now >= it.ledSince + m_settings.minLeadTime;
        if (!mayBeAskedFor) {
            continue;
        }
        const Duration cost = costOf(id);
        const Duration gain = PerLedShardDelay * static_cast<Duration::rep>(led.at(it.leader) - 1) - cost;
        if (gain >= m_settings.minGain && (!best || gain > bestGain)) {
            best = {id, {m_node, it.leaderRevision, cost}};
            bestGain = gain;
        }
    }
    return best;
}

} // namespace QuetzalRock::Workflow
