#include <membership/heartbeat.h>

#include <nlohmann/json.hpp>

namespace QuetzalRock {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

Json toJson(const MemberInfo &member)
{
    return {{"name", member.name},
            {"region", member.region},
            {"domain", member.failureDomain},
            {"address", member.address},
            {"incarnation", member.incarnation},
            {"leaving", member.leaving}};
}

MemberInfo memberFrom(const Json &json)
{
    MemberInfo member;
    json.at("name").get_to(member.name);
    json.at("region").get_to(member.region);
    json.at("domain").get_to(member.failureDomain);
    json.at("address").get_to(member.address);
    json.at("incarnation").get_to(member.incarnation);
    json.at("leaving").get_to(member.leaving);
    if (member.name.empty() || member.failureDomain.empty()) {
        throw InvalidArgument("member", "name or failure domain of the member is empty");
    }
    return member;
}

Json toJson(const std::vector<ShardClaim> &claims)
{
    Json json = Json::object();
    for (const ShardClaim &it : claims) {
        json[it.shard] = it.epoch;
    }
    return json;
}

std::vector<ShardClaim> claimsFrom(const Json &json)
{
    std::vector<ShardClaim> claims;
    for (const auto &[shard, epoch] : json.items()) {
        claims.push_back({shard, epoch.get<std::uint64_t>()});
    }
    return claims;
}

Json toJson(const HeardMember &heard)
{
    // Encoded as an array instead of an object to save bytes: each heartbeat contains one entry per member.
    return Json::array(
        {heard.name, heard.incarnation, toMs(heard.age), toMs(heard.platformOutage), toJson(heard.claims)});
}

HeardMember heardFrom(const Json &json)
{
    return {json.at(0).get<std::string>(),
            json.at(1).get<std::uint64_t>(),
            milliseconds(json.at(2).get<std::int64_t>()),
            milliseconds(json.at(3).get<std::int64_t>()),
            claimsFrom(json.at(4))};
}

/** Runs @p parse on the JSON in @p text. Malformed JSON and missing or mistyped fields throw InvalidArgument. */
template<typename Parse>
auto parseJson(const char *what, std::string_view text, Parse parse)
{
    try {
        return parse(Json::parse(text));
    } catch (const Json::exception &ec) {
        throw InvalidArgument(what, ec.what());
    }
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    Json json = {{"from", toJson(heartbeat.from)}, {"away", toMs(heartbeat.platformOutage)}, {"note", heartbeat.note}};
    if (!heartbeat.claims.empty()) {
        json["claims"] = toJson(heartbeat.claims);
    }
    for (const HeardMember &it : heartbeat.heard) {
        json["heard"].push_back(toJson(it));
    }
    return json.dump();
}

Heartbeat decodeHeartbeat(std::string_view text)
{
    return parseJson("heartbeat", text, [](const Json &json) {
        Heartbeat heartbeat;
        heartbeat.from = memberFrom(json.at("from"));
        heartbeat.platformOutage = milliseconds(json.at("away").get<std::int64_t>());
        json.at("note").get_to(heartbeat.note);
        if (json.contains("claims")) {
            heartbeat.claims = claimsFrom(json["claims"]);
        }
        if (json.contains("heard")) {
            for (const Json &it : json["heard"]) {
                heartbeat.heard.push_back(heardFrom(it));
            }
        }
        return heartbeat;
    });
}

std::string encodeMember(const MemberInfo &member)
{
    return toJson(member).dump();
}

MemberInfo decodeMember(std::string_view text)
{
    return parseJson("member", text, memberFrom);
}

} // namespace QuetzalRock
