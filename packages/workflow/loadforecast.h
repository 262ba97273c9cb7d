/**
 * Forecast of a load that rises and falls periodically, as the users of a service do within seconds or hours. Fits a sine
 * to the recent samples, for each of some periods, and uses the period that explains them best. A straight line through
 * the last samples (StepLoad in pressure.h) does not see the turn of the load ahead.
 *
 * Index of this file
 *   PeriodicLoad   samples in, forecast out; knows nothing until the samples cover most of a period
 *   LoadOutlook    a load ahead of one moment, evaluated once for many spans
 */
#pragma once

#include <base/clock.h>

#include <algorithm>
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

    double estimateAt(TimePoint when) const; ///< requires isKnown()
    Duration period() const;                 ///< of the best fit; zero: none yet

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

/** A load ahead of one moment. Spans are rounded up to the next of Points times, and cut to the last one. */
class LoadOutlook
{
public:
    static constexpr std::size_t Points = 7;

    LoadOutlook() = default; ///< no load

    /** @p loadAfter returns the load at a Duration after the moment; it is evaluated up to @p length ahead. */
    template<typename LoadAfter>
    LoadOutlook(LoadAfter loadAfter, Duration length)
        : m_interval(std::max(Duration(1), length / static_cast<Duration::rep>(Points - 1)))
    {
        double sum = 0;
        for (std::size_t i = 0; i < Points; ++i) {
            const double load = loadAfter(m_interval * static_cast<Duration::rep>(i));
            m_peaks[i] = i == 0 ? load : std::max(m_peaks[i - 1], load);
            sum += load;
            m_means[i] = sum / static_cast<double>(i + 1);
        }
    }

    double peakWithin(Duration span) const
    {
        return m_peaks[pointOf(span)];
    }
    double meanWithin(Duration span) const
    {
        return m_means[pointOf(span)];
    }

private:
    std::size_t pointOf(Duration span) const
    {
        const Duration::rep intervals = (span + m_interval - Duration(1)) / m_interval;
        return static_cast<std::size_t>(std::clamp<Duration::rep>(intervals, 0, Points - 1));
    }

    Duration m_interval{1};
    std::array<double, Points> m_peaks{};
    std::array<double, Points> m_means{};
};

} // namespace QuetzalRock::Workflow
