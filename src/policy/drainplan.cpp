#include "mulberryplank/policy/drainplan.h"

#include <algorithm>

namespace mulberryplank
{

DrainPlan::DrainPlan(DrainSettings settings, Instant startedAt)
    : m_closing(startedAt + std::min(settings.callersLifetime, settings.acceptance))
    , m_end(startedAt + settings.limit)
{
}

bool DrainPlan::isClosing(Instant now) const
{
    return now >= m_closing;
}

// A tunnel doesn't show whether its target's response is complete, so it counts until the other process has closed it.
bool DrainPlan::isFinished(const DrainLoad &load, Instant now) const
{
    const bool isIdle = load.requests == 0 && load.connections == 0 && load.tunnels == 0;
    return now >= m_end || (isClosing(now) && isIdle);
}

} // namespace mulberryplank
