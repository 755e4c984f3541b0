#include "mulberryplank/policy/targetresponse.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

std::string identity(std::string_view requestId, std::string_view responseId)
{
    return std::string(toString(identityOf(requestId, responseId)));
}

} // namespace

TEST_GROUP(TargetResponse) {};

TEST(TargetResponse, identityFollowsFromTheRepeatedId)
{
    STRCMP_EQUAL("own", identity("a1", "a1").c_str());
    STRCMP_EQUAL("other", identity("a1", "a2").c_str());
    STRCMP_EQUAL("other", identity("a1", "a").c_str());
    STRCMP_EQUAL("missing", identity("a1", "").c_str());
}

TEST(TargetResponse, statusesOfTheProtocolAreInterimOrFinal)
{
    const auto classOf = [](unsigned status) {
        return std::string(toString(statusClassOf(status)));
    };
    for (const unsigned status : { 100U, 102U, 103U, 199U }) {
        STRCMP_EQUAL("interim", classOf(status).c_str());
    }
    for (const unsigned status : { 200U, 299U, 404U, 599U }) {
        STRCMP_EQUAL("final", classOf(status).c_str());
    }
    for (const unsigned status : { 0U, 1U, 99U, 101U, 600U, 999U }) {
        STRCMP_EQUAL("invalid", classOf(status).c_str());
    }
}

TEST(TargetResponse, requestWithoutAnIdHasNoneToRepeat)
{
    STRCMP_EQUAL("own", identity("", "").c_str());
    STRCMP_EQUAL("other", identity("", "a1").c_str());
}

TEST(TargetResponse, onlyFourStatusesImplyThatARequestDidNotRun)
{
    for (unsigned status = 200; status < 600; ++status) {
        const bool expected = status == 408 || status == 421 || status == 429 || status == 503;
        CHECK_EQUAL(expected, impliesNotRun(status));
    }
}
