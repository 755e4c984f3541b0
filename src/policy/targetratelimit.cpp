#include "mulberryplank/policy/targetratelimit.h"

namespace mulberryplank
{

bool TargetRateLimit::apply(const RateLimitNotice &notice)
{
    if (notice.at < m_notice.at) {
        return false;
    }
    const bool changed = notice.perSecond != m_notice.perSecond;
    m_notice = notice;
    return changed;
}

std::optional<double> TargetRateLimit::perSecond() const
{
    return m_notice.perSecond;
}

} // namespace mulberryplank
