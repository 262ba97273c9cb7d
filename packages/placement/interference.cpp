#include <placement/interference.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace QuetzalRock {

namespace {

constexpr std::size_t LevelFeature = 0;
constexpr std::size_t LoadFeature = 1;
constexpr std::size_t FirstNeighbour = 2;
constexpr double WeakPrior = 0.05;     ///< strength of the priors of level and load, in reports
constexpr double PinnedStrength = 1e9; ///< of a pinned slowdown's prior
constexpr double MaxLogRatio = 4;      ///< measurements beyond are cut off: they say "very late", not how late
constexpr double NoiseSmoothing = 0.01;

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// InterferenceModel
// ---------------------------------------------------------------------------------------------------------------------

InterferenceModel::InterferenceModel(const PlacementSettings &settings)
    : m_settings(settings)
{
}

ClassIndex InterferenceModel::classOf(std::string_view name)
{
    const auto found = m_classes.find(name);
    if (found != m_classes.end()) {
        return found->second;
    }
    const auto index = static_cast<ClassIndex>(std::min<std::size_t>(m_names.size(), MaxClasses - 1));
    if (m_names.size() < MaxClasses) {
        m_names.emplace_back(name);
    }
    m_classes.emplace(std::string(name), index);
    return index;
}

const std::string &InterferenceModel::nameOf(ClassIndex index) const
{
    return m_names[index];
}

InterferenceModel::Row InterferenceModel::featuresOf(const ServiceSample &sample)
{
    Row row{};
    row[LevelFeature] = 1;
    row[LoadFeature] = sample.logLoad;
    std::copy(sample.neighbours.begin(), sample.neighbours.end(), row.begin() + FirstNeighbour);
    return row;
}

InterferenceModel::Target &InterferenceModel::targetOf(ClassIndex service)
{
    while (m_targets.size() <= service) {
        setPrior(m_targets.emplace_back());
    }
    return m_targets[service];
}

void InterferenceModel::setPrior(Target &target) const
{
    for (std::size_t it = 0; it < Features; ++it) {
        target.coefficients[it] = priorMean(it);
    }
    target.learned = target.coefficients;
    target.errors.fill(std::sqrt(target.noise / m_settings.priorStrength));
}

double InterferenceModel::priorMean(std::size_t feature) const
{
    if (feature == LevelFeature) {
        return std::log(m_settings.priorLevel);
    }
    return feature == LoadFeature ? 0 : m_settings.priorSlowdown;
}

void InterferenceModel::observe(const ServiceSample &sample)
{
    Target &target = targetOf(sample.service);
    Row row = featuresOf(sample);
    double measured = std::clamp(sample.logRatio, -MaxLogRatio, MaxLogRatio);
    const double error = measured - predict(sample);
    target.noise += NoiseSmoothing * (std::min(error * error, 1.0) - target.noise);
    followMean(target, row, measured, sample.measured);
    const std::size_t n = FirstNeighbour + m_names.size();
    for (std::size_t it = LoadFeature; it < n; ++it) {
        row[it] -= target.mean[it];
    }
    measured -= target.meanRatio;
    for (std::size_t i = LoadFeature; i < n; ++i) {
        for (std::size_t j = LoadFeature; j <= i; ++j) {
            target.products[i][j] += row[i] * row[j];
        }
        target.sums[i] += row[i] * measured;
    }
    target.dirty = true;
}

void InterferenceModel::followMean(Target &target, const Row &row, double measured, TimePoint when) const
{
    const bool first = target.meanAt == TimePoint{};
    const std::chrono::duration<double> step = std::max(Duration::zero(), when - target.meanAt);
    const double weight = first ? 1 : 1 - std::exp(-(step / m_settings.commonMode));
    for (std::size_t it = 0; it < Features; ++it) {
        target.mean[it] += weight * (row[it] - target.mean[it]);
    }
    target.meanRatio += weight * (measured - target.meanRatio);
    target.meanAt = std::max(target.meanAt, when);
}

bool InterferenceModel::refresh(TimePoint now)
{
    const Duration elapsed = now - m_refreshed;
    if (elapsed < m_settings.modelRefresh) {
        return false;
    }
    m_refreshed = now;
    const double keep = std::exp(-std::chrono::duration<double>(elapsed) / m_settings.forgetting);
    for (Target &target : m_targets) {
        if (!target.dirty) {
            continue; // without reports there is nothing newer to make room for
        }
        update(target);
        for (std::size_t i = 0; i < Features; ++i) {
            for (std::size_t j = 0; j <= i; ++j) {
                target.products[i][j] *= keep;
            }
            target.sums[i] *= keep;
        }
        target.dirty = false;
    }
    return true;
}

void InterferenceModel::pin(std::string_view service, std::string_view neighbour, double logSlowdown)
{
    const ClassIndex row = classOf(service);
    const ClassIndex column = classOf(neighbour);
    Target &target = targetOf(row);
    target.pinned[column] = true;
    target.coefficients[FirstNeighbour + column] = logSlowdown;
    target.errors[FirstNeighbour + column] = 0;
}

void InterferenceModel::assume(ClassIndex service, ClassIndex neighbour, double logSlowdown, double strength)
{
    Target &target = targetOf(service);
    target.assumed[neighbour] = logSlowdown;
    target.assumedStrength[neighbour] = strength;
    target.coefficients[FirstNeighbour + neighbour] = logSlowdown;
    target.learned[FirstNeighbour + neighbour] = logSlowdown;
    target.errors[FirstNeighbour + neighbour] = std::sqrt(target.noise / std::max(strength, WeakPrior));
}

void InterferenceModel::borrow(ClassIndex service, ClassIndex neighbour, double logSlowdown, double strength)
{
    Target &target = targetOf(service);
    target.borrowed[neighbour] = logSlowdown;
    target.borrowedStrength[neighbour] = strength;
    target.dirty = true;
}

double InterferenceModel::learned(ClassIndex service, ClassIndex neighbour) const
{
    return service >= m_targets.size() ? m_settings.priorSlowdown
                                       : std::max(0.0, m_targets[service].learned[FirstNeighbour + neighbour]);
}

double InterferenceModel::evidence(ClassIndex service, ClassIndex neighbour) const
{
    if (service >= m_targets.size()) {
        return 0;
    }
    const Target &target = m_targets[service];
    const std::size_t it = FirstNeighbour + neighbour;
    return target.products[it][it] + target.assumedStrength[neighbour];
}

std::size_t InterferenceModel::classCount() const
{
    return m_names.size();
}

/** Of the general prior and of all that is known from elsewhere, by strength. */
double InterferenceModel::priorMean(const Target &target, std::size_t feature, bool useBorrowed) const
{
    if (feature < FirstNeighbour) {
        return priorMean(feature);
    }
    const std::size_t neighbour = feature - FirstNeighbour;
    const double assumed = target.assumedStrength[neighbour];
    const double borrowed = useBorrowed ? target.borrowedStrength[neighbour] : 0;
    if (assumed + borrowed <= 0) {
        return priorMean(feature);
    }
    return (assumed * target.assumed[neighbour] + borrowed * target.borrowed[neighbour]) / (assumed + borrowed);
}

double InterferenceModel::priorStrength(const Target &target, std::size_t feature, bool useBorrowed) const
{
    if (feature < FirstNeighbour) {
        return WeakPrior;
    }
    const std::size_t neighbour = feature - FirstNeighbour;
    if (target.pinned[neighbour]) {
        return PinnedStrength;
    }
    return m_settings.priorStrength + target.assumedStrength[neighbour]
           + (useBorrowed ? target.borrowedStrength[neighbour] : 0);
}

float InterferenceModel::slowdown(ClassIndex service, ClassIndex neighbour) const
{
    if (service >= m_targets.size()) {
        return static_cast<float>(m_settings.priorSlowdown);
    }
    return static_cast<float>(std::max(0.0, m_targets[service].coefficients[FirstNeighbour + neighbour]));
}

float InterferenceModel::uncertainty(ClassIndex service, ClassIndex neighbour) const
{
    if (service >= m_targets.size()) {
        return static_cast<float>(m_settings.priorSlowdown);
    }
    return static_cast<float>(m_targets[service].errors[FirstNeighbour + neighbour]);
}

float InterferenceModel::predict(const ServiceSample &sample) const
{
    if (sample.service >= m_targets.size()) {
        return static_cast<float>(std::log(m_settings.priorLevel));
    }
    const Target &target = m_targets[sample.service];
    double sum = target.coefficients[LevelFeature] + target.coefficients[LoadFeature] * sample.logLoad;
    for (std::size_t it = 0; it < m_names.size(); ++it) {
        sum += std::max(0.0, target.coefficients[FirstNeighbour + it]) * sample.neighbours[it];
    }
    return static_cast<float>(sum);
}

/** By Cholesky of (products + prior). */
InterferenceModel::Row InterferenceModel::solve(const Target &target, bool useBorrowed) const
{
    const std::size_t n = FirstNeighbour + m_names.size();
    std::array<Row, Features> lower{};
    Row right{};
    for (std::size_t i = 0; i < n; ++i) {
        const bool pinned = i >= FirstNeighbour && target.pinned[i - FirstNeighbour];
        const double strength = priorStrength(target, i, useBorrowed);
        const double mean = pinned ? target.coefficients[i] : priorMean(target, i, useBorrowed);
        for (std::size_t j = 0; j <= i; ++j) {
            double sum = target.products[i][j] + (i == j ? strength : 0);
            for (std::size_t k = 0; k < j; ++k) {
                sum -= lower[i][k] * lower[j][k];
            }
            lower[i][j] = i == j ? std::sqrt(std::max(sum, 1e-9)) : sum / lower[j][j];
        }
        right[i] = target.sums[i] + strength * mean;
        for (std::size_t k = 0; k < i; ++k) {
            right[i] -= lower[i][k] * right[k];
        }
        right[i] /= lower[i][i];
    }
    Row solution{};
    for (std::size_t i = n; i-- > 0;) {
        double sum = right[i];
        for (std::size_t k = i + 1; k < n; ++k) {
            sum -= lower[k][i] * solution[k];
        }
        solution[i] = sum / lower[i][i];
    }
    return solution;
}

/** Brings what was seen into the coefficients and their errors. */
void InterferenceModel::update(Target &target) const
{
    const std::size_t n = FirstNeighbour + m_names.size();
    const bool hasBorrowed
        = std::any_of(target.borrowedStrength.begin(), target.borrowedStrength.end(), [](double it) { return it > 0; });
    const Row solution = solve(target, true);
    target.learned = hasBorrowed ? solve(target, false) : solution;
    for (std::size_t i = 0; i < n; ++i) {
        const bool pinned = i >= FirstNeighbour && target.pinned[i - FirstNeighbour];
        if (!pinned) {
            target.coefficients[i] = solution[i];
            // The conditional error: cheap, and enough to tell a pair seldom seen from one that is known.
            target.errors[i] = std::sqrt(target.noise / (target.products[i][i] + priorStrength(target, i, true)));
        }
    }
    if (target.meanAt != TimePoint{}) {
        double level = target.meanRatio;
        for (std::size_t it = LoadFeature; it < n; ++it) {
            level -= target.coefficients[it] * target.mean[it];
        }
        target.coefficients[LevelFeature] = level;
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// ResidencyHistory
// ---------------------------------------------------------------------------------------------------------------------

void ResidencyHistory::add(ClassIndex index, float share, TimePoint now)
{
    m_now[index] = std::max(0.0F, m_now[index] + share);
    const Change change{now, index, share};
    if (m_changes.size() < MaxChanges) {
        m_changes.push_back(change);
        return;
    }
    m_reachesBackTo = m_changes[m_next].when;
    m_changes[m_next] = change;
    m_next = (m_next + 1) % MaxChanges;
}

const Shares &ResidencyHistory::now() const
{
    return m_now;
}

bool ResidencyHistory::at(TimePoint when, Shares &out) const
{
    if (when < m_reachesBackTo) {
        return false;
    }
    out = m_now;
    const std::size_t n = m_changes.size();
    for (std::size_t back = 1; back <= n; ++back) {
        const Change &change = m_changes[(m_next + n - back) % n];
        if (change.when <= when) {
            break;
        }
        out[change.index] = std::max(0.0F, out[change.index] - change.share);
    }
    return true;
}

// ---------------------------------------------------------------------------------------------------------------------
// WorkerClockOffset
// ---------------------------------------------------------------------------------------------------------------------

void WorkerClockOffset::widen(WorkerTime written)
{
    if (written > m_last) {
        const Duration drift = (written - m_last) * DriftPermille / 1000;
        m_upper += drift;
        m_lower -= drift;
        m_last = written;
    }
}

void WorkerClockOffset::noteArrival(WorkerTime written, TimePoint now)
{
    if (!m_hasUpper) {
        m_last = written;
    }
    widen(written);
    const Duration offset = now.time_since_epoch() - written;
    m_upper = m_hasUpper ? std::min(m_upper, offset) : offset;
    m_hasUpper = true;
}

void WorkerClockOffset::noteStart(WorkerTime written, TimePoint started)
{
    const Duration offset = started.time_since_epoch() - written;
    m_lower = m_hasLower ? std::max(m_lower, offset) : offset;
    m_hasLower = true;
}

TimePoint WorkerClockOffset::toLocal(WorkerTime time) const
{
    const Duration offset = m_hasLower ? std::min(m_lower, m_upper) : m_upper;
    return TimePoint(offset + time);
}

} // namespace QuetzalRock
