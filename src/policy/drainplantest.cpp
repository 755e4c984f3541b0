#include "mulberryplank/policy/drainplan.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr Instant CallersMoved = Start + Seconds(3);
constexpr Instant End = Start + Seconds(5);

} // namespace

TEST_GROUP(DrainPlan)
{
    DrainPlan plan { { Seconds(3), Seconds(4), Seconds(5) }, Start };
};

TEST(DrainPlan, idleProcessServesUntilCallersHaveMoved)
{
    CHECK_FALSE(plan.isClosing(CallersMoved - Millis(1)));
    CHECK_FALSE(plan.isFinished({}, CallersMoved - Millis(1)));
    CHECK_TRUE(plan.isClosing(CallersMoved));
    CHECK_TRUE(plan.isFinished({}, CallersMoved));
}

// Guards against requests that are cut because they were accepted too late to be finished.
TEST(DrainPlan, acceptsNoRequestThatMayNotBeFinished)
{
    const DrainPlan early({ Seconds(3), Millis(2'900), Seconds(5) }, Start);
    CHECK_FALSE(early.isClosing(Start + Millis(2'899)));
    CHECK_TRUE(early.isClosing(Start + Millis(2'900)));
}

TEST(DrainPlan, waitsForRequestsInProgress)
{
    DrainLoad load;
    load.requests = 1;
    CHECK_FALSE(plan.isFinished(load, End - Millis(1)));
}

// Guards against a response that is discarded because its process ends while the caller still reads it.
TEST(DrainPlan, waitsForOpenConnections)
{
    DrainLoad load;
    load.connections = 1;
    CHECK_FALSE(plan.isFinished(load, End - Millis(1)));
}

// Guards against a relay that ends in the middle of a response without a length, which then looks complete.
TEST(DrainPlan, waitsForOpenTunnels)
{
    DrainLoad load;
    load.tunnels = 1;
    CHECK_FALSE(plan.isFinished(load, End - Millis(1)));
}

TEST(DrainPlan, endsAtTheLimitWhateverIsInProgress)
{
    CHECK_TRUE(plan.isFinished({ 1, 1, 1 }, End));
}
