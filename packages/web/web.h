/**
 * HTTP for control: the administration API, the platform's services, the stand-ins. Requests of callers have a path of
 * their own in the requests package.
 *
 * Index of this file
 *   WebRequest, WebResponse   plain messages
 *   WebServer                 Pistache; one handler function for everything
 *   WebClient                 libcurl; one blocking call at a time
 */
#pragma once

#include <base/clock.h>
#include <base/errors.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

struct WebRequest
{
    std::string method;                       ///< upper case
    std::string path;                         ///< without the query
    std::map<std::string, std::string> query; ///< decoded
    std::string authorization;                ///< the header's value; empty where there is none
    std::string body;
};

struct WebResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    Duration retryAfter{}; ///< sent as Retry-After in whole seconds, rounded up; 0: not sent
};

/** The text of @p text with the %XX and + of a URL's query decoded. */
std::string decodeUrl(std::string_view text);

/** The text of @p text so that it can stand in a URL's path or query. */
std::string encodeUrl(std::string_view text);

// ---------------------------------------------------------------------------------------------------------------------
// WebServer
// ---------------------------------------------------------------------------------------------------------------------

struct WebServerSettings
{
    std::string address = "127.0.0.1:0"; ///< ip:port; port 0 takes a free one
    int threads = 2;                     ///< a handler that blocks holds one
    std::size_t maxBodyBytes = 1 << 20;  ///< larger requests get a 413
    std::string certificateFile;         ///< PEM; with keyFile: TLS
    std::string keyFile;                 ///< PEM
};

/** Serves from construction until stop(). Handlers run on its threads; what they throw becomes a typed JSON error. */
class WebServer
{
public:
    using Handler = std::function<WebResponse(const WebRequest &)>;

    WebServer(const WebServerSettings &settings, Handler handler);
    ~WebServer();
    WebServer(const WebServer &) = delete;
    WebServer &operator=(const WebServer &) = delete;

    std::uint16_t port() const;
    void stop(); ///< waits for requests in flight, then closes; idempotent

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/** The typed JSON answer for @p error, as every server of this project gives it. */
WebResponse errorResponse(const Error &error);

// ---------------------------------------------------------------------------------------------------------------------
// WebClient
// ---------------------------------------------------------------------------------------------------------------------

struct WebCall
{
    std::string method = "GET";
    std::string url;
    std::string authorization; ///< sent as the header where not empty
    std::string body;
    Duration timeout = std::chrono::seconds(5);
    std::string caFile; ///< PEM; for https where the system's own roots do not do
};

/**
 * Keeps connections between calls; thread-safe, one connection for each call that runs at the same time.
 * call() throws Unavailable where the request surely did not leave, OutcomeUnknown where it may have.
 */
class WebClient
{
public:
    WebClient();
    ~WebClient();
    WebClient(const WebClient &) = delete;
    WebClient &operator=(const WebClient &) = delete;

    WebResponse call(const WebCall &call);

private:
    void *takeHandle();
    void giveHandle(void *handle);

    std::mutex m_mutex;
    std::vector<void *> m_idle; ///< CURL easy handles, each with its kept connections
};

} // namespace QuetzalRock
