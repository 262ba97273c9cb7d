#include <web/web.h>

#include <curl/curl.h>

namespace QuetzalRock {

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds(2);

struct CurlLibrary
{
    CurlLibrary()
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    }
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *user)
{
    static_cast<std::string *>(user)->append(data, size * count);
    return size * count;
}

/** Returns whether @p ec proves that no byte of the request was sent. */
bool provesNotSent(CURLcode ec)
{
    return ec == CURLE_COULDNT_CONNECT || ec == CURLE_COULDNT_RESOLVE_HOST || ec == CURLE_URL_MALFORMAT
           || ec == CURLE_SSL_CONNECT_ERROR || ec == CURLE_PEER_FAILED_VERIFICATION;
}

} // namespace

std::string encodeUrl(std::string_view text)
{
    constexpr std::string_view Unreserved = "-_.~";
    constexpr char HexDigits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (std::isalnum(byte) || Unreserved.find(it) != std::string_view::npos) {
            encoded += it;
            continue;
        }
        encoded += '%';
        encoded += HexDigits[byte >> 4];
        encoded += HexDigits[byte & 15];
    }
    return encoded;
}

WebClient::WebClient()
{
    static const CurlLibrary library;
}

WebClient::~WebClient()
{
    for (void *it : m_idle) {
        curl_easy_cleanup(it);
    }
}

WebResponse WebClient::call(const WebCall &call)
{
    CURL *handle = acquireHandle();
    WebResponse response;
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, toMilliseconds(call.timeout));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, toMilliseconds(std::min(call.timeout, ConnectTimeout)));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
    if (!call.caFile.empty()) {
        curl_easy_setopt(handle, CURLOPT_CAINFO, call.caFile.c_str());
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
    }
    curl_slist *headers = curl_slist_append(nullptr, "Content-Type: application/json");
    headers = curl_slist_append(headers, "Expect:");
    if (!call.authorization.empty()) {
        headers = curl_slist_append(headers, ("Authorization: " + call.authorization).c_str());
    }
    if (!call.host.empty()) {
        headers = curl_slist_append(headers, ("Host: " + call.host).c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);

    const CURLcode ec = curl_easy_perform(handle);

    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_off_t retryAfter = 0;
    curl_easy_getinfo(handle, CURLINFO_RETRY_AFTER, &retryAfter);
    curl_slist_free_all(headers);
    releaseHandle(handle);
    if (provesNotSent(ec)) {
        throw Unavailable(call.url + ": " + curl_easy_strerror(ec));
    }
    if (ec != CURLE_OK) {
        throw OutcomeUnknown(call.url + ": " + curl_easy_strerror(ec));
    }
    response.status = static_cast<int>(status);
    response.retryAfter = std::chrono::seconds(retryAfter);
    return response;
}

void *WebClient::acquireHandle()
{
    {
        std::lock_guard guard(m_mutex);
        if (!m_idle.empty()) {
            void *handle = m_idle.back();
            m_idle.pop_back();
            return handle;
        }
    }
    CURL *handle = curl_easy_init();
    if (!handle) {
        throw Unavailable("curl_easy_init() failed");
    }
    return handle;
}

void WebClient::releaseHandle(void *handle)
{
    std::lock_guard guard(m_mutex);
    m_idle.push_back(handle);
}

} // namespace QuetzalRock
