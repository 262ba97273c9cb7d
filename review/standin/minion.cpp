/**
 * Stand-in of one minion: runs tasks under leases, as the page "Running tasks" says.
 *
 *   minion --id ID --port PORT --store ADDRESS --zone ZONE --rack RACK --service NAME --log FILE
 *          [--cpu 32000] [--mem 128000] [--notice FILE]
 *
 * A job's `spec` tells it what the tasks do: {"steps":[{"ms":4000,"cpu":2000,"mem":100,"saves":true,"lasts":true,
 * "fails":1,"until":"FILE"}]}; "fails": the first so many attempts seen here end as failed; "until": done as soon as the file
 * exists. Each line of the log is
 * "WALL_MS ID BORN EVENT ...", with the events up, fence, start, end, seen and refuse.
 *
 * SIGKILL is a crash. SIGTERM is a planned shutdown: it reports `draining`, serves for drainMs and exits.
 */
#include "common.h"

#include <condition_variable>
#include <deque>
#include <iostream>
#include <mutex>
#include <vector>

namespace {

using namespace Review;

constexpr std::int64_t HeartbeatMs = 1500;
constexpr std::int64_t HoldMaxMs = 10'000;
constexpr std::int64_t CheckpointMs = 1000;
constexpr std::int64_t RestoreMs = 250;
constexpr std::int64_t StartupMs = 500; ///< of a task that lasts, until its percent is 100
constexpr std::int64_t StopMs = 50;
constexpr std::size_t MaxEnds = 500;

std::atomic<bool> isTerminating = false;

struct Settings
{
    std::string id, store, zone, rack, service, log;
    std::int64_t cpu = 0;
    std::int64_t mem = 0;
    std::int64_t drainMs = 2000;
};

struct Run
{
    std::string task;
    std::uint64_t attempt = 0;
    json step;
    std::int64_t startedAt = 0; ///< steadyMs
    std::int64_t saved = 0;     ///< ms of work that the checkpoint holds
    std::int64_t resumed = 0;   ///< ms of work when it was started
    std::int64_t percent = 100; ///< pace
    std::int64_t stopAt = 0;    ///< 0: it is not being stopped
};

struct End
{
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t attempt = 0;
    std::string how;
    std::string saved;
};

std::string checkpointText(std::int64_t ms)
{
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(ms));
    return ms == 0 ? "" : text;
}

class Minion
{
public:
    explicit Minion(Settings settings)
        : m_settings(std::move(settings))
        , m_born(wallMs())
        , m_startedAt(steadyMs())
        , m_log(::open(m_settings.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    {
        write("up");
    }

    Answer handle(const Message &request)
    {
        if (request.target == "/healthz") {
            return {200};
        }
        const auto expected = request.headers.find("x-quetzalrock-expect-instance");
        if (expected != request.headers.end() && expected->second != m_settings.id) {
            return {421};
        }
        const json body = parseBody(request.body);
        std::unique_lock lock(m_mutex);
        advance();
        const std::uint64_t fence = body.value("fenceToken", std::uint64_t{0});
        if (fence < m_fence) {
            write("refuse fence " + body.value("task", std::string("hold")));
            return rejection("fence");
        }
        if (fence > m_fence) {
            write("fence " + std::to_string(fence));
        }
        m_fence = fence;
        if (request.target == "/run-start") {
            return start(body);
        }
        if (request.target == "/run-stop") {
            return stop(body);
        }
        if (request.target == "/pace") {
            for (Run &it : m_runs) {
                if (it.task == body.at("task") && it.attempt == body.at("attempt")) {
                    it.percent = body.at("percent");
                }
            }
            return {200, {{"clockMs", clock()}}};
        }
        if (request.target == "/hold") {
            return hold(lock, body);
        }
        return {404};
    }

    void runInBackground()
    {
        while (true) {
            sleepMs(5);
            const std::lock_guard lock(m_mutex);
            advance();
        }
    }

    void beat()
    {
        std::int64_t drainingSince = 0;
        while (true) {
            if (isTerminating && drainingSince == 0) {
                drainingSince = steadyMs();
            }
            const std::int64_t left
                = drainingSince == 0 ? 0 : std::max<std::int64_t>(0, drainingSince + m_settings.drainMs - steadyMs());
            json entry{{"service", m_settings.service},
                       {"address", "127.0.0.1:" + std::to_string(m_port)},
                       {"zone", m_settings.zone},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", drainingSince == 0 ? "ready" : "draining"},
                       {"coldLeftMs", 0},
                       {"capacity", {{"cpu", m_settings.cpu}, {"memMb", m_settings.mem}, {"gpu", 0}}},
                       {"labels", {"a", m_settings.rack}},
                       {"clockMs", clock()},
                       {"born", m_born},
                       {"sequence", ++m_sequence}};
            if (drainingSince != 0) {
                entry["remainingMs"] = left;
            }
            const json put{{"key", "servers/" + m_settings.id}, {"value", entry.dump()}};
            request(m_settings.store, "POST", "/admin/put", put.dump(), 1000);
            if (drainingSince != 0 && left == 0) {
                request(
                    m_settings.store, "POST", "/admin/remove", json{{"key", "servers/" + m_settings.id}}.dump(), 1000);
                write("gone");
                std::_Exit(0);
            }
            for (int i = 0; i < HeartbeatMs / 50 && (drainingSince != 0 || !isTerminating); ++i) {
                sleepMs(50);
            }
        }
    }

    void setPort(int port)
    {
        m_port = port;
    }

private:
    std::int64_t clock() const
    {
        return steadyMs() - m_startedAt;
    }

    void write(const std::string &text) const
    {
        const std::string line
            = std::to_string(wallMs()) + " " + m_settings.id + " " + std::to_string(m_born) + " " + text + "\n";
        [[maybe_unused]] const auto n = ::write(m_log, line.data(), line.size());
    }

    Answer rejection(const char *reason) const
    {
        return {409, {{"clockMs", clock()}, {"reason", reason}}};
    }

    std::int64_t workOf(const Run &it) const
    {
        const std::int64_t restored = it.resumed > 0 ? RestoreMs : 0;
        const std::int64_t ran = std::max<std::int64_t>(0, steadyMs() - it.startedAt - restored);
        return it.resumed + ran * it.percent / 100;
    }

    void end(const Run &run, const char *how)
    {
        const bool saves = run.step.value("saves", false) && std::string(how) != "done";
        m_ends.push_back({++m_lastEnd, run.task, run.attempt, how, saves ? checkpointText(run.saved) : ""});
        std::uint64_t &highest = m_highestEnded[run.task];
        highest = std::max(highest, run.attempt);
        write("end " + run.task + " " + std::to_string(run.attempt) + " " + how + " " + std::to_string(m_lastEnd));
    }

    /** Ends the runs that are due. */
    void advance()
    {
        const std::int64_t now = steadyMs();
        const bool isLapsed = clock() >= m_leaseUntil;
        const std::size_t before = m_ends.size();
        std::vector<Run> left;
        for (Run &it : m_runs) {
            const std::int64_t work = workOf(it);
            if (it.step.value("saves", false)) {
                it.saved = std::max(it.saved, work / CheckpointMs * CheckpointMs);
            }
            if (isLapsed) {
                end(it, "lapsed");
            } else if (it.stopAt != 0 && now >= it.stopAt) {
                it.saved = it.step.value("saves", false) ? work : 0;
                end(it, "stopped");
            } else if (isDone(it, work)) {
                const bool fails = it.step.value("fails", 0) > 0
                                   && static_cast<int>(++m_failures[it.task]) <= it.step.value("fails", 0);
                end(it, fails ? "failed" : "done");
            } else {
                left.push_back(it);
            }
        }
        m_runs = std::move(left);
        if (m_ends.size() != before) {
            m_changed.notify_all();
        }
    }

    static bool isDone(const Run &it, std::int64_t work)
    {
        if (it.step.contains("until")) {
            return ::access(it.step.at("until").get<std::string>().c_str(), F_OK) == 0;
        }
        return !it.step.value("lasts", false) && work >= it.step.value("ms", std::int64_t{1000});
    }

    void extendLease(std::int64_t deadline)
    {
        m_leaseUntil = std::max(m_leaseUntil, std::min(deadline, clock() + HoldMaxMs));
    }

    Answer start(const json &body)
    {
        const std::string task = body.at("task");
        const std::uint64_t attempt = body.at("attempt");
        const std::int64_t deadline = body.at("deadlineMs");
        if (clock() > deadline) {
            write("refuse late " + task + " " + std::to_string(attempt));
            return rejection("late");
        }
        for (const Run &it : m_runs) {
            if (it.task == task && it.attempt == attempt) {
                return {200, {{"clockMs", clock()}}};
            }
        }
        extendLease(deadline);
        const auto ended = m_highestEnded.find(task);
        if (ended != m_highestEnded.end() && attempt <= ended->second) {
            write("refuse old " + task + " " + std::to_string(attempt));
            return rejection("old");
        }
        const json spec = parseBody(body.value("spec", std::string()));
        Run run;
        run.task = task;
        run.attempt = attempt;
        run.step = spec.at("steps").at(stepOf(task));
        run.startedAt = steadyMs();
        const std::string checkpoint = body.value("checkpoint", std::string());
        run.saved = run.resumed = checkpoint.empty() ? 0 : std::stoll(checkpoint, nullptr, 16);
        std::int64_t cpu = run.step.value("cpu", std::int64_t{0});
        std::int64_t mem = run.step.value("mem", std::int64_t{0});
        for (const Run &it : m_runs) {
            cpu += it.step.value("cpu", std::int64_t{0});
            mem += it.step.value("mem", std::int64_t{0});
        }
        if (cpu > m_settings.cpu || mem > m_settings.mem) {
            write("refuse room " + task + " " + std::to_string(attempt));
            return rejection("room");
        }
        m_runs.push_back(run);
        write("start " + task + " " + std::to_string(attempt) + " from " + std::to_string(run.resumed) + " fence "
              + std::to_string(m_fence) + " deadline " + std::to_string(deadline) + " clock "
              + std::to_string(clock()));
        return {200, {{"clockMs", clock()}}};
    }

    static std::size_t stepOf(const std::string &task)
    {
        const std::size_t a = task.find('.');
        const std::size_t b = task.find('.', a + 1);
        return std::stoul(task.substr(b + 1));
    }

    Answer stop(const json &body)
    {
        const std::string task = body.at("task");
        const std::uint64_t attempt = body.at("attempt");
        for (Run &it : m_runs) {
            if (it.task == task && it.attempt == attempt && it.stopAt == 0) {
                it.stopAt = steadyMs() + StopMs;
            }
        }
        std::uint64_t &highest = m_highestEnded[task];
        highest = std::max(highest, attempt);
        return {200, {{"clockMs", clock()}}};
    }

    Answer hold(std::unique_lock<std::mutex> &lock, const json &body)
    {
        if (body.contains("deadlineMs")) {
            extendLease(body.at("deadlineMs"));
        }
        const std::uint64_t seen = body.value("lastSeen", std::uint64_t{0});
        while (!m_ends.empty() && m_ends.front().number <= seen) {
            write("seen " + m_ends.front().task + " " + std::to_string(m_ends.front().attempt) + " "
                  + m_ends.front().how);
            m_ends.pop_front();
        }
        const std::int64_t waitMs = body.value("waitMs", std::int64_t{0});
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), [this] { return !m_ends.empty(); });
        json running = json::array();
        for (const Run &it : m_runs) {
            const bool lasts = it.step.value("lasts", false);
            const std::int64_t total = lasts ? StartupMs : std::max<std::int64_t>(1, it.step.value("ms", 1000));
            running.push_back({it.task,
                               it.attempt,
                               it.step.value("saves", false) ? checkpointText(it.saved) : "",
                               std::min<std::int64_t>(100, workOf(it) * 100 / total),
                               it.step.value("cpu", std::int64_t{1})});
        }
        json finished = json::array();
        for (std::size_t i = 0; i < std::min(MaxEnds, m_ends.size()); ++i) {
            const End &it = m_ends[i];
            finished.push_back({it.number, it.task, it.attempt, it.how, it.saved});
        }
        return {200, {{"clockMs", clock()}, {"born", m_born}, {"running", running}, {"finished", finished}}};
    }

    Settings m_settings;
    std::int64_t m_born;
    std::int64_t m_startedAt;
    int m_log;
    int m_port = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::vector<Run> m_runs;
    std::deque<End> m_ends;
    std::uint64_t m_lastEnd = 0;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::map<std::string, int> m_failures;
    std::uint64_t m_sequence = 0;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, [](int) { isTerminating = true; });
    Settings settings;
    settings.id = argument(argc, argv, "id");
    settings.store = argument(argc, argv, "store");
    settings.zone = argument(argc, argv, "zone");
    settings.rack = argument(argc, argv, "rack");
    settings.service = argument(argc, argv, "service");
    settings.log = argument(argc, argv, "log");
    settings.cpu = std::stoll(argument(argc, argv, "cpu", "32000"));
    settings.mem = std::stoll(argument(argc, argv, "mem", "128000"));
    const int port = std::stoi(argument(argc, argv, "port"));
    try {
        Minion minion(settings);
        minion.setPort(std::stoi(argument(argc, argv, "shown-port", std::to_string(port))));
        std::thread([&minion] { minion.runInBackground(); }).detach();
        std::thread([&minion] { minion.beat(); }).detach();
        serve(port, [&minion](const Message &it) {
            try {
                return minion.handle(it);
            } catch (const std::exception &error) {
                std::cerr << "minion: " << it.target << ": " << error.what() << std::endl;
                return Answer{400, {{"error", error.what()}}};
            }
        });
    } catch (const std::exception &error) {
        std::cerr << "minion: " << error.what() << std::endl;
        return 1;
    }
}
