/**
 * Settings of the request path. Filled by the daemon's parse functions; check() says what is wrong with them.
 *
 * Index of this file
 *   RequestClass      one kind of request: how it is recognised, what it may cost, what it may wait
 *   InstancePolicy    how an instance is chosen
 *   RequestSettings   everything else
 */
#pragma once

#include <base/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace QuetzalRock {

struct RequestClass
{
    std::string name;                 ///< label of metrics; unique
    std::string tenant;               ///< who owns it; empty: the caller's Quetzalrock-Tenant header says who asks
    std::string pathPrefix = "/";     ///< the longest matching prefix wins
    std::vector<std::string> methods; ///< such as "GET"; empty: every method
    bool idempotent = false;          ///< may run twice: allows retries and hedging. Pitfall: never set it for bookings
    bool requireKey = false;          ///< refuse (400) a request without Idempotency-Key; non-idempotent classes only
    Duration deadline = std::chrono::milliseconds(300); ///< from arrival to answer
    int priority = 100;                                 ///< higher goes first; the highest is never browned out
    int queueLimit = 512;                               ///< requests that may wait, over all tenants
    double tenantRate = 0;                              ///< requests/s that one tenant may send to this VM; 0: no limit
    double tenantBurst = 100; ///< requests that one tenant may send at once where tenantRate is set
    Duration expectedTime = std::chrono::milliseconds(5); ///< upstream time assumed until it has been measured
};

enum class InstancePolicy : std::uint8_t {
    Random = 0,             ///< baseline of measurements
    TwoChoicesInFlight = 1, ///< fewer own requests in flight of two drawn at random
    TwoChoicesLatency = 2,  ///< less (in flight + 1) x latency of two drawn at random
    SlotShares = 3,         ///< as TwoChoicesLatency, with a share of the slots each and borrowing while latency allows
};

struct RequestSettings
{
    std::vector<RequestClass> classes;

    // ---- this process
    std::string failureDomain;   ///< instances here are preferred
    int ringCapacity = 8192;     ///< requests handed over by the front and not yet looked at; beyond: not_run
    int maxOpenRequests = 20000; ///< queued, claimed and in flight together; beyond: not_run

    // ---- upstream instances
    InstancePolicy policy = InstancePolicy::SlotShares;
    int slotsPerInstance = 8;        ///< requests that an instance works on at once
    int connectionsPerInstance = 64; ///< an instance refuses more, over all entry VMs
    int entryMembers = 1;            ///< entry VMs that share the instances: this one's share is 1/entryMembers
    double spillCost = 1.5;          ///< another failure domain's instance must be this much cheaper to be preferred
    Duration slowStart = std::chrono::seconds(10); ///< a new or returned instance reaches its full weight after this
    int ejectAfterFailures = 5;                    ///< failures in a row that eject an instance
    double ejectSlowness = 8;                      ///< latency over the median that ejects an instance
    Duration ejectTime = std::chrono::seconds(5);  ///< doubled for each ejection in a row, up to 16 times
    double maxEjectedShare = 0.3;                  ///< of the instances; one more would overload the rest
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration provenWindow
        = std::chrono::milliseconds(500); ///< a connection that answered so lately may carry a booking
    std::size_t maxAnswerBytes = 4 << 20; ///< of an upstream's answer; beyond: failed

    // ---- retries and hedging
    int maxAttempts = 3;                ///< of one request, hedges included
    double retryTokensPerSuccess = 0.1; ///< tokens earned by a success; a retry or hedge costs one
    double retryBurst = 50;             ///< tokens at most, and at the start
    double hedgeFactor = 3;             ///< hedge after the class's mean upstream time + this many mean deviations
    Duration minHedgeDelay = std::chrono::milliseconds(2);

    // ---- admission
    int tenantMinConcurrency = 8;    ///< the adaptive limit of a tenant (queued and in flight) never falls below
    int tenantMaxConcurrency = 1024; ///< nor rises above
    Duration pressureInterval = std::chrono::milliseconds(100); ///< how often brown-out moves by one class

    // ---- claims of idempotency keys
    Duration claimRetention = std::chrono::minutes(10); ///< a repeat within it meets the first run's claim
    std::size_t maxKeptAnswerBytes = 4096; ///< a longer first answer is not kept: a repeat is told so by 409
    std::size_t maxClaims = 20000;         ///< of one shard; beyond: not_run. Each takes up to 40 bytes of the snapshot
    std::size_t maxClaimSnapshotBytes = 900'000; ///< older answers are left out of a snapshot that would be longer
    Duration maxClaimWait
        = std::chrono::seconds(1); ///< for a claim to become durable; then not_run, well before the deadline
    Duration claimRetryDelay = std::chrono::milliseconds(200); ///< between tries to reach the log again
    Duration
        minClaimAppendInterval{}; ///< shortest time between two writes of one shard's claims; an idle one writes at once

    // ---- the HTTP front
    std::string listenAddress = "127.0.0.1"; ///< an IP number
    std::uint16_t listenPort = 0;            ///< 0: any free one, see HttpFront::port()
    int frontThreads = 2;
    std::size_t maxHeaderBytes = 16 << 10; ///< beyond: 431
    std::size_t maxBodyBytes = 1 << 20;    ///< beyond: 413
    std::size_t maxCallerConnections = 10000;
    std::size_t maxUnsentBytes = 64 << 20; ///< answers handed to slow readers, all together; beyond: not_run
    int callerSendBuffer = 128 << 10; ///< bytes that the kernel may hold of an answer for a caller that does not read
    Duration callerIdleTimeout = std::chrono::seconds(60);
    Duration slowReaderTimeout = std::chrono::seconds(10); ///< a caller that has not read its answer by then is cut off

    // ---- metrics
    int maxTenantLabels = 300; ///< further tenants share the label "other"
};

constexpr std::size_t ClaimSnapshotBytes = 40; ///< of a claim in a snapshot at most, without its answer

/** Every fault of @p settings, one sentence each; empty where there is none. */
std::vector<std::string> check(const RequestSettings &settings);

/** The class of a request: the longest prefix that matches, with its methods. Null where there is none. */
const RequestClass *findClass(const RequestSettings &settings, std::string_view method, std::string_view target);

} // namespace QuetzalRock
