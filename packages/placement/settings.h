/**
 * Operator settings of task placement. Plain aggregates: fill them from the settings tree and pass them to the engine.
 *
 * Index of this file
 *   TenantShardQuota     a tenant's weight and quota in this shard
 *   PlacementWeights     relative importance of tail latency, throughput and few evictions
 *   PlacementSettings    all other settings, each with unit, default and pitfalls
 *
 * Times are Duration (microseconds), "permille" is thousandths, a "share" is a fraction of a worker's processors (0 to
 * 1), and a "latency ratio" is measured or predicted latency divided by the service's target.
 */
#pragma once

#include <base/types.h>

#include <cstdint>
#include <limits>
#include <string>

namespace QuetzalRock {

/** No limit in a component of TenantShardQuota::limit. */
constexpr std::int64_t Unlimited = std::numeric_limits<std::int64_t>::max();

/** A tenant's weight and quota in this shard. A tenant without an entry has weight 1 and no limit. */
struct TenantShardQuota
{
    std::string tenant;
    double weight = 1; ///< above 0; a tenant with weight 2 gets twice the dominant share of a tenant with weight 1
    Resources limit{
        Unlimited, Unlimited, Unlimited}; ///< the tenant's reservations never exceed it; 0 forbids a resource
};

/** What one more unit of each measure is worth. Only their proportions matter for placement. */
struct PlacementWeights
{
    double tailLatency = 0.5; ///< per service above its latency target; raise it where late answers hurt most
    double throughput = 0.3;  ///< per unit of batch work done; raise it where batch work has deadlines
    double evictions = 0.2;   ///< per task stopped and run again; raise it where restarts are expensive
};

struct PlacementSettings
{
    PlacementWeights weights;
    std::uint64_t seed = 20261203; ///< for jitter and sampling; the same seed and events give the same decisions

    // --- queue order and backfill ------------------------------------------------------------------------------------
    Duration priorityStep = std::chrono::minutes(5); ///< each step of priority counts as this much earlier submission
    int backfillDepth = 8;  ///< jobs of a tenant tried behind a blocked one in a round; more costs decision time
    int skipDepth = 256;    ///< jobs of a tenant skipped in a round because a similar request was just refused
    int maxHoldingJobs = 1; ///< blocked jobs that may hold workers at a time; a held worker accepts no other job
    int maxHeldWorkersPermille = 100; ///< limit on held workers, of all open workers; at least one can always be held

    // --- start rate limits and retries -------------------------------------------------------------------------------
    double workerStartsPerSecond = 4;  ///< average rate on one worker
    double workerStartBurst = 8;       ///< starts at once on one worker; at least 1
    double shardStartsPerSecond = 300; ///< average rate over all workers of the shard
    double shardStartBurst = 300;      ///< starts at once in the shard; at least the size of the largest gang
    Duration retryBase = std::chrono::seconds(2); ///< delay before a failed task's first retry; doubles with each retry
    Duration retryMax = std::chrono::minutes(5);  ///< upper bound of the retry delay, before jitter
    Duration barredRetryDelay = std::chrono::milliseconds(200); ///< delay after a start that was barred and never ran
    int retryJitterPermille = 500; ///< each retry delay is lengthened or shortened by up to this fraction

    // --- urgent work -------------------------------------------------------------------------------------------------
    int headroomPermille = 20; ///< fraction of the shard's processors that batch work leaves free for urgent work
    Duration preemptAfter = std::chrono::milliseconds(300); ///< an urgent task waits this long before it evicts others

    // --- spreading and packing ---------------------------------------------------------------------------------------
    double workerSpreadCost = 2; ///< per task of the same job already on the worker; a late service costs about 1
    double rackSpreadCost = 0.2; ///< per task of the same job already on the rack; matters for jobs of few tasks only,
                                 ///< as jobs of many tasks spread over the racks in any case
    double loadSpreadCost = 0.1; ///< of a fully reserved worker for a service: steers services to emptier workers
    double packingCost = 0.05;   ///< of an empty worker for a batch task: favours full workers; 0 spreads batch work

    // --- interference model ------------------------------------------------------------------------------------------
    double priorSlowdown = 0.5; ///< log slowdown of a service by a neighbour that fills the worker, before any report
    double priorBaseline = 0.5; ///< latency ratio of a service without neighbours, before any report
    double priorStrength = 0.5; ///< weight of the prior, in reports beside a full neighbour; higher learns more slowly
    Duration forgettingTime = std::chrono::minutes(20); ///< the weight of a report decays to 1/e in this time
    Duration commonModeWindow
        = std::chrono::minutes(1); ///< time constant of the running mean that is subtracted from each sample: a change
                                   ///< that all services of a class share comes from their load, not from neighbours
    Duration modelRefresh = std::chrono::seconds(1);      ///< interval at which learned slowdowns are refitted
    Duration maxReportAge = std::chrono::seconds(90);     ///< measurements older than this are dropped
    Duration baselineSmoothing = std::chrono::seconds(8); ///< time constant of a service's baseline; lower values
                                                          ///< follow load, and noise, more closely
    double exploration = 0.15;  ///< standard errors subtracted from the predicted slowdown of a service that is below
                                ///< exploreBelow, so that rarely seen pairs are tried; 0 never explores
    double exploreBelow = 0.6;  ///< latency ratio below which a service may be used to explore
    double cautionAbove = 0.75; ///< latency ratio above which one standard error is added to the predicted slowdown
    double latencyNoise = 0.15; ///< scale of the noise in log latency; larger values penalise ratios further below 1
    double surgeFactor = 1.3;   ///< latency increase for which the risk of a later eviction is estimated
    int candidateLimit = 64;    ///< workers compared for one start; the search begins at a random worker
    double batchBenefit = 0.05; ///< value of one busy processor of batch work relative to one late service, both by
                                ///< weight; batch work waits where its interference cost is above its value
    double overshoot = 0.3; ///< penalty per unit of log latency ratio above 0, added to the penalty of 1 for being late
    double evictionRisk = 0.1; ///< probability that a service made late by a load surge causes an eviction

    Duration agingPeriod = std::chrono::minutes(40); ///< waiting this long doubles the value of a batch task, twice as
                                                     ///< long triples it, and so on

    // --- guards: throttling and eviction beside late services --------------------------------------------------------
    bool guards = true;
    double lateRatio = 1.0;       ///< latency ratio above which a report counts as late
    double recoveredRatio = 0.9;  ///< latency ratio below which a report counts as recovered; below lateRatio
    double guardHysteresis = 0.8; ///< a throttle is lifted once its removal costs less than this times the batch value
    int lateReports = 2;          ///< consecutive late reports before the first action
    int recoveredReports = 5;     ///< consecutive recovered reports before a throttle is lifted
    Duration settleTime = std::chrono::seconds(2); ///< measurements taken this soon after an action do not show it yet
    int throttlePermille = 400;                    ///< fraction of its processors that a throttled task keeps
    int evictionsPerMinute = 20;                   ///< limit in any minute, for guards and preemption together
    int urgentEvictionsPerMinute = 10; ///< part of evictionsPerMinute that is reserved for preemption by urgent work
    double minEvictionGain = 2.5; ///< a guard evicts only if the weighted late-service penalty falls by at least this
                                  ///< times weights.evictions
    int throttlesPerMinute = 200; ///< limit in any minute; throttles may be lifted at any rate
    Duration evictionCooldown = std::chrono::minutes(5); ///< an evicted task is more expensive to evict for this long

    // --- faulty workers, faulty jobs and wrong declared sizes --------------------------------------------------------
    int quarantineFailures = 4; ///< failures without a success in between after which a worker is quarantined ...
    int quarantineJobs = 3;     ///< ... if they belong to at least this many different jobs
    Duration quarantineBase = std::chrono::seconds(30); ///< delay before the first probe; doubles if the probe fails
    Duration quarantineMax = std::chrono::minutes(30);  ///< upper bound of the delay before a probe
    Duration healthyRunTime = std::chrono::seconds(30); ///< a task that runs this long proves its worker healthy
    int faultyJobWorkers = 3; ///< a job without a success that failed on this many healthy workers is stopped
    Duration unrunnableAfter = std::chrono::seconds(10); ///< time without a new worker before a job that fits
                                                         ///< nowhere is reported as unrunnable
    double overuseMargin = 1.1; ///< factor on learned memory and processor use where it exceeds the declared size
};

} // namespace QuetzalRock
