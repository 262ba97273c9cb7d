#include <membership/tests/world.h>

namespace QuetzalRock {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

std::vector<std::string> liveMembers(const Node &node)
{
    std::vector<std::string> names;
    for (const MemberView &it : node.membership.members()) {
        if (it.live) {
            names.push_back(it.info.name);
        }
    }
    return names;
}

using Names = std::vector<std::string>;

TEST(Heartbeat, roundTripsThroughJson)
{
    Heartbeat sent;
    sent.from = {"a", "r", "d", "1.2.3.4:5", 77, true};
    sent.platformOutage = seconds(3);
    sent.note = "7:\"x\"";
    sent.claims = {{"s1", 4}, {"s2", 5}};
    sent.heard = {{"b", 6, milliseconds(20), seconds(1), {{"s3", 9}}}};
    const Heartbeat got = decodeHeartbeat(encodeHeartbeat(sent));
    EXPECT_EQ(got.from, sent.from);
    EXPECT_EQ(got.platformOutage, sent.platformOutage);
    EXPECT_EQ(got.note, sent.note);
    EXPECT_EQ(got.claims, sent.claims);
    ASSERT_EQ(got.heard.size(), 1u);
    EXPECT_EQ(got.heard[0].age, sent.heard[0].age);
    EXPECT_EQ(got.heard[0].claims, sent.heard[0].claims);
    for (const char *text : {"", "[]", "{}", R"({"from":{"name":5}})", R"({"from":1,"away":"x"})"}) {
        EXPECT_THROW(decodeHeartbeat(text), InvalidArgument) << text;
    }
}

TEST(Membership, membersDiscoverEachOtherByRegistration)
{
    World world;
    for (const char *name : {"a", "b", "c"}) {
        world.start(name, "muuga");
    }
    world.start("z", "paldiski");
    world.run(seconds(3));
    EXPECT_EQ(liveMembers(*world.nodes["a"]), (Names{"b", "c"}));
    EXPECT_EQ(liveMembers(*world.nodes["c"]), (Names{"a", "b"}));
    EXPECT_EQ(liveMembers(*world.nodes["z"]), Names{});
    EXPECT_EQ(world.nodes["z"]->membership.electedMember("duty"), "z");
    EXPECT_EQ(world.nodes["a"]->membership.electedMember("duty"), world.nodes["b"]->membership.electedMember("duty"));
}

TEST(Membership, startsFromSeedsDuringPlatformOutage)
{
    World world;
    world.memberSettings.seeds = {World::addressOf("a"), World::addressOf("b")};
    world.start("a", "muuga").service.down = true;
    world.start("b", "muuga").service.down = true;
    world.run(seconds(5));
    EXPECT_EQ(liveMembers(*world.nodes["a"]), Names{"b"});
    EXPECT_EQ(liveMembers(*world.nodes["b"]), Names{"a"});
    EXPECT_GT(world.nodes["a"]->membership.platformOutage(), seconds(2));
}

TEST(Membership, keepsMembersDuringPlatformOutage)
{
    World world;
    world.start("a", "muuga");
    world.start("b", "muuga");
    world.run(seconds(3));
    for (auto &[name, node] : world.nodes) {
        node->service.down = true;
    }
    world.run(minutes(20)); // much longer than the lease and than forgetAfter
    EXPECT_EQ(liveMembers(*world.nodes["a"]), Names{"b"});
    world.healAll();
    world.run(seconds(15));
    EXPECT_EQ(world.platform.list("members/muuga/").size(), 2u);
    EXPECT_EQ(liveMembers(*world.nodes["b"]), Names{"a"});
}

TEST(Membership, delaysEligibilityOfReturningMember)
{
    World world;
    world.start("a", "muuga");
    world.start("b", "muuga");
    world.run(seconds(3));
    const auto viewOfB = [&] { return world.nodes["a"]->membership.members().at(0); };
    EXPECT_TRUE(viewOfB().eligible);
    world.pause("b");
    world.run(seconds(4));
    EXPECT_FALSE(viewOfB().live);
    world.resume("b");
    world.run(seconds(3));
    EXPECT_TRUE(viewOfB().live);
    EXPECT_FALSE(viewOfB().eligible);
    world.run(seconds(10));
    EXPECT_TRUE(viewOfB().eligible);
}

TEST(Membership, memberHeardIndirectlyIsLive)
{
    World world;
    for (const char *name : {"a", "b", "c"}) {
        world.start(name, "muuga");
    }
    world.run(seconds(3));
    world.cut("a", "b");
    world.run(seconds(20));
    EXPECT_EQ(liveMembers(*world.nodes["a"]), (Names{"b", "c"}));
    world.cut("c", "b");
    world.run(seconds(8));
    EXPECT_EQ(liveMembers(*world.nodes["a"]), Names{"c"});
}

TEST(Membership, restartReplacesFormerIncarnation)
{
    World world;
    Node &a = world.start("a", "muuga");
    world.start("b", "muuga");
    world.run(seconds(10));
    const std::vector<ShardClaim> before = a.membership.members().at(0).claims;
    EXPECT_FALSE(before.empty());
    MemberInfo restarted = world.nodes["b"]->membership.self();
    restarted.incarnation += 5;
    a.membership.updateMember(restarted, true);
    EXPECT_TRUE(a.membership.members().at(0).claims.empty());
    EXPECT_FALSE(a.membership.members().at(0).live);
    restarted.incarnation -= 6;
    a.membership.updateMember(restarted, true); // late registration of an older incarnation
    EXPECT_EQ(a.membership.members().at(0).info.incarnation, restarted.incarnation + 6);
}

TEST(Membership, ignoresForeignAndMalformedRegistrations)
{
    World world;
    Node &a = world.start("a", "muuga");
    const MemberInfo foreign{"x", "region", "paldiski", "x:1", 1};
    world.platform.compareAndSwap("members/muuga/x", 0, encodeMember(foreign), 0);
    world.platform.compareAndSwap("members/muuga/y", 0, "{", 0);
    world.run(seconds(3));
    EXPECT_TRUE(a.membership.members().empty());
    EXPECT_TRUE(a.membership.neighbours().empty());
    EXPECT_EQ(a.registry.counters().ignored, 2u);
}

TEST(Membership, removesSilentUnregisteredMembers)
{
    World world;
    Node &a = world.start("a", "muuga");
    world.start("b", "muuga");
    world.run(seconds(3));
    world.crash("b");
    world.run(minutes(5));
    EXPECT_EQ(a.membership.members().size(), 1u); // its lease has expired, but it may only be cut off
    world.run(minutes(7));
    EXPECT_TRUE(a.membership.members().empty());
}

TEST(Membership, vmListAffectsEligibilityButNotLiveness)
{
    World world;
    Node &a = world.start("a", "muuga");
    world.start("b", "muuga");
    world.run(seconds(15));
    Vm vm;
    vm.name = "b";
    vm.state = VmState::Leaving;
    a.membership.setVms({&vm, 1});
    EXPECT_TRUE(a.membership.members().at(0).live);
    EXPECT_FALSE(a.membership.members().at(0).eligible);
    world.crash("b");
    vm.state = VmState::Gone;
    a.membership.setVms({&vm, 1});
    EXPECT_FALSE(
        a.membership.members().at(0).registered); // a Gone VM counts as unregistered although its lease has not expired
}

TEST(Membership, keepsOneSilentNeighbourPerDomain)
{
    World world;
    Node &a = world.start("a", "muuga");
    for (const char *name : {"x", "y", "z"}) {
        world.start(name, "paldiski");
    }
    world.run(seconds(3));
    world.clock.advance(seconds(60));
    world.run(seconds(3));
    EXPECT_EQ(a.membership.neighbours().size(), 3u);
    for (const char *name : {"x", "y", "z"}) {
        world.crash(name);
    }
    world.run(minutes(15));
    EXPECT_EQ(a.membership.neighbours().size(), 1u);
}

TEST(MemberRegistry, registersAgainAfterLeaseExpiryOrKeyRemoval)
{
    World world;
    world.start("a", "muuga");
    world.run(seconds(1));
    world.pause("a");
    world.run(seconds(40));
    EXPECT_TRUE(world.platform.list("members/").empty());
    world.resume("a");
    world.run(seconds(1));
    EXPECT_EQ(world.platform.list("members/").size(), 1u);
    const Revision revision = world.platform.get("members/muuga/a")->revision;
    world.platform.remove("members/muuga/a", revision);
    world.run(seconds(75));
    EXPECT_EQ(world.platform.list("members/").size(), 1u);
}

TEST(MemberRegistry, survivesLostAnswers)
{
    World world;
    Node &a = world.start("a", "muuga");
    a.service.loseWriteAnswers = 2;
    world.run(seconds(10));
    EXPECT_EQ(world.platform.list("members/muuga/").size(), 1u);
    EXPECT_EQ(a.membership.platformOutage(), Duration::zero());
}

TEST(MemberRegistry, staysWithinCallBudget)
{
    World world;
    Node &a = world.start("a", "muuga");
    world.run(seconds(1));
    const RegistryCounters before = a.registry.counters();
    // In production each step blocks in a watch. Here the watch returns at once, so the clock advances by 10 s instead,
    // the time until the next renewal.
    for (int i = 0; i < 60; ++i) {
        world.clock.advance(seconds(10));
        a.registry.step(Duration::zero());
    }
    const RegistryCounters after = a.registry.counters();
    EXPECT_LE(after.writes - before.writes, 60u);     // one renewal per 10 s
    EXPECT_LE(after.reads - before.reads, 60u + 11u); // one watch per 10 s, one listing per minute
}

} // namespace

} // namespace QuetzalRock
