/**
 * Upstream exchanges over HTTP/1.1 by libcurl.
 *
 * Three habits of libcurl matter here:
 *   - It sends a request again by itself where a reused connection closes without an answer. Every exchange is allowed
 *     one single start of sending (see onBeforeSend()); a second one is aborted and reported as Broken.
 *   - The hook that runs right before the first byte tells for certain whether a byte may have left.
 *   - A cancelled exchange closes its connection, so a late answer can never be taken for the answer to another request.
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
    std::atomic<std::uint64_t> resendsPrevented = 0;        ///< second sends by libcurl that were stopped
    std::atomic<std::uint64_t> suspectConnections = 0;      ///< closed because they said nothing
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
        TimePoint answeredAt; ///< end of its last whole answer
    };
    /** Per "ip:port" of an instance. */
    struct Instance
    {
        std::unordered_map<int, Connection> connections; ///< by local port; only those that have answered
        TimePoint suspectBefore;                         ///< connections that answered last before this are suspect
    };
    struct Transfer
    {
        CurlTransport *owner = nullptr;
        CURL *easy = nullptr;
        curl_slist *headers = nullptr;
        Instance *instance = nullptr;
        Exchange exchange;
        TimePoint startedAt;
        std::string url;
        bool fresh = false;       ///< no reuse allowed
        bool mayHaveLeft = false; ///< sending has begun
        bool unproven = false;    ///< given up before the first byte: needs a fresh connection
        bool resendPrevented = false;
        bool tooLarge = false;
        bool lengthKnown = false; ///< the end of the body can be told from a lost connection
        char error[CURL_ERROR_SIZE] = {};
        CallerResponse response;
    };

    static int onBeforeSend(void *user, char *remoteIp, char *localIp, int remotePort, int localPort);
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *user);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *user);
    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *user, void *socketUser);
    static int onTimer(CURLM *multi, long timeoutMs, void *user);

    CURL *takeEasy();
    void configure(Transfer &transfer);
    void setMethod(Transfer &transfer);
    void setHeaders(Transfer &transfer);
    void begin(Transfer &transfer);
    void release(Transfer &transfer);
    void collect(std::vector<ExchangeResult> &results);
    void finish(Transfer &transfer, CURLcode code, std::vector<ExchangeResult> &results);
    bool isProven(const Transfer &transfer, int localPort) const;
    static bool hasWholeAnswer(const Transfer &transfer);

    const RequestSettings &m_settings;
    Clock &m_clock;
    CURLM *m_multi = nullptr;
    int m_epoll = -1;
    int m_wakeup = -1;
    TimePoint m_timerAt = TimePoint::max(); ///< when libcurl wants to be called
    std::vector<CURL *> m_idleEasies;
    std::unordered_map<ExchangeId, std::unique_ptr<Transfer>> m_transfers;
    std::unordered_map<std::string, std::unique_ptr<Instance>>
        m_instances; ///< by address; never shrinks below fleet size
    TransportCounters m_counters;
};

} // namespace QuetzalRock
