#include "mulberryplank/base/eventfields.h"

#include <map>

namespace mulberryplank
{

namespace internal
{

namespace
{

using FieldKeys = std::vector<std::string_view>;

const std::map<Event, FieldKeys> &fieldTable()
{
    static const std::map<Event, FieldKeys> Table {
        { Event::ProcessStarted, { "vm", "incarnation", "version", "listen", "admin", "peer" } },
        { Event::ProcessReady, { "vm", "offset", "source" } },
        { Event::DrainStarted, { "vm", "in_flight", "limit_ms" } },
        { Event::DrainFinished,
          { "vm", "in_flight", "cut", "connections", "tunnels", "duration_ms", "late_attempts" } },
        { Event::StateDumped, { "vm", "dump" } },
        { Event::SettingsRefused, { "vm", "detail" } },
        { Event::StopRepeated, { "vm", "in_flight", "detail" } },
        { Event::EditApplied, { "edit", "offset", "status", "source", "detail" } },
        { Event::EditRefused, { "edit", "offset", "status", "source", "detail" } },
        { Event::RecordUnreadable, { "stream", "offset", "detail" } },
        { Event::SnapshotLoaded, { "offset", "source", "detail" } },
        { Event::SnapshotPublished, { "offset", "records", "detail" } },
        { Event::LogWentBack, { "stream", "applied", "detail" } },
        { Event::LearntFromPeer, { "peer", "applied", "detail" } },
        { Event::BehindLog, { "applied", "newest", "detail" } },
        { Event::RoutesInForce,
          { "version", "source", "routes", "services", "bytes", "received", "base", "receive_ms", "decode_ms" } },
        { Event::TargetListChanged, { "targets", "draining", "offset", "source" } },
        { Event::SettingsReloaded, { "detail" } },
        { Event::NewsReadFailed, { "stream", "source", "duration_ms", "unlogged_before", "detail" } },
        { Event::ConfigurationBehind, { "version", "newest", "duration_ms", "source" } },
        { Event::ConfigurationPacked, { "version", "bytes", "packed", "base", "duration_ms" } },
        { Event::MemberJoined, { "vm", "incarnation", "peer", "failure_domain", "status", "detail" } },
        { Event::MemberSuspected, { "vm", "incarnation", "peer", "failure_domain", "status", "detail" } },
        { Event::MemberDead, { "vm", "incarnation", "peer", "failure_domain", "status", "detail" } },
        { Event::MemberLeft, { "vm", "incarnation", "peer", "failure_domain", "status", "detail" } },
        { Event::MemberOneWay, { "vm", "incarnation", "peer", "failure_domain", "status", "detail" } },
        { Event::PlacementChanged, { "service", "carried", "members", "detail" } },
        { Event::SeedNamed, { "vm", "members", "gone", "detail" } },
        { Event::FleetJoined, { "vm", "seeds", "members", "duration_ms", "detail" } },
        { Event::MemberExchangeFailed, { "address", "members", "duration_ms", "unlogged_before", "detail" } },
        { Event::RequestFailed,
          { "request", "account", "service", "route", "target", "kind", "outcome", "duration_ms", "detail" } },
        { Event::RequestRetried, { "request", "account", "service", "route", "target", "kind", "attempt", "detail" } },
        { Event::BodyResumed, { "request", "account", "service", "route", "target", "offset", "detail" } },
        { Event::BodyAborted,
          { "request", "account", "service", "route", "target", "kind", "outcome", "bytes", "dropped", "detail" } },
        { Event::ConnectionSilent, { "service", "target", "address", "detail" } },
        { Event::RequestCutByDrain, { "request", "account", "service", "target", "outcome", "detail" } },
        { Event::AttemptFailed,
          { "request", "content", "service", "route",       "config",   "target",          "address",
            "result",  "attempt", "sent",    "reused",      "response", "status",          "duration_ms",
            "left_ms", "risk",    "load",    "load_age_ms", "budget",   "budget_requests", "budget_spent" } },
        { Event::RequestEnded,
          { "request",
            "content",
            "route",
            "service",
            "account",
            "config",
            "kind",
            "outcome",
            "error",
            "attempts",
            "target",
            "status",
            "caller",
            "duration_ms",
            "left_ms" } },
        { Event::RequestRefused, { "request", "content", "route", "account", "config", "kind", "outcome", "detail" } },
        { Event::TargetCrashed, { "target", "requests", "contents", "duration_ms" } },
        { Event::RequestQuarantined, { "content", "source", "left_ms" } },
        { Event::RequestReleased, { "content" } },
        { Event::PipelineFull, { "requests", "waiting_bytes" } },
        { Event::ResponseDiscarded, { "request", "service", "target", "reused", "response", "status", "notrun" } },
        { Event::TargetSuspected, { "service", "target", "failure_domain", "belief", "evidence", "detail" } },
        { Event::TargetEjected, { "service", "target", "failure_domain", "detail" } },
        { Event::TargetOnTrial, { "service", "target", "failure_domain", "detail" } },
        { Event::TargetReturned, { "service", "target", "failure_domain", "belief", "evidence", "detail" } },
        { Event::FloorBinds, { "service", "target", "floor", "in_service", "detail" } },
        { Event::AllSlow, { "service", "detail" } },
        { Event::PathSuspected, { "service", "target", "detail" } },
        { Event::TargetRateLimited, { "service", "target", "per_second", "source" } },
        { Event::PathLost, { "service", "lost_paths" } },
        { Event::PathRestored, { "service", "lost_paths" } },
        { Event::TargetResting, { "service", "target", "left_ms", "source" } },
        { Event::TargetLeaving, { "service", "target", "source" } },
        { Event::AccountLimited, { "account", "service", "kind", "count", "detail" } },
        { Event::ShareChanged, { "account", "service", "share", "limit", "detail" } },
        { Event::RetryAllowanceChanged, { "share", "ingress_gateways" } },
        { Event::DomainShareChanged, { "service", "failure_domain", "share", "receivers" } },
        { Event::PlatformDown, { "service", "address", "stream", "detail" } },
        { Event::PlatformBack, { "service", "address", "stream", "detail" } },
        { Event::PlatformWentBack, { "era", "before" } },
        { Event::CallerRefused, { "request", "account", "service", "kind", "path", "address", "detail" } },
        { Event::PeerRefused, { "from", "vm", "reason", "unlogged_before", "detail" } },
        { Event::FleetKeyChanged, { "keys", "detail" } },
    };
    return Table;
}

} // namespace

} // namespace internal

const std::vector<std::string_view> &eventFields(Event event)
{
    static const internal::FieldKeys None;
    const auto found = internal::fieldTable().find(event);
    return found == internal::fieldTable().end() ? None : found->second;
}

} // namespace mulberryplank
