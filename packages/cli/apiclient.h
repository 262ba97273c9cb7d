/** Calls of the administration API with the exit codes of the command line. */
#pragma once

#include <web/web.h>

#include <nlohmann/json.hpp>

#include <string>

namespace QuetzalRock {

/** What a command ends with; stable, for scripts. */
enum class ExitCode : int {
    Done = 0,
    Failed = 1,         ///< it was taken, and failed
    Usage = 2,          ///< the command line or a field is wrong; nothing changed
    NotRun = 3,         ///< refused or not reached: nothing changed, safe to repeat
    OutcomeUnknown = 4, ///< repeat it as it is: creating and cancelling are idempotent
    Refused = 5,        ///< no such object, a conflict, or no right to do this; nothing changed
};

/** Thrown for every answer that is no success. */
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
    std::string url = "http://127.0.0.1:8081"; ///< of any entry VM of the failure domain
    std::string token;                         ///< empty: none is sent
    std::string caFile;                        ///< PEM, for https
};

class ApiClient
{
public:
    explicit ApiClient(ServerAddress server);

    /** The answer's JSON. Throws ApiError. */
    nlohmann::json call(const std::string &method, const std::string &path, const nlohmann::json &body = {});

    /** The answer's text. Throws ApiError. */
    std::string fetch(const std::string &method, const std::string &path, const std::string &body = {});

private:
    ServerAddress m_server;
    WebClient m_client;
};

} // namespace QuetzalRock
