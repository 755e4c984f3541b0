#include "mulberryplank/policy/calleridentity.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(CallerIdentity) {};

TEST(CallerIdentity, accountNameExtendsToTheLastDot)
{
    const auto identity = parseAuthorization("Bearer member.shops.s3cret");
    CHECK_TRUE(identity.has_value());
    STRCMP_EQUAL("member.shops", identity->account.value().c_str());
    CHECK_TRUE(identity->secret == "s3cret");
}

TEST(CallerIdentity, malformedAuthorizationIsRejected)
{
    for (const char *value : { "", "Bearer ", "Basic a.b", "Bearer nodot", "Bearer .s", "Bearer a.", "Bearer a b.c" }) {
        CHECK_FALSE_TEXT(parseAuthorization(value).has_value(), value);
    }
    CHECK_FALSE(parseAuthorization("Bearer a." + std::string(1'000, 's')).has_value());
}

TEST(CallerIdentity, secretMatchesOnlyItsOwnDigest)
{
    const SecretDigest digest = digestOf("s3cret");
    CHECK_TRUE(secretMatches("s3cret", digest));
    CHECK_FALSE(secretMatches("s3creT", digest));
    CHECK_FALSE(secretMatches("", digest));
    // The SHA-256 digest of the empty string begins with these bytes.
    CHECK_EQUAL(0xe3, digestOf("")[0]);
    CHECK_EQUAL(0xb0, digestOf("")[1]);
}
