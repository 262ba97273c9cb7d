#include <admin/credentials.h>

#include <base/errors.h>

#include <gtest/gtest.h>

using namespace QuetzalRock;

TEST(Credentials, hashesAreSaltedAndMatchOnlyTheirToken)
{
    const std::string token = newToken();
    const std::string hash = hashToken(token);
    EXPECT_EQ(hash.find(token), std::string::npos);
    EXPECT_NE(hash, hashToken(token));
    EXPECT_TRUE(matchesToken(hash, token));
    EXPECT_FALSE(matchesToken(hash, token + "x"));
    EXPECT_FALSE(matchesToken("plain:" + token, token));
    EXPECT_FALSE(matchesToken("sha256:", ""));
}

TEST(Credentials, anonymousAccessNeedsToBeAllowed)
{
    EXPECT_THROW(Credentials({}, false).authenticate(""), Error);
    EXPECT_THROW(Credentials({}, true).authenticate("Bearer x"), Error);
    EXPECT_EQ(Credentials({}, true).authenticate("").role, Role::Operate);
}
