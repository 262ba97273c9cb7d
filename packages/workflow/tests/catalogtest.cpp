/** Tests of how soon a node learns of a new catalog, and which requests it decides by the one that it knows. */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

// Bounds that callers are promised: a node decides by a new catalog this long after the catalog was stored, if it has
// reached the store for ContactTime.
constexpr Duration ApplyTime = 2s;
constexpr Duration ContactTime = 3s;

void writeCatalog(Rig &rig)
{
    ++rig.decoder.catalog.version;
    rig.backend.write("operator/config", std::to_string(rig.decoder.catalog.version));
}

void setSilent(Rig &rig, bool isSilent)
{
    for (const auto &it : rig.nodes) {
        it->store.callTimeout = DefaultStoreCallTimeout;
        it->store.isSilent = isSilent;
    }
}

/** Asks node 0 for a confirmed catalog; sets @p isConfirmed when it replies. */
void confirm(Rig &rig, std::optional<bool> &isConfirmed)
{
    rig.nodes[0]->node->confirmCatalog(rig.clock.now(), [&isConfirmed](bool it) { isConfirmed = it; });
}

} // namespace

// Guards against requests that are decided by an outdated catalog because the mirror's own call was lost in a silence of
// the store that is over (CONFIG on uurea-praam).
TEST(Catalog, isReadForARequestAsSoonAsTheStoreAnswers)
{
    for (Duration silence = 3s; silence <= 6s; silence += 100ms) {
        Rig rig(3, 4);
        rig.run(4s);
        setSilent(rig, true);
        rig.run(silence);
        writeCatalog(rig);
        setSilent(rig, false);
        std::optional<bool> isConfirmed;
        confirm(rig, isConfirmed);
        rig.run(2 * StepTime);
        EXPECT_EQ(isConfirmed, true) << "after a silence of " << toMilliseconds(silence) << " ms";
        EXPECT_EQ(rig.nodes[0]->node->catalog().version, rig.decoder.catalog.version);
    }
}

// Guards against a refusal that rests on knowledge which the store has not confirmed (404 instead of 503), and against
// requests that wait for a store that is known not to answer.
TEST(Catalog, isNotConfirmedWhileTheStoreIsSilent)
{
    Rig rig(3, 4);
    rig.run(4s);
    setSilent(rig, true);
    rig.run(4s);
    std::optional<bool> isConfirmed;
    confirm(rig, isConfirmed);
    EXPECT_FALSE(isConfirmed.has_value());
    rig.run(NodeSettings().confirmTimeout);
    EXPECT_EQ(isConfirmed, false);
    isConfirmed.reset();
    confirm(rig, isConfirmed);
    EXPECT_EQ(isConfirmed, false) << "the store is known not to answer: at once";
}

// Guards against any request that is decided by a catalog which was replaced more than ApplyTime before (CONFIG).
TEST(Catalog, noRequestIsDecidedByAnOutdatedOne)
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        std::minstd_rand random(seed);
        Rig rig(2, 4);
        rig.run(4s);
        TimePoint changeStateAt{};
        std::map<std::int64_t, TimePoint> storedAt; ///< by version
        int outdated = 0;
        const TimePoint until = rig.clock.now() + 30s;
        while (rig.clock.now() < until) {
            if (rig.clock.now() >= changeStateAt) {
                FakeStore &store = rig.nodes[0]->store;
                store.callTimeout = DefaultStoreCallTimeout;
                store.isSilent = random() % 2 == 0;
                store.isRefusing = !store.isSilent && random() % 4 == 0;
                changeStateAt = rig.clock.now() + Duration(1ms) * (random() % 4000);
            }
            if (random() % 40 == 0) {
                writeCatalog(rig);
                storedAt[rig.decoder.catalog.version] = rig.clock.now();
            }
            const TimePoint sentAt = rig.clock.now();
            Node &node = *rig.nodes[0]->node;
            node.confirmCatalog(sentAt, [&storedAt, &node, &outdated, sentAt](bool isConfirmed) {
                const auto next = storedAt.upper_bound(node.catalog().version);
                outdated += isConfirmed && next != storedAt.end() && sentAt > next->second + ApplyTime ? 1 : 0;
            });
            rig.run(10 * StepTime);
        }
        EXPECT_EQ(outdated, 0) << "seed " << seed;
    }
}

// Guards against a catalog that comes back older, or that is taken although it is invalid.
TEST(Catalog, olderOrUnreadableOneDoesNotReplaceIt)
{
    Rig rig(1, 4);
    rig.decoder.catalog.version = 6;
    writeCatalog(rig);
    rig.run(4s);
    const Node &node = *rig.nodes[0]->node;
    ASSERT_EQ(node.catalog().version, 7);
    rig.decoder.catalog.version = 3;
    writeCatalog(rig);
    rig.run(2s);
    EXPECT_EQ(node.catalog().version, 7);
    rig.decoder.catalog.version = 9;
    rig.backend.write("operator/config", "unreadable");
    rig.run(2s);
    EXPECT_EQ(node.catalog().version, 7);
    EXPECT_EQ(node.catalog().queues.size(), 1U);
}

// Guards against watches that wait for a store which was silent when they reached it, and so miss a catalog that was
// stored after its return (CONFIG on uurea-praam).
TEST(Catalog, isInForceInTimeAfterASilenceOfTheStore)
{
    for (Duration silence = 1s; silence <= 6s; silence += 100ms) {
        Rig rig(3, 4);
        rig.run(4s);
        setSilent(rig, true);
        rig.run(silence);
        setSilent(rig, false);
        rig.run(ContactTime - ApplyTime);
        writeCatalog(rig);
        rig.run(ApplyTime);
        for (const auto &it : rig.nodes) {
            EXPECT_EQ(it->node->catalog().version, rig.decoder.catalog.version)
                << "after a silence of " << toMilliseconds(silence) << " ms";
        }
    }
}

} // namespace QuetzalRock::Workflow
