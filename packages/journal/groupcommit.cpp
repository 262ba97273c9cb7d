#include <journal/groupcommit.h>

#include <base/errors.h>

#include <algorithm>

namespace QuetzalRock {

namespace {

using Seconds = std::chrono::duration<double>;

Duration toDuration(double seconds)
{
    // Rounded up, so that the write is available after a wait of this duration.
    return std::chrono::ceil<Duration>(Seconds(seconds));
}

void validateSettings(const WriteBudgetSettings &settings)
{
    if (!(settings.writesPerSecond > 0)) {
        throw InvalidArgument("writesPerSecond", "write budget: must be above 0");
    }
    if (!(settings.burst >= 1)) {
        throw InvalidArgument("burst", "write budget: must be 1 or more");
    }
    if (!(settings.urgentReserve >= 0 && settings.urgentReserve <= settings.burst - 1)) {
        throw InvalidArgument("urgentReserve", "write budget: must be 0 to burst - 1");
    }
}

} // namespace

WriteBudget::WriteBudget(const Clock &clock, const WriteBudgetSettings &settings)
    : m_clock(clock)
    , m_settings(settings)
    , m_tokens(settings.burst)
    , m_refilledAt(clock.now())
{
    validateSettings(settings);
}

bool WriteBudget::tryTake(bool urgent)
{
    std::lock_guard guard(m_mutex);
    refill();
    const double reserve = urgent ? 0 : m_settings.urgentReserve;
    if (m_tokens < 1 + reserve) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void WriteBudget::forceTake(double writes)
{
    std::lock_guard guard(m_mutex);
    refill();
    m_tokens -= writes;
}

TimePoint WriteBudget::availableAt(bool urgent) const
{
    std::lock_guard guard(m_mutex);
    refill();
    const double shortfall = 1 + (urgent ? 0 : m_settings.urgentReserve) - m_tokens;
    return shortfall <= 0 ? m_refilledAt : m_refilledAt + toDuration(shortfall / m_settings.writesPerSecond);
}

double WriteBudget::fillRatio() const
{
    std::lock_guard guard(m_mutex);
    refill();
    const double capacity = m_settings.burst - m_settings.urgentReserve;
    return std::clamp((m_tokens - m_settings.urgentReserve) / capacity, 0.0, 1.0);
}

void WriteBudget::refill() const
{
    const TimePoint now = m_clock.now();
    const double refilled = Seconds(now - m_refilledAt).count() * m_settings.writesPerSecond;
    m_tokens = std::min(m_settings.burst, m_tokens + refilled);
    m_refilledAt = now;
}

GroupCommit::GroupCommit(const Clock &clock, WriteBudget &budget, const GroupCommitSettings &settings)
    : m_clock(clock)
    , m_budget(budget)
    , m_settings(settings)
{
    if (settings.minGather < Duration::zero() || settings.maxGather < settings.minGather) {
        throw InvalidArgument("maxGather", "group commit: must be minGather or more");
    }
}

void GroupCommit::add(std::size_t bytes, bool urgent)
{
    const TimePoint now = m_clock.now();
    m_bytes += bytes;
    if (!m_oldest) {
        m_oldest = now;
    }
    if (urgent && !m_oldestUrgent) {
        m_oldestUrgent = now;
    }
}

std::optional<TimePoint> GroupCommit::dueAt() const
{
    if (!m_oldest) {
        return std::nullopt;
    }
    const bool isHalfFull = m_bytes * 2 >= m_settings.maxBatchBytes;
    TimePoint readyAt = isHalfFull ? *m_oldest : *m_oldest + gatherTime();
    if (m_oldestUrgent) {
        readyAt = std::min(readyAt, *m_oldestUrgent + m_settings.minGather);
    }
    return std::max(readyAt, m_budget.availableAt(m_oldestUrgent.has_value()));
}

bool GroupCommit::tryBegin()
{
    const auto due = dueAt();
    if (!due || *due > m_clock.now() || !m_budget.tryTake(m_oldestUrgent.has_value())) {
        return false;
    }
    clear();
    return true;
}

void GroupCommit::requeue(std::size_t bytes, bool urgent)
{
    const TimePoint readyAt = m_clock.now() - m_settings.maxGather;
    m_bytes += bytes;
    m_oldest = readyAt;
    if (urgent) {
        m_oldestUrgent = readyAt;
    }
}

void GroupCommit::clear()
{
    m_oldest.reset();
    m_oldestUrgent.reset();
    m_bytes = 0;
}

Duration GroupCommit::gatherTime() const
{
    const Seconds span = m_settings.maxGather - m_settings.minGather;
    return m_settings.minGather + toDuration(span.count() * (1 - m_budget.fillRatio()));
}

} // namespace QuetzalRock
