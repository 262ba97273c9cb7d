/**
 * Settings of the request path. The daemon's parse functions fill them in; check() reports the errors in them.
 *
 * Index of this file
 *   RequestClass      a class of requests: which requests belong to it, their deadline, priority and limits
 *   InstancePolicy    how an upstream instance is chosen
 *   RequestSettings   all settings: classes, instances, retries, admission, claims, HTTP front, metrics
 *   check()           the errors in the settings
 *   findClass()       the class of a request
 */
#pragma once

#include <base/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace QuetzalRock {

struct RequestClass
{
    std::string name;                 ///< metrics label; unique
    std::string tenant;               ///< tenant of every request; empty: taken from the Quetzalrock-Tenant header
    std::string pathPrefix = "/";     ///< of the target; the class with the longest matching prefix is used
    std::vector<std::string> methods; ///< such as "GET"; empty: all methods
    bool idempotent = false; ///< may run twice, so it is retried and hedged. Pitfall: never set it for bookings
    bool requireKey = false; ///< reject requests without Idempotency-Key (400); non-idempotent classes only
    Duration deadline = std::chrono::milliseconds(300); ///< from arrival to answer
    int priority = 100;                                 ///< higher is served first; the highest is never browned out
    int queueLimit = 512;                               ///< queued requests of all tenants together
    double tenantRate = 0;    ///< requests/s that one tenant may send through this VM; 0: no limit
    double tenantBurst = 100; ///< token bucket size of tenantRate: requests that one tenant may send at once
    Duration expectedTime = std::chrono::milliseconds(5); ///< service time assumed until one has been measured
};

enum class InstancePolicy : std::uint8_t {
    Random = 0,             ///< one random instance; the baseline in benchmarks
    TwoChoicesInFlight = 1, ///< of two random instances, the one with fewer requests in flight from this VM
    TwoChoicesLatency = 2,  ///< of two random instances, the one with the lower (in flight + 1) x slowness
    SlotShares = 3,         ///< as TwoChoicesLatency; each VM uses its share of the slots, more while latency is low
};

struct RequestSettings
{
    std::vector<RequestClass> classes;

    // ---- This process
    std::string failureDomain;   ///< of this VM; its instances are preferred
    int ringCapacity = 8192;     ///< submitted requests that the dispatcher has not yet taken; beyond: not_run
    int maxOpenRequests = 20000; ///< waiting for claims, queued and in flight together; beyond: not_run

    // ---- Upstream instances
    InstancePolicy policy = InstancePolicy::SlotShares;
    int slotsPerInstance = 8;           ///< requests that an instance processes concurrently
    int connectionsPerInstance = 64;    ///< connection limit of an instance, over all entry VMs
    int entryMembers = 1;               ///< entry VMs that share the instances; this VM's share is 1/entryMembers
    double crossDomainCostFactor = 1.5; ///< multiplies the cost of instances in other failure domains
    Duration slowStart = std::chrono::seconds(10); ///< until a new or returning instance has full weight
    int ejectAfterFailures = 5;                    ///< consecutive failures that eject an instance
    double ejectSlowness = 8;                      ///< eject an instance whose slowness exceeds this x the median
    Duration ejectTime = std::chrono::seconds(5);  ///< doubles with each consecutive ejection, up to 16-fold
    double maxEjectedShare = 0.3;                  ///< of all instances; ejecting more would overload the rest
    Duration connectTimeout = std::chrono::milliseconds(500);
    /** Non-idempotent requests reuse a connection only if it delivered a whole answer this recently. */
    Duration verifiedConnectionWindow = std::chrono::milliseconds(500);
    std::size_t maxAnswerBytes = 4 << 20; ///< body of an upstream's answer; beyond: failed

    // ---- Retries and hedging
    int maxAttempts = 3;                ///< of one request, including hedges
    double retryTokensPerSuccess = 0.1; ///< added to the retry budget; a retry or hedge costs 1 token
    double maxRetryTokens = 50;         ///< size of the retry budget; it starts full
    double hedgeDeviations = 3;         ///< hedge after the class's mean service time + this many mean deviations
    Duration minHedgeDelay = std::chrono::milliseconds(2);

    // ---- Admission
    int tenantMinConcurrency = 8;    ///< lower bound of a tenant's adaptive limit on open requests
    int tenantMaxConcurrency = 1024; ///< upper bound of that limit, and its initial value
    Duration brownoutInterval = std::chrono::milliseconds(100); ///< between changes of brown-out by one class

    // ---- Claims of idempotency keys
    Duration claimRetention = std::chrono::minutes(10); ///< how long ended claims are kept for repeats
    std::size_t maxStoredAnswerBytes = 4096;            ///< a longer answer is not stored; a repeat gets 409
    std::size_t maxClaims = 20000; ///< of one shard; beyond: not_run. A claim takes up to 40 bytes of the snapshot
    std::size_t maxClaimSnapshotBytes = 900'000;     ///< fits a stored value; the oldest answers are left out
    Duration maxClaimWait = std::chrono::seconds(1); ///< to become durable; beyond: not_run, before the deadline
    Duration claimRetryDelay = std::chrono::milliseconds(200); ///< between attempts to reach the log
    Duration minClaimAppendInterval{}; ///< between two writes of one shard's claims; an idle shard writes at once

    // ---- HTTP front
    std::string listenAddress = "127.0.0.1"; ///< an IP address
    std::uint16_t listenPort = 0;            ///< 0: any free port, see HttpFront::port()
    int frontThreads = 2;
    std::size_t maxHeaderBytes = 16 << 10; ///< beyond: 431
    std::size_t maxBodyBytes = 1 << 20;    ///< beyond: 413
    std::size_t maxCallerConnections = 10000;
    std::size_t maxUnsentBytes = 64 << 20; ///< answers not yet read, of all callers; beyond: not_run
    int callerSendBuffer = 128 << 10;      ///< SO_SNDBUF: bytes that the kernel may hold of an unread answer
    Duration callerIdleTimeout = std::chrono::seconds(60);
    Duration slowReaderTimeout = std::chrono::seconds(10); ///< to read an answer; beyond: the connection is closed

    // ---- Metrics
    int maxTenantLabels = 300; ///< further tenants share the label "other"
};

constexpr std::size_t MaxSnapshotBytesPerClaim = 40; ///< without the claim's answer

/** All errors in @p settings, one sentence each; empty if the settings are valid. */
std::vector<std::string> check(const RequestSettings &settings);

/** The class with the longest path prefix that matches @p target and accepts @p method; null if there is none. */
const RequestClass *findClass(const RequestSettings &settings, std::string_view method, std::string_view target);

} // namespace QuetzalRock
