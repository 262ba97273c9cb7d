#include <web/web.h>

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

std::string urlOf(const WebServer &server, const std::string &path)
{
    return "http://127.0.0.1:" + std::to_string(server.port()) + path;
}

} // namespace

TEST(Web, transmitsMethodPathQueryBodyAndCredentials)
{
    WebServer server({}, [](const WebRequest &request) {
        return WebResponse{201,
                           "text/plain",
                           request.method + request.path + request.query.at("q") + request.body + request.authorization,
                           0s};
    });
    WebClient client;
    WebCall call{"POST", urlOf(server, "/a%20b?q=x%2Fy"), "Bearer t", "body", 5s, {}};
    const WebResponse response = client.call(call);
    EXPECT_EQ(response.status, 201);
    EXPECT_EQ(response.body, "POST/a bx/ybodyBearer t");
}

TEST(Web, convertsErrorsToTypedResponses)
{
    WebServer server({}, [](const WebRequest &) -> WebResponse { throw NotRun("busy", 1500ms); });
    WebClient client;
    const WebResponse response = client.call({"GET", urlOf(server, "/"), {}, {}, 5s, {}});
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.retryAfter, 2s);
    EXPECT_NE(response.body.find("\"error\":\"not_run\""), std::string::npos);
}

TEST(Web, rejectsBodiesAboveTheLimit)
{
    WebServerSettings settings;
    settings.maxBodyBytes = 4096;
    std::atomic<int> handled = 0;
    WebServer server(settings, [&](const WebRequest &) {
        ++handled;
        return WebResponse{};
    });
    WebClient client;
    EXPECT_EQ(client.call({"POST", urlOf(server, "/"), {}, std::string(10000, 'x'), 5s, {}}).status, 413);
    EXPECT_EQ(handled, 0);
}

TEST(Web, reportsConnectionFailureAsUnavailable)
{
    std::string url;
    {
        WebServer server({}, [](const WebRequest &) { return WebResponse{}; });
        url = urlOf(server, "/");
    }
    WebClient client;
    EXPECT_THROW(client.call({"GET", url, {}, {}, 5s, {}}), Unavailable);
}
