/**
 * Forecast of a load that rises and falls periodically, as the users of a service do within seconds or hours. Fits a sine
 * to the recent samples, for each of some periods, and uses the period that explains them best. A straight line through
 * the last samples (StepLoad in pressure.h) does not see the turn of the load ahead.
 *
 * Index of this file
 *   PeriodicLoad   samples in, forecast out; knows nothing until the samples cover most of a period
 */
#pragma once

#include <base/clock.h>

#include <array>
#include <cstddef>
#include <vector>

namespace QuetzalRock::Workflow {

class PeriodicLoad
{
public:
    /** Adds a sample with its standard error; samples must come in the order of their times. */
    void addSample(double load, double error, TimePoint at);

    /** False while the samples cover too little of a period, are too old, or are explained as well by a constant. */
    bool isKnown(TimePoint at) const;

    double estimateAt(TimePoint when) const;                ///< requires isKnown()
    double peakWithin(TimePoint from, Duration span) const; ///< requires isKnown()
    double meanWithin(TimePoint from, Duration span) const; ///< requires isKnown()
    Duration period() const;                                ///< of the best fit; zero: none yet

private:
    /** Weighted sums of a linear regression on 1, cos and sin of the phase. */
    struct Fit
    {
        std::array<double, 6> products{}; ///< 1, cos, sin, cos^2, cos sin, sin^2
        std::array<double, 3> loads{};    ///< load times 1, cos, sin
        std::array<double, 3> solution{};
        double residual = 0; ///< weighted sum of squared deviations
    };

    void solve(Fit &fit) const;
    void chooseFit(TimePoint at);
    double valueAt(double seconds) const;
    double secondsOf(TimePoint at) const;

    std::vector<Fit> m_fits;  ///< by period; empty until the first sample, as most steps serve nobody
    double m_loadSquares = 0; ///< weighted sum
    double m_samples = 0;     ///< number of samples, decayed like the sums
    TimePoint m_firstAt{};
    TimePoint m_lastAt{};
    TimePoint m_chosenAt{}; ///< of the last chooseFit()
    std::size_t m_best = 0;
    bool m_isGood = false; ///< the best fit is clearly better than a constant
};

} // namespace QuetzalRock::Workflow
