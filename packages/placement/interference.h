/**
 * Learns from late and noisy reports how much each class of neighbours slows each class of services.
 *
 * Index of this file
 *   ClassIndex, Shares   workload classes, and the fraction of a worker that each uses
 *   ServiceSample        one latency measurement with the neighbours present when it was taken
 *   InterferenceModel    takes samples, estimates slowdowns
 *   ResidencyHistory     shares of the classes on one worker at a past time
 *   WorkerClockOffset    converts a worker's clock to the local clock, from late reports
 *
 * Use
 *   model.observe(sample); model.refresh(now);           // call refresh() about once a second
 *   model.slowdown(service, neighbour) * share           // increase of the service's log latency
 */
#pragma once

#include <base/clock.h>
#include <placement/settings.h>
#include <platform/platform.h>

#include <array>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

using ClassIndex = std::uint16_t;
constexpr ClassIndex MaxClasses = 32; ///< further classes share the last index

using Shares = std::array<float, MaxClasses>; ///< by ClassIndex: fraction of the worker's processors used

struct ServiceSample
{
    ClassIndex service = 0;
    double logRatio = 0; ///< log of measured latency divided by its target
    double logLoad = 0;  ///< log of the service's used over its reserved processors; 0 if unknown
    Shares neighbours{}; ///< excludes the service itself
    TimePoint measured{};
};

/**
 * One ridge regression for each service class over its neighbours' shares, with a prior and exponential forgetting.
 * observe() costs a few hundred additions; the regressions are solved in refresh() only.
 */
class InterferenceModel
{
public:
    explicit InterferenceModel(const PlacementSettings &settings);

    ClassIndex classOf(std::string_view name); ///< adds the class if it is not known
    const std::string &nameOf(ClassIndex index) const;

    void observe(const ServiceSample &sample);
    bool refresh(TimePoint now); ///< refits when modelRefresh has passed; true if it did

    /** Fixes the log slowdown by a neighbour that fills the worker; samples do not change it. */
    void pin(std::string_view service, std::string_view neighbour, double logSlowdown);

    /** Sets the prior of a pair, such as a saved estimate, worth @p strength reports beside a full neighbour. */
    void setPairPrior(ClassIndex service, ClassIndex neighbour, double logSlowdown, double strength);

    /**
     * Sets the estimate that other models have of a pair, and replaces the last import. Affects slowdown() but not
     * localEstimate().
     */
    void importEstimate(ClassIndex service, ClassIndex neighbour, double logSlowdown, double strength);

    /** Weight of the samples and prior of a pair, in the unit of setPairPrior(); excludes imported estimates. */
    double evidence(ClassIndex service, ClassIndex neighbour) const;

    /** Log slowdown of a pair without imported estimates, so that other models can import it. */
    double localEstimate(ClassIndex service, ClassIndex neighbour) const;
    std::size_t classCount() const;

    float slowdown(ClassIndex service, ClassIndex neighbour) const;    ///< log slowdown; never negative
    float uncertainty(ClassIndex service, ClassIndex neighbour) const; ///< standard error of slowdown()
    float predict(const ServiceSample &sample) const;                  ///< expected ServiceSample::logRatio

private:
    static constexpr std::size_t Features = 2 + MaxClasses; ///< intercept, load, neighbours
    using Row = std::array<double, Features>;

    /** The samples and estimates of one service class. */
    struct Regression
    {
        std::array<Row, Features> products{}; ///< decayed sum of feature products; lower triangle
        Row sums{};                           ///< decayed sum of feature times measured log ratio
        Row mean{};                           ///< running mean of the features, with time constant commonModeWindow
        double meanRatio = 0;                 ///< running mean of the measured log ratio, with the same time constant
        TimePoint meanAt{};                   ///< time of the latest sample in the means; zero: none
        Row coefficients{};
        Row standardErrors{};
        std::array<bool, MaxClasses> pinned{};
        std::array<double, MaxClasses> pairPrior{}; ///< from setPairPrior(); valid where pairPriorStrength is not 0
        std::array<double, MaxClasses> pairPriorStrength{};
        std::array<double, MaxClasses> imported{}; ///< from importEstimate(); valid where importedStrength is not 0
        std::array<double, MaxClasses> importedStrength{};
        Row localCoefficients{};        ///< coefficients without imported estimates
        double residualVariance = 0.04; ///< smoothed squared prediction error
        bool needsRefit = false;
    };

    static Row featuresOf(const ServiceSample &sample);
    void updateMean(Regression &regression, const Row &row, double measured, TimePoint when) const;
    Regression &regressionOf(ClassIndex service);
    Row solve(const Regression &regression, bool useImported) const;
    void refit(Regression &regression) const;
    void resetToPrior(Regression &regression) const;
    double priorMean(std::size_t feature) const;
    double priorMean(const Regression &regression, std::size_t feature, bool useImported) const;
    double priorStrength(const Regression &regression, std::size_t feature, bool useImported) const;

    PlacementSettings m_settings;
    std::map<std::string, ClassIndex, std::less<>> m_classes;
    std::vector<std::string> m_names;
    std::vector<Regression> m_regressions;
    TimePoint m_refreshedAt{};
};

/** Keeps recent changes of shares on one worker, to match a late measurement to the neighbours at its time. */
class ResidencyHistory
{
public:
    void add(ClassIndex index, float share, TimePoint now); ///< adds @p share, which is negative when a task ends

    const Shares &current() const;

    /** Gets the shares at @p when; false if the history does not reach back that far. */
    bool sharesAt(TimePoint when, Shares &out) const;

private:
    struct Change
    {
        TimePoint when;
        ClassIndex index;
        float share;
    };
    static constexpr std::size_t MaxChanges = 128;

    Shares m_current{};
    std::vector<Change> m_changes; ///< ring buffer once it is full
    std::size_t m_next = 0;
    TimePoint m_knownSince{}; ///< older changes have been overwritten
};

/**
 * Bounds the difference between a worker's clock and the local clock. A report was written before it arrived, and after
 * the start of every task that it names; the second bound also holds when all reports are delayed by the same time.
 */
class WorkerClockOffset
{
public:
    void recordArrival(WorkerTime written, TimePoint now);
    void recordStart(WorkerTime written, TimePoint started); ///< a report written then names a task started then

    TimePoint toLocalTime(WorkerTime time) const;

private:
    static constexpr std::int64_t DriftPermille = 1; ///< both bounds widen by this fraction of the elapsed time

    void widenBounds(WorkerTime written);

    bool m_hasUpper = false;
    bool m_hasLower = false;
    Duration m_upperOffset{};
    Duration m_lowerOffset{};
    WorkerTime m_lastWritten{};
};

} // namespace QuetzalRock
