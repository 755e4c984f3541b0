#include "gatewayprocess.h"

#include <boost/json.hpp>

#include "directoryapi.h"

namespace mulberryplank
{

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace internal
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

void addCounter(std::string &text, std::string_view name, std::uint64_t value)
{
    text += "mulberryplank_" + std::string(name) + " " + std::to_string(value) + "\n";
}

} // namespace

} // namespace internal

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
    co_return AdminAnswer { internal::StatusOk, "text/plain", metrics() };
}

asio::awaitable<AdminAnswer> GatewayProcess::answerLocate(AdminRequest request)
{
    const platform::LocateQuery query = platform::decodeLocateQuery(request.query);
    followMembers();
    co_return AdminAnswer { internal::StatusOk,
                            "application/json",
                            platform::encodeLocateAnswer(locate(query.failureDomain)) };
}

std::string GatewayProcess::dump() const
{
    const Instant now = Clock::now();
    boost::json::object state;
    state["vm"] = m_settings.vm.value();
    state["ready"] = isReady();
    state["draining"] = m_draining;
    state["version"] = m_news->routes() ? m_news->routes()->version : 0;
    state["store_answers"] = m_news->storeAnswers();
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
    const ForwardCounters &counters = m_gateway.forward.counters;
    std::string text;
    internal::addCounter(text, "requests_total", counters.requests);
    internal::addCounter(text, "answered_total", counters.answered);
    internal::addCounter(text, "refused_total", counters.refused);
    internal::addCounter(text, "failed_total", counters.failed);
    internal::addCounter(text, "callers_gone_total", counters.callersGone);
    internal::addCounter(text, "retries_total", counters.retries);
    internal::addCounter(text, "hedges_total", counters.hedges);
    internal::addCounter(text, "budget_refused_total", counters.budgetRefused);
    internal::addCounter(text, "target_connects_total", counters.connects);
    internal::addCounter(text, "foreign_answers_total", counters.foreignAnswers);
    internal::addCounter(text, "store_calls_total", m_store.calls());
    internal::addCounter(text, "in_flight", m_gateway.inFlight);
    internal::addCounter(text, "caller_connections", m_gateway.connections);
    internal::addCounter(text, "config_version", m_news->routes() ? m_news->routes()->version : 0);
    internal::addCounter(text, "members", members().size());
    return text;
}

} // namespace mulberryplank
