#pragma once

// What targethealth.cpp (the public functions) and targethealthdecisions.cpp (what a tick decides) share.

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

// What one step of `detection` stands for. docs/pages/health.md gives the curves that the numbers were read from.
struct Threshold {
    double single; // joint log likelihood ratio that ejects, for a lone proxy
    double perPeer; // added for each further proxy, since the sum of their noise grows with them
};

constexpr std::array<Threshold, 3> Thresholds {
    Threshold { 21, 1 }, // fast
    Threshold { 23, 1.2 }, // balanced
    Threshold { 27, 1.4 }, // cautious
};

// Without the proxy that suspects the target most, the others' evidence must still come to this much of the threshold:
// else a single faulty proxy could eject whatever it likes. Less will do where nobody gets answers that contradict.
constexpr double MinShareFromOthers = 0.6;
constexpr double MinShareFromOthersUncontradicted = 0.45;
constexpr double MaxFromOneProxy = 1; // of the threshold
constexpr double FollowThreshold = 0.5; // of the threshold, when most other proxies have ejected
constexpr double PathMargin = 2; // over the threshold of a lone proxy
constexpr double MinSupport = 1.8; // log likelihood ratio, over the noise
constexpr double RelapseThreshold = 0.5; // of the threshold, during the slow start after an ejection
constexpr double UrgentThreshold = 0.15; // of the threshold, by this process's own traffic
constexpr double AllSlowThreshold = 0.3; // of the threshold
constexpr double AllSlowShare = 2.0 / 3.0; // of the targets in service
// While even the least suspicious third of the targets in service shows this much, nothing is ejected.
constexpr double HoldThreshold = 0.15; // of the threshold
constexpr double HoldRank = 1.0 / 3.0;
constexpr double SuspicionLimit = 3; // times the threshold
constexpr double TrialHangSuspicion = 8; // log likelihood ratio

constexpr Duration QuietInterval = Millis { 1'000 };
constexpr Duration UrgentInterval = Millis { 100 };
constexpr Duration PendingClaimInterval = Millis { 50 };
constexpr Duration EvidenceLifetime = Millis { 3'000 };
constexpr Duration PathTimeout = Millis { 1'000 }; // for the others' reports to arrive
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
        double faultSeverity = 0; // joint suspicion; kept while the target is ejected
        bool faulty = false;
        bool pathOnly = false;
        Instant pathSince {};
        bool resetPending = false; // the evidence that led to an ejection still counts
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
    std::vector<std::unique_ptr<Target>> targets; // empty for removed ones
    std::unordered_map<TargetId, TargetIndex> byId;
    std::vector<HealthEvent> events;
    Instant lastTick {};
    bool ticked = false;
    Instant allSlowUntil {};
    Instant floorEventAt {};
};

} // namespace mulberryplank
