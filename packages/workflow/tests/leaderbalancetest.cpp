/** Tests of which nodes lead which shards: campaigns after an outage, and shards that are handed over afterwards. */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

constexpr std::size_t Shards = 4; ///< of eight workers in shards of two

std::size_t ledBy(const Rig &rig, int node)
{
    std::size_t n = 0;
    for (ShardId i = 0; i < Shards; ++i) {
        n += rig.leader(i) == node ? 1 : 0;
    }
    return n;
}

std::size_t ledShards(const Rig &rig)
{
    return Shards - ledBy(rig, -1);
}

/** Stops all nodes until their leases have lapsed. */
void stopAll(Rig &rig)
{
    for (std::size_t i = 0; i < rig.nodes.size(); ++i) {
        rig.kill(static_cast<int>(i));
    }
    rig.run(3s);
}

} // namespace

// Guards against one leader of all shards: campaigns that began before an earlier one was won were not delayed by it, so the
// node that reached the store first after an outage won them all.
TEST(LeaderCampaign, nodeThatReachesTheStoreFirstDoesNotWinAllShards)
{
    Rig rig(3, 8, 2);
    rig.run(3s);
    ASSERT_EQ(rig.shardMap().shards.size(), Shards);
    stopAll(rig);
    rig.boot(0);
    rig.run(200ms);
    rig.boot(1);
    rig.boot(2);
    rig.run(2s);
    EXPECT_EQ(ledShards(rig), Shards);
    EXPECT_LE(ledBy(rig, 0), 2U);
}

// Guards against long outages: a single live node soon leads all shards.
TEST(LeaderCampaign, singleNodeLeadsAllShardsSoon)
{
    Rig rig(1, 8, 2);
    rig.run(3s);
    stopAll(rig);
    rig.boot(0);
    rig.run(1s);
    EXPECT_EQ(ledBy(rig, 0), Shards);
}

// Guards against a weak leader: a node that had not read the shard map yet campaigned for the first shard without delay.
TEST(LeaderCampaign, nodeReadsTheShardMapBeforeItCampaigns)
{
    Rig rig(2, 8, 2);
    rig.run(3s);
    stopAll(rig);
    for (int i = 0; i < 100; ++i) { // several pages, which are read before the map
        rig.backend.write("ctl/board/a" + std::to_string(i), "");
    }
    rig.processorShare = 0.1;
    rig.boot(0);
    rig.run(100ms);
    rig.processorShare = 1;
    rig.boot(1);
    rig.run(2s);
    EXPECT_EQ(rig.leader(0), 1);
}

} // namespace QuetzalRock::Workflow
