#include "mulberryplank/policy/forwardplan.h"

#include <algorithm>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Attempts that certainly did not run, beyond the route's number: a full or vanished target costs little to find out
// about, but each one costs the fleet's budget.
constexpr std::uint32_t MaxRefusedAttempts = 3;

ErrorKind notRunError(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Shed:
        return ErrorKind::TargetShed;
    case AttemptResult::ConnectFailed:
        return ErrorKind::ConnectFailed;
    default:
        return ErrorKind::NoTarget;
    }
}

} // namespace

} // namespace internal

ForwardPlan::ForwardPlan(const HostRoute &route, Instant deadline)
    : m_route(route)
    , m_deadline(deadline)
{
}

bool ForwardPlan::mayStart(Instant now) const
{
    if (now >= m_deadline) {
        return false;
    }
    const std::uint32_t mayRun = m_running + m_mayHaveRun;
    if (!isIdempotent(m_route.kind) && mayRun > 0) {
        return false;
    }
    const std::uint32_t refused = m_started - mayRun;
    return mayRun < m_route.maxAttempts && refused < internal::MaxRefusedAttempts;
}

bool ForwardPlan::nextAttemptIsLast() const
{
    return m_running + m_mayHaveRun + 1 >= m_route.maxAttempts;
}

void ForwardPlan::onStarted()
{
    ++m_started;
}

void ForwardPlan::onSending()
{
    ++m_running;
}

void ForwardPlan::onFailed(AttemptResult result, bool sent)
{
    m_lastResult = result;
    if (!sent) {
        return;
    }
    --m_running;
    if (result != AttemptResult::Shed) {
        ++m_mayHaveRun;
        m_lastPossiblyRunResult = result;
    }
}

Outcome ForwardPlan::outcome() const
{
    return m_running + m_mayHaveRun > 0 ? Outcome::Unknown : Outcome::NotRun;
}

ErrorKind ForwardPlan::finalError(bool deadlinePassed) const
{
    if (outcome() == Outcome::Unknown) {
        return deadlinePassed ? ErrorKind::TargetTimeout : unknownOutcomeKind(m_lastPossiblyRunResult);
    }
    return deadlinePassed ? ErrorKind::DeadlineBeforeStart : internal::notRunError(m_lastResult);
}

std::uint32_t ForwardPlan::started() const
{
    return m_started;
}

} // namespace mulberryplank
