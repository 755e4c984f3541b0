#include "mulberryplank/policy/idlelimit.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };

} // namespace

TEST_GROUP(IdleLimit) {};

TEST(IdleLimit, isUnlimitedWithoutResets)
{
    CHECK_TRUE(IdleLimit().limit(Start) == Duration::max());
}

TEST(IdleLimit, isHalfOfTheIdleTimeBeforeAReset)
{
    IdleLimit idle;
    idle.noteReset(Seconds(2), Start);
    CHECK_TRUE(idle.limit(Start) == Duration(Seconds(1)));
    idle.noteReset(Millis(800), Start);
    CHECK_TRUE(idle.limit(Start) == Duration(Millis(400)));
}

TEST(IdleLimit, isNeverBelowTheTimeForWhichConnectionsAreAlwaysUsed)
{
    IdleLimit idle;
    idle.noteReset(Millis(250), Start);
    CHECK_TRUE(idle.limit(Start) == Duration(Millis(200)));
    IdleLimit unlimited;
    unlimited.noteReset(Millis(100), Start);
    CHECK_TRUE(unlimited.limit(Start) == Duration::max());
}

// Guards against a late reset of a connection that was taken under an earlier limit raising the limit.
TEST(IdleLimit, isNotRaisedByAReset)
{
    IdleLimit idle;
    idle.noteReset(Millis(800), Start);
    idle.noteReset(Seconds(5), Start);
    CHECK_TRUE(idle.limit(Start) == Duration(Millis(400)));
}

TEST(IdleLimit, doublesUntilThereIsNone)
{
    IdleLimit idle;
    idle.noteReset(Seconds(2), Start);
    CHECK_TRUE(idle.limit(Start + Seconds(5)) == Duration(Seconds(2)));
    CHECK_TRUE(idle.limit(Start + Seconds(10)) == Duration(Seconds(4)));
    CHECK_TRUE(idle.limit(Start + Seconds(60)) == Duration::max());
}
