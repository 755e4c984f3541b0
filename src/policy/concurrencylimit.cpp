#include "mulberryplank/policy/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

constexpr double ShedFactor = 0.7;
constexpr double RaiseStep = 0.1;
constexpr int SlowResponseFactor = 3; // times the usualLatency latency
constexpr Duration MaxHold = Millis { 250 };

} // namespace internal

std::uint32_t maxInFlight(std::uint32_t slots, std::size_t assignedProxies)
{
    const std::size_t count = std::max<std::size_t>(assignedProxies, 1);
    const std::size_t twiceFair = (2 * slots + count - 1) / count;
    return static_cast<std::uint32_t>(std::clamp<std::size_t>(twiceFair, 1, std::max<std::uint32_t>(slots, 1)));
}

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t maxLimit)
    : m_maxLimit(std::max<std::uint32_t>(maxLimit, 1))
    , m_limit(m_maxLimit)
{
}

void ConcurrencyLimit::setMaxLimit(std::uint32_t maxLimit)
{
    m_maxLimit = std::max<std::uint32_t>(maxLimit, 1);
    m_limit = std::min(m_limit, m_maxLimit);
}

std::uint32_t ConcurrencyLimit::limit(Instant now) const
{
    return now < m_holdUntil ? 0 : static_cast<std::uint32_t>(std::floor(m_limit));
}

void ConcurrencyLimit::onResponse(std::uint32_t inFlight, Duration latency, Duration usualLatency)
{
    const bool inUse = inFlight + 1 >= std::floor(m_limit);
    const bool slow = usualLatency > Duration::zero() && latency > internal::SlowResponseFactor * usualLatency;
    if (inUse && !slow) {
        m_limit = std::min(m_maxLimit, m_limit + internal::RaiseStep / m_limit);
    }
}

void ConcurrencyLimit::shed(Duration retryAfter, Instant now)
{
    m_limit = std::max(1.0, m_limit * internal::ShedFactor);
    m_holdUntil = std::max(m_holdUntil, now + std::min(retryAfter, internal::MaxHold));
}

} // namespace mulberryplank
