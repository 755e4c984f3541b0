// Responses of targets whose status line or framing has no meaning in the protocol.
#include <CppUTest/TestHarness.h>

#include "gatewaytesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

const std::vector<std::string> InvalidStatuses { "000", "001", "099", "101", "600", "700", "999" };

// Returns a response with another status.
std::string withStatus(const std::string &status, const std::string &response)
{
    return "HTTP/1.1 " + status + response.substr(std::string("HTTP/1.1 200").size());
}

// Returns the bytes that a target sends after it has read the given header of a request.
using Respond = std::function<std::string(const std::string &requestHeader)>;

// Sends a request that isn't idempotent through a gateway with one target. Returns the response.
std::string responseOfGateway(ScriptedTarget &target, const Respond &respond)
{
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(TestGateway::booking("id-1"));
    Peer connection = target.accept();
    connection.write(respond(connection.readHeader()));
    return readResponse(caller);
}

// As responseOfGateway() for a proxy. Returns the header of the response.
std::string responseOfProxy(ScriptedTarget &target, const Respond &respond)
{
    TestProxy proxy({ target.port() });
    Peer caller = proxy.caller();
    caller.write(TestProxy::request("POST", "/", "Content-Length: 0\r\n"));
    Peer connection = target.accept();
    connection.write(respond(connection.readHeader()));
    return caller.readHeader();
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
            const std::string response = responseOfGateway(target, [&](const std::string &header) {
                return withStatus(status, signedResponse(header, body));
            });
            CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 502 "), (status + ": " + response).c_str());
        }
    }
}

// Guards against a response made of another one's body.
TEST(ResponseReading, gatewayDoesNotReadTheBodyOfAResponseWithAnInvalidStatusAsAResponse)
{
    for (const std::string &status : InvalidStatuses) {
        const std::string response = responseOfGateway(target, [&](const std::string &header) {
            return withStatus(status, signedResponse(header, signedResponse(header, "inner")));
        });
        CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 502 "), (status + ": " + response).c_str());
    }
}

TEST(ResponseReading, gatewayDoesNotReadTheBodyOfAnInterimResponseAsAResponse)
{
    for (const std::string framing : { "Content-Length", "Transfer-Encoding" }) {
        const std::string response = responseOfGateway(target, [&](const std::string &header) {
            const std::string inner = signedResponse(header, "inner");
            const std::string value = framing == "Content-Length" ? std::to_string(inner.size()) : "chunked";
            return "HTTP/1.1 100 Continue\r\n" + framing + ": " + value + "\r\n\r\n" + inner;
        });
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
    invalid.write(withStatus("000", signedResponse(invalid.readHeader(), "ran")));
    Peer connection = second->accept();
    connection.write(signedResponse(connection.readHeader(), "again"));
    CHECK_TRUE(readResponse(caller).ends_with("again"));
}

TEST(ResponseReading, gatewaySkipsAnInterimResponseWithoutABody)
{
    const std::string response = responseOfGateway(target, [](const std::string &header) {
        return "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + signedResponse(header, "ran");
    });
    CHECK_TRUE(response.ends_with("ran"));
}

// As for gateways.
TEST(ResponseReading, proxyTakesAResponseWithAnInvalidStatusForAFailure)
{
    for (const std::string &status : InvalidStatuses) {
        for (const bool hasBody : { false, true }) {
            const std::string response = responseOfProxy(target, [&](const std::string &header) {
                return withStatus(status, responseTo(header, hasBody ? responseTo(header, "inner") : ""));
            });
            CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 502 "), (status + ": " + response).c_str());
        }
    }
}

// Guards against a target that keeps a caller waiting with interim responses.
TEST(ResponseReading, proxySkipsABoundedNumberOfInterimResponses)
{
    const std::string response = responseOfProxy(target, [](const std::string &) {
        std::string responses;
        for (int i = 0; i < 50; ++i) {
            responses += "HTTP/1.1 100 Continue\r\n\r\n";
        }
        return responses;
    });
    CHECK_TRUE(response.starts_with("HTTP/1.1 502 "));
}
