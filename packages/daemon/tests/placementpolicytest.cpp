#include <daemon/placementpolicy.h>

#include <gtest/gtest.h>

using namespace QuetzalRock;

TEST(PlacementPolicy, usesTheSettingsOfItsFailureDomain)
{
    const SettingsParseResult parse = parseIni("[root]\n"
                                               "scheduling.tail-weight = 6\n"
                                               "scheduling.throughput-weight = 2\n"
                                               "scheduling.eviction-weight = 2\n"
                                               "[domain r/a]\n"
                                               "guard.enabled = false\n"
                                               "[tenant desk]\n"
                                               "tenant.cpu-millis = 9000\n"
                                               "tenant.weight = 30\n"
                                               "[tenant desk in r/a]\n"
                                               "tenant.cpu-millis = 4000\n",
                                               "t.ini");
    ASSERT_TRUE(parse.issues.empty()) << toString(parse.issues.front());
    const SettingsPath a{"r", "a", {}, {}};
    const SettingsPath b{"r", "b", {}, {}};
    const PlacementSettings settings = placementSettings(domainPolicy(parse.tree, a));
    EXPECT_DOUBLE_EQ(settings.weights.tailLatency, 0.6);
    EXPECT_FALSE(settings.guards);
    EXPECT_TRUE(placementSettings(domainPolicy(parse.tree, b)).guards);
    ASSERT_EQ(tenantAllotments(parse.tree, a).size(), 1U);
    EXPECT_EQ(tenantAllotments(parse.tree, a).front().limit.cpuMillis, 4000);
    EXPECT_EQ(tenantAllotments(parse.tree, b).front().limit.cpuMillis, 9000);
    EXPECT_DOUBLE_EQ(tenantAllotments(parse.tree, b).front().weight, 30);
}

TEST(PlacementPolicy, usesTheDefaultsOfUnsetSettings)
{
    const PlacementSettings settings = placementSettings(domainPolicy({}, {"r", "a", {}, {}}));
    const PlacementSettings defaults;
    EXPECT_DOUBLE_EQ(settings.weights.tailLatency, defaults.weights.tailLatency);
    EXPECT_DOUBLE_EQ(settings.weights.throughput, defaults.weights.throughput);
    EXPECT_DOUBLE_EQ(settings.weights.evictions, defaults.weights.evictions);
    EXPECT_EQ(settings.evictionsPerMinute, defaults.evictionsPerMinute);
    EXPECT_EQ(settings.throttlePermille, defaults.throttlePermille);
    EXPECT_EQ(settings.quarantineFailures, defaults.quarantineFailures);
    EXPECT_DOUBLE_EQ(settings.workerStartsPerSecond, defaults.workerStartsPerSecond);
    EXPECT_EQ(settings.headroomPermille, defaults.headroomPermille);
}
