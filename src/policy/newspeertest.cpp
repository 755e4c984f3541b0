#include "mulberryplank/policy/newspeer.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

Member member(Incarnation incarnation, std::uint64_t applied, std::uint32_t capacity = 100)
{
    Member result;
    result.incarnation = incarnation;
    result.applied = applied;
    result.capacity = capacity;
    result.status = MemberStatus::Alive;
    return result;
}

} // namespace

TEST_GROUP(NewsPeer)
{
    std::mt19937_64 random { 7 };
};

// Symptom: one process goes by an old configuration for five seconds.
// Events: it misses a large one; it asks others at random, who don't have it either or can't send it in time.
// Cause: it did not ask those who say that they have it.
TEST(NewsPeer, whoHasTheVersionIsAsked)
{
    for (int i = 0; i < 20; ++i) {
        const auto peer = choosePeerForNews({ member(1, 5), member(2, 6), member(3, 5), member(4, 5) }, 9, 5, random);
        CHECK_EQUAL(2, peer->incarnation);
    }
}

TEST(NewsPeer, whereNobodyHasANewerOneAnybodyIsAsked)
{
    CHECK(choosePeerForNews({ member(1, 5), member(2, 4) }, 9, 5, random).has_value());
}

TEST(NewsPeer, strongOnesAreAskedMoreOften)
{
    int strong = 0;
    for (int i = 0; i < 400; ++i) {
        strong += choosePeerForNews({ member(1, 5, 500), member(2, 5, 100) }, 9, 4, random)->incarnation == 1 ? 1 : 0;
    }
    CHECK(strong > 250);
    CHECK(strong < 350);
}

TEST(NewsPeer, neitherItselfNorTheDeadAreAsked)
{
    Member dead = member(1, 9);
    dead.status = MemberStatus::Dead;
    CHECK_FALSE(choosePeerForNews({ dead, member(9, 9) }, 9, 5, random).has_value());
}
