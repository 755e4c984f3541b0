// Tests of the behavior of the stand-ins on which other tests rely, over loopback. No test sleeps: the clock is
// injected, and the fault "hold" keeps a request in its slot.
#include <memory>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "download.h"
#include "logservice.h"
#include "logstore.h"
#include "target.h"
#include "testcaller.h"

using namespace standin;

TEST_GROUP(StandinLog)
{
    asio::io_context context;
    std::unique_ptr<LogService> service = std::make_unique<LogService>(context, LogServiceSettings {}, fixedNow);

    void teardown() override
    {
        service->stop();
        context.run();
        service.reset();
    }
};

// Guards against a stand-in that doesn't simulate an append of unknown outcome: the connection of the writer ends, and
// the writer can't know whether its record is in the log.
TEST(StandinLog, AppendTakesEffectWhenItsResponseIsLost)
{
    Caller writer(context, service->port());
    CHECK_EQUAL(200,
                Caller(context, service->port())
                    .sendAndReceive(http::verb::post, "/-/faults", R"({"lose_answers":true})")
                    .result_int());
    CHECK_EQUAL(0, writer.sendAndReceive(http::verb::post, "/streams/config/records", "kept").result_int());
    const auto page =
        parseJson(Caller(context, service->port()).sendAndReceive(http::verb::get, "/streams/config/records?from=0"));
    CHECK_EQUAL(1U, page.at("next").to_number<unsigned>());
    CHECK(page.at("records").at(0).at("data").as_string() == "kept");
}

TEST(StandinLog, WaitingReadReturnsWhenARecordIsAppended)
{
    Caller reader(context, service->port());
    reader.send(http::verb::get, "/streams/config/records?from=0&wait_ms=60000");
    runUntil(context, [this] {
        return service->waitingReaders() == 1;
    });
    Caller(context, service->port()).sendAndReceive(http::verb::post, "/streams/config/records", "first");
    CHECK_EQUAL(1U, parseJson(reader.receive()).at("records").as_array().size());
}

TEST_GROUP(StandinLogStore) {};

TEST(StandinLogStore, RetentionLimitsCountAndAge)
{
    CHECK_TRUE(rc::check("the retained records are those within count and age, with their offsets", [] {
        const auto maxRecords = *rc::gen::inRange<std::size_t>(1, 20);
        const auto age = *rc::gen::inRange<int>(1, 30);
        const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
        LogStore store({ maxRecords, std::chrono::seconds(age) });
        Instant now {};
        std::vector<Instant> times;
        for (const int gap : gaps) {
            now += std::chrono::seconds(gap);
            RC_ASSERT(store.append("s", std::to_string(times.size()), now) == times.size());
            times.push_back(now);
        }
        std::size_t first = times.size() - std::min(maxRecords, times.size());
        while (first < times.size() && now - times[first] > std::chrono::seconds(age)) {
            ++first;
        }
        const LogPage page = store.read("s", 0, 1000, now);
        RC_ASSERT(page.next == times.size());
        RC_ASSERT(page.first == first);
        RC_ASSERT(page.records.size() == times.size() - first);
        for (const LogRecord &record : page.records) {
            RC_ASSERT(record.data == std::to_string(record.offset));
        }
    }));
}

TEST_GROUP(StandinDownload) {};

TEST(StandinDownload, RangeContinuesTheContentAtItsOffset)
{
    CHECK_TRUE(rc::check("a range from any offset selects the rest of the content, unless If-Range differs", [] {
        const auto size = *rc::gen::inRange<std::uint64_t>(1, 200'000);
        const auto at = *rc::gen::inRange<std::uint64_t>(0, size);
        const std::string range = "bytes=" + std::to_string(at) + "-";
        const RangeSelection rest = selectRange(range, downloadETag(size), size);
        RC_ASSERT(rest.kind == RangeKind::Part);
        RC_ASSERT(rest.bytes.first == at);
        RC_ASSERT(rest.bytes.end == size);
        RC_ASSERT(selectRange(range, downloadETag(size + 1), size).kind == RangeKind::Whole);
        const auto one = asio::buffer_cast<const unsigned char *>(contentAt(at, 1));
        const auto run = contentAt(at - at % 65'521, size);
        RC_ASSERT(*one == asio::buffer_cast<const unsigned char *>(run)[at % 65'521]);
    }));
}

TEST_GROUP(StandinTarget)
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

    Response setFaults(const std::string &faults)
    {
        return Caller(context, target->port()).sendAndReceive(http::verb::post, "/-/faults", faults);
    }
};

TEST(StandinTarget, FinishesRequestsInFlightWhileDraining)
{
    setFaults(R"({"hold":true})");
    Caller caller(context, target->port());
    caller.send(http::verb::post, "/bookings", "{}", "b1");
    runUntil(context, [this] {
        return target->counters().started == 1;
    });
    Caller(context, target->port()).sendAndReceive(http::verb::post, "/-/drain");
    setFaults(R"({"hold":false})");
    const Response response = caller.receive();
    CHECK_EQUAL(200, response.result_int());
    CHECK(response["X-Draining"] == "1");
    CHECK(response["X-Request-Id"] == "b1");
    CHECK_FALSE(response.keep_alive());
    CHECK_EQUAL(0, target->counters().startedWhileLeaving);
}

TEST(StandinTarget, CountsEachStartedRunButNoShedRequest)
{
    setFaults(R"({"hold":true})");
    Caller caller(context, target->port());
    caller.send(http::verb::post, "/bookings", R"({"operation_id":"op"})", "b1");
    runUntil(context, [this] {
        return target->counters().started == 1;
    });
    const Response shed = Caller(context, target->port()).sendAndReceive(http::verb::post, "/bookings", "{}", "b2");
    CHECK_EQUAL(503, shed.result_int());
    CHECK(shed["X-Not-Run"] == "1");
    setFaults(R"({"hold":false})");
    CHECK_EQUAL(200, caller.receive().result_int());
    caller.sendAndReceive(http::verb::post, "/bookings", "{}", "b1");
    CHECK_EQUAL(2, fetchCounter(context, target->port(), "/-/runs", "b1"));
    CHECK_EQUAL(1, fetchCounter(context, target->port(), "/-/runs", "op"));
    CHECK_EQUAL(0, fetchCounter(context, target->port(), "/-/runs", "b2"));
}

// Guards against slots that stay occupied by requests whose callers have disconnected.
TEST(StandinTarget, ClosingTheConnectionFreesTheSlot)
{
    setFaults(R"({"hold":true})");
    Caller caller(context, target->port());
    caller.send(http::verb::get, "/read");
    runUntil(context, [this] {
        return target->counters().started == 1;
    });
    caller.close();
    runUntil(context, [this] {
        return target->counters().cancelled == 1;
    });
    CHECK_EQUAL(0, fetchCounter(context, target->port(), "/-/counters", "in_flight"));
}
