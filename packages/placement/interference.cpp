#include <placement/interference.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace QuetzalRock {

namespace {

constexpr std::size_t InterceptFeature = 0;
constexpr std::size_t LoadFeature = 1;
constexpr std::size_t FirstNeighbour = 2;
constexpr double WeakPriorStrength = 0.05; ///< of intercept and load, in reports
constexpr double PinnedStrength = 1e9;     ///< large enough that samples do not move a pinned slowdown
constexpr double MaxLogRatio = 4; ///< larger values are clamped: that far above the target only "very late" matters
constexpr double ResidualSmoothing = 0.01;

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
    if (m_names.size() >= MaxClasses) {
        return UntrackedClass;
    }
    const auto index = static_cast<ClassIndex>(m_names.size());
    m_names.emplace_back(name);
    m_classes.emplace(std::string(name), index);
    return index;
}

const std::string &InterferenceModel::nameOf(ClassIndex index) const
{
    return m_names[index];
}

std::size_t InterferenceModel::classCount() const
{
    return m_names.size();
}

// Features

std::size_t InterferenceModel::findFeature(ClassIndex service, ClassIndex neighbour) const
{
    if (service >= m_regressions.size()) {
        return 0;
    }
    const auto &featureOf = m_regressions[service].featureOf;
    return neighbour < featureOf.size() ? featureOf[neighbour] : 0;
}

std::size_t InterferenceModel::addFeature(Regression &regression, double mean, double strength) const
{
    const std::size_t feature = regression.featureCount();
    regression.products.emplace_back(feature + 1, 0.0);
    regression.sums.push_back(0);
    regression.mean.push_back(0);
    regression.coefficients.push_back(mean);
    regression.localCoefficients.push_back(mean);
    regression.standardErrors.push_back(std::sqrt(regression.residualVariance / strength));
    return feature;
}

std::size_t InterferenceModel::featureFor(Regression &regression, ClassIndex neighbour) const
{
    if (neighbour >= regression.featureOf.size()) {
        regression.featureOf.resize(neighbour + 1U);
    }
    std::uint16_t &feature = regression.featureOf[neighbour];
    if (feature == 0) {
        feature
            = static_cast<std::uint16_t>(addFeature(regression, m_settings.priorSlowdown, m_settings.priorStrength));
        regression.pairs.push_back({neighbour});
    }
    return feature;
}

InterferenceModel::Pair &InterferenceModel::pairFor(ClassIndex service, ClassIndex neighbour)
{
    Regression &regression = regressionOf(service);
    return regression.pairs[featureFor(regression, neighbour) - FirstNeighbour];
}

InterferenceModel::Regression &InterferenceModel::regressionOf(ClassIndex service)
{
    while (m_regressions.size() <= service) {
        Regression &it = m_regressions.emplace_back();
        addFeature(it, std::log(m_settings.priorBaseline), WeakPriorStrength);
        addFeature(it, 0, WeakPriorStrength);
    }
    return m_regressions[service];
}

InterferenceModel::Row InterferenceModel::featuresOf(Regression &regression, const ServiceSample &sample) const
{
    for (ClassIndex it = 0; it < std::min(sample.neighbours.size(), MaxClasses); ++it) {
        if (sample.neighbours[it] > 0) {
            featureFor(regression, it);
        }
    }
    Row row{1, sample.logLoad};
    for (const Pair &it : regression.pairs) {
        row.push_back(sample.neighbours[it.neighbour]);
    }
    return row;
}

// Samples

void InterferenceModel::observe(const ServiceSample &sample)
{
    if (sample.service >= MaxClasses) {
        return;
    }
    Regression &regression = regressionOf(sample.service);
    Row row = featuresOf(regression, sample);
    double measured = std::clamp(sample.logRatio, -MaxLogRatio, MaxLogRatio);
    const double error = measured - predict(sample);
    regression.residualVariance += ResidualSmoothing * (std::min(error * error, 1.0) - regression.residualVariance);
    updateMean(regression, row, measured, sample.measured);
    for (std::size_t it = LoadFeature; it < row.size(); ++it) {
        row[it] -= regression.mean[it];
    }
    measured -= regression.meanRatio;
    for (std::size_t i = LoadFeature; i < row.size(); ++i) {
        for (std::size_t j = LoadFeature; j <= i; ++j) {
            regression.products[i][j] += row[i] * row[j];
        }
        regression.sums[i] += row[i] * measured;
    }
    regression.needsRefit = true;
}

void InterferenceModel::updateMean(Regression &regression, const Row &row, double measured, TimePoint when) const
{
    const bool first = regression.meanAt == TimePoint{};
    const std::chrono::duration<double> step = std::max(Duration::zero(), when - regression.meanAt);
    const double weight = first ? 1 : 1 - std::exp(-(step / m_settings.commonModeWindow));
    for (std::size_t it = 0; it < row.size(); ++it) {
        regression.mean[it] += weight * (row[it] - regression.mean[it]);
    }
    regression.meanRatio += weight * (measured - regression.meanRatio);
    regression.meanAt = std::max(regression.meanAt, when);
}

bool InterferenceModel::refresh(TimePoint now)
{
    const Duration elapsed = now - m_refreshedAt;
    if (elapsed < m_settings.modelRefresh) {
        return false;
    }
    m_refreshedAt = now;
    const double decay = std::exp(-std::chrono::duration<double>(elapsed) / m_settings.forgettingTime);
    for (Regression &regression : m_regressions) {
        if (!regression.needsRefit) {
            continue; // without new samples the old ones keep their weight
        }
        refit(regression);
        for (std::size_t i = 0; i < regression.featureCount(); ++i) {
            for (double &it : regression.products[i]) {
                it *= decay;
            }
            regression.sums[i] *= decay;
        }
        regression.needsRefit = false;
    }
    return true;
}

// Priors and estimates of other models

void InterferenceModel::pin(std::string_view service, std::string_view neighbour, double logSlowdown)
{
    const ClassIndex row = classOf(service);
    const ClassIndex column = classOf(neighbour);
    if (row >= MaxClasses || column >= MaxClasses) {
        return;
    }
    pairFor(row, column).isPinned = true;
    const std::size_t feature = findFeature(row, column);
    m_regressions[row].coefficients[feature] = logSlowdown;
    m_regressions[row].standardErrors[feature] = 0;
}

void InterferenceModel::setPairPrior(ClassIndex service, ClassIndex neighbour, double logSlowdown, double strength)
{
    if (service >= MaxClasses || neighbour >= MaxClasses) {
        return;
    }
    Pair &pair = pairFor(service, neighbour);
    pair.prior = logSlowdown;
    pair.priorStrength = strength;
    Regression &regression = m_regressions[service];
    const std::size_t feature = findFeature(service, neighbour);
    regression.coefficients[feature] = priorMean(regression, feature, true);
    regression.localCoefficients[feature] = priorMean(regression, feature, false);
    regression.standardErrors[feature] = std::sqrt(regression.residualVariance / std::max(strength, WeakPriorStrength));
}

void InterferenceModel::importEstimate(ClassIndex service, ClassIndex neighbour, double logSlowdown, double strength)
{
    if (service >= MaxClasses || neighbour >= MaxClasses) {
        return;
    }
    Pair &pair = pairFor(service, neighbour);
    pair.imported = logSlowdown;
    pair.importedStrength = strength;
    m_regressions[service].needsRefit = true;
}

/** Mean of the general prior, the pair prior and the imported estimate, weighted by strength. */
double InterferenceModel::priorMean(const Regression &regression, std::size_t feature, bool useImported) const
{
    if (feature < FirstNeighbour) {
        return feature == InterceptFeature ? std::log(m_settings.priorBaseline) : 0;
    }
    const Pair &pair = regression.pairs[feature - FirstNeighbour];
    if (pair.isPinned) {
        return regression.coefficients[feature];
    }
    double sum = m_settings.priorStrength * m_settings.priorSlowdown + pair.priorStrength * pair.prior;
    sum += useImported ? pair.importedStrength * pair.imported : 0;
    return sum / priorStrength(regression, feature, useImported);
}

double InterferenceModel::priorStrength(const Regression &regression, std::size_t feature, bool useImported) const
{
    if (feature < FirstNeighbour) {
        return WeakPriorStrength;
    }
    const Pair &pair = regression.pairs[feature - FirstNeighbour];
    return pair.isPinned ? PinnedStrength
                         : m_settings.priorStrength + pair.priorStrength + (useImported ? pair.importedStrength : 0);
}

// Estimates

double InterferenceModel::localEstimate(ClassIndex service, ClassIndex neighbour) const
{
    const double strength = evidence(service, neighbour);
    if (strength <= 0) {
        return 0;
    }
    const double fitted = m_regressions[service].localCoefficients[findFeature(service, neighbour)];
    const double prior = m_settings.priorStrength;
    return (fitted * (strength + prior) - m_settings.priorSlowdown * prior) / strength;
}

double InterferenceModel::evidence(ClassIndex service, ClassIndex neighbour) const
{
    const std::size_t feature = findFeature(service, neighbour);
    if (feature == 0) {
        return 0;
    }
    const Regression &regression = m_regressions[service];
    return regression.products[feature][feature] + regression.pairs[feature - FirstNeighbour].priorStrength;
}

float InterferenceModel::slowdown(ClassIndex service, ClassIndex neighbour) const
{
    const std::size_t feature = findFeature(service, neighbour);
    return static_cast<float>(feature == 0 ? m_settings.priorSlowdown
                                           : std::max(0.0, m_regressions[service].coefficients[feature]));
}

float InterferenceModel::uncertainty(ClassIndex service, ClassIndex neighbour) const
{
    const std::size_t feature = findFeature(service, neighbour);
    return static_cast<float>(feature == 0 ? m_settings.priorSlowdown : m_regressions[service].standardErrors[feature]);
}

float InterferenceModel::predict(const ServiceSample &sample) const
{
    if (sample.service >= m_regressions.size()) {
        return static_cast<float>(std::log(m_settings.priorBaseline));
    }
    const Regression &regression = m_regressions[sample.service];
    double sum = regression.coefficients[InterceptFeature] + regression.coefficients[LoadFeature] * sample.logLoad;
    for (ClassIndex it = 0; it < sample.neighbours.size(); ++it) {
        sum += sample.neighbours[it] > 0 ? slowdown(sample.service, it) * sample.neighbours[it] : 0;
    }
    return static_cast<float>(sum);
}

/** Solves the ridge regression by Cholesky decomposition of feature products plus prior strengths. */
InterferenceModel::Row InterferenceModel::solve(const Regression &regression, bool useImported) const
{
    const std::size_t n = regression.featureCount();
    std::vector<Row> lower(n, Row(n));
    Row right(n);
    for (std::size_t i = 0; i < n; ++i) {
        const double strength = priorStrength(regression, i, useImported);
        for (std::size_t j = 0; j <= i; ++j) {
            double sum = regression.products[i][j] + (i == j ? strength : 0);
            for (std::size_t k = 0; k < j; ++k) {
                sum -= lower[i][k] * lower[j][k];
            }
            lower[i][j] = i == j ? std::sqrt(std::max(sum, 1e-9)) : sum / lower[j][j];
        }
        right[i] = regression.sums[i] + strength * priorMean(regression, i, useImported);
        for (std::size_t k = 0; k < i; ++k) {
            right[i] -= lower[i][k] * right[k];
        }
        right[i] /= lower[i][i];
    }
    Row solution(n);
    for (std::size_t i = n; i-- > 0;) {
        double sum = right[i];
        for (std::size_t k = i + 1; k < n; ++k) {
            sum -= lower[k][i] * solution[k];
        }
        solution[i] = sum / lower[i][i];
    }
    return solution;
}

/** Recomputes coefficients and standard errors from the samples and priors. */
void InterferenceModel::refit(Regression &regression) const
{
    const bool hasImported = std::any_of(
        regression.pairs.begin(), regression.pairs.end(), [](const Pair &it) { return it.importedStrength > 0; });
    const Row solution = solve(regression, true);
    regression.localCoefficients = hasImported ? solve(regression, false) : solution;
    for (std::size_t i = 0; i < solution.size(); ++i) {
        if (i < FirstNeighbour || !regression.pairs[i - FirstNeighbour].isPinned) {
            regression.coefficients[i] = solution[i];
            // The conditional standard error is cheap and suffices to tell rarely seen pairs from well known ones.
            regression.standardErrors[i] = std::sqrt(
                regression.residualVariance / (regression.products[i][i] + priorStrength(regression, i, true)));
        }
    }
    if (regression.meanAt != TimePoint{}) {
        double intercept = regression.meanRatio;
        for (std::size_t it = LoadFeature; it < solution.size(); ++it) {
            intercept -= regression.coefficients[it] * regression.mean[it];
        }
        regression.coefficients[InterceptFeature] = intercept;
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// ResidencyHistory
// ---------------------------------------------------------------------------------------------------------------------

void ResidencyHistory::add(ClassIndex index, float share, TimePoint now)
{
    m_current.add(index, share);
    const Change change{now, index, share};
    if (m_changes.size() < MaxChanges) {
        m_changes.push_back(change);
        return;
    }
    m_knownSince = m_changes[m_next].when;
    m_changes[m_next] = change;
    m_next = (m_next + 1) % MaxChanges;
}

const Shares &ResidencyHistory::current() const
{
    return m_current;
}

bool ResidencyHistory::sharesAt(TimePoint when, Shares &out) const
{
    if (when < m_knownSince) {
        return false;
    }
    out = m_current;
    const std::size_t n = m_changes.size();
    for (std::size_t back = 1; back <= n; ++back) {
        const Change &change = m_changes[(m_next + n - back) % n];
        if (change.when <= when) {
            break;
        }
        out.add(change.index, -change.share);
    }
    return true;
}

// ---------------------------------------------------------------------------------------------------------------------
// WorkerClockOffset
// ---------------------------------------------------------------------------------------------------------------------

void WorkerClockOffset::widenBounds(WorkerTime written)
{
    if (written > m_lastWritten) {
        const Duration drift = (written - m_lastWritten) * DriftPermille / 1000;
        m_upperOffset += drift;
        m_lowerOffset -= drift;
        m_lastWritten = written;
    }
}

void WorkerClockOffset::recordArrival(WorkerTime written, TimePoint now)
{
    if (!m_hasUpper) {
        m_lastWritten = written;
    }
    widenBounds(written);
    const Duration offset = now.time_since_epoch() - written;
    m_upperOffset = m_hasUpper ? std::min(m_upperOffset, offset) : offset;
    m_hasUpper = true;
}

void WorkerClockOffset::recordStart(WorkerTime written, TimePoint started)
{
    const Duration offset = started.time_since_epoch() - written;
    m_lowerOffset = m_hasLower ? std::max(m_lowerOffset, offset) : offset;
    m_hasLower = true;
}

TimePoint WorkerClockOffset::toLocalTime(WorkerTime time) const
{
    const Duration offset = m_hasLower ? std::min(m_lowerOffset, m_upperOffset) : m_upperOffset;
    return TimePoint(offset + time);
}

} // namespace QuetzalRock
