#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/name.h"
#include "mulberryplank/policy/targethealth.h"
#include "mulberryplank/state/latencyseries.h"

namespace mulberryplank
{

// How many values a label may take. Names come from configurations and targets come and go, so without a bound the
// metrics of a long-lived process would grow for ever. What comes beyond is counted under the name "other". Both bounds
// lie above what one process meets: 58,000 targets are spread over a hundred services and more.
struct MetricBounds {
    std::size_t routes = 256;
    std::size_t targets = 1'024;
};

// A gateway's labelled counters and its latencies. Not synchronized.
class GatewayMetrics
{
public:
    GatewayMetrics()
        : GatewayMetrics(MetricBounds {})
    {
    }

    explicit GatewayMetrics(MetricBounds bounds);
    GatewayMetrics(const GatewayMetrics &) = delete;
    GatewayMetrics &operator=(const GatewayMetrics &) = delete;

    // A request has ended after `latency`, with an error of ours or, without one, with a target's answer. An empty
    // route: none was found.
    void recordRequest(const std::string &route, Outcome outcome, std::optional<ErrorKind> error, Duration latency);

    // An attempt has ended after `latency`.
    void recordAttempt(const ServiceName &service, const TargetName &target, AttemptResult result, Duration latency);

    // Writes the families requests_total, request_seconds, attempts_total and attempt_seconds.
    void write(MetricsText &metrics) const;

private:
    using RequestKey = std::tuple<std::string, Outcome, std::optional<ErrorKind>>;
    using AttemptKey = std::tuple<std::string, std::string, AttemptResult>;

    const MetricBounds m_bounds;
    std::map<RequestKey, std::uint64_t> m_requests;
    std::map<std::string, LatencySeries> m_latencies; // by route; holds every route's name
    std::map<AttemptKey, std::uint64_t> m_attempts;
    std::map<std::string, LatencySeries> m_attemptLatencies; // by service
    std::set<std::string> m_targets; // every target that has a name of its own
};

} // namespace mulberryplank
