#include "mulberryplank/policy/routestatistics.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(RouteStatistics)
{
    RouteStatistics statistics;

    void recordResponses(Duration latency, int times)
    {
        for (int i = 0; i < times; ++i) {
            statistics.add(latency, 1'000);
        }
    }
};

TEST(RouteStatistics, HasNoQuantileBeforeThereAreEnoughResponses)
{
    recordResponses(Millis(300), 19);
    CHECK_FALSE(statistics.quantile(0.5).has_value());
    recordResponses(Millis(300), 1);
    CHECK_TRUE(statistics.quantile(0.5).has_value());
}

TEST(RouteStatistics, SurvivalIsTheShareOfSlowerResponses)
{
    recordResponses(Millis(100), 80);
    recordResponses(Millis(1'000), 20);
    DOUBLES_EQUAL(1.0, statistics.survival(Millis(10), Millis(300)), 0.01);
    DOUBLES_EQUAL(0.2, statistics.survival(Millis(400), Millis(300)), 0.01);
}

// Silence is weighed against the likelihood of a late answer, which no sample of usual size shows to be zero.
TEST(RouteStatistics, SurvivalNeverReachesZero)
{
    recordResponses(Millis(100), 200);
    CHECK(statistics.survival(Seconds(30), Millis(300)) > 0);
}

TEST(RouteStatistics, SurvivalFollowsTheAssumedMeanBeforeAnyResponse)
{
    DOUBLES_EQUAL(0.368, statistics.survival(Millis(300), Millis(300)), 0.001);
}

TEST(RouteStatistics, OldResponsesLoseTheirWeight)
{
    recordResponses(Millis(100), 400);
    recordResponses(Millis(1'000), 2'000);
    CHECK(*statistics.quantile(0.5) > Millis(800));
}
