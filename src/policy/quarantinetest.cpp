#include "mulberryplank/policy/quarantine.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };
constexpr RequestFingerprint First { 1 };

} // namespace

TEST_GROUP(Quarantine) {};

TEST(Quarantine, RequestIsRefusedUntilItsTimeEnds)
{
    Quarantine quarantine(4);
    CHECK_TRUE(quarantine.add({ First, Seconds(10) }, Start));
    CHECK_TRUE(quarantine.left(First, Start + Seconds(4)) == Seconds(6));
    CHECK_FALSE(quarantine.left(First, Start + Seconds(10)).has_value());
    CHECK_FALSE(quarantine.left(RequestFingerprint { 2 }, Start).has_value());
}

// Guards against processes that prolong each other's entries without end.
TEST(Quarantine, KnownRequestKeepsItsTime)
{
    Quarantine quarantine(4);
    quarantine.add({ First, Seconds(10) }, Start);
    CHECK_FALSE(quarantine.add({ First, Seconds(10) }, Start + Seconds(5)));
    CHECK_FALSE(quarantine.left(First, Start + Seconds(10)).has_value());
}

TEST(Quarantine, ExpiredRequestsAreReturnedOnce)
{
    Quarantine quarantine(4);
    quarantine.add({ First, Seconds(10) }, Start);
    CHECK_TRUE(quarantine.expire(Start + Seconds(9)).empty());
    LONGS_EQUAL(1, quarantine.expire(Start + Seconds(10)).size());
    CHECK_TRUE(quarantine.expire(Start + Seconds(10)).empty());
    CHECK_TRUE(quarantine.entries(Start).empty());
}

TEST(Quarantine, RequestWhoseTimeEndsFirstMakesRoom)
{
    Quarantine quarantine(2);
    quarantine.add({ RequestFingerprint { 2 }, Seconds(30) }, Start);
    quarantine.add({ First, Seconds(10) }, Start);
    quarantine.add({ RequestFingerprint { 3 }, Seconds(20) }, Start);
    LONGS_EQUAL(2, quarantine.entries(Start).size());
    CHECK_FALSE(quarantine.left(First, Start).has_value());
}
