#include "mulberryplank/state/gatewaymetrics.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

std::string exposition(const GatewayMetrics &metrics)
{
    MetricsText text;
    metrics.write(text);
    return text.text();
}

} // namespace

TEST_GROUP(GatewayMetrics) {};

TEST(GatewayMetrics, RequestsAreCountedByRouteOutcomeAndError)
{
    GatewayMetrics metrics;
    metrics.recordRequest("r-1", Outcome::Answered, std::nullopt, Millis(20));
    metrics.recordRequest("r-1", Outcome::Answered, std::nullopt, Millis(30));
    metrics.recordRequest("r-1", Outcome::NotRun, ErrorKind::NoTarget, Millis(1));
    const std::string text = exposition(metrics);
    STRCMP_CONTAINS("requests_total{route=\"r-1\",outcome=\"answered\",error=\"none\"} 2\n", text.c_str());
    STRCMP_CONTAINS("requests_total{route=\"r-1\",outcome=\"not-run\",error=\"no-target\"} 1\n", text.c_str());
}

TEST(GatewayMetrics, LatenciesAreThoseOfAnsweredRequests)
{
    GatewayMetrics metrics;
    metrics.recordRequest("r-1", Outcome::Answered, std::nullopt, Millis(20));
    metrics.recordRequest("r-1", Outcome::Unknown, ErrorKind::TargetTimeout, Seconds(4));
    const std::string text = exposition(metrics);
    STRCMP_CONTAINS("request_seconds_count{route=\"r-1\"} 1\n", text.c_str());
    STRCMP_CONTAINS("request_seconds_sum{route=\"r-1\"} 0.02\n", text.c_str());
}

TEST(GatewayMetrics, RequestsAreCountedByAccountAndError)
{
    MetricBounds bounds;
    bounds.accounts = 1;
    GatewayMetrics metrics(bounds);
    metrics.recordAccountRequest(AccountName("press"), std::nullopt);
    metrics.recordAccountRequest(AccountName("press"), ErrorKind::RateLimited);
    metrics.recordAccountRequest(AccountName("farm"), std::nullopt);
    const std::string text = exposition(metrics);
    STRCMP_CONTAINS("account_requests_total{account=\"press\",error=\"none\"} 1\n", text.c_str());
    STRCMP_CONTAINS("account_requests_total{account=\"press\",error=\"rate-limited\"} 1\n", text.c_str());
    STRCMP_CONTAINS("account_requests_total{account=\"other\",error=\"none\"} 1\n", text.c_str());
}

TEST(GatewayMetrics, AttemptsAreCountedByTargetAndResult)
{
    GatewayMetrics metrics;
    metrics.recordAttempt(ServiceName("s"), TargetName("t-1"), AttemptResult::Reset, Millis(2));
    const std::string text = exposition(metrics);
    STRCMP_CONTAINS("attempts_total{service=\"s\",target=\"t-1\",result=\"reset\"} 1\n", text.c_str());
    STRCMP_CONTAINS("attempt_seconds_count{service=\"s\"} 1\n", text.c_str());
}

// Guards against unbounded growth of the metrics: targets are replaced continually, each under a new name, and the
// process runs for months.
TEST(GatewayMetrics, NamesBeyondTheBoundAreCountedAsOther)
{
    MetricBounds bounds;
    bounds.targets = 2;
    bounds.routes = 2;
    GatewayMetrics metrics(bounds);
    for (const char *name : { "t-1", "t-2", "t-3", "t-4", "t-1" }) {
        metrics.recordAttempt(ServiceName("s"), TargetName(name), AttemptResult::Success, Millis(2));
        metrics.recordRequest(name, Outcome::Answered, std::nullopt, Millis(2));
    }
    const std::string text = exposition(metrics);
    STRCMP_CONTAINS("target=\"t-1\",result=\"success\"} 2\n", text.c_str());
    STRCMP_CONTAINS("target=\"other\",result=\"success\"} 2\n", text.c_str());
    STRCMP_CONTAINS("requests_total{route=\"other\",outcome=\"answered\",error=\"none\"} 2\n", text.c_str());
    CHECK(text.find("t-3") == std::string::npos);
}
