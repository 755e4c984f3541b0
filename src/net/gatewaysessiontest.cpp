#include "mulberryplank/net/gatewaysession.h"

#include <CppUTest/TestHarness.h>

#include "gatewaytesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

// A gateway with one target.
struct OneTarget {
    explicit OneTarget(RouteKind kind, Duration timeout = Seconds(20))
        : gateway({ target.port() }, kind, timeout)
    {
    }

    // Starts serving and returns a caller's connection.
    Peer start()
    {
        gateway.start();
        return gateway.caller();
    }

    // Serves a request of the caller.
    void serve(Peer &caller, const std::string &id, const std::string &body)
    {
        caller.write(TestGateway::request("POST", id, "Content-Length: 0\r\n"));
        Peer connection = target.accept();
        connection.write(signedResponse(connection.readHeader(), body));
        readResponse(caller);
        awaitIdle();
    }

    // Waits until no request is in progress any longer.
    void awaitIdle()
    {
        while (gateway.callOnWorker([this] {
            return gateway.context.inFlight > 0;
        })) {
        }
    }

    // Does what a process that is about to end does to the connections without a request.
    void endIdleConnections()
    {
        gateway.callOnWorker([this] {
            gateway.context.draining = true;
            gateway.context.forward.closing = true;
            gateway.worker.idleCallers.endDelivered();
        });
    }

    ScriptedTarget target;
    TestGateway gateway;
};

// A gateway with two targets.
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

    // Resets the connection of a request's first attempt. Returns the target that has no attempt yet.
    ScriptedTarget &resetFirstAttempt()
    {
        const auto [first, second] = firstReached(one, other);
        Peer connection = first->accept();
        connection.readHeader();
        connection.reset();
        return *second;
    }

    ScriptedTarget one;
    ScriptedTarget other;
    TestGateway gateway;
};

} // namespace

TEST_GROUP(GatewaySession) {};

TEST(GatewaySession, requestAndResponseAreForwardedUnchanged)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 3\r\nX-Other: kept\r\nX-Left-Ms: 5000\r\n")
                 + "abc");
    Peer targetConnection = fixture.target.accept();
    const std::string header = targetConnection.readHeader();
    CHECK_TRUE(header.starts_with("POST /a/1?q=2 HTTP/1.1\r\n"));
    STRCMP_EQUAL("press.example", field(header, "Host").c_str());
    STRCMP_EQUAL("id-1", field(header, "X-Attempt").c_str());
    STRCMP_EQUAL("kept", field(header, "X-Other").c_str());
    STRCMP_EQUAL("t0", field(header, "X-Expected").c_str());
    CHECK_TRUE(std::stoi(field(header, "X-Left-Ms")) <= 5'000);
    STRCMP_EQUAL("abc", targetConnection.read(3).c_str());
    targetConnection.write(signedResponse(header, "done"));
    const std::string response = readResponse(caller);
    CHECK_TRUE(contains(response, "200 OK"));
    CHECK_TRUE(contains(response, "X-Signed: yes"));
    CHECK_TRUE(response.ends_with("done"));
}

TEST(GatewaySession, chunkedBodyIsForwardedWithAContentLength)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Transfer-Encoding: chunked\r\n")
                 + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    Peer targetConnection = fixture.target.accept();
    const std::string header = targetConnection.readHeader();
    STRCMP_EQUAL("5", field(header, "Content-Length").c_str());
    STRCMP_EQUAL("abcde", targetConnection.read(5).c_str());
}

TEST(GatewaySession, requestWithoutARouteGets404AndIsNotForwarded)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1", "", "/b/1"));
    CHECK_TRUE(contains(caller.readHeader(), " 404 "));
    CHECK_FALSE(fixture.target.hasConnection());
}

// Guards against a 404 for a configured route before the configuration has arrived: callers don't retry after a 404.
TEST(GatewaySession, requestWithoutAConfigurationGets503)
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

TEST(GatewaySession, requestWaitsForTheFirstConfiguration)
{
    OneTarget fixture(RouteKind::Idempotent);
    fixture.gateway.pendingRoutes = std::exchange(fixture.gateway.routes, nullptr);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.write(signedResponse(targetConnection.readHeader(), "done"));
    CHECK_TRUE(contains(readResponse(caller), "200 OK"));
}

TEST(GatewaySession, idempotentRequestIsRetriedAtAnotherTargetAfterAReset)
{
    TwoTargets fixture(RouteKind::Idempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer secondConnection = fixture.resetFirstAttempt().accept();
    secondConnection.write(signedResponse(secondConnection.readHeader(), "ok"));
    CHECK_TRUE(readResponse(caller).ends_with("ok"));
}

// Guards against a request that fails for lack of budget while other gateways have some to lend.
TEST(GatewaySession, retryWaitsForALoanOfBudget)
{
    TwoTargets fixture(RouteKind::Idempotent);
    TestGateway &gateway = fixture.gateway;
    gateway.service.budget.setFixedAllowance(0);
    gateway.context.forward.requestBudget = [&gateway](const ServiceName &) {
        boost::asio::post(gateway.worker.context, [&gateway] {
            gateway.service.budget.borrow(Clock::now() + LoanLifetime);
        });
        return true;
    };
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer secondConnection = fixture.resetFirstAttempt().accept();
    secondConnection.write(signedResponse(secondConnection.readHeader(), "ok"));
    CHECK_TRUE(readResponse(caller).ends_with("ok"));
}

TEST(GatewaySession, requestFailsWhenNoLoanOfBudgetArrives)
{
    for (const bool mayArrive : { false, true }) {
        TwoTargets fixture(RouteKind::Idempotent);
        fixture.gateway.service.budget.setFixedAllowance(0);
        fixture.gateway.context.forward.requestBudget = [mayArrive](const ServiceName &) {
            return mayArrive;
        };
        Peer caller = fixture.start();
        caller.write(TestGateway::request("GET", "id-1"));
        ScriptedTarget &second = fixture.resetFirstAttempt();
        CHECK_TRUE(readResponse(caller).starts_with("HTTP/1.1 502"));
        CHECK_FALSE(second.hasConnection());
    }
}

// Guards against making a booking twice.
TEST(GatewaySession, nonIdempotentRequestIsNotRetriedAfterAReset)
{
    TwoTargets fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    const auto [first, second] = firstReached(fixture.one, fixture.other);
    Peer firstConnection = first->accept();
    firstConnection.readHeader();
    firstConnection.reset();
    CHECK_TRUE(contains(caller.readHeader(), " 502 "));
    CHECK_FALSE(second->hasConnection());
}

TEST(GatewaySession, nonIdempotentRequestIsRetriedAfterARefusal)
{
    TwoTargets fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    const auto [first, second] = firstReached(fixture.one, fixture.other);
    Peer firstConnection = first->accept();
    firstConnection.readHeader();
    firstConnection.write("HTTP/1.1 503 Full\r\nX-Attempt: id-1\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n");
    Peer secondConnection = second->accept();
    secondConnection.write(signedResponse(secondConnection.readHeader(), "ok"));
    CHECK_TRUE(readResponse(caller).ends_with("ok"));
}

// Guards against requests that wait, or reach a target in need, although no target takes them at the moment.
TEST(GatewaySession, requestBeyondTheRateLimitOfTheOnlyTargetIsRefusedAtOnce)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.write(signedResponse(targetConnection.readHeader(), "done", "X-Rate-Limit: 0.05\r\n"));
    CHECK_TRUE(contains(readResponse(caller), "200 OK"));
    caller.write(TestGateway::request("GET", "id-2"));
    const std::string header = caller.readHeader();
    CHECK_TRUE(contains(header, " 503 "));
    CHECK_TRUE(std::stod(field(header, "Retry-After")) > 0);
    CHECK_FALSE(fixture.target.hasConnection());
}

// Guards against requests at a target that has asked for rest.
TEST(GatewaySession, requestIsRefusedAtOnceWhileTheOnlyTargetRests)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.readHeader();
    targetConnection.write("HTTP/1.1 503 Full\r\nX-Attempt: id-1\r\nX-Refused: 1\r\nX-Rest-Ms: 3000\r\n"
                           "Content-Length: 0\r\n\r\n");
    const std::string first = readResponse(caller);
    CHECK_TRUE(contains(first, " 503 "));
    CHECK_TRUE(std::stod(field(first, "Retry-After")) > 2.9);
    caller.write(TestGateway::request("GET", "id-2"));
    const std::string second = caller.readHeader();
    CHECK_TRUE(contains(second, " 503 "));
    CHECK_TRUE(std::stod(field(second, "Retry-After")) > 2.9);
    CHECK_FALSE(fixture.target.hasConnection());
}

// Guards against requests at a target that has said in a response that it leaves, which the list tells only later.
TEST(GatewaySession, targetThatSaysThatItLeavesGetsNoNewRequests)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.write(signedResponse(targetConnection.readHeader(), "done", "X-Leaving: 1\r\n"));
    CHECK_TRUE(contains(readResponse(caller), "200 OK"));
    caller.write(TestGateway::request("GET", "id-2"));
    CHECK_TRUE(contains(caller.readHeader(), " 503 "));
    CHECK_FALSE(fixture.target.hasConnection());
}

// Guards against reporting "not run" for a booking that has run, which the caller then repeats.
TEST(GatewaySession, targetsOwn503DoesNotReachTheCallerAsNotRun)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.readHeader();
    targetConnection.write("HTTP/1.1 503 Oops\r\nX-Attempt: id-1\r\nContent-Length: 0\r\n\r\n");
    CHECK_TRUE(contains(caller.readHeader(), " 502 "));
}

TEST(GatewaySession, targetsOwnErrorIsForwardedUnchanged)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.readHeader();
    targetConnection.write("HTTP/1.1 500 Oops\r\nX-Attempt: id-1\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nno");
    const std::string response = readResponse(caller);
    CHECK_TRUE(contains(response, " 500 "));
    CHECK_TRUE(contains(response, "X-Signed: s"));
}

TEST(GatewaySession, successWithoutASignatureBecomes502)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.readHeader();
    targetConnection.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(contains(caller.readHeader(), " 502 "));
}

// Guards against delivering the response to an earlier request, which may be another caller's.
TEST(GatewaySession, lateResponseToAnEarlierRequestIsDropped)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer targetConnection = fixture.target.accept();
    const std::string firstHeader = targetConnection.readHeader();
    targetConnection.write(signedResponse(firstHeader, "first"));
    CHECK_TRUE(readResponse(caller).ends_with("first"));
    caller.write(TestGateway::request("POST", "id-2", "Content-Length: 0\r\n"));
    const std::string secondHeader = targetConnection.readHeader();
    targetConnection.write(signedResponse(firstHeader, "again"));
    targetConnection.write(signedResponse(secondHeader, "second"));
    CHECK_TRUE(readResponse(caller).ends_with("second"));
}

TEST(GatewaySession, truncatedResponseIsRequestedAgainWhereAllowed)
{
    TwoTargets fixture(RouteKind::LargeResponse);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1"));
    const auto [first, second] = firstReached(fixture.one, fixture.other);
    Peer firstConnection = first->accept();
    firstConnection.readHeader();
    firstConnection.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Signed: s\r\nContent-Length: 10\r\n\r\nhalf");
    firstConnection.close();
    Peer secondConnection = second->accept();
    secondConnection.write(signedResponse(secondConnection.readHeader(), "whole"));
    CHECK_TRUE(readResponse(caller).ends_with("whole"));
}

// Guards against targets that send bytes without end which are no response.
TEST(GatewaySession, endlessInterimResponsesEndTheAttempt)
{
    constexpr int Responses = 100;
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.readHeader();
    std::string responses;
    for (int response = 0; response < Responses; ++response) {
        responses += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    targetConnection.write(responses);
    CHECK_TRUE(contains(caller.readHeader(), " 502 "));
}

// Guards against targets that send bytes without end which are no part of a body.
TEST(GatewaySession, endlessChunkHeaderIsATruncatedResponse)
{
    constexpr std::size_t Size = 100'000;
    TwoTargets fixture(RouteKind::Idempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1"));
    const auto [first, second] = firstReached(fixture.one, fixture.other);
    Peer firstConnection = first->accept();
    firstConnection.readHeader();
    firstConnection.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                          + std::string(Size, '0'));
    Peer secondConnection = second->accept();
    secondConnection.write(signedResponse(secondConnection.readHeader(), "whole"));
    CHECK_TRUE(readResponse(caller).ends_with("whole"));
}

TEST(GatewaySession, responseWithoutALengthEndsWithItsConnection)
{
    OneTarget fixture(RouteKind::Idempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.readHeader();
    targetConnection.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Signed: s\r\n\r\nto the end");
    targetConnection.close();
    CHECK_TRUE(readResponse(caller).ends_with("to the end"));
}

TEST(GatewaySession, responseTooLargeToBufferIsStreamed)
{
    OneTarget fixture(RouteKind::LargeResponse);
    fixture.gateway.context.forward.limits.maxBufferedResponseBytes = 1'000;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer targetConnection = fixture.target.accept();
    const std::string body(100'000, 'x');
    targetConnection.write(signedResponse(targetConnection.readHeader(), body));
    const std::string response = readResponse(caller);
    CHECK_TRUE(response.ends_with(body));
}

// Guards against forwarding only the beginning of a target's error response as if it were complete.
TEST(GatewaySession, targetsErrorTooLargeToBufferIsForwardedWhole)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    fixture.gateway.context.forward.limits.maxBufferedResponseBytes = 1'000;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer targetConnection = fixture.target.accept();
    const std::string body(100'000, 'x');
    targetConnection.readHeader();
    targetConnection.write("HTTP/1.1 500 Oops\r\nX-Attempt: id-1\r\nX-Signed: s\r\nContent-Length: 100000\r\n\r\n"
                           + body);
    const std::string response = readResponse(caller);
    CHECK_TRUE(contains(response, " 500 "));
    CHECK_TRUE(response.ends_with(body));
}

// Guards against a truncated download that looks complete to the caller.
TEST(GatewaySession, truncatedLargeResponseResetsTheCallersConnection)
{
    OneTarget fixture(RouteKind::LargeResponse);
    fixture.gateway.context.forward.limits.maxBufferedResponseBytes = 1'000;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.readHeader();
    targetConnection.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Signed: s\r\nContent-Length: 100000\r\n\r\n"
                           + std::string(50'000, 'x'));
    targetConnection.close();
    caller.readToEnd();
    CHECK_TRUE(caller.endReason() == asio::error::connection_reset);
}

// Guards against targets that keep working for callers that have disconnected.
TEST(GatewaySession, targetsConnectionIsClosedWhenTheCallerDisconnects)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.readHeader();
    caller.close();
    targetConnection.readToEnd();
    CHECK_TRUE(targetConnection.endReason() == asio::error::eof
               || targetConnection.endReason() == asio::error::connection_reset);
}

TEST(GatewaySession, drainingProcessClosesConnectionsAfterTheirResponses)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    fixture.gateway.context.draining = true;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.write(signedResponse(targetConnection.readHeader(), "ok"));
    STRCMP_EQUAL("close", field(readResponse(caller), "Connection").c_str());
}

TEST(GatewaySession, closingProcessRejectsRequestsWithoutForwardingThem)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    fixture.gateway.context.draining = true;
    fixture.gateway.context.forward.closing = true;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    CHECK_TRUE(contains(caller.readHeader(), " 503 "));
    CHECK_FALSE(fixture.target.hasConnection());
}

TEST(GatewaySession, closingProcessEndsIdleConnectionsInOrder)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    fixture.serve(caller, "id-1", "ok");
    fixture.endIdleConnections();
    STRCMP_EQUAL("", caller.readToEnd().c_str());
    CHECK_TRUE(caller.endReason() == asio::error::eof);
}

// Guards against a reset that discards a response which the caller is still receiving.
TEST(GatewaySession, closingProcessKeepsAConnectionWhoseResponseIsNotDelivered)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    fixture.gateway.start();
    Peer caller = fixture.gateway.slowCaller();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer targetConnection = fixture.target.accept();
    const std::string body(100'000, 'x');
    targetConnection.write(signedResponse(targetConnection.readHeader(), body));
    fixture.awaitIdle();
    fixture.endIdleConnections();
    caller.write(TestGateway::request("POST", "id-2", "Content-Length: 0\r\n"));
    CHECK_TRUE(readResponse(caller).ends_with(body));
    CHECK_TRUE(contains(caller.readHeader(), " 503 "));
}

TEST(GatewaySession, requestSmugglingIsRejected)
{
    OneTarget fixture(RouteKind::NonIdempotent);
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n")
                 + "0\r\n\r\n");
    CHECK_TRUE(contains(caller.readHeader(), " 400 "));
    CHECK_FALSE(fixture.target.hasConnection());
}

TEST(GatewaySession, requestThatMayHaveRunGets504AtTheRoutesTimeout)
{
    OneTarget fixture(RouteKind::NonIdempotent, Millis(60));
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.readHeader();
    CHECK_TRUE(contains(caller.readHeader(), " 504 "));
}

// Guards against logging status 200 for a target that never started a response.
TEST(GatewaySession, unresponsiveTargetIsLoggedWithoutAStatus)
{
    OneTarget fixture(RouteKind::NonIdempotent, Millis(60));
    std::string status;
    fixture.gateway.context.forward.events = [&status](Event event, std::initializer_list<EventField> fields) {
        for (const EventField &field : fields) {
            if (event == Event::AttemptFailed && field.key == "status") {
                status = field.value;
            }
        }
    };
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer targetConnection = fixture.target.accept();
    targetConnection.readHeader();
    CHECK_TRUE(contains(caller.readHeader(), " 504 "));
    STRCMP_EQUAL("0", status.c_str());
}

TEST(GatewaySession, targetThatRefusesConnectionsDoesNotFailTheRequest)
{
    ScriptedTarget refusing;
    ScriptedTarget other;
    TestGateway gateway({ refusing.port(), other.port() }, RouteKind::NonIdempotent);
    refusing.close();
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer otherConnection = other.accept();
    otherConnection.write(signedResponse(otherConnection.readHeader(), "ok"));
    CHECK_TRUE(readResponse(caller).ends_with("ok"));
}
