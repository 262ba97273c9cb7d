/** Client of the administration API. Converts error responses to the exit codes of the command line. */
#pragma once

#include <web/web.h>

#include <nlohmann/json.hpp>

#include <string>

namespace QuetzalRock {

/** Exit codes of the commands. Scripts rely on them: the numbers must not change. */
enum class ExitCode : int {
    Done = 0,
    Failed = 1,         ///< the request was accepted and failed
    Usage = 2,          ///< wrong command line or invalid field; nothing changed
    NotRun = 3,         ///< rejected, or server not reachable; nothing changed, safe to retry
    OutcomeUnknown = 4, ///< retry the same command: creating and cancelling are idempotent
    Refused = 5,        ///< not found, conflict, or permission denied; nothing changed
};

/** Thrown if the server cannot be reached or its response is not a success. */
class ApiError : public std::runtime_error
{
public:
    ApiError(ExitCode exitCode, const std::string &message);
    ExitCode exitCode() const noexcept;

private:
    ExitCode m_exitCode;
};

struct ServerAddress
{
    std::string url = "http://127.0.0.1:8081"; ///< administration API of any entry VM of the failure domain
    std::string token;                         ///< empty: no Authorization header is sent
    std::string caFile;                        ///< PEM file of the certificate authority, for https
    std::string host; ///< Host header; empty: the one of the URL. Selects a queue on a node of a fleet
};

class ApiClient
{
public:
    explicit ApiClient(ServerAddress server);

    /** Sends @p body as JSON and returns the JSON of the response. Throws ApiError. */
    nlohmann::json call(const std::string &method, const std::string &path, const nlohmann::json &body = {});

    /** Sends @p body and returns the text of the response. Throws ApiError. */
    std::string fetch(const std::string &method, const std::string &path, const std::string &body = {});

private:
    ServerAddress m_server;
    WebClient m_client;
};

} // namespace QuetzalRock
