// Callers that send no more while their request is in progress.
#include "gatewaytesthelp.h"

#include <CppUTest/TestHarness.h> // redefines `new`, so it must come last

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

// Sends a booking and returns the target's connection once it has arrived there.
Peer sendBooking(Peer &caller, ScriptedTarget &target)
{
    caller.write(TestGateway::booking("id-1"));
    Peer connection = target.accept();
    connection.readHeader();
    return connection;
}

// Checks that the caller gets the response to a request that may have run, and an orderly end of the connection.
void checkToldOfUnknownOutcome(Peer &caller)
{
    const std::string response = readResponse(caller);
    CHECK_TRUE_TEXT(contains(response, " 499 "), response.c_str());
    CHECK_TRUE_TEXT(contains(response, "\"outcome\":\"unknown\""), response.c_str());
    STRCMP_EQUAL("", caller.readToEnd().c_str());
    CHECK_TRUE(caller.endReason() == asio::error::eof);
}

} // namespace

TEST_GROUP(EndedCaller)
{
    ScriptedTarget target;
};

// Guards against a reset that a caller takes for a request that wasn't read, and repeats.
TEST(EndedCaller, getsAResponseToARequestThatMayHaveRun)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.start();
    Peer caller = gateway.caller();
    const Peer connection = sendBooking(caller, target);
    caller.shutdownSend();
    checkToldOfUnknownOutcome(caller);
}

// Guards against the same, caused by further input that wasn't read.
TEST(EndedCaller, getsAResponseBeforeUnreadInput)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.start();
    Peer caller = gateway.caller();
    const Peer connection = sendBooking(caller, target);
    caller.write(TestGateway::booking("id-2") + TestGateway::booking("id-3"));
    caller.shutdownSend();
    checkToldOfUnknownOutcome(caller);
    CHECK_FALSE(target.hasConnection());
}

// Guards against running a request for a caller that has left before it could be sent.
TEST(EndedCaller, getsAResponseToARequestThatWasNotSent)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.start();
    Peer caller = gateway.caller();
    gateway.callOnWorker([&caller] {
        caller.write(TestGateway::booking("id-1"));
        caller.shutdownSend();
    });
    const std::string response = readResponse(caller);
    CHECK_TRUE_TEXT(contains(response, " 499 "), response.c_str());
    CHECK_TRUE_TEXT(contains(response, "\"outcome\":\"not-run\""), response.c_str());
    CHECK_FALSE(target.hasConnection());
}

TEST(EndedCaller, isLogged)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    std::string state;
    gateway.context.forward.events = [&state](Event event, std::initializer_list<EventField> fields) {
        for (const EventField &field : fields) {
            if (event == Event::RequestEnded && field.key == "caller") {
                state = field.value;
            }
        }
    };
    gateway.start();
    Peer caller = gateway.caller();
    const Peer connection = sendBooking(caller, target);
    caller.shutdownSend();
    caller.readToEnd();
    STRCMP_EQUAL("ended", state.c_str());
}
