#include "mulberryplank/base/errorkind.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(ErrorKind) {};

TEST(ErrorKind, everyKindHasItsOwnRow)
{
    for (int index = 0; index <= static_cast<int>(ErrorKind::Internal); ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        CHECK_TRUE(errorAnswer(kind).kind == kind);
    }
}

TEST(ErrorKind, nameLeadsBackToKind)
{
    for (int index = 0; index <= static_cast<int>(ErrorKind::Internal); ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        CHECK_TRUE(errorKindFromString(toString(kind)) == kind);
    }
}

TEST(ErrorKind, kindThatMayHaveRunIsNeverCalledSafeToRepeatUnlessKeyed)
{
    for (int index = 0; index <= static_cast<int>(ErrorKind::Internal); ++index) {
        const ErrorAnswer &row = errorAnswer(static_cast<ErrorKind>(index));
        const bool keyed = row.kind == ErrorKind::RepeatInProgress || row.kind == ErrorKind::PlatformUnavailable;
        CHECK_TRUE(row.outcome != Outcome::Unknown || !row.repeatIsSafe || keyed);
    }
}
