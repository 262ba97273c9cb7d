#include <platform/platformjson.h>

#include <openssl/evp.h>

#include <array>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 3> VmRoleNames{"entry", "worker", "upstream"};
constexpr std::array<std::string_view, 3> VmStateNames{"live", "leaving", "gone"};
constexpr std::array<std::string_view, 7> AttemptStateNames{
    "unknown", "running", "throttled", "finished", "failed", "stopped", "barred"};
constexpr std::array<std::string_view, 3> WorkloadKindNames{"service", "batch", "watch"};

template<typename Enum, std::size_t Count>
Enum parseName(const std::array<std::string_view, Count> &names, std::string_view name, const char *field)
{
    for (std::size_t n = 0; n < Count; ++n) {
        if (names[n] == name) {
            return static_cast<Enum>(n);
        }
    }
    throw InvalidArgument(field, "unknown " + std::string(field) + " " + std::string(name));
}

/** Returns the field @p key of @p json as T. Throws InvalidArgument if it is missing or of another type. */
template<typename T>
T field(const Json &json, const char *key)
{
    const auto it = json.find(key);
    if (it == json.end()) {
        throw InvalidArgument(key, "missing field");
    }
    try {
        return it->get<T>();
    } catch (const Json::exception &) {
        throw InvalidArgument(key, "wrong type");
    }
}

/** Omits fields that have their default value: reports are most of the traffic that an owner receives. */
Json toJson(const AttemptReport &report)
{
    Json json{{"attempt", QuetzalRock::toJson(report.attempt)}, {"state", attemptStateName(report.state)}};
    if (report.usage != Resources{}) {
        json["usage"] = {report.usage.cpuMillis, report.usage.memoryMib, report.usage.accelerators};
    }
    if (report.progress != 0) {
        json["progress"] = report.progress;
    }
    if (report.latencyMs != 0) {
        json["latency_ms"] = report.latencyMs;
    }
    if (!report.checkpoint.empty()) {
        json["checkpoint"] = report.checkpoint;
    }
    if (!report.error.empty()) {
        json["error"] = report.error;
    }
    return json;
}

/** Returns the field @p key of @p json, or @p defaultValue if it is missing. */
template<typename T>
T optionalField(const Json &json, const char *key, T defaultValue)
{
    return json.contains(key) ? field<T>(json, key) : defaultValue;
}

Resources parseUsage(const Json &json)
{
    const auto usage = optionalField<std::vector<std::int64_t>>(json, "usage", {0, 0, 0});
    if (usage.size() != 3) {
        throw InvalidArgument("usage", "expected [cpu_millis, memory_mib, accelerators]");
    }
    return {usage[0], usage[1], usage[2]};
}

AttemptReport parseAttemptReport(const Json &json)
{
    AttemptReport report;
    report.attempt = parseAttemptId(field<Json>(json, "attempt"));
    report.state = parseName<AttemptState>(AttemptStateNames, field<std::string>(json, "state"), "state");
    report.usage = parseUsage(json);
    report.progress = optionalField<double>(json, "progress", 0);
    report.latencyMs = optionalField<double>(json, "latency_ms", 0);
    report.checkpoint = optionalField<std::string>(json, "checkpoint", "");
    report.error = optionalField<std::string>(json, "error", "");
    return report;
}

} // namespace

Json toJson(const Resources &resources)
{
    return {{"cpu_millis", resources.cpuMillis},
            {"memory_mib", resources.memoryMib},
            {"accelerators", resources.accelerators}};
}

Json toJson(const KeyValue &entry)
{
    return {{"key", entry.key}, {"value", encodeBase64(entry.value)}, {"revision", entry.revision}};
}

Json toJson(const CasResult &result)
{
    return {{"swapped", result.swapped}, {"revision", result.revision}};
}

Json toJson(const WatchResult &result)
{
    Json changed = Json::array();
    for (const KeyValue &it : result.changed) {
        changed.push_back(toJson(it));
    }
    return {{"revision", result.revision}, {"changed", changed}, {"removed", result.removed}};
}

Json toJson(const Vm &vm)
{
    return {{"name", vm.name},
            {"role", VmRoleNames.at(static_cast<std::size_t>(vm.role))},
            {"state", vmStateName(vm.state)},
            {"region", vm.region},
            {"failure_domain", vm.failureDomain},
            {"rack", vm.rack},
            {"address", vm.address},
            {"capacity", toJson(vm.capacity)}};
}

Json toJson(const AttemptId &id)
{
    return {id.task.job, id.task.index, id.number};
}

Json toJson(const StartCommand &command)
{
    return {{"attempt", toJson(command.attempt)},
            {"epoch", command.epoch},
            {"start_before_ms", command.startBefore.count()},
            {"kind", WorkloadKindNames.at(static_cast<std::size_t>(command.kind))},
            {"class", command.className},
            {"resources", toJson(command.resources)},
            {"command", command.command},
            {"checkpoint", command.checkpoint},
            {"lease_us", command.lease.count()}};
}

Json toJson(const WorkerReport &report)
{
    Json attempts = Json::array();
    for (const AttemptReport &it : report.attempts) {
        attempts.push_back(toJson(it));
    }
    return {{"worker", report.worker},
            {"clock_ms", report.workerClock.count()},
            {"measured_at_ms", report.measuredAt.count()},
            {"attempts", attempts}};
}

Resources parseResources(const Json &json)
{
    return {field<std::int64_t>(json, "cpu_millis"),
            field<std::int64_t>(json, "memory_mib"),
            field<std::int64_t>(json, "accelerators")};
}

KeyValue parseKeyValue(const Json &json)
{
    return {field<std::string>(json, "key"),
            decodeBase64(field<std::string>(json, "value")),
            field<Revision>(json, "revision")};
}

CasResult parseCasResult(const Json &json)
{
    return {field<bool>(json, "swapped"), field<Revision>(json, "revision")};
}

WatchResult parseWatchResult(const Json &json)
{
    WatchResult result;
    result.revision = field<Revision>(json, "revision");
    for (const Json &it : field<Json>(json, "changed")) {
        result.changed.push_back(parseKeyValue(it));
    }
    result.removed = field<std::vector<std::string>>(json, "removed");
    return result;
}

Vm parseVm(const Json &json)
{
    Vm vm;
    vm.name = field<std::string>(json, "name");
    vm.role = parseName<VmRole>(VmRoleNames, field<std::string>(json, "role"), "role");
    vm.state = parseVmState(field<std::string>(json, "state"));
    vm.region = field<std::string>(json, "region");
    vm.failureDomain = field<std::string>(json, "failure_domain");
    vm.rack = field<std::string>(json, "rack");
    vm.address = field<std::string>(json, "address");
    vm.capacity = parseResources(field<Json>(json, "capacity"));
    return vm;
}

AttemptId parseAttemptId(const Json &json)
{
    if (!json.is_array() || json.size() != 3) {
        throw InvalidArgument("attempt", "expected [job, index, number]");
    }
    try {
        return {{json[0].get<JobId>(), json[1].get<std::uint32_t>()}, json[2].get<std::uint32_t>()};
    } catch (const Json::exception &) {
        throw InvalidArgument("attempt", "expected three whole numbers");
    }
}

StartCommand parseStartCommand(const Json &json)
{
    StartCommand command;
    command.attempt = parseAttemptId(field<Json>(json, "attempt"));
    command.epoch = field<std::uint64_t>(json, "epoch");
    command.startBefore = WorkerTime(field<std::int64_t>(json, "start_before_ms"));
    command.kind = parseName<WorkloadKind>(WorkloadKindNames, field<std::string>(json, "kind"), "kind");
    command.className = field<std::string>(json, "class");
    command.resources = parseResources(field<Json>(json, "resources"));
    command.command = field<std::string>(json, "command");
    command.checkpoint = field<std::string>(json, "checkpoint");
    command.lease = Duration(field<std::int64_t>(json, "lease_us"));
    return command;
}

WorkerReport parseWorkerReport(const Json &json)
{
    WorkerReport report;
    report.worker = field<std::string>(json, "worker");
    report.workerClock = WorkerTime(field<std::int64_t>(json, "clock_ms"));
    report.measuredAt = WorkerTime(field<std::int64_t>(json, "measured_at_ms"));
    for (const Json &it : field<Json>(json, "attempts")) {
        report.attempts.push_back(parseAttemptReport(it));
    }
    return report;
}

std::string_view vmStateName(VmState state)
{
    return VmStateNames.at(static_cast<std::size_t>(state));
}

VmState parseVmState(std::string_view name)
{
    return parseName<VmState>(VmStateNames, name, "state");
}

std::string_view attemptStateName(AttemptState state)
{
    return AttemptStateNames.at(static_cast<std::size_t>(state));
}

Json parseJson(std::string_view text)
{
    try {
        return Json::parse(text);
    } catch (const Json::exception &error) {
        throw InvalidArgument("body", std::string("invalid JSON: ") + error.what());
    }
}

std::string encodeBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3), '\0');
    const auto *in = reinterpret_cast<const unsigned char *>(bytes.data());
    auto *out = reinterpret_cast<unsigned char *>(text.data());
    EVP_EncodeBlock(out, in, static_cast<int>(bytes.size()));
    return text;
}

std::string decodeBase64(std::string_view text)
{
    if (text.empty()) {
        return {};
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    const auto *in = reinterpret_cast<const unsigned char *>(text.data());
    auto *out = reinterpret_cast<unsigned char *>(bytes.data());
    if (text.size() % 4 != 0 || EVP_DecodeBlock(out, in, static_cast<int>(text.size())) < 0) {
        throw InvalidArgument("value", "invalid base64");
    }
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace QuetzalRock
