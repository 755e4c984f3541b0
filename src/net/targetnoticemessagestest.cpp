#include "mulberryplank/net/targetnoticemessages.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mulberryplank;

TEST_GROUP(TargetNoticeMessages) {};

TEST(TargetNoticeMessages, reportIsDecodedAsEncoded)
{
    const TargetNoticeReport report { 17, { true, Millis(2'500) } };
    const auto read = decodeTargetNoticeReport(encode(report));
    CHECK_TRUE(read.has_value());
    CHECK_EQUAL(17, read->target);
    CHECK_TRUE(read->notice.isLeaving);
    CHECK_TRUE(read->notice.rest == Duration(Millis(2'500)));
}

TEST(TargetNoticeMessages, reportWithoutARestHasNone)
{
    const auto read = decodeTargetNoticeReport(encode(TargetNoticeReport { 17, { true, std::nullopt } }));
    CHECK_FALSE(read->notice.rest.has_value());
}

TEST(TargetNoticeMessages, restOutOfRangeIsRefused)
{
    const TargetNoticeReport report { 17, { false, MaxTargetRest + Millis(1) } };
    const auto read = decodeTargetNoticeReport(encode(report));
    CHECK_FALSE(read.has_value());
    CHECK_TRUE(read.error().kind == ErrorKind::BadRequest);
}

TEST(TargetNoticeMessages, anyBytesAreReadOrRefused)
{
    CHECK_TRUE(rc::check("any bytes", [](const std::string &bytes) {
        const auto read = decodeTargetNoticeReport(bytes);
        RC_ASSERT(read.has_value() || read.error().kind == ErrorKind::BadRequest);
    }));
}
