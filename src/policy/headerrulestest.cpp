#include "mulberryplank/policy/headerrules.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(HeaderRules) {};

TEST(HeaderRules, hopByHopFieldsAreNotForwarded)
{
    CHECK_FALSE(forwardToTarget("connection", ""));
    CHECK_FALSE(forwardToTarget("TRANSFER-ENCODING", ""));
    CHECK_FALSE(forwardToCaller("Keep-Alive", ""));
    CHECK_FALSE(forwardToCaller("X-Hop", "close, x-hop"));
    CHECK_TRUE(forwardToCaller("X-Hop", "x-hop-2"));
    CHECK_TRUE(forwardToTarget("Accept", "close"));
}

// Guards against a caller that forges another account towards a target, and against a target that receives the caller's
// secret.
TEST(HeaderRules, fieldsSetByTheProxyAreNotForwardedFromEitherSide)
{
    CHECK_FALSE(forwardToTarget("authorization", ""));
    CHECK_FALSE(forwardToTarget("x-account", ""));
    CHECK_FALSE(forwardToTarget("x-request-id", ""));
    CHECK_FALSE(forwardToTarget("X-DEADLINE-MS", ""));
    CHECK_FALSE(forwardToCaller("x-outcome", ""));
    CHECK_FALSE(forwardToCaller("X-Not-Run", ""));
}

// Without the length, a caller would treat a truncated body as complete.
TEST(HeaderRules, contentLengthIsForwardedEvenIfConnectionListsIt)
{
    CHECK_TRUE(forwardToCaller("Content-Length", "content-length"));
}
