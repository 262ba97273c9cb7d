#include <requests/admission.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr double MaxAdmitWaitRatio = 0.4;      ///< of the deadline: limit of the estimated wait on arrival
constexpr double MaxQueuedWaitRatio = 0.5;     ///< the same in the queue; higher, as estimates vary
constexpr double LoadSampleWeight = 0.3;       ///< weight of the newest interval in the moving average
constexpr double MinDequeueRate = 0.1;         ///< requests/s; keeps the wait of a starved class finite
constexpr double MinRemainingSlotShare = 0.02; ///< lower bound of the slots assumed to be left by higher classes
constexpr double WaitSampleWeight = 0.05;      ///< weight of the newest queue wait in the moving average
constexpr double OverloadWaitRatio = 0.35;     ///< overload: the average wait is a larger share of the deadline
constexpr double OverloadRefusalRatio = 0.05;  ///< overload: a larger share of arrivals is refused or shed as late
constexpr int RecoveryIntervals = 10;          ///< without overload, before one class is served again
constexpr double LimitDecreaseFactor = 0.9;
constexpr Duration MinDecreaseInterval = 100ms; ///< between two decreases of a tenant's limit
constexpr double LateAnswerRatio = 0.6;         ///< an answer after this share of the deadline counts as late
constexpr Duration MinRetryAfter = 50ms;
constexpr Duration BrownoutRetryAfter = 2s;
constexpr Duration NoInstanceWait = 1h; ///< longer than any deadline
constexpr std::string_view OtherTenant = "other";

bool wouldBeLate(const RequestInfo &request, Duration wait, Duration expected, Duration allowed, TimePoint now)
{
    const bool missesDeadline = now + wait + expected > request.deadline;
    return missesDeadline || (now - request.enqueuedAt) + wait > allowed;
}

Duration allowedWait(const RequestClass &it, double share)
{
    return std::chrono::duration_cast<Duration>(it.deadline * share);
}

} // namespace

std::string_view refusalMessage(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Deadline:
        return "the deadline cannot be met";
    case RefusalReason::QueueFull:
        return "the queue of this request class is full";
    case RefusalReason::TenantRate:
        return "the tenant's rate limit is reached";
    case RefusalReason::TenantConcurrency:
        return "the tenant has too many open requests";
    case RefusalReason::Brownout:
        return "this request class is not served while load is high";
    case RefusalReason::NoInstance:
        return "no upstream instance is available";
    }
    return "refused";
}

// ---------------------------------------------------------------------------------------------------------------------
// TenantTable
// ---------------------------------------------------------------------------------------------------------------------

TenantTable::TenantTable(std::size_t maxNames)
    : m_maxNames(maxNames)
    , m_names{std::string(OtherTenant)}
{
    m_indexes.emplace(OtherTenant, 0);
}

TenantIndex TenantTable::findOrAdd(const std::string &name)
{
    const auto it = m_indexes.find(name);
    if (it != m_indexes.end()) {
        return it->second;
    }
    if (m_names.size() > m_maxNames) {
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
// Admission on arrival
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
        it.limit = m_settings.tenantMaxConcurrency; // decreases with the first late answers
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

Duration
Admission::estimateWait(std::size_t classIndex, std::size_t ahead, const UpstreamCapacity &upstreamCapacity) const
{
    if (upstreamCapacity.slots <= 0) {
        return NoInstanceWait;
    }
    const auto before = static_cast<double>(ahead) + 1 - upstreamCapacity.freeSlots;
    if (before <= 0) {
        return {};
    }
    // Future arrivals of higher classes will be served first, so only the slots that they leave serve this queue.
    const double share
        = std::max(MinRemainingSlotShare, 1 - loadAbovePriority(m_settings.classes[classIndex].priority));
    const double turns = before / (std::max(1, upstreamCapacity.slots) * share);
    const auto forecast = std::chrono::duration_cast<Duration>(upstreamCapacity.meanServiceTime * turns);
    const double rate = m_classes[classIndex].dequeueRate;
    if (rate <= 0) {
        return forecast;
    }
    const auto measured = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(before / rate));
    return std::max(forecast, std::min(measured, NoInstanceWait));
}

double Admission::loadAbovePriority(int priority) const
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

std::size_t Admission::queuedAbovePriority(int priority) const
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
Admission::admit(const RequestInfo &request, Duration expected, const UpstreamCapacity &upstreamCapacity, TimePoint now)
{
    const RequestClass &requestClass = m_settings.classes[request.classIndex];
    ClassState &state = m_classes[request.classIndex];
    Tenant &tenant = tenantAt(request.tenant);
    ++state.arrivals;
    if (upstreamCapacity.slots <= 0) {
        return Refusal{RefusalReason::NoInstance, m_settings.ejectTime};
    }
    const auto firstBrownedOut = m_byPriority.end() - m_brownedOutClasses;
    if (std::find(firstBrownedOut, m_byPriority.end(), request.classIndex) != m_byPriority.end()) {
        return Refusal{RefusalReason::Brownout, BrownoutRetryAfter};
    }
    if (tenant.open >= static_cast<int>(tenant.limit)) {
        return Refusal{RefusalReason::TenantConcurrency, std::max(MinRetryAfter, upstreamCapacity.meanServiceTime * 2)};
    }
    const auto own = state.tenants.find(request.tenant);
    const std::size_t ownQueued = own == state.tenants.end() ? 0 : own->second.waiting.size();
    const std::size_t turns = (ownQueued + 1) * (activeTenants(state) + (ownQueued == 0 ? 1 : 0)) - 1;
    const std::size_t ahead = queuedAbovePriority(requestClass.priority) + std::min(state.queued, turns);
    const Duration wait = estimateWait(request.classIndex, ahead, upstreamCapacity);
    if (wouldBeLate(request, wait, expected, allowedWait(requestClass, MaxAdmitWaitRatio), now)) {
        ++state.deadlineRefusals;
        return Refusal{RefusalReason::Deadline, std::max(MinRetryAfter, wait)};
    }
    if (!takeRateToken(tenant, request.classIndex, now)) {
        const auto refill
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / requestClass.tenantRate));
        return Refusal{RefusalReason::TenantRate, refill};
    }
    ++tenant.open;
    state.admittedWork += expected;
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

std::optional<ShedRequest> Admission::push(const RequestInfo &request, const UpstreamCapacity &upstreamCapacity)
{
    ClassState &state = m_classes[request.classIndex];
    TenantQueue &queue = state.tenants[request.tenant];
    if (queue.waiting.empty()) {
        queue.virtualTime = std::max(queue.virtualTime, state.virtualNow); // an idle tenant gains no priority
    }
    queue.waiting.emplace(std::pair(request.deadline, request.id), request);
    ++state.queued;
    ++m_queued;
    if (state.queued <= static_cast<std::size_t>(m_settings.classes[request.classIndex].queueLimit)) {
        return std::nullopt;
    }
    TenantIndex tenant = 0;
    TenantQueue *longest = longestQueue(state, tenant);
    const auto last = std::prev(longest->waiting.end());
    const ShedRequest shed{
        last->second.id, {RefusalReason::QueueFull, estimateWait(request.classIndex, state.queued, upstreamCapacity)}};
    longest->waiting.erase(last);
    --state.queued;
    --m_queued;
    return shed;
}

std::optional<RequestInfo> Admission::pop(TimePoint now)
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
        const RequestInfo request = next->waiting.begin()->second;
        next->waiting.erase(next->waiting.begin());
        state.virtualNow = next->virtualTime;
        next->virtualTime += 1;
        --state.queued;
        --m_queued;
        ++state.dequeued;
        recordWait(state, now - request.enqueuedAt, m_settings.classes[classIndex].deadline);
        return request;
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

void Admission::shedLateRequests(std::span<const Duration> expected,
                                 const UpstreamCapacity &upstreamCapacity,
                                 TimePoint now,
                                 std::vector<ShedRequest> &shed)
{
    std::size_t ahead = 0;
    for (const std::size_t classIndex : m_byPriority) {
        shedClass(classIndex, ahead, expected[classIndex], upstreamCapacity, now, shed);
        ahead += m_classes[classIndex].queued;
    }
}

void Admission::shedClass(std::size_t classIndex,
                          std::size_t ahead,
                          Duration expected,
                          const UpstreamCapacity &upstreamCapacity,
                          TimePoint now,
                          std::vector<ShedRequest> &shed)
{
    ClassState &state = m_classes[classIndex];
    const std::size_t active = activeTenants(state);
    const Duration allowed = allowedWait(m_settings.classes[classIndex], MaxQueuedWaitRatio);
    for (auto &[tenant, queue] : state.tenants) {
        std::size_t kept = 0;
        for (auto it = queue.waiting.begin(); it != queue.waiting.end();) {
            const std::size_t before = ahead + std::min(state.queued - 1, kept * active);
            const Duration wait = estimateWait(classIndex, before, upstreamCapacity);
            if (!wouldBeLate(it->second, wait, expected, allowed, now)) {
                ++kept;
                ++it;
                continue;
            }
            shed.push_back({it->second.id, {RefusalReason::Deadline, std::max(MinRetryAfter, wait)}});
            it = queue.waiting.erase(it);
            --state.queued;
            --m_queued;
            ++state.deadlineRefusals;
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Load and limits
// ---------------------------------------------------------------------------------------------------------------------

void Admission::recordWait(ClassState &state, Duration wait, Duration deadline) const
{
    const double share = static_cast<double>(wait.count()) / static_cast<double>(deadline.count());
    state.waitRatio += WaitSampleWeight * (share - state.waitRatio);
}

void Admission::onDone(std::size_t classIndex, TenantIndex index, Duration total, bool isSuccess, TimePoint now)
{
    Tenant &tenant = tenantAt(index);
    --tenant.open;
    const auto lateAfter
        = std::chrono::duration_cast<Duration>(m_settings.classes[classIndex].deadline * LateAnswerRatio);
    if (isSuccess && total <= lateAfter) {
        const bool isLimitUsed = tenant.open + 1 >= static_cast<int>(tenant.limit / 2); // otherwise untested
        tenant.limit += isLimitUsed ? 1 / tenant.limit : 0;
        tenant.limit = std::min<double>(tenant.limit, m_settings.tenantMaxConcurrency);
    } else if (tenant.decreasedAt + MinDecreaseInterval <= now) {
        tenant.limit = std::max<double>(m_settings.tenantMinConcurrency, tenant.limit * LimitDecreaseFactor);
        tenant.decreasedAt = now;
    }
}

bool Admission::isOverloaded() const
{
    const std::size_t served = m_byPriority.size() - static_cast<std::size_t>(m_brownedOutClasses);
    for (std::size_t i = 0; i + 1 < served || i == 0; ++i) { // the lowest class served does not count
        const ClassState &it = m_classes[m_byPriority[i]];
        if (it.waitRatio > OverloadWaitRatio || it.deadlineRefusals > it.arrivals * OverloadRefusalRatio) {
            return true;
        }
    }
    return false;
}

void Admission::updateLoad(ClassState &state, Duration interval, int slots) const
{
    const double offeredLoad = static_cast<double>(state.admittedWork.count()) / static_cast<double>(interval.count());
    state.load += LoadSampleWeight * (offeredLoad / std::max(1, slots) - state.load);
    state.admittedWork = {};
    const bool hasBacklog = state.queued > 0;
    if (state.hadBacklog && hasBacklog) {
        const double rate = std::max(MinDequeueRate, state.dequeued / std::chrono::duration<double>(interval).count());
        state.dequeueRate
            = state.dequeueRate <= 0 ? rate : state.dequeueRate + LoadSampleWeight * (rate - state.dequeueRate);
    } else {
        state.dequeueRate = 0;
    }
    state.hadBacklog = hasBacklog;
    state.dequeued = 0;
}

void Admission::tick(const UpstreamCapacity &upstreamCapacity, TimePoint now)
{
    const Duration interval = now - m_tickedAt;
    if (interval < m_settings.brownoutInterval) {
        return;
    }
    m_tickedAt = now;
    const bool overloaded = isOverloaded();
    if (overloaded) {
        m_intervalsSinceOverload = 0;
        m_brownedOutClasses = std::min(m_brownedOutClasses + 1, static_cast<int>(m_byPriority.size()) - 1);
    } else if (m_brownedOutClasses > 0 && ++m_intervalsSinceOverload >= RecoveryIntervals) {
        m_intervalsSinceOverload = 0;
        --m_brownedOutClasses;
    }
    for (ClassState &it : m_classes) {
        updateLoad(it, interval, upstreamCapacity.slots);
        it.deadlineRefusals = 0;
        it.arrivals = 0;
        it.waitRatio *= it.queued == 0 ? 0.5 : 1;
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
    return m_brownedOutClasses;
}

double Admission::tenantLimit(TenantIndex tenant) const
{
    return tenant < m_tenants.size() ? m_tenants[tenant].limit : 0;
}

} // namespace QuetzalRock
