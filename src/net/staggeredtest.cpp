#include "mulberryplank/net/staggered.h"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/sleep.h"

using namespace mulberryplank;

TEST_GROUP(Staggered)
{
    // Returns a step that takes `span` and then returns `succeeded`. `started` counts the steps that ran.
    StaggeredStep step(Duration span, bool succeeded)
    {
        return [this, span, succeeded]() -> boost::asio::awaitable<bool> {
            ++started;
            co_await sleepFor(context, span);
            co_return succeeded;
        };
    }

    void start(std::vector<StaggeredStep> steps, Duration lastTimeout = Duration::max())
    {
        const std::function<boost::asio::awaitable<void>()> run =
            [this, steps, lastTimeout]() -> boost::asio::awaitable<void> {
            result = co_await runStaggered(context, steps, StepTimeout, lastTimeout);
        };
        main = run;
        boost::asio::co_spawn(context, main, boost::asio::detached);
        pass(Millis(0));
    }

    void pass(Duration span)
    {
        for (Duration left = span; left >= Duration {}; left -= Millis(1)) {
            context.restart();
            context.poll();
            time.advance(left > Duration {} ? Duration(Millis(1)) : Duration {});
        }
    }

    static constexpr Duration StepTimeout = Millis(200);
    VirtualTime time { Instant(Seconds(1)) };
    boost::asio::io_context context;
    std::function<boost::asio::awaitable<void>()> main;
    std::optional<bool> result;
    int started = 0;
};

TEST(Staggered, firstStepThatSucceedsEndsTheRun)
{
    start({ step(Millis(10), true), step(Millis(10), true) });
    pass(Millis(20));
    CHECK_TRUE(result == true);
    CHECK_EQUAL(1, started);
}

TEST(Staggered, nextStepStartsAsSoonAsOneHasFailed)
{
    start({ step(Millis(10), false), step(Millis(10), true) });
    pass(Millis(30));
    CHECK_TRUE(result == true);
}

TEST(Staggered, nextStepStartsAfterTimeoutOfOneThatHangs)
{
    start({ step(Seconds(10), true), step(Millis(10), true) });
    pass(Millis(199));
    CHECK_EQUAL(1, started);
    pass(Millis(30));
    CHECK_TRUE(result == true);
}

TEST(Staggered, stepThatExceedsItsTimeoutCanStillSucceed)
{
    start({ step(Millis(300), true), step(Seconds(10), true) });
    pass(Millis(310));
    CHECK_TRUE(result == true);
    CHECK_EQUAL(2, started);
}

TEST(Staggered, runFailsOnceAllStepsHaveFailed)
{
    start({ step(Millis(500), false), step(Millis(10), false) });
    pass(Millis(400));
    CHECK_FALSE(result.has_value());
    pass(Millis(110));
    CHECK_TRUE(result == false);
}

TEST(Staggered, runFailsWhenTheLastTimeoutHasPassed)
{
    start({ step(Seconds(10), true), step(Seconds(10), true) }, Millis(300));
    pass(Millis(490));
    CHECK_FALSE(result.has_value());
    pass(Millis(20));
    CHECK_TRUE(result == false);
}

TEST(Staggered, runWithoutStepsFailsAtOnce)
{
    start({});
    CHECK_TRUE(result == false);
}
