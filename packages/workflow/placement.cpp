#include <workflow/placement.h>

#include <algorithm>
#include <array>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::int64_t SameImageScore = 1'000'000; ///< exceeds the CPU millis of any worker

constexpr std::array<std::string_view, RefusalCount> RefusalNames{
    "none",           "leaving",     "unconfirmed",     "unknown_runs",   "outdated_entry", "silent",
    "backing_off",    "evacuated",   "not_confirmable", "other_pool",     "quarantined",    "reserved",
    "trial_of_other", "lacks_label", "max_per_worker",  "start_in_doubt", "longer_waits",   "others_starting",
    "no_free_memory", "no_free_cpu", "no_idle_cpu",     "serving_tasks",
};
static_assert(static_cast<std::size_t>(Refusal::ServingTasks) + 1 == RefusalCount);

} // namespace

std::string_view refusalName(Refusal refusal)
{
    return RefusalNames[static_cast<std::size_t>(refusal)];
}

std::int64_t expectedIdleMillis(const PlacementWeights &weights, const Candidate &worker)
{
    const auto reserved = static_cast<double>(worker.longRunningMillis);
    const double used
        = worker.longRunningUseMillis >= 0 ? worker.longRunningUseMillis : weights.longRunningUtilisation * reserved;
    const double idleLongRunning = reserved - used;
    return worker.capacityMillis - worker.reservedMillis + static_cast<std::int64_t>(idleLongRunning)
           - worker.bestEffortMillis;
}

Refusal refusalOf(const PlacementWeights &weights, const StepSpec &step, const Candidate &worker)
{
    Resources need = step.need;
    if (step.usesSpareCpu) {
        need.cpuMillis = 0;
    }
    if (!need.fitsIn(worker.free)) {
        return need.cpuMillis > worker.free.cpuMillis ? Refusal::NoFreeCpu : Refusal::NoFreeMemory;
    }
    if (!step.usesSpareCpu || worker.canShareSpareCpu) {
        return Refusal::None;
    }
    const double wanted = static_cast<double>(step.need.cpuMillis) / weights.bestEffortOvercommit;
    return static_cast<double>(expectedIdleMillis(weights, worker)) < wanted ? Refusal::NoIdleCpu : Refusal::None;
}

std::optional<double> scoreWorker(const PlacementWeights &weights, const StepSpec &step, const Candidate &worker)
{
    if (refusalOf(weights, step, worker) != Refusal::None) {
        return std::nullopt;
    }
    const std::int64_t idle = expectedIdleMillis(weights, worker);
    std::int64_t score = idle;
    if (step.isLongRunning) {
        // Prefers workers with long-running tasks of the same image, and of the same job too, the fullest first; then
        // workers without long-running tasks; then the others.
        score = worker.hasSameImage             ? (worker.hasSameJob ? 3 : 2) * SameImageScore - worker.free.cpuMillis
                : worker.longRunningMillis == 0 ? SameImageScore + idle
                                                : idle;
        score -= worker.bestEffortMillis
                 + static_cast<std::int64_t>(worker.interference
                                             * static_cast<double>(weights.interferencePenaltyMillis));
    } else if (worker.longRunningMillis > 0) {
        score -= weights.longRunningPenaltyMillis;
        score
            -= static_cast<std::int64_t>(worker.interference * static_cast<double>(weights.interferencePenaltyMillis));
    }
    score -= worker.hasRecentFailure ? weights.failurePenaltyMillis : 0;
    score -= worker.isOnPreferredRack ? 0 : weights.otherRackPenaltyMillis;
    return static_cast<double>(score);
}

void UnplacedDemands::clear()
{
    m_demands.clear();
}

void UnplacedDemands::add(const StepSpec &step, std::string_view pool, bool canShareSpareCpu)
{
    const bool isRestricted = !step.requiredLabel.empty() || step.maxPerWorker != 0;
    if (!step.isLongRunning && !isRestricted) {
        m_demands.push_back({std::string(pool),
                             step.usesSpareCpu ? step.image : std::string(),
                             step.usesSpareCpu,
                             canShareSpareCpu,
                             step.need,
                             step.usesSpareCpu ? step.estimateMs : 0});
    }
}

bool UnplacedDemands::covers(const StepSpec &step, std::string_view pool, bool canShareSpareCpu) const
{
    if (step.isLongRunning) {
        return false;
    }
    return std::any_of(m_demands.begin(), m_demands.end(), [&](const Demand &it) {
        const bool isSameKind
            = it.usesSpareCpu == step.usesSpareCpu && it.pool == pool && (!it.usesSpareCpu || it.image == step.image);
        return isSameKind && it.need.fitsIn(step.need) && it.estimateMs <= step.estimateMs
               && (it.canShareSpareCpu || !canShareSpareCpu);
    });
}

} // namespace QuetzalRock::Workflow
