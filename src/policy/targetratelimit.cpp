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

// Higher limits never bind, and their numbers of requests may not fit the types used here.
constexpr double MaxPerSecond = 1e6;

// Requests arrive in bursts; within this time they may use their part of the limit at once.
constexpr double BurstSeconds = 0.5;

// How long the turn of a process that isn't a holder lasts. Without an end, all of them would send their requests at
// the same moment after a time without requests.
constexpr Duration TurnLength = Seconds(1);

// After this time without news of a limit, processes that aren't holders send a request to learn whether it still
// holds. Limits below one request in some seconds are heard of less often.
constexpr Duration SilenceBeforeTurns = Seconds(5);
constexpr double RequestsBeforeTurns = 2;

// How often the other processes are told that a limit still holds.
constexpr Duration RefreshInterval = Seconds(2);

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
    m_heardAt = std::max(m_heardAt, notice.at);
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
    if (!m_share.isHolder) {
        return isOwnTurn(now);
    }
    const Schedule limit = schedule();
    return now - m_periodStart >= limit.period || m_used < limit.requests;
}

bool TargetRateLimit::isOwnTurn(Instant now) const
{
    const auto expected = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(internal::RequestsBeforeTurns / pacedPerSecond()));
    const Duration silence = std::max(internal::SilenceBeforeTurns, expected);
    const Instant lastNews = std::max(m_heardAt, m_periodStart);
    const Duration interval = std::max(m_share.turnInterval, internal::TurnLength);
    const auto offset = std::chrono::duration_cast<Duration>(interval * m_share.phase);
    return now - lastNews >= silence && (now.time_since_epoch() + offset) % interval < internal::TurnLength;
}

bool TargetRateLimit::startRefresh(Instant now)
{
    const bool isDue = m_notice.perSecond && now - m_refreshedAt >= internal::RefreshInterval;
    m_refreshedAt = isDue ? now : m_refreshedAt;
    return isDue;
}

void TargetRateLimit::use(Instant now)
{
    if (!m_notice.perSecond) {
        return;
    }
    if (!m_share.isHolder || now - m_periodStart >= schedule().period) {
        m_periodStart = now;
        m_used = 0;
    }
    ++m_used;
}

std::optional<double> TargetRateLimit::perSecond() const
{
    return m_notice.perSecond;
}

double TargetRateLimit::pacedPerSecond() const
{
    return std::clamp(m_notice.perSecond.value_or(0), internal::MinPerSecond, internal::MaxPerSecond);
}

TargetRateLimit::Schedule TargetRateLimit::schedule() const
{
    const double perSecond = pacedPerSecond() * m_share.part;
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
