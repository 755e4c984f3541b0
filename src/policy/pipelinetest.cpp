#include "mulberryplank/policy/pipeline.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // redefines `new`, so it must come last

using namespace mulberryplank;

TEST_GROUP(PipelineOrder)
{
    PipelineOrder order;
};

TEST(PipelineOrder, concurrentRequestsStartBesideOneAnother)
{
    const PipelineOrder::Id first = order.add(PipelineMode::Concurrent);
    const PipelineOrder::Id second = order.add(PipelineMode::Concurrent);
    CHECK_TRUE(order.mayStart(first));
    CHECK_TRUE(order.mayStart(second));
}

// Guards against a response that overtakes an earlier one: callers assign responses to requests by their order.
TEST(PipelineOrder, onlyTheEarliestRequestIsDelivered)
{
    const PipelineOrder::Id first = order.add(PipelineMode::Concurrent);
    const PipelineOrder::Id second = order.add(PipelineMode::Concurrent);
    order.finish(second, 100);
    CHECK_FALSE(order.isFirst(second));
    CHECK_TRUE(order.isFirst(first));
    order.remove(first);
    CHECK_TRUE(order.isFirst(second));
}

// Guards against a booking that runs before an earlier request of the same caller has its response.
TEST(PipelineOrder, exclusiveRequestWaitsForThoseBeforeIt)
{
    const PipelineOrder::Id first = order.add(PipelineMode::Concurrent);
    const PipelineOrder::Id second = order.add(PipelineMode::Exclusive);
    CHECK_FALSE(order.mayStart(second));
    order.finish(first, 0);
    CHECK_FALSE(order.mayStart(second));
    order.remove(first);
    CHECK_TRUE(order.mayStart(second));
}

TEST(PipelineOrder, nothingIsReadOrStartedBehindAnExclusiveRequest)
{
    const PipelineOrder::Id first = order.add(PipelineMode::Exclusive);
    CHECK_FALSE(order.mayRead());
    const PipelineOrder::Id second = order.add(PipelineMode::Concurrent);
    CHECK_FALSE(order.mayStart(second));
    order.remove(first);
    CHECK_TRUE(order.mayStart(second));
    CHECK_TRUE(order.mayRead());
}

// Guards against losing the response to a request that has run, because the response before it was broken off.
TEST(PipelineOrder, nothingIsReadBehindAStreamingRequest)
{
    const PipelineOrder::Id first = order.add(PipelineMode::Concurrent);
    const PipelineOrder::Id second = order.add(PipelineMode::Streaming);
    CHECK_TRUE(order.mayStart(second));
    CHECK_FALSE(order.mayRead());
    order.remove(first);
    CHECK_FALSE(order.mayRead());
    order.remove(second);
    CHECK_TRUE(order.mayRead());
}

TEST(PipelineOrder, requestThatWasReadStartsAlthoughAnEarlierOneIsStreamedNow)
{
    const PipelineOrder::Id first = order.add(PipelineMode::Concurrent);
    const PipelineOrder::Id second = order.add(PipelineMode::Concurrent);
    order.setMode(first, PipelineMode::Streaming);
    CHECK_TRUE(order.mayStart(second));
    CHECK_FALSE(order.mayRead());
}

TEST(PipelineOrder, requestWhoseModeBecomesKnownLetsOthersFollow)
{
    const PipelineOrder::Id first = order.add(PipelineMode::Exclusive);
    order.setMode(first, PipelineMode::Concurrent);
    CHECK_TRUE(order.mayRead());
}

// Guards against a caller that occupies a gateway with requests without end on one connection.
TEST(PipelineOrder, readingStopsAtTheMaximumOfRequests)
{
    const PipelineOrder::Id first = order.add(PipelineMode::Concurrent);
    for (std::size_t count = 1; count < PipelineLimits().maxRequests; ++count) {
        CHECK_TRUE(order.mayRead());
        order.add(PipelineMode::Concurrent);
    }
    CHECK_FALSE(order.mayRead());
    order.remove(first);
    CHECK_TRUE(order.mayRead());
}

// Guards against memory that grows with the responses for a caller that reads slowly.
TEST(PipelineOrder, readingStopsWhileTooManyBytesWait)
{
    const PipelineOrder::Id first = order.add(PipelineMode::Concurrent);
    const PipelineOrder::Id second = order.add(PipelineMode::Concurrent);
    order.finish(second, PipelineLimits().maxWaitingBytes + 1);
    CHECK_FALSE(order.mayRead());
    order.remove(first); // `second` is being written now and no longer waits
    CHECK_TRUE(order.mayRead());
}

TEST(PipelineOrder, closingResponseDropsWhatIsBehindIt)
{
    const PipelineOrder::Id first = order.add(PipelineMode::Concurrent);
    const PipelineOrder::Id second = order.add(PipelineMode::Concurrent);
    const PipelineOrder::Id third = order.add(PipelineMode::Exclusive);
    UNSIGNED_LONGS_EQUAL(2, order.close(first));
    CHECK_TRUE(order.isFirst(first));
    CHECK_TRUE(order.isGone(second));
    CHECK_TRUE(order.isGone(third));
    CHECK_FALSE(order.mayStart(third));
    order.remove(first);
    CHECK_TRUE(order.isEmpty());
    CHECK_FALSE(order.mayRead());
}

// Guards against a response that is lost because one behind it closes the connection.
TEST(PipelineOrder, closingResponseKeepsWhatIsBeforeIt)
{
    const PipelineOrder::Id first = order.add(PipelineMode::Concurrent);
    const PipelineOrder::Id second = order.add(PipelineMode::Concurrent);
    UNSIGNED_LONGS_EQUAL(0, order.close(second));
    CHECK_FALSE(order.isGone(first));
    CHECK_TRUE(order.isLast(second));
}

TEST(PipelineOrder, exclusiveRequestsNeverRunBesideOthers)
{
    CHECK_TRUE(rc::check("an exclusive request that may start is alone at its start", [] {
        PipelineOrder pipeline;
        std::vector<std::pair<PipelineOrder::Id, PipelineMode>> read;
        const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 4));
        for (const int step : steps) {
            if (step <= 1 && pipeline.mayRead()) {
                const PipelineMode mode = step == 0 ? PipelineMode::Exclusive : PipelineMode::Concurrent;
                read.emplace_back(pipeline.add(mode), mode);
            } else if (step == 2 && !read.empty()) {
                pipeline.remove(read.front().first);
                read.erase(read.begin());
            }
            std::size_t startable = 0;
            bool exclusive = false;
            for (const auto &[id, mode] : read) {
                startable += pipeline.mayStart(id) ? 1 : 0;
                exclusive = exclusive || (pipeline.mayStart(id) && mode == PipelineMode::Exclusive);
            }
            RC_ASSERT(startable <= PipelineLimits().maxRequests);
            if (exclusive) {
                RC_ASSERT(startable == std::size_t { 1 });
            }
            if (!read.empty()) {
                RC_ASSERT(pipeline.mayStart(read.front().first));
            }
        }
    }));
}
