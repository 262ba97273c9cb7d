/** The whole request path over real sockets: callers' answers, and executions by the upstreams. */
#include "pathrig.h"

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace QuetzalRock::Test;

TEST(RequestPath, ForwardsRequestAndWholeAnswer)
{
    PathRig rig(2);
    const HttpReply reply = rig.lookup("berth?x=1&y=%20z");
    EXPECT_EQ(reply.status, 200);
    EXPECT_NE(reply.body.find("/lookup/berth?"), std::string::npos) << reply.body;
    EXPECT_NE(reply.body.find("y=%20z"), std::string::npos) << reply.body;
    const HttpReply booked = rig.book("b1", "", "two holds");
    EXPECT_EQ(booked.status, 200);
    EXPECT_EQ(booked.body, "b1 /book two holds");
    EXPECT_EQ(rig.ledger.count("b1"), 1);
}

TEST(RequestPath, ForwardsDeadlineToUpstream)
{
    PathRig rig(1);
    const HttpCall call{"GET", "/lookup/a", {"Quetzalrock-Deadline-Ms: 9000"}, ""};
    EXPECT_EQ(HttpCaller(rig.front.port()).call(call).status, 200);
    const int left = std::stoi(rig.upstreams[0]->lastDeadlineHeader());
    EXPECT_GT(left, 0);
    EXPECT_LE(left, 9000);
}

TEST(RequestPath, UnknownPathIsRejected)
{
    PathRig rig(1);
    EXPECT_EQ(HttpCaller(rig.front.port()).call({"GET", "/nowhere", {}, ""}).status, 404);
    EXPECT_EQ(rig.upstreams[0]->requests(), 0U);
}

TEST(RequestPath, RequestWithoutInstancesIsNotRun)
{
    PathRig rig(0);
    const HttpReply reply = rig.book("b1", "k1");
    EXPECT_EQ(reply.status, 503);
    EXPECT_TRUE(reply.headContains("Retry-After"));
    EXPECT_TRUE(reply.headContains("Quetzalrock-Outcome: not_run"));
    EXPECT_NE(reply.body.find("\"error\":\"not_run\""), std::string::npos);
}
