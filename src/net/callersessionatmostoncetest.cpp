// Repeated requests with one Idempotency-Key, over loopback sockets.
#include <CppUTest/TestHarness.h>

#include "pathtesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

struct Response {
    std::string header;
    std::string body;
};

Response readResponse(Peer &caller)
{
    Response response;
    response.header = caller.readHeader();
    response.body = caller.read(std::strtoul(field(response.header, "Content-Length").c_str(), nullptr, 10));
    return response;
}

std::string keyedPost(const std::string &keyField, const std::string &body, const std::string &fields = "")
{
    return TestProxy::request(
               "POST", "/order", keyField + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n")
           + body;
}

} // namespace

TEST_GROUP(CallerSessionAtMostOnce)
{
    ScriptedTarget target;
    std::vector<Route> routes { routeForAll(false) };
    TestProxy proxy { { target.port() }, routes };
    std::string key = proxy.keyField("order-1");

    // Runs one keyed request to which the target responds with "done".
    void runKeyedRequest(const std::string &bytes, std::size_t bodySize)
    {
        Peer caller = proxy.caller();
        caller.write(bytes);
        Peer connection = target.accept();
        const std::string header = connection.readHeader();
        connection.read(bodySize);
        connection.write(responseTo(header, "done", "Location: /order/1\r\n"));
        STRCMP_EQUAL("done", readResponse(caller).body.c_str());
    }
};

TEST(CallerSessionAtMostOnce, ReplaysTheResponseToARepeat)
{
    runKeyedRequest(keyedPost(key, "book"), 4);
    Peer repeat = proxy.caller();
    repeat.write(keyedPost(key, "book"));
    const Response response = readResponse(repeat);
    STRCMP_EQUAL("done", response.body.c_str());
    STRCMP_EQUAL("1", field(response.header, "X-Replayed").c_str());
    STRCMP_EQUAL("/order/1", field(response.header, "Location").c_str());
    CHECK_FALSE(target.hasConnection());
}

// Guards against replaying the response of one order to a different order with the same key.
TEST(CallerSessionAtMostOnce, DetectsAReusedKeyByTheWholeBody)
{
    const std::string body(100'000, 'b');
    runKeyedRequest(keyedPost(key, body), body.size());
    Peer other = proxy.caller();
    other.write(keyedPost(key, body.substr(1) + "c"));
    CHECK_TRUE(contains(readResponse(other).body, "key-reused"));
    Peer repeat = proxy.caller();
    repeat.write(TestProxy::request("POST", "/order", key + "Transfer-Encoding: chunked\r\n") + chunkBytes(body)
                 + chunkBytes({}));
    STRCMP_EQUAL("done", readResponse(repeat).body.c_str());
}

// Guards against a process that runs out of memory because of requests whose bodies don't end.
TEST(CallerSessionAtMostOnce, RejectsABodyThatTheBudgetForBuffersHasNoRoomFor)
{
    proxy.context.buffers.setTotal(100'000);
    Peer first = proxy.caller();
    first.write(TestProxy::request("POST", "/order", key + "Content-Length: 65000\r\n") + std::string(64'000, 'b'));
    const auto until = std::chrono::steady_clock::now() + WaitLimit;
    while (proxy.context.buffers.heldBytes(BufferUse::RequestBody) < 40'000) {
        CHECK_TRUE(std::chrono::steady_clock::now() < until);
        std::this_thread::yield();
    }
    Peer second = proxy.caller();
    second.write(TestProxy::request("POST", "/order", proxy.keyField("order-2") + "Content-Length: 65000\r\n")
                 + std::string(64'000, 'b'));
    const Response response = readResponse(second);
    CHECK_TRUE_TEXT(contains(response.body, "buffers-full"), response.body.c_str());
    CHECK_TRUE_TEXT(contains(response.header, "X-Outcome: not-run\r\n"), response.header.c_str());
    CHECK_FALSE(target.hasConnection());
}

TEST(CallerSessionAtMostOnce, RejectsATooLargeKeyedBodyBeforeItIsSent)
{
    Peer caller = proxy.caller();
    caller.write(TestProxy::request("POST", "/order", key + "Expect: 100-continue\r\nContent-Length: 2000000\r\n"));
    const Response response = readResponse(caller);
    CHECK_TRUE(response.header.starts_with("HTTP/1.1 413"));
    CHECK_TRUE(contains(response.header, "X-Outcome: not-run\r\n"));
    CHECK_FALSE(target.hasConnection());
}

// Guards against an unknown outcome: a caller whose connection broke repeats with its key and can never learn the
// outcome of its request.
TEST(CallerSessionAtMostOnce, FinishesARunAfterTheCallerDisconnectsAndStoresItsResponse)
{
    Peer caller = proxy.caller();
    caller.write(keyedPost(key, "book"));
    Peer connection = target.accept();
    const std::string header = connection.readHeader();
    caller.reset();
    Peer early = proxy.caller();
    early.write(keyedPost(key, "book"));
    CHECK_TRUE(contains(readResponse(early).body, "repeat-in-progress"));
    connection.read(4);
    connection.write(responseTo(header, "done"));
    Response response;
    do {
        Peer repeat = proxy.caller();
        repeat.write(keyedPost(key, "book"));
        response = readResponse(repeat);
    } while (contains(response.body, "repeat-in-progress"));
    STRCMP_EQUAL("done", response.body.c_str());
    CHECK_FALSE(target.hasConnection());
}

// Guards against running one order twice when the repeat reaches another process.
TEST(CallerSessionAtMostOnce, ForwardsRequestsToTheProcessThatDecidesOnTheKey)
{
    TestProxy second({ target.port() }, routes, {}, 2);
    second.members[1] = proxy.address();
    const std::string body(100'000, 'b');
    Peer caller = second.caller();
    caller.write(keyedPost(key, body));
    Peer connection = target.accept();
    const std::string header = connection.readHeader();
    connection.read(body.size());
    connection.write(responseTo(header, "done", "Location: /order/1\r\n"));
    const Response first = readResponse(caller);
    STRCMP_EQUAL("done", first.body.c_str());
    STRCMP_EQUAL("/order/1", field(first.header, "Location").c_str());
    Peer repeat = proxy.caller();
    repeat.write(keyedPost(key, body));
    STRCMP_EQUAL("1", field(readResponse(repeat).header, "X-Replayed").c_str());
    CHECK_FALSE(target.hasConnection());
}

// Guards against a forwarding loop: two proxies forward one request to each other until its deadline.
TEST(CallerSessionAtMostOnce, NeverForwardsAForwardedRequest)
{
    TestProxy second({ target.port() }, routes, {}, 2);
    proxy.members[3] = second.address();
    second.members[3] = proxy.address();
    Peer caller = proxy.caller();
    caller.write(keyedPost("Idempotency-Key: " + toString(IdempotencyToken { 3, 0 }) + "/order\r\n", "book"));
    CHECK_TRUE(contains(readResponse(caller).body, "repeat-unknown"));
    LONGS_EQUAL(2, proxy.context.requestNumber + second.context.requestNumber);
}

TEST(CallerSessionAtMostOnce, RespondsRepeatUnknownWhenTheDecidingProcessHasLeft)
{
    Peer caller = proxy.caller();
    caller.write(keyedPost("Idempotency-Key: " + toString(IdempotencyToken { 3, 0 }) + "/order\r\n", "book"));
    const Response response = readResponse(caller);
    CHECK_TRUE(contains(response.body, "repeat-unknown"));
    CHECK_TRUE(contains(response.header, "X-Outcome: unknown\r\n"));
    CHECK_FALSE(target.hasConnection());
}

// Guards against a key that stays in progress after an exception, so that every repeat is rejected with
// repeat-in-progress until the key expires.
TEST(CallerSessionAtMostOnce, FinishesARunThatThrows)
{
    proxy.context.recordLatency = [](Duration, Duration) {
        throw std::runtime_error("out of memory");
    };
    Peer caller = proxy.caller();
    caller.write(keyedPost(key, "book"));
    Peer connection = target.accept();
    connection.write(responseTo(connection.readHeader(), "done"));
    caller.readToEnd();
    Peer repeat = proxy.caller();
    repeat.write(keyedPost(key, "book"));
    CHECK_TRUE(contains(readResponse(repeat).body, "repeat-unknown"));
}
