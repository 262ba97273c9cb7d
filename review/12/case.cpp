/** A task that was running on two minions as they crashed is not started again while every minion has other work. */
#include "../standin3/standin.h"

using namespace standin;

namespace {

constexpr Ms DownMs = 2000;     ///< of a crashed minion
constexpr Ms WorkMs = 3500;     ///< that the task works until its minion crashes, at least
constexpr Ms FinishMs = 14'000; ///< finish_s
constexpr Ms NothingMs = 3000;  ///< the 3 s of the rule
constexpr Ms WatchedMs = 15'000;
constexpr Ms Cpu = 4000; ///< of each task
constexpr Ms CapacityCpu = 32'000;
constexpr int Minions = 10;

struct Case
{
    Record record;
    const std::string temporary = makeTemporaryFolder();
    RunLog log;
    Store store;
    std::vector<std::unique_ptr<Minion>> minions;
    std::unique_ptr<Heartbeats> heartbeats;
    std::vector<std::unique_ptr<NodeProcess>> nodes;
    unsigned lastJob = 0;
    Ms lastPost = 0;

    explicit Case(const std::string &folder)
        : record(folder + "/record.txt")
    {
    }

    std::string submit(const std::string &spec, Ms durationMs)
    {
        const std::string key = jobKey(++lastJob);
        const json step{{"count", 1}, {"cpu", Cpu}, {"memMb", 1024}, {"estimateMs", durationMs}};
        const Answer answer
            = call(nodes[lastJob % 2]->address(), "POST", "/q/" + key, json{{"spec", spec}, {"steps", {step}}}.dump());
        lastPost = nowMs();
        record.write("POST ", key, " (", spec, ") -> ", answer.status);
        return answer.status == 200 ? key : std::string();
    }
    /** The minion that runs the job's task now; empty: none. */
    std::string minionOf(const std::string &key) const
    {
        std::string minion;
        for (const RunEvent &it : log.events()) {
            if (it.task.starts_with(key + ".")) {
                minion = it.what == "start" ? it.minion : minion == it.minion ? std::string() : minion;
            }
        }
        return minion;
    }
    bool waitForRun(const std::string &key, Ms timeoutMs) const
    {
        const Ms until = nowMs() + timeoutMs;
        while (nowMs() < until && minionOf(key).empty()) {
            sleepMs(20);
        }
        return !minionOf(key).empty();
    }
    Minion &minion(const std::string &id)
    {
        return *minions[static_cast<std::size_t>(std::stoi(id.substr(1)))];
    }
    void crashAndRestart(const std::string &id)
    {
        minion(id).crash();
        sleepMs(DownMs);
        minion(id).restart();
    }
    /** Hands in long jobs until the minion, which has just come back, has one. */
    bool fill(const std::string &id)
    {
        for (int i = 0; i < 4; ++i) {
            sleepMs(1800); // its entry is written within 1.5 s
            if (minion(id).runningCount() > 0) {
                return true;
            }
            const std::string key = submit("long", 100'000);
            if (key.empty() || !waitForRun(key, 3000)) {
                return false;
            }
        }
        return minion(id).runningCount() > 0;
    }
};

void run(const std::string &folder)
{
    Case it(folder);
    for (int i = 0; i < Minions; ++i) {
        Minion::Settings settings;
        settings.id = "m" + std::to_string(i);
        settings.service = "booking";
        settings.zone = "muuga";
        settings.labels = {"standard", "r" + std::to_string(i / 5)};
        settings.capacity = {CapacityCpu, 125'000, 0};
        settings.shapeOf = [](const std::string &spec) {
            return TaskShape{spec == "long" ? 100'000 : 25'000, {Cpu, 1024, 0}};
        };
        it.minions.push_back(std::make_unique<Minion>(std::move(settings), it.record, it.log));
    }
    it.heartbeats = std::make_unique<Heartbeats>(it.store, it.minions);
    it.store.put("op/config",
                 json{{"version", 3},
                      {"routes",
                       {{{"name", "q"},
                         {"host", "queue.example"},
                         {"prefix", "/q/"},
                         {"service", "booking"},
                         {"maxAttempts", 3},
                         {"stretchFactor", 3},
                         {"targetDurationMs", 1000}}}},
                      {"services", {{{"name", "booking"}, {"admissionControl", true}}}}}
                     .dump());
    for (const char *name : {"edge-1", "edge-2"}) {
        it.nodes.push_back(std::make_unique<NodeProcess>(it.temporary, name, "muuga", it.store.address()));
        it.nodes.back()->start();
    }
    if (!it.nodes[0]->waitUntilReady(10'000) || !it.nodes[1]->waitUntilReady(10'000)) {
        it.record.write("the nodes are not ready");
        finish(CouldNotRun);
    }
    sleepMs(2000);
    for (int i = 0; i < Minions + 4; ++i) {
        const bool hasEachOne = std::all_of(
            it.minions.begin(), it.minions.end(), [](const auto &minion) { return minion->runningCount() > 0; });
        if (hasEachOne) {
            break;
        }
        const std::string key = it.submit("long", 100'000);
        if (key.empty() || !it.waitForRun(key, 5000)) {
            it.record.write("a job did not start");
            finish(CouldNotRun);
        }
    }
    // A minion is down as the job arrives. It comes back, and the one that runs the job goes down.
    const std::string flaky = "m" + std::to_string(Minions - 1);
    if (hasTrouble()) {
        it.minion(flaky).crash();
    }
    const std::string victim = it.submit("victim", 25'000);
    if (victim.empty() || !it.waitForRun(victim, 5000)) {
        finish(CouldNotRun);
    }
    it.record.write("the job to watch is ", victim);
    const std::string first = it.minionOf(victim);
    sleepMs(DownMs);
    if (hasTrouble()) {
        it.minion(flaky).restart();
    }
    sleepMs(WorkMs);
    if (hasTrouble()) {
        it.crashAndRestart(first);
    }
    if (!it.waitForRun(victim, 5000) || !it.fill(first)) {
        it.record.write("the job was not started again, or no other work came to ", first);
        finish(CouldNotRun);
    }
    sleepMs(WorkMs);
    if (hasTrouble()) { // the first one once more
        const std::string second = it.minionOf(victim);
        if (second != flaky) {
            it.record.write("the job was started again on ", second.empty() ? "no minion" : second);
            finish(CouldNotRun);
        }
        it.crashAndRestart(flaky);
    }
    it.record.write("end of the traffic");
    sleepMs(it.lastPost + FinishMs - nowMs());
    Ms nothingSince = 0;
    Ms longest = 0;
    bool isShown = false;
    for (const Ms until = nowMs() + WatchedMs; nowMs() < until; sleepMs(50)) {
        Ms used = 0;
        int places = 0;
        for (const auto &minion : it.minions) {
            const Ms own = static_cast<Ms>(minion->runningCount()) * Cpu;
            used += own;
            places += minion->isUp() ? static_cast<int>((CapacityCpu - own) / Cpu) : 0;
        }
        const Answer answer = call(it.nodes[0]->address(), "GET", "/q/" + victim);
        const bool isOver = answer.body.find("completed") != std::string::npos;
        const bool counts = !isOver && it.minionOf(victim).empty() && places >= 2 && 2 * used < Minions * CapacityCpu;
        nothingSince = !counts ? 0 : nothingSince == 0 ? nowMs() : nothingSince;
        longest = std::max(longest, nothingSince == 0 ? 0 : nowMs() - nothingSince);
        if (!isShown) {
            isShown = true;
            it.record.write("GET ",
                            victim,
                            " -> ",
                            answer.status,
                            " ",
                            answer.body,
                            "; places for its task: ",
                            places,
                            "; CPU in use: ",
                            used,
                            " of ",
                            Minions * CapacityCpu);
        }
    }
    it.record.write("the job had nothing running for ", longest, " ms of the last ", WatchedMs, " ms");
    const bool isBroken = longest >= NothingMs;
    it.record.write(isBroken ? "broken" : "held");
    finish(isBroken ? Broken : Held);
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
