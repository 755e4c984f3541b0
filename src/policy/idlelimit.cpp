#include "mulberryplank/policy/idlelimit.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Connections that were idle for less are always used: a reset has other causes then.
constexpr Duration MinLimit = Millis(200);
// The limit doubles at this interval, so that a reset for another reason is forgotten.
constexpr Duration DoublingTime = Seconds(5);
// After as many doublings there is no limit: it exceeds the time for which connections are kept.
constexpr int MaxDoublings = 8;

} // namespace

} // namespace internal

void IdleLimit::noteReset(Duration idle, Instant now)
{
    if (idle < internal::MinLimit || idle > limit(now)) {
        return;
    }
    // The connection may have been dropped long before it was used.
    m_limit = std::max<Duration>(idle / 2, internal::MinLimit);
    m_loweredAt = now;
}

Duration IdleLimit::limit(Instant now) const
{
    if (m_limit == Duration::max()) {
        return m_limit;
    }
    const auto doublings = (now - m_loweredAt) / internal::DoublingTime;
    return doublings > internal::MaxDoublings ? Duration::max() : m_limit * (Duration::rep { 1 } << doublings);
}

} // namespace mulberryplank
