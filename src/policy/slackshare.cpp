#include "mulberryplank/policy/slackshare.h"

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
// entries together stay within it even if all of them were restarted at once.
constexpr double EarlyPart = 0.1;
// How long an entry that is no longer seen is still reckoned with: longer than the partitions that the platform's
// operators expect to pass by themselves.
constexpr Duration RememberedFor = Seconds(60);

} // namespace

} // namespace internal

SlackShare::SlackShare(SlackShareSettings settings)
    : m_settings(settings)
{
}

void SlackShare::setTotal(double total)
{
    m_settings.total = total;
}

void SlackShare::follow(std::size_t entries, bool isEntry, Instant now)
{
    if (!isEntry) {
        m_entrySince.reset();
    } else if (!m_entrySince) {
        m_entrySince = now;
    }
    const Duration width = internal::RememberedFor / static_cast<std::int64_t>(Buckets);
    const std::int64_t current = now.time_since_epoch() / width;
    const auto size = static_cast<std::int64_t>(Buckets);
    for (std::int64_t step = 0; step < std::min(current - m_current, size); ++step) {
        m_mostEntries.at(static_cast<std::size_t>((current - step) % size)) = 0;
    }
    m_current = std::max(m_current, current);
    std::size_t &most = m_mostEntries.at(static_cast<std::size_t>(m_current % size));
    most = std::max(most, entries);
}

double SlackShare::slack(Instant now) const
{
    if (!m_entrySince || now < *m_entrySince + internal::LearningTime) {
        return 0;
    }
    const std::size_t most = *std::max_element(m_mostEntries.begin(), m_mostEntries.end());
    const double share = m_settings.total / static_cast<double>(std::max<std::size_t>(most, 1));
    return now < *m_entrySince + m_settings.window ? share * internal::EarlyPart : share;
}

} // namespace mulberryplank
