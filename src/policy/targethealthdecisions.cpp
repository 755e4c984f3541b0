#include <algorithm>
#include <cmath>

#include "targethealthprivate.h"

namespace mulberryplank
{

std::vector<TargetId> ServiceHealth::Private::knownIds() const
{
    std::vector<TargetId> result;
    for (const auto &target : targets) {
        if (target) {
            result.push_back(target->id);
        }
    }
    return result;
}

std::size_t ServiceHealth::Private::floor() const
{
    return floorOf(byId.size(), settings.floorShare, settings.floorCount);
}

void ServiceHealth::Private::gatherEvidence(Instant now)
{
    const double limit = threshold();
    for (TargetIndex index = 0; index < targets.size(); ++index) {
        if (!targets[index]) {
            continue;
        }
        Target &target = *targets[index];
        if (target.resetPending && now - target.ejectedAt > internal::EvidenceLifetime) {
            // Every proxy has had the time to eject on this evidence. If it were kept longer, it would eject the target
            // again as soon as it returned.
            detector.reset(index);
            target.resetPending = false;
        }
        target.own.suspicion = static_cast<float>(detector.suspicion(index));
        target.own.attempts =
            static_cast<std::uint16_t>(std::min(std::round(detector.recentAttempts(index)), 65'535.0));
        target.joint = joint.view(target.own, internal::MaxFromOneProxy * limit, internal::MinSupport, now);
        if (peers.empty()) {
            target.joint.suspicion = static_cast<double>(target.own.suspicion);
        }
        if (!target.lifecycle.needsClaim()) {
            target.faultSeverity = target.joint.suspicion;
        }
    }
}

// Returns the part of the evidence from all proxies that counts for ejection. It is 0 unless enough proxies support it,
// and it is limited by the evidence of the others without the proxy that suspects the target most.
double ServiceHealth::Private::decisiveSuspicion(const JointView &view) const
{
    if (peers.empty()) {
        return view.suspicion;
    }
    const std::size_t half = (view.observers + 1) / 2;
    if (view.supporters < std::max<std::size_t>(2, half)) {
        return 0;
    }
    const auto proxies = static_cast<double>(1 + peers.size());
    const double fewProxies = std::min(1.0, 1.5 * (proxies - 1) / proxies);
    const bool contradicted = view.observers > view.supporters;
    const double share = contradicted ? internal::MinShareFromOthers : internal::MinShareFromOthersUncontradicted;
    return std::min(view.suspicion, (view.suspicion - view.largest) / (share * fewProxies));
}

void ServiceHealth::Private::assessTarget(Target &target, Instant now)
{
    target.decisive = decisiveSuspicion(target.joint);
    if (target.lifecycle.phase() == TargetPhase::Draining) {
        target.faulty = false;
        return;
    }
    const bool relapse = target.lifecycle.phase() == TargetPhase::SlowStart && target.lifecycle.needsClaim();
    const double needed = threshold() * (relapse ? internal::RelapseThreshold : 1);
    // The other proxies have ejected the target by majority and send no more evidence, so the rest of the threshold
    // can't be reached by this proxy.
    const bool followsOthers = 2 * claims.countOtherClaims(target.id, now) > peers.size()
                               && target.joint.suspicion >= internal::FollowThreshold * threshold();
    const bool jointlyFaulty = target.decisive >= needed || followsOthers;
    const double pathThreshold = internal::thresholdOf(settings.detection, 1) + internal::PathMargin;
    const bool locallyFaulty = !jointlyFaulty && static_cast<double>(target.own.suspicion) >= pathThreshold;
    if (!locallyFaulty) {
        target.pathSince = now;
    }
    const bool path = locallyFaulty && now - target.pathSince >= internal::PathTimeout;
    if (path && !target.pathOnly && !target.lifecycle.needsClaim()) {
        emit(Event::PathSuspected, target.name, "seen by this proxy only");
    }
    if (!target.lifecycle.needsClaim() || jointlyFaulty) {
        target.pathOnly = path && !jointlyFaulty;
    }
    target.faulty = jointlyFaulty || path;
}

// Returns true if this process may start the trial of an ejected target. The target's prober tries it first, and the
// other proxies follow when the prober reports it as healthy. If all proxies tried at the same time, each trial of a
// target that is still faulty would harm as many requests as there are proxies.
bool ServiceHealth::Private::mayStartTrial(const Target &target, Instant now) const
{
    if (target.pathOnly || peers.empty()) {
        return true;
    }
    std::vector<PeerId> assignedProxies = peers;
    assignedProxies.push_back(settings.self);
    const PeerId first = probePlan.probers(assignedProxies, target.id, false).front();
    const PeerKey key = peerKey(first);
    return first == settings.self || joint.reportsHealthy(key, target.id, now)
           || !claims.claimedBy(key, target.id, now);
}

// Returns true if the whole service seems to have changed, rather than single targets.
bool ServiceHealth::Private::checkAllSlow(Instant now)
{
    std::vector<double> serving;
    for (const auto &target : targets) {
        if (target && !target->lifecycle.needsClaim() && !target->lifecycle.isUnavailable()) {
            serving.push_back(target->joint.suspicion);
        }
    }
    if (serving.size() < 2) {
        return now < allSlowUntil;
    }
    std::sort(serving.begin(), serving.end());
    const double from = internal::AllSlowThreshold * threshold();
    const auto suspicious = serving.end() - std::lower_bound(serving.begin(), serving.end(), from);
    const auto count = static_cast<double>(serving.size());
    if (static_cast<double>(suspicious) > internal::AllSlowShare * count) {
        if (now >= allSlowUntil) {
            emit(Event::AllSlow, TargetName {}, std::to_string(suspicious) + " of " + std::to_string(serving.size()));
        }
        // The whole service has changed, because of load or a dependency: latencies that were typical before no longer
        // are.
        detector.rebaseline();
        allSlowUntil = now + internal::AllSlowHold;
    }
    const auto rank = static_cast<std::size_t>(internal::HoldRank * (count - 1));
    return now < allSlowUntil || serving[rank] >= internal::HoldThreshold * threshold();
}

// Allows lowering the weight of the most severely suspected targets, but of no more targets than ejection could remove.
// Otherwise a service whose targets are all suspected would lose its capacity to suspicion alone.
void ServiceHealth::Private::limitReducedWeights()
{
    std::vector<Target *> candidates;
    std::size_t out = 0;
    for (const auto &target : targets) {
        if (!target) {
            continue;
        }
        if (target->lifecycle.needsClaim() || target->lifecycle.isUnavailable()) {
            ++out;
        } else {
            candidates.push_back(target.get());
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Target *left, const Target *right) {
        return left->faultSeverity > right->faultSeverity;
    });
    const std::size_t budget = byId.size() - floor();
    const std::size_t left = budget > out ? budget - out : 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        candidates[index]->mayReduceWeight = index < left;
    }
}

void ServiceHealth::Private::updateClaim(Target &target, Instant now)
{
    const bool shouldClaim = target.faulty || target.lifecycle.needsClaim();
    if (!shouldClaim) {
        claims.release(target.id);
        target.waitsForFloor = false;
        return;
    }
    if (!claims.claims(target.id)) {
        if (now >= target.retryClaimAt) {
            claims.claim(target.id, now);
            target.claimedAt = now;
        }
        return;
    }
    if (claims.isInEffect(target.id)) {
        target.claimedAt = now;
        return;
    }
    if (now - target.claimedAt > internal::ClaimTimeout) {
        // Unconfirmed claims count against the floor at every other proxy. A claim that can't take effect, because a
        // peer doesn't receive our reports, must not keep the other proxies from ejecting.
        recordFloorBinding(target, now);
        claims.release(target.id);
    }
}

void ServiceHealth::Private::recordFloorBinding(const Target &target, Instant now)
{
    Target &waiting = *targets[byId.at(target.id)];
    waiting.waitsForFloor = true;
    std::uniform_real_distribution<double> wait(1, 3);
    waiting.retryClaimAt = now + fromSeconds(wait(random));
    if (now - floorEventAt >= internal::FloorEventInterval || floorEventAt == Instant {}) {
        floorEventAt = now;
        emit(Event::FloorBinds, target.name, "faulty, kept in service for the floor of " + std::to_string(floor()));
    }
}

void ServiceHealth::Private::tickClaims(Instant now)
{
    std::vector<TargetId> unavailable;
    for (const auto &target : targets) {
        if (target && target->lifecycle.isUnavailable()) {
            unavailable.push_back(target->id);
        }
    }
    claims.setUnavailable(std::move(unavailable));
    const auto faultSeverity = [this](TargetId id) {
        return faultSeverityOf(id);
    };
    for (const TargetId id : claims.tick(knownIds(), floor(), faultSeverity, now)) {
        const auto found = byId.find(id);
        if (found != byId.end()) {
            recordFloorBinding(*targets[found->second], now);
        }
    }
}

void ServiceHealth::Private::ejectConfirmed(Instant now)
{
    const auto waits = [this](const Target &target) {
        return target.faulty && claims.claims(target.id) && !claims.isInEffect(target.id);
    };
    const bool any = std::any_of(targets.begin(), targets.end(), [&waits](const auto &target) {
        return target && waits(*target);
    });
    if (!any) {
        return;
    }
    tickClaims(now);
    stepAll(now);
}

// Updates every phase from the claims. Must be called whenever claims were ticked. A claim withdrawn in favor of a more
// severe one no longer counts at the other proxies, so its target must be back in service at once.
void ServiceHealth::Private::stepAll(Instant now)
{
    for (TargetIndex index = 0; index < targets.size(); ++index) {
        if (targets[index]) {
            step(index, *targets[index], now);
        }
    }
}

void ServiceHealth::Private::step(TargetIndex index, Target &target, Instant now)
{
    const TargetAssessment assessment { target.faultSeverity / threshold(),
                                        target.faulty,
                                        claims.isInEffect(target.id),
                                        target.mayReduceWeight,
                                        target.lifecycle.needsClaim() && mayStartTrial(target, now) };
    const std::optional<Event> event = target.lifecycle.assess(assessment, now, random);
    if (!event) {
        return;
    }
    if (*event == Event::TargetEjected) {
        target.ejectedAt = now;
        target.resetPending = true;
        target.waitsForFloor = false;
    }
    if (*event == Event::TargetReturned && target.lifecycle.phase() == TargetPhase::SlowStart) {
        detector.reset(index);
        target.resetPending = false;
    }
    report(target, *event);
}

void ServiceHealth::Private::report(const Target &target, Event event)
{
    const std::string detail = "suspicion " + std::to_string(target.joint.suspicion) + " of "
                               + std::to_string(threshold()) + ", seen by " + std::to_string(target.joint.supporters)
                               + " of " + std::to_string(target.joint.observers) + (target.pathOnly ? ", path" : "");
    emit(event, target.name, detail);
}

double ServiceHealth::Private::faultSeverityOf(TargetId id) const
{
    const auto found = byId.find(id);
    return found == byId.end() ? 0 : targets[found->second]->faultSeverity;
}

} // namespace mulberryplank
