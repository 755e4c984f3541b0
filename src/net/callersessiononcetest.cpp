// Repeats under one Idempotency-Key, played on real sockets.
#include <CppUTest/TestHarness.h>

#include "pathtesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

struct Answer {
    std::string header;
    std::string body;
};

Answer readAnswer(Peer &caller)
{
    Answer answer;
    answer.header = caller.readHeader();
    answer.body = caller.read(std::strtoul(field(answer.header, "Content-Length").c_str(), nullptr, 10));
    return answer;
}

std::string keyedPost(const std::string &keyField, const std::string &body, const std::string &fields = "")
{
    return TestProxy::request(
               "POST", "/order", keyField + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n")
           + body;
}

} // namespace

TEST_GROUP(CallerSessionOnce)
{
    ScriptedTarget target;
    std::vector<Route> routes { routeForAll(false) };
    TestProxy proxy { { target.port() }, routes };
    std::string key = proxy.keyField("order-1");

    // Runs one keyed request whose answer is "done".
    void runOnce(const std::string &bytes, std::size_t bodySize)
    {
        Peer caller = proxy.caller();
        caller.write(bytes);
        Peer connection = target.accept();
        const std::string header = connection.readHeader();
        connection.read(bodySize);
        connection.write(answerTo(header, "done", "Location: /order/1\r\n"));
        STRCMP_EQUAL("done", readAnswer(caller).body.c_str());
    }
};

TEST(CallerSessionOnce, GivesTheSameAnswerToARepeat)
{
    runOnce(keyedPost(key, "book"), 4);
    Peer repeat = proxy.caller();
    repeat.write(keyedPost(key, "book"));
    const Answer answer = readAnswer(repeat);
    STRCMP_EQUAL("done", answer.body.c_str());
    STRCMP_EQUAL("1", field(answer.header, "X-Replayed").c_str());
    STRCMP_EQUAL("/order/1", field(answer.header, "Location").c_str());
    CHECK_FALSE(target.hasConnection());
}

// Failure: a second, different order is answered with the first one's answer.
TEST(CallerSessionOnce, TellsAReusedKeyByTheWholeBody)
{
    const std::string body(100'000, 'b');
    runOnce(keyedPost(key, body), body.size());
    Peer other = proxy.caller();
    other.write(keyedPost(key, body.substr(1) + "c"));
    CHECK_TRUE(contains(readAnswer(other).body, "key-reused"));
    Peer repeat = proxy.caller();
    repeat.write(TestProxy::request("POST", "/order", key + "Transfer-Encoding: chunked\r\n") + chunkBytes(body)
                 + chunkBytes({}));
    STRCMP_EQUAL("done", readAnswer(repeat).body.c_str());
}

TEST(CallerSessionOnce, RefusesABodyTooLargeToBeKeptBeforeItIsSent)
{
    Peer caller = proxy.caller();
    caller.write(TestProxy::request("POST", "/order", key + "Expect: 100-continue\r\nContent-Length: 2000000\r\n"));
    const Answer answer = readAnswer(caller);
    CHECK_TRUE(answer.header.starts_with("HTTP/1.1 413"));
    CHECK_TRUE(contains(answer.header, "X-Outcome: not-run\r\n"));
    CHECK_FALSE(target.hasConnection());
}

// Failure: a caller whose connection broke repeats with its key and can never learn what became of its request.
TEST(CallerSessionOnce, FinishesARunWhoseCallerHasGoneAndKeepsItsAnswer)
{
    Peer caller = proxy.caller();
    caller.write(keyedPost(key, "book"));
    Peer connection = target.accept();
    const std::string header = connection.readHeader();
    caller.reset();
    Peer early = proxy.caller();
    early.write(keyedPost(key, "book"));
    CHECK_TRUE(contains(readAnswer(early).body, "repeat-in-progress"));
    connection.read(4);
    connection.write(answerTo(header, "done"));
    Answer answer;
    do {
        Peer repeat = proxy.caller();
        repeat.write(keyedPost(key, "book"));
        answer = readAnswer(repeat);
    } while (contains(answer.body, "repeat-in-progress"));
    STRCMP_EQUAL("done", answer.body.c_str());
    CHECK_FALSE(target.hasConnection());
}

// Failure: two runs of one order.
TEST(CallerSessionOnce, DecidesInOneProcessWhicheverTheRepeatReaches)
{
    TestProxy second({ target.port() }, routes, {}, 2);
    second.members[1] = proxy.address();
    const std::string body(100'000, 'b');
    Peer caller = second.caller();
    caller.write(keyedPost(key, body));
    Peer connection = target.accept();
    const std::string header = connection.readHeader();
    connection.read(body.size());
    connection.write(answerTo(header, "done", "Location: /order/1\r\n"));
    const Answer first = readAnswer(caller);
    STRCMP_EQUAL("done", first.body.c_str());
    STRCMP_EQUAL("/order/1", field(first.header, "Location").c_str());
    Peer repeat = proxy.caller();
    repeat.write(keyedPost(key, body));
    STRCMP_EQUAL("1", field(readAnswer(repeat).header, "X-Replayed").c_str());
    CHECK_FALSE(target.hasConnection());
}

// Failure: one request circles between proxies until its deadline.
TEST(CallerSessionOnce, NeverForwardsWhatWasForwarded)
{
    TestProxy second({ target.port() }, routes, {}, 2);
    proxy.members[3] = second.address();
    second.members[3] = proxy.address();
    Peer caller = proxy.caller();
    caller.write(keyedPost("Idempotency-Key: " + toString(IdempotencyToken { 3, 0 }) + "/order\r\n", "book"));
    CHECK_TRUE(contains(readAnswer(caller).body, "repeat-unknown"));
    LONGS_EQUAL(2, proxy.context.requestNumber + second.context.requestNumber);
}

TEST(CallerSessionOnce, TellsThatTheDecidingProcessIsGone)
{
    Peer caller = proxy.caller();
    caller.write(keyedPost("Idempotency-Key: " + toString(IdempotencyToken { 3, 0 }) + "/order\r\n", "book"));
    const Answer answer = readAnswer(caller);
    CHECK_TRUE(contains(answer.body, "repeat-unknown"));
    CHECK_TRUE(contains(answer.header, "X-Outcome: unknown\r\n"));
    CHECK_FALSE(target.hasConnection());
}

// Failure: every repeat is told that the first is under way, until the key is forgotten.
TEST(CallerSessionOnce, EndsARunThatAnExceptionEnded)
{
    proxy.context.recordLatency = [](Duration, Duration) {
        throw std::runtime_error("out of memory");
    };
    Peer caller = proxy.caller();
    caller.write(keyedPost(key, "book"));
    Peer connection = target.accept();
    connection.write(answerTo(connection.readHeader(), "done"));
    caller.readToEnd();
    Peer repeat = proxy.caller();
    repeat.write(keyedPost(key, "book"));
    CHECK_TRUE(contains(readAnswer(repeat).body, "repeat-unknown"));
}
