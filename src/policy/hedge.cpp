#include "mulberryplank/policy/hedge.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mulberryplank
{

namespace internal
{

constexpr double FirstBucketSeconds = 0.0001;
constexpr double BucketGrowth = 1.2;

std::size_t bucketOf(Duration latency, std::size_t buckets)
{
    const double ratio = toSeconds(latency) / FirstBucketSeconds;
    if (ratio <= 1) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(BucketGrowth)));
    return std::min(index, buckets - 1);
}

Duration upperEdge(std::size_t bucket)
{
    return fromSeconds(FirstBucketSeconds * std::pow(BucketGrowth, static_cast<double>(bucket)));
}

} // namespace internal

HedgeDelay::HedgeDelay(HedgeSettings settings)
    : m_settings(settings)
{
}

void HedgeDelay::recordLatency(Duration latency)
{
    if (m_total >= m_settings.window) {
        halve();
    }
    ++m_counts.at(internal::bucketOf(latency, Buckets));
    ++m_total;
}

std::optional<Duration> HedgeDelay::delay() const
{
    if (m_total < m_settings.minSamples) {
        return std::nullopt;
    }
    const auto rank = static_cast<std::uint32_t>(std::ceil(m_settings.quantile * m_total));
    std::uint32_t seen = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < Buckets; ++bucket) {
        seen += m_counts.at(bucket);
        if (seen >= rank) {
            break;
        }
    }
    return std::max<Duration>(internal::upperEdge(bucket), m_settings.minDelay);
}

void HedgeDelay::halve()
{
    for (std::uint32_t &count : m_counts) {
        count /= 2;
    }
    m_total = std::accumulate(m_counts.begin(), m_counts.end(), 0U);
}

} // namespace mulberryplank
