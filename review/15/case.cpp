/** A status of the shard whose write is done late replaces a later one: jobs that wait are not counted as pending. */
#include "../standin3/standin.h"

using namespace standin;

namespace {

constexpr Ms LateMs = 4000;    ///< done 1 to 6 s later
constexpr Ms VisibleMs = 3000; ///< visible_ms
constexpr Ms SettleMs = 2000;  ///< the 2 s of the rule
constexpr Ms ContactMs = 3000; ///< contactMs: the core is stable again so long after the last late write
constexpr Ms WatchedMs = 6000;
constexpr unsigned Jobs = 12;
constexpr const char *StatusKey = "ctl/status/0";

void run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    const std::string temporary = makeTemporaryFolder();
    RunLog log;
    Store store;
    std::vector<std::unique_ptr<Minion>> minions;
    for (int i = 0; i < 10; ++i) {
        Minion::Settings it;
        it.id = "m" + std::to_string(i);
        it.service = "booking";
        it.zone = "muuga";
        it.labels = {i == 0 ? "large" : "standard", "r" + std::to_string(i / 5)};
        it.capacity = {32'000, 125'000, 0};
        it.shapeOf = [](const std::string &spec) {
            return spec == "long" ? TaskShape{60'000, {32'000, 256, 0}} : TaskShape{1000, {1000, 256, 0}};
        };
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
    std::mutex mutex;
    bool isLosing = false;
    int writes = 0;
    int lost = 0;
    Ms lastDone = 0;
    store.onChange = [&](const json &body) -> Store::Plan {
        const std::lock_guard guard(mutex);
        if (!isLosing) {
            return {};
        }
        ++writes;
        for (const json &it : body.value("puts", json::array())) {
            if (it.at("key") == StatusKey && lost == 0) {
                ++lost;
                lastDone = nowMs() + LateMs;
                record.write("the store loses the answer to a write of the status, and does it ", LateMs, " ms later");
                return {LateMs};
            }
        }
        return {};
    };
    NodeProcess a(temporary, "edge-1", "muuga", store.address());
    NodeProcess b(temporary, "edge-2", "muuga", store.address());
    a.start();
    b.start();
    if (!a.waitUntilReady(10'000) || !b.waitUntilReady(10'000)) {
        record.write("the nodes are not ready");
        finish(CouldNotRun);
    }
    const auto begun = [&log](const std::string &key) {
        for (const RunEvent &it : log.events()) {
            if (it.what == "start" && it.task.starts_with(key + ".")) {
                return true;
            }
        }
        return false;
    };
    // Takes the only minion with the label, for a minute.
    const std::string first = jobKey(1);
    call(a.address(),
         "POST",
         "/q/" + first,
         json{{"spec", "long"},
              {"steps",
               {{{"count", 1}, {"cpu", 32'000}, {"memMb", 256}, {"estimateMs", 60'000}, {"requiredLabel", "large"}}}}}
             .dump());
    for (int i = 0; i < 100 && !begun(first); ++i) {
        sleepMs(100);
    }
    if (!begun(first)) {
        record.write("the first job did not start");
        finish(CouldNotRun);
    }
    sleepMs(3000);

    const auto submit = [&](unsigned n) {
        const std::string key = jobKey(100 + n);
        for (int i = 0; i < 20; ++i) { // the same job again until there is an answer
            const Answer answer = call(
                n % 2 == 0 ? a.address() : b.address(),
                "POST",
                "/q/" + key,
                json{
                    {"spec", "short"},
                    {"steps",
                     {{{"count", 1}, {"cpu", 1000}, {"memMb", 256}, {"estimateMs", 1000}, {"requiredLabel", "large"}}}}}
                    .dump());
            record.write("POST ", key, " -> ", answer.status);
            if (answer.status == 200) {
                return std::pair(key, nowMs());
            }
            sleepMs(100);
        }
        return std::pair(std::string(), Ms{0});
    };
    std::vector<std::pair<std::string, Ms>> accepted;
    if (hasTrouble()) {
        const std::lock_guard guard(mutex);
        isLosing = true;
        record.write("the store begins to lose answers");
    }
    for (unsigned i = 0; i < Jobs; ++i) {
        accepted.push_back(submit(i));
        sleepMs(150);
    }
    sleepMs(1500);
    {
        const std::lock_guard guard(mutex);
        isLosing = false;
        record.write("the store loses no more answers; lost ", lost, " of ", writes, " writes");
        if (hasTrouble() && (lost == 0 || 100 * lost > 35 * writes)) {
            finish(CouldNotRun);
        }
    }
    const Ms calmSince = std::max(lastDone, nowMs()) + ContactMs;
    const Ms from = std::max(calmSince, accepted.back().second + VisibleMs + SettleMs) + 100;
    sleepMs(from - nowMs());
    bool isBroken = false;
    int counts = 0;
    for (const Ms until = nowMs() + WatchedMs; nowMs() < until; sleepMs(250)) {
        for (const NodeProcess *node : {&a, &b}) {
            const Answer answer = call(node->address(), "GET", "/q/");
            std::size_t waiting = 0;
            for (const auto &[key, at] : accepted) {
                waiting += !key.empty() && !begun(key) ? 1 : 0;
            }
            if (answer.status != 200) {
                record.write("GET /q/ at ", node->name(), " -> ", answer.status);
                continue;
            }
            const std::size_t pending = json::parse(answer.body).at("pending");
            record.write("GET /q/ at ", node->name(), " -> pending ", pending, ", not begun ", waiting);
            ++counts;
            isBroken = isBroken || 2 * pending < waiting;
        }
    }
    record.write(isBroken ? "broken" : "held");
    finish(counts == 0 ? CouldNotRun : isBroken ? Broken : Held);
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
