#include "mulberryplank/policy/costmodel.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr std::uint16_t Reads = 0;
constexpr std::uint16_t Downloads = 1;

} // namespace

TEST_GROUP(CostModel) {};

TEST(CostModel, newAccountIsEstimatedByItsRouteThenByItsOwnSamples)
{
    CostModel model(CostModelSettings {});
    for (int request = 0; request < 50; ++request) {
        model.learn(0, Reads, Millis(20));
        model.learn(0, Downloads, Seconds(2));
    }
    CHECK_TRUE(model.estimate(1, Reads) < Millis(30));
    CHECK_TRUE(model.estimate(1, Downloads) > Millis(1'900));
    for (int request = 0; request < 50; ++request) {
        model.learn(1, Reads, Millis(200));
    }
    CHECK_TRUE(model.estimate(1, Reads) > Millis(150));
    CHECK_TRUE(model.estimate(0, Reads) < Millis(100));
}

// Guards against downloads taking every slot of a service of small reads for some seconds.
TEST(CostModel, fewLargeRequestsHardlyRaiseTheTypicalCost)
{
    CostModel model(CostModelSettings {});
    for (int request = 0; request < 2'000; ++request) {
        model.learn(0, Reads, Millis(20));
    }
    for (int request = 0; request < 30; ++request) {
        model.learn(1, Downloads, Seconds(2));
    }
    CHECK_TRUE(model.typicalCost() < Millis(30));
    CHECK_TRUE(model.averageCost() > Millis(500));
}
