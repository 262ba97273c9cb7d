/**
 * How much tasks on spare processors disturb serving tasks beside them, and what is done about it. Answers this load: a
 * handful of images that fill, a handful that serve; of each pair either a small effect or a strong one, declared nowhere,
 * which shows only in the serving tasks' tail latency, half a second late. The serving tasks' own load goes up and down
 * within seconds, and those of one job do so together.
 *
 * A serving task is taken for a queue: tail = base / (1 - utilisation), where utilisation = own load x (1 + sum of effects),
 * and a neighbour's effect is proportional to its share of the worker's processors. So a tail tells the utilisation, and
 * from it the own load, and the target is a bound on the utilisation.
 *
 * Index of this file
 *   PressureSettings   thresholds
 *   StepLoad         own load of the serving tasks of one step
 *   SpareCpuTask        a neighbour, as the choice of what to throttle sees it
 *   PressureModel      the learned effects, by image; wraps the placement package's InterferenceModel
 *   planThrottle()     how far neighbours are throttled to keep a serving task within a utilisation
 */
#pragma once

#include <placement/interference.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock::Workflow {

struct PressureSettings
{
    double placementMargin
        = 0.04; ///< of utilisation, below that of the target: a new neighbour may bring a task up to there
    double throttleMargin = 0.0; ///< above this, neighbours are throttled ...
    double targetMargin = 0.04;  ///< ... down to this, and throttles are lifted up to it
    Duration forecastHorizon
        = std::chrono::milliseconds(600); ///< loads are extrapolated so far: the age of a report, the time to
                                          ///< the next, and that of a throttle
    Duration warmUpTime = std::chrono::milliseconds(1500);    ///< of a serving task: its first tails say nothing
    Duration sampleInterval = std::chrono::milliseconds(400); ///< reports cover the last half second
    Duration maxTimeOverTarget
        = std::chrono::milliseconds(1300); ///< a tail above its target for so long: whatever the model says, all
                                           ///< neighbours are held ...
    double recoveredShare
        = 0.88; ///< of its target: a tail counts as above until a report is below this, as reports are off by
                ///< an eighth either way
    Duration holdTime = std::chrono::milliseconds(700); ///< ... for so long after it, and no new ones come
    Duration maxStallTime
        = std::chrono::milliseconds(1200); ///< a neighbour held nearly still for so long is moved, if it can
    int stalledPercent = 15;               ///< throttled to this or less counts as held still
    int percentStep = 20;                  ///< throttles are multiples of this many percent points: fewer orders
};

/**
 * The own load of a step's serving tasks: they share their users, so it is one figure for all of them. A line through the
 * latest reports of all tasks; those whose neighbours have little effect count most. Lives with the step.
 */
class StepLoad
{
public:
    /** One task's own load at @p at, with the standard error of it. */
    void addSample(double load, double error, TimePoint at);

    bool isKnown(TimePoint at) const;        ///< false: no report for too long
    double estimateAt(TimePoint when) const; ///< expected then; call only where known
    double error() const;                    ///< standard error, about

private:
    void fade(TimePoint at);

    // Weighted sums over past reports, faded with age; times in seconds before m_at.
    double m_weight = 0;
    double m_times = 0;
    double m_squares = 0;
    double m_loads = 0;
    double m_products = 0;
    TimePoint m_at{};
};

struct SpareCpuTask
{
    ClassIndex image = 0;
    double share = 0; ///< of the worker's processors, unthrottled
    int percent = 100;
};

class PressureModel
{
public:
    PressureModel();

    ClassIndex classOf(std::string_view image);

    /** Takes in a serving task's tail, beside @p shares of each image as used at the time. */
    void observe(ClassIndex service, std::int64_t tailMs, const Shares &shares, TimePoint now, StepLoad &load);
    void refresh(TimePoint now);

    /** Added to 1, and multiplied with a task's own load, by a neighbour that fills the worker. */
    double effect(ClassIndex service, ClassIndex neighbour) const;
    double totalEffect(ClassIndex service, std::span<const SpareCpuTask> neighbours) const;

    /** Own load expected at @p at; the class's usual one where the task has not been seen. */
    double expectedLoad(ClassIndex service, const StepLoad &load, TimePoint at) const;

    /** Utilisation at which the tail is at @p targetMs. */
    double utilisationForTail(ClassIndex service, std::int64_t targetMs) const;

    /** All that was learned here, for a successor and for the leaders of other shards. */
    std::string save() const;

    /** Takes over what a former leader saved. Throws InvalidArgument where it cannot be read. */
    void load(std::string_view bytes);

    /** Takes in what the leaders of other shards have saved; replaces what was borrowed before. Throws InvalidArgument. */
    void importPeers(std::span<const std::string> others);

private:
    /** What is known of one serving image. */
    struct Service
    {
        double leastTailMs = 0; ///< 0: not seen yet
        double peakLoad = 0.6;
    };
    /** One saved pair. */
    struct SavedPair
    {
        ClassIndex service = 0;
        ClassIndex neighbour = 0;
        double effect = 0;
        double evidence = 0;
    };
    std::vector<SavedPair> readSaved(std::string_view bytes);
    Service &serviceOf(ClassIndex index);
    double totalEffect(ClassIndex service, const Shares &shares) const;
    double errorOf(ClassIndex service, const Shares &shares) const;
    double baseMs(ClassIndex service) const;

    InterferenceModel m_model;
    std::vector<Service> m_services; ///< by ClassIndex
};

/**
 * New percentages for @p neighbours so that their effects on @p service add up to at most @p allowed: unthrottled, and from
 * there the strongest first. @p percents holds what other serving tasks leave them, and is lowered in place.
 */
void planThrottle(const PressureModel &model,
                  ClassIndex service,
                  double allowed,
                  std::span<const SpareCpuTask> neighbours,
                  std::span<int> percents);

} // namespace QuetzalRock::Workflow
