#include <web/web.h>

#include <nlohmann/json.hpp>
#include <pistache/endpoint.h>

#include <cerrno>
#include <charconv>
#include <condition_variable>
#include <cstring>
#include <fstream>

namespace QuetzalRock {

namespace {

using Pistache::Http::Code;

WebRequest convertRequest(const Pistache::Http::Request &request)
{
    WebRequest converted;
    converted.method = Pistache::Http::methodString(request.method());
    converted.path = decodeUrl(request.resource());
    const auto &query = request.query();
    for (auto it = query.parameters_begin(); it != query.parameters_end(); ++it) {
        converted.query[decodeUrl(it->first)] = decodeUrl(it->second);
    }
    if (const auto header = request.headers().tryGet<Pistache::Http::Header::Authorization>()) {
        converted.authorization = header->value();
    }
    converted.body = request.body();
    return converted;
}

int httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return 400;
    case ErrorCode::Unauthenticated:
        return 401;
    case ErrorCode::PermissionDenied:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
        return 409;
    case ErrorCode::NotRun:
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::Failed:
        return 500;
    case ErrorCode::OutcomeUnknown:
        return 504;
    }
    return 500;
}

std::int64_t ceilToSeconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

/** Typed Retry-After header, needed because Pistache silently drops raw headers in responses. */
class RetryAfter final : public Pistache::Http::Header::Header
{
public:
    NAME("Retry-After")

    explicit RetryAfter(std::int64_t seconds = 0)
        : m_seconds(seconds)
    {
    }

    void write(std::ostream &out) const override
    {
        out << m_seconds;
    }

private:
    std::int64_t m_seconds;
};

} // namespace

std::string decodeUrl(std::string_view text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        unsigned byte = 0;
        const bool isEscape = text[n] == '%' && n + 2 < text.size();
        if (isEscape
            && std::from_chars(text.data() + n + 1, text.data() + n + 3, byte, 16).ptr == text.data() + n + 3) {
            decoded += static_cast<char>(byte);
            n += 2;
            continue;
        }
        decoded += text[n] == '+' ? ' ' : text[n];
    }
    return decoded;
}

WebResponse errorResponse(const Error &error)
{
    nlohmann::json body;
    body["error"] = errorName(error.code());
    body["message"] = error.what();
    if (!error.field().empty()) {
        body["field"] = error.field();
    }
    if (error.retryAfter() > Duration::zero()) {
        body["retry_after_s"] = ceilToSeconds(error.retryAfter());
    }
    return {httpStatus(error.code()), "application/json", body.dump() + "\n", error.retryAfter()};
}

/** Pistache endpoint with a count of the requests in flight, which stop() waits for. */
class WebServer::Impl
{
public:
    Impl(const WebServerSettings &settings, Handler handler)
        : m_handler(std::move(handler))
        , m_endpoint(Pistache::Address(settings.address))
    {
        auto options = Pistache::Http::Endpoint::options();
        options.threads(settings.threads);
        options.maxRequestSize(settings.maxBodyBytes);
        options.flags(Pistache::Tcp::Options::ReuseAddr);
        m_endpoint.init(options);
        if (!settings.certificateFile.empty()) {
            useCertificate(settings);
        }
        m_endpoint.setHandler(std::make_shared<Adapter>(this));
        m_endpoint.serveThreaded();
    }

    WebResponse handleRequest(const Pistache::Http::Request &request) const
    {
        try {
            return m_handler(convertRequest(request));
        } catch (const Error &error) {
            return errorResponse(error);
        } catch (const std::exception &error) {
            return errorResponse(Error(ErrorCode::Failed, error.what()));
        }
    }

    void beginRequest()
    {
        std::lock_guard guard(m_mutex);
        ++m_inFlight;
    }

    void endRequest()
    {
        std::lock_guard guard(m_mutex);
        --m_inFlight;
        m_allFinished.notify_all();
    }

    std::uint16_t port() const
    {
        return static_cast<std::uint16_t>(m_endpoint.getPort());
    }

    void stop()
    {
        std::unique_lock lock(m_mutex);
        if (m_isStopped) {
            return;
        }
        m_isStopped = true;
        m_allFinished.wait(lock, [this] { return m_inFlight == 0; });
        lock.unlock();
        m_endpoint.shutdown();
    }

private:
    void useCertificate(const WebServerSettings &settings)
    {
        for (const std::string &it : {settings.certificateFile, settings.keyFile}) {
            if (!std::ifstream(it)) { // the library's own message names no file and several source lines
                throw InvalidArgument("certificate", "cannot open " + it + ": " + std::strerror(errno));
            }
        }
        try {
            m_endpoint.useSSL(settings.certificateFile, settings.keyFile);
        } catch (const std::exception &error) {
            throw InvalidArgument("certificate", error.what());
        }
    }

    class Adapter final : public Pistache::Http::Handler
    {
    public:
        HTTP_PROTOTYPE(Adapter)

        explicit Adapter(Impl *impl)
            : m_impl(impl)
        {
        }

        void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter writer) override
        {
            m_impl->beginRequest();
            const WebResponse response = m_impl->handleRequest(request);
            writer.headers().add<Pistache::Http::Header::ContentType>(
                Pistache::Http::Mime::MediaType::fromString(response.contentType));
            if (response.retryAfter > Duration::zero()) {
                writer.headers().add<RetryAfter>(ceilToSeconds(response.retryAfter));
            }
            writer.send(static_cast<Code>(response.status), response.body);
            m_impl->endRequest();
        }

    private:
        Impl *m_impl;
    };

    Handler m_handler;
    std::mutex m_mutex;
    std::condition_variable m_allFinished;
    int m_inFlight = 0;
    bool m_isStopped = false;
    Pistache::Http::Endpoint m_endpoint;
};

WebServer::WebServer(const WebServerSettings &settings, Handler handler)
    : m_impl(std::make_unique<Impl>(settings, std::move(handler)))
{
}

WebServer::~WebServer()
{
    stop();
}

std::uint16_t WebServer::port() const
{
    return m_impl->port();
}

void WebServer::stop()
{
    m_impl->stop();
}

} // namespace QuetzalRock
