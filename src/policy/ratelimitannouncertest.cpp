#include "mulberryplank/policy/ratelimitannouncer.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };

} // namespace

TEST_GROUP(RateLimitAnnouncer) {};

TEST(RateLimitAnnouncer, changeIsSentThreeTimesWithItsAge)
{
    RateLimitAnnouncer announcer;
    announcer.add(7, { 2.5, Start });
    for (int round = 0; round < 3; ++round) {
        const Instant now = Start + Millis(500) * round;
        const std::vector<RateLimitReport> reports = announcer.take(now);
        CHECK_EQUAL(1, reports.size());
        CHECK_EQUAL(7, reports.front().target);
        CHECK_TRUE(noticeOf(reports.front(), now).at == Start);
        DOUBLES_EQUAL(2.5, *noticeOf(reports.front(), now).perSecond, 0);
    }
    CHECK_TRUE(announcer.take(Start).empty());
}

TEST(RateLimitAnnouncer, newerChangeReplacesTheOneBefore)
{
    RateLimitAnnouncer announcer;
    announcer.add(7, { 2.5, Start });
    announcer.add(7, { std::nullopt, Start + Seconds(1) });
    const std::vector<RateLimitReport> reports = announcer.take(Start + Seconds(1));
    CHECK_EQUAL(1, reports.size());
    CHECK_FALSE(reports.front().perSecond.has_value());
}
