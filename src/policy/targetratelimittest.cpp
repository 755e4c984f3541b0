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
    CHECK_FALSE(limit.apply({ std::nullopt, Start }));
    CHECK_TRUE(limit.apply({ 2.5, Start }));
    CHECK_FALSE(limit.apply({ 2.5, Start + Seconds(1) }));
    CHECK_TRUE(limit.apply({ 1, Start + Seconds(2) }));
    DOUBLES_EQUAL(1, *limit.perSecond(), 0);
    CHECK_TRUE(limit.apply({ std::nullopt, Start + Seconds(3) }));
    CHECK_FALSE(limit.perSecond().has_value());
}

// Guards against a limit that is dropped because of a response to a request that was sent before it was named.
TEST(TargetRateLimit, olderNoticeChangesNothing)
{
    TargetRateLimit limit;
    limit.apply({ 2.5, Start });
    CHECK_FALSE(limit.apply({ std::nullopt, Start - Millis(1) }));
    DOUBLES_EQUAL(2.5, *limit.perSecond(), 0);
}
