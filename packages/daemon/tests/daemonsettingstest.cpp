#include <daemon/daemonsettings.h>

#include <gtest/gtest.h>

#include <sstream>

using namespace QuetzalRock;

namespace {

constexpr std::string_view SampleIni = R"(
[process]
name = entry-7
failure_domain = mazara
[class.signing]
path_prefix = /signings
methods = POST,PUT
deadline_ms = 2000
[upstream.u1]
address = 127.0.0.1:7001
failure_domain = trapani
)";

} // namespace

TEST(DaemonSettings, printedSettingsParseToTheSameSettings)
{
    std::vector<SettingFault> faults;
    const DaemonSettings settings = parseDaemonSettings("a.ini", SampleIni, faults);
    ASSERT_TRUE(faults.empty()) << faults.front().toString();
    EXPECT_EQ(settings.requests.classes.at(0).methods, (std::vector<std::string>{"POST", "PUT"}));
    EXPECT_EQ(settings.requests.failureDomain, "mazara");
    std::ostringstream first;
    printSettings(settings, first);
    const DaemonSettings reparsed = parseDaemonSettings("b.ini", first.str(), faults);
    ASSERT_TRUE(faults.empty()) << faults.front().toString();
    std::ostringstream second;
    printSettings(reparsed, second);
    EXPECT_EQ(first.str(), second.str());
}

TEST(DaemonSettings, reportsAllErrorsAtOnce)
{
    std::vector<SettingFault> faults;
    parseDaemonSettings(
        "a.ini",
        "[process]\nname =\n[platform]\nkind = cloud\n[class.a]\nidempotent = true\nrequire_key = true\n"
        "[account.x]\nrole = king\n[listen]\nrequests = :1\n",
        faults);
    std::vector<std::string> keys;
    keys.reserve(faults.size());
    for (const SettingFault &it : faults) {
        keys.push_back(it.section + "/" + it.key);
    }
    const std::vector<std::string> expected{"process/name",
                                            "listen/requests",
                                            "platform/kind",
                                            "account.x/role",
                                            "account.x/token_hashes",
                                            "class.a/require_key"};
    EXPECT_EQ(keys, expected);
}
