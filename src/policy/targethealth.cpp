#include "mulberryplank/policy/targethealth.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <unordered_map>

#include "mulberryplank/policy/detector.h"
#include "mulberryplank/policy/floor.h"
#include "mulberryplank/policy/probeplan.h"
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
constexpr double LeastFromOthers = 0.6;
constexpr double LeastFromOthersIfNoneContradicts = 0.45;
constexpr double MostFromOneProxy = 1; // of the threshold
constexpr double FollowFrom = 0.5; // of the threshold, when most other proxies have ejected
constexpr double PathMargin = 2; // over the threshold of a lone proxy
constexpr double LeastSupport = 1.8; // log likelihood ratio, over the noise
constexpr double RelapseThreshold = 0.5; // of the threshold, during the slow start after an ejection
constexpr double UrgentFrom = 0.15; // of the threshold, by this process's own traffic
constexpr double AllSlowFrom = 0.3; // of the threshold
constexpr double AllSlowShare = 2.0 / 3.0; // of the targets in service
// While even the least suspicious third of the targets in service shows this much, nothing is ejected.
constexpr double HoldFrom = 0.15; // of the threshold
constexpr double HoldRank = 1.0 / 3.0;
constexpr double SuspicionLimit = 3; // times the threshold
constexpr double TrialHangs = 8; // log likelihood ratio

constexpr Duration QuietInterval = Millis { 1'000 };
constexpr Duration UrgentInterval = Millis { 100 };
constexpr Duration NewsInterval = Millis { 50 };
constexpr Duration EvidenceLifetime = Millis { 3'000 };
constexpr Duration PathPatience = Millis { 1'000 }; // for the others' reports to arrive
constexpr Duration ClaimPatience = Millis { 3'000 };
constexpr Duration AllSlowPause = Millis { 2'000 };
constexpr Duration FloorEventInterval = Millis { 10'000 };

double thresholdOf(Detection detection, std::size_t proxies)
{
    const Threshold &threshold = Thresholds.at(static_cast<std::size_t>(detection));
    return threshold.single + threshold.perPeer * static_cast<double>(proxies - 1);
}

} // namespace internal

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

struct ServiceHealth::Private {
    struct Target {
        TargetName name;
        TargetId id = 0;
        FailureDomain failureDomain;
        TargetLifecycle lifecycle;
        TargetEvidence own;
        JointView joint;
        double decisive = 0; // the part of the joint suspicion that counts for ejection
        double badness = 0; // joint suspicion; kept while the target is ejected
        bool sick = false;
        bool pathOnly = false;
        Instant pathSince {};
        bool resetPending = false; // the evidence that led to an ejection still counts
        Instant ejectedAt {};
        Instant claimedAt {};
        Instant retryClaimAt {};
        bool waitsForFloor = false;
        bool reduces = true;
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
    void judgeSickness(Target &target, Instant now);
    bool mayTry(const Target &target, Instant now) const;
    bool checkAllSlow(Instant now);
    void limitReducedWeights();
    void updateClaim(Target &target, Instant now);
    void tickClaims(Instant now);
    void ejectConfirmed(Instant now);
    void stepAll(Instant now);
    void step(TargetIndex index, Target &target, Instant now);
    void report(const Target &target, Event event);
    double badnessOf(TargetId id) const;
    void floorBinds(const Target &target, Instant now);

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

void ServiceHealth::outstanding(TargetIndex index, Duration oldestAge, Instant now, std::uint32_t waiting)
{
    Private::Target *target = d->find(index);
    if (target == nullptr || target->lifecycle.phase() == TargetPhase::Ejected) {
        return;
    }
    d->detector.outstanding(index, oldestAge, waiting, now);
    if (target->lifecycle.phase() == TargetPhase::Trial && d->detector.suspicion(index) >= internal::TrialHangs) {
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
            target->sick = false;
            target->decisive = 0;
        } else {
            d->judgeSickness(*target, now);
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
    if (d->claims.hasNews()) {
        return internal::NewsInterval;
    }
    const double urgent = internal::UrgentFrom * d->threshold();
    const bool any = std::any_of(d->targets.begin(), d->targets.end(), [&](const auto &target) {
        return target
               && (target->own.suspicion >= urgent || target->joint.suspicion >= urgent || d->claims.claims(target->id)
                   || d->claims.claimsElsewhere(target->id, d->lastTick) > 0);
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
            // By now every proxy has had the time to eject on this evidence. Kept any longer it would eject the target
            // again as soon as it came back.
            detector.reset(index);
            target.resetPending = false;
        }
        target.own.suspicion = static_cast<float>(detector.suspicion(index));
        target.own.attempts =
            static_cast<std::uint16_t>(std::min(std::round(detector.recentAttempts(index)), 65'535.0));
        target.joint = joint.view(target.own, internal::MostFromOneProxy * limit, internal::LeastSupport, now);
        if (peers.empty()) {
            target.joint.suspicion = static_cast<double>(target.own.suspicion);
        }
        if (!target.lifecycle.needsClaim()) {
            target.badness = target.joint.suspicion;
        }
    }
}

// Returns what counts for ejection of the evidence from all proxies: none unless enough of them support it, and no more
// than the others' part allows when the proxy that suspects most is left out.
double ServiceHealth::Private::decisiveSuspicion(const JointView &view) const
{
    if (peers.empty()) {
        return view.suspicion;
    }
    const std::size_t half = (view.informed + 1) / 2;
    if (view.supporters < std::max<std::size_t>(2, half)) {
        return 0;
    }
    const auto proxies = static_cast<double>(1 + peers.size());
    const double fewProxies = std::min(1.0, 1.5 * (proxies - 1) / proxies);
    const bool contradicted = view.informed > view.supporters;
    const double share = contradicted ? internal::LeastFromOthers : internal::LeastFromOthersIfNoneContradicts;
    return std::min(view.suspicion, (view.suspicion - view.largest) / (share * fewProxies));
}

void ServiceHealth::Private::judgeSickness(Target &target, Instant now)
{
    target.decisive = decisiveSuspicion(target.joint);
    if (target.lifecycle.phase() == TargetPhase::Draining) {
        target.sick = false;
        return;
    }
    const bool relapse = target.lifecycle.phase() == TargetPhase::SlowStart && target.lifecycle.needsClaim();
    const double needed = threshold() * (relapse ? internal::RelapseThreshold : 1);
    // Most others have ejected it and send no more evidence: what is missing to the threshold here won't come.
    const bool follows = 2 * claims.claimsElsewhere(target.id, now) > peers.size()
                         && target.joint.suspicion >= internal::FollowFrom * threshold();
    const bool everywhere = target.decisive >= needed || follows;
    const double pathThreshold = internal::thresholdOf(settings.detection, 1) + internal::PathMargin;
    const bool here = !everywhere && static_cast<double>(target.own.suspicion) >= pathThreshold;
    if (!here) {
        target.pathSince = now;
    }
    const bool path = here && now - target.pathSince >= internal::PathPatience;
    if (path && !target.pathOnly && !target.lifecycle.needsClaim()) {
        emit(Event::PathSuspected, target.name, "seen by this proxy only");
    }
    if (!target.lifecycle.needsClaim() || everywhere) {
        target.pathOnly = path && !everywhere;
    }
    target.sick = everywhere || path;
}

// Returns true if this process may be the one to try an ejected target. One proxy tries first, the one that probes it;
// the others follow when it finds the target well. If all tried at once, a target that is still sick would hurt as many
// requests as there are proxies, at each of its trials.
bool ServiceHealth::Private::mayTry(const Target &target, Instant now) const
{
    if (target.pathOnly || peers.empty()) {
        return true;
    }
    std::vector<PeerId> carriers = peers;
    carriers.push_back(settings.self);
    const PeerId first = probePlan.probers(carriers, target.id, false).front();
    const PeerKey key = peerKey(first);
    return first == settings.self || joint.findsWell(key, target.id, now) || !claims.claimedBy(key, target.id, now);
}

// Returns true if the targets look as if the service had changed and not single targets.
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
    const double from = internal::AllSlowFrom * threshold();
    const auto suspicious = serving.end() - std::lower_bound(serving.begin(), serving.end(), from);
    const auto count = static_cast<double>(serving.size());
    if (static_cast<double>(suspicious) > internal::AllSlowShare * count) {
        if (now >= allSlowUntil) {
            emit(Event::AllSlow, TargetName {}, std::to_string(suspicious) + " of " + std::to_string(serving.size()));
        }
        // The whole service has changed, by load or by something behind it: what was typical a moment ago isn't now.
        detector.relearn();
        allSlowUntil = now + internal::AllSlowPause;
    }
    const auto rank = static_cast<std::size_t>(internal::HoldRank * (count - 1));
    return now < allSlowUntil || serving[rank] >= internal::HoldFrom * threshold();
}

// Lowers the weight of as many targets as ejection could take away, the worst ones, and no more: a service whose
// targets are all suspected would otherwise lose its capacity to suspicion alone.
void ServiceHealth::Private::limitReducedWeights()
{
    std::vector<Target *> worst;
    std::size_t out = 0;
    for (const auto &target : targets) {
        if (!target) {
            continue;
        }
        if (target->lifecycle.needsClaim() || target->lifecycle.isUnavailable()) {
            ++out;
        } else {
            worst.push_back(target.get());
        }
    }
    std::sort(worst.begin(), worst.end(), [](const Target *left, const Target *right) {
        return left->badness > right->badness;
    });
    const std::size_t budget = byId.size() - floor();
    const std::size_t left = budget > out ? budget - out : 0;
    for (std::size_t index = 0; index < worst.size(); ++index) {
        worst[index]->reduces = index < left;
    }
}

void ServiceHealth::Private::updateClaim(Target &target, Instant now)
{
    const bool wanted = target.sick || target.lifecycle.needsClaim();
    if (!wanted) {
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
    if (claims.holds(target.id)) {
        target.claimedAt = now;
        return;
    }
    if (now - target.claimedAt > internal::ClaimPatience) {
        // Unconfirmed claims count against the floor at every other proxy. One that can't come into effect, because a
        // peer doesn't hear us, must not keep the others from ejecting.
        floorBinds(target, now);
        claims.release(target.id);
    }
}

void ServiceHealth::Private::floorBinds(const Target &target, Instant now)
{
    Target &waiting = *targets[byId.at(target.id)];
    waiting.waitsForFloor = true;
    std::uniform_real_distribution<double> wait(1, 3);
    waiting.retryClaimAt = now + fromSeconds(wait(random));
    if (now - floorEventAt >= internal::FloorEventInterval || floorEventAt == Instant {}) {
        floorEventAt = now;
        emit(Event::FloorBinds, target.name, "sick, kept in service for the floor of " + std::to_string(floor()));
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
    const auto badness = [this](TargetId id) {
        return badnessOf(id);
    };
    for (const TargetId id : claims.tick(knownIds(), floor(), badness, now)) {
        const auto found = byId.find(id);
        if (found != byId.end()) {
            floorBinds(*targets[found->second], now);
        }
    }
}

void ServiceHealth::Private::ejectConfirmed(Instant now)
{
    const auto waits = [this](const Target &target) {
        return target.sick && claims.claims(target.id) && !claims.holds(target.id);
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

// Brings every phase in line with the claims. To be called whenever claims were ticked: a claim that was given up for a
// worse target no longer counts at the other proxies, so its target must be back in service by then.
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
    const Judgement judgement { target.badness / threshold(),
                                target.sick,
                                claims.holds(target.id),
                                target.reduces,
                                target.lifecycle.needsClaim() && mayTry(target, now) };
    const std::optional<Event> event = target.lifecycle.judge(judgement, now, random);
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
                               + " of " + std::to_string(target.joint.informed) + (target.pathOnly ? ", path" : "");
    emit(event, target.name, detail);
}

double ServiceHealth::Private::badnessOf(TargetId id) const
{
    const auto found = byId.find(id);
    return found == byId.end() ? 0 : targets[found->second]->badness;
}

} // namespace mulberryplank
