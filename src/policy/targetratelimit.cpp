#include "mulberryplank/policy/targetratelimit.h"

#include <algorithm>
#include <limits>

namespace mulberryplank
{

namespace internal
{

namespace
{

// A target that names a lower limit, or zero, still gets a request from time to time: only its response can withdraw
// the limit.
constexpr double MinPerSecond = 0.05;

// Requests arrive in bursts; within this time they may use their part of the limit at once.
constexpr double BurstSeconds = 0.5;

// How long a process that isn't a holder may send its request once its time has come. Without an end, all of them would
// send theirs at the same moment after a time without requests.
constexpr Duration TurnLength = Seconds(1);

} // namespace

} // namespace internal

bool TargetRateLimit::apply(const RateLimitNotice &notice, Instant now)
{
    if (notice.at < m_notice.at) {
        return false;
    }
    const bool changed = notice.perSecond != m_notice.perSecond;
    if (!m_notice.perSecond && notice.perSecond) {
        startWithoutRequests(now);
    }
    m_notice = notice;
    return changed;
}

void TargetRateLimit::setShare(const RateLimitShare &share, Instant now)
{
    if (share.isHolder != m_share.isHolder) {
        startWithoutRequests(now);
    }
    m_share = share;
}

bool TargetRateLimit::allows(Instant now) const
{
    if (!m_notice.perSecond) {
        return true;
    }
    const Schedule limit = schedule();
    const bool isNewPeriod = now - m_periodStart >= limit.period;
    if (m_share.isHolder) {
        return isNewPeriod || m_used < limit.requests;
    }
    const auto offset = std::chrono::duration_cast<Duration>(limit.period * m_share.phase);
    return isNewPeriod && (now.time_since_epoch() + offset) % limit.period < internal::TurnLength;
}

void TargetRateLimit::use(Instant now)
{
    if (!m_notice.perSecond) {
        return;
    }
    if (now - m_periodStart >= schedule().period) {
        m_periodStart = now;
        m_used = 0;
    }
    ++m_used;
}

std::optional<double> TargetRateLimit::perSecond() const
{
    return m_notice.perSecond;
}

TargetRateLimit::Schedule TargetRateLimit::schedule() const
{
    const double perSecond = std::max(m_notice.perSecond.value_or(0), internal::MinPerSecond) * m_share.part;
    Schedule result;
    result.requests = std::max(static_cast<std::uint32_t>(perSecond * internal::BurstSeconds), 1U);
    result.period = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(result.requests / perSecond));
    return result;
}

void TargetRateLimit::startWithoutRequests(Instant now)
{
    m_periodStart = now;
    m_used = std::numeric_limits<std::uint32_t>::max() / 2;
}

} // namespace mulberryplank
