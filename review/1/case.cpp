/**
 * Two runs of one task at a time: a leader that the store has replaced still has a call waiting at a minion, learns from it that
 * a step has ended, and starts the next one where its successor has not been yet. The successor, which was told of the same end,
 * takes it that the former leader cannot know of it.
 */
#include "deployment.h"
#include "orderproxy.h"

#include <memory>

using namespace Review;

namespace {

constexpr std::size_t Nodes = 3;
constexpr std::size_t Minions = 8;
constexpr std::int64_t PartitionMs = 5000; ///< of the leader from the store; core_cut lasts up to 5.5 s
constexpr std::int64_t LateMs = 2500;      ///< until the delayed order is carried out; applied_late allows 2 to 12 s
constexpr int Dependants = 16;
constexpr int Rounds = 4; ///< the former leader's next placement comes in time in about four of five

} // namespace

int main(int argc, char **argv)
{
    return runCase([&] {
        Deployment it(argc > 1 ? argv[1] : "review/1", Nodes, Minions);
        std::vector<std::unique_ptr<OrderProxy>> minionProxies;
        for (std::size_t i = 0; i < Minions; ++i) {
            const int port = freePort();
            minionProxies.push_back(std::make_unique<OrderProxy>(port, it.minionPort(i)));
            minionProxies.back()->start();
            it.setShownPort(i, port);
        }
        std::vector<int> ports;
        for (std::size_t i = 0; i < Nodes; ++i) {
            ports.push_back(freePort());
            it.setStorePort(i, ports[i]);
        }
        std::vector<std::unique_ptr<Proxy>> storeLinks;
        it.beforeNodes([&] {
            for (const int port : ports) {
                storeLinks.push_back(std::make_unique<Proxy>(port, it.storePort()));
                storeLinks.back()->start();
            }
        });
        it.start(queue(4));
        sleepMs(4000); // a leader reads all minions
        std::string task;
        for (int round = 1; round <= Rounds && task.empty(); ++round) {
            const std::string key = "00000000000000f" + std::to_string(round);
            const std::string path = "/q/" + key;
            const std::string first = key + ".0.0.0";
            const std::string until = it.folder() + "/first-step-ends-" + std::to_string(round);
            const json spec{
                {"steps",
                 {{{"until", until}, {"cpu", 2000}, {"mem", 512}}, {{"ms", 5000}, {"cpu", 2000}, {"mem", 512}}}}};
            const json body{
                {"spec", spec.dump()},
                {"steps",
                 {{{"count", 1}, {"cpu", 2000}, {"memMb", 512}, {"estimateMs", 5000}},
                  {{"count", Dependants}, {"cpu", 2000}, {"memMb", 512}, {"estimateMs", 5000}, {"after", {0}}}}}};
            if (!it.submit(path, body)) {
                throw std::runtime_error("the job was not accepted");
            }
            it.waitFor("the first step", 5000, [&] { return it.minionOf(first).has_value(); });
            const std::size_t runner = *it.minionOf(first);
            const std::size_t late = (runner + 1) % Minions;
            sleepMs(1500);
            std::uint64_t fence = 0;
            for (const LogLine &line : it.minionLog()) {
                fence = std::max(fence, line.fence);
            }
            std::optional<std::size_t> leader;
            if (it.isDisturbed()) {
                leader = it.leader();
                if (!leader) {
                    throw std::runtime_error("there is no leader");
                }
                minionProxies[late]->arm("/hold", fence);
                it.note("the leader " + it.nodeName(*leader) + " is partitioned from the store");
                storeLinks[*leader]->hold(true);
                const std::int64_t cutAt = steadyMs();
                it.waitFor("a successor that has read " + it.minionId(runner), 8000, [&] {
                    const std::vector<LogLine> log = it.minionLog();
                    return std::any_of(log.begin(), log.end(), [&](const LogLine &line) {
                        return line.minion == it.minionId(runner) && line.fence > fence;
                    });
                });
                std::ofstream(until) << "done";
                it.note("the first step ends at " + it.minionId(runner));
                it.waitFor("the delayed order", 2000, [&] { return minionProxies[late]->delayed().has_value(); });
                it.note("a hold of the successor at " + it.minionId(late)
                        + " gets no answer: " + minionProxies[late]->delayed()->body);
                sleepMs(LateMs);
                it.note("it is carried out: " + std::to_string(minionProxies[late]->release(2000).status));
                sleepMs(std::max<std::int64_t>(0, cutAt + PartitionMs - steadyMs()));
                storeLinks[*leader]->hold(false);
                it.note("the partition has healed");
            } else {
                std::ofstream(until) << "done";
            }
            std::string state;
            it.waitFor("the job's end", 60'000, [&] {
                sleepMs(500);
                state = it.state(path);
                return state == "completed" || state == "failed";
            });
            task = findOverlap(it.minionLog());
            it.note(task.empty() ? "held in this round" : "broken: two runs of " + task + " at a time");
            sleepMs(3000); // a leader reads all minions
        }
        return task.empty() ? ExitHeld : ExitBroken;
    });
}
