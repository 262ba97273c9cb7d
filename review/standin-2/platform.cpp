#include "platform.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <random>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace Review {

namespace {

constexpr const char *Service = "svc";
constexpr std::size_t PageItems = 500;
constexpr std::size_t MaxProcesses = 16;
std::atomic<pid_t> startedProcesses[MaxProcesses];
const auto programStart = std::chrono::steady_clock::now();

std::string toBase64(const std::string &bytes)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t n = static_cast<unsigned char>(bytes[i]) << 16U;
        n |= i + 1 < bytes.size() ? static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i + 1])) << 8U : 0;
        n |= i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0;
        out += digits[n >> 18U];
        out += digits[(n >> 12U) & 63U];
        out += i + 1 < bytes.size() ? digits[(n >> 6U) & 63U] : '=';
        out += i + 2 < bytes.size() ? digits[n & 63U] : '=';
    }
    return out;
}

std::string fromBase64(const std::string &text)
{
    std::string out;
    std::uint32_t n = 0;
    int bits = 0;
    for (const char it : text) {
        int digit = -1;
        if (it >= 'A' && it <= 'Z') {
            digit = it - 'A';
        } else if (it >= 'a' && it <= 'z') {
            digit = it - 'a' + 26;
        } else if (it >= '0' && it <= '9') {
            digit = it - '0' + 52;
        } else if (it == '+' || it == '/') {
            digit = it == '+' ? 62 : 63;
        } else {
            break;
        }
        n = (n << 6U) | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>((n >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return out;
}

Response reply(int status, const json &body)
{
    return {status, body.dump()};
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - programStart)
        .count();
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void killStartedProcesses()
{
    for (const auto &it : startedProcesses) {
        if (it > 0) {
            kill(it, SIGKILL);
        }
    }
}

int freePort()
{
    std::random_device random;
    for (int i = 0; i < 200; ++i) {
        const int port = 17'000 + static_cast<int>(random() % 14'000);
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(fd);
        if (isFree) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

Record::Record(const std::string &file)
    : m_out(file)
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(nowMs()) / 1000);
    m_out << time << line << std::endl;
}

Platform::Platform(Record &record, std::string folder)
    : m_record(record)
    , m_folder(std::move(folder))
{
}

Platform::~Platform()
{
    stopNodes();
    m_isStopping = true;
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    for (const auto &[id, it] : m_minions) {
        if (it->server) {
            it->server->stop();
        }
    }
    for (const auto &it : m_nodes) {
        it->store->stop();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
}

Record &Platform::record()
{
    return m_record;
}

// ---------------------------------------------------------------------------------------------------------------------
// Set-up
// ---------------------------------------------------------------------------------------------------------------------

void Platform::addMinion(const std::string &id, const std::string &kind, const std::string &rack, std::int64_t cpu,
                         const std::string &zone)
{
    auto it = std::make_unique<Minion>();
    it->id = id;
    it->labels = {kind, rack};
    it->cpu = cpu;
    it->zone = zone;
    m_minions[id] = std::move(it);
}

void Platform::addRoute(const std::string &name, const std::string &prefix, int maxAttempts)
{
    m_routes.push_back({{"name", name},
                        {"host", Host},
                        {"prefix", prefix},
                        {"kind", "non_idempotent"},
                        {"timeoutMs", 3000},
                        {"targetDurationMs", 1000},
                        {"priority", 0},
                        {"service", Service},
                        {"maxAttempts", maxAttempts},
                        {"stretchFactor", 2.0}});
}

json &Platform::routes()
{
    return m_routes;
}

void Platform::writeConfig(int version)
{
    const json config{{"version", version},
                      {"routes", m_routes},
                      {"services", json::array({{{"name", Service},
                                                 {"healthPath", "/healthz"},
                                                 {"maxConns", 64},
                                                 {"protocol", "h1"},
                                                 {"tls", false},
                                                 {"admissionControl", true},
                                                 {"standby", false}}})},
                      {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}}}};
    put("op/config", toBase64(config.dump()), 0, ++m_revision);
    m_record.write("the operator's configuration, version " + std::to_string(version) + ": " + config.dump());
}

void Platform::start()
{
    with([this](Platform &) {
        writeConfig(7);
        for (const auto &[id, it] : m_minions) {
            startMinion(*it);
        }
    });
    m_thread = std::thread([this] {
        while (!m_isStopping) {
            with([](Platform &it) { it.step(); });
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    });
}

std::size_t Platform::startNode(const std::string &name, const std::string &zone)
{
    auto node = std::make_unique<Node>();
    node->name = name;
    node->zone = zone;
    node->requests = freePort();
    node->ready = freePort();
    node->store = std::make_unique<Server>([this](const Request &it) { return store(it); });
    node->store->start();
    node->settings = m_folder + "/" + name + ".ini";
    std::ifstream in("deploy/node.ini");
    std::stringstream text;
    text << in.rdbuf();
    std::string settings = text.str();
    // This deployment has no evacuateMs, so that the section is left out.
    const std::size_t from = settings.find("{{#bounds.evacuateMs}}");
    const std::string sectionEnd = "{{/bounds.evacuateMs}}";
    if (from != std::string::npos) {
        settings.erase(from, settings.find(sectionEnd) + sectionEnd.size() - from);
    }
    replaceAll(settings, "{{nodeName}}", name);
    replaceAll(settings, "{{zone}}", zone);
    replaceAll(settings, "{{limits.cpuShare}}", "0.25");
    replaceAll(settings, "{{listenAddrs.frontend}}", "127.0.0.1:" + std::to_string(node->requests));
    replaceAll(settings, "{{listenAddrs.ready}}", "127.0.0.1:" + std::to_string(node->ready));
    replaceAll(settings, "{{platform.address}}", node->store->address());
    replaceAll(settings, "{{advice}}", "127.0.0.1:9");
    replaceAll(settings, "{{bounds.holdMaxMs}}", std::to_string(HoldMaxMs));
    replaceAll(settings, "{{bounds.configApplyMs}}", "2000");
    std::ofstream(node->settings) << settings << "\n";
    spawn(*node);
    m_nodes.push_back(std::move(node));
    return m_nodes.size() - 1;
}

void Platform::spawn(Node &node)
{
    const std::string log = m_folder + "/" + node.name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int it : {STDOUT_FILENO, STDERR_FILENO}) {
        posix_spawn_file_actions_addopen(&actions, it, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    std::string program = "target/packages/daemon/quetzalrockd";
    std::string option = "--config";
    char *arguments[] = {program.data(), option.data(), node.settings.data(), nullptr};
    const int ec = posix_spawn(&node.pid, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        node.pid = 0;
        throw std::runtime_error("cannot start " + program);
    }
    for (auto &it : startedProcesses) {
        pid_t none = 0;
        if (it.compare_exchange_strong(none, node.pid)) {
            break;
        }
    }
    m_record.write("node " + node.name + " started, pid " + std::to_string(node.pid));
}

int Platform::requestPort(std::size_t node) const
{
    return m_nodes.at(node)->requests;
}

pid_t Platform::pid(std::size_t node) const
{
    return m_nodes.at(node)->pid;
}

void Platform::signalNode(std::size_t node, int signal)
{
    if (pid(node) > 0) {
        m_record.write("signal " + std::to_string(signal) + " to node " + m_nodes[node]->name);
        kill(pid(node), signal);
    }
}

void Platform::killNode(std::size_t node)
{
    signalNode(node, SIGKILL);
    waitpid(m_nodes[node]->pid, nullptr, 0);
    for (auto &it : startedProcesses) {
        pid_t ended = m_nodes[node]->pid;
        it.compare_exchange_strong(ended, 0);
    }
    m_nodes[node]->pid = 0;
}

void Platform::stopNodes()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i]->pid > 0) {
            killNode(i);
        }
    }
}

bool Platform::waitUntilReady(std::size_t node, std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        if (call(m_nodes[node]->ready, "GET", "/readyz", "node", "", 500).status == 200) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

std::optional<std::size_t> Platform::leader()
{
    return with([this](Platform &) -> std::optional<std::size_t> {
        const auto found = m_items.find("ctl/board/leader/0");
        if (found == m_items.end()) {
            return std::nullopt;
        }
        const std::string value = fromBase64(found->second.value);
        const std::string name = value.substr(0, value.find(' '));
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i]->name == name) {
                return i;
            }
        }
        return std::nullopt;
    });
}

// ---------------------------------------------------------------------------------------------------------------------
// Clients
// ---------------------------------------------------------------------------------------------------------------------

Answer Platform::submit(std::size_t node, const std::string &path, const json &job)
{
    const Answer answer = call(requestPort(node), "POST", path, Host, job.dump(), 3000);
    m_record.write("POST " + path + " at " + m_nodes[node]->name + " -> " + std::to_string(answer.status) + " "
                   + answer.body);
    return answer;
}

Answer Platform::get(std::size_t node, const std::string &path)
{
    const Answer answer = call(requestPort(node), "GET", path, Host, "", 3000);
    m_record.write("GET " + path + " at " + m_nodes[node]->name + " -> " + std::to_string(answer.status) + " "
                   + answer.body);
    return answer;
}

Answer Platform::cancel(std::size_t node, const std::string &path)
{
    const Answer answer = call(requestPort(node), "DELETE", path, Host, "", 3000);
    m_record.write("DELETE " + path + " at " + m_nodes[node]->name + " -> " + std::to_string(answer.status) + " "
                   + answer.body);
    return answer;
}

// ---------------------------------------------------------------------------------------------------------------------
// The store
// ---------------------------------------------------------------------------------------------------------------------

void Platform::put(const std::string &key, const std::string &value, std::uint64_t lease, std::uint64_t revision)
{
    Item &item = m_items[key];
    item.value = value;
    item.created = item.created == 0 ? revision : item.created;
    item.revision = revision;
    item.lease = lease;
    m_events.push_back({key, item, false});
}

void Platform::remove(const std::string &key, std::uint64_t revision)
{
    if (m_items.erase(key) > 0) {
        Event event;
        event.key = key;
        event.item.revision = revision;
        event.isDeleted = true;
        m_events.push_back(event);
    }
}

Response Platform::store(const Request &request)
{
    const auto itemJson = [](const std::string &key, const Item &it) {
        return json{{"key", key},
                    {"value", it.value},
                    {"revision", it.revision},
                    {"created", it.created},
                    {"lease", it.lease}};
    };
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    std::unique_lock lock(m_mutex);
    if (request.path == "/kv-key") {
        const auto found = m_items.find(request.query.at("key"));
        if (found == m_items.end()) {
            return reply(404, {{"at", m_revision}});
        }
        json body = itemJson(found->first, found->second);
        body["at"] = m_revision;
        return reply(200, body);
    }
    if (request.path == "/kv-range") {
        const std::string prefix = request.query.at("prefix");
        const std::string after = request.query.contains("after") ? request.query.at("after") : "";
        json items = json::array();
        bool hasMore = false;
        for (auto it = m_items.lower_bound(prefix); it != m_items.end() && it->first.starts_with(prefix); ++it) {
            if (it->first <= after && !after.empty()) {
                continue;
            }
            if (items.size() == PageItems) {
                hasMore = true;
                break;
            }
            items.push_back(itemJson(it->first, it->second));
        }
        return reply(200, {{"items", items}, {"hasMore", hasMore}, {"at", m_revision}});
    }
    if (request.path == "/kv-watch") {
        const std::string prefix = request.query.at("prefix");
        const std::uint64_t after = std::stoull(request.query.at("after"));
        const std::int64_t until = nowMs() + std::stoll(request.query.at("waitMs"));
        while (true) {
            json events = json::array();
            for (const Event &it : m_events) {
                if (it.item.revision > after && it.key.starts_with(prefix)) {
                    events.push_back(it.isDeleted ? json{{"key", it.key},
                                                         {"revision", it.item.revision},
                                                         {"deleted", true}}
                                                  : itemJson(it.key, it.item));
                }
            }
            if (!events.empty() || nowMs() >= until || m_isStopping) {
                return reply(200, {{"events", events}, {"at", m_revision}});
            }
            m_wake.wait_for(lock, std::chrono::milliseconds(20));
        }
    }
    if (request.path == "/kv-txn") {
        return change(json::parse(request.body));
    }
    if (request.path == "/kv-lease") {
        const std::int64_t ttlMs = json::parse(request.body).at("ttlMs");
        m_leases[++m_lastLease] = {nowMs() + ttlMs, ttlMs};
        return reply(200, {{"lease", m_lastLease}, {"ttlMs", ttlMs}});
    }
    if (request.path.starts_with("/kv-keep/")) {
        const auto found = m_leases.find(std::stoull(request.path.substr(9)));
        if (found == m_leases.end()) {
            return reply(404, json::object());
        }
        found->second.untilMs = nowMs() + found->second.ttlMs;
        return reply(200, {{"ttlMs", found->second.ttlMs}});
    }
    if (request.path.starts_with("/kv-lease-end/")) {
        const auto found = m_leases.find(std::stoull(request.path.substr(14)));
        if (found != m_leases.end()) {
            found->second.untilMs = 0;
            step();
        }
        return reply(200, json::object());
    }
    return reply(404, json::object());
}

Response Platform::change(const json &body)
{
    json current = json::array();
    bool holds = true;
    for (const json &it : body.at("expected")) {
        const auto found = m_items.find(it.at("key"));
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == it.at("revision").get<std::uint64_t>();
        if (found != m_items.end()) {
            current.push_back({{"key", found->first},
                               {"value", found->second.value},
                               {"revision", revision},
                               {"created", found->second.created},
                               {"lease", found->second.lease}});
        }
    }
    if (!holds) {
        return reply(412, {{"items", current}});
    }
    for (const json &it : body.at("puts")) {
        const std::uint64_t lease = it.value("lease", std::uint64_t{0});
        if (lease != 0 && !m_leases.contains(lease)) {
            return reply(404, json::object());
        }
    }
    ++m_revision;
    for (const json &it : body.at("puts")) {
        put(it.at("key"), it.at("value"), it.value("lease", std::uint64_t{0}), m_revision);
    }
    for (const json &it : body.at("remove")) {
        remove(it, m_revision);
    }
    m_wake.notify_all();
    return reply(200, {{"revision", m_revision}});
}

// ---------------------------------------------------------------------------------------------------------------------
// Minions
// ---------------------------------------------------------------------------------------------------------------------

Minion &Platform::minion(const std::string &id)
{
    return *m_minions.at(id);
}

std::map<std::string, std::unique_ptr<Minion>> &Platform::minions()
{
    return m_minions;
}

std::vector<Start> &Platform::starts()
{
    return m_starts;
}

std::int64_t Platform::clockOf(const Minion &it) const
{
    return nowMs() - it.clockFromMs + 1000;
}

void Platform::startMinion(Minion &it)
{
    it.isUp = true;
    ++it.life;
    it.startAtMs = 0;
    it.bornMs = wallMs();
    it.clockFromMs = nowMs();
    it.fence = 0;
    it.leaseMs = 0;
    it.runs.clear();
    it.ends.clear();
    it.lastEnd = 0;
    it.barred.clear();
    it.server = std::make_unique<Server>(
        [this, id = it.id, life = it.life](const Request &request) { return order(id, life, request); });
    it.server->start(it.port);
    it.port = it.server->port();
    beat(it);
    m_record.write("minion " + it.id + " is up, born " + std::to_string(it.bornMs));
}

void Platform::beat(Minion &it)
{
    it.nextBeatMs = nowMs() + HeartbeatMs;
    const json entry{{"service", Service},
                     {"address", "127.0.0.1:" + std::to_string(it.port)},
                     {"zone", it.zone},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"coldLeftMs", 0},
                     {"capacity", {{"cpu", it.cpu}, {"memMb", it.memMb}, {"gpu", 0}}},
                     {"labels", it.labels},
                     {"clockMs", clockOf(it)},
                     {"born", it.bornMs},
                     {"sequence", ++it.beats}};
    put("servers/" + it.id, toBase64(entry.dump()), 0, ++m_revision);
    m_wake.notify_all();
}

void Platform::crash(const std::string &id, std::int64_t downMs)
{
    Minion &it = minion(id);
    if (!it.isUp) {
        return;
    }
    m_record.write("minion " + id + " crashes with " + std::to_string(it.runs.size()) + " runs, "
                   + (downMs > 0 ? "down for " + std::to_string(downMs) + " ms" : std::string("for good")));
    for (Start &start : m_starts) {
        if (start.minion == id && start.how.empty()) {
            start.how = "crash";
            start.endedMs = nowMs();
        }
    }
    it.isUp = false;
    it.runs.clear();
    it.downSinceMs = nowMs();
    it.startAtMs = downMs > 0 ? nowMs() + downMs : 0;
    m_oldServers.push_back(std::move(it.server));
    std::thread([server = m_oldServers.back().get()] { server->stop(); }).detach();
}

void Platform::endRun(Minion &minion, const Run &run, const std::string &how)
{
    m_record.write("minion " + minion.id + ": " + run.task + " run " + std::to_string(run.attempt) + " ends " + how);
    for (Start &start : m_starts) {
        if (start.minion == minion.id && start.task == run.task && start.attempt == run.attempt && start.how.empty()) {
            start.how = how;
            start.endedMs = nowMs();
        }
    }
    minion.ends.push_back({++minion.lastEnd, run.task, run.attempt, how});
    minion.barred[run.task] = std::max(minion.barred[run.task], run.attempt);
}

void Platform::step()
{
    const std::int64_t now = nowMs();
    std::vector<std::string> expired;
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (now < it->second.untilMs) {
            ++it;
            continue;
        }
        for (const auto &[key, item] : m_items) {
            if (item.lease == it->first) {
                expired.push_back(key);
            }
        }
        it = m_leases.erase(it);
    }
    for (const std::string &key : expired) {
        remove(key, ++m_revision);
    }
    for (const auto &[id, minion] : m_minions) {
        Minion &it = *minion;
        if (!it.isUp) {
            if (it.startAtMs != 0 && now >= it.startAtMs) {
                startMinion(it);
            } else if (now >= it.downSinceMs + 3 * HeartbeatMs && m_items.contains("servers/" + id)) {
                remove("servers/" + id, ++m_revision);
            }
            continue;
        }
        if (now >= it.nextBeatMs) {
            beat(it);
        }
        std::vector<Run> left;
        const bool hasLapsed = clockOf(it) >= it.leaseMs;
        for (const Run &run : std::exchange(it.runs, {})) {
            if (hasLapsed) {
                endRun(it, run, "lapsed");
            } else if (run.stopsMs != 0 && now >= run.stopsMs) {
                endRun(it, run, "stopped");
            } else if (run.stopsMs == 0 && run.endsMs != 0 && now >= run.endsMs) {
                endRun(it, run, "done");
            } else {
                left.push_back(run);
            }
        }
        it.runs = std::move(left);
    }
}

json Platform::report(const Minion &it, std::uint64_t seen) const
{
    json running = json::array();
    for (const Run &run : it.runs) {
        const std::int64_t total = run.endsMs - run.startedMs;
        const std::int64_t percent
            = run.endsMs == 0 ? (nowMs() - run.startedMs > 500 ? 100 : 0) : (nowMs() - run.startedMs) * 100 / total;
        running.push_back({run.task, run.attempt, "", percent, run.cpu});
    }
    json finished = json::array();
    for (const End &end : it.ends) {
        if (end.number > seen) {
            finished.push_back({end.number, end.task, end.attempt, end.how, ""});
        }
    }
    return {{"clockMs", clockOf(it)}, {"born", it.bornMs}, {"running", running}, {"finished", finished}};
}

Response Platform::order(const std::string &id, int life, const Request &request)
{
    std::unique_lock lock(m_mutex);
    Minion &it = minion(id);
    const auto isAlive = [&it, life] { return it.isUp && it.life == life; };
    if (!isAlive()) {
        return {0, "", true};
    }
    if (request.path == "/healthz") {
        return reply(it.isUnhealthy ? 503 : 200, json::object());
    }
    const auto expected = request.headers.find("x-quetzalrock-expect-instance");
    if (expected != request.headers.end() && expected->second != id) {
        return reply(421, json::object());
    }
    const json body = json::parse(request.body);
    const std::uint64_t fence = body.value("fenceToken", std::uint64_t{0});
    if (fence < it.fence) {
        return reply(409, {{"clockMs", clockOf(it)}, {"reason", "fence"}});
    }
    it.fence = fence;
    const auto extend = [&](const json &order) {
        if (order.contains("deadlineMs")) {
            it.leaseMs = std::max(
                it.leaseMs, std::min(order.at("deadlineMs").get<std::int64_t>(), clockOf(it) + HoldMaxMs));
        }
    };
    if (request.path == "/run-start") {
        if (it.isUnhealthy) {
            m_record.write("minion " + id + " is unhealthy: refuses " + body.at("task").get<std::string>()
                           + " with 503");
            return reply(503, {{"clockMs", clockOf(it)}});
        }
        const Response response = startRun(it, body);
        extend(body);
        return response;
    }
    if (request.path == "/run-stop") {
        const std::string task = body.at("task");
        const std::uint64_t attempt = body.at("attempt");
        bool isThere = false;
        for (Run &run : it.runs) {
            if (run.task == task && run.attempt == attempt) {
                isThere = true;
                run.stopsMs = run.stopsMs == 0 ? nowMs() + StopMs / 2 : run.stopsMs;
            }
        }
        if (!isThere) {
            it.barred[task] = std::max(it.barred[task], attempt);
        }
        m_record.write("minion " + id + ": stop of " + task + " run " + std::to_string(attempt));
        return reply(200, {{"clockMs", clockOf(it)}});
    }
    if (request.path == "/pace") {
        return reply(200, {{"clockMs", clockOf(it)}});
    }
    if (request.path != "/hold") {
        return reply(404, json::object());
    }
    extend(body);
    const std::uint64_t seen = body.value("lastSeen", std::uint64_t{0});
    while (!it.ends.empty() && it.ends.front().number <= seen) {
        it.ends.pop_front();
    }
    const std::int64_t until = nowMs() + body.value("waitMs", std::int64_t{0});
    while (it.ends.empty() && nowMs() < until && isAlive() && !m_isStopping) {
        m_wake.wait_for(lock, std::chrono::milliseconds(10));
    }
    return isAlive() ? reply(200, report(it, seen)) : Response{0, "", true};
}

Response Platform::startRun(Minion &it, const json &body)
{
    const std::string task = body.at("task");
    const std::uint64_t attempt = body.at("attempt");
    const auto reject = [&](const char *reason) {
        m_record.write("minion " + it.id + ": start of " + task + " run " + std::to_string(attempt) + " rejected: "
                       + reason);
        return reply(409, {{"clockMs", clockOf(it)}, {"reason", reason}});
    };
    for (const Run &run : it.runs) {
        if (run.task == task && run.attempt == attempt) {
            return reply(200, {{"clockMs", clockOf(it)}});
        }
    }
    if (it.barred.contains(task) && attempt <= it.barred[task]) {
        return reject("old");
    }
    if (clockOf(it) > body.at("deadlineMs").get<std::int64_t>()) {
        return reject("late");
    }
    // The spec says what the task does: "work MS CPU" or "lasts CPU".
    std::istringstream spec(body.at("spec").get<std::string>());
    std::string word;
    spec >> word;
    Run run{task, attempt, nowMs(), 0, 0, 1000, 0};
    if (word == "work") {
        std::int64_t ms = 0;
        spec >> ms;
        run.endsMs = nowMs() + ms;
    }
    spec >> run.cpu;
    std::int64_t used = 0;
    for (const Run &other : it.runs) {
        used += other.cpu;
    }
    if (used + run.cpu > it.cpu) {
        return reject("room");
    }
    it.runs.push_back(run);
    m_starts.push_back({nowMs(), it.id, task, attempt, 0, ""});
    m_record.write("minion " + it.id + ": " + task + " run " + std::to_string(attempt) + " starts, fence "
                   + std::to_string(body.value("fenceToken", std::uint64_t{0})));
    m_wake.notify_all();
    return reply(200, {{"clockMs", clockOf(it)}});
}

} // namespace Review
