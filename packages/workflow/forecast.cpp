#include <workflow/forecast.h>

#include <algorithm>
#include <bit>
#include <cmath>

#include <xxhash.h>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration RateTime = 10s; ///< of measurement: several times the run time of a task

/** Statuses change at least that often while work waits and is completed; an older one has no leader to renew it. */
constexpr std::int64_t MaxStatusAgeMs = 5000;

/**
 * Part of the queued work of the same priority that counts as ahead of a job. The order serves jobs by their cost and
 * drops late ones behind, so most of it does not delay the job.
 */
constexpr double SamePriorityShare = 0.25;

constexpr Duration MinRetryAfter = 1s;
constexpr Duration MaxRetryAfter = 60s; ///< what is known now says nothing about a later time
constexpr Duration MinRetrySpread = 2s; ///< callers that were rejected together do not come back together

constexpr Duration RejectionPause = 5s; ///< without rejections, until their end is logged

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** Only jobs that consist of best-effort steps with known run times, and are due at once, can be forecast. */
bool canBeForecast(const WorkflowSpec &spec)
{
    return spec.repeatCount == 0 && std::all_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec &it) {
               return it.usesSpareCpu && !it.isLongRunning && it.estimateMs > 0;
           });
}

/** Time that a job of @p queue may take until its result is worthless. */
Duration longestUsefulTime(const Queue &queue, const WorkflowSpec &spec)
{
    const double objectiveMs
        = queue.stretch * static_cast<double>(criticalPathMs(spec)) + static_cast<double>(queue.slackMs);
    return std::chrono::milliseconds(std::llround(TooLateFactor * objectiveMs));
}

/** Grows with the time by which the job would end too late, and is spread over as much again by a hash of its key. */
Duration retryAfter(Duration excess, const JobKey &key)
{
    const Duration base = std::clamp<Duration>(excess, MinRetryAfter, MaxRetryAfter / 2);
    const Duration spread = std::max(base, MinRetrySpread);
    const double share = static_cast<double>(XXH3_64bits(key.data(), key.size()) % 1000) / 1000;
    return base + Duration(std::llround(share * static_cast<double>(spread.count())));
}

std::optional<Duration>
waitIn(const ShardStatuses &statuses, ShardId shard, int priority, std::int64_t work, std::int64_t wallMs)
{
    const auto status = statuses.find(shard);
    const bool isRecent = status != statuses.end() && std::abs(wallMs - status->second.writtenAtMs) <= MaxStatusAgeMs;
    return isRecent ? forecastWait(status->second, priority, work) : std::nullopt;
}

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Rate
// ---------------------------------------------------------------------------------------------------------------------

void CompletionRate::add(std::int64_t work, TimePoint now)
{
    m_completed.push_back({now, work});
    m_sum += work;
    while (m_completed.front().at <= now - RateTime) {
        m_sum -= m_completed.front().work;
        m_completed.pop_front();
    }
}

void CompletionRate::setWaiting(bool isWorkWaiting, TimePoint now)
{
    m_waitingSince = !isWorkWaiting ? TimePoint{} : m_waitingSince == TimePoint{} ? now : m_waitingSince;
}

std::int64_t CompletionRate::perSecond(TimePoint now) const
{
    if (m_waitingSince == TimePoint{} || now < m_waitingSince + RateTime) {
        return 0;
    }
    std::int64_t sum = m_sum;
    for (auto it = m_completed.begin(); it != m_completed.end() && it->at <= now - RateTime; ++it) {
        sum -= it->work;
    }
    return sum * 1000 / toMs(RateTime);
}

// ---------------------------------------------------------------------------------------------------------------------
// Forecast
// ---------------------------------------------------------------------------------------------------------------------

int workBucket(std::int64_t work)
{
    return static_cast<int>(std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(0, work))));
}

std::optional<Duration> forecastWait(const ShardStatus &status, int priority, std::int64_t work)
{
    if (status.bestEffortRate <= 0) {
        return std::nullopt;
    }
    double ahead = 0;
    for (const auto &[queuedPriority, buckets] : status.bestEffortQueued) {
        for (const auto &[bucket, queued] : buckets) {
            const bool isAhead = queuedPriority < priority;
            const bool mayBeAhead = queuedPriority == priority && bucket <= workBucket(work);
            ahead += (isAhead ? 1 : mayBeAhead ? SamePriorityShare : 0) * static_cast<double>(queued);
        }
    }
    return std::chrono::milliseconds(std::llround(ahead * 1000 / static_cast<double>(status.bestEffortRate)));
}

Admission decideAdmission(const ShardMap &map,
                          const ShardStatuses &statuses,
                          const Queue &queue,
                          const WorkflowSpec &spec,
                          ShardId shard,
                          std::int64_t wallMs)
{
    Admission admission;
    admission.shard = shard;
    if (!canBeForecast(spec)) {
        return admission;
    }
    admission.basis = Admission::Basis::NoForecast;
    const std::int64_t work = jobWork(spec);
    const auto ownWait = waitIn(statuses, shard, queue.priority, work, wallMs);
    if (!ownWait) {
        return admission;
    }
    admission.basis = Admission::Basis::Forecast;
    admission.wait = *ownWait;
    const Duration ownTime = std::chrono::milliseconds(criticalPathMs(spec));
    const Duration longestWait = longestUsefulTime(queue, spec) - ownTime;
    if (admission.wait <= longestWait) {
        return admission;
    }
    bool isKnown = true;
    for (const ShardId other : shardsFor(map, queue.pool, spec)) {
        const auto wait = waitIn(statuses, other, queue.priority, work, wallMs);
        isKnown = isKnown && wait;
        if (wait && *wait < admission.wait) {
            admission.wait = *wait;
            admission.shard = other;
        }
    }
    admission.isAdmitted = !isKnown || admission.wait <= longestWait;
    admission.retryAfter = admission.isAdmitted ? Duration::zero() : retryAfter(admission.wait - longestWait, spec.key);
    return admission;
}

// ---------------------------------------------------------------------------------------------------------------------
// AdmissionControl
// ---------------------------------------------------------------------------------------------------------------------

AdmissionControl::AdmissionControl(const ScarcitySettings &settings, Clock &clock, EventLog &log)
    : m_settings(settings)
    , m_clock(clock)
    , m_log(log)
{
}

bool AdmissionControl::isEnabled() const
{
    return m_settings.enabled;
}

const std::map<std::string, AdmissionControl::QueueState> &AdmissionControl::queues() const
{
    return m_queues;
}

Admission AdmissionControl::decide(
    const ShardMap &map, const ShardStatuses &statuses, const Queue &queue, const WorkflowSpec &spec, ShardId shard)
{
    Admission admission;
    admission.shard = shard;
    if (!m_settings.enabled) {
        return admission;
    }
    admission = decideAdmission(map, statuses, queue, spec, shard, m_clock.wallNow().count());
    if (admission.basis == Admission::Basis::NotApplicable) {
        return admission;
    }
    if (admission.basis == Admission::Basis::NoForecast && !m_hasLoggedNoForecast) {
        m_hasLoggedNoForecast = true;
        m_log.write("admission_without_forecast", "queue", queue.name, "shard", shard, "statuses", statuses.size());
    }
    QueueState &state = m_queues[queue.name];
    state.wait = admission.wait;
    if (admission.isAdmitted) {
        logEndOfRejections(queue.name, state);
    }
    return admission;
}

void AdmissionControl::addRejection(const std::string &queue, const JobKey &key, const Admission &admission)
{
    QueueState &state = m_queues[queue];
    ++state.rejected;
    state.lastRejectionAt = m_clock.now();
    if (state.isRejecting) {
        return;
    }
    state.isRejecting = true;
    state.loggedAt = state.rejected;
    m_log.write("job_rejected_no_room",
                "job",
                key,
                "queue",
                queue,
                "wait_ms",
                toMs(admission.wait),
                "retry_after_ms",
                toMs(admission.retryAfter));
}

void AdmissionControl::logEndOfRejections(const std::string &queue, QueueState &state)
{
    if (state.isRejecting && m_clock.now() >= state.lastRejectionAt + RejectionPause) {
        state.isRejecting = false;
        m_log.write("rejections_ended", "queue", queue, "more_rejected", state.rejected - state.loggedAt);
    }
}

} // namespace QuetzalRock::Workflow
