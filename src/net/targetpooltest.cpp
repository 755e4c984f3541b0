#include "mulberryplank/net/targetpool.h"

#include <CppUTest/TestHarness.h>

#include "mulberryplank/net/worker.h"
#include "pathtesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

constexpr Instant Start { Seconds(1'000) };

} // namespace

// The pool of a worker, with one connection to a target that has been idle since Start.
TEST_GROUP(TargetPool)
{
    ScriptedTarget target;
    Endpoint endpoint { HostNumber, target.port() };
    Worker worker { TargetPool::Settings {} };

    void setup() override
    {
        DataSocket socket(worker.context.get_executor());
        socket.connect({ asio::ip::make_address(HostNumber), target.port() });
        worker.pool.put(endpoint, worker.pool.adopt(std::move(socket), 0, InputEnd::Connection), Start);
    }
};

TEST(TargetPool, idleConnectionIsReturnedOnce)
{
    CHECK_TRUE(worker.pool.take(endpoint, true, Start + Seconds(1)) != nullptr);
    CHECK_TRUE(worker.pool.take(endpoint, true, Start + Seconds(1)) == nullptr);
}

TEST(TargetPool, connectionIdleForTheGivenTimeIsReturned)
{
    CHECK_TRUE(worker.pool.take(endpoint, true, Start + Millis(400), Millis(400)) != nullptr);
}

// Guards against a request over a connection that its target has probably dropped.
TEST(TargetPool, connectionIdleForLongerThanTheGivenTimeIsClosed)
{
    CHECK_TRUE(worker.pool.take(endpoint, true, Start + Millis(401), Millis(400)) == nullptr);
    LONGS_EQUAL(0, worker.pool.idleCount());
}

TEST(TargetPool, nonIdempotentRequestNeedsARecentResponse)
{
    CHECK_TRUE(worker.pool.take(endpoint, false, Start + Seconds(3)) == nullptr);
}
