#include <workflow/crashes.h>

#include <algorithm>
#include <set>

namespace QuetzalRock::Workflow {

std::vector<std::optional<CrashEvidence>> assessCrash(std::span<const LostRun> lost, bool isCoincident)
{
    std::set<JobKey> starting;
    std::set<JobKey> present;
    for (const LostRun &it : lost) {
        if (it.isStarting) {
            starting.insert(it.run.task.job);
        }
        if (it.isStarting || !it.isLongRunning) {
            present.insert(it.run.task.job);
        }
    }
    std::vector<std::optional<CrashEvidence>> evidence;
    for (const LostRun &it : lost) {
        CrashEvidence crash;
        crash.attempt = it.run.attempt;
        if (!it.isStarting && !it.isTrial) {
            crash.suspects = static_cast<std::uint32_t>(present.size());
            evidence.push_back(it.isLongRunning ? std::nullopt : std::optional(crash));
            continue;
        }
        // A task that was suspected of crashing its workers later is tried until it ends.
        const std::set<JobKey> &suspects = it.isStarting ? starting : present;
        crash.suspects = static_cast<std::uint32_t>(suspects.size());
        crash.role = isCoincident                         ? CrashRole::CoincidentStart
                     : it.isTrial && suspects.size() == 1 ? CrashRole::Trial
                                                          : CrashRole::Start;
        evidence.push_back(crash);
    }
    return evidence;
}

std::uint32_t countCrashes(std::span<const CrashEvidence> crashes, CrashRole role)
{
    return static_cast<std::uint32_t>(
        std::count_if(crashes.begin(), crashes.end(), [role](const CrashEvidence &it) { return it.role == role; }));
}

bool isSuspected(const CrashSettings &settings, std::span<const CrashEvidence> crashes)
{
    const std::uint32_t weak
        = countCrashes(crashes, CrashRole::Present) + countCrashes(crashes, CrashRole::CoincidentStart);
    return weak < crashes.size() || weak >= settings.maxPresences;
}

bool isGivenUp(const CrashSettings &settings, std::span<const CrashEvidence> crashes)
{
    const auto starts = static_cast<std::uint32_t>(crashes.size()) - countCrashes(crashes, CrashRole::Present);
    return countCrashes(crashes, CrashRole::Trial) >= settings.maxTrialCrashes || starts >= settings.maxStartCrashes;
}

double guiltEstimate(std::span<const CrashEvidence> crashes)
{
    double guilt = 0;
    for (const CrashEvidence &it : crashes) {
        const bool isTrial = it.role == CrashRole::Trial;
        guilt = std::max(guilt, isTrial ? 1 : 1 / static_cast<double>(std::max(1U, it.suspects)));
    }
    return guilt;
}

TrialBudget::TrialBudget(const CrashSettings &settings, std::size_t workers)
    : m_limit(std::max(1.0, settings.maxShareAtRisk * static_cast<double>(workers)))
{
}

void TrialBudget::add(double risk)
{
    m_risk += risk;
}

bool TrialBudget::allows(double risk) const
{
    return m_risk + risk <= m_limit;
}

double TrialBudget::risk() const
{
    return m_risk;
}

double TrialBudget::limit() const
{
    return m_limit;
}

} // namespace QuetzalRock::Workflow
