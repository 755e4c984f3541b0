#pragma once

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/event.h"
#include "mulberryplank/net/worker.h"
#include "mulberryplank/policy/crashattribution.h"

namespace mulberryplank
{

// An attempt whose connection ended before the response, so that its target may have crashed.
struct LostAttempt {
    TargetName target;
    Endpoint endpoint;
    RequestFingerprint request {};
    Instant sentAt {};
    Instant openedAt {}; // when its connection was opened; unset if that leads through another gateway
    // Returns whether the target is leaving as planned, and whether it still works on an attempt that started before
    // `instant`.
    std::function<bool()> isLeaving;
    std::function<bool(Instant instant)> hasAttemptFromBefore;
    std::function<void()> noteRefused; // called when the target has refused a new connection
    // Returns whether this process seems to have lost its path to all targets of the service, and whether a connection
    // that was opened at `instant` is newer than that loss.
    std::function<bool()> isPathLost;
    std::function<bool(Instant instant)> isNewerThanLoss;
};

struct CrashDetectorSettings {
    // Until the connections of other attempts have been seen to end as well, and connections are refused.
    Duration firstCheckDelay = Millis(20);
    Duration checkInterval = Millis(250); // between checks that told nothing
    int checks = 6; // a target that neither accepts nor refuses for longer is unreachable, which no request causes
    Duration connectTimeout = Millis(300);
    std::size_t maxTargets = 64; // checked at the same time
    std::size_t maxSuspects = 32; // of one crash; a report of them fits one datagram
};

struct CrashDetectorHooks {
    // Returns whether the request has succeeded lately, which exonerates it.
    std::function<bool(RequestFingerprint)> hasSucceeded;
    // Called with the requests that were in flight at a target that has crashed.
    std::function<void(const CrashReport &)> crashed;
    // Returns whether this process seems to have lost its path to the targets of all services.
    std::function<bool()> isIsolated;
    // As TargetPathHooks::connectThroughRelay.
    std::function<DataAwaitable<Result<TargetConnectionPtr>>(TargetName)> connectThroughRelay;
};

// Tells targets that crashed from targets that reset single connections: after a crash the target refuses connections,
// and none of its older connections is left. A target that resets connections because it has too many works on with the
// others. If the crashes of a service's targets look like the loss of this process's own path to them, another gateway
// decides which it is. If none can tell, targets have crashed unless those of all services look unreachable; then only
// a target that has accepted a connection since. Connections of a check that the target accepts go to the worker's
// pool. Must be used on the worker's thread.
class CrashDetector
{
public:
    CrashDetector(Worker &worker, CrashDetectorSettings settings, CrashDetectorHooks hooks, EventSink events);
    CrashDetector(const CrashDetector &) = delete;
    CrashDetector &operator=(const CrashDetector &) = delete;

    // Records the attempt and checks its target.
    void attemptLost(const LostAttempt &attempt);

    // Returns the number of targets that are being checked.
    std::size_t pendingChecks() const;

private:
    enum class TargetState : std::uint8_t {
        Crashed,
        Alive,
        Unknown,
    };
    struct Loss {
        LostAttempt first;
        Instant at {};
        std::size_t attempts = 0;
        std::unordered_map<RequestFingerprint, Instant> sentAt;
    };

    DataAwaitable<void> check(TargetName target);
    DataAwaitable<TargetState> stateOf(TargetName target);
    DataAwaitable<TargetState> connectTo(Endpoint endpoint);
    DataAwaitable<bool> isPathToBlame(Loss loss);
    void report(const Loss &loss);

    Worker &m_worker;
    const CrashDetectorSettings m_settings;
    const CrashDetectorHooks m_hooks;
    EventSink m_events;
    std::unordered_map<TargetName, Loss> m_losses; // of targets that are being checked
};

} // namespace mulberryplank
