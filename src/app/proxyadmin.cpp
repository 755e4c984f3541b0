#include "proxyprocess.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

#include "mulberryplank/app/statejson.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/policy/tablecsv.h"

namespace mulberryplank
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace internal
{

constexpr std::uint64_t DefaultEditWaitMillis = 5'000;
constexpr std::uint64_t MaxEditWaitMillis = 60'000;
constexpr Duration InForcePollInterval = Millis(20);

template<typename Items>
std::string jsonArrayOf(const Items &items)
{
    json::array array;
    for (const auto &item : items) {
        array.push_back(toJson(*item));
    }
    return json::serialize(array) + "\n";
}

AdminResponse jsonResponse(std::string body)
{
    return AdminResponse { 200, "application/json", std::move(body) };
}

} // namespace internal

asio::awaitable<AdminResponse> ProxyProcess::handleOperatorRequest(AdminRequest request)
{
    if (request.method == "POST" && request.path == "/-/edit") {
        co_return co_await handleEdit(std::move(request));
    }
    if (request.method == "POST" && request.path == "/-/drain") {
        stop(StopRequest::Operator);
        co_return internal::jsonResponse("{\"draining\":true}\n");
    }
    if (request.method == "GET") {
        if (const std::optional<AdminResponse> response = handleQuery(request)) {
            co_return *response;
        }
    }
    co_return adminErrorResponse(Error { ErrorKind::NotFound, "no such page: " + request.method + " " + request.path });
}

asio::awaitable<AdminResponse> ProxyProcess::handleEdit(AdminRequest request)
{
    const Result<Edit> edit = decodeEdit(request.body);
    if (!edit) {
        co_return adminErrorResponse(edit.error());
    }
    const std::uint64_t requestedWait = queryNumber(request.query, "wait_ms", internal::DefaultEditWaitMillis);
    const Millis wait(std::min(requestedWait, internal::MaxEditWaitMillis));
    const Result<EditOutcome> outcome =
        co_await m_configSync->submit(*edit, std::max(wait, Millis(internal::DefaultEditWaitMillis)));
    if (!outcome) {
        co_return adminErrorResponse(outcome.error());
    }
    if (outcome->status == EditStatus::Conflict) {
        co_return adminErrorResponse(Error { ErrorKind::Conflict, outcome->detail });
    }
    if (outcome->status != EditStatus::Accepted) {
        co_return adminErrorResponse(Error { ErrorKind::BadConfiguration, outcome->detail });
    }
    applyConfiguration();
    Timer timer(m_control);
    const Instant deadline = Clock::now() + wait;
    while (!isInForceEverywhere(outcome->offset) && Clock::now() < deadline) {
        timer.expires_after(internal::InForcePollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    json::array inForce;
    json::array missing;
    for (const Member &member : members()) {
        const bool isInForce = member.applied > outcome->offset;
        if (isInForce || member.status != MemberStatus::Dead) {
            (isInForce ? inForce : missing).push_back(toJsonString(member.vm.value()));
        }
    }
    const json::object body { { "status", "accepted" },
                              { "offset", outcome->offset },
                              { "in_force", std::move(inForce) },
                              { "missing", std::move(missing) } };
    co_return internal::jsonResponse(json::serialize(body) + "\n");
}

bool ProxyProcess::isInForceEverywhere(Offset offset) const
{
    for (const Member &member : members()) {
        if (member.applied <= offset && member.status != MemberStatus::Dead) {
            return false;
        }
    }
    return true;
}

std::optional<AdminResponse> ProxyProcess::handleQuery(const AdminRequest &request) const
{
    std::string body;
    if (request.path == "/-/table") {
        return AdminResponse { 200, "text/csv", table() };
    }
    if (request.path == "/metrics") {
        return AdminResponse { 200, "text/plain; version=0.0.4", metrics() };
    }
    if (request.path == "/-/ready") {
        const bool ready = m_callers.ready && !m_draining;
        return AdminResponse { ready ? 200 : 503,
                               "application/json",
                               ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n" };
    }
    if (request.path == "/-/status") {
        return internal::jsonResponse(json::serialize(statusJson()) + "\n");
    }
    if (request.path == "/-/dump") {
        return internal::jsonResponse(dump() + "\n");
    }
    if (request.path == "/-/members") {
        json::array all;
        for (const Member &member : members()) {
            all.push_back(toJson(member));
        }
        return internal::jsonResponse(json::serialize(all) + "\n");
    }
    if (request.path == "/-/accounts") {
        m_config.read([&body](const ConfigTable &table) {
            body = internal::jsonArrayOf(table.accounts());
        });
        return internal::jsonResponse(body);
    }
    if (request.path == "/-/services") {
        m_config.read([&body](const ConfigTable &table) {
            body = internal::jsonArrayOf(table.services());
        });
        return internal::jsonResponse(body);
    }
    if (request.path == "/-/targets") {
        m_config.read([&body](const ConfigTable &table) {
            json::array all;
            for (const Service *service : table.services()) {
                for (const Target *target : table.targetsOf(service->name)) {
                    all.push_back(toJson(*target));
                }
            }
            body = json::serialize(all) + "\n";
        });
        return internal::jsonResponse(body);
    }
    return std::nullopt;
}

std::string ProxyProcess::table() const
{
    std::string csv;
    m_config.read([&csv](const ConfigTable &table) {
        csv = exportTable(table);
    });
    return csv;
}

json::object ProxyProcess::statusJson() const
{
    const ConfigStatus config = m_configSync->status();
    json::array all;
    for (const Member &member : members()) {
        all.push_back(toJson(member));
    }
    json::array services;
    for (const ServedService &served : m_services.all()) {
        services.push_back(toJson(served.state->summary()));
    }
    return { { "vm", m_settings.vm.value() },
             { "failure_domain", m_settings.failureDomain.value() },
             { "version", MULBERRYPLANK_VERSION },
             { "ready", m_callers.ready.load() },
             { "draining", m_draining },
             { "configuration", toJsonString(toString(config.phase)) },
             { "detail", config.detail },
             { "applied", m_assignedServices->applied() },
             { "carried", m_assignedServices->count() },
             { "newest", config.newest },
             { "behind", config.behind },
             { "reads_log", config.readsLog },
             { "log_reachable", config.logReachable || !config.readsLog },
             { "log_went_back", config.logWentBack },
             { "members", std::move(all) },
             { "services", std::move(services) } };
}

std::string ProxyProcess::dump() const
{
    json::object dump = statusJson();
    dump["incarnation"] = m_incarnation;
    dump["uptime_seconds"] = toSeconds(Clock::now() - m_started);
    dump["once_keys"] = m_atMostOnceState.size();
    dump["control_bytes_sent"] = m_peers->bytesSent();
    dump["control_bytes_received"] = m_peers->bytesReceived();
    const CallerCounters &counters = m_callers.counters;
    dump["callers"] = json::object {
        { "connections", counters.connections.load() }, { "requests_under_way", counters.requests.load() },
        { "answered", counters.answered.load() },       { "refused", counters.refused.load() },
        { "aborted", counters.aborted.load() },         { "retries", counters.retries.load() },
        { "hedges", counters.hedges.load() },           { "resumes", counters.resumes.load() },
        { "bytes", counters.bytesToCallers.load() }
    };
    return json::serialize(dump);
}

std::string ProxyProcess::metrics() const
{
    const CallerCounters &counters = m_callers.counters;
    const auto toDouble = [](std::uint64_t value) {
        return static_cast<double>(value);
    };
    MetricsText text;
    text.single("caller_connections", "gauge", "Open connections of callers.", toDouble(counters.connections));
    text.single("requests_under_way", "gauge", "Requests under way.", toDouble(counters.requests));
    text.single("answered_total", "counter", "Answers passed on whole.", toDouble(counters.answered));
    text.single("refused_total", "counter", "Requests answered with an error.", toDouble(counters.refused));
    text.single("aborted_total", "counter", "Answers broken off.", toDouble(counters.aborted));
    text.single("retries_total", "counter", "Attempts after a failed one.", toDouble(counters.retries));
    text.single("hedges_total", "counter", "Attempts beside a slow one.", toDouble(counters.hedges));
    text.single("resumes_total", "counter", "Downloads continued elsewhere.", toDouble(counters.resumes));
    text.single("config_applied", "gauge", "Log offset in force.", toDouble(m_config.applied()));
    m_metrics.write(text);
    return text.text();
}

} // namespace mulberryplank
