/** The operators' settings of a failure domain as what the decisions take. */
#pragma once

#include <placement/settings.h>
#include <settings/settingspolicy.h>

#include <vector>

namespace QuetzalRock {

/** Weights are shares of their sum; where all are 0 the defaults stay. */
PlacementSettings placementSettings(const DomainPolicy &policy);

/** The quota and weight of every tenant that @p tree names, as they hold in @p domain. */
std::vector<TenantShardQuota> tenantAllotments(const SettingsTree &tree, const SettingsPath &domain);

} // namespace QuetzalRock
