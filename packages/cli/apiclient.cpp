#include <cli/apiclient.h>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

constexpr Duration CallTimeout = std::chrono::seconds(15);

ExitCode toExitCode(const std::string &error)
{
    if (error == "not_run" || error == "unavailable") {
        return ExitCode::NotRun;
    }
    if (error == "outcome_unknown") {
        return ExitCode::OutcomeUnknown;
    }
    if (error == "invalid_argument") {
        return ExitCode::Usage;
    }
    if (error == "failed") {
        return ExitCode::Failed;
    }
    return ExitCode::Refused;
}

ApiError toApiError(const WebResponse &response)
{
    const Json body = Json::parse(response.body, nullptr, false);
    if (!body.is_object() || !body.contains("error")) {
        return {ExitCode::Failed, "the server responded with HTTP status " + std::to_string(response.status)};
    }
    const std::string error = body["error"].get<std::string>();
    std::string message = error + ": " + body.value("message", "");
    if (body.contains("retry_after_s")) {
        message += " (nothing changed; retry in " + body["retry_after_s"].dump() + " s)";
    }
    if (error == "outcome_unknown") {
        message += " (run the same command again: it is idempotent)";
    }
    if (error == "unauthenticated") {
        message += " (set the token with --token-file or QUETZALROCK_TOKEN)";
    }
    for (const Json &it : body.value("since", Json::array())) {
        message += "\n  changed since the base version: " + it.get<std::string>();
    }
    return {toExitCode(error), message};
}

} // namespace

ApiError::ApiError(ExitCode exitCode, const std::string &message)
    : std::runtime_error(message)
    , m_exitCode(exitCode)
{
}

ExitCode ApiError::exitCode() const noexcept
{
    return m_exitCode;
}

ApiClient::ApiClient(ServerAddress server)
    : m_server(std::move(server))
{
}

Json ApiClient::call(const std::string &method, const std::string &path, const Json &body)
{
    const std::string text = fetch(method, path, body.is_null() ? std::string() : body.dump());
    Json result = Json::parse(text, nullptr, false);
    if (result.is_discarded()) {
        throw ApiError(ExitCode::OutcomeUnknown, "the response is not valid JSON; run the same command again");
    }
    return result;
}

std::string ApiClient::fetch(const std::string &method, const std::string &path, const std::string &body)
{
    WebCall call;
    call.method = method;
    call.url = m_server.url + path;
    call.body = body;
    call.timeout = CallTimeout;
    call.caFile = m_server.caFile;
    call.host = m_server.host;
    if (!m_server.token.empty()) {
        call.authorization = "Bearer " + m_server.token;
    }
    try {
        const WebResponse response = m_client.call(call);
        if (response.status >= 300) {
            throw toApiError(response);
        }
        return response.body;
    } catch (const Unavailable &error) {
        const std::string advice = " (is quetzalrockd running there? select another entry VM with --server)";
        throw ApiError(ExitCode::NotRun, error.what() + advice);
    } catch (const OutcomeUnknown &error) {
        const std::string advice = " (no response; run the same command again: it is idempotent)";
        throw ApiError(ExitCode::OutcomeUnknown, error.what() + advice);
    }
}

} // namespace QuetzalRock
