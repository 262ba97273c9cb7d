// Stand-ins of the platform's store and of its minions, and the processes of the system under test.
//
// The store: conditional changes, leases, watches, pages. The minions: fencing tokens, leases, attempt numbers, orders, both
// lists, room and health. What a task does follows from the job's spec: "work N" ends as done after N ms, "lasts" never ends.
// A minion that crashes loses its process, so that its connections are reset; it may start again under its id.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <fstream>
#include <optional>
#include <sys/types.h>
#include <vector>

namespace Review {

using nlohmann::json;

std::int64_t nowMs();  // steady, from the start of this program
std::int64_t wallMs(); // since 1970

// What was sent, answered and run, with times.
class Record
{
public:
    explicit Record(const std::string &file);
    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

struct Run
{
    std::string task;
    std::uint64_t attempt = 0;
    std::int64_t startedMs = 0;
    std::int64_t endsMs = 0; // 0: lasts
    std::int64_t cpu = 0;
    std::int64_t memMb = 0;
    std::int64_t stopsMs = 0; // being stopped, and ends then
};

struct End
{
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t attempt = 0;
    std::string how;
};

struct Minion
{
    std::string id;
    std::vector<std::string> labels; // kind, then rack
    std::int64_t cpu = 16'000;
    std::int64_t memMb = 64'000;
    std::string zone = "z1";
    bool isUp = false;
    bool isUnhealthy = false; // answers starts with 503 and does nothing; its health check says so
    std::int64_t startAtMs = 0; // down: when it starts again; 0: never
    std::int64_t bornMs = 0;
    std::int64_t clockFromMs = 0;
    std::int64_t downSinceMs = 0;
    std::int64_t nextBeatMs = 0;
    std::uint64_t beats = 0;
    std::uint64_t fence = 0;
    std::int64_t leaseMs = 0; // on its clock
    std::vector<Run> runs;
    std::deque<End> ends;
    std::uint64_t lastEnd = 0;
    std::map<std::string, std::uint64_t> barred;
    std::unique_ptr<Server> server;
    int port = 0;
    int life = 0;
};

// One start that a minion has carried out.
struct Start
{
    std::int64_t atMs = 0;
    std::string minion;
    std::string task;
    std::uint64_t attempt = 0;
    std::int64_t endedMs = 0;
    std::string how; // as listed; "crash": ended with its minion; empty: runs
};

class Platform
{
public:
    Platform(Record &record, std::string folder);
    ~Platform();

    // Before start()
    void addMinion(const std::string &id, const std::string &kind, const std::string &rack, std::int64_t cpu,
                   const std::string &zone);
    void addRoute(const std::string &name, const std::string &prefix, int maxAttempts);

    void start();

    // Starts a process of the system, with a port of the store of its own. Returns its index.
    std::size_t startNode(const std::string &name, const std::string &zone);
    int requestPort(std::size_t node) const;
    pid_t pid(std::size_t node) const;
    void signalNode(std::size_t node, int signal);
    void killNode(std::size_t node); // for good
    bool waitUntilReady(std::size_t node, std::int64_t timeoutMs);
    std::optional<std::size_t> leader(); // index of the node that holds the leader key
    void stopNodes();

    // Runs action under the lock, and wakes what waits.
    template<typename Action>
    auto with(Action action)
    {
        const std::unique_lock lock(m_mutex);
        struct Wake
        {
            std::condition_variable &cv;
            ~Wake()
            {
                cv.notify_all();
            }
        } wake{m_wake};
        return action(*this);
    }

    // Under the lock
    Minion &minion(const std::string &id);
    std::map<std::string, std::unique_ptr<Minion>> &minions();
    std::vector<Start> &starts();
    void crash(const std::string &id, std::int64_t downMs); // downMs 0: lost for good
    json &routes();                   // of the configuration, as written next
    void writeConfig(int version);    // the operator's; acknowledged on return

    Answer submit(std::size_t node, const std::string &path, const json &job);
    Answer get(std::size_t node, const std::string &path);
    Answer cancel(std::size_t node, const std::string &path);
    Record &record();

    static constexpr const char *Host = "jobs.example";
    static constexpr std::int64_t HoldMaxMs = 10'000;
    static constexpr std::int64_t StopMs = 400;
    static constexpr std::int64_t HeartbeatMs = 1100;

private:
    struct Item
    {
        std::string value; // base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        std::string key;
        Item item;
        bool isDeleted = false;
    };
    struct Lease
    {
        std::int64_t untilMs = 0;
        std::int64_t ttlMs = 0;
    };
    struct Node
    {
        std::string name;
        std::string zone;
        std::string settings;
        int requests = 0;
        int ready = 0;
        std::unique_ptr<Server> store;
        pid_t pid = 0;
    };

    // Under the lock
    void put(const std::string &key, const std::string &value, std::uint64_t lease, std::uint64_t revision);
    void remove(const std::string &key, std::uint64_t revision);
    void step();
    void startMinion(Minion &it);
    void beat(Minion &it);
    void endRun(Minion &minion, const Run &run, const std::string &how);
    json report(const Minion &it, std::uint64_t seen) const;
    std::int64_t clockOf(const Minion &it) const;

    Response store(const Request &request);
    Response change(const json &body);
    Response order(const std::string &id, int life, const Request &request);
    Response startRun(Minion &it, const json &body);
    void spawn(Node &node);

    Record &m_record;
    std::string m_folder;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 100;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_lastLease = 1000;
    std::map<std::string, std::unique_ptr<Minion>> m_minions;
    std::vector<std::unique_ptr<Server>> m_oldServers;
    std::vector<Start> m_starts;
    json m_routes = json::array();
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

int freePort();

// Ends the processes of the system that this program has started. Async-signal-safe.
void killStartedProcesses();

} // namespace Review
