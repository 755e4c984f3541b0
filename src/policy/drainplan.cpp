#include "mulberryplank/policy/drainplan.h"

namespace mulberryplank
{

DrainPlan::DrainPlan(DrainSettings settings, Instant startedAt)
    : m_callersMoved(startedAt + settings.callersLifetime)
    , m_end(startedAt + settings.limit)
{
}

bool DrainPlan::isClosing(Instant now) const
{
    return now >= m_callersMoved;
}

// A tunnel doesn't show whether its target's response is complete, so it counts until the other process has closed it.
bool DrainPlan::isFinished(const DrainLoad &load, Instant now) const
{
    const bool isIdle = load.requests == 0 && load.connections == 0 && load.tunnels == 0;
    return now >= m_end || (isClosing(now) && isIdle);
}

} // namespace mulberryplank
