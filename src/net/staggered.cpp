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

// What the steps of one run share.
struct Race {
    explicit Race(asio::io_context &context)
        : changed(context)
    {
    }

    bool isWon = false;
    std::size_t failed = 0;
    Timer changed; // cancelled when a step ends
};

// The step is kept here until its coroutine has ended.
asio::awaitable<void> runStep(std::shared_ptr<Race> race, StaggeredStep step, std::shared_ptr<bool> hasEnded)
{
    const bool reached = co_await step();
    *hasEnded = true;
    race->isWon = race->isWon || reached;
    race->failed += reached ? 0 : 1;
    race->changed.cancel();
}

// Waits until the race is won, `isOver` says so, or `limit` has come.
asio::awaitable<void> awaitRace(std::shared_ptr<Race> race, std::function<bool()> isOver, Instant limit)
{
    boost::system::error_code ignored;
    while (!race->isWon && !isOver() && Clock::now() < limit) {
        race->changed.expires_at(limit);
        co_await race->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace

} // namespace internal

asio::awaitable<bool> runStaggered(asio::io_context &context, std::vector<StaggeredStep> steps, Duration patience)
{
    const auto race = std::make_shared<internal::Race>(context);
    for (const StaggeredStep &step : steps) {
        const auto hasEnded = std::make_shared<bool>(false);
        asio::co_spawn(context, internal::runStep(race, step, hasEnded), asio::detached);
        const std::function<bool()> ended = [hasEnded] {
            return *hasEnded;
        };
        co_await internal::awaitRace(race, ended, Clock::now() + patience);
        if (race->isWon) {
            co_return true;
        }
    }
    const std::function<bool()> allFailed = [race, count = steps.size()] {
        return race->failed == count;
    };
    co_await internal::awaitRace(race, allFailed, Instant::max());
    co_return race->isWon;
}

} // namespace mulberryplank
