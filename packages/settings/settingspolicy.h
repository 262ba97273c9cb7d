/**
 * The effective settings of a node as plain structs, for the code that acts on them. They are computed again for each
 * version of the settings. docs/SETTINGS.md describes each field under the key in its comment.
 *
 * Index of this file
 *   DomainPolicy    settings of a failure domain
 *   ServicePolicy   settings of a service in a failure domain
 *   TenantQuota     quota and weight of a tenant in a failure domain
 */
#pragma once

#include <base/types.h>
#include <settings/settings.h>

namespace QuetzalRock {

struct DomainPolicy
{
    bool guardEnabled = true;                ///< guard.enabled
    std::int64_t evictionsPerMinute = 0;     ///< guard.evictions-per-minute
    Duration guardHold{};                    ///< guard.hold
    int throttlePermille = 0;                ///< guard.throttle-permille
    Duration commitInterval{};               ///< journal.commit-interval
    std::int64_t journalWritesPerSecond = 0; ///< journal.writes-per-second
    Duration heartbeatInterval{};            ///< member.heartbeat-interval
    Duration rebalanceAfter{};               ///< member.rebalance-after
    Duration suspectAfter{};                 ///< member.suspect-after
    int evictionWeight = 0;                  ///< scheduling.eviction-weight
    int quarantineAfter = 0;                 ///< scheduling.quarantine-after
    int startsPerWorker = 0;                 ///< scheduling.starts-per-worker
    int tailWeight = 0;                      ///< scheduling.tail-weight
    int throughputWeight = 0;                ///< scheduling.throughput-weight
    int urgentHeadroomPermille = 0;          ///< scheduling.urgent-headroom-permille
    Duration workerLease{};                  ///< worker.lease
};

struct ServicePolicy
{
    Duration claimRetention{};      ///< service.claim-retention
    bool idempotent = true;         ///< true if service.class is "lookup"
    int connectionsPerInstance = 0; ///< service.connections-per-instance
    Duration deadline{};            ///< service.deadline
    Duration hedgeAfter{};          ///< service.hedge-after
    Duration latencyTarget{};       ///< service.latency-target
    int queueLimit = 0;             ///< service.queue-limit
    int retryBudgetPermille = 0;    ///< service.retry-budget-permille
    int slotsPerInstance = 0;       ///< service.slots-per-instance
    bool spill = true;              ///< service.spill
};

struct TenantQuota
{
    Resources quota;              ///< tenant.cpu-millis, tenant.memory-mib, tenant.accelerators
    std::int64_t pendingJobs = 0; ///< tenant.pending-jobs
    bool urgent = false;          ///< tenant.urgent
    int weight = 0;               ///< tenant.weight
};

DomainPolicy domainPolicy(const SettingsTree &tree, const SettingsPath &domain);
ServicePolicy servicePolicy(const SettingsTree &tree, const SettingsPath &service);
TenantQuota tenantQuota(const SettingsTree &tree, const SettingsPath &tenant); ///< tenant in a failure domain

} // namespace QuetzalRock
