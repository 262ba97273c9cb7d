#include <workflow/shards.h>

#include <workflow/records.h>

#include <base/errors.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include <xxhash.h>

namespace QuetzalRock::Workflow {

namespace {

using nlohmann::json;

struct Rack
{
    std::string name;
    std::string failureDomain;
    std::uint32_t workers = 0;
    std::int64_t cpuMillis = 0;
};

std::vector<Rack> racksOf(std::span<const WorkerRecord> workers)
{
    std::map<std::string, Rack> racks;
    for (const WorkerRecord &it : workers) {
        Rack &rack = racks[it.rack];
        rack.name = it.rack;
        rack.failureDomain = it.failureDomain;
        ++rack.workers;
        rack.cpuMillis += it.capacity.cpuMillis;
    }
    std::vector<Rack> list;
    for (auto &[name, rack] : racks) {
        list.push_back(std::move(rack));
    }
    // The largest first, so that the last ones even the shards out.
    std::stable_sort(list.begin(), list.end(), [](const Rack &a, const Rack &b) { return a.cpuMillis > b.cpuMillis; });
    return list;
}

/** Opens the shards of a fleet that has none yet. */
void openShards(ShardMap &map, std::span<const WorkerRecord> workers, const ShardSettings &settings)
{
    if (workers.size() <= settings.singleUpTo) {
        map.shards.emplace_back();
        return;
    }
    std::map<std::string, std::uint32_t> workersIn;
    for (const WorkerRecord &it : workers) {
        ++workersIn[it.failureDomain];
    }
    for (const auto &[domain, n] : workersIn) {
        const auto shards = std::max(1L, std::lround(static_cast<double>(n) / settings.workersPerShard));
        map.shards.insert(map.shards.end(), static_cast<std::size_t>(shards), ShardRow{domain, {}});
    }
}

/** Assigns one rack at a time, to the shard of its failure domain that has the fewest processors. */
class RackPlanner
{
public:
    RackPlanner(ShardMap &map, const std::vector<Rack> &racks)
        : m_map(map)
        , m_cpuMillis(map.shards.size())
    {
        for (const Rack &it : racks) {
            if (const auto found = map.shardOfRack.find(it.name); found != map.shardOfRack.end()) {
                m_cpuMillis[found->second] += it.cpuMillis;
            }
        }
    }

    void assign(const Rack &rack)
    {
        std::size_t best = m_map.shards.size();
        for (std::size_t i = 0; i < m_map.shards.size(); ++i) {
            const std::string &domain = m_map.shards[i].failureDomain;
            const bool isHome = domain.empty() || domain == rack.failureDomain;
            if (isHome && (best == m_map.shards.size() || m_cpuMillis[i] < m_cpuMillis[best])) {
                best = i;
            }
        }
        if (best == m_map.shards.size()) { // a failure domain that is new
            m_map.shards.push_back({rack.failureDomain, {}});
            m_cpuMillis.push_back(0);
        }
        m_map.shardOfRack.emplace(rack.name, static_cast<ShardId>(best));
        m_cpuMillis[best] += rack.cpuMillis;
    }

private:
    ShardMap &m_map;
    std::vector<std::int64_t> m_cpuMillis; ///< by shard
};

} // namespace

ShardKeys keysOf(ShardId shard)
{
    const std::string id = std::to_string(shard);
    ShardKeys it;
    it.inbox = "in/" + id + "/";
    it.jobs = it.inbox + "j/";
    it.cancels = it.inbox + "c/";
    it.leader = std::string(LeaderPrefix) + id;
    it.epoch = "ctl/epoch/" + id;
    it.workers = "ctl/workers/" + id;
    it.pending = std::string(PendingPrefix) + id;
    it.pressure = "ctl/pressure/" + id;
    return it;
}

ShardMap planShards(const ShardMap &map, std::span<const WorkerRecord> workers, const ShardSettings &settings)
{
    ShardMap it = map;
    if (workers.empty()) {
        return it;
    }
    if (it.shards.empty()) {
        openShards(it, workers, settings);
    }
    const std::vector<Rack> racks = racksOf(workers);
    RackPlanner planner(it, racks);
    for (const Rack &rack : racks) {
        if (!it.shardOfRack.contains(rack.name)) {
            planner.assign(rack);
        }
    }
    for (ShardRow &row : it.shards) {
        row.poolMillis.clear();
    }
    for (const WorkerRecord &worker : workers) {
        it.shards[it.shardOfRack.at(worker.rack)].poolMillis[worker.pool] += worker.capacity.cpuMillis;
    }
    return it;
}

ShardId chooseShard(const ShardMap &map, std::string_view pool, const JobKey &key)
{
    std::vector<std::int64_t> weights;
    for (const ShardRow &row : map.shards) {
        const auto found = row.poolMillis.find(std::string(pool));
        weights.push_back(found == row.poolMillis.end() ? 0 : found->second);
    }
    const std::int64_t total = std::accumulate(weights.begin(), weights.end(), std::int64_t{0});
    if (total <= 0) {
        return 0;
    }
    auto at = static_cast<std::int64_t>(XXH3_64bits(key.data(), key.size()) % static_cast<std::uint64_t>(total));
    ShardId shard = 0;
    while (at >= weights[shard]) {
        at -= weights[shard++];
    }
    return shard;
}

std::string encodeShardMap(const ShardMap &map)
{
    json shards = json::array();
    for (const ShardRow &it : map.shards) {
        shards.push_back(json::array({it.failureDomain, it.poolMillis}));
    }
    return packRecord(json::array({StoredVersion, std::move(shards), map.shardOfRack}));
}

ShardMap decodeShardMap(std::string_view bytes)
{
    const json value = unpackRecord(bytes);
    ShardMap it;
    try {
        for (const json &row : value.at(1)) {
            it.shards.push_back({row.at(0), row.at(1).get<std::map<std::string, std::int64_t>>()});
        }
        it.shardOfRack = value.at(2).get<std::map<std::string, ShardId>>();
    } catch (const json::exception &error) {
        throw InvalidArgument("shards", error.what());
    }
    for (const auto &[rack, shard] : it.shardOfRack) {
        if (shard >= it.shards.size()) {
            throw InvalidArgument("shards", "rack " + rack + " names a shard that is not listed");
        }
    }
    return it;
}

} // namespace QuetzalRock::Workflow
