#include "gatewayprocess.h"

#include <boost/json.hpp>

#include "directoryapi.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/sleep.h"

namespace mulberryplank
{

namespace asio = boost::asio;

namespace internal
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
// From the start, that callers wait to be told where to connect; they ask another gateway after a second.
constexpr Duration LocateWait = Millis(500);
constexpr Duration JoinedLookAgain = Millis(10);

double number(std::uint64_t value)
{
    return static_cast<double>(value);
}

} // namespace

} // namespace internal

std::uint64_t GatewayProcess::versionInForce() const
{
    const RouteTablePtr routes = m_news->routes();
    return routes ? routes->version : 0;
}

bool GatewayProcess::isReady() const
{
    return m_news->routes() != nullptr && !m_draining;
}

asio::awaitable<AdminAnswer> GatewayProcess::answerReady(AdminRequest request)
{
    if (request.path == platform::ReadyPath) {
        const int status = isReady() ? internal::StatusOk : internal::StatusUnavailable;
        co_return AdminAnswer { status, "application/json", isReady() ? "{\"ready\":true}" : "{\"ready\":false}" };
    }
    co_return AdminAnswer { internal::StatusOk, "text/plain; version=0.0.4", metrics() };
}

asio::awaitable<AdminAnswer> GatewayProcess::answerLocate(AdminRequest request)
{
    co_await awaitJoined();
    const platform::LocateQuery query = platform::decodeLocateQuery(request.query);
    if (!m_members || m_members->snapshot() != m_followed) {
        followMembers();
    }
    co_return AdminAnswer { internal::StatusOk,
                            "application/json",
                            platform::encodeLocateResponse(locate(query.failureDomain)) };
}

// A gateway that has just started knows nobody, and would send its callers to itself, however weak it is.
asio::awaitable<void> GatewayProcess::awaitJoined()
{
    while (!m_newsBegun && Clock::now() < m_startedAt + internal::LocateWait) {
        co_await sleepFor(m_worker.context, internal::JoinedLookAgain);
    }
}

std::string GatewayProcess::dump() const
{
    const Instant now = Clock::now();
    boost::json::object state;
    state["vm"] = m_settings.vm.value();
    state["ready"] = isReady();
    state["draining"] = m_draining;
    state["version"] = versionInForce();
    state["store_answers"] = m_news->storeResponds();
    state["store_calls"] = m_store.calls();
    state["in_flight"] = m_gateway.inFlight;
    state["connections"] = m_gateway.connections;
    state["members"] = members().size();
    boost::json::array entries;
    for (const Member &entry : m_entries) {
        entries.emplace_back(entry.vm.value());
    }
    state["entries"] = std::move(entries);
    boost::json::object services;
    for (const auto &[name, known] : m_services) {
        boost::json::array targets;
        for (const BalancedTarget &target : known->balancer.dump(now)) {
            targets.push_back({ { "id", target.target.id.value() },
                                { "draining", target.target.draining },
                                { "in_flight", target.inFlight },
                                { "risk", target.risk },
                                { "load", target.load },
                                { "slowness", target.slowness } });
        }
        services[name.value()] = std::move(targets);
    }
    state["services"] = std::move(services);
    return boost::json::serialize(state);
}

std::string GatewayProcess::metrics() const
{
    using internal::number;
    MetricsText text;
    m_gateway.forward.metrics.write(text);
    writeRequestMetrics(text);
    writeServiceMetrics(text);
    const std::optional<Instant> listRead = m_news->targetsReadAt();
    text.single("config_version", "gauge", "Version of the configuration in force.", number(versionInForce()));
    text.single("target_list_age_seconds",
                "gauge",
                "Since the list of targets was read from the store; -1 before it was.",
                listRead ? toSeconds(Clock::now() - *listRead) : -1);
    text.single("store_answers", "gauge", "1 while the store answers this process.", m_news->storeResponds() ? 1 : 0);
    text.single("store_calls_total", "counter", "Calls to the store.", number(m_store.calls()));
    text.single("members", "gauge", "Gateways that this one knows, itself included.", number(members().size()));
    text.single("entries", "gauge", "Gateways that callers are named.", number(m_entries.size()));
    text.single("log_lines_dropped_total", "counter", "Lines that the log dropped.", number(m_linesDropped()));
    return text.text();
}

void GatewayProcess::writeRequestMetrics(MetricsText &text) const
{
    using internal::number;
    const ForwardCounters &counters = m_gateway.forward.counters;
    text.single("in_flight", "gauge", "Requests under way.", number(m_gateway.inFlight));
    text.single("caller_connections", "gauge", "Open connections of callers.", number(m_gateway.connections));
    text.single("connections_refused_total",
                "counter",
                "Connections of callers beyond the bound, each told to come back.",
                number(m_gateway.connectionsRefused));
    text.single("accept_errors_total",
                "counter",
                "Connections that could not be taken, mostly for lack of descriptors.",
                number(m_gateway.acceptErrors));
    text.single("retries_total", "counter", "Attempts after a failed one.", number(counters.retries));
    text.single("hedges_total", "counter", "Attempts beside a slow one.", number(counters.hedges));
    text.single("budget_refused_total",
                "counter",
                "Further attempts that the budget did not allow.",
                number(counters.budgetRefused));
    text.single("budget_lent_total",
                "counter",
                "Further attempts of the budget that other gateways were lent.",
                number(counters.budgetLent));
    text.single("budget_borrowed_total",
                "counter",
                "Further attempts of the budget that other gateways lent this one.",
                number(counters.budgetBorrowed));
    text.single("target_connects_total", "counter", "New connections to targets.", number(counters.connects));
    text.single("foreign_answers_total",
                "counter",
                "Answers of targets to some other request, not passed on.",
                number(counters.foreignAnswers));
}

void GatewayProcess::writeServiceMetrics(MetricsText &text) const
{
    const Instant now = Clock::now();
    text.family("budget_left", "gauge", "Further attempts that a service has left at the moment.");
    for (const auto &[name, known] : m_services) {
        text.sample(known->budget.left(now), { { "service", name.value() } });
    }
    text.family("targets", "gauge", "Targets of a service, by what this process thinks of them.");
    for (const auto &[name, known] : m_services) {
        const TargetCounts counts = known->balancer.counts();
        text.sample(counts.suspected, { { "service", name.value() }, { "state", "suspected" } });
        text.sample(counts.draining, { { "service", name.value() }, { "state", "draining" } });
        text.sample(counts.trusted, { { "service", name.value() }, { "state", "trusted" } });
    }
}

} // namespace mulberryplank
