#include "mulberryplank/policy/overload.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(OverloadControl) {};

TEST(OverloadControl, fullQueueNeverTakesLongerThanMaxWait)
{
    CHECK_TRUE(rc::check("bound follows capacity down at once", [] {
        const auto slots = *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 2'000));
        OverloadSettings settings;
        OverloadControl control(settings);
        Instant now = Instant {} + Seconds(1);
        for (const int count : slots) {
            now += Millis(500);
            const std::uint32_t bound = control.update(count, Millis(20), now);
            const double wait = count == 0 ? 0 : bound * 0.02 / count;
            RC_ASSERT(bound == settings.minQueue || wait <= toSeconds(settings.maxWait));
            RC_ASSERT(bound <= settings.maxQueue);
        }
    }));
}

// Failure: right after an outage of half of the targets ends, the service falls over again.
TEST(OverloadControl, boundGrowsBackGradually)
{
    OverloadControl control(OverloadSettings {});
    const Instant now = Instant {} + Seconds(1);
    const std::uint32_t full = control.update(40, Millis(20), now);
    const std::uint32_t reduced = control.update(4, Millis(20), now + Seconds(1));
    LONGS_EQUAL(full / 10, reduced);
    LONGS_EQUAL(reduced, control.update(40, Millis(20), now + Seconds(1)));
    LONGS_EQUAL(2 * reduced, control.update(40, Millis(20), now + Seconds(3)));
    LONGS_EQUAL(full, control.update(40, Millis(20), now + Seconds(10)));
}
