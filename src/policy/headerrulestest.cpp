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

// Symptom: a target believes in another account than the one that called, or learns its secret. Cause: a caller's own
// copy of a field that the proxy vouches for was passed on.
TEST(HeaderRules, fieldsThatTheProxyVouchesForDontComeFromCallers)
{
    CHECK_FALSE(forwardToTarget("authorization", ""));
    CHECK_FALSE(forwardToTarget("x-account", ""));
    CHECK_FALSE(forwardToTarget("x-request-id", ""));
    CHECK_FALSE(forwardToTarget("X-DEADLINE-MS", ""));
    CHECK_FALSE(forwardToCaller("x-outcome", ""));
    CHECK_FALSE(forwardToCaller("X-Not-Run", ""));
}

// Symptom: a caller takes a cut body for a whole one. Events: a target's answer names Content-Length in Connection.
// Cause: the length was stripped as a field of one hop.
TEST(HeaderRules, lengthIsPassedOnThoughConnectionNamesIt)
{
    CHECK_TRUE(forwardToCaller("Content-Length", "content-length"));
}
