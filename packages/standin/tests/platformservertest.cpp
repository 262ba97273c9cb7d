#include <platform/httpplatform.h>
#include <standin/platformserver.h>

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace std::chrono_literals;

struct PlatformServerTest : public testing::Test
{
    PlatformServerTest()
    {
        addWorkers(server.workers(), "muuga", 2, {32000, 125000, 0});
    }
    WebResponse setFaults(const std::string &body)
    {
        WebClient client;
        return client.call({"POST", "http://" + address + "/faults", {}, body, 5s, {}});
    }
    ManualClock clock;
    PlatformServer server{clock, 5s, "127.0.0.1:0"};
    std::string address = "127.0.0.1:" + std::to_string(server.port());
    HttpPlatform platform{{address, "", 5s}};
};

TEST_F(PlatformServerTest, transmitsBinaryValuesAndRevisions)
{
    const std::string bytes("\0\xff\x01 any", 7);
    const CasResult written = platform.compareAndSwap("a/b c", 0, bytes, 0);
    EXPECT_TRUE(written.swapped);
    EXPECT_EQ(platform.get("a/b c")->value, bytes);
    EXPECT_EQ(platform.get("none"), std::nullopt);
    EXPECT_FALSE(platform.compareAndSwap("a/b c", 0, "x", 0).swapped);
    EXPECT_EQ(platform.list("a/").size(), 1U);
    EXPECT_EQ(platform.watch("a/", 0, 0s).changed.size(), 1U);
}

TEST_F(PlatformServerTest, distinguishesOutageFromLostResponse)
{
    setFaults(R"({"lose_write_answers": 1})");
    EXPECT_THROW(platform.compareAndSwap("a", 0, "1", 0), OutcomeUnknown);
    EXPECT_EQ(platform.get("a")->value, "1");
    setFaults(R"({"down": true})");
    EXPECT_THROW(platform.compareAndSwap("b", 0, "1", 0), Unavailable);
    EXPECT_THROW(platform.get("a"), Unavailable);
}

TEST_F(PlatformServerTest, runsAndStopsTasks)
{
    StartCommand command;
    command.attempt = {{7, 0}, 1};
    command.startBefore = platform.report("muuga-w1").workerClock + 1s;
    command.resources = {1000, 10, 0};
    command.command = "serve";
    command.lease = 10s;
    platform.start("muuga-w1", command);
    EXPECT_EQ(platform.report("muuga-w1").attempts.at(0).state, AttemptState::Running);
    EXPECT_EQ(platform.report("muuga-w1").attempts.at(0).usage, Resources{});
    clock.advance(6s);
    EXPECT_EQ(platform.report("muuga-w1").attempts.at(0).usage, command.resources);
    platform.stop("muuga-w1", 0, command.attempt, StopMode::Kill);
    EXPECT_EQ(platform.report("muuga-w1").attempts.at(0).state, AttemptState::Stopped);
    platform.forget("muuga-w1", std::vector{command.attempt});
    EXPECT_TRUE(platform.report("muuga-w1").attempts.empty());
    EXPECT_THROW(platform.report("muuga-w9"), Unavailable);
    setFaults(R"({"vm": "muuga-w2", "state": "leaving"})");
    EXPECT_EQ(platform.vms().at(1).state, VmState::Leaving);
}
