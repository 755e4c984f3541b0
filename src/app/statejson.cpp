#include "mulberryplank/app/statejson.h"

namespace mulberryplank
{

namespace json = boost::json;

json::string toJsonString(std::string_view text)
{
    return json::string(json::string_view(text.data(), text.size()));
}

json::object toJson(const Endpoint &endpoint)
{
    return { { "host", endpoint.host }, { "port", endpoint.port } };
}

json::object toJson(const Member &member)
{
    return { { "vm", member.vm.value() },
             { "incarnation", member.incarnation },
             { "peer", toString(member.peer) },
             { "caller", toString(member.caller) },
             { "failure_domain", member.failureDomain.value() },
             { "status", toJsonString(toString(member.status)) },
             { "applied", member.applied },
             { "ready", member.ready } };
}

json::object toJson(const Account &account)
{
    return { { "name", account.name.value() }, { "version", account.version } };
}

json::object toJson(const Service &service)
{
    json::array routes;
    for (const Route &route : service.routes) {
        routes.push_back(json::object { { "name", route.name },
                                        { "method", route.method },
                                        { "path_prefix", route.pathPrefix },
                                        { "idempotent", route.idempotent },
                                        { "timeout_ms", route.timeout.count() },
                                        { "progress_timeout_ms", route.progressTimeout.count() } });
    }
    return { { "name", service.name.value() },
             { "version", service.version },
             { "detection", toJsonString(toString(service.detection)) },
             { "floor_share", service.floorShare },
             { "floor_count", service.floorCount },
             { "slots_per_target", service.slotsPerTarget },
             { "connections_per_target", service.connectionsPerTarget },
             { "routes", std::move(routes) } };
}

json::object toJson(const Target &target)
{
    return { { "name", target.name.value() },
             { "version", target.version },
             { "service", target.service.value() },
             { "host", target.host },
             { "port", target.port },
             { "failure_domain", target.failureDomain.value() } };
}

json::object toJson(const TargetState &target)
{
    return { { "target", target.health.target.value() },
             { "address", toString(target.endpoint) },
             { "failure_domain", target.failureDomain.value() },
             { "phase", toJsonString(toString(target.health.phase)) },
             { "weight", target.health.weight },
             { "own_suspicion", target.health.ownSuspicion },
             { "joint_suspicion", target.health.jointSuspicion },
             { "threshold", target.health.threshold },
             { "path_only", target.health.pathOnly },
             { "waits_for_floor", target.health.waitsForFloor },
             { "times_ejected", target.health.timesEjected },
             { "in_flight", target.inFlight },
             { "limit", target.limit },
             { "attempts", target.attempts },
             { "failures", target.failures } };
}

json::object toJson(const AccountState &account)
{
    const Refusals &refused = account.usage.refused;
    return { { "account", account.account.value() },
             { "weight", account.weight },
             { "entitled", account.usage.entitled },
             { "used_slot_seconds", toSeconds(account.usage.used) },
             { "queued", account.usage.queued },
             { "running", account.usage.running },
             { "started", account.usage.started },
             { "refused",
               json::object { { "rate_limited", refused.rateLimited },
                              { "in_flight_limited", refused.inFlightLimited },
                              { "queue_full", refused.queueFull },
                              { "deadline_before_start", refused.deadlineBeforeStart },
                              { "expired", refused.expired } } } };
}

json::object toJson(const ServiceSummary &summary)
{
    json::array targets;
    for (const TargetState &target : summary.targets) {
        targets.push_back(toJson(target));
    }
    json::array accounts;
    for (const AccountState &account : summary.accounts) {
        accounts.push_back(toJson(account));
    }
    return { { "service", summary.service.value() }, { "waiting", summary.waiting },
             { "running", summary.running },         { "floor", summary.floor },
             { "floor_binds", summary.floorBinds },  { "retry_tokens", summary.retryTokens },
             { "targets", std::move(targets) },      { "accounts", std::move(accounts) } };
}

} // namespace mulberryplank
