#include "mulberryplank/net/gatewaysession.h"

#include <algorithm>
#include <atomic>

#include <CppUTest/TestHarness.h>

#include "gatewaytesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

constexpr std::size_t ManyTargets = 10;
constexpr int CrashesBeforeRefusal = 3;
// Arrivals after the third crash that the platform allows, of requests that are sent some time after it.
constexpr int AllowedRetries = 3;

// A target that crashes when a request arrives whose path or account contains "deadly", and responds to all others.
class CrashingTarget
{
public:
    CrashingTarget()
        : m_thread([this] {
            serve();
        })
    {
    }
    CrashingTarget(const CrashingTarget &) = delete;
    CrashingTarget &operator=(const CrashingTarget &) = delete;

    ~CrashingTarget()
    {
        m_ends = true;
        boost::asio::io_context context;
        tcp::socket socket(context);
        boost::system::error_code ignored;
        socket.connect(tcp::endpoint(asio::ip::make_address(HostNumber), m_port), ignored);
        m_thread.join();
    }

    std::uint16_t port() const
    {
        return m_port;
    }

    // Returns the number of requests that crashed it: 0 or 1.
    int crashes() const
    {
        return m_crashes;
    }

private:
    void serve()
    {
        while (true) {
            Peer connection = m_target.accept();
            if (m_ends) {
                return;
            }
            while (true) {
                const std::string header = connection.readHeader();
                if (header.empty()) {
                    break;
                }
                if (contains(header, "deadly")) {
                    ++m_crashes;
                    m_target.close();
                    connection.reset();
                    return;
                }
                connection.write(signedResponse(header, "ok"));
            }
        }
    }

    ScriptedTarget m_target;
    const std::uint16_t m_port = m_target.port();
    std::atomic<bool> m_ends { false };
    std::atomic<int> m_crashes { 0 };
    std::thread m_thread;
};

// Waits until the gateway has found out which targets have crashed. Requests that follow sooner may crash more.
void waitForChecks(TestGateway &gateway)
{
    const auto limit = std::chrono::steady_clock::now() + WaitLimit;
    std::size_t pending = 1;
    while (pending > 0 && std::chrono::steady_clock::now() < limit) {
        std::promise<std::size_t> answer;
        asio::post(gateway.worker.context, [&] {
            answer.set_value(gateway.crashes.pendingChecks());
        });
        pending = answer.get_future().get();
    }
}

// A gateway with targets that crash.
struct CrashingTargets {
    explicit CrashingTargets(RouteKind kind)
        : gateway(ports(), kind)
    {
        gateway.start();
    }

    std::vector<std::uint16_t> ports() const
    {
        std::vector<std::uint16_t> ports;
        for (const CrashingTarget &target : targets) {
            ports.push_back(target.port());
        }
        return ports;
    }

    // Sends a request and returns the response's header.
    std::string send(const std::string &path, const std::string &fields = "")
    {
        Peer caller = gateway.caller();
        const std::string id = "id-" + std::to_string(++m_requests);
        caller.write(TestGateway::request("GET", id, fields, path));
        const std::string header = caller.readHeader();
        waitForChecks(gateway);
        return header;
    }

    int crashes() const
    {
        int sum = 0;
        for (const CrashingTarget &target : targets) {
            sum += target.crashes();
        }
        return sum;
    }

    std::array<CrashingTarget, ManyTargets> targets;
    TestGateway gateway;

private:
    int m_requests = 0;
};

} // namespace

TEST_GROUP(CrashingRequests) {};

// Guards against a request that is sent to one target after another and crashes each.
TEST(CrashingRequests, RequestThatCrashedThreeTargetsIsNotSentAgain)
{
    for (const RouteKind kind : { RouteKind::Idempotent, RouteKind::NonIdempotent }) {
        CrashingTargets fixture(kind);
        for (int count = 0; count < 12; ++count) {
            fixture.send("/a/deadly");
        }
        CHECK_TRUE(fixture.crashes() <= CrashesBeforeRefusal + AllowedRetries);
    }
}

TEST(CrashingRequests, QuarantinedRequestIsRefusedWithTheTimeThatIsLeft)
{
    CrashingTargets fixture(RouteKind::NonIdempotent);
    for (int count = 0; count < 4; ++count) {
        fixture.send("/a/deadly");
    }
    const std::string refusal = fixture.send("/a/deadly");
    CHECK_TRUE(contains(refusal, " 503 "));
    CHECK_TRUE(std::stod(field(refusal, "Retry-After")) > 500);
}

TEST(CrashingRequests, OtherRequestsAreServedBesideAQuarantinedOne)
{
    CrashingTargets fixture(RouteKind::Idempotent);
    for (int count = 0; count < 4; ++count) {
        fixture.send("/a/deadly");
    }
    CHECK_TRUE(contains(fixture.send("/a/other"), " 200 "));
}

// Guards against refusing an account's request because the same request of another account crashes its targets.
TEST(CrashingRequests, SameRequestOfAnotherAccountIsServed)
{
    CrashingTargets fixture(RouteKind::NonIdempotent);
    for (int count = 0; count < 4; ++count) {
        fixture.send("/a/1", "X-Key: deadly\r\n");
    }
    CHECK_TRUE(contains(fixture.send("/a/1", "X-Key: deadly\r\n"), " 503 "));
    CHECK_TRUE(contains(fixture.send("/a/1", "X-Key: other\r\n"), " 200 "));
}

// Guards against a request that reaches a starting process before that knows the fleet's key, and isn't recognized.
TEST(CrashingRequests, RequestThatWaitsForTheConfigurationIsRecognized)
{
    CrashingTarget target;
    TestGateway gateway({ target.port() }, RouteKind::Idempotent);
    const RouteTablePtr routes = std::exchange(gateway.routes, nullptr);
    gateway.context.awaitRoutes = [&]() -> DataAwaitable<void> {
        RequestFingerprinter &fingerprinter = gateway.context.forward.fingerprinter;
        fingerprinter.setKey("key");
        gateway.poison.load({ fingerprinter.fingerprint({ "GET", "press.example", "/a/deadly", "", "" }) });
        gateway.routes = routes;
        co_return;
    };
    gateway.start();
    Peer caller = gateway.caller();
    caller.write(TestGateway::request("GET", "id-1", "", "/a/deadly"));
    CHECK_TRUE(contains(caller.readHeader(), " 503 "));
    LONGS_EQUAL(0, target.crashes());
}

// Guards against a request that is blamed for targets which reset connections and go on.
TEST(CrashingRequests, ResetsOfALiveTargetAreNoCrashes)
{
    ScriptedTarget target;
    TestGateway gateway({ target.port() }, RouteKind::NonIdempotent);
    gateway.start();
    for (int count = 0; count < 5; ++count) {
        Peer caller = gateway.caller();
        caller.write(TestGateway::request("GET", "id-" + std::to_string(count)));
        Peer connection = target.accept(); // the connection of the check before, except for the first request
        CHECK_FALSE(connection.readHeader().empty());
        connection.reset();
        CHECK_TRUE(contains(caller.readHeader(), " 502 "));
        waitForChecks(gateway);
    }
}
