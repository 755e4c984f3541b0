#include "mulberryplank/base/metricstext.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(MetricsText) {};

TEST(MetricsText, WritesAFamilyWithItsSamples)
{
    MetricsText metrics;
    metrics.family("requests_total", "counter", "Requests.");
    metrics.sample(3, { { "route", "r-1" }, { "outcome", "answered" } });
    metrics.sample(4, { { "route", "r-2" }, { "outcome", "answered" } });
    STRCMP_EQUAL("# HELP mulberryplank_requests_total Requests.\n"
                 "# TYPE mulberryplank_requests_total counter\n"
                 "mulberryplank_requests_total{route=\"r-1\",outcome=\"answered\"} 3\n"
                 "mulberryplank_requests_total{route=\"r-2\",outcome=\"answered\"} 4\n",
                 metrics.text().c_str());
}

TEST(MetricsText, EscapesLabelValues)
{
    MetricsText metrics;
    metrics.family("x", "gauge", "X.");
    metrics.sample(1, { { "route", "a\"b\\c\nd" } });
    STRCMP_CONTAINS("{route=\"a\\\"b\\\\c\\nd\"} 1\n", metrics.text().c_str());
}

// Guards against writing counters with six digits: a counter above a million would appear unchanged for seconds.
TEST(MetricsText, LargeCountsAreExact)
{
    MetricsText metrics;
    metrics.single("x", "counter", "X.", 123'456'789);
    STRCMP_CONTAINS("mulberryplank_x 123456789\n", metrics.text().c_str());
}
