/**
 * HTTP server and client for control traffic: administration API, platform services and their stand-ins. Routed user
 * requests do not use them; see the requests package.
 *
 * Index of this file
 *   WebRequest, WebResponse   one HTTP message each
 *   WebServer                 HTTP server on Pistache with one handler function
 *   WebClient                 blocking HTTP client on libcurl
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
    std::string method;                       ///< uppercase, such as "GET"
    std::string path;                         ///< decoded, without the query
    std::map<std::string, std::string> query; ///< decoded
    std::string authorization;                ///< value of the Authorization header; empty: none
    std::string body;
};

struct WebResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    Duration retryAfter{}; ///< Retry-After header, rounded up to whole seconds; 0: not sent
};

/** Decodes %XX escapes and + (as a space), as in the query of a URL. */
std::string decodeUrl(std::string_view text);

/** Percent-encodes @p text for use in the path or query of a URL. */
std::string encodeUrl(std::string_view text);

// ---------------------------------------------------------------------------------------------------------------------
// WebServer
// ---------------------------------------------------------------------------------------------------------------------

struct WebServerSettings
{
    std::string address = "127.0.0.1:0"; ///< "ip:port"; port 0: any free port
    int threads = 2;                     ///< handler threads; a blocking handler occupies one
    std::size_t maxBodyBytes = 1 << 20;  ///< larger requests are rejected with status 413
    std::string certificateFile;         ///< PEM; empty: no TLS
    std::string keyFile;                 ///< PEM; private key of certificateFile
};

/**
 * Serves from construction until stop(). The constructor throws InvalidArgument for field "certificate" if it cannot use
 * the certificate or its key, and the system's error if it cannot listen. Handlers run on its threads; their exceptions become JSON error responses.
 */
class WebServer
{
public:
    using Handler = std::function<WebResponse(const WebRequest &)>;

    WebServer(const WebServerSettings &settings, Handler handler);
    ~WebServer();
    WebServer(const WebServer &) = delete;
    WebServer &operator=(const WebServer &) = delete;

    std::uint16_t port() const;
    void stop(); ///< waits for requests in flight, then shuts down; idempotent

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/** Returns the JSON error response for @p error, in the format common to all servers of this project. */
WebResponse errorResponse(const Error &error);

// ---------------------------------------------------------------------------------------------------------------------
// WebClient
// ---------------------------------------------------------------------------------------------------------------------

struct WebCall
{
    std::string method = "GET";
    std::string url;
    std::string authorization; ///< value of the Authorization header; empty: not sent
    std::string body;
    Duration timeout = std::chrono::seconds(5);
    std::string caFile; ///< PEM; CA certificates for https; empty: those of the system
    std::string host{}; ///< value of the Host header; empty: from the URL
};

/**
 * Reuses connections between calls; concurrent calls use one connection each. Thread-safe.
 * call() throws Unavailable if the request was certainly not sent and OutcomeUnknown if it may have been sent.
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
    void *acquireHandle();
    void releaseHandle(void *handle);

    std::mutex m_mutex;
    std::vector<void *> m_idle; ///< unused CURL easy handles, each with its open connections
};

} // namespace QuetzalRock
