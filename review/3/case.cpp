/**
 * A job runs for good although its cancelling was acknowledged: the node that took it was partitioned from the store, its
 * write arrives after another node has answered the cancel with 410.
 */
#include "deployment.h"

using namespace Review;

namespace {

constexpr std::int64_t PartitionMs = 4000; ///< of one node from the store; core_cut lasts up to 5.5 s
constexpr std::int64_t CancelMs = 3000;
constexpr std::int64_t StopMs = 900;
constexpr std::int64_t ContactMs = 3000;
constexpr std::int64_t ObservedMs = 12'000; ///< after the last bound

} // namespace

int main(int argc, char **argv)
{
    return runCase([&] {
        Deployment it(argc > 1 ? argv[1] : "review/3", 3, 4);
        const int port = freePort();
        std::optional<Proxy> link; // of node 0 to the store
        it.setStorePort(0, port);
        it.beforeNodes([&] {
            link.emplace(port, it.storePort());
            link->start();
        });
        it.start(queue(2));
        const std::string key = "00000000000000c1";
        const std::string path = "/q/" + key;
        const json spec{{"steps", {{{"lasts", true}, {"cpu", 2000}, {"mem", 512}}}}};
        const json body{{"spec", spec.dump()},
                        {"steps", {{{"count", 1}, {"cpu", 2000}, {"memMb", 512}, {"longRunning", true}}}}};
        const std::int64_t cutAt = steadyMs();
        if (it.isDisturbed()) {
            it.note("node 0 is partitioned from the store");
            link->hold(true);
        }
        const Message handedIn = it.call(0, "POST", path, body.dump());
        // The client had no answer, or 504, and does not want the job any more.
        const Message cancelled = it.call(1, "DELETE", path);
        if (cancelled.status != 410 && (cancelled.status < 200 || cancelled.status >= 300)) {
            throw std::runtime_error("the cancel was not acknowledged");
        }
        const std::int64_t acknowledgedAt = steadyMs();
        if (it.isDisturbed()) {
            if (handedIn.status == 429 || handedIn.status == 503) {
                throw std::runtime_error("the job was refused");
            }
            sleepMs(std::max<std::int64_t>(0, cutAt + PartitionMs - steadyMs()));
            link->hold(false);
            it.note("the partition has healed");
        }
        const std::int64_t boundAt
            = std::max(acknowledgedAt, it.isDisturbed() ? steadyMs() + ContactMs : 0) + CancelMs + StopMs;
        bool isBroken = false;
        while (steadyMs() < boundAt + ObservedMs) {
            sleepMs(500);
            const bool runs = it.minionOf(key + ".0.0.0").has_value();
            if (steadyMs() > boundAt && runs) {
                isBroken = true;
            }
        }
        it.call(2, "GET", path);
        it.note(isBroken ? "broken: a task of the cancelled job runs" : "held");
        return isBroken ? ExitBroken : ExitHeld;
    });
}
