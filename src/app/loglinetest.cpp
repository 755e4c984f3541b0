#include "mulberryplank/app/logline.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/app/eventlog.h"

using namespace mulberryplank;

TEST_GROUP(LogLine) {};

TEST(LogLine, ParsesTimeLevelNumberNameAndFields)
{
    const auto line = parseLogLine("2026-12-02T18:30:55.123Z WARN 501 target-ejected target=pr-3 detail=\"3 of 4\"");
    CHECK(line.has_value());
    STRCMP_EQUAL("2026-12-02T18:30:55.123Z", line->time.c_str());
    STRCMP_EQUAL("WARN", line->level.c_str());
    CHECK(line->is(Event::TargetEjected));
    STRCMP_EQUAL("target-ejected", line->name.c_str());
    STRCMP_EQUAL("pr-3", line->field("target").c_str());
    STRCMP_EQUAL("3 of 4", line->field("detail").c_str());
    STRCMP_EQUAL("", line->field("service").c_str());
}

TEST(LogLine, RejectsOtherText)
{
    CHECK_FALSE(parseLogLine("log-lines-dropped count=12").has_value());
    CHECK_FALSE(parseLogLine("").has_value());
    CHECK_FALSE(parseLogLine("2026-12-02T18:30:55.123Z WARN 501 x a=\"open").has_value());
}

// Guards against values that are parsed differently than they were written, which would falsify a request's trace.
TEST(LogLine, FormattedFieldsAreParsedUnchanged)
{
    CHECK(rc::check([](const std::string &value) {
        RC_PRE(value.find("Bearer ") == std::string::npos && value.find("Basic ") == std::string::npos);
        const std::string text =
            formatEvent(Event::RequestRefused, { { "request", value }, { "route", "r-1" }, { "detail", value } }, {});
        const auto line = parseLogLine("2026-12-02T18:30:55.123Z INFO " + text);
        RC_ASSERT(line.has_value());
        RC_ASSERT(line->field("request") == value);
        RC_ASSERT(line->field("route") == "r-1");
        RC_ASSERT(line->field("detail") == value);
    }));
}
