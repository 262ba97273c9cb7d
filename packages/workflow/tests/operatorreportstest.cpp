/**
 * Faults that operators of similar systems have reported, brought about here: silent workers, hand-overs between processes,
 * pauses of a process, malformed data, restarts, lost answers.
 */
#include "rig.h"

#include <workflow/records.h>

namespace QuetzalRock::Workflow {

namespace {

constexpr auto Done = WorkflowState::Completed;

} // namespace

// ---------------------------------------------------------------------------------------------------------------------
// Malformed data and unexpected errors
// ---------------------------------------------------------------------------------------------------------------------

// Guards against an unexpected error in one decision that ends the process, or that leaves the shard without a leader.
TEST(OperatorReports, unexpectedErrorEndsTheTermOfTheLeaderOnly)
{
    Rig rig(2, 2);
    rig.run(1s);
    int errors = 0;
    for (const auto &it : rig.nodes) {
        it->port.beforeStart = [&errors] {
            if (++errors <= 2) {
                throw std::length_error("unexpected");
            }
        };
    }
    rig.submit(0, Rig::makeJob("a", 4, 2));
    EXPECT_NO_THROW(rig.run(12s));
    EXPECT_GT(errors, 2);
    EXPECT_EQ(rig.state("a"), Done);
    EXPECT_TRUE(rig.fleet.violations.empty());
}

} // namespace QuetzalRock::Workflow
