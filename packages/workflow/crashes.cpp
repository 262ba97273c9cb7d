#include <workflow/crashes.h>

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

namespace QuetzalRock::Workflow {

namespace {

constexpr double PlacesForTrials = 2;   ///< one for suspects that are likely guilty, one for the others
constexpr double MaxTriedOfCrash = 0.5; ///< sum of the guilt of the suspects of one crash that are tried at a time

} // namespace

std::vector<std::optional<CrashEvidence>>
assessCrash(std::span<const LostRun> lost, bool isCoincident, bool isTimeKnown)
{
    std::set<JobKey> starting;
    std::set<JobKey> present;
    for (const LostRun &it : lost) {
        if (it.isStarting) {
            starting.insert(it.run.task.job);
        }
        if (it.isStarting || it.hasStartedBefore || !it.isLongRunning) {
            present.insert(it.run.task.job);
        }
    }
    const bool isBesideSharedTrial
        = std::any_of(lost.begin(), lost.end(), [](const LostRun &it) { return it.isSharedTrial && !it.isStarting; });
    std::vector<std::optional<CrashEvidence>> evidence;
    for (const LostRun &it : lost) {
        CrashEvidence crash;
        crash.attempt = it.run.attempt;
        if (it.isSharedTrial && !it.isStarting) {
            crash.suspects = static_cast<std::uint32_t>(present.size());
            crash.role = isCoincident || present.size() > 1 ? CrashRole::CoincidentStart : CrashRole::Trial;
            evidence.push_back(crash);
            continue;
        }
        if (!it.isStarting && !it.isTrial) {
            crash.suspects = static_cast<std::uint32_t>(present.size());
            crash.role = it.hasStartedBefore ? CrashRole::CoincidentStart : CrashRole::Present;
            crash.isExplained = it.hasStartedBefore;
            evidence.push_back(it.isLongRunning && !it.hasStartedBefore ? std::nullopt : std::optional(crash));
            continue;
        }
        // A task that was suspected of crashing its workers later is tried until it ends.
        const std::set<JobKey> &suspects = it.isStarting ? starting : present;
        crash.suspects = static_cast<std::uint32_t>(suspects.size());
        const bool mayBeUnrelated = isCoincident && (isTimeKnown || it.isTrial);
        const bool wasAlone = suspects.size() == 1 && !isBesideSharedTrial;
        crash.role = mayBeUnrelated           ? CrashRole::CoincidentStart
                     : it.isTrial && wasAlone ? CrashRole::Trial
                                              : CrashRole::Start;
        evidence.push_back(crash);
    }
    return evidence;
}

std::set<std::string> findDomainsDown(const CrashSettings &settings, const std::map<std::string, DomainToll> &domains)
{
    const auto shareOf = [](const DomainToll &it) {
        return static_cast<double>(it.down) / static_cast<double>(std::max<std::size_t>(1, it.workers));
    };
    std::set<std::string> found;
    DomainToll elsewhere;
    for (const auto &[domain, it] : domains) {
        if (!domain.empty() && it.down >= settings.minDomainCrashes && shareOf(it) >= settings.minDomainShare) {
            found.insert(domain);
        } else {
            elsewhere.down += it.down;
            elsewhere.workers += it.workers;
        }
    }
    std::erase_if(found, [&](const std::string &it) {
        return shareOf(elsewhere) > settings.maxShareElsewhere * shareOf(domains.at(it));
    });
    return found;
}

bool excuseCrash(std::span<CrashEvidence> crashes, const CrashName &crash)
{
    bool isChanged = false;
    for (CrashEvidence &it : crashes) {
        if (it.crash == crash && (it.role == CrashRole::Start || it.role == CrashRole::Trial)) {
            it.role = CrashRole::CoincidentStart;
            it.isExplained = false; // would say of this role that the task had started up before
            it.areStartsToBlame = false;
            isChanged = true;
        }
    }
    return isChanged;
}

bool hasCrashAtStart(std::span<const CrashEvidence> crashes)
{
    return std::any_of(
        crashes.begin(), crashes.end(), [](const CrashEvidence &it) { return it.role != CrashRole::Present; });
}

std::uint32_t countCrashes(std::span<const CrashEvidence> crashes, CrashRole role)
{
    return static_cast<std::uint32_t>(
        std::count_if(crashes.begin(), crashes.end(), [role](const CrashEvidence &it) { return it.role == role; }));
}

std::uint32_t countUnexplained(std::span<const CrashEvidence> crashes, CrashRole role)
{
    return static_cast<std::uint32_t>(std::count_if(crashes.begin(), crashes.end(), [role](const CrashEvidence &it) {
        return it.role == role && !it.isExplained;
    }));
}

std::vector<CrashName> crashesExplainedBy(std::span<const CrashEvidence> crashes)
{
    std::vector<CrashName> names;
    if (countCrashes(crashes, CrashRole::Trial) == 0) {
        return names;
    }
    // A task that crashes its workers while it starts up does not explain those at which it had been running for long.
    const bool crashesLater = countCrashes(crashes, CrashRole::Start) == 0;
    for (const CrashEvidence &it : crashes) {
        const bool isCause = it.role == CrashRole::Present ? crashesLater : it.role != CrashRole::Trial;
        if (isCause && it.crash.isKnown()) {
            names.push_back(it.crash);
        }
    }
    return names;
}

bool explainCrash(const CrashSettings &settings, std::span<CrashEvidence> crashes, const CrashName &crash)
{
    const auto found = std::find_if(crashes.begin(), crashes.end(), [&crash](const CrashEvidence &it) {
        return crash.isKnown() && it.crash == crash && it.role != CrashRole::Trial && !it.isExplained;
    });
    const auto explained
        = std::count_if(crashes.begin(), crashes.end(), [](const CrashEvidence &it) { return it.isExplained; });
    if (found == crashes.end() || explained >= static_cast<std::ptrdiff_t>(settings.maxExplained)
        || countCrashes(crashes, CrashRole::Trial) > 0) {
        return false;
    }
    found->isExplained = true;
    return true;
}

bool isSuspected(const CrashSettings &settings, std::span<const CrashEvidence> crashes)
{
    const std::uint32_t strong
        = countUnexplained(crashes, CrashRole::Start) + countUnexplained(crashes, CrashRole::Trial);
    const std::uint32_t weak
        = countUnexplained(crashes, CrashRole::Present) + countUnexplained(crashes, CrashRole::CoincidentStart);
    return strong > 0 || weak >= settings.maxPresences;
}

bool isGivenUp(const CrashSettings &settings, std::span<const CrashEvidence> crashes)
{
    const auto starts = static_cast<std::uint32_t>(crashes.size()) - countCrashes(crashes, CrashRole::Present);
    const bool isTrialEnough = std::any_of(crashes.begin(), crashes.end(), [](const CrashEvidence &it) {
        return it.role == CrashRole::Trial && it.areStartsToBlame;
    });
    const std::uint32_t trials = countCrashes(crashes, CrashRole::Trial);
    // It had started up before, so that one of its crashes was not held against it.
    const bool wasSpared
        = countCrashes(crashes, CrashRole::CoincidentStart) > countUnexplained(crashes, CrashRole::CoincidentStart);
    const bool hasCrashedSince = wasSpared && trials > 0 && countCrashes(crashes, CrashRole::Start) > 0;
    return trials >= settings.maxTrialCrashes || starts >= settings.maxStartCrashes || hasCrashedSince
           || (isTrialEnough && countUnexplained(crashes, CrashRole::Start) > 0);
}

double guiltEstimate(std::span<const CrashEvidence> crashes, const SuspectsByCrash &suspects)
{
    double guilt = 0;
    for (const CrashEvidence &it : crashes) {
        if (it.isExplained) {
            continue;
        }
        const auto remaining = suspects.find(it.crash);
        const std::uint32_t n = remaining == suspects.end() ? it.suspects : remaining->second;
        guilt = std::max(guilt, it.role == CrashRole::Trial ? 1 : 1 / static_cast<double>(std::max(1U, n)));
    }
    return guilt;
}

std::vector<CrashName> suspectedCrashes(std::span<const CrashEvidence> crashes)
{
    std::vector<CrashName> names;
    for (const CrashEvidence &it : crashes) {
        if (it.crash.isKnown() && !it.isExplained) {
            names.push_back(it.crash);
        }
    }
    return names;
}

std::int64_t suspectedSinceMs(std::span<const CrashEvidence> crashes)
{
    std::int64_t sinceMs = 0;
    for (const CrashEvidence &it : crashes) {
        sinceMs = it.isExplained ? sinceMs : std::max(sinceMs, it.recordedMs);
    }
    return sinceMs;
}

Duration
remainingVerdictTime(const CrashSettings &settings, const TaskTrial &trial, Duration lease, std::int64_t wallMs)
{
    if (trial.preparedMs == 0) {
        return settings.verdictTimeout;
    }
    // Wall clocks of nodes differ, and step.
    const Duration left = std::chrono::milliseconds(trial.preparedMs) + lease + settings.verdictTimeout
                          - std::chrono::milliseconds(wallMs);
    return std::clamp(left, Duration::zero(), settings.verdictTimeout);
}

TrialBudget::TrialBudget(const CrashSettings &settings, std::size_t workers)
    : m_limit(std::max(1.0, settings.maxShareAtRisk * static_cast<double>(workers)))
    , m_maxShareOfSpare(settings.maxShareOfSpare)
{
}

void TrialBudget::addTrial(double risk, bool isOfGuilty)
{
    m_risk += risk;
    m_hasTrialOfGuilty = m_hasTrialOfGuilty || isOfGuilty;
}

void TrialBudget::addDown(std::size_t workers)
{
    m_risk += std::min(static_cast<double>(workers), m_limit - std::min(m_limit, PlacesForTrials));
}

void TrialBudget::addIdle(std::size_t idle, double spare)
{
    m_limit += std::min(static_cast<double>(idle), std::max(m_limit, m_maxShareOfSpare * spare));
}

bool TrialBudget::hasTrialOfGuilty() const
{
    return m_hasTrialOfGuilty;
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

std::vector<std::size_t> chooseTrials(const CrashSettings &settings,
                                      std::span<const WaitingSuspect> waiting,
                                      std::int64_t nowMs,
                                      TrialBudget budget,
                                      TriedByCrash tried)
{
    const bool areGuiltyApart = budget.limit() >= PlacesForTrials;
    const auto isGuilty = [&](std::size_t i) { return waiting[i].guilt >= LikelyGuilty; };
    const auto isOverdue = [&](std::size_t i) {
        return std::chrono::milliseconds(nowMs - waiting[i].sinceMs) >= settings.maxTrialDelay;
    };
    const auto rankOf = [&](std::size_t i) {
        const bool isLate = isOverdue(i);
        return std::tuple(areGuiltyApart && isGuilty(i),
                          !isLate,
                          isLate ? 0 : waiting[i].guilt,
                          !isLate && waiting[i].isTriedUntilItsEnd,
                          waiting[i].sinceMs);
    };
    const auto areOthersTried = [&](std::size_t i) {
        const auto &crashes = waiting[i].crashes;
        return std::any_of(crashes.begin(), crashes.end(), [&](const CrashName &it) {
            const auto found = tried.find(it);
            return found != tried.end() && found->second + waiting[i].guilt > MaxTriedOfCrash;
        });
    };
    std::vector<std::size_t> order(waiting.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return rankOf(a) < rankOf(b); });
    const bool isPlaceKept = areGuiltyApart && !budget.hasTrialOfGuilty() && !order.empty() && isGuilty(order.back());
    std::vector<std::size_t> chosen;
    bool doesGuiltyWait = false; // an overdue one has no place: none after it gets one
    bool doesOtherWait = false;
    for (const std::size_t i : order) {
        if (areOthersTried(i)) {
            continue;
        }
        const double keptRisk = isPlaceKept && !isGuilty(i) ? LikelyGuilty : 0; // of the trial of a guilty one
        bool &doesWait = areGuiltyApart && isGuilty(i) ? doesGuiltyWait : doesOtherWait;
        if (doesWait || !budget.allows(waiting[i].guilt + keptRisk)) {
            doesWait = doesWait || isOverdue(i);
            continue;
        }
        budget.addTrial(waiting[i].guilt, isGuilty(i));
        chosen.push_back(i);
        for (const CrashName &it : waiting[i].crashes) {
            tried[it] += waiting[i].guilt;
        }
    }
    return chosen;
}

} // namespace QuetzalRock::Workflow
