#include <admin/settingsapi.h>
#include <platform/embeddedkeyvalue.h>
#include <platform/faultykeyvalue.h>

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

/** A real SettingsStore on a key-value service with injected faults. */
class StoreBackend final : public SettingsBackend
{
public:
    ManualClock clock;
    EmbeddedKeyValue service{clock};
    FaultyKeyValue faulty{service};
    SettingsStore store{faulty, clock};

    SettingsDocument settings() override
    {
        return store.read();
    }
    SettingsDocument changeSettings(const SettingsEdit &edit) override
    {
        return store.write(edit);
    }
    std::vector<DomainRollout> settingsInForce(std::uint64_t version) override
    {
        return {{"baltic-north", "muuga", RolloutState::Complete, version, 1}};
    }
};

struct SettingsApiTest : public testing::Test
{
    StoreBackend backend;
    SettingsApi api{backend};
    Account ana{"ana", "", Role::Operate, {}};

    WebResponse call(const std::string &method, const std::string &path, const Json &body = Json::object())
    {
        WebRequest request;
        request.method = method;
        const std::size_t queryStart = path.find("?path=");
        request.path = path.substr(0, queryStart);
        if (queryStart != std::string::npos) {
            request.query["path"] = path.substr(queryStart + 6);
        }
        request.body = body.dump();
        try {
            return api.handle(request, ana);
        } catch (const Error &error) {
            return errorResponse(error);
        }
    }
    WebResponse set(int base, const std::string &id, const std::string &path, const std::string &key, const Json &value)
    {
        const Json change{{"path", path}, {"key", key}, {"value", value}};
        return call("PUT", "/v1/settings", {{"base_version", base}, {"write_id", id}, {"changes", {change}}});
    }
};

} // namespace

TEST_F(SettingsApiTest, changesExplainsAndResetsToInherited)
{
    EXPECT_EQ(set(0, "w1", "root", "worker.lease", "40s").status, 200);
    EXPECT_EQ(set(1, "w2", "domain baltic-north/muuga", "worker.lease", "50s").status, 200);
    const auto leaseAt = [&](const std::string &path) {
        const Json answer = Json::parse(call("GET", "/v1/settings/explain?path=" + path).body);
        for (const Json &it : answer["values"]) {
            if (it["key"] == "worker.lease") {
                return it["value"].get<std::string>() + " " + it["from"].get<std::string>();
            }
        }
        return std::string();
    };
    EXPECT_EQ(leaseAt("domain baltic-north/muuga"), "50s domain baltic-north/muuga");
    EXPECT_EQ(leaseAt("domain baltic-north/paldiski"), "40s root");
    EXPECT_EQ(set(2, "w3", "domain baltic-north/muuga", "worker.lease", nullptr).status, 200);
    EXPECT_EQ(leaseAt("domain baltic-north/muuga"), "40s root");
    const Json history = Json::parse(call("GET", "/v1/settings/history").body)["history"];
    ASSERT_EQ(history.size(), 3U);
    EXPECT_EQ(history[0]["who"], "ana");
}

TEST_F(SettingsApiTest, conflictListsTheChangesSinceTheBaseVersion)
{
    EXPECT_EQ(set(0, "a", "root", "worker.lease", "40s").status, 200);
    const WebResponse second = set(0, "b", "root", "worker.lease", "60s");
    EXPECT_EQ(second.status, 409);
    const Json body = Json::parse(second.body);
    EXPECT_EQ(body["version"], 1);
    ASSERT_EQ(body["since"].size(), 1U);
    EXPECT_NE(body["since"][0].get<std::string>().find("40s"), std::string::npos);
    EXPECT_EQ(set(0, "a", "root", "worker.lease", "40s").status, 200); // the same write_id again is idempotent
}

TEST_F(SettingsApiTest, reportsAllErrorsAndWritesNothing)
{
    const Json changes{{{"path", "root"}, {"key", "worker.lease"}, {"value", "1ms"}},
                       {{"path", "root"}, {"key", "no.such"}, {"value", "1"}}};
    const WebResponse refused
        = call("PUT", "/v1/settings", {{"base_version", 0}, {"write_id", "w"}, {"changes", changes}});
    EXPECT_EQ(refused.status, 400);
    EXPECT_EQ(Json::parse(refused.body)["faults"].size(), 2U);
    EXPECT_EQ(set(0, "w", "galaxy x", "worker.lease", "40s").status, 400);
    EXPECT_EQ(call("PUT", "/v1/settings", {{"write_id", "w"}}).status, 400);
    EXPECT_EQ(Json::parse(call("GET", "/v1/settings").body)["version"], 0);
}

TEST_F(SettingsApiTest, importsExportedSettings)
{
    EXPECT_EQ(set(0, "w1", "root", "worker.lease", "40s").status, 200);
    const Json exported = Json::parse(call("GET", "/v1/settings").body);
    EXPECT_EQ(set(1, "w2", "root", "worker.lease", "50s").status, 200);
    const Json body{{"base_version", 2}, {"write_id", "w3"}, {"ini", exported["ini"]}};
    EXPECT_EQ(call("PUT", "/v1/settings/import", body).status, 200);
    EXPECT_EQ(Json::parse(call("GET", "/v1/settings").body)["ini"], exported["ini"]);
    const Json invalid{{"ini", "[root]\nworker.lease = 1ms\n"}};
    const Json validation = Json::parse(call("POST", "/v1/settings/validate", invalid).body);
    EXPECT_EQ(validation["valid"], false);
    EXPECT_EQ(validation["faults"][0]["line"], 2);
}

TEST_F(SettingsApiTest, resolvesALostWriteResponseAndFailsDuringAnOutage)
{
    backend.faulty.loseWriteAnswers = 1;
    EXPECT_EQ(set(0, "w1", "root", "worker.lease", "40s").status, 200);
    EXPECT_EQ(Json::parse(call("GET", "/v1/settings").body)["version"], 1);
    backend.faulty.down = true;
    EXPECT_EQ(set(1, "w2", "root", "worker.lease", "50s").status, 503);
}
