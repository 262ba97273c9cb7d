#include <requests/admission.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr double AdmitWaitShare = 0.4;     ///< of its deadline a request may be expected to wait when it is let in
constexpr double ShedWaitShare = 0.5;      ///< and when it has been let in: between the two the forecast may err
constexpr double LoadWeight = 0.3;         ///< of the newest interval in the moving average of a class's load
constexpr double MinPopRate = 0.1;         ///< requests/s; a starved class is still forecast
constexpr double MinRemainingShare = 0.02; ///< of the slots that higher classes are taken to leave
constexpr double WaitWeight = 0.05;        ///< of the newest queue wait in the moving average
constexpr double PressedWaitShare = 0.35;  ///< brown-out grows where a class waits for more of its deadline than this
constexpr double PressedShedShare = 0.05;  ///< or where more of its arrivals than this are refused for the deadline
constexpr int CalmIntervals = 10;          ///< without pressure, before one class is let in again
constexpr double ShrinkFactor = 0.9;
constexpr Duration ShrinkInterval = 100ms; ///< a tenant's limit shrinks at most once in this time
constexpr double LateShare = 0.6;          ///< of the deadline: an answer that took longer counts as late
constexpr Duration MinRetryAfter = 50ms;
constexpr Duration BrownoutRetryAfter = 2s;
constexpr Duration NoInstanceWait = 1h; ///< beyond every deadline that waits for an answer
constexpr std::string_view OtherTenant = "other";

bool wouldBeLate(const Ticket &ticket, Duration wait, Duration expected, Duration allowed, TimePoint now)
{
    const bool missed = now + wait + expected > ticket.deadline;
    return missed || (now - ticket.enqueuedAt) + wait > allowed;
}

Duration allowedWait(const RequestClass &it, double share)
{
    return std::chrono::duration_cast<Duration>(it.deadline * share);
}

} // namespace

std::string_view refusalName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Deadline:
        return "the deadline cannot be met";
    case RefusalReason::QueueFull:
        return "the queue of this class is full";
    case RefusalReason::TenantRate:
        return "the tenant's rate limit is reached";
    case RefusalReason::TenantConcurrency:
        return "the tenant has too many requests open";
    case RefusalReason::Brownout:
        return "this class is not served while load is high";
    case RefusalReason::NoInstance:
        return "no upstream instance can be used";
    }
    return "refused";
}

// ---------------------------------------------------------------------------------------------------------------------
// TenantTable
// ---------------------------------------------------------------------------------------------------------------------

TenantTable::TenantTable(std::size_t bound)
    : m_bound(bound)
    , m_names{std::string(OtherTenant)}
{
    m_indexes.emplace(OtherTenant, 0);
}

TenantIndex TenantTable::find(const std::string &name)
{
    const auto it = m_indexes.find(name);
    if (it != m_indexes.end()) {
        return it->second;
    }
    if (m_names.size() > m_bound) {
        return 0;
    }
    const auto index = static_cast<TenantIndex>(m_names.size());
    m_names.push_back(name);
    m_indexes.emplace(name, index);
    return index;
}

const std::string &TenantTable::name(TenantIndex index) const
{
    return m_names[index];
}

// ---------------------------------------------------------------------------------------------------------------------
// Arrival
// ---------------------------------------------------------------------------------------------------------------------

Admission::Admission(const RequestSettings &settings)
    : m_settings(settings)
    , m_byPriority(settings.classes.size())
    , m_classes(settings.classes.size())
{
    std::iota(m_byPriority.begin(), m_byPriority.end(), 0);
    std::stable_sort(m_byPriority.begin(), m_byPriority.end(), [this](std::size_t a, std::size_t b) {
        return m_settings.classes[a].priority > m_settings.classes[b].priority;
    });
}

Admission::Tenant &Admission::tenantAt(TenantIndex index)
{
    if (index >= m_tenants.size()) {
        m_tenants.resize(index + 1);
    }
    Tenant &it = m_tenants[index];
    if (it.tokens.empty()) {
        it.limit = m_settings.tenantMaxConcurrency; // falls with the first late answers
        it.tokensAt.resize(m_settings.classes.size());
        for (const RequestClass &requestClass : m_settings.classes) {
            it.tokens.push_back(requestClass.tenantBurst);
        }
    }
    return it;
}

bool Admission::takeRateToken(Tenant &tenant, std::size_t classIndex, TimePoint now) const
{
    const RequestClass &it = m_settings.classes[classIndex];
    if (it.tenantRate <= 0) {
        return true;
    }
    double &tokens = tenant.tokens[classIndex];
    const double elapsed = std::chrono::duration<double>(now - tenant.tokensAt[classIndex]).count();
    tenant.tokensAt[classIndex] = now;
    tokens = std::min(it.tenantBurst, tokens + elapsed * it.tenantRate);
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

Duration Admission::waitFor(std::size_t classIndex, std::size_t ahead, const Throughput &throughput) const
{
    if (throughput.capacity <= 0) {
        return NoInstanceWait;
    }
    const auto before = static_cast<double>(ahead) + 1 - throughput.freeSlots;
    if (before <= 0) {
        return {};
    }
    // Higher classes that have yet to arrive will overtake: only what they leave works off this queue.
    const double share = std::max(MinRemainingShare, 1 - loadAbove(m_settings.classes[classIndex].priority));
    const double turns = before / (std::max(1, throughput.capacity) * share);
    const auto forecast = std::chrono::duration_cast<Duration>(throughput.meanService * turns);
    const double rate = m_classes[classIndex].popRate;
    if (rate <= 0) {
        return forecast;
    }
    const auto measured = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(before / rate));
    return std::max(forecast, std::min(measured, NoInstanceWait));
}

double Admission::loadAbove(int priority) const
{
    double sum = 0;
    for (const std::size_t it : m_byPriority) {
        if (m_settings.classes[it].priority <= priority) {
            break;
        }
        sum += m_classes[it].load;
    }
    return sum;
}

std::size_t Admission::queuedAbove(int priority) const
{
    std::size_t n = 0;
    for (const std::size_t it : m_byPriority) {
        if (m_settings.classes[it].priority <= priority) {
            break;
        }
        n += m_classes[it].queued;
    }
    return n;
}

std::size_t Admission::activeTenants(const ClassState &state)
{
    return static_cast<std::size_t>(std::count_if(
        state.tenants.begin(), state.tenants.end(), [](const auto &it) { return !it.second.waiting.empty(); }));
}

std::optional<Refusal>
Admission::admit(const Ticket &ticket, Duration expected, const Throughput &throughput, TimePoint now)
{
    const RequestClass &requestClass = m_settings.classes[ticket.classIndex];
    ClassState &state = m_classes[ticket.classIndex];
    Tenant &tenant = tenantAt(ticket.tenant);
    ++state.arrivals;
    if (throughput.capacity <= 0) {
        return Refusal{RefusalReason::NoInstance, m_settings.ejectTime};
    }
    const auto last = m_byPriority.end() - m_brownedOut;
    if (std::find(last, m_byPriority.end(), ticket.classIndex) != m_byPriority.end()) {
        return Refusal{RefusalReason::Brownout, BrownoutRetryAfter};
    }
    if (tenant.open >= static_cast<int>(tenant.limit)) {
        return Refusal{RefusalReason::TenantConcurrency, std::max(MinRetryAfter, throughput.meanService * 2)};
    }
    const auto own = state.tenants.find(ticket.tenant);
    const std::size_t ownQueued = own == state.tenants.end() ? 0 : own->second.waiting.size();
    const std::size_t turns = (ownQueued + 1) * (activeTenants(state) + (ownQueued == 0 ? 1 : 0)) - 1;
    const std::size_t ahead = queuedAbove(requestClass.priority) + std::min(state.queued, turns);
    const Duration wait = waitFor(ticket.classIndex, ahead, throughput);
    if (wouldBeLate(ticket, wait, expected, allowedWait(requestClass, AdmitWaitShare), now)) {
        ++state.lateSheds;
        return Refusal{RefusalReason::Deadline, std::max(MinRetryAfter, wait)};
    }
    if (!takeRateToken(tenant, ticket.classIndex, now)) {
        const auto refill
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / requestClass.tenantRate));
        return Refusal{RefusalReason::TenantRate, refill};
    }
    ++tenant.open;
    state.work += expected;
    return std::nullopt;
}

// ---------------------------------------------------------------------------------------------------------------------
// Queue
// ---------------------------------------------------------------------------------------------------------------------

Admission::TenantQueue *Admission::longestQueue(ClassState &state, TenantIndex &tenant)
{
    TenantQueue *longest = nullptr;
    for (auto &[index, queue] : state.tenants) {
        if (longest == nullptr || queue.waiting.size() > longest->waiting.size()) {
            longest = &queue;
            tenant = index;
        }
    }
    return longest;
}

std::optional<Shed> Admission::push(const Ticket &ticket, const Throughput &throughput)
{
    ClassState &state = m_classes[ticket.classIndex];
    TenantQueue &queue = state.tenants[ticket.tenant];
    if (queue.waiting.empty()) {
        queue.virtualTime = std::max(queue.virtualTime, state.virtualNow); // idling earns no credit
    }
    queue.waiting.emplace(std::pair(ticket.deadline, ticket.id), ticket);
    ++state.queued;
    ++m_queued;
    if (state.queued <= static_cast<std::size_t>(m_settings.classes[ticket.classIndex].queueLimit)) {
        return std::nullopt;
    }
    TenantIndex tenant = 0;
    TenantQueue *longest = longestQueue(state, tenant);
    const auto last = std::prev(longest->waiting.end());
    const Shed shed{last->second.id, {RefusalReason::QueueFull, waitFor(ticket.classIndex, state.queued, throughput)}};
    longest->waiting.erase(last);
    --state.queued;
    --m_queued;
    return shed;
}

std::optional<Ticket> Admission::pop(TimePoint now)
{
    for (const std::size_t classIndex : m_byPriority) {
        ClassState &state = m_classes[classIndex];
        if (state.queued == 0) {
            continue;
        }
        TenantQueue *next = nullptr;
        for (auto &[tenant, queue] : state.tenants) {
            if (!queue.waiting.empty() && (next == nullptr || queue.virtualTime < next->virtualTime)) {
                next = &queue;
            }
        }
        const Ticket ticket = next->waiting.begin()->second;
        next->waiting.erase(next->waiting.begin());
        state.virtualNow = next->virtualTime;
        next->virtualTime += 1;
        --state.queued;
        --m_queued;
        ++state.pops;
        noteWait(state, now - ticket.enqueuedAt, m_settings.classes[classIndex].deadline);
        return ticket;
    }
    return std::nullopt;
}

bool Admission::remove(RequestId id, std::size_t classIndex, TenantIndex tenant, TimePoint deadline)
{
    ClassState &state = m_classes[classIndex];
    const auto queue = state.tenants.find(tenant);
    if (queue == state.tenants.end() || queue->second.waiting.erase({deadline, id}) == 0) {
        return false;
    }
    --state.queued;
    --m_queued;
    return true;
}

void Admission::shedLate(std::span<const Duration> expected,
                         const Throughput &throughput,
                         TimePoint now,
                         std::vector<Shed> &shed)
{
    std::size_t ahead = 0;
    for (const std::size_t classIndex : m_byPriority) {
        shedClass(classIndex, ahead, expected[classIndex], throughput, now, shed);
        ahead += m_classes[classIndex].queued;
    }
}

void Admission::shedClass(std::size_t classIndex,
                          std::size_t ahead,
                          Duration expected,
                          const Throughput &throughput,
                          TimePoint now,
                          std::vector<Shed> &shed)
{
    ClassState &state = m_classes[classIndex];
    const std::size_t active = activeTenants(state);
    const Duration allowed = allowedWait(m_settings.classes[classIndex], ShedWaitShare);
    for (auto &[tenant, queue] : state.tenants) {
        std::size_t kept = 0;
        for (auto it = queue.waiting.begin(); it != queue.waiting.end();) {
            const std::size_t before = ahead + std::min(state.queued - 1, kept * active);
            const Duration wait = waitFor(classIndex, before, throughput);
            if (!wouldBeLate(it->second, wait, expected, allowed, now)) {
                ++kept;
                ++it;
                continue;
            }
            shed.push_back({it->second.id, {RefusalReason::Deadline, std::max(MinRetryAfter, wait)}});
            it = queue.waiting.erase(it);
            --state.queued;
            --m_queued;
            ++state.lateSheds;
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Learning
// ---------------------------------------------------------------------------------------------------------------------

void Admission::noteWait(ClassState &state, Duration wait, Duration deadline) const
{
    const double share = static_cast<double>(wait.count()) / static_cast<double>(deadline.count());
    state.waitShare += WaitWeight * (share - state.waitShare);
}

void Admission::onDone(std::size_t classIndex, TenantIndex index, Duration total, bool good, TimePoint now)
{
    Tenant &tenant = tenantAt(index);
    --tenant.open;
    const auto late = std::chrono::duration_cast<Duration>(m_settings.classes[classIndex].deadline * LateShare);
    if (good && total <= late) {
        const bool used = tenant.open + 1 >= static_cast<int>(tenant.limit / 2); // an unused limit proves nothing
        tenant.limit += used ? 1 / tenant.limit : 0;
        tenant.limit = std::min<double>(tenant.limit, m_settings.tenantMaxConcurrency);
    } else if (tenant.shrunkAt + ShrinkInterval <= now) {
        tenant.limit = std::max<double>(m_settings.tenantMinConcurrency, tenant.limit * ShrinkFactor);
        tenant.shrunkAt = now;
    }
}

bool Admission::isPressed() const
{
    const std::size_t served = m_byPriority.size() - static_cast<std::size_t>(m_brownedOut);
    for (std::size_t i = 0; i + 1 < served || i == 0; ++i) { // the last class served may suffer: it is next to go
        const ClassState &it = m_classes[m_byPriority[i]];
        if (it.waitShare > PressedWaitShare || it.lateSheds > it.arrivals * PressedShedShare) {
            return true;
        }
    }
    return false;
}

void Admission::measure(ClassState &state, Duration interval, int capacity) const
{
    const double offered = static_cast<double>(state.work.count()) / static_cast<double>(interval.count());
    state.load += LoadWeight * (offered / std::max(1, capacity) - state.load);
    state.work = {};
    const bool hasBacklog = state.queued > 0;
    if (state.hadBacklog && hasBacklog) {
        const double rate = std::max(MinPopRate, state.pops / std::chrono::duration<double>(interval).count());
        state.popRate = state.popRate <= 0 ? rate : state.popRate + LoadWeight * (rate - state.popRate);
    } else {
        state.popRate = 0;
    }
    state.hadBacklog = hasBacklog;
    state.pops = 0;
}

void Admission::tick(const Throughput &throughput, TimePoint now)
{
    const Duration interval = now - m_tickedAt;
    if (interval < m_settings.pressureInterval) {
        return;
    }
    m_tickedAt = now;
    const bool pressed = isPressed();
    if (pressed) {
        m_calmIntervals = 0;
        m_brownedOut = std::min(m_brownedOut + 1, static_cast<int>(m_byPriority.size()) - 1);
    } else if (m_brownedOut > 0 && ++m_calmIntervals >= CalmIntervals) {
        m_calmIntervals = 0;
        --m_brownedOut;
    }
    for (ClassState &it : m_classes) {
        measure(it, interval, throughput.capacity);
        it.lateSheds = 0;
        it.arrivals = 0;
        it.waitShare *= it.queued == 0 ? 0.5 : 1;
        std::erase_if(it.tenants, [&it](const auto &entry) {
            return entry.second.waiting.empty() && entry.second.virtualTime <= it.virtualNow;
        });
    }
}

std::size_t Admission::queued() const
{
    return m_queued;
}

int Admission::brownedOutClasses() const
{
    return m_brownedOut;
}

double Admission::tenantLimit(TenantIndex tenant) const
{
    return tenant < m_tenants.size() ? m_tenants[tenant].limit : 0;
}

} // namespace QuetzalRock
