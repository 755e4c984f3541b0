#include "mulberryplank/policy/ratelimit.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

// Rounding must not turn an earned token into 0.9999999.
constexpr double TokenTolerance = 1e-9;

constexpr double MaxWaitSeconds = 3'600;

} // namespace internal

void TokenBucket::setRate(double rate, double burst, Instant now)
{
    // A bucket that had no limit yet starts full: nothing has been used of the new one.
    m_tokens = m_rate <= 0 ? burst : std::min(tokensAt(now), burst);
    m_updated = now;
    m_rate = rate;
    m_burst = burst;
}

bool TokenBucket::admits(Instant now) const
{
    return m_rate <= 0 || tokensAt(now) + internal::TokenTolerance >= 1;
}

void TokenBucket::take(Instant now)
{
    m_tokens = std::max(tokensAt(now) - 1, 0.0);
    m_updated = std::max(m_updated, now);
}

Duration TokenBucket::untilToken(Instant now) const
{
    if (admits(now)) {
        return Duration::zero();
    }
    const double seconds = (1 - tokensAt(now)) / m_rate;
    return fromSeconds(std::min(seconds, internal::MaxWaitSeconds));
}

double TokenBucket::tokensAt(Instant now) const
{
    const double elapsed = std::max(toSeconds(now - m_updated), 0.0);
    return std::min(m_tokens + elapsed * m_rate, m_burst);
}

} // namespace mulberryplank
