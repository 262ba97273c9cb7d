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

} // namespace

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
