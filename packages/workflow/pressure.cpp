#include <workflow/pressure.h>

#include <base/errors.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace QuetzalRock::Workflow {

namespace {

constexpr double BaseOverLeastTail = 0.78; ///< a service is never quite idle: its least tail is a little above its base
constexpr double LeastTailForgetting = 1.0005; ///< a report: a least tail that was a glitch does not stay for ever
constexpr double MostUtilisation = 0.97;       ///< tails beyond say "saturated", not how far
constexpr double QuietEffect = 0.25;           ///< neighbours that add up to less tell a service's own load well
constexpr double PeakForgetting = 0.9995;      ///< of a class's peak load, a report
constexpr double LeastLoad = 0.05;
constexpr int SavedVersion = 1;
constexpr double MostEvidence = 1;     ///< of a stored pair, in changes of a full neighbour: newer ones can outweigh it
constexpr double MostBorrowed = 4;     ///< of a pair, from all other shards: enough to outweigh the prior by far
constexpr double StrongestEffect = 10; ///< more is saturation or noise: a tenth of the worker doubles the utilisation
constexpr double ReportError = 0.12;   ///< of one report's utilisation, as a part of it
constexpr double SaturatedError = 0.5;
constexpr double KnownLoadError = 0.08; ///< a load less certain than this teaches nothing about neighbours
constexpr double FadeSeconds = 0.8;     ///< a report's weight in a shared load falls to 1/e; loads swing within ten
constexpr double LineStiffness = 0.15;  ///< pulls the line of a shared load towards level, in seconds squared
constexpr double SteepestSlope = 0.15;  ///< of a load, a second; anything beyond is noise
constexpr Duration LoadForgotten = std::chrono::seconds(3);

PlacementSettings modelSettings()
{
    PlacementSettings it;
    it.priorBaseline = 1;    // the log of it, 0: where no neighbour changes, nothing does
    it.priorSlowdown = 3;    // a pair that has not been seen counts as between the mild and the strong ones
    it.priorStrength = 0.02; // a handful of changes outweigh it
    it.modelRefresh = std::chrono::milliseconds(500);
    return it;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// SharedLoad
// ---------------------------------------------------------------------------------------------------------------------

void SharedLoad::fade(TimePoint at)
{
    const double age = std::chrono::duration<double>(at - m_at).count();
    const double keep = std::exp(-age / FadeSeconds);
    // Times count back from m_at: move them by age.
    m_squares += 2 * age * m_times + age * age * m_weight;
    m_times += age * m_weight;
    m_products += age * m_loads;
    m_weight *= keep;
    m_times *= keep;
    m_squares *= keep;
    m_loads *= keep;
    m_products *= keep;
    m_at = at;
}

void SharedLoad::note(double load, double error, TimePoint at)
{
    if (at < m_at) {
        return;
    }
    if (m_weight > 0) {
        fade(at);
    }
    m_at = at;
    const double weight = 1 / (error * error);
    m_weight += weight;
    m_loads += weight * load;
}

bool SharedLoad::isKnown(TimePoint at) const
{
    return m_weight > 0 && at < m_at + LoadForgotten;
}

double SharedLoad::at(TimePoint when) const
{
    const double meanTime = m_times / m_weight;
    const double meanLoad = m_loads / m_weight;
    const double spread = m_squares / m_weight - meanTime * meanTime + LineStiffness;
    const double backwards = (m_products / m_weight - meanTime * meanLoad) / spread;
    const double slope = std::clamp(-backwards, -SteepestSlope, SteepestSlope);
    const double ahead = std::chrono::duration<double>(when - m_at).count();
    return meanLoad + slope * (meanTime + ahead);
}

double SharedLoad::error() const
{
    return 1 / std::sqrt(m_weight);
}

// ---------------------------------------------------------------------------------------------------------------------
// PressureModel
// ---------------------------------------------------------------------------------------------------------------------

PressureModel::PressureModel()
    : m_model(modelSettings())
{
}

ClassIndex PressureModel::classOf(std::string_view image)
{
    const ClassIndex index = m_model.classOf(image);
    serviceOf(index);
    return index;
}

PressureModel::Service &PressureModel::serviceOf(ClassIndex index)
{
    if (m_services.size() <= index) {
        m_services.resize(index + 1U);
    }
    return m_services[index];
}

double PressureModel::baseMs(ClassIndex service) const
{
    return m_services[service].leastTailMs * BaseOverLeastTail;
}

double PressureModel::effectOf(ClassIndex service, const Shares &shares) const
{
    double effects = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        effects += shares[i] > 0 ? effect(service, static_cast<ClassIndex>(i)) * shares[i] : 0;
    }
    return effects;
}

double PressureModel::errorOf(ClassIndex service, const Shares &shares) const
{
    double sum = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const double error = shares[i] > 0 ? m_model.uncertainty(service, static_cast<ClassIndex>(i)) * shares[i] : 0;
        sum += error * error;
    }
    return std::sqrt(sum);
}

void PressureModel::observe(
    ClassIndex service, std::int64_t tailMs, const Shares &shares, TimePoint now, SharedLoad &load)
{
    Service &it = serviceOf(service);
    const auto tail = static_cast<double>(std::max<std::int64_t>(1, tailMs));
    it.leastTailMs = it.leastTailMs == 0 ? tail : std::min(it.leastTailMs * LeastTailForgetting, tail);
    const double utilisation = std::clamp(1 - baseMs(service) / tail, LeastLoad, MostUtilisation);
    const bool isSaturated = utilisation >= MostUtilisation;
    const double effects = effectOf(service, shares);
    const double error = errorOf(service, shares);
    if (load.isKnown(now) && load.error() < KnownLoadError) {
        // Against the load that the other tasks of the step show. A level alone would say little: neighbours are placed
        // where the own load is low, and a model of levels would take them for harmless.
        ServiceSample sample;
        sample.service = service;
        sample.logRatio = utilisation / std::max(LeastLoad, load.at(now)) - 1;
        sample.neighbours = shares;
        sample.measured = now;
        if (!isSaturated || sample.logRatio > effects) { // else it says only that there is an effect
            m_model.observe(sample);
        }
    }
    if (isSaturated && effects < QuietEffect) {
        return; // by something that is not known yet
    }
    const double own = std::clamp(utilisation / (1 + effects), LeastLoad, 1.0);
    load.note(own, own * (ReportError + error / (1 + effects)) + (isSaturated ? SaturatedError : 0), now);
    if (effects < QuietEffect) {
        it.peakLoad = std::max(it.peakLoad * PeakForgetting, load.at(now));
    }
}

std::string PressureModel::save() const
{
    nlohmann::json rows = nlohmann::json::array({SavedVersion});
    for (std::size_t s = 0; s < m_services.size() && s < m_model.classCount(); ++s) {
        const auto service = static_cast<ClassIndex>(s);
        if (m_services[s].leastTailMs == 0) {
            continue; // fills, or has not been seen
        }
        nlohmann::json pairs = nlohmann::json::array();
        for (std::size_t n = 0; n < m_model.classCount(); ++n) {
            const auto neighbour = static_cast<ClassIndex>(n);
            if (const double evidence = m_model.evidence(service, neighbour); evidence > 0) {
                pairs.push_back({m_model.nameOf(neighbour), m_model.localEstimate(service, neighbour), evidence});
            }
        }
        rows.push_back({m_model.nameOf(service), m_services[s].leastTailMs, m_services[s].peakLoad, std::move(pairs)});
    }
    std::string bytes;
    nlohmann::json::to_msgpack(rows, bytes);
    return bytes;
}

void PressureModel::load(std::string_view bytes)
{
    for (const SavedPair &it : readSaved(bytes)) {
        m_model.setPairPrior(it.service, it.neighbour, it.effect, std::min(MostEvidence, it.evidence));
    }
}

void PressureModel::borrow(std::span<const std::string> others)
{
    std::map<std::pair<ClassIndex, ClassIndex>, std::pair<double, double>> pairs; // to weighted effects and weights
    for (const std::string &bytes : others) {
        for (const SavedPair &it : readSaved(bytes)) {
            auto &[effects, weight] = pairs[{it.service, it.neighbour}];
            effects += it.evidence * it.effect;
            weight += it.evidence;
        }
    }
    for (const auto &[pair, sums] : pairs) {
        const auto &[effects, weight] = sums;
        m_model.importEstimate(pair.first, pair.second, effects / weight, std::min(MostBorrowed, weight));
    }
}

/** Brings base tails and peak loads in as well: the lowest and the highest seen anywhere hold for all. */
std::vector<PressureModel::SavedPair> PressureModel::readSaved(std::string_view bytes)
{
    const nlohmann::json rows = nlohmann::json::from_msgpack(bytes, true, false);
    if (!rows.is_array() || rows.empty() || rows[0] != SavedVersion) {
        throw InvalidArgument("pressure", "not a stored model of this version");
    }
    std::vector<SavedPair> pairs;
    try {
        for (std::size_t i = 1; i < rows.size(); ++i) {
            const ClassIndex service = classOf(rows[i].at(0).get<std::string>());
            Service &it = m_services[service];
            const double leastTailMs = rows[i].at(1);
            it.peakLoad = it.leastTailMs == 0 ? rows[i].at(2).get<double>() : it.peakLoad;
            it.leastTailMs = it.leastTailMs == 0 ? leastTailMs : std::min(it.leastTailMs, leastTailMs);
            for (const nlohmann::json &row : rows[i].at(3)) {
                const double evidence = row.at(2);
                if (evidence > 0) {
                    pairs.push_back({service, classOf(row.at(0).get<std::string>()), row.at(1), evidence});
                }
            }
        }
    } catch (const nlohmann::json::exception &error) {
        throw InvalidArgument("pressure", error.what());
    }
    return pairs;
}

void PressureModel::refresh(TimePoint now)
{
    m_model.refresh(now);
}

double PressureModel::effect(ClassIndex service, ClassIndex neighbour) const
{
    return std::min<double>(StrongestEffect, m_model.slowdown(service, neighbour));
}

double PressureModel::effectOf(ClassIndex service, std::span<const FillingTask> neighbours) const
{
    double sum = 0;
    for (const FillingTask &it : neighbours) {
        sum += effect(service, it.image) * it.share * it.percent / 100;
    }
    return sum;
}

double PressureModel::loadAt(ClassIndex service, const SharedLoad &load, TimePoint at) const
{
    return load.isKnown(at) ? std::clamp(load.at(at), LeastLoad, 1.0) : m_services[service].peakLoad;
}

double PressureModel::utilisationAt(ClassIndex service, std::int64_t targetMs) const
{
    return std::clamp(1 - baseMs(service) / static_cast<double>(std::max<std::int64_t>(1, targetMs)), LeastLoad, 1.0);
}

void planThrottle(const PressureModel &model,
                  ClassIndex service,
                  double allowed,
                  std::span<const FillingTask> neighbours,
                  std::span<int> percents)
{
    std::vector<std::size_t> order(neighbours.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::vector<double> effects;
    double excess = -allowed;
    for (std::size_t i = 0; i < neighbours.size(); ++i) {
        effects.push_back(model.effect(service, neighbours[i].image) * neighbours[i].share);
        excess += effects[i] * percents[i] / 100;
    }
    std::sort(order.begin(), order.end(), [&effects](std::size_t a, std::size_t b) { return effects[a] > effects[b]; });
    for (const std::size_t it : order) {
        if (excess <= 0 || effects[it] <= 0) {
            return;
        }
        const double possible = effects[it] * percents[it] / 100;
        const double kept = possible <= excess ? 0 : (possible - excess) / effects[it];
        percents[it] = static_cast<int>(kept * 100);
        excess -= possible;
    }
}

} // namespace QuetzalRock::Workflow
