/** A job of one client waits for as long as a task of another client runs, under which a minion has crashed twice. */
#include "../standin3/standin.h"

using namespace standin;

namespace {

constexpr Ms DownMs = 2000;     ///< of the crashed minion
constexpr Ms WorkMs = 3500;     ///< that the first job works until its minion crashes
constexpr Ms FinishMs = 14'000; ///< finish_s
constexpr Ms NothingMs = 3000;  ///< the 3 s of the rule
constexpr Ms WatchedMs = 8000;
constexpr Ms LongMs = 100'000; ///< of the first job's task
constexpr Ms Cpu = 4000;       ///< of each task
constexpr Ms CapacityCpu = 32'000;
constexpr int Minions = 10;

/** The minion that runs the job's task now; empty: none. */
std::string minionOf(const RunLog &log, const std::string &key)
{
    std::string minion;
    for (const RunEvent &it : log.events()) {
        if (it.task.starts_with(key + ".")) {
            minion = it.what == "start" ? it.minion : minion == it.minion ? std::string() : minion;
        }
    }
    return minion;
}

bool waitForRun(const RunLog &log, const std::string &key, Ms timeoutMs)
{
    const Ms until = nowMs() + timeoutMs;
    while (nowMs() < until && minionOf(log, key).empty()) {
        sleepMs(20);
    }
    return !minionOf(log, key).empty();
}

void run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    const std::string temporary = makeTemporaryFolder();
    RunLog log;
    Store store;
    std::vector<std::unique_ptr<Minion>> minions;
    for (int i = 0; i < Minions; ++i) {
        Minion::Settings settings;
        settings.id = "m" + std::to_string(i);
        settings.service = "booking";
        settings.zone = "muuga";
        settings.labels = {i == 0 ? "large" : "standard", "r" + std::to_string(i / 5)};
        settings.capacity = {CapacityCpu, 125'000, 0};
        settings.shapeOf = [](const std::string &spec) {
            return TaskShape{spec == "long" ? LongMs : 1000, {Cpu, 1024, 0}};
        };
        minions.push_back(std::make_unique<Minion>(std::move(settings), record, log));
    }
    Minion &large = *minions.front();
    Heartbeats heartbeats(store, minions);
    store.put("op/config",
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
    NodeProcess a(temporary, "edge-1", "muuga", store.address());
    NodeProcess b(temporary, "edge-2", "muuga", store.address());
    a.start();
    b.start();
    if (!a.waitUntilReady(10'000) || !b.waitUntilReady(10'000)) {
        record.write("the nodes are not ready");
        finish(CouldNotRun);
    }
    sleepMs(3000);
    const auto submit = [&](unsigned n, const std::string &spec, Ms durationMs) {
        const std::string key = jobKey(n);
        const json step{
            {"count", 1}, {"cpu", Cpu}, {"memMb", 1024}, {"estimateMs", durationMs}, {"requiredLabel", "large"}};
        const Answer answer = call(n % 2 == 0 ? a.address() : b.address(),
                                   "POST",
                                   "/q/" + key,
                                   json{{"spec", spec}, {"steps", {step}}}.dump());
        record.write("POST ", key, " (", spec, ") -> ", answer.status);
        if (answer.status != 200) {
            finish(CouldNotRun);
        }
        return key;
    };
    const std::string first = submit(1, "long", LongMs);
    for (int i = 0; i < 2; ++i) {
        if (!waitForRun(log, first, 8000)) {
            record.write("the first job does not run");
            finish(CouldNotRun);
        }
        sleepMs(WorkMs);
        if (hasTrouble()) {
            large.crash();
            sleepMs(DownMs);
            large.restart();
        }
    }
    if (!waitForRun(log, first, 8000)) {
        record.write("the first job does not run");
        finish(CouldNotRun);
    }
    sleepMs(WorkMs);
    const std::string second = submit(2, "short", 1000);
    const Ms lastPost = nowMs();
    record.write("end of the traffic; the job to watch is ", second);
    sleepMs(lastPost + FinishMs - nowMs());
    Ms nothingSince = 0;
    Ms longest = 0;
    bool isShown = false;
    for (const Ms until = nowMs() + WatchedMs; nowMs() < until; sleepMs(50)) {
        Ms used = 0;
        for (const auto &it : minions) {
            used += static_cast<Ms>(it->runningCount()) * Cpu;
        }
        const auto places = large.isUp() ? (CapacityCpu - static_cast<Ms>(large.runningCount()) * Cpu) / Cpu : 0;
        const Answer answer = call(a.address(), "GET", "/q/" + second);
        const bool isOver = answer.body.find("completed") != std::string::npos;
        const bool counts = !isOver && minionOf(log, second).empty() && places >= 2 && 2 * used < Minions * CapacityCpu;
        nothingSince = !counts ? 0 : nothingSince == 0 ? nowMs() : nothingSince;
        longest = std::max(longest, nothingSince == 0 ? 0 : nowMs() - nothingSince);
        if (!isShown) {
            isShown = true;
            record.write("GET ",
                         second,
                         " -> ",
                         answer.status,
                         " ",
                         answer.body,
                         "; places for its task on the minion with the label: ",
                         places,
                         "; CPU in use: ",
                         used,
                         " of ",
                         Minions * CapacityCpu);
        }
    }
    record.write("the second job had nothing running for ", longest, " ms of the last ", WatchedMs, " ms");
    const bool isBroken = longest >= NothingMs;
    record.write(isBroken ? "broken" : "held");
    finish(isBroken ? Broken : Held);
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
