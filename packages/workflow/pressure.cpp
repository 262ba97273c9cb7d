#include <workflow/pressure.h>
#include <workflow/records.h>

#include <base/errors.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace QuetzalRock::Workflow {

namespace {

constexpr double BaseOverLowTail = 0.78;  ///< a service is never quite idle: its low tail is above its base latency
constexpr double LowTailExpectile = 0.01; ///< the low tail is this expectile of the reports: not moved by single ones
constexpr double LowTailRate = 0.02;      ///< of its adjustment by a report ...
constexpr double FirstReports = 8;        ///< ... and FirstReports / n by the n-th, so that it settles within seconds
constexpr double MaxTailOverLow = 2;      ///< tails are cut to this multiple: saturation has no upper bound
constexpr double MaxUtilisation = 0.97;   ///< above it, the tail only shows saturation, not the exact utilisation
constexpr double SmallEffect = 0.25;      ///< with a smaller total effect, the tail is a good measure of the own load
constexpr double PeakLoadDecay = 0.9995;  ///< per report
constexpr double MinLoad = 0.05;
constexpr int SavedVersion = 2;
constexpr double MaxSavedEffect = 1000;   ///< larger figures are taken as damage
constexpr double MinSavedEvidence = 1e-4; ///< weaker pairs say nothing and only make the record larger
constexpr double MaxLoadedEvidence = 1;   ///< per pair, in changes of a full neighbour: new reports can outweigh it
constexpr double MaxImportedEvidence = 4; ///< per pair, from all other shards: outweighs the prior by far
constexpr double MaxEffect = 10;     ///< at 10, a tenth of the CPU doubles the utilisation; more is saturation or noise
constexpr double ReportError = 0.12; ///< relative standard error of a report's tail latency
constexpr double MinReportError = 0.01;    ///< of utilisation: tails are whole milliseconds
constexpr double SaturatedError = 0.5;     ///< added to the standard error of the load while saturated
constexpr double MaxKnownLoadError = 0.08; ///< effects are learned only while the load is known at least this well
constexpr double DecaySeconds = 0.6;       ///< time in which a sample's weight falls to 1/e; loads swing within 10 s
constexpr double SlopeDamping = 0.15;      ///< regularises the slope of StepLoad's line towards 0, in seconds squared
constexpr double MaxSlope = 0.15;          ///< change of load per second; steeper is noise
constexpr Duration LineHorizon
    = std::chrono::milliseconds(600); ///< a line says nothing of a load's turn, so it isn't extended further
constexpr Duration ReportCentre = std::chrono::milliseconds(300); ///< age of a report's mean: it covers half a second
constexpr Duration MaxSampleAge = std::chrono::seconds(3);        ///< StepLoad is unknown without newer samples

PlacementSettings modelSettings()
{
    PlacementSettings it;
    it.priorBaseline = 1;    // its log is 0: without a change of neighbours, no change of utilisation is expected
    it.priorSlowdown = 3;    // assumed for unseen pairs; lies between small and strong effects
    it.priorStrength = 0.02; // a handful of changes outweigh it
    it.modelRefresh = std::chrono::milliseconds(500);
    return it;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// StepLoad
// ---------------------------------------------------------------------------------------------------------------------

void StepLoad::decay(TimePoint at)
{
    const double age = std::chrono::duration<double>(at - m_lastSampleAt).count();
    const double keep = std::exp(-age / DecaySeconds);
    // Times are relative to m_lastSampleAt: shift them by the age.
    m_squares += 2 * age * m_times + age * age * m_weight;
    m_times += age * m_weight;
    m_products += age * m_loads;
    m_weight *= keep;
    m_times *= keep;
    m_squares *= keep;
    m_loads *= keep;
    m_products *= keep;
    m_lastSampleAt = at;
}

void StepLoad::addSample(double load, double error, TimePoint at)
{
    if (at < m_lastSampleAt) {
        return;
    }
    if (m_weight > 0) {
        decay(at);
    }
    m_lastSampleAt = at;
    m_periodic.addSample(load, error, at - ReportCentre);
    const double weight = 1 / (error * error);
    m_weight += weight;
    m_loads += weight * load;
}

bool StepLoad::isKnown(TimePoint at) const
{
    return m_weight > 0 && at < m_lastSampleAt + MaxSampleAge;
}

double StepLoad::estimateAt(TimePoint when) const
{
    const double meanTime = m_times / m_weight;
    const double meanLoad = m_loads / m_weight;
    const double variance = m_squares / m_weight - meanTime * meanTime + SlopeDamping;
    const double slopePerAge = (m_products / m_weight - meanTime * meanLoad) / variance; // times run backwards
    const double slope = std::clamp(-slopePerAge, -MaxSlope, MaxSlope);
    const double ahead = std::chrono::duration<double>(when - m_lastSampleAt).count();
    return meanLoad + slope * (meanTime + ahead);
}

const PeriodicLoad &StepLoad::periodic() const
{
    return m_periodic;
}

double StepLoad::standardError() const
{
    return 1 / std::sqrt(m_weight);
}

// ---------------------------------------------------------------------------------------------------------------------
// SavedPressure
// ---------------------------------------------------------------------------------------------------------------------

std::string encodePressure(const SavedPressure &saved)
{
    nlohmann::json rows = nlohmann::json::array({SavedVersion});
    for (const SavedPressure::Service &it : saved.services) {
        nlohmann::json pairs = nlohmann::json::array();
        for (const SavedPressure::Pair &pair : it.pairs) {
            pairs.push_back({pair.neighbour, static_cast<float>(pair.effect), static_cast<float>(pair.evidence)});
        }
        rows.push_back({it.image, it.lowTailMs, it.peakLoad, std::move(pairs)});
    }
    std::string bytes;
    nlohmann::json::to_msgpack(rows, bytes);
    return bytes;
}

SavedPressure decodePressure(std::string_view bytes)
{
    const nlohmann::json rows = decodeMessagePack(bytes);
    if (!rows.is_array() || rows.empty() || rows[0] != SavedVersion) {
        throw InvalidArgument("pressure", "not a stored model of this version");
    }
    SavedPressure saved;
    try {
        for (std::size_t i = 1; i < rows.size(); ++i) {
            SavedPressure::Service &it
                = saved.services.emplace_back(SavedPressure::Service{rows[i].at(0), rows[i].at(1), rows[i].at(2), {}});
            for (const nlohmann::json &row : rows[i].at(3)) {
                it.pairs.push_back({row.at(0), row.at(1), row.at(2)});
            }
        }
    } catch (const nlohmann::json::exception &error) {
        throw InvalidArgument("pressure", error.what());
    }
    for (const SavedPressure::Service &it : saved.services) {
        const bool isPlausible = it.lowTailMs > 0 && std::isfinite(it.lowTailMs) && it.peakLoad >= MinLoad
                                 && it.peakLoad <= 1
                                 && std::all_of(it.pairs.begin(), it.pairs.end(), [](const SavedPressure::Pair &pair) {
                                        return std::abs(pair.effect) <= MaxSavedEffect && pair.evidence > 0
                                               && std::isfinite(pair.evidence);
                                    });
        if (!isPlausible) {
            throw InvalidArgument("pressure", "figure out of range for image " + it.image);
        }
    }
    return saved;
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
    imageAt(index);
    return index;
}

PressureModel::Image &PressureModel::imageAt(ClassIndex index)
{
    if (m_images.size() <= index) {
        m_images.resize(index + 1U);
    }
    return m_images[index];
}

double PressureModel::baseLatencyMs(ClassIndex service) const
{
    return m_images[service].lowTailMs * BaseOverLowTail;
}

void PressureModel::updateLowTail(Image &image, double tailMs)
{
    if (image.reports++ == 0 && image.lowTailMs == 0) {
        image.lowTailMs = tailMs;
        return;
    }
    const double rate = std::min(1.0, std::max(LowTailRate, FirstReports / image.reports));
    const double difference = std::min(tailMs, image.lowTailMs * MaxTailOverLow) - image.lowTailMs;
    image.lowTailMs += rate * difference * (difference < 0 ? 1 - LowTailExpectile : LowTailExpectile);
}

double PressureModel::totalEffect(ClassIndex service, const Shares &shares) const
{
    double effects = 0;
    for (ClassIndex i = 0; i < shares.size(); ++i) {
        effects += shares[i] > 0 ? effect(service, i) * shares[i] : 0;
    }
    return effects;
}

double PressureModel::totalEffectError(ClassIndex service, const Shares &shares) const
{
    double sum = 0;
    for (ClassIndex i = 0; i < shares.size(); ++i) {
        const double error = shares[i] > 0 ? m_model.uncertainty(service, i) * shares[i] : 0;
        sum += error * error;
    }
    return std::sqrt(sum);
}

void PressureModel::observe(
    ClassIndex service, std::int64_t tailMs, const Shares &shares, TimePoint now, StepLoad &load)
{
    if (service == UntrackedClass) {
        return;
    }
    Image &it = imageAt(service);
    for (ClassIndex i = 0; i < shares.size(); ++i) {
        imageAt(i).isNeighbour |= shares[i] > 0;
    }
    const auto tail = static_cast<double>(std::max<std::int64_t>(1, tailMs));
    updateLowTail(it, tail);
    const double utilisation = std::clamp(1 - baseLatencyMs(service) / tail, MinLoad, MaxUtilisation);
    const bool isSaturated = utilisation >= MaxUtilisation;
    const double effects = totalEffect(service, shares);
    const double error = totalEffectError(service, shares);
    if (load.isKnown(now) && load.standardError() < MaxKnownLoadError) {
        // Compares the utilisation with the load estimated from all tasks of the step. The utilisation alone would
        // mislead: neighbours are placed where the own load is low, so they would seem to have no effect.
        ServiceSample sample;
        sample.service = service;
        sample.logRatio = utilisation / std::max(MinLoad, load.estimateAt(now)) - 1;
        sample.neighbours = shares;
        sample.measured = now;
        if (!isSaturated || sample.logRatio > effects) { // a saturated sample is only a lower bound of the effect
            m_model.observe(sample);
        }
    }
    if (isSaturated && effects < SmallEffect) {
        return; // saturated by an effect that the model has not learned yet: the own load cannot be computed
    }
    const double own = std::clamp(utilisation / (1 + effects), MinLoad, 1.0);
    // The error is that of the expected value: weighting samples by their own values would prefer the low ones.
    const double expected = load.isKnown(now) ? std::clamp(load.estimateAt(now), MinLoad, 1.0) : own;
    const double expectedUtilisation = std::min(MaxUtilisation, expected * (1 + effects));
    const double reportError = ReportError * (1 - expectedUtilisation) + MinReportError;
    load.addSample(own, (reportError + expected * error) / (1 + effects) + (isSaturated ? SaturatedError : 0), now);
    if (effects < SmallEffect) {
        it.peakLoad = std::max(it.peakLoad * PeakLoadDecay, load.estimateAt(now));
    }
}

SavedPressure PressureModel::save() const
{
    SavedPressure saved;
    for (std::size_t s = 0; s < m_images.size() && s < m_model.classCount(); ++s) {
        const auto service = static_cast<ClassIndex>(s);
        if (m_images[s].lowTailMs == 0) {
            continue; // not a serving image, or no reports yet
        }
        SavedPressure::Service &it = saved.services.emplace_back(
            SavedPressure::Service{m_model.nameOf(service), m_images[s].lowTailMs, m_images[s].peakLoad, {}});
        for (std::size_t n = 0; n < m_model.classCount(); ++n) {
            const auto neighbour = static_cast<ClassIndex>(n);
            if (const double evidence = m_model.evidence(service, neighbour); evidence >= MinSavedEvidence) {
                it.pairs.push_back({m_model.nameOf(neighbour), m_model.localEstimate(service, neighbour), evidence});
            }
        }
    }
    return saved;
}

/** Takes the low tail and the peak load over if there are no own reports. */
ClassIndex PressureModel::applySavedService(const SavedPressure::Service &saved)
{
    const ClassIndex service = classOf(saved.image);
    if (service != UntrackedClass) {
        Image &it = m_images[service];
        it.peakLoad = it.reports == 0 ? saved.peakLoad : it.peakLoad;
        it.lowTailMs = it.reports == 0 ? saved.lowTailMs : it.lowTailMs;
    }
    return service;
}

void PressureModel::load(const SavedPressure &saved)
{
    for (const SavedPressure::Service &it : saved.services) {
        const ClassIndex service = applySavedService(it);
        for (const SavedPressure::Pair &pair : it.pairs) {
            const ClassIndex neighbour = classOf(pair.neighbour);
            imageAt(neighbour).isNeighbour = true;
            m_model.setPairPrior(service, neighbour, pair.effect, std::min(MaxLoadedEvidence, pair.evidence));
        }
    }
}

void PressureModel::importPeers(std::span<const SavedPressure> others)
{
    std::map<std::pair<ClassIndex, ClassIndex>, std::pair<double, double>>
        pairs; // sums of weighted effects and of weights
    for (const SavedPressure &other : others) {
        for (const SavedPressure::Service &it : other.services) {
            const ClassIndex service = applySavedService(it);
            for (const SavedPressure::Pair &pair : it.pairs) {
                const ClassIndex neighbour = classOf(pair.neighbour);
                imageAt(neighbour).isNeighbour = true;
                auto &[effects, weight] = pairs[{service, neighbour}];
                effects += pair.evidence * pair.effect;
                weight += pair.evidence;
            }
        }
    }
    for (const auto &[pair, sums] : pairs) {
        const auto &[effects, weight] = sums;
        m_model.importEstimate(pair.first, pair.second, effects / weight, std::min(MaxImportedEvidence, weight));
    }
}

std::vector<ClassIndex> PressureModel::knownNeighbours() const
{
    std::vector<ClassIndex> known;
    for (std::size_t i = 0; i < std::min<std::size_t>(m_images.size(), MaxClasses); ++i) {
        if (m_images[i].isNeighbour) {
            known.push_back(static_cast<ClassIndex>(i));
        }
    }
    return known;
}

bool PressureModel::hasNeighbours() const
{
    return std::any_of(m_images.begin(), m_images.end(), [](const Image &it) { return it.isNeighbour; });
}

const std::string &PressureModel::imageOf(ClassIndex index) const
{
    return m_model.nameOf(index);
}

void PressureModel::refresh(TimePoint now)
{
    m_model.refresh(now);
}

double PressureModel::effect(ClassIndex service, ClassIndex neighbour) const
{
    return std::min<double>(MaxEffect, m_model.slowdown(service, neighbour));
}

double PressureModel::totalEffect(ClassIndex service, std::span<const BestEffortTask> neighbours) const
{
    double sum = 0;
    for (const BestEffortTask &it : neighbours) {
        sum += effect(service, it.image) * it.share * it.percent / 100;
    }
    return sum;
}

double PressureModel::expectedLoad(ClassIndex service, const StepLoad &load, TimePoint at) const
{
    return load.isKnown(at) ? std::clamp(load.estimateAt(at), MinLoad, 1.0) : m_images[service].peakLoad;
}

LoadOutlook PressureModel::outlook(
    ClassIndex service, const StepLoad &load, TimePoint from, Duration length, bool usesPeriodic) const
{
    if (usesPeriodic && load.periodic().isKnown(from)) {
        const auto loadAfter = [&load, from](Duration ahead) {
            return std::clamp(load.periodic().estimateAt(from + ahead), MinLoad, 1.0);
        };
        return {loadAfter, length};
    }
    const double expected = expectedLoad(service, load, from + LineHorizon);
    return {[expected](Duration) { return expected; }, length};
}

double PressureModel::utilisationForTail(ClassIndex service, std::int64_t targetMs) const
{
    return std::clamp(
        1 - baseLatencyMs(service) / static_cast<double>(std::max<std::int64_t>(1, targetMs)), MinLoad, 1.0);
}

void planThrottle(const PressureModel &model,
                  ClassIndex service,
                  double maxEffect,
                  std::span<const BestEffortTask> neighbours,
                  std::span<int> percents)
{
    std::vector<std::size_t> order(neighbours.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::vector<double> effects;
    double excess = -maxEffect;
    for (std::size_t i = 0; i < neighbours.size(); ++i) {
        effects.push_back(model.effect(service, neighbours[i].image) * neighbours[i].share);
        excess += effects[i] * percents[i] / 100;
    }
    std::sort(order.begin(), order.end(), [&effects](std::size_t a, std::size_t b) { return effects[a] > effects[b]; });
    for (const std::size_t it : order) {
        if (excess <= 0 || effects[it] <= 0) {
            return;
        }
        const double current = effects[it] * percents[it] / 100;
        const double kept = current <= excess ? 0 : (current - excess) / effects[it];
        percents[it] = static_cast<int>(kept * 100);
        excess -= current;
    }
}

} // namespace QuetzalRock::Workflow
