#include "mulberryplank/policy/seqwindow.h"

#include <set>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

TEST_GROUP(SequenceWindow) {};

TEST(SequenceWindow, noNumberIsEverAcceptedTwice)
{
    CHECK_TRUE(rc::check("no number twice", [] {
        SequenceWindow window;
        std::set<Sequence> accepted;
        const auto numbers = *rc::gen::container<std::vector<Sequence>>(rc::gen::inRange<Sequence>(0, 2'000));
        for (const Sequence number : numbers) {
            if (window.accept(number)) {
                RC_ASSERT(accepted.insert(number).second);
            }
        }
    }));
}

TEST(SequenceWindow, newNumbersWithinTheSpanAreAcceptedInAnyOrder)
{
    CHECK_TRUE(rc::check("any order within the span", [] {
        SequenceWindow window;
        const auto base = *rc::gen::inRange<Sequence>(1, 1'000'000);
        std::set<Sequence> accepted;
        for (int i = 0; i < 100; ++i) {
            const auto number = base + *rc::gen::inRange<Sequence>(0, SequenceWindow::Span);
            RC_ASSERT(window.accept(number) == accepted.insert(number).second);
        }
    }));
}

TEST(SequenceWindow, guardEvictsTheLeastRecentSender)
{
    ReplayGuard guard(2);
    CHECK_TRUE(guard.accept(1, 1));
    CHECK_TRUE(guard.accept(2, 1));
    CHECK_FALSE(guard.accept(1, 1));
    CHECK_TRUE(guard.accept(3, 1));
    LONGS_EQUAL(2, guard.size());
    CHECK_FALSE(guard.accept(1, 1));
}
