/**
 * A small deployment for the review's cases: the stand-in platform, minions and the project's own nodes, each a process
 * on loopback, and the clients' calls.
 *
 * Everything that is sent, answered and run is written to record.txt in the case's folder.
 */
#pragma once

#include "common.h"
#include "proxy.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <vector>

extern char **environ;

namespace Review {

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;
constexpr std::int64_t LongestRunMs = 112'000; ///< a case that takes longer is ended, with all its processes

/** The processes that run. */
class ProcessList
{
public:
    static ProcessList &all()
    {
        static ProcessList it;
        return it;
    }

    void add(pid_t pid)
    {
        const std::lock_guard lock(m_mutex);
        m_pids.insert(pid);
    }

    void remove(pid_t pid)
    {
        const std::lock_guard lock(m_mutex);
        m_pids.erase(pid);
    }

    void killAll()
    {
        const std::lock_guard lock(m_mutex);
        for (const pid_t it : m_pids) {
            ::kill(it, SIGKILL);
        }
    }

private:
    std::mutex m_mutex;
    std::set<pid_t> m_pids;
};

/** A child process; killed when this object ends. */
class Process
{
public:
    Process() = default;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process()
    {
        end();
    }

    void start(std::vector<std::string> command, const std::string &output)
    {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        for (const int it : {STDOUT_FILENO, STDERR_FILENO}) {
            posix_spawn_file_actions_addopen(&actions, it, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        }
        std::vector<char *> arguments;
        for (std::string &it : command) {
            arguments.push_back(it.data());
        }
        arguments.push_back(nullptr);
        const int ec = posix_spawn(&m_pid, command[0].c_str(), &actions, nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        if (ec != 0) {
            m_pid = 0;
            throw std::runtime_error("cannot start " + command[0]);
        }
        ProcessList::all().add(m_pid);
    }

    void signal(int number) const
    {
        if (m_pid != 0) {
            ::kill(m_pid, number);
        }
    }

    /** Kills the process and waits for its end. */
    void end()
    {
        if (m_pid != 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            ProcessList::all().remove(m_pid);
            m_pid = 0;
        }
    }

private:
    pid_t m_pid = 0;
};

/** A port that is free now, below those that the system gives to outgoing connections. */
inline int freePort()
{
    static std::set<int> given;
    std::random_device random;
    while (true) {
        const int port = 16'000 + static_cast<int>(random() % 16'000);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree && given.insert(port).second) {
            return port;
        }
    }
}

struct LogLine
{
    std::int64_t at = 0; ///< wall ms
    std::string minion;
    std::int64_t born = 0;
    std::string event; ///< up, fence, start, end, seen, refuse, gone
    std::string task;
    std::uint64_t attempt = 0;
    std::string how;         ///< of an end
    std::uint64_t fence = 0; ///< a higher fencing token than before
};

/** A task of which two runs overlap on minions that are up; empty: none. A run ends with its end or its minion's next life. */
inline std::string findOverlap(const std::vector<LogLine> &log, const std::map<std::string, std::int64_t> &crashes = {})
{
    std::map<std::string, std::map<std::string, std::int64_t>> running; // task to minions, with the times of the starts
    for (const LogLine &it : log) {
        for (auto &[task, minions] : running) {
            std::erase_if(minions, [&](const auto &run) {
                const auto crash = crashes.find(run.first);
                const bool hasCrashed = crash != crashes.end() && run.second < crash->second && it.at >= crash->second;
                return hasCrashed || (it.event == "up" && it.minion == run.first);
            });
        }
        if (it.event == "start") {
            running[it.task][it.minion] = it.at;
            if (running[it.task].size() > 1) {
                return it.task;
            }
        } else if (it.event == "end") {
            running[it.task].erase(it.minion);
        }
    }
    return {};
}

class Deployment
{
public:
    /** @p folder holds record.txt; the repository's root is the working directory. */
    Deployment(const std::string &folder, int nodes, int minions, const std::string &service = "svc")
        : m_record(folder + "/record.txt")
        , m_service(service)
        , m_nodes(static_cast<std::size_t>(nodes))
        , m_minions(static_cast<std::size_t>(minions))
    {
        std::string name = (std::filesystem::temp_directory_path() / "quetzalrock-review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error("cannot make a temporary folder");
        }
        m_folder = name;
        m_isDisturbed = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
        note(std::string("trouble ") + (m_isDisturbed ? "1" : "0"));
    }

    ~Deployment()
    {
        for (auto &it : m_nodes) {
            it.process.end();
        }
        for (auto &it : m_minions) {
            it.process.end();
        }
        m_platform.end();
        std::ifstream log(m_folder + "/minions.log");
        m_record << "--- minions: wall ms, id, born, event\n" << log.rdbuf();
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_folder);
        } else {
            std::cerr << "kept " << m_folder << "\n";
        }
    }

    const std::string &folder() const
    {
        return m_folder;
    }

    bool isDisturbed() const
    {
        return m_isDisturbed;
    }

    /** Called in start() when the platform and the minions run, before the nodes start. */
    void beforeNodes(std::function<void()> action)
    {
        m_beforeNodes = std::move(action);
    }

    /** Starts everything and waits until all nodes are ready. */
    void start(const json &routes, bool enforcesCapacity = true)
    {
        m_storePort = freePort();
        m_platform.start({"target/review/platform", "--port", std::to_string(m_storePort)}, m_folder + "/platform.log");
        waitFor("the platform", 5000, [this] { return request(store(), "GET", "/kv-key?key=x").status == 404; });
        putItem("op/config",
                json{{"version", 1},
                     {"routes", routes},
                     {"services",
                      {{{"name", m_service},
                        {"healthPath", "/healthz"},
                        {"maxConns", 64},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"admissionControl", enforcesCapacity},
                        {"standby", false}}}},
                     {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}}}}
                    .dump());
        for (std::size_t i = 0; i < m_minions.size(); ++i) {
            m_minions[i].shownPort = m_minions[i].shownPort == 0 ? minionPort(i) : m_minions[i].shownPort;
            startMinion(i);
        }
        if (m_beforeNodes) {
            m_beforeNodes();
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_nodes[i].requests = freePort();
            m_nodes[i].ready = freePort();
            startNode(i);
        }
        waitFor("ready nodes", 15'000, [this] {
            return std::all_of(m_nodes.begin(), m_nodes.end(), [](const Node &it) {
                return request("127.0.0.1:" + std::to_string(it.ready), "GET", "/readyz").status == 200;
            });
        });
        note("ready");
    }

    // ---- Platform

    std::string store() const
    {
        return "127.0.0.1:" + std::to_string(m_storePort);
    }

    void putItem(const std::string &key, const std::string &value) const
    {
        request(store(), "POST", "/admin/put", json{{"key", key}, {"value", value}}.dump());
    }

    // ---- Minions

    std::string minionId(std::size_t i) const
    {
        return "i-" + std::to_string(i);
    }

    /** The port on which minion @p i listens; chosen at the first call. */
    int minionPort(std::size_t i)
    {
        m_minions[i].port = m_minions[i].port == 0 ? freePort() : m_minions[i].port;
        return m_minions[i].port;
    }

    /** The port in the minion's entry, as of a proxy. Call it before start(). */
    void setShownPort(std::size_t i, int port)
    {
        m_minions[i].shownPort = port;
    }

    void startMinion(std::size_t i)
    {
        m_minions[i].process.start({"target/review/minion",
                                    "--id",
                                    minionId(i),
                                    "--port",
                                    std::to_string(m_minions[i].port),
                                    "--shown-port",
                                    std::to_string(m_minions[i].shownPort),
                                    "--store",
                                    store(),
                                    "--zone",
                                    zone(i),
                                    "--rack",
                                    "r" + std::to_string(i / 4),
                                    "--service",
                                    m_service,
                                    "--log",
                                    m_folder + "/minions.log"},
                                   m_folder + "/minions.err");
    }

    void crashMinion(std::size_t i)
    {
        m_minions[i].process.end();
        note("minion " + minionId(i) + " crashes");
    }

    /** Starts a crashed minion again, under the id that it had. */
    void restartMinion(std::size_t i)
    {
        note("minion " + minionId(i) + " starts again");
        startMinion(i);
    }

    std::vector<LogLine> minionLog() const
    {
        std::vector<LogLine> lines;
        std::ifstream in(m_folder + "/minions.log");
        for (std::string text; std::getline(in, text);) {
            LogLine it;
            std::istringstream fields(text);
            fields >> it.at >> it.minion >> it.born >> it.event;
            if (it.event == "start" || it.event == "end" || it.event == "seen") {
                fields >> it.task >> it.attempt >> it.how;
            } else if (it.event == "fence") {
                fields >> it.fence;
            }
            lines.push_back(it);
        }
        return lines;
    }

    /** The minion on which @p task runs by its log, and which has not crashed since; none if there is none. */
    std::optional<std::size_t> minionOf(const std::string &task) const
    {
        std::map<std::string, std::string> running; // minion to the event that concerns the task
        for (const LogLine &it : minionLog()) {
            if (it.event == "up") {
                running.erase(it.minion);
            } else if (it.task == task && it.event == "start") {
                running[it.minion] = "start";
            } else if (it.task == task && it.event == "end") {
                running.erase(it.minion);
            }
        }
        for (std::size_t i = 0; i < m_minions.size(); ++i) {
            if (running.contains(minionId(i))) {
                return i;
            }
        }
        return std::nullopt;
    }

    // ---- Nodes

    std::string nodeName(std::size_t i) const
    {
        return "edge-" + zone(i) + "-" + std::to_string(i / Zones + 1);
    }

    Process &node(std::size_t i)
    {
        return m_nodes[i].process;
    }

    std::string nodeAddress(std::size_t i) const
    {
        return "127.0.0.1:" + std::to_string(m_nodes[i].requests);
    }

    std::string readyAddress(std::size_t i) const
    {
        return "127.0.0.1:" + std::to_string(m_nodes[i].ready);
    }

    /** Makes node @p i reach the store through another port, as of a proxy. Call it before start(). */
    void setStorePort(std::size_t i, int port)
    {
        m_nodes[i].storePort = port;
    }

    int storePort() const
    {
        return m_storePort;
    }

    void startNode(std::size_t i)
    {
        const std::string settings = m_folder + "/" + nodeName(i) + ".ini";
        std::ofstream(settings) << fillTemplate(i);
        m_nodes[i].process.start({"target/packages/daemon/quetzalrockd", "--config", settings},
                                 m_folder + "/" + nodeName(i) + ".log");
    }

    void signalNode(std::size_t i, int number)
    {
        note("node " + nodeName(i) + " gets signal " + std::to_string(number));
        m_nodes[i].process.signal(number);
    }

    /** The node whose name the first shard's leader key holds. */
    std::optional<std::size_t> leader() const
    {
        const Message it = request(store(), "GET", "/kv-key?key=ctl/board/leader/0");
        const std::string value = parseBody(it.body).value("value", std::string());
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            // The key's value begins with the name and a space; compare the base64 of whole groups of three bytes.
            const std::string name = nodeName(i) + " ";
            const std::string encoded = toBase64(name.substr(0, name.size() / 3 * 3));
            if (!value.empty() && value.starts_with(encoded)) {
                return i;
            }
        }
        return std::nullopt;
    }

    // ---- Clients

    /** Sends one request to a node and records it. */
    Message call(std::size_t node, const std::string &method, const std::string &path, const std::string &body = {})
    {
        const Message it = request(nodeAddress(node), method, path, body, 3000, "X-Quetzalrock-Deadline-Ms: 3000\r\n");
        note("client " + method + " " + path + " at " + nodeName(node) + " -> " + std::to_string(it.status) + " "
             + it.body.substr(0, 200));
        return it;
    }

    /** Hands a job in, again at the next node if there is no answer; returns whether it was accepted. */
    bool submit(const std::string &path, const json &body)
    {
        for (std::size_t i = 0; i < 5; ++i) {
            const Message it = call(i % m_nodes.size(), "POST", path, body.dump());
            if (it.status >= 200 && it.status < 300) {
                return true;
            }
            if (it.status == 429 || it.status == 503) {
                sleepMs(1000);
            }
        }
        return false;
    }

    /** The job's state as the first node that answers 200 says; empty if none does. */
    std::string state(const std::string &path)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const Message it = call(i, "GET", path);
            if (it.status == 200) {
                return parseBody(it.body).value("state", std::string());
            }
        }
        return {};
    }

    // ---- Record

    void note(const std::string &text)
    {
        const std::lock_guard lock(m_recordMutex);
        m_record << wallMs() << " " << text << std::endl;
    }

    template<typename Condition>
    void waitFor(const std::string &what, std::int64_t timeoutMs, Condition condition)
    {
        const std::int64_t until = steadyMs() + timeoutMs;
        while (!condition()) {
            if (steadyMs() >= until) {
                throw std::runtime_error("waited in vain for " + what);
            }
            sleepMs(20);
        }
    }

private:
    static constexpr std::size_t Zones = 3;

    struct Minion
    {
        Process process;
        int port = 0;
        int shownPort = 0;
    };
    struct Node
    {
        Process process;
        int requests = 0;
        int ready = 0;
        int storePort = 0;
    };

    static std::string zone(std::size_t i)
    {
        return std::string(1, static_cast<char>('a' + i % Zones));
    }

    /** The settings that the platform makes of deploy/node.ini; evacuations are not in force. */
    std::string fillTemplate(std::size_t i) const
    {
        std::ifstream in("deploy/node.ini");
        std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        const std::size_t begin = text.find("{{#bounds.evacuateMs}}");
        const std::string endMark = "{{/bounds.evacuateMs}}";
        const std::size_t end = text.find(endMark);
        if (begin != std::string::npos && end != std::string::npos) {
            text.erase(begin, end + endMark.size() - begin);
        }
        const int store = m_nodes[i].storePort == 0 ? m_storePort : m_nodes[i].storePort;
        const std::map<std::string, std::string> values{
            {"nodeName", nodeName(i)},
            {"zone", zone(i)},
            {"limits.cpuShare", "0.25"},
            {"listenAddrs.frontend", nodeAddress(i)},
            {"listenAddrs.ready", readyAddress(i)},
            {"platform.address", "127.0.0.1:" + std::to_string(store)},
            {"advice", ""},
            {"bounds.holdMaxMs", "10000"},
            {"bounds.configApplyMs", "2000"},
        };
        for (const auto &[name, value] : values) {
            const std::string mark = "{{" + name + "}}";
            for (std::size_t at = 0; (at = text.find(mark)) != std::string::npos;) {
                text.replace(at, mark.size(), value);
            }
        }
        return text;
    }

    std::ofstream m_record;
    std::mutex m_recordMutex;
    std::string m_folder;
    std::string m_service;
    bool m_isDisturbed = true;
    int m_storePort = 0;
    std::function<void()> m_beforeNodes;
    Process m_platform;
    std::vector<Node> m_nodes;
    std::vector<Minion> m_minions;
};

/** The routes of a deployment with one queue under /q/. */
inline json queue(int maxAttempts)
{
    return {{{"name", "r-q"},
             {"host", ""},
             {"prefix", "/q/"},
             {"kind", "non_idempotent"},
             {"timeoutMs", 3000},
             {"targetDurationMs", 1000},
             {"priority", 0},
             {"service", "svc"},
             {"maxAttempts", maxAttempts},
             {"stretchFactor", 1.5}}};
}

/** Runs a case and returns its exit code; an error means that it could not run. */
template<typename Case>
int runCase(Case run)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::thread([] {
        sleepMs(LongestRunMs);
        ProcessList::all().killAll();
        std::_Exit(ExitNotRun);
    }).detach();
    try {
        return run();
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << "\n";
        return ExitNotRun;
    }
}

} // namespace Review
