#include <workflow/placement.h>

namespace QuetzalRock::Workflow {

namespace {

constexpr std::int64_t ImageRank = 1'000'000; ///< above any worker's processors, in millis

} // namespace

std::int64_t leftOver(const PlacementWeights &weights, const Candidate &worker)
{
    const double idleServing = (1 - weights.servingUse) * static_cast<double>(worker.servingMillis);
    return worker.capacityMillis - worker.reservedMillis + static_cast<std::int64_t>(idleServing) - worker.spareMillis;
}

std::optional<double> scoreOf(const PlacementWeights &weights, const StepSpec &step, const Candidate &worker)
{
    Resources need = step.need;
    if (step.usesSpareCpu) {
        need.cpuMillis = 0;
    }
    if (!need.fitsIn(worker.free)) {
        return std::nullopt;
    }
    const std::int64_t left = leftOver(weights, worker);
    const double wanted = static_cast<double>(step.need.cpuMillis) / weights.spareOvercommit;
    if (step.usesSpareCpu && !worker.mayShareSpare && static_cast<double>(left) < wanted) {
        return std::nullopt;
    }
    std::int64_t score = left;
    if (step.isLasting) {
        // Beside its like, where the least room is left; then on a worker without serving tasks; then beside others.
        score = worker.hasSameImage         ? (worker.hasSameJob ? 3 : 2) * ImageRank - worker.free.cpuMillis
                : worker.servingMillis == 0 ? ImageRank + left
                                            : left;
        score -= worker.spareMillis
                 + static_cast<std::int64_t>(worker.push * static_cast<double>(weights.pushPenaltyMillis));
    } else if (worker.servingMillis > 0) {
        score -= weights.servingPenaltyMillis;
        score -= static_cast<std::int64_t>(worker.push * static_cast<double>(weights.pushPenaltyMillis));
    }
    score -= worker.isDoubtful ? weights.suspectPenaltyMillis : 0;
    score -= worker.isOnPreferredRack ? 0 : weights.farPenaltyMillis;
    return static_cast<double>(score);
}

} // namespace QuetzalRock::Workflow
