#include "mulberryplank/policy/overload.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

OverloadControl::OverloadControl(OverloadSettings settings)
    : m_settings(settings)
{
}

std::uint32_t OverloadControl::update(double slots, Duration averageCost, Instant now)
{
    const double perSecond = slots / std::max(toSeconds(averageCost), 1e-6);
    const double desired = std::clamp(perSecond * toSeconds(m_settings.maxWait),
                                      static_cast<double>(m_settings.minQueue),
                                      static_cast<double>(m_settings.maxQueue));
    const bool first = m_bound == 0;
    if (first || desired <= m_bound) {
        m_bound = desired;
    } else {
        const double elapsed = std::max(toSeconds(now - m_updated), 0.0);
        m_bound = std::min(desired, m_bound * std::exp2(elapsed / toSeconds(m_settings.doublingTime)));
    }
    m_updated = now;
    return totalQueue();
}

std::uint32_t OverloadControl::totalQueue() const
{
    return std::max(static_cast<std::uint32_t>(m_bound), m_settings.minQueue);
}

} // namespace mulberryplank
