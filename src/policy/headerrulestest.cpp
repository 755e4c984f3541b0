#include "mulberryplank/policy/headerrules.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(HeaderRules) {};

TEST(HeaderRules, fieldsOfOneHopAreNotPassedOn)
{
    CHECK_FALSE(forwardToTarget("connection", ""));
    CHECK_FALSE(forwardToTarget("TRANSFER-ENCODING", ""));
    CHECK_FALSE(forwardToCaller("Keep-Alive", ""));
    CHECK_FALSE(forwardToCaller("X-Hop", "close, x-hop"));
    CHECK_TRUE(forwardToCaller("X-Hop", "x-hop-2"));
    CHECK_TRUE(forwardToTarget("Accept", "close"));
}

// Failure: a target believes in another account than the one that called, or learns its secret.
TEST(HeaderRules, fieldsThatTheProxyVouchesForDontComeFromCallers)
{
    CHECK_FALSE(forwardToTarget("authorization", ""));
    CHECK_FALSE(forwardToTarget("x-account", ""));
    CHECK_FALSE(forwardToTarget("x-request-id", ""));
    CHECK_FALSE(forwardToTarget("X-DEADLINE-MS", ""));
    CHECK_FALSE(forwardToCaller("x-outcome", ""));
    CHECK_FALSE(forwardToCaller("X-Not-Run", ""));
}

// Failure: a caller takes a cut body for a whole one.
TEST(HeaderRules, lengthIsPassedOnThoughConnectionNamesIt)
{
    CHECK_TRUE(forwardToCaller("Content-Length", "content-length"));
}
