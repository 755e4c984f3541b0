#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/event.h"
#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/configmodel.h"
#include "mulberryplank/policy/evidence.h"

namespace mulberryplank
{

// The index of a target within one service's state in one process. Never reused by the same process.
using TargetIndex = std::uint32_t;

// The result of a request to a target, as evidence about the target.
enum class AttemptResult : std::uint8_t {
    Success,
    ServerError, // a 5xx response that isn't a shed, or a status that callers would take for one
    Shed, // refused for load: not evidence of a fault
    ConnectFailed,
    Timeout,
    Stalled, // the body stopped
    Truncated,
    Mismatched, // a response to a different request
    Reset,
    Cancelled, // by the caller: no evidence about the target, but the elapsed time is known
};

std::string_view toString(AttemptResult result);

// Returns true if an attempt failed without a complete, matching response: no connection, a timeout, a reset, or a
// wrong or unfinished response.
bool isFault(AttemptResult result);

// Returns the error kind to respond with when the request may have been executed and this was its last failure.
ErrorKind unknownOutcomeKind(AttemptResult result);

// One finished attempt.
struct Attempt {
    TargetIndex target = 0;
    std::uint16_t route = 0; // index of the route within its service, or NoRoute
    AttemptResult result = AttemptResult::Success;
    Duration latency {}; // until the first byte of the response, or until the failure
};

inline constexpr std::uint16_t NoRoute = 0xffff;

// The phase of a target.
enum class TargetPhase : std::uint8_t {
    Healthy,
    Suspected, // receives reduced traffic
    Ejected, // receives no traffic
    Trial, // receives single idempotent requests
    SlowStart, // receives a growing share of its traffic
    Draining, // leaving; receives no new work
};

std::string_view toString(TargetPhase phase);

// An event for operators.
struct HealthEvent {
    Event event = Event::TargetSuspected;
    TargetName target; // empty for events of the whole service
    std::string detail;
};

// Settings that control how one service's targets are evaluated.
struct ServiceHealthSettings {
    PeerId self; // this process
    Detection detection = Detection::Balanced;
    double floorShare = 0.5; // as in Service
    std::uint32_t floorCount = 1; // as in Service
    std::uint32_t slotsPerTarget = 4;
};

// The state of one target in the dump.
struct TargetHealthView {
    TargetName target;
    TargetPhase phase = TargetPhase::Healthy;
    double weight = 1;
    double ownSuspicion = 0; // log likelihood ratio from this process's own traffic
    double jointSuspicion = 0; // from all proxies that report
    double decisive = 0; // the part of jointSuspicion that counts for ejection, depending on which proxies contribute
    double threshold = 0; // decisive suspicion at which the target is ejected
    bool pathOnly = false; // ejected by this process for a fault that no other proxy observes
    bool waitsForFloor = false; // faulty, but kept in service because of the floor
    std::uint32_t timesEjected = 0; // ejections that still extend the next one
};

// The health of one service's targets as seen by one process. Derives phases and weights from attempts and from the
// reports of the other proxies assigned to the service. Ejects a target only if at least two proxies observe the fault
// (as far as there are two). The floor must also stay in service without the targets that any proxy counts as ejected,
// leaving or cold. docs/pages/health.md gives the argument. Thread-compatible.
class ServiceHealth
{
public:
    // `seed` seeds the random choice of ties and waiting times.
    ServiceHealth(ServiceHealthSettings settings, std::uint64_t seed);
    ~ServiceHealth();
    ServiceHealth(const ServiceHealth &) = delete;
    ServiceHealth &operator=(const ServiceHealth &) = delete;

    // Replaces the settings of the service. `self` must not change.
    void setSettings(const ServiceHealthSettings &settings);

    // Adds a target. Targets that are added before the first tick() start healthy, since a proxy that starts has no
    // evidence against them. Later targets begin with slow start, because a new target is cold.
    TargetIndex addTarget(const TargetName &name, const FailureDomain &failureDomain, Instant now);

    // Removes a target. Its index isn't reused, and late attempts at it are ignored.
    void removeTarget(TargetIndex target);

    // Sets whether a target is leaving. A leaving target is Draining and has weight 0.
    void setLeaving(TargetIndex target, bool leaving);

    // Sets whether a target reports that it is cold. A cold target stays in slow start and counts as unavailable for
    // the floor.
    void setCold(TargetIndex target, bool cold, Instant now);

    // Sets the other proxies that are assigned the service. A removed peer still counts for the floor until the
    // ejections that it may hold have expired.
    void setPeers(const std::vector<PeerId> &peers, Instant now);

    // Records a finished attempt in O(1).
    void observe(const Attempt &attempt, Instant now);

    // Reports how long requests at `target` have been waiting for the first byte of a response: the age of the oldest,
    // and how many have waited at least half as long (including the oldest). Must be called with each tick for targets
    // with requests in progress, so that a target that accepts requests and hangs is detected before any request times
    // out.
    void observeOutstanding(TargetIndex target, Duration oldestAge, Instant now, std::uint32_t waiting = 1);

    // Updates phases, weights and claims. Must be called about 10 times a second.
    void tick(Instant now);

    // Returns the phase of the target. Removed targets are Draining.
    TargetPhase phase(TargetIndex target) const;

    // Returns the share, 0 to 1, of its normal traffic that the target should receive.
    double weight(TargetIndex target) const;

    // Returns the expected latency of one request at the target, from responses of the last seconds, or the service's
    // average if the target has none.
    Duration expectedLatency(TargetIndex target) const;

    // Returns the events since the last call.
    std::vector<HealthEvent> takeEvents();

    // Returns the next report to send to every peer, and records it as sent at `now`.
    EvidenceReport report(Instant now);

    // Returns the interval between two reports: very short while an ejection waits for the next one, short while a
    // target is suspected or ejected, and long otherwise. Must be queried after each tick() and merge().
    Duration reportInterval() const;

    // Merges a peer's report. Ignores peers that weren't passed to setPeers() (including old incarnations), reports
    // older than one already received, and malformed reports. Skips unknown targets.
    void merge(const PeerId &peer, const EvidenceReport &report, Instant now);

    // Returns all targets in the order in which they were added.
    std::vector<TargetHealthView> views() const;

    // Returns how many targets must currently stay in service despite ejections.
    std::size_t floor() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace mulberryplank
