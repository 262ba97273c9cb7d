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
    row[InterceptFeature] = 1;
    row[LoadFeature] = sample.logLoad;
    std::copy(sample.neighbours.begin(), sample.neighbours.end(), row.begin() + FirstNeighbour);
    return row;
}

InterferenceModel::Regression &InterferenceModel::regressionOf(ClassIndex service)
{
    while (m_regressions.size() <= service) {
        resetToPrior(m_regressions.emplace_back());
    }
    return m_regressions[service];
}

void InterferenceModel::resetToPrior(Regression &regression) const
{
    for (std::size_t it = 0; it < Features; ++it) {
        regression.coefficients[it] = priorMean(it);
    }
    regression.localCoefficients = regression.coefficients;
    regression.standardErrors.fill(std::sqrt(regression.residualVariance / m_settings.priorStrength));
}

double InterferenceModel::priorMean(std::size_t feature) const
{
    if (feature == InterceptFeature) {
        return std::log(m_settings.priorBaseline);
    }
    return feature == LoadFeature ? 0 : m_settings.priorSlowdown;
}

void InterferenceModel::observe(const ServiceSample &sample)
{
    Regression &regression = regressionOf(sample.service);
    Row row = featuresOf(sample);
    double measured = std::clamp(sample.logRatio, -MaxLogRatio, MaxLogRatio);
    const double error = measured - predict(sample);
    regression.residualVariance += ResidualSmoothing * (std::min(error * error, 1.0) - regression.residualVariance);
    updateMean(regression, row, measured, sample.measured);
    const std::size_t n = FirstNeighbour + m_names.size();
    for (std::size_t it = LoadFeature; it < n; ++it) {
        row[it] -= regression.mean[it];
    }
    measured -= regression.meanRatio;
    for (std::size_t i = LoadFeature; i < n; ++i) {
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
    for (std::size_t it = 0; it < Features; ++it) {
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
        for (std::size_t i = 0; i < Features; ++i) {
            for (std::size_t j = 0; j <= i; ++j) {
                regression.products[i][j] *= decay;
            }
            regression.sums[i] *= decay;
        }
        regression.needsRefit = false;
    }
    return true;
}

void InterferenceModel::pin(std::string_view service, std::string_view neighbour, double logSlowdown)
{
    const ClassIndex row = classOf(service);
    const ClassIndex column = classOf(neighbour);
    Regression &regression = regressionOf(row);
    regression.pinned[column] = true;
    regression.coefficients[FirstNeighbour + column] = logSlowdown;
    regression.standardErrors[FirstNeighbour + column] = 0;
}

void InterferenceModel::setPairPrior(ClassIndex service, ClassIndex neighbour, double logSlowdown, double strength)
{
    Regression &regression = regressionOf(service);
    regression.pairPrior[neighbour] = logSlowdown;
    regression.pairPriorStrength[neighbour] = strength;
    regression.coefficients[FirstNeighbour + neighbour] = logSlowdown;
    regression.localCoefficients[FirstNeighbour + neighbour] = logSlowdown;
    regression.standardErrors[FirstNeighbour + neighbour]
        = std::sqrt(regression.residualVariance / std::max(strength, WeakPriorStrength));
}

void InterferenceModel::importEstimate(ClassIndex service, ClassIndex neighbour, double logSlowdown, double strength)
{
    Regression &regression = regressionOf(service);
    regression.imported[neighbour] = logSlowdown;
    regression.importedStrength[neighbour] = strength;
    regression.needsRefit = true;
}

double InterferenceModel::localEstimate(ClassIndex service, ClassIndex neighbour) const
{
    return service >= m_regressions.size()
               ? m_settings.priorSlowdown
               : std::max(0.0, m_regressions[service].localCoefficients[FirstNeighbour + neighbour]);
}

double InterferenceModel::evidence(ClassIndex service, ClassIndex neighbour) const
{
    if (service >= m_regressions.size()) {
        return 0;
    }
    const Regression &regression = m_regressions[service];
    const std::size_t it = FirstNeighbour + neighbour;
    return regression.products[it][it] + regression.pairPriorStrength[neighbour];
}

std::size_t InterferenceModel::classCount() const
{
    return m_names.size();
}

/** Mean of the pair prior and the imported estimate, weighted by strength; the general prior if there is neither. */
double InterferenceModel::priorMean(const Regression &regression, std::size_t feature, bool useImported) const
{
    if (feature < FirstNeighbour) {
        return priorMean(feature);
    }
    const std::size_t neighbour = feature - FirstNeighbour;
    const double pairStrength = regression.pairPriorStrength[neighbour];
    const double importedStrength = useImported ? regression.importedStrength[neighbour] : 0;
    if (pairStrength + importedStrength <= 0) {
        return priorMean(feature);
    }
    return (pairStrength * regression.pairPrior[neighbour] + importedStrength * regression.imported[neighbour])
           / (pairStrength + importedStrength);
}

double InterferenceModel::priorStrength(const Regression &regression, std::size_t feature, bool useImported) const
{
    if (feature < FirstNeighbour) {
        return WeakPriorStrength;
    }
    const std::size_t neighbour = feature - FirstNeighbour;
    if (regression.pinned[neighbour]) {
        return PinnedStrength;
    }
    return m_settings.priorStrength + regression.pairPriorStrength[neighbour]
           + (useImported ? regression.importedStrength[neighbour] : 0);
}

float InterferenceModel::slowdown(ClassIndex service, ClassIndex neighbour) const
{
    if (service >= m_regressions.size()) {
        return static_cast<float>(m_settings.priorSlowdown);
    }
    return static_cast<float>(std::max(0.0, m_regressions[service].coefficients[FirstNeighbour + neighbour]));
}

float InterferenceModel::uncertainty(ClassIndex service, ClassIndex neighbour) const
{
    if (service >= m_regressions.size()) {
        return static_cast<float>(m_settings.priorSlowdown);
    }
    return static_cast<float>(m_regressions[service].standardErrors[FirstNeighbour + neighbour]);
}

float InterferenceModel::predict(const ServiceSample &sample) const
{
    if (sample.service >= m_regressions.size()) {
        return static_cast<float>(std::log(m_settings.priorBaseline));
    }
    const Regression &regression = m_regressions[sample.service];
    double sum = regression.coefficients[InterceptFeature] + regression.coefficients[LoadFeature] * sample.logLoad;
    for (std::size_t it = 0; it < m_names.size(); ++it) {
        sum += std::max(0.0, regression.coefficients[FirstNeighbour + it]) * sample.neighbours[it];
    }
    return static_cast<float>(sum);
}

/** Solves the ridge regression by Cholesky decomposition of feature products plus prior strengths. */
InterferenceModel::Row InterferenceModel::solve(const Regression &regression, bool useImported) const
{
    const std::size_t n = FirstNeighbour + m_names.size();
    std::array<Row, Features> lower{};
    Row right{};
    for (std::size_t i = 0; i < n; ++i) {
        const bool pinned = i >= FirstNeighbour && regression.pinned[i - FirstNeighbour];
        const double strength = priorStrength(regression, i, useImported);
        const double mean = pinned ? regression.coefficients[i] : priorMean(regression, i, useImported);
        for (std::size_t j = 0; j <= i; ++j) {
            double sum = regression.products[i][j] + (i == j ? strength : 0);
            for (std::size_t k = 0; k < j; ++k) {
                sum -= lower[i][k] * lower[j][k];
            }
            lower[i][j] = i == j ? std::sqrt(std::max(sum, 1e-9)) : sum / lower[j][j];
        }
        right[i] = regression.sums[i] + strength * mean;
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

/** Recomputes coefficients and standard errors from the samples and priors. */
void InterferenceModel::refit(Regression &regression) const
{
    const std::size_t n = FirstNeighbour + m_names.size();
    const bool hasImported = std::any_of(
        regression.importedStrength.begin(), regression.importedStrength.end(), [](double it) { return it > 0; });
    const Row solution = solve(regression, true);
    regression.localCoefficients = hasImported ? solve(regression, false) : solution;
    for (std::size_t i = 0; i < n; ++i) {
        const bool pinned = i >= FirstNeighbour && regression.pinned[i - FirstNeighbour];
        if (!pinned) {
            regression.coefficients[i] = solution[i];
            // The conditional standard error is cheap and suffices to tell rarely seen pairs from well known ones.
            regression.standardErrors[i] = std::sqrt(
                regression.residualVariance / (regression.products[i][i] + priorStrength(regression, i, true)));
        }
    }
    if (regression.meanAt != TimePoint{}) {
        double intercept = regression.meanRatio;
        for (std::size_t it = LoadFeature; it < n; ++it) {
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
    m_current[index] = std::max(0.0F, m_current[index] + share);
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
        out[change.index] = std::max(0.0F, out[change.index] - change.share);
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
