#include <requests/balancer.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr double SampleWeight = 0.2;   ///< weight of the newest sample in the moving average
constexpr double FailureSlowness = 20; ///< minimum sample of a failure, so that fast failures do not attract requests
constexpr double MaxSlowness = 100;
constexpr double ReturnAboveSlowness = 2;   ///< borrowed slots are returned above
constexpr double BorrowBelowSlowness = 1.5; ///< slots are borrowed below
constexpr double LimitDecreaseFactor = 0.8;
constexpr double MinSlowStartWeight = 0.1; ///< at the start of the slow start
constexpr int MinEjectionSamples = 20;     ///< required before slowness alone can eject an instance
constexpr int MaxEjectionDoublings = 4;
constexpr int RandomDraws = 4;                 ///< before the pool is searched sequentially
constexpr Duration SlownessHalfLife = 5s;      ///< of an unused instance's excess slowness, so that it is tried again
constexpr Duration MinDecreaseInterval = 50ms; ///< so that one congestion causes one decrease

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool contains(std::span<const InstanceId> ids, InstanceId id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

Balancer::Balancer(const RequestSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

void Balancer::setInstances(std::span<const UpstreamInstance> instances, TimePoint now)
{
    for (Instance &it : m_instances) {
        it.present = false;
    }
    const TimePoint slowStartFrom = m_byName.empty() ? TimePoint{} : now; // no slow start for the first list
    for (const UpstreamInstance &spec : instances) {
        Instance &it = m_instances[findOrAdd(spec.name, slowStartFrom)];
        it.spec = spec;
        it.present = true;
    }
    std::erase_if(m_byName, [this](const auto &entry) { return !m_instances[entry.second].present; });
    rebuildPools();
}

InstanceId Balancer::findOrAdd(const std::string &name, TimePoint slowStartFrom)
{
    const auto known = m_byName.find(name);
    if (known != m_byName.end()) {
        return known->second;
    }
    const auto isFree = [](const Instance &it) { return !it.present && it.inFlight == 0 && it.spec.name.empty(); };
    auto it = std::find_if(m_instances.begin(), m_instances.end(), isFree);
    if (it == m_instances.end()) {
        it = m_instances.emplace(m_instances.end());
    }
    *it = Instance();
    const int slots = m_settings.slotsPerInstance;
    const int share = (slots + m_settings.entryMembers - 1) / m_settings.entryMembers;
    it->limit = m_settings.policy == InstancePolicy::SlotShares ? share : slots;
    it->slowStartFrom = slowStartFrom;
    it->sampledAt = slowStartFrom;
    const auto id = static_cast<InstanceId>(it - m_instances.begin());
    m_byName.emplace(name, id);
    return id;
}

void Balancer::rebuildPools()
{
    m_sameDomain.clear();
    m_otherDomains.clear();
    m_inFlight = 0;
    m_limitSum = 0;
    for (InstanceId id = 0; id < m_instances.size(); ++id) {
        Instance &it = m_instances[id];
        if (!it.present && it.inFlight == 0) {
            it.spec.name.clear(); // its place may be reused
        }
        if (!isUsable(it)) {
            continue;
        }
        const bool sameDomain = m_settings.failureDomain.empty() || it.spec.failureDomain == m_settings.failureDomain;
        (sameDomain ? m_sameDomain : m_otherDomains).push_back(id);
        m_inFlight += it.inFlight;
        m_limitSum += m_settings.policy == InstancePolicy::Random ? m_settings.connectionsPerInstance : it.limit;
    }
}

bool Balancer::isUsable(const Instance &it) const
{
    return it.present && !it.spec.leaving && !it.isEjected;
}

// ---------------------------------------------------------------------------------------------------------------------
// Choosing an instance
// ---------------------------------------------------------------------------------------------------------------------

double Balancer::slowStartWeight(const Instance &it, TimePoint now) const
{
    const double age = toSeconds(now - it.slowStartFrom) / std::max(1e-3, toSeconds(m_settings.slowStart));
    return std::clamp(age, MinSlowStartWeight, 1.0);
}

int Balancer::slotLimit(const Instance &it, TimePoint now) const
{
    if (m_settings.policy == InstancePolicy::Random) {
        return m_settings.connectionsPerInstance;
    }
    return std::max(1, static_cast<int>(it.limit * slowStartWeight(it, now)));
}

double Balancer::cost(const Instance &it, TimePoint now) const
{
    const double load = it.inFlight + 1;
    if (m_settings.policy == InstancePolicy::TwoChoicesInFlight) {
        return load / slowStartWeight(it, now);
    }
    const double age = toSeconds(now - it.sampledAt) / toSeconds(SlownessHalfLife);
    const double slowness = 1 + (it.slowness - 1) * std::exp2(-age);
    return load * slowness / slowStartWeight(it, now);
}

std::optional<InstanceId> Balancer::drawFreeInstance(const Pool &pool, std::span<const InstanceId> tried, TimePoint now)
{
    const auto isFree = [&](InstanceId id) {
        return m_instances[id].inFlight < slotLimit(m_instances[id], now) && !contains(tried, id);
    };
    for (int i = 0; i < RandomDraws; ++i) {
        const InstanceId id = pool[m_random() % pool.size()];
        if (isFree(id)) {
            return id;
        }
    }
    const std::size_t start = m_random() % pool.size();
    for (std::size_t i = 0; i < pool.size(); ++i) {
        const InstanceId id = pool[(start + i) % pool.size()];
        if (isFree(id)) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<InstanceId> Balancer::bestOfTwo(const Pool &pool, std::span<const InstanceId> tried, TimePoint now)
{
    if (pool.empty()) {
        return std::nullopt;
    }
    const auto first = drawFreeInstance(pool, tried, now);
    if (!first || m_settings.policy == InstancePolicy::Random) {
        return first;
    }
    const auto second = drawFreeInstance(pool, tried, now);
    return second && cost(m_instances[*second], now) < cost(m_instances[*first], now) ? second : first;
}

std::optional<InstanceId> Balancer::choose(std::span<const InstanceId> tried, TimePoint now)
{
    if (isFull()) {
        return std::nullopt;
    }
    const auto sameDomain = bestOfTwo(m_sameDomain, tried, now);
    if (m_otherDomains.empty()) {
        return sameDomain;
    }
    const auto otherDomain = bestOfTwo(m_otherDomains, tried, now);
    if (!sameDomain || !otherDomain) {
        return sameDomain ? sameDomain : otherDomain;
    }
    const double ownCost = cost(m_instances[*sameDomain], now);
    const double otherCost = cost(m_instances[*otherDomain], now) * m_settings.crossDomainCostFactor;
    return ownCost <= otherCost ? sameDomain : otherDomain;
}

// ---------------------------------------------------------------------------------------------------------------------
// Results of exchanges
// ---------------------------------------------------------------------------------------------------------------------

void Balancer::beginExchange(InstanceId id)
{
    Instance &it = m_instances[id];
    ++it.inFlight;
    m_inFlight += isUsable(it) ? 1 : 0;
}

void Balancer::endExchange(InstanceId id, ExchangeOutcome outcome, double slowness, TimePoint now)
{
    Instance &it = m_instances[id];
    assert(it.inFlight > 0);
    m_inFlight -= isUsable(it) ? 1 : 0;
    --it.inFlight;
    if (outcome == ExchangeOutcome::Cancelled && slowness <= it.slowness) {
        return; // a lower bound below the average adds no information
    }
    const double sample = outcome == ExchangeOutcome::Failure ? std::max(slowness, FailureSlowness) : slowness;
    it.slowness += SampleWeight * (std::min(sample, MaxSlowness) - it.slowness);
    it.sampledAt = now;
    ++it.samples;
    if (outcome == ExchangeOutcome::Success) {
        it.failuresInRow = 0;
        it.succeededAt = now;
        if (now - it.slowStartFrom > m_settings.slowStart) {
            it.ejectionsInRow = 0;
        }
    } else if (outcome == ExchangeOutcome::Failure && ++it.failuresInRow >= m_settings.ejectAfterFailures) {
        ejectIfAllowed(it, now);
    }
    adaptLimit(it, now);
}

void Balancer::adaptLimit(Instance &it, TimePoint now)
{
    if (m_settings.policy != InstancePolicy::SlotShares) {
        return;
    }
    const double slots = m_settings.slotsPerInstance;
    const double share = std::max(1.0, slots / m_settings.entryMembers);
    const double before = it.limit;
    if (it.slowness < BorrowBelowSlowness) {
        it.limit = std::min(slots, it.limit + 1 / it.limit);
    } else if (it.slowness > ReturnAboveSlowness && it.limitDecreasedAt + MinDecreaseInterval <= now) {
        it.limit = std::max(share, it.limit * LimitDecreaseFactor);
        it.limitDecreasedAt = now;
    }
    m_limitSum += isUsable(it) ? it.limit - before : 0;
}

void Balancer::ejectIfAllowed(Instance &it, TimePoint now)
{
    const auto present = static_cast<double>(m_byName.size());
    if (!isUsable(it) || ejectedCount() + 1 > present * m_settings.maxEjectedShare) {
        return;
    }
    const int doublings = std::min(it.ejectionsInRow++, MaxEjectionDoublings);
    it.isEjected = true;
    it.ejectedUntil = now + m_settings.ejectTime * (1 << doublings);
    it.failuresInRow = 0;
    rebuildPools();
}

double Balancer::medianSlowness() const
{
    std::vector<double> values;
    for (const Instance &it : m_instances) {
        if (it.present && it.samples >= MinEjectionSamples) {
            values.push_back(it.slowness);
        }
    }
    if (values.empty()) {
        return 1;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void Balancer::tick(TimePoint now)
{
    const double ejectAbove = m_settings.ejectSlowness * std::max(1.0, medianSlowness());
    for (Instance &it : m_instances) {
        if (it.isEjected && it.ejectedUntil <= now) {
            it.isEjected = false;
            it.slowness = 1;
            it.samples = 0;
            it.slowStartFrom = now;
        } else if (it.samples >= MinEjectionSamples && it.slowness > ejectAbove) {
            ejectIfAllowed(it, now);
        }
    }
    rebuildPools();
}

// ---------------------------------------------------------------------------------------------------------------------
// Status
// ---------------------------------------------------------------------------------------------------------------------

const std::string &Balancer::address(InstanceId id) const
{
    return m_instances[id].spec.address;
}

TimePoint Balancer::lastSuccess(InstanceId id) const
{
    return m_instances[id].succeededAt;
}

int Balancer::usableSlots() const
{
    return static_cast<int>(m_limitSum);
}

int Balancer::freeSlots() const
{
    return std::max(0, usableSlots() - m_inFlight);
}

bool Balancer::isFull() const
{
    const int instances = static_cast<int>(m_sameDomain.size() + m_otherDomains.size());
    const bool isRandom = m_settings.policy == InstancePolicy::Random;
    return m_inFlight >= instances * (isRandom ? m_settings.connectionsPerInstance : m_settings.slotsPerInstance);
}

int Balancer::instanceCount() const
{
    return static_cast<int>(m_byName.size());
}

int Balancer::ejectedCount() const
{
    return static_cast<int>(std::count_if(
        m_instances.begin(), m_instances.end(), [](const Instance &it) { return it.present && it.isEjected; }));
}

std::vector<InstanceStatus> Balancer::instanceStatuses() const
{
    std::vector<InstanceStatus> statuses;
    for (const Instance &it : m_instances) {
        if (it.present) {
            statuses.push_back({it.spec.name, it.inFlight, it.limit, it.slowness, it.isEjected, it.spec.leaving});
        }
    }
    return statuses;
}

} // namespace QuetzalRock
