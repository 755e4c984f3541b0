#include "mulberryplank/base/errorkind.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(ErrorKind) {};

TEST(ErrorKind, everyKindHasItsOwnRow)
{
    for (int index = 0; index <= static_cast<int>(ErrorKind::Internal); ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        CHECK_TRUE(errorInfo(kind).kind == kind);
    }
}

TEST(ErrorKind, nameMapsBackToItsKind)
{
    for (int index = 0; index <= static_cast<int>(ErrorKind::Internal); ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        CHECK_TRUE(errorKindFromString(toString(kind)) == kind);
    }
}

TEST(ErrorKind, unkeyedKindThatMayHaveRunIsNeverSafeToRepeat)
{
    for (int index = 0; index <= static_cast<int>(ErrorKind::Internal); ++index) {
        const ErrorInfo &row = errorInfo(static_cast<ErrorKind>(index));
        const bool keyed = row.kind == ErrorKind::RepeatInProgress || row.kind == ErrorKind::PlatformUnavailable;
        CHECK_TRUE(row.outcome != Outcome::Unknown || !row.repeatIsSafe || keyed);
    }
}
