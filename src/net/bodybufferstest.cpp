// The memory that a gateway takes for the bodies of requests and responses.
#include "gatewaytesthelp.h"

#include <CppUTest/TestHarness.h> // redefines `new`, so it must come last

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

constexpr std::size_t Uncounted = BufferBudget::UncountedBytes;

// Returns the header of a successful response with these framing fields.
std::string responseHeader(const std::string &requestHeader, const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt: " + field(requestHeader, "X-Attempt") + "\r\nX-Signed: yes\r\n" + framing
           + "\r\n";
}

std::string upload(const std::string &id, std::size_t size, const std::string &fields = "")
{
    return TestGateway::request("POST", id, fields + "Content-Length: " + std::to_string(size) + "\r\n");
}

std::size_t heldBytes(TestGateway &gateway, BufferUse use)
{
    return gateway.context.forward.buffers.heldBytes(use);
}

void awaitHeldBytes(TestGateway &gateway, BufferUse use, std::size_t bytes)
{
    const auto until = std::chrono::steady_clock::now() + WaitLimit;
    while (heldBytes(gateway, use) != bytes && std::chrono::steady_clock::now() < until) {
        std::this_thread::yield();
    }
    LONGS_EQUAL(bytes, heldBytes(gateway, use));
}

} // namespace

TEST_GROUP(BodyBuffers)
{
    ScriptedTarget target;
};

// Guards against a gateway that runs out of memory because of responses that don't end.
TEST(BodyBuffers, responseBeyondTheBudgetIsPassedOnAsItArrives)
{
    for (const char *framing : { "Content-Length: 1099511627776\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
        TestGateway gateway({ target.port() }, RouteKind::Idempotent);
        gateway.context.forward.buffers.setTotal(2 * Uncounted);
        gateway.start();
        Peer caller = gateway.caller();
        caller.write(TestGateway::request("GET", "id-1"));
        Peer connection = target.accept();
        connection.write(responseHeader(connection.readHeader(), framing));
        const std::string piece(4 * Uncounted, 'p');
        connection.write(std::string(framing).starts_with("Transfer") ? chunkBytes(piece) : piece);
        CHECK_TRUE(caller.readHeader().starts_with("HTTP/1.1 200"));
        LONGS_EQUAL(3 * Uncounted, caller.read(3 * Uncounted).size());
        awaitHeldBytes(gateway, BufferUse::ResponseBody, 0);
    }
}

// Guards against a target whose responses leave no memory for those of others.
TEST(BodyBuffers, responsesTogetherTakeNoMoreThanHalfForOneService)
{
    constexpr std::size_t Total = 16 * Uncounted;
    constexpr int Requests = 4;
    TestGateway gateway({ target.port() }, RouteKind::LargeResponse);
    gateway.context.forward.buffers.setTotal(Total);
    gateway.start();
    std::vector<Peer> callers;
    std::vector<Peer> connections;
    const std::string piece(8 * Uncounted, 'p');
    for (int number = 0; number < Requests; ++number) {
        callers.push_back(gateway.caller());
        callers.back().write(TestGateway::request("GET", "id-" + std::to_string(number)));
        connections.push_back(target.accept());
        Peer &connection = connections.back();
        connection.write(responseHeader(connection.readHeader(), "Content-Length: 1000000\r\n") + piece);
    }
    const auto until = std::chrono::steady_clock::now() + WaitLimit;
    while (gateway.context.forward.buffers.refusals(BufferUse::ResponseBody) == 0
           && std::chrono::steady_clock::now() < until) {
        std::this_thread::yield();
    }
    CHECK_TRUE(gateway.context.forward.buffers.refusals(BufferUse::ResponseBody) > 0);
    CHECK_TRUE(heldBytes(gateway, BufferUse::ResponseBody) > 0);
    CHECK_TRUE(heldBytes(gateway, BufferUse::ResponseBody) <= Total / 2);
}

TEST(BodyBuffers, responseWithinTheBudgetIsDeliveredWhole)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.context.forward.buffers.setTotal(20 * Uncounted);
    gateway.start();
    Peer caller = gateway.caller();
    for (const char *id : { "id-1", "id-2" }) {
        caller.write(TestGateway::booking(id));
        Peer connection = target.accept();
        const std::string body(9 * Uncounted, 'r');
        connection.write(signedResponse(connection.readHeader(), body, "Connection: close\r\n"));
        CHECK_TRUE(readResponse(caller).ends_with("\r\n\r\n" + body));
        awaitHeldBytes(gateway, BufferUse::ResponseBody, 0);
    }
}

// Guards against a request that is read to its end only to be refused.
TEST(BodyBuffers, requestWithoutRoomForItsBodyIsRefusedBeforeTheBodyArrives)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.context.forward.buffers.setTotal(20 * Uncounted);
    gateway.start();
    Peer first = gateway.caller();
    first.write(upload("id-1", 10 * Uncounted));
    awaitHeldBytes(gateway, BufferUse::RequestBody, 9 * Uncounted);
    Peer second = gateway.caller();
    second.write(upload("id-2", 10 * Uncounted, "Expect: 100-continue\r\n"));
    const std::string response = readResponse(second);
    CHECK_TRUE_TEXT(contains(response, " 503 "), response.c_str());
    CHECK_TRUE_TEXT(contains(response, "buffers-full"), response.c_str());
    CHECK_TRUE_TEXT(contains(response, "\"outcome\":\"not-run\""), response.c_str());
    CHECK_FALSE(field(response, "Retry-After").empty());
    CHECK_FALSE(target.hasConnection());
}

TEST(BodyBuffers, smallRequestIsServedBesideOnesThatTakeAllTheMemory)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.context.forward.buffers.setTotal(2 * Uncounted);
    gateway.start();
    Peer first = gateway.caller();
    first.write(upload("id-1", 2 * Uncounted));
    awaitHeldBytes(gateway, BufferUse::RequestBody, Uncounted);
    Peer second = gateway.caller();
    second.write(upload("id-2", Uncounted) + std::string(Uncounted, 'b'));
    Peer connection = target.accept();
    connection.write(signedResponse(connection.readHeader(), "ran"));
    CHECK_TRUE(readResponse(second).ends_with("ran"));
}

// Guards against a caller without an account whose requests keep those of all others from being read.
TEST(BodyBuffers, callersWithoutAnAccountShareByAddress)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.context.forward.buffers.setTotal(8 * Uncounted);
    gateway.start();
    Peer first = gateway.caller();
    first.write(upload("id-1", 5 * Uncounted));
    awaitHeldBytes(gateway, BufferUse::RequestBody, 4 * Uncounted);
    Peer second = gateway.caller();
    second.write(upload("id-2", 3 * Uncounted));
    CHECK_TRUE(contains(second.readHeader(), " 503 "));
    Peer other = gateway.callerFrom("127.0.0.2");
    other.write(upload("id-3", 3 * Uncounted) + std::string(3 * Uncounted, 'b'));
    Peer connection = target.accept();
    connection.write(signedResponse(connection.readHeader(), "ran"));
    CHECK_TRUE(readResponse(other).ends_with("ran"));
}

TEST(BodyBuffers, requestThatCanNeverBeHeldIsTooLarge)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.context.forward.buffers.setTotal(2 * Uncounted);
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(upload("id-1", 2 * Uncounted + 1));
    CHECK_TRUE(contains(caller.readHeader(), " 413 "));
}

TEST(BodyBuffers, chunkedRequestThatOutgrowsTheBudgetIsRefused)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.context.forward.buffers.setTotal(2 * Uncounted);
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(TestGateway::request("POST", "id-1", "Transfer-Encoding: chunked\r\n"));
    caller.write(chunkBytes(std::string(3 * Uncounted, 'c')));
    CHECK_TRUE(contains(caller.readHeader(), " 413 "));
    CHECK_FALSE(target.hasConnection());
}

// Guards against bodies of finished requests that are held as long as callers read slowly.
TEST(BodyBuffers, requestBodyIsFreedBeforeItsResponseIsDelivered)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.start();
    Peer caller = gateway.slowCaller();
    caller.write(upload("id-1", 4 * Uncounted) + std::string(4 * Uncounted, 'b'));
    Peer connection = target.accept();
    const std::string header = connection.readHeader();
    LONGS_EQUAL(4 * Uncounted, connection.read(4 * Uncounted).size());
    const std::string body(1'000'000, 'r');
    connection.write(signedResponse(header, body));
    awaitHeldBytes(gateway, BufferUse::RequestBody, 0);
    CHECK_TRUE(readResponse(caller).ends_with(body));
}
