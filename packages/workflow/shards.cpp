#include <workflow/shards.h>

#include <workflow/joborder.h>
#include <workflow/placement.h>
#include <workflow/records.h>

#include <base/errors.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>

#include <xxhash.h>

namespace QuetzalRock::Workflow {

namespace {

using nlohmann::json;

constexpr std::uint64_t CandidateCount = 3; ///< shards of which the best gets a job
constexpr double MinFreeShare = 0.02;       ///< of a shard's capacity; even a full shard is a candidate now and then
constexpr std::int64_t DataLocalityWaitFactor
    = 2; ///< acceptable extra wait, in run times: away from its data a task takes three times as long

constexpr std::int64_t NoShard = -1; ///< as stored

constexpr int UnknownTolerance = 25;    ///< percent; for an image of which a shard reports nothing
constexpr double MixingPenalty = 0.1;   ///< acceptable extra utilisation to keep images apart
constexpr double NearlyFull = 0.75;     ///< above this utilisation, large tasks may not find room ...
constexpr double NearlyFullPenalty = 4; ///< ... so each further part of it counts that much more
constexpr double NoRoomPenalty = 10;    ///< larger than any other cost
constexpr double SpareSlots = 1.5;      ///< a job's tasks should find that many times as many pieces of room

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
    list.reserve(racks.size());
    for (auto &[name, rack] : racks) {
        list.push_back(std::move(rack));
    }
    // Largest first: the small racks assigned last even out the shards.
    std::stable_sort(list.begin(), list.end(), [](const Rack &a, const Rack &b) { return a.cpuMillis > b.cpuMillis; });
    return list;
}

/** Creates the shards of a fleet that has none yet. */
void createShards(ShardMap &map, std::span<const WorkerRecord> workers, const ShardSettings &settings)
{
    if (workers.size() <= settings.maxSingleShardWorkers) {
        map.shards.emplace_back();
        return;
    }
    std::map<std::string, std::uint32_t> workersByDomain;
    for (const WorkerRecord &it : workers) {
        ++workersByDomain[it.failureDomain];
    }
    for (const auto &[domain, n] : workersByDomain) {
        const auto shards = std::max(1L, std::lround(static_cast<double>(n) / settings.workersPerShard));
        map.shards.insert(map.shards.end(), static_cast<std::size_t>(shards), ShardInfo{domain, {}, {}});
    }
}

/** Assigns each rack to the shard of its failure domain with the least CPU capacity. */
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
            const bool isSameDomain = domain.empty() || domain == rack.failureDomain;
            if (isSameDomain && (best == m_map.shards.size() || m_cpuMillis[i] < m_cpuMillis[best])) {
                best = i;
            }
        }
        if (best == m_map.shards.size()) { // new failure domain
            m_map.shards.push_back({rack.failureDomain, {}, {}});
            m_cpuMillis.push_back(0);
        }
        m_map.shardOfRack.emplace(rack.name, static_cast<ShardId>(best));
        m_cpuMillis[best] += rack.cpuMillis;
    }

private:
    ShardMap &m_map;
    std::vector<std::int64_t> m_cpuMillis; ///< by shard
};

bool canRun(const ShardMap &map, const ShardInfo &info, const WorkflowSpec &spec)
{
    return std::all_of(spec.steps.begin(), spec.steps.end(), [&](const StepSpec &it) {
        const std::string &label = it.requiredLabel;
        return label.empty() || info.labels.contains(label) || map.shardOfRack.contains(label);
    });
}

/** CPU capacity of each shard for @p spec; 0 for shards without a required label, unless that would leave no shard. */
std::vector<std::int64_t> weightsFor(const ShardMap &map, std::string_view pool, const WorkflowSpec &spec)
{
    std::vector<std::int64_t> all;
    std::vector<std::int64_t> eligible;
    for (const ShardInfo &info : map.shards) {
        const auto found = info.poolCpuMillis.find(std::string(pool));
        all.push_back(found == info.poolCpuMillis.end() ? 0 : found->second);
        eligible.push_back(canRun(map, info, spec) ? all.back() : 0);
    }
    const bool hasEligible = std::any_of(eligible.begin(), eligible.end(), [](std::int64_t it) { return it > 0; });
    return hasEligible ? eligible : all;
}

/** Picks a shard with a probability proportional to its weight; the first shard if all weights are 0. */
ShardId pickWeighted(const std::vector<std::int64_t> &weights, std::uint64_t hash)
{
    const std::int64_t total = std::accumulate(weights.begin(), weights.end(), std::int64_t{0});
    if (total <= 0) {
        return 0;
    }
    auto rest = static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(total));
    ShardId shard = 0;
    while (rest >= weights[shard]) {
        rest -= weights[shard++];
    }
    return shard;
}

bool isBestEffort(const WorkflowSpec &spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec &it) { return it.usesSpareCpu; });
}

std::int64_t backlogOf(const ShardStatuses &statuses, ShardId shard, const WorkflowSpec &spec)
{
    const auto found = statuses.find(shard);
    if (found == statuses.end()) {
        return 0;
    }
    return isBestEffort(spec) ? found->second.bestEffortBacklogMs : found->second.backlogMs;
}

/** The part of a shard's CPU that its long-running tasks leave to @p spec: best-effort tasks also use idle reservations. */
std::int64_t
freeCpuMillis(const ShardStatuses &statuses, ShardId shard, std::int64_t capacity, const WorkflowSpec &spec)
{
    const auto found = statuses.find(shard);
    const std::int64_t longRunning = found == statuses.end() ? 0 : found->second.longRunningCpuMillis;
    const double usedShare = isBestEffort(spec) ? PlacementWeights().longRunningUtilisation : 1;
    return capacity - static_cast<std::int64_t>(usedShare * static_cast<double>(longRunning));
}

/** How well @p shard bears the best-effort tasks of @p spec, as the least of its images; 1 if there are none. */
double toleranceOf(const ShardStatuses &statuses, ShardId shard, const WorkflowSpec &spec)
{
    const auto status = statuses.find(shard);
    int percent = 100;
    for (const StepSpec &it : spec.steps) {
        if (it.usesSpareCpu && status != statuses.end()) {
            const auto found = status->second.tolerance.find(it.image);
            percent = std::min(percent, found == status->second.tolerance.end() ? UnknownTolerance : found->second);
        }
    }
    return std::max(percent, 1) / 100.0;
}

/** Whether every status shows the backlog by image, see ShardStatus::writtenAtMs. */
bool haveBacklogByImage(const ShardStatuses &statuses, std::size_t shards)
{
    return statuses.size() == shards
           && std::all_of(statuses.begin(), statuses.end(), [](const auto &it) { return it.second.writtenAtMs != 0; });
}

/**
 * Time until a best-effort job would end in a shard. Work of its images waits for the workers that bear them, all other work
 * competes for the same idle CPU.
 */
double expectedBestEffortMs(const ShardStatus &status, double freeShare, double tolerance, const WorkflowSpec &spec)
{
    std::set<std::string> images;
    for (const StepSpec &it : spec.steps) {
        if (it.usesSpareCpu) {
            images.insert(it.image);
        }
    }
    std::int64_t ownMs = 0;
    for (const std::string &it : images) {
        const auto found = status.bestEffortBacklogByImage.find(it);
        ownMs += found == status.bestEffortBacklogByImage.end() ? 0 : found->second;
    }
    const auto otherMs = static_cast<double>(std::max<std::int64_t>(0, status.bestEffortBacklogMs - ownMs));
    const auto workMs = static_cast<double>(ownMs + criticalPathMs(spec));
    return workMs / tolerance + (static_cast<double>(ownMs) / tolerance + otherMs) / std::max(MinFreeShare, freeShare);
}

/** The number of tasks of @p step that fit in the pieces of room of a shard, less @p assignedMillis. */
std::int64_t countSlots(const ShardStatus &status, std::int64_t assignedMillis, const StepSpec &step)
{
    const std::int64_t need = std::max<std::int64_t>(1, step.need.cpuMillis);
    std::int64_t slots = -(assignedMillis + need - 1) / need;
    for (const auto &[millis, workers] : status.workersByFreeCpu) {
        const std::int64_t fitting = millis / need;
        slots += workers * (step.maxPerWorker > 0 ? std::min<std::int64_t>(fitting, step.maxPerWorker) : fitting);
    }
    return slots;
}

/** Whether the pieces of room in a shard, less @p assignedMillis, suffice for each long-running step of @p spec. */
bool hasRoomFor(const ShardStatus &status, std::int64_t assignedMillis, const WorkflowSpec &spec)
{
    return std::all_of(spec.steps.begin(), spec.steps.end(), [&](const StepSpec &it) {
        if (!it.isLongRunning || it.need.cpuMillis <= 0) {
            return true;
        }
        return static_cast<double>(countSlots(status, assignedMillis, it)) >= SpareSlots * it.taskCount;
    });
}

/** Cost of adding @p own, the CPU of a job's long-running tasks, to a shard that holds @p present; the least is best. */
double costOfLongRunning(const CpuByImage &present, const CpuByImage &own, std::int64_t capacityMillis)
{
    std::int64_t total = 0;
    std::int64_t ownTotal = 0;
    std::int64_t sameImage = 0;
    for (const auto &[image, millis] : present) {
        total += millis;
        sameImage += own.contains(image) ? millis : 0;
    }
    for (const auto &[image, millis] : own) {
        ownTotal += millis;
    }
    const double utilisation = static_cast<double>(total + ownTotal) / static_cast<double>(capacityMillis);
    const double otherImages = total == 0 ? 0 : 1 - static_cast<double>(sameImage) / static_cast<double>(total);
    return utilisation + MixingPenalty * otherImages + NearlyFullPenalty * std::max(0.0, utilisation - NearlyFull);
}

/** What older versions read of workersByFreeCpu. */
std::map<std::int64_t, std::uint32_t> inWholeCores(const std::map<std::int64_t, std::uint32_t> &workersByFreeCpu)
{
    std::map<std::int64_t, std::uint32_t> workersByCores;
    for (const auto &[millis, workers] : workersByFreeCpu) {
        workersByCores[millis / 1000] += workers;
    }
    return workersByCores;
}

} // namespace

ShardKeys makeShardKeys(ShardId shard)
{
    const std::string id = std::to_string(shard);
    ShardKeys it;
    it.inbox = "in/" + id + "/";
    it.jobs = it.inbox + "j/";
    it.cancels = it.inbox + "c/";
    it.taken = it.inbox + "t/"; // after the jobs: a load reports a shard's own jobs before tasks given back to it
    it.leader = std::string(LeaderPrefix) + id;
    it.epoch = "ctl/epoch/" + id;
    it.workers = "ctl/workers/" + id;
    it.withheld = std::string(WithheldPrefix) + id;
    it.status = std::string(StatusPrefix) + id;
    it.pressure = std::string(PressurePrefix) + id;
    return it;
}

std::optional<ShardId> shardOfKey(std::string_view key, std::string_view prefix)
{
    const std::string_view number = key.substr(std::min(key.size(), prefix.size()));
    ShardId shard = 0;
    const auto [end, ec] = std::from_chars(number.data(), number.data() + number.size(), shard);
    return ec == std::errc() && end == number.data() + number.size() ? std::optional(shard) : std::nullopt;
}

ShardMap planShards(const ShardMap &map, std::span<const WorkerRecord> workers, const ShardSettings &settings)
{
    ShardMap it = map;
    if (workers.empty()) {
        return it;
    }
    if (it.shards.empty()) {
        createShards(it, workers, settings);
    }
    const std::vector<Rack> racks = racksOf(workers);
    RackPlanner planner(it, racks);
    for (const Rack &rack : racks) {
        if (!it.shardOfRack.contains(rack.name)) {
            planner.assign(rack);
        }
    }
    for (ShardInfo &info : it.shards) {
        info.poolCpuMillis.clear();
        info.labels.clear();
    }
    for (const WorkerRecord &worker : workers) {
        ShardInfo &info = it.shards[it.shardOfRack.at(worker.rack)];
        info.poolCpuMillis[worker.pool] += worker.capacity.cpuMillis;
        std::copy_if(worker.labels.begin(),
                     worker.labels.end(),
                     std::inserter(info.labels, info.labels.end()),
                     [&worker](const std::string &label) { return label != worker.rack; });
    }
    return it;
}

ShardId chooseShard(const ShardMap &map, const ShardStatuses &statuses, std::string_view pool, const WorkflowSpec &spec)
{
    const std::vector<std::int64_t> capacities = weightsFor(map, pool, spec);
    std::vector<std::int64_t> weights = capacities;
    for (ShardId i = 0; i < weights.size(); ++i) {
        const auto least = static_cast<std::int64_t>(MinFreeShare * static_cast<double>(weights[i]));
        const std::int64_t free = std::max(least, freeCpuMillis(statuses, i, weights[i], spec));
        weights[i] = std::llround(static_cast<double>(free) * toleranceOf(statuses, i, spec));
    }
    const bool comparesAll = isBestEffort(spec) && haveBacklogByImage(statuses, weights.size());
    const auto expectedMs = [&](ShardId shard) {
        if (comparesAll) {
            const double free = static_cast<double>(freeCpuMillis(statuses, shard, capacities[shard], spec))
                                / static_cast<double>(std::max<std::int64_t>(1, capacities[shard]));
            return expectedBestEffortMs(statuses.at(shard), free, toleranceOf(statuses, shard, spec), spec);
        }
        return static_cast<double>(backlogOf(statuses, shard, spec) + criticalPathMs(spec))
               / toleranceOf(statuses, shard, spec);
    };
    ShardId best = pickWeighted(weights, XXH3_64bits(spec.key.data(), spec.key.size()));
    for (std::uint64_t seed = 1; seed < CandidateCount; ++seed) {
        const ShardId other = pickWeighted(weights, XXH3_64bits_withSeed(spec.key.data(), spec.key.size(), seed));
        best = expectedMs(other) < expectedMs(best) ? other : best;
    }
    for (ShardId i = 0; comparesAll && i < capacities.size(); ++i) {
        best = capacities[i] > 0 && expectedMs(i) < expectedMs(best) ? i : best;
    }
    for (const StepSpec &it : spec.steps) {
        const auto home = map.shardOfRack.find(it.preferredRack);
        if (!it.preferredRack.empty() && home != map.shardOfRack.end() && weights[home->second] > 0) {
            const std::int64_t extraWaitMs = DataLocalityWaitFactor * criticalPathMs(spec);
            return backlogOf(statuses, home->second, spec) <= backlogOf(statuses, best, spec) + extraWaitMs
                       ? home->second
                       : best;
        }
    }
    return best;
}

ShardId chooseLongRunningShard(const ShardMap &map,
                               const ShardStatuses &statuses,
                               const std::map<ShardId, CpuByImage> &assigned,
                               std::string_view pool,
                               const WorkflowSpec &spec)
{
    const std::vector<std::int64_t> weights = weightsFor(map, pool, spec);
    CpuByImage own;
    addLongRunningCpu(own, spec);
    ShardId best = 0;
    double minCost = std::numeric_limits<double>::infinity();
    for (ShardId i = 0; i < weights.size(); ++i) {
        if (weights[i] <= 0) {
            continue;
        }
        const auto status = statuses.find(i);
        CpuByImage present = status == statuses.end() ? CpuByImage{} : status->second.longRunningByImage;
        std::int64_t assignedMillis = 0;
        if (const auto recent = assigned.find(i); recent != assigned.end()) {
            for (const auto &[image, millis] : recent->second) {
                present[image] += millis;
                assignedMillis += millis;
            }
        }
        const bool hasRoom = status == statuses.end() || status->second.workersByFreeCpu.empty()
                             || hasRoomFor(status->second, assignedMillis, spec);
        const double cost = costOfLongRunning(present, own, weights[i]) + (hasRoom ? 0 : NoRoomPenalty);
        if (cost < minCost) {
            best = i;
            minCost = cost;
        }
    }
    return best;
}

std::optional<TaskDestination> chooseShardForTasks(const ShardMap &map,
                                                   const ShardStatuses &statuses,
                                                   const std::map<ShardId, CpuByImage> &assigned,
                                                   std::string_view pool,
                                                   const WorkflowSpec &spec,
                                                   std::uint32_t step,
                                                   std::uint32_t tasks,
                                                   ShardId from)
{
    const std::vector<std::int64_t> weights = weightsFor(map, pool, spec);
    const StepSpec &stepSpec = spec.steps[step];
    const CpuByImage own = {{stepSpec.image, stepSpec.need.cpuMillis * tasks}};
    std::optional<TaskDestination> best;
    double minCost = std::numeric_limits<double>::infinity();
    for (const auto &[shard, status] : statuses) {
        const bool isPossible = shard != from && shard < weights.size() && weights[shard] > 0;
        if (!isPossible || !canRun(map, map.shards[shard], spec)) {
            continue;
        }
        CpuByImage present = status.longRunningByImage;
        std::int64_t assignedMillis = 0;
        if (const auto recent = assigned.find(shard); recent != assigned.end()) {
            for (const auto &[image, millis] : recent->second) {
                present[image] += millis;
                assignedMillis += millis;
            }
        }
        const std::int64_t slots = countSlots(status, assignedMillis, stepSpec);
        const double cost = costOfLongRunning(present, own, weights[shard]);
        if (slots > 0 && cost < minCost) {
            best = {shard, static_cast<std::uint32_t>(std::min<std::int64_t>(tasks, (slots + 1) / 2))};
            minCost = cost;
        }
    }
    return best;
}

std::vector<ShardId> shardsFor(const ShardMap &map, std::string_view pool, const WorkflowSpec &spec)
{
    std::vector<ShardId> list;
    const std::vector<std::int64_t> weights = weightsFor(map, pool, spec);
    for (ShardId i = 0; i < weights.size(); ++i) {
        if (weights[i] > 0) {
            list.push_back(i);
        }
    }
    return list;
}

bool hasLongRunningStep(const WorkflowSpec &spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec &it) { return it.isLongRunning; });
}

void addLongRunningCpu(CpuByImage &sums, const WorkflowSpec &spec)
{
    for (const StepSpec &it : spec.steps) {
        if (it.isLongRunning) {
            sums[it.image] += it.taskCount * it.need.cpuMillis;
        }
    }
}

std::string encodeShardMap(const ShardMap &map)
{
    json shards = json::array();
    for (const ShardInfo &it : map.shards) {
        shards.push_back(json::array({it.failureDomain, it.poolCpuMillis, it.labels}));
    }
    return packRecord(json::array({StoredVersion, std::move(shards), map.shardOfRack}));
}

ShardMap decodeShardMap(std::string_view bytes)
{
    const json value = unpackRecord(bytes);
    ShardMap it;
    try {
        for (const json &row : value.at(1)) {
            it.shards.push_back({row.at(0),
                                 row.at(1).get<std::map<std::string, std::int64_t>>(),
                                 row.at(2).get<std::set<std::string>>()});
        }
        it.shardOfRack = value.at(2).get<std::map<std::string, ShardId>>();
    } catch (const json::exception &error) {
        throw InvalidArgument("shards", error.what());
    }
    for (const auto &[rack, shard] : it.shardOfRack) {
        if (shard >= it.shards.size()) {
            throw InvalidArgument("shards", "rack " + rack + " refers to an unknown shard");
        }
    }
    return it;
}

std::string encodeStatus(const ShardStatus &status)
{
    json record = json::array({StoredVersion,
                               status.pending,
                               status.longRunningCpuMillis,
                               status.backlogMs,
                               status.inboxRevision,
                               status.longRunningByImage,
                               status.bestEffortBacklogMs,
                               inWholeCores(status.workersByFreeCpu),
                               status.tolerance});
    const ShardStatus withoutScarcity;
    const ShardStatus &published = status.writtenAtMs != 0 ? status : withoutScarcity;
    record.push_back(published.bestEffortQueued);
    record.push_back(published.bestEffortRate);
    record.push_back(published.writtenAtMs);
    record.push_back(published.bestEffortBacklogByImage);
    record.push_back(status.waitMs);
    record.push_back(status.bestEffortWaitMs);
    record.push_back(status.offeredTo ? static_cast<std::int64_t>(*status.offeredTo) : NoShard);
    record.push_back(status.workersByFreeCpu);
    record.push_back(status.longRunningWaits);
    return packRecord(record);
}

ShardStatus decodeStatus(std::string_view bytes)
{
    const json value = unpackRecord(bytes);
    try {
        ShardStatus it;
        it.pending = value.at(1).get<std::map<std::string, std::uint32_t>>();
        it.longRunningCpuMillis = value.at(2);
        it.backlogMs = value.at(3);
        it.inboxRevision = value.at(4);
        if (value.size() > 5) {
            it.longRunningByImage = value.at(5).get<CpuByImage>();
            it.bestEffortBacklogMs = value.at(6);
            for (const auto &[cores, workers] : value.at(7).get<std::map<std::int64_t, std::uint32_t>>()) {
                it.workersByFreeCpu[cores * 1000] = workers;
            }
            it.tolerance = value.at(8).get<std::map<std::string, int>>();
        } else { // written by an older version
            it.longRunningByImage[{}] = it.longRunningCpuMillis;
            it.bestEffortBacklogMs = it.backlogMs;
        }
        if (value.size() > 9) { // otherwise an older version has written it, without scarcity
            it.bestEffortQueued = value.at(9).get<std::map<int, std::map<int, std::int64_t>>>();
            it.bestEffortRate = value.at(10);
            it.writtenAtMs = value.at(11);
            it.bestEffortBacklogByImage = value.at(12).get<CpuByImage>();
        }
        if (value.size() > 13) {
            it.waitMs = value.at(13);
            it.bestEffortWaitMs = value.at(14);
        }
        if (value.size() > 15 && value.at(15) != NoShard) {
            it.offeredTo = value.at(15).get<ShardId>();
        }
        if (value.size() > 16) {
            it.workersByFreeCpu = value.at(16).get<std::map<std::int64_t, std::uint32_t>>();
            it.longRunningWaits = value.at(17).get<decltype(it.longRunningWaits)>();
        }
        return it;
    } catch (const json::exception &error) {
        throw InvalidArgument("status", error.what());
    }
}

} // namespace QuetzalRock::Workflow
