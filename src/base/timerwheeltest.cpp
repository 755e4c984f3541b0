#include "mulberryplank/base/timerwheel.h"

#include <memory>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

TEST_GROUP(TimerWheel) {};

TEST(TimerWheel, everyTimerExpiresAtTheFirstAdvanceAfterItsDeadline)
{
    CHECK_TRUE(rc::check("expiry is neither early nor late", [](const std::vector<std::uint16_t> &deadlines) {
        const Instant start { Seconds(100) };
        TimerWheel wheel(start, Millis(10));
        Instant now = start;
        std::vector<std::unique_ptr<WheelTimer>> timers;
        for (const std::uint16_t deadline : deadlines) {
            const Instant due = start + Millis(deadline);
            timers.push_back(std::make_unique<WheelTimer>([&now, due] {
                RC_ASSERT(due <= now);
                RC_ASSERT(now - due < Millis(70));
            }));
            wheel.arm(*timers.back(), due);
        }
        while (now < start + Seconds(70)) {
            now += Millis(*rc::gen::inRange(1, 60));
            wheel.advance(now);
        }
        for (const auto &timer : timers) {
            RC_ASSERT(!timer->isArmed());
        }
    }));
}

TEST(TimerWheel, expiryFunctionMayDestroyAnotherDueTimer)
{
    const Instant start {};
    TimerWheel wheel(start, Millis(10));
    auto second = std::make_unique<WheelTimer>([] {
        FAIL("destroyed timers don't expire");
    });
    WheelTimer first([&second] {
        second.reset();
    });
    wheel.arm(first, start + Millis(5));
    wheel.arm(*second, start + Millis(5));
    wheel.advance(start + Millis(20));
    CHECK_TRUE(second == nullptr);
}

TEST(TimerWheel, advanceAfterALongIntervalExpiresAllDueTimers)
{
    const Instant start {};
    TimerWheel wheel(start, Millis(10));
    int expired = 0;
    WheelTimer timer([&expired] {
        ++expired;
    });
    wheel.arm(timer, start + Seconds(3));
    wheel.advance(start + std::chrono::hours(1));
    LONGS_EQUAL(1, expired);
}
