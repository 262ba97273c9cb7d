#include <admin/settingsapi.h>

#include <admin/jsonfields.h>
#include <platform/platformjson.h>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

constexpr std::string_view RoutePrefix = "/v1/settings";
constexpr std::size_t MaxIniBytes = 1 << 20;
constexpr std::size_t MaxIdBytes = 128;
constexpr std::int64_t MaxVersion = std::int64_t(1) << 53;

WebResponse jsonResponse(int status, const Json &body)
{
    return {status, "application/json", body.dump() + "\n", {}};
}

Json toJson(const SettingsIssue &issue)
{
    return {{"file", issue.file},
            {"line", issue.line},
            {"section", issue.section},
            {"key", issue.key},
            {"value", issue.value},
            {"message", issue.message}};
}

Json issuesJson(const std::vector<SettingsIssue> &issues)
{
    Json json = Json::array();
    for (const SettingsIssue &it : issues) {
        json.push_back(toJson(it));
    }
    return json;
}

Json changesJson(const std::vector<SettingsChange> &changes)
{
    Json json = Json::array();
    for (const SettingsChange &it : changes) {
        json.push_back(toString(it));
    }
    return json;
}

SettingsPath parsePathOrThrow(const std::string &text)
{
    const std::optional<SettingsPath> path = parsePath(text);
    if (!path) {
        throw InvalidArgument("path", "path: want root, region R, domain R/D, service R/D/S, tenant T [in R/D]");
    }
    return *path;
}

SettingsChange parseChange(const Json &json)
{
    SettingsChange change;
    std::string path;
    std::string value;
    const bool isNull = json.is_object() && json.contains("value") && json["value"].is_null();
    Json rest = json;
    if (isNull) {
        rest.erase("value");
    }
    JsonFields fields(rest);
    fields.readRequired("path", path, MaxTextBytes);
    fields.readRequired("key", change.key, MaxTextBytes);
    if (!isNull) {
        fields.readRequired("value", value, MaxTextBytes);
    }
    fields.throwOnFault();
    change.path = parsePathOrThrow(path);
    if (!isNull) {
        change.after = value;
    }
    return change;
}

WebResponse faultsResponse(const SettingsError &error)
{
    const Json body{{"error", "invalid_argument"}, {"message", error.what()}, {"faults", issuesJson(error.issues())}};
    return jsonResponse(400, body);
}

WebResponse conflictResponse(const SettingsConflict &conflict)
{
    const Json body{{"error", "conflict"},
                    {"message", conflict.what()},
                    {"version", conflict.version()},
                    {"since", changesJson(conflict.changesSinceBase())}};
    return jsonResponse(409, body);
}

std::string_view forceStateName(RolloutState state)
{
    switch (state) {
    case RolloutState::Complete:
        return "in_force";
    case RolloutState::Incomplete:
        return "behind";
    case RolloutState::Unreachable:
        return "not_reached";
    }
    return "not_reached";
}

std::string queryText(const WebRequest &request, const char *key)
{
    const auto it = request.query.find(key);
    return it == request.query.end() ? std::string() : it->second;
}

WebResponse explainResponse(const SettingsDocument &document, const std::string &pathText)
{
    const SettingsPath path = parsePathOrThrow(pathText.empty() ? "root" : pathText);
    Json values = Json::array();
    for (const EffectiveValue &it : explain(document.tree, path)) {
        const SettingKey *key = findSettingKey(it.key);
        values.push_back({{"key", it.key},
                          {"value", it.value},
                          {"from", it.origin ? toString(*it.origin) : "default"},
                          {"acts", key != nullptr && hasEffect(*key)}});
    }
    return jsonResponse(200, {{"path", toString(path)}, {"version", document.version}, {"values", values}});
}

WebResponse historyResponse(const SettingsDocument &document)
{
    Json entries = Json::array();
    for (const HistoryEntry &it : document.history) {
        entries.push_back({{"version", it.version},
                           {"who", it.who},
                           {"when_ms", it.when.count()},
                           {"changes", changesJson(it.changes)}});
    }
    return jsonResponse(200, {{"history", entries}});
}

WebResponse validateResponse(const WebRequest &request)
{
    std::string ini;
    const Json body = parseJson(request.body);
    JsonFields fields(body);
    fields.read("ini", ini, MaxIniBytes);
    fields.throwOnFault();
    SettingsParseResult parse = parseIni(ini, "settings");
    for (SettingsIssue &it : validateTree(parse.tree)) {
        parse.issues.push_back(std::move(it));
    }
    return jsonResponse(200, {{"valid", parse.issues.empty()}, {"faults", issuesJson(parse.issues)}});
}

} // namespace

SettingsApi::SettingsApi(SettingsBackend &backend)
    : m_backend(backend)
{
}

bool SettingsApi::handles(const WebRequest &request)
{
    return request.path == RoutePrefix || request.path.starts_with(std::string(RoutePrefix) + "/");
}

WebResponse SettingsApi::handle(const WebRequest &request, const Account &account)
{
    const std::string routeKey = request.method + request.path.substr(RoutePrefix.size());
    if (routeKey == "GET") {
        const SettingsDocument document = m_backend.settings();
        return jsonResponse(200, {{"version", document.version}, {"ini", formatIni(document.tree)}});
    }
    if (routeKey == "PUT") {
        requireRole(account, Role::Operate);
        return change(request, account);
    }
    if (routeKey == "PUT/import") {
        requireRole(account, Role::Operate);
        return importTree(request, account);
    }
    if (routeKey == "POST/validate") {
        return validateResponse(request);
    }
    if (routeKey == "GET/explain") {
        return explainResponse(m_backend.settings(), queryText(request, "path"));
    }
    if (routeKey == "GET/history") {
        return historyResponse(m_backend.settings());
    }
    if (routeKey == "GET/in-force") {
        const std::string text = queryText(request, "version");
        const bool isNumber
            = !text.empty() && text.size() < 16 && text.find_first_not_of("0123456789") == std::string::npos;
        if (!isNumber) {
            throw InvalidArgument("version", "version: want a whole number");
        }
        return jsonResponse(200, {{"domains", domainsJson(std::stoull(text))}});
    }
    throw NotFound("no route " + request.method + " " + request.path);
}

WebResponse SettingsApi::change(const WebRequest &request, const Account &account)
{
    const Json body = parseJson(request.body);
    if (!body.is_object() || !body.contains("changes") || !body["changes"].is_array()) {
        throw InvalidArgument("changes", "changes: want a JSON array");
    }
    SettingsEdit edit;
    std::int64_t base = 0;
    Json rest = body;
    rest.erase("changes");
    JsonFields fields(rest);
    fields.read("base_version", base, 0, MaxVersion);
    fields.readRequired("write_id", edit.writeId, MaxIdBytes);
    fields.throwOnFault();
    edit.baseVersion = static_cast<std::uint64_t>(base);
    edit.who = account.name;
    for (const Json &it : body["changes"]) {
        edit.changes.push_back(parseChange(it));
    }
    return write(edit);
}

WebResponse SettingsApi::importTree(const WebRequest &request, const Account &account)
{
    SettingsEdit edit;
    std::int64_t base = 0;
    std::string ini;
    const Json body = parseJson(request.body);
    JsonFields fields(body);
    fields.read("base_version", base, 0, MaxVersion);
    fields.readRequired("write_id", edit.writeId, MaxIdBytes);
    fields.read("ini", ini, MaxIniBytes);
    fields.throwOnFault();
    const SettingsParseResult parse = parseIni(ini, "settings");
    if (!parse.issues.empty()) {
        return faultsResponse(SettingsError(parse.issues));
    }
    edit.baseVersion = static_cast<std::uint64_t>(base);
    edit.who = account.name;
    edit.changes = difference(m_backend.settings().tree, parse.tree);
    return write(edit);
}

WebResponse SettingsApi::write(const SettingsEdit &edit)
{
    try {
        const SettingsDocument document = m_backend.changeSettings(edit);
        return jsonResponse(200, {{"version", document.version}, {"domains", domainsJson(document.version)}});
    } catch (const SettingsError &error) {
        return faultsResponse(error);
    } catch (const SettingsConflict &conflict) {
        return conflictResponse(conflict);
    } catch (const Unavailable &error) {
        throw NotRun(error.what(), std::chrono::seconds(2));
    }
}

Json SettingsApi::domainsJson(std::uint64_t version)
{
    Json domains = Json::array();
    for (const DomainRollout &it : m_backend.settingsInForce(version)) {
        domains.push_back({{"region", it.region},
                           {"failure_domain", it.failureDomain},
                           {"state", forceStateName(it.state)},
                           {"lowest", it.lowestVersion},
                           {"members", it.members}});
    }
    return domains;
}

} // namespace QuetzalRock
