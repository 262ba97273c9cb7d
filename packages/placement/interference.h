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

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

using ClassIndex = std::uint16_t;
constexpr ClassIndex MaxClasses = 256; ///< bounds the memory of a model

/** Stands for all classes beyond MaxClasses. Nothing is learned about it, so its estimates stay at the prior. */
constexpr ClassIndex UntrackedClass = MaxClasses;

/** Fraction of a worker's processors that each class uses. */
class Shares
{
public:
    float operator[](ClassIndex index) const
    {
        return index < m_shares.size() ? m_shares[index] : 0;
    }
    void add(ClassIndex index, float share) ///< @p share may be negative; the sum does not fall below 0
    {
        if (index >= m_shares.size()) {
            m_shares.resize(index + 1U);
        }
        m_shares[index] = std::max(0.0F, m_shares[index] + share);
    }
    ClassIndex size() const ///< classes from here on use nothing
    {
        return static_cast<ClassIndex>(m_shares.size());
    }

private:
    std::vector<float> m_shares;
};

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
 * Only neighbours that have been seen beside a service take part in its regression, so cost and memory grow with the
 * number of pairs seen, not with the number of classes. The regressions are solved in refresh() only.
 */
class InterferenceModel
{
public:
    explicit InterferenceModel(const PlacementSettings &settings);

    /** Adds the class if it is not known. Returns UntrackedClass once MaxClasses other classes are known. */
    ClassIndex classOf(std::string_view name);
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

    /**
     * Log slowdown of a pair by its samples and setPairPrior() alone, so that other models can import it: the means of
     * several models, weighted by their evidence(), are the mean over all their samples. May be negative. 0 without
     * evidence.
     */
    double localEstimate(ClassIndex service, ClassIndex neighbour) const;
    std::size_t classCount() const;

    float slowdown(ClassIndex service, ClassIndex neighbour) const;    ///< log slowdown; never negative
    float uncertainty(ClassIndex service, ClassIndex neighbour) const; ///< standard error of slowdown()
    float predict(const ServiceSample &sample) const;                  ///< expected ServiceSample::logRatio

private:
    using Row = std::vector<double>; ///< by feature: intercept, load, then the neighbours in the order first seen

    /** What is known about one neighbour class of a service. */
    struct Pair
    {
        ClassIndex neighbour = 0;
        bool isPinned = false;
        double prior = 0; ///< from setPairPrior(); valid if priorStrength is not 0
        double priorStrength = 0;
        double imported = 0; ///< from importEstimate(); valid if importedStrength is not 0
        double importedStrength = 0;
    };

    /** The samples and estimates of one service class. */
    struct Regression
    {
        std::vector<Pair> pairs;              ///< features from FirstNeighbour on
        std::vector<std::uint16_t> featureOf; ///< by ClassIndex; 0 or missing: the pair has not been seen
        std::vector<Row> products;            ///< decayed sum of feature products; lower triangle
        Row sums;                             ///< decayed sum of feature times measured log ratio
        Row mean;                             ///< running mean of the features, with time constant commonModeWindow
        double meanRatio = 0;                 ///< running mean of the log ratio, with the same time constant
        TimePoint meanAt{};                   ///< time of the latest sample in the means; zero: none
        Row coefficients;
        Row localCoefficients; ///< coefficients without imported estimates
        Row standardErrors;
        double residualVariance = 0.04; ///< smoothed squared prediction error
        bool needsRefit = false;

        std::size_t featureCount() const
        {
            return sums.size();
        }
    };

    std::size_t findFeature(ClassIndex service, ClassIndex neighbour) const; ///< 0: the pair has not been seen
    std::size_t addFeature(Regression &regression, double mean, double strength) const;
    std::size_t featureFor(Regression &regression, ClassIndex neighbour) const; ///< adds the pair if it is new
    Pair &pairFor(ClassIndex service, ClassIndex neighbour);
    Row featuresOf(Regression &regression, const ServiceSample &sample) const;
    void updateMean(Regression &regression, const Row &row, double measured, TimePoint when) const;
    Regression &regressionOf(ClassIndex service);
    Row solve(const Regression &regression, bool useImported) const;
    void refit(Regression &regression) const;
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
