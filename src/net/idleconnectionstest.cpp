#include "mulberryplank/net/idleconnections.h"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include "rununtil.h"

using namespace mulberryplank;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t ResponseSize = 100'000; // bytes; more than the caller's receive buffer, less than the send buffer
constexpr int ReceiveBufferSize = 4'096; // bytes

} // namespace

// A connection that waits for a request of a caller with a small receive buffer.
TEST_GROUP(IdleConnections)
{
    asio::io_context context;
    TimerWheel wheel { Instant {}, Millis(1) };
    IdleConnections connections;
    tcp::socket caller { context };
    std::unique_ptr<HttpStream> stream;
    std::optional<bool> ended; // set when the wait is over: whether the process has ended it

    void setup() override
    {
        tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        caller.open(tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferSize));
        caller.connect(acceptor.local_endpoint());
        DataSocket socket(context.get_executor());
        acceptor.accept(socket);
        stream = std::make_unique<HttpStream>(std::move(socket), wheel);
        asio::co_spawn(context.get_executor(), waitForRequest(), asio::detached);
        context.poll();
    }

    DataAwaitable<void> waitForRequest()
    {
        const IdleEnd end = co_await connections.awaitRequest(*stream, Seconds(15), Seconds(30));
        ended = end == IdleEnd::Drained;
    }

    void respond()
    {
        stream->socket().write_some(asio::buffer(std::string(ResponseSize, 'r')));
    }

    void receiveResponse()
    {
        std::string response(ResponseSize, '\0');
        asio::read(caller, asio::buffer(response));
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
    asio::write(caller, asio::buffer(std::string("GET")));
    CHECK_TRUE(runUntil(context, [this] {
        return ended.has_value();
    }));
    CHECK_FALSE(ended.value());
}
