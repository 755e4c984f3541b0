#include "mulberryplank/base/event.h"

#include <stdexcept>

namespace mulberryplank
{

const std::vector<EventInfo> &eventCatalogue()
{
    static const std::vector<EventInfo> Catalogue {
        { Event::ProcessStarted, "process-started", Severity::Info },
        { Event::ProcessReady, "process-ready", Severity::Info },
        { Event::DrainStarted, "drain-started", Severity::Info },
        { Event::DrainFinished, "drain-finished", Severity::Info },
        { Event::StateDumped, "state-dumped", Severity::Info },
        { Event::SettingsRefused, "settings-refused", Severity::Error },
        { Event::StopRepeated, "stop-repeated", Severity::Info },
        { Event::EditApplied, "edit-applied", Severity::Info },
        { Event::EditRefused, "edit-refused", Severity::Info },
        { Event::RecordUnreadable, "record-unreadable", Severity::Error },
        { Event::SnapshotLoaded, "snapshot-loaded", Severity::Info },
        { Event::SnapshotPublished, "snapshot-published", Severity::Info },
        { Event::LogWentBack, "log-went-back", Severity::Error },
        { Event::LearntFromPeer, "learnt-from-peer", Severity::Debug },
        { Event::BehindLog, "behind-log", Severity::Warning },
        { Event::RoutesInForce, "routes-in-force", Severity::Info },
        { Event::TargetListChanged, "target-list-changed", Severity::Info },
        { Event::SettingsReloaded, "settings-reloaded", Severity::Info },
        { Event::NewsReadFailed, "news-read-failed", Severity::Warning },
        { Event::ConfigurationBehind, "configuration-behind", Severity::Warning },
        { Event::ConfigurationPacked, "configuration-packed", Severity::Info },
        { Event::MemberJoined, "member-joined", Severity::Info },
        { Event::MemberSuspected, "member-suspected", Severity::Warning },
        { Event::MemberDead, "member-dead", Severity::Warning },
        { Event::MemberLeft, "member-left", Severity::Info },
        { Event::MemberOneWay, "member-one-way", Severity::Warning },
        { Event::PlacementChanged, "placement-changed", Severity::Info },
        { Event::SeedNamed, "seed-named", Severity::Info },
        { Event::FleetJoined, "fleet-joined", Severity::Info },
        { Event::MemberExchangeFailed, "member-exchange-failed", Severity::Info },
        { Event::RequestFailed, "request-failed", Severity::Info },
        { Event::RequestRetried, "request-retried", Severity::Debug },
        { Event::BodyResumed, "body-resumed", Severity::Info },
        { Event::BodyAborted, "body-aborted", Severity::Warning },
        { Event::ConnectionSilent, "connection-silent", Severity::Warning },
        { Event::RequestCutByDrain, "request-cut-by-drain", Severity::Warning },
        { Event::AttemptFailed, "attempt-failed", Severity::Warning },
        { Event::RequestEnded, "request-ended", Severity::Warning },
        { Event::RequestRefused, "request-refused", Severity::Info },
        { Event::TargetCrashed, "target-crashed", Severity::Warning },
        { Event::RequestQuarantined, "request-quarantined", Severity::Error },
        { Event::RequestReleased, "request-released", Severity::Info },
        { Event::PipelineFull, "pipeline-full", Severity::Debug },
        { Event::ResponseDiscarded, "response-discarded", Severity::Info },
        { Event::TargetSuspected, "target-suspected", Severity::Warning },
        { Event::TargetEjected, "target-ejected", Severity::Warning },
        { Event::TargetOnTrial, "target-on-trial", Severity::Info },
        { Event::TargetReturned, "target-returned", Severity::Info },
        { Event::FloorBinds, "floor-binds", Severity::Error },
        { Event::AllSlow, "all-slow", Severity::Warning },
        { Event::PathSuspected, "path-suspected", Severity::Warning },
        { Event::TargetRateLimited, "target-rate-limited", Severity::Info },
        { Event::PathLost, "path-lost", Severity::Warning },
        { Event::PathRestored, "path-restored", Severity::Info },
        { Event::TargetResting, "target-resting", Severity::Info },
        { Event::TargetLeaving, "target-leaving", Severity::Info },
        { Event::AccountLimited, "account-limited", Severity::Info },
        { Event::ShareChanged, "share-changed", Severity::Debug },
        { Event::RetryAllowanceChanged, "retry-allowance-changed", Severity::Info },
        { Event::DomainShareChanged, "domain-share-changed", Severity::Info },
        { Event::PlatformDown, "platform-down", Severity::Warning },
        { Event::PlatformBack, "platform-back", Severity::Info },
        { Event::PlatformWentBack, "platform-went-back", Severity::Warning },
        { Event::CallerRefused, "caller-refused", Severity::Info },
        { Event::PeerRefused, "peer-refused", Severity::Warning },
        { Event::FleetKeyChanged, "fleet-key-changed", Severity::Info },
    };
    return Catalogue;
}

const EventInfo &eventInfo(Event event)
{
    for (const EventInfo &info : eventCatalogue()) {
        if (info.event == event) {
            return info;
        }
    }
    throw std::logic_error("event without an entry in the catalogue");
}

} // namespace mulberryplank
