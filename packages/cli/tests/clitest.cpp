#include <cli/commands.h>
#include <cli/table.h>
#include <web/web.h>

#include <gtest/gtest.h>

#include <cstdlib>
#include <sstream>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

struct Outcome
{
    int exitCode = 0;
    std::string out;
    std::string err;
};

Outcome run(std::vector<std::string> arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    Console console{out, err};
    const int exitCode = runCommand(std::move(arguments), console);
    return {exitCode, out.str(), err.str()};
}

/** An HTTP server that gives the same response to every request. */
struct FixedResponseServer
{
    explicit FixedResponseServer(const WebResponse &response)
        : server({}, [response](const WebRequest &) { return response; })
    {
    }
    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(server.port());
    }
    WebServer server;
};

} // namespace

TEST(Table, alignsColumnsToTheirWidestCell)
{
    Table table({"A", "LONG"});
    table.addRow({"wide", "x"});
    std::ostringstream out;
    table.print(out);
    EXPECT_EQ(out.str(), "A     LONG\nwide  x\n");
}

TEST(CommandLine, helpListsEveryCommandAndEachHasHelp)
{
    const Outcome help = run({"--help"});
    EXPECT_EQ(help.exitCode, 0);
    for (const Command &it : commands()) {
        EXPECT_NE(help.out.find(it.name), std::string::npos) << it.name;
        std::vector<std::string> arguments;
        std::istringstream words{std::string(it.name)};
        for (std::string word; words >> word;) {
            arguments.push_back(word);
        }
        arguments.emplace_back("--help");
        const Outcome commandHelp = run(arguments);
        EXPECT_EQ(commandHelp.exitCode, 0) << it.name << ": " << commandHelp.err;
    }
}

TEST(CommandLine, distinguishesUsageErrorsFromNotRun)
{
    EXPECT_EQ(run({}).exitCode, 2);
    EXPECT_EQ(run({"fly"}).exitCode, 2);
    EXPECT_EQ(run({"job", "create"}).exitCode, 2);
    EXPECT_EQ(run({"job", "create", "noslash", "--command", "x"}).exitCode, 2);
    std::string closedUrl;
    {
        closedUrl = FixedResponseServer({}).url();
    }
    const Outcome unreachable = run({"status", "--server", closedUrl});
    EXPECT_EQ(unreachable.exitCode, 3);
    EXPECT_NE(unreachable.err.find("--server"), std::string::npos);
}

TEST(CommandLine, convertsErrorsToExitCodesAndMessages)
{
    const std::vector<std::pair<Error, int>> cases{{NotRun("busy", 2s), 3},
                                                   {OutcomeUnknown("lost"), 4},
                                                   {NotFound("none"), 5},
                                                   {Conflict("taken"), 5},
                                                   {InvalidArgument("tasks", "tasks: too many"), 2},
                                                   {Error(ErrorCode::PermissionDenied, "no"), 5}};
    for (const auto &[error, exitCode] : cases) {
        const FixedResponseServer server(errorResponse(error));
        const Outcome outcome = run({"job", "cancel", "coop/x", "--server", server.url()});
        EXPECT_EQ(outcome.exitCode, exitCode) << error.what();
        EXPECT_NE(outcome.err.find(error.what()), std::string::npos);
        EXPECT_TRUE(outcome.out.empty());
    }
}

TEST(CommandLine, settingsConflictShowsTheChangesOfOthers)
{
    const FixedResponseServer server(
        {409, "application/json", R"({"error":"conflict","message":"moved on","since":["[root] note: a -> b"]})", 0s});
    const Outcome outcome = run({"settings", "set", "root", "note", "c", "--base", "1", "--server", server.url()});
    EXPECT_EQ(outcome.exitCode, 5);
    EXPECT_NE(outcome.err.find("[root] note: a -> b"), std::string::npos);
}

TEST(CommandLine, jobOfANodeOfAFleetShowsWhyItHasFailed)
{
    const FixedResponseServer server(
        {200, "application/json", R"({"state":"failed","reason":"task 0 of step 1 crashed 3 workers"})", 0s});
    const Outcome outcome = run({"job", "show", "/q/5c0e7a21d94b36f8", "--host", "queues", "--server", server.url()});
    EXPECT_EQ(outcome.exitCode, 0) << outcome.err;
    EXPECT_EQ(outcome.out, "/q/5c0e7a21d94b36f8: failed (task 0 of step 1 crashed 3 workers)\n");
}

TEST(CommandLine, finishedJobShowsEachTasksLastAttempt)
{
    const FixedResponseServer server({200,
                                      "application/json",
                                      R"({"phase":"failed","reason":"task 7-1/1: too many failures","tasks":[
        {"task":"7-1/0","attempt":1,"phase":"done","worker":"","progress":1.0,"failures":0,"reason":"",
         "last_end":{"attempt":1,"worker":"w4","state":"finished","cause":"worker_report","error":"",
                     "assigned_at_ms":1796367600000,"ended_at_ms":1796367689000}},
        {"task":"7-1/1","attempt":3,"phase":"ended","worker":"","progress":0.5,"failures":3,"reason":"",
         "last_end":{"attempt":3,"worker":"w2","state":"failed","cause":"worker_report","error":"exit code 1",
                     "assigned_at_ms":1796367600000,"ended_at_ms":1796367690000}},
        {"task":"7-1/2","attempt":0,"phase":"ended","worker":"","progress":0.0,"failures":0,
         "reason":"no attempt in the history","last_end":null}]})",
                                      0s});
    const Outcome outcome = run({"job", "show", "coop/x", "--server", server.url()});
    EXPECT_EQ(outcome.exitCode, 0) << outcome.err;
    std::istringstream lines(outcome.out);
    std::vector<std::string> rows;
    for (std::string line; std::getline(lines, line);) {
        rows.push_back(line);
    }
    ASSERT_EQ(rows.size(), 5U) << outcome.out;
    EXPECT_NE(rows[2].find("w4"), std::string::npos) << rows[2];
    EXPECT_NE(rows[2].find("2026-12-04T07:01:29Z  finished"), std::string::npos) << rows[2];
    EXPECT_NE(rows[3].find("w2"), std::string::npos) << rows[3];
    EXPECT_NE(rows[3].find("2026-12-04T07:01:30Z  failed: exit code 1"), std::string::npos) << rows[3];
    EXPECT_NE(rows[4].find("no attempt in the history"), std::string::npos) << rows[4];
}
