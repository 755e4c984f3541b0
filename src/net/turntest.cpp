#include "mulberryplank/net/turn.h"

#include <functional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(Turn)
{
    // Counts in `taken` when the turn has been taken.
    void take(int &taken)
    {
        const std::function<boost::asio::awaitable<void>()> wait = [this, &taken]() -> boost::asio::awaitable<void> {
            co_await turn.take();
            ++taken;
        };
        boost::asio::co_spawn(context, wait, boost::asio::detached);
        poll();
    }

    void poll()
    {
        context.restart();
        context.poll();
    }

    boost::asio::io_context context;
    Turn turn { context };
};

TEST(Turn, isTakenAtOnceWhileNobodyHasIt)
{
    int taken = 0;
    take(taken);
    CHECK_EQUAL(1, taken);
    CHECK_TRUE(turn.isTaken());
}

TEST(Turn, goesToOneOfThoseWhoWaitAtATime)
{
    int taken = 0;
    for (int i = 0; i < 3; ++i) {
        take(taken);
    }
    for (int released = 1; released < 3; ++released) {
        turn.release();
        poll();
        CHECK_EQUAL(released + 1, taken);
    }
    turn.release();
    poll();
    CHECK_FALSE(turn.isTaken());
}
