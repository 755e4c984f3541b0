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

// A small number that stands for one target within one service's state in one process. Not reused while the process
// lives.
using TargetIndex = std::uint32_t;

// How a request to a target ended, as evidence about the target.
enum class AttemptResult : std::uint8_t {
    Success,
    ServerError, // a 5xx answer that isn't a shed
    Shed, // refused for load: not a sign of sickness
    ConnectFailed,
    Timeout,
    Stalled, // the body stopped
    Truncated,
    Mismatched, // an answer to something else
    Reset,
    Cancelled, // by the caller: no evidence about the target, but the time spent is known
};

std::string_view toString(AttemptResult result);

// Returns true for an attempt that broke in another way than by an answer of the target's: no connection, silence, a
// reset, a wrong or unfinished answer.
bool isFault(AttemptResult result);

// Returns the kind to answer with when the request may have run and this was its last failure.
ErrorKind unknownOutcomeKind(AttemptResult result);

// One finished attempt.
struct Attempt {
    TargetIndex target = 0;
    std::uint16_t route = 0; // index of the route within its service, or NoRoute
    AttemptResult result = AttemptResult::Success;
    Duration latency {}; // until the first byte of the answer, or until it failed
};

inline constexpr std::uint16_t NoRoute = 0xffff;

// Where a target stands.
enum class TargetPhase : std::uint8_t {
    Healthy,
    Suspected, // gets less traffic
    Ejected, // gets none
    Trial, // gets single idempotent requests
    SlowStart, // gets a growing part of its traffic
    Draining, // leaving: no new work
};

std::string_view toString(TargetPhase phase);

// Something that operators should see.
struct HealthEvent {
    Event event = Event::TargetSuspected;
    TargetName target; // empty for events of the whole service
    std::string detail;
};

// How one service's targets are judged.
struct ServiceHealthSettings {
    PeerId self; // this process
    Detection detection = Detection::Balanced;
    double floorShare = 0.5; // as in Service
    std::uint32_t floorCount = 1; // as in Service
    std::uint32_t slotsPerTarget = 4;
};

// One target's state, for the dump.
struct TargetHealthView {
    TargetName target;
    TargetPhase phase = TargetPhase::Healthy;
    double weight = 1;
    double ownSuspicion = 0; // log likelihood ratio from this process's own traffic
    double jointSuspicion = 0; // of all proxies that report
    double decisive = 0; // the part of jointSuspicion that counts for ejection, by who contributed to it
    double threshold = 0; // decisive suspicion that ejects
    bool pathOnly = false; // ejected here for a fault that no other proxy sees
    bool waitsForFloor = false; // sick, and kept because of the floor
    std::uint32_t timesEjected = 0; // that still count for the length of the next ejection
};

// One service's targets as one process sees them: turns attempts and the reports of the other proxies that carry the
// service into phases and weights. Ejects only what at least two proxies see (as far as there are two), and only while
// the targets that any proxy counts as ejected, leaving or cold leave the floor in service; docs/pages/health.md gives
// the argument. Not synchronized.
class ServiceHealth
{
public:
    // `seed` decides how ties and waiting times are drawn.
    ServiceHealth(ServiceHealthSettings settings, std::uint64_t seed);
    ~ServiceHealth();
    ServiceHealth(const ServiceHealth &) = delete;
    ServiceHealth &operator=(const ServiceHealth &) = delete;

    // Takes over changed settings of the service. `self` must stay.
    void setSettings(const ServiceHealthSettings &settings);

    // Adds a target. The first targets of a process start healthy if they are added before the first tick(): a proxy
    // that starts knows nothing against them. Later ones begin with slow start, because a new target is cold.
    TargetIndex addTarget(const TargetName &name, const FailureDomain &failureDomain, Instant now);

    // Forgets a target. Its index isn't used again; late attempts of it are ignored.
    void removeTarget(TargetIndex target);

    // Marks a target as leaving, or as staying after all. A leaving target is Draining and has weight 0.
    void setLeaving(TargetIndex target, bool leaving);

    // Marks a target as cold by its own word (or no longer cold). It keeps its slow start going and counts as not
    // available for the floor.
    void setCold(TargetIndex target, bool cold, Instant now);

    // Sets the other proxies that carry the service. A peer that is no longer named still counts for the floor until
    // what it may have ejected has run out.
    void setPeers(const std::vector<PeerId> &peers, Instant now);

    // Takes in a finished attempt. O(1).
    void observe(const Attempt &attempt, Instant now);

    // Tells how long requests at `target` have been waiting for the first byte of an answer: the oldest one's age, and
    // how many have waited at least half as long (the oldest included). To be called with each tick for targets with
    // requests under way, so that a target that accepts and hangs is noticed before anything times out.
    void observeOutstanding(TargetIndex target, Duration oldestAge, Instant now, std::uint32_t waiting = 1);

    // Decides. To be called about 10 times a second.
    void tick(Instant now);

    // Returns where the target stands. Removed targets are Draining.
    TargetPhase phase(TargetIndex target) const;

    // Returns the share, 0 to 1, of its normal traffic that the target should get.
    double weight(TargetIndex target) const;

    // Returns how long one request at the target is expected to take, from answers of the last seconds; the service's
    // average where it has none.
    Duration expectedLatency(TargetIndex target) const;

    // Returns what happened since the last call.
    std::vector<HealthEvent> takeEvents();

    // Returns the next report to send to every peer, and counts it as sent now.
    EvidenceReport report(Instant now);

    // Returns how long to wait between two reports now: very short while an ejection waits for the next one, short
    // while something is suspected or ejected, else long. To be asked after each tick() and merge().
    Duration reportInterval() const;

    // Takes in a peer's report. Ignored: peers that setPeers() didn't name (an old incarnation is one), reports older
    // than one already seen, and malformed ones. Targets unknown here are skipped.
    void merge(const PeerId &peer, const EvidenceReport &report, Instant now);

    // Returns all targets in the order in which they were added.
    std::vector<TargetHealthView> views() const;

    // Returns how many targets ejection must leave in service now.
    std::size_t floor() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace mulberryplank
