#include <daemon/placementpolicy.h>

#include <set>

namespace QuetzalRock {

PlacementSettings placementSettings(const DomainPolicy &policy)
{
    PlacementSettings settings;
    const double sum = policy.tailWeight + policy.throughputWeight + policy.evictionWeight;
    if (sum > 0) {
        settings.weights.tailLatency = policy.tailWeight / sum;
        settings.weights.throughput = policy.throughputWeight / sum;
        settings.weights.evictions = policy.evictionWeight / sum;
    }
    settings.guards = policy.guardEnabled;
    settings.evictionsPerMinute = static_cast<int>(policy.evictionsPerMinute);
    settings.throttlePermille = policy.throttlePermille;
    settings.quarantineFailures = policy.quarantineAfter;
    settings.workerStartsPerSecond = policy.startsPerWorker;
    settings.headroomPermille = policy.urgentHeadroomPermille;
    return settings;
}

std::vector<TenantShardQuota> tenantAllotments(const SettingsTree &tree, const SettingsPath &domain)
{
    std::set<std::string> tenants;
    for (const auto &[path, node] : tree) {
        if (!path.tenant.empty()) {
            tenants.insert(path.tenant);
        }
    }
    std::vector<TenantShardQuota> allotments;
    for (const std::string &it : tenants) {
        const TenantQuota quota = tenantQuota(tree, {domain.region, domain.failureDomain, {}, it});
        allotments.push_back({it, static_cast<double>(quota.weight), quota.quota});
    }
    return allotments;
}

} // namespace QuetzalRock
