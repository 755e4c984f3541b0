// Requests that outlast the process that serves them.
#include "gatewaytesthelp.h"

#include <CppUTest/TestHarness.h> // redefines `new`, so it must come last

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

// Does what a process does that ends although requests are in progress.
void endProcess(TestGateway &gateway)
{
    gateway.callOnWorker([&gateway] {
        gateway.context.draining = true;
        gateway.context.forward.closing = true;
        gateway.worker.running.endAll();
    });
}

} // namespace

TEST_GROUP(RunningRequests)
{
    ScriptedTarget target;
};

// Guards against a connection that ends without a response, or with a reset that a caller takes for a request that
// wasn't read, when a process ends.
TEST(RunningRequests, requestThatOutlastsTheProcessGetsAResponseBeforeUnreadInput)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(TestGateway::booking("id-1"));
    Peer connection = target.accept();
    connection.readHeader();
    caller.write(TestGateway::booking("id-2") + TestGateway::booking("id-3"));
    endProcess(gateway);
    const std::string response = readResponse(caller);
    CHECK_TRUE_TEXT(contains(response, " 504 "), response.c_str());
    CHECK_TRUE_TEXT(contains(response, "\"outcome\":\"unknown\""), response.c_str());
    connection.readToEnd();
    CHECK_TRUE(connection.endReason() != asio::error::timed_out);
    const std::string rest = caller.readToEnd();
    CHECK_FALSE(contains(rest, " 200 "));
    CHECK_TRUE(caller.endReason() == asio::error::eof);
    CHECK_FALSE(target.hasConnection());
}

// Guards against evidence of a fault that the target doesn't have.
TEST(RunningRequests, requestThatOutlastsTheProcessIsNoEvidenceAgainstItsTarget)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    bool failed = false;
    gateway.context.forward.events = [&failed](Event event, std::initializer_list<EventField>) {
        failed = failed || event == Event::AttemptFailed;
    };
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(TestGateway::booking("id-1"));
    Peer connection = target.accept();
    connection.readHeader();
    endProcess(gateway);
    readResponse(caller);
    CHECK_FALSE(failed);
}

// Guards against a request that is sent so late that its target's response may not arrive before the process ends.
TEST(RunningRequests, requestThatWaitedUntilTheProcessClosesIsNotSent)
{
    TestGateway gateway({ target.port() }, RouteKind::Idempotent);
    gateway.context.ensureTargets = [&gateway]() -> DataAwaitable<bool> {
        gateway.context.forward.closing = true;
        co_return true;
    };
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(TestGateway::request("GET", "id-1"));
    const std::string response = readResponse(caller);
    CHECK_TRUE_TEXT(contains(response, " 503 "), response.c_str());
    CHECK_TRUE_TEXT(contains(response, "\"outcome\":\"not-run\""), response.c_str());
    CHECK_TRUE_TEXT(contains(response, "draining"), response.c_str());
    CHECK_FALSE(target.hasConnection());
}

TEST_GROUP(ClosingProcess)
{
    ScriptedTarget target;
    ScriptedTarget other;

    // Sends a request that its first target turns away once the process accepts no more, and returns its caller.
    Peer turnAway(TestGateway & gateway, const std::string &request)
    {
        gateway.start();
        Peer caller = gateway.caller();
        caller.write(request);
        const auto [first, second] = firstReached(target, other);
        unreached = second;
        Peer connection = first->accept();
        const std::string id = field(connection.readHeader(), "X-Attempt");
        gateway.callOnWorker([&gateway] {
            gateway.context.forward.closing = true;
        });
        connection.write("HTTP/1.1 503 Busy\r\nX-Attempt: " + id + "\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n");
        return caller;
    }

    ScriptedTarget *unreached = nullptr;
};

// Guards against a further attempt of a request that may not be repeated, and is cut off when the process ends.
TEST(ClosingProcess, requestThatIsNotIdempotentIsNotSentToAnotherTarget)
{
    TestGateway gateway({ target.port(), other.port() }, RouteKind::NonIdempotent);
    Peer caller = turnAway(gateway, TestGateway::booking("id-1"));
    const std::string response = readResponse(caller);
    CHECK_TRUE_TEXT(contains(response, " 503 "), response.c_str());
    CHECK_TRUE_TEXT(contains(response, "\"outcome\":\"not-run\""), response.c_str());
    CHECK_FALSE(unreached->hasConnection());
    LONGS_EQUAL(0, gateway.context.forward.counters.attemptsWhileClosing);
}

TEST(ClosingProcess, idempotentRequestIsSentToAnotherTarget)
{
    TestGateway gateway({ target.port(), other.port() }, RouteKind::Idempotent);
    Peer caller = turnAway(gateway, TestGateway::request("GET", "id-1"));
    Peer connection = unreached->accept();
    connection.write(signedResponse(connection.readHeader(), "whole"));
    CHECK_TRUE(readResponse(caller).ends_with("whole"));
    LONGS_EQUAL(1, gateway.context.forward.counters.attemptsWhileClosing);
}
