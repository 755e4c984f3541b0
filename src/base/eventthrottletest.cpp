#include "mulberryplank/base/eventthrottle.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(EventThrottle) {};

TEST(EventThrottle, passesOnePerIntervalAndReportsTheSuppressedCount)
{
    EventThrottle throttle(Seconds(1));
    const Instant start { Seconds(100) };
    CHECK_TRUE(throttle.pass(start) == 0U);
    CHECK_FALSE(throttle.pass(start + Millis(1)).has_value());
    CHECK_FALSE(throttle.pass(start + Millis(999)).has_value());
    CHECK_TRUE(throttle.pass(start + Seconds(1)) == 2U);
    CHECK_TRUE(throttle.pass(start + Seconds(2)) == 0U);
}
