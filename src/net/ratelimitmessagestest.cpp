#include "mulberryplank/net/ratelimitmessages.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(RateLimitMessages) {};

TEST(RateLimitMessages, reportsSurviveEncoding)
{
    const std::vector<RateLimitReport> reports { { 7, 0.25, 300 }, { 8, std::nullopt, 0 } };
    const auto read = decodeRateLimitReports(encode(reports));
    CHECK_EQUAL(2, read->size());
    CHECK_EQUAL(7, read->front().target);
    DOUBLES_EQUAL(0.25, *read->front().perSecond, 0);
    CHECK_EQUAL(300, read->front().ageMillis);
    CHECK_FALSE(read->back().perSecond.has_value());
}

TEST(RateLimitMessages, truncatedBytesAndNumbersThatAreNoRatesAreRejected)
{
    const std::string bytes = encode(std::vector<RateLimitReport> { { 7, 0.25, 300 } });
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeRateLimitReports(std::string_view(bytes).substr(0, size)).has_value());
    }
    constexpr double Infinity = std::numeric_limits<double>::infinity();
    for (const double perSecond : { -1.0, Infinity, std::numeric_limits<double>::quiet_NaN() }) {
        CHECK_FALSE(decodeRateLimitReports(encode(std::vector<RateLimitReport> { { 7, perSecond, 0 } })).has_value());
    }
}

// Guards against reports that don't fit a datagram of 1,400 bytes.
TEST(RateLimitMessages, largestMessageFitsADatagram)
{
    constexpr std::size_t DatagramPayload = 1'000;
    const std::vector<RateLimitReport> reports(RateLimitReportsPerDatagram, RateLimitReport { 7, 0.25, 300 });
    CHECK_TRUE(encode(reports).size() <= DatagramPayload);
}
