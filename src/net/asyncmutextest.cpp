#include "mulberryplank/net/asyncmutex.h"

#include <functional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(AsyncMutex)
{
    // Counts in `acquired` when the mutex has been acquired.
    void lock(int &acquired)
    {
        const std::function<boost::asio::awaitable<void>()> wait = [this, &acquired]() -> boost::asio::awaitable<void> {
            co_await mutex.lock();
            ++acquired;
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
    AsyncMutex mutex { context };
};

TEST(AsyncMutex, locksAtOnceWhenUnlocked)
{
    int acquired = 0;
    lock(acquired);
    CHECK_EQUAL(1, acquired);
    CHECK_TRUE(mutex.isLocked());
}

TEST(AsyncMutex, admitsOneWaitingCoroutineAtATime)
{
    int acquired = 0;
    for (int i = 0; i < 3; ++i) {
        lock(acquired);
    }
    for (int unlocked = 1; unlocked < 3; ++unlocked) {
        mutex.unlock();
        poll();
        CHECK_EQUAL(unlocked + 1, acquired);
    }
    mutex.unlock();
    poll();
    CHECK_FALSE(mutex.isLocked());
}
