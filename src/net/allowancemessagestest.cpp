#include "mulberryplank/net/allowancemessages.h"

#include <cmath>
#include <limits>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

TEST_GROUP(AllowanceMessages) {};

TEST(AllowanceMessages, roundTripThroughEncoding)
{
    const Result<AllowanceMessage> read =
        decodeAllowanceMessage(encode(AllowanceMessage { AccountName("press"), 7, 0.125, 0.25 }));
    STRCMP_EQUAL("press", read->account.value().c_str());
    CHECK_EQUAL(7, read->number);
    DOUBLES_EQUAL(0.125, read->least, 0);
    DOUBLES_EQUAL(0.25, read->amount, 0);
}

// Guards against a rolling upgrade in which processes of two versions can't lend to each other.
TEST(AllowanceMessages, messageOfPriorityZeroIsThatOfEarlierVersions)
{
    const AllowanceMessage urgent { AccountName("press"), 7, 0.125, 0.25 };
    AllowanceMessage other = urgent;
    other.priority = 3;
    CHECK_EQUAL(0, decodeAllowanceMessage(encode(urgent))->priority);
    CHECK_EQUAL(3, decodeAllowanceMessage(encode(other))->priority);
    CHECK_TRUE(encode(other).starts_with(encode(urgent)));
    CHECK_FALSE(decodeAllowanceMessage(encode(urgent) + "x").has_value());
}

TEST(AllowanceMessages, truncatedBytesAndImpossibleAmountsAreRejected)
{
    const std::string bytes = encode(AllowanceMessage { AccountName("press"), 7, 0.125, 0.25 });
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeAllowanceMessage(std::string_view(bytes).substr(0, size)).has_value());
    }
    constexpr double Infinity = std::numeric_limits<double>::infinity();
    for (const double amount : { -1.0, Infinity, std::numeric_limits<double>::quiet_NaN() }) {
        CHECK_FALSE(
            decodeAllowanceMessage(encode(AllowanceMessage { AccountName("press"), 7, 0, amount })).has_value());
        CHECK_FALSE(
            decodeAllowanceMessage(encode(AllowanceMessage { AccountName("press"), 7, amount, 1 })).has_value());
    }
}

TEST(AllowanceMessages, anyBytesAreDecodedOrRejected)
{
    CHECK_TRUE(rc::check("any bytes", [](const std::string &bytes) {
        const Result<AllowanceMessage> message = decodeAllowanceMessage(bytes);
        RC_ASSERT(!message || (std::isfinite(message->amount) && message->amount >= 0));
    }));
}
