#include "mulberryplank/net/staggered.h"

#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

// The state that the steps of one run share.
struct Race {
    explicit Race(asio::io_context &context)
        : changed(context)
    {
    }

    bool hasSucceeded = false;
    std::size_t failed = 0;
    Timer changed; // cancelled when a step ends
};

// Runs one step, which is kept here until its coroutine has ended.
asio::awaitable<void> runStep(std::shared_ptr<Race> race, StaggeredStep step, std::shared_ptr<bool> hasEnded)
{
    const bool succeeded = co_await step();
    *hasEnded = true;
    race->hasSucceeded = race->hasSucceeded || succeeded;
    race->failed += succeeded ? 0 : 1;
    race->changed.cancel();
}

// Waits until a step has succeeded, `isFinished` returns true, or `limit` has passed.
asio::awaitable<void> awaitRace(std::shared_ptr<Race> race, std::function<bool()> isFinished, Instant limit)
{
    boost::system::error_code ignored;
    while (!race->hasSucceeded && !isFinished() && Clock::now() < limit) {
        race->changed.expires_at(limit);
        co_await race->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace

} // namespace internal

asio::awaitable<bool> runStaggered(asio::io_context &context,
                                   std::vector<StaggeredStep> steps,
                                   Duration timeout,
                                   Duration lastTimeout)
{
    const auto race = std::make_shared<internal::Race>(context);
    Instant lastStartedAt = Clock::now();
    for (const StaggeredStep &step : steps) {
        lastStartedAt = Clock::now();
        const auto hasEnded = std::make_shared<bool>(false);
        asio::co_spawn(context, internal::runStep(race, step, hasEnded), asio::detached);
        const std::function<bool()> ended = [hasEnded] {
            return *hasEnded;
        };
        co_await internal::awaitRace(race, ended, Clock::now() + timeout);
        if (race->hasSucceeded) {
            co_return true;
        }
    }
    const std::function<bool()> allFailed = [race, count = steps.size()] {
        return race->failed == count;
    };
    const Instant limit = lastTimeout == Duration::max() ? Instant::max() : lastStartedAt + lastTimeout;
    co_await internal::awaitRace(race, allFailed, limit);
    co_return race->hasSucceeded;
}

} // namespace mulberryplank
