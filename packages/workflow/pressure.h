/**
 * Learns how much best-effort tasks slow down the serving tasks on the same worker, and computes throttles for them.
 *
 * Assumed workload: dozens of images that use spare CPU and dozens that serve. For each pair the effect is either small
 * or strong. It is not declared anywhere and shows only in the serving tasks' tail latency, half a second late.
 * The serving tasks' own load rises and falls within seconds, and the tasks of one job do so together.
 *
 * A serving task is modelled as a queue: tail latency = base latency / (1 - utilisation), where utilisation = own load
 * x (1 + sum of effects), and a neighbour's effect is proportional to its share of the worker's CPU. So the
 * utilisation, and from it the own load, follow from a reported tail latency, and a latency target limits the
 * utilisation.
 *
 * Index of this file
 *   PressureSettings   thresholds and timings
 *   StepLoad           estimates the own load of the serving tasks of one step
 *   BestEffortTask     a best-effort task, as input of planThrottle()
 *   SavedPressure      what a leader has learned, as exchanged between the leaders of a fleet
 *   PressureModel      the learned effects by pair of images; wraps the placement package's InterferenceModel
 *   planThrottle()     computes throttles that keep a serving task below a utilisation
 */
#pragma once

#include <workflow/loadforecast.h>

#include <placement/interference.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock::Workflow {

struct PressureSettings
{
    // Margins of utilisation, below the utilisation at which a serving task reaches its latency target
    double placementMargin = 0.04; ///< a best-effort task is not placed if a serving task would come closer than this
    double throttleMargin = 0.0;   ///< neighbours are throttled if a serving task comes closer than this
    double targetMargin = 0.04;    ///< margin that throttles aim at; they are lifted as far as it allows

    Duration warmUpTime
        = std::chrono::milliseconds(1500); ///< after a serving task's start: its tail latency is ignored for this long
    Duration sampleInterval = std::chrono::milliseconds(400); ///< per worker; reports cover the last half second
    Duration maxTimeOverTarget
        = std::chrono::milliseconds(1300); ///< if a tail latency exceeds its target for longer, all best-effort
                                           ///< tasks of that worker are throttled to 0, whatever the model predicts
    double recoveredShare
        = 0.88; ///< part of the target to which the tail latency must fall to end the time over target (hysteresis:
                ///< reports have an error of about an eighth)
    Duration holdTime
        = std::chrono::milliseconds(700); ///< how long these tasks then stay throttled to 0 and no new ones are placed,
                                          ///< counted from the last report over the target
    Duration maxStallTime
        = std::chrono::milliseconds(1200); ///< a task stalled for longer is moved, if it has checkpoints and another
                                           ///< worker can take it
    int stalledPercent = 15;               ///< a task throttled to this or less is stalled
    bool usesPeriodicForecast = false; ///< forecasts the turns of own loads, see loadforecast.h; best-effort tasks are
                                       ///< placed for the time that they need, and throttled before a load rises
    Duration throttleLookahead
        = std::chrono::milliseconds(900); ///< with the periodic forecast: until the throttles of the next report apply
    Duration maxPlacementLookahead = std::chrono::seconds(3); ///< with it: of a best-effort task's run time
    int percentStep = 20;                                     ///< throttles are multiples of this, which saves orders
};

/**
 * Estimates the own load of a step's serving tasks, which is the same for all of them because they share their users.
 * Fits a line to the recent samples of all tasks, weighted by 1 / error^2: tasks whose neighbours have little effect
 * count most.
 */
class StepLoad
{
public:
    /** Adds one task's own load at @p at, with its standard error. */
    void addSample(double load, double error, TimePoint at);

    bool isKnown(TimePoint at) const;        ///< false if the last sample is too old
    double estimateAt(TimePoint when) const; ///< requires isKnown()
    double standardError() const;            ///< approximate
    const PeriodicLoad &periodic() const;    ///< of the same samples

private:
    void decay(TimePoint at);

    // Weighted sums over past samples, with exponential decay; times in seconds before m_lastSampleAt
    double m_weight = 0;
    double m_times = 0;
    double m_squares = 0; ///< of times
    double m_loads = 0;
    double m_products = 0; ///< of time and load
    TimePoint m_lastSampleAt{};
    PeriodicLoad m_periodic;
};

struct BestEffortTask
{
    ClassIndex image = 0;
    double share = 0;  ///< of the worker's CPU, when not throttled
    int percent = 100; ///< current throttle
};

/** What a leader has learned from the workers of its own shard. */
struct SavedPressure
{
    struct Pair
    {
        std::string neighbour;
        double effect = 0;   ///< see InterferenceModel::localEstimate()
        double evidence = 0; ///< see InterferenceModel::evidence(); positive
    };
    struct Service
    {
        std::string image;
        double lowTailMs = 0;
        double peakLoad = 0;
        std::vector<Pair> pairs;
    };
    std::vector<Service> services;
};

std::string encodePressure(const SavedPressure &saved);
SavedPressure decodePressure(std::string_view bytes); ///< throws InvalidArgument; also for a figure out of range

class PressureModel
{
public:
    PressureModel();

    /** UntrackedClass once too many images are known; nothing is learned about such an image. */
    ClassIndex classOf(std::string_view image);

    /** Learns from a serving task's tail latency and the CPU shares that neighbours of each image used at that time. */
    void observe(ClassIndex service, std::int64_t tailMs, const Shares &shares, TimePoint now, StepLoad &load);
    void refresh(TimePoint now);

    /** Relative increase of a service's utilisation caused by a neighbour that uses the whole worker's CPU. */
    double effect(ClassIndex service, ClassIndex neighbour) const;
    double totalEffect(ClassIndex service, std::span<const BestEffortTask> neighbours) const;

    /** Own load expected at @p at; the image's peak load if there are no recent samples in @p load. */
    double expectedLoad(ClassIndex service, const StepLoad &load, TimePoint at) const;

    /**
     * Own loads expected until @p length after @p from: the periodic forecast if @p usesPeriodic and it is known,
     * otherwise expectedLoad() shortly after @p from for the whole time.
     */
    LoadOutlook
    outlook(ClassIndex service, const StepLoad &load, TimePoint from, Duration length, bool usesPeriodic) const;

    /** Utilisation at which the tail latency is @p targetMs. */
    double utilisationForTail(ClassIndex service, std::int64_t targetMs) const;

    /** What this model has learned, for the next leader and for the leaders of other shards. */
    SavedPressure save() const;

    void load(const SavedPressure &saved);                   ///< loads what a previous leader saved
    void importPeers(std::span<const SavedPressure> others); ///< what other shards saved; replaces any earlier import

    /** Images that are known as neighbours of serving tasks, from own reports or from other shards. */
    std::vector<ClassIndex> knownNeighbours() const;
    bool hasNeighbours() const; ///< whether there are any
    const std::string &imageOf(ClassIndex index) const;

private:
    struct Image
    {
        double lowTailMs = 0; ///< serving image: tail latency near its lowest load; 0: not known yet
        std::uint32_t reports = 0;
        double peakLoad = 0.6;
        bool isNeighbour = false; ///< has been seen beside a serving task
    };
    ClassIndex applySavedService(const SavedPressure::Service &saved);
    Image &imageAt(ClassIndex index);
    static void updateLowTail(Image &image, double tailMs);
    double totalEffect(ClassIndex service, const Shares &shares) const;
    double totalEffectError(ClassIndex service, const Shares &shares) const;
    double baseLatencyMs(ClassIndex service) const;

    InterferenceModel m_model;
    std::vector<Image> m_images; ///< by ClassIndex
};

/**
 * Computes throttles for @p neighbours so that their effects on @p service add up to at most @p maxEffect. Lowers @p
 * percents in place, the neighbour with the strongest effect first; on entry it holds the limits due to other serving
 * tasks, or 100.
 */
void planThrottle(const PressureModel &model,
                  ClassIndex service,
                  double maxEffect,
                  std::span<const BestEffortTask> neighbours,
                  std::span<int> percents);

} // namespace QuetzalRock::Workflow
