#include <daemon/claimcodec.h>

#include <daemon/peermessage.h>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;

Json toJson(const CallerResponse &response)
{
    Json headers = Json::array();
    for (const HeaderField &it : response.headers) {
        headers.push_back({it.name, it.value});
    }
    return {{"status", response.status},
            {"headers", headers},
            {"body", encodeBase64(response.body)},
            {"outcome", static_cast<int>(response.outcome)}};
}

CallerResponse parseResponse(const Json &json)
{
    CallerResponse response;
    response.status = json.at("status").get<int>();
    for (const Json &it : json.at("headers")) {
        response.headers.push_back({it.at(0).get<std::string>(), it.at(1).get<std::string>()});
    }
    response.body = decodeBase64(json.at("body").get<std::string>());
    response.outcome = static_cast<RequestOutcome>(json.at("outcome").get<int>());
    return response;
}

} // namespace

std::string encodeClaim(const ClaimCall &call)
{
    // Keys contain arbitrary bytes chosen by callers, but JSON strings must be UTF-8, hence base64.
    return Json{{"shard", call.shard},
                {"key", encodeBase64(call.request.key)},
                {"digest", call.request.bodyDigest},
                {"claimant", call.request.claimant}}
        .dump();
}

ClaimCall decodeClaim(std::string_view json)
{
    return decodePeerMessage(json, "claim", [](const Json &it) {
        ClaimCall call;
        call.shard = it.at("shard").get<std::uint32_t>();
        call.request.key = decodeBase64(it.at("key").get<std::string>());
        call.request.bodyDigest = it.at("digest").get<std::uint64_t>();
        call.request.claimant = it.at("claimant").get<std::uint64_t>();
        return call;
    });
}

std::string encodeClaimEnd(const ClaimEndCall &call)
{
    return Json{{"shard", call.shard},
                {"key", encodeBase64(call.end.key)},
                {"claimant", call.end.claimant},
                {"kind", static_cast<int>(call.end.kind)},
                {"answer", toJson(call.end.answer)}}
        .dump();
}

ClaimEndCall decodeClaimEnd(std::string_view json)
{
    return decodePeerMessage(json, "claim", [](const Json &it) {
        ClaimEndCall call;
        call.shard = it.at("shard").get<std::uint32_t>();
        call.end.key = decodeBase64(it.at("key").get<std::string>());
        call.end.claimant = it.at("claimant").get<std::uint64_t>();
        call.end.kind = static_cast<ClaimEndKind>(it.at("kind").get<int>());
        call.end.answer = parseResponse(it.at("answer"));
        return call;
    });
}

std::string encodeClaimReply(const ClaimReply &reply)
{
    return Json{{"verdict", static_cast<int>(reply.verdict)}, {"answer", toJson(reply.answer)}}.dump();
}

ClaimReply decodeClaimReply(std::string_view json)
{
    return decodePeerMessage(json, "claim", [](const Json &it) {
        ClaimReply reply;
        reply.verdict = static_cast<ClaimVerdict>(it.at("verdict").get<int>());
        reply.answer = parseResponse(it.at("answer"));
        return reply;
    });
}

} // namespace QuetzalRock
