#include "mulberryplank/state/servicestate.h"
#include "servicestateentries.h"

#include <algorithm>

namespace mulberryplank
{

std::optional<Duration> ServiceState::hedgeDelay(std::uint16_t route) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_hedgeDelays.find(route);
    return found == m_hedgeDelays.end() ? std::nullopt : found->second.delay();
}

std::vector<TargetState> ServiceState::targetStates() const
{
    std::vector<TargetState> states;
    const std::vector<TargetHealthView> health = m_health.views();
    for (std::size_t position = 0; position < m_targets.size(); ++position) {
        const TargetEntry &entry = m_targets[position];
        const TargetView &view = m_views[position];
        TargetState state;
        const auto found = std::find_if(health.begin(), health.end(), [&entry](const TargetHealthView &candidate) {
            return candidate.target == entry.target.name;
        });
        if (found != health.end()) {
            state.health = *found;
        }
        state.endpoint = entry.endpoint;
        state.failureDomain = entry.target.failureDomain;
        state.inFlight = view.inFlight;
        state.limit = view.limit;
        state.attempts = entry.attempts;
        state.failures = entry.failures;
        states.push_back(std::move(state));
    }
    return states;
}

std::vector<TargetState> ServiceState::targets() const
{
    const std::lock_guard lock(m_mutex);
    return targetStates();
}

ServiceSummary ServiceState::summary() const
{
    const std::lock_guard lock(m_mutex);
    ServiceSummary summary;
    summary.service = m_name;
    summary.waiting = m_queue.waiting();
    summary.running = m_queue.running();
    summary.floor = m_health.floor();
    summary.retryTokens = m_retryBudget.tokens();
    summary.targets = targetStates();
    summary.floorBinds = std::any_of(summary.targets.begin(), summary.targets.end(), [](const TargetState &target) {
        return target.health.waitsForFloor;
    });
    for (const auto &[name, entry] : m_accounts) {
        summary.accounts.push_back(
            AccountState { name, entry.row.weight, entry.row.limits, m_queue.usage(entry.index) });
    }
    std::sort(
        summary.accounts.begin(), summary.accounts.end(), [](const AccountState &left, const AccountState &right) {
            return left.account < right.account;
        });
    return summary;
}

Duration ServiceState::reportInterval() const
{
    const std::lock_guard lock(m_mutex);
    return m_health.reportInterval();
}

std::size_t ServiceState::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.waiting();
}

std::optional<TargetIndex> ServiceState::targetIndex(const TargetName &target) const
{
    const std::lock_guard lock(m_mutex);
    for (const TargetEntry &entry : m_targets) {
        if (entry.target.name == target) {
            return entry.index;
        }
    }
    return std::nullopt;
}

} // namespace mulberryplank
