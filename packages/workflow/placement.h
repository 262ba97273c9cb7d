/**
 * Which worker takes a task. Answers this load: serving tasks hold a third of the room for long, short urgent tasks come
 * all the time, and large tasks that take what is left over come in waves and disturb the serving ones beside them.
 *
 * Serving tasks are packed together by image and job, so that few kinds of neighbours are bad for each worker, and at few times; all others are spread
 * over the processors that are really left, away from serving tasks while there is room elsewhere. Which neighbours are bad
 * for a serving task is not decided here, see pressure.h.
 *
 * Index of this file
 *   PlacementWeights   what a worker's features count
 *   Candidate          a worker as the choice sees it
 *   scoreOf()          the higher, the better; none: the task does not fit
 */
#pragma once

#include <workflow/model.h>

#include <optional>

namespace QuetzalRock::Workflow {

struct PlacementWeights
{
    double servingUse = 0.6;      ///< processors that a serving task uses of those it reserves; they idle between peaks
    double spareOvercommit = 1.0; ///< tasks on spare processors may want so much of what is left; more only slows all
    std::int64_t servingPenaltyMillis
        = 8'000;                             ///< beside a serving task, a worker counts as having so much less left ...
    std::int64_t pushPenaltyMillis = 40'000; ///< ... and so much less for a push of 1, which doubles its utilisation
    std::int64_t suspectPenaltyMillis = 64'000; ///< a worker whose last run failed
    std::int64_t farPenaltyMillis = 40'000;     ///< off the rack that holds the task's data
};

struct Candidate
{
    Resources free; ///< not reserved
    std::int64_t capacityMillis = 0;
    std::int64_t reservedMillis = 0;
    std::int64_t servingMillis = 0; ///< a part of reservedMillis
    std::int64_t spareMillis = 0;   ///< wanted by tasks on spare processors
    bool hasSameImage = false;      ///< serving: tasks of its image serve there already
    bool hasSameJob = false;        ///< serving: tasks of its job are there already
    double push = 0;                ///< strongest effect of the task on a serving one there, see pressure.h
    bool isOnPreferredRack = true;
    bool isDoubtful = false;    ///< its last run failed, or it failed this very task
    bool mayShareSpare = false; ///< the task has waited long enough to take spare processors that others want too
};

/** Processors that nobody is expected to use, in millis; negative where tasks get in each other's way. */
std::int64_t leftOver(const PlacementWeights &weights, const Candidate &worker);

std::optional<double> scoreOf(const PlacementWeights &weights, const StepSpec &step, const Candidate &worker);

} // namespace QuetzalRock::Workflow
