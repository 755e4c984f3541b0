// Commands that apply external information: the VM list, probes, and reports of the other proxies that are assigned the
// service.
#include <algorithm>

#include "mulberryplank/state/servicestate.h"
#include "servicestateentries.h"

namespace mulberryplank
{

// Passes this process's share of each account's limits and weight to the queue.
void ServiceState::applyShares(Instant now)
{
    for (const auto &[name, entry] : m_accounts) {
        m_queue.setLocalLimits(entry.index, m_shares->localLimits(entry.index, now));
        m_queue.setLocalWeight(entry.index, m_shares->localWeight(entry.index));
    }
}

void ServiceState::setLeavingHosts(const std::vector<std::string> &hosts)
{
    const std::lock_guard lock(m_mutex);
    for (TargetEntry &entry : m_targets) {
        entry.leavingByVmList = std::find(hosts.begin(), hosts.end(), entry.target.host) != hosts.end();
        m_health.setLeaving(entry.index, entry.leavingByOwnReport || entry.leavingByVmList);
    }
}

void ServiceState::recordProbe(
    TargetIndex target, bool leaving, bool cold, std::optional<std::uint32_t> reportedInFlight, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_positions.find(target);
    if (position == m_positions.end()) {
        return;
    }
    TargetEntry &entry = m_targets[position->second];
    entry.leavingByOwnReport = leaving;
    m_health.setLeaving(target, leaving || entry.leavingByVmList);
    m_health.setCold(target, cold, now);
    if (reportedInFlight) {
        entry.reportedInFlight = reportedInFlight;
        entry.reportedAt = now;
    }
    refreshView(position->second, now);
}

void ServiceState::recordProbeFailure(TargetIndex target, Duration latency, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_health.observe(Attempt { target, NoRoute, AttemptResult::ConnectFailed, latency }, now);
}

void ServiceState::setPeers(const std::vector<PeerId> &peers, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_health.setPeers(peers, now);
    m_assignedProxies = { m_healthSettings.self.vm };
    for (const PeerId &peer : peers) {
        m_assignedProxies.push_back(peer.vm);
    }
    setMaxInFlight();
    refreshViews(now);
    if (m_shares) {
        m_shares->setMembers(m_assignedProxies, now);
        applyShares(now);
    }
}

std::optional<DemandReport> ServiceState::demandReport(Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_shares || now < m_shares->nextReport()) {
        return std::nullopt;
    }
    m_shares->observe(m_queue.takeDemand(now));
    DemandReport report = m_shares->report(now);
    m_ownFraction = m_shares->capacityShare(slotsInService());
    m_queue.setTypicalCost(m_shares->typicalCost());
    applyShares(now);
    return report;
}

std::optional<DemandReport> ServiceState::withdrawDemand(Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_shares) {
        return std::nullopt;
    }
    DemandReport report = m_shares->leave(now);
    applyShares(now);
    return report;
}

void ServiceState::mergeDemand(const PeerId &peer, const DemandReport &report, Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (m_shares) {
        m_shares->merge(peer.vm, peer.incarnation, report, now);
        applyShares(now);
    }
}

EvidenceReport ServiceState::evidenceReport(Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_health.report(now);
}

void ServiceState::mergeEvidence(const PeerId &peer, const EvidenceReport &report, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_health.merge(peer, report, now);
}

} // namespace mulberryplank
