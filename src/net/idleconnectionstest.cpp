#include "mulberryplank/net/idleconnections.h"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include "rununtil.h"
#include "streamtesthelp.h"

using namespace mulberryplank;

namespace asio = boost::asio;

// A connection that waits for a request of a caller with a small receive buffer.
TEST_GROUP(IdleConnections)
{
    IdleConnections connections; // outlives the coroutine that waits
    ConnectedStream connection { ConnectedStream::SmallBuffer };
    asio::io_context &context = connection.context;
    std::optional<bool> ended; // set when the wait is over: whether the process has ended it

    void setup() override
    {
        asio::co_spawn(context.get_executor(), waitForRequest(), asio::detached);
        context.poll();
    }

    DataAwaitable<void> waitForRequest()
    {
        const IdleEnd end = co_await connections.awaitRequest(*connection.stream, Seconds(15), Seconds(30));
        ended = end == IdleEnd::Drained;
    }

    void respond()
    {
        connection.stream->socket().write_some(asio::buffer(std::string(ConnectedStream::LargeResponse, 'r')));
    }

    void receiveResponse()
    {
        std::string response(ConnectedStream::LargeResponse, '\0');
        asio::read(connection.peer, asio::buffer(response));
    }
};

TEST(IdleConnections, waitEndsWhenAllResponsesAreDelivered)
{
    connections.endDelivered();
    CHECK_TRUE(runUntil(context, [this] {
        return ended.has_value();
    }));
    CHECK_TRUE(ended.value());
}

// Guards against a response that is discarded because its connection is closed while the caller still reads it.
TEST(IdleConnections, waitGoesOnWhileAResponseIsNotDelivered)
{
    respond();
    connections.endDelivered();
    context.poll();
    CHECK_FALSE(ended.has_value());
    receiveResponse();
    CHECK_TRUE(runUntil(context, [this] {
        connections.endDelivered();
        return ended.has_value();
    }));
}

TEST(IdleConnections, requestThatArrivesIsReadInsteadOfEndingTheWait)
{
    respond();
    asio::write(connection.peer, asio::buffer(std::string("GET")));
    CHECK_TRUE(runUntil(context, [this] {
        return ended.has_value();
    }));
    CHECK_FALSE(ended.value());
}
