// Keeps requests in the failure domain of their process unless a reason to leave holds.
#include "mulberryplank/policy/targetbalancer.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Time constant of the demand. A shorter one would take random bursts of a few requests for demand.
constexpr double DemandSeconds = 2;
constexpr double WorkWeight = 0.05; // of one response in the work of its route
constexpr double AssumedWorkFraction = 0.3; // of the target latency, before any response

double decayedDemand(double demand, Instant from, Instant to)
{
    return demand * std::exp(-std::max(toSeconds(to - from), 0.0) / DemandSeconds);
}

} // namespace

} // namespace internal

void TargetBalancer::setDomainsWithProxies(std::set<FailureDomain> domains)
{
    if (domains == m_domainsWithProxies) {
        return;
    }
    m_domainsWithProxies = std::move(domains);
    for (auto &[id, entry] : m_targets) {
        updateDomain(entry);
    }
}

// Targets of a domain without an ingress proxy have no process that prefers them, so all processes use them.
void TargetBalancer::updateDomain(Entry &entry) const
{
    const FailureDomain &domain = entry.listed.target.failureDomain;
    entry.isOwn = domain == m_settings.ownDomain;
    entry.isElsewhere = !entry.isOwn && m_domainsWithProxies.contains(domain);
}

bool TargetBalancer::staysInDomain() const
{
    if (m_settings.stayShare <= 0 || !m_domainsWithProxies.contains(m_settings.ownDomain)) {
        return false;
    }
    std::size_t own = 0;
    for (auto entry = m_targets.begin(); entry != m_targets.end() && own < MinDomainTargets; ++entry) {
        own += entry->second.isOwn && entry->second.acceptsNewWork() ? 1 : 0;
    }
    return own == MinDomainTargets;
}

// Counts requests, not attempts: a request that a full target sheds isn't demand again when it is sent elsewhere.
void TargetBalancer::recordDemand(const HostRoute &route, Instant now)
{
    RouteWork &work = m_work[route.name];
    const double assumed = toSeconds(route.targetLatency) * internal::AssumedWorkFraction;
    work.demand = internal::decayedDemand(work.demand, work.at, now) + (work.seconds > 0 ? work.seconds : assumed);
    work.at = now;
    work.priority = route.priority;
}

// A response of a target with a queue says little about the work: most of its time may have been spent waiting.
void TargetBalancer::recordWork(const HostRoute &route, const PendingAttempt &pending, const AttemptOutcome &end)
{
    RouteWork &work = m_work[route.name];
    const double seconds = toSeconds(end.latency) / std::max(pending.slowness, 1.0);
    if (work.seconds <= 0) {
        work.seconds = seconds;
    } else if (!end.load || end.load->waiting == 0) {
        work.seconds += internal::WorkWeight * (seconds - work.seconds);
    }
}

DomainLoad TargetBalancer::ownDomainLoad(Instant now) const
{
    DomainLoad load;
    load.domain = m_settings.ownDomain;
    for (const auto &[name, work] : m_work) {
        load.demand += internal::decayedDemand(work.demand, work.at, now) / internal::DemandSeconds;
    }
    for (const auto &[id, entry] : m_targets) {
        if (entry.isOwn && entry.acceptsNewWork() && now >= entry.restsUntil) {
            const double slots = std::max(1U, entry.listed.target.slots);
            load.capacity += slots * (1 - faultProbabilityOf(entry, now)) / std::max(slownessOf(entry, now), 1.0);
        }
    }
    return load;
}

double TargetBalancer::ownLoadPerSlot(Instant now) const
{
    double load = 0;
    double slots = 0;
    for (const auto &[id, entry] : m_targets) {
        if (entry.isOwn && entry.acceptsNewWork()) {
            load += loadOf(entry, now);
            slots += std::max(1U, entry.listed.target.slots);
        }
    }
    return slots > 0 ? load / slots : 0;
}

void TargetBalancer::setAgreedShare(AgreedShare share, const std::map<FailureDomain, DomainLoad> &loads, Instant now)
{
    m_agreed = std::move(share);
    // A full domain counts as loaded as the own one, so that requests don't move between domains that are all full.
    const double whenFull = std::max(ownLoadPerSlot(now), 1.0);
    for (auto &[id, entry] : m_targets) {
        const auto found = entry.isElsewhere ? loads.find(entry.listed.target.failureDomain) : loads.end();
        const bool isKnown = found != loads.end() && found->second.capacity > 0;
        const double utilization = isKnown ? found->second.demand / found->second.capacity : 0;
        entry.minLoadPerSlot = utilization < MaxDomainUtilization ? utilization : whenFull;
    }
    std::vector<RouteWork *> works;
    std::vector<RouteDemand> demands;
    for (auto &[name, work] : m_work) {
        const auto statistics = m_routes.find(name);
        const double bytes = statistics == m_routes.end() ? 0 : statistics->second.meanBytes();
        works.push_back(&work);
        demands.push_back({ work.priority, bytes, internal::decayedDemand(work.demand, work.at, now) });
    }
    const std::vector<double> shares = routeShares(demands, m_agreed.share);
    for (std::size_t index = 0; index < works.size(); ++index) {
        works[index]->share = shares[index];
    }
}

// Draws whether the request leaves by the agreed share, and to which domain. Without a share nothing is drawn.
std::optional<FailureDomain> TargetBalancer::drawAgreedDomain(const TargetSelection &selection)
{
    const auto found = m_work.find(selection.route->name);
    if (m_agreed.share <= 0 || found == m_work.end()) {
        return std::nullopt;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    if (draw(m_random) >= found->second.share) {
        return std::nullopt;
    }
    double left = draw(m_random);
    for (const auto &[domain, weight] : m_agreed.weights) {
        left -= weight;
        if (left < 0) {
            return domain;
        }
    }
    return std::nullopt;
}

SpillRequest TargetBalancer::spillRequest(const TargetSelection &selection) const
{
    SpillRequest request;
    request.targetSeconds = toSeconds(selection.route->targetLatency);
    if (selection.timeLeft) {
        request.secondsLeft = toSeconds(*selection.timeLeft);
    }
    request.failsWithAttempt = selection.failsWithAttempt();
    request.maxSecondsGivenUp = m_settings.stayShare * request.targetSeconds;
    return request;
}

void TargetBalancer::Group::add(const Entry &entry, double fullCost, const SpillCandidate &candidate, double plainCost)
{
    if (best == nullptr || fullCost < bestCost) {
        best = &entry;
        bestCost = fullCost;
    }
    if (!plainBest || plainCost < plainBestCost) {
        plainBest = candidate;
        plainBestCost = plainCost;
    }
}

} // namespace mulberryplank
