#include "mulberryplank/policy/storeretry.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Pauses are spread from three quarters of their length to five quarters.
constexpr double LeastPart = 0.75;
constexpr double SpreadPart = 0.5;

} // namespace

} // namespace internal

StoreRetry::StoreRetry(StoreRetrySettings settings, double phase)
    : m_settings(settings)
    , m_phase(phase)
{
}

bool StoreRetry::mayTry(Instant now, std::size_t sharing) const
{
    if (m_failures == 0) {
        return true;
    }
    const double part = internal::LeastPart + internal::SpreadPart * m_phase;
    return now >= m_failedAt + std::chrono::duration_cast<Duration>(pauseAfter(sharing) * part);
}

Duration StoreRetry::pauseAfter(std::size_t sharing) const
{
    if (m_failures <= 1) {
        return m_settings.first;
    }
    if (sharing == 0) {
        return m_settings.most;
    }
    const auto share = std::chrono::duration<double>(static_cast<double>(sharing) / m_settings.sharedPerSecond);
    const Duration pause = std::chrono::duration_cast<Duration>(share);
    return std::clamp(pause, m_settings.first, m_settings.mostShared);
}

void StoreRetry::onFailure(Instant now)
{
    ++m_failures;
    m_failedAt = now;
}

void StoreRetry::reset()
{
    m_failures = 0;
}

} // namespace mulberryplank
