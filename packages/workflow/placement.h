/**
 * Scores workers for the placement of a task. Designed for this load: long-running tasks hold about a third of the
 * resources, short urgent tasks arrive continuously, and large best-effort tasks arrive in bursts and slow down the
 * serving tasks on the same worker.
 *
 * Long-running tasks are packed by image and job, so that only few images interfere with the tasks of a worker, and
 * their load peaks coincide. All other tasks are spread over the CPU that is expected to be idle, away from
 * long-running tasks as long as other workers have capacity. pressure.h estimates the interference between images.
 *
 * Index of this file
 *   PlacementWeights      weights of a worker's properties
 *   Candidate             a worker's properties that matter for a placement
 *   expectedIdleMillis()  CPU that is expected to stay unused
 *   Refusal               why a worker cannot run a task
 *   refusalOf()           whether a task fits on a worker, and if not, why
 *   scoreWorker()         the higher, the better; none: the task does not fit
 *   UnplacedDemands       what found no worker during a placement pass, so that the same is not tried again
 */
#pragma once

#include <workflow/model.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock::Workflow {

/** Penalties are subtracted from the score, which is measured in CPU millis. */
struct PlacementWeights
{
    double longRunningUtilisation = 0.6; ///< part of their reservation that long-running tasks use; idle between peaks
    double bestEffortOvercommit = 1.0;   ///< best-effort CPU requests, relative to the idle CPU; more slows all of them
    std::int64_t longRunningPenaltyMillis = 8'000;   ///< long-running tasks are there and the task is not one
    std::int64_t interferencePenaltyMillis = 40'000; ///< for an interference of 1, which doubles the utilisation
    std::int64_t failurePenaltyMillis = 64'000;      ///< see Candidate::hasRecentFailure
    std::int64_t otherRackPenaltyMillis = 40'000;    ///< the worker is not on the rack that holds the task's data
};

struct Candidate
{
    Resources free; ///< capacity that is not reserved
    std::int64_t capacityMillis = 0;
    std::int64_t reservedMillis = 0;
    std::int64_t longRunningMillis = 0; ///< reserved by long-running tasks; part of reservedMillis
    double longRunningUseMillis = -1;   ///< forecast of what they use of it; negative: longRunningUtilisation of it
    std::int64_t bestEffortMillis = 0;  ///< requested by best-effort tasks; not part of reservedMillis
    bool hasSameImage = false; ///< for a long-running task: the worker already has long-running tasks of its image
    bool hasSameJob = false;   ///< for a long-running task: the worker already has tasks of its job

    /**
     * For a best-effort task, its strongest effect on a serving task there; for a serving task, by how much the effects
     * of the best-effort tasks there exceed what it tolerates. See pressure.h.
     */
    double interference = 0;

    bool isOnPreferredRack = true;
    bool hasRecentFailure = false; ///< the last run on the worker, or this task's last run there, failed or hung
    bool canShareSpareCpu = false; ///< best effort: has waited long enough to exceed bestEffortOvercommit
};

/** Why a worker cannot run a task. */
enum class Refusal : std::uint8_t {
    None, ///< it can

    // It gets no starts at all
    Leaving,        ///< is draining or has left the registry
    Unconfirmed,    ///< has not reported yet to this leader with full authority, or is not stored as in use yet
    UnknownRuns,    ///< runs something that is unknown here
    OutdatedEntry,  ///< its capacity is not known for certain
    Silent,         ///< does not answer
    BackingOff,     ///< has just rejected a start
    Evacuated,      ///< its failure domain is evacuated
    NotConfirmable, ///< the store has not confirmed lately that its failure domain is not evacuated

    // It gets none of this task
    OtherPool,
    Quarantined,  ///< its runs keep failing
    Reserved,     ///< for a task of another job
    TrialOfOther, ///< a suspected task of another job is tried there
    LacksLabel,
    MaxPerWorker,   ///< has enough tasks of the step
    StartInDoubt,   ///< a start of the task that got no answer may be executed elsewhere, see starts.cpp
    LongerWaits,    ///< its room is left to long-running tasks of other shards that have waited for longer
    OthersStarting, ///< tasks of another job are starting up there, while some crash the workers that start them

    // It has no room
    NoFreeMemory,
    NoFreeCpu,    ///< not reserved
    NoIdleCpu,    ///< for a best-effort task
    ServingTasks, ///< a serving task there misses its target, or would
};
constexpr std::size_t RefusalCount = 22;

std::string_view refusalName(Refusal refusal); ///< e.g. "no_free_cpu"

/** CPU that is expected to stay unused, in millis; negative if tasks compete for CPU. */
std::int64_t expectedIdleMillis(const PlacementWeights &weights, const Candidate &worker);

/** NoFreeMemory, NoFreeCpu, NoIdleCpu or None. */
Refusal refusalOf(const PlacementWeights &weights, const StepSpec &step, const Candidate &worker);

std::optional<double> scoreWorker(const PlacementWeights &weights, const StepSpec &step, const Candidate &worker);

/**
 * What found no worker during a placement pass. Room only shrinks during a pass, so whatever demands no less finds none
 * either. Designed for a backlog of hundreds of steps of few images, on a node with a tenth of a CPU.
 */
class UnplacedDemands
{
public:
    void clear();
    void add(const StepSpec &step, std::string_view pool, bool canShareSpareCpu);

    /** False for long-running steps: workers are reserved for some of them. */
    bool covers(const StepSpec &step, std::string_view pool, bool canShareSpareCpu) const;

private:
    struct Demand
    {
        std::string pool;
        std::string image; ///< of a best-effort step
        bool usesSpareCpu = false;
        bool canShareSpareCpu = false;
        Resources need;
        std::int64_t estimateMs = 0; ///< of a best-effort step: it needs its room for that long
    };

    std::vector<Demand> m_demands;
};

} // namespace QuetzalRock::Workflow
