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
        path.noteSuccess(target(number + 1), TargetCount, now + Millis(5));
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

TEST(DirectPath, isRestoredWhenSeveralTargetsAreReachedInARow)
{
    loseAt(start);
    CHECK_FALSE(path.noteSuccess(target(0), TargetCount, start + Millis(1)));
    CHECK_FALSE(path.noteSuccess(target(0), TargetCount, start + Millis(2)));
    CHECK_FALSE(path.noteSuccess(target(1), TargetCount, start + Millis(3)));
    CHECK_TRUE(path.noteSuccess(target(2), TargetCount, start + Millis(4)));
    CHECK_FALSE(path.isLost());
}

// Guards against a path that counts as restored and lost by turns while few targets can be reached.
TEST(DirectPath, isNotRestoredWhileOtherTargetsFail)
{
    loseAt(start);
    for (int number = 0; number < 20; ++number) {
        const Instant now = start + Millis(10 * number + 1);
        path.noteSuccess(target(number % 3), TargetCount, now);
        if (number % 2 == 1) {
            path.noteFailure(target(5), TargetCount, now);
        }
    }
    CHECK_TRUE(path.isLost());
}

TEST(DirectPath, isNotRestoredByConnectionsOpenedBeforeTheLoss)
{
    loseAt(start);
    for (int number = 0; number < 5; ++number) {
        CHECK_FALSE(path.noteSuccess(target(number), TargetCount, start - Millis(1)));
    }
    CHECK_TRUE(path.isLost());
}

TEST(DirectPath, ofASingleTargetIsRestoredWithIt)
{
    path.noteFailure(target(0), 1, start);
    CHECK_TRUE(path.noteSuccess(target(0), 1, start + Millis(1)));
}

TEST(DirectPath, isNotRestoredByAResponseOverAnOlderConnection)
{
    loseAt(start);
    path.noteResponse(start + Seconds(1));
    CHECK_TRUE(path.isLost());
}

TEST(DirectPath, openConnectionsRespondIfAResponseFollowsTheFirstFailure)
{
    path.noteResponse(start - Millis(1));
    loseAt(start);
    CHECK_FALSE(path.openConnectionsRespond());
    path.noteResponse(start + Millis(1));
    CHECK_TRUE(path.openConnectionsRespond());
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

TEST(DirectPath, onlyConnectionsOpenedAfterALossAreNewerThanIt)
{
    CHECK_TRUE(path.isNewerThanLoss(start));
    loseAt(start);
    CHECK_FALSE(path.isNewerThanLoss(start - Millis(1)));
    CHECK_TRUE(path.isNewerThanLoss(start + Millis(1)));
}
