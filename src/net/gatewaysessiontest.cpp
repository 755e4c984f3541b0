#include "mulberryplank/net/gatewaysession.h"

#include <CppUTest/TestHarness.h>

#include "gatewaytesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

std::string readWhole(Peer &peer)
{
    const std::string header = peer.readHeader();
    const std::string length = field(header, "Content-Length");
    return header + peer.read(length.empty() ? 0 : std::stoul(length));
}

// A gateway before one target.
struct OneTarget {
    explicit OneTarget(RouteKind kind, Duration timeout = Seconds(20))
        : gateway({ target.port() }, kind, timeout)
    {
    }

    // Begins to serve, and returns a caller's connection.
    Peer start()
    {
        gateway.start();
        return gateway.caller();
    }

    ScriptedTarget target;
    TestGateway gateway;
};

// A gateway before two targets.
struct TwoTargets {
    explicit TwoTargets(RouteKind kind)
        : gateway({ one.port(), other.port() }, kind)
    {
    }

    Peer start()
    {
        gateway.start();
        return gateway.caller();
    }

    ScriptedTarget one;
    ScriptedTarget other;
    TestGateway gateway;
};

} // namespace

TEST_GROUP(GatewaySession) {};

TEST(GatewaySession, requestReachesATargetUnchangedAndItsAnswerTheCaller)
{
    OneTarget served(RouteKind::NonIdempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 3\r\nX-Other: kept\r\nX-Left-Ms: 5000\r\n")
                 + "abc");
    Peer atTarget = served.target.accept();
    const std::string header = atTarget.readHeader();
    CHECK_TRUE(header.starts_with("POST /a/1?q=2 HTTP/1.1\r\n"));
    STRCMP_EQUAL("press.example", field(header, "Host").c_str());
    STRCMP_EQUAL("id-1", field(header, "X-Attempt").c_str());
    STRCMP_EQUAL("kept", field(header, "X-Other").c_str());
    STRCMP_EQUAL("t0", field(header, "X-Expected").c_str());
    CHECK_TRUE(std::stoi(field(header, "X-Left-Ms")) <= 5'000);
    STRCMP_EQUAL("abc", atTarget.read(3).c_str());
    atTarget.write(signedAnswer(header, "done"));
    const std::string answer = readWhole(caller);
    CHECK_TRUE(contains(answer, "200 OK"));
    CHECK_TRUE(contains(answer, "X-Signed: yes"));
    CHECK_TRUE(answer.ends_with("done"));
}

TEST(GatewaySession, chunkedBodyArrivesWholeAtTheTarget)
{
    OneTarget served(RouteKind::NonIdempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Transfer-Encoding: chunked\r\n")
                 + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    Peer atTarget = served.target.accept();
    const std::string header = atTarget.readHeader();
    STRCMP_EQUAL("5", field(header, "Content-Length").c_str());
    STRCMP_EQUAL("abcde", atTarget.read(5).c_str());
}

TEST(GatewaySession, withoutARouteTheAnswerIs404AndNothingIsSent)
{
    OneTarget served(RouteKind::NonIdempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("GET", "id-1", "", "/b/1"));
    CHECK_TRUE(contains(caller.readHeader(), " 404 "));
    CHECK_FALSE(served.target.hasConnection());
}

// Failure: callers are told that a route doesn't exist though it is configured, and give up for good.
TEST(GatewaySession, withoutAConfigurationTheAnswerIs503)
{
    TestGateway gateway({}, RouteKind::NonIdempotent);
    gateway.routes = nullptr;
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(TestGateway::request("GET", "id-1"));
    const std::string header = caller.readHeader();
    CHECK_TRUE(contains(header, " 503 "));
    CHECK_TRUE(std::stod(field(header, "Retry-After")) > 0);
}

TEST(GatewaySession, requestThatWaitedForTheConfigurationIsServedByIt)
{
    OneTarget served(RouteKind::Idempotent);
    served.gateway.routesOnTheirWay = std::exchange(served.gateway.routes, nullptr);
    Peer caller = served.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer atTarget = served.target.accept();
    atTarget.write(signedAnswer(atTarget.readHeader(), "done"));
    CHECK_TRUE(contains(readWhole(caller), "200 OK"));
}

TEST(GatewaySession, idempotentRequestIsSentToAnotherTargetAfterAReset)
{
    TwoTargets served(RouteKind::Idempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("GET", "id-1"));
    const auto [first, second] = firstReached(served.one, served.other);
    Peer atFirst = first->accept();
    atFirst.readHeader();
    atFirst.reset();
    Peer atSecond = second->accept();
    atSecond.write(signedAnswer(atSecond.readHeader(), "ok"));
    CHECK_TRUE(readWhole(caller).ends_with("ok"));
}

// Failure: a booking is made twice.
TEST(GatewaySession, requestThatRunsOnceIsNotSentAgainAfterAReset)
{
    TwoTargets served(RouteKind::NonIdempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    const auto [first, second] = firstReached(served.one, served.other);
    Peer atFirst = first->accept();
    atFirst.readHeader();
    atFirst.reset();
    CHECK_TRUE(contains(caller.readHeader(), " 502 "));
    CHECK_FALSE(second->hasConnection());
}

TEST(GatewaySession, requestThatRunsOnceIsSentAgainAfterARefusal)
{
    TwoTargets served(RouteKind::NonIdempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    const auto [first, second] = firstReached(served.one, served.other);
    Peer atFirst = first->accept();
    atFirst.readHeader();
    atFirst.write("HTTP/1.1 503 Full\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n");
    Peer atSecond = second->accept();
    atSecond.write(signedAnswer(atSecond.readHeader(), "ok"));
    CHECK_TRUE(readWhole(caller).ends_with("ok"));
}

// Failure: a caller is told "not run" and repeats a booking that has run.
TEST(GatewaySession, targetsOwn503IsNotPassedOnAsAPromise)
{
    OneTarget served(RouteKind::NonIdempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer atTarget = served.target.accept();
    atTarget.readHeader();
    atTarget.write("HTTP/1.1 503 Oops\r\nX-Attempt: id-1\r\nContent-Length: 0\r\n\r\n");
    CHECK_TRUE(contains(caller.readHeader(), " 502 "));
}

TEST(GatewaySession, targetsOwnErrorIsPassedOnAsItIs)
{
    OneTarget served(RouteKind::NonIdempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer atTarget = served.target.accept();
    atTarget.readHeader();
    atTarget.write("HTTP/1.1 500 Oops\r\nX-Attempt: id-1\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nno");
    const std::string answer = readWhole(caller);
    CHECK_TRUE(contains(answer, " 500 "));
    CHECK_TRUE(contains(answer, "X-Signed: s"));
}

TEST(GatewaySession, successWithoutASignatureIsNone)
{
    OneTarget served(RouteKind::NonIdempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer atTarget = served.target.accept();
    atTarget.readHeader();
    atTarget.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(contains(caller.readHeader(), " 502 "));
}

// Failure: a caller gets the answer to another caller's request.
TEST(GatewaySession, lateAnswerToAnEarlierRequestIsDropped)
{
    OneTarget served(RouteKind::NonIdempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer atTarget = served.target.accept();
    const std::string firstHeader = atTarget.readHeader();
    atTarget.write(signedAnswer(firstHeader, "first"));
    CHECK_TRUE(readWhole(caller).ends_with("first"));
    caller.write(TestGateway::request("POST", "id-2", "Content-Length: 0\r\n"));
    const std::string secondHeader = atTarget.readHeader();
    atTarget.write(signedAnswer(firstHeader, "again"));
    atTarget.write(signedAnswer(secondHeader, "second"));
    CHECK_TRUE(readWhole(caller).ends_with("second"));
}

TEST(GatewaySession, answerCutShortIsAskedForAgainWhereThatIsAllowed)
{
    TwoTargets served(RouteKind::LargeResponse);
    Peer caller = served.start();
    caller.write(TestGateway::request("GET", "id-1"));
    const auto [first, second] = firstReached(served.one, served.other);
    Peer atFirst = first->accept();
    atFirst.readHeader();
    atFirst.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Signed: s\r\nContent-Length: 10\r\n\r\nhalf");
    atFirst.close();
    Peer atSecond = second->accept();
    atSecond.write(signedAnswer(atSecond.readHeader(), "whole"));
    CHECK_TRUE(readWhole(caller).ends_with("whole"));
}

TEST(GatewaySession, answerWithoutALengthEndsWithItsConnection)
{
    OneTarget served(RouteKind::Idempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer atTarget = served.target.accept();
    atTarget.readHeader();
    atTarget.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Signed: s\r\n\r\nto the end");
    atTarget.close();
    CHECK_TRUE(readWhole(caller).ends_with("to the end"));
}

TEST(GatewaySession, answerTooLargeToBeHeldIsPassedOnAsItComes)
{
    OneTarget served(RouteKind::LargeResponse);
    served.gateway.context.forward.limits.wholeAnswerBytes = 1'000;
    Peer caller = served.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer atTarget = served.target.accept();
    const std::string body(100'000, 'x');
    atTarget.write(signedAnswer(atTarget.readHeader(), body));
    const std::string answer = readWhole(caller);
    CHECK_TRUE(answer.ends_with(body));
}

// Failure: a caller takes the beginning of a target's error for all of it.
TEST(GatewaySession, targetsErrorTooLargeToBeHeldIsPassedOnWhole)
{
    OneTarget served(RouteKind::NonIdempotent);
    served.gateway.context.forward.limits.wholeAnswerBytes = 1'000;
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer atTarget = served.target.accept();
    const std::string body(100'000, 'x');
    atTarget.readHeader();
    atTarget.write("HTTP/1.1 500 Oops\r\nX-Attempt: id-1\r\nX-Signed: s\r\nContent-Length: 100000\r\n\r\n" + body);
    const std::string answer = readWhole(caller);
    CHECK_TRUE(contains(answer, " 500 "));
    CHECK_TRUE(answer.ends_with(body));
}

// Failure: a caller takes half a download for the whole.
TEST(GatewaySession, largeAnswerThatBreaksResetsTheCallersConnection)
{
    OneTarget served(RouteKind::LargeResponse);
    served.gateway.context.forward.limits.wholeAnswerBytes = 1'000;
    Peer caller = served.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer atTarget = served.target.accept();
    atTarget.readHeader();
    atTarget.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Signed: s\r\nContent-Length: 100000\r\n\r\n"
                   + std::string(50'000, 'x'));
    atTarget.close();
    caller.readToEnd();
    CHECK_TRUE(caller.ended() == asio::error::connection_reset);
}

// Failure: targets go on working for callers that have left.
TEST(GatewaySession, targetsConnectionIsClosedWhenTheCallerLeaves)
{
    OneTarget served(RouteKind::NonIdempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer atTarget = served.target.accept();
    atTarget.readHeader();
    caller.close();
    atTarget.readToEnd();
    CHECK_TRUE(atTarget.ended() == asio::error::eof || atTarget.ended() == asio::error::connection_reset);
}

TEST(GatewaySession, drainingProcessEndsConnectionsAfterTheirAnswers)
{
    OneTarget served(RouteKind::NonIdempotent);
    served.gateway.context.draining = true;
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer atTarget = served.target.accept();
    atTarget.write(signedAnswer(atTarget.readHeader(), "ok"));
    STRCMP_EQUAL("close", field(readWhole(caller), "Connection").c_str());
}

TEST(GatewaySession, closingProcessRefusesWithoutSendingAnything)
{
    OneTarget served(RouteKind::NonIdempotent);
    served.gateway.context.draining = true;
    served.gateway.context.closing = true;
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    CHECK_TRUE(contains(caller.readHeader(), " 503 "));
    CHECK_FALSE(served.target.hasConnection());
}

TEST(GatewaySession, requestSmugglingIsRefused)
{
    OneTarget served(RouteKind::NonIdempotent);
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n")
                 + "0\r\n\r\n");
    CHECK_TRUE(contains(caller.readHeader(), " 400 "));
    CHECK_FALSE(served.target.hasConnection());
}

TEST(GatewaySession, routesTimeoutEndsARequestThatMayHaveRunWith504)
{
    OneTarget served(RouteKind::NonIdempotent, Millis(60));
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer atTarget = served.target.accept();
    atTarget.readHeader();
    CHECK_TRUE(contains(caller.readHeader(), " 504 "));
}

// Failure: the log says of a target that was silent that it began an answer with status 200.
TEST(GatewaySession, silentTargetIsLoggedWithoutAStatus)
{
    OneTarget served(RouteKind::NonIdempotent, Millis(60));
    std::string status;
    served.gateway.context.forward.events = [&status](Event event, std::initializer_list<EventField> fields) {
        for (const EventField &field : fields) {
            if (event == Event::AttemptFailed && field.key == "status") {
                status = field.value;
            }
        }
    };
    Peer caller = served.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer atTarget = served.target.accept();
    atTarget.readHeader();
    CHECK_TRUE(contains(caller.readHeader(), " 504 "));
    STRCMP_EQUAL("0", status.c_str());
}

TEST(GatewaySession, targetThatRefusesConnectionsCostsNothing)
{
    ScriptedTarget refusing;
    ScriptedTarget other;
    TestGateway gateway({ refusing.port(), other.port() }, RouteKind::NonIdempotent);
    refusing.close();
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer atOther = other.accept();
    atOther.write(signedAnswer(atOther.readHeader(), "ok"));
    CHECK_TRUE(readWhole(caller).ends_with("ok"));
}
