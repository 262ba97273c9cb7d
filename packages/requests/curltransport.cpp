#include <requests/curltransport.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <mutex>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace QuetzalRock {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxIdleHandles = 1024;
constexpr std::size_t MaxResponseHeaders = 100;
constexpr std::size_t MaxTrackedConnections = 4096; ///< per instance; beyond, old ones are erased
constexpr long MaxIdleConnectionSeconds = 55;       ///< below the usual idle timeout of servers
constexpr Duration MaxPollWait = 1s;

void initialiseCurl()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

bool mayHaveBody(const CallerRequest &request, int status)
{
    return request.method != "HEAD" && status >= 200 && status != 204 && status != 304;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(" \t\r\n");
    return text.substr(first, last - first + 1);
}

} // namespace

CurlTransport::CurlTransport(const RequestSettings &settings, Clock &clock)
    : m_settings(settings)
    , m_clock(clock)
{
    initialiseCurl();
    m_multi = curl_multi_init();
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    m_wakeup = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = m_wakeup;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlTransport::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlTransport::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    const long share = std::max(1, m_settings.connectionsPerInstance / m_settings.entryMembers);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, share);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, 20000L);
}

CurlTransport::~CurlTransport()
{
    for (auto &[id, transfer] : m_transfers) {
        releaseHandle(*transfer);
    }
    for (CURL *it : m_idleHandles) {
        curl_easy_cleanup(it);
    }
    curl_multi_cleanup(m_multi);
    close(m_wakeup);
    close(m_epoll);
}

const TransportCounters &CurlTransport::counters() const
{
    return m_counters;
}

// ---------------------------------------------------------------------------------------------------------------------
// Starting a transfer
// ---------------------------------------------------------------------------------------------------------------------

void CurlTransport::send(const Exchange &exchange)
{
    auto transfer = std::make_unique<Transfer>();
    auto &instance = m_instances[std::string(exchange.address)];
    if (!instance) {
        instance = std::make_unique<Instance>();
    }
    transfer->transport = this;
    transfer->instance = instance.get();
    transfer->exchange = exchange;
    transfer->startedAt = m_clock.now();
    transfer->url = "http://";
    transfer->url += exchange.address;
    transfer->url += exchange.request->target;
    Transfer &it = *transfer;
    const bool isNew = m_transfers.emplace(exchange.id, std::move(transfer)).second;
    assert(isNew && "exchange ids are never reused");
    (void)isNew;
    ++m_counters.exchanges;
    startTransfer(it);
}

void CurlTransport::startTransfer(Transfer &transfer)
{
    transfer.easy = acquireHandle();
    configure(transfer);
    curl_multi_add_handle(m_multi, transfer.easy);
}

CURL *CurlTransport::acquireHandle()
{
    if (m_idleHandles.empty()) {
        return curl_easy_init();
    }
    CURL *easy = m_idleHandles.back();
    m_idleHandles.pop_back();
    return easy;
}

void CurlTransport::configure(Transfer &transfer)
{
    CURL *easy = transfer.easy;
    const auto connectMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.connectTimeout).count();
    curl_easy_setopt(easy, CURLOPT_URL, transfer.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer.error);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectMs));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MaxIdleConnectionSeconds);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, transfer.needsFreshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &CurlTransport::onBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &CurlTransport::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlTransport::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    setMethod(transfer);
    setHeaders(transfer);
}

void CurlTransport::setMethod(Transfer &transfer)
{
    const CallerRequest &request = *transfer.exchange.request;
    CURL *easy = transfer.easy;
    if (request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void CurlTransport::setHeaders(Transfer &transfer)
{
    const CallerRequest &request = *transfer.exchange.request;
    bool hasContentType = false;
    std::string line;
    for (const HeaderField &it : request.headers) {
        if (isHopByHopHeader(it.name)) {
            continue;
        }
        hasContentType = hasContentType || equalsIgnoringCase(it.name, "Content-Type");
        line = it.name;
        line += it.value.empty() ? ";" : ": "; // libcurl's syntax for a header without a value
        line += it.value;
        transfer.headers = curl_slist_append(transfer.headers, line.c_str());
    }
    if (!hasContentType) {
        transfer.headers = curl_slist_append(transfer.headers, "Content-Type:"); // otherwise libcurl adds one
    }
    const auto leftMs = std::chrono::duration_cast<std::chrono::milliseconds>(transfer.exchange.timeLeft).count();
    if (leftMs > 0) {
        line = DeadlineHeader;
        line += ": " + std::to_string(leftMs);
        transfer.headers = curl_slist_append(transfer.headers, line.c_str());
    }
    transfer.headers = curl_slist_append(transfer.headers, "Expect:");
    // Implied by HTTP/1.1, but some servers, such as Pistache, close the connection without it.
    transfer.headers = curl_slist_append(transfer.headers, "Connection: keep-alive");
    curl_easy_setopt(transfer.easy, CURLOPT_HTTPHEADER, transfer.headers);
}

// ---------------------------------------------------------------------------------------------------------------------
// Callbacks of libcurl and polling
// ---------------------------------------------------------------------------------------------------------------------

bool CurlTransport::isVerified(const Transfer &transfer, int localPort) const
{
    const auto it = transfer.instance->connections.find(localPort);
    if (it == transfer.instance->connections.end()) {
        return true; // no answer yet: it was opened for this exchange
    }
    if (it->second.answeredAt < transfer.instance->suspectBefore) {
        return false;
    }
    return !transfer.exchange.verifiedConnectionOnly
           || it->second.answeredAt + m_settings.verifiedConnectionWindow >= m_clock.now();
}

int CurlTransport::onBeforeSend(void *user, char *, char *, int, int localPort)
{
    Transfer &transfer = *static_cast<Transfer *>(user);
    CurlTransport &self = *transfer.transport;
    if (transfer.hasStartedSending) {
        transfer.isResendPrevented = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (transfer.needsFreshConnection) {
        transfer.instance->connections.erase(localPort); // entry of a closed connection with the same port
    } else if (!self.isVerified(transfer, localPort)) {
        transfer.isConnectionUnverified = true;
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.hasStartedSending = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t CurlTransport::onHeader(char *data, std::size_t size, std::size_t count, void *user)
{
    Transfer &transfer = *static_cast<Transfer *>(user);
    const std::string_view line(data, size * count);
    if (line.starts_with("HTTP/")) { // status line; headers of an earlier 1xx response are dropped
        transfer.response.headers.clear();
        transfer.hasKnownLength = false;
        return line.size();
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return line.size();
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trim(line.substr(colon + 1));
    if (equalsIgnoringCase(name, "Content-Length") || equalsIgnoringCase(name, "Transfer-Encoding")) {
        transfer.hasKnownLength = true;
    }
    if (isHopByHopHeader(name)) {
        return line.size();
    }
    if (transfer.response.headers.size() >= MaxResponseHeaders) {
        transfer.isTooLarge = true;
        return 0;
    }
    transfer.response.headers.push_back({std::string(name), std::string(value)});
    return line.size();
}

std::size_t CurlTransport::onBody(char *data, std::size_t size, std::size_t count, void *user)
{
    Transfer &transfer = *static_cast<Transfer *>(user);
    const std::size_t n = size * count;
    if (transfer.response.body.size() + n > transfer.transport->m_settings.maxAnswerBytes) {
        transfer.isTooLarge = true;
        return 0;
    }
    transfer.response.body.append(data, n);
    return n;
}

int CurlTransport::onSocket(CURL *, curl_socket_t socket, int what, void *user, void *socketUser)
{
    CurlTransport &self = *static_cast<CurlTransport *>(user);
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(self.m_epoll, EPOLL_CTL_DEL, socket, nullptr);
        return 0;
    }
    epoll_event event{};
    event.data.fd = socket;
    event.events = (what != CURL_POLL_OUT ? EPOLLIN : 0U) | (what != CURL_POLL_IN ? EPOLLOUT : 0U);
    const bool isRegistered = socketUser != nullptr;
    if (epoll_ctl(self.m_epoll, isRegistered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event) != 0 && isRegistered) {
        epoll_ctl(self.m_epoll, EPOLL_CTL_ADD, socket, &event);
    }
    curl_multi_assign(self.m_multi, socket, &self);
    return 0;
}

int CurlTransport::onTimer(CURLM *, long timeoutMs, void *user)
{
    CurlTransport &self = *static_cast<CurlTransport *>(user);
    self.m_timerAt = timeoutMs < 0 ? TimePoint::max() : self.m_clock.now() + std::chrono::milliseconds(timeoutMs);
    return 0;
}

void CurlTransport::wake()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = write(m_wakeup, &one, sizeof one);
}

void CurlTransport::poll(Duration wait, std::vector<ExchangeResult> &results)
{
    std::array<epoll_event, 64> events{};
    const TimePoint now = m_clock.now();
    if (m_timerAt != TimePoint::max()) {
        wait = std::min(wait, m_timerAt - now);
    }
    wait = std::clamp(wait, Duration::zero(), MaxPollWait);
    const timespec limit{wait.count() / 1000000, (wait.count() % 1000000) * 1000};
    const int n = epoll_pwait2(m_epoll, events.data(), static_cast<int>(events.size()), &limit, nullptr);
    int running = 0;
    for (int i = 0; i < n; ++i) {
        const epoll_event &event = events[static_cast<std::size_t>(i)];
        if (event.data.fd == m_wakeup) {
            std::uint64_t count = 0;
            [[maybe_unused]] const auto size = read(m_wakeup, &count, sizeof count);
            continue;
        }
        const unsigned flags = event.events;
        int mask = (flags & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0;
        mask |= (flags & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
        mask |= (flags & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0;
        curl_multi_socket_action(m_multi, event.data.fd, mask, &running);
    }
    if (m_timerAt <= m_clock.now()) {
        m_timerAt = TimePoint::max();
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
    collectFinished(results);
}

// ---------------------------------------------------------------------------------------------------------------------
// Ending a transfer
// ---------------------------------------------------------------------------------------------------------------------

void CurlTransport::collectFinished(std::vector<ExchangeResult> &results)
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        char *user = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
        finishTransfer(*reinterpret_cast<Transfer *>(user), code, results);
    }
}

bool CurlTransport::hasWholeAnswer(const Transfer &transfer)
{
    if (!mayHaveBody(*transfer.exchange.request, transfer.response.status)) {
        return true;
    }
    return transfer.hasKnownLength; // otherwise the body ends with the connection, and may be truncated
}

void CurlTransport::finishTransfer(Transfer &transfer, CURLcode code, std::vector<ExchangeResult> &results)
{
    long status = 0;
    long localPort = 0;
    long connects = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer.easy, CURLINFO_LOCAL_PORT, &localPort);
    curl_easy_getinfo(transfer.easy, CURLINFO_NUM_CONNECTS, &connects);
    m_counters.connections += static_cast<std::uint64_t>(connects);
    transfer.response.status = static_cast<int>(status);
    if (transfer.isConnectionUnverified && !transfer.hasStartedSending) {
        ++m_counters.unverifiedReusesAvoided;
        transfer.instance->connections.erase(static_cast<int>(localPort));
        releaseHandle(transfer);
        transfer.isConnectionUnverified = false;
        transfer.needsFreshConnection = true;
        startTransfer(transfer);
        return;
    }
    ExchangeResult result;
    result.id = transfer.exchange.id;
    result.mayHaveBeenSent = transfer.hasStartedSending;
    if (code == CURLE_OK && hasWholeAnswer(transfer)) {
        result.status = ExchangeStatus::Answered;
        result.response = std::move(transfer.response);
        auto &connections = transfer.instance->connections;
        if (connections.size() >= MaxTrackedConnections) {
            std::erase_if(connections, [this](const auto &it) { return it.second.answeredAt + 60s < m_clock.now(); });
        }
        connections[static_cast<int>(localPort)].answeredAt = m_clock.now();
    } else if (transfer.isTooLarge) {
        result.status = ExchangeStatus::TooLarge;
    } else {
        result.status = transfer.hasStartedSending ? ExchangeStatus::Broken : ExchangeStatus::NotConnected;
        m_counters.resendsPrevented += transfer.isResendPrevented ? 1 : 0;
        m_counters.truncatedAnswers += code == CURLE_PARTIAL_FILE || code == CURLE_OK ? 1 : 0;
    }
    releaseHandle(transfer);
    m_transfers.erase(result.id);
    results.push_back(std::move(result));
}

bool CurlTransport::cancel(ExchangeId id, bool suspect)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end()) {
        return true;
    }
    Transfer &transfer = *it->second;
    const bool hasStartedSending = transfer.hasStartedSending;
    if (suspect && hasStartedSending) {
        ++m_counters.suspectConnections;
        // What made this connection unresponsive may affect other connections to the instance. Those that have not
        // answered since this exchange started are not reused.
        transfer.instance->suspectBefore = std::max(transfer.instance->suspectBefore, transfer.startedAt);
    }
    releaseHandle(transfer);
    m_transfers.erase(it);
    return hasStartedSending;
}

void CurlTransport::releaseHandle(Transfer &transfer)
{
    curl_multi_remove_handle(m_multi, transfer.easy); // closes the connection of an unfinished exchange
    curl_slist_free_all(transfer.headers);
    transfer.headers = nullptr;
    if (m_idleHandles.size() < MaxIdleHandles) {
        curl_easy_reset(transfer.easy);
        m_idleHandles.push_back(transfer.easy);
    } else {
        curl_easy_cleanup(transfer.easy);
    }
    transfer.easy = nullptr;
}

} // namespace QuetzalRock
