// Tests that each fault of a target behaves as described in docs/PLATFORM.md, since other tests rely on it. No test
// sleeps.
#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "target.h"
#include "targetfaults.h"
#include "testcaller.h"

using namespace standin;

namespace
{

constexpr std::size_t MaxBytes = 4096; // larger than any response in these tests

// A response as received, without validation.
struct RawResponse {
    std::string head;
    std::string body;
    std::size_t contentLength = 0;
};

RawResponse parseRawResponse(const std::string &bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    RawResponse found;
    if (end == std::string::npos) {
        return found;
    }
    found.head = bytes.substr(0, end + 4);
    found.body = bytes.substr(end + 4);
    const std::string field = "Content-Length: ";
    const std::size_t at = found.head.find(field);
    found.contentLength = at == std::string::npos ? 0 : std::stoul(found.head.substr(at + field.size()));
    return found;
}

} // namespace

TEST_GROUP(TargetFaults)
{
    asio::io_context context;
    std::unique_ptr<Target> target;

    void setup() override
    {
        TargetSettings settings;
        settings.slots = 1;
        settings.queue = 0;
        target = std::make_unique<Target>(context, settings, fixedNow);
    }

    void teardown() override
    {
        target->stop();
        context.run();
        target.reset();
    }

    void setFaults(const std::string &faults)
    {
        const Response response = Caller(context, target->port()).sendAndReceive(http::verb::post, "/-/faults", faults);
        CHECK_EQUAL(200, response.result_int());
    }

    std::uint64_t inFlight()
    {
        return fetchCounter(context, target->port(), "/-/counters", "in_flight");
    }

    std::uint64_t runs(const char *id)
    {
        return fetchCounter(context, target->port(), "/-/runs", id);
    }

    void runUntilStarted(std::uint64_t count)
    {
        runUntil(context, [this, count] {
            return target->counters().started == count;
        });
    }
};

TEST(TargetFaults, HungRequestGetsNoResponseAndHoldsItsSlotUntilItsConnectionCloses)
{
    setFaults(R"({"hang_share":1})");
    Caller caller(context, target->port());
    caller.send(http::verb::get, "/read");
    runUntilStarted(1);
    CHECK_EQUAL(1, inFlight());
    CHECK(caller.isOpenAndIdle());
    CHECK_EQUAL(503, Caller(context, target->port()).sendAndReceive(http::verb::get, "/read").result_int());
    caller.close();
    runUntil(context, [this] {
        return target->counters().cancelled == 1;
    });
    CHECK_EQUAL(0, inFlight());
}

TEST(TargetFaults, ResetFollowsAfterTheRequestRan)
{
    setFaults(R"({"reset_share":1})");
    Caller caller(context, target->port());
    caller.send(http::verb::post, "/bookings", "{}", "b1");
    boost::system::error_code end;
    CHECK(caller.receiveBytes(MaxBytes, end).empty());
    CHECK(end == asio::error::connection_reset);
    CHECK_EQUAL(1, runs("b1"));
}

TEST(TargetFaults, ErrorResponseFollowsAfterTheRequestRan)
{
    setFaults(R"({"error_share":1})");
    const Response response = Caller(context, target->port()).sendAndReceive(http::verb::post, "/bookings", "{}", "b1");
    CHECK_EQUAL(500, response.result_int());
    CHECK(response["X-Request-Id"] == "b1");
    CHECK(response.find("X-Not-Run") == response.end());
    CHECK_EQUAL(1, runs("b1"));
}

TEST(TargetFaults, TruncatedResponseEndsWithEofAfterHalfItsBody)
{
    setFaults(R"({"truncate_share":1})");
    Caller caller(context, target->port());
    caller.send(http::verb::get, "/read", {}, "r1");
    boost::system::error_code end;
    const RawResponse response = parseRawResponse(caller.receiveBytes(MaxBytes, end));
    CHECK(end == asio::error::eof);
    CHECK(response.contentLength > 1);
    CHECK_EQUAL(response.contentLength / 2, response.body.size());
}

TEST(TargetFaults, TruncatedDownloadContainsTheFirstHalf)
{
    const std::string path = "/download/1000";
    const std::string whole = Caller(context, target->port()).sendAndReceive(http::verb::get, path).body();
    setFaults(R"({"truncate_share":1})");
    Caller caller(context, target->port());
    caller.send(http::verb::get, path);
    boost::system::error_code end;
    const RawResponse response = parseRawResponse(caller.receiveBytes(MaxBytes, end));
    CHECK(end == asio::error::eof);
    CHECK_EQUAL(1000U, response.contentLength);
    CHECK(response.body == whole.substr(0, 500));
}

TEST(TargetFaults, StalledResponseStopsAfterHalfItsBodyAndKeepsTheConnectionOpen)
{
    const std::string path = "/download/1000";
    setFaults(R"({"stall_share":1})");
    Caller first(context, target->port());
    first.send(http::verb::get, path);
    boost::system::error_code end;
    std::string head;
    while (!head.ends_with("\r\n\r\n") && !end) {
        head += first.receiveBytes(1, end);
    }
    CHECK_EQUAL(500U, first.receiveBytes(500, end).size());
    CHECK_FALSE(end);
    CHECK_EQUAL(1, inFlight());
    CHECK(first.isOpenAndIdle());
    first.close();
    runUntil(context, [this] {
        return target->counters().cancelled == 1;
    });
    CHECK_EQUAL(0, inFlight());
}

TEST(TargetFaults, WrongBodyIsThatOfThePreviousRequest)
{
    Caller caller(context, target->port());
    const Response previous = caller.sendAndReceive(http::verb::get, "/first", {}, "r1");
    setFaults(R"({"wrong_body":true})");
    const Response wrong = caller.sendAndReceive(http::verb::get, "/second", {}, "r2");
    CHECK_EQUAL(200, wrong.result_int());
    CHECK(wrong["X-Request-Id"] == "r1");
    CHECK(wrong.body() == previous.body());
}

TEST(TargetFaults, OpenConnectionsBecomeUnresponsiveWhileNewOnesWork)
{
    Caller openConnection(context, target->port());
    CHECK_EQUAL(200, openConnection.sendAndReceive(http::verb::get, "/read").result_int());
    setFaults(R"({"silent_connections":true})");
    openConnection.send(http::verb::post, "/bookings", "{}", "b1");
    CHECK_EQUAL(200, Caller(context, target->port()).sendAndReceive(http::verb::get, "/read").result_int());
    CHECK_EQUAL(0, runs("b1"));
    CHECK(openConnection.isOpenAndIdle());
}

TEST(TargetFaults, NewConnectionsAreClosedAfterAcceptWhileOpenOnesWork)
{
    Caller openConnection(context, target->port());
    CHECK_EQUAL(
        200,
        openConnection.sendAndReceive(http::verb::post, "/-/faults", R"({"refuse_after_accept":true})").result_int());
    CHECK_EQUAL(0, Caller(context, target->port()).sendAndReceive(http::verb::get, "/read").result_int());
    CHECK_EQUAL(200, openConnection.sendAndReceive(http::verb::get, "/read").result_int());
}

TEST(TargetFaults, HealthAndLoadAreFalsifiedOnlyWhileSwitchedOn)
{
    Caller holder(context, target->port());
    setFaults(R"({"hold":true})");
    holder.send(http::verb::get, "/read");
    runUntilStarted(1);
    CHECK_EQUAL(1, fetchCounter(context, target->port(), "/-/load", "in_flight"));
    setFaults(R"({"lie_load":true,"lie_health":true,"error_share":1})");
    CHECK_EQUAL(0, fetchCounter(context, target->port(), "/-/load", "in_flight"));
    Caller(context, target->port()).sendAndReceive(http::verb::post, "/-/drain");
    Caller prober(context, target->port());
    CHECK_EQUAL(R"({"state":"ok"})", prober.sendAndReceive(http::verb::get, "/-/health").body());
    setFaults(R"({"lie_health":false,"hold":false})");
    const Response actual = prober.sendAndReceive(http::verb::get, "/-/health");
    CHECK_EQUAL(500, actual.result_int());
    CHECK_EQUAL(R"({"state":"leaving"})", actual.body());
}

TEST_GROUP(TargetFaultValues) {};

TEST(TargetFaultValues, FlappingFaultsAreActiveInEverySecondPeriod)
{
    CHECK_TRUE(
        rc::check("faults are active in the periods 0, 2, 4, ... from when they were set, and not in the others", [] {
            TargetFaults faults;
            faults.hangShare = 1;
            const auto length = *rc::gen::inRange(1, 5'000);
            const auto period = *rc::gen::inRange(0, 1'000);
            const auto within = *rc::gen::inRange(0, length);
            const auto since = std::chrono::milliseconds(period * length + within);
            RC_ASSERT(activeFaults(faults, since).hangShare == 1);
            faults.flapMs = length;
            RC_ASSERT(activeFaults(faults, since).hangShare == (period % 2 == 0 ? 1 : 0));
        }));
}

TEST(TargetFaultValues, SlownessAppliesToItsPathOnly)
{
    TargetFaults faults;
    faults.slowFactor = 10;
    faults.slowMs = 3;
    DOUBLES_EQUAL(53, slowedServiceTime(faults, "/any", 5), 1e-9);
    faults.slowPath = "/bookings";
    DOUBLES_EQUAL(53, slowedServiceTime(faults, "/bookings/7", 5), 1e-9);
    DOUBLES_EQUAL(5, slowedServiceTime(faults, "/any", 5), 1e-9);
}
