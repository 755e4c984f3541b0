// Responses that do not repeat the id of the request that they are read for.
#include <CppUTest/TestHarness.h>

#include "gatewaytesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

const std::vector<std::string> UnidentifiedRefusals {
    "HTTP/1.1 503 Full\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429 Limited\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
};

// A gateway with targets and a caller.
struct Fixture {
    explicit Fixture(const std::vector<std::uint16_t> &ports, RouteKind kind = RouteKind::NonIdempotent)
        : gateway(ports, kind)
    {
        gateway.start();
        caller.emplace(gateway.caller());
    }

    void send(const std::string &id)
    {
        caller->write(TestGateway::request("POST", id, "Content-Length: 0\r\n"));
    }

    TestGateway gateway;
    std::optional<Peer> caller;
};

} // namespace

TEST_GROUP(StrayResponses)
{
    ScriptedTarget one;
    ScriptedTarget other;
};

// Guards against running a request twice after a refusal of an unknown request.
TEST(StrayResponses, refusalWithoutAnIdDoesNotRepeatTheRequest)
{
    for (const std::string &refusal : UnidentifiedRefusals) {
        Fixture fixture({ one.port(), other.port() });
        fixture.send("id-1");
        const auto [first, second] = firstReached(one, other);
        Peer connection = first->accept();
        const std::string header = connection.readHeader();
        connection.write(refusal);
        connection.write(signedResponse(header, "ran"));
        CHECK_TRUE_TEXT(readResponse(*fixture.caller).ends_with("ran"), refusal.c_str());
        CHECK_FALSE(second->hasConnection());
    }
}

// Guards against the promise "not run" for a request that a target has read.
TEST(StrayResponses, refusalWithoutAnIdIsNoPromise)
{
    for (const std::string &refusal : UnidentifiedRefusals) {
        Fixture fixture({ one.port() });
        fixture.send("id-1");
        Peer connection = one.accept();
        connection.readHeader();
        connection.write(refusal);
        connection.close();
        CHECK_TRUE_TEXT(contains(readResponse(*fixture.caller), " 502 "), refusal.c_str());
    }
}

TEST(StrayResponses, refusalWithoutAnIdOnAReusedConnectionDoesNotRepeatTheRequest)
{
    Fixture fixture({ one.port() });
    fixture.send("id-1");
    Peer connection = one.accept();
    connection.write(signedResponse(connection.readHeader(), "first"));
    CHECK_TRUE(readResponse(*fixture.caller).ends_with("first"));
    fixture.send("id-2");
    const std::string header = connection.readHeader();
    connection.write(UnidentifiedRefusals.front());
    connection.write(signedResponse(header, "second"));
    CHECK_TRUE(readResponse(*fixture.caller).ends_with("second"));
}

// Guards against delivering a response that may be another caller's.
TEST(StrayResponses, responseWithoutAnIdIsDiscarded)
{
    for (const std::string start : { "HTTP/1.1 200 OK\r\nX-Signed: yes\r\n", "HTTP/1.1 404 Gone\r\n" }) {
        Fixture fixture({ one.port() });
        fixture.send("id-1");
        Peer connection = one.accept();
        const std::string header = connection.readHeader();
        connection.write(start + "Content-Length: 5\r\n\r\nalien");
        connection.write(signedResponse(header, "ran"));
        CHECK_TRUE_TEXT(readResponse(*fixture.caller).ends_with("ran"), start.c_str());
    }
}

// Guards against losing a target to a response that may be another target's.
TEST(StrayResponses, misdirectedResponseWithoutAnIdDoesNotRemoveTheTarget)
{
    Fixture fixture({ one.port() });
    fixture.send("id-1");
    Peer connection = one.accept();
    std::string header = connection.readHeader();
    connection.write("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
    connection.write(signedResponse(header, "first"));
    CHECK_TRUE(readResponse(*fixture.caller).ends_with("first"));
    fixture.send("id-2");
    header = connection.readHeader();
    connection.write(signedResponse(header, "second"));
    CHECK_TRUE(readResponse(*fixture.caller).ends_with("second"));
}

// Guards against sparing a target for a notice that it may not have sent.
TEST(StrayResponses, noticesOfAnotherResponseAreIgnored)
{
    for (const std::string id : { "", "X-Attempt: id-0\r\n" }) {
        Fixture fixture({ one.port() });
        fixture.send("id-1");
        Peer connection = one.accept();
        std::string header = connection.readHeader();
        connection.write("HTTP/1.1 503 Full\r\n" + id
                         + "X-Leaving: 1\r\nX-Rest-Ms: 3000\r\nX-Rate-Limit: 0.01\r\nContent-Length: 0\r\n\r\n");
        connection.write(signedResponse(header, "first"));
        CHECK_TRUE(readResponse(*fixture.caller).ends_with("first"));
        fixture.send("id-2");
        header = connection.readHeader();
        connection.write(signedResponse(header, "second"));
        CHECK_TRUE_TEXT(readResponse(*fixture.caller).ends_with("second"), id.c_str());
    }
}

// Guards against a target that keeps a request waiting with responses of no request.
TEST(StrayResponses, endlessResponsesWithoutAnIdEndTheAttempt)
{
    constexpr int Responses = 100;
    Fixture fixture({ one.port() });
    fixture.send("id-1");
    Peer connection = one.accept();
    connection.readHeader();
    std::string responses;
    for (int response = 0; response < Responses; ++response) {
        responses += UnidentifiedRefusals.front();
    }
    connection.write(responses);
    CHECK_TRUE(contains(readResponse(*fixture.caller), " 502 "));
}

// Guards against reporting "not run" for a request that has run: callers take these statuses for that.
TEST(StrayResponses, targetsOwnStatusDoesNotReachTheCallerAsNotRun)
{
    for (const std::string status : { "408", "429", "503" }) {
        Fixture fixture({ one.port() });
        fixture.send("id-1");
        Peer connection = one.accept();
        connection.readHeader();
        connection.write("HTTP/1.1 " + status
                         + " Own\r\nX-Attempt: id-1\r\nX-Signed: yes\r\nContent-Length: 0\r\n\r\n");
        CHECK_TRUE_TEXT(contains(readResponse(*fixture.caller), " 502 "), status.c_str());
    }
}

// Guards against a promise "not run" that a target made for the same request when it was sent there under another name.
TEST(StrayResponses, repeatedRefusalOfAnEarlierAttemptAtTheSameAddressIsNoPromise)
{
    Fixture fixture({ one.port(), one.port() });
    fixture.send("id-1");
    Peer connection = one.accept();
    const std::string refusal = "HTTP/1.1 421 Misdirected\r\nX-Attempt: id-1\r\nContent-Length: 0\r\n\r\n";
    const std::string first = connection.readHeader();
    connection.write(refusal);
    CHECK_TRUE(one.awaitConnection());
    Peer next = one.accept();
    const std::string second = next.readHeader();
    CHECK_TRUE(field(first, "X-Expected") != field(second, "X-Expected"));
    connection.write(refusal);
    next.write(signedResponse(second, "ran"));
    CHECK_TRUE(readResponse(*fixture.caller).ends_with("ran"));
}
