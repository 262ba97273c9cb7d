/** JSON encoding of the idempotency-key claims sent between members. Decoding malformed text throws InvalidArgument. */
#pragma once

#include <requests/claims.h>

#include <string>
#include <string_view>

namespace QuetzalRock {

struct ClaimCall
{
    std::uint32_t shard = 0;
    ClaimRequest request;
};

struct ClaimEndCall
{
    std::uint32_t shard = 0;
    ClaimEnd end;
};

std::string encodeClaim(const ClaimCall &call);
ClaimCall decodeClaim(std::string_view json);

std::string encodeClaimEnd(const ClaimEndCall &call);
ClaimEndCall decodeClaimEnd(std::string_view json);

std::string encodeClaimReply(const ClaimReply &reply);
ClaimReply decodeClaimReply(std::string_view json);

} // namespace QuetzalRock
