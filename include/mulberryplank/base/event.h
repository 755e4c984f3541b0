#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace mulberryplank
{

enum class Severity : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

// A numbered log event. The meaning of a number never changes; docs/EVENTS.md is the catalogue.
// 1xx process, 2xx configuration, 3xx membership and placement, 4xx requests, 5xx health, 6xx fairness and limits,
// 7xx platform, 8xx security.
enum class Event : std::uint16_t {
    ProcessStarted = 100,
    ProcessReady = 101,
    DrainStarted = 102,
    DrainFinished = 103,
    StateDumped = 104,
    SettingsRefused = 105,
    StopRepeated = 106,
    EditApplied = 200,
    EditRefused = 201,
    RecordUnreadable = 202,
    SnapshotLoaded = 203,
    SnapshotPublished = 204,
    LogWentBack = 205,
    LearntFromPeer = 206,
    BehindLog = 207,
    RoutesInForce = 208,
    TargetListChanged = 209,
    SettingsReloaded = 210,
    NewsReadFailed = 211,
    ConfigurationBehind = 212,
    ConfigurationPacked = 213,
    MemberJoined = 300,
    MemberSuspected = 301,
    MemberDead = 302,
    MemberLeft = 303,
    MemberOneWay = 304,
    PlacementChanged = 305,
    SeedNamed = 306,
    FleetJoined = 307,
    MemberExchangeFailed = 308,
    RequestFailed = 400,
    RequestRetried = 401,
    BodyResumed = 402,
    BodyAborted = 403,
    ConnectionSilent = 404,
    RequestCutByDrain = 405,
    AttemptFailed = 406,
    RequestEnded = 407,
    RequestRefused = 408,
    TargetCrashed = 409,
    RequestQuarantined = 410,
    RequestReleased = 411,
    PipelineFull = 412,
    ResponseDiscarded = 413,
    TargetSuspected = 500,
    TargetEjected = 501,
    TargetOnTrial = 502,
    TargetReturned = 503,
    FloorBinds = 504,
    AllSlow = 505,
    PathSuspected = 506,
    TargetRateLimited = 507,
    PathLost = 508,
    PathRestored = 509,
    TargetResting = 510,
    TargetLeaving = 511,
    AccountLimited = 600,
    ShareChanged = 601,
    RetryAllowanceChanged = 602,
    DomainShareChanged = 603,
    PlatformDown = 700,
    PlatformBack = 701,
    PlatformWentBack = 702,
    CallerRefused = 800,
    PeerRefused = 801,
    FleetKeyChanged = 802,
};

// The catalogue's entry for one event.
struct EventInfo {
    Event event;
    std::string_view name;
    Severity severity;
};

// Returns the catalogue's entry for `event`. Every event has one.
const EventInfo &eventInfo(Event event);

// Returns the whole catalogue in order of number.
const std::vector<EventInfo> &eventCatalogue();

// One key=value pair of a log line. Must not contain a secret.
struct EventField {
    std::string_view key;
    std::string value;

    EventField(std::string_view fieldKey, std::string fieldValue)
        : key(fieldKey)
        , value(std::move(fieldValue))
    {
    }

    template<typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
    EventField(std::string_view fieldKey, Number fieldValue)
        : key(fieldKey)
        , value(std::to_string(fieldValue))
    {
    }
};

// Records an event. May be called from any thread.
using EventSink = std::function<void(Event, std::initializer_list<EventField>)>;

} // namespace mulberryplank
