#include "mulberryplank/net/peertransport.h"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Seconds RunLimit { 10 };
constexpr Seconds CallTimeout { 5 };

PeerTransportSettings settingsOf(const std::string &vm, std::vector<std::string> keys)
{
    PeerTransportSettings settings;
    settings.listen = { "127.0.0.1", 0 };
    settings.vm = VmName(vm);
    settings.incarnation = std::hash<std::string> {}(vm);
    settings.fleetKeys = std::move(keys);
    return settings;
}

// Someone on the network: sends what bytes it likes.
void sendBytes(boost::asio::io_context &context, const std::string &bytes, const Endpoint &to)
{
    boost::asio::ip::udp::socket socket(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    socket.send_to(boost::asio::buffer(bytes), { boost::asio::ip::make_address(to.host), to.port });
}

// Connects to a transport and sends `noise`.
boost::asio::ip::tcp::socket connectAndSend(boost::asio::io_context &context,
                                            const Endpoint &to,
                                            const std::string &noise)
{
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address(to.host), to.port });
    boost::asio::write(socket, boost::asio::buffer(noise));
    return socket;
}

} // namespace

TEST_GROUP(PeerTransport)
{
    boost::asio::io_context context;
    std::vector<Event> events;
    std::vector<std::string> received;
    EventSink sink = [this](Event event, std::initializer_list<EventField>) {
        events.push_back(event);
    };
    PeerTransport alice { context, settingsOf("alice", { "key" }), sink };
    PeerTransport bob { context, settingsOf("bob", { "key", "next" }), sink };

    void setup() override
    {
        bob.onDatagram(PeerKind::Membership, [this](const PeerSender &sender, std::string_view payload) {
            received.push_back(sender.vm.value() + ":" + std::string(payload));
        });
        bob.onCall(PeerKind::StatusQuery,
                   [](const PeerSender &sender, std::string_view payload) -> Result<std::string> {
                       if (payload == "refuse") {
                           return failure(ErrorKind::Conflict, "refused by the handler");
                       }
                       return sender.vm.value() + " said " + std::to_string(payload.size());
                   });
        alice.start();
        bob.start();
    }

    // Runs the context until `done` holds.
    template<typename Condition>
    void runUntil(Condition done)
    {
        const Instant end = std::chrono::steady_clock::now() + RunLimit;
        while (!done() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(Millis(50));
        }
        CHECK_TRUE(done());
    }

    Result<std::string> callBob(std::string payload)
    {
        std::optional<Result<std::string>> response;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                response =
                    co_await alice.call(bob.advertised(), PeerKind::StatusQuery, std::move(payload), CallTimeout);
            },
            boost::asio::detached);
        runUntil([&] {
            return response.has_value();
        });
        return *response;
    }
};

TEST(PeerTransport, datagramIsDeliveredWithItsSendersName)
{
    CHECK_TRUE(alice.send(bob.advertised(), PeerKind::Membership, "hello").has_value());
    runUntil([&] {
        return received.size() == 1;
    });
    STRCMP_EQUAL("alice:hello", received.front().c_str());
}

TEST(PeerTransport, payloadLargerThanTheMaximumDatagramIsRejected)
{
    const std::string fits(alice.maxDatagramPayload(), 'x');
    CHECK_TRUE(alice.send(bob.advertised(), PeerKind::Membership, fits).has_value());
    const std::string tooLarge(1'400, 'x');
    CHECK_FALSE(alice.send(bob.advertised(), PeerKind::Membership, tooLarge).has_value());
}

// Failure: state that was true a while ago comes back, on one proxy only.
TEST(PeerTransport, replayedDatagramIsRejectedByItsReceiverAndByOthers)
{
    PeerEnvelope message;
    message.vm = VmName("alice");
    message.incarnation = 7;
    message.sequence = 1;
    message.destination = toString(bob.advertised());
    message.payload = "once";
    const std::string recorded = seal(message, "key");
    alice.onDatagram(PeerKind::Membership, [this](const PeerSender &, std::string_view) {
        received.push_back("alice");
    });
    sendBytes(context, recorded, bob.advertised());
    runUntil([&] {
        return received.size() == 1;
    });
    sendBytes(context, recorded, bob.advertised());
    sendBytes(context, recorded, alice.advertised());
    message.sequence = 2;
    sendBytes(context, seal(message, "key"), bob.advertised());
    runUntil([&] {
        return received.size() == 2 && !events.empty();
    });
    STRCMP_EQUAL("alice:once", received.back().c_str());
    CHECK_TRUE(events.front() == Event::PeerRefused);
}

TEST(PeerTransport, callReturnsTheResponseOrTheHandlersError)
{
    STRCMP_EQUAL("alice said 3000000", callBob(std::string(3'000'000, 'x')).value().c_str());
    CHECK_TRUE(callBob("refuse").error().kind == ErrorKind::Conflict);
}

TEST(PeerTransport, callToAStoppedPeerFailsAsNotRun)
{
    bob.stop();
    CHECK_TRUE(callBob("anyone").error().kind == ErrorKind::ConnectFailed);
}

// Failure: while the fleet key is being changed, part of the fleet can't hear the rest.
TEST(PeerTransport, keyRotatesInTwoStepsWithoutInterruption)
{
    alice.setFleetKeys({ "key", "next" });
    CHECK_TRUE(callBob("x").has_value());
    alice.setFleetKeys({ "next", "key" });
    CHECK_TRUE(callBob("x").has_value());
    bob.setFleetKeys({ "next", "key" });
    CHECK_TRUE(callBob("x").has_value());
    bob.setFleetKeys({ "next" });
    CHECK_TRUE(callBob("x").has_value());
    alice.setFleetKeys({ "key" });
    CHECK_FALSE(callBob("x").has_value());
}

// Failure: a proxy runs out of memory or ends without a trace of its peers.
TEST(PeerTransport, unauthenticatedConnectionsAreClosedAndPeersStillServed)
{
    PeerTransportSettings settings = settingsOf("carol", { "key" });
    settings.handshakeTimeout = Millis(20);
    PeerTransport carol(context, settings, sink);
    carol.start();
    sendBytes(context, std::string(1'300, 'x'), bob.advertised());
    sendBytes(context, "", bob.advertised());
    std::vector<boost::asio::ip::tcp::socket> unauthenticated;
    unauthenticated.push_back(connectAndSend(context, bob.advertised(), std::string(8, '\xff')));
    unauthenticated.push_back(connectAndSend(context, bob.advertised(), std::string("\0\0\0\5noise", 9)));
    unauthenticated.push_back(connectAndSend(context, carol.advertised(), ""));
    CHECK_TRUE(callBob("peer").has_value());
    runUntil([&] {
        return !events.empty();
    });
    CHECK_TRUE(events.front() == Event::PeerRefused);
    for (boost::asio::ip::tcp::socket &socket : unauthenticated) {
        std::array<char, 100> bytes {};
        bool closed = false;
        boost::asio::async_read(socket, boost::asio::buffer(bytes), [&](boost::system::error_code error, std::size_t) {
            closed = static_cast<bool>(error);
        });
        runUntil([&] {
            return closed;
        });
    }
}
