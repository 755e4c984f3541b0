#include "mulberryplank/policy/retrybudget.h"

#include <algorithm>

namespace mulberryplank
{

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
    , m_tokens(std::min(settings.initial, settings.maximum))
{
}

void RetryBudget::onSuccess()
{
    m_tokens = std::min(m_tokens + m_settings.share, m_settings.maximum);
}

bool RetryBudget::trySpend()
{
    // Ten tenths add up to a little less than one in binary; without the tolerance the eleventh would be needed.
    constexpr double Tolerance = 1e-9;
    if (m_tokens < 1 - Tolerance) {
        return false;
    }
    m_tokens = std::max(m_tokens - 1, 0.0);
    return true;
}

double RetryBudget::tokens() const
{
    return m_tokens;
}

Duration backoff(const BackoffSettings &settings, unsigned retry, std::minstd_rand &random)
{
    constexpr unsigned MaxDoublings = 20;
    const unsigned doublings = std::min(retry > 0 ? retry - 1 : 0, MaxDoublings);
    const Duration bound = std::min<Duration>(Duration(settings.first) * (1LL << doublings), settings.maximum);
    return Duration(std::uniform_int_distribution<Duration::rep>(0, bound.count())(random));
}

} // namespace mulberryplank
