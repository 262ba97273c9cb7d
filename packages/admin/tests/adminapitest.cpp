#include <admin/adminapi.h>
#include <admin/jobjson.h>

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

/** Records all calls and keeps the submitted jobs in memory. */
class FakeBackend final : public ControlBackend
{
public:
    std::vector<JobSpec> submitted;
    std::vector<std::string> cancelled;
    std::string operatorName;
    bool isUnavailable = false;

    JobId submit(const JobSpec &spec) override
    {
        if (isUnavailable) {
            throw NotRun("the platform is unavailable", 2s);
        }
        submitted.push_back(spec);
        submitted.back().id = submitted.size();
        return submitted.back().id;
    }
    void cancel(std::string_view tenant, std::string_view name) override
    {
        cancelled.push_back(std::string(tenant) + "/" + std::string(name));
    }
    JobStatus describe(std::string_view tenant, std::string_view name) override
    {
        for (const JobSpec &it : submitted) {
            if (it.tenant == tenant && it.name == name) {
                JobStatus status;
                status.spec = it;
                return status;
            }
        }
        throw NotFound("no such work");
    }
    std::vector<JobStatus> jobs(JobId after, std::size_t limit) override
    {
        std::vector<JobStatus> page;
        for (const JobSpec &it : submitted) {
            if (it.id > after && page.size() < limit) {
                page.emplace_back();
                page.back().spec = it;
            }
        }
        return page;
    }
    ShardStatus shard() override
    {
        return {};
    }
    std::string history() override
    {
        return "{}\n";
    }
    void changeOperator(std::string_view name) override
    {
        operatorName = name;
    }
};

class FakeProcess final : public ProcessBackend
{
public:
    Json members() override
    {
        return Json::object();
    }
    Json debugState() override
    {
        return Json::object();
    }
};

class FakeSettings final : public SettingsBackend
{
public:
    SettingsDocument settings() override
    {
        return {};
    }
    SettingsDocument changeSettings(const SettingsEdit &) override
    {
        return {};
    }
    std::vector<DomainRollout> settingsInForce(std::uint64_t) override
    {
        return {};
    }
};

struct AdminApiTest : public testing::Test
{
    FakeBackend backend;
    FakeProcess process;
    FakeSettings settings;
    AdminApi api{backend,
                 process,
                 settings,
                 Credentials({{"root", "", Role::Operate, {hashToken("root")}},
                              {"farm", "coop", Role::Submit, {hashToken("farm-old"), hashToken("farm")}},
                              {"eye", "coop", Role::Read, {hashToken("eye")}}},
                             false)};

    WebResponse
    call(const std::string &method, const std::string &path, const std::string &token, const Json &body = {})
    {
        WebRequest request;
        request.method = method;
        const std::size_t queryStart = path.find('?');
        request.path = path.substr(0, queryStart);
        if (queryStart != std::string::npos) {
            const std::string query = path.substr(queryStart + 1);
            const std::size_t equals = query.find('=');
            request.query[query.substr(0, equals)] = query.substr(equals + 1);
        }
        request.authorization = token.empty() ? "" : "Bearer " + token;
        request.body = body.is_null() ? "" : body.dump();
        try {
            return api.handle(request);
        } catch (const Error &error) {
            return errorResponse(error);
        }
    }
    static Json job(const std::string &name)
    {
        return {{"name", name}, {"tenant", "coop"}, {"command", "run 5"}, {"cpu_millis", 1000}};
    }
};

} // namespace

TEST_F(AdminApiTest, createsListsByPageAndCancels)
{
    for (const char *name : {"a", "b", "c"}) {
        EXPECT_EQ(call("POST", "/v1/jobs", "farm", job(name)).status, 201);
    }
    EXPECT_EQ(call("POST", "/v1/services", "farm", job("s")).status, 201);
    const Json page = Json::parse(call("GET", "/v1/jobs?limit=2", "farm").body);
    EXPECT_EQ(page["items"].size(), 2U);
    const Json nextPage = Json::parse(call("GET", "/v1/jobs?after=" + page["next_after"].dump(), "farm").body);
    ASSERT_EQ(nextPage["items"].size(), 1U);
    EXPECT_EQ(nextPage["items"][0]["spec"]["name"], "c");
    EXPECT_EQ(call("DELETE", "/v1/jobs/coop/b", "farm").status, 202);
    EXPECT_EQ(backend.cancelled, std::vector<std::string>{"coop/b"});
    EXPECT_EQ(call("GET", "/v1/jobs/coop/s", "farm").status, 404);
}

TEST_F(AdminApiTest, reportsTheInvalidFieldAndSubmitsNothing)
{
    const std::vector<std::pair<Json, std::string>> invalidBodies{
        {Json::array(), "body"},
        {{{"tenant", "coop"}, {"command", "x"}}, "name"},
        {{{"name", "a"}, {"tenant", "coop"}, {"command", "x"}, {"colour", 1}}, "colour"},
        {{{"name", "a"}, {"tenant", "coop"}, {"command", "x"}, {"tasks", 0}}, "tasks"},
        {{{"name", "a"}, {"tenant", "coop"}, {"command", "x"}, {"tasks", 1.5}}, "tasks"},
        {{{"name", "a"}, {"tenant", "coop"}, {"command", "x"}, {"urgent", "yes"}}, "urgent"},
        {{{"name", "a/b"}, {"tenant", "coop"}, {"command", "x"}}, "name"},
        {{{"name", "a"}, {"tenant", "coop"}, {"command", "x"}, {"cpu_millis", -1}}, "cpu_millis"},
        {{{"name", "a"}, {"tenant", "coop"}, {"command", "x"}, {"latency_target_ms", 5}}, "latency_target_ms"},
    };
    for (const auto &[body, field] : invalidBodies) {
        const WebResponse response = call("POST", "/v1/jobs", "farm", body);
        EXPECT_EQ(response.status, 400) << body;
        EXPECT_EQ(Json::parse(response.body)["field"], field) << body;
    }
    WebRequest request;
    request.method = "POST";
    request.path = "/v1/jobs";
    request.authorization = "Bearer farm";
    request.body = "{\"name\": ";
    EXPECT_THROW(api.handle(request), InvalidArgument);
    EXPECT_EQ(call("PATCH", "/v1/jobs", "farm").status, 400);
    EXPECT_EQ(call("GET", "/v1/jobs?limit=many", "farm").status, 400);
    EXPECT_TRUE(backend.submitted.empty());
}

TEST_F(AdminApiTest, enforcesTheRoleOfEveryRoute)
{
    call("POST", "/v1/jobs", "farm", job("a"));
    const Json document = Json::parse(openApiDocument());
    for (const auto &[path, operations] : document["paths"].items()) {
        for (const auto &[method, operation] : operations.items()) {
            const std::string role = operation["x-role"];
            std::string requestPath = path;
            if (const std::size_t brace = requestPath.find("{tenant}"); brace != std::string::npos) {
                requestPath = requestPath.substr(0, brace) + "coop/a";
            }
            std::string upper;
            for (const char it : method) {
                upper += static_cast<char>(std::toupper(static_cast<unsigned char>(it)));
            }
            const Json body = operation.contains("x-example") ? operation["x-example"] : Json();
            if (const std::size_t n = requestPath.find("in-force"); n != std::string::npos) {
                requestPath += "?version=1";
            }
            const bool isPublic = role == "none";
            EXPECT_EQ(call(upper, requestPath, "", body).status == 401, !isPublic) << upper << path;
            EXPECT_EQ(call(upper, requestPath, "wrong", body).status == 401, !isPublic) << upper << path;
            const int asReader = call(upper, requestPath, "eye", body).status;
            EXPECT_EQ(asReader == 403, role == "submit" || role == "operate") << upper << path << asReader;
            const int asOperator = call(upper, requestPath, "root", body).status;
            EXPECT_TRUE(asOperator < 300 || asOperator == 404) << upper << path << asOperator;
        }
    }
}

TEST_F(AdminApiTest, rejectsAccessToOtherTenants)
{
    Json body = job("a");
    body["tenant"] = "agency";
    EXPECT_EQ(call("POST", "/v1/jobs", "farm", body).status, 403);
    EXPECT_EQ(call("POST", "/v1/jobs", "root", body).status, 201);
    EXPECT_EQ(call("GET", "/v1/jobs/agency/a", "farm").status, 403);
    EXPECT_EQ(call("DELETE", "/v1/jobs/agency/a", "farm").status, 403);
    EXPECT_EQ(call("GET", "/v1/jobs?tenant=agency", "farm").status, 403);
    EXPECT_EQ(Json::parse(call("GET", "/v1/jobs", "farm").body)["items"].size(), 0U);
    EXPECT_TRUE(backend.cancelled.empty());
}

TEST_F(AdminApiTest, acceptsOldAndNewTokenDuringRotation)
{
    EXPECT_EQ(call("GET", "/v1/status", "farm-old").status, 200);
    EXPECT_EQ(call("GET", "/v1/status", "farm").status, 200);
}

TEST_F(AdminApiTest, returnsNotRunWithRetryAfter)
{
    backend.isUnavailable = true;
    const WebResponse response = call("POST", "/v1/jobs", "farm", job("a"));
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.retryAfter, 2s);
    EXPECT_EQ(Json::parse(response.body)["error"], "not_run");
}

TEST(JobJson, taskShowsItsLatestEndIfThereIsOne)
{
    TaskStatus task;
    EXPECT_TRUE(toJson(task).at("last_end").is_null());
    EndedAttempt end;
    end.attempt = {{7, 1}, 3};
    end.worker = "w2";
    end.state = AttemptState::Failed;
    end.error = "exit code 1";
    end.assignedAt = WallTime(1000);
    end.endedAt = WallTime(2500);
    task.lastEnd = end;
    const Json expected{{"attempt", 3},
                        {"worker", "w2"},
                        {"state", "failed"},
                        {"cause", "worker_report"},
                        {"error", "exit code 1"},
                        {"assigned_at_ms", 1000},
                        {"ended_at_ms", 2500}};
    EXPECT_EQ(toJson(task).at("last_end"), expected);
}
