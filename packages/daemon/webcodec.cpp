#include <daemon/webcodec.h>

#include <daemon/peermessage.h>

namespace QuetzalRock {

using Json = nlohmann::json;

std::string encodeWebRequest(const WebRequest &request)
{
    return Json{{"method", request.method},
                {"path", request.path},
                {"query", request.query},
                {"authorization", request.authorization},
                {"body", encodeBase64(request.body)}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

WebRequest decodeWebRequest(std::string_view json)
{
    return decodePeerMessage(json, "request", [](const Json &it) {
        WebRequest request;
        request.method = it.at("method").get<std::string>();
        request.path = it.at("path").get<std::string>();
        request.query = it.at("query").get<std::map<std::string, std::string>>();
        request.authorization = it.at("authorization").get<std::string>();
        request.body = decodeBase64(it.at("body").get<std::string>());
        return request;
    });
}

std::string encodeWebResponse(const WebResponse &response)
{
    return Json{{"status", response.status},
                {"content_type", response.contentType},
                {"body", encodeBase64(response.body)},
                {"retry_after_us", response.retryAfter.count()}}
        .dump();
}

WebResponse decodeWebResponse(std::string_view json)
{
    return decodePeerMessage(json, "request", [](const Json &it) {
        WebResponse response;
        response.status = it.at("status").get<int>();
        response.contentType = it.at("content_type").get<std::string>();
        response.body = decodeBase64(it.at("body").get<std::string>());
        response.retryAfter = Duration(it.at("retry_after_us").get<std::int64_t>());
        return response;
    });
}

} // namespace QuetzalRock
