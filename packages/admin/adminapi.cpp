#include <admin/adminapi.h>

#include <admin/jobjson.h>
#include <admin/jsonfields.h>
#include <platform/platformjson.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

constexpr std::size_t DefaultPageSize = 100;
constexpr std::size_t MaxPageSize = 1000;
constexpr std::size_t MaxNameBytes = 128;
constexpr std::string_view RoutePrefix = "/v1/";

WebResponse jsonResponse(int status, const Json &body)
{
    return {status, "application/json", body.dump() + "\n", {}};
}

/** Splits the part of @p path after /v1/ at slashes; empty if @p path does not start with /v1/. */
std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> parts;
    if (!path.starts_with(RoutePrefix)) {
        return parts;
    }
    std::string_view rest = path.substr(RoutePrefix.size());
    while (!rest.empty()) {
        const std::size_t slash = rest.find('/');
        parts.emplace_back(rest.substr(0, slash));
        rest = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    }
    return parts;
}

std::uint64_t
queryNumber(const WebRequest &request, const char *key, std::uint64_t defaultValue, std::uint64_t maxValue)
{
    const auto it = request.query.find(key);
    if (it == request.query.end()) {
        return defaultValue;
    }
    std::uint64_t n = 0;
    const char *end = it->second.data() + it->second.size();
    const auto [stop, ec] = std::from_chars(it->second.data(), end, n);
    if (ec != std::errc() || stop != end || n > maxValue) {
        throw InvalidArgument(key, std::string(key) + ": want a whole number up to " + std::to_string(maxValue));
    }
    return n;
}

void requireMethod(const WebRequest &request, std::string_view method)
{
    if (request.method != method) {
        throw Error(ErrorCode::InvalidArgument, request.path + " supports " + std::string(method) + " only", "method");
    }
}

std::optional<WorkloadKind> kindOfCollection(std::string_view name)
{
    if (name == "services") {
        return WorkloadKind::Service;
    }
    if (name == "jobs") {
        return WorkloadKind::Batch;
    }
    if (name == "watches") {
        return WorkloadKind::Watch;
    }
    return std::nullopt;
}

} // namespace

AdminApi::AdminApi(ControlBackend &backend, ProcessBackend &process, SettingsBackend &settings, Credentials credentials)
    : m_backend(backend)
    , m_process(process)
    , m_settings(settings)
    , m_credentials(std::move(credentials))
{
}

WebResponse AdminApi::handle(const WebRequest &request)
{
    if (request.path == "/v1/version") {
        requireMethod(request, "GET");
        return jsonResponse(200, {{"name", "quetzalrock"}, {"api", 1}, {"version", QUETZALROCK_VERSION}});
    }
    if (request.path == "/v1/openapi.json") {
        requireMethod(request, "GET");
        return {200, "application/json", std::string(openApiDocument()), {}};
    }
    const Account &account = m_credentials.authenticate(request.authorization);
    const std::vector<std::string> parts = splitPath(request.path);
    const std::string collection = parts.empty() ? std::string() : parts.front();
    if (const auto kind = kindOfCollection(collection)) {
        return handleWork(request, account, *kind);
    }
    if (SettingsApi::handles(request)) {
        return m_settings.handle(request, account);
    }
    if (parts.size() != 1) {
        throw NotFound("no route " + request.path);
    }
    if (collection == "operator") {
        requireMethod(request, "PUT");
        requireRole(account, Role::Operate);
        return changeOperator(request);
    }
    if (collection == "status") {
        requireMethod(request, "GET");
        return jsonResponse(200, toJson(m_backend.shard()));
    }
    if (collection == "workers") {
        requireMethod(request, "GET");
        Json workers = Json::array();
        for (const WorkerStatus &it : m_backend.shard().workers) {
            workers.push_back(toJson(it));
        }
        return jsonResponse(200, {{"workers", workers}});
    }
    if (collection == "history") {
        requireMethod(request, "GET");
        requireRole(account, Role::Operate);
        return {200, "application/x-ndjson", m_backend.history(), {}};
    }
    if (collection == "members") {
        requireMethod(request, "GET");
        return jsonResponse(200, m_process.members());
    }
    if (collection == "debug") {
        requireMethod(request, "GET");
        requireRole(account, Role::Operate);
        return jsonResponse(200, m_process.debugState());
    }
    throw NotFound("no route " + request.path);
}

bool AdminApi::needsOwner(const WebRequest &request)
{
    const std::vector<std::string> parts = splitPath(request.path);
    if (parts.empty()) {
        return false;
    }
    constexpr std::array<std::string_view, 7> Collections{
        "services", "jobs", "watches", "status", "workers", "history", "operator"};
    return std::find(Collections.begin(), Collections.end(), parts.front()) != Collections.end();
}

WebResponse AdminApi::handleWork(const WebRequest &request, const Account &account, WorkloadKind kind)
{
    const std::vector<std::string> parts = splitPath(request.path);
    if (parts.size() == 1) {
        if (request.method == "POST") {
            return create(request, account, kind);
        }
        requireMethod(request, "GET");
        return list(request, account, kind);
    }
    if (parts.size() != 3) {
        throw NotFound("no route " + request.path);
    }
    const std::string &tenant = parts[1];
    const std::string &name = parts[2];
    requireRole(account, request.method == "DELETE" ? Role::Submit : Role::Read, tenant);
    const JobStatus job = m_backend.describe(tenant, name);
    if (job.spec.kind != kind) {
        throw NotFound(tenant + "/" + name + " is a " + std::string(kindName(job.spec.kind)));
    }
    if (request.method == "DELETE") {
        m_backend.cancel(tenant, name);
        return jsonResponse(202, {{"tenant", tenant}, {"name", name}, {"cancelled", true}});
    }
    requireMethod(request, "GET");
    return jsonResponse(200, toJson(job, true));
}

WebResponse AdminApi::create(const WebRequest &request, const Account &account, WorkloadKind kind)
{
    const JobSpec spec = parseJobSpec(parseJson(request.body), kind);
    requireRole(account, Role::Submit, spec.tenant);
    const JobId id = m_backend.submit(spec);
    return jsonResponse(201, {{"id", id}, {"tenant", spec.tenant}, {"name", spec.name}});
}

WebResponse AdminApi::list(const WebRequest &request, const Account &account, WorkloadKind kind)
{
    const auto requestedTenant = request.query.find("tenant");
    const std::string tenant = requestedTenant == request.query.end() ? account.tenant : requestedTenant->second;
    requireRole(account, Role::Read, tenant);
    const std::size_t limit = queryNumber(request, "limit", DefaultPageSize, MaxPageSize);
    JobId after = queryNumber(request, "after", 0, UINT64_MAX);
    Json items = Json::array();
    bool hasMore = true;
    while (hasMore && items.size() < limit) {
        const std::vector<JobStatus> page = m_backend.jobs(after, limit);
        hasMore = page.size() == limit;
        for (const JobStatus &it : page) {
            after = it.spec.id;
            const bool isSelected = it.spec.kind == kind && (tenant.empty() || it.spec.tenant == tenant);
            if (isSelected) {
                items.push_back(toJson(it, false));
            }
            if (items.size() == limit) {
                hasMore = true;
                break;
            }
        }
    }
    Json body{{"items", items}};
    if (hasMore && limit > 0) {
        body["next_after"] = after;
    }
    return jsonResponse(200, body);
}

WebResponse AdminApi::changeOperator(const WebRequest &request)
{
    const Json body = parseJson(request.body);
    std::string name;
    JsonFields fields(body);
    fields.readRequired("name", name, MaxNameBytes);
    fields.throwOnFault();
    m_backend.changeOperator(name);
    return jsonResponse(200, {{"operator", name}});
}

} // namespace QuetzalRock
