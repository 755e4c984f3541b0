// That each fault of a target does what docs/PLATFORM.md says, for tests that rely on it. Nothing here sleeps.
#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "target.h"
#include "targetfaults.h"
#include "testcaller.h"

using namespace standin;

namespace
{

constexpr std::size_t MostBytes = 4096; // more than any answer here has

// An answer as it came, without judging it.
struct Bytes {
    std::string head;
    std::string body;
    std::size_t contentLength = 0;
};

Bytes split(const std::string &bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    Bytes found;
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

    void switchTo(const std::string &faults)
    {
        const Response answer = Caller(context, target->port()).call(http::verb::post, "/-/faults", faults);
        CHECK_EQUAL(200, answer.result_int());
    }

    std::uint64_t inFlight()
    {
        return counter(context, target->port(), "/-/counters", "in_flight");
    }

    std::uint64_t runs(const char *id)
    {
        return counter(context, target->port(), "/-/runs", id);
    }

    void untilStarted(std::uint64_t count)
    {
        runUntil(context, [this, count] {
            return target->counters().started == count;
        });
    }
};

TEST(TargetFaults, AHungRequestGetsNothingAndKeepsItsSlotUntilItsConnectionCloses)
{
    switchTo(R"({"hang_share":1})");
    Caller caller(context, target->port());
    caller.send(http::verb::get, "/read");
    untilStarted(1);
    CHECK_EQUAL(1, inFlight());
    CHECK(caller.hearsNothing());
    CHECK_EQUAL(503, Caller(context, target->port()).call(http::verb::get, "/read").result_int());
    caller.close();
    runUntil(context, [this] {
        return target->counters().cancelled == 1;
    });
    CHECK_EQUAL(0, inFlight());
}

TEST(TargetFaults, AResetComesAfterTheWorkWasDone)
{
    switchTo(R"({"reset_share":1})");
    Caller caller(context, target->port());
    caller.send(http::verb::post, "/bookings", "{}", "b1");
    boost::system::error_code end;
    CHECK(caller.receiveBytes(MostBytes, end).empty());
    CHECK(end == asio::error::connection_reset);
    CHECK_EQUAL(1, runs("b1"));
}

TEST(TargetFaults, AnErrorComesAfterTheWorkWasDone)
{
    switchTo(R"({"error_share":1})");
    const Response answer = Caller(context, target->port()).call(http::verb::post, "/bookings", "{}", "b1");
    CHECK_EQUAL(500, answer.result_int());
    CHECK(answer["X-Request-Id"] == "b1");
    CHECK(answer.find("X-Not-Run") == answer.end());
    CHECK_EQUAL(1, runs("b1"));
}

TEST(TargetFaults, ATruncatedAnswerEndsInOrderAfterHalfItsBody)
{
    switchTo(R"({"truncate_share":1})");
    Caller caller(context, target->port());
    caller.send(http::verb::get, "/read", {}, "r1");
    boost::system::error_code end;
    const Bytes answer = split(caller.receiveBytes(MostBytes, end));
    CHECK(end == asio::error::eof);
    CHECK(answer.contentLength > 1);
    CHECK_EQUAL(answer.contentLength / 2, answer.body.size());
}

TEST(TargetFaults, ATruncatedDownloadIsTheFirstHalfOfTheWholeOne)
{
    const std::string path = "/download/1000";
    const std::string whole = Caller(context, target->port()).call(http::verb::get, path).body();
    switchTo(R"({"truncate_share":1})");
    Caller caller(context, target->port());
    caller.send(http::verb::get, path);
    boost::system::error_code end;
    const Bytes answer = split(caller.receiveBytes(MostBytes, end));
    CHECK(end == asio::error::eof);
    CHECK_EQUAL(1000U, answer.contentLength);
    CHECK(answer.body == whole.substr(0, 500));
}

TEST(TargetFaults, AStalledAnswerStopsAfterHalfItsBodyAndStaysOpen)
{
    const std::string path = "/download/1000";
    switchTo(R"({"stall_share":1})");
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
    CHECK(first.hearsNothing());
    first.close();
    runUntil(context, [this] {
        return target->counters().cancelled == 1;
    });
    CHECK_EQUAL(0, inFlight());
}

TEST(TargetFaults, AWrongBodyIsThatOfTheRequestBefore)
{
    Caller caller(context, target->port());
    const Response before = caller.call(http::verb::get, "/first", {}, "r1");
    switchTo(R"({"wrong_body":true})");
    const Response wrong = caller.call(http::verb::get, "/second", {}, "r2");
    CHECK_EQUAL(200, wrong.result_int());
    CHECK(wrong["X-Request-Id"] == "r1");
    CHECK(wrong.body() == before.body());
}

TEST(TargetFaults, ConnectionsOpenNowGoSilentWhileNewOnesWork)
{
    Caller old(context, target->port());
    CHECK_EQUAL(200, old.call(http::verb::get, "/read").result_int());
    switchTo(R"({"silent_connections":true})");
    old.send(http::verb::post, "/bookings", "{}", "b1");
    CHECK_EQUAL(200, Caller(context, target->port()).call(http::verb::get, "/read").result_int());
    CHECK_EQUAL(0, runs("b1"));
    CHECK(old.hearsNothing());
}

TEST(TargetFaults, NewConnectionsAreClosedOnceAcceptedWhileOpenOnesWork)
{
    Caller old(context, target->port());
    CHECK_EQUAL(200, old.call(http::verb::post, "/-/faults", R"({"refuse_after_accept":true})").result_int());
    CHECK_EQUAL(0, Caller(context, target->port()).call(http::verb::get, "/read").result_int());
    CHECK_EQUAL(200, old.call(http::verb::get, "/read").result_int());
}

TEST(TargetFaults, HealthAndLoadLieOnlyWhenToldTo)
{
    Caller holder(context, target->port());
    switchTo(R"({"hold":true})");
    holder.send(http::verb::get, "/read");
    untilStarted(1);
    CHECK_EQUAL(1, counter(context, target->port(), "/-/load", "in_flight"));
    switchTo(R"({"lie_load":true,"lie_health":true,"error_share":1})");
    CHECK_EQUAL(0, counter(context, target->port(), "/-/load", "in_flight"));
    Caller(context, target->port()).call(http::verb::post, "/-/drain");
    Caller prober(context, target->port());
    CHECK_EQUAL(R"({"state":"ok"})", prober.call(http::verb::get, "/-/health").body());
    switchTo(R"({"lie_health":false,"hold":false})");
    const Response honest = prober.call(http::verb::get, "/-/health");
    CHECK_EQUAL(500, honest.result_int());
    CHECK_EQUAL(R"({"state":"leaving"})", honest.body());
}

TEST_GROUP(TargetFaultValues) {};

TEST(TargetFaultValues, FlappingFaultsHoldInEverySecondTurn)
{
    CHECK_TRUE(rc::check("faults hold in the turns 0, 2, 4, ... after they were switched, and not in the others", [] {
        TargetFaults faults;
        faults.hangShare = 1;
        const auto length = *rc::gen::inRange(1, 5'000);
        const auto turn = *rc::gen::inRange(0, 1'000);
        const auto within = *rc::gen::inRange(0, length);
        const auto since = std::chrono::milliseconds(turn * length + within);
        RC_ASSERT(inForce(faults, since).hangShare == 1);
        faults.flapMs = length;
        RC_ASSERT(inForce(faults, since).hangShare == (turn % 2 == 0 ? 1 : 0));
    }));
}

TEST(TargetFaultValues, SlownessAppliesToItsPathAlone)
{
    TargetFaults faults;
    faults.slowFactor = 10;
    faults.slowMs = 3;
    DOUBLES_EQUAL(53, slowed(faults, "/any", 5), 1e-9);
    faults.slowPath = "/bookings";
    DOUBLES_EQUAL(53, slowed(faults, "/bookings/7", 5), 1e-9);
    DOUBLES_EQUAL(5, slowed(faults, "/any", 5), 1e-9);
}
