// Keeps requests in the failure domain of their process unless a reason to leave holds.
#include "mulberryplank/policy/targetbalancer.h"

namespace mulberryplank
{

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

SpillRequest TargetBalancer::spillRequest(const TargetSelection &selection) const
{
    SpillRequest request;
    request.targetSeconds = toSeconds(selection.route->targetLatency);
    if (selection.timeLeft) {
        request.secondsLeft = toSeconds(*selection.timeLeft);
    }
    request.failsWithAttempt = selection.isLast || !isIdempotent(selection.route->kind);
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
