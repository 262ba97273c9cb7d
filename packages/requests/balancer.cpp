#include <requests/balancer.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr double SampleWeight = 0.2;   ///< of the newest sample in the moving average
constexpr double FailureSlowness = 20; ///< a failure counts like an answer so slow: fast failures must not attract
constexpr double MaxSlowness = 100;
constexpr double CongestedSlowness = 2; ///< a borrowed slot is given back above
constexpr double RelaxedSlowness = 1.5; ///< slots are borrowed below
constexpr double ShrinkFactor = 0.8;
constexpr double MinWeight = 0.1; ///< at the beginning of the slow start
constexpr int MinSamples = 20;    ///< before slowness alone ejects
constexpr int MaxEjectionDoublings = 4;
constexpr int DrawTries = 4;        ///< random draws before the pool is searched in order
constexpr Duration ForgetTime = 5s; ///< slowness of an unused instance halves in this time, so that it is tried again
constexpr Duration ShrinkInterval = 50ms; ///< one congestion is answered once

double seconds(Duration duration)
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
    const TimePoint slowStartFrom = m_byName.empty() ? TimePoint{} : now; // nobody is a newcomer in the first list
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
    m_own.clear();
    m_other.clear();
    m_inFlight = 0;
    m_limitSum = 0;
    for (InstanceId id = 0; id < m_instances.size(); ++id) {
        Instance &it = m_instances[id];
        if (!it.present && it.inFlight == 0) {
            it.spec.name.clear(); // its place may be taken by another
        }
        if (!isUsable(it)) {
            continue;
        }
        const bool own = m_settings.failureDomain.empty() || it.spec.failureDomain == m_settings.failureDomain;
        (own ? m_own : m_other).push_back(id);
        m_inFlight += it.inFlight;
        m_limitSum += m_settings.policy == InstancePolicy::Random ? m_settings.connectionsPerInstance : it.limit;
    }
}

bool Balancer::isUsable(const Instance &it) const
{
    return it.present && !it.spec.leaving && !it.isEjected;
}

// ---------------------------------------------------------------------------------------------------------------------
// Choice
// ---------------------------------------------------------------------------------------------------------------------

double Balancer::weightOf(const Instance &it, TimePoint now) const
{
    const double age = seconds(now - it.slowStartFrom) / std::max(1e-3, seconds(m_settings.slowStart));
    return std::clamp(age, MinWeight, 1.0);
}

int Balancer::slotsOf(const Instance &it, TimePoint now) const
{
    if (m_settings.policy == InstancePolicy::Random) {
        return m_settings.connectionsPerInstance;
    }
    return std::max(1, static_cast<int>(it.limit * weightOf(it, now)));
}

double Balancer::score(const Instance &it, TimePoint now) const
{
    const double load = it.inFlight + 1;
    if (m_settings.policy == InstancePolicy::TwoChoicesInFlight) {
        return load / weightOf(it, now);
    }
    const double age = seconds(now - it.sampledAt) / seconds(ForgetTime);
    const double slowness = 1 + (it.slowness - 1) * std::exp2(-age);
    return load * slowness / weightOf(it, now);
}

std::optional<InstanceId> Balancer::draw(const Pool &pool, std::span<const InstanceId> tried, TimePoint now)
{
    const auto isFree = [&](InstanceId id) {
        return m_instances[id].inFlight < slotsOf(m_instances[id], now) && !contains(tried, id);
    };
    for (int i = 0; i < DrawTries; ++i) {
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
    const auto first = draw(pool, tried, now);
    if (!first || m_settings.policy == InstancePolicy::Random) {
        return first;
    }
    const auto second = draw(pool, tried, now);
    return second && score(m_instances[*second], now) < score(m_instances[*first], now) ? second : first;
}

std::optional<InstanceId> Balancer::choose(std::span<const InstanceId> tried, TimePoint now)
{
    if (isFull()) {
        return std::nullopt;
    }
    const auto own = bestOfTwo(m_own, tried, now);
    if (m_other.empty()) {
        return own;
    }
    const auto other = bestOfTwo(m_other, tried, now);
    if (!own || !other) {
        return own ? own : other;
    }
    const double ownCost = score(m_instances[*own], now);
    const double otherCost = score(m_instances[*other], now) * m_settings.spillCost;
    return ownCost <= otherCost ? own : other;
}

// ---------------------------------------------------------------------------------------------------------------------
// Learning
// ---------------------------------------------------------------------------------------------------------------------

void Balancer::begin(InstanceId id)
{
    Instance &it = m_instances[id];
    ++it.inFlight;
    m_inFlight += isUsable(it) ? 1 : 0;
}

void Balancer::end(InstanceId id, EndKind kind, double slowness, TimePoint now)
{
    Instance &it = m_instances[id];
    assert(it.inFlight > 0);
    m_inFlight -= isUsable(it) ? 1 : 0;
    --it.inFlight;
    if (kind == EndKind::Cancelled && slowness <= it.slowness) {
        return; // says nothing new
    }
    const double sample = kind == EndKind::Bad ? std::max(slowness, FailureSlowness) : slowness;
    it.slowness += SampleWeight * (std::min(sample, MaxSlowness) - it.slowness);
    it.sampledAt = now;
    ++it.samples;
    if (kind == EndKind::Good) {
        it.failuresInRow = 0;
        it.goodAt = now;
        if (now - it.slowStartFrom > m_settings.slowStart) {
            it.ejectionsInRow = 0;
        }
    } else if (kind == EndKind::Bad && ++it.failuresInRow >= m_settings.ejectAfterFailures) {
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
    if (it.slowness < RelaxedSlowness) {
        it.limit = std::min(slots, it.limit + 1 / it.limit);
    } else if (it.slowness > CongestedSlowness && it.shrunkAt + ShrinkInterval <= now) {
        it.limit = std::max(share, it.limit * ShrinkFactor);
        it.shrunkAt = now;
    }
    m_limitSum += isUsable(it) ? it.limit - before : 0;
}

void Balancer::ejectIfAllowed(Instance &it, TimePoint now)
{
    const auto present = static_cast<double>(m_byName.size());
    if (!isUsable(it) || ejected() + 1 > present * m_settings.maxEjectedShare) {
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
        if (it.present && it.samples >= MinSamples) {
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
    const double bound = m_settings.ejectSlowness * std::max(1.0, medianSlowness());
    for (Instance &it : m_instances) {
        if (it.isEjected && it.ejectedUntil <= now) {
            it.isEjected = false;
            it.slowness = 1;
            it.samples = 0;
            it.slowStartFrom = now;
        } else if (it.samples >= MinSamples && it.slowness > bound) {
            ejectIfAllowed(it, now);
        }
    }
    rebuildPools();
}

// ---------------------------------------------------------------------------------------------------------------------
// Questions
// ---------------------------------------------------------------------------------------------------------------------

const std::string &Balancer::address(InstanceId id) const
{
    return m_instances[id].spec.address;
}

TimePoint Balancer::lastGoodAnswer(InstanceId id) const
{
    return m_instances[id].goodAt;
}

int Balancer::capacity() const
{
    return static_cast<int>(m_limitSum);
}

int Balancer::freeSlots() const
{
    return std::max(0, capacity() - m_inFlight);
}

bool Balancer::isFull() const
{
    const int instances = static_cast<int>(m_own.size() + m_other.size());
    const bool isRandom = m_settings.policy == InstancePolicy::Random;
    return m_inFlight >= instances * (isRandom ? m_settings.connectionsPerInstance : m_settings.slotsPerInstance);
}

int Balancer::present() const
{
    return static_cast<int>(m_byName.size());
}

int Balancer::ejected() const
{
    return static_cast<int>(std::count_if(
        m_instances.begin(), m_instances.end(), [](const Instance &it) { return it.present && it.isEjected; }));
}

std::vector<InstanceView> Balancer::view() const
{
    std::vector<InstanceView> views;
    for (const Instance &it : m_instances) {
        if (it.present) {
            views.push_back({it.spec.name, it.inFlight, it.limit, it.slowness, it.isEjected, it.spec.leaving});
        }
    }
    return views;
}

} // namespace QuetzalRock
