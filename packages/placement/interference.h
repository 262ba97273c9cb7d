/**
 * How much each class of neighbours slows each class of services, learned from late and noisy reports.
 *
 * Index of this file
 *   ClassIndex, Shares   workload classes and how much of a worker each takes
 *   ServiceSample        one measurement, with who was co-resident when it was taken
 *   InterferenceModel    samples in, slowdowns out
 *   ResidencyHistory     who was co-resident on one worker at a past time
 *   WorkerClockOffset    a worker's clock against ours, from late reports
 *
 * Use
 *   model.observe(sample); model.refresh(now);           // refresh() about once a second
 *   model.slowdown(service, neighbour) * share           // is added to the log of the service's latency
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
constexpr ClassIndex MaxClasses = 32; ///< classes beyond share the last index

using Shares = std::array<float, MaxClasses>; ///< part of the worker's processors that each class takes

struct ServiceSample
{
    ClassIndex service = 0;
    double logRatio = 0; ///< log of measured latency over target
    double logLoad = 0;  ///< log of the service's used over its reserved processors; 0 where unknown
    Shares neighbours{}; ///< without the service itself
    TimePoint measured{};
};

/**
 * A ridge regression for each service class over its neighbours' shares, with a prior and exponential forgetting.
 * Samples cost a few hundred additions; all solving is done in refresh().
 */
class InterferenceModel
{
public:
    explicit InterferenceModel(const PlacementSettings &settings);

    ClassIndex classOf(std::string_view name); ///< known or new
    const std::string &nameOf(ClassIndex index) const;

    void observe(const ServiceSample &sample);
    bool refresh(TimePoint now); ///< brings samples into the slowdowns when due; true where it did

    /** A slowdown that is known and not to be learned, as log of the slowdown by a neighbour that fills the worker. */
    void pin(std::string_view service, std::string_view neighbour, double logSlowdown);

    /** What another model has learned of a pair, as a prior that is worth @p strength reports of a full neighbour. */
    void assume(ClassIndex service, ClassIndex neighbour, double logSlowdown, double strength);

    /** What models of other workers know of a pair now; replaces what was lent before, and counts in slowdown() only. */
    void borrow(ClassIndex service, ClassIndex neighbour, double logSlowdown, double strength);

    /** How much has been seen of a pair, in the unit of assume(); without what was borrowed. */
    double evidence(ClassIndex service, ClassIndex neighbour) const;

    /** What this model would say without what it has borrowed: what it can lend. */
    double learned(ClassIndex service, ClassIndex neighbour) const;
    std::size_t classCount() const;

    float slowdown(ClassIndex service, ClassIndex neighbour) const;    ///< never negative
    float uncertainty(ClassIndex service, ClassIndex neighbour) const; ///< standard error in the same unit
    float predict(const ServiceSample &sample) const;                  ///< what observe() would expect as logRatio

private:
    static constexpr std::size_t Features = 2 + MaxClasses; ///< level, load, neighbours
    using Row = std::array<double, Features>;

    /** What has been seen of one service class. */
    struct Target
    {
        std::array<Row, Features> products{}; ///< sum of feature products; lower triangle
        Row sums{};                           ///< sum of feature times measured
        Row mean{};                           ///< of the features, over the last commonMode
        double meanRatio = 0;                 ///< of the measured, the same
        TimePoint meanAt{};
        Row coefficients{};
        Row errors{};
        std::array<bool, MaxClasses> pinned{};
        std::array<double, MaxClasses> assumed{}; ///< prior means of neighbours, where assumedStrength is not 0
        std::array<double, MaxClasses> assumedStrength{};
        std::array<double, MaxClasses> borrowed{}; ///< the same, of what other models lend
        std::array<double, MaxClasses> borrowedStrength{};
        Row learned{};       ///< as coefficients, without what was borrowed
        double noise = 0.04; ///< variance of what the neighbours do not explain
        bool dirty = false;
    };

    static Row featuresOf(const ServiceSample &sample);
    void followMean(Target &target, const Row &row, double measured, TimePoint when) const;
    Target &targetOf(ClassIndex service);
    Row solve(const Target &target, bool useBorrowed) const;
    void update(Target &target) const;
    void setPrior(Target &target) const;
    double priorMean(std::size_t feature) const;
    double priorMean(const Target &target, std::size_t feature, bool useBorrowed) const;
    double priorStrength(const Target &target, std::size_t feature, bool useBorrowed) const;

    PlacementSettings m_settings;
    std::map<std::string, ClassIndex, std::less<>> m_classes;
    std::vector<std::string> m_names;
    std::vector<Target> m_targets;
    TimePoint m_refreshed{};
};

/** Remembers the latest changes on one worker, so that a late measurement meets the neighbours of its own time. */
class ResidencyHistory
{
public:
    void add(ClassIndex index, float share, TimePoint now); ///< negative share: it left

    const Shares &now() const;

    /** The shares at @p when; false where the history does not reach back so far. */
    bool at(TimePoint when, Shares &out) const;

private:
    struct Change
    {
        TimePoint when;
        ClassIndex index;
        float share;
    };
    static constexpr std::size_t MaxChanges = 128;

    Shares m_now{};
    std::vector<Change> m_changes; ///< a ring once it is full
    std::size_t m_next = 0;
    TimePoint m_reachesBackTo{}; ///< nothing before is known
};

/**
 * Bounds the difference between a worker's clock and ours. A report cannot have been written after it arrived, nor
 * before a task that it names was started; the second bound also holds when every report is late by the same time.
 */
class WorkerClockOffset
{
public:
    void noteArrival(WorkerTime written, TimePoint now);
    void noteStart(WorkerTime written, TimePoint started); ///< the report written then names a task started then

    TimePoint toLocal(WorkerTime time) const;

private:
    static constexpr std::int64_t DriftPermille = 1; ///< by which both bounds widen as the worker's clock goes on

    void widen(WorkerTime written);

    bool m_hasUpper = false;
    bool m_hasLower = false;
    Duration m_upper{};
    Duration m_lower{};
    WorkerTime m_last{};
};

} // namespace QuetzalRock
