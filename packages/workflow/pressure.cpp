#include <workflow/pressure.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace QuetzalRock::Workflow {

namespace {

constexpr double BaseOverLeastTail = 0.78;  ///< a service is never quite idle: its least tail is a little above its base
constexpr double LeastTailForgetting = 1.0005; ///< a report: a least tail that was a glitch does not stay for ever
constexpr double MostUtilisation = 0.97;    ///< tails beyond say "saturated", not how far
constexpr double QuietEffect = 0.25;        ///< neighbours that add up to less tell a service's own load well
constexpr double PeakForgetting = 0.9995;   ///< of a class's peak load, a report
constexpr double SteepestSlope = 0.15;      ///< of a load, a second; anything beyond is noise
constexpr double LeastLoad = 0.05;
constexpr double LeastMove = 0.02;          ///< of shares in sum, between two reports
constexpr Duration LongestStep = std::chrono::milliseconds(1500); ///< between two reports that are compared

PlacementSettings modelSettings()
{
    PlacementSettings it;
    it.priorLevel = 1;       // the log of it, 0: where no neighbour changes, nothing does
    it.priorSlowdown = 3;    // a pair that has not been seen counts as between the mild and the strong ones
    it.priorStrength = 0.02; // a few reports outweigh it
    it.modelRefresh = std::chrono::milliseconds(500);
    return it;
}

} // namespace

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

/**
 * Learns from what a change of neighbours does to the utilisation. Its level says little: neighbours are placed where the
 * own load is low, and a model of levels would take them for harmless. Between two reports the own load changes little.
 */
void PressureModel::learn(ClassIndex service,
                          double utilisation,
                          const Shares &shares,
                          const Shares &before,
                          TimePoint now,
                          const ServingLoad &load)
{
    if (load.at == TimePoint{} || now - load.at > LongestStep || load.utilisation >= MostUtilisation) {
        return;
    }
    ServiceSample sample;
    sample.service = service;
    sample.measured = now;
    double moved = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        sample.neighbours[i] = shares[i] - before[i];
        moved += std::abs(sample.neighbours[i]);
    }
    const double effectsBefore = effectOf(service, before);
    const double change = (utilisation / load.utilisation - 1) * (1 + effectsBefore);
    const double expected = effectOf(service, shares) - effectsBefore;
    const bool isSaturated = utilisation >= MostUtilisation;
    if (moved < LeastMove || (isSaturated && change < expected)) {
        return; // says nothing of neighbours, or not how far it would have gone
    }
    sample.logRatio = change;
    m_model.observe(sample);
}

void PressureModel::observe(ClassIndex service,
                            std::int64_t tailMs,
                            const Shares &shares,
                            const Shares &before,
                            TimePoint now,
                            ServingLoad &load)
{
    Service &it = serviceOf(service);
    const auto tail = static_cast<double>(std::max<std::int64_t>(1, tailMs));
    it.leastTailMs = it.leastTailMs == 0 ? tail : std::min(it.leastTailMs * LeastTailForgetting, tail);
    const double utilisation = std::clamp(1 - baseMs(service) / tail, LeastLoad, MostUtilisation);
    learn(service, utilisation, shares, before, now, load);
    const double effects = effectOf(service, shares);
    const double own = std::clamp(utilisation / (1 + effects), LeastLoad, 1.0);
    if (load.at != TimePoint{} && now > load.at) {
        const double seconds = std::chrono::duration<double>(now - load.at).count();
        load.slope = std::clamp((own - load.load) / seconds, -SteepestSlope, SteepestSlope);
    }
    load.load = own;
    load.utilisation = utilisation;
    load.at = now;
    if (effects < QuietEffect) {
        it.peakLoad = std::max(it.peakLoad * PeakForgetting, own);
    }
}

void PressureModel::refresh(TimePoint now)
{
    m_model.refresh(now);
}

double PressureModel::effect(ClassIndex service, ClassIndex neighbour) const
{
    return m_model.slowdown(service, neighbour);
}

double PressureModel::effectOf(ClassIndex service, std::span<const FillingTask> neighbours) const
{
    double sum = 0;
    for (const FillingTask &it : neighbours) {
        sum += effect(service, it.image) * it.share * it.percent / 100;
    }
    return sum;
}

double PressureModel::loadAt(ClassIndex service, const ServingLoad &load, TimePoint at) const
{
    const Service &it = m_services[service];
    if (load.at == TimePoint{}) {
        return it.peakLoad;
    }
    const double seconds = std::chrono::duration<double>(at - load.at).count();
    return std::clamp(load.load + std::max(0.0, load.slope) * seconds, LeastLoad, std::max(it.peakLoad, load.load));
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
