#include <algorithm>

#include "mulberryplank/state/servicestate.h"
#include "servicestateentries.h"

namespace mulberryplank
{

Deliveries ServiceState::configure(const Service &service,
                                   const std::vector<Target> &targets,
                                   const std::vector<Row> &rows,
                                   Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_healthSettings.detection = service.detection;
    m_healthSettings.floorShare = service.floorShare;
    m_healthSettings.floorCount = service.floorCount;
    m_healthSettings.slotsPerTarget = service.slotsPerTarget;
    m_slotsPerTarget = service.slotsPerTarget;
    m_health.setSettings(m_healthSettings);
    configureTargets(targets, now);
    configureAccounts(rows);
    configureShares(now);
    Deliveries deliveries;
    refreshViews(now);
    refuseExpired(now, deliveries);
    dispatch(now, deliveries);
    return deliveries;
}

void ServiceState::configureTargets(const std::vector<Target> &targets, Instant now)
{
    const auto stays = [&targets](const TargetEntry &entry) {
        return std::any_of(targets.begin(), targets.end(), [&entry](const Target &target) {
            return target.name == entry.target.name && target.host == entry.target.host
                   && target.port == entry.target.port;
        });
    };
    std::vector<TargetEntry> kept;
    for (TargetEntry &entry : m_targets) {
        if (stays(entry)) {
            kept.push_back(std::move(entry));
        } else {
            m_health.removeTarget(entry.index);
        }
    }
    for (const Target &target : targets) {
        const bool known = std::any_of(kept.begin(), kept.end(), [&target](const TargetEntry &entry) {
            return entry.target.name == target.name;
        });
        if (!known) {
            kept.emplace_back(target, m_health.addTarget(target.name, target.failureDomain, now), m_slotsPerTarget);
        }
    }
    std::map<TargetIndex, std::uint32_t> inFlight;
    for (const TargetView &view : m_views) {
        inFlight[view.index] = view.inFlight;
    }
    m_targets = std::move(kept);
    setMostInFlight();
    m_views.assign(m_targets.size(), TargetView {});
    m_positions.clear();
    for (std::size_t position = 0; position < m_targets.size(); ++position) {
        const TargetEntry &entry = m_targets[position];
        m_positions[entry.index] = position;
        m_views[position].index = entry.index;
        m_views[position].failureDomain = entry.target.failureDomain;
        m_views[position].inFlight = inFlight[entry.index];
    }
}

// All carriers use the same slots of a target. If each filled them alone, targets would shed most of what is sent.
void ServiceState::setMostInFlight()
{
    const std::uint32_t most = maxInFlight(m_slotsPerTarget, m_carriers.size());
    for (TargetEntry &entry : m_targets) {
        entry.limit.setMaxLimit(most);
    }
}

void ServiceState::configureAccounts(const std::vector<Row> &rows)
{
    std::unordered_map<AccountName, AccountEntry> accounts;
    for (const Row &row : rows) {
        const auto found = m_accounts.find(row.account);
        const AccountIndex index = found == m_accounts.end() ? m_nextAccount++ : found->second.index;
        accounts[row.account] = AccountEntry { index, row };
        if (found == m_accounts.end() || found->second.row != row) {
            m_queue.setAccount(index, row.weight, row.limits);
        }
    }
    for (const auto &[name, entry] : m_accounts) {
        if (!accounts.contains(name)) {
            m_queue.removeAccount(entry.index);
            m_shares->removeAccount(entry.index);
        }
    }
    m_accounts = std::move(accounts);
}

void ServiceState::configureShares(Instant now)
{
    if (!m_shares) {
        FleetSharesSettings settings;
        settings.self = m_healthSettings.self.vm;
        settings.incarnation = m_healthSettings.self.incarnation;
        m_shares.emplace(settings, now);
        m_shares->setMembers(m_carriers, now);
    }
    for (const auto &[name, entry] : m_accounts) {
        m_shares->setAccount(entry.index, entry.row);
    }
    applyShares(now);
}

} // namespace mulberryplank
