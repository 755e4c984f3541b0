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
    UnhelpfulPeers unhelpful { Seconds(2) };
    Instant now { Seconds(100) };
    std::mt19937_64 random { 7 };
};

// Failure: one process goes by an old configuration for five seconds.
TEST(NewsPeer, whoHasTheVersionIsAsked)
{
    for (int i = 0; i < 20; ++i) {
        const auto peer =
            choosePeerForNews({ member(1, 5), member(2, 6), member(3, 5), member(4, 5) }, 9, 5, unhelpful, now, random);
        CHECK_EQUAL(2, peer->incarnation);
    }
}

TEST(NewsPeer, whereNobodyHasANewerOneAnybodyIsAsked)
{
    CHECK(choosePeerForNews({ member(1, 5), member(2, 4) }, 9, 5, unhelpful, now, random).has_value());
}

TEST(NewsPeer, strongOnesAreAskedMoreOften)
{
    int strong = 0;
    for (int i = 0; i < 400; ++i) {
        strong +=
            choosePeerForNews({ member(1, 5, 500), member(2, 5, 100) }, 9, 4, unhelpful, now, random)->incarnation == 1
                ? 1
                : 0;
    }
    CHECK(strong > 250);
    CHECK(strong < 350);
}

TEST(NewsPeer, neitherItselfNorTheDeadAreAsked)
{
    Member dead = member(1, 9);
    dead.status = MemberStatus::Dead;
    CHECK_FALSE(choosePeerForNews({ dead, member(9, 9) }, 9, 5, unhelpful, now, random).has_value());
}

TEST(NewsPeer, whoGaveNoAnswerIsNotAskedAgainForAWhile)
{
    unhelpful.note(1, now);
    for (int i = 0; i < 20; ++i) {
        const auto peer = choosePeerForNews({ member(1, 5), member(2, 5) }, 9, 5, unhelpful, now + Seconds(1), random);
        CHECK_EQUAL(2, peer->incarnation);
    }
    CHECK_FALSE(unhelpful.contains(1, now + Seconds(3)));
}

TEST(NewsPeer, whereAllGaveNoAnswerTheyAreAskedAgain)
{
    unhelpful.note(1, now);
    CHECK_EQUAL(1, choosePeerForNews({ member(1, 5) }, 9, 5, unhelpful, now, random)->incarnation);
}

TEST(NewsPeer, listsAreAskedForAtEntriesAndElsewhereOnceNoneHelps)
{
    const std::vector<Member> entries { member(1, 5), member(9, 5) };
    const std::vector<Member> members { member(1, 5), member(2, 5), member(9, 5) };
    CHECK_EQUAL(1, choosePeerForList(entries, members, 9, unhelpful, now, random)->incarnation);
    unhelpful.note(1, now);
    CHECK_EQUAL(2, choosePeerForList(entries, members, 9, unhelpful, now, random)->incarnation);
}
