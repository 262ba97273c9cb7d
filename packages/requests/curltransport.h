/**
 * Upstream exchanges over HTTP/1.1 with libcurl.
 *
 * Three properties of libcurl matter here:
 *   - It resends a request on its own if a reused connection closes without an answer. onBeforeSend() allows each
 *     exchange to start sending once; it aborts a second start, which is reported as Broken.
 *   - CURLOPT_PREREQFUNCTION runs right before the first byte is sent, so it shows whether a byte may have left.
 *   - Cancelling an exchange closes its connection, so a late answer is never taken for that of another request.
 *
 * A connection is verified while its last whole answer is recent: at most RequestSettings::verifiedConnectionWindow ago
 * for exchanges with verifiedConnectionOnly, and after Instance::suspectBefore for all. New connections are verified.
 */
#pragma once

#include <requests/settings.h>
#include <requests/transport.h>

#include <atomic>
#include <list>
#include <unordered_map>

#include <curl/curl.h>

namespace QuetzalRock {

struct TransportCounters
{
    std::atomic<std::uint64_t> exchanges = 0;               ///< sent
    std::atomic<std::uint64_t> connections = 0;             ///< opened
    std::atomic<std::uint64_t> unverifiedReusesAvoided = 0; ///< reuses given up before the first byte
    std::atomic<std::uint64_t> resendsPrevented = 0;        ///< resends by libcurl that were aborted
    std::atomic<std::uint64_t> suspectConnections = 0;      ///< closed because they were unresponsive
    std::atomic<std::uint64_t> truncatedAnswers = 0;        ///< answers that ended too early
};

class CurlTransport final : public UpstreamTransport
{
public:
    CurlTransport(const RequestSettings &settings, Clock &clock);
    ~CurlTransport() override;
    CurlTransport(const CurlTransport &) = delete;
    CurlTransport &operator=(const CurlTransport &) = delete;

    void send(const Exchange &exchange) override;
    bool cancel(ExchangeId id, bool suspect) override;
    void poll(Duration wait, std::vector<ExchangeResult> &results) override;
    void wake() override;

    const TransportCounters &counters() const;

private:
    struct Connection
    {
        TimePoint answeredAt; ///< end of the last whole answer
    };
    /** State of an instance, identified by "ip:port". */
    struct Instance
    {
        std::unordered_map<int, Connection> connections; ///< by local port; only those that have answered
        TimePoint suspectBefore;                         ///< connections whose last answer is older are suspect
    };
    struct Transfer
    {
        CurlTransport *transport = nullptr;
        CURL *easy = nullptr;
        curl_slist *headers = nullptr;
        Instance *instance = nullptr;
        Exchange exchange;
        TimePoint startedAt;
        std::string url;
        bool needsFreshConnection = false;   ///< must not reuse a connection
        bool hasStartedSending = false;      ///< set right before the first byte
        bool isConnectionUnverified = false; ///< reuse was given up before the first byte
        bool isResendPrevented = false;
        bool isTooLarge = false;
        bool hasKnownLength = false; ///< Content-Length or Transfer-Encoding was received
        char error[CURL_ERROR_SIZE] = {};
        CallerResponse response;
    };

    static int onBeforeSend(void *user, char *remoteIp, char *localIp, int remotePort, int localPort);
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *user);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *user);
    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *user, void *socketUser);
    static int onTimer(CURLM *multi, long timeoutMs, void *user);

    CURL *acquireHandle();
    void configure(Transfer &transfer);
    void setMethod(Transfer &transfer);
    void setHeaders(Transfer &transfer);
    void startTransfer(Transfer &transfer);
    void releaseHandle(Transfer &transfer);
    void collectFinished(std::vector<ExchangeResult> &results);
    void finishTransfer(Transfer &transfer, CURLcode code, std::vector<ExchangeResult> &results);
    bool isVerified(const Transfer &transfer, int localPort) const;
    static bool hasWholeAnswer(const Transfer &transfer);

    const RequestSettings &m_settings;
    Clock &m_clock;
    CURLM *m_multi = nullptr;
    int m_epoll = -1;
    int m_wakeup = -1;
    TimePoint m_timerAt = TimePoint::max(); ///< when libcurl's timer is due
    std::vector<CURL *> m_idleHandles;
    std::unordered_map<ExchangeId, std::unique_ptr<Transfer>> m_transfers;
    std::unordered_map<std::string, std::unique_ptr<Instance>> m_instances; ///< by address; entries are never erased
    TransportCounters m_counters;
};

} // namespace QuetzalRock
