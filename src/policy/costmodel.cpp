#include "mulberryplank/policy/costmodel.h"

#include <algorithm>
#include <cmath>

#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

namespace
{

// What is typical has to be slow to change: a few huge requests that end together would else become the typical ones.
constexpr double TypicalGain = 0.001;

} // namespace

CostModel::CostModel(CostModelSettings settings)
    : m_settings(settings)
{
}

// The cell of requests without a route comes first, so that a service without routes needs one cell only.
std::size_t CostModel::cell(std::uint16_t route)
{
    return route == NoRoute ? 0 : std::size_t(route) + 1;
}

Duration CostModel::estimate(AccountIndex account, std::uint16_t route) const
{
    const std::size_t index = cell(route);
    double seconds = toSeconds(averageCost());
    if (index < m_routes.size() && m_routes[index].samples > 0) {
        seconds = m_routes[index].value;
    }
    if (account < m_accounts.size() && index < m_accounts[account].size()) {
        const Average &own = m_accounts[account][index];
        const double total = own.samples + m_settings.priorSamples;
        seconds = (own.value * own.samples + seconds * m_settings.priorSamples) / total;
    }
    return costOf(fromSeconds(seconds));
}

Duration CostModel::averageCost() const
{
    return m_service.samples > 0 ? costOf(fromSeconds(m_service.value)) : m_settings.initialCost;
}

Duration CostModel::typicalCost() const
{
    return m_logCost.samples > 0 ? m_typical : m_settings.initialCost;
}

Duration CostModel::costOf(Duration slotTime) const
{
    return std::max(slotTime, m_settings.minimumCost);
}

void CostModel::learn(AccountIndex account, std::uint16_t route, Duration slotTime)
{
    const std::size_t index = cell(route);
    if (m_routes.size() <= index) {
        m_routes.resize(index + 1);
    }
    if (m_accounts.size() <= account) {
        m_accounts.resize(std::size_t(account) + 1);
    }
    if (m_accounts[account].size() <= index) {
        m_accounts[account].resize(index + 1);
    }
    const double seconds = toSeconds(costOf(slotTime));
    update(m_service, seconds, m_settings.gain);
    update(m_logCost, std::log(seconds), TypicalGain);
    m_typical = costOf(fromSeconds(std::exp(m_logCost.value)));
    update(m_routes[index], seconds, m_settings.gain);
    update(m_accounts[account][index], seconds, m_settings.gain);
}

void CostModel::forget(AccountIndex account)
{
    if (account < m_accounts.size()) {
        std::vector<Average>().swap(m_accounts[account]);
    }
}

// The first samples count as a plain mean: a moving average would hold on to whichever came first.
void CostModel::update(Average &average, double value, double gain)
{
    const auto maxSamples = static_cast<float>(1 / gain);
    average.samples = std::min(average.samples + 1, maxSamples);
    average.value += (static_cast<float>(value) - average.value) / average.samples;
}

} // namespace mulberryplank
