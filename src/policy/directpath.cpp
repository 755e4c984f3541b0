#include "mulberryplank/policy/directpath.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// How long a failure counts. Without new connections nothing shows that its target is reachable again.
constexpr Duration FailureLifetime = Seconds(5);
// The minimum time between two checks. A new connection to an unreachable target takes nearly as long to fail.
constexpr Duration CheckInterval = Millis(400);

} // namespace

} // namespace internal

bool DirectPath::noteFailure(const TargetName &target, std::size_t targetCount, Instant now)
{
    std::erase_if(m_failures, [&target, now](const Failure &failure) {
        return failure.target == target || now - failure.at > internal::FailureLifetime;
    });
    m_failures.push_back({ target, now });
    m_reached.clear();
    if (m_lostAt || m_failures.size() < std::min(DecisiveTargets, targetCount)) {
        return false;
    }
    m_lostAt = now;
    return true;
}

bool DirectPath::noteSuccess(const TargetName &target, std::size_t targetCount, Instant openedAt)
{
    std::erase_if(m_failures, [openedAt](const Failure &failure) {
        return failure.at <= openedAt;
    });
    if (!m_lostAt || openedAt < *m_lostAt) {
        return false;
    }
    std::erase(m_reached, target);
    m_reached.push_back(target);
    if (m_reached.size() < std::min(DecisiveTargets, targetCount)) {
        return false;
    }
    m_lostAt.reset();
    m_reached.clear();
    m_failures.clear();
    return true;
}

void DirectPath::noteResponse(Instant now)
{
    m_lastResponse = now;
}

bool DirectPath::startCheck(Instant now)
{
    if (m_lastCheck && now - *m_lastCheck < internal::CheckInterval) {
        return false;
    }
    m_lastCheck = now;
    return true;
}

bool DirectPath::isLost() const
{
    return m_lostAt.has_value();
}

bool DirectPath::isNewerThanLoss(Instant instant) const
{
    return !m_lostAt || instant > *m_lostAt;
}

bool DirectPath::hasRespondedSince(Instant instant) const
{
    return m_lastResponse && *m_lastResponse >= instant;
}

bool DirectPath::openConnectionsRespond() const
{
    return m_failures.empty() || hasRespondedSince(m_failures.front().at);
}

} // namespace mulberryplank
