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
// How long after the start a locate request may wait. Callers query another gateway after a second.
constexpr Duration LocateWait = Millis(500);
constexpr Duration JoinPollInterval = Millis(10);

double toDouble(std::uint64_t value)
{
    return static_cast<double>(value);
}

} // namespace

} // namespace internal

std::uint64_t GatewayProcess::versionInForce() const
{
    const RouteTablePtr routes = m_discovery->routes();
    return routes ? routes->version : 0;
}

bool GatewayProcess::isReady() const
{
    return m_discovery->routes() != nullptr && !m_draining;
}

// A gateway without a path to any target serves its callers through others, but costs them time and bytes.
bool GatewayProcess::isSelectable() const
{
    return isReady() && !isIsolated();
}

asio::awaitable<AdminResponse> GatewayProcess::handleReady(AdminRequest request)
{
    if (request.path == platform::ReadyPath) {
        const int status = isReady() ? internal::StatusOk : internal::StatusUnavailable;
        co_return AdminResponse { status, "application/json", isReady() ? "{\"ready\":true}" : "{\"ready\":false}" };
    }
    co_return AdminResponse { internal::StatusOk, "text/plain; version=0.0.4", metrics() };
}

asio::awaitable<AdminResponse> GatewayProcess::handleLocate(AdminRequest request)
{
    co_await awaitJoin();
    const platform::LocateQuery query = platform::decodeLocateQuery(request.query);
    if (!m_members || m_members->snapshot() != m_appliedMembers) {
        applyMembers();
    }
    co_return AdminResponse { internal::StatusOk,
                              "application/json",
                              platform::encodeLocateResponse(locate(query.failureDomain)) };
}

// Waits until the gateway has joined the fleet. Before that it knows no other member and would direct all its callers
// to itself, whatever its capacity.
asio::awaitable<void> GatewayProcess::awaitJoin()
{
    while (!m_discoveryStarted && Clock::now() < m_startedAt + internal::LocateWait) {
        co_await sleepFor(m_worker.context, internal::JoinPollInterval);
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
    state["store_answers"] = m_discovery->storeResponds();
    state["store_calls"] = m_store.calls();
    state["in_flight"] = m_gateway.inFlight;
    state["connections"] = m_gateway.connections;
    state["members"] = members().size();
    boost::json::array ingressNames;
    for (const Member &member : m_ingressMembers) {
        ingressNames.emplace_back(member.vm.value());
    }
    state["entries"] = std::move(ingressNames);
    boost::json::array lostPaths;
    for (const ServiceName &name : m_lostPaths) {
        lostPaths.emplace_back(name.value());
    }
    state["lost_paths"] = std::move(lostPaths);
    state["tunnels"] = m_tunnels.count();
    boost::json::array quarantined;
    for (const QuarantinedRequest &entry : m_poison->quarantined()) {
        quarantined.push_back({ { "content", toString(entry.request) }, { "left_s", toSeconds(entry.left) } });
    }
    state["quarantined"] = std::move(quarantined);
    boost::json::object accounts;
    m_allowances.forEach([&accounts](const AccountName &name, const AllowanceUse &use) {
        accounts[name.value()] = { { "admitted", use.admitted },
                                   { "refused", use.refused },
                                   { "borrowed", use.borrowed },
                                   { "kept_for_urgent", use.keptForUrgent } };
    });
    state["limited_accounts"] = std::move(accounts);
    boost::json::object services;
    for (const auto &[name, known] : m_services) {
        boost::json::array targets;
        for (const BalancedTarget &target : known->balancer.dump(now)) {
            const boost::json::value rateLimit = target.rateLimit ? boost::json::value(*target.rateLimit) : nullptr;
            targets.push_back({ { "id", target.target.id.value() },
                                { "draining", target.target.draining },
                                { "in_flight", target.inFlight },
                                { "risk", target.risk },
                                { "load", target.load },
                                { "slowness", target.slowness },
                                { "rate_limit", rateLimit } });
        }
        services[name.value()] = std::move(targets);
    }
    state["services"] = std::move(services);
    return boost::json::serialize(state);
}

std::string GatewayProcess::metrics() const
{
    using internal::toDouble;
    MetricsText text;
    m_gateway.forward.metrics.write(text);
    writeRequestMetrics(text);
    writeServiceMetrics(text);
    writeDomainMetrics(text);
    const std::optional<Instant> listRead = m_discovery->targetsReadAt();
    text.single("config_version", "gauge", "Version of the configuration in force.", toDouble(versionInForce()));
    text.single("target_list_age_seconds",
                "gauge",
                "Since the list of targets was read from the store; -1 before it was.",
                listRead ? toSeconds(Clock::now() - *listRead) : -1);
    text.single(
        "store_answers", "gauge", "1 while the store answers this process.", m_discovery->storeResponds() ? 1 : 0);
    text.single("store_calls_total", "counter", "Calls to the store.", toDouble(m_store.calls()));
    text.single("members", "gauge", "Gateways that this one knows, itself included.", toDouble(members().size()));
    text.single("entries", "gauge", "Gateways that callers are named.", toDouble(m_ingressMembers.size()));
    text.single("lost_paths",
                "gauge",
                "Services whose targets this process can't reach, and uses other gateways for.",
                toDouble(m_lostPaths.size()));
    text.single(
        "tunnels", "gauge", "Connections of other gateways to targets through this one.", toDouble(m_tunnels.count()));
    text.single("quarantined_requests",
                "gauge",
                "Requests that are refused because they crash their targets.",
                toDouble(m_poison->quarantined().size()));
    text.single("log_lines_dropped_total", "counter", "Lines that the log dropped.", toDouble(m_linesDropped()));
    return text.text();
}

void GatewayProcess::writeRequestMetrics(MetricsText &text) const
{
    using internal::toDouble;
    const ForwardCounters &counters = m_gateway.forward.counters;
    text.single("in_flight", "gauge", "Requests under way.", toDouble(m_gateway.inFlight));
    text.single("caller_connections", "gauge", "Open connections of callers.", toDouble(m_gateway.connections));
    text.single("connections_refused_total",
                "counter",
                "Connections of callers beyond the bound, each told to come back.",
                toDouble(m_gateway.connectionsRefused));
    text.single("accept_errors_total",
                "counter",
                "Connections that could not be taken, mostly for lack of descriptors.",
                toDouble(m_gateway.acceptErrors));
    text.single("pipelined_requests_total",
                "counter",
                "Requests read while earlier ones of their connection were in progress.",
                toDouble(m_gateway.pipelined));
    text.single("reading_stops_total",
                "counter",
                "Times that a connection had too many requests in progress, or too large responses waiting.",
                toDouble(m_gateway.readingStops));
    text.family("buffered_bytes", "gauge", "Memory that the bodies of requests and responses take of the budget.");
    for (const BufferUse use : { BufferUse::RequestBody, BufferUse::ResponseBody }) {
        text.sample(toDouble(m_gateway.forward.buffers.heldBytes(use)), { { "body", std::string(toString(use)) } });
    }
    text.family("buffer_refusals_total", "counter", "Bodies for which there was no memory left.");
    for (const BufferUse use : { BufferUse::RequestBody, BufferUse::ResponseBody }) {
        text.sample(toDouble(m_gateway.forward.buffers.refusals(use)), { { "body", std::string(toString(use)) } });
    }
    text.single("retries_total", "counter", "Attempts after a failed one.", toDouble(counters.retries));
    text.single("hedges_total", "counter", "Attempts beside a slow one.", toDouble(counters.hedges));
    text.single("budget_refused_total",
                "counter",
                "Further attempts that the budget did not allow.",
                toDouble(counters.budgetRefused));
    text.single("budget_lent_total",
                "counter",
                "Further attempts of the budget that other gateways were lent.",
                toDouble(counters.budgetLent));
    text.single("budget_borrowed_total",
                "counter",
                "Further attempts of the budget that other gateways lent this one.",
                toDouble(counters.budgetBorrowed));
    text.single("target_connects_total", "counter", "New connections to targets.", toDouble(counters.connects));
    text.single("relayed_connects_total",
                "counter",
                "New connections to targets through other gateways.",
                toDouble(counters.relayedConnects));
    text.single("foreign_answers_total",
                "counter",
                "Answers of targets to some other request, not passed on.",
                toDouble(counters.mismatchedResponses));
    text.single("unidentified_answers_total",
                "counter",
                "Answers of targets without the id of a request.",
                toDouble(counters.unidentifiedResponses));
}

void GatewayProcess::writeServiceMetrics(MetricsText &text) const
{
    using internal::toDouble;
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
    text.family("trials_total", "counter", "Requests that tested a target of a service that was unused.");
    for (const auto &[name, known] : m_services) {
        const TrialCounts &counts = known->balancer.trialCounts();
        text.sample(toDouble(counts.doubtful), { { "service", name.value() }, { "target", "doubtful" } });
        text.sample(toDouble(counts.others), { { "service", name.value() }, { "target", "other" } });
    }
}

} // namespace mulberryplank
