#include "mulberryplank/policy/windowbudget.h"

#include <algorithm>
#include <limits>

namespace mulberryplank
{

namespace internal
{

namespace
{

// What requests add to the budget is kept for a second or two, so demand of a longer time can't be kept for.
constexpr PriorityShareSettings BudgetPriorities { Seconds(1), Seconds(2), Seconds(2) };

} // namespace

} // namespace internal

WindowBudget::WindowBudget(WindowBudgetSettings settings)
    : m_settings(settings)
    , m_priorities(internal::BudgetPriorities)
{
}

void WindowBudget::setFixedAllowance(double fixedAllowance)
{
    m_settings.fixedAllowance = fixedAllowance;
}

WindowBudget::Bucket &WindowBudget::bucket(std::int64_t number)
{
    const auto size = static_cast<std::int64_t>(m_buckets.size());
    return m_buckets.at(static_cast<std::size_t>((number + size) % size));
}

// Returns the most that is kept of what requests have added: that of the last two buckets, or one attempt for as long
// as a window, without which a process with few requests could never make one.
double WindowBudget::maxCredit()
{
    std::uint32_t requests = 0;
    for (const Bucket &bucket : m_buckets) {
        requests += bucket.requests;
    }
    const std::uint32_t recent = bucket(m_current).requests + bucket(m_current - 1).requests;
    return std::max(m_settings.ratio * recent, std::min(m_settings.ratio * requests, 1.0));
}

// Buckets after the current one hold loans. Buckets that leave the window are reused for them.
void WindowBudget::advance(Instant now)
{
    const Duration width = m_settings.window / static_cast<std::int64_t>(Buckets);
    const std::int64_t current = now.time_since_epoch() / width;
    const auto size = static_cast<std::int64_t>(m_buckets.size());
    const std::int64_t steps = std::min(current - m_current, size);
    for (std::int64_t step = 0; step < steps; ++step) {
        bucket(current + static_cast<std::int64_t>(LoanBuckets) - step) = {};
    }
    m_current = std::max(m_current, current);
    m_credit = std::min(m_credit, maxCredit());
    std::erase_if(m_borrowed, [now](Instant until) {
        return now >= until;
    });
}

void WindowBudget::onRequest(Instant now)
{
    advance(now);
    ++bucket(m_current).requests;
    m_credit += m_settings.ratio;
}

WindowBudget::Usage WindowBudget::usage(Instant now)
{
    advance(now);
    Usage usage;
    for (const Bucket &bucket : m_buckets) {
        usage.requests += bucket.requests;
        usage.spent += bucket.spent;
    }
    return usage;
}

double WindowBudget::ownLeft(Instant now)
{
    advance(now);
    double spentOfAllowance = 0;
    for (const Bucket &bucket : m_buckets) {
        spentOfAllowance += bucket.spentOfAllowance;
    }
    return m_credit + std::max(m_settings.fixedAllowance - spentOfAllowance, 0.0);
}

// Takes one extra attempt, which counts in `bucket`. What requests have added is taken first, since it is kept for less
// time.
void WindowBudget::take(Bucket &bucket)
{
    const double ofCredit = std::min(m_credit, 1.0);
    m_credit -= ofCredit;
    bucket.spentOfAllowance += 1 - ofCredit;
    ++bucket.spent;
}

double WindowBudget::left(Instant now)
{
    return ownLeft(now) + static_cast<double>(m_borrowed.size());
}

double WindowBudget::leftFor(std::uint32_t priority, Instant now)
{
    return std::max(ownLeft(now) - kept(priority, now), 0.0) + static_cast<double>(m_borrowed.size());
}

// Returns what an attempt of that priority leaves to others.
double WindowBudget::kept(std::uint32_t priority, Instant now)
{
    if (!m_priorities.isDivided(now)) {
        return 0;
    }
    const double perWindow = m_settings.ratio * usage(now).requests + m_settings.fixedAllowance;
    m_priorities.setAvailable(perWindow / toSeconds(m_settings.window));
    return m_priorities.reserve(priority, now);
}

void WindowBudget::recordDemand(std::uint32_t priority, Instant now)
{
    m_priorities.recordDemand(priority, 1, now);
}

void WindowBudget::recordShortage(Instant now)
{
    m_priorities.recordShortage(now);
}

bool WindowBudget::trySpend(Instant now, double reserve, std::uint32_t priority)
{
    const double own = ownLeft(now);
    if (leftFor(priority, now) < 1 + reserve) {
        return false;
    }
    // Borrowed attempts are spent first, since they expire soon.
    if (!m_borrowed.empty()) {
        m_borrowed.pop_back();
    } else if (own < 1) {
        return false;
    } else {
        take(bucket(m_current));
    }
    m_priorities.recordGrant(priority, 1, now);
    return true;
}

bool WindowBudget::tryLend(Instant now, double reserve)
{
    // The priority of the other process's request isn't known.
    const double leastUrgentKept = kept(std::numeric_limits<std::uint32_t>::max(), now);
    if (ownLeft(now) < 1 + std::max(reserve, leastUrgentKept)) {
        return false;
    }
    take(bucket(m_current + static_cast<std::int64_t>(LoanBuckets)));
    return true;
}

void WindowBudget::borrow(Instant until)
{
    m_borrowed.push_back(until);
}

} // namespace mulberryplank
