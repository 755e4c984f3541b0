// Responses of targets whose status line or framing has no meaning in the protocol.
#include <CppUTest/TestHarness.h>

#include "gatewaytesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

const std::vector<std::string> InvalidStatuses { "000", "001", "099", "101", "600", "700", "999" };

// Returns a response of a gateway's target with the given status.
std::string gatewayResponse(const std::string &status, const std::string &requestHeader, const std::string &body)
{
    return "HTTP/1.1 " + status + " Odd\r\nX-Attempt: " + field(requestHeader, "X-Attempt")
           + "\r\nX-Signed: yes\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns a response of a proxy's target with the given status.
std::string proxyResponse(const std::string &status, const std::string &requestHeader, const std::string &body)
{
    return "HTTP/1.1 " + status + " Odd\r\nX-Request-Id: " + field(requestHeader, "X-Request-Id")
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_GROUP(ResponseReading)
{
    ScriptedTarget target;
    ScriptedTarget other;
};

// Guards against a status outside of the protocol that reaches a caller, and against a caller that waits for another
// response until the deadline.
TEST(ResponseReading, gatewayTakesAResponseWithAnInvalidStatusForAFailure)
{
    for (const std::string &status : InvalidStatuses) {
        for (const std::string body : { "", "ran" }) {
            TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
            gateway.start();
            Peer caller = gateway.caller();
            caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
            Peer connection = target.accept();
            connection.write(gatewayResponse(status, connection.readHeader(), body));
            const std::string response = readResponse(caller);
            CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 502 "), (status + ": " + response).c_str());
        }
    }
}

// Guards against a response made of another one's body.
TEST(ResponseReading, gatewayDoesNotReadTheBodyOfAResponseWithAnInvalidStatusAsAResponse)
{
    for (const std::string &status : InvalidStatuses) {
        TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
        gateway.start();
        Peer caller = gateway.caller();
        caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
        Peer connection = target.accept();
        const std::string header = connection.readHeader();
        connection.write(gatewayResponse(status, header, signedResponse(header, "inner")));
        const std::string response = readResponse(caller);
        CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 502 "), (status + ": " + response).c_str());
    }
}

TEST(ResponseReading, gatewayDoesNotReadTheBodyOfAnInterimResponseAsAResponse)
{
    for (const std::string framing : { "Content-Length", "Transfer-Encoding" }) {
        TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
        gateway.start();
        Peer caller = gateway.caller();
        caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
        Peer connection = target.accept();
        const std::string inner = signedResponse(connection.readHeader(), "inner");
        const std::string value = framing == "Content-Length" ? std::to_string(inner.size()) : "chunked";
        connection.write("HTTP/1.1 100 Continue\r\n" + framing + ": " + value + "\r\n\r\n" + inner);
        const std::string response = readResponse(caller);
        CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 502 "), response.c_str());
    }
}

TEST(ResponseReading, gatewaySendsAnIdempotentRequestAgainAfterAnInvalidStatus)
{
    TestGateway gateway({ target.port(), other.port() }, RouteKind::Idempotent);
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(TestGateway::request("GET", "id-1"));
    const auto [first, second] = firstReached(target, other);
    Peer invalid = first->accept();
    invalid.write(gatewayResponse("000", invalid.readHeader(), "ran"));
    Peer connection = second->accept();
    connection.write(signedResponse(connection.readHeader(), "again"));
    CHECK_TRUE(readResponse(caller).ends_with("again"));
}

TEST(ResponseReading, gatewaySkipsAnInterimResponseWithoutABody)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 0\r\n"));
    Peer connection = target.accept();
    const std::string header = connection.readHeader();
    connection.write("HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + signedResponse(header, "ran"));
    CHECK_TRUE(readResponse(caller).ends_with("ran"));
}

// As for gateways.
TEST(ResponseReading, proxyTakesAResponseWithAnInvalidStatusForAFailure)
{
    for (const std::string &status : InvalidStatuses) {
        for (const bool hasBody : { false, true }) {
            TestProxy proxy({ target.port() });
            Peer caller = proxy.caller();
            caller.write(TestProxy::request("POST", "/", "Content-Length: 0\r\n"));
            Peer connection = target.accept();
            const std::string header = connection.readHeader();
            connection.write(proxyResponse(status, header, hasBody ? responseTo(header, "inner") : ""));
            const std::string response = caller.readHeader();
            CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 502 "), (status + ": " + response).c_str());
        }
    }
}

// Guards against a target that keeps a caller waiting with interim responses.
TEST(ResponseReading, proxySkipsABoundedNumberOfInterimResponses)
{
    TestProxy proxy({ target.port() });
    Peer caller = proxy.caller();
    caller.write(TestProxy::request("POST", "/", "Content-Length: 0\r\n"));
    Peer connection = target.accept();
    connection.readHeader();
    std::string responses;
    for (int i = 0; i < 50; ++i) {
        responses += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    connection.write(responses);
    CHECK_TRUE(caller.readHeader().starts_with("HTTP/1.1 502 "));
}
