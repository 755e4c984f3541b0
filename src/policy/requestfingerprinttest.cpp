#include "mulberryplank/policy/requestfingerprint.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr RequestContent Post { "POST", "a.example", "/x/1?q=2", "Bearer a", "body" };

} // namespace

TEST_GROUP(RequestFingerprint) {};

TEST(RequestFingerprint, sameContentHasTheSameFingerprint)
{
    RequestFingerprinter one;
    RequestFingerprinter other;
    one.setKey("key");
    other.setKey("key");
    CHECK_TRUE(one.fingerprint(Post) == other.fingerprint(Post));
}

TEST(RequestFingerprint, differsByEachPart)
{
    const RequestFingerprinter fingerprinter;
    std::set<RequestFingerprint> all { fingerprinter.fingerprint(Post) };
    for (const auto part : { &RequestContent::method,
                             &RequestContent::host,
                             &RequestContent::target,
                             &RequestContent::account,
                             &RequestContent::body }) {
        RequestContent content = Post;
        content.*part = "other";
        all.insert(fingerprinter.fingerprint(content));
    }
    LONGS_EQUAL(6, all.size());
}

TEST(RequestFingerprint, bytesThatMoveFromOnePartToTheNextChangeIt)
{
    const RequestFingerprinter fingerprinter;
    const RequestContent one { "GET", "a", "/ab", "", "" };
    const RequestContent other { "GET", "a/a", "b", "", "" };
    CHECK_FALSE(fingerprinter.fingerprint(one) == fingerprinter.fingerprint(other));
}

TEST(RequestFingerprint, differsByKey)
{
    RequestFingerprinter one;
    const RequestFingerprinter other;
    one.setKey("key");
    CHECK_FALSE(one.fingerprint(Post) == other.fingerprint(Post));
}

TEST(RequestFingerprint, isWrittenAsSixteenDigits)
{
    STRCMP_EQUAL("000000000000002a", toString(RequestFingerprint { 42 }).c_str());
}
