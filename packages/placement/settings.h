/**
 * What operators can set about placement. A plain aggregate: fill it from the settings tree and pass it to the engine.
 *
 * Index of this file
 *   TenantAllotment            a tenant's weight and allotment in this shard
 *   PlacementWeights     what the users want most: tail latency, throughput, few evictions
 *   PlacementSettings    everything else, each with unit, default and pitfalls
 *
 * Times are Duration (microseconds); "permille" is thousandths; a "share" is a part of a worker's processors, 0 to 1.
 */
#pragma once

#include <base/types.h>

#include <cstdint>
#include <limits>
#include <string>

namespace QuetzalRock {

/** No limit in a component of TenantAllotment::limit. */
constexpr std::int64_t Unlimited = std::numeric_limits<std::int64_t>::max();

/** A tenant's place in this shard. A tenant that is not named has weight 1 and no limit. */
struct TenantAllotment
{
    std::string tenant;
    double weight = 1; ///< a tenant with weight 2 gets twice the dominant share of one with weight 1; above 0
    Resources limit{
        Unlimited, Unlimited, Unlimited}; ///< never exceeded by the tenant's reservations; 0 forbids a resource
};

/** What one more unit of each measure is worth. Only their proportions matter for placement. */
struct PlacementWeights
{
    double tailLatency = 0.5; ///< of a service past its target; raise it where late answers hurt most
    double throughput = 0.3;  ///< of batch work done; raise it where batch work has deadlines
    double evictions = 0.2;   ///< of work stopped and run again; raise it where restarts are dear
};

struct PlacementSettings
{
    PlacementWeights weights;
    std::uint64_t seed = 20261203; ///< of jitter and sampling; the same seed and events give the same decisions

    // --- order -------------------------------------------------------------------------------------------------------
    Duration priorityStep = std::chrono::minutes(5); ///< one step of priority counts as so much earlier submission
    int backfillDepth = 8;   ///< jobs of a tenant that are tried behind a blocked one; costs decision time when raised
    int passOverDepth = 256; ///< jobs of a tenant that are passed over in one round where a like one was just refused
    int maxHolds = 1; ///< blocked jobs that get workers held for them at a time; a held worker takes nothing else
    int holdsPerMille = 100; ///< of workers held at once at most; at least one worker can always be held

    // --- pacing and retries ------------------------------------------------------------------------------------------
    double workerStartsPerSecond = 4; ///< of one worker, on average
    double workerStartBurst = 8;      ///< of one worker, at once; at least 1
    double shardStartsPerSecond = 300;
    double shardStartBurst = 300;                          ///< at least the size of the largest gang
    Duration retryBase = std::chrono::seconds(2);          ///< before the first retry of a failed task; doubles
    Duration retryMax = std::chrono::minutes(5);           ///< the longest wait between retries, before jitter
    Duration barredRetry = std::chrono::milliseconds(200); ///< before a start that never ran is tried again
    int retryJitterPermille = 500;                         ///< each wait is longer or shorter by up to so much

    // --- urgent work -------------------------------------------------------------------------------------------------
    int headroomPermille = 20; ///< of the shard's processors that batch work leaves free for urgent work
    Duration preemptAfter = std::chrono::milliseconds(300); ///< an urgent task waits so long before it evicts others

    // --- spreading ---------------------------------------------------------------------------------------------------
    double workerSpread = 2; ///< cost of each further task of a service on one worker; a late service costs about 1
    double rackSpread = 0.2; ///< the same for a rack; small services profit, large ones spread in any case
    double loadSpread = 0.1; ///< cost of a full worker for a service, so that services go where there is room
    double packing = 0.05;   ///< cost of the room that a batch task leaves free; 0 spreads batch work

    // --- interference ------------------------------------------------------------------------------------------------
    double priorSlowdown = 0.5; ///< log of a service's slowdown by a neighbour that fills the worker, before any report
    double priorLevel = 0.5;    ///< latency over target of a service alone, before any report
    double priorStrength = 0.5; ///< reports (of a full neighbour) that the prior is worth; higher learns more slowly
    Duration forgetting = std::chrono::minutes(20); ///< a report's weight falls to 1/e after so long
    Duration commonMode
        = std::chrono::minutes(1); ///< what all services of a class share changes is their load's doing:
                                   ///< only what differs from the mean of so long tells about neighbours
    Duration modelRefresh = std::chrono::seconds(1);      ///< how often learned slowdowns reach the decisions
    Duration history = std::chrono::seconds(90);          ///< reports measured earlier than this are dropped
    Duration baselineSmoothing = std::chrono::seconds(8); ///< of a service's own level; lower follows load and noise
    double exploration = 0.15;  ///< credit for a pair seldom seen, where the service has room; 0 never explores
    double exploreBelow = 0.6;  ///< latency over target under which a service may be explored with
    double cautionAbove = 0.75; ///< latency over target from which an unknown neighbour counts as worse than its mean
    double lateSpread = 0.15;   ///< log of the noise in latency; wider counts damage further below the target
    double surge = 1.3;         ///< growth in load for which the risk of an eviction is judged
    int candidateLimit = 64;    ///< workers that are compared for one start; first come, rotating
    double batchBenefit = 0.05; ///< worth of one busy processor of batch work against one late service, both by weight;
                                ///< batch work waits where its damage is above its worth
    double overshoot = 0.3;     ///< damage of a service e times past its target, beside 1 for being late at all
    double evictionRisk = 0.1;  ///< chance that a service which a surge would make late costs an eviction

    Duration patience = std::chrono::minutes(40); ///< after so long a wait batch work counts twice as much, and so on

    // --- guards ------------------------------------------------------------------------------------------------------
    bool guards = true;
    double guardHigh = 1.0;                    ///< latency over target that makes a service hot
    double guardLow = 0.9;                     ///< under which a report counts as cool; below guardHigh
    double guardHysteresis = 0.8;              ///< a throttle is lifted once its harm is below this times its worth
    int hotReports = 2;                        ///< reports in a row above guardHigh before the first action
    int coolReports = 5;                       ///< reports in a row below guardLow before a throttle is lifted
    Duration settle = std::chrono::seconds(2); ///< after an action, until a measurement can show it
    int throttlePermille = 400;                ///< of its processors that a throttled task keeps
    int evictionsPerMinute = 20;               ///< in any minute, guards and preemption together
    int urgentEvictionsPerMinute = 10;         ///< of those, kept for urgent work
    double evictionGain = 2.5;                 ///< services, by weight, that one eviction must bring back in time
    int throttlesPerMinute = 200;              ///< in any minute; lifting a throttle is always allowed
    Duration evictionCooldown = std::chrono::minutes(5); ///< an evicted task counts as dearer to evict for so long

    // --- bad truth ---------------------------------------------------------------------------------------------------
    int quarantineFailures = 4; ///< failures in a row without a success that quarantine a worker ...
    int quarantineJobs = 3;     ///< ... if they are of so many different jobs
    Duration quarantineBase = std::chrono::seconds(30); ///< before the first probe; doubles with each failed probe
    Duration quarantineMax = std::chrono::minutes(30);
    Duration healthyRun = std::chrono::seconds(30); ///< a task that runs so long counts as a success of its worker
    int faultyJobWorkers = 3; ///< healthy workers on which a job must fail, without a success, to be stopped
    Duration unrunnableAfter = std::chrono::seconds(10); ///< without a new worker, before a job is named unrunnable
    double overuseMargin = 1.1; ///< learned memory and processor use beyond the declared is reserved times this
};

} // namespace QuetzalRock
