/**
 * Admission control and the queue of admitted requests. Makes decisions only: no I/O and no threads; the time is passed
 * in as an argument.
 *
 * Index of this file
 *   RequestInfo, Refusal, ShedRequest, UpstreamCapacity   input and output
 *   TenantTable                                           tenant names and their indexes, bounded
 *   Admission                                             admits, queues, dequeues and sheds requests
 *
 * Order of the queue: by priority of the class; within a class by start-time fair queueing over the tenants; within a
 * tenant by earliest deadline. A request whose deadline cannot be met is refused as soon as that is known, on
 * arrival if possible, instead of when the deadline has passed.
 */
#pragma once

#include <requests/settings.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace QuetzalRock {

using RequestId = std::uint64_t; ///< never reused within a process
using TenantIndex = std::uint32_t;

struct RequestInfo
{
    RequestId id = 0;
    std::size_t classIndex = 0; ///< in RequestSettings::classes
    TenantIndex tenant = 0;
    TimePoint deadline;
    TimePoint enqueuedAt;
};

enum class RefusalReason : std::uint8_t {
    Deadline = 0, ///< the request would not be answered in time
    QueueFull,
    TenantRate,
    TenantConcurrency,
    Brownout,
    NoInstance,
};

std::string_view refusalMessage(RefusalReason reason);

struct Refusal
{
    RefusalReason reason = RefusalReason::Deadline;
    Duration retryAfter{};
};

struct ShedRequest
{
    RequestId id = 0;
    Refusal refusal;
};

/** Current capacity of the upstream instances. */
struct UpstreamCapacity
{
    int slots = 0;              ///< usable slots of all instances
    int freeSlots = 0;          ///< slots not in use
    Duration meanServiceTime{}; ///< time that a request occupies a slot, mean over all classes
};

/** Maps tenant names to indexes. Names beyond the maximum share index 0, "other". */
class TenantTable
{
public:
    explicit TenantTable(std::size_t maxNames);

    TenantIndex findOrAdd(const std::string &name);
    const std::string &name(TenantIndex index) const;

private:
    std::size_t m_maxNames;
    std::vector<std::string> m_names;
    std::unordered_map<std::string, TenantIndex> m_indexes;
};

class Admission
{
public:
    explicit Admission(const RequestSettings &settings);

    /** Admits or refuses an arriving request. It counts as open until onDone(). @p expected: service time. */
    std::optional<Refusal>
    admit(const RequestInfo &request, Duration expected, const UpstreamCapacity &upstreamCapacity, TimePoint now);

    /** Queues an admitted request. If the class's queue is full, returns the request shed from it, perhaps this one. */
    std::optional<ShedRequest> push(const RequestInfo &request, const UpstreamCapacity &upstreamCapacity);

    std::optional<RequestInfo> pop(TimePoint now);

    /** Removes queued requests that will miss their deadlines. @p expected: service time of each class, by index. */
    void shedLateRequests(std::span<const Duration> expected,
                          const UpstreamCapacity &upstreamCapacity,
                          TimePoint now,
                          std::vector<ShedRequest> &shed);

    bool remove(RequestId id, std::size_t classIndex, TenantIndex tenant, TimePoint deadline); ///< false: not queued

    /** An admitted request has ended. @p total: from arrival to answer; @p isSuccess: no 5xx status. */
    void onDone(std::size_t classIndex, TenantIndex tenant, Duration total, bool isSuccess, TimePoint now);

    /** Measures load and adapts brown-out; call it at least every RequestSettings::brownoutInterval. */
    void tick(const UpstreamCapacity &upstreamCapacity, TimePoint now);

    std::size_t queued() const;
    int brownedOutClasses() const;
    double tenantLimit(TenantIndex tenant) const;

private:
    struct TenantQueue
    {
        std::map<std::pair<TimePoint, RequestId>, RequestInfo> waiting; ///< earliest deadline first
        double virtualTime = 0; ///< requests dequeued so far; the lowest is next
    };
    struct ClassState
    {
        std::map<TenantIndex, TenantQueue> tenants; ///< erased after their queue has emptied
        std::size_t queued = 0;
        double virtualNow = 0;    ///< virtual time of the tenant dequeued last
        double waitRatio = 0;     ///< queue wait / deadline, moving average
        double load = 0;          ///< slots needed by admitted requests / all slots, moving average
        double dequeueRate = 0;   ///< requests/s dequeued while others waited, moving average; 0: unknown
        int dequeued = 0;         ///< requests, in this interval
        bool hadBacklog = false;  ///< at the start of this interval
        Duration admittedWork{};  ///< service time of requests admitted in this interval
        int deadlineRefusals = 0; ///< RefusalReason::Deadline, in this interval
        int arrivals = 0;         ///< in this interval
    };
    struct Tenant
    {
        int open = 0;     ///< admitted requests that have not ended
        double limit = 0; ///< adaptive upper bound of open
        TimePoint decreasedAt;
        std::vector<double> tokens;      ///< of the rate limit, by class index
        std::vector<TimePoint> tokensAt; ///< when tokens was last refilled
    };

    Tenant &tenantAt(TenantIndex index);
    bool takeRateToken(Tenant &tenant, std::size_t classIndex, TimePoint now) const;
    Duration estimateWait(std::size_t classIndex, std::size_t ahead, const UpstreamCapacity &upstreamCapacity) const;
    std::size_t queuedAbovePriority(int priority) const;
    double loadAbovePriority(int priority) const;
    void updateLoad(ClassState &state, Duration interval, int slots) const;
    static std::size_t activeTenants(const ClassState &state);
    static TenantQueue *longestQueue(ClassState &state, TenantIndex &tenant);
    void shedClass(std::size_t classIndex,
                   std::size_t ahead,
                   Duration expected,
                   const UpstreamCapacity &upstreamCapacity,
                   TimePoint now,
                   std::vector<ShedRequest> &shed);
    void recordWait(ClassState &state, Duration wait, Duration deadline) const;
    bool isOverloaded() const;

    const RequestSettings &m_settings;
    std::vector<std::size_t> m_byPriority; ///< class indexes, highest priority first
    std::vector<ClassState> m_classes;     ///< by class index
    std::vector<Tenant> m_tenants;         ///< by tenant index
    std::size_t m_queued = 0;
    int m_brownedOutClasses = 0; ///< number of classes at the end of m_byPriority that are refused
    int m_intervalsSinceOverload = 0;
    TimePoint m_tickedAt;
};

} // namespace QuetzalRock
