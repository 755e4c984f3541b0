#include "mulberryplank/app/requesttrace.h"

#include <CppUTest/TestHarness.h>

#include "fakefleet.h"
#include "mulberryplank/app/eventlog.h"

using namespace mulberryplank;

namespace
{

// Returns a log line of a gateway, `second` seconds after noon.
std::string lineAt(int second, Event event, std::initializer_list<EventField> fields)
{
    const std::string seconds = (second < 10 ? "0" : "") + std::to_string(second);
    return "2026-12-02T12:00:" + seconds + ".000Z INFO " + formatEvent(event, fields, {});
}

std::string failedAttempt(int second,
                          const std::string &request,
                          const std::string &target,
                          const std::string &result,
                          int sent,
                          double budget = 5,
                          int left = 900)
{
    return lineAt(second,
                  Event::AttemptFailed,
                  { { "request", request },
                    { "service", "s" },
                    { "target", target },
                    { "result", result },
                    { "attempt", 1 },
                    { "sent", sent },
                    { "status", result == "shed" ? 503 : 0 },
                    { "duration_ms", 12 },
                    { "left_ms", left },
                    { "risk", 0.05 },
                    { "load", 2.5 },
                    { "load_age_ms", 400 },
                    { "budget", budget } });
}

std::string requestEnded(int second,
                         const std::string &request,
                         const std::string &kind,
                         const std::string &outcome,
                         const std::string &error,
                         const std::string &target)
{
    return lineAt(second,
                  Event::RequestEnded,
                  { { "request", request },
                    { "kind", kind },
                    { "outcome", outcome },
                    { "error", error },
                    { "attempts", 1 },
                    { "target", target },
                    { "duration_ms", 13 } });
}

std::string processStarted(int second, const std::string &vm)
{
    return lineAt(second, Event::ProcessStarted, { { "vm", vm } });
}

} // namespace

TEST_GROUP(RequestTrace)
{
    RequestTrace trace { "r-1" };

    void checkContains(const char *text)
    {
        STRCMP_CONTAINS(text, trace.text().c_str());
    }
};

TEST(RequestTrace, ExplainsThatANonIdempotentRequestWasNotRetried)
{
    trace.read("a.log", processStarted(1, "vm-1"));
    trace.read("a.log", failedAttempt(10, "r-1", "t-1", "reset", 1));
    trace.read("a.log", requestEnded(10, "r-1", "once", "unknown", "target-reset", "t-1"));
    checkContains(
        "cause: t-1 broke the connection after the request was sent; it may run only once and could have run");
}

TEST(RequestTrace, ExplainsThatTheRetryBudgetWasExhausted)
{
    trace.read("a.log", failedAttempt(10, "r-1", "t-1", "reset", 1, 0.2));
    trace.read("a.log", requestEnded(10, "r-1", "idempotent", "unknown", "target-reset", "t-1"));
    checkContains("the budget for further attempts was used up");
}

TEST(RequestTrace, ExplainsATimeout)
{
    trace.read("a.log", failedAttempt(10, "r-1", "t-1", "timeout", 1, 5, -3));
    trace.read("a.log", requestEnded(10, "r-1", "idempotent", "unknown", "target-timeout", "t-1"));
    checkContains("cause: t-1 gave no answer in time; its time was up");
}

TEST(RequestTrace, ExplainsARejectionWithoutAnAttempt)
{
    trace.read("a.log",
               lineAt(10, Event::RequestRefused, { { "request", "r-1" }, { "config", 7 }, { "kind", "not-found" } }));
    checkContains("cause: configuration 7 has no route for its host and path");
}

TEST(RequestTrace, ShowsTheGatewaysStateAtTheTimeOfTheRequest)
{
    trace.read("a.log", lineAt(1, Event::RoutesInForce, { { "version", 3 } }));
    trace.read("a.log",
               lineAt(2, Event::TargetListChanged, { { "targets", 4 }, { "draining", 1 }, { "source", "store" } }));
    trace.read("a.log", lineAt(3, Event::PlatformDown, { { "stream", "targets" } }));
    trace.read("a.log", failedAttempt(10, "r-1", "t-1", "reset", 1));
    trace.read("a.log", lineAt(11, Event::RoutesInForce, { { "version", 4 } }));
    checkContains("went by configuration 3 since 2026-12-02T12:00:01.000Z; 4 targets (1 draining) by the store");
    checkContains("the store does not answer since 2026-12-02T12:00:03.000Z");
    CHECK(trace.text().find("configuration 4") == std::string::npos);
}

// A caller that retries may reach another gateway.
TEST(RequestTrace, OrdersTheLinesOfAllGatewaysByTime)
{
    trace.read("b.log", processStarted(1, "vm-2"));
    trace.read("b.log", failedAttempt(20, "r-1", "t-2", "shed", 1));
    trace.read("a.log", processStarted(1, "vm-1"));
    trace.read("a.log", failedAttempt(10, "r-1", "t-1", "connect-failed", 0));
    const std::string text = trace.text();
    CHECK(text.find("vm-1  attempt 1 at t-1") < text.find("vm-2  attempt 1 at t-2"));
    checkContains("refused it for load, and did not run it");
}

TEST(RequestTrace, ShowsOtherFailuresAndSuspicionsOfTheTarget)
{
    trace.read("a.log", processStarted(1, "vm-1"));
    trace.read("b.log", processStarted(1, "vm-2"));
    trace.read("b.log", failedAttempt(5, "other", "t-1", "reset", 1));
    trace.read("a.log", lineAt(6, Event::TargetSuspected, { { "target", "t-1" } }));
    trace.read("a.log", failedAttempt(10, "r-1", "t-1", "reset", 1));
    checkContains(
        "target t-1: 2 failed attempts in these logs, at 2 gateways; suspected since 2026-12-02T12:00:06.000Z");
}

TEST(RequestTrace, ReportsNoCauseWhenARetrySucceeded)
{
    trace.read("a.log", failedAttempt(10, "r-1", "t-1", "reset", 1));
    trace.read("a.log", requestEnded(11, "r-1", "idempotent", "answered", "", "t-2"));
    checkContains("cause: none; t-2 answered in the end");
}

TEST(RequestTrace, DistinguishesATargetsOwnError)
{
    trace.read("a.log", failedAttempt(10, "r-1", "t-1", "server-error", 1));
    trace.read("a.log", requestEnded(11, "r-1", "once", "answered", "target-error", "t-1"));
    checkContains("cause: t-1 answered with an error of its own");
}

TEST(RequestTrace, ReportsAnUnknownKeyWithTheConfiguration)
{
    trace.read("a.log",
               lineAt(10,
                      Event::RequestRefused,
                      { { "request", "r-1" },
                        { "account", "" },
                        { "config", 12 },
                        { "kind", "unauthenticated" },
                        { "detail", "no key, or a key of no account" } }));
    checkContains("cause: the caller sent no key, or a key of no account in configuration 12");
}

TEST(RequestTrace, ReportsTheAccountThatHasUsedUpItsLimit)
{
    trace.read("a.log",
               lineAt(10,
                      Event::RequestRefused,
                      { { "request", "r-1" }, { "account", "press" }, { "kind", "rate-limited" } }));
    checkContains("cause: account press has used up its limit");
}

TEST(RequestTrace, ReportsWhereLinesMayBeMissing)
{
    trace.read("a.log", processStarted(1, "vm-1"));
    trace.read("a.log", processStarted(9, "vm-1"));
    trace.read("a.log", "log-lines-dropped count=12");
    CHECK_FALSE(trace.found());
    checkContains("no line tells of it");
    checkContains("vm-1: a process ended without a word before the start at 2026-12-02T12:00:09.000Z");
    checkContains("vm-1: 12 lines of the log were dropped");
}

TEST_GROUP(ExplainCommand)
{
    testfleet::FakeFleet fleet;
    testfleet::Operator user { fleet };
};

TEST(ExplainCommand, ReadsFiles)
{
    const std::string one = user.file("one.log", failedAttempt(10, "r-1", "t-1", "reset", 1) + "\n");
    const std::string two = user.file("two.log", failedAttempt(12, "r-1", "t-2", "timeout", 1) + "\n");
    const auto run = user.run({ "explain", "r-1", one, two });
    CHECK(run.code == ExitCode::Done);
    STRCMP_CONTAINS("t-1 (s) failed", run.out.c_str());
    STRCMP_CONTAINS("cause: t-2 gave no answer in time", run.out.c_str());
}

TEST(ExplainCommand, ReadsStandardInput)
{
    user.input = failedAttempt(10, "r-1", "t-1", "reset", 1) + "\n";
    STRCMP_CONTAINS("cause: t-1 broke", user.run({ "explain", "r-1" }).out.c_str());
}

TEST(ExplainCommand, ExitsWith1WhenNoLineIsAboutTheRequest)
{
    CHECK(user.run({ "explain", "r-1" }).code == ExitCode::Refused);
}

TEST(ExplainCommand, ReportsAnUnreadableFileByName)
{
    const auto run = user.run({ "explain", "r-1", "/nowhere.log" });
    CHECK(run.code == ExitCode::Usage);
    STRCMP_CONTAINS("/nowhere.log: cannot be read", run.err.c_str());
}
