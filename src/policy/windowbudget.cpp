#include "mulberryplank/policy/windowbudget.h"

#include <algorithm>

namespace mulberryplank
{

WindowBudget::WindowBudget(WindowBudgetSettings settings)
    : m_settings(settings)
{
}

void WindowBudget::setSlack(double slack)
{
    m_settings.slack = slack;
}

void WindowBudget::advance(Instant now)
{
    const Duration width = m_settings.window / static_cast<std::int64_t>(Buckets);
    const std::int64_t current = now.time_since_epoch() / width;
    const auto size = static_cast<std::int64_t>(m_buckets.size());
    const std::int64_t steps = std::min(current - m_current, size);
    for (std::int64_t step = 0; step < steps; ++step) {
        m_buckets[static_cast<std::size_t>((current - step) % size)] = {};
    }
    m_current = std::max(m_current, current);
}

void WindowBudget::onRequest(Instant now)
{
    advance(now);
    ++m_buckets[static_cast<std::size_t>(m_current) % m_buckets.size()].requests;
}

double WindowBudget::left(Instant now)
{
    advance(now);
    double requests = 0;
    double spent = 0;
    for (const Bucket &bucket : m_buckets) {
        requests += bucket.requests;
        spent += bucket.spent;
    }
    // The oldest bucket lies partly outside of the window; the requests are taken a little low for it.
    const double within = static_cast<double>(Buckets) / static_cast<double>(m_buckets.size());
    return m_settings.ratio * requests * within + m_settings.slack - spent;
}

bool WindowBudget::trySpend(Instant now, double reserve)
{
    if (left(now) < 1 + reserve) {
        return false;
    }
    ++m_buckets[static_cast<std::size_t>(m_current) % m_buckets.size()].spent;
    return true;
}

} // namespace mulberryplank
