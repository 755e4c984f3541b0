#include "mulberryplank/app/requeststory.h"

#include <CppUTest/TestHarness.h>

#include "fakefleet.h"
#include "mulberryplank/app/eventlog.h"

using namespace mulberryplank;

namespace
{

// Returns a line as a gateway writes it, `second` seconds after noon.
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

std::string ended(int second,
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

std::string started(int second, const std::string &vm)
{
    return lineAt(second, Event::ProcessStarted, { { "vm", vm } });
}

} // namespace

TEST_GROUP(RequestStory)
{
    RequestStory story { "r-1" };

    void checkTells(const char *text)
    {
        STRCMP_CONTAINS(text, story.text().c_str());
    }
};

TEST(RequestStory, ARequestThatRunsOnceIsNotSentAgain)
{
    story.read("a.log", started(1, "vm-1"));
    story.read("a.log", failedAttempt(10, "r-1", "t-1", "reset", 1));
    story.read("a.log", ended(10, "r-1", "once", "unknown", "target-reset", "t-1"));
    checkTells("cause: t-1 broke the connection after the request was sent; it may run only once and could have run");
}

TEST(RequestStory, AnEmptyBudgetIsNamed)
{
    story.read("a.log", failedAttempt(10, "r-1", "t-1", "reset", 1, 0.2));
    story.read("a.log", ended(10, "r-1", "idempotent", "unknown", "target-reset", "t-1"));
    checkTells("the budget for further attempts was used up");
}

TEST(RequestStory, ATimeoutIsNamed)
{
    story.read("a.log", failedAttempt(10, "r-1", "t-1", "timeout", 1, 5, -3));
    story.read("a.log", ended(10, "r-1", "idempotent", "unknown", "target-timeout", "t-1"));
    checkTells("cause: t-1 gave no answer in time; its time was up");
}

TEST(RequestStory, ARefusalWithoutAnAttemptIsNamed)
{
    story.read("a.log",
               lineAt(10, Event::RequestRefused, { { "request", "r-1" }, { "config", 7 }, { "kind", "not-found" } }));
    checkTells("cause: configuration 7 has no route for its host and path");
}

TEST(RequestStory, TellsWhatTheGatewayWentByAtThatTime)
{
    story.read("a.log", lineAt(1, Event::RoutesInForce, { { "version", 3 } }));
    story.read("a.log",
               lineAt(2, Event::TargetListChanged, { { "targets", 4 }, { "draining", 1 }, { "source", "store" } }));
    story.read("a.log", lineAt(3, Event::PlatformDown, { { "stream", "targets" } }));
    story.read("a.log", failedAttempt(10, "r-1", "t-1", "reset", 1));
    story.read("a.log", lineAt(11, Event::RoutesInForce, { { "version", 4 } }));
    checkTells("went by configuration 3 since 2026-12-02T12:00:01.000Z; 4 targets (1 draining) by the store");
    checkTells("the store does not answer since 2026-12-02T12:00:03.000Z");
    CHECK(story.text().find("configuration 4") == std::string::npos);
}

// A caller that asks again may come to another gateway.
TEST(RequestStory, GoesOverGatewaysInOrderOfTime)
{
    story.read("b.log", started(1, "vm-2"));
    story.read("b.log", failedAttempt(20, "r-1", "t-2", "shed", 1));
    story.read("a.log", started(1, "vm-1"));
    story.read("a.log", failedAttempt(10, "r-1", "t-1", "connect-failed", 0));
    const std::string text = story.text();
    CHECK(text.find("vm-1  attempt 1 at t-1") < text.find("vm-2  attempt 1 at t-2"));
    checkTells("refused it for load, and did not run it");
}

TEST(RequestStory, TellsHowTheTargetDidOtherwise)
{
    story.read("a.log", started(1, "vm-1"));
    story.read("b.log", started(1, "vm-2"));
    story.read("b.log", failedAttempt(5, "other", "t-1", "reset", 1));
    story.read("a.log", lineAt(6, Event::TargetSuspected, { { "target", "t-1" } }));
    story.read("a.log", failedAttempt(10, "r-1", "t-1", "reset", 1));
    checkTells("target t-1: 2 failed attempts in these logs, at 2 gateways; suspected since 2026-12-02T12:00:06.000Z");
}

TEST(RequestStory, AnAnswerInTheEndIsNoFailure)
{
    story.read("a.log", failedAttempt(10, "r-1", "t-1", "reset", 1));
    story.read("a.log", ended(11, "r-1", "idempotent", "answered", "", "t-2"));
    checkTells("cause: none; t-2 answered in the end");
}

TEST(RequestStory, ATargetsOwnErrorIsToldAsSuch)
{
    story.read("a.log", failedAttempt(10, "r-1", "t-1", "server-error", 1));
    story.read("a.log", ended(11, "r-1", "once", "answered", "target-error", "t-1"));
    checkTells("cause: t-1 answered with an error of its own");
}

TEST(RequestStory, TellsWhereLinesMayBeMissing)
{
    story.read("a.log", started(1, "vm-1"));
    story.read("a.log", started(9, "vm-1"));
    story.read("a.log", "log-lines-dropped count=12");
    CHECK_FALSE(story.found());
    checkTells("no line tells of it");
    checkTells("vm-1: a process ended without a word before the start at 2026-12-02T12:00:09.000Z");
    checkTells("vm-1: 12 lines of the log were dropped");
}

TEST_GROUP(ExplainCommand)
{
    testfleet::FakeFleet fleet;
    testfleet::Operator person { fleet };
};

TEST(ExplainCommand, ReadsFiles)
{
    const std::string one = person.file("one.log", failedAttempt(10, "r-1", "t-1", "reset", 1) + "\n");
    const std::string two = person.file("two.log", failedAttempt(12, "r-1", "t-2", "timeout", 1) + "\n");
    const auto run = person.run({ "explain", "r-1", one, two });
    CHECK(run.code == ExitCode::Done);
    STRCMP_CONTAINS("t-1 (s) failed", run.out.c_str());
    STRCMP_CONTAINS("cause: t-2 gave no answer in time", run.out.c_str());
}

TEST(ExplainCommand, ReadsStandardInput)
{
    person.input = failedAttempt(10, "r-1", "t-1", "reset", 1) + "\n";
    STRCMP_CONTAINS("cause: t-1 broke", person.run({ "explain", "r-1" }).out.c_str());
}

TEST(ExplainCommand, ARequestThatNoLineTellsOfEndsWithOne)
{
    CHECK(person.run({ "explain", "r-1" }).code == ExitCode::Refused);
}

TEST(ExplainCommand, AFileThatCantBeReadIsNamed)
{
    const auto run = person.run({ "explain", "r-1", "/nowhere.log" });
    CHECK(run.code == ExitCode::Usage);
    STRCMP_CONTAINS("/nowhere.log: cannot be read", run.err.c_str());
}
