#include <platform/httpplatform.h>

#include <platform/platformjson.h>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

std::string workerPath(std::string_view worker, std::string_view verb)
{
    return "/workers/" + encodeUrl(worker) + "/" + std::string(verb);
}

Json toJson(std::span<const AttemptId> attempts)
{
    Json list = Json::array();
    for (const AttemptId &it : attempts) {
        list.push_back(QuetzalRock::toJson(it));
    }
    return list;
}

/** Parses a response body. Throws OutcomeUnknown for a malformed response, as if it had been lost. */
template<typename Parse>
auto parseResponse(const std::string &body, Parse parse)
{
    try {
        return parse(parseJson(body));
    } catch (const std::exception &error) {
        throw OutcomeUnknown(std::string("malformed response: ") + error.what());
    }
}

} // namespace

HttpPlatform::HttpPlatform(HttpPlatformSettings settings)
    : m_settings(std::move(settings))
{
}

std::optional<KeyValue> HttpPlatform::get(std::string_view key)
{
    const WebResponse response = read("/kv/get?key=" + encodeUrl(key), m_settings.timeout);
    const std::vector<KeyValue> found = parseResponse(response.body, [](const Json &json) {
        std::vector<KeyValue> entries;
        for (const Json &it : json.at("entries")) {
            entries.push_back(parseKeyValue(it));
        }
        return entries;
    });
    return found.empty() ? std::nullopt : std::optional(found.front());
}

std::vector<KeyValue> HttpPlatform::list(std::string_view prefix)
{
    const WebResponse response = read("/kv/list?prefix=" + encodeUrl(prefix), m_settings.timeout);
    return parseResponse(response.body, [](const Json &json) {
        std::vector<KeyValue> entries;
        for (const Json &it : json.at("entries")) {
            entries.push_back(parseKeyValue(it));
        }
        return entries;
    });
}

CasResult HttpPlatform::compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease)
{
    const Json body{{"key", key}, {"expected", expected}, {"value", encodeBase64(value)}, {"lease", lease}};
    return parseResponse(write("/kv/cas", body.dump(), m_settings.timeout), parseCasResult);
}

CasResult HttpPlatform::remove(std::string_view key, Revision expected)
{
    const Json body{{"key", key}, {"expected", expected}};
    return parseResponse(write("/kv/remove", body.dump(), m_settings.timeout), parseCasResult);
}

LeaseId HttpPlatform::grantLease(Duration ttl)
{
    const Json body{{"ttl_us", ttl.count()}};
    return parseResponse(write("/lease/grant", body.dump(), m_settings.timeout),
                         [](const Json &json) { return json.at("lease").get<LeaseId>(); });
}

bool HttpPlatform::renewLease(LeaseId lease)
{
    const Json body{{"lease", lease}};
    return parseResponse(write("/lease/renew", body.dump(), m_settings.timeout),
                         [](const Json &json) { return json.at("renewed").get<bool>(); });
}

void HttpPlatform::revokeLease(LeaseId lease)
{
    const Json body{{"lease", lease}};
    write("/lease/revoke", body.dump(), m_settings.timeout);
}

WatchResult HttpPlatform::watch(std::string_view prefix, Revision after, Duration timeout)
{
    const std::string path = "/kv/watch?prefix=" + encodeUrl(prefix) + "&after=" + std::to_string(after)
                             + "&timeout_us=" + std::to_string(timeout.count());
    const WebResponse response = read(path, m_settings.timeout + timeout);
    return parseResponse(response.body, parseWatchResult);
}

std::vector<Vm> HttpPlatform::vms()
{
    const WebResponse response = read("/vms", m_settings.timeout);
    return parseResponse(response.body, [](const Json &json) {
        std::vector<Vm> found;
        for (const Json &it : json.at("vms")) {
            found.push_back(parseVm(it));
        }
        return found;
    });
}

void HttpPlatform::start(std::string_view worker, const StartCommand &command)
{
    write(workerPath(worker, "start"), QuetzalRock::toJson(command).dump(), m_settings.workerTimeout);
}

void HttpPlatform::renew(std::string_view worker,
                         std::uint64_t epoch,
                         std::span<const AttemptId> attempts,
                         Duration lease)
{
    const Json body{{"epoch", epoch}, {"attempts", toJson(attempts)}, {"lease_us", lease.count()}};
    write(workerPath(worker, "renew"), body.dump(), m_settings.workerTimeout);
}

void HttpPlatform::stop(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, StopMode mode)
{
    const Json body{
        {"epoch", epoch}, {"attempt", QuetzalRock::toJson(attempt)}, {"checkpoint", mode == StopMode::Checkpoint}};
    write(workerPath(worker, "stop"), body.dump(), m_settings.workerTimeout);
}

void HttpPlatform::throttle(std::string_view worker, std::uint64_t epoch, const AttemptId &attempt, int permille)
{
    const Json body{{"epoch", epoch}, {"attempt", QuetzalRock::toJson(attempt)}, {"permille", permille}};
    write(workerPath(worker, "throttle"), body.dump(), m_settings.workerTimeout);
}

WorkerReport HttpPlatform::report(std::string_view worker)
{
    const WebResponse response = read(workerPath(worker, "report"), m_settings.workerTimeout);
    return parseResponse(response.body, parseWorkerReport);
}

void HttpPlatform::forget(std::string_view worker, std::span<const AttemptId> attempts)
{
    const Json body{{"attempts", toJson(attempts)}};
    write(workerPath(worker, "forget"), body.dump(), m_settings.workerTimeout);
}

WebResponse HttpPlatform::send(std::string method, const std::string &path, std::string body, Duration timeout)
{
    WebCall call;
    call.method = std::move(method);
    call.url = "http://" + m_settings.address + path;
    call.body = std::move(body);
    call.timeout = timeout;
    if (!m_settings.token.empty()) {
        call.authorization = "Bearer " + m_settings.token;
    }
    WebResponse response = m_client.call(call);
    if (response.status == 503) {
        throw Unavailable(path + ": " + response.body);
    }
    if (response.status >= 500) {
        throw OutcomeUnknown(path + ": " + response.body);
    }
    if (response.status >= 400) {
        throw InvalidArgument("platform", path + ": " + response.body);
    }
    return response;
}

WebResponse HttpPlatform::read(const std::string &path, Duration timeout)
{
    try {
        return send("GET", path, {}, timeout);
    } catch (const OutcomeUnknown &error) {
        throw Unavailable(error.what());
    }
}

std::string HttpPlatform::write(const std::string &path, std::string body, Duration timeout)
{
    return send("POST", path, std::move(body), timeout).body;
}

} // namespace QuetzalRock
