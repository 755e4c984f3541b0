#include "mulberryplank/policy/directpath.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(DirectPath)
{
    static constexpr std::size_t TargetCount = 8;
    const Instant start { Seconds(100) };
    DirectPath path;

    static TargetName target(int number)
    {
        return TargetName("t" + std::to_string(number));
    }

    void loseAt(Instant now)
    {
        for (int number = 0; number < 3; ++number) {
            path.noteFailure(target(number), TargetCount, now);
        }
    }
};

TEST(DirectPath, isLostOnceSeveralTargetsCannotBeReached)
{
    CHECK_FALSE(path.noteFailure(target(0), TargetCount, start));
    CHECK_FALSE(path.noteFailure(target(1), TargetCount, start));
    CHECK_TRUE(path.noteFailure(target(2), TargetCount, start));
    CHECK_TRUE(path.isLost());
}

TEST(DirectPath, isNotLostWhenOneTargetFailsAgainAndAgain)
{
    for (int attempt = 0; attempt < 10; ++attempt) {
        CHECK_FALSE(path.noteFailure(target(0), TargetCount, start + Millis(attempt)));
    }
}

TEST(DirectPath, isNotLostWhileSomeTargetIsReached)
{
    for (int number = 0; number < 10; ++number) {
        const Instant now = start + Millis(10 * number);
        path.noteFailure(target(number), TargetCount, now);
        path.noteSuccess(now + Millis(5));
    }
    CHECK_FALSE(path.isLost());
}

TEST(DirectPath, oldFailuresDoNotCount)
{
    path.noteFailure(target(0), TargetCount, start);
    path.noteFailure(target(1), TargetCount, start);
    CHECK_FALSE(path.noteFailure(target(2), TargetCount, start + Seconds(6)));
}

TEST(DirectPath, ofASingleTargetIsLostWithIt)
{
    CHECK_TRUE(path.noteFailure(target(0), 1, start));
}

TEST(DirectPath, isRestoredByAConnectionOpenedAfterTheLoss)
{
    loseAt(start);
    CHECK_TRUE(path.noteSuccess(start + Millis(1)));
    CHECK_FALSE(path.isLost());
}

TEST(DirectPath, isNotRestoredByAConnectionOpenedBeforeTheLoss)
{
    loseAt(start);
    CHECK_FALSE(path.noteSuccess(start - Millis(1)));
    CHECK_TRUE(path.isLost());
}

TEST(DirectPath, isNotRestoredByAResponseOverAnOlderConnection)
{
    loseAt(start);
    path.noteResponse(start + Seconds(1));
    CHECK_TRUE(path.isLost());
}

TEST(DirectPath, checksAreLimitedInRate)
{
    CHECK_TRUE(path.startCheck(start));
    CHECK_FALSE(path.startCheck(start + Millis(399)));
    CHECK_TRUE(path.startCheck(start + Millis(400)));
}

TEST(DirectPath, remembersTheLastResponse)
{
    CHECK_FALSE(path.hasRespondedSince(start));
    path.noteResponse(start);
    CHECK_TRUE(path.hasRespondedSince(start));
    CHECK_FALSE(path.hasRespondedSince(start + Millis(1)));
}
