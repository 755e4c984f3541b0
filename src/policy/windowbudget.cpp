#include "mulberryplank/policy/windowbudget.h"

#include <algorithm>

namespace mulberryplank
{

WindowBudget::WindowBudget(WindowBudgetSettings settings)
    : m_settings(settings)
{
}

void WindowBudget::setFixedAllowance(double fixedAllowance)
{
    m_settings.fixedAllowance = fixedAllowance;
}

WindowBudget::Bucket &WindowBudget::bucket(std::int64_t number)
{
    return m_buckets.at(static_cast<std::size_t>(number % static_cast<std::int64_t>(m_buckets.size())));
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
    std::erase_if(m_borrowed, [now](Instant until) {
        return now >= until;
    });
}

void WindowBudget::onRequest(Instant now)
{
    advance(now);
    ++bucket(m_current).requests;
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
    const Usage used = usage(now);
    // The oldest bucket lies partly outside the window. The requests are scaled down to compensate for it.
    const double within = static_cast<double>(Buckets) / static_cast<double>(Buckets + 1);
    return m_settings.ratio * used.requests * within + m_settings.fixedAllowance - used.spent;
}

double WindowBudget::left(Instant now)
{
    return std::max(ownLeft(now), 0.0) + static_cast<double>(m_borrowed.size());
}

bool WindowBudget::trySpend(Instant now, double reserve)
{
    const double own = ownLeft(now);
    if (left(now) < 1 + reserve) {
        return false;
    }
    // Borrowed attempts are spent first, since they expire soon.
    if (!m_borrowed.empty()) {
        m_borrowed.pop_back();
        return true;
    }
    if (own < 1) {
        return false;
    }
    ++bucket(m_current).spent;
    return true;
}

bool WindowBudget::tryLend(Instant now, double reserve)
{
    if (ownLeft(now) < 1 + reserve) {
        return false;
    }
    ++bucket(m_current + static_cast<std::int64_t>(LoanBuckets)).spent;
    return true;
}

void WindowBudget::borrow(Instant until)
{
    m_borrowed.push_back(until);
}

} // namespace mulberryplank
