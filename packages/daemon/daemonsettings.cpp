#include <daemon/daemonsettings.h>

#include <base/errors.h>

#include <array>

namespace QuetzalRock {

namespace {

constexpr std::int64_t MsPerHour = 3'600'000;
constexpr Duration DefaultClaimAppendInterval = std::chrono::milliseconds(50);
constexpr std::array<std::string_view, 2> PlatformKinds{"embedded", "http"};
constexpr std::array<std::string_view, 3> RoleNames{"read", "submit", "operate"};
constexpr std::string_view ClassPrefix = "class.";
constexpr std::string_view AccountPrefix = "account.";
constexpr std::string_view UpstreamPrefix = "upstream.";

std::int64_t millis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** Reads an integer into a field whose type is not std::int64_t. */
template<typename T>
void readIntAs(SettingsReader &reader, std::string_view key, T &field, std::int64_t minValue, std::int64_t maxValue)
{
    auto n = static_cast<std::int64_t>(field);
    reader.readInt(key, n, minValue, maxValue);
    field = static_cast<T>(n);
}

void readProcess(SettingsReader &reader, ProcessSection &section)
{
    reader.beginSection("process");
    reader.readRequired("name", section.name);
    reader.readRequired("region", section.region);
    reader.readRequired("failure_domain", section.failureDomain);
    reader.readMillis("drain_notice_ms", section.drainNotice, 0, MsPerHour);
    reader.readMillis("drain_limit_ms", section.drainLimit, 0, MsPerHour);
    reader.endSection();
}

void readListen(SettingsReader &reader, ListenSection &section)
{
    reader.beginSection("listen");
    reader.readAddress("requests", section.requests);
    reader.readAddress("admin", section.admin);
    reader.readInt("admin_threads", section.adminThreads, 1, 64);
    reader.readString("certificate", section.certificateFile);
    reader.readString("key", section.keyFile);
    if (section.certificateFile.empty() != section.keyFile.empty()) {
        reader.addFault("certificate", "set both certificate and key, or neither");
    }
    reader.endSection();
}

void readPlatform(SettingsReader &reader, PlatformSection &section)
{
    reader.beginSection("platform");
    reader.readChoice("kind", section.kind, PlatformKinds);
    reader.readAddress("address", section.address);
    reader.readString("token", section.token);
    reader.readMillis("timeout_ms", section.timeout, 10, 60'000);
    reader.readMillis("worker_timeout_ms", section.workerTimeout, 10, 60'000);
    reader.endSection();
}

/** Parses "ID:SECRET". Returns false if the id is empty or the secret has fewer than MinSecretBytes. */
bool parsePeerKey(const std::string &text, PeerKey &key)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    key.id = text.substr(0, colon);
    key.secret = text.substr(colon + 1);
    return key.secret.size() >= MinSecretBytes;
}

void readPeers(SettingsReader &reader, PeersSection &section, bool isRequired)
{
    std::vector<std::string> keys;
    reader.beginSection("peers");
    reader.readAddress("listen", section.listen);
    reader.readAddress("advertised", section.advertised);
    reader.readList("keys", keys);
    reader.readList("seeds", section.seeds);
    reader.readMillis("settle_ms", section.settleDelay, 0, 60'000);
    reader.readInt("claim_shards", section.claimShards, 1, 64);
    for (const std::string &it : keys) {
        section.keys.emplace_back();
        if (!parsePeerKey(it, section.keys.back())) {
            reader.addFault("keys", "want ID:SECRET, separated by commas, each secret with at least 16 bytes");
        }
    }
    if (isRequired && keys.empty()) {
        reader.addFault("keys", "required with [platform] kind = http: ID:SECRET");
    }
    reader.endSection();
}

void readEmbedded(SettingsReader &reader, EmbeddedSection &section)
{
    reader.beginSection("embedded");
    reader.readInt("workers", section.workers, 1, 10'000);
    reader.readInt("worker_cpu_millis", section.workerCpuMillis, 1, 1'000'000);
    reader.readInt("worker_memory_mib", section.workerMemoryMib, 1, 64LL * 1024 * 1024);
    reader.readInt("worker_accelerators", section.workerAccelerators, 0, 1024);
    reader.readInt("upstreams", section.upstreams, 0, 200);
    reader.readMillis("usage_lag_ms", section.usageLag, 0, MsPerHour);
    reader.endSection();
}

void readScheduler(SettingsReader &reader, SchedulerSection &section)
{
    reader.beginSection("scheduler");
    reader.readInt("shard", section.shard, 1, 65'535);
    reader.readMillis("step_ms", section.maxStepInterval, 10, 10'000);
    reader.readMillis("append_ms", section.minAppendInterval, 20, 10'000);
    reader.readMillis("answer_ms", section.unresolvedWriteTimeout, 100, 60'000);
    reader.endSection();
}

void readAdmin(SettingsReader &reader, AdminSection &section)
{
    reader.beginSection("admin");
    reader.readBool("open", section.allowsAnonymous);
    reader.endSection();
    for (const std::string &it : reader.sectionsWithPrefix(AccountPrefix)) {
        Account account;
        account.name = it.substr(AccountPrefix.size());
        std::string role = "read";
        reader.beginSection(it);
        reader.readString("tenant", account.tenant);
        reader.readChoice("role", role, RoleNames);
        reader.readList("token_hashes", account.tokenHashes);
        if (account.tokenHashes.empty()) {
            reader.addFault("token_hashes", "required: hashes printed by `quetzalrock token`, separated by commas");
        }
        reader.endSection();
        account.role = parseRole(role);
        section.accounts.push_back(std::move(account));
    }
}

void readClass(SettingsReader &reader, const std::string &section, RequestClass &cls)
{
    cls.name = section.substr(ClassPrefix.size());
    reader.beginSection(section);
    reader.readString("tenant", cls.tenant);
    reader.readRequired("path_prefix", cls.pathPrefix);
    reader.readList("methods", cls.methods);
    reader.readBool("idempotent", cls.idempotent);
    reader.readBool("require_key", cls.requireKey);
    reader.readMillis("deadline_ms", cls.deadline, 1, MsPerHour);
    readIntAs(reader, "priority", cls.priority, 0, 1000);
    readIntAs(reader, "queue_limit", cls.queueLimit, 1, 100'000);
    reader.readDouble("tenant_rate", cls.tenantRate, 0, 1e6);
    reader.readDouble("tenant_burst", cls.tenantBurst, 1, 1e6);
    reader.readMillis("expected_ms", cls.expectedTime, 1, MsPerHour);
    if (cls.idempotent && cls.requireKey) {
        reader.addFault("require_key", "require_key = true needs idempotent = false");
    }
    reader.endSection();
}

void readRequests(SettingsReader &reader, RequestSettings &settings)
{
    reader.beginSection("requests");
    readIntAs(reader, "slots_per_instance", settings.slotsPerInstance, 1, 1024);
    readIntAs(reader, "connections_per_instance", settings.connectionsPerInstance, 1, 65'535);
    readIntAs(reader, "entry_members", settings.entryMembers, 1, 64);
    readIntAs(reader, "max_open_requests", settings.maxOpenRequests, 1, 1'000'000);
    readIntAs(reader, "max_attempts", settings.maxAttempts, 1, 10);
    reader.readDouble("retry_share", settings.retryTokensPerSuccess, 0, 1);
    readIntAs(reader, "max_body_bytes", settings.maxBodyBytes, 1, 64 << 20);
    readIntAs(reader, "max_answer_bytes", settings.maxAnswerBytes, 1, 64 << 20);
    readIntAs(reader, "threads", settings.frontThreads, 1, 64);
    reader.readMillis("claim_window_ms", settings.claimRetention, 1000, 24 * MsPerHour);
    settings.minClaimAppendInterval = DefaultClaimAppendInterval;
    reader.readMillis("claim_append_ms", settings.minClaimAppendInterval, 0, 5000);
    reader.endSection();
    for (const std::string &it : reader.sectionsWithPrefix(ClassPrefix)) {
        settings.classes.emplace_back();
        readClass(reader, it, settings.classes.back());
    }
}

void readUpstreams(SettingsReader &reader, std::vector<UpstreamSection> &upstreams)
{
    for (const std::string &it : reader.sectionsWithPrefix(UpstreamPrefix)) {
        UpstreamSection upstream;
        upstream.name = it.substr(UpstreamPrefix.size());
        reader.beginSection(it);
        reader.readAddress("address", upstream.address);
        if (upstream.address.empty()) {
            reader.addFault("address", "required: ip:port");
        }
        reader.readString("failure_domain", upstream.failureDomain);
        reader.endSection();
        upstreams.push_back(std::move(upstream));
    }
}

std::string joinWithCommas(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &it : items) {
        text += text.empty() ? it : "," + it;
    }
    return text;
}

std::string_view boolName(bool value)
{
    return value ? "true" : "false";
}

void printClass(const RequestClass &cls, std::ostream &out)
{
    out << "\n[class." << cls.name << "]\n";
    out << "tenant = " << cls.tenant << "\n";
    out << "path_prefix = " << cls.pathPrefix << "\n";
    out << "methods = " << joinWithCommas(cls.methods) << "\n";
    out << "idempotent = " << boolName(cls.idempotent) << "\n";
    out << "require_key = " << boolName(cls.requireKey) << "\n";
    out << "deadline_ms = " << millis(cls.deadline) << "\n";
    out << "priority = " << cls.priority << "\n";
    out << "queue_limit = " << cls.queueLimit << "\n";
    out << "tenant_rate = " << cls.tenantRate << "\n";
    out << "tenant_burst = " << cls.tenantBurst << "\n";
    out << "expected_ms = " << millis(cls.expectedTime) << "\n";
}

} // namespace

DaemonSettings parseDaemonSettings(std::string_view file, std::string_view text, std::vector<SettingFault> &faults)
{
    DaemonSettings settings;
    const IniFile ini = parseIni(file, text, faults);
    SettingsReader reader(ini, faults);
    readProcess(reader, settings.process);
    readListen(reader, settings.listen);
    readPlatform(reader, settings.platform);
    readPeers(reader, settings.peers, settings.platform.kind == "http");
    readEmbedded(reader, settings.embedded);
    readScheduler(reader, settings.scheduler);
    readAdmin(reader, settings.admin);
    readRequests(reader, settings.requests);
    readUpstreams(reader, settings.upstreams);
    reader.endFile();
    settings.requests.failureDomain = settings.process.failureDomain;
    const std::size_t colon = settings.listen.requests.rfind(':');
    settings.requests.listenAddress = settings.listen.requests.substr(0, colon);
    settings.requests.listenPort = static_cast<std::uint16_t>(std::stoi(settings.listen.requests.substr(colon + 1)));
    if (!faults.empty()) {
        return settings; // check() could only report consequential errors, without a line number
    }
    for (const std::string &it : check(settings.requests)) {
        faults.push_back({std::string(file), 0, "requests", {}, {}, it});
    }
    return settings;
}

void printSettings(const DaemonSettings &settings, std::ostream &out)
{
    const ProcessSection &process = settings.process;
    out << "[process]\n";
    out << "name = " << process.name << "\n";
    out << "region = " << process.region << "\n";
    out << "failure_domain = " << process.failureDomain << "\n";
    out << "drain_notice_ms = " << millis(process.drainNotice) << "\n";
    out << "drain_limit_ms = " << millis(process.drainLimit) << "\n";
    const ListenSection &listen = settings.listen;
    out << "\n[listen]\n";
    out << "requests = " << listen.requests << "\n";
    out << "admin = " << listen.admin << "\n";
    out << "admin_threads = " << listen.adminThreads << "\n";
    out << "certificate = " << listen.certificateFile << "\n";
    out << "key = " << listen.keyFile << "\n";
    out << "\n[platform]\n";
    out << "kind = " << settings.platform.kind << "\n";
    out << "address = " << settings.platform.address << "\n";
    out << "timeout_ms = " << millis(settings.platform.timeout) << "\n";
    out << "worker_timeout_ms = " << millis(settings.platform.workerTimeout) << "\n";
    const PeersSection &peers = settings.peers;
    out << "\n[peers]\n";
    out << "listen = " << peers.listen << "\n";
    if (!peers.advertised.empty()) {
        out << "advertised = " << peers.advertised << "\n";
    }
    out << "seeds = " << joinWithCommas(peers.seeds) << "\n";
    out << "settle_ms = " << millis(peers.settleDelay) << "\n";
    out << "claim_shards = " << peers.claimShards << "\n";
    const EmbeddedSection &embedded = settings.embedded;
    out << "\n[embedded]\n";
    out << "workers = " << embedded.workers << "\n";
    out << "worker_cpu_millis = " << embedded.workerCpuMillis << "\n";
    out << "worker_memory_mib = " << embedded.workerMemoryMib << "\n";
    out << "worker_accelerators = " << embedded.workerAccelerators << "\n";
    out << "upstreams = " << embedded.upstreams << "\n";
    out << "usage_lag_ms = " << millis(embedded.usageLag) << "\n";
    const SchedulerSection &scheduler = settings.scheduler;
    out << "\n[scheduler]\n";
    out << "shard = " << scheduler.shard << "\n";
    out << "step_ms = " << millis(scheduler.maxStepInterval) << "\n";
    out << "append_ms = " << millis(scheduler.minAppendInterval) << "\n";
    out << "answer_ms = " << millis(scheduler.unresolvedWriteTimeout) << "\n";
    out << "\n[admin]\n";
    out << "open = " << boolName(settings.admin.allowsAnonymous) << "\n";
    const RequestSettings &requests = settings.requests;
    out << "\n[requests]\n";
    out << "slots_per_instance = " << requests.slotsPerInstance << "\n";
    out << "connections_per_instance = " << requests.connectionsPerInstance << "\n";
    out << "entry_members = " << requests.entryMembers << "\n";
    out << "max_open_requests = " << requests.maxOpenRequests << "\n";
    out << "max_attempts = " << requests.maxAttempts << "\n";
    out << "retry_share = " << requests.retryTokensPerSuccess << "\n";
    out << "max_body_bytes = " << requests.maxBodyBytes << "\n";
    out << "max_answer_bytes = " << requests.maxAnswerBytes << "\n";
    out << "threads = " << requests.frontThreads << "\n";
    out << "claim_append_ms = " << millis(requests.minClaimAppendInterval) << "\n";
    out << "claim_window_ms = " << millis(requests.claimRetention) << "\n";
    for (const RequestClass &it : requests.classes) {
        printClass(it, out);
    }
    for (const UpstreamSection &it : settings.upstreams) {
        out << "\n[upstream." << it.name << "]\n";
        out << "address = " << it.address << "\n";
        out << "failure_domain = " << it.failureDomain << "\n";
    }
}

} // namespace QuetzalRock
