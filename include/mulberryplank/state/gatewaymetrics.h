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

// Maximum numbers of label values. Names come from configurations and targets are replaced over time, so without a
// bound the metrics of a long-running process would grow indefinitely. Further values are counted under the name
// "other". Both bounds exceed what one process sees: 58,000 targets are spread over a hundred or more services.
struct MetricBounds {
    std::size_t routes = 256;
    std::size_t targets = 1'024;
    std::size_t accounts = 256;
};

// A gateway's labelled counters and its latencies. Thread-compatible.
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

    // Records a request that ended after `latency`, with an error of the gateway or, without one, with a target's
    // response. An empty `route` means that no route was found.
    void recordRequest(const std::string &route, Outcome outcome, std::optional<ErrorKind> error, Duration latency);

    // Records a request of a client account that ended. An error of the gateway, such as RateLimited, or none.
    void recordAccountRequest(const AccountName &account, std::optional<ErrorKind> error);

    // Records an attempt that ended after `latency`.
    void recordAttempt(const ServiceName &service, const TargetName &target, AttemptResult result, Duration latency);

    // Writes the families requests_total, request_seconds, account_requests_total, attempts_total and attempt_seconds.
    void write(MetricsText &metrics) const;

private:
    using RequestKey = std::tuple<std::string, Outcome, std::optional<ErrorKind>>;
    using AttemptKey = std::tuple<std::string, std::string, AttemptResult>;

    const MetricBounds m_bounds;
    std::map<RequestKey, std::uint64_t> m_requests;
    std::map<std::string, LatencySeries> m_latencies; // by route; its keys are the known route names
    std::map<std::pair<std::string, std::optional<ErrorKind>>, std::uint64_t> m_accountRequests;
    std::set<std::string> m_accounts; // accounts that are counted under their own name
    std::map<AttemptKey, std::uint64_t> m_attempts;
    std::map<std::string, LatencySeries> m_attemptLatencies; // by service
    std::set<std::string> m_targets; // targets that are counted under their own name
};

} // namespace mulberryplank
