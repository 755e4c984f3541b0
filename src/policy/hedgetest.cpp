#include "mulberryplank/policy/hedge.h"

#include <algorithm>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // redefines `new`, so it must come last

using namespace mulberryplank;

TEST_GROUP(HedgeDelay) {};

TEST(HedgeDelay, liesWithinOneBucketAboveTheQuantile)
{
    CHECK_TRUE(rc::check("delay is near the quantile", [] {
        const auto lengths = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(3'000, 5'000'000));
        HedgeDelay hedge;
        std::vector<int> sorted = lengths;
        std::sort(sorted.begin(), sorted.end());
        for (const int microseconds : lengths) {
            hedge.onLatency(std::chrono::microseconds(microseconds));
        }
        const Duration exact = std::chrono::microseconds(sorted.at(189)); // the 190th of 200
        RC_ASSERT(hedge.delay().has_value());
        RC_ASSERT(*hedge.delay() >= exact - Duration(1));
        RC_ASSERT(toSeconds(*hedge.delay()) <= toSeconds(exact) * 1.2001);
    }));
}

TEST(HedgeDelay, isUnknownUntilEnoughAnswersWereSeen)
{
    HedgeDelay hedge;
    for (int answer = 0; answer < 99; ++answer) {
        hedge.onLatency(Millis(5));
    }
    CHECK_FALSE(hedge.delay().has_value());
    hedge.onLatency(Millis(5));
    CHECK_TRUE(hedge.delay().has_value());
}

// Guards against a hedge delay that stays at outdated latencies.
TEST(HedgeDelay, followsRouteThatHasBecomeSlower)
{
    HedgeDelay hedge;
    for (int answer = 0; answer < 100'000; ++answer) {
        hedge.onLatency(Millis(5));
    }
    for (int answer = 0; answer < 1'000; ++answer) {
        hedge.onLatency(Millis(500));
    }
    CHECK_TRUE(*hedge.delay() >= Millis(500));
}
