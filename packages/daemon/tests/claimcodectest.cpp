#include <base/errors.h>
#include <daemon/claimcodec.h>
#include <daemon/webcodec.h>

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace std::chrono_literals;

TEST(ClaimCodec, preservesBinaryKeysAndAnswers)
{
    const std::string bytes("k\0\xff", 3);
    ClaimCall call{3, {bytes, ~0ULL, 7}};
    const ClaimCall decoded = decodeClaim(encodeClaim(call));
    EXPECT_EQ(decoded.shard, 3U);
    EXPECT_EQ(decoded.request.key, bytes);
    EXPECT_EQ(decoded.request.bodyDigest, ~0ULL);

    ClaimReply reply;
    reply.verdict = ClaimVerdict::Done;
    reply.answer.status = 201;
    reply.answer.headers = {{"Content-Type", "text/plain"}};
    reply.answer.body = bytes;
    const ClaimReply decodedReply = decodeClaimReply(encodeClaimReply(reply));
    EXPECT_EQ(decodedReply.verdict, ClaimVerdict::Done);
    EXPECT_EQ(decodedReply.answer.body, bytes);
    EXPECT_EQ(decodedReply.answer.headers.at(0).value, "text/plain");

    const ClaimEndCall end = decodeClaimEnd(encodeClaimEnd({1, {bytes, 9, ClaimEndKind::NotRun, {}}}));
    EXPECT_EQ(end.end.kind, ClaimEndKind::NotRun);
    EXPECT_EQ(end.end.claimant, 9U);
}

TEST(ClaimCodec, rejectsMalformedMessages)
{
    for (const char *it : {"", "{}", "[]", "{\"shard\":\"x\"}", "null"}) {
        EXPECT_THROW(decodeClaim(it), InvalidArgument) << it;
        EXPECT_THROW(decodeClaimEnd(it), InvalidArgument) << it;
        EXPECT_THROW(decodeClaimReply(it), InvalidArgument) << it;
        EXPECT_THROW(decodeWebRequest(it), InvalidArgument) << it;
        EXPECT_THROW(decodeWebResponse(it), InvalidArgument) << it;
    }
}

TEST(WebCodec, preservesRequestsAndResponses)
{
    const WebRequest request{"POST", "/v1/jobs", {{"limit", "2"}}, "Bearer x", std::string("b\0", 2)};
    const WebRequest decoded = decodeWebRequest(encodeWebRequest(request));
    EXPECT_EQ(decoded.method, request.method);
    EXPECT_EQ(decoded.query, request.query);
    EXPECT_EQ(decoded.authorization, request.authorization);
    EXPECT_EQ(decoded.body, request.body);
    const WebResponse response = decodeWebResponse(encodeWebResponse({503, "text/plain", "late", 2s}));
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.retryAfter, 2s);
}
