/** Converts the operators' settings of a failure domain to the settings of the placement engine. */
#pragma once

#include <placement/settings.h>
#include <settings/settingspolicy.h>

#include <vector>

namespace QuetzalRock {

/** Normalises the weights so that they add up to 1; if all are 0, the defaults are used. */
PlacementSettings placementSettings(const DomainPolicy &policy);

/** The effective quota and weight in @p domain of every tenant that has a node in @p tree. */
std::vector<TenantShardQuota> tenantAllotments(const SettingsTree &tree, const SettingsPath &domain);

} // namespace QuetzalRock
