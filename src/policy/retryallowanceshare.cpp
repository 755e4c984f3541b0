#include "mulberryplank/policy/retryallowanceshare.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// How long a new entry takes nothing: within it a restarted process has learnt of the other members, which takes about
// a second in a fleet of a hundred.
constexpr Duration LearningTime = Seconds(2);
// What a new entry may take of its share until a window has passed. With the tenth of the budget that is kept back, all
// ingressProxies together stay within it even if all of them were restarted at once.
constexpr double EarlyShare = 0.1;
// How long an entry that is no longer seen is still reckoned with: longer than the partitions that the platform's
// operators expect to pass by themselves.
constexpr Duration MemoryTime = Seconds(60);

} // namespace

} // namespace internal

RetryAllowanceShare::RetryAllowanceShare(RetryAllowanceShareSettings settings)
    : m_settings(settings)
{
}

void RetryAllowanceShare::setTotal(double total)
{
    m_settings.total = total;
}

void RetryAllowanceShare::update(std::size_t ingressProxies, bool isIngressProxy, Instant now)
{
    if (!isIngressProxy) {
        m_ingressSince.reset();
    } else if (!m_ingressSince) {
        m_ingressSince = now;
    }
    const Duration width = internal::MemoryTime / static_cast<std::int64_t>(Buckets);
    const std::int64_t current = now.time_since_epoch() / width;
    const auto size = static_cast<std::int64_t>(Buckets);
    for (std::int64_t step = 0; step < std::min(current - m_current, size); ++step) {
        m_maxIngressProxies.at(static_cast<std::size_t>((current - step) % size)) = 0;
    }
    m_current = std::max(m_current, current);
    std::size_t &maxProxies = m_maxIngressProxies.at(static_cast<std::size_t>(m_current % size));
    maxProxies = std::max(maxProxies, ingressProxies);
}

double RetryAllowanceShare::fixedAllowance(Instant now) const
{
    if (!m_ingressSince || now < *m_ingressSince + internal::LearningTime) {
        return 0;
    }
    const std::size_t maxProxies = *std::max_element(m_maxIngressProxies.begin(), m_maxIngressProxies.end());
    const double share = m_settings.total / static_cast<double>(std::max<std::size_t>(maxProxies, 1));
    return now < *m_ingressSince + m_settings.window ? share * internal::EarlyShare : share;
}

} // namespace mulberryplank
