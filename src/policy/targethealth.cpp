#include <algorithm>
#include <array>
#include <cmath>

#include "targethealthprivate.h"

namespace mulberryplank
{

std::string_view toString(AttemptResult result)
{
    constexpr std::array<std::string_view, 10> Names { "success", "server-error", "shed",      "connect-failed",
                                                       "timeout", "stalled",      "truncated", "mismatched",
                                                       "reset",   "cancelled" };
    return Names.at(static_cast<std::size_t>(result));
}

std::string_view toString(TargetPhase phase)
{
    constexpr std::array<std::string_view, 6> Names { "healthy", "suspected",  "ejected",
                                                      "trial",   "slow-start", "draining" };
    return Names.at(static_cast<std::size_t>(phase));
}

ServiceHealth::ServiceHealth(ServiceHealthSettings settings, std::uint64_t seed)
    : d(std::make_unique<Private>(std::move(settings), seed))
{
}

ServiceHealth::~ServiceHealth() = default;

void ServiceHealth::setSettings(const ServiceHealthSettings &settings)
{
    const PeerId self = d->settings.self;
    d->settings = settings;
    d->settings.self = self;
}

TargetIndex ServiceHealth::addTarget(const TargetName &name, const FailureDomain &failureDomain, Instant now)
{
    const auto index = static_cast<TargetIndex>(d->targets.size());
    const TargetId id = targetId(name);
    d->targets.push_back(std::make_unique<Private::Target>(
        Private::Target { .name = name,
                          .id = id,
                          .failureDomain = failureDomain,
                          .lifecycle = TargetLifecycle(LifecycleSettings {}, d->ticked, now),
                          .own = { id, 0, 0 },
                          .joint = {} }));
    d->byId[id] = index;
    d->detector.addTarget();
    return index;
}

void ServiceHealth::removeTarget(TargetIndex index)
{
    const Private::Target *target = d->find(index);
    if (target == nullptr) {
        return;
    }
    d->claims.release(target->id);
    d->byId.erase(target->id);
    d->detector.removeTarget(index);
    d->targets[index].reset();
}

void ServiceHealth::setLeaving(TargetIndex index, bool leaving)
{
    if (Private::Target *target = d->find(index)) {
        target->lifecycle.setLeaving(leaving, d->lastTick);
    }
}

void ServiceHealth::setCold(TargetIndex index, bool cold, Instant now)
{
    if (Private::Target *target = d->find(index)) {
        target->lifecycle.setCold(cold, now);
    }
}

void ServiceHealth::setPeers(const std::vector<PeerId> &peers, Instant now)
{
    std::vector<PeerKey> keys;
    d->peers.clear();
    for (const PeerId &peer : peers) {
        if (peer != d->settings.self) {
            d->peers.push_back(peer);
            keys.push_back(peerKey(peer));
        }
    }
    d->claims.setPeers(keys, now);
    d->joint.setPeers(keys);
}

void ServiceHealth::observe(const Attempt &attempt, Instant now)
{
    Private::Target *target = d->find(attempt.target);
    if (target == nullptr) {
        return;
    }
    const TargetPhase phase = target->lifecycle.phase();
    if (phase == TargetPhase::Trial && attempt.result != AttemptResult::Shed
        && attempt.result != AttemptResult::Cancelled) {
        const bool error = attempt.result != AttemptResult::Success;
        target->lifecycle.observeTrial(error, d->detector.latencyStep(attempt));
        return;
    }
    // Requests that were under way when the target was ejected tell nothing new.
    if (phase != TargetPhase::Ejected) {
        d->detector.observe(attempt, now, !target->lifecycle.isCold());
    }
}

void ServiceHealth::observeOutstanding(TargetIndex index, Duration oldestAge, Instant now, std::uint32_t waiting)
{
    Private::Target *target = d->find(index);
    if (target == nullptr || target->lifecycle.phase() == TargetPhase::Ejected) {
        return;
    }
    d->detector.observeOutstanding(index, oldestAge, waiting, now);
    if (target->lifecycle.phase() == TargetPhase::Trial
        && d->detector.suspicion(index) >= internal::TrialHangSuspicion) {
        target->lifecycle.failTrial();
    }
}

void ServiceHealth::tick(Instant now)
{
    d->ticked = true;
    d->lastTick = now;
    d->detector.tick(now);
    d->gatherEvidence(now);
    const bool allSlow = d->checkAllSlow(now);
    for (const auto &target : d->targets) {
        if (!target) {
            continue;
        }
        if (allSlow) {
            target->faulty = false;
            target->decisive = 0;
        } else {
            d->assessTarget(*target, now);
        }
        d->updateClaim(*target, now);
    }
    d->limitReducedWeights();
    d->tickClaims(now);
    d->stepAll(now);
}

TargetPhase ServiceHealth::phase(TargetIndex index) const
{
    const Private::Target *target = d->find(index);
    return target == nullptr ? TargetPhase::Draining : target->lifecycle.phase();
}

double ServiceHealth::weight(TargetIndex index) const
{
    const Private::Target *target = d->find(index);
    return target == nullptr ? 0 : target->lifecycle.weight(d->lastTick);
}

Duration ServiceHealth::expectedLatency(TargetIndex index) const
{
    return d->find(index) == nullptr ? Duration {} : d->detector.expectedLatency(index);
}

std::vector<HealthEvent> ServiceHealth::takeEvents()
{
    return std::exchange(d->events, {});
}

EvidenceReport ServiceHealth::report(Instant now)
{
    EvidenceReport result;
    for (const auto &target : d->targets) {
        if (target && (target->own.attempts > 0 || target->own.suspicion > 0)) {
            result.evidence.push_back(target->own);
        }
    }
    d->claims.fill(result, now);
    return result;
}

Duration ServiceHealth::reportInterval() const
{
    if (d->claims.needsReport()) {
        return internal::PendingClaimInterval;
    }
    const double urgent = internal::UrgentThreshold * d->threshold();
    const bool any = std::any_of(d->targets.begin(), d->targets.end(), [&](const auto &target) {
        return target
               && (target->own.suspicion >= urgent || target->joint.suspicion >= urgent || d->claims.claims(target->id)
                   || d->claims.countOtherClaims(target->id, d->lastTick) > 0);
    });
    return any ? internal::UrgentInterval : internal::QuietInterval;
}

void ServiceHealth::merge(const PeerId &peer, const EvidenceReport &report, Instant now)
{
    const std::size_t longest =
        std::max({ report.evidence.size(), report.claimed.size(), report.unavailable.size(), report.acks.size() });
    if (longest > MaxReportEntries) {
        return;
    }
    const PeerKey key = peerKey(peer);
    if (!d->claims.receive(key, report, now)) {
        return;
    }
    d->joint.receive(key, report.evidence, now);
    // An ejection waits for nothing but this confirmation: it takes effect now, not with the next tick.
    d->ejectConfirmed(now);
}

std::vector<TargetHealthView> ServiceHealth::views() const
{
    std::vector<TargetHealthView> result;
    for (const auto &target : d->targets) {
        if (target) {
            result.push_back({ target->name,
                               target->lifecycle.phase(),
                               target->lifecycle.weight(d->lastTick),
                               static_cast<double>(target->own.suspicion),
                               target->joint.suspicion,
                               target->decisive,
                               d->threshold(),
                               target->pathOnly,
                               target->waitsForFloor,
                               target->lifecycle.timesEjected() });
        }
    }
    return result;
}

std::size_t ServiceHealth::floor() const
{
    return d->floor();
}

bool isFault(AttemptResult result)
{
    switch (result) {
    case AttemptResult::ConnectFailed:
    case AttemptResult::Timeout:
    case AttemptResult::Stalled:
    case AttemptResult::Truncated:
    case AttemptResult::Mismatched:
    case AttemptResult::Reset:
        return true;
    default:
        return false;
    }
}

ErrorKind unknownOutcomeKind(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Timeout:
    case AttemptResult::Stalled:
    case AttemptResult::Cancelled:
        return ErrorKind::TargetTimeout;
    case AttemptResult::Truncated:
        return ErrorKind::TargetTruncated;
    case AttemptResult::Mismatched:
        return ErrorKind::TargetMismatch;
    case AttemptResult::ServerError:
        return ErrorKind::TargetError;
    default:
        return ErrorKind::TargetReset;
    }
}

} // namespace mulberryplank
