#include "mulberryplank/net/storehistory.h"

#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

#include "fakekeyedstore.h"

using namespace mulberryplank;

namespace
{

class HistoryFixture
{
public:
    HistoryFixture()
        : store(context)
        , history(
              store.access(),
              [this] {
                  ++returns;
              },
              [this](Event event, std::initializer_list<EventField>) {
                  events.push_back(event);
              })
        , access(history.access())
    {
        store.put(KeyedTopic::Targets, "a", "1");
        store.put(KeyedTopic::Targets, "b", "2");
    }

    // Runs a call to its end.
    template<typename T>
    Result<T> call(boost::asio::awaitable<Result<T>> pending)
    {
        std::optional<Result<T>> finished;
        boost::asio::co_spawn(context, keep(std::move(pending), finished), boost::asio::detached);
        context.restart();
        context.run();
        return *finished;
    }

    boost::asio::io_context context;
    FakeKeyedStore store;
    std::vector<Event> events;
    int returns = 0;
    StoreHistory history;
    KeyedStore access;

private:
    template<typename T>
    static boost::asio::awaitable<void> keep(boost::asio::awaitable<Result<T>> pending,
                                             std::optional<Result<T>> &finished)
    {
        Result<T> result = co_await std::move(pending);
        finished = std::move(result);
    }
};

} // namespace

TEST_GROUP(StoreHistory) {};

TEST(StoreHistory, returnOfTheStoreFromAnOlderCopyIsLoggedOnce)
{
    HistoryFixture fixture;
    fixture.call(fixture.access.newest(KeyedTopic::Targets));
    CHECK_TRUE(fixture.events.empty());
    fixture.store.loseLast(KeyedTopic::Targets, 1);
    fixture.call(fixture.access.newest(KeyedTopic::Targets));
    fixture.call(fixture.access.newest(KeyedTopic::Targets));
    CHECK_EQUAL(1, fixture.events.size());
    CHECK_TRUE(fixture.events.front() == Event::PlatformWentBack);
    CHECK_EQUAL(1, fixture.returns);
}

// Guards against a response of the lost history that arrives after one of the new history.
TEST(StoreHistory, responseOfAnEarlierHistoryCountsAsNone)
{
    HistoryFixture fixture;
    CHECK_TRUE(fixture.call(fixture.access.read(KeyedTopic::Targets, {}, Millis(0))).has_value());
    fixture.history.note(fixture.history.era() + 1);
    CHECK_FALSE(fixture.call(fixture.access.read(KeyedTopic::Targets, {}, Millis(0))).has_value());
    CHECK_FALSE(fixture.call(fixture.access.newest(KeyedTopic::Targets)).has_value());
}

TEST(StoreHistory, eraThatAnotherProcessReportsCountsOnlyIfItIsNewer)
{
    HistoryFixture fixture;
    fixture.history.note(7);
    fixture.history.note(6);
    CHECK_EQUAL(7, fixture.history.era());
}

// Guards against a process that hears late of a return and takes what left since then for an effect of that return.
TEST(StoreHistory, eraIsKnownForAsLongAsAtTheProcessThatReportsIt)
{
    HistoryFixture fixture;
    fixture.history.note(7, Seconds(8));
    CHECK_TRUE(Clock::now() - *fixture.history.eraKnownSince() >= Seconds(8));
}
