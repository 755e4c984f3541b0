#include "mulberryplank/policy/targetratelimit.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };

} // namespace

TEST_GROUP(TargetRateLimit) {};

TEST(TargetRateLimit, limitIsNamedChangedAndWithdrawn)
{
    TargetRateLimit limit;
    CHECK_FALSE(limit.apply({ std::nullopt, Start }, Start));
    CHECK_TRUE(limit.apply({ 2.5, Start }, Start));
    CHECK_FALSE(limit.apply({ 2.5, Start + Seconds(1) }, Start));
    CHECK_TRUE(limit.apply({ 1, Start + Seconds(2) }, Start));
    DOUBLES_EQUAL(1, *limit.perSecond(), 0);
    CHECK_TRUE(limit.apply({ std::nullopt, Start + Seconds(3) }, Start));
    CHECK_FALSE(limit.perSecond().has_value());
}

// Guards against a limit that is dropped because of a response to a request that was sent before it was named.
TEST(TargetRateLimit, olderNoticeChangesNothing)
{
    TargetRateLimit limit;
    limit.apply({ 2.5, Start }, Start);
    CHECK_FALSE(limit.apply({ std::nullopt, Start - Millis(1) }, Start));
    DOUBLES_EQUAL(2.5, *limit.perSecond(), 0);
}

TEST(TargetRateLimit, holderSendsItsPartOfTheLimit)
{
    TargetRateLimit limit;
    limit.setShare({ 0.5, true, {}, 0 }, Start);
    limit.apply({ 8, Start }, Start);
    int sent = 0;
    for (Instant now = Start; now < Start + Seconds(10); now += Millis(10)) {
        if (limit.allows(now)) {
            limit.use(now);
            ++sent;
        }
    }
    CHECK_TRUE(sent >= 36 && sent <= 42);
}

// Guards against two processes that use the same part of a limit while one takes over from the other.
TEST(TargetRateLimit, newHolderStartsWithoutUnusedRequests)
{
    TargetRateLimit limit;
    limit.apply({ 1, Start }, Start);
    CHECK_FALSE(limit.allows(Start + Millis(900)));
    CHECK_TRUE(limit.allows(Start + Seconds(1)));
    limit.setShare({ 0, false, Seconds(8), 0 }, Start + Seconds(5));
    limit.setShare({ 1, true, {}, 0 }, Start + Seconds(9));
    CHECK_FALSE(limit.allows(Start + Millis(9'900)));
    CHECK_TRUE(limit.allows(Start + Seconds(10)));
}

// Guards against processes that aren't holders and send their requests at the same moment.
TEST(TargetRateLimit, othersSendInTurnsAlsoAfterATimeWithoutRequests)
{
    constexpr int Others = 50;
    int sent = 0;
    for (int index = 0; index < Others; ++index) {
        TargetRateLimit limit;
        limit.setShare({ 0, false, Seconds(Others), static_cast<double>(index) / Others }, Start);
        limit.apply({ 0.5, Start }, Start);
        sent += limit.allows(Start + Seconds(100'000)) ? 1 : 0;
    }
    CHECK_TRUE(sent >= 1 && sent <= 2);
}

TEST(TargetRateLimit, othersSendNothingWhileTheLimitIsHeardOf)
{
    TargetRateLimit limit;
    limit.setShare({ 0, false, Seconds(1), 0 }, Start);
    for (Instant now = Start; now < Start + Seconds(60); now += Seconds(4)) {
        limit.apply({ 1, now }, now);
        CHECK_FALSE(limit.allows(now + Seconds(4)));
    }
    CHECK_TRUE(limit.allows(Start + Seconds(70)));
}

TEST(TargetRateLimit, limitThatHoldsIsToldAgainAfterAWhile)
{
    TargetRateLimit limit;
    CHECK_FALSE(limit.startRefresh(Start));
    limit.apply({ 1, Start }, Start);
    CHECK_TRUE(limit.startRefresh(Start));
    CHECK_FALSE(limit.startRefresh(Start + Seconds(1)));
    CHECK_TRUE(limit.startRefresh(Start + Seconds(2)));
}

// Guards against a limit that changes with each response and thereby never allows a request, or always one.
TEST(TargetRateLimit, changingLimitsArePacedByTheNewestOne)
{
    TargetRateLimit limit;
    limit.apply({ 2, Start }, Start);
    int sent = 0;
    for (Instant now = Start; now < Start + Seconds(20); now += Millis(10)) {
        limit.apply({ now.time_since_epoch() % Millis(20) == Duration {} ? 1.0 : 2.0, now }, now);
        if (limit.allows(now)) {
            limit.use(now);
            ++sent;
        }
    }
    CHECK_TRUE(sent >= 18 && sent <= 41);
}

TEST(TargetRateLimit, limitOfZeroStillLetsTheTargetWithdrawIt)
{
    TargetRateLimit limit;
    limit.apply({ 0, Start }, Start);
    CHECK_FALSE(limit.allows(Start + Seconds(19)));
    CHECK_TRUE(limit.allows(Start + Seconds(21)));
}

// Guards against undefined conversions of a number that any target may send.
TEST(TargetRateLimit, hugeLimitAllowsRequests)
{
    TargetRateLimit limit;
    limit.apply({ 1e300, Start }, Start);
    for (int index = 0; index < 1'000; ++index) {
        CHECK_TRUE(limit.allows(Start + Seconds(1)));
        limit.use(Start + Seconds(1));
    }
}
