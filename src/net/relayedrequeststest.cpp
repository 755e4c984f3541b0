// Requests of a gateway that has lost its own path to the targets.
#include <CppUTest/TestHarness.h>

#include "frametesthelp.h"
#include "gatewaytesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

constexpr Incarnation Relay = 7;

const std::string ResponseWithoutLength = "HTTP/1.1 200 OK\r\nX-Attempt: r1\r\nX-Signed: yes\r\n\r\npart";

// A gateway whose only target is out of its reach, and a relay that leads to `reachable`.
struct SeveredGateway {
    explicit SeveredGateway(RouteKind kind)
        : gateway({ unreachable.port() }, kind)
    {
        TargetPathHooks &paths = gateway.context.forward.paths;
        paths.usesRelays = [this](const ServiceName &) {
            return gateway.service.path.isLost();
        };
        paths.noteConnection = [this](const ServiceName &, const TargetName &target, bool reached, Instant openedAt) {
            if (reached) {
                gateway.service.path.noteSuccess(target, 1, openedAt);
            } else {
                gateway.service.path.noteFailure(target, 1, Clock::now());
            }
        };
        // A check that fails at once.
        paths.suspectPath = [this](const ServiceName &) {
            gateway.service.path.noteFailure(TargetName("t0"), 1, Clock::now());
        };
        paths.connectThroughRelay = [this](TargetName) -> DataAwaitable<Result<TargetConnectionPtr>> {
            ++relayedConnections;
            DataSocket socket(gateway.worker.context.get_executor());
            const tcp::endpoint endpoint(asio::ip::make_address(HostNumber), reachable.port());
            co_await socket.async_connect(endpoint, UseData);
            co_return gateway.worker.pool.adopt(std::move(socket), Relay, inputEnd);
        };
    }

    Peer start()
    {
        gateway.start();
        return gateway.caller();
    }

    // Makes the target refuse new connections over the gateway's own path.
    Peer startRefusing()
    {
        unreachable.close();
        return start();
    }

    // Responds at the target that the relay reaches, and returns the request that arrived there.
    std::string respond(Peer &connection, const std::string &body)
    {
        std::string header = connection.readHeader();
        connection.write(signedResponse(header, body));
        return header;
    }

    // Sends a request over a relay that sends `bytes` and closes the connection. Returns the response.
    std::string requestOver(InputEnd relayedInputEnd, const std::string &bytes);

    // Sends a request that the target resets once it has arrived, and returns after the response.
    void resetRequest(const std::string &method);

    ScriptedTarget unreachable;
    ScriptedTarget reachable;

    TestGateway gateway;
    std::atomic<int> relayedConnections = 0;
    InputEnd inputEnd = InputEnd::Connection; // of relayed connections
};

std::string SeveredGateway::requestOver(InputEnd relayedInputEnd, const std::string &bytes)
{
    inputEnd = relayedInputEnd;
    Peer caller = startRefusing();
    caller.write(TestGateway::request("POST", "r1"));
    Peer connection = reachable.accept();
    connection.readHeader();
    connection.write(bytes);
    connection.close();
    return readResponse(caller);
}

void SeveredGateway::resetRequest(const std::string &method)
{
    Peer caller = start();
    caller.write(TestGateway::request(method, "r1"));
    Peer connection = unreachable.accept();
    connection.readHeader();
    connection.reset();
    readResponse(caller);
}

} // namespace

TEST_GROUP(RelayedRequests) {};

TEST(RelayedRequests, requestThatWasNotSentGoesThroughARelayInTheSameAttempt)
{
    SeveredGateway severed(RouteKind::NonIdempotent);
    Peer caller = severed.startRefusing();
    caller.write(TestGateway::request("POST", "r1"));
    Peer connection = severed.reachable.accept();
    STRCMP_EQUAL("r1", field(severed.respond(connection, "done"), "X-Attempt").c_str());
    CHECK_TRUE(contains(readResponse(caller), "done"));
    CHECK_EQUAL(0, severed.gateway.context.forward.counters.retries);
}

TEST(RelayedRequests, laterRequestsDoNotTryTheLostPath)
{
    SeveredGateway severed(RouteKind::Idempotent);
    Peer caller = severed.startRefusing();
    caller.write(TestGateway::request("GET", "r1"));
    Peer connection = severed.reachable.accept();
    severed.respond(connection, "one");
    readResponse(caller);
    const std::uint64_t connects = severed.gateway.context.forward.counters.connects;
    caller.write(TestGateway::request("GET", "r2"));
    severed.respond(connection, "two");
    CHECK_TRUE(contains(readResponse(caller), "two"));
    CHECK_EQUAL(1, severed.relayedConnections);
    CHECK_EQUAL(connects, severed.gateway.context.forward.counters.connects);
}

// Guards against targets that reset requests and are taken for a lost path.
TEST(RelayedRequests, resetAfterARequestOnlyCausesACheckOfThePath)
{
    SeveredGateway severed(RouteKind::NonIdempotent);
    std::atomic<int> checks = 0;
    severed.gateway.context.forward.paths.suspectPath = [&checks](const ServiceName &) {
        ++checks;
    };
    severed.resetRequest("POST");
    CHECK_FALSE(severed.gateway.service.path.isLost());
    CHECK_EQUAL(1, checks);
}

// Guards against failures at a lost path that make targets look faulty to the gateways that reach them.
TEST(RelayedRequests, failuresAtALostPathAreNotReportedToOtherGateways)
{
    SeveredGateway severed(RouteKind::Idempotent);
    std::atomic<int> failuresReported = 0;
    severed.gateway.context.forward.share = [&failuresReported](const AttemptReport &report) {
        failuresReported += isFault(report.result) ? 1 : 0;
    };
    severed.resetRequest("GET");
    CHECK_TRUE(severed.gateway.service.path.isLost());
    CHECK_EQUAL(0, failuresReported);
}

TEST(RelayedRequests, responseWithoutALengthEndsWithTheRelaysEndFrame)
{
    SeveredGateway severed(RouteKind::NonIdempotent);
    const std::string response = severed.requestOver(InputEnd::Frame, frame(ResponseWithoutLength) + frame(""));
    CHECK_TRUE(contains(response, " 200 "));
    CHECK_TRUE(response.ends_with("part"));
}

// Guards against a cut response that looks complete after the relay has ended or was killed.
TEST(RelayedRequests, responseWithoutALengthIsNotCompleteWhenTheRelayEnds)
{
    SeveredGateway severed(RouteKind::NonIdempotent);
    CHECK_TRUE(contains(severed.requestOver(InputEnd::Frame, frame(ResponseWithoutLength)), " 502 "));
}

// Guards against the same with a relay of a version before framed tunnels.
TEST(RelayedRequests, responseWithoutALengthFromAnOldRelayIsNotComplete)
{
    SeveredGateway severed(RouteKind::NonIdempotent);
    CHECK_TRUE(contains(severed.requestOver(InputEnd::Unknown, ResponseWithoutLength), " 502 "));
}

// Guards against the promise "not run" for a request that a target has read.
TEST(RelayedRequests, refusalWithoutAnIdIsNoPromise)
{
    SeveredGateway severed(RouteKind::NonIdempotent);
    const std::string refusal = "HTTP/1.1 503 Full\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n";
    CHECK_TRUE(contains(severed.requestOver(InputEnd::Connection, refusal), " 502 "));
}

// Guards against a response made of another one's body, and against a status outside of the protocol at a caller.
TEST(RelayedRequests, responseWithAnInvalidStatusIsAFailure)
{
    const std::string fields = "\r\nX-Attempt: r1\r\nX-Signed: yes\r\nContent-Length: ";
    for (const std::string status : { "000", "099", "101", "600", "999" }) {
        const std::string bytes = "HTTP/1.1 " + status + " Odd" + fields + std::to_string(ResponseWithoutLength.size())
                                  + "\r\n\r\n" + ResponseWithoutLength;
        for (const InputEnd inputEnd : { InputEnd::Connection, InputEnd::Frame }) {
            SeveredGateway severed(RouteKind::NonIdempotent);
            const bool isFramed = inputEnd == InputEnd::Frame;
            const std::string response = severed.requestOver(inputEnd, isFramed ? frame(bytes) + frame("") : bytes);
            CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 502 "), (status + ": " + response).c_str());
            CHECK_EQUAL(1, severed.relayedConnections);
        }
    }
}
