#pragma once

// Shared by targethealth.cpp (the public functions) and targethealthdecisions.cpp (the decisions of a tick).

#include <array>
#include <random>
#include <unordered_map>

#include "mulberryplank/policy/detector.h"
#include "mulberryplank/policy/floor.h"
#include "mulberryplank/policy/probeplan.h"
#include "mulberryplank/policy/targethealth.h"
#include "mulberryplank/policy/targetlifecycle.h"

namespace mulberryplank
{

namespace internal
{

// The thresholds of one level of `detection`. docs/pages/health.md shows the curves that the numbers come from.
struct Threshold {
    double single; // joint log likelihood ratio at which a lone proxy ejects
    double perPeer; // added for each further proxy, since the sum of their noise grows
};

constexpr std::array<Threshold, 3> Thresholds {
    Threshold { 21, 1 }, // fast
    Threshold { 23, 1.2 }, // balanced
    Threshold { 27, 1.4 }, // cautious
};

// Without the proxy that suspects the target most, the evidence of the other proxies must still reach this share of the
// threshold. Otherwise a single faulty proxy could eject any target. A smaller share suffices if no proxy receives
// responses that contradict the suspicion.
constexpr double MinShareFromOthers = 0.6;
constexpr double MinShareFromOthersUncontradicted = 0.45;
constexpr double MaxFromOneProxy = 1; // of the threshold
constexpr double FollowThreshold = 0.5; // of the threshold, when most other proxies have ejected the target
constexpr double PathMargin = 2; // added to the threshold of a lone proxy
constexpr double MinSupport = 1.8; // log likelihood ratio above the noise
constexpr double RelapseThreshold = 0.5; // of the threshold, during the slow start after an ejection
constexpr double UrgentThreshold = 0.15; // of the threshold, by this process's own traffic
constexpr double AllSlowThreshold = 0.3; // of the threshold
constexpr double AllSlowShare = 2.0 / 3.0; // of the targets in service
// While even the least suspected third of the targets in service shows this much suspicion, no target is ejected.
constexpr double HoldThreshold = 0.15; // of the threshold
constexpr double HoldRank = 1.0 / 3.0;
constexpr double SuspicionLimit = 3; // times the threshold
constexpr double TrialHangSuspicion = 8; // log likelihood ratio

constexpr Duration QuietInterval = Millis { 1'000 };
constexpr Duration UrgentInterval = Millis { 100 };
constexpr Duration PendingClaimInterval = Millis { 50 };
constexpr Duration EvidenceLifetime = Millis { 3'000 };
constexpr Duration PathTimeout = Millis { 1'000 }; // until the reports of the other proxies should have arrived
constexpr Duration ClaimTimeout = Millis { 3'000 };
constexpr Duration AllSlowHold = Millis { 2'000 };
constexpr Duration FloorEventInterval = Millis { 10'000 };

inline double thresholdOf(Detection detection, std::size_t proxies)
{
    const Threshold &threshold = Thresholds.at(static_cast<std::size_t>(detection));
    return threshold.single + threshold.perPeer * static_cast<double>(proxies - 1);
}

} // namespace internal

struct ServiceHealth::Private {
    struct Target {
        TargetName name;
        TargetId id = 0;
        FailureDomain failureDomain;
        TargetLifecycle lifecycle;
        TargetEvidence own;
        JointView joint;
        double decisive = 0; // the part of the joint suspicion that counts for ejection
        double faultSeverity = 0; // joint suspicion; frozen while the target is ejected
        bool faulty = false;
        bool pathOnly = false;
        Instant pathSince {};
        bool resetPending = false; // the evidence that caused an ejection still counts
        Instant ejectedAt {};
        Instant claimedAt {};
        Instant retryClaimAt {};
        bool waitsForFloor = false;
        bool mayReduceWeight = true;
    };

    Private(ServiceHealthSettings initial, std::uint64_t seed)
        : settings(std::move(initial))
        , detector(internal::SuspicionLimit * internal::thresholdOf(settings.detection, 1))
        , joint(internal::EvidenceLifetime)
        , claims(peerKey(settings.self), EjectionClaimsSettings {})
        , random(seed)
    {
    }

    Target *find(TargetIndex index)
    {
        return index < targets.size() ? targets[index].get() : nullptr;
    }

    void emit(Event event, const TargetName &target, std::string detail)
    {
        events.push_back({ event, target, std::move(detail) });
    }

    double threshold() const
    {
        return internal::thresholdOf(settings.detection, 1 + peers.size());
    }

    std::vector<TargetId> knownIds() const;
    std::size_t floor() const;
    void gatherEvidence(Instant now);
    double decisiveSuspicion(const JointView &view) const;
    void assessTarget(Target &target, Instant now);
    bool mayStartTrial(const Target &target, Instant now) const;
    bool checkAllSlow(Instant now);
    void limitReducedWeights();
    void updateClaim(Target &target, Instant now);
    void tickClaims(Instant now);
    void ejectConfirmed(Instant now);
    void stepAll(Instant now);
    void step(TargetIndex index, Target &target, Instant now);
    void report(const Target &target, Event event);
    double faultSeverityOf(TargetId id) const;
    void recordFloorBinding(const Target &target, Instant now);

    ServiceHealthSettings settings;
    Detector detector;
    JointEvidence joint;
    EjectionClaims claims;
    ProbePlan probePlan { ProbePlanSettings {} };
    std::mt19937_64 random;
    std::vector<PeerId> peers;
    std::vector<std::unique_ptr<Target>> targets; // null for removed targets
    std::unordered_map<TargetId, TargetIndex> byId;
    std::vector<HealthEvent> events;
    Instant lastTick {};
    bool ticked = false;
    Instant allSlowUntil {};
    Instant floorEventAt {};
};

} // namespace mulberryplank
