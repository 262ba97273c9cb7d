#include <membership/tests/world.h>

#include <rapidcheck/gtest.h>

#include <algorithm>

namespace QuetzalRock {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class OwnershipTest : public testing::Test
{
public:
    void startAll(const std::vector<std::string> &names)
    {
        for (const std::string &it : names) {
            world.start(it, "muuga");
        }
        world.run(seconds(10));
        world.expectSettled("muuga");
    }

    World world;
};

TEST_F(OwnershipTest, singleMemberOwnsEveryShard)
{
    startAll({"a"});
    EXPECT_EQ(world.owner("muuga", "s0"), "a");
    EXPECT_EQ(world.epoch("muuga", "s0"), 1u);
}

TEST_F(OwnershipTest, eachShardIsAcquiredOnceAtStart)
{
    startAll({"a", "b", "c"});
    for (const char *shard : {"s0", "s1", "s2"}) {
        EXPECT_EQ(world.epoch("muuga", shard), 1u);
    }
}

TEST_F(OwnershipTest, aCrashedOwnerIsReplacedWithinSeconds)
{
    startAll({"a", "b", "c"});
    const std::string owner = world.owner("muuga", "s0");
    world.crash(owner);
    world.run(seconds(3) + seconds(1)); // suspectAfter, then the takeover by the first-ranked member
    EXPECT_EQ(world.owners("muuga", "s0").size(), 1u);
    world.run(seconds(3));
    world.expectSettled("muuga");
    EXPECT_EQ(world.epoch("muuga", "s0"), 2u);
}

TEST_F(OwnershipTest, gracefulShutdownHandsOverBeforeSuspectTimeout)
{
    startAll({"a", "b"});
    const std::string owner = world.owner("muuga", "s0");
    const int owned = static_cast<int>(world.nodes[owner]->host.owned.size());
    world.nodes[owner]->ownership.beginShutdown();
    EXPECT_EQ(world.nodes[owner]->host.releases, owned);
    world.run(seconds(2));
    EXPECT_EQ(world.owner("muuga", "s0"), owner == "a" ? "b" : "a");
    world.run(seconds(30));
    EXPECT_EQ(world.epoch("muuga", "s0"), 2u);
}

TEST_F(OwnershipTest, rollingReplacementKeepsEveryShardOwned)
{
    startAll({"a", "b"});
    const std::vector<std::string> former{"a", "b"};
    for (std::size_t i = 0; i < former.size(); ++i) {
        world.start("new" + std::to_string(i), "muuga");
        world.run(seconds(10));
        world.nodes[former[i]]->ownership.beginShutdown();
        world.run(seconds(2));
        world.nodes[former[i]]->registry.unregister();
        world.crash(former[i]);
        world.run(seconds(10));
        world.expectSettled("muuga");
    }
    for (const char *shard : {"s0", "s1", "s2"}) {
        EXPECT_TRUE(world.owner("muuga", shard).starts_with("new"));
        EXPECT_LE(world.epoch("muuga", shard), 3u);
    }
}

TEST_F(OwnershipTest, pausedOwnerDropsItsShardsAfterResuming)
{
    startAll({"a", "b"});
    const std::string owner = world.owner("muuga", "s0");
    world.pause(owner);
    world.run(seconds(10));
    EXPECT_EQ(world.owners("muuga", "s0").size(), 2u); // the paused member does not know yet that it was replaced
    world.resume(owner);
    world.run(seconds(1));
    EXPECT_EQ(world.owner("muuga", "s0"), owner == "a" ? "b" : "a");
    EXPECT_GE(world.nodes[owner]->host.drops, 1);
    world.run(seconds(5));
    world.expectSettled("muuga");
    EXPECT_EQ(world.epoch("muuga", "s0"), 2u);
}

TEST_F(OwnershipTest, domainWidePlatformOutageKeepsOwners)
{
    startAll({"a", "b", "c"});
    for (auto &[name, node] : world.nodes) {
        node->service.down = true;
    }
    world.run(minutes(15));
    for (auto &[name, node] : world.nodes) {
        EXPECT_EQ(node->ownership.counters().acquireFailures, 0u);
    }
    world.healAll();
    world.run(seconds(30));
    world.expectSettled("muuga");
    EXPECT_EQ(world.epoch("muuga", "s0"), 1u);
}

TEST_F(OwnershipTest, ownerWithoutPlatformAccessIsReplaced)
{
    startAll({"a", "b"});
    const std::string owner = world.owner("muuga", "s0");
    world.nodes[owner]->service.down = true;
    world.run(seconds(60));
    EXPECT_EQ(world.owner("muuga", "s0"), owner == "a" ? "b" : "a"); // the former owner has heard the higher epoch
    EXPECT_EQ(world.epoch("muuga", "s0"), 2u);
}

TEST_F(OwnershipTest, partitionedMembersBackOffTakeovers)
{
    startAll({"a", "b"});
    world.cut("a", "b");
    world.run(minutes(10));
    // Each member backs off for 30 s, then for 1 min (fencedBackoffMax of this fixture) after each loss of the shard.
    EXPECT_LE(world.epoch("muuga", "s0"), 24u);
    world.healAll();
    world.run(seconds(30));
    world.expectSettled("muuga");
}

TEST_F(OwnershipTest, aFlappingLinkDoesNotMakeOwnershipFlap)
{
    startAll({"a", "b"});
    for (int i = 0; i < 75; ++i) { // 75 * 8 s = 10 min
        world.cut("a", "b");
        world.run(seconds(5));
        world.heal("a", "b");
        world.run(seconds(3));
    }
    world.run(seconds(60));
    world.expectSettled("muuga");
    for (const char *shard : {"s0", "s1", "s2"}) {
        EXPECT_LE(world.epoch("muuga", shard), 4u);
    }
}

TEST_F(OwnershipTest, aCrashLoopDoesNotMakeOwnershipFlap)
{
    startAll({"a", "b", "c"});
    for (int i = 0; i < 60; ++i) {
        world.crash("b");
        world.run(seconds(5));
        world.start("b", "muuga");
        world.run(seconds(5));
    }
    for (const char *shard : {"s0", "s1", "s2"}) {
        EXPECT_LE(world.epoch("muuga", shard), 3u);
    }
}

TEST_F(OwnershipTest, rebalancesOnlyToSteadyMembers)
{
    startAll({"a"});
    std::vector<std::string> names{"b", "c", "d"};
    for (const std::string &it : names) {
        world.start(it, "muuga");
    }
    world.run(seconds(50));
    EXPECT_EQ(world.owner("muuga", "s0"), "a");
    world.run(minutes(2));
    world.expectSettled("muuga");
    names.push_back("a");
    for (const std::string shard : {"s0", "s1", "s2"}) {
        const auto best = std::max_element(names.begin(), names.end(), [&](const auto &x, const auto &y) {
            return rendezvousScore(shard, x) < rendezvousScore(shard, y);
        });
        EXPECT_EQ(world.owner("muuga", shard), *best);
        EXPECT_LE(world.epoch("muuga", shard), 2u);
    }
}

TEST_F(OwnershipTest, ignoresMembersOfOtherDomains)
{
    // Both failure domains have shards of the same names. If a claim of one domain counted in the other, one of them
    // would be left without an owner.
    world.start("z", "paldiski");
    world.run(seconds(10));
    startAll({"a"});
    world.expectSettled("paldiski");
    world.crash("a");
    world.run(minutes(2));
    EXPECT_TRUE(world.owners("muuga", "s0").empty());
    EXPECT_EQ(world.epoch("muuga", "s0"), 1u);
    EXPECT_EQ(world.epoch("paldiski", "s0"), 1u);
}

TEST_F(OwnershipTest, fencingOfAnotherEpochIsIgnored)
{
    startAll({"a"});
    Node &a = *world.nodes["a"];
    a.ownership.onFenced("s0", 0);
    a.ownership.onFenced("s0", 7);
    world.run(seconds(1));
    EXPECT_EQ(world.owner("muuga", "s0"), "a");
    a.ownership.onFenced("s0", 1);
    EXPECT_EQ(a.ownership.claims().size(), 2u);
}

// ---------------------------------------------------------------------------------------------------------------------
// Random faults, followed by a time without faults
// ---------------------------------------------------------------------------------------------------------------------

const std::vector<std::string> RandomNames{"a", "b", "c", "d"};

std::string randomName()
{
    return *rc::gen::elementOf(RandomNames);
}

std::string domainOf(const std::string &name)
{
    return name == "d" ? "paldiski" : "muuga";
}

void injectRandomFault(World &world)
{
    const std::string name = randomName();
    const bool up = world.nodes.contains(name);
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        if (up) {
            world.crash(name);
        }
        break;
    case 1:
        if (!up) {
            world.start(name, domainOf(name));
        }
        break;
    case 2:
        if (up && !world.nodes[name]->paused) {
            world.pause(name);
        }
        break;
    case 3:
        if (up && world.nodes[name]->paused) {
            world.resume(name);
        }
        break;
    case 4:
        if (up) {
            world.nodes[name]->service.down = !world.nodes[name]->service.down;
        }
        break;
    case 5:
        world.cut(name, randomName());
        break;
    case 6:
        world.heal(name, randomName());
        break;
    case 7:
        world.peers.loseAnswers[World::addressOf(name)] += 3;
        break;
    }
}

RC_GTEST_PROP(Ownership, afterAnyFaultsEachShardHasExactlyOneLiveOwner, ())
{
    World world;
    for (const std::string &it : RandomNames) {
        world.start(it, domainOf(it));
    }
    const int faults = *rc::gen::inRange(1, 25);
    for (int i = 0; i < faults; ++i) {
        injectRandomFault(world);
        world.run(milliseconds(*rc::gen::inRange(0, 12'000)));
    }
    world.peers.loseAnswers.clear();
    for (const std::string &it : RandomNames) {
        if (!world.nodes.contains(it)) {
            world.start(it, domainOf(it));
        }
    }
    world.healAll();
    world.run(minutes(3)); // longer than any back-off or rejoin delay of this fixture
    std::uint64_t before = 0;
    for (const std::string &shard : world.ownershipSettings.shards) {
        RC_ASSERT(world.owners("muuga", shard).size() == 1u);
        RC_ASSERT(world.owner("paldiski", shard) == "d");
        RC_ASSERT(world.journals.journals["muuga/" + shard].owner == world.owner("muuga", shard));
        RC_ASSERT(world.epoch("muuga", shard) <= static_cast<std::uint64_t>(2 * faults + 4));
        before += world.epoch("muuga", shard);
    }
    world.run(minutes(2));
    std::uint64_t after = 0;
    for (const std::string &shard : world.ownershipSettings.shards) {
        after += world.epoch("muuga", shard);
    }
    RC_ASSERT(after == before);
}

} // namespace

} // namespace QuetzalRock
