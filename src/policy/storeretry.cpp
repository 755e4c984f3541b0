#include "mulberryplank/policy/storeretry.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Delays are spread from 0.75 to 1.25 of their length.
constexpr double MinDelayFactor = 0.75;
constexpr double DelayFactorRange = 0.5;

} // namespace

} // namespace internal

StoreRetry::StoreRetry(StoreRetrySettings settings, double phase)
    : m_settings(settings)
    , m_phase(phase)
{
}

bool StoreRetry::mayTry(Instant now, std::size_t sharingProcesses) const
{
    if (m_failures == 0) {
        return true;
    }
    const double factor = internal::MinDelayFactor + internal::DelayFactorRange * m_phase;
    return now >= m_failedAt + std::chrono::duration_cast<Duration>(delayFor(sharingProcesses) * factor);
}

Duration StoreRetry::delayFor(std::size_t sharingProcesses) const
{
    if (m_failures <= 1) {
        return m_settings.initialDelay;
    }
    if (sharingProcesses == 0) {
        return m_settings.maxDelay;
    }
    const auto share =
        std::chrono::duration<double>(static_cast<double>(sharingProcesses) / m_settings.sharedCallsPerSecond);
    const Duration delay = std::chrono::duration_cast<Duration>(share);
    return std::clamp(delay, m_settings.initialDelay, m_settings.maxSharedDelay);
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
