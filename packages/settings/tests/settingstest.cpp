#include <settings/settingspolicy.h>
#include <settings/settingsstore.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <sstream>

namespace QuetzalRock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SettingsPath Root{};
const SettingsPath Region{"baltic-north", "", "", ""};
const SettingsPath Muuga{"baltic-north", "muuga", "", ""};
const SettingsPath Checks{"baltic-north", "muuga", "slot-checks", ""};
const SettingsPath Desk{"", "", "", "harvest-desk"};
const SettingsPath DeskInMuuga{"baltic-north", "muuga", "", "harvest-desk"};

SettingsTree parseValidIni(std::string_view text)
{
    SettingsParseResult parse = parseIni(text, "test.ini");
    for (const SettingsIssue &it : parse.issues) {
        ADD_FAILURE() << toString(it);
    }
    return parse.tree;
}

TEST(SettingKeys, tableIsConsistent)
{
    for (const SettingKey &it : settingKeys()) {
        EXPECT_EQ(findSettingKey(it.name), &it);
        EXPECT_FALSE(it.help.empty()) << it.name;
        if (it.type != SettingType::Text) {
            EXPECT_EQ(canonicalValue(it, it.defaultValue), it.defaultValue) << it.name;
        }
    }
    EXPECT_EQ(findSettingKey("no.such"), nullptr);
    EXPECT_TRUE(validateTree({{Root, {{"note", "x"}}}}).empty()); // the default values of all keys are consistent
}

TEST(SettingKeys, referencePageIsUpToDate)
{
    std::ifstream file(SETTINGS_PAGE);
    std::ostringstream text;
    text << file.rdbuf();
    EXPECT_EQ(text.str(), settingsReferencePage()) << "run build/packages/settings/settingsdoc > docs/SETTINGS.md";
}

TEST(SettingKeys, valuesAreStoredInCanonicalForm)
{
    const SettingKey &lease = *findSettingKey("worker.lease");
    EXPECT_EQ(canonicalValue(lease, "45000ms"), "45s");
    EXPECT_EQ(canonicalValue(lease, "60s"), "1min");
    for (const char *bad : {"", "5", "s", "4s", "2h", "5 s", "-5s", "99999999999999999999s", "9223372036854775807h"}) {
        EXPECT_EQ(canonicalValue(lease, bad), std::nullopt) << bad;
    }
    EXPECT_EQ(canonicalValue(*findSettingKey("tenant.weight"), "007"), "7");
    EXPECT_EQ(canonicalValue(*findSettingKey("tenant.weight"), "7x"), std::nullopt);
    EXPECT_EQ(canonicalValue(*findSettingKey("service.class"), "book"), std::nullopt);
    EXPECT_EQ(canonicalValue(*findSettingKey("service.class"), "booking"), "booking");
    EXPECT_EQ(canonicalValue(*findSettingKey("note"), "a;b"), std::nullopt);
}

TEST(SettingsPaths, textRoundTripPreservesPath)
{
    for (const SettingsPath &it : {Root, Region, Muuga, Checks, Desk, DeskInMuuga}) {
        EXPECT_EQ(parsePath(toString(it)), it) << toString(it);
    }
    for (const char *bad : {"",
                            "region",
                            "region a/b",
                            "domain a",
                            "service a/b",
                            "tenant",
                            "tenant a b",
                            "tenant a in b",
                            "node a",
                            "domain /b",
                            "root x",
                            "domain a/b/",
                            "region a]"}) {
        EXPECT_EQ(parsePath(bad), std::nullopt) << bad;
    }
}

TEST(SettingsTree, nodesInheritUnsetValuesAndOverrideOthers)
{
    const SettingsTree tree = parseValidIni("[root]\nservice.deadline = 400ms\nworker.lease = 20s\n"
                                            "[region baltic-north]\nworker.lease = 40s\n"
                                            "[domain baltic-north/muuga]\nservice.deadline = 300ms\n"
                                            "[service baltic-north/muuga/slot-checks]\nservice.hedge-after = 90ms\n");
    EXPECT_EQ(domainPolicy(tree, Muuga).workerLease, seconds(40));
    EXPECT_EQ(domainPolicy(tree, {"sicilia", "trapani", "", ""}).workerLease, seconds(20));
    EXPECT_EQ(servicePolicy(tree, Checks).deadline, milliseconds(300));
    EXPECT_EQ(servicePolicy(tree, Checks).hedgeAfter, milliseconds(90));
    EXPECT_EQ(effectiveValue(tree, Checks, "service.deadline").origin, Muuga);
    EXPECT_EQ(effectiveValue(tree, Checks, "service.spill").origin, std::nullopt);
    const std::vector<EffectiveValue> all = explain(tree, Checks);
    const auto hedge
        = std::find_if(all.begin(), all.end(), [](const auto &it) { return it.key == "service.hedge-after"; });
    ASSERT_NE(hedge, all.end());
    EXPECT_EQ(hedge->origin, Checks);
}

TEST(SettingsTree, tenantsInheritFromTheTenantBeforeTheFailureDomain)
{
    const SettingsTree tree
        = parseValidIni("[root]\ntenant.weight = 3\n[domain baltic-north/muuga]\ntenant.weight = 4\n"
                        "tenant.memory-mib = 50\n[tenant harvest-desk]\ntenant.weight = 5\n"
                        "[tenant harvest-desk in baltic-north/muuga]\ntenant.cpu-millis = 64000\n");
    const TenantQuota quota = tenantQuota(tree, DeskInMuuga);
    EXPECT_EQ(quota.weight, 5);
    EXPECT_EQ(quota.quota.memoryMib, 50);
    EXPECT_EQ(quota.quota.cpuMillis, 64000);
    SettingsPath other = DeskInMuuga;
    other.failureDomain = "paldiski";
    EXPECT_EQ(tenantQuota(tree, other).quota.cpuMillis, 100000);
    other.tenant = "nobody";
    EXPECT_EQ(tenantQuota(tree, other).weight, 3);
}

TEST(SettingsIni, reportsAllIssuesAtOnce)
{
    const SettingsParseResult parse = parseIni("[root]\n"             // 1
                                               "worker.lease = 1s\n"  // 2: below the minimum
                                               "worker.leese = 10s\n" // 3: unknown key
                                               "nonsense\n"           // 4: syntax error
                                               "tenant.weight = 5\n"  // 5: valid
                                               "tenant.weight = 6\n"  // 6: duplicate key
                                               "[galaxy a]\n"         // 7
                                               "worker.lease = 10s\n" // 8: unknown kind of section
                                               "[service r/d/s]\n"    // 9
                                               "worker.lease = 10s\n" // 10: not allowed at a service
                                               "[broken\n"            // 11: syntax error
                                               "note = "
                                                   + std::string(200, 'x')
                                                   + "\n"                                // 12: line too long
                                                     "service.class = lookups ; well\n", // 13: not one of the choices
                                               "muuga.ini");
    std::vector<int> lines;
    for (const SettingsIssue &it : parse.issues) {
        lines.push_back(it.line);
        EXPECT_EQ(it.file, "muuga.ini");
    }
    EXPECT_EQ(lines, (std::vector<int>{2, 3, 4, 6, 8, 10, 11, 12, 13}));
    EXPECT_EQ(toString(parse.issues.at(0)), "muuga.ini:2: [root] worker.lease = 1s: not allowed; allowed: 5s to 1h");
    EXPECT_EQ(parse.tree.at(Root).at("tenant.weight"), "5");
}

TEST(SettingsIni, longSectionNamesAreNotTruncated)
{
    // inih truncates section names after 49 bytes, which would make these two names the same.
    const std::string head = "tenant porto-empedocle-equipaggi in sicilia/porto-empedocle-";
    const SettingsTree tree = parseValidIni("[" + head + "a]\ntenant.weight = 1\n[" + head + "b]\ntenant.weight = 2\n");
    EXPECT_EQ(tree.size(), 2u);
    EXPECT_EQ(tree.at(*parsePath(head + "b")).at("tenant.weight"), "2");
}

TEST(SettingsIni, conflictingKeysAreReportedAtTheirNode)
{
    const SettingsTree tree
        = parseValidIni("[root]\nservice.deadline = 100ms\n[domain r/d]\nmember.suspect-after = 1s\n");
    const std::vector<SettingsIssue> issues = validateTree(tree);
    ASSERT_EQ(issues.size(), 3u); // the failure domain inherits the conflicting deadline
    EXPECT_EQ(
        toString(issues[0]),
        "[root] service.hedge-after = 150ms: above what service.deadline = 100ms allows here; allowed: up to 100ms");
    EXPECT_EQ(issues[2].key, "member.heartbeat-interval");
}

// ---------------------------------------------------------------------------------------------------------------------
// Properties of random trees
// ---------------------------------------------------------------------------------------------------------------------

SettingsPath randomPath()
{
    const auto name = [] { return *rc::gen::elementOf(std::vector<std::string>{"a", "b-1", "c_2.x"}); };
    SettingsPath path;
    const int kind = *rc::gen::inRange(0, 6);
    if (kind >= 1 && kind != 4) {
        path.region = name();
    }
    if (kind == 2 || kind == 3 || kind == 5) {
        path.failureDomain = name();
    }
    path.service = kind == 3 ? name() : "";
    path.tenant = kind >= 4 ? name() : "";
    return path;
}

SettingsTree randomTree()
{
    SettingsTree tree;
    const int n = *rc::gen::inRange(0, 12);
    for (int i = 0; i < n; ++i) {
        const SettingsPath path = randomPath();
        const SettingKey &key
            = *rc::gen::elementOf(std::vector<SettingKey>(settingKeys().begin(), settingKeys().end()));
        const std::string text = key.type == SettingType::Text ? *rc::gen::element<std::string>("x", "Ä = [y] # z")
                                 : key.type == SettingType::Duration
                                     ? detail::formatDuration(Duration(*rc::gen::inRange(key.minValue, key.maxValue)))
                                 : key.type == SettingType::Integer
                                     ? std::to_string(*rc::gen::inRange(key.minValue, key.maxValue))
                                     : std::string(key.defaultValue);
        detail::setValue(tree, path, key.name, text);
    }
    return tree;
}

RC_GTEST_PROP(SettingsTree, roundTripsThroughIniAndStoredDocument, ())
{
    SettingsDocument document{7, randomTree(), {}};
    const SettingsParseResult parse = parseIni(formatIni(document.tree), "x");
    RC_ASSERT(parse.issues.empty());
    RC_ASSERT(parse.tree == document.tree);
    document.history.push_back({7, "ana", WallTime(5), "id", difference({}, document.tree)});
    RC_ASSERT(decodeDocument(encodeDocument(document)) == document);
}

RC_GTEST_PROP(SettingsTree, applyingDifferenceReproducesTree, ())
{
    SettingsTree a = randomTree();
    const SettingsTree b = randomTree();
    const std::vector<SettingsChange> changes = difference(a, b);
    RC_ASSERT(applyChanges(a, changes).empty());
    RC_ASSERT(a == b);
    RC_ASSERT(difference(a, b).empty());
    RC_ASSERT(digestOf(1, a) == digestOf(1, b));
}

TEST(SettingsDocument, largeDocumentsAreCompressedAndCorruptionIsDetected)
{
    SettingsDocument document{3, {}, {}};
    for (int i = 0; i < 2000; ++i) {
        document.tree[{"", "", "", "tenant-" + std::to_string(i)}]["tenant.weight"] = std::to_string(1 + i % 1000);
    }
    std::string value = encodeDocument(document);
    EXPECT_LT(value.size(), encodeDocumentUncompressed(document).size() / 2);
    EXPECT_EQ(decodeDocument(value), document);
    value[value.size() / 2] = static_cast<char>(value[value.size() / 2] ^ 0x55);
    EXPECT_THROW(decodeDocument(value), InvalidArgument);
    for (const char *bad : {"", "{}", "zlib:", "zlib:99999999999999:x", "zlib:5", "zlib:5:", "[1]"}) {
        EXPECT_THROW(decodeDocument(bad), InvalidArgument) << bad;
    }
}

} // namespace

} // namespace QuetzalRock
