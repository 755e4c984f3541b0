#include "mulberryplank/policy/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace mulberryplank
{

namespace internal
{

constexpr double ShedFactor = 0.7;
constexpr double RaiseStep = 0.1;
constexpr int SlowAnswer = 3; // times the usual latency
constexpr Duration MostHold = Millis { 250 };

} // namespace internal

std::uint32_t mostInFlight(std::uint32_t slots, std::size_t carriers)
{
    const std::size_t count = std::max<std::size_t>(carriers, 1);
    const std::size_t twiceFair = (2 * slots + count - 1) / count;
    return static_cast<std::uint32_t>(std::clamp<std::size_t>(twiceFair, 1, std::max<std::uint32_t>(slots, 1)));
}

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t most)
    : m_most(std::max<std::uint32_t>(most, 1))
    , m_limit(m_most)
{
}

void ConcurrencyLimit::setMost(std::uint32_t most)
{
    m_most = std::max<std::uint32_t>(most, 1);
    m_limit = std::min(m_limit, m_most);
}

std::uint32_t ConcurrencyLimit::limit(Instant now) const
{
    return now < m_holdUntil ? 0 : static_cast<std::uint32_t>(std::floor(m_limit));
}

void ConcurrencyLimit::answered(std::uint32_t inFlight, Duration latency, Duration usual)
{
    const bool inUse = inFlight + 1 >= std::floor(m_limit);
    const bool slow = usual > Duration::zero() && latency > internal::SlowAnswer * usual;
    if (inUse && !slow) {
        m_limit = std::min(m_most, m_limit + internal::RaiseStep / m_limit);
    }
}

void ConcurrencyLimit::shed(Duration retryAfter, Instant now)
{
    m_limit = std::max(1.0, m_limit * internal::ShedFactor);
    m_holdUntil = std::max(m_holdUntil, now + std::min(retryAfter, internal::MostHold));
}

} // namespace mulberryplank
