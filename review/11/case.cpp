/** A job is shown as failed although none of its runs has ended failed: two of its minions have crashed. */
#include "../standin3/standin.h"

using namespace standin;

namespace {

constexpr Ms DownMs = 2000; ///< of a crashed minion
constexpr Ms Cpu = 1000;
constexpr Ms TaskMs = 8000;
constexpr unsigned Tasks = 20;
constexpr int Minions = 10;

void run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    const std::string temporary = makeTemporaryFolder();
    RunLog log;
    Store store;
    std::vector<std::unique_ptr<Minion>> minions;
    for (int i = 0; i < Minions; ++i) {
        Minion::Settings it;
        it.id = "m" + std::to_string(i);
        it.service = "booking";
        it.zone = "muuga";
        it.labels = {"standard", "r" + std::to_string(i / 5)};
        it.capacity = {32'000, 125'000, 0};
        it.shapeOf = [](const std::string &) { return TaskShape{TaskMs, {Cpu, 256, 0}}; };
        minions.push_back(std::make_unique<Minion>(std::move(it), record, log));
    }
    Heartbeats heartbeats(store, minions);
    store.put("op/config",
              json{{"version", 3},
                   {"routes",
                    {{{"name", "q"},
                      {"host", "queue.example"},
                      {"prefix", "/q/"},
                      {"service", "booking"},
                      {"maxAttempts", 3}}}},
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
    const std::string key = jobKey(1);
    const json step{{"count", Tasks}, {"cpu", Cpu}, {"memMb", 256}, {"estimateMs", TaskMs}};
    const Answer answer = call(a.address(), "POST", "/q/" + key, json{{"spec", "x"}, {"steps", {step}}}.dump());
    record.write("POST ", key, " -> ", answer.status);
    if (answer.status != 200) {
        finish(CouldNotRun);
    }
    /** Waits for the first start of at least @p count that began after @p since. */
    const auto waitForStarts = [&](std::size_t count, Ms since, Ms timeoutMs) {
        std::vector<RunEvent> starts;
        const Ms until = nowMs() + timeoutMs;
        while (nowMs() < until && starts.size() < count) {
            starts.clear();
            for (const RunEvent &it : log.events()) {
                if (it.what == "start" && it.at >= since) {
                    starts.push_back(it);
                }
            }
            sleepMs(10);
        }
        return starts;
    };
    const auto crash = [&](const std::string &id) {
        Minion &minion = *minions[static_cast<std::size_t>(std::stoi(id.substr(1)))];
        minion.crash();
        std::thread([&minion] {
            sleepMs(DownMs);
            minion.restart();
        }).detach();
    };
    const std::vector<RunEvent> first = waitForStarts(Tasks, 0, 5000);
    if (first.size() < Tasks) {
        record.write("the tasks did not start");
        finish(CouldNotRun);
    }
    if (hasTrouble()) {
        sleepMs(200);
        crash(first.front().minion);
        const std::vector<RunEvent> again = waitForStarts(1, nowMs(), 20'000);
        if (again.empty()) {
            record.write("no task was started again");
            finish(CouldNotRun);
        }
        sleepMs(200);
        crash(again.front().minion);
    }
    std::string state;
    for (const Ms until = nowMs() + 40'000; nowMs() < until; sleepMs(200)) {
        const Answer it = call(b.address(), "GET", "/q/" + key);
        if (it.status == 200 && it.body != state) {
            state = it.body;
            record.write("GET ", key, " -> ", it.body);
        }
        if (state.find("completed") != std::string::npos || state.find("failed") != std::string::npos) {
            break;
        }
    }
    std::map<std::string, int> ends;
    for (const RunEvent &it : log.events()) {
        ends[it.what] += it.what == "start" ? 0 : 1;
    }
    for (const auto &[how, n] : ends) {
        record.write("ends ", how, ": ", n);
    }
    const bool isBroken = state.find("\"failed\"") != std::string::npos && ends["failed"] == 0;
    record.write(isBroken ? "broken" : "held");
    finish(isBroken ? Broken : Held);
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
