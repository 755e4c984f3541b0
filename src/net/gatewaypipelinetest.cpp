// Requests behind one another on a caller's connection (pipelining).
#include <atomic>
#include <future>

#include "gatewaytesthelp.h"
#include "mulberryplank/net/gatewaysession.h"

#include <CppUTest/TestHarness.h> // redefines `new`, so it must come last

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

constexpr std::size_t BegunBytes = 50'000; // of the body of a response that isn't sent whole

// What the caller receives as one response.
struct Received {
    std::string header;
    std::string body;
};

Received receive(Peer &caller)
{
    Received received;
    received.header = caller.readHeader();
    const std::string length = field(received.header, "Content-Length");
    received.body = caller.read(length.empty() ? 0 : std::stoul(length));
    return received;
}

// A request that has reached a target.
struct AtTarget {
    Peer connection;
    std::string header;

    std::string id() const
    {
        return field(header, "X-Attempt");
    }

    void respond(const std::string &body)
    {
        connection.write(signedResponse(header, body));
    }

    // Sends the beginning of a response.
    void begin()
    {
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt: " + id() + "\r\nX-Signed: s\r\nContent-Length: 100000\r\n\r\n"
                         + std::string(BegunBytes, 'x'));
    }

    // Sends the beginning of a response and ends the connection.
    void breakOff()
    {
        begin();
        connection.close();
    }

    // Returns true once the connection has been closed.
    bool isCancelled()
    {
        connection.readToEnd();
        return connection.endReason() == asio::error::eof || connection.endReason() == asio::error::connection_reset;
    }
};

// A gateway with one target, and a caller. "/a/" is of the kind, "/b/" isn't idempotent.
struct Pipeline {
    explicit Pipeline(RouteKind kind = RouteKind::Idempotent)
        : gateway({ target.port() }, kind)
    {
        RouteTable table = *gateway.routes;
        HostRoute &first = table.hosts["press.example"].front();
        HostRoute exclusive = first;
        exclusive.name = "exclusive";
        exclusive.pathPrefix = "/b/";
        exclusive.kind = RouteKind::NonIdempotent;
        table.hosts["press.example"].push_back(exclusive);
        gateway.routes = std::make_shared<const RouteTable>(std::move(table));
        gateway.context.forward.events = [this](Event event, std::initializer_list<EventField>) {
            refused += event == Event::RequestRefused ? 1 : 0;
        };
    }

    Peer start()
    {
        gateway.start();
        return gateway.caller();
    }

    AtTarget accept()
    {
        Peer connection = target.accept();
        std::string header = connection.readHeader();
        return { std::move(connection), std::move(header) };
    }

    // Accepts the requests `first` and `second`, which arrive in any order.
    std::pair<AtTarget, AtTarget> acceptTwo(const std::string &first)
    {
        AtTarget one = accept();
        AtTarget other = accept();
        if (one.id() == first) {
            return { std::move(one), std::move(other) };
        }
        return { std::move(other), std::move(one) };
    }

    ScriptedTarget target;
    std::atomic<int> refused = 0;
    TestGateway gateway;
};

std::string get(const std::string &id, const std::string &fields = "")
{
    return TestGateway::request("GET", id, fields);
}

std::string post(const std::string &id, const std::string &fields = "")
{
    return TestGateway::request("POST", id, "Content-Length: 0\r\n" + fields, "/b/1");
}

} // namespace

TEST_GROUP(GatewayPipeline) {};

// Guards against a request that is late because it waits for a slower one before it.
TEST(GatewayPipeline, requestIsForwardedBeforeAnEarlierOneHasItsResponse)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2"));
    auto [first, second] = fixture.acceptTwo("id-1");
    second.respond("two");
    first.respond("one");
    STRCMP_EQUAL("one", receive(caller).body.c_str());
    STRCMP_EQUAL("two", receive(caller).body.c_str());
}

TEST(GatewayPipeline, requestThatArrivesWhileAnotherIsInProgressIsForwarded)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(get("id-1"));
    AtTarget first = fixture.accept();
    caller.write(get("id-2"));
    AtTarget second = fixture.accept();
    STRCMP_EQUAL("id-2", second.id().c_str());
    second.respond("two");
    first.respond("one");
    STRCMP_EQUAL("one", receive(caller).body.c_str());
    STRCMP_EQUAL("two", receive(caller).body.c_str());
}

TEST(GatewayPipeline, headerThatArrivesInPartsIsForwarded)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    const std::string second = get("id-2");
    caller.write(get("id-1") + second.substr(0, 20));
    AtTarget atFirst = fixture.accept();
    caller.write(second.substr(20));
    AtTarget atSecond = fixture.accept();
    STRCMP_EQUAL("id-2", atSecond.id().c_str());
    atFirst.respond("one");
    atSecond.respond("two");
    STRCMP_EQUAL("one", receive(caller).body.c_str());
    STRCMP_EQUAL("two", receive(caller).body.c_str());
}

TEST(GatewayPipeline, connectionIsUsedForFurtherRequestsAfterwards)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2"));
    auto [first, second] = fixture.acceptTwo("id-1");
    first.respond("one");
    second.respond("two");
    receive(caller);
    receive(caller);
    first.connection.close();
    second.connection.close();
    caller.write(post("id-3"));
    AtTarget third = fixture.accept();
    third.respond("three");
    STRCMP_EQUAL("three", receive(caller).body.c_str());
}

// Guards against a booking that runs beside the requests before it, or that later ones overtake.
TEST(GatewayPipeline, nonIdempotentRequestRunsAlone)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(get("id-1") + post("id-2") + get("id-3"));
    AtTarget at = fixture.accept();
    const std::vector<std::string> ids { "id-1", "id-2", "id-3" };
    for (const std::string &id : ids) {
        STRCMP_EQUAL(id.c_str(), at.id().c_str());
        CHECK_FALSE(fixture.target.hasConnection());
        at.respond(id);
        STRCMP_EQUAL(id.c_str(), receive(caller).body.c_str());
        at.header = id == "id-3" ? "" : at.connection.readHeader();
    }
}

// Guards against a request that can only time out because it has waited for those before it.
TEST(GatewayPipeline, requestWhoseDeadlinePassedWhileItWaitedIsNotSent)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(post("id-1") + post("id-2", "X-Left-Ms: 0\r\n"));
    AtTarget at = fixture.accept();
    at.respond("one");
    STRCMP_EQUAL("one", receive(caller).body.c_str());
    const Received second = receive(caller);
    CHECK_TRUE(contains(second.header, " 503 "));
    CHECK_FALSE(fixture.target.hasConnection());
}

// Guards against targets that keep working for a caller that has disconnected.
TEST(GatewayPipeline, allRequestsAreCancelledWhenTheCallerDisconnects)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2") + get("id-3"));
    AtTarget first = fixture.accept();
    AtTarget second = fixture.accept();
    AtTarget third = fixture.accept();
    caller.close();
    CHECK_TRUE(first.isCancelled());
    CHECK_TRUE(second.isCancelled());
    CHECK_TRUE(third.isCancelled());
}

// Guards against a disconnect that goes unnoticed because unread requests are before the end of the connection.
TEST(GatewayPipeline, requestIsCancelledWhenTheCallerDisconnectsBehindUnreadRequests)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(post("id-1"));
    AtTarget first = fixture.accept();
    caller.write(post("id-2"));
    caller.close();
    CHECK_TRUE(first.isCancelled());
}

// Guards against a caller that occupies a gateway with requests without end on one connection.
TEST(GatewayPipeline, readingStopsAtTheMaximumOfRequests)
{
    ScriptedTarget one;
    ScriptedTarget other;
    std::promise<std::string> stopped;
    TestGateway gateway({ one.port(), other.port() }, RouteKind::Idempotent);
    gateway.context.forward.events = [&stopped, first = true](Event event,
                                                              std::initializer_list<EventField> fields) mutable {
        if (event == Event::PipelineFull && std::exchange(first, false)) {
            stopped.set_value(fields.begin()->value);
        }
    };
    gateway.start();
    Peer caller = gateway.caller();
    constexpr int Sent = 12;
    std::string requests;
    for (int number = 0; number < Sent; ++number) {
        requests += get("id-" + std::to_string(number));
    }
    caller.write(requests);
    std::vector<Peer> accepted;
    for (std::size_t count = 0; count < PipelineLimits().maxRequests; ++count) {
        accepted.push_back(firstReached(one, other).first->accept());
        accepted.back().readHeader();
    }
    STRCMP_EQUAL("8", stopped.get_future().get().c_str());
    CHECK_FALSE(one.hasConnection());
    CHECK_FALSE(other.hasConnection());
}

// Guards against responses that are mixed or lost while the caller reads slowly.
TEST(GatewayPipeline, slowReaderGetsAllResponsesWhole)
{
    constexpr std::size_t Size = 900'000;
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2"));
    auto [first, second] = fixture.acceptTwo("id-1");
    second.respond(std::string(Size, 'b'));
    first.respond(std::string(Size, 'a'));
    CHECK_TRUE(receive(caller).body == std::string(Size, 'a'));
    CHECK_TRUE(receive(caller).body == std::string(Size, 'b'));
}

TEST(GatewayPipeline, responseTooLargeToBufferIsStreamedAfterThoseBeforeIt)
{
    constexpr std::size_t Size = 100'000;
    Pipeline fixture;
    fixture.gateway.context.forward.limits.maxBufferedResponseBytes = 1'000;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2"));
    auto [first, second] = fixture.acceptTwo("id-1");
    second.respond(std::string(Size, 'b'));
    first.respond("one");
    STRCMP_EQUAL("one", receive(caller).body.c_str());
    CHECK_TRUE(receive(caller).body == std::string(Size, 'b'));
}

// Guards against a request that runs although its caller takes it for unread and sends it again.
TEST(GatewayPipeline, nothingIsForwardedBehindARefusalThatClosesTheConnection)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n")
                 + get("id-2"));
    const std::string all = caller.readToEnd();
    CHECK_TRUE(contains(all, " 400 "));
    CHECK_TRUE(caller.endReason() == asio::error::eof);
    CHECK_FALSE(fixture.target.hasConnection());
    LONGS_EQUAL(1, fixture.refused);
}

TEST(GatewayPipeline, refusalBehindARequestIsDeliveredAfterItsResponse)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(get("id-1") + TestGateway::request("GET", "id-2", "Content-Length: 3\r\nTransfer-Encoding: x\r\n")
                 + get("id-3"));
    AtTarget first = fixture.accept();
    first.respond("one");
    const Received received = receive(caller);
    STRCMP_EQUAL("one", received.body.c_str());
    STRCMP_EQUAL("", field(received.header, "Connection").c_str());
    CHECK_TRUE(contains(caller.readToEnd(), " 400 "));
    CHECK_FALSE(fixture.target.hasConnection());
}

TEST(GatewayPipeline, nothingIsForwardedBehindARequestThatClosesTheConnection)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2", "Connection: close\r\n") + get("id-3"));
    auto [first, second] = fixture.acceptTwo("id-1");
    second.respond("two");
    first.respond("one");
    STRCMP_EQUAL("one", receive(caller).body.c_str());
    const Received last = receive(caller);
    STRCMP_EQUAL("two", last.body.c_str());
    STRCMP_EQUAL("close", field(last.header, "Connection").c_str());
    STRCMP_EQUAL("", caller.readToEnd().c_str());
    CHECK_FALSE(fixture.target.hasConnection());
}

// Guards against targets that work for requests which the caller takes for unread, and against counting these as
// refused.
TEST(GatewayPipeline, requestsBehindAnAbortedResponseAreCancelled)
{
    Pipeline fixture;
    fixture.gateway.context.forward.limits.maxBufferedResponseBytes = 1'000;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2"));
    auto [first, second] = fixture.acceptTwo("id-1");
    first.breakOff();
    caller.readToEnd();
    CHECK_TRUE(caller.endReason() == asio::error::connection_reset);
    CHECK_TRUE(second.isCancelled());
    LONGS_EQUAL(0, fixture.refused);
}

// Guards against losing the response to a request that has run, because the response before it was broken off.
TEST(GatewayPipeline, nothingIsForwardedBehindALargeResponseThatIsBrokenOff)
{
    Pipeline fixture(RouteKind::LargeResponse);
    fixture.gateway.context.forward.limits.maxBufferedResponseBytes = 1'000;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2"));
    AtTarget first = fixture.accept();
    STRCMP_EQUAL("id-1", first.id().c_str());
    first.breakOff();
    caller.readToEnd();
    CHECK_TRUE(caller.endReason() == asio::error::connection_reset);
    CHECK_FALSE(fixture.target.hasConnection());
}

// Guards against the same on a route whose responses aren't known to be large.
TEST(GatewayPipeline, nothingIsForwardedBehindAResponseThatTurnsOutToBeLarge)
{
    Pipeline fixture;
    fixture.gateway.context.forward.limits.maxBufferedResponseBytes = 1'000;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2"));
    auto [first, second] = fixture.acceptTwo("id-1");
    first.begin();
    caller.readHeader();
    caller.write(get("id-3"));
    first.connection.write("more");
    caller.read(BegunBytes + 4);
    first.connection.close();
    caller.readToEnd();
    CHECK_TRUE(second.isCancelled());
    CHECK_FALSE(fixture.target.hasConnection());
}

TEST(GatewayPipeline, requestBehindALargeResponseIsForwardedAfterIt)
{
    Pipeline fixture(RouteKind::LargeResponse);
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2"));
    AtTarget at = fixture.accept();
    at.respond("one");
    STRCMP_EQUAL("one", receive(caller).body.c_str());
    at.header = at.connection.readHeader();
    STRCMP_EQUAL("id-2", at.id().c_str());
    at.respond("two");
    STRCMP_EQUAL("two", receive(caller).body.c_str());
}

// Guards against losing the first response because the target of the second one failed.
TEST(GatewayPipeline, requestWhoseTargetResetsIsReportedInItsTurn)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2"));
    auto [first, second] = fixture.acceptTwo("id-1");
    second.connection.reset();
    first.respond("one");
    STRCMP_EQUAL("one", receive(caller).body.c_str());
    CHECK_TRUE(contains(receive(caller).header, " 502 "));
}

// Guards against a connection that is cut because a target aborted a large response that was kept waiting.
TEST(GatewayPipeline, largeResponseThatItsTargetAbortsWhileItWaitsIsReported)
{
    Pipeline fixture;
    fixture.gateway.context.forward.limits.maxBufferedResponseBytes = 1'000;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2"));
    auto [first, second] = fixture.acceptTwo("id-1");
    second.begin();
    second.connection.reset();
    first.respond("one");
    STRCMP_EQUAL("one", receive(caller).body.c_str());
    CHECK_TRUE(contains(receive(caller).header, " 502 "));
}

// Guards against a drain that cuts the connection while requests of it are in progress.
TEST(GatewayPipeline, drainEndsTheConnectionWithTheLastRequestThatWasRead)
{
    Pipeline fixture;
    Peer caller = fixture.start();
    caller.write(get("id-1") + get("id-2"));
    auto [first, second] = fixture.acceptTwo("id-1");
    const std::uint64_t inFlight = fixture.gateway.callOnWorker([&fixture]() -> std::uint64_t {
        fixture.gateway.context.draining = true;
        return fixture.gateway.context.inFlight;
    });
    UNSIGNED_LONGS_EQUAL(2, inFlight);
    caller.write(get("id-3"));
    first.respond("one");
    const Received one = receive(caller);
    STRCMP_EQUAL("one", one.body.c_str());
    STRCMP_EQUAL("", field(one.header, "Connection").c_str());
    second.respond("two");
    const Received two = receive(caller);
    STRCMP_EQUAL("two", two.body.c_str());
    STRCMP_EQUAL("close", field(two.header, "Connection").c_str());
    CHECK_FALSE(fixture.target.hasConnection());
}
