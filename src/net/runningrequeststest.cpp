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
        gateway.context.closing = true;
        gateway.context.forward.running.endAll();
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
