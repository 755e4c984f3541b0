#include "mulberryplank/state/gatewaymetrics.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

const std::string Other = "other";

// Returns `name` if `known` contains it or has fewer than `bound` entries, otherwise "other".
template<typename Container>
const std::string &boundedName(const Container &known, const std::string &name, std::size_t bound)
{
    return known.size() < bound || known.count(name) > 0 ? name : Other;
}

std::string errorLabel(std::optional<ErrorKind> error)
{
    return error ? std::string(toString(*error)) : "none";
}

} // namespace

} // namespace internal

GatewayMetrics::GatewayMetrics(MetricBounds bounds)
    : m_bounds(bounds)
{
}

void GatewayMetrics::recordRequest(const std::string &route,
                                   Outcome outcome,
                                   std::optional<ErrorKind> error,
                                   Duration latency)
{
    const std::string name = internal::boundedName(m_latencies, route, m_bounds.routes);
    ++m_requests[{ name, outcome, error }];
    LatencySeries &series = m_latencies[name];
    if (outcome == Outcome::Answered) {
        series.record(latency);
    }
}

void GatewayMetrics::recordAccountRequest(const AccountName &account, std::optional<ErrorKind> error)
{
    const std::string name = internal::boundedName(m_accounts, account.value(), m_bounds.accounts);
    m_accounts.insert(name);
    ++m_accountRequests[{ name, error }];
}

void GatewayMetrics::recordAttempt(const ServiceName &service,
                                   const TargetName &target,
                                   AttemptResult result,
                                   Duration latency)
{
    const std::string name = internal::boundedName(m_targets, target.value(), m_bounds.targets);
    m_targets.insert(name);
    const std::string serviceLabel = internal::boundedName(m_attemptLatencies, service.value(), m_bounds.routes);
    ++m_attempts[{ serviceLabel, name, result }];
    m_attemptLatencies[serviceLabel].record(latency);
}

void GatewayMetrics::write(MetricsText &metrics) const
{
    metrics.family("requests_total", "counter", "Requests that have ended, by what the caller may conclude and why.");
    for (const auto &[key, count] : m_requests) {
        const auto &[route, outcome, error] = key;
        metrics.sample(static_cast<double>(count),
                       { { "route", route },
                         { "outcome", std::string(toString(outcome)) },
                         { "error", internal::errorLabel(error) } });
    }
    metrics.family("request_seconds", "histogram", "Time of answered requests, from the header's first byte on.");
    for (const auto &[route, series] : m_latencies) {
        series.write(metrics, { { "route", route } });
    }
    metrics.family("account_requests_total", "counter", "Requests of client accounts that have ended, by error.");
    for (const auto &[key, count] : m_accountRequests) {
        const auto &[account, error] = key;
        metrics.sample(static_cast<double>(count),
                       { { "account", account }, { "error", internal::errorLabel(error) } });
    }
    metrics.family("attempts_total", "counter", "Attempts that have ended, by target and result.");
    for (const auto &[key, count] : m_attempts) {
        const auto &[service, target, result] = key;
        metrics.sample(static_cast<double>(count),
                       { { "service", service }, { "target", target }, { "result", std::string(toString(result)) } });
    }
    metrics.family("attempt_seconds", "histogram", "Time of attempts, until the answer's end or the failure.");
    for (const auto &[service, series] : m_attemptLatencies) {
        series.write(metrics, { { "service", service } });
    }
}

} // namespace mulberryplank
