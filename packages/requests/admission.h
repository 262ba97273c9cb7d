/**
 * Which requests may wait, and who is next. Decisions only: no I/O, no thread, time comes in as an argument.
 *
 * Index of this file
 *   Ticket, Refusal, Throughput   what goes in and comes out
 *   TenantTable                   tenants by number, bounded
 *   Admission                     admit, push, pop, shed
 *
 * Order: classes by priority; within a class tenants by the work they have been given (start-time fair queueing); within
 * a tenant the earliest deadline first. A request whose deadline cannot be met is refused when that becomes known, at
 * arrival if possible, and never at its deadline.
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

using RequestId = std::uint64_t; ///< never used twice by a process
using TenantIndex = std::uint32_t;

struct Ticket
{
    RequestId id = 0;
    std::size_t classIndex = 0; ///< in RequestSettings::classes
    TenantIndex tenant = 0;
    TimePoint deadline;
    TimePoint enqueuedAt;
};

enum class RefusalReason : std::uint8_t {
    Deadline = 0, ///< would not be answered in time
    QueueFull,
    TenantRate,
    TenantConcurrency,
    Brownout,
    NoInstance,
};

std::string_view refusalName(RefusalReason reason);

struct Refusal
{
    RefusalReason reason = RefusalReason::Deadline;
    Duration retryAfter{};
};

struct Shed
{
    RequestId id = 0;
    Refusal refusal;
};

/** What the instances can do now. */
struct Throughput
{
    int capacity = 0;       ///< slots
    int freeSlots = 0;      ///< of them, not in use
    Duration meanService{}; ///< of a request in a slot, over all classes
};

/** Numbers for names; those beyond the bound share index 0, "other". */
class TenantTable
{
public:
    explicit TenantTable(std::size_t bound);

    TenantIndex find(const std::string &name);
    const std::string &name(TenantIndex index) const;

private:
    std::size_t m_bound;
    std::vector<std::string> m_names;
    std::unordered_map<std::string, TenantIndex> m_indexes;
};

class Admission
{
public:
    explicit Admission(const RequestSettings &settings);

    /** Judges a request on arrival and counts it against its tenant where it is let in. @p expected: its upstream time. */
    std::optional<Refusal> admit(const Ticket &ticket, Duration expected, const Throughput &throughput, TimePoint now);

    /** Queues an admitted request. The one returned had to make room for it (it may be the same one). */
    std::optional<Shed> push(const Ticket &ticket, const Throughput &throughput);

    std::optional<Ticket> pop(TimePoint now);

    /** Takes out every request that waits in vain. @p expected: upstream time of each class, by index. */
    void
    shedLate(std::span<const Duration> expected, const Throughput &throughput, TimePoint now, std::vector<Shed> &shed);

    bool remove(RequestId id, std::size_t classIndex, TenantIndex tenant, TimePoint deadline); ///< from the queue

    /** An admitted request is over. @p total: from arrival to answer; @p good: answered in time. */
    void onDone(std::size_t classIndex, TenantIndex tenant, Duration total, bool good, TimePoint now);

    /** Measures load and moves brown-out; call at least each RequestSettings::pressureInterval. */
    void tick(const Throughput &throughput, TimePoint now);

    std::size_t queued() const;
    int brownedOutClasses() const;
    double tenantLimit(TenantIndex tenant) const;

private:
    struct TenantQueue
    {
        std::map<std::pair<TimePoint, RequestId>, Ticket> waiting; ///< earliest deadline first
        double virtualTime = 0;                                    ///< work given so far; the lowest goes next
    };
    struct ClassState
    {
        std::map<TenantIndex, TenantQueue> tenants; ///< those with waiting requests, and for a while after
        std::size_t queued = 0;
        double virtualNow = 0;
        double waitShare = 0;    ///< moving average of queue wait over deadline
        double load = 0;         ///< share of all slots that what is let in needs, moving average
        double popRate = 0;      ///< requests/s that left the queue while others waited, moving average; 0: not known
        int pops = 0;            ///< in this interval
        bool hadBacklog = false; ///< at the beginning of this interval
        Duration work{};         ///< upstream time of what was let in, in this interval
        int lateSheds = 0;       ///< refusals for the deadline in this interval
        int arrivals = 0;        ///< in this interval
    };
    struct Tenant
    {
        int open = 0;     ///< admitted and not yet done
        double limit = 0; ///< adaptive bound of open
        TimePoint shrunkAt;
        std::vector<double> tokens; ///< of the rate limit, by class
        std::vector<TimePoint> tokensAt;
    };

    Tenant &tenantAt(TenantIndex index);
    bool takeRateToken(Tenant &tenant, std::size_t classIndex, TimePoint now) const;
    Duration waitFor(std::size_t classIndex, std::size_t ahead, const Throughput &throughput) const;
    std::size_t queuedAbove(int priority) const;
    double loadAbove(int priority) const;
    void measure(ClassState &state, Duration interval, int capacity) const;
    static std::size_t activeTenants(const ClassState &state);
    static TenantQueue *longestQueue(ClassState &state, TenantIndex &tenant);
    void shedClass(std::size_t classIndex,
                   std::size_t ahead,
                   Duration expected,
                   const Throughput &throughput,
                   TimePoint now,
                   std::vector<Shed> &shed);
    void noteWait(ClassState &state, Duration wait, Duration deadline) const;
    bool isPressed() const;

    const RequestSettings &m_settings;
    std::vector<std::size_t> m_byPriority; ///< class indexes, highest priority first
    std::vector<ClassState> m_classes;     ///< by class index
    std::vector<Tenant> m_tenants;         ///< by tenant index
    std::size_t m_queued = 0;
    int m_brownedOut = 0; ///< so many classes from the end of m_byPriority are refused
    int m_calmIntervals = 0;
    TimePoint m_tickedAt;
};

} // namespace QuetzalRock
