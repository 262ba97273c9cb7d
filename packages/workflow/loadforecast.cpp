#include <workflow/loadforecast.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr double ShortestPeriodSeconds = 5; ///< shorter ones are hard to tell from the noise of reports
constexpr std::size_t PeriodCount = 14;
constexpr double PeriodRatio = 1.11;  ///< of a period to the next shorter one: up to 19 s
constexpr double DecaySeconds = 14;   ///< in which a sample's weight falls to 1/e; exceeds most periods
constexpr double CoveredShare = 0.55; ///< of a period that the samples must cover
constexpr double MinGain = 8; ///< least reduction of the squared deviations by the sine, in units of their mean: below
                              ///< it a constant may explain the samples as well
constexpr double MinSamples = 12;
constexpr double PriorAmplitude = 0.25;    ///< standard deviation of amplitudes: loads lie between 0 and 1
constexpr Duration ChoiceInterval = 250ms; ///< between two choices of the period; about one report of each task
constexpr Duration MaxSampleAge = 5s;      ///< unknown without newer samples

double periodSeconds(std::size_t index)
{
    return ShortestPeriodSeconds * std::pow(PeriodRatio, static_cast<double>(index));
}

} // namespace

double PeriodicLoad::secondsOf(TimePoint at) const
{
    return std::chrono::duration<double>(at - m_firstAt).count();
}

void PeriodicLoad::addSample(double load, double error, TimePoint at)
{
    if (m_samples == 0) {
        m_firstAt = at;
        m_lastAt = at;
        m_fits.resize(PeriodCount);
    }
    if (at < m_lastAt) {
        return;
    }
    const double keep = std::exp(-std::chrono::duration<double>(at - m_lastAt).count() / DecaySeconds);
    const double weight = 1 / (error * error);
    const double seconds = secondsOf(at);
    for (std::size_t i = 0; i < m_fits.size(); ++i) {
        const double phase = 2 * std::numbers::pi * seconds / periodSeconds(i);
        const double c = std::cos(phase);
        const double s = std::sin(phase);
        const std::array<double, 6> products{1, c, s, c * c, c * s, s * s};
        const std::array<double, 3> loads{load, load * c, load * s};
        Fit &fit = m_fits[i];
        for (std::size_t k = 0; k < products.size(); ++k) {
            fit.products[k] = fit.products[k] * keep + weight * products[k];
        }
        for (std::size_t k = 0; k < loads.size(); ++k) {
            fit.loads[k] = fit.loads[k] * keep + weight * loads[k];
        }
    }
    m_loadSquares = m_loadSquares * keep + weight * load * load;
    m_samples = m_samples * keep + 1;
    m_lastAt = at;
    if (at >= m_chosenAt + ChoiceInterval) {
        chooseFit(at);
    }
}

/** Solves the normal equations by Cramer's rule; the prior draws amplitudes towards 0. */
void PeriodicLoad::solve(Fit &fit) const
{
    const double prior = 1 / (PriorAmplitude * PriorAmplitude);
    const auto &p = fit.products;
    const double a = p[0];
    const double b = p[1];
    const double c = p[2];
    const double d = p[3] + prior;
    const double e = p[4];
    const double f = p[5] + prior;
    const double determinant = a * (d * f - e * e) - b * (b * f - e * c) + c * (b * e - d * c);
    const auto &y = fit.loads;
    fit.solution = {(y[0] * (d * f - e * e) - b * (y[1] * f - e * y[2]) + c * (y[1] * e - d * y[2])) / determinant,
                    (a * (y[1] * f - y[2] * e) - y[0] * (b * f - e * c) + c * (b * y[2] - y[1] * c)) / determinant,
                    (a * (d * y[2] - e * y[1]) - b * (b * y[2] - y[1] * c) + y[0] * (b * e - d * c)) / determinant};
    fit.residual = m_loadSquares - fit.solution[0] * y[0] - fit.solution[1] * y[1] - fit.solution[2] * y[2];
}

void PeriodicLoad::chooseFit(TimePoint at)
{
    m_chosenAt = at;
    m_isGood = false;
    if (m_samples < MinSamples) {
        return;
    }
    const double covered = secondsOf(at);
    bool hasFit = false;
    for (std::size_t i = 0; i < m_fits.size(); ++i) {
        if (covered < CoveredShare * periodSeconds(i)) {
            break; // so do the longer ones
        }
        solve(m_fits[i]);
        if (!hasFit || m_fits[i].residual < m_fits[m_best].residual) {
            m_best = i;
            hasFit = true;
        }
    }
    if (!hasFit) {
        return;
    }
    const Fit &best = m_fits[m_best];
    const double constantResidual = m_loadSquares - best.loads[0] * best.loads[0] / best.products[0];
    const double meanDeviation = std::max(best.residual, 0.0) / m_samples;
    m_isGood = constantResidual - best.residual > MinGain * meanDeviation;
}

bool PeriodicLoad::isKnown(TimePoint at) const
{
    return m_isGood && at < m_lastAt + MaxSampleAge;
}

double PeriodicLoad::valueAt(double seconds) const
{
    const double phase = 2 * std::numbers::pi * seconds / periodSeconds(m_best);
    const auto &x = m_fits[m_best].solution;
    return x[0] + x[1] * std::cos(phase) + x[2] * std::sin(phase);
}

double PeriodicLoad::estimateAt(TimePoint when) const
{
    return valueAt(secondsOf(when));
}

Duration PeriodicLoad::period() const
{
    return m_isGood ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(periodSeconds(m_best)))
                    : Duration::zero();
}

} // namespace QuetzalRock::Workflow
