#include <standin/platformserver.h>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

constexpr int ServerThreads = 24; ///< each waiting watch occupies one
constexpr int WorkersPerRack = 8;

std::string queryValue(const WebRequest &request, const char *key)
{
    const auto it = request.query.find(key);
    if (it == request.query.end()) {
        throw InvalidArgument(key, "missing query parameter");
    }
    return it->second;
}

std::uint64_t queryNumber(const WebRequest &request, const char *key)
{
    try {
        return std::stoull(queryValue(request, key));
    } catch (const std::logic_error &) {
        throw InvalidArgument(key, "not a whole number");
    }
}

Json entriesJson(const std::vector<KeyValue> &entries)
{
    Json list = Json::array();
    for (const KeyValue &it : entries) {
        list.push_back(toJson(it));
    }
    return {{"entries", list}};
}

std::vector<AttemptId> parseAttempts(const Json &json)
{
    std::vector<AttemptId> attempts;
    for (const Json &it : json) {
        attempts.push_back(parseAttemptId(it));
    }
    return attempts;
}

WebServerSettings serverSettings(const std::string &address)
{
    WebServerSettings settings;
    settings.address = address;
    settings.threads = ServerThreads;
    settings.maxBodyBytes = 2 * MaxValueBytes;
    return settings;
}

} // namespace

PlatformServer::PlatformServer(Clock &clock, Duration usageLag, const std::string &address)
    : m_keyValue(clock)
    , m_faulty(m_keyValue)
    , m_workers(clock, usageLag)
    , m_server(serverSettings(address), [this](const WebRequest &request) { return handle(request); })
{
}

EmbeddedKeyValue &PlatformServer::keyValue()
{
    return m_keyValue;
}

EmbeddedWorkers &PlatformServer::workers()
{
    return m_workers;
}

std::uint16_t PlatformServer::port() const
{
    return m_server.port();
}

void PlatformServer::stop()
{
    m_server.stop();
}

WebResponse PlatformServer::handle(const WebRequest &request)
{
    Json response;
    if (request.path.starts_with("/kv/")) {
        response = handleKeyValue(request);
    } else if (request.path.starts_with("/lease/")) {
        response = handleLease(request);
    } else if (request.path.starts_with("/workers/")) {
        response = handleWorker(request);
        const std::string body = response.dump();
        ++m_workerCalls;
        m_workerBytes += request.path.size() + request.body.size() + body.size();
        return {200, "application/json", body, {}};
    } else if (request.path == "/vms") {
        response["vms"] = Json::array();
        for (const Vm &it : m_workers.vms()) {
            response["vms"].push_back(toJson(it));
        }
    } else if (request.path == "/faults") {
        response = setFaults(parseJson(request.body));
    } else if (request.path == "/counters") {
        response = counters();
    } else {
        throw NotFound("unknown path " + request.path);
    }
    return {200, "application/json", response.dump(), {}};
}

Json PlatformServer::handleKeyValue(const WebRequest &request)
{
    if (request.path == "/kv/get") {
        const auto entry = m_faulty.get(queryValue(request, "key"));
        return entriesJson(entry ? std::vector<KeyValue>{*entry} : std::vector<KeyValue>{});
    }
    if (request.path == "/kv/list") {
        return entriesJson(m_faulty.list(queryValue(request, "prefix")));
    }
    if (request.path == "/kv/watch") {
        const Duration timeout(static_cast<std::int64_t>(queryNumber(request, "timeout_us")));
        return toJson(m_faulty.watch(queryValue(request, "prefix"), queryNumber(request, "after"), timeout));
    }
    const Json body = parseJson(request.body);
    const std::string key = body.at("key").get<std::string>();
    const Revision expected = body.at("expected").get<Revision>();
    if (request.path == "/kv/cas") {
        const std::string value = decodeBase64(body.at("value").get<std::string>());
        return toJson(m_faulty.compareAndSwap(key, expected, value, body.at("lease").get<LeaseId>()));
    }
    if (request.path == "/kv/remove") {
        return toJson(m_faulty.remove(key, expected));
    }
    throw NotFound("unknown path " + request.path);
}

Json PlatformServer::handleLease(const WebRequest &request)
{
    const Json body = parseJson(request.body);
    if (request.path == "/lease/grant") {
        return {{"lease", m_faulty.grantLease(Duration(body.at("ttl_us").get<std::int64_t>()))}};
    }
    const auto lease = body.at("lease").get<LeaseId>();
    if (request.path == "/lease/renew") {
        return {{"renewed", m_faulty.renewLease(lease)}};
    }
    if (request.path == "/lease/revoke") {
        m_faulty.revokeLease(lease);
        return Json::object();
    }
    throw NotFound("unknown path " + request.path);
}

Json PlatformServer::handleWorker(const WebRequest &request)
{
    const std::size_t prefixBytes = std::string_view("/workers/").size();
    const std::size_t slash = request.path.find('/', prefixBytes);
    if (slash == std::string::npos) {
        throw NotFound("unknown path " + request.path);
    }
    const std::string worker = request.path.substr(prefixBytes, slash - prefixBytes);
    const std::string verb = request.path.substr(slash + 1);
    if (verb == "report") {
        return toJson(m_workers.report(worker));
    }
    const Json body = parseJson(request.body);
    if (verb == "start") {
        m_workers.start(worker, parseStartCommand(body));
    } else if (verb == "renew") {
        const Duration lease(body.at("lease_us").get<std::int64_t>());
        m_workers.renew(worker, body.at("epoch").get<std::uint64_t>(), parseAttempts(body.at("attempts")), lease);
    } else if (verb == "stop") {
        const StopMode mode = body.at("checkpoint").get<bool>() ? StopMode::Checkpoint : StopMode::Kill;
        m_workers.stop(worker, body.at("epoch").get<std::uint64_t>(), parseAttemptId(body.at("attempt")), mode);
    } else if (verb == "throttle") {
        const int permille = body.at("permille").get<int>();
        m_workers.throttle(worker, body.at("epoch").get<std::uint64_t>(), parseAttemptId(body.at("attempt")), permille);
    } else if (verb == "forget") {
        m_workers.forget(worker, parseAttempts(body.at("attempts")));
    } else {
        throw NotFound("unknown path " + request.path);
    }
    return Json::object();
}

Json PlatformServer::setFaults(const Json &faults)
{
    if (faults.contains("down")) {
        m_faulty.down = faults["down"].get<bool>();
    }
    if (faults.contains("lose_write_answers")) {
        m_faulty.loseWriteAnswers = faults["lose_write_answers"].get<int>();
    }
    if (faults.contains("lose_writes")) {
        m_faulty.loseWrites = faults["lose_writes"].get<int>();
    }
    if (faults.contains("vm")) {
        m_workers.setVmState(faults["vm"].get<std::string>(), parseVmState(faults.at("state").get<std::string>()));
    }
    if (faults.contains("worker")) {
        WorkerFaults worker;
        worker.unreachable = faults.value("unreachable", false);
        worker.loseAnswers = faults.value("lose_answers", false);
        worker.failStarts = faults.value("fail_starts", false);
        m_workers.setFaults(faults["worker"].get<std::string>(), worker);
    }
    return Json::object();
}

Json PlatformServer::counters() const
{
    const KeyValueCounters n = m_keyValue.counters();
    return {{"reads", n.reads},
            {"writes", n.writes},
            {"bytes_read", n.bytesRead},
            {"bytes_written", n.bytesWritten},
            {"worker_calls", m_workerCalls.load()},
            {"worker_bytes", m_workerBytes.load()},
            {"highest_concurrency", m_workers.highestConcurrency()},
            {"highest_start_count", m_workers.highestStartCount()}};
}

void addWorkers(EmbeddedWorkers &workers, std::string_view domain, int count, const Resources &capacity)
{
    for (int n = 1; n <= count; ++n) {
        Vm vm;
        vm.name = std::string(domain) + "-w" + std::to_string(n);
        vm.role = VmRole::Worker;
        vm.failureDomain = domain;
        vm.rack = std::string(domain) + "-r" + std::to_string(1 + (n - 1) / WorkersPerRack);
        vm.capacity = capacity;
        workers.addVm(vm);
    }
}

} // namespace QuetzalRock
