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

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t slots)
    : m_slots(std::max<std::uint32_t>(slots, 1))
    , m_limit(m_slots)
{
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
        m_limit = std::min(m_slots, m_limit + internal::RaiseStep / m_limit);
    }
}

void ConcurrencyLimit::shed(Duration retryAfter, Instant now)
{
    m_limit = std::max(1.0, m_limit * internal::ShedFactor);
    m_holdUntil = std::max(m_holdUntil, now + std::min(retryAfter, internal::MostHold));
}

} // namespace mulberryplank
