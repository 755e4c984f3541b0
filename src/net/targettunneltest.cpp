#include "mulberryplank/net/targettunnel.h"

#include <optional>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/net/clock.h"
#include "pathtesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

constexpr std::size_t RequestLargerThanSocketBuffers = 16 << 20; // bytes

PeerTransportSettings settingsOf(const std::string &vm)
{
    PeerTransportSettings settings;
    settings.listen = { HostNumber, 0 };
    settings.vm = VmName(vm);
    settings.incarnation = std::hash<std::string> {}(vm);
    settings.fleetKeys = { "key" };
    return settings;
}

} // namespace

// A gateway "severed" that gets tunnels to the target "t" from a gateway "relay".
TEST_GROUP(TargetTunnel)
{
    asio::io_context context;
    ScriptedTarget target;
    Result<Endpoint> located = Endpoint { HostNumber, target.port() };
    std::vector<bool> connections;
    PeerTransport severed { context, settingsOf("severed"), {} };
    PeerTransport relay { context, settingsOf("relay"), {} };
    std::optional<TunnelServer> tunnels;
    TimerWheel wheel { Clock::now(), Millis(10) };

    void setup() override
    {
        tunnels.emplace(context,
                        TunnelSettings {},
                        TunnelHooks { [this](const TargetName &) {
                                         return located;
                                     },
                                      [this](const TargetName &, bool connected, Instant) {
                                          connections.push_back(connected);
                                      } });
        relay.onUpgrade(PeerKind::Tunnel, [this](const PeerSender &, std::string payload) {
            return tunnels->open(std::move(payload), TunnelFormat::Plain);
        });
        severed.start();
    }

    // Starts a relay of the version before framed tunnels.
    void startOldRelay()
    {
        relay.start();
    }

    void startRelay()
    {
        relay.onUpgrade(PeerKind::FramedTunnel, [this](const PeerSender &, std::string payload) {
            return tunnels->open(std::move(payload), TunnelFormat::Framed);
        });
        relay.start();
    }

    // Runs the context until `done` holds.
    template<typename Condition>
    void runUntil(Condition done)
    {
        const Instant end = Clock::now() + WaitLimit;
        while (!done() && Clock::now() < end) {
            context.run_one_for(Millis(50));
        }
        CHECK_TRUE(done());
    }

    // Runs the context until `operation` has a result, and returns it.
    template<typename T>
    T await(asio::awaitable<T> operation)
    {
        std::optional<T> result;
        asio::co_spawn(context, std::move(operation), [&result](const std::exception_ptr &, T value) {
            result = std::move(value);
        });
        runUntil([&result] {
            return result.has_value();
        });
        return *std::move(result);
    }

    Result<PeerTransport::SocketPtr> openTunnel(const std::string &payload)
    {
        return await(severed.upgrade(relay.advertised(), PeerKind::Tunnel, payload, WaitLimit));
    }

    Result<PeerTransport::SocketPtr> openTunnel()
    {
        startRelay();
        return openTunnel(encode(TunnelRequest { TargetName("t") }));
    }

    // Opens a tunnel as a gateway does.
    Result<OpenedTunnel> openGatewaysTunnel()
    {
        return await(mulberryplank::openTunnel(severed, relay.advertised(), TargetName("t"), WaitLimit));
    }

    // Returns the severed gateway's end of a tunnel.
    std::unique_ptr<HttpStream> streamOf(Result<OpenedTunnel> tunnel)
    {
        DataSocket socket(context.get_executor());
        socket.assign(tcp::v4(), tunnel->socket->release());
        return std::make_unique<HttpStream>(std::move(socket), wheel, tunnel->inputEnd);
    }

    // Reads until the input ends, and returns it and how it ended.
    std::pair<std::string, boost::system::error_code> readInput(HttpStream & stream)
    {
        boost::system::error_code error;
        const std::function<DataAwaitable<void>()> readAll = [&stream, &error]() -> DataAwaitable<void> {
            while (!error) {
                error = co_await stream.readSome();
            }
        };
        asio::co_spawn(context.get_executor(), readAll, asio::detached);
        runUntil([&error] {
            return error.failed();
        });
        const auto data = stream.buffer().data();
        return { std::string(static_cast<const char *>(data.data()), data.size()), error };
    }

    // Opens a tunnel whose target sends `bytes` and ends its connection in order. Returns the input and how it ended.
    std::pair<std::string, boost::system::error_code> inputOf(const std::string &bytes)
    {
        const auto stream = streamOf(openGatewaysTunnel());
        Peer end = target.accept();
        end.write(bytes);
        end.close();
        return readInput(*stream);
    }

    // Runs the context until the target has sent data.
    void awaitData()
    {
        runUntil([this] {
            return !connections.empty();
        });
    }

    // Reads from the severed gateway's end until `size` bytes are there or the connection ends.
    std::string read(tcp::socket & socket, std::size_t size, boost::system::error_code & error)
    {
        std::string bytes(size, '\0');
        bool done = false;
        asio::async_read(
            socket, asio::buffer(bytes), [&bytes, &error, &done](boost::system::error_code result, std::size_t count) {
                error = result;
                bytes.resize(count);
                done = true;
            });
        runUntil([&done] {
            return done;
        });
        return bytes;
    }

    // Runs the context while the test waits for the target's end of a tunnel.
    template<typename Function>
    auto whileRunning(Function function)
    {
        const auto work = asio::make_work_guard(context);
        std::thread runner([this] {
            context.run();
        });
        const auto result = function();
        context.stop();
        runner.join();
        context.restart();
        return result;
    }
};

TEST(TargetTunnel, carriesBytesInBothDirections)
{
    const auto socket = openTunnel();
    CHECK_TRUE(socket.has_value());
    Peer end = target.accept();
    asio::write(**socket, asio::buffer(std::string("request\r\n\r\n")));
    STRCMP_EQUAL("request\r\n\r\n", whileRunning([&end] {
                                        return end.readHeader();
                                    }).c_str());
    end.write("response");
    boost::system::error_code error;
    STRCMP_EQUAL("response", read(**socket, 8, error).c_str());
    CHECK_EQUAL(1, tunnels->count());
    CHECK_TRUE(connections == std::vector { true });
}

// Guards against a relay that goes on offering tunnels although it can't reach the targets itself.
TEST(TargetTunnel, targetThatResetsAConnectionBeforeItsResponseWasNotReached)
{
    const auto socket = openTunnel();
    Peer end = target.accept();
    asio::write(**socket, asio::buffer(std::string("request\r\n\r\n")));
    whileRunning([&end] {
        return end.readHeader();
    });
    end.reset();
    boost::system::error_code error;
    read(**socket, 1, error);
    CHECK_TRUE(connections == std::vector { false });
}

// Guards against a response without a length that is cut short and looks complete.
TEST(TargetTunnel, resetOfTheTargetsConnectionResetsTheOther)
{
    const auto socket = openTunnel();
    Peer end = target.accept();
    end.reset();
    boost::system::error_code error;
    read(**socket, 1, error);
    CHECK_TRUE(error == asio::error::connection_reset);
    CHECK_EQUAL(0, tunnels->count());
}

TEST(TargetTunnel, orderlyEndOfTheTargetsConnectionFollowsItsData)
{
    const auto socket = openTunnel();
    Peer end = target.accept();
    end.write("all");
    end.close();
    boost::system::error_code error;
    STRCMP_EQUAL("all", read(**socket, 100, error).c_str());
    CHECK_TRUE(error == asio::error::eof);
}

// Guards against targets that go on working for callers that have left.
TEST(TargetTunnel, endsAtTheTargetWhenTheGatewayClosesIt)
{
    const auto socket = openTunnel();
    Peer end = target.accept();
    (*socket)->close();
    runUntil([this] {
        return tunnels->count() == 0;
    });
    STRCMP_EQUAL("", end.readToEnd().c_str());
}

TEST(TargetTunnel, isRefusedWithNoTargetWhenTheTargetRefusesTheConnection)
{
    target.close();
    const auto socket = openTunnel();
    CHECK_FALSE(socket.has_value());
    CHECK_TRUE(socket.error().kind == ErrorKind::NoTarget);
    CHECK_TRUE(connections == std::vector { false });
}

TEST(TargetTunnel, isRefusedWithTheErrorOfTheRelay)
{
    located = failure(ErrorKind::Draining, "stops");
    CHECK_TRUE(openTunnel().error().kind == ErrorKind::Draining);
}

TEST(TargetTunnel, unreadableRequestIsRefused)
{
    startRelay();
    CHECK_TRUE(openTunnel("?").error().kind == ErrorKind::BadRequest);
}

TEST(TargetTunnel, inputEndsWithTheTargetsOrderlyEnd)
{
    startRelay();
    const auto [input, reason] = inputOf("all");
    STRCMP_EQUAL("all", input.c_str());
    CHECK_TRUE(reason == asio::error::eof);
}

// Guards against a response without a length that is cut short and looks complete.
TEST(TargetTunnel, relayThatStopsDoesNotEndTheInput)
{
    startRelay();
    const auto stream = streamOf(openGatewaysTunnel());
    Peer end = target.accept();
    end.write("a part");
    awaitData();
    tunnels.reset();
    const auto [input, reason] = readInput(*stream);
    CHECK_TRUE(reason.failed() && reason != asio::error::eof);
}

// Guards against the same at a gateway of the version before framed tunnels.
TEST(TargetTunnel, relayThatStopsResetsPlainTunnels)
{
    const auto socket = openTunnel();
    Peer end = target.accept();
    end.write("a part");
    awaitData();
    tunnels.reset();
    boost::system::error_code error;
    read(**socket, 100, error);
    CHECK_TRUE(error == asio::error::connection_reset);
}

// Guards against a relay that finishes while another gateway still reads a response.
TEST(TargetTunnel, isOpenUntilTheGatewayHasClosedIt)
{
    startRelay();
    auto stream = streamOf(openGatewaysTunnel());
    Peer end = target.accept();
    end.write("all");
    end.close();
    readInput(*stream);
    CHECK_EQUAL(1, tunnels->count());
    stream.reset();
    runUntil([this] {
        return tunnels->count() == 0;
    });
}

TEST(TargetTunnel, resetWhileARequestIsSentResetsTheOther)
{
    const auto socket = openTunnel();
    Peer end = target.accept();
    const std::string request(RequestLargerThanSocketBuffers, 'r');
    std::optional<boost::system::error_code> sent;
    asio::async_write(**socket, asio::buffer(request), [&sent](boost::system::error_code result, std::size_t) {
        sent = result;
    });
    end.write("a part");
    awaitData();
    while (context.poll() > 0) {
        // Runs until the relay waits for the target to read.
    }
    end.reset();
    boost::system::error_code received;
    read(**socket, 100, received);
    runUntil([&sent] {
        return sent.has_value();
    });
    CHECK_TRUE(sent == asio::error::connection_reset || received == asio::error::connection_reset);
}

// Guards against a cut response at gateways that run beside relays of the version before.
TEST(TargetTunnel, noEndOfTheConnectionEndsTheInputFromAnOldRelay)
{
    startOldRelay();
    const auto [input, reason] = inputOf("a part");
    STRCMP_EQUAL("a part", input.c_str());
    CHECK_TRUE(reason == boost::beast::http::error::partial_message);
}
