#include "mulberryplank/policy/targetbalancer.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

namespace
{

// The cost of a failure, in multiples of the request's target latency. A non-idempotent request is lost with its
// attempt; an idempotent one loses the time until it is sent again.
constexpr double NonIdempotentFailureCost = 1.5;
constexpr double IdempotentFailureCost = 0.2;
// A target whose heartbeat is this many intervals late is more likely to be down than others.
constexpr double LateHeartbeatIntervals = 2.2;
constexpr double LateHeartbeatRisk = 0.3;
// A reported load has lost two thirds of its weight after this time.
constexpr double ReportDecaySeconds = 0.5;
// Time constant with which an old slowness decays, so that a target that was slow is tried again.
constexpr double SlownessDecaySeconds = 4;
constexpr double ColdSlowness = 2; // of a target that is warming up
// The share of a request's time by which a target slows down as its slots fill up.
constexpr double CrowdingCost = 0.3;
constexpr double InitialMeanFraction = 0.3; // of the target latency: the mean assumed before any response
// The maximum preference for a target that no process has used for a while, as a share of a request's time, and the
// time after which it is reached. Information about an unused target becomes outdated; the preference keeps all of a
// service's targets in use. It is as large as the cost of the growing uncertainty.
constexpr double IdlePreference = 0.12;
constexpr double IdleSeconds = 1.5;
constexpr double JitterSeconds = 0.008; // spreads choices among equal targets
// The maximum offset, as a share of a request's time, that is added to the expected time at a target. Each process
// draws its offsets at random: processes with the same estimates would otherwise all select the same target at the same
// moment and leave others without a request.
constexpr double MaxOffset = 0.15;
// The cost of a new connection: round trips and the bill. It exceeds the offset, so that open connections are used
// first.
constexpr double ConnectSeconds = 0.05;

double decay(double seconds, double scale)
{
    return std::exp(-std::max(seconds, 0.0) / scale);
}

} // namespace

} // namespace internal

TargetBalancer::TargetBalancer(BalancerSettings settings,
                               std::uint64_t seed,
                               SuspicionHook suspicionChanged,
                               RestartHook restarted,
                               RateLimitShareHook rateLimitShareOf)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_suspicionChanged(std::move(suspicionChanged))
    , m_restarted(std::move(restarted))
    , m_rateLimitShareOf(std::move(rateLimitShareOf))
{
}

void TargetBalancer::configure(const std::vector<ListedTarget> &targets)
{
    std::unordered_map<TargetName, Entry> kept;
    for (const ListedTarget &listed : targets) {
        const auto found = m_targets.find(listed.target.id);
        Entry entry;
        // Nothing is known about a restarted target, and attempts at its previous instance are no evidence.
        const bool listedBefore = found != m_targets.end();
        const bool restarted = listedBefore && found->second.listed.target.startedMillis != listed.target.startedMillis;
        if (restarted && m_restarted) {
            m_restarted(found->second.listed.target.endpoint);
        }
        if (listedBefore && !restarted) {
            entry = std::move(found->second);
        } else {
            entry.offset = std::uniform_real_distribution<double>(0, internal::MaxOffset)(m_random);
        }
        entry.listed = listed;
        updateDomain(entry);
        kept.emplace(listed.target.id, std::move(entry));
    }
    m_targets = std::move(kept);
}

void TargetBalancer::setListFresh(bool fresh)
{
    m_listFresh = fresh;
}

const RouteStatistics &TargetBalancer::statisticsOf(const HostRoute &route) const
{
    static const RouteStatistics None;
    const auto found = m_routes.find(route.name);
    return found == m_routes.end() ? None : found->second;
}

// Returns the probability that a target is faulty, including the evidence of its pending attempts.
double TargetBalancer::faultProbabilityOf(const Entry &entry, Instant now) const
{
    double noResponse = 0;
    for (const PendingAttempt &pending : entry.pending) {
        noResponse += noResponseEvidence(pending, now) - pending.applied;
    }
    return m_model.probabilityAfter(entry.faultProbability, noResponse, now);
}

double TargetBalancer::riskOf(const Entry &entry, Instant now) const
{
    double risk = FaultModel::failureRisk(faultProbabilityOf(entry, now));
    const Duration late = std::chrono::duration_cast<Duration>(m_settings.heartbeat * internal::LateHeartbeatIntervals);
    // A target that has responded since is alive, however late its heartbeat is read.
    const Instant lastObserved = std::max(entry.listed.lastHeartbeat, entry.lastResponse);
    if (m_listFresh && now - lastObserved > late) {
        risk = std::max(risk, internal::LateHeartbeatRisk);
    }
    return risk;
}

double TargetBalancer::loadOf(const Entry &entry, Instant now) const
{
    const double others =
        entry.othersLoad * internal::decay(toSeconds(now - entry.reportedAt), internal::ReportDecaySeconds);
    return static_cast<double>(entry.pending.size()) + others;
}

double TargetBalancer::slownessOf(const Entry &entry, Instant now) const
{
    const double left = internal::decay(toSeconds(now - entry.slownessAt), internal::SlownessDecaySeconds);
    const double slowness = 1 + (entry.slowness - 1) * left;
    return now < entry.listed.warmAt ? std::max(slowness, internal::ColdSlowness) : slowness;
}

double TargetBalancer::expectedSeconds(const Entry &entry, double meanSeconds, Instant now) const
{
    const double slots = std::max(1U, entry.listed.target.slots);
    const double load = std::max(loadOf(entry, now), entry.minLoadPerSlot * slots);
    const double crowding = internal::CrowdingCost * std::min(load / slots, 1.0);
    const double waiting = std::max(load + 1 - slots, 0.0) / slots;
    return meanSeconds * slownessOf(entry, now) * (1 + crowding + waiting);
}

// Returns the expected time and risk at a target, without what differs between processes by chance.
SpillCandidate TargetBalancer::candidateOf(const Entry &entry,
                                           const TargetSelection &selection,
                                           const RouteStatistics &statistics,
                                           Instant now) const
{
    const double assumed = toSeconds(selection.route->targetLatency) * internal::InitialMeanFraction;
    const double mean = statistics.meanSeconds() > 0 ? statistics.meanSeconds() : assumed;
    const double roundTrip = entry.isOwn ? 0 : toSeconds(m_settings.crossDomainRoundTrip);
    return { expectedSeconds(entry, mean, now) + roundTrip, riskOf(entry, now) };
}

double TargetBalancer::costOf(const Entry &entry,
                              const SpillCandidate &candidate,
                              const TargetSelection &selection,
                              const RouteStatistics &statistics,
                              Instant now) const
{
    const double target = toSeconds(selection.route->targetLatency);
    const double mean =
        statistics.meanSeconds() > 0 ? statistics.meanSeconds() : target * internal::InitialMeanFraction;
    const double failureCost =
        target * (selection.failsWithAttempt() ? internal::NonIdempotentFailureCost : internal::IdempotentFailureCost);
    const double idle = std::min(toSeconds(now - entry.lastUsed) / internal::IdleSeconds, 1.0);
    double cost = candidate.seconds + candidate.risk * failureCost;
    cost += mean * (entry.offset - internal::IdlePreference * idle);
    if (!entry.isOwn) {
        const double bytes = static_cast<double>(selection.requestBytes) + statistics.meanBytes();
        cost += bytes / m_settings.bytesPerMilli / 1000;
    }
    return cost;
}

std::optional<ChosenTarget> TargetBalancer::choose(const TargetSelection &selection, Instant now)
{
    if (selection.excluded.empty()) {
        recordDemand(*selection.route, now);
    }
    const RouteStatistics &statistics = statisticsOf(*selection.route);
    std::uniform_real_distribution<double> jitter(0, internal::JitterSeconds);
    if (const Entry *unused = chooseUnused(selection, now)) {
        ChosenTarget result = chosen(*unused, *selection.route, now);
        result.wasUnused = true;
        return result;
    }
    const SpillRequest request = spillRequest(selection);
    const bool stays = staysInDomain();
    const std::optional<FailureDomain> agreedDomain = stays ? drawAgreedDomain(selection) : std::nullopt;
    Group near;
    Group elsewhere;
    Group agreed; // those elsewhere in the domain that this request should leave for
    for (const auto &[id, entry] : m_targets) {
        if (!isEligible(entry, selection, now)) {
            continue;
        }
        const bool connected = !selection.connected || selection.connected(entry.listed.target.endpoint);
        const SpillCandidate candidate = candidateOf(entry, selection, statistics, now);
        const double cost = costOf(entry, candidate, selection, statistics, now) + jitter(m_random)
                            + (connected ? 0 : internal::ConnectSeconds);
        const double plainCost = spillCost(candidate, request);
        Group &group = stays && entry.isElsewhere ? elsewhere : near;
        group.add(entry, cost, candidate, plainCost);
        if (entry.isElsewhere && agreedDomain == entry.listed.target.failureDomain) {
            agreed.add(entry, cost, candidate, plainCost);
        }
    }
    std::optional<SpillReason> reason = reasonToLeave(near.plainBest, elsewhere.plainBest, request);
    const Entry *best = reason ? elsewhere.best : near.best;
    // The agreed domain may be unreachable, or worse than its reports say: then requests from there would leave it.
    if (agreed.best != nullptr && !reasonToLeave(agreed.plainBest, near.plainBest, request)) {
        reason = SpillReason::AgreedShare;
        best = agreed.best;
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ChosenTarget result = chosen(*best, *selection.route, now);
    result.reason = reason;
    return result;
}

bool TargetBalancer::isEligible(const Entry &entry, const TargetSelection &selection, Instant now)
{
    const std::vector<TargetName> &excluded = selection.excluded;
    const TargetName &id = entry.listed.target.id;
    const bool tried = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
    return !tried && entry.acceptsNewWork() && now >= entry.restsUntil && entry.rateLimit.allows(now);
}

ChosenTarget TargetBalancer::chosen(const Entry &entry, const HostRoute &route, Instant now) const
{
    ChosenTarget result;
    result.id = entry.listed.target.id;
    result.endpoint = entry.listed.target.endpoint;
    result.failureDomain = entry.listed.target.failureDomain;
    result.leavesDomain = !entry.isOwn;
    result.risk = riskOf(entry, now);
    result.load = loadOf(entry, now);
    result.expectedMillis = expectedSeconds(entry, statisticsOf(route).meanSeconds(), now) * 1000;
    if (entry.reportedAt != Instant {}) {
        result.loadAge = now - entry.reportedAt;
    }
    return result;
}

void TargetBalancer::begin(const TargetName &id, const HostRoute &route, Instant now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    Entry &entry = found->second;
    const double slots = std::max(1U, entry.listed.target.slots);
    const double waiting = std::max(loadOf(entry, now) + 1 - slots, 0.0) / slots;
    PendingAttempt pending;
    pending.started = now;
    pending.statistics = &m_routes[route.name];
    pending.assumedMean = std::chrono::duration_cast<Duration>(route.targetLatency * internal::InitialMeanFraction);
    pending.slowness = std::max(slownessOf(entry, now), 1.0) * (1 + waiting);
    entry.pending.push_back(pending);
    entry.lastUsed = now;
    entry.used = true;
    entry.rateLimit.use(now);
}

bool TargetBalancer::noteRateLimit(const TargetName &id, const RateLimitNotice &notice, Instant now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || !found->second.rateLimit.apply(notice, now)) {
        return false;
    }
    updateRateLimitShare(found->second, now);
    m_rateLimited.insert(id);
    return true;
}

bool TargetBalancer::startRateLimitRefresh(const TargetName &id, Instant now)
{
    const auto found = m_targets.find(id);
    return found != m_targets.end() && found->second.rateLimit.startRefresh(now);
}

bool TargetBalancer::noteRest(const TargetName &id, Instant until)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || until <= found->second.restsUntil) {
        return false;
    }
    found->second.restsUntil = until;
    return true;
}

bool TargetBalancer::noteLeaving(const TargetName &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || found->second.saidLeaving) {
        return false;
    }
    found->second.saidLeaving = true;
    return true;
}

std::optional<Duration> TargetBalancer::restLeft(Instant now) const
{
    std::optional<Duration> left;
    for (const auto &[id, entry] : m_targets) {
        if (!entry.acceptsNewWork()) {
            continue;
        }
        if (now >= entry.restsUntil) {
            return std::nullopt;
        }
        left = std::min(left.value_or(Duration::max()), entry.restsUntil - now);
    }
    return left;
}

void TargetBalancer::updateRateLimitShares(Instant now)
{
    std::erase_if(m_rateLimited, [this](const TargetName &id) {
        const auto found = m_targets.find(id);
        return found == m_targets.end() || !found->second.rateLimit.perSecond();
    });
    for (const TargetName &id : m_rateLimited) {
        updateRateLimitShare(m_targets.at(id), now);
    }
}

void TargetBalancer::updateRateLimitShare(Entry &entry, Instant now) const
{
    const std::optional<double> perSecond = entry.rateLimit.perSecond();
    if (perSecond && m_rateLimitShareOf) {
        entry.rateLimit.setShare(m_rateLimitShareOf(entry.listed.target, *perSecond), now);
    }
}

std::optional<Duration> TargetBalancer::latencyQuantile(const HostRoute &route, double share) const
{
    return statisticsOf(route).quantile(share);
}

std::vector<AnnouncedTarget> TargetBalancer::randomTargets(std::size_t count)
{
    std::vector<const Entry *> accepting;
    for (const auto &[id, entry] : m_targets) {
        if (entry.acceptsNewWork() && !entry.listed.keptUntil) {
            accepting.push_back(&entry);
        }
    }
    std::vector<const Entry *> sample;
    std::sample(accepting.begin(), accepting.end(), std::back_inserter(sample), count, m_random);
    std::vector<AnnouncedTarget> targets;
    for (const Entry *entry : sample) {
        targets.push_back(entry->listed.target);
    }
    return targets;
}

TargetCounts TargetBalancer::counts() const
{
    TargetCounts counts;
    for (const auto &[id, entry] : m_targets) {
        std::uint32_t &place = entry.suspected ? counts.suspected : counts.trusted;
        ++(entry.isLeaving() ? counts.draining : place);
    }
    return counts;
}

std::size_t TargetBalancer::countAccepting(std::size_t most) const
{
    std::size_t count = 0;
    for (auto entry = m_targets.begin(); entry != m_targets.end() && count < most; ++entry) {
        count += entry->second.isLeaving() ? 0 : 1;
    }
    return count;
}

std::vector<BalancedTarget> TargetBalancer::dump(Instant now) const
{
    std::vector<BalancedTarget> result;
    for (const auto &[id, entry] : m_targets) {
        result.push_back({ entry.listed.target,
                           static_cast<std::uint32_t>(entry.pending.size()),
                           riskOf(entry, now),
                           loadOf(entry, now),
                           slownessOf(entry, now),
                           entry.rateLimit.perSecond() });
    }
    return result;
}

} // namespace mulberryplank
