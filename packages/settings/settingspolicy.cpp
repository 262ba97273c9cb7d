#include <settings/settingspolicy.h>

namespace QuetzalRock {

namespace {

/** Reads the effective settings of one node. */
struct NodeReader
{
    const SettingsTree &tree;
    const SettingsPath &path;

    std::int64_t integer(std::string_view key) const
    {
        return integerSetting(tree, path, key);
    }
    int smallInteger(std::string_view key) const
    {
        return static_cast<int>(integer(key));
    }
    Duration duration(std::string_view key) const
    {
        return durationSetting(tree, path, key);
    }
    bool boolean(std::string_view key) const
    {
        return booleanSetting(tree, path, key);
    }
};

} // namespace

DomainPolicy domainPolicy(const SettingsTree &tree, const SettingsPath &domain)
{
    const NodeReader node{tree, domain};
    DomainPolicy policy;
    policy.guardEnabled = node.boolean("guard.enabled");
    policy.evictionsPerMinute = node.integer("guard.evictions-per-minute");
    policy.guardHold = node.duration("guard.hold");
    policy.throttlePermille = node.smallInteger("guard.throttle-permille");
    policy.commitInterval = node.duration("journal.commit-interval");
    policy.journalWritesPerSecond = node.integer("journal.writes-per-second");
    policy.heartbeatInterval = node.duration("member.heartbeat-interval");
    policy.rebalanceAfter = node.duration("member.rebalance-after");
    policy.suspectAfter = node.duration("member.suspect-after");
    policy.evictionWeight = node.smallInteger("scheduling.eviction-weight");
    policy.quarantineAfter = node.smallInteger("scheduling.quarantine-after");
    policy.startsPerWorker = node.smallInteger("scheduling.starts-per-worker");
    policy.tailWeight = node.smallInteger("scheduling.tail-weight");
    policy.throughputWeight = node.smallInteger("scheduling.throughput-weight");
    policy.urgentHeadroomPermille = node.smallInteger("scheduling.urgent-headroom-permille");
    policy.workerLease = node.duration("worker.lease");
    return policy;
}

ServicePolicy servicePolicy(const SettingsTree &tree, const SettingsPath &service)
{
    const NodeReader node{tree, service};
    ServicePolicy policy;
    policy.claimRetention = node.duration("service.claim-retention");
    policy.idempotent = textSetting(tree, service, "service.class") == "lookup";
    policy.connectionsPerInstance = node.smallInteger("service.connections-per-instance");
    policy.deadline = node.duration("service.deadline");
    policy.hedgeAfter = node.duration("service.hedge-after");
    policy.latencyTarget = node.duration("service.latency-target");
    policy.queueLimit = node.smallInteger("service.queue-limit");
    policy.retryBudgetPermille = node.smallInteger("service.retry-budget-permille");
    policy.slotsPerInstance = node.smallInteger("service.slots-per-instance");
    policy.spill = node.boolean("service.spill");
    return policy;
}

TenantQuota tenantQuota(const SettingsTree &tree, const SettingsPath &tenant)
{
    const NodeReader node{tree, tenant};
    TenantQuota quota;
    quota.quota.cpuMillis = node.integer("tenant.cpu-millis");
    quota.quota.memoryMib = node.integer("tenant.memory-mib");
    quota.quota.accelerators = node.integer("tenant.accelerators");
    quota.pendingJobs = node.integer("tenant.pending-jobs");
    quota.urgent = node.boolean("tenant.urgent");
    quota.weight = node.smallInteger("tenant.weight");
    return quota;
}

} // namespace QuetzalRock
